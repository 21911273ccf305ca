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

scenario("late jobs start soon after a change of the leader", function()
  local INSTANCES, FINISH_MS = 31, 14000
  local n = 0
  start_fleet{instances = INSTANCES, execs = 350, cores = 64, mem = 131072,
              permitted_percent = 45, ticket_ms = 1500}
  run(1500)
  local old = kill_leader()
  local function submit_job(queue)
    local k, at = QUEUES[queue]
    repeat at = math.floor(INSTANCES * random()) until at ~= old
    n = n + 1
    job{id = id(n), queue = queue, advice_base_us = k.base,
        advice_per_exec_us = k.per_exec,
        steps = {{tasks = k.tasks, cpu = k.cpu, mem = 4000, ms = 300}}}
    submit(at, id(n))
  end
  for _ = 1, 250 do
    for _ = 1, 8 do submit_job("quick") end
    submit_job("many") submit_job("many")
    run(20)
  end
  run(FINISH_MS)
  local left = 0
  for i = 1, n do if task(id(i), 0, 0) == 0 then left = left + 1 end end
  expect(left == 0, left .. " of " .. n .. " jobs have not started")
end)
