-- Guarantee 4: the running work of a team in all domains never exceeds its upper
-- limit.

-- Submits n tasks of 3 cores, in turn to each entry instance; a task is left out
-- if its instance is not up.
local function submit(n, team, ms)
  for i = 1, n do
    local e = entries[i % #entries + 1]
    if up(e) then
      task{at = e, team = team or "red", id = "l" .. now() .. "-" .. i, cores = 3,
           ms = ms or 4000}
    end
  end
end

scenario("three domains share one limit", function()
  begin({domains = {"a", "b", "c"}, entries = 2}, {red = {cores = 30}, blue = {}})
  for _ = 1, 5 do submit(30) run(2000) end
  recover_and_check(300000)
end)

scenario("the limit's share of an idle domain moves to the domain that needs it", function()
  begin({domains = {"a", "b"}, entries = 2, workers = 6}, {red = {cores = 40}, blue = {}})
  partition("a", "b") -- so that no task is forwarded to b
  local n = 0
  for i = 1, 20 do
    task{at = "a1", team = "red", id = "g" .. i, cores = 4, ms = 60000}
  end
  run(20000)
  for i = 1, 20 do if starts("red:g" .. i) > 0 then n = n + 1 end end
  expect(n == 10, "all 40 cores of the limit are used in one domain, not " .. n * 4 .. " cores")
  recover_and_check(300000)
end)

scenario("a limit is lowered below what is running", function()
  begin({domains = {"a", "b"}, entries = 2}, {red = {cores = 60}, blue = {}})
  submit(40, "red", 15000)
  run(4000)
  local m = manifest({red = {cores = 12}, blue = {}}, {"red", "blue"})
  local c = apply("a1", m)
  within(5000, "an answer to the lowered limit", function() return answer(c).status ~= 0 end)
  expect(accepted_config(c, m), "the lowered limit is accepted")
  for _ = 1, 8 do run(3000) submit(6, "red", 2000) end
  recover_and_check(600000)
end)

scenario("a limit is lowered while a holder changes and store replies are lost", function()
  begin({domains = {"a", "b"}, entries = 3}, {red = {cores = 60}, blue = {}})
  submit(30, "red", 10000)
  run(3000)
  faults{lost_reply_percent = 40}
  kill(holder("b"))
  local m = manifest({red = {cores = 9}, blue = {}}, {"red", "blue"})
  local c = apply("a1", m)
  within(11000, "an answer to the lowered limit", function() return answer(c).status ~= 0 end)
  if answer(c).status == 200 then accepted_config(c, m) end
  for _ = 1, 8 do run(3000) submit(6, "red", 2000) end
  recover_and_check(600000)
end)

scenario("a limit is lowered while a partition separates a domain from the platform and its peers", function()
  begin({domains = {"a", "b"}, entries = 2}, {red = {cores = 60}, blue = {}})
  submit(20, "red", 30000)
  run(2000)
  partition("b", "platform")
  partition("a", "b")
  local m = manifest({red = {cores = 15}, blue = {}}, {"red", "blue"})
  local c = apply("a1", m)
  within(11000, "an answer to the lowered limit", function() return answer(c).status ~= 0 end)
  expect(accepted_config(c, m), "the lowered limit is accepted")
  for _ = 1, 6 do submit(10, "red", 3000) run(3000) end
  heal()
  for _ = 1, 6 do submit(10, "red", 3000) run(3000) end
  recover_and_check(600000)
end)

scenario("a holder is frozen while its share of the limit moves to the other domain", function()
  begin({domains = {"a", "b"}, entries = 2}, {red = {cores = 30}, blue = {}})
  submit(20, "red", 4000)
  run(1000)
  local h = holder("a")
  freeze(h)
  for _ = 1, 6 do
    for i = 1, 8 do
      task{at = "b1", team = "red", id = "z" .. now() .. i, cores = 3, ms = 4000}
    end
    run(3000)
  end
  thaw(h)
  for _ = 1, 4 do submit(10, "red", 3000) run(2000) end
  recover_and_check(600000)
end)

scenario("executor slots of service requests count against the limit", function()
  begin({domains = {"a", "b"}, entries = 2, executors = 2},
        {red = {slots = 5}, blue = {}})
  for r = 1, 8 do
    for i = 1, 10 do
      service{at = entries[i % 4 + 1], team = "red", id = r .. "-" .. i, ms = 900}
    end
    run(500)
  end
  kill(holder("a"))
  for r = 9, 14 do
    for i = 1, 10 do
      local e = entries[i % 4 + 1]
      if up(e) then service{at = e, team = "red", id = r .. "-" .. i, ms = 900} end
    end
    run(700)
  end
end)
