/**
 * DOC: Scheduler of the whole fleet's jobs.  A scheduler exists only while its
 * instance is the leader.
 *
 * Every start of a task is recorded in the table service before it is sent to
 * an executor, see fsched_intent.c.  An executor runs a task only while it
 * holds a lease for it, refuses orders with a lower fencing token than the
 * highest it has seen, and keeps each ended run in its list until the leader
 * acknowledges that the end is recorded.  A new leader therefore learns from
 * the executors what is running, and from the records what may be running on
 * executors that do not answer.  It starts the tasks in these records again
 * only once their leases have certainly expired, and schedules all other tasks
 * at once.
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

#include "fsched_lanes.h"
#include "estim.h"
#include "evac.h"
#include "fconf.h"
#include "fsched_stats.h"
#include "leader.h"
#include "msg.h"
#include "order.h"

enum
{
  /* Length of the leases that the leader gives. */
  FSCHED_LEASE_MS = 6000,
  /* An executor with no ended run to report may delay its answer to a poll by
     this long, so an idle executor is polled once a second. */
  FSCHED_POLL_WAIT_MS = 1000,
  /* Pause between polls of an executor, so that one poll returns all runs that
     ended in the pause. */
  FSCHED_POLL_GAP_MS = 15,
  /* Pause before an executor is polled again after a poll of it failed. */
  FSCHED_POLL_RETRY_MS = 150,
  /* Timeout of a start or stop order, in addition to the time that the
     executor's answers are known to take (exec::answer_ms). */
  FSCHED_CALL_TIMEOUT_MS = 500,
  /* Maximum number of times that a start order is sent while its answers are
     lost, and that of a member of a gang.  The run id makes the order
     idempotent. */
  FSCHED_START_TRIES = 16,
  FSCHED_GANG_TRIES = 2,
  /* Time after which a poll is overdue, in addition to the delay that the poll
     permits and to exec::answer_ms. */
  FSCHED_POLL_SLACK_MS = 900,
  /* Longest time that an answer of an executor is expected to take.  Leases
     would end before they are extended if it were much longer. */
  FSCHED_ANSWER_MAX_MS = 2000,
  /* Pause between stop orders for the same run, or for the same executor's
     orphans. */
  FSCHED_STOP_RETRY_MS = 300,
  /* Allowance for the delay of timers and links when a lease is judged
     expired. */
  FSCHED_CLOCK_MARGIN_MS = 150,
  /* Remaining lifetime that a ticket needs when its start order is sent: the
     order takes at most this long to arrive. */
  FSCHED_TICKET_MARGIN_MS = 120,
  /* Maximum number of advice queries in one placing pass.  The limit leaves
     the leader time to process starts and ends and to renew its lease while
     there is a backlog.  Passes over all jobs are rarer the more jobs wait, so
     they may send as many for each FSCHED_PASS_SHARE_MS since the last one, up
     to FSCHED_PASS_QUERIES_MAX. */
  FSCHED_PASS_QUERIES = 12,
  FSCHED_PASS_SHARE_MS = 10,
  FSCHED_PASS_QUERIES_MAX = 256,
  /* Consecutive failed runs after which an executor is quarantined. */
  FSCHED_QUARANTINE_FAILURES = 3,
  /* An executor that discovery no longer lists is still used for this long:
     entries that the platform loses in an outage return within 2 s. */
  FSCHED_UNLISTED_GRACE_MS = 2500,
  /* Interval between checks of all executors. */
  FSCHED_EXEC_SWEEP_MS = 4,
  /* Number of parts of the table of jobs.  Each part executes one write after
     another: 300 a second, or three while the table service is slow. */
  FSCHED_JOB_PARTS = 64,
  /* Interval between removals of ended jobs' specifications. */
  FSCHED_TRIM_MS = 2500,
  /* Maximum number of specifications removed by one write. */
  FSCHED_TRIM_ROWS = 90,
  /* Number of ended jobs of a part whose specifications are removed by a write
     at once; those of fewer jobs wait for FSCHED_TRIM_WAIT_MS. */
  FSCHED_TRIM_ROWS_MIN = 20,
  FSCHED_TRIM_WAIT_MS = 10000,
  /* Length of an executor's first quarantine.  Each further quarantine lasts
     twice as long as the one before, up to the maximum, until a run succeeds:
     after a fault of many executors, their jobs start again within this
     time. */
  FSCHED_QUARANTINE_MS = 4000,
  FSCHED_QUARANTINE_MAX_MS = 6000,
  /* Number of pending starts at which a placing pass ends.  Further work waits
     in the order of its urgency, not behind the orders that the leader still
     has to send and the answers that it has to process. */
  FSCHED_PENDING_STARTS_MAX = 64,
  /* A start whose order is not sent counts as pending for this long: when the
     table service is slow, one write records many starts. */
  FSCHED_PENDING_UNSENT_MS = 40,
  /* A start whose order is not answered counts as pending for this long, so
     that silent executors do not stop the placing of tasks. */
  FSCHED_PENDING_UNANSWERED_MS = 250,
  /* Number of rows of the roster.  A row holds some 2,000 executors. */
  FSCHED_ROSTER_ROWS = 32,
  /* A job whose rows the table refuses is set aside for this long; then they
     are written again. */
  FSCHED_SET_ASIDE_MS = 10000,
  /* A refused row that is larger than this, in bytes, is taken to exceed the
     largest row. */
  FSCHED_ROW_BYTES_MIN = 1024,
  /* A fencing token is the epoch of the term, shifted by this, and the number
     of times that the leader has raised the executor's token. */
  FSCHED_FENCE_BITS = 28,
  FSCHED_FENCES_MAX = (1 << FSCHED_FENCE_BITS) - 1,
  /* An order without an answer is carried out within this time, or never. */
  FSCHED_ORDER_LATE_MS = 12000,
  /* While ends may not be acknowledged, the executor lists them in each answer
     at once.  It is then polled once in this time. */
  FSCHED_POLL_HELD_MS = 100,
  /* Number of rows in the ring of intents: enough for 10 s at 25 writes/s. */
  INTENT_ROWS = 256,
};

/* Prefix of the keys of jobs' progress rows. */
#define FSCHED_KEY_PROGRESS "prog:" LEADER_PART "/"
/* Prefix of the keys of intent rows. */
#define FSCHED_KEY_INTENTS "plan:" LEADER_PART "/"

/* Prefix of the keys of the roster's rows.  The roster has a table of its own,
   as each follower reads the leader's table again and again. */
