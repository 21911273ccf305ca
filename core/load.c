/*
 * Recovery at the start of an epoch: reads the domain's latest snapshot, the
 * journal rows after it and the teams' grants, and restores tasks and teams.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** enum load_step - what is read next while loading */
enum load_step
{
  LOAD_SNAP_ROW,     /* the snapshot row, which names the latest snapshot */
  LOAD_SNAP_OBJ,     /* the object that holds the snapshot */
  LOAD_JOURNAL_ROWS, /* the journal rows after the snapshot */
  LOAD_GRANTS,       /* the grant rows of all teams */
  LOAD_DONE,         /* nothing: loading is complete */
};

static const struct fld snap_fields[] = {
  FLD_INT (struct snap_row, seq, 0, INT64_MAX),
  FLD_INT_AS ("first", struct snap_row, first_seq, 0, INT64_MAX),
  FLD_CHARS (struct snap_row, object, true),
};
DESC (snap_row_desc, struct snap_row, snap_fields);

void
load_read (struct sched *s)
{
  char key[ROW_KEY_SIZE];
  struct store_op *op;

  switch (s->load_step)
    {
    case LOAD_SNAP_ROW:
      op = journal_store_op (s, STORE_GET, &s->load_token);
      journal_snap_key (s, key);
      break;
    case LOAD_SNAP_OBJ:
      op = journal_store_op (s, STORE_OBJ_GET, &s->load_token);
      clb_copy (key, s->load_after, sizeof key);
      break;
    case LOAD_JOURNAL_ROWS:
      op = journal_store_op (s, STORE_LIST, &s->load_token);
      snprintf (key, sizeof key, "journal/%s/", s->domain);
      op->after = s->load_after ? strdup (s->load_after) : NULL;
      break;
    default:
      op = journal_store_op (s, STORE_LIST, &s->load_token);
      snprintf (key, sizeof key, "grant/");
      op->after = s->load_after ? strdup (s->load_after) : NULL;
      break;
    }
  op->key = strdup (key);
  s->load_retry_at_ms = 0;
}

/* Replay of records: each function applies one record. */

/* Creates the task of an accept record and queues it. */
static void
replay_accept (struct sched *s, const struct rec *r)
{
  struct task *t = sched_task (s, r->id);

  if (t)
    return;
  t = task_new (s, r->id, r->team);
  t->spec = r->spec;
  t->class = r->class;
  t->lane = r->lane;
  t->idempotent = r->idempotent;
  t->recorded = true;
  t->accept_durable = true;
  t->reason = WHY_ACCEPTED;
  RB_INSERT (request_tree, &s->requests, t);
  if (t->lane == LANE_SERVICE)
    t->expires_ms = s->now_ms + t->spec.duration_ms + SERVICE_GRACE_MS;
  else if (t->spec.deadline_ms > 0)
    t->expires_ms = s->now_ms + t->spec.deadline_ms;
  task_enqueue (s, t);
}

/* Finds the worker of a recorded place.  A worker that has not been listed yet
   is created.  @lane is the enum queue_lane of the placed task. */
static struct worker *
find_or_add_worker (struct sched *s, const struct place *p, int lane)
{
  struct worker *w = pool_find_worker (&s->pool, p->worker);
  struct inst in
      = { .kind = lane == LANE_SERVICE ? INST_EXECUTOR : INST_WORKER };

  if (w)
    return w;
  clb_copy (in.id, p->worker, sizeof in.id);
  clb_copy (in.domain, s->domain, sizeof in.domain);
  w = pool_add (&s->pool, &in);
  w->last_contact_ms = s->now_ms;
  return w;
}

/* Places the task on the recorded workers.  Its members are marked as sent,
   since the earlier holder of the domain's lease may have sent their
   starts. */
static void
replay_intent (struct sched *s, struct task *t, const struct rec *r)
{
  struct worker **picked;

  if (r->n_places != (size_t)t->spec.members)
    return;
  task_dequeue (t);
  task_unplace (s, t);
  picked = calloc (r->n_places, sizeof *picked);
  if (!picked)
    abort ();
  for (size_t i = 0; i < r->n_places; i++)
    {
      picked[i] = find_or_add_worker (s, &r->places[i], t->lane);
      clb_res_add (&picked[i]->used, &t->spec.need, 1);
    }
  task_place (s, t, picked);
  t->intent_durable = true;
  t->attempt = r->attempt;
  for (size_t i = 0; i < r->n_places; i++)
    {
      t->members[i].boot = r->places[i].boot;
      t->members[i].state = MEMBER_SENT;
    }
  free (picked);
}

/* Ends the task with the recorded state. */
static void
replay_end (struct sched *s, struct task *t, const struct rec *r)
{
  task_dequeue (t);
  task_unplace (s, t);
  t->state = r->state;
  t->reason = r->reason;
  t->end_decided = true;
  t->end_durable = true;
  t->expires_ms = 0;
  if (t->in_ended_list)
    return;
  TAILQ_INSERT_TAIL (&s->ended, t, ended);
  t->in_ended_list = true;
}

