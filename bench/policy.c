/*
 * policy - placements a second and the time of one decision, on one core,
 * next to three baselines that place the same work on the same workers.
 * Prints a JSON line for each figure.
 */
#include "place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  DECISIONS = 200000,
  CORES = 32,
  MEM_MB = 65536,
  RACK_SIZE = 8,
  WAITING_MISSES = 200, /* refusals in a row that end a packing run */
};

/* enum way - how a worker is chosen */
enum way
{
  WAY_CITRONLB,
  WAY_FIRST_FIT,
  WAY_LEAST_LOADED,
  WAY_RANDOM_OF_TWO,
  WAY_N
};
static const char *const way_names[WAY_N]
    = { "citronlb", "first-come first-fit", "least-loaded", "random of two" };

static uint64_t rng;

static uint64_t
next_random (uint64_t below)
{
  rng ^= rng << 13;
  rng ^= rng >> 7;
  rng ^= rng << 17;
  return below ? rng % below : 0;
}

static int64_t
now_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static void
add_workers (struct pool *pool, int n, int accels)
{
  for (int i = 0; i < n; i++)
    {
      struct inst in = { .kind = INST_WORKER,
                         .capacity = { .cores = CORES, .mem_mb = MEM_MB } };
      snprintf (in.id, sizeof in.id, "w%04d", i);
      snprintf (in.rack, sizeof in.rack, "r%03d", i / RACK_SIZE);
      /* Accelerators are spread evenly over the workers. */
      in.capacity.accels
          = (int64_t)(i + 1) * accels / n - (int64_t)i * accels / n;
      struct worker *w = pool_add (pool, &in);
      w->state = WORKER_LIVE;
      w->listed = true;
    }
}

/* Large renders, middling proofs, small previews. */
static struct spec
random_spec (void)
{
  struct spec s = { .members = 1 };
  uint64_t kind = next_random (10);

  if (kind == 0)
    s.need = (struct clb_res){ .cores = 12, .mem_mb = 24000, .accels = 1 };
  else if (kind < 4)
    s.need = (struct clb_res){ .cores = 5, .mem_mb = 9000 };
  else
    s.need = (struct clb_res){ .cores = 2, .mem_mb = 3000 };
  return s;
}

static bool
fits (const struct worker *w, const struct clb_res *need)
{
  struct clb_res room = w->inst.capacity;

  clb_res_add (&room, &w->used, -1);
  return clb_res_fits (need, &room);
}

static struct worker *
baseline (struct pool *pool, struct worker **all, int n, int way,
          const struct clb_res *need)
{
  struct worker *best = NULL;

  if (way == WAY_RANDOM_OF_TWO)
    {
      struct worker *a = all[next_random ((uint64_t)n)];
      struct worker *b = all[next_random ((uint64_t)n)];
      if (!a || !b)
        return NULL;
      if (fits (a, need)
          && (!fits (b, need) || a->used.cores <= b->used.cores))
        return a;
      return fits (b, need) ? b : NULL;
    }
  (void)pool;
  for (int i = 0; i < n; i++)
    {
      if (!all[i] || !fits (all[i], need))
        continue;
      if (way == WAY_FIRST_FIT)
        return all[i];
      if (!best || all[i]->used.cores < best->used.cores)
        best = all[i];
    }
  return best;
}

static struct worker *
choose (struct pool *pool, struct worker **all, int n, int way,
        const struct spec *spec)
{
  struct worker *w = NULL;
  int64_t looked_at;
  int reason;

  if (way != WAY_CITRONLB)
    {
      w = baseline (pool, all, n, way, &spec->need);
      if (w)
        clb_res_add (&w->used, &spec->need, 1);
      return w;
    }
  reason = pool_pick (pool, spec, "", 0, &w, &looked_at);
  return reason == WHY_NO_ROOM || reason == WHY_NO_WORKER_FITS ? NULL : w;
}

static int
by_time (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* struct load - one placed task, so that it can end again */
struct load
{
  struct worker *w;
  struct clb_res need;
};

static void
speed (int workers, int accels, int running, int way)
{
  static int64_t times[DECISIONS];
  struct pool pool;
  struct worker **all = calloc ((size_t)workers, sizeof *all);
  struct load *loads = calloc ((size_t)running, sizeof *loads);
  struct worker *w;
  int n = 0;
  int64_t total = 0;
  int placed = 0;

  if (!all || !loads)
    abort ();
  rng = 88172645463325252u;
  pool_init (&pool);
  add_workers (&pool, workers, accels);
  RB_FOREACH (w, worker_tree, &pool.workers)
    all[n++] = w;
  for (int i = 0; i < DECISIONS; i++)
    {
      struct load *l = &loads[next_random ((uint64_t)running)];
      if (l->w)
        clb_res_add (&l->w->used, &l->need, -1);
      l->w = NULL;
      struct spec spec = random_spec ();
      int64_t t0 = now_ns ();
      w = choose (&pool, all, n, way, &spec);
      times[i] = now_ns () - t0;
      total += times[i];
      if (!w)
        continue;
      placed++;
      l->w = w;
      l->need = spec.need;
    }
  const int median = DECISIONS / 2;
  const int late = DECISIONS / 100 * 99;
  qsort (times, DECISIONS, sizeof *times, by_time);
  printf ("{\"figure\":\"placement\",\"way\":\"%s\",\"workers\":%d,"
          "\"running\":%d,\"placements_per_s\":%.0f,\"p50_us\":%.1f,"
          "\"p99_us\":%.1f,\"placed\":%d,\"of\":%d}\n",
          way_names[way], workers, running,
          (double)DECISIONS * 1e9 / (double)total, (double)times[median] / 1e3,
          (double)times[late] / 1e3, placed, DECISIONS);
  pool_clear (&pool);
  free (all);
  free (loads);
}

/* How full the workers are when work has to wait. */
static void
packing (int workers, int accels, int way)
{
  struct pool pool;
  struct worker **all = calloc ((size_t)workers, sizeof *all);
  struct worker *w;
  int n = 0;
  int misses = 0;
  int64_t cores = 0;
  int64_t mem = 0;

  if (!all)
    abort ();
  rng = 88172645463325252u;
  pool_init (&pool);
  add_workers (&pool, workers, accels);
  RB_FOREACH (w, worker_tree, &pool.workers)
    all[n++] = w;
  while (misses < WAITING_MISSES)
    {
      struct spec spec = random_spec ();
      misses = choose (&pool, all, n, way, &spec) ? 0 : misses + 1;
    }
  for (int i = 0; i < n; i++)
    {
      cores += all[i]->used.cores;
      mem += all[i]->used.mem_mb;
    }
  printf ("{\"figure\":\"packing\",\"way\":\"%s\",\"workers\":%d,"
          "\"cores_used\":%.4f,\"mem_used\":%.4f}\n",
          way_names[way], workers, (double)cores / (CORES * (double)workers),
          (double)mem / (MEM_MB * (double)workers));
  pool_clear (&pool);
  free (all);
}

int
main (void)
{
  for (int way = 0; way < WAY_N; way++)
    {
      speed (50, 12, 300, way);
      speed (186, 220, 1140, way);
      speed (930, 1100, 5700, way);
    }
  for (int way = 0; way < WAY_N; way++)
    {
      packing (50, 12, way);
      packing (930, 1100, way);
    }
  return 0;
}
