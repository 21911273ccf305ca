/*
 * Reconciliation of the tasks with what the workers run.  Each worker is sent
 * one sync at a time: it renews the leases of the worker's tasks and carries
 * starts, stops and acknowledgements.  The worker's report in the answer moves
 * the members on.  The members of a worker without reports end as lost once
 * their leases have certainly run out.
 */
#include "sched.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Allowance for clock rates that differ and pauses on either machine. */
  CLOCK_MARGIN_MS = 1000,
  /* A worker is synced this long after a run's expected end. */
  END_SLACK_MS = 10,
  /* Shortest wait before a sync that is sent because of an expected end. */
  SYNC_GAP_MS = 50,
  /* Failures of a worker in a row that put it into quarantine. */
  FAIL_STREAK_MAX = 4,
  /* Length of a worker's first quarantine.  It doubles with each further one,
     up to the maximum. */
  QUARANTINE_MS = 10000,
  QUARANTINE_MAX_MS = 160000,
};

/* Adds @id to the list unless it is in it. */
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

/* Sending. */

/* The lease to be granted to all tasks of a worker in ms; 0 renews nothing. */
static int64_t
lease_ms_for (const struct sched *s, const struct worker *w)
{
  if (w->state == WORKER_EXPIRING || w->state == WORKER_LOST)
    return 0;
  if (!s->may_start && s->now_ms - s->lapsed_since_ms >= LAPSED_RENEW_MS)
    return 0;
  return TASK_LEASE_MS;
}

/* Whether the start of a member may be sent now. */
static bool
may_send_start (const struct sched *s, const struct worker *w,
                const struct member *m)
{
  /* The team's limit may have been lowered since the task was placed. */
  if (m->task->team->frozen && task_unsent (m->task))
    return false;
  /* The list of instances tells that a worker is leaving, the configuration
     that a limit was lowered, so both must be current. */
  if (w->leaving || s->now_ms - s->list_ms >= LIST_FRESH_MS || !s->conf_fresh)
    return false;
  return m->state == MEMBER_INTENT && m->task->intent_durable && s->may_start
         && w->state == WORKER_LIVE;
}

/* Adds the start of a member to a sync. */
static void
sync_add_start (struct sync_req *req, struct member *m)
{
  struct start_cmd *c;

  req->starts
      = realloc (req->starts, (req->n_starts + 1) * sizeof *req->starts);
  if (!req->starts)
    abort ();
  c = &req->starts[req->n_starts++];
  memset (c, 0, sizeof *c);
  member_run_id (m, c->id);
  clb_copy (c->name, m->task->spec.name, sizeof c->name);
  c->need = m->task->spec.need;
  c->duration_ms = m->task->spec.duration_ms;
  m->state = MEMBER_SENT;
  m->sent_seq = req->seq;
}

/* Advances the worker's next sync to the expected end of a running member, so
   that its capacity is soon in use again. */
static void
sync_at_expected_end (const struct sched *s, struct worker *w,
                      const struct member *m)
{
  int64_t at_ms = m->expected_end_ms + END_SLACK_MS;

  if (m->state != MEMBER_RUNNING || m->expected_end_ms <= s->now_ms)
    return;
  if (at_ms < s->now_ms + SYNC_GAP_MS)
    at_ms = s->now_ms + SYNC_GAP_MS;
  if (at_ms < w->next_sync_ms)
    w->next_sync_ms = at_ms;
}

