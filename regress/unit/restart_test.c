/* Tests of what ends a run when its executor restarts under its id. */
#include "sched_fixture.h"
#include "unit.h"

#define JOB "0000000000000001"

/* Returns the task of a job that a new leader has loaded with its progress and
   the intent of run 1 on executor "e9", which has not answered.
   @n_lost: 1 if the progress states that run 1 was lost, 0 if it does not */
static struct jtask *
load_job (struct fixture *x, size_t n_lost)
{
  struct job_crash crash = { .run_id = 1, .addr = "10.0.0.9:80" };
  struct job_end end = { .run_id = 1, .how = RUN_END_REBOOTED };
  struct job_task_progress task
      = { .crashes = &crash, .n_crashes = 1, .lost = &end, .n_lost = n_lost };
  struct job_step_progress step = { .tasks = &task, .n_tasks = 1 };
  struct job_progress written
      = { .state = JOB_RUNNING, .steps = &step, .n_steps = 1 };
  struct job_progress p;
  struct job_spec spec = { .id = JOB, .n_steps = 1, .attempts = 1 };
  struct codec_err ce;
  clb_auto char *text = codec_text (&job_progress_desc, &written);
  static uint64_t last_token;

  *x = (struct fixture){ .now_ms = START_MS };
  TAILQ_INIT (&x->out);
  x->fs = fsched_new (&x->out, &last_token, x->now_ms, 2, 0, &x->stats);
  CU_ASSERT_EQUAL (codec_parse (&job_progress_desc, text, strlen (text),
                                CODEC_LENIENT, &p, &ce),
                   0);
  fsched_load_progress (x->fs, JOB, &p);
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = 1;
  fsched_add_job (x->fs, &spec, true, 0);
  fsched_load_roster (x->fs, "e9 10.0.0.9:80\n");
  fsched_load_intents (x->fs, "0", JOB " 0 0 1 e9 7\n");
  fsched_load_done (x->fs);
  return fsched_find_job (x->fs, JOB)->steps[0].tasks;
}

static void
test_crash_ends_no_run (void)
{
  struct fixture x;

  CU_ASSERT_PTR_NOT_NULL (load_job (&x, 0)->run);
  tear_down (&x);
}

static void
test_recorded_end_ends_a_run (void)
{
  struct fixture x;

  CU_ASSERT_PTR_NULL (load_job (&x, 1)->run);
  tear_down (&x);
}

/* Passes the answer to order @o, with a list of @n_runs runs, to the
   scheduler. Frees the order. */
static void
answer_with_runs (struct fixture *x, struct order *o, int64_t boot_start_ms,
                  struct run_row *runs, size_t n_runs)
{
  struct order_result res = { .outcome = ORDER_DONE,
                              .clock_ms = x->boot_ms + x->now_ms,
                              .boot_start_ms = boot_start_ms,
                              .runs = runs,
                              .n_runs = n_runs };

  CU_ASSERT_PTR_NOT_NULL (o);
  if (o)
    fsched_order_result (x->fs, x->now_ms, o->id, &res);
  order_free (o);
}

static void
answer (struct fixture *x, struct order *o, int64_t boot_start_ms)
{
  answer_with_runs (x, o, boot_start_ms, NULL, 0);
}

/* Returns the next order of @kind to executor @exec; the others are lost. */
static struct order *
next_order_to (struct fixture *x, int kind, const char *exec)
{
  x->now_ms += STEP_MS;
  fsched_tick (x->fs, x->now_ms, true);
  collect (x);
  fsched_recorded (x->fs);
  return take_order_to (x, kind, exec);
}

static struct order *
next_order (struct fixture *x, int kind)
{
  return next_order_to (x, kind, "e0");
}

/* Returns the values of the next write, which the caller frees. */
static char *
next_write (struct fixture *x)
{
  struct store_op op = { 0 };
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);

  fsched_collect (x->fs, &op, LEADER_ROWS_MAX);
  for (size_t i = 0; i < op.n_puts; i++)
    fputs (op.puts[i].value ? op.puts[i].value : "", f);
  fclose (f);
  codec_free (&store_op_desc, &op);
  fsched_recorded (x->fs);
  return text;
}

/* Returns whether a value of the next write contains @text. */
static bool
write_states (struct fixture *x, const char *text)
{
  clb_auto char *written = next_write (x);

  return strstr (written, text) != NULL;
}

