/*
 * Log lines that tell why a step waits: what the scheduler knows of its
 * executors, permits and queries.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const wait_cause_names[]
    = { "set-aside",       "account-limit",  "gang-ending", "no-executor",
        "query-sent",      "query-pause",    "no-permit",   "no-room",
        "no-adviser",      "reserved",       "turn",        "run-ending",
        "run-unconfirmed", "run-unrecorded", "unknown",     NULL };

const char *const unused_cause_names[]
    = { "permits", "tickets", "reserved", "other", NULL };

enum
{
  /* Size of the text that says for which step room is reserved. */
  RESERVED_TEXT_MAX = 100,
};

static const char *const hold_names[] = { "none", "query", "answer", "gang" };

/* Returns the id of the job that room is reserved for; empty: there is
   none. */
static const char *
holder_job (const struct jstep *holder)
{
  return holder ? holder->job->spec.id : "";
}

/* Returns for how long room has been reserved for a step, in ms; -1 if there
   is none. */
static int64_t
held_ms (const struct fsched *fs, const struct jstep *holder)
{
  return holder ? fs->now_ms - holder->held_since_ms : -1;
}

/** struct exec_counts - executors of a step's service and label, by what is
 * known of their permits */
struct exec_counts
{
  int n_usable;  /* eligible executors */
  int n_allowed; /* of these: permitted, or no advice is needed */
  int n_denied;
  int n_unknown;
  int n_askable; /* unknown, with capacity for a task */
  int n_tickets; /* permitted, with a ticket that is valid */
  int n_aside;   /* permitted, but not eligible */
  /* Number of tasks that the permitted eligible executors have capacity for,
     and the same without what is reserved for other jobs. */
  int n_fit_free;
  int n_fit;
  /* The step that room is reserved for on the first of them whose room is not
     free; NULL: none is. */
  const struct jstep *holder;
};

static const struct job_need nothing;

/* Adds an eligible executor that may run the step to the counts. */
static void
count_allowed (const struct fsched *fs, const struct job *j, int step,
               const struct exec *e, bool advice, struct exec_counts *c)
{
  const struct jstep *s = &j->steps[step];
  int n_free = room_fits (e, j, step, ROOM_UNRESERVED);
  int n = exec_fit_beside (e, j, step, s->n_tasks, &nothing);

  c->n_allowed++;
  c->n_tickets += advice && permit_valid (fs, s, e);
  c->n_fit_free += n_free;
  c->n_fit += n;
  if (!c->holder && n_free < n)
    c->holder = e->holder;
}

static struct exec_counts
count_execs (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  bool advice = j->spec.advice.base_ms > 0;
  struct exec_counts c = { 0 };
  const struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    {
      int state = advice ? PERMIT_UNKNOWN : PERMIT_ALLOWED;
      if (advice && e->index < s->n_permits)
        state = s->permits[e->index].state;
      if (!exec_usable (e, j, step))
        {
          c.n_aside += advice && state == PERMIT_ALLOWED;
          continue;
        }
      c.n_usable++;
      c.n_denied += state == PERMIT_DENIED;
      c.n_unknown += state == PERMIT_UNKNOWN;
      c.n_askable
          += state == PERMIT_UNKNOWN && exec_fit_count (e, j, step, 1) > 0;
      if (state == PERMIT_ALLOWED)
        count_allowed (fs, j, step, e, advice, &c);
    }
  return c;
}

/* Returns the number of tasks that must fit before any of the step starts. */
static int
tasks_needed (const struct job *j, int step)
{
  return j->spec.steps[step].gang ? j->steps[step].n_tasks : 1;
}

/* Returns why a step waits that needs a permit. */
static enum wait_cause
find_cause_advice (const struct fsched *fs, const struct job *j, int step,
                   const struct exec_counts *c)
{
  const struct jstep *s = &j->steps[step];

  if (s->n_asking > 0)
    return CAUSE_QUERY_SENT;
  if (c->n_allowed + c->n_unknown == 0)
    return CAUSE_NO_PERMIT;
  if (c->n_askable == 0 && c->n_fit < tasks_needed (j, step))
    return CAUSE_NO_ROOM;
  if (fs->now_ms < s->next_query_ms)
    return CAUSE_QUERY_PAUSE;
  if (c->n_askable == 0 && c->n_fit_free < tasks_needed (j, step))
    return CAUSE_RESERVED;
  return adviser_is_free (fs, j) ? CAUSE_TURN : CAUSE_NO_ADVISER;
}

int64_t
why_held_ms (const struct fsched *fs, const struct start *r)
{
  switch (r->state)
    {
    case START_ACKED:
      return -1;
    case START_STOPPING:
      return fs->now_ms - r->stopping_ms;
    case START_UNCONFIRMED:
      return fs->now_ms - r->answer_lost_ms;
    default:
      return fs->now_ms - r->sent_ms;
    }
}

