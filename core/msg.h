/**
 * DOC: Message types: journal records, table rows, requests to workers,
 * messages between entry instances, operations of the table service, and the
 * outputs that the core returns to the code that owns sockets.
 *
 * msg.c describes most of these structs in codec tables.  A struct with a
 * struct desc is stored or sent, so the names in its codec table are fixed.
 */
#ifndef MSG_H
#define MSG_H

#include <sys/queue.h>

#include "codec.h"
#include "conf.h"

/** struct spec - a task or gang as described by its caller */
struct spec
{
  /* Chosen by the caller; the same id again means the same request. */
  char request_id[CLB_ID_MAX];
  char queue[CLB_NAME_MAX];
  char name[CLB_NAME_MAX];
  struct clb_res need; /* of each member */
  /* Number of members, 1 unless a gang.  All members start or none. */
  int64_t members;
  /* Preference: place the members near each other. */
  bool same_rack;
  /* Preference: place the members on different racks. */
  bool spread;
  /* Declared run time; 0 for a long-lived service. */
  int64_t duration_ms;
  /* Time after acceptance at which a task that has not started is ended; 0
     for no deadline. */
  int64_t deadline_ms;
};
extern const struct desc spec_desc;

/** struct place - the worker of one member */
struct place
{
  char worker[CLB_ID_MAX];
  int64_t boot; /* boot of the worker when the intent was recorded */
};

/** enum rec_kind - kind of a journal record */
enum rec_kind
{
  REC_ACCEPT, /* the request is accepted as a task */
  REC_INTENT, /* the members' workers are chosen; precedes the starts */
  REC_RETRY,  /* the task is pending again: no member is running */
  REC_CANCEL, /* a cancellation was requested */
  REC_END,    /* the task has ended */
  REC_FORGET, /* the ended task is no longer retained */
  REC_N
};

/** struct rec - one record in a domain's journal, about one task */
struct rec
{
  int kind;            /* enum rec_kind */
  char id[CLB_ID_MAX]; /* of the task */
  char team[CLB_NAME_MAX];
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  struct place *places; /* of REC_INTENT: one for each member */
  size_t n_places;
  int64_t attempt;  /* number of earlier attempts */
  int64_t failures; /* number of failed attempts */
  int state;        /* of REC_END: enum task_state */
  int64_t reason;   /* enum clb_reason */
};
extern const struct desc rec_desc;

/** struct journal_row - records that are written together as one row */
struct journal_row
{
  /* Unique to the write, so that a retry recognizes its own row. */
  char nonce[CLB_ID_MAX];
  struct rec *recs;
  size_t n_recs;
};
extern const struct desc journal_row_desc;

/** struct lease_row - lease of a domain's scheduler */
struct lease_row
{
  char holder[CLB_ID_MAX]; /* instance id; empty: the lease is released */
  int64_t boot;            /* of the holder */
  int64_t epoch;           /* raised by one with each change of holder */
  int64_t heartbeat;       /* raised by one with each renewal */
};
extern const struct desc lease_row_desc;

/** struct head_row - row "head", which names the current configuration */
struct head_row
{
  int64_t version;            /* raised by one with each change */
  char hash[CONF_HASH_HEX];   /* of the manifest's text; names its object */
  char change_id[CLB_ID_MAX]; /* of the change, chosen by the operator */
};
extern const struct desc head_row_desc;

/** struct grant - one domain's part of a team's upper limit */
struct grant
{
  char domain[CLB_NAME_MAX];
  struct clb_res amount;
  bool wants_more; /* waiting work in the domain needs a larger amount */
};
/** struct grant_row - a team's upper limit, split among the domains */
struct grant_row
{
  int64_t conf_version; /* configuration that the writer took the limit from */
  struct grant *grants;
  size_t n_grants;
};
extern const struct desc grant_row_desc;

/** struct want - a team whose grant in a domain is too small */
struct want
{
  char team[CLB_NAME_MAX];
};
/** struct want_row - the teams with grant::wants_more set in one domain */
struct want_row
{
  struct want *teams;
  size_t n_teams;
};
extern const struct desc want_row_desc;

/* Worker interface: a sync renews leases, starts and stops tasks, and returns
   the worker's report. */

/** struct start_cmd - one member that the worker is to run */
struct start_cmd
{
  /* Run id, made of task, attempt and member, and never reused. */
  char id[CLB_ID_MAX];
  char name[CLB_NAME_MAX]; /* of the task */
  struct clb_res need;
  int64_t duration_ms; /* declared; 0: not known */
};
/** struct run_id - id of one run of a member on a worker */
struct run_id
{
  char id[CLB_ID_MAX];
};

