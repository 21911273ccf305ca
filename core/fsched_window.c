/*
 * Windows of advice queries: how many may be outstanding, and how many long
 * ones among them.
 *
 * The advice service handles one query at a time for each calling machine.  It
 * may take all instances for one machine.  Then a short query waits for the
 * long ones that were sent before it, which shows in the time of the short
 * ones: they take longer by the same time, however short they are, while a
 * service that is only slow takes a multiple of the announced time.  A query
 * that overtakes a long one shows the opposite.
 */
#include "fsched_impl.h"

#include <math.h>

enum
{
  /* If short queries wait this long for others at the service, fewer long
     queries may be outstanding, or fewer queries if none of them is long. */
  SHORT_DELAY_MAX_MS = 300,
  /* Largest such time that counts. */
  SHORT_SAMPLE_MAX_MS = 2 * SHORT_DELAY_MAX_MS,
  /* A long query has waited for others if it took this percentage of its
     time, and SHORT_DELAY_MAX_MS, in addition. */
  LONG_DELAY_PERCENT = 50,
  /* Number of long queries that may be outstanding at the start of a term: one
     for each this many instances, at least LONG_WINDOW_MIN. */
  LONG_WINDOW_INSTANCES = 4,
  LONG_WINDOW_MIN = 2,
  /* In this time after the start of a term, queries may wait for those of the
     leader before. */
  EARLIER_QUERIES_MS = 5000,
  /* Number of short queries that must overtake long ones until twice as many
     long ones may be outstanding, and shortest interval between two such
     increases.  After a reduction, the first increase waits for LONG_RAISE_MS;
     without short queries for a time that doubles with each reduction. */
  LONG_RAISE_ANSWERS = 3,
  LONG_RAISE_START_MS = 250,
  LONG_RAISE_MS = 1000,
  LONG_RAISE_MAX_MS = 8000,
  /* While the service is shared, a queue whose queries have used it for this
     much longer than those of another which waits gets no further ones. */
  FAIR_SLACK_MS = 100,
  /* A measured time is of no use for this decision after this long. */
  DELAY_FRESH_MS = 1000,
  /* Smallest number of short queries that late ones show to be too many. */
  SHORT_LATE_MIN = 3,
  /* Number of queries that may always be outstanding, unless the service
     refuses them. */
  QUERY_WINDOW_MIN = 4,
  /* Interval of advice_pace::least. */
  LEAST_INTERVAL_MS = 5000,
  /* Time in which the largest number of outstanding short queries counts for
     half as much. */
  SHORT_PEAK_HALF_MS = 1000,
  /* Pause before the next query after the service has refused one.  The pause
     doubles with each further refusal, up to REFUSED_PAUSE_MAX_MS, and halves
     with each answer. */
  REFUSED_PAUSE_MS = 100,
  REFUSED_PAUSE_MAX_MS = 2000,
  /* Number of overdue queries in a row, without an answer since they were
     sent, after which the service seems to answer nobody.  Further queries are
     then sent one at a time, with a pause that doubles up to
     STALL_PAUSE_MAX_MS. */
  STALL_QUERIES = 3,
  STALL_PAUSE_MS = 250,
  STALL_PAUSE_MAX_MS = 2000,
  /* Shortest interval between two reductions of the window: the queries that
     were outstanding at the first have ended. */
  WINDOW_GAP_MS = 500,
};

/* Weight of a new sample in advice_pace::short_delay_ms. */
#define DELAY_WEIGHT 0.25

void
window_init (struct fsched *fs)
{
  fs->query_window = ADVICE_WINDOW;
  fs->long_window = LONG_WINDOW_MIN;
  fs->long_raise_gap_ms = LONG_RAISE_START_MS;
}

/* Returns how much longer than announced the service takes for a query of the
   queue which waits for no other, as a factor. */
static double
least_factor (const struct advice_pace *pace)
{
  double least = pace->least;

  if (least <= 0 || (pace->least_before > 0 && pace->least_before < least))
    least = pace->least_before;
  return least > 1 ? least : 1;
}

/* Returns how long a query, which is answered or overdue now or outstanding,
   has waited for others at the service, in ms. */
static double
waited_ms (const struct fsched *fs, const struct pending_order *p)
{
  return (double)(fs->now_ms - p->sent_ms)
         - p->duration_ms * least_factor (&p->queue->advice_pace);
}

/* Returns the queue whose short queries were measured of late, that with the
   shortest ones; NULL if there is none. */
static const struct fsched_queue *
measured_queue (const struct fsched *fs)
{
  const struct fsched_queue *q;
  const struct fsched_queue *best = NULL;

  TAILQ_FOREACH (q, &fs->queues, link)
    {
      const struct advice_pace *pace = &q->advice_pace;
      if (pace->short_ms > 0
          && fs->now_ms - pace->short_sampled_ms < DELAY_FRESH_MS
          && (!best || pace->short_ms < best->advice_pace.short_ms))
        best = q;
    }
  return best;
}