#define FSCHED_KEY_ROSTER "rost:" LEADER_PART "/"

/* Value of an ended job's row once its specification has been removed. */
#define FSCHED_TRIMMED "{}"

struct fsched;
struct exec;
struct jstep;
struct intent;

/** enum start_state - state of a start */
enum start_state
{
  START_INTENT,  /* the intent is not durable yet; nothing was sent */
  START_DROPPED, /* as START_INTENT, but the start will be ended unsent */
  START_SENT,    /* the start order is sent, but not answered */
  /* The executor acknowledged the start order, or lists the run. */
  START_ACKED,
  START_UNCONFIRMED, /* the answer was lost; the task may be running */
  START_STOPPING,    /* stop orders are sent until the run has ended */
};

/**
 * enum urgency_class - how urgent a job is in a placing pass; a lower class is
 * placed first
 */
enum urgency_class
{
  URGENCY_ON_TIME, /* the job meets its latency objective if started now */
  /* As URGENCY_ON_TIME, but the job's client account has taken up its share,
     see fsched_share.c. */
  URGENCY_OVER_SHARE,
  URGENCY_LATE, /* the job will miss its latency objective */
  URGENCY_LAST, /* the job will be so late that its result has no value */
  URGENCY_N,
};

/** struct start - one start of a task on one executor, until its run ends */
struct start
{
  TAILQ_ENTRY (start) exec_link;
  struct job *job;
  struct exec *exec;
  int step;       /* index of the step in its job */
  int index;      /* index of the task in its step */
  int state;      /* enum start_state */
  int64_t run_id; /* number of the run among the runs of the task */
  /* Start of the executor's boot that has listed the run or, until then, that
     the task was placed on; 0: unknown. */
  int64_t boot_start_ms;
  /* When the start was sent; until then, when it was created. */
  int64_t sent_ms;
  /* When the start was acknowledged, or the executor first listed the run; 0:
     not yet. */
  int64_t start_acked_ms;
  int64_t answer_lost_ms; /* when an answer to the start was lost; 0: never */
  /* Deadline of the last start order, on the executor's clock; 0: this leader
     has sent none. */
  int64_t deadline_ms;
  /* When the executor acknowledged a stop order; 0: not yet.  The run has
     ended once a list of runs that was requested later does not contain it. */
  int64_t stop_acked_ms;
  int64_t percent; /* progress of the run as the executor reported it */
  int64_t percent_changed_ms; /* when the percentage last changed */
  int64_t next_stop_ms;       /* earliest time of the next stop order */
  int64_t stopping_ms; /* when the run was to be stopped first; 0: not yet */
  int n_stops;         /* number of stop orders sent */
  /* enum order_outcome of the last stop order; -1: none has a result. */
  int stop_outcome;
  uint64_t order_id; /* id of the outstanding start or stop order; 0: none */
  bool unanswered;   /* the start counts in exec::n_unanswered */
  int tries;         /* number of start orders sent */
  /* Number of start orders that were answered, or certainly not sent.  The
     others may still be carried out. */
  int n_settled;
  bool copy_answered; /* an answer has said that the run is there */
  /* The executor has refused a copy after the answer to another one was
     lost. */
  bool refused;
  int64_t last_sent_ms;  /* when the last start order was sent; 0: none was */
  int n_exec_boots;      /* exec::n_boots when the last start order was sent */
  int64_t fencing_token; /* order::fencing_token of the last start order */
  /* Until then, copies of the start order without an answer may be carried
     out, see start_copies_until_ms(). */
  int64_t copies_until_ms;
  /* The executor's list of runs that is being processed contains the run. */
  bool in_list;
  /* An earlier leader started the run, and its executor has not answered this
     leader yet. */
  bool inherited;
  /* When the start was first sent, by the wall clock; 0: this leader has not
     sent it. */
  int64_t sent_wall_ms;
  bool pending;          /* the start counts in fsched::n_pending_starts */
  struct intent *intent; /* the record of the start; NULL: none */
  /* The record of its copies that must be durable before the start order is
     sent again; NULL: none. */
  struct intent *resend;
  /* Checkpoint that the run resumes from, a reference; NULL: none, or the
     start order is not sent again. */
  struct checkpoint *resume;
};
TAILQ_HEAD (startq, start);

/** struct jtask - a task of a job in memory */
struct jtask
{
  struct start *run; /* the task's current start; NULL: none */
  /* Latest checkpoint that could be held, a reference; NULL: none, or the task
     is not started again.  That of a gang is kept at its first task. */
  struct checkpoint *checkpoint;
  int32_t checkpoint_run_id; /* run that has reported it */
  /* Failed runs of the task, owned.  The failed runs of a gang are kept at its
     first task. */
  struct job_run *failed_runs;
  int32_t n_failed; /* number of entries of failed_runs */
  /* Runs of the task under which their executors crashed, owned. */
  struct job_crash *crashes;
  int32_t n_crashes;   /* number of entries of crashes */
  int32_t next_run_id; /* run id of the next start */
  /* Highest run id among the intents of earlier leaders; 0: none. */
  int32_t last_run_id;
  /* As loaded: job_task_progress::stopping_run_id. */
  int64_t stopping_run_id;
  /* Another run of the task that a list has shown, its executor, and the poll
     for that list; NULL: none. */
  struct exec *orphan_exec;
  int64_t orphan_run_id;
  uint64_t orphan_poll_id;
  struct job_end ended; /* the last run that has ended; run id 0: none */
  /* Until then, copies of starts of ended runs may be carried out. */
  int64_t copies_until_ms;
  bool ended_lost;         /* job_task_progress::lost states it */
  bool checkpoint_refused; /* one that could not be held was logged */
  bool done;               /* a run of the task has succeeded */
};

/** enum permit_state - what is known of a permit */
enum permit_state
{
  /* No advice query was sent about the executor, or the query failed. */
  PERMIT_UNKNOWN,
  PERMIT_QUERIED, /* an advice query about the executor is outstanding */
  PERMIT_ALLOWED, /* the step may run on the executor, with a valid ticket */
  PERMIT_DENIED,  /* the step may not run on the executor */
};

/** struct permit - whether a step may run on one executor */
struct permit
{
  int state;              /* enum permit_state */
  int64_t valid_until_ms; /* time at which the ticket expires */
  int64_t lifetime_ms;    /* time from the issue of the ticket to its expiry */
  /* Start of the executor's boot that the permit is for, and that the last
     advice query that named it was about. */
  int64_t boot_start_ms;
  int64_t asked_boot_start_ms;
  char *ticket;      /* owned; NULL: none */
  uint64_t query_id; /* id of the last advice query that named it; 0: none */
  bool asked;        /* this query is outstanding and not overdue */
  /* Number of tasks that the current placing pass reserves room for, if
     jstep::room_reserved is set. */
  int n_reserved;
};

