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
exec_find (const struct cell *c, const char *id)
{
  struct exec key;

  clb_copy (key.rep.id, id, sizeof key.rep.id);
  return RB_FIND (exec_tree, (struct exec_tree *)&c->exec_ids, &key);
}

static struct exec *
exec_add (struct cell *c, const char *id)
{
  struct exec *e = calloc (1, sizeof *e);

  if (!e)
    abort ();
  clb_copy (e->rep.id, id, sizeof e->rep.id);
  e->index = c->n_execs++;
  TAILQ_INIT (&e->runs);
  TAILQ_INSERT_TAIL (&c->execs, e, link);
  RB_INSERT (exec_tree, &c->exec_ids, e);
  return e;
}

/* What ran in a boot that is over has ended with it.  A start that is not
   acknowledged may still reach the new boot. */
static void
boot_over (struct cell *c, struct exec *e)
{
  struct start *r, *next;

  TAILQ_FOREACH_SAFE (r, &e->runs, on_exec, next)
    if (r->acked_ms)
      start_end (c, r, END_GONE);
    else if (r->state != START_SENT)
      start_stop (c, r);
  e->seen_end = 0;
  e->write_end = 0;
  e->recorded_end = 0;
  e->bad_runs = 0;
  e->aside_until_ms = 0;
  e->aside_ms = 0;
  c->pass_due = true;
}

void
cell_exec (struct cell *c, const struct exec_report *rep)
{
  struct exec *e = exec_find (c, rep->id);
  bool moved;

  if (!e)
    {
      e = exec_add (c, rep->id);
      /* Not in the roster: no earlier leader has used it. */
      e->clear = true;
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
  cell_name_exec (c, e);
  e->listed = true;
  e->relisted = true;
  if (moved)
    e->next_hold_ms = c->now_ms;
  if (!e->on_record)
    {
      c->roster_dirty = true;
      c->record_due = true;
    }
}

void
cell_exec_gone (struct cell *c, const char *id)
{
  struct exec *e = exec_find (c, id);

  if (!e || !e->listed)
    return;
  out_line (c->out, "event=exec-unlisted exec=%s", id);
  e->listed = false;
  e->unlisted_ms = c->now_ms;
}

void
cell_exec_list (struct cell *c, bool begins)
{
  struct exec *e;

  TAILQ_FOREACH (e, &c->execs, link)
    if (begins)
      e->relisted = false;
    else if (!e->relisted)
      cell_exec_gone (c, e->rep.id);
}

/* Dropped for a moment while the platform was away, or gone. */
static bool
still_there (const struct cell *c, const struct exec *e)
{
  return e->listed
         || (e->unlisted_ms && c->now_ms - e->unlisted_ms < CELL_UNLISTED_MS);
}

void
cell_roster (struct cell *c, const char *text)
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
      e->on_record = true;
      e->clear = false;
    }
}

int64_t
exec_clock (const struct cell *c, const struct exec *e)
{
  return e->clock_ms + c->now_ms - e->clock_at_ms;
}

static bool
lease_over (const struct cell *c, const struct exec *e)
{
  int64_t passed = c->now_ms - e->clock_at_ms - CELL_CLOCK_MARGIN_MS;

  return e->heard
         && e->clock_ms + passed * CLOCK_RATE_LOW / 100 > e->deadline_ms;
}

static void
send_hold (struct cell *c, struct exec *e)
{
  struct pending_order *pend;
  struct order *o = cell_order (c, ORDER_HOLD, e, &pend);

  pend->exec = e;
  e->hold = o->no;
  e->hold_ms = c->now_ms;
  o->recorded = e->recorded_end;
  /* A lease that is renewed in vain would never be over. */
  if (e->heard && !e->silent)
    {
      o->deadline_ms = exec_clock (c, e) + CELL_LEASE_MS;
      if (o->deadline_ms > e->deadline_ms)
        e->deadline_ms = o->deadline_ms;
    }
  /* Ends that are not recorded yet would be answered at once. */
  if (e->heard && !e->silent && e->recorded_end == e->seen_end)
    o->wait_ms = CELL_HOLD_WAIT_MS;
  o->timeout_ms = o->wait_ms + CELL_HOLD_SLACK_MS;
}

