dofile("regress/fleet/lib.lua")

-- Return: a configuration of the version with count queues more than CONFIG,
-- named x1, x2 and so on.
local function large_config(version, count)
  local first = CONFIG:gsub("version 1", "version " .. version)
  local lines = {first}
  for n = 1, count do
    lines[#lines + 1] = "queue x" .. n .. " 0 3 1.5 250 0 0\n"
  end
  return table.concat(lines)
end

-- Return: HTTP status of the answer of instance i to a query for the number of
-- waiting jobs of the queue, and the delay for a retry.
local function count_status(i, queue, key)
  local c = waiting(i, queue, key)
  run(50)
  local status, _, retry_ms = answer(c)
  return status, retry_ms
end

scenario("a configuration larger than a call carries in time comes into force",
  function()
  start_fleet{}
  local slow = (leader() + 1) % 3
  instance(slow, "link-rate", 100)
  config(large_config(2, 6000))
  run(4000)
  expect(count_status((slow + 1) % 3, "x6000") == 200, "not in force elsewhere")
  expect(count_status(slow, "x6000") == 200, "not in force on the slow link")
end)

-- The row arrives 4.6 s after the change.  A single instance has no leader that
-- proves the configuration to be current.
scenario("a configuration that has arrived is proved to be current at once",
  function()
  start_fleet{instances = 1}
  instance(0, "link-rate", 50)
  config(large_config(2, 6000))
  run(4400)
  expect(count_status(0, "q") == 503, "the row has arrived too early")
  run(350)
  expect(count_status(0, "q") == 200, "the configuration counts as too old")
end)

scenario("an instance with a slow link reads a large configuration at its start",
  function()
  start_fleet{}
  config(large_config(2, 6000))
  run(1000)
  local slow = (leader() + 1) % 3
  instance(slow, "kill")
  instance(slow, "link-rate", 50)
  instance(slow, "start")
  run(6500)
  expect(count_status(slow, "x6000") == 200, "no configuration is in force")
end)

scenario("an instance that receives a newer configuration denies no queue or key",
  function()
  start_fleet{}
  local slow = (leader() + 1) % 3
  instance(slow, "link-rate", 20)
  config(large_config(2, 6000):gsub("0 k\n", "0 k2\n"))
  run(1000)
  local status, retry_ms = count_status(slow, "x6000", "k2")
  expect(status == 503 and retry_ms > 0, "new queue: " .. status)
  expect(count_status(slow, "q", "k2") == 503, "the new key is denied")
  expect(count_status(slow, "q", "k") == 200, "the old key is refused at once")
  run(2500)
  expect(count_status(slow, "q", "k") == 503,
         "the earlier configuration is used for too long")
end)

scenario("an unusable configuration is not taken for the one before", function()
  start_fleet{}
  config("version 2\nunusable\n")
  run(1000)
  for i = 0, 2 do
    expect(count_status(i, "q") == 200, "a known queue is refused at once")
    expect(count_status(i, "new") == 503, "an unknown queue is denied")
    expect(count_status(i, "q", "new") == 503, "an unknown key is denied")
  end
  run(2500)
  for i = 0, 2 do
    local status, retry_ms = count_status(i, "q")
    expect(status == 503 and retry_ms > 0,
           "the earlier configuration is used for too long")
  end
  config(large_config(3, 1))
  run(1000)
  for i = 0, 2 do
    expect(count_status(i, "x1") == 200, "the next version is not in force")
  end
end)

scenario("an item that cannot be used is not denied", function()
  start_fleet{}
  config(large_config(2, 1) .. "unusable-item\n")
  run(1000)
  for i = 0, 2 do
    expect(count_status(i, "x1") == 200, "a usable queue is not in force")
    expect(count_status(i, "x2") == 503, "a missing queue is denied")
    expect(count_status(i, "q", "new") == 503, "a missing key is denied")
  end
end)

-- An answer of the feed without changes takes 100 ms on this link.
scenario("an answer without changes that arrives in pieces is no change",
  function()
  start_fleet{}
  local slow = (leader() + 1) % 3
  instance(slow, "link-rate", 1)
  run(1000)
  for _ = 1, 40 do
    expect(count_status(slow, "none") == 404, "an unknown queue is not denied")
    run(17)
  end
end)

scenario("a request that waited in a paused process is not allowed by an old "
         .. "configuration", function()
  start_fleet{}
  local paused = (leader() + 1) % 3
  instance(paused, "freeze", 3300)
  job{id = id(1), steps = {{tasks = 1}}}
  local call = submit(paused, id(1))
  run(100)
  config((CONFIG:gsub("version 1", "version 2"):gsub("queue q ", "queue r ")))
  run(4300)
  expect(answer(call) == 503, "the job is accepted: " .. answer(call))
  expect(count_status(paused, "q") == 404, "the new version is not in force")
end)

scenario("a leader that does not receive a configuration learns that there is "
         .. "one", function()
  start_fleet{}
  local behind = leader()
  instance(behind, "silence-conf", 9000)
  run(100)
  config((CONFIG:gsub("version 1", "version 2"):gsub("queue q ", "queue r ")))
  run(1000)
  expect(count_status(behind, "r") == 503, "the new queue is denied")
  expect(count_status(behind, "q") == 200, "the old queue is refused at once")
  run(2400)
  expect(leader() == behind, "another instance leads")
  expect(count_status(behind, "q") == 503,
         "the earlier configuration is used for too long")
end)
