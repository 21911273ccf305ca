/* Test of a gang that is held back while the table is slow. */
#include "advice_fixture.h"

/* As run_for() with queries that are answered at once, until a job has
   started; each write of records takes @write_ms. */
static void
run_slow_table (struct service *s, const char *id, int64_t write_ms,
                int64_t for_ms)
{
  int64_t end_ms = s->x.now_ms + for_ms;
  int64_t written_ms = 0;

  while (s->x.now_ms < end_ms && !has_started (s, id))
    {
      int n = s->n_queries;
      s->x.now_ms += STEP_MS;
      fsched_tick (s->x.fs, s->x.now_ms, true);
      if (s->x.now_ms >= written_ms)
        {
          if (written_ms)
            fsched_recorded (s->x.fs);
          collect (&s->x);
          written_ms = s->x.now_ms + write_ms;
        }
      take_orders (s);
      for (int i = n; i < s->n_queries; i++)
        answer_query (s, &s->queries[i], 0);
    }
}

static void
test_held_gang_starts_though_its_record_takes_time (void)
{
  struct service s;

  set_up_held_gang (&s);
  answer_query (&s, &s.queries[0], 0);
  run_slow_table (&s, "0000000000000001", 220, 3 * VALID_MS);
  CU_ASSERT (has_started (&s, "0000000000000001"));
  tear_down (&s.x);
}

UNIT_MAIN ("room record",
           { "a held gang starts though its record takes time",
             test_held_gang_starts_though_its_record_takes_time })
