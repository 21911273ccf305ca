/*
 * Advice queries.  The platform's advice service decides which executors may
 * run a step.  Its decision on a step and an executor does not change, but the
 * ticket that it issues expires.  The instances that send the queries are in
 * fsched_adviser.c.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Pause before a step's next query after a query that was overdue or failed.
     The pause doubles with each further one, up to QUERY_RETRY_MAX_MS. */
  QUERY_RETRY_MS = 30,
  QUERY_RETRY_MAX_MS = 1000,
  /* An overdue query adds one part in this many of its time to this pause: the
     answer may be about to arrive. */
  OVERDUE_PAUSE_FRACTION = 4,
  /* Pause before a step's next query after two answers without a start,
     because more urgent work took the capacity.  The pause doubles with each
     further answer without a start. */
  QUERY_AGAIN_MS = 50,
  /* Longest pause before a step's next query after answers. */
  QUERY_AGAIN_MAX_MS = 800,
  /* Pause before a step's next query after an executor has refused its ticket
     twice.  The pause doubles with each further refusal, up to
     QUERY_RETRY_MAX_MS. */
  TICKET_REFUSED_MS = 100,
  /* A step that can never start on the executors that it is permitted asks
     again about the others after this pause, as an answer may have left some
     of them out.  The pause doubles each time, up to RECHECK_MAX_MS. */
  RECHECK_MS = 1000,
  RECHECK_MAX_MS = 16000,
  /* Maximum number of outstanding queries about one step. */
  STEP_QUERIES_MAX = 4,
  /* Number of accepted starts after which a third of what was added to the
     margin of tickets is left. */
  TICKET_MARGIN_STARTS = 32,
  /* Shortest interval between two additions to this margin. */
  TICKET_MARGIN_GAP_MS = 1000,
};

struct permit *
permit_get (struct jstep *s, const struct exec *e)
{
  if (e->index >= s->n_permits)
    {
      int n = e->index + 16;
      s->permits = realloc (s->permits, (size_t)n * sizeof *s->permits);
      if (!s->permits)
        abort ();
      memset (s->permits + s->n_permits, 0,
              (size_t)(n - s->n_permits) * sizeof *s->permits);
      s->n_permits = n;
    }
  return &s->permits[e->index];
}

void
advice_free (struct jstep *s)
{
  for (int i = 0; i < s->n_permits; i++)
    free (s->permits[i].ticket);
  free (s->permits);
  s->permits = NULL;
  s->n_permits = 0;
}

bool
permit_valid_for (const struct fsched *fs, const struct jstep *s,
                  const struct exec *e, int64_t for_ms)
{
  const struct permit *p;

  if (e->index >= s->n_permits)
    return false;
  p = &s->permits[e->index];
  return p->state == PERMIT_ALLOWED && p->boot_start_ms == e->boot_start_ms
         && p->valid_until_ms > fs->now_ms + for_ms;
}

bool
permit_valid (const struct fsched *fs, const struct jstep *s,
              const struct exec *e)
{
  return permit_valid_for (fs, s, e, FSCHED_TICKET_MARGIN_MS);
}

/* Returns the pause after @n >= 1 events in a row: @first_ms, and twice as
   much for each further one, up to @max_ms. */
static int64_t
pause_after (int64_t first_ms, int64_t max_ms, int n)
{
  int64_t pause_ms = first_ms;

  for (int i = 1; i < n && pause_ms < max_ms; i++)
    pause_ms *= 2;
  return pause_ms < max_ms ? pause_ms : max_ms;
}

/* Sends a query through an instance.  @adviser: index of the instance in
   fsched::advisers.  @duration_ms: announced duration of the query. */
