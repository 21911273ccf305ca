#include "leader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HOLDER LEAD_TABLE "holder"
#define KEY_JOURNAL LEAD_TABLE "journal"

/* struct holder_row - the value of the holder's row */
struct holder_row
{
  char node[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX];
  int64_t boot;
  int64_t epoch;
  bool released;
};

static const struct fld holder_fields[] = {
  FLD_CHARS (struct holder_row, node, true),
  FLD_CHARS (struct holder_row, addr, true),
  FLD_INT (struct holder_row, boot, 0, INT64_MAX),
  FLD_INT (struct holder_row, epoch, 0, INT64_MAX),
  FLD_FLAG (struct holder_row, released),
};
static DESC (holder_desc, struct holder_row, holder_fields);

/* How long instances that are surely stronger are given to claim first. */
static int64_t
weakness_ms (const struct lead *l)
{
  return l->millicores > 0 && l->millicores < LEAD_STRONG_MILLICORES
             ? LEAD_STRONG_MILLICORES - l->millicores
             : 0;
}

static int64_t
courtesy_ms (const struct lead *l)
{
  if (l->rank < 0)
    return weakness_ms (l);
  return LEAD_RANK_MS * (l->rank < LEAD_RANK_MAX ? l->rank : LEAD_RANK_MAX);
}

void
lead_init (struct lead *l, int64_t now_ms, const char *me, const char *addr,
           int64_t boot, int64_t millicores, struct outq *out,
           uint64_t *tokens)
{
  memset (l, 0, sizeof *l);
  clb_copy (l->me, me, sizeof l->me);
  clb_copy (l->addr, addr, sizeof l->addr);
  l->boot = boot;
  l->millicores = millicores;
  l->rank = -1;
  l->first_after_ms = now_ms + weakness_ms (l);
  l->out = out;
  l->tokens = tokens;
}

static void
drop_write (struct lead *l)
{
  l->n_copies = 0;
  if (!l->write)
    return;
  codec_free (&store_op_desc, l->write);
  free (l->write);
  l->write = NULL;
}

void
lead_fini (struct lead *l)
{
  drop_write (l);
}

static struct store_op *
send_op (struct lead *l, int64_t now_ms, int kind)
{
  struct out *o = out_new (l->out, OUT_STORE);

  l->token = ++*l->tokens;
  l->sent_ms = now_ms;
  o->u.store.token = l->token;
  o->u.store.op.kind = kind;
  return &o->u.store.op;
}

static void
send_read (struct lead *l, int64_t now_ms)
{
  struct store_op *op = send_op (l, now_ms, STORE_LIST);

  op->key = strdup (LEAD_TABLE);
}

static void
journal_value (const struct lead *l, int64_t epoch, char out[CLB_NAME_MAX])
{
  snprintf (out, CLB_NAME_MAX, "%lld %lld %lld", (long long)epoch,
            (long long)l->boot, (long long)l->seq);
}

static void
put_holder (struct store_op *op, const struct lead *l, int64_t epoch,
            bool released)
{
  struct holder_row row
      = { .boot = l->boot, .epoch = epoch, .released = released };
  clb_auto char *text = NULL;

  clb_copy (row.node, l->me, sizeof row.node);
  clb_copy (row.addr, l->addr, sizeof row.addr);
  text = codec_text (&holder_desc, &row);
  store_put (op, KEY_HOLDER, text);
}

static void
send_claim (struct lead *l, int64_t now_ms)
{
  struct store_op *op = send_op (l, now_ms, STORE_TXN);
  char value[CLB_NAME_MAX];

  l->state = LEAD_CLAIMING;
  l->claim_ms = now_ms;
  l->seq = 0;
  store_cond (op, KEY_HOLDER, l->holder_ver);
  store_cond (op, KEY_JOURNAL, l->journal_ver);
  put_holder (op, l, l->epoch + 1, false);
  journal_value (l, l->epoch + 1, value);
  store_put (op, KEY_JOURNAL, value);
}

/* Nobody leads, or surely nobody does any more. */
static bool
vacant (const struct lead *l, int64_t now_ms)
{
  if (l->holder_ver == 0)
    return now_ms >= l->first_after_ms;
  if (l->released)
    return now_ms - l->still_since_ms >= courtesy_ms (l);
  return strcmp (l->holder, l->me) == 0 && l->holder_boot != l->boot
         && (l->millicores == 0 || l->millicores >= LEAD_ABLE_MILLICORES);
}

