/*
 * The simulated executors.
 *
 * An executor refuses the orders that the platform's contract lets it refuse,
 * with one exception: it starts a task that exceeds its free capacity.
 *
 * At each start of a task the executor reports a violation by the scheduler
 * if:
 *   TWICE    the task is running already, or the leader has acknowledged a
 *            successful end of the task
 *   LIMIT    the running tasks exceed the executor's capacity
 *   QUOTA    the tasks of the client account exceed its limit, see quota.c
 *   ROUTE    more tasks of the step run on the executor than may
 *   BUDGET   the task has failed as often as the queue allows, or has crashed
 *            FSIM_CRASHES_MAX executors and is started the
 *            FSIM_STARTS_AFTER_CRASHES_MAX-th time since
 *   REFUSED  every submission of the job was refused
 *   UNASKED  the job or task does not exist, or its cancellation was answered
 *            more than FSIM_CANCEL_MS before, or the checkpoint is not the
 *            task's, see checkpoints.c
 *
 * At the end of a run the executor reports GANG if the run was a member of a
 * gang that was still incomplete when the member's wait time was over, unless
 * an order to the executor was delayed or lost, or its result lost, within
 * RECENT_FAULT_MS before.
 */
#include "fsim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Start orders that are late are executed this much later. */
#define LATE_ORDER_MS(s) (2000 + (int64_t)(fsim_random (s) * 10000))

enum
{
  /* The clock of a boot begins below this reading. */
  BOOT_CLOCK_MAX_MS = 3000000,
  /* A run ends no later than this time after a stop order for it. */
  STOP_DELAY_MS = 100,
  /* A member of a gang waits for the other members for this time. */
  GANG_WAIT_MS = 3000,
  /* An executor reports no violation for an incomplete gang until this time
     has passed since its last fault (fexec::last_fault_ms). */
  RECENT_FAULT_MS = 6000,
  /* Maximum number of ended runs in the result of a poll. */
  ENDS_PAGE_MAX = 500,
};

/* Return: the reading of the executor's clock. */
static int64_t
clock_now (const struct fsim *s, const struct fexec *e)
{
  return e->boot_clock_ms + s->now_ms - e->boot_start_ms;
}

/* Return: the executor at address @addr, which ends in its index, or NULL. */
static struct fexec *
find_exec_at (struct fsim *s, const char *addr)
{
  int i = *addr ? atoi (addr + 1) : -1;

  return i >= 0 && i < s->n_exec && strcmp (s->exec[i]->addr, addr) == 0
             ? s->exec[i]
             : NULL;
}

static struct ftask_stats *
find_task_stats (struct fsim *s, const struct task_ref *t)
{
  struct fjob *j = fsim_find_job (s, t->job);
  int first_of_step = 0;

  if (!j || t->step >= (int64_t)j->spec.n_steps
      || t->index >= j->spec.steps[t->step].tasks)
    return NULL;
  for (int i = 0; i < t->step; i++)
    first_of_step += (int)j->spec.steps[i].tasks;
  return &j->stats[first_of_step + t->index];
}

static bool
same_task (const struct task_ref *a, const struct task_ref *b)
{
  return strcmp (a->job, b->job) == 0 && a->step == b->step
         && a->index == b->index;
}

/* Returns @array, of elements of @size bytes, with room for more than @n of
   them; @cap is the number that it has room for. */
static void *
with_room (void *array, int n, int *cap, size_t size)
{
  if (n < *cap)
    return array;
  *cap = *cap ? 2 * *cap : 64;
  array = realloc (array, (size_t)*cap * size);
  if (!array)
    abort ();
  return array;
}

static void
add_past_run (struct fexec *e, const struct task_ref *task, int64_t run_id)
{
  e->past_runs = realloc (e->past_runs,
                          (size_t)(e->n_past_runs + 1) * sizeof *e->past_runs);
  if (!e->past_runs)
    abort ();
  e->past_runs[e->n_past_runs++] = (struct frun_ref){ *task, run_id };
}

