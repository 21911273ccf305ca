/* The table service: rows with versions, transactions, feeds. */
#include "fsim.h"

#include <stdlib.h>
#include <string.h>

struct request
{
  int inst;
  uint64_t life;
  uint64_t token;
  struct store_op op;
  struct store_rep rep;
  int64_t until_ms; /* of a feed */
  bool mute;
};

int
frow_cmp (const struct frow *a, const struct frow *b)
{
  return strcmp (a->key, b->key);
}

RB_GENERATE (frow_tree, frow, by_key, frow_cmp)

static struct frow *
find (struct ftable *t, const char *key)
{
  struct frow k = { .key = (char *)key };

  return RB_FIND (frow_tree, &t->rows, &k);
}

static void
set_row (struct ftable *t, const char *key, const char *value)
{
  struct frow *r = find (t, key);

  t->log = realloc (t->log, (t->n_log + 1) * sizeof *t->log);
  t->log[t->n_log++] = (struct fchange){ t->ver, strdup (key) };
  if (r)
    {
      RB_REMOVE (frow_tree, &t->rows, r);
      free (r->key);
      free (r->value);
      free (r);
    }
  if (!value)
    return;
  r = calloc (1, sizeof *r);
  r->key = strdup (key);
  r->value = strdup (value);
  r->ver = t->ver;
  RB_INSERT (frow_tree, &t->rows, r);
}

void
ftable_put (struct fsim *s, const char *key, const char *value)
{
  s->table.ver++;
  set_row (&s->table, key, value);
}

static void
add_row (struct store_rep *rep, const char *key, const struct frow *r)
{
  rep->rows = realloc (rep->rows, (rep->n_rows + 1) * sizeof *rep->rows);
  rep->rows[rep->n_rows++]
      = (struct row){ .key = strdup (key),
                      .ver = r ? r->ver : 0,
                      .value = r ? strdup (r->value) : NULL };
}

static void
do_txn (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  for (size_t i = 0; i < op->n_conds; i++)
    {
      struct frow *r = find (t, op->conds[i].key);
      if ((r ? r->ver : 0) != op->conds[i].ver)
        rep->err = CLB_ECONFLICT;
    }
  if (rep->err)
    {
      for (size_t i = 0; i < op->n_conds; i++)
        {
          struct frow *r = find (t, op->conds[i].key);
          if (r)
            add_row (rep, r->key, r);
        }
      return;
    }
  t->ver++;
  for (size_t i = 0; i < op->n_puts; i++)
    set_row (t, op->puts[i].key, op->puts[i].value);
  rep->ver = t->ver;
}

static void
do_list (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  size_t len = strlen (op->key);
  struct frow k = { .key = op->after ? op->after : op->key };
  struct frow *r = RB_NFIND (frow_tree, &t->rows, &k);

  rep->ver = t->ver;
  for (; r && strncmp (r->key, op->key, len) == 0;
       r = RB_NEXT (frow_tree, &t->rows, r))
    {
      if (op->after && strcmp (r->key, op->after) == 0)
        continue;
      if (rep->n_rows == 500)
        {
          rep->more = true;
          return;
        }
      add_row (rep, r->key, r);
    }
}

static bool
in_table (const char *key, const char *table)
{
  size_t n = strlen (table);

  return strncmp (key, table, n) == 0 && (key[n] == '/' || key[n] == ':');
}

/* Index of the first change after version @since. */
static size_t
first_after (const struct ftable *t, int64_t since)
{
  size_t low = 0;
  size_t high = t->n_log;

  while (low < high)
    {
      size_t mid = (low + high) / 2;
      if (t->log[mid].ver > since)
        high = mid;
      else
        low = mid + 1;
    }
  return low;
}

static void
do_feed (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  rep->ver = t->ver;
  if (op->since < t->oldest)
    {
      rep->err = CLB_ENOTFOUND;
      return;
    }
  for (size_t i = first_after (t, op->since); i < t->n_log; i++)
    if (in_table (t->log[i].key, op->key))
      add_row (rep, t->log[i].key, find (t, t->log[i].key));
}

void
ftable_apply (struct ftable *t, const struct store_op *op,
              struct store_rep *rep)
{
  struct frow *r;

  switch (op->kind)
    {
    case STORE_TXN:
      do_txn (t, op, rep);
      break;
    case STORE_FEED:
      do_feed (t, op, rep);
      break;
    case STORE_GET:
      r = find (t, op->key);
      rep->ver = t->ver;
      if (r)
        add_row (rep, r->key, r);
      else
        rep->err = CLB_ENOTFOUND;
      break;
    default:
      do_list (t, op, rep);
      break;
    }
}

