dofile("regress/fleet/lib.lua")

-- Starts a simulation with 48 executors of 16 cores and submits the usual mix
-- of jobs, at rate_factor times the usual rate, for the given time in seconds.
-- per_s is the usual rate of a kind of job in jobs per second.
--
-- Return: the submitted jobs, each with its id, kind, time of submission (ms),
-- number of the request and due time (ms).
local function submit_mix(rate_factor, seconds)
  start_fleet{instances = 6, execs = 48, permitted_percent = 50}
  local n, sent = 0, {}
  local kinds = {
    {queue = "wide", per_s = 1.83, tasks = 8, cpu = 4500, ms = 4000, gang = true,
     base = 310000, per_exec = 4400, slack = 2.2, target = 1000},
    {queue = "many", per_s = 5.4, tasks = 14, cpu = 980, ms = 2700,
     base = 50000, per_exec = 710, slack = 4, target = 3000},
    {queue = "quick", per_s = 48, tasks = 2, cpu = 1400, ms = 640,
     base = 5600, per_exec = 80, slack = 1.5, target = 250},
  }
  for tick = 1, seconds * 20 do
    for _, k in ipairs(kinds) do
      if random() < k.per_s * rate_factor / 20 then
        for _ = 1, math.max(1, math.floor(k.per_s * rate_factor / 20)) do
          n = n + 1
          job{id = id(n), queue = k.queue, advice_base_us = k.base,
              advice_per_exec_us = k.per_exec,
              steps = {{tasks = k.tasks, cpu = k.cpu, ms = k.ms, gang = k.gang}}}
          sent[#sent + 1] = {id = id(n), kind = k.queue, at = now(),
                             call = submit(n % 6, id(n)),
                             due = now() + k.target + k.slack * k.ms}
        end
      end
    end
    run(50)
  end
  return sent
end

