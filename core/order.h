/**
 * DOC: Orders to the fleet's executors, and the results of orders.
 *
 * An executor checks the fencing token of each order, runs a task only while a
 * lease covers it, and reports each ended run until the leader acknowledges
 * that the end is recorded.
 */
#ifndef ORDER_H
#define ORDER_H

#include "checkpoint.h"
#include "job.h"

enum
{
  /* Longest ticket, in bytes: as long as the longest string that the users'
     pages state, a job's payload.  A step has one for each executor that it is
     permitted. */
  ORDER_TICKET_BYTES_MAX = JOB_PAYLOAD_MAX,
  /* Maximum number of executors named in one advice query. */
  ORDER_ADVICE_EXECS_MAX = 100,
};

/** struct task_ref - one task of one job */
struct task_ref
{
  char job[JOB_ID_SIZE];
  int64_t occurrence; /* occurrence of a repeated job, numbered from 0 */
  int64_t step;       /* index of the step in the job */
  int64_t index;      /* index of the task in its step */
};

/** enum order_kind - what an order requests */
enum order_kind
{
  ORDER_START,  /* start a run of a task */
  ORDER_STOP,   /* stop a run */
  ORDER_POLL,   /* renew the lease; list running and ended tasks */
  ORDER_ADVISE, /* advice query: which executors may run a step */
  ORDER_KIND_N
};
extern const char *const order_kind_names[ORDER_KIND_N + 1];

/**
 * struct order - an order or advice query; each has one struct order_result
 */
struct order
{
  int kind;              /* enum order_kind */
  uint64_t id;           /* matches the result to the order */
  char exec[CLB_ID_MAX]; /* id of the executor; empty for an advice query */
  /* Address of the executor.  For an advice query: address of the instance
     that sends the query to the advice service; empty: this instance. */
  char addr[CLB_ADDR_MAX];
  int64_t fencing_token; /* see FSCHED_FENCE_BITS */
  int64_t timeout_ms;
  /* Task of a start or stop.  For an advice query: the step; the index has no
     meaning. */
  struct task_ref task;
  int64_t run_id; /* of a start or stop: id of the run */
  char *payload;  /* of a start: text passed to the task, owned */
  /* Of a start: checkpoint to resume from, a reference; NULL: none. */
  struct checkpoint *checkpoint;
  char *ticket; /* of a start: ticket that permits it, owned; NULL: none */
  /* Of a start or poll: end of the lease, on the executor's clock.  In a poll,
     0 means that the lease is not renewed. */
  int64_t lease_deadline_ms;
  /* Of a poll: the leader has recorded the ends up to this end_row::seq, which
     the executor may forget; 0: none that it has not forgotten. */
  int64_t recorded_end_seq;
  /* Of a poll: how long the executor may wait for a run to end before it
     answers. */
  int64_t wait_ms;
  /* Of an advice query: address of the instance that the answer is sent to;
     empty: this instance. */
  char reply_to[CLB_ADDR_MAX];
  int64_t received_ms; /* of an advice query: when this instance received it */
  char (*execs)[CLB_ID_MAX]; /* of an advice query: ids of executors, owned */
  size_t n_execs;
};

/** enum order_outcome - outcome of an order */
enum order_outcome
{
  ORDER_DONE,    /* carried out */
  ORDER_REFUSED, /* refused, see order_result::reason */
  ORDER_BUSY,    /* refused, as the executor is busy; nothing was done */
  /* Another boot of the executor answered than the one that the order is for;
     nothing was done. */
  ORDER_WRONG_BOOT,
  ORDER_UNREACHED, /* there was no connection; nothing was sent */
  /* The order was sent, but no answer arrived.  The executor may carry it out,
     even later. */
  ORDER_LOST,
  ORDER_OUTCOME_N
};

/** enum order_refusal - why an executor refused an order */
enum order_refusal
{
  REFUSED_OTHER,     /* no reason given, or an unknown one */
  REFUSED_FENCE,     /* the executor has seen a higher fencing token */
  REFUSED_STALE_RUN, /* a run of the task with this or a higher id has ended */
  REFUSED_LEASE_OVER, /* the lease has expired */
  REFUSED_NO_ROOM,    /* the executor has no capacity for the task */
  REFUSED_TICKET,     /* the executor does not accept the ticket */
  REFUSED_N
};

