#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RUNS_A_TERM = 1000, /* run numbers that one leader's term may use up */
};

int
job_cmp (const struct job *a, const struct job *b)
{
  return strcmp (a->spec.id, b->spec.id);
}

int
ended_job_cmp (const struct ended_job *a, const struct ended_job *b)
{
  return strcmp (a->id, b->id);
}

int
pending_order_cmp (const struct pending_order *a,
                   const struct pending_order *b)
{
  return a->id < b->id ? -1 : a->id > b->id;
}

RB_GENERATE (job_tree, job, by_id, job_cmp)
int
early_cmp (const struct early_progress *a, const struct early_progress *b)
{
  return strcmp (a->id, b->id);
}

RB_GENERATE (early_tree, early_progress, by_id, early_cmp)
RB_GENERATE (ended_job_tree, ended_job, by_id, ended_job_cmp)
RB_GENERATE (pending_order_tree, pending_order, by_id, pending_order_cmp)

void *
fsched_zalloc (size_t n, size_t size)
{
  void *p = calloc (n ? n : 1, size);

  if (!p)
    abort ();
  return p;
}

struct fsched *
fsched_new (struct outq *out, uint64_t *tokens, int64_t now_ms, int64_t epoch,
            int64_t wait_ms, struct fsched_stats *stats)
{
  struct fsched *c = fsched_zalloc (1, sizeof *c);

  c->out = out;
  c->tokens = tokens;
  c->now_ms = now_ms;
  c->epoch = epoch;
  c->claimed_ms = now_ms;
  c->old_leases_end_ms = now_ms + wait_ms;
  c->stats = stats;
  TAILQ_INIT (&c->queues);
  RB_INIT (&c->jobs);
  RB_INIT (&c->execs_by_id);
  RB_INIT (&c->ended_jobs);
  RB_INIT (&c->orders);
  RB_INIT (&c->early_progress);
  TAILQ_INIT (&c->queue);
  TAILQ_INIT (&c->execs);
  TAILQ_INIT (&c->tenants);
  intents_init (&c->intents);
  return c;
}

static void
job_free (struct fsched *c, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      for (int t = 0; t < s->n_tasks; t++)
        {
          free (s->tasks[t].checkpoint);
          free (s->tasks[t].failed_runs);
        }
      free (s->tasks);
      advice_free (s);
    }
  free (j->steps);
  RB_REMOVE (job_tree, &c->jobs, j);
  TAILQ_REMOVE (&c->queue, j, link);
  c->n_jobs--;
  codec_free (&job_spec_desc, &j->spec);
  free (j);
}

static void
exec_free (struct exec *e)
{
  struct start *r;

  while ((r = TAILQ_FIRST (&e->runs)))
    {
      TAILQ_REMOVE (&e->runs, r, exec_link);
      free (r);
    }
  free (e);
}

static void
early_free (struct early_progress *e)
{
  codec_free (&job_progress_desc, &e->progress);
  free (e);
}

void
fsched_free (struct fsched *c)
{
  struct job *j;
  struct exec *e;
  struct fsched_tenant *t;
  struct fsched_queue *q;
  struct early_progress *y, *next_y;
  struct ended_job *f, *next_f;
  struct pending_order *p, *next_p;

  if (!c)
    return;
  while ((e = TAILQ_FIRST (&c->execs)))
    {
      TAILQ_REMOVE (&c->execs, e, link);
      exec_free (e);
    }
  while ((j = TAILQ_FIRST (&c->queue)))
    job_free (c, j);
  while ((t = TAILQ_FIRST (&c->tenants)))
    {
      TAILQ_REMOVE (&c->tenants, t, link);
      free (t);
    }
  RB_FOREACH_SAFE (y, early_tree, &c->early_progress, next_y)
    {
      RB_REMOVE (early_tree, &c->early_progress, y);
      early_free (y);
    }
  while ((q = TAILQ_FIRST (&c->queues)))
    {
      TAILQ_REMOVE (&c->queues, q, link);
      free (q);
    }
  RB_FOREACH_SAFE (f, ended_job_tree, &c->ended_jobs, next_f)
    {
      RB_REMOVE (ended_job_tree, &c->ended_jobs, f);
      free (f);
    }
  RB_FOREACH_SAFE (p, pending_order_tree, &c->orders, next_p)
    {
      RB_REMOVE (pending_order_tree, &c->orders, p);
      free (p);
    }
  intents_fini (&c->intents);
  fsched_intern_free (&c->services);
  fsched_intern_free (&c->racks);
  fsched_intern_free (&c->labels);
  free (c->eligible);
  free (c->ready_jobs);
  free (c);
}

