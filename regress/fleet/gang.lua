dofile("regress/fleet/lib.lua")

-- When the answer to a member's start order is lost, the leader cannot know
-- whether the member has started.  The leader must stop the other members
-- instead of leaving them waiting.
scenario("a gang is stopped when the start order of one member is lost",
  function()
  start_fleet{execs = 4, cores = 4}
  for i = 0, 3 do exec(i, "delay-orders", i == 2 and 1 or 0) end
  job{id = id(1), steps = {{tasks = 8, gang = true, cpu = 2000, ms = 800}}}
  submit(0, id(1))
  run(700)
  expect(running() > 0, "no member has started")
  run(1800)
  expect(running(0) == 0 and running(1) == 0, "members were not stopped")
  exec(2, "delay-orders", 0)
  run(4000)
  expect(state(0, id(1)) == "completed", "job is not completed")
end)

-- The task is running although the answer to its start order was lost.
-- Stopping the task and starting it again would waste its work.
scenario("a run is not stopped when only the answer to its start was lost",
  function()
  start_fleet{execs = 2}
  exec(0, "lose-results", 0.5)
  exec(1, "lose-results", 0.5)
  for n = 1, 10 do
    job{id = id(n), steps = {{tasks = 2, ms = 2000}}}
    submit(0, id(n))
  end
  run(1500)
  exec(0, "lose-results", 0)
  exec(1, "lose-results", 0)
  run(3500)
  local starts = 0
  for n = 1, 10 do
    expect(state(0, id(n)) == "completed", "job is not completed")
    starts = starts + task(id(n), 0, 0) + task(id(n), 0, 1)
  end
  expect(starts == 20, starts .. " starts instead of 20")
end)

-- The answer to a task's first start order is lost, and a second start order
-- cannot be sent.  The leader must not take the second outcome as proof that
-- the task is not running.
scenario("an unsent start order does not decide the outcome of an earlier one",
  function()
  start_fleet{execs = 2, cores = 4}
  exec(0, "lose-results", 1)
  exec(1, "lose-results", 1)
  for n = 1, 4 do
    job{id = id(n), steps = {{tasks = 1, ms = 3000, cpu = 1000}}}
    submit(0, id(n))
  end
  run(300)
  exec(0, "refuse-connections", 1)
  exec(0, "lose-results", 0)
  exec(1, "lose-results", 0)
  run(12000)
  exec(0, "refuse-connections", 0)
  run(8000)
  for n = 1, 4 do
    expect(state(1, id(n)) == "completed", "job is not completed")
  end
end)

-- Six gangs of 35 to 60 tasks compete for room with each other and with urgent
-- tasks, which take half of the fleet.  Each gang alone fits into the free
-- executors that it may run on.
scenario("wide gangs that compete for room all start", function()
  local JOBS_PER_20_MS, GANGS = 2, 6
  CONFIG = CONFIG:gsub("310 4.4", "540 7.7 1500")
  start_fleet{instances = 8, execs = 200, cores = 32, mem = 128000,
              permitted_percent = 30, ticket_ms = 1500}
  local n = 1000
  local function submit_urgent_jobs(for_ms)
    for _ = 1, for_ms / 20 do
      for _ = 1, JOBS_PER_20_MS do
        n = n + 1
        job{id = id(n), steps = {{tasks = 1 + math.floor(3 * random()),
                                  cpu = math.floor(8000 + 8000 * random()),
                                  mem = math.floor(30000 + 50000 * random()),
                                  ms = math.floor(500 + 1500 * random())}}}
        submit(n % 8, id(n))
      end
      run(20)
    end
  end
  submit_urgent_jobs(3000)
  for g = 1, GANGS do
    job{id = id(g), queue = "wide", advice_base_us = 540000,
        advice_per_exec_us = 7700,
        steps = {{tasks = 30 + 5 * g, cpu = 7350, mem = 36368, gang = true,
                  ms = 2000}}}
    submit(0, id(g))
  end
  local waiting = GANGS
  for _ = 1, 150 do
    if waiting > 0 then
      submit_urgent_jobs(100)
      waiting = 0
      for g = 1, GANGS do
        if task(id(g), 0, 0) == 0 then waiting = waiting + 1 end
      end
    end
  end
  expect(waiting == 0, waiting .. " gangs have not started after 15 s")
end)

scenario("a gang is asked about once while no executor has room for it", function()
  CONFIG = CONFIG:gsub("310 4.4", "540 7.7 1500")
  start_fleet{instances = 8, execs = 300, cores = 4, permitted_percent = 30,
              ticket_ms = 1500}
  job{id = id(1), steps = {{tasks = 300, cpu = 3000, ms = 20000}}}
  submit(0, id(1))
  run(3000)
  expect(running() == 300, running() .. " tasks run")
  local _, before = calls()
  job{id = id(2), queue = "wide", advice_base_us = 540000,
      advice_per_exec_us = 7700,
      steps = {{tasks = 20, cpu = 2000, gang = true, ms = 500}}}
  submit(0, id(2))
  run(2500)
  local _, after = calls()
  expect(after - before == 1, after - before .. " queries were sent")
end)
