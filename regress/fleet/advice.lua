dofile("regress/fleet/lib.lua")

local QUEUES = {
  quick = {base = 7400, per_exec = 110, tasks = 3, cpu = 5600, mem = 8000,
           ms = 640, gang_share = 0.3},
  many = {base = 53000, per_exec = 750, tasks = 12, cpu = 3900, mem = 4000,
          ms = 1500, gang_share = 0},
  wide = {base = 640000, per_exec = 9200, tasks = 20, cpu = 15000, mem = 30000,
          ms = 2500, gang_share = 1},
}
-- Jobs per second of each queue at load 1.
local RATES = {{"quick", 40}, {"many", 5}, {"wide", 1}}

CONFIG = [[version 1
queue quick 0 3 1.5 250 7.4 0.11 1500
queue many 2 4 4 3000 53 0.75 1500
queue wide 1 3 2.2 1000 640 9.2 1500
tenant red 1000 0 k
]]

local FINISH_MS = 14000 -- the users' finish_s
local last_job = 0
local calls_of = {} -- of each job, its submission
local down = {} -- instances that callers do not use

-- Starts nine instances and executors of 64 cores, of which advice permits 45%.
local function start_site(options)
  options.instances = options.instances or 9
  options.execs = options.execs or 48
  options.cores, options.mem, options.ticket_ms = 64, 131072, 1500
  options.permitted_percent = options.permitted_percent or 45
  last_job, down = 0, {}
  start_fleet(options)
  run(1500)
  options.leader = the_leader()
  return options
end

-- Submits a job of a queue through an instance that is up.  Return: its number.
local function submit_job(queue, tasks)
  local k = QUEUES[queue]
  local at
  last_job = last_job + 1
  repeat at = math.floor(random() * 9) until not down[at]
  job{id = id(last_job), queue = queue, advice_base_us = k.base,
      advice_per_exec_us = k.per_exec,
      steps = {{tasks = tasks or 1 + math.floor(2 * k.tasks * random()),
                cpu = k.cpu, mem = k.mem, ms = k.ms,
                gang = random() < k.gang_share}}}
  calls_of[last_job] = submit(at, id(last_job))
  return last_job
end

-- Submits jobs of all queues for a time, at a load from 0 to 1.
local function traffic(for_ms, load)
  for _ = 1, for_ms / 20 do
    for _, rate in ipairs(RATES) do
      if random() < load * rate[2] * 0.02 then submit_job(rate[1]) end
    end
    run(20)
  end
end

-- Return: number of submitted jobs of which no task has started.  Jobs that were
-- rejected, which must not start, are not among them if may_reject is set.
local function n_unstarted(may_reject)
  local n = 0
  for i = 1, last_job do
    local rejected = answer(calls_of[i]) == 429
    local started = task(id(i), 0, 0) > 0
    expect(not (rejected and started), "rejected job " .. i .. " has started")
    if not started and not (rejected and may_reject) then n = n + 1 end
  end
  return n
end

-- Expects that all jobs start within for_ms.
local function expect_all_started(for_ms, what, may_reject)
  run(for_ms)
  local n = n_unstarted(may_reject)
  expect(n == 0, n .. " of " .. last_job .. " jobs have not started " .. what)
end

-- Expects that at most a share of the jobs is rejected.
local function expect_few_rejected(share)
  local n = 0
  for i = 1, last_job do
    if answer(calls_of[i]) == 429 then n = n + 1 end
  end
  expect(n <= last_job * share, n .. " of " .. last_job .. " jobs were rejected")
end

-- Return: number of advice queries in the next ms.
local function queries_in(ms)
  local _, before = calls()
  run(ms)
  local _, after = calls()
  return after - before
end

-- Runs the simulation until all jobs can have ended.
local function expect_no_queries_left()
  run(10000)
  local _, _, waiting = calls()
  expect(waiting == 0, waiting .. " queries wait at the advice service")
  local n = queries_in(2000)
  expect(n == 0, n .. " queries are sent although no job waits")
end

for _, factor in ipairs{1.2, 1.5, 5} do
  scenario("jobs start while advice takes " .. factor
           .. " times the announced time", function()
    start_site{}
    advice("slow", factor)
    advice("jitter", 0.1)
    traffic(6000, factor < 2 and 0.7 or 0.3)
    submit_job("wide", 48)
    traffic(6000, factor < 2 and 0.7 or 0.3)
    expect_all_started(FINISH_MS, "after the traffic")
    expect_no_queries_left()
  end)
end

scenario("jobs start once advice is as fast as announced again", function()
  start_site{}
  traffic(3000, 0.5)
  advice("slow", 8)
  traffic(10000, 0.5)
  advice("slow", 1)
  expect_all_started(FINISH_MS, "after advice was fast again")
  expect_no_queries_left()
end)

scenario("jobs start after advice was not answered for 10 s", function()
  start_site{}
  traffic(2000, 0.5)
  advice("stall", 10000)
  traffic(4000, 0.5)
  local first = queries_in(2000)
  run(2000)
  local last = queries_in(2000)
  expect(last <= math.max(first, 1) and last <= 18, last .. " queries in 2 s of a stall, "
         .. first .. " in 2 s before")
  expect_all_started(FINISH_MS, "after the stall")
  expect_no_queries_left()
end)

scenario("jobs start although advice takes all instances for one machine",
  function()
  start_site{}
  advice("machines", 1)
  submit_job("wide", 48)
  traffic(10000, 0.25)
  expect_all_started(FINISH_MS, "after the traffic")
  expect_no_queries_left()
end)

scenario("jobs start after advice took all instances for one machine",
  function()
  start_site{}
  advice("machines", 1)
  traffic(10000, 0.8)
  advice("machines", 0)
  expect_all_started(FINISH_MS, "after the end of the trouble", true)
  expect_few_rejected(0.01)
  expect_no_queries_left()
end)

