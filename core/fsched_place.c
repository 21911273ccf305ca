/*
 * Which job goes first, and on which executors its tasks go.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  PASS_GAP_MS = 4,     /* events of this long are placed together */
  PASS_RETRY_MS = 100, /* times pass also without events: pauses, tickets */
  JOBS_A_MS = 40,      /* a pass over so many jobs is worth waiting 1 ms for */
  LOOK_EVERY = 8,      /* jobs between looks whether any room is left */
  ROOM_MIN_MILLICORES = 100, /* less is no room for any task seen */
};

/* Whether the client account of @j may have @n more such tasks running. */
static bool
within_limit (struct fsched *c, const struct job *j, int step, int n)
{
  const struct fconf_tenant *ft
      = c->conf ? fconf_tenant (c->conf, j->spec.tenant) : NULL;
  const struct fsched_tenant *t = fsched_tenant (c, j->spec.tenant);
  const struct job_need *need = &j->spec.steps[step].need;

  if (!ft)
    return true;
#define OVER(f) (ft->limit.f && t->used.f + n * need->f > ft->limit.f)
  return !OVER (millicores) && !OVER (mem_mb) && !OVER (accels);
#undef OVER
}

static bool
permitted (const struct fsched *c, const struct job *j, int step,
           const struct exec *e)
{
  return j->spec.advice.base_ms <= 0 || permit_valid (c, &j->steps[step], e);
}

/* The usable executor on which least room is left over; those near the data
   go before all others. */
static struct exec *
best_fit (struct fsched *c, const struct job *j, int step)
{
  int data_rack = j->steps[step].data_rack;
  struct exec *best = NULL;
  int64_t best_left = 0;

  for (int i = 0; i < c->n_eligible; i++)
    {
      struct exec *e = c->eligible[i];
      int64_t left;
      if (!exec_usable (e, j, step) || !permitted (c, j, step, e)
          || exec_fits (e, j, step, 1) < 1)
        continue;
      left = e->rep.capacity.millicores - e->used.millicores;
      if (data_rack && data_rack != e->rack)
        left += INT32_MAX;
      if (!best || left < best_left)
        {
          best = e;
          best_left = left;
        }
    }
  return best;
}

static bool
place_singles (struct fsched *c, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < s->n_tasks; i++)
    {
      struct jtask *t = &s->tasks[i];
      struct exec *e;
      if (t->done || t->run)
        continue;
      if (!within_limit (c, j, step, 1))
        return true;
      e = best_fit (c, j, step);
      if (!e)
        return false;
      intent_start (
          c, start_new (c, j, step, i, e, t->next_run_id, START_INTENT));
    }
  return true;
}

struct seat
{
  struct exec *e;
  int fits;
};

static int
most_fits_first (const void *va, const void *vb)
{
  const struct seat *a = va;
  const struct seat *b = vb;

  if (a->fits != b->fits)
    return b->fits - a->fits;
  return a->e->index - b->e->index;
}

/* Executors for a whole gang, as few as will do; 0 if there is no room.
   @rack 0: of any rack. */
static size_t
gang_seats (struct fsched *c, const struct job *j, int step, int rack,
            struct seat *seats)
{
  int want = j->steps[step].n_tasks;
  int found = 0;
  size_t n = 0;

  for (int i = 0; i < c->n_eligible; i++)
    {
      struct exec *e = c->eligible[i];
      int fits;
      if ((rack && rack != e->rack) || !exec_usable (e, j, step)
          || !permitted (c, j, step, e))
        continue;
      fits = exec_fits (e, j, step, want);
      if (fits < 1)
        continue;
      seats[n++] = (struct seat){ e, fits };
      found += fits;
    }
  if (found < want)
    return 0;
  qsort (seats, n, sizeof *seats, most_fits_first);
  return n;
}

/* A gang that runs better in one rack gets one, if any rack has room. */
static size_t
choose_seats (struct fsched *c, const struct job *j, int step,
              struct seat *seats)
{
  int data_rack = j->steps[step].data_rack;
  size_t n;

  if (data_rack && (n = gang_seats (c, j, step, data_rack, seats)))
    return n;
  if (j->spec.steps[step].same_rack)
    for (int rack = 1; rack <= c->racks.n; rack++)
      if ((n = gang_seats (c, j, step, rack, seats)))
        return n;
  return gang_seats (c, j, step, 0, seats);
}

