/* The domain's journal: group commits, snapshots, and reading them back. */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  GROUP_WAIT_MS = 5,      /* a group stays open for more records */
  GROUP_RECORDS = 512,    /* or until it has this many */
  BACKLOG_RECORDS = 8192, /* then new work is refused */
  SNAP_RETRY_MS = 5000,
  CUT_ROWS = 200, /* journal rows deleted in one write */
};

enum snap_step
{
  SNAP_NONE,
  SNAP_HELD,   /* text is made, its last row not yet durable */
  SNAP_OBJECT, /* object being written */
  SNAP_ROW,    /* row being pointed at it, older rows cut */
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

static void
request_key (const char *team, const char *request_id, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "req/%s/%s", team, request_id);
}

static void
group_init (struct group *g)
{
  memset (g, 0, sizeof *g);
  TAILQ_INIT (&g->effects);
}

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
journal_init (struct sched *s, int64_t epoch_ver)
{
  struct journal *j = &s->journal;

  snprintf (j->epoch_key, sizeof j->epoch_key, "epoch/%s", s->domain);
  j->epoch_ver = epoch_ver;
  j->seq = 1;
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

  if (g->row.n_recs == g->cap)
    {
      g->cap = g->cap ? 2 * g->cap : 16;
      g->row.recs = realloc (g->row.recs, g->cap * sizeof *g->row.recs);
      if (!g->row.recs)
        abort ();
    }
  if (g->row.n_recs == 0)
    s->journal.opened_ms = s->now_ms;
  g->row.recs[g->row.n_recs++] = *rec;
  s->stats.records++;
}

struct effect *
journal_effect (struct sched *s, int kind, const char *id)
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
  return s->journal.open.row.n_recs >= BACKLOG_RECORDS;
}

/* What was waiting for the table. */

static void
effect_accept (struct sched *s, struct task *t)
{
  if (t->accept_durable || task_state_final (t->state))
    return;
  t->accept_durable = true;
  sched_event (s, WHY_ACCEPTED, t->id, t->team->name, "", 0);
  task_enqueue (s, t);
}

static void
effect_intent (struct task *t)
{
  t->intent_durable = true;
  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].worker)
      t->members[i].worker->sync_due = true;
}

static void
effect_run (struct sched *s, const struct effect *e)
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
        effect_accept (s, t);
      break;
    case EFFECT_INTENT:
      if (t && t->attempt == e->attempt)
        effect_intent (t);
      break;
    case EFFECT_END:
      if (t)
        t->end_durable = true;
      break;
    case EFFECT_ACK:
      w = pool_worker (&s->pool, e->worker);
      if (w)
        recon_ack (w, e->id);
      break;
    case EFFECT_DROP:
      if (t)
        task_free (s, t);
      break;
    }
}

static void
effects_run (struct sched *s, struct effect_list *list)
{
  struct effect *e;

  while ((e = TAILQ_FIRST (list)))
    {
      TAILQ_REMOVE (list, e, link);
      effect_run (s, e);
      free (e);
    }
}

/* Writing. */

struct store_op *
journal_store_op (struct sched *s, int kind, uint64_t *token)
{
  struct out *o = out_new (s->out, OUT_STORE);

  o->u.store.token = *token = ++*s->tokens;
  o->u.store.op.kind = kind;
  return &o->u.store.op;
}

static void
group_conds (struct sched *s, struct store_op *op, const struct group *g)
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

static void
flight_send (struct sched *s)
{
  struct journal *j = &s->journal;
  char key[ROW_KEY_SIZE];
  struct store_op *op = journal_store_op (s, STORE_TXN, &j->token);
  clb_auto char *text = codec_text (&journal_row_desc, &j->commit.row);

  journal_row_key (s, j->seq, key);
  store_cond (op, j->epoch_key, j->epoch_ver);
  store_cond (op, key, 0);
  store_put (op, key, text);
  group_conds (s, op, &j->commit);
  j->sent_ms = s->now_ms;
  j->retry_ms = 0;
}

static void snap_hold (struct sched *s);

static void
flight_begin (struct sched *s)
{
  struct journal *j = &s->journal;

  if (TAILQ_EMPTY (&j->open.effects) && j->open.row.n_recs == 0)
    return;
  struct group old = j->commit;
  j->commit = j->open;
  TAILQ_INIT (&j->commit.effects);
  TAILQ_CONCAT (&j->commit.effects, &j->open.effects, link);
  j->open = old;
  group_init (&j->open);
  if (j->commit.row.n_recs == 0)
    {
      effects_run (s, &j->commit.effects);
      group_clear (&j->commit);
      return;
    }
  snprintf (j->commit.row.nonce, sizeof j->commit.row.nonce, "%.40s-%lld-%lld",
            s->me, (long long)s->boot, (long long)++j->nonce);
  j->committing = true;
  s->stats.groups++;
  snap_hold (s);
  flight_send (s);
}

