dofile("regress/fleet/lib.lua")

-- Kinds of jobs; per_s is the usual number of jobs a second of all accounts.
local QUICK = {queue = "quick", per_s = 48, tasks = 2, cpu = 5600, ms = 640,
               base = 7400, per_exec = 110, slack = 1.5, target = 250}
local MANY = {queue = "many", per_s = 6.8, tasks = 12, cpu = 3900, ms = 2200,
              base = 53000, per_exec = 750, slack = 4, target = 3000}
local WIDE = {queue = "wide", per_s = 1.2, tasks = 8, cpu = 18000, ms = 6200,
              gang = true, base = 310000, per_exec = 4400, slack = 2.2,
              target = 1000}
local BULK = {queue = "many", per_s = 30, tasks = 8, cpu = 2000, ms = 3500,
              base = 20000, per_exec = 300, slack = 4, target = 3000}

-- Accounts: key, weight and part of the usual load.
local ACCOUNTS = {{"h", 38, 0.35}, {"a", 24, 0.25}, {"b", 24, 0.2},
                  {"c", 24, 0.2}}

local function all_done(j)
  for t = 0, j.tasks - 1 do
    local _, _, done = task(j.id, 0, t)
    if not done then return false end
  end
  return true
end

-- For eight seconds the first account sends factor times its usual load, and
-- the other accounts their usual load.
--
-- Return: shares of the other accounts' and the first account's jobs that are
-- done in time; part of the first account's work that the executors have room
-- for in ten seconds, beside the others' work.
local function play(factor, kinds)
  local n, jobs, work = 0, {}, {[true] = 0, [false] = 0}
  CONFIG = CONFIG .. [[tenant hot 38 0 h
tenant first 24 0 a
tenant second 24 0 b
tenant third 24 0 c
]]
  start_fleet{instances = 9, execs = 48, cores = 64, mem = 131072,
              permitted_percent = 60}
  for t = 0, 16000, 50 do
    for _, account in ipairs(ACCOUNTS) do
      for _, k in ipairs(kinds) do
        local rate = k.per_s * account[3] * (account[1] == "h" and factor or 1)
        local due_ms = k.target + k.slack * k.ms + 300
        if t < 8000 and random() < rate / 20 then
          for _ = 1, math.max(1, math.floor(rate / 20)) do
            n = n + 1
            job{id = id(n), queue = k.queue, advice_base_us = k.base,
                advice_per_exec_us = k.per_exec,
                steps = {{tasks = k.tasks, cpu = k.cpu, ms = k.ms,
                          gang = k.gang}}}
            submit((leader() + 1 + n) % 9, id(n), account[1])
            local hot = account[1] == "h"
            work[hot] = work[hot] + k.tasks * k.cpu * k.ms
            jobs[n] = {id = id(n), tasks = k.tasks, due = now() + due_ms,
                       hot = hot}
          end
        end
      end
    end
    run(50)
    for _, j in ipairs(jobs) do
      if not j.ended and (now() > j.due + 50 or all_done(j)) then
        j.ended = true
        j.in_time = now() <= j.due + 50
      end
    end
  end
  local in_time, sum = {[true] = 0, [false] = 0}, {[true] = 0, [false] = 0}
  for _, j in ipairs(jobs) do
    sum[j.hot] = sum[j.hot] + 1
    if j.in_time then in_time[j.hot] = in_time[j.hot] + 1 end
  end
  local room = (48 * 64000 * 10000 - work[false]) / work[true]
  return in_time[false] / sum[false], in_time[true] / sum[true],
         math.min(room, 1)
end

local MIXES = {{"quick, many and wide", {QUICK, MANY, WIDE}},
               {"quick and bulk", {QUICK, BULK}}, {"bulk", {BULK}}}
for _, mix in ipairs(MIXES) do
  for _, factor in ipairs{3, 5, 8} do
    scenario("accounts are served beside one at " .. factor
             .. " times its load: " .. mix[1], function()
      local others, hot, room = play(factor, mix[2])
      expect(others >= 0.95, string.format("%.2f of others in time", others))
      expect(hot >= 0.95 * room, string.format(
        "%.2f of its own in time, with room for %.2f", hot, room))
    end)
  end
end
