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
  /* A peer from which no hello has arrived for this time is unreachable and
     gets no calls. */
  PEER_UNREACHABLE_MS = 3000,
  /* Longest wait of a caller for a submitted task to be accepted. */
  SUBMIT_WAIT_MS = 10000,
  /* A granted slot may be used only within this time after the call that
     acquired it was sent, since the scheduler may later grant it to another
     request. */
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
  const char *bearer;     /* key from the Authorization header; NULL: none */
  const char *request_id; /* X-Request-Id of a service request; NULL: none */
  const char *body;       /* body_len bytes; may be NULL if that is 0 */
  size_t body_len;
};

/** enum forward_end - how forwarding a service request to an executor ended */
enum forward_end
{
  /* The whole answer was passed to the caller; its status is below 500. */
  FORWARD_OK,
  /* The whole answer was passed to the caller; its status is at least 500. */
  FORWARD_SERVER_ERROR,
  /* Nothing was sent to the executor, so the request did not run. */
  FORWARD_UNREACHED,
  /* The request was sent, but no part of an answer was received. */
  FORWARD_FAILED,
  /* The answer ended early, or the caller disconnected. */
  FORWARD_ABORTED,
};

/** struct settings - settings of one entry instance */
struct settings
{
  char id[CLB_ID_MAX];          /* id of this instance */
  char domain[CLB_NAME_MAX];    /* domain of this instance */
  char peer_addr[CLB_ADDR_MAX]; /* address that peers send messages to */
  int64_t boot;                 /* start time in ms; higher at every start */
  int64_t snap_every; /* journal rows between snapshots; 0: the default */
  /* Salt and hash of an operator key that is valid only until the first
     manifest is accepted.  Empty strings: there is no such key. */
  char first_key_salt[CLB_NAME_MAX];
  char first_key_hash[CONF_HASH_HEX];
};

/** struct peer - another entry instance */
struct peer
{
  char id[CLB_ID_MAX];
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX]; /* address for peer messages */
  /* Boot of the process that sent the peer's latest hello. */
  int64_t boot;
  /* When the peer's latest hello arrived; 0: none yet. */
  int64_t last_contact_ms;
  /* hello::sent_ms of the peer's latest hello, which the next hello to the
     peer echoes. */
  int64_t hello_sent_ms;
  struct hello hello; /* the peer's latest hello */
  /* True if the platform's list of instances contains the peer. */
  bool listed;
  /* True once the peer has reported its slots in use to the scheduler that
     this instance runs. */
  bool slots_reported;
  /* When the peer was last queried for its slots in use. */
  int64_t slots_query_ms;
};

/** enum pending_step - what a pending request waits for */
enum pending_step
{
  /* Waiting for the lease holder's reply to a call. */
  STEP_AWAIT_REPLY,
  /* Waiting for an executor's answer to a service request. */
  STEP_FORWARDED,
  /* Waiting for the lease holder's reply to CALL_RELEASE.  The caller has got
     its answer. */
  STEP_RELEASING,
  /* Waiting for the reply to the write of a new manifest's text. */
  STEP_APPLY_OBJECT,
  /* Waiting for the reply to the write of the head row that names a new
     manifest. */
  STEP_APPLY_HEAD,
  /* Waiting for the reply to a read of the head row.  The row is read if the
     reply to the write of the head row was lost. */
  STEP_APPLY_CHECK,
};

/** struct pending - a request in progress, usually a caller's */
struct pending
{
  /* Link in node::pending. */
  RB_ENTRY (pending) by_seq;
  /* Link in node::callers, while http_call is nonzero. */
  RB_ENTRY (pending) by_http_call;
  uint64_t http_call; /* request::http_call; 0: no caller waits any more */
  struct call call;   /* call to the lease holder of domain */
  int step;           /* enum pending_step */
  char domain[CLB_NAME_MAX]; /* domain whose lease holder gets the call */
  /* Instance to which the call was last sent; empty: not sent yet. */
  char holder[CLB_ID_MAX];
  /* Of a forwarded request: reply::call_sent_ms of the reply that granted its
     slot.  Of other requests: when the latest call or store operation was
     sent. */
  int64_t sent_ms;
  int64_t deadline_ms;       /* the request fails at this time */
  int64_t arrival_ms;        /* when the caller's request arrived */
  int64_t tries;             /* number of forwards that got no answer */
  int64_t max_run_ms;        /* longest run time of a service request */
  char executor[CLB_ID_MAX]; /* executor of the granted slot */
  /* The following members are used only for a new manifest. */
  uint64_t store_token; /* token of the outstanding store op; 0: none */
  char *manifest;       /* text of the manifest, freed with the request */
  /* Version of the configuration from which the change was made. */
  int64_t base_version;
  int64_t head_ver; /* row version of the head row that has base_version */
  /* True if a write of the head row has an unknown outcome. */
  bool may_have_applied;
  struct head_row head; /* the head row to be written */
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
  /* Answers to callers, indexed by negated enum clb_err; index 0: success. */
  uint64_t answers[-CLB_ERR_LAST];
  uint64_t requests; /* callers' requests, including service requests */
  uint64_t service_requests;
  uint64_t retries;      /* calls that were sent again to a lease holder */
  uint64_t late_replies; /* replies whose call is not pending any more */
  /* Granted slots that were not used, since they were granted too long ago. */
  uint64_t stale_slots;
  uint64_t forward_ends[FORWARD_ABORTED + 1]; /* by enum forward_end */
  /* Store operations for which the table service was unreachable or whose
     outcome is unknown. */
  uint64_t store_errors;
  uint64_t hellos; /* hellos sent to peers */
  /* Changes of this instance's role, by enum clb_reason. */
  uint64_t role_changes[WHY_N];
};

