/*
 * Room that a placing pass reserves on executors for steps which wait for
 * advice: for the answers to outstanding queries, and for gangs that do not
 * fit yet.
 */
#include "fsched_impl.h"

/* Returns @a and @sign times @b. */
static struct job_need
add_need (struct job_need a, const struct job_need *b, int sign)
{
  a.millicores += sign * b->millicores;
  a.mem_mb += sign * b->mem_mb;
  a.accels += sign * b->accels;
  return a;
}

/* Returns what a view of a job leaves out of the room on an executor. */
static struct job_need
reserved_in (const struct exec *e, const struct job *j, int view)
{
  bool passes_firm = j->arrival_ms < e->firm_arrival_ms;
  struct job_need firm;

  switch (view)
    {
    case ROOM_OF_RANK:
      if (passes_firm)
        return e->reserved_above;
      firm = add_need (e->reserved_firm, &e->firm_above, -1);
      return add_need (e->reserved_above, &firm, 1);
    case ROOM_OF_GANGS:
      firm = add_need (e->reserved, &e->reserved_gangs, -1);
      return passes_firm ? add_need (firm, &e->reserved_firm, -1) : firm;
    case ROOM_ALL:
      return passes_firm ? (struct job_need){ 0 } : e->reserved_firm;
    default:
      return e->reserved;
    }
}

int
room_count (const struct exec *e, const struct job *j, int step, int max,
            int view)
{
  struct job_need reserved = reserved_in (e, j, view);
  int n = exec_fit_beside (e, j, step, max, &reserved);

  return n > 0 ? n : 0;
}

/* Returns whether no other step may pass over a gang any more. */
static bool
is_firm (const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  return s->passed_millicores
         >= s->n_tasks * j->spec.steps[step].need.millicores;
}

void
room_pass_over (const struct exec *e, const struct job *j, int step)
{
  struct jstep *holder = e->holder;

  if (holder && holder != &j->steps[step] && holder->hold_kind == HOLD_GANG)
    holder->passed_millicores += j->spec.steps[step].need.millicores;
}

void
room_forget_job (struct fsched *fs, const struct job *j)
{
  struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (e->holder && e->holder->job == j)
      e->holder = NULL;
}

int64_t
room_held_max_ms (const struct fsched *fs, const struct job *j)
{
  return j->spec.advice.base_ms > 0 ? j->spec.advice.valid_ms
                                    : fs->longest_ticket_ms;
}

/* Reserves capacity on @e for at most @max tasks of the step, so that less
   urgent work does not get it in this pass.  Returns the number of tasks that
   capacity was reserved for. */
static int
reserve_capacity (struct exec *e, struct job *j, int step, int max,
                  enum hold_kind kind)
{
  const struct job_step *s = &j->spec.steps[step];
  int n = exec_fit_count (e, j, step, max);
  struct job_need sum
      = { .millicores = s->best_effort_cpu ? 0 : n * s->need.millicores,
          .mem_mb = n * s->need.mem_mb,
          .accels = n * s->need.accels };

  if (n <= 0)
    return 0;
  if (!e->holder)
    e->holder = &j->steps[step];
  e->reserved = add_need (e->reserved, &sum, 1);
  if (kind == HOLD_GANG && is_firm (j, step))
    {
      e->reserved_firm = add_need (e->reserved_firm, &sum, 1);
      if (!e->firm_arrival_ms || j->arrival_ms < e->firm_arrival_ms)
        e->firm_arrival_ms = j->arrival_ms;
    }
  else if (kind == HOLD_GANG)
    e->reserved_gangs = add_need (e->reserved_gangs, &sum, 1);
  return n;
}

/* Notes that the present pass reserves room for a step. */
static void
mark_held (struct fsched *fs, struct jstep *s, enum hold_kind kind)
{
  int64_t ticket_ms = s->job->spec.advice.valid_ms;

  if (ticket_ms > fs->longest_ticket_ms)
    fs->longest_ticket_ms = ticket_ms;
  s->hold_kind = kind;
  if (s->held_pass + 1 < fs->stats->passes)
    s->held_since_ms = fs->now_ms;
  s->held_pass = fs->stats->passes;
}

void
room_reserve_named (struct fsched *fs, struct job *j, int step,
                    const struct named_execs *execs, int n_waiting)
{
  int n_left = n_waiting;

  for (size_t i = 0; i < execs->n && n_left > 0; i++)
    n_left -= reserve_capacity (execs->list[i].e, j, step, n_left, HOLD_QUERY);
  if (n_left < n_waiting)
    mark_held (fs, &j->steps[step], HOLD_QUERY);
}

/* Returns the eligible executor that has an index, NULL if there is none.
   fsched::eligible is in ascending order of the index, and skips no more
   indices than there are other executors. */
