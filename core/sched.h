/**
 * DOC: The scheduler of one failure domain.
 *
 * One entry instance at a time, the holder of the domain's lease, runs it.
 * It accepts tasks and service requests, places them on workers and service
 * executors, and follows them until they end.  Records of what it does are
 * kept in the domain's journal in the table, the platform's transactional
 * table service; a record is durable once it is there.
 *
 *   sched.c    scheduler object, timers, decision events
 *   task.c     life cycle of a task and its members
 *   calls.c    calls from entry instances
 *   queue.c    order in which waiting tasks are placed
 *   urgent.c   preemption for urgent tasks
 *   place.c    pool of workers and choice among them
 *   recon.c    reconciliation with the workers through syncs
 *   journal.c  group commits and snapshots
 *   load.c     recovery from the journal at the start of an epoch
 *   escrow.c   division of the teams' limits among the domains
 */
#ifndef SCHED_H
#define SCHED_H

#include "place.h"

enum
{
  /* A worker stops a task whose lease was not renewed for this long. */
  TASK_LEASE_MS = 15000,
  /* A member's start is sent only if the platform's list of instances was
     requested less than this long ago. */
  LIST_FRESH_MS = 3000,
  /* Bytes of a table row's key, with the final NUL. */
  ROW_KEY_SIZE = 256,
  /* Delay before a failed read or write of the journal is repeated. */
  JOURNAL_RETRY_MS = 200,
  /* Default number of journal rows between two snapshots. */
  SNAP_EVERY_ROWS = 1000,
  /* Longest time between two syncs with one worker. */
  SYNC_PERIOD_MS = 2000,
  /* A sync that is not answered within this time fails, and its connection is
     closed. */
  SYNC_TIMEOUT_MS = 2000,
  /* A worker that has not answered a sync for this long is given no new
     tasks. */
  WORKER_UNREACHABLE_MS = 5000,
  /* The task leases of a worker that has not answered a sync for this long are
     no longer renewed. */
  WORKER_EXPIRING_MS = 10000,
  /* A scheduler whose lease of the domain has lapsed continues to renew the
     leases of its tasks for this long. */
  LAPSED_RENEW_MS = 60000,
  /* A task is not retried after this many attempts in which a run of the task
     was reported as failed. */
  TASK_FAILURES_MAX = 3,
  /* Maximum number of tasks in memory, including ended ones; new work is
     refused beyond it. */
  TASKS_MAX = 200000,
  /* A service slot that was not released counts as free this long after the
     longest run time of its request. */
  SERVICE_GRACE_MS = 5000,
};

/** enum member_state - what is known of a member on its worker */
enum member_state
{
  /* The member's start was not sent yet.  The start is sent once, when the
     task's intent is durable. */
  MEMBER_INTENT,
  /* The member's start was sent and may or may not have reached the worker. */
  MEMBER_SENT,
  /* The worker has reported that the member runs. */
  MEMBER_RUNNING,
  /* Syncs ask the worker to stop the member, until a report shows that the
     member has ended or was never started. */
  MEMBER_STOP,
  /* The member certainly does not run and will never start. */
  MEMBER_ENDED,
};

/** enum member_end - how a member in state MEMBER_ENDED has ended */
enum member_end
{
  MEMBER_END_OK,
  MEMBER_END_FAILED,
  MEMBER_END_STOPPED,     /* the worker stopped a started member */
  MEMBER_END_NOT_STARTED, /* the member never started and never will */
  MEMBER_END_REFUSED,     /* the worker refused to start the member */
  /* The member may have run; its lease has run out or its worker has
     restarted. */
  MEMBER_END_LOST,
};

struct task;

/**
 * struct member - one run of a placed task on one worker
 *
 * A task has one member, a gang has several.
 */
