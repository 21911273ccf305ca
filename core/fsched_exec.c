/*
 * Executors: their leases, and what they say runs and has ended there.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CLOCK_RATE_LOW = 98,  /* percent: executors' clocks may be 2% slow */
  CLOCK_FALL_MS = 1500, /* more than 2% of the longest silence by far */
  STOP_AGAIN_MS = 2000, /* acknowledged, and still listed after this long */
};

int
exec_cmp (const struct exec *a, const struct exec *b)
{
  return strcmp (a->rep.id, b->rep.id);
}

RB_GENERATE (exec_tree, exec, by_id, exec_cmp)

struct exec *
exec_find (const struct fsched *c, const char *id)
{
  struct exec key;

  clb_copy (key.rep.id, id, sizeof key.rep.id);
  return RB_FIND (exec_tree, (struct exec_tree *)&c->execs_by_id, &key);
}

static struct exec *
exec_add (struct fsched *c, const char *id)
{
  struct exec *e = calloc (1, sizeof *e);

  if (!e)
    abort ();
  clb_copy (e->rep.id, id, sizeof e->rep.id);
  e->index = c->n_execs++;
  TAILQ_INIT (&e->runs);
  TAILQ_INSERT_TAIL (&c->execs, e, link);
  RB_INSERT (exec_tree, &c->execs_by_id, e);
  return e;
}

/* What ran in a boot that is over has ended with it.  A start that is not
   acknowledged may still reach the new boot. */
static void
boot_over (struct fsched *c, struct exec *e)
{
  struct start *r, *next;

  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    if (r->start_acked_ms)
      start_end (c, r, RUN_END_REBOOTED);
    else if (r->state != START_SENT)
      start_stop (c, r);
  e->seen_end_seq = 0;
  e->writing_end_seq = 0;
  e->recorded_end_seq = 0;
  e->failures_in_row = 0;
  e->quarantine_until_ms = 0;
  e->quarantine_ms = 0;
  c->pass_due = true;
}

void
fsched_exec_report (struct fsched *c, const struct exec_report *rep)
{
  struct exec *e = exec_find (c, rep->id);
  bool moved;

  if (!e)
    {
      e = exec_add (c, rep->id);
      /* Not in the roster: no earlier leader has used it. */
      e->reconciled = true;
    }
  moved = strcmp (e->rep.addr, rep->addr) != 0;
  if (!e->listed || e->rep.draining != rep->draining)
    {
      out_line (c->out, "event=exec-%s exec=%s zone=%s addr=%s",
                rep->draining ? "draining" : "listed", rep->id, rep->zone,
                rep->addr);
      c->pass_due = true;
    }
  e->rep = *rep;
  fsched_intern_exec (c, e);
  e->listed = true;
  e->in_list = true;
  if (moved)
    e->next_poll_ms = c->now_ms;
  if (!e->recorded)
    {
      c->roster_dirty = true;
      c->record_due = true;
    }
}

void
fsched_exec_unlisted (struct fsched *c, const char *id)
{
  struct exec *e = exec_find (c, id);

  if (!e || !e->listed)
    return;
  out_line (c->out, "event=exec-unlisted exec=%s", id);
  e->listed = false;
  e->unlisted_since_ms = c->now_ms;
}

void
fsched_exec_list (struct fsched *c, bool begins)
{
  struct exec *e;

  TAILQ_FOREACH (e, &c->execs, link)
    if (begins)
      e->in_list = false;
    else if (!e->in_list)
      fsched_exec_unlisted (c, e->rep.id);
}

/* Dropped for a moment while the platform was away, or gone. */
static bool
still_there (const struct fsched *c, const struct exec *e)
{
  return e->listed
         || (e->unlisted_since_ms
             && c->now_ms - e->unlisted_since_ms < FSCHED_UNLISTED_GRACE_MS);
}

