/*
 * Rows with the progress of jobs.
 *
 * The progress of a job is one row, the head, while that fits into a row of
 * the table service.  If it no longer fits, it is split: the head keeps the
 * state, and the progress of the tasks moves to pages, each of which has room
 * for the largest progress of its tasks.  A page holds facts that stay true,
 * such as that a task is done, so a new leader applies all rows of a job,
 * whatever their order and the size of their pages.
 *
 * Not all rows that have changed may fit into one write.  The rows that had
 * changed at one moment make up a round.  When the last row of a round is
 * recorded, the ends of runs that were known when the round began are
 * acknowledged to the executors, and the next round begins.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Size of the key of a page, with the NUL. */
  PAGE_KEY_SIZE = sizeof FSCHED_KEY_PROGRESS + JOB_ID_SIZE + 16,
};

bool
collect_row (struct collection *c, int kind, const char *key,
             const char *value)
{
  int64_t n_bytes = value ? (int64_t)strlen (value) : 0;

  if (c->rows_left == 0 || n_bytes > c->bytes_left)
    return false;
  store_put (c->op, key, value);
  c->rows_left--;
  c->bytes_left -= n_bytes;
  c->to->n_rows++;
  c->to->n_bytes += n_bytes;
  c->to->last_kind = kind;
  return true;
}

/* Writes the key of a page of job @id to @out. */
static void
page_key (const char *id, struct page_ref ref, char out[PAGE_KEY_SIZE])
{
  snprintf (out, PAGE_KEY_SIZE, FSCHED_KEY_PROGRESS "%s.%04d.%04d", id,
            ref.n_tasks, ref.number);
}

static int
total_tasks (const struct job *j)
{
  const struct jstep *last = &j->steps[j->spec.n_steps - 1];

  return last->first_task + last->n_tasks;
}

/* Fills @out with the progress of those tasks of a step, among the @n tasks of
   the job from @first on, that are done or have failed runs, crashes or lost
   runs.
   Returns the number of these tasks. */
static size_t
fill_task_progress (const struct job *j, size_t step, int first, int n,
                    struct job_task_progress *out)
{
  struct jstep *s = &j->steps[step];
  bool gang = j->spec.steps[step].gang;
  int begin = first > s->first_task ? first - s->first_task : 0;
  size_t n_filled = 0;

