/*
 * The write side of the domain's journal: group commits and snapshots.
 *
 * Records are collected in the open group.  One group at a time is written, as
 * one row of the table; every write has the condition that the epoch row is
 * unchanged, so a scheduler that was superseded cannot write.  Actions that
 * must wait until the group is durable, such as replies and starts, are kept
 * as the group's effects.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A group with records is committed this long after its first record, or
     later if another group is still being written. */
  GROUP_OPEN_MAX_MS = 5,
  /* A group with this many records is committed without waiting for more. */
  GROUP_RECORDS_MAX = 512,
  /* New work is refused while the open group has this many records. */
  OPEN_RECORDS_MAX = 8192,
  /* Delay after a failed snapshot before the next one is made. */
  SNAP_RETRY_MS = 5000,
  /* Maximum number of journal rows deleted in one write. */
  SNAP_DELETE_ROWS_MAX = 200,
};

/** enum snap_step - progress of the current snapshot */
enum snap_step
{
  SNAP_NONE, /* no snapshot in progress */
  /* The snapshot's text is made; it is not written yet, since the last journal
     row that the snapshot covers may not be durable. */
  SNAP_TEXT_MADE,
  SNAP_WRITE_OBJECT, /* the object with the snapshot is being written */
  /* The snapshot row is being set to the new object, and the journal rows that
     the snapshot covers are being deleted. */
  SNAP_WRITE_ROW,
};

void
journal_row_key (const struct sched *s, int64_t seq, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "journal/%s/%015lld", s->domain,
            (long long)seq);
}

void
journal_snap_key (const struct sched *s, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "snap/%s", s->domain);
}

/* Writes the key of a request's row to @out.  The row holds the id of the task
   that was accepted for the request and is shared by all domains. */
static void
request_key (const char *team, const char *request_id, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "req/%s/%s", team, request_id);
}

/* Makes @g an empty group.  What @g owns is not freed. */
static void
group_init (struct group *g)
{
  memset (g, 0, sizeof *g);
  TAILQ_INIT (&g->effects);
}

/* Frees what the group owns and makes it an empty group. */
static void
group_clear (struct group *g)
{
  struct effect *e;

  while ((e = TAILQ_FIRST (&g->effects)))
    {
      TAILQ_REMOVE (&g->effects, e, link);
      free (e);
    }
  codec_free (&journal_row_desc, &g->row);
  group_init (g);
}

void
journal_init (struct sched *s, int64_t epoch_row_ver)
{
  struct journal *j = &s->journal;

  snprintf (j->epoch_key, sizeof j->epoch_key, "epoch/%s", s->domain);
  j->epoch_row_ver = epoch_row_ver;
  j->commit_seq = 1;
  group_init (&j->open);
  group_init (&j->commit);
}

void
journal_free (struct sched *s)
{
  group_clear (&s->journal.open);
  group_clear (&s->journal.commit);
  free (s->journal.snap_text);
}

void
journal_add (struct sched *s, const struct rec *rec)
{
  struct group *g = &s->journal.open;

  if (g->row.n_recs == g->recs_cap)
    {
      g->recs_cap = g->recs_cap ? 2 * g->recs_cap : 16;
      g->row.recs = realloc (g->row.recs, g->recs_cap * sizeof *g->row.recs);
      if (!g->row.recs)
        abort ();
    }
  if (g->row.n_recs == 0)
    s->journal.opened_ms = s->now_ms;
  g->row.recs[g->row.n_recs++] = *rec;
  s->stats.records++;
}

struct effect *
journal_add_effect (struct sched *s, int kind, const char *id)
{
  struct effect *e = calloc (1, sizeof *e);

  if (!e)
    abort ();
  e->kind = kind;
  clb_copy (e->id, id, sizeof e->id);
  TAILQ_INSERT_TAIL (&s->journal.open.effects, e, link);
  return e;
}

bool
journal_full (const struct sched *s)
{
  return s->journal.open.row.n_recs >= OPEN_RECORDS_MAX;
}

/* Effects: actions deferred until a group is durable. */

/* Queues a task whose accept has become durable. */
static void
run_accept_effect (struct sched *s, struct task *t)
{
  if (t->accept_durable || task_state_final (t->state))
    return;
  t->accept_durable = true;
  sched_event (s, WHY_ACCEPTED, t->id, t->team->name, "", 0);
  task_enqueue (s, t);
}

