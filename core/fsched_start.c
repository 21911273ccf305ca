/*
 * Starts of tasks.  A start is sent to an executor, which then lists the run
 * as running and later as ended.  If the answer to a start is lost, the
 * executor's next list of runs decides: if the list contains the run, the
 * start is confirmed; if not, the start is sent again, or the run is stopped
 * by its id.  An executor never starts a run that was stopped.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

/* Adds the need of one task of step @s to @to, or subtracts it if @sign is
   -1. */
static void
adjust_need (struct job_need *to, const struct job_step *s, int sign)
{
  /* Tasks with best_effort_cpu run on cores that other tasks leave idle. */
  if (!s->best_effort_cpu)
    to->millicores += sign * s->need.millicores;
  to->mem_mb += sign * s->need.mem_mb;
  to->accels += sign * s->need.accels;
}

/* Adds the need of a start to the capacity used on its executor and by its
   client account, or subtracts it if @sign is -1. */
static void
adjust_use (const struct start *r, int sign)
{
  const struct job_step *s = &r->job->spec.steps[r->step];

  adjust_need (&r->exec->used, s, sign);
  account_add (r->job->account, &s->need, sign);
}

/* Counts a start as pending, or no longer.  The next placing pass is due when
   the number of pending starts falls below its maximum. */
static void
set_pending (struct fsched *fs, struct start *r, bool pending)
{
  if (r->pending == pending)
    return;
  r->pending = pending;
  if (pending)
    r->exec->due_ms = 0;
  fs->n_pending_starts += pending ? 1 : -1;
  if (!pending && fs->n_pending_starts == FSCHED_PENDING_STARTS_MAX - 1)
    fs->pass_due = true;
}

void
start_count_unanswered (struct start *r)
{
  bool unanswered = r->state == START_SENT && r->order_id;

  r->exec->n_unanswered += unanswered - r->unanswered;
  r->unanswered = unanswered;
}

void
start_mark_job_started (struct job *j)
{
  j->task_started = true;
  if (j->state == JOB_PENDING)
    j->state = JOB_RUNNING;
}

struct start *
start_new (struct fsched *fs, struct job *j, int step, int index,
           struct exec *e, int64_t run_id, int state)
{
  struct start *r = calloc (1, sizeof *r);
  struct jtask *t = &j->steps[step].tasks[index];

  if (!r)
    abort ();
  r->job = j;
  r->exec = e;
  r->step = step;
  r->index = index;
  r->run_id = run_id;
  r->boot_start_ms = e->boot_start_ms;
  r->state = state;
  r->sent_ms = fs->now_ms;
  r->percent_changed_ms = fs->now_ms;
  r->stop_outcome = -1;
  if (state == START_INTENT)
    r->resume = checkpoint_ref (resume_point (j, step, index));
  t->run = r;
  if (run_id >= t->next_run_id)
    t->next_run_id = (int32_t)run_id + 1;
  j->n_runs++;
  if (state == START_ACKED)
    start_mark_job_started (j);
  set_pending (fs, r, state == START_INTENT);
  j->steps[step].n_running += !t->done;
  j->steps[step].n_queries = 0;
  j->steps[step].held_back_ms = 0;
  j->steps[step].passed_millicores = 0;
  TAILQ_INSERT_TAIL (&e->runs, r, exec_link);
  e->due_ms = 0;
  adjust_use (r, 1);
  return r;
}

void
start_drop_resume (struct start *r)
{
  checkpoint_unref (r->resume);
  r->resume = NULL;
}

void
start_free (struct start *r)
{
  start_drop_resume (r);
  free (r);
}

void
start_stop_gang (struct fsched *fs, struct job *j, int step)
{
  struct jstep *s = &j->steps[step];

  for (int i = 0; i < s->n_tasks; i++)
    if (s->tasks[i].run)
      start_stop (fs, s->tasks[i].run);
}

bool
start_in_gang (const struct start *r)
{
  return r->job->spec.steps[r->step].gang
         && r->job->steps[r->step].n_tasks > 1;
}

