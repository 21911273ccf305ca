/*
 * Urgency of jobs: when a job must end, and the order in which a placing pass
 * considers the jobs.
 *
 * The latency objective of a job is a multiple of its run time.  The run time
 * is predicted from the submitter's estimate and the run times of the queue's
 * earlier jobs, as the estimates alone are often several times too short or
 * too long.  A job whose prediction is uncertain counts as late only once it
 * would be late even with a long run time.
 */
#include "fsched_impl.h"

#include <string.h>

enum
{
  /* Time after which a job's urgency is computed again, as the predicted run
     times have changed. */
  URGENCY_MAX_AGE_MS = 500,
  /* The objective of a queue with advice allows for one query a step that
     names this many executors. */
  OBJECTIVE_ADVICE_EXECS = 30,
  /* A result that arrives after this many times the objective has no value. */
  WORTHLESS_FACTOR = 3,
};

/* struct path - critical paths of a job, in milliseconds */
struct path
{
  int64_t whole_ms;     /* of all steps, with their failed runs */
  int64_t remaining_ms; /* of the steps that are not done */
};

/* Computes the critical paths of a job.  @factor: factor by which run times
   exceed their predictions. */
static struct path
critical_path (const struct job *j, double factor)
{
  const struct job_advice *advice = &j->spec.advice;
  int64_t whole_ms[JOB_STEPS_MAX] = { 0 };
  int64_t remaining_ms[JOB_STEPS_MAX] = { 0 };
  int64_t query_ms = 0;

  if (advice->base_ms > 0)
    query_ms = (int64_t)(advice->base_ms
                         + OBJECTIVE_ADVICE_EXECS * advice->per_exec_ms);
  for (size_t i = 0; i < j->spec.n_steps && i < JOB_STEPS_MAX; i++)
    {
      const struct jstep *s = &j->steps[i];
      int64_t run_ms = estim_predict (&j->queue_stats->run_times,
                                      j->spec.steps[i].estimate_ms);
      run_ms = (int64_t)(factor * (double)run_ms);
      whole_ms[i] = query_ms + run_ms + s->failed_ms;
      remaining_ms[i] = s->n_done < s->n_tasks ? run_ms : 0;
    }
  return (struct path){ job_critical_path_ms (&j->spec, whole_ms),
                        job_critical_path_ms (&j->spec, remaining_ms) };
}

/* Returns the job's latency objective, from its arrival. */
static int64_t
objective_ms (const struct job *j, const struct path *p)
{
  return j->spec.target_ms + (int64_t)(j->spec.slack * (double)p->whole_ms);
}

/* Computes the times that the urgency of a job depends on. */
static void
compute_times (const struct fsched *fs, struct job *j)
{
  struct urgency *u = &j->urgency;
  double spread = estim_spread (&j->queue_stats->run_times);
  struct path expected = critical_path (j, 1);
  struct path longest = critical_path (j, spread);

  u->computed_ms = fs->now_ms;
  u->due_ms = j->arrival_ms + objective_ms (j, &expected);
  u->latest_start_ms = u->due_ms - expected.remaining_ms;
  u->late_ms
      = j->arrival_ms + objective_ms (j, &longest) - longest.remaining_ms;
  u->worthless_ms = j->arrival_ms
                    + WORTHLESS_FACTOR * objective_ms (j, &longest)
                    - longest.remaining_ms;
}

void
urgency_update (const struct fsched *fs, struct job *j)
{
  struct urgency *u = &j->urgency;

  if (!u->computed_ms || fs->now_ms - u->computed_ms >= URGENCY_MAX_AGE_MS)
    compute_times (fs, j);
  u->class = ABLATED (URGENCY_CLASSES)      ? URGENCY_ON_TIME
             : fs->now_ms > u->worthless_ms ? URGENCY_LAST
             : fs->now_ms > u->late_ms      ? URGENCY_LATE
                                            : URGENCY_ON_TIME;
}

void
urgency_expire (struct job *j)
{
  j->urgency.computed_ms = 0;
}

/* By class, then priority 0 before all other priorities, then by
   latest_start_ms, then by id. */
int
urgency_compare (const void *va, const void *vb)
{
  const struct job *a = *(struct job *const *)va;
  const struct job *b = *(struct job *const *)vb;

  if (a->urgency.class != b->urgency.class)
    return a->urgency.class - b->urgency.class;
  if ((a->spec.priority == 0) != (b->spec.priority == 0))
    return a->spec.priority == 0 ? -1 : 1;
  if (a->urgency.latest_start_ms != b->urgency.latest_start_ms)
    return a->urgency.latest_start_ms < b->urgency.latest_start_ms ? -1 : 1;
  return strcmp (a->spec.id, b->spec.id);
}
