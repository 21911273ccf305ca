/* Tests of what the scheduler believes of the advice service, with a model of
   the service that handles the queries of a group of instances in turn. */
#include "fsched_impl.h"
#include "unit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INSTANCES = 9,
  INSTANCES_MANY = 100,
  START_MS = 60000, /* present time at the start of a test */
  QUERIES_MAX = 512,
  KINDS = 3,
};

/* Announced durations of the queries of each kind in ms, and the load that
   each kind is for one lane. */
static const double durations_ms[KINDS] = { 10, 90, 800 };
static const double loads[KINDS] = { 0.4, 0.5, 0.8 };

/* struct model - a leader's term and the model of the service */
struct model
{
  struct outq out;
  uint64_t last_token;
  struct fsched_stats stats;
  struct fsched *fs;
  struct fsched_queue *queues[KINDS];
  int n_instances;
  int n_groups;                   /* groups of instances; each has one lane */
  double slow_factor;             /* time that queries take, as a multiple */
  int path_ms;                    /* time to the service and back, each */
  double free_ms[INSTANCES_MANY]; /* when each lane is free */
  double waiting[KINDS];          /* queries that wait to be sent */
  struct pending_order queries[QUERIES_MAX];
  double ends_ms[QUERIES_MAX]; /* when the service answers; 0: unused */
  double work_ms;              /* time that lanes have worked */
};

static struct fsched_queue *
add_queue (struct fsched *fs, const char *name)
{
  struct fsched_queue *q = fsched_queue (fs, name);

  q->permitted_share = 1;
  return q;
}

/* Lets the leader hear from all instances. */
static void
greet (struct model *m)
{
  for (int i = 0; i < m->n_instances; i++)
    fsched_adviser_seen (
        m->fs, (char[]){ 'n', (char)('0' + i / 10), (char)('0' + i % 10), 0 },
        "a", 250, m->fs->now_ms);
}

static void
set_up_fleet (struct model *m, int n_instances, int n_groups,
              double slow_factor)
{
  memset (m, 0, sizeof *m);
  m->last_token = 1;
  m->n_instances = n_instances;
  m->n_groups = n_groups;
  m->slow_factor = slow_factor;
  m->path_ms = 2;
  TAILQ_INIT (&m->out);
  m->fs = fsched_new (&m->out, &m->last_token, START_MS, 1, 0, &m->stats);
  greet (m);
  m->queues[0] = add_queue (m->fs, "short");
  m->queues[1] = add_queue (m->fs, "middle");
  m->queues[2] = add_queue (m->fs, "long");
  srand (1);
}

static void
set_up (struct model *m, int n_groups, double slow_factor)
{
  set_up_fleet (m, INSTANCES, n_groups, slow_factor);
}

static void
tear_down (struct model *m)
{
  struct out *o;

  fsched_free (m->fs);
  while ((o = out_take (&m->out)))
    out_free (o);
}

/* Sends a query of a kind if that is possible.  Returns whether it is. */
static bool
send (struct model *m, int kind)
{
  struct fsched *fs = m->fs;
  int adviser = adviser_pick (fs, durations_ms[kind]);
  int i = 0;
  int lane;
  double begin_ms;

  while (i < QUERIES_MAX && m->ends_ms[i] > 0)
    i++;
  if (adviser < 0 || i == QUERIES_MAX)
    return false;
  m->queries[i] = (struct pending_order){ .kind = ORDER_ADVISE,
                                          .adviser = adviser,
                                          .sent_ms = fs->now_ms };
  adviser_query_sent (fs, &m->queries[i], m->queues[kind], durations_ms[kind]);
  lane = adviser % m->n_groups;
  begin_ms = fmax (m->free_ms[lane], (double)fs->now_ms + m->path_ms);
  m->free_ms[lane] = begin_ms + m->slow_factor * durations_ms[kind];
  m->ends_ms[i] = m->free_ms[lane];
  m->work_ms += m->slow_factor * durations_ms[kind];
  return true;
}

/* Lets the service answer, and sends the queries that wait, the short ones
   first, for a time.  @load: multiple of the loads */
static void
play (struct model *m, int for_ms, double load)
{
  struct fsched *fs = m->fs;

  for (int t = 0; t < for_ms; t++)
    {
      fs->now_ms++;
      for (int i = 0; i < QUERIES_MAX; i++)
        if (m->ends_ms[i] > 0
            && m->ends_ms[i] + m->path_ms <= (double)fs->now_ms)
          {
            m->ends_ms[i] = 0;
            adviser_query_ended (fs, &m->queries[i], ORDER_DONE,
                                 fs->now_ms - m->queries[i].sent_ms);
          }
      for (int k = 0; k < KINDS; k++)
        m->waiting[k] += (double)rand () / RAND_MAX * 2 * load * loads[k]
                         / durations_ms[k];
      for (int k = 0; k < KINDS; k++)
        {
          while (m->waiting[k] >= 1 && send (m, k))
            m->waiting[k]--;
          if (m->waiting[k] >= 1)
            fs->advice_blocked_ms = fs->now_ms;
          if (m->waiting[k] >= 1 && lanes_are_limited (fs))
            break;
        }
      if (fs->now_ms % 100 == 0)
        greet (m);
      if (fs->now_ms % 50 == 0)
        lanes_tick (fs);
    }
}

