dofile("regress/fleet/lib.lua")

local function expect_completed(first, last)
  for n = first, last do
    local s = state(n % 3, id(n))
    expect(s == "completed", "job " .. n .. " is " .. s)
  end
end

-- Return: four steps of 1,024 tasks, the largest job that is accepted.
local function largest(options)
  local steps = {}
  for i = 1, 4 do
    steps[i] = {tasks = 1024, cpu = 10, mem = 8, ms = 300, checkpoints = true}
    for k, v in pairs(options or {}) do steps[i][k] = v end
  end
  return steps
end

-- The progress of 3,010 done tasks did not fit into a row of the table.
scenario("small jobs run beside a job of thousands of tasks", function()
  start_fleet{execs = 3}
  local wide = {tasks = 1000, cpu = 10, mem = 8, ms = 300}
  job{id = id(900), steps = {wide, wide, wide, {tasks = 10, cpu = 500}}}
  submit(0, id(900))
  submit_small(1, 60)
  run(14000)
  expect_completed(1, 60)
  expect_completed(900, 900)
  expect(refused() == 0, refused() .. " writes were refused")
end)

scenario("large jobs are completed although leaders are lost", function()
  start_fleet{execs = 4}
  for n = 901, 902 do
    job{id = id(n), steps = largest()}
    submit(n % 3, id(n))
  end
  submit_small(1, 10)
  for turn = 1, 2 do
    local old = kill_leader()
    submit_small(turn * 100, 10, old)
    run(3000)
    instance(old, "start")
    run(1000)
  end
  run(20000)
  expect_completed(1, 10)
  expect_completed(100, 109)
  expect_completed(200, 209)
  expect_completed(901, 902)
  expect(refused() == 0, refused() .. " writes were refused")
end)

scenario("a large job is recorded in small rows", function()
  fleet{execs = 4, row_bytes = 32768}
  config(CONFIG)
  run(1500)
  job{id = id(900), steps = largest{ms = 100}}
  submit(0, id(900))
  run(1500)
  local old = kill_leader()
  run(3000)
  instance(old, "start")
  run(20000)
  expect_completed(900, 900)
  expect(refused() == 0, refused() .. " writes were refused")
end)
