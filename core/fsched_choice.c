/*
 * Chooses the executors that an advice query names: the fewest with which the
 * step is expected to start.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* A query names executors that are expected to have capacity for this many
     times the waiting tasks. */
  SPARE_FACTOR = 2,
  /* A query about a gang whose permitted executors are known names so many of
     them that they have capacity for one part in this many more. */
  GANG_SPARE_FRACTION = 4,
  /* A query names so many executors that at least this many of them are
     expected to be permitted. */
  SPARE_MIN = 4,
  /* Number of classes that executors are sorted into, by the number of tasks
     that fit.  The last class contains all executors that fit FIT_CLASSES - 1
     or more. */
  FIT_CLASSES = 32,
};

/** struct choice - what a query may name, by what is known of the permits */
struct choice
{
  struct named_exec *expired; /* owned; permitted, but the ticket expires */
  size_t n_expired;
  struct named_exec *unknown; /* owned */
  size_t n_unknown;
  int permitted_fits; /* number of tasks that permitted executors can take */
  int ticket_fits;    /* of these, on those whose tickets stay valid */
  /* Number of tasks that executors can take which outstanding queries name: of
     permitted ones, and the expected number of others. */
  int renewed_fits;
  double expected_fits;
};

/* Returns the class of a candidate, see FIT_CLASSES. */
static int
fit_class (const struct named_exec *cand)
{
  return cand->fits < FIT_CLASSES ? cand->fits : FIT_CLASSES - 1;
}

/* Sorts candidates by class, most capacity first; the sort is stable. */
static void
sort_by_capacity (struct named_exec *to, const struct named_exec *from,
                  size_t n)
{
  size_t begin[FIT_CLASSES + 1] = { 0 };

  for (size_t i = 0; i < n; i++)
    begin[fit_class (&from[i])]++;
  for (size_t sum = 0, k = FIT_CLASSES; k-- > 0;)
    {
      size_t count = begin[k];
      begin[k] = sum;
      sum += count;
    }
  for (size_t i = 0; i < n; i++)
    to[begin[fit_class (&from[i])]++] = from[i];
}

double
choice_duration_ms (const struct job *j, double n_execs)
{
  return j->spec.advice.base_ms + j->spec.advice.per_exec_ms * n_execs;
}

/*
 * Returns the time at which a ticket must still be valid to be of use after
 * the answer to a query that is sent now.  The members of a gang need valid
 * tickets at the same time, so a ticket that expires before the answer to the
 * longest query is no use to a gang.
 */
static int64_t
ticket_needed_until_ms (const struct fsched *fs, const struct job *j, int step)
{
  if (!j->spec.steps[step].gang)
    return fs->now_ms;
  return fs->now_ms + ADVICE_QUEUED_MAX_MS
         + (int64_t)(choice_duration_ms (j, ORDER_ADVICE_EXECS_MAX)
                     * j->queue_stats->advice_pace.factor);
}

/* Sorts the @n candidates at @list, see sort_by_capacity(). */
static void
sort_candidates (struct named_exec *list, size_t n)
{
  struct named_exec *copy = fsched_zalloc (n, sizeof *copy);

  memcpy (copy, list, n * sizeof *copy);
  sort_by_capacity (list, copy, n);
  free (copy);
}

/* Returns the eligible executor that comes first among equal ones for a job.
   It differs by job, so that queries which are sent together do not name the
   same executors. */
static int
first_executor (const struct fsched *fs, const struct job *j)
{
  uint32_t hash = 0;

  for (const char *c = j->spec.id; *c; c++)
    hash = 31 * hash + (unsigned char)*c;
  return fs->n_eligible ? (int)(hash % (uint32_t)fs->n_eligible) : 0;
}

/* Returns whether the step is denied the executor. */
static bool
is_denied (const struct jstep *s, const struct exec *e)
{
  return e->index < s->n_permits
         && s->permits[e->index].state == PERMIT_DENIED;
}

/* Collects what a query about a step may name, in no order.
   @view: enum room_view */
