/* Tests of what the next leader concludes from the rows that a leader wrote of
   runs which a list has shown after their ends were recorded. */
#include "sched_fixture.h"
#include "unit.h"

#define JOB "0000000000000001"

enum
{
  TABLE_ROWS = 256,
};

/* struct table - the rows that leaders have written */
struct table
{
  char *keys[TABLE_ROWS];
  char *values[TABLE_ROWS]; /* NULL: removed */
  int n;
};

/* struct server - what an executor answers to polls */
struct server
{
  int64_t boot_start_ms;
  struct run_row run; /* run_id 0: none */
  struct end_row end; /* run_id 0: none */
  size_t n_bad_rows;
  bool silent;
};

static struct server servers[EXECS];
static struct order *start; /* the last start order */
static int n_starts;
static int n_stops;

static void
table_put (struct table *t, const char *key, const char *value)
{
  int i = 0;

  while (i < t->n && strcmp (t->keys[i], key) != 0)
    i++;
  if (i == t->n)
    {
      if (i == TABLE_ROWS)
        abort ();
      t->n++;
      t->keys[i] = strdup (key);
    }
  free (t->values[i]);
  t->values[i] = value ? strdup (value) : NULL;
}

static void
table_free (struct table *t)
{
  for (int i = 0; i < t->n; i++)
    {
      free (t->keys[i]);
      free (t->values[i]);
    }
}

/* Writes what the scheduler has to record, until nothing is due. */
static void
write_rows (struct fixture *x, struct table *t)
{
  for (int i = 0; i < 8; i++)
    {
      struct store_op op = { 0 };
      fsched_collect (x->fs, &op, LEADER_ROWS_MAX);
      for (size_t k = 0; k < op.n_puts; k++)
        table_put (t, op.puts[k].key, op.puts[k].value);
      codec_free (&store_op_desc, &op);
      fsched_recorded (x->fs);
    }
}

static void
load_rows (struct fixture *x, const struct table *t, const char *prefix)
{
  size_t n = strlen (prefix);
  struct job_progress p;
  struct codec_err ce;

  for (int i = 0; i < t->n; i++)
    {
      const char *key = t->keys[i];
      const char *value = t->values[i];
      if (!value || strncmp (key, prefix, n) != 0)
        continue;
      if (strcmp (prefix, FSCHED_KEY_ROSTER) == 0)
        fsched_load_roster (x->fs, value);
      else if (strcmp (prefix, FSCHED_KEY_INTENTS) == 0)
        fsched_load_intents (x->fs, key + n, value);
      else
        {
          CU_ASSERT_EQUAL (codec_parse (&job_progress_desc, value,
                                        strlen (value), CODEC_LENIENT, &p,
                                        &ce),
                           0);
          fsched_load_progress (x->fs, key + n, &p);
        }
    }
}

static void
add_tasks (struct fixture *x, int n_tasks, bool inherited)
{
  struct job_spec spec
      = { .id = JOB, .tenant = "blue", .service = "svc", .attempts = 2 };

  spec.n_steps = 1;
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = n_tasks;
  spec.steps[0].need.millicores = 1000;
  fsched_add_job (x->fs, &spec, inherited, 0);
}

static void
set_rows (struct fixture *x, int64_t row_bytes)
{
  struct store_limits limits
      = { .row_bytes = row_bytes, .call_bytes = INT64_MAX };

  fsched_set_limits (x->fs, &limits);
}

/* Begins the term of the next leader, which no executor has answered. */
static void
next_leader (struct fixture *x, const struct table *t, int n_tasks,
             int64_t row_bytes)
{
  static uint64_t last_token = 1000000;
  int64_t epoch = x->fs->epoch + 1;

  tear_down (x);
  TAILQ_INIT (&x->out);
  x->fs = fsched_new (&x->out, &last_token, x->now_ms, epoch, 7000, &x->stats);
  set_rows (x, row_bytes);
  fsched_set_conf (x->fs, &x->conf);
  load_rows (x, t, FSCHED_KEY_ROSTER);
  load_rows (x, t, FSCHED_KEY_INTENTS);
  load_rows (x, t, FSCHED_KEY_PROGRESS);
  add_tasks (x, n_tasks, true);
  fsched_load_done (x->fs);
}

/* Lets the scheduler work once and its executors answer polls.  Stops are
   lost; starts are kept, or answered if @ack. */
