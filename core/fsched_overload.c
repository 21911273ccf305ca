/*
 * Overload of the advice service: queues whose jobs could not be decided on in
 * time take no further jobs.
 *
 * A job that is accepted needs queries for each of its steps, and further ones
 * if tickets expire before the step starts.  The service answers the queries
 * of queues with shorter ones first.  So a new job of a queue waits for what
 * the accepted jobs of this queue and of those with shorter queries need, at
 * the rate that the jobs which arrive in the latter leave.
 */
#include "fsched_impl.h"

#include <math.h>
#include <string.h>

enum
{
  /* Longest time in which a new job may be expected to get the advice that it
     needs.  Less if a later start would be of no use.  A queue takes jobs
     again when it is less by one part in RESUME_PART. */
  START_MAX_MS = 10000,
  START_MIN_MS = 1000,
  /* Number of answers that a job is expected to need. */
  START_QUERIES = 2,
  RESUME_PART = 4,
  /* In this time after the start of a term, not all instances that can send
     queries are known. */
  UNKNOWN_INSTANCES_MS = 3000,
  /* Lanes that are limited for lack of evidence count as shared after queries
     have waited for this long. */
  LIMITED_BUSY_MS = 2000,
  /* Interval at which these times are computed. */
  WAITS_INTERVAL_MS = 200,
  /* Queries wait for the service if one could not be sent in this time. */
  BLOCKED_FRESH_MS = 1000,
  /* Time constant of fsched_queue::arrived_ms, and shortest time for which
     arrivals count. */
  ARRIVAL_TIME_MS = 1500,
  ARRIVAL_MIN_MS = 200,
  /* Longest wait that is reported. */
  WAIT_MAX_MS = 60000,
};

/* Weight of a new sample in fsched_queue::query_ms and useful_ms. */
#define SAMPLE_WEIGHT 0.05
/* Weight of the queries so far when a further one is added. */
#define QUERY_KEEP 0.99
/* Largest number of queries, as a multiple of the first ones. */
#define QUERIES_MAX_FACTOR 4.0

int64_t
fsched_unsent_ms (const struct fsched *fs)
{
  const struct fsched_queue *q;
  double sum_ms = 0;

  TAILQ_FOREACH (q, &fs->queues, link)
    sum_ms += q->unsent_ms;
  return (int64_t)sum_ms;
}

void
overload_init_queue (struct fsched_queue *q)
{
  q->useful_ms = START_MAX_MS;
}

/* Returns the announced time of all queries that a step of the queue needs, as
   a multiple of that of its first one. */
static double
queries_factor (const struct fsched_queue *q)
{
  double factor = q->first_ms > 0 ? q->asked_ms / q->first_ms : 1;

  return factor < 1                    ? 1
         : factor > QUERIES_MAX_FACTOR ? QUERIES_MAX_FACTOR
                                       : factor;
}

void
overload_query_sent (struct fsched_queue *q, double duration_ms, bool first)
{
  q->asked_ms = QUERY_KEEP * q->asked_ms + duration_ms;
  q->first_ms = QUERY_KEEP * q->first_ms + (first ? duration_ms : 0);
}

/* Lets earlier arrivals count less, unless jobs that would have arrived since
   were rejected. */
static void
age_arrivals (const struct fsched *fs, struct fsched_queue *q)
{
  double ms = (double)(fs->now_ms - q->arrived_updated_ms);

  if (!q->first_arrival_ms)
    q->first_arrival_ms = fs->now_ms;
  if (!q->overloaded)
    q->arrived_ms *= exp (-ms / ARRIVAL_TIME_MS);
  q->arrived_updated_ms = fs->now_ms;
}

/* Returns the time for queries of the jobs that arrive in a queue, as a part
   of the time in which they arrive. */
static double
arrival_rate (const struct fsched *fs, struct fsched_queue *q)
{
  double age_ms;

  age_arrivals (fs, q);
  age_ms = (double)(fs->now_ms - q->first_arrival_ms);
  if (age_ms < ARRIVAL_MIN_MS)
    age_ms = ARRIVAL_MIN_MS;
  return q->arrived_ms
         / (ARRIVAL_TIME_MS * (1 - exp (-age_ms / ARRIVAL_TIME_MS)));
}

void
overload_job_added (struct fsched *fs, const struct job *j)
{
  struct fsched_queue *q = j->queue_stats;
  double useful_ms = (double)(j->urgency.worthless_ms - j->arrival_ms);

  if (j->spec.advice.base_ms <= 0)
    return;
  age_arrivals (fs, q);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    q->arrived_ms
        += queries_factor (q) * choice_first_query_ms (fs, j, (int)i);
  q->useful_ms += SAMPLE_WEIGHT * (useful_ms - q->useful_ms);
}

/* Adds what a step of a job needs to the sums of its queue. */
static void
add_step (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  struct fsched_queue *q = j->queue_stats;
  double query_ms;

  if (s->n_done + s->n_running > 0 || s->n_asking > 0
      || (s->ready && !s->query_due))
    return;
  query_ms = choice_first_query_ms (fs, j, step);
  q->work_ms += (s->n_queries ? 1 : queries_factor (q)) * query_ms;
  /* A step that was asked about may only wait for room. */
  if (!s->ready || s->query_id)
    return;
  q->query_ms += SAMPLE_WEIGHT * (query_ms - q->query_ms);
  q->unsent_ms += query_ms;
}

/* Sums up what the queries need that were not sent yet, by queue. */
static void
sum_work (struct fsched *fs)
{
  struct fsched_queue *q;
  const struct job *j;

  TAILQ_FOREACH (q, &fs->queues, link)
    q->unsent_ms = q->work_ms = 0;
  TAILQ_FOREACH (j, &fs->queue, link)
    {
      if (j->spec.advice.base_ms <= 0 || job_state_final (j->state)
          || j->set_aside)
        continue;
      j->queue_stats->advice_base_ms = j->spec.advice.base_ms;
      for (size_t i = 0; i < j->spec.n_steps; i++)
        add_step (fs, j, (int)i);
    }
}

