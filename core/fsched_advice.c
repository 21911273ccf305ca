/*
 * Advice: which executors may run a step.  The answer does not change for a
 * step, its tickets lapse.  A service of the platform decides, one question
 * at a time for each instance, so questions are spread over the instances:
 * long ones over one half of them, so that short ones wait for short ones.
 *
 * Load answered: three queues with 5.6, 50 and 310 ms a question, 55 jobs/s.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LONG_MS = 100,            /* questions of more go to the first half */
  QUEUED_MAX_MS = 40,       /* a short question waits for others this long */
  ADVISER_SILENT_MS = 1000, /* two hellos were lost */
  ADVISER_LATE_MS = 80,     /* a question is overdue: it gets no other */
  ADVISER_AVOID_MS = 1000,  /* after a question that got lost */
  ASK_SLACK_MS = 400, /* beyond the expected time: links, slow instances */
  ASK_PAUSE_MS = 30,  /* after a question that failed */
  ASK_AGAIN_MS = 50,  /* after the second answer that no start came of, as work
                         that goes first took the room; doubled ... */
  ASK_AGAIN_MAX_MS = 800, /* ... up to this */
  SPARE_FACTOR = 2,       /* executors asked about, times those needed */
  SPARE_MIN = 4,
  RUNGS = 32, /* executors with room for more tasks than this are alike */
};

struct permit *
permit_get (struct jstep *s, const struct exec *e)
{
  if (e->index >= s->n_permits)
    {
      int n = e->index + 16;
      s->permits = realloc (s->permits, (size_t)n * sizeof *s->permits);
      if (!s->permits)
        abort ();
      memset (s->permits + s->n_permits, 0,
              (size_t)(n - s->n_permits) * sizeof *s->permits);
      s->n_permits = n;
    }
  return &s->permits[e->index];
}

void
advice_free (struct jstep *s)
{
  for (int i = 0; i < s->n_permits; i++)
    free (s->permits[i].ticket);
  free (s->permits);
  s->permits = NULL;
  s->n_permits = 0;
}

bool
permit_valid (const struct fsched *c, const struct jstep *s,
              const struct exec *e)
{
  const struct permit *p;

  if (e->index >= s->n_permits)
    return false;
  p = &s->permits[e->index];
  return p->state == PERMIT_ALLOWED && p->boot_start_ms == e->boot_start_ms
         && p->valid_until_ms > c->now_ms + FSCHED_TICKET_MARGIN_MS;
}

void
fsched_adviser_seen (struct fsched *c, const char *id, const char *addr,
                     int64_t millicores, int64_t fresh_ms)
{
  struct adviser *a = NULL;

  for (int i = 0; i < c->n_advisers && !a; i++)
    if (strcmp (c->advisers[i].id, id) == 0)
      a = &c->advisers[i];
  if (!a && c->n_advisers == FSCHED_ADVISERS_MAX)
    return;
  if (!a)
    {
      a = &c->advisers[c->n_advisers++];
      memset (a, 0, sizeof *a);
      clb_copy (a->id, id, sizeof a->id);
      c->pass_due = true;
    }
  clb_copy (a->addr, addr, sizeof a->addr);
  a->last_contact_ms = c->now_ms;
  a->table_contact_ms = fresh_ms;
  a->millicores = millicores;
}

const struct adviser *
fsched_adviser_freshest (const struct fsched *c)
{
  const struct adviser *best = NULL;

  for (int i = 0; i < c->n_advisers; i++)
    if (*c->advisers[i].addr
        && (!best || c->advisers[i].table_contact_ms > best->table_contact_ms))
      best = &c->advisers[i];
  return best;
}

