dofile("regress/fleet/lib.lua")

-- Submits job n to instance i.  Return: the number of the request.
local function submit_long(i, n)
  job{id = id(n), steps = {{tasks = 2, ms = 8000}}}
  return submit(i, id(n))
end

-- Cancels job n at instance i.  Return: the HTTP status, 400 ms later.
local function cancel(i, n)
  local c = request(i, id(n), "cancel")
  run(400)
  local status = answer(c)
  return status
end

local function expect_never_started(n)
  expect(task(id(n)) == 0, "job " .. n .. " was started")
  expect(state(1, id(n)) == "410", "job " .. n .. " is shown")
end

scenario("a cancelled job does not run though the table writes it late",
  function()
  start_fleet{}
  store("delay-writes", 1)
  local c = submit_long(0, 1)
  run(100)
  store("delay-writes", 0)
  instance(0, "kill")
  expect(cancel(1, 1) == 410, "cancellation of an unknown job")
  run(9000)
  expect_never_started(1)
end)

scenario("a cancelled job does not run though its instance repeats the write",
  function()
  start_fleet{}
  store("delay-writes", 1)
  local c = submit_long(0, 1)
  run(100)
  store("delay-writes", 0)
  expect(cancel(1, 1) == 410, "cancellation of an unknown job")
  run(9000)
  expect(answer(c) == 410, "the submission is answered " .. answer(c))
  expect_never_started(1)
end)

scenario("a cancelled job does not run though it is submitted once more",
  function()
  start_fleet{}
  store("delay-writes", 1)
  submit_long(0, 1)
  run(100)
  instance(2, "freeze", 15000)
  local c = submit(2, id(1))
  store("delay-writes", 0)
  expect(cancel(1, 1) == 410, "cancellation of an unknown job")
  run(20000)
  expect(answer(c) == 410 or answer(c) == 503,
         "the submission is answered " .. answer(c))
  expect_never_started(1)
end)

scenario("a cancelled job does not run though its instance goes on later",
  function()
  start_fleet{}
  local i = (leader() + 1) % 3
  store("delay-writes", 1)
  submit_long(i, 1)
  run(100)
  store("delay-writes", 0)
  instance(i, "freeze", 10000)
  expect(cancel((i + 1) % 3, 1) == 410, "cancellation of an unknown job")
  run(20000)
  expect_never_started(1)
end)

scenario("a cancelled job does not run though a peer writes it", function()
  start_fleet{}
  local i = (leader() + 1) % 3
  instance(i, "refuse-store", 12000)
  run(2200)
  store("delay-writes", 1)
  submit_long(i, 1)
  run(100)
  store("delay-writes", 0)
  expect(cancel(i, 1) == 410, "cancellation of an unknown job")
  run(9000)
  expect(proxied() > 0, "no call through another instance")
  expect_never_started(1)
end)

scenario("a job is cancelled whether its submission comes before or after",
  function()
  start_fleet{instances = 5}
  local calls = {}
  for n = 1, 60 do
    submit_long(n % 5, n)
    run(n % 7)
    calls[n] = request((n + 2) % 5, id(n), "cancel")
    run(40)
  end
  run(3500)
  for n = 1, 60 do
    local status = answer(calls[n])
    expect(status == 200 or status == 410, "cancellation is answered " .. status)
    local s = state(1, id(n))
    expect(s == (status == 200 and "cancelled" or "410"), "job is " .. s)
  end
  expect(running() == 0, running() .. " tasks are running")
end)

scenario("a cancellation is not answered 410 while it cannot be recorded",
  function()
  start_fleet{}
  store("down", 4000)
  run(50)
  local c = request(1, id(1), "cancel")
  run(3500)
  expect(answer(c) == 503, "the table is down: " .. answer(c))
  run(4000)
  store("delay-writes", 1)
  local d = request(1, id(2), "cancel")
  for _ = 1, 350 do
    run(10)
    if answer(d) ~= 0 then break end
  end
  expect(answer(d) == 504 or answer(d) == 410 and withdrawals() == 1,
         "answer " .. answer(d) .. " with " .. withdrawals() .. " recorded")
  run(7000)
  store("delay-writes", 0)
  store("lose-replies", 1)
  local e = request(1, id(3), "cancel")
  run(3500)
  expect(answer(e) == 410, "the write has taken effect: " .. answer(e))
end)

