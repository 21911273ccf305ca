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
 *   escrow.c   the domain's part of each team's upper limit
 */
#ifndef SCHED_H
#define SCHED_H

#include "place.h"

enum
{
  /* A worker stops a task whose lease was not renewed for this long. */
  TASK_LEASE_MS = 15000,
  /* A start is sent only if the list of instances is younger than this. */
  LIST_FRESH_MS = 3000,
  /* Bytes of a table row's key with NUL. */
  ROW_KEY_SIZE = 256,
  /* Wait before a failed read or write of the journal is repeated. */
  JOURNAL_RETRY_MS = 200,
  /* Default number of journal rows between two snapshots. */
  SNAP_EVERY_ROWS = 1000,
  /* Longest time between two syncs with one worker. */
  SYNC_PERIOD_MS = 2000,
  /* A sync without an answer fails after this, its connection is closed. */
  SYNC_TIMEOUT_MS = 2000,
  /* A worker without a report for this long gets no new tasks. */
  WORKER_UNREACHABLE_MS = 5000,
  /* The leases of a worker without a report for this long are not renewed. */
  WORKER_EXPIRING_MS = 10000,
  /* After its own lease has lapsed, a scheduler goes on renewing the leases
     of its tasks for this long. */
  LAPSED_RENEW_MS = 60000,
  /* Failures of the task itself after which it is not retried. */
  TASK_FAILURES_MAX = 3,
  /* Most tasks kept in memory, ended ones included. */
  TASKS_MAX = 200000,
  /* A slot that nobody released counts as free this long after the longest
     run time of its request. */
  SERVICE_GRACE_MS = 5000,
};

/** enum member_state - what is known of a member on its worker */
enum member_state
{
  /* Not sent yet.  The start is sent once, when the intent is durable. */
  MEMBER_INTENT,
  /* The start was sent and may or may not have reached the worker. */
  MEMBER_SENT,
  /* The worker has reported that it runs. */
  MEMBER_RUNNING,
  /* The worker is asked to stop it until a report shows that it has ended
     or that it never started. */
  MEMBER_STOP,
  /* It certainly does not run and will not start any more. */
  MEMBER_ENDED,
};

/** enum member_end - how a member in state MEMBER_ENDED has ended */
enum member_end
{
  MEMBER_END_OK,
  MEMBER_END_FAILED,
  MEMBER_END_STOPPED,     /* stopped after it had started */
  MEMBER_END_NOT_STARTED, /* never started and never will */
  MEMBER_END_REFUSED,     /* the worker refused to start it */
  /* May have run; its lease has run out or its worker has restarted. */
  MEMBER_END_LOST,
};

struct task;

/** struct member - a run of a placed task on one worker; a gang has several */
struct member
{
  TAILQ_ENTRY (member) on_worker;
  struct task *task;
  struct worker *worker; /* NULL once the member has ended */
  char worker_id[CLB_ID_MAX];
  int64_t boot;     /* the worker's boot when the member was placed */
  int index;        /* position in the task's members */
  int state;        /* enum member_state */
  int end;          /* enum member_end, valid in state MEMBER_ENDED */
  bool was_running; /* a report has shown it running */
  /* Expected end by the declared run time; 0 when that is not known. */
  int64_t expected_end_ms;
  int64_t sent_seq;     /* number of the sync that carried the start */
  int64_t reported_seq; /* number of the latest sync whose report lists it */
};

/** struct waiter - a call that waits for a task's end or for a service slot */
struct waiter
{
  TAILQ_ENTRY (waiter) link;
  char entry[CLB_ID_MAX]; /* entry instance that called; empty: no reply */
  int64_t call_seq;       /* number of the call, echoed in the reply */
  /* Clock of the entry instance when it last sent the call; echoed. */
  int64_t call_sent_ms;
  /* The reply is given by then at the latest; not used for a service slot. */
  int64_t expires_ms;
};
TAILQ_HEAD (waiter_list, waiter);

