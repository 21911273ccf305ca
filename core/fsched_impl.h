/* Parts of the fleet's scheduler that its files share. */
#ifndef FSCHED_IMPL_H
#define FSCHED_IMPL_H

#include "fsched.h"

/* fsched.c */
/** fsched_zalloc() - Zeroed memory that the caller frees. */
void *fsched_zalloc (size_t n, size_t size);
/** fsched_forget_job() - Drop a job that is recorded and runs nowhere. */
bool fsched_forget_job (struct fsched *c, struct job *j);
struct job *fsched_find_job (const struct fsched *c, const char *id);
struct jtask *start_task (const struct start *r);
struct fsched_tenant *fsched_tenant (struct fsched *c, const char *name);
struct fsched_queue *fsched_queue (struct fsched *c, const char *name);
void fsched_mark_dirty (struct fsched *c, struct job *j);
/** fsched_task_ended() - A task's run has ended; @r may be NULL if unknown. */
void fsched_task_ended (struct fsched *c, struct job *j, int step, int index,
                        int64_t run, int how);
void fsched_keep_checkpoint (struct job *j, int step, int index,
                             const char *saved);
/**
 * fsched_order_new() - A new order in the queue, with its number and fence.
 * @pend: what its result will be matched to, borrowed
 */
struct order *fsched_order_new (struct fsched *c, int kind,
                                const struct exec *e,
                                struct pending_order **pend);

/** fsched_task_job() - The job of a task, if that makes sense for it. */
struct job *fsched_task_job (const struct fsched *c, const struct task_ref *t);

/* fsched_intern.c */
enum
{
  LABELS_MAX = 63, /* a set is one word, and 0 means no label; labels beyond
                      that are compared by their text */
};

/** fsched_intern() - The number of @text, which is given one if it has none.
 */
int fsched_intern (struct fsched_intern_table *t, const char *text);
void fsched_intern_free (struct fsched_intern_table *t);
/** fsched_intern_label() - The same for a label that tasks require. */
int fsched_intern_label (struct fsched *c, const char *text);
/** fsched_intern_exec() - Numbers of what @e has reported. */
void fsched_intern_exec (struct fsched *c, struct exec *e);

/* fsched_intent.c */
void intents_init (struct intents *p);
void intents_fini (struct intents *p);
/** intent_start() - Put a new start on record, then send it. */
void intent_start (struct fsched *c, struct start *r);
/** intent_ended() - Its record is needed until its end is on record. */
void intent_ended (struct fsched *c, struct start *r);
int intents_collect (struct fsched *c, struct store_op *op);
void intents_recorded (struct fsched *c);
/** intents_load_done() - What may be running on executors that have not
 * answered. */
void intents_load_done (struct fsched *c);

/* fsched_record.c */
void fsched_trim_jobs (struct fsched *c);

/* fsched_start.c */
struct start *start_new (struct fsched *c, struct job *j, int step, int index,
                         struct exec *e, int64_t no, int state);
/** start_mark_job_started() - A task of the job has been started. */
void start_mark_job_started (struct job *j);
/** start_end() - Frees @r and its room; the task may be started again. */
void start_end (struct fsched *c, struct start *r, int how);
void start_stop (struct fsched *c, struct start *r);
/** start_stop_gang() - Stop a gang: its members would wait for one that does
    not come. */
void start_stop_gang (struct fsched *c, struct job *j, int step);
void start_send (struct fsched *c, struct start *r);
void start_result (struct fsched *c, struct start *r, int kind,
                   const struct order_result *res);
void start_tick (struct fsched *c, struct start *r);

/* fsched_exec.c */
struct exec *exec_find (const struct fsched *c, const char *id);
/** exec_clock_now() - What its clock shows now, by the last answer. */
int64_t exec_clock_now (const struct fsched *c, const struct exec *e);
void exec_tick (struct fsched *c, struct exec *e);
void exec_poll_result (struct fsched *c, struct exec *e,
                       const struct order_result *res);
/**
 * exec_detect_reboot() - The clock in an answer: a new boot's begins anew.
 *
 * Return: whether it is one.  Starts that the old boot had acknowledged are
 * then freed.
 */
bool exec_detect_reboot (struct fsched *c, struct exec *e, int64_t clock_ms);
/** exec_mark_unreachable() - It did not answer an order. */
void exec_mark_unreachable (struct fsched *c, struct exec *e);
void exec_count_failure (struct fsched *c, struct exec *e);
void exec_reconcile_check (struct fsched *c);

/** exec_eligible() - Whether it may be given tasks at all now. */
bool exec_eligible (const struct fsched *c, const struct exec *e);
/** exec_usable() - Whether it is open to tasks of the step. */
bool exec_usable (const struct exec *e, const struct job *j, int step);
/** exec_has_label() - By its text. */
bool exec_has_label (const struct exec *e, const char *label);
/** exec_fits() - How many such tasks it has room for, at most @most. */
int exec_fits (const struct exec *e, const struct job *j, int step, int most);

/* fsched_place.c */
void place_pass (struct fsched *c);

/* fsched_advice.c */
bool permit_valid (const struct fsched *c, const struct jstep *s,
                   const struct exec *e);
struct permit *permit_get (struct jstep *s, const struct exec *e);
/**
 * advice_query() - Ask about executors, if that is due and one is free; what
 * room the step may get is promised to it in this pass.
 */
void advice_query (struct fsched *c, struct job *j, int step);
void advice_result (struct fsched *c, const struct pending_order *p,
                    const struct order_result *res);
/** advice_begin_pass() - See which advisers are free. */
void advice_begin_pass (struct fsched *c);
void advice_free (struct jstep *s);

#endif