  /* Pages of earlier leaders go on to state the end of a run that a list has
     shown since, so that the run is named instead of the end left out. */
  for (int t = begin; t < s->n_tasks && s->first_task + t < first + n; t++)
    {
      struct jtask *k = &s->tasks[t];
      struct job_task_progress m
          = { .index = t,
              .done = k->done,
              .stopping_run_id
              = k->run && (k->done ? !gang : k->run->run_id <= k->ended.run_id)
                    ? k->run->run_id
                    : 0,
              .failed = k->failed_runs,
              .n_failed = (size_t)k->n_failed,
              .crashes = k->crashes,
              .n_crashes = (size_t)k->n_crashes,
              .lost = &k->ended,
              .n_lost = k->ended_lost && k->ended.run_id > 0 && !k->done };
      if (m.done || m.n_failed || m.n_crashes || m.n_lost)
        out[n_filled++] = m;
    }
  return n_filled;
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

/* Returns the value of a row with the state of a job and the progress of its
   @n tasks from @first on; the caller frees it. */
static char *
progress_text (const struct job *j, int first, int n)
{
  struct job_progress p
      = { .state = j->state, .runs_left = j->runs_left_written };
  char *text;

  p.steps = fsched_zalloc (j->spec.n_steps, sizeof *p.steps);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct job_step_progress *m = &p.steps[p.n_steps];
      m->step = (int64_t)i;
      m->tasks = fsched_zalloc ((size_t)j->steps[i].n_tasks, sizeof *m->tasks);
      m->n_tasks = fill_task_progress (j, i, first, n, m->tasks);
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

/* Marks a row of the job as due in round @round, unless it is due already. */
static void
mark_row (struct fsched *fs, struct job *j, struct progress_row *row,
          uint64_t round)
{
  if (!row->round)
    {
      row->round = round;
      j->n_dirty_rows++;
    }
  fs->record_due = true;
}

void
progress_mark_state (struct fsched *fs, struct job *j)
{
  mark_row (fs, j, &j->head, fs->round);
}

void
progress_mark_task (struct fsched *fs, struct job *j, int step, int index)
{
  int task = j->steps[step].first_task + index;

  mark_row (fs, j, j->pages ? &j->pages[task / j->page_tasks] : &j->head,
            fs->round);
}

static void
unmark_row (struct job *j, struct progress_row *row)
{
  j->n_dirty_rows -= row->round != 0;
  row->round = 0;
}

/* Returns whether the row is due in the round that is being recorded. */
static bool
row_due (const struct fsched *fs, const struct progress_row *row)
{
  return row->round && row->round < fs->round;
}

/* Adds a row of the job to a write.  Returns false if it does not fit. */
static bool
collect_job_row (struct collection *c, struct job *j, struct progress_row *row,
                 const char *key, const char *text)
{
  if (!collect_row (c, ROW_PROGRESS, key, text))
    return false;
  clb_copy (c->to->job, j->spec.id, sizeof c->to->job);
  unmark_row (j, row);
  row->writing = true;
  j->n_writing_rows++;
  return true;
}

/* Returns whether one of the page's tasks has progress. */
static bool
page_has_progress (const struct job *j, int page)
{
  struct job_task_progress *scratch
      = fsched_zalloc (JOB_STEP_TASKS_MAX, sizeof *scratch);
  bool found = false;

  for (size_t i = 0; i < j->spec.n_steps && !found; i++)
    found = fill_task_progress (j, i, page * j->page_tasks, j->page_tasks,
                                scratch)
            > 0;
  free (scratch);
  return found;
}

/* Marks the pages that the table has, among those that earlier leaders wrote,
   as stored. */
static void
adopt_old_pages (struct job *j)
{
  int n_kept = 0;

  for (int i = 0; i < j->n_old_pages; i++)
    if (j->old_pages[i].n_tasks == j->page_tasks
        && j->old_pages[i].number < j->n_pages)
      j->pages[j->old_pages[i].number].stored = true;
    else
      j->old_pages[n_kept++] = j->old_pages[i];
  j->n_old_pages = n_kept;
}

/* Splits the progress of a job, which no longer fits into the head.  The pages
   with progress are due at once, as the head that is written next lacks it. */
static void
split_progress (struct fsched *fs, struct job *j)
{
  int n_tasks = total_tasks (j);
  int page_tasks = job_tasks_per_row (&j->spec, fs->limits.row_bytes);

  j->page_tasks = page_tasks > 0 ? page_tasks : 1;
  j->n_pages = (n_tasks + j->page_tasks - 1) / j->page_tasks;
  j->pages = fsched_zalloc ((size_t)j->n_pages, sizeof *j->pages);
  adopt_old_pages (j);
  for (int i = 0; i < j->n_pages; i++)
    if (page_has_progress (j, i))
      mark_row (fs, j, &j->pages[i], fs->round - 1);
  fs->stats->progress_splits++;
  out_line (fs->out,
            "event=progress-split job=%s tasks=%d pages=%d page_tasks=%d "
            "row_bytes=%lld",
            j->spec.id, n_tasks, j->n_pages, j->page_tasks,
            (long long)fs->limits.row_bytes);
}

/* Adds the pages that are due to a write.  Returns false if one does not
   fit. */
static bool
collect_pages (struct fsched *fs, struct collection *c, struct job *j)
{
  if (!j->pages)
    return true;
  for (int i = 0; i < j->n_pages; i++)
    {
      char key[PAGE_KEY_SIZE];
      if (!row_due (fs, &j->pages[i]))
        continue;
      clb_auto char *text
          = progress_text (j, i * j->page_tasks, j->page_tasks);
      page_key (j->spec.id, (struct page_ref){ j->page_tasks, i }, key);
      if (!collect_job_row (c, j, &j->pages[i], key, text))
        return false;
    }
  return true;
}

/* Adds the rows of a job that are due to a write, the head after the pages.
   Returns false if one does not fit. */
static bool
collect_job (struct fsched *fs, struct collection *c, struct job *j)
{
  char key[PAGE_KEY_SIZE];
  clb_auto char *text = NULL;
  bool ended;

  if (j->set_aside)
    return true;
  j->runs_left_written = runs_left (j);
  ended = job_state_final (j->state) && !j->runs_left_written;
  /* The final state is all that is needed of a job without runs. */
  ended = ended || j->state_only;
  for (int i = 0; j->pages && ended && i < j->n_pages; i++)
    unmark_row (j, &j->pages[i]);
  if (!j->pages && row_due (fs, &j->head))
    {
      text = progress_text (j, 0, ended ? 0 : total_tasks (j));
      if ((int64_t)strlen (text) > fs->limits.row_bytes)
        split_progress (fs, j);
    }
  if (!collect_pages (fs, c, j))
    return false;
  if (!row_due (fs, &j->head))
    return true;
  if (j->pages)
    {
      free (text);
      text = progress_text (j, 0, 0);
    }
  snprintf (key, sizeof key, FSCHED_KEY_PROGRESS "%s", j->spec.id);
  return collect_job_row (c, j, &j->head, key, text);
}

/* Adds removals of pages of ended jobs to a write, as far as they fit. */
static void
collect_stale_pages (struct fsched *fs, struct collection *c)
{
  struct stale_page *p;

  TAILQ_FOREACH (p, &fs->stale_pages, link)
    {
      char key[PAGE_KEY_SIZE];
      page_key (p->id, p->ref, key);
      p->writing = collect_row (c, ROW_STALE_PAGE, key, NULL);
      if (!p->writing)
        {
          fs->record_due = true;
          return;
        }
    }
}

bool
progress_collect (struct fsched *fs, struct collection *c)
{
  struct job *j;

  TAILQ_FOREACH (j, &fs->queue, link)
    if (j->n_dirty_rows && !collect_job (fs, c, j))
      return false;
  TAILQ_FOREACH (j, &fs->queue, link)
    if (j->n_dirty_rows && !j->set_aside)
      fs->record_due = true;
  collect_stale_pages (fs, c);
  return true;
}

/* Reports that a row is durable if it was in the write. */
static void
row_recorded (struct job *j, struct progress_row *row)
{
  if (!row->writing)
    return;
  row->writing = false;
  row->stored = true;
  j->n_writing_rows--;
}

void
progress_recorded (struct fsched *fs)
{
  struct job *j, *next;
  struct stale_page *p, *next_page;

  TAILQ_FOREACH_SAFE (j, &fs->queue, link, next)
    {
      if (!j->n_writing_rows)
        continue;
      j->recorded = j->recorded
                    || (j->head.writing && job_state_final (j->state)
                        && !j->head.round);
      row_recorded (j, &j->head);
      for (int i = 0; i < j->n_pages; i++)
        row_recorded (j, &j->pages[i]);
      fsched_forget_job (fs, j);
    }
  TAILQ_FOREACH_SAFE (p, &fs->stale_pages, link, next_page)
    if (p->writing)
      {
        TAILQ_REMOVE (&fs->stale_pages, p, link);
        free (p);
      }
}

/* Lets a row be written again, in the round that is being recorded, if it was
   in the refused write. */
static void
row_refused (struct fsched *fs, struct job *j, struct progress_row *row)
{
  if (!row->writing)
    return;
  row->writing = false;
  j->n_writing_rows--;
  unmark_row (j, row);
  mark_row (fs, j, row, fs->round - 1);
}

void
progress_refused (struct fsched *fs)
{
  struct job *j;
  struct stale_page *p;

  TAILQ_FOREACH (j, &fs->queue, link)
    {
      if (!j->n_writing_rows)
        continue;
      row_refused (fs, j, &j->head);
      for (int i = 0; i < j->n_pages; i++)
        row_refused (fs, j, &j->pages[i]);
    }
  TAILQ_FOREACH (p, &fs->stale_pages, link)
    p->writing = false;
}

void
progress_shrink_rows (struct fsched *fs, struct job *j)
{
  if (!j->pages)
    return;
  j->old_pages = realloc (j->old_pages, (size_t)(j->n_old_pages + j->n_pages)
                                            * sizeof *j->old_pages);
  if (!j->old_pages)
    abort ();
  for (int i = 0; i < j->n_pages; i++)
    {
      unmark_row (j, &j->pages[i]);
      if (j->pages[i].stored)
        j->old_pages[j->n_old_pages++] = (struct page_ref){ j->page_tasks, i };
    }
  free (j->pages);
  j->pages = NULL;
  j->n_pages = 0;
  mark_row (fs, j, &j->head, fs->round - 1);
}

void
progress_set_aside (struct fsched *fs, struct job *j)
{
  struct exec *e;

  if (j->set_aside)
    return;
  j->set_aside = true;
  j->retry_record_ms = fs->now_ms + FSCHED_SET_ASIDE_MS;
  fs->n_set_aside++;
  out_line (fs->out, "event=job-set-aside job=%s state=%s rows=%d for_ms=%d",
            j->spec.id, job_state_names[j->state], j->n_dirty_rows,
            FSCHED_SET_ASIDE_MS);
  /* Ends of the job's runs may be among these; the next polls tell. */
  TAILQ_FOREACH (e, &fs->execs, link)
    if (e->seen_end_seq > e->recorded_end_seq)
      {
        e->held_end_seq = e->recorded_end_seq + 1;
        if (e->round_end_seq > e->recorded_end_seq)
          e->round_end_seq = e->recorded_end_seq;
      }
}

void
progress_restore (struct fsched *fs, struct job *j)
{
  if (!j->set_aside)
    return;
  j->set_aside = false;
  fs->n_set_aside--;
  fs->record_due = true;
  fs->pass_due = true;
}

void
progress_tick (struct fsched *fs)
{
  struct job *j;

  if (!fs->n_set_aside)
    return;
  TAILQ_FOREACH (j, &fs->queue, link)
    if (j->set_aside && fs->now_ms >= j->retry_record_ms)
      progress_restore (fs, j);
}

/* Lets a page of an ended job be removed from the table. */
static void
drop_page (struct fsched *fs, const char *id, struct page_ref ref)
{
  struct stale_page *p = fsched_zalloc (1, sizeof *p);

  clb_copy (p->id, id, sizeof p->id);
  p->ref = ref;
  TAILQ_INSERT_TAIL (&fs->stale_pages, p, link);
  fs->record_due = true;
}

void
progress_drop_pages (struct fsched *fs, const struct job *j)
{
  for (int i = 0; i < j->n_old_pages; i++)
    drop_page (fs, j->spec.id, j->old_pages[i]);
  for (int i = 0; i < j->n_pages; i++)
    if (j->pages[i].stored)
      drop_page (fs, j->spec.id, (struct page_ref){ j->page_tasks, i });
}

void
progress_free (struct fsched *fs)
{
  struct stale_page *p;

  while ((p = TAILQ_FIRST (&fs->stale_pages)))
    {
      TAILQ_REMOVE (&fs->stale_pages, p, link);
      free (p);
    }
}

/* Loading. */

void
early_free (struct early_progress *e)
{
  codec_free (&job_progress_desc, &e->progress);
  free (e->pages);
  free (e);
}

void
early_drop (struct fsched *fs, struct early_progress *e)
{
  for (int i = 0; i < e->n_pages; i++)
    drop_page (fs, e->id, e->pages[i]);
  early_free (e);
}

/* Returns the loaded progress of job @id, which is new if there was none. */
static struct early_progress *
early_get (struct fsched *fs, const char *id)
{
  struct early_progress *e = fsched_zalloc (1, sizeof *e);
  struct early_progress *known;

  clb_copy (e->id, id, sizeof e->id);
  e->progress.state = JOB_RUNNING;
  known = RB_INSERT (early_tree, &fs->early_progress, e);
  if (!known)
    return e;
  early_free (e);
  return known;
}

/* Moves the steps of @from to the end of those of @to. */
static void
append_steps (struct job_progress *to, struct job_progress *from)
{
  if (!from->n_steps)
    return;
  to->steps
      = realloc (to->steps, (to->n_steps + from->n_steps) * sizeof *to->steps);
  if (!to->steps)
    abort ();
  memcpy (to->steps + to->n_steps, from->steps,
          from->n_steps * sizeof *to->steps);
  to->n_steps += from->n_steps;
  from->n_steps = 0;
}

/* Parses the key "ID.PAGE_TASKS.NUMBER" of a page.  Returns false if it is not
   of this form. */
static bool
parse_page_key (const char *key, struct page_ref *out)
{
  int end = 0;

  return sscanf (key + JOB_ID_SIZE - 1, ".%4d.%4d%n", &out->n_tasks,
                 &out->number, &end)
             == 2
         && !key[JOB_ID_SIZE - 1 + end] && out->n_tasks > 0
         && out->number >= 0;
}

/* Loads a page of job @id.  The function takes ownership of what @p
   contains. */
static void
load_page (struct fsched *fs, const char *id, struct page_ref ref,
           struct job_progress *p)
{
  struct early_progress *e;

  if (fsched_job_state (fs, id) >= 0)
    {
      drop_page (fs, id, ref);
      codec_free (&job_progress_desc, p);
      return;
    }
  e = early_get (fs, id);
  append_steps (&e->progress, p);
  codec_free (&job_progress_desc, p);
  e->pages = realloc (e->pages, (size_t)(e->n_pages + 1) * sizeof *e->pages);
  if (!e->pages)
    abort ();
  e->pages[e->n_pages++] = ref;
}

int
fsched_load_progress (struct fsched *fs, const char *key,
                      struct job_progress *p)
{
  char id[JOB_ID_SIZE];
  struct page_ref ref = { 0 };
  struct early_progress *e;

  if (strlen (key) < JOB_ID_SIZE - 1
      || (key[JOB_ID_SIZE - 1] && !parse_page_key (key, &ref)))
    {
      codec_free (&job_progress_desc, p);
      return CLB_EFIELD;
    }
  clb_copy (id, key, sizeof id);
  if (ref.n_tasks)
    load_page (fs, id, ref, p);
  else if (job_state_final (p->state) && !p->runs_left)
    {
      fsched_add_ended_job (fs, id, p->state, false);
      codec_free (&job_progress_desc, p);
    }
  else
    {
      e = early_get (fs, id);
      e->progress.state = p->state;
      e->progress.runs_left = p->runs_left;
      append_steps (&e->progress, p);
      codec_free (&job_progress_desc, p);
    }
  return 0;
}