scenario("all accepted jobs complete after ten seconds of triple load",
  function()
  local sent = submit_mix(3, 10)
  run(30000)
  local n_unfinished = 0
  for _, s in ipairs(sent) do
    if answer(s.call) == 200 and state(0, s.id) ~= "completed" then
      n_unfinished = n_unfinished + 1
    end
  end
  expect(n_unfinished == 0, n_unfinished .. " of " .. #sent .. " not completed")
end)

-- Submits per_s quick jobs a second for three seconds, with ids from number
-- first on.
--
-- Return: share of the jobs whose tasks were all reported as done within their
-- latency objective.
local function share_in_time(first, per_s)
  local RUN_MS, TARGET_MS, SLACK = 640, 250, 1.5
  local n, waiting, in_time = 0, {}, 0
  for t = 0, 6000, 20 do
    while t < 3000 and n <= t * per_s / 1000 do
      local job_id = id(first + n)
      job{id = job_id, queue = "quick", advice_base_us = 5600,
          advice_per_exec_us = 80,
          steps = {{tasks = 2, cpu = 500, ms = RUN_MS}}}
      submit((leader() + 1 + n % 3) % 6, job_id)
      waiting[#waiting + 1] = {id = job_id, at = now()}
      n = n + 1
    end
    run(20)
    for i = #waiting, 1, -1 do
      local _, _, done0 = task(waiting[i].id, 0, 0)
      local _, _, done1 = task(waiting[i].id, 0, 1)
      if done0 and done1 then
        if now() - waiting[i].at <= TARGET_MS + SLACK * RUN_MS then
          in_time = in_time + 1
        end
        table.remove(waiting, i)
      end
    end
  end
  return in_time / n
end

-- A new leader finds 3000 tasks that fit at once.  Each order and each answer
-- takes it 0.3 ms of CPU time, so it needs some three seconds for their starts.
scenario("quick jobs meet their objective while a new leader starts a backlog",
  function()
  start_fleet{instances = 6, execs = 60, cores = 32, permitted_percent = 70}
  for i = 0, 5 do instance(i, "io-cost", 0.3) end
  instance(leader(), "kill")
  for n = 1, 100 do
    job{id = id(n), queue = "many", advice_base_us = 0, advice_per_exec_us = 0,
        steps = {{tasks = 30, cpu = 500, ms = 8000}}}
    submit(1 + n % 5, id(n))
    run(10)
  end
  for _ = 1, 500 do
    if leader() < 0 then run(10) end
  end
  local share = share_in_time(1000, 25)
  expect(share >= 0.9, string.format("%.2f are in time", share))
end)

-- The jobs of an account that exceeds its share need more cores than any
-- executor has.  They wait for ever and must not use up the leader's time.
scenario("quick jobs meet their objective while 2000 jobs go last and wait",
  function()
  CONFIG = CONFIG .. "tenant blue 1 0 b\n"
  start_fleet{instances = 6, execs = 60, cores = 32, permitted_percent = 70}
  for i = 0, 5 do
    instance(i, "io-cost", 0.3)
    instance(i, "pass-cost", 0.01)
  end
  for n = 1, 2000 do
    job{id = id(n), queue = "many", advice_base_us = 50000,
        advice_per_exec_us = 710, steps = {{tasks = 3, cpu = 40000}}}
    submit((leader() + 1 + n % 5) % 6, id(n), "b")
    if n % 4 == 0 then run(10) end
  end
  run(1000)
  local share = share_in_time(10000, 120)
  expect(share >= 0.9, string.format("%.2f are in time", share))
end)

-- For five seconds no executor has room for a task.  The answers to further
-- advice queries would expire before any of the waiting tasks can start.
scenario("no advice is asked for again while no executor has room", function()
  start_fleet{instances = 6, execs = 120, cores = 16, permitted_percent = 70}
  job{id = id(1), steps = {{tasks = 120, cpu = 15000, ms = 6000}}}
  submit(0, id(1))
  run(500)
  for n = 2, 101 do
    job{id = id(n), queue = "quick", advice_base_us = 5600,
        advice_per_exec_us = 80, steps = {{tasks = 2, cpu = 1400, ms = 640}}}
    submit(n % 6, id(n))
  end
  run(4500)
  local _, n_queries = calls()
  expect(n_queries <= 200, n_queries .. " queries for 100 jobs")
  run(6000)
  for n = 2, 101 do
    expect(state(0, id(n)) == "completed", "job " .. n .. " is not completed")
  end
end)

-- The estimates of the wide jobs are a twentieth of their run times.  The first
-- ones run alone.  The later ones compete with a backlog of patient jobs, and
-- are not late yet while they wait for longer than the estimates allow.
scenario("jobs with estimates that are far too low meet their objective",
  function()
  local RUN_MS, SLACK, TARGET_MS, TASKS = 1500, 1.5, 250, 60
  local n, sent, in_time = 0, {}, 0
  local function all_done(job_id)
    for t = 0, TASKS - 1 do
      local _, _, done = task(job_id, 0, t)
      if not done then return false end
    end
    return true
  end
  start_fleet{instances = 3, execs = 10, cores = 16}
  for second = 1, 30 do
    for _ = 1, 20 do
      if second > 14 then
        n = n + 1
        job{id = id(n), queue = "many",
            steps = {{tasks = 10, cpu = 1000, ms = 900}}}
        submit(n % 3, id(n))
      end
      run(50)
      for _, s in ipairs(sent) do
        if not s.done and all_done(s.id) then
          s.done = true
          if now() - s.at <= TARGET_MS + SLACK * RUN_MS then
            in_time = in_time + 1
          end
        end
      end
    end
    n = n + 1
    job{id = id(n), steps = {{tasks = TASKS, cpu = 1000, ms = RUN_MS,
                              estimate = RUN_MS / 20}}}
    submit(n % 3, id(n))
    if second > 14 then sent[#sent + 1] = {id = id(n), at = now()} end
  end
  expect(in_time >= 10, in_time .. " of " .. #sent .. " completed in time")
end)

-- The executors are full, and a backlog of small tasks would take whatever
-- becomes free.  The gang needs room on several executors at the same time.
scenario("a gang starts beside a backlog of less urgent small tasks", function()
  local n, started_ms = 0, nil
  start_fleet{instances = 8, execs = 40, cores = 16, mem = 64000,
              permitted_percent = 30}
  for _ = 1, 150 do
    n = n + 1
    job{id = id(n), queue = "many",
        steps = {{tasks = 20, cpu = 2000, ms = 1500 + 10 * (n % 50)}}}
    submit(n % 8, id(n))
    run(10)
  end
  job{id = id(5000), queue = "wide", advice_base_us = 310000,
      advice_per_exec_us = 4400,
      steps = {{tasks = 16, cpu = 4500, gang = true, ms = 2000}}}
  submit(0, id(5000))
  for t = 100, 8000, 100 do
    run(100)
    if not started_ms and task(id(5000), 0, 0) > 0 then started_ms = t end
  end
  expect(started_ms and started_ms <= 3400,
         "the gang has started after " .. tostring(started_ms) .. " ms")
end)
