/* Tests of the rows that the fleet's scheduler records: each row and each
   write keeps the limits of the table, and a new leader reads the same
   progress. */
#include "fsched_impl.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JOB_ID "00000000000000ab"

enum
{
  ROW_BYTES = 65536,
  CALL_BYTES = 700000,
  STEPS = 4,
  ATTEMPTS = 4,
  EPOCH = 1000, /* run ids of this term have six digits */
};

/* struct table - rows that writes have put, the latest value of each key */
struct table
{
  struct put *rows;
  size_t n_rows;
  int64_t row_bytes;
  size_t n_too_large; /* number of rows and writes that exceed a limit */
};

static void
table_put (struct table *t, const struct put *p)
{
  size_t i = 0;

  while (i < t->n_rows && strcmp (t->rows[i].key, p->key) != 0)
    i++;
  if (i == t->n_rows)
    {
      t->rows = realloc (t->rows, ++t->n_rows * sizeof *t->rows);
      t->rows[i] = (struct put){ .key = strdup (p->key) };
    }
  free (t->rows[i].value);
  t->rows[i].value = p->value ? strdup (p->value) : NULL;
}

static void
table_free (struct table *t)
{
  for (size_t i = 0; i < t->n_rows; i++)
    {
      free (t->rows[i].key);
      free (t->rows[i].value);
    }
  free (t->rows);
}

static size_t
count_rows (const struct table *t, const char *prefix)
{
  size_t n = 0;

  for (size_t i = 0; i < t->n_rows; i++)
    n += t->rows[i].value
         && strncmp (t->rows[i].key, prefix, strlen (prefix)) == 0;
  return n;
}

static int
put_cmp (const void *a, const void *b)
{
  return strcmp (((const struct put *)a)->key, ((const struct put *)b)->key);
}

static struct fsched *
new_scheduler (struct outq *out, struct fsched_stats *stats, int64_t row_bytes)
{
  static uint64_t last_token;
  struct fsched *fs = fsched_new (out, &last_token, 1000, EPOCH, 0, stats);
  struct store_limits limits
      = { .row_bytes = row_bytes, .call_bytes = CALL_BYTES };

  fsched_set_limits (fs, &limits);
  return fs;
}

static void
add_largest_job (struct fsched *fs, bool inherited)
{
  struct job_spec spec
      = { .id = JOB_ID, .attempts = ATTEMPTS, .n_steps = STEPS };

  spec.steps = fsched_zalloc (STEPS, sizeof *spec.steps);
  for (int i = 0; i < STEPS; i++)
    {
      spec.steps[i].tasks = JOB_STEP_TASKS_MAX;
      spec.steps[i].checkpoints = true;
    }
  fsched_add_job (fs, &spec, inherited, 0);
}

/* Gives each task all failed runs and crashes that its job survives. */
static void
wear_out_tasks (struct fsched *fs)
{
  struct job *j = fsched_find_job (fs, JOB_ID);

  for (int i = 0; i < STEPS; i++)
    for (int t = 0; t < JOB_STEP_TASKS_MAX; t++)
      {
        for (int r = 1; r < ATTEMPTS; r++)
          fsched_task_ended (fs, j, i, t, JOB_RUN_ID_MAX - r, RUN_END_FAILED);
        for (int r = 1; r < JOB_CRASHES_ANY_MAX; r++)
          {
            struct job_crash crash
                = { .run_id = JOB_RUN_ID_MAX - 100 - r, .unconfirmed = true };
            memset (crash.addr, 'a', CLB_ADDR_MAX - 1);
            crash_add (&j->steps[i], t, &crash);
          }
        progress_mark_task (fs, j, i, t);
      }
}

/* Writes all that is due.  Returns the number of writes. */
static int
write_all (struct fsched *fs, struct table *t)
{
  int n = 0;

  for (; n < 1000 && fs->record_due; n++)
    {
      struct store_op op = { 0 };
      size_t n_bytes = 0;
      fsched_collect (fs, &op, LEADER_ROWS_MAX);
      for (size_t i = 0; i < op.n_puts; i++)
        {
          size_t len = op.puts[i].value ? strlen (op.puts[i].value) : 0;
          n_bytes += len;
          t->n_too_large += (int64_t)len > t->row_bytes;
          table_put (t, &op.puts[i]);
        }
      t->n_too_large += n_bytes > CALL_BYTES;
      t->n_too_large += op.n_puts > LEADER_ROWS_MAX;
      codec_free (&store_op_desc, &op);
      fsched_recorded (fs);
    }
  return n;
}

