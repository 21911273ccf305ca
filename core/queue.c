/* Which waiting work starts next: class by class, by dominant share. */
#include "sched.h"

#include <stdlib.h>
#include <string.h>

enum
{
  BACKFILL_MAX = 16,      /* blocked tasks passed over per team and class */
  BLOCKED_MAX = 16,       /* sizes remembered as not fitting in a round */
  NEVER_FITS_MS = 120000, /* larger than every worker this long: ended */
  SHARE_ONE = 1 << 20,    /* a whole fleet, in share arithmetic */
};

/* struct round - what one round of placement has found not to fit */
struct round
{
  struct clb_res blocked[BLOCKED_MAX];
  int n_blocked;
};

static bool
round_blocks (const struct round *r, const struct spec *spec)
{
  for (int i = 0; i < r->n_blocked; i++)
    if (clb_res_fits (&r->blocked[i], &spec->need))
      return true;
  return false;
}

static void
round_block (struct round *r, const struct spec *spec)
{
  if (r->n_blocked < BLOCKED_MAX && spec->members == 1)
    r->blocked[r->n_blocked++] = spec->need;
}

static void
answer_acquired (struct sched *s, struct task *t)
{
  struct waiter *a = TAILQ_FIRST (&t->waiters);

  if (!a)
    return;
  TAILQ_REMOVE (&t->waiters, a, link);
  service_reply (s, t, a->entry, a->call_seq, a->stamp);
  free (a);
}

const int64_t wait_bucket_ms[WAIT_BUCKETS]
    = { 10, 100, 500, 1000, 3600, 10000, 60000, 600000, INT64_MAX };

static void
count_wait (struct sched *s, const struct task *t)
{
  int64_t ms = s->now_ms - t->accepted_ms;
  int bucket = 0;

  while (ms > wait_bucket_ms[bucket])
    bucket++;
  s->stats.waits[t->class][bucket]++;
  s->stats.wait_sum_ms[t->class] += (uint64_t)ms;
}

static void
task_start (struct sched *s, struct task *t, struct worker **picked,
            int reason, int64_t looked_at)
{
  task_dequeue (t);
  task_place (s, t, picked);
  t->reason = reason;
  s->stats.placed++;
  if (t->attempt == 0)
    count_wait (s, t);
  for (int64_t i = 0; i < t->n_members; i++)
    task_event (s, t, reason, t->members[i].worker_id, looked_at);
  task_journal (s, t, REC_INTENT);
  if (t->lane == LANE_SERVICE)
    {
      t->expires_ms = task_slot_expiry_ms (s, t);
      t->intent_durable = true;
      answer_acquired (s, t);
      return;
    }
  struct effect *e = journal_effect (s, EFFECT_INTENT, t->id);
  e->attempt = t->attempt;
}

static void
note_blocked (struct sched *s, struct task *t, int reason, int64_t looked_at)
{
  if (t->reason == reason)
    return;
  t->reason = reason;
  task_event (s, t, reason, "", looked_at);
}

/* A task that no worker could hold is told so, after a while in which larger
   ones might have come. */
static void
note_never_fits (struct sched *s, struct task *t)
{
  if (t->no_fit_since_ms == 0)
    t->no_fit_since_ms = s->now_ms;
  else if (s->now_ms - t->no_fit_since_ms >= NEVER_FITS_MS
           && s->now_ms - s->started_ms >= NEVER_FITS_MS)
    task_ended (s, t, TASK_FAILED, WHY_NO_WORKER_FITS);
}

static bool
try_place (struct sched *s, struct round *r, struct task *t)
{
  struct worker **picked;
  int64_t looked_at;

  if (t->not_before_ms > s->now_ms || !t->accept_durable)
    return false;
  if (t->lane == LANE_SERVICE && !s->slots_known)
    return false;
  if (!escrow_allows (s, t->team, &t->spec.need, t->spec.members))
    {
      note_blocked (s, t, WHY_TEAM_LIMIT, 0);
      return false;
    }
  if (round_blocks (r, &t->spec))
    return false;
  picked = calloc ((size_t)t->spec.members, sizeof *picked);
  if (!picked)
    abort ();
  int reason = pool_pick (&s->pool, &t->spec, t->failed_on, s->now_ms, picked,
                          &looked_at);
  if (reason == WHY_NO_ROOM || reason == WHY_NO_WORKER_FITS)
    {
      round_block (r, &t->spec);
      note_blocked (s, t, reason, looked_at);
      if (reason == WHY_NO_WORKER_FITS)
        note_never_fits (s, t);
      else
        t->no_fit_since_ms = 0;
      if (reason == WHY_NO_ROOM && t->class == CLASS_URGENT)
        urgent_preempt (s, t);
    }
  else
    task_start (s, t, picked, reason, looked_at);
  free (picked);
  return reason != WHY_NO_ROOM && reason != WHY_NO_WORKER_FITS;
}

/* Places the first task of the queue that can start now. */
static bool
place_from (struct sched *s, struct round *r, struct team *team, int class)
{
  struct task *t;
  struct task *next;
  int passed = 0;

  for (t = TAILQ_FIRST (&team->queue[class]); t; t = next)
    {
      next = TAILQ_NEXT (t, queued);
      if (try_place (s, r, t))
        return true;
      if (++passed >= BACKFILL_MAX)
        return false;
    }
  return false;
}

/* A team's largest part of any resource, by its weight. */
static int64_t
team_share (const struct team *team, const struct clb_res *fleet)
{
  int64_t share = 0;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t all = clb_res_get (fleet, k);
      if (all <= 0)
        continue;
      int64_t part = clb_res_get (&team->used, k) * SHARE_ONE / all;
      if (part > share)
        share = part;
    }
  return share / team->weight;
}

static struct clb_res
fleet_size (struct sched *s)
{
  struct worker *w;
  struct clb_res sum = { 0 };

  RB_FOREACH (w, worker_tree, &s->pool.workers)
    if (w->listed)
      clb_res_add (&sum, &w->inst.capacity, 1);
  return sum;
}

static void
place_class (struct sched *s, struct round *r, const struct clb_res *fleet,
             int class)
{
  struct team *team;
  struct team *open[CONF_TEAMS_MAX];
  int n = 0;

  RB_FOREACH (team, team_tree, &s->teams)
    if (!TAILQ_EMPTY (&team->queue[class]) && n < CONF_TEAMS_MAX)
      open[n++] = team;
  while (n > 0)
    {
      int best = 0;
      for (int i = 1; i < n; i++)
        if (team_share (open[i], fleet) < team_share (open[best], fleet))
          best = i;
      if (!place_from (s, r, open[best], class))
        open[best] = open[--n];
    }
}

void
place_round (struct sched *s)
{
  struct round r = { .n_blocked = 0 };
  struct clb_res fleet = fleet_size (s);

  s->dirty = false;
  for (int class = 0; class < CLASS_N; class ++)
    place_class (s, &r, &fleet, class);
}