void
fsched_load_roster (struct fsched *c, const char *text)
{
  clb_auto char *copy = strdup (text);
  char *save = NULL;

  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      char *addr = strchr (line, ' ');
      struct exec *e;
      if (!addr)
        continue;
      *addr++ = '\0';
      e = exec_find (c, line);
      if (!e)
        {
          e = exec_add (c, line);
          clb_copy (e->rep.addr, addr, sizeof e->rep.addr);
        }
      e->recorded = true;
      e->reconciled = false;
    }
}

int64_t
exec_clock_now (const struct fsched *c, const struct exec *e)
{
  return e->clock_ms + c->now_ms - e->last_contact_ms;
}

static bool
lease_over (const struct fsched *c, const struct exec *e)
{
  int64_t passed = c->now_ms - e->last_contact_ms - FSCHED_CLOCK_MARGIN_MS;

  return e->answered
         && e->clock_ms + passed * CLOCK_RATE_LOW / 100 > e->lease_deadline_ms;
}

static void
send_hold (struct fsched *c, struct exec *e)
{
  struct pending_order *pend;
  struct order *o = fsched_order_new (c, ORDER_POLL, e, &pend);

  pend->exec = e;
  e->poll_id = o->id;
  e->poll_sent_ms = c->now_ms;
  o->recorded_end_seq = e->recorded_end_seq;
  /* A lease that is renewed in vain would never be over. */
  if (e->answered && !e->unreachable)
    {
      o->lease_deadline_ms = exec_clock_now (c, e) + FSCHED_LEASE_MS;
      if (o->lease_deadline_ms > e->lease_deadline_ms)
        e->lease_deadline_ms = o->lease_deadline_ms;
    }
  /* Ends that are not recorded yet would be answered at once. */
  if (e->answered && !e->unreachable && e->recorded_end_seq == e->seen_end_seq)
    o->wait_ms = FSCHED_POLL_WAIT_MS;
  o->timeout_ms = o->wait_ms + FSCHED_POLL_SLACK_MS;
}

static void
lapse_all (struct fsched *c, struct exec *e)
{
  struct start *r;

  out_line (c->out, "event=lease-over exec=%s silent_ms=%lld", e->rep.id,
            (long long)(c->now_ms
                        - (e->answered ? e->last_contact_ms : c->claimed_ms)));
  while ((r = TAILQ_FIRST (&e->runs)))
    {
      c->stats->runs_lapsed++;
      start_end (c, r, RUN_END_LAPSED);
    }
}

void
exec_tick (struct fsched *c, struct exec *e)
{
  struct start *r, *next;
  bool idle = !still_there (c, e) && e->reconciled && TAILQ_EMPTY (&e->runs);

  if (!e->poll_id && !idle && c->now_ms >= e->next_poll_ms)
    send_hold (c, e);
  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    start_tick (c, r);
  if (e->unreachable && !TAILQ_EMPTY (&e->runs) && lease_over (c, e))
    lapse_all (c, e);
}

void
exec_mark_unreachable (struct fsched *c, struct exec *e)
{
  if (e->unreachable)
    return;
  e->unreachable = true;
  e->unreachable_since_ms = c->now_ms;
  out_line (c->out,
            "event=exec-unreachable exec=%s outcome=order-unanswered "
            "has_runs=1",
            e->rep.id);
}

void
exec_count_failure (struct fsched *c, struct exec *e)
{
  if (++e->failures_in_row < FSCHED_QUARANTINE_FAILURES
      || c->now_ms < e->quarantine_until_ms)
    return;
  e->quarantine_ms
      = e->quarantine_ms ? 2 * e->quarantine_ms : FSCHED_QUARANTINE_MS;
  e->quarantine_until_ms = c->now_ms + e->quarantine_ms;
  /* The first failure after the pause is enough for the next. */
  e->failures_in_row = FSCHED_QUARANTINE_FAILURES - 1;
  c->stats->quarantines++;
  out_line (c->out, "event=exec-quarantined exec=%s for_ms=%lld", e->rep.id,
            (long long)e->quarantine_ms);
}