struct team;

/** struct task - a task, a gang of tasks or a service request */
struct task
{
  RB_ENTRY (task) by_id;
  RB_ENTRY (task) by_request;
  TAILQ_ENTRY (task) queued; /* in its team's queue while pending */
  TAILQ_ENTRY (task) ended;  /* in sched::ended, in order of ending */
  char id[CLB_ID_MAX];
  struct team *team;
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  /* Written to the journal.  Otherwise lost when the scheduler changes. */
  bool recorded;
  /* The accept is in the table, or need not be as nothing is recorded. */
  bool accept_durable;
  bool in_queue; /* linked by queued */
  bool in_ended; /* linked by ended */
  bool cancelled;
  bool end_durable; /* the end is in the table */
  /* The end was decided; it may not be durable yet. */
  bool end_decided;
  bool intent_durable; /* the latest intent is in the table */
  int state;           /* enum task_state */
  int reason;          /* enum clb_reason of the latest decision */
  int64_t attempt;     /* number of the current or next attempt, from 0 */
  int64_t failures;    /* runs that the worker reported as failed */
  char failed_on[CLB_ID_MAX]; /* worker of the latest failure, or empty */
  int64_t accepted_ms;
  int64_t placed_ms;       /* time of the latest placement */
  int64_t no_fit_since_ms; /* since when no worker is large enough, or 0 */
  int64_t n_preemptions;   /* times that it was preempted by urgent tasks */
  bool being_preempted;    /* it is being stopped for an urgent task */
  int64_t last_preempt_ms; /* when it last preempted other tasks, or 0 */
  int64_t not_before_ms;   /* earliest start of the next attempt, or 0 */
  /* A pending task is given up then, a service request's slot is free then;
     0 for never. */
  int64_t expires_ms;
  struct member *members; /* n_members of them, owned; NULL unless placed */
  int64_t n_members;      /* 0 unless placed */
  struct waiter_list waiters;
};
RB_HEAD (task_tree, task);
RB_HEAD (request_tree, task);
TAILQ_HEAD (task_list, task);

/** struct team - use, grant and queues of a team in this domain */
struct team
{
  RB_ENTRY (team) by_name;
  char name[CLB_NAME_MAX];
  int64_t weight;
  /* Upper limit for all domains together; 0 for a team that is not in the
     manifest. */
  struct clb_res limit;
  struct clb_res used;    /* by members placed in this domain */
  struct clb_res granted; /* this domain's part of the limit */
  struct grant_row row;   /* all domains' parts, as last read or written */
  int64_t row_ver;        /* version of that row in the table; 0: absent */
  /* The row is believed current; otherwise it is read before it is used. */
  bool row_known;
  struct clb_res last_limit; /* limit of the previous configuration */
  /* The parts may add up to more than the limit: nothing new is started. */
  bool frozen;
  /* The row must be written again with the new configuration's version. */
  bool rewrite_due;
  bool want_written;     /* the row as last written asks for a larger part */
  bool wants_more;       /* tasks wait for a larger part */
  struct clb_res demand; /* needed to run all of the team's waiting tasks */
  uint64_t op_token;     /* token of the outstanding store operation, or 0 */
  int op_kind;           /* enum store_kind of that operation */
  struct clb_res op_granted; /* the part if the outstanding write succeeds */
  int64_t next_op_ms;        /* no store operation before this time */
  int64_t idle_since_ms;     /* last change of used, or last shortage */
  struct task_list queue[CLASS_N];
  int64_t waiting; /* tasks in all queues */
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
  EFFECT_ACK,    /* tell the worker that it may forget an ended run */
  EFFECT_END,    /* replies may report the task's end */
  EFFECT_DROP,   /* free the task */
};

