-- walk.lua with long tasks, and with executors that grant longer leases than the
-- leader gives.  Among the faults, executors restart and are cut off soon after.
LEASE_MAX_MS = 10000
LONG_MS = 9000
EXTRA_FAULTS = {}
for _ = 1, 8 do
  EXTRA_FAULTS[#EXTRA_FAULTS + 1] = function()
    local first, cut_ms = math.floor(random() * 8), 500 + random() * 2500
    for k = first, first + 2 do
      exec(k % 8, "new-id", 0)
      exec(k % 8, "reboot")
      later(cut_ms, function() exec(k % 8, "partition", 10500) end, 10500)
    end
  end
end
dofile("regress/fleet/walk.lua")
