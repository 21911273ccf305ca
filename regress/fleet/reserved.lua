dofile("regress/fleet/lib.lua")

-- The deployments of advice_shared.lua with the times of their work: means and
-- spreads of tasks, CPU (millicores), memory (MB) and run times (ms).
local QUEUES = {
  short = {steps = 1, gang_share = 0.3, permitted = 70, ms = 640,
           ms_max = 1600, cpu_spread = 0.45, mem_spread = 0.6,
           estimate_spread = 0.2},
  middle = {steps = 1.5, gang_share = 0, permitted = 45, ms = 2200,
            ms_max = 5400, cpu_spread = 0.45, mem_spread = 0.6,
            estimate_spread = 0.2},
  wide = {steps = 1.2, gang_share = 1, permitted = 25, ms = 6200,
          ms_max = 16000, cpu_spread = 0.4, mem_spread = 0.5,
          estimate_spread = 0.9},
}
local SITES = {
  small = {
    instances = 9, execs = 48, accounts = 6, hot = 3,
    conf = {"7.4 0.11", "53 0.75", "640 9.2"},
    {name = "short", rate = 48.3, base = 7400, per_exec = 110, tasks = 2,
     tasks_max = 12, cpu = 5600, cpu_max = 17000, mem = 8000, mem_max = 24000},
    {name = "middle", rate = 6.83, base = 53000, per_exec = 750, tasks = 10,
     tasks_max = 60, cpu = 3900, cpu_max = 12000, mem = 4000, mem_max = 12000},
    {name = "wide", rate = 1.16, base = 640000, per_exec = 9200, tasks = 8,
     tasks_max = 12, cpu = 18000, cpu_max = 30000, mem = 33000,
     mem_max = 65000, largest = 18},
  },
  grown = {
    instances = 31, execs = 350, accounts = 20, hot = 8,
    conf = {"7.2 0.1", "80 1.1", "540 7.7"},
    {name = "short", rate = 125, base = 7200, per_exec = 100, tasks = 3.2,
     tasks_max = 19, cpu = 9900, cpu_max = 30000, mem = 14000, mem_max = 43000},
    {name = "middle", rate = 11.2, base = 80000, per_exec = 1100, tasks = 25,
     tasks_max = 150, cpu = 6900, cpu_max = 21000, mem = 7100,
     mem_max = 21000},
    {name = "wide", rate = 3.46, base = 540000, per_exec = 7700, tasks = 20,
     tasks_max = 120, cpu = 18000, cpu_max = 30000, mem = 33000,
     mem_max = 65000, largest = 120},
  },
}
local EXEC_CPU = 64000  -- millicores
local EXEC_MEM = 131072 -- MB
local TASKS_SPREAD = 0.8
local MS_SPREAD = 0.5
local STEP_MS = 20
local TRAFFIC_MS = 25000
local LARGEST_MS = 8000   -- interval between two of the largest gangs
local HOT_MS = 7000
local HOT_FACTOR = 7.5
local BURST_MS = 6000
local BURST_FACTOR = 4
local CAP_FACTOR = 1.9    -- an account's limit, as a multiple of its usual use
local RESTART_MS = 3500   -- from the kill of a leader to its start
local RESTART_ALL_MS = 1500
local CALM_MS = 7000
local FINISH_MS = 14000   -- the users' finish_s
local COMPLETE_MS = 90000 -- all jobs have ended by then
local STANDING_MS = 3000  -- FSTANDING_MS
local site, accounts, jobs, waiting, down, bursts, n_ids

-- Return: a random number of the log-normal distribution, at most max.
local function draw(mean, spread, max)
  local sigma2 = math.log(1 + spread * spread)
  local normal = math.sqrt(-2 * math.log(1 - random()))
                 * math.cos(2 * math.pi * random())
  local x = math.exp(math.log(mean) - sigma2 / 2 + math.sqrt(sigma2) * normal)
  return math.min(x, max or x)
end

local function draw_int(...) return math.max(1, math.floor(draw(...) + 0.5)) end

-- Return: millicores that the jobs of the site use on average.
local function usual_use()
  local sum = 0
  for _, q in ipairs(site) do
    local k = QUEUES[q.name]
    sum = sum + q.rate * k.steps * q.tasks * q.cpu * k.ms / 1000
  end
  return sum
end

local function start_site(name, has_caps)
  site, accounts, jobs, waiting, down = SITES[name], {}, {}, {}, {}
  bursts, n_ids = {}, 0
  CONFIG = ([[version 1
queue short 0 3 1.5 250 %s 1500
queue middle 2 4 4 3000 %s 1500
queue wide 1 2 2.2 1000 %s 1500
]]):format(table.unpack(site.conf))
  local sum = 0
  for k = 1, site.accounts do sum = sum + 1 / (k + 2) end
  for k = 1, site.accounts do
    local a = {key = "k" .. k, share = 1 / (k + 2) / sum, factor = 1}
    if has_caps then
      a.cap = math.floor(CAP_FACTOR * a.share * usual_use())
    end
    accounts[k] = a
    CONFIG = CONFIG .. ("tenant t%d 1000 %d %s\n"):format(k, a.cap or 0, a.key)
  end
  start_fleet{instances = site.instances, execs = site.execs,
              cores = EXEC_CPU / 1000, mem = EXEC_MEM, ticket_ms = 1500}
  run(3000)
  advice("jitter", 0.1)
  watch_standing()
