/* Internal declarations of the fleet's scheduler, core/fsched*.c. */
#ifndef FSCHED_IMPL_H
#define FSCHED_IMPL_H

#include "ablate.h"
#include "fsched.h"

struct collection;

/* Functions of fsched.c. */

/** fsched_zalloc() - Allocate zeroed memory; abort if none is available. */
void *fsched_zalloc (size_t n, size_t size);
/**
 * fsched_forget_job() - Free a job whose end is recorded, unless it has runs.
 *
 * If the record says that runs are left, it is due to be written again first.
 * The job's final state is kept, for fsched_job_state().
 *
 * Return: whether @j was freed.
 */
bool fsched_forget_job (struct fsched *fs, struct job *j);
/** fsched_find_job() - Return job @id, borrowed; NULL if it is unknown. */
struct job *fsched_find_job (const struct fsched *fs, const char *id);
/**
 * fsched_add_ended_job() - Store the final state of a job, unless it is
 * stored.
 * @trim: whether the job's specification must still be removed from the table
 *        of jobs
 */
void fsched_add_ended_job (struct fsched *fs, const char *id, int state,
                           bool trim);
/**
 * fsched_end_job() - End a job with a final state, and stop its runs unless it
 * is completed; no effect if the job has ended.
 * @state: enum job_state
 * @why: reason for the log line
 */
void fsched_end_job (struct fsched *fs, struct job *j, int state,
                     const char *why);
/** start_get_task() - Return the task that @r is a start of; borrowed. */
struct jtask *start_get_task (const struct start *r);
/** fsched_tenant() - Return client account @name, borrowed; add it if new. */
struct fsched_tenant *fsched_tenant (struct fsched *fs, const char *name);
/** fsched_queue() - Return queue @name, borrowed; add it if new. */
struct fsched_queue *fsched_queue (struct fsched *fs, const char *name);
/**
 * fsched_task_ended() - Update a job after a run of one of its tasks has
 * ended.
 * @step: index of the step
 * @index: index of the task in its step
 * @run_id: id of the run
 * @run_end: enum run_end
 */
void fsched_task_ended (struct fsched *fs, struct job *j, int step, int index,
                        int64_t run_id, int run_end);
/**
 * fsched_order_new() - Create an order with an id and a fencing token, and
 * append it to the output queue.
 * @kind: enum order_kind
 * @e: the executor that receives the order; NULL for an advice query
 * @pend: set to the entry that the result will be matched to; borrowed
 *
 * Return: the order, borrowed, for the caller to complete.
 */
struct order *fsched_order_new (struct fsched *fs, int kind,
                                const struct exec *e,
                                struct pending_order **pend);

/**
 * fsched_task_job() - Find the job that a task belongs to.
 *
 * Return: borrowed; NULL if the job is unknown or has no such task.
 */
struct job *fsched_task_job (const struct fsched *fs,
                             const struct task_ref *t);

/* Functions of fsched_resume.c. */

/**
 * resume_report() - Hold the checkpoint that an executor reports of a task,
 * unless the task is not started again.
 * @ref: the task, which @j has
 * @run_id: run of the task that has it.  A later run has resumed from what was
 *          held before, so that what an earlier one reports is out of date.
 * @v: the checkpoint, copied.  If there is none, or it cannot be held, the one
 *     before stays: the task can resume from that, too.
 */
void resume_report (struct fsched *fs, struct job *j,
                    const struct task_ref *ref, int64_t run_id,
                    const struct checkpoint_view *v);
/**
 * resume_point() - Return the checkpoint that the next start of a task resumes
 * from, or NULL; borrowed.
 */
struct checkpoint *resume_point (const struct job *j, int step, int index);
/** resume_drop() - Hold no checkpoint of a task any longer. */
void resume_drop (struct fsched *fs, struct jtask *t);
/** resume_drop_job() - As resume_drop(), for all tasks. */
void resume_drop_job (struct fsched *fs, struct job *j);

/* Functions of fsched_intern.c. */

enum
{
  /* Highest label id that has a bit in the 64-bit set exec::label_set; bit 0
     stands for no label.  Labels with higher ids are compared as text. */
  LABELS_MAX = 63,
};

/** fsched_intern() - Return the id of @name; add the name if it is new. */
int fsched_intern (struct fsched_intern_table *t, const char *name);
/** fsched_intern_free() - Free the names of a table, but not @t itself. */
void fsched_intern_free (struct fsched_intern_table *t);
/** fsched_intern_label() - Return the id of a label that a step requires. */
int fsched_intern_label (struct fsched *fs, const char *label);
/**
 * fsched_intern_exec() - Set the ids of the service, rack and labels of @e.
 */
void fsched_intern_exec (struct fsched *fs, struct exec *e);

/* Functions of fsched_intent.c. */

/** intents_init() - Initialise an empty set of intents. */
void intents_init (struct intents *p);
/** intents_fini() - Free the intents, but not @p itself. */
void intents_fini (struct intents *p);
/**
 * intent_add() - Add the intent of a start.
 *
 * The intent is recorded with the next write; then a start that is new is
 * sent.
 */