/* Ends run @i of the executor.
   @run_end: enum run_end, how the run ends */
static void
end_run (struct fsim *s, struct fexec *e, int i, int run_end)
{
  struct frun *r = &e->runs[i];
  struct ftask_stats *stats = find_task_stats (s, &r->task);

  add_past_run (e, &r->task, r->run_id);
  fcheckpoint_update (s, r);
  if (stats)
    {
      stats->n_running--;
      stats->n_done_ends += run_end == RUN_END_DONE;
    }
  /* After a fault a member may wait for members that never start, because the
     leader's stop order for the waiting member was lost as well (walk.lua,
     seed 184). */
  if (run_end == RUN_END_GANG_INCOMPLETE
      && s->now_ms - e->last_fault_ms > RECENT_FAULT_MS)
    fsim_violation (s, "GANG %s.%lld.%lld run %lld on %s: gang incomplete",
                    r->task.job, (long long)r->task.step,
                    (long long)r->task.index, (long long)r->run_id, e->id);
  e->ends = with_room (e->ends, e->n_ends, &e->ends_cap, sizeof *e->ends);
  e->ends[e->n_ends++]
      = (struct end_row){ .seq = ++e->last_end_seq,
                          .task = r->task,
                          .run_id = r->run_id,
                          .run_end = run_end,
                          .checkpoint = fcheckpoint_view (r) };
  e->runs[i] = e->runs[--e->n_runs];
}

static void
reboot_after_crash (struct fsim *s, void *arg)
{
  struct fexec *e = arg;

  if (!e->up)
    fexec_reboot (s, e);
}

/* Crashes the executor because of run @r.  The executor boots again later. */
static void
crash_by_run (struct fsim *s, struct fexec *e, const struct frun *r)
{
  struct ftask_stats *stats = find_task_stats (s, &r->task);

  if (stats)
    stats->n_crashes++;
  fexec_crash (s, e);
  fsim_schedule (s, e->boot_delay_ms, reboot_after_crash, e);
}

/* Crashes the executor if one of its runs is due to do so. */
static void
crash_if_due (struct fsim *s, struct fexec *e)
{
  for (int i = 0; i < e->n_runs; i++)
    if (e->runs[i].crashes_exec && !e->runs[i].stop_ordered
        && s->now_ms >= e->runs[i].end_ms)
      {
        crash_by_run (s, e, &e->runs[i]);
        return;
      }
}

static void
tick_exec (struct fsim *s, struct fexec *e)
{
  for (int i = e->n_runs - 1; e->up && i >= 0; i--)
    {
      struct frun *r = &e->runs[i];
      if (s->now_ms >= e->lease_until_ms)
        end_run (s, e, i, RUN_END_LAPSED);
      else if (s->now_ms >= r->end_ms && r->crashes_exec && !r->stop_ordered)
        crash_by_run (s, e, r);
      else if (s->now_ms >= r->end_ms)
        end_run (s, e, i, r->stop_ordered ? RUN_END_STOPPED : r->run_end);
    }
}

void
fexec_tick (struct fsim *s)
{
  s->last_tick_ms = s->now_ms;
  for (int k = 0; k < s->n_exec; k++)
    tick_exec (s, s->exec[k]);
}

/* Calls @each, unless it is NULL, for each running task of the gang of task @t
   whose run has the id @run_id.

   Return: number of these tasks. */
static int
for_each_gang_member (struct fsim *s, const struct task_ref *t, int64_t run_id,
                      void (*each) (struct fsim *s, struct frun *r))
{
  int n = 0;

  for (int k = 0; k < s->n_exec; k++)
    for (int i = 0; i < s->exec[k]->n_runs; i++)
      {
        struct frun *r = &s->exec[k]->runs[i];
        if (r->run_id != run_id || r->task.step != t->step
            || strcmp (r->task.job, t->job) != 0)
          continue;
        n++;
        if (each)
          each (s, r);
      }
  return n;
}

