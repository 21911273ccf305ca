dofile("regress/fleet/lib.lua")

-- Executors return 500 ends of runs at a time.

-- Submits count jobs of tasks tiny tasks, beginning with number first.
local function submit_tiny(first, count, tasks, ms)
  for n = first, first + count - 1 do
    job{id = id(n), steps = {{tasks = tasks, cpu = 10, mem = 4, ms = ms}}}
    submit(n % 3, id(n))
  end
end

local function expect_run_once(first, last, tasks)
  for n = first, last do
    local s = state(leader(), id(n))
    expect(s == "completed", "job " .. n .. " is " .. s)
    for t = 0, tasks - 1 do
      expect(task(id(n), 0, t) == 1, "task " .. t .. " of job " .. n ..
             " was started " .. task(id(n), 0, t) .. " times")
    end
  end
end

-- The ends beyond the first page were taken for runs that never started.
scenario("a new leader reads all pages of ends before it restarts tasks",
  function()
  start_fleet{execs = 3}
  submit_tiny(1, 20, 60, 4000)
  run(3400)
  expect(running() == 1200, running() .. " tasks are running")
  local old = kill_leader()
  run(3000)
  instance(old, "start")
  run(6000)
  expect_run_once(1, 20, 60)
end)

scenario("pages of ends are read although two leaders are lost", function()
  start_fleet{execs = 1}
  submit_tiny(1, 4, 600, 4000)
  run(3400)
  for _ = 1, 2 do
    local old = kill_leader()
    run(1500)
    instance(old, "start")
  end
  run(10000)
  expect_run_once(1, 4, 600)
end)

scenario("the same leader reads all pages after the table was away", function()
  start_fleet{execs = 1}
  submit_tiny(1, 3, 500, 2500)
  run(1500)
  expect(running() == 1500, running() .. " tasks are running")
  store("down", 2500)
  run(9000)
  expect_run_once(1, 3, 500)
end)

scenario("five thousand ends are read, and other executors work on", function()
  start_fleet{execs = 2, cores = 64}
  submit_tiny(1, 10, 500, 5000)
  run(4600)
  local old = kill_leader()
  run(400)
  for n = 101, 120 do
    job{id = id(n), steps = {{tasks = 2, cpu = 500, ms = 300}}}
    submit((old + 1 + n % 2) % 3, id(n))
  end
  run(2600)
  instance(old, "start")
  run(1000)
  expect_run_once(101, 120, 2)
  run(10000)
  expect_run_once(1, 10, 500)
end)

-- A gang of which one member's end is on the first page, another's on a later.
scenario("a gang whose ends are on two pages is done", function()
  start_fleet{execs = 2}
  job{id = id(900), steps = {{tasks = 2, gang = true, cpu = 9000, ms = 3500}}}
  submit(0, id(900))
  run(300)
  submit_tiny(1, 4, 400, 2800)
  run(2900)
  kill_leader()
  run(9000)
  expect(state(leader(), id(900)) == "completed", "the gang is not done")
  for t = 0, 1 do
    expect(task(id(900), 0, t) == 1, "a member was started again")
  end
end)
