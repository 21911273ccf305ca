/*
 * Intents.  An intent is the record of one start; it is written before the
 * start is sent.  If some executors do not answer a new leader, the leader
 * knows from the intents which tasks may be running on them, and schedules all
 * other tasks at once.  Hundreds of waiting jobs can thus continue when a
 * leader fails together with executors, or loses the connection together with
 * a failure domain of them.
 *
 * Intents are stored in a ring of rows in the table service.  Each write with
 * new intents overwrites the next row of the ring; the intents of that row
 * that are still needed are written again with the new ones.  Rows are
 * therefore never deleted.  An intent is needed until the end of its start is
 * recorded.
 *
 * The rows also name starts of which a copy without an answer may be carried
 * out although another copy was sent or the run has ended.  A new leader, too,
 * then acknowledges no end of the executor or the task.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum number of intents in one row; a full row takes some 20 kB. */
  ROW_INTENTS_MAX = 400,
  /* Maximum number of loaded intents that have a log line of their own. */
  LOGGED_INTENTS_MAX = 200,
  /* Largest distance between the wall clocks of two instances. */
  WALL_SKEW_MAX_MS = 5000,
};

/** struct intent - the record of one start */
struct intent
{
  TAILQ_ENTRY (intent) link;
  /* NULL: the start has ended, or an earlier leader created it and its run is
     not assumed to be running. */
  struct start *start;
  struct task_ref task;
  int64_t run_id;
  char exec[CLB_ID_MAX];
  int64_t boot_start_ms; /* as start::boot_start_ms */
  uint64_t end_seq;      /* intents::n_ends at the start's end; 0: not ended */
  /* Until then, a copy of the start that was not answered may be carried out;
     0: the entry is an intent. */
  int64_t copies_until_ms;
  struct start *resend; /* the start to send again once this is durable */
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
free_list (struct intentq *q)
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
    free_list (&p->rows[i]);
  free_list (&p->waiting);
  free_list (&p->writing);
}

static struct intent *
intent_new (const struct start *r)
{
  struct intent *e = fsched_zalloc (1, sizeof *e);

  clb_copy (e->task.job, r->job->spec.id, sizeof e->task.job);
  e->task.step = r->step;
  e->task.index = r->index;
  e->run_id = r->run_id;
  clb_copy (e->exec, r->exec->rep.id, sizeof e->exec);
  e->boot_start_ms = r->boot_start_ms;
  return e;
}

void
intent_add (struct fsched *fs, struct start *r)
{
  struct intent *e = intent_new (r);

  r->intent = e;
  e->start = r;
  TAILQ_INSERT_TAIL (&fs->intents.waiting, e, link);
  fs->intents_write_due = true;
}

void
intent_add_copies (struct fsched *fs, const struct start *r, int64_t until_ms)
{
  struct intent *e = intent_new (r);

  e->copies_until_ms = until_ms;
  TAILQ_INSERT_TAIL (&fs->intents.waiting, e, link);
  fs->intents_write_due = true;
}

void
intent_add_resend (struct fsched *fs, struct start *r, int64_t until_ms)
{
  intent_add_copies (fs, r, until_ms);
  r->resend = TAILQ_LAST (&fs->intents.waiting, intentq);
  r->resend->resend = r;
}

void
intent_set_boot (const struct start *r)
{
  if (r->intent)
    r->intent->boot_start_ms = r->boot_start_ms;
}

void
intent_ended (struct fsched *fs, struct start *r)
{
  if (r->resend)
    r->resend->resend = NULL;
  r->resend = NULL;
  if (!r->intent)
    return;
  r->intent->start = NULL;
  r->intent->end_seq = ++fs->intents.n_ends;
  r->intent = NULL;
}

/* Returns whether the intent must stay in the table service: its start has not
   ended, or the end is not recorded. */