void intent_add (struct fsched *fs, struct start *r);
/**
 * intent_add_copies() - Record that a copy of the start order of @r may be
 * carried out until @until_ms, whatever becomes of the start.
 */
void intent_add_copies (struct fsched *fs, const struct start *r,
                        int64_t until_ms);
/**
 * intent_add_resend() - Record the copies of the start order of @r, then call
 * start_send_again().
 */
void intent_add_resend (struct fsched *fs, struct start *r, int64_t until_ms);
/**
 * intent_set_boot() - Let the intent of a start name the boot that the start
 * is known to run on when it is written next.
 */
void intent_set_boot (const struct start *r);
/**
 * intent_ended() - Detach the intent of a start that has ended.
 *
 * The intent is kept until the end is recorded.
 */
void intent_ended (struct fsched *fs, struct start *r);
/** intents_collect() - Add a row with waiting intents to a write. */
void intents_collect (struct fsched *fs, struct collection *c);
/**
 * intents_recorded() - Send the starts of the row that was collected last,
 * which is durable now.
 */
void intents_recorded (struct fsched *fs);
/** intents_refused() - Let the intents collected last be written again. */
void intents_refused (struct fsched *fs);
/**
 * intents_load_done() - Create starts for the loaded intents whose tasks may
 * still be running on executors that have not answered.
 */
void intents_load_done (struct fsched *fs);

/* Functions of fsched_progress.c. */

/** struct collection - rows that are being added to a write */
struct collection
{
  struct store_op *op;
  struct collected *to; /* updated with each row */
  int rows_left;        /* number of rows that may still be added */
  int64_t bytes_left; /* sum of the values that may still be added, in bytes */
};

/**
 * collect_row() - Add a row to a write.
 * @kind: enum row_kind
 * @value: copied; NULL: the row is removed
 *
 * Return: false if the row does not fit into the write.
 */
bool collect_row (struct collection *c, int kind, const char *key,
                  const char *value);

/** progress_mark_state() - Mark the state of @j as due to be recorded. */
void progress_mark_state (struct fsched *fs, struct job *j);
/** progress_mark_task() - Mark the progress of a task as due to be recorded.
 * @index: index of the task in step @step */
void progress_mark_task (struct fsched *fs, struct job *j, int step,
                         int index);
/**
 * progress_collect() - Add rows of progress that are due to a write.
 *
 * Return: false if some of them do not fit.
 */
bool progress_collect (struct fsched *fs, struct collection *c);
/** progress_recorded() - Report that the rows collected last are durable. */
void progress_recorded (struct fsched *fs);
/** progress_refused() - Let the rows collected last be written again. */
void progress_refused (struct fsched *fs);
/** progress_shrink_rows() - Let the progress of a job be written in rows of
 * the present limit. */
void progress_shrink_rows (struct fsched *fs, struct job *j);
/** progress_set_aside() - Set a job aside whose row the table refuses. */
void progress_set_aside (struct fsched *fs, struct job *j);
/** progress_restore() - Let the rows of a job that is set aside be written
 * again. */
void progress_restore (struct fsched *fs, struct job *j);
/** progress_tick() - Restore the jobs that have been set aside for
 * FSCHED_SET_ASIDE_MS. */
void progress_tick (struct fsched *fs);
/** progress_drop_pages() - Let the pages of @j, which has ended, be removed
 * from the table. */
void progress_drop_pages (struct fsched *fs, const struct job *j);
/** progress_free() - Free the list of pages to be removed. */
void progress_free (struct fsched *fs);
/** early_free() - Free progress that is not in fsched::early_progress. */
void early_free (struct early_progress *e);
/** early_drop() - Drop the loaded progress of a job that has ended, and let
 * its pages be removed.  @e: freed; not in fsched::early_progress any more */
void early_drop (struct fsched *fs, struct early_progress *e);

/* Functions of fsched_record.c. */

/** roster_mark_dirty() - Mark the roster's row for @e as due to be
 * recorded. */
void roster_mark_dirty (struct fsched *fs, const struct exec *e);
/**
 * fsched_trim_jobs() - Remove the specifications of ended jobs from the table
 * of jobs, if FSCHED_TRIM_MS have passed since the last removal.
 */
void fsched_trim_jobs (struct fsched *fs);

/* Functions of fsched_start.c. */

/**
 * start_new() - Create a start of a task and add its need to the use of the
 * executor.
 * @step: index of the step
 * @index: index of the task in its step
 * @run_id: id of the run; the task's next start gets a higher one
 * @state: enum start_state
 *
 * Return: the start, owned by @e and freed by start_end().
 */
struct start *start_new (struct fsched *fs, struct job *j, int step, int index,
                         struct exec *e, int64_t run_id, int state);
/** start_drop_resume() - Release what the run resumes from, as the start order
 * is not sent again. */
void start_drop_resume (struct start *r);
/** start_free() - Free a start that is in no list any more. */
void start_free (struct start *r);
/** start_count_unanswered() - Update exec::n_unanswered after a change of
 * start::state or start::order_id. */
