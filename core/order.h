/**
 * DOC: Orders to the fleet's executors and what comes back.
 *
 * An executor checks the fencing token of each order, runs only what holds a
 * lease, and keeps each end until told that it is recorded.
 */
#ifndef ORDER_H
#define ORDER_H

#include "job.h"

enum
{
  ORDER_TICKET_SIZE = 96,
  ORDER_ADVICE_EXECS_MAX = 100, /* executors in one question for advice */
};

/** struct task_ref - one task of one job */
struct task_ref
{
  char job[JOB_ID_SIZE];
  int64_t occurrence; /* of a repeated job */
  int64_t step;
  int64_t index;
};

enum order_kind
{
  ORDER_START,
  ORDER_STOP,
  ORDER_POLL, /* renew the lease; asks what runs and what has ended */
  ORDER_ADVISE,
  ORDER_KIND_N
};
extern const char *const order_kind_names[ORDER_KIND_N + 1];

/** struct order - sent once, answered once by struct order_result */
struct order
{
  int kind;    /* enum order_kind */
  uint64_t id; /* echoed in the result */
  char exec[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX];
  int64_t fencing_token;
  int64_t timeout_ms;
  /* Of a start or stop; of advice, without the index. */
  struct task_ref task;
  int64_t run_id;
  char *text; /* owned */
  char checkpoint[JOB_CHECKPOINT_SIZE];
  char ticket[ORDER_TICKET_SIZE];
  /* Of a start or hold: when the lease ends, on the executor's clock. */
  int64_t lease_deadline_ms;
  /* Of a hold. */
  int64_t recorded_end_seq; /* ends up to this number are recorded */
  int64_t wait_ms;          /* the answer may wait so long for an end */
  /* Of a question for advice.  Its address is the instance that is to ask,
     empty for this one; the answer goes to another one where it asked. */
  char reply_to[CLB_ADDR_MAX];
  char (*execs)[CLB_ID_MAX]; /* owned */
  size_t n_execs;
};

enum order_outcome
{
  ORDER_DONE,
  ORDER_REFUSED,    /* the executor refused; see the reason */
  ORDER_BUSY,       /* asked to come later; nothing was done */
  ORDER_WRONG_BOOT, /* another boot answered; nothing was done */
  ORDER_UNREACHED,  /* nothing was sent */
  ORDER_LOST,       /* sent, no answer: may be carried out, also later */
  ORDER_OUTCOME_N
};

enum order_refusal
{
  REFUSED_OTHER,
  REFUSED_FENCE,      /* a higher fencing token was seen */
  REFUSED_STALE_RUN,  /* not above a run stopped or ended there */
  REFUSED_LEASE_OVER, /* the lease has ended */
  REFUSED_NO_ROOM,
  REFUSED_TICKET,
  REFUSED_N
};

/** struct run_row - a task that an executor runs */
struct run_row
{
  struct task_ref task;
  int64_t run_id;
  int64_t percent;
  char checkpoint[JOB_CHECKPOINT_SIZE];
};

enum run_end
{
  RUN_END_DONE,
  RUN_END_FAILED,
  RUN_END_STOPPED,
  RUN_END_LAPSED,
  RUN_END_GANG_BROKEN,     /* another member of the gang ended */
  RUN_END_GANG_INCOMPLETE, /* the other members of the gang did not come */
  RUN_END_REBOOTED,        /* the executor's boot is over; told by nobody */
  RUN_END_NOT_STARTED,     /* never began */
  RUN_END_N
};

/** struct end_row - a task that has ended */
struct end_row
{
  int64_t seq;
  struct task_ref task;
  int64_t run_id;
  int how; /* enum run_end */
  char checkpoint[JOB_CHECKPOINT_SIZE];
};

/** struct permitted_exec - an executor that may run the step */
struct permitted_exec
{
  char exec[CLB_ID_MAX];
  char ticket[ORDER_TICKET_SIZE];
};

struct order_result
{
  int outcome;           /* enum order_outcome */
  int reason;            /* enum order_refusal */
  int64_t clock_ms;      /* of the executor; 0: not told */
  int64_t boot_start_ms; /* start of the executor's boot; 0: not told */
  struct run_row *runs;
  size_t n_runs;
  struct end_row *ends; /* numbers rise */
  size_t n_ends;
  struct permitted_exec *permitted;
  size_t n_permitted;
  int64_t valid_ms; /* of the tickets */
};

/** struct exec_report - what an executor says of itself */
struct exec_report
{
  char id[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX];
  char service[CLB_NAME_MAX];
  char zone[CLB_NAME_MAX];
  char labels[2 * JOB_LABEL_SIZE]; /* separated and enclosed by commas */
  char rack[JOB_LABEL_SIZE];
  struct job_need capacity;
  bool draining;
  int64_t remaining_ms; /* it stays at least so long while draining */
  int64_t boot_start_ms;
};

extern const char *const order_names[];
extern const char *const order_outcome_names[ORDER_OUTCOME_N + 1];
extern const char *const order_refusal_names[REFUSED_N + 1];
extern const char *const run_end_names[RUN_END_N + 1];

void order_free (struct order *o);
/** order_result_clear() - Free what the result owns. */
void order_result_clear (struct order_result *r);

#endif