void
start_stop_with_gang (struct fsched *fs, struct start *r)
{
  if (r->job->spec.steps[r->step].gang)
    start_stop_gang (fs, r->job, r->step);
  else
    start_stop (fs, r);
}

/* Adds the time of a run that has ended to the statistics of its step. */
static void
add_run_time (const struct fsched *fs, const struct start *r, int run_end)
{
  struct jstep *s = &r->job->steps[r->step];
  int64_t ran_ms = fs->now_ms - r->sent_ms;

  if (run_end == RUN_END_DONE && ran_ms > s->longest_run_ms)
    s->longest_run_ms = ran_ms;
  if (run_end != RUN_END_FAILED)
    return;
  if (r->job->spec.steps[r->step].gang)
    s->failed_ms += ran_ms;
  else if (ran_ms > s->failed_ms)
    s->failed_ms = ran_ms;
  urgency_expire (r->job);
}

void
start_note_end (struct jtask *t, const struct job_end *end, bool lost)
{
  if (end->run_id < t->ended.run_id)
    return;
  t->ended = *end;
  t->ended_lost |= lost;
}

void
start_revoke_end (struct fsched *fs, const struct start *r)
{
  struct jtask *t = start_get_task (r);

  if (r->run_id > t->ended.run_id)
    return;
  t->ended_lost = true;
  if (!job_state_final (r->job->state))
    progress_mark_task (fs, r->job, r->step, r->index);
}

/* Notes the end of the run of @r.  It is recorded if the executor did not
   report it: a new leader would wait for an executor that may not answer.
   Later ends of the task are recorded as well: for a run that never started, a
   new leader could count another crash. */
static void
note_end (struct fsched *fs, const struct start *r, int run_end)
{
  struct job_end end = { .run_id = r->run_id, .how = run_end };
  struct jtask *t = start_get_task (r);

  start_note_end (t, &end,
                  run_end == RUN_END_REBOOTED || run_end == RUN_END_LAPSED);
  if (t->ended_lost && !job_state_final (r->job->state))
    progress_mark_task (fs, r->job, r->step, r->index);
}

int64_t
start_copies_until_ms (const struct start *r)
{
  return r->tries > r->n_settled ? r->copies_until_ms : 0;
}

/* Returns for how long after the claim a copy of a start order may be carried
   out that an earlier leader has sent. */
static int64_t
inherited_copy_lifetime_ms (const struct start *r)
{
  const struct job_spec *spec = &r->job->spec;
  int64_t ms = FSCHED_ORDER_LATE_MS;

  if (spec->advice.base_ms > 0 && spec->advice.valid_ms > 0
      && spec->advice.valid_ms < ms)
    ms = spec->advice.valid_ms;
  return ms + FSCHED_CLOCK_MARGIN_MS;
}

/* Returns whether a run ends without a list that shows it. */
static bool
run_was_not_listed (int run_end)
{
  return run_end == RUN_END_NOT_STARTED || run_end == RUN_END_REBOOTED
         || run_end == RUN_END_LAPSED;
}

/* Notes that copies of the start order of @r, which ends, may be carried
   out.  Until they no longer may, no end of the task is acknowledged, on
   whichever executor. */
static void
note_copies (struct fsched *fs, const struct start *r, int run_end)
{
  int64_t until_ms = start_copies_until_ms (r);
  struct jtask *t = start_get_task (r);

  if (r->inherited && run_was_not_listed (run_end))
    until_ms = fs->claimed_ms + inherited_copy_lifetime_ms (r);
  /* Most inherited runs that an executor has lost were answered. */
  if (until_ms > fs->now_ms && !(r->inherited && run_end == RUN_END_REBOOTED))
    intent_add_copies (fs, r, until_ms);
  /* Copies of another run.  The next leader may not know the task any more. */
  if (t->copies_until_ms > fs->now_ms && t->copies_until_ms > until_ms)
    intent_add_copies (fs, r, t->copies_until_ms);
  if (until_ms > t->copies_until_ms)
    t->copies_until_ms = until_ms;
  if (t->copies_until_ms > r->exec->copies_until_ms)
    r->exec->copies_until_ms = t->copies_until_ms;
}