/* Allows the starts of a task to be sent, since its intent has become
   durable. */
static void
run_intent_effect (struct task *t)
{
  t->intent_durable = true;
  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].worker)
      t->members[i].worker->sync_due = true;
}

/* Runs one effect.  An effect whose task or worker no longer exists does
   nothing. */
static void
run_effect (struct sched *s, const struct effect *e)
{
  struct task *t = e->kind == EFFECT_ACK ? NULL : sched_task (s, e->id);
  struct worker *w;

  switch (e->kind)
    {
    case EFFECT_REPLY:
      sched_reply (s, e->entry, &e->reply);
      break;
    case EFFECT_ACCEPT:
      if (t)
        run_accept_effect (s, t);
      break;
    case EFFECT_INTENT:
      if (t && t->attempt == e->attempt)
        run_intent_effect (t);
      break;
    case EFFECT_END:
      if (t)
        t->end_durable = true;
      break;
    case EFFECT_ACK:
      w = pool_find_worker (&s->pool, e->worker);
      if (w)
        recon_ack (w, e->id);
      break;
    case EFFECT_DROP:
      if (t)
        task_free (s, t);
      break;
    }
}

/* Runs all effects of the list, in order, and frees them. */
static void
run_effects (struct sched *s, struct effect_list *list)
{
  struct effect *e;

  while ((e = TAILQ_FIRST (list)))
    {
      TAILQ_REMOVE (list, e, link);
      run_effect (s, e);
      free (e);
    }
}

/* Committing of groups. */

struct store_op *
journal_store_op (struct sched *s, int kind, uint64_t *token)
{
  struct out *o = out_new (s->out, OUT_STORE);

  o->u.store.token = *token = ++*s->last_token;
  o->u.store.op.kind = kind;
  return &o->u.store.op;
}

/* Adds a group's changes of request rows to @op.  An accept creates a row on
   the condition that it is absent, so that a request is accepted only once in
   all domains.  The row of a forgotten task is deleted. */
static void
add_request_rows (struct sched *s, struct store_op *op, const struct group *g)
{
  char key[ROW_KEY_SIZE];

  for (size_t i = 0; i < g->row.n_recs; i++)
    {
      const struct rec *r = &g->row.recs[i];
      struct task *t = sched_task (s, r->id);
      if (r->kind == REC_ACCEPT)
        {
          request_key (r->team, r->spec.request_id, key);
          store_cond (op, key, 0);
          store_put (op, key, r->id);
        }
      if (r->kind == REC_FORGET && t)
        {
          request_key (t->team->name, t->spec.request_id, key);
          store_put (op, key, NULL);
        }
    }
}

/* Sends the write of the commit group, for the first time or again. */
static void
commit_send (struct sched *s)
{
  struct journal *j = &s->journal;
  char key[ROW_KEY_SIZE];
  struct store_op *op = journal_store_op (s, STORE_TXN, &j->commit_token);
  clb_auto char *text = codec_text (&journal_row_desc, &j->commit.row);

  journal_row_key (s, j->commit_seq, key);
  store_cond (op, j->epoch_key, j->epoch_row_ver);
  store_cond (op, key, 0);
  store_put (op, key, text);
  add_request_rows (s, op, &j->commit);
  j->commit_sent_ms = s->now_ms;
  j->commit_retry_at_ms = 0;
}

static void snap_make_if_due (struct sched *s);

/* Begins to commit the open group.  If the group has no records, nothing is
   written and its effects are run at once. */
static void
commit_begin (struct sched *s)
{
  struct journal *j = &s->journal;

  if (TAILQ_EMPTY (&j->open.effects) && j->open.row.n_recs == 0)
    return;
  struct group empty_group = j->commit;
  j->commit = j->open;
  TAILQ_INIT (&j->commit.effects);
  TAILQ_CONCAT (&j->commit.effects, &j->open.effects, link);
  j->open = empty_group;
  group_init (&j->open);
  if (j->commit.row.n_recs == 0)
    {
      run_effects (s, &j->commit.effects);
      group_clear (&j->commit);
      return;
    }
  snprintf (j->commit.row.nonce, sizeof j->commit.row.nonce, "%.40s-%lld-%lld",
            s->self_id, (long long)s->boot, (long long)++j->nonce);
  j->commit_in_progress = true;
  s->stats.groups++;
  snap_make_if_due (s);
  commit_send (s);
}

