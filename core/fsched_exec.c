/*
 * Executors of the fleet's scheduler: discovery, leases, polls, and
 * reconciliation after a change of the leader.
 */
#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Slowest rate of an executor's clock, in percent of the local clock's rate:
     it may lose 2%. */
  CLOCK_RATE_LOW = 98,
  /* Number of connections to an executor that its former boot may leave. */
  EXEC_CONNECTIONS_MAX = 3,
  /* A measured time that is shorter than exec::answer_ms reduces it by this
     part of the difference. */
  ANSWER_DECAY_DIVISOR = 4,
  /* Number of ends in an executor's list above which it gets no starts, half
     of what one answer holds. */
  LISTED_ENDS_MAX = 250,
};

int
exec_cmp (const struct exec *a, const struct exec *b)
{
  return strcmp (a->rep.id, b->rep.id);
}

RB_GENERATE (exec_tree, exec, by_id, exec_cmp)

struct exec *
exec_find (const struct fsched *fs, const char *id)
{
  struct exec key;

  /* A longer id would be cut to that of another executor. */
  if (strlen (id) >= sizeof key.rep.id)
    return NULL;
  clb_copy (key.rep.id, id, sizeof key.rep.id);
  return RB_FIND (exec_tree, (struct exec_tree *)&fs->execs_by_id, &key);
}

static struct exec *
exec_add (struct fsched *fs, const char *id)
{
  struct exec *e = calloc (1, sizeof *e);

  if (!e)
    abort ();
  clb_copy (e->rep.id, id, sizeof e->rep.id);
  e->index = fs->n_execs++;
  e->roster_row = fsched_roster_row (id);
  TAILQ_INIT (&e->runs);
  TAILQ_INIT (&e->lapsed);
  TAILQ_INSERT_TAIL (&fs->execs, e, link);
  RB_INSERT (exec_tree, &fs->execs_by_id, e);
  return e;
}

void
fsched_exec_report (struct fsched *fs, const struct exec_report *rep)
{
  struct exec *e = exec_find (fs, rep->id);
  bool addr_changed;
  bool boot_changed;

  if (!e)
    {
      e = exec_add (fs, rep->id);
      /* The executor is not in the loaded roster, so no earlier leader used
         it. */
      e->reconciled = true;
    }
  addr_changed = strcmp (e->rep.addr, rep->addr) != 0;
  boot_changed = e->rep.boot_start_ms != rep->boot_start_ms;
  if (!e->listed || e->rep.draining != rep->draining || boot_changed)
    {
      out_line (fs->out, "event=exec-%s exec=%s zone=%s addr=%s boot=%lld",
                rep->draining ? "draining" : "listed", rep->id, rep->zone,
                rep->addr, (long long)rep->boot_start_ms);
      fs->pass_due = true;
    }
  e->rep = *rep;
  /* An entry that is older than the boot tells nothing. */
  if (e->boot_known
      && (addr_changed
          || (e->boot_start_ms && rep->boot_start_ms > e->boot_start_ms)))
    boot_ask (fs, e, addr_changed ? "address" : "entry");
  if (rep->draining)
    e->drained_boot_ms = rep->boot_start_ms;
  e->domain = domain_get (fs, rep->zone);
  fsched_intern_exec (fs, e);
  e->listed = true;
  e->in_list = true;
  if (addr_changed)
    {
      /* An answer to a poll on its way to the old address tells nothing. */
      if (!e->boot_known)
        e->poll_id = e->last_poll_id = 0;
      e->due_ms = 0;
      /* The next leader asks at the address in the roster. */
      e->recorded = false;
      e->next_poll_ms = fs->now_ms;
      crash_exec_replaced (fs, e);
    }
  if (!e->recorded)
    roster_mark_dirty (fs, e);
}

void
fsched_exec_unlisted (struct fsched *fs, const char *id)
{
  struct exec *e = exec_find (fs, id);

  if (!e || !e->listed)
    return;
  out_line (fs->out, "event=exec-unlisted exec=%s", id);
  e->listed = false;
  e->unlisted_since_ms = fs->now_ms;
}