/** struct node - one entry instance */
struct node
{
  struct settings settings;
  int64_t now_ms;      /* time of the latest input */
  struct outq out;     /* outputs for node_next_out() */
  uint64_t last_token; /* last token given to a store operation */
  struct role role;    /* this instance's part in the election */
  struct sched *sched; /* the domain's scheduler; NULL unless lease holder */
  /* Configuration in force; empty until a manifest is accepted. */
  struct conf *conf;
  struct head_row head; /* head row of conf; version 0: none accepted yet */
  int64_t head_ver;     /* row version of head */
  /* Latest time at which conf was verified to be the current configuration. */
  int64_t conf_verified_ms;
  /* Token of the outstanding read of the head row; 0: none. */
  uint64_t head_token;
  int64_t head_sent_ms; /* when the latest read of the head row was sent */
  int64_t next_head_ms; /* when the next read of the head row is due */
  /* Token of the outstanding read of a manifest; 0: none. */
  uint64_t manifest_token;
  /* Head row that names the manifest being read. */
  struct head_row manifest_head;
  int64_t manifest_head_ver; /* row version of manifest_head */
  /* When the read that returned manifest_head was sent. */
  int64_t manifest_sent_ms;
  /* Token of the outstanding read of the list of instances; 0: none. */
  uint64_t list_token;
  /* When the latest read of the list of instances was sent. */
  int64_t list_sent_ms;
  /* When the next read of the list of instances is due. */
  int64_t next_list_ms;
  struct inst_list list; /* the platform's list of instances as last read */
  bool list_known;       /* true once list has been read */
  int64_t list_ver;      /* the platform's version number of list */
  /* When the read that last returned or confirmed list was sent. */
  int64_t list_confirmed_ms;
  struct peer peers[PEERS_MAX];
  int n_peers;
  int64_t next_hello_ms; /* when the next hellos to the peers are due */
  /* True while the peers' promises extend this instance's lease. */
  bool lease_extended;
  /* True from a report of WHY_STORE_DOWN until that of WHY_STORE_BACK. */
  bool store_down;
  /* Value of hello::is_holder in the last sent hellos. */
  bool reported_as_holder;
  /* Capacity of the domain as in the last sent hellos; zero unless this
     instance is the lease holder. */
  struct pool_sum capacity;
  struct pending_tree pending; /* all pending requests, by call::seq */
  /* The pending requests with a waiting caller, by http_call. */
  struct caller_tree callers;
  int n_pending;         /* number of pending requests */
  int64_t last_call_seq; /* call::seq of the latest new request */
  /* When the deadlines and retries of pending requests are checked next. */
  int64_t next_pending_ms;
  bool stopping; /* true once node_stop() was called */
  /* When node_stop() was called; 0 before that. */
  int64_t stop_requested_ms;
  /* True at the end of a shutdown: this instance does not hold the lease any
     more, or the release of the lease timed out. */
  bool handed_over;
  struct node_stats stats;
};

/**
 * node_init() - Initialize a node.
 * @set: settings, which are copied
 * @now_ms: current time of a monotonic clock, in milliseconds
 *
 * Call node_fini() to free the memory that @n owns.
 */
void node_init (struct node *n, const struct settings *set, int64_t now_ms);
/** node_fini() - Free what @n owns, but not @n itself. */
void node_fini (struct node *n);

/* Inputs.  @now_ms is the current time of a monotonic clock, in
   milliseconds. */