struct member
{
  TAILQ_ENTRY (member) on_worker;
  struct task *task;
  struct worker *worker; /* NULL once the member has ended */
  char worker_id[CLB_ID_MAX];
  int64_t boot; /* the worker's boot when the member was placed */
  int index;    /* position in task::members */
  int state;    /* enum member_state */
  int end;      /* enum member_end, valid in state MEMBER_ENDED */
  /* True once a report has listed the member as running. */
  bool was_running;
  /* When the member is expected to end, by the task's declared run time; 0:
     not known. */
  int64_t expected_end_ms;
  int64_t sent_seq; /* number of the sync with the member's start; 0: none */
  /* Number of the latest sync whose report lists the member; 0: none. */
  int64_t reported_seq;
};

/** struct waiter - a call that waits for a task's end or for a service slot */
struct waiter
{
  TAILQ_ENTRY (waiter) link;
  char entry[CLB_ID_MAX]; /* entry instance that called; empty: no reply */
  int64_t call_seq;       /* number of the call, echoed in the reply */
  /* When the entry instance last sent the call, by its own clock.  The reply
     to a call for a service slot carries the time back. */
  int64_t call_sent_ms;
  /* Time at which a call that waits for the task's end gets a reply even if
     the task has not ended; not used for a call that waits for a service
     slot. */
  int64_t expires_ms;
};
TAILQ_HEAD (waiter_list, waiter);

struct team;

/** struct task - a task, a gang of tasks or a service request */
struct task
{
  RB_ENTRY (task) by_id;
  RB_ENTRY (task) by_request;
  TAILQ_ENTRY (task) queued; /* links a pending task in its team's queue */
  TAILQ_ENTRY (task) ended;  /* links an ended task in sched::ended */
  char id[CLB_ID_MAX];
  struct team *team;
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  /* True if the task is written to the journal.  A task that is not recorded
     is lost when another instance takes over the domain. */
  bool recorded;
  /* True once the accept record is durable, and always for a task that is not
     recorded. */
  bool accept_durable;
  bool in_queue;      /* true while the task is in its team's queue */
  bool in_ended_list; /* true while the task is in sched::ended */
  bool cancelled;
  bool end_durable; /* true once the end record is durable */
  /* True once the task has ended; the end record may not be durable yet. */
  bool end_decided;
  bool intent_durable; /* true if the latest intent record is durable */
  int state;           /* enum task_state */
  int reason;          /* enum clb_reason of the latest decision */
  int64_t attempt;     /* number of the current or next attempt, from 0 */
  int64_t failures; /* number of attempts in which a run of the task failed */
  char failed_on[CLB_ID_MAX]; /* worker of the latest failure, or empty */
  int64_t accepted_ms;
  int64_t placed_ms; /* time of the latest placement */
  /* When the scheduler first found that no listed worker is large enough for
     the task; 0: at least one is, or the scheduler has not checked. */
  int64_t no_fit_since_ms;
  /* Number of times that the task was preempted for urgent tasks. */
  int64_t n_preemptions;
  /* True while the task is being stopped for an urgent one. */
  bool being_preempted;
  /* When other tasks were last preempted for this task; 0: never. */
  int64_t last_preempt_ms;
  /* Earliest time of the task's next placement; 0: it may be placed at
     once. */
  int64_t not_before_ms;
  /* Time at which the task is cancelled if it is still pending, or at which
     the slot of a service request counts as free if it was not released; 0:
     never. */
  int64_t expires_ms;
  /* Array of n_members members, owned; NULL unless the task is placed. */
  struct member *members;
  int64_t n_members; /* 0 unless the task is placed */
  /* Calls that wait for the task's end or for its slot. */
  struct waiter_list waiters;
};
RB_HEAD (task_tree, task);
RB_HEAD (request_tree, task);
TAILQ_HEAD (task_list, task);

