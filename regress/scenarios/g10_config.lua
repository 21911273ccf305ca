-- Guarantee 10: an accepted configuration is in force everywhere within
-- seconds and never reverts.
local seen = {}
local function never_falls()
  for _, e in ipairs(entries) do
    if up(e) then
      local v = version(e)
      -- A new process starts without any; it then knows none older.
      if v > 0 then
        expect(v >= (seen[e] or 0), e .. " went back to version " .. v)
        seen[e] = v
      end
    end
  end
end

local function change(at, n)
  return manifest({red = {cores = 100 + n}, blue = {}}, {"red", "blue"})
end

local function in_force_within(ms, v, which)
  within(ms, "version " .. v .. " everywhere", function()
    never_falls()
    for _, e in ipairs(which or entries) do
      if up(e) and version(e) < v then return false end
    end
    return true
  end)
end

scenario("each accepted change is everywhere within 3 s", function()
  seen = {}
  begin{domains = {"a", "b", "c"}, entries = 2}
  for i = 1, 10 do
    local m = change("a1", i)
    local c = apply(entries[i % 6 + 1], m)
    within(3000, "an answer", function() return answer(c).status ~= 0 end)
    expect(accepted_config(c, m), "accepted")
    in_force_within(3000, in_force.version)
  end
end)

scenario("operators race: one wins, the others are told", function()
  seen = {}
  begin{domains = {"a", "b"}, entries = 2}
  for round = 1, 6 do
    local calls, ms = {}, {}
    for i, e in ipairs(entries) do
      ms[i] = change(e, round * 10 + i)
      calls[i] = apply(e, ms[i])
    end
    run(3000)
    local won = 0
    for i, c in ipairs(calls) do
      local a = answer(c)
      if a.status == 200 then
        won = won + 1
        accepted_config(c, ms[i])
      else
        expect(a.error == "conflict", "the loser is told of the conflict, not " .. tostring(a.error))
      end
    end
    expect(won == 1, won .. " changes were accepted from one version")
    in_force_within(3000, in_force.version)
  end
end)

scenario("answers of the table are lost", function()
  seen = {}
  begin{domains = {"a", "b"}, entries = 2}
  faults{lose = 60}
  for i = 1, 6 do
    local m = change("a1", i)
    local c = apply("a1", m)
    within(12000, "an answer", function() never_falls() return answer(c).status ~= 0 end)
    expect(accepted_config(c, m), "found out by its id: " .. tostring(answer(c).error))
    in_force_within(5000, in_force.version)
  end
end)

scenario("a domain is cut off, an instance frozen: they catch up", function()
  seen = {}
  begin{domains = {"a", "b"}, entries = 2}
  cut("b", "platform")
  cut("a", "b")
  freeze("a2")
  for i = 1, 3 do
    local m = change("a1", i)
    local c = apply("a1", m)
    within(5000, "an answer", function() return answer(c).status ~= 0 end)
    expect(accepted_config(c, m), "accepted")
    never_falls()
  end
  run(10000)
  heal()
  thaw("a2")
  in_force_within(3000, in_force.version)
end)

scenario("one way cut: told by peers when the platform does not answer", function()
  seen = {}
  begin{domains = {"a", "b"}, entries = 2}
  cut("platform", "b1", true)
  local m = change("a1", 1)
  local c = apply("a1", m)
  within(5000, "an answer", function() return answer(c).status ~= 0 end)
  expect(accepted_config(c, m), "accepted")
  in_force_within(3000, in_force.version, {"a1", "a2", "b2"})
  run(5000)
  local k = task{at = "b1", team = "red", id = "stale"}
  run(1000)
  expect(answer(k).status == 503, "an instance that cannot know refuses keyed work")
  heal()
  in_force_within(3000, in_force.version)
end)

scenario("a bad manifest changes nothing and names the place", function()
  seen = {}
  begin{}
  local m = change("a1", 1)
  m.teams[1].limit.cores = -5
  local c = apply("a1", m)
  run(1000)
  expect(answer(c).status == 400 and answer(c).field == "teams[0].limit.cores",
         "the field is named: " .. tostring(answer(c).field))
  expect(version("a1") == 1, "version 1 stays")
end)
