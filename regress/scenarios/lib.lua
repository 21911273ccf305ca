-- Shared by all scenarios: JSON out, the usual cell, and shorthand for calls.

local function encode(v)
  local t = type(v)
  if t == "table" then
    local out = {}
    if #v > 0 or next(v) == nil and getmetatable(v) == "list" then
      for _, x in ipairs(v) do out[#out + 1] = encode(x) end
      return "[" .. table.concat(out, ",") .. "]"
    end
    local names = {}
    for k in pairs(v) do names[#names + 1] = k end
    table.sort(names)
    for _, k in ipairs(names) do
      out[#out + 1] = string.format("%q:", k) .. encode(v[k])
    end
    return "{" .. table.concat(out, ",") .. "}"
  elseif t == "string" then
    return '"' .. v .. '"'
  end
  return tostring(v)
end
json = encode

function expect(ok, what)
  if not ok then error("expected: " .. what, 2) end
end

-- Lets time pass until f() holds, for at most ms.
function within(ms, what, f)
  local stop_at = now() + ms
  while not f() do
    if now() >= stop_at then error("not within " .. ms .. " ms: " .. what, 2) end
    run(20)
  end
end

entries, domains = {}, {}

-- One scenario: the world anew, f, then its report.
function scenario(name, f)
  reset()
  entries, domains, in_force = {}, {}, {version = 0}
  local ok, why = pcall(f)
  report(name, not ok and tostring(why) or nil)
end

-- cell{domains={"a"}, entries=2, workers=3, executors=1, cores=16, mem_mb=32768}
function cell(c)
  domains = c.domains or {"a"}
  for _, d in ipairs(domains) do
    for i = 1, c.entries or 2 do
      entry(d .. i, d)
      entries[#entries + 1] = d .. i
    end
    for i = 1, c.workers or 3 do
      worker(d .. "-w" .. i, d, d .. "-r" .. ((i - 1) // 2), c.cores or 16,
             c.mem_mb or 32768, c.accels or 0)
    end
    for i = 1, c.executors or 1 do executor(d .. "-x" .. i, d) end
  end
end

function key_of(name) return name .. ".secret-" .. name end

local function key_row(name, team)
  local row = {id = name, salt = "s", hash = key_hash("s", "secret-" .. name)}
  if team then row.team, row.kind = team, "team" else row.kind = "operator" end
  return row
end

-- The manifest that most scenarios start from; limits by team.
function manifest(limits, keys)
  local m = {teams = {}, keys = {key_row("ops")}, queues = {
    {name = "batch", class = "normal", max_waiting = 5000, idempotent = true},
    {name = "once", class = "normal", max_waiting = 5000, idempotent = false},
    {name = "urgent", class = "urgent", max_waiting = 5000, idempotent = true},
    {name = "open", class = "normal", open = true, team = "red", max_waiting = 50, idempotent = true},
    {name = "preview", lane = "service", class = "watched", idempotent = true,
     max_waiting = 500, max_wait_ms = 3000, max_run_ms = 5000},
    {name = "print", lane = "service", class = "watched", idempotent = false,
     max_waiting = 500, max_wait_ms = 3000, max_run_ms = 5000},
    {name = "desk", lane = "service", class = "normal", open = true, team = "red", idempotent = true,
     max_waiting = 500, max_wait_ms = 3000, max_run_ms = 5000},
  }}
  for team, l in pairs(limits) do
    m.teams[#m.teams + 1] = {name = team, weight = l.weight or 1, limit = {
      cores = l.cores or 1000, mem_mb = l.mem_mb or 1000000,
      accels = l.accels or 0, slots = l.slots or 100}}
  end
  table.sort(m.teams, function(a, b) return a.name < b.name end)
  for _, k in ipairs(keys or {}) do m.keys[#m.keys + 1] = key_row(k, k) end
  return m
end

in_force = {version = 0}

-- Applies and, when it is accepted, tells the checker what now holds.
function apply(at, m, base)
  local first = (base or in_force.version) == 0
  for _, t in ipairs(m.teams) do limit(t.name, t.limit, true) end
  local c = call{entry = at, method = "PUT", body = json(m),
    key = first and "ops.first" or key_of("ops"),
    path = "/v1/config?base=" .. (base or in_force.version) .. "&change=c" ..
      now() .. at}
  return c
end

function accepted_config(c, m)
  local a = answer(c)
  if a.status ~= 200 then return false end
  local had = in_force.manifest
  in_force = {version = a.version, manifest = m}
  for _, t in ipairs(m.teams) do limit(t.name, t.limit) end
  if had then
    for _, k in ipairs(had.keys) do
      local kept = false
      for _, n in ipairs(m.keys) do kept = kept or n.id == k.id end
      if not kept then withdrawn(k.id) end
    end
  end
  return true
end

-- The usual start: cell, manifest, holders ready.
function begin(c, limits, keys)
  cell(c)
  run(1500)
  local m = manifest(limits or {red = {}, blue = {}}, keys or {"red", "blue"})
  local a = apply(entries[1], m)
  within(5000, "first manifest", function() return answer(a).status ~= 0 end)
  expect(accepted_config(a, m), "the first manifest is accepted")
  within(10000, "a holder in each domain", function()
    for _, d in ipairs(domains) do if not holder(d) then return false end end
    return true
  end)
  run(5000)
end

-- task{at=, team=, id=, queue=, cores=, members=, ms=}
function task(t)
  local name = t.team .. ":" .. t.id
  return call{entry = t.at, method = "POST", path = "/v1/tasks",
    key = t.key or key_of(t.team), key_id = t.key_id or t.team, name = name,
    idempotent = (t.queue or "batch") ~= "once",
    body = json{request_id = t.id, queue = t.queue or "batch",
      name = name,
      need = {cores = t.cores or 1, mem_mb = t.mem_mb or 100, accels = t.accels},
      members = t.members or 1, duration_ms = t.ms or 1000,
      spread = t.spread or false, deadline_ms = t.deadline}}
end

-- service{at=, team=, id=, queue=, ms=}
function service(t)
  local q = t.queue or "preview"
  return call{entry = t.at, method = "POST", path = "/v1/service/" .. q,
    key = t.key or key_of(t.team), key_id = t.key_id or t.team, id = t.id,
    name = t.team .. ":" .. t.id, service = true, run_ms = t.ms or 50,
    idempotent = q ~= "print"}
end

function status(at, id)
  return call{entry = at, method = "GET", path = "/v1/tasks/" .. id,
              key = key_of("ops")}
end

function cancel(at, id)
  return call{entry = at, method = "DELETE", path = "/v1/tasks/" .. id,
              key = key_of("ops")}
end

function any_up()
  for _, e in ipairs(entries) do if up(e) then return e end end
end

local finals = {done = true, failed = true, cancelled = true, unknown = true}

-- The state of an accepted task, by asking until an instance knows.
function state_of(id)
  for _ = 1, 40 do
    local at = any_up()
    local c = status(at, id)
    local stop_at = now() + 6000
    while answer(c).status == 0 and now() < stop_at do run(20) end
    if answer(c).status == 200 then return answer(c).state end
    run(500)
  end
  return "lost"
end

-- Faults are over: every accepted task must reach a truthful end.
function settle(ms)
  heal()
  store("up")
  faults{slow = 0, lose = 0, late = 0}
  for _, e in ipairs(entries) do thaw(e) end
  for _, e in ipairs(entries) do restart(e) end
  local stop_at = now() + (ms or 120000)
  local ended, open = {}, 1
  run(11000) -- whoever still waits to be accepted has an answer then
  while open > 0 and now() < stop_at do
    run(2000)
    for _, e in ipairs(entries) do restart(e) end
    open = 0
    for _, id in ipairs(accepted()) do
      ended[id] = ended[id] or finals[state_of(id)]
      if not ended[id] then open = open + 1 end
    end
  end
  for _, id in ipairs(accepted()) do told(id, state_of(id)) end
end