/* Returns the rate at which a service that tells the instances apart answers
   the queries of a queue, see lanes_rate(). */
static double
rate_of_instances (const struct fsched *fs, const struct fsched_queue *q)
{
  struct adviser_counts c = adviser_count (fs);
  int n = q->query_ms > ADVICE_LONG_QUERY_MS ? c.n_for_long : c.n_available;

  return (n > 1 ? n : 1) / q->advice_pace.factor;
}

/* Returns whether queries of a queue wait for those of all instances, so that
   what all accepted jobs need decides how long they wait. */
static bool
waits_for_lanes (const struct fsched *fs, const struct fsched_queue *q)
{
  return lanes_are_shared (fs)
         || (lanes_are_limited (fs) && q->query_ms > ADVICE_QUEUED_MAX_MS
             && fs->lanes.busy_ms > LIMITED_BUSY_MS);
}

/* Returns how long a new job of a queue would wait for the answers to
   START_QUERIES queries. */
static int64_t
wait_of_queue (struct fsched *fs, const struct fsched_queue *q)
{
  bool shared = waits_for_lanes (fs, q);
  double rate = shared ? lanes_rate (fs) : rate_of_instances (fs, q);
  double factor = shared ? lanes_count (fs) / rate : q->advice_pace.factor;
  double work_ms = shared ? fs->lanes.work_out_ms : 0;
  struct fsched_queue *other;
  double wait_ms;

  TAILQ_FOREACH (other, &fs->queues, link)
    {
      if (other->advice_base_ms > q->advice_base_ms)
        continue;
      work_ms += shared ? other->work_ms : other->unsent_ms;
      if (shared && other != q && other->advice_base_ms > 0)
        rate -= arrival_rate (fs, other);
    }
  if (!shared && work_ms <= 0)
    return 0;
  wait_ms = rate > 0 ? work_ms / rate + START_QUERIES * factor * q->query_ms
                     : WAIT_MAX_MS;
  return wait_ms < WAIT_MAX_MS ? (int64_t)wait_ms : WAIT_MAX_MS;
}

/* Returns the longest time that a new job of a queue may wait for. */
static int64_t
longest_wait_ms (const struct fsched *fs, const struct fsched_queue *q)
{
  if (!waits_for_lanes (fs, q))
    return START_MAX_MS;
  return q->useful_ms < START_MIN_MS   ? START_MIN_MS
         : q->useful_ms > START_MAX_MS ? START_MAX_MS
                                       : (int64_t)q->useful_ms;
}

/* Returns the wait below which a queue takes jobs again. */
static int64_t
resume_wait_ms (const struct fsched *fs, const struct fsched_queue *q)
{
  int64_t longest_ms = longest_wait_ms (fs, q);

  return waits_for_lanes (fs, q) ? longest_ms - longest_ms / RESUME_PART
                                 : longest_ms;
}

/* Returns whether a queue must not take jobs now. */
static bool
is_overloaded (const struct fsched *fs, const struct fsched_queue *q)
{
  bool blocked
      = q->blocked_ms && fs->now_ms - q->blocked_ms <= BLOCKED_FRESH_MS;
  bool known = lanes_are_shared (fs)
               || fs->now_ms - fs->claimed_ms >= UNKNOWN_INSTANCES_MS;

  if (q->overloaded)
    return q->advice_wait_ms > resume_wait_ms (fs, q)
           && (blocked || fs->now_ms - fs->claimed_ms < UNKNOWN_INSTANCES_MS);
  return known && blocked && q->advice_wait_ms > longest_wait_ms (fs, q);
}

void
overload_update (struct fsched *fs)
{
  struct fsched_queue *q;

  /* Which steps wait for queries is known after a pass over all jobs. */
  if (fs->now_ms < fs->next_waits_ms || fs->last_whole_pass_ms == 0)
    return;
  fs->next_waits_ms = fs->now_ms + WAITS_INTERVAL_MS;
  sum_work (fs);
  TAILQ_FOREACH (q, &fs->queues, link)
    {
      bool overloaded;
      if (q->advice_base_ms <= 0)
        {
          q->overloaded &= fs->now_ms - fs->claimed_ms < UNKNOWN_INSTANCES_MS;
          continue;
        }
      q->advice_wait_ms = wait_of_queue (fs, q);
      overloaded = is_overloaded (fs, q);
      if (overloaded != q->overloaded)
        out_line (fs->out,
                  "event=advice-overload queue=%s overloaded=%d wait_ms=%lld "
                  "longest_ms=%lld work_ms=%lld arriving=%.2f rate=%.2f",
                  q->name, overloaded, (long long)q->advice_wait_ms,
                  (long long)longest_wait_ms (fs, q), (long long)q->work_ms,
                  arrival_rate (fs, q), lanes_rate (fs));
      q->overloaded = overloaded;
    }
}

int64_t
fsched_overload_ms (const struct fsched *fs, const char *queue)
{
  const struct fsched_queue *q;

  TAILQ_FOREACH (q, &fs->queues, link)
    if (q->overloaded && strcmp (q->name, queue) == 0)
      return q->advice_wait_ms > resume_wait_ms (fs, q)
                 ? q->advice_wait_ms - resume_wait_ms (fs, q)
                       + WAITS_INTERVAL_MS
                 : WAITS_INTERVAL_MS;
  return 0;
}

void
fsched_inherit_overload (struct fsched *fs, const char *queue)
{
  fsched_queue (fs, queue)->overloaded = true;
}
