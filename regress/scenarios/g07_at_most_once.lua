-- Guarantee 7: a non-idempotent request runs at most once.  The queues "once"
-- (tasks) and "print" (service requests) are not idempotent.
for _, after in ipairs{0, 3, 6, 9, 12, 15, 18, 24, 40, 400} do
  scenario("holder killed " .. after .. " ms after non-idempotent tasks and service requests", function()
    begin{entries = 3}
    local h = holder("a")
    local other
    for _, e in ipairs(entries) do if e ~= h then other = e end end
    for i = 1, 4 do
      task{at = other, team = "red", id = "render" .. i, queue = "once", ms = 6000}
      service{at = other, team = "red", id = "print" .. i, queue = "print", ms = 300}
    end
    run(after)
    kill(h)
    run(10000)
    -- The callers send the same request ids again, to another instance.
    for i = 1, 4 do
      task{at = any_up(), team = "red", id = "render" .. i, queue = "once", ms = 6000}
      service{at = any_up(), team = "red", id = "print" .. i, queue = "print", ms = 300}
    end
    run(3000)
    recover_and_check(300000)
  end)
end

for _, after in ipairs{1, 4, 10, 14, 30, 200} do
  scenario("entry instance killed " .. after .. " ms after non-idempotent service requests", function()
    begin{entries = 3}
    local h = holder("a")
    local other
    for _, e in ipairs(entries) do if e ~= h then other = e end end
    for i = 1, 4 do
      service{at = other, team = "red", id = "print" .. i, queue = "print", ms = 300}
    end
    run(after)
    kill(other)
    run(500)
    for i = 1, 4 do
      service{at = h, team = "red", id = "print" .. i, queue = "print", ms = 300}
    end
    run(12000)
    for i = 1, 4 do
      service{at = h, team = "red", id = "print" .. i, queue = "print", ms = 300}
    end
    run(5000)
  end)
end

scenario("one request id is sent to every instance of every domain at the same moment", function()
  begin{domains = {"a", "b"}, entries = 2}
  for i = 1, 10 do
    for _, e in ipairs(entries) do
      task{at = e, team = "red", id = "same" .. i, queue = "once", ms = 500}
      service{at = e, team = "red", id = "print" .. i, queue = "print", ms = 200}
    end
    run(random(20))
  end
  run(8000)
  for i = 1, 10 do
    expect(starts("red:same" .. i) == 1, "the task runs once")
    expect(starts("red:print" .. i) == 1, "the service request runs once")
  end
  recover_and_check()
end)

scenario("workers reboot with non-idempotent tasks running", function()
  begin{workers = 2}
  for i = 1, 6 do
    task{at = "a1", team = "red", id = "r" .. i, queue = "once", ms = 8000, cores = 3}
  end
  run(2000)
  server("a-w1", {reboot = true})
  run(1000)
  server("a-w2", {reboot = true})
  recover_and_check(300000)
end)

scenario("a worker reboots after the holder dies and before its successor takes over", function()
  begin{entries = 2, workers = 2}
  for i = 1, 6 do
    task{at = "a1", team = "red", id = "r" .. i, queue = "once", ms = 20000, cores = 3}
  end
  run(2000)
  kill(holder("a"))
  run(1000)
  server("a-w1", {reboot = true})
  run(12000)
  recover_and_check(300000)
end)

scenario("a worker is unreachable with non-idempotent tasks running", function()
  begin{workers = 2}
  for i = 1, 6 do
    task{at = "a1", team = "red", id = "r" .. i, queue = "once", ms = 100000, cores = 3}
  end
  run(2000)
  server("a-w1", {unreachable = true})
  run(60000)
  server("a-w1", {unreachable = false})
  recover_and_check(600000)
end)

scenario("an executor does not answer, and the requests are sent again later", function()
  begin{executors = 2}
  server("a-x1", {unreachable = true})
  for i = 1, 12 do
    service{at = "a1", team = "red", id = "p" .. i, queue = "print", ms = 200}
    run(100)
  end
  run(9000)
  server("a-x1", {unreachable = false})
  for i = 1, 12 do
    service{at = "a2", team = "red", id = "p" .. i, queue = "print", ms = 200}
  end
  run(5000)
end)

scenario("connections to an executor break while it serves requests", function()
  begin{executors = 2}
  server("a-x1", {breaks_connections = true})
  for i = 1, 12 do
    service{at = "a1", team = "red", id = "q" .. i, queue = i % 3 == 0 and "preview" or "print", ms = 400}
    run(120)
  end
  run(9000)
end)
