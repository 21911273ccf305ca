/* Tests of advice queries whose answers or tickets are late. */
#include "advice_fixture.h"

/* Expects that no query is accounted for as outstanding. */
static void
expect_no_queries (const struct service *s)
{
  const struct fsched *fs = s->x.fs;
  const struct job *j;

  CU_ASSERT_EQUAL (fs->n_queries_out, 0);
  CU_ASSERT_EQUAL (fs->n_long_out, 0);
  for (int i = 0; i < fs->n_advisers; i++)
    {
      CU_ASSERT_EQUAL (fs->advisers[i].n_queries, 0);
      CU_ASSERT_EQUAL (fs->advisers[i].n_overdue, 0);
    }
  TAILQ_FOREACH (j, &fs->queue, link)
    CU_ASSERT_EQUAL (j->steps[0].n_asking, 0);
}

static void
test_accounts_are_empty_after_all_queries (void)
{
  struct service s;
  struct job *j;
  char id[JOB_ID_SIZE];

  set_up_service (&s);
  fsched_adviser_seen (s.x.fs, "n1", "10.0.0.9:1", 120, s.x.now_ms);
  s.advice_ms = 2 * ADVICE_MS;
  for (int i = 0; i < 9; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      add_advised_job (&s, id);
    }
  run_for (&s, 5000, -1);
  CU_ASSERT (s.x.fs->n_queries_out > 0);
  for (struct query *q = s.queries; q < s.queries + s.n_queries; q += 2)
    answer_query (&s, q, 0);
  TAILQ_FOREACH (j, &s.x.fs->queue, link)
    j->set_aside = true;
  run_for (&s, 60000, -1);
  expect_no_queries (&s);
  tear_down (&s.x);
}

static void
test_late_answer_is_used (void)
{
  struct service s;

  set_up_service (&s);
  add_advised_job (&s, "0000000000000001");
  run_for (&s, 700, -1);
  CU_ASSERT_EQUAL (s.x.stats.queries_overdue, 1);
  CU_ASSERT_EQUAL (n_started (&s), 0);
  answer_query (&s, &s.queries[0], 0);
  run_for (&s, 100, -1);
  CU_ASSERT_EQUAL (n_started (&s), 1);
  tear_down (&s.x);
}

static void
test_deadline_follows_the_time_taken (void)
{
  struct service s;
  uint64_t n_overdue;
  char id[JOB_ID_SIZE];

  set_up_service (&s);
  for (int i = 0; i < 20; i++)
    {
      snprintf (id, sizeof id, "%016x", i);
      add_advised_job (&s, id);
      run_for (&s, 2000, 900);
      if (i == 9)
        n_overdue = s.x.stats.queries_overdue;
    }
  CU_ASSERT (n_overdue > 0);
  CU_ASSERT_EQUAL (s.x.stats.queries_overdue, n_overdue);
  tear_down (&s.x);
}

static void
test_pauses_grow_while_nothing_is_answered (void)
{
  struct service s;
  int n_first, n_last;

  set_up_service (&s);
  for (int i = 0; i < 9; i++)
    add_advised_job (&s, (char[]){ '0' + (char)i, 'a', 'b', 0 });
  run_for (&s, 4000, -1);
  n_first = s.n_queries;
  run_for (&s, 4000, -1);
  n_last = s.n_queries - n_first;
  CU_ASSERT (n_first > 1);
  CU_ASSERT (n_last <= n_first / 2);
  run_for (&s, 8000, 0);
  CU_ASSERT_EQUAL (n_started (&s), 9);
  tear_down (&s.x);
}

static void
test_refused_tickets_are_not_asked_for_at_once (void)
{
  struct service s;
  int n_queries;

  set_up_service (&s);
  s.refuses_tickets = true;
  add_advised_job (&s, "0000000000000001");
  run_for (&s, 8000, ADVICE_MS);
  n_queries = s.n_queries;
  CU_ASSERT (n_queries >= 3);
  CU_ASSERT (n_queries <= 12);
  s.refuses_tickets = false;
  run_for (&s, 2500, ADVICE_MS);
  CU_ASSERT_EQUAL (n_started (&s), 1);
  tear_down (&s.x);
}

static void
test_ticket_ages_on_its_way_to_the_leader (void)
{
  struct service s;

  set_up_service (&s);
  add_advised_job (&s, "0000000000000001");
  run_for (&s, 20, -1);
  CU_ASSERT_EQUAL_FATAL (s.n_queries, 1);
  run_for (&s, VALID_MS, -1);
  answer_query (&s, &s.queries[0], ADVICE_MS);
  run_for (&s, 60, -1);
  CU_ASSERT_EQUAL (n_started (&s), 0);
  tear_down (&s.x);
}

static void
test_tickets_are_those_of_the_boot_asked_about (void)
{
  struct service s;
  struct exec *e;

  set_up_service (&s);
  add_advised_job (&s, "0000000000000001");
  run_for (&s, 40, -1);
  CU_ASSERT_EQUAL_FATAL (s.n_queries, 1);
  s.x.boot_start_ms++;
  TAILQ_FOREACH (e, &s.x.fs->execs, link)
    {
      report_exec (&s.x, e->rep.id);
      e->next_poll_ms = 0;
    }
  step (&s.x);
  answer_query (&s, &s.queries[0], 0);
  TAILQ_FOREACH (e, &s.x.fs->execs, link)
    {
      CU_ASSERT_EQUAL (e->boot_start_ms, BOOT_START_MS + 1);
      CU_ASSERT_FALSE (permit_valid (
          s.x.fs, &fsched_find_job (s.x.fs, "0000000000000001")->steps[0], e));
    }
  run_for (&s, 3000, ADVICE_MS);
  CU_ASSERT_EQUAL (n_started (&s), 1);
  tear_down (&s.x);
}

UNIT_MAIN ("advice",
           { "an answer after the deadline is used",
             test_late_answer_is_used },
           { "the accounts are empty after all queries",
             test_accounts_are_empty_after_all_queries },
           { "deadlines follow the time that queries take",
             test_deadline_follows_the_time_taken },
           { "pauses between queries grow while nothing is answered",
             test_pauses_grow_while_nothing_is_answered },
           { "refused tickets are not asked for again at once",
             test_refused_tickets_are_not_asked_for_at_once },
           { "a ticket ages on its way to the leader",
             test_ticket_ages_on_its_way_to_the_leader },
           { "tickets are those of the boot that was asked about",
             test_tickets_are_those_of_the_boot_asked_about })