TAILQ_HEAD (askingq, jstep);

/** enum hold_kind - for what a placing pass reserves room for a step */
enum hold_kind
{
  HOLD_NONE,
  HOLD_QUERY,  /* for the answers to its outstanding queries */
  HOLD_ANSWER, /* as before, and the answer is expected to start the gang */
  HOLD_GANG,   /* for a gang that does not fit yet */
};

/** struct jstep - a step of a job in memory */
struct jstep
{
  /* In fsched_queue::asking if the flag is set. */
  TAILQ_ENTRY (jstep) asking_link;
  bool asking;
  struct job *job;
  struct jtask *tasks; /* owned */
  int n_tasks;
  int first_task; /* number of tasks of the steps before this one */
  int n_done;     /* number of tasks that are done */
  /* Number of tasks that are not done and have a start, sent or not. */
  int n_running;
  int n_crashes;          /* sum of jtask::n_crashes */
  bool ready;             /* all steps that this one depends on are done */
  int64_t ready_ms;       /* when the step became ready */
  struct permit *permits; /* indexed by exec::index, grown on demand */
  int n_permits;          /* number of entries of permits */
  /* Longest run of a task of the step that succeeded. */
  int64_t longest_run_ms;
  /* Time that runs of the step's tasks took which failed: of a gang their sum,
     otherwise the longest. */
  int64_t failed_ms;
  bool resumed;      /* a run began at a checkpoint */
  int label_id;      /* interned id of the required label; 0: none */
  int data_rack_id;  /* interned id of the rack of the input; 0: none */
  uint64_t query_id; /* id of the last advice query; 0: none */
  /* Number of outstanding advice queries that are not overdue. */
  int n_asking;
  /* The outstanding queries do not name all executors whose tickets the gang
     needs. */
  bool needs_more_names;
  /* They name enough permitted executors with room for the waiting tasks. */
  bool start_expected;
  int64_t tickets_until_ms; /* expiry of the ticket that is valid longest */
  int64_t next_query_ms;    /* earliest time of the step's next advice query */
  /* Number of advice queries about the step that were answered since a task
     of the step was last started. */
  int n_queries;
  /* In the current placing pass: the step may be asked about; room is reserved
     for it as a gang that does not fit yet. */
  bool query_due;
  bool room_reserved;
  /* Since when reserved room alone has kept the step from being asked about
     again, or a gang from starting; 0: other things do, or nothing. */
  int64_t held_back_ms;
  /* CPU of what has started in room that was reserved for the gang while it
     did not fit, in millicores. */
  int64_t passed_millicores;
  int hold_kind; /* enum hold_kind, while room_reserved is set */
  /* When room was first reserved for it, in passes without a break, and the
     number of the last one. */
  int64_t held_since_ms;
  uint64_t held_pass;
  bool answer_new; /* the last answer was not tried in a placing pass yet */
  /* Number of advice queries that were overdue or failed since the last
     answer. */
  int n_lost;
  /* Number of times that a ticket was refused since a start was accepted, and
     time until which further refusals belong to the last one. */
  int n_tickets_refused;
  int64_t next_refusal_ms;
  /* Number of times that the executors which are denied were forgotten, and
     earliest time of the next; 0: they were never all that are left. */
  int n_rechecks;
  int64_t next_recheck_ms;
  /* When a log line last told why the step waits, and the enum wait_cause in
     it; 0: never. */
  int64_t named_ms;
  int named_cause;
};

/**
 * struct urgency - what the order of jobs in a placing pass depends on, see
 * fsched_urgency.c
 */
struct urgency
{
  int64_t computed_ms; /* when the times below were computed; 0: never */
  /* When the job must have ended to meet its latency objective. */
  int64_t due_ms;
  /* When the job's next steps must start for that. */
  int64_t latest_start_ms;
  /* The job certainly misses its objective unless its next steps start by
     this time. */
  int64_t late_ms;
  /* The job's result has no value unless its next steps start by this
     time. */
  int64_t worthless_ms;
  int class; /* enum urgency_class, in the current placing pass */
};

/**
 * struct progress_row - a row of the table service with progress of a job
 *
 * See fsched_progress.c.
 */
struct progress_row
{
  /* Value of fsched::round when the progress in the row changed; 0: it has not
     changed since it was last collected. */
  uint64_t round;
  bool writing; /* the row is in the outstanding write */
  bool stored;  /* the table has the row */
};

/** struct page_ref - a row with the progress of consecutive tasks of a job */
struct page_ref
{
  int n_tasks; /* number of tasks of each page */
  int number;  /* number of the page, from 0 */
};

/** struct job - a job whose end is not recorded, or that still has runs */
struct job
{
  RB_ENTRY (job) by_id;
  TAILQ_ENTRY (job) link;
  TAILQ_ENTRY (job) ended_link; /* in fsched::ended if the state is final */
  struct job_spec spec;
  int service_id; /* interned id of the service whose executors run the job */
  struct jstep *steps;
  int state;  /* enum job_state */
  int n_runs; /* number of current starts of the job's tasks, sent or not */
  int n_steps_left;   /* number of steps that are not done */
  int64_t arrival_ms; /* when the job was accepted, on the local clock */
  struct fsched_queue *queue_stats; /* statistics of the job's queue */
  struct fsched_tenant *account;    /* the job's client account */
  struct urgency urgency;
  /* The job was loaded when the term began, so an earlier leader may have
     started tasks of it. */
  bool inherited;
  bool task_started; /* a task is known to have begun on an executor */
  /* This leader has sent a start order for a task of the job. */
  bool start_sent;
  /* The row with the job's state, and with the progress of all tasks unless
     the job has pages. */
  struct progress_row head;
  /* The rows with the progress of tasks, owned; NULL: it fits into the head.
   */
  struct progress_row *pages;
  int n_pages;    /* number of entries of pages */
  int page_tasks; /* number of tasks of each page */
  /* Pages in the table that earlier leaders wrote, owned. */
  struct page_ref *old_pages;
  int n_old_pages; /* number of entries of old_pages */
  /* Numbers of the rows that must be recorded, and of those in the outstanding
     write. */
  int n_dirty_rows;
  int n_writing_rows;
  /* The table refuses the job's rows.  No task of the job is started, and ends
     of its runs are not acknowledged. */
  bool set_aside;
  int64_t retry_record_ms; /* when the job is set aside no longer */
  /* The rows hold only the state, as the job was set aside when it ended. */
  bool state_only;
  bool recorded; /* the final state is recorded */
  /* The progress, as written last, says job_progress::runs_left. */
  bool runs_left_written;
};
RB_HEAD (job_tree, job);
TAILQ_HEAD (jobq, job);

