/*
 * Lists of the runs that an executor runs or that have ended there, as its
 * answers to polls state them.
 */
#include "fsched_impl.h"

#include <string.h>

enum
{
  /* A stop order is sent again if the run is still listed this long after the
     executor acknowledged the stop. */
  STOP_RESEND_MS = 2000,
};

/* Returns the start on the executor with this task and run id, or NULL. */
static struct start *
find_run (const struct fsched *fs, const struct exec *e,
          const struct task_ref *t, int64_t run_id)
{
  const struct job *j = fsched_task_job (fs, t);
  struct start *r = j ? j->steps[t->step].tasks[t->index].run : NULL;

  return r && r->exec == e && r->run_id == run_id ? r : NULL;
}

/* Holds back the acknowledgement of an end while a copy of a start of its task
   may be carried out. */
static void
hold_ends_of_task (const struct fsched *fs, struct exec *e,
                   const struct job *j, const struct task_ref *task)
{
  const struct jtask *t = &j->steps[task->step].tasks[task->index];

  if (t->copies_until_ms > fs->now_ms
      && t->copies_until_ms > e->copies_until_ms)
    e->copies_until_ms = t->copies_until_ms;
}

/* Processes an ended run that an executor reports. */
static void
process_end_row (struct fsched *fs, struct exec *e, const struct end_row *row)
{
  struct start *r = find_run (fs, e, &row->task, row->run_id);
  struct job *j = fsched_task_job (fs, &row->task);

  if (row->seq <= e->seen_end_seq)
    return;
  e->seen_end_seq = row->seq;
  fs->record_due = true;
  if (j)
    start_mark_job_started (j);
  if (r)
    {
      start_settle (r);
      resume_report (fs, j, &row->task, row->run_id, &row->checkpoint);
      start_end (fs, r, row->run_end);
    }
  else if (j)
    {
      out_line (fs->out,
                "event=end-found job=%s step=%lld task=%lld run=%lld "
                "exec=%s result=%s saved_bytes=%zu",
                row->task.job, (long long)row->task.step,
                (long long)row->task.index, (long long)row->run_id, e->rep.id,
                run_end_names[row->run_end], row->checkpoint.len);
      hold_ends_of_task (fs, e, j, &row->task);
      resume_report (fs, j, &row->task, row->run_id, &row->checkpoint);
      fsched_task_ended (fs, j, (int)row->task.step, (int)row->task.index,
                         row->run_id, row->run_end);
    }
}

/* Returns why a run that an executor reports is an orphan, for the log. */
static const char *
orphan_reason (const struct fsched *fs, const struct run_row *row)
{
  return fsched_task_job (fs, &row->task) ? "other-run" : "job-unknown";
}

/* Sends a stop order for an orphan, see exec::n_orphans. */
static void
stop_orphan (struct fsched *fs, struct exec *e, const struct run_row *row)
{
  struct pending_order *pend;
  struct order *o = fsched_order_new (fs, ORDER_STOP, e, &pend);

  o->task = row->task;
  o->run_id = row->run_id;
  fs->stats->stops++;
  out_line (fs->out,
            "event=stop-orphan job=%s step=%lld task=%lld run=%lld "
            "exec=%s why=%s",
            row->task.job, (long long)row->task.step,
            (long long)row->task.index, (long long)row->run_id, e->rep.id,
            orphan_reason (fs, row));
}

/* Returns whether a member of a gang has another run than @run_id. */
static bool
gang_has_other_run (const struct job *j, int64_t step, int64_t run_id)
{
  const struct jstep *s = &j->steps[step];

  for (int i = 0; j->spec.steps[step].gang && i < s->n_tasks; i++)
    if (s->tasks[i].run && s->tasks[i].run->run_id != run_id)
      return true;
  return false;
}

/*
 * Creates a start for a run that an earlier leader started, and stops the run
 * if its job has ended, its task is done, or the gang that it is a member of
 * has other runs.  Returns NULL if the run is an
 * orphan: its job is unknown, or its task has another run.
 */
static struct start *
adopt_run (struct fsched *fs, struct exec *e, const struct run_row *row)
{
  struct job *j = fsched_task_job (fs, &row->task);
  struct jtask *t;
  struct start *r;

  if (!j)
    return NULL;
  t = &j->steps[row->task.step].tasks[row->task.index];
  if (t->run)
    {
      if (t->run->state == START_INTENT)
        start_stop (fs, t->run);
      return NULL;
    }
  out_line (fs->out,
            "event=run-adopted job=%s step=%lld task=%lld run=%lld "
            "exec=%s percent=%lld boot=%lld",
            row->task.job, (long long)row->task.step,
            (long long)row->task.index, (long long)row->run_id, e->rep.id,
            (long long)row->percent, (long long)e->boot_start_ms);
  r = start_new (fs, j, (int)row->task.step, (int)row->task.index, e,
                 row->run_id, START_ACKED);
  intent_add (fs, r);
  start_revoke_end (fs, r);
  if (t->done || job_state_final (j->state)
      || gang_has_other_run (j, row->task.step, row->run_id))
    start_stop (fs, r);
  return r;
}

