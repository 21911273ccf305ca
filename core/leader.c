/*
 * Elects the leader among the instances: reads the holder and journal rows,
 * claims leadership, and writes the leader's records; see leader.h.
 */
#include "leader.h"

#include "ablate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HOLDER LEADER_TABLE "holder"
#define KEY_JOURNAL LEADER_TABLE "journal"

/* struct holder_row - value of the holder row, which names the leader */
struct holder_row
{
  char node[CLB_ID_MAX]; /* id of the leader */
  /* Address at which other instances reach the leader. */
  char addr[CLB_ADDR_MAX];
  int64_t boot;  /* start number of the leader's process */
  int64_t epoch; /* term of the leader */
  bool released; /* true: the leader has given up leadership */
};

static const struct fld holder_fields[] = {
  FLD_CHARS (struct holder_row, node, true),
  FLD_CHARS (struct holder_row, addr, true),
  FLD_INT (struct holder_row, boot, 0, INT64_MAX),
  FLD_INT (struct holder_row, epoch, 0, INT64_MAX),
  FLD_FLAG (struct holder_row, released),
};
static DESC (holder_desc, struct holder_row, holder_fields);

/* Returns the delay of a claim by an instance with a small share of a core.
   During the delay, instances with a larger share may claim first. */
static int64_t
small_share_delay_ms (const struct leader *l)
{
  return l->millicores > 0 && l->millicores < LEADER_PREFERRED_MILLICORES
             ? LEADER_PREFERRED_MILLICORES - l->millicores
             : 0;
}

/* Returns the delay of a claim by this instance, which depends on the rank
   that the leader reported or, if no rank is known, on the share of a core. */
static int64_t
claim_delay_ms (const struct leader *l)
{
  if (l->rank < 0)
    return small_share_delay_ms (l);
  return LEADER_RANK_DELAY_MS
         * (l->rank < LEADER_RANK_MAX ? l->rank : LEADER_RANK_MAX);
}

void
leader_init (struct leader *l, int64_t now_ms, const char *id,
             const char *addr, int64_t boot, int64_t millicores,
             struct outq *out, uint64_t *last_token)
{
  memset (l, 0, sizeof *l);
  clb_copy (l->id, id, sizeof l->id);
  clb_copy (l->addr, addr, sizeof l->addr);
  l->boot = boot;
  l->millicores = millicores;
  l->rank = -1;
  l->first_claim_ms = now_ms + small_share_delay_ms (l);
  l->out = out;
  l->last_token = last_token;
}

/* Frees the write in progress, if any, and empties the list of its earlier
   sends. */
static void
discard_write (struct leader *l)
{
  l->n_attempts = 0;
  l->probe_token = 0;
  if (!l->write)
    return;
  codec_free (&store_op_desc, l->write);
  free (l->write);
  l->write = NULL;
}

void
leader_fini (struct leader *l)
{
  discard_write (l);
}

/* Queues a call to the table service.  Returns the operation of the call,
   which the function's caller fills in. */
static struct store_op *
send_call (struct leader *l, int64_t now_ms, int kind)
{
  struct out *o = out_new (l->out, OUT_STORE);

  l->token = ++*l->last_token;
  l->sent_ms = now_ms;
  o->u.store.token = l->token;
  o->u.store.op.kind = kind;
  o->u.store.op.urgent = true;
  return &o->u.store.op;
}

/* Sends a read of the holder and journal rows. */
static void
send_read (struct leader *l, int64_t now_ms)
{
  struct store_op *op = send_call (l, now_ms, STORE_LIST);

  op->key = strdup (LEADER_TABLE);
}

/* Sends a read of the holder and journal rows that shows whether the write in
   progress took effect.  The part of the table that the leader writes to
   executes one write after another, so sending the write again would delay it
   further while the table service is slow; reads do not wait for writes. */
static void
send_probe (struct leader *l, int64_t now_ms)
{
  struct out *o = out_new (l->out, OUT_STORE);

  l->probe_token = ++*l->last_token;
  l->probe_sent_ms = now_ms;
  o->u.store.token = l->probe_token;
  o->u.store.op.kind = STORE_LIST;
  o->u.store.op.urgent = true;
  o->u.store.op.key = strdup (LEADER_TABLE);
}