/* Starts the work of run @r, a member of a gang whose members have all
   started. */
static void
start_gang_member_work (struct fsim *s, struct frun *r)
{
  struct fjob *j = fsim_find_job (s, r->task.job);

  r->awaits_gang = false;
  r->end_ms = s->now_ms + j->task_ms[r->task.step];
  r->run_end = RUN_END_DONE;
}

/* Makes @r wait for the other members of its gang.  The members begin their
   work when the last of them has started.  The run of a member ends if its
   gang is still incomplete after GANG_WAIT_MS. */
static void
join_gang (struct fsim *s, struct frun *r, const struct job_step *step)
{
  r->awaits_gang = true;
  r->end_ms = s->now_ms + GANG_WAIT_MS;
  r->run_end = RUN_END_GANG_INCOMPLETE;
  if (for_each_gang_member (s, &r->task, r->run_id, NULL) == step->tasks)
    for_each_gang_member (s, &r->task, r->run_id, start_gang_member_work);
}

/* Reports a violation if more tasks of the step of @o run on the executor than
   its job allows. */
static void
check_max_per_exec (struct fsim *s, const struct fexec *e,
                    const struct order *o, const struct fjob *j)
{
  int64_t max = j->spec.steps[o->task.step].max_per_exec;
  int n = 0;

  for (int i = 0; i < e->n_runs; i++)
    n += strcmp (e->runs[i].task.job, o->task.job) == 0
         && e->runs[i].task.step == o->task.step;
  if (max && n > max)
    fsim_violation (s, "ROUTE %s.%lld: %d tasks on %s, %lld may run there",
                    o->task.job, (long long)o->task.step, n, e->id,
                    (long long)max);
}

/* Sets @text to what a violation says of a start that is executed late. */
static void
describe_late_start (const struct fexec *e, char *text, size_t size)
{
  *text = '\0';
  if (e->executes_late)
    snprintf (text, size, ", late, boot %lld, fence %lld",
              (long long)e->boot_start_ms, (long long)e->fencing_token_before);
}

/* Reports a violation for each rule that the start of a task breaks. */
static void
check_start (struct fsim *s, struct fexec *e, const struct order *o,
             struct fjob *j, struct ftask_stats *stats)
{
  struct job_need used = { 0 };
  char late[64];
  int64_t evacuated_ms;
  const struct job_need *capacity
      = s->now_ms - e->shrunk_ms < FSIM_SHRUNK_AFTER_MS
                && e->earlier_capacity.millicores > e->capacity.millicores
            ? &e->earlier_capacity
            : &e->capacity;

  describe_late_start (e, late, sizeof late);
  for (int i = 0; i < e->n_runs; i++)
    {
      used.millicores += e->runs[i].need.millicores;
      used.mem_mb += e->runs[i].need.mem_mb;
    }
  if (used.millicores > capacity->millicores || used.mem_mb > capacity->mem_mb)
    fsim_violation (s, "LIMIT %s: %lld millicores used of %lld", e->id,
                    (long long)used.millicores,
                    (long long)capacity->millicores);
  if (stats->n_running > 1)
    fsim_violation (s, "TWICE %s.%lld.%lld run %lld on %s: already running%s",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id, e->id,
                    late);
  if (stats->end_acked)
    fsim_violation (s, "TWICE %s.%lld.%lld run %lld on %s: already done, %s%s",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id, e->id,
                    stats->end_listed ? "end listed" : "end never listed",
                    late);
  if (stats->n_failed >= j->spec.attempts)
    fsim_violation (s, "BUDGET %s.%lld.%lld run %lld: %d runs have failed%s",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id,
                    stats->n_failed, late);
  if (stats->n_crashes >= FSIM_CRASHES_MAX
      && ++stats->n_starts_after_crashes >= FSIM_STARTS_AFTER_CRASHES_MAX)
    fsim_violation (s, "BUDGET %s.%lld.%lld run %lld: %d crashes", o->task.job,
                    (long long)o->task.step, (long long)o->task.index,
                    (long long)o->run_id, stats->n_crashes);
  check_max_per_exec (s, e, o, j);
  fquota_check (s, j, &j->spec.steps[o->task.step].need);
  if (j->n_submitted && j->n_refused == j->n_submitted)
    fsim_violation (s, "REFUSED %s: started although refused", o->task.job);
  if (j->cancel_acked_ms && !e->executes_late
      && s->now_ms - j->cancel_acked_ms > FSIM_CANCEL_MS)
    fsim_violation (s, "UNASKED %s: started %lld ms after its cancellation",
                    o->task.job, (long long)(s->now_ms - j->cancel_acked_ms));
  evacuated_ms = s->evacuated_ms[fsim_zone (e->addr)];
  if (evacuated_ms && s->now_ms - evacuated_ms > s->evacuate_ms
      && !e->executes_late)
    fsim_violation (s, "EVAC %s: started on %s %lld ms after the evacuation",
                    o->task.job, e->id, (long long)(s->now_ms - evacuated_ms));
}

