/* Handling of service requests.  For each request a slot is acquired from a
   domain's lease holder, the request is forwarded to the slot's executor, and
   the slot is released. */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time for the reply to a CALL_ACQUIRE to arrive, in addition to its
     call::wait_ms. */
  REPLY_SLACK_MS = 2000,
  /* Largest number of times that one idempotent request is forwarded. */
  FORWARD_TRIES = 3,
};

/* Calls the lease holder of @domain for a slot, with a new id for the service
   request. */
static void
acquire_slot (struct node *n, struct pending *p, const char *domain)
{
  clb_copy (p->domain, domain, sizeof p->domain);
  snprintf (p->call.id, sizeof p->call.id, "%.30s.%.30s-%llx-%lld", domain,
            n->settings.id, (unsigned long long)n->settings.boot,
            (long long)p->call.seq);
  p->step = STEP_AWAIT_REPLY;
  p->holder[0] = '\0';
  entry_pending_send (n, p);
}

/* Returns the field that caused error @err of a service request, or NULL. */
static const char *
wrong_field (int err)
{
  if (err == CLB_EREF)
    return "queue";
  return err == CLB_EFIELD || err == CLB_ERANGE ? "X-Request-Id" : NULL;
}

void
service_request (struct node *n, const struct request *rq, const char *rest)
{
  char name[CLB_NAME_MAX] = "";
  const struct conf_queue *q;
  char team[CLB_NAME_MAX];
  const char *domain;
  struct pending *p;
  struct spec spec = { .members = 1, .need = { .slots = 1 } };
  int err = 0;

  n->stats.service_requests++;
  size_t len = strcspn (rest, "?");
  if (len < sizeof name)
    memcpy (name, rest, len);
  q = conf_queue (n->conf, name);
  if (!q || q->lane != LANE_SERVICE)
    err = n->head.version ? CLB_EREF : CLB_ESTALE;
  else
    err = entry_team_for (n, rq, q, team);
  if (!err && !q->idempotent && (!rq->request_id || !*rq->request_id))
    err = CLB_EFIELD;
  if (!err && rq->request_id && !entry_id_ok (rq->request_id))
    err = CLB_ERANGE;
  domain = err ? NULL : entry_pick_domain (n, &spec);
  if (!err && !domain)
    err = CLB_ENOHOLDER;
  if (err)
    {
      entry_refuse (n, rq->http_call, err, wrong_field (err));
      return;
    }
  spec.duration_ms = q->max_run_ms;
  clb_copy (spec.queue, q->name, sizeof spec.queue);
  p = entry_pending_new (n, rq->http_call, CALL_ACQUIRE);
  if (rq->request_id)
    clb_copy (spec.request_id, rq->request_id, sizeof spec.request_id);
  p->call.spec = spec;
  p->call.class = q->class;
  p->call.lane = LANE_SERVICE;
  p->call.idempotent = q->idempotent;
  p->call.max_waiting = q->max_waiting;
  p->call.wait_ms = q->max_wait_ms;
  p->max_run_ms = q->max_run_ms;
  clb_copy (p->call.team, team, sizeof p->call.team);
  p->deadline_ms = n->now_ms + q->max_wait_ms + REPLY_SLACK_MS;
  acquire_slot (n, p, domain);
}

void
service_forward (struct node *n, struct pending *p, const struct reply *r)
{
  struct out *o;

  clb_copy (p->executor, r->executor, sizeof p->executor);
  /* By now the lease holder may have granted the slot to another request. */
  if (n->now_ms - r->call_sent_ms > FORWARD_DEADLINE_MS)
    {
      n->stats.stale_slots++;
      entry_answer_err (n, p->http_call, CLB_ELEASE, NULL, NULL,
                        RETRY_HINT_MS);
      entry_pending_release (n, p, TASK_CANCELLED, false);
      return;
    }
  p->step = STEP_FORWARDED;
  p->sent_ms = r->call_sent_ms;
  p->deadline_ms = n->now_ms + p->max_run_ms;
  o = out_new (&n->out, OUT_FORWARD);
  o->u.forward.call = p->http_call;
  clb_copy (o->u.forward.executor, r->executor, CLB_ID_MAX);
  clb_copy (o->u.forward.addr, r->addr, CLB_ADDR_MAX);
  clb_copy (o->u.forward.id, p->call.id, CLB_ID_MAX);
  o->u.forward.max_run_ms = p->max_run_ms;
}

