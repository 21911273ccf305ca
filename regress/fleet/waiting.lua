dofile("regress/fleet/lib.lua")

-- Return: number of waiting jobs of queue q that instance i reports, -1 if it
-- reports none.
local function waiting_jobs(i)
  local c = waiting(i, "q")
  run(300)
  local status, body = answer(c)
  return status == 200 and tonumber(body) or -1
end

-- Starts are sent to executors that do not get them, until the leader notices.
scenario("jobs whose starts have not arrived count as waiting", function()
  start_fleet{execs = 4}
  for e = 0, 3 do exec(e, "partition", 4000) end
  for n = 1, 8 do
    job{id = id(n), steps = {{tasks = 2, ms = 600}}}
    submit(n % 3, id(n))
  end
  run(1500)
  for n = 1, 8 do expect(task(id(n)) == 0, "a task has started") end
  local n = waiting_jobs(leader())
  expect(n == 8, n .. " of 8 jobs count as waiting")
  expect(state((leader() + 1) % 3, id(1)) == "pending", "job is not pending")
  run(12000)
  expect(waiting_jobs(leader()) == 0, "jobs still count as waiting")
  for k = 1, 8 do
    expect(state(leader(), id(k)) == "completed", "job is not completed")
  end
end)

-- The next leader knows the records of the starts, but not whether they arrived.
scenario("recorded starts that have not arrived count as waiting for a new leader",
  function()
  start_fleet{execs = 4}
  for e = 0, 3 do exec(e, "partition", 8000) end
  for n = 1, 8 do
    job{id = id(n), steps = {{tasks = 2, ms = 600}}}
    submit(n % 3, id(n))
  end
  run(300)
  instance(leader(), "kill")
  run(3000)
  for n = 1, 8 do expect(task(id(n)) == 0, "a task has started") end
  local n = waiting_jobs(leader())
  expect(n == 8, n .. " of 8 jobs count as waiting")
end)

scenario("running jobs do not count as waiting for a new leader", function()
  start_fleet{}
  for n = 1, 6 do
    job{id = id(n), steps = {{tasks = 2, ms = 9000}}}
    submit(n % 3, id(n))
  end
  run(800)
  expect(waiting_jobs(leader()) == 0, "running jobs count as waiting")
  instance(leader(), "kill")
  run(3000)
  expect(waiting_jobs(leader()) == 0, "running jobs count as waiting later")
end)

-- The first step is done; the second cannot run, as no executor has room.
scenario("a job with a finished task does not count as waiting for a new leader",
  function()
  start_fleet{execs = 1, cores = 4}
  job{id = id(1), steps = {{tasks = 1, ms = 300, cpu = 1000},
                           {tasks = 1, ms = 300, cpu = 4000, after = 0}}}
  job{id = id(2), steps = {{tasks = 1, ms = 9000, cpu = 3000}}}
  submit(0, id(1))
  submit(0, id(2))
  run(1500)
  instance(leader(), "kill")
  run(3000)
  expect(waiting_jobs(leader()) == 0, "a job that has begun counts as waiting")
  expect(state(leader(), id(1)) == "running", "job is not running")
end)
