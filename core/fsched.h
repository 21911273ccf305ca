/**
 * DOC: The scheduler of the fleet's jobs, present only while its instance
 * leads.
 *
 * A start is on record before it is sent, see fsched_intent.c.  An executor
 * runs only what a lease covers, refuses lower fencing tokens and remembers
 * each end until it is told that the end is recorded.  So a new leader learns
 * what runs from the executors, and from the record what may be running on
 * those that do not answer; it leaves just these tasks alone until their
 * leases are surely over.
 *
 * No input or output: results are handed in with the present time, orders and
 * log lines are left in the queue, records are collected by the journal.
 * Times are of a clock that goes on while the machine is suspended.
 */
#ifndef CELL_H
#define CELL_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "fconf.h"
#include "hist.h"
#include "leader.h"
#include "msg.h"
#include "order.h"

enum
{
  CELL_LEASE_MS = 6000,     /* longest that executors grant */
  CELL_HOLD_WAIT_MS = 1000, /* an idle executor is asked once a second */
  CELL_HOLD_GAP_MS = 15,    /* ends of this long are fetched together */
  CELL_HOLD_RETRY_MS = 150, /* after a failed question */
  CELL_CALL_MS = 500,   /* a start or stop is given up after this; links and
                           executors take some ms */
  CELL_START_TRIES = 2, /* a start is idempotent by its run's number */
  CELL_HOLD_SLACK_MS = 900, /* a question for ends, beyond its wait */
  CELL_STOP_RETRY_MS = 300,
  CELL_CLOCK_MARGIN_MS = 150,  /* timers and links */
  CELL_TICKET_MARGIN_MS = 120, /* a start travels this long at most */
  CELL_ADVISERS_MAX = 64,
  CELL_PASS_QUESTIONS = 12, /* of one pass: passes over many jobs are rare, so
                               that a backlog's questions leave the leader time
                               for starts, ends and its lease */
  CELL_BAD_RUNS = 3,        /* failures in a row that put an executor aside */
  CELL_UNLISTED_MS = 2500,  /* entries that the platform dropped while it was
                               away come back within 2 s */
  CELL_SWEEP_MS = 4,        /* between looks at all executors */
  CELL_JOB_PARTS = 8,       /* of the table of jobs: each takes 300 writes/s */
  CELL_TRIM_MS = 2500,  /* between removals of ended jobs' specifications */
  CELL_TRIM_ROWS = 90,  /* of one such write */
  CELL_ASIDE_MS = 4000, /* first pause; doubled while it goes on failing */
  PLAN_SLOTS = 256,     /* rows of the record of starts: 10 s at 25 writes/s */
};

#define CELL_KEY_PROGRESS "prog:" LEAD_PART "/"
#define CELL_KEY_PLAN "plan:" LEAD_PART "/"

/* The row of an ended job. */
#define CELL_TRIMMED "{}"

struct cell;
struct exec;
struct jstep;
struct plan_entry;

enum start_state
{
  START_PLANNED, /* its record is not durable yet */
  START_DROPPED, /* the same, and it will not be sent */
  START_SENT,    /* no answer yet */
  START_ON,      /* acknowledged or listed */
  START_UNSURE,  /* the answer was lost */
  START_STOP,    /* to be stopped */
};

/** struct start - one start of a task on one executor */
struct start
{
  TAILQ_ENTRY (start) on_exec;
  struct job *job;
  struct exec *exec;
  int step;
  int index;
  int state; /* enum start_state */
  int64_t no;
  int64_t sent_ms;
  int64_t acked_ms;  /* the start was acknowledged; 0: not */
  int64_t unsure_ms; /* the start's answer was lost then */
  int64_t clear_ms;  /* a stop was acknowledged: once a later list lacks it,
                        it is gone; 0: not */
  int64_t percent;
  int64_t percent_ms; /* of the last change */
  int64_t stop_ms;    /* next stop order not before */
  uint64_t order;     /* outstanding start or stop */
  int tries;          /* starts sent */
  bool seen;          /* in the list under way */
  bool earlier;       /* of an earlier leader; its executor has not answered */
  struct plan_entry *plan; /* its record, or NULL */
  char saved[JOB_SAVED_SIZE];
};
TAILQ_HEAD (startq, start);

