dofile("regress/fleet/lib.lua")

local function expect_completed(first, last)
  for n = first, last do
    local s = state(the_leader(), id(n))
    expect(s == "completed", "job " .. n .. " is " .. s)
  end
end

-- The refused write was sent again for ever.
scenario("rows are made smaller if the table refuses them", function()
  start_fleet{execs = 3}
  store("row-bytes", 6000)
  job{id = id(900), steps = {{tasks = 1000, cpu = 10, mem = 8, ms = 300}}}
  submit(0, id(900))
  submit_small(1, 20)
  run(10000)
  expect(refused() > 0, "no write was refused")
  expect_completed(1, 20)
  expect_completed(900, 900)
end)

scenario("a job whose rows are refused does not stop the others", function()
  start_fleet{execs = 3}
  job{id = id(900), steps = {{tasks = 6, ms = 300}, {tasks = 2, after = 0}}}
  store("refuse-job", id(900))
  submit(0, id(900))
  submit_small(1, 20)
  run(2000)
  expect_completed(1, 20)
  expect(state(the_leader(), id(900)) == "running", "the job is not running")
  local _, _, done = task(id(900), 0, 0)
  expect(not done, "an end that is not recorded was acknowledged")
  local old = kill_leader()
  run(4000)
  submit_small(21, 10, old)
  run(2000)
  expect_completed(21, 30)
  store("refuse-job", "")
  run(14000)
  expect_completed(900, 900)
  for t = 0, 5 do
    expect(task(id(900), 0, t) == 1, "a task was started again")
  end
end)

scenario("a job whose rows are refused can be cancelled", function()
  start_fleet{execs = 3}
  job{id = id(900), steps = {{tasks = 6, ms = 300}, {tasks = 2, ms = 20000, after = 0}}}
  store("refuse-job", id(900))
  submit(0, id(900))
  run(3000)
  local c = request(1, id(900), "cancel")
  run(1000)
  expect(answer(c) == 200, "the cancellation is not acknowledged")
  store("refuse-job", "")
  run(12000)
  local s = state(the_leader(), id(900))
  expect(s == "cancelled", "the job is " .. s)
end)

-- A refusal proves that the job was not accepted.
scenario("a job that the table refuses is refused at once", function()
  start_fleet{}
  store("row-bytes", 40)
  job{id = id(1), steps = {{tasks = 2}}}
  local c = submit(0, id(1))
  run(400)
  expect(answer(c) == 503, "the answer is " .. answer(c))
  store("row-bytes", 65536)
  run(8000)
  expect(task(id(1)) == 0, "a refused job was started")
end)