static bool
still_needed (const struct fsched *fs, const struct intent *e)
{
  const struct job *j;

  if (e->copies_until_ms)
    return fs->now_ms < e->copies_until_ms;
  if (e->start || e->end_seq > fs->intents.recorded_ends)
    return true;
  j = fs->n_set_aside ? fsched_find_job (fs, e->task.job) : NULL;
  return j && j->set_aside;
}

/* Returns the line of an entry in a row, which the caller frees.  The line of
   a copy ends with the time until which it may be carried out, by the wall
   clock. */
static char *
intent_line (const struct fsched *fs, const struct intent *e)
{
  int64_t until_wall_ms = e->copies_until_ms + fs->wall_offset_ms;
  char copies[32] = "";
  char *line;

  if (e->copies_until_ms)
    snprintf (copies, sizeof copies, " %lld", (long long)until_wall_ms);
  if (asprintf (&line, "%s %lld %lld %lld %s %lld%s\n", e->task.job,
                (long long)e->task.step, (long long)e->task.index,
                (long long)e->run_id, e->exec, (long long)e->boot_start_ms,
                copies)
      < 0)
    abort ();
  return line;
}

/* Returns the size of the lines of those intents of row @row that are still
   needed, in bytes, and sets @n to their number. */
static int64_t
needed_bytes (const struct fsched *fs, int row, int *n)
{
  const struct intent *e;
  int64_t n_bytes = 0;

  *n = 0;
  TAILQ_FOREACH (e, &fs->intents.rows[row], link)
    {
      if (!still_needed (fs, e))
        continue;
      clb_auto char *line = intent_line (fs, e);
      n_bytes += (int64_t)strlen (line);
      ++*n;
    }
  return n_bytes;
}

/* Returns the next row of the ring in which the needed intents leave room for
   another one, at most @max_bytes in all; -1 if there is none. */
static int
find_row (const struct fsched *fs, int64_t max_bytes)
{
  const struct intents *p = &fs->intents;
  clb_auto char *line = intent_line (fs, TAILQ_FIRST (&p->waiting));

  for (int i = 0; i < INTENT_ROWS; i++)
    {
      int row = (p->next_row + i) % INTENT_ROWS;
      int n;
      if (needed_bytes (fs, row, &n) + (int64_t)strlen (line) <= max_bytes
          && n < ROW_INTENTS_MAX)
        return row;
    }
  return -1;
}

/* Empties row @row: moves its intents that are still needed to the head of the
   waiting ones, and frees the others. */
static void
empty_row (struct fsched *fs, int row)
{
  struct intents *p = &fs->intents;
  struct intent *e;

  while ((e = TAILQ_FIRST (&p->rows[row])))
    {
      TAILQ_REMOVE (&p->rows[row], e, link);
      if (still_needed (fs, e))
        TAILQ_INSERT_HEAD (&p->waiting, e, link);
      else
        free (e);
    }
}

/* Moves waiting intents to the ones being written, at most @max_bytes and as
   many as a row holds.  Returns the value of the row, which the caller
   frees. */
static char *
take_waiting (struct fsched *fs, int64_t max_bytes)
{
  struct intents *p = &fs->intents;
  struct intent *e;
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);
  int64_t n_bytes = 0;

  if (!f)
    abort ();
  for (int n = 0; n < ROW_INTENTS_MAX && (e = TAILQ_FIRST (&p->waiting)); n++)
    {
      clb_auto char *line = intent_line (fs, e);
      n_bytes += (int64_t)strlen (line);
      if (n_bytes > max_bytes)
        break;
      fputs (line, f);
      TAILQ_REMOVE (&p->waiting, e, link);
      TAILQ_INSERT_TAIL (&p->writing, e, link);
    }
  fclose (f);
  return text;
}

