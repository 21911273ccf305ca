/*
 * Calls from entry instances: submit, status, cancel and why for tasks,
 * acquire and release for the slots of service requests.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum time that a status call waits for the task's end. */
  STATUS_WAIT_MAX_MS = 600000,
};

/* Replies to a call with an error.  @err is an enum clb_err, @reason an enum
   clb_reason. */
static void
reply_err (struct sched *s, const char *entry, int64_t call_seq, int err,
           int reason)
{
  struct reply r = {
    .call_seq = call_seq,
    .err = err,
    .reason = reason,
    .retry_ms = clb_err_http (err) == 503 ? RETRY_HINT_MS : 0,
  };

  sched_reply (s, entry, &r);
}

/* Returns whether the call describes the same work as the task. */
static bool
same_spec (const struct task *t, const struct call *c)
{
  char *task_text = codec_text (&spec_desc, &t->spec);
  char *call_text = codec_text (&spec_desc, &c->spec);
  bool specs_equal = strcmp (task_text, call_text) == 0;

  free (task_text);
  free (call_text);
  return specs_equal;
}

/* Finds the recorded task with the call's team and request id.  Returns NULL
   if there is none. */
static struct task *
find_task_by_request (struct sched *s, const struct call *c)
{
  struct task key = { .team = sched_team (s, c->team) };

  key.spec = c->spec;
  return RB_FIND (request_tree, &s->requests, &key);
}

/* Creates a task with id @id from the call's description.  It is neither
   queued nor journaled. */
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

/* Replies to a call for new work whose request id already belongs to task
   @t. */
static void
reply_duplicate (struct sched *s, const char *entry, const struct call *c,
                 struct task *t)
{
  if (!same_spec (t, c))
    {
      reply_err (s, entry, c->seq, CLB_EDUP, WHY_DUPLICATE);
      return;
    }
  s->stats.reasons[WHY_DUPLICATE]++;
  struct reply r = task_reply_now (t, c->seq);
  r.reason = WHY_DUPLICATE;
  if (c->verb == CALL_ACQUIRE)
    r.err = CLB_ERECORDED;
  /* An accept that is not durable may yet fail, so the reply waits for it. */
  if (t->accept_durable)
    sched_reply (s, entry, &r);
  else
    {
      struct effect *e = journal_add_effect (s, EFFECT_REPLY, t->id);
      clb_copy (e->entry, entry, sizeof e->entry);
      e->reply = r;
    }
}

/* Returns the enum clb_err with which a call for new work must be refused; 0
   if it may be accepted. */
static int
refusal_err (struct sched *s, const struct call *c)
{
  struct team *team = sched_team (s, c->team);

  /* Recorded work cannot be accepted until the table service answers again,
     since its accept must be written to the journal. */
  if (!s->store_up && (c->verb == CALL_SUBMIT || !c->idempotent))
    return CLB_EUNAVAIL;
  if (journal_full (s) || s->n_tasks >= TASKS_MAX)
    return CLB_EFULL;
  if (c->max_waiting > 0 && team->waiting >= c->max_waiting)
    return CLB_EFULL;
  return 0;
}

/* Creates a recorded task with id @id for the call and journals its accept. */
static struct task *
accept_recorded_task (struct sched *s, const char *id, const struct call *c)
{
  struct task *t = task_from_call (s, id, c);

  t->recorded = true;
  t->state = TASK_PENDING;
  t->reason = WHY_ACCEPTED;
  RB_INSERT (request_tree, &s->requests, t);
  task_journal (s, t, REC_ACCEPT);
  journal_add_effect (s, EFFECT_ACCEPT, t->id);
  return t;
}

/* Replies to a call for new work if its request is known or must be refused.
   @known is the task accepted for the request; NULL: none.  Returns whether a
   reply was sent, in which case no task must be created. */
static bool
reply_if_known_or_refused (struct sched *s, const char *entry,
                           const struct call *c, struct task *known)
{
  int err;

  if (known)
    {
      reply_duplicate (s, entry, c, known);
      return true;
    }
  err = refusal_err (s, c);
  if (err)
    reply_err (s, entry, c->seq, err, WHY_NO_ROOM);
  return err != 0;
}

