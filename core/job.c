#include "job.h"

#include "order.h"

#include <stdio.h>
#include <string.h>

enum
{
  DAY_MS = 86400000,
  MEM_MB_MAX = 1 << 30,
  MILLICORES_MAX = 1 << 30,
  ACCELS_MAX = 1 << 20,
  /* Upper bounds of the size of a progress record, in bytes: of its fields
     outside of the steps, and of what a step, a task, a failed run and a crash
     add to it. */
  PROGRESS_HEAD_BYTES = 128,
  PROGRESS_STEP_BYTES = 32,
  PROGRESS_TASK_BYTES = 144,
  PROGRESS_FAILED_BYTES = 24,
  PROGRESS_CRASH_BYTES = CLB_ADDR_MAX + 64,
};

const char *const job_state_names[]
    = { "pending", "running", "completed", "failed", "cancelled", NULL };

static const struct fld need_fields[] = {
  FLD_INT (struct job_need, millicores, 0, MILLICORES_MAX),
  FLD_INT (struct job_need, mem_mb, 0, MEM_MB_MAX),
  FLD_INT (struct job_need, accels, 0, ACCELS_MAX),
};
static DESC (need_desc, struct job_need, need_fields);

static const struct fld step_fields[] = {
  FLD_INT (struct job_step, tasks, 0, JOB_STEP_TASKS_MAX),
  FLD_STRUCT (struct job_step, need, &need_desc),
  FLD_INT (struct job_step, estimate_ms, 0, DAY_MS),
  FLD_SET_AS ("after", struct job_step, after),
  FLD_FLAG (struct job_step, gang),
  FLD_FLAG (struct job_step, same_rack),
  FLD_FLAG (struct job_step, checkpoints),
  FLD_FLAG (struct job_step, duplicates),
  FLD_FLAG_AS ("fills", struct job_step, best_effort_cpu),
  FLD_FLAG_AS ("lasting", struct job_step, persistent),
  FLD_INT (struct job_step, max_per_exec, 0, JOB_STEP_TASKS_MAX),
  FLD_INT (struct job_step, target_ms, 0, DAY_MS),
  FLD_INT_AS ("away_max", struct job_step, max_unavailable, 0,
              JOB_STEP_TASKS_MAX),
  FLD_CHARS (struct job_step, label, false),
  FLD_CHARS (struct job_step, data_rack, false),
  FLD_CHARS (struct job_step, image, false),
};
DESC (job_step_desc, struct job_step, step_fields);

static const struct fld advice_fields[] = {
  FLD_REAL_AS ("base_ms", struct job_advice, base_ms, 0, DAY_MS),
  FLD_REAL_AS ("each_ms", struct job_advice, per_exec_ms, 0, DAY_MS),
  FLD_INT (struct job_advice, valid_ms, 0, DAY_MS),
};
static DESC (advice_desc, struct job_advice, advice_fields);

static const struct fld spec_fields[] = {
  FLD_CHARS (struct job_spec, id, true),
  FLD_CHARS (struct job_spec, queue, true),
  FLD_CHARS (struct job_spec, tenant, false),
  FLD_CHARS (struct job_spec, service, true),
  FLD_INT (struct job_spec, priority, 0, INT32_MAX),
  FLD_INT (struct job_spec, attempts, 0, INT32_MAX),
  FLD_REAL_AS ("slack", struct job_spec, slack, 0, DAY_MS),
  FLD_INT (struct job_spec, target_ms, 0, DAY_MS),
  FLD_STRUCT (struct job_spec, advice, &advice_desc),
  FLD_INT (struct job_spec, accepted_ms, 0, INT64_MAX),
  FLD_STRING_AS ("text", struct job_spec, payload, JOB_PAYLOAD_MAX),
  FLD_ARRAY (struct job_spec, steps, n_steps, &job_step_desc, JOB_STEPS_MAX),
};
DESC (job_spec_desc, struct job_spec, spec_fields);

static const struct fld run_fields[] = {
  FLD_INT_AS ("no", struct job_run, id, 0, INT64_MAX),
};
static DESC (run_desc, struct job_run, run_fields);

static const struct fld crash_fields[] = {
  FLD_INT_AS ("no", struct job_crash, run_id, 0, INT64_MAX),
  FLD_CHARS (struct job_crash, addr, false),
  FLD_FLAG (struct job_crash, unconfirmed),
};
static DESC (crash_desc, struct job_crash, crash_fields);

static const struct fld end_fields[] = {
  FLD_INT_AS ("no", struct job_end, run_id, 0, JOB_RUN_ID_MAX),
  FLD_NAMED (struct job_end, how, run_end_names),
};
static DESC (end_desc, struct job_end, end_fields);