struct jtask
{
  struct start *run;      /* NULL: not started */
  char *saved;            /* latest checkpoint, or NULL */
  struct job_run *failed; /* runs that have failed; of a gang, at its first */
  int32_t n_failed;
  int32_t next_run;
  int32_t last_run; /* highest on record of an earlier leader; 0: none */
  bool done;
};

enum permit_state
{
  PERMIT_UNKNOWN,
  PERMIT_ASKED,
  PERMIT_GOOD,
  PERMIT_BAD,
};

/** struct permit - whether a step may run on an executor */
struct permit
{
  int state;        /* enum permit_state */
  int64_t until_ms; /* the ticket is valid */
  int64_t born_ms;  /* of the executor that it was given for */
  char *ticket;
};

struct jstep
{
  struct jtask *tasks;
  int n_tasks;
  int n_done;
  int n_running; /* with a run */
  bool ready;
  int64_t ready_ms;
  struct permit *permits; /* by the executor's index */
  int n_permits;
  int label;        /* number of the label required; 0: none */
  int data_rack;    /* number of the rack of its data; 0: none */
  uint64_t ask;     /* outstanding question; 0: none */
  int64_t valid_ms; /* no ticket in hand is valid after this */
  int64_t ask_next_ms;
  int n_asks; /* answered since a task of it was last started */
};

/** struct job - a job in hand */
struct job
{
  RB_ENTRY (job) by_id;
  TAILQ_ENTRY (job) link;
  struct job_spec spec;
  int service; /* number of its executors' service */
  struct jstep *steps;
  int state; /* enum job_state */
  int n_runs;
  int n_left;       /* steps not done */
  int64_t come_ms;  /* when it was accepted, on the local clock */
  int64_t due_ms;   /* of the objective */
  int64_t chain_ms; /* longest chain of estimates */
  int group;        /* in the placing pass under way; 0 goes first */
  bool old;         /* accepted before this leader's claim */
  bool excess;      /* beyond what its client account is owed */
  bool begun;       /* a task has started */
  bool started;     /* a start was sent by this leader */
  bool dirty;       /* its record must be written */
  bool writing;     /* in the write in flight */
  bool recorded;    /* its final state is durable */
};
RB_HEAD (job_tree, job);
TAILQ_HEAD (jobq, job);

struct exec
{
  TAILQ_ENTRY (exec) link;
  RB_ENTRY (exec) by_id;
  struct exec_report rep;
  int service; /* these are numbers of names */
  int rack;
  uint64_t labels;     /* set of them */
  int index;           /* of permits; never reused */
  bool listed;         /* discovery shows it */
  bool relisted;       /* in the list under way */
  int64_t unlisted_ms; /* since then it does not */
  bool heard;          /* has answered this leader */
  bool clear;          /* surely runs nothing that this leader doesn't know */
  bool silent;         /* its last question failed */
  bool on_record;      /* in the recorded roster */
  bool in_write;       /* in the roster of the write in flight */
  struct startq runs;
  struct job_need used;
  struct job_need promised; /* in the pass under way, to work that goes
                               first and waits for advice */
  bool open;                /* may be given tasks, in the pass under way */
  int strays;               /* runs that it lists and nobody wants */
  int64_t born_ms;
  int64_t clock_ms;     /* its clock ... */
  int64_t clock_at_ms;  /* ... at this local time */
  int64_t deadline_ms;  /* longest lease given, on its clock */
  int64_t seen_end;     /* ends up to here are taken in */
  int64_t write_end;    /* ... will be recorded by the write in flight */
  int64_t recorded_end; /* ... are recorded */
  uint64_t hold;        /* outstanding question */
  int64_t hold_ms;      /* sent then */
  int64_t stray_ms;     /* strays are stopped again not before */
  int64_t next_hold_ms;
  int64_t lost_ms; /* silent since then */
  int bad_runs;    /* failures in a row */
  int64_t aside_until_ms;
  int64_t aside_ms; /* length of the last pause */
};
TAILQ_HEAD (execq, exec);
RB_HEAD (exec_tree, exec);

/** struct cell_names - names that are compared often, by their numbers from 1;
    0 is the empty name */
struct cell_names
{
  char (*list)[CLB_NAME_MAX];
  int n;
};

