/*
 * The life cycle of a task: it is queued, placed on workers and started; its
 * members end one by one; then the task is retried or ends for good.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Delay before the attempt that follows the first failure.  It doubles with
     each further failure. */
  BACKOFF_BASE_MS = 500,
  /* The delay is doubled only while it is shorter than this. */
  BACKOFF_MAX_MS = 60000,
};

void
task_event (struct sched *s, const struct task *t, int reason,
            const char *where, int64_t detail)
{
  sched_event (s, reason, t->id, t->team->name, where, detail);
}

struct task *
task_new (struct sched *s, const char *id, const char *team)
{
  struct task *t = calloc (1, sizeof *t);

  if (!t)
    abort ();
  clb_copy (t->id, id, sizeof t->id);
  t->team = sched_team (s, team);
  t->accepted_ms = s->now_ms;
  TAILQ_INIT (&t->waiters);
  RB_INSERT (task_tree, &s->tasks, t);
  s->n_tasks++;
  return t;
}

void
task_free (struct sched *s, struct task *t)
{
  struct waiter *waiter;

  task_dequeue (t);
  task_unplace (s, t);
  if (t->in_ended_list)
    TAILQ_REMOVE (&s->ended, t, ended);
  if (RB_FIND (request_tree, &s->requests, t) == t)
    RB_REMOVE (request_tree, &s->requests, t);
  while ((waiter = TAILQ_FIRST (&t->waiters)))
    {
      TAILQ_REMOVE (&t->waiters, waiter, link);
      free (waiter);
    }
  RB_REMOVE (task_tree, &s->tasks, t);
  s->n_tasks--;
  free (t);
}

void
task_enqueue (struct sched *s, struct task *t)
{
  t->state = TASK_PENDING;
  TAILQ_INSERT_TAIL (&t->team->queue[t->class], t, queued);
  t->team->waiting++;
  t->in_queue = true;
  s->placement_due = true;
}

void
task_dequeue (struct task *t)
{
  if (!t->in_queue)
    return;
  TAILQ_REMOVE (&t->team->queue[t->class], t, queued);
  t->team->waiting--;
  t->in_queue = false;
}

struct reply
task_reply (const struct task *t, int64_t call_seq)
{
  struct reply r
      = { .call_seq = call_seq, .state = t->state, .reason = t->reason };

  clb_copy (r.id, t->id, sizeof r.id);
  return r;
}

struct reply
task_reply_now (const struct task *t, int64_t call_seq)
{
  struct reply r = task_reply (t, call_seq);

  if (t->recorded && task_state_final (t->state) && !t->end_durable)
    {
      r.state = t->n_members ? TASK_RUNNING : TASK_PENDING;
      r.reason = WHY_NONE;
    }
  return r;
}

int64_t
task_slot_expiry_ms (const struct sched *s, const struct task *t)
{
  return s->now_ms + t->spec.duration_ms + SERVICE_GRACE_MS;
}

void
task_reply_durable (struct sched *s, const struct task *t, const char *entry,
                    int64_t call_seq)
{
  struct effect *e = journal_add_effect (s, EFFECT_REPLY, t->id);

  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply = task_reply (t, call_seq);
}

struct rec
task_make_rec (const struct task *t, int kind)
{
  struct rec r = {
    .kind = kind,
    .attempt = t->attempt,
    .failures = t->failures,
    .state = t->state,
    .reason = t->reason,
  };

  clb_copy (r.id, t->id, sizeof r.id);
  if (kind == REC_ACCEPT)
    {
      clb_copy (r.team, t->team->name, sizeof r.team);
      r.spec = t->spec;
      r.class = t->class;
      r.lane = t->lane;
      r.idempotent = t->idempotent;
    }
  if (kind == REC_INTENT)
    {
      r.places = calloc ((size_t)t->n_members, sizeof *r.places);
      if (!r.places)
        abort ();
      r.n_places = (size_t)t->n_members;
      for (int64_t i = 0; i < t->n_members; i++)
        {
          clb_copy (r.places[i].worker, t->members[i].worker_id,
                    sizeof r.places[i].worker);
          r.places[i].boot = t->members[i].boot;
        }
    }
  return r;
}

void
task_journal (struct sched *s, const struct task *t, int kind)
{
  if (!t->recorded)
    return;
  struct rec r = task_make_rec (t, kind);
  journal_add (s, &r);
}

