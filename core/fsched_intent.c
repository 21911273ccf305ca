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

/** struct plan_entry - one start on record */
struct plan_entry
{
  TAILQ_ENTRY (plan_entry) link;
  struct start *run; /* NULL once it has ended */
  struct task_ref task;
  int64_t no;
  char exec[CLB_ID_MAX];
  uint64_t end_no; /* its end, counted by the cell; 0: has not ended */
};

void
plan_init (struct plan *p)
{
  for (int i = 0; i < PLAN_SLOTS; i++)
    TAILQ_INIT (&p->slots[i]);
  TAILQ_INIT (&p->waiting);
  TAILQ_INIT (&p->writing);
}

static void
free_all (struct plan_entryq *q)
{
  struct plan_entry *e;

  while ((e = TAILQ_FIRST (q)))
    {
      TAILQ_REMOVE (q, e, link);
      free (e);
    }
}

void
plan_fini (struct plan *p)
{
  for (int i = 0; i < PLAN_SLOTS; i++)
    free_all (&p->slots[i]);
  free_all (&p->waiting);
  free_all (&p->writing);
}

static struct plan_entry *
entry_new (struct start *r)
{
  struct plan_entry *e = cell_zalloc (1, sizeof *e);

  e->run = r;
  clb_copy (e->task.job, r->job->spec.id, sizeof e->task.job);
  e->task.step = r->step;
  e->task.index = r->index;
  e->no = r->no;
  clb_copy (e->exec, r->exec->rep.id, sizeof e->exec);
  r->plan = e;
  return e;
}

void
plan_start (struct cell *c, struct start *r)
{
  struct plan_entry *e = entry_new (r);

  TAILQ_INSERT_TAIL (&c->plan.waiting, e, link);
  c->plan_due = true;
}

void
plan_ended (struct cell *c, struct start *r)
{
  if (!r->plan)
    return;
  r->plan->run = NULL;
  r->plan->end_no = ++c->plan.ends;
  r->plan = NULL;
}

static bool
needed (const struct plan *p, const struct plan_entry *e)
{
  return e->run || e->end_no > p->recorded_ends;
}

/* What is still needed of the row that is written next joins the new one. */
static void
hand_on (struct plan *p)
{
  struct plan_entryq *slot = &p->slots[p->next];
  struct plan_entry *e;

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
plan_collect (struct cell *c, struct store_op *op)
{
  struct plan *p = &c->plan;
  struct plan_entry *e;
  char key[sizeof CELL_KEY_PLAN + 16];
  clb_auto char *text = NULL;
  size_t len = 0;
  FILE *f;

  p->write_ends = p->ends;
  c->plan_due = false;
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
               (long long)e->no, e->exec);
      TAILQ_REMOVE (&p->waiting, e, link);
      TAILQ_INSERT_TAIL (&p->writing, e, link);
    }
  c->plan_due = !TAILQ_EMPTY (&p->waiting);
  fclose (f);
  snprintf (key, sizeof key, CELL_KEY_PLAN "%03d", p->next);
  store_put (op, key, text);
  p->write_slot = p->next;
  p->next = (p->next + 1) % PLAN_SLOTS;
  return 1;
}

/* What has changed since it was placed may forbid it by now. */
static bool
may_send (const struct cell *c, const struct start *r)
{
  return c->may_order && !job_state_final (r->job->state)
         && exec_open (c, r->exec)
         && (r->job->spec.advice.base_ms <= 0
             || permit_valid (c, &r->job->steps[r->step], r->exec));
}

static void
count_first (struct cell *c, struct job *j)
{
  if (j->started)
    return;
  j->started = true;
  if (!j->old)
    hist_add (&c->stats->first_start_ms, c->now_ms - j->come_ms);
}

/* A gang's other members are dropped with the first, so all are looked at
   before any is sent. */
static void
send_recorded (struct cell *c)
{
  struct plan_entry *e;

  TAILQ_FOREACH (e, &c->plan.writing, link)
    if (e->run && e->run->state == START_PLANNED && !may_send (c, e->run))
      start_end (c, e->run, END_NEVER);
  TAILQ_FOREACH (e, &c->plan.writing, link)
    {
      struct start *r = e->run;
      if (r && r->state == START_DROPPED)
        start_end (c, r, END_NEVER);
      else if (r && r->state == START_PLANNED)
        {
          r->state = START_SENT;
          r->sent_ms = c->now_ms;
          count_first (c, r->job);
          start_begun (r->job);
          start_send (c, r);
        }
    }
}

void
plan_recorded (struct cell *c)
{
  struct plan *p = &c->plan;

  p->recorded_ends = p->write_ends;
  send_recorded (c);
  TAILQ_CONCAT (&p->slots[p->write_slot], &p->writing, link);
}

/* Loading. */

static bool
parse_line (char *line, struct plan_entry *e)
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
  e->no = no;
  clb_copy (e->exec, line + at, sizeof e->exec);
  return true;
}

int
cell_plan (struct cell *c, const char *key, const char *text)
{
  clb_auto char *copy = strdup (text);
  char *save = NULL;
  int slot = atoi (key);
  int bad = 0;

  if (slot < 0 || slot >= PLAN_SLOTS)
    return 1;
  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      struct plan_entry *e = cell_zalloc (1, sizeof *e);
      if (parse_line (line, e))
        {
          TAILQ_INSERT_TAIL (&c->plan.slots[slot], e, link);
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
open_task (const struct cell *c, const struct plan_entry *e, struct job **job)
{
  struct job *j = cell_job_of (c, &e->task);
  struct jtask *t;

  if (!j || job_state_final (j->state))
    return NULL;
  t = &j->steps[e->task.step].tasks[e->task.index];
  if (t->done)
    return NULL;
  for (int i = 0; i < t->n_failed; i++)
    if (t->failed[i].no == e->no)
      return NULL;
  *job = j;
  return t;
}

static void
maybe_running (struct cell *c, struct plan_entry *e)
{
  struct exec *x = exec_find (c, e->exec);
  struct job *j;
  struct jtask *t = open_task (c, e, &j);
  struct start *r;

  if (!t || t->run || t->last_run != e->no || !x || x->clear)
    return;
  r = start_new (c, j, (int)e->task.step, (int)e->task.index, x, e->no,
                 START_UNSURE);
  r->unsure_ms = c->now_ms;
  r->earlier = true;
  r->plan = e;
  e->run = r;
}

void
plan_go (struct cell *c)
{
  struct plan_entry *e;
  struct job *j;
  struct jtask *t;

  /* Of a task's runs, only the last may be running: a leader starts the next
     when the one before is surely over. */
  for (int i = 0; i < PLAN_SLOTS; i++)
    TAILQ_FOREACH (e, &c->plan.slots[i], link)
      if ((t = open_task (c, e, &j)) && e->no > t->last_run)
        t->last_run = (int32_t)e->no;
  for (int i = 0; i < PLAN_SLOTS; i++)
    TAILQ_FOREACH (e, &c->plan.slots[i], link)
      maybe_running (c, e);
}
