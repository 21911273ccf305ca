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

/** struct spec - a task, gang or service request as its caller describes it */
struct spec
{
  /* Chosen by the caller; the same id again means the same request. */
  char request_id[CLB_ID_MAX];
  char queue[CLB_NAME_MAX];
  char name[CLB_NAME_MAX];
  struct clb_res need; /* need of each member */
  /* Number of members: 1, or more for a gang, whose members start together or
     not at all. */
  int64_t members;
  /* True if the members should be placed near each other, as a preference and
     not a requirement. */
  bool same_rack;
  /* True if the members should be placed on different racks, as a preference
     and not a requirement. */
  bool spread;
  /* Declared run time; 0: a long-lived service. */
  int64_t duration_ms;
  /* Time after acceptance at which a task that has not started is ended; 0: no
     deadline. */
  int64_t deadline_ms;
};
extern const struct desc spec_desc;

/** struct place - the worker that is chosen for one member of a task */
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
  int kind;                /* enum rec_kind */
  char id[CLB_ID_MAX];     /* id of the task */
  char team[CLB_NAME_MAX]; /* team of the task */
  struct spec spec;
  int class; /* enum task_class */
  int lane;  /* enum queue_lane */
  bool idempotent;
  struct place *places; /* for REC_INTENT: one for each member */
  size_t n_places;
  int64_t attempt;  /* number of earlier attempts */
  int64_t failures; /* number of failed attempts */
  int state;        /* for REC_END: enum task_state */
  int64_t reason;   /* enum clb_reason */
};
extern const struct desc rec_desc;

/** struct journal_row - records that are written together as one row */
struct journal_row
{
  /* Unique to each row, so that a retried write recognizes the row that an
     earlier try has written. */
  char nonce[CLB_ID_MAX];
  struct rec *recs;
  size_t n_recs;
};
extern const struct desc journal_row_desc;

/** struct lease_row - row with the lease of a domain's scheduler */
struct lease_row
{
  char holder[CLB_ID_MAX]; /* instance id; empty: the lease is released */
  int64_t boot;            /* boot of the holder */
  int64_t epoch;           /* raised by one with each claim */
  int64_t heartbeat;       /* raised by one with each renewal */
};
extern const struct desc lease_row_desc;

/** struct head_row - row with key "head"; names the current configuration */
struct head_row
{
  int64_t version; /* raised by one with each change */
  /* SHA-256 of the manifest's text in hex; part of its object's name. */
  char hash[CONF_HASH_HEX];
  char change_id[CLB_ID_MAX]; /* id of the change, chosen by the operator */
};
extern const struct desc head_row_desc;

/** struct grant - one domain's part of a team's upper limit */
struct grant
{
  char domain[CLB_NAME_MAX];
  struct clb_res amount;
  /* True if waiting work in the domain needs a larger amount. */
  bool wants_more;
};
/** struct grant_row - a team's upper limit, split among the domains */
struct grant_row
{
  /* Version of the configuration in force at the scheduler that wrote the row;
     the team's upper limit is taken from that configuration. */
  int64_t conf_version;
  struct grant *grants;
  size_t n_grants;
};
extern const struct desc grant_row_desc;

/** struct want - a team whose grant in a domain is too small */
struct want
{
  char team[CLB_NAME_MAX];
};
/** struct want_row - teams of one domain that have grant::wants_more set */
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
  char name[CLB_NAME_MAX]; /* spec::name of the task */
  struct clb_res need;     /* resources that the member needs */
  int64_t duration_ms;     /* declared run time; 0: not known */
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
 * its report confirms this.  It reports an ended run until sync_req::acks
 * acknowledges the end.
 */
struct sync_req
{
  char holder[CLB_ID_MAX];  /* the sender, which holds the domain's lease */
  int64_t epoch;            /* epoch of the domain's lease; a fencing token */
  int64_t seq;              /* number of the sync with this worker */
  int64_t lease_ms;         /* new length of the tasks' lease; 0: no renewal */
  struct start_cmd *starts; /* members to be started */
  size_t n_starts;
  struct run_id *stops; /* runs to be stopped */
  size_t n_stops;
  struct run_id *acks; /* runs whose reported ends are recorded */
  size_t n_acks;
};
extern const struct desc sync_req_desc;

