dofile("regress/fleet/lib.lua")

local EXECS = 12

-- Return: whether executor e is in failure domain zone; see fsim_zone().
local function is_in(zone, e) return e % 10 % 3 == zone end

-- Return: number of tasks that run on the executors of a failure domain.
local function running_in(zone)
  local n = 0
  for e = 0, EXECS - 1 do
    if is_in(zone, e) then n = n + running(e) end
  end
  return n
end

-- Return: index of an instance that is not the leader.
local function follower() return (the_leader() + 1) % 4 end

-- Submits jobs of two tasks and of gangs of four for the given time, one job
-- every 50 ms.  Return: number of the next job.
local function submit_mixed(first, for_ms)
  local n = first
  for _ = 1, for_ms / 50 do
    job{id = id(n), steps = {{tasks = n % 4 == 0 and 4 or 2, cpu = 2000,
                              ms = 700, gang = n % 4 == 0}}}
    submit(n % 4, id(n))
    n = n + 1
    run(50)
  end
  return n
end

local function start_domains(options)
  options = options or {}
  options.instances, options.execs, options.cores = 4, EXECS, 16
  options.evacuate_ms = options.evacuate_ms or 5000
  start_fleet(options)
  run(1000)
end

local function expect_completed(from, to)
  for n = from, to do
    expect(state(follower(), id(n)) == "completed", "job " .. n)
  end
end

scenario("nothing is started in an evacuated domain until it is taken back",
         function()
  start_domains()
  local n = submit_mixed(1, 2000)
  expect(running_in(1) > 0, "the domain is in use before")
  evacuate(1, true)
  n = submit_mixed(n, 9000)
  expect(running_in(1) == 0, "tasks run 9 s after the evacuation")
  evacuate(1, false)
  n = submit_mixed(n, 3000)
  expect(running_in(1) > 0, "the domain that was taken back gets no tasks")
  run(3000)
  expect_completed(1, n - 1)
end)

scenario("what runs in an evacuated domain goes on to its end", function()
  start_domains()
  job{id = id(1), steps = {{tasks = 30, cpu = 4000, ms = 8000}}}
  submit(0, id(1))
  run(1500)
  local before = running_in(1)
  expect(before > 0, "no task runs in the domain")
  evacuate(1, true)
  run(4000)
  expect(running_in(1) == before, "runs were stopped")
  run(8000)
  expect_completed(1, 1)
end)

for _, when_ms in ipairs{0, 300, 2500} do
  scenario("the next leader starts nothing in an evacuated domain, leader lost "
           .. when_ms .. " ms after", function()
    start_domains()
    local n = submit_mixed(1, 1500)
    evacuate(2, true)
    run(when_ms)
    local old = kill_leader()
    n = submit_mixed(n, 10000)
    expect(running_in(2) == 0, "tasks run after the change of the leader")
    instance(old, "start")
    n = submit_mixed(n, 1000)
    run(4000)
    expect_completed(n - 10, n - 1)
  end)
end

scenario("an evacuation is known in spite of a slow table", function()
  start_domains()
  local n = submit_mixed(1, 1500)
  store("slow", 26)
  evacuate(0, true)
  n = submit_mixed(n, 9000)
  store("slow", 1)
  submit_mixed(n, 1000)
  expect(running_in(0) == 0, "tasks run 10 s after the evacuation")
end)

scenario("a leader that does not reach the table learns of it from a peer",
         function()
  start_domains()
  local n = submit_mixed(1, 1500)
  instance(the_leader(), "partition-store", 12000)
  run(1000)
  evacuate(0, true)
  submit_mixed(n, 9000)
  expect(running_in(0) == 0, "tasks run 9 s after the evacuation")
  expect(running_in(1) > 0, "nothing runs in the other domains")
end)

