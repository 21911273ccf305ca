/*
 * Overload of the advice service: queues whose jobs would wait too long for
 * their first advice query take no further jobs.
 */
#include "fsched_impl.h"

#include <string.h>

enum
{
  /* Longest time in which a new job may be expected to get the advice that it
     needs, with START_QUERIES answers.  A queue whose queries wait so that it
     would take longer takes no jobs: their callers do better to come back. */
  START_MAX_MS = 10000,
  START_QUERIES = 2,
  /* In this time after the start of a term, not all instances that can send
     queries are known. */
  UNKNOWN_INSTANCES_MS = 3000,
  /* Interval at which these times are computed. */
  WAITS_INTERVAL_MS = 200,
  /* Queries wait for the service if one could not be sent in this time. */
  BLOCKED_FRESH_MS = 1000,
};

/* Weight of a new sample in fsched_queue::query_ms. */
#define QUERY_MS_WEIGHT 0.05

int64_t
fsched_unsent_ms (const struct fsched *fs)
{
  const struct fsched_queue *q;
  double sum_ms = 0;

  TAILQ_FOREACH (q, &fs->queues, link)
    sum_ms += q->unsent_ms;
  return (int64_t)sum_ms;
}

/* Sums up what the first queries need that were not sent yet, by queue. */
static void
sum_unsent (struct fsched *fs)
{
  struct fsched_queue *q;
  const struct job *j;

  TAILQ_FOREACH (q, &fs->queues, link)
    q->unsent_ms = 0;
  TAILQ_FOREACH (j, &fs->queue, link)
    {
      if (j->spec.advice.base_ms <= 0 || job_state_final (j->state)
          || j->set_aside)
        continue;
      j->queue_stats->advice_base_ms = j->spec.advice.base_ms;
      for (size_t i = 0; i < j->spec.n_steps; i++)
        {
          const struct jstep *s = &j->steps[i];
          double query_ms;
          if (!s->query_due || s->n_done + s->n_running > 0 || s->query_id)
            continue;
          query_ms = choice_first_query_ms (fs, j, (int)i);
          q = j->queue_stats;
          q->query_ms += QUERY_MS_WEIGHT * (query_ms - q->query_ms);
          q->unsent_ms += query_ms * q->advice_pace.factor;
        }
    }
}

/* Returns how long the first query about a new job of a queue would wait to be
   sent: for the queries of all queues whose own are not longer. */
static int64_t
wait_of_queue (const struct fsched *fs, const struct fsched_queue *q)
{
  const struct fsched_queue *other;
  double sum_ms = 0;

  if (fs->now_ms - fs->advice_blocked_ms > BLOCKED_FRESH_MS
      || fs->now_ms - fs->claimed_ms < UNKNOWN_INSTANCES_MS)
    return 0;
  TAILQ_FOREACH (other, &fs->queues, link)
    if (other->advice_base_ms <= q->advice_base_ms)
      sum_ms += other->unsent_ms;
  return (int64_t)(sum_ms / adviser_lanes (fs, q->advice_base_ms));
}

/* Returns how long the service is expected to take for START_QUERIES queries
   of the queue. */
static int64_t
answers_ms (const struct fsched_queue *q)
{
  return (int64_t)(START_QUERIES * q->query_ms * q->advice_pace.factor);
}

void
overload_update (struct fsched *fs)
{
  struct fsched_queue *q;

  if (fs->now_ms < fs->next_waits_ms)
    return;
  fs->next_waits_ms = fs->now_ms + WAITS_INTERVAL_MS;
  sum_unsent (fs);
  TAILQ_FOREACH (q, &fs->queues, link)
    {
      bool overloaded;
      q->advice_wait_ms = wait_of_queue (fs, q);
      overloaded = q->advice_wait_ms > 0
                   && q->advice_wait_ms + answers_ms (q) > START_MAX_MS;
      if (overloaded != q->overloaded)
        out_line (fs->out,
                  "event=advice-overload queue=%s overloaded=%d wait_ms=%lld "
                  "unsent_ms=%lld",
                  q->name, overloaded, (long long)q->advice_wait_ms,
                  (long long)q->unsent_ms);
      q->overloaded = overloaded;
    }
}

int64_t
fsched_overload_ms (const struct fsched *fs, const char *queue)
{
  const struct fsched_queue *q;

  TAILQ_FOREACH (q, &fs->queues, link)
    if (q->overloaded && strcmp (q->name, queue) == 0)
      return q->advice_wait_ms + answers_ms (q) - START_MAX_MS
             + WAITS_INTERVAL_MS;
  return 0;
}
