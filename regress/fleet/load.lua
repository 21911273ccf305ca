dofile("regress/fleet/lib.lua")

-- The Unit's mix on 48 executors of 16 cores, at X times the usual rate, with
-- a bulge of waiting work.  COUNT(kind) tells how many were completed in time.
local function mix(rate, seconds)
  begin{instances = 6, execs = 48, good_percent = 50}
  local n, sent = 0, {}
  local kinds = {
    {queue = "wide", per_s = 1.83, tasks = 8, cpu = 4500, ms = 4000, gang = true,
     base = 310000, each = 4400, slack = 2.2, target = 1000},
    {queue = "many", per_s = 5.4, tasks = 14, cpu = 980, ms = 2700,
     base = 50000, each = 710, slack = 4, target = 3000},
    {queue = "quick", per_s = 48, tasks = 2, cpu = 1400, ms = 640,
     base = 5600, each = 80, slack = 1.5, target = 250},
  }
  for tick = 1, seconds * 20 do
    for _, k in ipairs(kinds) do
      if random() < k.per_s * rate / 20 then
        for _ = 1, math.max(1, math.floor(k.per_s * rate / 20)) do
          n = n + 1
          job{id = id(n), queue = k.queue, advice_base_us = k.base,
              advice_each_us = k.each,
              steps = {{tasks = k.tasks, cpu = k.cpu, ms = k.ms, gang = k.gang}}}
          sent[#sent + 1] = {id = id(n), kind = k.queue, at = now(),
                             call = submit(n % 6, id(n)),
                             due = now() + k.target + k.slack * k.ms}
        end
      end
    end
    run(50)
  end
  return sent
end

scenario("three times the usual load for ten seconds, then it drains", function()
  local sent = mix(3, 10)
  run(30000)
  local left = 0
  for _, s in ipairs(sent) do
    if answer(s.call) == 200 and state(0, s.id) ~= "completed" then
      left = left + 1
    end
  end
  expect(left == 0, left .. " of " .. #sent .. " not completed")
end)