/* Runs the effects of the commit group, which has become durable. */
static void
commit_finish (struct sched *s)
{
  struct journal *j = &s->journal;
  struct group durable_group = j->commit;

  TAILQ_INIT (&durable_group.effects);
  TAILQ_CONCAT (&durable_group.effects, &j->commit.effects, link);
  group_init (&j->commit);
  j->commit_in_progress = false;
  j->commit_seq++;
  run_effects (s, &durable_group.effects);
  group_clear (&durable_group);
}

/* Removes the effects of task @id from the list.  Replies among them are sent
   at once, with the enum clb_err @err and with the id @first_id of the task
   that was accepted first for the request. */
static void
refuse_effects (struct sched *s, struct effect_list *list, const char *id,
                const char *first_id, int err)
{
  struct effect *e;
  struct effect *next;

  for (e = TAILQ_FIRST (list); e; e = next)
    {
      next = TAILQ_NEXT (e, link);
      if (strcmp (e->id, id) != 0)
        continue;
      if (e->kind == EFFECT_REPLY)
        {
          clb_copy (e->reply.id, first_id, sizeof e->reply.id);
          e->reply.err = err;
          e->reply.reason = WHY_DUPLICATE;
          sched_reply (s, e->entry, &e->reply);
        }
      TAILQ_REMOVE (list, e, link);
      free (e);
    }
}

/* Frees task @id and answers the calls about it, because its request was
   accepted before as task @first_id, perhaps in another domain. */
static void
refuse_accept (struct sched *s, const char *id, const char *first_id)
{
  struct journal *j = &s->journal;
  struct task *t = sched_task (s, id);
  int err = t && t->lane == LANE_SERVICE ? CLB_ERECORDED : 0;
  struct waiter *waiter;

  /* Replies to repeated calls for the request may be in the open group too. */
  refuse_effects (s, &j->commit.effects, id, first_id, err);
  refuse_effects (s, &j->open.effects, id, first_id, err);
  if (!t)
    return;
  while ((waiter = TAILQ_FIRST (&t->waiters)))
    {
      struct reply r = { .call_seq = waiter->call_seq, .err = CLB_ERECORDED };
      clb_copy (r.id, first_id, sizeof r.id);
      sched_reply (s, waiter->entry, &r);
      TAILQ_REMOVE (&t->waiters, waiter, link);
      free (waiter);
    }
  s->stats.reasons[WHY_DUPLICATE]++;
  task_free (s, t);
  /* A snapshot that was made when the group's commit began contains the
     refused task, so it is dropped. */
  if (j->snap_step == SNAP_TEXT_MADE)
    j->snap_step = SNAP_NONE;
}

/* Finds the accept record of the commit group whose request row is @row,
   refuses the task that it accepts and removes the record.  Returns false if
   the group has no such record. */
static bool
drop_refused_accept (struct sched *s, const struct row *row)
{
  struct group *g = &s->journal.commit;
  char key[ROW_KEY_SIZE];

  for (size_t i = 0; i < g->row.n_recs; i++)
    {
      struct rec *r = &g->row.recs[i];
      if (r->kind != REC_ACCEPT)
        continue;
      request_key (r->team, r->spec.request_id, key);
      if (strcmp (key, row->key) != 0)
        continue;
      refuse_accept (s, r->id, row->value ? row->value : "");
      codec_free (&rec_desc, r);
      memmove (r, r + 1, (g->row.n_recs - i - 1) * sizeof *r);
      g->row.n_recs--;
      return true;
    }
  return false;
}

/* Returns whether the journal row was written by this scheduler for the commit
   group. */
static bool
is_own_journal_row (const struct sched *s, const struct row *row)
{
  struct journal_row journal_row;
  struct codec_err ce;

  if (!row->value
      || codec_parse (&journal_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &journal_row, &ce))
    return false;
  bool own = strcmp (journal_row.nonce, s->journal.commit.row.nonce) == 0;
  codec_free (&journal_row_desc, &journal_row);
  return own;
}

