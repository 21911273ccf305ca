/* Election of the entry instance that schedules a domain: its lease row,
   claims of the lease, and promises not to claim it. */
#include "role.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Period in which a follower reads the lease row. */
  LEASE_ROW_POLL_MS = 1000,
  /* Timeout of a store operation. */
  STORE_OP_TIMEOUT_MS = 2500,
  /* Time after which a claim of unknown outcome can no longer take effect. */
  CLAIM_UNCERTAIN_MS = 6000,
  /* Period of the holder's requests for promises. */
  PROMISE_PERIOD_MS = 500,
  /* Time for which one promise is valid. */
  PROMISE_MS = 3000,
  /* A peer is no longer a member of the domain if the platform's list of
     instances does not name it and no hello came from it for this time. */
  PEER_REMOVE_MS = 30000,
  /* Size of a row key, in bytes including the NUL. */
  KEY_SIZE = 128,
};

void
role_init (struct role *r, const char *domain, const char *self_id,
           int64_t boot, int64_t now_ms, struct outq *out,
           uint64_t *last_token)
{
  memset (r, 0, sizeof *r);
  clb_copy (r->domain, domain, sizeof r->domain);
  clb_copy (r->self_id, self_id, sizeof r->self_id);
  r->boot = boot;
  r->now_ms = now_ms;
  r->row_changed_ms = now_ms;
  r->out = out;
  r->last_token = last_token;
}

static void
lease_key (const struct role *r, char out[KEY_SIZE])
{
  snprintf (out, KEY_SIZE, "lease/%s", r->domain);
}

static void
epoch_key (const struct role *r, char out[KEY_SIZE])
{
  snprintf (out, KEY_SIZE, "epoch/%s", r->domain);
}

/* Queues a store operation of @kind and returns it, for the caller to fill in.
   The reply is passed to role_store_reply(). */
static struct store_op *
new_store_op (struct role *r, int kind)
{
  struct out *o = out_new (r->out, OUT_STORE);

  o->u.store.token = r->store_token = ++*r->last_token;
  o->u.store.op.kind = kind;
  r->op_sent_ms = r->now_ms;
  return &o->u.store.op;
}

static void
read_lease_row (struct role *r)
{
  char key[KEY_SIZE];

  lease_key (r, key);
  new_store_op (r, STORE_GET)->key = strdup (key);
  r->next_op_ms = r->now_ms + LEASE_ROW_POLL_MS;
}

/* Writes the lease row, on condition that it has not changed since it was last
   read.  If @claim is true, also writes the epoch row, on which the
   scheduler's writes depend. */
static void
write_lease_row (struct role *r, const struct lease_row *row, bool claim)
{
  struct store_op *op = new_store_op (r, STORE_TXN);
  clb_auto char *text = codec_text (&lease_row_desc, row);
  char key[KEY_SIZE];

  lease_key (r, key);
  store_cond (op, key, r->row_ver);
  store_put (op, key, text);
  if (!claim)
    return;
  char epoch_text[32];
  epoch_key (r, key);
  snprintf (epoch_text, sizeof epoch_text, "%lld", (long long)row->epoch);
  store_put (op, key, epoch_text);
}

static bool
row_names_self (const struct role *r)
{
  return strcmp (r->row.holder, r->self_id) == 0 && r->row.boot == r->boot;
}

/* Renews the lease.  If handing_over is set, releases the lease instead. */
static void
renew_lease (struct role *r)
{
  struct lease_row row = r->row;

  row.heartbeat++;
  if (r->handing_over)
    row.holder[0] = '\0';
  write_lease_row (r, &row, false);
  r->next_op_ms = r->now_ms + RENEW_MS;
}

/* Claims the lease for this instance, with the next epoch. */
static void
claim_lease (struct role *r)
{
  struct lease_row row = { .boot = r->boot, .epoch = r->row.epoch + 1 };

  clb_copy (row.holder, r->self_id, sizeof row.holder);
  row.heartbeat = r->row.heartbeat + 1;
  r->state = ROLE_CLAIMING;
  r->claim_sent_ms = r->now_ms;
  r->next_claim_ms = r->now_ms + RENEW_MS;
  r->claim_uncertain = true;
  write_lease_row (r, &row, true);
}

static struct role_peer *
find_peer (struct role *r, const char *id)
{
  for (int i = 0; i < r->n_peers; i++)
    if (strcmp (r->peers[i].id, id) == 0)
      return &r->peers[i];
  return NULL;
}