int
fsched_adviser_rank (const struct fsched *c, const char *id)
{
  int me = -1;
  int rank = 0;

  for (int i = 0; i < c->n_advisers; i++)
    if (strcmp (c->advisers[i].id, id) == 0)
      me = i;
  for (int i = 0; i < c->n_advisers && me >= 0; i++)
    {
      const struct adviser *a = &c->advisers[i];
      if (*a->addr && c->now_ms - a->last_contact_ms < ADVISER_SILENT_MS
          && (a->millicores > c->advisers[me].millicores
              || (a->millicores == c->advisers[me].millicores && i < me)))
        rank++;
    }
  return rank;
}

/* The instance that will be free first, of those for such questions. */
static int
pick_adviser (const struct fsched *c, double cost_ms)
{
  int best = -1;
  int half = (c->n_advisers + 1) / 2;
  bool is_long = cost_ms > LONG_MS;

  for (int i = 0; i < c->n_advisers; i++)
    {
      const struct adviser *a = &c->advisers[i];
      bool here = !*a->addr;
      if (!here && c->now_ms - a->last_contact_ms > ADVISER_SILENT_MS)
        continue;
      if (c->now_ms < a->avoid_until_ms
          || (a->n_queries && c->now_ms > a->busy_until_ms + ADVISER_LATE_MS))
        continue;
      if (is_long && (i >= half || a->n_queries))
        continue;
      if (a->n_queries && a->busy_until_ms - c->now_ms > QUEUED_MAX_MS)
        continue;
      /* Short questions leave the first half free where they can. */
      if (best < 0
          || (is_long ? a->busy_until_ms < c->advisers[best].busy_until_ms
                      : a->busy_until_ms <= c->advisers[best].busy_until_ms))
        best = i;
    }
  return best;
}

struct candidate
{
  struct exec *e;
  int fits;
};

static int
rung (const struct candidate *k)
{
  return k->fits < RUNGS ? k->fits : RUNGS - 1;
}

/* Those with most room first, else in the order given. */
static void
sort_by_room (struct candidate *to, const struct candidate *from, size_t n)
{
  size_t begin[RUNGS + 1] = { 0 };

  for (size_t i = 0; i < n; i++)
    begin[rung (&from[i])]++;
  for (size_t sum = 0, k = RUNGS; k-- > 0;)
    {
      size_t count = begin[k];
      begin[k] = sum;
      sum += count;
    }
  for (size_t i = 0; i < n; i++)
    to[begin[rung (&from[i])]++] = from[i];
}

/* struct names - whom to ask about */
struct names
{
  struct candidate list[ORDER_ADVICE_EXECS_MAX];
  size_t n;
  int good_fits; /* tasks that executors known as good have room for */
  int unasked;   /* executors never asked about */
};

/* Executors known as good, with room, whose tickets have lapsed. */
static void
add_lapsed (struct fsched *c, struct job *j, int step, struct names *out)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < c->n_eligible; i++)
    {
      struct exec *e = c->eligible[i];
      struct permit *p;
      int fits;
      if (!exec_usable (e, j, step))
        continue;
      p = permit_get (s, e);
      if (p->state == PERMIT_ALLOWED && p->boot_start_ms != e->boot_start_ms)
        p->state = PERMIT_UNKNOWN;
      out->unasked += p->state == PERMIT_UNKNOWN;
      if (p->state != PERMIT_ALLOWED)
        continue;
      fits = exec_fits (e, j, step, s->n_tasks);
      out->good_fits += fits;
      if (fits > 0 && !permit_valid (c, s, e)
          && out->n < ORDER_ADVICE_EXECS_MAX)
        out->list[out->n++] = (struct candidate){ e, fits };
    }
}