void
member_run_id (const struct member *m, char out[CLB_ID_MAX])
{
  snprintf (out, CLB_ID_MAX, "%.60s/%lld/%d", m->task->id,
            (long long)m->task->attempt, m->index);
}

void
task_place (struct sched *s, struct task *t, struct worker **picked)
{
  t->n_members = t->spec.members;
  t->members = calloc ((size_t)t->n_members, sizeof *t->members);
  if (!t->members)
    abort ();
  for (int64_t i = 0; i < t->n_members; i++)
    {
      struct member *m = &t->members[i];
      m->task = t;
      m->index = (int)i;
      m->worker = picked[i];
      m->boot = picked[i]->boot;
      clb_copy (m->worker_id, picked[i]->inst.id, sizeof m->worker_id);
      TAILQ_INSERT_TAIL (&picked[i]->members, m, on_worker);
    }
  clb_res_add (&t->team->used, &t->spec.need, t->n_members);
  t->team->idle_since_ms = s->now_ms;
  t->state = TASK_STARTING;
  t->placed_ms = s->now_ms;
  t->end_decided = false;
  t->intent_durable = false;
}

void
member_finish (struct sched *s, struct member *m, int end)
{
  if (m->state == MEMBER_ENDED)
    return;
  m->state = MEMBER_ENDED;
  m->end = end;
  if (!m->worker)
    return;
  TAILQ_REMOVE (&m->worker->members, m, on_worker);
  clb_res_add (&m->worker->used, &m->task->spec.need, -1);
  clb_res_add (&m->task->team->used, &m->task->spec.need, -1);
  m->task->team->idle_since_ms = s->now_ms;
  m->worker = NULL;
  s->placement_due = true;
}

void
task_unplace (struct sched *s, struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    member_finish (s, &t->members[i], MEMBER_END_NOT_STARTED);
  free (t->members);
  t->members = NULL;
  t->n_members = 0;
}

void
task_stop_members (struct sched *s, struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    {
      struct member *m = &t->members[i];
      if (m->state == MEMBER_INTENT)
        member_finish (s, m, MEMBER_END_NOT_STARTED);
      else if (m->state != MEMBER_ENDED)
        m->state = MEMBER_STOP;
      if (m->worker)
        m->worker->sync_due = true;
    }
}

void
task_answer_waiters (struct sched *s, struct task *t)
{
  struct waiter *waiter;

  while ((waiter = TAILQ_FIRST (&t->waiters)))
    {
      TAILQ_REMOVE (&t->waiters, waiter, link);
      struct reply r = task_reply (t, waiter->call_seq);
      if (t->lane == LANE_SERVICE)
        {
          r.err = t->reason == WHY_DEADLINE ? CLB_ETIMEOUT : CLB_ECANCELLED;
          r.retry_ms = RETRY_HINT_MS;
        }
      if (t->recorded)
        {
          struct effect *e = journal_add_effect (s, EFFECT_REPLY, t->id);
          clb_copy (e->entry, waiter->entry, sizeof e->entry);
          e->reply = r;
        }
      else
        sched_reply (s, waiter->entry, &r);
      free (waiter);
    }
}

void
task_finish (struct sched *s, struct task *t, int state, int reason)
{
  t->state = state;
  t->reason = reason;
  t->end_decided = true;
  task_dequeue (t);
  task_event (s, t, reason, "", 0);
  task_journal (s, t, REC_END);
  task_answer_waiters (s, t);
  if (!t->recorded)
    {
      task_free (s, t);
      return;
    }
  journal_add_effect (s, EFFECT_END, t->id);
  TAILQ_INSERT_TAIL (&s->ended, t, ended);
  t->in_ended_list = true;
}

/* Returns the delay before the next attempt in ms; 0 if no run has failed. */
static int64_t
backoff_ms (const struct task *t)
{
  int64_t ms = BACKOFF_BASE_MS;

  for (int64_t i = 1; i < t->failures && ms < BACKOFF_MAX_MS; i++)
    ms *= 2;
  return t->failures == 0 ? 0 : ms;
}

/* Puts a placed task back into its team's queue for another attempt.  @reason,
   an enum clb_reason, says why. */
static void
task_retry (struct sched *s, struct task *t, int reason)
{
  task_event (s, t, reason, "", 0);
  t->reason = reason;
  task_unplace (s, t);
  t->attempt++;
  t->not_before_ms = s->now_ms + backoff_ms (t);
  task_journal (s, t, REC_RETRY);
  task_enqueue (s, t);
}

