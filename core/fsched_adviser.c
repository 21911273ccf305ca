/*
 * Advisers: the instances that send the leader's advice queries.
 *
 * The advice service handles one query at a time for each instance, so the
 * leader spreads its queries over all instances.  Some instances get no long
 * queries, as many as short queries have needed of late, so that these wait
 * only for short ones.
 *
 * The service may be slower than it announces.  The time that queries take is
 * therefore measured, for each queue.  A query that has no answer by its
 * deadline is overdue: its step may be asked about again through another
 * instance, but the query stays outstanding, as the service still works on it
 * and its answer is of use.  How many may be outstanding is in
 * fsched_window.c.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* An instance without contact for this long counts as unreachable: two of
     its hello messages were lost. */
  ADVISER_UNREACHABLE_MS = 1000,
  /* Queries of an instance without contact for this long count as lost. */
  ADVISER_GONE_MS = 3000,
  /* The entry of an instance without contact for this long is given to a new
     instance: the instance was removed, or replaced at another address. */
  ADVISER_FORGET_MS = 10000,
  /* An instance whose queries are late by this long gets no further ones. */
  ADVISER_LATE_MS = 80,
  /* An instance gets no queries for this long after a query of it was overdue
     or failed.  The pause doubles with each further one, up to
     ADVISER_AVOID_MAX_MS. */
  ADVISER_AVOID_MS = 250,
  ADVISER_AVOID_MAX_MS = 2000,
  /* Timeout of a query in addition to its expected time, because links and
     instances may be slow. */
  QUERY_SLACK_MS = 400,
  /* This additional time doubles with each overdue query of the queue, up to
     this number of times. */
  TIMEOUT_DOUBLINGS_MAX = 3,
  /* The time of a query counts as at most this many times the announced
     time. */
  PACE_MAX = 8,
  /* The timeout of a query exceeds this longest time by this at most. */
  TIMEOUT_EXTRA_MAX_MS = 2000,
  /* A query counts as lost this long after it was sent, or after
     GIVE_UP_FACTOR times its timeout if that is longer. */
  GIVE_UP_MIN_MS = 10000,
  GIVE_UP_FACTOR = 4,
  /* A query no longer counts as outstanding after this many timeouts: its
     answer is still used, but it must not hold back further queries. */
  WINDOW_TIMEOUTS = 2,
  /* Instances that are kept for short queries, for each that was outstanding
     of late, as far as that is not more than half of them. */
  SHORT_PEAK_FACTOR = 2,
  /* Time in which the answer to a query that is given up may still arrive. */
  GIVE_UP_MARGIN_MS = 1000,
};

/* Weights of a new sample in the means of struct advice_pace. */
#define FACTOR_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
/* Number of mean deviations above the mean at which a query is overdue. */
#define TIMEOUT_DEVIATIONS 4

/* Adds an entry for a new instance, in place of that of an instance without
   contact if there is one. */
static struct adviser *
add_adviser (struct fsched *fs)
{
  struct adviser *a = NULL;

  for (int i = 0; i < fs->n_advisers && !a; i++)
    if (*fs->advisers[i].addr && !fs->advisers[i].n_queries
        && !fs->advisers[i].n_overdue
        && fs->now_ms - fs->advisers[i].last_contact_ms > ADVISER_FORGET_MS)
      a = &fs->advisers[i];
  if (!a && fs->n_advisers == fs->advisers_cap)
    {
      fs->advisers_cap = 2 * fs->advisers_cap + 32;
      fs->advisers = realloc (fs->advisers,
                              (size_t)fs->advisers_cap * sizeof *fs->advisers);
      if (!fs->advisers)
        abort ();
    }
  if (!a)
    a = &fs->advisers[fs->n_advisers++];
  memset (a, 0, sizeof *a);
  return a;
}

void
fsched_adviser_seen (struct fsched *fs, const char *id, const char *addr,
                     int64_t millicores, int64_t table_contact_ms)
{
  struct adviser *a = NULL;

  for (int i = 0; i < fs->n_advisers && !a; i++)
    if (strcmp (fs->advisers[i].id, id) == 0)
      a = &fs->advisers[i];
  if (!a)
    {
      a = add_adviser (fs);
      clb_copy (a->id, id, sizeof a->id);
      fs->pass_due = true;
    }
  clb_copy (a->addr, addr, sizeof a->addr);
  a->last_contact_ms = fs->now_ms;
  a->table_contact_ms = table_contact_ms;
  a->millicores = millicores;
}