void
fsched_exec_list (struct fsched *fs, bool begins)
{
  struct exec *e;

  TAILQ_FOREACH (e, &fs->execs, link)
    if (begins)
      e->in_list = false;
    else if (!e->in_list)
      fsched_exec_unlisted (fs, e->rep.id);
}

bool
exec_recently_listed (const struct fsched *fs, const struct exec *e)
{
  return e->listed
         || (e->unlisted_since_ms
             && fs->now_ms - e->unlisted_since_ms < FSCHED_UNLISTED_GRACE_MS);
}

int
fsched_load_roster (struct fsched *fs, const char *text)
{
  clb_auto char *copy = strdup (text);
  char *save = NULL;
  int n_bad = 0;

  for (char *line = strtok_r (copy, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      char *addr = strchr (line, ' ');
      struct exec *e;
      /* A part of an id or address is that of another executor, or of none. */
      if (!addr || addr - line >= CLB_ID_MAX
          || strlen (addr + 1) >= CLB_ADDR_MAX)
        {
          n_bad++;
          continue;
        }
      *addr++ = '\0';
      e = exec_find (fs, line);
      if (!e)
        {
          e = exec_add (fs, line);
          clb_copy (e->rep.addr, addr, sizeof e->rep.addr);
        }
      e->recorded = true;
      e->reconciled = false;
    }
  return n_bad;
}

int64_t
exec_clock_now (const struct fsched *fs, const struct exec *e)
{
  return e->clock_ms + fs->now_ms - e->last_contact_ms;
}

/* Returns whether all leases given to the executor have expired by its own
   clock, even if that is slow. */
static bool
leases_expired (const struct fsched *fs, const struct exec *e)
{
  int64_t elapsed_ms
      = fs->now_ms - e->last_contact_ms - FSCHED_CLOCK_MARGIN_MS;

  return e->answered
         && e->clock_ms + elapsed_ms * CLOCK_RATE_LOW / 100
                > e->lease_deadline_ms;
}

/* Returns the time after which the last poll is overdue. */
static int64_t
poll_overdue_ms (const struct exec *e)
{
  return e->poll_wait_ms + e->answer_ms
         + (e->poll_asked ? FSCHED_CALL_TIMEOUT_MS : FSCHED_POLL_SLACK_MS);
}

int64_t
exec_token (const struct fsched *fs, const struct exec *e)
{
  return (fs->epoch << FSCHED_FENCE_BITS) + e->n_fences;
}

void
exec_raise_token (struct exec *e)
{
  if (e->n_fences < FSCHED_FENCES_MAX)
    e->n_fences++;
  e->n_acks_out = 0;
}

/* Returns whether a copy of a start order may still be carried out by the
   executor, in whichever boot. */
static bool
starts_may_arrive (const struct fsched *fs, const struct exec *e)
{
  const struct start *r;

  if (fs->now_ms < e->copies_until_ms)
    return true;
  TAILQ_FOREACH (r, &e->runs, exec_link)
    if (fs->now_ms < start_copies_until_ms (r))
      return true;
  return false;
}

/* Returns whether the executor may forget recorded ends.  Their numbers are
   those of one boot: an executor that does not answer, or that was not asked
   as the leader stood still, may be in the next one. */
static bool
ends_are_due (const struct fsched *fs, const struct exec *e)
{
  return e->boot_known && !e->unreachable
         && fs->now_ms - e->last_contact_ms <= FSCHED_POLL_WAIT_MS
         && e->recorded_end_seq > e->forgotten_end_seq;
}

/*
 * Returns whether a poll may acknowledge ends.  It may be carried out late, by
 * the next boot, which must then have ended no runs.  So no earlier start
 * may still arrive, and later ones have a higher token, by which a boot that
 * has carried one out refuses the poll.  Nor is the end of a run acknowledged
 * while a copy of its start may run once more.
 */
static bool
may_acknowledge (const struct fsched *fs, const struct exec *e)
{
  return ends_are_due (fs, e) && e->n_fences < FSCHED_FENCES_MAX
         && !starts_may_arrive (fs, e);
}

static void
send_poll (struct fsched *fs, struct exec *e)
{
  struct pending_order *pend;
  struct order *o = fsched_order_new (fs, ORDER_POLL, e, &pend);

  pend->exec = e;
  e->poll_asked = e->list_due;
  e->list_due = false;
  e->poll_id = o->id;
  e->last_poll_id = o->id;
  e->poll_sent_ms = fs->now_ms;
  if (may_acknowledge (fs, e))
    {
      o->recorded_end_seq = e->recorded_end_seq;
      e->n_acks_out++;
    }
  pend->recorded_end_seq = o->recorded_end_seq;
  /* A poll of an unreachable executor does not extend its lease.  Otherwise
     each poll would move the assumed end of the lease, and the lease would
     never count as expired. */
  if (e->answered && !e->unreachable)
    {
      o->lease_deadline_ms = exec_clock_now (fs, e) + FSCHED_LEASE_MS;
      if (o->lease_deadline_ms > e->lease_deadline_ms)
        e->lease_deadline_ms = o->lease_deadline_ms;
    }
  /* The executor may delay its answer only if it has forgotten all ends that
     it has reported: it would report the others again at once. */
  if (e->answered && !e->unreachable && !e->poll_asked
      && e->seen_end_seq
             == (o->recorded_end_seq ? o->recorded_end_seq
                                     : e->forgotten_end_seq))
    o->wait_ms = FSCHED_POLL_WAIT_MS;
  pend->wait_ms = o->wait_ms;
  e->poll_wait_ms = o->wait_ms;
  /* A poll that is overdue keeps a connection, of which there are few. */
  o->timeout_ms = poll_overdue_ms (e);
  if (o->timeout_ms < o->wait_ms + FSCHED_ANSWER_MAX_MS)
    o->timeout_ms = o->wait_ms + FSCHED_ANSWER_MAX_MS;
}

/* Returns whether a boot that has carried out an unanswered start order of @r
   when it was sent, by a clock that the leader does not know, no longer runs
   it, and no boot will carry it out later.  Gangs do not wait for the latter:
   all members would stand, and one that starts late does no work alone. */
static bool
unanswered_start_over (const struct fsched *fs, const struct start *r)
{
  int64_t elapsed_ms = fs->now_ms - r->last_sent_ms - FSCHED_CLOCK_MARGIN_MS;

  return r->tries == r->n_settled
         || (elapsed_ms * CLOCK_RATE_LOW / 100 > fs->lease_max_ms
             && (start_in_gang (r) || fs->now_ms >= r->copies_until_ms));
}

/* Ends the runs of an executor after all leases of its boot have expired. */
static void
end_expired_runs (struct fsched *fs, struct exec *e)
{
  struct start *r, *next;
  bool logged = false;

  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    {
      if (!unanswered_start_over (fs, r))
        continue;
      if (!logged)
        out_line (fs->out, "event=lease-over exec=%s silent_ms=%lld",
                  e->rep.id,
                  (long long)(fs->now_ms
                              - (e->answered ? e->last_contact_ms
                                             : fs->claimed_ms)));
      logged = true;
      if (r->state == START_INTENT || r->state == START_DROPPED)
        {
          start_end (fs, r, RUN_END_NOT_STARTED);
          continue;
        }
      fs->stats->runs_lapsed++;
      crash_add_lapsed (fs, r);
      start_end (fs, r, RUN_END_LAPSED);
    }
}

void
exec_add_answer_time (const struct fsched *fs, struct exec *e,
                      const struct pending_order *p)
{
  int64_t took_ms = fs->now_ms - p->sent_ms;
  int64_t ms = took_ms >= p->wait_ms ? took_ms - p->wait_ms : took_ms;

  /* An end was reported before p->wait_ms had passed: the answer itself took
     took_ms at most. */
  if (took_ms < p->wait_ms && took_ms >= e->answer_ms)
    return;
  if (ms > FSCHED_ANSWER_MAX_MS)
    ms = FSCHED_ANSWER_MAX_MS;
  if (ms < e->answer_ms)
    ms = e->answer_ms - (e->answer_ms - ms) / ANSWER_DECAY_DIVISOR;
  e->answer_ms = ms;
  e->due_ms = 0;
}

/* Returns the pause after a failed poll.  After a restart, each connection of
   the boot before fails at once when it is used. */
static int64_t
poll_retry_ms (const struct fsched *fs, struct exec *e,
               const struct order_result *res)
{
  bool reset = res->outcome == ORDER_LOST
               && fs->now_ms - e->poll_sent_ms < FSCHED_POLL_RETRY_MS;

  if (!reset || e->boot_known || e->n_resets >= EXEC_CONNECTIONS_MAX)
    return FSCHED_POLL_RETRY_MS;
  e->n_resets++;
  return FSCHED_POLL_GAP_MS;
}

/* Ends the runs of an executor at whose address another one answers, which
   refuses the orders for it. */
static void
end_replaced_runs (struct fsched *fs, struct exec *e)
{
  struct start *r, *next;

  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    if (r->state != START_SENT && r->state != START_INTENT
        && r->state != START_DROPPED)
      start_end (fs, r, RUN_END_REBOOTED);
  if (e->boot_known)
    boot_void (fs, e);
  e->boot_known = false;
}

static bool
is_fenced (const struct order_result *res)
{
  return res->outcome == ORDER_REFUSED && res->reason == REFUSED_FENCE;
}

/* Stops the gangs of which no list may tell in time whether a member has
   started. */
static void
stop_unconfirmed_gangs (struct fsched *fs, struct exec *e)
{
  struct start *r;

  TAILQ_FOREACH (r, &e->runs, exec_link)
    if (r->state == START_UNCONFIRMED && !r->inherited
        && r->job->spec.steps[r->step].gang)
      start_stop_gang (fs, r->job, r->step);
}

/* Processes a failed poll: marks the executor as unreachable and schedules the
   next poll. */
static void
process_poll_failure (struct fsched *fs, struct exec *e,
                      const struct order_result *res)
{
  if (is_fenced (res))
    fs->fenced = true;
  if (res->outcome == ORDER_WRONG_BOOT)
    end_replaced_runs (fs, e);
  if (!e->unreachable)
    {
      e->unreachable_since_ms = fs->now_ms;
      out_line (fs->out,
                "event=exec-unreachable exec=%s outcome=%s has_runs=%d",
                e->rep.id, order_outcome_names[res->outcome],
                !TAILQ_EMPTY (&e->runs));
    }
  e->unreachable = true;
  e->due_ms = 0;
  e->next_poll_ms = fs->now_ms + poll_retry_ms (fs, e, res);
  stop_unconfirmed_gangs (fs, e);
}

/* Counts a poll as failed that has no answer in time.  It stays outstanding:
   a late answer shows how long the executor's answers take. */
static void
end_overdue_poll (struct fsched *fs, struct exec *e)
{
  struct order_result lost = { .outcome = ORDER_LOST };

  e->poll_id = 0;
  process_poll_failure (fs, e, &lost);
}

/* Returns whether the next poll waits until it may acknowledge ends. */
static bool
poll_is_held (const struct fsched *fs, const struct exec *e)
{
  return (fs->now_ms - e->poll_sent_ms < FSCHED_POLL_HELD_MS
          || fs->now_ms - e->acks_due_ms < FSCHED_POLL_HELD_MS)
         && ends_are_due (fs, e) && !may_acknowledge (fs, e);
}

/* Returns the earliest time at which exec_tick() has something to do, unless
   something changes before: the poll is overdue, or a run needs something.
   Without an outstanding poll, the next one may be due at any time. */
static int64_t
next_due_ms (const struct exec *e)
{
  const struct start *r;
  int64_t due_ms;

  if (!e->poll_id || e->unreachable)
    return 0;
  due_ms = e->poll_sent_ms + poll_overdue_ms (e);
  TAILQ_FOREACH (r, &e->runs, exec_link)
    {
      int64_t run_due_ms = start_due_ms (r);
      if (run_due_ms < due_ms)
        due_ms = run_due_ms;
    }
  return due_ms;
}

void
exec_tick (struct fsched *fs, struct exec *e)
{
  struct start *r, *next;
  bool idle;

  if (fs->now_ms < e->due_ms)
    return;
  idle = !exec_recently_listed (fs, e) && e->reconciled
         && TAILQ_EMPTY (&e->runs);
  if (e->poll_id && fs->now_ms - e->poll_sent_ms >= poll_overdue_ms (e))
    end_overdue_poll (fs, e);
  if (!e->poll_id && !idle && fs->now_ms >= e->next_poll_ms
      && !poll_is_held (fs, e))
    send_poll (fs, e);
  TAILQ_FOREACH_SAFE (r, &e->runs, exec_link, next)
    start_tick (fs, r);
  e->due_ms = next_due_ms (e);
  if (e->unreachable && !TAILQ_EMPTY (&e->runs) && leases_expired (fs, e))
    end_expired_runs (fs, e);
}

void
exec_ask_list (struct fsched *fs, struct exec *e)
{
  e->list_due = true;
  /* The answer to a poll that permits no delay is about to arrive. */
  if (e->poll_id && e->poll_wait_ms)
    e->poll_id = 0;
  e->due_ms = 0;
  e->next_poll_ms = fs->now_ms;
}

void
exec_mark_unreachable (struct fsched *fs, struct exec *e, const char *why)
{
  if (e->unreachable)
    return;
  e->unreachable = true;
  e->due_ms = 0;
  e->unreachable_since_ms = fs->now_ms;
  out_line (fs->out, "event=exec-unreachable exec=%s outcome=%s", e->rep.id,
            why);
}

void
exec_count_success (struct exec *e)
{
  e->failures_in_row = 0;
  e->quarantine_ms = 0;
}

void
exec_count_failure (struct fsched *fs, struct exec *e)
{
  if (ABLATED (QUARANTINE) || ++e->failures_in_row < FSCHED_QUARANTINE_FAILURES
      || fs->now_ms < e->quarantine_until_ms)
    return;
  e->quarantine_ms
      = e->quarantine_ms ? 2 * e->quarantine_ms : FSCHED_QUARANTINE_MS;
  if (e->quarantine_ms > FSCHED_QUARANTINE_MAX_MS)
    e->quarantine_ms = FSCHED_QUARANTINE_MAX_MS;
  e->quarantine_until_ms = fs->now_ms + e->quarantine_ms;
  /* One failure after the quarantine is enough for the next quarantine. */
  e->failures_in_row = FSCHED_QUARANTINE_FAILURES - 1;
  fs->stats->quarantines++;
  out_line (fs->out, "event=exec-quarantined exec=%s for_ms=%lld", e->rep.id,
            (long long)e->quarantine_ms);
}

/* Marks an executor as reachable after it has answered a poll, and detects a
   new boot. */
static void
mark_reachable (struct fsched *fs, struct exec *e,
                const struct pending_order *p, const struct order_result *res)
{
  boot_note (fs, e, p, res);
  if (!e->answered || e->unreachable)
    {
      out_line (
          fs->out, "event=exec-reachable exec=%s reconciled=%d away_ms=%lld",
          e->rep.id, e->reconciled,
          (long long)(e->unreachable ? fs->now_ms - e->unreachable_since_ms
                                     : 0));
      fs->pass_due = true;
    }
  e->answered = true;
  e->unreachable = false;
  boot_keep_clock (fs, e, p, res->clock_ms);
}

void
exec_poll_result (struct fsched *fs, const struct pending_order *p,
                  const struct order_result *res)
{
  struct exec *e = p->exec;
  struct order_result lost = { .outcome = ORDER_LOST };
  bool first_answer = !e->answered;

  if (p->recorded_end_seq && res->outcome != ORDER_LOST
      && p->fencing_token == exec_token (fs, e))
    e->n_acks_out--;
  if (order_was_answered (res))
    exec_add_answer_time (fs, e, p);
  else if (p->recorded_end_seq)
    out_line (fs->out,
              "event=acknowledgement-lost exec=%s seq=%lld token=%lld "
              "boot=%lld",
              e->rep.id, (long long)p->recorded_end_seq,
              (long long)p->fencing_token, (long long)e->boot_start_ms);
  /* The poll is overdue and was counted as failed.  A later one may have shown
     what is newer, and so may a new boot. */
  if (p->id != e->poll_id
      && (p->id != e->last_poll_id || p->n_exec_boots != e->n_boots
          || !order_was_answered (res)))
    return;
  e->poll_id = 0;
  e->due_ms = 0;
  if (res->n_bad_rows != e->n_bad_rows)
    out_line (fs->out, "event=bad-row exec=%s rows=%zu", e->rep.id,
              res->n_bad_rows);
  e->n_bad_rows = res->n_bad_rows;
  if (order_was_answered (res))
    domain_answered (fs, e);
  /* A later order of this leader has arrived before. */
  if (is_fenced (res) && p->fencing_token < exec_token (fs, e))
    {
      e->next_poll_ms = fs->now_ms;
      return;
    }
  if (res->outcome != ORDER_DONE)
    {
      process_poll_failure (fs, e, res);
      return;
    }
  /* The answer to an order has shown a new boot since the poll was sent.  The
     clock and the lists may be those of the boot before. */
  if (p->n_exec_boots != e->n_boots)
    {
      process_poll_failure (fs, e, &lost);
      return;
    }
  mark_reachable (fs, e, p, res);
  if (p->n_exec_boots == e->n_boots
      && p->recorded_end_seq > e->forgotten_end_seq)
    {
      e->forgotten_end_seq = p->recorded_end_seq;
      e->acks_due_ms = fs->now_ms;
    }
  lists_process (fs, e, p, res);
  crash_check_lapsed (fs, e, res);
  if (!e->ends_left)
    e->reconciled = true;
  /* While ends are not recorded, the next poll is delayed until they are, or
     until the lease must be renewed. */
  e->next_poll_ms = fs->now_ms + FSCHED_POLL_GAP_MS;
  if (e->seen_end_seq > e->recorded_end_seq)
    e->next_poll_ms = fs->now_ms + FSCHED_POLL_WAIT_MS / 2;
  if (first_answer || e->list_due)
    e->next_poll_ms = fs->now_ms;
}

/* Stops gangs of which only some members run: an earlier leader may have
   failed between the starts of two members. */
static void
stop_partial_gangs (struct fsched *fs)
{
  struct job *j;

  TAILQ_FOREACH (j, &fs->queue, link)
    for (size_t i = 0; i < j->spec.n_steps; i++)
      {
        const struct jstep *s = &j->steps[i];
        if (j->spec.steps[i].gang && s->n_done == 0 && s->n_running > 0
            && s->n_running < s->n_tasks)
          start_stop_gang (fs, j, (int)i);
      }
}

/* Returns whether the executor certainly runs nothing of earlier leaders,
   although no answer with all ends has shown it: their leases have expired,
   and so have those that this leader gave, if the executor has answered. */
static bool
may_reconcile_unlisted (const struct fsched *fs, const struct exec *e)
{
  return fs->now_ms >= fs->old_leases_end_ms
         && (!e->answered || (e->unreachable && TAILQ_EMPTY (&e->runs)));
}

void
exec_reconcile_check (struct fsched *fs)
{
  struct exec *e;
  int unreconciled = 0;

  if (fs->reconciled)
    return;
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      if (!e->reconciled && may_reconcile_unlisted (fs, e))
        {
          if (!e->answered)
            end_expired_runs (fs, e);
          e->reconciled = true;
          roster_mark_dirty (fs, e);
        }
      unreconciled += !e->reconciled;
    }
  if (unreconciled)
    return;
  fs->reconciled = true;
  stop_partial_gangs (fs);
  fs->pass_due = true;
  out_line (fs->out, "event=reconciled epoch=%lld execs=%d after_ms=%lld",
            (long long)fs->epoch, fs->n_execs,
            (long long)(fs->now_ms - fs->claimed_ms));
  account_log_all (fs, "use-reconciled");
}

