/*
 * Starts are put on record before they are sent: a successor whose executors
 * do not all answer then knows which tasks may be running on the silent ones,
 * and goes on with all others at once.
 *
 * The record is a ring of rows, one for each write that carries starts.  A
 * row that is written anew first hands on what is still needed of it, so
 * nothing has to be removed.  A start's record is needed until its end is on
 * record too.
 *
 * Load answered: a leader lost together with executors, or cut off with a
 * domain of them, while hundreds of jobs wait.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BATCH_MAX = 400, /* starts of one row: some 20 kB */
};

/** struct intent - one start on record */
struct intent
{
  TAILQ_ENTRY (intent) link;
  struct start *start; /* NULL once it has ended */
  struct task_ref task;
  int64_t run_id;
  char exec[CLB_ID_MAX];
  uint64_t end_seq; /* its end, counted by the cell; 0: has not ended */
};

void
intents_init (struct intents *p)
{
  for (int i = 0; i < INTENT_ROWS; i++)
    TAILQ_INIT (&p->rows[i]);
  TAILQ_INIT (&p->waiting);
  TAILQ_INIT (&p->writing);
}

static void
free_all (struct intentq *q)
{
  struct intent *e;

  while ((e = TAILQ_FIRST (q)))
    {
      TAILQ_REMOVE (q, e, link);
      free (e);
    }
}

void
intents_fini (struct intents *p)
{
  for (int i = 0; i < INTENT_ROWS; i++)
    free_all (&p->rows[i]);
  free_all (&p->waiting);
  free_all (&p->writing);
}

static struct intent *
entry_new (struct start *r)
{
  struct intent *e = fsched_zalloc (1, sizeof *e);

  e->start = r;
  clb_copy (e->task.job, r->job->spec.id, sizeof e->task.job);
  e->task.step = r->step;
  e->task.index = r->index;
  e->run_id = r->run_id;
  clb_copy (e->exec, r->exec->rep.id, sizeof e->exec);
  r->intent = e;
  return e;
}

void
intent_start (struct fsched *c, struct start *r)
{
  struct intent *e = entry_new (r);

  TAILQ_INSERT_TAIL (&c->intents.waiting, e, link);
  c->intents_due = true;
}

void
intent_ended (struct fsched *c, struct start *r)
{
  if (!r->intent)
    return;
  r->intent->start = NULL;
  r->intent->end_seq = ++c->intents.n_ends;
  r->intent = NULL;
}

static bool
needed (const struct intents *p, const struct intent *e)
{
  return e->start || e->end_seq > p->recorded_ends;
}

/* What is still needed of the row that is written next joins the new one. */
static void
hand_on (struct intents *p)
{
  struct intentq *slot = &p->rows[p->next_row];
  struct intent *e;

  while ((e = TAILQ_FIRST (slot)))
    {
      TAILQ_REMOVE (slot, e, link);
      if (needed (p, e))
        TAILQ_INSERT_HEAD (&p->waiting, e, link);
      else
        free (e);
    }
}

int
intents_collect (struct fsched *c, struct store_op *op)
{
  struct intents *p = &c->intents;
  struct intent *e;
  char key[sizeof FSCHED_KEY_INTENTS + 16];
  clb_auto char *text = NULL;
  size_t len = 0;
  FILE *f;

  p->writing_ends = p->n_ends;
  c->intents_due = false;
  if (TAILQ_EMPTY (&p->waiting))
    return 0;
  hand_on (p);
  f = open_memstream (&text, &len);
  if (!f)
    abort ();
  for (int n = 0; n < BATCH_MAX && (e = TAILQ_FIRST (&p->waiting)); n++)
    {
      fprintf (f, "%s %lld %lld %lld %s\n", e->task.job,
               (long long)e->task.step, (long long)e->task.index,
               (long long)e->run_id, e->exec);
      TAILQ_REMOVE (&p->waiting, e, link);
      TAILQ_INSERT_TAIL (&p->writing, e, link);
    }
  c->intents_due = !TAILQ_EMPTY (&p->waiting);
  fclose (f);
  snprintf (key, sizeof key, FSCHED_KEY_INTENTS "%03d", p->next_row);
  store_put (op, key, text);
  p->writing_row = p->next_row;
  p->next_row = (p->next_row + 1) % INTENT_ROWS;
  return 1;
}

