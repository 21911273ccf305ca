/* Tests of the room that is reserved for steps which wait for advice. */
#include "advice_fixture.h"

static void
test_log_names_the_job_that_room_is_reserved_for (void)
{
  struct service s;

  set_up_held_gang (&s);
  s.text = "cause=reserved needed=2 fit=8 fit_ticket=8 fit_unreserved=0 "
           "answers=1 class=3 reserved_for=0000000000000002 reserved_class=0 "
           "hold=query";
  answer_query (&s, &s.queries[0], 0);
  run_for (&s, 400, -1);
  CU_ASSERT_EQUAL (s.n_lines, 1);
  tear_down (&s.x);
}

/* Lets the tickets of a job be valid for their whole lifetime from now on, as
   further answers do. */
static void
renew_tickets (struct service *s, const char *id)
{
  struct jstep *step = &fsched_find_job (s->x.fs, id)->steps[0];

  for (int i = 0; i < step->n_permits; i++)
    step->permits[i].valid_until_ms = s->x.now_ms + VALID_MS;
  step->tickets_until_ms = s->x.now_ms + VALID_MS;
}

static void
test_gang_with_tickets_is_held_back_until_they_expire_at_most (void)
{
  struct service s;

  set_up_held_gang (&s);
  answer_query (&s, &s.queries[0], 0);
  run_for (&s, VALID_MS / 2, -1);
  CU_ASSERT (!has_started (&s, "0000000000000001"));
  run_for (&s, VALID_MS / 2, -1);
  CU_ASSERT (has_started (&s, "0000000000000001"));
  tear_down (&s.x);
}

static void
test_gang_whose_tickets_are_renewed_is_held_back_no_longer (void)
{
  struct service s;

  set_up_held_gang (&s);
  answer_query (&s, &s.queries[0], 0);
  for (int t = 0; t < VALID_MS; t += VALID_MS / 10)
    {
      run_for (&s, VALID_MS / 10, -1);
      renew_tickets (&s, "0000000000000001");
    }
  run_for (&s, 400, -1);
  CU_ASSERT (has_started (&s, "0000000000000001"));
  tear_down (&s.x);
}

static void
test_gang_with_tickets_takes_room_reserved_for_an_equal_gang (void)
{
  struct service s;

  set_up_service (&s);
  fsched_adviser_seen (s.x.fs, "i2", "10.0.0.9:80", 0, 0);
  add_job (&s.x, "0000000000000000", EXECS * CORES - 3, false);
  run_for (&s, 100, -1);
  add_advised_step (&s, "0000000000000001", 4, true, 0);
  run_for (&s, 400, 20);
  CU_ASSERT (!has_started (&s, "0000000000000001"));
  add_advised_step (&s, "0000000000000002", 3, true, 0);
  run_for (&s, 400, 20);
  CU_ASSERT (has_started (&s, "0000000000000002"));
  tear_down (&s.x);
}

/* Sets the number of cores of the last executor. */
static void
set_last_cores (struct service *s, int cores)
{
  struct exec_report rep
      = { .capacity = { .millicores = cores * 1000, .mem_mb = 1000 } };

  clb_copy (rep.id, "e3", sizeof rep.id);
  clb_copy (rep.addr, "10.0.0.1:80", sizeof rep.addr);
  clb_copy (rep.service, "svc", sizeof rep.service);
  fsched_exec_report (s->x.fs, &rep);
}

static void
test_gang_is_asked_about_although_a_larger_one_holds_room (void)
{
  struct service s;

  set_up_service (&s);
  fsched_adviser_seen (s.x.fs, "i2", "10.0.0.9:80", 0, 0);
  add_job (&s.x, "0000000000000000", EXECS * CORES - 3, false);
  run_for (&s, 100, -1);
  set_last_cores (&s, 1);
  add_advised_step (&s, "0000000000000001", 4, true, 0);
  add_advised_step (&s, "0000000000000002", 3, true, 0);
  run_for (&s, VALID_MS + 500, 20);
  CU_ASSERT (!has_started (&s, "0000000000000002"));
  set_last_cores (&s, CORES);
  run_for (&s, VALID_MS + 500, 20);
  CU_ASSERT (has_started (&s, "0000000000000002"));
  tear_down (&s.x);
}

