/* Moves messages between the entry instances and the stand-ins for the
   platform, workers and executors, on a virtual clock. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Network delays, one way. */
  SAME_DOMAIN_DELAY_MS = 1,
  CROSS_DOMAIN_DELAY_MS = 2,
  STORE_DELAY_MS = 3,
  /* After this the daemon reports a store operation or sync as timed out. */
  CALL_TIMEOUT_MS = 2000,
  LATE_MAX_MS = 1900, /* bound of the random delay of a late message */
  /* Journal rows between snapshots: few, so that short runs also load
     snapshots. */
  SNAPSHOT_ROWS = 4,
  /* From the arrival of a request to the break of its connection. */
  CONNECTION_BREAK_MS = 30,
  NO_GENERATION = -1,      /* differs from the generation of every process */
  SERVICE_DEFAULT_MS = 20, /* run time of a service request without run_ms */
};

uint64_t
world_random (struct world *w, uint64_t below)
{
  w->rng ^= w->rng << 13;
  w->rng ^= w->rng >> 7;
  w->rng ^= w->rng << 17;
  return below ? w->rng % below : 0;
}

static bool
chance (struct world *w, int percent)
{
  return percent > 0 && (int)world_random (w, 100) < percent;
}

static void
item_free (struct event_item *it)
{
  free (it->text);
  free (it);
}

static struct event_item *
item_new (struct world *w, int kind, struct wnode *n, int64_t delay_ms)
{
  struct event_item *it = calloc (1, sizeof *it);

  if (!it)
    abort ();
  it->kind = kind;
  it->at_ms = w->now_ms + delay_ms;
  it->node = (int)(n - w->nodes);
  it->generation = n->generation;
  clb_copy (it->from, n->settings.domain, sizeof it->from);
  return it;
}

struct wnode *
world_node (struct world *w, const char *id)
{
  for (int i = 0; i < w->n_nodes; i++)
    if (strcmp (w->nodes[i].settings.id, id) == 0)
      return &w->nodes[i];
  return NULL;
}

struct wserver *
world_server (struct world *w, const char *id)
{
  for (int i = 0; i < w->n_servers; i++)
    if (strcmp (w->servers[i].inst.id, id) == 0)
      return &w->servers[i];
  return NULL;
}

static bool
is_cut (const struct world *w, const char *from, const char *to)
{
  for (int i = 0; i < w->n_cuts; i++)
    {
      if (strcmp (w->cuts[i].a, from) == 0 && strcmp (w->cuts[i].b, to) == 0)
        return true;
      if (!w->cuts[i].one_way && strcmp (w->cuts[i].a, to) == 0
          && strcmp (w->cuts[i].b, from) == 0)
        return true;
    }
  return false;
}

/* Outputs of the entry instances. */

static int64_t
jitter (struct world *w, int64_t base)
{
  return base + (int64_t)world_random (w, 2);
}

static int64_t
add_late_delay (struct world *w, int64_t delay)
{
  if (!chance (w, w->late_percent))
    return delay;
  return delay + (int64_t)world_random (w, LATE_MAX_MS);
}

static void
send_peer (struct world *w, struct wnode *n, const struct out *o)
{
  struct wnode *to = world_node (w, o->u.peer.to);
  struct event_item *it;

  if (!to)
    return;
  bool same_domain = strcmp (to->settings.domain, n->settings.domain) == 0;
  it = item_new (
      w, ITEM_PEER, to,
      jitter (w, same_domain ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS));
  clb_copy (it->from, n->settings.domain, sizeof it->from);
  clb_copy (it->to, to->settings.domain, sizeof it->to);
  clb_copy (it->server, n->settings.id, sizeof it->server);
  pmsg_pack (&o->u.peer.msg, &it->text, &it->len);
  world_push (w, it);
}

static void
schedule_store_rep (struct world *w, struct wnode *n, uint64_t token,
                    const struct store_rep *rep, bool timed_out, int64_t delay)
{
  struct event_item *it = item_new (w, ITEM_STORE_REP, n, delay);

  it->token = token;
  it->call = timed_out;
  it->text = codec_text (&store_rep_desc, rep);
  it->len = strlen (it->text);
  world_push (w, it);
}

