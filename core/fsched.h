/**
 * DOC: The scheduler of the fleet's jobs, present only while its instance
 * leads.
 *
 * A start is on record before it is sent, see fsched_intent.c.  An
 * executor runs only what a lease covers, refuses lower fencing tokens and
 * remembers each end until it is told that the end is recorded.  So a new
 * leader learns what runs from the executors, and from the record what may be
 * running on those that do not answer; it leaves just these tasks alone until
 * their leases are surely over.
 *
 * No input or output: results are handed in with the present time, orders and
 * log lines are left in the queue, records are collected by the journal.
 * Times are of a clock that goes on while the machine is suspended.
 */
#ifndef FSCHED_H
#define FSCHED_H

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>

#include "fconf.h"
#include "hist.h"
#include "leader.h"
#include "msg.h"
#include "order.h"

enum
{
  FSCHED_LEASE_MS = 6000,       /* longest that executors grant */
  FSCHED_POLL_WAIT_MS = 1000,   /* an idle executor is asked once a second */
  FSCHED_POLL_GAP_MS = 15,      /* ends of this long are fetched together */
  FSCHED_POLL_RETRY_MS = 150,   /* after a failed question */
  FSCHED_CALL_TIMEOUT_MS = 500, /* a start or stop is given up after this;
                         links and executors take some ms */
  FSCHED_START_TRIES = 2,       /* a start is idempotent by its run's number */
  FSCHED_POLL_SLACK_MS = 900,   /* a question for ends, beyond its wait */
  FSCHED_STOP_RETRY_MS = 300,
  FSCHED_CLOCK_MARGIN_MS = 150,  /* timers and links */
  FSCHED_TICKET_MARGIN_MS = 120, /* a start travels this long at most */
  FSCHED_ADVISERS_MAX = 64,
  FSCHED_PASS_QUERIES = 12, /* of one pass: passes over many jobs are rare, so
                               that a backlog's questions leave the leader time
                               for starts, ends and its lease */
  FSCHED_QUARANTINE_FAILURES
  = 3, /* failures in a row that put an executor aside */
  FSCHED_UNLISTED_GRACE_MS = 2500, /* entries that the platform dropped while
                              it was away come back within 2 s */
  FSCHED_EXEC_SWEEP_MS = 4,        /* between looks at all executors */
  FSCHED_JOB_PARTS = 8,  /* of the table of jobs: each takes 300 writes/s */
  FSCHED_TRIM_MS = 2500, /* between removals of ended jobs' specifications */
  FSCHED_TRIM_ROWS = 90, /* of one such write */
  FSCHED_QUARANTINE_MS
  = 4000,            /* first pause; doubled while it goes on failing */
  INTENT_ROWS = 256, /* rows of the record of starts: 10 s at 25 writes/s */
};

#define FSCHED_KEY_PROGRESS "prog:" LEADER_PART "/"
#define FSCHED_KEY_INTENTS "plan:" LEADER_PART "/"

/* The row of an ended job. */
#define FSCHED_TRIMMED "{}"

struct fsched;
struct exec;
struct jstep;
struct intent;

enum start_state
{
  START_INTENT,      /* its record is not durable yet */
  START_DROPPED,     /* the same, and it will not be sent */
  START_SENT,        /* no answer yet */
  START_ACKED,       /* acknowledged or listed */
  START_UNCONFIRMED, /* the answer was lost */
  START_STOPPING,    /* to be stopped */
};

/** struct start - one start of a task on one executor */
struct start
{
  TAILQ_ENTRY (start) exec_link;
  struct job *job;
  struct exec *exec;
  int step;
  int index;
  int state; /* enum start_state */
  int64_t run_id;
  int64_t sent_ms;
  int64_t start_acked_ms; /* the start was acknowledged; 0: not */
  int64_t answer_lost_ms; /* the start's answer was lost then */
  int64_t stop_acked_ms;  /* a stop was acknowledged: once a later list lacks
                        it, it is gone; 0: not */
  int64_t percent;
  int64_t percent_changed_ms; /* of the last change */
  int64_t next_stop_ms;       /* next stop order not before */
  uint64_t order_id;          /* outstanding start or stop */
  int tries;                  /* starts sent */
  bool in_list;               /* in the list under way */
  bool inherited; /* of an earlier leader; its executor has not answered */
  struct intent *intent; /* its record, or NULL */
  char checkpoint[JOB_CHECKPOINT_SIZE];
};
TAILQ_HEAD (startq, start);

