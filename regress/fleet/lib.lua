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
