#include "role.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  FOLLOW_POLL_MS = 1000, /* between looks at the row */
  OP_TIMEOUT_MS = 2500,  /* a store operation without an answer */
  CLAIM_OPEN_MS = 6000,  /* a lost claim can take effect this long */
  ASK_PERIOD_MS = 500,   /* between rounds of promises */
  PROMISE_MS = 3000,     /* how long one promise binds */
  PEER_GONE_MS = 30000,  /* silent and unlisted: no longer a member */
  KEY_SIZE = 128,
};

void
role_init (struct role *r, const char *domain, const char *me, int64_t boot,
           int64_t now_ms, struct outq *out, uint64_t *tokens)
{
  memset (r, 0, sizeof *r);
  clb_copy (r->domain, domain, sizeof r->domain);
  clb_copy (r->self_id, me, sizeof r->self_id);
  r->boot = boot;
  r->now_ms = now_ms;
  r->row_changed_ms = now_ms;
  r->out = out;
  r->tokens = tokens;
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

static struct store_op *
op_new (struct role *r, int kind)
{
  struct out *o = out_new (r->out, OUT_STORE);

  o->u.store.token = r->token = ++*r->tokens;
  o->u.store.op.kind = kind;
  r->op_sent_ms = r->now_ms;
  return &o->u.store.op;
}

static void
read_row (struct role *r)
{
  char key[KEY_SIZE];

  lease_key (r, key);
  op_new (r, STORE_GET)->key = strdup (key);
  r->next_op_ms = r->now_ms + FOLLOW_POLL_MS;
}

static void
write_row (struct role *r, const struct lease_row *row, bool claim)
{
  struct store_op *op = op_new (r, STORE_TXN);
  clb_auto char *text = codec_text (&lease_row_desc, row);
  char key[KEY_SIZE];

  lease_key (r, key);
  store_cond (op, key, r->row_ver);
  store_put (op, key, text);
  if (!claim)
    return;
  char number[32];
  epoch_key (r, key);
  snprintf (number, sizeof number, "%lld", (long long)row->epoch);
  store_put (op, key, number);
}

static bool
row_is_mine (const struct role *r)
{
  return strcmp (r->row.holder, r->self_id) == 0 && r->row.boot == r->boot;
}

static void
renew (struct role *r)
{
  struct lease_row row = r->row;

  row.heartbeat++;
  if (r->handing_over)
    row.holder[0] = '\0';
  write_row (r, &row, false);
  r->next_op_ms = r->now_ms + RENEW_MS;
}

static void
claim (struct role *r)
{
  struct lease_row row = { .boot = r->boot, .epoch = r->row.epoch + 1 };

  clb_copy (row.holder, r->self_id, sizeof row.holder);
  row.heartbeat = r->row.heartbeat + 1;
  r->state = ROLE_CLAIMING;
  r->claim_sent_ms = r->now_ms;
  r->next_claim_ms = r->now_ms + RENEW_MS;
  r->claim_uncertain = true;
  write_row (r, &row, true);
}

static struct role_peer *
peer_find (struct role *r, const char *id)
{
  for (int i = 0; i < r->n_peers; i++)
    if (strcmp (r->peers[i].id, id) == 0)
      return &r->peers[i];
  return NULL;
}

/* The holder might go on without the table, so it must be known to be away. */
static bool
holder_may_be_active (struct role *r)
{
  struct role_peer *p = peer_find (r, r->row.holder);

  if (r->now_ms < r->promise_until_ms)
    return true;
  if (p && p->boot == r->row.boot && r->now_ms - p->last_contact_ms < LEASE_MS)
    return true;
  /* A holder that counts this instance a member needs its promise. */
  if (p && p->boot == r->row.boot && p->knows_self)
    return false;
  /* Another process under the holder's name: that holder is gone. */
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

/* Takes over what a read or a conflict has shown of the row. */
static void
saw_row (struct role *r, const struct row *row)
{
  struct codec_err ce;
  struct lease_row lr = { .epoch = 0 };

  if (row && row->value
      && codec_parse (&lease_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &lr, &ce))
    return;
  int64_t ver = row ? row->ver : 0;
  if (!r->row_known || ver != r->row_ver)
    r->row_changed_ms = r->now_ms;
  r->row = lr;
  r->row_ver = ver;
  r->row_known = true;
}

static void
hold (struct role *r, int64_t epoch_ver)
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
  r->token = 0;
  r->next_op_ms = r->now_ms;
}

static const struct row *
row_named (const struct store_rep *rep, const char *key)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      return &rep->rows[i];
  return NULL;
}

static void
claim_answer (struct role *r, const struct store_rep *rep)
{
  char key[KEY_SIZE];
  const struct row *row;

  lease_key (r, key);
  if (rep->err == CLB_ECONFLICT || rep->err == CLB_EUNAVAIL)
    {
      r->state = ROLE_FOLLOWER;
      r->claim_uncertain = false;
      r->next_op_ms = r->now_ms + RENEW_MS;
      /* The row that this claim was made from is not the row any more. */
      if (rep->err == CLB_ECONFLICT)
        saw_row (r, row_named (rep, key));
      return;
    }
  if (rep->err)
    {
      r->state = ROLE_CHECKING;
      r->next_op_ms = r->now_ms + RENEW_MS;
      return;
    }
  row = row_named (rep, key);
  r->row_ver = row ? row->ver : 0;
  clb_copy (r->row.holder, r->self_id, sizeof r->row.holder);
  r->row.boot = r->boot;
  r->row.epoch++;
  r->row.heartbeat++;
  epoch_key (r, key);
  row = row_named (rep, key);
  hold (r, row ? row->ver : 0);
}