static void
send_query (struct fsched *fs, struct job *j, int step,
            const struct named_execs *execs, int adviser, double duration_ms)
{
  struct adviser *a = &fs->advisers[adviser];
  struct jstep *s = &j->steps[step];
  struct pending_order *pend;
  struct order *o = fsched_order_new (fs, ORDER_ADVISE, NULL, &pend);

  clb_copy (o->task.job, j->spec.id, sizeof o->task.job);
  o->task.step = step;
  o->execs = calloc (execs->n, sizeof *o->execs);
  if (!o->execs)
    abort ();
  for (size_t i = 0; i < execs->n; i++)
    {
      clb_copy (o->execs[i], execs->list[i].e->rep.id, CLB_ID_MAX);
      struct permit *p = permit_get (s, execs->list[i].e);
      if (p->state == PERMIT_UNKNOWN)
        p->state = PERMIT_QUERIED;
      p->query_id = o->id;
      p->asked_boot_start_ms = execs->list[i].e->boot_start_ms;
      p->asked = true;
    }
  o->n_execs = execs->n;
  pend->named = fsched_zalloc (execs->n, sizeof *pend->named);
  for (size_t i = 0; i < execs->n; i++)
    pend->named[i] = execs->list[i].e->index;
  /* The address is empty if this instance sends the query. */
  clb_copy (o->addr, a->addr, sizeof o->addr);
  clb_copy (pend->job, j->spec.id, sizeof pend->job);
  pend->step = step;
  pend->adviser = adviser;
  pend->n_execs = execs->n;
  o->timeout_ms = adviser_query_sent (fs, pend, j->queue_stats, duration_ms);
  overload_query_sent (j->queue_stats, duration_ms,
                       s->n_queries == 0 && s->n_asking == 0);
  s->query_id = o->id;
  s->n_asking++;
  fs->stats->queries++;
}

/* Returns whether any executor that a query names has capacity for a task. */
static bool
any_has_room (const struct named_execs *execs)
{
  for (size_t i = 0; i < execs->n; i++)
    if (execs->list[i].fits > 0)
      return true;
  return false;
}

bool
adviser_is_free (const struct fsched *fs, const struct job *j)
{
  double long_ms
      = lanes_are_limited (fs) ? ADVICE_QUEUED_MAX_MS : ADVICE_LONG_QUERY_MS;

  return j->spec.advice.base_ms > long_ms ? fs->long_adviser_free
                                          : fs->short_adviser_free;
}

/* Returns whether a step that waits for answers may ask about more executors:
   a gang for which one query cannot name enough. */
static bool
asks_more (const struct jstep *s)
{
  return s->needs_more_names && s->n_asking < STEP_QUERIES_MAX;
}

/* Returns whether an executor that is denied to a step has room for it. */
static bool
denied_has_room (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < fs->n_eligible; i++)
    {
      const struct exec *e = fs->eligible[i];
      if (exec_usable (e, j, step) && permit_get (s, e)->state == PERMIT_DENIED
          && exec_fit_count (e, j, step, 1) > 0)
        return true;
    }
  return false;
}

/* Forgets that executors are denied to a step which can never start on those
   that it is permitted. */
static void
recheck_denied (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];
  bool first = s->next_recheck_ms == 0;

  if (fs->now_ms < s->next_recheck_ms)
    return;
  s->next_recheck_ms = fs->now_ms + RECHECK_MS;
  if (first || room_could_start (fs, j, step)
      || !denied_has_room (fs, j, step))
    return;
  for (int i = 0; i < s->n_permits; i++)
    if (s->permits[i].state == PERMIT_DENIED)
      s->permits[i].state = PERMIT_UNKNOWN;
  s->next_recheck_ms
      = fs->now_ms + pause_after (RECHECK_MS, RECHECK_MAX_MS, ++s->n_rechecks);
  out_line (fs->out, "event=advice-recheck job=%s step=%d rechecks=%d",
            j->spec.id, step, s->n_rechecks);
}

enum advice_sending
advice_send_query (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];
  struct named_execs execs = { .n = 0 };
  int n_waiting = step_waiting (s);
  double duration_ms;
  int adviser;

  if (!adviser_is_free (fs, j))
    return ADVICE_BLOCKED;
  choice_execs (fs, j, step, n_waiting, &execs);
  /* Without room, the tickets of a further answer would expire unused. */
  if (execs.n == 0
      || ((s->n_queries > 0 || s->n_asking > 0) && !any_has_room (&execs)))
    {
      s->needs_more_names = false;
      recheck_denied (fs, j, step);
      return ADVICE_NOTHING_TO_ASK;
    }
  duration_ms = choice_duration_ms (j, (double)execs.n);
  adviser = adviser_pick (fs, duration_ms);
  if (adviser < 0)
    return ADVICE_BLOCKED;
  room_reserve_named (fs, j, step, &execs, n_waiting);
  send_query (fs, j, step, &execs, adviser, duration_ms);
  advice_find_free (fs);
  return ADVICE_SENT;
}

bool
advice_may_query (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  if (job_state_final (j->state) || j->set_aside || !s->query_due
      || step_waiting (s) <= 0)
    return false;
  return s->n_asking == 0
             ? fs->now_ms >= s->next_query_ms
             : asks_more (s)
                   && (s->n_lost == 0 || fs->now_ms >= s->next_query_ms);
}

