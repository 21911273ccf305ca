/*
 * Reconciliation of the tasks with what the workers run.  Each worker is sent
 * one sync at a time, which renews the leases of the worker's tasks and
 * carries starts, stops and acknowledgements.  The worker answers with a
 * report of its runs, from which the states of the members placed on it are
 * updated.  If a worker stops answering, these members end as lost once their
 * leases have certainly run out.
 */
#include "sched.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Added to the time after which a worker's task leases count as expired.
     Allows for different clock rates of this machine and the worker's, and for
     pauses on either of them. */
  CLOCK_MARGIN_MS = 1000,
  /* Delay from a run's expected end to the sync that is sent because of it. */
  END_SYNC_DELAY_MS = 10,
  /* Minimum delay from now to a sync that is sent because of a run's expected
     end. */
  END_SYNC_DELAY_MIN_MS = 50,
  /* Number of failures in a row after which a worker is put into
     quarantine. */
  QUARANTINE_FAILURES = 4,
  /* Length of a worker's first quarantine.  Each further one is twice as long
     as the one before, up to QUARANTINE_MAX_MS. */
  QUARANTINE_FIRST_MS = 10000,
  QUARANTINE_MAX_MS = 160000,
};

/* Appends run id @id to the array *@list of *@n ids, unless the array has it
   already.  The array is reallocated; its owner frees it. */
static void
run_id_push (struct run_id **list, size_t *n, const char *id)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp ((*list)[i].id, id) == 0)
      return;
  *list = realloc (*list, (*n + 1) * sizeof **list);
  if (!*list)
    abort ();
  clb_copy ((*list)[(*n)++].id, id, CLB_ID_MAX);
}

void
recon_ack (struct worker *w, const char *run)
{
  run_id_push (&w->acks, &w->n_acks, run);
}

/* Sending of syncs to workers. */

/* Returns the length of the lease that a sync grants to all of a worker's
   tasks, in ms; 0 if their leases are not renewed. */
static int64_t
task_lease_ms (const struct sched *s, const struct worker *w)
{
  if (w->state == WORKER_EXPIRING || w->state == WORKER_LOST)
    return 0;
  if (!s->may_start && s->now_ms - s->lapsed_since_ms >= LAPSED_RENEW_MS)
    return 0;
  return TASK_LEASE_MS;
}

/* Returns whether the start of a member may be sent to its worker now. */
static bool
may_send_start (const struct sched *s, const struct worker *w,
                const struct member *m)
{
  /* The team may have become frozen since the task was placed, because its
     limit was lowered. */
  if (m->task->team->frozen && task_starts_unsent (m->task))
    return false;
  /* The list of instances must be current, since it shows whether the worker
     is leaving, and so must the configuration, since it shows whether a limit
     was lowered. */
  if (w->leaving || s->now_ms - s->list_ms >= LIST_FRESH_MS || !s->conf_fresh)
    return false;
  return m->state == MEMBER_INTENT && m->task->intent_durable && s->may_start
         && w->state == WORKER_LIVE;
}

/* Adds the start of a member to a sync and marks the member as sent. */
static void
sync_add_start (struct sync_req *req, struct member *m)
{
  struct start_cmd *cmd;

  req->starts
      = realloc (req->starts, (req->n_starts + 1) * sizeof *req->starts);
  if (!req->starts)
    abort ();
  cmd = &req->starts[req->n_starts++];
  memset (cmd, 0, sizeof *cmd);
  member_run_id (m, cmd->id);
  clb_copy (cmd->name, m->task->spec.name, sizeof cmd->name);
  cmd->need = m->task->spec.need;
  cmd->duration_ms = m->task->spec.duration_ms;
  m->state = MEMBER_SENT;
  m->sent_seq = req->seq;
}

/* Makes the worker's next sync earlier if a running member is expected to end
   before it, so that the capacity can be used again soon after the end. */
