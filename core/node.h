/**
 * DOC: One entry instance: callers' requests, configuration, peers, and the
 * domain's scheduler while this instance holds the lease.
 *
 * The node does no input or output itself.  The code around it (the daemon or
 * a simulation) passes inputs with the current time, and after each input
 * takes the resulting outputs with node_next_out() and carries them out.
 */
#ifndef NODE_H
#define NODE_H

#include "role.h"
#include "sched.h"

enum
{
  /* Largest number of other entry instances. */
  PEERS_MAX = 64,
  /* Largest number of pending requests; further ones are refused. */
  PENDING_MAX = 4096,
  /* Requests with a key are served only if the configuration was verified as
     current within this time. */
  CONF_FRESH_MS = 3000,
  /* Period of the hellos to the peers. */
  HELLO_PERIOD_MS = 1000,
  /* A peer without contact for this time is unreachable: it gets no calls. */
  PEER_UNREACHABLE_MS = 3000,
  /* Longest wait of a caller for a submitted task to be accepted. */
  SUBMIT_WAIT_MS = 10000,
  /* A granted slot may be used only within this time after its call was sent,
     since the scheduler may later give it to another request. */
  FORWARD_DEADLINE_MS = 2000,
  /* Largest body of a task request, in bytes. */
  BODY_MAX = 1 << 20,
};

/** enum method - HTTP method of a request */
enum method
{
  METHOD_GET,
  METHOD_POST,
  METHOD_PUT,
  METHOD_DELETE,
  METHOD_OTHER,
};

/** struct request - a caller's HTTP request; all pointers are borrowed */
struct request
{
  /* Number chosen by the HTTP server, nonzero, not reused. */
  uint64_t http_call;
  int method;             /* enum method */
  const char *path;       /* "/v1/tasks/..." with the query string */
  const char *bearer;     /* key from the Authorization header, or NULL */
  const char *request_id; /* X-Request-Id of a service request, or NULL */
  const char *body;
  size_t body_len;
};

/** enum forward_end - how a service request at an executor ended */
enum forward_end
{
  FORWARD_OK,        /* the whole answer was passed to the caller */
  FORWARD_ERROR,     /* as FORWARD_OK, with a status of 500 or above */
  FORWARD_UNREACHED, /* nothing was sent, so nothing ran */
  FORWARD_FAILED,    /* sent, but no part of an answer was received */
  FORWARD_ABORTED,   /* the answer broke off, or the caller disconnected */
};

/** struct settings - settings of one entry instance */
struct settings
{
  char id[CLB_ID_MAX]; /* of this instance */
  char domain[CLB_NAME_MAX];
  char peer_addr[CLB_ADDR_MAX]; /* where peers reach this instance */
  int64_t boot;                 /* start time in ms; higher at every start */
  int64_t snap_every; /* journal rows between snapshots; 0: the default */
  /* Salt and hash of an operator key that is valid only until the first
     manifest is accepted.  Empty: none. */
  char first_salt[CLB_NAME_MAX];
  char first_hash[CONF_HASH_HEX];
};

/** struct peer - another entry instance */
struct peer
{
  char id[CLB_ID_MAX];
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX]; /* for peer messages */
  int64_t boot;            /* boot in its latest hello */
  int64_t last_contact_ms; /* time of its latest hello; 0: none */
  int64_t hello_sent_ms;   /* sent_ms of its latest hello, echoed to it */
  struct hello hello;      /* its latest hello */
  bool listed;             /* it is in the platform's list */
  bool held_reported;      /* it has reported the slots that it uses */
  int64_t held_query_ms;   /* time of the latest query for these slots */
};

/** enum pending_step - what a pending request waits for */
enum pending_step
{
  STEP_AWAIT_REPLY,  /* the lease holder's reply to a call */
  STEP_FORWARDED,    /* an executor's answer to a service request */
  STEP_RELEASING,    /* the lease holder's reply to CALL_RELEASE; the caller
                        has its answer */
  STEP_APPLY_OBJECT, /* the write of a new manifest's text */
  STEP_APPLY_HEAD,   /* the write of the head row for that manifest */
  STEP_APPLY_CHECK,  /* a read of the head row, after that write's answer was
                        lost */
};

