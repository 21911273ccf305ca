/*
 * Executors and the advice service.  An executor refuses what the contract
 * says, runs what it accepts whether it fits or not, and checks what it saw:
 * no two runs of a task, no start after an end that was acknowledged, no more
 * than its room, no more attempts than the queue allows.
 */
#include "fsim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STOP_MS = 100,
  GANG_MS = 3000,
  FAULT_NEAR_MS = 6000,
  LEASE_MAX_MS = 6000,
  ADVICE_VALID_MS = 2000,
};

struct delivery
{
  int inst;
  uint64_t life;
  struct order order;
  char exec[CLB_ID_MAX];
  struct order_result res;
  int64_t until_ms; /* of a question for ends */
  int64_t born_ms;  /* of the boot that it came to; 0: under way */
  bool silent;      /* nobody hears the answer */
};

static struct fexec *
exec_of (struct fsim *s, const char *id)
{
  for (int i = 0; i < s->n_exec; i++)
    if (strcmp (s->exec[i]->id, id) == 0)
      return s->exec[i];
  return NULL;
}

static struct fmark *
mark_of (struct fsim *s, const struct task_ref *t)
{
  struct fjob *j = fsim_job (s, t->job);
  int at = 0;

  if (!j || t->step >= (int64_t)j->spec.n_steps)
    return NULL;
  for (int i = 0; i < t->step; i++)
    at += (int)j->spec.steps[i].tasks;
  return &j->marks[at + t->index];
}

static bool
same_task (const struct task_ref *a, const struct task_ref *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->index == b->index;
}

static void
remember (struct fexec *e, const struct task_ref *task, int64_t run)
{
  e->past = realloc (e->past, (size_t)(e->n_past + 1) * sizeof *e->past);
  if (!e->past)
    abort ();
  e->past[e->n_past++] = (struct fpast){ *task, run };
}

static void
end_run (struct fsim *s, struct fexec *e, int i, int how)
{
  struct frun *r = &e->runs[i];
  struct fmark *m = mark_of (s, &r->task);
  struct end_row *end = &e->ends[e->n_ends];

  remember (e, &r->task, r->run);
  if (m)
    m->running--;
  /* Orders to stop the member may have been lost as well (walk, seed 184). */
  if (how == RUN_END_GANG_INCOMPLETE
      && s->now_ms - e->fault_ms > FAULT_NEAR_MS)
    fsim_violation (s, "GANG %s.%lld.%lld run %lld on %s waited in vain",
                    r->task.job, (long long)r->task.step,
                    (long long)r->task.index, (long long)r->run, e->id);
  if (e->n_ends < (int)CLB_COUNT (e->ends))
    {
      e->n_ends++;
      *end = (struct end_row){
        .seq = ++e->last_end, .task = r->task, .run_id = r->run, .run_end = how
      };
    }
  e->runs[i] = e->runs[--e->n_runs];
}

void
fexec_tick (struct fsim *s)
{
  for (int k = 0; k < s->n_exec; k++)
    {
      struct fexec *e = s->exec[k];
      for (int i = e->n_runs - 1; e->up && i >= 0; i--)
        {
          struct frun *r = &e->runs[i];
          if (s->now_ms >= e->lease_until_ms)
            end_run (s, e, i, RUN_END_LAPSED);
          else if (s->now_ms >= r->end_ms)
            end_run (s, e, i, r->stopping ? RUN_END_STOPPED : r->how);
        }
    }
}

/* The members of one run of a gang that are there; @each is told of each. */
static int
members (struct fsim *s, const struct task_ref *t, int64_t run,
         void (*each) (struct fsim *s, struct frun *r))
{
  int n = 0;

  for (int k = 0; k < s->n_exec; k++)
    for (int i = 0; i < s->exec[k]->n_runs; i++)
      {
        struct frun *r = &s->exec[k]->runs[i];
        if (r->run != run || r->task.step != t->step
            || strcmp (r->task.job, t->job) != 0)
          continue;
        n++;
        if (each)
          each (s, r);
      }
  return n;
}

static void
set_to_work (struct fsim *s, struct frun *r)
{
  struct fjob *j = fsim_job (s, r->task.job);

  r->waits = false;
  r->end_ms = s->now_ms + j->task_ms[r->task.step];
  r->how = RUN_END_DONE;
}