/** struct run_row - a running task that an executor reports */
struct run_row
{
  struct task_ref task;
  int64_t run_id;
  int64_t percent;                   /* progress of the run */
  struct checkpoint_view checkpoint; /* the latest one */
};

/** enum run_end - how a run has ended */
enum run_end
{
  RUN_END_DONE,            /* the run succeeded */
  RUN_END_FAILED,          /* the task itself failed */
  RUN_END_STOPPED,         /* an order stopped the run */
  RUN_END_LAPSED,          /* the lease expired */
  RUN_END_GANG_BROKEN,     /* another member of the gang ended */
  RUN_END_GANG_INCOMPLETE, /* the other members of the gang did not start */
  /* The executor rebooted.  No executor reports this end; the scheduler
     concludes it. */
  RUN_END_REBOOTED,
  /* The run did not start.  No executor reports this end; the scheduler
     concludes it. */
  RUN_END_NOT_STARTED,
  RUN_END_N
};

/** struct end_row - an ended run that an executor reports */
struct end_row
{
  int64_t seq; /* rising number of the end, within one boot of the executor */
  struct task_ref task;
  int64_t run_id;
  int run_end;                       /* enum run_end */
  struct checkpoint_view checkpoint; /* the latest one */
};

/** struct permitted_exec - an executor that advice permits to run a step */
struct permitted_exec
{
  char exec[CLB_ID_MAX]; /* id of the executor */
  /* Ticket for starts there, see order_result::strings; NULL: none. */
  const char *ticket;
};

/** struct order_result - the result of an order; owns its arrays */
struct order_result
{
  int outcome; /* enum order_outcome */
  /* If outcome is ORDER_REFUSED, the reason: enum order_refusal. */
  int reason;
  int64_t clock_ms;      /* the executor's clock; 0: not reported */
  int64_t boot_start_ms; /* start of the executor's boot; 0: not reported */
  struct run_row *runs;  /* of a poll: running tasks */
  size_t n_runs;
  struct end_row *ends; /* of a poll: ended runs, sorted by seq */
  size_t n_ends;
  /* Of an advice query: permitted executors. */
  struct permitted_exec *permitted;
  size_t n_permitted;
  int64_t valid_ms; /* how long the tickets are valid; 0: not reported */
  /* Of an advice query: how long the instance that sent it waited for the
     answer; 0: not reported. */
  int64_t took_ms;
  /* Of a poll or an advice query: number of rows of the lists that are left
     out because they cannot be used. */
  size_t n_bad_rows;
  /* Of a poll: the executor may have more ended runs than ends lists, so that
     a run which is in neither list may have ended. */
  bool ends_left;
  /* Owned: document that the strings of rows are borrowed from; NULL: none. */
  json_t *strings;
};

/** struct exec_report - an executor's entry in discovery */
struct exec_report
{
  char id[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX];
  char service[CLB_NAME_MAX];
  char zone[CLB_NAME_MAX];
  char labels[2 * JOB_LABEL_SIZE]; /* separated and enclosed by commas */
  char rack[JOB_LABEL_SIZE];       /* empty: not reported */
  struct job_need capacity;        /* total capacity, used or not */
  bool draining;                   /* the executor takes no new tasks */
  /* Of a draining executor: minimum time until the executor leaves. */
  int64_t remaining_ms;
  int64_t boot_start_ms; /* start of the executor's boot */
};

extern const char *const order_names[];
extern const char *const order_outcome_names[ORDER_OUTCOME_N + 1];
extern const char *const order_refusal_names[REFUSED_N + 1];
extern const char *const run_end_names[RUN_END_N + 1];

/** order_was_answered() - Return whether the executor or service answered an
 * order. */
bool order_was_answered (const struct order_result *r);
/** order_clear() - Free what an order owns, but not @o itself, and set the
 * members that it owned to NULL. */
void order_clear (struct order *o);
/** order_free() - Free an order and what it owns; @o may be NULL. */
void order_free (struct order *o);
/** order_result_clear() - Free what @r owns, then zero @r. */
void order_result_clear (struct order_result *r);

#endif
