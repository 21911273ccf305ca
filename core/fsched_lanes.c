/*
 * What the scheduler believes of the advice service.
 *
 * The service handles one query at a time for each calling machine, in turn.
 * It may take several instances, or all, for one machine: then their queries
 * wait for each other.  A lane is a sequence of queries that are handled in
 * turn.  The service may also be slower than it announces, so that the time
 * which a query takes says nothing of the number of lanes.  What does is the
 * order of the answers to two queries of different instances:
 *
 * - On one lane, the query that is answered last is answered later than the
 *   other one by its announced time at least.  If the answers are closer, or
 *   in another order than the queries were sent, the lanes differ.
 * - A short query that has waited much longer than its own time, and is
 *   answered right after a long one that was sent before it, has waited for
 *   that one: the lane is the same.
 *
 * If a part p of such pairs share a lane, the service has 1/p lanes.  Queries
 * that were announced to take longer than the time in which they were answered
 * also prove several lanes.
 */
#include "fsched_impl.h"

#include <math.h>

enum
{
  /* Number of lanes that are assumed without evidence. */
  LANES_START = 2,
  /* Number of further lanes for each pair of queries that were handled beside
     each other, while no pair was handled one after the other. */
  LANES_PER_PAIR = 2,
  /* Number of pairs that the last leader's figure counts for. */
  LANES_INHERITED_PAIRS = 16,
  /* A query is long compared to another one if it is announced to take so many
     times as long. */
  PAIR_RATIO = 4,
  /* A query has waited for others if it took so many times what is announced,
     and PAIR_WAIT_MS in addition.  A slower service is not known. */
  PAIR_SLOW_MAX = 8,
  PAIR_WAIT_MS = 100,
  /* Largest time from the answer to one query to that to the next one in its
     lane, in addition to the time for the latter, and largest time from the
     start of a query at its instance until it reaches the service. */
  PAIR_GAP_MS = 50,
  /* Shortest query whose distance from another answer is compared with its own
     time, and time that is added when answers are counted: times are measured
     in ms, on the way to the instances. */
  PAIR_CLOSE_MIN_MS = 50,
  /* Answers that are older than this are not compared. */
  PAIR_AGE_MAX_MS = 3000,
  /* Time constant of lanes::work_ms and lanes::busy_ms, and time for which the
     assumed rate counts in addition. */
  RATE_TIME_MS = 4000,
  RATE_PRIOR_MS = 250,
  /* The service limits the rate if a query could not be sent in this time. */
  BUSY_FRESH_MS = 200,
  /* Short queries are sent at present if one was answered in this time. */
  SHORT_FRESH_MS = 1000,
  /* While none are, one more query than there are lanes may be outstanding now
     and then: only that shows another lane.  The pause until the next one
     doubles up to TRIAL_GAP_MAX_MS. */
  TRIAL_GAP_MS = 1000,
  TRIAL_GAP_MAX_MS = 16000,
  /* In this time after the start of a term, not all instances are known. */
  UNKNOWN_INSTANCES_MS = 3000,
  /* Interval between log lines. */
  LINE_INTERVAL_MS = 1000,
};

/* With lanes for a smaller part of the instances than this, the number of
   outstanding queries is limited. */
#define LIMITED_PART 0.75
/* Weight of the pairs so far when a further one is counted. */
#define PAIR_KEEP 0.94
/* Part of its announced time that a query takes at least, as measured. */
#define PAIR_CLOSE_PART 0.8

void
lanes_init (struct lanes *l)
{
  l->trial_gap_ms = TRIAL_GAP_MS;
}

void
fsched_inherit_lanes (struct fsched *fs, int n_lanes)
{
  struct lanes *l = &fs->lanes;

  if (n_lanes <= 0)
    return;
  l->n_same
      = n_lanes < LANES_ALL ? (double)LANES_INHERITED_PAIRS / n_lanes : 0;
  l->n_apart = LANES_INHERITED_PAIRS - l->n_same;
  /* However many instances there are, each has a lane. */
  if (n_lanes >= LANES_ALL)
    l->n_all_apart = HUGE_VAL;
}

