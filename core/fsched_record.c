/*
 * Rows that the fleet's scheduler records in the table service: the progress
 * and final state of each job, and the roster of executors.  This file also
 * removes the specifications of ended jobs from the table of jobs.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Fills @out with the progress of those tasks of a step that are done or have
   failed runs or crashes.  Returns the number of these tasks. */
static size_t
fill_task_progress (const struct job *j, size_t step,
                    struct job_task_progress *out)
{
  const struct jstep *s = &j->steps[step];
  bool gang = j->spec.steps[step].gang;
  size_t n = 0;

  for (int t = 0; t < s->n_tasks; t++)
    {
      const struct jtask *k = &s->tasks[t];
      struct job_task_progress m
          = { .index = t,
              .done = k->done,
              .stopping_run_id
              = k->done && k->run && !gang ? k->run->run_id : 0,
              .failed = k->failed_runs,
              .n_failed = (size_t)k->n_failed,
              .crashes = k->crashes,
              .n_crashes = (size_t)k->n_crashes };
      if (m.done || m.n_failed || m.n_crashes)
        out[n++] = m;
    }
  return n;
}

/* Returns whether runs of an ended job may still be going on.  The members of
   a gang that is done have ended together, reported or not. */
static bool
runs_left (const struct job *j)
{
  int n_ended = 0;

  if (!job_state_final (j->state))
    return false;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    for (int t = 0; j->spec.steps[i].gang && t < j->steps[i].n_tasks; t++)
      n_ended += j->steps[i].tasks[t].done && j->steps[i].tasks[t].run;
  return j->n_runs > n_ended;
}

/* Returns the value of a job's progress row, which the caller frees. */
static char *
progress_text (const struct job *j)
{
  struct job_progress p
      = { .state = j->state, .runs_left = j->runs_left_written };
  char *text;

  if (job_state_final (j->state) && !p.runs_left)
    return codec_text (&job_progress_desc, &p);
  p.steps = fsched_zalloc (j->spec.n_steps, sizeof *p.steps);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct job_step_progress *m = &p.steps[p.n_steps];
      m->step = (int64_t)i;
      m->tasks = fsched_zalloc ((size_t)j->steps[i].n_tasks, sizeof *m->tasks);
      m->n_tasks = fill_task_progress (j, i, m->tasks);
      if (m->n_tasks)
        p.n_steps++;
      else
        free (m->tasks);
    }
  text = codec_text (&job_progress_desc, &p);
  for (size_t i = 0; i < p.n_steps; i++)
    free (p.steps[i].tasks);
  free (p.steps);
  return text;
}

int
fsched_roster_row (const char *id)
{
  uint32_t hash = 0;

  for (; *id; id++)
    hash = 31 * hash + (unsigned char)*id;
  return (int)(hash % FSCHED_ROSTER_ROWS);
}

void
roster_mark_dirty (struct fsched *fs, const struct exec *e)
{
  fs->roster_dirty |= UINT32_C (1) << e->roster_row;
  fs->record_due = true;
}

/* Returns whether the roster contains an executor: tasks may be placed on it,
   or it may still run tasks. */
static bool
in_roster (const struct fsched *fs, const struct exec *e)
{
  return exec_recently_listed (fs, e) || !e->reconciled || e->used.millicores
         || e->used.mem_mb || e->used.accels;
}

/* Adds row @number of the roster to a write: a line "id addr" for each of its
   executors. */
static void
collect_roster_row (struct fsched *fs, struct store_op *op, int number)
{
  char key[sizeof FSCHED_KEY_ROSTER + 8];
  clb_auto char *text = NULL;
  size_t len = 0;
  struct exec *e;
  FILE *f = open_memstream (&text, &len);

  if (!f)
    abort ();
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      if (e->roster_row != number)
        continue;
      e->writing = in_roster (fs, e);
      if (e->writing)
        fprintf (f, "%s %s\n", e->rep.id, e->rep.addr);
      else
        e->recorded = false;
    }
  fclose (f);
  snprintf (key, sizeof key, FSCHED_KEY_ROSTER "%02d", number);
  store_put (op, key, text);
}

/* Adds the roster's rows that must be recorded to a write, @max_rows at most.
   Returns the number of rows added. */
static int
collect_roster (struct fsched *fs, struct store_op *op, int max_rows)
{
  int n = 0;

  for (int i = 0; i < FSCHED_ROSTER_ROWS && n < max_rows; i++)
    {
      uint32_t bit = UINT32_C (1) << i;
      if (!(fs->roster_dirty & bit))
        continue;
      collect_roster_row (fs, op, i);
      fs->roster_dirty &= ~bit;
      fs->roster_writing |= bit;
      n++;
    }
  if (fs->roster_dirty)
    fs->record_due = true;
  return n;
}