/** enum run_state - state of a run as reported by its worker */
enum run_state
{
  RUN_RUNNING,
  RUN_OK,
  RUN_FAILED,
  RUN_STOPPED, /* the run had started and is stopped now */
  RUN_NEVER,   /* answer to a stop: the run has not started and never will */
  RUN_REFUSED, /* answer to a start: the run has not started and never will */
};
/** struct run - one run in a worker's report */
struct run
{
  char id[CLB_ID_MAX];
  int state;           /* enum run_state */
  struct clb_res used; /* resources that the run uses */
};
/** struct sync_rep - a worker's report, the answer to struct sync_req */
struct sync_rep
{
  int64_t boot; /* changes when the worker restarts and loses its state */
  /* True if the worker is shutting down and takes no new runs. */
  bool leaving;
  int64_t busy_slots; /* for an executor: number of its slots in use; else 0 */
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
  bool leaving;            /* true if the instance takes no new work */
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
  char *key;   /* key of the row */
  int64_t ver; /* version that the row must have; 0: it must be absent */
};
/** struct put - one row that a transaction writes */
struct put
{
  char *key;   /* key of the row */
  char *value; /* new value of the row; NULL: delete the row */
};
/** struct row - one row in a reply of the table service */
struct row
{
  char *key;
  int64_t ver; /* version of the row */
  char *value; /* for STORE_FEED: NULL if the row was deleted */
};
/** enum store_kind - kind of a store operation */
enum store_kind
{
  STORE_TXN,     /* write all rows of puts if all conds hold, otherwise none */
  STORE_GET,     /* read the row with the key store_op::key */
  STORE_LIST,    /* read the rows whose keys begin with store_op::key */
  STORE_OBJ_PUT, /* write the object named store_op::key */
  STORE_OBJ_GET, /* read the object named store_op::key */
  STORE_INSTANCES, /* read the platform's list of instances */
  STORE_FEED,      /* read the changes of rows in the table store_op::key */
};
/** struct store_limits - what the table service accepts in a STORE_TXN */
struct store_limits
{
  int64_t row_bytes;    /* largest value of a row, in bytes */
  int64_t call_bytes;   /* largest sum of the values of one call, in bytes */
  int64_t writes_per_s; /* writes of all instances together; 0: not known */
};

/** struct store_op - an operation of the table service */
struct store_op
{
  int kind; /* enum store_kind */
  /* Key of a row, prefix of keys, or name of an object or table; enum
     store_kind tells which. */
  char *key;
  /* For STORE_LIST: only rows with keys after this one are read; NULL: the
     list begins with the first row.  For STORE_INSTANCES: decimal version of
     the list that the caller has, which is not sent again if it is current;
     NULL: the caller has no list.  For other kinds: NULL. */
  char *after;
  char *value;        /* for STORE_OBJ_PUT: the object's text */
  struct cond *conds; /* for STORE_TXN: conditions for writing the rows */
  size_t n_conds;
  struct put *puts; /* for STORE_TXN: rows to be written */
  size_t n_puts;
  /* For STORE_FEED: version up to which the caller knows the changes. */
  int64_t since;
  int64_t wait_ms; /* for STORE_FEED: longest wait for a change */
  /* For STORE_LIST: largest number of rows to read; 0: as many as the service
     returns in one answer. */
  int64_t limit;
  /* For STORE_TXN: time after which a write without an answer is given up; 0:
     the default. */
  int64_t timeout_ms;
  /* The call does not wait behind other calls of this instance; not passed on
     to other instances. */
  bool urgent;
};
extern const struct desc store_op_desc;
/** store_is_read() - Return true if an operation of @kind (enum store_kind)
 * only reads, so that its answer may be large and the operation may take any
 * time without a doubt about its effect. */
bool store_is_read (int kind);
/**
 * store_timeout_ms() - Return the timeout of operation @op of the platform's
 * table service, in milliseconds.
 *
 * A write that is not answered within the time is given up.  A read is given
 * up if no byte of its answer arrives for that time: an answer that is large
 * for the link would never arrive if it was given up while it arrives, and
 * asked for again.
 */
int64_t store_timeout_ms (const struct store_op *op);

/**
 * struct store_rep - reply to a store operation
 * @err: 0; %CLB_ECONFLICT with the rows whose conditions failed;
 *       %CLB_ENOTFOUND, which for STORE_FEED means that the changes since
 *       store_op::since are no longer kept and the table must be listed again;
 *       %CLB_EUNAVAIL if the operation certainly had no effect;
 *       %CLB_EDENIED if it had none and is refused whenever it is sent;
 *       %CLB_EOUTCOME if the operation may have had an effect
 */
struct store_rep
{
  int64_t err;
  struct row *rows;
  size_t n_rows;
  bool more; /* for STORE_LIST: true if more rows follow after the last key */
  int64_t ver;    /* newest version covered by the reply; 0: not given */
  int64_t now_ms; /* clock of the table service; 0: not given */
  /* Number of values of the answer that cannot be used and were left out. */
  int64_t n_bad;
};
extern const struct desc store_rep_desc;

/* Peer messages, between entry instances. */