/* Handles a call that submits a task.  The reply is sent once the accept is
   durable. */
static void
handle_submit (struct sched *s, const char *entry, const struct call *c)
{
  char id[CLB_ID_MAX];
  struct task *t;

  if (reply_if_known_or_refused (s, entry, c, find_task_by_request (s, c)))
    return;
  snprintf (id, sizeof id, "%s.%lld.%lld", s->domain, (long long)s->epoch,
            (long long)++s->last_id);
  t = accept_recorded_task (s, id, c);
  if (c->spec.deadline_ms > 0)
    t->expires_ms = s->now_ms + c->spec.deadline_ms;
  task_reply_durable (s, t, entry, c->seq);
}

/* Adds the call to those that wait for the task's end or, for a service
   request, for its slot. */
static void
add_waiter (struct sched *s, struct task *t, const char *entry,
            const struct call *c)
{
  struct waiter *waiter;

  /* An entry instance may repeat a call that already waits. */
  TAILQ_FOREACH (waiter, &t->waiters, link)
    if (waiter->call_seq == c->seq && strcmp (waiter->entry, entry) == 0)
      return;
  waiter = calloc (1, sizeof *waiter);
  if (!waiter)
    abort ();
  clb_copy (waiter->entry, entry, sizeof waiter->entry);
  waiter->call_seq = c->seq;
  waiter->call_sent_ms = c->sent_ms;
  waiter->expires_ms
      = s->now_ms
        + (c->wait_ms < STATUS_WAIT_MAX_MS ? c->wait_ms : STATUS_WAIT_MAX_MS);
  TAILQ_INSERT_TAIL (&t->waiters, waiter, link);
}

void
service_reply (struct sched *s, struct task *t, const char *entry,
               int64_t call_seq, int64_t call_sent_ms)
{
  const struct worker *w = t->members[0].worker;
  struct reply r = task_reply (t, call_seq);

  clb_copy (r.executor, w->inst.id, sizeof r.executor);
  clb_copy (r.addr, w->inst.addr, sizeof r.addr);
  r.call_sent_ms = call_sent_ms;
  if (!t->recorded)
    {
      sched_reply (s, entry, &r);
      return;
    }
  struct effect *e = journal_add_effect (s, EFFECT_REPLY, t->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply = r;
}

/* Handles an acquire call whose task @t exists already.  An entry instance
   repeats such a call if the domain's lease has a new holder or the reply was
   lost. */
static void
handle_repeated_acquire (struct sched *s, const char *entry,
                         const struct call *c, struct task *t)
{
  if (task_state_final (t->state))
    reply_err (s, entry, c->seq, CLB_ERECORDED, t->reason);
  else if (t->n_members > 0 && t->members[0].worker)
    service_reply (s, t, entry, c->seq, c->sent_ms);
  else if (TAILQ_EMPTY (&t->waiters))
    add_waiter (s, t, entry, c);
  else
    TAILQ_FIRST (&t->waiters)->call_sent_ms = c->sent_ms;
}

/* Handles a call that acquires a slot for a service request.  The reply is
   sent once a slot is free. */
static void
handle_acquire (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (t)
    {
      handle_repeated_acquire (s, entry, c, t);
      return;
    }
  if (!c->idempotent)
    t = find_task_by_request (s, c);
  if (reply_if_known_or_refused (s, entry, c, t))
    return;
  if (!c->idempotent)
    t = accept_recorded_task (s, c->id, c);
  else
    {
      t = task_from_call (s, c->id, c);
      t->accept_durable = true;
      task_enqueue (s, t);
    }
  t->expires_ms = s->now_ms + c->wait_ms;
  add_waiter (s, t, entry, c);
}

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
      task_finish (s, t, TASK_CANCELLED, WHY_CANCELLED);
      return;
    }
  for (int64_t i = 0; i < t->n_members; i++)
    member_finish (s, &t->members[i], end);
  task_evaluate (s, t);
}

/* Handles a call that releases the slot of a service request and says how the
   request has ended. */
