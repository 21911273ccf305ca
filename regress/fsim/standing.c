/*
 * Finds accepted jobs that wait although they could run.
 *
 * A job could run at a moment if none of its tasks is running, and
 *   - a task has not ended with success, and all tasks of the steps that its
 *     step comes after have;
 *   - the executors that advice permits for the step have room for the task
 *     twice over, and for twice all tasks of a gang that are left;
 *   - its client account runs less than half of its limit, which leaves room
 *     for what is to start;
 *   - no executor has crashed in the last FSTANDING_CALM_MS, as a leader
 * learns of that late. A job stands if it could run for FSTANDING_MS on end.
 * It stands idle if less than half of the capacity of all executors was in use
 * all the while. Jobs that were cancelled or have used up their attempts do
 * not count.
 */
#include "fsim.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Interval between two checks of all jobs. */
  CHECK_INTERVAL_MS = 100,
};

/* struct account_use - what the runs of a client account use */
struct account_use
{
  const char *tenant;   /* borrowed from a job */
  struct job_need used; /* those that are being stopped included */
  int64_t limit;        /* lowest limit that may be in force, millicores */
};

/* struct moment - what the executors and accounts use at the time of a check
 */
struct moment
{
  /* By index of the executor; nothing for those that can start no run. */
  struct job_need room[FSIM_EXECS_MAX];
  struct account_use *accounts;
  int n_accounts;
  int cap_accounts;
  struct job_need used;     /* on all executors that are up */
  struct job_need capacity; /* of all executors that are up */
};

static void
add_need (struct job_need *sum, const struct job_need *need, int64_t times)
{
  sum->millicores += times * need->millicores;
  sum->mem_mb += times * need->mem_mb;
  sum->accels += times * need->accels;
}

/* Return: the entry of an account, which is added if it is missing. */
static struct account_use *
find_account (struct fsim *s, struct moment *m, const char *tenant)
{
  struct account_use *a;

  for (int i = 0; i < m->n_accounts; i++)
    if (strcmp (m->accounts[i].tenant, tenant) == 0)
      return &m->accounts[i];
  if (m->n_accounts == m->cap_accounts)
    {
      m->cap_accounts = 2 * m->cap_accounts + 8;
      m->accounts = realloc (m->accounts,
                             (size_t)m->cap_accounts * sizeof *m->accounts);
      if (!m->accounts)
        abort ();
    }
  a = &m->accounts[m->n_accounts++];
  *a = (struct account_use){ .tenant = tenant,
                             .limit = fquota_lowest_limit (s, tenant) };
  return a;
}

static bool
can_start_runs (const struct fsim *s, const struct fexec *e)
{
  return e->up && e->listed && !e->draining && !e->refuses_connections
         && e->partitioned_until_ms <= s->now_ms;
}

static void
add_exec (struct fsim *s, struct moment *m, const struct fexec *e)
{
  struct job_need used = { 0 };

  if (!e->up)
    return;
  for (int i = 0; i < e->n_runs; i++)
    {
      const struct fjob *j = fsim_find_job (s, e->runs[i].task.job);
      add_need (&used, &e->runs[i].need, 1);
      if (j)
        add_need (&find_account (s, m, j->spec.tenant)->used, &e->runs[i].need,
                  1);
    }
  add_need (&m->used, &used, 1);
  add_need (&m->capacity, &e->capacity, 1);
  if (!can_start_runs (s, e))
    return;
  m->room[e->index] = e->capacity;
  add_need (&m->room[e->index], &used, -1);
}

static bool
under_half_used (const struct moment *m)
{
  return 2 * m->used.millicores < m->capacity.millicores
         && 2 * m->used.mem_mb < m->capacity.mem_mb;
}

/* Return: how many tasks of a step fit into @room. */
static int64_t
fit_count (const struct job_need *room, const struct job_step *step)
{
  int64_t n = step->max_per_exec ? step->max_per_exec : INT64_MAX;

  if (step->need.millicores && room->millicores / step->need.millicores < n)
    n = room->millicores / step->need.millicores;
  if (step->need.mem_mb && room->mem_mb / step->need.mem_mb < n)
    n = room->mem_mb / step->need.mem_mb;
  return n > 0 ? n : 0;
}

/* Returns whether the executors that advice permits for a step have room for
   @n_tasks of its tasks. */
static bool
has_room (struct fsim *s, const struct moment *m, const struct fjob *j,
          size_t step, int64_t n_tasks)
{
  struct task_ref ref = { .step = (int64_t)step };
  bool needs_advice = j->spec.advice.base_ms > 0 || j->asked;

  clb_copy (ref.job, j->id, sizeof ref.job);
  for (int k = 0; k < s->n_exec && n_tasks > 0; k++)
    {
      int64_t n = fit_count (&m->room[k], &j->spec.steps[step]);
      if (n > 0
          && (!needs_advice || fadvice_permits (s, &ref, s->exec[k]->id)))
        n_tasks -= n < n_tasks ? n : n_tasks;
    }
  return n_tasks == 0;
}

