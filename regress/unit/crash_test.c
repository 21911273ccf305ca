/* Tests of how crashes of executors under tasks are counted and recorded. */
#include "fsched_impl.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

#define JOB_ID "00000000000000ab"
#define BOOT_MS 1775486528289

/* Return: a scheduler with a job of two tasks. */
static struct fsched *
scheduler_with_job (struct outq *out, struct fsched_stats *stats)
{
  static uint64_t last_token;
  struct fsched *fs = fsched_new (out, &last_token, 1000, 1, 0, stats);
  struct job_spec spec = { .id = JOB_ID, .attempts = 1, .n_steps = 1 };

  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = 2;
  fsched_add_job (fs, &spec, false, 0);
  return fs;
}

static void
free_outputs (struct outq *out)
{
  struct out *o;

  while ((o = out_take (out)))
    out_free (o);
}

static void
test_a_run_counts_once (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct fsched *fs = scheduler_with_job (&out, &stats);
  struct jstep *s = &fsched_find_job (fs, JOB_ID)->steps[0];
  struct exec e = { .rep = { .addr = "10.0.0.1:80" } };
  struct job_crash on_1 = { .run_id = 1, .addr = "10.0.0.1:80" };
  struct job_crash on_2 = { .run_id = 1, .addr = "10.0.0.2:80" };

  CU_ASSERT (crash_add (s, 0, &on_1));
  CU_ASSERT (!crash_add (s, 0, &on_1));
  CU_ASSERT (crash_add (s, 1, &on_2));
  CU_ASSERT_EQUAL (s->tasks[0].n_crashes, 1);
  CU_ASSERT_EQUAL (s->n_crashes, 2);
  CU_ASSERT (crash_happened_on (s, &e));
  clb_copy (e.rep.addr, "10.0.0.3:80", sizeof e.rep.addr);
  CU_ASSERT (!crash_happened_on (s, &e));
  fsched_free (fs);
  free_outputs (&out);
}

/* Returns the state of the job after crashes under three runs of a task, of
   which the first @n_unconfirmed are unconfirmed. */
static int
state_after_three_crashes (int n_unconfirmed)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct fsched *fs = scheduler_with_job (&out, &stats);
  struct job *j = fsched_find_job (fs, JOB_ID);
  int state;

  fsched_load_roster (fs, "i-1 10.0.0.1:80\n");
  for (int i = 1; i <= JOB_CRASHES_MAX; i++)
    {
      struct start r = { .job = j,
                         .exec = exec_find (fs, "i-1"),
                         .run_id = i,
                         .start_acked_ms = i > n_unconfirmed };
      crash_count (fs, &r);
    }
  CU_ASSERT_EQUAL (j->steps[0].n_crashes, JOB_CRASHES_MAX);
  state = j->state;
  fsched_free (fs);
  free_outputs (&out);
  return state;
}

static void
test_three_crashes_fail_a_job_if_confirmed (void)
{
  CU_ASSERT_EQUAL (state_after_three_crashes (0), JOB_FAILED);
  CU_ASSERT_NOT_EQUAL (state_after_three_crashes (1), JOB_FAILED);
}

static void
test_crashes_are_recorded (void)
{
  struct job_crash crash
      = { .run_id = 7, .addr = "10.0.0.1:80", .unconfirmed = true };
  struct job_task_progress task
      = { .index = 1, .crashes = &crash, .n_crashes = 1 };
  struct job_step_progress step = { .tasks = &task, .n_tasks = 1 };
  struct job_progress p
      = { .state = JOB_RUNNING, .steps = &step, .n_steps = 1 };
  clb_auto char *text = codec_text (&job_progress_desc, &p);
  struct job_progress read = { 0 };
  struct codec_err ce;

  CU_ASSERT_EQUAL_FATAL (codec_parse (&job_progress_desc, text, strlen (text),
                                      CODEC_LENIENT, &read, &ce),
                         0);
  CU_ASSERT_EQUAL_FATAL (read.steps[0].tasks[0].n_crashes, 1);
  CU_ASSERT_EQUAL (read.steps[0].tasks[0].crashes[0].run_id, 7);
  CU_ASSERT_STRING_EQUAL (read.steps[0].tasks[0].crashes[0].addr,
                          "10.0.0.1:80");
  CU_ASSERT (read.steps[0].tasks[0].crashes[0].unconfirmed);
  codec_free (&job_progress_desc, &read);
}

/* An earlier version wrote no start of the boot; a damaged row costs only the
   lines that cannot be parsed. */
static void
test_intents_of_all_versions_are_read (void)
{
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  struct fsched_stats stats = { 0 };
  struct fsched *fs = scheduler_with_job (&out, &stats);
  static const char rows[]
      = JOB_ID " 0 0 1 i-1\n" JOB_ID " 0 1 1 i-2 1775486528289\n" JOB_ID
               " 0 1 1 i-2 then\n" JOB_ID " 0 1\n";
  const struct jtask *tasks;

  fsched_load_roster (fs, "i-1 10.0.0.1:80\ni-2 10.0.0.2:80\n");
  CU_ASSERT_EQUAL (fsched_load_intents (fs, "0", rows), 2);
  fsched_load_done (fs);
  tasks = fsched_find_job (fs, JOB_ID)->steps[0].tasks;
  CU_ASSERT (tasks[0].run && tasks[0].run->boot_start_ms == 0);
  CU_ASSERT (tasks[1].run && tasks[1].run->boot_start_ms == BOOT_MS);
  fsched_free (fs);
  free_outputs (&out);
}

UNIT_MAIN ("crash",
           { "a crash under a run counts once", test_a_run_counts_once },
           { "three crashes fail a job if they are confirmed",
             test_three_crashes_fail_a_job_if_confirmed },
           { "crashes are recorded with the progress",
             test_crashes_are_recorded },
           { "intents with and without the executor's boot are read",
             test_intents_of_all_versions_are_read })
