dofile("regress/fleet/lib.lua")

-- Random faults while jobs are submitted, many of them cancelled soon after, and
-- ids cancelled that nobody submits.  What was answered must hold: a cancelled
-- job does not run, and all other accepted jobs are completed.
EXTRA_FAULTS = {
  function() store("delay-writes", 0.6)
    return function() store("delay-writes", 0) end end,
  function() store("delay-writes", 0.6) store("lose-replies", 0.3)
    return function() store("delay-writes", 0) store("lose-replies", 0) end end,
  function()
    instance(math.floor(random() * 4), "refuse-store", 500 + random() * 5000)
  end,
}

scenario("cancelled jobs do not run, and others do, despite random faults",
  function()
  start_fleet{instances = 4, execs = 8}
  local n, calls, cancels = 0, {}, {}
  local function pick_instance() return math.floor(random() * 4) end
  local function submit_job()
    n = n + 1
    local i = n
    job{id = id(n), steps = {{tasks = 2, ms = random() < 0.3 and 4000 or 500}}}
    calls[n] = {submit(pick_instance(), id(n))}
    if random() < 0.4 then
      later(random() * 900, function()
        cancels[i] = {request(pick_instance(), id(i), "cancel")}
      end)
      if random() < 0.5 then
        later(random() * 900, function()
          if not cancels[i] then calls[i][2] = submit(pick_instance(), id(i)) end
        end)
      end
      if random() < 0.3 then
        later(900 + random() * 2000, function()
          cancels[i][2] = request(pick_instance(), id(i), "cancel")
        end)
      end
    end
    if random() < 0.2 then
      request(pick_instance(), id(1000000 + n), "cancel")
    end
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
      run(100 + random() * 300)
    end
    while #end_functions > 0 do table.remove(end_functions)() end
  end
  rest(25000, n)
  for i = 1, n do
    local accepted, cancelled, asked = false, nil, cancels[i] ~= nil
    for _, c in ipairs(calls[i]) do
      accepted = accepted or answer(c) == 200
    end
    for _, c in ipairs(cancels[i] or {}) do
      local status = answer(c)
      if cancelled ~= 410 and (status == 200 or status == 410) then
        cancelled = status
      end
    end
    local s = state(0, id(i))
    if cancelled == 410 then
      expect(s == "410", "job " .. i .. ", withdrawn, is " .. s)
    elseif cancelled then
      expect(s == "cancelled" or s == "completed" or s == "failed",
             "job " .. i .. ", cancelled, is " .. s)
    elseif accepted and not asked then
      expect(s == "completed" or s == "failed",
             "accepted job " .. i .. " is " .. s)
    end
  end
  for i = 1, math.min(n, 20) do
    expect(state(0, id(1000000 + i)) == "410", "an unknown job is shown")
  end
  run(60000)
  expect(withdrawals() == 0, withdrawals() .. " withdrawals are left")
end)
