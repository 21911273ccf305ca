-- Every accepted task ends in a final state that agrees with what the workers
-- did; no accepted task is lost.
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
  recover_and_check(300000)
end)

scenario("1500 tasks are cancelled at once", function()
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
    if task_state(answer(calls[i]).id) == "cancelled" then n = n + 1 end
  end
  expect(n == 30, "all 30 queried tasks are cancelled, not " .. n)
end)

scenario("tasks that never fit or always fail end as failed", function()
  begin{}
  local huge = task{at = "a1", team = "red", id = "huge", cores = 400}
  local bad = task{at = "a1", team = "red", id = "fail-everywhere", ms = 200}
  local over = task{at = "a1", team = "red", id = "over", cores = 5000}
  run(1000)
  expect(answer(over).error == "never-fits",
         "a task above the team's limit is refused as never-fits")
  run(200000)
  expect(task_state(answer(huge).id) == "failed", "a task that fits no worker fails")
  expect(task_state(answer(bad).id) == "failed", "a task that fails on every worker fails")
  expect(starts("red:fail-everywhere") <= 3, "a failing task is started at most 3 times")
end)

scenario("a worker that fails every run at once does not attract all tasks", function()
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
    if task_state(answer(calls[i]).id) == "done" then done = done + 1 end
  end
  expect(done == 60, "all 60 tasks are done, not " .. done)
end)

scenario("ten minutes without the table: requests that need no record are served", function()
  begin{domains = {"a"}, entries = 3, executors = 1}
  local h = holder("a")
  for i = 1, 6 do task{at = "a1", team = "red", id = "long" .. i, ms = 400000, queue = "once"} end
  run(3000)
  store("hangs")
  run(8000)
  local n_served, n_sent = 0, 0
  for _ = 1, 600 do
    local c = service{at = entries[random(3)], team = "red", id = "o" .. now(), queue = "desk"}
    run(1000)
    n_sent = n_sent + 1
    if answer(c).status == 200 then n_served = n_served + 1 end
  end
  expect(n_served >= n_sent * 0.99,
         "99 % of " .. n_sent .. " requests are served, not " .. n_served)
  store("up")
  run(5000)
  expect(holder("a") == h, "the holder is the same as before")
  recover_and_check(600000)
end)

scenario("the holder dies while the table is unreachable: no instance claims the domain", function()
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
  recover_and_check(300000)
end)

scenario("a new instance reaches the table, the holder does not", function()
  begin{domains = {"a"}, entries = 2}
  local h = holder("a")
  for i = 1, 6 do task{at = h, team = "red", id = "y" .. i, ms = 60000} end
  run(2000)
  -- Partitions separate all instances but the new one from the platform, and the
  -- new one from all others.
  partition("a1", "platform")
  partition("a2", "platform")
  add_entry("a9", "a")
  entries[#entries + 1] = "a9"
  partition("a9", "a1")
  partition("a9", "a2")
  run(40000)
  expect(holder("a") ~= "a9", "the new instance does not claim while the list shows the holder")
  heal()
  recover_and_check(300000)
end)

scenario("tasks on two of three workers run ten times as long as declared", function()
  begin{workers = 3}
  server("a-w1", {slowness = 10})
  server("a-w2", {slowness = 10})
  for i = 1, 30 do task{at = "a1", team = "red", id = "s" .. i, cores = 5, ms = 2000} end
  run(30000)
  recover_and_check(600000)
end)

scenario("a task is reported as accepted only once it is recorded", function()
  begin{entries = 3}
  local h = holder("a")
  faults{store_delay_ms = 400}
  for i = 1, 5 do
    task{at = entries[i % 3 + 1], team = "red", id = "e" .. i}
  end
  run(100)
  partition(h, "platform")
  run(600)
  kill(h)
  faults{store_delay_ms = 0}
  run(15000)
  recover_and_check()
end)

for _, after in ipairs{0, 20, 100} do
  scenario("a holder freezes " .. after
           .. " ms after its election and stays in the platform's list", function()
    begin{entries = 3}
    kill(holder("a"))
    faults{list_lag_ms = 100000000}
    within(20000, "a successor", function() return holder("a") end)
    run(after)
    local h = holder("a")
    freeze(h)
    within(20000, "the next holder", function() return holder("a") ~= h end)
    faults{list_lag_ms = 0}
    recover_and_check()
  end)
end