/** struct pending_order - an order whose result has not come */
struct pending_order
{
  RB_ENTRY (pending_order) by_no;
  uint64_t no;
  int kind;              /* enum order_kind */
  struct start *run;     /* of a start or stop; NULL once that is gone */
  struct exec *exec;     /* of a hold */
  char job[JOB_ID_SIZE]; /* of a question for advice */
  int step;
  int adviser;
  int64_t sent_ms;
  int64_t until_ms; /* of a question: then it is given up */
  size_t n_names;
};
RB_HEAD (pending_order_tree, pending_order);

/** struct adviser - an instance that asks for advice on the leader's behalf */
struct adviser
{
  char id[CLB_ID_MAX]; /* empty: this instance */
  char addr[CLB_ADDR_MAX];
  int64_t heard_ms;
  int64_t fresh_ms;       /* it reached the table then */
  int64_t avoid_until_ms; /* a question that it had got lost */
  int64_t busy_until_ms;  /* expected end of the questions it has */
  int n_open;
  int64_t millicores;
};

struct cell_tenant
{
  char name[CLB_NAME_MAX];
  struct job_need used;
  double owed; /* jobs that may still come now without being excess */
  int64_t owed_ms;
  TAILQ_ENTRY (cell_tenant) link;
};
TAILQ_HEAD (cell_tenantq, cell_tenant);

/** struct cell_queue - what is learned of a queue's work */
struct cell_queue
{
  TAILQ_ENTRY (cell_queue) link;
  char name[CLB_NAME_MAX];
  double good_share; /* of the executors asked about, those permitted */
};
TAILQ_HEAD (cell_queueq, cell_queue);

/** struct final - a job that ended in this leader's term */
struct final
{
  RB_ENTRY (final) by_id;
  char id[JOB_ID_SIZE];
  int state;
  bool trim; /* its specification still lies in the table */
};
RB_HEAD (final_tree, final);

/** struct early_progress - read before its job */
struct early_progress
{
  RB_ENTRY (early_progress) by_id;
  char id[JOB_ID_SIZE];
  struct job_progress progress;
};
RB_HEAD (early_tree, early_progress);

/** struct cell_stats - counters since the process began */
struct cell_stats
{
  uint64_t passes; /* of placing */
  uint64_t starts;
  uint64_t ends[END_N];
  uint64_t refusals[REFUSED_N];
  uint64_t outcomes[ORDER_OUTCOME_N];
  uint64_t questions;
  uint64_t questions_failed;
  uint64_t jobs_added;
  uint64_t jobs_ended[JOB_STATE_N];
  uint64_t stops;
  uint64_t lapsed;
  uint64_t aside;
  struct hist order_ms[ORDER_KIND_N]; /* from an order to its result */
  struct hist first_start_ms; /* from a job's arrival to its first start */
  struct hist job_ms[JOB_STATE_N]; /* from its arrival to its end */
};

TAILQ_HEAD (plan_entryq, plan_entry);

/** struct plan - starts on record, see fsched_intent.c */
struct plan
{
  struct plan_entryq slots[PLAN_SLOTS]; /* by the row that they lie in */
  struct plan_entryq waiting;           /* for the next write */
  struct plan_entryq writing;           /* in the write in flight */
  int next;                             /* row to be written next */
  int write_slot;
  uint64_t ends; /* of starts on record so far */
  uint64_t write_ends;
  uint64_t recorded_ends; /* what they changed is on record */
};

struct cell
{
  int64_t now_ms;
  struct outq *out;
  uint64_t *tokens;
  int64_t epoch;
  struct cell_stats *stats; /* outlives the cell */
  const struct fconf *conf; /* borrowed */
  struct job_tree jobs;
  struct jobq queue; /* in order of arrival */
  int n_jobs;
  struct execq execs;
  struct exec_tree exec_ids;
  struct exec *
      *open; /* those that may be given tasks, in the pass under way */
  int n_open;
  struct cell_names services;
  struct cell_names racks;
  struct cell_names labels;
  int n_execs;
  struct cell_tenantq tenants;
  struct final_tree finals;
  struct pending_order_tree orders;
  struct early_tree early;
  int64_t next_sweep_ms; /* of questions that were not answered */
  struct adviser advisers[CELL_ADVISERS_MAX];
  int n_advisers;
  struct cell_queueq queues;
  bool fenced;  /* an executor has seen a higher term */
  bool going;   /* loaded: orders may be given */
  bool settled; /* nothing runs that this leader does not know of */
  int64_t claimed_ms;
  int64_t wait_ms; /* from then on silent executors run nothing unknown */
  bool may_order;
  bool pass_due;
  int64_t next_pass_ms;
  int64_t retry_pass_ms; /* some work could not be placed: look again; 0 */
  bool record_due;       /* something must be recorded */
  bool plan_due;         /* starts wait for their record */
  struct plan plan;
  bool roster_dirty;
  bool roster_writing;
  int questions;  /* that the pass under way may still ask */
  bool ask_short; /* in the pass under way, an adviser is free for ... */
  bool ask_long;
  int64_t next_sweep_execs_ms;
  int64_t next_trim_ms;
  struct job **ready; /* scratch of a placing pass */
  int ready_cap;
};

