/**
 * DOC: Scenario host: runs the daemon's core in one process on a virtual
 * clock, with stand-ins for the platform, workers and executors.  The seed
 * determines every random choice.
 *
 * world.c moves messages and time, heap.c orders the messages, check.c checks
 * what workers, executors and callers saw against the guarantees, and verbs.c
 * is the Lua interface.
 */
#ifndef WORLD_H
#define WORLD_H

#include "fstore.h"
#include "fworker.h"
#include "node.h"

enum
{
  NODES_MAX = 16,
  SERVERS_MAX = 64,
  CUTS_MAX = 16,
  TICK_MS = 10,
  CALLS_MAX = 20000,
};

/** struct wnode - an entry instance */
struct wnode
{
  struct settings settings;
  struct node node;
  bool up;
  bool frozen;
  bool stopping;
  /* Number of the process, raised by each start and kill.  Messages to an
     earlier process are lost. */
  int generation;
};

/** struct wserver - a worker or executor */
struct wserver
{
  struct inst inst;
  struct fworker w;
  bool listed;
  bool unreachable;   /* requests to it are lost */
  bool drops_replies; /* workers: syncs are carried out, replies are lost */
  /* Executors: the connection breaks while a request is being served. */
  bool breaks_connections;
  bool refuses_connections; /* executors */
  int64_t leaving_since_ms; /* 0: not leaving */
  int64_t n_open;           /* executors: requests being served */
  /* Resources of the runs and requests that really run on it now. */
  struct clb_res used;
  struct world *world;
};

/** enum store_mode - how the platform's table and object store behave */
enum store_mode
{
  STORE_UP,
  STORE_REFUSES,       /* answers CLB_EUNAVAIL and does nothing */
  STORE_HANGS,         /* does nothing and answers nothing */
  STORE_DROPS_REPLIES, /* carries out every operation and answers nothing */
};

/** struct wcall - a request of a caller, and its answer */
struct wcall
{
  char entry[CLB_ID_MAX]; /* entry instance that the caller is connected to */
  char name[CLB_ID_MAX];  /* "team:request id"; empty: not checked */
  bool idempotent;
  bool service; /* a service request, not a task request */
  bool keyed;
  char key[CLB_NAME_MAX]; /* id of the caller's key */
  int64_t sent_ms;
  int64_t answered_ms;
  int status; /* HTTP status; 0: no answer yet; -1: the connection broke */
  char *body;
  bool complete;
  int64_t run_ms; /* service: time at the executor; 0: the default */
  int n_answers;
};

/** struct limit - a team's upper limit since some time */
struct limit
{
  char team[CLB_NAME_MAX];
  struct clb_res amount;
  int64_t since_ms;
  bool outcome_unknown; /* requested, but not known to be accepted */
};

/** enum item_kind - what a message on its way is */
enum item_kind
{
  ITEM_PEER,
  ITEM_STORE_REQ,
  ITEM_STORE_REP,
  ITEM_SYNC_REQ,
  ITEM_SYNC_REP,
  ITEM_FORWARD,     /* a service request to an executor */
  ITEM_FORWARD_END, /* its end, to the entry instance */
  ITEM_INSTANCES,   /* the platform's list of instances, published */
};

/** struct event_item - a message on its way */
struct event_item
{
  int64_t at_ms; /* arrival */
  uint64_t seq;  /* order of sending, for messages that arrive together */
  int kind;      /* enum item_kind */
  int node;      /* index of the entry instance that it concerns */
  int generation;
  /* Domains of sender and receiver, for cuts. */
  char from[CLB_NAME_MAX];
  char to[CLB_NAME_MAX];
  /* Worker or executor; for ITEM_PEER, the sending entry instance. */
  char server[CLB_ID_MAX];
  uint64_t token;
  /* Sequence number of a sync.  For ITEM_FORWARD_END: 1 once the executor's
     side has ended. */
  int64_t seq_no;
  /* Index of the call.  For ITEM_STORE_REP: 1 if the daemon itself reports
     that the operation timed out. */
  int call;
  int end; /* enum forward_end */
  char *text;
  size_t len;
};

