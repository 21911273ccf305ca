/*
 * Calls to the platform's table through another instance, while this one's own
 * way to it is lost.  The table's transactions are conditional and their
 * outcome may be unknown at any time, so nothing changes for whoever calls,
 * the leader's journal included.
 *
 * The configuration's feed always goes the direct way: it finds out when that
 * is there again.
 *
 * Load answered: the table turns some instances away, the leader first, or a
 * cut parts them from it.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MUTE_MS = 900, /* the way is lost, not slow: within this a feed is answered,
                    also 50 times as slowly */
  FAILURES = 3,  /* in a row: more than a lost answer or two */
  LEADER_MUTE_MS = 500, /* the same of the leader, which calls more often */
  ANSWER_MS = 1000,     /* for the other instance's call, beside its wait */
  IN_HAND_MAX = 2000,   /* calls for others; more are refused */
};

/** struct proxy_call - a call that another instance makes, or made for one */
struct proxy_call
{
  TAILQ_ENTRY (proxy_call) link;
  uint64_t token;          /* here */
  int64_t until_ms;        /* then its outcome is unknown */
  int64_t no;              /* the asker's token */
  char addr[CLB_ADDR_MAX]; /* the asker */
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
  int64_t mute = f->leader.state == LEADER_LEADING ? LEADER_MUTE_MS : MUTE_MS;

  return f->conf_feed_failed || f->store_failures >= FAILURES
         || f->now_ms - f->store_last_contact_ms > mute;
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
  c->until_ms = f->now_ms + ANSWER_MS + o->u.store.op.wait_ms;
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

static void
reply (struct fleet *f, const char *addr, int64_t no, struct store_rep *rep)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_STORE_REPLY;
  m->seq = no;
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

  if (proxy_table_unreachable (f) || f->n_proxy_serving >= IN_HAND_MAX)
    {
      reply (f, m->addr, m->seq, &refused);
      return;
    }
  o = out_new (&f->out, OUT_STORE);
  o->u.store.token = ++f->tokens;
  o->u.store.op = m->op;
  memset (&m->op, 0, sizeof m->op);
  c = call_new (&f->proxy_serving, o->u.store.token);
  f->n_proxy_serving++;
  c->no = m->seq;
  clb_copy (c->addr, m->addr, sizeof c->addr);
}

/* Rows of an answer that its owner keeps. */
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
  reply (f, c->addr, c->no, &copy);
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
  struct store_rep lost = { .err = CLB_EOUTCOME };
  struct proxy_call *c, *next;

  TAILQ_FOREACH_SAFE (c, &f->proxy_sent, link, next)
    if (f->now_ms >= c->until_ms)
      {
        uint64_t token = c->token;
        call_free (&f->proxy_sent, c);
        fleet_dispatch_reply (f, token, &lost);
      }
}