void
start_end (struct fsched *fs, struct start *r, int run_end)
{
  struct job *j = r->job;
  int step = r->step;
  int index = r->index;
  int64_t run_id = r->run_id;
  struct pending_order key = { .id = r->order_id };
  struct pending_order *p = RB_FIND (pending_order_tree, &fs->orders, &key);
  char saved[CHECKPOINT_PRINT_SIZE];

  if (p)
    p->run = NULL;
  /* True if executors may still run the other members of the gang. */
  bool others_may_run
      = run_end == RUN_END_NOT_STARTED || run_end == RUN_END_REBOOTED
        || run_end == RUN_END_LAPSED || run_end == RUN_END_GANG_INCOMPLETE;

  fs->stats->ends[run_end]++;
  checkpoint_print (resume_point (j, step, index), saved);
  out_line (fs->out,
            "event=end job=%s step=%d task=%d run=%lld exec=%s result=%s "
            "ran_ms=%lld state=%d inherited=%d stops=%d boot=%lld saved=%s",
            j->spec.id, step, index, (long long)run_id, r->exec->rep.id,
            run_end_names[run_end], (long long)(fs->now_ms - r->sent_ms),
            r->state, r->inherited, r->n_stops, (long long)r->boot_start_ms,
            saved);
  add_run_time (fs, r, run_end);
  note_copies (fs, r, run_end);
  adjust_use (r, -1);
  r->exec->n_unanswered -= r->unanswered;
  set_pending (fs, r, false);
  intent_ended (fs, r);
  TAILQ_REMOVE (&r->exec->runs, r, exec_link);
  start_get_task (r)->run = NULL;
  j->n_runs--;
  j->steps[step].n_running -= !start_get_task (r)->done;
  if (run_end == RUN_END_FAILED)
    exec_count_failure (fs, r->exec);
  else if (run_end == RUN_END_DONE)
    exec_count_success (r->exec);
  else if (run_end == RUN_END_REBOOTED)
    crash_count (fs, r);
  note_end (fs, r, run_end);
  start_free (r);
  if (others_may_run && j->spec.steps[step].gang)
    start_stop_gang (fs, j, step);
  fsched_task_ended (fs, j, step, index, run_id, run_end);
  lists_adopt_orphan (fs, j, step, index);
}

/* Sets the task and run id of an order to those of a start. */
static void
set_task (struct order *o, const struct start *r)
{
  clb_copy (o->task.job, r->job->spec.id, sizeof o->task.job);
  o->task.step = r->step;
  o->task.index = r->index;
  o->run_id = r->run_id;
}

/* Returns the ticket with which the start is sent, or NULL. */
static const struct permit *
start_permit (const struct start *r)
{
  const struct jstep *s = &r->job->steps[r->step];

  return r->exec->index < s->n_permits && s->permits[r->exec->index].ticket
             ? &s->permits[r->exec->index]
             : NULL;
}

/* Returns for how long a copy of the start order may be carried out that is
   sent now.  With a ticket, the executor refuses it once that has expired. */
static int64_t
copy_lifetime_ms (const struct permit *permit)
{
  int64_t ms = FSCHED_ORDER_LATE_MS;

  if (permit && permit->lifetime_ms < ms)
    ms = permit->lifetime_ms;
  return ms + FSCHED_CLOCK_MARGIN_MS;
}