/* A gang works only once all are there, and waits for GANG_MS. */
static void
join_gang (struct fsim *s, struct frun *r, const struct job_step *step)
{
  r->waits = true;
  r->end_ms = s->now_ms + GANG_MS;
  r->how = RUN_END_GANG_INCOMPLETE;
  if (members (s, &r->task, r->run, NULL) == step->tasks)
    members (s, &r->task, r->run, set_to_work);
}

static void
check_start (struct fsim *s, struct fexec *e, const struct order *o,
             struct fjob *j, struct fmark *m)
{
  struct job_need used = { 0 };

  for (int i = 0; i < e->n_runs; i++)
    {
      used.millicores += e->runs[i].need.millicores;
      used.mem_mb += e->runs[i].need.mem_mb;
    }
  if (used.millicores > e->room.millicores || used.mem_mb > e->room.mem_mb)
    fsim_violation (s, "LIMIT %s: %lld millicores of %lld", e->id,
                    (long long)used.millicores, (long long)e->room.millicores);
  if (m->running > 1)
    fsim_violation (s, "TWICE %s.%lld.%lld run %lld on %s: runs elsewhere",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id, e->id);
  if (m->noted)
    fsim_violation (s, "TWICE %s.%lld.%lld run %lld on %s: done before",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id, e->id);
  if (m->failed >= j->spec.attempts)
    fsim_violation (s, "BUDGET %s.%lld.%lld run %lld: %d have failed",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id, m->failed);
  if (j->refused)
    fsim_violation (s, "REFUSED %s starts", o->task.job);
}

static void
begin_run (struct fsim *s, struct fexec *e, const struct order *o)
{
  struct fjob *j = fsim_job (s, o->task.job);
  struct fmark *m = mark_of (s, &o->task);
  struct frun *r = &e->runs[e->n_runs];

  if (!j || !m)
    {
      fsim_violation (s, "UNASKED %s", o->task.job);
      return;
    }
  e->n_runs++;
  *r = (struct frun){ .task = o->task,
                      .run = o->run_id,
                      .begin_ms = s->now_ms,
                      .end_ms = s->now_ms + j->task_ms[o->task.step],
                      .how
                      = j->poison || e->fails ? RUN_END_FAILED : RUN_END_DONE,
                      .need = j->spec.steps[o->task.step].need };
  if (r->how == RUN_END_FAILED)
    r->end_ms = s->now_ms + 50;
  if (e->hangs)
    r->end_ms = INT64_MAX;
  m->running++;
  m->starts++;
  if (j->spec.steps[o->task.step].gang && r->how == RUN_END_DONE)
    join_gang (s, r, &j->spec.steps[o->task.step]);
  check_start (s, e, o, j, m);
}

static int
start (struct fsim *s, struct fexec *e, const struct order *o)
{
  if (o->fencing_token < e->fence)
    return REFUSED_FENCE;
  if (o->lease_deadline_ms <= s->now_ms - e->born_ms)
    return REFUSED_LEASE_OVER;
  for (int i = 0; i < e->n_runs; i++)
    if (same_task (&e->runs[i].task, &o->task) && e->runs[i].run == o->run_id)
      return -1;
  for (int i = 0; i < e->n_past; i++)
    if (same_task (&e->past[i].task, &o->task) && e->past[i].run >= o->run_id)
      return REFUSED_STALE_RUN;
  begin_run (s, e, o);
  return -1;
}

static void
extend (struct fsim *s, struct fexec *e, int64_t deadline_ms)
{
  int64_t until = e->born_ms + deadline_ms;

  if (until > s->now_ms + LEASE_MAX_MS)
    until = s->now_ms + LEASE_MAX_MS;
  if (until > e->lease_until_ms)
    e->lease_until_ms = until;
}

static void
stop (struct fsim *s, struct fexec *e, const struct order *o)
{
  remember (e, &o->task, o->run_id);
  for (int i = 0; i < e->n_runs; i++)
    if (same_task (&e->runs[i].task, &o->task) && e->runs[i].run == o->run_id)
      {
        e->runs[i].stopping = true;
        if (e->runs[i].end_ms > s->now_ms + STOP_MS)
          e->runs[i].end_ms = s->now_ms + STOP_MS;
      }
}

static void
forget_ends (struct fsim *s, struct fexec *e, int64_t recorded)
{
  int kept = 0;

  for (int i = 0; i < e->n_ends; i++)
    {
      const struct end_row *end = &e->ends[i];
      struct fmark *m = mark_of (s, &end->task);
      if (end->seq > recorded)
        {
          e->ends[kept++] = *end;
          continue;
        }
      if (m && end->run_end == RUN_END_DONE)
        {
          m->done = true;
          m->noted = true;
        }
      if (m && end->run_end == RUN_END_FAILED)
        m->failed++;
    }
  e->n_ends = kept;
}

