-- Guarantee 2: no task runs in two places at once: a holder of the past.
scenario("a start recorded, not sent: the holder freezes, the worker reboots", function()
  begin{entries = 2, workers = 1}
  local h = holder("a")
  server("a-w1", {silent = true})
  run(1100) -- a sync is outstanding: no other is sent before it ends
  for i = 1, 3 do
    task{at = h, team = "red", id = "t" .. i, cores = 2, ms = 60000}
  end
  run(100)
  freeze(h)
  server("a-w1", {silent = false})
  within(20000, "a successor", function() return holder("a") ~= h end)
  run(3000)
  server("a-w1", {reboot = true})
  run(6000)
  -- Its reads are answered, its renewal is not: only the clock tells it.
  faults{lose = 100}
  thaw(h)
  run(3000)
  faults{lose = 0}
  settle(300000)
end)

scenario("a holder of the past does not stop its successor's work", function()
  begin{entries = 2, workers = 2}
  local h = holder("a")
  freeze(h)
  within(20000, "a successor", function() return holder("a") ~= h end)
  run(3000)
  local calls = {}
  for i = 1, 6 do
    calls[i] = task{at = holder("a"), team = "red", id = "r" .. i, queue = "once", ms = 20000}
  end
  run(3000)
  faults{lose = 100}
  thaw(h)
  run(6000)
  faults{lose = 0}
  run(30000)
  for i = 1, 6 do
    expect(state_of(answer(calls[i]).id) == "done", "a render ends undisturbed")
  end
end)