static void
send_store (struct world *w, struct wnode *n, const struct out *o)
{
  struct store_rep timeout = { .err = CLB_EUNKNOWN };
  struct event_item *it = item_new (
      w, ITEM_STORE_REQ, n,
      add_late_delay (w, jitter (w, STORE_DELAY_MS) + w->store_delay_ms));

  it->token = o->u.store.token;
  it->text = codec_text (&store_op_desc, &o->u.store.op);
  it->len = strlen (it->text);
  world_push (w, it);
  schedule_store_rep (w, n, it->token, &timeout, true, CALL_TIMEOUT_MS);
}

static void
send_sync (struct world *w, struct wnode *n, const struct out *o)
{
  struct event_item *it
      = item_new (w, ITEM_SYNC_REQ, n,
                  add_late_delay (w, jitter (w, SAME_DOMAIN_DELAY_MS)));
  struct event_item *timeout = item_new (w, ITEM_SYNC_REP, n, CALL_TIMEOUT_MS);

  clb_copy (it->server, o->u.sync.worker, sizeof it->server);
  it->seq_no = o->u.sync.req.seq;
  it->text = codec_text (&sync_req_desc, &o->u.sync.req);
  it->len = strlen (it->text);
  world_push (w, it);
  clb_copy (timeout->server, it->server, sizeof timeout->server);
  timeout->seq_no = it->seq_no;
  world_push (w, timeout);
}

static struct event_item *
schedule_forward_end (struct world *w, struct wnode *n, int call,
                      const char *server, int end, int64_t delay)
{
  struct event_item *it = item_new (w, ITEM_FORWARD_END, n, delay);

  it->call = call;
  it->end = end;
  clb_copy (it->server, server, sizeof it->server);
  world_push (w, it);
  return it;
}

static void
send_forward (struct world *w, struct wnode *n, const struct out *o)
{
  int call = (int)o->u.forward.call - 1;
  struct wserver *s = world_server (w, o->u.forward.executor);
  struct event_item *it;

  if (!node_may_forward (&n->node, w->now_ms, o->u.forward.call) || !s
      || s->refuses_connections)
    {
      schedule_forward_end (w, n, call, o->u.forward.executor,
                            FORWARD_UNREACHED, 1);
      return;
    }
  it = item_new (w, ITEM_FORWARD, n, jitter (w, SAME_DOMAIN_DELAY_MS));
  it->call = call;
  clb_copy (it->server, o->u.forward.executor, sizeof it->server);
  world_push (w, it);
  schedule_forward_end (w, n, call, o->u.forward.executor, FORWARD_FAILED,
                        o->u.forward.max_run_ms);
}

static void
record_answer (struct world *w, const struct out *o)
{
  struct wcall *c = &w->calls[o->u.answer.call - 1];

  c->n_answers++;
  if (c->status)
    return;
  c->status = o->u.answer.status;
  c->answered_ms = w->now_ms;
  c->body = strdup (o->u.answer.body ? o->u.answer.body : "");
  c->complete = true;
  if (w->trace)
    printf ("%8lld answer to %s at %s: %d %s\n", (long long)w->now_ms, c->name,
            c->entry, c->status, c->body);
  check_answer (w->check, c);
}

static void
trace_event (const struct world *w, const struct wnode *n,
             const struct event *e)
{
  if (w->trace)
    printf ("%8lld %s: %s %s %s\n", (long long)w->now_ms, n->settings.id,
            clb_reason_name (e->reason), e->id, e->where);
}

static void
process_outputs (struct world *w, struct wnode *n)
{
  struct out *o;

  while ((o = node_next_out (&n->node)))
    {
      switch (o->kind)
        {
        case OUT_PEER:
          send_peer (w, n, o);
          break;
        case OUT_STORE:
          send_store (w, n, o);
          break;
        case OUT_SYNC:
          send_sync (w, n, o);
          break;
        case OUT_FORWARD:
          send_forward (w, n, o);
          break;
        case OUT_ANSWER:
          record_answer (w, o);
          break;
        case OUT_EVENT:
          trace_event (w, n, &o->u.event);
          break;
        }
      out_free (o);
    }
}

