/* Brings what the workers run and what the journal says into agreement. */
#include "sched.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CLOCK_MARGIN_MS = 1000, /* clock rates and pauses between two machines */
  END_SLACK_MS = 10,      /* after a run's declared end, then it is asked */
  SYNC_GAP_MS = 50,       /* between two looks for ends at one worker */
  FAIL_STREAK_MAX = 4,    /* failed starts in a row, then quarantine */
  QUARANTINE_MS = 10000,  /* the first; each later one is twice as long */
  QUARANTINE_MAX_MS = 160000,
};

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

static int64_t
lease_for (const struct sched *s, const struct worker *w)
{
  if (w->state == WORKER_EXPIRING || w->state == WORKER_LOST)
    return 0;
  if (!s->may_start && s->now_ms - s->lapsed_since_ms >= LAPSED_RENEW_MS)
    return 0;
  return TASK_LEASE_MS;
}

static bool
may_send_start (const struct sched *s, const struct worker *w,
                const struct member *m)
{
  /* The limit may have been lowered since it was placed. */
  if (m->task->team->frozen && task_unsent (m->task))
    return false;
  /* Who is leaving is known only by the list, and a limit may be lower. */
  if (w->leaving || s->now_ms - s->list_ms >= LIST_FRESH_MS || !s->conf_fresh)
    return false;
  return m->state == MEMBER_INTENT && m->task->intent_durable && s->may_start
         && w->state == WORKER_LIVE;
}

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

/* Asks when the run should be over, so that its room is not left empty. */
static void
look_at_end (const struct sched *s, struct worker *w, const struct member *m)
{
  int64_t at_ms = m->expected_end_ms + END_SLACK_MS;

  if (m->state != MEMBER_RUNNING || m->expected_end_ms <= s->now_ms)
    return;
  if (at_ms < s->now_ms + SYNC_GAP_MS)
    at_ms = s->now_ms + SYNC_GAP_MS;
  if (at_ms < w->next_sync_ms)
    w->next_sync_ms = at_ms;
}

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
  req->lease_ms = lease_for (s, w);
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
  /* A run that a lapsed holder does not know may be its successor's. */
  size_t n_strays = s->may_start ? w->n_orphans : 0;
  for (size_t i = 0; i < n_strays; i++)
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
    look_at_end (s, w, m);
  s->stats.syncs++;
}

/* Reports. */

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

static void
worker_failed (struct sched *s, struct worker *w)
{
  if (++w->fail_streak < FAIL_STREAK_MAX)
    return;
  /* One failure after the quarantine is enough for the next. */
  w->fail_streak = FAIL_STREAK_MAX - 1;
  w->quarantine_ms = w->quarantine_ms ? 2 * w->quarantine_ms : QUARANTINE_MS;
  if (w->quarantine_ms > QUARANTINE_MAX_MS)
    w->quarantine_ms = QUARANTINE_MAX_MS;
  w->quarantine_until_ms = s->now_ms + w->quarantine_ms;
  sched_event (s, WHY_WORKER_QUARANTINED, "", "", w->inst.id, 0);
}

static void
worker_cleared (struct sched *s, struct worker *w)
{
  if (w->fail_streak > 0)
    w->fail_streak--;
  if (s->now_ms >= w->quarantine_until_ms)
    return;
  w->quarantine_until_ms = s->now_ms;
  sched_event (s, WHY_WORKER_BACK, "", "", w->inst.id, 0);
}

/* A task that fails on two workers is at fault, and they are not. */
static void
run_failed (struct sched *s, struct worker *w, struct task *t)
{
  struct worker *first
      = *t->failed_on ? pool_worker (&s->pool, t->failed_on) : NULL;

  if (!*t->failed_on || strcmp (t->failed_on, w->inst.id) == 0)
    worker_failed (s, w);
  else if (first && t->failures == 1)
    worker_cleared (s, first);
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
  look_at_end (s, m->worker, m);
  if (t->state == TASK_STARTING)
    {
      t->state = TASK_RUNNING;
      t->reason = WHY_STARTED;
    }
  sched_event (s, WHY_STARTED, t->id, t->team->name, m->worker_id, 0);
}

