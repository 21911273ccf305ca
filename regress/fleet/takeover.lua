dofile("regress/fleet/lib.lua")

-- Submits count jobs, beginning with number first, each to the next instance.
local function submit_jobs(first, count, steps)
  for n = first, first + count - 1 do
    job{id = id(n), steps = steps or {{tasks = 3, ms = 2500, cpu = 2000}}}
    submit(n % 3, id(n))
  end
end

-- Checks that instance query_at reports jobs first to last as completed.
local function expect_completed(first, last, query_at)
  for n = first, last do
    local s = state(query_at, id(n))
    expect(s == "completed", "job " .. n .. " is " .. s)
  end
end

-- Return: index of an instance other than instance l.
local function other_instance(l) return (l + 1) % 3 end

scenario("running tasks are kept when the leader is killed", function()
  start_fleet{}
  submit_jobs(1, 8)
  run(1000)
  local l = leader()
  instance(l, "kill")
  run(3000)
  expect(leader() >= 0 and leader() ~= l, "no successor leads within 3 s")
  run(4000)
  expect_completed(1, 8, other_instance(l))
  for n = 1, 8 do
    for t = 0, 2 do
      expect(task(id(n), 0, t) == 1, "task was not started exactly once")
    end
  end
end)

scenario("a frozen leader starts no task after it is resumed", function()
  start_fleet{}
  submit_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "freeze", 5000)
  submit_jobs(20, 6)
  run(9000)
  expect_completed(1, 6, other_instance(l))
end)

scenario("a leader that cannot reach the table continues through another one",
  function()
  start_fleet{}
  submit_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "partition-store", 8000)
  run(2000)
  for n = 20, 25 do
    job{id = id(n), steps = {{tasks = 2}}}
    submit(n % 3, id(n))
  end
  run(3500)
  expect(leader() == l, "the leader has changed")
  expect_completed(1, 6, other_instance(l))
  expect_completed(20, 25, other_instance(l))
  run(5000)
  expect(leader() == l, "the leader has changed after the partition")
end)

scenario("a leader refused by the table continues through another instance",
  function()
  start_fleet{}
  run(600)
  local l = leader()
  instance(l, "refuse-store", 6000)
  run(200)
  submit_jobs(1, 6, {{tasks = 2, ms = 500}})
  run(1500)
  expect(leader() == l, "the leader has changed")
  expect_completed(1, 6, other_instance(l))
end)

scenario("a fully partitioned leader is replaced",
  function()
  start_fleet{}
  submit_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "partition-store", 8000)
  instance(l, "partition", 8000)
  run(3000)
  local successor = leader()
  expect(successor >= 0 and successor ~= l, "no successor leads")
  for n = 20, 25 do
    job{id = id(n), steps = {{tasks = 2}}}
    submit(successor, id(n))
  end
  run(8000)
  expect_completed(1, 6, successor)
  expect_completed(20, 25, successor)
end)

scenario("a leader that is ordered to stop is replaced at once", function()
  start_fleet{}
  submit_jobs(1, 4)
  run(600)
  local l = leader()
  instance(l, "stop")
  run(700)
  expect(leader() >= 0 and leader() ~= l, "no successor leads within 0.7 s")
  run(4500)
  expect_completed(1, 4, other_instance(l))
end)

scenario("no job is lost or run twice when all instances are killed", function()
  start_fleet{}
  submit_jobs(1, 10)
  run(800)
  for i = 0, 2 do instance(i, "kill") end
  run(1500)
  for i = 0, 2 do instance(i, "start") end
  run(12000)
  expect_completed(1, 10, 1)
end)

-- The tasks of an unreachable executor may be running until its lease ends.
-- The leader must not start them on other executors before that time.
scenario("tasks of an unreachable executor are moved after its lease ends",
         function()
  start_fleet{execs = 4}
  submit_jobs(1, 8)
  run(700)
  local l = leader()
  exec(0, "partition", 20000)
  instance(l, "kill")
  run(16000)
  expect_completed(1, 8, other_instance(l))
end)

