dofile("regress/fleet/lib.lua")

-- Starts a simulation with 48 executors of 16 cores and submits the usual mix
-- of jobs, at rate_factor times the usual rate, for the given time in seconds.
-- per_s is the usual rate of a kind of job in jobs per second.
--
-- Return: the submitted jobs, each with its id, kind, time of submission (ms),
-- number of the request and due time (ms).
local function submit_mix(rate_factor, seconds)
  start_fleet{instances = 6, execs = 48, permitted_percent = 50}
  local n, sent = 0, {}
  local kinds = {
    {queue = "wide", per_s = 1.83, tasks = 8, cpu = 4500, ms = 4000, gang = true,
     base = 310000, per_exec = 4400, slack = 2.2, target = 1000},
    {queue = "many", per_s = 5.4, tasks = 14, cpu = 980, ms = 2700,
     base = 50000, per_exec = 710, slack = 4, target = 3000},
    {queue = "quick", per_s = 48, tasks = 2, cpu = 1400, ms = 640,
     base = 5600, per_exec = 80, slack = 1.5, target = 250},
  }
  for tick = 1, seconds * 20 do
    for _, k in ipairs(kinds) do
      if random() < k.per_s * rate_factor / 20 then
        for _ = 1, math.max(1, math.floor(k.per_s * rate_factor / 20)) do
          n = n + 1
          job{id = id(n), queue = k.queue, advice_base_us = k.base,
              advice_per_exec_us = k.per_exec,
              steps = {{tasks = k.tasks, cpu = k.cpu, ms = k.ms, gang = k.gang}}}
          sent[#sent + 1] = {id = id(n), kind = k.queue, at = now(),
                             call = submit(n % 6, id(n)),
                             due = now() + k.target + k.slack * k.ms}
        end
      end
    end
    run(50)
  end
  return sent
end

scenario("all accepted jobs complete after ten seconds of triple load",
  function()
  local sent = submit_mix(3, 10)
  run(30000)
  local n_unfinished = 0
  for _, s in ipairs(sent) do
    if answer(s.call) == 200 and state(0, s.id) ~= "completed" then
      n_unfinished = n_unfinished + 1
    end
  end
  expect(n_unfinished == 0, n_unfinished .. " of " .. #sent .. " not completed")
end)
