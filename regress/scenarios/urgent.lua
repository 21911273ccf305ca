-- Urgent tasks start within 3.6 s, also when all workers are in use.

-- Submits n tasks of 4 cores, with a run time of ms, to the queue.
local function fill_workers(n, queue, ms)
  for i = 1, n do
    task{at = "a1", team = "red", id = queue .. i, queue = queue, cores = 4, ms = ms}
  end
end

scenario("urgent tasks preempt others on full workers, and the preempted tasks end", function()
  begin{workers = 3}
  fill_workers(12, "batch", 60000)
  run(3000)
  for i = 1, 3 do
    task{at = "a2", team = "blue", id = "u" .. i, queue = "urgent", cores = 6, ms = 2000}
  end
  within(3600, "all urgent tasks start", function()
    return starts("blue:u1") + starts("blue:u2") + starts("blue:u3") == 3
  end)
  recover_and_check(600000)
  for i = 1, 12 do
    expect(starts("red:batch" .. i) <= 4, "no preempted task is started more than 4 times")
  end
end)

scenario("tasks that are not idempotent are not preempted", function()
  begin{workers = 2}
  fill_workers(8, "once", 20000)
  run(3000)
  local u = task{at = "a2", team = "blue", id = "u", queue = "urgent", cores = 6, ms = 1000}
  run(8000)
  expect(starts("blue:u") == 0, "the urgent task waits for their end")
  run(20000)
  expect(starts("blue:u") == 1, "the urgent task starts after their end")
  recover_and_check()
end)

scenario("the holder dies while tasks are being preempted", function()
  begin{entries = 3, workers = 2}
  for _, after in ipairs{0, 3, 8, 14} do
    fill_workers(8, "batch", 30000)
    run(2500)
    local h = holder("a")
    task{at = h, team = "blue", id = "u" .. after, queue = "urgent", cores = 8, ms = 500}
    run(after + 10)
    kill(h)
    run(9000)
    restart(h)
  end
  recover_and_check(600000)
end)

scenario("a stream of urgent tasks does not starve the others", function()
  begin{workers = 2}
  fill_workers(8, "batch", 8000)
  run(1000)
  for i = 1, 40 do
    task{at = "a2", team = "blue", id = "s" .. i, queue = "urgent", cores = 8, ms = 400}
    run(1000)
  end
  recover_and_check(300000)
end)
