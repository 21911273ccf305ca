/**
 * DOC: The scheduler of one domain, held by one entry instance at a time.
 *
 * sched.c keeps tasks and queues and decides placement; journal.c makes each
 * step durable in groups; recon.c brings workers and books into agreement;
 * escrow.c holds the domain's part of each team's upper limit.
 */
#ifndef SCHED_H
#define SCHED_H

#include "place.h"

enum
{
  TASK_LEASE_MS = 15000,        /* a worker runs a task this long unrenewed */
  LIST_FRESH_MS = 3000,         /* no start goes out by an older list */
  ROW_KEY_SIZE = 256,           /* bytes of a table row's key */
  JOURNAL_RETRY_MS = 200,       /* before a read or write is sent again */
  SNAP_EVERY_ROWS = 1000,       /* journal rows between snapshots */
  SYNC_PERIOD_MS = 2000,        /* between syncs with one worker, at most */
  SYNC_TIMEOUT_MS = 2000,       /* then its connection is dropped */
  WORKER_UNREACHABLE_MS = 5000, /* without a report: not placed on */
  WORKER_EXPIRING_MS = 10000,   /* without a report: leases not renewed */
  /* A lapsed scheduler renews its tasks' leases this long. */
  LAPSED_RENEW_MS = 60000,
  TASK_FAILURES_MAX = 3,   /* then the task is at fault */
  TASKS_MAX = 200000,      /* kept in memory, ended ones included */
  SERVICE_GRACE_MS = 5000, /* a slot not given back is free this much after
                              its request's longest run */
};

/** enum member_state - what is known of one member on its worker */
enum member_state
{
  MEMBER_INTENT,  /* not sent; sent once when the intent is durable */
  MEMBER_SENT,    /* may or may not have reached the worker */
  MEMBER_RUNNING, /* reported */
  MEMBER_STOP,    /* to be stopped, or proved never started */
  MEMBER_ENDED,   /* certainly not running */
};

/** enum member_end - how a member became clear */
enum member_end
{
  MEMBER_END_OK,
  MEMBER_END_FAILED,
  MEMBER_END_STOPPED,     /* it had started */
  MEMBER_END_NOT_STARTED, /* it had not and never will */
  MEMBER_END_REFUSED,     /* the worker would not start it */
  MEMBER_END_LOST,        /* it may have run; its lease has run out */
};

struct task;

struct member
{
  TAILQ_ENTRY (member) on_worker;
  struct task *task;
  struct worker *worker; /* NULL when clear */
  char worker_id[CLB_ID_MAX];
  int64_t boot;
  int index;
  int state;               /* enum member_state */
  int end;                 /* enum member_end */
  bool was_running;        /* it was reported running */
  int64_t expected_end_ms; /* by its declared run time; 0: not known */
  int64_t sent_seq;        /* sync that carried its start */
  int64_t reported_seq;    /* latest sync whose report lists it */
};

/** struct waiter - who waits for an answer about a task */
struct waiter
{
  TAILQ_ENTRY (waiter) link;
  char entry[CLB_ID_MAX]; /* empty: nobody */
  int64_t call_seq;
  int64_t stamp; /* its clock when it last asked */
  int64_t expires_ms;
};
TAILQ_HEAD (waiter_list, waiter);

struct team;

struct task
{
  RB_ENTRY (task) by_id;
  RB_ENTRY (task) by_request;
  TAILQ_ENTRY (task) queued; /* in its team's queue while pending */
  TAILQ_ENTRY (task) ended;  /* in order of ending */
  char id[CLB_ID_MAX];
  struct team *team;
  struct spec spec;
  int class;
  int lane;
  bool idempotent;
  bool recorded;       /* in the journal; else lost with the holder */
  bool accept_durable; /* its accept is in the table */
  bool in_queue;
  bool in_ended;
  bool cancelled;
  bool end_durable; /* its end is in the table */
  bool end_decided; /* its end or retry is in the journal */
  bool intent_durable;
  int state; /* enum task_state */
  int reason;
  int64_t attempt;
  int64_t failures;
  char failed_on[CLB_ID_MAX]; /* worker of its latest failure, or empty */
  int64_t accepted_ms;
  int64_t placed_ms;
  int64_t no_fit_since_ms; /* since when no worker could hold it, or 0 */
  int64_t n_preemptions;   /* times that it was stopped for urgent work */
  bool being_preempted;    /* being stopped for that */
  int64_t last_preempt_ms; /* urgent: when it last had others stopped */
  int64_t not_before_ms;   /* of the next attempt */
  int64_t expires_ms;      /* pending: given up then; 0 never */
  struct member *members;
  int64_t n_members; /* 0 unless placed */
  struct waiter_list waiters;
};
RB_HEAD (task_tree, task);
RB_HEAD (request_tree, task);
TAILQ_HEAD (task_list, task);

