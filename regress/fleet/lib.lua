-- What the scripts of the fleet share.
CONFIG = [[version 1
queue q 0 3 1.5 250 0 0
queue wide 1 3 2.2 1000 310 4.4
queue many 2 4 4 3000 50 0.71
queue quick 0 4 1.5 250 5.6 0.08
tenant red 1000 0 k
]]

function begin(options)
  fleet(options or {})
  config(CONFIG)
  run(1500)
end

-- An id of 16 digits.
function id(n) return string.format("%016x", n) end

function state(i, job)
  local c = ask(i, job)
  run(400)
  local status, body = answer(c)
  return status == 200 and body or tostring(status)
end
