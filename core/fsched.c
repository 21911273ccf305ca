/*
 * The fleet's scheduler: jobs and their tasks in memory, loading, events and
 * the periodic work.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Number of run ids of one task in each term.  Run ids of inherited jobs
     start at the epoch times this number, so that each term uses higher
     ones. */
  TERM_RUNS_MAX = 1000,
  /* Interval between checks of the outstanding advice queries. */
  QUERY_SWEEP_MS = 50,
};

int
job_cmp (const struct job *a, const struct job *b)
{
  return strcmp (a->spec.id, b->spec.id);
}

int
ended_job_cmp (const struct ended_job *a, const struct ended_job *b)
{
  return strcmp (a->id, b->id);
}

int
pending_order_cmp (const struct pending_order *a,
                   const struct pending_order *b)
{
  return a->id < b->id ? -1 : a->id > b->id;
}

RB_GENERATE (job_tree, job, by_id, job_cmp)
int
early_cmp (const struct early_progress *a, const struct early_progress *b)
{
  return strcmp (a->id, b->id);
}

RB_GENERATE (early_tree, early_progress, by_id, early_cmp)
RB_GENERATE (ended_job_tree, ended_job, by_id, ended_job_cmp)
RB_GENERATE (pending_order_tree, pending_order, by_id, pending_order_cmp)

void *
fsched_zalloc (size_t n, size_t size)
{
  void *p = calloc (n ? n : 1, size);

  if (!p)
    abort ();
  return p;
}

struct fsched *
fsched_new (struct outq *out, uint64_t *last_token, int64_t now_ms,
            int64_t epoch, int64_t wait_ms, struct fsched_stats *stats)
{
  struct fsched *fs = fsched_zalloc (1, sizeof *fs);

  fs->out = out;
  fs->last_token = last_token;
  fs->now_ms = now_ms;
  fs->epoch = epoch;
  fs->claimed_ms = now_ms;
  fs->old_leases_end_ms = now_ms + wait_ms;
  fs->lease_max_ms = FSCHED_LEASE_MS;
  fs->stats = stats;
  window_init (fs);
  lanes_init (&fs->lanes);
  TAILQ_INIT (&fs->queues);
  RB_INIT (&fs->jobs);
  RB_INIT (&fs->execs_by_id);
  RB_INIT (&fs->ended_jobs);
  RB_INIT (&fs->orders);
  RB_INIT (&fs->early_progress);
  TAILQ_INIT (&fs->queue);
  TAILQ_INIT (&fs->ended);
  TAILQ_INIT (&fs->execs);
  TAILQ_INIT (&fs->domains);
  TAILQ_INIT (&fs->tenants);
  TAILQ_INIT (&fs->stale_pages);
  fs->limits = (struct store_limits){ .row_bytes = INT64_MAX,
                                      .call_bytes = INT64_MAX };
  fs->round = 1;
  fs->rows_max = LEADER_ROWS_MAX;
  intents_init (&fs->intents);
  return fs;
}

static void
job_free (struct fsched *fs, struct job *j)
{
  room_forget_job (fs, j);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      for (int t = 0; t < s->n_tasks; t++)
        {
          resume_drop (fs, &s->tasks[t]);
          free (s->tasks[t].failed_runs);
          free (s->tasks[t].crashes);
        }
      free (s->tasks);
      advice_free (s);
      asking_remove (j->queue_stats, s);
    }
  free (j->steps);
  free (j->pages);
  free (j->old_pages);
  RB_REMOVE (job_tree, &fs->jobs, j);
  TAILQ_REMOVE (&fs->queue, j, link);
  if (job_state_final (j->state))
    TAILQ_REMOVE (&fs->ended, j, ended_link);
  fs->n_jobs--;
  codec_free (&job_spec_desc, &j->spec);
  free (j);
}

static void
exec_free (struct fsched *fs, struct exec *e)
{
  struct start *r;

  while ((r = TAILQ_FIRST (&e->runs)))
    {
      TAILQ_REMOVE (&e->runs, r, exec_link);
      start_free (r);
    }
  crash_free_lapsed (fs, e);
  free (e);
}

