/**
 * DOC: Scenario host: runs the daemon's core in one process on a virtual
 * clock, with stand-ins for the platform, workers and executors.  The seed
 * determines every random choice.
 *
 * world.c simulates time and the network, heap.c orders the messages by
 * arrival, check.c compares what workers, executors and callers observed with
 * the guarantees, and verbs.c is the Lua interface.
 */
#ifndef WORLD_H
#define WORLD_H

#include "fstore.h"
#include "fworker.h"
#include "node.h"

enum
{
  NODES_MAX = 16,      /* entry instances of all domains */
  SERVERS_MAX = 64,    /* workers and executors of all domains */
  PARTITIONS_MAX = 16, /* network partitions at the same time */
  /* Virtual time between two ticks of an entry instance or worker. */
  TICK_MS = 10,
  CALLS_MAX = 20000, /* callers' requests in one scenario */
};

/** struct sim_node - an entry instance */
struct sim_node
{
  struct settings settings;
  struct node node;
  /* The instance's process exists; true also while it is frozen
     or stopping. */
  bool up;
  bool frozen;   /* the instance's process is paused, as by SIGSTOP */
  bool stopping; /* a planned stop has begun and has not ended */
  /* Generation of the instance's process, raised by 1 at each start and each
     kill of the process: odd while a process exists, even while none does.  A
     message to the instance is lost if the generation has changed since the
     message was sent. */
  int generation;
};

/** struct sim_server - a worker or executor */
struct sim_server
{
  struct inst inst;
  struct fworker worker;
  bool listed;      /* the platform's list of instances contains the server */
  bool unreachable; /* requests and syncs to the server are lost */
  /* The server carries out syncs, but its replies to them are lost. */
  bool drops_replies;
  /* Executors: the connection breaks while a request is being served. */
  bool breaks_connections;
  /* Executors: every new connection is refused, so that nothing runs. */
  bool refuses_connections;
  /* When the server began to leave; 0: it is not leaving. */
  int64_t leaving_since_ms;
  int64_t n_serving; /* executors: number of requests being served */
  /* Resources used by the task runs and service requests that are running on
     the server at this moment, whatever the scheduler knows of them. */
  struct clb_res used;
  struct world *world;
};

/** enum store_mode - how the platform's table and object store behave */
enum store_mode
{
  STORE_UP,            /* carries out and answers every operation */
  STORE_REFUSES,       /* answers CLB_EUNAVAIL, carries out nothing */
  STORE_HANGS,         /* carries out and answers nothing */
  STORE_DROPS_REPLIES, /* carries out every operation and answers nothing */
};

/** struct caller_request - a caller's HTTP request, and the answer to it */
struct caller_request
{
  /* Id of the entry instance that the caller is connected to. */
  char entry_id[CLB_ID_MAX];
  /* "team:request id"; empty: the checker does not check the answer. */
  char name[CLB_ID_MAX];
  bool idempotent;           /* the request may run more than once */
  bool service;              /* true: service request; false: any other */
  bool keyed;                /* neither set nor read */
  char key_id[CLB_NAME_MAX]; /* id of the caller's key; empty: unknown */
  int64_t sent_ms;
  int64_t answered_ms; /* 0: no answer yet */
  /* HTTP status; 0: no answer yet; -1: the caller's connection broke. */
  int status;
  char *body;    /* text of the answer; NULL: no answer */
  bool complete; /* the whole answer has arrived */
  /* Service requests: run time at the executor; 0: the default. */
  int64_t run_ms;
  int n_answers; /* number of answers received; more than 1 is a violation */
};

/** struct team_limit - a team's upper limit, with the time of its change */
struct team_limit
{
  char team[CLB_NAME_MAX];
  struct clb_res amount;
  /* Time of the change's acceptance, or of the request for the change if its
     outcome is unknown. */
  int64_t since_ms;
  /* The change was requested, but is not known to be accepted. */
  bool outcome_unknown;
};

/** enum sim_message_kind - what a simulated message is and who receives it */
enum sim_message_kind
{
  SIM_MSG_PEER,           /* from one entry instance to another */
  SIM_MSG_STORE_REQ,      /* a store operation, to the platform */
  SIM_MSG_STORE_REPLY,    /* the reply or timeout of a store operation */
  SIM_MSG_SYNC_REQ,       /* a sync, to a worker or executor */
  SIM_MSG_SYNC_REPLY,     /* the reply or timeout of a sync */
  SIM_MSG_SERVICE_REQ,    /* a service request, to an executor */
  SIM_MSG_SERVICE_RESULT, /* how a service request ended, to the entry
                             instance that forwarded it */
  SIM_MSG_INSTANCE_LIST,  /* the platform's list of instances changes */
};

