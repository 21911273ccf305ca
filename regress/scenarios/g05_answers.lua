-- Guarantee 5: each caller gets the complete answer to its own request.
scenario("tasks and service requests at every instance, with late messages", function()
  begin{domains = {"a", "b"}, entries = 2, executors = 2}
  faults{late_percent = 30}
  local calls = {}
  for i = 1, 60 do
    local e = entries[i % 4 + 1]
    calls[#calls + 1] = service{at = e, team = "blue", id = "s" .. i, ms = random(400)}
    calls[#calls + 1] = task{at = e, team = "red", id = "t" .. i}
    run(random(40))
  end
  run(15000)
  for _, c in ipairs(calls) do
    expect(answer(c).status ~= 0, "every caller has an answer")
  end
  recover_and_check(300000)
end)

scenario("an instance restarts and gets late replies to calls of its earlier process", function()
  begin{domains = {"a", "b"}, entries = 2}
  for round = 1, 8 do
    for i = 1, 6 do
      task{at = "b1", team = "red", id = "r" .. round .. "-" .. i, ms = 300}
      service{at = "b1", team = "blue", id = "q" .. round .. "-" .. i}
    end
    run(random(12))
    kill("b1")
    restart("b1")
    run(3200)
  end
  recover_and_check(300000)
end)

scenario("an instance is frozen with replies on their way and thawed after the deadline", function()
  begin{entries = 3}
  local other
  for _, e in ipairs(entries) do if e ~= holder("a") then other = e end end
  local calls = {}
  for i = 1, 8 do
    calls[#calls + 1] = task{at = other, team = "red", id = "f" .. i}
    calls[#calls + 1] = service{at = other, team = "red", id = "g" .. i}
  end
  run(2)
  freeze(other)
  run(20000)
  thaw(other)
  run(15000)
  for _, c in ipairs(calls) do
    expect(answer(c).status ~= 0, "every caller has an answer")
  end
  recover_and_check()
end)

scenario("a wait for a task ends with the task at every instance", function()
  begin{domains = {"a", "b"}, entries = 2}
  local t = task{at = "a1", team = "red", id = "long", ms = 9000}
  run(1000)
  local id = answer(t).id
  local waits = {}
  for _, e in ipairs(entries) do
    waits[#waits + 1] = call{entry = e, method = "GET", key = key_of("red"),
      path = "/v1/tasks/" .. id .. "?wait_ms=60000"}
  end
  run(2000)
  local h = holder(id:sub(1, 1))
  kill(h)
  run(25000)
  for i, e in ipairs(entries) do
    if e ~= h then
      expect(answer(waits[i]).state == "done", e .. " reports the end of the task")
    end
  end
end)

scenario("requests that get no slot in time are refused with retry_after_ms", function()
  begin{executors = 1}
  local calls = {}
  for i = 1, 60 do calls[i] = service{at = "a1", team = "red", id = "w" .. i, ms = 4000} end
  run(6000)
  local refused = 0
  for i = 1, 60 do
    local a = answer(calls[i])
    expect(a.status ~= 0, "every request is answered")
    if a.status == 503 then
      refused = refused + 1
      expect(a.retry_after_ms > 0, "a 503 has retry_after_ms")
    end
  end
  expect(refused > 0, "some requests are refused")
end)

for _, delay in ipairs{0, 100, 400} do
  scenario("an entry instance repeats a wait while the task's end is being recorded, table delay "
           .. delay .. " ms", function()
    begin{domains = {"a", "b"}, entries = 2}
    faults{store_delay_ms = delay}
    local waits = {}
    for i = 1, 12 do
      local t = task{at = "a1", team = "red", id = "e" .. i, ms = 700 + i * 60}
      within(5000, "the task is accepted", function() return answer(t).status == 202 end)
      for _, e in ipairs(entries) do
        waits[#waits + 1] = call{entry = e, method = "GET", key = key_of("red"),
          path = "/v1/tasks/" .. answer(t).id .. "?wait_ms=60000"}
      end
    end
    run(20000)
    for _, c in ipairs(waits) do
      expect(answer(c).state == "done",
             "the wait ends when the task is done, not " .. tostring(answer(c).state))
    end
  end)
end

scenario("a restarted instance does not get the answers to waits of its earlier process", function()
  begin{domains = {"a", "b"}, entries = 2}
  local early, late = {}, {}
  for i = 1, 8 do
    early[i] = task{at = "a1", team = "red", id = "early" .. i, ms = 5000}
    late[i] = task{at = "a1", team = "red", id = "late" .. i, ms = 20000}
  end
  run(500)
  local function wait_for(c)
    return call{entry = "b1", method = "GET", key = key_of("red"),
      path = "/v1/tasks/" .. answer(c).id .. "?wait_ms=60000"}
  end
  for i = 1, 8 do wait_for(early[i]) end
  run(200)
  kill("b1")
  restart("b1")
  run(2500)
  local waits = {}
  for i = 1, 8 do waits[i] = wait_for(late[i]) end
  run(30000)
  for i = 1, 8 do
    expect(answer(waits[i]).id == answer(late[i]).id, "the answer is about the queried task")
    expect(answer(waits[i]).state == "done" and answer(waits[i]).latency_ms > 10000,
           "the answer comes at the end of that task")
  end
end)
