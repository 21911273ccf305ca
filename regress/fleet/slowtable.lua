dofile("regress/fleet/lib.lua")

local RUN_MS = 300

-- Multiplies the latency of the table service by factor, and each part of the
-- table execute one write in write_ms.  Submits per_s quick jobs a second for
-- some seconds.
--
-- Return: share of the jobs that are accepted, and share of them whose task is
-- reported as done within limit_ms of the submission.
local function play_slow_table(factor, write_ms, per_s, seconds, limit_ms)
  local n, accepted, in_time, jobs = 0, 0, 0, {}
  store("slow", factor)
  store("part-write-ms", write_ms)
  for t = 0, seconds * 1000 + limit_ms, 20 do
    while t < seconds * 1000 and n <= t * per_s / 1000 do
      local job_id = string.format("%016x", (n + 1) * 2654435761)
      job{id = job_id, queue = "quick", advice_base_us = 5600,
          advice_per_exec_us = 80, steps = {{tasks = 1, cpu = 500, ms = RUN_MS}}}
      jobs[#jobs + 1] = {id = job_id, at = now(),
                         call = submit((leader() + 1 + n) % 9, job_id)}
      n = n + 1
    end
    run(20)
    for _, j in ipairs(jobs) do
      local _, _, done = task(j.id, 0, 0)
      if done and not j.done then j.done = now() end
    end
  end
  for _, j in ipairs(jobs) do
    if answer(j.call) == 200 then accepted = accepted + 1 end
    if j.done and j.done - j.at <= limit_ms then in_time = in_time + 1 end
  end
  return accepted / n, in_time / n
end

-- A call takes 480 ms.  A job waits for the write that accepts it, for two
-- writes each until its start and its end are recorded, and for one poll.
local CALL_MS = 480
local LIMIT_MS = 6 * CALL_MS + RUN_MS

scenario("jobs are done in six calls while the table is ninety times slower",
  function()
  start_fleet{instances = 9, execs = 48, cores = 64, permitted_percent = 70}
  local accepted, in_time = play_slow_table(90, 300, 50, 6, LIMIT_MS)
  expect(accepted >= 0.95, string.format("%.2f are accepted", accepted))
  expect(in_time >= 0.9, string.format("%.2f are done in time", in_time))
end)

scenario("a burst is done in six calls while the table is ninety times slower",
  function()
  start_fleet{instances = 9, execs = 48, cores = 64, permitted_percent = 70}
  local accepted, in_time = play_slow_table(90, 300, 150, 5, LIMIT_MS)
  expect(accepted >= 0.95, string.format("%.2f are accepted", accepted))
  expect(in_time >= 0.9, string.format("%.2f are done in time", in_time))
end)
