/* What entry instances ask of a domain's scheduler. */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ASKER_MAX_MS = 600000, /* longest wait for a task's end */
};

static void
reply_err (struct sched *s, const char *entry, int64_t no, int err, int reason)
{
  struct reply r = {
    .call_seq = no,
    .err = err,
    .reason = reason,
    .retry_ms = clb_err_http (err) == 503 ? RETRY_HINT_MS : 0,
  };

  sched_reply (s, entry, &r);
}

static bool
same_request (const struct task *t, const struct call *c)
{
  char *a = codec_text (&spec_desc, &t->spec);
  char *b = codec_text (&spec_desc, &c->spec);
  bool same = strcmp (a, b) == 0;

  free (a);
  free (b);
  return same;
}

static struct task *
find_request (struct sched *s, const struct call *c)
{
  struct task key = { .team = sched_team (s, c->team) };

  key.spec = c->spec;
  return RB_FIND (request_tree, &s->requests, &key);
}

static struct task *
task_from_call (struct sched *s, const char *id, const struct call *c)
{
  struct task *t = task_new (s, id, c->team);

  t->spec = c->spec;
  t->class = c->class;
  t->lane = c->lane;
  t->idempotent = c->idempotent;
  return t;
}

static void
answer_known (struct sched *s, const char *entry, const struct call *c,
              struct task *t)
{
  if (!same_request (t, c))
    {
      reply_err (s, entry, c->seq, CLB_EDUP, WHY_DUPLICATE);
      return;
    }
  s->stats.reasons[WHY_DUPLICATE]++;
  struct reply r = task_reply_now (t, c->seq);
  r.reason = WHY_DUPLICATE;
  if (c->verb == CALL_ACQUIRE)
    r.err = CLB_ERECORDED;
  /* Its accept may still be on the way to the table. */
  if (t->accept_durable)
    sched_reply (s, entry, &r);
  else
    {
      struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);
      clb_copy (e->entry, entry, sizeof e->entry);
      e->reply = r;
    }
}

static int
call_refused (struct sched *s, const struct call *c)
{
  struct team *team = sched_team (s, c->team);

  /* What needs a record could only be left waiting. */
  if (!s->store_up && (c->verb == CALL_SUBMIT || !c->idempotent))
    return CLB_EUNAVAIL;
  if (journal_full (s) || s->n_tasks >= TASKS_MAX)
    return CLB_EFULL;
  if (c->max_waiting > 0 && team->waiting >= c->max_waiting)
    return CLB_EFULL;
  return 0;
}

static struct task *
accept_recorded (struct sched *s, const char *id, const struct call *c)
{
  struct task *t = task_from_call (s, id, c);

  t->recorded = true;
  t->state = TASK_PENDING;
  t->reason = WHY_ACCEPTED;
  RB_INSERT (request_tree, &s->requests, t);
  task_journal (s, t, REC_ACCEPT);
  journal_effect (s, EFFECT_ACCEPT, t->id);
  return t;
}

/* True when the call has its answer: its request is known, or refused. */
static bool
answered_at_once (struct sched *s, const char *entry, const struct call *c,
                  struct task *known)
{
  int err;

  if (known)
    {
      answer_known (s, entry, c, known);
      return true;
    }
  err = call_refused (s, c);
  if (err)
    reply_err (s, entry, c->seq, err, WHY_NO_ROOM);
  return err != 0;
}

static void
call_submit (struct sched *s, const char *entry, const struct call *c)
{
  char id[CLB_ID_MAX];
  struct task *t;

  if (answered_at_once (s, entry, c, find_request (s, c)))
    return;
  snprintf (id, sizeof id, "%s.%lld.%lld", s->domain, (long long)s->epoch,
            (long long)++s->next_id);
  t = accept_recorded (s, id, c);
  if (c->spec.deadline_ms > 0)
    t->expires_ms = s->now_ms + c->spec.deadline_ms;
  task_reply_durable (s, t, entry, c->seq);
}

static void
add_asker (struct sched *s, struct task *t, const char *entry,
           const struct call *c)
{
  struct waiter *a;

  /* The same call sent again. */
  TAILQ_FOREACH (a, &t->waiters, link)
    if (a->call_seq == c->seq && strcmp (a->entry, entry) == 0)
      return;
  a = calloc (1, sizeof *a);
  if (!a)
    abort ();
  clb_copy (a->entry, entry, sizeof a->entry);
  a->call_seq = c->seq;
  a->stamp = c->sent_ms;
  a->expires_ms
      = s->now_ms + (c->wait_ms < ASKER_MAX_MS ? c->wait_ms : ASKER_MAX_MS);
  TAILQ_INSERT_TAIL (&t->waiters, a, link);
}

void
service_reply (struct sched *s, struct task *t, const char *entry, int64_t no,
               int64_t stamp)
{
  const struct worker *w = t->members[0].worker;
  struct reply r = task_reply (t, no);

  clb_copy (r.executor, w->inst.id, sizeof r.executor);
  clb_copy (r.addr, w->inst.addr, sizeof r.addr);
  r.call_sent_ms = stamp;
  if (!t->recorded)
    {
      sched_reply (s, entry, &r);
      return;
    }
  struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply = r;
}

/* The same call again, after a change of holder or a lost answer. */
static void
acquire_again (struct sched *s, const char *entry, const struct call *c,
               struct task *t)
{
  if (task_state_final (t->state))
    reply_err (s, entry, c->seq, CLB_ERECORDED, t->reason);
  else if (t->n_members > 0 && t->members[0].worker)
    service_reply (s, t, entry, c->seq, c->sent_ms);
  else if (TAILQ_EMPTY (&t->waiters))
    add_asker (s, t, entry, c);
  else
    TAILQ_FIRST (&t->waiters)->stamp = c->sent_ms;
}

