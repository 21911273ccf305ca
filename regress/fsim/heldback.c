/*
 * Checks the bound of fsched_place.c on how long reserved room may keep a gang
 * from starting: a gang that has tickets and room for all its members,
 * reserved or not, starts within a ticket's lifetime.
 *
 * The leader's own beliefs count.  The time in which it may not give orders or
 * has enough pending starts does not.
 */
#include "fsim.h"
#include "fsched_impl.h"

#include <string.h>

enum
{
  /* Interval between two checks. */
  HELD_CHECK_MS = 50,
  /* Longest time from a placing pass to the start that it decides on, of a
     leader that is busy. */
  HELD_SLACK_MS = 400,
};

/* Returns whether a gang's members all fit on executors that it has tickets
   for. */
static bool
could_start (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  int n_left = s->n_tasks;
  const struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (n_left > 0 && exec_usable (e, j, step) && permit_valid (fs, s, e))
      n_left -= room_count (e, j, step, n_left, ROOM_ALL);
  return n_left <= 0;
}

/* Returns whether nothing but the placing of tasks keeps a step waiting. */
static bool
waits_for_placing (struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  return j->spec.steps[step].gang && j->spec.advice.base_ms > 0 && s->ready
         && s->n_done == 0 && s->n_running == 0
         && s->tickets_until_ms > fs->now_ms
         && account_may_start (fs, j, step);
}

/* Returns the entry of a step; one that was not seen at the last check begins
   anew. */
static struct fheld *
find_entry (struct fsim *s, const struct jstep *step)
{
  struct fheld *entry = NULL;

  for (int i = 0; i < FSIM_HELD_MAX; i++)
    {
      struct fheld *h = &s->held[i];
      if (h->step == step && h->seen_ms == s->held_checked_ms)
        return h;
      if (h->seen_ms < s->held_checked_ms && !entry)
        entry = h;
    }
  if (entry)
    *entry = (struct fheld){ .step = step, .since_ms = s->now_ms };
  return entry;
}

static void
check_step (struct fsim *s, struct fsched *fs, const struct job *j, int step)
{
  struct fheld *h;

  if (!waits_for_placing (fs, j, step) || !could_start (fs, j, step)
      || !(h = find_entry (s, &j->steps[step])))
    return;
  h->seen_ms = s->now_ms;
  if (s->now_ms - h->since_ms <= j->spec.advice.valid_ms + HELD_SLACK_MS)
    return;
  fsim_violation (s,
                  "HELD %s.%d: a gang with tickets and room waits for "
                  "%lld ms",
                  j->spec.id, step, (long long)(s->now_ms - h->since_ms));
  h->since_ms = s->now_ms;
}

void
fheld_check (struct fsim *s, void *arg)
{
  int i = fsim_leader (s);
  struct fsched *fs = i >= 0 ? s->inst[i]->fleet.fsched : NULL;
  const struct job *j;

  (void)arg;
  if (s->shutting_down)
    return;
  if (fs && fs->conf && fs->may_order
      && fs->n_pending_starts < FSCHED_PENDING_STARTS_MAX)
    TAILQ_FOREACH (j, &fs->queue, link)
      if (!job_state_final (j->state) && !j->set_aside)
        for (size_t k = 0; k < j->spec.n_steps; k++)
          check_step (s, fs, j, (int)k);
  s->held_checked_ms = s->now_ms;
  fsim_schedule (s, HELD_CHECK_MS, fheld_check, NULL);
}