/* Delivery of messages. */

static void
deliver_peer (struct world *w, struct wnode *n, struct event_item *it)
{
  struct pmsg m;
  struct codec_err ce;

  if (pmsg_unpack (it->text, it->len, &m, &ce))
    {
      fprintf (stderr, "cannot decode peer message: field %s\n", ce.path);
      abort ();
    }
  node_peer (&n->node, w->now_ms, &m);
  pmsg_free (&m);
}

static void
deliver_store (struct world *w, struct wnode *n, struct event_item *it)
{
  struct store_op op;
  struct store_rep rep = { .err = CLB_EUNAVAIL };
  struct codec_err ce;
  bool write;
  int64_t back = jitter (w, STORE_DELAY_MS);

  if (w->store_mode == STORE_HANGS)
    return;
  if (w->store_mode == STORE_REFUSES)
    {
      schedule_store_rep (w, n, it->token, &rep, false, back);
      return;
    }
  if (codec_parse (&store_op_desc, it->text, it->len, CODEC_STRICT, &op, &ce))
    abort ();
  fstore_apply (w->store, &op, &rep);
  write = op.kind == STORE_TXN || op.kind == STORE_OBJ_PUT;
  if (w->store_mode != STORE_DROPS_REPLIES
      && !(write && chance (w, w->lost_reply_percent)))
    schedule_store_rep (w, n, it->token, &rep, false, back);
  codec_free (&store_rep_desc, &rep);
  codec_free (&store_op_desc, &op);
}

static void
deliver_store_rep (struct world *w, struct wnode *n, struct event_item *it)
{
  struct store_rep rep;
  struct codec_err ce;

  if (codec_parse (&store_rep_desc, it->text, it->len, CODEC_STRICT, &rep,
                   &ce))
    abort ();
  node_store (&n->node, w->now_ms, it->token, &rep);
  codec_free (&store_rep_desc, &rep);
}

static void
deliver_sync (struct world *w, struct wnode *n, struct event_item *it)
{
  struct wserver *s = world_server (w, it->server);
  struct sync_req req;
  struct sync_rep rep;
  struct codec_err ce;
  struct event_item *back;

  if (!s || s->unreachable)
    return;
  if (codec_parse (&sync_req_desc, it->text, it->len, CODEC_STRICT, &req, &ce))
    abort ();
  s->w.busy = s->n_open;
  if (fworker_sync (&s->w, w->now_ms, &req, &rep) == 0)
    {
      if (s->drops_replies)
        {
          codec_free (&sync_rep_desc, &rep);
          codec_free (&sync_req_desc, &req);
          return;
        }
      back = item_new (w, ITEM_SYNC_REP, n, jitter (w, SAME_DOMAIN_DELAY_MS));
      back->generation = it->generation;
      clb_copy (back->server, it->server, sizeof back->server);
      back->seq_no = it->seq_no;
      back->text = codec_text (&sync_rep_desc, &rep);
      back->len = strlen (back->text);
      world_push (w, back);
      codec_free (&sync_rep_desc, &rep);
    }
  codec_free (&sync_req_desc, &req);
}

static void
deliver_sync_rep (struct world *w, struct wnode *n, struct event_item *it)
{
  struct sync_rep rep;
  struct codec_err ce;

  if (it->text
      && codec_parse (&sync_rep_desc, it->text, it->len, CODEC_STRICT, &rep,
                      &ce))
    abort ();
  node_sync (&n->node, w->now_ms, it->server, it->seq_no,
             it->text ? &rep : NULL);
  if (it->text)
    codec_free (&sync_rep_desc, &rep);
}

