/* Declarations that the files of the fleet's scheduler share. */
#ifndef FSCHED_IMPL_H
#define FSCHED_IMPL_H

#include "fsched.h"

/* fsched.c */

/** fsched_zalloc() - Allocate zeroed memory; aborts if there is none. */
void *fsched_zalloc (size_t n, size_t size);
/**
 * fsched_forget_job() - Free a job whose end is recorded, unless it has runs.
 *
 * The final state is kept.
 *
 * Return: whether @j was freed.
 */
bool fsched_forget_job (struct fsched *fs, struct job *j);
/** fsched_find_job() - Job @id, borrowed, or NULL. */
struct job *fsched_find_job (const struct fsched *fs, const char *id);
/** start_task() - The task that @r is a start of. */
struct jtask *start_task (const struct start *r);
/** fsched_tenant() - Client account @name, created if need be. */
struct fsched_tenant *fsched_tenant (struct fsched *fs, const char *name);
/** fsched_queue() - Queue @name, created if need be. */
struct fsched_queue *fsched_queue (struct fsched *fs, const char *name);
/** fsched_mark_dirty() - Have the progress of @j recorded. */
void fsched_mark_dirty (struct fsched *fs, struct job *j);
/**
 * fsched_task_ended() - Update a job for a run that has ended.
 * @run_id: number of the run
 * @how: enum run_end
 */
void fsched_task_ended (struct fsched *fs, struct job *j, int step, int index,
                        int64_t run_id, int how);
/**
 * fsched_keep_checkpoint() - Store the name of a task's latest checkpoint.
 * @checkpoint: copied; empty: the stored name stays
 */
void fsched_keep_checkpoint (struct job *j, int step, int index,
                             const char *checkpoint);
/**
 * fsched_order_new() - Append an order with an id and fencing token to the
 * output queue.
 * @kind: enum order_kind
 * @e: the executor that receives the order; NULL for an advice query
 * @pend: set to the entry that the result will be matched to, borrowed
 *
 * Return: the order, borrowed, for the caller to complete.
 */
struct order *fsched_order_new (struct fsched *fs, int kind,
                                const struct exec *e,
                                struct pending_order **pend);

/**
 * fsched_task_job() - The job of a task.
 *
 * Return: borrowed; NULL if the job is unknown or has no such task.
 */
struct job *fsched_task_job (const struct fsched *fs,
                             const struct task_ref *t);

/* fsched_intern.c */

enum
{
  /* Highest label id that fits the 64-bit set exec::labels, where bit 0 stands
     for no label.  Labels with higher ids are compared as text. */
  LABELS_MAX = 63,
};

/** fsched_intern() - The id of a name, which is added if it is new. */
int fsched_intern (struct fsched_intern_table *t, const char *text);
/** fsched_intern_free() - Free the names. */
void fsched_intern_free (struct fsched_intern_table *t);
/** fsched_intern_label() - The id of a label that a task requires. */
int fsched_intern_label (struct fsched *fs, const char *text);
/** fsched_intern_exec() - Set the ids of the names that @e has reported. */
void fsched_intern_exec (struct fsched *fs, struct exec *e);

/* fsched_intent.c */

/** intents_init() - Initialise an empty set of intents. */
void intents_init (struct intents *p);
/** intents_fini() - Free the intents. */
void intents_fini (struct intents *p);
/** intent_start() - Have an intent of a new start recorded, then the start
    sent. */
void intent_start (struct fsched *fs, struct start *r);
/**
 * intent_ended() - Detach the intent of a start that has ended.
 *
 * The intent is kept until the end is recorded.
 */
void intent_ended (struct fsched *fs, struct start *r);
/**
 * intents_collect() - Add a row with the waiting intents to a write.
 *
 * Return: number of rows added.
 */
int intents_collect (struct fsched *fs, struct store_op *op);
/** intents_recorded() - The collected row is durable: send its starts. */
void intents_recorded (struct fsched *fs);
/**
 * intents_load_done() - Create starts for the loaded intents whose tasks may
 * still be running on executors that have not answered.
 */
void intents_load_done (struct fsched *fs);

/* fsched_record.c */

/** fsched_trim_jobs() - Remove ended jobs' specifications, when due. */
void fsched_trim_jobs (struct fsched *fs);

/* fsched_start.c */

/**
 * start_new() - Create a start of a task and take its need from the executor.
 * @run_id: number of the run; the task's next start gets a higher one
 * @state: enum start_state
 *
 * Return: the start, owned by @e and freed by start_end().
 */
struct start *start_new (struct fsched *fs, struct job *j, int step, int index,
                         struct exec *e, int64_t run_id, int state);
