dofile("regress/fleet/lib.lua")

-- Starts a fleet of two executors of which only number 0 is listed.
local function start_pair()
  start_fleet{execs = 2}
  exec(1, "listed", 0)
  run(3000)
end

-- Submits job n of one task, or of a gang of one, that runs for ms.
local function submit_job(n, ms, gang)
  job{id = id(n), steps = {{tasks = 1, ms = ms, gang = gang}}}
  submit(n % 3, id(n))
end

-- Restarts executor 0 again and again for ms, so that orders of the leader
-- reach few of its boots.
local function restart_in_series(ms, clock_ms)
  exec(0, "entry-frozen", 1)
  exec(0, "boot-clock", clock_ms)
  for _ = 1, ms / 80 do
    exec(0, "reboot")
    exec(0, "dead-connections", 100)
    run(80)
  end
  exec(0, "dead-connections", 0)
  exec(0, "entry-frozen", 0)
end

scenario("a late poll forgets no ends of the next boot that no list has shown",
  function()
  start_pair()
  for n = 1, 8 do
    submit_job(n, 300)
    run(100)
  end
  run(1000)
  submit_job(9, 300)
  run(280)
  exec(0, "late-polls", 2500)
  run(200)
  exec(0, "entry-frozen", 1)
  exec(0, "boot-clock", 1)
  exec(0, "reboot")
  exec(0, "lose-results", 1)
  submit_job(20, 300)
  run(2500)
  exec(0, "late-polls", 0)
  exec(0, "lose-results", 0)
  exec(0, "entry-frozen", 0)
  run(15000)
  expect(state(0, id(20)) == "completed", "the job is not completed")
end)

scenario("ends of a next boot whose clock goes on are not forgotten unseen",
  function()
  start_pair()
  for n = 1, 8 do
    submit_job(n, 300)
    run(100)
  end
  run(1000)
  submit_job(9, 300)
  run(280)
  exec(0, "late-polls", 60000)
  run(200)
  exec(0, "entry-frozen", 1)
  exec(0, "boot-clock", now())
  exec(0, "reboot")
  submit_job(20, 300)
  run(1400)
  exec(0, "late-polls", 0)
  run(3000)
  exec(0, "entry-frozen", 0)
  run(10000)
  expect(state(0, id(20)) == "completed", "the job is not completed")
end)

-- The first leader ends the run, but is lost before it acknowledges the end.
for _, kill_after_ms in ipairs{200, 800, 1400} do
  scenario("the next leader acknowledges no end while a copy of the start may "
           .. "be carried out, lost after " .. kill_after_ms, function()
    start_pair()
    exec(0, "late-start", 0)
    submit_job(1, 300)
    run(200)
    exec(0, "late-start", -1)
    run(kill_after_ms)
    kill_leader()
    run(3000)
    restart_in_series(9000, 1)
    run(10000)
    expect(state(leader(), id(1)) == "completed", "the job is not completed")
  end)
end

scenario("the next leader does not acknowledge the end of another run of the "
         .. "task", function()
  start_pair()
  exec(0, "late-start", 0)
  submit_job(1, 300)
  run(250)
  exec(0, "late-start", -1)
  exec(1, "listed", 1)
  exec(0, "boot-clock", 1)
  exec(0, "reboot")
  run(900)
  kill_leader()
  run(2500)
  restart_in_series(9000, 1)
  run(10000)
  expect(state(leader(), id(1)) == "completed", "the job is not completed")
end)

scenario("a start is sent again only once its first copy is recorded", function()
  start_pair()
  exec(0, "late-start", 0)
  submit_job(1, 300)
  run(400)
  local l = the_leader()
  instance(l, "partition-store", 3000)
  run(105)
  exec(0, "late-start", -1)
  run(200)
  instance(l, "kill")
  run(3500)
  restart_in_series(8000, 1)
  run(10000)
  expect(state(leader(), id(1)) == "completed", "the job is not completed")
end)

scenario("the record of an old copy holds back no acknowledgements", function()
  start_pair()
  exec(0, "late-start", 0)
  submit_job(1, 300)
  run(1200)
  exec(0, "late-start", -1)
  run(60000)
  kill_leader()
  run(9000)
  submit_job(2, 300)
  run(4000)
  local _, _, acknowledged = task(id(2), 0, 0)
  expect(acknowledged, "the end is not acknowledged")
end)

scenario("the list of ends does not fill up while a copy may be carried out",
  function()
  start_pair()
  exec(0, "late-start", 0)
  submit_job(1, 300)
  run(1200)
  exec(0, "late-start", -1)
  for n = 10, 169 do
    if n == 70 then exec(1, "listed", 1) end
    job{id = id(n), steps = {{tasks = 10, ms = 50, cpu = 100, mem = 10}}}
    submit(n % 3, id(n))
    run(25)
  end
  run(2000)
  local calls = {}
  for n = 10, 169 do calls[n] = request(0, id(n)) end
  run(400)
  for n = 10, 169 do
    local _, body = answer(calls[n])
    expect(body == "completed", "job " .. n .. " is " .. tostring(body))
  end
end)

scenario("ends are acknowledged soon although answers to starts are lost",
  function()
  start_pair()
  exec(0, "lose-start", 0)
  submit_job(1, 300)
  run(1500)
  exec(0, "lose-start", -1)
  local _, _, acknowledged = task(id(1), 0, 0)
  expect(acknowledged, "the end is not acknowledged")
end)

for _, clock_ms in ipairs{1, 2000000} do
  scenario("a late copy of a start that was answered is no run after an "
           .. "acknowledged end, clock " .. clock_ms, function()
    start_pair()
    exec(0, "late-start", 0)
    submit_job(1, 300)
    run(200)
    exec(0, "late-start", -1)
    run(1400)
    restart_in_series(11000, clock_ms)
    run(10000)
    expect(state(0, id(1)) == "completed", "the job is not completed")
  end)

  for _, gang in ipairs{false, true} do
    scenario("a task is not started elsewhere while a copy of its start may be "
             .. "carried out, clock " .. clock_ms .. ", gang " .. tostring(gang),
             function()
      start_pair()
      exec(0, "late-start", 0)
      submit_job(1, 14000, gang)
      run(1900)
      exec(0, "late-start", -1)
      exec(1, "listed", 1)
      run(100)
      restart_in_series(10500, clock_ms)
      run(40000)
      expect(state(0, id(1)) == "completed", "the job is not completed")
    end)
  end
end