void
intents_collect (struct fsched *fs, struct collection *c)
{
  struct intents *p = &fs->intents;
  char key[sizeof FSCHED_KEY_INTENTS + 16];
  clb_auto char *text = NULL;
  int row;

  fs->intents_write_due = false;
  if (TAILQ_EMPTY (&p->waiting))
    return;
  row = find_row (fs, fs->limits.row_bytes);
  if (row < 0)
    {
      out_line (fs->out, "event=intents-full rows=%d row_bytes=%lld",
                INTENT_ROWS, (long long)fs->limits.row_bytes);
      return;
    }
  empty_row (fs, row);
  text = take_waiting (fs, fs->limits.row_bytes);
  fs->intents_write_due = !TAILQ_EMPTY (&p->waiting);
  snprintf (key, sizeof key, FSCHED_KEY_INTENTS "%03d", row);
  /* The first row of a write always fits. */
  collect_row (c, ROW_INTENTS, key, text);
  p->writing_row = row;
  p->next_row = (row + 1) % INTENT_ROWS;
}

/* Returns whether a start may still be sent: the job, the executor, the permit
   or the account's limit may have changed since the task was placed. */
static bool
may_send (struct fsched *fs, const struct start *r)
{
  return fs->may_order && !job_state_final (r->job->state)
         && exec_eligible (fs, r->exec)
         && account_has_room (fs, r->job, r->step, 0)
         && (r->job->spec.advice.base_ms <= 0
             || permit_valid (fs, &r->job->steps[r->step], r->exec));
}

/* Records that this leader has sent a start order for a task of @j.  At the
   first such start, adds the time since the job's arrival to the statistics,
   unless the job was loaded when the term began. */
static void
mark_start_sent (struct fsched *fs, struct job *j)
{
  if (j->start_sent)
    return;
  j->start_sent = true;
  if (!j->inherited)
    hist_add (&fs->stats->first_start_ms, fs->now_ms - j->arrival_ms);
}

/* Sends the starts whose intents are durable now.  All starts are checked
   before any is sent: if one member of a gang cannot be sent, the others are
   dropped. */
static void
send_recorded (struct fsched *fs)
{
  struct intent *e;

  TAILQ_FOREACH (e, &fs->intents.writing, link)
    if (e->start
        && (e->start->state == START_DROPPED
            || (e->start->state == START_INTENT && !may_send (fs, e->start))))
      start_end (fs, e->start, RUN_END_NOT_STARTED);
  TAILQ_FOREACH (e, &fs->intents.writing, link)
    {
      struct start *r = e->start;
      if (r && r->state == START_DROPPED)
        start_end (fs, r, RUN_END_NOT_STARTED);
      else if (r && r->state == START_INTENT)
        {
          r->state = START_SENT;
          r->sent_ms = fs->now_ms;
          mark_start_sent (fs, r->job);
          start_send (fs, r);
        }
      r = e->resend;
      e->resend = NULL;
      if (r)
        {
          r->resend = NULL;
          start_send_again (fs, r);
        }
    }
}

void
intents_recorded (struct fsched *fs)
{
  struct intents *p = &fs->intents;

  p->recorded_ends = p->writing_ends;
  send_recorded (fs);
  TAILQ_CONCAT (&p->rows[p->writing_row], &p->writing, link);
}

void
intents_refused (struct fsched *fs)
{
  struct intents *p = &fs->intents;
  struct intent *e;

  if (TAILQ_EMPTY (&p->writing))
    return;
  while ((e = TAILQ_LAST (&p->writing, intentq)))
    {
      TAILQ_REMOVE (&p->writing, e, link);
      TAILQ_INSERT_HEAD (&p->waiting, e, link);
    }
  /* The row in the table still holds what was moved from it. */
  p->next_row = p->writing_row;
  fs->intents_write_due = true;
}

/* Loading. */

/* Returns the local time until which a copy may be carried out.  The instance
   that recorded it may have had another wall clock.
   @until_wall_ms: as recorded */
static int64_t
copies_until (const struct fsched *fs, int64_t until_wall_ms)
{
  int64_t until_ms = until_wall_ms - fs->wall_offset_ms + WALL_SKEW_MAX_MS;
  int64_t max_ms = fs->now_ms + FSCHED_ORDER_LATE_MS + FSCHED_CLOCK_MARGIN_MS;

  return until_ms < max_ms ? until_ms : max_ms;
}

