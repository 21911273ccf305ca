/*
 * What a new leader reads before it gives orders: the roster, the starts and
 * the progress on record, all at once, then executors and jobs.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 100,
};

static const char *const prefixes[LOAD_N]
    = { LEAD_KEY_ROSTER, CELL_KEY_PLAN, CELL_KEY_PROGRESS };

void
load_stop (struct fleet *f)
{
  for (int i = 0; i < LOAD_N; i++)
    {
      free (f->loads[i].after);
      f->loads[i] = (struct load){ 0 };
    }
  f->loading = false;
}

void
load_start (struct fleet *f)
{
  load_stop (f);
  f->loading = true;
  f->load_next_ms = f->now_ms;
}

static void
send (struct fleet *f, int what)
{
  struct load *l = &f->loads[what];
  struct out *o = out_new (&f->out, OUT_STORE);

  l->token = ++f->tokens;
  o->u.store.token = l->token;
  o->u.store.op.kind = what == LOAD_ROSTER ? STORE_GET : STORE_LIST;
  o->u.store.op.key = strdup (prefixes[what]);
  o->u.store.op.after = l->after ? strdup (l->after) : NULL;
}

void
load_tick (struct fleet *f)
{
  if (!f->loading || f->now_ms < f->load_next_ms)
    return;
  for (int i = 0; i < LOAD_N; i++)
    if (!f->loads[i].done && !f->loads[i].token)
      send (f, i);
}

static void
take_progress (struct fleet *f, const struct row *row)
{
  struct job_progress p;
  struct codec_err ce;

  if (codec_parse (&job_progress_desc, row->value, strlen (row->value),
                   CODEC_LENIENT, &p, &ce))
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=bad-row key=%s error=%s field=%s", row->key,
                clb_err_name (ce.err), ce.path);
      return;
    }
  cell_progress (f->cell, row->key + strlen (CELL_KEY_PROGRESS), &p);
}

static void
take_plan (struct fleet *f, const struct row *row)
{
  int bad = cell_plan (f->cell, row->key + strlen (CELL_KEY_PLAN), row->value);

  if (!bad)
    return;
  f->stats.bad_rows++;
  out_line (&f->out, "event=bad-row key=%s error=bad-lines lines=%d", row->key,
            bad);
}

static void
take_rows (struct fleet *f, int what, const struct store_rep *rep)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      const struct row *row = &rep->rows[i];
      if (!row->value)
        continue;
      if (what == LOAD_ROSTER)
        cell_roster (f->cell, row->value);
      else if (what == LOAD_PLAN)
        take_plan (f, row);
      else
        take_progress (f, row);
    }
}

static void
take_page (struct fleet *f, int what, const struct store_rep *rep)
{
  struct load *l = &f->loads[what];

  take_rows (f, what, rep);
  free (l->after);
  l->after = NULL;
  l->done = !rep->more || !rep->n_rows;
  if (!l->done)
    l->after = strdup (rep->rows[rep->n_rows - 1].key);
  for (int i = 0; i < LOAD_N; i++)
    if (!f->loads[i].done)
      return;
  /* Executors that the roster lacks have not been used, and jobs take what
     was read of their progress. */
  f->loading = false;
  follow_start (&f->exec_feed, f->now_ms);
  cell_exec_list (f->cell, true);
  follow_start (&f->job_feed, f->now_ms);
}

bool
load_store (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  for (int i = 0; i < LOAD_N; i++)
    {
      if (!token || f->loads[i].token != token)
        continue;
      f->loads[i].token = 0;
      if (rep->err && rep->err != CLB_ENOTFOUND)
        f->load_next_ms = f->now_ms + RETRY_MS;
      else
        take_page (f, i, rep);
      return true;
    }
  return false;
}

void
load_finish (struct fleet *f)
{
  if (f->loading || !f->job_feed.listed || !f->exec_feed.listed
      || f->cell->going)
    return;
  cell_go (f->cell);
}
