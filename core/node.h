/**
 * DOC: One entry instance: callers' requests, configuration, peers, and the
 * domain's scheduler while this instance holds the lease.
 *
 * The node does no input or output.  Whoever runs it feeds inputs with the
 * present time and then takes what it wants done from @out.
 */
#ifndef NODE_H
#define NODE_H

#include "role.h"
#include "sched.h"

enum
{
  PEERS_MAX = 64,
  PENDING_MAX = 4096,   /* callers' requests in hand */
  CONF_FRESH_MS = 3000, /* keyed work needs a proof this young */
  HELLO_PERIOD_MS = 1000,
  PEER_UNREACHABLE_MS = 3000, /* then it is not sent anything */
  SUBMIT_WAIT_MS = 10000,     /* longest that a caller waits to be accepted */
  FORWARD_DEADLINE_MS
  = 2000,             /* a slot is used this soon after asking, or not */
  BODY_MAX = 1 << 20, /* bytes of a task request */
};

enum method
{
  METHOD_GET,
  METHOD_POST,
  METHOD_PUT,
  METHOD_DELETE,
  METHOD_OTHER,
};

/** struct request - from a caller, all borrowed */
struct request
{
  uint64_t http_call;     /* chosen by the shell, not reused */
  int method;             /* enum method */
  const char *path;       /* "/v1/tasks/..." with the query */
  const char *bearer;     /* key, or NULL */
  const char *request_id; /* of a service request, or NULL */
  const char *body;
  size_t body_len;
};

/** enum forward_end - how a service request at an executor ended */
enum forward_end
{
  FORWARD_OK,        /* the whole answer was passed on */
  FORWARD_ERROR,     /* likewise, and it was a server error */
  FORWARD_UNREACHED, /* no byte left: nothing ran */
  FORWARD_FAILED,    /* bytes left, and no whole answer came */
  FORWARD_ABORTED,   /* the caller went away, or the time was up */
};

struct settings
{
  char id[CLB_ID_MAX];
  char domain[CLB_NAME_MAX];
  char peer_addr[CLB_ADDR_MAX];
  int64_t boot;       /* rises at every start; milliseconds */
  int64_t snap_every; /* journal rows between snapshots; 0: the usual */
  /* An operator's key that works only until a manifest is accepted. */
  char first_salt[CLB_NAME_MAX];
  char first_hash[CONF_HASH_HEX];
};

struct peer
{
  char id[CLB_ID_MAX];
  char domain[CLB_NAME_MAX];
  char addr[CLB_ADDR_MAX];
  int64_t boot;
  int64_t last_contact_ms; /* 0: never */
  int64_t hello_sent_ms;   /* latest, echoed back */
  struct hello hello;
  bool listed;
  bool held_reported; /* has said which slots it uses */
  int64_t held_query_ms;
};

enum pending_step
{
  STEP_AWAIT_REPLY,  /* waits for a holder's reply */
  STEP_FORWARDED,    /* at an executor */
  STEP_RELEASING,    /* nobody waits; the holder must still hear of it */
  STEP_APPLY_OBJECT, /* a manifest being written */
  STEP_APPLY_HEAD,
  STEP_APPLY_CHECK,
};

/** struct pending - a caller's request in hand */
struct pending
{
  RB_ENTRY (pending) by_no;
  RB_ENTRY (pending) by_call;
  uint64_t http_call; /* the shell's number; 0 when nobody waits */
  struct call call;
  int step;                  /* enum pending_step */
  char domain[CLB_NAME_MAX]; /* where it is sent */
  char holder[CLB_ID_MAX];   /* last sent to; empty: not sent */
  int64_t sent_ms;
  int64_t deadline_ms;
  int64_t arrival_ms;
  int64_t tries;
  int64_t max_run_ms;
  char executor[CLB_ID_MAX];
  /* Of an apply. */
  uint64_t store_token;
  char *manifest;
  int64_t base_version;  /* that the change was made from */
  int64_t head_ver;      /* of the row that holds it */
  bool may_have_applied; /* a write's answer was lost */
  struct head_row head;
};
RB_HEAD (pending_tree, pending);
RB_HEAD (caller_tree, pending);
RB_PROTOTYPE (pending_tree, pending, by_no, pending_seq_cmp)
RB_PROTOTYPE (caller_tree, pending, by_call, pending_http_call_cmp)
int pending_seq_cmp (const struct pending *a, const struct pending *b);
int pending_http_call_cmp (const struct pending *a, const struct pending *b);

