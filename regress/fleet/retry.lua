dofile("regress/fleet/lib.lua")

local RETRY_NOW = -1

-- Submits a job to instance i.
--
-- Return: HTTP status and delay for a retry, 300 ms later.
local function submit_and_wait(i, n)
  job{id = id(n), steps = {{tasks = 1}}}
  local c = submit(i, id(n))
  run(300)
  local status, _, retry_ms = answer(c)
  return status, retry_ms
end

scenario("an instance that is cut off sends callers on at once", function()
  start_fleet{instances = 6}
  local cut = (leader() + 1) % 6
  instance(cut, "partition", 12000)
  instance(cut, "partition-store", 12000)
  run(5500)
  local status, retry_ms = submit_and_wait(cut, 1)
  expect(status == 503 and retry_ms == RETRY_NOW,
         status .. ", retry after " .. retry_ms)
  status = submit_and_wait((leader() + 2) % 6, 2)
  expect(status == 200, "another instance answers " .. status)
end)

scenario("callers wait before a retry while no instance reaches the table",
  function()
  start_fleet{instances = 6}
  store("down", 12000)
  run(2500)
  for i = 0, 5 do
    local status, retry_ms = submit_and_wait(i, i + 1)
    expect(status == 503 and retry_ms >= 500,
           "instance " .. i .. ": " .. status .. ", " .. retry_ms)
  end
end)

scenario("an instance that the table turns away gets a new configuration",
  function()
  start_fleet{instances = 6}
  local refused = (leader() + 1) % 6
  instance(refused, "refuse-store", 12000)
  run(2000)
  config(CONFIG:gsub("version 1", "version 2"):gsub("queue quick", "queue new"))
  run(2500)
  job{id = id(1), queue = "new", steps = {{tasks = 1}}}
  local c = submit(refused, id(1))
  run(300)
  local status = answer(c)
  expect(status == 200, "a job for the new queue: " .. status)
  expect(proxied() > 0, "no call through another instance")
end)