static void
handle_release (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);
  struct effect *e;

  if (t && t->n_members > 0 && t->members[0].worker)
    recon_service_end (s, t->members[0].worker, c->executor_failed);
  if (t && !task_state_final (t->state))
    service_release (s, t, c->state);
  e = journal_add_effect (s, EFFECT_REPLY, c->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply.call_seq = c->seq;
}

/* Handles a call that cancels task @t.  The reply is sent once the open
   journal group is durable. */
static void
handle_cancel (struct sched *s, const char *entry, const struct call *c,
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
    task_finish (s, t, TASK_CANCELLED, WHY_CANCELLED);
  else
    {
      t->state = TASK_STOPPING;
      task_stop_members (s, t);
      task_evaluate (s, t);
    }
  task_reply_durable (s, t, entry, c->seq);
}

/* Handles a call for the recorded decisions about task @t. */
static void
handle_why (struct sched *s, const char *entry, const struct call *c,
            const struct task *t)
{
  struct reply r = task_reply_now (t, c->seq);

  r.text = sched_why (s, t->id);
  sched_reply (s, entry, &r);
}

/* Returns whether the call may see the task.  A call that was made without a
   key is marked open_only and may see the tasks of open queues.  An operator's
   call names no team and may see every task.  Any other call may see the tasks
   of its team. */
static bool
may_see_task (const struct sched *s, const struct call *c,
              const struct task *t)
{
  const struct conf_queue *q = conf_queue (s->conf, t->spec.queue);

  if (c->open_only)
    return q && q->open;
  return !*c->team || strcmp (t->team->name, c->team) == 0;
}

/* Handles a call about an existing task, that is status, cancel or why. */
static void
handle_task_call (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (!t || !may_see_task (s, c, t))
    reply_err (s, entry, c->seq, CLB_ENOTFOUND, WHY_NONE);
  else if (c->verb == CALL_CANCEL)
    handle_cancel (s, entry, c, t);
  else if (c->verb == CALL_WHY)
    handle_why (s, entry, c, t);
  else if (c->wait_ms > 0 && !task_state_final (t->state))
    add_waiter (s, t, entry, c);
  else if (c->wait_ms > 0 && !t->end_durable)
    task_reply_durable (s, t, entry, c->seq);
  else
    {
      struct reply r = task_reply_now (t, c->seq);
      sched_reply (s, entry, &r);
    }
}

void
sched_handle_call (struct sched *s, const char *entry, const struct call *c)
{
  bool new_work = c->verb == CALL_SUBMIT || c->verb == CALL_ACQUIRE;

  /* Refuse the call if the scheduler is not ready, or if this instance's lease
     of the domain has lapsed (may_start is false), since the state may then be
     out of date.  While the domain is being handed over (stopping is true),
     refuse only new work, which is left to the successor. */
  if (s->phase != SCHED_READY || !s->may_start || (s->stopping && new_work))
    {
      reply_err (s, entry, c->seq, CLB_ENOHOLDER, WHY_NONE);
      return;
    }
  switch (c->verb)
    {
    case CALL_SUBMIT:
      handle_submit (s, entry, c);
      break;
    case CALL_ACQUIRE:
      handle_acquire (s, entry, c);
      break;
    case CALL_RELEASE:
      handle_release (s, entry, c);
      break;
    default:
      handle_task_call (s, entry, c);
      break;
    }
}

/* Handling of service slots that an earlier lease holder granted. */

void
sched_used_slots (struct sched *s, const struct held_list *held)
{
  for (size_t i = 0; i < held->n_items; i++)
    {
      const struct held_slot *slot = &held->items[i];
      struct worker *w = pool_find_worker (&s->pool, slot->executor);
      if (sched_task (s, slot->id) || !w)
        continue;
      struct task *t = task_new (s, slot->id, slot->team);
      t->lane = LANE_SERVICE;
      t->idempotent = true;
      t->accept_durable = true;
      t->spec.members = 1;
      t->spec.need.slots = 1;
      t->spec.duration_ms = slot->run_ms;
      clb_res_add (&w->used, &t->spec.need, 1);
      task_place (s, t, &w);
      t->state = TASK_RUNNING;
      t->expires_ms = task_slot_expiry_ms (s, t);
    }
}