/* Returns whether @a rather than @b keeps a step waiting. */
static bool
holds_more (const struct fsched *fs, const struct start *a,
            const struct start *b)
{
  bool a_stops = a->state == START_STOPPING;

  if (a_stops != (b->state == START_STOPPING))
    return a_stops;
  return why_held_ms (fs, a) > why_held_ms (fs, b);
}

const struct start *
why_holder (const struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  const struct start *holder = NULL;

  for (int i = 0; i < s->n_tasks && s->n_running; i++)
    {
      const struct jtask *t = &s->tasks[i];
      if (t->run && !t->done && (!holder || holds_more (fs, t->run, holder)))
        holder = t->run;
    }
  return holder;
}

/* Returns why a step waits of which all tasks that are left have runs. */
static enum wait_cause
find_cause_run (const struct fsched *fs, const struct job *j, int step)
{
  const struct start *r = why_holder (fs, j, step);

  if (r && r->state == START_INTENT)
    return CAUSE_RUN_UNRECORDED;
  if (!r || r->state != START_STOPPING)
    return CAUSE_RUN_UNCONFIRMED;
  return j->spec.steps[step].gang ? CAUSE_GANG_ENDING : CAUSE_RUN_ENDING;
}

/* Returns why a step waits if that does not depend on the executors, else
   CAUSE_UNKNOWN. */
static enum wait_cause
find_cause_inside (struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];

  if (j->set_aside)
    return CAUSE_SET_ASIDE;
  if (step_waiting (s) == 0)
    return find_cause_run (fs, j, step);
  if (j->spec.steps[step].gang && s->n_running > 0)
    return CAUSE_GANG_ENDING;
  if (!account_has_room (fs, j, step, tasks_needed (j, step)))
    return CAUSE_ACCOUNT_LIMIT;
  return CAUSE_UNKNOWN;
}

static enum wait_cause
find_cause (struct fsched *fs, const struct job *j, int step,
            const struct exec_counts *c)
{
  int needed = tasks_needed (j, step);
  enum wait_cause cause = find_cause_inside (fs, j, step);

  if (cause != CAUSE_UNKNOWN)
    return cause;
  if (c->n_usable == 0)
    return CAUSE_NO_EXECUTOR;
  if (j->spec.advice.base_ms > 0)
    return find_cause_advice (fs, j, step, c);
  if (c->n_fit < needed)
    return CAUSE_NO_ROOM;
  return c->n_fit_free < needed ? CAUSE_RESERVED : CAUSE_TURN;
}

/* Returns how long the step's outstanding query has taken, in ms; -1 if there
   is none.  @by: set to the id of the instance that sends it, "" if none */
static int64_t
query_age (const struct fsched *fs, const struct jstep *s, const char **by)
{
  struct pending_order key = { .id = s->query_id };
  const struct pending_order *p
      = s->n_asking > 0 ? RB_FIND (
            pending_order_tree, (struct pending_order_tree *)&fs->orders, &key)
                        : NULL;

  *by = "";
  if (!p)
    return -1;
  *by = adviser_name (fs, p->adviser);
  return fs->now_ms - p->sent_ms;
}

/* Returns fields of a log line about the run that keeps a step waiting, empty
   if there is none; the caller frees them. */
static char *
print_holder (const struct fsched *fs, const struct job *j, int step)
{
  static const char *const state_names[]
      = { "intent", "dropped", "sent", "acked", "unconfirmed", "stopping" };
  const struct start *r = why_holder (fs, j, step);
  const struct exec *e = r ? r->exec : NULL;
  char *text;

  if (!r || (step_waiting (&j->steps[step]) && !j->spec.steps[step].gang))
    return strdup ("");
  if (asprintf (
          &text,
          " holder=%d run=%lld exec=%s state=%s inherited=%d "
          "since_ms=%lld stops=%d stop_outcome=%s contact_age_ms=%lld "
          "lease_left_ms=%lld",
          r->index, (long long)r->run_id, e->rep.id, state_names[r->state],
          r->inherited,
          (long long)(why_held_ms (fs, r) < 0 ? fs->now_ms - r->sent_ms
                                              : why_held_ms (fs, r)),
          r->n_stops,
          r->stop_outcome < 0 ? "none" : order_outcome_names[r->stop_outcome],
          (long long)(e->answered ? fs->now_ms - e->last_contact_ms : -1),
          (long long)(e->answered
                          ? e->lease_deadline_ms - exec_clock_now (fs, e)
                          : fs->old_leases_end_ms - fs->now_ms))
      < 0)
    abort ();
  return text;
}

