dofile("regress/fleet/lib.lua")

-- A start whose answer is lost may or may not have come in.
scenario("a gang does not wait for a member whose start got lost", function()
  begin{execs = 4, cores = 4}
  for i = 0, 3 do exec(i, "late", i == 2 and 1 or 0) end
  job{id = id(1), steps = {{tasks = 8, gang = true, cpu = 2000, ms = 800}}}
  submit(0, id(1))
  run(700)
  expect(running() > 0, "members have come")
  run(1800)
  expect(running(0) == 0 and running(1) == 0, "members stopped")
  exec(2, "late", 0)
  run(4000)
  expect(state(0, id(1)) == "completed", "completed")
end)

scenario("a start whose answer alone was lost is not stopped", function()
  begin{execs = 2}
  exec(0, "lost", 0.5)
  exec(1, "lost", 0.5)
  for n = 1, 10 do
    job{id = id(n), steps = {{tasks = 2, ms = 2000}}}
    submit(0, id(n))
  end
  run(1500)
  exec(0, "lost", 0)
  exec(1, "lost", 0)
  run(3500)
  local starts = 0
  for n = 1, 10 do
    expect(state(0, id(n)) == "completed", "completed")
    starts = starts + task(id(n), 0, 0) + task(id(n), 0, 1)
  end
  expect(starts == 20, starts .. " starts of 20 tasks")
end)

scenario("a second try that is not sent proves nothing of the first", function()
  begin{execs = 2, cores = 4}
  exec(0, "lost", 1)
  exec(1, "lost", 1)
  for n = 1, 4 do
    job{id = id(n), steps = {{tasks = 1, ms = 3000, cpu = 1000}}}
    submit(0, id(n))
  end
  run(300)
  exec(0, "unreached", 1)
  exec(0, "lost", 0)
  exec(1, "lost", 0)
  run(12000)
  exec(0, "unreached", 0)
  run(8000)
  for n = 1, 4 do
    expect(state(1, id(n)) == "completed", "completed")
  end
end)
