/**
 * DOC: Scheduler of the whole fleet's jobs.  It exists only while its instance
 * is the leader.
 *
 * Every start of a task is recorded in the table service before it is sent to
 * an executor, see fsched_intent.c.  An executor runs a task only while it
 * holds a lease for it, refuses orders with a lower fencing token than the
 * highest it has seen, and keeps each ended run in its list until the leader
 * acknowledges that the end is recorded.  A new leader therefore learns from
 * the executors what is running, and from the records what may be running on
 * executors that do not answer.  It starts these tasks again only once their
 * leases have certainly expired; all other tasks it schedules at once.
 *
 * The module does no input or output.  Its caller passes in results and the
 * present time, sends the orders and log lines that the module appends to the
 * output queue, and collects the rows to record with fsched_collect().  Times
 * are milliseconds of a clock that keeps running while the machine is
 * suspended.
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
  /* Length of a lease; executors grant no longer one. */
  FSCHED_LEASE_MS = 6000,
  /* An executor without news may delay its answer to a poll this long, so an
     idle executor is polled once a second. */
  FSCHED_POLL_WAIT_MS = 1000,
  /* Pause between polls, so that ends within it are fetched together. */
  FSCHED_POLL_GAP_MS = 15,
  /* Pause before the next poll after one that failed. */
  FSCHED_POLL_RETRY_MS = 150,
  /* Timeout of a start or stop; links and executors take some ms. */
  FSCHED_CALL_TIMEOUT_MS = 500,
  /* Times that a start is sent; it is idempotent by its run id. */
  FSCHED_START_TRIES = 2,
  /* Timeout of a poll beyond the delay that it permits. */
  FSCHED_POLL_SLACK_MS = 900,
  /* Pause between stop orders for the same run, or for the same executor's
     orphans. */
  FSCHED_STOP_RETRY_MS = 300,
  /* Delay of timers and links, allowed for when a lease is judged expired. */
  FSCHED_CLOCK_MARGIN_MS = 150,
  /* Ticket lifetime that must be left when a start is sent: a start travels
     this long at most. */
  FSCHED_TICKET_MARGIN_MS = 120,
  /* Instances that can be used for advice queries. */
  FSCHED_ADVISERS_MAX = 64,
  /* Advice queries of one placing pass.  Passes over many jobs are rare; the
     limit leaves the leader time for starts, ends and its lease while there is
     a backlog. */
  FSCHED_PASS_QUERIES = 12,
  /* Consecutive failed runs after which an executor is quarantined. */
  FSCHED_QUARANTINE_FAILURES = 3,
  /* An executor that discovery dropped is still used for this long: entries
     that the platform loses in an outage return within 2 s. */
  FSCHED_UNLISTED_GRACE_MS = 2500,
  /* Interval between checks of all executors. */
  FSCHED_EXEC_SWEEP_MS = 4,
  /* Parts of the table of jobs; each part takes 300 writes/s. */
  FSCHED_JOB_PARTS = 8,
  /* Interval between removals of ended jobs' specifications. */
  FSCHED_TRIM_MS = 2500,
  /* Rows of one such write. */
  FSCHED_TRIM_ROWS = 90,
  /* First quarantine of an executor; each further one lasts twice as long. */
  FSCHED_QUARANTINE_MS = 4000,
  /* Rows of the ring of intents: enough for 10 s at 25 writes/s. */
  INTENT_ROWS = 256,
};

/* Prefix of the keys of jobs' progress rows. */
#define FSCHED_KEY_PROGRESS "prog:" LEADER_PART "/"
/* Prefix of the keys of intent rows. */
#define FSCHED_KEY_INTENTS "plan:" LEADER_PART "/"

/* Value of an ended job's row once its specification has been removed. */
#define FSCHED_TRIMMED "{}"

struct fsched;
struct exec;
struct jstep;
struct intent;