struct node_stats
{
  uint64_t answers[-CLB_ERR_LAST]; /* answers by error number */
  uint64_t requests;
  uint64_t service_requests;
  uint64_t retries;      /* calls repeated to a holder */
  uint64_t late_replies; /* for calls no longer in hand */
  uint64_t stale_slots;  /* granted too long ago to be used */
  uint64_t forward_ends[FORWARD_ABORTED + 1];
  uint64_t store_errors;
  uint64_t hellos;
  uint64_t role_changes[WHY_N]; /* of this instance's part, by reason */
};

struct node
{
  struct settings settings;
  int64_t now_ms;
  struct outq out; /* to be carried out by the shell */
  uint64_t tokens;
  struct role role;
  struct sched *sched; /* NULL unless holder */
  struct conf *conf;
  struct head_row head;
  int64_t head_ver;
  int64_t conf_verified_ms; /* latest time at which conf was proved current */
  uint64_t head_token;
  int64_t head_sent_ms;
  int64_t next_head_ms;
  uint64_t object_token;
  struct head_row object_head; /* whose manifest is being read */
  int64_t object_ver;
  int64_t object_sent_ms;
  uint64_t list_token;
  int64_t list_sent_ms;
  int64_t next_list_ms;
  struct inst_list list;
  bool list_known;
  int64_t list_ver;
  int64_t list_ms; /* when the list in hand was asked for */
  struct peer peers[PEERS_MAX];
  int n_peers;
  int64_t next_hello_ms;
  bool extended;        /* goes on under its peers' promises */
  bool store_down;      /* as last told */
  bool reported_holder; /* the last hello said that this instance schedules */
  struct pool_sum capacity; /* this domain's, while holder, as last told */
  struct pending_tree pending;
  struct caller_tree callers;
  int n_pending;
  int64_t last_call_seq;
  int64_t next_pending_ms;
  bool stopping;
  int64_t stopping_ms; /* since when */
  bool handed_over;
  struct node_stats stats;
};

void node_init (struct node *n, const struct settings *set, int64_t now_ms);
void node_fini (struct node *n);

/* Inputs.  @now_ms is monotonic and never falls. */
void node_request (struct node *n, int64_t now_ms, const struct request *rq);
/** node_caller_gone() - The caller of @call does not wait any more. */
void node_caller_gone (struct node *n, int64_t now_ms, uint64_t call);
/**
 * node_forwarded() - A forwarded service request has ended.
 *
 * The shell has passed an executor's answer on by itself; for every other end
 * the node answers.
 */
void node_forwarded (struct node *n, int64_t now_ms, uint64_t call, int end);
void node_peer (struct node *n, int64_t now_ms, const struct pmsg *m);
void node_store (struct node *n, int64_t now_ms, uint64_t token,
                 const struct store_rep *rep);
void node_sync (struct node *n, int64_t now_ms, const char *worker,
                int64_t seq, const struct sync_rep *rep);
void node_tick (struct node *n, int64_t now_ms);
/** node_next_out() - What is to be done next, or NULL. */
struct out *node_next_out (struct node *n);

/** node_stop() - Begin a graceful shutdown. */
void node_stop (struct node *n, int64_t now_ms);
/** node_stopped() - Whether nothing is in hand any more. */
bool node_stopped (const struct node *n);

/**
 * node_authorize() - Who may watch.
 * @team: the key's team; empty for an operator
 *
 * Return: 0, %CLB_ESTALE or %CLB_EKEY.
 */
