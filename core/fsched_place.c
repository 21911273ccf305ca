/*
 * Placing passes.  A pass orders the waiting jobs by urgency and chooses
 * executors for their tasks.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Shortest interval between passes, so that one pass handles all events in
     between. */
  PASS_GAP_MS = 4,
  /* Interval between passes while tasks wait and no event occurs: the end of a
     pause or of a ticket's lifetime is not an event. */
  PASS_RETRY_MS = 100,
  /* The interval between passes is longer by 1 ms for each this many waiting
     jobs, to limit the cost of passes over many jobs. */
  PASS_JOBS_PER_MS = 40,
  /* Jobs that are not URGENCY_ON_TIME take part in a pass only after 1 ms for
     each this many of them: there may be thousands, which cost more than the
     other work. */
  PASS_OTHER_JOBS_PER_MS = 10,
  /* Longest interval between passes over all jobs: the answers to their
     queries must not wait for long. */
  WHOLE_PASS_GAP_MAX_MS = 100,
  /* Longest time from a pass to the next one that considers the same job: one
     that is due is up to PASS_RETRY_MS late. */
  PASS_GAP_MAX_MS = WHOLE_PASS_GAP_MAX_MS + PASS_RETRY_MS,
  /* Number of jobs placed between checks of whether any executor has capacity
     left. */
  CAPACITY_CHECK_JOBS = 8,
  /* Free CPU below which an executor counts as full.  No task seen so far
     needs less. */
  FREE_MIN_MILLICORES = 100,
  /* One part in this many of all CPU may be reserved for gangs that do not fit
     yet.  What is reserved stays idle until such a gang starts. */
  GANG_RESERVE_FRACTION = 4,
};

/* Added to unfitness(), larger than any executor's millicores. */
#define OTHER_RACK INT64_C (0x100000000)     /* not the rack of the data */
#define CRASHED_BEFORE INT64_C (0x200000000) /* crashed under the step */

/* Returns whether the step needs no advice, or has a valid permit for the
   executor. */
static bool
permitted (const struct fsched *fs, const struct job *j, int step,
           const struct exec *e)
{
  return j->spec.advice.base_ms <= 0 || permit_valid (fs, &j->steps[step], e);
}

/* Returns how well an executor suits a task of the step; the executor with the
   lowest value is chosen. */
static int64_t
unfitness (const struct job *j, int step, const struct exec *e)
{
  const struct jstep *s = &j->steps[step];
  int64_t value = ABLATED (BEST_FIT)
                      ? e->index
                      : e->rep.capacity.millicores - e->used.millicores;

  if (s->data_rack_id && s->data_rack_id != e->rack_id)
    value += OTHER_RACK;
  if (crash_happened_on (s, e))
    value += CRASHED_BEFORE;
  return value;
}

/*
 * Returns the usable executor with the least free CPU that has capacity for a
 * task of the step, or NULL.  Executors in the rack of the step's data are
 * preferred to all others.  An executor that has crashed under the step is
 * taken last: if the executor is the cause, the task has to run elsewhere.
 */
static struct exec *
best_fit (struct fsched *fs, const struct job *j, int step, int view)
{
  struct exec *best = NULL;
  int64_t best_value = 0;

  for (int i = 0; i < fs->n_eligible; i++)
    {
      struct exec *e = fs->eligible[i];
      int64_t value;
      if (!exec_usable (e, j, step) || !permitted (fs, j, step, e)
          || room_count (e, j, step, 1, view) < 1)
        continue;
      value = unfitness (j, step, e);
      if (!best || value < best_value)
        {
          best = e;
          best_value = value;
        }
    }
  return best;
}

/* Places the tasks of a step that is not a gang.  Returns false if no executor
   can take one of the tasks, and true otherwise, also if tasks are left
   because the client account has reached its limit. */
static bool
place_single_tasks (struct fsched *fs, struct job *j, int step, int view)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < s->n_tasks; i++)
    {
      struct jtask *t = &s->tasks[i];
      struct exec *e;
      if (t->done || t->run)
        continue;
      if (!account_has_room (fs, j, step, 1))
        return true;
      e = best_fit (fs, j, step, view);
      if (!e)
        return false;
      room_pass_over (e, j, step);
      intent_add (fs,
                  start_new (fs, j, step, i, e, t->next_run_id, START_INTENT));
    }
  return true;
}