void
advice_query (struct fsched *fs, struct job *j, int step)
{
  if (!advice_may_query (fs, j, step))
    return;
  /* While lanes are scarce, the shortest queries of all jobs go first. */
  if (lanes_are_limited (fs))
    {
      asking_add (fs, j, step);
      return;
    }
  if (fs->queries_left <= 0)
    return;
  switch (advice_send_query (fs, j, step))
    {
    case ADVICE_SENT:
      fs->queries_left--;
      break;
    case ADVICE_NOTHING_TO_ASK:
      break;
    case ADVICE_BLOCKED:
      fs->advice_blocked_ms = j->queue_stats->blocked_ms = fs->now_ms;
      break;
    }
}

void
advice_find_free (struct fsched *fs)
{
  double long_ms
      = lanes_are_limited (fs) ? ADVICE_QUEUED_MAX_MS : ADVICE_LONG_QUERY_MS;

  fs->short_adviser_free = adviser_pick (fs, 1) >= 0;
  fs->long_adviser_free = adviser_pick (fs, long_ms + 1) >= 0;
}

/* Returns by how much the answer to a query may have been delayed on its way
   from the instance that sent the query. */
static int64_t
answer_delay (const struct fsched *fs, const struct pending_order *pend,
              const struct order_result *res)
{
  int64_t delay_ms = fs->now_ms - pend->sent_ms - res->took_ms;

  return res->took_ms > 0 && delay_ms > 0 ? delay_ms : 0;
}

/* Stores the permits and tickets that an answer contains.
   @expiry_ms: time at which the tickets expire
   @lifetime_ms: permit::lifetime_ms */
static void
store_permits (struct fsched *fs, struct jstep *s,
               const struct order_result *res, int64_t expiry_ms,
               int64_t lifetime_ms)
{
  for (size_t i = 0; i < res->n_permitted; i++)
    {
      struct exec *e = exec_find (fs, res->permitted[i].exec);
      struct permit *p;
      if (!e)
        continue;
      p = permit_get (s, e);
      p->state = PERMIT_ALLOWED;
      p->boot_start_ms = p->asked_boot_start_ms;
      p->valid_until_ms = expiry_ms;
      p->lifetime_ms = lifetime_ms;
      if (p->valid_until_ms > s->tickets_until_ms)
        s->tickets_until_ms = p->valid_until_ms;
      free (p->ticket);
      p->ticket = res->permitted[i].ticket ? strdup (res->permitted[i].ticket)
                                           : NULL;
    }
}

/* Returns the pause before a step's next query, after @n_queries answers
   without a start. */
static int64_t
query_pause (int n_queries)
{
  return n_queries < 2
             ? 0
             : pause_after (QUERY_AGAIN_MS, QUERY_AGAIN_MAX_MS, n_queries - 1);
}

/* Lets further queries name the executors that a query has named.  Those that
   are still unknown may be asked about again. */
static void
end_asked (struct jstep *s, uint64_t query_id)
{
  for (int i = 0; i < s->n_permits; i++)
    {
      struct permit *p = &s->permits[i];
      if (p->query_id != query_id)
        continue;
      p->asked = false;
      if (p->state == PERMIT_QUERIED)
        p->state = PERMIT_UNKNOWN;
    }
}

/* Denies the executors that an answered query has named and whose permit is
   unknown.  A later query may have named them too: the decision on them is the
   same. */
static void
deny_named (struct jstep *s, const struct pending_order *pend)
{
  for (size_t i = 0; i < pend->n_execs; i++)
    {
      struct permit *p;
      if (pend->named[i] >= s->n_permits)
        continue;
      p = &s->permits[pend->named[i]];
      if (p->state == PERMIT_UNKNOWN || p->state == PERMIT_QUERIED)
        p->state = PERMIT_DENIED;
    }
}

/* Ends the wait of a step for the answer to a query that was overdue or has
   failed.  @pause_ms: shortest pause before the step's next query */
static void
step_retry_later (struct fsched *fs, struct jstep *s, int64_t pause_ms)
{
  s->n_lost++;
  s->next_query_ms
      = fs->now_ms + pause_after (pause_ms, QUERY_RETRY_MAX_MS, s->n_lost);
}

/* Updates the fraction of executors that are permitted to a queue's steps. */
static void
add_permitted_share (struct fsched_queue *q, const struct pending_order *pend,
                     const struct order_result *res)
{
  double share = (double)res->n_permitted / (double)pend->n_execs;

  q->permitted_share += 0.05 * (share - q->permitted_share);
  if (q->permitted_share < 0.1)
    q->permitted_share = 0.1;
}

