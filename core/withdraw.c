/*
 * Keeps the withdrawals that the leader has read, and removes their rows once
 * they have stood long enough; see withdraw.h.
 */
#include "withdraw.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VALUE_BYTES_MAX = 64, /* size of the value of a withdrawal's row */
};

/* struct withdrawal_value - value of the row of a withdrawal */
struct withdrawal_value
{
  bool withdrawn;   /* always true; no other row of the table has the field */
  int64_t table_ms; /* as withdrawal::table_ms */
};

static const struct fld value_fields[] = {
  FLD_FLAG (struct withdrawal_value, withdrawn),
  FLD_INT (struct withdrawal_value, table_ms, 0, INT64_MAX),
};
static DESC (value_desc, struct withdrawal_value, value_fields);

static int
withdrawal_cmp (const struct withdrawal *a, const struct withdrawal *b)
{
  return strcmp (a->id, b->id);
}

RB_PROTOTYPE (withdrawal_tree, withdrawal, by_id, withdrawal_cmp)
RB_GENERATE (withdrawal_tree, withdrawal, by_id, withdrawal_cmp)

char *
withdrawal_text (int64_t table_ms)
{
  struct withdrawal_value v = { .withdrawn = true, .table_ms = table_ms };

  return codec_text (&value_desc, &v);
}

bool
withdrawal_parse (const char *value, int64_t *table_ms)
{
  struct withdrawal_value v;
  struct codec_err ce;
  size_t len = value ? strlen (value) : 0;

  /* The rows of jobs are longer and need not be parsed for this. */
  if (len == 0 || len > VALUE_BYTES_MAX
      || codec_parse (&value_desc, value, len, CODEC_LENIENT, &v, &ce)
      || !v.withdrawn)
    return false;
  *table_ms = v.table_ms;
  return true;
}

void
withdrawals_init (struct withdrawals *w, struct outq *out,
                  uint64_t *last_token)
{
  memset (w, 0, sizeof *w);
  RB_INIT (&w->by_id);
  for (int i = 0; i < FSCHED_JOB_PARTS; i++)
    TAILQ_INIT (&w->parts[i].queue);
  w->out = out;
  w->last_token = last_token;
}

static struct withdrawal *
find (struct withdrawals *w, const char *id)
{
  struct withdrawal key;

  clb_copy (key.id, id, sizeof key.id);
  return RB_FIND (withdrawal_tree, &w->by_id, &key);
}

static struct withdrawal_part *
part_of (struct withdrawals *w, const char *id)
{
  return &w->parts[fsched_job_part (id)];
}

static void
drop (struct withdrawals *w, struct withdrawal *d)
{
  RB_REMOVE (withdrawal_tree, &w->by_id, d);
  TAILQ_REMOVE (&part_of (w, d->id)->queue, d, link);
  w->n--;
  free (d);
}

void
withdrawals_clear (struct withdrawals *w)
{
  struct withdrawal *d;

  for (int i = 0; i < FSCHED_JOB_PARTS; i++)
    {
      while ((d = TAILQ_FIRST (&w->parts[i].queue)))
        drop (w, d);
      w->parts[i].token = 0;
      w->parts[i].next_ms = 0;
    }
}

bool
withdrawals_row (struct withdrawals *w, int64_t now_ms, const char *id,
                 int64_t ver, const char *value)
{
  struct withdrawal *d = find (w, id);
  int64_t table_ms;

  if (!withdrawal_parse (value, &table_ms))
    {
      if (d)
        drop (w, d);
      return false;
    }
  if (d && d->ver >= ver)
    return true;
  if (!d)
    {
      d = calloc (1, sizeof *d);
      if (!d)
        abort ();
      clb_copy (d->id, id, sizeof d->id);
      RB_INSERT (withdrawal_tree, &w->by_id, d);
      TAILQ_INSERT_TAIL (&part_of (w, id)->queue, d, link);
      w->n++;
    }
  d->ver = ver;
  d->table_ms = table_ms;
  d->seen_ms = now_ms;
  d->removing = false;
  return true;
}

/* Returns whether a withdrawal has stood long enough.  Its age on the clock of
   the table service includes the terms of earlier leaders; the time since this
   leader read the row counts too, as that clock may begin anew. */
