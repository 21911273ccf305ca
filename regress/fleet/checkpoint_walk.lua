-- walk.lua with tasks that save checkpoints of many lengths, long enough that
-- their executors and leaders are lost meanwhile.
local LENGTHS = {0, 1, 16, 63, 64, 100, 300, 4000, 4096, 4097, 65536, 65537}
local job_without = job
function job(options)
  options.checkpoint_bytes = LENGTHS[1 + math.floor(random() * #LENGTHS)]
  options.odd_checkpoints = random() < 0.2 and 1 or 0
  return job_without(options)
end
LONG_MS = 4000
dofile("regress/fleet/walk.lua")