/** struct pending - a caller's request in progress */
struct pending
{
  /* In node::pending. */
  RB_ENTRY (pending) by_seq;
  /* In node::callers, while http_call is set. */
  RB_ENTRY (pending) by_http_call;
  uint64_t http_call; /* request::http_call; 0: no caller waits any more */
  struct call call;   /* for the domain's lease holder */
  int step;           /* enum pending_step */
  char domain[CLB_NAME_MAX]; /* to whose holder the call is sent */
  char holder[CLB_ID_MAX];   /* to which the call was sent; empty: not sent */
  int64_t sent_ms;           /* of a forwarded request: call_sent_ms of the
                                reply that granted the slot; else time of the
                                latest call or store operation */
  int64_t deadline_ms;       /* the request fails at this time */
  int64_t arrival_ms;        /* when the caller's request arrived */
  int64_t tries;             /* number of forwards that got no answer */
  int64_t max_run_ms;        /* longest run of a service request */
  char executor[CLB_ID_MAX]; /* of the granted slot */
  /* The following members are used only for a new manifest. */
  uint64_t store_token;  /* of the outstanding store operation; 0: none */
  char *manifest;        /* its text, owned */
  int64_t base_version;  /* configuration that the change was made from */
  int64_t head_ver;      /* row version of the head row of base_version */
  bool may_have_applied; /* a write of the head row has an unknown outcome */
  struct head_row head;  /* the head row to be written */
};
RB_HEAD (pending_tree, pending);
RB_HEAD (caller_tree, pending);
RB_PROTOTYPE (pending_tree, pending, by_seq, pending_seq_cmp)
RB_PROTOTYPE (caller_tree, pending, by_http_call, pending_http_call_cmp)
int pending_seq_cmp (const struct pending *a, const struct pending *b);
int pending_http_call_cmp (const struct pending *a, const struct pending *b);

/** struct node_stats - counters of one entry instance */
struct node_stats
{
  uint64_t answers[-CLB_ERR_LAST]; /* by negated error number, 0: success */
  uint64_t requests;               /* service requests included */
  uint64_t service_requests;
  uint64_t retries;      /* calls sent again to a holder */
  uint64_t late_replies; /* replies whose call is not pending any more */
  uint64_t stale_slots;  /* slots granted too long ago to be used */
  uint64_t forward_ends[FORWARD_ABORTED + 1]; /* by enum forward_end */
  uint64_t store_errors; /* table service unreachable or outcome unknown */
  uint64_t hellos;
  /* Changes of this instance's role, by reason. */
  uint64_t role_changes[WHY_N];
};

/** struct node - one entry instance */
struct node
{
  struct settings settings;
  int64_t now_ms;            /* time of the latest input */
  struct outq out;           /* outputs for node_next_out() */
  uint64_t last_store_token; /* last token given to a store operation */
  struct role role;
  struct sched *sched;  /* the domain's scheduler; NULL unless holder */
  struct conf *conf;    /* in force; empty until a manifest is accepted */
  struct head_row head; /* of conf; version 0: none accepted */
  int64_t head_ver;     /* row version of head */
  /* Latest time at which conf is known to be current. */
  int64_t conf_verified_ms;
  /* Polling of the head row. */
  uint64_t head_token; /* of the outstanding read; 0: none */
  int64_t head_sent_ms;
  int64_t next_head_ms;
  /* Reading of a new manifest. */
  uint64_t object_token;       /* of the outstanding read; 0: none */
  struct head_row object_head; /* head row that names the manifest */
  int64_t object_ver;          /* row version of object_head */
  int64_t object_sent_ms;      /* when the read of object_head was sent */
  /* Polling of the platform's list of instances. */
  uint64_t list_token; /* of the outstanding read; 0: none */
  int64_t list_sent_ms;
  int64_t next_list_ms;
  struct inst_list list; /* as last read */
  bool list_known;       /* list has been read at least once */
  int64_t list_ver;      /* version of list */
  int64_t list_ms;       /* when the read was sent that last confirmed list */
  struct peer peers[PEERS_MAX];
  int n_peers;
  int64_t next_hello_ms;
  bool extended;        /* the lease is extended by the peers' promises */
  bool store_down;      /* the table was unreachable at the last event */
  bool reported_holder; /* hello::holder of the last hellos */
  /* Capacity of the domain as in the last hellos; zero unless holder. */
  struct pool_sum capacity;
  struct pending_tree pending; /* by seq of the call */
  struct caller_tree callers;  /* those with a waiting caller, by http_call */
  int n_pending;
  int64_t last_call_seq;   /* seq of the latest call */
  int64_t next_pending_ms; /* next check of deadlines and retries */
  bool stopping;           /* node_stop() was called */
  int64_t stopping_ms;     /* when it was called */
  bool handed_over; /* the lease is released, or the release timed out */
  struct node_stats stats;
};

