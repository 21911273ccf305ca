/*
 * Steps that wait for an advice query to be sent, by queue.  Client accounts
 * take turns by what was asked for them of late, so that one that has
 * submitted many jobs does not hold back the others.  The steps of an account
 * follow in the order in which they became ready.
 *
 * Placing passes find the steps.  They are asked about as soon as the service
 * can take another query, between passes too: passes over all jobs are rarer
 * the more jobs wait, and the service must not idle meanwhile.
 *
 * Queues with shorter queries go first, so that short queries do not wait for
 * long ones of a shared service, and most jobs start in a given time.  A step
 * that has waited for long is asked about now and then although shorter
 * queries wait.
 */
#include "fsched_impl.h"

#include <math.h>

enum
{
  /* Time constant of fsched_tenant::asked_ms. */
  ASKED_TIME_MS = 4000,
  /* Maximum number of queries that are sent at a time. */
  ASK_MAX = 32,
  /* A step that has been ready for this long is asked about before shorter
     queries are sent.  Such steps get one part in AGED_PART of the service. */
  AGED_MS = 4000,
  AGED_PART = 16,
};

void
asking_add (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];
  struct askingq *list = &j->queue_stats->asking;
  struct jstep *before = TAILQ_LAST (list, askingq);

  fs->asking_due = true;
  j->queue_stats->advice_base_ms = j->spec.advice.base_ms;
  if (s->asking)
    return;
  s->asking = true;
  j->queue_stats->n_asking++;
  while (before && before->ready_ms > s->ready_ms)
    before = TAILQ_PREV (before, askingq, asking_link);
  if (before)
    TAILQ_INSERT_AFTER (list, before, s, asking_link);
  else
    TAILQ_INSERT_HEAD (list, s, asking_link);
}

void
asking_remove (struct fsched_queue *q, struct jstep *s)
{
  if (!s->asking)
    return;
  s->asking = false;
  q->n_asking--;
  TAILQ_REMOVE (&q->asking, s, asking_link);
}

int
asking_count (const struct fsched *fs)
{
  const struct fsched_queue *q;
  int n = 0;

  TAILQ_FOREACH (q, &fs->queues, link)
    n += q->n_asking;
  return n;
}

/* Returns the announced time of queries for an account of late, in ms. */
static double
asked_ms (const struct fsched *fs, const struct fsched_tenant *t)
{
  return t->asked_ms
         * exp (-(double)(fs->now_ms - t->asked_updated_ms) / ASKED_TIME_MS);
}

/* Adds the announced time of a query to that of an account. */
static void
add_asked (struct fsched *fs, struct fsched_tenant *t, double duration_ms)
{
  t->asked_ms = asked_ms (fs, t) + duration_ms;
  t->asked_updated_ms = fs->now_ms;
}

/* Returns the step of a queue to ask about next, NULL if there is none.
   Removes steps that may not be asked about; placing passes add them again. */
static struct jstep *
first_step (struct fsched *fs, struct fsched_queue *q)
{
  struct jstep *s, *next;
  struct jstep *best = NULL;
  const struct fsched_tenant *last = NULL;
  double best_ms = 0;

  TAILQ_FOREACH_SAFE (s, &q->asking, asking_link, next)
    {
      if (best && s->job->account == last)
        continue;
      if (!advice_may_query (fs, s->job, (int)(s - s->job->steps)))
        {
          asking_remove (q, s);
          continue;
        }
      last = s->job->account;
      if (!best || asked_ms (fs, last) < best_ms)
        {
          best = s;
          best_ms = asked_ms (fs, last);
        }
    }
  return best;
}

/* Asks about a step and removes it from those that wait, unless no query can
   be sent. */
static enum advice_sending
ask (struct fsched *fs, struct fsched_queue *q, struct jstep *s)
{
  double before_ms = fs->lanes.work_out_ms;
  struct fsched_tenant *account = s->job->account;
  enum advice_sending sending
      = advice_send_query (fs, s->job, (int)(s - s->job->steps));

  if (sending == ADVICE_BLOCKED)
    return sending;
  if (sending == ADVICE_SENT)
    add_asked (fs, account, fs->lanes.work_out_ms - before_ms);
  asking_remove (q, s);
  return sending;
}

/* Returns the queue with the shortest queries among those with longer ones
   than @after, NULL if there is none.  @after may be NULL. */
static struct fsched_queue *
next_queue (struct fsched *fs, const struct fsched_queue *after)
{
  struct fsched_queue *q;
  struct fsched_queue *best = NULL;
  bool passed = !after; /* @after was passed, for queues that equal it */

  TAILQ_FOREACH (q, &fs->queues, link)
    {
      bool later = !after || q->advice_base_ms > after->advice_base_ms
                   || (passed && q->advice_base_ms == after->advice_base_ms);
      if (q == after)
        {
          passed = true;
          continue;
        }
      if (later && (!best || q->advice_base_ms < best->advice_base_ms))
        best = q;
    }
  return best;
}

/* Asks about the steps of a queue until none waits or no query can be sent.
   Returns false in the latter case. */
static bool
ask_queue (struct fsched *fs, struct fsched_queue *q, int *n_left)
{
  struct jstep *s;

  while (*n_left > 0 && (s = first_step (fs, q)))
    {
      if (ask (fs, q, s) == ADVICE_BLOCKED)
        return false;
      --*n_left;
    }
  return true;
}

/* Asks about the step that has waited longest, for AGED_MS at least, of those
   that wait for shorter queries. */
static void
ask_aged (struct fsched *fs)
{
  struct fsched_queue *q = NULL;
  struct fsched_queue *oldest_queue = NULL;
  struct jstep *oldest = NULL;
  bool shorter_wait = false;
  double out_ms = fs->lanes.work_out_ms;

  if (fs->now_ms < fs->next_aged_ms)
    return;
  while ((q = next_queue (fs, q)))
    {
      struct jstep *s = first_step (fs, q);
      if (s && shorter_wait && (!oldest || s->ready_ms < oldest->ready_ms))
        {
          oldest = s;
          oldest_queue = q;
        }
      shorter_wait |= s != NULL;
    }
  if (!oldest || fs->now_ms - oldest->ready_ms < AGED_MS
      || ask (fs, oldest_queue, oldest) != ADVICE_SENT)
    return;
  out_ms = fs->lanes.work_out_ms - out_ms;
  fs->next_aged_ms
      = fs->now_ms + (int64_t)(AGED_PART * out_ms / lanes_rate (fs));
}

void
asking_send (struct fsched *fs)
{
  struct fsched_queue *q = NULL;
  bool limited = lanes_are_limited (fs);
  bool blocked = false;
  int n_left = ASK_MAX;

  fs->asking_due = false;
  if (limited)
    ask_aged (fs);
  while ((q = next_queue (fs, q)))
    {
      /* A long query must not take the turn of short ones that wait. */
      if ((!limited || !blocked) && ask_queue (fs, q, &n_left))
        continue;
      blocked = true;
      if (q->n_asking)
        fs->advice_blocked_ms = q->blocked_ms = fs->now_ms;
    }
}
