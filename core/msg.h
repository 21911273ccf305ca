/**
 * DOC: The typed messages: journal records, worker syncs, peer messages,
 * store operations, and what the core hands to the tasks that own sockets.
 */
#ifndef MSG_H
#define MSG_H

#include <sys/queue.h>

#include "codec.h"
#include "conf.h"

/** struct spec - one task or gang as its caller describes it */
struct spec
{
  char request_id[CLB_ID_MAX]; /* chosen by the caller */
  char queue[CLB_NAME_MAX];
  char name[CLB_NAME_MAX];
  struct clb_res need; /* of each member */
  int64_t members;     /* 1 unless a gang; all start or none */
  bool same_rack;      /* wish: members near each other */
  bool spread;         /* wish: members on different racks */
  int64_t duration_ms; /* declared, 0 for a long-lived service */
  int64_t deadline_ms; /* not started by then: given up; 0 for never */
};
extern const struct desc spec_desc;

/** struct place - one member's worker */
struct place
{
  char worker[CLB_ID_MAX];
  int64_t boot; /* of the worker when the intent was recorded */
};

enum rec_kind
{
  REC_ACCEPT,
  REC_INTENT,
  REC_RETRY, /* back to pending: provably not running */
  REC_CANCEL,
  REC_END,
  REC_FORGET, /* retention over */
  REC_N
};

/** struct rec - one step in a domain's journal */
struct rec
{
  int kind; /* enum rec_kind */
  char id[CLB_ID_MAX];
  char team[CLB_NAME_MAX];
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  struct place *places;
  size_t n_places;
  int64_t attempt;
  int64_t failures;
  int state;      /* enum task_state, of REC_END */
  int64_t reason; /* enum clb_reason */
};
extern const struct desc rec_desc;

/** struct journal_row - what one group commit writes */
struct journal_row
{
  char nonce[CLB_ID_MAX]; /* tells a retried write from another's */
  struct rec *recs;
  size_t n_recs;
};
extern const struct desc journal_row_desc;

struct lease_row
{
  char holder[CLB_ID_MAX]; /* empty: handed back */
  int64_t boot;            /* of the holder's process */
  int64_t epoch;
  int64_t heartbeat; /* raised by each renewal */
};
extern const struct desc lease_row_desc;

struct head_row
{
  int64_t version;
  char hash[CONF_HASH_HEX];
  char change_id[CLB_ID_MAX];
};
extern const struct desc head_row_desc;

/** struct grant_row - one team's upper limit split among the domains */
struct grant
{
  char domain[CLB_NAME_MAX];
  struct clb_res amount;
  bool wants_more; /* would use more than it has */
};
struct grant_row
{
  int64_t conf_version; /* whose limit the writer went by */
  struct grant *grants;
  size_t n_grants;
};
extern const struct desc grant_row_desc;

/** struct want_row - the teams that are short of their limit in a domain */
struct want
{
  char team[CLB_NAME_MAX];
};
struct want_row
{
  struct want *teams;
  size_t n_teams;
};
extern const struct desc want_row_desc;

/* The worker interface: one sync carries lease, starts, stops and report. */

struct start_cmd
{
  char id[CLB_ID_MAX]; /* task, attempt and member: never used again */
  char name[CLB_NAME_MAX];
  struct clb_res need;
  int64_t duration_ms;
};
struct run_id
{
  char id[CLB_ID_MAX];
};

/**
 * struct sync_req - sent to one worker, at most one outstanding
 *
 * Assumed of a worker: it runs a task only while the last lease it was given
 * has not run out; it answers a stop by a promise never to start that id; it
 * reports an ended task until it is acknowledged.
 */
struct sync_req
{
  char holder[CLB_ID_MAX];
  int64_t epoch;
  int64_t seq;
  int64_t lease_ms; /* 0 renews nothing */
  struct start_cmd *starts;
  size_t n_starts;
  struct run_id *stops;
  size_t n_stops;
  struct run_id *acks;
  size_t n_acks;
};
extern const struct desc sync_req_desc;

enum run_state
{
  RUN_RUNNING,
  RUN_OK,
  RUN_FAILED,
  RUN_STOPPED, /* it had started and is stopped now */
  RUN_NEVER,   /* answer to a stop: never started, never will */
  RUN_REFUSED, /* answer to a start: not started, never will */
};
struct run
{
  char id[CLB_ID_MAX];
  int state; /* enum run_state */
  struct clb_res used;
};
struct sync_rep
{
  int64_t boot; /* changes when the worker restarts and forgets */
  bool leaving;
  int64_t busy; /* executors: slots in use */
  struct run *runs;
  size_t n_runs;
};
extern const struct desc sync_rep_desc;