/** node_request() - Handle a caller's request. */
void node_request (struct node *n, int64_t now_ms, const struct request *rq);
/** node_caller_gone() - Handle the disconnect of @http_call's caller. */
void node_caller_gone (struct node *n, int64_t now_ms, uint64_t http_call);
/**
 * node_forward_done() - Handle the end of a forwarded service request.
 * @http_call: request::http_call
 * @end: enum forward_end
 *
 * With %FORWARD_OK and %FORWARD_SERVER_ERROR the caller already has the
 * executor's answer.  For every other end the node answers the caller.
 */
void node_forward_done (struct node *n, int64_t now_ms, uint64_t http_call,
                        int end);
/** node_peer_msg() - Handle a message from another entry instance. */
void node_peer_msg (struct node *n, int64_t now_ms, const struct pmsg *m);
/**
 * node_store_reply() - Handle the reply to a store operation.
 * @token: token of the operation's output
 */
void node_store_reply (struct node *n, int64_t now_ms, uint64_t token,
                       const struct store_rep *rep);
/**
 * node_sync_done() - Handle the end of a sync with a worker.
 * @worker: id of the worker
 * @seq: sync_req::seq of the request
 * @rep: the worker's report, or NULL if there was no answer
 */
void node_sync_done (struct node *n, int64_t now_ms, const char *worker,
                     int64_t seq, const struct sync_rep *rep);
/** node_tick() - Handle timers; the caller calls this regularly. */
void node_tick (struct node *n, int64_t now_ms);
/**
 * node_next_out() - Take the next output.
 *
 * Return: the output, which the caller frees with out_free(); NULL if there
 * is none.
 */
struct out *node_next_out (struct node *n);

/** node_stop() - Begin a graceful shutdown; see node_stopped(). */
void node_stop (struct node *n, int64_t now_ms);
/** node_stopped() - Whether the graceful shutdown is complete. */
bool node_stopped (const struct node *n);

/**
 * node_authorize() - Check a caller's key.
 * @bearer: the key, or NULL
 * @team: set to the key's team; empty for an operator
 *
 * Return: 0, %CLB_EKEY, or %CLB_ESTALE if the configuration is not verified as
 * current.
 */
int node_authorize (struct node *n, int64_t now_ms, const char *bearer,
                    char team[CLB_NAME_MAX]);

/**
 * node_may_forward() - Whether request @http_call may still use its slot.
 *
 * The caller checks this right before it sends the first byte to the executor.
 */
bool node_may_forward (const struct node *n, int64_t now_ms,
                       uint64_t http_call);

/** node_find_peer() - Find the peer @id; return NULL if there is none. */
const struct peer *node_find_peer (const struct node *n, const char *id);

/* view.c */

/**
 * view_status() - Describe the state of the instance.
 *
 * Return: JSON text, which the caller frees.
 */
char *view_status (struct node *n);
/**
 * view_metrics() - Write the counters in Prometheus text format.
 *
 * Return: the text, which the caller frees; NULL if memory is exhausted.
 */
char *view_metrics (struct node *n);

/* Functions that entry.c, apply.c and service.c use from each other. */

/**
 * entry_pending_by_http_call() - Find a pending request by its caller.
 * @http_call: request::http_call
 *
 * Return: the request, or NULL if no such caller waits.
 */
struct pending *entry_pending_by_http_call (struct node *n,
                                            uint64_t http_call);
/**
 * entry_pending_send() - Send a request's call to its domain's lease holder.
 *
 * Does nothing if no holder is known.
 */
void entry_pending_send (struct node *n, struct pending *p);
/**
 * entry_pending_release() - Report the end of a service request.
 * @state: enum task_state
 * @executor_failed: true if this counts as a failure of the executor
 *
 * Detaches the caller and sends CALL_RELEASE to the lease holder, repeatedly
 * until the holder confirms it or the request's deadline passes.
 */
void entry_pending_release (struct node *n, struct pending *p, int state,
                            bool executor_failed);
/**
 * entry_pending_detach() - Detach the caller from request @p.
 *
 * The caller no longer waits for an answer; the request itself continues.
 */
void entry_pending_detach (struct node *n, struct pending *p);
/**
 * entry_team_for() - Find the team that is charged for a request.
 * @q: the request's queue
 * @team: set to the team's name
 *
 * Return: 0, %CLB_ESTALE, %CLB_EKEY, or %CLB_EDENIED if the key is an
 * operator's.
 */
int entry_team_for (struct node *n, const struct request *rq,
                    const struct conf_queue *q, char team[CLB_NAME_MAX]);
/**
 * entry_pick_domain() - Choose the domain that is to run @spec.
 *
 * Return: its name, which is borrowed; NULL if no domain has a lease holder.
 */
const char *entry_pick_domain (struct node *n, const struct spec *spec);
/**
 * service_request() - Handle a service request.
 * @rest: the path after "/v1/service/": queue name and query string
 */
