dofile("regress/fleet/lib.lua")

-- Submits job n, whose first count tasks crash executors, and runs the
-- simulation for ms.  They do so crash_after_ms (300) after their start.
local function submit_crashing(n, tasks, count, ms, crash_after_ms)
  job{id = id(n), steps = {{tasks = tasks, ms = 4000}}, crashing = count,
      crash_after_ms = crash_after_ms}
  submit(n % 3, id(n))
  run(ms)
end

scenario("a task that crashes its executors is given up", function()
  start_fleet{execs = 12}
  submit_crashing(1, 1, 1, 30000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  expect(crashes() <= 3, crashes() .. " executors have crashed")
end)

scenario("crashes count although executors stay away for longer than a lease",
  function()
  start_fleet{execs = 12}
  for e = 0, 11 do exec(e, "boot-delay", 9000) end
  submit_crashing(1, 1, 1, 60000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  expect(crashes() <= 5, crashes() .. " executors have crashed")
end)

scenario("a task whose executors drain before they leave is not given up",
  function()
  start_fleet{execs = 12}
  job{id = id(1), steps = {{tasks = 1, ms = 4000}}}
  submit(0, id(1))
  for _ = 1, 4 do
    for _ = 1, 200 do if running() > 0 then break end run(20) end
    for e = 0, 11 do
      if running(e) > 0 then
        exec(e, "drain", 1)
        run(1000)
        exec(e, "reboot")
        exec(e, "drain", 0)
      end
    end
    run(200)
  end
  run(8000)
  expect(state(0, id(1)) == "completed", "state is " .. state(0, id(1)))
end)

for _, new_id in ipairs{0, 1} do
  scenario("crashes count that come before the answer to the start, new id: "
           .. new_id, function()
    start_fleet{execs = 12}
    for e = 0, 11 do exec(e, "new-id", new_id) end
    submit_crashing(1, 1, 1, 60000, 0)
    expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  end)
end

for _, delay_ms in ipairs{2000, 9000} do
  scenario("crashes count although an executor is back under a new id after "
           .. delay_ms .. " ms", function()
    start_fleet{execs = 12}
    for e = 0, 11 do
      exec(e, "new-id", 1)
      exec(e, "boot-delay", delay_ms)
    end
    submit_crashing(1, 1, 1, 60000)
    expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  end)
end

-- Runs job 1 with the step while the executor that it has begun on crashes four
-- times, with the same id or with a new one each time.
local function run_with_crashing_executor(step, new_id)
  start_fleet{execs = 12}
  for e = 0, 11 do exec(e, "new-id", new_id) end
  job{id = id(1), steps = {step}}
  submit(0, id(1))
  run(500)
  local crashing = 0
  while crashing < 11 and running(crashing) == 0 do crashing = crashing + 1 end
  for _ = 1, 4 do
    exec(crashing, "reboot")
    run(3000)
  end
  run(8000)
  expect(state(0, id(1)) == "completed", "state is " .. state(0, id(1)))
end

for _, new_id in ipairs{0, 1} do
  scenario("a job is not given up because one executor crashes again and "
           .. "again, new id: " .. new_id, function()
    run_with_crashing_executor({tasks = 1, ms = 4000}, new_id)
  end)
  scenario("a gang is not given up because one executor crashes again and "
           .. "again, new id: " .. new_id, function()
    run_with_crashing_executor({tasks = 4, ms = 4000, gang = 1, cpu = 6000},
                           new_id)
  end)
end

-- Each start goes to an executor that is down already.
scenario("a task that never reached its executors is not given up", function()
  start_fleet{execs = 12}
  job{id = id(1), steps = {{tasks = 1, ms = 1000}}}
  exec(0, "crash")
  submit(0, id(1))
  for e = 0, 2 do
    run(2100)
    if e < 2 then exec(e + 1, "crash") end
    exec(e, "reboot")
    expect(task(id(1)) == 0, "the task was started")
    run(900)
  end
  run(12000)
  expect(state(0, id(1)) == "completed", "state is " .. state(0, id(1)))
end)

-- The jobs fill half of the executors.
scenario("jobs beside tasks that crash executors are completed", function()
  start_fleet{execs = 12}
  for n = 2, 13 do
    job{id = id(n), steps = {{tasks = 4, ms = 3000, cpu = 2000}}}
    submit(n % 3, id(n))
  end
  submit_crashing(1, 4, 4, 30000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  for n = 2, 13 do
    expect(state(0, id(n)) == "completed", "job is " .. state(0, id(n)))
  end
end)

-- Sets whether the discovery entries of all executors say that they drain.
local function drain_all(draining)
  for e = 0, 11 do exec(e, "drain", draining) end
end

scenario("the next leader knows of the crashes", function()
  start_fleet{execs = 12}
  submit_crashing(1, 1, 1, 0)
  for _ = 1, 3 do
    local before = crashes()
    for _ = 1, 400 do if crashes() > before then break end run(20) end
    drain_all(1)
    run(3000)
    local old = leader()
    instance(old, "kill")
    run(3500)
    instance(old, "start")
    drain_all(0)
  end
  run(5000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
  expect(crashes() == 3, crashes() .. " executors have crashed")
end)

scenario("crashes count although each one comes with a new leader", function()
  start_fleet{execs = 12}
  submit_crashing(1, 1, 1, 0)
  for _ = 1, 8 do
    local before = crashes()
    for _ = 1, 400 do if crashes() > before then break end run(20) end
    local old = leader()
    if old >= 0 then instance(old, "kill") run(3500) instance(old, "start") end
  end
  run(20000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
end)

scenario("crashes count although all instances fail", function()
  start_fleet{execs = 12}
  submit_crashing(1, 1, 1, 0)
  for _ = 1, 8 do
    local before = crashes()
    for _ = 1, 400 do if crashes() > before then break end run(20) end
    for i = 0, 2 do instance(i, "kill") end
    run(1500)
    for i = 0, 2 do instance(i, "start") end
    run(2500)
  end
  run(20000)
  expect(state(0, id(1)) == "failed", "state is " .. state(0, id(1)))
end)

scenario("a task whose executors crash twice for other reasons is not given up",
  function()
  start_fleet{execs = 12}
  job{id = id(1), steps = {{tasks = 1, ms = 4000}}}
  submit(0, id(1))
  for _ = 1, 2 do
    for _ = 1, 200 do if running() > 0 then break end run(20) end
    run(1000)
    for e = 0, 11 do if running(e) > 0 then exec(e, "reboot") end end
  end
  run(8000)
  expect(state(0, id(1)) == "completed", "state is " .. state(0, id(1)))
end)

scenario("executors that failed runs for long are used soon afterwards",
  function()
  start_fleet{execs = 4, cores = 4}
  for e = 0, 3 do exec(e, "fail-runs", 1) end
  for n = 1, 120 do
    job{id = id(n), attempts = 100, steps = {{tasks = 1, ms = 300}}}
    submit(n % 3, id(n))
    run(250)
  end
  for e = 0, 3 do exec(e, "fail-runs", 0) end
  run(14000)
  job{id = id(500), steps = {{tasks = 1, ms = 300}}}
  submit(0, id(500))
  run(3000)
  expect(state(0, id(500)) == "completed", "job is not completed")
  for n = 1, 120 do
    expect(state(0, id(n)) ~= "pending", "job " .. n .. " has not started")
  end
end)