/* Returns whether the account runs less than half of its limit, and @n_tasks
   more of the step do not exceed it. */
static bool
limit_allows (const struct account_use *a, const struct job_step *step,
              int64_t n_tasks)
{
  return a->used.millicores < a->limit / 2
         && n_tasks * step->need.millicores <= a->limit - a->used.millicores;
}

static const struct ftask_stats *
stats_of_step (const struct fjob *j, size_t step)
{
  const struct ftask_stats *stats = j->stats;

  for (size_t i = 0; i < step; i++)
    stats += j->spec.steps[i].tasks;
  return stats;
}

/* Return: number of tasks of a step that have not ended with success; 0 for a
   gang if one has, as its members end together. */
static int64_t
tasks_left (const struct fjob *j, size_t step)
{
  const struct ftask_stats *stats = stats_of_step (j, step);
  int64_t n_tasks = j->spec.steps[step].tasks;
  int64_t n_done = 0;

  for (int64_t i = 0; i < n_tasks; i++)
    n_done += stats[i].n_done_ends > 0;
  return j->spec.steps[step].gang && n_done > 0 ? 0 : n_tasks - n_done;
}

static bool
is_ready (const struct fjob *j, size_t step)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    if (j->spec.steps[step].after >> i & 1 && tasks_left (j, i) > 0)
      return false;
  return true;
}

static bool
step_could_run (struct fsim *s, struct moment *m, const struct fjob *j,
                size_t step)
{
  int64_t n_left = tasks_left (j, step);
  int64_t n_needed = j->spec.steps[step].gang ? n_left : 1;

  return n_left > 0 && is_ready (j, step)
         && limit_allows (find_account (s, m, j->spec.tenant),
                          &j->spec.steps[step], n_needed)
         && has_room (s, m, j, step, 2 * n_needed);
}

/* Returns whether the job has ended: all its tasks are done, a task has used
   up its attempts, or the job was cancelled or shown as failed. */
static bool
has_ended (const struct fjob *j)
{
  int n_done = 0;

  for (int i = 0; i < j->n_stats; i++)
    {
      if (j->stats[i].n_failed >= j->spec.attempts)
        return true;
      n_done += j->stats[i].done;
    }
  return j->cancelled || j->shown_failed || n_done == j->n_stats;
}

static bool
job_could_run (struct fsim *s, struct moment *m, const struct fjob *j)
{
  for (int i = 0; i < j->n_stats; i++)
    if (j->stats[i].n_running > 0)
      return false;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    if (step_could_run (s, m, j, i))
      return true;
  return false;
}

/* Notes for one kind of standing whether the job could run at a check. */
static void
note_job (struct fsim *s, struct fjob *j, enum fstanding_kind kind,
          bool could_run)
{
  struct flongest *longest = &s->standing.longest[kind];
  int64_t *since_ms = &j->could_run_since_ms[kind];

  if (!could_run)
    {
      *since_ms = 0;
      return;
    }
  if (!*since_ms)
    *since_ms = s->now_ms;
  if (s->now_ms - *since_ms <= longest->ms)
    return;
  longest->ms = s->now_ms - *since_ms;
  clb_copy (longest->job, j->id, sizeof longest->job);
}

static void
check_job (struct fsim *s, struct moment *m, struct fjob *j)
{
  bool could_run;

  j->ended = has_ended (j);
  could_run = !j->ended && s->now_ms - s->last_crash_ms >= FSTANDING_CALM_MS
              && job_could_run (s, m, j);
  note_job (s, j, FSTANDING_ANY, could_run);
  note_job (s, j, FSTANDING_IDLE, could_run && under_half_used (m));
}

static void
check_jobs (struct fsim *s, void *arg)
{
  struct moment *m;
  struct fjob *j;

  (void)arg;
  if (s->shutting_down)
    return;
  fsim_schedule (s, CHECK_INTERVAL_MS, check_jobs, NULL);
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  for (int k = 0; k < s->n_exec; k++)
    add_exec (s, m, s->exec[k]);
  RB_FOREACH (j, fjob_tree, &s->jobs)
    if (j->accepted && !j->ended)
      check_job (s, m, j);
  free (m->accounts);
  free (m);
}

void
fstanding_watch (struct fsim *s)
{
  bool watches = s->standing.watches;

  s->standing = (struct fstanding){ .watches = true };
  if (!watches)
    check_jobs (s, NULL);
}

bool
fstanding_stands (const struct fsim *s, const struct fjob *j,
                  enum fstanding_kind kind)
{
  int64_t since_ms = j->could_run_since_ms[kind];

  return since_ms && s->now_ms - since_ms >= FSTANDING_MS;
}
