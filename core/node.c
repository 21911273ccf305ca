/* One entry instance: its peers, its polling of the configuration and of the
   list of instances, and the scheduler that it runs as lease holder. */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Period in which the head row is read. */
  HEAD_POLL_MS = 1000,
  /* Period in which the platform's list of instances is read. */
  INST_LIST_POLL_MS = 1000,
  /* Timeout of a read of the head row or of the list of instances.  The
     timeout of a read of a manifest is four times as long. */
  READ_TIMEOUT_MS = 2500,
  /* Period in which a peer is queried for its slots in use, until it has
     answered. */
  SLOTS_QUERY_PERIOD_MS = 500,
  /* Number of call::seq values that are reserved for each millisecond between
     two starts of an instance. */
  CALL_SEQS_PER_MS = 65536,
  /* Shortest time from the start of a scheduler until it counts slots as free.
     By then each slot that an earlier scheduler granted is in use, or was
     granted too long ago to be used. */
  FREE_SLOTS_DELAY_MS = 3000,
};

void
node_init (struct node *n, const struct settings *set, int64_t now_ms)
{
  memset (n, 0, sizeof *n);
  n->settings = *set;
  n->now_ms = now_ms;
  TAILQ_INIT (&n->out);
  RB_INIT (&n->pending);
  RB_INIT (&n->callers);
  n->conf = calloc (1, sizeof *n->conf);
  if (!n->conf)
    abort ();
  n->conf_verified_ms = now_ms - 2 * CONF_FRESH_MS;
  /* call::seq must not repeat the numbers of an earlier process of this
     instance.  Otherwise a late reply to a call of that process could be taken
     for the reply to a call of this process. */
  n->last_call_seq = set->boot * CALL_SEQS_PER_MS;
  role_init (&n->role, set->domain, set->id, set->boot, now_ms, &n->out,
             &n->last_token);
}

void
node_fini (struct node *n)
{
  struct out *o;

  entry_fini (n);
  sched_free (n->sched);
  while ((o = out_take (&n->out)))
    out_free (o);
  codec_free (&inst_list_desc, &n->list);
  conf_free (n->conf);
  free (n->conf);
}

/* Peers. */

const struct peer *
node_find_peer (const struct node *n, const char *id)
{
  for (int i = 0; i < n->n_peers; i++)
    if (strcmp (n->peers[i].id, id) == 0)
      return &n->peers[i];
  return NULL;
}

struct peer *
node_get_peer (struct node *n, const char *id)
{
  struct peer *p = (struct peer *)node_find_peer (n, id);

  if (p || n->n_peers == PEERS_MAX || strcmp (id, n->settings.id) == 0)
    return p;
  p = &n->peers[n->n_peers++];
  memset (p, 0, sizeof *p);
  clb_copy (p->id, id, sizeof p->id);
  return p;
}

void
node_send (struct node *n, const char *to, struct pmsg *m)
{
  struct out *o = out_new (&n->out, OUT_PEER);

  clb_copy (o->u.peer.to, to, sizeof o->u.peer.to);
  clb_copy (m->from, n->settings.id, sizeof m->from);
  m->boot = n->settings.boot;
  o->u.peer.msg = *m;
}

/* Returns whether a hello from @p arrived within PEER_UNREACHABLE_MS. */
static bool
peer_reachable (const struct node *n, const struct peer *p)
{
  return p->last_contact_ms
         && n->now_ms - p->last_contact_ms < PEER_UNREACHABLE_MS;
}

/* Returns whether this instance holds the domain's lease and its scheduler is
   ready. */
static bool
is_holder (const struct node *n)
{
  return n->sched && n->sched->phase == SCHED_READY && n->sched->may_start;
}

const char *
node_holder (struct node *n, const char *domain)
{
  const struct peer *best = NULL;

  if (strcmp (domain, n->settings.domain) == 0 && is_holder (n))
    return n->settings.id;
  for (int i = 0; i < n->n_peers; i++)
    {
      const struct peer *p = &n->peers[i];
      if (!peer_reachable (n, p) || !p->hello.is_holder
          || strcmp (p->domain, domain) != 0)
        continue;
      if (!best || p->hello.epoch > best->hello.epoch)
        best = p;
    }
  return best ? best->id : NULL;
}