static void
sync_at_expected_end (const struct sched *s, struct worker *w,
                      const struct member *m)
{
  int64_t at_ms = m->expected_end_ms + END_SYNC_DELAY_MS;

  if (m->state != MEMBER_RUNNING || m->expected_end_ms <= s->now_ms)
    return;
  if (at_ms < s->now_ms + END_SYNC_DELAY_MIN_MS)
    at_ms = s->now_ms + END_SYNC_DELAY_MIN_MS;
  if (at_ms < w->next_sync_ms)
    w->next_sync_ms = at_ms;
}

/* Sends the worker a sync with the starts, stops and acknowledgements that are
   due. */
static void
sync_send (struct sched *s, struct worker *w)
{
  struct out *o = out_new (s->out, OUT_SYNC);
  struct sync_req *req = &o->u.sync.req;
  struct member *m;
  char id[CLB_ID_MAX];

  clb_copy (o->u.sync.worker, w->inst.id, sizeof o->u.sync.worker);
  clb_copy (o->u.sync.addr, w->inst.addr, sizeof o->u.sync.addr);
  clb_copy (req->holder, s->self_id, sizeof req->holder);
  req->epoch = s->epoch;
  req->seq = ++w->sync_seq;
  req->lease_ms = task_lease_ms (s, w);
  TAILQ_FOREACH (m, &w->members, on_worker)
    {
      if (w->inst.kind == INST_EXECUTOR)
        break;
      member_run_id (m, id);
      if (may_send_start (s, w, m))
        sync_add_start (req, m);
      else if (m->state == MEMBER_STOP && s->may_start)
        run_id_push (&req->stops, &req->n_stops, id);
    }
  /* If this instance's lease of the domain has lapsed, its successor may have
     started the orphans, so they are not stopped. */
  size_t n_orphans = s->may_start ? w->n_orphans : 0;
  for (size_t i = 0; i < n_orphans; i++)
    run_id_push (&req->stops, &req->n_stops, w->orphans[i].id);
  w->n_orphans = 0;
  req->acks = w->acks;
  req->n_acks = w->n_acks;
  w->acks = NULL;
  w->n_acks = 0;
  w->sync_outstanding = true;
  w->sync_due = false;
  w->sync_sent_ms = s->now_ms;
  w->next_sync_ms = s->now_ms + SYNC_PERIOD_MS;
  TAILQ_FOREACH (m, &w->members, on_worker)
    sync_at_expected_end (s, w, m);
  s->stats.syncs++;
}

/* Handling of the reports that workers send in reply to syncs. */

/* Finds the member with run id @run that is placed on the worker.  Returns
   NULL if the task is unknown, the run belongs to another attempt, or the
   member is placed on another worker. */
static struct member *
find_reported_member (struct sched *s, const struct worker *w, const char *run)
{
  char id[CLB_ID_MAX];
  char *attempt_text;
  char *index_text;

  clb_copy (id, run, sizeof id);
  index_text = strrchr (id, '/');
  if (!index_text)
    return NULL;
  *index_text++ = '\0';
  attempt_text = strrchr (id, '/');
  if (!attempt_text)
    return NULL;
  *attempt_text++ = '\0';
  struct task *t = sched_task (s, id);
  long index = strtol (index_text, NULL, 10);
  if (!t || t->attempt != strtoll (attempt_text, NULL, 10) || index < 0
      || index >= t->n_members)
    return NULL;
  struct member *m = &t->members[index];
  return strcmp (m->worker_id, w->inst.id) == 0 ? m : NULL;
}

/* Counts a failure against a worker.  QUARANTINE_FAILURES in a row put the
   worker into quarantine. */