/** struct effect - action deferred until a group of records is durable */
struct effect
{
  TAILQ_ENTRY (effect) link;
  int kind;                /* enum effect_kind */
  char id[CLB_ID_MAX];     /* of the task; of the run for EFFECT_ACK */
  char worker[CLB_ID_MAX]; /* of EFFECT_ACK */
  int64_t attempt;         /* of EFFECT_INTENT */
  char entry[CLB_ID_MAX];  /* of EFFECT_REPLY: the receiver */
  struct reply reply;      /* of EFFECT_REPLY */
};
TAILQ_HEAD (effect_list, effect);

/** struct group - journal records that are written as one row */
struct group
{
  struct journal_row row;
  size_t recs_cap; /* records that row.recs has space for */
  struct effect_list effects;
};

/** struct journal - write side of the domain's journal */
struct journal
{
  /* Every write has the condition that this row has this version. */
  char epoch_key[CLB_ID_MAX];
  int64_t epoch_ver;
  int64_t commit_seq;  /* number of the next row, or of that being written */
  struct group open;   /* group that collects new records */
  struct group commit; /* group that is being written */
  bool commit_in_progress; /* the write of that group is not complete */
  uint64_t commit_token;   /* of that write, 0 when none is outstanding */
  int64_t commit_sent_ms;  /* when that write was sent */
  int64_t
      commit_retry_at_ms; /* when a failed write is repeated; 0: none failed */
  int64_t opened_ms;      /* time of the open group's first record */
  int64_t first_seq;      /* number of the oldest row kept in the table */
  int64_t snap_seq;       /* last row covered by the latest snapshot */
  int snap_step;          /* enum snap_step, in journal.c */
  uint64_t snap_token;    /* of the outstanding snapshot write, or 0 */
  char *snap_text;       /* snapshot that is not yet written, or NULL; owned */
  int64_t snap_last_seq; /* last row covered by the snapshot in progress */
  int64_t snap_retry_at_ms; /* no new snapshot before this time */
  int64_t nonce;            /* number of the latest group's nonce */
};

enum sched_phase
{
  SCHED_LOADING, /* reading snapshot, journal and grants */
  SCHED_READY,
  SCHED_SUPERSEDED, /* a write's condition failed: another epoch has begun */
};

enum
{
  WAIT_BUCKETS = 9,
};

/* Upper bounds of the wait histogram's buckets in ms, each inclusive.  The
   last bucket has no bound. */
extern const int64_t wait_bucket_ms[WAIT_BUCKETS];

/** struct sched_stats - counters since the scheduler was created */
struct sched_stats
{
  /* Tasks by class and time from accept to first placement. */
  uint64_t waits[CLASS_N][WAIT_BUCKETS];
  uint64_t wait_sum_ms[CLASS_N];
  uint64_t reasons[WHY_N]; /* decisions by reason */
  uint64_t groups;         /* journal rows whose write was begun */
  uint64_t records;        /* journal records added */
  uint64_t group_retries;  /* failed writes of a journal row */
  uint64_t syncs;          /* syncs sent to workers and executors */
  uint64_t sync_failures;  /* syncs that got no answer */
  uint64_t placed;         /* placements of tasks */
  uint64_t damaged_rows;   /* table rows that could not be parsed */
};

