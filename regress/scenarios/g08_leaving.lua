-- Guarantee 8: a leaving backend server gets no new work after a few seconds.
local function keep_busy(ms)
  local stop_at = now() + ms
  while now() < stop_at do
    local at = any_up()
    if at then
      task{at = at, team = "red", id = "v" .. now(), cores = 2, ms = 700}
      service{at = at, team = "red", id = "u" .. now(), ms = 300}
    end
    run(100)
  end
end

for _, lag in ipairs{0, 2500} do
  scenario("the list lags " .. lag .. " ms", function()
    begin{entries = 2, executors = 2}
    faults{lag = lag}
    keep_busy(2000)
    server("a-w1", {leaving = true})
    server("a-x1", {leaving = true})
    keep_busy(12000)
    settle()
  end)
end

scenario("the holder changes while servers leave", function()
  begin{entries = 3, executors = 2}
  keep_busy(2000)
  server("a-w1", {leaving = true})
  server("a-x1", {leaving = true})
  kill(holder("a"))
  keep_busy(15000)
  settle()
end)

scenario("the holder is frozen while servers leave", function()
  begin{entries = 2, executors = 2}
  keep_busy(1000)
  local h = holder("a")
  freeze(h)
  server("a-w1", {leaving = true})
  server("a-x1", {leaving = true})
  run(12000)
  thaw(h)
  keep_busy(8000)
  settle()
end)

scenario("work recorded in an outage does not go to one that left in it", function()
  begin{entries = 2}
  keep_busy(1000)
  store("hangs")
  keep_busy(500)
  server("a-w1", {leaving = true})
  keep_busy(2000)
  run(9000)
  store("up")
  keep_busy(6000)
  settle()
end)

scenario("what runs on a leaving worker may end", function()
  begin{workers = 2}
  for i = 1, 4 do
    task{at = "a1", team = "red", id = "e" .. i, queue = "once", ms = 9000, cores = 4}
  end
  run(2000)
  server("a-w1", {leaving = true})
  server("a-w2", {leaving = true})
  run(15000)
  for i = 1, 4 do expect(starts("red:e" .. i) == 1, "started once") end
  server("a-w1", {leaving = false})
  settle()
end)

for after = 6, 24, 3 do
  scenario("placed " .. after .. " ms before an outage, in which its worker leaves", function()
    begin{entries = 2, workers = 2}
    for i = 1, 3 do
      task{at = "a1", team = "red", id = "q" .. i, cores = 6, ms = 1000}
    end
    run(after)
    store("hangs")
    run(200)
    server("a-w1", {leaving = true})
    run(9000 + after * 70)
    store("up")
    run(6000)
    settle()
  end)
end