/* Notes that the executor's list shows an orphan. */
static void
note_orphan (const struct fsched *fs, struct exec *e,
             const struct run_row *row)
{
  struct job *j = fsched_task_job (fs, &row->task);
  struct jtask *t;

  e->n_orphans++;
  if (!j)
    return;
  t = &j->steps[row->task.step].tasks[row->task.index];
  t->orphan_exec = e;
  t->orphan_run_id = row->run_id;
  t->orphan_poll_id = e->list_poll_id;
}

/* Processes a running task that an executor reports. */
static void
process_run_row (struct fsched *fs, struct exec *e, const struct run_row *row)
{
  struct start *r = find_run (fs, e, &row->task, row->run_id);

  if (!r)
    r = adopt_run (fs, e, row);
  if (!r)
    {
      note_orphan (fs, e, row);
      if (fs->now_ms >= e->next_orphan_stop_ms)
        stop_orphan (fs, e, row);
      return;
    }
  start_log_confirmed (fs, r, "list");
  start_settle (r);
  r->in_list = true;
  r->inherited = false;
  if (e->boot_start_ms)
    r->boot_start_ms = e->boot_start_ms;
  intent_set_boot (r);
  start_mark_job_started (r->job);
  if (!r->start_acked_ms)
    r->start_acked_ms = fs->now_ms;
  if (r->state == START_SENT || r->state == START_UNCONFIRMED)
    {
      r->state = START_ACKED;
      start_count_unanswered (r);
    }
  if (r->percent != row->percent)
    r->percent_changed_ms = fs->now_ms;
  r->percent = row->percent;
  if (r->state == START_ACKED)
    start_drop_resume (r);
  resume_report (fs, r->job, &row->task, row->run_id, &row->checkpoint);
}

void
lists_adopt_orphan (struct fsched *fs, struct job *j, int step, int index)
{
  struct jtask *t = &j->steps[step].tasks[index];
  struct exec *e = t->orphan_exec;
  struct run_row row = { .task = { .step = step, .index = index },
                         .run_id = t->orphan_run_id };

  if (!e || t->orphan_poll_id != e->list_poll_id || t->run || t->done
      || job_state_final (j->state))
    return;
  t->orphan_exec = NULL;
  clb_copy (row.task.job, j->spec.id, sizeof row.task.job);
  process_run_row (fs, e, &row);
}

/* Returns whether the executor refuses the start orders for a run from the
   reading @clock_ms of its clock on, as their deadline has passed. */
static bool
start_refused_since (const struct start *r, int64_t clock_ms)
{
  return r->deadline_ms && clock_ms - FSCHED_CLOCK_MARGIN_MS > r->deadline_ms;
}

/* Returns whether start orders for @r may still be carried out by the boot
   that answered the poll @p: they are neither settled nor fenced off by the
   poll. */
static bool
start_may_arrive (const struct start *r, const struct pending_order *p)
{
  return r->tries > r->n_settled && r->fencing_token >= p->fencing_token;
}

/* Processes a start whose run the boot that answered the poll @p neither runs
   nor has ended, and which cannot be carried out there any more. */
static void
end_missing_run (struct fsched *fs, struct exec *e, struct start *r)
{
  bool new_boot = boot_has_changed (e, r->boot_start_ms);

  /* A start without an answer may have been carried out by the boot before. */
  if (new_boot && (r->start_acked_ms || r->tries > r->n_settled))
    start_end (fs, r, RUN_END_REBOOTED);
  else if (!r->start_acked_ms || r->stop_acked_ms)
    start_end (fs, r, RUN_END_NOT_STARTED);
  else
    start_stop (fs, r);
}

/* Processes a start whose run is in neither list that the executor returned
   for the poll @p; the lists are complete.  They do not show the effect of
   orders that were sent, or answered, after the poll. */
