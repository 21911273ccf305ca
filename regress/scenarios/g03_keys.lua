-- Guarantee 3: a request is accepted only with a valid key of its team, and a
-- withdrawn key is refused everywhere within seconds.

-- Sends a manifest without red's key to the instance at, and expects that the
-- manifest is accepted.
local function withdraw_red_key(at)
  local m = manifest({red = {}, blue = {}}, {"blue"})
  local c = apply(at, m)
  within(8000, "an answer to the withdrawal", function() return answer(c).status ~= 0 end)
  expect(accepted_config(c, m), "the withdrawal is accepted")
end

-- Sends a task and a service request with red's key to every instance that is
-- up, every 250 ms for ms.
local function use_red_key(ms)
  local deadline = now() + ms
  while now() < deadline do
    for _, e in ipairs(entries) do
      if up(e) then
        task{at = e, team = "red", id = "k" .. now() .. e}
        service{at = e, team = "red", id = "s" .. now() .. e}
      end
    end
    run(250)
  end
end

scenario("a withdrawn key is refused everywhere", function()
  begin{domains = {"a", "b"}}
  withdraw_red_key("a1")
  use_red_key(10000)
end)

scenario("a key is withdrawn while a partition separates a domain from the platform and its peers", function()
  begin{domains = {"a", "b"}}
  partition("b", "platform")
  partition("a", "b")
  withdraw_red_key("a1")
  use_red_key(15000)
  heal()
  use_red_key(5000)
end)

scenario("a key is withdrawn while one instance reaches neither platform nor peers", function()
  begin{domains = {"a", "b"}}
  partition("b1", "platform")
  partition("b1", "a1") partition("b1", "a2") partition("b1", "b2")
  withdraw_red_key("a1")
  use_red_key(15000)
end)

scenario("a key is withdrawn while an instance is frozen", function()
  begin{domains = {"a", "b"}}
  freeze("b2")
  run(100)
  withdraw_red_key("a1")
  run(8000)
  thaw("b2")
  use_red_key(6000)
end)

scenario("a key is withdrawn, then the table becomes unreachable", function()
  begin{domains = {"a", "b"}}
  partition("b", "a")
  local m = manifest({red = {}, blue = {}}, {"blue"})
  local c = apply("a1", m)
  run(30)
  store("hangs")
  run(4000)
  accepted_config(c, m)
  use_red_key(12000)
end)

scenario("invalid keys are refused, and another team's task is not accessible", function()
  begin{}
  local wrong = {
    task{at = "a1", team = "red", id = "n1", key = "red.secret-wrong"},
    task{at = "a1", team = "red", id = "n2", key = "nobody.x"},
    task{at = "a1", team = "red", id = "n3", key = key_of("ops")},
    service{at = "a2", team = "red", id = "n4", key = "red."},
  }
  run(2000)
  for _, c in ipairs(wrong) do
    expect(answer(c).status == 401 or answer(c).status == 403,
           "an invalid key is refused with 401 or 403")
    expect(answer(c).outcome == "not-run", "the refusal says not-run")
  end
  local mine = task{at = "a1", team = "red", id = "mine"}
  run(500)
  local id = answer(mine).id
  local get = call{entry = "a2", method = "GET", path = "/v1/tasks/" .. id,
                    key = key_of("blue")}
  local delete = call{entry = "a2", method = "DELETE", path = "/v1/tasks/" .. id,
                    key = key_of("blue")}
  run(500)
  expect(answer(get).status == 404, "another team's task is not shown")
  expect(answer(delete).status == 404, "another team's task is not cancelled")
  recover_and_check()
end)

scenario("table unreachable for all: peers prove that the configuration is current", function()
  begin{domains = {"a", "b"}}
  store("hangs")
  run(12000)
  local keyed = service{at = "a1", team = "red", id = "o1"}
  run(2000)
  expect(answer(keyed).status == 200, "a request with a key is served")
end)

scenario("table and peer domain unreachable: only open queues are served", function()
  begin{domains = {"a", "b"}}
  store("hangs")
  partition("a", "b")
  run(8000)
  local keyed = service{at = "a1", team = "red", id = "o1"}
  local open = service{at = "a1", team = "red", id = "o2", queue = "desk"}
  run(2000)
  expect(answer(keyed).error == "configuration-not-fresh",
         "a request with a key is refused as configuration-not-fresh")
  expect(answer(keyed).retry_after_ms > 0, "the refusal has retry_after_ms")
  expect(answer(open).status == 200, "a request to an open queue is served")
end)

scenario("a withdrawal whose answer is lost, with its outcome known later", function()
  begin{domains = {"a", "b"}}
  local m = manifest({red = {}, blue = {}}, {"blue"})
  local c = apply("b1", m)
  run(12)
  store("drops-replies")
  run(8000)
  use_red_key(4000)
  store("up")
  run(3000)
  accepted_config(c, m)
  use_red_key(8000)
end)

scenario("the instance that received a withdrawal dies while it applies it", function()
  begin{domains = {"a", "b"}}
  local m = manifest({red = {}, blue = {}}, {"blue"})
  faults{list_lag_ms = 20000}
  local c = apply("b1", m)
  run(10)
  store("hangs")
  kill("b1")
  note_key_withdrawn("red")
  run(4000)
  use_red_key(8000)
end)
