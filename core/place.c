/*
 * The pool of workers and the choice of workers for a task by scores: the
 * worker with the lowest score is chosen.
 */
#include "place.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Added to a worker's score for each resource, times the fraction of the
     worker's capacity that would stay free. */
  SCORE_PER_DIMENSION = 1024,
  /* Added to the score of a worker that has free accelerators if the task
     needs none. */
  SCORE_ACCEL_WASTE = 8192,
  /* Added to a worker's score for each other member of the task on the same
     rack, if the task is to be spread. */
  SCORE_SAME_RACK = 16384,
  /* Added to the score of the worker on which the task last failed, so that it
     is chosen only if no other worker fits. */
  SCORE_AVOID = 1 << 24,
};

int
pool_worker_cmp (const struct worker *a, const struct worker *b)
{
  return strcmp (a->inst.id, b->inst.id);
}

RB_GENERATE (worker_tree, worker, by_id, pool_worker_cmp)

void
pool_init (struct pool *pool)
{
  RB_INIT (&pool->workers);
  pool->n_workers = 0;
}

void
pool_remove (struct pool *pool, struct worker *w)
{
  RB_REMOVE (worker_tree, &pool->workers, w);
  pool->n_workers--;
  free (w->acks);
  free (w->orphans);
  free (w);
}

void
pool_clear (struct pool *pool)
{
  struct worker *w;

  while ((w = RB_MIN (worker_tree, &pool->workers)))
    pool_remove (pool, w);
}

struct worker *
pool_find_worker (struct pool *pool, const char *id)
{
  struct worker key;

  clb_copy (key.inst.id, id, sizeof key.inst.id);
  return RB_FIND (worker_tree, &pool->workers, &key);
}

struct worker *
pool_add (struct pool *pool, const struct inst *inst)
{
  struct worker *w = pool_find_worker (pool, inst->id);

  if (!w)
    {
      w = calloc (1, sizeof *w);
      if (!w)
        abort ();
      clb_copy (w->inst.id, inst->id, sizeof w->inst.id);
      TAILQ_INIT (&w->members);
      RB_INSERT (worker_tree, &pool->workers, w);
      pool->n_workers++;
    }
  w->inst = *inst;
  return w;
}

bool
pool_usable (const struct worker *w, int64_t now_ms)
{
  return w->state == WORKER_LIVE && w->listed && !w->leaving
         && now_ms >= w->quarantine_until_ms;
}

/* Returns the worker's capacity that is not reserved. */
static struct clb_res
free_capacity (const struct worker *w)
{
  struct clb_res available = w->inst.capacity;

  clb_res_add (&available, &w->used, -1);
  return available;
}

/* Returns a score for the capacity that would stay free on the worker if the
   member were placed there, summed over all resources.  The lower the score,
   the tighter the fit.  @available is the worker's free capacity without the
   member. */
static int64_t
leftover_score (const struct worker *w, const struct clb_res *available,
                const struct clb_res *need)
{
  int64_t score = 0;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t size = clb_res_get (&w->inst.capacity, k);
      if (size > 0)
        score += (clb_res_get (available, k) - clb_res_get (need, k))
                 * SCORE_PER_DIMENSION / size;
    }
  if (available->accels > 0 && need->accels == 0)
    score += SCORE_ACCEL_WASTE;
  return score;
}

/* Returns how many of the @n workers in the array @picked are on the rack. */
static int
members_on_rack (const char *rack, struct worker *const *picked, int64_t n)
{
  int found = 0;

  for (int64_t i = 0; i < n; i++)
    found += strcmp (picked[i]->inst.rack, rack) == 0;
  return found;
}

/* Returns true if the worker with the most free capacity is preferred for the
   task, false if the worker with the tightest fit is.  Service requests go to
   the executor with the most free capacity, so that the loss of one executor
   affects few of them. */
static bool
prefers_most_free (const struct spec *spec)
{
  return spec->need.slots > 0 || spec->spread;
}

/* struct pick_state - arguments and state of one call of pool_pick() */
struct pick_state
{
  struct pool *pool;
  const struct spec *spec;
  const char *avoid; /* id of the worker to be avoided, or empty */
  int64_t now_ms;
  struct worker **picked;
  int64_t n_picked;
  int64_t n_candidates;
};

/* Returns whether the worker is of the kind that the task needs: an executor
   if the task needs slots, else a worker. */
static bool
worker_kind_matches (const struct worker *w, const struct spec *spec)
{
  return (w->inst.kind == INST_EXECUTOR) == (spec->need.slots > 0);
}

/* Returns the score of a worker that has free capacity @available for the next
   member.  The worker with the lowest score is chosen. */
static int64_t
worker_score (const struct pick_state *s, const struct worker *w,
              const struct clb_res *available)
{
  int64_t score = leftover_score (w, available, &s->spec->need);

  if (prefers_most_free (s->spec))
    score = -score;
  if (s->spec->spread)
    score += SCORE_SAME_RACK
             * members_on_rack (w->inst.rack, s->picked, s->n_picked);
  if (strcmp (w->inst.id, s->avoid) == 0)
    score += SCORE_AVOID;
  return score;
}