void start_count_unanswered (struct start *r);
/** start_mark_job_started() - Mark @j as a job of which a task has begun on an
 * executor. */
void start_mark_job_started (struct job *j);
/**
 * start_end() - End a start whose run has ended.
 * @r: freed
 * @run_end: enum run_end
 *
 * The capacity that the start took becomes free, and the task may be started
 * again.  The other members of a gang are stopped if the run did not start,
 * lost its lease, or was lost in a reboot.
 */
void start_end (struct fsched *fs, struct start *r, int run_end);
/**
 * start_note_end() - Note the end of a run of @t.
 * @end: copied
 * @lost: whether the run was lost with its executor
 */
void start_note_end (struct jtask *t, const struct job_end *end, bool lost);
/**
 * start_revoke_end() - Note that the run of @r goes on, although it was taken
 * for ended: its executor has listed it.
 */
void start_revoke_end (struct fsched *fs, const struct start *r);
/** start_stop() - Stop a run, or drop a start that has not been sent. */
void start_stop (struct fsched *fs, struct start *r);
/**
 * start_stop_gang() - Stop all members of a gang.
 *
 * Without this, the running members would wait for a member that does not
 * start.
 */
void start_stop_gang (struct fsched *fs, struct job *j, int step);
/** start_in_gang() - Return whether the run is a member of a gang of several
 * tasks, which wait for each other. */
bool start_in_gang (const struct start *r);
/** start_stop_with_gang() - Stop the run and, if it is a member of a gang, the
 * other members. */
void start_stop_with_gang (struct fsched *fs, struct start *r);
/** start_try_again() - Send a start order again that no list has confirmed,
 * once its copies are recorded, or stop the run if that is not possible. */
void start_try_again (struct fsched *fs, struct start *r);
/** start_send_again() - Send the start order again after its copies have been
 * recorded, unless another order or a list has told of the run meanwhile. */
void start_send_again (struct fsched *fs, struct start *r);
/** start_settle() - Note that a list shows the run: if only one copy of its
 * start has no answer, that one was carried out. */
void start_settle (struct start *r);
/**
 * start_log_confirmed() - Log that a start is about to be confirmed of which
 * an answer was lost; of inherited ones, only members of incomplete gangs.
 * @by: what confirms it
 */
void start_log_confirmed (const struct fsched *fs, const struct start *r,
                          const char *by);
/** start_copies_until_ms() - Return until when copies of the start order that
 * have no answer may be carried out; 0: there are none. */
int64_t start_copies_until_ms (const struct start *r);
/** start_send() - Send a start order to the executor. */
void start_send (struct fsched *fs, struct start *r);
/**
 * start_result() - Process the result of a start or stop order.
 * @p: the order, of a start that has not ended; borrowed
 * @res: borrowed
 */
void start_result (struct fsched *fs, const struct pending_order *p,
                   const struct order_result *res);
/**
 * start_tick() - Send a stop order for the run if one is due, and end the time
 * for which the start counts as pending.
 */
void start_tick (struct fsched *fs, struct start *r);
/**
 * start_due_ms() - Return the earliest time at which start_tick() has
 * something to do, unless the start changes before; INT64_MAX: never.
 */
int64_t start_due_ms (const struct start *r);

/* Functions of fsched_crash.c. */

/** crash_is_counted() - Return whether run @run_id of a task was lost in a
 * crash that is counted. */
bool crash_is_counted (const struct jtask *t, int64_t run_id);
/**
 * crash_add() - Add a crash to a task.
 * @index: index of the task in the step
 * @crash: copied
 *
 * Return: false if a crash under the same run has been added before, or the
 * task has JOB_CRASHES_ANY_MAX of them.
 */
bool crash_add (struct jstep *s, int index, const struct job_crash *crash);
/** crash_happened_on() - Return whether the executor at the address of @e has
 * crashed under a task of the step. */
bool crash_happened_on (const struct jstep *s, const struct exec *e);
/**
 * crash_count() - Count a crash of an executor under the run of @r, unless the
 * executor drained.
 *
 * The crash is counted once, and fails the job if it is the last one that its
 * task may cause.
 */
void crash_count (struct fsched *fs, const struct start *r);
/** crash_add_lapsed() - Keep what identifies the run of @r, whose lease has
 * expired, for crash_check_lapsed(). */
void crash_add_lapsed (struct fsched *fs, const struct start *r);
/**
 * crash_check_lapsed() - Count the crash under the runs that lapsed, after the
 * executor has answered a poll: if it has a new boot, it did not only fail to
 * answer.  The new boot may have carried out the start of a run that it lists.
 * @res: the answer; its lists have been processed
 */
void crash_check_lapsed (struct fsched *fs, struct exec *e,
                         const struct order_result *res);
/**
 * crash_exec_replaced() - Count the crash under the lapsed runs of the
 * executor that had the address of @successor before.
 */
