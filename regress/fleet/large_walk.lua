dofile("regress/fleet/lib.lua")

-- Random faults while now and then a job of hundreds or thousands of tiny tasks
-- comes, many of which end on one executor at the same time.
scenario("large jobs and small ones are completed despite random faults",
  function()
  start_fleet{instances = 4, execs = 8}
  watch_standing()
  local n, calls = 0, {}
  local function submit_job()
    n = n + 1
    local kind = random()
    if kind < 0.06 then
      job{id = id(n), steps = {{tasks = 200 + math.floor(random() * 800), cpu = 10,
          mem = 4, ms = 500 + random() * 3000}}}
    elseif kind < 0.09 then
      local wide = {tasks = 1000, cpu = 10, mem = 4, ms = 300}
      job{id = id(n), steps = {wide, wide, wide, {tasks = 2, after = 2}}}
    elseif kind < 0.2 then
      job{id = id(n), steps = {{tasks = 4, gang = true, cpu = 3000, ms = 900}}}
    else
      job{id = id(n), steps = {{tasks = 3, ms = 700}, {tasks = 2, after = 0}}}
    end
    calls[n] = submit(math.floor(random() * 4), id(n))
  end
  local faults = fault_list()
  local end_functions = {}
  for _ = 1, 8 do
    for _ = 1, 1 + math.floor(random() * 2) do
      local end_fault = faults[1 + math.floor(random() * #faults)]()
      if end_fault then end_functions[#end_functions + 1] = end_fault end
    end
    for _ = 1, 8 do
      submit_job()
      run(100 + random() * 300)
    end
    while #end_functions > 0 do table.remove(end_functions)() end
  end
  rest(40000, n)
  for i = 1, n do
    if answer(calls[i]) == 200 then
      local s = state(0, id(i))
      expect(s == "completed" or s == "failed",
             "accepted job " .. i .. " is " .. s)
    end
  end
  expect(refused() == 0, refused() .. " writes were refused")
end)