/** enum call_verb - what a call tells a domain's scheduler to do */
enum call_verb
{
  CALL_SUBMIT,  /* accept a new task */
  CALL_STATUS,  /* report the state of a task */
  CALL_CANCEL,  /* cancel a task */
  CALL_WHY,     /* report the decisions about a task */
  CALL_ACQUIRE, /* grant a slot at an executor for a service request */
  CALL_RELEASE, /* free the slot of a service request that has ended */
  CALL_N
};

/** struct call - request from an entry instance to a domain's lease holder */
struct call
{
  int64_t seq; /* number chosen by the entry instance, echoed in the reply */
  int verb;    /* enum call_verb */
  char team[CLB_NAME_MAX]; /* team of the caller; empty: an operator's call */
  char id[CLB_ID_MAX];     /* id of the task or service request */
  struct spec spec;
  int class;       /* enum task_class */
  int lane;        /* enum queue_lane */
  bool idempotent; /* true if the work may run more than once */
  /* True if the caller sent no key, so that the call covers only tasks of open
     queues. */
  bool open_only;
  /* Limit of the number of the team's waiting tasks; 0: no limit. */
  int64_t max_waiting;
  int64_t wait_ms; /* longest wait for a slot, or for the task's end */
  /* When this copy of the call was sent, on the entry instance's clock. */
  int64_t sent_ms;
  bool executor_failed; /* for CALL_RELEASE: true if the executor failed */
  /* For CALL_RELEASE: enum task_state with which the service request ended. */
  int state;
};

/** struct reply - a lease holder's answer to a call */
struct reply
{
  int64_t call_seq;          /* call::seq of the answered call */
  int64_t err;               /* enum clb_err */
  char id[CLB_ID_MAX];       /* id of the task or service request */
  int state;                 /* enum task_state */
  int64_t reason;            /* enum clb_reason */
  int64_t retry_ms;          /* delay before a retry; 0: not given */
  int64_t call_sent_ms;      /* call::sent_ms of the answered call */
  char executor[CLB_ID_MAX]; /* executor of the granted slot; empty: no slot */
  char addr[CLB_ADDR_MAX];   /* address of that executor */
  char *text; /* for CALL_WHY: the task's decisions as JSON; else NULL */
};

/** struct hello - state that each entry instance sends to all its peers */
struct hello
{
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX]; /* sender's address for peer messages */
  /* Version of the sender's configuration; 0: no manifest was accepted. */
  int64_t conf_version;
  int64_t conf_age_ms; /* time since conf_version was verified as current */
  /* True if the sender is writing a new manifest. */
  bool apply_in_progress;
  bool is_holder; /* true if the sender schedules its domain */
  int64_t epoch;  /* for a holder: epoch of its lease; else 0 */
  bool stopping;  /* true if the sender is shutting down */
  /* True if the sender counts the receiver as a domain member. */
  bool knows_receiver;
  int64_t sent_ms; /* when the hello was sent, on the sender's clock */
  /* hello::sent_ms of the latest hello that the sender got from the receiver,
     on the receiver's clock; 0: the sender got none. */
  int64_t echo_ms;
  /* Boot of the receiver's process, from the same hello as echo_ms. */
  int64_t echo_boot;
  /* For a holder: free capacity of the domain. */
  struct clb_res free_capacity;
  /* For a holder: whole capacity of the domain. */
  struct clb_res total_capacity;
  /* For a holder: largest amount that any one worker has in each dimension. */
  struct clb_res largest_worker;
};

