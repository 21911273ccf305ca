/*
 * Reads the recorded state for a new leader, before it gives orders: first, in
 * parallel, the roster of executors, the starts and the jobs' progress; then
 * the tables of executors and jobs.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_MS = 100, /* pause after a failed read */
};

/* The key of the roster, and the prefixes of the other records' keys. */
static const char *const keys[FLEET_LOAD_N]
    = { LEADER_KEY_ROSTER, FSCHED_KEY_INTENTS, FSCHED_KEY_PROGRESS };

void
fleet_load_stop (struct fleet *f)
{
  for (int i = 0; i < FLEET_LOAD_N; i++)
    {
      free (f->loads[i].after);
      f->loads[i] = (struct fleet_load){ 0 };
    }
  f->loading = false;
}

void
fleet_load_start (struct fleet *f)
{
  fleet_load_stop (f);
  f->loading = true;
  f->load_retry_ms = f->now_ms;
}

/* Sends the next read of the records of @kind. */
static void
send_read (struct fleet *f, int kind)
{
  struct fleet_load *l = &f->loads[kind];
  struct out *o = out_new (&f->out, OUT_STORE);

  l->token = ++f->last_token;
  o->u.store.token = l->token;
  o->u.store.op.kind = kind == FLEET_LOAD_ROSTER ? STORE_GET : STORE_LIST;
  o->u.store.op.key = strdup (keys[kind]);
  o->u.store.op.after = l->after ? strdup (l->after) : NULL;
}

void
fleet_load_tick (struct fleet *f)
{
  if (!f->loading || f->now_ms < f->load_retry_ms)
    return;
  for (int i = 0; i < FLEET_LOAD_N; i++)
    if (!f->loads[i].complete && !f->loads[i].token)
      send_read (f, i);
}

/* Passes the recorded progress of a job to the scheduler. */
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
  fsched_load_progress (f->fsched, row->key + strlen (FSCHED_KEY_PROGRESS),
                        &p);
}

/* Passes a row of recorded starts to the scheduler. */
static void
take_plan (struct fleet *f, const struct row *row)
{
  int bad = fsched_load_intents (
      f->fsched, row->key + strlen (FSCHED_KEY_INTENTS), row->value);

  if (!bad)
    return;
  f->stats.bad_rows++;
  out_line (&f->out, "event=bad-row key=%s error=bad-lines lines=%d", row->key,
            bad);
}

static void
take_rows (struct fleet *f, int kind, const struct store_rep *rep)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      const struct row *row = &rep->rows[i];
      if (!row->value)
        continue;
      if (kind == FLEET_LOAD_ROSTER)
        fsched_load_roster (f->fsched, row->value);
      else if (kind == FLEET_LOAD_INTENTS)
        take_plan (f, row);
      else
        take_progress (f, row);
    }
}

/* Takes the answer to one read.  After the last one, begins to read the tables
   of executors and jobs. */
static void
take_page (struct fleet *f, int kind, const struct store_rep *rep)
{
  struct fleet_load *l = &f->loads[kind];

  take_rows (f, kind, rep);
  free (l->after);
  l->after = NULL;
  l->complete = !rep->more || !rep->n_rows;
  if (!l->complete)
    l->after = strdup (rep->rows[rep->n_rows - 1].key);
  for (int i = 0; i < FLEET_LOAD_N; i++)
    if (!f->loads[i].complete)
      return;
  /* These tables are read last: an executor that is not in the roster has not
     been used by an earlier leader, and a job takes its progress from what was
     read. */
  f->loading = false;
  follow_start (&f->exec_feed, f->now_ms);
  fsched_exec_list (f->fsched, true);
  follow_start (&f->job_feed, f->now_ms);
}

bool
fleet_load_store_reply (struct fleet *f, uint64_t token,
                        const struct store_rep *rep)
{
  for (int i = 0; i < FLEET_LOAD_N; i++)
    {
      if (!token || f->loads[i].token != token)
        continue;
      f->loads[i].token = 0;
      if (rep->err && rep->err != CLB_ENOTFOUND)
        f->load_retry_ms = f->now_ms + RETRY_MS;
      else
        take_page (f, i, rep);
      return true;
    }
  return false;
}

void
fleet_load_finish (struct fleet *f)
{
  if (f->loading || !f->job_feed.listed || !f->exec_feed.listed
      || f->fsched->loaded)
    return;
  fsched_load_done (f->fsched);
}