static void
test_one_caller_has_one_lane (void)
{
  static const double factors[] = { 1, 2, 5 };

  for (size_t i = 0; i < sizeof factors / sizeof *factors; i++)
    {
      struct model m;
      set_up (&m, 1, factors[i]);
      play (&m, 8000, 1);
      CU_ASSERT (lanes_are_shared (m.fs));
      CU_ASSERT (lanes_count (m.fs) < 1.5);
      CU_ASSERT (fabs (lanes_rate (m.fs) * factors[i] - 1) < 0.25);
      tear_down (&m);
    }
}

static void
test_slow_service_is_not_taken_for_a_shared_one (void)
{
  static const double factors[] = { 1, 2, 5 };

  for (size_t i = 0; i < sizeof factors / sizeof *factors; i++)
    {
      struct model m;
      set_up (&m, INSTANCES, factors[i]);
      play (&m, 8000, 1);
      CU_ASSERT (!lanes_are_limited (m.fs));
      CU_ASSERT (lanes_count (m.fs) > INSTANCES - 1);
      tear_down (&m);
    }
}

static void
test_belief_follows_the_service (void)
{
  struct model m;

  set_up (&m, INSTANCES, 1);
  play (&m, 6000, 1);
  CU_ASSERT (!lanes_are_limited (m.fs));
  m.n_groups = 1;
  play (&m, 12000, 1);
  CU_ASSERT_EQUAL ((int)lanes_count (m.fs), 1);
  m.slow_factor = 3;
  play (&m, 12000, 1);
  CU_ASSERT_EQUAL ((int)lanes_count (m.fs), 1);
  m.n_groups = INSTANCES;
  play (&m, 12000, 1);
  CU_ASSERT (!lanes_are_limited (m.fs));
  m.slow_factor = 1;
  play (&m, 6000, 1);
  CU_ASSERT (!lanes_are_limited (m.fs));
  tear_down (&m);
}

static void
test_one_lane_is_always_busy (void)
{
  struct model m;

  set_up (&m, 1, 1);
  play (&m, 4000, 1);
  m.work_ms = 0;
  play (&m, 10000, 1);
  CU_ASSERT (m.work_ms >= 9500);
  tear_down (&m);
}

static void
test_late_short_queries_leave_one_long_query (void)
{
  struct model m;

  set_up (&m, 1, 1);
  play (&m, 8000, 1);
  for (int i = 0; i < 1000 && m.fs->lanes.n_others_out == 0; i++)
    play (&m, 1, 1);
  CU_ASSERT_EQUAL (m.fs->lanes.n_others_out, 1);
  CU_ASSERT (adviser_pick (m.fs, durations_ms[2]) < 0);
  play (&m, 20000, 0);
  CU_ASSERT_EQUAL (m.fs->n_queries_out, 0);
  CU_ASSERT_EQUAL (m.fs->n_long_out, 0);
  CU_ASSERT_EQUAL (m.fs->lanes.n_others_out, 0);
  CU_ASSERT (m.fs->lanes.work_out_ms < 0.001);
  tear_down (&m);
}

static void
test_lanes_grow_only_with_evidence (void)
{
  struct model m;
  double before;

  set_up (&m, 1, 1);
  play (&m, 8000, 1);
  before = lanes_count (m.fs);
  m.fs->now_ms += 60000;
  greet (&m);
  lanes_tick (m.fs);
  CU_ASSERT_EQUAL (lanes_count (m.fs), before);
  tear_down (&m);
}

static void
test_next_leader_starts_from_the_lanes_known (void)
{
  struct model m;
  struct model next;

  set_up (&m, 1, 1);
  CU_ASSERT_EQUAL (fsched_lanes_known (m.fs), 0);
  play (&m, 8000, 1);
  CU_ASSERT_EQUAL (fsched_lanes_known (m.fs), 1);
  set_up (&next, 1, 1);
  fsched_inherit_lanes (next.fs, fsched_lanes_known (m.fs));
  CU_ASSERT (lanes_are_shared (next.fs));
  tear_down (&next);
  set_up (&next, 1, 1);
  fsched_inherit_lanes (next.fs, LANES_ALL);
  CU_ASSERT (!lanes_are_limited (next.fs));
  tear_down (&next);
  tear_down (&m);
}

