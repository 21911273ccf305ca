/* Tests of the prediction of run times. */
#include "estim.h"
#include "unit.h"

#include <stdlib.h>

static void
test_estimate_until_known (void)
{
  struct estim e = { 0 };

  CU_ASSERT_EQUAL (estim_predict (&e, 700), 700);
  estim_add (&e, 700, 90);
  CU_ASSERT_EQUAL (estim_predict (&e, 700), 700);
  CU_ASSERT_EQUAL (estim_spread (&e), 1);
}

/* Adds 200 runs whose time is @factor times the estimate. */
static void
add_proportional (struct estim *e, double factor)
{
  for (int i = 0; i < 200; i++)
    {
      int64_t estimate_ms = 100 + 37 * (i % 50);
      estim_add (e, estimate_ms, (int64_t)(factor * (double)estimate_ms));
    }
}

static void
test_biased_estimates (void)
{
  struct estim e = { 0 };

  add_proportional (&e, 3);
  CU_ASSERT (llabs (estim_predict (&e, 200) - 600) < 15);
  CU_ASSERT (llabs (estim_predict (&e, 1500) - 4500) < 60);
  CU_ASSERT (estim_spread (&e) < 1.05);
}

static void
test_useless_estimates (void)
{
  struct estim e = { 0 };

  for (int i = 0; i < 200; i++)
    estim_add (&e, i % 2 ? 50 : 5000, i % 4 < 2 ? 800 : 1250);
  CU_ASSERT (llabs (estim_predict (&e, 50) - 1000) < 30);
  CU_ASSERT (llabs (estim_predict (&e, 5000) - 1000) < 30);
  CU_ASSERT (estim_spread (&e) > 1.2 && estim_spread (&e) < 1.3);
}

static void
test_change_is_followed (void)
{
  struct estim e = { 0 };

  add_proportional (&e, 1);
  for (int i = 0; i < 10; i++)
    add_proportional (&e, 4);
  CU_ASSERT (llabs (estim_predict (&e, 500) - 2000) < 60);
}

static void
test_equal_and_missing_estimates (void)
{
  struct estim e = { 0 };

  for (int i = 0; i < 50; i++)
    estim_add (&e, 0, 0);
  CU_ASSERT_EQUAL (estim_predict (&e, 0), 1);
  for (int i = 0; i < 2000; i++)
    estim_add (&e, 0, 400);
  CU_ASSERT (llabs (estim_predict (&e, 0) - 400) < 10);
  CU_ASSERT (estim_spread (&e) >= 1);
}

UNIT_MAIN ("estim",
           { "the estimate is used until runs are known",
             test_estimate_until_known },
           { "estimates that are too low", test_biased_estimates },
           { "estimates that tell nothing", test_useless_estimates },
           { "a change of run times is followed", test_change_is_followed },
           { "equal and missing estimates", test_equal_and_missing_estimates })
