/*
 * Boots of executors.  An executor may start again under its id; what holds
 * for one boot is not taken for another (docs/design/executor-boots.md).
 */
#include "fsched_impl.h"

enum
{
  /* Fastest rate of an executor's clock that is not taken for a sign of a new
     boot, in percent of the local clock's rate. */
  CLOCK_RATE_HIGH = 102,
};

bool
boot_has_changed (const struct exec *e, int64_t boot_start_ms)
{
  return boot_start_ms && e->boot_start_ms
         && e->boot_start_ms != boot_start_ms;
}

/* Resets the sequence numbers of the executor's ends, so that none of the new
   boot is acknowledged unseen. */
static void
reset_end_seqs (struct exec *e)
{
  e->seen_end_seq = 0;
  e->held_end_seq = 0;
  e->round_end_seq = 0;
  e->writing_end_seq = 0;
  e->recorded_end_seq = 0;
  e->forgotten_end_seq = 0;
}

void
boot_void (struct fsched *fs, struct exec *e)
{
  struct start *r;

  e->n_boots++;
  exec_raise_token (e);
  e->list_poll_id = 0;
  reset_end_seqs (e);
  e->failures_in_row = 0;
  e->quarantine_until_ms = 0;
  e->quarantine_ms = 0;
  e->due_ms = 0;
  TAILQ_FOREACH (r, &e->runs, exec_link)
    {
      r->stop_acked_ms = 0;
      r->deadline_ms = 0;
      if (r->state == START_INTENT)
        start_stop (fs, r);
    }
  fs->pass_due = true;
}

/* Takes the leases of an executor for the longest that it grants at the
   reading @clock_ms of its clock: until then, it may have carried out orders
   with a deadline that was meant for another clock.
   @new_boot: the deadlines known so far are of the boot before */
static void
expect_longest_lease (const struct fsched *fs, struct exec *e,
                      int64_t clock_ms, bool new_boot)
{
  int64_t deadline_ms = clock_ms + fs->lease_max_ms;

  if (new_boot || deadline_ms > e->lease_deadline_ms)
    e->lease_deadline_ms = deadline_ms;
}

void
boot_ask (struct fsched *fs, struct exec *e, const char *sign)
{
  out_line (fs->out, "event=exec-boot-unknown exec=%s sign=%s boot=%lld",
            e->rep.id, sign, (long long)e->boot_start_ms);
  boot_void (fs, e);
  e->boot_known = false;
  e->n_resets = 0;
  expect_longest_lease (fs, e, exec_clock_now (fs, e), false);
  e->poll_id = 0;
  e->due_ms = 0;
  e->next_poll_ms = fs->now_ms;
  exec_mark_unreachable (fs, e, sign);
}

/* Returns whether the clock in the answer to order @p shows another boot than
   the one that was known when the order was sent: it went back, or further
   ahead than the time that has passed.  A boot begins at any reading.  How
   late the answer comes says nothing. */
static bool
clock_shows_boot (const struct fsched *fs, const struct exec *e,
                  const struct pending_order *p, int64_t clock_ms)
{
  int64_t elapsed_ms = fs->now_ms - p->exec_clock_sent_ms;

  if (clock_ms <= 0 || !p->exec_clock_ms || p->n_exec_boots != e->n_boots)
    return false;
  return clock_ms < p->exec_clock_ms
         || clock_ms - p->exec_clock_ms
                > elapsed_ms * CLOCK_RATE_HIGH / 100 + FSCHED_CLOCK_MARGIN_MS;
}

void
boot_keep_clock (const struct fsched *fs, struct exec *e,
                 const struct pending_order *p, int64_t clock_ms)
{
  e->clock_ms = clock_ms;
  e->clock_sent_ms = p->sent_ms;
  e->last_contact_ms = fs->now_ms;
}

bool
boot_detect (struct fsched *fs, struct exec *e, const struct pending_order *p,
             int64_t clock_ms)
{
  if (!clock_shows_boot (fs, e, p, clock_ms))
    return false;
  boot_keep_clock (fs, e, p, clock_ms);
  e->lease_deadline_ms = 0;
  boot_ask (fs, e, "clock");
  return true;
}

void
boot_note (struct fsched *fs, struct exec *e, const struct pending_order *p,
           const struct order_result *res)
{
  bool new_boot = boot_has_changed (e, res->boot_start_ms)
                  || clock_shows_boot (fs, e, p, res->clock_ms);

  if (new_boot)
    out_line (fs->out,
              "event=exec-rebooted exec=%s clock_ms=%lld boot_start=%lld "
              "boot_before=%lld asked=%d",
              e->rep.id, (long long)res->clock_ms,
              (long long)res->boot_start_ms, (long long)e->boot_start_ms,
              !e->boot_known);
  /* After another sign of the boot, the poll itself had the higher token. */
  if (new_boot && e->boot_known)
    boot_void (fs, e);
  if (new_boot || !e->answered || p->n_exec_boots > e->n_boots_polled)
    expect_longest_lease (fs, e, res->clock_ms, new_boot);
  e->n_boots_polled = p->n_exec_boots;
  if (new_boot || res->boot_start_ms)
    e->boot_start_ms = res->boot_start_ms;
  e->boot_known = true;
}
