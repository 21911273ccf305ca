/**
 * DOC: Withdrawals of submissions.
 *
 * A caller may cancel a job that is not recorded while a submission of it is
 * still on its way to the table service.  The cancellation is then recorded as
 * a withdrawal, in the row that the job would have.  A submission is written
 * on the condition that this row does not exist, so that it is not recorded
 * while the withdrawal stands, whichever instance has sent it and however late
 * the table service carries it out.
 *
 * The leader removes a withdrawal once no submission that was sent before it
 * can still arrive.
 */
#ifndef WITHDRAW_H
#define WITHDRAW_H

#include "fsched.h"

enum
{
  /* A withdrawal stands for this time, at least.  It covers the time for which
     an instance repeats a submission (FLEET_SUBMIT_MAX_MS), the time for which
     the table service may carry out a write late, some seconds, and a pause of
     the instance that holds the submission. */
  WITHDRAWAL_HOLD_MS = 60000,
  /* A withdrawal that is older is written again when the job is cancelled once
     more. */
  WITHDRAWAL_RENEW_MS = 20000,
  /* Maximum number of withdrawals that one write removes.  Each is a condition
     and a row, of which a write has 100. */
  WITHDRAWAL_REMOVALS_MAX = 49,
  /* Interval between looks for withdrawals to be removed, each at one part. */
  WITHDRAWAL_SWEEP_MS = 250,
  /* The same after a write that removed as many as it can. */
  WITHDRAWAL_SWEEP_NEXT_MS = 50,
  /* Pause of a part after a removal that failed. */
  WITHDRAWAL_RETRY_MS = 1000,
};

/** struct withdrawal - a withdrawal that the leader knows */
struct withdrawal
{
  RB_ENTRY (withdrawal) by_id;
  TAILQ_ENTRY (withdrawal) link; /* in withdrawal_part::queue */
  char id[JOB_ID_SIZE];
  int64_t ver; /* version of the row */
  /* Time of the withdrawal on the clock of the table service; 0: not known. */
  int64_t table_ms;
  int64_t seen_ms; /* time at which this instance read the row */
  bool removing;   /* the removal of the row has no answer yet */
};
RB_HEAD (withdrawal_tree, withdrawal);
TAILQ_HEAD (withdrawalq, withdrawal);

/** struct withdrawal_part - the withdrawals in one part of the table of jobs
 */
struct withdrawal_part
{
  struct withdrawalq queue;
  uint64_t token;  /* token of the outstanding removal; 0: none */
  int64_t next_ms; /* earliest time of the next removal */
};

/** struct withdrawals - all withdrawals that the leader knows */
struct withdrawals
{
  struct withdrawal_tree by_id;
  struct withdrawal_part parts[FSCHED_JOB_PARTS];
  struct outq *out;     /* borrowed: queue of calls to be sent */
  uint64_t *last_token; /* borrowed: last token given to a call */
  int n;                /* number of withdrawals */
  int next_part;        /* part that is looked at next */
  int64_t next_ms;      /* time of the next look */
  uint64_t n_removed;   /* withdrawals removed since the process began */
};

/** withdrawal_text() - Return the value of the row of a withdrawal, which the
 * caller frees.  @table_ms: as withdrawal::table_ms */
char *withdrawal_text (int64_t table_ms);
/**
 * withdrawal_parse() - Return true if @value is that of a withdrawal, not of a
 * job.
 * @value: value of a row of the table of jobs; NULL: the row does not exist
 * @table_ms: set as withdrawal::table_ms
 */
bool withdrawal_parse (const char *value, int64_t *table_ms);

/** withdrawals_init() - Set up @w without any withdrawal.  @out and
 * @last_token are borrowed. */
void withdrawals_init (struct withdrawals *w, struct outq *out,
                       uint64_t *last_token);
/** withdrawals_clear() - Forget all withdrawals; their rows stay. */
void withdrawals_clear (struct withdrawals *w);
/**
 * withdrawals_row() - Handle that the row of job @id was read.
 * @ver: version of the row
 * @value: the row's value; NULL: the row does not exist
 *
 * Return: true if the row is that of a withdrawal.
 */
bool withdrawals_row (struct withdrawals *w, int64_t now_ms, const char *id,
                      int64_t ver, const char *value);
/** withdrawals_tick() - Send the removals that are due.  @table_ms: time on
 * the clock of the table service; 0: not known */
void withdrawals_tick (struct withdrawals *w, int64_t now_ms,
                       int64_t table_ms);
/** withdrawals_store_reply() - Handle the answer @rep to call @token.  Return
 * false if the call is not a removal. */
bool withdrawals_store_reply (struct withdrawals *w, int64_t now_ms,
                              uint64_t token, const struct store_rep *rep);

#endif