/* Formats into @out the value that this instance's latest write in term @epoch
   stores in the journal row.  The value holds the term, this instance's boot
   and the number of the write in the term, so that reading the row shows
   whether the write took effect. */
static void
journal_value (const struct leader *l, int64_t epoch, char out[CLB_NAME_MAX])
{
  snprintf (out, CLB_NAME_MAX, "%lld %lld %lld", (long long)epoch,
            (long long)l->boot, (long long)l->seq);
}

/* Adds to @op a put of the holder row that names this instance as the leader
   of term @epoch; @released is true if this instance gives up
   leadership. */
static void
add_holder_put (struct store_op *op, const struct leader *l, int64_t epoch,
                bool released)
{
  struct holder_row row
      = { .boot = l->boot, .epoch = epoch, .released = released };
  clb_auto char *text = NULL;

  clb_copy (row.node, l->id, sizeof row.node);
  clb_copy (row.addr, l->addr, sizeof row.addr);
  text = codec_text (&holder_desc, &row);
  store_put (op, KEY_HOLDER, text);
}

/* Claims leadership, on the condition that no other instance has written the
   holder and journal rows since they were read. */
static void
send_claim (struct leader *l, int64_t now_ms)
{
  struct store_op *op = send_call (l, now_ms, STORE_TXN);
  char value[CLB_NAME_MAX];

  l->state = LEADER_CANDIDATE;
  l->claim_sent_ms = now_ms;
  l->seq = 0;
  store_cond (op, KEY_HOLDER, l->holder_ver);
  store_cond (op, KEY_JOURNAL, l->journal_ver);
  add_holder_put (op, l, l->epoch + 1, false);
  journal_value (l, l->epoch + 1, value);
  store_put (op, KEY_JOURNAL, value);
}

/* Returns true if this instance may claim leadership before the holder and
   journal rows have been unchanged for LEADER_CLAIM_AFTER_MS.  This is allowed
   if no leader was ever elected, if the last leader has released leadership,
   or if the last leader was an earlier process of this instance and this
   instance's share of a core is not below LEADER_RECLAIM_MILLICORES. */
static bool
may_claim_early (const struct leader *l, int64_t now_ms)
{
  if (l->holder_ver == 0)
    return now_ms >= l->first_claim_ms;
  if (l->released)
    return now_ms - l->unchanged_since_ms >= claim_delay_ms (l);
  return strcmp (l->holder, l->id) == 0 && l->holder_boot != l->boot
         && (l->millicores == 0 || l->millicores >= LEADER_RECLAIM_MILLICORES);
}

/* Returns true if this instance has to claim leadership now. */
static bool
claim_due (const struct leader *l, int64_t now_ms)
{
  if (!l->rows_known || l->stopping)
    return false;
  return may_claim_early (l, now_ms)
         || now_ms - l->unchanged_since_ms
                >= LEADER_CLAIM_AFTER_MS + claim_delay_ms (l);
}

/* Returns the interval between reads of the holder and journal rows.  The
   interval is short for the followers with the largest shares of a core, and
   while the leader is unreachable. */
static int64_t
read_interval_ms (const struct leader *l, int64_t now_ms)
{
  if ((l->rank >= 0 && l->rank < LEADER_WATCHERS) || !l->rows_known
      || now_ms - l->last_contact_ms > LEADER_UNREACHABLE_MS)
    return LEADER_READ_MS;
  return LEADER_IDLE_READ_MS;
}

void
leader_handle_contact (struct leader *l, int64_t now_ms, int64_t epoch,
                       int64_t rank)
{
  if (epoch < l->epoch)
    return;
  l->last_contact_ms = now_ms;
  if (rank >= 0)
    l->rank = rank;
  /* The rows that were read last name an earlier leader and must be read
     again. */
  if (epoch > l->epoch && l->state == LEADER_FOLLOWER)
    l->rows_known = false;
}

/* Returns the delay before the outcome of an unanswered write is read, in
   milliseconds. */
static int64_t
probe_delay_ms (const struct leader *l)
{
  int64_t ms = LEADER_RESEND_FACTOR * l->latency_ms;

  if (ms < LEADER_PROBE_MIN_MS)
    return LEADER_PROBE_MIN_MS;
  return ms < LEADER_RESEND_MS ? ms : LEADER_RESEND_MS;
}

/* Returns the delay before an unanswered write is sent again although no read
   has shown that it did not take effect, in milliseconds. */