-- Submits jobs to instance i for the given time, one every 50 ms.
local function submit_to(i, first, for_ms)
  for n = first, first + for_ms / 50 - 1 do
    job{id = id(n), steps = {{tasks = 2, cpu = 2000, ms = 700}}}
    submit(i, id(n))
    run(50)
  end
end

scenario("a leader whose new listing gets no answers learns of it from a peer",
         function()
  start_domains()
  local old = the_leader()
  local n = submit_mixed(1, 1500)
  instance(old, "silence-conf", 60000)
  evacuate(2, false) -- a change, so that the feed is behind the compaction
  store("compact")
  run(1500)
  evacuate(1, true)
  submit_to((old + 1) % 4, n, 10000)
  expect(running_in(1) == 0, "tasks run 10 s after the evacuation")
end)

for _, restarts in ipairs{false, true} do
  scenario("an instance whose feed is silent is elected after an evacuation"
           .. (restarts and ", restarted" or ""), function()
    start_domains()
    local n = submit_mixed(1, 1500)
    local old = the_leader()
    local next_leader = (old + 1) % 4
    if restarts then instance(next_leader, "kill") end
    instance(next_leader, "silence-conf", 60000)
    if restarts then instance(next_leader, "start") end
    run(1500)
    evacuate(1, true)
    run(6000)
    for k = n, n + 59 do
      job{id = id(k), steps = {{tasks = 4, cpu = 4000, ms = 3000}}}
      submit(old, id(k))
    end
    run(500)
    -- No other instance can be elected.
    for i = 0, 3 do
      if i ~= next_leader and i ~= old then
        instance(i, "partition-store", 60000)
      end
    end
    run(100)
    instance(old, "kill")
    for _ = 1, 12000 do
      if leader() == next_leader then break end
      run(1)
    end
    for i = 0, 3 do
      if i ~= next_leader then instance(i, "partition-store", 0) end
    end
    expect(leader() == next_leader, "another instance leads")
    submit_to(next_leader, n + 60, 8000)
    expect(running_in(1) == 0, "tasks run in the evacuated domain")
  end)
end

scenario("a domain taken back while the feed's history is lost gets tasks",
         function()
  start_domains()
  local n = submit_mixed(1, 1500)
  evacuate(1, true)
  run(2000)
  store("down", 1500)
  run(500)
  evacuate(1, false)
  store("compact")
  run(2500)
  n = submit_mixed(n, 3000)
  expect(running_in(1) > 0, "the domain that was taken back gets no tasks")
end)

scenario("an evacuated domain whose starts are not answered gets them no more",
         function()
  start_domains{evacuate_ms = 300}
  local n = submit_mixed(1, 1000)
  for e = 0, EXECS - 1 do
    if is_in(1, e) then exec(e, "lose-results", 0.7) end
  end
  n = submit_mixed(n, 500)
  evacuate(1, true)
  submit_mixed(n, 9000)
  expect(running_in(1) == 0, "tasks run 9 s after the evacuation")
end)

scenario("a start that did not arrive is not sent again to an evacuated domain",
         function()
  start_domains{evacuate_ms = 300}
  for e = 0, EXECS - 1 do
    if is_in(1, e) then exec(e, "drop-start", 0) end
  end
  for n = 1, 20 do
    job{id = id(n), steps = {{tasks = 1, cpu = 6000, ms = 700}}}
    submit(n % 4, id(n))
  end
  run(150)
  evacuate(1, true)
  run(150)
  for e = 0, EXECS - 1 do exec(e, "drop-start", -1) end
  run(9000)
  expect_completed(1, 20)
end)

scenario("all domains evacuated: jobs wait and run when one is taken back",
         function()
  start_domains()
  for zone = 0, 2 do evacuate(zone, true) end
  run(1000)
  local n = submit_mixed(1, 6000)
  for zone = 0, 2 do
    expect(running_in(zone) == 0, "tasks run in domain " .. zone)
  end
  evacuate(0, false)
  run(9000)
  expect_completed(1, n - 1)
end)