/* Lets the scheduler work every @gap_ms until a job has started, for at most
   @for_ms.  New queries are answered at once. */
static void
run_rarely (struct service *s, const char *id, int64_t gap_ms, int64_t for_ms)
{
  int64_t end_ms = s->x.now_ms + for_ms;

  while (s->x.now_ms < end_ms && !has_started (s, id))
    {
      int n = s->n_queries;
      run_for (s, STEP_MS, -1);
      for (int i = n; i < s->n_queries; i++)
        answer_query (s, &s->queries[i], 0);
      s->x.now_ms += gap_ms - STEP_MS;
    }
}

static void
test_gang_with_tickets_starts_though_passes_are_rare (void)
{
  struct service s;

  set_up_held_gang (&s);
  answer_query (&s, &s.queries[0], 0);
  run_rarely (&s, "0000000000000001", 490, 3 * VALID_MS);
  CU_ASSERT (has_started (&s, "0000000000000001"));
  tear_down (&s.x);
}

static void
test_log_says_since_when_a_query_of_this_pass_reserves_room (void)
{
  struct service s;

  set_up_service (&s);
  fsched_adviser_seen (s.x.fs, "i2", "10.0.0.9:80", 0, 0);
  add_advised_step (&s, "0000000000000001", 2, true, 0);
  run_for (&s, 100, -1);
  CU_ASSERT_EQUAL_FATAL (s.n_queries, 1);
  s.advice_ms = LONG_ADVICE_MS;
  add_advised_step (&s, "0000000000000002", EXECS * CORES, true, TARGET_MS);
  answer_query (&s, &s.queries[0], 0);
  s.text = "reserved_for=0000000000000002 reserved_class=0 hold=query "
           "reserved_ms=0";
  run_for (&s, STEP_MS, -1);
  CU_ASSERT_EQUAL (s.n_lines, 1);
  tear_down (&s.x);
}

static void
test_cancelled_job_holds_no_room_for_the_log (void)
{
  struct service s;
  const struct exec *e;

  set_up_held_gang (&s);
  answer_query (&s, &s.queries[0], 0);
  run_for (&s, 200, -1);
  fsched_cancel (s.x.fs, "0000000000000002");
  for (int i = 0; i < 3 && fsched_find_job (s.x.fs, "0000000000000002"); i++)
    {
      collect (&s.x);
      fsched_recorded (s.x.fs);
    }
  CU_ASSERT_PTR_NULL (fsched_find_job (s.x.fs, "0000000000000002"));
  TAILQ_FOREACH (e, &s.x.fs->execs, link)
    CU_ASSERT_PTR_NULL (e->holder);
  tear_down (&s.x);
}

UNIT_MAIN ("room",
           { "the log names the job that room is reserved for",
             test_log_names_the_job_that_room_is_reserved_for },
           { "a gang with tickets is held back until they expire at most",
             test_gang_with_tickets_is_held_back_until_they_expire_at_most },
           { "a gang whose tickets are renewed is held back no longer",
             test_gang_whose_tickets_are_renewed_is_held_back_no_longer },
           { "a gang with tickets takes room reserved for an equal gang",
             test_gang_with_tickets_takes_room_reserved_for_an_equal_gang },
           { "a gang is asked about although a larger one holds room",
             test_gang_is_asked_about_although_a_larger_one_holds_room },
           { "a gang with tickets starts though passes are rare",
             test_gang_with_tickets_starts_though_passes_are_rare },
           { "the log says since when a query of this pass reserves room",
             test_log_says_since_when_a_query_of_this_pass_reserves_room },
           { "a cancelled job holds no room for the log",
             test_cancelled_job_holds_no_room_for_the_log })
