/*
 * Calls to the platform's table service through a peer while this instance
 * cannot reach it.  Callers need not know, the leader's journal included:
 * transactions are conditional, and their outcome may be unknown also without
 * a peer.
 *
 * The configuration's feed is always called directly: it shows when the table
 * service is reachable again.
 *
 * This is for a table service that refuses some instances, the leader first,
 * or for a network partition between them and it.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Without an answer for this long, the table service is unreachable, not
     slow: a feed is answered within it even when that takes 50 times the usual
     time. */
  TABLE_UNREACHABLE_MS = 900,
  /* Failed calls in a row after which the table service is unreachable: more
     than one or two lost answers. */
  FAILURES_MAX = 3,
  /* The same time on the leader, which calls more often. */
  LEADER_TABLE_UNREACHABLE_MS = 500,
  /* A peer's time for a call, beside the wait that the call asks for. */
  ANSWER_MS = 1000,
  /* Most calls in progress for peers; more are refused. */
  SERVING_MAX = 2000,
};

/** struct proxy_call - a call that a peer makes, or that is made for a peer */
struct proxy_call
{
  TAILQ_ENTRY (proxy_call) link;
  uint64_t token; /* of the call on this instance */
  /* Of a call that a peer makes. */
  int64_t deadline_ms; /* without an answer by then, its outcome is unknown */
  /* Of a call made for a peer. */
  int64_t peer_token;      /* the peer's token */
  char addr[CLB_ADDR_MAX]; /* the peer */
};

void
proxy_init (struct fleet *f)
{
  TAILQ_INIT (&f->proxy_sent);
  TAILQ_INIT (&f->proxy_serving);
}

static void
drop_all (struct proxy_callq *q)
{
  struct proxy_call *c;

  while ((c = TAILQ_FIRST (q)))
    {
      TAILQ_REMOVE (q, c, link);
      free (c);
    }
}

void
proxy_fini (struct fleet *f)
{
  drop_all (&f->proxy_sent);
  drop_all (&f->proxy_serving);
}

bool
proxy_table_unreachable (const struct fleet *f)
{
  int64_t limit_ms = f->leader.state == LEADER_LEADING
                         ? LEADER_TABLE_UNREACHABLE_MS
                         : TABLE_UNREACHABLE_MS;

  return f->conf_feed_failed || f->store_failures >= FAILURES_MAX
         || f->now_ms - f->store_last_contact_ms > limit_ms;
}

const char *
proxy_peer (const struct fleet *f)
{
  const struct adviser *a
      = f->fsched ? fsched_adviser_freshest (f->fsched) : NULL;

  if (fleet_leader_addr (f))
    return *f->table_peer
                   && f->now_ms - f->table_peer_fresh_ms < FLEET_PEER_FRESH_MS
               ? f->table_peer
               : NULL;
  return a && f->now_ms - a->table_contact_ms < FLEET_PEER_FRESH_MS ? a->addr
                                                                    : NULL;
}

static struct proxy_call *
call_new (struct proxy_callq *q, uint64_t token)
{
  struct proxy_call *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->token = token;
  TAILQ_INSERT_TAIL (q, c, link);
  return c;
}

/* The call @token of @q, or NULL. */
static struct proxy_call *
call_find (const struct proxy_callq *q, uint64_t token)
{
  struct proxy_call *c;

  TAILQ_FOREACH (c, q, link)
    if (c->token == token)
      break;
  return c;
}

static void
call_free (struct proxy_callq *q, struct proxy_call *c)
{
  TAILQ_REMOVE (q, c, link);
  free (c);
}

bool
proxy_route (struct fleet *f, struct out *o)
{
  uint64_t token = o->u.store.token;
  struct proxy_call *c;
  struct mesh_msg *m;
  const char *peer;

  if (!proxy_table_unreachable (f) || follow_owns (&f->conf_feed, token)
      || call_find (&f->proxy_serving, token) || !(peer = proxy_peer (f)))
    return false;
  c = call_new (&f->proxy_sent, token);
  c->deadline_ms = f->now_ms + ANSWER_MS + o->u.store.op.wait_ms;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_STORE_REQUEST;
  m->seq = (int64_t)token;
  m->op = o->u.store.op;
  memset (&o->u.store.op, 0, sizeof o->u.store.op);
  f->stats.proxied++;
  fleet_send (f, peer, m);
  return true;
}

/* Sends the answer to call @peer_token of the peer at @addr; takes over the
   rows of
   @rep. */
static void
send_reply (struct fleet *f, const char *addr, int64_t peer_token,
            struct store_rep *rep)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_STORE_REPLY;
  m->seq = peer_token;
  m->rep = *rep;
  memset (rep, 0, sizeof *rep);
  fleet_send (f, addr, m);
}

void
proxy_serve (struct fleet *f, struct mesh_msg *m)
{
  struct store_rep refused = { .err = CLB_EUNAVAIL };
  struct proxy_call *c;
  struct out *o;

  if (proxy_table_unreachable (f) || f->n_proxy_serving >= SERVING_MAX)
    {
      send_reply (f, m->addr, m->seq, &refused);
      return;
    }
  o = out_new (&f->out, OUT_STORE);
  o->u.store.token = ++f->last_token;
  o->u.store.op = m->op;
  memset (&m->op, 0, sizeof m->op);
  c = call_new (&f->proxy_serving, o->u.store.token);
  f->n_proxy_serving++;
  c->peer_token = m->seq;
  clb_copy (c->addr, m->addr, sizeof c->addr);
}

/* Copies @rep to @to, which owns its rows; @rep stays unchanged. */
static void
copy_rep (struct store_rep *to, const struct store_rep *rep)
{
  *to = *rep;
  to->rows = calloc (rep->n_rows ? rep->n_rows : 1, sizeof *to->rows);
  if (!to->rows)
    abort ();
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      to->rows[i] = rep->rows[i];
      to->rows[i].key = strdup (rep->rows[i].key);
      if (rep->rows[i].value)
        to->rows[i].value = strdup (rep->rows[i].value);
    }
}

bool
proxy_store_reply (struct fleet *f, uint64_t token,
                   const struct store_rep *rep)
{
  struct proxy_call *c = call_find (&f->proxy_serving, token);
  struct store_rep copy;

  if (!c)
    return false;
  copy_rep (&copy, rep);
  send_reply (f, c->addr, c->peer_token, &copy);
  call_free (&f->proxy_serving, c);
  f->n_proxy_serving--;
  return true;
}

void
proxy_peer_reply (struct fleet *f, const struct mesh_msg *m)
{
  uint64_t token = (uint64_t)m->seq;
  struct proxy_call *c = call_find (&f->proxy_sent, token);

  if (!c)
    return;
  call_free (&f->proxy_sent, c);
  fleet_dispatch_reply (f, token, &m->rep);
}

void
proxy_tick (struct fleet *f)
{
  struct store_rep unknown = { .err = CLB_EUNKNOWN };
  struct proxy_call *c, *next;

  TAILQ_FOREACH_SAFE (c, &f->proxy_sent, link, next)
    if (f->now_ms >= c->deadline_ms)
      {
        uint64_t token = c->token;
        call_free (&f->proxy_sent, c);
        fleet_dispatch_reply (f, token, &unknown);
      }
}