static void
play (struct fixture *x, struct table *t, int steps, bool ack)
{
  struct out *o;

  while (steps-- > 0)
    {
      x->now_ms += STEP_MS;
      fsched_tick (x->fs, x->now_ms, true);
      if (t)
        write_rows (x, t);
      while ((o = out_take (&x->out)))
        {
          struct order *order = o->kind == OUT_ORDER ? o->u.order : NULL;
          struct server *s = order ? &servers[atoi (order->exec + 1)] : NULL;
          struct order_result res
              = { .outcome = ORDER_DONE, .clock_ms = x->boot_ms + x->now_ms };
          if (order && order->kind == ORDER_POLL && !s->silent)
            {
              res.boot_start_ms = s->boot_start_ms;
              res.runs = &s->run;
              res.n_runs = s->run.run_id > 0;
              res.ends = &s->end;
              res.n_ends = s->end.run_id > 0;
              res.n_bad_rows = s->n_bad_rows;
              fsched_order_result (x->fs, x->now_ms, order->id, &res);
            }
          n_stops += order && order->kind == ORDER_STOP;
          if (order && order->kind == ORDER_START)
            {
              n_starts++;
              if (ack)
                fsched_order_result (x->fs, x->now_ms, order->id, &res);
              else
                {
                  order_free (start);
                  start = order;
                  o->kind = OUT_LOG_LINE;
                  o->u.line = NULL;
                }
            }
          out_free (o);
        }
    }
}

static void
result (struct fixture *x, int outcome, int reason)
{
  struct order_result res = { .outcome = outcome,
                              .reason = reason,
                              .clock_ms = x->boot_ms + x->now_ms };

  CU_ASSERT_PTR_NOT_NULL (start);
  if (start)
    fsched_order_result (x->fs, x->now_ms, start->id, &res);
  order_free (start);
  start = NULL;
}

/* Leaves only executor @n with room, -1: none. */
static void
leave_room_on (struct fixture *x, int n)
{
  struct exec *e;

  TAILQ_FOREACH (e, &x->fs->execs, link)
    e->rep.capacity.millicores = atoi (e->rep.id + 1) == n ? 1000 : 0;
  x->fs->pass_due = true;
}

static struct jtask *
the_task (struct fixture *x)
{
  return fsched_find_job (x->fs, JOB)->steps[0].tasks;
}

static void
begin (struct fixture *x, struct table *t)
{
  struct exec *e;

  order_free (start);
  start = NULL;
  n_starts = n_stops = 0;
  for (int i = 0; i < EXECS; i++)
    servers[i] = (struct server){ .boot_start_ms = BOOT_START_MS };
  set_up (x);
  set_limit (x, 100000);
  settle (x);
  TAILQ_FOREACH (e, &x->fs->execs, link)
    roster_mark_dirty (x->fs, e);
  write_rows (x, t);
  leave_room_on (x, -1);
}

static void
all_silent (bool silent)
{
  for (int i = 0; i < EXECS; i++)
    servers[i].silent = silent;
}

static int64_t
next_leaders_run (struct fixture *x, struct table *t)
{
  next_leader (x, t, 1, INT64_MAX);
  return the_task (x)->run ? the_task (x)->run->run_id : 0;
}

static const struct run_row run_1 = { .task = { .job = JOB }, .run_id = 1 };

/* Lets a list show run 1 of a task after run 2 has ended.
   @lost: run 1 was lost with its executor, and did not end as never started */
static void
show_earlier_run (struct fixture *x, struct table *t, bool lost)
{
  begin (x, t);
  add_tasks (x, 1, false);
  leave_room_on (x, 0);
  play (x, t, 10, false);
  leave_room_on (x, -1);
  if (lost)
    result (x, ORDER_DONE, 0);
  else
    result (x, ORDER_REFUSED, REFUSED_NO_ROOM);
  servers[0].boot_start_ms++;
  play (x, t, 100, false);
  CU_ASSERT_PTR_NULL (the_task (x)->run);
  leave_room_on (x, 1);
  play (x, t, 10, false);
  leave_room_on (x, -1);
  result (x, ORDER_REFUSED, REFUSED_NO_ROOM);
  CU_ASSERT_PTR_NULL (the_task (x)->run);
  play (x, t, 2, false);
  servers[0].boot_start_ms++;
  servers[0].run = run_1;
  play (x, t, 100, false);
  CU_ASSERT_PTR_NOT_NULL (the_task (x)->run);
}

