/* Tests of the log lines that tell which jobs wait, and why. */
#include "sched_fixture.h"
#include "unit.h"

enum
{
  JOBS_MAX = 4096,
  LINES_MAX = 50,   /* named jobs a second, as docs/OPERATIONS.md says */
  NAMED_MS = 5000,  /* time in which LATE_JOBS jobs are named */
  LATE_JOBS = 200,  /* as docs/OPERATIONS.md says */
  TICK_MS = 10,     /* the leader's interval */
  SECOND_MS = 1000, /* interval between groups of lines */
};

/* struct named - the jobs that log lines have named, in this order */
struct named
{
  char ids[JOBS_MAX][JOB_ID_SIZE];
  int n;
  int n_summaries;
  char summary[1024];   /* the last summary */
  char line[1024];      /* the last line that names a job */
  int n_inherited;      /* number of lines about inherited starts */
  char inherited[1024]; /* the last one */
  char events[65536];   /* all other lines about job 1 */
};

/* Adds a job that waits for an executor which does not exist.  @id: number in
   the job's id.  @due_ms: time until the job is due, may be negative. */
static void
add_waiting (struct fixture *x, const char *account, int id, int64_t due_ms,
             bool inherited)
{
  struct job_spec spec = { .attempts = 1, .n_steps = 1 };
  int64_t age_ms = due_ms < 0 ? 1 - due_ms : 0;

  snprintf (spec.id, sizeof spec.id, "%016d", id);
  clb_copy (spec.tenant, account, sizeof spec.tenant);
  snprintf (spec.queue, sizeof spec.queue, "q%d", id % 6);
  clb_copy (spec.service, "missing", sizeof spec.service);
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = 1;
  spec.steps[0].need.millicores = 1000;
  spec.target_ms = due_ms + age_ms;
  fsched_add_job (x->fs, &spec, inherited, age_ms);
}

/* Adds what a log line tells to @to. */
static void
read_line (struct named *to, const char *line)
{
  if (sscanf (line, "event=waits job=%16s", to->ids[to->n]) == 1)
    {
      to->n += to->n < JOBS_MAX - 1;
      clb_copy (to->line, line, sizeof to->line);
    }
  if (strncmp (line, "event=waits-summary ", 20) == 0)
    {
      to->n_summaries++;
      clb_copy (to->summary, line, sizeof to->summary);
    }
  else if (strncmp (line, "event=inherited ", 16) == 0)
    {
      to->n_inherited++;
      clb_copy (to->inherited, line, sizeof to->inherited);
    }
  else if (strstr (line, " job=0000000000000001 ")
           && strncmp (line, "event=waits ", 12) != 0)
    {
      size_t len = strlen (to->events);
      snprintf (to->events + len, sizeof to->events - len, "%s\n", line);
    }
}

/* Answers all orders, except start and stop orders for task @lost_task.
   Executors report no runs. */
static void
answer_all_but (struct fixture *x, int lost_task, struct named *to)
{
  struct out *o;

  while ((o = out_take (&x->out)))
    {
      const struct order *order = o->u.order;
      struct order_result res = { .clock_ms = x->boot_ms + x->now_ms };
      if (o->kind == OUT_LOG_LINE)
        read_line (to, o->u.line);
      if (o->kind != OUT_ORDER)
        {
          out_free (o);
          continue;
        }
      if (order->kind != ORDER_POLL && order->task.index == lost_task)
        res = (struct order_result){ .outcome = ORDER_LOST };
      fsched_order_result (x->fs, x->now_ms, order->id, &res);
      out_free (o);
    }
}

/* Returns the value of @field in the last line that named a job; "" if it has
   none. */
static const char *
field (const struct named *named, const char *field_name)
{
  static char value[64];
  char prefix[64];
  const char *at;

  snprintf (prefix, sizeof prefix, " %s=", field_name);
  at = strstr (named->line, prefix);
  value[0] = '\0';
  if (at)
    sscanf (at + strlen (prefix), "%63s", value);
  return value;
}

/* Lets the scheduler work for a time, and reads its lines.  Orders are not
   answered. */
static void
work (struct fixture *x, int64_t for_ms, struct named *to)
{
  int64_t end_ms = x->now_ms + for_ms;
  struct out *o;

  while (x->now_ms < end_ms)
    {
      x->now_ms += TICK_MS;
      fsched_tick (x->fs, x->now_ms, true);
      while ((o = out_take (&x->out)))
        {
          if (o->kind == OUT_LOG_LINE)
            read_line (to, o->u.line);
          out_free (o);
        }
    }
}