static void
check_answer (struct role *r, const struct store_rep *rep)
{
  if (rep->err && rep->err != CLB_ENOTFOUND)
    return;
  saw_row (r, rep->n_rows ? &rep->rows[0] : NULL);
  /* The claim took effect, but the epoch row's version is not known, so this
     epoch is given up for a fresh one. */
  if (row_is_mine (r))
    claim (r);
  else if (r->now_ms - r->claim_sent_ms >= CLAIM_OPEN_MS)
    {
      r->state = ROLE_FOLLOWER;
      r->claim_uncertain = false;
    }
}

static void
renew_answer (struct role *r, const struct store_rep *rep)
{
  char key[KEY_SIZE];
  const struct row *row;

  lease_key (r, key);
  row = row_named (rep, key);
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
  saw_row (r, row);
  /* An earlier renewal took effect and its answer was lost: renew again. */
  if (row_is_mine (r) && r->row.epoch == r->epoch)
    r->next_op_ms = r->now_ms;
  else
    role_lease_lost (r);
}

bool
role_store (struct role *r, uint64_t token, const struct store_rep *rep)
{
  if (token == 0 || token != r->token)
    return false;
  r->token = 0;
  r->store_up = rep->err != CLB_EUNAVAIL && rep->err != CLB_EUNKNOWN;
  switch (r->state)
    {
    case ROLE_CLAIMING:
      claim_answer (r, rep);
      break;
    case ROLE_CHECKING:
      check_answer (r, rep);
      break;
    case ROLE_HOLDER:
      renew_answer (r, rep);
      break;
    default:
      if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
        saw_row (r, rep->n_rows ? &rep->rows[0] : NULL);
      if (r->read_again)
        r->next_op_ms = r->now_ms;
      r->read_again = false;
      break;
    }
  return true;
}

/* Peers and promises. */

void
role_hello (struct role *r, const char *from, int64_t boot,
            const struct hello *h)
{
  struct role_peer *p = peer_find (r, from);

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
      struct role_peer *p = peer_find (r, list->items[i].id);
      if (p)
        p->listed = true;
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
  struct role_peer *peer = peer_find (r, from);

  if (!peer || peer->boot != boot || !p->granted || p->epoch != r->epoch
      || p->seq != peer->promise_seq)
    return;
  /* Counted from before it was asked, so it ends here first. */
  peer->promised_until_ms
      = peer->promise_request_ms + p->duration_ms - LEASE_MARGIN_MS;
}

static void
drop_gone_peers (struct role *r)
{
  for (int i = 0; i < r->n_peers; i++)
    if (!r->peers[i].listed
        && r->now_ms - r->peers[i].last_contact_ms > PEER_GONE_MS)
      {
        r->peers[i] = r->peers[--r->n_peers];
        i--;
      }
}

static void
ask_promises (struct role *r)
{
  struct promise p = { .epoch = r->epoch, .duration_ms = PROMISE_MS };

  clb_copy (p.domain, r->domain, sizeof p.domain);
  p.seq = ++r->promise_seq;
  for (int i = 0; i < r->n_peers; i++)
    {
      r->peers[i].promise_request_ms = r->now_ms;
      r->peers[i].promise_seq = p.seq;
      send_promise (r, PM_PROMISE_REQUEST, r->peers[i].id, &p);
    }
  r->next_promise_ms = r->now_ms + ASK_PERIOD_MS;
}

/* The lease by the peers: all of them have promised to wait. */
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
  int64_t promised;

  if (r->state != ROLE_HOLDER || r->handing_over)
    return 0;
  if (r->store_up || r->lease_until_ms > r->now_ms)
    return r->lease_until_ms;
  promised = promised_until (r);
  return promised > r->lease_until_ms ? promised : r->lease_until_ms;
}

void
role_handover (struct role *r)
{
  if (r->state == ROLE_FOLLOWER)
    r->next_op_ms = r->now_ms;
  /* A read under way may have seen the row as it was before. */
  r->read_again = r->token != 0;
}

bool
role_release (struct role *r)
{
  r->stopping = true;
  if (r->state != ROLE_HOLDER)
    return r->state == ROLE_FOLLOWER;
  if (!r->handing_over && !r->token)
    {
      r->handing_over = true;
      r->next_op_ms = r->now_ms;
    }
  return false;
}

static void
op_timeout (struct role *r)
{
  struct store_rep rep = { .err = CLB_EUNKNOWN };

  role_store (r, r->token, &rep);
}

void
role_tick (struct role *r)
{
  drop_gone_peers (r);
  if (r->token && r->now_ms - r->op_sent_ms > OP_TIMEOUT_MS)
    op_timeout (r);
  if (r->state == ROLE_HOLDER && !r->handing_over
      && r->lease_until_ms - r->now_ms < LEASE_MS - 2 * RENEW_MS
      && r->now_ms >= r->next_promise_ms)
    ask_promises (r);
  if (r->token)
    return;
  if (r->state == ROLE_FOLLOWER && may_claim (r)
      && r->now_ms >= r->next_claim_ms)
    claim (r);
  else if (r->now_ms >= r->next_op_ms)
    {
      if (r->state == ROLE_HOLDER)
        renew (r);
      else
        read_row (r);
    }
}