/* Returns whether the holder named in the lease row may still be active.  It
   may have extended its lease by promises, without writing the row, so a claim
   needs proof that it is not active. */
static bool
holder_may_be_active (struct role *r)
{
  struct role_peer *p = find_peer (r, r->row.holder);

  if (r->now_ms < r->promise_until_ms)
    return true;
  if (p && p->boot == r->row.boot && r->now_ms - p->last_contact_ms < LEASE_MS)
    return true;
  /* A holder that counts this instance as a member cannot extend its lease
     without a promise of this instance, and none is valid now. */
  if (p && p->boot == r->row.boot && p->knows_self)
    return false;
  /* The holder's instance has restarted, so the process that held the lease
     has ended. */
  if (p && p->boot != r->row.boot)
    return false;
  return strcmp (r->row.holder, r->self_id) != 0
         && (!r->list_known || (p && p->listed));
}

static bool
may_claim (struct role *r)
{
  if (!r->row_known || r->stopping || !r->store_up)
    return false;
  if (r->now_ms < r->promise_until_ms)
    return false;
  if (!*r->row.holder)
    return true;
  if (r->now_ms - r->row_changed_ms < LEASE_MS + LEASE_MARGIN_MS)
    return false;
  return !holder_may_be_active (r);
}

/* Updates role::row from a reply.  @row is NULL if the table has no lease
   row. */
static void
update_lease_row (struct role *r, const struct row *row)
{
  struct codec_err ce;
  struct lease_row lease = { .epoch = 0 };

  if (row && row->value
      && codec_parse (&lease_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &lease, &ce))
    return;
  int64_t ver = row ? row->ver : 0;
  if (!r->row_known || ver != r->row_ver)
    r->row_changed_ms = r->now_ms;
  r->row = lease;
  r->row_ver = ver;
  r->row_known = true;
}

/* Makes this instance the holder after a successful claim.  @epoch_ver is the
   row version of the epoch row. */
static void
become_holder (struct role *r, int64_t epoch_ver)
{
  r->state = ROLE_HOLDER;
  r->epoch = r->row.epoch;
  r->epoch_ver = epoch_ver;
  r->claim_uncertain = false;
  r->lease_until_ms = r->claim_sent_ms + LEASE_MS - LEASE_MARGIN_MS;
  r->next_op_ms = r->now_ms + RENEW_MS;
}

void
role_lease_lost (struct role *r)
{
  r->state = ROLE_FOLLOWER;
  r->lease_until_ms = 0;
  r->row_known = false;
  r->store_token = 0;
  r->next_op_ms = r->now_ms;
}

/* Returns the row of @rep with the key @key, or NULL. */
static const struct row *
row_by_key (const struct store_rep *rep, const char *key)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      return &rep->rows[i];
  return NULL;
}

/* Handles the reply to a claim. */
static void
handle_claim_reply (struct role *r, const struct store_rep *rep)
{
  char key[KEY_SIZE];
  const struct row *row;

  lease_key (r, key);
  if (rep->err == CLB_ECONFLICT || rep->err == CLB_EUNAVAIL)
    {
      r->state = ROLE_FOLLOWER;
      r->claim_uncertain = false;
      r->next_op_ms = r->now_ms + RENEW_MS;
      /* The lease row has changed since this claim was made. */
      if (rep->err == CLB_ECONFLICT)
        update_lease_row (r, row_by_key (rep, key));
      return;
    }
  if (rep->err)
    {
      r->state = ROLE_CHECKING_CLAIM;
      r->next_op_ms = r->now_ms + RENEW_MS;
      return;
    }
  row = row_by_key (rep, key);
  r->row_ver = row ? row->ver : 0;
  clb_copy (r->row.holder, r->self_id, sizeof r->row.holder);
  r->row.boot = r->boot;
  r->row.epoch++;
  r->row.heartbeat++;
  epoch_key (r, key);
  row = row_by_key (rep, key);
  become_holder (r, row ? row->ver : 0);
}

/* Handles the reply to the read of the lease row that follows a claim of
   unknown outcome. */
static void
handle_claim_check_reply (struct role *r, const struct store_rep *rep)
{
  if (rep->err && rep->err != CLB_ENOTFOUND)
    return;
  update_lease_row (r, rep->n_rows ? &rep->rows[0] : NULL);
  /* The claim took effect, but the version of the epoch row is not known.
     Claim again, with the next epoch. */
  if (row_names_self (r))
    claim_lease (r);
  else if (r->now_ms - r->claim_sent_ms >= CLAIM_UNCERTAIN_MS)
    {
      r->state = ROLE_FOLLOWER;
      r->claim_uncertain = false;
    }
}