static int
count_named (const struct named *named, int id)
{
  char text[JOB_ID_SIZE];
  int n = 0;

  snprintf (text, sizeof text, "%016d", id);
  for (int i = 0; i < named->n; i++)
    n += strcmp (named->ids[i], text) == 0;
  return n;
}

static void
test_a_late_job_among_many_in_time_is_named (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  named = (struct named){ 0 };
  for (int id = 0; id < 1000; id++)
    add_waiting (&x, "blue", id, id == 777 ? 1 : 60000, false);
  work (&x, 2 * SECOND_MS, &named);
  CU_ASSERT (named.n >= 1);
  CU_ASSERT_EQUAL (count_named (&named, 777), named.n);
  tear_down (&x);
}

static void
test_late_jobs_are_named_within_five_seconds (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  for (int id = 0; id < LATE_JOBS; id++)
    add_waiting (&x, "blue", id, -1, false);
  for (int turn = 0; turn < 4; turn++)
    {
      int n_missing = 0;
      named = (struct named){ 0 };
      work (&x, NAMED_MS, &named);
      for (int id = 0; id < LATE_JOBS; id++)
        n_missing += !count_named (&named, id);
      CU_ASSERT_EQUAL (n_missing, 0);
    }
  tear_down (&x);
}

static void
test_lines_about_thousands_of_late_jobs_are_bounded (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  for (int id = 0; id < 3000; id++)
    add_waiting (&x, "blue", id, id - 4000, false);
  for (int second = 0; second < 10; second++)
    {
      named = (struct named){ 0 };
      work (&x, SECOND_MS, &named);
      CU_ASSERT (named.n <= LINES_MAX);
      CU_ASSERT_EQUAL (named.n_summaries, 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (named.summary, " jobs=3000 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (
          named.summary, " tenants=blue:3000 "
                         "queues=q0:500,q1:500,q2:500,q3:500,others:1000"));
      CU_ASSERT_PTR_NOT_NULL (
          strstr (named.summary, " oldest=0000000000000000 "));
      /* The oldest have lines, the others are counted. */
      CU_ASSERT_STRING_EQUAL (named.ids[0],
                              second % 4 == 0   ? "0000000000000000"
                              : second % 4 == 1 ? "0000000000000050"
                              : second % 4 == 2 ? "0000000000000100"
                                                : "0000000000000150");
    }
  CU_ASSERT_PTR_NOT_NULL (
      strstr (named.summary, " causes=unknown:2800,no-executor:200 "));
  tear_down (&x);
}

static void
test_accounts_take_turns_in_lines (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  named = (struct named){ 0 };
  for (int id = 0; id < 2000; id++)
    add_waiting (&x, "busy", id, -60000, false);
  for (int id = 2000; id < 2010; id++)
    add_waiting (&x, "calm", id, -1, false);
  work (&x, SECOND_MS, &named);
  for (int id = 2000; id < 2010; id++)
    CU_ASSERT_EQUAL (count_named (&named, id), 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (named.summary, " tenants=busy:2000,calm:10 "));
  tear_down (&x);
}

static void
test_inherited_jobs_are_named_by_age_not_by_id (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  named = (struct named){ 0 };
  for (int id = 0; id < 1000; id++)
    add_waiting (&x, "blue", id, -1000 - 7 * ((id + 300) % 1000), true);
  work (&x, SECOND_MS, &named);
  CU_ASSERT_STRING_EQUAL (named.ids[0], "0000000000000699");
  CU_ASSERT_STRING_EQUAL (named.ids[1], "0000000000000698");
  CU_ASSERT_EQUAL (named.n, LINES_MAX);
  tear_down (&x);
}

/* Starts a job of @tasks tasks on executor e0, and lets it work for @for_ms
   while the answers to the start and stop orders of task @lost_task are
   lost. */
static void
start_and_lose (struct fixture *x, int tasks, bool gang, int lost_task,
                int64_t for_ms, struct named *to)
{
  int64_t end_ms;

  set_up (x);
  set_limit (x, 100000);
  settle (x);
  for (int i = 1; i < EXECS; i++)
    {
      char id[CLB_ID_MAX];
      snprintf (id, sizeof id, "e%d", i);
      exec_find (x->fs, id)->rep.capacity.millicores = 0;
    }
  add_job (x, "0000000000000001", tasks, gang);
  end_ms = x->now_ms + for_ms;
  while (x->now_ms < end_ms)
    {
      x->now_ms += STEP_MS;
      fsched_tick (x->fs, x->now_ms, true);
      collect (x);
      fsched_recorded (x->fs);
      answer_all_but (x, lost_task, to);
    }
}