/* What has changed since it was placed may forbid it by now. */
static bool
may_send (const struct fsched *c, const struct start *r)
{
  return c->may_order && !job_state_final (r->job->state)
         && exec_eligible (c, r->exec)
         && (r->job->spec.advice.base_ms <= 0
             || permit_valid (c, &r->job->steps[r->step], r->exec));
}

static void
count_first (struct fsched *c, struct job *j)
{
  if (j->start_sent)
    return;
  j->start_sent = true;
  if (!j->inherited)
    hist_add (&c->stats->first_start_ms, c->now_ms - j->arrival_ms);
}

/* A gang's other members are dropped with the first, so all are looked at
   before any is sent. */
static void
send_recorded (struct fsched *c)
{
  struct intent *e;

  TAILQ_FOREACH (e, &c->intents.writing, link)
    if (e->start && e->start->state == START_INTENT && !may_send (c, e->start))
      start_end (c, e->start, RUN_END_NOT_STARTED);
  TAILQ_FOREACH (e, &c->intents.writing, link)
    {
      struct start *r = e->start;
      if (r && r->state == START_DROPPED)
        start_end (c, r, RUN_END_NOT_STARTED);
      else if (r && r->state == START_INTENT)
        {
          r->state = START_SENT;
          r->sent_ms = c->now_ms;
          count_first (c, r->job);
          start_mark_job_started (r->job);
          start_send (c, r);
        }
    }
}

void
intents_recorded (struct fsched *c)
{
  struct intents *p = &c->intents;

  p->recorded_ends = p->writing_ends;
  send_recorded (c);
  TAILQ_CONCAT (&p->rows[p->writing_row], &p->writing, link);
}

/* Loading. */

static bool
parse_line (char *line, struct intent *e)
{
  long long step, index, no;
  int at = 0;

  if (sscanf (line, "%16s %lld %lld %lld %n", e->task.job, &step, &index, &no,
              &at)
          != 4
      || !at || !line[at] || strlen (line + at) >= CLB_ID_MAX)
    return false;
  e->task.step = step;
  e->task.index = index;
  e->run_id = no;
  clb_copy (e->exec, line + at, sizeof e->exec);
  return true;
}

int
fsched_load_intents (struct fsched *c, const char *key, const char *text)
{
  clb_auto char *copy = strdup (text);
  char *save = NULL;
  int slot = atoi (key);
  int bad = 0;

  if (slot < 0 || slot >= INTENT_ROWS)
    return 1;
  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      struct intent *e = fsched_zalloc (1, sizeof *e);
      if (parse_line (line, e))
        {
          TAILQ_INSERT_TAIL (&c->intents.rows[slot], e, link);
          continue;
        }
      free (e);
      bad++;
    }
  return bad;
}

/* The task that an entry may still be running; NULL if it surely is not: its
   job or it has ended, or that run has. */
static struct jtask *
open_task (const struct fsched *c, const struct intent *e, struct job **job)
{
  struct job *j = fsched_task_job (c, &e->task);
  struct jtask *t;

  if (!j || job_state_final (j->state))
    return NULL;
  t = &j->steps[e->task.step].tasks[e->task.index];
  if (t->done)
    return NULL;
  for (int i = 0; i < t->n_failed; i++)
    if (t->failed_runs[i].id == e->run_id)
      return NULL;
  *job = j;
  return t;
}

static void
maybe_running (struct fsched *c, struct intent *e)
{
  struct exec *x = exec_find (c, e->exec);
  struct job *j;
  struct jtask *t = open_task (c, e, &j);
  struct start *r;

  if (!t || t->run || t->last_run_id != e->run_id || !x || x->reconciled)
    return;
  r = start_new (c, j, (int)e->task.step, (int)e->task.index, x, e->run_id,
                 START_UNCONFIRMED);
  r->answer_lost_ms = c->now_ms;
  r->inherited = true;
  r->intent = e;
  e->start = r;
}

void
intents_load_done (struct fsched *c)
{
  struct intent *e;
  struct job *j;
  struct jtask *t;

  /* Of a task's runs, only the last may be running: a leader starts the next
     when the one before is surely over. */
  for (int i = 0; i < INTENT_ROWS; i++)
    TAILQ_FOREACH (e, &c->intents.rows[i], link)
      if ((t = open_task (c, e, &j)) && e->run_id > t->last_run_id)
        t->last_run_id = (int32_t)e->run_id;
  for (int i = 0; i < INTENT_ROWS; i++)
    TAILQ_FOREACH (e, &c->intents.rows[i], link)
      maybe_running (c, e);
}