void
fsched_set_conf (struct fsched *c, const struct fconf *conf)
{
  c->conf = conf;
  c->pass_due = true;
}

struct job *
fsched_find_job (const struct fsched *c, const char *id)
{
  struct job key;

  clb_copy (key.spec.id, id, sizeof key.spec.id);
  return RB_FIND (job_tree, (struct job_tree *)&c->jobs, &key);
}

struct job *
fsched_task_job (const struct fsched *c, const struct task_ref *t)
{
  struct job *j = fsched_find_job (c, t->job);

  if (!j || t->occurrence != 0 || t->step < 0
      || t->step >= (int64_t)j->spec.n_steps || t->index < 0
      || t->index >= j->steps[t->step].n_tasks)
    return NULL;
  return j;
}

struct jtask *
start_task (const struct start *r)
{
  return &r->job->steps[r->step].tasks[r->index];
}

struct fsched_tenant *
fsched_tenant (struct fsched *c, const char *name)
{
  struct fsched_tenant *t;

  TAILQ_FOREACH (t, &c->tenants, link)
    if (strcmp (t->name, name) == 0)
      return t;
  t = fsched_zalloc (1, sizeof *t);
  clb_copy (t->name, name, sizeof t->name);
  t->credited_ms = c->now_ms;
  t->share_credit = 1e9;
  TAILQ_INSERT_TAIL (&c->tenants, t, link);
  return t;
}

struct fsched_queue *
fsched_queue (struct fsched *c, const char *name)
{
  struct fsched_queue *q;

  TAILQ_FOREACH (q, &c->queues, link)
    if (strcmp (q->name, name) == 0)
      return q;
  q = fsched_zalloc (1, sizeof *q);
  clb_copy (q->name, name, sizeof q->name);
  q->permitted_share = 0.5;
  TAILQ_INSERT_TAIL (&c->queues, q, link);
  return q;
}

void
fsched_mark_dirty (struct fsched *c, struct job *j)
{
  j->dirty = true;
  c->record_due = true;
}

struct order *
fsched_order_new (struct fsched *c, int kind, const struct exec *e,
                  struct pending_order **pend)
{
  struct order *o = fsched_zalloc (1, sizeof *o);
  struct pending_order *p = fsched_zalloc (1, sizeof *p);

  o->kind = kind;
  o->id = ++*c->tokens;
  o->fencing_token = c->epoch;
  o->timeout_ms = FSCHED_CALL_TIMEOUT_MS;
  if (e)
    {
      clb_copy (o->exec, e->rep.id, sizeof o->exec);
      clb_copy (o->addr, e->rep.addr, sizeof o->addr);
    }
  p->id = o->id;
  p->kind = kind;
  p->sent_ms = c->now_ms;
  RB_INSERT (pending_order_tree, &c->orders, p);
  *pend = p;
  out_new (c->out, OUT_ORDER)->u.order = o;
  return o;
}

/* Steps whose predecessors are done may be placed. */
static void
find_ready (struct fsched *c, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      uint64_t after = j->spec.steps[i].after;
      bool ready = true;
      for (size_t k = 0; k < i && ready; k++)
        if (after >> k & 1 && j->steps[k].n_done < j->steps[k].n_tasks)
          ready = false;
      if (ready && !j->steps[i].ready)
        {
          j->steps[i].ready = true;
          j->steps[i].ready_ms = c->now_ms;
          c->pass_due = true;
        }
    }
}

/* Whether a client account sends more than it is owed; see docs/OPERATIONS.md.
   The allowance is refilled by its weight, up to four seconds of it. */