struct jtask
{
  struct start *run; /* NULL: not started */
  char *checkpoint;  /* latest checkpoint, or NULL */
  struct job_run
      *failed_runs; /* runs that have failed; of a gang, at its first */
  int32_t n_failed;
  int32_t next_run_id;
  int32_t last_run_id; /* highest on record of an earlier leader; 0: none */
  bool done;
};

enum permit_state
{
  PERMIT_UNKNOWN,
  PERMIT_QUERIED,
  PERMIT_ALLOWED,
  PERMIT_DENIED,
};

/** struct permit - whether a step may run on an executor */
struct permit
{
  int state;              /* enum permit_state */
  int64_t valid_until_ms; /* the ticket is valid */
  int64_t boot_start_ms;  /* of the executor that it was given for */
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
  int label;                /* number of the label required; 0: none */
  int data_rack;            /* number of the rack of its data; 0: none */
  uint64_t query_id;        /* outstanding question; 0: none */
  int64_t tickets_until_ms; /* no ticket in hand is valid after this */
  int64_t next_query_ms;
  int n_queries; /* answered since a task of it was last started */
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
  int n_steps_left;         /* steps not done */
  int64_t arrival_ms;       /* when it was accepted, on the local clock */
  int64_t due_ms;           /* of the objective */
  int64_t critical_path_ms; /* longest chain of estimates */
  int urgency_class;        /* in the placing pass under way; 0 goes first */
  bool inherited;           /* accepted before this leader's claim */
  bool over_share;          /* beyond what its client account is owed */
  bool task_started;        /* a task has started */
  bool start_sent;          /* a start was sent by this leader */
  bool dirty;               /* its record must be written */
  bool writing;             /* in the write in flight */
  bool recorded;            /* its final state is durable */
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
  uint64_t labels;           /* set of them */
  int index;                 /* of permits; never reused */
  bool listed;               /* discovery shows it */
  bool in_list;              /* in the list under way */
  int64_t unlisted_since_ms; /* since then it does not */
  bool answered;             /* has answered this leader */
  bool reconciled;  /* surely runs nothing that this leader doesn't know */
  bool unreachable; /* its last question failed */
  bool recorded;    /* in the recorded roster */
  bool writing;     /* in the roster of the write in flight */
  struct startq runs;
  struct job_need used;
  struct job_need reserved; /* in the pass under way, to work that goes
                               first and waits for advice */
  bool eligible;            /* may be given tasks, in the pass under way */
  int n_orphans;            /* runs that it lists and nobody wants */
  int64_t boot_start_ms;
  int64_t clock_ms;          /* its clock ... */
  int64_t last_contact_ms;   /* ... at this local time */
  int64_t lease_deadline_ms; /* longest lease given, on its clock */
  int64_t seen_end_seq;      /* ends up to here are taken in */
  int64_t writing_end_seq;   /* ... will be recorded by the write in flight */
  int64_t recorded_end_seq;  /* ... are recorded */
  uint64_t poll_id;          /* outstanding question */
  int64_t poll_sent_ms;      /* sent then */
  int64_t next_orphan_stop_ms; /* strays are stopped again not before */
  int64_t next_poll_ms;
  int64_t unreachable_since_ms; /* silent since then */
  int failures_in_row;          /* failures in a row */
  int64_t quarantine_until_ms;
  int64_t quarantine_ms; /* length of the last pause */
};
TAILQ_HEAD (execq, exec);
RB_HEAD (exec_tree, exec);

/** struct fsched_intern_table - names that are compared often, by their
   numbers from 1; 0 is the empty name */
struct fsched_intern_table
{
  char (*list)[CLB_NAME_MAX];
  int n;
};

/** struct pending_order - an order whose result has not come */
struct pending_order
{
  RB_ENTRY (pending_order) by_id;
  uint64_t id;
  int kind;              /* enum order_kind */
  struct start *run;     /* of a start or stop; NULL once that is gone */
  struct exec *exec;     /* of a hold */
  char job[JOB_ID_SIZE]; /* of a question for advice */
  int step;
  int adviser;
  int64_t sent_ms;
  int64_t deadline_ms; /* of a question: then it is given up */
  size_t n_execs;
};
RB_HEAD (pending_order_tree, pending_order);

