/*
 * Sends calls to the platform's table service through a peer while this
 * instance cannot reach the service.  The modules that make the calls,
 * including the one that writes the leader's journal, need not know
 * whether a peer is used: transactions are conditional, and their outcome may
 * be unknown without a peer, too.
 *
 * Calls of the configuration's feed are always sent directly, as they show
 * when the table service is reachable again.
 *
 * Peers help when the table service refuses some instances, the leader first,
 * or when a network partition separates some instances from the service.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* After this time without an answer, the table service counts as
     unreachable, not as slow: a call of a feed is answered within the time
     even if the answer takes 50 times as long as usual. */
  TABLE_UNREACHABLE_MS = 900,
  /* Number of failed calls in a row after which the table service counts as
     unreachable; one or two lost answers are not enough. */
  TABLE_FAILURES_MAX = 3,
  /* Like TABLE_UNREACHABLE_MS, but on the leader, which calls the table
     service more often than other instances. */
  LEADER_TABLE_UNREACHABLE_MS = 500,
  /* Time that a peer has to answer a call, in addition to the time for which
     the call itself waits (wait_ms). */
  PEER_TIMEOUT_MS = 1000,
  /* A peer's write that is older is refused.  The peer waits less long for any
     write. */
  REQUEST_AGE_MAX_MS = 5000,
  /* Maximum number of calls in progress that are made for peers; a further
     call is refused. */
  SERVED_CALLS_MAX = 2000,
};

/** struct proxy_call - a call to the table service that a peer makes for this
 * instance, or that this instance makes for a peer */
struct proxy_call
{
  TAILQ_ENTRY (proxy_call) link;
  uint64_t token; /* token of the call on this instance */
  /* If a peer makes the call for this instance: time by which that peer has to
     answer; after it, the outcome of the call is unknown.  0 if this instance
     makes the call for a peer. */
  int64_t deadline_ms;
  /* Token that the call has on the peer that requested it; 0: a peer makes the
     call for this instance. */
  int64_t peer_token;
  /* Address of the peer for which the call is made; empty: a peer makes the
     call for this instance. */
  char addr[CLB_ADDR_MAX];
};

void
proxy_init (struct fleet *f)
{
  TAILQ_INIT (&f->proxy_sent);
  TAILQ_INIT (&f->proxy_serving);
}

/* Frees all calls of @q. */
static void
free_all_calls (struct proxy_callq *q)
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
  free_all_calls (&f->proxy_sent);
  free_all_calls (&f->proxy_serving);
}

bool
proxy_table_unreachable (const struct fleet *f)
{
  int64_t limit_ms = f->leader.state == LEADER_LEADING
                         ? LEADER_TABLE_UNREACHABLE_MS
                         : TABLE_UNREACHABLE_MS;

  return f->conf_feed_failed || f->store_failures >= TABLE_FAILURES_MAX
         || f->now_ms - f->store_last_contact_ms > limit_ms;
}

const char *
proxy_peer (const struct fleet *f)
{
  const struct adviser *a
      = f->fsched ? fsched_adviser_freshest (f->fsched) : NULL;

  if (fleet_leader_addr (f))
    return *f->proxy_peer_addr
                   && f->now_ms - f->proxy_peer_fresh_ms < FLEET_PEER_FRESH_MS
               ? f->proxy_peer_addr
               : NULL;
  return a && f->now_ms - a->table_contact_ms < FLEET_PEER_FRESH_MS ? a->addr
                                                                    : NULL;
}

/* Appends a new call with @token to @q. */
static struct proxy_call *
add_call (struct proxy_callq *q, uint64_t token)
{
  struct proxy_call *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->token = token;
  TAILQ_INSERT_TAIL (q, c, link);
  return c;
}

/* Returns the call of @q with @token, or NULL. */
static struct proxy_call *
find_call (const struct proxy_callq *q, uint64_t token)
{
  struct proxy_call *c;

  TAILQ_FOREACH (c, q, link)
    if (c->token == token)
      break;
  return c;
}

/* Removes @c from @q and frees it. */
static void
free_call (struct proxy_callq *q, struct proxy_call *c)
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
      || find_call (&f->proxy_serving, token) || !(peer = proxy_peer (f)))
    return false;
  c = add_call (&f->proxy_sent, token);
  c->deadline_ms = f->now_ms + PEER_TIMEOUT_MS + o->u.store.op.wait_ms
                   + o->u.store.op.timeout_ms;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_STORE_REQUEST;
  m->table_ms = fleet_table_ms (f);
  m->seq = (int64_t)token;
  m->op = o->u.store.op;
  memset (&o->u.store.op, 0, sizeof o->u.store.op);
  f->stats.proxied++;
  fleet_send (f, peer, m);
  return true;
}

/* Sends the answer @rep to call @peer_token of the peer at @addr.  The
   function takes ownership of the rows of @rep and leaves @rep empty. */
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

/* Returns whether @m asks for a write and has waited for long, in a link that
   was interrupted or while this process was paused.  The peer has given the
   write up, and what it relied on may have changed. */
static bool
is_late_write (const struct fleet *f, const struct mesh_msg *m)
{
  int64_t now_ms = fleet_table_ms (f);

  return m->op.kind == STORE_TXN && m->table_ms && now_ms
         && now_ms - m->table_ms > REQUEST_AGE_MAX_MS;
}

void
proxy_serve (struct fleet *f, struct mesh_msg *m)
{
  /* The time tells a peer whose last answer from the table service had waited,
     and that takes the clock of the table service to be behind. */
  struct store_rep refused
      = { .err = CLB_EUNAVAIL, .now_ms = fleet_table_ms (f) };
  struct proxy_call *c;
  struct out *o;

  if (proxy_table_unreachable (f) || f->n_proxy_serving >= SERVED_CALLS_MAX
      || is_late_write (f, m))
    {
      send_reply (f, m->addr, m->seq, &refused);
      return;
    }
  o = out_new (&f->out, OUT_STORE);
  o->u.store.token = ++f->last_token;
  o->u.store.op = m->op;
  memset (&m->op, 0, sizeof m->op);
  c = add_call (&f->proxy_serving, o->u.store.token);
  f->n_proxy_serving++;
  c->peer_token = m->seq;
  clb_copy (c->addr, m->addr, sizeof c->addr);
}

/* Copies @rep to @to.  The rows are copied too, and @to owns the copies. */
static void
copy_reply (struct store_rep *to, const struct store_rep *rep)
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
  struct proxy_call *c = find_call (&f->proxy_serving, token);
  struct store_rep copy;

  if (!c)
    return false;
  copy_reply (&copy, rep);
  send_reply (f, c->addr, c->peer_token, &copy);
  free_call (&f->proxy_serving, c);
  f->n_proxy_serving--;
  return true;
}

void
proxy_peer_reply (struct fleet *f, const struct mesh_msg *m)
{
  uint64_t token = (uint64_t)m->seq;
  struct proxy_call *c = find_call (&f->proxy_sent, token);

  if (!c)
    return;
  free_call (&f->proxy_sent, c);
  fleet_set_table_ms (f, m->rep.now_ms);
  fleet_dispatch_reply (f, token, &m->rep);
}

void
proxy_tick (struct fleet *f)
{
  struct store_rep unknown = { .err = CLB_EOUTCOME };
  struct proxy_call *c, *next;

  TAILQ_FOREACH_SAFE (c, &f->proxy_sent, link, next)
    if (f->now_ms >= c->deadline_ms)
      {
        uint64_t token = c->token;
        free_call (&f->proxy_sent, c);
        fleet_dispatch_reply (f, token, &unknown);
      }
}