/** struct domain_cores - cores of the executors of one failure domain */
struct domain_cores
{
  int64_t used; /* taken by starts, sent or not */
  int64_t held; /* free, but kept for more urgent work and for gangs */
  int64_t free;
  int64_t unusable; /* free, but on executors that may not be given tasks */
};

/**
 * struct domain - answers of the executors of one failure domain, see
 * fsched_domain.c
 */
struct domain
{
  TAILQ_ENTRY (domain) link;
  char name[CLB_NAME_MAX];
  int64_t last_answer_ms; /* when an executor of the domain last answered */
  /* Number of start orders that were sent to executors of the domain since
     the last answer, and the time of the first one. */
  int n_unanswered;
  int64_t first_unanswered_ms;
  bool silent;               /* no tasks are placed in the domain */
  bool evacuated;            /* nothing is started there, see evac.h */
  struct domain_cores cores; /* as of the last domain_count_cores() */
};
TAILQ_HEAD (domainq, domain);

/** struct lost_run - a run that was lost with its executor, or may have been,
 * see fsched_crash.c */
struct lost_run
{
  TAILQ_ENTRY (lost_run) link;
  struct task_ref task;
  int64_t run_id;
  int64_t boot_start_ms; /* as start::boot_start_ms */
  bool unconfirmed;      /* as job_crash::unconfirmed */
  int64_t sent_wall_ms;  /* as start::sent_wall_ms */
};
TAILQ_HEAD (lost_runq, lost_run);

/** struct exec - a service executor */
struct exec
{
  TAILQ_ENTRY (exec) link;
  RB_ENTRY (exec) by_id;
  /* Earliest time at which exec_tick() has something to do; 0: not known.
     Checks of all executors read only this far, and exec_eligible() not much
     further: the fields are in the order of use, as hundreds of executors do
     not stay in the processor's cache. */
  int64_t due_ms;
  struct domain *domain; /* the executor's failure domain */
  int service_id;        /* interned id of the executor's service */
  int rack_id; /* interned id of the executor's rack; 0: none reported */
  /* Bit set of the interned ids of the executor's labels, see LABELS_MAX. */
  uint64_t label_set;
  int index;   /* index of the executor in jstep::permits; never reused */
  bool listed; /* discovery lists the executor */
  /* The discovery list that is being processed contains the executor. */
  bool in_list;
  /* When discovery last ceased to list the executor; 0: never. */
  int64_t unlisted_since_ms;
  bool answered; /* the executor has answered a poll of this leader */
  /* This leader knows all runs on the executor: an answer to a poll that left
     no ends out has listed them, or the leases of earlier leaders have
     expired. */
  bool reconciled;
  /* An order or poll has failed, and no poll has succeeded since. */
  bool unreachable;
  /* The executor has answered a poll since the last sign of a new boot. */
  bool boot_known;
  /* Number of orphans in the executor's last list: runs whose job is unknown,
     or whose task has another run. */
  int n_orphans;
  /* Start of the boot that answered the last poll; 0: not reported. */
  int64_t boot_start_ms;
  int64_t last_contact_ms; /* local time of the last answer */
  /* End of the last quarantine; 0: there was none. */
  int64_t quarantine_until_ms;
  /* Ends of runs up to this sequence number have been processed. */
  int64_t seen_end_seq;
  /* Ends of runs up to this sequence number are recorded. */
  int64_t recorded_end_seq;
  /* The boot has acknowledged that it has forgotten the ends up to this
     sequence number. */
  int64_t forgotten_end_seq;
  /* Since when ends are recorded that the boot has not forgotten. */
  int64_t acks_due_ms;
  int n_unanswered; /* runs in START_SENT with an outstanding start order */
  int roster_row;   /* number of the roster's row for the executor */
  bool recorded;    /* the recorded roster contains the executor */
  /* The roster in the outstanding write contains the executor. */
  bool writing;
  struct startq runs; /* starts on the executor, sent or not */
  /* Runs that lapsed since the executor last answered. */
  struct lost_runq lapsed;
  struct job_need used; /* capacity taken by the starts in runs */
  /* Capacity kept free in the current placing pass for more urgent work that
     waits for advice. */
  struct job_need reserved;
  /* The part of it that is kept free for jobs of higher ranks than that which
     the pass is placing, see place_rank(). */
  struct job_need reserved_above;
  /* The part of it for gangs that do not fit yet, by whether others may still
     pass them over, see room_pass_over(); and the firm part of
     reserved_above. */
  struct job_need reserved_gangs;
  struct job_need reserved_firm;
  struct job_need firm_above;
  /* When the first of the jobs that reserved_firm is for was accepted. */
  int64_t firm_arrival_ms;
  /* The most urgent step that room is reserved for; NULL: there is none. */
  struct jstep *holder;
  bool eligible; /* the current placing pass may give tasks to the executor */
  /* Id of the poll whose lists were processed last; 0: none of this boot. */
  uint64_t list_poll_id;
  size_t n_bad_rows; /* order_result::n_bad_rows of the last poll */
  bool ends_left;    /* order_result::ends_left of the last poll */
  int n_resets;      /* polls since that sign which failed at once */
  int n_boots;       /* boots that this leader has noticed after the first */
  int n_fences; /* times that the token was raised, FSCHED_FENCES_MAX at most
                 */
  /* Number of polls with the present token that acknowledge ends and have no
     answer. */
  int n_acks_out;
  /* Until then, copies of starts that have ended may be carried out. */
  int64_t copies_until_ms;
  /* Start of the last boot that discovery has listed as draining; 0: none. */
  int64_t drained_boot_ms;
  int64_t clock_ms;      /* the executor's clock in its last answer */
  int64_t clock_sent_ms; /* when the order was sent that was answered */
  /* exec::n_boots when the last poll was sent that has been answered: the
     executor refuses orders that are older. */
  int n_boots_polled;
  /* Latest end of the leases given to the executor, on the executor's
     clock. */
  int64_t lease_deadline_ms;
  /* Sequence number of the first end that must not be acknowledged, as it is
     of a job that is set aside; 0: there is none. */
  int64_t held_end_seq;
  /* seen_end_seq when the round began, see fsched::round. */
  int64_t round_end_seq;
  /* The value of recorded_end_seq after the outstanding write. */
  int64_t writing_end_seq;
  uint64_t poll_id; /* id of the poll that is outstanding and not overdue; 0:
                       none */
  uint64_t last_poll_id; /* id of the last poll; 0: none */
  int64_t poll_sent_ms;  /* when the last poll was sent */
  int64_t poll_wait_ms;  /* delay of the answer that the last poll permits */
  bool list_due;         /* a poll without delay is due, see exec_ask_list() */
  bool poll_asked;       /* the last poll was such a one */
  /* Time that the executor's answers take, apart from the delay that a poll
     permits: the longest of the last ones, which decays; at most
     FSCHED_ANSWER_MAX_MS. */
  int64_t answer_ms;
  /* Earliest time of the next stop orders for orphans. */
  int64_t next_orphan_stop_ms;
  int64_t next_poll_ms;         /* earliest time of the next poll */
  int64_t unreachable_since_ms; /* when the executor became unreachable */
  /* Number of failed runs and of starts refused as busy since the last run
     that succeeded.  A quarantine sets it to FSCHED_QUARANTINE_FAILURES - 1,
     so that one more failure leads to the next quarantine. */
  int failures_in_row;
  int64_t quarantine_ms; /* length of the last quarantine; 0: there was none */
  struct exec_report rep; /* the executor's latest entry in discovery */
};
TAILQ_HEAD (execq, exec);
RB_HEAD (exec_tree, exec);