/**
 * struct sync_req - request to one worker; at most one is outstanding
 *
 * A worker must do the following.  It runs a task only until the latest lease
 * that it got expires.  After a stop it never starts the run with that id, and
 * its report confirms this.  It reports an ended run until the end is
 * acknowledged.
 */
struct sync_req
{
  char holder[CLB_ID_MAX]; /* the sender, which holds the domain's lease */
  int64_t epoch;           /* of the domain's lease; a fencing token */
  int64_t seq;             /* of the sync with this worker */
  int64_t lease_ms;        /* new length of the tasks' lease; 0: no renewal */
  struct start_cmd *starts;
  size_t n_starts;
  struct run_id *stops;
  size_t n_stops;
  struct run_id *acks; /* reported ends that are recorded */
  size_t n_acks;
};
extern const struct desc sync_req_desc;

/** enum run_state - state of a run as reported by its worker */
enum run_state
{
  RUN_RUNNING,
  RUN_OK,
  RUN_FAILED,
  RUN_STOPPED, /* it had started and is stopped now */
  RUN_NEVER,   /* answer to a stop: it has not started and never will */
  RUN_REFUSED, /* answer to a start: it has not started and never will */
};
/** struct run - one run in a worker's report */
struct run
{
  char id[CLB_ID_MAX];
  int state; /* enum run_state */
  struct clb_res used;
};
/** struct sync_rep - a worker's report, the answer to struct sync_req */
struct sync_rep
{
  int64_t boot; /* changes when the worker restarts and loses its state */
  bool leaving; /* the worker shuts down and takes no new runs */
  int64_t busy; /* of an executor: number of slots in use */
  struct run *runs;
  size_t n_runs;
};
extern const struct desc sync_rep_desc;

/* The platform's list of instances. */

/** enum inst_kind - kind of an instance */
enum inst_kind
{
  INST_ENTRY,
  INST_WORKER,
  INST_EXECUTOR,
};
/** struct inst - an instance in the platform's list */
struct inst
{
  char id[CLB_ID_MAX];
  int kind; /* enum inst_kind */
  char domain[CLB_NAME_MAX];
  char rack[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX]; /* "ip:port" */
  struct clb_res capacity; /* whole capacity, in use or not */
  bool leaving;            /* takes no new work */
};
/** struct inst_list - the platform's list of all instances */
struct inst_list
{
  struct inst *items;
  size_t n_items;
};
extern const struct desc inst_list_desc;

/* Operations of the table service. */

/** struct cond - condition of a transaction: the version of one row */
struct cond
{
  char *key;
  int64_t ver; /* 0: the row must be absent */
};
/** struct put - one row that a transaction writes */
struct put
{
  char *key;
  char *value; /* NULL: delete the row */
};
/** struct row - one row in an answer */
struct row
{
  char *key;
  int64_t ver;
  char *value; /* NULL in a feed: the row was deleted */
};
/** enum store_kind - kind of a store operation */
enum store_kind
{
  STORE_TXN,     /* do all puts if all conditions hold, else none */
  STORE_GET,     /* read the row @key */
  STORE_LIST,    /* read rows with the key prefix @key, after the key @after */
  STORE_OBJ_PUT, /* write the object @key */
  STORE_OBJ_GET, /* read the object @key */
  STORE_INSTANCES, /* read the list of instances, if newer than @after */
  STORE_FEED,      /* read changes of the table @key since @since */
};
/** struct store_op - an operation of the table service */
struct store_op
{
  int kind; /* enum store_kind */
  char *key;
  char *after; /* of a list: a key; of the instances: a version; or NULL */
  char *value; /* of STORE_OBJ_PUT */
  struct cond *conds;
  size_t n_conds;
  struct put *puts;
  size_t n_puts;
  int64_t since;   /* of a feed: the version up to which it was read */
  int64_t wait_ms; /* of a feed: longest wait for a change */
};
extern const struct desc store_op_desc;

/**
 * struct store_rep - answer to a store operation
 * @err: 0; %CLB_ECONFLICT with the rows whose conditions failed;
 *       %CLB_ENOTFOUND, for a feed when the changes since the given version
 *       are no longer kept and the table must be listed again;
 *       %CLB_EUNAVAIL if the operation certainly had no effect;
 *       %CLB_EUNKNOWN if it may have had one
 */
