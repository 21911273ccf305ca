dofile("regress/fleet/lib.lua")

scenario("instances' wall clocks differ: work keeps its turn", function()
  begin{execs = 1, cores = 1}
  local behind = (leader() + 1) % 3
  instance(behind, "clock", -4000)
  run(100)
  job{id = id(1), steps = {{tasks = 1, ms = 800}}}
  submit(leader(), id(1))
  run(200)
  job{id = id(2), steps = {{tasks = 1, ms = 500}}}
  submit(behind, id(2))
  run(100)
  job{id = id(3), steps = {{tasks = 1, ms = 500}}}
  submit(leader(), id(3))
  run(1250)
  expect(state(0, id(2)) == "completed", "the earlier one went first")
end)

scenario("questions put through instances that are cut off are asked again",
         function()
  begin{instances = 3, execs = 4}
  local l = leader()
  instance((l + 1) % 3, "cut", 5000)
  instance((l + 2) % 3, "cut", 5000)
  job{id = id(1), queue = "quick", advice_base_us = 5600, advice_each_us = 80,
      steps = {{tasks = 2, ms = 300}}}
  submit(l, id(1))
  run(1500)
  expect(state(l, id(1)) == "completed", "completed within 1.9 s")
end)
