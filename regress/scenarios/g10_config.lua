-- Guarantee 10: an accepted configuration is in force everywhere within
-- seconds and never reverts to an earlier one.

-- By instance: the highest configuration version that it has had in the current
-- scenario.
local highest_versions = {}
-- Expects that the version of no instance is lower than it was before.
local function expect_no_rollback()
  for _, e in ipairs(entries) do
    if up(e) then
      local v = version(e)
      -- A new process has no configuration (version 0) at first.  The first that
      -- it loads must not be older than what the instance had before.
      if v > 0 then
        expect(v >= (highest_versions[e] or 0), e .. " does not go back to version " .. v)
        highest_versions[e] = v
      end
    end
  end
end

-- A manifest that gives red a limit of 100 + n cores; at is not used.
local function changed_manifest(at, n)
  return manifest({red = {cores = 100 + n}, blue = {}}, {"red", "blue"})
end

-- Waits up to ms until all instances in the list which (default: entries) that
-- are up have version v or a later one; fails the scenario if they do not.
local function expect_version_within(ms, v, which)
  within(ms, "version " .. v .. " everywhere", function()
    expect_no_rollback()
    for _, e in ipairs(which or entries) do
      if up(e) and version(e) < v then return false end
    end
    return true
  end)
end

scenario("each accepted change is in force at every instance within 3 s", function()
  highest_versions = {}
  begin{domains = {"a", "b", "c"}, entries = 2}
  for i = 1, 10 do
    local m = changed_manifest("a1", i)
    local c = apply(entries[i % 6 + 1], m)
    within(3000, "an answer to the change", function() return answer(c).status ~= 0 end)
    expect(accepted_config(c, m), "the change is accepted")
    expect_version_within(3000, in_force.version)
  end
end)

scenario("of several changes from one version one is accepted, the others conflict", function()
  highest_versions = {}
  begin{domains = {"a", "b"}, entries = 2}
  for round = 1, 6 do
    local calls, ms = {}, {}
    for i, e in ipairs(entries) do
      ms[i] = changed_manifest(e, round * 10 + i)
      calls[i] = apply(e, ms[i])
    end
    run(3000)
    local n_accepted = 0
    for i, c in ipairs(calls) do
      local a = answer(c)
      if a.status == 200 then
        n_accepted = n_accepted + 1
        accepted_config(c, ms[i])
      else
        expect(a.error == "conflict",
               "a change that is not accepted is refused as conflict, not " .. tostring(a.error))
      end
    end
    expect(n_accepted == 1, "one change is accepted from one version, not " .. n_accepted)
    expect_version_within(3000, in_force.version)
  end
end)

scenario("a change is accepted although replies of the table are lost", function()
  highest_versions = {}
  begin{domains = {"a", "b"}, entries = 2}
  faults{lost_reply_percent = 60}
  for i = 1, 6 do
    local m = changed_manifest("a1", i)
    local c = apply("a1", m)
    within(12000, "an answer to the change", function()
      expect_no_rollback()
      return answer(c).status ~= 0
    end)
    expect(accepted_config(c, m),
           "the change is found by its id and accepted, error: " .. tostring(answer(c).error))
    expect_version_within(5000, in_force.version)
  end
end)

scenario("a domain that was behind a partition and an instance that was frozen catch up", function()
  highest_versions = {}
  begin{domains = {"a", "b"}, entries = 2}
  partition("b", "platform")
  partition("a", "b")
  freeze("a2")
  for i = 1, 3 do
    local m = changed_manifest("a1", i)
    local c = apply("a1", m)
    within(5000, "an answer to the change", function() return answer(c).status ~= 0 end)
    expect(accepted_config(c, m), "the change is accepted")
    expect_no_rollback()
  end
  run(10000)
  heal()
  thaw("a2")
  expect_version_within(3000, in_force.version)
end)

scenario("an instance that gets no replies from the platform refuses keys, then catches up", function()
  highest_versions = {}
  begin{domains = {"a", "b"}, entries = 2}
  partition("platform", "b1", true)
  local m = changed_manifest("a1", 1)
  local c = apply("a1", m)
  within(5000, "an answer to the change", function() return answer(c).status ~= 0 end)
  expect(accepted_config(c, m), "the change is accepted")
  expect_version_within(3000, in_force.version, {"a1", "a2", "b2"})
  run(5000)
  local k = task{at = "b1", team = "red", id = "stale"}
  run(1000)
  expect(answer(k).status == 503,
         "an instance without a current configuration refuses a request with a key")
  heal()
  expect_version_within(3000, in_force.version)
end)

scenario("an invalid manifest is refused, names the field and changes nothing", function()
  highest_versions = {}
  begin{}
  local m = changed_manifest("a1", 1)
  m.teams[1].limit.cores = -5
  local c = apply("a1", m)
  run(1000)
  expect(answer(c).status == 400 and answer(c).field == "teams[0].limit.cores",
         "the refusal names teams[0].limit.cores, not " .. tostring(answer(c).field))
  expect(version("a1") == 1, "a refused manifest does not alter the version")
end)