/** struct team - a team's use, grant and queues in this domain */
struct team
{
  RB_ENTRY (team) by_name;
  char name[CLB_NAME_MAX];
  int64_t weight;
  struct clb_res limit; /* fleet-wide; negative: not in the manifest */
  struct clb_res used;
  struct clb_res granted; /* this domain's part of the limit */
  struct grant_row row;   /* all domains' parts, as last read */
  int64_t row_ver;
  bool row_known;
  struct clb_res last_limit; /* limit at the last change */
  bool frozen;               /* parts exceed the limit, or may: nothing new */
  bool rewrite_due;          /* the row must say which limit is gone by */
  bool want_written;         /* the row says that this domain is short */
  bool wants_more;           /* work waits for more grant */
  struct clb_res demand;
  uint64_t op_token;         /* outstanding store token */
  int op_kind;               /* enum store_kind of that */
  struct clb_res op_granted; /* what the outstanding write makes it */
  int64_t next_op_ms;
  int64_t idle_since_ms;
  struct task_list queue[CLASS_N];
  int64_t waiting;
};
RB_HEAD (team_tree, team);

RB_PROTOTYPE (task_tree, task, by_id, task_cmp)
RB_PROTOTYPE (request_tree, task, by_request, request_cmp)
RB_PROTOTYPE (team_tree, team, by_name, team_cmp)

/** enum effect_kind - what follows when a group of records is durable */
enum effect_kind
{
  EFFECT_REPLY,
  EFFECT_ACCEPT, /* the task may be placed */
  EFFECT_INTENT, /* its starts may be sent */
  EFFECT_ACK,    /* the worker may forget an ended run */
  EFFECT_END,    /* its end may be told */
  EFFECT_DROP,   /* the task may be forgotten */
};

struct effect
{
  TAILQ_ENTRY (effect) link;
  int kind;            /* enum effect_kind */
  char id[CLB_ID_MAX]; /* task, or run for EFFECT_ACK */
  char worker[CLB_ID_MAX];
  int64_t attempt;
  char entry[CLB_ID_MAX];
  struct reply reply;
};
TAILQ_HEAD (effect_list, effect);

/** struct group - records written together */
struct group
{
  struct journal_row row;
  size_t cap;
  struct effect_list effects;
};

struct journal
{
  char epoch_key[CLB_ID_MAX];
  int64_t epoch_ver;
  int64_t seq; /* of the next row */
  struct group open;
  struct group commit;
  bool committing;
  uint64_t token;
  int64_t sent_ms;
  int64_t retry_ms; /* when a refused write is tried again */
  int64_t opened_ms;
  int64_t first_seq; /* oldest row kept */
  int64_t snap_seq;  /* rows up to here are in the snapshot */
  int snap_step;     /* enum snap_step, in journal.c */
  uint64_t snap_token;
  char *snap_text; /* made, not yet written */
  int64_t snap_last_seq;
  int64_t snap_retry_ms;
  int64_t nonce;
};

enum sched_phase
{
  SCHED_LOADING, /* reading snapshot, journal and grants */
  SCHED_READY,
  SCHED_SUPERSEDED, /* another holder's epoch was seen */
};

enum
{
  WAIT_BUCKETS = 9,
};

/* Upper ends of the wait histogram, in ms; the last is without end. */
extern const int64_t wait_bucket_ms[WAIT_BUCKETS];

struct sched_stats
{
  uint64_t waits[CLASS_N][WAIT_BUCKETS]; /* from accept to placement */
  uint64_t wait_sum_ms[CLASS_N];
  uint64_t reasons[WHY_N];
  uint64_t groups;
  uint64_t records;
  uint64_t group_retries;
  uint64_t syncs;
  uint64_t sync_failures;
  uint64_t placed;
  uint64_t damaged_rows;
};