/** struct candidate - an executor that has capacity for members of a gang */
struct candidate
{
  struct exec *e;
  int fits; /* number of members that the executor has capacity for */
  bool crashed_before; /* the executor has crashed under the step */
};

/* Compares candidates for qsort(): most capacity first, those that have
   crashed under the step last. */
static int
compare_fits (const void *va, const void *vb)
{
  const struct candidate *a = va;
  const struct candidate *b = vb;

  if (a->crashed_before != b->crashed_before)
    return a->crashed_before - b->crashed_before;
  if (a->fits != b->fits)
    return b->fits - a->fits;
  return a->e->index - b->e->index;
}

/*
 * Fills @candidates with the executors of a rack that can take members of a
 * gang, those with the most capacity first.  @rack_id 0 means any rack.
 * Returns the number of executors, or 0 if they lack the capacity for the
 * whole gang.
 */
static size_t
gang_candidates (struct fsched *fs, const struct job *j, int step, int rack_id,
                 int view, struct candidate *candidates)
{
  int n_members = j->steps[step].n_tasks;
  int n_fit = 0;
  size_t n = 0;

  for (int i = 0; i < fs->n_eligible; i++)
    {
      struct exec *e = fs->eligible[i];
      int fits;
      if ((rack_id && rack_id != e->rack_id) || !exec_usable (e, j, step)
          || !permitted (fs, j, step, e))
        continue;
      fits = room_count (e, j, step, n_members, view);
      if (fits < 1)
        continue;
      candidates[n++]
          = (struct candidate){ e, fits,
                                crash_happened_on (&j->steps[step], e) };
      n_fit += fits;
    }
  if (n_fit < n_members)
    return 0;
  qsort (candidates, n, sizeof *candidates, compare_fits);
  return n;
}

/* Counts the members of a gang that the executors of each rack have capacity
   for, in @fits, which the caller frees; the index is the id of the rack. */
static int *
count_rack_fits (struct fsched *fs, const struct job *j, int step, int view)
{
  int n_members = j->steps[step].n_tasks;
  int *fits = fsched_zalloc ((size_t)fs->racks.n + 1, sizeof *fits);

  for (int i = 0; i < fs->n_eligible; i++)
    {
      const struct exec *e = fs->eligible[i];
      if (fits[e->rack_id] < n_members && exec_usable (e, j, step)
          && permitted (fs, j, step, e))
        fits[e->rack_id] += room_count (e, j, step, n_members, view);
    }
  return fits;
}

/* Chooses the rack of a gang and fills @candidates as gang_candidates() does:
   the rack of the step's data if possible, else any single rack if the step
   prefers one, else all racks.  Returns the number of candidates, 0 if the
   gang fits nowhere. */
static size_t
choose_candidates (struct fsched *fs, const struct job *j, int step, int view,
                   struct candidate *candidates)
{
  int data_rack_id = j->steps[step].data_rack_id;
  clb_auto int *fits = NULL;
  size_t n;

  if (data_rack_id
      && (n = gang_candidates (fs, j, step, data_rack_id, view, candidates)))
    return n;
  if (j->spec.steps[step].same_rack)
    {
      fits = count_rack_fits (fs, j, step, view);
      for (int rack_id = 1; rack_id <= fs->racks.n; rack_id++)
        if (fits[rack_id] >= j->steps[step].n_tasks)
          return gang_candidates (fs, j, step, rack_id, view, candidates);
    }
  return gang_candidates (fs, j, step, 0, view, candidates);
}

/* Places all members of a gang or none.  Returns false if there is no capacity
   for all of them, and true otherwise, also if none is placed because an
   earlier run has not ended or the client account has reached its limit. */
static bool
place_gang (struct fsched *fs, struct job *j, int step, int view)
{
  struct jstep *s = &j->steps[step];
  struct candidate *candidates;
  int64_t run_id = 0;
  size_t n;
  size_t next = 0;

  if (s->n_running > 0)
    return true; /* all members of the earlier run must end first */
  if (!account_has_room (fs, j, step, s->n_tasks))
    return true;
  candidates = calloc ((size_t)fs->n_execs + 1, sizeof *candidates);
  if (!candidates)
    abort ();
  n = choose_candidates (fs, j, step, view, candidates);
  for (int i = 0; i < s->n_tasks && n; i++)
    if (s->tasks[i].next_run_id > run_id)
      run_id = s->tasks[i].next_run_id;
  for (int i = 0; i < s->n_tasks && n; i++)
    {
      while (candidates[next].fits == 0)
        next++;
      candidates[next].fits--;
      room_pass_over (candidates[next].e, j, step);
      intent_add (fs, start_new (fs, j, step, i, candidates[next].e, run_id,
                                 START_INTENT));
    }
  free (candidates);
  return n > 0;
}

