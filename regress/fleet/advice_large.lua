dofile("regress/fleet/lib.lua")

local QUEUES = {
  quick = {base = 7200, per_exec = 100, tasks = 3, cpu = 9900, ms = 640,
           steps = 1, gang_share = 0.3},
  many = {base = 80000, per_exec = 1100, tasks = 25, cpu = 6900, ms = 2200,
          steps = 1.5, gang_share = 0},
  wide = {base = 540000, per_exec = 7700, tasks = 20, cpu = 18000, ms = 6200,
          steps = 1.2, gang_share = 1},
}
-- Jobs per second of each queue at load 1.
local RATES = {{"quick", 125}, {"many", 11.2}, {"wide", 3.46}}

CONFIG = [[version 1
queue quick 0 3 1.5 250 7.2 0.1 1500
queue many 2 4 4 3000 80 1.1 1500
queue wide 1 3 2.2 1000 540 7.7 1500
tenant red 1000 0 k
]]

local INSTANCES, EXECS = 31, 350
local FINISH_MS = 14000 -- the users' finish_s
local jobs = {}

local function start_site(permitted_percent, instances)
  jobs = {}
  start_fleet{instances = instances or INSTANCES, execs = EXECS, cores = 64, mem = 131072,
              permitted_percent = permitted_percent or 45, ticket_ms = 1500}
  run(1500)
  advice("jitter", 0.1)
end

-- Submits a job of a queue.  Return: its number.
local function submit_job(queue, tasks)
  local k = QUEUES[queue]
  local n = #jobs + 1
  local steps = {}
  for s = 1, math.floor(k.steps + random()) do
    steps[s] = {tasks = tasks or 1 + math.floor((2 * k.tasks - 1) * random()),
                cpu = k.cpu, mem = 8000, ms = k.ms,
                gang = random() < k.gang_share,
                after = s > 1 and {s - 2} or nil}
  end
  job{id = id(n), queue = queue, advice_base_us = k.base,
      advice_per_exec_us = k.per_exec, steps = steps}
  jobs[n] = {queue = queue, at = now(),
             call = submit(math.floor(INSTANCES * random()), id(n))}
  return n
end

local function traffic(for_ms, load)
  for _ = 1, for_ms / 20 do
    for _, rate in ipairs(RATES) do
      local expected = load * rate[2] * 0.02
      while random() < expected do
        submit_job(rate[1])
        expected = expected - 1
      end
    end
    run(20)
  end
end

local function is_rejected(n) return answer(jobs[n].call) == 429 end
local function has_started(n) return task(id(n), 0, 0) > 0 end

-- Return: number of accepted jobs of a queue, or of all, that were submitted
-- before a time and of which no task has started.
local function n_unstarted(queue, before)
  local count = 0
  for n, j in ipairs(jobs) do
    if (not queue or j.queue == queue) and (not before or j.at < before)
       and not is_rejected(n) and not has_started(n) then
      count = count + 1
    end
  end
  return count
end

-- Return: number of jobs of a queue, or of all, that were rejected.
local function n_rejected(queue)
  local count = 0
  for n, j in ipairs(jobs) do
    if (not queue or j.queue == queue) and is_rejected(n) then
      count = count + 1
      expect(not has_started(n), "rejected job " .. n .. " has started")
    end
  end
  return count
end

-- Expects that all accepted jobs start within for_ms.
local function expect_all_started(for_ms)
  run(for_ms)
  local n = n_unstarted()
  expect(n == 0, n .. " of " .. #jobs .. " jobs have not started, "
         .. n_unstarted("quick") .. " of them short")
end

scenario("accepted jobs start while advice takes five times as long", function()
  start_site()
  advice("slow", 5)
  traffic(10000, 0.7)
  expect_all_started(FINISH_MS)
end)

scenario("a gang needs few queries while advice takes twice as long", function()
  start_site(25)
  advice("slow", 2)
  local _, before = calls()
  local gang = submit_job("wide", 120)
  run(8000)
  local _, after = calls()
  expect(has_started(gang), "the gang has not started in 8 s")
  expect(after - before <= 5, after - before .. " queries were sent")
end)

scenario("short jobs do not wait for long queries of a shared service",
  function()
  start_site()
  advice("machines", 1)
  traffic(20000, 0.3)
  local late = n_unstarted("quick", now() - 3000)
  expect(late <= 4, late .. " short jobs have not started after 3 s")
  expect_all_started(FINISH_MS)
end)

scenario("all instances send long queries once no short ones are sent",
  function()
  start_site()
  advice("slow", 5)
  traffic(2000, 0.7)
  for _ = 1, 80 do submit_job("wide", 16) end
  run(8000)
  local _, before = calls()
  run(8000)
  local _, after = calls()
  expect(n_unstarted() == 0 or after - before >= 50,
         after - before .. " queries were sent in 8 s")
end)

scenario("jobs that advice cannot be had for in time are rejected", function()
  start_site()
  advice("slow", 5)
  traffic(14000, 1)
  expect(n_rejected() > 0, "no job was rejected")
  for n in ipairs(jobs) do
    local status, _, retry_ms = answer(jobs[n].call)
    expect(status ~= 429 or retry_ms >= 1000, "no time to try again")
  end
  expect_all_started(FINISH_MS)
  advice("slow", 1)
  run(2000)
  local n = submit_job("wide")
  run(1000)
  expect(not is_rejected(n), "a job is rejected after the end of the trouble")
  expect(n_rejected("quick") == 0, "short jobs were rejected")
end)

scenario("long queries use most instances of a fleet of 64", function()
  start_site(100, 64)
  local function wide_traffic(for_ms)
    for _ = 1, for_ms / 20 do
      for _ = 1, 2 do submit_job("wide", 1) end
      run(20)
    end
  end
  wide_traffic(5000)
  local _, _, _, _, before_ms = calls()
  wide_traffic(4000)
  local _, _, _, _, after_ms = calls()
  local lanes = (after_ms - before_ms) / 4000
  if os.getenv("SHOW") then print("lanes", lanes) end
  expect(lanes >= 45, "the service handles " .. lanes .. " queries at a time")
  expect(n_rejected() == 0, n_rejected() .. " jobs were rejected")
  expect_all_started(FINISH_MS)
end)