/* Returns whether short queries have waited for others of late, as the service
   does not tell the instances apart.  The shortest ones show it best: a
   service that is only slow delays them least. */
static bool
short_queries_are_late (const struct fsched *fs)
{
  const struct fsched_queue *q = measured_queue (fs);

  return (q && q->advice_pace.short_delay_ms > SHORT_DELAY_MAX_MS)
         || (fs->n_short_late >= SHORT_LATE_MIN
             && 2 * fs->n_short_late > fs->n_shortest);
}

bool
window_is_shared (const struct fsched *fs)
{
  return fs->long_window == 1;
}

double
window_long_ms (const struct fsched *fs)
{
  /* Every query of a shared service delays all others. */
  return window_is_shared (fs) ? ADVICE_QUEUED_MAX_MS : ADVICE_LONG_QUERY_MS;
}

bool
window_is_open (const struct fsched *fs, bool is_long)
{
  if (fs->n_queries_out >= fs->query_window
      || fs->now_ms < fs->refused_until_ms
      || fs->now_ms < fs->stalled_until_ms)
    return false;
  return !is_long || fs->n_long_out < fs->long_window;
}

double
window_short_peak (const struct fsched *fs)
{
  double halves
      = (double)(fs->now_ms - fs->short_peak_ms) / SHORT_PEAK_HALF_MS;

  return fs->short_peak * exp2 (-halves);
}

bool
window_admits_queue (const struct fsched *fs, const struct fsched_queue *q)
{
  const struct fsched_queue *other;

  if (!window_is_shared (fs))
    return true;
  TAILQ_FOREACH (other, &fs->queues, link)
    if (other->advice_due
        && q->advice_used_ms > other->advice_used_ms + FAIR_SLACK_MS)
      return false;
  return true;
}

/* Returns the weight of a queue while the service is shared: twice that of the
   queue with the next longer queries which waits.  Short queries let most jobs
   start in a given time. */
static double
queue_weight (const struct fsched *fs, const struct fsched_queue *q)
{
  const struct fsched_queue *other;
  double weight = 1;

  TAILQ_FOREACH (other, &fs->queues, link)
    if (other->advice_due && other->advice_base_ms > q->advice_base_ms)
      weight *= 2;
  return weight;
}

/* Adds the expected time of a query to what its queue has used of the service.
   A queue that was not due does not make up for that later. */
static void
add_use (struct fsched *fs, struct fsched_queue *q, double work_ms)
{
  const struct fsched_queue *other;
  double least_ms = -1;

  TAILQ_FOREACH (other, &fs->queues, link)
    if (other != q && other->advice_due
        && (least_ms < 0 || other->advice_used_ms < least_ms))
      least_ms = other->advice_used_ms;
  if (q->advice_used_ms < least_ms - FAIR_SLACK_MS)
    q->advice_used_ms = least_ms - FAIR_SLACK_MS;
  q->advice_used_ms += work_ms / queue_weight (fs, q);
}

/* Sets the earliest time of the next query while the service seems to answer
   nobody. */
static void
pause_if_stalled (struct fsched *fs)
{
  int64_t pause_ms = STALL_PAUSE_MS;

  if (fs->n_unanswered < STALL_QUERIES)
    return;
  for (int i = STALL_QUERIES;
       i < fs->n_unanswered && pause_ms < STALL_PAUSE_MAX_MS; i++)
    pause_ms *= 2;
  fs->stalled_until_ms = fs->now_ms + pause_ms;
}

/* Notes the number of short queries that are outstanding, with @p, which is
   about to be sent. */
static void
note_short_query (struct fsched *fs, const struct pending_order *p)
{
  int n_short = fs->n_queries_out - fs->n_long_out + 1;
  double peak = window_short_peak (fs);

  if (p->is_long)
    return;
  fs->short_peak = n_short > peak ? n_short : peak;
  fs->short_peak_ms = fs->now_ms;
}

void
window_query_sent (struct fsched *fs, struct pending_order *p)
{
  p->alone = p->is_long && window_is_shared (fs);
  p->n_long_ended = fs->n_long_ended;
  p->n_long_out = fs->n_long_out + p->is_long;
  if (fs->now_ms - fs->long_sent_ms >= ADVICE_PATH_MS)
    p->n_long_before = fs->n_long_out;
  if (p->is_long)
    fs->long_sent_ms = fs->now_ms;
  note_short_query (fs, p);
  p->in_window = true;
  fs->n_queries_out++;
  fs->n_long_out += p->is_long;
  p->work_ms = p->duration_ms * p->queue->advice_pace.factor;
  fs->work_out_ms += p->work_ms;
  pause_if_stalled (fs);
  if (window_is_shared (fs))
    add_use (fs, p->queue, p->work_ms);
}

