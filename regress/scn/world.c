/* Simulates time and the network: delivers messages between the entry
   instances and the stand-ins for the platform, workers and executors, on a
   virtual clock. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SAME_DOMAIN_DELAY_MS = 1,  /* one-way delay within a domain */
  CROSS_DOMAIN_DELAY_MS = 2, /* one-way delay between domains */
  /* One-way delay between an entry instance and the platform's store. */
  STORE_DELAY_MS = 3,
  /* Time after which the daemon reports a store operation or a sync as timed
     out. */
  CALL_TIMEOUT_MS = 2000,
  /* Upper bound of the random extra delay of a late message. */
  LATE_DELAY_MAX_MS = 1900,
  /* Journal rows between two snapshots: few, so that short scenarios also load
     snapshots. */
  SNAPSHOT_ROWS = 4,
  /* Time from the arrival of a service request to the break of its connection,
     if the executor breaks connections. */
  CONNECTION_BREAK_MS = 30,
  /* Differs from the generation of every process. */
  NO_GENERATION = -1,
  /* Run time of a service request whose run_ms is 0. */
  SERVICE_RUN_DEFAULT_MS = 20,
};

uint64_t
world_random (struct world *w, uint64_t below)
{
  w->rng ^= w->rng << 13;
  w->rng ^= w->rng >> 7;
  w->rng ^= w->rng << 17;
  return below ? w->rng % below : 0;
}

/* Returns true with a probability of @percent percent. */
static bool
chance (struct world *w, int percent)
{
  return percent > 0 && (int)world_random (w, 100) < percent;
}

static void
message_free (struct sim_message *msg)
{
  free (msg->text);
  free (msg);
}

/* Returns a message from or to @n that arrives after @delay_ms. */
static struct sim_message *
message_new (struct world *w, int kind, struct sim_node *n, int64_t delay_ms)
{
  struct sim_message *msg = calloc (1, sizeof *msg);

  if (!msg)
    abort ();
  msg->kind = kind;
  msg->arrival_ms = w->now_ms + delay_ms;
  msg->node_index = (int)(n - w->nodes);
  msg->generation = n->generation;
  clb_copy (msg->from, n->settings.domain, sizeof msg->from);
  return msg;
}

struct sim_node *
world_node (struct world *w, const char *id)
{
  for (int i = 0; i < w->n_nodes; i++)
    if (strcmp (w->nodes[i].settings.id, id) == 0)
      return &w->nodes[i];
  return NULL;
}

struct sim_server *
world_server (struct world *w, const char *id)
{
  for (int i = 0; i < w->n_servers; i++)
    if (strcmp (w->servers[i].inst.id, id) == 0)
      return &w->servers[i];
  return NULL;
}

/* Whether a partition stops messages from @from to @to; each is the id of an
   entry instance, a domain or "platform". */
static bool
is_partitioned (const struct world *w, const char *from, const char *to)
{
  for (int i = 0; i < w->n_partitions; i++)
    {
      if (strcmp (w->partitions[i].a, from) == 0
          && strcmp (w->partitions[i].b, to) == 0)
        return true;
      if (!w->partitions[i].one_way && strcmp (w->partitions[i].a, to) == 0
          && strcmp (w->partitions[i].b, from) == 0)
        return true;
    }
  return false;
}

/* Processing of the outputs of entry instances. */

/* Returns @base or @base + 1, at random. */
static int64_t
jitter (struct world *w, int64_t base)
{
  return base + (int64_t)world_random (w, 2);
}

/* Returns @delay, with an extra delay in world::late_percent of the calls. */
static int64_t
add_late_delay (struct world *w, int64_t delay)
{
  if (!chance (w, w->late_percent))
    return delay;
  return delay + (int64_t)world_random (w, LATE_DELAY_MAX_MS);
}

static void
send_peer_msg (struct world *w, struct sim_node *n, const struct out *o)
{
  struct sim_node *to = world_node (w, o->u.peer.to);
  struct sim_message *msg;

  if (!to)
    return;
  bool same_domain = strcmp (to->settings.domain, n->settings.domain) == 0;
  msg = message_new (
      w, SIM_MSG_PEER, to,
      jitter (w, same_domain ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS));
  clb_copy (msg->from, n->settings.domain, sizeof msg->from);
  clb_copy (msg->to, to->settings.domain, sizeof msg->to);
  clb_copy (msg->server, n->settings.id, sizeof msg->server);
  pmsg_pack (&o->u.peer.msg, &msg->text, &msg->len);
  world_push (w, msg);
}

