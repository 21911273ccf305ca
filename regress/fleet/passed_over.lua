dofile("regress/fleet/lib.lua")

-- A tenth of a core is free on each executor, and three cores after 15 s.
local function start_full_fleet(ticket_ms)
  CONFIG = CONFIG:gsub("310 4.4", "310 4.4 " .. ticket_ms)
  start_fleet{instances = 4, execs = 4, cores = 4, ticket_ms = ticket_ms}
  job{id = id(1), steps = {{tasks = 13, cpu = 975, ms = 60000}}}
  job{id = id(2), steps = {{tasks = 3, cpu = 975, ms = 15000}}}
  submit(0, id(1))
  submit(0, id(2))
  run(1000)
  expect(running() == 16, running() .. " tasks run")
end

local function submit_asked(n, tasks, gang, ms, queue, estimate)
  job{id = id(n), queue = queue or "wide", advice_base_us = 310000,
      advice_per_exec_us = 4400,
      steps = {{tasks = tasks, gang = gang, ms = ms or 500,
                estimate = estimate or ms or 500}}}
  submit(0, id(n))
end

-- Submits job 4 after a gang that holds the room for four tasks.
local function play_behind_holder(gang)
  start_full_fleet(2000)
  submit_asked(3, 4, true)
  run(100)
  submit_asked(4, 1, gang)
  watch_standing()
  run(30000)
  local _, _, longest, longest_id = standing("any")
  expect(task(id(4), 0, 0) > 0 and longest < 3000, "job " .. longest_id
         .. " could run for " .. longest .. " ms and was not run")
end

scenario("a step is asked about although a gang that lacks room holds the rest",
  function() play_behind_holder(false) end)

scenario("a gang is asked about although a wider one that lacks room holds the "
         .. "rest", function() play_behind_holder(true) end)

-- Submits job 4, which needs no advice, after a more urgent gang that holds room.
local function play_below_holder(gang)
  CONFIG = CONFIG:gsub("queue quick",
                       "queue soon 1 3 2 90000 310 4.4 2000\n"
                       .. "queue plain 1 3 2 90000 0 0\nqueue quick")
  start_full_fleet(2000)
  submit_asked(3, 4, true, 500, "soon")
  run(100)
  job{id = id(4), queue = "plain",
      steps = {{tasks = 1, gang = gang, ms = 500, estimate = 30000}}}
  submit(0, id(4))
  watch_standing()
  run(30000)
  local _, _, longest, longest_id = standing("any")
  expect(task(id(4), 0, 0) > 0 and longest < 3000, "job " .. longest_id
         .. " could run for " .. longest .. " ms and was not run")
end

scenario("a step that needs no advice starts although a more urgent gang that "
         .. "lacks room holds the rest", function() play_below_holder(false) end)

scenario("a gang that needs no advice starts although a more urgent one that "
         .. "lacks room holds the rest", function() play_below_holder(true) end)

-- Three tasks of job 4 have tickets; one of them runs.
scenario("tasks with tickets take the room of their rank though others run",
  function()
  CONFIG = CONFIG:gsub("310 4.4", "310 4.4 60000")
  start_fleet{instances = 4, execs = 4, cores = 4, ticket_ms = 60000}
  job{id = id(1), steps = {{tasks = 12, cpu = 975, ms = 90000}}}
  job{id = id(2), steps = {{tasks = 3, cpu = 975, ms = 28000}}}
  submit(0, id(1))
  submit(0, id(2))
  run(1000)
  submit_asked(4, 3, false, 90000, "wide", 3000)
  run(1000)
  expect(running() == 16, running() .. " tasks run")
  submit_asked(3, 4, true)
  run(36000)
  expect(running() > 13, "two tasks with tickets wait beside three free cores")
end)

-- The small gangs are due a minute after the wide one.
scenario("small gangs that are due later do not keep a wide gang waiting",
  function()
  CONFIG = CONFIG:gsub("queue quick",
                       "queue soon 1 3 2 30000 310 4.4 2000\n"
                       .. "queue calm 1 3 2 90000 310 4.4 2000\nqueue quick")
  start_fleet{instances = 16, execs = 8, cores = 4, ticket_ms = 2000}
  local n = 100
  local function stream(for_ms)
    for _ = 1, for_ms / 1200 do
      n = n + 1
      submit_asked(n, 2, true, 18000 + math.floor(4000 * random()), "calm")
      run(1200)
    end
  end
  stream(48000)
  submit_asked(1, 8, true, 3000, "soon")
  for _ = 1, 25 do
    if task(id(1), 0, 0) == 0 then stream(1200) end
  end
  expect(task(id(1), 0, 0) > 0, "the gang has not started after 30 s")
end)