void crash_exec_replaced (struct fsched *fs, const struct exec *successor);
/** crash_free_lapsed() - Free the lapsed runs of an executor. */
void crash_free_lapsed (struct fsched *fs, struct exec *e);

/* Functions of fsched_domain.c. */

/** domain_get() - Return failure domain @name, borrowed; add it if new. */
struct domain *domain_get (struct fsched *fs, const char *name);
/** domain_takes_starts() - Return whether the failure domain of @e is neither
 * silent nor evacuated. */
bool domain_takes_starts (const struct exec *e);
/** domain_start_sent() - Report that a start order was sent to @e. */
void domain_start_sent (struct fsched *fs, const struct exec *e);
/** domain_answered() - Report that @e has answered an order. */
void domain_answered (struct fsched *fs, const struct exec *e);
/** domain_check_all() - Update domain::silent of all failure domains. */
void domain_check_all (struct fsched *fs);
/** domain_free_all() - Free all failure domains. */
void domain_free_all (struct fsched *fs);

/* Functions of fsched_boot.c. */

/**
 * boot_has_changed() - Return whether the executor has booted since the boot
 * that began at @boot_start_ms; false if either start is unknown (0).
 */
bool boot_has_changed (const struct exec *e, int64_t boot_start_ms);
/**
 * boot_void() - Void all that was known of the executor's boot: another one
 * has begun.
 *
 * The runs stay until a list of the new boot tells what became of them.  From
 * now on, orders have a higher fencing token, so that a boot which has
 * received one of them refuses the orders that were meant for the boot before.
 */
void boot_void (struct fsched *fs, struct exec *e);
/**
 * boot_ask() - Ask an executor at once which boot it is in.
 * @sign: the sign of a new boot, for the log line
 *
 * Until it has answered, no tasks are placed on it.
 */
void boot_ask (struct fsched *fs, struct exec *e, const char *sign);
/**
 * boot_detect() - Detect a new boot by the clock in an answer to a start or
 * stop order, which does not name the boot.
 * @p: the order that was answered; borrowed
 * @clock_ms: the executor's clock; 0: not reported
 *
 * At a sign of a new boot, the executor is polled at once.
 *
 * Return: whether there is one.
 */
bool boot_detect (struct fsched *fs, struct exec *e,
                  const struct pending_order *p, int64_t clock_ms);
/**
 * boot_note() - Note the boot that has answered a poll.
 * @p: the poll; borrowed
 * @res: the answer; borrowed
 */
void boot_note (struct fsched *fs, struct exec *e,
                const struct pending_order *p, const struct order_result *res);
/** boot_keep_clock() - Keep the reading of the executor's clock in the answer
 * to order @p. */
void boot_keep_clock (const struct fsched *fs, struct exec *e,
                      const struct pending_order *p, int64_t clock_ms);

/* Functions of fsched_lists.c. */

/**
 * lists_adopt_orphan() - Adopt the other run of a task that the last list of
 * its executor has shown, if there is one, now that the task has no run.
 */
void lists_adopt_orphan (struct fsched *fs, struct job *j, int step,
                         int index);
/**
 * lists_process() - Process the lists of ended and running tasks in a poll's
 * answer.
 * @p: the poll; borrowed
 * @res: the answer; borrowed
 */
void lists_process (struct fsched *fs, struct exec *e,
                    const struct pending_order *p,
                    const struct order_result *res);

/* Functions of fsched_exec.c. */

/** exec_find() - Return executor @id, borrowed; NULL if it is unknown. */
struct exec *exec_find (const struct fsched *fs, const char *id);
/**
 * exec_clock_now() - Estimate the present reading of the executor's clock from
 * its last answer.
 */
int64_t exec_clock_now (const struct fsched *fs, const struct exec *e);
/** exec_token() - Return the fencing token of orders to the executor. */
int64_t exec_token (const struct fsched *fs, const struct exec *e);
/** exec_raise_token() - Let later orders to the executor have a higher fencing
 * token, so that it refuses earlier ones once it has received one of them. */
void exec_raise_token (struct exec *e);
/**
 * exec_tick() - Send the poll and the stop orders that are due, and end the
 * executor's runs if its leases have expired.
 */
void exec_tick (struct fsched *fs, struct exec *e);
/**
 * exec_poll_result() - Process the result of a poll.
 * @p: the poll; borrowed
 * @res: borrowed
 */
void exec_poll_result (struct fsched *fs, const struct pending_order *p,
                       const struct order_result *res);
/** exec_add_answer_time() - Add the time that the answer to @p took to
 * exec::answer_ms. */
void exec_add_answer_time (const struct fsched *fs, struct exec *e,
                           const struct pending_order *p);
/** exec_ask_list() - Poll @e at once, for the effect of a start without an
 * answer. */
void exec_ask_list (struct fsched *fs, struct exec *e);
/**
 * exec_mark_unreachable() - Mark @e as unreachable until a poll of it
 * succeeds; meanwhile, no tasks are placed on it.
 * @why: for the log line
 */
void exec_mark_unreachable (struct fsched *fs, struct exec *e,
                            const char *why);