/** struct team - a team's resource use, grant and queues in this domain */
struct team
{
  RB_ENTRY (team) by_name;
  char name[CLB_NAME_MAX];
  int64_t weight;
  /* Upper limit of the team's use in all domains together; all zero for a team
     that is not in the configuration. */
  struct clb_res limit;
  struct clb_res used; /* capacity used by members placed in this domain */
  /* This domain's grant, that is the part of the team's limit that the team
     may use in this domain. */
  struct clb_res granted;
  /* Copy of the team's grant row, which holds the grants of all domains, as
     last read or written. */
  struct grant_row row;
  /* Version of the grant row in the table; 0: no such row. */
  int64_t row_ver;
  /* True if the copy of the grant row is believed to be current; otherwise the
     row is read before the next decision. */
  bool row_is_current;
  /* The team's limit in the latest configuration that was applied; a new
     configuration is compared with it to find out whether the limit was
     lowered. */
  struct clb_res last_limit;
  /* True if the sum of all domains' grants may exceed the team's limit.  While
     it is true, no task of the team is started. */
  bool frozen;
  /* True if the grant row must be written again so that it carries the version
     of the configuration in force. */
  bool rewrite_due;
  /* True if the grant row, as last written by this domain, says that the
     domain wants a larger grant. */
  bool row_wants_larger_grant;
  /* True if a waiting task of the team was not placed because this domain's
     grant is too small. */
  bool wants_larger_grant;
  /* Capacity that the team would use in this domain if its waiting tasks ran
     too. */
  struct clb_res demand;
  uint64_t op_token; /* token of the outstanding store operation, or 0 */
  int op_kind;       /* enum store_kind of the outstanding store operation */
  /* This domain's grant after the outstanding write, if the write succeeds. */
  struct clb_res op_granted;
  /* The grant row is neither read nor written before this time. */
  int64_t next_op_ms;
  /* Latest time at which used changed or a waiting task was not placed because
     the grant is too small.  The team is idle in this domain if this was long
     ago. */
  int64_t idle_since_ms;
  struct task_list queue[CLASS_N];
  int64_t waiting; /* number of tasks in all of the team's queues */
};
RB_HEAD (team_tree, team);

RB_PROTOTYPE (task_tree, task, by_id, task_cmp)
RB_PROTOTYPE (request_tree, task, by_request, request_cmp)
RB_PROTOTYPE (team_tree, team, by_name, team_cmp)

/** enum effect_kind - action that follows once a group is durable */
enum effect_kind
{
  EFFECT_REPLY,  /* send the reply */
  EFFECT_ACCEPT, /* queue the task for placement */
  EFFECT_INTENT, /* send the starts of the task's members */
  EFFECT_ACK,    /* tell the worker that it may forget the ended run */
  EFFECT_END,    /* allow replies to report the task's end */
  EFFECT_DROP,   /* free the task */
};

/** struct effect - action deferred until a group of records is durable */
struct effect
{
  TAILQ_ENTRY (effect) link;
  int kind;                /* enum effect_kind */
  char id[CLB_ID_MAX];     /* id of the task, or of the run for EFFECT_ACK */
  char worker[CLB_ID_MAX]; /* EFFECT_ACK: id of the worker */
  int64_t attempt; /* EFFECT_INTENT: the attempt whose intent is written */
  /* EFFECT_REPLY: id of the receiving entry instance. */
  char entry[CLB_ID_MAX];
  struct reply reply; /* EFFECT_REPLY: the reply to be sent */
};
TAILQ_HEAD (effect_list, effect);

/** struct group - journal records that are written as one row */
struct group
{
  struct journal_row row;
  size_t recs_cap; /* number of records that row.recs has space for */
  struct effect_list effects;
};