static void
deliver_forward (struct world *w, struct wnode *n, struct event_item *it)
{
  struct wserver *s = world_server (w, it->server);
  struct wcall *c = &w->calls[it->call];
  int64_t run = c->run_ms ? c->run_ms : SERVICE_DEFAULT_MS;

  if (!s || s->unreachable)
    return;
  s->n_open++;
  check_served (w->check, s, it->call, true);
  struct event_item *end
      = schedule_forward_end (w, n, it->call, it->server,
                              s->w.fail_all ? FORWARD_ERROR : FORWARD_OK, run);
  if (!s->breaks_connections)
    return;
  /* The entry instance sees only the break, not the end. */
  end->generation = NO_GENERATION;
  schedule_forward_end (w, n, it->call, it->server, FORWARD_FAILED,
                        CONNECTION_BREAK_MS);
}

static void
deliver_forward_end (struct world *w, struct wnode *n, struct event_item *it)
{
  struct wcall *c = &w->calls[it->call];
  bool ran = it->end == FORWARD_OK || it->end == FORWARD_ERROR;

  if (ran && !c->status)
    {
      c->status = it->end == FORWARD_OK ? 200 : 500;
      c->answered_ms = w->now_ms;
      c->body = strdup (c->name);
      c->complete = true;
      c->n_answers++;
      check_answer (w->check, c);
    }
  node_forwarded (&n->node, w->now_ms, (uint64_t)it->call + 1, it->end);
}

/* Ends a service request on the executor's side.  This happens on time, also
   while the caller's entry instance is frozen or dead. */
static void
executor_request_ended (struct world *w, struct event_item *it)
{
  struct wserver *s = world_server (w, it->server);
  bool ran = it->end == FORWARD_OK || it->end == FORWARD_ERROR;

  if (!ran || !s || it->seq_no)
    return;
  it->seq_no = 1;
  s->n_open--;
  check_served (w->check, s, it->call, false);
}

static bool
is_peer_cut (struct world *w, const struct event_item *it)
{
  return is_cut (w, it->from, it->to)
         || is_cut (w, it->server, w->nodes[it->node].settings.id);
}

/* Delays @it by one tick if it cannot be delivered now, and tells whether it
   did.  Messages to a frozen process wait until it is thawed.  Peer messages
   that meet a cut wait until it has healed if the receiver's generation is
   even; otherwise they are lost. */
static bool
defer (struct world *w, struct event_item *it)
{
  struct wnode *n = &w->nodes[it->node];
  bool to_node = it->kind == ITEM_PEER || it->kind == ITEM_STORE_REP
                 || it->kind == ITEM_SYNC_REP || it->kind == ITEM_FORWARD_END;
  bool deferred = to_node && n->frozen && n->generation == it->generation;

  if (it->kind == ITEM_FORWARD_END)
    executor_request_ended (w, it);
  if (it->kind == ITEM_PEER && it->generation % 2 == 0)
    deferred |= is_peer_cut (w, it);
  if (deferred)
    it->at_ms = w->now_ms + TICK_MS;
  return deferred;
}

static bool
is_lost (struct world *w, struct event_item *it)
{
  struct wnode *n = &w->nodes[it->node];
  bool dead = !n->up || n->generation != it->generation;

  switch (it->kind)
    {
    case ITEM_STORE_REQ:
      return is_cut (w, it->from, "platform")
             || is_cut (w, n->settings.id, "platform");
    case ITEM_PEER:
      return dead || is_peer_cut (w, it);
    case ITEM_STORE_REP:
      /* A timeout is reported within the daemon and is never lost. */
      return dead
             || (!it->call
                 && (is_cut (w, "platform", it->from)
                     || is_cut (w, "platform", n->settings.id)));
    case ITEM_SYNC_REP:
    case ITEM_FORWARD_END:
      return dead;
    default:
      return false;
    }
}