static void
fill_lists (struct fsim *s, struct fexec *e, struct order_result *res)
{
  res->runs = calloc ((size_t)e->n_runs + 1, sizeof *res->runs);
  res->ends = calloc ((size_t)e->n_ends + 1, sizeof *res->ends);
  for (int i = 0; i < e->n_runs; i++)
    {
      struct frun *r = &e->runs[i];
      int64_t whole = r->end_ms - r->begin_ms;
      res->runs[res->n_runs++] = (struct run_row){
        .task = r->task,
        .run_id = r->run,
        .percent = whole > 0 ? (s->now_ms - r->begin_ms) * 100 / whole : 0
      };
    }
  for (int i = 0; i < e->n_ends && i < 500; i++)
    res->ends[res->n_ends++] = e->ends[i];
}

static void
result (struct fsim *s, void *arg)
{
  struct delivery *d = arg;
  struct finst *in = s->inst[d->inst];

  if (in->up && in->life == d->life && in->frozen_until_ms > s->now_ms)
    {
      fsim_at (s, in->frozen_until_ms - s->now_ms + 1, result, d);
      return;
    }
  if (in->up && in->life == d->life && !d->silent)
    {
      fleet_order_result (&in->fleet, s->now_ms, &d->order, &d->res);
      fsim_pump (s, d->inst);
    }
  order_result_clear (&d->res);
  free (d->order.payload);
  free (d->order.execs);
  free (d);
}

static void
come_back (struct fsim *s, struct delivery *d, struct fexec *e)
{
  if (!fsim_can_reach (s, d->inst, e) || fsim_random (s) < e->lost)
    {
      e->fault_ms = s->now_ms;
      order_result_clear (&d->res);
      d->res.outcome = ORDER_LOST;
      fsim_at (s, d->order.timeout_ms, result, d);
      return;
    }
  fsim_at (s, FSIM_LINK_MS, result, d);
}

bool
fexec_apply (struct fsim *s, struct fexec *e, const struct order *o,
             bool first, bool waited, struct order_result *res)
{
  int refusal = -1;

  fexec_tick (s);
  res->clock_ms = s->now_ms - e->born_ms;
  res->boot_start_ms = e->born_ms;
  res->outcome = ORDER_DONE;
  if (o->fencing_token < e->fence)
    refusal = REFUSED_FENCE;
  else
    {
      e->fence = o->fencing_token;
      if (o->lease_deadline_ms)
        extend (s, e, o->lease_deadline_ms);
      if (o->kind == ORDER_STOP)
        stop (s, e, o);
      else if (o->kind == ORDER_START)
        refusal = start (s, e, o);
    }
  if (refusal >= 0)
    {
      res->outcome = ORDER_REFUSED;
      res->reason = refusal;
      return true;
    }
  if (o->kind != ORDER_POLL)
    return true;
  if (first)
    forget_ends (s, e, o->recorded_end_seq);
  if (e->n_ends == 0 && !waited)
    return false;
  fill_lists (s, e, res);
  return true;
}

static void
arrive (struct fsim *s, void *arg)
{
  struct delivery *d = arg;
  struct fexec *e = exec_of (s, d->exec);
  bool first;

  /* What waits in a boot ends with it. */
  if (!e->up || !fsim_can_reach (s, d->inst, e)
      || (d->born_ms && d->born_ms != e->born_ms))
    {
      d->res.outcome = ORDER_LOST;
      fsim_at (s, d->order.timeout_ms, result, d);
    }
  else if (first = !d->born_ms, d->born_ms = e->born_ms,
           fexec_apply (s, e, &d->order, first, s->now_ms >= d->until_ms,
                        &d->res))
    come_back (s, d, e);
  else
    fsim_at (s, 10, arrive, d);
}

static struct delivery *
delivery_new (struct fsim *s, int i, const struct order *o)
{
  struct delivery *d = calloc (1, sizeof *d);

  d->inst = i;
  d->life = s->inst[i]->life;
  d->order = *o;
  d->order.payload = o->payload ? strdup (o->payload) : NULL;
  d->order.execs = NULL;
  clb_copy (d->exec, o->exec, sizeof d->exec);
  d->until_ms = s->now_ms + o->wait_ms;
  return d;
}

