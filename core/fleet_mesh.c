/*
 * Messages between the instances on the fleet: hellos, and queries for advice
 * that the leader sends through other instances.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Largest age in a message; a larger age is sent as AGE_MAX_MS. */
  AGE_MAX_MS = 86400000,
};

/* Returns the time since @since_ms for use in a message: at most
   AGE_MAX_MS. */
static int64_t
message_age_ms (const struct fleet *f, int64_t since_ms)
{
  int64_t ms = f->now_ms - since_ms;

  return ms < AGE_MAX_MS ? ms : AGE_MAX_MS;
}

void
fleet_send_hello (struct fleet *f)
{
  struct mesh_msg *m;

  if (f->now_ms < f->next_hello_ms || f->leader.state == LEADER_LEADING
      || !*f->leader.holder_addr
      || strcmp (f->leader.holder, f->settings.id) == 0)
    return;
  f->next_hello_ms = f->now_ms + FLEET_HELLO_MS;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_HELLO;
  m->seq = f->now_ms;
  /* A stopping instance does not claim, however strong it is. */
  m->millicores = f->stopping ? 0 : f->settings.millicores;
  m->table_age_ms = message_age_ms (f, f->store_last_contact_ms);
  m->conf_version = f->conf ? f->conf->version : 0;
  fleet_send (f, f->leader.holder_addr, m);
}

void
fleet_send_advice_reply (struct fleet *f, const struct order *o,
                         const struct order_result *res)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_ADVICE_REPLY;
  m->seq = (int64_t)o->id;
  m->outcome = res->outcome;
  m->valid_ms = res->valid_ms;
  m->took_ms = f->now_ms - o->received_ms;
  m->execs
      = calloc (res->n_permitted ? res->n_permitted : 1, sizeof *m->execs);
  if (!m->execs)
    abort ();
  m->n_execs = res->n_permitted;
  for (size_t i = 0; i < res->n_permitted; i++)
    {
      clb_copy (m->execs[i].exec, res->permitted[i].exec, CLB_ID_MAX);
      if (res->permitted[i].ticket)
        m->execs[i].ticket = strdup (res->permitted[i].ticket);
    }
  fleet_send (f, o->reply_to, m);
}

/* Sets the address of an instance that reaches the table service in the reply
   @r, if this instance, the leader, does not reach the service and knows an
   instance that does. */
static void
set_proxy_peer (const struct fleet *f, struct mesh_msg *r)
{
  const struct adviser *a
      = f->fsched ? fsched_adviser_freshest (f->fsched) : NULL;

  if (!proxy_table_unreachable (f) || !a)
    return;
  clb_copy (r->proxy_peer_addr, a->addr, sizeof r->proxy_peer_addr);
  r->table_age_ms = f->now_ms - a->table_contact_ms;
}

/* Adds the overloaded queues to the reply @r. */
static void
set_overloads (const struct fleet *f, struct mesh_msg *r)
{
  const struct fsched_queue *q;
  size_t n = 0;

  if (!f->fsched)
    return;
  TAILQ_FOREACH (q, &f->fsched->queues, link)
    n += q->overloaded;
  if (n == 0)
    return;
  r->overloads = calloc (n, sizeof *r->overloads);
  if (!r->overloads)
    abort ();
  TAILQ_FOREACH (q, &f->fsched->queues, link)
    if (q->overloaded && r->n_overloads < MESH_OVERLOADS_MAX)
      {
        struct mesh_overload *o = &r->overloads[r->n_overloads++];
        clb_copy (o->queue, q->name, sizeof o->queue);
        o->for_ms = fsched_overload_ms (f->fsched, q->name);
      }
}

/* Returns whether the follower that sent hello @m can lead the fleet so much
   better than this instance that a change of the leader is worth the time. */
static bool
should_yield (const struct fleet *f, const struct mesh_msg *m)
{
  return f->settings.millicores > 0
         && m->millicores >= LEADER_YIELD_FACTOR * f->settings.millicores
         && m->table_age_ms < FLEET_PEER_FRESH_MS && !f->leader.stopping
         && !f->leader.yielding;
}

/* Gives up leadership in favour of the follower that sent hello @m. */
static void
yield_lead (struct fleet *f, const struct mesh_msg *m)
{
  out_line (&f->out, "event=lead-yielded epoch=%lld to=%s millicores=%lld",
            (long long)f->leader.epoch, m->from, (long long)m->millicores);
  fleet_drop_scheduler (f);
  leader_yield (&f->leader, f->now_ms);
}

/* Marks the configuration as superseded if the sender of @m has a newer
   one. */
static void
check_conf_version (struct fleet *f, const struct mesh_msg *m)
{
  if (f->conf && m->conf_version > f->conf->version)
    fleet_set_conf_superseded (f);
}