static void
deliver (struct world *w, struct event_item *it)
{
  struct wnode *n = &w->nodes[it->node];

  switch (it->kind)
    {
    case ITEM_PEER:
      deliver_peer (w, n, it);
      break;
    case ITEM_STORE_REQ:
      deliver_store (w, n, it);
      return;
    case ITEM_STORE_REP:
      deliver_store_rep (w, n, it);
      break;
    case ITEM_SYNC_REQ:
      deliver_sync (w, n, it);
      return;
    case ITEM_SYNC_REP:
      deliver_sync_rep (w, n, it);
      break;
    case ITEM_FORWARD:
      deliver_forward (w, n, it);
      return;
    case ITEM_FORWARD_END:
      deliver_forward_end (w, n, it);
      break;
    case ITEM_INSTANCES:
      fstore_instances (w->store, it->text);
      return;
    }
  if (n->up && n->generation == it->generation)
    process_outputs (w, n);
}

static bool
platform_faulty (const struct world *w)
{
  bool cut = false;

  for (int i = 0; i < w->n_cuts; i++)
    cut |= strcmp (w->cuts[i].a, "platform") == 0
           || strcmp (w->cuts[i].b, "platform") == 0;
  return cut || w->store_mode != STORE_UP || w->late_percent
         || w->store_delay_ms;
}

static void
tick_all (struct world *w)
{
  if (platform_faulty (w))
    w->platform_fault_ms = w->now_ms;
  for (int i = 0; i < w->n_servers; i++)
    if (w->servers[i].inst.kind == INST_WORKER)
      fworker_tick (&w->servers[i].w, w->now_ms);
  for (int i = 0; i < w->n_nodes; i++)
    {
      struct wnode *n = &w->nodes[i];
      if (!n->up || n->frozen)
        continue;
      node_tick (&n->node, w->now_ms);
      process_outputs (w, n);
      if (n->stopping && node_stopped (&n->node))
        world_kill (w, n);
    }
}

void
world_run (struct world *w, int64_t ms)
{
  int64_t until = w->now_ms + ms;

  while (w->now_ms < until && !check_violation (w->check))
    {
      w->now_ms++;
      while (w->n_heap && w->heap[0]->at_ms <= w->now_ms)
        {
          struct event_item *it = world_pop (w);
          if (defer (w, it))
            {
              world_push (w, it);
              continue;
            }
          if (!is_lost (w, it))
            deliver (w, it);
          item_free (it);
        }
      if (w->now_ms % TICK_MS == 0)
        tick_all (w);
    }
}

/* Setup, start and end of processes. */

void
world_init (struct world *w, uint64_t seed)
{
  memset (w, 0, sizeof *w);
  w->now_ms = 1000000;
  w->rng = seed * 0x9E3779B97F4A7C15u + 1;
  w->store = fstore_new ();
  w->calls = calloc (CALLS_MAX, sizeof *w->calls);
  if (!w->calls)
    abort ();
  w->check = check_new (w);
}

void
world_fini (struct world *w)
{
  for (int i = 0; i < w->n_nodes; i++)
    if (w->nodes[i].up)
      node_fini (&w->nodes[i].node);
  for (int i = 0; i < w->n_servers; i++)
    fworker_clear (&w->servers[i].w);
  while (w->n_heap)
    item_free (world_pop (w));
  for (int i = 0; i < w->n_calls; i++)
    free (w->calls[i].body);
  free (w->heap);
  free (w->calls);
  fstore_free (w->store);
  check_free (w->check);
}

struct wnode *
world_add_node (struct world *w, const char *id, const char *domain)
{
  struct wnode *n = &w->nodes[w->n_nodes++];

  clb_copy (n->settings.id, id, sizeof n->settings.id);
  clb_copy (n->settings.domain, domain, sizeof n->settings.domain);
  clb_copy (n->settings.peer_addr, id, sizeof n->settings.peer_addr);
  n->settings.snap_every = SNAPSHOT_ROWS;
  clb_copy (n->settings.first_salt, "first", sizeof n->settings.first_salt);
  conf_key_hash ("first", "ops.first", n->settings.first_hash);
  world_boot (w, n);
  return n;
}

void
world_boot (struct world *w, struct wnode *n)
{
  if (n->up)
    return;
  n->settings.boot = ++w->last_boot;
  n->up = true;
  n->frozen = false;
  n->stopping = false;
  n->generation++;
  node_init (&n->node, &n->settings, w->now_ms);
  world_publish (w);
}

