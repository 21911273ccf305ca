/*
 * Log lines about overdue jobs that wait.  Once a second, the jobs that have
 * waited longest are named, those of all client accounts in turn, and all that
 * wait are counted in a summary.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Interval between groups of lines. */
  WAITS_INTERVAL_MS = 1000,
  /* Maximum number of jobs that are named in one group. */
  WAITS_JOBS_MAX = 50,
  /* A job is named again after this time.  With the interval, each of up to
     WAITS_JOBS_MAX * 4 jobs is named once in 5 s. */
  WAITS_REPEAT_MS = 4000,
  /* A step that has been ready for this long is reported although its job is
     not overdue yet. */
  WAITS_READY_MS = 4000,
  /* A run that has not been known to be running for this long keeps its task
     waiting. */
  WAITS_HELD_MS = 1000,
  /* Maximum number of names in a list of the summary. */
  WAITS_NAMES_MAX = 4,
};

/* struct late_step - the first step of an overdue job that waits */
struct late_step
{
  struct job *job;
  int step;  /* index of the step in its job */
  int place; /* place of the job in fsched::queue */
  int turn;  /* number of older jobs of its account that a line is due for */
};

/* struct count - a number of jobs that have something in common */
struct count
{
  const char *name;
  int n;
};

/* Returns whether a step has a task that is not done and that no run is known
   to be working on. */
static bool
step_waits (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  const struct start *r;

  if (step_waiting (s) > 0)
    return true;
  r = why_holder (fs, j, step);
  return r && why_held_ms (fs, r) >= WAITS_HELD_MS;
}

/* Returns whether a step has waited so long that it is reported. */
static bool
step_is_late (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  return s->ready && s->n_done < s->n_tasks
         && (fs->now_ms > j->urgency.due_ms
             || fs->now_ms - s->ready_ms >= WAITS_READY_MS)
         && step_waits (fs, j, step);
}

/* Returns the first step of a job that is to be reported, or -1. */
static int
find_late_step (const struct fsched *fs, const struct job *j)
{
  if (job_state_final (j->state))
    return -1;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    if (step_is_late (fs, j, (int)i))
      return (int)i;
  return -1;
}

/* Compares two steps by the time when their jobs were due. */
static int
compare_due (const struct late_step *a, const struct late_step *b)
{
  int64_t due_a_ms = a->job->urgency.due_ms;
  int64_t due_b_ms = b->job->urgency.due_ms;

  if (due_a_ms != due_b_ms)
    return due_a_ms < due_b_ms ? -1 : 1;
  return a->place - b->place;
}

static int
by_due (const void *va, const void *vb)
{
  return compare_due (va, vb);
}

static int
by_turn (const void *va, const void *vb)
{
  const struct late_step *a = va;
  const struct late_step *b = vb;

  return a->turn != b->turn ? a->turn - b->turn : compare_due (a, b);
}

static int
by_number (const void *va, const void *vb)
{
  const struct count *a = va;
  const struct count *b = vb;

  return a->n != b->n ? b->n - a->n : strcmp (a->name, b->name);
}

/* Stores the steps to be reported in @list, sorted by the time when their jobs
   were due.  Returns their number. */
static int
find_late (struct fsched *fs, struct late_step *list)
{
  struct job *j;
  int place = 0;
  int n = 0;

  TAILQ_FOREACH (j, &fs->queue, link)
    {
      int step = find_late_step (fs, j);
      if (step >= 0)
        list[n++] = (struct late_step){ j, step, place, 0 };
      place++;
    }
  qsort (list, (size_t)n, sizeof *list, by_due);
  return n;
}

/* Counts the steps by queue and by account. */
static void
count_late (struct fsched *fs, const struct late_step *list, int n)
{
  struct fsched_queue *q;
  struct fsched_tenant *t;

  TAILQ_FOREACH (q, &fs->queues, link)
    q->n_late = 0;
  TAILQ_FOREACH (t, &fs->tenants, link)
    t->n_late = t->n_turns = 0;
  for (int i = 0; i < n; i++)
    {
      list[i].job->queue_stats->n_late++;
      list[i].job->account->n_late++;
    }
}