/* Chooses the worker with the lowest score for one member.  @rack is the rack
   that it must be on; NULL: any rack.  Returns NULL if no worker has enough
   free capacity. */
static struct worker *
pick_worker (struct pick_state *s, const char *rack)
{
  struct worker *w;
  struct worker *best = NULL;
  int64_t best_score = 0;

  RB_FOREACH (w, worker_tree, &s->pool->workers)
    {
      if (!pool_usable (w, s->now_ms) || !worker_kind_matches (w, s->spec))
        continue;
      if (rack && strcmp (rack, w->inst.rack) != 0)
        continue;
      s->n_candidates++;
      struct clb_res available = free_capacity (w);
      if (!clb_res_fits (&s->spec->need, &available))
        continue;
      int64_t score = worker_score (s, w, &available);
      if (!best || score < best_score)
        {
          best = w;
          best_score = score;
        }
    }
  return best;
}

/* Releases the capacity reserved on all workers picked so far and forgets
   these workers. */
static void
unreserve_picked (struct pick_state *s)
{
  for (int64_t i = 0; i < s->n_picked; i++)
    clb_res_add (&s->picked[i]->used, &s->spec->need, -1);
  s->n_picked = 0;
}

/* Chooses a worker for each member and reserves its capacity.  @rack is the
   rack that the workers must be on; NULL: any rack.  Returns false, with
   nothing reserved, if a member does not fit. */
static bool
pick_all_members (struct pick_state *s, const char *rack)
{
  while (s->n_picked < s->spec->members)
    {
      struct worker *w = pick_worker (s, rack);
      if (!w)
        {
          unreserve_picked (s);
          return false;
        }
      s->picked[s->n_picked++] = w;
      clb_res_add (&w->used, &s->spec->need, 1);
    }
  return true;
}

/* Chooses workers for all members on the first rack that can hold them, and
   reserves their capacity.  Returns false, with nothing reserved, if no rack
   can. */
static bool
pick_same_rack (struct pick_state *s)
{
  struct worker *w;
  const char *last_rack = NULL;

  RB_FOREACH (w, worker_tree, &s->pool->workers)
    {
      /* Workers are in the order of their ids.  The ids of one rack's workers
         mostly follow each other, so most racks are tried only once. */
      if (last_rack && strcmp (last_rack, w->inst.rack) == 0)
        continue;
      last_rack = w->inst.rack;
      if (pick_all_members (s, last_rack))
        return true;
    }
  return false;
}

/* Returns whether the listed workers could hold all members if nothing else
   ran on them. */
static bool
could_ever_fit (struct pool *pool, const struct spec *spec)
{
  struct worker *w;
  int64_t n_fit = 0;

  RB_FOREACH (w, worker_tree, &pool->workers)
    {
      struct clb_res available = w->inst.capacity;
      if (!w->listed || !worker_kind_matches (w, spec))
        continue;
      for (; n_fit < spec->members && clb_res_fits (&spec->need, &available);
           n_fit++)
        clb_res_add (&available, &spec->need, -1);
      if (n_fit >= spec->members)
        return true;
    }
  return false;
}

int
pool_pick (struct pool *pool, const struct spec *spec, const char *avoid,
           int64_t now_ms, struct worker **picked, int64_t *n_candidates)
{
  struct pick_state s = { .pool = pool,
                          .spec = spec,
                          .avoid = avoid,
                          .now_ms = now_ms,
                          .picked = picked };
  bool found = spec->same_rack && spec->members > 1 && pick_same_rack (&s);

  found = found || pick_all_members (&s, NULL);
  *n_candidates = s.n_candidates;
  if (found)
    return spec->spread ? WHY_SPREAD : WHY_BEST_FIT;
  return could_ever_fit (pool, spec) ? WHY_NO_ROOM : WHY_NO_WORKER_FITS;
}

/* Adds @r to @sum, except for resources whose amount in @r is negative. */
static void
add_positive (struct clb_res *sum, const struct clb_res *r)
{
  for (int k = 0; k < RES_N; k++)
    if (clb_res_get (r, k) > 0)
      clb_res_set (sum, k, clb_res_get (sum, k) + clb_res_get (r, k));
}

struct pool_sum
pool_summary (struct pool *pool, int64_t now_ms)
{
  struct worker *w;
  struct pool_sum sum = { 0 };

  RB_FOREACH (w, worker_tree, &pool->workers)
    {
      if (!pool_usable (w, now_ms))
        continue;
      struct clb_res available = free_capacity (w);
      add_positive (&sum.free_capacity, &available);
      add_positive (&sum.total_capacity, &w->inst.capacity);
      for (int k = 0; k < RES_N; k++)
        if (clb_res_get (&w->inst.capacity, k)
            > clb_res_get (&sum.largest_worker, k))
          clb_res_set (&sum.largest_worker, k,
                       clb_res_get (&w->inst.capacity, k));
    }
  return sum;
}