int node_authorize (struct node *n, int64_t now_ms, const char *bearer,
                    char team[CLB_NAME_MAX]);

/** node_may_forward() - Ask again right before the first byte leaves. */
bool node_may_forward (const struct node *n, int64_t now_ms, uint64_t call);

const struct peer *node_find_peer (const struct node *n, const char *id);

/* view.c */

/** view_status() - The fleet as this instance sees it: JSON, caller frees. */
char *view_status (struct node *n);
/** view_metrics() - Counters in Prometheus text; the caller frees. */
char *view_metrics (struct node *n);

/* entry.c, apply.c and service.c, used by each other */
struct pending *entry_pending_by_http_call (struct node *n, uint64_t caller);
/** entry_pending_send() - To its domain's holder, if one is known. */
void entry_pending_send (struct node *n, struct pending *p);
/** entry_pending_release() - Tell the holder how it ended. */
void entry_pending_release (struct node *n, struct pending *p, int state,
                            bool bad);
/** entry_pending_detach() - Nobody waits for it any more. */
void entry_pending_detach (struct node *n, struct pending *p);
/** entry_team_for() - The team that @rq's work on @q is charged to. */
int entry_team_for (struct node *n, const struct request *rq,
                    const struct conf_queue *q, char team[CLB_NAME_MAX]);
/** entry_pick_domain() - Where @spec suits best; NULL without a holder. */
const char *entry_pick_domain (struct node *n, const struct spec *spec);
/** service_request() - A caller's request to the queue at @rest. */
void service_request (struct node *n, const struct request *rq,
                      const char *rest);
/** service_forward() - A slot was granted: use it, if it is not too old. */
void service_forward (struct node *n, struct pending *p,
                      const struct reply *r);
void entry_answer_json (struct node *n, uint64_t call, int status,
                        json_t *json, int64_t retry_ms);
void entry_answer_err (struct node *n, uint64_t call, int err,
                       const char *field, const char *id, int64_t retry_ms);
/** entry_refuse() - A refusal at once, with when to come back if it helps. */
void entry_refuse (struct node *n, uint64_t call, int err, const char *field);
/** entry_finish_err() - Answer the caller and forget the request. */
void entry_finish_err (struct node *n, struct pending *p, int err,
                       int64_t retry_ms);
struct pending *entry_pending_new (struct node *n, uint64_t caller, int verb);
void entry_pending_free (struct node *n, struct pending *p);
/** entry_id_ok() - Whether an id that a caller chose can be kept. */
bool entry_id_ok (const char *id);
/** entry_query_number() - The number behind "name=" in a query, or 0. */
int64_t entry_query_number (const char *query, const char *name);
/** apply_request() - An operator's new manifest. */
void apply_request (struct node *n, const struct request *rq,
                    const char *query);
void apply_show (struct node *n, const struct request *rq);
void apply_tick (struct node *n, struct pending *p);

/* entry.c, used by node.c */
void entry_tick (struct node *n);
void entry_reply (struct node *n, const struct reply *r);
/** apply_store() - Whether @token was an apply's, and handled. */
bool apply_store (struct node *n, uint64_t token, const struct store_rep *rep);
void entry_answer (struct node *n, uint64_t call, int status, char *body,
                   int64_t retry_ms);
void entry_held_slots (struct node *n, struct held_list *out);
void entry_fini (struct node *n);
/** entry_apply_in_progress() - Whether a change is under way here. */
bool entry_apply_in_progress (struct node *n);

/* node.c, used by entry.c */
struct peer *node_get_peer (struct node *n, const char *id);
/** node_holder() - Id of the instance that schedules @domain, or NULL. */
const char *node_holder (struct node *n, const char *domain);
void node_send (struct node *n, const char *to, struct pmsg *m);
bool node_conf_fresh (const struct node *n);
void node_install_conf (struct node *n, const struct head_row *head,
                        int64_t ver, const char *text);

#endif