/* Logs the steps that a line is due for, at most WAITS_JOBS_MAX.  @list:
   sorted by the time when the jobs were due.  Returns the number of lines. */
static int
log_late (struct fsched *fs, const struct late_step *list, int n)
{
  struct late_step *due = fsched_zalloc ((size_t)n, sizeof *due);
  int n_due = 0;

  for (int i = 0; i < n; i++)
    {
      const struct jstep *s = &list[i].job->steps[list[i].step];
      int turn;
      if (s->named_ms && fs->now_ms - s->named_ms < WAITS_REPEAT_MS)
        continue;
      turn = list[i].job->account->n_turns++;
      if (turn >= WAITS_JOBS_MAX)
        continue;
      due[n_due] = list[i];
      due[n_due++].turn = turn;
    }
  qsort (due, (size_t)n_due, sizeof *due, by_turn);
  if (n_due > WAITS_JOBS_MAX)
    n_due = WAITS_JOBS_MAX;
  for (int i = 0; i < n_due; i++)
    why_log_step (fs, due[i].job, due[i].step);
  free (due);
  return n_due;
}

/* Returns the largest counts as "name:count,...", which the caller frees.
   @counts: sorted by this function */
static char *
print_counts (struct count *counts, int n)
{
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);
  int n_others = 0;

  if (!f)
    abort ();
  qsort (counts, (size_t)n, sizeof *counts, by_number);
  for (int i = 0; i < n; i++)
    if (i >= WAITS_NAMES_MAX)
      n_others += counts[i].n;
    else if (counts[i].n)
      fprintf (f, "%s%s:%d", i ? "," : "", counts[i].name, counts[i].n);
  if (n_others)
    fprintf (f, ",others:%d", n_others);
  fclose (f);
  return text;
}

static char *
print_queues (const struct fsched *fs)
{
  const struct fsched_queue *q;
  struct count *counts;
  char *text;
  int n = 0;

  TAILQ_FOREACH (q, &fs->queues, link)
    n += q->n_late > 0;
  counts = fsched_zalloc ((size_t)n, sizeof *counts);
  n = 0;
  TAILQ_FOREACH (q, &fs->queues, link)
    if (q->n_late)
      counts[n++] = (struct count){ q->name, q->n_late };
  text = print_counts (counts, n);
  free (counts);
  return text;
}

static char *
print_accounts (const struct fsched *fs)
{
  const struct fsched_tenant *t;
  struct count *counts;
  char *text;
  int n = 0;

  TAILQ_FOREACH (t, &fs->tenants, link)
    n += t->n_late > 0;
  counts = fsched_zalloc ((size_t)n, sizeof *counts);
  n = 0;
  TAILQ_FOREACH (t, &fs->tenants, link)
    if (t->n_late)
      counts[n++] = (struct count){ t->name, t->n_late };
  text = print_counts (counts, n);
  free (counts);
  return text;
}

/* Returns why a step waits; if that takes a look at the executors, as of its
   last line. */
static int
last_cause (struct fsched *fs, const struct late_step *l)
{
  const struct jstep *s = &l->job->steps[l->step];
  int cause;

  if (s->named_ms == fs->now_ms)
    return s->named_cause;
  cause = why_cause_quick (fs, l->job, l->step);
  if (cause != CAUSE_UNKNOWN || !s->named_ms)
    return cause;
  switch (s->named_cause)
    {
    case CAUSE_SET_ASIDE:
    case CAUSE_ACCOUNT_LIMIT:
    case CAUSE_GANG_ENDING:
    case CAUSE_QUERY_SENT:
    case CAUSE_RUN_ENDING:
    case CAUSE_RUN_UNCONFIRMED:
    case CAUSE_RUN_UNRECORDED:
      return CAUSE_UNKNOWN;
    default:
      return s->named_cause;
    }
}

