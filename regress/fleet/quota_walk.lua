dofile("regress/fleet/lib.lua")

-- Random faults, cancellations and changes of the limits, while two accounts
-- want more than their limits.
scenario("accounts keep to their limits despite random faults", function()
  fleet{instances = 4, execs = 8, permitted_percent = 80}
  local version = 0
  local function set_limits(blue, green)
    version = version + 1
    config("version " .. version .. "\n" .. [[
queue q 0 3 1.5 250 0 0
queue quick 0 4 1.5 250 5.6 0.08
queue once 0 1 1.5 250 0 0
tenant red 1000 0 k
]] .. "tenant blue 1000 " .. blue .. " b\ntenant green 500 " .. green .. " g\n")
  end
  set_limits(24000, 16000)
  run(1500)
  watch_standing()
  local n, jobs = 0, {}
  local function submit_job()
    n = n + 1
    local kind = random()
    local key = random() < 0.6 and "b" or "g"
    if kind < 0.2 then
      job{id = id(n), steps = {{tasks = 4, gang = true, cpu = 3000, ms = 900}}}
    elseif kind < 0.3 then
      job{id = id(n), queue = "once", always_fails = true, attempts = 1,
          steps = {{tasks = 3, ms = 600}}}
    elseif kind < 0.4 then
      job{id = id(n), steps = {{tasks = 10, max_per_exec = 2, ms = 900}}}
    elseif kind < 0.5 then
      job{id = id(n), queue = "quick", advice_base_us = 5000,
          advice_per_exec_us = 100, steps = {{tasks = 2, cpu = 1500, ms = 400}}}
    else
      job{id = id(n), steps = {{tasks = 8, ms = 2500}, {tasks = 2, after = 0}}}
    end
    submit(math.floor(random() * 4), id(n), key)
    jobs[n] = key
  end
  local faults = fault_list()
  local end_functions = {}
  for _ = 1, 12 do
    for _ = 1, 1 + math.floor(random() * 2) do
      local end_fault = faults[1 + math.floor(random() * #faults)]()
      if end_fault then end_functions[#end_functions + 1] = end_fault end
    end
    for _ = 1, 8 do
      for _ = 1, 2 do submit_job() end
      if random() < 0.4 then
        local c = 1 + math.floor(random() * n)
        request(math.floor(random() * 4), id(c), "cancel", jobs[c])
      end
      if random() < 0.1 then
        set_limits(12000 + math.floor(random() * 3) * 6000, 16000)
      end
      run(100 + random() * 300)
    end
    while #end_functions > 0 do table.remove(end_functions)() end
  end
  rest(15000, n, function(i) return jobs[i] end)
end)