/** struct held_slot - a slot that an entry instance is using */
struct held_slot
{
  char id[CLB_ID_MAX];       /* id of the service request */
  char executor[CLB_ID_MAX]; /* executor of the slot */
  char team[CLB_NAME_MAX];   /* team that is charged for the request */
  int64_t run_ms;            /* longest remaining run time of the request */
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
 * The lease holder requests promises from its peers while the table service is
 * unreachable.  The same struct is the request and the answer.
 */
struct promise
{
  char domain[CLB_NAME_MAX];
  int64_t epoch;       /* epoch of the holder's lease */
  int64_t seq;         /* number of the request, echoed in the answer */
  int64_t duration_ms; /* how long the promise is valid */
  bool granted;        /* in an answer: true if the peer has promised */
};

/** enum pmsg_kind - kind of a peer message */
enum pmsg_kind
{
  PM_HELLO,
  PM_CALL,
  PM_REPLY,
  PM_HANDOVER, /* the sender has released the lease; it may be claimed now */
  PM_PROMISE_REQUEST,  /* a lease holder requests a promise */
  PM_PROMISE,          /* answer to PM_PROMISE_REQUEST */
  PM_HELD_SLOTS_QUERY, /* a new lease holder queries the slots in use */
  PM_HELD_SLOTS,       /* answer to PM_HELD_SLOTS_QUERY */
  PM_N
};

/** struct pmsg - a peer message */
struct pmsg
{
  int kind;              /* enum pmsg_kind, selects the member of u */
  char from[CLB_ID_MAX]; /* instance id of the sender */
  int64_t boot;          /* boot of the sender */
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
 * @buf: the encoded bytes
 * @len: their number
 * @m: set to the message, which the caller frees with pmsg_free()
 * @ce: set to the error and the wrong field on failure
 *
 * Return: 0, or %CLB_EPARSE, %CLB_EFIELD, %CLB_ERANGE or %CLB_ENOMEM if the
 * bytes are damaged.
 */
int pmsg_unpack (const char *buf, size_t len, struct pmsg *m,
                 struct codec_err *ce);
/** pmsg_free() - Free what @m owns, but not @m itself. */
void pmsg_free (struct pmsg *m);

/* Outputs of the core, carried out by the code that owns sockets. */

/** enum out_kind - kind of an output of the core */
enum out_kind
{
  OUT_ANSWER,    /* final answer to a caller */
  OUT_PEER,      /* message to another entry instance */
  OUT_STORE,     /* operation of the table service */
  OUT_SYNC,      /* struct sync_req to a worker */
  OUT_FORWARD,   /* a caller's service request to an executor */
  OUT_EVENT,     /* struct event, for the log and for watchers */
  OUT_ORDER,     /* order to an executor of the fleet or its advice service */
  OUT_FLEET_MSG, /* message to another instance of the fleet's scheduler */
  OUT_LOG_LINE,  /* line of text for the log */
};

struct order;
struct mesh_msg;

/** struct event - a decision, or a change of an instance's state */
struct event
{
  /* Number of the scheduler's decision; 0: the event is not a scheduler's. */
  int64_t seq;
  int64_t time_ms;         /* time of the event on the instance's clock */
  char id[CLB_ID_MAX];     /* id of the task concerned; empty: none */
  char team[CLB_NAME_MAX]; /* team concerned; empty: none */
  /* Id of the worker, executor or entry instance concerned; empty: none. */
  char instance_id[CLB_ID_MAX];
  int64_t reason; /* enum clb_reason */
  /* For WHY_CONFIG the version of the configuration that is now in force, for
     WHY_PREEMPTING the number of preempted tasks, for every other reason the
     number of candidates that were considered (0: none). */
  int64_t detail;
};
extern const struct desc event_desc;

enum
{
  /* Value of retry_ms: a retry may succeed at once, at another instance. */
  MSG_RETRY_NOW = -1,
};

/** struct out - one output of the core */
struct out
{
  TAILQ_ENTRY (out) link;
  int kind; /* enum out_kind, selects the member of u */
  union
  {
    struct
    {
      uint64_t call; /* request::http_call of the caller's request */
      int status;    /* HTTP status */
      /* Delay for Retry-After; 0: no such header; MSG_RETRY_NOW: no delay. */
      int64_t retry_ms;
      char *body; /* the answer's body, freed by out_free() */
    } answer;
    struct
    {
      char to[CLB_ID_MAX]; /* id of the receiving instance */
      struct pmsg msg;
    } peer;
    struct
    {
      uint64_t token; /* identifies the operation when its reply arrives */
      struct store_op op;
    } store;
    struct
    {
      char worker[CLB_ID_MAX]; /* id of the worker */
      char addr[CLB_ADDR_MAX]; /* address of the worker */
      struct sync_req req;
    } sync;
    struct
    {
      uint64_t call; /* request::http_call of the caller's request */
      char executor[CLB_ID_MAX]; /* id of the executor */
      char addr[CLB_ADDR_MAX];   /* address of the executor */
      char id[CLB_ID_MAX];       /* id of the service request */
      int64_t max_run_ms; /* run time after which the request is aborted */
    } forward;
    struct event event;
    struct order *order; /* freed by out_free() */
    struct
    {
      char addr[CLB_ADDR_MAX]; /* address of the receiving instance */
      struct mesh_msg *msg;    /* freed by out_free() */
    } mesh;
    char *line; /* log line without a newline, freed by out_free() */
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

/**
 * out_line() - Append a log line to @q; see docs/OPERATIONS.md.
 * @fmt: format as for printf(), without a newline
 */
void out_line (struct outq *q, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * store_cond() - Add a condition to a transaction.
 * @key: key of the row, copied
 * @ver: version that the row must have; 0: the row must be absent
 */
void store_cond (struct store_op *op, const char *key, int64_t ver);
/**
 * store_put() - Add the write of a row to a transaction.
 * @key: key of the row, copied
 * @value: new value of the row, copied; NULL: delete the row
 */
void store_put (struct store_op *op, const char *key, const char *value);

#endif