static void
begin_run (struct fsim *s, struct fexec *e, const struct order *o)
{
  struct fjob *j = fsim_find_job (s, o->task.job);
  struct ftask_stats *stats = find_task_stats (s, &o->task);
  struct frun *r;

  if (!j || !stats)
    {
      fsim_violation (s, "UNASKED %s: job or task unknown", o->task.job);
      return;
    }
  e->runs = with_room (e->runs, e->n_runs, &e->runs_cap, sizeof *e->runs);
  r = &e->runs[e->n_runs++];
  *r = (struct frun){ .task = o->task,
                      .run_id = o->run_id,
                      .start_ms = s->now_ms,
                      .end_ms = s->now_ms + j->task_ms[o->task.step],
                      .run_end = j->always_fails || e->fails_runs
                                     ? RUN_END_FAILED
                                     : RUN_END_DONE,
                      .need = j->spec.steps[o->task.step].need };
  if (r->run_end == RUN_END_FAILED)
    r->end_ms = s->now_ms + 50;
  if (e->hangs_runs)
    r->end_ms = INT64_MAX;
  if (o->task.step == 0 && o->task.index < j->n_crashing)
    {
      r->crashes_exec = true;
      r->end_ms = s->now_ms + j->crash_after_ms;
    }
  stats->n_running++;
  stats->n_starts++;
  if (j->spec.steps[o->task.step].gang && r->run_end == RUN_END_DONE)
    join_gang (s, r, &j->spec.steps[o->task.step]);
  fcheckpoint_check_start (s, o, j, r);
  check_start (s, e, o, j, stats);
}

/* Return: true if the order starts a task of a queue with advice. */
static bool
needs_ticket (struct fsim *s, const struct order *o)
{
  const struct fjob *j = fsim_find_job (s, o->task.job);

  return j && (j->spec.advice.base_ms > 0 || j->asked);
}

/* Return: -1 if the order was executed, otherwise the reason of the refusal
   (REFUSED_...). */
static int
apply_start (struct fsim *s, struct fexec *e, const struct order *o)
{
  if (o->fencing_token < e->fencing_token)
    return REFUSED_FENCE;
  if (o->lease_deadline_ms <= clock_now (s, e))
    return REFUSED_LEASE_OVER;
  for (int i = 0; i < e->n_runs; i++)
    if (same_task (&e->runs[i].task, &o->task)
        && e->runs[i].run_id == o->run_id)
      return -1;
  for (int i = 0; i < e->n_past_runs; i++)
    if (same_task (&e->past_runs[i].task, &o->task)
        && e->past_runs[i].run_id >= o->run_id)
      return REFUSED_STALE_RUN;
  if (needs_ticket (s, o) && !fadvice_ticket_valid (s, o, e))
    return REFUSED_TICKET;
  begin_run (s, e, o);
  return -1;
}

/* Extends the lease to @deadline_ms on the executor's clock, but to no more
   than fsim::lease_max_ms from now. */
