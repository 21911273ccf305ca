/**
 * DOC: Scenario host: the daemon's core in one process, on a virtual clock
 * and a seed, with the fakes at its interfaces.
 *
 * world.c moves messages and time, check.c holds what workers, executors and
 * callers saw against the guarantees, verbs.c is the Lua side.
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
  struct settings set;
  struct node node;
  bool up;
  bool frozen;
  bool stopping;
  int generation; /* messages to an earlier process are lost */
};

/** struct wserver - a worker or executor */
struct wserver
{
  struct inst inst;
  struct fworker w;
  bool listed;
  bool silent;         /* takes in nothing and answers nothing */
  bool mute;           /* takes in all and answers nothing */
  bool breaks;         /* executors: the connection breaks while it runs */
  bool refuses;        /* executors: no connection can be opened */
  int64_t leaving_ms;  /* since when, 0: not */
  int64_t open;        /* executors: requests being served */
  struct clb_res used; /* by what really runs */
  struct world *world;
};

/** enum store_mode - what the platform does with operations */
enum store_mode
{
  STORE_UP,
  STORE_REFUSES, /* answers that it did nothing */
  STORE_HANGS,   /* takes in nothing, answers nothing */
  STORE_DEAF,    /* does everything, answers nothing */
};

/** struct wcall - a request of a caller, and its answer */
struct wcall
{
  char entry[CLB_ID_MAX];
  char name[CLB_ID_MAX]; /* team:request id */
  bool idempotent;
  bool service;
  bool keyed;
  char key[CLB_NAME_MAX];
  int64_t sent_ms;
  int64_t answered_ms;
  int status; /* 0: none yet; -1: the connection broke */
  char *body;
  bool whole;
  int64_t run_ms; /* service: at the executor */
  int answers;
};

/** struct limit - a team's upper limit since some time */
struct limit
{
  char team[CLB_NAME_MAX];
  struct clb_res amount;
  int64_t since_ms;
  bool maybe; /* asked for; whether it was accepted is not known */
};

enum item_kind
{
  ITEM_PEER,
  ITEM_STORE_REQ,
  ITEM_STORE_REP,
  ITEM_SYNC_REQ,
  ITEM_SYNC_REP,
  ITEM_SERVE,
  ITEM_SERVED,
  ITEM_LIST,
};

/* struct event_item - a message on its way */
struct event_item
{
  int64_t at_ms;
  uint64_t seq;
  int kind; /* enum item_kind */
  int node; /* entry instance that it concerns */
  int generation;
  char from[CLB_NAME_MAX]; /* domain, for cuts */
  char to[CLB_NAME_MAX];
  char server[CLB_ID_MAX];
  uint64_t token;
  int64_t seq_no;
  int call;
  int end;
  char *text;
  size_t len;
};

struct world
{
  int64_t now_ms;
  uint64_t rng;
  struct fstore *store;
  int store_mode;
  int64_t store_slow_ms;
  int lose_per_cent; /* writes whose answer is lost */
  int late_per_cent; /* operations and syncs that arrive very late */
  struct wnode nodes[NODES_MAX];
  int n_nodes;
  struct wserver servers[SERVERS_MAX];
  int n_servers;
  struct
  {
    char a[CLB_NAME_MAX];
    char b[CLB_NAME_MAX];
    bool one_way;
  } cuts[CUTS_MAX];
  int n_cuts;
  int64_t list_lag_ms;
  int64_t platform_bad_ms; /* when the platform was last not at its best */
  struct event_item **heap;
  size_t n_heap;
  size_t cap_heap;
  uint64_t seq;
  struct wcall *calls;
  int n_calls;
  int64_t next_boot;
  bool trace;
  /* check.c */
  struct check *check;
};

/* world.c */
void world_init (struct world *w, uint64_t seed);
void world_fini (struct world *w);
uint64_t world_random (struct world *w, uint64_t below);
struct wnode *world_node (struct world *w, const char *id);
struct wserver *world_server (struct world *w, const char *id);
struct wnode *world_add_node (struct world *w, const char *id,
                              const char *domain);
void world_boot (struct world *w, struct wnode *n);
void world_kill (struct world *w, struct wnode *n);
void world_thaw (struct world *w, struct wnode *n);
struct wserver *world_add_server (struct world *w, const char *id,
                                  const char *domain, const char *rack,
                                  int kind, const struct clb_res *room);
/** world_publish() - The platform's list, after its lag. */
void world_publish (struct world *w);
/** world_run() - Let @ms of virtual time pass. */
void world_run (struct world *w, int64_t ms);
/** world_call() - A caller's request; returns its number. */
int world_call (struct world *w, const struct wcall *proto, int method,
                const char *path, const char *bearer, const char *request_id,
                const char *body);

/* heap.c */
void world_push (struct world *w, struct event_item *it);
struct event_item *world_pop (struct world *w);

/* check.c */
struct check *check_new (struct world *w);
void check_free (struct check *c);
void check_run (struct check *c, struct wserver *s, const struct frun *run,
                bool started);
void check_served (struct check *c, struct wserver *s, int call, bool started);
void check_call (struct check *c, const struct wcall *call);
void check_answer (struct check *c, struct wcall *call);
void check_limit (struct check *c, const char *team,
                  const struct clb_res *amount, bool maybe);
void check_key_withdrawn (struct check *c, const char *key);
/** check_next_accepted() - Walk the accepted tasks; NULL at the end. */
const char *check_next_accepted (struct check *c, int *at);
/** check_state() - What a caller was told of an accepted task. */
void check_state (struct check *c, const char *id, const char *state);
/** check_broken() - The first thing found wrong, or NULL. */
const char *check_broken (const struct check *c);
int check_starts (const struct check *c, const char *name);
/** check_used() - Cores that a team has running, fleet-wide. */
int64_t check_used (struct check *c, const char *team);

#endif