struct world
{
  int64_t now_ms;
  uint64_t rng;
  struct fstore *store;
  int store_mode; /* enum store_mode */
  int64_t store_delay_ms;
  int lost_reply_percent; /* store writes that are done but not answered */
  int late_percent; /* store operations and syncs delayed by up to 1900 ms */
  struct wnode nodes[NODES_MAX];
  int n_nodes;
  struct wserver servers[SERVERS_MAX];
  int n_servers;
  /* Network partitions.  Each end is an instance id, a domain or
     "platform". */
  struct
  {
    char a[CLB_NAME_MAX];
    char b[CLB_NAME_MAX];
    bool one_way; /* only messages from a to b are lost */
  } cuts[CUTS_MAX];
  int n_cuts;
  int64_t list_lag_ms;       /* delay of the platform's list of instances */
  int64_t platform_fault_ms; /* when the platform last had a fault */
  struct event_item **heap;  /* messages on their way */
  size_t n_heap;
  size_t cap_heap;
  uint64_t seq; /* last event_item::seq */
  struct wcall *calls;
  int n_calls;
  int64_t last_boot; /* last boot number given to a node or server */
  bool trace;
  struct check *check;
};

/* world.c */
void world_init (struct world *w, uint64_t seed);
void world_fini (struct world *w);
/** world_random() - A number from 0 to @below - 1. */
uint64_t world_random (struct world *w, uint64_t below);
/** world_node() - The entry instance @id, or NULL. */
struct wnode *world_node (struct world *w, const char *id);
/** world_server() - The worker or executor @id, or NULL. */
struct wserver *world_server (struct world *w, const char *id);
/** world_add_node() - Add an entry instance and start it. */
struct wnode *world_add_node (struct world *w, const char *id,
                              const char *domain);
/** world_boot() - Start a new process of @n, unless one is running. */
void world_boot (struct world *w, struct wnode *n);
/** world_kill() - End the process of @n as by SIGKILL. */
void world_kill (struct world *w, struct wnode *n);
/** world_thaw() - Let the frozen process of @n continue, as by SIGCONT. */
void world_thaw (struct world *w, struct wnode *n);
struct wserver *world_add_server (struct world *w, const char *id,
                                  const char *domain, const char *rack,
                                  int kind, const struct clb_res *capacity);
/** world_publish() - Update the platform's list after list_lag_ms. */
void world_publish (struct world *w);
/** world_run() - Let @ms of virtual time pass, or less on a violation. */
void world_run (struct world *w, int64_t ms);
/** world_call() - Send a caller's request; returns its index in calls. */
int world_call (struct world *w, const struct wcall *proto, int method,
                const char *path, const char *bearer, const char *request_id,
                const char *body);

/* heap.c */
/** world_push() - Queue @it, which the world then owns. */
void world_push (struct world *w, struct event_item *it);
/** world_pop() - Take the message that arrives first; one must be queued. */
struct event_item *world_pop (struct world *w);

/* check.c */
struct check *check_new (struct world *w);
void check_free (struct check *c);
/** check_run() - A run has started or ended on the worker @s. */
void check_run (struct check *c, struct wserver *s, const struct frun *run,
                bool started);
/** check_served() - The executor @s starts or ends serving @call. */
void check_served (struct check *c, struct wserver *s, int call, bool started);
/** check_call() - A caller sends a request. */
void check_call (struct check *c, const struct wcall *call);
/** check_answer() - A caller has got its answer. */
void check_answer (struct check *c, struct wcall *call);
/**
 * check_limit() - A team's upper limit changes now.
 * @outcome_unknown: the change is requested but not yet accepted
 */
void check_limit (struct check *c, const char *team,
                  const struct clb_res *amount, bool outcome_unknown);
void check_key_withdrawn (struct check *c, const char *key);
/** check_next_accepted() - Iterate over accepted tasks; NULL at the end. */
const char *check_next_accepted (struct check *c, int *at);
/** check_final_state() - Check the state reported for an accepted task. */
void check_final_state (struct check *c, const char *id, const char *state);
/** check_violation() - The first violation that was found, or NULL. */
const char *check_violation (const struct check *c);
/** check_starts() - How often the request @name was started anywhere. */
int check_starts (const struct check *c, const char *name);
/** check_used_cores() - Cores that a team's tasks use in all domains. */
int64_t check_used_cores (struct check *c, const char *team);

#endif