static bool
removal_due (const struct withdrawal *d, int64_t now_ms, int64_t table_ms)
{
  return now_ms - d->seen_ms >= WITHDRAWAL_HOLD_MS
         || (table_ms && d->table_ms
             && table_ms - d->table_ms >= WITHDRAWAL_HOLD_MS);
}

/* Sends the removal of the withdrawals of a part that are due.  Returns how
   many these are, WITHDRAWAL_REMOVALS_MAX at most.  A row that was written
   again since it was read is not removed. */
static int
remove_due (struct withdrawals *w, int part, int64_t now_ms, int64_t table_ms)
{
  struct store_op *op = NULL;
  struct withdrawal *d;
  int n = 0;

  TAILQ_FOREACH (d, &w->parts[part].queue, link)
    {
      char key[CLB_NAME_MAX];
      d->removing
          = n < WITHDRAWAL_REMOVALS_MAX && removal_due (d, now_ms, table_ms);
      if (!d->removing)
        continue;
      if (!op)
        {
          struct out *o = out_new (w->out, OUT_STORE);
          o->u.store.token = ++*w->last_token;
          op = &o->u.store.op;
          op->kind = STORE_TXN;
          w->parts[part].token = o->u.store.token;
        }
      snprintf (key, sizeof key, "job:%d/%s", part, d->id);
      store_cond (op, key, d->ver);
      store_put (op, key, NULL);
      n++;
    }
  return n;
}

void
withdrawals_tick (struct withdrawals *w, int64_t now_ms, int64_t table_ms)
{
  int part = w->next_part;
  int n;

  if (!w->n || now_ms < w->next_ms)
    return;
  w->next_part = (part + 1) % FSCHED_JOB_PARTS;
  w->next_ms = now_ms + WITHDRAWAL_SWEEP_MS;
  if (w->parts[part].token || now_ms < w->parts[part].next_ms)
    return;
  n = remove_due (w, part, now_ms, table_ms);
  if (n == WITHDRAWAL_REMOVALS_MAX)
    w->next_ms = now_ms + WITHDRAWAL_SWEEP_NEXT_MS;
}

/* Handles that a removal has failed as one of its rows has changed: takes over
   the present rows, which @rep has. */
static void
take_present_rows (struct withdrawals *w, int part, int64_t now_ms,
                   const struct store_rep *rep)
{
  struct withdrawal *d, *next;

  TAILQ_FOREACH_SAFE (d, &w->parts[part].queue, link, next)
    {
      const struct row *row = NULL;
      for (size_t i = 0; i < rep->n_rows && !row; i++)
        {
          const char *slash = strrchr (rep->rows[i].key, '/');
          if (slash && strcmp (slash + 1, d->id) == 0)
            row = &rep->rows[i];
        }
      if (d->removing)
        withdrawals_row (w, now_ms, d->id, row ? row->ver : 0,
                         row ? row->value : NULL);
    }
}

/* Ends the removal of the rows of a part, which are gone. */
static void
drop_removed (struct withdrawals *w, int part)
{
  struct withdrawal *d, *next;
  int n = 0;

  TAILQ_FOREACH_SAFE (d, &w->parts[part].queue, link, next)
    if (d->removing)
      {
        drop (w, d);
        n++;
      }
  w->n_removed += (uint64_t)n;
  out_line (w->out, "event=withdrawals-removed part=%d removed=%d left=%d",
            part, n, w->n);
}

bool
withdrawals_store_reply (struct withdrawals *w, int64_t now_ms, uint64_t token,
                         const struct store_rep *rep)
{
  int part = 0;

  while (part < FSCHED_JOB_PARTS && w->parts[part].token != token)
    part++;
  if (!token || part == FSCHED_JOB_PARTS)
    return false;
  w->parts[part].token = 0;
  if (!rep->err)
    drop_removed (w, part);
  else
    w->parts[part].next_ms = now_ms + WITHDRAWAL_RETRY_MS;
  if (rep->err == CLB_ECONFLICT)
    take_present_rows (w, part, now_ms, rep);
  return true;
}