/* Returns the estimated number of lanes, not limited by that of the
   instances. */
static double
estimate (const struct lanes *l)
{
  return l->n_same > 0 ? (l->n_same + l->n_apart) / l->n_same
                       : LANES_START + LANES_PER_PAIR * l->n_all_apart;
}

int
fsched_lanes_known (const struct fsched *fs)
{
  const struct lanes *l = &fs->lanes;

  if (l->n_same > 0)
    return estimate (l) < LANES_ALL ? (int)estimate (l) : LANES_ALL;
  return l->n_apart > 0 && !lanes_are_limited (fs) ? LANES_ALL : 0;
}

double
lanes_count (const struct fsched *fs)
{
  double n_instances = adviser_count (fs).n_reachable;
  double n = estimate (&fs->lanes);

  if (n > n_instances)
    n = n_instances;
  return n > 1 ? n : 1;
}

bool
lanes_are_limited (const struct fsched *fs)
{
  if (fs->lanes.n_same > 0
      && fs->now_ms - fs->claimed_ms < UNKNOWN_INSTANCES_MS)
    return true;
  return lanes_count (fs) < LIMITED_PART * adviser_count (fs).n_reachable;
}

bool
lanes_are_shared (const struct fsched *fs)
{
  return fs->lanes.n_same > 0 && lanes_are_limited (fs);
}

double
lanes_rate (const struct fsched *fs)
{
  const struct lanes *l = &fs->lanes;
  const struct fsched_queue *q;
  double n = lanes_count (fs);
  double least = 0;
  double rate;

  TAILQ_FOREACH (q, &fs->queues, link)
    if (q->advice_pace.measured
        && (least <= 0 || q->advice_pace.factor < least))
      least = q->advice_pace.factor;
  rate = (l->work_ms + RATE_PRIOR_MS * n / (least > 1 ? least : 1))
         / (l->busy_ms + RATE_PRIOR_MS);
  return rate < n ? rate : n;
}

int64_t
lanes_backlog_ms (const struct fsched *fs)
{
  return (int64_t)(fs->lanes.work_out_ms / lanes_rate (fs));
}

static bool
is_short (double duration_ms)
{
  return duration_ms <= ADVICE_QUEUED_MAX_MS;
}

/* Returns whether one more query than there are lanes may be outstanding. */
static bool
may_try_lane (const struct fsched *fs)
{
  const struct lanes *l = &fs->lanes;

  return fs->now_ms >= l->next_trial_ms
         && fs->now_ms - l->short_answered_ms >= SHORT_FRESH_MS;
}

bool
lanes_admit (const struct fsched *fs, double duration_ms)
{
  const struct lanes *l = &fs->lanes;
  int n_lanes;

  if (!lanes_are_limited (fs)
      || (is_short (duration_ms) && !lanes_are_shared (fs)))
    return true;
  if (is_short (duration_ms))
    return l->n_short_out == 0
           || l->short_out_ms + duration_ms
                  <= ADVICE_QUEUED_MAX_MS * lanes_count (fs);
  n_lanes = (int)lanes_count (fs);
  /* Short queries keep a lane, unless there is only one. */
  if (n_lanes > 1 && lanes_are_shared (fs)
      && fs->now_ms - l->short_answered_ms < SHORT_FRESH_MS)
    n_lanes--;
  if (l->n_others_out == n_lanes)
    return fs->now_ms >= l->other_due_ms - ADVICE_QUEUED_MAX_MS
           || may_try_lane (fs);
  return l->n_others_out < n_lanes;
}

