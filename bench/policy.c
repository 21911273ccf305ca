/*
 * policy - measures the placement policy on one core: placements per second,
 * the time of one decision and the packing density.  Three baseline policies
 * place the same tasks on the same workers.  Prints each figure as a JSON
 * line.
 */
#include "place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  DECISIONS = 200000,
  /* Capacity of one worker. */
  CORES = 32,
  MEM_MB = 65536,
  RACK_SIZE = 8,            /* workers in one rack */
  PACKING_MISSES_MAX = 200, /* failures in a row that end a packing run */
};

/* enum policy - how a worker is chosen */
enum policy
{
  POLICY_CITRONLB,
  POLICY_FIRST_FIT,
  POLICY_LEAST_LOADED,
  POLICY_RANDOM_OF_TWO,
  POLICY_N
};
static const char *const policy_names[POLICY_N]
    = { "citronlb", "first-come first-fit", "least-loaded", "random of two" };

static uint64_t rng;

/* A number from 0 to @below - 1, or 0 if @below is 0. */
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

/* A large task in 10 %, a medium one in 30 % and a small one in 60 %. */
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
  struct clb_res free_capacity = w->inst.capacity;

  clb_res_add (&free_capacity, &w->used, -1);
  return clb_res_fits (need, &free_capacity);
}

/* Picks a worker by a baseline policy; NULL if none fits. */
static struct worker *
baseline_pick (struct pool *pool, struct worker **all, int n, int policy,
               const struct clb_res *need)
{
  struct worker *best = NULL;

  if (policy == POLICY_RANDOM_OF_TWO)
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
      if (policy == POLICY_FIRST_FIT)
        return all[i];
      if (!best || all[i]->used.cores < best->used.cores)
        best = all[i];
    }
  return best;
}

/* Picks a worker and reserves the task's resources on it, or returns NULL. */
static struct worker *
place_task (struct pool *pool, struct worker **all, int n, int policy,
            const struct spec *spec)
{
  struct worker *w = NULL;
  int64_t n_examined;
  int reason;

  if (policy != POLICY_CITRONLB)
    {
      w = baseline_pick (pool, all, n, policy, &spec->need);
      if (w)
        clb_res_add (&w->used, &spec->need, 1);
      return w;
    }
  reason = pool_pick (pool, spec, "", 0, &w, &n_examined);
  return reason == WHY_NO_ROOM || reason == WHY_NO_WORKER_FITS ? NULL : w;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* struct placement - a task that was placed, or w is NULL; kept to end it */
struct placement
{
  struct worker *w;
  struct clb_res need;
};

/* Measures decisions while tasks of random kinds end and new ones start. */
static void
measure_speed (int workers, int accels, int running, int policy)
{
  static int64_t times_ns[DECISIONS];
  struct pool pool;
  struct worker **all = calloc ((size_t)workers, sizeof *all);
  struct placement *placements = calloc ((size_t)running, sizeof *placements);
  struct worker *w;
  int n = 0;
  int64_t total_ns = 0;
  int placed = 0;

  if (!all || !placements)
    abort ();
  rng = 88172645463325252u;
  pool_init (&pool);
  add_workers (&pool, workers, accels);
  RB_FOREACH (w, worker_tree, &pool.workers)
    all[n++] = w;
  for (int i = 0; i < DECISIONS; i++)
    {
      struct placement *p = &placements[next_random ((uint64_t)running)];
      if (p->w)
        clb_res_add (&p->w->used, &p->need, -1);
      p->w = NULL;
      struct spec spec = random_spec ();
      int64_t start_ns = now_ns ();
      w = place_task (&pool, all, n, policy, &spec);
      times_ns[i] = now_ns () - start_ns;
      total_ns += times_ns[i];
      if (!w)
        continue;
      placed++;
      p->w = w;
      p->need = spec.need;
    }
  const int median = DECISIONS / 2;
  const int p99 = DECISIONS / 100 * 99;
  qsort (times_ns, DECISIONS, sizeof *times_ns, compare_times);
  printf ("{\"figure\":\"placement\",\"way\":\"%s\",\"workers\":%d,"
          "\"running\":%d,\"placements_per_s\":%.0f,\"p50_us\":%.1f,"
          "\"p99_us\":%.1f,\"placed\":%d,\"of\":%d}\n",
          policy_names[policy], workers, running,
          (double)DECISIONS * 1e9 / (double)total_ns,
          (double)times_ns[median] / 1e3, (double)times_ns[p99] / 1e3, placed,
          DECISIONS);
  pool_clear (&pool);
  free (all);
  free (placements);
}

/* Measures which share of the capacity is in use when tasks no longer fit. */
static void
measure_packing (int workers, int accels, int policy)
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
  while (misses < PACKING_MISSES_MAX)
    {
      struct spec spec = random_spec ();
      misses = place_task (&pool, all, n, policy, &spec) ? 0 : misses + 1;
    }
  for (int i = 0; i < n; i++)
    {
      cores += all[i]->used.cores;
      mem += all[i]->used.mem_mb;
    }
  printf ("{\"figure\":\"packing\",\"way\":\"%s\",\"workers\":%d,"
          "\"cores_used\":%.4f,\"mem_used\":%.4f}\n",
          policy_names[policy], workers,
          (double)cores / (CORES * (double)workers),
          (double)mem / (MEM_MB * (double)workers));
  pool_clear (&pool);
  free (all);
}

int
main (void)
{
  for (int policy = 0; policy < POLICY_N; policy++)
    {
      measure_speed (50, 12, 300, policy);
      measure_speed (186, 220, 1140, policy);
      measure_speed (930, 1100, 5700, policy);
    }
  for (int policy = 0; policy < POLICY_N; policy++)
    {
      measure_packing (50, 12, policy);
      measure_packing (930, 1100, policy);
    }
  return 0;
}