static int64_t
resend_delay_ms (const struct leader *l)
{
  int64_t call_ms = l->latency_ms > l->probe_ms ? l->latency_ms : l->probe_ms;
  int64_t ms = LEADER_RESEND_FACTOR * call_ms;

  if (ABLATED (WRITE_PROBES))
    return probe_delay_ms (l);
  return ms > LEADER_RESEND_MS ? ms : LEADER_RESEND_MS;
}

/* Prepares the write in progress to be sent again.  A write can safely be sent
   twice, as it is conditional: one send takes effect, and the other one fails
   and returns the value that the first one has written. */
static void
resend_write (struct leader *l)
{
  if (l->n_attempts < LEADER_ATTEMPTS_MAX)
    l->attempts[l->n_attempts++]
        = (struct leader_attempt){ l->token, l->sent_ms };
  l->token = 0;
  l->probe_token = 0;
}

/* Reads the outcome of the write in progress, or sends the write again, if
   either is due. */
static void
check_unanswered_write (struct leader *l, int64_t now_ms)
{
  int64_t waited_ms = now_ms - l->sent_ms;

  if (waited_ms >= resend_delay_ms (l)
      && (!l->probe_token || now_ms - l->probe_sent_ms >= resend_delay_ms (l)))
    resend_write (l);
  else if (!l->probe_token && waited_ms >= probe_delay_ms (l)
           && now_ms - l->probe_sent_ms >= LEADER_PROBE_MIN_MS)
    send_probe (l, now_ms);
}

/* Writes to the holder row that this instance has released leadership.  The
   function may be called only while no write is in progress, as a successor
   waits until the journal row no longer changes. */
static void
write_release (struct leader *l, int64_t now_ms)
{
  struct store_op *op = calloc (1, sizeof *op);

  if (!op)
    abort ();
  l->releasing = true;
  add_holder_put (op, l, l->epoch, true);
  leader_write (l, now_ms, op);
}

void
leader_tick (struct leader *l, int64_t now_ms)
{
  if (l->state == LEADER_LEADING && (l->stopping || l->yielding) && !l->write
      && !l->token)
    write_release (l, now_ms);
  if (l->state == LEADER_LEADING && l->write && l->token)
    check_unanswered_write (l, now_ms);
  if (l->state == LEADER_LEADING && l->write && !l->token
      && now_ms >= l->next_ms)
    {
      struct store_op *op = send_call (l, now_ms, STORE_TXN);
      for (size_t i = 0; i < l->write->n_conds; i++)
        store_cond (op, l->write->conds[i].key, l->write->conds[i].ver);
      for (size_t i = 0; i < l->write->n_puts; i++)
        store_put (op, l->write->puts[i].key, l->write->puts[i].value);
    }
  if (l->state != LEADER_FOLLOWER || l->token || now_ms < l->next_ms)
    return;
  /* A claim must follow a recent read of the holder and journal rows: if the
     last read is too old, the rows are read first. */
  if (claim_due (l, now_ms) && now_ms - l->sent_ms < LEADER_READ_MS)
    send_claim (l, now_ms);
  else if (!l->rows_known
           || now_ms - l->sent_ms >= read_interval_ms (l, now_ms)
           || claim_due (l, now_ms))
    send_read (l, now_ms);
}

/* Returns the row of @rep with @key, or NULL. */
static const struct row *
find_row (const struct store_rep *rep, const char *key)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      return &rep->rows[i];
  return NULL;
}

/* Sets the last known leader from the holder row @row, unless the row is
   missing (NULL) or damaged. */
static void
set_holder (struct leader *l, const struct row *row)
{
  struct holder_row h;
  struct codec_err ce;

  if (!row || !row->value
      || codec_parse (&holder_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &h, &ce))
    return;
  clb_copy (l->holder, h.node, sizeof l->holder);
  clb_copy (l->holder_addr, h.addr, sizeof l->holder_addr);
  l->holder_boot = h.boot;
  l->released = h.released;
  l->epoch = h.epoch;
}

/* Makes this instance the leader by the claim that was sent at @sent_ms;
   returns enum leader_event. */