/* Returns whether the executor's discovery entry is known to be that of
   another boot, which may have had other labels and another capacity. */
static bool
entry_is_of_other_boot (const struct exec *e)
{
  return boot_has_changed (e, e->rep.boot_start_ms);
}

/* Returns whether the executor gets no starts until it has forgotten ends: it
   lists so many that later ones would soon be left out, or it may forget them
   only once all starts on their way are answered. */
static bool
has_ends_to_forget (const struct fsched *fs, const struct exec *e)
{
  if (e->seen_end_seq - e->forgotten_end_seq >= LISTED_ENDS_MAX)
    return true;
  return e->n_unanswered > 0 && ends_are_due (fs, e)
         && fs->now_ms - e->acks_due_ms >= FSCHED_POLL_HELD_MS;
}

bool
exec_eligible (const struct fsched *fs, const struct exec *e)
{
  return !fs->starts_held && exec_recently_listed (fs, e) && e->answered
         && !e->unreachable && e->recorded && e->reconciled && !e->n_orphans
         && !e->rep.draining && !entry_is_of_other_boot (e)
         && domain_takes_starts (e) && fs->now_ms >= e->quarantine_until_ms
         && !has_ends_to_forget (fs, e);
}

bool
exec_has_label (const struct exec *e, const char *label)
{
  char text[JOB_LABEL_SIZE + 2];

  /* exec_report::labels has commas between labels only. */
  if (strchr (label, ','))
    return false;
  snprintf (text, sizeof text, ",%s,", label);
  return strstr (e->rep.labels, text) != NULL;
}