void
start_send (struct fsched *fs, struct start *r)
{
  struct pending_order *pend;
  struct order *o;
  struct jstep *s = &r->job->steps[r->step];
  const struct permit *permit = start_permit (r);
  struct job_need limit = account_limit (fs, r->job->account);
  char saved[CHECKPOINT_PRINT_SIZE];

  /* A boot that has carried the start out refuses these polls. */
  if (r->exec->n_acks_out)
    exec_raise_token (r->exec);
  o = fsched_order_new (fs, ORDER_START, r->exec, &pend);
  pend->run = r;
  r->order_id = o->id;
  set_task (o, r);
  o->payload = strdup (r->job->spec.payload ? r->job->spec.payload : "");
  o->lease_deadline_ms = exec_clock_now (fs, r->exec) + FSCHED_LEASE_MS;
  r->deadline_ms = o->lease_deadline_ms;
  if (o->lease_deadline_ms > r->exec->lease_deadline_ms)
    r->exec->lease_deadline_ms = o->lease_deadline_ms;
  o->checkpoint = checkpoint_ref (r->resume);
  s->resumed |= r->resume != NULL;
  if (permit)
    o->ticket = strdup (permit->ticket);
  if (r->tries == 0)
    r->sent_wall_ms = fs->now_ms + fs->wall_offset_ms;
  fs->stats->starts += r->tries++ == 0;
  r->last_sent_ms = fs->now_ms;
  if (fs->now_ms + copy_lifetime_ms (permit) > r->copies_until_ms)
    r->copies_until_ms = fs->now_ms + copy_lifetime_ms (permit);
  r->n_exec_boots = r->exec->n_boots;
  r->fencing_token = o->fencing_token;
  set_pending (fs, r, true);
  start_count_unanswered (r);
  domain_start_sent (fs, r->exec);
  checkpoint_print (o->checkpoint, saved);
  out_line (fs->out,
            "event=start job=%s step=%d task=%d run=%lld exec=%s try=%d "
            "lease_ms=%d saved=%s used=%lld/%lld contact_age_ms=%lld "
            "tenant=%s tenant_used=%lld,%lld tenant_limit=%lld,%lld "
            "config=%lld boot=%lld token=%lld",
            r->job->spec.id, r->step, r->index, (long long)r->run_id,
            r->exec->rep.id, r->tries, FSCHED_LEASE_MS, saved,
            (long long)r->exec->used.millicores,
            (long long)r->exec->rep.capacity.millicores,
            (long long)(fs->now_ms - r->exec->last_contact_ms),
            r->job->account->name, (long long)r->job->account->used.millicores,
            (long long)r->job->account->used.mem_mb,
            (long long)limit.millicores, (long long)limit.mem_mb,
            (long long)account_conf_version (fs), (long long)r->boot_start_ms,
            (long long)o->fencing_token);
}

static void
send_stop (struct fsched *fs, struct start *r)
{
  struct pending_order *pend;
  struct order *o = fsched_order_new (fs, ORDER_STOP, r->exec, &pend);

  pend->run = r;
  r->order_id = o->id;
  r->next_stop_ms = fs->now_ms + FSCHED_STOP_RETRY_MS;
  set_task (o, r);
  r->n_stops++;
  fs->stats->stops++;
}

void
start_stop (struct fsched *fs, struct start *r)
{
  if (r->state == START_STOPPING || r->state == START_DROPPED)
    return;
  if (r->state == START_INTENT)
    {
      r->state = START_DROPPED;
      return;
    }
  r->state = START_STOPPING;
  start_count_unanswered (r);
  r->exec->due_ms = 0;
  r->stopping_ms = fs->now_ms;
  r->stop_acked_ms = 0;
  r->next_stop_ms = 0;
  out_line (fs->out, "event=stop job=%s step=%d task=%d run=%lld exec=%s",
            r->job->spec.id, r->step, r->index, (long long)r->run_id,
            r->exec->rep.id);
  start_tick (fs, r);
}

/* Returns when a start without an answer counts as pending no longer. */
static int64_t
pending_until_ms (const struct start *r)
{
  return r->sent_ms
         + (r->state == START_INTENT ? FSCHED_PENDING_UNSENT_MS
                                     : FSCHED_PENDING_UNANSWERED_MS);
}

int64_t
start_due_ms (const struct start *r)
{
  int64_t due_ms = r->pending ? pending_until_ms (r) : INT64_MAX;

  if (r->state == START_STOPPING && !r->order_id && !r->stop_acked_ms
      && r->next_stop_ms < due_ms)
    due_ms = r->next_stop_ms;
  return due_ms;
}

void
start_tick (struct fsched *fs, struct start *r)
{
  if (r->pending && fs->now_ms >= pending_until_ms (r))
    set_pending (fs, r, false);
  /* No stop order is sent while the start order is unanswered: the stop could
     reach the executor first, and the leader would not notice. */
  if (r->state != START_STOPPING || r->order_id || r->stop_acked_ms
      || fs->now_ms < r->next_stop_ms || !fs->may_order)
    return;
  send_stop (fs, r);
}