static int
become_leader (struct leader *l, int64_t sent_ms)
{
  l->state = LEADER_LEADING;
  l->renewed_ms = sent_ms;
  clb_copy (l->holder, l->id, sizeof l->holder);
  clb_copy (l->holder_addr, l->addr, sizeof l->holder_addr);
  l->holder_boot = l->boot;
  l->released = false;
  l->releasing = false;
  l->yielding = false;
  discard_write (l);
  return LEADER_ELECTED;
}

/* Handles the answer to a read of the holder and journal rows; returns enum
   leader_event. */
static int
handle_rows_reply (struct leader *l, int64_t now_ms,
                   const struct store_rep *rep)
{
  const struct row *holder = find_row (rep, KEY_HOLDER);
  const struct row *journal = find_row (rep, KEY_JOURNAL);
  int64_t holder_ver = holder ? holder->ver : 0;
  int64_t journal_ver = journal ? journal->ver : 0;

  if (!l->rows_known || holder_ver != l->holder_ver
      || journal_ver != l->journal_ver)
    l->unchanged_since_ms = now_ms;
  l->rows_known = true;
  l->holder_ver = holder_ver;
  l->journal_ver = journal_ver;
  set_holder (l, holder);
  /* If the holder row names this process, an earlier claim of this process
     took effect and the answer to the claim was lost. */
  if (holder && strcmp (l->holder, l->id) == 0 && l->holder_boot == l->boot
      && !l->released && !l->stopping)
    return become_leader (l, l->claim_sent_ms);
  return LEADER_NO_CHANGE;
}

/* Handles the answer to a claim; returns enum leader_event. */
static int
handle_claim_reply (struct leader *l, int64_t now_ms,
                    const struct store_rep *rep)
{
  l->state = LEADER_FOLLOWER;
  if (rep->err == 0)
    {
      l->epoch++;
      l->holder_ver = rep->ver;
      l->journal_ver = rep->ver;
      return become_leader (l, l->claim_sent_ms);
    }
  /* The claim may or may not have taken effect: the holder and journal rows
     must be read. */
  l->rows_known = false;
  l->next_ms = now_ms + LEADER_RETRY_MS;
  return LEADER_NO_CHANGE;
}

/* Makes this instance a follower, as another instance has claimed leadership;
   returns enum leader_event. */
static int
become_follower (struct leader *l, int64_t now_ms)
{
  l->state = LEADER_FOLLOWER;
  l->rows_known = false;
  l->next_ms = now_ms + LEADER_RETRY_MS;
  discard_write (l);
  return LEADER_SUPERSEDED;
}

/* Ends the write in progress, which took effect; @ver is the version that the
   journal row now has.  Returns enum leader_event. */
static int
finish_write (struct leader *l, int64_t ver)
{
  l->journal_ver = ver;
  /* The first send of the write may be the one that took effect.  Other
     instances then count from that send, as the journal row has not changed
     since. */
  l->renewed_ms = l->first_sent_ms;
  discard_write (l);
  if (l->releasing)
    {
      l->state = LEADER_FOLLOWER;
      l->rows_known = false;
      return LEADER_NO_CHANGE;
    }
  return LEADER_RECORDED;
}

/* Gives up the write in progress, which the table service refuses for what it
   contains; returns enum leader_event.  Another send of it would be refused as
   well. */
static int
refuse_write (struct leader *l, int64_t now_ms)
{
  bool has_rows = l->write->n_puts > 1;

  discard_write (l);
  l->releasing = false;
  l->next_ms = now_ms + (has_rows ? 0 : LEADER_RETRY_MS);
  return LEADER_REFUSED;
}

/* Handles the answer to a send of the write in progress; returns enum
   leader_event.  After a conflict, the journal row tells whether an earlier
   send of the same write took effect or another instance has claimed
   leadership. */
static int
handle_write_reply (struct leader *l, int64_t now_ms, int64_t sent_ms,
                    const struct store_rep *rep)
{
  char written[CLB_NAME_MAX];
  const struct row *journal;

  if (!l->write)
    return LEADER_NO_CHANGE;
  if (rep->err == 0 || rep->err == CLB_ECONFLICT)
    l->latency_ms = now_ms - sent_ms;
  if (rep->err == 0)
    return finish_write (l, rep->ver);
  if (rep->err == CLB_EDENIED)
    return refuse_write (l, now_ms);
  if (rep->err != CLB_ECONFLICT)
    {
      l->next_ms = now_ms + LEADER_RETRY_MS;
      return LEADER_NO_CHANGE;
    }
  journal = find_row (rep, KEY_JOURNAL);
  journal_value (l, l->epoch, written);
  if (journal && journal->value && strcmp (journal->value, written) == 0)
    return finish_write (l, journal->ver);
  return become_follower (l, now_ms);
}

