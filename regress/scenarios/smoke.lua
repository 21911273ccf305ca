-- Each caller gets the complete answer to its own request; no faults.
scenario("each caller gets its own answer", function()
  begin{domains = {"a", "b"}, entries = 2, workers = 3}
  local calls = {}
  for i = 1, 20 do
    calls[i] = task{at = entries[i % 4 + 1], team = "red", id = "t" .. i}
  end
  local s = service{at = "a1", team = "blue", id = "s1"}
  local p = service{at = "b2", team = "blue", id = "p1", queue = "print"}
  run(3000)
  for i = 1, 20 do expect(answer(calls[i]).status == 202, "the task is accepted") end
  expect(answer(s).status == 200, "the service request is answered")
  expect(answer(p).status == 200, "the print request is answered")
  recover_and_check()
end)
