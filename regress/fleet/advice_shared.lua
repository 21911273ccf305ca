dofile("regress/fleet/lib.lua")

-- The deployments of kgpwa-rosters: times in microseconds, rates in jobs per
-- second, numbers of tasks, CPU in millicores, memory in MB.
local SITES = {
  small = {
    instances = 9, execs = 48, conf = {"7.4 0.11", "53 0.75", "640 9.2"},
    {name = "short", rate = 48.3, base = 7400, per_exec = 110, tasks = 2,
     steps = 1, gang_share = 0.3, permitted = 70,
     cpu = 5600, mem = 8000},
    {name = "middle", rate = 6.83, base = 53000, per_exec = 750, tasks = 10,
     steps = 1.5, gang_share = 0, permitted = 45,
     cpu = 3900, mem = 4000},
    {name = "wide", rate = 1.16, base = 640000, per_exec = 9200, tasks = 8,
     steps = 1.2, gang_share = 1, permitted = 25,
     cpu = 18000, mem = 33000},
  },
  grown = {
    instances = 31, execs = 350, conf = {"7.2 0.1", "80 1.1", "540 7.7"},
    {name = "short", rate = 125, base = 7200, per_exec = 100, tasks = 3.2,
     steps = 1, gang_share = 0.3, permitted = 70,
     cpu = 9900, mem = 14000},
    {name = "middle", rate = 11.2, base = 80000, per_exec = 1100, tasks = 25,
     steps = 1.5, gang_share = 0, permitted = 45,
     cpu = 6900, mem = 7100},
    {name = "wide", rate = 3.46, base = 540000, per_exec = 7700, tasks = 20,
     steps = 1.2, gang_share = 1, permitted = 25,
     cpu = 18000, mem = 33000},
  },
}
local FINISH_MS = 14000 -- the users' finish_s
local STARTED_MS = 3000 -- a short job that starts later has waited too long
local STEP_MS = 20
local site, jobs, waiting, down

local function start_site(name, machines)
  site, jobs, waiting, down = SITES[name], {}, {}, nil
  CONFIG = ([[version 1
queue short 0 3 1.5 250 %s 1500
queue middle 2 4 4 3000 %s 1500
queue wide 1 3 2.2 1000 %s 1500
tenant red 1000 0 k
tenant blue 1000 0 l
]]):format(table.unpack(site.conf))
  start_fleet{instances = site.instances, execs = site.execs, cores = 64,
              mem = 131072, ticket_ms = 1500}
  run(3000)
  advice("jitter", 0.1)
  advice("machines", machines)
end

local function submit_job(queue, key)
  local n = #jobs + 1
  local steps = {}
  local at
  repeat at = math.floor(site.instances * random()) until at ~= down
  for s = 1, math.floor(queue.steps + random()) do
    steps[s] = {tasks = 1 + math.floor((2 * queue.tasks - 1) * random()),
                cpu = queue.cpu, mem = queue.mem, ms = 300,
                gang = random() < queue.gang_share,
                after = s > 1 and {s - 2} or nil}
  end
  job{id = id(n), queue = queue.name, advice_base_us = queue.base,
      advice_per_exec_us = queue.per_exec, permitted_percent = queue.permitted,
      steps = steps}
  jobs[n] = {queue = queue.name, at = now(), call = submit(at, id(n), key)}
  waiting[n] = true
end

-- Runs the simulation for a time and notes when jobs start.
local function advance(for_ms)
  for _ = 1, for_ms / STEP_MS do
    run(STEP_MS)
    for n in pairs(waiting) do
      if task(id(n), 0, 0) > 0 then
        jobs[n].waited = now() - jobs[n].at
        waiting[n] = nil
      end
    end
  end
end

-- Submits jobs of all queues, or of some, for a time, at a load from 0 to 1.
local function traffic(for_ms, load, queues)
  for _ = 1, for_ms / STEP_MS do
    for _, queue in ipairs(queues or site) do
      local expected = (load or 1) * queue.rate * STEP_MS / 1000
      while random() < expected do
        submit_job(queue)
        expected = expected - 1
      end
    end
    advance(STEP_MS)
  end
end

-- Return: by queue, the numbers of jobs that were submitted, rejected, accepted
-- and not started, and of those accepted that started too late or not at all.
local function count_jobs()
  local c = {}
  for _, q in ipairs(site) do
    c[q.name] = {all = 0, rejected = 0, left = 0, late = 0}
  end
  for n, j in ipairs(jobs) do
    local k = c[j.queue]
    k.all = k.all + 1
    if answer(j.call) == 429 then
      k.rejected = k.rejected + 1
      expect(not j.waited, "rejected job " .. n .. " has started")
    else
      if not j.waited then k.left = k.left + 1 end
      if not j.waited or j.waited > STARTED_MS then k.late = k.late + 1 end
    end
  end
  return c