/* The platform's list of instances. */

enum inst_kind
{
  INST_ENTRY,
  INST_WORKER,
  INST_EXECUTOR,
};
struct inst
{
  char id[CLB_ID_MAX];
  int kind; /* enum inst_kind */
  char domain[CLB_NAME_MAX];
  char rack[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX];
  struct clb_res capacity;
  bool leaving;
};
struct inst_list
{
  struct inst *items;
  size_t n_items;
};
extern const struct desc inst_list_desc;

/* The table service. */

struct cond
{
  char *key;
  int64_t ver; /* 0: the row must be absent */
};
struct put
{
  char *key;
  char *value; /* NULL: delete the row */
};
struct row
{
  char *key;
  int64_t ver;
  char *value; /* NULL in a feed: the row was deleted */
};
enum store_kind
{
  STORE_TXN,  /* all conditions hold and all puts are done, or none */
  STORE_GET,  /* one row */
  STORE_LIST, /* rows whose key starts with key, after `after` */
  STORE_OBJ_PUT,
  STORE_OBJ_GET,
  STORE_INSTANCES, /* the list, unless it is still of version `after` */
  STORE_FEED,      /* changes of the table `key` since version `since` */
};
struct store_op
{
  int kind; /* enum store_kind */
  char *key;
  char *after;
  char *value;
  struct cond *conds;
  size_t n_conds;
  struct put *puts;
  size_t n_puts;
  int64_t since;   /* of a feed: the version that was read up to */
  int64_t wait_ms; /* of a feed: the answer may wait so long for a change */
};
extern const struct desc store_op_desc;

/**
 * struct store_rep - answer to a store operation
 * @err: 0; %CLB_ECONFLICT with the rows that did not match; %CLB_ENOTFOUND,
 *       of a feed: its history is gone, list the table again;
 *       %CLB_EUNAVAIL when it certainly had no effect; %CLB_EUNKNOWN when it
 *       may have had one
 */
struct store_rep
{
  int64_t err;
  struct row *rows;
  size_t n_rows;
  bool more;   /* of a list: ask again after the last key */
  int64_t ver; /* newest version that the answer takes in; 0: not told */
};
extern const struct desc store_rep_desc;

/* Peer messages. */

enum call_verb
{
  CALL_SUBMIT,
  CALL_STATUS,
  CALL_CANCEL,
  CALL_WHY,
  CALL_ACQUIRE, /* a service request asks for an executor */
  CALL_RELEASE, /* and says how it ended */
  CALL_N
};

struct call
{
  int64_t seq; /* of the caller's entry instance */
  int verb;    /* enum call_verb */
  char team[CLB_NAME_MAX];
  char id[CLB_ID_MAX];
  struct spec spec;
  int class;
  int lane;
  bool idempotent;
  bool open_only; /* no key: only tasks of open queues */
  int64_t max_waiting;
  int64_t wait_ms;
  int64_t sent_ms; /* entry instance's clock when it sent or repeated this */
  bool bad_server; /* CALL_RELEASE: the executor failed */
  int state;       /* CALL_RELEASE: enum task_state */
};

struct reply
{
  int64_t call_seq;
  int64_t err;
  char id[CLB_ID_MAX];
  int state;            /* enum task_state */
  int64_t reason;       /* enum clb_reason */
  int64_t retry_ms;     /* when to come back */
  int64_t call_sent_ms; /* of the call that this answers */
  char executor[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX];
  char *text; /* CALL_WHY: history, as JSON */
};

struct hello
{
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX];
  int64_t conf_version;
  int64_t conf_age_ms;    /* since its freshness was last proved */
  bool apply_in_progress; /* it has a change whose outcome it does not know */
  bool holder;
  int64_t epoch;
  bool stopping;
  bool knows_receiver; /* the sender counts the receiver as a member */
  int64_t sent_ms;     /* the sender's clock */
  int64_t echo_ms;     /* the receiver's last stamp that the sender has seen */
  int64_t echo_boot;
  struct clb_res free_capacity;  /* a holder's free capacity */
  struct clb_res total_capacity; /* its whole capacity */
  struct clb_res largest_worker; /* of any one of its workers */
};

