-- Guarantee 2: no task runs in two places at once.
local function some(at, n, ms, queue)
  for i = 1, n do
    task{at = at, team = "red", id = "t" .. now() .. "-" .. i, cores = 2, ms = ms,
         queue = queue}
  end
end

for _, after in ipairs{0, 4, 8, 11, 14, 18, 25, 40} do
  scenario("holder killed " .. after .. " ms after the request", function()
    begin{entries = 2}
    local h = holder("a")
    some(h, 6, 20000)
    run(after)
    kill(h)
    run(12000)
    restart(h)
    settle()
  end)
end

scenario("holder frozen past its lease, thawed with a start in hand", function()
  begin{entries = 2}
  local h = holder("a")
  for _ = 1, 8 do
    some(h, 2, 30000)
    run(3)
  end
  freeze(h)
  run(15000)
  thaw(h)
  settle()
end)

scenario("a worker falls silent past the task lease, then is back", function()
  begin{entries = 2, workers = 2}
  some("a1", 6, 60000)
  run(2000)
  server("a-w1", {silent = true})
  run(70000)
  server("a-w1", {silent = false})
  settle(300000)
end)

scenario("a worker falls silent just as the holder dies", function()
  begin{entries = 2, workers = 2}
  some("a1", 6, 200000)
  run(2000)
  local h = holder("a")
  kill(h)
  server("a-w1", {silent = true})
  run(120000)
  server("a-w1", {silent = false})
  run(1000)
  restart(h)
  settle(900000)
end)

scenario("the domain is cut from the platform; its holder is frozen", function()
  begin{entries = 3}
  some("a1", 6, 60000)
  run(2000)
  local h = holder("a")
  cut("a", "platform")
  run(8000)
  freeze(h)
  run(30000)
  heal()
  run(9000)
  thaw(h)
  settle(300000)
end)

scenario("a holder cut from the platform alone", function()
  begin{entries = 3}
  some("a1", 6, 60000)
  run(2000)
  local h = holder("a")
  cut(h, "platform")
  run(20000)
  some(any_up(), 4, 5000)
  run(20000)
  heal()
  settle(300000)
end)

scenario("the table does all and answers nothing", function()
  begin{entries = 3}
  some("a1", 6, 5000)
  run(5)
  store("deaf")
  some("a1", 6, 5000)
  run(12000)
  kill(holder("a") or "a1")
  run(3000)
  store("up")
  settle(300000)
end)

scenario("every message to the platform and the workers may be late", function()
  begin{entries = 3}
  faults{late = 50}
  for _ = 1, 10 do
    some(any_up(), 5, 3000)
    run(1500)
  end
  local h = holder("a")
  if h then kill(h) end
  run(8000)
  settle(300000)
end)

scenario("a gang loses a member's worker", function()
  begin{entries = 2, workers = 4}
  for i = 1, 3 do
    task{at = "a1", team = "red", id = "gang" .. i, cores = 4, members = 3,
         spread = true, ms = 30000}
  end
  run(2000)
  server("a-w1", {reboot = true})
  run(3000)
  server("a-w2", {silent = true})
  run(60000)
  server("a-w2", {silent = false})
  settle(300000)
end)

scenario("a worker hears all and answers nothing, then is back", function()
  begin{entries = 2, workers = 2}
  some("a1", 6, 90000)
  run(2000)
  server("a-w1", {mute = true})
  run(80000)
  server("a-w1", {mute = false})
  settle(300000)
end)

scenario("an intent that never reached the table", function()
  begin{entries = 3, workers = 2}
  local h = holder("a")
  faults{slow = 300}
  some(h, 2, 60000)
  run(330) -- accepted; the intent is on its way
  cut(h, "platform")
  run(2200) -- longer than between two syncs
  server("a-w1", {silent = true})
  kill(h)
  faults{slow = 0}
  run(9000)
  server("a-w1", {silent = false})
  settle(300000)
end)

scenario("a journal write that was on its way while the holder froze", function()
  begin{entries = 3, workers = 2}
  for round = 1, 4 do
    local h = holder("a")
    some(h, 3, 20000, "once")
    run(4 + round)
    freeze(h)
    run(9000)
    some(any_up(), 3, 20000, "once")
    run(500)
    thaw(h)
    run(6000)
  end
  settle(300000)
end)