static void
send_hello (struct node *n, struct peer *p)
{
  struct pmsg m = { .kind = PM_HELLO };
  struct hello *h = &m.u.hello;

  clb_copy (h->domain, n->settings.domain, sizeof h->domain);
  clb_copy (h->addr, n->settings.peer_addr, sizeof h->addr);
  h->conf_version = n->head.version;
  h->conf_age_ms = n->now_ms - n->conf_verified_ms;
  h->apply_in_progress = entry_apply_in_progress (n);
  h->is_holder = is_holder (n);
  h->epoch = n->sched ? n->sched->epoch : 0;
  h->stopping = n->stopping;
  h->knows_receiver = role_is_member (&n->role, p->id, p->boot);
  h->sent_ms = n->now_ms;
  h->echo_ms = p->hello_sent_ms;
  h->echo_boot = p->boot;
  h->free_capacity = n->capacity.free_capacity;
  h->total_capacity = n->capacity.total_capacity;
  h->largest_worker = n->capacity.largest_worker;
  node_send (n, p->id, &m);
  n->stats.hellos++;
}

static void
send_hellos (struct node *n)
{
  /* Notify the peers at once when this instance starts or stops scheduling
     its domain. */
  if (is_holder (n) != n->reported_as_holder)
    n->next_hello_ms = n->now_ms;
  n->reported_as_holder = is_holder (n);
  if (n->now_ms < n->next_hello_ms)
    return;
  n->next_hello_ms = n->now_ms + HELLO_PERIOD_MS;
  memset (&n->capacity, 0, sizeof n->capacity);
  if (n->sched && n->sched->phase == SCHED_READY)
    n->capacity = pool_summary (&n->sched->pool, n->now_ms);
  for (int i = 0; i < n->n_peers; i++)
    send_hello (n, &n->peers[i]);
}

static void
read_head (struct node *n)
{
  struct out *o = out_new (&n->out, OUT_STORE);

  o->u.store.token = n->head_token = ++n->last_token;
  o->u.store.op.kind = STORE_GET;
  o->u.store.op.key = strdup ("head");
  n->head_sent_ms = n->now_ms;
  n->next_head_ms = n->now_ms + HEAD_POLL_MS;
}

/* Updates node::conf_verified_ms from the hello @h of a peer that has the same
   configuration version as this instance.  The peer verified that this version
   is current hello::conf_age_ms before it sent @h, and it sent @h later than
   hello::echo_ms, at which this instance sent the hello that @h echoes.  So on
   this instance's clock the peer's verification took place no earlier than
   echo_ms - conf_age_ms. */
static void
verify_conf_by_hello (struct node *n, const struct hello *h)
{
  if (h->conf_version > n->head.version)
    {
      n->next_head_ms = n->now_ms;
      return;
    }
  if (h->conf_version < n->head.version || h->echo_boot != n->settings.boot
      || h->echo_ms == 0 || n->head.version == 0)
    return;
  int64_t verified_ms = h->echo_ms - h->conf_age_ms;
  if (verified_ms > n->conf_verified_ms)
    n->conf_verified_ms = verified_ms;
}

/* Updates node::conf_verified_ms from the latest hellos of all peers.  Only an
   entry instance can change the configuration.  If no entry instance has
   another version or a change in progress, the version in force is current,
   even while the platform is unreachable. */
static void
verify_conf_by_peers (struct node *n)
{
  int64_t verified_ms = n->now_ms;

  if (n->head.version == 0 || !n->list_known || entry_apply_in_progress (n))
    return;
  for (int i = 0; i < n->n_peers; i++)
    {
      const struct hello *h = &n->peers[i].hello;
      if (!n->peers[i].last_contact_ms || h->conf_version != n->head.version
          || h->apply_in_progress || h->echo_boot != n->settings.boot
          || h->echo_ms == 0)
        return;
      if (h->echo_ms < verified_ms)
        verified_ms = h->echo_ms;
    }
  if (verified_ms > n->conf_verified_ms)
    n->conf_verified_ms = verified_ms;
}

