dofile("regress/fleet/lib.lua")

scenario("a job of two steps is accepted, run and shown as completed", function()
  begin{}
  job{id = id(1), steps = {{tasks = 3}, {tasks = 2, after = 0}}}
  local c = submit(1, id(1))
  run(100)
  expect(answer(c) == 200, "accepted")
  expect(state(2, id(1)) == "running", "runs")
  run(1500)
  expect(state(0, id(1)) == "completed", "completed")
  for i = 0, 2 do expect(task(id(1), 0, i) == 1, "started once") end
end)

scenario("a gang runs together, with advice", function()
  begin{good_percent = 50, execs = 12}
  job{id = id(2), queue = "wide", steps = {{tasks = 8, gang = true, cpu = 4500}}}
  submit(0, id(2))
  run(3000)
  expect(state(1, id(2)) == "completed", "completed")
end)

scenario("work that always fails ends as failed after its attempts", function()
  begin{}
  job{id = id(3), poison = true, steps = {{tasks = 1}}}
  submit(0, id(3))
  run(3000)
  expect(state(1, id(3)) == "failed", "failed")
  expect(task(id(3)) == 3, "three starts")
end)
