/**
 * DOC: A small fleet on a virtual clock: instances running the real core, a
 * table, executors and an advice service of our own, faults, and checks of
 * what the executors saw.  Scripts in Lua drive it (regress/fleet/).
 */
#ifndef FSIM_H
#define FSIM_H

#include "fleet.h"

enum
{
  FSIM_INSTANCES_MAX = 64,
  FSIM_EXECS_MAX = 512,
  FSIM_LINK_MS = 2,          /* one way, between any two */
  FSIM_STORE_MS = 3,         /* a transaction, one after another in a part */
  FSIM_HISTORY_MAX = 100000, /* changes that a feed can go back */
};

struct fsim;

/** struct fsim_event - something that happens at a time */
struct fsim_event
{
  int64_t at_ms;
  uint64_t seq;
  void (*fn) (struct fsim *s, void *arg);
  void *arg;
};

/** struct ftable_row - a row of the table */
struct ftable_row
{
  RB_ENTRY (ftable_row) by_key;
  char *key;
  char *value;
  int64_t ver;
};
RB_HEAD (ftable_row_tree, ftable_row);

struct ftable_change
{
  int64_t ver;
  char *key;
};

/** struct ftable - the platform's table service */
struct ftable
{
  struct ftable_row_tree rows;
  int64_t ver;
  struct ftable_change *changes;
  size_t n_changes;
  int64_t compacted_ver; /* changes up to here are forgotten */
  int64_t down_until_ms;
  int64_t slow_factor;     /* times the usual */
  double reply_lost_share; /* share of writes that are done and not answered */
  double delayed_share;    /* ... and done seconds later */
  int64_t busy_until_ms;
  uint64_t n_calls;
};

/** struct frun - a task on an executor */
struct frun
{
  struct task_ref task;
  int64_t run_id;
  int64_t start_ms;
  int64_t end_ms;
  int how; /* at end_ms */
  bool stopping;
  bool awaits_gang; /* for the others of its gang */
  struct job_need need;
};

struct frun_ref
{
  struct task_ref task;
  int64_t run_id;
};

struct fexec
{
  char id[CLB_ID_MAX];
  int index;
  bool up;
  bool listed;
  bool draining;
  int64_t boot_start_ms;
  int64_t partitioned_until_ms;
  int64_t lease_until_ms;
  int64_t fencing_token;
  double reply_lost_share; /* share of answers that get lost */
  double delayed_share;    /* share of starts carried out seconds later,
                              unanswered */
  bool fails_runs;         /* all that it starts */
  bool hangs_runs;
  int64_t last_fault_ms;    /* an order or its answer was last lost then */
  bool refuses_connections; /* connections to it fail at once */
  struct job_need capacity;
  struct frun runs[256];
  int n_runs;
  struct end_row ends[4096];
  int n_ends;
  int64_t last_end_seq;
  struct frun_ref *past_runs; /* runs stopped or ended here, in this boot */
  int n_past_runs;
};

/** struct fjob - what a caller handed in */
struct fjob
{
  RB_ENTRY (fjob) by_id;
  char id[JOB_ID_SIZE];
  struct job_spec spec;
  int64_t task_ms[JOB_STEPS_MAX];
  bool always_fails;
  bool accepted;
  bool refused; /* every try was */
  int64_t sent_ms;
  int64_t done_ms;           /* the last task was done */
  int last_state;            /* last told, or -1 */
  struct ftask_stats *stats; /* by step and index */
  int n_stats;
};
RB_HEAD (fjob_tree, fjob);

/** struct ftask_stats - what the executors know of a task */
struct ftask_stats
{
  int n_running;
  bool done;
  bool end_acked; /* the end was acknowledged */
  int n_failed;
  int n_starts;
};

/** struct fsim_call - a caller's request */
struct fsim_call
{
  uint64_t call_id;
  int instance;
  int verb;
  char id[JOB_ID_SIZE];
  int status; /* 0: no answer yet */
  int64_t retry_ms;
  char *body;
  int64_t answered_ms;
};