/* Schedules the reply to a store operation.  @timed_out: the daemon itself
   reports a timeout. */
static void
schedule_store_reply (struct world *w, struct sim_node *n, uint64_t token,
                      const struct store_rep *rep, bool timed_out,
                      int64_t delay)
{
  struct sim_message *msg = message_new (w, SIM_MSG_STORE_REPLY, n, delay);

  msg->token = token;
  msg->call = timed_out;
  msg->text = codec_text (&store_rep_desc, rep);
  msg->len = strlen (msg->text);
  world_push (w, msg);
}

static void
send_store_req (struct world *w, struct sim_node *n, const struct out *o)
{
  struct store_rep timeout = { .err = CLB_EOUTCOME };
  struct sim_message *msg = message_new (
      w, SIM_MSG_STORE_REQ, n,
      add_late_delay (w, jitter (w, STORE_DELAY_MS) + w->store_delay_ms));

  msg->token = o->u.store.token;
  msg->text = codec_text (&store_op_desc, &o->u.store.op);
  msg->len = strlen (msg->text);
  world_push (w, msg);
  schedule_store_reply (w, n, msg->token, &timeout, true, CALL_TIMEOUT_MS);
}

static void
send_sync_req (struct world *w, struct sim_node *n, const struct out *o)
{
  struct sim_message *msg
      = message_new (w, SIM_MSG_SYNC_REQ, n,
                     add_late_delay (w, jitter (w, SAME_DOMAIN_DELAY_MS)));
  struct sim_message *timeout
      = message_new (w, SIM_MSG_SYNC_REPLY, n, CALL_TIMEOUT_MS);

  clb_copy (msg->server, o->u.sync.worker, sizeof msg->server);
  msg->seq_no = o->u.sync.req.seq;
  msg->text = codec_text (&sync_req_desc, &o->u.sync.req);
  msg->len = strlen (msg->text);
  world_push (w, msg);
  clb_copy (timeout->server, msg->server, sizeof timeout->server);
  timeout->seq_no = msg->seq_no;
  world_push (w, timeout);
}

/* Schedules the message that reports to the entry instance @n how the service
   request @call ended; @end is a value of enum forward_end. */
static struct sim_message *
schedule_service_result (struct world *w, struct sim_node *n, int call,
                         const char *server, int end, int64_t delay)
{
  struct sim_message *msg = message_new (w, SIM_MSG_SERVICE_RESULT, n, delay);

  msg->call = call;
  msg->forward_end = end;
  clb_copy (msg->server, server, sizeof msg->server);
  world_push (w, msg);
  return msg;
}

static void
send_service_req (struct world *w, struct sim_node *n, const struct out *o)
{
  int call = (int)o->u.forward.call - 1;
  struct sim_server *s = world_server (w, o->u.forward.executor);
  struct sim_message *msg;

  if (!node_may_forward (&n->node, w->now_ms, o->u.forward.call) || !s
      || s->refuses_connections)
    {
      schedule_service_result (w, n, call, o->u.forward.executor,
                               FORWARD_UNREACHED, 1);
      return;
    }
  msg = message_new (w, SIM_MSG_SERVICE_REQ, n,
                     jitter (w, SAME_DOMAIN_DELAY_MS));
  msg->call = call;
  clb_copy (msg->server, o->u.forward.executor, sizeof msg->server);
  world_push (w, msg);
  schedule_service_result (w, n, call, o->u.forward.executor, FORWARD_FAILED,
                           o->u.forward.max_run_ms);
}

/* Records and checks an entry instance's answer to a caller.  If the request
   has an answer already, only the number of answers is raised. */
static void
record_answer (struct world *w, const struct out *o)
{
  struct caller_request *c = &w->calls[o->u.answer.call - 1];

  c->n_answers++;
  if (c->status)
    return;
  c->status = o->u.answer.status;
  c->answered_ms = w->now_ms;
  c->body = strdup (o->u.answer.body ? o->u.answer.body : "");
  c->complete = true;
  if (w->trace)
    printf ("%8lld answer to %s at %s: %d %s\n", (long long)w->now_ms, c->name,
            c->entry_id, c->status, c->body);
  check_answer (w->check, c);
}