void service_request (struct node *n, const struct request *rq,
                      const char *rest);
/**
 * service_forward() - Forward a service request to the executor of its slot.
 * @r: the reply that grants the slot
 *
 * If the slot was granted too long ago, refuses the request and releases the
 * slot instead.
 */
void service_forward (struct node *n, struct pending *p,
                      const struct reply *r);
/**
 * entry_answer_json() - Answer a caller with a JSON body.
 * @json: the body; the function takes ownership of the reference
 *
 * The other arguments are those of entry_answer().
 */
void entry_answer_json (struct node *n, uint64_t http_call, int status,
                        json_t *json, int64_t retry_ms);
/**
 * entry_answer_err() - Answer request @http_call with an error.
 * @err: enum clb_err
 * @field: the wrong field of the request, or NULL
 * @id: id of the task or service request, or NULL
 * @retry_ms: delay after which a retry may succeed; 0: not given
 */
void entry_answer_err (struct node *n, uint64_t http_call, int err,
                       const char *field, const char *id, int64_t retry_ms);
/**
 * entry_refuse() - Answer a request that is refused on arrival.
 * @err: enum clb_err
 * @field: the wrong field of the request, or NULL
 */
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
/** entry_id_ok() - Whether the length and characters of @id are valid. */
bool entry_id_ok (const char *id);
/**
 * entry_query_number() - Read a number from a query string.
 * @query: the query string, or NULL
 * @name: name of the parameter and "="
 *
 * Return: the number; 0 if the parameter is absent.
 */
int64_t entry_query_number (const char *query, const char *name);
/**
 * apply_request() - Handle an operator's request with a new manifest.
 * @query: the query string: what follows "/v1/config" in the path
 */
void apply_request (struct node *n, const struct request *rq,
                    const char *query);
/** apply_show() - Answer a request for the configuration in force. */
void apply_show (struct node *n, const struct request *rq);
/**
 * apply_tick() - Continue the write of a new manifest without a reply.
 *
 * Repeats the store operation or reads its outcome.  Does nothing before the
 * timeout of the operation.
 */
void apply_tick (struct node *n, struct pending *p);

/* Functions that node.c uses from entry.c, apply.c and service.c. */

/** entry_tick() - Check deadlines and retries of the pending requests. */
void entry_tick (struct node *n);
/** entry_reply() - Handle a lease holder's reply to a call. */
void entry_reply (struct node *n, const struct reply *r);
/**
 * apply_store_reply() - Handle the reply to a store operation.
 *
 * Return: true if @token is that of an operation for a new manifest; false if
 * it is not, and nothing was done.
 */
bool apply_store_reply (struct node *n, uint64_t token,
                        const struct store_rep *rep);
/**
 * entry_answer() - Answer a caller.
 * @http_call: request::http_call; 0: no caller waits, send nothing
 * @status: HTTP status
 * @body: the answer's body; the function takes ownership of it
 * @retry_ms: delay after which a retry may succeed; 0: not given
 */
void entry_answer (struct node *n, uint64_t http_call, int status, char *body,
                   int64_t retry_ms);
/**
 * entry_held_slots() - List the slots that this instance uses.
 * @out: set to the list, whose items the caller frees
 */
void entry_held_slots (struct node *n, struct held_list *out);
/** entry_fini() - Free all pending requests. */
void entry_fini (struct node *n);
/** entry_apply_in_progress() - Whether a new manifest is being written. */
bool entry_apply_in_progress (struct node *n);

/* Functions that entry.c, apply.c and service.c use from node.c. */

/**
 * node_get_peer() - Find the peer @id, or add it.
 *
 * Return: the peer; NULL if @id is this instance or %PEERS_MAX is reached.
 */
struct peer *node_get_peer (struct node *n, const char *id);
/**
 * node_holder() - Find the lease holder of a domain.
 *
 * Return: its instance id, which is borrowed; NULL if none is known.
 */
const char *node_holder (struct node *n, const char *domain);
/**
 * node_send() - Send a peer message.
 * @to: id of the receiving instance
 * @m: the message, whose sender is filled in; the function takes ownership of
 *     what @m owns
 */
void node_send (struct node *n, const char *to, struct pmsg *m);
/** node_conf_fresh() - Whether the configuration is verified as current. */
bool node_conf_fresh (const struct node *n);
/**
 * node_install_conf() - Put a newer configuration into force.
 * @head: head row of the configuration
 * @ver: row version of @head
 * @text: text of the manifest
 *
 * Does nothing if @head is not newer or @text is damaged.
 */
void node_install_conf (struct node *n, const struct head_row *head,
                        int64_t ver, const char *text);

#endif