/** struct adviser - an instance that asks for advice on the leader's behalf */
struct adviser
{
  char id[CLB_ID_MAX]; /* empty: this instance */
  char addr[CLB_ADDR_MAX];
  int64_t last_contact_ms;
  int64_t table_contact_ms; /* it reached the table then */
  int64_t avoid_until_ms;   /* a question that it had got lost */
  int64_t busy_until_ms;    /* expected end of the questions it has */
  int n_queries;
  int64_t millicores;
};

struct fsched_tenant
{
  char name[CLB_NAME_MAX];
  struct job_need used;
  double share_credit; /* jobs that may still come now without being excess */
  int64_t credited_ms;
  TAILQ_ENTRY (fsched_tenant) link;
};
TAILQ_HEAD (fsched_tenantq, fsched_tenant);

/** struct fsched_queue - what is learned of a queue's work */
struct fsched_queue
{
  TAILQ_ENTRY (fsched_queue) link;
  char name[CLB_NAME_MAX];
  double permitted_share; /* of the executors asked about, those permitted */
};
TAILQ_HEAD (fsched_queueq, fsched_queue);

/** struct ended_job - a job that ended in this leader's term */
struct ended_job
{
  RB_ENTRY (ended_job) by_id;
  char id[JOB_ID_SIZE];
  int state;
  bool trim_due; /* its specification still lies in the table */
};
RB_HEAD (ended_job_tree, ended_job);

/** struct early_progress - read before its job */
struct early_progress
{
  RB_ENTRY (early_progress) by_id;
  char id[JOB_ID_SIZE];
  struct job_progress progress;
};
RB_HEAD (early_tree, early_progress);

/** struct fsched_stats - counters since the process began */
struct fsched_stats
{
  uint64_t passes; /* of placing */
  uint64_t starts;
  uint64_t ends[RUN_END_N];
  uint64_t refusals[REFUSED_N];
  uint64_t outcomes[ORDER_OUTCOME_N];
  uint64_t queries;
  uint64_t queries_failed;
  uint64_t jobs_added;
  uint64_t jobs_ended[JOB_STATE_N];
  uint64_t stops;
  uint64_t runs_lapsed;
  uint64_t quarantines;
  struct hist order_ms[ORDER_KIND_N]; /* from an order to its result */
  struct hist first_start_ms; /* from a job's arrival to its first start */
  struct hist job_ms[JOB_STATE_N]; /* from its arrival to its end */
};

TAILQ_HEAD (intentq, intent);

/** struct intents - starts on record, see fsched_intent.c */
struct intents
{
  struct intentq rows[INTENT_ROWS]; /* by the row that they lie in */
  struct intentq waiting;           /* for the next write */
  struct intentq writing;           /* in the write in flight */
  int next_row;                     /* row to be written next */
  int writing_row;
  uint64_t n_ends; /* of starts on record so far */
  uint64_t writing_ends;
  uint64_t recorded_ends; /* what they changed is on record */
};

struct fsched
{
  int64_t now_ms;
  struct outq *out;
  uint64_t *tokens;
  int64_t epoch;
  struct fsched_stats *stats; /* outlives the cell */
  const struct fconf *conf;   /* borrowed */
  struct job_tree jobs;
  struct jobq queue; /* in order of arrival */
  int n_jobs;
  struct execq execs;
  struct exec_tree execs_by_id;
  struct exec *
      *eligible; /* those that may be given tasks, in the pass under way */
  int n_eligible;
  struct fsched_intern_table services;
  struct fsched_intern_table racks;
  struct fsched_intern_table labels;
  int n_execs;
  struct fsched_tenantq tenants;
  struct ended_job_tree ended_jobs;
  struct pending_order_tree orders;
  struct early_tree early_progress;
  int64_t next_query_sweep_ms; /* of questions that were not answered */
  struct adviser advisers[FSCHED_ADVISERS_MAX];
  int n_advisers;
  struct fsched_queueq queues;
  bool fenced;     /* an executor has seen a higher term */
  bool loaded;     /* loaded: orders may be given */
  bool reconciled; /* nothing runs that this leader does not know of */
  int64_t claimed_ms;
  int64_t old_leases_end_ms; /* from then on silent executors run nothing
                                unknown */
  bool may_order;
  bool pass_due;
  int64_t next_pass_ms;
  int64_t retry_pass_ms; /* some work could not be placed: look again; 0 */
  bool record_due;       /* something must be recorded */
  bool intents_due;      /* starts wait for their record */
  struct intents intents;
  bool roster_dirty;
  bool roster_writing;
  int queries_left;        /* that the pass under way may still ask */
  bool short_adviser_free; /* in the pass under way, an adviser is free for ...
                            */
  bool long_adviser_free;
  int64_t next_exec_sweep_ms;
  int64_t next_trim_ms;
  struct job **ready_jobs; /* scratch of a placing pass */
  int ready_jobs_cap;
};