/** struct sched - the scheduler of a domain during one epoch */
struct sched
{
  char domain[CLB_NAME_MAX];
  char me[CLB_ID_MAX]; /* id of this instance, the holder */
  int64_t boot;        /* of this instance */
  int64_t epoch;
  int phase;          /* enum sched_phase */
  int64_t now_ms;     /* time of the current input */
  int64_t started_ms; /* when the scheduler was created */
  /* The holder's lease is valid.  Set before each input. */
  bool may_start;
  bool store_up;   /* the table answered the holder's latest operation */
  bool conf_fresh; /* the configuration is known to be current */
  /* When may_start became false; 0 while it is true. */
  int64_t lapsed_since_ms;
  bool stopping; /* being handed over: nothing new is placed */
  /* Free capacity or a queue changed since the last placement round. */
  bool dirty;
  int64_t last_id;         /* number in the latest task id of this epoch */
  int64_t next_expire_ms;  /* next check of the tasks' time limits */
  int64_t snap_every;      /* journal rows between two snapshots */
  int n_domains;           /* failure domains that share the teams' limits */
  const struct conf *conf; /* borrowed */
  struct outq *out;        /* messages to be sent, borrowed */
  uint64_t *tokens;        /* latest store token, shared with the node */
  struct pool pool;        /* the domain's workers and service executors */
  struct task_tree tasks;
  /* Recorded tasks by team and request id, to find duplicates. */
  struct request_tree requests;
  struct team_tree teams;
  struct task_list ended; /* recorded tasks that have ended, oldest first */
  size_t n_tasks;         /* in tasks */
  struct journal journal;
  struct sched_stats stats;
  uint64_t load_token;      /* of the outstanding read at loading, or 0 */
  int load_step;            /* enum load_step, in load.c */
  int64_t load_retry_at_ms; /* no read at loading before this time */
  /* Where loading goes on: the snapshot's object or the last key listed;
     NULL for the start of a list.  Owned. */
  char *load_after;
  int64_t list_ms; /* when the latest list of instances was requested */
  uint64_t want_read_token;  /* of the outstanding read of want rows, or 0 */
  uint64_t want_write_token; /* of the outstanding write of ours, or 0 */
  int64_t next_want_ms;      /* next read of the want rows */
  int64_t want_read_ms;      /* when the latest read was sent */
  char *want_written; /* this domain's want row as last written; owned */
  /* Every entry instance has reported the slots that it uses. */
  bool slots_known;
  int64_t event_seq;    /* number of the latest event; 0: none yet */
  struct event *events; /* ring buffer of the latest EVENTS_MAX; owned */
};

/* sched.c and calls.c: interface to the node */

/**
 * sched_new() - Create a scheduler, which begins by loading the journal.
 * @domain: failure domain to schedule
 * @me: id of this instance
 * @boot: boot of this instance
 * @epoch: number of the lease's epoch
 * @epoch_ver: version of the epoch row, the condition of every write
 * @now_ms: current time
 * @conf: configuration in force
 * @out: queue for outgoing messages
 * @tokens: latest store token; raised for each store operation
 *
 * @conf, @out and @tokens are borrowed and must outlive the scheduler.
 *
 * Return: the scheduler, which the caller frees with sched_free().
 */
struct sched *sched_new (const char *domain, const char *me, int64_t boot,
                         int64_t epoch, int64_t epoch_ver, int64_t now_ms,
                         const struct conf *conf, struct outq *out,
                         uint64_t *tokens);
/** sched_free() - Free the scheduler and all it owns; @s may be NULL. */
void sched_free (struct sched *s);

/** sched_conf() - Apply a newer configuration, borrowed from the caller. */
void sched_conf (struct sched *s, const struct conf *conf);
/**
 * sched_instances() - Apply the platform's list of instances.
 * @requested_ms: when the list was requested
 */
void sched_instances (struct sched *s, const struct inst_list *list,
                      int64_t requested_ms);
/**
 * sched_call() - Handle a call; the reply may be sent much later.
 * @entry: id of the entry instance that calls
 */
void sched_call (struct sched *s, const char *entry, const struct call *c);
/**
 * sched_used_slots() - Reserve slots that an entry instance still uses.
 *
 * A slot is skipped if its task is known already or its executor is not.
 */
void sched_used_slots (struct sched *s, const struct held_list *held);
/**
 * sched_store() - Handle the answer to a store operation.
 *
 * Return: whether @token belongs to an operation of the scheduler.
 */
bool sched_store (struct sched *s, uint64_t token,
                  const struct store_rep *rep);
/**
 * sched_sync() - Handle a worker's answer to a sync.
 * @worker: id of the worker
 * @seq: number of the sync
 * @rep: the answer, NULL when none came
 */
