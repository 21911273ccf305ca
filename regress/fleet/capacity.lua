dofile("regress/fleet/lib.lua")

local EXECS, CORES = 6, 16

-- Submits jobs first to last, which together need 1.5 times the fleet.
local function submit_jobs(first, last)
  for n = first, last do
    job{id = id(n), steps = {{tasks = 6, ms = 2500, cpu = 2000}}}
    submit(n % 3, id(n))
  end
end

local function set_cores(cores)
  for e = 0, EXECS - 1 do exec(e, "cores", cores) end
end

scenario("an executor whose capacity has shrunk is not filled above it",
  function()
  start_fleet{execs = EXECS, cores = CORES}
  submit_jobs(1, 12)
  run(500)
  expect(running() == EXECS * CORES / 2, running() .. " tasks are running")
  set_cores(4)
  submit_jobs(13, 20)
  run(7000)
  expect(running() == EXECS * 4 / 2, running() .. " tasks are running")
  set_cores(CORES)
  run(1000)
  expect(running() == EXECS * CORES / 2, running() .. " tasks are running")
  run(20000)
  for n = 1, 20 do
    expect(state(0, id(n)) == "completed", "job is " .. state(0, id(n)))
  end
end)

scenario("a new leader knows of a capacity that has shrunk", function()
  start_fleet{execs = EXECS, cores = CORES}
  submit_jobs(1, 12)
  run(500)
  local old = leader()
  set_cores(4)
  instance(old, "kill")
  submit_jobs(13, 20)
  run(10000)
  expect(running() == EXECS * 4 / 2, running() .. " tasks are running")
end)

-- What an unanswered stop order is for still takes capacity.
scenario("what is being stopped takes capacity of a shrunk executor", function()
  start_fleet{execs = EXECS, cores = CORES}
  submit_jobs(1, 12)
  run(500)
  for e = 0, EXECS - 1 do exec(e, "delay-orders", 1) end
  for n = 1, 12 do request(0, id(n), "cancel") end
  set_cores(8)
  submit_jobs(13, 20)
  run(6000)
  for e = 0, EXECS - 1 do exec(e, "delay-orders", 0) end
  run(30000)
  for n = 13, 20 do
    expect(state(0, id(n)) == "completed", "job is " .. state(0, id(n)))
  end
end)