/** start_mark_job_started() - Set that a task of @j has been started. */
void start_mark_job_started (struct job *j);
/**
 * start_end() - Free a start whose run has ended, and the capacity that it
 * takes.
 * @how: enum run_end
 *
 * The task may be started again.  The other members of a gang are stopped if
 * the run did not start, lost its lease, or was lost in a reboot.
 */
void start_end (struct fsched *fs, struct start *r, int how);
/** start_stop() - Stop a run, or drop a start that has not been sent. */
void start_stop (struct fsched *fs, struct start *r);
/**
 * start_stop_gang() - Stop all members of a gang.
 *
 * The members would wait for one that does not start.
 */
void start_stop_gang (struct fsched *fs, struct job *j, int step);
/** start_send() - Send a start to its executor. */
void start_send (struct fsched *fs, struct start *r);
/**
 * start_result() - Process the result of a start or stop order.
 * @kind: ORDER_START or ORDER_STOP
 * @res: borrowed
 */
void start_result (struct fsched *fs, struct start *r, int kind,
                   const struct order_result *res);
/** start_tick() - Send a stop order if one is due. */
void start_tick (struct fsched *fs, struct start *r);

/* fsched_exec.c */

/** exec_find() - Executor @id, borrowed, or NULL. */
struct exec *exec_find (const struct fsched *fs, const char *id);
/** exec_clock_now() - Estimate the executor's clock from its last answer. */
int64_t exec_clock_now (const struct fsched *fs, const struct exec *e);
/**
 * exec_tick() - Send a poll and stops that are due, and end the executor's
 * runs if its leases have expired.
 */
void exec_tick (struct fsched *fs, struct exec *e);
/**
 * exec_poll_result() - Process the result of a poll.
 * @res: borrowed
 */
void exec_poll_result (struct fsched *fs, struct exec *e,
                       const struct order_result *res);
/**
 * exec_detect_reboot() - Detect a new boot by the clock in an answer: the
 * clock restarts with each boot.
 * @clock_ms: the executor's clock; 0: not reported
 *
 * At a new boot, the starts that the earlier boot had acknowledged are ended
 * and freed.
 *
 * Return: whether the executor has a new boot.
 */
bool exec_detect_reboot (struct fsched *fs, struct exec *e, int64_t clock_ms);
/** exec_mark_unreachable() - Place nothing on @e until a poll succeeds. */
void exec_mark_unreachable (struct fsched *fs, struct exec *e);
/** exec_count_failure() - Count a failed run; quarantine @e after several. */
void exec_count_failure (struct fsched *fs, struct exec *e);
/** exec_reconcile_check() - Set fsched::reconciled once all runs are known. */
void exec_reconcile_check (struct fsched *fs);

/** exec_eligible() - Whether tasks may be placed on @e at present. */
bool exec_eligible (const struct fsched *fs, const struct exec *e);
/**
 * exec_usable() - Whether @e is eligible in the current placing pass and has
 * the service and label that the step needs.
 */
bool exec_usable (const struct exec *e, const struct job *j, int step);
/** exec_has_label() - Whether @e reports a label, compared as text. */
bool exec_has_label (const struct exec *e, const char *label);
/**
 * exec_fits() - Count the tasks of a step that fit on @e in addition to the
 * present starts.
 * @max: highest count of interest
 *
 * Return: 0 to @max.
 */
int exec_fits (const struct exec *e, const struct job *j, int step, int max);

/* fsched_place.c */

/** place_pass() - Place tasks of all jobs that wait, the most urgent first. */
void place_pass (struct fsched *fs);

/* fsched_advice.c */

/** permit_valid() - Whether the step may be started on @e with the ticket. */
bool permit_valid (const struct fsched *fs, const struct jstep *s,
                   const struct exec *e);
/** permit_get() - The step's permit for @e, created if need be. */
struct permit *permit_get (struct jstep *s, const struct exec *e);
/**
 * advice_query() - Query which executors may run a step, if a query is due and
 * an instance is free for it.
 *
 * Capacity that the step is likely to get is reserved for it in the current
 * pass.
 */
void advice_query (struct fsched *fs, struct job *j, int step);
/**
 * advice_result() - Process the result of an advice query.
 * @p: the query
 * @res: borrowed
 */
void advice_result (struct fsched *fs, const struct pending_order *p,
                    const struct order_result *res);
/** advice_begin_pass() - Determine whether instances are free for queries. */
void advice_begin_pass (struct fsched *fs);
/** advice_free() - Free the step's permits. */
void advice_free (struct jstep *s);

#endif