/* Handles a hello from a peer. */
static void
handle_hello (struct node *n, const struct pmsg *m)
{
  struct peer *p = node_get_peer (n, m->from);

  if (!p)
    return;
  if (p->boot != m->boot)
    p->slots_reported = false;
  p->boot = m->boot;
  p->last_contact_ms = n->now_ms;
  p->hello_sent_ms = m->u.hello.sent_ms;
  p->hello = m->u.hello;
  clb_copy (p->domain, m->u.hello.domain, sizeof p->domain);
  if (*m->u.hello.addr)
    clb_copy (p->addr, m->u.hello.addr, sizeof p->addr);
  if (strcmp (p->domain, n->settings.domain) == 0)
    role_hello (&n->role, m->from, m->boot, &m->u.hello);
  verify_conf_by_hello (n, &m->u.hello);
  verify_conf_by_peers (n);
}

bool
node_conf_fresh (const struct node *n)
{
  return n->head.version > 0
         && n->now_ms - n->conf_verified_ms < CONF_FRESH_MS;
}

/* Slots in use, for which a new lease holder queries all entry instances. */

/* Queries the peers for their slots in use, if this instance has started a
   scheduler that does not know the free slots yet.  The scheduler knows which
   slots are free once all reachable peers have answered and
   FREE_SLOTS_DELAY_MS have passed. */
static void
held_slots_tick (struct node *n)
{
  struct sched *s = n->sched;
  bool all_reported = true;

  if (!s || s->slots_known || s->phase != SCHED_READY)
    return;
  for (int i = 0; i < n->n_peers; i++)
    {
      struct peer *p = &n->peers[i];
      if (p->slots_reported || !peer_reachable (n, p))
        continue;
      all_reported = false;
      if (n->now_ms - p->slots_query_ms < SLOTS_QUERY_PERIOD_MS)
        continue;
      struct pmsg m = { .kind = PM_HELD_SLOTS_QUERY };
      p->slots_query_ms = n->now_ms;
      node_send (n, p->id, &m);
    }
  /* A paused instance cannot answer.  When it continues, the slots that were
     granted to it are too old to be used. */
  if (!all_reported || n->now_ms - s->started_ms < FREE_SLOTS_DELAY_MS)
    return;
  struct held_list own_slots = { .n_items = 0 };
  entry_held_slots (n, &own_slots);
  sched_used_slots (s, &own_slots);
  free (own_slots.items);
  s->slots_known = true;
  s->placement_due = true;
}

/* Reports the slots that this instance uses to the new lease holder @to. */
static void
report_held_slots (struct node *n, const char *to)
{
  struct pmsg m = { .kind = PM_HELD_SLOTS };

  entry_held_slots (n, &m.u.held);
  node_send (n, to, &m);
}

static void
handle_held_slots (struct node *n, const struct pmsg *m)
{
  struct peer *p = node_get_peer (n, m->from);

  if (!p || !n->sched)
    return;
  sched_used_slots (n->sched, &m->u.held);
  p->slots_reported = true;
}

/* Handles a message from a peer, or from this instance to itself. */
static void
handle_peer_msg (struct node *n, const struct pmsg *m)
{
  switch (m->kind)
    {
    case PM_HELLO:
      handle_hello (n, m);
      break;
    case PM_CALL:
      if (n->sched)
        sched_handle_call (n->sched, m->from, &m->u.call);
      break;
    case PM_REPLY:
      entry_reply (n, &m->u.reply);
      break;
    case PM_HANDOVER:
      role_handover (&n->role);
      break;
    case PM_PROMISE_REQUEST:
      if (strcmp (m->u.promise.domain, n->settings.domain) == 0)
        role_promise_request (&n->role, m->from, m->boot, &m->u.promise);
      break;
    case PM_PROMISE:
      role_promise (&n->role, m->from, m->boot, &m->u.promise);
      break;
    case PM_HELD_SLOTS_QUERY:
      report_held_slots (n, m->from);
      break;
    case PM_HELD_SLOTS:
      handle_held_slots (n, m);
      break;
    }
}

/* Reading and installing the configuration. */