/* Parses a line "job step index run_id executor boot_start", and that of a
   copy with a time behind it, see intent_line().  Earlier versions wrote no
   boot_start.  Returns false if the line is malformed. */
static bool
parse_line (const struct fsched *fs, char *line, struct intent *e)
{
  long long step, index, run_id;
  long long boot_start_ms = 0;
  long long copies_wall_ms = 0;
  int used = 0;
  char *boot;

  if (sscanf (line, "%16s %lld %lld %lld %n", e->task.job, &step, &index,
              &run_id, &used)
          != 4
      || !used || !line[used])
    return false;
  boot = strchr (line + used, ' ');
  if (boot)
    {
      *boot++ = '\0';
      if (sscanf (boot, "%lld %lld", &boot_start_ms, &copies_wall_ms) < 1)
        return false;
    }
  if (strlen (line + used) >= CLB_ID_MAX || run_id < 0
      || run_id > JOB_RUN_ID_MAX)
    return false;
  e->task.step = step;
  e->task.index = index;
  e->run_id = run_id;
  e->boot_start_ms = boot_start_ms;
  if (copies_wall_ms)
    e->copies_until_ms = copies_until (fs, copies_wall_ms);
  clb_copy (e->exec, line + used, sizeof e->exec);
  return true;
}

int
fsched_load_intents (struct fsched *fs, const char *key, const char *text)
{
  clb_auto char *copy = strdup (text);
  char *save = NULL;
  int row = atoi (key);
  int n_bad = 0;

  if (row < 0 || row >= INTENT_ROWS)
    return 1;
  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      struct intent *e = fsched_zalloc (1, sizeof *e);
      if (parse_line (fs, line, e))
        {
          TAILQ_INSERT_TAIL (&fs->intents.rows[row], e, link);
          continue;
        }
      free (e);
      n_bad++;
    }
  return n_bad;
}

/** enum intent_fate - what a new leader concludes from a loaded intent */
enum intent_fate
{
  FATE_RUNNING,      /* the run may still be running */
  FATE_JOB_UNKNOWN,  /* the job or the task is not known */
  FATE_DONE,         /* the task is done */
  FATE_FAILED,       /* the run is recorded as failed */
  FATE_ENDED,        /* the end of the run is recorded */
  FATE_EARLIER_RUN,  /* the task has a later run */
  FATE_EXEC_UNKNOWN, /* the executor is not in the roster */
  FATE_N
};

static const char *const fate_names[FATE_N]
    = { "running", "job-unknown", "done",        "failed",
        "ended",   "earlier-run", "exec-unknown" };

/*
 * Returns enum intent_fate as far as the records of the job tell it.  Sets
 * @job to the job of the intent, and @task to the task, if the result is
 * FATE_RUNNING.
 */
static int
recorded_fate (const struct fsched *fs, const struct intent *e,
               struct job **job, struct jtask **task)
{
  struct job *j = fsched_task_job (fs, &e->task);
  struct jtask *t;

  if (!j)
    return FATE_JOB_UNKNOWN;
  t = &j->steps[e->task.step].tasks[e->task.index];
  *job = j;
  *task = t;
  if (e->run_id == t->stopping_run_id)
    return FATE_RUNNING;
  if (t->done)
    return FATE_DONE;
  for (int i = 0; i < t->n_failed; i++)
    if (t->failed_runs[i].id == e->run_id)
      return FATE_FAILED;
  return e->run_id <= t->ended.run_id ? FATE_ENDED : FATE_RUNNING;
}

/* Creates a start for a loaded intent whose run may still be running on an
   executor that has not answered this leader.  Returns enum intent_fate. */