struct store_rep
{
  int64_t err;
  struct row *rows;
  size_t n_rows;
  bool more;   /* of a list: more rows follow after the last key */
  int64_t ver; /* newest version covered by the answer; 0: not given */
};
extern const struct desc store_rep_desc;

/* Peer messages, between entry instances. */

/** enum call_verb - what an entry instance asks of a domain's scheduler */
enum call_verb
{
  CALL_SUBMIT,
  CALL_STATUS,
  CALL_CANCEL,
  CALL_WHY,     /* the decisions about a task */
  CALL_ACQUIRE, /* a slot at an executor for a service request */
  CALL_RELEASE, /* the service request has ended: free its slot */
  CALL_N
};

/** struct call - call of an entry instance to a domain's lease holder */
struct call
{
  int64_t seq; /* chosen by the entry instance, echoed in the reply */
  int verb;    /* enum call_verb */
  char team[CLB_NAME_MAX]; /* empty: an operator's call */
  char id[CLB_ID_MAX];     /* of the task or service request */
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  bool open_only;      /* without a key: covers only tasks of open queues */
  int64_t max_waiting; /* limit of the team's waiting tasks; 0: none */
  int64_t wait_ms;     /* longest wait for a slot, or for the task's end */
  int64_t sent_ms;     /* entry instance's clock when this copy was sent */
  bool bad_server;     /* of CALL_RELEASE: the executor failed */
  int state;           /* of CALL_RELEASE: enum task_state */
};

/** struct reply - answer to a call */
struct reply
{
  int64_t call_seq;          /* call::seq of the answered call */
  int64_t err;               /* enum clb_err */
  char id[CLB_ID_MAX];       /* of the task or service request */
  int state;                 /* enum task_state */
  int64_t reason;            /* enum clb_reason */
  int64_t retry_ms;          /* delay before a retry; 0: not given */
  int64_t call_sent_ms;      /* call::sent_ms of the answered call */
  char executor[CLB_ID_MAX]; /* of the granted slot; empty: none granted */
  char addr[CLB_ADDR_MAX];   /* of the executor */
  char *text;                /* of CALL_WHY: the task's decisions as JSON */
};

/** struct hello - state that each entry instance sends to all its peers */
struct hello
{
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX]; /* for peer messages */
  int64_t conf_version;
  int64_t conf_age_ms;    /* time since conf_version was verified as current */
  bool apply_in_progress; /* the sender is writing a new manifest */
  bool holder;            /* the sender schedules its domain */
  int64_t epoch;          /* of the domain's lease; 0 if not holder */
  bool stopping;
  bool knows_receiver; /* the sender counts the receiver as a domain member */
  int64_t sent_ms;     /* sender's clock */
  int64_t echo_ms;   /* latest sent_ms that the sender has from the receiver */
  int64_t echo_boot; /* boot of the receiver's process that sent echo_ms */
  /* Of a holder: free capacity of the domain. */
  struct clb_res free_capacity;
  /* Of a holder: whole capacity of the domain. */
  struct clb_res total_capacity;
  /* Of a holder: in each dimension the largest amount of any worker. */
  struct clb_res largest_worker;
};

/** struct held_slot - a slot that an entry instance is using */
struct held_slot
{
  char id[CLB_ID_MAX]; /* of the service request */
  char executor[CLB_ID_MAX];
  char team[CLB_NAME_MAX];
  int64_t run_ms; /* longest remaining run time */
};
/** struct held_list - the slots that an entry instance is using */
struct held_list
{
  struct held_slot *items;
  size_t n_items;
};

/**
 * struct promise - a peer's promise not to claim the domain's lease
 *
 * The holder asks its peers for it while the table is unreachable.  The same
 * struct is the request and the answer.
 */
struct promise
{
  char domain[CLB_NAME_MAX];
  int64_t epoch;       /* of the holder's lease */
  int64_t seq;         /* of the request, echoed in the answer */
  int64_t duration_ms; /* how long the promise is valid */
  bool granted;        /* of an answer: the peer has made the promise */
};

/** enum pmsg_kind - kind of a peer message */
enum pmsg_kind
{
  PM_HELLO,
  PM_CALL,
  PM_REPLY,
  PM_HANDOVER,        /* the sender has released the lease: claim it now */
  PM_PROMISE_REQUEST, /* from the holder: request a promise */
  PM_PROMISE,         /* answer to the request */
  PM_HELD_QUERY,      /* from a new holder: query the slots in use */
  PM_HELD,            /* answer to the query */
  PM_N
};