/**
 * struct fsched_intern_table - ids of names, which compare faster than text
 *
 * The id of a name is its index in @list plus 1; the id 0 means the empty
 * name.
 */
struct fsched_intern_table
{
  char (*list)[CLB_NAME_MAX]; /* the names, owned */
  int n;                      /* number of names */
};

/** struct pending_order - an order whose result has not arrived */
struct pending_order
{
  RB_ENTRY (pending_order) by_id;
  uint64_t id; /* id of the order, see order::id */
  int kind;    /* enum order_kind */
  /* Start that a start or stop order is for; NULL once the run has ended. */
  struct start *run;
  struct exec *exec; /* of a poll: the executor that is polled */
  /* Of an order to an executor: the last reading of its clock when the order
     was sent, 0 if there was none of its present boot, when the order was sent
     that it came with, and the exec::n_boots at that time. */
  int64_t exec_clock_ms;
  int64_t exec_clock_sent_ms;
  int n_exec_boots;
  int64_t fencing_token; /* order::fencing_token */
  char job[JOB_ID_SIZE]; /* of an advice query: id of the job */
  int step;              /* of an advice query: index of the step */
  int adviser;           /* of an advice query: index into fsched::advisers */
  int64_t sent_ms;
  int64_t wait_ms; /* of a poll: delay of the answer that it permits */
  int64_t recorded_end_seq; /* of a poll: order::recorded_end_seq */
  /* Of an advice query, see fsched_adviser.c. */
  struct fsched_queue *queue; /* queue of the job */
  double duration_ms;         /* announced duration of the query */
  int64_t begin_ms;           /* when the service was expected to begin it */
  bool is_long;               /* see ADVICE_LONG_QUERY_MS */
  bool alone;          /* its instance had no other query when it was sent */
  int64_t deadline_ms; /* time at which the query is overdue */
  int64_t give_up_ms;  /* time at which the query counts as lost */
  bool overdue;        /* the deadline has passed */
  int64_t leave_window_ms; /* when it no longer counts as outstanding */
  bool in_window;          /* it counts in fsched::n_queries_out */
  size_t n_execs;          /* number of executors named */
  int *named;              /* owned: exec::index of each of them */
};
RB_HEAD (pending_order_tree, pending_order);

/**
 * struct adviser - an instance that sends the leader's advice queries to the
 * advice service
 */
struct adviser
{
  char id[CLB_ID_MAX];     /* id of the instance; empty: this instance */
  char addr[CLB_ADDR_MAX]; /* address of the instance; empty: this instance */
  int64_t last_contact_ms; /* when the instance's last message arrived */
  /* When the instance last reached the table service. */
  int64_t table_contact_ms;
  /* The instance gets no queries before this time, because one was overdue or
     has failed. */
  int64_t avoid_until_ms;
  int n_failures;    /* number of these queries since the last answer */
  int64_t failed_ms; /* when one was last counted */
  /* When the oldest query in n_queries, if it is in time, is answered. */
  int64_t answer_due_ms;
  int64_t busy_until_ms; /* expected end of the queries in n_queries */
  int64_t answered_ms;   /* when a query of it was last answered */
  int n_queries;      /* number of outstanding queries that are not overdue */
  int n_long;         /* of these, the long ones */
  int n_overdue;      /* number of outstanding queries that are overdue */
  int64_t millicores; /* the instance's share of a core, in thousandths */
};

/** struct fsched_tenant - a client account's use and share */
struct fsched_tenant
{
  char name[CLB_NAME_MAX];
  /* Capacity taken by the account's starts, sent or not, and their number. */
  struct job_need used;
  int n_runs;
  /* Limit in the last configuration of this term that had the account. */
  struct job_need last_limit;
  /* Announced time of advice queries for the account as of asked_updated_ms;
     what is older counts less. */
  double asked_ms;
  int64_t asked_updated_ms;
  /* When a log line last said that the limit holds the account back. */
  int64_t held_line_ms;
  /* Of the current placing pass, as parts of the fleet from 0 to 1: what the
     account's starts and the jobs within its share take, and its share. */
  double part_taken;
  double part_entitled;
  bool has_work; /* the account has starts or waiting jobs */
  /* Of the last waits_tick(): number of overdue jobs of the account, and of
     those of them that a log line was due for. */
  int n_late;
  int n_turns;
  TAILQ_ENTRY (fsched_tenant) link;
};
TAILQ_HEAD (fsched_tenantq, fsched_tenant);

/** struct advice_pace - how long the advice queries of a queue take, as
 * multiples of the time that the service announces */
struct advice_pace
{
  bool measured;    /* a query was answered */
  double factor;    /* moving average, at least 1 */
  double deviation; /* moving average of the distance from the average */
  /* Number of times that the timeout is doubled, as queries were overdue since
     the last answer, and time of the last doubling. */
  int n_late;
  int64_t doubled_ms;
};

