/*
 * Preemption: when no worker has enough free capacity for an urgent task,
 * running tasks that are the cheapest to repeat are stopped and run again
 * later.  A task that may not run twice is never stopped.
 */
#include "sched.h"

enum
{
  /* Minimum time between two preemptions in favour of the same task. */
  PREEMPT_INTERVAL_MS = 3000,
  /* Maximum number of times that one task is preempted. */
  PREEMPTIONS_MAX = 3,
  /* Maximum number of tasks that are preempted at once. */
  VICTIMS_MAX = 16,
};

/* struct preempt_plan - tasks to preempt on one worker, and the cost of it */
struct preempt_plan
{
  struct task *victims[VICTIMS_MAX]; /* tasks to preempt */
  int n_victims;                     /* number of tasks in victims */
  /* Sum of preempt_cost() of all victims, in core milliseconds. */
  int64_t cost;
};

/* Returns whether the task may be preempted. */
static bool
preemptible (const struct task *t)
{
  return t->idempotent && t->class > CLASS_URGENT && t->n_members == 1
         && t->lane == LANE_TASK && t->state == TASK_RUNNING && !t->cancelled
         && t->n_preemptions < PREEMPTIONS_MAX;
}

/* Returns the work that would have to be repeated if the task were preempted,
   in core milliseconds. */
static int64_t
preempt_cost (const struct sched *s, const struct task *t)
{
  return (s->now_ms - t->placed_ms) * t->spec.need.cores;
}

/* Returns whether the plan has the task among the tasks to preempt. */
static bool
is_planned_victim (const struct preempt_plan *p, const struct task *t)
{
  for (int i = 0; i < p->n_victims; i++)
    if (p->victims[i] == t)
      return true;
  return false;
}

/* Returns a task on the worker that may be preempted and is not in the plan
   yet.  Of several such tasks it is the one with the lowest preempt_cost();
   NULL if there is none. */
static struct task *
cheapest_victim (const struct sched *s, const struct worker *w,
                 const struct preempt_plan *p)
{
  struct member *m;
  struct task *best = NULL;

  TAILQ_FOREACH (m, &w->members, on_worker)
    {
      struct task *t = m->task;
      if (!preemptible (t) || is_planned_victim (p, t))
        continue;
      if (!best || preempt_cost (s, t) < preempt_cost (s, best))
        best = t;
    }
  return best;
}

/* Fills @p with tasks whose preemption frees capacity @need on the worker.
   Returns false if so much cannot be freed. */
static bool
plan_preemption (const struct sched *s, const struct worker *w,
                 const struct clb_res *need, struct preempt_plan *p)
{
  struct clb_res available = w->inst.capacity;

  clb_res_add (&available, &w->used, -1);
  *p = (struct preempt_plan){ .n_victims = 0 };
  while (!clb_res_fits (need, &available))
    {
      struct task *t
          = p->n_victims < VICTIMS_MAX ? cheapest_victim (s, w, p) : NULL;
      if (!t)
        return false;
      p->victims[p->n_victims++] = t;
      p->cost += preempt_cost (s, t);
      clb_res_add (&available, &t->spec.need, 1);
    }
  return true;
}

/* Returns whether a task on the worker is being preempted already.  Until that
   task has ended, no other task on the worker is preempted. */
static bool
preempt_in_progress (const struct worker *w)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    if (m->task->being_preempted)
      return true;
  return false;
}

/* Stops all tasks of the plan, so that @t can be placed. */
static void
preempt_victims (struct sched *s, struct task *t, const struct preempt_plan *p)
{
  for (int i = 0; i < p->n_victims; i++)
    {
      struct task *victim = p->victims[i];
      victim->being_preempted = true;
      victim->n_preemptions++;
      victim->state = TASK_STOPPING;
      task_stop_members (s, victim);
    }
  sched_event (s, WHY_PREEMPTING, t->id, t->team->name, "", p->n_victims);
}

void
urgent_preempt (struct sched *s, struct task *t)
{
  struct worker *w;
  struct preempt_plan p;
  struct preempt_plan best = { .n_victims = 0 };
  bool found = false;

  if (t->spec.members != 1 || t->lane != LANE_TASK
      || (t->last_preempt_ms
          && s->now_ms - t->last_preempt_ms < PREEMPT_INTERVAL_MS))
    return;
  RB_FOREACH (w, worker_tree, &s->pool.workers)
    {
      if (!pool_usable (w, s->now_ms) || w->inst.kind != INST_WORKER
          || preempt_in_progress (w)
          || !plan_preemption (s, w, &t->spec.need, &p))
        continue;
      if (!found || p.cost < best.cost)
        best = p;
      found = true;
    }
  if (!found)
    return;
  t->last_preempt_ms = s->now_ms;
  preempt_victims (s, t, &best);
}
