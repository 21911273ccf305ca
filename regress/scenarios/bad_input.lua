-- Bad input: a typed error that names the field, and nothing is lost.
local function put(change)
  return call{entry = "a1", method = "PUT", key = key_of("ops"),
    body = json(in_force.manifest), path = "/v1/config?base=1&change=" .. change}
end

scenario("request ids that could not be written down", function()
  begin{}
  for i, id in ipairs{"a b", "x\xff\xfe", "q\"uote", "", "sl/ash", string.rep("y", 200)} do
    local c = call{entry = "a1", method = "POST", path = "/v1/service/print",
      key = key_of("red"), id = id, name = "red:b" .. i, service = true, idempotent = false}
    run(300)
    expect(answer(c).status == 400, "refused: " .. i .. " " .. tostring(answer(c).status))
    expect(answer(c).field == "X-Request-Id", "and named")
  end
  local good = service{at = "a2", team = "red", id = "good.1", queue = "print"}
  run(1000)
  expect(answer(good).status == 200, "a good one is served")
end)

scenario("change ids that could not be written down", function()
  begin{}
  for _, change in ipairs{"x\xff", "a b", "", string.rep("y", 100)} do
    local c = put(change)
    run(500)
    expect(answer(c).status == 400 and answer(c).field == "change", "refused and named")
  end
  for _, e in ipairs(entries) do expect(version(e) == 1, "version 1 stays") end
  local c = put("good-1")
  run(500)
  expect(answer(c).status == 200, "a good one is accepted")
end)

scenario("a refusal names a field only when one is wrong", function()
  begin{}
  store("hangs")
  cut("a1", "a2")
  run(8000)
  local c = service{at = "a1", team = "red", id = "f1"}
  run(500)
  expect(answer(c).error == "configuration-not-fresh" and not answer(c).field,
         "no field: " .. tostring(answer(c).field))
end)
