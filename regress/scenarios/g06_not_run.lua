-- Guarantee 6: a request whose refusal says "not-run" is not run.
scenario("service requests end at every moment of their wait for a slot", function()
  begin{entries = 3, executors = 1}
  for i = 1, 80 do
    service{at = entries[i % 3 + 1], team = "red", id = "w" .. i, ms = 700 + random(900),
            queue = i % 2 == 0 and "print" or "preview"}
    run(random(60))
  end
  run(9000)
end)

scenario("the holder is killed or frozen and replaced while requests arrive", function()
  begin{entries = 3, executors = 1}
  for round = 1, 10 do
    for i = 1, 10 do
      local e = any_up()
      service{at = e, team = "red", id = round .. "s" .. i, queue = "print", ms = 300}
      task{at = e, team = "red", id = round .. "t" .. i, queue = "once", ms = 500}
    end
    run(random(200))
    local h = holder("a")
    if h then
      if round % 2 == 0 then kill(h) else freeze(h) end
      run(8000)
      thaw(h)
      restart(h)
    end
  end
  recover_and_check(300000)
end)

scenario("the table refuses, hangs, or carries out operations without replies", function()
  begin{entries = 3}
  for _, mode in ipairs{"refuses", "hangs", "drops-replies", "hangs", "drops-replies"} do
    store(mode)
    for i = 1, 8 do
      task{at = any_up(), team = "red", id = mode .. now() .. i, queue = "once"}
      service{at = any_up(), team = "red", id = mode .. now() .. "s" .. i, queue = "print"}
    end
    run(14000)
    store("up")
    run(6000)
  end
  recover_and_check(300000)
end)

scenario("one of two executors refuses connections", function()
  begin{executors = 2}
  server("a-x1", {refuses_connections = true})
  local calls = {}
  for i = 1, 20 do
    calls[i] = service{at = "a1", team = "red", id = "x" .. i, queue = i % 2 == 0 and "print" or "preview"}
    run(50)
  end
  run(4000)
  local n_served = 0
  for i = 1, 20 do if answer(calls[i]).status == 200 then n_served = n_served + 1 end end
  expect(n_served >= 12,
         "the other executor serves at least 12 of 20 requests, not " .. n_served)
end)

for _, mode in ipairs{"refuses", "hangs"} do
  scenario("requests that need a record are refused at once while the table " .. mode, function()
    begin{entries = 3}
    store(mode)
    run(4000)
    for i = 1, 10 do
      local t = task{at = entries[i % 3 + 1], team = "red", id = "n" .. i, queue = "once"}
      local p = service{at = entries[i % 3 + 1], team = "red", id = "p" .. i, queue = "print"}
      run(100)
      for _, c in ipairs{t, p} do
        local a = answer(c)
        expect(a.error == "platform-unavailable" and a.outcome == "not-run",
               "refused as platform-unavailable, not-run within 100 ms, not " .. tostring(a.error))
        expect(a.retry_after_ms > 0, "the refusal has retry_after_ms")
      end
    end
    store("up")
    run(4000)
    local t = task{at = "a1", team = "red", id = "after", queue = "once"}
    run(500)
    expect(answer(t).status == 202, "tasks are accepted again once the table is up")
    recover_and_check()
  end)
end
