/*
 * Reads the recorded state for a new leader, before the leader gives orders.
 * The roster of executors, the recorded starts and the jobs' progress are read
 * first, in parallel; then the tables of executors and jobs.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_DELAY_MS = 100, /* pause before a failed read is sent again */
};

/* Key prefix of each kind of records, by enum fleet_load_kind. */
static const char *const load_keys[FLEET_LOAD_N]
    = { FSCHED_KEY_ROSTER, FSCHED_KEY_INTENTS, FSCHED_KEY_PROGRESS };

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
  for (int i = 0; i < FLEET_LOAD_N; i++)
    f->loads[i].page_rows = FOLLOW_PAGE_ROWS;
  f->loading = true;
  f->load_retry_ms = f->now_ms;
}

/* Sends the next read of the records of @kind (enum fleet_load_kind). */
static void
send_read (struct fleet *f, int kind)
{
  struct fleet_load *l = &f->loads[kind];
  struct out *o = out_new (&f->out, OUT_STORE);

  l->token = ++f->last_token;
  o->u.store.token = l->token;
  o->u.store.op.kind = STORE_LIST;
  o->u.store.op.key = strdup (load_keys[kind]);
  o->u.store.op.after = l->after ? strdup (l->after) : NULL;
  o->u.store.op.limit = l->page_rows;
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

/* Passes a row with the recorded progress of a job to the scheduler. */
static void
load_progress (struct fleet *f, const struct row *row)
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
  if (!fsched_load_progress (f->fsched,
                             row->key + strlen (FSCHED_KEY_PROGRESS), &p))
    return;
  f->stats.bad_rows++;
  out_line (&f->out, "event=bad-row key=%s error=bad-key", row->key);
}

/* Counts and logs a row of which @n_bad_lines lines could not be parsed. */
static void
note_bad_lines (struct fleet *f, const struct row *row, int n_bad_lines)
{
  if (!n_bad_lines)
    return;
  f->stats.bad_rows++;
  out_line (&f->out, "event=bad-row key=%s error=bad-lines lines=%d", row->key,
            n_bad_lines);
}

/* Passes the rows of one read of records of @kind to the scheduler. */
static void
load_rows (struct fleet *f, int kind, const struct store_rep *rep)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      const struct row *row = &rep->rows[i];
      if (!row->value)
        continue;
      if (kind == FLEET_LOAD_ROSTER)
        note_bad_lines (f, row, fsched_load_roster (f->fsched, row->value));
      else if (kind == FLEET_LOAD_INTENTS)
        note_bad_lines (f, row,
                        fsched_load_intents (
                            f->fsched, row->key + strlen (FSCHED_KEY_INTENTS),
                            row->value));
      else
        load_progress (f, row);
    }
}

/* Handles the successful answer to one read of records of @kind.  After the
   last read of all kinds, begins to read the tables of executors and jobs. */
static void
handle_page (struct fleet *f, int kind, const struct store_rep *rep)
{
  struct fleet_load *l = &f->loads[kind];

  load_rows (f, kind, rep);
  free (l->after);
  l->after = NULL;
  l->complete = !rep->more || !rep->n_rows;
  if (!l->complete)
    l->after = strdup (rep->rows[rep->n_rows - 1].key);
  for (int i = 0; i < FLEET_LOAD_N; i++)
    if (!f->loads[i].complete)
      return;
  /* The tables of executors and jobs are read after the records: an executor
     that is not in the roster was not used by an earlier leader, and a job
     gets the progress that the records hold. */
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
      f->loads[i].page_rows
          = follow_smaller_page (f->loads[i].page_rows, rep->err);
      if (rep->err && rep->err != CLB_ENOTFOUND)
        f->load_retry_ms = f->now_ms + RETRY_DELAY_MS;
      else
        handle_page (f, i, rep);
      return true;
    }
  return false;
}

void
fleet_load_finish (struct fleet *f)
{
  /* What was cancelled or began to drain during a long listing is known only
     once the changes since then are read. */
  if (f->loading || !f->job_feed.current || !f->exec_feed.current
      || f->fsched->loaded)
    return;
  fsched_load_done (f->fsched);
}