static void
extend_lease (struct fsim *s, struct fexec *e, int64_t deadline_ms)
{
  int64_t until_ms = s->now_ms + deadline_ms - clock_now (s, e);

  if (until_ms > s->now_ms + s->lease_max_ms)
    until_ms = s->now_ms + s->lease_max_ms;
  if (until_ms > e->lease_until_ms)
    e->lease_until_ms = until_ms;
}

static void
apply_stop (struct fsim *s, struct fexec *e, const struct order *o)
{
  add_past_run (e, &o->task, o->run_id);
  for (int i = 0; i < e->n_runs; i++)
    if (same_task (&e->runs[i].task, &o->task)
        && e->runs[i].run_id == o->run_id)
      {
        e->runs[i].stop_ordered = true;
        if (e->runs[i].end_ms > s->now_ms + STOP_DELAY_MS)
          e->runs[i].end_ms = s->now_ms + STOP_DELAY_MS;
      }
}

/* Removes the reports of ended runs up to sequence number @recorded_seq, which
   the leader has recorded, and counts these runs in the statistics of their
   tasks. */
static void
remove_acked_ends (struct fsim *s, struct fexec *e, int64_t recorded_seq)
{
  int kept = 0;

  for (int i = 0; i < e->n_ends; i++)
    {
      const struct end_row *end = &e->ends[i];
      struct ftask_stats *stats = find_task_stats (s, &end->task);
      if (end->seq > recorded_seq)
        {
          e->ends[kept++] = *end;
          continue;
        }
      if (stats && end->run_end == RUN_END_DONE)
        {
          stats->done = true;
          stats->end_acked = true;
          stats->end_listed |= end->seq <= e->listed_end_seq;
        }
      if (stats && end->run_end == RUN_END_FAILED)
        stats->n_failed++;
    }
  e->n_ends = kept;
}

/* Fills the lists of running tasks and of ended runs in the result of a
   poll. */
static void
fill_poll_lists (struct fsim *s, struct fexec *e, struct order_result *res)
{
  res->runs = calloc ((size_t)e->n_runs + 1, sizeof *res->runs);
  res->ends = calloc ((size_t)e->n_ends + 1, sizeof *res->ends);
  for (int i = 0; i < e->n_runs; i++)
    {
      struct frun *r = &e->runs[i];
      int64_t duration_ms = r->end_ms - r->start_ms;
      fcheckpoint_update (s, r);
      res->runs[res->n_runs++] = (struct run_row){
        .task = r->task,
        .run_id = r->run_id,
        .checkpoint = fcheckpoint_view (r),
        .percent
        = duration_ms > 0 ? (s->now_ms - r->start_ms) * 100 / duration_ms : 0
      };
    }
  for (int i = 0; i < e->n_ends && i < ENDS_PAGE_MAX; i++)
    res->ends[res->n_ends++] = e->ends[i];
  if (res->n_ends && res->ends[res->n_ends - 1].seq > e->listed_end_seq)
    e->listed_end_seq = res->ends[res->n_ends - 1].seq;
  res->ends_left = e->n_ends >= ENDS_PAGE_MAX;
}

void
fexec_deliver_result (struct fsim *s, void *arg)
{
  struct order_delivery *d = arg;
  struct fsim_instance *in = s->inst[d->inst];

  if (in->up && in->incarnation == d->incarnation
      && fsim_hold_input (s, d->inst) > 0)
    {
      fsim_schedule (s, fsim_hold_input (s, d->inst), fexec_deliver_result, d);
      return;
    }
  if (in->up && in->incarnation == d->incarnation && !d->drop_result)
    {
      fsim_charge_io (s, d->inst);
      fleet_order_result (&in->fleet, s->now_ms, &d->order, &d->res);
      fsim_process_outputs (s, d->inst);
    }
  order_result_clear (&d->res);
  order_clear (&d->order);
  free (d);
}

/* Return: true if the order starts a task with this index in its step. */
static bool
is_start_of (const struct order *o, int64_t index)
{
  return o->kind == ORDER_START && o->task.index == index;
}

