-- Guarantee 9: a planned stop is graceful: it breaks no request's connection.
-- Sends 5 preview requests, 5 print requests and 5 tasks to the instance at; tag
-- makes their request ids unique.  Returns the calls for answer().
local function send_requests(at, tag)
  local calls = {}
  for i = 1, 5 do
    calls[#calls + 1] = service{at = at, team = "red", id = tag .. "s" .. i, ms = 3000}
    calls[#calls + 1] = service{at = at, team = "red", id = tag .. "p" .. i, queue = "print", ms = 2500}
    calls[#calls + 1] = task{at = at, team = "red", id = tag .. "t" .. i, ms = 5000}
  end
  return calls
end

-- Expects that each of the calls has an answer.
local function expect_all_answered(calls)
  for _, c in ipairs(calls) do
    local a = answer(c)
    expect(a.status > 0, "each request has an answer, not a broken connection")
  end
end

for _, after in ipairs{0, 5, 20, 200} do
  scenario("the holder is stopped " .. after .. " ms after its callers' requests", function()
    begin{entries = 3, executors = 3}
    local h = holder("a")
    local calls = send_requests(h, "h")
    run(after)
    stop(h)
    run(20000)
    expect(not up(h), "the holder has stopped")
    expect_all_answered(calls)
    recover_and_check()
  end)
end

scenario("a planned stop hands the domain over before the lease ends", function()
  begin{entries = 2}
  local h = holder("a")
  stop(h)
  local t0 = now()
  within(1000, "a successor", function()
    local n = holder("a")
    return n and n ~= h
  end)
end)

scenario("every instance of a domain is stopped at once, and a new one is added", function()
  begin{domains = {"a", "b"}, entries = 2, executors = 2}
  local calls = send_requests("a1", "x")
  for _, c in ipairs(send_requests("a2", "y")) do calls[#calls + 1] = c end
  run(100)
  stop("a1")
  stop("a2")
  add_entry("a3", "a")
  entries[#entries + 1] = "a3"
  run(25000)
  expect_all_answered(calls)
  expect(holder("a") == "a3", "the new instance schedules the domain")
  recover_and_check()
end)

scenario("a planned stop while the table is unreachable", function()
  begin{entries = 2, executors = 2}
  local h = holder("a")
  local calls = {service{at = h, team = "red", id = "s1", ms = 3000}}
  run(100)
  store("hangs")
  stop(h)
  run(15000)
  expect_all_answered(calls)
  store("up")
  recover_and_check()
end)

scenario("each instance in turn is stopped and restarted under load", function()
  begin{domains = {"a", "b"}, entries = 2, executors = 2}
  local calls = {}
  for _, e in ipairs{"a1", "a2", "b1", "b2"} do
    for _, c in ipairs(send_requests(e, e)) do calls[#calls + 1] = c end
    run(300)
    stop(e)
    run(8000)
    restart(e)
    run(4000)
  end
  expect_all_answered(calls)
  recover_and_check()
end)

scenario("a planned stop ends although the table stays unreachable", function()
  begin{entries = 2, executors = 2}
  local h = holder("a")
  local s = service{at = h, team = "red", id = "s1", ms = 3000}
  run(100)
  store("hangs")
  stop(h)
  run(5000)
  expect_all_answered{s}
  run(75000)
  expect(not has_process(h), "the process has ended")
  store("up")
  recover_and_check()
end)
