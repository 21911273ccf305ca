/* Tests of the windows of advice queries. */
#include "fsched_impl.h"
#include "unit.h"

#include <string.h>

enum
{
  INSTANCES = 9,
  START_MS = 60000, /* present time at the start of a test */
  SHORT_MS = 10,    /* announced durations of queries */
  MIDDLE_MS = 90,
  LONG_MS = 800,
};

/* struct term - a leader's term with one queue for each kind of queries */
struct term
{
  struct outq out;
  uint64_t last_token;
  struct fsched_stats stats;
  struct fsched *fs;
  struct fsched_queue *queues[3];
};

static struct fsched_queue *
add_queue (struct fsched *fs, const char *name)
{
  struct fsched_queue *q = fsched_zalloc (1, sizeof *q);

  clb_copy (q->name, name, sizeof q->name);
  q->advice_pace.factor = 1;
  TAILQ_INSERT_TAIL (&fs->queues, q, link);
  return q;
}

static void
set_up (struct term *t)
{
  *t = (struct term){ .last_token = 1 };
  TAILQ_INIT (&t->out);
  t->fs = fsched_new (&t->out, &t->last_token, 0, 1, 0, &t->stats);
  t->fs->now_ms = START_MS;
  for (int i = 0; i < INSTANCES; i++)
    fsched_adviser_seen (t->fs, (char[]){ 'n', '0' + (char)i, 0 }, "a", 250,
                         START_MS);
  t->queues[0] = add_queue (t->fs, "short");
  t->queues[1] = add_queue (t->fs, "middle");
  t->queues[2] = add_queue (t->fs, "long");
}

static void
tear_down (struct term *t)
{
  struct out *o;

  fsched_free (t->fs);
  while ((o = out_take (&t->out)))
    out_free (o);
}

/* Sends a query of a queue now. */
static struct pending_order
send (struct term *t, int queue)
{
  static const double durations_ms[] = { SHORT_MS, MIDDLE_MS, LONG_MS };
  struct pending_order p = { .kind = ORDER_ADVISE,
                             .queue = t->queues[queue],
                             .duration_ms = durations_ms[queue],
                             .sent_ms = t->fs->now_ms };

  p.is_long = p.duration_ms > ADVICE_LONG_QUERY_MS;
  window_query_sent (t->fs, &p);
  return p;
}

/* Answers a query now. */
static void
answer (struct term *t, struct pending_order *p)
{
  double took_ms = (double)(t->fs->now_ms - p->sent_ms);

  p->queue->advice_pace.measured = true;
  window_leave (t->fs, p);
  window_query_answered (t->fs, p, took_ms / p->duration_ms);
}

/* Sends short queries one after the other; each is answered after took_ms. */
static void
send_short_queries (struct term *t, int n, int took_ms)
{
  for (int i = 0; i < n; i++)
    {
      struct pending_order p = send (t, 0);
      t->fs->now_ms += took_ms;
      answer (t, &p);
    }
}

static void
test_late_short_queries_leave_one_long_query (void)
{
  struct pending_order longs[4];
  struct term t;

  set_up (&t);
  send_short_queries (&t, 4, SHORT_MS);
  t.fs->long_window = 16;
  for (int i = 0; i < 4; i++)
    longs[i] = send (&t, 2);
  send_short_queries (&t, 12, 700);
  CU_ASSERT_EQUAL (t.fs->long_window, 1);
  CU_ASSERT (window_is_shared (t.fs));
  CU_ASSERT (!window_is_open (t.fs, true));
  CU_ASSERT (window_is_open (t.fs, false));
  for (int i = 0; i < 4; i++)
    window_leave (t.fs, &longs[i]);
  CU_ASSERT_EQUAL (t.fs->n_long_out, 0);
  CU_ASSERT_EQUAL (t.fs->n_queries_out, 0);
  tear_down (&t);
}

static void
test_slow_service_is_not_taken_for_a_shared_one (void)
{
  struct term t;

  set_up (&t);
  t.fs->long_window = 16;
  for (int i = 0; i < 40; i++)
    {
      struct pending_order middle = send (&t, 1);
      send_short_queries (&t, 1, 5 * SHORT_MS);
      t.fs->now_ms += 5 * MIDDLE_MS - 5 * SHORT_MS;
      answer (&t, &middle);
    }
  CU_ASSERT (t.fs->long_window >= 16);
  tear_down (&t);
}

static void
test_window_grows_only_with_evidence (void)
{
  struct pending_order longs;
  struct term t;

  set_up (&t);
  t.fs->long_window = 1;
  t.fs->long_changed = true;
  longs = send (&t, 2);
  t.fs->now_ms += 10000;
  window_adapt (t.fs);
  CU_ASSERT_EQUAL (t.fs->long_window, 1);
  send_short_queries (&t, 6, SHORT_MS);
  CU_ASSERT (t.fs->long_window > 1);
  window_leave (t.fs, &longs);
  tear_down (&t);
}

static void
test_queries_pause_while_nobody_is_answered (void)
{
  struct pending_order p[4];
  struct term t;

  set_up (&t);
  for (int i = 0; i < 4; i++)
    p[i] = send (&t, 0);
  t.fs->now_ms += 1000;
  for (int i = 0; i < 3; i++)
    window_query_overdue (t.fs, &p[i]);
  CU_ASSERT (!window_is_open (t.fs, false));
  t.fs->now_ms += 2000;
  CU_ASSERT (window_is_open (t.fs, false));
  answer (&t, &p[3]);
  CU_ASSERT (window_is_open (t.fs, false));
  for (int i = 0; i < 3; i++)
    window_leave (t.fs, &p[i]);
  CU_ASSERT_EQUAL (t.fs->n_queries_out, 0);
  tear_down (&t);
}

static void
test_queues_share_a_shared_service (void)
{
  struct term t;

  set_up (&t);
  t.fs->long_window = 1;
  t.fs->long_changed = true;
  for (int i = 0; i < 3; i++)
    t.queues[i]->advice_due = true;
  t.queues[0]->advice_base_ms = SHORT_MS;
  t.queues[1]->advice_base_ms = MIDDLE_MS;
  t.queues[2]->advice_base_ms = LONG_MS;
  CU_ASSERT (window_admits_queue (t.fs, t.queues[2]));
  send (&t, 2);
  CU_ASSERT (!window_admits_queue (t.fs, t.queues[2]));
  CU_ASSERT (window_admits_queue (t.fs, t.queues[0]));
  t.queues[0]->advice_due = t.queues[1]->advice_due = false;
  CU_ASSERT (window_admits_queue (t.fs, t.queues[2]));
  tear_down (&t);
}

UNIT_MAIN ("window",
           { "late short queries leave one long query",
             test_late_short_queries_leave_one_long_query },
           { "a slow service is not taken for a shared one",
             test_slow_service_is_not_taken_for_a_shared_one },
           { "the window grows only with evidence",
             test_window_grows_only_with_evidence },
           { "queries pause while nobody is answered",
             test_queries_pause_while_nobody_is_answered },
           { "queues share a shared service",
             test_queues_share_a_shared_service })