bool
task_starts_unsent (const struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].state != MEMBER_INTENT)
      return false;
  return t->n_members > 0 && t->lane == LANE_TASK;
}

void
sched_requeue_unsent (struct sched *s, struct team *team)
{
  struct task *t;
  struct task *next;

  RB_FOREACH_SAFE (t, task_tree, &s->tasks, next)
    if (t->team == team && task_starts_unsent (t))
      task_retry (s, t, WHY_TEAM_LIMIT);
}

/* struct member_counts - counts of a task's members by how they ended */
struct member_counts
{
  /* Numbers of ended members, by enum member_end. */
  int64_t by_end[MEMBER_END_LOST + 1];
  int64_t n_not_ended; /* number of members that have not ended */
};

/* Counts the task's members by how they ended. */
static struct member_counts
count_members (const struct task *t)
{
  struct member_counts counts = { 0 };

  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].state == MEMBER_ENDED)
      counts.by_end[t->members[i].end]++;
    else
      counts.n_not_ended++;
  return counts;
}

/* Returns the enum clb_reason for an attempt in which at least one member's
   end was not MEMBER_END_OK. */
static int
failure_reason (const struct member_counts *counts)
{
  if (counts->by_end[MEMBER_END_FAILED])
    return WHY_ENDED_FAILED;
  if (counts->by_end[MEMBER_END_LOST])
    return WHY_WORKER_LOST;
  if (counts->by_end[MEMBER_END_REFUSED])
    return WHY_WORKER_REFUSED;
  return counts->by_end[MEMBER_END_STOPPED] ? WHY_GANG_MEMBER_FAILED
                                            : WHY_START_UNSEEN;
}

/* Ends a service request if the end of at least one member was not
   MEMBER_END_OK.  The scheduler never retries a service request: its entry
   instance makes a new request if another attempt is wanted. */
static void
end_service (struct sched *s, struct task *t,
             const struct member_counts *counts)
{
  if (counts->by_end[MEMBER_END_FAILED])
    task_finish (s, t, TASK_FAILED, WHY_ENDED_FAILED);
  else if (counts->by_end[MEMBER_END_LOST])
    task_finish (s, t, TASK_UNKNOWN, WHY_ENTRY_LOST);
  else
    task_finish (s, t, TASK_CANCELLED, WHY_CANCELLED);
}

/* Ends or retries a task whose members have all ended, at least one of them
   with another end than MEMBER_END_OK. */
static void
end_or_retry (struct sched *s, struct task *t,
              const struct member_counts *counts)
{
  bool may_have_run = counts->by_end[MEMBER_END_OK]
                      || counts->by_end[MEMBER_END_FAILED]
                      || counts->by_end[MEMBER_END_STOPPED]
                      || counts->by_end[MEMBER_END_LOST];
  int reason = failure_reason (counts);

  if (counts->by_end[MEMBER_END_FAILED])
    t->failures++;
  if (t->being_preempted)
    {
      t->being_preempted = false;
      reason = WHY_PREEMPTED;
    }
  if (t->lane == LANE_SERVICE)
    end_service (s, t, counts);
  else if (t->cancelled && (!counts->by_end[MEMBER_END_LOST] || t->idempotent))
    task_finish (s, t, TASK_CANCELLED, WHY_CANCELLED);
  else if (!may_have_run)
    task_retry (s, t, reason);
  else if (!t->idempotent && counts->by_end[MEMBER_END_FAILED] == 0)
    task_finish (s, t, TASK_UNKNOWN, reason);
  else if (!t->idempotent)
    task_finish (s, t, TASK_FAILED, reason);
  else if (t->failures >= TASK_FAILURES_MAX)
    task_finish (s, t, TASK_FAILED, WHY_TOO_MANY_FAILURES);
  else
    task_retry (s, t, reason);
}

void
task_evaluate (struct sched *s, struct task *t)
{
  struct member_counts counts = count_members (t);

  if (t->end_decided || t->n_members == 0)
    return;
  if (counts.by_end[MEMBER_END_OK] == t->n_members)
    {
      task_finish (s, t, TASK_DONE, WHY_ENDED_OK);
      return;
    }
  /* A gang runs as a whole or not at all: if the end of one member is not
     MEMBER_END_OK, the other members are stopped. */
  if (counts.by_end[MEMBER_END_OK] + counts.n_not_ended < t->n_members)
    task_stop_members (s, t);
  counts = count_members (t);
  if (counts.n_not_ended == 0)
    end_or_retry (s, t, &counts);
}