scenario("a job may be submitted again once its withdrawal is removed",
  function()
  start_fleet{}
  expect(cancel(1, 1) == 410, "cancellation of an unknown job")
  expect(withdrawals() == 1, "no withdrawal is recorded")
  local c = submit_long(0, 1)
  run(300)
  expect(answer(c) == 410, "the submission is answered " .. answer(c))
  run(80000)
  expect(withdrawals() == 0, "the withdrawal stands")
  local d = submit(0, id(1))
  run(300)
  expect(answer(d) == 200, "the next submission is answered " .. answer(d))
  run(9000)
  expect(state(1, id(1)) == "completed", "the job is not completed")
end)

-- The age of a withdrawal counts on the table's clock, so that a new leader
-- does not begin anew.
scenario("withdrawals are removed though leaders change and instances are lost",
  function()
  start_fleet{}
  for n = 1, 100 do request(n % 3, id(n), "cancel") run(60) end
  run(1000)
  expect(withdrawals() == 100, withdrawals() .. " of 100 are recorded")
  run(30000)
  for i = 0, 2 do instance(i, "kill") end
  run(3000)
  for i = 0, 2 do instance(i, "start") end
  run(20000)
  expect(withdrawals() == 100, withdrawals() .. " of 100 stand after 55 s")
  kill_leader()
  run(25000)
  store("lose-replies", 0.5)
  run(10000)
  store("compact")
  run(10000)
  expect(withdrawals() == 0, withdrawals() .. " of 100 are left")
end)

scenario("cancellations at random ids do not take the writes of others",
  function()
  start_fleet{}
  store("part-write-ms", 3)
  local cancels, calls = {}, {}
  for n = 1, 3000 do
    cancels[n] = request(n % 3, string.format("%016x", n * 2654435761), "cancel")
    if n % 10 == 0 then
      job{id = id(n), steps = {{tasks = 1, ms = 100}}}
      calls[#calls + 1] = submit(n % 3, id(n))
    end
    run(2)
  end
  run(3000)
  local counts = {}
  for _, c in ipairs(cancels) do
    local status = answer(c)
    counts[status] = (counts[status] or 0) + 1
  end
  expect((counts[410] or 0) + (counts[429] or 0) == 3000,
         "other answers than 410 and 429")
  expect(counts[410] == withdrawals(),
         counts[410] .. " answers, " .. withdrawals() .. " withdrawals")
  -- A tenth of 500 writes a second for 16 s, 10 s of which are the burst.
  expect(counts[410] <= 900, counts[410] .. " withdrawals in 6 s")
  for i, c in ipairs(calls) do
    expect(answer(c) == 200, "job " .. i .. " is answered " .. answer(c))
  end
  run(90000)
  expect(withdrawals() == 0, withdrawals() .. " withdrawals are left")
end)

-- The first withdrawal is about to be removed when the job is cancelled again.
scenario("a job that is cancelled once more does not run either", function()
  start_fleet{}
  expect(cancel(1, 1) == 410, "cancellation of an unknown job")
  run(57000)
  store("delay-writes", 1)
  submit_long(0, 1)
  run(100)
  store("delay-writes", 0)
  instance(0, "kill")
  expect(cancel(1, 1) == 410, "the second cancellation")
  run(30000)
  expect_never_started(1)
  expect(withdrawals() == 1, "the withdrawal does not stand")
end)

-- The submission waits in a stopped instance until the withdrawal is removed.
scenario("a cancelled job does not run though its instance stops for long",
  function()
  start_fleet{}
  local i = (leader() + 1) % 3
  instance(i, "freeze", 100000)
  run(100)
  local c = submit_long(i, 1)
  run(100)
  expect(cancel((i + 1) % 3, 1) == 410, "cancellation of an unknown job")
  run(90000)
  expect(withdrawals() == 0, "the withdrawal stands")
  run(20000)
  expect(answer(c) == 503, "the submission is answered " .. answer(c))
  expect_never_started(1)
  local d = submit(i, id(1))
  run(300)
  expect(answer(d) == 200, "the next submission is answered " .. answer(d))
end)

scenario("a job that was recorded late is cancelled, not shown as unknown",
  function()
  start_fleet{}
  store("lose-replies", 1)
  submit_long(0, 1)
  run(100)
  store("lose-replies", 0)
  expect(cancel(1, 1) == 200, "the job is recorded")
  run(3500)
  expect(running() == 0, running() .. " tasks are running")
  expect(state(2, id(1)) == "cancelled", "job is " .. state(2, id(1)))
end)