static void
process_missing_run (struct fsched *fs, struct exec *e, struct start *r,
                     const struct pending_order *p,
                     const struct order_result *res)
{
  /* The run may be in a row that cannot be used, so it is stopped by name. */
  if (r->inherited && res->n_bad_rows
      && (!r->stop_acked_ms || r->stop_acked_ms > p->sent_ms))
    {
      start_stop (fs, r);
      return;
    }
  /* The start is an earlier leader's.  Its run is not running and cannot start
     any more: the poll made this leader's fencing token known to the executor,
     which refuses orders with lower ones. */
  if (r->inherited)
    start_end (fs, r,
               boot_has_changed (e, r->boot_start_ms) ? RUN_END_REBOOTED
                                                      : RUN_END_NOT_STARTED);
  else if (r->state == START_INTENT || r->state == START_DROPPED
           || r->start_acked_ms >= p->sent_ms || r->stop_acked_ms > p->sent_ms)
    return;
  else if (!start_may_arrive (r, p))
    end_missing_run (fs, e, r);
  /* The next poll has a higher fencing token than the start. */
  else if (r->fencing_token < exec_token (fs, e))
    return;
  else if (r->state == START_STOPPING
           && (r->stop_acked_ms || start_refused_since (r, res->clock_ms)))
    end_missing_run (fs, e, r);
  else if (r->state == START_ACKED)
    start_stop (fs, r);
  else if (r->state == START_UNCONFIRMED && r->answer_lost_ms <= p->sent_ms)
    start_try_again (fs, r);
}

/* Keeps whether the executor has more ended runs than its last answer lists.
   Meanwhile, a run that is missing in the answer keeps its room, and its task
   is not started elsewhere. */
static void
set_ends_left (struct fsched *fs, struct exec *e,
               const struct order_result *res)
{
  if (res->ends_left != e->ends_left)
    out_line (fs->out, "event=exec-ends-%s exec=%s ends=%zu runs=%zu seq=%lld",
              res->ends_left ? "left" : "complete", e->rep.id, res->n_ends,
              res->n_runs, (long long)e->seen_end_seq);
  e->ends_left = res->ends_left;
  fs->stats->polls_incomplete += res->ends_left;
}

/* Finds the first end in a poll's answer that must not be acknowledged, as the
   job is set aside.  The answer lists all ends that were not acknowledged. */
static void
hold_ends (struct fsched *fs, struct exec *e, const struct order_result *res)
{
  e->held_end_seq = 0;
  for (size_t i = 0; fs->n_set_aside && i < res->n_ends; i++)
    {
      const struct job *j = fsched_task_job (fs, &res->ends[i].task);
      if (j && j->set_aside)
        {
          e->held_end_seq = res->ends[i].seq;
          return;
        }
    }
}

/* Processes the rows of running tasks in a poll's answer: those of known runs,
   or the others. */
static void
process_run_rows (struct fsched *fs, struct exec *e,
                  const struct order_result *res, bool known)
{
  for (size_t i = 0; i < res->n_runs; i++)
    {
      const struct run_row *row = &res->runs[i];
      if ((find_run (fs, e, &row->task, row->run_id) != NULL) == known)
        process_run_row (fs, e, row);
    }
}

/* Sends stops again for runs that are still listed long after a stop was
   acknowledged. */
static void
resend_stops (const struct fsched *fs, struct exec *e)
{
  struct start *r;

  TAILQ_FOREACH (r, &e->runs, exec_link)
    if (r->in_list && r->stop_acked_ms
        && fs->now_ms - r->stop_acked_ms > STOP_RESEND_MS)
      {
        out_line (fs->out,
                  "event=stop-ineffective job=%s step=%d task=%d run=%lld "
                  "exec=%s stops=%d since_ms=%lld",
                  r->job->spec.id, r->step, r->index, (long long)r->run_id,
                  e->rep.id, r->n_stops,
                  (long long)(fs->now_ms - r->stopping_ms));
        r->stop_acked_ms = 0;
        e->due_ms = 0;
      }
}

void
lists_process (struct fsched *fs, struct exec *e,
               const struct pending_order *p, const struct order_result *res)
{
  struct start *r, *next;
  int orphans_before = e->n_orphans;

  e->list_poll_id = p->id;
  TAILQ_FOREACH (r, &e->runs, exec_link)
    r->in_list = false;
  for (size_t i = 0; i < res->n_ends; i++)
    process_end_row (fs, e, &res->ends[i]);
  hold_ends (fs, e, res);
  process_run_rows (fs, e, res, true);
  set_ends_left (fs, e, res);
  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    if (!r->in_list && !e->ends_left)
      process_missing_run (fs, e, r, p, res);
  /* A task of which this ends the run may have another one here. */
  e->n_orphans = 0;
  process_run_rows (fs, e, res, false);
  if (e->n_orphans && fs->now_ms >= e->next_orphan_stop_ms)
    e->next_orphan_stop_ms = fs->now_ms + FSCHED_STOP_RETRY_MS;
  if (orphans_before && !e->n_orphans)
    fs->pass_due = true;
  resend_stops (fs, e);
}