static bool
beyond_owed (struct fsched *c, const char *tenant)
{
  const struct fconf_tenant *ft
      = c->conf ? fconf_tenant (c->conf, tenant) : NULL;
  struct fsched_tenant *t = fsched_tenant (c, tenant);

  if (!ft || ft->weight <= 0)
    return false;
  t->share_credit += ft->weight * (double)(c->now_ms - t->credited_ms) / 1000;
  t->credited_ms = c->now_ms;
  if (t->share_credit > 4 * ft->weight)
    t->share_credit = 4 * ft->weight;
  t->share_credit -= 1;
  if (t->share_credit >= 0)
    return false;
  t->share_credit = 0;
  return true;
}

static void
add_final (struct fsched *c, const char *id, int state, bool trim)
{
  struct ended_job *f = fsched_zalloc (1, sizeof *f);

  clb_copy (f->id, id, sizeof f->id);
  f->state = state;
  f->trim_due = trim;
  if (RB_INSERT (ended_job_tree, &c->ended_jobs, f))
    free (f);
}

static void
stop_all (struct fsched *c, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    for (int t = 0; t < j->steps[i].n_tasks; t++)
      if (j->steps[i].tasks[t].run)
        start_stop (c, j->steps[i].tasks[t].run);
}

static void
finish (struct fsched *c, struct job *j, int state, const char *why)
{
  if (job_state_final (j->state))
    return;
  j->state = state;
  c->stats->jobs_ended[state]++;
  hist_add (&c->stats->job_ms[state], c->now_ms - j->arrival_ms);
  fsched_mark_dirty (c, j);
  out_line (c->out,
            "event=job-%s job=%s queue=%s after_ms=%lld late_ms=%lld "
            "why=%s",
            job_state_names[state], j->spec.id, j->spec.queue,
            (long long)(c->now_ms - j->arrival_ms),
            (long long)(c->now_ms - j->due_ms), why);
  if (state != JOB_COMPLETED)
    stop_all (c, j);
}

/* Once recorded and with nothing running, only its state is kept. */
bool
fsched_forget_job (struct fsched *c, struct job *j)
{
  if (!j->recorded || j->n_runs > 0 || j->dirty || j->writing)
    return false;
  add_final (c, j->spec.id, j->state, true);
  job_free (c, j);
  return true;
}

void
fsched_cancel (struct fsched *c, const char *id)
{
  struct job *j = fsched_find_job (c, id);

  if (j)
    finish (c, j, JOB_CANCELLED, "cancelled");
}

static void
mark_done (struct fsched *c, struct job *j, int step, int index)
{
  struct jstep *s = &j->steps[step];
  struct jtask *t = &s->tasks[index];

  if (t->done)
    return;
  t->done = true;
  s->n_done++;
  fsched_mark_dirty (c, j);
  if (t->run && !j->spec.steps[step].gang)
    start_stop (c, t->run);
  if (s->n_done < s->n_tasks)
    return;
  j->n_steps_left--;
  find_ready (c, j);
  if (j->n_steps_left == 0)
    finish (c, j, JOB_COMPLETED, "all-tasks-done");
}

/* The members of a gang end together: one that is done stands for all, and
   the others' ends are on their way. */
static void
gang_done (struct fsched *c, struct job *j, int step)
{
  for (int t = 0; t < j->steps[step].n_tasks; t++)
    mark_done (c, j, step, t);
}

/* A run may be told of twice, by an executor and by the record. */
static bool
add_failed (struct jtask *t, int64_t run)
{
  for (int i = 0; i < t->n_failed; i++)
    if (t->failed_runs[i].id == run)
      return false;
  if (t->n_failed == JOB_FAILURES_MAX)
    return false;
  t->failed_runs = realloc (t->failed_runs, (size_t)(t->n_failed + 1)
                                                * sizeof *t->failed_runs);
  if (!t->failed_runs)
    abort ();
  t->failed_runs[t->n_failed++].id = run;
  return true;
}

static void
count_failure (struct fsched *c, struct job *j, int step, int index,
               int64_t run)
{
  bool gang = j->spec.steps[step].gang;
  struct jtask *t = &j->steps[step].tasks[gang ? 0 : index];

  if (!add_failed (t, run))
    return;
  fsched_mark_dirty (c, j);
  if (t->n_failed >= j->spec.attempts)
    finish (c, j, JOB_FAILED, "attempts-used-up");
}