static int
end_of_run (const struct member *m, int run)
{
  switch (run)
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
      /* It was seen to run and the worker has lost all trace of it. */
      return m->was_running ? MEMBER_END_LOST : MEMBER_END_NOT_STARTED;
    }
}

static void
ack_when_durable (struct sched *s, const struct worker *w, const char *run)
{
  struct effect *e = journal_effect (s, EFFECT_ACK, run);

  clb_copy (e->worker, w->inst.id, sizeof e->worker);
}

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
      member_ended (s, m, end_of_run (m, run->state));
      task_evaluate (s, m->task);
    }
  ack_when_durable (s, w, run->id);
}

/* Everything sent to the worker before it restarted is gone. */
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
      member_ended (s, m,
                    m->state == MEMBER_INTENT ? MEMBER_END_NOT_STARTED
                                              : MEMBER_END_LOST);
      task_evaluate (s, m->task);
      next = TAILQ_FIRST (&w->members);
    }
}

/* Slots taken by requests of an earlier holder or of a dead instance. */
static void
count_phantoms (struct worker *w, int64_t busy)
{
  struct member *m;
  int64_t known = 0;

  TAILQ_FOREACH (m, &w->members, on_worker)
    known++;
  w->used.slots -= w->unknown_slots;
  w->unknown_slots = busy > known ? busy - known : 0;
  w->used.slots += w->unknown_slots;
}

/* A start that the report does not list never arrived, or arrives late. */
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

static void
worker_live (struct sched *s, struct worker *w)
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
  worker_live (s, w);
  w->leaving |= rep->leaving;
  if (w->inst.kind == INST_EXECUTOR)
    {
      count_phantoms (w, rep->busy_slots);
      return;
    }
  if (w->boot != rep->boot)
    worker_boot (s, w, rep->boot);
  for (size_t i = 0; i < rep->n_runs; i++)
    run_report (s, w, &rep->runs[i]);
  check_unlisted (w, seq);
}

/* Silence. */

static int64_t
gone_after_ms (const struct worker *w, const struct sched *s)
{
  int64_t wait = TASK_LEASE_MS + SYNC_TIMEOUT_MS + CLOCK_MARGIN_MS;

  /* An earlier holder may have renewed leases for a while after its own. */
  if (!w->answered)
    return s->started_ms + LAPSED_RENEW_MS + wait;
  return w->expiring_since_ms + wait;
}

static void
worker_gone (struct sched *s, struct worker *w)
{
  struct member *m;

  w->state = WORKER_LOST;
  sched_event (s, WHY_WORKER_LOST, "", "", w->inst.id, 0);
  /* Its slots are given back by the entry instances that use them. */
  if (w->inst.kind == INST_EXECUTOR)
    return;
  while ((m = TAILQ_FIRST (&w->members)))
    {
      int end = m->state == MEMBER_INTENT ? MEMBER_END_NOT_STARTED
                                          : MEMBER_END_LOST;
      member_ended (s, m, end);
      task_evaluate (s, m->task);
    }
}

static void
check_silence (struct sched *s, struct worker *w)
{
  int64_t silent = s->now_ms - w->last_contact_ms;

  if (w->state == WORKER_LIVE && silent >= WORKER_UNREACHABLE_MS)
    w->state = WORKER_UNREACHABLE;
  if (w->state <= WORKER_UNREACHABLE && silent >= WORKER_EXPIRING_MS)
    {
      w->state = WORKER_EXPIRING;
      w->expiring_since_ms = s->now_ms;
    }
  if (w->state == WORKER_EXPIRING && s->now_ms >= gone_after_ms (w, s))
    worker_gone (s, w);
}

/* A leaving worker is given nothing that it has not got already. */
static void
leave_alone (struct sched *s, struct worker *w)
{
  struct member *m;

  TAILQ_FOREACH (m, &w->members, on_worker)
    if (m->state == MEMBER_INTENT)
      {
        struct task *t = m->task;
        task_stop_members (s, t);
        task_evaluate (s, t);
        return; /* the list has changed; the rest at the next tick */
      }
}

void
recon_tick (struct sched *s)
{
  struct worker *w;
  struct worker *next;

  RB_FOREACH_SAFE (w, worker_tree, &s->pool.workers, next)
    {
      check_silence (s, w);
      if (w->leaving && w->inst.kind == INST_WORKER)
        leave_alone (s, w);
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