enum start_state
{
  START_INTENT,      /* the intent is not durable yet; nothing was sent */
  START_DROPPED,     /* as START_INTENT, but the start will not be sent */
  START_SENT,        /* sent, not answered yet */
  START_ACKED,       /* acknowledged, or listed by its executor */
  START_UNCONFIRMED, /* the answer was lost; the task may be running */
  START_STOPPING,    /* stop orders are sent until the run has ended */
};

/** struct start - one start of a task on one executor, until its run ends */
struct start
{
  TAILQ_ENTRY (start) exec_link;
  struct job *job;
  struct exec *exec;
  int step;
  int index; /* of the task in its step */
  int state; /* enum start_state */
  int64_t run_id;
  int64_t sent_ms; /* when the start was created, then when it was sent */
  /* When the start was acknowledged or first listed; 0: not yet. */
  int64_t start_acked_ms;
  int64_t answer_lost_ms; /* when the start's answer was lost; 0: never */
  /* When a stop was acknowledged; 0: not yet.  The run has ended once a list
     that was requested later lacks it. */
  int64_t stop_acked_ms;
  int64_t percent;            /* progress that the executor reported */
  int64_t percent_changed_ms; /* when the percentage last changed */
  int64_t next_stop_ms;       /* earliest time of the next stop order */
  uint64_t order_id; /* id of the outstanding start or stop order; 0: none */
  int tries;         /* start orders sent */
  bool in_list;      /* in the executor's list that is being processed */
  /* An earlier leader started the run, and its executor has not answered this
     leader yet. */
  bool inherited;
  struct intent *intent; /* the start's record; NULL: none */
  /* Name of the latest checkpoint that the executor reported, or empty. */
  char checkpoint[JOB_CHECKPOINT_SIZE];
};
TAILQ_HEAD (startq, start);

/** struct jtask - a task of a job in memory */
struct jtask
{
  struct start *run; /* the task's current start; NULL: none */
  char *checkpoint;  /* name of the latest checkpoint, owned, or NULL */
  /* Runs that have failed, owned.  A gang's are kept at its first task. */
  struct job_run *failed_runs;
  int32_t n_failed;
  int32_t next_run_id; /* run id of the next start */
  /* Highest run id among the intents of earlier leaders; 0: none. */
  int32_t last_run_id;
  bool done;
};

enum permit_state
{
  PERMIT_UNKNOWN, /* no query has named the executor, or the last one failed */
  PERMIT_QUERIED, /* the outstanding query names the executor */
  PERMIT_ALLOWED, /* the step may run there, with a valid ticket */
  PERMIT_DENIED,  /* the step may not run there */
};

/** struct permit - whether a step may run on one executor */
struct permit
{
  int state;              /* enum permit_state */
  int64_t valid_until_ms; /* when the ticket expires */
  int64_t boot_start_ms;  /* boot of the executor that the permit is for */
  char *ticket;           /* owned, or NULL */
};

/** struct jstep - a step of a job in memory */
struct jstep
{
  struct jtask *tasks;
  int n_tasks;
  int n_done;
  int n_running; /* tasks that have a start, sent or not */
  bool ready;    /* all steps that this one depends on are done */
  int64_t ready_ms;
  struct permit *permits; /* indexed by exec::index, grown on demand */
  int n_permits;
  int label;                /* interned id of the required label; 0: none */
  int data_rack;            /* interned id of the rack of the input; 0: none */
  uint64_t query_id;        /* id of the outstanding advice query; 0: none */
  int64_t tickets_until_ms; /* expiry of the ticket that is valid longest */
  int64_t next_query_ms;    /* earliest time of the next query */
  /* Queries answered since a task of the step was last started. */
  int n_queries;
};

