-- Guarantee 6: a refusal that says "not run" is true.
scenario("service requests given up at every moment of their wait", function()
  begin{entries = 3, executors = 1}
  for i = 1, 80 do
    service{at = entries[i % 3 + 1], team = "red", id = "w" .. i, ms = 700 + random(900),
            queue = i % 2 == 0 and "print" or "preview"}
    run(random(60))
  end
  run(9000)
end)

scenario("the holder dies, freezes and is replaced under a burst", function()
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
  settle(300000)
end)

scenario("the table refuses, hangs, and does all without a word", function()
  begin{entries = 3}
  for _, mode in ipairs{"refuses", "hangs", "deaf", "hangs", "deaf"} do
    store(mode)
    for i = 1, 8 do
      task{at = any_up(), team = "red", id = mode .. now() .. i, queue = "once"}
      service{at = any_up(), team = "red", id = mode .. now() .. "s" .. i, queue = "print"}
    end
    run(14000)
    store("up")
    run(6000)
  end
  settle(300000)
end)

scenario("an executor refuses connections", function()
  begin{executors = 2}
  server("a-x1", {refuses = true})
  local calls = {}
  for i = 1, 20 do
    calls[i] = service{at = "a1", team = "red", id = "x" .. i, queue = i % 2 == 0 and "print" or "preview"}
    run(50)
  end
  run(4000)
  local good = 0
  for i = 1, 20 do if answer(calls[i]).status == 200 then good = good + 1 end end
  expect(good >= 12, "the other executor serves, " .. good .. " of 20")
end)

for _, mode in ipairs{"refuses", "hangs"} do
  scenario("work that needs a record is refused at once while the table " .. mode, function()
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
               "refused at once, not " .. tostring(a.error))
        expect(a.retry_after_ms > 0, "with when to come back")
      end
    end
    store("up")
    run(4000)
    local t = task{at = "a1", team = "red", id = "after", queue = "once"}
    run(500)
    expect(answer(t).status == 202, "and taken again after it")
    settle()
  end)
end
