/*
 * Tasks that crash executors.  An executor that crashes loses all its runs and
 * reports no end of them, so that such a task would use up none of its
 * attempts.  The scheduler counts the crashes under each task instead.
 */
#include "fsched_impl.h"

#include <stdlib.h>

bool
crash_is_counted (const struct jtask *t, int64_t run_id)
{
  for (int i = 0; i < t->n_crashes; i++)
    if (t->crashes[i].run_id == run_id)
      return true;
  return false;
}

bool
crash_add (struct jtask *t, int64_t run_id, const char *exec)
{
  if (crash_is_counted (t, run_id) || t->n_crashes == JOB_CRASHES_MAX)
    return false;
  t->crashes
      = realloc (t->crashes, (size_t)(t->n_crashes + 1) * sizeof *t->crashes);
  if (!t->crashes)
    abort ();
  t->crashes[t->n_crashes] = (struct job_crash){ .run_id = run_id };
  clb_copy (t->crashes[t->n_crashes].exec, exec,
            sizeof t->crashes[t->n_crashes].exec);
  t->n_crashes++;
  return true;
}

void
crash_count (struct fsched *fs, struct job *j, int step, int index,
             int64_t run_id, const struct exec *e)
{
  struct jtask *t = &j->steps[step].tasks[index];

  if (job_state_final (j->state) || t->done
      || !crash_add (t, run_id, e->rep.id))
    return;
  fsched_mark_dirty (fs, j);
  fs->stats->crashes++;
  out_line (fs->out,
            "event=crash job=%s step=%d task=%d run=%lld exec=%s crashes=%d",
            j->spec.id, step, index, (long long)run_id, e->rep.id,
            t->n_crashes);
  if (t->n_crashes == JOB_CRASHES_MAX)
    fsched_end_job (fs, j, JOB_FAILED, "crashes-executors");
}

void
crash_add_lapsed (struct exec *e, const struct start *r)
{
  struct lapsed_run *l = fsched_zalloc (1, sizeof *l);

  clb_copy (l->task.job, r->job->spec.id, sizeof l->task.job);
  l->task.step = r->step;
  l->task.index = r->index;
  l->run_id = r->run_id;
  l->boot_start_ms = r->boot_start_ms;
  TAILQ_INSERT_TAIL (&e->lapsed, l, link);
}

void
crash_check_lapsed (struct fsched *fs, struct exec *e)
{
  const struct lapsed_run *l;

  TAILQ_FOREACH (l, &e->lapsed, link)
    {
      struct job *j = fsched_task_job (fs, &l->task);
      if (j && exec_has_new_boot (e, l->boot_start_ms))
        crash_count (fs, j, (int)l->task.step, (int)l->task.index, l->run_id,
                     e);
    }
  crash_free_lapsed (e);
}

void
crash_free_lapsed (struct exec *e)
{
  struct lapsed_run *l;

  while ((l = TAILQ_FIRST (&e->lapsed)))
    {
      TAILQ_REMOVE (&e->lapsed, l, link);
      free (l);
    }
}
