dofile("regress/fleet/lib.lua")

-- Injects one or two random faults at a time while jobs are submitted.  Every
-- accepted job must be completed or failed within 25 s after the last faults.
scenario("accepted jobs are completed or failed despite random faults",
  function()
  start_fleet{instances = 4, execs = 8, permitted_percent = 80,
              lease_max_ms = LEASE_MAX_MS}
  watch_standing()
  local n, calls = 0, {}
  local function submit_job()
    n = n + 1
    local kind = random()
    if LONG_MS and random() < 0.15 then
      job{id = id(n), steps = {{tasks = 2, ms = LONG_MS}}}
    elseif kind < 0.2 then
      job{id = id(n), steps = {{tasks = 4, gang = true, cpu = 3000, ms = 900}}}
    elseif kind < 0.25 then
      job{id = id(n), always_fails = true, steps = {{tasks = 2}}}
    elseif kind < 0.27 then
      job{id = id(n), crashing = 1, crash_after_ms = math.floor(random() * 3) * 200,
          steps = {{tasks = 2, gang = random() < 0.3, ms = 900}}}
    elseif kind < 0.6 then
      job{id = id(n), queue = "quick", advice_base_us = 5000,
          advice_per_exec_us = 100, steps = {{tasks = 2, cpu = 1500, ms = 400}}}
    else
      job{id = id(n), steps = {{tasks = 3, ms = 700}, {tasks = 2, after = 0}}}
    end
    calls[n] = submit(math.floor(random() * 4), id(n))
  end
  local faults = fault_list()
  -- Functions that end the faults of the present round.
  local end_functions = {}
  for _ = 1, 12 do
    for _ = 1, 1 + math.floor(random() * 2) do
      local end_fault = faults[1 + math.floor(random() * #faults)]()
      if end_fault then end_functions[#end_functions + 1] = end_fault end
    end
    for _ = 1, 8 do
      for _ = 1, 2 do submit_job() end
      run(100 + random() * 300)
    end
    while #end_functions > 0 do table.remove(end_functions)() end
  end
  rest(25000, n)
  for i = 1, n do
    local status = answer(calls[i])
    if status == 200 then
      local s = state(0, id(i))
      expect(s == "completed" or s == "failed",
             "accepted job " .. i .. " is " .. s)
    end
  end
end)