static void
flight_durable (struct sched *s)
{
  struct journal *j = &s->journal;
  struct group done = j->commit;

  TAILQ_INIT (&done.effects);
  TAILQ_CONCAT (&done.effects, &j->commit.effects, link);
  group_init (&j->commit);
  j->committing = false;
  j->seq++;
  effects_run (s, &done.effects);
  group_clear (&done);
}

static void
refuse_effects (struct sched *s, struct effect_list *list, const char *id,
                const char *first, int err)
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
          clb_copy (e->reply.id, first, sizeof e->reply.id);
          e->reply.err = err;
          e->reply.reason = WHY_DUPLICATE;
          sched_reply (s, e->entry, &e->reply);
        }
      TAILQ_REMOVE (list, e, link);
      free (e);
    }
}

/* The request was accepted before, perhaps in another domain. */
static void
accept_refused (struct sched *s, const char *id, const char *first)
{
  struct journal *j = &s->journal;
  struct task *t = sched_task (s, id);
  int err = t && t->lane == LANE_SERVICE ? CLB_ERECORDED : 0;
  struct waiter *a;

  /* Doubled calls may wait for it in the next group too. */
  refuse_effects (s, &j->commit.effects, id, first, err);
  refuse_effects (s, &j->open.effects, id, first, err);
  if (!t)
    return;
  while ((a = TAILQ_FIRST (&t->waiters)))
    {
      struct reply r = { .call_seq = a->call_seq, .err = CLB_ERECORDED };
      clb_copy (r.id, first, sizeof r.id);
      sched_reply (s, a->entry, &r);
      TAILQ_REMOVE (&t->waiters, a, link);
      free (a);
    }
  s->stats.reasons[WHY_DUPLICATE]++;
  task_free (s, t);
  /* The snapshot made for this group has the refused task in it. */
  if (j->snap_step == SNAP_HELD)
    j->snap_step = SNAP_NONE;
}

/* Takes the records of refused accepts out of the group. */
static bool
drop_refused (struct sched *s, const struct row *row)
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
      accept_refused (s, r->id, row->value ? row->value : "");
      codec_free (&rec_desc, r);
      memmove (r, r + 1, (g->row.n_recs - i - 1) * sizeof *r);
      g->row.n_recs--;
      return true;
    }
  return false;
}

static bool
is_own_row (const struct sched *s, const struct row *row)
{
  struct journal_row jr;
  struct codec_err ce;

  if (!row->value
      || codec_parse (&journal_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &jr, &ce))
    return false;
  bool own = strcmp (jr.nonce, s->journal.commit.row.nonce) == 0;
  codec_free (&journal_row_desc, &jr);
  return own;
}

static void
flight_conflict (struct sched *s, const struct store_rep *rep)
{
  struct journal *j = &s->journal;
  char key[ROW_KEY_SIZE];
  bool dropped = false;

  journal_row_key (s, j->seq, key);
  /* An earlier try of this very write took effect and its answer was lost. */
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0 && is_own_row (s, &rep->rows[i]))
      {
        flight_durable (s);
        return;
      }
  for (size_t i = 0; i < rep->n_rows; i++)
    dropped |= drop_refused (s, &rep->rows[i]);
  if (!dropped)
    {
      s->phase = SCHED_SUPERSEDED;
      return;
    }
  if (j->commit.row.n_recs == 0)
    {
      effects_run (s, &j->commit.effects);
      group_clear (&j->commit);
      j->committing = false;
      return;
    }
  flight_send (s);
}

static void
flight_answer (struct sched *s, const struct store_rep *rep)
{
  struct journal *j = &s->journal;

  j->token = 0;
  switch (rep->err)
    {
    case 0:
      flight_durable (s);
      break;
    case CLB_ECONFLICT:
      flight_conflict (s, rep);
      break;
    default:
      s->stats.group_retries++;
      j->retry_ms = s->now_ms + JOURNAL_RETRY_MS;
      break;
    }
}

/* Snapshots. */

static void
snap_add (struct journal_row *row, size_t *cap, const struct task *t, int kind)
{
  if (row->n_recs == *cap)
    {
      *cap = *cap ? 2 * *cap : 256;
      row->recs = realloc (row->recs, *cap * sizeof *row->recs);
      if (!row->recs)
        abort ();
    }
  row->recs[row->n_recs++] = task_rec (t, kind);
}