struct sched
{
  char domain[CLB_NAME_MAX];
  char me[CLB_ID_MAX];
  int64_t boot;
  int64_t epoch;
  int phase; /* enum sched_phase */
  int64_t now_ms;
  int64_t started_ms;
  bool may_start;  /* the lease holds; set before each input */
  bool store_up;   /* the table answered the holder's latest operation */
  bool conf_fresh; /* the configuration is proved current */
  int64_t lapsed_since_ms; /* since when it does not, 0 while it does */
  bool stopping;           /* handing over: nothing new is placed */
  bool dirty;              /* room or queues changed since the last round */
  int64_t next_id;
  int64_t next_expire_ms;
  int64_t snap_every; /* journal rows between snapshots */
  int n_domains;      /* failure domains that share the limits */
  const struct conf *conf;
  struct outq *out;
  uint64_t *tokens; /* source of store tokens, shared with the node */
  struct pool pool;
  struct task_tree tasks;
  struct request_tree requests;
  struct team_tree teams;
  struct task_list ended;
  size_t n_tasks;
  struct journal journal;
  struct sched_stats stats;
  uint64_t load_token;
  int load_step; /* enum load_step, in journal.c */
  int64_t load_retry_ms;
  char *load_after;
  int64_t list_ms;           /* when the latest list was asked for */
  uint64_t want_read_token;  /* reading what other domains are short of */
  uint64_t want_write_token; /* writing what this one is */
  int64_t next_want_ms;
  int64_t want_read_ms;
  char *want_written; /* as last written */
  bool slots_known;   /* every entry has said which slots it uses */
  int64_t event_seq;
  struct event *events; /* ring of the latest decisions */
};

/* sched.c, calls.c */

/**
 * sched_new() - A scheduler that starts by loading the domain's journal.
 * @epoch_ver: version of the epoch row, the condition of every write
 *
 * The caller owns it and frees it with sched_free(); @conf, @out and @tokens
 * must outlive it.
 */
struct sched *sched_new (const char *domain, const char *me, int64_t boot,
                         int64_t epoch, int64_t epoch_ver, int64_t now_ms,
                         const struct conf *conf, struct outq *out,
                         uint64_t *tokens);
void sched_free (struct sched *s);

/** sched_conf() - A newer configuration is in force. */
void sched_conf (struct sched *s, const struct conf *conf);
/** sched_instances() - The platform's list, asked for at @asked_ms. */
void sched_instances (struct sched *s, const struct inst_list *list,
                      int64_t asked_ms);
/** sched_call() - A request from the entry instance @entry. */
void sched_call (struct sched *s, const char *entry, const struct call *c);
/** sched_used_slots() - Slots that an entry instance says it still uses. */
void sched_used_slots (struct sched *s, const struct held_list *held);
/** sched_store() - Whether @token was one of the scheduler's, and handled. */
bool sched_store (struct sched *s, uint64_t token,
                  const struct store_rep *rep);
/** sched_sync() - A worker's answer; @rep is NULL when none came. */
void sched_sync (struct sched *s, const char *worker, int64_t seq,
                 const struct sync_rep *rep);
/** sched_tick() - Timers, placement, writes.  Call after every input. */
void sched_tick (struct sched *s);
/** sched_idle() - Whether no write is open or outstanding. */
bool sched_idle (const struct sched *s);

struct task *sched_task (struct sched *s, const char *id);
struct team *sched_team (struct sched *s, const char *name);
void sched_event (struct sched *s, int reason, const char *id,
                  const char *team, const char *where, int64_t looked_at);
/** sched_why() - A task's decisions as JSON text that the caller frees. */
char *sched_why (struct sched *s, const char *id);

/* What the files of the scheduler use of each other. */

enum
{
  EVENTS_MAX = 16384,
};