static bool
claim_due (const struct lead *l, int64_t now_ms)
{
  if (!l->read || l->stopping)
    return false;
  return vacant (l, now_ms)
         || now_ms - l->still_since_ms >= LEAD_STILL_MS + courtesy_ms (l);
}

static int64_t
read_pause (const struct lead *l, int64_t now_ms)
{
  if ((l->rank >= 0 && l->rank < LEAD_WATCHERS) || !l->read
      || now_ms - l->heard_ms > LEAD_SILENT_MS)
    return LEAD_READ_MS;
  return LEAD_IDLE_READ_MS;
}

void
lead_heard (struct lead *l, int64_t now_ms, int64_t epoch, int64_t rank)
{
  if (epoch < l->epoch)
    return;
  l->heard_ms = now_ms;
  if (rank >= 0)
    l->rank = rank;
  /* A leader that the rows in hand do not show yet. */
  if (epoch > l->epoch && l->state == LEAD_FOLLOW)
    l->read = false;
}

static int64_t
again_ms (const struct lead *l)
{
  int64_t ms = LEAD_AGAIN_TIMES * l->took_ms;

  if (ms < LEAD_AGAIN_MS)
    ms = LEAD_AGAIN_MS;
  ms <<= l->n_copies;
  return ms < LEAD_AGAIN_MAX_MS ? ms : LEAD_AGAIN_MAX_MS;
}

/* After the write in flight: a successor waits for its row to stand still. */
static void
write_release (struct lead *l, int64_t now_ms)
{
  struct store_op *op = calloc (1, sizeof *op);

  if (!op)
    abort ();
  l->releasing = true;
  put_holder (op, l, l->epoch, true);
  lead_write (l, now_ms, op);
}

void
lead_tick (struct lead *l, int64_t now_ms)
{
  if (l->state == LEAD_HOLD && l->stopping && !l->write && !l->token)
    write_release (l, now_ms);
  /* It is conditional: of two copies one takes effect, and the other finds
     that it has. */
  if (l->state == LEAD_HOLD && l->write && l->token
      && now_ms - l->sent_ms >= again_ms (l))
    {
      if (l->n_copies < LEAD_COPIES_MAX)
        l->copies[l->n_copies++] = (struct lead_copy){ l->token, l->sent_ms };
      l->token = 0;
    }
  if (l->state == LEAD_HOLD && l->write && !l->token && now_ms >= l->next_ms)
    {
      struct store_op *op = send_op (l, now_ms, STORE_TXN);
      for (size_t i = 0; i < l->write->n_conds; i++)
        store_cond (op, l->write->conds[i].key, l->write->conds[i].ver);
      for (size_t i = 0; i < l->write->n_puts; i++)
        store_put (op, l->write->puts[i].key, l->write->puts[i].value);
    }
  if (l->state != LEAD_FOLLOW || l->token || now_ms < l->next_ms)
    return;
  /* A look right before the claim: it must not rest on an old one. */
  if (claim_due (l, now_ms) && now_ms - l->sent_ms < LEAD_READ_MS)
    send_claim (l, now_ms);
  else if (!l->read || now_ms - l->sent_ms >= read_pause (l, now_ms)
           || claim_due (l, now_ms))
    send_read (l, now_ms);
}

static const struct row *
row_of (const struct store_rep *rep, const char *key)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      return &rep->rows[i];
  return NULL;
}

static void
take_holder (struct lead *l, const struct row *row)
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

static int
become_leader (struct lead *l, int64_t sent_ms)
{
  l->state = LEAD_HOLD;
  l->renewed_ms = sent_ms;
  clb_copy (l->holder, l->me, sizeof l->holder);
  clb_copy (l->holder_addr, l->addr, sizeof l->holder_addr);
  l->holder_boot = l->boot;
  l->released = false;
  drop_write (l);
  return LEAD_TAKEN;
}

static int
take_rows (struct lead *l, int64_t now_ms, const struct store_rep *rep)
{
  const struct row *holder = row_of (rep, KEY_HOLDER);
  const struct row *journal = row_of (rep, KEY_JOURNAL);
  int64_t holder_ver = holder ? holder->ver : 0;
  int64_t journal_ver = journal ? journal->ver : 0;

  if (!l->read || holder_ver != l->holder_ver || journal_ver != l->journal_ver)
    l->still_since_ms = now_ms;
  l->read = true;
  l->holder_ver = holder_ver;
  l->journal_ver = journal_ver;
  take_holder (l, holder);
  /* A claim whose answer was lost has taken effect. */
  if (holder && strcmp (l->holder, l->me) == 0 && l->holder_boot == l->boot
      && !l->released && !l->stopping)
    return become_leader (l, l->claim_ms);
  return LEAD_SAME;
}

