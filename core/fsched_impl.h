/* Parts of the fleet's scheduler that its files share. */
#ifndef CELL_IMPL_H
#define CELL_IMPL_H

#include "fsched.h"

/* fsched.c */
/** cell_zalloc() - Zeroed memory that the caller frees. */
void *cell_zalloc (size_t n, size_t size);
/** cell_forget_job() - Drop a job that is recorded and runs nowhere. */
bool cell_forget_job (struct cell *c, struct job *j);
struct job *cell_find_job (const struct cell *c, const char *id);
struct jtask *start_task (const struct start *r);
struct cell_tenant *cell_tenant (struct cell *c, const char *name);
struct cell_queue *cell_queue (struct cell *c, const char *name);
void cell_touch (struct cell *c, struct job *j);
/** cell_task_ended() - A task's run has ended; @r may be NULL if unknown. */
void cell_task_ended (struct cell *c, struct job *j, int step, int index,
                      int64_t run, int how);
void cell_keep_saved (struct job *j, int step, int index, const char *saved);
/**
 * cell_order() - A new order in the queue, with its number and fence.
 * @pend: what its result will be matched to, borrowed
 */
struct order *cell_order (struct cell *c, int kind, const struct exec *e,
                          struct pending_order **pend);

/** cell_job_of() - The job of a task, if that makes sense for it. */
struct job *cell_job_of (const struct cell *c, const struct task_ref *t);

/* fsched_intern.c */
enum
{
  LABELS_MAX = 63, /* a set is one word, and 0 means no label; labels beyond
                      that are compared by their text */
};

/** cell_name() - The number of @text, which is given one if it has none. */
int cell_name (struct cell_names *t, const char *text);
void cell_names_free (struct cell_names *t);
/** cell_label() - The same for a label that tasks require. */
int cell_label (struct cell *c, const char *text);
/** cell_name_exec() - Numbers of what @e has reported. */
void cell_name_exec (struct cell *c, struct exec *e);

/* fsched_intent.c */
void plan_init (struct plan *p);
void plan_fini (struct plan *p);
/** plan_start() - Put a new start on record, then send it. */
void plan_start (struct cell *c, struct start *r);
/** plan_ended() - Its record is needed until its end is on record. */
void plan_ended (struct cell *c, struct start *r);
int plan_collect (struct cell *c, struct store_op *op);
void plan_recorded (struct cell *c);
/** plan_go() - What may be running on executors that have not answered. */
void plan_go (struct cell *c);

/* fsched_record.c */
void cell_trim_jobs (struct cell *c);

/* fsched_start.c */
struct start *start_new (struct cell *c, struct job *j, int step, int index,
                         struct exec *e, int64_t no, int state);
/** start_begun() - A task of the job has been started. */
void start_begun (struct job *j);
/** start_end() - Frees @r and its room; the task may be started again. */
void start_end (struct cell *c, struct start *r, int how);
void start_stop (struct cell *c, struct start *r);
/** start_stop_step() - Stop a gang: its members would wait for one that does
    not come. */
void start_stop_step (struct cell *c, struct job *j, int step);
void start_send (struct cell *c, struct start *r);
void start_result (struct cell *c, struct start *r, int kind,
                   const struct order_result *res);
void start_tick (struct cell *c, struct start *r);

/* fsched_exec.c */
struct exec *exec_find (const struct cell *c, const char *id);
/** exec_clock() - What its clock shows now, by the last answer. */
int64_t exec_clock (const struct cell *c, const struct exec *e);
void exec_tick (struct cell *c, struct exec *e);
void exec_hold_result (struct cell *c, struct exec *e,
                       const struct order_result *res);
/**
 * exec_clock_seen() - The clock in an answer: a new boot's begins anew.
 *
 * Return: whether it is one.  Starts that the old boot had acknowledged are
 * then freed.
 */
bool exec_clock_seen (struct cell *c, struct exec *e, int64_t clock_ms);
/** exec_suspect() - It did not answer an order. */
void exec_suspect (struct cell *c, struct exec *e);
void exec_failed_run (struct cell *c, struct exec *e);
void exec_settle (struct cell *c);

/** exec_open() - Whether it may be given tasks at all now. */
bool exec_open (const struct cell *c, const struct exec *e);
/** exec_usable() - Whether it is open to tasks of the step. */
bool exec_usable (const struct exec *e, const struct job *j, int step);
/** exec_has_label() - By its text. */
bool exec_has_label (const struct exec *e, const char *label);
/** exec_fits() - How many such tasks it has room for, at most @most. */
int exec_fits (const struct exec *e, const struct job *j, int step, int most);

/* fsched_place.c */
void place_pass (struct cell *c);

/* fsched_advice.c */
bool permit_valid (const struct cell *c, const struct jstep *s,
                   const struct exec *e);
struct permit *permit_of (struct jstep *s, const struct exec *e);
/**
 * advice_want() - Ask about executors, if that is due and one is free; what
 * room the step may get is promised to it in this pass.
 */
void advice_want (struct cell *c, struct job *j, int step);
void advice_result (struct cell *c, const struct pending_order *p,
                    const struct order_result *res);
/** advice_begin_pass() - See which advisers are free. */
void advice_begin_pass (struct cell *c);
void advice_forget (struct jstep *s);

#endif
