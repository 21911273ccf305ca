dofile("regress/fleet/lib.lua")

-- The second of three jobs is submitted to an instance whose wall clock is 4 s
-- behind.  The jobs must run in the order of submission.
scenario("jobs keep their order when the wall clocks of instances differ",
  function()
  start_fleet{execs = 1, cores = 1}
  local clock_behind = (leader() + 1) % 3
  instance(clock_behind, "clock", -4000)
  run(100)
  job{id = id(1), steps = {{tasks = 1, ms = 800}}}
  submit(leader(), id(1))
  run(200)
  job{id = id(2), steps = {{tasks = 1, ms = 500}}}
  submit(clock_behind, id(2))
  run(100)
  job{id = id(3), steps = {{tasks = 1, ms = 500}}}
  submit(leader(), id(3))
  run(1250)
  expect(state(0, id(2)) == "completed",
         "the job that was submitted earlier is not completed first")
end)

-- The leader sends its queries for advice through the other instances.  It must
-- repeat queries to which an instance never replies.
scenario("advice queries through partitioned instances are repeated",
         function()
  start_fleet{instances = 3, execs = 4}
  local l = leader()
  instance((l + 1) % 3, "partition", 5000)
  instance((l + 2) % 3, "partition", 5000)
  job{id = id(1), queue = "quick", advice_base_us = 5600,
      advice_per_exec_us = 80, steps = {{tasks = 2, ms = 300}}}
  submit(l, id(1))
  run(1500)
  expect(state(l, id(1)) == "completed", "job is not completed within 1.9 s")
end)
