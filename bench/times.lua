-- Times between instances on the virtual clock: 1 ms within a domain, 2 ms
-- between domains, 3 ms to the platform, one way.
local function print_json(t)
  print(json(t))
end

local function percentile(list, p)
  table.sort(list)
  return list[math.max(1, math.ceil(#list * p / 100))]
end

-- Gap without placements: from the fault to the next start by a successor.
local function gap(fault)
  local gaps = {}
  for round = 1, 20 do
    scenario("gap", function()
      begin{entries = 3}
      local h = holder("a")
      run(round * 73)
      local t0 = now()
      fault(h)
      local n, placed = 0, false
      while not placed do
        n = n + 1
        task{at = any_up(), team = "red", id = "g" .. n, ms = 100}
        run(10)
        for i = 1, n do placed = placed or starts("red:g" .. i) > 0 end
        if now() - t0 > 60000 then error("no successor") end
      end
      gaps[#gaps + 1] = now() - t0
    end)
  end
  return gaps
end

for name, fault in pairs{
  SIGKILL = function(h) kill(h) end,
  SIGSTOP = function(h) freeze(h) end,
  SIGTERM = function(h) stop(h) end,
} do
  local g = gap(fault)
  print_json{figure = "failover", fault = name, p50_ms = percentile(g, 50),
             p99_ms = percentile(g, 99), runs = #g}
end

local took, withdrawn_after = {}, {}
scenario("configuration", function()
  begin{domains = {"a", "b", "c"}, entries = 3}
  for i = 1, 60 do
    local m = manifest({red = {cores = 100 + i}, blue = {}}, {"red", "blue"})
    local at = entries[i % #entries + 1]
    local c = apply(at, m)
    within(5000, "an answer", function() return answer(c).status ~= 0 end)
    local t0 = now()
    expect(accepted_config(c, m), "accepted")
    within(10000, "everywhere", function()
      for _, e in ipairs(entries) do
        if version(e) < in_force.version then return false end
      end
      return true
    end)
    took[#took + 1] = now() - t0
    run(random(900))
  end
end)
print_json{figure = "configuration in force everywhere", instances = 9,
           p50_ms = percentile(took, 50), p99_ms = percentile(took, 99)}

for round = 1, 20 do
  scenario("withdrawal", function()
    begin{domains = {"a", "b", "c"}, entries = 3}
    run(round * 47)
    local m = manifest({red = {}, blue = {}}, {"blue"})
    local c = apply("a1", m)
    within(5000, "an answer", function() return answer(c).status ~= 0 end)
    local t0 = now()
    accepted_config(c, m)
    local last = 0
    while now() - t0 < 4000 do
      for _, e in ipairs(entries) do
        local k = task{at = e, team = "red", id = "k" .. now() .. e}
        run(1)
        if answer(k).status ~= 401 then last = now() - t0 end
      end
    end
    withdrawn_after[#withdrawn_after + 1] = last
  end)
end
print_json{figure = "withdrawn key refused everywhere", instances = 9,
           p50_ms = percentile(withdrawn_after, 50),
           p99_ms = percentile(withdrawn_after, 99)}

-- Waiting by class, at three loads of one domain of 10 workers of 16 cores.
local function waits(load)
  local sent = {}
  scenario("waits", function()
    begin({entries = 2, workers = 10, executors = 0}, {red = {}, blue = {}})
    local t0 = now()
    local cores_per_s = 160 * load / 100
    local owed = 0
    while now() - t0 < 60000 do
      owed = owed + cores_per_s / 10
      while owed > 0 do
        local k = random(10)
        local t
        if k == 1 then t = {cores = 8, ms = 8000, queue = "batch"}
        elseif k <= 4 then t = {cores = 3, ms = 3000, queue = "batch"}
        elseif k <= 9 then t = {cores = 1, ms = 1000, queue = "batch"}
        else t = {cores = 1, ms = 1000, queue = "urgent"} end
        t.at, t.team, t.id = entries[random(2)], "red", "w" .. #sent
        task(t)
        sent[#sent + 1] = {id = "red:" .. t.id, at = now(), queue = t.queue}
        owed = owed - t.cores * t.ms / 1000
      end
      for _, s in ipairs(sent) do
        if not s.wait and starts(s.id) > 0 then s.wait = now() - s.at end
      end
      run(100)
    end
    for _, s in ipairs(sent) do s.wait = s.wait or now() - s.at end
  end)
  for _, q in ipairs{"urgent", "batch"} do
    local list = {}
    for _, s in ipairs(sent) do
      if s.queue == q then list[#list + 1] = s.wait end
    end
    print_json{figure = "waiting", queue = q, load_per_cent = load, tasks = #list,
               p50_ms = percentile(list, 50), p99_ms = percentile(list, 99)}
  end
end
for _, load in ipairs{70, 95, 120} do waits(load) end

-- Shares of a full fleet by weight, over ten minutes in one domain.
scenario("shares", function()
  local teams = {red = {weight = 4}, blue = {weight = 2}, green = {weight = 1},
                 black = {weight = 1}}
  begin({entries = 2, workers = 10, executors = 0}, teams,
        {"red", "blue", "green", "black"})
  local got, n, seq = {}, 0, 0
  for t in pairs(teams) do got[t] = 0 end
  local t0 = now()
  while now() - t0 < 600000 do
    -- Each team keeps more waiting than the fleet could start.
    if (now() - t0) % 2000 < 200 then
      for _, t in ipairs{"red", "blue", "green", "black"} do
        for _ = 1, 14 do
          seq = seq + 1
          if seq < 17000 then
            task{at = entries[1], team = t, id = "s" .. seq, ms = 6000 + random(4000),
                 cores = random(3)}
          end
        end
      end
    end
    run(200)
    if now() - t0 > 20000 then
      n = n + 1
      for t in pairs(teams) do got[t] = got[t] + used(t) end
    end
  end
  local all, worst = 0, 0
  for _, v in pairs(got) do all = all + v end
  for t, v in pairs(got) do
    local entitled = all * teams[t].weight / 8
    worst = math.max(worst, math.abs(v - entitled) / entitled)
  end
  print_json{figure = "shares", teams = 4, worst_error_per_cent = math.floor(worst * 1000) // 10,
             used_per_cent = math.floor(100 * all / n / 160)}
end)