void
fsched_free (struct fsched *fs)
{
  struct job *j;
  struct exec *e;
  struct fsched_tenant *t;
  struct fsched_queue *q;
  struct early_progress *early, *next_early;
  struct ended_job *ended, *next_ended;
  struct pending_order *p, *next_p;

  if (!fs)
    return;
  while ((e = TAILQ_FIRST (&fs->execs)))
    {
      TAILQ_REMOVE (&fs->execs, e, link);
      exec_free (fs, e);
    }
  while ((j = TAILQ_FIRST (&fs->queue)))
    job_free (fs, j);
  while ((t = TAILQ_FIRST (&fs->tenants)))
    {
      TAILQ_REMOVE (&fs->tenants, t, link);
      free (t);
    }
  RB_FOREACH_SAFE (early, early_tree, &fs->early_progress, next_early)
    {
      RB_REMOVE (early_tree, &fs->early_progress, early);
      early_free (early);
    }
  while ((q = TAILQ_FIRST (&fs->queues)))
    {
      TAILQ_REMOVE (&fs->queues, q, link);
      free (q);
    }
  RB_FOREACH_SAFE (ended, ended_job_tree, &fs->ended_jobs, next_ended)
    {
      RB_REMOVE (ended_job_tree, &fs->ended_jobs, ended);
      free (ended);
    }
  RB_FOREACH_SAFE (p, pending_order_tree, &fs->orders, next_p)
    {
      RB_REMOVE (pending_order_tree, &fs->orders, p);
      free (p->named);
      free (p);
    }
  domain_free_all (fs);
  progress_free (fs);
  intents_fini (&fs->intents);
  fsched_intern_free (&fs->services);
  fsched_intern_free (&fs->racks);
  fsched_intern_free (&fs->labels);
  free (fs->advisers);
  free (fs->eligible);
  free (fs->ready_jobs);
  free (fs);
}

void
fsched_set_lease_max (struct fsched *fs, int64_t ms)
{
  fs->lease_max_ms = ms;
}

void
fsched_set_limits (struct fsched *fs, const struct store_limits *limits)
{
  fs->limits = *limits;
}

void
fsched_set_conf (struct fsched *fs, const struct fconf *conf)
{
  struct fsched_tenant *t;

  fs->conf = conf;
  TAILQ_FOREACH (t, &fs->tenants, link)
    account_keep_limit (fs, t);
  fs->pass_due = true;
}

struct job *
fsched_find_job (const struct fsched *fs, const char *id)
{
  struct job key;

  /* A longer id would be cut to that of another job. */
  if (strlen (id) >= sizeof key.spec.id)
    return NULL;
  clb_copy (key.spec.id, id, sizeof key.spec.id);
  return RB_FIND (job_tree, (struct job_tree *)&fs->jobs, &key);
}

struct job *
fsched_task_job (const struct fsched *fs, const struct task_ref *t)
{
  struct job *j = fsched_find_job (fs, t->job);

  if (!j || t->occurrence != 0 || t->step < 0
      || t->step >= (int64_t)j->spec.n_steps || t->index < 0
      || t->index >= j->steps[t->step].n_tasks)
    return NULL;
  return j;
}

struct jtask *
start_get_task (const struct start *r)
{
  return &r->job->steps[r->step].tasks[r->index];
}

struct fsched_tenant *
fsched_tenant (struct fsched *fs, const char *name)
{
  struct fsched_tenant *t;

  TAILQ_FOREACH (t, &fs->tenants, link)
    if (strcmp (t->name, name) == 0)
      return t;
  t = fsched_zalloc (1, sizeof *t);
  clb_copy (t->name, name, sizeof t->name);
  account_keep_limit (fs, t);
  TAILQ_INSERT_TAIL (&fs->tenants, t, link);
  return t;
}

struct fsched_queue *
fsched_queue (struct fsched *fs, const char *name)
{
  struct fsched_queue *q;

  TAILQ_FOREACH (q, &fs->queues, link)
    if (strcmp (q->name, name) == 0)
      return q;
  q = fsched_zalloc (1, sizeof *q);
  clb_copy (q->name, name, sizeof q->name);
  q->permitted_share = 0.5;
  q->advice_pace.factor = 1;
  TAILQ_INIT (&q->asking);
  overload_init_queue (q);
  TAILQ_INSERT_TAIL (&fs->queues, q, link);
  return q;
}