/* Ends a start that the executor has refused.  @reason: enum order_refusal. */
static void
end_refused_start (struct fsched *fs, struct start *r, int reason)
{
  fs->stats->refusals[reason]++;
  out_line (fs->out,
            "event=start-refused job=%s step=%d task=%d run=%lld "
            "exec=%s reason=%s",
            r->job->spec.id, r->step, r->index, (long long)r->run_id,
            r->exec->rep.id, order_refusal_names[reason]);
  if (reason == REFUSED_TICKET)
    advice_ticket_refused (fs, r);
  start_end (fs, r, RUN_END_NOT_STARTED);
}

/* Returns whether a start whose answer was lost may be sent again.  Members of
   gangs wait for each other, so two tries must not take much longer than
   usual. */
static bool
may_try_again (const struct start *r)
{
  int max = start_in_gang (r) ? FSCHED_GANG_TRIES : FSCHED_START_TRIES;

  return r->tries < max && !r->refused
         && r->exec->answer_ms < FSCHED_CALL_TIMEOUT_MS;
}

/* Returns whether the executor may be sent the start order again. */
static bool
may_send_again (const struct fsched *fs, const struct start *r)
{
  const struct exec *e = r->exec;

  return may_try_again (r) && fs->may_order && !fs->starts_held
         && !e->unreachable && !(e->domain && e->domain->evacuated)
         && !e->rep.draining && fs->now_ms >= e->quarantine_until_ms
         && !job_state_final (r->job->state)
         && (r->job->spec.advice.base_ms <= 0
             || permit_valid (fs, &r->job->steps[r->step], e));
}

void
start_try_again (struct fsched *fs, struct start *r)
{
  if (r->resend)
    return;
  if (!may_send_again (fs, r))
    {
      start_stop_with_gang (fs, r);
      return;
    }
  intent_add_resend (fs, r, start_copies_until_ms (r));
  /* The other members do not wait for as long as the table may take. */
  if (start_in_gang (r))
    start_send_again (fs, r);
}

void
start_send_again (struct fsched *fs, struct start *r)
{
  if (r->state != START_UNCONFIRMED)
    return;
  if (!may_send_again (fs, r))
    {
      start_stop_with_gang (fs, r);
      return;
    }
  r->state = START_SENT;
  start_send (fs, r);
}

void
start_settle (struct start *r)
{
  if (!r->copy_answered && r->tries == r->n_settled + 1)
    r->n_settled++;
}

void
start_log_confirmed (const struct fsched *fs, const struct start *r,
                     const char *by)
{
  bool gang = r->job->spec.steps[r->step].gang;

  if (!r->answer_lost_ms || r->start_acked_ms)
    return;
  /* A new leader finds the most runs as the records say. */
  if (r->inherited && (!gang || !step_waiting (&r->job->steps[r->step])))
    return;
  out_line (fs->out,
            "event=start-confirmed job=%s step=%d task=%d run=%lld exec=%s "
            "by=%s inherited=%d after_ms=%lld state=%d boot=%lld",
            r->job->spec.id, r->step, r->index, (long long)r->run_id,
            r->exec->rep.id, by, r->inherited,
            (long long)(fs->now_ms - r->answer_lost_ms), r->state,
            (long long)r->exec->boot_start_ms);
}

/* Processes the result of a start order: confirms the start, ends it, or sends
   it again.
   @boot_shown: the answer has shown a new boot, whose start is not known yet
 */