/* Sends a sync with the starts, stops and acknowledgements that are due. */
static void
sync_send (struct sched *s, struct worker *w)
{
  struct out *o = out_new (s->out, OUT_SYNC);
  struct sync_req *req = &o->u.sync.req;
  struct member *m;
  char id[CLB_ID_MAX];

  clb_copy (o->u.sync.worker, w->inst.id, sizeof o->u.sync.worker);
  clb_copy (o->u.sync.addr, w->inst.addr, sizeof o->u.sync.addr);
  clb_copy (req->holder, s->me, sizeof req->holder);
  req->epoch = s->epoch;
  req->seq = ++w->sync_seq;
  req->lease_ms = lease_ms_for (s, w);
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
  /* A run that this scheduler does not know may be its successor's if its own
     lease has lapsed, so it is not stopped. */
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

/* Reports. */

/* Finds the member that has the run id @run; NULL if the run is not of the
   task's current attempt or not on this worker. */
static struct member *
find_member (struct sched *s, const struct worker *w, const char *run)
{
  char id[CLB_ID_MAX];
  char *attempt;
  char *index;

  clb_copy (id, run, sizeof id);
  index = strrchr (id, '/');
  if (!index)
    return NULL;
  *index++ = '\0';
  attempt = strrchr (id, '/');
  if (!attempt)
    return NULL;
  *attempt++ = '\0';
  struct task *t = sched_task (s, id);
  long i = strtol (index, NULL, 10);
  if (!t || t->attempt != strtoll (attempt, NULL, 10) || i < 0
      || i >= t->n_members)
    return NULL;
  struct member *m = &t->members[i];
  return strcmp (m->worker_id, w->inst.id) == 0 ? m : NULL;
}

/* Counts a failure against a worker; puts it into quarantine after
   FAIL_STREAK_MAX in a row. */
static void
worker_failed (struct sched *s, struct worker *w)
{
  if (++w->fail_streak < FAIL_STREAK_MAX)
    return;
  /* After the quarantine, one more failure starts the next. */
  w->fail_streak = FAIL_STREAK_MAX - 1;
  w->quarantine_ms = w->quarantine_ms ? 2 * w->quarantine_ms : QUARANTINE_MS;
  if (w->quarantine_ms > QUARANTINE_MAX_MS)
    w->quarantine_ms = QUARANTINE_MAX_MS;
  w->quarantine_until_ms = s->now_ms + w->quarantine_ms;
  sched_event (s, WHY_WORKER_QUARANTINED, "", "", w->inst.id, 0);
}

/* Takes back a failure that was counted against a worker and ends its
   quarantine. */
static void
worker_failure_undo (struct sched *s, struct worker *w)
{
  if (w->fail_streak > 0)
    w->fail_streak--;
  if (s->now_ms >= w->quarantine_until_ms)
    return;
  w->quarantine_until_ms = s->now_ms;
  sched_event (s, WHY_WORKER_BACK, "", "", w->inst.id, 0);
}

/* Counts a failed run against its worker.  If the task's previous failure was
   on another worker, the task is at fault and not the workers: this failure is
   not counted, and the first one is taken back. */
static void
run_failed (struct sched *s, struct worker *w, struct task *t)
{
  struct worker *first
      = *t->failed_on ? pool_worker (&s->pool, t->failed_on) : NULL;

  if (!*t->failed_on || strcmp (t->failed_on, w->inst.id) == 0)
    worker_failed (s, w);
  else if (first && t->failures == 1)
    worker_failure_undo (s, first);
  clb_copy (t->failed_on, w->inst.id, sizeof t->failed_on);
}

void
recon_service_end (struct sched *s, struct worker *w, bool bad)
{
  if (bad)
    worker_failed (s, w);
  else
    {
      w->fail_streak = 0;
      w->quarantine_ms = 0;
    }
}

/* A report lists the member as running. */
static void
member_running (struct sched *s, struct member *m)
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

/* The enum member_end that an enum run_state stands for. */
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
      /* The worker knows nothing of the run.  It may have run if an earlier
         report has listed it as running. */
      return m->was_running ? MEMBER_END_LOST : MEMBER_END_NOT_STARTED;
    }
}

/* Acknowledges an ended run once its end is durable, so that the worker
   reports it until then. */
static void
ack_when_durable (struct sched *s, const struct worker *w, const char *run)
{
  struct effect *e = journal_effect (s, EFFECT_ACK, run);

  clb_copy (e->worker, w->inst.id, sizeof e->worker);
}