struct order *
fsched_order_new (struct fsched *fs, int kind, const struct exec *e,
                  struct pending_order **pend)
{
  struct order *o = fsched_zalloc (1, sizeof *o);
  struct pending_order *p = fsched_zalloc (1, sizeof *p);

  o->kind = kind;
  o->id = ++*fs->last_token;
  o->fencing_token = fs->epoch << FSCHED_FENCE_BITS;
  o->timeout_ms = FSCHED_CALL_TIMEOUT_MS + (e ? e->answer_ms : 0);
  if (e)
    {
      clb_copy (o->exec, e->rep.id, sizeof o->exec);
      clb_copy (o->addr, e->rep.addr, sizeof o->addr);
      o->fencing_token = exec_token (fs, e);
      p->exec_clock_ms = e->boot_known ? e->clock_ms : 0;
      p->exec_clock_sent_ms = e->clock_sent_ms;
      p->n_exec_boots = e->n_boots;
    }
  p->id = o->id;
  p->fencing_token = o->fencing_token;
  p->kind = kind;
  p->sent_ms = fs->now_ms;
  RB_INSERT (pending_order_tree, &fs->orders, p);
  *pend = p;
  out_new (fs->out, OUT_ORDER)->u.order = o;
  return o;
}

/* Marks each step of a job as ready if all steps that it depends on are
   done. */
static void
mark_ready_steps (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      uint64_t after = j->spec.steps[i].after;
      bool ready = true;
      for (size_t k = 0; k < i && ready; k++)
        if (after >> k & 1 && j->steps[k].n_done < j->steps[k].n_tasks)
          ready = false;
      if (ready && !j->steps[i].ready)
        {
          j->steps[i].ready = true;
          j->steps[i].ready_ms = fs->now_ms;
          fs->pass_due = true;
        }
    }
}

void
fsched_add_ended_job (struct fsched *fs, const char *id, int state, bool trim)
{
  struct ended_job *ended = fsched_zalloc (1, sizeof *ended);

  clb_copy (ended->id, id, sizeof ended->id);
  ended->state = state;
  ended->trim_due = trim;
  if (RB_INSERT (ended_job_tree, &fs->ended_jobs, ended))
    free (ended);
}

/* Stops all runs of a job. */
static void
stop_job_runs (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    for (int t = 0; t < j->steps[i].n_tasks; t++)
      if (j->steps[i].tasks[t].run)
        start_stop (fs, j->steps[i].tasks[t].run);
}

void
fsched_end_job (struct fsched *fs, struct job *j, int state, const char *why)
{
  if (job_state_final (j->state))
    return;
  j->state = state;
  TAILQ_INSERT_TAIL (&fs->ended, j, ended_link);
  j->state_only = j->set_aside;
  progress_restore (fs, j);
  fs->stats->jobs_ended[state]++;
  hist_add (&fs->stats->job_ms[state], fs->now_ms - j->arrival_ms);
  progress_mark_state (fs, j);
  resume_drop_job (fs, j);
  out_line (fs->out,
            "event=job-%s job=%s queue=%s after_ms=%lld late_ms=%lld "
            "why=%s",
            job_state_names[state], j->spec.id, j->spec.queue,
            (long long)(fs->now_ms - j->arrival_ms),
            (long long)(fs->now_ms - j->urgency.due_ms), why);
  if (state != JOB_COMPLETED)
    stop_job_runs (fs, j);
}

bool
fsched_forget_job (struct fsched *fs, struct job *j)
{
  if (!j->recorded || j->n_runs > 0 || j->head.round || j->n_writing_rows)
    return false;
  if (j->runs_left_written)
    {
      progress_mark_state (fs, j);
      return false;
    }
  progress_drop_pages (fs, j);
  fsched_add_ended_job (fs, j->spec.id, j->state, true);
  job_free (fs, j);
  return true;
}

void
fsched_cancel (struct fsched *fs, const char *id)
{
  struct job *j = fsched_find_job (fs, id);

  if (j)
    fsched_end_job (fs, j, JOB_CANCELLED, "cancelled");
  /* The row of the job may arrive later than the notice of its cancellation.
     Of a job that an earlier leader has ended, the state is known once all is
     loaded. */
  else if (fs->loaded && fsched_job_state (fs, id) < 0)
    fsched_add_ended_job (fs, id, JOB_CANCELLED, false);
}