static void
test_earlier_run_that_a_list_shows (void)
{
  struct fixture x;

  for (int lost = 0; lost < 2; lost++)
    {
      struct table t = { 0 };
      show_earlier_run (&x, &t, lost);
      CU_ASSERT_EQUAL (next_leaders_run (&x, &t), 1);
      tear_down (&x);
      table_free (&t);
    }
}

/* The executor of the run does not answer the next leader. */
static void
test_earlier_run_is_not_started_again (void)
{
  struct fixture x;
  struct table t = { 0 };

  show_earlier_run (&x, &t, true);
  n_starts = 0;
  next_leader (&x, &t, 1, INT64_MAX);
  servers[0].silent = true;
  for (int i = 0; i < EXECS; i++)
    {
      char id[CLB_ID_MAX];
      snprintf (id, sizeof id, "e%d", i);
      report_exec (&x, id);
    }
  play (&x, &t, 100, false); /* 2 s; the lease is not over */
  CU_ASSERT_EQUAL (n_starts, 0);
  tear_down (&x);
  table_free (&t);
}

/* Lets a list show a run again that has failed.
   @n_leaders: number of changes of the leader between the two */
static void
show_failed_run (int n_leaders)
{
  struct fixture x;
  struct table t = { 0 };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  play (&x, &t, 10, false);
  result (&x, ORDER_DONE, 0);
  leave_room_on (&x, -1);
  servers[0].end = (struct end_row){
    .seq = 1, .task = { .job = JOB }, .run_id = 1, .run_end = RUN_END_FAILED
  };
  play (&x, &t, 100, false);
  CU_ASSERT_EQUAL (the_task (&x)->n_failed, 1);
  while (n_leaders-- > 0)
    next_leader (&x, &t, 1, INT64_MAX);
  servers[0].end.run_id = 0;
  servers[0].boot_start_ms++;
  servers[0].run = run_1;
  play (&x, &t, 100, false);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  CU_ASSERT_EQUAL (next_leaders_run (&x, &t), 1);
  tear_down (&x);
  table_free (&t);
}

static void
test_failed_run_that_a_list_shows (void)
{
  show_failed_run (0);
  show_failed_run (1);
}

static void
test_pages_of_an_earlier_leader (void)
{
  struct fixture x;
  struct table t = { 0 };
  struct jtask *tasks;
  struct exec *e;
  enum
  {
    TASKS = 40
  };

  begin (&x, &t);
  set_rows (&x, FSCHED_ROW_BYTES_MIN);
  add_tasks (&x, TASKS, false);
  TAILQ_FOREACH (e, &x.fs->execs, link)
    e->rep.capacity.millicores = 10000;
  x.fs->pass_due = true;
  play (&x, &t, 30, true);
  CU_ASSERT_EQUAL (n_starts, TASKS);
  TAILQ_FOREACH (e, &x.fs->execs, link)
    e->rep.capacity.millicores = 0;
  all_silent (true);
  play (&x, &t, 600, false);
  tasks = the_task (&x);
  for (int i = 0; i < TASKS; i++)
    CU_ASSERT_PTR_NULL (tasks[i].run);
  CU_ASSERT_PTR_NOT_NULL (fsched_find_job (x.fs, JOB)->pages);
  next_leader (&x, &t, TASKS, FSCHED_ROW_BYTES_MIN);
  CU_ASSERT_PTR_NULL (the_task (&x)->run);
  servers[0].silent = false;
  servers[0].run = run_1;
  play (&x, &t, 20, false);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  next_leader (&x, &t, TASKS, FSCHED_ROW_BYTES_MIN);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  tear_down (&x);
  table_free (&t);
}

static void
test_run_in_a_row_that_cannot_be_used (void)
{
  struct fixture x;
  struct table t = { 0 };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  play (&x, &t, 10, true);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  next_leader (&x, &t, 1, INT64_MAX);
  servers[0].n_bad_rows = 1;
  n_stops = 0;
  play (&x, &t, 20, false);
  CU_ASSERT (n_stops > 0);
  /* No stop was answered. */
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  tear_down (&x);
  table_free (&t);
}