static struct start *
find_run (const struct exec *e, const struct task_ref *t, int64_t no)
{
  struct start *r;

  TAILQ_FOREACH (r, &e->runs, exec_link)
    if (r->run_id == no && r->step == t->step && r->index == t->index
        && strcmp (r->job->spec.id, t->job) == 0)
      return r;
  return NULL;
}

static void
take_end (struct fsched *c, struct exec *e, const struct end_row *row)
{
  struct start *r = find_run (e, &row->task, row->run_id);
  struct job *j = fsched_task_job (c, &row->task);

  if (row->seq <= e->seen_end_seq)
    return;
  e->seen_end_seq = row->seq;
  c->record_due = true;
  if (r)
    {
      clb_copy (r->checkpoint, row->checkpoint, sizeof r->checkpoint);
      start_end (c, r, row->how);
    }
  else if (j)
    {
      out_line (c->out,
                "event=end-found job=%s step=%lld task=%lld run=%lld "
                "exec=%s result=%s",
                row->task.job, (long long)row->task.step,
                (long long)row->task.index, (long long)row->run_id, e->rep.id,
                run_end_names[row->how]);
      fsched_keep_checkpoint (j, (int)row->task.step, (int)row->task.index,
                              row->checkpoint);
      fsched_task_ended (c, j, (int)row->task.step, (int)row->task.index,
                         row->run_id, row->how);
    }
}

static void
stop_stray (struct fsched *c, struct exec *e, const struct run_row *row)
{
  struct pending_order *pend;
  struct order *o = fsched_order_new (c, ORDER_STOP, e, &pend);

  o->task = row->task;
  o->run_id = row->run_id;
  c->stats->stops++;
  out_line (c->out,
            "event=stop-orphan job=%s step=%lld task=%lld run=%lld "
            "exec=%s",
            row->task.job, (long long)row->task.step,
            (long long)row->task.index, (long long)row->run_id, e->rep.id);
}

/* A run that this leader has not started: an earlier one has. */
static struct start *
adopt (struct fsched *c, struct exec *e, const struct run_row *row)
{
  struct job *j = fsched_task_job (c, &row->task);
  struct jtask *t;

  if (!j || job_state_final (j->state))
    return NULL;
  t = &j->steps[row->task.step].tasks[row->task.index];
  if (t->done || t->run)
    return NULL;
  out_line (c->out,
            "event=run-adopted job=%s step=%lld task=%lld run=%lld "
            "exec=%s percent=%lld",
            row->task.job, (long long)row->task.step,
            (long long)row->task.index, (long long)row->run_id, e->rep.id,
            (long long)row->percent);
  return start_new (c, j, (int)row->task.step, (int)row->task.index, e,
                    row->run_id, START_ACKED);
}

static void
take_running (struct fsched *c, struct exec *e, const struct run_row *row)
{
  struct start *r = find_run (e, &row->task, row->run_id);

  if (!r)
    r = adopt (c, e, row);
  if (!r)
    {
      e->n_orphans++;
      if (c->now_ms >= e->next_orphan_stop_ms)
        stop_stray (c, e, row);
      return;
    }
  r->in_list = true;
  r->inherited = false;
  if (!r->start_acked_ms)
    r->start_acked_ms = c->now_ms;
  if (r->state == START_SENT || r->state == START_UNCONFIRMED)
    r->state = START_ACKED;
  if (r->percent != row->percent)
    r->percent_changed_ms = c->now_ms;
  r->percent = row->percent;
  clb_copy (r->checkpoint, row->checkpoint, sizeof r->checkpoint);
}

/* Runs that a list lacks although they were known when it was asked for. */
static void
judge_absent (struct fsched *c, struct exec *e, struct start *r)
{
  /* The list shows all that an earlier leader's orders have left there. */
  if (r->inherited)
    start_end (c, r, RUN_END_NOT_STARTED);
  else if (r->state == START_STOPPING && r->stop_acked_ms
           && r->stop_acked_ms <= e->poll_sent_ms)
    start_end (c, r, RUN_END_NOT_STARTED);
  else if (r->state == START_UNCONFIRMED
           && r->answer_lost_ms < e->poll_sent_ms)
    start_stop (c, r);
  else if (r->state == START_ACKED && r->start_acked_ms
           && r->start_acked_ms < e->poll_sent_ms)
    start_stop (c, r);
}