void
node_install_conf (struct node *n, const struct head_row *head, int64_t ver,
                   const char *text)
{
  struct conf *c = calloc (1, sizeof *c);
  struct codec_err ce;

  if (!c)
    abort ();
  /* Manifests are checked before they are written.  If this one is damaged,
     the old configuration stays in force. */
  if (head->version <= n->head.version
      || conf_parse (text, strlen (text), c, &ce))
    {
      free (c);
      return;
    }
  c->version = head->version;
  n->head = *head;
  n->head_ver = ver;
  if (n->sched)
    sched_conf (n->sched, c);
  conf_free (n->conf);
  free (n->conf);
  n->conf = c;
  struct out *o = out_new (&n->out, OUT_EVENT);
  o->u.event.time_ms = n->now_ms;
  o->u.event.reason = WHY_CONFIG;
  o->u.event.detail = c->version;
  clb_copy (o->u.event.instance_id, n->settings.id,
            sizeof o->u.event.instance_id);
  /* Notify the peers of the new version at once, so that they read it before
     their next poll of the head row is due. */
  n->next_hello_ms = n->now_ms;
}

/* Reads the manifest that @head names.  @ver is the row version of @head. */
static void
read_manifest (struct node *n, const struct head_row *head, int64_t ver)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char name[CLB_ID_MAX] = "manifest-";

  strcat (name, head->hash);
  n->manifest_head = *head;
  n->manifest_head_ver = ver;
  n->manifest_sent_ms = n->head_sent_ms;
  o->u.store.token = n->manifest_token = ++n->last_token;
  o->u.store.op.kind = STORE_OBJ_GET;
  o->u.store.op.key = strdup (name);
}

static void
handle_head (struct node *n, const struct store_rep *rep)
{
  struct head_row head;
  struct codec_err ce;

  n->head_token = 0;
  if (rep->err || rep->n_rows == 0 || !rep->rows[0].value)
    return;
  const char *text = rep->rows[0].value;
  if (codec_parse (&head_row_desc, text, strlen (text), CODEC_LENIENT, &head,
                   &ce))
    return;
  if (head.version == n->head.version)
    {
      n->head_ver = rep->rows[0].ver;
      if (n->head_sent_ms > n->conf_verified_ms)
        n->conf_verified_ms = n->head_sent_ms;
    }
  else if (head.version > n->head.version && !n->manifest_token)
    read_manifest (n, &head, rep->rows[0].ver);
}

static void
handle_manifest (struct node *n, const struct store_rep *rep)
{
  n->manifest_token = 0;
  if (rep->err || rep->n_rows == 0 || !rep->rows[0].value)
    return;
  node_install_conf (n, &n->manifest_head, n->manifest_head_ver,
                     rep->rows[0].value);
  if (n->head.version == n->manifest_head.version
      && n->manifest_sent_ms > n->conf_verified_ms)
    n->conf_verified_ms = n->manifest_sent_ms;
}

/* The platform's list of instances. */

static void
read_inst_list (struct node *n)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char known_ver[24];

  o->u.store.token = n->list_token = ++n->last_token;
  o->u.store.op.kind = STORE_INSTANCES;
  snprintf (known_ver, sizeof known_ver, "%lld", (long long)n->list_ver);
  if (n->list_known)
    o->u.store.op.after = strdup (known_ver);
  n->list_sent_ms = n->now_ms;
  n->next_list_ms = n->now_ms + INST_LIST_POLL_MS;
}

/* Updates the peers from the list of instances.  Removes peers that are not in
   the list and from which no hello came for 10 * PEER_UNREACHABLE_MS. */
static void
update_peers (struct node *n)
{
  for (int i = 0; i < n->n_peers; i++)
    n->peers[i].listed = false;
  for (size_t i = 0; i < n->list.n_items; i++)
    {
      const struct inst *inst = &n->list.items[i];
      struct peer *p
          = inst->kind == INST_ENTRY ? node_get_peer (n, inst->id) : NULL;
      if (!p)
        continue;
      p->listed = true;
      clb_copy (p->domain, inst->domain, sizeof p->domain);
      clb_copy (p->addr, inst->addr, sizeof p->addr);
    }
  for (int i = 0; i < n->n_peers; i++)
    if (!n->peers[i].listed
        && n->now_ms - n->peers[i].last_contact_ms > 10 * PEER_UNREACHABLE_MS)
      n->peers[i--] = n->peers[--n->n_peers];
}