/** struct job - a job whose end is not recorded, or that still has runs */
struct job
{
  RB_ENTRY (job) by_id;
  TAILQ_ENTRY (job) link;
  struct job_spec spec;
  int service; /* interned id of the service whose executors run the job */
  struct jstep *steps;
  int state;          /* enum job_state */
  int n_runs;         /* current starts of the job's tasks, sent or not */
  int n_steps_left;   /* steps that are not done */
  int64_t arrival_ms; /* when the job was accepted, on the local clock */
  int64_t due_ms;     /* when the job's latency objective ends */
  int64_t critical_path_ms; /* see job_critical_path_ms() */
  /* Class in the current placing pass; 0 goes first.  See fsched_place.c. */
  int urgency_class;
  /* The job was loaded when the term began, so an earlier leader may have
     started tasks of it. */
  bool inherited;
  bool over_share;   /* the job exceeds the share of its client account */
  bool task_started; /* a task has been started, by any leader */
  bool start_sent;   /* this leader has sent a start of a task */
  bool dirty;        /* the progress must be recorded */
  bool writing;      /* the progress is in the outstanding write */
  bool recorded;     /* the final state is durable */
};
RB_HEAD (job_tree, job);
TAILQ_HEAD (jobq, job);

/** struct exec - a service executor */
struct exec
{
  TAILQ_ENTRY (exec) link;
  RB_ENTRY (exec) by_id;
  struct exec_report rep;
  int service;     /* interned id of the executor's service */
  int rack;        /* interned id of the rack; 0: none reported */
  uint64_t labels; /* bit set of the interned ids of the labels */
  int index;       /* into jstep::permits; never reused */
  bool listed;     /* discovery lists the executor */
  bool in_list;    /* in the discovery list that is being processed */
  /* When discovery last dropped the executor; 0: never. */
  int64_t unlisted_since_ms;
  bool answered;   /* the executor has answered a poll of this leader */
  bool reconciled; /* this leader knows all runs on the executor */
  /* An order or poll has failed, and no poll has succeeded since. */
  bool unreachable;
  bool recorded;        /* the recorded roster contains the executor */
  bool writing;         /* the roster in the outstanding write contains it */
  struct startq runs;   /* starts on the executor, sent or not */
  struct job_need used; /* capacity that the starts in runs take */
  /* Capacity kept free in the current placing pass for more urgent work that
     waits for advice. */
  struct job_need reserved;
  bool eligible; /* the current placing pass may give tasks to the executor */
  /* Orphans: runs in the executor's last list that no job wants. */
  int n_orphans;
  int64_t boot_start_ms;   /* start of the executor's boot; 0: unknown */
  int64_t clock_ms;        /* the executor's clock in its last answer */
  int64_t last_contact_ms; /* local time of the last answer */
  /* Latest end of a lease given, on the executor's clock. */
  int64_t lease_deadline_ms;
  /* Ends of runs up to this number have been processed. */
  int64_t seen_end_seq;
  /* Ends of runs up to this number are in the outstanding write. */
  int64_t writing_end_seq;
  /* Ends of runs up to this number are recorded. */
  int64_t recorded_end_seq;
  uint64_t poll_id;     /* id of the outstanding poll; 0: none */
  int64_t poll_sent_ms; /* when the last poll was sent */
  /* Earliest time of the next stop orders for orphans. */
  int64_t next_orphan_stop_ms;
  int64_t next_poll_ms;
  int64_t unreachable_since_ms; /* when the executor became unreachable */
  /* Failed runs and starts answered as busy since the last run that succeeded.
     A quarantine leaves one less than FSCHED_QUARANTINE_FAILURES. */
  int failures_in_row;
  int64_t quarantine_until_ms;
  int64_t quarantine_ms; /* length of the last quarantine; 0: there was none */
};
TAILQ_HEAD (execq, exec);
RB_HEAD (exec_tree, exec);

/**
 * struct fsched_intern_table - numbers for names, so that they compare fast
 *
 * The id of a name is its place in the list, from 1 on; 0 is the empty name.
 */
struct fsched_intern_table
{
  char (*list)[CLB_NAME_MAX];
  int n;
};