/* Processes an answer from the service about a step. */
static void
process_answer (struct fsched *fs, struct job *j,
                const struct pending_order *pend,
                const struct order_result *res)
{
  struct jstep *s = &j->steps[pend->step];
  struct fsched_queue *q = pend->queue;
  int64_t valid_ms = res->valid_ms ? res->valid_ms : j->spec.advice.valid_ms;

  s->n_lost = 0;
  s->answer_new = true;
  s->next_query_ms = fs->now_ms + query_pause (++s->n_queries);
  store_permits (fs, s, res,
                 fs->now_ms + valid_ms - answer_delay (fs, pend, res)
                     - q->ticket_margin_ms,
                 valid_ms);
  deny_named (s, pend);
  end_asked (s, pend->id);
  if (pend->n_execs)
    add_permitted_share (q, pend, res);
}

static void
log_query (struct fsched *fs, const struct pending_order *pend,
           const char *outcome, const struct order_result *res)
{
  const struct advice_pace *pace = &pend->queue->advice_pace;

  out_line (fs->out,
            "event=advice job=%s step=%d by=%s outcome=%s asked=%zu "
            "good=%zu bad=%zu took_ms=%lld expected_ms=%lld deadline_ms=%lld "
            "overdue=%d pace=%.2f outstanding=%d",
            pend->job, pend->step, adviser_name (fs, pend->adviser), outcome,
            pend->n_execs, res ? res->n_permitted : 0,
            res ? res->n_bad_rows : 0, (long long)(fs->now_ms - pend->sent_ms),
            (long long)pend->duration_ms,
            (long long)(pend->deadline_ms - pend->sent_ms), pend->overdue,
            pace->factor, fs->n_queries_out);
}

void
advice_result (struct fsched *fs, struct pending_order *pend,
               const struct order_result *res)
{
  struct job *j = fsched_find_job (fs, pend->job);

  adviser_query_ended (fs, pend, res->outcome, res->took_ms);
  fs->pass_due = fs->asking_due = true;
  if (j)
    {
      struct jstep *s = &j->steps[pend->step];
      s->n_asking -= !pend->overdue;
      if (res->outcome == ORDER_DONE)
        process_answer (fs, j, pend, res);
      else if (!pend->overdue)
        {
          end_asked (s, pend->id);
          step_retry_later (fs, s, QUERY_RETRY_MS);
        }
    }
  log_query (fs, pend, order_outcome_names[res->outcome], res);
}

void
advice_overdue (struct fsched *fs, struct pending_order *pend)
{
  struct job *j = fsched_find_job (fs, pend->job);

  adviser_query_overdue (fs, pend);
  fs->pass_due = true;
  if (j)
    {
      struct jstep *s = &j->steps[pend->step];
      s->n_asking--;
      end_asked (s, pend->id);
      step_retry_later (fs, s,
                        QUERY_RETRY_MS
                            + (fs->now_ms - pend->sent_ms)
                                  / OVERDUE_PAUSE_FRACTION);
    }
  log_query (fs, pend, "overdue", NULL);
}

void
advice_ticket_refused (struct fsched *fs, const struct start *r)
{
  struct jstep *s = &r->job->steps[r->step];
  struct fsched_queue *q = r->job->queue_stats;
  int64_t max_ms = r->job->spec.advice.valid_ms / 2;

  permit_get (s, r->exec)->valid_until_ms = 0;
  if (fs->now_ms >= s->next_refusal_ms)
    {
      s->next_refusal_ms = fs->now_ms + TICKET_REFUSED_MS;
      if (++s->n_tickets_refused > 1)
        s->next_query_ms
            = fs->now_ms
              + pause_after (TICKET_REFUSED_MS, QUERY_RETRY_MAX_MS,
                             s->n_tickets_refused - 1);
    }
  if (fs->now_ms < q->next_margin_ms)
    return;
  q->next_margin_ms = fs->now_ms + TICKET_MARGIN_GAP_MS;
  q->ticket_margin_ms += FSCHED_TICKET_MARGIN_MS;
  if (q->ticket_margin_ms > max_ms)
    q->ticket_margin_ms = max_ms;
}

void
advice_ticket_accepted (const struct start *r)
{
  struct fsched_queue *q = r->job->queue_stats;

  r->job->steps[r->step].n_tickets_refused = 0;
  q->ticket_margin_ms -= q->ticket_margin_ms / TICKET_MARGIN_STARTS;
}