/* Sends the result to the instance, unless the configured faults lose it.  If
   the result is lost, the instance learns after the order's time limit that no
   answer arrived. */
static void
send_result (struct fsim *s, struct order_delivery *d, struct fexec *e)
{
  crash_if_due (s, e);
  if (!fsim_can_reach (s, d->inst, e) || !e->up || s->now_ms < e->hung_until_ms
      || fsim_random (s) < e->lost_result_share
      || is_start_of (&d->order, e->lost_start)
      || (d->order.kind == ORDER_STOP && e->silent_stops))
    {
      e->last_fault_ms = s->now_ms;
      order_result_clear (&d->res);
      d->res.outcome = ORDER_LOST;
      fsim_schedule (s, d->order.timeout_ms, fexec_deliver_result, d);
      return;
    }
  if (e->answer_delay_ms && s->now_ms + e->answer_delay_ms >= d->give_up_ms)
    {
      e->last_fault_ms = s->now_ms;
      order_result_clear (&d->res);
      d->res.outcome = ORDER_LOST;
      fsim_schedule (s,
                     d->give_up_ms > s->now_ms ? d->give_up_ms - s->now_ms : 0,
                     fexec_deliver_result, d);
      return;
    }
  fsim_schedule (s, FSIM_LINK_MS + e->answer_delay_ms, fexec_deliver_result,
                 d);
}

bool
fexec_apply (struct fsim *s, struct fexec *e, const struct order *o,
             bool first, bool waited, struct order_result *res)
{
  int refusal = -1;

  if (s->last_tick_ms < s->now_ms)
    fexec_tick (s);
  else
    tick_exec (s, e);
  /* A run that was due has crashed the executor. */
  if (!e->up)
    {
      res->outcome = ORDER_LOST;
      return true;
    }
  res->clock_ms = clock_now (s, e);
  if (res->clock_ms < 1)
    res->clock_ms = 1;
  if (o->kind == ORDER_POLL)
    res->boot_start_ms = s->wall_start_ms + e->boot_start_ms;
  res->outcome = ORDER_DONE;
  /* A poll that waits has been carried out already. */
  if (first && o->fencing_token < e->fencing_token)
    refusal = REFUSED_FENCE;
  else if (first)
    {
      e->fencing_token = o->fencing_token;
      if (o->lease_deadline_ms)
        extend_lease (s, e, o->lease_deadline_ms);
      if (o->kind == ORDER_STOP)
        apply_stop (s, e, o);
      else if (o->kind == ORDER_START)
        refusal = apply_start (s, e, o);
    }
  if (refusal >= 0)
    {
      res->outcome = ORDER_REFUSED;
      res->reason = refusal;
      return true;
    }
  if (o->kind != ORDER_POLL)
    return true;
  if (first)
    remove_acked_ends (s, e, o->recorded_end_seq);
  if (e->n_ends == 0 && !waited)
    return false;
  fill_poll_lists (s, e, res);
  return true;
}

static void
deliver_order (struct fsim *s, void *arg)
{
  struct order_delivery *d = arg;
  struct fexec *e = find_exec_at (s, d->order.addr);
  bool first_call;

  /* An order to an earlier boot is lost, and a waiting poll is lost if the
     executor has crashed or rebooted. */
  if (!e->up || !fsim_can_reach (s, d->inst, e)
      || (d->boot_start_ms && d->boot_start_ms != e->boot_start_ms))
    {
      if (!fsim_can_reach (s, d->inst, e))
        e->last_fault_ms = s->now_ms;
      d->res.outcome = ORDER_LOST;
      fsim_schedule (s, d->order.timeout_ms, fexec_deliver_result, d);
    }
  else if (strcmp (e->id, d->exec) != 0)
    {
      d->res.outcome = ORDER_WRONG_BOOT;
      send_result (s, d, e);
    }
  else if (first_call = !d->boot_start_ms, d->boot_start_ms = e->boot_start_ms,
           fexec_apply (s, e, &d->order, first_call,
                        s->now_ms >= d->poll_deadline_ms, &d->res))
    send_result (s, d, e);
  else
    fsim_schedule (s, 10, deliver_order, d);
}