/** struct journal - write side of the domain's journal */
struct journal
{
  /* Key of the domain's epoch row.  Every write has the condition that this
     row still has the version epoch_row_ver. */
  char epoch_key[CLB_ID_MAX];
  int64_t epoch_row_ver;
  /* Number of the journal row that the commit group is written as; while no
     commit is in progress, the number of the next row. */
  int64_t commit_seq;
  struct group open;   /* group that collects new records */
  struct group commit; /* group that is being written */
  /* True from the start of a commit until its group is durable. */
  bool commit_in_progress;
  /* Token of the outstanding write of the commit group, or 0. */
  uint64_t commit_token;
  /* When the commit group was last sent to the table. */
  int64_t commit_sent_ms;
  /* Time at which the failed write of the commit group is repeated; 0: the
     write has not failed. */
  int64_t commit_retry_at_ms;
  int64_t opened_ms; /* when the open group got its first record */
  int64_t first_seq; /* number of the oldest journal row in the table */
  int64_t snap_seq;  /* last journal row that the latest snapshot covers */
  int snap_step;     /* enum snap_step, in journal.c */
  /* Token of the outstanding write for the snapshot, or 0. */
  uint64_t snap_token;
  /* Text of a snapshot whose write was not sent yet, or NULL; owned. */
  char *snap_text;
  /* Last journal row that the snapshot in progress covers. */
  int64_t snap_last_seq;
  int64_t snap_retry_at_ms; /* no new snapshot is made before this time */
  int64_t nonce; /* counter in the nonce of the latest group committed */
};

enum sched_phase
{
  SCHED_LOADING, /* the snapshot, journal and grants are being read */
  SCHED_READY,   /* loading is complete */
  /* A conditional write failed because a newer epoch has begun, so another
     scheduler has taken over the domain. */
  SCHED_SUPERSEDED,
};

enum
{
  WAIT_BUCKETS = 9,
};

/* Upper bounds of the wait histogram's buckets in ms, each inclusive.  The
   last bucket has no upper bound. */
extern const int64_t wait_bucket_ms[WAIT_BUCKETS];

/** struct sched_stats - counters since the scheduler was created */
struct sched_stats
{
  /* Histogram of the times from accept to first placement: numbers of tasks,
     by enum task_class and by bucket. */
  uint64_t wait_histogram[CLASS_N][WAIT_BUCKETS];
  /* Sum of the times from accept to first placement, by enum task_class. */
  uint64_t wait_sum_ms[CLASS_N];
  uint64_t reasons[WHY_N]; /* number of decisions by enum clb_reason */
  uint64_t groups;         /* number of journal rows whose write was begun */
  uint64_t records;        /* number of journal records added */
  uint64_t group_retries;  /* number of failed writes of journal rows */
  uint64_t syncs;          /* number of syncs sent to workers and executors */
  uint64_t sync_failures;  /* number of syncs that got no answer */
  uint64_t placed;         /* number of placements of tasks */
  uint64_t damaged_rows;   /* number of table rows that could not be parsed */
};

