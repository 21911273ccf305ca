/*
 * The order in which waiting tasks are placed: class by class, and within a
 * class by dominant resource fairness, that is from the team with the lowest
 * weighted dominant share.
 */
#include "sched.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Number of tasks at the head of each of a team's queues that are tried.  A
     task among them that can start is placed before those ahead of it that
     cannot. */
  BACKFILL_TASKS_MAX = 16,
  /* Maximum number of sizes that a placement round remembers as not
     fitting. */
  BLOCKED_SIZES_MAX = 16,
  /* A task that no worker is large enough for is ended after this time. */
  NEVER_FITS_MS = 120000,
  /* Fixed-point value that stands for a share of 1, the domain's whole
     capacity. */
  SHARE_ONE = 1 << 20,
};

/* struct placement_round - sizes that did not fit in this placement round */
struct placement_round
{
  struct clb_res blocked_sizes[BLOCKED_SIZES_MAX];
  int n_blocked;
};

/* Returns whether the task is known not to fit in this round, because another
   task that needs no more of any resource did not fit. */
static bool
known_not_to_fit (const struct placement_round *r, const struct spec *spec)
{
  for (int i = 0; i < r->n_blocked; i++)
    if (clb_res_fits (&r->blocked_sizes[i], &spec->need))
      return true;
  return false;
}

/* Remembers the size of a task that did not fit in this placement round.  The
   size of a gang is not remembered. */
static void
remember_blocked_size (struct placement_round *r, const struct spec *spec)
{
  if (r->n_blocked < BLOCKED_SIZES_MAX && spec->members == 1)
    r->blocked_sizes[r->n_blocked++] = spec->need;
}

/* Replies to the acquire call of a service request that has got a slot. */
static void
reply_acquired (struct sched *s, struct task *t)
{
  struct waiter *waiter = TAILQ_FIRST (&t->waiters);

  if (!waiter)
    return;
  TAILQ_REMOVE (&t->waiters, waiter, link);
  service_reply (s, t, waiter->entry, waiter->call_seq, waiter->call_sent_ms);
  free (waiter);
}

const int64_t wait_bucket_ms[WAIT_BUCKETS]
    = { 10, 100, 500, 1000, 3600, 10000, 60000, 600000, INT64_MAX };

/* Adds the time from the task's accept to its placement to the wait
   histogram. */
static void
count_wait (struct sched *s, const struct task *t)
{
  int64_t ms = s->now_ms - t->accepted_ms;
  int bucket = 0;

  while (ms > wait_bucket_ms[bucket])
    bucket++;
  s->stats.wait_histogram[t->class][bucket]++;
  s->stats.wait_sum_ms[t->class] += (uint64_t)ms;
}

/* Creates the task's members on the picked workers and journals the intent.
   @reason is an enum clb_reason. */
static void
place_on_workers (struct sched *s, struct task *t, struct worker **picked,
                  int reason, int64_t n_candidates)
{
  task_dequeue (t);
  task_place (s, t, picked);
  t->reason = reason;
  s->stats.placed++;
  if (t->attempt == 0)
    count_wait (s, t);
  for (int64_t i = 0; i < t->n_members; i++)
    task_event (s, t, reason, t->members[i].worker_id, n_candidates);
  task_journal (s, t, REC_INTENT);
  if (t->lane == LANE_SERVICE)
    {
      t->expires_ms = task_slot_expiry_ms (s, t);
      t->intent_durable = true;
      reply_acquired (s, t);
      return;
    }
  struct effect *e = journal_add_effect (s, EFFECT_INTENT, t->id);
  e->attempt = t->attempt;
}

/* Records why a task is not placed, unless the reason is the same as before.
   @reason is an enum clb_reason. */
static void
set_wait_reason (struct sched *s, struct task *t, int reason,
                 int64_t n_candidates)
{
  if (t->reason == reason)
    return;
  t->reason = reason;
  task_event (s, t, reason, "", n_candidates);
}

/* Ends a task once no worker has been large enough for it for NEVER_FITS_MS.
   The task is not ended at once, since a larger worker may be listed
   meanwhile. */
static void
end_if_never_fits (struct sched *s, struct task *t)
{
  if (t->no_fit_since_ms == 0)
    t->no_fit_since_ms = s->now_ms;
  else if (s->now_ms - t->no_fit_since_ms >= NEVER_FITS_MS
           && s->now_ms - s->started_ms >= NEVER_FITS_MS)
    task_finish (s, t, TASK_FAILED, WHY_NO_WORKER_FITS);
}

