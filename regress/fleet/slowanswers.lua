dofile("regress/fleet/lib.lua")

local EXECS, GANG_TASKS = 8, 4

-- From now on, executors carry out orders at once and answer ms later.
local function set_slow(ms)
  for e = 0, EXECS - 1 do exec(e, "slow-answers", ms) end
end

-- Submits 25 jobs in 10 s, every fifth of them a gang.  Runs the simulation
-- until limit_ms after the last one.
--
-- Return: number of jobs, of jobs that are done limit_ms after their
-- submission, and of runs of each gang's first member.
local function play_jobs(limit_ms)
  local JOBS = 25
  local at, done, n_done, gang_runs = {}, {}, 0, 0
  for n = 1, JOBS + limit_ms / 400 do
    if n <= JOBS then
      local gang = n % 5 == 0
      job{id = id(n), steps = {{tasks = gang and GANG_TASKS or 1, gang = gang,
                                cpu = 4000, ms = gang and 2000 or 500}}}
      submit(n % 3, id(n))
      at[n] = now()
    end
    for _ = 1, 20 do
      run(20)
      for k = 1, #at do
        local _, _, is_done = task(id(k), 0, 0)
        if is_done and not done[k] then done[k] = now() - at[k] end
      end
    end
  end
  for n = 1, JOBS do
    if done[n] and done[n] <= limit_ms then n_done = n_done + 1 end
    if n % 5 == 0 then gang_runs = gang_runs + task(id(n), 0, 0) end
  end
  return JOBS, n_done, gang_runs
end

for _, ms in ipairs{700, 1000, 1500} do
  scenario("jobs run while executors answer after " .. ms .. " ms", function()
    start_fleet{execs = EXECS}
    set_slow(ms)
    local jobs, done, gang_runs = play_jobs(7000)
    expect(done == jobs, done .. " of " .. jobs .. " jobs are done in time")
    expect(gang_runs <= 6, "5 gangs have run " .. gang_runs .. " times")
  end)
end

-- The leader must go on extending the leases of the executors.
scenario("running tasks are not lost while executors answer late", function()
  local JOBS = 12
  start_fleet{execs = EXECS}
  for n = 1, JOBS do
    job{id = id(n), steps = {{tasks = 1, cpu = 1000, ms = 14000}}}
    submit(n % 3, id(n))
  end
  run(1000)
  set_slow(1500)
  run(16000)
  for n = 1, JOBS do
    local starts, _, done = task(id(n), 0, 0)
    expect(done and starts == 1, starts .. " starts of a task")
  end
end)

-- What was measured while answers were late must not delay this.
scenario("an executor that crashes after it was late is noticed", function()
  start_fleet{execs = EXECS}
  set_slow(1500)
  run(10000)
  set_slow(0)
  run(4000)
  for e = 1, EXECS - 1 do exec(e, "crash") end
  run(100)
  for n = 1, 6 do
    job{id = id(n), steps = {{tasks = 1, cpu = 1000, ms = 500}}}
    submit(n % 3, id(n))
  end
  run(3000)
  for n = 1, 6 do
    expect(task(id(n), 0, 0) > 0, "a task has not started")
  end
end)

-- A start order is answered by the new boot while an answer of the boot before
-- to a poll is still on its way.
scenario("a late answer of the boot before does not hide the new boot",
  function()
  local ROUNDS, JOBS = 40, 12
  start_fleet{execs = 2}
  local n = 0
  for round = 1, ROUNDS do
    exec(0, "slow-answers", 700)
    run(1500 + 40 * round)
    exec(0, "reboot")
    exec(0, "slow-answers", 0)
    for _ = 1, JOBS do
      n = n + 1
      job{id = id(n), steps = {{tasks = 2, cpu = 1000, ms = 1500}}}
      submit(n % 3, id(n))
      run(40)
    end
    run(3500)
  end
  run(5000)
  for k = 1, n do
    local _, _, done = task(id(k), 0, 0)
    expect(done, "job " .. k .. " is not done")
  end
end)
