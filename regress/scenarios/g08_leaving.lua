-- Guarantee 8: a backend server that leaves gets no new work after a few
-- seconds.

-- Sends a task and a service request every 100 ms, for ms.
local function send_steadily(ms)
  local deadline = now() + ms
  while now() < deadline do
    local at = any_up()
    if at then
      task{at = at, team = "red", id = "v" .. now(), cores = 2, ms = 700}
      service{at = at, team = "red", id = "u" .. now(), ms = 300}
    end
    run(100)
  end
end

for _, lag in ipairs{0, 2500} do
  scenario("servers leave, and the platform's list is " .. lag .. " ms late", function()
    begin{entries = 2, executors = 2}
    faults{list_lag_ms = lag}
    send_steadily(2000)
    server("a-w1", {leaving = true})
    server("a-x1", {leaving = true})
    send_steadily(12000)
    recover_and_check()
  end)
end

scenario("the holder changes while servers leave", function()
  begin{entries = 3, executors = 2}
  send_steadily(2000)
  server("a-w1", {leaving = true})
  server("a-x1", {leaving = true})
  kill(holder("a"))
  send_steadily(15000)
  recover_and_check()
end)

scenario("the holder is frozen while servers leave", function()
  begin{entries = 2, executors = 2}
  send_steadily(1000)
  local h = holder("a")
  freeze(h)
  server("a-w1", {leaving = true})
  server("a-x1", {leaving = true})
  run(12000)
  thaw(h)
  send_steadily(8000)
  recover_and_check()
end)

scenario("tasks recorded in an outage do not go to a worker that began to leave in it", function()
  begin{entries = 2}
  send_steadily(1000)
  store("hangs")
  send_steadily(500)
  server("a-w1", {leaving = true})
  send_steadily(2000)
  run(9000)
  store("up")
  send_steadily(6000)
  recover_and_check()
end)

scenario("runs on a leaving worker continue to their end", function()
  begin{workers = 2}
  for i = 1, 4 do
    task{at = "a1", team = "red", id = "e" .. i, queue = "once", ms = 9000, cores = 4}
  end
  run(2000)
  server("a-w1", {leaving = true})
  server("a-w2", {leaving = true})
  run(15000)
  for i = 1, 4 do expect(starts("red:e" .. i) == 1, "the task is started once") end
  server("a-w1", {leaving = false})
  recover_and_check()
end)

for after = 6, 24, 3 do
  scenario("tasks are submitted " .. after
           .. " ms before an outage in which a worker begins to leave", function()
    begin{entries = 2, workers = 2}
    for i = 1, 3 do
      task{at = "a1", team = "red", id = "q" .. i, cores = 6, ms = 1000}
    end
    run(after)
    store("hangs")
    run(200)
    server("a-w1", {leaving = true})
    run(9000 + after * 70)
    store("up")
    run(6000)
    recover_and_check()
  end)
end