/* Handles a conflict: the write of the commit group had no effect, since one
   of its conditions did not hold. */
static void
commit_conflict (struct sched *s, const struct store_rep *rep)
{
  struct journal *j = &s->journal;
  char key[ROW_KEY_SIZE];
  bool dropped = false;

  journal_row_key (s, j->commit_seq, key);
  /* If the journal row is this scheduler's own, an earlier attempt of the same
     write has succeeded and its answer was lost. */
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0
        && is_own_journal_row (s, &rep->rows[i]))
      {
        commit_finish (s);
        return;
      }
  for (size_t i = 0; i < rep->n_rows; i++)
    dropped |= drop_refused_accept (s, &rep->rows[i]);
  if (!dropped)
    {
      s->phase = SCHED_SUPERSEDED;
      return;
    }
  if (j->commit.row.n_recs == 0)
    {
      run_effects (s, &j->commit.effects);
      group_clear (&j->commit);
      j->commit_in_progress = false;
      return;
    }
  commit_send (s);
}

/* Handles the answer to the write of the commit group. */
static void
commit_reply (struct sched *s, const struct store_rep *rep)
{
  struct journal *j = &s->journal;

  j->commit_token = 0;
  switch (rep->err)
    {
    case 0:
      commit_finish (s);
      break;
    case CLB_ECONFLICT:
      commit_conflict (s, rep);
      break;
    default:
      s->stats.group_retries++;
      j->commit_retry_at_ms = s->now_ms + JOURNAL_RETRY_MS;
      break;
    }
}

/* Writing of snapshots. */

/* Appends a record of the task to the snapshot @row.  @kind is its enum
   rec_kind.  *@recs_cap is the number of records that row->recs has space for;
   it is updated when row->recs grows. */
static void
snap_add_rec (struct journal_row *row, size_t *recs_cap, const struct task *t,
              int kind)
{
  if (row->n_recs == *recs_cap)
    {
      *recs_cap = *recs_cap ? 2 * *recs_cap : 256;
      row->recs = realloc (row->recs, *recs_cap * sizeof *row->recs);
      if (!row->recs)
        abort ();
    }
  row->recs[row->n_recs++] = task_make_rec (t, kind);
}

/* Appends the records that restore the task's state to the snapshot @row.
   @recs_cap is as for snap_add_rec(). */
static void
snap_add_task (struct journal_row *row, size_t *recs_cap, const struct task *t)
{
  snap_add_rec (row, recs_cap, t, REC_ACCEPT);
  if (task_state_final (t->state))
    {
      snap_add_rec (row, recs_cap, t, REC_END);
      return;
    }
  if (t->attempt > 0 || t->failures > 0)
    snap_add_rec (row, recs_cap, t, REC_RETRY);
  if (t->n_members > 0)
    snap_add_rec (row, recs_cap, t, REC_INTENT);
  if (t->cancelled)
    snap_add_rec (row, recs_cap, t, REC_CANCEL);
}

/* Makes the text of a snapshot if one is due.  The snapshot covers the commit
   group, so it is written only once that group is durable. */
static void
snap_make_if_due (struct sched *s)
{
  struct journal *j = &s->journal;
  struct journal_row row = { .n_recs = 0 };
  size_t recs_cap = 0;
  struct task *t;

  if (j->snap_step != SNAP_NONE || j->commit_seq - j->snap_seq < s->snap_every
      || s->now_ms < j->snap_retry_at_ms)
    return;
  RB_FOREACH (t, task_tree, &s->tasks)
    if (t->recorded)
      snap_add_task (&row, &recs_cap, t);
  free (j->snap_text);
  j->snap_text = codec_text (&journal_row_desc, &row);
  codec_free (&journal_row_desc, &row);
  j->snap_last_seq = j->commit_seq;
  j->snap_step = SNAP_TEXT_MADE;
}

/* Writes the name of the object for the snapshot in progress to @out. */
static void
snap_object_name (const struct sched *s, char out[CLB_ID_MAX])
{
  snprintf (out, CLB_ID_MAX, "snap-%s-%lld-%lld", s->domain,
            (long long)s->epoch, (long long)s->journal.snap_last_seq);
}

/* Sends the write of the snapshot's object if the last journal row that the
   snapshot covers is durable. */