static void
collect_choice (struct fsched *fs, struct job *j, int step, int view,
                struct choice *c)
{
  struct jstep *s = &j->steps[step];
  int64_t until_ms = ticket_needed_until_ms (fs, j, step);
  double share = j->queue_stats->permitted_share;
  size_t size = sizeof *c->expired;
  int first = first_executor (fs, j);

  c->expired = fsched_zalloc ((size_t)fs->n_eligible + 1, size);
  c->unknown = fsched_zalloc ((size_t)fs->n_eligible + 1, size);
  for (int i = 0, k = first; i < fs->n_eligible; i++)
    {
      struct exec *e = fs->eligible[k];
      struct permit *p;
      int fits;
      k = k + 1 < fs->n_eligible ? k + 1 : 0;
      if (is_denied (s, e) || !exec_usable (e, j, step))
        continue;
      p = permit_get (s, e);
      if (p->state == PERMIT_ALLOWED && p->boot_start_ms != e->boot_start_ms)
        p->state = PERMIT_UNKNOWN;
      fits = room_fits (e, j, step, view);
      if (p->state == PERMIT_UNKNOWN)
        c->unknown[c->n_unknown++] = (struct named_exec){ e, fits };
      else if (p->state == PERMIT_QUERIED)
        c->expected_fits += p->asked ? share * fits : 0;
      else
        {
          c->permitted_fits += fits;
          if (p->asked)
            c->renewed_fits += fits;
          else if (permit_valid (fs, s, e) && p->valid_until_ms >= until_ms)
            c->ticket_fits += fits;
          else if (fits > 0)
            c->expired[c->n_expired++] = (struct named_exec){ e, fits };
        }
    }
}

/* Sorts what a query may name, those with the most capacity first. */
static void
sort_choice (struct choice *c)
{
  sort_candidates (c->expired, c->n_expired);
  sort_candidates (c->unknown, c->n_unknown);
}

static void
clear_choice (struct choice *c)
{
  free (c->expired);
  free (c->unknown);
}

/* Returns whether the step is expected to start on what a query may name. */
static bool
has_room (const struct choice *c, double share, int n_needed)
{
  double n = c->permitted_fits + c->expected_fits;

  for (size_t i = 0; i < c->n_unknown && n < n_needed; i++)
    n += share * c->unknown[i].fits;
  return n >= n_needed;
}

/*
 * Collects what a query about a step may name, as collect_choice() does.  Room
 * that is reserved for other steps is left to them, but not for longer than
 * room_held_max_ms(): a gang that does not fit yet may hold it for as long as
 * other tasks run.
 */
static void
collect_within_bound (struct fsched *fs, struct job *j, int step,
                      struct choice *c)
{
  struct jstep *s = &j->steps[step];
  double share = j->queue_stats->permitted_share;
  int n_needed = j->spec.steps[step].gang ? step_waiting (s) : 1;
  struct choice all = { 0 };

  collect_choice (fs, j, step, ROOM_UNRESERVED, c);
  if (s->n_queries == 0 || has_room (c, share, n_needed))
    {
      s->held_back_ms = 0;
      return;
    }
  collect_choice (fs, j, step, ROOM_ALL, &all);
  if (!has_room (&all, share, n_needed))
    s->held_back_ms = 0;
  else if (!s->held_back_ms)
    s->held_back_ms = fs->now_ms;
  else if (fs->now_ms - s->held_back_ms >= room_held_max_ms (fs, j))
    {
      clear_choice (c);
      *c = all;
      return;
    }
  clear_choice (&all);
}

static void
add_named (struct named_execs *out, const struct named_exec *cand)
{
  out->list[out->n++] = *cand;
  out->fits += cand->fits;
}

/* Adds to @out permitted executors until they can take @n_tasks tasks. */
static void
add_expired (const struct choice *c, struct named_execs *out, int n_tasks)
{
  for (size_t i = 0; i < c->n_expired && out->n < ORDER_ADVICE_EXECS_MAX
                     && out->n_sure < n_tasks;
       i++)
    {
      add_named (out, &c->expired[i]);
      out->n_sure += c->expired[i].fits;
    }
}

