dofile("regress/fleet/lib.lua")

local function some_jobs(first, count, steps)
  for n = first, first + count - 1 do
    job{id = id(n), steps = steps or {{tasks = 3, ms = 2500, cpu = 2000}}}
    submit(n % 3, id(n))
  end
end

local function all_completed(first, last, ask_at)
  for n = first, last do
    local s = state(ask_at, id(n))
    expect(s == "completed", "job " .. n .. " is " .. s)
  end
end

local function follower(l) return (l + 1) % 3 end

scenario("work goes on when the leader is killed", function()
  begin{}
  some_jobs(1, 8)
  run(1000)
  local l = leader()
  instance(l, "kill")
  run(3000)
  expect(leader() >= 0 and leader() ~= l, "a successor leads within 3 s")
  run(4000)
  all_completed(1, 8, follower(l))
  for n = 1, 8 do
    for t = 0, 2 do expect(task(id(n), 0, t) == 1, "nothing started again") end
  end
end)

scenario("a frozen leader that wakes starts nothing", function()
  begin{}
  some_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "freeze", 5000)
  some_jobs(20, 6)
  run(9000)
  all_completed(1, 6, follower(l))
end)

scenario("a leader cut from the table goes on through another", function()
  begin{}
  some_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "cut-store", 8000)
  run(2000)
  for n = 20, 25 do
    job{id = id(n), steps = {{tasks = 2}}}
    submit(n % 3, id(n))
  end
  run(3500)
  expect(leader() == l, "it still leads")
  all_completed(1, 6, follower(l))
  all_completed(20, 25, follower(l))
  run(5000)
  expect(leader() == l, "and after the cut")
end)

scenario("a leader turned away by the table goes on through another",
  function()
  begin{}
  run(600)
  local l = leader()
  instance(l, "turn-away", 6000)
  run(200)
  some_jobs(1, 6, {{tasks = 2, ms = 500}})
  run(1500)
  expect(leader() == l, "it still leads")
  all_completed(1, 6, follower(l))
end)

scenario("a leader cut from the table and from all others makes way",
  function()
  begin{}
  some_jobs(1, 6)
  run(600)
  local l = leader()
  instance(l, "cut-store", 8000)
  instance(l, "cut", 8000)
  run(3000)
  local next = leader()
  expect(next >= 0 and next ~= l, "a successor leads")
  for n = 20, 25 do
    job{id = id(n), steps = {{tasks = 2}}}
    submit(next, id(n))
  end
  run(8000)
  all_completed(1, 6, next)
  all_completed(20, 25, next)
end)

scenario("a stop hands the lead over at once", function()
  begin{}
  some_jobs(1, 4)
  run(600)
  local l = leader()
  instance(l, "stop")
  run(700)
  expect(leader() >= 0 and leader() ~= l, "within 0.7 s")
  run(4500)
  all_completed(1, 4, follower(l))
end)

scenario("all instances at once: nothing is lost, nothing twice", function()
  begin{}
  some_jobs(1, 10)
  run(800)
  for i = 0, 2 do instance(i, "kill") end
  run(1500)
  for i = 0, 2 do instance(i, "start") end
  run(12000)
  all_completed(1, 10, 1)
end)

scenario("an executor that nobody hears is waited out before work is moved",
         function()
  begin{execs = 4}
  some_jobs(1, 8)
  run(700)
  local l = leader()
  exec(0, "cut", 20000)
  instance(l, "kill")
  run(16000)
  all_completed(1, 8, follower(l))
end)

scenario("failures told out of order are each counted once", function()
  begin{execs = 3, cores = 1}
  for i = 0, 2 do exec(i, "fails", 1) end
  job{id = id(1), attempts = 3, steps = {{tasks = 1}}}
  submit(0, id(1))
  run(60)
  store("down", 3000)
  run(2500)
  instance(leader() >= 0 and leader() or 0, "kill")
  run(9000)
  expect(state(1, id(1)) == "failed" or state(2, id(1)) == "failed", "failed")
end)

scenario("an executor that is lost for good frees its work", function()
  begin{execs = 4}
  some_jobs(1, 6)
  run(500)
  exec(0, "crash")
  run(10500)
  all_completed(1, 6, leader())
end)

-- Only what may be running on a silent executor waits for its lease.
scenario("an executor lost with the leader holds up its own tasks alone",
  function()
  begin{}
  job{id = id(1), steps = {{tasks = 30, ms = 2000, cpu = 4000}}}
  submit(0, id(1))
  run(1000)
  some_jobs(2, 6, {{tasks = 2, ms = 1000, cpu = 4000}})
  run(300)
  local l = leader()
  exec(0, "crash")
  instance(l, "kill")
  run(5500)
  local done = 0
  for n = 2, 7 do
    if state(follower(l), id(n)) == "completed" then done = done + 1 end
  end
  expect(done >= 5, done .. " of 6 jobs that had not begun are completed")
  run(9000)
  all_completed(1, 7, follower(l))
end)

scenario("writes that are carried out seconds late do not cost the lead",
  function()
  begin{}
  local l = leader()
  store("late", 0.3)
  run(12000)
  expect(leader() == l, "still the same leader")
  store("late", 0)
  run(7000)
  some_jobs(1, 4)
  run(4000)
  all_completed(1, 4, follower(l))
end)

scenario("a slow table does not cost the lead", function()
  begin{}
  local l = leader()
  store("slow", 50)
  run(10000)
  expect(leader() == l, "still the same leader")
  store("slow", 1)
  some_jobs(1, 4)
  run(4000)
  all_completed(1, 4, follower(l))
end)
