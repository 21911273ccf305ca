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
  TAILQ_INIT (&f->proxied);
  TAILQ_INIT (&f->proxying);
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
  drop_all (&f->proxied);
  drop_all (&f->proxying);
}

bool
proxy_way_lost (const struct fleet *f)
{
  int64_t mute = f->lead.state == LEAD_HOLD ? LEADER_MUTE_MS : MUTE_MS;

  return f->store_lost || f->store_failures >= FAILURES
         || f->now_ms - f->store_heard_ms > mute;
}

const char *
proxy_peer (const struct fleet *f)
{
  const struct adviser *a = f->cell ? cell_adviser_fresh (f->cell) : NULL;

  if (fleet_leader_addr (f))
    return *f->peer && f->now_ms - f->peer_fresh_ms < FLEET_PEER_MS ? f->peer
                                                                    : NULL;
  return a && f->now_ms - a->fresh_ms < FLEET_PEER_MS ? a->addr : NULL;
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

  if (!proxy_way_lost (f) || follow_owns (&f->conf_feed, token)
      || call_find (&f->proxying, token) || !(peer = proxy_peer (f)))
    return false;
  c = call_new (&f->proxied, token);
  c->until_ms = f->now_ms + ANSWER_MS + o->u.store.op.wait_ms;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_STORE_ASK;
  m->no = (int64_t)token;
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
  m->kind = MESH_STORE;
  m->no = no;
  m->rep = *rep;
  memset (rep, 0, sizeof *rep);
  fleet_send (f, addr, m);
}

void
proxy_ask (struct fleet *f, struct mesh_msg *m)
{
  struct store_rep refused = { .err = CLB_EUNAVAIL };
  struct proxy_call *c;
  struct out *o;

  if (proxy_way_lost (f) || f->n_proxying >= IN_HAND_MAX)
    {
      reply (f, m->addr, m->no, &refused);
      return;
    }
  o = out_new (&f->out, OUT_STORE);
  o->u.store.token = ++f->tokens;
  o->u.store.op = m->op;
  memset (&m->op, 0, sizeof m->op);
  c = call_new (&f->proxying, o->u.store.token);
  f->n_proxying++;
  c->no = m->no;
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
proxy_store (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  struct proxy_call *c = call_find (&f->proxying, token);
  struct store_rep copy;

  if (!c)
    return false;
  copy_rep (&copy, rep);
  reply (f, c->addr, c->no, &copy);
  call_free (&f->proxying, c);
  f->n_proxying--;
  return true;
}

void
proxy_reply (struct fleet *f, const struct mesh_msg *m)
{
  uint64_t token = (uint64_t)m->no;
  struct proxy_call *c = call_find (&f->proxied, token);

  if (!c)
    return;
  call_free (&f->proxied, c);
  fleet_answered (f, token, &m->rep);
}

void
proxy_tick (struct fleet *f)
{
  struct store_rep lost = { .err = CLB_EUNKNOWN };
  struct proxy_call *c, *next;

  TAILQ_FOREACH_SAFE (c, &f->proxied, link, next)
    if (f->now_ms >= c->until_ms)
      {
        uint64_t token = c->token;
        call_free (&f->proxied, c);
        fleet_answered (f, token, &lost);
      }
}