/* Handles the reply to a renewal or release. */
static void
handle_renew_reply (struct role *r, const struct store_rep *rep)
{
  char key[KEY_SIZE];
  const struct row *row;

  lease_key (r, key);
  row = row_by_key (rep, key);
  if (rep->err == 0 && r->handing_over)
    {
      role_lease_lost (r);
      return;
    }
  if (rep->err == 0)
    {
      r->row.heartbeat++;
      r->row_ver = row ? row->ver : 0;
      r->lease_until_ms = r->op_sent_ms + LEASE_MS - LEASE_MARGIN_MS;
      return;
    }
  if (rep->err != CLB_ECONFLICT)
    return;
  update_lease_row (r, row);
  /* The lease row has changed because an earlier renewal took effect although
     its reply was lost.  Renew again. */
  if (row_names_self (r) && r->row.epoch == r->epoch)
    r->next_op_ms = r->now_ms;
  else
    role_lease_lost (r);
}

bool
role_store_reply (struct role *r, uint64_t token, const struct store_rep *rep)
{
  if (token == 0 || token != r->store_token)
    return false;
  r->store_token = 0;
  r->store_up = rep->err != CLB_EUNAVAIL && rep->err != CLB_EOUTCOME;
  switch (r->state)
    {
    case ROLE_CLAIMING:
      handle_claim_reply (r, rep);
      break;
    case ROLE_CHECKING_CLAIM:
      handle_claim_check_reply (r, rep);
      break;
    case ROLE_HOLDER:
      handle_renew_reply (r, rep);
      break;
    default:
      if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
        update_lease_row (r, rep->n_rows ? &rep->rows[0] : NULL);
      if (r->read_again)
        r->next_op_ms = r->now_ms;
      r->read_again = false;
      break;
    }
  return true;
}

/* Peers and their promises. */

void
role_hello (struct role *r, const char *from, int64_t boot,
            const struct hello *h)
{
  struct role_peer *p = find_peer (r, from);

  if (!p)
    {
      if (r->n_peers == DOMAIN_MEMBERS_MAX)
        return;
      p = &r->peers[r->n_peers++];
      memset (p, 0, sizeof *p);
      clb_copy (p->id, from, sizeof p->id);
    }
  if (p->boot != boot)
    {
      p->promised_until_ms = 0;
      p->knows_self = false;
    }
  p->boot = boot;
  p->last_contact_ms = r->now_ms;
  p->knows_self |= h->knows_receiver;
}

void
role_instances (struct role *r, const struct inst_list *list)
{
  r->list_known = true;
  for (int i = 0; i < r->n_peers; i++)
    r->peers[i].listed = false;
  for (size_t i = 0; i < list->n_items; i++)
    {
      struct role_peer *p = find_peer (r, list->items[i].id);
      if (p)
        p->listed = true;
      /* A listed holder may be active although no hello came from it. */
      else if (strcmp (list->items[i].id, r->row.holder) == 0
               && strcmp (r->row.holder, r->self_id) != 0
               && r->n_peers < DOMAIN_MEMBERS_MAX)
        {
          p = &r->peers[r->n_peers++];
          memset (p, 0, sizeof *p);
          clb_copy (p->id, list->items[i].id, sizeof p->id);
          p->boot = r->row.boot;
          p->last_contact_ms = INT64_MIN / 2;
          p->listed = true;
        }
    }
}

bool
role_is_member (const struct role *r, const char *id, int64_t boot)
{
  for (int i = 0; i < r->n_peers; i++)
    if (strcmp (r->peers[i].id, id) == 0)
      return r->peers[i].boot == boot;
  return false;
}

/* Sends a request for a promise, or the answer to such a request.  @kind is
   PM_PROMISE_REQUEST or PM_PROMISE.  @to is the id of the receiving
   instance. */
static void
send_promise (struct role *r, int kind, const char *to,
              const struct promise *p)
{
  struct out *o = out_new (r->out, OUT_PEER);

  clb_copy (o->u.peer.to, to, sizeof o->u.peer.to);
  o->u.peer.msg.kind = kind;
  clb_copy (o->u.peer.msg.from, r->self_id, sizeof o->u.peer.msg.from);
  o->u.peer.msg.boot = r->boot;
  o->u.peer.msg.u.promise = *p;
}

