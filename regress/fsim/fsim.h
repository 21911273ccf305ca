/**
 * DOC: Simulation of a small fleet on a virtual clock.
 *
 * The instances run the scheduler's real core.  The table service, the
 * executors and the advice service are simulated, and faults can be injected
 * into each of them.  The executors check what they are ordered to do and
 * report violations.  The Lua scripts in regress/fleet/ control a simulation.
 */
#ifndef FSIM_H
#define FSIM_H

#include "fleet.h"

enum
{
  FSIM_INSTANCES_MAX = 64,
  FSIM_EXECS_MAX = 512,
  /* Latency of a message in one direction, between any two processes. */
  FSIM_LINK_MS = 2,
  /* The table executes one write after another; each takes a third of this
     time, multiplied by ftable::slow_factor. */
  FSIM_STORE_MS = 3,
  /* Number of past changes that a feed can return. */
  FSIM_HISTORY_MAX = 100000,
};

struct fsim;

/** struct fsim_event - a callback that is due at a simulated time */
struct fsim_event
{
  int64_t at_ms;
  uint64_t seq; /* events of the same time are executed in this order */
  void (*fn) (struct fsim *s, void *arg);
  void *arg;
};

/** struct ftable_row - a row of the table service */
struct ftable_row
{
  RB_ENTRY (ftable_row) by_key;
  char *key;
  char *value;
  int64_t ver; /* table version of the last write of this row */
};
RB_HEAD (ftable_row_tree, ftable_row);

/** struct ftable_change - an entry of the table's change history */
struct ftable_change
{
  int64_t ver;
  char *key;
};

/** struct ftable - the simulated table service */
struct ftable
{
  struct ftable_row_tree rows;
  int64_t ver; /* number of writes so far */
  struct ftable_change *changes;
  size_t n_changes;
  /* A feed cannot return changes up to this version. */
  int64_t compacted_ver;
  int64_t down_until_ms;
  /* Latencies are multiplied by this factor; 0 counts as 1. */
  int64_t slow_factor;
  /* Share (0 to 1) of writes that are executed but not answered. */
  double reply_lost_share;
  /* Share (0 to 1) of writes that are not answered and are executed 1 to 6
     seconds later. */
  double delayed_share;
  /* The table is executing writes until then. */
  int64_t busy_until_ms;
  uint64_t n_calls; /* calls of all kinds from instances */
};

/** struct frun - a run of a task on an executor */
struct frun
{
  struct task_ref task;
  int64_t run_id;
  int64_t start_ms;
  int64_t end_ms;
  int how;          /* enum run_end: how the run ends at end_ms */
  bool stopping;    /* a stop order was received */
  bool awaits_gang; /* other members of the gang have not started yet */
  struct job_need need;
};

/** struct frun_ref - identifies a run of a task */
struct frun_ref
{
  struct task_ref task;
  int64_t run_id;
};

/** struct fexec - a simulated executor */
struct fexec
{
  char id[CLB_ID_MAX];
  int index;
  bool up;
  bool listed; /* while up, it has an entry in the discovery table */
  bool draining;
  int64_t boot_start_ms;
  /* No instance reaches the executor until then. */
  int64_t partitioned_until_ms;
  int64_t lease_until_ms;
  /* The highest fencing token that an order of this boot has had. */
  int64_t fencing_token;
  /* Share (0 to 1) of orders whose answer is lost. */
  double reply_lost_share;
  /* Share (0 to 1) of start and stop orders that are not answered and are
     executed 2 to 12 seconds later. */
  double delayed_share;
  /* Every run that starts here fails. */
  bool fails_runs;
  /* Runs that start here never end by themselves. */
  bool hangs_runs;
  /* Time when an order was last delayed or its answer was last lost. */
  int64_t last_fault_ms;
  /* Connections to the executor fail at once; nothing is sent. */
  bool refuses_connections;
  struct job_need capacity;
  struct frun runs[256];
  int n_runs;
  struct end_row ends[4096];
  int n_ends;
  int64_t last_end_seq;
  /* Runs that were stopped or ended here in this boot. */
  struct frun_ref *past_runs;
  int n_past_runs;
};