/** struct sched - the scheduler of a domain during one epoch */
struct sched
{
  char domain[CLB_NAME_MAX];
  /* Id of this instance, which holds the domain's lease. */
  char self_id[CLB_ID_MAX];
  int64_t boot; /* boot of this instance */
  int64_t epoch;
  int phase;          /* enum sched_phase */
  int64_t now_ms;     /* time of the input that is being handled */
  int64_t started_ms; /* when the scheduler was created */
  /* True if this instance's lease of the domain is valid.  The node sets the
     field before each input. */
  bool may_start;
  /* True if the table service answered this instance's latest operation. */
  bool store_up;
  bool conf_fresh; /* true if the configuration is known to be current */
  /* When may_start became false; 0 while it is true. */
  int64_t lapsed_since_ms;
  /* True while the domain is being handed over to another instance; no task is
     placed meanwhile. */
  bool stopping;
  /* True if free capacity or a queue changed since the last placement
     round. */
  bool placement_due;
  /* Number in the latest task id given in this epoch; 0: none yet. */
  int64_t last_id;
  /* Time of the next check of the tasks' time limits. */
  int64_t next_expire_ms;
  int64_t snap_every; /* number of journal rows between two snapshots */
  int n_domains; /* number of failure domains that share the teams' limits */
  const struct conf *conf; /* configuration in force, borrowed */
  struct outq *out;        /* queue for outgoing messages, borrowed */
  uint64_t *last_token;    /* token of the latest store operation, borrowed */
  struct pool pool;        /* the domain's workers and service executors */
  struct task_tree tasks;
  /* Recorded tasks by team and request id, to find duplicates. */
  struct request_tree requests;
  struct team_tree teams;
  struct task_list ended; /* recorded tasks that have ended, oldest first */
  size_t n_tasks;         /* number of tasks in the tree tasks */
  struct journal journal;
  struct sched_stats stats;
  /* Token of the outstanding read while loading, or 0. */
  uint64_t load_token;
  int load_step; /* enum load_step, in load.c */
  /* While loading, nothing is read before this time. */
  int64_t load_retry_at_ms;
  /* Position of the next read while loading: the name of the snapshot's
     object, or the last key of the list read so far; NULL: the list is read
     from its start.  Owned. */
  char *load_after;
  int64_t list_ms; /* when the latest list of instances was requested */
  /* Token of the outstanding read of want rows, or 0. */
  uint64_t want_rows_read_token;
  /* Token of the outstanding write of this domain's want row, or 0. */
  uint64_t want_row_write_token;
  /* Time of the next read of all domains' want rows. */
  int64_t next_want_read_ms;
  int64_t
      want_read_sent_ms; /* when the latest read of the want rows was sent */
  /* Text of this domain's want row as last written; NULL: the row was not
     written yet, or the write has failed.  Owned. */
  char *want_row_text;
  /* True once every entry instance has reported the service slots that it
     uses. */
  bool slots_known;
  int64_t event_seq; /* number of the latest decision event; 0: none yet */
  /* Ring buffer of the latest EVENTS_MAX events; owned. */
  struct event *events;
};

/* sched.c and calls.c: interface to the node */

/**
 * sched_new() - Create a scheduler, which begins by loading the journal.
 * @domain: failure domain to schedule
 * @self_id: id of this instance
 * @boot: boot of this instance
 * @epoch: epoch of the domain's lease
 * @epoch_row_ver: version of the epoch row; writes fail once it has changed
 * @now_ms: current time
 * @conf: configuration in force
 * @out: queue for outgoing messages
 * @last_token: token of the latest store operation; incremented for each
 *              operation
 *
 * @conf, @out and @last_token are borrowed and must outlive the scheduler.
 *
 * Return: the scheduler, which the caller frees with sched_free().
 */
struct sched *sched_new (const char *domain, const char *self_id, int64_t boot,
                         int64_t epoch, int64_t epoch_row_ver, int64_t now_ms,
                         const struct conf *conf, struct outq *out,
                         uint64_t *last_token);
/** sched_free() - Free the scheduler and all it owns; @s may be NULL. */
void sched_free (struct sched *s);

/** sched_conf() - Apply a newer configuration, borrowed from the caller. */
void sched_conf (struct sched *s, const struct conf *conf);
/**
 * sched_instances() - Apply the platform's list of instances.
 * @list: the list, borrowed; the scheduler copies what it keeps
 * @requested_ms: when the list was requested
 */
void sched_instances (struct sched *s, const struct inst_list *list,
                      int64_t requested_ms);
/**
 * sched_handle_call() - Handle a call; the reply may be sent much later.
 * @entry: id of the entry instance that calls
 * @c: the call, borrowed; the scheduler copies what it keeps
 */
void sched_handle_call (struct sched *s, const char *entry,
                        const struct call *c);
/**
 * sched_used_slots() - Reserve slots that an entry instance still uses.
 * @held: the slots, as the entry instance has reported them
 *
 * A slot is skipped if its task is known already or its executor is unknown.
 */
void sched_used_slots (struct sched *s, const struct held_list *held);
/**
 * sched_handle_store_reply() - Handle the answer to a store operation.
 * @token: token of the operation
 * @rep: the answer
 *
 * Return: true if @token belongs to an operation of the scheduler.
 */