/** node_init() - Initialize @n; copies @set.  Free with node_fini(). */
void node_init (struct node *n, const struct settings *set, int64_t now_ms);
/** node_fini() - Free what @n owns, but not @n itself. */
void node_fini (struct node *n);

/* Inputs.  @now_ms is the time of a monotonic clock. */

/** node_request() - A caller's request has arrived. */
void node_request (struct node *n, int64_t now_ms, const struct request *rq);
/** node_caller_gone() - The caller of request @http_call has disconnected. */
void node_caller_gone (struct node *n, int64_t now_ms, uint64_t http_call);
/**
 * node_forward_done() - A forwarded service request has ended.
 * @http_call: request::http_call
 * @end: enum forward_end
 *
 * If the executor has answered, the answer was already passed to the caller.
 * For every other end the node answers the caller.
 */
void node_forward_done (struct node *n, int64_t now_ms, uint64_t http_call,
                        int end);
/** node_peer_msg() - A message from another entry instance has arrived. */
void node_peer_msg (struct node *n, int64_t now_ms, const struct pmsg *m);
/** node_store_answer() - The answer to the store operation @token has arrived.
 */
void node_store_answer (struct node *n, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep);
/**
 * node_sync_done() - The sync @seq with a worker has ended.
 * @rep: the worker's report, or NULL if there was no answer
 */
void node_sync_done (struct node *n, int64_t now_ms, const char *worker,
                     int64_t seq, const struct sync_rep *rep);
/** node_tick() - Handle timers; to be called regularly. */
void node_tick (struct node *n, int64_t now_ms);
/**
 * node_next_out() - Take the next output.
 *
 * Return: the output, which the caller frees with out_free(), or NULL.
 */
struct out *node_next_out (struct node *n);

/** node_stop() - Begin a graceful shutdown. */
void node_stop (struct node *n, int64_t now_ms);
/** node_stopped() - Whether the shutdown is complete. */
bool node_stopped (const struct node *n);

/**
 * node_authorize() - Check a caller's key.
 * @bearer: the key, or NULL
 * @team: set to the key's team; empty for an operator
 *
 * Return: 0, %CLB_ESTALE or %CLB_EKEY.
 */
int node_authorize (struct node *n, int64_t now_ms, const char *bearer,
                    char team[CLB_NAME_MAX]);

/**
 * node_may_forward() - Whether request @http_call may still use its slot.
 *
 * To be checked right before the first byte is sent to the executor.
 */
bool node_may_forward (const struct node *n, int64_t now_ms,
                       uint64_t http_call);

/** node_find_peer() - The peer @id, or NULL. */
const struct peer *node_find_peer (const struct node *n, const char *id);

/* view.c */

/** view_status() - State of the instance as JSON; the caller frees it. */
char *view_status (struct node *n);
/** view_metrics() - Counters in Prometheus text format; the caller frees. */
char *view_metrics (struct node *n);

/* Functions that entry.c, apply.c and service.c use from each other. */

/** entry_pending_by_http_call() - The request @http_call, or NULL. */
struct pending *entry_pending_by_http_call (struct node *n,
                                            uint64_t http_call);
/** entry_pending_send() - Send the call to its domain's holder, if known. */
void entry_pending_send (struct node *n, struct pending *p);
/**
 * entry_pending_release() - Report the end of a service request.
 * @state: enum task_state
 * @executor_failed: counts as a failure of the executor
 *
 * Detaches the caller and calls the lease holder until it confirms.
 */
void entry_pending_release (struct node *n, struct pending *p, int state,
                            bool executor_failed);
/** entry_pending_detach() - Detach the caller, who no longer waits. */
void entry_pending_detach (struct node *n, struct pending *p);
/**
 * entry_team_for() - Find the team that is charged for a request.
 * @q: the request's queue
 * @team: set to the team's name
 *
 * Return: 0, %CLB_ESTALE, %CLB_EKEY or %CLB_EDENIED.
 */
int entry_team_for (struct node *n, const struct request *rq,
                    const struct conf_queue *q, char team[CLB_NAME_MAX]);
/** entry_pick_domain() - Best domain for @spec; NULL if none has a holder. */
const char *entry_pick_domain (struct node *n, const struct spec *spec);
/**
 * service_request() - Handle a service request.
 * @rest: the path after "/v1/service/": queue name and query string
 */
