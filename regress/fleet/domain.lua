dofile("regress/fleet/lib.lua")

-- Return: whether executor i is in the failure domain that is cut off; see
-- read_discovery_entry() in regress/fsim/sim.c.
local function in_cut_domain(i) return i % 10 % 3 == 0 end

-- Submits quick jobs for the given time, per_10_ms of them every 10 ms.
--
-- Return: ids of the jobs.
local function submit_quick(first, for_ms, per_10_ms)
  local sent = {}
  for n = 0, for_ms / 10 * per_10_ms - 1 do
    local job_id = id(first + n)
    job{id = job_id, steps = {{tasks = 2, cpu = 1000, ms = 400}}}
    submit(n % 6, job_id)
    sent[#sent + 1] = job_id
    if n % per_10_ms == 0 then run(10) end
  end
  return sent
end

-- Asks for the state of all jobs and waits 400 ms for the answers.
--
-- Return: number of the jobs that have completed.
local function count_done(sent)
  local calls, n = {}, 0
  for i, s in ipairs(sent) do calls[i] = request(leader(), s) end
  run(400)
  for _, c in ipairs(calls) do
    local status, body = answer(c)
    if status == 200 and body == "completed" then n = n + 1 end
  end
  return n
end

-- The leases of the executors that were cut off end after some 7 s.  What was
-- sent to them waits until then.
scenario("few tasks are sent to a failure domain that is cut off", function()
  local EXECS, PER_10_MS = 480, 4
  start_fleet{instances = 6, execs = EXECS, cores = 2}
  submit_quick(1, 1000, PER_10_MS)
  for i = 0, EXECS - 1 do
    if in_cut_domain(i) then exec(i, "partition", 6000) end
  end
  local sent = submit_quick(10000, 2000, PER_10_MS)
  run(1100)
  local n = count_done(sent)
  -- As many jobs as come in 50 ms may wait.
  expect(n >= #sent - 5 * PER_10_MS,
         n .. " of " .. #sent .. " jobs have completed")
  run(9600)
  expect(count_done(sent) == #sent, "jobs are not completed")
end)

scenario("a failure domain that answers again gets tasks again", function()
  local EXECS = 30
  start_fleet{instances = 6, execs = EXECS, cores = 4}
  for i = 0, EXECS - 1 do
    if in_cut_domain(i) then exec(i, "partition", 3000) end
  end
  submit_quick(1, 2000, 1)
  run(10000)
  job{id = id(90000), steps = {{tasks = 4 * EXECS, cpu = 1000, ms = 1000}}}
  submit(0, id(90000))
  run(600)
  for i = 0, EXECS - 1 do
    expect(running(i) > 0, "executor " .. i .. " got no task")
  end
end)

-- The leader itself is cut off from the executors of all domains for a moment.
scenario("domains are used when the leader could not reach any", function()
  start_fleet{instances = 6, execs = 30, cores = 16}
  submit_quick(1, 500, 1)
  for i = 0, 29 do exec(i, "partition", 400) end
  local sent = submit_quick(10000, 1500, 1)
  run(1100)
  local n = count_done(sent)
  expect(n >= #sent - 50, n .. " of " .. #sent .. " jobs have completed")
end)