/* Loads the rows of progress, in the order of their keys. */
static void
load (struct fsched *fs, struct table *t)
{
  qsort (t->rows, t->n_rows, sizeof *t->rows, put_cmp);
  for (size_t i = 0; i < t->n_rows; i++)
    {
      struct job_progress p;
      struct codec_err ce;
      const struct put *row = &t->rows[i];
      if (!row->value || strncmp (row->key, FSCHED_KEY_PROGRESS, 7) != 0)
        continue;
      CU_ASSERT_EQUAL_FATAL (codec_parse (&job_progress_desc, row->value,
                                          strlen (row->value), CODEC_LENIENT,
                                          &p, &ce),
                             0);
      CU_ASSERT_EQUAL (fsched_load_progress (fs, row->key + 7, &p), 0);
    }
}

static void
free_outputs (struct outq *out)
{
  struct out *o;

  while ((o = out_take (out)))
    out_free (o);
}

/* Records the largest job in rows of @row_bytes, loads it in the scheduler of
   a new leader with rows of @next_row_bytes, and ends it there. */
static void
check_largest_job (int64_t row_bytes, int64_t next_row_bytes)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct table t = { .row_bytes = row_bytes };
  struct fsched *fs = new_scheduler (&out, &stats, row_bytes);
  struct job *j;
  int n_failed = 0, n_crashes = 0, n_done = 0;

  add_largest_job (fs, false);
  wear_out_tasks (fs);
  CU_ASSERT (write_all (fs, &t) < 100);
  j = fsched_find_job (fs, JOB_ID);
  for (int i = 0; i < STEPS; i++)
    for (int k = i == STEPS - 1; k < JOB_STEP_TASKS_MAX; k++)
      fsched_task_ended (fs, j, i, k, 9, RUN_END_DONE);
  write_all (fs, &t);
  CU_ASSERT_EQUAL (t.n_too_large, 0);
  fsched_free (fs);

  t.row_bytes = next_row_bytes;
  fs = new_scheduler (&out, &stats, next_row_bytes);
  load (fs, &t);
  add_largest_job (fs, true);
  j = fsched_find_job (fs, JOB_ID);
  for (int i = 0; i < STEPS; i++)
    for (int k = 0; k < JOB_STEP_TASKS_MAX; k++)
      {
        n_failed += j->steps[i].tasks[k].n_failed;
        n_crashes += j->steps[i].tasks[k].n_crashes;
        n_done += j->steps[i].tasks[k].done;
      }
  CU_ASSERT_EQUAL (n_failed, 4096 * (ATTEMPTS - 1));
  CU_ASSERT_EQUAL (n_crashes, 4096 * (JOB_CRASHES_ANY_MAX - 1));
  CU_ASSERT_EQUAL (n_done, 4095);
  write_all (fs, &t);
  fsched_task_ended (fs, j, STEPS - 1, 0, 9, RUN_END_DONE);
  write_all (fs, &t);
  CU_ASSERT_EQUAL (t.n_too_large, 0);
  CU_ASSERT_EQUAL (fsched_job_state (fs, JOB_ID), JOB_COMPLETED);
  CU_ASSERT_EQUAL (count_rows (&t, FSCHED_KEY_PROGRESS), 1);
  fsched_free (fs);
  free_outputs (&out);
  table_free (&t);
}

/* A row that the table refuses stops all jobs. */
static void
test_the_largest_job_fits (void)
{
  check_largest_job (ROW_BYTES, ROW_BYTES);
}

static void
test_the_largest_job_fits_into_smaller_rows (void)
{
  check_largest_job (ROW_BYTES, ROW_BYTES / 2);
  check_largest_job (ROW_BYTES / 2, ROW_BYTES);
}

/* Instances of the version before read only the head. */
static void
test_progress_that_fits_stays_in_one_row (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct table t = { .row_bytes = ROW_BYTES };
  struct fsched *fs = new_scheduler (&out, &stats, ROW_BYTES);
  struct job *j;

  add_largest_job (fs, false);
  j = fsched_find_job (fs, JOB_ID);
  for (int k = 0; k < JOB_STEP_TASKS_MAX; k++)
    fsched_task_ended (fs, j, 0, k, 1, RUN_END_DONE);
  write_all (fs, &t);
  CU_ASSERT_EQUAL (t.n_rows, 1);
  CU_ASSERT_STRING_EQUAL (t.rows[0].key, FSCHED_KEY_PROGRESS JOB_ID);
  CU_ASSERT (strstr (t.rows[0].value,
                     "\"marks\":[{\"done\":true},{\"index\":1,\"done\":true}")
             != NULL);
  fsched_free (fs);
  free_outputs (&out);
  table_free (&t);
}