static void
test_the_run_that_holds_a_gang_is_named (void)
{
  static struct named named;
  struct fixture x;

  named = (struct named){ 0 };
  start_and_lose (&x, 3, true, 1, 6000, &named);
  CU_ASSERT_STRING_EQUAL (field (&named, "cause"), "gang-ending");
  CU_ASSERT_STRING_EQUAL (field (&named, "running"), "1");
  CU_ASSERT_STRING_EQUAL (field (&named, "holder"), "1");
  CU_ASSERT_STRING_EQUAL (field (&named, "run"), "1");
  CU_ASSERT_STRING_EQUAL (field (&named, "exec"), "e0");
  CU_ASSERT_STRING_EQUAL (field (&named, "state"), "stopping");
  CU_ASSERT_STRING_EQUAL (field (&named, "stop_outcome"), "lost");
  CU_ASSERT (atoi (field (&named, "stops")) >= 10);
  CU_ASSERT (atoi (field (&named, "since_ms")) >= 3000);
  CU_ASSERT (atoi (field (&named, "lease_left_ms")) > 0);
  tear_down (&x);
}

static void
test_a_job_held_by_its_only_run_is_named (void)
{
  static struct named named;
  struct fixture x;

  named = (struct named){ 0 };
  start_and_lose (&x, 1, false, 0, 4500, &named);
  CU_ASSERT_STRING_EQUAL (field (&named, "cause"), "run-ending");
  CU_ASSERT_STRING_EQUAL (field (&named, "holder"), "0");
  CU_ASSERT_STRING_EQUAL (field (&named, "state"), "stopping");
  tear_down (&x);
}

static void
test_a_job_whose_starts_are_not_recorded_is_named (void)
{
  static struct named named;
  struct fixture x;

  set_up (&x);
  named = (struct named){ 0 };
  set_limit (&x, 100000);
  settle (&x);
  add_job (&x, "0000000000000001", 1, false);
  while (x.now_ms < START_MS + NAMED_MS)
    {
      x.now_ms += STEP_MS;
      fsched_tick (x.fs, x.now_ms, true);
      answer_all_but (&x, -1, &named);
    }
  CU_ASSERT_STRING_EQUAL (field (&named, "cause"), "run-unrecorded");
  CU_ASSERT_STRING_EQUAL (field (&named, "state"), "intent");
  tear_down (&x);
}

/* Returns in how many lines about job 1 @text occurs. */
static int
count_events (const struct named *named, const char *text)
{
  int n = 0;

  for (const char *at = named->events; (at = strstr (at, text)); at++)
    n++;
  return n;
}

static void
test_lost_and_answered_stops_are_logged (void)
{
  static struct named named;
  struct fixture x;
  int64_t end_ms;

  named = (struct named){ 0 };
  start_and_lose (&x, 3, true, 1, 6000, &named);
  CU_ASSERT_EQUAL (count_events (&named, "event=start-lost "), 2);
  /* Of 20 orders the 1st, 2nd, 4th, 8th and 16th. */
  CU_ASSERT_EQUAL (count_events (&named, "event=stop-lost "), 5);
  CU_ASSERT_EQUAL (count_events (&named, " outcome=lost stops=16 "), 1);
  CU_ASSERT_EQUAL (count_events (&named, "event=stop-answered "), 0);
  end_ms = x.now_ms + 1000;
  while (x.now_ms < end_ms)
    {
      x.now_ms += STEP_MS;
      fsched_tick (x.fs, x.now_ms, true);
      answer_all_but (&x, -1, &named);
    }
  CU_ASSERT_EQUAL (count_events (&named, "event=stop-answered "), 1);
  CU_ASSERT_EQUAL (count_events (&named, "task=1 run=1 exec=e0 result=never "),
                   1);
  tear_down (&x);
}

/* Begins the second term of a scheduler: a gang of three, of which one member
   may be running on e0. */
static void
set_up_takeover (struct fixture *x, int64_t old_leases_ms)
{
  static uint64_t last_token;
  struct job_spec spec = { .attempts = 1, .n_steps = 1 };

  *x = (struct fixture){ .now_ms = START_MS, .boot_ms = BOOT_MS };
  TAILQ_INIT (&x->out);
  x->fs = fsched_new (&x->out, &last_token, x->now_ms, 2, old_leases_ms,
                      &x->stats);
  fsched_load_roster (x->fs, "e0 10.0.0.1:80\ne1 10.0.0.1:80\n");
  fsched_load_intents (x->fs, "0", "0000000000000001 0 1 1000 e0 0\n");
  clb_copy (spec.id, "0000000000000001", sizeof spec.id);
  clb_copy (spec.tenant, "blue", sizeof spec.tenant);
  clb_copy (spec.service, "svc", sizeof spec.service);
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = 3;
  spec.steps[0].gang = true;
  spec.steps[0].need.millicores = 1000;
  spec.target_ms = 60000;
  fsched_add_job (x->fs, &spec, true, 100);
  report_exec (x, "e0");
  report_exec (x, "e1");
  fsched_load_done (x->fs);
}