-- Runs of one task fail on several executors, and the leader is killed while
-- the table is still down.  The next leader must count each failure once, or
-- the task gets more or fewer attempts than the queue allows.
scenario("failures reported out of order are each counted once", function()
  start_fleet{execs = 3, cores = 1}
  for i = 0, 2 do exec(i, "fail-runs", 1) end
  job{id = id(1), attempts = 3, steps = {{tasks = 1}}}
  submit(0, id(1))
  run(60)
  store("down", 3000)
  run(2500)
  instance(leader() >= 0 and leader() or 0, "kill")
  run(9000)
  expect(state(1, id(1)) == "failed" or state(2, id(1)) == "failed",
         "job is not failed")
end)

scenario("tasks of an executor that never returns run elsewhere", function()
  start_fleet{execs = 4}
  submit_jobs(1, 6)
  run(500)
  exec(0, "crash")
  run(10500)
  expect_completed(1, 6, leader())
end)

-- The clock of a boot that is less than 1.5 s old does not tell the next boot.
scenario("what an executor has run since it rebooted is not run again",
  function()
  fleet{execs = 1}
  config(CONFIG)
  run(100)
  for n = 1, 4 do
    job{id = id(n), steps = {{tasks = 2, ms = 100}}}
    submit(n % 3, id(n))
  end
  run(600)
  exec(0, "reboot")
  run(40)
  for n = 5, 7 do
    job{id = id(n), steps = {{tasks = 2, ms = 300}}}
    submit(n % 3, id(n))
  end
  run(6000)
  for n = 5, 7 do
    for t = 0, 1 do
      expect(task(id(n), 0, t) == 1, task(id(n), 0, t) .. " starts")
    end
  end
end)

-- An executor crashes together with the leader.  Only tasks that may be running
-- on that executor must wait for the end of its lease.
scenario("an executor that crashes with the leader delays only its own tasks",
  function()
  start_fleet{}
  job{id = id(1), steps = {{tasks = 30, ms = 2000, cpu = 4000}}}
  submit(0, id(1))
  run(1000)
  submit_jobs(2, 6, {{tasks = 2, ms = 1000, cpu = 4000}})
  run(300)
  local l = leader()
  exec(0, "crash")
  instance(l, "kill")
  run(5500)
  local done = 0
  for n = 2, 7 do
    if state(other_instance(l), id(n)) == "completed" then done = done + 1 end
  end
  expect(done >= 5, done .. " of 6 jobs without a started task are completed")
  run(9000)
  expect_completed(1, 7, other_instance(l))
end)

scenario("the leader does not change when table writes are seconds late",
  function()
  start_fleet{}
  local l = leader()
  store("delay-writes", 0.3)
  run(12000)
  expect(leader() == l, "the leader has changed")
  store("delay-writes", 0)
  run(7000)
  submit_jobs(1, 4)
  run(4000)
  expect_completed(1, 4, other_instance(l))
end)

scenario("the leader does not change when the table is slow", function()
  start_fleet{}
  local l = leader()
  store("slow", 50)
  run(10000)
  expect(leader() == l, "the leader has changed")
  store("slow", 1)
  submit_jobs(1, 4)
  run(4000)
  expect_completed(1, 4, other_instance(l))
end)

-- The instances receive at most 60 rows of the table before a call times out.
-- Each of the eight parts of the table of jobs has 75 rows.
scenario("a new leader with a slow link finishes loading", function()
  start_fleet{execs = 20}
  for n = 1, 600 do
    job{id = id(n), steps = {{tasks = 1, ms = 300}}}
    submit(n % 3, id(n))
    if n % 10 == 0 then run(20) end
  end
  local l = leader()
  for i = 0, 2 do instance(i, "slow-link", 60) end
  instance(l, "kill")
  run(5000)
  expect(leader() >= 0, "no instance has loaded within 5 s")
  expect_completed(590, 600, leader())
end)

scenario("a leader with a small share of a core yields to a stronger instance",
  function()
  start_fleet{instances = 4}
  instance(0, "cpu-share", 500)
  instance(1, "cpu-share", 500)
  instance(2, "cpu-share", 120)
  instance(3, "cpu-share", 120)
  run(4000)
  expect(leader() == 0 or leader() == 1, "no strong instance leads at first")
  instance(0, "partition-store", 6000)
  instance(1, "partition-store", 6000)
  instance(0, "partition", 6000)
  instance(1, "partition", 6000)
  run(5500)
  expect(leader() == 2 or leader() == 3, "no instance leads in the partition")
  for n = 1, 6 do
    job{id = id(n), steps = {{tasks = 3, ms = 2500, cpu = 2000}}}
    submit(2 + n % 2, id(n))
  end
  run(4000)
  expect(leader() == 0 or leader() == 1, "a weak instance still leads")
  run(3000)
  expect_completed(1, 6, 2)
end)