/**
 * exec_count_failure() - Count a failed run or busy answer of @e, and
 * quarantine @e if there were FSCHED_QUARANTINE_FAILURES in a row.
 */
void exec_count_failure (struct fsched *fs, struct exec *e);
/** exec_count_success() - Note that a run on @e has succeeded, so that its
 * next quarantine is a first one. */
void exec_count_success (struct exec *e);
/**
 * exec_reconcile_check() - Set fsched::reconciled once all executors are
 * reconciled.
 */
void exec_reconcile_check (struct fsched *fs);

/**
 * exec_recently_listed() - Return whether discovery lists the executor, or
 * ceased to list it so recently that the platform may only have lost the entry
 * in an outage.
 */
bool exec_recently_listed (const struct fsched *fs, const struct exec *e);
/** exec_eligible() - Return whether tasks may be placed on @e at present. */
bool exec_eligible (const struct fsched *fs, const struct exec *e);
/**
 * exec_usable() - Return whether @e is eligible in the current placing pass
 * and has the service and label that the step needs.
 */
bool exec_usable (const struct exec *e, const struct job *j, int step);
/** exec_has_label() - Return whether @e reports @label, by comparing text. */
bool exec_has_label (const struct exec *e, const char *label);
/**
 * exec_fit_count() - Count how many more tasks of a step @e has capacity for.
 * @max: upper limit of the count
 *
 * Return: 0 to @max.
 */
int exec_fit_count (const struct exec *e, const struct job *j, int step,
                    int max);
/**
 * exec_fit_beside() - Count how many more tasks of a step @e has capacity for
 * beside its runs and @reserved.
 * @max: upper limit of the count
 *
 * Return: 0 to @max.
 */
int exec_fit_beside (const struct exec *e, const struct job *j, int step,
                     int max, const struct job_need *reserved);

/* Functions of fsched_account.c. */

/** account_keep_limit() - Keep the account's limit for configurations that
 * lack the account.  Called when the configuration or the account is new. */
void account_keep_limit (const struct fsched *fs, struct fsched_tenant *t);
/** account_conf_version() - Return the version of the configuration that the
 * limits come from; 0: none is known. */
int64_t account_conf_version (const struct fsched *fs);
/**
 * account_has_room() - Return whether @n more tasks of a step keep the job's
 * client account within its limit; with @n 0, whether it is within its limit
 * now.
 */
bool account_has_room (struct fsched *fs, const struct job *j, int step,
                       int n);
/** account_may_start() - Return whether the limit of the job's client account
 * leaves room for a waiting step: for all members of a gang, or for one task.
 */
bool account_may_start (struct fsched *fs, const struct job *j, int step);
/** account_add() - Add a run that needs @need to the use of an account, or
 * subtract it if @sign is -1. */
void account_add (struct fsched_tenant *t, const struct job_need *need,
                  int sign);
/** account_log_all() - Log the use and the limit of each account that has
 * runs, as @event. */
void account_log_all (struct fsched *fs, const char *event);

/* Functions of fsched_share.c. */

/**
 * share_begin_pass() - Compute the client accounts' shares for a placing pass.
 * @jobs: jobs that take part in the pass
 * @n: number of these jobs
 */
void share_begin_pass (struct fsched *fs, struct job **jobs, int n);
/**
 * share_take() - Take what the waiting tasks of @j need from the share of its
 * client account.
 *
 * Return: true; false if the account has taken up its share.
 */
bool share_take (const struct fsched *fs, const struct job *j);

/* Functions of fsched_urgency.c. */

/**
 * urgency_update() - Compute the urgency of a job, unless it was computed a
 * short time ago.
 */
void urgency_update (const struct fsched *fs, struct job *j);
/** urgency_expire() - Let the next urgency_update() compute the urgency of @j
 * in any case. */
void urgency_expire (struct job *j);
/**
 * urgency_compare() - Compare two jobs by their urgency, for qsort().
 * @va: points to a pointer to a job
 * @vb: likewise
 */
int urgency_compare (const void *va, const void *vb);

/* Functions of fsched_place.c. */

/**
 * place_pass() - Place the tasks of all waiting jobs, the most urgent job
 * first.
 */
void place_pass (struct fsched *fs);

/* Functions of fsched_adviser.c. */

enum
{
  /* Queries that are announced to take longer than this are long queries: some
     of the available instances do not get them. */
  ADVICE_LONG_QUERY_MS = 100,
  /* Number of advice queries that may be outstanding, before the service has
     refused any. */
  ADVICE_WINDOW = 512,
  /* Longest time that a short query may wait for other queries of its
     instance. */
  ADVICE_QUEUED_MAX_MS = 40,
  /* Part of a query's time that messages between the instances take. */
  ADVICE_PATH_MS = 30,
};