static void
count_worker_failure (struct sched *s, struct worker *w)
{
  if (++w->fail_streak < QUARANTINE_FAILURES)
    return;
  /* After the quarantine, a single failure starts the next one. */
  w->fail_streak = QUARANTINE_FAILURES - 1;
  w->quarantine_ms
      = w->quarantine_ms ? 2 * w->quarantine_ms : QUARANTINE_FIRST_MS;
  if (w->quarantine_ms > QUARANTINE_MAX_MS)
    w->quarantine_ms = QUARANTINE_MAX_MS;
  w->quarantine_until_ms = s->now_ms + w->quarantine_ms;
  sched_event (s, WHY_WORKER_QUARANTINED, "", "", w->inst.id, 0);
}

/* Subtracts one failure that was counted against a worker and ends its
   quarantine. */
static void
undo_worker_failure (struct sched *s, struct worker *w)
{
  if (w->fail_streak > 0)
    w->fail_streak--;
  if (s->now_ms >= w->quarantine_until_ms)
    return;
  w->quarantine_until_ms = s->now_ms;
  sched_event (s, WHY_WORKER_BACK, "", "", w->inst.id, 0);
}

/* Counts a failed run of task @t against its worker @w.  If the task's
   previous failure was on another worker, the task is at fault and not the
   workers: this failure is not counted against @w, and if the previous failure
   was the task's first, it is no longer counted against the other worker
   either. */
static void
count_run_failure (struct sched *s, struct worker *w, struct task *t)
{
  struct worker *first_failed_worker
      = *t->failed_on ? pool_find_worker (&s->pool, t->failed_on) : NULL;

  if (!*t->failed_on || strcmp (t->failed_on, w->inst.id) == 0)
    count_worker_failure (s, w);
  else if (first_failed_worker && t->failures == 1)
    undo_worker_failure (s, first_failed_worker);
  clb_copy (t->failed_on, w->inst.id, sizeof t->failed_on);
}

void
recon_service_end (struct sched *s, struct worker *w, bool executor_failed)
{
  if (executor_failed)
    count_worker_failure (s, w);
  else
    {
      w->fail_streak = 0;
      w->quarantine_ms = 0;
    }
}

/* Marks a member as running, since its worker's report lists it as running.  A
   member that is being stopped stays in state MEMBER_STOP. */
static void
set_member_running (struct sched *s, struct member *m)
{
  struct task *t = m->task;

  m->was_running = true;
  if (m->state != MEMBER_SENT)
    return;
  m->state = MEMBER_RUNNING;
  if (t->spec.duration_ms)
    m->expected_end_ms = s->now_ms + t->spec.duration_ms;
  sync_at_expected_end (s, m->worker, m);
  if (t->state == TASK_STARTING)
    {
      t->state = TASK_RUNNING;
      t->reason = WHY_STARTED;
    }
  sched_event (s, WHY_STARTED, t->id, t->team->name, m->worker_id, 0);
}

/* Returns how a member has ended, an enum member_end.  @run_state is the enum
   run_state that its worker has reported, other than RUN_RUNNING. */
static int
member_end_of (const struct member *m, int run_state)
{
  switch (run_state)
    {
    case RUN_OK:
      return MEMBER_END_OK;
    case RUN_FAILED:
      return MEMBER_END_FAILED;
    case RUN_STOPPED:
      return MEMBER_END_STOPPED;
    case RUN_REFUSED:
      return MEMBER_END_REFUSED;
    default:
      /* The worker does not know the run.  The member has run if an earlier
         report listed it as running. */
      return m->was_running ? MEMBER_END_LOST : MEMBER_END_NOT_STARTED;
    }
}

/* Acknowledges an ended run to its worker once the open journal group, and
   with it the record of the run's end, is durable.  Until a run is
   acknowledged, the worker goes on reporting it. */
static void
ack_when_durable (struct sched *s, const struct worker *w, const char *run)
{
  struct effect *e = journal_add_effect (s, EFFECT_ACK, run);

  clb_copy (e->worker, w->inst.id, sizeof e->worker);
}

