/*
 * Rows that the fleet's scheduler records in the table service: those of one
 * write, and the roster of executors.  This file also removes the
 * specifications of ended jobs from the table of jobs.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
  return exec_recently_listed (fs, e) || !e->reconciled
         || !TAILQ_EMPTY (&e->runs);
}

/* Returns the value of row @number of the roster, a line "id addr" for each of
   its executors, from *@from on.  If the value would exceed the largest row,
   sets *@from to the executor with which the next part of the row begins,
   otherwise to NULL.  The caller frees the value. */
static char *
roster_text (struct fsched *fs, int number, struct exec **from)
{
  char *text = NULL;
  size_t len = 0;
  struct exec *e;
  FILE *f = open_memstream (&text, &len);
  int64_t n_bytes = 0;

  if (!f)
    abort ();
  for (e = *from; e; e = TAILQ_NEXT (e, link))
    {
      if (e->roster_row != number || !e->writing)
        continue;
      n_bytes += (int64_t)(strlen (e->rep.id) + strlen (e->rep.addr) + 2);
      if (n_bytes > fs->limits.row_bytes)
        break;
      fprintf (f, "%s %s\n", e->rep.id, e->rep.addr);
    }
  fclose (f);
  *from = e;
  return text;
}

/* Sets exec::writing of the executors of row @number. */
static void
mark_roster_execs (struct fsched *fs, int number)
{
  struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (e->roster_row == number)
      {
        e->writing = in_roster (fs, e);
        e->recorded = e->recorded && e->writing;
      }
}

/* Adds row @number of the roster to a write.  A row that is too large for the
   table is written in parts.  Returns false if one does not fit; the row then
   stays due. */
static bool
collect_roster_row (struct fsched *fs, struct collection *c, int number)
{
  char key[sizeof FSCHED_KEY_ROSTER + 24];
  struct exec *from = TAILQ_FIRST (&fs->execs);
  int part = 0;

  mark_roster_execs (fs, number);
  /* An empty part replaces one that has had executors. */
  for (; part == 0 || from || part < fs->roster_parts[number]; part++)
    {
      clb_auto char *text = roster_text (fs, number, &from);
      if (part == 0)
        snprintf (key, sizeof key, FSCHED_KEY_ROSTER "%02d", number);
      else
        snprintf (key, sizeof key, FSCHED_KEY_ROSTER "%02d.%d", number, part);
      if (!collect_row (c, ROW_ROSTER, key, text))
        return false;
    }
  fs->roster_parts[number] = part;
  return true;
}

/* Adds the roster's rows that must be recorded to a write, as far as they
   fit. */
static void
collect_roster (struct fsched *fs, struct collection *c)
{
  for (int i = 0; i < FSCHED_ROSTER_ROWS; i++)
    {
      uint32_t bit = UINT32_C (1) << i;
      if (!(fs->roster_dirty & bit))
        continue;
      if (!collect_roster_row (fs, c, i))
        break;
      fs->roster_dirty &= ~bit;
      fs->roster_writing |= bit;
    }
  if (fs->roster_dirty)
    fs->record_due = true;
}

/* Begins the next round, unless rows of the one before are still due. */
static void
begin_round (struct fsched *fs)
{
  struct exec *e;

  if (fs->round_open)
    return;
  fs->round_open = true;
  fs->round++;
  fs->intents.round_ends = fs->intents.n_ends;
  TAILQ_FOREACH (e, &fs->execs, link)
    e->round_end_seq = e->held_end_seq && e->held_end_seq <= e->seen_end_seq
                           ? e->held_end_seq - 1
                           : e->seen_end_seq;
}

/* Sets what is recorded once the write is durable.  Ends of runs are
   acknowledged to the executors, and intents dropped, only once all progress
   that the ends changed is recorded. */
static void
set_writing_ends (struct fsched *fs, bool round_complete)
{
  struct exec *e;

  fs->round_writing = round_complete;
  fs->intents.writing_ends
      = round_complete ? fs->intents.round_ends : fs->intents.recorded_ends;
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      e->writing_end_seq
          = round_complete ? e->round_end_seq : e->recorded_end_seq;
      if (e->seen_end_seq > e->writing_end_seq && !e->held_end_seq)
        fs->record_due = true;
    }
}

int
fsched_collect (struct fsched *fs, struct store_op *op, int max_rows)
{
  struct collection c
      = { .op = op,
          .to = &fs->collected,
          .rows_left = max_rows < fs->rows_max ? max_rows : fs->rows_max,
          .bytes_left = fs->limits.call_bytes };
  bool round_complete;

  fs->record_due = false;
  fs->collected = (struct collected){ 0 };
  begin_round (fs);
  if (!fs->skip_intents)
    intents_collect (fs, &c);
  fs->skip_intents = fs->rows_max < max_rows && !fs->skip_intents;
  collect_roster (fs, &c);
  round_complete = progress_collect (fs, &c);
  if (!round_complete)
    fs->record_due = true;
  set_writing_ends (fs, round_complete);
  return fs->collected.n_rows;
}

void
fsched_recorded (struct fsched *fs)
{
  struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (fs->roster_writing >> e->roster_row & 1 && e->writing && !e->recorded)
      {
        e->recorded = true;
        fs->pass_due = true;
      }
  fs->roster_writing = 0;
  if (fs->rows_max < LEADER_ROWS_MAX)
    fs->rows_max = 2 * fs->rows_max < LEADER_ROWS_MAX ? 2 * fs->rows_max
                                                      : LEADER_ROWS_MAX;
  if (fs->round_writing)
    fs->round_open = false;
  fs->round_writing = false;
  TAILQ_FOREACH (e, &fs->execs, link)
    if (e->writing_end_seq > e->recorded_end_seq)
      {
        if (e->recorded_end_seq == e->forgotten_end_seq)
          e->acks_due_ms = fs->now_ms;
        e->recorded_end_seq = e->writing_end_seq;
        e->next_poll_ms = fs->now_ms;
      }
  progress_recorded (fs);
  intents_recorded (fs);
}

/* Handles that the table refuses the only row of a write: what it holds is
   written in smaller rows, or its job is set aside if it is small already. */
static void
handle_refused_row (struct fsched *fs)
{
  const struct collected *c = &fs->collected;
  struct job *j
      = c->last_kind == ROW_PROGRESS ? fsched_find_job (fs, c->job) : NULL;

  if (c->n_bytes > FSCHED_ROW_BYTES_MIN)
    {
      fs->limits.row_bytes = c->n_bytes / 2;
      if (j)
        progress_shrink_rows (fs, j);
    }
  else if (j)
    progress_set_aside (fs, j);
}

void
fsched_refused (struct fsched *fs)
{
  const struct collected *c = &fs->collected;

  out_line (fs->out,
            "event=write-refused rows=%d bytes=%lld last_kind=%d job=%s "
            "row_bytes=%lld",
            c->n_rows, (long long)c->n_bytes, c->last_kind, c->job,
            (long long)fs->limits.row_bytes);
  fs->roster_dirty |= fs->roster_writing;
  fs->roster_writing = 0;
  fs->round_writing = false;
  fs->record_due = true;
  fs->rows_max = 1;
  progress_refused (fs);
  intents_refused (fs);
  if (c->n_rows == 1)
    handle_refused_row (fs);
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