void
fsched_task_ended (struct fsched *c, struct job *j, int step, int index,
                   int64_t run, int how)
{
  bool gang = j->spec.steps[step].gang;

  c->pass_due = true;
  if (how == RUN_END_DONE && gang)
    gang_done (c, j, step);
  else if (how == RUN_END_DONE)
    mark_done (c, j, step, index);
  else if (how == RUN_END_FAILED && !job_state_final (j->state))
    count_failure (c, j, step, index, run);
}

void
fsched_keep_checkpoint (struct job *j, int step, int index, const char *saved)
{
  struct jtask *t = &j->steps[step].tasks[index];

  if (!*saved || (t->checkpoint && strcmp (t->checkpoint, saved) == 0))
    return;
  free (t->checkpoint);
  t->checkpoint = strdup (saved);
}

/* Records. */

static void
take_marks (struct fsched *c, struct job *j, const struct job_step_marks *m)
{
  if (m->step < 0 || m->step >= (int64_t)j->spec.n_steps)
    return;
  struct jstep *s = &j->steps[m->step];
  for (size_t i = 0; i < m->n_marks; i++)
    {
      const struct job_mark *k = &m->marks[i];
      if (k->index >= s->n_tasks)
        continue;
      struct jtask *t = &s->tasks[k->index];
      for (size_t r = 0; r < k->n_failed; r++)
        add_failed (t, k->failed[r].id);
      if (k->done)
        mark_done (c, j, (int)m->step, (int)k->index);
    }
}

static void
take_early (struct fsched *c, struct job *j)
{
  struct early_progress key;
  struct early_progress *e;

  clb_copy (key.id, j->spec.id, sizeof key.id);
  e = RB_FIND (early_tree, &c->early_progress, &key);
  if (!e)
    return;
  RB_REMOVE (early_tree, &c->early_progress, e);
  for (size_t i = 0; i < e->progress.n_steps; i++)
    take_marks (c, j, &e->progress.steps[i]);
  early_free (e);
}

void
fsched_add_job (struct fsched *c, struct job_spec *spec, bool old,
                int64_t age_ms)
{
  struct job *j;

  if (fsched_find_job (c, spec->id) || fsched_job_state (c, spec->id) >= 0)
    {
      codec_free (&job_spec_desc, spec);
      return;
    }
  j = fsched_zalloc (1, sizeof *j);
  j->spec = *spec;
  memset (spec, 0, sizeof *spec);
  j->inherited = old;
  j->service = fsched_intern (&c->services, j->spec.service);
  j->arrival_ms = c->now_ms - age_ms;
  j->critical_path_ms = job_critical_path_ms (&j->spec);
  j->due_ms = j->arrival_ms + j->spec.target_ms
              + (int64_t)(j->spec.slack * (double)j->critical_path_ms);
  j->over_share = !old && beyond_owed (c, j->spec.tenant);
  j->steps = fsched_zalloc (j->spec.n_steps, sizeof *j->steps);
  j->n_steps_left = (int)j->spec.n_steps;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      s->n_tasks = (int)j->spec.steps[i].tasks;
      s->label = fsched_intern_label (c, j->spec.steps[i].label);
      s->data_rack = fsched_intern (&c->racks, j->spec.steps[i].data_rack);
      s->tasks = fsched_zalloc ((size_t)s->n_tasks, sizeof *s->tasks);
      for (int t = 0; t < s->n_tasks; t++)
        s->tasks[t].next_run_id = old ? (int32_t)(c->epoch * RUNS_A_TERM) : 1;
    }
  RB_INSERT (job_tree, &c->jobs, j);
  TAILQ_INSERT_TAIL (&c->queue, j, link);
  c->n_jobs++;
  c->stats->jobs_added++;
  find_ready (c, j);
  if (old)
    take_early (c, j);
  if (c->loaded)
    out_line (c->out,
              "event=job-taken job=%s queue=%s tenant=%s steps=%zu "
              "due_in_ms=%lld over_share=%d jobs=%d",
              j->spec.id, j->spec.queue, j->spec.tenant, j->spec.n_steps,
              (long long)(j->due_ms - c->now_ms), j->over_share, c->n_jobs);
}