static const struct fld task_progress_fields[] = {
  FLD_INT (struct job_task_progress, index, 0, JOB_STEP_TASKS_MAX),
  FLD_FLAG (struct job_task_progress, done),
  FLD_INT_AS ("stopping", struct job_task_progress, stopping_run_id, 0,
              INT64_MAX),
  FLD_ARRAY (struct job_task_progress, failed, n_failed, &run_desc,
             JOB_FAILURES_MAX),
  FLD_ARRAY (struct job_task_progress, crashes, n_crashes, &crash_desc,
             JOB_CRASHES_ANY_MAX),
  FLD_ARRAY (struct job_task_progress, lost, n_lost, &end_desc, 1),
};
static DESC (task_progress_desc, struct job_task_progress,
             task_progress_fields);

static const struct fld step_progress_fields[] = {
  FLD_INT (struct job_step_progress, step, 0, JOB_STEPS_MAX),
  FLD_ARRAY_AS ("marks", struct job_step_progress, tasks, n_tasks,
                &task_progress_desc, JOB_STEP_TASKS_MAX),
};
static DESC (step_progress_desc, struct job_step_progress,
             step_progress_fields);

static const struct fld progress_fields[] = {
  FLD_NAMED (struct job_progress, state, job_state_names),
  FLD_FLAG (struct job_progress, runs_left),
  FLD_ARRAY (struct job_progress, steps, n_steps, &step_progress_desc,
             JOB_STEPS_MAX),
};
DESC (job_progress_desc, struct job_progress, progress_fields);

bool
job_id_ok (const char *id)
{
  return strlen (id) == JOB_ID_SIZE - 1
         && strspn (id, "0123456789abcdefABCDEF") == JOB_ID_SIZE - 1;
}

/* Sets @ce to the error @err in a field of step @step, and returns @err. */
static int
refuse (struct codec_err *ce, int err, size_t step, const char *field)
{
  ce->err = err;
  snprintf (ce->path, sizeof ce->path, "steps[%zu].%s", step, field);
  return err;
}

static int
check_step (const struct job_spec *spec, size_t i, struct codec_err *ce)
{
  const struct job_step *s = &spec->steps[i];

  if (s->tasks < 1)
    return refuse (ce, CLB_ERANGE, i, "tasks");
  if (i < 64 && s->after >> i)
    return refuse (ce, CLB_EREF, i, "after");
  if (s->persistent || s->target_ms)
    return refuse (ce, CLB_EFIELD, i, "lasting (not supported)");
  return 0;
}

int
job_check (const struct job_spec *spec, struct codec_err *ce)
{
  int64_t n_tasks = 0;

  if (spec->n_steps == 0)
    {
      ce->err = CLB_ERANGE;
      clb_copy (ce->path, "steps", sizeof ce->path);
      return CLB_ERANGE;
    }
  if (spec->repeat)
    {
      ce->err = CLB_EFIELD;
      clb_copy (ce->path, "repeat (not supported)", sizeof ce->path);
      return CLB_EFIELD;
    }
  for (size_t i = 0; i < spec->n_steps; i++)
    {
      int err = check_step (spec, i, ce);
      if (err)
        return err;
      n_tasks += spec->steps[i].tasks;
    }
  if (n_tasks > JOB_TOTAL_TASKS_MAX)
    return refuse (ce, CLB_ETOOBIG, 0, "tasks");
  return 0;
}

int
job_tasks_per_row (const struct job_spec *spec, int64_t row_bytes)
{
  int64_t n_failed
      = spec->attempts < JOB_FAILURES_MAX ? spec->attempts : JOB_FAILURES_MAX;
  int64_t task_bytes = PROGRESS_TASK_BYTES + n_failed * PROGRESS_FAILED_BYTES
                       + JOB_CRASHES_ANY_MAX * PROGRESS_CRASH_BYTES;
  int64_t n = (row_bytes - PROGRESS_HEAD_BYTES
               - (int64_t)spec->n_steps * PROGRESS_STEP_BYTES)
              / task_bytes;

  if (n < 0)
    return 0;
  return n < JOB_TOTAL_TASKS_MAX ? (int)n : JOB_TOTAL_TASKS_MAX;
}

int64_t
job_critical_path_ms (const struct job_spec *spec, const int64_t *step_ms)
{
  int64_t end_ms[JOB_STEPS_MAX] = { 0 };
  int64_t longest_ms = 0;

  for (size_t i = 0; i < spec->n_steps && i < JOB_STEPS_MAX; i++)
    {
      int64_t begin_ms = 0;
      for (size_t j = 0; j < i; j++)
        if (spec->steps[i].after >> j & 1 && end_ms[j] > begin_ms)
          begin_ms = end_ms[j];
      end_ms[i] = begin_ms + step_ms[i];
      if (end_ms[i] > longest_ms)
        longest_ms = end_ms[i];
    }
  return longest_ms;
}