void
window_leave (struct fsched *fs, struct pending_order *p)
{
  if (!p->in_window)
    return;
  p->in_window = false;
  fs->n_queries_out--;
  fs->work_out_ms -= p->work_ms;
  if (!p->is_long)
    return;
  fs->n_long_out--;
  fs->n_long_ended++;
  fs->long_ended_ms = fs->now_ms;
}

void
window_refused (struct fsched *fs, const struct pending_order *p)
{
  int64_t pause_ms = REFUSED_PAUSE_MS;

  if (p->sent_ms < fs->refused_ms)
    return;
  for (int i = 0; i < fs->n_refused && pause_ms < REFUSED_PAUSE_MAX_MS; i++)
    pause_ms *= 2;
  fs->n_refused++;
  fs->refused_ms = fs->now_ms;
  fs->refused_until_ms = fs->now_ms + pause_ms;
  if (fs->now_ms >= fs->next_window_cut_ms)
    {
      fs->next_window_cut_ms = fs->now_ms + WINDOW_GAP_MS;
      fs->query_window = fs->n_queries_out > 2 ? fs->n_queries_out / 2.0 : 1;
    }
  out_line (fs->out,
            "event=advice-refused outstanding=%d window=%d for_ms=%lld",
            fs->n_queries_out, (int)fs->query_window, (long long)pause_ms);
}

/* Reduces the number of long queries that may be outstanding.  @why: for the
   log line */
static void
cut_long_window (struct fsched *fs, const char *why)
{
  const struct fsched_queue *q = measured_queue (fs);

  fs->n_overtaking = 0;
  if (fs->now_ms < fs->next_long_cut_ms || fs->long_window == 1
      || fs->now_ms - fs->claimed_ms < EARLIER_QUERIES_MS)
    return;
  fs->next_long_cut_ms = fs->now_ms + WINDOW_GAP_MS;
  fs->long_raise_gap_ms *= 2;
  if (fs->long_raise_gap_ms < LONG_RAISE_MS)
    fs->long_raise_gap_ms = LONG_RAISE_MS;
  if (fs->long_raise_gap_ms > LONG_RAISE_MAX_MS)
    fs->long_raise_gap_ms = LONG_RAISE_MAX_MS;
  fs->long_cut_ms = fs->now_ms;
  fs->long_changed = true;
  fs->next_long_raise_ms
      = fs->now_ms + (q ? LONG_RAISE_MS : fs->long_raise_gap_ms);
  if (fs->long_window > fs->n_long_out)
    fs->long_window = fs->n_long_out;
  fs->long_window = fs->long_window > 2 ? fs->long_window / 2 : 1;
  out_line (fs->out,
            "event=advice-long outstanding=%d window=%d why=%s queue=%s "
            "delay_ms=%d late=%d/%d",
            fs->n_long_out, fs->long_window, why, q ? q->name : "",
            q ? (int)q->advice_pace.short_delay_ms : 0, fs->n_short_late,
            fs->n_shortest);
}

/* Lets more long queries be outstanding, as short ones have overtaken them:
   the service handles them beside each other. */
static void
raise_long_window (struct fsched *fs)
{
  if (fs->long_window >= ADVICE_WINDOW || fs->now_ms < fs->next_long_raise_ms
      || fs->n_overtaking < LONG_RAISE_ANSWERS)
    return;
  fs->n_overtaking = 0;
  fs->next_long_raise_ms = fs->now_ms + LONG_RAISE_START_MS;
  if (fs->long_raise_gap_ms > LONG_RAISE_MS)
    fs->long_raise_gap_ms /= 2;
  fs->long_window *= 2;
  fs->long_changed = true;
  out_line (fs->out,
            "event=advice-long outstanding=%d window=%d why=overtaken",
            fs->n_long_out, fs->long_window);
}

/* Reduces the number of queries that may be outstanding, as short ones wait
   for each other. */
static void
cut_query_window (struct fsched *fs)
{
  if (fs->now_ms < fs->next_window_cut_ms || fs->n_long_out > 0
      || fs->now_ms - fs->long_ended_ms < DELAY_FRESH_MS
      || fs->query_window <= QUERY_WINDOW_MIN)
    return;
  fs->next_window_cut_ms = fs->now_ms + WINDOW_GAP_MS;
  fs->query_window = fs->n_queries_out > 2 * QUERY_WINDOW_MIN
                         ? fs->n_queries_out / 2.0
                         : QUERY_WINDOW_MIN;
  out_line (fs->out, "event=advice-window outstanding=%d window=%d",
            fs->n_queries_out, (int)fs->query_window);
}

