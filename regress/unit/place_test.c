/* Tests of picking workers for a task. */
#include "place.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

static struct pool pool;

/* Adds a live and listed worker to the pool. */
static struct worker *
add_worker (const char *id, const char *rack, int64_t cores, int64_t accels)
{
  struct inst in
      = { .kind = INST_WORKER,
          .capacity = { .cores = cores, .mem_mb = 1000, .accels = accels } };

  clb_copy (in.id, id, sizeof in.id);
  clb_copy (in.rack, rack, sizeof in.rack);
  struct worker *w = pool_add (&pool, &in);
  w->state = WORKER_LIVE;
  w->listed = true;
  return w;
}

/* Picks workers for a task and stores them in @picked.
   @avoid: id of a worker that is picked only if no other worker fits; empty:
           none

   Return: WHY_BEST_FIT if workers were picked, otherwise the reason why not
   (WHY_...). */
static int
pick_workers (const struct spec *spec, const char *avoid,
              struct worker **picked)
{
  int64_t n_candidates;

  return pool_pick (&pool, spec, avoid, 0, picked, &n_candidates);
}

static void
test_best_fit (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 3 } };
  struct worker *picked[1];

  pool_init (&pool);
  add_worker ("big", "r", 16, 0);
  add_worker ("small", "r", 4, 0);
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (picked[0]->inst.id, "small");
  CU_ASSERT_EQUAL (picked[0]->used.cores, 3);
  CU_ASSERT_EQUAL (pick_workers (&spec, "big", picked), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (picked[0]->inst.id, "big");
  pool_clear (&pool);
}

static void
test_accelerators_kept_free (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 4 } };
  struct worker *picked[1];

  pool_init (&pool);
  add_worker ("accel", "r", 4, 1);
  add_worker ("plain", "r", 16, 0);
  pick_workers (&spec, "", picked);
  CU_ASSERT_STRING_EQUAL (picked[0]->inst.id, "plain");
  pool_clear (&pool);
}

static void
test_gang_all_or_none (void)
{
  struct spec spec = { .members = 3, .need = { .cores = 8 } };
  struct worker *picked[3];

  pool_init (&pool);
  struct worker *a = add_worker ("a", "r1", 16, 0);
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_NO_WORKER_FITS);
  CU_ASSERT_EQUAL (a->used.cores, 0);
  struct worker *b = add_worker ("b", "r2", 8, 0);
  b->used.cores = 1;
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_NO_ROOM);
  CU_ASSERT_EQUAL (a->used.cores, 0);
  b->used.cores = 0;
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_BEST_FIT);
  pool_clear (&pool);
}

static void
test_spread_and_rack (void)
{
  struct spec spread
      = { .members = 2, .spread = true, .need = { .cores = 1 } };
  struct spec one_rack
      = { .members = 2, .same_rack = true, .need = { .cores = 8 } };
  struct worker *picked[2];

  pool_init (&pool);
  add_worker ("a", "r1", 8, 0);
  add_worker ("b", "r1", 8, 0);
  add_worker ("c", "r2", 8, 0);
  pick_workers (&spread, "", picked);
  CU_ASSERT_STRING_NOT_EQUAL (picked[0]->inst.rack, picked[1]->inst.rack);
  pool_clear (&pool);
  pool_init (&pool);
  add_worker ("a", "r1", 8, 0);
  add_worker ("b", "r2", 8, 0);
  add_worker ("c", "r2", 8, 0);
  CU_ASSERT_EQUAL (pick_workers (&one_rack, "", picked), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (picked[0]->inst.rack, picked[1]->inst.rack);
  pool_clear (&pool);
}

static void
test_unusable_worker (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 1 } };
  struct worker *picked[1];

  pool_init (&pool);
  struct worker *w = add_worker ("a", "r", 8, 0);
  w->leaving = true;
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_NO_ROOM);
  w->leaving = false;
  w->quarantine_until_ms = 5;
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_NO_ROOM);
  w->quarantine_until_ms = 0;
  w->state = WORKER_UNREACHABLE;
  CU_ASSERT_EQUAL (pick_workers (&spec, "", picked), WHY_NO_ROOM);
  pool_clear (&pool);
}

UNIT_MAIN ("place",
           { "the worker with the least free capacity is picked",
             test_best_fit },
           { "a task without need of accelerators leaves them free",
             test_accelerators_kept_free },
           { "a gang gets all its workers or none", test_gang_all_or_none },
           { "members are spread over racks or kept in one",
             test_spread_and_rack },
           { "leaving, quarantined or unreachable workers are not picked",
             test_unusable_worker })