RB_PROTOTYPE (job_tree, job, by_id, job_cmp)
RB_PROTOTYPE (exec_tree, exec, by_id, exec_cmp)
RB_PROTOTYPE (pending_order_tree, pending_order, by_id, pending_order_cmp)
RB_PROTOTYPE (early_tree, early_progress, by_id, early_cmp)
RB_PROTOTYPE (ended_job_tree, ended_job, by_id, ended_job_cmp)
int job_cmp (const struct job *a, const struct job *b);
int exec_cmp (const struct exec *a, const struct exec *b);
int pending_order_cmp (const struct pending_order *a,
                       const struct pending_order *b);
int early_cmp (const struct early_progress *a, const struct early_progress *b);
int ended_job_cmp (const struct ended_job *a, const struct ended_job *b);

/**
 * fsched_new() - A scheduler for the leader of term @epoch.
 * @wait_ms: how long after the claim an executor that nobody hears
 * may still be running what an earlier leader started
 */
struct fsched *fsched_new (struct outq *out, uint64_t *tokens, int64_t now_ms,
                           int64_t epoch, int64_t wait_ms,
                           struct fsched_stats *stats);
void fsched_free (struct fsched *c);

void fsched_set_conf (struct fsched *c, const struct fconf *conf);

/* While loading: roster, starts and progress, then jobs; then
 * fsched_load_done(). */

/**
 * fsched_add_job() - A job from its record.
 * @spec: taken over
 * @old: an earlier leader may have started it
 */
void fsched_add_job (struct fsched *c, struct job_spec *spec, bool old,
                     int64_t age_ms);
/**
 * fsched_load_progress() - What was recorded of a job, before the job itself.
 * @p: taken over
 */
void fsched_load_progress (struct fsched *c, const char *id,
                           struct job_progress *p);
/**
 * fsched_load_intents() - A row of starts on record, before the jobs.
 * @key: its number
 *
 * Return: lines that make no sense.
 */
int fsched_load_intents (struct fsched *c, const char *key, const char *text);
/** fsched_load_roster() - Executors that an earlier leader may have used. */
void fsched_load_roster (struct fsched *c, const char *text);
void fsched_load_done (struct fsched *c);

/* Events. */
void fsched_cancel (struct fsched *c, const char *id);
void fsched_exec_report (struct fsched *c, const struct exec_report *rep);
void fsched_exec_unlisted (struct fsched *c, const char *id);
/** fsched_exec_list() - Begin or end of a whole list of executors. */
void fsched_exec_list (struct fsched *c, bool begins);
/** fsched_adviser_seen() - An instance that may ask for advice was heard. */
void fsched_adviser_seen (struct fsched *c, const char *id, const char *addr,
                          int64_t millicores, int64_t fresh_ms);
/** fsched_adviser_freshest() - The one that has reached the table last, or
 * NULL. */
const struct adviser *fsched_adviser_freshest (const struct fsched *c);
/** fsched_adviser_rank() - How many others have more of a core. */
int fsched_adviser_rank (const struct fsched *c, const char *id);
void fsched_order_result (struct fsched *c, int64_t now_ms, uint64_t order,
                          const struct order_result *res);
void fsched_tick (struct fsched *c, int64_t now_ms, bool may_order);

/**
 * fsched_collect() - Add what must be recorded to a write, see record_due.
 *
 * Return: how many puts were added; fsched_recorded() follows once they are
 * durable.
 */
int fsched_collect (struct fsched *c, struct store_op *op, int most);
void fsched_recorded (struct fsched *c);

/** fsched_job_part() - Part of the table of jobs that @id lies in. */
int fsched_job_part (const char *id);
/** fsched_job_state() - enum job_state, or -1 for a job that is not in hand.
 */
int fsched_job_state (const struct fsched *c, const char *id);
/** fsched_jobs_waiting() - Jobs of a queue none of whose tasks has started. */
int64_t fsched_jobs_waiting (const struct fsched *c, const char *queue);

#endif