void
journal_replay (struct sched *s, const struct rec *r)
{
  struct task *t = sched_task (s, r->id);

  if (r->kind == REC_ACCEPT)
    {
      replay_accept (s, r);
      return;
    }
  if (!t)
    return;
  switch (r->kind)
    {
    case REC_INTENT:
      replay_intent (s, t, r);
      break;
    case REC_RETRY:
      task_unplace (s, t);
      t->attempt = r->attempt;
      t->failures = r->failures;
      if (!t->in_queue)
        task_enqueue (s, t);
      break;
    case REC_CANCEL:
      t->cancelled = true;
      t->state = TASK_STOPPING;
      task_stop_members (s, t);
      break;
    case REC_END:
      replay_end (s, t, r);
      break;
    case REC_FORGET:
      task_free (s, t);
      break;
    }
}

/* Applies all records of a journal row's or a snapshot's text.  Returns 0, or
   an enum clb_err if the text cannot be parsed. */
static int
replay_text (struct sched *s, const char *text)
{
  struct journal_row row;
  struct codec_err ce;
  int err;

  err = codec_parse (&journal_row_desc, text, strlen (text), CODEC_LENIENT,
                     &row, &ce);
  if (err)
    return err;
  for (size_t i = 0; i < row.n_recs; i++)
    journal_replay (s, &row.recs[i]);
  codec_free (&journal_row_desc, &row);
  return 0;
}

/* Handles the answer to the read of the snapshot row.  If the row is absent or
   cannot be parsed, the journal is read from its first row. */
static void
handle_snap_row (struct sched *s, const struct store_rep *rep)
{
  struct snap_row snap;
  struct codec_err ce;
  const char *text = rep->n_rows ? rep->rows[0].value : NULL;

  s->load_step = LOAD_JOURNAL_ROWS;
  s->journal.first_seq = 1;
  if (!text
      || codec_parse (&snap_row_desc, text, strlen (text), CODEC_LENIENT,
                      &snap, &ce))
    return;
  s->load_step = LOAD_SNAP_OBJ;
  s->load_after = strdup (snap.object);
  s->journal.snap_seq = snap.seq;
  s->journal.commit_seq = snap.seq + 1;
  s->journal.first_seq = snap.first_seq;
}

/* Handles the answer to the read of the snapshot's object. */
static void
handle_snap_obj (struct sched *s, const struct store_rep *rep)
{
  char key[ROW_KEY_SIZE];

  if (rep->n_rows == 0 || !rep->rows[0].value
      || replay_text (s, rep->rows[0].value))
    s->stats.damaged_rows++;
  journal_row_key (s, s->journal.snap_seq, key);
  free (s->load_after);
  s->load_after = strdup (key);
  s->load_step = LOAD_JOURNAL_ROWS;
}

/* Sets sched::load_after to the last key in the answer if the list has more
   rows, else to NULL.  Returns whether the list has more rows. */
static bool
set_list_position (struct sched *s, const struct store_rep *rep)
{
  free (s->load_after);
  s->load_after = NULL;
  if (!rep->more || rep->n_rows == 0)
    return false;
  s->load_after = strdup (rep->rows[rep->n_rows - 1].key);
  return true;
}

/* Handles the answer to a read of journal rows. */
static void
handle_journal_rows (struct sched *s, const struct store_rep *rep)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      const struct row *row = &rep->rows[i];
      const char *seq_text = strrchr (row->key, '/');
      if (!row->value || !seq_text)
        continue;
      if (replay_text (s, row->value))
        s->stats.damaged_rows++;
      s->journal.commit_seq = strtoll (seq_text + 1, NULL, 10) + 1;
    }
  if (!set_list_position (s, rep))
    s->load_step = LOAD_GRANTS;
}

/* Handles the answer to a read of grant rows.  Once all grant rows are read,
   the scheduler is ready. */
static void
handle_grant_rows (struct sched *s, const struct store_rep *rep)
{
  for (size_t i = 0; i < rep->n_rows; i++)
    escrow_load_row (s, &rep->rows[i]);
  if (set_list_position (s, rep))
    return;
  s->load_step = LOAD_DONE;
  s->phase = SCHED_READY;
  escrow_apply_limits (s);
  sched_event (s, WHY_LEASE_ACQUIRED, "", "", s->self_id, 0);
}

void
load_reply (struct sched *s, const struct store_rep *rep)
{
  s->load_token = 0;
  if (rep->err && rep->err != CLB_ENOTFOUND)
    {
      s->load_retry_at_ms = s->now_ms + JOURNAL_RETRY_MS;
      return;
    }
  switch (s->load_step)
    {
    case LOAD_SNAP_ROW:
      handle_snap_row (s, rep);
      break;
    case LOAD_SNAP_OBJ:
      handle_snap_obj (s, rep);
      break;
    case LOAD_JOURNAL_ROWS:
      handle_journal_rows (s, rep);
      break;
    default:
      handle_grant_rows (s, rep);
      break;
    }
}