/* An end must not be acknowledged while a row that it changed waits for the
   next write. */
static void
test_ends_wait_for_all_rows_of_a_round (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct fsched *fs = new_scheduler (&out, &stats, ROW_BYTES);
  struct exec_report rep = { .id = "e0", .addr = "10.0.0.1:80" };
  struct exec *e;
  int n_writes = 0;

  fsched_exec_report (fs, &rep);
  e = exec_find (fs, "e0");
  add_largest_job (fs, false);
  wear_out_tasks (fs);
  e->seen_end_seq = 7;
  while (e->recorded_end_seq == 0 && n_writes < 100)
    {
      struct store_op op = { 0 };
      struct job *j = fsched_find_job (fs, JOB_ID);
      /* Rows that were written change again in each round. */
      progress_mark_task (fs, j, 0, 0);
      fsched_collect (fs, &op, LEADER_ROWS_MAX);
      codec_free (&store_op_desc, &op);
      n_writes++;
      if (n_writes == 1)
        e->seen_end_seq = 9;
      fsched_recorded (fs);
    }
  CU_ASSERT (n_writes > 1);
  CU_ASSERT (n_writes < 10);
  CU_ASSERT_EQUAL (e->recorded_end_seq, 7);
  fsched_free (fs);
  free_outputs (&out);
}

/* Ten thousand executors with the longest ids, in small rows. */
static void
test_the_roster_fits (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct table t = { .row_bytes = ROW_BYTES / 4 };
  struct fsched *fs = new_scheduler (&out, &stats, ROW_BYTES / 4);
  struct exec_report rep = { 0 };
  struct exec *e;
  int n_recorded = 0;

  memset (rep.id, 'e', CLB_ID_MAX - 1);
  clb_copy (rep.addr, "100.100.100.100:65535", sizeof rep.addr);
  for (int i = 0; i < 10000; i++)
    {
      char number[16];
      snprintf (number, sizeof number, "%08d", i);
      memcpy (rep.id + CLB_ID_MAX - 9, number, 8);
      fsched_exec_report (fs, &rep);
    }
  write_all (fs, &t);
  CU_ASSERT_EQUAL (t.n_too_large, 0);
  TAILQ_FOREACH (e, &fs->execs, link)
    n_recorded += e->recorded;
  CU_ASSERT_EQUAL (n_recorded, 10000);
  fsched_free (fs);
  fs = new_scheduler (&out, &stats, ROW_BYTES);
  for (size_t i = 0; i < t.n_rows; i++)
    fsched_load_roster (fs, t.rows[i].value);
  CU_ASSERT_EQUAL (fs->n_execs, 10000);
  fsched_free (fs);
  free_outputs (&out);
  table_free (&t);
}

/* Intents of one write need several rows if ids are long and rows small. */
static void
test_intents_fit (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct table t = { .row_bytes = ROW_BYTES / 4 };
  struct fsched *fs = new_scheduler (&out, &stats, ROW_BYTES / 4);
  struct exec_report rep = { .addr = "10.0.0.1:80" };
  struct job *j;
  struct exec *e;

  memset (rep.id, 'e', CLB_ID_MAX - 1);
  fsched_exec_report (fs, &rep);
  e = exec_find (fs, rep.id);
  add_largest_job (fs, false);
  j = fsched_find_job (fs, JOB_ID);
  for (int k = 0; k < JOB_STEP_TASKS_MAX; k++)
    intent_add (fs, start_new (fs, j, 0, k, e, 7, START_INTENT));
  do
    {
      fs->record_due = true;
      write_all (fs, &t);
    }
  while (fs->intents_write_due);
  CU_ASSERT_EQUAL (t.n_too_large, 0);
  CU_ASSERT (count_rows (&t, FSCHED_KEY_INTENTS) > 1);
  CU_ASSERT (TAILQ_EMPTY (&fs->intents.waiting));
  fsched_free (fs);
  free_outputs (&out);
  table_free (&t);
}

UNIT_MAIN ("record",
           { "the largest job fits into rows and writes",
             test_the_largest_job_fits },
           { "the largest job fits into smaller rows",
             test_the_largest_job_fits_into_smaller_rows },
           { "progress that fits stays in one row",
             test_progress_that_fits_stays_in_one_row },
           { "ends wait for all rows of a round",
             test_ends_wait_for_all_rows_of_a_round },
           { "the roster fits", test_the_roster_fits },
           { "intents fit", test_intents_fit })
