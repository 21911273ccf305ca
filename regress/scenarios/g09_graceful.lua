-- Guarantee 9: a planned stop is graceful: it cuts no request short.
local function load_on(at, tag)
  local calls = {}
  for i = 1, 5 do
    calls[#calls + 1] = service{at = at, team = "red", id = tag .. "s" .. i, ms = 3000}
    calls[#calls + 1] = service{at = at, team = "red", id = tag .. "p" .. i, queue = "print", ms = 2500}
    calls[#calls + 1] = task{at = at, team = "red", id = tag .. "t" .. i, ms = 5000}
  end
  return calls
end

local function all_answered(calls)
  for _, c in ipairs(calls) do
    local a = answer(c)
    expect(a.status > 0, "an answer, not a broken connection")
  end
end

for _, after in ipairs{0, 5, 20, 200} do
  scenario("the holder stops " .. after .. " ms into its callers' requests", function()
    begin{entries = 3, executors = 3}
    local h = holder("a")
    local calls = load_on(h, "h")
    run(after)
    stop(h)
    run(20000)
    expect(not up(h), "it has stopped")
    all_answered(calls)
    settle()
  end)
end

scenario("a stop hands the domain over without waiting for the lease", function()
  begin{entries = 2}
  local h = holder("a")
  stop(h)
  local t0 = now()
  within(1000, "a successor", function()
    local n = holder("a")
    return n and n ~= h
  end)
end)

scenario("every instance of a domain stops at once, new ones come", function()
  begin{domains = {"a", "b"}, entries = 2, executors = 2}
  local calls = load_on("a1", "x")
  for _, c in ipairs(load_on("a2", "y")) do calls[#calls + 1] = c end
  run(100)
  stop("a1")
  stop("a2")
  entry("a3", "a")
  entries[#entries + 1] = "a3"
  run(25000)
  all_answered(calls)
  expect(holder("a") == "a3", "the new one schedules")
  settle()
end)

scenario("a stop while the table is away", function()
  begin{entries = 2, executors = 2}
  local h = holder("a")
  local calls = {service{at = h, team = "red", id = "s1", ms = 3000}}
  run(100)
  store("hangs")
  stop(h)
  run(15000)
  all_answered(calls)
  store("up")
  settle()
end)

scenario("one by one, each instance is replaced under load", function()
  begin{domains = {"a", "b"}, entries = 2, executors = 2}
  local calls = {}
  for _, e in ipairs{"a1", "a2", "b1", "b2"} do
    for _, c in ipairs(load_on(e, e)) do calls[#calls + 1] = c end
    run(300)
    stop(e)
    run(8000)
    restart(e)
    run(4000)
  end
  all_answered(calls)
  settle()
end)

scenario("a stop ends though the table stays away", function()
  begin{entries = 2, executors = 2}
  local h = holder("a")
  local s = service{at = h, team = "red", id = "s1", ms = 3000}
  run(100)
  store("hangs")
  stop(h)
  run(5000)
  all_answered{s}
  run(75000)
  expect(not running(h), "the process has ended")
  store("up")
  settle()
end)