bool
exec_usable (const struct exec *e, const struct job *j, int step)
{
  int label_id = j->steps[step].label_id;

  if (!e->eligible || e->service_id != j->service_id)
    return false;
  if (!label_id)
    return true;
  return label_id <= LABELS_MAX
             ? e->label_set >> label_id & 1
             : exec_has_label (e, j->spec.steps[step].label);
}

/* Returns how many times @need fits into the unused part of a capacity;
   INT32_MAX if @need is 0. */
static int64_t
fit_count (int64_t capacity, int64_t used, int64_t need)
{
  return need > 0 ? (capacity - used) / need : INT32_MAX;
}

int
exec_fit_beside (const struct exec *e, const struct job *j, int step, int max,
                 const struct job_need *reserved)
{
  const struct job_step *s = &j->spec.steps[step];
  const struct job_need *capacity = &e->rep.capacity;
  int64_t n = max;
  int64_t fits;

  if (!s->best_effort_cpu
      && (fits = fit_count (capacity->millicores,
                            e->used.millicores + reserved->millicores,
                            s->need.millicores))
             < n)
    n = fits;
  if ((fits = fit_count (capacity->mem_mb, e->used.mem_mb + reserved->mem_mb,
                         s->need.mem_mb))
      < n)
    n = fits;
  if ((fits = fit_count (capacity->accels, e->used.accels + reserved->accels,
                         s->need.accels))
      < n)
    n = fits;
  if (s->max_per_exec && n > 0)
    {
      const struct start *r;
      fits = s->max_per_exec;
      TAILQ_FOREACH (r, &e->runs, exec_link)
        if (r->job == j && r->step == step)
          fits--;
      n = fits < n ? fits : n;
    }
  return n < 0 ? 0 : (int)n;
}

int
exec_fit_count (const struct exec *e, const struct job *j, int step, int max)
{
  return exec_fit_beside (e, j, step, max, &e->reserved);
}