static bool
place_in_view (struct fsched *fs, struct job *j, int step, int view)
{
  return j->spec.steps[step].gang ? place_gang (fs, j, step, view)
                                  : place_single_tasks (fs, j, step, view);
}

/* Returns whether a step's tasks, all of a gang or one otherwise, fit in a
   view on executors that they may start on for @for_ms at least. */
static bool
step_fits (struct fsched *fs, const struct job *j, int step, int view,
           int64_t for_ms)
{
  const struct jstep *s = &j->steps[step];
  bool advice = j->spec.advice.base_ms > 0;
  int n_left = j->spec.steps[step].gang ? s->n_tasks : 1;

  for (int i = 0; i < fs->n_eligible && n_left > 0; i++)
    {
      const struct exec *e = fs->eligible[i];
      if (exec_usable (e, j, step)
          && (!advice || permit_valid_for (fs, s, e, for_ms)))
        n_left -= room_count (e, j, step, n_left, view);
    }
  return n_left <= 0;
}

/* Returns for how long a ticket must still be valid so that the start may wait
   for the next pass that considers the step, in ms. */
static int64_t
wait_needs_ms (const struct fsched *fs)
{
  int64_t gap_ms = fs->whole_pass_gap_ms > PASS_GAP_MAX_MS
                       ? fs->whole_pass_gap_ms
                       : PASS_GAP_MAX_MS;

  return FSCHED_TICKET_MARGIN_MS + gap_ms;
}

/* Returns whether room that is reserved for more urgent steps still keeps a
   step from starting, or it does not fit anyway. */
static bool
is_held_back (struct fsched *fs, const struct job *j, int step, int view)
{
  struct jstep *s = &j->steps[step];

  if (!step_fits (fs, j, step, view, FSCHED_TICKET_MARGIN_MS))
    return true;
  if (!s->held_back_ms)
    s->held_back_ms = fs->now_ms;
  return fs->now_ms - s->held_back_ms < room_held_max_ms (fs, j)
         && step_fits (fs, j, step, view, wait_needs_ms (fs));
}

/*
 * Places the tasks of a step that needs no advice or has tickets.  Room that
 * is reserved for a step of the same rank is not kept from it: otherwise steps
 * that each hold room for their next answer could keep each other waiting.
 * Room that is reserved for more urgent steps is, for a limited time and not
 * beyond its tickets; that for the answers to queries only from a gang, as the
 * room for all members is rarely free of reservations at once.  Returns as
 * place_gang() does.
 */
static bool
place_step (struct fsched *fs, struct job *j, int step)
{
  int view = j->spec.steps[step].gang ? ROOM_ALL : ROOM_OF_GANGS;

  return place_in_view (fs, j, step, ROOM_UNRESERVED)
         || place_in_view (fs, j, step, ROOM_OF_RANK)
         || (!is_held_back (fs, j, step, view)
             && place_in_view (fs, j, step, view));
}

/* Places the tasks of a job's ready steps. */
static void
place_job (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      bool placed = false;
      bool needs_advice = j->spec.advice.base_ms > 0;
      s->query_due = s->room_reserved = false;
      if (!s->ready || s->n_done + s->n_running >= s->n_tasks)
        continue;
      if (!needs_advice || s->tickets_until_ms > fs->now_ms)
        placed = place_step (fs, j, (int)i);
      if (!placed && s->answer_new)
        why_answer_unused (fs, j, (int)i);
      s->answer_new = false;
      s->query_due
          = !placed && needs_advice && account_may_start (fs, j, (int)i);
      if (s->query_due)
        room_reserve_gang (fs, j, (int)i);
    }
}

/* Notes the ready steps of a job that lack tickets, in place of place_job()
   while enough starts are pending. */
static void
note_missing_tickets (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      struct jstep *s = &j->steps[i];
      s->room_reserved = false;
      s->query_due = s->ready && s->n_done + s->n_running < s->n_tasks
                     && j->spec.advice.base_ms > 0
                     && s->tickets_until_ms <= fs->now_ms
                     && account_may_start (fs, j, (int)i);
    }
}

