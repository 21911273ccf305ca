dofile("regress/fleet/lib.lua")

-- Injects one or two random faults at a time while jobs are submitted.  Every
-- accepted job must be completed or failed within 25 s after the last faults.
scenario("accepted jobs are completed or failed despite random faults",
  function()
  start_fleet{instances = 4, execs = 8, permitted_percent = 80}
  local n, calls = 0, {}
  local function submit_job()
    n = n + 1
    local kind = random()
    if kind < 0.2 then
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
  -- Each function injects a fault.  It returns a function that ends the fault,
  -- or nil if the fault ends by itself.
  local faults = {
    function() local i = math.floor(random() * 4)
      instance(i, "kill") return function() instance(i, "start") end end,
    function()
      instance(math.floor(random() * 4), "freeze", 500 + random() * 4000)
    end,
    function()
      instance(math.floor(random() * 4), "partition-store",
               500 + random() * 5000)
    end,
    function()
      instance(math.floor(random() * 4), "partition", 500 + random() * 5000)
    end,
    function() local l = leader() if l >= 0 then instance(l, "kill")
      return function() instance(l, "start") end end end,
    function()
      exec(math.floor(random() * 8), "partition", 500 + random() * 9000)
    end,
    function() local e = math.floor(random() * 8)
      exec(e, "crash") return function() exec(e, "reboot") end end,
    function() exec(math.floor(random() * 8), "reboot") end,
    function() local e = math.floor(random() * 8)
      exec(e, "lose-results", 0.3)
      return function() exec(e, "lose-results", 0) end end,
    function() local e = math.floor(random() * 8)
      exec(e, "delay-orders", 0.3)
      return function() exec(e, "delay-orders", 0) end end,
    function() store("down", 300 + random() * 4000) end,
    function() store("lose-replies", 0.3)
      return function() store("lose-replies", 0) end end,
    function() store("delay-writes", 0.2)
      return function() store("delay-writes", 0) end end,
    function() store("slow", 30) return function() store("slow", 1) end end,
    function() store("compact") end,
    function() local e = math.floor(random() * 8)
      exec(e, "cores", 4 + math.floor(random() * 8))
      return function() exec(e, "cores", 16) end end,
    function() local e = math.floor(random() * 8)
      exec(e, "boot-delay", 500 + random() * 9000)
      exec(e, "new-id", math.floor(random() * 2)) end,
    function() local e = math.floor(random() * 8)
      exec(e, "drain", 1)
      return function() exec(e, "reboot") exec(e, "drain", 0) end end,
  }
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
  run(25000)
  for i = 1, n do
    local status = answer(calls[i])
    if status == 200 then
      local s = state(0, id(i))
      expect(s == "completed" or s == "failed",
             "accepted job " .. i .. " is " .. s)
    end
  end
end)