struct task *task_new (struct sched *s, const char *id, const char *team);
void task_free (struct sched *s, struct task *t);
void task_enqueue (struct sched *s, struct task *t);
void task_dequeue (struct task *t);
void task_place (struct sched *s, struct task *t, struct worker **picked);
void task_unplace (struct sched *s, struct task *t);
/** task_evaluate() - Decide what follows once every member is clear. */
void task_evaluate (struct sched *s, struct task *t);
void task_stop_members (struct sched *s, struct task *t);
void task_ended (struct sched *s, struct task *t, int state, int reason);
void task_answer_waiters (struct sched *s, struct task *t);
/** member_ended() - The member is certainly not running: frees its room. */
void member_ended (struct sched *s, struct member *m, int end);
void member_run_id (const struct member *m, char out[CLB_ID_MAX]);
/** task_unsent() - Placed, and no worker can have heard of it. */
bool task_unsent (const struct task *t);
/** sched_withdraw() - Take back what @team has placed and not yet sent. */
void sched_withdraw (struct sched *s, struct team *team);
void sched_reply (struct sched *s, const char *entry, const struct reply *r);
struct rec task_rec (const struct task *t, int kind);
/** task_journal() - Journal one step of a recorded task. */
void task_journal (struct sched *s, const struct task *t, int kind);
void task_event (struct sched *s, const struct task *t, int reason,
                 const char *where, int64_t looked_at);
struct reply task_reply (const struct task *t, int64_t no);
/** task_reply_now() - What may be told before the open group is durable. */
struct reply task_reply_now (const struct task *t, int64_t no);
/** task_reply_durable() - Answer @entry once the open group is durable. */
void task_reply_durable (struct sched *s, const struct task *t,
                         const char *entry, int64_t no);
/** task_slot_expiry_ms() - When a slot that nobody gives back is free again.
 */
int64_t task_slot_expiry_ms (const struct sched *s, const struct task *t);
/** service_release() - A service request has ended in @state. */
void service_release (struct sched *s, struct task *t, int state);
/** service_reply() - Tell @entry which executor it may use. */
void service_reply (struct sched *s, struct task *t, const char *entry,
                    int64_t no, int64_t stamp);
/** place_round() - Start all waiting work that can start now. */
void place_round (struct sched *s);

/** urgent_preempt() - Have the cheapest running work stopped for @t. */
void urgent_preempt (struct sched *s, struct task *t);

/* journal.c and load.c, used by each other */

/** struct snap_row - where the latest snapshot lies */
struct snap_row
{
  int64_t seq;       /* last journal row that the object covers */
  int64_t first_seq; /* rows before this one are deleted */
  char object[CLB_ID_MAX];
};
extern const struct desc snap_row_desc;

void journal_row_key (const struct sched *s, int64_t seq,
                      char out[ROW_KEY_SIZE]);
void journal_snap_key (const struct sched *s, char out[ROW_KEY_SIZE]);
/** journal_store_op() - A new store operation and its token. */
struct store_op *journal_store_op (struct sched *s, int kind, uint64_t *token);
/** load_read() - Read the next piece. */
void load_read (struct sched *s);
void load_reply (struct sched *s, const struct store_rep *rep);

void journal_init (struct sched *s, int64_t epoch_ver);
void journal_free (struct sched *s);
/** journal_add() - Append a record; takes over what @rec owns. */
void journal_add (struct sched *s, const struct rec *rec);
/** journal_effect() - What follows once the open group is durable. */
struct effect *journal_effect (struct sched *s, int kind, const char *id);
bool journal_full (const struct sched *s);
bool journal_store (struct sched *s, uint64_t token,
                    const struct store_rep *rep);
void journal_tick (struct sched *s);
/** journal_replay() - Apply one record of an earlier epoch. */
void journal_replay (struct sched *s, const struct rec *rec);

void recon_tick (struct sched *s);
void recon_report (struct sched *s, struct worker *w, int64_t seq,
                   const struct sync_rep *rep);
void recon_ack (struct worker *w, const char *run);
/** recon_service_end() - A service request on @w has ended. */
void recon_service_end (struct sched *s, struct worker *w, bool bad);

/** escrow_allows() - Whether the team may run @need times @n more here. */
bool escrow_allows (struct sched *s, struct team *team,
                    const struct clb_res *need, int64_t n);
bool escrow_store (struct sched *s, uint64_t token,
                   const struct store_rep *rep);
void escrow_row (struct sched *s, const struct row *row);
void escrow_conf (struct sched *s);
void escrow_tick (struct sched *s);

#endif