void
lanes_query_sent (struct fsched *fs, const struct pending_order *p)
{
  struct lanes *l = &fs->lanes;

  if (is_short (p->duration_ms))
    {
      l->n_short_out++;
      l->short_out_ms += p->duration_ms;
    }
  else
    {
      if (l->n_others_out >= (int)lanes_count (fs))
        {
          l->next_trial_ms = fs->now_ms + l->trial_gap_ms;
          if (l->trial_gap_ms < TRIAL_GAP_MAX_MS)
            l->trial_gap_ms *= 2;
        }
      l->n_others_out++;
      l->other_due_ms
          = fs->now_ms + lanes_backlog_ms (fs)
            + (int64_t)(p->duration_ms * lanes_count (fs) / lanes_rate (fs));
    }
  l->work_out_ms += p->duration_ms;
}

void
lanes_query_left (struct fsched *fs, const struct pending_order *p)
{
  struct lanes *l = &fs->lanes;

  if (is_short (p->duration_ms))
    {
      l->n_short_out--;
      l->short_out_ms -= p->duration_ms;
    }
  else
    l->n_others_out--;
  l->work_out_ms -= p->duration_ms;
  /* Rounding errors would add up. */
  if (l->n_short_out == 0)
    l->short_out_ms = 0;
  if (fs->n_queries_out == 0)
    l->work_out_ms = 0;
}

/* Returns when the service answered a query at the earliest; it was
   lanes_answer::answered_ms at the latest. */
static int64_t
earliest_end_ms (const struct lanes_answer *a)
{
  return a->sent_ms + a->took_ms;
}

/* Returns whether the instance of @a has sent it this long before @b was
   sent. */
static bool
sent_before (const struct lanes_answer *a, const struct lanes_answer *b,
             int64_t ms)
{
  return a->answered_ms - a->took_ms + ms < b->sent_ms;
}

/* Returns whether two queries were handled beside each other.  @last: the one
   that was answered last */
static bool
is_apart (const struct lanes_answer *first, const struct lanes_answer *last)
{
  int64_t gap_ms = last->answered_ms - earliest_end_ms (first);

  if (last->duration_ms < PAIR_CLOSE_MIN_MS)
    return false;
  /* An instance may have had to connect to the service first. */
  if (sent_before (last, first, PAIR_GAP_MS)
      && first->answered_ms < earliest_end_ms (last))
    return true;
  return (double)gap_ms < PAIR_CLOSE_PART * last->duration_ms;
}

/* Returns whether a short query was answered right after a long one that it
   has waited for.  @last: the short one */
static bool
is_same (const struct lanes_answer *first, const struct lanes_answer *last)
{
  double slow_ms = PAIR_SLOW_MAX * last->duration_ms;

  return last->alone && first->duration_ms >= PAIR_RATIO * last->duration_ms
         && sent_before (first, last, 0)
         && (double)last->took_ms >= slow_ms + PAIR_WAIT_MS
         && earliest_end_ms (first) - last->sent_ms >= PAIR_WAIT_MS
         && first->answered_ms <= last->answered_ms + PAIR_GAP_MS
         && (double)(earliest_end_ms (last) - first->answered_ms)
                <= slow_ms + PAIR_GAP_MS;
}

static void
count_pair (struct lanes *l, bool apart)
{
  l->n_same *= PAIR_KEEP;
  l->n_apart *= PAIR_KEEP;
  if (!apart)
    {
      l->n_same++;
      return;
    }
  l->n_apart++;
  l->n_all_apart++;
  l->trial_gap_ms = TRIAL_GAP_MS;
}

/* Returns the number of lanes that the last answers prove.  What is announced
   of the queries that lanes were handling at the first one is not part of the
   time since then. */