static void
take_lists (struct fsched *c, struct exec *e, const struct order_result *res)
{
  struct start *r, *next;
  int strays = e->n_orphans;

  TAILQ_FOREACH (r, &e->runs, exec_link)
    r->in_list = false;
  for (size_t i = 0; i < res->n_ends; i++)
    take_end (c, e, &res->ends[i]);
  e->n_orphans = 0;
  for (size_t i = 0; i < res->n_runs; i++)
    take_running (c, e, &res->runs[i]);
  if (e->n_orphans && c->now_ms >= e->next_orphan_stop_ms)
    e->next_orphan_stop_ms = c->now_ms + FSCHED_STOP_RETRY_MS;
  if (strays && !e->n_orphans)
    c->pass_due = true;
  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    if (!r->in_list)
      judge_absent (c, e, r);
    else if (r->stop_acked_ms && c->now_ms - r->stop_acked_ms > STOP_AGAIN_MS)
      r->stop_acked_ms = 0;
}

/* Its clock begins anew with each boot. */
static bool
clock_fell (const struct fsched *c, const struct exec *e, int64_t clock_ms)
{
  return e->answered && clock_ms > 0
         && clock_ms + CLOCK_FALL_MS < exec_clock_now (c, e);
}

/* All that was known of the old boot is void. */
static void
new_boot (struct fsched *c, struct exec *e, int64_t clock_ms, int64_t born_ms)
{
  out_line (c->out,
            "event=exec-rebooted exec=%s clock_ms=%lld boot_start=%lld",
            e->rep.id, (long long)clock_ms, (long long)born_ms);
  boot_over (c, e);
  e->boot_start_ms = born_ms;
  e->clock_ms = clock_ms;
  e->last_contact_ms = c->now_ms;
  e->lease_deadline_ms = clock_ms + FSCHED_LEASE_MS;
}

bool
exec_detect_reboot (struct fsched *c, struct exec *e, int64_t clock_ms)
{
  if (!clock_fell (c, e, clock_ms))
    return false;
  new_boot (c, e, clock_ms, 0);
  exec_mark_unreachable (c, e);
  return true;
}

static void
heard (struct fsched *c, struct exec *e, const struct order_result *res)
{
  if (clock_fell (c, e, res->clock_ms)
      || (e->answered && res->boot_start_ms && e->boot_start_ms
          && res->boot_start_ms != e->boot_start_ms))
    new_boot (c, e, res->clock_ms, res->boot_start_ms);
  if (!e->answered || e->unreachable)
    {
      out_line (
          c->out, "event=exec-reachable exec=%s reconciled=%d away_ms=%lld",
          e->rep.id, e->reconciled,
          (long long)(e->unreachable ? c->now_ms - e->unreachable_since_ms
                                     : 0));
      c->pass_due = true;
    }
  e->boot_start_ms
      = res->boot_start_ms ? res->boot_start_ms : e->boot_start_ms;
  e->answered = true;
  e->unreachable = false;
  e->clock_ms = res->clock_ms;
  e->last_contact_ms = c->now_ms;
}

static void
not_heard (struct fsched *c, struct exec *e, const struct order_result *res)
{
  if (res->outcome == ORDER_REFUSED && res->reason == REFUSED_FENCE)
    c->fenced = true;
  if (res->outcome == ORDER_WRONG_BOOT)
    boot_over (c, e);
  if (!e->unreachable)
    {
      e->unreachable_since_ms = c->now_ms;
      out_line (c->out,
                "event=exec-unreachable exec=%s outcome=%s has_runs=%d",
                e->rep.id, order_outcome_names[res->outcome],
                !TAILQ_EMPTY (&e->runs));
    }
  e->unreachable = true;
  e->next_poll_ms = c->now_ms + FSCHED_POLL_RETRY_MS;
}

