/* Room for urgent work on a full fleet: the cheapest running work is stopped
   and runs again later.  Work that may not run twice is never stopped. */
#include "sched.h"

enum
{
  MAKE_ROOM_MS = 3000, /* between two tries for the same task */
  GIVE_WAY_MAX = 3,    /* times that one task is stopped */
  VICTIMS_MAX = 16,    /* on one worker, for one task */
};

/* struct plan - what would be stopped on one worker, and what it costs */
struct plan
{
  struct task *victims[VICTIMS_MAX];
  int n;
  int64_t cost;
};

static bool
may_give_way (const struct task *t)
{
  return t->idempotent && t->class > CLASS_URGENT && t->n_members == 1
         && t->lane == LANE_TASK && t->state == TASK_RUNNING && !t->cancelled
         && t->n_preemptions < GIVE_WAY_MAX;
}

/* Work that would be done again, in core milliseconds. */
static int64_t
cost_of (const struct sched *s, const struct task *t)
{
  return (s->now_ms - t->placed_ms) * t->spec.need.cores;
}

static bool
chosen (const struct plan *p, const struct task *t)
{
  for (int i = 0; i < p->n; i++)
    if (p->victims[i] == t)
      return true;
  return false;
}

static struct task *
cheapest (const struct sched *s, const struct worker *w, const struct plan *p)
{
  struct member *m;
  struct task *best = NULL;

  TAILQ_FOREACH (m, &w->members, on_worker)
    {
      struct task *t = m->task;
      if (!may_give_way (t) || chosen (p, t))
        continue;
      if (!best || cost_of (s, t) < cost_of (s, best))
        best = t;
    }
  return best;
}

/* False when even stopping all that may be stopped leaves too little. */
static bool
plan_worker (const struct sched *s, const struct worker *w,
             const struct clb_res *need, struct plan *p)
{
  struct clb_res room = w->inst.capacity;

  clb_res_add (&room, &w->used, -1);
  *p = (struct plan){ .n = 0 };
  while (!clb_res_fits (need, &room))
    {
      struct task *t = p->n < VICTIMS_MAX ? cheapest (s, w, p) : NULL;
      if (!t)
        return false;
      p->victims[p->n++] = t;
      p->cost += cost_of (s, t);
      clb_res_add (&room, &t->spec.need, 1);
    }
  return true;
}

/* Whether room is already being made there: no second plan on top of it. */
static bool
being_cleared (const struct worker *w)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    if (m->task->being_preempted)
      return true;
  return false;
}

static void
carry_out (struct sched *s, struct task *t, const struct plan *p)
{
  for (int i = 0; i < p->n; i++)
    {
      struct task *v = p->victims[i];
      v->being_preempted = true;
      v->n_preemptions++;
      v->state = TASK_STOPPING;
      task_stop_members (s, v);
    }
  sched_event (s, WHY_PREEMPTING, t->id, t->team->name, "", p->n);
}

void
urgent_preempt (struct sched *s, struct task *t)
{
  struct worker *w;
  struct plan p;
  struct plan best = { .n = 0 };
  bool found = false;

  if (t->spec.members != 1 || t->lane != LANE_TASK
      || (t->last_preempt_ms && s->now_ms - t->last_preempt_ms < MAKE_ROOM_MS))
    return;
  RB_FOREACH (w, worker_tree, &s->pool.workers)
    {
      if (!pool_usable (w, s->now_ms) || w->inst.kind != INST_WORKER
          || being_cleared (w) || !plan_worker (s, w, &t->spec.need, &p))
        continue;
      if (!found || p.cost < best.cost)
        best = p;
      found = true;
    }
  if (!found)
    return;
  t->last_preempt_ms = s->now_ms;
  carry_out (s, t, &best);
}