RB_PROTOTYPE (job_tree, job, by_id, job_cmp)
RB_PROTOTYPE (exec_tree, exec, by_id, exec_cmp)
RB_PROTOTYPE (pending_order_tree, pending_order, by_no, pending_order_cmp)
RB_PROTOTYPE (early_tree, early_progress, by_id, early_cmp)
RB_PROTOTYPE (final_tree, final, by_id, final_cmp)
int job_cmp (const struct job *a, const struct job *b);
int exec_cmp (const struct exec *a, const struct exec *b);
int pending_order_cmp (const struct pending_order *a,
                       const struct pending_order *b);
int early_cmp (const struct early_progress *a, const struct early_progress *b);
int final_cmp (const struct final *a, const struct final *b);

/**
 * cell_new() - A scheduler for the leader of term @epoch.
 * @wait_ms: how long after the claim an executor that nobody hears may still
 *           be running what an earlier leader started
 */
struct cell *cell_new (struct outq *out, uint64_t *tokens, int64_t now_ms,
                       int64_t epoch, int64_t wait_ms,
                       struct cell_stats *stats);
void cell_free (struct cell *c);

void cell_conf (struct cell *c, const struct fconf *conf);

/* While loading: roster, starts and progress, then jobs; then cell_go(). */

/**
 * cell_job() - A job from its record.
 * @spec: taken over
 * @old: an earlier leader may have started it
 */
void cell_job (struct cell *c, struct job_spec *spec, bool old,
               int64_t age_ms);
/**
 * cell_progress() - What was recorded of a job, before the job itself.
 * @p: taken over
 */
void cell_progress (struct cell *c, const char *id, struct job_progress *p);
/**
 * cell_plan() - A row of starts on record, before the jobs.
 * @key: its number
 *
 * Return: lines that make no sense.
 */
int cell_plan (struct cell *c, const char *key, const char *text);
/** cell_roster() - Executors that an earlier leader may have used. */
void cell_roster (struct cell *c, const char *text);
void cell_go (struct cell *c);

/* Events. */
void cell_cancel (struct cell *c, const char *id);
void cell_exec (struct cell *c, const struct exec_report *rep);
void cell_exec_gone (struct cell *c, const char *id);
/** cell_exec_list() - Begin or end of a whole list of executors. */
void cell_exec_list (struct cell *c, bool begins);
/** cell_adviser() - An instance that may ask for advice was heard. */
void cell_adviser (struct cell *c, const char *id, const char *addr,
                   int64_t millicores, int64_t fresh_ms);
/** cell_adviser_fresh() - The one that has reached the table last, or NULL. */
const struct adviser *cell_adviser_fresh (const struct cell *c);
/** cell_adviser_rank() - How many others have more of a core. */
int cell_adviser_rank (const struct cell *c, const char *id);
void cell_result (struct cell *c, int64_t now_ms, uint64_t order,
                  const struct order_result *res);
void cell_tick (struct cell *c, int64_t now_ms, bool may_order);

/**
 * cell_collect() - Add what must be recorded to a write, see record_due.
 *
 * Return: how many puts were added; cell_recorded() follows once they are
 * durable.
 */
int cell_collect (struct cell *c, struct store_op *op, int most);
void cell_recorded (struct cell *c);

/** cell_job_part() - Part of the table of jobs that @id lies in. */
int cell_job_part (const char *id);
/** cell_state() - enum job_state, or -1 for a job that is not in hand. */
int cell_state (const struct cell *c, const char *id);
/** cell_waiting() - Jobs of a queue none of whose tasks has started. */
int64_t cell_waiting (const struct cell *c, const char *queue);

#endif
