-- Guarantee 1: the capacity of a backend server is never exceeded.
-- Submits n tasks of 5 cores and 9000 MB, with a run time of ms (default 2000),
-- to the instance at.
local function submit_burst(at, n, ms)
  for i = 1, n do
    task{at = at, team = "red", id = "b" .. now() .. "-" .. i, cores = 5,
         mem_mb = 9000, ms = ms or 2000}
  end
end

-- The holder dies before, during or after the journal's writes; its successor
-- must not forget starts that it finds in the journal.
for _, after in ipairs{0, 3, 6, 9, 12, 16, 20, 30, 60} do
  scenario("holder killed " .. after .. " ms after a burst of tasks", function()
    begin{entries = 3}
    local h = holder("a")
    submit_burst(h, 10)
    run(after)
    kill(h)
    for _ = 1, 5 do
      run(2000)
      local at = any_up()
      submit_burst(at, 6)
    end
    recover_and_check()
  end)
end

for _, ms in ipairs{4000, 7000, 20000, 90000} do
  scenario("holder frozen " .. ms .. " ms with unsent starts", function()
    begin{entries = 3}
    local h = holder("a")
    submit_burst(h, 10)
    run(12)
    freeze(h)
    for _ = 1, 4 do
      run(ms // 4)
      submit_burst(any_up(), 6)
    end
    thaw(h)
    run(5000)
    submit_burst(any_up(), 6)
    recover_and_check()
  end)
end

scenario("store replies are lost and syncs are late while holders change", function()
  begin{entries = 3, workers = 2}
  faults{lost_reply_percent = 30, late_percent = 20}
  for _ = 1, 6 do
    submit_burst(any_up(), 6)
    run(3000)
    local h = holder("a")
    if h then kill(h) run(100) restart(h) end
  end
  recover_and_check(300000)
end)

scenario("a worker reboots and forgets its runs", function()
  begin{workers = 2}
  for _ = 1, 5 do
    submit_burst("a1", 5, 6000)
    run(1500)
    server("a-w1", {reboot = true})
  end
  recover_and_check(300000)
end)

scenario("executor slots: holder and entry instances are killed with service requests running", function()
  begin{entries = 3, executors = 1}
  for round = 1, 6 do
    for i = 1, 12 do
      service{at = any_up(), team = "red", id = round .. "-" .. i, ms = 2500}
    end
    run(700)
    local h = holder("a")
    if h then kill(h) run(1500) restart(h) end
  end
  recover_and_check()
end)

scenario("executor slots: an entry instance is frozen after slots were granted to it", function()
  begin{entries = 3, executors = 1}
  local other
  for _, e in ipairs(entries) do if e ~= holder("a") then other = e end end
  for round = 1, 5 do
    for i = 1, 8 do service{at = other, team = "red", id = round .. "f" .. i, ms = 3000} end
    run(1)
    freeze(other)
    run(9000)
    for i = 1, 8 do service{at = holder("a"), team = "blue", id = round .. "g" .. i, ms = 2000} end
    run(20)
    thaw(other)
    run(1000)
  end
  recover_and_check()
end)
