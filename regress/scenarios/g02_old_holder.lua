-- Guarantee 2: no task runs in two places at once, with a former holder that
-- continues after its successor has taken over.

-- A thawed former holder must not send a start that it recorded before it
-- froze, although the worker has rebooted and no longer knows the run.
scenario("a former holder does not send starts that it recorded before it froze", function()
  begin{entries = 2, workers = 1}
  local h = holder("a")
  server("a-w1", {unreachable = true})
  -- After 1100 ms a sync is outstanding, and no other sync is sent before this one
  -- has ended.
  run(1100)
  for i = 1, 3 do
    task{at = h, team = "red", id = "t" .. i, cores = 2, ms = 60000}
  end
  run(100)
  freeze(h)
  server("a-w1", {unreachable = false})
  within(20000, "a successor", function() return holder("a") ~= h end)
  run(3000)
  server("a-w1", {reboot = true})
  run(6000)
  -- The former holder gets answers to its reads, but not to the renewal of its
  -- lease: only its clock shows that the lease has expired.
  faults{lost_reply_percent = 100}
  thaw(h)
  run(3000)
  faults{lost_reply_percent = 0}
  recover_and_check(300000)
end)

scenario("a former holder does not stop its successor's runs", function()
  begin{entries = 2, workers = 2}
  local h = holder("a")
  freeze(h)
  within(20000, "a successor", function() return holder("a") ~= h end)
  run(3000)
  local calls = {}
  for i = 1, 6 do
    calls[i] = task{at = holder("a"), team = "red", id = "r" .. i, queue = "once", ms = 20000}
  end
  run(3000)
  faults{lost_reply_percent = 100}
  thaw(h)
  run(6000)
  faults{lost_reply_percent = 0}
  run(30000)
  for i = 1, 6 do
    expect(task_state(answer(calls[i]).id) == "done", "the task ends undisturbed")
  end
end)
