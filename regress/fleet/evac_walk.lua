-- walk.lua with failure domains that the operator evacuates and takes back.
local new_fleet = fleet

function fleet(options)
  options.evacuate_ms = 5000
  return new_fleet(options)
end

EXTRA_FAULTS = {}
for _ = 1, 8 do
  EXTRA_FAULTS[#EXTRA_FAULTS + 1] = function()
    local zone = math.floor(random() * 3)
    evacuate(zone, true)
    return function() evacuate(zone, false) end
  end
end
dofile("regress/fleet/walk.lua")