static void
late_arrival (struct fsim *s, void *arg)
{
  struct delivery *d = arg;

  /* A boot refuses what was meant for another one. */
  d->silent = true;
  arrive (s, d);
}

void
fexec_order (struct fsim *s, int i, const struct order *o)
{
  struct fexec *e = exec_of (s, o->exec);
  struct delivery *d = delivery_new (s, i, o);

  if (!e || e->unreached)
    {
      d->res.outcome = ORDER_UNREACHED;
      fsim_at (s, FSIM_LINK_MS, result, d);
      return;
    }
  if (o->kind != ORDER_POLL && fsim_random (s) < e->late)
    {
      struct delivery *late = delivery_new (s, i, o);
      late->born_ms = e->born_ms;
      e->fault_ms = s->now_ms;
      fsim_at (s, 2000 + (int64_t)(fsim_random (s) * 10000), late_arrival,
               late);
      d->res.outcome = ORDER_LOST;
      fsim_at (s, o->timeout_ms, result, d);
      return;
    }
  fsim_at (s, FSIM_LINK_MS, arrive, d);
}

/* The same executors are good for a step each time it is asked. */
static bool
is_good (const struct fsim *s, const char *job, int64_t step, const char *exec)
{
  uint64_t h = 1469598103934665603ULL + (uint64_t)step;

  for (const char *p = job; *p; p++)
    h = (h ^ (unsigned char)*p) * 1099511628211ULL;
  for (const char *p = exec; *p; p++)
    h = (h ^ (unsigned char)*p) * 1099511628211ULL;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  return (double)(h >> 40 & 0xffff) / 65536 < s->good_share;
}

void
fexec_good (struct fsim *s, const struct order *o, struct order_result *res)
{
  res->outcome = ORDER_DONE;
  res->valid_ms = ADVICE_VALID_MS;
  res->permitted = calloc (o->n_execs + 1, sizeof *res->permitted);
  for (size_t k = 0; k < o->n_execs; k++)
    if (is_good (s, o->task.job, o->task.step, o->execs[k]))
      {
        struct permitted_exec *g = &res->permitted[res->n_permitted++];
        clb_copy (g->exec, o->execs[k], sizeof g->exec);
        clb_copy (g->ticket, "t", sizeof g->ticket);
      }
}

void
fexec_advise (struct fsim *s, int i, const struct order *o)
{
  struct delivery *d = delivery_new (s, i, o);
  struct finst *in = s->inst[i];
  struct fjob *j = fsim_job (s, o->task.job);
  double cost = j ? j->spec.advice.base_ms
                        + j->spec.advice.per_exec_ms * (double)o->n_execs
                  : 1;
  int64_t begin
      = in->advice_until_ms > s->now_ms ? in->advice_until_ms : s->now_ms;

  s->advice_calls++;
  in->advice_until_ms = begin + (int64_t)cost;
  fexec_good (s, o, &d->res);
  fsim_at (s, in->advice_until_ms - s->now_ms + 2 * FSIM_LINK_MS, result, d);
}

void
fexec_list (struct fsim *s, struct fexec *e)
{
  char key[CLB_ID_MAX + 16];
  char value[256];

  snprintf (key, sizeof key, "servers/%s", e->id);
  snprintf (value, sizeof value, "%s %d %lld %lld", e->id, e->draining,
            (long long)e->room.millicores, (long long)e->room.mem_mb);
  ftable_put (s, key, e->up && e->listed ? value : NULL);
}

static void
unlist (struct fsim *s, void *arg)
{
  struct fexec *e = arg;

  if (!e->up)
    fexec_list (s, e);
}

void
fexec_crash (struct fsim *s, struct fexec *e)
{
  e->up = false;
  for (int i = 0; i < e->n_runs; i++)
    {
      struct fmark *m = mark_of (s, &e->runs[i].task);
      if (m)
        m->running--;
    }
  e->n_runs = 0;
  e->n_ends = 0;
  e->last_end = 0;
  e->n_past = 0;
  e->fence = 0;
  fsim_at (s, 4500, unlist, e);
}

void
fexec_reborn (struct fsim *s, struct fexec *e)
{
  if (e->up)
    fexec_crash (s, e);
  e->up = true;
  e->born_ms = s->now_ms + 1; /* 0 is "not told" */
  e->lease_until_ms = 0;
  fexec_list (s, e);
}
