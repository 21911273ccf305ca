-- Shared by all scenarios: JSON encoding, a standard setup, and functions that
-- send requests.

-- JSON text of a value; a table with [1] becomes an array.
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

-- Fails the scenario unless ok is true; what is the text of the expectation.
function expect(ok, what)
  if not ok then error("expected: " .. what, 2) end
end

-- Lets virtual time pass until f() is true; fails the scenario if f() is still
-- false after ms.  what is the text of the expectation.
function within(ms, what, f)
  local deadline = now() + ms
  while not f() do
    if now() >= deadline then error("not within " .. ms .. " ms: " .. what, 2) end
    run(20)
  end
end

-- Ids of the entry instances, and names of the domains, of the current scenario.
entries, domains = {}, {}

-- Runs the function f as one scenario in a new world and reports the result.
function scenario(name, f)
  reset()
  entries, domains, in_force = {}, {}, {version = 0}
  local ok, failure = pcall(f)
  report(name, not ok and tostring(failure) or nil)
end

-- add_domains{domains={"a"}, entries=2, workers=3, executors=1, cores=16,
--             mem_mb=32768, accels=0}: adds entry instances, workers and
-- executors; the counts are per domain, the amounts per worker.
function add_domains(c)
  domains = c.domains or {"a"}
  for _, d in ipairs(domains) do
    for i = 1, c.entries or 2 do
      add_entry(d .. i, d)
      entries[#entries + 1] = d .. i
    end
    for i = 1, c.workers or 3 do
      add_worker(d .. "-w" .. i, d, d .. "-r" .. ((i - 1) // 2), c.cores or 16,
             c.mem_mb or 32768, c.accels or 0)
    end
    for i = 1, c.executors or 1 do add_executor(d .. "-x" .. i, d) end
  end
end

-- Bearer token of the key in the manifest that has this name as its id.
function key_of(name) return name .. ".secret-" .. name end

-- The entry of a key in a manifest: of a team key, or of an operator key if team is
-- nil.
local function key_row(name, team)
  local row = {id = name, salt = "s", hash = key_hash("s", "secret-" .. name)}
  if team then row.team, row.kind = team, "team" else row.kind = "operator" end
  return row
end

-- The manifest that most scenarios start from.  limits: by team, {weight=,
-- cores=, mem_mb=, accels=, slots=}; keys: ids of the team keys, each the name
-- of its team.  The queues with open = true need no key; their work is charged
-- to team red.
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

-- Version and manifest of the last change that is known to be accepted.
in_force = {version = 0}

-- Sends the manifest m to the instance at, as a change from version base
-- (default: in_force.version), and notifies the checker that the limits of m may be
-- in force.  Returns the call for answer().
function apply(at, m, base)
  local first = (base or in_force.version) == 0
  for _, t in ipairs(m.teams) do note_limit(t.name, t.limit, true) end
  local c = call{entry = at, method = "PUT", body = json(m),
    key = first and "ops.first" or key_of("ops"),
    path = "/v1/config?base=" .. (base or in_force.version) .. "&change=c" ..
      now() .. at}
  return c
end

-- Whether the call c, which sent the manifest m, was answered as accepted.  If so,
-- the checker is notified of the limits of m and of the keys that m withdraws.
function accepted_config(c, m)
  local a = answer(c)
  if a.status ~= 200 then return false end
  local previous = in_force.manifest
  in_force = {version = a.version, manifest = m}
  for _, t in ipairs(m.teams) do note_limit(t.name, t.limit) end
  if previous then
    for _, k in ipairs(previous.keys) do
      local kept = false
      for _, n in ipairs(m.keys) do kept = kept or n.id == k.id end
      if not kept then note_key_withdrawn(k.id) end
    end
  end
  return true
end

-- Standard setup: adds the domains c (see add_domains), applies the first manifest
-- with these limits and keys (see manifest), and waits for a holder in each domain.
function begin(c, limits, keys)
  add_domains(c)
  run(1500)
  local m = manifest(limits or {red = {}, blue = {}}, keys or {"red", "blue"})
  local a = apply(entries[1], m)
  within(5000, "an answer to the first manifest", function() return answer(a).status ~= 0 end)
  expect(accepted_config(a, m), "the first manifest is accepted")
  within(10000, "a holder in each domain", function()
    for _, d in ipairs(domains) do if not holder(d) then return false end end
    return true
  end)
  run(5000)
end

-- task{at=, team=, id=, queue=, cores=, mem_mb=, accels=, members=, spread=,
--      ms=, deadline=, key=, key_id=}: submits a task.  ms is its run
-- time, deadline its deadline_ms; only at, team and id are needed.  Returns the
-- call for answer().
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

-- service{at=, team=, id=, queue=, ms=, key=, key_id=}: sends a service request;
-- ms is its run time at the executor; only at, team and id are needed.  Returns
-- the call for answer().
function service(t)
  local q = t.queue or "preview"
  return call{entry = t.at, method = "POST", path = "/v1/service/" .. q,
    key = t.key or key_of(t.team), key_id = t.key_id or t.team, id = t.id,
    name = t.team .. ":" .. t.id, service = true, run_ms = t.ms or 50,
    idempotent = q ~= "print"}
end

-- Queries the state of a task, with the operator key.  Returns the call for
-- answer().
function get_task(at, id)
  return call{entry = at, method = "GET", path = "/v1/tasks/" .. id,
              key = key_of("ops")}
end

-- Cancels a task, with the operator key.  Returns the call for answer().
function cancel(at, id)
  return call{entry = at, method = "DELETE", path = "/v1/tasks/" .. id,
              key = key_of("ops")}
end

-- The first entry instance that is up, or nil.
function any_up()
  for _, e in ipairs(entries) do if up(e) then return e end end
end

local final_states = {done = true, failed = true, cancelled = true, unknown = true}

-- The state of an accepted task, which is queried until an instance answers with
-- status 200; "lost" if none did in 40 tries.
function task_state(id)
  for _ = 1, 40 do
    local at = any_up()
    local c = get_task(at, id)
    local deadline = now() + 6000
    while answer(c).status == 0 and now() < deadline do run(20) end
    if answer(c).status == 200 then return answer(c).state end
    run(500)
  end
  return "lost"
end

-- Ends all faults, waits up to ms (default 120000) until every accepted task has
-- a final state, and checks that these states agree with what the workers did.
function recover_and_check(ms)
  heal()
  store("up")
  faults{store_delay_ms = 0, lost_reply_percent = 0, late_percent = 0}
  for _, e in ipairs(entries) do thaw(e) end
  for _, e in ipairs(entries) do restart(e) end
  local deadline = now() + (ms or 120000)
  local ended, n_open = {}, 1
  run(11000) -- longer than a caller waits for the acceptance of its request
  while n_open > 0 and now() < deadline do
    run(2000)
    for _, e in ipairs(entries) do restart(e) end
    n_open = 0
    for _, id in ipairs(accepted_tasks()) do
      ended[id] = ended[id] or final_states[task_state(id)]
      if not ended[id] then n_open = n_open + 1 end
    end
  end
  for _, id in ipairs(accepted_tasks()) do check_final_state(id, task_state(id)) end
end
