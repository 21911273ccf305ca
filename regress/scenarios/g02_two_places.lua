-- Guarantee 2: no task runs in two places at once.

-- Submits n tasks of 2 cores with a run time of ms to a queue (default: "batch"),
-- at the instance at.
local function submit(at, n, ms, queue)
  for i = 1, n do
    task{at = at, team = "red", id = "t" .. now() .. "-" .. i, cores = 2, ms = ms,
         queue = queue}
  end
end

for _, after in ipairs{0, 4, 8, 11, 14, 18, 25, 40} do
  scenario("holder killed " .. after .. " ms after tasks were submitted", function()
    begin{entries = 2}
    local h = holder("a")
    submit(h, 6, 20000)
    run(after)
    kill(h)
    run(12000)
    restart(h)
    recover_and_check()
  end)
end

scenario("a holder is frozen for longer than its lease and thawed with unsent starts", function()
  begin{entries = 2}
  local h = holder("a")
  for _ = 1, 8 do
    submit(h, 2, 30000)
    run(3)
  end
  freeze(h)
  run(15000)
  thaw(h)
  recover_and_check()
end)

scenario("a worker is unreachable for longer than the task lease, then returns", function()
  begin{entries = 2, workers = 2}
  submit("a1", 6, 60000)
  run(2000)
  server("a-w1", {unreachable = true})
  run(70000)
  server("a-w1", {unreachable = false})
  recover_and_check(300000)
end)

scenario("a worker becomes unreachable at the moment the holder dies", function()
  begin{entries = 2, workers = 2}
  submit("a1", 6, 200000)
  run(2000)
  local h = holder("a")
  kill(h)
  server("a-w1", {unreachable = true})
  run(120000)
  server("a-w1", {unreachable = false})
  run(1000)
  restart(h)
  recover_and_check(900000)
end)

scenario("a partition separates the domain from the platform, then the holder is frozen", function()
  begin{entries = 3}
  submit("a1", 6, 60000)
  run(2000)
  local h = holder("a")
  partition("a", "platform")
  run(8000)
  freeze(h)
  run(30000)
  heal()
  run(9000)
  thaw(h)
  recover_and_check(300000)
end)

scenario("a partition separates only the holder from the platform", function()
  begin{entries = 3}
  submit("a1", 6, 60000)
  run(2000)
  local h = holder("a")
  partition(h, "platform")
  run(20000)
  submit(any_up(), 4, 5000)
  run(20000)
  heal()
  recover_and_check(300000)
end)

scenario("the table carries out every operation and answers none", function()
  begin{entries = 3}
  submit("a1", 6, 5000)
  run(5)
  store("drops-replies")
  submit("a1", 6, 5000)
  run(12000)
  kill(holder("a") or "a1")
  run(3000)
  store("up")
  recover_and_check(300000)
end)

scenario("half of the messages to the platform and the workers are late", function()
  begin{entries = 3}
  faults{late_percent = 50}
  for _ = 1, 10 do
    submit(any_up(), 5, 3000)
    run(1500)
  end
  local h = holder("a")
  if h then kill(h) end
  run(8000)
  recover_and_check(300000)
end)

scenario("workers of gang members reboot or become unreachable", function()
  begin{entries = 2, workers = 4}
  for i = 1, 3 do
    task{at = "a1", team = "red", id = "gang" .. i, cores = 4, members = 3,
         spread = true, ms = 30000}
  end
  run(2000)
  server("a-w1", {reboot = true})
  run(3000)
  server("a-w2", {unreachable = true})
  run(60000)
  server("a-w2", {unreachable = false})
  recover_and_check(300000)
end)

scenario("a worker carries out syncs but its replies are lost, then it recovers", function()
  begin{entries = 2, workers = 2}
  submit("a1", 6, 90000)
  run(2000)
  server("a-w1", {drops_replies = true})
  run(80000)
  server("a-w1", {drops_replies = false})
  recover_and_check(300000)
end)

scenario("an intent is lost on its way to the table", function()
  begin{entries = 3, workers = 2}
  local h = holder("a")
  faults{store_delay_ms = 300}
  submit(h, 2, 60000)
  -- After 330 ms the tasks are accepted and their intents are on the way to the
  -- table.
  run(330)
  partition(h, "platform")
  run(2200) -- longer than the time between two syncs
  server("a-w1", {unreachable = true})
  kill(h)
  faults{store_delay_ms = 0}
  run(9000)
  server("a-w1", {unreachable = false})
  recover_and_check(300000)
end)

scenario("a journal write is on its way when the holder freezes", function()
  begin{entries = 3, workers = 2}
  for round = 1, 4 do
    local h = holder("a")
    submit(h, 3, 20000, "once")
    run(4 + round)
    freeze(h)
    run(9000)
    submit(any_up(), 3, 20000, "once")
    run(500)
    thaw(h)
    run(6000)
  end
  recover_and_check(300000)
end)