/* Sends the advice queries that a job's steps need. */
static void
query_job (struct fsched *fs, struct job *j)
{
  for (size_t i = 0; i < j->spec.n_steps; i++)
    if (j->steps[i].query_due)
      advice_query (fs, j, (int)i);
}

/* Returns whether a job has tasks in ready steps that are neither done nor
   placed. */
static bool
has_unplaced_tasks (const struct job *j)
{
  if (job_state_final (j->state) || j->set_aside)
    return false;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      const struct jstep *s = &j->steps[i];
      if (s->ready && s->n_done + s->n_running < s->n_tasks)
        return true;
    }
  return false;
}

/* Collects the executors that may be given tasks in this pass, and clears the
   reservations of the last pass. */
static void
collect_eligible (struct fsched *fs)
{
  struct exec *e;

  fs->eligible = realloc (fs->eligible,
                          (size_t)(fs->n_execs + 1) * sizeof (struct exec *));
  if (!fs->eligible)
    abort ();
  fs->n_eligible = 0;
  fs->gang_reserve_millicores = 0;
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      e->eligible = exec_eligible (fs, e);
      e->reserved = (struct job_need){ 0 };
      e->reserved_gangs = e->reserved_firm = (struct job_need){ 0 };
      e->firm_arrival_ms = 0;
      e->holder = NULL;
      if (!e->eligible)
        continue;
      fs->eligible[fs->n_eligible++] = e;
      fs->gang_reserve_millicores
          += e->rep.capacity.millicores / GANG_RESERVE_FRACTION;
    }
}

/* Returns whether any executor has FREE_MIN_MILLICORES of CPU that no start
   uses. */
static bool
has_free_capacity (const struct fsched *fs)
{
  for (int i = 0; i < fs->n_eligible; i++)
    {
      const struct exec *e = fs->eligible[i];
      if (e->rep.capacity.millicores - e->used.millicores
          >= FREE_MIN_MILLICORES)
        return true;
    }
  return false;
}

/* Makes room for all jobs in fsched::ready_jobs. */
static void
grow_ready_jobs (struct fsched *fs)
{
  if (fs->n_jobs <= fs->ready_jobs_cap)
    return;
  fs->ready_jobs_cap = fs->n_jobs + 64;
  fs->ready_jobs = realloc (fs->ready_jobs, (size_t)fs->ready_jobs_cap
                                                * sizeof (struct job *));
  if (!fs->ready_jobs)
    abort ();
}

/* Returns whether a job takes part in passes that are not over all jobs. */
static bool
goes_first (const struct job *j)
{
  return j->urgency.class == URGENCY_ON_TIME;
}

/* Fills fsched::ready_jobs with the jobs that take part in a pass.  Returns
   their number.  @whole: whether the pass is over the jobs of all classes */
static int
collect_ready_jobs (struct fsched *fs, bool whole)
{
  struct job *j;
  int n = 0;

  grow_ready_jobs (fs);
  TAILQ_FOREACH (j, &fs->queue, link)
    if (has_unplaced_tasks (j) && (whole || goes_first (j)))
      {
        urgency_update (fs, j);
        fs->ready_jobs[n++] = j;
      }
  return n;
}

/* Sorts the jobs of a pass, the most urgent first.  Jobs that exceed the share
   of their client account change their class. */
static void
sort_ready_jobs (struct fsched *fs, int n)
{
  size_t size = sizeof (struct job *);
  bool changed = false;

  if (n == 0)
    return;
  qsort (fs->ready_jobs, (size_t)n, size, urgency_compare);
  share_begin_pass (fs, fs->ready_jobs, n);
  for (int i = 0; i < n && goes_first (fs->ready_jobs[i]); i++)
    if (!share_take (fs, fs->ready_jobs[i]))
      {
        fs->ready_jobs[i]->urgency.class = URGENCY_OVER_SHARE;
        changed = true;
      }
  if (changed)
    qsort (fs->ready_jobs, (size_t)n, size, urgency_compare);
}

/* Counts the jobs of a pass over all jobs by their class, and sets the time of
   the next such pass. */