void
role_promise_request (struct role *r, const char *from, int64_t boot,
                      const struct promise *p)
{
  struct promise answer = *p;

  answer.granted = r->state == ROLE_FOLLOWER && !r->claim_uncertain
                   && p->epoch >= r->row.epoch;
  if (answer.granted && r->now_ms + p->duration_ms > r->promise_until_ms)
    r->promise_until_ms = r->now_ms + p->duration_ms;
  (void)boot;
  send_promise (r, PM_PROMISE, from, &answer);
}

void
role_promise (struct role *r, const char *from, int64_t boot,
              const struct promise *p)
{
  struct role_peer *peer = find_peer (r, from);

  if (!peer || peer->boot != boot || !p->granted || p->epoch != r->epoch
      || p->seq != peer->promise_request_seq)
    return;
  /* The promise is counted from the time of the request, so that it ends for
     the holder before it ends for the peer. */
  peer->promised_until_ms
      = peer->promise_request_ms + p->duration_ms - LEASE_MARGIN_MS;
}

/* Removes peers that are no longer members of the domain. */
static void
remove_gone_peers (struct role *r)
{
  for (int i = 0; i < r->n_peers; i++)
    if (!r->peers[i].listed
        && r->now_ms - r->peers[i].last_contact_ms > PEER_REMOVE_MS)
      {
        r->peers[i] = r->peers[--r->n_peers];
        i--;
      }
}

/* Requests a promise from each peer. */
static void
request_promises (struct role *r)
{
  struct promise p = { .epoch = r->epoch, .duration_ms = PROMISE_MS };

  clb_copy (p.domain, r->domain, sizeof p.domain);
  p.seq = ++r->last_promise_seq;
  for (int i = 0; i < r->n_peers; i++)
    {
      r->peers[i].promise_request_ms = r->now_ms;
      r->peers[i].promise_request_seq = p.seq;
      send_promise (r, PM_PROMISE_REQUEST, r->peers[i].id, &p);
    }
  r->next_promise_ms = r->now_ms + PROMISE_PERIOD_MS;
}

/* Returns the time up to which all peers have promised not to claim the lease.
   The result is at most the time up to which a promise that is requested now
   would be valid. */
static int64_t
promised_until (const struct role *r)
{
  int64_t until = r->now_ms + PROMISE_MS - LEASE_MARGIN_MS;

  for (int i = 0; i < r->n_peers; i++)
    if (r->peers[i].promised_until_ms < until)
      until = r->peers[i].promised_until_ms;
  return until;
}

int64_t
role_valid_until (const struct role *r)
{
  int64_t promise_end_ms;

  if (r->state != ROLE_HOLDER || r->handing_over)
    return 0;
  if (r->store_up || r->lease_until_ms > r->now_ms)
    return r->lease_until_ms;
  promise_end_ms = promised_until (r);
  return promise_end_ms > r->lease_until_ms ? promise_end_ms
                                            : r->lease_until_ms;
}

void
role_handover (struct role *r)
{
  if (r->state == ROLE_FOLLOWER)
    r->next_op_ms = r->now_ms;
  /* An outstanding read may return the row as it was before the release. */
  r->read_again = r->store_token != 0;
}

bool
role_release (struct role *r)
{
  r->stopping = true;
  if (r->state != ROLE_HOLDER)
    return r->state == ROLE_FOLLOWER;
  if (!r->handing_over && !r->store_token)
    {
      r->handing_over = true;
      r->next_op_ms = r->now_ms;
    }
  return false;
}

/* Handles the timeout of the outstanding store operation, whose outcome is
   unknown. */
static void
handle_op_timeout (struct role *r)
{
  struct store_rep rep = { .err = CLB_EOUTCOME };

  role_store_reply (r, r->store_token, &rep);
}

void
role_tick (struct role *r)
{
  remove_gone_peers (r);
  if (r->store_token && r->now_ms - r->op_sent_ms > STORE_OP_TIMEOUT_MS)
    handle_op_timeout (r);
  if (r->state == ROLE_HOLDER && !r->handing_over
      && r->lease_until_ms - r->now_ms < LEASE_MS - 2 * RENEW_MS
      && r->now_ms >= r->next_promise_ms)
    request_promises (r);
  if (r->store_token)
    return;
  if (r->state == ROLE_FOLLOWER && may_claim (r)
      && r->now_ms >= r->next_claim_ms)
    claim_lease (r);
  else if (r->now_ms >= r->next_op_ms)
    {
      if (r->state == ROLE_HOLDER)
        renew_lease (r);
      else
        read_lease_row (r);
    }
}