/** struct fjob - a job that a caller submits */
struct fjob
{
  RB_ENTRY (fjob) by_id;
  char id[JOB_ID_SIZE];
  struct job_spec spec;
  int64_t task_ms[JOB_STEPS_MAX]; /* run time of a task, by step */
  bool always_fails;              /* every run of its tasks fails */
  bool accepted;
  bool refused; /* every submission of the job was refused */
  int64_t sent_ms;
  int64_t done_ms; /* time when the last task was done */
  int last_state;  /* last state that a caller was given, or -1 */
  /* One element per task, in the order of steps and indexes. */
  struct ftask_stats *stats;
  int n_stats;
};
RB_HEAD (fjob_tree, fjob);

/** struct ftask_stats - what all executors together have seen of a task */
struct ftask_stats
{
  int n_running;  /* runs that are in progress */
  bool done;      /* a run was successful and the leader has recorded it */
  bool end_acked; /* the leader acknowledged the end of a successful run */
  int n_failed;   /* failed runs whose end the leader acknowledged */
  int n_starts;
};

/** struct fsim_call - a caller's request to an instance */
struct fsim_call
{
  uint64_t call_id;
  int instance;
  int verb;
  char id[JOB_ID_SIZE];
  int status;       /* HTTP status; 0: no answer yet */
  int64_t retry_ms; /* how long the caller is asked to wait */
  char *body;
  int64_t answered_ms;
};

/** struct fsim_instance - a simulated process of the scheduler */
struct fsim_instance
{
  struct fleet fleet;
  bool up;
  bool frozen;
  int64_t frozen_until_ms;
  /* The table does not answer the instance's calls until then. */
  int64_t store_partitioned_until_ms;
  /* The table refuses the instance's calls until then. */
  int64_t store_refused_until_ms;
  /* The instance reaches no other instance and no executor until then. */
  int64_t partitioned_until_ms;
  /* The advice service answers the instance's earlier queries until then. */
  int64_t advice_busy_until_ms;
  /* How far the instance's wall clock is ahead of the simulated time. */
  int64_t clock_offset_ms;
  /* Counts starts and ends of the process.  A message for another incarnation
     is dropped. */
  uint64_t incarnation;
  uint64_t ticks;
};

/** struct fsim - a simulation: its clock, processes and results */
struct fsim
{
  int64_t now_ms;
  uint64_t seq; /* of the last event */
  uint64_t rng; /* state of the random generator */
  struct fsim_event *heap;
  size_t n_heap;
  size_t cap_heap;
  struct ftable table;
  struct fsim_instance *inst[FSIM_INSTANCES_MAX];
  int n_inst;
  struct fexec *exec[FSIM_EXECS_MAX];
  int n_exec;
  /* Share (0 to 1) of executors that the advice service permits for a step. */
  double permitted_share;
  struct fjob_tree jobs;
  struct fsim_call *calls;
  size_t n_calls;
  int64_t advice_calls;
  int violations;
  char first_violation[256]; /* empty if there is none */
  bool verbose;
  bool shutting_down; /* fsim_free() was called: periodic events end */
};

RB_PROTOTYPE (ftable_row_tree, ftable_row, by_key, ftable_row_cmp)
RB_PROTOTYPE (fjob_tree, fjob, by_id, fjob_cmp)
int ftable_row_cmp (const struct ftable_row *a, const struct ftable_row *b);
int fjob_cmp (const struct fjob *a, const struct fjob *b);

/* sim.c */
/**
 * fsim_new() - Create a simulation and start its processes.
 * @capacity: of each executor
 */
struct fsim *fsim_new (uint64_t seed, int instances, int execs,
                       const struct job_need *capacity);
void fsim_free (struct fsim *s);
/** fsim_schedule() - Call @fn with @arg after @after_ms of simulated time. */
void fsim_schedule (struct fsim *s, int64_t after_ms,
                    void (*fn) (struct fsim *s, void *arg), void *arg);