const struct adviser *
fsched_adviser_freshest (const struct fsched *fs)
{
  const struct adviser *best = NULL;

  for (int i = 0; i < fs->n_advisers; i++)
    if (*fs->advisers[i].addr
        && (!best
            || fs->advisers[i].table_contact_ms > best->table_contact_ms))
      best = &fs->advisers[i];
  return best;
}

int
fsched_adviser_rank (const struct fsched *fs, const char *id)
{
  int own = -1;
  int rank = 0;

  for (int i = 0; i < fs->n_advisers; i++)
    if (strcmp (fs->advisers[i].id, id) == 0)
      own = i;
  if (own < 0)
    return -1;
  for (int i = 0; i < fs->n_advisers; i++)
    {
      const struct adviser *a = &fs->advisers[i];
      if (*a->addr && fs->now_ms - a->last_contact_ms < ADVISER_UNREACHABLE_MS
          && (a->millicores > fs->advisers[own].millicores
              || (a->millicores == fs->advisers[own].millicores && i < own)))
        rank++;
    }
  return rank;
}

const char *
adviser_name (const struct fsched *fs, int adviser)
{
  const char *id = fs->advisers[adviser].id;

  return *id ? id : "self";
}

/* Returns how long an instance has been without contact, in ms. */
static int64_t
contact_age (const struct fsched *fs, const struct adviser *a)
{
  return *a->addr ? fs->now_ms - a->last_contact_ms : 0;
}

static bool
is_reachable (const struct fsched *fs, const struct adviser *a)
{
  return contact_age (fs, a) <= ADVISER_UNREACHABLE_MS;
}

/* Returns whether an instance may be among those that get queries. */
static bool
is_available (const struct fsched *fs, const struct adviser *a)
{
  return is_reachable (fs, a) && fs->now_ms >= a->avoid_until_ms;
}

/* Returns whether an available instance may get another query now.  A short
   query never waits for a long one. */
static bool
is_free (const struct fsched *fs, const struct adviser *a, bool is_long)
{
  if (a->n_queries == 0)
    return true;
  return !is_long && a->n_long == 0
         && fs->now_ms <= a->answer_due_ms + ADVISER_LATE_MS
         && a->busy_until_ms - fs->now_ms <= ADVICE_QUEUED_MAX_MS;
}

/* Returns whether @a, which is available and free, suits a query better than
   @b does. */
static bool
suits_better (const struct fsched *fs, const struct adviser *a,
              const struct adviser *b, bool is_long)
{
  if (a->n_overdue != b->n_overdue)
    return a->n_overdue < b->n_overdue;
  /* Of instances that share some lanes, the one that was answered last is the
     least likely to share its lane with a long query. */
  if (!is_long && lanes_are_shared (fs) && lanes_count (fs) >= 2)
    return a->answered_ms > b->answered_ms;
  /* Of instances that are free at the same time, a short query takes the last,
     which keeps the first half free for long queries. */
  return is_long ? a->busy_until_ms < b->busy_until_ms
                 : a->busy_until_ms <= b->busy_until_ms;
}

struct adviser_counts
adviser_count (const struct fsched *fs)
{
  struct adviser_counts c = { 0 };
  int n_short;

  for (int i = 0; i < fs->n_advisers; i++)
    {
      const struct adviser *a = &fs->advisers[i];
      c.n_reachable += is_reachable (fs, a);
      if (!is_available (fs, a))
        continue;
      c.n_available++;
      c.n_idle += a->n_queries + a->n_overdue == 0;
    }
  n_short = 1 + (int)(SHORT_PEAK_FACTOR * window_short_peak (fs));
  if (n_short > c.n_available / 2)
    n_short = c.n_available / 2;
  c.n_for_long = c.n_available - n_short;
  return c;
}

int
adviser_pick (const struct fsched *fs, double duration_ms)
{
  bool is_long = duration_ms > ADVICE_LONG_QUERY_MS;
  int n_for_long;
  int n_seen = 0;
  int best = -1;

  if (!window_is_open (fs) || !lanes_admit (fs, duration_ms))
    return -1;
  n_for_long = adviser_count (fs).n_for_long;
  for (int i = 0; i < fs->n_advisers; i++)
    {
      const struct adviser *a = &fs->advisers[i];
      if (!is_available (fs, a))
        continue;
      if (is_long && n_seen++ >= n_for_long)
        break;
      if (is_free (fs, a, is_long)
          && (best < 0 || suits_better (fs, a, &fs->advisers[best], is_long)))
        best = i;
    }
  return best;
}

