/*
 * The pool of workers and the choice of workers for a task by scores: the
 * worker with the lowest score is chosen.
 */
#include "place.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Per dimension of which the whole capacity would be left over. */
  SCORE_ONE = 1024,
  /* For a worker with free accelerators if the task needs none. */
  SCORE_ACCEL_WASTE = 8192,
  /* Per other member on the same rack if the task is to be spread. */
  SCORE_SAME_RACK = 16384,
  /* For the worker to be avoided. */
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
pool_worker (struct pool *pool, const char *id)
{
  struct worker key;

  clb_copy (key.inst.id, id, sizeof key.inst.id);
  return RB_FIND (worker_tree, &pool->workers, &key);
}

struct worker *
pool_add (struct pool *pool, const struct inst *inst)
{
  struct worker *w = pool_worker (pool, inst->id);

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

static struct clb_res
free_capacity (const struct worker *w)
{
  struct clb_res room = w->inst.capacity;

  clb_res_add (&room, &w->used, -1);
  return room;
}

/* The part of the worker's capacity that would be left over, summed over the
   dimensions.  The lower it is, the tighter the fit. */
static int64_t
leftover (const struct worker *w, const struct clb_res *room,
          const struct clb_res *need)
{
  int64_t score = 0;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t size = clb_res_get (&w->inst.capacity, k);
      if (size > 0)
        score += (clb_res_get (room, k) - clb_res_get (need, k)) * SCORE_ONE
                 / size;
    }
  if (room->accels > 0 && need->accels == 0)
    score += SCORE_ACCEL_WASTE;
  return score;
}

static int
members_on_rack (const char *rack, struct worker *const *picked, int64_t n)
{
  int found = 0;

  for (int64_t i = 0; i < n; i++)
    found += strcmp (picked[i]->inst.rack, rack) == 0;
  return found;
}

/* Whether the worker with most capacity left is preferred, rather than the
   tightest fit.  Service requests are placed so, since the loss of one
   executor then affects few of them. */
static bool
prefers_most_free (const struct spec *spec)
{
  return spec->need.slots > 0 || spec->spread;
}

/* struct search - state of one call of pool_pick() */
struct search
{
  struct pool *pool;
  const struct spec *spec;
  const char *avoid;
  int64_t now_ms;
  struct worker **picked;
  int64_t n_picked;
  int64_t n_candidates;
};

/* Whether the worker is an executor if and only if the task needs slots. */
static bool
right_kind (const struct worker *w, const struct spec *spec)
{
  return (w->inst.kind == INST_EXECUTOR) == (spec->need.slots > 0);
}

static int64_t
score_of (const struct search *s, const struct worker *w,
          const struct clb_res *room)
{
  int64_t score = leftover (w, room, &s->spec->need);

  if (prefers_most_free (s->spec))
    score = -score;
  if (s->spec->spread)
    score += SCORE_SAME_RACK
             * members_on_rack (w->inst.rack, s->picked, s->n_picked);
  if (strcmp (w->inst.id, s->avoid) == 0)
    score += SCORE_AVOID;
  return score;
}

/* Chooses the best worker for one member, of @rack or of any if that is NULL.
   Returns NULL if none has enough free capacity. */
static struct worker *
pick_one (struct search *s, const char *rack)
{
  struct worker *w;
  struct worker *best = NULL;
  int64_t best_score = 0;

  RB_FOREACH (w, worker_tree, &s->pool->workers)
    {
      if (!pool_usable (w, s->now_ms) || !right_kind (w, s->spec))
        continue;
      if (rack && strcmp (rack, w->inst.rack) != 0)
        continue;
      s->n_candidates++;
      struct clb_res room = free_capacity (w);
      if (!clb_res_fits (&s->spec->need, &room))
        continue;
      int64_t score = score_of (s, w, &room);
      if (!best || score < best_score)
        {
          best = w;
          best_score = score;
        }
    }
  return best;
}

static void
unreserve (struct search *s)
{
  for (int64_t i = 0; i < s->n_picked; i++)
    clb_res_add (&s->picked[i]->used, &s->spec->need, -1);
  s->n_picked = 0;
}

/* Chooses a worker for each member, of @rack or of any if that is NULL, and
   reserves capacity.  Returns false and reserves nothing if one member does
   not fit. */
static bool
pick_all (struct search *s, const char *rack)
{
  while (s->n_picked < s->spec->members)
    {
      struct worker *w = pick_one (s, rack);
      if (!w)
        {
          unreserve (s);
          return false;
        }
      s->picked[s->n_picked++] = w;
      clb_res_add (&w->used, &s->spec->need, 1);
    }
  return true;
}

/* Chooses workers for all members on one rack; false if no rack can hold
   them. */
static bool
pick_same_rack (struct search *s)
{
  struct worker *w;
  const char *last_rack = NULL;

  RB_FOREACH (w, worker_tree, &s->pool->workers)
    {
      /* The ids of a rack's workers mostly follow each other, so most racks
         are tried once only. */
      if (last_rack && strcmp (last_rack, w->inst.rack) == 0)
        continue;
      last_rack = w->inst.rack;
      if (pick_all (s, last_rack))
        return true;
    }
  return false;
}

/* Whether the listed workers could hold all members if nothing else ran. */
static bool
could_ever_fit (struct pool *pool, const struct spec *spec)
{
  struct worker *w;
  int64_t n_fit = 0;

  RB_FOREACH (w, worker_tree, &pool->workers)
    {
      struct clb_res room = w->inst.capacity;
      if (!w->listed || !right_kind (w, spec))
        continue;
      for (; n_fit < spec->members && clb_res_fits (&spec->need, &room);
           n_fit++)
        clb_res_add (&room, &spec->need, -1);
      if (n_fit >= spec->members)
        return true;
    }
  return false;
}

int
pool_pick (struct pool *pool, const struct spec *spec, const char *avoid,
           int64_t now_ms, struct worker **picked, int64_t *n_candidates)
{
  struct search s = { .pool = pool,
                      .spec = spec,
                      .avoid = avoid,
                      .now_ms = now_ms,
                      .picked = picked };
  bool found = spec->same_rack && spec->members > 1 && pick_same_rack (&s);

  found = found || pick_all (&s, NULL);
  *n_candidates = s.n_candidates;
  if (found)
    return spec->spread ? WHY_SPREAD : WHY_BEST_FIT;
  return could_ever_fit (pool, spec) ? WHY_NO_ROOM : WHY_NO_WORKER_FITS;
}

/* Adds @r to @sum, except for dimensions in which it is negative. */
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
      struct clb_res room = free_capacity (w);
      add_positive (&sum.free_capacity, &room);
      add_positive (&sum.total_capacity, &w->inst.capacity);
      for (int k = 0; k < RES_N; k++)
        if (clb_res_get (&w->inst.capacity, k)
            > clb_res_get (&sum.largest_worker, k))
          clb_res_set (&sum.largest_worker, k,
                       clb_res_get (&w->inst.capacity, k));
    }
  return sum;
}