void
fsched_load_progress (struct fsched *c, const char *id, struct job_progress *p)
{
  struct early_progress *e;

  if (job_state_final (p->state))
    {
      add_final (c, id, p->state, false);
      codec_free (&job_progress_desc, p);
      return;
    }
  e = fsched_zalloc (1, sizeof *e);
  clb_copy (e->id, id, sizeof e->id);
  e->progress = *p;
  memset (p, 0, sizeof *p);
  if (RB_INSERT (early_tree, &c->early_progress, e))
    early_free (e);
}

int
fsched_job_state (const struct fsched *c, const char *id)
{
  struct ended_job key;
  struct ended_job *f;
  const struct job *j = fsched_find_job (c, id);

  if (j && j->state == JOB_CANCELLED)
    return JOB_CANCELLED;
  if (j && job_state_final (j->state) && !j->recorded)
    return JOB_RUNNING; /* not told before it is durable */
  if (j)
    return job_state_final (j->state) ? j->state
           : j->task_started          ? JOB_RUNNING
                                      : JOB_PENDING;
  clb_copy (key.id, id, sizeof key.id);
  f = RB_FIND (ended_job_tree, (struct ended_job_tree *)&c->ended_jobs, &key);
  return f ? f->state : -1;
}

int64_t
fsched_jobs_waiting (const struct fsched *c, const char *queue)
{
  const struct job *j;
  int64_t n = 0;

  TAILQ_FOREACH (j, &c->queue, link)
    if (!j->task_started && !job_state_final (j->state)
        && strcmp (j->spec.queue, queue) == 0)
      n++;
  return n;
}

void
fsched_load_done (struct fsched *c)
{
  intents_load_done (c);
  c->loaded = true;
  c->pass_due = true;
  out_line (c->out,
            "event=scheduler-loaded epoch=%lld jobs=%d execs=%d "
            "took_ms=%lld",
            (long long)c->epoch, c->n_jobs, c->n_execs,
            (long long)(c->now_ms - c->claimed_ms));
}

void
fsched_order_result (struct fsched *c, int64_t now_ms, uint64_t order,
                     const struct order_result *res)
{
  struct pending_order key = { .id = order };
  struct pending_order *p = RB_FIND (pending_order_tree, &c->orders, &key);

  c->now_ms = now_ms;
  if (!p)
    return;
  RB_REMOVE (pending_order_tree, &c->orders, p);
  c->stats->outcomes[res->outcome]++;
  hist_add (&c->stats->order_ms[p->kind], now_ms - p->sent_ms);
  switch (p->kind)
    {
    case ORDER_POLL:
      exec_poll_result (c, p->exec, res);
      break;
    case ORDER_ADVISE:
      advice_result (c, p, res);
      break;
    default:
      if (p->run)
        start_result (c, p->run, p->kind, res);
      break;
    }
  free (p);
}

/* Questions whose answer got lost between the instances. */
static void
sweep_questions (struct fsched *c)
{
  struct pending_order *p, *next;
  struct order_result lost = { .outcome = ORDER_LOST };

  if (c->now_ms < c->next_query_sweep_ms)
    return;
  c->next_query_sweep_ms = c->now_ms + 50;
  RB_FOREACH_SAFE (p, pending_order_tree, &c->orders, next)
    if (p->kind == ORDER_ADVISE && c->now_ms >= p->deadline_ms)
      fsched_order_result (c, c->now_ms, p->id, &lost);
}

void
fsched_tick (struct fsched *c, int64_t now_ms, bool may_order)
{
  struct exec *e;
  struct job *j, *next;

  c->now_ms = now_ms;
  c->may_order = may_order;
  if (!c->loaded || !may_order)
    return;
  if (now_ms >= c->next_exec_sweep_ms)
    {
      c->next_exec_sweep_ms = now_ms + FSCHED_EXEC_SWEEP_MS;
      TAILQ_FOREACH (e, &c->execs, link)
        exec_tick (c, e);
      exec_reconcile_check (c);
      sweep_questions (c);
      fsched_trim_jobs (c);
      TAILQ_FOREACH_SAFE (j, &c->queue, link, next)
        if (job_state_final (j->state))
          fsched_forget_job (c, j);
    }
  if (c->retry_pass_ms && now_ms >= c->retry_pass_ms)
    c->pass_due = true;
  if (c->pass_due && now_ms >= c->next_pass_ms)
    place_pass (c);
}