void sched_sync (struct sched *s, const char *worker, int64_t seq,
                 const struct sync_rep *rep);
/**
 * sched_tick() - Run timers, place tasks, sync workers, write the journal.
 *
 * To be called after every input.
 */
void sched_tick (struct sched *s);
/** sched_idle() - Whether every journal record added is durable. */
bool sched_idle (const struct sched *s);

/** sched_task() - Find a task by its id; NULL if unknown. */
struct task *sched_task (struct sched *s, const char *id);
/** sched_team() - Find a team by its name, create it if necessary. */
struct team *sched_team (struct sched *s, const char *name);
/**
 * sched_event() - Record a decision and publish it to watchers.
 * @reason: enum clb_reason
 * @id: task that it is about, or empty
 * @team: name of the task's team, or empty
 * @where: worker, executor or instance that it is about, or empty
 * @detail: number of candidates considered, of tasks preempted for
 *          %WHY_MAKES_ROOM
 */
void sched_event (struct sched *s, int reason, const char *id,
                  const char *team, const char *where, int64_t detail);
/** sched_why() - A task's decisions as JSON text that the caller frees. */
char *sched_why (struct sched *s, const char *id);

/* The rest is internal to the scheduler's files. */

enum
{
  /* Decisions kept for sched_why(). */
  EVENTS_MAX = 16384,
};

/**
 * task_new() - Create a task, known by its id.
 * @team: name of its team
 *
 * Return: the task, owned by the scheduler and freed by task_free().
 */
struct task *task_new (struct sched *s, const char *id, const char *team);
/** task_free() - Remove a task from all lists, release its capacity. */
void task_free (struct sched *s, struct task *t);
/** task_enqueue() - Make the task pending, last in its team's queue. */
void task_enqueue (struct sched *s, struct task *t);
/** task_dequeue() - Remove the task from its team's queue if it is in it. */
void task_dequeue (struct task *t);
/**
 * task_place() - Create the task's members.
 * @picked: a worker for each member, on which capacity is reserved already
 */
void task_place (struct sched *s, struct task *t, struct worker **picked);
/** task_unplace() - Free the task's members and their capacity. */
void task_unplace (struct sched *s, struct task *t);
/**
 * task_evaluate() - End or retry a task according to its members' states.
 *
 * If a member has ended other than well, the others are stopped.  The task
 * may be freed.
 */
void task_evaluate (struct sched *s, struct task *t);
/** task_stop_members() - Have every member that has not ended stopped. */
void task_stop_members (struct sched *s, struct task *t);
/**
 * task_finish() - End a task, answer its waiters.
 * @state: final enum task_state
 * @reason: enum clb_reason
 *
 * A task that is not recorded is freed.
 */
void task_finish (struct sched *s, struct task *t, int state, int reason);
/**
 * task_answer_waiters() - Send the task's current state to its waiters.
 *
 * For a recorded task the replies are sent once the open group is durable.
 */
void task_answer_waiters (struct sched *s, struct task *t);
/**
 * member_finish() - Note that a member does not run; release its capacity.
 * @end: enum member_end
 */
void member_finish (struct sched *s, struct member *m, int end);
/** member_run_id() - The member's run id: task, attempt and index. */
void member_run_id (const struct member *m, char out[CLB_ID_MAX]);
/** task_unsent() - Whether the task is placed and no start was sent. */
bool task_unsent (const struct task *t);
/** sched_withdraw() - Requeue the placed tasks of @team not yet sent. */
void sched_withdraw (struct sched *s, struct team *team);
/** sched_reply() - Send a reply to @entry; nothing if that is empty. */
void sched_reply (struct sched *s, const char *entry, const struct reply *r);
/**
 * task_rec() - Make a journal record of the task's current state.
 * @kind: enum rec_kind
 *
 * Return: the record; its places are owned by the caller.
 */