/** struct adviser_counts - numbers of instances that may get queries */
struct adviser_counts
{
  int n_reachable;
  int n_available; /* reachable and not avoided */
  int n_idle;      /* of these, without an outstanding query */
  int n_for_long;  /* of the available ones, those that long queries may use */
};
/** adviser_count() - Count the instances that may get queries. */
struct adviser_counts adviser_count (const struct fsched *fs);
/** adviser_name() - Return the name of an instance for log lines, borrowed.
 * @adviser: index into fsched::advisers */
const char *adviser_name (const struct fsched *fs, int adviser);
/**
 * adviser_pick() - Choose the instance for a query.
 * @duration_ms: announced duration of the query
 *
 * Return: index into fsched::advisers of the instance that is expected to be
 * free first, of those that may get such a query; -1 if none may, or if no
 * more queries may be outstanding.
 */
int adviser_pick (const struct fsched *fs, double duration_ms);
/**
 * adviser_query_sent() - Account for a query that is sent through the instance
 * @p->adviser, and set its deadline.
 * @q: queue of the job
 *
 * Return: how long the instance waits for the service's answer, in ms.
 */
int64_t adviser_query_sent (struct fsched *fs, struct pending_order *p,
                            struct fsched_queue *q, double duration_ms);
/** adviser_query_overdue() - Account for a query whose deadline has passed, or
 * whose instance is not reachable. */
void adviser_query_overdue (struct fsched *fs, struct pending_order *p);
/** adviser_query_ended() - Account for the end of a query.
 * @outcome: enum order_outcome
 * @took_ms: time that the instance waited for the answer; 0: unknown */
void adviser_query_ended (struct fsched *fs, struct pending_order *p,
                          int outcome, int64_t took_ms);
/** adviser_sweep_queries() - End the queries that have no answer in time. */
void adviser_sweep_queries (struct fsched *fs);

/** step_waiting() - Return the number of tasks of a step that are neither done
 * nor placed. */
static inline int
step_waiting (const struct jstep *s)
{
  return s->n_tasks - s->n_done - s->n_running;
}

/* Functions of fsched_choice.c. */

/** struct named_exec - an executor that an advice query may name */
struct named_exec
{
  struct exec *e;
  int fits; /* number of the step's tasks that the executor can take */
};

/** struct named_execs - the executors that an advice query names */
struct named_execs
{
  struct named_exec list[ORDER_ADVICE_EXECS_MAX];
  size_t n;      /* number of entries of list */
  int fits;      /* sum of named_exec::fits of them */
  double n_sure; /* part of this sum on executors that are permitted */
};

/**
 * choice_execs() - Choose the executors that the next query about a step
 * names.
 * @n_waiting: number of the step's tasks that wait
 * @out: empty at first; stays empty if there is nothing to ask
 */
void choice_execs (struct fsched *fs, struct job *j, int step, int n_waiting,
                   struct named_execs *out);
/** choice_duration_ms() - Return the announced duration of a query about @j
 * that names @n_execs executors. */
double choice_duration_ms (const struct job *j, double n_execs);
/** choice_first_query_ms() - Return the announced duration that the first
 * query about a step is expected to have: it would name as many executors if
 * they were idle. */
double choice_first_query_ms (const struct fsched *fs, const struct job *j,
                              int step);

/* Functions of fsched_room.c. */

/** enum room_view - which room a step may use */
enum room_view
{
  ROOM_UNRESERVED, /* what is not reserved for any step */
  /* Also what is reserved for steps of its own rank, unless firmly. */
  ROOM_OF_RANK,
  /* What is not reserved, or for gangs that do not fit yet and not firmly. */
  ROOM_OF_GANGS,
  ROOM_ALL, /* all that no start uses, and that is not reserved firmly */
};

/** room_count() - Return the number of a step's tasks, at most @max, that an
 * executor has capacity for.
 * @view: enum room_view */
int room_count (const struct exec *e, const struct job *j, int step, int max,
                int view);
/**
 * room_pass_over() - Account for a start of a task of step @step in room that
 * may be reserved for a gang that does not fit yet.
 *
 * What is reserved for the gang is firm once as much CPU as it needs itself
 * was taken from it: only steps of jobs that were accepted before may take it
 * then.
 */
void room_pass_over (const struct exec *e, const struct job *j, int step);
/** room_forget_job() - Let no executor refer to the steps of @j, which is
 * freed. */
void room_forget_job (struct fsched *fs, const struct job *j);
/** room_reserve_named() - Reserve room for @n_waiting tasks of a step on the
 * executors that a query names. */
void room_reserve_named (struct fsched *fs, struct job *j, int step,
                         const struct named_execs *execs, int n_waiting);
/**
 * room_keep() - In the current pass, reserve room for a step on the executors
 * that its outstanding queries name, so that no job of a lower rank takes it
 * before the answer comes.
 */
void room_keep (struct fsched *fs, struct job *j, int step);
/** room_reserve_gang() - In the current pass, reserve the free capacity of
 * permitted executors for a gang that does not fit yet. */
void room_reserve_gang (struct fsched *fs, struct job *j, int step);
/** room_fits() - Return the number of a step's tasks that an executor has
 * capacity for, with what is reserved for the step itself.
 * @view: enum room_view */