/* Handles one run of a worker's report. */
static void
run_report (struct sched *s, struct worker *w, const struct run *run)
{
  struct member *m = find_member (s, w, run->id);

  if (m)
    m->reported_seq = w->sync_seq;
  if (run->state == RUN_RUNNING)
    {
      if (m && m->state != MEMBER_ENDED)
        member_running (s, m);
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
        run_failed (s, w, m->task);
      member_finish (s, m, member_end_of (m, run->state));
      task_evaluate (s, m->task);
    }
  ack_when_durable (s, w, run->id);
}

/* Notes a worker's first boot or its restart.  A worker that restarts forgets
   every run that was sent to it, so the members placed on another boot end. */
static void
worker_boot (struct sched *s, struct worker *w, int64_t boot)
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

/* Reserves the slots that an executor reports as busy beyond those of known
   requests.  They are used by requests that an earlier holder granted or whose
   entry instance is gone. */
static void
count_unknown_slots (struct worker *w, int64_t busy)
{
  struct member *m;
  int64_t known = 0;

  TAILQ_FOREACH (m, &w->members, on_worker)
    known++;
  w->used.slots -= w->unknown_slots;
  w->unknown_slots = busy > known ? busy - known : 0;
  w->used.slots += w->unknown_slots;
}

/* Has every sent member stopped that the worker's report does not list.  Its
   start was lost or may still arrive late; the answer to the stop rules out
   that it starts. */
static void
check_unlisted (struct worker *w, int64_t seq)
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

/* Notes that a worker has answered a sync. */
static void
worker_answered (struct sched *s, struct worker *w)
{
  w->answered = true;
  w->last_contact_ms = s->now_ms;
  if (w->state == WORKER_LIVE)
    return;
  if (w->state != WORKER_UNSEEN)
    sched_event (s, WHY_WORKER_BACK, "", "", w->inst.id, 0);
  w->state = WORKER_LIVE;
  s->dirty = true;
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
  worker_answered (s, w);
  w->leaving |= rep->leaving;
  if (w->inst.kind == INST_EXECUTOR)
    {
      count_unknown_slots (w, rep->busy);
      return;
    }
  if (w->boot != rep->boot)
    worker_boot (s, w, rep->boot);
  for (size_t i = 0; i < rep->n_runs; i++)
    run_report (s, w, &rep->runs[i]);
  check_unlisted (w, seq);
}

/* Workers that do not answer. */

/* When the leases of all tasks of an expiring worker have certainly run out.
 */
static int64_t
leases_end_ms (const struct worker *w, const struct sched *s)
{
  int64_t wait = TASK_LEASE_MS + SYNC_TIMEOUT_MS + CLOCK_MARGIN_MS;

  /* An earlier holder may have renewed leases for LAPSED_RENEW_MS after its
     own had lapsed. */
  if (!w->answered)
    return s->started_ms + LAPSED_RENEW_MS + wait;
  return w->expiring_since_ms + wait;
}

/* Ends all members of a worker whose leases have run out. */
static void
worker_lost (struct sched *s, struct worker *w)
{
  struct member *m;

  w->state = WORKER_LOST;
  sched_event (s, WHY_WORKER_LOST, "", "", w->inst.id, 0);
  /* An executor's slots are released by the entry instances that use them. */
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

/* Updates the state of a worker by the time since its last report. */
static void
check_contact (struct sched *s, struct worker *w)
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
    worker_lost (s, w);
}

/* Takes back a task that is placed on a leaving worker and was not yet sent to
   it. */
static void
withdraw_unsent (struct sched *s, struct worker *w)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    if (m->state == MEMBER_INTENT)
      {
        struct task *t = m->task;
        task_stop_members (s, t);
        task_evaluate (s, t);
        /* The list of members has changed: others follow at later ticks. */
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
      check_contact (s, w);
      if (w->leaving && w->inst.kind == INST_WORKER)
        withdraw_unsent (s, w);
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