/*
 * Adds to @out executors whose permit is unknown until the permitted ones
 * among them are expected to take @n_tasks tasks.  @share: fraction that is
 * expected to be permitted.  Returns the number of tasks that they are
 * expected to take.
 */
static double
add_unknown (const struct choice *c, double share, struct named_execs *out,
             double n_tasks)
{
  double n_expected = 0;

  for (size_t i = 0; i < c->n_unknown && out->n < ORDER_ADVICE_EXECS_MAX
                     && (n_expected < n_tasks || i < SPARE_MIN / share);
       i++)
    {
      add_named (out, &c->unknown[i]);
      n_expected
          += share * (c->unknown[i].fits > 0 ? c->unknown[i].fits : 0.5);
    }
  return n_expected;
}

/*
 * Fills @out for a query about a gang, all of whose members need valid tickets
 * at the same time.  Each of the @n_answers that did not let it start adds to
 * the executors that the next query names, as a query takes much longer than
 * its names; 0 while the service has no time to spare.
 */
static void
choose_gang_execs (const struct choice *c, double share, int n_waiting,
                   int n_answers, struct named_execs *out)
{
  int n_wanted = n_waiting + n_waiting / GANG_SPARE_FRACTION;
  double n_lacking = (double)SPARE_FACTOR * (n_answers + 1) * n_waiting
                     - c->permitted_fits - c->expected_fits;

  if (c->permitted_fits >= n_waiting)
    {
      add_expired (c, out, n_wanted - c->ticket_fits - c->renewed_fits);
      return;
    }
  /* A gang starts only when all members fit.  Tickets that the gang got sooner
     would expire unused. */
  if (c->n_unknown == 0 || n_lacking <= 0)
    return;
  if (c->expected_fits == 0)
    {
      add_expired (c, out, n_wanted);
      if (add_unknown (c, share, out, n_lacking) + c->permitted_fits
          >= n_waiting)
        return;
      *out = (struct named_execs){ .n = 0 };
    }
  add_unknown (c, share, out, n_lacking);
}

void
choice_execs (struct fsched *fs, struct job *j, int step, int n_waiting,
              struct named_execs *out)
{
  struct jstep *s = &j->steps[step];
  double share = j->queue_stats->permitted_share;
  struct choice c = { 0 };

  collect_within_bound (fs, j, step, &c);
  sort_choice (&c);
  if (j->spec.steps[step].gang)
    choose_gang_execs (&c, share, n_waiting,
                       lanes_are_limited (fs) ? 0 : s->n_queries, out);
  else
    {
      add_expired (&c, out, SPARE_FACTOR * n_waiting);
      if (c.permitted_fits < n_waiting)
        add_unknown (&c, share, out,
                     SPARE_FACTOR * (n_waiting - c.permitted_fits));
    }
  s->start_expected
      = c.ticket_fits + c.renewed_fits + out->n_sure >= n_waiting;
  /* One query cannot name all executors that the gang needs. */
  s->needs_more_names
      = j->spec.steps[step].gang && out->n == ORDER_ADVICE_EXECS_MAX
        && (c.permitted_fits >= n_waiting
                ? !s->start_expected
                : c.permitted_fits + c.expected_fits + share * out->fits
                      < n_waiting);
  clear_choice (&c);
}

double
choice_first_query_ms (const struct fsched *fs, const struct job *j, int step)
{
  const struct job_need *need = &j->spec.steps[step].need;
  double fits = j->steps[step].n_tasks;
  double n;

  if (need->millicores > 0
      && (double)fs->capacity.millicores / (double)need->millicores
             < fits * fs->n_eligible)
    fits = (double)fs->capacity.millicores
           / ((double)need->millicores * fs->n_eligible);
  if (fits < 1)
    fits = 1;
  n = SPARE_FACTOR * j->steps[step].n_tasks / fits;
  if (n < SPARE_MIN)
    n = SPARE_MIN;
  n /= j->queue_stats->permitted_share;
  if (n > fs->n_eligible)
    n = fs->n_eligible;
  return choice_duration_ms (
      j, n < ORDER_ADVICE_EXECS_MAX ? n : ORDER_ADVICE_EXECS_MAX);
}
