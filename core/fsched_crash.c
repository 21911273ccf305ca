/*
 * Tasks that crash executors.  An executor that crashes loses all its runs and
 * reports no end of them, so that such a task would use up none of its
 * attempts.  The scheduler counts the crashes under each task instead.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

bool
crash_is_counted (const struct jtask *t, int64_t run_id)
{
  for (int i = 0; i < t->n_crashes; i++)
    if (t->crashes[i].run_id == run_id)
      return true;
  return false;
}

bool
crash_add (struct jstep *s, int index, const struct job_crash *crash)
{
  struct jtask *t = &s->tasks[index];

  if (crash_is_counted (t, crash->run_id)
      || t->n_crashes == JOB_CRASHES_ANY_MAX)
    return false;
  t->crashes
      = realloc (t->crashes, (size_t)(t->n_crashes + 1) * sizeof *t->crashes);
  if (!t->crashes)
    abort ();
  t->crashes[t->n_crashes++] = *crash;
  s->n_crashes++;
  return true;
}

/* Returns whether the crashes under a task are so many that its job fails. */
static bool
too_many_crashes (const struct jtask *t)
{
  int n_confirmed = 0;

  for (int i = 0; i < t->n_crashes; i++)
    n_confirmed += !t->crashes[i].unconfirmed;
  return t->n_crashes >= JOB_CRASHES_ANY_MAX || n_confirmed >= JOB_CRASHES_MAX;
}

bool
crash_happened_on (const struct jstep *s, const struct exec *e)
{
  for (int i = 0; i < s->n_tasks && s->n_crashes; i++)
    for (int k = 0; k < s->tasks[i].n_crashes; k++)
      if (strcmp (s->tasks[i].crashes[k].addr, e->rep.addr) == 0)
        return true;
  return false;
}

/* Fills @to with what identifies the run of @r. */
static void
lost_run_init (struct lost_run *to, const struct start *r)
{
  clb_copy (to->task.job, r->job->spec.id, sizeof to->task.job);
  to->task.step = r->step;
  to->task.index = r->index;
  to->run_id = r->run_id;
  to->boot_start_ms = r->boot_start_ms;
  to->unconfirmed = !r->start_acked_ms;
  to->sent_wall_ms = r->sent_wall_ms;
}

/* Counts a crash of executor @e under a run, unless the executor drained: it
   has then left as announced.
   @next_boot_ms: start of the boot that followed; 0: unknown.  A start without
   an answer that was sent after it is no evidence of a crash under the run. */
static void
count_lost_run (struct fsched *fs, const struct exec *e,
                const struct lost_run *l, int64_t next_boot_ms)
{
  struct job *j = fsched_task_job (fs, &l->task);
  struct job_crash crash
      = { .run_id = l->run_id, .unconfirmed = l->unconfirmed };
  struct jstep *s;
  struct jtask *t;

  if (!j || job_state_final (j->state)
      || (l->unconfirmed && next_boot_ms && next_boot_ms < l->sent_wall_ms)
      || (l->boot_start_ms && l->boot_start_ms == e->drained_boot_ms))
    return;
  s = &j->steps[l->task.step];
  t = &s->tasks[l->task.index];
  clb_copy (crash.addr, e->rep.addr, sizeof crash.addr);
  if (t->done || !crash_add (s, (int)l->task.index, &crash))
    return;
  progress_mark_task (fs, j, (int)l->task.step, (int)l->task.index);
  fs->stats->crashes++;
  out_line (fs->out,
            "event=crash job=%s step=%lld task=%lld run=%lld exec=%s "
            "crashes=%d confirmed=%d boot=%lld new_boot=%lld",
            l->task.job, (long long)l->task.step, (long long)l->task.index,
            (long long)l->run_id, e->rep.id, t->n_crashes, !l->unconfirmed,
            (long long)l->boot_start_ms, (long long)e->boot_start_ms);
  if (too_many_crashes (t))
    fsched_end_job (fs, j, JOB_FAILED, "crashes-executors");
}

void
crash_count (struct fsched *fs, const struct start *r)
{
  struct lost_run l = { 0 };

  lost_run_init (&l, r);
  count_lost_run (fs, r->exec, &l,
                  boot_has_changed (r->exec, l.boot_start_ms)
                      ? r->exec->boot_start_ms
                      : 0);
}

void
crash_add_lapsed (struct fsched *fs, const struct start *r)
{
  struct lost_run *l = fsched_zalloc (1, sizeof *l);

  lost_run_init (l, r);
  TAILQ_INSERT_TAIL (&r->exec->lapsed, l, link);
  fs->n_lapsed++;
}

static void
free_lapsed (struct fsched *fs, struct exec *e, struct lost_run *l)
{
  TAILQ_REMOVE (&e->lapsed, l, link);
  free (l);
  fs->n_lapsed--;
}

void
crash_free_lapsed (struct fsched *fs, struct exec *e)
{
  struct lost_run *l;

  while ((l = TAILQ_FIRST (&e->lapsed)))
    free_lapsed (fs, e, l);
}

/* Returns whether @t and @run_id identify the run @l. */
static bool
is_run (const struct lost_run *l, const struct task_ref *t, int64_t run_id)
{
  return l->run_id == run_id && l->task.step == t->step
         && l->task.index == t->index && strcmp (l->task.job, t->job) == 0;
}

/* Returns whether the answer to a poll lists the run as running or ended. */
static bool
is_listed (const struct lost_run *l, const struct order_result *res)
{
  for (size_t i = 0; i < res->n_runs; i++)
    if (is_run (l, &res->runs[i].task, res->runs[i].run_id))
      return true;
  for (size_t i = 0; i < res->n_ends; i++)
    if (is_run (l, &res->ends[i].task, res->ends[i].run_id))
      return true;
  return false;
}

void
crash_check_lapsed (struct fsched *fs, struct exec *e,
                    const struct order_result *res)
{
  struct lost_run *l, *next;

  TAILQ_FOREACH_SAFE (l, &e->lapsed, link, next)
    {
      bool listed = is_listed (l, res);
      /* The other ends may tell of the run. */
      if (!listed && res->ends_left)
        continue;
      if (!listed && boot_has_changed (e, l->boot_start_ms))
        count_lost_run (fs, e, l, e->boot_start_ms);
      free_lapsed (fs, e, l);
    }
}

void
crash_exec_replaced (struct fsched *fs, const struct exec *successor)
{
  struct exec *e;
  const struct lost_run *l;

  if (!fs->n_lapsed)
    return;
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      if (e == successor || TAILQ_EMPTY (&e->lapsed)
          || strcmp (e->rep.addr, successor->rep.addr) != 0)
        continue;
      TAILQ_FOREACH (l, &e->lapsed, link)
        count_lost_run (fs, e, l, successor->rep.boot_start_ms);
      crash_free_lapsed (fs, e);
    }
}