/* Marks a task as done.  If it is the last task of its step, the steps that
   depend on that step become ready; if no other step is left, the job is
   completed. */
static void
mark_task_done (struct fsched *fs, struct job *j, int step, int index)
{
  struct jstep *s = &j->steps[step];
  struct jtask *t = &s->tasks[index];

  if (t->done)
    return;
  t->done = true;
  s->n_done++;
  s->n_running -= t->run != NULL;
  resume_drop (fs, t);
  progress_mark_task (fs, j, step, index);
  if (t->run && !j->spec.steps[step].gang)
    start_stop (fs, t->run);
  if (s->n_done < s->n_tasks)
    return;
  if (s->longest_run_ms && !s->resumed && !j->inherited)
    estim_add (&j->queue_stats->run_times, j->spec.steps[step].estimate_ms,
               s->longest_run_ms);
  urgency_expire (j);
  j->n_steps_left--;
  mark_ready_steps (fs, j);
  if (j->n_steps_left == 0)
    fsched_end_job (fs, j, JOB_COMPLETED, "all-tasks-done");
}

/* Marks all members of a gang as done once one of them is done.  The members
   end together, so the reports of the other ends are about to arrive. */
static void
mark_gang_done (struct fsched *fs, struct job *j, int step)
{
  for (int t = 0; t < j->steps[step].n_tasks; t++)
    mark_task_done (fs, j, step, t);
}

/* Adds a failed run to a task, unless the task has it already: an executor and
   the recorded progress may report the same run.  Returns whether the run was
   added. */
static bool
add_failed_run (struct jtask *t, int64_t run_id)
{
  for (int i = 0; i < t->n_failed; i++)
    if (t->failed_runs[i].id == run_id)
      return false;
  if (t->n_failed == JOB_FAILURES_MAX)
    return false;
  t->failed_runs = realloc (t->failed_runs, (size_t)(t->n_failed + 1)
                                                * sizeof *t->failed_runs);
  if (!t->failed_runs)
    abort ();
  t->failed_runs[t->n_failed++].id = run_id;
  return true;
}

/* Counts a failed run of a task.  Fails the job once the task has used up its
   attempts. */
static void
count_failure (struct fsched *fs, struct job *j, int step, int index,
               int64_t run_id)
{
  bool gang = j->spec.steps[step].gang;
  int counted_at = gang ? 0 : index;
  struct jtask *t = &j->steps[step].tasks[counted_at];

  if (!add_failed_run (t, run_id))
    return;
  progress_mark_task (fs, j, step, counted_at);
  if (t->n_failed >= j->spec.attempts)
    fsched_end_job (fs, j, JOB_FAILED, "attempts-used-up");
}

void
fsched_task_ended (struct fsched *fs, struct job *j, int step, int index,
                   int64_t run_id, int run_end)
{
  bool gang = j->spec.steps[step].gang;

  fs->pass_due = true;
  if (run_end == RUN_END_DONE && gang)
    mark_gang_done (fs, j, step);
  else if (run_end == RUN_END_DONE)
    mark_task_done (fs, j, step, index);
  else if (run_end == RUN_END_FAILED && !job_state_final (j->state)
           && !j->steps[step].tasks[index].done)
    count_failure (fs, j, step, index, run_id);
}

/* Loading of recorded progress. */

/* Applies the recorded progress of a step. */
static void
apply_step_progress (struct fsched *fs, struct job *j,
                     const struct job_step_progress *progress)
{
  if (progress->step < 0 || progress->step >= (int64_t)j->spec.n_steps)
    return;
  struct jstep *s = &j->steps[progress->step];
  for (size_t i = 0; i < progress->n_tasks; i++)
    {
      const struct job_task_progress *task = &progress->tasks[i];
      if (task->index >= s->n_tasks)
        continue;
      struct jtask *t = &s->tasks[task->index];
      if (task->done || task->n_failed || task->n_crashes || task->n_lost)
        start_mark_job_started (j);
      for (size_t r = 0; r < task->n_failed; r++)
        {
          struct job_end end
              = { .run_id = task->failed[r].id, .how = RUN_END_FAILED };
          add_failed_run (t, end.run_id);
          start_note_end (t, &end, false);
        }
      for (size_t r = 0; r < task->n_crashes; r++)
        crash_add (s, (int)task->index, &task->crashes[r]);
      for (size_t r = 0; r < task->n_lost; r++)
        start_note_end (t, &task->lost[r], true);
      /* Rows of earlier leaders may name earlier runs. */
      if (task->stopping_run_id > t->stopping_run_id)
        t->stopping_run_id = task->stopping_run_id;
      if (task->done)
        mark_task_done (fs, j, (int)progress->step, (int)task->index);
    }
}