static void
answer (struct fsim *s, void *arg)
{
  struct request *q = arg;
  struct finst *in = s->inst[q->inst];

  if (in->up && in->life == q->life && in->frozen_until_ms > s->now_ms)
    {
      fsim_at (s, in->frozen_until_ms - s->now_ms + 1, answer, q);
      return;
    }
  if (in->up && in->life == q->life)
    {
      fleet_store_reply (&in->fleet, s->now_ms, q->token, &q->rep);
      fsim_pump (s, q->inst);
    }
  codec_free (&store_op_desc, &q->op);
  codec_free (&store_rep_desc, &q->rep);
  free (q);
}

static void
fail (struct fsim *s, struct request *q, int err, int64_t after_ms)
{
  codec_free (&store_rep_desc, &q->rep);
  q->rep.err = err;
  fsim_at (s, after_ms, answer, q);
}

static void
reply (struct fsim *s, struct request *q)
{
  if (s->inst[q->inst]->store_cut_until_ms > s->now_ms || q->mute)
    fail (s, q, CLB_EOUTCOME, 700);
  else
    fsim_at (s, FSIM_LINK_MS, answer, q);
}

static void
carry_out (struct fsim *s, void *arg)
{
  struct request *q = arg;

  ftable_apply (&s->table, &q->op, &q->rep);
  if (q->op.kind == STORE_FEED && q->rep.err == 0 && q->rep.n_rows == 0
      && s->now_ms < q->until_ms)
    fsim_at (s, 5, carry_out, q);
  else
    reply (s, q);
}

/* A write that nobody hears of, done much later. */
static void
carry_out_late (struct fsim *s, void *arg)
{
  struct request *q = arg;

  do_txn (&s->table, &q->op, &q->rep);
  codec_free (&store_op_desc, &q->op);
  codec_free (&store_rep_desc, &q->rep);
  free (q);
}

static void
copy_op (struct store_op *to, const struct store_op *op)
{
  to->kind = op->kind;
  to->key = op->key ? strdup (op->key) : NULL;
  to->after = op->after ? strdup (op->after) : NULL;
  to->since = op->since;
  to->wait_ms = op->wait_ms;
  for (size_t i = 0; i < op->n_conds; i++)
    store_cond (to, op->conds[i].key, op->conds[i].ver);
  for (size_t i = 0; i < op->n_puts; i++)
    store_put (to, op->puts[i].key, op->puts[i].value);
}

static struct request *
request_new (struct fsim *s, int i, uint64_t token, const struct store_op *op)
{
  struct request *q = calloc (1, sizeof *q);

  q->inst = i;
  q->life = s->inst[i]->life;
  q->token = token;
  copy_op (&q->op, op);
  return q;
}

void
ftable_send (struct fsim *s, int i, uint64_t token, const struct store_op *op)
{
  struct ftable *t = &s->table;
  struct request *q = request_new (s, i, token, op);
  int64_t wait = FSIM_LINK_MS;
  bool write = op->kind == STORE_TXN;

  t->calls++;
  if (s->inst[i]->store_cut_until_ms > s->now_ms)
    {
      fail (s, q, CLB_EOUTCOME, 700);
      return;
    }
  if (t->down_until_ms > s->now_ms
      || s->inst[i]->turned_away_until_ms > s->now_ms)
    {
      fail (s, q, CLB_EUNAVAIL, FSIM_LINK_MS);
      return;
    }
  if (write && fsim_random (s) < t->late)
    {
      fsim_at (s, 1000 + (int64_t)(fsim_random (s) * 5000), carry_out_late,
               request_new (s, i, token, op));
      fail (s, q, CLB_EOUTCOME, 700);
      return;
    }
  q->mute = write && fsim_random (s) < t->lost;
  q->until_ms = s->now_ms + op->wait_ms;
  if (write)
    {
      int64_t begin
          = s->now_ms > t->busy_until_ms ? s->now_ms : t->busy_until_ms;
      t->busy_until_ms = begin + FSIM_STORE_MS * (t->slow ? t->slow : 1) / 3;
      wait += t->busy_until_ms - s->now_ms;
    }
  wait += FSIM_LINK_MS * (t->slow ? t->slow : 1);
  fsim_at (s, wait, carry_out, q);
}

void
ftable_free (struct ftable *t)
{
  struct frow *r, *next;

  RB_FOREACH_SAFE (r, frow_tree, &t->rows, next)
    {
      RB_REMOVE (frow_tree, &t->rows, r);
      free (r->key);
      free (r->value);
      free (r);
    }
  for (size_t i = 0; i < t->n_log; i++)
    free (t->log[i].key);
  free (t->log);
}