/* Handles a follower's hello.  Only the leader replies to it. */
static void
handle_hello (struct fleet *f, const struct mesh_msg *m)
{
  struct mesh_msg *r;
  int rank = -1;

  check_conf_version (f, m);
  if (f->leader.state != LEADER_LEADING)
    return;
  if (should_yield (f, m))
    {
      yield_lead (f, m);
      return;
    }
  if (f->fsched)
    {
      fsched_adviser_seen (f->fsched, m->from, m->addr, m->millicores,
                           f->now_ms - m->table_age_ms);
      /* No rank is reported until all followers have sent a hello. */
      if (f->now_ms - f->fsched->claimed_ms >= FLEET_RANK_AFTER_MS)
        rank = fsched_adviser_rank (f->fsched, m->from);
    }
  r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->kind = MESH_HELLO_REPLY;
  r->seq = m->seq;
  r->conf_version = f->conf ? f->conf->version : 0;
  r->conf_age_ms = message_age_ms (f, f->conf_current_ms);
  r->table_age_ms = message_age_ms (f, f->store_last_contact_ms);
  set_proxy_peer (f, r);
  set_overloads (f, r);
  r->advice_lanes = f->fsched ? fsched_lanes_known (f->fsched) : 0;
  r->n_instances = f->fsched ? f->fsched->n_advisers : 0;
  r->rank = rank + 1;
  fleet_send (f, m->addr, r);
}

/* Forwards the leader's query for advice in @m to the advice service. */
static void
forward_advice_query (struct fleet *f, const struct mesh_msg *m)
{
  struct order *o;

  /* The messages of an earlier leader may have waited in a link. */
  if (m->epoch < f->leader.epoch || !job_id_ok (m->id))
    return;
  o = calloc (1, sizeof *o);
  if (!o)
    abort ();
  o->kind = ORDER_ADVISE;
  o->id = (uint64_t)m->seq;
  o->timeout_ms = m->valid_ms;
  o->received_ms = f->now_ms;
  clb_copy (o->reply_to, m->addr, sizeof o->reply_to);
  clb_copy (o->task.job, m->id, sizeof o->task.job);
  o->task.occurrence = m->occurrence;
  o->task.step = m->step;
  o->execs = calloc (m->n_execs ? m->n_execs : 1, sizeof *o->execs);
  if (!o->execs)
    abort ();
  for (size_t i = 0; i < m->n_execs; i++)
    clb_copy (o->execs[i], m->execs[i].exec, CLB_ID_MAX);
  o->n_execs = m->n_execs;
  out_new (&f->out, OUT_ORDER)->u.order = o;
}

/* Passes to the scheduler the advice that another instance has obtained. */
static void
handle_advice_reply (struct fleet *f, const struct mesh_msg *m)
{
  struct order_result res = { .outcome = (int)m->outcome };

  /* A reply with another order's number must not decide that order. */
  if (!f->fsched || !fsched_is_query (f->fsched, (uint64_t)m->seq))
    return;
  res.valid_ms = m->valid_ms;
  res.took_ms = m->took_ms;
  res.permitted = calloc (m->n_execs ? m->n_execs : 1, sizeof *res.permitted);
  if (!res.permitted)
    abort ();
  res.n_permitted = m->n_execs;
  for (size_t i = 0; i < m->n_execs; i++)
    {
      clb_copy (res.permitted[i].exec, m->execs[i].exec, CLB_ID_MAX);
      res.permitted[i].ticket = m->execs[i].ticket;
    }
  fsched_order_result (f->fsched, f->now_ms, (uint64_t)m->seq, &res);
  order_result_clear (&res);
}

/* Handles the leader's reply to a hello.  What the reply states was true after
   the hello was sent, so that the ages in the reply are counted from the time
   of the hello. */
static void
handle_hello_reply (struct fleet *f, struct mesh_msg *m)
{
  leader_handle_contact (&f->leader, f->now_ms, m->epoch, m->rank - 1);
  if (strcmp (m->from, f->leader.holder) != 0)
    return;
  f->leader_last_contact_ms = f->now_ms;
  free (f->overloads);
  f->overloads = m->overloads;
  f->n_overloads = m->n_overloads;
  m->overloads = NULL;
  m->n_overloads = 0;
  if (m->advice_lanes)
    f->advice_lanes = (int)m->advice_lanes;
  if (m->n_instances)
    f->n_instances = m->n_instances;
  f->proxy_peer_fresh_ms = m->seq - m->table_age_ms;
  clb_copy (f->proxy_peer_addr,
            *m->proxy_peer_addr ? m->proxy_peer_addr : m->addr,
            sizeof f->proxy_peer_addr);
  if (f->conf && m->conf_version == f->conf->version)
    fleet_set_conf_current (f, m->seq - m->conf_age_ms);
  check_conf_version (f, m);
}

void
fleet_handle_mesh_msg (struct fleet *f, struct mesh_msg *m)
{
  switch (m->kind)
    {
    case MESH_HELLO:
      handle_hello (f, m);
      break;
    case MESH_HELLO_REPLY:
      handle_hello_reply (f, m);
      break;
    case MESH_ADVICE_QUERY:
      forward_advice_query (f, m);
      break;
    case MESH_ADVICE_REPLY:
      handle_advice_reply (f, m);
      break;
    case MESH_STORE_REQUEST:
      proxy_serve (f, m);
      break;
    case MESH_STORE_REPLY:
      proxy_peer_reply (f, m);
      break;
    case MESH_JOB_NOTICE:
      fleet_apply_job_notice (f, m->id, m->record);
      break;
    default:
      api_mesh_msg (f, m);
      break;
    }
}
