dofile("regress/fleet/lib.lua")

scenario("a job of two steps is accepted, runs and is reported as completed",
  function()
  start_fleet{}
  job{id = id(1), steps = {{tasks = 3}, {tasks = 2, after = 0}}}
  local c = submit(1, id(1))
  run(100)
  expect(answer(c) == 200, "job is not accepted")
  expect(state(2, id(1)) == "running", "job is not running")
  run(1500)
  expect(state(0, id(1)) == "completed", "job is not completed")
  for i = 0, 2 do
    expect(task(id(1), 0, i) == 1, "task was not started exactly once")
  end
end)

scenario("a gang runs on executors that the advice service permits", function()
  start_fleet{permitted_percent = 50, execs = 12}
  job{id = id(2), queue = "wide", steps = {{tasks = 8, gang = true, cpu = 4500}}}
  submit(0, id(2))
  run(3000)
  expect(state(1, id(2)) == "completed", "job is not completed")
end)

scenario("a job whose task always fails ends as failed after its attempts",
  function()
  start_fleet{}
  job{id = id(3), always_fails = true, steps = {{tasks = 1}}}
  submit(0, id(3))
  run(3000)
  expect(state(1, id(3)) == "failed", "job is not failed")
  expect(task(id(3)) == 3, "task was not started three times")
end)
