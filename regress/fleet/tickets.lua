dofile("regress/fleet/lib.lua")

-- Guards against starts that carry a part of their ticket: all are refused, and
-- the step is asked about without end.  Instances that are asked to query the
-- service pass tickets on to the leader.
for _, bytes in ipairs{95, 96, 300, 4000} do
  scenario("jobs start with tickets of " .. bytes .. " bytes", function()
    start_fleet{instances = 4, execs = 8, permitted_percent = 60,
                ticket_bytes = bytes}
    for n = 1, 40 do
      job{id = id(n), queue = "quick", advice_base_us = 5000,
          advice_per_exec_us = 100, steps = {{tasks = 2, cpu = 1500, ms = 400}}}
      submit(n % 4, id(n))
      run(100)
    end
    run(5000)
    for n = 1, 40 do
      expect(state(0, id(n)) == "completed", "job " .. n .. " is not completed")
    end
  end)
end