/* Applies the recorded progress that was loaded before the job was added, if
   any. */
static void
apply_early_progress (struct fsched *fs, struct job *j)
{
  struct early_progress key;
  struct early_progress *e;

  clb_copy (key.id, j->spec.id, sizeof key.id);
  e = RB_FIND (early_tree, &fs->early_progress, &key);
  if (!e)
    return;
  RB_REMOVE (early_tree, &fs->early_progress, e);
  if (job_state_final (e->progress.state))
    {
      j->state = (int)e->progress.state;
      TAILQ_INSERT_TAIL (&fs->ended, j, ended_link);
      j->recorded = true;
      j->runs_left_written = true;
    }
  for (size_t i = 0; i < e->progress.n_steps; i++)
    apply_step_progress (fs, j, &e->progress.steps[i]);
  j->old_pages = e->pages;
  j->n_old_pages = e->n_pages;
  e->pages = NULL;
  early_free (e);
}

void
fsched_add_job (struct fsched *fs, struct job_spec *spec, bool inherited,
                int64_t age_ms)
{
  struct job *j;

  if (fsched_find_job (fs, spec->id) || fsched_job_state (fs, spec->id) >= 0)
    {
      codec_free (&job_spec_desc, spec);
      return;
    }
  j = fsched_zalloc (1, sizeof *j);
  j->spec = *spec;
  memset (spec, 0, sizeof *spec);
  j->inherited = inherited;
  j->service_id = fsched_intern (&fs->services, j->spec.service);
  j->arrival_ms = fs->now_ms - age_ms;
  j->queue_stats = fsched_queue (fs, j->spec.queue);
  j->account = fsched_tenant (fs, j->spec.tenant);
  j->steps = fsched_zalloc (j->spec.n_steps, sizeof *j->steps);
  j->n_steps_left = (int)j->spec.n_steps;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      s->job = j;
      s->n_tasks = (int)j->spec.steps[i].tasks;
      s->first_task = i ? s[-1].first_task + s[-1].n_tasks : 0;
      s->label_id = fsched_intern_label (fs, j->spec.steps[i].label);
      s->data_rack_id = fsched_intern (&fs->racks, j->spec.steps[i].data_rack);
      s->tasks = fsched_zalloc ((size_t)s->n_tasks, sizeof *s->tasks);
      for (int t = 0; t < s->n_tasks; t++)
        s->tasks[t].next_run_id
            = inherited ? (int32_t)(fs->epoch * TERM_RUNS_MAX) : 1;
    }
  RB_INSERT (job_tree, &fs->jobs, j);
  TAILQ_INSERT_TAIL (&fs->queue, j, link);
  fs->n_jobs++;
  fs->stats->jobs_added++;
  mark_ready_steps (fs, j);
  if (inherited)
    apply_early_progress (fs, j);
  urgency_update (fs, j);
  if (fs->loaded)
    overload_job_added (fs, j);
  if (fs->loaded)
    out_line (fs->out,
              "event=job-taken job=%s queue=%s tenant=%s steps=%zu "
              "due_in_ms=%lld jobs=%d",
              j->spec.id, j->spec.queue, j->spec.tenant, j->spec.n_steps,
              (long long)(j->urgency.due_ms - fs->now_ms), fs->n_jobs);
}

int
fsched_job_state (const struct fsched *fs, const char *id)
{
  struct ended_job key;
  struct ended_job *ended;
  const struct job *j = fsched_find_job (fs, id);

  if (j && j->state == JOB_CANCELLED)
    return JOB_CANCELLED;
  if (j && job_state_final (j->state) && !j->recorded)
    return JOB_RUNNING; /* a final state is reported only once it is durable */
  if (j)
    return job_state_final (j->state) ? j->state
           : j->task_started          ? JOB_RUNNING
                                      : JOB_PENDING;
  if (strlen (id) >= sizeof key.id)
    return -1;
  clb_copy (key.id, id, sizeof key.id);
  ended = RB_FIND (ended_job_tree, (struct ended_job_tree *)&fs->ended_jobs,
                   &key);
  return ended ? ended->state : -1;
}