int
fsched_collect (struct fsched *fs, struct store_op *op, int max_rows)
{
  struct job *j;
  struct exec *e;
  int n = 0;
  bool complete = true;

  fs->record_due = false;
  n = intents_collect (fs, op);
  n += collect_roster (fs, op, max_rows - n);
  TAILQ_FOREACH (j, &fs->queue, link)
    {
      char key[sizeof FSCHED_KEY_PROGRESS + JOB_ID_SIZE];
      if (!j->dirty)
        continue;
      if (n >= max_rows)
        {
          complete = false;
          fs->record_due = true;
          break;
        }
      j->runs_left_written = runs_left (j);
      clb_auto char *text = progress_text (j);
      snprintf (key, sizeof key, FSCHED_KEY_PROGRESS "%s", j->spec.id);
      store_put (op, key, text);
      j->dirty = false;
      j->writing = true;
      n++;
    }
  /* Ends of runs are acknowledged to the executors, and intents dropped, only
     once all progress that the ends changed is recorded. */
  TAILQ_FOREACH (e, &fs->execs, link)
    if (complete)
      e->writing_end_seq = e->seen_end_seq;
  if (!complete)
    fs->intents.writing_ends = fs->intents.recorded_ends;
  return n;
}

void
fsched_recorded (struct fsched *fs)
{
  struct job *j, *next;
  struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (fs->roster_writing >> e->roster_row & 1 && e->writing && !e->recorded)
      {
        e->recorded = true;
        fs->pass_due = true;
      }
  fs->roster_writing = 0;
  TAILQ_FOREACH (e, &fs->execs, link)
    if (e->writing_end_seq > e->recorded_end_seq)
      {
        e->recorded_end_seq = e->writing_end_seq;
        e->next_poll_ms = fs->now_ms;
      }
  TAILQ_FOREACH_SAFE (j, &fs->queue, link, next)
    {
      if (!j->writing)
        continue;
      j->writing = false;
      j->recorded = j->recorded || (job_state_final (j->state) && !j->dirty);
      fsched_forget_job (fs, j);
    }
  intents_recorded (fs);
}

/* Returns the value of a hexadecimal digit. */
static int
hex_value (char c)
{
  return c <= '9' ? c - '0' : (c | 0x20) - 'a' + 10;
}

int
fsched_job_part (const char *id)
{
  int value
      = 16 * hex_value (id[JOB_ID_SIZE - 3]) + hex_value (id[JOB_ID_SIZE - 2]);

  return value % FSCHED_JOB_PARTS;
}

/* Removes the specification of an ended job with the write @op, which may be
   NULL.  Returns the write. */
static struct store_op *
add_trim (struct fsched *fs, struct store_op *op, struct ended_job *ended)
{
  char key[CLB_NAME_MAX];

  if (!op)
    {
      struct out *o = out_new (fs->out, OUT_STORE);
      o->u.store.token = ++*fs->last_token;
      op = &o->u.store.op;
      op->kind = STORE_TXN;
    }
  ended->trim_due = false;
  snprintf (key, sizeof key, "job:%d/%s", fsched_job_part (ended->id),
            ended->id);
  store_put (op, key, FSCHED_TRIMMED);
  return op;
}

/*
 * Removes the specifications of ended jobs from the parts of the table of
 * jobs that have many of them.  The rows themselves stay, so that a job id is
 * never used again.  They are kept short because the next leader reads all of
 * them.  A write that fails is not repeated: the long rows only cost the next
 * leader some time.
 */
void
fsched_trim_jobs (struct fsched *fs)
{
  struct store_op *ops[FSCHED_JOB_PARTS] = { NULL };
  int n_due[FSCHED_JOB_PARTS] = { 0 };
  struct ended_job *e;
  bool whole = fs->now_ms >= fs->next_whole_trim_ms;

  if (fs->now_ms < fs->next_trim_ms)
    return;
  fs->next_trim_ms = fs->now_ms + FSCHED_TRIM_MS;
  if (whole)
    fs->next_whole_trim_ms = fs->now_ms + FSCHED_TRIM_WAIT_MS;
  RB_FOREACH (e, ended_job_tree, &fs->ended_jobs)
    n_due[fsched_job_part (e->id)] += e->trim_due;
  RB_FOREACH (e, ended_job_tree, &fs->ended_jobs)
    {
      int part = fsched_job_part (e->id);
      if (e->trim_due && (whole || n_due[part] >= FSCHED_TRIM_ROWS_MIN)
          && (!ops[part] || ops[part]->n_puts < FSCHED_TRIM_ROWS))
        ops[part] = add_trim (fs, ops[part], e);
    }
}