static void
lapse_all (struct cell *c, struct exec *e)
{
  struct start *r;

  out_line (
      c->out, "event=lease-over exec=%s silent_ms=%lld", e->rep.id,
      (long long)(c->now_ms - (e->heard ? e->clock_at_ms : c->claimed_ms)));
  while ((r = TAILQ_FIRST (&e->runs)))
    {
      c->stats->lapsed++;
      start_end (c, r, END_LAPSED);
    }
}

void
exec_tick (struct cell *c, struct exec *e)
{
  struct start *r, *next;
  bool idle = !still_there (c, e) && e->clear && TAILQ_EMPTY (&e->runs);

  if (!e->hold && !idle && c->now_ms >= e->next_hold_ms)
    send_hold (c, e);
  TAILQ_FOREACH_SAFE (r, &e->runs, on_exec, next)
    start_tick (c, r);
  if (e->silent && !TAILQ_EMPTY (&e->runs) && lease_over (c, e))
    lapse_all (c, e);
}

void
exec_suspect (struct cell *c, struct exec *e)
{
  if (e->silent)
    return;
  e->silent = true;
  e->lost_ms = c->now_ms;
  out_line (c->out,
            "event=exec-silent exec=%s outcome=order-unanswered "
            "runs_left=1",
            e->rep.id);
}

void
exec_failed_run (struct cell *c, struct exec *e)
{
  if (++e->bad_runs < CELL_BAD_RUNS || c->now_ms < e->aside_until_ms)
    return;
  e->aside_ms = e->aside_ms ? 2 * e->aside_ms : CELL_ASIDE_MS;
  e->aside_until_ms = c->now_ms + e->aside_ms;
  /* The first failure after the pause is enough for the next. */
  e->bad_runs = CELL_BAD_RUNS - 1;
  c->stats->aside++;
  out_line (c->out, "event=exec-aside exec=%s for_ms=%lld", e->rep.id,
            (long long)e->aside_ms);
}

static struct start *
find_run (const struct exec *e, const struct task_ref *t, int64_t no)
{
  struct start *r;

  TAILQ_FOREACH (r, &e->runs, on_exec)
    if (r->no == no && r->step == t->step && r->index == t->index
        && strcmp (r->job->spec.id, t->job) == 0)
      return r;
  return NULL;
}

static void
take_end (struct cell *c, struct exec *e, const struct end_row *row)
{
  struct start *r = find_run (e, &row->task, row->run);
  struct job *j = cell_job_of (c, &row->task);

  if (row->no <= e->seen_end)
    return;
  e->seen_end = row->no;
  c->record_due = true;
  if (r)
    {
      clb_copy (r->saved, row->saved, sizeof r->saved);
      start_end (c, r, row->how);
    }
  else if (j)
    {
      out_line (c->out,
                "event=end-found job=%s step=%lld task=%lld run=%lld "
                "exec=%s how=%s",
                row->task.job, (long long)row->task.step,
                (long long)row->task.index, (long long)row->run, e->rep.id,
                end_names[row->how]);
      cell_keep_saved (j, (int)row->task.step, (int)row->task.index,
                       row->saved);
      cell_task_ended (c, j, (int)row->task.step, (int)row->task.index,
                       row->run, row->how);
    }
}

static void
stop_stray (struct cell *c, struct exec *e, const struct run_row *row)
{
  struct pending_order *pend;
  struct order *o = cell_order (c, ORDER_STOP, e, &pend);

  o->task = row->task;
  o->run = row->run;
  c->stats->stops++;
  out_line (c->out,
            "event=stop-stray job=%s step=%lld task=%lld run=%lld "
            "exec=%s",
            row->task.job, (long long)row->task.step,
            (long long)row->task.index, (long long)row->run, e->rep.id);
}

/* A run that this leader has not started: an earlier one has. */
static struct start *
adopt (struct cell *c, struct exec *e, const struct run_row *row)
{
  struct job *j = cell_job_of (c, &row->task);
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
            (long long)row->task.index, (long long)row->run, e->rep.id,
            (long long)row->percent);
  return start_new (c, j, (int)row->task.step, (int)row->task.index, e,
                    row->run, START_ON);
}

