dofile("regress/fleet/lib.lua")

-- All members of a gang are placed on one executor, and the start of one of
-- them is not answered, so that all are stopped.  No leader hears how that
-- member ended.

-- Orders of earlier leaders may have effect on a silent executor until this
-- time after a claim (EARLIER_RUNS_WAIT_MS).
local OLD_LEASES_MS = 7120
-- The leases that a leader has given to a silent executor end in this time
-- after its last answer: FSCHED_LEASE_MS on a slow clock, and the margin.
local LEASES_MS = 6300
local TASK_MS = 4000
-- Time for a query, the orders, the run itself, and the record of its end.
local RUN_MS = TASK_MS + 1700
-- A member that starts late waits for the others for this long, if no stop
-- order arrives.
local GANG_WAIT_MS = 3000
-- A write of the table may be executed as late as this.
local TABLE_LATE_MS = 6000
local MEMBERS = 3
local SHOW = os.getenv("SHOW")

local STARTS = {"lose-start", "drop-start", "late-start"}
local STOPS = {
  answered = function() end,
  lost = function() exec(0, "drop-stops", 1) end,
  unanswered = function() exec(0, "silence-stops", 1) end,
}
local THEN = {
  reachable = function() end,
  hung = function() exec(0, "hang", 60000) end,
  ["hung for 3 s"] = function() exec(0, "hang", 3000) end,
  ["cut off"] = function() exec(0, "partition", 60000) end,
  crashed = function() exec(0, "crash") end,
  replaced = function() exec(0, "new-id", 1) exec(0, "reboot") end,
  refusing = function() exec(0, "refuse-connections", 1) end,
}

local function sorted_keys(t)
  local keys = {}
  for k in pairs(t) do keys[#keys + 1] = k end
  table.sort(keys)
  return keys
end

-- Runs the simulation until the condition holds, at most for_ms.
local function run_until(for_ms, condition)
  local until_ms = now() + for_ms
  while not condition() and now() < until_ms do run(10) end
  return condition()
end

local function starts_of_member(index) return (task(id(1), 0, index)) end

local function is_done()
  for t = 0, MEMBERS - 1 do
    if not select(3, task(id(1), 0, t)) then return false end
  end
  return true
end

-- Kills the leader and waits for the next one.
local function change_leader()
  local old = kill_leader()
  expect(run_until(6000, function() return leader() >= 0 and leader() ~= old end),
         "no next leader")
end

local function play(start, stops, after, kills, queue, table_fault)
  start_fleet{instances = 4, execs = 4}
  exec(0, start, 1)
  job{id = id(1), queue = queue, advice_base_us = queue == "wide" and 310000 or 0,
      advice_per_exec_us = queue == "wide" and 4400 or 0,
      steps = {{tasks = MEMBERS, gang = true, cpu = 4000, ms = TASK_MS}}}
  submit(0, id(1))
  expect(run_until(2000, function() return starts_of_member(0) > 0 end),
         "the gang has not started")
  STOPS[stops]()
  -- Both tries have been sent, and the second one is about to be given up.
  run(900 + math.floor(random() * 100))
  exec(0, start, -1)
  THEN[after]()
  if table_fault then store(table_fault, 0.5) end
  run(300 + math.floor(random() * 900))
  local begin, limit_ms = now(), LEASES_MS + RUN_MS
  if start == "late-start" then limit_ms = limit_ms + GANG_WAIT_MS end
  for _ = 1, kills do
    change_leader()
    begin, limit_ms = now(), OLD_LEASES_MS + RUN_MS
    run(200 + math.floor(random() * 1500))
  end
  if table_fault then store(table_fault, 0) begin = now() + TABLE_LATE_MS end
  run_until(begin + limit_ms - now(), is_done)
  if SHOW then print(queue, start, stops, after, kills, now() - begin, is_done()) end
  expect(is_done(), "the gang has not run again")
  run(14000) -- Orders may be executed as late as that.
  expect(state(leader(), id(1)) == "completed", "the job is not completed")
end

for _, queue in ipairs{"q", "wide"} do
  for _, start in ipairs(STARTS) do
    for _, stops in ipairs(sorted_keys(STOPS)) do
      for _, after in ipairs(sorted_keys(THEN)) do
        for kills = 0, 2 do
          scenario(string.format("%s: %s, stops %s, executor %s, %d changes of the"
                                 .. " leader", queue, start, stops, after, kills),
                   function() play(start, stops, after, kills, queue) end)
        end
      end
    end
  end
end

for _, fault in ipairs{"lose-replies", "delay-writes"} do
  for _, start in ipairs(STARTS) do
    for kills = 1, 2 do
      scenario(string.format("%s, table: %s, %d changes of the leader", start, fault,
                             kills),
               function() play(start, "answered", "reachable", kills, "q", fault) end)
    end
  end
end