/** struct sim_message - a message that has been sent and has not arrived */
struct sim_message
{
  int64_t arrival_ms;
  /* Order of the calls of world_push(); breaks ties between messages that
     arrive at the same time. */
  uint64_t push_seq;
  int kind; /* enum sim_message_kind */
  /* Index in world::nodes of the entry instance that sent the message or will
     receive it.  SIM_MSG_PEER: index of the receiver.  SIM_MSG_INSTANCE_LIST:
     not used. */
  int node_index;
  /* sim_node::generation of the entry instance node_index when the message was
     sent.  A message to the instance is lost if the generation has changed
     before the message arrives. */
  int generation;
  /* Domain of the sender; for messages between an entry instance and the
     platform, domain of the entry instance.  Decides whether a partition
     stops the message. */
  char from[CLB_NAME_MAX];
  char to[CLB_NAME_MAX]; /* SIM_MSG_PEER: domain of the receiver */
  /* Id of the worker or executor; for SIM_MSG_PEER, id of the sending entry
     instance. */
  char server[CLB_ID_MAX];
  uint64_t token; /* matches a store reply with its operation */
  /* SIM_MSG_SYNC_REQ and SIM_MSG_SYNC_REPLY: the sync's sequence number.
     SIM_MSG_SERVICE_RESULT: 0 until the executor has ended the request, then
     1. */
  int64_t seq_no;
  /* SIM_MSG_SERVICE_REQ and SIM_MSG_SERVICE_RESULT: index of the caller's
     request in world::calls.  SIM_MSG_STORE_REPLY: 1 if the message is the
     daemon's own report of a timeout, 0 if it is the platform's reply. */
  int call;
  /* SIM_MSG_SERVICE_RESULT: how the forwarded request ended, a value of enum
     forward_end. */
  int forward_end;
  char *text; /* encoded message; NULL: none; freed with the message */
  size_t len; /* bytes of text */
};

/** struct world - the simulated system of one scenario */
struct world
{
  int64_t now_ms; /* virtual time */
  uint64_t rng;   /* state of the random number generator */
  struct fstore *store;
  int store_mode; /* enum store_mode */
  /* Added to the delay of every operation on its way to the store. */
  int64_t store_delay_ms;
  /* Percentage of store writes that are carried out but not answered. */
  int lost_reply_percent;
  /* Percentage of store operations and syncs that get an extra delay of up to
     1900 ms. */
  int late_percent;
  struct sim_node nodes[NODES_MAX];
  int n_nodes;
  struct sim_server servers[SERVERS_MAX];
  int n_servers;
  /* Network partitions in effect.  Both a and b are the id of an entry
     instance, a domain or "platform"; messages between a and b are stopped. */
  struct
  {
    char a[CLB_NAME_MAX];
    char b[CLB_NAME_MAX];
    bool one_way; /* only messages from a to b are stopped */
  } partitions[PARTITIONS_MAX];
  int n_partitions;
  /* Time until a change of the platform's list of instances is visible. */
  int64_t list_lag_ms;
  /* When the platform last had a fault; 0: it has had none. */
  int64_t platform_fault_ms;
  /* Binary heap of the sent messages, ordered by arrival. */
  struct sim_message **heap;
  size_t n_heap;   /* number of messages in the heap */
  size_t cap_heap; /* number of messages that the heap has memory for */
  /* sim_message::push_seq of the last message that was queued; 0: none. */
  uint64_t last_push_seq;
  /* All requests of callers in this scenario, in the order of sending. */
  struct caller_request *calls;
  int n_calls;
  /* Last boot number given to an entry instance, worker or executor. */
  int64_t last_boot;
  bool trace; /* answers, events and runs are printed */
  struct check *check;
};

/* world.c */
/**
 * world_init() - Set up a world without instances.
 * @seed: determines every random choice
 */
void world_init (struct world *w, uint64_t seed);
/** world_fini() - Free everything that the world @w owns. */
void world_fini (struct world *w);
/** world_random() - Return a random number from 0 to @below - 1. */
uint64_t world_random (struct world *w, uint64_t below);
/** world_node() - Return the entry instance @id; NULL if there is none. */
struct sim_node *world_node (struct world *w, const char *id);
/**
 * world_server() - Return the worker or executor @id; NULL if there is none.
 */