static struct exec *
find_eligible (const struct fsched *fs, int index)
{
  int begin = index - (fs->n_execs - fs->n_eligible);
  int end = index < fs->n_eligible ? index + 1 : fs->n_eligible;

  if (begin < 0)
    begin = 0;
  while (begin < end)
    {
      int middle = begin + (end - begin) / 2;
      struct exec *e = fs->eligible[middle];
      if (e->index == index)
        return e;
      if (e->index < index)
        begin = middle + 1;
      else
        end = middle;
    }
  return NULL;
}

/* Reserves capacity for the waiting tasks of a step: for HOLD_GANG on the
   executors that it is permitted, else on those that its outstanding queries
   name.  These are few, so the others are not looked at. */
static void
reserve_for_step (struct fsched *fs, struct job *j, int step,
                  enum hold_kind kind)
{
  struct jstep *s = &j->steps[step];
  bool asked = kind != HOLD_GANG;
  int n_waiting = step_waiting (s);

  for (int i = 0; i < s->n_permits; i++)
    {
      struct permit *p = &s->permits[i];
      struct exec *e;
      /* Written only where it changes, as the permits of all steps do not fit
         into the processor's caches. */
      if (p->n_reserved)
        p->n_reserved = 0;
      if (n_waiting <= 0 || (asked ? !p->asked : p->state != PERMIT_ALLOWED))
        continue;
      e = find_eligible (fs, i);
      if (!e || !exec_usable (e, j, step))
        continue;
      p->n_reserved = reserve_capacity (e, j, step, n_waiting, kind);
      n_waiting -= p->n_reserved;
    }
  s->room_reserved = true;
  if (n_waiting < step_waiting (s))
    mark_held (fs, s, kind);
}

void
room_keep (struct fsched *fs, struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  if (s->n_asking > 0 && !s->room_reserved)
    reserve_for_step (fs, j, step, HOLD_QUERY);
}

int
room_fits (const struct exec *e, const struct job *j, int step, int view)
{
  const struct job_step *spec = &j->spec.steps[step];
  const struct jstep *s = &j->steps[step];
  struct job_need reserved = e->reserved;
  int n = e->index < s->n_permits && s->room_reserved
              ? s->permits[e->index].n_reserved
              : 0;

  if (n == 0 || view != ROOM_UNRESERVED)
    return room_count (e, j, step, s->n_tasks, view);
  if (!spec->best_effort_cpu)
    reserved.millicores -= n * spec->need.millicores;
  reserved.mem_mb -= n * spec->need.mem_mb;
  reserved.accels -= n * spec->need.accels;
  return exec_fit_beside (e, j, step, s->n_tasks, &reserved);
}

/* Returns the number of tasks, at most @max, that a capacity is enough for. */
static int
fit_capacity (const struct job_need *capacity, const struct job_step *spec,
              int max)
{
  const struct job_need *need = &spec->need;
  int64_t n = max;

  if (!spec->best_effort_cpu && need->millicores > 0
      && capacity->millicores / need->millicores < n)
    n = capacity->millicores / need->millicores;
  if (need->mem_mb > 0 && capacity->mem_mb / need->mem_mb < n)
    n = capacity->mem_mb / need->mem_mb;
  if (need->accels > 0 && capacity->accels / need->accels < n)
    n = capacity->accels / need->accels;
  if (spec->max_per_exec && spec->max_per_exec < n)
    n = spec->max_per_exec;
  return (int)n;
}

bool
room_could_start (struct fsched *fs, struct job *j, int step)
{
  const struct job_step *spec = &j->spec.steps[step];
  const struct jstep *s = &j->steps[step];
  int n_needed = spec->gang ? s->n_tasks : 1;
  int n = 0;

  for (int i = 0; i < fs->n_eligible && n < n_needed; i++)
    {
      const struct exec *e = fs->eligible[i];
      if (e->index < s->n_permits
          && s->permits[e->index].state == PERMIT_ALLOWED
          && exec_usable (e, j, step))
        n += fit_capacity (&e->rep.capacity, spec, n_needed);
    }
  return n >= n_needed;
}

void
room_reserve_gang (struct fsched *fs, struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  int64_t need = step_waiting (s) * j->spec.steps[step].need.millicores;

  if (!j->spec.steps[step].gang || s->n_queries == 0 || ABLATED (GANG_ROOM))
    return;
  if (s->n_asking > 0 && s->start_expected)
    reserve_for_step (fs, j, step, HOLD_ANSWER);
  else if (need <= fs->gang_reserve_millicores
           && room_could_start (fs, j, step))
    {
      fs->gang_reserve_millicores -= need;
      reserve_for_step (fs, j, step, HOLD_GANG);
    }
}
