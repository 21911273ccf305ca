dofile("regress/fleet/lib.lua")

-- Every start is checked: it carries a checkpoint of its task byte for byte, or
-- none (UNASKED, see regress/fsim/checkpoints.c).

-- Starts a fleet with one job of four tasks that save checkpoints.
local function start_job(options)
  start_fleet{execs = 6}
  options.id, options.steps = id(1), {{tasks = 4, ms = 9000, cpu = 9000,
                                       gang = options.gang}}
  job(options)
  submit(0, id(1))
  run(options.for_ms or 2500)
end

-- Crashes n executors that run tasks, one after the other.
local function crash(n)
  for e = 0, 5 do
    if n > 0 and running(e) > 0 then
      exec(e, "crash")
      run(400)
      exec(e, "reboot")
      run(3000)
      n = n - 1
    end
  end
end

-- Lets the job end.  Return: number of its starts that carried a checkpoint.
local function finish()
  run(25000)
  expect(state(leader(), id(1)) == "completed", "the job is not completed")
  return resumed(id(1))
end

for _, bytes in ipairs{1, 63, 64, 100, 300, 4000, 4096, 4097, 65536} do
  local variant = " of " .. bytes .. " bytes"

  scenario("tasks resume from checkpoints" .. variant, function()
    start_job{checkpoint_bytes = bytes}
    crash(2)
    expect(finish() >= 2, "not all tasks have resumed")
  end)

  scenario("a gang resumes from checkpoints" .. variant, function()
    start_job{checkpoint_bytes = bytes, gang = true}
    crash(1)
    expect(finish() >= 4, "the gang has not resumed")
  end)

  scenario("tasks resume from checkpoints" .. variant
           .. " after a change of the leader", function()
    start_job{checkpoint_bytes = bytes}
    kill_leader()
    run(4000)
    crash(1)
    expect(finish() >= 1, "no task has resumed")
  end)
end

scenario("tasks start anew if their checkpoints are too long", function()
  start_job{checkpoint_bytes = 65537}
  crash(2)
  expect(finish() == 0, "a start carried a checkpoint that cannot be held")
end)

for _, gang in ipairs{false, true} do
  scenario("tasks resume from the checkpoint before one that cannot be held, "
           .. "gang " .. tostring(gang), function()
    start_job{checkpoint_bytes = 100, odd_checkpoints = 1, gang = gang,
              for_ms = 5000}
    crash(1)
    expect(finish() >= 1, "no task has resumed")
  end)
end
