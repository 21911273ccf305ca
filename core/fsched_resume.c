/*
 * The checkpoints of tasks.  A task holds the latest one that an executor has
 * reported of it; the starts of the task share it.  The one of any member of a
 * gang is valid for all, and all must resume from the same: it is held with
 * the first task.
 */
#include "fsched_impl.h"

/* Returns the bytes of a checkpoint that count towards
   CHECKPOINT_LARGE_TOTAL_BYTES. */
static size_t
large_bytes (size_t len)
{
  return len > CHECKPOINT_SMALL_BYTES_MAX ? len : 0;
}

static size_t
held_len (const struct jtask *t)
{
  return t->checkpoint ? t->checkpoint->len : 0;
}

/* Returns the task that holds the checkpoint of task @index of a step. */
static struct jtask *
holder (const struct job *j, int64_t step, int64_t index)
{
  return &j->steps[step].tasks[j->spec.steps[step].gang ? 0 : index];
}

struct checkpoint *
resume_point (const struct job *j, int step, int index)
{
  return holder (j, step, index)->checkpoint;
}

/* Returns why a checkpoint that is reported for a task cannot be held, for the
   log; NULL if it can be. */
static const char *
refusal (const struct fsched *fs, const struct jtask *t,
         const struct checkpoint_view *v)
{
  if (v->unusable)
    return "invalid";
  if (v->len > CHECKPOINT_BYTES_MAX)
    return "too-long";
  if (fs->large_checkpoint_bytes - large_bytes (held_len (t))
          + large_bytes (v->len)
      > CHECKPOINT_LARGE_TOTAL_BYTES)
    return "no-memory";
  return NULL;
}

/* Replaces the checkpoint that a task holds by @c, whose reference it takes
   over. */
static void
replace (struct fsched *fs, struct jtask *t, struct checkpoint *c)
{
  fs->checkpoint_bytes -= held_len (t);
  fs->large_checkpoint_bytes -= large_bytes (held_len (t));
  checkpoint_unref (t->checkpoint);
  t->checkpoint = c;
  fs->checkpoint_bytes += held_len (t);
  fs->large_checkpoint_bytes += large_bytes (held_len (t));
}

void
resume_report (struct fsched *fs, struct job *j, const struct task_ref *ref,
               int64_t run_id, const struct checkpoint_view *v)
{
  struct jtask *t = holder (j, ref->step, ref->index);
  const char *why;

  if ((!v->len && !v->unusable) || t->done || job_state_final (j->state)
      || run_id < t->checkpoint_run_id)
    return;
  if (checkpoint_equals (t->checkpoint, v))
    {
      t->checkpoint_run_id = (int32_t)run_id;
      return;
    }
  why = refusal (fs, t, v);
  if (!why)
    {
      replace (fs, t, checkpoint_new (v));
      t->checkpoint_run_id = (int32_t)run_id;
      return;
    }
  if (t->checkpoint_refused)
    return;
  t->checkpoint_refused = true;
  fs->stats->checkpoints_refused++;
  out_line (fs->out,
            "event=checkpoint-refused job=%s step=%lld task=%lld run=%lld "
            "why=%s len=%zu held_len=%zu held_total=%zu",
            j->spec.id, (long long)ref->step, (long long)ref->index,
            (long long)run_id, why, v->len, held_len (t),
            fs->checkpoint_bytes);
}

void
resume_drop (struct fsched *fs, struct jtask *t)
{
  replace (fs, t, NULL);
}

void
resume_drop_job (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    for (int k = 0; k < j->steps[i].n_tasks; k++)
      resume_drop (fs, &j->steps[i].tasks[k]);
}