static void
snap_task (struct journal_row *row, size_t *cap, const struct task *t)
{
  snap_add (row, cap, t, REC_ACCEPT);
  if (task_state_final (t->state))
    {
      snap_add (row, cap, t, REC_END);
      return;
    }
  if (t->attempt > 0 || t->failures > 0)
    snap_add (row, cap, t, REC_RETRY);
  if (t->n_members > 0)
    snap_add (row, cap, t, REC_INTENT);
  if (t->cancelled)
    snap_add (row, cap, t, REC_CANCEL);
}

/* The state after the group in flight; used only once that is durable. */
static void
snap_hold (struct sched *s)
{
  struct journal *j = &s->journal;
  struct journal_row row = { .n_recs = 0 };
  size_t cap = 0;
  struct task *t;

  if (j->snap_step != SNAP_NONE || j->seq - j->snap_seq < s->snap_every
      || s->now_ms < j->snap_retry_ms)
    return;
  RB_FOREACH (t, task_tree, &s->tasks)
    if (t->recorded)
      snap_task (&row, &cap, t);
  free (j->snap_text);
  j->snap_text = codec_text (&journal_row_desc, &row);
  codec_free (&journal_row_desc, &row);
  j->snap_last_seq = j->seq;
  j->snap_step = SNAP_HELD;
}

static void
snap_name (const struct sched *s, char out[CLB_ID_MAX])
{
  snprintf (out, CLB_ID_MAX, "snap-%s-%lld-%lld", s->domain,
            (long long)s->epoch, (long long)s->journal.snap_last_seq);
}

static void
snap_put_object (struct sched *s)
{
  struct journal *j = &s->journal;
  char name[CLB_ID_MAX];

  if (j->committing && j->seq <= j->snap_last_seq)
    return;
  struct store_op *op = journal_store_op (s, STORE_OBJ_PUT, &j->snap_token);
  snap_name (s, name);
  op->key = strdup (name);
  op->value = j->snap_text;
  j->snap_text = NULL;
  j->snap_step = SNAP_OBJECT;
}

static void
snap_put_row (struct sched *s)
{
  struct journal *j = &s->journal;
  struct snap_row row = { .seq = j->snap_last_seq };
  struct store_op *op = journal_store_op (s, STORE_TXN, &j->snap_token);
  char key[ROW_KEY_SIZE];

  snap_name (s, row.object);
  row.first_seq = j->first_seq + CUT_ROWS;
  if (row.first_seq > j->snap_last_seq)
    row.first_seq = j->snap_last_seq + 1;
  clb_auto char *text = codec_text (&snap_row_desc, &row);
  journal_snap_key (s, key);
  store_cond (op, j->epoch_key, j->epoch_ver);
  store_put (op, key, text);
  for (int n = 0; n < CUT_ROWS && j->first_seq + n <= j->snap_last_seq; n++)
    {
      journal_row_key (s, j->first_seq + n, key);
      store_put (op, key, NULL);
    }
  j->snap_step = SNAP_ROW;
}

static void
snap_answer (struct sched *s, const struct store_rep *rep)
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
      j->snap_retry_ms = s->now_ms + SNAP_RETRY_MS;
      return;
    }
  if (j->snap_step == SNAP_ROW)
    {
      j->snap_seq = j->snap_last_seq;
      j->first_seq += CUT_ROWS;
      if (j->first_seq > j->snap_last_seq)
        {
          /* Rows that an earlier holder had not yet cut are gone too. */
          j->first_seq = j->snap_last_seq + 1;
          j->snap_step = SNAP_NONE;
          return;
        }
    }
  snap_put_row (s);
}

bool
journal_store (struct sched *s, uint64_t token, const struct store_rep *rep)
{
  struct journal *j = &s->journal;

  if (token == s->load_token)
    load_reply (s, rep);
  else if (token == j->token)
    flight_answer (s, rep);
  else if (token == j->snap_token)
    snap_answer (s, rep);
  else
    return false;
  return true;
}

static bool
group_due (const struct sched *s)
{
  const struct journal *j = &s->journal;

  return j->open.row.n_recs == 0 || j->open.row.n_recs >= GROUP_RECORDS
         || s->now_ms - j->opened_ms >= GROUP_WAIT_MS;
}

void
journal_tick (struct sched *s)
{
  struct journal *j = &s->journal;

  if (s->phase == SCHED_LOADING && !s->load_token
      && s->now_ms >= s->load_retry_ms)
    load_read (s);
  if (s->phase != SCHED_READY)
    return;
  if (j->committing && j->retry_ms && s->now_ms >= j->retry_ms)
    flight_send (s);
  if (!j->committing && group_due (s))
    flight_begin (s);
  if (j->snap_step == SNAP_HELD)
    snap_put_object (s);
}