/* Handles the answer to a read of the outcome of the write in progress;
   returns enum leader_event. */
static int
handle_probe_reply (struct leader *l, int64_t now_ms,
                    const struct store_rep *rep)
{
  const struct row *journal;
  char written[CLB_NAME_MAX];

  l->probe_token = 0;
  if (rep->err || !l->write)
    return LEADER_NO_CHANGE;
  l->probe_ms = now_ms - l->probe_sent_ms;
  journal = find_row (rep, KEY_JOURNAL);
  journal_value (l, l->epoch, written);
  if (journal && journal->value && strcmp (journal->value, written) == 0)
    {
      l->token = 0;
      return finish_write (l, journal->ver);
    }
  if (!journal || journal->ver != l->journal_ver)
    {
      l->token = 0;
      return become_follower (l, now_ms);
    }
  if (l->token && now_ms - l->sent_ms >= LEADER_RESEND_FACTOR * l->probe_ms)
    resend_write (l);
  return LEADER_NO_CHANGE;
}

int
leader_store_reply (struct leader *l, int64_t now_ms, uint64_t token,
                    const struct store_rep *rep, bool *mine)
{
  const struct leader_attempt *earlier = NULL;

  *mine = token && token == l->probe_token;
  if (*mine)
    return handle_probe_reply (l, now_ms, rep);

  for (int i = 0; i < l->n_attempts && l->state == LEADER_LEADING; i++)
    if (l->attempts[i].token == token)
      earlier = &l->attempts[i];
  *mine = token && (token == l->token || earlier);
  if (!*mine)
    return LEADER_NO_CHANGE;
  /* The failure of an earlier send proves nothing while a later send is
     outstanding. */
  if (earlier && rep->err && rep->err != CLB_ECONFLICT)
    return LEADER_NO_CHANGE;
  l->token = 0;
  if (l->state == LEADER_CANDIDATE)
    return handle_claim_reply (l, now_ms, rep);
  if (l->state == LEADER_LEADING)
    return handle_write_reply (l, now_ms,
                               earlier ? earlier->sent_ms : l->sent_ms, rep);
  if (rep->err)
    {
      l->next_ms = now_ms + LEADER_RETRY_MS;
      return LEADER_NO_CHANGE;
    }
  return handle_rows_reply (l, now_ms, rep);
}

bool
leader_can_write (const struct leader *l, int64_t now_ms)
{
  return l->state == LEADER_LEADING && !l->stopping && !l->yielding
         && !l->write && !l->token && now_ms >= l->next_ms;
}

bool
leader_heartbeat_due (const struct leader *l, int64_t now_ms)
{
  return leader_can_write (l, now_ms)
         && now_ms - l->renewed_ms >= LEADER_HEARTBEAT_MS;
}

void
leader_write (struct leader *l, int64_t now_ms, struct store_op *op)
{
  char value[CLB_NAME_MAX];

  l->seq++;
  op->kind = STORE_TXN;
  store_cond (op, KEY_JOURNAL, l->journal_ver);
  journal_value (l, l->epoch, value);
  store_put (op, KEY_JOURNAL, value);
  l->write = op;
  l->first_sent_ms = now_ms;
  leader_tick (l, now_ms);
}

void
leader_release (struct leader *l, int64_t now_ms)
{
  l->stopping = true;
  leader_tick (l, now_ms);
}

void
leader_yield (struct leader *l, int64_t now_ms)
{
  l->yielding = true;
  l->rank = LEADER_RANK_MAX;
  leader_tick (l, now_ms);
}

bool
leader_may_order (const struct leader *l, int64_t now_ms)
{
  return l->state == LEADER_LEADING && !l->stopping && !l->yielding
         && now_ms - l->renewed_ms < LEADER_MAY_ORDER_MS;
}

bool
leader_lease_valid (const struct leader *l, int64_t now_ms)
{
  return l->state == LEADER_LEADING
         && now_ms - l->renewed_ms < LEADER_LEASE_MS;
}
