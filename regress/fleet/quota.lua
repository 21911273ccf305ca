dofile("regress/fleet/lib.lua")

-- The account blue may run ten cores; the simulation reports QUOTA at more than
-- eleven and one more task.
local function conf(version, limit, text)
  return "version " .. version .. "\n" .. [[
queue q 0 3 1.5 250 0 0
queue asked 0 3 2.2 1000 310 4.4
queue later 1 3 1.5 250 0 0
tenant red 1000 0 k
]] .. (text or ("tenant blue 1000 " .. limit .. " b\n"))
end

local function start(options)
  fleet(options or {execs = 12, cores = 4})
  config(conf(1, 10000))
  run(1500)
end

-- Submits one job of blue, with tasks of one core each.
local function submit_blue(n, tasks, ms, at)
  job{id = id(n), steps = {{tasks = tasks, ms = ms}}}
  return submit(at or n % 3, id(n), "b")
end

-- Cuts executors off, one after another, until count runs are on them.
local function cut_runs(count, ms)
  local n = 0
  for k = 0, 11 do
    if n < count and running(k) > 0 then
      exec(k, "partition", ms)
      n = n + running(k)
    end
  end
  return n
end

local function submit_small_jobs(first, count, at)
  for n = first, first + count - 1 do submit_blue(n, 1, 20000, at) end
end

-- Runs ten tasks of job 1 and cuts off four of them or more.
--
-- Return: indexes of the leader and of another instance.
local function cut_off_job(options)
  start(options)
  submit_blue(1, 10, 20000)
  run(700)
  local l = leader()
  expect(cut_runs(4, 20000) >= 4, "too few runs are cut off")
  return l, (l + 1) % 3
end

scenario("an account at its limit gets no more", function()
  start()
  submit_blue(1, 10, 8000)
  run(500)
  expect(running() == 10, running() .. " tasks run")
  submit_small_jobs(2, 11)
  run(2000)
  expect(running() == 10, running() .. " tasks run")
end)

scenario("runs of a cancelled job that are cut off count until they have ended",
  function()
  cut_off_job()
  request(0, id(1), "cancel", "b")
  run(600)
  submit_small_jobs(2, 11)
  run(9000)
  expect(running() == 10, running() .. " tasks run after the leases have ended")
end)

scenario("a new leader counts the runs of a cancelled job until they have ended",
  function()
  local l, other = cut_off_job()
  request(other, id(1), "cancel", "b")
  run(600)
  instance(l, "kill")
  submit_small_jobs(2, 11, other)
  run(9000)
  expect(running() == 10, running() .. " tasks run after the leases have ended")
end)

scenario("a new leader counts the runs of a job that was cancelled meanwhile",
  function()
  local l, other = cut_off_job()
  instance(l, "kill")
  run(200)
  request(other, id(1), "cancel", "b")
  submit_small_jobs(2, 11, other)
  run(9000)
  expect(running() == 10, running() .. " tasks run after the leases have ended")
end)

scenario("a new leader counts the runs of a failed job until they have ended",
  function()
  start()
  exec(0, "fail-runs", 1)
  job{id = id(1), attempts = 1, steps = {{tasks = 10, ms = 20000}}}
  config(conf(2, 10000):gsub("queue q 0 3", "queue q 0 1"))
  run(200)
  submit(0, id(1), "b")
  while running() < 10 do run(1) end
  for k = 1, 2 do exec(k, "partition", 20000) end
  run(600)
  local l = leader()
  expect(state((l + 1) % 3, id(1)) == "failed", "the job is not failed")
  instance(l, "kill")
  submit_small_jobs(2, 11, (l + 1) % 3)
  run(9000)
end)

scenario("the second leader after a cancellation counts its runs, too",
  function()
  local l, other = cut_off_job{instances = 4, execs = 12, cores = 4}
  request(other, id(1), "cancel", "b")
  run(300)
  instance(l, "stop")
  run(1800)
  local second = leader()
  expect(second >= 0 and second ~= l, "no second leader")
  instance(second, "stop")
  for i = 0, 3 do
    if i ~= l and i ~= second then
      submit_small_jobs(100 * i + 2, 11, i)
      break
    end
  end
  run(9000)
end)

scenario("a leader that has read no configuration starts nothing", function()
  start()
  submit_blue(1, 10, 20000)
  run(500)
  submit_small_jobs(2, 11)
  run(500)
  for i = 0, 2 do instance(i, "kill") end
  for i = 0, 2 do
    instance(i, "silence-conf", 1200)
    instance(i, "start")
  end
  run(1100)
  expect(running() == 10, running() .. " tasks run without a configuration")
  run(5000)
  request(0, id(1), "cancel", "b")
  run(2000)
  expect(running() == 10, running() .. " tasks run with one")
end)