int room_fits (const struct exec *e, const struct job *j, int step, int view);
/**
 * room_held_max_ms() - Return for how long reserved room alone may keep a step
 * from being asked about, and a gang from starting.
 *
 * Return: the lifetime of the step's tickets or, without advice, of those of
 * the steps that room is reserved for; in ms.
 */
int64_t room_held_max_ms (const struct fsched *fs, const struct job *j);
/** room_could_start() - Return whether the executors that a step is permitted
 * could start it if they were idle. */
bool room_could_start (struct fsched *fs, struct job *j, int step);

/* Functions of fsched_overload.c. */

/** overload_init_queue() - Set what is assumed of a new queue. */
void overload_init_queue (struct fsched_queue *q);
/** overload_job_added() - Account for a job that arrived in this term. */
void overload_job_added (struct fsched *fs, const struct job *j);
/** overload_query_sent() - Account for a query about a step.
 * @first: whether no query about the step was answered or is outstanding */
void overload_query_sent (struct fsched_queue *q, double duration_ms,
                          bool first);
/** overload_update() - Compute how long new jobs of each queue would wait for
 * advice, if that is due. */
void overload_update (struct fsched *fs);

/* Functions of fsched_asking.c. */

/** asking_add() - Let a step be asked about as soon as a query may be sent;
 * no effect if it waits for that already. */
void asking_add (struct fsched *fs, struct job *j, int step);
/** asking_remove() - Remove a step from those that wait; no effect if it is
 * not among them.  @q: queue of its job */
void asking_remove (struct fsched_queue *q, struct jstep *s);
/** asking_count() - Return the number of steps that wait. */
int asking_count (const struct fsched *fs);
/** asking_send() - Send the queries that may be sent now. */
void asking_send (struct fsched *fs);

/* Functions of fsched_lanes.c. */

/** lanes_init() - Set what is assumed of the advice service at first. */
void lanes_init (struct lanes *l);
/** lanes_count() - Return how many queries the service seems to handle beside
 * each other: from 1 to the number of reachable instances. */
double lanes_count (const struct fsched *fs);
/** lanes_are_limited() - Return whether only so many queries may be
 * outstanding that are not short, as the instances are known to have fewer
 * lanes. */
bool lanes_are_limited (const struct fsched *fs);
/** lanes_are_shared() - Return whether that is so as queries of different
 * instances have waited for each other, not for lack of evidence. */
bool lanes_are_shared (const struct fsched *fs);
/** lanes_rate() - Return the announced time of the queries that the service
 * can answer in a time, as a multiple of this time. */
double lanes_rate (const struct fsched *fs);
/** lanes_backlog_ms() - Return how long the service is expected to take for
 * the outstanding queries. */
int64_t lanes_backlog_ms (const struct fsched *fs);
/** lanes_admit() - Return whether a query may be sent without having to wait
 * at the service for long, or letting short ones wait. */
bool lanes_admit (const struct fsched *fs, double duration_ms);
/** lanes_query_sent() - Account for a query that is sent now. */
void lanes_query_sent (struct fsched *fs, const struct pending_order *p);
/** lanes_query_left() - Account for a query that ended, or no longer counts as
 * outstanding. */
void lanes_query_left (struct fsched *fs, const struct pending_order *p);
/** lanes_query_answered() - Learn from an answer.
 * @took_ms: time that the instance waited for it */
void lanes_query_answered (struct fsched *fs, const struct pending_order *p,
                           int64_t took_ms);
/** lanes_tick() - Update the rate, and log what is known of the service if
 * that is due. */
void lanes_tick (struct fsched *fs);

/* Functions of fsched_window.c. */

/** window_init() - Set how many queries may be outstanding at the start of a
 * term. */
void window_init (struct fsched *fs);
/** window_is_open() - Return whether a query may be sent at all now. */
bool window_is_open (const struct fsched *fs);
/** window_short_peak() - Return the largest number of short queries that were
 * outstanding of late; an older one counts less. */
double window_short_peak (const struct fsched *fs);
/** window_query_sent() - Account for a query that is sent now. */
void window_query_sent (struct fsched *fs, struct pending_order *p);
/** window_query_answered() - Learn from an answer. */
void window_query_answered (struct fsched *fs);
/** window_query_overdue() - Learn from a query whose deadline has passed. */
void window_query_overdue (struct fsched *fs, const struct pending_order *p);
/** window_refused() - Let fewer queries be outstanding, after the service has
 * refused one. */
void window_refused (struct fsched *fs, const struct pending_order *p);
/** window_leave() - End the account of a query with the outstanding ones. */
void window_leave (struct fsched *fs, struct pending_order *p);

/* Functions of fsched_advice.c. */

/**
 * permit_valid() - Return whether the step has a permit for @e with a ticket
 * that is valid long enough.
 */
bool permit_valid (const struct fsched *fs, const struct jstep *s,
                   const struct exec *e);
/** permit_valid_for() - Return whether the step has a permit for @e with a
 * ticket that is valid for @for_ms at least. */
