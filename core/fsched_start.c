/*
 * One start of a task: sent, then listed by its executor, then ended.  What
 * became of a start whose answer was lost is found out: either a list shows
 * it, or it is stopped by name, which the executor never undoes.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

static void
add_need (struct job_need *to, const struct job_step *s, int sign)
{
  /* Tasks that fill run on cores that others leave. */
  if (!s->fills)
    to->millicores += sign * s->need.millicores;
  to->mem_mb += sign * s->need.mem_mb;
  to->accels += sign * s->need.accels;
}

static void
add_use (struct cell *c, const struct start *r, int sign)
{
  const struct job_step *s = &r->job->spec.steps[r->step];
  struct cell_tenant *t = cell_tenant (c, r->job->spec.tenant);

  add_need (&r->exec->used, s, sign);
  t->used.millicores += sign * s->need.millicores;
  t->used.mem_mb += sign * s->need.mem_mb;
  t->used.accels += sign * s->need.accels;
}

void
start_begun (struct job *j)
{
  j->begun = true;
  if (j->state == JOB_PENDING)
    j->state = JOB_RUNNING;
}

struct start *
start_new (struct cell *c, struct job *j, int step, int index, struct exec *e,
           int64_t no, int state)
{
  struct start *r = calloc (1, sizeof *r);
  struct jtask *t = &j->steps[step].tasks[index];

  if (!r)
    abort ();
  r->job = j;
  r->exec = e;
  r->step = step;
  r->index = index;
  r->no = no;
  r->state = state;
  r->sent_ms = c->now_ms;
  r->percent_ms = c->now_ms;
  t->run = r;
  if (no >= t->next_run)
    t->next_run = (int32_t)no + 1;
  j->n_runs++;
  if (state != START_PLANNED)
    start_begun (j);
  j->steps[step].n_running++;
  j->steps[step].n_asks = 0;
  TAILQ_INSERT_TAIL (&e->runs, r, on_exec);
  add_use (c, r, 1);
  return r;
}

void
start_stop_step (struct cell *c, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < s->n_tasks; i++)
    if (s->tasks[i].run)
      start_stop (c, s->tasks[i].run);
}

void
start_end (struct cell *c, struct start *r, int how)
{
  struct job *j = r->job;
  int step = r->step;
  int index = r->index;
  int64_t no = r->no;
  struct pending_order key = { .no = r->order };
  struct pending_order *p = RB_FIND (pending_order_tree, &c->orders, &key);

  if (p)
    p->run = NULL;
  bool alone = how == END_NEVER || how == END_GONE || how == END_LAPSED
               || how == END_ALONE;

  c->stats->ends[how]++;
  out_line (c->out,
            "event=end job=%s step=%d task=%d run=%lld exec=%s how=%s "
            "ran_ms=%lld state=%d",
            j->spec.id, step, index, (long long)no, r->exec->rep.id,
            end_names[how], (long long)(c->now_ms - r->sent_ms), r->state);
  cell_keep_saved (j, step, index, r->saved);
  add_use (c, r, -1);
  plan_ended (c, r);
  TAILQ_REMOVE (&r->exec->runs, r, on_exec);
  start_task (r)->run = NULL;
  j->n_runs--;
  j->steps[step].n_running--;
  if (how == END_FAILED)
    exec_failed_run (c, r->exec);
  else if (how == END_DONE)
    r->exec->bad_runs = 0;
  free (r);
  if (alone && j->spec.steps[step].gang)
    start_stop_step (c, j, step);
  cell_task_ended (c, j, step, index, no, how);
}

static void
fill_task (struct order *o, const struct start *r)
{
  clb_copy (o->task.job, r->job->spec.id, sizeof o->task.job);
  o->task.step = r->step;
  o->task.index = r->index;
  o->run = r->no;
}

void
start_send (struct cell *c, struct start *r)
{
  struct pending_order *pend;
  struct order *o = cell_order (c, ORDER_START, r->exec, &pend);
  const struct jstep *s = &r->job->steps[r->step];
  const struct jtask *t = start_task (r);

  pend->run = r;
  r->order = o->no;
  fill_task (o, r);
  o->text = strdup (r->job->spec.text ? r->job->spec.text : "");
  o->deadline_ms = exec_clock (c, r->exec) + CELL_LEASE_MS;
  if (o->deadline_ms > r->exec->deadline_ms)
    r->exec->deadline_ms = o->deadline_ms;
  if (t->saved)
    clb_copy (o->saved, t->saved, sizeof o->saved);
  if (r->exec->index < s->n_permits && s->permits[r->exec->index].ticket)
    clb_copy (o->ticket, s->permits[r->exec->index].ticket, sizeof o->ticket);
  c->stats->starts += r->tries++ == 0;
  out_line (c->out,
            "event=start job=%s step=%d task=%d run=%lld exec=%s try=%d "
            "lease_ms=%d saved=%s used=%lld/%lld heard_ms=%lld",
            r->job->spec.id, r->step, r->index, (long long)r->no,
            r->exec->rep.id, r->tries, CELL_LEASE_MS, o->saved,
            (long long)r->exec->used.millicores,
            (long long)r->exec->rep.room.millicores,
            (long long)(c->now_ms - r->exec->clock_at_ms));
}