void service_request (struct node *n, const struct request *rq,
                      const char *rest);
/**
 * service_forward() - Forward a request to the executor of its slot.
 * @r: reply that grants the slot; a slot granted too long ago is not used
 */
void service_forward (struct node *n, struct pending *p,
                      const struct reply *r);
/** entry_answer_json() - As entry_answer(), with @json, which it frees. */
void entry_answer_json (struct node *n, uint64_t http_call, int status,
                        json_t *json, int64_t retry_ms);
/**
 * entry_answer_err() - Answer request @http_call with an error.
 * @field: the wrong field, or NULL
 * @id: id of the task or service request, or NULL
 * @retry_ms: delay after which a retry may succeed; 0: none
 */
void entry_answer_err (struct node *n, uint64_t http_call, int err,
                       const char *field, const char *id, int64_t retry_ms);
/** entry_refuse() - Answer a request that is refused on arrival. */
void entry_refuse (struct node *n, uint64_t http_call, int err,
                   const char *field);
/** entry_finish_err() - Answer a pending request with an error and free it. */
void entry_finish_err (struct node *n, struct pending *p, int err,
                       int64_t retry_ms);
/**
 * entry_pending_new() - Create a pending request.
 * @http_call: request::http_call; 0: no caller waits
 * @verb: enum call_verb; %CALL_N for a new manifest
 *
 * Return: the request, owned by @n until entry_pending_free().
 */
struct pending *entry_pending_new (struct node *n, uint64_t http_call,
                                   int verb);
/** entry_pending_free() - Remove a pending request and free it. */
void entry_pending_free (struct node *n, struct pending *p);
/** entry_id_ok() - Whether a caller's id has valid length and characters. */
bool entry_id_ok (const char *id);
/** entry_query_number() - Number after @name, "name=", in @query, or 0. */
int64_t entry_query_number (const char *query, const char *name);
/** apply_request() - Handle an operator's new manifest. */
void apply_request (struct node *n, const struct request *rq,
                    const char *query);
/** apply_show() - Answer with the configuration in force. */
void apply_show (struct node *n, const struct request *rq);
/** apply_tick() - Follow up a store operation without an answer. */
void apply_tick (struct node *n, struct pending *p);

/* Functions that node.c uses from entry.c, apply.c and service.c. */

/** entry_tick() - Check deadlines and retries of the pending requests. */
void entry_tick (struct node *n);
/** entry_reply() - A lease holder's reply to a call has arrived. */
void entry_reply (struct node *n, const struct reply *r);
/**
 * apply_store_answer() - Handle the answer to a store operation for a new
 * manifest.
 *
 * Return: false if @token is not of such an operation.
 */
bool apply_store_answer (struct node *n, uint64_t token,
                         const struct store_rep *rep);
/**
 * entry_answer() - Answer a caller.
 * @http_call: request::http_call; 0: no caller waits, do nothing
 * @status: HTTP status
 * @body: the answer's body, which is freed with the output
 * @retry_ms: delay after which a retry may succeed; 0: none
 */
void entry_answer (struct node *n, uint64_t http_call, int status, char *body,
                   int64_t retry_ms);
/** entry_held_slots() - List the slots in use; the caller frees the items. */
void entry_held_slots (struct node *n, struct held_list *out);
/** entry_fini() - Free all pending requests. */
void entry_fini (struct node *n);
/** entry_apply_in_progress() - Whether a new manifest is being written. */
bool entry_apply_in_progress (struct node *n);

/* Functions that entry.c, apply.c and service.c use from node.c. */

/** node_get_peer() - Find or add the peer @id; NULL if full or this node. */
struct peer *node_get_peer (struct node *n, const char *id);
/** node_holder() - Id of the instance that schedules @domain, or NULL. */
const char *node_holder (struct node *n, const char *domain);
/** node_send() - Send @m to instance @to; takes over what @m owns. */
void node_send (struct node *n, const char *to, struct pmsg *m);
/** node_conf_fresh() - Whether the configuration is known to be current. */
bool node_conf_fresh (const struct node *n);
/**
 * node_install_conf() - Put a newer configuration into force.
 * @head: its head row
 * @ver: row version of @head
 * @text: the manifest
 *
 * Does nothing if @head is not newer or @text is damaged.
 */
void node_install_conf (struct node *n, const struct head_row *head,
                        int64_t ver, const char *text);

#endif