struct sim_server *world_server (struct world *w, const char *id);
/** world_add_node() - Add an entry instance and start its process. */
struct sim_node *world_add_node (struct world *w, const char *id,
                                 const char *domain);
/** world_start_node() - Start a new process of @n, unless one exists. */
void world_start_node (struct world *w, struct sim_node *n);
/** world_kill_node() - End the process of @n as by SIGKILL. */
void world_kill_node (struct world *w, struct sim_node *n);
/** world_thaw_node() - Resume the frozen process of @n, as by SIGCONT. */
void world_thaw_node (struct world *w, struct sim_node *n);
/**
 * world_add_server() - Add a worker or executor.
 * @kind: INST_WORKER or INST_EXECUTOR
 */
struct sim_server *world_add_server (struct world *w, const char *id,
                                     const char *domain, const char *rack,
                                     int kind, const struct clb_res *capacity);
/**
 * world_publish_instances() - Update the platform's list of instances.
 *
 * The update is visible after world::list_lag_ms.
 */
void world_publish_instances (struct world *w);
/**
 * world_run() - Let @ms of virtual time pass.
 *
 * The function returns earlier if a guarantee is violated.
 */
void world_run (struct world *w, int64_t ms);
/**
 * world_send_request() - Send a caller's request to an entry instance.
 * @template: request with the fields that the caller chooses; copied
 * @method: enum method
 * @bearer: bearer token, or NULL
 * @request_id: value of the X-Request-Id header, or NULL
 * @body: text of the request's body, or NULL
 *
 * Return: the index of the request in world::calls.
 */
int world_send_request (struct world *w, const struct caller_request *template,
                        int method, const char *path, const char *bearer,
                        const char *request_id, const char *body);

/* heap.c */
/** world_push() - Queue @msg; the function takes ownership of @msg. */
void world_push (struct world *w, struct sim_message *msg);
/**
 * world_pop() - Remove and return the message that arrives first.
 *
 * At least one message must be queued.  The caller owns the message.
 */
struct sim_message *world_pop (struct world *w);

/* check.c */
/** check_new() - Create the checker of the world @w. */
struct check *check_new (struct world *w);
/** check_free() - Free the checker @c. */
void check_free (struct check *c);
/**
 * check_run() - Record and check that a run starts or ends on a worker.
 * @started: true: the run has started; false: the run has ended
 */
void check_run (struct check *c, struct sim_server *s, const struct frun *run,
                bool started);
/**
 * check_service_run() - Record and check a service request at an executor.
 * @call: index of the request in world::calls
 * @started: true: the executor starts to serve the request; false: the request
 * has ended at the executor
 */
void check_service_run (struct check *c, struct sim_server *s, int call,
                        bool started);
/** check_note_request() - Record that a caller sends the request @call. */
void check_note_request (struct check *c, const struct caller_request *call);
/** check_answer() - Check the answer that the caller of @call received. */
void check_answer (struct check *c, struct caller_request *call);
/**
 * check_note_limit() - Record that a team's upper limit changes at this time.
 * @outcome_unknown: true: the change is requested and not known to be
 * accepted; false: the change is accepted
 */
void check_note_limit (struct check *c, const char *team,
                       const struct clb_res *amount, bool outcome_unknown);
/** check_note_key_withdrawn() - Record that a key is withdrawn now. */
void check_note_key_withdrawn (struct check *c, const char *key_id);
/**
 * check_next_accepted() - Iterate over the accepted tasks.
 * @at: position of the iteration, 0 before the first call
 *
 * Return: the id of the next accepted task, or NULL at the end.
 */
const char *check_next_accepted (struct check *c, int *at);
/**
 * check_final_state() - Check the last reported state of an accepted task.
 * @id: id of the task
 * @state: state that an entry instance reported once all faults had ended
 */
void check_final_state (struct check *c, const char *id, const char *state);
/** check_violation() - Return the first violation that was found, or NULL. */
const char *check_violation (const struct check *c);
/**
 * check_count_starts() - Return how often a request was started on any
 * worker or executor.
 * @name: "team:request id"
 */
int check_count_starts (const struct check *c, const char *name);
/** check_used_cores() - Return the cores in use by a team in all domains. */
int64_t check_used_cores (struct check *c, const char *team);

#endif