int64_t
fsched_jobs_waiting (const struct fsched *fs, const char *queue)
{
  const struct job *j;
  int64_t n = 0;

  TAILQ_FOREACH (j, &fs->queue, link)
    if (!j->task_started && !job_state_final (j->state)
        && strcmp (j->spec.queue, queue) == 0)
      n++;
  return n;
}

/* Stores the final states of jobs that have runs left, but whose
   specifications are not in the table. */
static void
add_ended_early_jobs (struct fsched *fs)
{
  struct early_progress *e, *next;

  RB_FOREACH_SAFE (e, early_tree, &fs->early_progress, next)
    {
      if (!job_state_final (e->progress.state))
        continue;
      RB_REMOVE (early_tree, &fs->early_progress, e);
      fsched_add_ended_job (fs, e->id, e->progress.state, false);
      early_drop (fs, e);
    }
}

void
fsched_load_done (struct fsched *fs)
{
  add_ended_early_jobs (fs);
  intents_load_done (fs);
  fs->loaded = true;
  fs->pass_due = true;
  out_line (fs->out,
            "event=scheduler-loaded epoch=%lld jobs=%d execs=%d "
            "took_ms=%lld",
            (long long)fs->epoch, fs->n_jobs, fs->n_execs,
            (long long)(fs->now_ms - fs->claimed_ms));
  account_log_all (fs, "use-loaded");
  waits_load_done (fs);
}

bool
fsched_is_query (const struct fsched *fs, uint64_t order)
{
  struct pending_order key = { .id = order };
  const struct pending_order *p = RB_FIND (
      pending_order_tree, (struct pending_order_tree *)&fs->orders, &key);

  return p && p->kind == ORDER_ADVISE;
}

void
fsched_order_result (struct fsched *fs, int64_t now_ms, uint64_t order,
                     const struct order_result *res)
{
  struct pending_order key = { .id = order };
  struct pending_order *p = RB_FIND (pending_order_tree, &fs->orders, &key);

  fs->now_ms = now_ms;
  if (!p)
    return;
  RB_REMOVE (pending_order_tree, &fs->orders, p);
  fs->stats->outcomes[res->outcome]++;
  hist_add (&fs->stats->order_ms[p->kind], now_ms - p->sent_ms);
  switch (p->kind)
    {
    case ORDER_POLL:
      exec_poll_result (fs, p, res);
      break;
    case ORDER_ADVISE:
      advice_result (fs, p, res);
      break;
    default:
      if (p->run)
        start_result (fs, p, res);
      break;
    }
  free (p->named);
  free (p);
}

/* Ends the advice queries that have no answer in time, if the next such check
   is due. */
static void
sweep_queries (struct fsched *fs)
{
  if (fs->now_ms < fs->next_query_sweep_ms)
    return;
  fs->next_query_sweep_ms = fs->now_ms + QUERY_SWEEP_MS;
  adviser_sweep_queries (fs);
  overload_update (fs);
}

void
fsched_tick (struct fsched *fs, int64_t now_ms, bool may_order)
{
  struct exec *e;
  struct job *j, *next;

  fs->now_ms = now_ms;
  fs->may_order = may_order;
  if (!fs->loaded || !may_order)
    return;
  if (now_ms >= fs->next_exec_sweep_ms)
    {
      fs->next_exec_sweep_ms = now_ms + FSCHED_EXEC_SWEEP_MS;
      TAILQ_FOREACH (e, &fs->execs, link)
        exec_tick (fs, e);
      domain_check_all (fs);
      exec_reconcile_check (fs);
      sweep_queries (fs);
      fsched_trim_jobs (fs);
      progress_tick (fs);
      waits_tick (fs);
      TAILQ_FOREACH_SAFE (j, &fs->ended, ended_link, next)
        fsched_forget_job (fs, j);
    }
  if (fs->retry_pass_ms && now_ms >= fs->retry_pass_ms)
    fs->pass_due = true;
  if (fs->pass_due && now_ms >= fs->next_pass_ms)
    place_pass (fs);
  if (fs->asking_due)
    asking_send (fs);
}