static bool
place_gang (struct fsched *c, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];
  struct seat *seats;
  int64_t no = 0;
  size_t n;
  size_t at = 0;

  if (s->n_running > 0)
    return true; /* the rest of an earlier run ends first */
  if (!within_limit (c, j, step, s->n_tasks))
    return true;
  seats = calloc ((size_t)c->n_execs + 1, sizeof *seats);
  if (!seats)
    abort ();
  n = choose_seats (c, j, step, seats);
  for (int i = 0; i < s->n_tasks && n; i++)
    if (s->tasks[i].next_run_id > no)
      no = s->tasks[i].next_run_id;
  /* All members resume from the same checkpoint. */
  for (int i = 1; i < s->n_tasks && n; i++)
    if (s->tasks[0].checkpoint)
      fsched_keep_checkpoint (j, step, i, s->tasks[0].checkpoint);
  for (int i = 0; i < s->n_tasks && n; i++)
    {
      while (seats[at].fits == 0)
        at++;
      seats[at].fits--;
      intent_start (c,
                    start_new (c, j, step, i, seats[at].e, no, START_INTENT));
    }
  free (seats);
  return n > 0;
}

static void
place_job (struct fsched *c, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      bool placed = false;
      bool asks = j->spec.advice.base_ms > 0;
      if (!s->ready || s->n_done + s->n_running >= s->n_tasks)
        continue;
      if (!asks || s->tickets_until_ms > c->now_ms)
        placed = j->spec.steps[i].gang ? place_gang (c, j, (int)i)
                                       : place_singles (c, j, (int)i);
      if (!placed && asks)
        advice_query (c, j, (int)i);
    }
}

/* 0: on time if started now.  1: late.  2: too late to be worth anything, or
   beyond what its client account is owed. */
static int
group_of (const struct fsched *c, const struct job *j)
{
  int64_t objective = j->due_ms - j->arrival_ms;
  int64_t left = j->critical_path_ms;

  if (j->over_share || c->now_ms + left > j->due_ms + 2 * objective)
    return 2;
  return c->now_ms + left > j->due_ms ? 1 : 0;
}

static int
by_urgency (const void *va, const void *vb)
{
  const struct job *a = *(struct job *const *)va;
  const struct job *b = *(struct job *const *)vb;

  if (a->urgency_class != b->urgency_class)
    return a->urgency_class - b->urgency_class;
  if ((a->spec.priority == 0) != (b->spec.priority == 0))
    return a->spec.priority == 0 ? -1 : 1;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
  return strcmp (a->spec.id, b->spec.id);
}

static bool
wants_room (const struct job *j)
{
  if (job_state_final (j->state))
    return false;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      const struct jstep *s = &j->steps[i];
      if (s->ready && s->n_done + s->n_running < s->n_tasks)
        return true;
    }
  return false;
}

static void
open_execs (struct fsched *c)
{
  struct exec *e;

  c->eligible = realloc (c->eligible,
                         (size_t)(c->n_execs + 1) * sizeof (struct exec *));
  if (!c->eligible)
    abort ();
  c->n_eligible = 0;
  TAILQ_FOREACH (e, &c->execs, link)
    {
      e->eligible = exec_eligible (c, e);
      e->reserved = (struct job_need){ 0 };
      if (e->eligible)
        c->eligible[c->n_eligible++] = e;
    }
}

/* Whether an executor has room that is not promised yet. */
static bool
some_room (const struct fsched *c)
{
  for (int i = 0; i < c->n_eligible; i++)
    {
      const struct exec *e = c->eligible[i];
      if (e->rep.capacity.millicores - e->used.millicores
              - e->reserved.millicores
          >= ROOM_MIN_MILLICORES)
        return true;
    }
  return false;
}

void
place_pass (struct fsched *c)
{
  struct job *j;
  int n = 0;

  c->pass_due = false;
  c->stats->passes++;

  if (c->n_jobs > c->ready_jobs_cap)
    {
      c->ready_jobs_cap = c->n_jobs + 64;
      c->ready_jobs = realloc (c->ready_jobs, (size_t)c->ready_jobs_cap
                                                  * sizeof (struct job *));
      if (!c->ready_jobs)
        abort ();
    }
  TAILQ_FOREACH (j, &c->queue, link)
    if (wants_room (j))
      {
        j->urgency_class = group_of (c, j);
        c->ready_jobs[n++] = j;
      }
  c->next_pass_ms = c->now_ms + PASS_GAP_MS;
  c->retry_pass_ms = n ? c->now_ms + PASS_RETRY_MS : 0;
  if (n == 0)
    return;
  c->next_pass_ms += n / JOBS_A_MS;
  open_execs (c);
  c->queries_left = FSCHED_PASS_QUERIES;
  advice_begin_pass (c);
  qsort (c->ready_jobs, (size_t)n, sizeof (struct job *), by_urgency);
  for (int i = 0; i < n; i++)
    {
      if (i % LOOK_EVERY == 0 && !some_room (c))
        break;
      place_job (c, c->ready_jobs[i]);
    }
}