bool permit_valid_for (const struct fsched *fs, const struct jstep *s,
                       const struct exec *e, int64_t for_ms);
/** permit_get() - Return the step's permit for @e, borrowed; add it if new. */
struct permit *permit_get (struct jstep *s, const struct exec *e);
/** enum advice_sending - what became of an attempt to send a query */
enum advice_sending
{
  ADVICE_SENT,
  ADVICE_NOTHING_TO_ASK,
  ADVICE_BLOCKED, /* no instance may send such a query now */
};
/** advice_may_query() - Return whether a query about a step is due. */
bool advice_may_query (const struct fsched *fs, const struct job *j, int step);
/**
 * advice_send_query() - Send the next query about a step, for which it is due.
 *
 * In the current pass, capacity that the step is likely to get is reserved for
 * it.
 */
enum advice_sending advice_send_query (struct fsched *fs, struct job *j,
                                       int step);
/**
 * advice_query() - Query the advice service which executors may run a step, if
 * a query is due: now, or as soon as it may be sent.
 */
void advice_query (struct fsched *fs, struct job *j, int step);
/**
 * advice_result() - Process the result of an advice query.
 * @p: the query; borrowed
 * @res: borrowed
 */
void advice_result (struct fsched *fs, struct pending_order *p,
                    const struct order_result *res);
/**
 * advice_find_free() - Update fsched::short_adviser_free and
 * fsched::long_adviser_free.
 */
void advice_find_free (struct fsched *fs);
/** advice_overdue() - Let a step go on without the answer to a query whose
 * deadline has passed.  An answer that arrives later is still used. */
void advice_overdue (struct fsched *fs, struct pending_order *p);
/** advice_ticket_refused() - Process that the executor has refused the ticket
 * of a start. */
void advice_ticket_refused (struct fsched *fs, const struct start *r);
/** advice_ticket_accepted() - Process that the executor has accepted a start
 * with a ticket. */
void advice_ticket_accepted (const struct start *r);
/** adviser_is_free() - Return whether an instance is free for an advice query
 * about @j, as of the last placing pass. */
bool adviser_is_free (const struct fsched *fs, const struct job *j);
/** advice_free() - Free the permits of a step, but not @s itself. */
void advice_free (struct jstep *s);

/* Functions of fsched_why.c. */

/** enum wait_cause - why a ready step has tasks that do not run */
enum wait_cause
{
  CAUSE_SET_ASIDE,     /* the table refuses the job's rows */
  CAUSE_ACCOUNT_LIMIT, /* the client account has reached its limit */
  CAUSE_GANG_ENDING,   /* members of an earlier run have not ended */
  CAUSE_NO_EXECUTOR,   /* no eligible executor has the service and the label */
  CAUSE_QUERY_SENT,    /* an advice query is outstanding */
  CAUSE_QUERY_PAUSE,   /* the pause before the next advice query */
  CAUSE_NO_PERMIT,     /* advice denies all usable executors */
  CAUSE_NO_ROOM,       /* permitted executors lack the capacity */
  CAUSE_NO_ADVISER,    /* no instance is free to send an advice query */
  CAUSE_RESERVED,      /* the capacity is reserved for more urgent jobs */
  CAUSE_TURN,          /* the step waits for the next placing pass */
  CAUSE_RUN_ENDING,    /* runs of the tasks that are left are being stopped */
  /* It is not known whether runs of the tasks that are left began. */
  CAUSE_RUN_UNCONFIRMED,
  CAUSE_RUN_UNRECORDED, /* their starts wait for their intents to be written */
  CAUSE_UNKNOWN,        /* the cause was not looked for */
  CAUSE_N
};

extern const char *const wait_cause_names[CAUSE_N + 1];

/** why_held_ms() - Return for how long a run has not been known to be running;
 * -1: it runs. */
int64_t why_held_ms (const struct fsched *fs, const struct start *r);
/**
 * why_holder() - Find the run that keeps a step waiting: the one that has been
 * stopping for longest, else the one that has not been known to be running for
 * longest, else any.
 *
 * Return: borrowed; NULL if no task that is left has a run.
 */
const struct start *why_holder (const struct fsched *fs, const struct job *j,
                                int step);
/** why_log_step() - Log why a step waits. */
void why_log_step (struct fsched *fs, struct job *j, int step);
/** why_cause_quick() - Return enum wait_cause, as far as it is known without
 * looking at the executors. */
int why_cause_quick (struct fsched *fs, const struct job *j, int step);
/** why_answer_unused() - Count and log why the last answer about a step did
 * not let the step start. */
void why_answer_unused (struct fsched *fs, const struct job *j, int step);

/* Functions of fsched_waits.c. */

/**
 * waits_tick() - Log which jobs wait and are overdue, if the next lines are
 * due.
 *
 * The work is proportional to the number of jobs, once a second.
 */
void waits_tick (struct fsched *fs);
/**
 * waits_load_done() - Log how many starts are inherited from earlier leaders,
 * and the gangs of which some members are.
 */
void waits_load_done (struct fsched *fs);

#endif