static void
test_start_that_is_not_sent_yet (void)
{
  struct fixture x;
  struct table t = { 0 };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  play (&x, &t, 10, false);
  result (&x, ORDER_DONE, 0);
  leave_room_on (&x, -1);
  servers[0].boot_start_ms++;
  play (&x, &t, 100, false);
  CU_ASSERT_PTR_NULL (the_task (&x)->run);
  n_starts = 0;
  leave_room_on (&x, 1);
  for (int i = 0; i < 10 && !the_task (&x)->run; i++)
    play (&x, NULL, 1, false);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  CU_ASSERT_EQUAL (the_task (&x)->run->state, START_INTENT);
  servers[0].boot_start_ms++;
  servers[0].run = run_1;
  exec_find (x.fs, "e0")->next_poll_ms = 0;
  play (&x, NULL, 60, false); /* the write takes 1.2 s */
  CU_ASSERT_EQUAL (exec_find (x.fs, "e0")->n_orphans, 1);
  play (&x, &t, 1, false);
  CU_ASSERT_EQUAL (n_starts, 0);
  tear_down (&x);
  table_free (&t);
}

static void
test_roster_keeps_executors_with_runs (void)
{
  struct fixture x;
  struct table t = { 0 };
  struct exec *e;
  struct job_spec spec
      = { .id = JOB, .tenant = "blue", .service = "svc", .attempts = 2 };

  begin (&x, &t);
  spec.n_steps = 1;
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = 1;
  spec.steps[0].best_effort_cpu = true;
  spec.steps[0].need.millicores = 1000;
  fsched_add_job (x.fs, &spec, false, 0);
  leave_room_on (&x, 0);
  play (&x, &t, 10, true);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  if (the_task (&x)->run)
    {
      e = the_task (&x)->run->exec;
      servers[atoi (e->rep.id + 1)].run = run_1;
      fsched_exec_unlisted (x.fs, e->rep.id);
      play (&x, &t, 20000 / STEP_MS, true);
      CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
      /* Another executor of the same row begins. */
      roster_mark_dirty (x.fs, e);
      play (&x, &t, 10, true);
      CU_ASSERT_EQUAL (next_leaders_run (&x, &t), 1);
    }
  tear_down (&x);
  table_free (&t);
}

static void
report_at (struct fixture *x, const char *id, const char *addr,
           int64_t boot_start_ms)
{
  struct exec_report rep
      = { .capacity = { .millicores = 1000, .mem_mb = 1000 },
          .boot_start_ms = boot_start_ms };

  clb_copy (rep.id, id, sizeof rep.id);
  clb_copy (rep.addr, addr, sizeof rep.addr);
  clb_copy (rep.service, "svc", sizeof rep.service);
  fsched_exec_report (x->fs, &rep);
}

static void
test_start_is_not_repeated_for_the_next_boot (void)
{
  struct fixture x;
  struct table t = { 0 };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  /* A poll waits for an end while the start is sent. */
  for (int i = 0; i < 10 && !start; i++)
    play (&x, &t, 1, false);
  CU_ASSERT_PTR_NOT_NULL (start);
  n_starts = 0;
  servers[0].boot_start_ms++;
  exec_find (x.fs, "e0")->next_poll_ms = 0;
  for (int i = 0; i < 20 && exec_find (x.fs, "e0")->n_boots == 0; i++)
    play (&x, NULL, 1, false);
  CU_ASSERT_EQUAL (exec_find (x.fs, "e0")->n_boots, 1);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  result (&x, ORDER_LOST, 0);
  play (&x, NULL, 1, false);
  CU_ASSERT_EQUAL (n_starts, 0);
  tear_down (&x);
  table_free (&t);
}

static void
test_roster_has_the_address_of_the_next_boot (void)
{
  struct fixture x;
  struct table t = { 0 };
  bool found = false;

  begin (&x, &t);
  play (&x, &t, 10, false);
  servers[0].boot_start_ms++;
  report_at (&x, "e0", "10.0.0.7:80", BOOT_START_MS + 1);
  play (&x, &t, 100, false);
  for (int i = 0; i < t.n; i++)
    found |= t.values[i] && strstr (t.values[i], "e0 10.0.0.7:80\n");
  CU_ASSERT (found);
  tear_down (&x);
  table_free (&t);
}