-- The first runs are done while their executors are cut off and their leases
-- lapse at the leader, so that second runs are being stopped when the leader
-- is lost.
scenario("a new leader counts second runs of tasks that are done", function()
  start()
  submit_blue(1, 10, 6000)
  run(1000)
  local first = {}
  for k = 0, 11 do
    if running(k) > 0 then
      exec(k, "partition", 8500)
      first[k] = true
    end
  end
  run(8300)
  local second = 0
  for k = 0, 11 do
    if not first[k] and running(k) > 0 then
      exec(k, "partition", 20000)
      second = second + running(k)
    end
  end
  expect(second == 10, second .. " second runs")
  run(1800)
  local l = leader()
  expect(state((l + 1) % 3, id(1)) == "completed", "the job is not completed")
  instance(l, "kill")
  submit_small_jobs(2, 11, (l + 1) % 3)
  run(9000)
end)

-- Submits gangs of blue that need advice, with tasks of one core each.
local function submit_asked_gangs(first, count, tasks, ms)
  for n = first, first + count - 1 do
    job{id = id(n), queue = "asked", advice_base_us = 310000,
        advice_per_exec_us = 4400,
        steps = {{tasks = tasks, gang = true, ms = ms or 1000}}}
    submit(n % 3, id(n), "b")
  end
end

local function count_queries()
  local _, n = calls()
  return n
end

scenario("advice is not asked about steps of an account at its limit", function()
  start()
  submit_blue(1, 10, 8000)
  run(500)
  submit_asked_gangs(2, 12, 6)
  run(5000)
  expect(count_queries() == 0, count_queries() .. " queries")
  run(9000)
  expect(task(id(2), 0, 0) > 0, "no gang starts when there is room again")
end)

scenario("a gang that its account's limit does not let start is not asked about",
  function()
  start()
  submit_blue(1, 5, 8000)
  run(500)
  submit_asked_gangs(2, 12, 6)
  run(5000)
  expect(count_queries() == 0, count_queries() .. " queries")
end)

scenario("steps of an account at its limit hold no room", function()
  start()
  submit_asked_gangs(2, 12, 10)
  run(30)
  submit_blue(1, 10, 8000)
  run(100)
  expect(running() == 10, running() .. " tasks run")
  for n = 101, 140 do
    job{id = id(n), queue = "later", steps = {{tasks = 1, ms = 3000}}}
    submit(n % 3, id(n), "k")
  end
  run(150)
  expect(running() == 48, running() .. " tasks run")
end)

local OLD_LEASES_MS = 7120 -- EARLIER_RUNS_WAIT_MS

-- Kills the leader, submits 11 jobs of blue, and waits for the next leader.
local function change_leader()
  local old = kill_leader()
  submit_small_jobs(2, 11, (old + 1) % 3)
  while leader() < 0 or leader() == old do run(10) end
end

-- Return: the number of the 11 jobs that have started.
local function count_small_started()
  local n = 0
  for k = 2, 12 do if task(id(k)) > 0 then n = n + 1 end end
  return n
end

local function cancel_job() request((leader() + 1) % 3, id(1), "cancel", "b") end

for _, case in ipairs{
  {"done", function() run(2600) end},
  {"stopped", function() cancel_job() run(60) end},
  {"to be stopped", cancel_job},
} do
  local name, ends = table.unpack(case)
  scenario("runs that are " .. name .. " do not count at the next leader for long",
    function()
    start()
    submit_blue(1, 10, 3000)
    run(300)
    expect(running() == 10, running() .. " tasks run")
    ends()
    change_leader()
    run(500)
    expect(count_small_started() == 10, count_small_started() .. " jobs started")
  end)
end

scenario("stopped runs on executors that hang count while old leases hold",
  function()
  start()
  submit_blue(1, 10, 20000)
  run(500)
  local hung = 0
  for k = 0, 11 do
    if hung < 4 and running(k) > 0 then
      hung = hung + running(k)
      exec(k, "hang", 30000)
    end
  end
  cancel_job()
  run(400)
  change_leader()
  run(500)
  expect(count_small_started() == 10 - hung,
         count_small_started() .. " jobs started, " .. hung .. " runs hung")
  run(OLD_LEASES_MS)
  expect(count_small_started() == 10, count_small_started() .. " jobs started")
end)
