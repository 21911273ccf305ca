-- walk.lua with executors whose clock goes on after a restart, or begins near 0.
local set_exec = exec

function exec(e, what, value)
  if what == "reboot" then
    set_exec(e, "boot-clock", random() < 0.5 and now() or random() * 2000)
  end
  return set_exec(e, what, value)
end

dofile("regress/fleet/walk.lua")