static void
test_old_address_ends_no_run_for_the_next_leader (void)
{
  struct fixture x;
  struct table t = { 0 };
  struct order *poll;
  struct order_result res = { .outcome = ORDER_WRONG_BOOT };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  play (&x, &t, 10, true);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  next_leader (&x, &t, 1, INT64_MAX);
  x.now_ms += STEP_MS;
  fsched_tick (x.fs, x.now_ms, true);
  poll = take_order_to (&x, ORDER_POLL, "e0");
  CU_ASSERT_PTR_NOT_NULL (poll);
  report_at (&x, "e0", "10.0.0.7:80", BOOT_START_MS);
  if (poll)
    fsched_order_result (x.fs, x.now_ms, poll->id, &res);
  order_free (poll);
  CU_ASSERT_PTR_NOT_NULL (the_task (&x)->run);
  tear_down (&x);
  table_free (&t);
}

static void
test_gang_is_not_sent_without_a_member (void)
{
  struct fixture x;
  struct table t = { 0 };
  struct exec *e;
  struct job *j;

  begin (&x, &t);
  TAILQ_FOREACH (e, &x.fs->execs, link)
    e->rep.capacity.millicores = 1000;
  add_job (&x, JOB, 2, true);
  for (int i = 0; i < 10 && !the_task (&x)->run; i++)
    play (&x, NULL, 1, false);
  j = fsched_find_job (x.fs, JOB);
  CU_ASSERT_EQUAL (j->n_runs, 2);
  e = j->steps[0].tasks[1].run->exec;
  servers[atoi (e->rep.id + 1)].boot_start_ms++;
  e->next_poll_ms = 0;
  for (int i = 0; i < 60 && e->n_boots == 0; i++)
    play (&x, NULL, 1, false);
  CU_ASSERT_EQUAL (j->steps[0].tasks[1].run->state, START_DROPPED);
  write_rows (&x, &t);
  leave_room_on (&x, -1);
  play (&x, NULL, 1, false);
  CU_ASSERT_EQUAL (n_starts, 0);
  tear_down (&x);
  table_free (&t);
}

static void
test_orphan_is_not_started_again (void)
{
  struct fixture x;
  struct table t = { 0 };

  begin (&x, &t);
  add_tasks (&x, 1, false);
  leave_room_on (&x, 0);
  play (&x, &t, 10, false);
  result (&x, ORDER_DONE, 0);
  leave_room_on (&x, -1);
  servers[0].boot_start_ms++;
  play (&x, &t, 100, false);
  leave_room_on (&x, 1);
  play (&x, &t, 10, false);
  servers[0].boot_start_ms++;
  servers[0].run = run_1;
  exec_find (x.fs, "e0")->next_poll_ms = 0;
  play (&x, &t, 80, false);
  CU_ASSERT_EQUAL (exec_find (x.fs, "e0")->n_orphans, 1);
  result (&x, ORDER_REFUSED, REFUSED_NO_ROOM);
  n_starts = 0;
  play (&x, &t, 3, false);
  CU_ASSERT_EQUAL (n_starts, 0);
  tear_down (&x);
  table_free (&t);
}

UNIT_MAIN ("takeover_test",
           { "an earlier run that a list shows goes on for the next leader",
             test_earlier_run_that_a_list_shows },
           { "an earlier run that a list shows is not started again",
             test_earlier_run_is_not_started_again },
           { "a failed run that a list shows goes on for the next leader",
             test_failed_run_that_a_list_shows },
           { "pages of an earlier leader do not end a run that a list shows",
             test_pages_of_an_earlier_leader },
           { "a run in a row that cannot be used is kept until it is stopped",
             test_run_in_a_row_that_cannot_be_used },
           { "a start is not sent if a list shows an earlier run of the task",
             test_start_that_is_not_sent_yet },
           { "the roster keeps an executor that runs a task without needs",
             test_roster_keeps_executors_with_runs },
           { "a start is not repeated for the next boot",
             test_start_is_not_repeated_for_the_next_boot },
           { "the roster has the address of the next boot",
             test_roster_has_the_address_of_the_next_boot },
           { "an old address ends no run for the next leader",
             test_old_address_ends_no_run_for_the_next_leader },
           { "a gang is not sent without one of its members",
             test_gang_is_not_sent_without_a_member },
           { "a task is not started while a list shows another run of it",
             test_orphan_is_not_started_again })