/** struct fsched_queue - statistics of a queue's jobs */
struct fsched_queue
{
  TAILQ_ENTRY (fsched_queue) link;
  char name[CLB_NAME_MAX];
  /* Moving average of the fraction of the queried executors that are permitted
     to run the step, from 0.1 to 1. */
  double permitted_share;
  struct estim run_times; /* run times of steps */
  struct advice_pace advice_pace;
  /* Announced duration of the queue's queries without that for the executors
     they name, in ms. */
  double advice_base_ms;
  /* Steps whose next advice query was not sent yet, the first ready first, and
     their number. */
  struct askingq asking;
  int n_asking;
  /* See fsched_overload.c; all in ms. */
  double query_ms;  /* moving average of the announced time of a first query */
  double unsent_ms; /* time for the first queries that were not sent yet */
  double work_ms;   /* time for all queries that accepted jobs will need */
  /* Announced time of the queries that first queries have led to, and that of
     these first queries; what is older counts less. */
  double asked_ms;
  double first_ms;
  double arrived_ms; /* time for queries of jobs that arrived; as above */
  int64_t arrived_updated_ms;
  int64_t first_arrival_ms; /* in this term; 0: none */
  double useful_ms; /* moving average of the time in which a start is of use */
  int64_t blocked_ms; /* when a query could last not be sent; 0: never */
  int64_t
      advice_wait_ms; /* expected time until a new job's query is answered */
  bool overloaded;    /* it takes no jobs */
  /* Part of a ticket's lifetime that is not used, in addition to
     FSCHED_TICKET_MARGIN_MS, as executors have refused tickets, and earliest
     time at which it grows again. */
  int64_t ticket_margin_ms;
  int64_t next_margin_ms;
  int n_late; /* number of overdue jobs at the last waits_tick() */
};
TAILQ_HEAD (fsched_queueq, fsched_queue);

/** struct ended_job - a job known to have ended, and its final state */
struct ended_job
{
  RB_ENTRY (ended_job) by_id;
  char id[JOB_ID_SIZE];
  int state; /* enum job_state */
  /* The specification must still be removed from the job's row. */
  bool trim_due;
};
RB_HEAD (ended_job_tree, ended_job);

/** struct early_progress - recorded progress of a job that is not added yet */
struct early_progress
{
  RB_ENTRY (early_progress) by_id;
  char id[JOB_ID_SIZE];
  struct job_progress progress;
  struct page_ref *pages; /* pages that were loaded, owned */
  int n_pages;            /* number of entries of pages */
};
RB_HEAD (early_tree, early_progress);

/** struct stale_page - a page of an ended job, to be removed from the table */
struct stale_page
{
  TAILQ_ENTRY (stale_page) link;
  char id[JOB_ID_SIZE];
  struct page_ref ref;
  bool writing; /* the removal is in the outstanding write */
};
TAILQ_HEAD (stale_pageq, stale_page);

TAILQ_HEAD (intentq, intent);

/** struct intents - intents of starts, see fsched_intent.c */
struct intents
{
  struct intentq rows[INTENT_ROWS]; /* recorded intents, by row */
  struct intentq waiting;           /* intents for the next write */
  struct intentq writing;           /* intents in the outstanding write */
  int next_row;    /* number of the row that is written next */
  int writing_row; /* number of the row that was written last */
  /* Number of starts with an intent that have ended in this term.  The count
     is also the sequence number of the last of these ends. */
  uint64_t n_ends;
  uint64_t round_ends;   /* n_ends when the round began, see fsched::round */
  uint64_t writing_ends; /* recorded_ends after the outstanding write */
  /* All progress that was changed by ends up to this sequence number is
     recorded. */
  uint64_t recorded_ends;
  int n_logged; /* loaded intents that are not taken as running */
};

/** enum row_kind - kinds of the rows that a write holds */
enum row_kind
{
  ROW_INTENTS,
  ROW_ROSTER,
  ROW_PROGRESS,
  ROW_STALE_PAGE, /* the removal of a page */
};

/** struct collected - what the outstanding write holds */
struct collected
{
  int n_rows;
  int64_t n_bytes;       /* sum of the values */
  int last_kind;         /* enum row_kind of the last row */
  char job[JOB_ID_SIZE]; /* of a last row of ROW_PROGRESS */
};