/** struct pmsg - a peer message */
struct pmsg
{
  int kind;              /* enum pmsg_kind, selects the member of u */
  char from[CLB_ID_MAX]; /* the sender */
  int64_t boot;          /* of the sender */
  union
  {
    struct hello hello;
    struct call call;
    struct reply reply;
    struct promise promise;
    struct held_list held;
  } u;
};

/**
 * pmsg_pack() - Encode a peer message as msgpack.
 * @buf: set to the encoded bytes, which the caller frees
 * @len: set to their number
 *
 * Return: 0 or %CLB_ENOMEM.
 */
int pmsg_pack (const struct pmsg *m, char **buf, size_t *len);
/**
 * pmsg_unpack() - Decode a peer message.
 * @m: the message, freed with pmsg_free()
 * @ce: names the field on failure
 *
 * Return: 0, or %CLB_EPARSE, %CLB_EFIELD, %CLB_ERANGE or %CLB_ENOMEM if the
 * bytes are damaged.
 */
int pmsg_unpack (const char *buf, size_t len, struct pmsg *m,
                 struct codec_err *ce);
/** pmsg_free() - Free what @m owns, but not @m itself. */
void pmsg_free (struct pmsg *m);

/* Outputs of the core, carried out by the code that owns sockets. */

/** enum out_kind - kind of an output */
enum out_kind
{
  OUT_ANSWER,    /* final answer to a caller */
  OUT_PEER,      /* message to another entry instance */
  OUT_STORE,     /* operation of the table service */
  OUT_SYNC,      /* request to a worker */
  OUT_FORWARD,   /* a caller's service request to an executor */
  OUT_EVENT,     /* decision, for the log and for watchers */
  OUT_ORDER,     /* order to an executor of the fleet or its advice service */
  OUT_FLEET_MSG, /* message to another instance on the fleet */
  OUT_LOG_LINE,  /* line for the log */
};

struct order;
struct mesh_msg;

/** struct event - a decision, or a change of an instance's state */
struct event
{
  int64_t seq;         /* number of the scheduler's decision; 0 for others */
  int64_t time_ms;     /* clock of the instance */
  char id[CLB_ID_MAX]; /* of the task; empty: none */
  char team[CLB_NAME_MAX]; /* empty: none */
  char where[CLB_ID_MAX];  /* worker, executor or instance; empty: none */
  int64_t reason;          /* enum clb_reason */
  /* Number of candidates considered; of WHY_CONFIG the configuration's
     version; of WHY_PREEMPTING the number of preempted tasks. */
  int64_t detail;
};
extern const struct desc event_desc;

/** struct out - one output of the core */
struct out
{
  TAILQ_ENTRY (out) link;
  int kind; /* enum out_kind, selects the member of u */
  union
  {
    struct
    {
      uint64_t call;    /* request::http_call of the caller's request */
      int status;       /* HTTP status */
      int64_t retry_ms; /* for Retry-After; 0: none */
      char *body;
    } answer;
    struct
    {
      char to[CLB_ID_MAX]; /* instance id */
      struct pmsg msg;
    } peer;
    struct
    {
      uint64_t token; /* returned with the answer */
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
      uint64_t call; /* request::http_call of the caller's request */
      char executor[CLB_ID_MAX];
      char addr[CLB_ADDR_MAX]; /* of the executor */
      char id[CLB_ID_MAX];     /* of the service request */
      int64_t max_run_ms;      /* the request is aborted after this time */
    } forward;
    struct event event;
    struct order *order; /* freed by out_free() */
    struct
    {
      char addr[CLB_ADDR_MAX];
      struct mesh_msg *msg; /* freed by out_free() */
    } mesh;
    char *line; /* without a newline */
  } u;
};
TAILQ_HEAD (outq, out);

/**
 * out_new() - Append a zeroed output to @q.
 * @kind: enum out_kind
 *
 * Return: the output, owned by the queue.
 */
struct out *out_new (struct outq *q, int kind);
/**
 * out_take() - Remove the oldest output from @q.
 *
 * Return: the output, which the caller frees with out_free(); NULL if @q is
 * empty.
 */
struct out *out_take (struct outq *q);
/** out_free() - Free an output with everything that it owns. */
void out_free (struct out *o);

/** out_line() - Append a formatted log line; see docs/OPERATIONS.md. */
void out_line (struct outq *q, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** store_cond() - Add a condition to a transaction; copies @key. */
void store_cond (struct store_op *op, const char *key, int64_t ver);
/**
 * store_put() - Add a row to be written to a transaction; copies its
 * arguments.
 * @value: NULL to delete the row
 */
void store_put (struct store_op *op, const char *key, const char *value);

#endif
