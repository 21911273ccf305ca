dofile("regress/fleet/lib.lua")

-- Submits jobs first to last, each to the next instance.
--
-- Return: the numbers of the requests, in order.
local function submit_jobs(first, last)
  local calls = {}
  for n = first, last do
    job{id = id(n), steps = {{tasks = 2, ms = 600}}}
    calls[#calls + 1] = submit(n % 3, id(n))
  end
  return calls
end

-- Return: number of the requests that were answered with this HTTP status.
local function count_answers(calls, status)
  local n = 0
  for _, c in ipairs(calls) do if answer(c) == status then n = n + 1 end end
  return n
end

scenario("accepted jobs run while the table is down", function()
  start_fleet{}
  submit_jobs(1, 20)
  run(300)
  store("down", 3500)
  run(2500)
  expect(running() == 0, "tasks are still running")
  run(4000)
  for n = 1, 20 do
    expect(state(1, id(n)) == "completed", "job is not completed")
  end
end)

scenario("a refused caller is told at once when to retry", function()
  start_fleet{}
  store("down", 5000)
  run(100)
  local calls = submit_jobs(1, 3)
  run(700)
  for _, c in ipairs(calls) do
    local status, _, retry = answer(c)
    expect(status == 503 and retry > 0, "no refusal with a retry time")
  end
  run(12000)
  for n = 1, 3 do expect(task(id(n)) == 0, "a refused job was started") end
end)

-- When the answer to a table write is lost, the instance must find out whether
-- the write was executed.
scenario("jobs are completed when answers to table writes are lost", function()
  start_fleet{}
  store("lose-replies", 0.35)
  local calls = submit_jobs(1, 30)
  run(4000)
  store("lose-replies", 0)
  run(5000)
  for i, c in ipairs(calls) do
    if answer(c) == 200 then
      expect(state(1, id(i)) == "completed", "accepted job is not completed")
    end
  end
  expect(count_answers(calls, 200) > 20, "20 or fewer of 30 jobs are accepted")
end)

-- A feed cannot return changes from before a compaction of the table, so
-- instances must list the rows of the table again.
scenario("jobs are found after the table has dropped its change history",
  function()
  start_fleet{}
  submit_jobs(1, 5)
  run(500)
  for _ = 1, 5 do store("compact") run(300) end
  submit_jobs(10, 15)
  run(3000)
  for n = 10, 15 do
    expect(state(0, id(n)) == "completed", "job is not completed")
  end
end)

scenario("a withdrawn key is refused, and all keys while the table is down",
         function()
  start_fleet{}
  config(CONFIG:gsub("version 1", "version 2"):gsub("1000 0 k", "1000 0 other"))
  run(200)
  job{id = id(1), steps = {{tasks = 1}}}
  local c = submit(1, id(1))
  run(50)
  expect(answer(c) == 401, "withdrawn key is not refused")
  store("down", 9000)
  run(5000)
  job{id = id(2), steps = {{tasks = 1}}}
  local d = submit(1, id(2), "other")
  run(50)
  expect(answer(d) == 503, "key is not refused although the table is down")
end)

scenario("a job submitted to two instances at once runs once", function()
  start_fleet{}
  job{id = id(1), steps = {{tasks = 2}}}
  local a, b = submit(0, id(1)), submit(1, id(1))
  run(3000)
  expect(answer(a) == 200 and answer(b) == 200, "a submission is not accepted")
  expect(task(id(1), 0, 0) == 1, "task was not started exactly once")
end)

scenario("a cancelled job is stopped and stays cancelled", function()
  start_fleet{}
  job{id = id(1), steps = {{tasks = 4, ms = 8000}}}
  submit(0, id(1))
  run(500)
  expect(running() == 4, "tasks are not running")
  local c = request(2, id(1), "cancel")
  run(1500)
  expect(answer(c) == 200, "cancellation is not acknowledged")
  expect(running() == 0, "tasks are still running")
  expect(state(1, id(1)) == "cancelled", "job is not cancelled")
end)

scenario("an unknown job is answered with 410, an unknown queue with 404",
  function()
  start_fleet{}
  local c = request(0, id(77))
  run(300)
  expect(answer(c) == 410, "status is not 410")
  local w = waiting(1, "none")
  run(50)
  expect(answer(w) == 404, "status is not 404")
end)

scenario("an instance that cannot reach the table records jobs through another",
  function()
  start_fleet{}
  local isolated = (leader() + 1) % 3
  instance(isolated, "partition-store", 6000)
  run(1500)
  local calls = {}
  for n = 1, 10 do
    job{id = id(n), steps = {{tasks = 2, ms = 600}}}
    calls[#calls + 1] = submit(isolated, id(n))
    run(120)
  end
  run(400)
  expect(count_answers(calls, 200) == 10,
         count_answers(calls, 200) .. " of 10 accepted")
  run(3000)
  for n = 1, 10 do
    expect(state((isolated + 1) % 3, id(n)) == "completed",
           "job is not completed")
  end
end)

scenario("submissions are refused at once when the table is known to be down",
  function()
  start_fleet{}
  store("down", 5000)
  run(2500)
  local calls = submit_jobs(1, 3)
  run(30)
  expect(count_answers(calls, 503) == 3,
         count_answers(calls, 503) .. " of 3 refused")
  run(12000)
  for n = 1, 3 do expect(task(id(n)) == 0, "a refused job was started") end
end)

-- The first write of a job, through another instance, has an unknown outcome.
-- The table then refuses the next write.  The instance must not tell the caller
-- that the job was not accepted: the first write may have been executed.
scenario("an unknown outcome is not reported as a refusal", function()
  start_fleet{}
  local refused_by_table = (leader() + 1) % 3
  instance(refused_by_table, "refuse-store", 9000)
  run(2200)
  job{id = id(1), steps = {{tasks = 1}}}
  store("lose-replies", 1)
  local call = submit(refused_by_table, id(1))
  run(600)
  store("lose-replies", 0)
  store("down", 2500)
  run(12000)
  expect(answer(call) ~= 503,
         "caller is told that the job does not run, but it may run")
end)

scenario("a slow table gets no extra calls through other instances", function()
  start_fleet{}
  store("slow", 50)
  run(1500)
  local calls, proxied_before = {}, proxied()
  for n = 1, 30 do
    job{id = id(n), steps = {{tasks = 1}}}
    calls[#calls + 1] = submit(n % 3, id(n))
    run(30)
  end
  run(4000)
  expect(count_answers(calls, 200) >= 28,
         count_answers(calls, 200) .. " of 30 accepted")
  expect(proxied() == proxied_before,
         proxied() - proxied_before .. " calls through other instances")
end)

-- While the table is slow, each of its parts executes five writes a second.
-- Jobs come as on a usual day of a large deployment.
scenario("jobs are accepted while each part of the table is slow", function()
  local PER_S, SECONDS = 170, 6
  start_fleet{instances = 9, execs = 60}
  store("part-write-ms", 180)
  local calls = {}
  for n = 1, PER_S * SECONDS do
    local job_id = string.format("%016x", n * 2654435761)
    job{id = job_id, queue = "many", steps = {{tasks = 1, ms = 200}}}
    calls[#calls + 1] = submit(n % 9, job_id)
    run(1000 / PER_S)
  end
  run(3000)
  local accepted = count_answers(calls, 200)
  expect(accepted >= 0.9 * #calls,
         accepted .. " of " .. #calls .. " jobs are accepted")
end)

-- Most answers to writes are lost.  The leader reads of the jobs in the table,
-- so that it can tell the other instances that they are recorded.
scenario("callers learn that jobs are recorded although answers are lost",
  function()
  start_fleet{instances = 6}
  store("lose-replies", 0.85)
  local calls = submit_jobs(1, 40)
  run(3500)
  store("lose-replies", 0)
  local accepted = count_answers(calls, 200)
  expect(accepted >= 36, accepted .. " of 40 submissions are accepted")
  run(6000)
  for n = 1, 40 do
    expect(state(1, id(n)) == "completed", "job is not completed")
  end
end)

-- A row of the platform's table holds some 2,000 lines of the roster.  The
-- simulation has smaller rows, as it has at most 512 executors.
scenario("the roster is recorded although it is longer than a row", function()
  fleet{instances = 3, execs = 500, cores = 1}
  store("row-bytes", 4000)
  config(CONFIG)
  run(2000)
  for n = 1, 5 do
    job{id = id(n), steps = {{tasks = 10, ms = 3000}}}
    submit(n % 3, id(n))
    run(200)
  end
  run(1000)
  expect(running() == 50, running() .. " of 50 tasks are running")
  instance(leader(), "kill")
  run(9000)
  for n = 1, 5 do
    expect(state(leader(), id(n)) == "completed", "job is not completed")
  end
end)
