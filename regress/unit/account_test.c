/* Tests of the limits of client accounts. */
#include "sched_fixture.h"
#include "unit.h"

static void
test_nothing_starts_without_a_configuration (void)
{
  struct fixture x;

  set_up (&x);
  settle (&x);
  add_job (&x, "0000000000000001", 3, false);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 0);
  set_limit (&x, 10000);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 3);
  tear_down (&x);
}

static void
test_starts_beyond_a_lowered_limit_are_not_sent (void)
{
  struct fixture x;

  set_up (&x);
  set_limit (&x, 10000);
  settle (&x);
  add_job (&x, "0000000000000001", 10, false);
  step (&x);
  collect (&x);
  set_limit (&x, 4000);
  record (&x);
  CU_ASSERT_EQUAL (x.n_started, 4);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 4);
  tear_down (&x);
}

static void
test_a_gang_beyond_a_lowered_limit_is_not_sent (void)
{
  struct fixture x;

  set_up (&x);
  set_limit (&x, 10000);
  settle (&x);
  add_job (&x, "0000000000000001", 6, true);
  step (&x);
  collect (&x);
  set_limit (&x, 4000);
  record (&x);
  CU_ASSERT_EQUAL (x.n_started, 0);
  set_limit (&x, 6000);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 6);
  tear_down (&x);
}

static void
test_account_missing_in_a_configuration_keeps_its_limit (void)
{
  struct fixture x;

  set_up (&x);
  set_limit (&x, 4000);
  settle (&x);
  add_job (&x, "0000000000000001", 10, false);
  x.conf.version++;
  x.conf.n_tenants = 0;
  fsched_set_conf (x.fs, &x.conf);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 4);
  set_limit (&x, 6000);
  step (&x);
  settle (&x);
  CU_ASSERT_EQUAL (x.n_started, 6);
  tear_down (&x);
}

UNIT_MAIN ("account_test",
           { "nothing starts without a configuration",
             test_nothing_starts_without_a_configuration },
           { "starts beyond a lowered limit are not sent",
             test_starts_beyond_a_lowered_limit_are_not_sent },
           { "a gang beyond a lowered limit is not sent",
             test_a_gang_beyond_a_lowered_limit_is_not_sent },
           { "an account missing in a configuration keeps its limit",
             test_account_missing_in_a_configuration_keeps_its_limit })