struct fsim_instance
{
  struct fleet fleet;
  bool up;
  bool frozen;
  int64_t frozen_until_ms;
  int64_t store_partitioned_until_ms;
  int64_t store_refused_until_ms; /* the table refuses its calls */
  int64_t partitioned_until_ms;   /* from other instances and executors */
  int64_t advice_busy_until_ms;
  int64_t clock_offset_ms; /* its wall clock is ahead by so much */
  uint64_t incarnation;    /* answers to an earlier one are dropped */
  uint64_t ticks;
};

struct fsim
{
  int64_t now_ms;
  uint64_t seq;
  uint64_t rng;
  struct fsim_event *heap;
  size_t n_heap;
  size_t cap_heap;
  struct ftable table;
  struct fsim_instance *inst[FSIM_INSTANCES_MAX];
  int n_inst;
  struct fexec *exec[FSIM_EXECS_MAX];
  int n_exec;
  double permitted_share;
  struct fjob_tree jobs;
  struct fsim_call *calls;
  size_t n_calls;
  int64_t advice_calls;
  int violations;
  char first_violation[256]; /* the first violation */
  bool verbose;
  bool shutting_down;
};

RB_PROTOTYPE (ftable_row_tree, ftable_row, by_key, ftable_row_cmp)
RB_PROTOTYPE (fjob_tree, fjob, by_id, fjob_cmp)
int ftable_row_cmp (const struct ftable_row *a, const struct ftable_row *b);
int fjob_cmp (const struct fjob *a, const struct fjob *b);

/* sim.c */
struct fsim *fsim_new (uint64_t seed, int instances, int execs,
                       const struct job_need *capacity);
void fsim_free (struct fsim *s);
void fsim_schedule (struct fsim *s, int64_t after_ms,
                    void (*fn) (struct fsim *s, void *arg), void *arg);
void fsim_run (struct fsim *s, int64_t for_ms);
/** fsim_random() - From 0 up to 1. */
double fsim_random (struct fsim *s);
void fsim_violation (struct fsim *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void fsim_start (struct fsim *s, int i);
void fsim_kill (struct fsim *s, int i);
/** fsim_pump() - Carry out what instance @i wants done. */
void fsim_process_outputs (struct fsim *s, int i);
struct fjob *fsim_find_job (struct fsim *s, const char *id);
int fsim_leader (const struct fsim *s);
/** fsim_request() - Return: index of the call. */
size_t fsim_request (struct fsim *s, int instance, int verb, const char *id,
                     const char *body, const char *key);
/** fsim_can_reach() - Whether instance @i and executor @e have a path. */
bool fsim_can_reach (const struct fsim *s, int i, const struct fexec *e);

/* table.c */
void ftable_send (struct fsim *s, int i, uint64_t token,
                  const struct store_op *op);
/** ftable_apply() - What the table answers at once; a feed does not wait. */
void ftable_apply (struct ftable *t, const struct store_op *op,
                   struct store_rep *rep);
void ftable_put (struct fsim *s, const char *key, const char *value);
void ftable_free (struct ftable *t);

/* execs.c */
/**
 * fexec_apply() - What executor @e answers to @o at once.
 * @first: the order has just come; else it waits for ends
 *
 * Return: whether a question for ends may be answered; else it is asked again
 * until its wait is over.
 */
bool fexec_apply (struct fsim *s, struct fexec *e, const struct order *o,
                  bool first, bool waited, struct order_result *res);
void fexec_permitted (struct fsim *s, const struct order *o,
                      struct order_result *res);
void fexec_send_order (struct fsim *s, int i, const struct order *o);
void fexec_send_advice_query (struct fsim *s, int i, const struct order *o);
void fexec_update_listing (struct fsim *s, struct fexec *e);
void fexec_crash (struct fsim *s, struct fexec *e);
void fexec_reboot (struct fsim *s, struct fexec *e);
void fexec_tick (struct fsim *s);

#endif
