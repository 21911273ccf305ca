/* Tests of the limits of rates. */
#include "rate.h"
#include "unit.h"

/* Takes @n times for @party at @now_ms.  Return: how often it was allowed. */
static int
take (struct rate_limit *r, int64_t now_ms, const char *party, int n)
{
  int allowed = 0;

  for (int i = 0; i < n; i++)
    allowed += rate_take (r, now_ms, party, 5);
  return allowed;
}

/* Guards against a party that takes what others need. */
static void
test_each_party_has_its_rate (void)
{
  struct rate_limit r;

  rate_init (&r);
  CU_ASSERT_EQUAL (take (&r, 0, "red", 100), 5 * RATE_BURST_S);
  CU_ASSERT_EQUAL (take (&r, 0, "blue", 100), 5 * RATE_BURST_S);
  CU_ASSERT_EQUAL (take (&r, 1000, "red", 100), 5);
  CU_ASSERT_EQUAL (take (&r, 1100, "red", 100), 0);
  CU_ASSERT_EQUAL (take (&r, 100000, "red", 100), 5 * RATE_BURST_S);
  rate_fini (&r);
}

/* Guards against memory that grows with each party ever seen. */
static void
test_idle_parties_are_forgotten (void)
{
  struct rate_limit r;
  int n = 0;
  struct rate_bucket *b;

  rate_init (&r);
  for (int i = 0; i < 1000; i++)
    {
      char party[32];
      snprintf (party, sizeof party, "party-%d", i);
      CU_ASSERT_TRUE (rate_take (&r, i * 1000, party, 5));
    }
  TAILQ_FOREACH (b, &r.buckets, link)
    n++;
  CU_ASSERT (n <= 2);
  rate_fini (&r);
}

UNIT_MAIN ("rate", { "each party has its rate", test_each_party_has_its_rate },
           { "idle parties are forgotten", test_idle_parties_are_forgotten })