void
window_adapt (struct fsched *fs)
{
  /* The instances become known only during the term. */
  if (!fs->long_changed
      && fs->long_window < fs->n_advisers / LONG_WINDOW_INSTANCES)
    fs->long_window = fs->n_advisers / LONG_WINDOW_INSTANCES;
  if (!short_queries_are_late (fs))
    {
      raise_long_window (fs);
      return;
    }
  cut_long_window (fs, "short");
  if (window_is_shared (fs))
    cut_query_window (fs);
}

/* Learns from a long query that was answered, or is overdue, after @wait_ms of
   waiting for others.  While short queries are measured, they tell more. */
static void
note_long_wait (struct fsched *fs, const struct pending_order *p,
                double wait_ms)
{
  double max_ms = SHORT_DELAY_MAX_MS
                  + LONG_DELAY_PERCENT * p->duration_ms
                        * least_factor (&p->queue->advice_pace) / 100;

  if (measured_queue (fs))
    return;
  if (wait_ms <= max_ms)
    {
      /* As many as were outstanding when it was sent are not too many. */
      if (fs->long_window <= p->n_long_out)
        fs->long_window = p->n_long_out + 1;
    }
  else if (p->sent_ms >= fs->long_cut_ms)
    cut_long_window (fs, "long");
}

/* Returns whether a query was answered while a long one is outstanding that
   was sent before it: the service handles them beside each other. */
static bool
has_overtaken (const struct fsched *fs, const struct pending_order *p)
{
  return p->sent_ms >= fs->long_cut_ms && !p->overdue
         && (int)(fs->n_long_ended - p->n_long_ended) < p->n_long_before;
}

/* Adds the delay of a query that was answered or is overdue to the mean of its
   queue, if it is a short one. */
static void
add_delay (struct fsched *fs, const struct pending_order *p)
{
  struct advice_pace *pace = &p->queue->advice_pace;
  double wait_ms = waited_ms (fs, p);

  /* Without an answer of the queue, it is not known what the service takes for
     a query that waits for no other. */
  if (!pace->measured)
    return;
  if (p->is_long)
    note_long_wait (fs, p, wait_ms);
  else
    {
      if (wait_ms > SHORT_DELAY_MAX_MS)
        fs->n_overtaking = 0;
      else if (has_overtaken (fs, p))
        fs->n_overtaking++;
      /* One late query is no evidence, however late it is. */
      if (wait_ms > SHORT_SAMPLE_MAX_MS)
        wait_ms = SHORT_SAMPLE_MAX_MS;
      pace->short_ms = p->duration_ms;
      pace->short_delay_ms += DELAY_WEIGHT * (wait_ms - pace->short_delay_ms);
      pace->short_sampled_ms = fs->now_ms;
    }
  window_adapt (fs);
}

/* Adds a sample to the smallest multiples of the announced time. */
static void
add_least (struct fsched *fs, const struct pending_order *p, double sample)
{
  struct advice_pace *pace = &p->queue->advice_pace;

  if (p->alone && window_is_shared (fs))
    pace->least = pace->least_before = sample;
  if (fs->now_ms >= pace->least_until_ms)
    {
      pace->least_before = pace->least;
      pace->least = 0;
      pace->least_until_ms = fs->now_ms + LEAST_INTERVAL_MS;
    }
  if (pace->least <= 0 || sample < pace->least)
    pace->least = sample;
}

void
window_query_answered (struct fsched *fs, const struct pending_order *p,
                       double factor)
{
  fs->answered_ms = fs->now_ms;
  fs->n_unanswered = 0;
  fs->stalled_until_ms = 0;
  fs->n_refused -= fs->n_refused > 0;
  if (fs->query_window < ADVICE_WINDOW)
    fs->query_window += 1 / fs->query_window;
  add_least (fs, p, factor);
  add_delay (fs, p);
}

void
window_query_overdue (struct fsched *fs, const struct pending_order *p)
{
  if (p->sent_ms > fs->answered_ms)
    {
      fs->n_unanswered++;
      pause_if_stalled (fs);
    }
  add_delay (fs, p);
}

void
window_count_late (struct fsched *fs)
{
  struct pending_order *p;
  const struct pending_order *shortest = NULL;

  fs->n_shortest = fs->n_short_late = 0;
  RB_FOREACH (p, pending_order_tree, &fs->orders)
    if (p->kind == ORDER_ADVISE && !p->is_long && p->in_window
        && p->queue->advice_pace.measured
        && (!shortest || p->duration_ms < shortest->duration_ms))
      shortest = p;
  if (!shortest)
    return;
  RB_FOREACH (p, pending_order_tree, &fs->orders)
    if (p->kind == ORDER_ADVISE && !p->is_long && p->in_window
        && p->queue == shortest->queue)
      {
        fs->n_shortest++;
        fs->n_short_late += waited_ms (fs, p) > SHORT_DELAY_MAX_MS;
      }
}