/** struct pending_order - an order whose result has not arrived */
struct pending_order
{
  RB_ENTRY (pending_order) by_id;
  uint64_t id;           /* as in struct order */
  int kind;              /* enum order_kind */
  struct start *run;     /* of a start or stop; NULL once that has ended */
  struct exec *exec;     /* of a poll */
  char job[JOB_ID_SIZE]; /* of an advice query */
  int step;              /* of an advice query */
  int adviser;           /* of an advice query: index into fsched::advisers */
  int64_t sent_ms;
  int64_t deadline_ms; /* when an advice query counts as lost */
  size_t n_execs;      /* executors named in an advice query */
};
RB_HEAD (pending_order_tree, pending_order);

/** struct adviser - an instance that puts the leader's advice queries */
struct adviser
{
  char id[CLB_ID_MAX];     /* empty: this instance */
  char addr[CLB_ADDR_MAX]; /* empty: this instance */
  int64_t last_contact_ms; /* when the instance's last message arrived */
  /* When the instance last reached the table service. */
  int64_t table_contact_ms;
  int64_t avoid_until_ms; /* no queries before then, as one failed */
  int64_t busy_until_ms;  /* expected end of the outstanding queries */
  int n_queries;          /* outstanding queries */
  int64_t millicores;     /* the instance's share of a core */
};

/** struct fsched_tenant - a client account's use and share */
struct fsched_tenant
{
  char name[CLB_NAME_MAX];
  struct job_need used; /* by the account's starts, sent or not */
  /* Jobs that may arrive now without exceeding the account's share. */
  double share_credit;
  int64_t credited_ms; /* when the credit was last brought up to date */
  TAILQ_ENTRY (fsched_tenant) link;
};
TAILQ_HEAD (fsched_tenantq, fsched_tenant);

/** struct fsched_queue - what advice has shown of a queue's jobs */
struct fsched_queue
{
  TAILQ_ENTRY (fsched_queue) link;
  char name[CLB_NAME_MAX];
  /* Moving average of the fraction of queried executors that are permitted. */
  double permitted_share;
};
TAILQ_HEAD (fsched_queueq, fsched_queue);

/** struct final - a job that ended in this leader's term */
struct ended_job
{
  RB_ENTRY (ended_job) by_id;
  char id[JOB_ID_SIZE];
  int state;     /* enum job_state */
  bool trim_due; /* the specification must still be removed from the job's row
                  */
};
RB_HEAD (ended_job_tree, ended_job);

/** struct early_progress - a job's recorded progress, loaded before the job */
struct early_progress
{
  RB_ENTRY (early_progress) by_id;
  char id[JOB_ID_SIZE];
  struct job_progress progress;
};
RB_HEAD (early_tree, early_progress);

/** struct fsched_stats - counters since the process started */
struct fsched_stats
{
  uint64_t passes; /* placing passes */
  uint64_t starts; /* starts sent, each counted once however often tried */
  uint64_t ends[RUN_END_N];
  uint64_t refusals[REFUSED_N];
  uint64_t outcomes[ORDER_OUTCOME_N];
  uint64_t queries; /* advice queries sent */
  uint64_t queries_failed;
  uint64_t jobs_added;
  uint64_t jobs_ended[JOB_STATE_N];
  uint64_t stops;       /* stop orders sent */
  uint64_t runs_lapsed; /* runs ended because their lease expired */
  uint64_t quarantines; /* quarantines of executors */
  struct hist order_ms[ORDER_KIND_N]; /* from an order to its result */
  struct hist first_start_ms; /* from a job's arrival to its first start */
  struct hist job_ms[JOB_STATE_N]; /* from a job's arrival to its end */
};

TAILQ_HEAD (intentq, intent);