/** struct held_slot - a slot that an entry instance still uses */
struct held_slot
{
  char id[CLB_ID_MAX];
  char executor[CLB_ID_MAX];
  char team[CLB_NAME_MAX];
  int64_t run_ms; /* longest that it still runs */
};
struct held_list
{
  struct held_slot *items;
  size_t n_items;
};

struct promise
{
  char domain[CLB_NAME_MAX];
  int64_t epoch;
  int64_t seq;
  int64_t duration_ms;
  bool granted;
};

enum pmsg_kind
{
  PM_HELLO,
  PM_CALL,
  PM_REPLY,
  PM_HANDOVER,        /* the lease row was handed back: claim it now */
  PM_PROMISE_REQUEST, /* holder to peer: do not claim for a while */
  PM_PROMISE,
  PM_HELD_QUERY, /* new holder to entry: which slots do you use? */
  PM_HELD,
  PM_N
};

struct pmsg
{
  int kind; /* enum pmsg_kind, tag of the union */
  char from[CLB_ID_MAX];
  int64_t boot;
  union
  {
    struct hello hello;
    struct call call;
    struct reply reply;
    struct promise promise;
    struct held_list held;
  } u;
};

/** pmsg_pack() - As msgpack that the caller frees.  0 or %CLB_ENOMEM. */
int pmsg_pack (const struct pmsg *m, char **buf, size_t *len);
/** pmsg_unpack() - %CLB_EPARSE, %CLB_EFIELD or %CLB_ERANGE if damaged. */
int pmsg_unpack (const char *buf, size_t len, struct pmsg *m,
                 struct codec_err *ce);
void pmsg_free (struct pmsg *m);

/* What the core asks of the tasks around it. */

enum out_kind
{
  OUT_ANSWER, /* to a caller, final */
  OUT_PEER,
  OUT_STORE,
  OUT_SYNC,    /* to a worker */
  OUT_FORWARD, /* service request body to an executor */
  OUT_EVENT,   /* a decision, for watchers */
  OUT_ORDER,   /* to an executor of the fleet or its advice service */
  OUT_MESH,    /* to another instance on the fleet */
  OUT_LINE,    /* one line for the log */
};

struct order;
struct mesh_msg;

struct event
{
  int64_t seq;
  int64_t time_ms;
  char id[CLB_ID_MAX];
  char team[CLB_NAME_MAX];
  char where[CLB_ID_MAX]; /* worker, executor or instance */
  int64_t reason;         /* enum clb_reason */
  int64_t detail;         /* candidates weighed */
};
extern const struct desc event_desc;

struct out
{
  TAILQ_ENTRY (out) link;
  int kind; /* enum out_kind, tag of the union */
  union
  {
    struct
    {
      uint64_t call;
      int status; /* HTTP */
      int64_t retry_ms;
      char *body;
    } answer;
    struct
    {
      char to[CLB_ID_MAX];
      struct pmsg msg;
    } peer;
    struct
    {
      uint64_t token;
      struct store_op op;
    } store;
    struct
    {
      char worker[CLB_ID_MAX];
      char addr[CLB_ADDR_MAX];
      struct sync_req req;
    } sync;
    struct
    {
      uint64_t call;
      char executor[CLB_ID_MAX];
      char addr[CLB_ADDR_MAX];
      char id[CLB_ID_MAX];
      int64_t max_run_ms;
    } forward;
    struct event event;
    struct order *order; /* freed by out_free() */
    struct
    {
      char addr[CLB_ADDR_MAX];
      struct mesh_msg *msg; /* freed by out_free() */
    } mesh;
    char *line; /* without its end */
  } u;
};
TAILQ_HEAD (outq, out);

/** out_new() - A zeroed message at the end of @q, freed by out_free(). */
struct out *out_new (struct outq *q, int kind);
/** out_take() - The oldest message, now the caller's, or NULL. */
struct out *out_take (struct outq *q);
void out_free (struct out *o);

/** out_line() - A line for the log, formatted; see docs/OPERATIONS.md. */
void out_line (struct outq *q, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Helpers to fill store operations; they copy their arguments. */
void store_cond (struct store_op *op, const char *key, int64_t ver);
void store_put (struct store_op *op, const char *key, const char *value);

#endif
