/*
 * The simulated advice service.
 *
 * The service handles one query at a time for each calling machine, in the
 * order of arrival.  A query that its caller has given up keeps its turn.  A
 * query fails at once while FSIM_ADVICE_WAITING_MAX others wait.  The decision
 * on a step and an executor never changes.  A ticket is valid from the
 * decision for fsim::ticket_ms, for one step on one boot of one executor;
 * executors refuse starts without a valid ticket.
 */
#include "fsim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* struct advice_call - a query that the service has received */
struct advice_call
{
  TAILQ_ENTRY (advice_call) link;
  struct advice_lane *lane;
  /* Query and result; NULL: the caller has been answered, or has given up. */
  struct order_delivery *delivery;
  struct order order; /* copy of the query; owns its execs */
  bool timer_pending; /* the event of the caller's timeout is to come */
  bool done;          /* the service has handled the query */
};

static void begin_next (struct fsim *s, struct advice_lane *lane);

static uint64_t
hash_text (uint64_t h, const char *text)
{
  for (const char *p = text; *p; p++)
    h = (h ^ (unsigned char)*p) * 1099511628211ULL;
  return h;
}

static uint64_t
finish_hash (uint64_t h)
{
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  return h ^ h >> 33;
}

bool
fadvice_permits (struct fsim *s, const struct task_ref *step, const char *exec)
{
  const struct fjob *j = fsim_find_job (s, step->job);
  double share
      = j && j->permitted_share > 0 ? j->permitted_share : s->permitted_share;
  uint64_t h = 1469598103934665603ULL + (uint64_t)step->step;

  h = finish_hash (hash_text (hash_text (h, step->job), exec));
  return (double)(h >> 40 & 0xffff) / 65536 < share;
}

/* Returns what identifies a ticket: the step, the boot of the executor, and
   the end of the ticket's validity. */
static uint64_t
ticket_hash (const struct task_ref *step, const struct fexec *e,
             int64_t until_ms)
{
  char text[2 * CLB_ID_MAX];

  snprintf (text, sizeof text, "%s.%lld %lld %lld", e->id,
            (long long)step->step, (long long)e->boot_start_ms,
            (long long)until_ms);
  return finish_hash (hash_text (hash_text (17, step->job), text));
}

void
fadvice_ticket (const struct fsim *s, const struct task_ref *step,
                const struct fexec *e, char out[FSIM_TICKET_SIZE])
{
  int64_t until_ms = s->now_ms + s->ticket_ms;
  int n = snprintf (out, FSIM_TICKET_SIZE, "%lld-%016llx", (long long)until_ms,
                    (unsigned long long)ticket_hash (step, e, until_ms));

  for (; n < s->ticket_bytes && n < FSIM_TICKET_SIZE - 1; n++)
    out[n] = '.';
  out[n] = '\0';
}

bool
fadvice_ticket_valid (const struct fsim *s, const struct order *o,
                      const struct fexec *e)
{
  long long until_ms;
  unsigned long long hash;

  return o->ticket && sscanf (o->ticket, "%lld-%llx", &until_ms, &hash) == 2
         && strlen (o->ticket) >= (size_t)s->ticket_bytes
         && s->now_ms < until_ms
         && hash == ticket_hash (&o->task, e, until_ms);
}

/* Return: the executor with this id, or NULL. */
static struct fexec *
find_exec (struct fsim *s, const char *id)
{
  for (int i = 0; i < s->n_exec; i++)
    if (strcmp (s->exec[i]->id, id) == 0)
      return s->exec[i];
  return NULL;
}

void
fadvice_answer (struct fsim *s, const struct order *o,
                struct order_result *res)
{
  res->outcome = ORDER_DONE;
  res->permitted = calloc (o->n_execs + 1, sizeof *res->permitted);
  res->strings = json_array ();
  for (size_t k = 0; k < o->n_execs; k++)
    {
      struct fexec *e = find_exec (s, o->execs[k]);
      struct permitted_exec *to = &res->permitted[res->n_permitted];
      char ticket[FSIM_TICKET_SIZE];
      if (!e || s->advice.answers_empty
          || !fadvice_permits (s, &o->task, o->execs[k]))
        continue;
      clb_copy (to->exec, o->execs[k], sizeof to->exec);
      fadvice_ticket (s, &o->task, e, ticket);
      json_array_append_new (res->strings, json_string (ticket));
      to->ticket = json_string_value (
          json_array_get (res->strings, res->n_permitted));
      res->n_permitted++;
    }
}

double
fadvice_cost_ms (struct fsim *s, const struct order *o)
{
  const struct fjob *j = fsim_find_job (s, o->task.job);
  double ms = j ? j->spec.advice.base_ms
                      + j->spec.advice.per_exec_ms * (double)o->n_execs
                : 1;

  return (int64_t)ceil (ms * s->advice.slow_factor
                        * (1 + s->advice.jitter * (2 * fsim_random (s) - 1)));
}

