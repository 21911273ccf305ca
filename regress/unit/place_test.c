#include "place.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

static struct pool pool;

static struct worker *
add (const char *id, const char *rack, int64_t cores, int64_t accels)
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

static int
pick (const struct spec *spec, const char *avoid, struct worker **out)
{
  int64_t looked_at;

  return pool_pick (&pool, spec, avoid, 0, out, &looked_at);
}

static void
test_tightest (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 3 } };
  struct worker *got[1];

  pool_init (&pool);
  add ("big", "r", 16, 0);
  add ("small", "r", 4, 0);
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (got[0]->inst.id, "small");
  CU_ASSERT_EQUAL (got[0]->used.cores, 3);
  CU_ASSERT_EQUAL (pick (&spec, "big", got), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (got[0]->inst.id, "big");
  pool_clear (&pool);
}

static void
test_accelerators_kept (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 4 } };
  struct worker *got[1];

  pool_init (&pool);
  add ("accel", "r", 4, 1);
  add ("plain", "r", 16, 0);
  pick (&spec, "", got);
  CU_ASSERT_STRING_EQUAL (got[0]->inst.id, "plain");
  pool_clear (&pool);
}

static void
test_gang_all_or_none (void)
{
  struct spec spec = { .members = 3, .need = { .cores = 8 } };
  struct worker *got[3];

  pool_init (&pool);
  struct worker *a = add ("a", "r1", 16, 0);
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_NO_WORKER_FITS);
  CU_ASSERT_EQUAL (a->used.cores, 0);
  struct worker *b = add ("b", "r2", 8, 0);
  b->used.cores = 1;
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_NO_ROOM);
  CU_ASSERT_EQUAL (a->used.cores, 0);
  b->used.cores = 0;
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_BEST_FIT);
  pool_clear (&pool);
}

static void
test_spread_and_rack (void)
{
  struct spec spread
      = { .members = 2, .spread = true, .need = { .cores = 1 } };
  struct spec near
      = { .members = 2, .same_rack = true, .need = { .cores = 8 } };
  struct worker *got[2];

  pool_init (&pool);
  add ("a", "r1", 8, 0);
  add ("b", "r1", 8, 0);
  add ("c", "r2", 8, 0);
  pick (&spread, "", got);
  CU_ASSERT_STRING_NOT_EQUAL (got[0]->inst.rack, got[1]->inst.rack);
  pool_clear (&pool);
  pool_init (&pool);
  add ("a", "r1", 8, 0);
  add ("b", "r2", 8, 0);
  add ("c", "r2", 8, 0);
  CU_ASSERT_EQUAL (pick (&near, "", got), WHY_BEST_FIT);
  CU_ASSERT_STRING_EQUAL (got[0]->inst.rack, got[1]->inst.rack);
  pool_clear (&pool);
}

static void
test_unusable (void)
{
  struct spec spec = { .members = 1, .need = { .cores = 1 } };
  struct worker *got[1];

  pool_init (&pool);
  struct worker *w = add ("a", "r", 8, 0);
  w->leaving = true;
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_NO_ROOM);
  w->leaving = false;
  w->quarantine_until_ms = 5;
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_NO_ROOM);
  w->quarantine_until_ms = 0;
  w->state = WORKER_UNREACHABLE;
  CU_ASSERT_EQUAL (pick (&spec, "", got), WHY_NO_ROOM);
  pool_clear (&pool);
}

UNIT_MAIN ("place", { "tightest worker", test_tightest },
           { "accelerators kept free", test_accelerators_kept },
           { "gangs whole or not", test_gang_all_or_none },
           { "spread and same rack", test_spread_and_rack },
           { "leaving, quarantined, silent", test_unusable })