bool sched_handle_store_reply (struct sched *s, uint64_t token,
                               const struct store_rep *rep);
/**
 * sched_handle_sync_reply() - Handle a worker's answer to a sync.
 * @worker: id of the worker
 * @seq: number of the sync
 * @rep: the answer; NULL: the sync failed
 */
void sched_handle_sync_reply (struct sched *s, const char *worker, int64_t seq,
                              const struct sync_rep *rep);
/**
 * sched_tick() - Run timers, place tasks, sync workers, write the journal.
 *
 * To be called after every input.
 */
void sched_tick (struct sched *s);
/** sched_idle() - Return whether every journal record added is durable. */
bool sched_idle (const struct sched *s);

/** sched_task() - Find a task by its id; returns NULL if unknown. */
struct task *sched_task (struct sched *s, const char *id);
/** sched_team() - Find a team by its name; creates it if necessary. */
struct team *sched_team (struct sched *s, const char *name);
/**
 * sched_event() - Record a decision and publish it to watchers.
 * @reason: enum clb_reason
 * @id: id of the task that the decision is about, or empty
 * @team: name of the task's team, or empty
 * @where: id of the worker, executor or instance concerned, or empty
 * @detail: number of candidates considered for a placement, number of tasks
 *          preempted for %WHY_PREEMPTING, else 0
 */
void sched_event (struct sched *s, int reason, const char *id,
                  const char *team, const char *where, int64_t detail);
/**
 * sched_why() - Write the decisions about a task as JSON text.
 * @id: id of the task
 *
 * Return: the text, which the caller frees.
 */
char *sched_why (struct sched *s, const char *id);

/* The following declarations are internal to the scheduler. */

enum
{
  /* Number of decision events kept for sched_why(). */
  EVENTS_MAX = 16384,
};

/**
 * task_new() - Create a task and add it to sched::tasks.
 * @id: id of the task
 * @team: name of its team
 *
 * Return: the task, owned by the scheduler and freed by task_free().
 */
struct task *task_new (struct sched *s, const char *id, const char *team);
/** task_free() - Free a task, its members and the capacity they reserve. */
void task_free (struct sched *s, struct task *t);
/** task_enqueue() - Make the task pending, last in its team's queue. */
void task_enqueue (struct sched *s, struct task *t);
/** task_dequeue() - Remove the task from its team's queue if it is in it. */
void task_dequeue (struct task *t);
/**
 * task_place() - Create the task's members on the workers chosen for them.
 * @picked: a worker for each member, on which capacity is reserved already
 */
void task_place (struct sched *s, struct task *t, struct worker **picked);
/** task_unplace() - Free the task's members and the capacity they reserve. */
void task_unplace (struct sched *s, struct task *t);
/**
 * task_evaluate() - End or retry a task according to its members' states.
 *
 * If the end of any member is not %MEMBER_END_OK, the other members are
 * stopped.  The function may free the task.
 */
void task_evaluate (struct sched *s, struct task *t);
/**
 * task_stop_members() - Stop every member that has not ended.
 *
 * A member whose start was not sent ends at once; for the others the next
 * syncs ask their workers to stop them.
 */
void task_stop_members (struct sched *s, struct task *t);
/**
 * task_finish() - End a task and answer its waiters.
 * @state: final enum task_state
 * @reason: enum clb_reason
 *
 * A task that is not recorded is freed.
 */
void task_finish (struct sched *s, struct task *t, int state, int reason);
/**
 * task_answer_waiters() - Send the task's current state to its waiters.
 *
 * For a recorded task the replies are sent once the open journal group is
 * durable.
 */
void task_answer_waiters (struct sched *s, struct task *t);
/**
 * member_finish() - Mark a member as ended and release its capacity.
 * @end: enum member_end
 */
void member_finish (struct sched *s, struct member *m, int end);
/**
 * member_run_id() - Write the member's run id.
 * @out: set to the id, made of the task's id, the attempt and the index
 */
