-- Measures times on the simulator's virtual clock.  One-way latencies are 1 ms
-- within a domain, 2 ms between domains and 3 ms to the platform.  Each figure is
-- printed as a JSON line.
local function print_json(t)
  print(json(t))
end

-- The value at percentile p of list, which is sorted in place.
local function percentile(list, p)
  table.sort(list)
  return list[math.max(1, math.ceil(#list * p / 100))]
end

-- Measures the failover time in 20 rounds: the time from the fault of the holder
-- to the first start of a task that was submitted after the fault.
local function failover_times(fault)
  local times = {}
  for round = 1, 20 do
    scenario("failover", function()
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
        if now() - t0 > 60000 then error("no instance took over within 60 s") end
      end
      times[#times + 1] = now() - t0
    end)
  end
  return times
end

for name, fault in pairs{
  SIGKILL = function(h) kill(h) end,
  SIGSTOP = function(h) freeze(h) end,
  SIGTERM = function(h) stop(h) end,
} do
  local times = failover_times(fault)
  print_json{figure = "failover", fault = name, p50_ms = percentile(times, 50),
             p99_ms = percentile(times, 99), runs = #times}
end

-- Times from the answer to the apply call until the configuration is in force at
-- all instances.
local apply_times = {}
scenario("configuration", function()
  begin{domains = {"a", "b", "c"}, entries = 3}
  for i = 1, 60 do
    local m = manifest({red = {cores = 100 + i}, blue = {}}, {"red", "blue"})
    local at = entries[i % #entries + 1]
    local c = apply(at, m)
    within(5000, "the answer to the apply call",
           function() return answer(c).status ~= 0 end)
    local t0 = now()
    expect(accepted_config(c, m), "the configuration is accepted")
    within(10000, "the configuration is in force at all instances", function()
      for _, e in ipairs(entries) do
        if version(e) < in_force.version then return false end
      end
      return true
    end)
    apply_times[#apply_times + 1] = now() - t0
    run(random(900))
  end
end)
print_json{figure = "configuration in force everywhere", instances = 9,
           p50_ms = percentile(apply_times, 50),
           p99_ms = percentile(apply_times, 99)}

-- Times from the answer to a configuration that withdraws a key until no instance
-- accepts the key any more.
local withdrawal_times = {}
for round = 1, 20 do
  scenario("withdrawal", function()
    begin{domains = {"a", "b", "c"}, entries = 3}
    run(round * 47)
    local m = manifest({red = {}, blue = {}}, {"blue"})
    local c = apply("a1", m)
    within(5000, "the answer to the apply call",
           function() return answer(c).status ~= 0 end)
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
    withdrawal_times[#withdrawal_times + 1] = last
  end)
end
print_json{figure = "withdrawn key refused everywhere", instances = 9,
           p50_ms = percentile(withdrawal_times, 50),
           p99_ms = percentile(withdrawal_times, 99)}

-- Measures waiting times by queue.  The load is in per cent of the capacity of one
-- domain with 10 workers of 16 cores.
local function measure_waiting(load)
  local sent = {}
  scenario("waiting", function()
    begin({entries = 2, workers = 10, executors = 0}, {red = {}, blue = {}})
    local t0 = now()
    local cores_per_s = 160 * load / 100
    local backlog = 0 -- core seconds still to be submitted
    while now() - t0 < 60000 do
      backlog = backlog + cores_per_s / 10
      while backlog > 0 do
        local k = random(10)
        local t
        if k == 1 then t = {cores = 8, ms = 8000, queue = "batch"}
        elseif k <= 4 then t = {cores = 3, ms = 3000, queue = "batch"}
        elseif k <= 9 then t = {cores = 1, ms = 1000, queue = "batch"}
        else t = {cores = 1, ms = 1000, queue = "urgent"} end
        t.at, t.team, t.id = entries[random(2)], "red", "w" .. #sent
        task(t)
        sent[#sent + 1] = {id = "red:" .. t.id, at = now(), queue = t.queue}
        backlog = backlog - t.cores * t.ms / 1000
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
for _, load in ipairs{70, 95, 120} do measure_waiting(load) end

-- Measures how far the shares of teams deviate from their weights in one domain
-- whose capacity is used up, over 10 minutes.
scenario("shares", function()
  local teams = {red = {weight = 4}, blue = {weight = 2}, green = {weight = 1},
                 black = {weight = 1}}
  begin({entries = 2, workers = 10, executors = 0}, teams,
        {"red", "blue", "green", "black"})
  -- Sums of used cores by team, the number of samples and the last task number.
  local used_sum, n, seq = {}, 0, 0
  for t in pairs(teams) do used_sum[t] = 0 end
  local t0 = now()
  while now() - t0 < 600000 do
    -- Each team always has more tasks waiting than the workers can start.
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
      for t in pairs(teams) do used_sum[t] = used_sum[t] + used(t) end
    end
  end
  local all, worst = 0, 0
  for _, v in pairs(used_sum) do all = all + v end
  for t, v in pairs(used_sum) do
    local entitled = all * teams[t].weight / 8
    worst = math.max(worst, math.abs(v - entitled) / entitled)
  end
  print_json{figure = "shares", teams = 4, worst_error_per_cent = math.floor(worst * 1000) // 10,
             used_per_cent = math.floor(100 * all / n / 160)}
end)