static void
test_many_instances_have_a_lane_each (void)
{
  static const double factors[] = { 1, 2, 5 };

  for (size_t i = 0; i < sizeof factors / sizeof *factors; i++)
    {
      struct model m;
      set_up_fleet (&m, INSTANCES_MANY, INSTANCES_MANY, factors[i]);
      play (&m, 6000, 40 / factors[i]);
      CU_ASSERT (!lanes_are_limited (m.fs));
      CU_ASSERT_EQUAL (fsched_lanes_known (m.fs), LANES_ALL);
      tear_down (&m);
    }
}

static void
test_many_instances_share_lanes (void)
{
  static const int lanes[] = { 1, 10 };

  for (size_t i = 0; i < sizeof lanes / sizeof *lanes; i++)
    {
      struct model m;
      set_up_fleet (&m, INSTANCES_MANY, INSTANCES_MANY, 1);
      play (&m, 6000, 40);
      m.n_groups = lanes[i];
      play (&m, 30000, lanes[i]);
      CU_ASSERT (lanes_are_shared (m.fs));
      CU_ASSERT (lanes_count (m.fs) < 2 * lanes[i]);
      tear_down (&m);
    }
}

static void
test_next_leader_of_many_instances_uses_all (void)
{
  struct model m;

  set_up_fleet (&m, INSTANCES_MANY, INSTANCES_MANY, 1);
  fsched_inherit_lanes (m.fs, LANES_ALL);
  CU_ASSERT (!lanes_are_limited (m.fs));
  CU_ASSERT_EQUAL (fsched_lanes_known (m.fs), LANES_ALL);
  tear_down (&m);
}

/* Lets only queries of one kind arrive in play(). */
static void
play_kind (struct model *m, int kind, int for_ms, double load)
{
  for (int t = 0; t < for_ms; t++)
    {
      m->waiting[kind] += load / durations_ms[kind];
      play (m, 1, 0);
    }
}

static void
test_rate_does_not_limit_short_queries (void)
{
  struct model m;

  set_up (&m, 1, 1);
  play (&m, 8000, 1);
  m.path_ms = 13;
  m.slow_factor = 8;
  play (&m, 8000, 1);
  m.slow_factor = 1;
  memset (m.waiting, 0, sizeof m.waiting);
  play_kind (&m, 0, 4000, 2);
  m.work_ms = 0;
  play_kind (&m, 0, 10000, 2);
  CU_ASSERT (lanes_are_shared (m.fs));
  CU_ASSERT (m.work_ms >= 9000);
  tear_down (&m);
}

static void
test_short_queries_leave_no_residue (void)
{
  struct model m;
  struct pending_order p[3];

  set_up (&m, 1, 1);
  play (&m, 8000, 1);
  play (&m, 20000, 0);
  CU_ASSERT (lanes_are_shared (m.fs));
  for (int i = 0; i < 1000; i++)
    {
      for (int k = 0; k < 3; k++)
        {
          p[k] = (struct pending_order){ .duration_ms
                                         = 7.2 + 0.1 * ((3 * i + k) % 300) };
          lanes_query_sent (m.fs, &p[k]);
        }
      for (int k = 0; k < 3; k++)
        lanes_query_left (m.fs, &p[k]);
    }
  CU_ASSERT (m.fs->lanes.short_out_ms <= 0 && m.fs->lanes.short_out_ms >= 0);
  CU_ASSERT (lanes_admit (m.fs, ADVICE_QUEUED_MAX_MS));
  tear_down (&m);
}

static void
test_weak_evidence_is_not_passed_on (void)
{
  struct model m;

  set_up_fleet (&m, INSTANCES_MANY, INSTANCES_MANY, 1);
  for (int i = 0; i < 1000 && m.fs->lanes.n_all_apart < 1; i++)
    play (&m, 1, 4);
  CU_ASSERT (m.fs->lanes.n_all_apart >= 1);
  CU_ASSERT (lanes_are_limited (m.fs));
  CU_ASSERT_EQUAL (fsched_lanes_known (m.fs), 0);
  tear_down (&m);
}

UNIT_MAIN (
    "lanes", { "one caller has one lane", test_one_caller_has_one_lane },
    { "a slow service is not taken for a shared one",
      test_slow_service_is_not_taken_for_a_shared_one },
    { "belief follows the service", test_belief_follows_the_service },
    { "one lane is always busy", test_one_lane_is_always_busy },
    { "late short queries leave one long query",
      test_late_short_queries_leave_one_long_query },
    { "lanes grow only with evidence", test_lanes_grow_only_with_evidence },
    { "the next leader starts from the lanes known",
      test_next_leader_starts_from_the_lanes_known },
    { "many instances have a lane each",
      test_many_instances_have_a_lane_each },
    { "many instances share lanes", test_many_instances_share_lanes },
    { "the next leader of many instances uses all",
      test_next_leader_of_many_instances_uses_all },
    { "the rate does not limit short queries",
      test_rate_does_not_limit_short_queries },
    { "short queries leave no residue", test_short_queries_leave_no_residue },
    { "weak evidence is not passed on", test_weak_evidence_is_not_passed_on })