void member_run_id (const struct member *m, char out[CLB_ID_MAX]);
/**
 * task_starts_unsent() - Return whether a placed task has no start sent yet.
 *
 * False for a task that is not placed, and for a service request, whose
 * members have no start to be sent.
 */
bool task_starts_unsent (const struct task *t);
/**
 * sched_requeue_unsent() - Requeue the team's placed tasks with no start sent.
 *
 * These are the tasks for which task_starts_unsent() is true.
 */
void sched_requeue_unsent (struct sched *s, struct team *team);
/**
 * sched_reply() - Send a reply.
 * @entry: id of the receiving entry instance; empty: nothing is sent
 */
void sched_reply (struct sched *s, const char *entry, const struct reply *r);
/**
 * task_make_rec() - Make a journal record of the task's current state.
 * @kind: enum rec_kind
 *
 * Return: the record; the caller owns the array of its places.
 */
struct rec task_make_rec (const struct task *t, int kind);
/**
 * task_journal() - Add a record of the task's current state to the journal.
 * @kind: enum rec_kind
 *
 * Does nothing for a task that is not recorded.
 */
void task_journal (struct sched *s, const struct task *t, int kind);
/** task_event() - Record a decision about a task; see sched_event(). */
void task_event (struct sched *s, const struct task *t, int reason,
                 const char *where, int64_t detail);
/**
 * task_reply() - Make a reply with the task's current state.
 * @call_seq: number of the call
 */
struct reply task_reply (const struct task *t, int64_t call_seq);
/**
 * task_reply_now() - Make a reply that may be sent at once.
 * @call_seq: number of the call
 *
 * If the task has ended and its end is not durable yet, the reply says that
 * the task is running or pending.
 */
struct reply task_reply_now (const struct task *t, int64_t call_seq);
/**
 * task_reply_durable() - Reply with the task's state once it is durable.
 * @entry: receiver, an entry instance
 * @call_seq: number of the call
 *
 * The state is the present one; the reply is sent once the open journal group
 * is durable.
 */
void task_reply_durable (struct sched *s, const struct task *t,
                         const char *entry, int64_t call_seq);
/**
 * task_slot_expiry_ms() - Return when a slot that is taken now expires.
 *
 * A slot that is not released by then counts as free.
 */
int64_t task_slot_expiry_ms (const struct sched *s, const struct task *t);
/**
 * service_release() - End a service request and free its slot.
 * @state: enum task_state that the entry instance reported
 */
void service_release (struct sched *s, struct task *t, int state);
/**
 * service_reply() - Tell an entry instance which executor it may use.
 * @entry: receiver, an entry instance
 * @call_seq: number of the call
 * @call_sent_ms: the entry instance's clock when it sent the call; echoed
 */
void service_reply (struct sched *s, struct task *t, const char *entry,
                    int64_t call_seq, int64_t call_sent_ms);
/** place_round() - Place every waiting task that can start now. */
void place_round (struct sched *s);

/**
 * urgent_preempt() - Preempt running tasks to free capacity for a task.
 * @t: an urgent task for which no worker has enough free capacity
 *
 * The preempted tasks all run on one worker.  They are chosen so that little
 * work has to be repeated.
 */
void urgent_preempt (struct sched *s, struct task *t);

/* journal.c and load.c */

/** struct snap_row - table row that names the latest snapshot */
struct snap_row
{
  int64_t seq;             /* last journal row that the snapshot covers */
  int64_t first_seq;       /* oldest journal row that is not deleted */
  char object[CLB_ID_MAX]; /* name of the object with the snapshot */
};
extern const struct desc snap_row_desc;

/** journal_row_key() - Write the key of journal row @seq to @out. */
void journal_row_key (const struct sched *s, int64_t seq,
                      char out[ROW_KEY_SIZE]);
