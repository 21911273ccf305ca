/*
 * Cancels jobs for callers.  A job that is recorded is cancelled by a row of
 * its own.  For one that is not, a withdrawal is recorded in the job's row, as
 * a submission may still be on its way; see withdraw.h.
 */
#include "api_impl.h"

/* Sends a write of the row that cancels the recorded job. */
static void
send_cancel (struct fleet *f, struct api_request *c)
{
  struct store_op *op = api_send_call (f, c, STORE_TXN);
  char key[CLB_NAME_MAX];

  c->step = API_WRITING;
  api_job_key (c->job_id, ".cancel", key);
  op->timeout_ms = api_write_timeout_ms (f);
  store_put (op, key, "{}");
}

/* Sends a write of a withdrawal, on the condition that the job's row is as it
   was read. */
static void
send_withdrawal (struct fleet *f, struct api_request *c)
{
  struct store_op *op = api_send_call (f, c, STORE_TXN);
  clb_auto char *text = withdrawal_text (c->withdrawn_ms);
  char key[CLB_NAME_MAX];

  c->step = API_WRITING;
  api_job_key (c->job_id, "", key);
  op->timeout_ms = api_write_timeout_ms (f);
  store_cond (op, key, c->row_ver);
  store_put (op, key, text);
}

/* Returns whether a withdrawal of the caller's client account may be recorded
   now: they must not take the writes of those who submit jobs. */
static bool
withdrawal_allowed (struct fleet *f, const struct api_request *c)
{
  int64_t writes = f->settings.limits.writes_per_s;
  double per_s = (double)(writes ? writes : FLEET_WRITES_PER_S_DEFAULT)
                 / fleet_n_instances (f);

  return rate_take (&f->account_withdrawals, f->now_ms, c->tenant,
                    per_s / FLEET_ACCOUNT_WITHDRAWALS_DIVISOR)
         && rate_take (&f->all_withdrawals, f->now_ms, "",
                       per_s / FLEET_WITHDRAWALS_DIVISOR);
}

/* Returns whether a withdrawal stands long enough to answer the caller. */
static bool
withdrawal_recent (int64_t withdrawn_ms, int64_t table_ms)
{
  return withdrawn_ms && table_ms >= withdrawn_ms
         && table_ms - withdrawn_ms < WITHDRAWAL_RENEW_MS;
}

static void
log_read (struct fleet *f, const struct api_request *c, const char *found,
          const struct row *row, int64_t withdrawn_ms, int64_t table_ms)
{
  out_line (&f->out,
            "event=cancel-read call=%llu job=%s found=%s ver=%lld "
            "withdrawn_ms=%lld table_ms=%lld tries=%d",
            (unsigned long long)c->request_id, c->job_id, found,
            row ? (long long)row->ver : 0, (long long)withdrawn_ms,
            (long long)table_ms, c->tries);
}

void
api_cancel_read (struct fleet *f, struct api_request *c, const struct row *row,
                 int64_t table_ms)
{
  const char *value = row ? row->value : NULL;
  int64_t withdrawn_ms = 0;
  bool withdrawn = withdrawal_parse (value, &withdrawn_ms);

  log_read (f, c,
            withdrawn ? "withdrawal"
            : value   ? "job"
                      : "nothing",
            row, withdrawn_ms, table_ms);
  if (value && !withdrawn)
    {
      c->withdrawing = false;
      send_cancel (f, c);
      return;
    }
  if (withdrawal_recent (withdrawn_ms, table_ms))
    {
      api_finish (f, c, ANSWER_NO_JOB, NULL);
      return;
    }
  if (!c->withdrawing && !withdrawal_allowed (f, c))
    {
      api_finish (f, c, ANSWER_CANCEL_LIMIT, NULL);
      return;
    }
  c->withdrawing = true;
  c->row_ver = withdrawn ? row->ver : 0;
  c->withdrawn_ms = table_ms ? table_ms : fleet_table_ms (f);
  send_withdrawal (f, c);
}

void
api_cancel_written (struct fleet *f, struct api_request *c,
                    const struct store_rep *rep)
{
  const struct row *row = api_job_row (c, rep);

  if (rep->err && row)
    api_cancel_read (f, c, row, rep->now_ms);
  else if (rep->err)
    api_read_again (f, c);
  else if (c->withdrawing)
    api_finish (f, c, ANSWER_NO_JOB, NULL);
  else
    {
      fleet_notify_job (f, c->job_id, NULL);
      api_finish (f, c, ANSWER_CANCELLED, NULL);
    }
}

void
api_cancel_retry (struct fleet *f, struct api_request *c)
{
  /* A read shows whether a withdrawal was recorded whose write had no
     answer. */
  if (c->withdrawing && c->outcome_unknown)
    api_send_read (f, c, API_READING_JOB);
  else if (c->withdrawing)
    send_withdrawal (f, c);
  else
    send_cancel (f, c);
}