static void
trace_event (const struct world *w, const struct sim_node *n,
             const struct event *e)
{
  if (w->trace)
    printf ("%8lld %s: %s %s %s\n", (long long)w->now_ms, n->settings.id,
            clb_reason_name (e->reason), e->id, e->instance_id);
}

/* Processes all queued outputs of the entry instance @n: sends its messages,
   records its answers and traces its events. */
static void
process_outputs (struct world *w, struct sim_node *n)
{
  struct out *o;

  while ((o = node_next_out (&n->node)))
    {
      switch (o->kind)
        {
        case OUT_PEER:
          send_peer_msg (w, n, o);
          break;
        case OUT_STORE:
          send_store_req (w, n, o);
          break;
        case OUT_SYNC:
          send_sync_req (w, n, o);
          break;
        case OUT_FORWARD:
          send_service_req (w, n, o);
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
deliver_peer_msg (struct world *w, struct sim_node *n, struct sim_message *msg)
{
  struct pmsg m;
  struct codec_err ce;

  if (pmsg_unpack (msg->text, msg->len, &m, &ce))
    {
      fprintf (stderr, "cannot decode peer message: field %s\n", ce.path);
      abort ();
    }
  node_peer_msg (&n->node, w->now_ms, &m);
  pmsg_free (&m);
}

static void
deliver_store_req (struct world *w, struct sim_node *n,
                   struct sim_message *msg)
{
  struct store_op op;
  struct store_rep rep = { .err = CLB_EUNAVAIL };
  struct codec_err ce;
  bool write;
  int64_t reply_delay = jitter (w, STORE_DELAY_MS);

  if (w->store_mode == STORE_HANGS)
    return;
  if (w->store_mode == STORE_REFUSES)
    {
      schedule_store_reply (w, n, msg->token, &rep, false, reply_delay);
      return;
    }
  if (codec_parse (&store_op_desc, msg->text, msg->len, CODEC_STRICT, &op,
                   &ce))
    abort ();
  fstore_apply (w->store, &op, &rep);
  write = op.kind == STORE_TXN || op.kind == STORE_OBJ_PUT;
  if (w->store_mode != STORE_DROPS_REPLIES
      && !(write && chance (w, w->lost_reply_percent)))
    schedule_store_reply (w, n, msg->token, &rep, false, reply_delay);
  codec_free (&store_rep_desc, &rep);
  codec_free (&store_op_desc, &op);
}

static void
deliver_store_reply (struct world *w, struct sim_node *n,
                     struct sim_message *msg)
{
  struct store_rep rep;
  struct codec_err ce;

  if (codec_parse (&store_rep_desc, msg->text, msg->len, CODEC_STRICT, &rep,
                   &ce))
    abort ();
  node_store_reply (&n->node, w->now_ms, msg->token, &rep);
  codec_free (&store_rep_desc, &rep);
}

static void
deliver_sync_req (struct world *w, struct sim_node *n, struct sim_message *msg)
{
  struct sim_server *s = world_server (w, msg->server);
  struct sync_req req;
  struct sync_rep report;
  struct codec_err ce;
  struct sim_message *reply;

  if (!s || s->unreachable)
    return;
  if (codec_parse (&sync_req_desc, msg->text, msg->len, CODEC_STRICT, &req,
                   &ce))
    abort ();
  s->worker.busy = s->n_serving;
  if (fworker_sync (&s->worker, w->now_ms, &req, &report) == 0)
    {
      if (s->drops_replies)
        {
          codec_free (&sync_rep_desc, &report);
          codec_free (&sync_req_desc, &req);
          return;
        }
      reply = message_new (w, SIM_MSG_SYNC_REPLY, n,
                           jitter (w, SAME_DOMAIN_DELAY_MS));
      reply->generation = msg->generation;
      clb_copy (reply->server, msg->server, sizeof reply->server);
      reply->seq_no = msg->seq_no;
      reply->text = codec_text (&sync_rep_desc, &report);
      reply->len = strlen (reply->text);
      world_push (w, reply);
      codec_free (&sync_rep_desc, &report);
    }
  codec_free (&sync_req_desc, &req);
}

static void
deliver_sync_reply (struct world *w, struct sim_node *n,
                    struct sim_message *msg)
{
  struct sync_rep report;
  struct codec_err ce;

  if (msg->text
      && codec_parse (&sync_rep_desc, msg->text, msg->len, CODEC_STRICT,
                      &report, &ce))
    abort ();
  node_sync_done (&n->node, w->now_ms, msg->server, msg->seq_no,
                  msg->text ? &report : NULL);
  if (msg->text)
    codec_free (&sync_rep_desc, &report);
}

static void
deliver_service_req (struct world *w, struct sim_node *n,
                     struct sim_message *msg)
{
  struct sim_server *s = world_server (w, msg->server);
  struct caller_request *c = &w->calls[msg->call];
  int64_t run_ms = c->run_ms ? c->run_ms : SERVICE_RUN_DEFAULT_MS;

  if (!s || s->unreachable)
    return;
  s->n_serving++;
  check_service_run (w->check, s, msg->call, true);
  struct sim_message *end = schedule_service_result (
      w, n, msg->call, msg->server,
      s->worker.fail_all ? FORWARD_SERVER_ERROR : FORWARD_OK, run_ms);
  if (!s->breaks_connections)
    return;
  /* The entry instance is notified only of the broken connection.  The end of
     the request reaches no process, but ends the request on the executor. */
  end->generation = NO_GENERATION;
  schedule_service_result (w, n, msg->call, msg->server, FORWARD_FAILED,
                           CONNECTION_BREAK_MS);
}

static void
deliver_service_result (struct world *w, struct sim_node *n,
                        struct sim_message *msg)
{
  struct caller_request *c = &w->calls[msg->call];
  bool ran = msg->forward_end == FORWARD_OK
             || msg->forward_end == FORWARD_SERVER_ERROR;

  if (ran && !c->status)
    {
      c->status = msg->forward_end == FORWARD_OK ? 200 : 500;
      c->answered_ms = w->now_ms;
      c->body = strdup (c->name);
      c->complete = true;
      c->n_answers++;
      check_answer (w->check, c);
    }
  node_forward_done (&n->node, w->now_ms, (uint64_t)msg->call + 1,
                     msg->forward_end);
}

/* Ends a service request on the executor, unless it has ended there already.
   The executor ends the request when its run time is over, even if the entry
   instance that forwarded the request is frozen or dead at that time. */
static void
end_service_run (struct world *w, struct sim_message *msg)
{
  struct sim_server *s = world_server (w, msg->server);
  bool ran = msg->forward_end == FORWARD_OK
             || msg->forward_end == FORWARD_SERVER_ERROR;

  if (!ran || !s || msg->seq_no)
    return;
  msg->seq_no = 1;
  s->n_serving--;
  check_service_run (w->check, s, msg->call, false);
}

/* Whether a partition stops the peer message @msg. */
static bool
is_peer_msg_partitioned (struct world *w, const struct sim_message *msg)
{
  return is_partitioned (w, msg->from, msg->to)
         || is_partitioned (w, msg->server,
                            w->nodes[msg->node_index].settings.id);
}

/* Delays @msg by one tick if it cannot be delivered now; returns true if it
   was delayed.  Messages to a frozen process wait until the process is thawed.
   Peer messages that a partition stops wait until the partition has ended if
   the receiver's generation is even; otherwise they are lost. */
static bool
defer_message (struct world *w, struct sim_message *msg)
{
  struct sim_node *n = &w->nodes[msg->node_index];
  bool to_node = msg->kind == SIM_MSG_PEER || msg->kind == SIM_MSG_STORE_REPLY
                 || msg->kind == SIM_MSG_SYNC_REPLY
                 || msg->kind == SIM_MSG_SERVICE_RESULT;
  bool is_deferred = to_node && n->frozen && n->generation == msg->generation;

  if (msg->kind == SIM_MSG_SERVICE_RESULT)
    end_service_run (w, msg);
  if (msg->kind == SIM_MSG_PEER && msg->generation % 2 == 0)
    is_deferred |= is_peer_msg_partitioned (w, msg);
  if (is_deferred)
    msg->arrival_ms = w->now_ms + TICK_MS;
  return is_deferred;
}

/* Whether @msg is lost because of a partition or because its receiving process
   has ended. */
static bool
is_lost (struct world *w, struct sim_message *msg)
{
  struct sim_node *n = &w->nodes[msg->node_index];
  bool receiver_dead = !n->up || n->generation != msg->generation;

  switch (msg->kind)
    {
    case SIM_MSG_STORE_REQ:
      return is_partitioned (w, msg->from, "platform")
             || is_partitioned (w, n->settings.id, "platform");
    case SIM_MSG_PEER:
      return receiver_dead || is_peer_msg_partitioned (w, msg);
    case SIM_MSG_STORE_REPLY:
      /* A timeout is reported within the daemon, so a partition does not stop
         the report. */
      return receiver_dead
             || (!msg->call
                 && (is_partitioned (w, "platform", msg->from)
                     || is_partitioned (w, "platform", n->settings.id)));
    case SIM_MSG_SYNC_REPLY:
    case SIM_MSG_SERVICE_RESULT:
      return receiver_dead;
    default:
      return false;
    }
}

static void
deliver (struct world *w, struct sim_message *msg)
{
  struct sim_node *n = &w->nodes[msg->node_index];

  switch (msg->kind)
    {
    case SIM_MSG_PEER:
      deliver_peer_msg (w, n, msg);
      break;
    case SIM_MSG_STORE_REQ:
      deliver_store_req (w, n, msg);
      return;
    case SIM_MSG_STORE_REPLY:
      deliver_store_reply (w, n, msg);
      break;
    case SIM_MSG_SYNC_REQ:
      deliver_sync_req (w, n, msg);
      return;
    case SIM_MSG_SYNC_REPLY:
      deliver_sync_reply (w, n, msg);
      break;
    case SIM_MSG_SERVICE_REQ:
      deliver_service_req (w, n, msg);
      return;
    case SIM_MSG_SERVICE_RESULT:
      deliver_service_result (w, n, msg);
      break;
    case SIM_MSG_INSTANCE_LIST:
      fstore_instances (w->store, msg->text);
      return;
    }
  if (n->up && n->generation == msg->generation)
    process_outputs (w, n);
}

/* Whether the platform or its store has a fault or a delay, or a partition
   separates the platform from an instance or domain. */
static bool
has_platform_fault (const struct world *w)
{
  bool partitioned = false;

  for (int i = 0; i < w->n_partitions; i++)
    partitioned |= strcmp (w->partitions[i].a, "platform") == 0
                   || strcmp (w->partitions[i].b, "platform") == 0;
  return partitioned || w->store_mode != STORE_UP || w->late_percent
         || w->store_delay_ms;
}

/* Performs one tick of every worker and of every entry instance that runs. */
static void
tick_all (struct world *w)
{
  if (has_platform_fault (w))
    w->platform_fault_ms = w->now_ms;
  for (int i = 0; i < w->n_servers; i++)
    if (w->servers[i].inst.kind == INST_WORKER)
      fworker_tick (&w->servers[i].worker, w->now_ms);
  for (int i = 0; i < w->n_nodes; i++)
    {
      struct sim_node *n = &w->nodes[i];
      if (!n->up || n->frozen)
        continue;
      node_tick (&n->node, w->now_ms);
      process_outputs (w, n);
      if (n->stopping && node_stopped (&n->node))
        world_kill_node (w, n);
    }
}

void
world_run (struct world *w, int64_t ms)
{
  int64_t until = w->now_ms + ms;

  while (w->now_ms < until && !check_violation (w->check))
    {
      w->now_ms++;
      while (w->n_heap && w->heap[0]->arrival_ms <= w->now_ms)
        {
          struct sim_message *msg = world_pop (w);
          if (defer_message (w, msg))
            {
              world_push (w, msg);
              continue;
            }
          if (!is_lost (w, msg))
            deliver (w, msg);
          message_free (msg);
        }
      if (w->now_ms % TICK_MS == 0)
        tick_all (w);
    }
}

/* Setup of the world, and start and end of processes. */

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
    fworker_clear (&w->servers[i].worker);
  while (w->n_heap)
    message_free (world_pop (w));
  for (int i = 0; i < w->n_calls; i++)
    free (w->calls[i].body);
  free (w->heap);
  free (w->calls);
  fstore_free (w->store);
  check_free (w->check);
}

struct sim_node *
world_add_node (struct world *w, const char *id, const char *domain)
{
  struct sim_node *n = &w->nodes[w->n_nodes++];

  clb_copy (n->settings.id, id, sizeof n->settings.id);
  clb_copy (n->settings.domain, domain, sizeof n->settings.domain);
  clb_copy (n->settings.peer_addr, id, sizeof n->settings.peer_addr);
  n->settings.snap_every = SNAPSHOT_ROWS;
  clb_copy (n->settings.first_key_salt, "first",
            sizeof n->settings.first_key_salt);
  conf_key_hash ("first", "ops.first", n->settings.first_key_hash);
  world_start_node (w, n);
  return n;
}

void
world_start_node (struct world *w, struct sim_node *n)
{
  if (n->up)
    return;
  n->settings.boot = ++w->last_boot;
  n->up = true;
  n->frozen = false;
  n->stopping = false;
  n->generation++;
  node_init (&n->node, &n->settings, w->now_ms);
  world_publish_instances (w);
}

/* Ends the process of @n.  The connections of its callers break, which is a
   violation if the process ends because of a planned stop. */
void
world_kill_node (struct world *w, struct sim_node *n)
{
  if (!n->up)
    return;
  n->up = false;
  n->frozen = false;
  n->generation++;
  node_fini (&n->node);
  for (int i = 0; i < w->n_calls; i++)
    {
      struct caller_request *c = &w->calls[i];
      if (c->status == 0 && strcmp (c->entry_id, n->settings.id) == 0)
        {
          c->status = -1;
          if (n->stopping)
            check_answer (w->check, c);
        }
    }
  world_publish_instances (w);
}

void
world_thaw_node (struct world *w, struct sim_node *n)
{
  (void)w;
  n->frozen = false;
}

/* Called by a worker at each start and end of a run. */
static void
on_run (void *arg, int64_t now_ms, const struct frun *run, bool started)
{
  struct sim_server *s = arg;
  struct world *w = s->world;

  (void)now_ms;
  if (w->trace)
    printf ("%8lld %s: run %s %s\n", (long long)w->now_ms, s->inst.id, run->id,
            started ? "starts" : "ends");
  check_run (w->check, s, run, started);
}

struct sim_server *
world_add_server (struct world *w, const char *id, const char *domain,
                  const char *rack, int kind, const struct clb_res *capacity)
{
  struct sim_server *s = &w->servers[w->n_servers++];

  fworker_init (&s->worker, ++w->last_boot);
  s->worker.arg = s;
  s->worker.watch = on_run;
  s->world = w;
  s->listed = true;
  s->inst.kind = kind;
  s->inst.capacity = *capacity;
  clb_copy (s->inst.id, id, sizeof s->inst.id);
  clb_copy (s->inst.domain, domain, sizeof s->inst.domain);
  clb_copy (s->inst.rack, rack, sizeof s->inst.rack);
  clb_copy (s->inst.addr, id, sizeof s->inst.addr);
  world_publish_instances (w);
  return s;
}

void
world_publish_instances (struct world *w)
{
  struct inst_list list = { .n_items = 0 };
  struct sim_message *msg = calloc (1, sizeof *msg);

  list.items = calloc (NODES_MAX + SERVERS_MAX, sizeof *list.items);
  if (!list.items || !msg)
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
  msg->kind = SIM_MSG_INSTANCE_LIST;
  msg->arrival_ms = w->now_ms + w->list_lag_ms;
  msg->text = codec_text (&inst_list_desc, &list);
  world_push (w, msg);
  free (list.items);
}

int
world_send_request (struct world *w, const struct caller_request *template,
                    int method, const char *path, const char *bearer,
                    const char *request_id, const char *body)
{
  struct sim_node *n = world_node (w, template->entry_id);
  struct caller_request *c = &w->calls[w->n_calls++];
  struct request request = {
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
  *c = *template;
  c->sent_ms = w->now_ms;
  check_note_request (w->check, c);
  if (!n || !n->up || n->frozen)
    c->status = -1;
  else
    {
      node_request (&n->node, w->now_ms, &request);
      process_outputs (w, n);
    }
  return w->n_calls - 1;
}
