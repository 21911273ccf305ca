-- Functions that the fleet scripts share.

-- For the format see read_conf() in regress/fsim/sim.c.
CONFIG = [[version 1
queue q 0 3 1.5 250 0 0
queue wide 1 3 2.2 1000 310 4.4
queue many 2 4 4 3000 50 0.71
queue quick 0 4 1.5 250 5.6 0.08
tenant red 1000 0 k
]]

-- Starts a simulation and waits 1500 ms, in which a leader is elected.
function start_fleet(options)
  fleet(options or {})
  config(CONFIG)
  run(1500)
end

-- Return: a job id of 16 hexadecimal digits.
function id(n) return string.format("%016x", n) end

-- Queries the state of a job at instance i and waits 400 ms for the answer.
--
-- Return: the state, or the HTTP status as a string unless it is 200.
function state(i, job)
  local c = request(i, job)
  run(400)
  local status, body = answer(c)
  return status == 200 and body or tostring(status)
end