/* Executors never asked about, those with most room first. */
static void
add_unasked (struct fsched *c, struct job *j, int step, struct names *out,
             int want)
{
  struct jstep *s = &j->steps[step];
  struct candidate *all
      = fsched_zalloc (2 * (size_t)c->n_eligible, sizeof *all);
  struct candidate *sorted = all + c->n_eligible;
  double share = fsched_queue (c, j->spec.queue)->permitted_share;
  double found = 0;
  size_t n = 0;

  for (int i = 0; i < c->n_eligible; i++)
    {
      struct exec *e = c->eligible[i];
      if (exec_usable (e, j, step)
          && permit_get (s, e)->state == PERMIT_UNKNOWN)
        all[n++] = (struct candidate){ e, exec_fits (e, j, step, s->n_tasks) };
    }
  sort_by_room (sorted, all, n);
  for (size_t i = 0; i < n && out->n < ORDER_ADVICE_EXECS_MAX
                     && (found < want || i < SPARE_MIN / share);
       i++)
    {
      out->list[out->n++] = sorted[i];
      found += share * (sorted[i].fits > 0 ? sorted[i].fits : 0.5);
    }
  free (all);
}

static void
send_question (struct fsched *c, struct job *j, int step,
               const struct names *names, int adviser, double cost_ms)
{
  struct adviser *a = &c->advisers[adviser];
  struct jstep *s = &j->steps[step];
  struct pending_order *pend;
  struct order *o = fsched_order_new (c, ORDER_ADVISE, NULL, &pend);
  int64_t begin = a->busy_until_ms > c->now_ms ? a->busy_until_ms : c->now_ms;

  clb_copy (o->task.job, j->spec.id, sizeof o->task.job);
  o->task.step = step;
  o->execs = calloc (names->n, sizeof *o->execs);
  if (!o->execs)
    abort ();
  for (size_t i = 0; i < names->n; i++)
    {
      clb_copy (o->execs[i], names->list[i].e->rep.id, CLB_ID_MAX);
      struct permit *p = permit_get (s, names->list[i].e);
      if (p->state == PERMIT_UNKNOWN)
        p->state = PERMIT_QUERIED;
    }
  o->n_execs = names->n;
  a->busy_until_ms = begin + (int64_t)cost_ms;
  a->n_queries++;
  o->timeout_ms = a->busy_until_ms - c->now_ms + ASK_SLACK_MS;
  /* The instance that asks; this one where it is empty. */
  clb_copy (o->addr, a->addr, sizeof o->addr);
  clb_copy (pend->job, j->spec.id, sizeof pend->job);
  pend->step = step;
  pend->adviser = adviser;
  pend->deadline_ms = c->now_ms + o->timeout_ms + QUEUED_MAX_MS;
  pend->n_execs = names->n;
  s->query_id = o->id;
  c->stats->queries++;
  c->queries_left--;
}

/* Room on @e for some of the step's tasks is not for work behind it. */
static int
promise (struct exec *e, const struct job *j, int step, int most)
{
  const struct job_step *s = &j->spec.steps[step];
  int n = exec_fits (e, j, step, most);

  if (!s->best_effort_cpu)
    e->reserved.millicores += n * s->need.millicores;
  e->reserved.mem_mb += n * s->need.mem_mb;
  e->reserved.accels += n * s->need.accels;
  return n;
}

static void
promise_names (const struct job *j, int step, const struct names *names,
               int waiting)
{
  for (size_t i = 0; i < names->n && waiting > 0; i++)
    waiting -= promise (names->list[i].e, j, step, waiting);
}

/* A question is under way: its executors' room stays promised. */
static void
promise_asked (struct fsched *c, struct job *j, int step, int waiting)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < c->n_eligible; i++)
    {
      struct exec *e = c->eligible[i];
      const struct permit *p;
      if (waiting <= 0)
        return;
      if (e->index >= s->n_permits || !exec_usable (e, j, step))
        continue;
      p = &s->permits[e->index];
      if (p->state == PERMIT_QUERIED || p->state == PERMIT_ALLOWED)
        waiting -= promise (e, j, step, waiting);
    }
}