/* Places the task if it can start now.  Returns whether it was placed. */
static bool
try_place (struct sched *s, struct placement_round *r, struct task *t)
{
  struct worker **picked;
  int64_t n_candidates;

  if (t->not_before_ms > s->now_ms || !t->accept_durable)
    return false;
  if (t->lane == LANE_SERVICE && !s->slots_known)
    return false;
  if (!escrow_allows (s, t->team, &t->spec.need, t->spec.members))
    {
      set_wait_reason (s, t, WHY_TEAM_LIMIT, 0);
      return false;
    }
  if (known_not_to_fit (r, &t->spec))
    return false;
  picked = calloc ((size_t)t->spec.members, sizeof *picked);
  if (!picked)
    abort ();
  int reason = pool_pick (&s->pool, &t->spec, t->failed_on, s->now_ms, picked,
                          &n_candidates);
  if (reason == WHY_NO_ROOM || reason == WHY_NO_WORKER_FITS)
    {
      remember_blocked_size (r, &t->spec);
      set_wait_reason (s, t, reason, n_candidates);
      if (reason == WHY_NO_WORKER_FITS)
        end_if_never_fits (s, t);
      else
        t->no_fit_since_ms = 0;
      if (reason == WHY_NO_ROOM && t->class == CLASS_URGENT)
        urgent_preempt (s, t);
    }
  else
    place_on_workers (s, t, picked, reason, n_candidates);
  free (picked);
  return reason != WHY_NO_ROOM && reason != WHY_NO_WORKER_FITS;
}

/* Places the first task that can start now among the BACKFILL_TASKS_MAX tasks
   at the head of the team's queue for @class, an enum task_class.  Returns
   false if none of them can start. */
static bool
place_first_startable (struct sched *s, struct placement_round *r,
                       struct team *team, int class)
{
  struct task *t;
  struct task *next;
  int tried = 0;

  for (t = TAILQ_FIRST (&team->queue[class]); t; t = next)
    {
      next = TAILQ_NEXT (t, queued);
      if (try_place (s, r, t))
        return true;
      if (++tried >= BACKFILL_TASKS_MAX)
        return false;
    }
  return false;
}

/* Returns a team's dominant share, that is its largest share of any resource
   in @total, divided by the team's weight.  SHARE_ONE stands for all of
   @total. */
static int64_t
weighted_dominant_share (const struct team *team, const struct clb_res *total)
{
  int64_t share = 0;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t amount = clb_res_get (total, k);
      if (amount <= 0)
        continue;
      int64_t resource_share
          = clb_res_get (&team->used, k) * SHARE_ONE / amount;
      if (resource_share > share)
        share = resource_share;
    }
  return share / team->weight;
}

/* Returns the capacity of all listed workers and executors of the domain. */
static struct clb_res
total_capacity (struct sched *s)
{
  struct worker *w;
  struct clb_res sum = { 0 };

  RB_FOREACH (w, worker_tree, &s->pool.workers)
    if (w->listed)
      clb_res_add (&sum, &w->inst.capacity, 1);
  return sum;
}

/* Places all waiting tasks of class @class, an enum task_class, that can
   start.  The next task is always one of the team with the lowest dominant
   share among the teams that have such a task.  @total is the domain's whole
   capacity. */
static void
place_class_tasks (struct sched *s, struct placement_round *r,
                   const struct clb_res *total, int class)
{
  struct team *team;
  struct team *teams[CONF_TEAMS_MAX];
  int n_teams = 0;

  RB_FOREACH (team, team_tree, &s->teams)
    if (!TAILQ_EMPTY (&team->queue[class]) && n_teams < CONF_TEAMS_MAX)
      teams[n_teams++] = team;
  while (n_teams > 0)
    {
      int best = 0;
      for (int i = 1; i < n_teams; i++)
        if (weighted_dominant_share (teams[i], total)
            < weighted_dominant_share (teams[best], total))
          best = i;
      if (!place_first_startable (s, r, teams[best], class))
        teams[best] = teams[--n_teams];
    }
}

void
place_round (struct sched *s)
{
  struct placement_round r = { .n_blocked = 0 };
  struct clb_res total = total_capacity (s);

  s->placement_due = false;
  for (int class = 0; class < CLASS_N; class ++)
    place_class_tasks (s, &r, &total, class);
}
