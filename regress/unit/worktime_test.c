/* Tests of the times and counts by kind of work, and of their output as
   metrics. */
#include "worktime.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

/* Returns the sum of the times of all kinds of work. */
static int64_t
sum_ns (const struct worktime *w)
{
  int64_t sum = 0;

  for (int i = 0; i < WORKTIME_N; i++)
    sum += w->spent_ns[i];
  return sum;
}

/* Returns the number of pieces of all kinds of work. */
static uint64_t
sum_pieces (const struct worktime *w)
{
  uint64_t sum = 0;

  for (int i = 0; i < WORKTIME_N; i++)
    sum += w->n_pieces[i];
  return sum;
}

/* Guards against time between two pieces that counts as work. */
static void
test_pieces (void)
{
  struct worktime w = { 0 };

  worktime_begin (&w, WORKTIME_TICKS, 1000);
  worktime_end (&w, 1030);
  worktime_begin (&w, WORKTIME_HELLOS, 5000);
  worktime_end (&w, 5007);
  worktime_begin (&w, WORKTIME_TICKS, 6000);
  worktime_end (&w, 6001);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_TICKS], 31);
  CU_ASSERT_EQUAL (w.n_pieces[WORKTIME_TICKS], 2);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_HELLOS], 7);
  CU_ASSERT_EQUAL (w.n_pieces[WORKTIME_HELLOS], 1);
  CU_ASSERT_EQUAL (sum_ns (&w), 38);
  CU_ASSERT_EQUAL (sum_pieces (&w), 3);
}

/* Guards against time of an inner piece that counts for the outer one, too. */
static void
test_nested_pieces (void)
{
  struct worktime w = { 0 };

  worktime_begin (&w, WORKTIME_POLL_RESULTS, 100);
  worktime_begin (&w, WORKTIME_ORDERS, 110);
  worktime_begin (&w, WORKTIME_RUN_RESULTS, 130);
  worktime_end (&w, 170);
  worktime_end (&w, 175);
  worktime_begin (&w, WORKTIME_LOG_LINES, 176);
  worktime_end (&w, 179);
  worktime_end (&w, 200);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_POLL_RESULTS], 10 + 1 + 21);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_ORDERS], 20 + 5);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_RUN_RESULTS], 40);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_LOG_LINES], 3);
  CU_ASSERT_EQUAL (sum_ns (&w), 100);
  CU_ASSERT_EQUAL (w.n_pieces[WORKTIME_POLL_RESULTS], 1);
  CU_ASSERT_EQUAL (sum_pieces (&w), 4);
}

/* Guards against time that counts twice if the inner piece is of the same kind
   as the outer one. */
static void
test_nested_same_kind (void)
{
  struct worktime w = { 0 };

  worktime_begin (&w, WORKTIME_STORE_REPLIES, 0);
  worktime_begin (&w, WORKTIME_STORE_REPLIES, 10);
  worktime_end (&w, 40);
  worktime_end (&w, 50);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_STORE_REPLIES], 50);
  CU_ASSERT_EQUAL (w.n_pieces[WORKTIME_STORE_REPLIES], 2);
}

/* Guards against an end without a begin that changes the counts, or those of
   the pieces that follow. */
static void
test_unbalanced_end (void)
{
  struct worktime w = { 0 };

  worktime_end (&w, 500);
  CU_ASSERT_EQUAL (sum_ns (&w), 0);
  CU_ASSERT_EQUAL (sum_pieces (&w), 0);
  worktime_begin (&w, WORKTIME_NOTICES, 600);
  worktime_end (&w, 610);
  worktime_end (&w, 700);
  worktime_end (&w, 800);
  worktime_begin (&w, WORKTIME_QUERIES, 900);
  worktime_end (&w, 901);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_NOTICES], 10);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_QUERIES], 1);
  CU_ASSERT_EQUAL (sum_ns (&w), 11);
  CU_ASSERT_EQUAL (sum_pieces (&w), 2);
}

/* Guards against a sum that grows while the clock stands still, or that
   falls or misses later time after the clock went back. */
static void
test_clock (void)
{
  struct worktime w = { 0 };

  worktime_begin (&w, WORKTIME_TICKS, 1000);
  worktime_end (&w, 1000);
  CU_ASSERT_EQUAL (sum_ns (&w), 0);
  CU_ASSERT_EQUAL (w.n_pieces[WORKTIME_TICKS], 1);
  worktime_begin (&w, WORKTIME_TICKS, 1000);
  worktime_begin (&w, WORKTIME_ORDERS, 400);
  worktime_end (&w, 300);
  CU_ASSERT_EQUAL (sum_ns (&w), 0);
  worktime_end (&w, 305);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_TICKS], 5);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_ORDERS], 0);
  CU_ASSERT_EQUAL (sum_pieces (&w), 3);
}

/* Guards against writes beyond the array of open pieces, and against pieces
   that end in the wrong order after it was full. */
static void
test_depth (void)
{
  struct worktime w = { 0 };
  int64_t now_ns = 0;

  worktime_begin (&w, WORKTIME_TICKS, now_ns);
  for (int i = 1; i < WORKTIME_DEPTH_MAX; i++)
    worktime_begin (&w, WORKTIME_ORDERS, now_ns);
  for (int i = 0; i < 3; i++)
    worktime_begin (&w, WORKTIME_HELLOS, now_ns += 10);
  for (int i = 0; i < 3; i++)
    worktime_end (&w, now_ns += 10);
  for (int i = 1; i < WORKTIME_DEPTH_MAX; i++)
    worktime_end (&w, now_ns);
  worktime_end (&w, now_ns + 7);
  CU_ASSERT_EQUAL (w.n_open, 0);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_ORDERS], 60);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_HELLOS], 0);
  CU_ASSERT_EQUAL (w.spent_ns[WORKTIME_TICKS], 7);
  CU_ASSERT_EQUAL (sum_pieces (&w), WORKTIME_DEPTH_MAX);
}

/* Guards against a kind of work without a line, and against fractions of a
   second that lose their leading zeros. */
static void
test_print (void)
{
  struct worktime w = { 0 };
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);
  int n_lines = 0;

  worktime_begin (&w, WORKTIME_POLL_RESULTS, 0);
  worktime_end (&w, 12000034999);
  worktime_print (&w, out);
  fclose (out);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      text, "citronlb_cpu_seconds_total{work=\"poll-results\"} 12.000034\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "citronlb_work_total{work=\"poll-results\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "citronlb_cpu_seconds_total{work=\"ticks\"} 0.000000\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "citronlb_work_total{work=\"ticks\"} 0\n"));
  for (const char *p = text; (p = strchr (p, '\n')); p++)
    n_lines++;
  CU_ASSERT_EQUAL (n_lines, 2 * WORKTIME_N);
  CU_ASSERT_PTR_NULL (strstr (text, "(null)"));
  free (text);
}

UNIT_MAIN ("worktime",
           { "time within pieces is counted by kind", test_pieces },
           { "nested pieces are counted once", test_nested_pieces },
           { "a nested piece of the same kind is counted once",
             test_nested_same_kind },
           { "an end without a begin does nothing", test_unbalanced_end },
           { "a clock that stands still or goes back adds nothing",
             test_clock },
           { "pieces nested too deeply count for the outer one", test_depth },
           { "each kind is printed in seconds and pieces", test_print })