static void
send_stop (struct cell *c, struct start *r)
{
  struct pending_order *pend;
  struct order *o = cell_order (c, ORDER_STOP, r->exec, &pend);

  pend->run = r;
  r->order = o->no;
  r->stop_ms = c->now_ms + CELL_STOP_RETRY_MS;
  fill_task (o, r);
  c->stats->stops++;
}

void
start_stop (struct cell *c, struct start *r)
{
  if (r->state == START_STOP || r->state == START_DROPPED)
    return;
  if (r->state == START_PLANNED)
    {
      r->state = START_DROPPED;
      return;
    }
  r->state = START_STOP;
  r->clear_ms = 0;
  r->stop_ms = 0;
  out_line (c->out, "event=stop job=%s step=%d task=%d run=%lld exec=%s",
            r->job->spec.id, r->step, r->index, (long long)r->no,
            r->exec->rep.id);
  start_tick (c, r);
}

void
start_tick (struct cell *c, struct start *r)
{
  /* A start under way is waited for: a stop might overtake it unseen. */
  if (r->state != START_STOP || r->order || r->clear_ms
      || c->now_ms < r->stop_ms || !c->may_order)
    return;
  send_stop (c, r);
}

static void
start_refused (struct cell *c, struct start *r, int reason)
{
  struct permit *p;

  c->stats->refusals[reason]++;
  out_line (c->out,
            "event=start-refused job=%s step=%d task=%d run=%lld "
            "exec=%s reason=%s",
            r->job->spec.id, r->step, r->index, (long long)r->no,
            r->exec->rep.id, order_refusal_names[reason]);
  p = permit_of (&r->job->steps[r->step], r->exec);
  if (reason == REFUSED_TICKET)
    p->until_ms = 0;
  start_end (c, r, END_NEVER);
}

static void
start_answered (struct cell *c, struct start *r,
                const struct order_result *res)
{
  int outcome = res->outcome;

  /* Nothing more is placed there until it is heard again. */
  if (outcome == ORDER_UNREACHED
      || (outcome == ORDER_LOST && r->tries >= CELL_START_TRIES))
    exec_suspect (c, r->exec);
  /* An earlier try may have come in, whatever became of this one. */
  if (r->unsure_ms && outcome != ORDER_DONE)
    outcome = ORDER_LOST;
  switch (outcome)
    {
    case ORDER_DONE:
      r->acked_ms = c->now_ms;
      if (r->state == START_SENT)
        r->state = START_ON;
      return;
    case ORDER_REFUSED:
      start_refused (c, r, res->reason);
      return;
    case ORDER_BUSY:
      exec_failed_run (c, r->exec);
      start_end (c, r, END_NEVER);
      return;
    case ORDER_WRONG:
    case ORDER_UNREACHED:
      start_end (c, r, END_NEVER);
      return;
    default:
      out_line (c->out,
                "event=start-lost job=%s step=%d task=%d run=%lld "
                "exec=%s",
                r->job->spec.id, r->step, r->index, (long long)r->no,
                r->exec->rep.id);
      r->unsure_ms = c->now_ms;
      if (r->state != START_SENT)
        return;
      if (r->tries < CELL_START_TRIES && c->may_order && !r->exec->silent)
        start_send (c, r);
      else if (r->job->spec.steps[r->step].gang)
        start_stop_step (c, r->job, r->step);
      else
        r->state = START_UNSURE;
    }
}

void
start_result (struct cell *c, struct start *r, int kind,
              const struct order_result *res)
{
  bool acked = r->acked_ms;

  r->order = 0;
  if (exec_clock_seen (c, r->exec, res->clock_ms) && acked)
    return;
  if (kind == ORDER_START)
    start_answered (c, r, res);
  else if (res->outcome == ORDER_DONE)
    r->clear_ms = c->now_ms;
}