static void
take_running (struct cell *c, struct exec *e, const struct run_row *row)
{
  struct start *r = find_run (e, &row->task, row->run);

  if (!r)
    r = adopt (c, e, row);
  if (!r)
    {
      e->strays++;
      if (c->now_ms >= e->stray_ms)
        stop_stray (c, e, row);
      return;
    }
  r->seen = true;
  r->earlier = false;
  if (!r->acked_ms)
    r->acked_ms = c->now_ms;
  if (r->state == START_SENT || r->state == START_UNSURE)
    r->state = START_ON;
  if (r->percent != row->percent)
    r->percent_ms = c->now_ms;
  r->percent = row->percent;
  clb_copy (r->saved, row->saved, sizeof r->saved);
}

/* Runs that a list lacks although they were known when it was asked for. */
static void
judge_absent (struct cell *c, struct exec *e, struct start *r)
{
  /* The list shows all that an earlier leader's orders have left there. */
  if (r->earlier)
    start_end (c, r, END_NEVER);
  else if (r->state == START_STOP && r->clear_ms && r->clear_ms <= e->hold_ms)
    start_end (c, r, END_NEVER);
  else if (r->state == START_UNSURE && r->unsure_ms < e->hold_ms)
    start_stop (c, r);
  else if (r->state == START_ON && r->acked_ms && r->acked_ms < e->hold_ms)
    start_stop (c, r);
}

static void
take_lists (struct cell *c, struct exec *e, const struct order_result *res)
{
  struct start *r, *next;
  int strays = e->strays;

  TAILQ_FOREACH (r, &e->runs, on_exec)
    r->seen = false;
  for (size_t i = 0; i < res->n_ends; i++)
    take_end (c, e, &res->ends[i]);
  e->strays = 0;
  for (size_t i = 0; i < res->n_runs; i++)
    take_running (c, e, &res->runs[i]);
  if (e->strays && c->now_ms >= e->stray_ms)
    e->stray_ms = c->now_ms + CELL_STOP_RETRY_MS;
  if (strays && !e->strays)
    c->pass_due = true;
  TAILQ_FOREACH_SAFE (r, &e->runs, on_exec, next)
    if (!r->seen)
      judge_absent (c, e, r);
    else if (r->clear_ms && c->now_ms - r->clear_ms > STOP_AGAIN_MS)
      r->clear_ms = 0;
}

/* Its clock begins anew with each boot. */
static bool
clock_fell (const struct cell *c, const struct exec *e, int64_t clock_ms)
{
  return e->heard && clock_ms > 0
         && clock_ms + CLOCK_FALL_MS < exec_clock (c, e);
}

/* All that was known of the old boot is void. */
static void
new_boot (struct cell *c, struct exec *e, int64_t clock_ms, int64_t born_ms)
{
  out_line (c->out, "event=exec-reborn exec=%s clock_ms=%lld born=%lld",
            e->rep.id, (long long)clock_ms, (long long)born_ms);
  boot_over (c, e);
  e->born_ms = born_ms;
  e->clock_ms = clock_ms;
  e->clock_at_ms = c->now_ms;
  e->deadline_ms = clock_ms + CELL_LEASE_MS;
}

bool
exec_clock_seen (struct cell *c, struct exec *e, int64_t clock_ms)
{
  if (!clock_fell (c, e, clock_ms))
    return false;
  new_boot (c, e, clock_ms, 0);
  exec_suspect (c, e);
  return true;
}

static void
heard (struct cell *c, struct exec *e, const struct order_result *res)
{
  if (clock_fell (c, e, res->clock_ms)
      || (e->heard && res->born_ms && e->born_ms
          && res->born_ms != e->born_ms))
    new_boot (c, e, res->clock_ms, res->born_ms);
  if (!e->heard || e->silent)
    {
      out_line (c->out, "event=exec-heard exec=%s clear=%d away_ms=%lld",
                e->rep.id, e->clear,
                (long long)(e->silent ? c->now_ms - e->lost_ms : 0));
      c->pass_due = true;
    }
  e->born_ms = res->born_ms ? res->born_ms : e->born_ms;
  e->heard = true;
  e->silent = false;
  e->clock_ms = res->clock_ms;
  e->clock_at_ms = c->now_ms;
}