/** fsim_run() - Execute the events of the next @for_ms of simulated time. */
void fsim_run (struct fsim *s, int64_t for_ms);
/** fsim_random() - Return: a number from 0 up to, but not including, 1. */
double fsim_random (struct fsim *s);
/** fsim_violation() - Count a violation and keep the text of the first. */
void fsim_violation (struct fsim *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** fsim_start() - Start a new process of instance @i. */
void fsim_start (struct fsim *s, int i);
/** fsim_kill() - End the process of instance @i at once, if it is up. */
void fsim_kill (struct fsim *s, int i);
/** fsim_process_outputs() - Execute the pending outputs of instance @i. */
void fsim_process_outputs (struct fsim *s, int i);
/** fsim_find_job() - Return: the job, or NULL. */
struct fjob *fsim_find_job (struct fsim *s, const char *id);
/** fsim_leader() - Return: number of the instance that leads, or -1. */
int fsim_leader (const struct fsim *s);
/**
 * fsim_request() - Send a caller's request to an instance.
 * @verb: enum fleet_verb
 * @path: path of the request
 * @key: API key
 *
 * Return: index in fsim::calls; the answer is stored there when it arrives.
 */
size_t fsim_request (struct fsim *s, int instance, int verb, const char *path,
                     const char *body, const char *key);
/**
 * fsim_can_reach() - Whether neither instance @i nor executor @e is
 * partitioned.
 */
bool fsim_can_reach (const struct fsim *s, int i, const struct fexec *e);

/* table.c */
/**
 * ftable_send() - Send a call of instance @i to the table, with the faults
 * that are configured; the reply arrives as an event.
 */
void ftable_send (struct fsim *s, int i, uint64_t token,
                  const struct store_op *op);
/**
 * ftable_apply() - Execute @op at once, without faults.  A feed without
 * changes returns no rows instead of waiting for one.
 */
void ftable_apply (struct ftable *t, const struct store_op *op,
                   struct store_rep *rep);
/** ftable_put() - Write a row directly; a NULL @value deletes it. */
void ftable_put (struct fsim *s, const char *key, const char *value);
void ftable_free (struct ftable *t);

/* execs.c */
/**
 * fexec_apply() - Execute order @o on executor @e.
 * @first: whether this is the first call for @o, when the ends that it
 *         acknowledges are removed
 * @waited: whether the wait time of a poll is over
 *
 * Return: whether @res is complete.  False only for a poll while the executor
 * has no ends to report: the caller of this function calls it again until the
 * poll's wait time is over.
 */
bool fexec_apply (struct fsim *s, struct fexec *e, const struct order *o,
                  bool first, bool waited, struct order_result *res);
/**
 * fexec_permitted() - Answer a query for advice: which of its executors may
 * run the step.
 */
void fexec_permitted (struct fsim *s, const struct order *o,
                      struct order_result *res);
/**
 * fexec_send_order() - Send @o from instance @i to its executor, with the
 * faults that are configured; the result arrives as an event.
 */
void fexec_send_order (struct fsim *s, int i, const struct order *o);
/**
 * fexec_send_advice_query() - Send a query from instance @i to the advice
 * service; the result arrives as an event.
 */
void fexec_send_advice_query (struct fsim *s, int i, const struct order *o);
/** fexec_update_listing() - Write or delete the executor's discovery entry. */
void fexec_update_listing (struct fsim *s, struct fexec *e);
/**
 * fexec_crash() - End the executor's boot with all its runs and reports.  The
 * discovery entry is deleted later.
 */
void fexec_crash (struct fsim *s, struct fexec *e);
/** fexec_reboot() - Begin a new boot; one that is up crashes first. */
void fexec_reboot (struct fsim *s, struct fexec *e);
/** fexec_tick() - End the runs of all executors whose time or lease is over.
 */
void fexec_tick (struct fsim *s);

#endif