static int
claim_answered (struct lead *l, int64_t now_ms, const struct store_rep *rep)
{
  l->state = LEAD_FOLLOW;
  if (rep->err == 0)
    {
      l->epoch++;
      l->holder_ver = rep->ver;
      l->journal_ver = rep->ver;
      return become_leader (l, l->claim_ms);
    }
  /* Look again: the claim may or may not have taken effect. */
  l->read = false;
  l->next_ms = now_ms + LEAD_RETRY_MS;
  return LEAD_SAME;
}

static int
step_down (struct lead *l, int64_t now_ms)
{
  l->state = LEAD_FOLLOW;
  l->read = false;
  l->next_ms = now_ms + LEAD_RETRY_MS;
  drop_write (l);
  return LEAD_LOST;
}

static int
write_done (struct lead *l, int64_t ver)
{
  l->journal_ver = ver;
  /* The row may have stood still since the first try. */
  l->renewed_ms = l->first_ms;
  drop_write (l);
  if (l->releasing)
    {
      l->state = LEAD_FOLLOW;
      l->read = false;
      return LEAD_SAME;
    }
  return LEAD_RECORDED;
}

static int
write_answered (struct lead *l, int64_t now_ms, int64_t sent_ms,
                const struct store_rep *rep)
{
  char mine[CLB_NAME_MAX];
  const struct row *journal;

  if (!l->write)
    return LEAD_SAME;
  if (rep->err == 0 || rep->err == CLB_ECONFLICT)
    l->took_ms = now_ms - sent_ms;
  if (rep->err == 0)
    return write_done (l, rep->ver);
  if (rep->err != CLB_ECONFLICT)
    {
      l->next_ms = now_ms + LEAD_RETRY_MS;
      return LEAD_SAME;
    }
  journal = row_of (rep, KEY_JOURNAL);
  journal_value (l, l->epoch, mine);
  if (journal && journal->value && strcmp (journal->value, mine) == 0)
    return write_done (l, journal->ver);
  return step_down (l, now_ms);
}

int
lead_store (struct lead *l, int64_t now_ms, uint64_t token,
            const struct store_rep *rep, bool *mine)
{
  const struct lead_copy *copy = NULL;

  for (int i = 0; i < l->n_copies && l->state == LEAD_HOLD; i++)
    if (l->copies[i].token == token)
      copy = &l->copies[i];
  *mine = token && (token == l->token || copy);
  if (!*mine)
    return LEAD_SAME;
  /* A failed copy proves nothing while another is under way. */
  if (copy && rep->err && rep->err != CLB_ECONFLICT)
    return LEAD_SAME;
  l->token = 0;
  if (l->state == LEAD_CLAIMING)
    return claim_answered (l, now_ms, rep);
  if (l->state == LEAD_HOLD)
    return write_answered (l, now_ms, copy ? copy->sent_ms : l->sent_ms, rep);
  if (rep->err)
    {
      l->next_ms = now_ms + LEAD_RETRY_MS;
      return LEAD_SAME;
    }
  return take_rows (l, now_ms, rep);
}

bool
lead_can_write (const struct lead *l, int64_t now_ms)
{
  return l->state == LEAD_HOLD && !l->stopping && !l->write && !l->token
         && now_ms >= l->next_ms;
}

bool
lead_beat_due (const struct lead *l, int64_t now_ms)
{
  return lead_can_write (l, now_ms) && now_ms - l->renewed_ms >= LEAD_BEAT_MS;
}

void
lead_write (struct lead *l, int64_t now_ms, struct store_op *op)
{
  char value[CLB_NAME_MAX];

  l->seq++;
  op->kind = STORE_TXN;
  store_cond (op, KEY_JOURNAL, l->journal_ver);
  journal_value (l, l->epoch, value);
  store_put (op, KEY_JOURNAL, value);
  l->write = op;
  l->first_ms = now_ms;
  lead_tick (l, now_ms);
}

void
lead_release (struct lead *l, int64_t now_ms)
{
  l->stopping = true;
  lead_tick (l, now_ms);
}

bool
lead_may_order (const struct lead *l, int64_t now_ms)
{
  return l->state == LEAD_HOLD && !l->stopping
         && now_ms - l->renewed_ms < LEAD_ORDER_MS;
}

bool
lead_may_admit (const struct lead *l, int64_t now_ms)
{
  return l->state == LEAD_HOLD && now_ms - l->renewed_ms < LEAD_ADMIT_MS;
}
