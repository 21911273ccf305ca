-- walk.lua with executors that answer late among the faults.
EXTRA_FAULTS = {}
for _ = 1, 4 do
  EXTRA_FAULTS[#EXTRA_FAULTS + 1] = function()
    local e = math.floor(random() * 8)
    exec(e, "slow-answers", 100 + random() * 2000)
    return function() exec(e, "slow-answers", 0) end
  end
  EXTRA_FAULTS[#EXTRA_FAULTS + 1] = function()
    local ms = 100 + random() * 2000
    for e = 0, 7 do exec(e, "slow-answers", ms) end
    return function()
      for e = 0, 7 do exec(e, "slow-answers", 0) end
    end
  end
end
dofile("regress/fleet/walk.lua")