/** journal_snap_key() - Write the key of the domain's snapshot row to @out. */
void journal_snap_key (const struct sched *s, char out[ROW_KEY_SIZE]);
/**
 * journal_store_op() - Queue a store operation, to be filled by the caller.
 * @kind: enum store_kind
 * @token: set to the operation's token
 *
 * Return: the operation, owned by the queue of outgoing messages.
 */
struct store_op *journal_store_op (struct sched *s, int kind, uint64_t *token);
/** load_read() - Send the read for the present step, sched::load_step. */
void load_read (struct sched *s);
/** load_reply() - Handle the answer to a read that load_read() sent. */
void load_reply (struct sched *s, const struct store_rep *rep);

/**
 * journal_init() - Initialise the journal's write side.
 * @epoch_row_ver: version of the epoch row; writes fail once it has changed
 */
void journal_init (struct sched *s, int64_t epoch_row_ver);
/** journal_free() - Free what the journal's write side owns. */
void journal_free (struct sched *s);
/**
 * journal_add() - Add a record to the open journal group.
 * @rec: the record; the function takes ownership of what it points to
 */
void journal_add (struct sched *s, const struct rec *rec);
/**
 * journal_add_effect() - Add an action to the open journal group.
 * @kind: enum effect_kind
 * @id: id of the task, or of the run for %EFFECT_ACK
 *
 * The action is run once the group is durable.
 *
 * Return: the effect, owned by the group, to be filled by the caller.
 */
struct effect *journal_add_effect (struct sched *s, int kind, const char *id);
/** journal_full() - Return whether too many records wait to be written. */
bool journal_full (const struct sched *s);
/**
 * journal_handle_store_reply() - Handle the answer to a journal operation.
 * @token: token of the operation
 * @rep: the answer
 *
 * Return: true if @token belongs to an operation of the journal or of loading.
 */
bool journal_handle_store_reply (struct sched *s, uint64_t token,
                                 const struct store_rep *rep);
/** journal_tick() - Send the reads and writes of the journal that are due. */
void journal_tick (struct sched *s);
/** journal_replay() - Apply a record of an earlier epoch, copied from @rec. */
void journal_replay (struct sched *s, const struct rec *rec);

/* recon.c */

/**
 * recon_tick() - Update the workers' states and send the syncs that are due.
 */
void recon_tick (struct sched *s);
/**
 * recon_report() - Handle a worker's answer to a sync.
 * @seq: number of the sync
 * @rep: the answer; NULL: the sync failed
 */
void recon_report (struct sched *s, struct worker *w, int64_t seq,
                   const struct sync_rep *rep);
/** recon_ack() - Make the next sync tell @w that it may forget run @run. */
void recon_ack (struct worker *w, const char *run);
/**
 * recon_service_end() - Count the end of a service request on an executor.
 * @w: the executor
 * @executor_failed: true: a failure of the executor; false: a success
 */
void recon_service_end (struct sched *s, struct worker *w,
                        bool executor_failed);

/* escrow.c */

/**
 * escrow_allows() - Return whether the team's grant allows more members.
 * @need: capacity for one member
 * @n: number of members
 *
 * If this domain's grant is too small, the domain will try to get a larger
 * one.
 */
bool escrow_allows (struct sched *s, struct team *team,
                    const struct clb_res *need, int64_t n);
/**
 * escrow_handle_store_reply() - Handle the answer to an escrow operation.
 * @token: token of the operation
 * @rep: the answer
 *
 * Return: true if @token belongs to an operation on a grant row or a want row.
 */
bool escrow_handle_store_reply (struct sched *s, uint64_t token,
                                const struct store_rep *rep);
/**
 * escrow_load_row() - Apply a team's grant row that was read while loading.
 */
void escrow_load_row (struct sched *s, const struct row *row);
/** escrow_apply_limits() - Apply the teams' limits of a new configuration. */
void escrow_apply_limits (struct sched *s);
/** escrow_tick() - Send the operations on grant and want rows that are due. */
void escrow_tick (struct sched *s);

#endif