/* Returns the timeout of a query that the service begins at once, in ms. */
static int64_t
query_timeout (const struct advice_pace *pace, double duration_ms)
{
  double expected_ms = duration_ms * pace->factor;
  double spread_ms = TIMEOUT_DEVIATIONS * duration_ms * pace->deviation;
  int64_t max_ms = (int64_t)(PACE_MAX * duration_ms) + TIMEOUT_EXTRA_MAX_MS;
  int64_t ms;

  if (spread_ms > expected_ms)
    spread_ms = expected_ms;
  ms = (int64_t)(expected_ms + spread_ms) + (QUERY_SLACK_MS << pace->n_late);
  return ms < max_ms ? ms : max_ms;
}

int64_t
adviser_query_sent (struct fsched *fs, struct pending_order *p,
                    struct fsched_queue *q, double duration_ms)
{
  struct adviser *a = &fs->advisers[p->adviser];
  struct advice_pace *pace = &q->advice_pace;
  int64_t begin_ms
      = a->busy_until_ms > fs->now_ms ? a->busy_until_ms : fs->now_ms;
  int64_t timeout_ms;
  int64_t call_ms;

  if (lanes_are_shared (fs) && begin_ms < fs->now_ms + lanes_backlog_ms (fs))
    begin_ms = fs->now_ms + lanes_backlog_ms (fs);
  timeout_ms = begin_ms - fs->now_ms + ADVICE_QUEUED_MAX_MS
               + query_timeout (pace, duration_ms);
  call_ms = GIVE_UP_FACTOR * timeout_ms;

  p->queue = q;
  p->duration_ms = duration_ms;
  p->is_long = duration_ms > ADVICE_LONG_QUERY_MS;
  p->alone = a->n_queries + a->n_overdue == 0;
  p->begin_ms = begin_ms;
  p->deadline_ms = fs->now_ms + timeout_ms;
  if (call_ms < GIVE_UP_MIN_MS)
    call_ms = GIVE_UP_MIN_MS;
  p->give_up_ms = fs->now_ms + call_ms + GIVE_UP_MARGIN_MS;
  p->leave_window_ms = fs->now_ms + WINDOW_TIMEOUTS * timeout_ms;
  a->busy_until_ms = begin_ms + (int64_t)(duration_ms * pace->factor);
  if (a->n_queries == 0)
    a->answer_due_ms = a->busy_until_ms;
  a->n_queries++;
  a->n_long += p->is_long;
  window_query_sent (fs, p);
  return call_ms;
}

/* Avoids an instance after a query of it was overdue or failed.  Queries that
   were outstanding together have the same cause and count once.  @sent_ms:
   when the query was sent */
static void
avoid_adviser (struct fsched *fs, struct adviser *a, int64_t sent_ms)
{
  int64_t pause_ms = ADVISER_AVOID_MS;

  if (a->n_failures && sent_ms <= a->failed_ms)
    return;
  a->failed_ms = fs->now_ms;
  for (int i = 0; i < a->n_failures && pause_ms < ADVISER_AVOID_MAX_MS; i++)
    pause_ms *= 2;
  a->n_failures++;
  a->avoid_until_ms = fs->now_ms + pause_ms;
  out_line (fs->out,
            "event=adviser-avoided by=%s for_ms=%lld failures=%d "
            "overdue=%d contact_age_ms=%lld",
            adviser_name (fs, (int)(a - fs->advisers)), (long long)pause_ms,
            a->n_failures, a->n_overdue, (long long)contact_age (fs, a));
}

/* Returns a time as a multiple of that announced, from 1 to PACE_MAX. */
static double
time_factor (int64_t time_ms, double duration_ms)
{
  double factor = (double)(time_ms - ADVICE_PATH_MS) / duration_ms;

  return factor < 1 ? 1 : factor > PACE_MAX ? PACE_MAX : factor;
}

/* Adds the time that an answered query took to the pace of its queue. */
static void
add_sample (struct fsched *fs, const struct pending_order *p)
{
  struct advice_pace *pace = &p->queue->advice_pace;
  double sample = time_factor (fs->now_ms - p->begin_ms, p->duration_ms);
  double error;

  if (!pace->measured)
    {
      pace->measured = true;
      pace->factor = sample;
      pace->deviation = sample / 2;
    }
  error = sample - pace->factor;
  pace->factor += FACTOR_WEIGHT * error;
  pace->deviation
      += DEVIATION_WEIGHT * ((error < 0 ? -error : error) - pace->deviation);
  pace->n_late = 0;
}

