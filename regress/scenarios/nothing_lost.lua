-- And: every accepted task ends in a truthful final state (nothing is lost).
scenario("all instances of a domain die at once", function()
  begin{domains = {"a", "b"}, entries = 2}
  for i = 1, 30 do
    task{at = entries[i % 4 + 1], team = "red", id = "d" .. i, ms = 3000,
         queue = i % 3 == 0 and "once" or "batch"}
  end
  run(800)
  kill("a1")
  kill("a2")
  run(20000)
  settle(300000)
end)

scenario("a wave of cancellations", function()
  begin{entries = 2}
  local calls = {}
  for i = 1, 1500 do calls[i] = task{at = entries[i % 2 + 1], team = "red", id = "c" .. i, ms = 60000} end
  run(3000)
  for i = 1, 1500 do
    if answer(calls[i]).status == 202 then cancel(entries[i % 2 + 1], answer(calls[i]).id) end
  end
  run(5000)
  local n = 0
  for i = 1, 1500, 50 do
    if state_of(answer(calls[i]).id) == "cancelled" then n = n + 1 end
  end
  expect(n == 30, "all are cancelled, of 30 asked " .. n)
end)

scenario("a job that can never fit, one that fails everywhere", function()
  begin{}
  local huge = task{at = "a1", team = "red", id = "huge", cores = 400}
  local bad = task{at = "a1", team = "red", id = "fail-everywhere", ms = 200}
  local over = task{at = "a1", team = "red", id = "over", cores = 5000}
  run(1000)
  expect(answer(over).error == "never-fits", "over the team's limit: refused at once")
  run(200000)
  expect(state_of(answer(huge).id) == "failed", "told that it never fits")
  expect(state_of(answer(bad).id) == "failed", "told that it fails everywhere")
  expect(starts("red:fail-everywhere") <= 3, "not tried for ever")
end)

scenario("a worker that fails everything does not draw all work", function()
  begin{workers = 3}
  server("a-w1", {fail_all = true})
  local calls = {}
  for i = 1, 60 do
    calls[i] = task{at = "a1", team = "red", id = "h" .. i, cores = 4, ms = 500}
    run(100)
  end
  run(20000)
  local done = 0
  for i = 1, 60 do
    if state_of(answer(calls[i]).id) == "done" then done = done + 1 end
  end
  expect(done == 60, "all end well, " .. done .. " of 60")
end)

scenario("ten minutes without the table: what needs no record is served", function()
  begin{domains = {"a"}, entries = 3, executors = 1}
  local h = holder("a")
  for i = 1, 6 do task{at = "a1", team = "red", id = "long" .. i, ms = 400000, queue = "once"} end
  run(3000)
  store("hangs")
  run(8000)
  local served, asked = 0, 0
  for _ = 1, 600 do
    local c = service{at = entries[random(3)], team = "red", id = "o" .. now(), queue = "desk"}
    run(1000)
    asked = asked + 1
    if answer(c).status == 200 then served = served + 1 end
  end
  expect(served >= asked * 0.99, served .. " of " .. asked .. " served")
  store("up")
  run(5000)
  expect(holder("a") == h, "the holder stayed")
  settle(600000)
end)

scenario("no table, and the holder dies: nobody claims by memory", function()
  begin{domains = {"a"}, entries = 3}
  local h = holder("a")
  for i = 1, 6 do task{at = "a1", team = "red", id = "x" .. i, ms = 30000} end
  run(3000)
  store("hangs")
  run(8000)
  kill(h)
  run(30000)
  expect(not holder("a"), "no holder without the table")
  store("up")
  within(15000, "a holder", function() return holder("a") end)
  settle(300000)
end)

scenario("a fresh instance reaches the table, the holder does not", function()
  begin{domains = {"a"}, entries = 2}
  local h = holder("a")
  for i = 1, 6 do task{at = h, team = "red", id = "y" .. i, ms = 60000} end
  run(2000)
  -- The whole domain but the fresh one loses the platform; it hears nobody.
  cut("a1", "platform")
  cut("a2", "platform")
  entry("a9", "a")
  entries[#entries + 1] = "a9"
  cut("a9", "a1")
  cut("a9", "a2")
  run(40000)
  expect(holder("a") ~= "a9", "it does not claim while the list shows the holder")
  heal()
  settle(300000)
end)

scenario("declared run times and sizes are off by ten", function()
  begin{workers = 3}
  server("a-w1", {slowness = 10})
  server("a-w2", {slowness = 10})
  for i = 1, 30 do task{at = "a1", team = "red", id = "s" .. i, cores = 5, ms = 2000} end
  run(30000)
  settle(600000)
end)

scenario("an accept is told only once it is recorded", function()
  begin{entries = 3}
  local h = holder("a")
  faults{slow = 400}
  for i = 1, 5 do
    task{at = entries[i % 3 + 1], team = "red", id = "e" .. i}
  end
  run(100)
  cut(h, "platform")
  run(600)
  kill(h)
  faults{slow = 0}
  run(15000)
  settle()
end)

for _, after in ipairs{0, 20, 100} do
  scenario("a holder freezes " .. after .. " ms after it took over, and stays listed", function()
    begin{entries = 3}
    kill(holder("a"))
    faults{lag = 100000000}
    within(20000, "a successor", function() return holder("a") end)
    run(after)
    local h = holder("a")
    freeze(h)
    within(20000, "the next one", function() return holder("a") ~= h end)
    faults{lag = 0}
    settle()
  end)
end
