-- Urgent work starts within 3.6 s, also on a full fleet.
local function fill(n, queue, ms)
  for i = 1, n do
    task{at = "a1", team = "red", id = queue .. i, queue = queue, cores = 4, ms = ms}
  end
end

scenario("a full fleet makes room, and the work that gave way ends", function()
  begin{workers = 3}
  fill(12, "batch", 60000)
  run(3000)
  for i = 1, 3 do
    task{at = "a2", team = "blue", id = "u" .. i, queue = "urgent", cores = 6, ms = 2000}
  end
  within(3600, "all urgent tasks start", function()
    return starts("blue:u1") + starts("blue:u2") + starts("blue:u3") == 3
  end)
  settle(600000)
  for i = 1, 12 do
    expect(starts("red:batch" .. i) <= 4, "no task is stopped again and again")
  end
end)

scenario("renders that may not run twice are left alone", function()
  begin{workers = 2}
  fill(8, "once", 20000)
  run(3000)
  local u = task{at = "a2", team = "blue", id = "u", queue = "urgent", cores = 6, ms = 1000}
  run(8000)
  expect(starts("blue:u") == 0, "it waits for their end")
  run(20000)
  expect(starts("blue:u") == 1, "and starts then")
  settle()
end)

scenario("the holder dies while tasks give way", function()
  begin{entries = 3, workers = 2}
  for _, after in ipairs{0, 3, 8, 14} do
    fill(8, "batch", 30000)
    run(2500)
    local h = holder("a")
    task{at = h, team = "blue", id = "u" .. after, queue = "urgent", cores = 8, ms = 500}
    run(after + 10)
    kill(h)
    run(9000)
    restart(h)
  end
  settle(600000)
end)

scenario("a stream of urgent work does not starve the rest", function()
  begin{workers = 2}
  fill(8, "batch", 8000)
  run(1000)
  for i = 1, 40 do
    task{at = "a2", team = "blue", id = "s" .. i, queue = "urgent", cores = 8, ms = 400}
    run(1000)
  end
  settle(300000)
end)