/* Removes a query that is not overdue from those of its instance. */
static void
remove_query (struct fsched *fs, struct adviser *a,
              const struct pending_order *p)
{
  a->n_queries--;
  a->n_long -= p->is_long;
  if (a->n_queries == 0)
    a->busy_until_ms = fs->now_ms;
  a->answer_due_ms = a->busy_until_ms;
}

/* Ends the account of a query with its instance. */
static void
end_query (struct fsched *fs, struct pending_order *p)
{
  struct adviser *a = &fs->advisers[p->adviser];

  if (p->overdue)
    a->n_overdue--;
  else
    remove_query (fs, a, p);
  window_leave (fs, p);
}

/* Lets all instances be tried again soon after one has answered, if most of
   them were avoided: the service was late, not their way to it. */
static void
end_avoidance (struct fsched *fs)
{
  int n_reachable = 0;
  int n_avoided = 0;

  for (int i = 0; i < fs->n_advisers; i++)
    {
      const struct adviser *a = &fs->advisers[i];
      n_reachable += is_reachable (fs, a);
      n_avoided += is_reachable (fs, a) && a->n_failures > 0;
    }
  if (2 * n_avoided <= n_reachable)
    return;
  for (int i = 0; i < fs->n_advisers; i++)
    if (fs->advisers[i].avoid_until_ms > fs->now_ms + ADVISER_AVOID_MS)
      fs->advisers[i].avoid_until_ms = fs->now_ms + ADVISER_AVOID_MS;
}

void
adviser_query_ended (struct fsched *fs, struct pending_order *p, int outcome,
                     int64_t took_ms)
{
  struct adviser *a = &fs->advisers[p->adviser];

  end_query (fs, p);
  if (outcome == ORDER_DONE)
    {
      a->answered_ms = fs->now_ms;
      if (a->n_failures)
        out_line (fs->out, "event=adviser-answers by=%s failures=%d",
                  adviser_name (fs, p->adviser), a->n_failures);
      if (a->n_failures)
        end_avoidance (fs);
      a->n_failures = 0;
      a->avoid_until_ms = 0;
      add_sample (fs, p);
      lanes_query_answered (fs, p,
                            took_ms > 0 ? took_ms : fs->now_ms - p->sent_ms);
      window_query_answered (fs);
      return;
    }
  fs->stats->queries_failed++;
  if (outcome == ORDER_BUSY)
    window_refused (fs, p);
  else if (!p->overdue)
    avoid_adviser (fs, a, p->sent_ms);
}

void
adviser_query_overdue (struct fsched *fs, struct pending_order *p)
{
  struct adviser *a = &fs->advisers[p->adviser];
  struct advice_pace *pace = &p->queue->advice_pace;

  p->overdue = true;
  remove_query (fs, a, p);
  a->n_overdue++;
  fs->stats->queries_overdue++;
  avoid_adviser (fs, a, p->sent_ms);
  if (!is_reachable (fs, a))
    return;
  window_query_overdue (fs, p);
  /* Queries that were outstanding together have the same cause. */
  if (p->sent_ms <= pace->doubled_ms || pace->n_late == TIMEOUT_DOUBLINGS_MAX)
    return;
  pace->n_late++;
  pace->doubled_ms = fs->now_ms;
}

void
adviser_sweep_queries (struct fsched *fs)
{
  struct pending_order *p, *next;
  struct order_result lost = { .outcome = ORDER_LOST };

  lanes_tick (fs);
  RB_FOREACH_SAFE (p, pending_order_tree, &fs->orders, next)
    {
      const struct adviser *a;
      if (p->kind != ORDER_ADVISE)
        continue;
      a = &fs->advisers[p->adviser];
      if (fs->now_ms >= p->give_up_ms || contact_age (fs, a) > ADVISER_GONE_MS)
        fsched_order_result (fs, fs->now_ms, p->id, &lost);
      else if (p->overdue && fs->now_ms >= p->leave_window_ms)
        window_leave (fs, p);
      else if (!p->overdue
               && (fs->now_ms >= p->deadline_ms || !is_reachable (fs, a)))
        advice_overdue (fs, p);
    }
}