static void
handle_inst_list (struct node *n, const struct store_rep *rep)
{
  struct inst_list list;
  struct codec_err ce;

  n->list_token = 0;
  if (rep->err)
    return;
  /* A reply without rows means that the list has not changed since version
     list_ver. */
  if (rep->n_rows == 0 && n->list_known)
    {
      n->list_confirmed_ms = n->list_sent_ms;
      if (n->sched)
        n->sched->list_ms = n->list_confirmed_ms;
      return;
    }
  if (rep->n_rows == 0 || !rep->rows[0].value)
    return;
  const char *text = rep->rows[0].value;
  if (codec_parse (&inst_list_desc, text, strlen (text), CODEC_LENIENT, &list,
                   &ce))
    return;
  codec_free (&inst_list_desc, &n->list);
  n->list = list;
  n->list_known = true;
  n->list_ver = rep->rows[0].ver;
  n->list_confirmed_ms = n->list_sent_ms;
  update_peers (n);
  role_instances (&n->role, &n->list);
  if (n->sched)
    sched_instances (n->sched, &n->list, n->list_confirmed_ms);
}

/* Gives up reads that had no reply within their timeout, and sends the reads
   that are due. */
static void
platform_tick (struct node *n)
{
  if (n->head_token && n->now_ms - n->head_sent_ms > READ_TIMEOUT_MS)
    n->head_token = 0;
  if (n->list_token && n->now_ms - n->list_sent_ms > READ_TIMEOUT_MS)
    n->list_token = 0;
  if (n->manifest_token
      && n->now_ms - n->manifest_sent_ms > 4 * READ_TIMEOUT_MS)
    n->manifest_token = 0;
  if (!n->head_token && n->now_ms >= n->next_head_ms)
    read_head (n);
  if (!n->list_token && n->now_ms >= n->next_list_ms)
    read_inst_list (n);
}

/* The domain's lease and scheduler. */

static void
start_sched (struct node *n)
{
  n->sched = sched_new (n->settings.domain, n->settings.id, n->settings.boot,
                        n->role.epoch, n->role.epoch_ver, n->now_ms, n->conf,
                        &n->out, &n->last_token);
  if (n->settings.snap_every)
    n->sched->snap_every = n->settings.snap_every;
  if (n->list_known)
    sched_instances (n->sched, &n->list, n->list_confirmed_ms);
  for (int i = 0; i < n->n_peers; i++)
    n->peers[i].slots_reported = false;
  n->next_hello_ms = n->now_ms;
}

static void
stop_sched (struct node *n)
{
  sched_free (n->sched);
  n->sched = NULL;
  n->next_hello_ms = n->now_ms;
}

/* Queues an event for a change of this instance's role, for the log and for
   watchers. */
static void
report_role_change (struct node *n, int reason)
{
  struct out *o = out_new (&n->out, OUT_EVENT);

  o->u.event.time_ms = n->now_ms;
  o->u.event.reason = reason;
  clb_copy (o->u.event.instance_id, n->settings.id,
            sizeof o->u.event.instance_id);
  n->stats.role_changes[reason]++;
}

/* Queues an event when an extension of the lease by promises begins, and when
   the table service becomes unreachable or reachable.  @until is the result of
   role_valid_until(). */
static void
report_extension (struct node *n, int64_t until)
{
  bool extended = n->now_ms < until && n->now_ms >= n->role.lease_until_ms;

  if (extended && !n->lease_extended)
    report_role_change (n, WHY_LEASE_EXTENDED);
  n->lease_extended = extended;
  if (n->store_down != !n->role.store_up && n->role.state == ROLE_HOLDER)
    {
      n->store_down = !n->role.store_up;
      report_role_change (n, n->store_down ? WHY_STORE_DOWN : WHY_STORE_BACK);
    }
}

/* Handles the timers of the election, and starts, updates or frees the
   domain's scheduler as the lease requires. */
static void
update_role (struct node *n)
{
  struct sched *s;

  n->role.now_ms = n->now_ms;
  role_tick (&n->role);
  if (n->sched && n->sched->phase == SCHED_SUPERSEDED)
    role_lease_lost (&n->role);
  if (n->sched
      && (n->role.state != ROLE_HOLDER || n->role.epoch != n->sched->epoch))
    {
      report_role_change (n,
                          n->stopping ? WHY_LEASE_RELEASED : WHY_LEASE_LOST);
      stop_sched (n);
    }
  if (!n->sched && n->role.state == ROLE_HOLDER && !n->stopping)
    start_sched (n);
  s = n->sched;
  if (!s)
    return;
  int64_t until = role_valid_until (&n->role);
  report_extension (n, until);
  s->now_ms = n->now_ms;
  s->may_start = n->now_ms < until;
  s->conf_fresh = node_conf_fresh (n);
  s->store_up = n->role.store_up;
  s->lapsed_since_ms = s->may_start ? 0 : until;
}