static void
free_call (struct advice_call *c)
{
  if (c->timer_pending || !c->done)
    return;
  free (c->order.execs);
  free (c);
}

/* Delivers the result of a query to its caller, which then no longer waits. */
static void
answer_call (struct fsim *s, struct advice_call *c, int outcome)
{
  struct order_delivery *d = c->delivery;

  c->delivery = NULL;
  if (outcome == ORDER_DONE)
    fadvice_answer (s, &c->order, &d->res);
  else
    d->res.outcome = outcome;
  fsim_schedule (s, FSIM_LINK_MS, fexec_deliver_result, d);
}

/* Ends the query of a lane that has been handled, or begins it anew if the
   service stalls. */
static void
end_call (struct fsim *s, void *arg)
{
  struct advice_lane *lane = arg;
  struct advice_call *c = lane->current;

  if (s->shutting_down || s->now_ms >= s->advice.stalled_until_ms)
    {
      lane->current = NULL;
      c->done = true;
      if (c->delivery)
        answer_call (s, c, ORDER_DONE);
      free_call (c);
      begin_next (s, lane);
      return;
    }
  fsim_schedule (s,
                 s->advice.stalled_until_ms - s->now_ms
                     + (int64_t)ceil (fadvice_cost_ms (s, &c->order)),
                 end_call, lane);
}

/* Returns how long a lane takes for a query, in whole ms.  What a query took
   too long is taken from the next one, if that follows at once. */
static int64_t
lane_ms (struct advice_lane *lane, double cost_ms)
{
  int64_t ms = (int64_t)ceil (cost_ms - lane->ahead_ms);

  lane->ahead_ms += (double)ms - cost_ms;
  return ms;
}

/* Begins the next query of a lane, unless one is being handled. */
static void
begin_next (struct fsim *s, struct advice_lane *lane)
{
  struct advice_call *c = TAILQ_FIRST (&lane->waiting);
  double cost_ms;

  if (lane->current)
    return;
  if (!c)
    {
      lane->ahead_ms = 0;
      return;
    }
  TAILQ_REMOVE (&lane->waiting, c, link);
  s->advice.n_waiting--;
  lane->current = c;
  cost_ms = fadvice_cost_ms (s, &c->order);
  s->advice.work_ms += cost_ms;
  fsim_schedule (s, lane_ms (lane, cost_ms), end_call, lane);
}

/* Gives up a query whose timeout has passed at the caller.  The service does
   not learn of it. */
static void
give_up_call (struct fsim *s, void *arg)
{
  struct advice_call *c = arg;

  c->timer_pending = false;
  if (c->delivery)
    answer_call (s, c, ORDER_LOST);
  free_call (c);
}

/* Return: the lane of the calls of instance @i. */
static struct advice_lane *
lane_of (struct fsim *s, int i)
{
  int n = s->advice.n_machines;
  struct advice_lane *lane
      = n ? &s->advice.shared_lanes[i % n] : &s->inst[i]->lane;

  if (!lane->waiting.tqh_last)
    TAILQ_INIT (&lane->waiting);
  return lane;
}

/* Receives the query of a delivery, or refuses it. */
static void
receive_query (struct fsim *s, void *arg)
{
  struct order_delivery *d = arg;
  struct fsim_instance *in = s->inst[d->inst];
  struct advice_lane *lane = lane_of (s, d->inst);
  struct advice_call *c;

  if (s->shutting_down || in->advice_lost_until_ms > s->now_ms)
    {
      d->res.outcome = ORDER_LOST;
      fsim_schedule (s, d->order.timeout_ms, fexec_deliver_result, d);
      return;
    }
  s->n_advice_queries++;
  if (s->advice.refuses || s->advice.n_waiting >= FSIM_ADVICE_WAITING_MAX)
    {
      s->advice.n_refused++;
      d->res.outcome = ORDER_BUSY;
      fsim_schedule (s, FSIM_LINK_MS, fexec_deliver_result, d);
      return;
    }
  c = calloc (1, sizeof *c);
  c->lane = lane;
  c->delivery = d;
  c->order = d->order;
  c->order.payload = NULL;
  c->order.checkpoint = NULL;
  c->order.ticket = NULL;
  d->order.execs = NULL;
  c->timer_pending = true;
  fsim_schedule (s, d->order.timeout_ms, give_up_call, c);
  TAILQ_INSERT_TAIL (&lane->waiting, c, link);
  s->advice.n_waiting++;
  begin_next (s, lane);
}

void
fadvice_send_query (struct fsim *s, int i, const struct order *o)
{
  struct order_delivery *d = fexec_delivery_new (s, i, o);

  d->order.execs = calloc (o->n_execs + 1, sizeof *o->execs);
  memcpy (d->order.execs, o->execs, o->n_execs * sizeof *o->execs);
  fsim_schedule (s, fsim_busy_ms (s, i) + FSIM_LINK_MS, receive_query, d);
}