static void
snap_put_object (struct sched *s)
{
  struct journal *j = &s->journal;
  char name[CLB_ID_MAX];

  if (j->commit_in_progress && j->commit_seq <= j->snap_last_seq)
    return;
  struct store_op *op = journal_store_op (s, STORE_OBJ_PUT, &j->snap_token);
  snap_object_name (s, name);
  op->key = strdup (name);
  op->value = j->snap_text;
  j->snap_text = NULL;
  j->snap_step = SNAP_WRITE_OBJECT;
}

/* Sends a write that makes the snapshot row name the new snapshot's object and
   deletes the oldest journal rows that the snapshot covers, at most
   SNAP_DELETE_ROWS_MAX of them. */
static void
snap_put_row (struct sched *s)
{
  struct journal *j = &s->journal;
  struct snap_row row = { .seq = j->snap_last_seq };
  struct store_op *op = journal_store_op (s, STORE_TXN, &j->snap_token);
  char key[ROW_KEY_SIZE];

  snap_object_name (s, row.object);
  row.first_seq = j->first_seq + SNAP_DELETE_ROWS_MAX;
  if (row.first_seq > j->snap_last_seq)
    row.first_seq = j->snap_last_seq + 1;
  clb_auto char *text = codec_text (&snap_row_desc, &row);
  journal_snap_key (s, key);
  store_cond (op, j->epoch_key, j->epoch_row_ver);
  store_put (op, key, text);
  for (int k = 0;
       k < SNAP_DELETE_ROWS_MAX && j->first_seq + k <= j->snap_last_seq; k++)
    {
      journal_row_key (s, j->first_seq + k, key);
      store_put (op, key, NULL);
    }
  j->snap_step = SNAP_WRITE_ROW;
}

/* Handles the answer to a write for the snapshot in progress.  Further writes
   follow until all journal rows that the snapshot covers are deleted. */
static void
snap_reply (struct sched *s, const struct store_rep *rep)
{
  struct journal *j = &s->journal;

  j->snap_token = 0;
  if (rep->err == CLB_ECONFLICT)
    {
      s->phase = SCHED_SUPERSEDED;
      return;
    }
  if (rep->err)
    {
      j->snap_step = SNAP_NONE;
      j->snap_retry_at_ms = s->now_ms + SNAP_RETRY_MS;
      return;
    }
  if (j->snap_step == SNAP_WRITE_ROW)
    {
      j->snap_seq = j->snap_last_seq;
      j->first_seq += SNAP_DELETE_ROWS_MAX;
      if (j->first_seq > j->snap_last_seq)
        {
          /* The rows deleted include those that an earlier holder of the
             domain's lease had not deleted. */
          j->first_seq = j->snap_last_seq + 1;
          j->snap_step = SNAP_NONE;
          return;
        }
    }
  snap_put_row (s);
}

bool
journal_handle_store_reply (struct sched *s, uint64_t token,
                            const struct store_rep *rep)
{
  struct journal *j = &s->journal;

  if (token == s->load_token)
    load_reply (s, rep);
  else if (token == j->commit_token)
    commit_reply (s, rep);
  else if (token == j->snap_token)
    snap_reply (s, rep);
  else
    return false;
  return true;
}

/* Returns whether the open group is to be committed now, without waiting for
   more records.  A group without records is always due, since it may have
   effects. */
static bool
group_is_due (const struct sched *s)
{
  const struct journal *j = &s->journal;

  return j->open.row.n_recs == 0 || j->open.row.n_recs >= GROUP_RECORDS_MAX
         || s->now_ms - j->opened_ms >= GROUP_OPEN_MAX_MS;
}

void
journal_tick (struct sched *s)
{
  struct journal *j = &s->journal;

  if (s->phase == SCHED_LOADING && !s->load_token
      && s->now_ms >= s->load_retry_at_ms)
    load_read (s);
  if (s->phase != SCHED_READY)
    return;
  if (j->commit_in_progress && j->commit_retry_at_ms
      && s->now_ms >= j->commit_retry_at_ms)
    commit_send (s);
  if (!j->commit_in_progress && group_is_due (s))
    commit_begin (s);
  if (j->snap_step == SNAP_TEXT_MADE)
    snap_put_object (s);
}