end

local function summary(c)
  local text = ""
  for _, q in ipairs(site) do
    local k = c[q.name]
    text = text .. string.format(" %s: %d submitted, %d rejected, %d late, %d left;",
                                 q.name, k.all, k.rejected, k.late, k.left)
  end
  return text
end

local function expect_all_started()
  advance(FINISH_MS)
  local c = count_jobs()
  local left = c.short.left + c.middle.left + c.wide.left
  if os.getenv("SHOW") then print(summary(c)) end
  expect(left == 0, left .. " accepted jobs have not started:" .. summary(c))
end

-- Expects that short jobs start although others wait, and are not rejected.
local function expect_short_served()
  local k = count_jobs().short
  expect(k.late <= (k.all - k.rejected) / 100, k.late .. " of "
         .. k.all - k.rejected .. " accepted short jobs have waited for over 3 s")
  expect(k.rejected <= k.all / 10, k.rejected .. " of " .. k.all
         .. " short jobs were rejected")
end

local function busy_share(before_ms, for_ms, n)
  local _, _, _, _, work_ms = calls()
  return (work_ms - before_ms) / for_ms / n
end

for _, name in ipairs{"small", "grown"} do
  scenario("accepted jobs start while advice takes all instances for one, "
           .. name, function()
    start_site(name, 1)
    traffic(5000)
    local _, _, _, _, before_ms = calls()
    traffic(20000)
    local share = busy_share(before_ms, 20000, 1)
    if os.getenv("SHOW") then print("busy", share) end
    expect(share >= 0.9, "the service works for " .. share .. " of the time")
    expect_all_started()
    expect_short_served()
  end)

  scenario("accepted jobs start after the leader is lost while advice takes all"
           .. " instances for one, " .. name, function()
    start_site(name, 1)
    traffic(10000)
    down = kill_leader()
    traffic(3500)
    instance(down, "start")
    traffic(11500)
    expect_all_started()
  end)
end

scenario("instances that count as three callers use all of the service",
  function()
  start_site("small", 3)
  traffic(5000, 1.5)
  local _, _, _, _, before_ms = calls()
  traffic(10000, 1.5)
  local share = busy_share(before_ms, 10000, 3)
  if os.getenv("SHOW") then print("busy", share) end
  expect(share >= 0.75, "the service works for " .. share .. " of the time")
  expect_all_started()
  expect_short_served()
end)

scenario("jobs are rejected no longer once advice tells the instances apart",
  function()
  start_site("small", 1)
  traffic(10000)
  advice("machines", 0)
  traffic(4000)
  local before = #jobs
  traffic(6000)
  local rejected = 0
  for n = before + 1, #jobs do
    if answer(jobs[n].call) == 429 then rejected = rejected + 1 end
  end
  expect(rejected == 0, rejected .. " jobs were rejected")
  expect_all_started()
end)

scenario("jobs of an account do not wait for those of another one", function()
  start_site("small", 1)
  local middle = site[2]
  local of_blue = {}
  for i = 1, 200 do
    for _ = 1, 3 do submit_job(middle, "k") end
    if i % 12 == 0 then
      submit_job(middle, "l")
      of_blue[#of_blue + 1] = #jobs
    end
    advance(STEP_MS)
  end
  advance(6000)
  local accepted, late = 0, 0
  for _, n in ipairs(of_blue) do
    if answer(jobs[n].call) == 200 then
      accepted = accepted + 1
      if not jobs[n].waited or jobs[n].waited > STARTED_MS then
        late = late + 1
      end
    end
  end
  expect(accepted > 0, "no job of the account was accepted")
  expect(late <= accepted / 4, late .. " of " .. accepted
         .. " accepted jobs have waited for over 3 s")
end)

scenario("long queries are sent although shorter ones always wait", function()
  start_site("small", 1)
  submit_job(site[1])
  for _ = 1, 4 do submit_job(site[3]) end
  for _ = 1, 3000 do
    if random() < 3 * site[2].rate * STEP_MS / 1000 then submit_job(site[2]) end
    advance(STEP_MS)
  end
  local k = count_jobs().wide
  expect(k.left == 0, k.left .. " of 4 long jobs have not started in 60 s")
end)

for _, name in ipairs{"small", "grown"} do
  scenario("accepted jobs start while advice takes all instances for one and"
           .. " all queries are long, " .. name, function()
    start_site(name, 1)
    traffic(25000, 1, {site[3]})
    expect_all_started()
  end)
end