void
advice_query (struct fsched *c, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];
  const struct job_advice *adv = &j->spec.advice;
  struct names names = { .n = 0 };
  int waiting = s->n_tasks - s->n_done - s->n_running;
  bool gang = j->spec.steps[step].gang;
  int adviser;
  double cost;

  if (s->query_id)
    {
      promise_asked (c, j, step, waiting);
      return;
    }
  if (c->now_ms < s->next_query_ms || waiting <= 0 || c->queries_left <= 0
      || !(adv->base_ms > LONG_MS ? c->long_adviser_free
                                  : c->short_adviser_free))
    return;
  add_lapsed (c, j, step, &names);
  if (names.good_fits < waiting && names.unasked > 0)
    add_unasked (c, j, step, &names,
                 SPARE_FACTOR * (waiting - names.good_fits));
  /* A gang needs room for all: until then its tickets would lapse unused. */
  else if (gang && names.good_fits < waiting)
    return;
  if (names.n == 0)
    return;
  cost = adv->base_ms + adv->per_exec_ms * (double)names.n;
  adviser = pick_adviser (c, cost);
  promise_names (j, step, &names, waiting);
  if (adviser >= 0)
    send_question (c, j, step, &names, adviser, cost);
  advice_begin_pass (c);
}

void
advice_begin_pass (struct fsched *c)
{
  c->short_adviser_free = pick_adviser (c, 1) >= 0;
  c->long_adviser_free = pick_adviser (c, LONG_MS + 1) >= 0;
}

static void
take_good (struct fsched *c, struct jstep *s, const struct order_result *res,
           int64_t valid_ms)
{
  for (size_t i = 0; i < res->n_permitted; i++)
    {
      struct exec *e = exec_find (c, res->permitted[i].exec);
      struct permit *p;
      if (!e)
        continue;
      p = permit_get (s, e);
      p->state = PERMIT_ALLOWED;
      p->boot_start_ms = e->boot_start_ms;
      p->valid_until_ms = c->now_ms + valid_ms;
      if (p->valid_until_ms > s->tickets_until_ms)
        s->tickets_until_ms = p->valid_until_ms;
      free (p->ticket);
      p->ticket = strdup (res->permitted[i].ticket);
    }
}

static int64_t
again_pause (int n_asks)
{
  int64_t pause = ASK_AGAIN_MS;

  if (n_asks < 2)
    return 0;
  for (int i = 2; i < n_asks && pause < ASK_AGAIN_MAX_MS; i++)
    pause *= 2;
  return pause;
}

void
advice_result (struct fsched *c, const struct pending_order *pend,
               const struct order_result *res)
{
  struct job *j = fsched_find_job (c, pend->job);
  struct adviser *a = &c->advisers[pend->adviser];
  struct jstep *s;
  bool good = res->outcome == ORDER_DONE;

  if (--a->n_queries == 0)
    a->busy_until_ms = c->now_ms;
  c->pass_due = true;
  if (!good)
    {
      c->stats->queries_failed++;
      a->avoid_until_ms = c->now_ms + ADVISER_AVOID_MS;
    }
  if (!j || j->steps[pend->step].query_id != pend->id)
    return;
  s = &j->steps[pend->step];
  s->query_id = 0;
  s->next_query_ms
      = c->now_ms + (good ? again_pause (++s->n_queries) : ASK_PAUSE_MS);
  if (good)
    take_good (c, s, res,
               res->valid_ms ? res->valid_ms : j->spec.advice.valid_ms);
  for (int i = 0; i < s->n_permits; i++)
    if (s->permits[i].state == PERMIT_QUERIED)
      s->permits[i].state = good ? PERMIT_DENIED : PERMIT_UNKNOWN;
  if (good && pend->n_execs)
    {
      struct fsched_queue *q = fsched_queue (c, j->spec.queue);
      double share = (double)res->n_permitted / (double)pend->n_execs;
      q->permitted_share += 0.05 * (share - q->permitted_share);
      if (q->permitted_share < 0.1)
        q->permitted_share = 0.1;
    }
  out_line (c->out,
            "event=advice job=%s step=%d by=%s outcome=%s asked=%zu "
            "good=%zu",
            pend->job, pend->step, *a->id ? a->id : "self",
            order_outcome_names[res->outcome], pend->n_execs,
            res->n_permitted);
}
