-- walk.lua with failure domains that the operator evacuates for longer than
-- evacuate_ms, so that starts there count as violations.
local new_fleet = fleet

function fleet(options)
  options.evacuate_ms = 5000
  return new_fleet(options)
end

local evacuated = {}

EXTRA_FAULTS = {}
for _ = 1, 8 do
  EXTRA_FAULTS[#EXTRA_FAULTS + 1] = function()
    local zone, for_ms = math.floor(random() * 3), 6000 + random() * 6000
    if evacuated[zone] then return end
    evacuated[zone] = true
    evacuate(zone, true)
    later(for_ms, function()
      evacuate(zone, false)
      evacuated[zone] = nil
    end)
  end
end
dofile("regress/fleet/walk.lua")
