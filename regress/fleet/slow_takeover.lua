dofile("regress/fleet/lib.lua")

-- A new leader must learn how long answers take before the old leases end.
scenario("tasks go on at a change of the leader while executors answer late",
  function()
  start_fleet{execs = 8}
  for n = 1, 8 do
    job{id = id(n), steps = {{tasks = 2, cpu = 1000, ms = 9000}}}
    submit(n % 3, id(n))
  end
  run(1000)
  for e = 0, 7 do exec(e, "slow-answers", 1500) end
  run(3000)
  kill_leader()
  run(10500)
  for n = 1, 8 do
    local starts, _, done = task(id(n), 0, 0)
    expect(done and starts == 1, "job " .. n .. " has lost a run")
  end
end)