static double
proven_lanes (const struct lanes *l)
{
  uint64_t n = l->n_answers < LANES_ANSWERS ? l->n_answers : LANES_ANSWERS;
  const struct lanes_answer *last
      = &l->answers[(l->n_answers - 1) % LANES_ANSWERS];
  double best = 0;
  double sum_ms = 0;
  double longest_ms = 0;

  for (uint64_t i = 1; i <= n; i++)
    {
      const struct lanes_answer *a
          = &l->answers[(l->n_answers - i) % LANES_ANSWERS];
      double ms = (double)(last->answered_ms - earliest_end_ms (a))
                  + PAIR_CLOSE_MIN_MS;
      if (i > 1 && (sum_ms + longest_ms) / (ms + longest_ms) > best)
        best = (sum_ms + longest_ms) / (ms + longest_ms);
      sum_ms += PAIR_CLOSE_PART * a->duration_ms;
      if (a->duration_ms > longest_ms)
        longest_ms = a->duration_ms;
    }
  return best;
}

void
lanes_query_answered (struct fsched *fs, const struct pending_order *p,
                      int64_t took_ms)
{
  struct lanes *l = &fs->lanes;
  struct lanes_answer last = { .adviser = p->adviser,
                               .duration_ms = p->duration_ms,
                               .sent_ms = p->sent_ms,
                               .took_ms = took_ms,
                               .answered_ms = fs->now_ms,
                               .alone = p->alone };
  uint64_t n = l->n_answers < LANES_ANSWERS ? l->n_answers : LANES_ANSWERS;
  uint64_t apart = 0; /* bit set of the instances that were counted */

  for (uint64_t i = 1; i <= n; i++)
    {
      const struct lanes_answer *first
          = &l->answers[(l->n_answers - i) % LANES_ANSWERS];
      uint64_t bit = UINT64_C (1) << first->adviser % 64;
      if (first->answered_ms < fs->now_ms - PAIR_AGE_MAX_MS)
        break;
      if (first->adviser == last.adviser)
        continue;
      if (is_apart (first, &last))
        {
          if (!(apart & bit))
            count_pair (l, true);
          apart |= bit;
        }
      else if (is_same (first, &last))
        count_pair (l, false);
    }
  l->answers[l->n_answers++ % LANES_ANSWERS] = last;
  if (proven_lanes (l) > estimate (l))
    count_pair (l, true);
  if (is_short (p->duration_ms))
    l->short_answered_ms = fs->now_ms;
  if (fs->now_ms - fs->advice_blocked_ms <= BUSY_FRESH_MS
      && fs->now_ms >= fs->refused_until_ms)
    l->work_ms += p->duration_ms;
}

/* Adds the time since the last update to lanes::busy_ms if queries have waited
   to be sent. */
static void
add_busy_time (struct fsched *fs)
{
  struct lanes *l = &fs->lanes;
  double ms = (double)(fs->now_ms - l->updated_ms);
  double keep = exp (-ms / RATE_TIME_MS);

  l->updated_ms = fs->now_ms;
  /* While queries are lost or refused, the service may have nothing to do. */
  if (fs->now_ms - fs->advice_blocked_ms > BUSY_FRESH_MS
      || fs->n_unanswered > 0 || fs->now_ms < fs->refused_until_ms)
    return;
  l->work_ms *= keep;
  l->busy_ms = keep * l->busy_ms + ms;
}

void
lanes_tick (struct fsched *fs)
{
  struct lanes *l = &fs->lanes;
  bool shared = lanes_are_shared (fs);

  add_busy_time (fs);
  if ((fs->now_ms < l->next_line_ms && shared == l->was_shared)
      || (fs->n_queries_out == 0
          && fs->now_ms - fs->advice_blocked_ms > LINE_INTERVAL_MS))
    return;
  l->next_line_ms = fs->now_ms + LINE_INTERVAL_MS;
  l->was_shared = shared;
  out_line (fs->out,
            "event=advice-service lanes=%.1f instances=%d shared=%d "
            "rate=%.2f same=%.1f apart=%.1f outstanding=%d work_out=%lld "
            "work_waiting=%lld waiting=%d refused=%d",
            lanes_count (fs), adviser_count (fs).n_reachable, shared,
            lanes_rate (fs), l->n_same, l->n_apart, fs->n_queries_out,
            (long long)l->work_out_ms, (long long)fsched_unsent_ms (fs),
            asking_count (fs), fs->n_refused);
}
