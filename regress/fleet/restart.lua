dofile("regress/fleet/lib.lua")

-- Starts a fleet of two executors of which only number 0 is listed.
local function start_pair()
  start_fleet{execs = 2}
  exec(1, "listed", 0)
  run(3000)
end

-- Submits job n of one task that runs for ms.
local function submit_job(n, ms)
  job{id = id(n), steps = {{tasks = 1, ms = ms}}}
  submit(n % 3, id(n))
end

-- Restarts executor 0 under its id; its clock begins at clock_ms.  Its entry in
-- the discovery list, if stale, still shows the boot before.
local function restart(clock_ms, stale)
  exec(0, "entry-frozen", stale)
  exec(0, "boot-clock", clock_ms)
  exec(0, "reboot")
end

for _, clock_ms in ipairs{1, 2000000} do
  for _, stale in ipairs{0, 1} do
    local variant = ", clock " .. clock_ms .. ", stale entry " .. stale
    scenario("a run that the next boot began is not started again by the next "
             .. "leader" .. variant, function()
      start_pair()
      restart(clock_ms, stale)
      exec(0, "dead-connections", 1)
      submit_job(1, 9000)
      run(400)
      kill_leader()
      exec(0, "partition", 5000)
      exec(0, "entry-frozen", 0)
      exec(1, "listed", 1)
      run(20000)
      expect(state(leader(), id(1)) == "completed", "the job is not completed")
    end)
  end
end

for _, clock_ms in ipairs{1, 2000000} do
  scenario("a run that the next boot began with a longer lease is not started "
           .. "elsewhere before that ends, clock " .. clock_ms, function()
    start_fleet{execs = 2, lease_max_ms = 10000}
    exec(1, "listed", 0)
    run(3000)
    restart(clock_ms, 1)
    submit_job(1, 15000)
    run(1000)
    exec(0, "partition", 12000)
    exec(1, "listed", 1)
    run(40000)
    expect(state(0, id(1)) == "completed", "the job is not completed")
  end)
end

scenario("an unanswered start is not given up before the longest lease that the "
         .. "next boot may have granted it", function()
  start_fleet{execs = 2, lease_max_ms = 10000}
  exec(1, "listed", 0)
  run(3000)
  restart(1, 1)
  exec(0, "lose-start", 0)
  submit_job(1, 15000)
  run(100)
  exec(0, "lose-start", -1)
  exec(0, "partition", 12000)
  exec(1, "listed", 1)
  run(40000)
  expect(state(0, id(1)) == "completed", "the job is not completed")
end)

for _, cut_after_ms in ipairs{0, 2000} do
  scenario("a run that the next boot began with a longer lease is not started "
           .. "by the next leader before that ends, cut after " .. cut_after_ms,
           function()
    start_fleet{execs = 2, lease_max_ms = 10000}
    exec(1, "listed", 0)
    run(3000)
    restart(1, 1)
    submit_job(1, 15000)
    run(300)
    kill_leader()
    run(cut_after_ms)
    exec(0, "partition", 14000)
    exec(1, "listed", 1)
    run(50000)
    expect(state(leader(), id(1)) == "completed", "the job is not completed")
  end)
end

for _, stale in ipairs{0, 1} do
  scenario("a start that was meant for the boot before is refused, stale entry "
           .. stale, function()
    start_pair()
    exec(0, "late-start", 0)
    submit_job(1, 12000)
    run(100)
    exec(0, "late-start", -1)
    run(700)
    restart(1, stale)
    run(1000)
    exec(0, "entry-frozen", 0)
    run(15000)
    expect(state(0, id(1)) == "completed", "the job is not completed")
  end)
end

scenario("polls that are not answered forget no ends of the next boot",
  function()
  start_pair()
  for n = 1, 8 do
    submit_job(n, 300)
    run(100)
  end
  run(1000)
  restart(1, 1)
  exec(0, "lose-results", 1)
  submit_job(20, 300)
  run(3500)
  exec(0, "lose-results", 0)
  exec(0, "entry-frozen", 0)
  run(8000)
  expect(state(0, id(20)) == "completed", "the job is not completed")
end)

scenario("a leader that was paused sends no start after its term", function()
  start_pair()
  local l = the_leader()
  submit_job(1, 9000)
  run(12)
  instance(l, "freeze", 4000)
  exec(0, "listed", 0)
  exec(1, "listed", 1)
  run(3990)
  restart(1, 1)
  run(20000)
  expect(state((l + 1) % 3, id(1)) == "completed", "the job is not completed")
end)

scenario("an earlier run that a list shows is not started again by the next "
         .. "leader", function()
  start_pair()
  exec(0, "late-start", 0)
  submit_job(1, 15000)
  run(300)
  exec(0, "listed", 0)
  run(3700)
  exec(0, "late-start", -1)
  exec(1, "listed", 1)
  run(800)
  exec(1, "listed", 0)
  exec(1, "reboot")
  exec(0, "boot-clock", 1)
  exec(0, "reboot")
  run(5000)
  exec(0, "listed", 1)
  run(300)
  exec(0, "listed", 0)
  run(200)
  kill_leader()
  exec(0, "partition", 5000)
  exec(1, "listed", 1)
  run(30000)
  expect(state(leader(), id(1)) == "completed", "the job is not completed")
end)