struct order_delivery *
fexec_delivery_new (struct fsim *s, int i, const struct order *o)
{
  struct order_delivery *d = calloc (1, sizeof *d);

  d->inst = i;
  d->incarnation = s->inst[i]->incarnation;
  d->order = *o;
  d->order.payload = o->payload ? strdup (o->payload) : NULL;
  d->order.ticket = o->ticket ? strdup (o->ticket) : NULL;
  checkpoint_ref (d->order.checkpoint);
  d->order.execs = NULL;
  clb_copy (d->exec, o->exec, sizeof d->exec);
  d->poll_deadline_ms = s->now_ms + o->wait_ms;
  d->give_up_ms = s->now_ms + o->timeout_ms;
  return d;
}

static void
deliver_delayed_order (struct fsim *s, void *arg)
{
  struct order_delivery *d = arg;
  struct fexec *e = find_exec_at (s, d->order.addr);

  /* The instance already has the result ORDER_LOST. */
  d->drop_result = true;
  e->executes_late = true;
  e->fencing_token_before = e->fencing_token;
  deliver_order (s, d);
  e->executes_late = false;
}

/* Gives up an order of instance @i that the executor does not answer, after
   @after_ms. */
static void
lose_order (struct fsim *s, struct order_delivery *d, struct fexec *e,
            int64_t after_ms)
{
  e->last_fault_ms = s->now_ms;
  d->res.outcome = ORDER_LOST;
  fsim_schedule (s, after_ms, fexec_deliver_result, d);
}

/* Lets whichever boot the executor has then execute a copy of an order later,
   without an answer. */
static void
execute_later (struct fsim *s, int i, const struct order *o, int64_t after_ms)
{
  struct order_delivery *delayed = fexec_delivery_new (s, i, o);

  delayed->poll_deadline_ms = 0;
  fsim_schedule (s, after_ms, deliver_delayed_order, delayed);
}

void
fexec_send_order (struct fsim *s, int i, const struct order *o)
{
  struct fexec *e = find_exec_at (s, o->addr);
  struct order_delivery *d = fexec_delivery_new (s, i, o);
  int64_t sent_in_ms = fsim_busy_ms (s, i);

  if (!e || e->refuses_connections)
    {
      d->res.outcome = ORDER_UNREACHED;
      fsim_schedule (s, sent_in_ms + FSIM_LINK_MS, fexec_deliver_result, d);
      return;
    }
  if (e->up && e->n_dead_connections > 0 && fsim_can_reach (s, i, e))
    {
      e->n_dead_connections--;
      lose_order (s, d, e, 2 * FSIM_LINK_MS);
      return;
    }
  if (s->now_ms < e->hung_until_ms)
    {
      execute_later (s, i, o, e->hung_until_ms - s->now_ms);
      lose_order (s, d, e, o->timeout_ms);
      return;
    }
  if (is_start_of (o, e->dropped_start)
      || (o->kind == ORDER_STOP && e->drops_stops))
    {
      lose_order (s, d, e, o->timeout_ms);
      return;
    }
  if (o->kind == ORDER_POLL && e->poll_delay_ms)
    {
      execute_later (s, i, o, e->poll_delay_ms);
      lose_order (s, d, e, o->timeout_ms);
      return;
    }
  if ((o->kind != ORDER_POLL && fsim_random (s) < e->delayed_order_share)
      || is_start_of (o, e->late_start))
    {
      execute_later (s, i, o, LATE_ORDER_MS (s));
      lose_order (s, d, e, o->timeout_ms);
      return;
    }
  d->poll_deadline_ms += sent_in_ms;
  d->give_up_ms += sent_in_ms;
  fsim_schedule (s, sent_in_ms + FSIM_LINK_MS, deliver_order, d);
}