/* A service request asks for a slot; the answer comes when one is free. */
static void
call_acquire (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (t)
    {
      acquire_again (s, entry, c, t);
      return;
    }
  if (!c->idempotent)
    t = find_request (s, c);
  if (answered_at_once (s, entry, c, t))
    return;
  if (!c->idempotent)
    t = accept_recorded (s, c->id, c);
  else
    {
      t = task_from_call (s, c->id, c);
      t->accept_durable = true;
      task_enqueue (s, t);
    }
  t->expires_ms = s->now_ms + c->wait_ms;
  add_asker (s, t, entry, c);
}

/* The entry instance says how its service request ended. */
void
service_release (struct sched *s, struct task *t, int state)
{
  int end = MEMBER_END_OK;

  if (state == TASK_CANCELLED)
    end = MEMBER_END_NOT_STARTED;
  else if (state == TASK_FAILED)
    end = MEMBER_END_FAILED;
  else if (state == TASK_UNKNOWN)
    end = MEMBER_END_LOST;
  if (t->n_members == 0)
    {
      task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
      return;
    }
  for (int64_t i = 0; i < t->n_members; i++)
    member_ended (s, &t->members[i], end);
  task_evaluate (s, t);
}

static void
call_release (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);
  struct effect *e;

  if (t && t->n_members > 0 && t->members[0].worker)
    recon_service_end (s, t->members[0].worker, c->executor_failed);
  if (t && !task_state_final (t->state))
    service_release (s, t, c->state);
  e = journal_effect (s, EFFECT_REPLY, c->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply.call_seq = c->seq;
}

static void
call_cancel (struct sched *s, const char *entry, const struct call *c,
             struct task *t)
{
  if (task_state_final (t->state) || t->cancelled)
    {
      task_reply_durable (s, t, entry, c->seq);
      return;
    }
  if (!t->accept_durable)
    {
      reply_err (s, entry, c->seq, CLB_ENOTFOUND, WHY_NONE);
      return;
    }
  t->cancelled = true;
  task_journal (s, t, REC_CANCEL);
  if (t->n_members == 0)
    task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
  else
    {
      t->state = TASK_STOPPING;
      task_stop_members (s, t);
      task_evaluate (s, t);
    }
  task_reply_durable (s, t, entry, c->seq);
}

static void
call_why (struct sched *s, const char *entry, const struct call *c,
          const struct task *t)
{
  struct reply r = task_reply_now (t, c->seq);

  r.text = sched_why (s, t->id);
  sched_reply (s, entry, &r);
}

/* An operator's call names no team; a call without a key is marked. */
static bool
may_ask (const struct sched *s, const struct call *c, const struct task *t)
{
  const struct conf_queue *q = conf_queue (s->conf, t->spec.queue);

  if (c->open_only)
    return q && q->open;
  return !*c->team || strcmp (t->team->name, c->team) == 0;
}

static void
call_about (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (!t || !may_ask (s, c, t))
    reply_err (s, entry, c->seq, CLB_ENOTFOUND, WHY_NONE);
  else if (c->verb == CALL_CANCEL)
    call_cancel (s, entry, c, t);
  else if (c->verb == CALL_WHY)
    call_why (s, entry, c, t);
  else if (c->wait_ms > 0 && !task_state_final (t->state))
    add_asker (s, t, entry, c);
  else if (c->wait_ms > 0 && !t->end_durable)
    task_reply_durable (s, t, entry, c->seq);
  else
    {
      struct reply r = task_reply_now (t, c->seq);
      sched_reply (s, entry, &r);
    }
}

void
sched_call (struct sched *s, const char *entry, const struct call *c)
{
  bool new_work = c->verb == CALL_SUBMIT || c->verb == CALL_ACQUIRE;

  /* What a lapsed holder knows may be out of date; one that hands over leaves
     new work to its successor. */
  if (s->phase != SCHED_READY || !s->may_start || (s->stopping && new_work))
    {
      reply_err (s, entry, c->seq, CLB_ENOHOLDER, WHY_NONE);
      return;
    }
  switch (c->verb)
    {
    case CALL_SUBMIT:
      call_submit (s, entry, c);
      break;
    case CALL_ACQUIRE:
      call_acquire (s, entry, c);
      break;
    case CALL_RELEASE:
      call_release (s, entry, c);
      break;
    default:
      call_about (s, entry, c);
      break;
    }
}

/* Service slots across a change of holder or entry instance. */

void
sched_used_slots (struct sched *s, const struct held_list *held)
{
  for (size_t i = 0; i < held->n_items; i++)
    {
      const struct held_slot *h = &held->items[i];
      struct worker *w = pool_worker (&s->pool, h->executor);
      if (sched_task (s, h->id) || !w)
        continue;
      struct task *t = task_new (s, h->id, h->team);
      t->lane = LANE_SERVICE;
      t->idempotent = true;
      t->accept_durable = true;
      t->spec.members = 1;
      t->spec.need.slots = 1;
      t->spec.duration_ms = h->run_ms;
      clb_res_add (&w->used, &t->spec.need, 1);
      task_place (s, t, &w);
      t->state = TASK_RUNNING;
      t->expires_ms = task_slot_expiry_ms (s, t);
    }
}