-- Return: id of job number n in part p of the table of jobs.
local function id_in_part(n, p) return id(16 * n + p) end

-- The new leader receives at most 60 rows before a call times out.  It lists
-- the single row of part 1 seconds before the last of the 600 rows of part 0.
-- Meanwhile the job of part 1 is cancelled and 80 other jobs come, more rows
-- than one answer of the feed can hold.
scenario("a job cancelled while a new leader loads is not started", function()
  start_fleet{execs = 20}
  for n = 1, 600 do
    job{id = id_in_part(n, 0), steps = {{tasks = 1, ms = 300}}}
    submit(n % 3, id_in_part(n, 0))
    if n % 10 == 0 then run(20) end
  end
  local l = leader()
  for i = 0, 2 do instance(i, "slow-link", 60) end
  instance(l, "kill")
  local follower = (l + 1) % 3
  local cancelled = id_in_part(1, 1)
  job{id = cancelled, steps = {{tasks = 2, ms = 300}}}
  submit(follower, cancelled)
  run(3400)
  expect(leader() < 0, "the new leader has loaded too early")
  local call = request(follower, cancelled, "cancel")
  for n = 601, 680 do
    job{id = id_in_part(n, 2), steps = {{tasks = 1, ms = 300}}}
    submit(n % 3 == l and follower or n % 3, id_in_part(n, 2))
  end
  run(8000)
  expect(answer(call) == 200, "the cancellation is not accepted")
  expect(leader() >= 0, "no instance leads")
  expect(task(cancelled, 0, 0) == 0, "a task of the cancelled job has started")
  expect(state(follower, cancelled) == "cancelled", "job is not cancelled")
  expect(state(follower, id_in_part(601, 2)) == "completed",
         "a job that came while the leader loaded is not completed")
end)

-- A stopping instance still serves its callers and says hello for some seconds.
scenario("a weak leader does not yield to an instance that stops", function()
  start_fleet{instances = 4}
  instance(0, "cpu-share", 500)
  for i = 1, 3 do instance(i, "cpu-share", 120) end
  run(4000)
  expect(leader() == 0, "the strong instance does not lead at first")
  instance(0, "stop")
  run(1500)
  local l = leader()
  expect(l > 0, "no other instance leads")
  for _ = 1, 30 do
    run(100)
    expect(leader() == l, "the leader has changed")
  end
end)

-- Return: the number of the roster's row for executor number k, as
-- fsched_roster_row() computes it.
local function roster_row(k)
  local hash = 0
  for c in string.format("e%03d", k):gmatch(".") do
    hash = (31 * hash + c:byte()) % 2^32
  end
  return hash % 32
end

for _, unlisted_ms in ipairs{1000, 3000} do
scenario("the next leader knows an executor that was unlisted for "
  .. unlisted_ms .. " ms", function()
  fleet{execs = 40, cores = 4}
  config(CONFIG)
  local a, b = 0, 1
  while roster_row(b) ~= roster_row(a) do b = b + 1 end
  expect(b < 40, "no two executors share a row")
  exec(b, "listed", 0)
  run(1500)
  exec(a, "listed", 0)
  run(unlisted_ms)
  exec(b, "listed", 1)
  run(300)
  exec(a, "listed", 1)
  run(300)
  for k = 0, 39 do if k ~= a then exec(k, "cores", 0) end end
  run(300)
  submit_jobs(1, 2, {{tasks = 2, ms = 20000}})
  run(500)
  expect(running(a) == 4, running(a) .. " tasks run on the executor")
  exec(a, "partition", 20000)
  for k = 0, 39 do if k ~= a then exec(k, "cores", 4) end end
  instance(leader(), "kill")
  run(3000)
  expect(running() == 4, running() .. " tasks run")
end)
end