scenario("short queries do not wait for many long ones of other instances",
  function()
  start_site{}
  advice("machines", 1)
  local quick = {}
  local n_late, n = 0, 0
  for i = 1, 100 do
    if i % 4 == 0 then submit_job("wide", 40) end
    quick[i] = submit_job("quick", 1)
    run(250)
    if i > 60 then
      n = n + 1
      if task(id(quick[i - 12]), 0, 0) == 0 then n_late = n_late + 1 end
    end
  end
  expect(n_late <= n / 4, n_late .. " of " .. n
         .. " short jobs have not started after 3 s")
end)

scenario("instances hold queries back when advice refuses more", function()
  start_site{instances = 31, execs = 96}
  advice("machines", 1)
  advice("slow", 3)
  traffic(6000, 0.8)
  local _, _, _, before = calls()
  run(2000)
  local _, _, _, after = calls()
  expect(after - before <= 8, after - before .. " queries are refused in 2 s")
  advice("machines", 0)
  advice("slow", 1)
  expect_all_started(FINISH_MS, "after the end of the trouble", true)
end)

scenario("queries pause while advice refuses all of them", function()
  start_site{}
  traffic(2000, 0.5)
  advice("refuse", 1)
  traffic(3000, 0.5)
  local _, before = calls()
  run(4000)
  local _, after = calls()
  expect(after - before <= 8, after - before .. " queries in 4 s")
  advice("refuse", 0)
  expect_all_started(FINISH_MS, "after the service took queries again")
end)

scenario("an answer that permits no executor does not deny them for good",
  function()
  start_site{}
  advice("empty", 1)
  for _ = 1, 8 do submit_job("quick") submit_job("wide", 6) end
  run(5000)
  expect(n_unstarted() == last_job, "a job started without a permit")
  advice("empty", 0)
  expect_all_started(6000, "after the answers were whole again")
end)

-- Long queries go through the first half of the instances by their first hello.
scenario("long queries are sent while the first half of the instances is away",
  function()
  local site = start_site{}
  for _, i in ipairs{1, 2, 7, 8} do
    if i ~= site.leader then
      instance(i, "partition", 12000)
      down[i] = true
    end
  end
  run(2000)
  QUEUES.wide.cpu = 2000
  for _ = 1, 10 do submit_job("wide", 16) end
  QUEUES.wide.cpu = 15000
  expect_all_started(6000, "in 6 s")
end)

scenario("jobs start while half of the instances lose their queries",
  function()
  local site = start_site{}
  for i = 0, 8, 2 do instance(i, "lose-advice", 14000) end
  traffic(8000, 0.4)
  expect_all_started(6000, "after the traffic")
end)

scenario("a gang starts that needs more tickets than a query can name",
  function()
  start_site{execs = 280, permitted_percent = 60}
  QUEUES.wide.cpu = 60000
  submit_job("wide", 130)
  QUEUES.wide.cpu = 15000
  expect_all_started(FINISH_MS, "in 14 s")
end)

scenario("jobs start under a leader that takes over while advice is slow",
  function()
  start_site{}
  advice("slow", 3)
  traffic(6000, 0.4)
  local old = kill_leader()
  down[old] = true
  traffic(4000, 0.3)
  instance(old, "start")
  expect_all_started(FINISH_MS, "after the traffic")
  expect_no_queries_left()
end)

-- The executors that the first answers leave out are the only ones with room.
for _, case in ipairs{"small", "busy"} do
  scenario("denials are asked for again while the other executors are " .. case,
    function()
    start_site{permitted_percent = 60}
    if case == "small" then
      for e = 0, 23 do exec(e, "cores", 2) end
    else
      QUEUES.quick.ms, QUEUES.quick.cpu = 60000, 60000
      for _ = 1, 24 do submit_job("quick", 1) run(100) end
      QUEUES.quick.ms, QUEUES.quick.cpu = 640, 5600
    end
    run(3000)
    advice("empty", 1)
    for _ = 1, 4 do submit_job("quick", 2) end
    run(5000)
    advice("empty", 0)
    expect_all_started(7000, "after the answers were whole again")
  end)
end

scenario("queries go on after many were lost while the service refused some",
  function()
  start_site{}
  advice("machines", 1)
  local function load(for_ms)
    for i = 1, for_ms / 250 do
      if i % 8 == 0 then submit_job("wide", 6) end
      for _ = 1, 16 do submit_job("quick", 1) run(15) end
      run(10)
    end
  end
  load(20000)
  for i = 0, 8 do instance(i, "lose-advice", 2200) end
  load(4000)
  for _ = 1, 4 do
    local _, before = calls()
    load(2000)
    local _, after = calls()
    expect(after > before, "no queries in 2 s")
  end
  expect_all_started(FINISH_MS, "after the traffic", true)
  expect_few_rejected(0.05)
end)

scenario("a stall leaves no long deadlines for short queries", function()
  start_site{}
  traffic(2000, 0.5)
  advice("stall", 10000)
  traffic(2000, 0.5)
  run(22000)
  for i = 0, 8 do instance(i, "lose-advice", 300) end
  submit_job("quick", 4)
  expect_all_started(4000, "4 s after their queries were lost")
end)

for _, instances in ipairs{1, 3} do
  scenario("jobs start within 7 s after " .. instances
           .. " instances had no answers for 30 s", function()
    start_site{instances = instances}
    for i = 0, instances - 1 do instance(i, "lose-advice", 30000) end
    for i = instances, 8 do down[i] = true end
    submit_job("quick", 2)
    submit_job("wide", 6)
    run(30000)
    expect_all_started(7000, "7 s after the outage")
  end)
end