static void
process_start_result (struct fsched *fs, struct start *r,
                      const struct pending_order *p,
                      const struct order_result *res, bool boot_shown)
{
  int outcome = res->outcome;

  /* A list may have settled it before. */
  if (outcome != ORDER_LOST && r->n_settled < r->tries)
    r->n_settled++;

  /* No more tasks are placed on the executor until a poll of it succeeds. */
  if (outcome == ORDER_UNREACHED
      || (outcome == ORDER_LOST && r->tries >= FSCHED_GANG_TRIES))
    exec_mark_unreachable (fs, r->exec, "order-timeout");
  if (outcome == ORDER_UNREACHED || outcome == ORDER_LOST)
    exec_ask_list (fs, r->exec);
  /* If an earlier answer was lost, the earlier copy of the start order may
     have arrived, whatever the result of this copy is. */
  if (r->answer_lost_ms && outcome != ORDER_DONE && outcome != ORDER_LOST)
    {
      r->refused = true;
      if (outcome == ORDER_BUSY)
        exec_count_failure (fs, r->exec);
      outcome = ORDER_LOST;
    }
  switch (outcome)
    {
    case ORDER_DONE:
      start_log_confirmed (fs, r, "answer");
      r->copy_answered = true;
      r->start_acked_ms = fs->now_ms;
      if (boot_shown)
        r->boot_start_ms = 0;
      else if (p->n_exec_boots == r->exec->n_boots)
        r->boot_start_ms = r->exec->boot_start_ms;
      start_mark_job_started (r->job);
      advice_ticket_accepted (r);
      if (r->state == START_SENT)
        r->state = START_ACKED;
      return;
    case ORDER_REFUSED:
      end_refused_start (fs, r, res->reason);
      return;
    case ORDER_BUSY:
      exec_count_failure (fs, r->exec);
      start_end (fs, r, RUN_END_NOT_STARTED);
      return;
    case ORDER_WRONG_BOOT:
    case ORDER_UNREACHED:
      start_end (fs, r, RUN_END_NOT_STARTED);
      return;
    default:
      out_line (fs->out,
                "event=start-lost job=%s step=%d task=%d run=%lld "
                "exec=%s",
                r->job->spec.id, r->step, r->index, (long long)r->run_id,
                r->exec->rep.id);
      r->answer_lost_ms = fs->now_ms;
      if (r->state != START_SENT)
        return;
      r->state = START_UNCONFIRMED;
      if (!may_try_again (r) && r->job->spec.steps[r->step].gang)
        start_stop_gang (fs, r->job, r->step);
    }
}

/* Logs the result of the last stop order for a run: of orders that are not
   carried out the first, the second, the fourth and so on, and of the others
   those that are not the first. */
static void
log_stop_result (const struct fsched *fs, const struct start *r)
{
  bool done = r->stop_outcome == ORDER_DONE;

  if (done ? r->n_stops == 1 : (r->n_stops & (r->n_stops - 1)) != 0)
    return;
  out_line (fs->out,
            "event=stop-%s job=%s step=%d task=%d run=%lld exec=%s outcome=%s "
            "stops=%d since_ms=%lld",
            done ? "answered" : "lost", r->job->spec.id, r->step, r->index,
            (long long)r->run_id, r->exec->rep.id,
            order_outcome_names[r->stop_outcome], r->n_stops,
            (long long)(fs->now_ms - r->stopping_ms));
}

/* Processes the result of a stop order. */
static void
process_stop_result (const struct fsched *fs, struct start *r,
                     const struct pending_order *p,
                     const struct order_result *res)
{
  r->stop_outcome = res->outcome;
  /* A stop that an earlier boot has carried out binds only that boot. */
  if (res->outcome == ORDER_DONE && p->n_exec_boots == r->exec->n_boots)
    r->stop_acked_ms = fs->now_ms;
  log_stop_result (fs, r);
}

void
start_result (struct fsched *fs, const struct pending_order *p,
              const struct order_result *res)
{
  struct start *r = p->run;
  bool boot_shown;

  r->order_id = 0;
  start_count_unanswered (r);
  r->exec->due_ms = 0;
  set_pending (fs, r, false);
  if (order_was_answered (res))
    {
      domain_answered (fs, r->exec);
      exec_add_answer_time (fs, r->exec, p);
    }
  boot_shown = boot_detect (fs, r->exec, p, res->clock_ms);
  if (p->kind == ORDER_START)
    process_start_result (fs, r, p, res, boot_shown);
  else
    process_stop_result (fs, r, p, res);
}