static void
not_heard (struct cell *c, struct exec *e, const struct order_result *res)
{
  if (res->outcome == ORDER_REFUSED && res->reason == REFUSED_FENCE)
    c->fenced = true;
  if (res->outcome == ORDER_WRONG)
    boot_over (c, e);
  if (!e->silent)
    {
      e->lost_ms = c->now_ms;
      out_line (c->out, "event=exec-silent exec=%s outcome=%s runs_left=%d",
                e->rep.id, order_outcome_names[res->outcome],
                !TAILQ_EMPTY (&e->runs));
    }
  e->silent = true;
  e->next_hold_ms = c->now_ms + CELL_HOLD_RETRY_MS;
}

void
exec_hold_result (struct cell *c, struct exec *e,
                  const struct order_result *res)
{
  bool first = !e->heard;

  e->hold = 0;
  if (res->outcome != ORDER_DONE)
    {
      not_heard (c, e, res);
      return;
    }
  heard (c, e, res);
  take_lists (c, e, res);
  e->clear = true;
  /* Ends wait until they are recorded, or until the lease needs renewal. */
  e->next_hold_ms = c->now_ms + CELL_HOLD_GAP_MS;
  if (e->seen_end > e->recorded_end)
    e->next_hold_ms = c->now_ms + CELL_HOLD_WAIT_MS / 2;
  if (first)
    e->next_hold_ms = c->now_ms;
}

/* An earlier leader may have been lost between two members' starts. */
static void
stop_half_gangs (struct cell *c)
{
  struct job *j;

  TAILQ_FOREACH (j, &c->queue, link)
    for (size_t i = 0; i < j->spec.n_steps; i++)
      {
        const struct jstep *s = &j->steps[i];
        if (j->spec.steps[i].gang && s->n_done == 0 && s->n_running > 0
            && s->n_running < s->n_tasks)
          start_stop_step (c, j, (int)i);
      }
}

void
exec_settle (struct cell *c)
{
  struct exec *e;
  int unclear = 0;

  if (c->settled)
    return;
  TAILQ_FOREACH (e, &c->execs, link)
    {
      if (!e->clear && c->now_ms >= c->wait_ms)
        {
          if (!e->heard)
            lapse_all (c, e);
          e->clear = true;
          c->roster_dirty = true;
          c->record_due = true;
        }
      unclear += !e->clear;
    }
  if (unclear)
    return;
  c->settled = true;
  stop_half_gangs (c);
  c->pass_due = true;
  out_line (c->out, "event=settled epoch=%lld execs=%d after_ms=%lld",
            (long long)c->epoch, c->n_execs,
            (long long)(c->now_ms - c->claimed_ms));
}

bool
exec_open (const struct cell *c, const struct exec *e)
{
  return still_there (c, e) && e->heard && !e->silent && e->on_record
         && !e->strays && !e->rep.draining && c->now_ms >= e->aside_until_ms;
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

  if (!e->open || e->service != j->service)
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
  const struct job_need *room = &e->rep.room;
  int64_t n = most;
  int64_t k;

  if (!s->fills
      && (k
          = fit (room->millicores, e->used.millicores + e->promised.millicores,
                 s->need.millicores))
             < n)
    n = k;
  if ((k = fit (room->mem_mb, e->used.mem_mb + e->promised.mem_mb,
                s->need.mem_mb))
      < n)
    n = k;
  if ((k = fit (room->accels, e->used.accels + e->promised.accels,
                s->need.accels))
      < n)
    n = k;
  if (s->max_per_exec && n > 0)
    {
      const struct start *r;
      k = s->max_per_exec;
      TAILQ_FOREACH (r, &e->runs, on_exec)
        if (r->job == j && r->step == step)
          k--;
      n = k < n ? k : n;
    }
  return n < 0 ? 0 : (int)n;
}