/** struct intents - intents of starts, see fsched_intent.c */
struct intents
{
  struct intentq rows[INTENT_ROWS]; /* by the row that holds them */
  struct intentq waiting;           /* for the next write */
  struct intentq writing;           /* in the outstanding write */
  int next_row;                     /* the row that is written next */
  int writing_row;                  /* the row that was written last */
  /* Starts with an intent that have ended in this term.  The count is also the
     number of the last of these ends. */
  uint64_t n_ends;
  uint64_t writing_ends; /* n_ends when the outstanding write was collected */
  /* All progress changed by ends up to this number is recorded. */
  uint64_t recorded_ends;
};

/** struct fsched - the scheduler, for one term of its instance as leader */
struct fsched
{
  int64_t now_ms;
  struct outq *out;           /* borrowed; for orders, writes and log lines */
  uint64_t *tokens;           /* borrowed; last id given to a call or order */
  int64_t epoch;              /* of this term; fencing token of its orders */
  struct fsched_stats *stats; /* borrowed; outlives the scheduler */
  const struct fconf *conf;   /* borrowed; NULL: not known yet */
  struct job_tree jobs;
  struct jobq queue; /* in order of arrival */
  int n_jobs;
  struct execq execs;
  struct exec_tree execs_by_id;
  /* Executors that may be given tasks in the current placing pass. */
  struct exec **eligible;
  int n_eligible;
  struct fsched_intern_table services;
  struct fsched_intern_table racks;
  struct fsched_intern_table labels;
  int n_execs;
  struct fsched_tenantq tenants;
  struct ended_job_tree ended_jobs;
  struct pending_order_tree orders;
  struct early_tree early_progress;
  int64_t next_query_sweep_ms; /* time of the next search for lost queries */
  struct adviser advisers[FSCHED_ADVISERS_MAX];
  int n_advisers;
  struct fsched_queueq queues;
  bool fenced;        /* an executor has seen a higher fencing token */
  bool loaded;        /* the records are loaded; orders may be given */
  bool reconciled;    /* this leader knows all runs on all executors */
  int64_t claimed_ms; /* when the term began */
  /* All leases that earlier leaders gave have expired by this time. */
  int64_t old_leases_end_ms;
  bool may_order; /* orders may be given: the leadership is recent enough */
  bool pass_due;  /* a placing pass is due */
  int64_t next_pass_ms;  /* earliest time of the next pass */
  int64_t retry_pass_ms; /* time of a pass even if nothing changes; 0: none */
  bool record_due;       /* progress or the roster must be recorded */
  bool intents_due;      /* intents must be recorded */
  struct intents intents;
  bool roster_dirty;   /* the roster must be recorded */
  bool roster_writing; /* the roster is in the outstanding write */
  int queries_left; /* advice queries that the current pass may still send */
  bool short_adviser_free;    /* an instance is free for a short query */
  bool long_adviser_free;     /* an instance is free for a long query */
  int64_t next_exec_sweep_ms; /* time of the next check of all executors */
  int64_t next_trim_ms;
  struct job **ready_jobs; /* scratch array of a placing pass, owned */
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
 * fsched_new() - Create the scheduler for a term as leader.
 * @out: queue for orders, writes and log lines; borrowed
 * @tokens: last id given to a call; borrowed
 * @now_ms: time of the claim
 * @epoch: epoch of the term
 * @wait_ms: how long after the claim an executor that does not answer may
 *           still run what an earlier leader started
 * @stats: borrowed
 *
 * Return: a scheduler that the caller frees with fsched_free().
 */
struct fsched *fsched_new (struct outq *out, uint64_t *tokens, int64_t now_ms,
                           int64_t epoch, int64_t wait_ms,
                           struct fsched_stats *stats);
/** fsched_free() - Free the scheduler; @fs may be NULL. */
void fsched_free (struct fsched *fs);

/**
 * fsched_set_conf() - Use another configuration from now on.
 * @conf: borrowed, until another one is set
 */
void fsched_set_conf (struct fsched *fs, const struct fconf *conf);

/* Loading.  The order is: roster, intents and progress, then the jobs, then
   fsched_load_done(). */

/**
 * fsched_add_job() - Add a job from its record, unless it is known.
 * @spec: taken over
 * @inherited: an earlier leader may have started tasks of the job
 * @age_ms: time since the job was accepted
 */
void fsched_add_job (struct fsched *fs, struct job_spec *spec, bool inherited,
                     int64_t age_ms);
/**
 * fsched_load_progress() - Load a job's recorded progress, before the job.
 * @id: the job's id
 * @p: taken over
 */
void fsched_load_progress (struct fsched *fs, const char *id,
                           struct job_progress *p);
/**
 * fsched_load_intents() - Load a row of intents, before the jobs.
 * @key: number of the row, in decimal
 * @text: value of the row
 *
 * Return: number of lines that could not be read.
 */
int fsched_load_intents (struct fsched *fs, const char *key, const char *text);
/**
 * fsched_load_roster() - Load the executors that earlier leaders may have
 * used.
 * @text: value of the row
 */
void fsched_load_roster (struct fsched *fs, const char *text);
/** fsched_load_done() - Start to schedule. */
void fsched_load_done (struct fsched *fs);

/* Events. */

/** fsched_cancel() - Cancel job @id, unless it is unknown or has ended. */
void fsched_cancel (struct fsched *fs, const char *id);
/** fsched_exec_report() - Discovery has listed an executor or updated it. */
void fsched_exec_report (struct fsched *fs, const struct exec_report *rep);
/** fsched_exec_unlisted() - Discovery no longer lists executor @id. */
void fsched_exec_unlisted (struct fsched *fs, const char *id);
/**
 * fsched_exec_list() - A whole list of executors begins or ends.
 * @begins: true at the begin; at the end, executors that have not been
 *          reported since the begin are no longer listed
 */
void fsched_exec_list (struct fsched *fs, bool begins);
/**
 * fsched_adviser_seen() - An instance that can put advice queries is
 * reachable.
 * @id: empty for this instance
 * @addr: empty for this instance
 * @millicores: the instance's share of a core
 * @table_contact_ms: when the instance last reached the table service
 */
void fsched_adviser_seen (struct fsched *fs, const char *id, const char *addr,
                          int64_t millicores, int64_t table_contact_ms);
/**
 * fsched_adviser_freshest() - The other instance that was last to reach the
 * table service.
 *
 * Return: borrowed; NULL if no other instance is known.
 */
const struct adviser *fsched_adviser_freshest (const struct fsched *fs);
/**
 * fsched_adviser_rank() - Count the other reachable instances that have a
 * larger share of a core than instance @id, or the same and are known longer.
 *
 * Return: the count; 0 if @id is unknown.
 */
int fsched_adviser_rank (const struct fsched *fs, const char *id);
/**
 * fsched_order_result() - Process the result of an order.
 * @order: id of the order; an unknown one is ignored
 * @res: borrowed
 */
void fsched_order_result (struct fsched *fs, int64_t now_ms, uint64_t order,
                          const struct order_result *res);
/**
 * fsched_tick() - Do what is due.
 * @may_order: whether orders may be given to executors
 */
void fsched_tick (struct fsched *fs, int64_t now_ms, bool may_order);

/**
 * fsched_collect() - Add the rows that must be recorded to a write.
 * @op: the write
 * @max_rows: rows after which progress is left for the next write
 *
 * Call fsched_recorded() once the write is durable.
 *
 * Return: number of rows added.
 */
int fsched_collect (struct fsched *fs, struct store_op *op, int max_rows);
/** fsched_recorded() - The rows that were collected last are durable. */
void fsched_recorded (struct fsched *fs);

/** fsched_job_part() - The part of the table of jobs that holds job @id. */
int fsched_job_part (const char *id);
/** fsched_job_state() - enum job_state of job @id, or -1 if it is unknown. */
int fsched_job_state (const struct fsched *fs, const char *id);
/** fsched_jobs_waiting() - Count jobs of a queue with no task started yet. */
int64_t fsched_jobs_waiting (const struct fsched *fs, const char *queue);

#endif
