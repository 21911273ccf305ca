-- Invalid input is refused with an error that names the field and changes
-- nothing.
local function apply_with_change_id(change)
  return call{entry = "a1", method = "PUT", key = key_of("ops"),
    body = json(in_force.manifest), path = "/v1/config?base=1&change=" .. change}
end

scenario("invalid request ids are refused and the field is named", function()
  begin{}
  for i, id in ipairs{"a b", "x\xff\xfe", "q\"uote", "", "sl/ash", string.rep("y", 200)} do
    local c = call{entry = "a1", method = "POST", path = "/v1/service/print",
      key = key_of("red"), id = id, name = "red:b" .. i, service = true, idempotent = false}
    run(300)
    expect(answer(c).status == 400,
           "invalid id " .. i .. " is refused with 400, not " .. tostring(answer(c).status))
    expect(answer(c).field == "X-Request-Id", "the refusal names the field X-Request-Id")
  end
  local good = service{at = "a2", team = "red", id = "good.1", queue = "print"}
  run(1000)
  expect(answer(good).status == 200, "a valid request id is served")
end)

scenario("invalid change ids are refused and the field is named", function()
  begin{}
  for _, change in ipairs{"x\xff", "a b", "", string.rep("y", 100)} do
    local c = apply_with_change_id(change)
    run(500)
    expect(answer(c).status == 400 and answer(c).field == "change",
           "an invalid change id is refused with 400, which names the field change")
  end
  for _, e in ipairs(entries) do
    expect(version(e) == 1,
           "a refused change does not alter the version")
  end
  local c = apply_with_change_id("good-1")
  run(500)
  expect(answer(c).status == 200, "a valid change id is accepted")
end)

scenario("a refusal for a stale configuration names no field", function()
  begin{}
  store("hangs")
  partition("a1", "a2")
  run(8000)
  local c = service{at = "a1", team = "red", id = "f1"}
  run(500)
  expect(answer(c).error == "configuration-not-fresh" and not answer(c).field,
         "refused as configuration-not-fresh without a field, field is " .. tostring(answer(c).field))
end)