end

local function draw_account()
  local sum = 0
  for _, a in ipairs(accounts) do sum = sum + a.share * a.factor end
  local x = random() * sum
  for _, a in ipairs(accounts) do
    x = x - a.share * a.factor
    if x < 0 then return a end
  end
  return accounts[1]
end

-- Return: an instance that is up; nil if none is.
local function draw_instance()
  local up = {}
  for i = 0, site.instances - 1 do
    if not down[i] then up[#up + 1] = i end
  end
  return up[1 + math.floor(#up * random())]
end

-- Return: true if the permitted executors can hold each gang of the job, and
-- half of the account's limit, too.
local function is_feasible(job_id, steps, account)
  for s, step in ipairs(steps) do
    local per_exec = math.min(EXEC_CPU // step.cpu, EXEC_MEM // step.mem)
    if step.gang and (step.tasks > permitted(job_id, s - 1) * per_exec
                      or step.tasks * step.cpu > (account.cap or math.huge) / 2)
    then
      return false
    end
  end
  return true
end

-- Defines a job; one with a gang that can never start is replaced.
--
-- largest: the job has one step, with this number of tasks; nil: it is drawn.
--
-- Return: its id.
local function define_job(queue, account, largest)
  local kind = QUEUES[queue.name]
  while true do
    local steps = {}
    local gang = random() < kind.gang_share
    local cpu = largest and queue.cpu
                or draw_int(queue.cpu, kind.cpu_spread, queue.cpu_max)
    local mem = largest and queue.mem
                or draw_int(queue.mem, kind.mem_spread, queue.mem_max)
    for s = 1, largest and 1 or math.floor(kind.steps + random()) do
      local ms = draw_int(kind.ms, MS_SPREAD, kind.ms_max)
      steps[s] = {tasks = largest or draw_int(queue.tasks, TASKS_SPREAD,
                                              queue.tasks_max),
                  cpu = cpu, mem = mem, ms = ms, gang = gang,
                  estimate = draw_int(ms, kind.estimate_spread),
                  after = s > 1 and s - 2 or nil}
    end
    n_ids = n_ids + 1
    local job_id = id(n_ids)
    job{id = job_id, queue = queue.name, advice_base_us = queue.base,
        advice_per_exec_us = queue.per_exec,
        permitted_percent = kind.permitted, steps = steps}
    if is_feasible(job_id, steps, account) then return job_id end
    largest = nil
  end
end

local function submit_job(queue, largest)
  local at = draw_instance()
  if not at then return end
  local account = draw_account()
  local job_id = define_job(queue, account, largest)
  local n = #jobs + 1
  jobs[n] = {id = job_id, queue = queue.name, at = now(),
             call = submit(at, job_id, account.key)}
  waiting[n] = true
end

local function submit_due(t)
  local load = 0
  for _, a in ipairs(accounts) do load = load + a.share * a.factor end
  for _, queue in ipairs(site) do
    local expected = load * (bursts[queue.name] or 1) * queue.rate * STEP_MS
                     / 1000
    while random() < expected do
      submit_job(queue)
      expected = expected - 1
    end
    if queue.largest and t % LARGEST_MS == 0 then
      submit_job(queue, queue.largest)
    end
  end
end

-- Runs the simulation for a time and notes when jobs start.
local function advance(for_ms)
  run(for_ms)
  for n in pairs(waiting) do
    if task(jobs[n].id) > 0 then
      jobs[n].waited = now() - jobs[n].at
      waiting[n] = nil
    end
  end
end

local function kill(i)
  instance(i, "kill")
  down[i] = true
end

local function start(i)
  instance(i, "start")
  down[i] = nil
end

-- Return: a list of events, each a time in ms and a function: see play().
local function list_events(p)
  local events = {}
  local function at(ms, fn) events[#events + 1] = {at = ms, fn = fn} end
  if p.hot then
    at(p.hot, function() accounts[site.hot].factor = HOT_FACTOR end)
    at(p.hot + HOT_MS, function() accounts[site.hot].factor = 1 end)
  end
  if p.burst then
    at(p.burst, function() bursts.wide = BURST_FACTOR end)
    at(p.burst + BURST_MS, function() bursts.wide = 1 end)
  end
  if p.lost then
    at(0, function()
      for k = 0, site.execs - 1, 2 do exec(k, "lose-results", p.lost) end
    end)
    at(TRAFFIC_MS, function()
      for k = 0, site.execs - 1, 2 do exec(k, "lose-results", 0) end
    end)
  end
  for _, ms in ipairs(p.kills or {}) do
    local killed
    at(ms, function()
      killed = leader()
      if killed >= 0 then kill(killed) end
    end)
    at(ms + RESTART_MS, function() if killed >= 0 then start(killed) end end)
  end
  if p.kill_all then
    at(p.kill_all, function()
      for i = 0, site.instances - 1 do kill(i) end
    end)
    at(p.kill_all + RESTART_ALL_MS, function()
      for i = 0, site.instances - 1 do start(i) end
    end)
  end
  return events
end

-- Plays traffic with these troubles, times in ms from its start:
--   caps      accounts have limits
--   hot       one account sends 7.5 times as much for 7 s from this time on
--   burst     wide jobs come four times as fast for 6 s from this time on
--   lost      share of the answers of half of the executors that is lost
--   kills     times at which the leader is killed
--   kill_all  time at which all instances are killed
--   only      the only size that is played
local function play(p)
  local events = list_events(p)
  local end_ms = TRAFFIC_MS
  for _, e in ipairs(events) do end_ms = math.max(end_ms, e.at) end
  for t = 0, end_ms, STEP_MS do
    for _, e in ipairs(events) do
      if e.at == t then e.fn() end
    end
    if t < TRAFFIC_MS then submit_due(t) end
    advance(STEP_MS)
  end
end

local function text_of(by_queue)
  return ("%d/%d/%d"):format(by_queue.short or 0, by_queue.middle or 0,
                             by_queue.wide or 0)
end

-- Return: how long the accepted jobs of a queue waited: 99 of 100, and all.
local function waits(queue)
  local list = {}
  for _, j in ipairs(jobs) do
    if j.queue == queue and answer(j.call) == 200 then
      list[#list + 1] = j.waited or now() - j.at
    end
  end
  table.sort(list)
  return list[math.ceil(0.99 * #list)] or 0, list[#list] or 0
end

local function print_summary(name, standing_text, ended_ms)
  local text = name .. ": standing " .. standing_text
  for _, q in ipairs(site) do
    local n, rejected = 0, 0
    for _, j in ipairs(jobs) do
      if j.queue == q.name then
        n = n + 1
        if answer(j.call) == 429 then rejected = rejected + 1 end
      end
    end
    text = text .. ("; %s %d-%d %.1f (%.1f) s"):format(
      q.name, n, rejected, waits(q.name) / 1000,
      select(2, waits(q.name)) / 1000)
  end
  text = text .. ("; unused: reserved %d, permits %d, tickets %d"):format(
    unused("reserved"), unused("permits"), unused("tickets"))
  print(text .. ("; ended %.1f s"):format(ended_ms / 1000))
end

-- Runs the simulation after the troubles until all jobs have ended.  Expects
-- that none stands at FINISH_MS, nor, with the executors half idle, later.  If
-- a script sets EARLY, none may stand from CALM_MS on.
local function expect_none_stands(name)
  local start_ms = now()
  local text, left, longest, longest_id, any, any_id, stand = ""
  for _, ms in ipairs{5000, CALM_MS, FINISH_MS} do
    while now() < start_ms + ms do advance(100) end
    local n, by_any = standing("any")
    local _, by_idle = standing("idle")
    text = text .. ("%s (idle %s), "):format(text_of(by_any), text_of(by_idle))
    if ms == CALM_MS then watch_standing() end
    if ms == FINISH_MS then
      stand = n
      _, _, any, any_id = standing("any")
      watch_standing()
    end
  end
  repeat
    advance(100)
    _, _, longest, longest_id, left = standing("idle")
  until left == 0 or now() >= start_ms + COMPLETE_MS
  text = ("%slongest from 7 s %.1f s, from 14 s %.1f (idle %.1f) s"):format(
    text, any / 1000, select(3, standing("any")) / 1000, longest / 1000)
  if os.getenv("SHOW") then print_summary(name, text, now() - start_ms) end
  if EARLY then
    expect(any < STANDING_MS, "job " .. any_id .. " stands: " .. text)
  end
  expect(stand == 0, stand .. " jobs stand after 14 s: " .. text)
  expect(longest < STANDING_MS, "job " .. longest_id .. " stands: " .. text)
  expect(left == 0, left .. " jobs have not ended")
end

local PLAYS = {
  {name = "lost answers, a busy account and many wide jobs", burst = 6000,
   hot = 6000, lost = 0.1, kills = {9000, 17000}},
  {name = "limits, a busy account and a restart of all instances", caps = true,
   hot = 6000, kills = {10000}, kill_all = 24000},
  {name = "limits, a busy account late and a restart of all instances",
   caps = true, hot = 16000, kills = {10000}, kill_all = 25500,
   only = "small"},
  {name = "many wide jobs, a busy account late and a restart of all instances",
   burst = 12000, hot = 16000, kills = {10000}, kill_all = 25500},
  {name = "four leaders lost in series", kills = {5000, 10000, 15000, 20000}},
}
for _, size in ipairs{"small", "grown"} do
  for _, p in ipairs(PLAYS) do
    local name = "no job stands after " .. p.name .. ", " .. size
    if not p.only or p.only == size then
      scenario(name, function()
        start_site(size, p.caps)
        play(p)
        expect_none_stands(name)
      end)
    end
  end
end