void
fexec_update_discovery_entry (struct fsim *s, struct fexec *e)
{
  char key[CLB_ID_MAX + 16];
  char value[256];
  long long born_ms = s->wall_start_ms + e->boot_start_ms;

  if (e->entry_frozen)
    return;
  snprintf (key, sizeof key, "servers/%s", e->id);
  snprintf (value, sizeof value, "%s %d %lld %lld %lld", e->addr, e->draining,
            (long long)e->capacity.millicores, (long long)e->capacity.mem_mb,
            born_ms);
  ftable_put (s, key, e->up && e->listed ? value : NULL);
}

void
fexec_set_cores (struct fsim *s, struct fexec *e, int64_t cores)
{
  if (1000 * cores < e->capacity.millicores)
    {
      e->earlier_capacity = e->capacity;
      e->shrunk_ms = s->now_ms;
    }
  e->capacity.millicores = 1000 * cores;
  fexec_update_discovery_entry (s, e);
}

/* struct entry_removal - discovery entry of an executor that has crashed */
struct entry_removal
{
  struct fexec *e;
  char id[CLB_ID_MAX]; /* id of the boot that has crashed */
};

/* Deletes the discovery entry unless the executor is up again under its id. */
static void
delete_discovery_entry (struct fsim *s, void *arg)
{
  struct entry_removal *r = arg;
  char key[CLB_ID_MAX + 16];

  if (r->e->entry_frozen && !s->shutting_down)
    {
      fsim_schedule (s, 100, delete_discovery_entry, r);
      return;
    }
  snprintf (key, sizeof key, "servers/%s", r->id);
  if (!r->e->up || strcmp (r->e->id, r->id) != 0)
    ftable_put (s, key, NULL);
  free (r);
}

void
fexec_crash (struct fsim *s, struct fexec *e)
{
  struct entry_removal *removal = calloc (1, sizeof *removal);

  e->up = false;
  s->last_crash_ms = s->now_ms;
  for (int i = 0; i < e->n_runs; i++)
    {
      struct ftask_stats *stats = find_task_stats (s, &e->runs[i].task);
      if (stats)
        stats->n_running--;
    }
  for (int i = 0; i < e->n_ends; i++)
    {
      struct ftask_stats *stats = find_task_stats (s, &e->ends[i].task);
      if (stats && e->ends[i].seq > e->listed_end_seq)
        stats->n_done_ends -= e->ends[i].run_end == RUN_END_DONE;
    }
  e->n_runs = 0;
  e->n_ends = 0;
  e->last_end_seq = 0;
  e->listed_end_seq = 0;
  e->n_past_runs = 0;
  e->fencing_token = 0;
  /* The platform removes the discovery entry of a crashed executor after
     4500 ms. */
  removal->e = e;
  clb_copy (removal->id, e->id, sizeof removal->id);
  fsim_schedule (s, 4500, delete_discovery_entry, removal);
}

/* Return: the reading at which the clock of the next boot begins, in 1 ms. */
static int64_t
next_boot_clock (struct fsim *s, const struct fexec *e)
{
  if (e->next_boot_clock_ms == FSIM_CLOCK_GOES_ON)
    return clock_now (s, e) + 1;
  if (e->next_boot_clock_ms >= 0)
    return e->next_boot_clock_ms;
  return (int64_t)(fsim_random (s) * BOOT_CLOCK_MAX_MS);
}

void
fexec_reboot (struct fsim *s, struct fexec *e)
{
  if (e->up)
    fexec_crash (s, e);
  e->up = true;
  e->boot_clock_ms = next_boot_clock (s, e);
  /* The start of a boot must not be 0, which means in
     order_delivery::boot_start_ms that the boot is unknown. */
  e->boot_start_ms = s->now_ms + 1;
  if (e->renames)
    snprintf (e->id, sizeof e->id, "%s-%lld", e->addr,
              (long long)e->boot_start_ms);
  e->lease_until_ms = 0;
  fexec_update_discovery_entry (s, e);
}