/* The callers of a killed instance see their connections break.  That counts
   as an answer to be checked only if the instance was stopping as planned. */
void
world_kill (struct world *w, struct wnode *n)
{
  if (!n->up)
    return;
  n->up = false;
  n->frozen = false;
  n->generation++;
  node_fini (&n->node);
  for (int i = 0; i < w->n_calls; i++)
    {
      struct wcall *c = &w->calls[i];
      if (c->status == 0 && strcmp (c->entry, n->settings.id) == 0)
        {
          c->status = -1;
          if (n->stopping)
            check_answer (w->check, c);
        }
    }
  world_publish (w);
}

void
world_thaw (struct world *w, struct wnode *n)
{
  (void)w;
  n->frozen = false;
}

static void
on_run (void *arg, int64_t now_ms, const struct frun *run, bool started)
{
  struct wserver *s = arg;
  struct world *w = s->world;

  (void)now_ms;
  if (w->trace)
    printf ("%8lld %s: run %s %s\n", (long long)w->now_ms, s->inst.id, run->id,
            started ? "starts" : "ends");
  check_run (w->check, s, run, started);
}

struct wserver *
world_add_server (struct world *w, const char *id, const char *domain,
                  const char *rack, int kind, const struct clb_res *capacity)
{
  struct wserver *s = &w->servers[w->n_servers++];

  fworker_init (&s->w, ++w->last_boot);
  s->w.arg = s;
  s->w.watch = on_run;
  s->world = w;
  s->listed = true;
  s->inst.kind = kind;
  s->inst.capacity = *capacity;
  clb_copy (s->inst.id, id, sizeof s->inst.id);
  clb_copy (s->inst.domain, domain, sizeof s->inst.domain);
  clb_copy (s->inst.rack, rack, sizeof s->inst.rack);
  clb_copy (s->inst.addr, id, sizeof s->inst.addr);
  world_publish (w);
  return s;
}

void
world_publish (struct world *w)
{
  struct inst_list list = { .n_items = 0 };
  struct event_item *it = calloc (1, sizeof *it);

  list.items = calloc (NODES_MAX + SERVERS_MAX, sizeof *list.items);
  if (!list.items || !it)
    abort ();
  for (int i = 0; i < w->n_nodes; i++)
    if (w->nodes[i].up)
      {
        struct inst *in = &list.items[list.n_items++];
        in->kind = INST_ENTRY;
        clb_copy (in->id, w->nodes[i].settings.id, sizeof in->id);
        clb_copy (in->domain, w->nodes[i].settings.domain, sizeof in->domain);
        clb_copy (in->addr, in->id, sizeof in->addr);
      }
  for (int i = 0; i < w->n_servers; i++)
    if (w->servers[i].listed)
      {
        list.items[list.n_items] = w->servers[i].inst;
        list.items[list.n_items++].leaving
            = w->servers[i].leaving_since_ms > 0;
      }
  it->kind = ITEM_INSTANCES;
  it->at_ms = w->now_ms + w->list_lag_ms;
  it->text = codec_text (&inst_list_desc, &list);
  world_push (w, it);
  free (list.items);
}

int
world_call (struct world *w, const struct wcall *proto, int method,
            const char *path, const char *bearer, const char *request_id,
            const char *body)
{
  struct wnode *n = world_node (w, proto->entry);
  struct wcall *c = &w->calls[w->n_calls++];
  struct request rq = {
    .http_call = (uint64_t)w->n_calls,
    .method = method,
    .path = path,
    .bearer = bearer,
    .request_id = request_id,
    .body = body,
    .body_len = body ? strlen (body) : 0,
  };

  if (w->n_calls >= CALLS_MAX)
    abort ();
  *c = *proto;
  c->sent_ms = w->now_ms;
  check_call (w->check, c);
  if (!n || !n->up || n->frozen)
    c->status = -1;
  else
    {
      node_request (&n->node, w->now_ms, &rq);
      process_outputs (w, n);
    }
  return w->n_calls - 1;
}