struct rec task_rec (const struct task *t, int kind);
/**
 * task_journal() - Add a record of a recorded task to the journal.
 * @kind: enum rec_kind
 */
void task_journal (struct sched *s, const struct task *t, int kind);
/** task_event() - Record a decision about a task, as sched_event(). */
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
 * An end that is not durable is reported as the state before it.
 */
struct reply task_reply_now (const struct task *t, int64_t call_seq);
/**
 * task_reply_durable() - Reply once the open group is durable.
 * @entry: receiver, an entry instance
 * @call_seq: number of the call
 */
void task_reply_durable (struct sched *s, const struct task *t,
                         const char *entry, int64_t call_seq);
/** task_slot_expiry_ms() - When a slot taken now is free if not released. */
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

/** urgent_preempt() - Stop the cheapest running tasks in favour of @t. */
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

/** journal_row_key() - Key of journal row @seq. */
void journal_row_key (const struct sched *s, int64_t seq,
                      char out[ROW_KEY_SIZE]);
/** journal_snap_key() - Key of the row that names the latest snapshot. */
void journal_snap_key (const struct sched *s, char out[ROW_KEY_SIZE]);
/**
 * journal_store_op() - Queue a store operation, to be filled by the caller.
 * @kind: enum store_kind
 * @token: set to the operation's token
 *
 * Return: the operation, owned by the queue of outgoing messages.
 */
struct store_op *journal_store_op (struct sched *s, int kind, uint64_t *token);
/** load_read() - Send the next read of loading. */
void load_read (struct sched *s);
/** load_reply() - Handle the answer to a read of loading. */
void load_reply (struct sched *s, const struct store_rep *rep);

void journal_init (struct sched *s, int64_t epoch_ver);
void journal_free (struct sched *s);
/** journal_add() - Append a record; takes ownership of what @rec owns. */
void journal_add (struct sched *s, const struct rec *rec);
/**
 * journal_effect() - Add an action that follows once the group is durable.
 * @kind: enum effect_kind
 * @id: task, or run for %EFFECT_ACK
 *
 * Return: the effect, owned by the open group, to be filled by the caller.
 */
struct effect *journal_effect (struct sched *s, int kind, const char *id);
/** journal_full() - Whether too many records wait to be written. */
bool journal_full (const struct sched *s);
/** journal_store() - As sched_store(), for the journal and loading. */
bool journal_store (struct sched *s, uint64_t token,
                    const struct store_rep *rep);
void journal_tick (struct sched *s);
/** journal_replay() - Apply a record of an earlier epoch; @rec is copied. */
void journal_replay (struct sched *s, const struct rec *rec);

/* recon.c */

void recon_tick (struct sched *s);
/** recon_report() - As sched_sync(), for a known worker. */
void recon_report (struct sched *s, struct worker *w, int64_t seq,
                   const struct sync_rep *rep);
/** recon_ack() - Let the next sync tell @w that it may forget @run. */
void recon_ack (struct worker *w, const char *run);
/**
 * recon_service_end() - Note that a service request on @w has ended.
 * @bad: whether the executor failed
 */
void recon_service_end (struct sched *s, struct worker *w, bool bad);

/* escrow.c */

/**
 * escrow_allows() - Whether the team's grant allows more here.
 * @need: capacity for one member
 * @n: number of members
 *
 * If not, a larger part of the limit will be requested.
 */
bool escrow_allows (struct sched *s, struct team *team,
                    const struct clb_res *need, int64_t n);
/** escrow_store() - As sched_store(), for grant and want rows. */
bool escrow_store (struct sched *s, uint64_t token,
                   const struct store_rep *rep);
/** escrow_row() - Apply a grant row read while loading. */
void escrow_row (struct sched *s, const struct row *row);
/** escrow_conf() - Apply the limits of a newer configuration. */
void escrow_conf (struct sched *s);
void escrow_tick (struct sched *s);

#endif