/** struct fsched - the scheduler, for one term of its instance as leader */
struct fsched
{
  int64_t now_ms;
  struct outq *out;       /* borrowed; for orders, writes and log lines */
  uint64_t *last_token;   /* borrowed; last id given to a call or order */
  int64_t wall_offset_ms; /* from local times to those of the wall clock */
  int64_t epoch;          /* epoch of this term; part of its fencing tokens */
  struct fsched_stats *stats; /* borrowed; outlives the scheduler */
  const struct fconf *conf;   /* borrowed; NULL: not known yet */
  struct job_tree jobs;       /* all jobs, by id */
  struct jobq queue;          /* all jobs, in order of arrival */
  struct jobq ended;          /* jobs in a final state, not freed yet */
  /* Bytes of the checkpoints that tasks hold, and of those among them that
     count towards CHECKPOINT_LARGE_TOTAL_BYTES. */
  size_t checkpoint_bytes;
  size_t large_checkpoint_bytes;
  int n_jobs;
  struct execq execs;
  struct exec_tree execs_by_id;
  struct domainq domains;
  const struct evac *evac; /* evacuated failure domains; NULL: none */
  bool starts_held;        /* see fsched_hold_starts() */
  /* Executors that may be given tasks in the current placing pass. */
  struct exec **eligible;
  int n_eligible;
  struct job_need capacity; /* sum of the capacity of these executors */
  struct fsched_intern_table services; /* names of services */
  struct fsched_intern_table racks;    /* names of racks */
  struct fsched_intern_table labels;   /* labels that steps require */
  int n_execs;                         /* number of entries of execs */
  int n_lapsed; /* number of entries of exec::lapsed of all executors */
  struct fsched_tenantq tenants;
  struct ended_job_tree ended_jobs;
  struct pending_order_tree orders; /* orders without a result yet */
  /* Recorded progress of jobs that are not added yet. */
  struct early_tree early_progress;
  int64_t next_query_sweep_ms; /* time of the next search for lost queries */
  int64_t next_waits_line_ms;  /* time of the next lines about waiting jobs */
  struct adviser *advisers;    /* owned */
  int n_advisers;
  int advisers_cap; /* number of entries that advisers has room for */
  struct fsched_queueq queues;
  bool fenced; /* an executor has seen the fencing token of a later leader */
  bool loaded; /* the records are loaded; orders may be given */
  bool reconciled;    /* this leader knows all runs on all executors */
  int64_t claimed_ms; /* when the term began */
  /* Longest lease that an executor grants, at least FSCHED_LEASE_MS.  A boot
     grants it to an order that was meant for the one before, whose clock was
     ahead. */
  int64_t lease_max_ms;
  /* All leases that earlier leaders gave have expired by this time. */
  int64_t old_leases_end_ms;
  bool may_order; /* orders may be given: the leadership is recent enough */
  bool pass_due;  /* a placing pass is due */
  int64_t next_pass_ms; /* earliest time of the next pass */
  /* Earliest time of the next pass over the jobs of all classes; other passes
     are over those that were URGENCY_ON_TIME in the pass before. */
  int64_t next_whole_pass_ms;
  int64_t last_whole_pass_ms; /* when the last pass over all jobs began */
  int64_t whole_pass_gap_ms;  /* time between the last two of them */
  /* Time of the next pass if nothing changes before; 0: none. */
  int64_t retry_pass_ms;
  struct store_limits limits; /* of the table service */
  /* Number of the round in which rows of progress that change now are due.
     Ends of runs count as recorded when all rows are recorded that had changed
     when a round began. */
  uint64_t round;
  bool round_open;    /* rows of the round before are still due */
  bool round_writing; /* the outstanding write holds the last of them */
  struct stale_pageq stale_pages;
  struct collected collected;
  /* Maximum number of rows of the next write; lower after a refused write, so
     that the row which the table refuses is found. */
  int rows_max;
  bool
      skip_intents; /* the next write has no intents; used while it is lower */
  int n_set_aside;  /* number of jobs that are set aside */
  bool record_due;  /* progress or the roster must be recorded */
  bool intents_write_due; /* starts wait for their intents to be written */
  struct intents intents;
  /* Bit sets of the roster's rows that must be recorded, and of those in the
     outstanding write. */
  uint32_t roster_dirty;
  uint32_t roster_writing;
  /* Number of parts in which each row of the roster is recorded. */
  int roster_parts[FSCHED_ROSTER_ROWS];
  /* Number of starts by this leader that were placed or sent recently and are
     not answered; see FSCHED_PENDING_STARTS_MAX. */
  int n_pending_starts;
  /* Advice queries that the current pass may still send. */
  int queries_left;
  bool asking_due;      /* steps in fsched_queue::asking may be asked about */
  int64_t next_aged_ms; /* earliest time of the next query about an old one */
  /* Longest lifetime of a ticket of a step that room was reserved for. */
  int64_t longest_ticket_ms;
  /* CPU that the current pass may still reserve for gangs that do not fit. */
  int64_t gang_reserve_millicores;
  /* Advice queries that are outstanding, overdue or not, and the long ones
     among them. */
  int n_queries_out;
  int n_long_out;
  double query_window; /* number of advice queries that may be outstanding */
  int64_t next_window_cut_ms; /* earliest time of the next reduction of it */
  /* Number of refused advice queries, less that of answers since, when one was
     last counted, and the end of the pause after it. */
  int n_refused;
  int64_t refused_ms;
  int64_t refused_until_ms;
  /* When a query was last answered, number of queries sent since then that are
     overdue, and the end of the pause after them. */
  int64_t answered_ms;
  int n_unanswered;
  int64_t stalled_until_ms;
  struct lanes lanes;
  /* Largest number of short queries that were outstanding of late, and when it
     was last updated. */
  double short_peak;
  int64_t short_peak_ms;
  /* When a query could last not be sent, as no instance was free for it. */
  int64_t advice_blocked_ms;
  int64_t next_waits_ms;   /* time of the next fsched_queue::advice_wait_ms */
  bool short_adviser_free; /* an instance is free for a short query */
  bool long_adviser_free;  /* an instance is free for a long query */
  int64_t next_exec_sweep_ms; /* time of the next check of all executors */
  int64_t next_trim_ms; /* earliest time of the next fsched_trim_jobs() */
  /* Earliest time at which the specifications of any number of ended jobs are
     removed. */
  int64_t next_whole_trim_ms;
  /* Number of jobs with unplaced tasks at the last placing pass, by enum
     urgency_class. */
  int n_ready[URGENCY_N];
  struct job **ready_jobs; /* scratch array of a placing pass, owned */
  int ready_jobs_cap;      /* number of entries that ready_jobs has room for */
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
 * @last_token: counter that calls and orders take their ids from; borrowed
 * @now_ms: time of the claim
 * @epoch: epoch of the term
 * @wait_ms: how long after the claim an executor that does not answer may
 *           still run what an earlier leader started
 * @stats: counters to update; borrowed
 *
 * Return: a scheduler that the caller frees with fsched_free().
 */
struct fsched *fsched_new (struct outq *out, uint64_t *last_token,
                           int64_t now_ms, int64_t epoch, int64_t wait_ms,
                           struct fsched_stats *stats);
/** fsched_free() - Free the scheduler; @fs may be NULL. */
void fsched_free (struct fsched *fs);

/**
 * fsched_set_limits() - Set the limits of the table service; without them,
 * rows and calls have any size.
 */
void fsched_set_limits (struct fsched *fs, const struct store_limits *limits);
/** fsched_set_lease_max() - Set the longest lease that an executor grants, at
 * least FSCHED_LEASE_MS, which holds without it. */
void fsched_set_lease_max (struct fsched *fs, int64_t ms);

/**
 * fsched_set_conf() - Replace the configuration.
 * @conf: the new configuration; borrowed until it is replaced
 */
void fsched_set_conf (struct fsched *fs, const struct fconf *conf);
/**
 * fsched_set_evac() - Set which failure domains are evacuated.
 *
 * To be called again after each change of the set.  Nothing is started in an
 * evacuated domain: starts that are not sent are dropped, and starts without
 * an answer are not sent again.  Polls, stops and acknowledgements go on.
 *
 * @ev: the set; borrowed for as long as the scheduler exists
 */
void fsched_set_evac (struct fsched *fs, const struct evac *ev);
/**
 * fsched_hold_starts() - Start nothing while @held is true, as failure domains
 * may be evacuated without this instance's knowledge.
 * @age_ms: age of what is known, for the log line
 */
void fsched_hold_starts (struct fsched *fs, bool held, int64_t age_ms);

/** fsched_roster_row() - Return the number of the roster's row for executor
 * @id. */
int fsched_roster_row (const char *id);

/* Loading.  The caller loads the roster, the intents and the progress, then
   adds the jobs, then calls fsched_load_done(). */

/**
 * fsched_add_job() - Add a job from its record, unless it is known already.
 * @spec: specification; the function takes ownership of what it contains
 * @inherited: whether an earlier leader may have started tasks of the job
 * @age_ms: time since the job was accepted
 */
void fsched_add_job (struct fsched *fs, struct job_spec *spec, bool inherited,
                     int64_t age_ms);
/**
 * fsched_load_progress() - Load a row with recorded progress of a job that has
 * not been added yet.
 * @key: key of the row, without FSCHED_KEY_PROGRESS
 * @p: progress; the function takes ownership of what it contains
 *
 * The progress is applied when the job is added.  Rows are loaded in the order
 * of their keys, in which the head of a job precedes its pages.
 *
 * Return: 0; %CLB_EFIELD if @key is not one of a progress row.
 */
int fsched_load_progress (struct fsched *fs, const char *key,
                          struct job_progress *p);
/**
 * fsched_load_intents() - Load a row of intents, before any job is added.
 * @key: number of the row, in decimal
 * @text: value of the row
 *
 * Return: number of lines that could not be parsed.
 */
int fsched_load_intents (struct fsched *fs, const char *key, const char *text);
/**
 * fsched_load_roster() - Load executors that earlier leaders may have used.
 * @text: value of a row of the roster
 *
 * Return: number of lines that could not be parsed.
 */
int fsched_load_roster (struct fsched *fs, const char *text);
/** fsched_load_done() - End loading and begin to schedule. */
void fsched_load_done (struct fsched *fs);

/* The following functions pass events to the scheduler. */

/**
 * fsched_cancel() - Cancel job @id, which is recorded; no effect if it has
 * ended.
 */
void fsched_cancel (struct fsched *fs, const char *id);
/**
 * fsched_exec_report() - Process an executor's new or changed entry in
 * discovery.
 */
void fsched_exec_report (struct fsched *fs, const struct exec_report *rep);
/**
 * fsched_exec_unlisted() - Report that discovery no longer lists executor
 * @id.
 */
void fsched_exec_unlisted (struct fsched *fs, const char *id);
/**
 * fsched_exec_list() - Process the beginning or the end of a complete
 * discovery list.
 * @begins: true at the beginning of the list, false at its end.  At the end,
 *          executors that were not reported since the beginning are unlisted.
 */
void fsched_exec_list (struct fsched *fs, bool begins);
/**
 * fsched_adviser_seen() - Report that an instance which can send advice
 * queries is reachable.
 * @id: id of the instance; empty for this instance
 * @addr: address of the instance; empty for this instance
 * @millicores: the instance's share of a core
 * @table_contact_ms: when the instance last reached the table service
 */
void fsched_adviser_seen (struct fsched *fs, const char *id, const char *addr,
                          int64_t millicores, int64_t table_contact_ms);
/**
 * fsched_adviser_freshest() - Find the instance, other than this one, that
 * reached the table service last.
 *
 * Return: borrowed; NULL if no other instance is known.
 */
const struct adviser *fsched_adviser_freshest (const struct fsched *fs);
/**
 * fsched_adviser_rank() - Count the reachable instances, other than this one,
 * that have a larger share of a core than instance @id, or the same share and
 * have been known for longer.
 *
 * Return: the count; -1 if @id is unknown.
 */
int fsched_adviser_rank (const struct fsched *fs, const char *id);
/** fsched_unsent_ms() - Return how long the advice service is expected to take
 * for the first queries about all ready steps that were not asked about yet,
 * in ms. */
int64_t fsched_unsent_ms (const struct fsched *fs);
/**
 * fsched_overload_ms() - Return for how long a queue takes no further jobs, as
 * their advice queries would wait too long to be sent; 0: it takes jobs.
 */
int64_t fsched_overload_ms (const struct fsched *fs, const char *queue);
/** fsched_lanes_known() - Return how many queries the advice service handles
 * beside each other, %LANES_ALL at most, for the next leader; 0: unknown. */
int fsched_lanes_known (const struct fsched *fs);
/** fsched_inherit_lanes() - Start from what the last leader knew.
 * @n_lanes: as returned by fsched_lanes_known() */
void fsched_inherit_lanes (struct fsched *fs, int n_lanes);
/** fsched_inherit_overload() - Let a queue take no jobs at the start of a
 * term, as it took none in the last one, until its load is known. */
void fsched_inherit_overload (struct fsched *fs, const char *queue);
/** fsched_is_query() - Return whether @order is an advice query without an
 * answer. */
bool fsched_is_query (const struct fsched *fs, uint64_t order);
/**
 * fsched_order_result() - Process the result of an order.
 * @order: id of the order; an unknown one is ignored
 * @res: borrowed
 */
void fsched_order_result (struct fsched *fs, int64_t now_ms, uint64_t order,
                          const struct order_result *res);
/**
 * fsched_tick() - Do the periodic work that is due at @now_ms.
 * @may_order: whether orders may be given to executors
 */
void fsched_tick (struct fsched *fs, int64_t now_ms, bool may_order);

/**
 * fsched_collect() - Add the rows that must be recorded to a write.
 * @op: the write
 * @max_rows: number of rows after which progress is left for the next write
 *
 * Call fsched_recorded() once the write is durable.
 *
 * Return: number of rows added.
 */
int fsched_collect (struct fsched *fs, struct store_op *op, int max_rows);
/** fsched_recorded() - Report that the rows collected last are durable. */
void fsched_recorded (struct fsched *fs);
/**
 * fsched_refused() - Report that the table has refused the rows collected last
 * for what they contain.
 *
 * The rows are written again, first one by one.  What a refused row holds is
 * written in smaller rows, or its job is set aside.
 */
void fsched_refused (struct fsched *fs);

/**
 * fsched_job_part() - Return the number of the part of the table of jobs that
 * holds job @id.
 */
int fsched_job_part (const char *id);
/**
 * fsched_job_state() - Return the enum job_state of job @id, or -1 if the job
 * is unknown.
 */
int fsched_job_state (const struct fsched *fs, const char *id);
/** account_limit() - Return what the account's runs may use together; an
 * amount of 0: the resource is not limited. */
struct job_need account_limit (const struct fsched *fs,
                               const struct fsched_tenant *t);
/** domain_count_cores() - Bring domain::cores of all failure domains up to
 * date. */
void domain_count_cores (struct fsched *fs);
/**
 * fsched_jobs_waiting() - Count the jobs of a queue that have not ended and of
 * which no task is known to have begun.
 */
int64_t fsched_jobs_waiting (const struct fsched *fs, const char *queue);

#endif
