-- Random requests, configuration changes and faults of all kinds, determined by
-- the seed.  The checker tests all guarantees throughout.
scenario("random requests, configuration changes and faults", function()
  local function pick(list) return list[random(#list)] end
  local function one_in(n) return random(n) == 1 end

  local n_domains = random(3)
  local names = {"a", "b", "c"}
  local domain_names = {}
  for i = 1, n_domains do domain_names[i] = names[i] end
  local limits = {red = {cores = 20 + random(30), slots = 4 + random(12)},
                  blue = {cores = 10 + random(60), slots = 4 + random(12)}}
  faults{list_lag_ms = random(3000)}
  begin({domains = domain_names, entries = 1 + random(2), workers = 1 + random(4),
         executors = random(2), cores = 8, mem_mb = 8000}, limits)

  local servers = {}
  for _, d in ipairs(domain_names) do
    for i = 1, 5 do
      local id = d .. "-w" .. i
      if pcall(server, id, {}) then servers[#servers + 1] = id end
    end
    for i = 1, 2 do
      local id = d .. "-x" .. i
      if pcall(server, id, {}) then servers[#servers + 1] = id end
    end
  end

  local n_requests = 0
  local sent = {}
  local pending_apply

  local function send_request()
    n_requests = n_requests + 1
    local at = pick(entries)
    local team = pick{"red", "blue"}
    local kind = random(10)
    if kind <= 5 then
      local t = {at = at, team = team, id = "t" .. n_requests, cores = random(6),
        mem_mb = random(3000), ms = random(8000),
        queue = pick{"batch", "batch", "once", "urgent"}}
      if one_in(4) then t.members = random(4) end
      if one_in(12) then t.id = "fail" .. n_requests end
      sent[#sent + 1] = t
      t.call = task(t)
    elseif kind <= 8 then
      service{at = at, team = team, id = "s" .. n_requests, ms = random(3000),
              queue = pick{"preview", "preview", "print"}}
    elseif #sent > 0 then
      local t = pick(sent)
      local a = answer(t.call)
      if kind == 9 then
        local again = {}
        for k, v in pairs(t) do again[k] = v end
        again.at = at
        task(again)
      elseif a.status == 202 then cancel(at, a.id) end
    end
  end

  local function reconfigure()
    if pending_apply then
      if answer(pending_apply.call).status == 0 then return end
      accepted_config(pending_apply.call, pending_apply.m)
      pending_apply = nil
    end
    local at = any_up()
    if not at or not one_in(3) then return end
    local l = {red = {cores = 10 + random(40), slots = 2 + random(14)},
               blue = {cores = 10 + random(60), slots = 2 + random(14)}}
    local m = manifest(l, {"red", "blue"})
    pending_apply = {m = m, call = apply(at, m)}
  end

  local function inject_fault()
    local kind = random(16)
    if kind == 1 then kill(pick(entries))
    elseif kind == 2 or kind == 3 then restart(pick(entries))
    elseif kind == 4 then freeze(pick(entries))
    elseif kind == 5 or kind == 6 then thaw(pick(entries))
    elseif kind == 7 then stop(pick(entries))
    elseif kind == 8 then partition(pick(domain_names), pick{"platform", "a", "b", "c"}, one_in(3))
    elseif kind == 9 or kind == 10 then heal()
    elseif kind == 11 then store(pick{"refuses", "hangs", "drops-replies"})
    elseif kind == 12 or kind == 13 then store("up")
    elseif kind == 14 then
      faults{lost_reply_percent = pick{0, 10, 40}, late_percent = pick{0, 5, 20},
             store_delay_ms = pick{0, 50, 800}}
    else
      local s = pick(servers)
      server(s, pick{{unreachable = true}, {unreachable = false}, {unreachable = false},
        {reboot = true}, {fail_all = true}, {fail_all = false},
        {leaving = true}, {leaving = false}, {slowness = random(10)},
        {refuses_connections = true}, {refuses_connections = false}})
    end
  end

  local total = 10 + random(50)
  for _ = 1, total do
    for _ = 1, random(6) do send_request() end
    if one_in(2) then inject_fault() end
    reconfigure()
    run(random(1500))
  end
  for _, s in ipairs(servers) do
    server(s, {slowness = 1, unreachable = false, fail_all = false, leaving = false,
               refuses_connections = false})
  end
  heal()
  store("up")
  faults{store_delay_ms = 0, lost_reply_percent = 0, late_percent = 0}
  run(12000)
  if pending_apply then accepted_config(pending_apply.call, pending_apply.m) end
  -- The last manifest raises the limits, so that every task can run and end.
  within(60000, "the last manifest is accepted", function()
    for _, e in ipairs(entries) do thaw(e) restart(e) end
    run(4000)
    local at = any_up()
    if not at then return false end
    local v = 0
    for _, e in ipairs(entries) do v = math.max(v, version(e)) end
    local m = manifest({red = {}, blue = {}}, {"red", "blue"})
    local c = apply(at, m, v)
    run(6000)
    return accepted_config(c, m)
  end)
  recover_and_check(600000)
end)
