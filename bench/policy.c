/*
 * policy - measures the placement policy on one core: placements per second,
 * the time of one decision and the packing density.  For comparison, three
 * baseline policies place the same tasks on the same workers.  Prints each
 * figure as a JSON line.
 */
#include "place.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  DECISIONS = 200000, /* placement decisions in one measurement of times */
  /* Cores and memory of one worker. */
  WORKER_CORES = 32,
  WORKER_MEM_MB = 65536,
  RACK_SIZE = 8,            /* workers in one rack */
  PACKING_MISSES_MAX = 200, /* tasks in a row that fit on no worker */
};

/* enum policy - placement policy, which chooses a worker for a task */
enum policy
{
  POLICY_CITRONLB,
  POLICY_FIRST_FIT,
  POLICY_LEAST_LOADED,
  POLICY_RANDOM_OF_TWO, /* the less loaded of two random workers */
  POLICY_N
};
static const char *const policy_names[POLICY_N]
    = { "citronlb", "first-come first-fit", "least-loaded", "random of two" };

static uint64_t rng_state;

/* Returns a pseudo-random number from 0 to @below - 1, or 0 if @below is 0. */
static uint64_t
next_random (uint64_t below)
{
  rng_state ^= rng_state << 13;
  rng_state ^= rng_state >> 7;
  rng_state ^= rng_state << 17;
  return below ? rng_state % below : 0;
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
      struct inst in
          = { .kind = INST_WORKER,
              .capacity = { .cores = WORKER_CORES, .mem_mb = WORKER_MEM_MB } };
      snprintf (in.id, sizeof in.id, "w%04d", i);
      snprintf (in.rack, sizeof in.rack, "r%03d", i / RACK_SIZE);
      /* The @accels accelerators are spread evenly over the @n workers. */
      in.capacity.accels
          = (int64_t)(i + 1) * accels / n - (int64_t)i * accels / n;
      struct worker *w = pool_add (pool, &in);
      w->state = WORKER_LIVE;
      w->listed = true;
    }
}

/* Returns the spec of a random task: large with a probability of 10 %, medium
   with 30 % and small with 60 %. */
static struct spec
random_task_spec (void)
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
has_capacity_for (const struct worker *w, const struct clb_res *need)
{
  struct clb_res free_capacity = w->inst.capacity;

  clb_res_add (&free_capacity, &w->used, -1);
  return clb_res_fits (need, &free_capacity);
}

/* Returns the worker that the baseline policy @policy chooses for @need, or
   NULL if it finds none with enough free capacity. */
static struct worker *
pick_by_baseline (struct pool *pool, struct worker **all_workers, int n,
                  int policy, const struct clb_res *need)
{
  struct worker *best = NULL;

  if (policy == POLICY_RANDOM_OF_TWO)
    {
      struct worker *a = all_workers[next_random ((uint64_t)n)];
      struct worker *b = all_workers[next_random ((uint64_t)n)];
      if (!a || !b)
        return NULL;
      if (has_capacity_for (a, need)
          && (!has_capacity_for (b, need) || a->used.cores <= b->used.cores))
        return a;
      return has_capacity_for (b, need) ? b : NULL;
    }
  (void)pool;
  for (int i = 0; i < n; i++)
    {
      if (!all_workers[i] || !has_capacity_for (all_workers[i], need))
        continue;
      if (policy == POLICY_FIRST_FIT)
        return all_workers[i];
      if (!best || all_workers[i]->used.cores < best->used.cores)
        best = all_workers[i];
    }
  return best;
}

/* Chooses a worker for a task by @policy and reserves the resources of the
   task on it.  Returns the worker, or NULL if the policy finds none. */