static int
assume_running (struct fsched *fs, struct intent *e)
{
  struct exec *exec = exec_find (fs, e->exec);
  struct job *j;
  struct jtask *t;
  struct start *r;
  int fate = recorded_fate (fs, e, &j, &t);

  if (fate != FATE_RUNNING)
    return fate;
  if (t->run || t->last_run_id != e->run_id)
    return FATE_EARLIER_RUN;
  if (!exec || exec->reconciled)
    return FATE_EXEC_UNKNOWN;
  r = start_new (fs, j, (int)e->task.step, (int)e->task.index, exec, e->run_id,
                 START_UNCONFIRMED);
  r->boot_start_ms = e->boot_start_ms;
  r->answer_lost_ms = fs->now_ms;
  r->inherited = true;
  r->intent = e;
  e->start = r;
  if (t->done || job_state_final (j->state))
    start_stop (fs, r);
  return FATE_RUNNING;
}

/* Holds back the acknowledgements that a copy which an earlier leader sent
   forbids. */
static void
load_copies (struct fsched *fs, const struct intent *e)
{
  struct exec *exec = exec_find (fs, e->exec);
  struct job *j = fsched_task_job (fs, &e->task);
  struct jtask *t = j ? &j->steps[e->task.step].tasks[e->task.index] : NULL;

  if (exec && e->copies_until_ms > exec->copies_until_ms)
    exec->copies_until_ms = e->copies_until_ms;
  if (t && e->copies_until_ms > t->copies_until_ms)
    t->copies_until_ms = e->copies_until_ms;
}

/* Logs what a new leader concluded from a loaded intent.  @fate: enum
   intent_fate, not FATE_RUNNING.  Intents of jobs and tasks that are over have
   no line. */
static void
log_not_running (struct fsched *fs, const struct intent *e, int fate)
{
  if (fate == FATE_JOB_UNKNOWN || fate == FATE_DONE)
    return;
  if (++fs->intents.n_logged > LOGGED_INTENTS_MAX)
    return;
  out_line (fs->out,
            "event=intent-not-running job=%s step=%lld task=%lld run=%lld "
            "exec=%s boot=%lld why=%s",
            e->task.job, (long long)e->task.step, (long long)e->task.index,
            (long long)e->run_id, e->exec, (long long)e->boot_start_ms,
            fate_names[fate]);
}

void
intents_load_done (struct fsched *fs)
{
  struct intent *e;
  struct job *j;
  struct jtask *t;
  int n_fates[FATE_N] = { 0 };
  int fate;

  /* Only a task's last run may be running: a leader starts a task again only
     when its earlier run has certainly ended. */
  for (int i = 0; i < INTENT_ROWS; i++)
    TAILQ_FOREACH (e, &fs->intents.rows[i], link)
      if (!e->copies_until_ms && recorded_fate (fs, e, &j, &t) == FATE_RUNNING
          && e->run_id > t->last_run_id)
        t->last_run_id = (int32_t)e->run_id;
  for (int i = 0; i < INTENT_ROWS; i++)
    TAILQ_FOREACH (e, &fs->intents.rows[i], link)
      {
        if (e->copies_until_ms)
          {
            load_copies (fs, e);
            continue;
          }
        fate = assume_running (fs, e);
        n_fates[fate]++;
        if (fate != FATE_RUNNING)
          log_not_running (fs, e, fate);
      }
  out_line (fs->out,
            "event=intents-loaded running=%d job_unknown=%d done=%d failed=%d "
            "ended=%d earlier_run=%d exec_unknown=%d unlogged=%d",
            n_fates[FATE_RUNNING], n_fates[FATE_JOB_UNKNOWN],
            n_fates[FATE_DONE], n_fates[FATE_FAILED], n_fates[FATE_ENDED],
            n_fates[FATE_EARLIER_RUN], n_fates[FATE_EXEC_UNKNOWN],
            fs->intents.n_logged > LOGGED_INTENTS_MAX
                ? fs->intents.n_logged - LOGGED_INTENTS_MAX
                : 0);
}
