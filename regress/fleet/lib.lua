-- Configuration and functions that the fleet scripts share.

-- The fleet's configuration; read_conf() in regress/fsim/sim.c describes its
-- format.
CONFIG = [[version 1
queue q 0 3 1.5 250 0 0
queue wide 1 3 2.2 1000 310 4.4
queue many 2 4 4 3000 50 0.71
queue quick 0 4 1.5 250 5.6 0.08
tenant red 1000 0 k
]]

-- Starts a simulation with the options of fleet{} and runs it for 1500 ms, in
-- which a leader is elected.
function start_fleet(options)
  fleet(options or {})
  config(CONFIG)
  run(1500)
end

-- Return: job id number n, of 16 hexadecimal digits.
function id(n) return string.format("%016x", n) end

-- Queries instance i for the state of a job and runs the simulation for 400 ms,
-- in which the answer arrives.
--
-- Return: the state if the HTTP status of the answer is 200, otherwise the HTTP
-- status as a string.
function state(i, job_id)
  local c = request(i, job_id)
  run(400)
  local status, body = answer(c)
  return status == 200 and body or tostring(status)
end

-- Submits count small jobs, beginning with number first, one every 100 ms, to
-- the instances 0 to 2 but down.
function submit_small(first, count, down)
  for n = first, first + count - 1 do
    local at = n % 3
    job{id = id(n), steps = {{tasks = 2, ms = 300, cpu = 500}}}
    submit(at == down and (at + 1) % 3 or at, id(n))
    run(100)
  end
end

-- Return: index of the leader, which must exist.
function the_leader()
  local l = leader()
  expect(l >= 0, "no instance leads")
  return l
end

-- Kills the leader.  Return: its index.
function kill_leader()
  local old = the_leader()
  instance(old, "kill")
  return old
end

-- Notes that a fault lasts for the given time in ms, which it returns.
-- FAULTS_END_MS is when all faults have ended that end by themselves.
FAULTS_END_MS = 0
local function lasting(ms)
  FAULTS_END_MS = math.max(FAULTS_END_MS, now() + math.ceil(ms))
  return ms
end

-- Functions that run() is still to call, see later().
local calls = {}

-- Lets run() call f after the given time in ms.  What f does lasts for for_ms.
function later(ms, f, for_ms)
  lasting(ms + (for_ms or 0))
  calls[#calls + 1] = {at_ms = now() + math.ceil(ms), f = f}
end

-- Runs the simulation for the given time in ms, with the calls of later().
local run_without_calls = run
function run(ms)
  local end_ms = now() + math.floor(ms)
  while true do
    local first
    for i, c in ipairs(calls) do
      if c.at_ms <= end_ms and (not first or c.at_ms < calls[first].at_ms) then
        first = i
      end
    end
    if not first then break end
    local c = table.remove(calls, first)
    run_without_calls(c.at_ms - now())
    c.f()
  end
  run_without_calls(end_ms - now())
end

-- Return: a random integer from 0 to n - 1.
local function pick(n) return math.floor(random() * n) end

-- Restarts executor e under its id.  The next n_dead orders to it fail.
local function restart(e, n_dead)
  exec(e, "new-id", 0)
  exec(e, "reboot")
  exec(e, "dead-connections", n_dead)
end

-- Restarts all executors of a failure domain under their ids and cuts them off
-- soon after; the leader may be lost in between.
local function recut()
  local zone, cut_ms, for_ms
      = pick(3), 300 + random() * 2700, 500 + random() * 9000
  -- See read_discovery_entry() in regress/fsim/sim.c.
  for e = zone, 7, 3 do
    exec(e, "crash")
    later(random() * 600, function() restart(e, pick(3)) end)
    later(cut_ms, function() exec(e, "partition", for_ms) end, for_ms)
  end
  if random() < 0.5 then
    later(random() * cut_ms, function()
      local l = leader()
      if l < 0 then return end
      instance(l, "kill")
      later(1000, function() instance(l, "start") end)
    end, 1000)
  end
end

-- Return: a list of functions, for four instances and eight executors of 16
-- cores, and those in EXTRA_FAULTS if a script sets it.  Each injects a random fault and returns a function that ends the
-- fault, or nil if the fault ends by itself.
function fault_list()
  local list = {
    function() local i = math.floor(random() * 4)
      instance(i, "kill") return function() instance(i, "start") end end,
    function()
      instance(math.floor(random() * 4), "freeze",
               lasting(500 + random() * 4000))
    end,
    function()
      instance(math.floor(random() * 4), "partition-store",
               lasting(500 + random() * 5000))
    end,
    function()
      instance(math.floor(random() * 4), "partition",
               lasting(500 + random() * 5000))
    end,
    function() local l = leader() if l >= 0 then instance(l, "kill")
      return function() instance(l, "start") end end end,
    function()
      exec(math.floor(random() * 8), "partition",
           lasting(500 + random() * 9000))
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
    function() store("down", lasting(300 + random() * 4000)) end,
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
    function()
      local first, gap_ms = pick(8), random() * 600
      for k = 0, pick(4) do
        later(k * gap_ms, function()
          restart((first + k) % 8, 1 + pick(3))
        end)
      end
    end,
    function() local e = pick(8)
      exec(e, "entry-frozen", 1)
      restart(e, pick(3))
      return function() exec(e, "entry-frozen", 0) end end,
    function() local e = pick(8)
      restart(e, pick(3))
      later(100 + random() * 1900, function() restart(e, pick(3)) end) end,
    function() local e = pick(8)
      exec(e, "late-polls", 100 + random() * 2500)
      later(random() * 1500, function() restart(e, pick(3)) end)
      return function() exec(e, "late-polls", 0) end end,
    recut,
  }
  for _, fault in ipairs(EXTRA_FAULTS or {}) do list[#list + 1] = fault end
  return list
end

-- Runs the simulation for the given time in ms after faults, and expects that
-- from 7 s after their end on no job could have run for 3 s and was not run.
-- n is the number of jobs, key_of returns the API key of one.
function rest(for_ms, n, key_of)
  local calm_ms = math.max(FAULTS_END_MS, now()) + 7000
  local end_ms = now() + for_ms
  -- A job that crashes executors may fail during this time.  It does not count
  -- once a caller has been told so.
  while now() < end_ms do
    for i = 1, n do request(0, id(i), "state", key_of and key_of(i)) end
    run(math.min(500, end_ms - now()))
    if now() < calm_ms + 500 then watch_standing() end
  end
  local _, _, longest, longest_id = standing("any")
  expect(longest < 3000, "job " .. longest_id .. " could run for " .. longest
         .. " ms and was not run")
end