static struct worker *
place_task (struct pool *pool, struct worker **all_workers, int n, int policy,
            const struct spec *spec)
{
  struct worker *w = NULL;
  int64_t n_examined;
  int reason; /* enum clb_reason, the result of pool_pick() */

  if (policy != POLICY_CITRONLB)
    {
      w = pick_by_baseline (pool, all_workers, n, policy, &spec->need);
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

/* struct placement - worker of a running task and the resources reserved for
   the task, which are released when it ends; w is NULL if no task runs */
struct placement
{
  struct worker *w;
  struct clb_res need;
};

/* Measures the time of each placement decision and the placements per second,
   while at most @max_running tasks run at once.  Before each decision
   one of the @max_running placements is chosen at random: its task ends, if it
   has one, and the new task takes its place. */
static void
measure_decision_times (int workers, int accels, int max_running, int policy)
{
  static int64_t times_ns[DECISIONS];
  struct pool pool;
  struct worker **all_workers = calloc ((size_t)workers, sizeof *all_workers);
  struct placement *placements
      = calloc ((size_t)max_running, sizeof *placements);
  struct worker *w;
  int n = 0;
  int64_t total_ns = 0;
  int n_placed = 0;

  if (!all_workers || !placements)
    abort ();
  rng_state = 88172645463325252u;
  pool_init (&pool);
  add_workers (&pool, workers, accels);
  RB_FOREACH (w, worker_tree, &pool.workers)
    all_workers[n++] = w;
  for (int i = 0; i < DECISIONS; i++)
    {
      struct placement *p = &placements[next_random ((uint64_t)max_running)];
      if (p->w)
        clb_res_add (&p->w->used, &p->need, -1);
      p->w = NULL;
      struct spec spec = random_task_spec ();
      int64_t start_ns = now_ns ();
      w = place_task (&pool, all_workers, n, policy, &spec);
      times_ns[i] = now_ns () - start_ns;
      total_ns += times_ns[i];
      if (!w)
        continue;
      n_placed++;
      p->w = w;
      p->need = spec.need;
    }
  const int median = DECISIONS / 2;
  const int p99 = DECISIONS / 100 * 99;
  qsort (times_ns, DECISIONS, sizeof *times_ns, compare_times);
  printf ("{\"figure\":\"placement\",\"way\":\"%s\",\"workers\":%d,"
          "\"running\":%d,\"placements_per_s\":%.0f,\"p50_us\":%.1f,"
          "\"p99_us\":%.1f,\"placed\":%d,\"of\":%d}\n",
          policy_names[policy], workers, max_running,
          (double)DECISIONS * 1e9 / (double)total_ns,
          (double)times_ns[median] / 1e3, (double)times_ns[p99] / 1e3,
          n_placed, DECISIONS);
  pool_clear (&pool);
  free (all_workers);
  free (placements);
}

/* Measures the share of the workers' cores and memory that is in use after
   random tasks were placed until PACKING_MISSES_MAX consecutive tasks did not
   fit. */
static void
measure_packing (int workers, int accels, int policy)
{
  struct pool pool;
  struct worker **all_workers = calloc ((size_t)workers, sizeof *all_workers);
  struct worker *w;
  int n = 0;
  int n_misses = 0;
  int64_t cores = 0;
  int64_t mem_mb = 0;

  if (!all_workers)
    abort ();
  rng_state = 88172645463325252u;
  pool_init (&pool);
  add_workers (&pool, workers, accels);
  RB_FOREACH (w, worker_tree, &pool.workers)
    all_workers[n++] = w;
  while (n_misses < PACKING_MISSES_MAX)
    {
      struct spec spec = random_task_spec ();
      n_misses = place_task (&pool, all_workers, n, policy, &spec)
                     ? 0
                     : n_misses + 1;
    }
  for (int i = 0; i < n; i++)
    {
      cores += all_workers[i]->used.cores;
      mem_mb += all_workers[i]->used.mem_mb;
    }
  printf ("{\"figure\":\"packing\",\"way\":\"%s\",\"workers\":%d,"
          "\"cores_used\":%.4f,\"mem_used\":%.4f}\n",
          policy_names[policy], workers,
          (double)cores / (WORKER_CORES * (double)workers),
          (double)mem_mb / (WORKER_MEM_MB * (double)workers));
  pool_clear (&pool);
  free (all_workers);
}

int
main (void)
{
  for (int policy = 0; policy < POLICY_N; policy++)
    {
      measure_decision_times (50, 12, 300, policy);
      measure_decision_times (186, 220, 1140, policy);
      measure_decision_times (930, 1100, 5700, policy);
    }
  for (int policy = 0; policy < POLICY_N; policy++)
    {
      measure_packing (50, 12, policy);
      measure_packing (930, 1100, policy);
    }
  return 0;
}