void
exec_poll_result (struct fsched *c, struct exec *e,
                  const struct order_result *res)
{
  bool first = !e->answered;

  e->poll_id = 0;
  if (res->outcome != ORDER_DONE)
    {
      not_heard (c, e, res);
      return;
    }
  heard (c, e, res);
  take_lists (c, e, res);
  e->reconciled = true;
  /* Ends wait until they are recorded, or until the lease needs renewal. */
  e->next_poll_ms = c->now_ms + FSCHED_POLL_GAP_MS;
  if (e->seen_end_seq > e->recorded_end_seq)
    e->next_poll_ms = c->now_ms + FSCHED_POLL_WAIT_MS / 2;
  if (first)
    e->next_poll_ms = c->now_ms;
}

/* An earlier leader may have been lost between two members' starts. */
static void
stop_half_gangs (struct fsched *c)
{
  struct job *j;

  TAILQ_FOREACH (j, &c->queue, link)
    for (size_t i = 0; i < j->spec.n_steps; i++)
      {
        const struct jstep *s = &j->steps[i];
        if (j->spec.steps[i].gang && s->n_done == 0 && s->n_running > 0
            && s->n_running < s->n_tasks)
          start_stop_gang (c, j, (int)i);
      }
}

void
exec_reconcile_check (struct fsched *c)
{
  struct exec *e;
  int unclear = 0;

  if (c->reconciled)
    return;
  TAILQ_FOREACH (e, &c->execs, link)
    {
      if (!e->reconciled && c->now_ms >= c->old_leases_end_ms)
        {
          if (!e->answered)
            lapse_all (c, e);
          e->reconciled = true;
          c->roster_dirty = true;
          c->record_due = true;
        }
      unclear += !e->reconciled;
    }
  if (unclear)
    return;
  c->reconciled = true;
  stop_half_gangs (c);
  c->pass_due = true;
  out_line (c->out, "event=reconciled epoch=%lld execs=%d after_ms=%lld",
            (long long)c->epoch, c->n_execs,
            (long long)(c->now_ms - c->claimed_ms));
}

bool
exec_eligible (const struct fsched *c, const struct exec *e)
{
  return still_there (c, e) && e->answered && !e->unreachable && e->recorded
         && !e->n_orphans && !e->rep.draining
         && c->now_ms >= e->quarantine_until_ms;
}

bool
exec_has_label (const struct exec *e, const char *label)
{
  char text[JOB_LABEL_SIZE + 2];

  snprintf (text, sizeof text, ",%s,", label);
  return strstr (e->rep.labels, text) != NULL;
}

bool
exec_usable (const struct exec *e, const struct job *j, int step)
{
  int label = j->steps[step].label;

  if (!e->eligible || e->service != j->service)
    return false;
  if (!label)
    return true;
  return label <= LABELS_MAX ? e->labels >> label & 1
                             : exec_has_label (e, j->spec.steps[step].label);
}

static int64_t
fit (int64_t room, int64_t used, int64_t need)
{
  return need > 0 ? (room - used) / need : INT32_MAX;
}

int
exec_fits (const struct exec *e, const struct job *j, int step, int most)
{
  const struct job_step *s = &j->spec.steps[step];
  const struct job_need *room = &e->rep.capacity;
  int64_t n = most;
  int64_t k;

  if (!s->best_effort_cpu
      && (k
          = fit (room->millicores, e->used.millicores + e->reserved.millicores,
                 s->need.millicores))
             < n)
    n = k;
  if ((k = fit (room->mem_mb, e->used.mem_mb + e->reserved.mem_mb,
                s->need.mem_mb))
      < n)
    n = k;
  if ((k = fit (room->accels, e->used.accels + e->reserved.accels,
                s->need.accels))
      < n)
    n = k;
  if (s->max_per_exec && n > 0)
    {
      const struct start *r;
      k = s->max_per_exec;
      TAILQ_FOREACH (r, &e->runs, exec_link)
        if (r->job == j && r->step == step)
          k--;
      n = k < n ? k : n;
    }
  return n < 0 ? 0 : (int)n;
}
