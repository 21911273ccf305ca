dofile("regress/fleet/lib.lua")

CONFIG = [[version 1
queue quick 0 3 1.5 250 7.2 0.1 1500
queue many 2 4 4 3000 80 1.1 1500
tenant red 1000 0 k
]]

local QUEUES = {
  quick = {base = 7200, per_exec = 100, tasks = 3, cpu = 9900},
  many = {base = 80000, per_exec = 1100, tasks = 25, cpu = 6900},
}
local INSTANCES, FINISH_MS = 31, 14000
local calls_of, down

local function start_site()
  calls_of, down = {}, nil
  start_fleet{instances = INSTANCES, execs = 350, cores = 64, mem = 131072,
              permitted_percent = 45, ticket_ms = 1500}
  run(1500)
end

local function submit_job(queue)
  local k, at = QUEUES[queue], nil
  local n = #calls_of + 1
  repeat at = math.floor(INSTANCES * random()) until at ~= down
  job{id = id(n), queue = queue, advice_base_us = k.base,
      advice_per_exec_us = k.per_exec,
      steps = {{tasks = k.tasks, cpu = k.cpu, mem = 4000, ms = 300}}}
  calls_of[n] = submit(at, id(n))
end

local function expect_all_started()
  local n_rejected, n_left = 0, 0
  run(FINISH_MS)
  for n, call in ipairs(calls_of) do
    if answer(call) ~= 200 then
      n_rejected = n_rejected + 1
    elseif task(id(n), 0, 0) == 0 then
      n_left = n_left + 1
    end
  end
  expect(n_rejected == 0, n_rejected .. " jobs were rejected")
  expect(n_left == 0, n_left .. " of " .. #calls_of .. " jobs have not started")
end

scenario("thousands of late jobs are asked about as fast as advice answers",
  function()
  start_site()
  for _ = 1, 100 do
    for _ = 1, 30 do submit_job("quick") end
    run(10)
  end
  expect_all_started()
end)