static void
test_inherited_starts_are_logged_until_executors_answer (void)
{
  static struct named named;
  struct fixture x;

  set_up_takeover (&x, 8000);
  named = (struct named){ 0 };
  answer_all_but (&x, -1, &named);
  CU_ASSERT_STRING_EQUAL (
      named.inherited,
      "event=inherited starts=1 partial_gangs=1 execs=1 unreconciled=2 "
      "old_leases_end_in_ms=8000 waiting_for=e0:1");
  CU_ASSERT_STRING_EQUAL (field (&named, "cause"), "gang-ending");
  CU_ASSERT_STRING_EQUAL (field (&named, "holder"), "1");
  CU_ASSERT_STRING_EQUAL (field (&named, "run"), "1000");
  CU_ASSERT_STRING_EQUAL (field (&named, "exec"), "e0");
  CU_ASSERT_STRING_EQUAL (field (&named, "state"), "unconfirmed");
  CU_ASSERT_STRING_EQUAL (field (&named, "inherited"), "1");
  work (&x, 3000, &named);
  CU_ASSERT (named.n_inherited >= 3 && named.n_inherited <= 4);
  for (int i = 0; i < 200; i++)
    {
      x.now_ms += STEP_MS;
      fsched_tick (x.fs, x.now_ms, true);
      answer_all_but (&x, -1, &named);
    }
  CU_ASSERT_EQUAL (count_events (&named, "event=end "), 1);
  CU_ASSERT_EQUAL (
      count_events (&named, "task=1 run=1000 exec=e0 result=never ran_ms="),
      1);
  CU_ASSERT_EQUAL (count_events (&named, " state=4 inherited=1 "), 1);
  CU_ASSERT_EQUAL (x.fs->reconciled, true);
  named.n_inherited = 0;
  work (&x, 3000, &named);
  CU_ASSERT_EQUAL (named.n_inherited, 0);
  tear_down (&x);
}

static void
test_confirmed_member_of_an_inherited_gang_is_logged (void)
{
  static struct named named;
  struct fixture x;
  struct run_row listed
      = { .task = { .job = "0000000000000001", .index = 1 }, .run_id = 1000 };
  struct order_result res = { .runs = &listed, .n_runs = 1 };
  struct out *o;

  set_up_takeover (&x, 8000);
  named = (struct named){ 0 };
  x.now_ms += STEP_MS;
  fsched_tick (x.fs, x.now_ms, true);
  res.clock_ms = x.boot_ms + x.now_ms;
  while ((o = out_take (&x.out)))
    {
      if (o->kind == OUT_LOG_LINE)
        read_line (&named, o->u.line);
      else if (o->kind == OUT_ORDER && strcmp (o->u.order->exec, "e0") == 0)
        fsched_order_result (x.fs, x.now_ms, o->u.order->id, &res);
      out_free (o);
    }
  CU_ASSERT_EQUAL (
      count_events (&named,
                    "event=start-confirmed job=0000000000000001 step=0 task=1 "
                    "run=1000 exec=e0 by=list inherited=1 "),
      1);
  tear_down (&x);
}

UNIT_MAIN ("waits_test",
           { "a late job among many in time is named",
             test_a_late_job_among_many_in_time_is_named },
           { "late jobs are named within five seconds",
             test_late_jobs_are_named_within_five_seconds },
           { "lines about thousands of late jobs are bounded",
             test_lines_about_thousands_of_late_jobs_are_bounded },
           { "accounts take turns in lines",
             test_accounts_take_turns_in_lines },
           { "inherited jobs are named by age, not by id",
             test_inherited_jobs_are_named_by_age_not_by_id },
           { "the run that holds a gang is named",
             test_the_run_that_holds_a_gang_is_named },
           { "a job held by its only run is named",
             test_a_job_held_by_its_only_run_is_named },
           { "a job whose starts are not recorded is named",
             test_a_job_whose_starts_are_not_recorded_is_named },
           { "lost and answered stops are logged",
             test_lost_and_answered_stops_are_logged },
           { "inherited starts are logged until executors answer",
             test_inherited_starts_are_logged_until_executors_answer },
           { "a confirmed member of an inherited gang is logged",
             test_confirmed_member_of_an_inherited_gang_is_logged })