static void
count_ready_jobs (struct fsched *fs, int n)
{
  memset (fs->n_ready, 0, sizeof fs->n_ready);
  for (int i = 0; i < n; i++)
    fs->n_ready[fs->ready_jobs[i]->urgency.class]++;
  fs->next_whole_pass_ms
      = fs->now_ms
        + (n - fs->n_ready[URGENCY_ON_TIME]) / PASS_OTHER_JOBS_PER_MS;
  if (fs->next_whole_pass_ms > fs->now_ms + WHOLE_PASS_GAP_MAX_MS)
    fs->next_whole_pass_ms = fs->now_ms + WHOLE_PASS_GAP_MAX_MS;
}

/* Returns whether two jobs are of the same rank.  Room that the outstanding
   query about a job is expected to need is kept from jobs of lower ranks, and
   is not named in queries about others of its own. */
static bool
same_rank (const struct job *a, const struct job *b)
{
  return a->urgency.class == b->urgency.class
         && (a->spec.priority == 0) == (b->spec.priority == 0);
}

/* Places the tasks of the jobs of one rank, the first of which has the number
   @begin of @n, until there is no capacity left.  Returns the number of the
   next job. */
static int
place_rank (struct fsched *fs, int begin, int n)
{
  const struct job *first = fs->ready_jobs[begin];
  int i;

  for (int k = 0; k < fs->n_eligible; k++)
    {
      struct exec *e = fs->eligible[k];
      e->reserved_above = e->reserved;
      e->firm_above = e->reserved_firm;
    }
  for (i = begin; i < n && same_rank (first, fs->ready_jobs[i]); i++)
    {
      if (i % CAPACITY_CHECK_JOBS == 0 && !has_free_capacity (fs))
        break;
      if (fs->n_pending_starts < FSCHED_PENDING_STARTS_MAX)
        place_job (fs, fs->ready_jobs[i]);
      else
        note_missing_tickets (fs, fs->ready_jobs[i]);
    }
  return i;
}

/* Places the tasks of the first @n jobs of the pass and sends queries for
   those that lack tickets.  Jobs of one rank that have tickets are placed
   before room is reserved for the answers to queries, which take seconds. */
static void
place_and_query (struct fsched *fs, int n)
{
  int end;

  for (int begin = 0; begin < n; begin = end)
    {
      end = place_rank (fs, begin, n);
      for (int i = begin; i < end; i++)
        for (size_t k = 0; k < fs->ready_jobs[i]->spec.n_steps; k++)
          if (fs->ready_jobs[i]->steps[k].n_asking > 0
              && account_may_start (fs, fs->ready_jobs[i], (int)k))
            room_keep (fs, fs->ready_jobs[i], (int)k);
      for (int i = begin; i < end; i++)
        query_job (fs, fs->ready_jobs[i]);
      if (end < n && same_rank (fs->ready_jobs[begin], fs->ready_jobs[end]))
        n = end;
    }
}

/* Returns how many advice queries the pass may send. */
static int
max_queries (const struct fsched *fs, bool whole)
{
  int64_t n = FSCHED_PASS_QUERIES;

  if (whole)
    n *= (fs->now_ms - fs->last_whole_pass_ms) / FSCHED_PASS_SHARE_MS;
  if (n < FSCHED_PASS_QUERIES)
    return FSCHED_PASS_QUERIES;
  return n < FSCHED_PASS_QUERIES_MAX ? (int)n : FSCHED_PASS_QUERIES_MAX;
}

void
place_pass (struct fsched *fs)
{
  bool whole = fs->now_ms >= fs->next_whole_pass_ms;
  int n;

  fs->pass_due = false;
  /* The limits of the client accounts are not known; fsched_set_conf() makes
     the next pass due. */
  if (!fs->conf)
    return;
  fs->stats->passes++;
  n = collect_ready_jobs (fs, whole);
  fs->stats->jobs_considered += (uint64_t)n;
  fs->next_pass_ms = fs->now_ms + PASS_GAP_MS + n / PASS_JOBS_PER_MS;
  fs->retry_pass_ms = n || !whole ? fs->now_ms + PASS_RETRY_MS : 0;
  collect_eligible (fs);
  sort_ready_jobs (fs, n);
  if (whole)
    count_ready_jobs (fs, n);
  if (n == 0)
    return;
  fs->queries_left = max_queries (fs, whole);
  if (whole)
    {
      fs->whole_pass_gap_ms = fs->now_ms - fs->last_whole_pass_ms;
      fs->last_whole_pass_ms = fs->now_ms;
    }
  advice_find_free (fs);
  place_and_query (fs, n);
}