static char *
print_causes (struct fsched *fs, const struct late_step *list, int n)
{
  struct count counts[CAUSE_N];

  for (int i = 0; i < CAUSE_N; i++)
    counts[i] = (struct count){ wait_cause_names[i], 0 };
  for (int i = 0; i < n; i++)
    counts[last_cause (fs, &list[i])].n++;
  return print_counts (counts, CAUSE_N);
}

/* @list: sorted by the time when the jobs were due; not empty */
static void
log_summary (struct fsched *fs, const struct late_step *list, int n,
             int n_named)
{
  const struct job *oldest = list[0].job;
  clb_auto char *queues = print_queues (fs);
  clb_auto char *accounts = print_accounts (fs);
  clb_auto char *causes = print_causes (fs, list, n);

  out_line (fs->out,
            "event=waits-summary jobs=%d named=%d oldest=%s late_ms=%lld "
            "ready_ms=%lld causes=%s tenants=%s queues=%s",
            n, n_named, oldest->spec.id,
            (long long)(fs->now_ms - oldest->urgency.due_ms),
            (long long)(fs->now_ms - oldest->steps[list[0].step].ready_ms),
            causes, accounts, queues);
}

static void
log_waiting_jobs (struct fsched *fs)
{
  struct late_step *list = fsched_zalloc ((size_t)fs->n_jobs, sizeof *list);
  int n = find_late (fs, list);

  if (n > 0)
    {
      count_late (fs, list, n);
      log_summary (fs, list, n, log_late (fs, list, n));
    }
  free (list);
}

static int
count_inherited (const struct exec *e)
{
  const struct start *r;
  int n = 0;

  TAILQ_FOREACH (r, &e->runs, exec_link)
    n += r->inherited;
  return n;
}

/* Logs on which executors the starts of earlier leaders are not confirmed.
   @n_partial: number of gangs of which only some members have starts */
static void
log_inherited (struct fsched *fs, int n_partial)
{
  struct count *counts = fsched_zalloc ((size_t)fs->n_execs, sizeof *counts);
  const struct exec *e;
  clb_auto char *text = NULL;
  int n = 0;
  int n_starts = 0;
  int n_unreconciled = 0;

  TAILQ_FOREACH (e, &fs->execs, link)
    {
      counts[n] = (struct count){ e->rep.id, count_inherited (e) };
      n_starts += counts[n].n;
      n += counts[n].n > 0;
      n_unreconciled += !e->reconciled;
    }
  text = print_counts (counts, n);
  free (counts);
  out_line (fs->out,
            "event=inherited starts=%d partial_gangs=%d execs=%d "
            "unreconciled=%d old_leases_end_in_ms=%lld waiting_for=%s",
            n_starts, n_partial, n, n_unreconciled,
            (long long)(fs->old_leases_end_ms - fs->now_ms), text);
}

/* Returns whether only some members of a gang have starts. */
static bool
gang_is_partial (const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  return j->spec.steps[step].gang && s->n_running > 0 && step_waiting (s) > 0;
}

/* Counts the gangs of which only some members have starts, and names the first
   @max of them. */
static int
count_partial (struct fsched *fs, int max)
{
  struct job *j;
  int n = 0;

  TAILQ_FOREACH (j, &fs->queue, link)
    for (size_t i = 0; i < j->spec.n_steps && !job_state_final (j->state); i++)
      if (gang_is_partial (j, (int)i) && n++ < max)
        why_log_step (fs, j, (int)i);
  return n;
}

void
waits_load_done (struct fsched *fs)
{
  fs->next_waits_line_ms = fs->now_ms + WAITS_INTERVAL_MS;
  log_inherited (fs, count_partial (fs, WAITS_JOBS_MAX));
}

void
waits_tick (struct fsched *fs)
{
  if (fs->now_ms < fs->next_waits_line_ms)
    return;
  fs->next_waits_line_ms = fs->now_ms + WAITS_INTERVAL_MS;
  if (!fs->reconciled)
    log_inherited (fs, count_partial (fs, 0));
  log_waiting_jobs (fs);
}