/* Continues a shutdown: releases the lease once no write is outstanding, and
   notifies the domain's other entry instances.  While the table service is
   unreachable, the shutdown waits at most LAPSED_RENEW_MS, the time for which
   a scheduler whose lease has expired still renews its tasks' leases. */
static void
shutdown_tick (struct node *n)
{
  if (!n->stopping || n->handed_over)
    return;
  if (n->now_ms - n->stop_requested_ms >= LAPSED_RENEW_MS)
    {
      n->handed_over = true;
      return;
    }
  if (n->sched)
    {
      n->sched->stopping = true;
      if (n->sched->phase == SCHED_READY && !sched_idle (n->sched))
        return;
    }
  if (!role_release (&n->role))
    return;
  n->handed_over = true;
  for (int i = 0; i < n->n_peers; i++)
    if (strcmp (n->peers[i].domain, n->settings.domain) == 0)
      {
        struct pmsg m = { .kind = PM_HANDOVER };
        clb_copy (m.u.promise.domain, n->settings.domain,
                  sizeof m.u.promise.domain);
        node_send (n, n->peers[i].id, &m);
      }
}

/* Runs the timers of all parts of the node.  Called after each input. */
static void
run_timers (struct node *n)
{
  update_role (n);
  platform_tick (n);
  held_slots_tick (n);
  if (n->sched)
    sched_tick (n->sched);
  entry_tick (n);
  shutdown_tick (n);
  send_hellos (n);
}

/* Inputs of the node. */

/* Sets the current time of the node and its parts. */
static void
set_now (struct node *n, int64_t now_ms)
{
  n->now_ms = now_ms;
  n->role.now_ms = now_ms;
  if (n->sched)
    n->sched->now_ms = now_ms;
}

void
node_tick (struct node *n, int64_t now_ms)
{
  set_now (n, now_ms);
  run_timers (n);
}

void
node_peer_msg (struct node *n, int64_t now_ms, const struct pmsg *m)
{
  set_now (n, now_ms);
  handle_peer_msg (n, m);
  run_timers (n);
}

void
node_store_reply (struct node *n, int64_t now_ms, uint64_t token,
                  const struct store_rep *rep)
{
  set_now (n, now_ms);
  if (rep->err == CLB_EUNAVAIL || rep->err == CLB_EOUTCOME)
    n->stats.store_errors++;
  if (token == n->head_token)
    handle_head (n, rep);
  else if (token == n->manifest_token)
    handle_manifest (n, rep);
  else if (token == n->list_token)
    handle_inst_list (n, rep);
  else if (!apply_store_reply (n, token, rep)
           && !role_store_reply (&n->role, token, rep) && n->sched)
    sched_handle_store_reply (n->sched, token, rep);
  run_timers (n);
}

void
node_sync_done (struct node *n, int64_t now_ms, const char *worker,
                int64_t seq, const struct sync_rep *rep)
{
  set_now (n, now_ms);
  if (n->sched)
    sched_handle_sync_reply (n->sched, worker, seq, rep);
  run_timers (n);
}

void
node_stop (struct node *n, int64_t now_ms)
{
  set_now (n, now_ms);
  n->stopping = true;
  n->stop_requested_ms = now_ms;
  n->next_hello_ms = now_ms;
  run_timers (n);
}

bool
node_stopped (const struct node *n)
{
  return n->handed_over && n->n_pending == 0;
}

struct out *
node_next_out (struct node *n)
{
  struct out *o;

  while ((o = out_take (&n->out)))
    {
      if (o->kind != OUT_PEER || strcmp (o->u.peer.to, n->settings.id) != 0)
        return o;
      /* The message is to this instance itself, such as a call to its own
         scheduler. */
      handle_peer_msg (n, &o->u.peer.msg);
      out_free (o);
      if (n->sched)
        sched_tick (n->sched);
    }
  return NULL;
}