/* Handles one of the runs that a worker's report lists. */
static void
handle_reported_run (struct sched *s, struct worker *w, const struct run *run)
{
  struct member *m = find_reported_member (s, w, run->id);

  if (m)
    m->reported_seq = w->sync_seq;
  if (run->state == RUN_RUNNING)
    {
      if (m && m->state != MEMBER_ENDED)
        set_member_running (s, m);
      else
        {
          run_id_push (&w->orphans, &w->n_orphans, run->id);
          w->sync_due = true;
        }
      return;
    }
  if (m && m->state != MEMBER_ENDED && m->state != MEMBER_INTENT)
    {
      if (run->state == RUN_OK)
        {
          w->fail_streak = 0;
          w->quarantine_ms = 0;
        }
      if (run->state == RUN_FAILED || run->state == RUN_REFUSED)
        count_run_failure (s, w, m->task);
      member_finish (s, m, member_end_of (m, run->state));
      task_evaluate (s, m->task);
    }
  ack_when_durable (s, w, run->id);
}

/* Handles a report whose boot differs from the last one reported: either this
   is the worker's first report, or the worker has restarted.  A worker that
   restarts forgets every run that was sent to it, so the function ends all
   members that were placed on the worker under a boot other than @boot. */
static void
set_worker_boot (struct sched *s, struct worker *w, int64_t boot)
{
  struct member *m;
  struct member *next;

  if (w->boot && w->boot != boot)
    sched_event (s, WHY_WORKER_REBOOTED, "", "", w->inst.id, 0);
  w->boot = boot;
  for (m = TAILQ_FIRST (&w->members); m; m = next)
    {
      next = TAILQ_NEXT (m, on_worker);
      if (m->boot == boot)
        continue;
      member_finish (s, m,
                     m->state == MEMBER_INTENT ? MEMBER_END_NOT_STARTED
                                               : MEMBER_END_LOST);
      task_evaluate (s, m->task);
      next = TAILQ_FIRST (&w->members);
    }
}

/* Reserves the slots that the executor reports as busy although no known
   request uses them.  They are used by requests that got their slot from an
   earlier holder of the domain's lease, or whose entry instance has stopped.
   @busy is the number of all busy slots. */
static void
count_unknown_slots (struct worker *w, int64_t busy)
{
  struct member *m;
  int64_t n_known = 0;

  TAILQ_FOREACH (m, &w->members, on_worker)
    n_known++;
  w->used.slots -= w->unknown_slots;
  w->unknown_slots = busy > n_known ? busy - n_known : 0;
  w->used.slots += w->unknown_slots;
}

/* Stops the members that were sent to the worker by sync @seq or earlier and
   that the worker's report does not list.  The start of such a member was lost
   or may still arrive late; the worker's answer to the stop rules out that the
   member starts. */
static void
stop_unlisted_members (struct worker *w, int64_t seq)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    {
      bool sent = m->state == MEMBER_SENT || m->state == MEMBER_RUNNING;
      if (!sent || m->sent_seq > seq || m->reported_seq == w->sync_seq)
        continue;
      m->state = MEMBER_STOP;
      w->sync_due = true;
    }
}

/* Updates the state of a worker that has answered a sync. */
static void
set_worker_answered (struct sched *s, struct worker *w)
{
  w->answered = true;
  w->last_contact_ms = s->now_ms;
  if (w->state == WORKER_LIVE)
    return;
  if (w->state != WORKER_UNSEEN)
    sched_event (s, WHY_WORKER_BACK, "", "", w->inst.id, 0);
  w->state = WORKER_LIVE;
  s->placement_due = true;
}

void
recon_report (struct sched *s, struct worker *w, int64_t seq,
              const struct sync_rep *rep)
{
  if (seq != w->sync_seq || !w->sync_outstanding)
    return;
  w->sync_outstanding = false;
  if (!rep)
    {
      s->stats.sync_failures++;
      return;
    }
  set_worker_answered (s, w);
  w->leaving |= rep->leaving;
  if (w->inst.kind == INST_EXECUTOR)
    {
      count_unknown_slots (w, rep->busy_slots);
      return;
    }
  if (w->boot != rep->boot)
    set_worker_boot (s, w, rep->boot);
  for (size_t i = 0; i < rep->n_runs; i++)
    handle_reported_run (s, w, &rep->runs[i]);
  stop_unlisted_members (w, seq);
}