/* Leaves only the first @n executors with capacity. */
static void
leave_room_on (struct fixture *x, int n)
{
  struct exec *e;

  TAILQ_FOREACH (e, &x->fs->execs, link)
    if (n-- <= 0)
      e->rep.capacity.millicores = 0;
}

static void
test_list_older_than_a_start_does_not_end_it (void)
{
  struct fixture x;
  struct order *poll;

  set_up (&x);
  set_limit (&x, 10000);
  settle (&x);
  leave_room_on (&x, 1);
  x.now_ms += FSCHED_POLL_WAIT_MS;
  poll = next_order (&x, ORDER_POLL);
  add_job (&x, JOB, 1, false);
  answer (&x, next_order (&x, ORDER_START), 0);
  answer (&x, poll, BOOT_START_MS + 1);
  CU_ASSERT_EQUAL (fsched_tenant (x.fs, "blue")->used.millicores, 1000);
  x.now_ms += FSCHED_POLL_GAP_MS;
  answer (&x, next_order (&x, ORDER_POLL), BOOT_START_MS + 1);
  CU_ASSERT_EQUAL (fsched_tenant (x.fs, "blue")->used.millicores, 0);
  CU_ASSERT (write_states (&x, "\"lost\":[{\"no\":1,"));
  tear_down (&x);
}

static void
test_adopted_run_has_an_intent (void)
{
  struct fixture x;
  struct run_row listed = { .task = { .job = JOB }, .run_id = 3 };

  set_up (&x);
  settle (&x);
  leave_room_on (&x, 0);
  add_job (&x, JOB, 1, false);
  x.now_ms += FSCHED_POLL_WAIT_MS;
  answer_with_runs (&x, next_order (&x, ORDER_POLL), BOOT_START_MS, &listed,
                    1);
  CU_ASSERT (write_states (&x, JOB " 0 0 3 e0 1775486528289\n"));
  tear_down (&x);
}

static void
test_listed_run_revokes_its_end (void)
{
  struct fixture x;
  struct run_row listed = { .task = { .job = JOB }, .run_id = 1 };
  clb_auto char *written = NULL;

  load_job (&x, 1);
  answer_with_runs (&x, next_order_to (&x, ORDER_POLL, "e9"), 8, &listed, 1);
  written = next_write (&x);
  CU_ASSERT_PTR_NOT_NULL (strstr (written, JOB " 0 0 1 e9 8\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (written, "\"crashes\":[{\"no\":1,"));
  CU_ASSERT_PTR_NOT_NULL (strstr (written, "\"stopping\":1,"));
  tear_down (&x);
}

static void
test_start_that_never_ran_is_recorded_after_a_crash (void)
{
  struct fixture x;
  struct order_result refused
      = { .outcome = ORDER_REFUSED, .reason = REFUSED_NO_ROOM };
  struct order *start;

  set_up (&x);
  set_limit (&x, 10000);
  settle (&x);
  leave_room_on (&x, 1);
  add_job (&x, JOB, 1, false);
  answer (&x, next_order (&x, ORDER_START), 0);
  x.boot_start_ms++;
  report_exec (&x, "e0");
  answer (&x, next_order (&x, ORDER_POLL), BOOT_START_MS + 1);
  CU_ASSERT (write_states (&x, "\"lost\":[{\"no\":1,"));
  start = next_order (&x, ORDER_START);
  CU_ASSERT_PTR_NOT_NULL (start);
  if (start)
    fsched_order_result (x.fs, x.now_ms, start->id, &refused);
  order_free (start);
  CU_ASSERT (write_states (&x, "\"lost\":[{\"no\":2,"));
  tear_down (&x);
}

UNIT_MAIN ("restart_test", { "a crash ends no run", test_crash_ends_no_run },
           { "a recorded end ends a run", test_recorded_end_ends_a_run },
           { "a list that is older than a start does not end it",
             test_list_older_than_a_start_does_not_end_it },
           { "an adopted run has an intent", test_adopted_run_has_an_intent },
           { "a listed run revokes its recorded end",
             test_listed_run_revokes_its_end },
           { "a start that never ran is recorded after a crash",
             test_start_that_never_ran_is_recorded_after_a_crash })