bool
node_may_forward (const struct node *n, int64_t now_ms, uint64_t http_call)
{
  struct pending *p = entry_pending_by_http_call ((struct node *)n, http_call);

  return p && p->step == STEP_FORWARDED
         && now_ms - p->sent_ms <= FORWARD_DEADLINE_MS;
}

/* Forwards a request once more, if it is idempotent and its executor gave no
   answer.  Creates a new pending request, which acquires a new slot, and moves
   the caller from @p to it.  Returns true if this is done; false if no caller
   waits, the request is not idempotent, no try or time is left, or no domain
   has a lease holder. */
static bool
forward_again (struct node *n, struct pending *p)
{
  struct pending *retry; /* the new pending request */
  const char *domain;
  int64_t remaining_ms = p->arrival_ms + p->call.wait_ms - n->now_ms;

  if (!p->http_call || !p->call.idempotent || ++p->tries >= FORWARD_TRIES
      || remaining_ms <= 0)
    return false;
  domain = entry_pick_domain (n, &p->call.spec);
  if (!domain)
    return false;
  uint64_t http_call = p->http_call;
  entry_pending_detach (n, p);
  retry = entry_pending_new (n, http_call, CALL_ACQUIRE);
  int64_t seq = retry->call.seq;
  retry->call = p->call;
  retry->call.seq = seq;
  retry->tries = p->tries;
  retry->arrival_ms = p->arrival_ms;
  retry->max_run_ms = p->max_run_ms;
  retry->deadline_ms = n->now_ms + remaining_ms + REPLY_SLACK_MS;
  acquire_slot (n, retry, domain);
  return true;
}

void
node_forward_done (struct node *n, int64_t now_ms, uint64_t http_call, int end)
{
  struct pending *p = entry_pending_by_http_call (n, http_call);

  n->now_ms = now_ms;
  n->stats.forward_ends[end]++;
  if (!p || p->step != STEP_FORWARDED)
    return;
  switch (end)
    {
    case FORWARD_OK:
      entry_pending_release (n, p, TASK_DONE, false);
      break;
    case FORWARD_SERVER_ERROR:
      entry_pending_release (n, p, TASK_FAILED, true);
      break;
    case FORWARD_UNREACHED:
      if (!forward_again (n, p))
        entry_answer_err (n, p->http_call, CLB_EREACH, NULL, NULL,
                          RETRY_HINT_MS);
      entry_pending_release (n, p, TASK_CANCELLED, true);
      break;
    case FORWARD_FAILED:
      if (!forward_again (n, p))
        entry_answer_err (n, p->http_call, CLB_EOUTCOME, NULL, p->call.id, 0);
      entry_pending_release (n, p, TASK_UNKNOWN, true);
      break;
    case FORWARD_ABORTED:
      entry_answer_err (n, p->http_call, CLB_EOUTCOME, NULL, p->call.id, 0);
      entry_pending_release (n, p, TASK_UNKNOWN, false);
      break;
    }
}

void
entry_held_slots (struct node *n, struct held_list *out)
{
  struct pending *p;
  size_t cap = (size_t)n->n_pending;

  out->n_items = 0;
  out->items = calloc (cap ? cap : 1, sizeof *out->items);
  if (!out->items)
    abort ();
  RB_FOREACH (p, pending_tree, &n->pending)
    {
      if (p->step != STEP_FORWARDED)
        continue;
      struct held_slot *h = &out->items[out->n_items++];
      clb_copy (h->id, p->call.id, sizeof h->id);
      clb_copy (h->executor, p->executor, sizeof h->executor);
      clb_copy (h->team, p->call.team, sizeof h->team);
      h->run_ms = p->deadline_ms > n->now_ms ? p->deadline_ms - n->now_ms : 0;
    }
}