/* Handling of workers that do not answer syncs. */

/* Returns the time at which the leases of all tasks of a worker in state
   WORKER_EXPIRING have certainly run out. */
static int64_t
leases_end_ms (const struct worker *w, const struct sched *s)
{
  int64_t wait = TASK_LEASE_MS + SYNC_TIMEOUT_MS + CLOCK_MARGIN_MS;

  /* An earlier holder of the domain's lease may have renewed task leases for
     LAPSED_RENEW_MS after its own lease had lapsed. */
  if (!w->answered)
    return s->started_ms + LAPSED_RENEW_MS + wait;
  return w->expiring_since_ms + wait;
}

/* Marks a worker as lost, since the leases of all its tasks have run out.  The
   members placed on a worker that is not an executor end: as not started if
   their start was not sent, else as lost. */
static void
set_worker_lost (struct sched *s, struct worker *w)
{
  struct member *m;

  w->state = WORKER_LOST;
  sched_event (s, WHY_WORKER_LOST, "", "", w->inst.id, 0);
  /* Members on an executor do not end here: their slots are released by the
     entry instances that use them. */
  if (w->inst.kind == INST_EXECUTOR)
    return;
  while ((m = TAILQ_FIRST (&w->members)))
    {
      int end = m->state == MEMBER_INTENT ? MEMBER_END_NOT_STARTED
                                          : MEMBER_END_LOST;
      member_finish (s, m, end);
      task_evaluate (s, m->task);
    }
}

/* Updates a worker's state according to the time since its last answer. */
static void
update_contact_state (struct sched *s, struct worker *w)
{
  int64_t since_contact_ms = s->now_ms - w->last_contact_ms;

  if (w->state == WORKER_LIVE && since_contact_ms >= WORKER_UNREACHABLE_MS)
    w->state = WORKER_UNREACHABLE;
  if (w->state <= WORKER_UNREACHABLE && since_contact_ms >= WORKER_EXPIRING_MS)
    {
      w->state = WORKER_EXPIRING;
      w->expiring_since_ms = s->now_ms;
    }
  if (w->state == WORKER_EXPIRING && s->now_ms >= leases_end_ms (w, s))
    set_worker_lost (s, w);
}

/* Ends the placement of one task that is placed on a leaving worker and whose
   start was not sent to it yet; the task is retried.  Each call handles one
   task at most. */
static void
withdraw_unsent_task (struct sched *s, struct worker *w)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    if (m->state == MEMBER_INTENT)
      {
        struct task *t = m->task;
        task_stop_members (s, t);
        task_evaluate (s, t);
        /* The worker's list of members has changed, so the loop cannot go on.
           The worker's other tasks are handled by later calls. */
        return;
      }
}

void
recon_tick (struct sched *s)
{
  struct worker *w;
  struct worker *next;

  RB_FOREACH_SAFE (w, worker_tree, &s->pool.workers, next)
    {
      update_contact_state (s, w);
      if (w->leaving && w->inst.kind == INST_WORKER)
        withdraw_unsent_task (s, w);
      if (w->state == WORKER_LOST && !w->listed && !w->sync_outstanding
          && TAILQ_EMPTY (&w->members))
        {
          pool_remove (&s->pool, w);
          continue;
        }
      if (w->sync_outstanding
          && s->now_ms - w->sync_sent_ms > 2 * SYNC_TIMEOUT_MS)
        w->sync_outstanding = false;
      if (!w->sync_outstanding && *w->inst.addr
          && (w->sync_due || s->now_ms >= w->next_sync_ms))
        sync_send (s, w);
    }
}