/* Prints for which step room is reserved, if that is why a step waits. */
static void
print_reserved (const struct fsched *fs, enum wait_cause cause,
                const struct jstep *holder, char to[RESERVED_TEXT_MAX])
{
  *to = '\0';
  if (cause == CAUSE_RESERVED && holder)
    snprintf (to, RESERVED_TEXT_MAX,
              " reserved_for=%s hold=%s reserved_ms=%lld", holder_job (holder),
              hold_names[holder->hold_kind], (long long)held_ms (fs, holder));
}

static enum wait_cause
log_step (struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  struct exec_counts c = count_execs (fs, j, step);
  enum wait_cause cause = find_cause (fs, j, step, &c);
  struct adviser_counts a = adviser_count (fs);
  const char *by;
  int64_t asking_ms = query_age (fs, s, &by);
  clb_auto char *holder = print_holder (fs, j, step);
  char reserved[RESERVED_TEXT_MAX];

  print_reserved (fs, cause, c.holder, reserved);
  out_line (
      fs->out,
      "event=waits job=%s step=%d queue=%s tenant=%s cause=%s%s%s "
      "ready_ms=%lld late_ms=%lld tasks=%d running=%d done=%d usable=%d "
      "allowed=%d denied=%d unknown=%d aside=%d tickets=%d fit=%d "
      "fit_free=%d asking_ms=%lld by=%s answers=%d lost=%d pause_ms=%lld "
      "outstanding=%d/%d long=%d lanes=%.1f rate=%.2f advisers=%d/%d "
      "free=%d unsent_ms=%lld",
      j->spec.id, step, j->spec.queue, j->spec.tenant, wait_cause_names[cause],
      holder, reserved, (long long)(fs->now_ms - s->ready_ms),
      (long long)(fs->now_ms - j->urgency.due_ms), s->n_tasks, s->n_running,
      s->n_done, c.n_usable, c.n_allowed, c.n_denied, c.n_unknown, c.n_aside,
      c.n_tickets, c.n_fit, c.n_fit_free, (long long)asking_ms, by,
      s->n_queries, s->n_lost,
      (long long)(s->next_query_ms > fs->now_ms ? s->next_query_ms - fs->now_ms
                                                : 0),
      fs->n_queries_out, (int)fs->query_window, fs->n_long_out,
      lanes_count (fs), lanes_rate (fs), a.n_for_long, a.n_available, a.n_idle,
      (long long)fsched_unsent_ms (fs));
  return cause;
}

void
why_log_step (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];

  s->named_cause = log_step (fs, j, step);
  s->named_ms = fs->now_ms;
}

int
why_cause_quick (struct fsched *fs, const struct job *j, int step)
{
  enum wait_cause cause = find_cause_inside (fs, j, step);

  return cause == CAUSE_UNKNOWN && j->steps[step].n_asking > 0
             ? CAUSE_QUERY_SENT
             : cause;
}

void
why_answer_unused (struct fsched *fs, const struct job *j, int step)
{
  const struct jstep *s = &j->steps[step];
  int needed = tasks_needed (j, step);
  int n_fit = 0;        /* tasks that permitted executors can take */
  int n_ticket = 0;     /* of these, those with a valid ticket */
  int n_unreserved = 0; /* of these, without what is reserved for others */
  const struct jstep *holder = NULL; /* of the first room that is reserved */
  enum unused_cause cause = UNUSED_OTHER;

  for (int i = 0; i < fs->n_eligible; i++)
    {
      const struct exec *e = fs->eligible[i];
      int fits;
      if (e->index >= s->n_permits
          || s->permits[e->index].state != PERMIT_ALLOWED
          || !exec_usable (e, j, step))
        continue;
      fits = exec_fit_beside (e, j, step, s->n_tasks, &nothing);
      n_fit += fits;
      if (!permit_valid (fs, s, e))
        continue;
      n_ticket += fits;
      n_unreserved += exec_fit_count (e, j, step, s->n_tasks);
      if (!holder && exec_fit_count (e, j, step, s->n_tasks) < fits)
        holder = e->holder;
    }
  if (n_fit < needed)
    cause = UNUSED_PERMITS;
  else if (n_ticket < needed)
    cause = UNUSED_TICKETS;
  else if (n_unreserved < needed)
    cause = UNUSED_RESERVED;
  fs->stats->answers_unused[cause]++;
  out_line (fs->out,
            "event=advice-unused job=%s step=%d cause=%s needed=%d fit=%d "
            "fit_ticket=%d fit_unreserved=%d answers=%d class=%d "
            "reserved_for=%s reserved_class=%d hold=%s reserved_ms=%lld",
            j->spec.id, step, unused_cause_names[cause], needed, n_fit,
            n_ticket, n_unreserved, s->n_queries, j->urgency.class,
            holder_job (holder), holder ? holder->job->urgency.class : -1,
            hold_names[holder ? holder->hold_kind : HOLD_NONE],
            (long long)held_ms (fs, holder));
}
