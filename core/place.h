/**
 * DOC: The pool of workers and service executors in one failure domain, and
 * the choice of workers for a task.
 */
#ifndef PLACE_H
#define PLACE_H

#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "msg.h"

/* Ordered: recon.c compares the states. */
enum worker_state
{
  /* No report in this epoch yet: gets no tasks. */
  WORKER_UNSEEN,
  WORKER_LIVE,
  /* Reports are overdue: gets no tasks, its leases are still renewed. */
  WORKER_UNREACHABLE,
  /* Its leases are no longer renewed and may not all have run out. */
  WORKER_EXPIRING,
  /* The leases of all its tasks have run out. */
  WORKER_LOST,
};

struct member;

/** struct worker - a worker or a service executor and what is placed on it */
struct worker
{
  RB_ENTRY (worker) by_id;
  struct inst inst;    /* as last listed */
  int state;           /* enum worker_state */
  bool listed;         /* in the platform's latest list of instances */
  bool leaving;        /* so marked in the list or by its own report */
  struct clb_res used; /* reserved for members, and for unknown_slots */
  /* Slots of an executor that are in use for requests unknown here. */
  int64_t unknown_slots;
  TAILQ_HEAD (, member) members; /* placed here and not ended */
  int64_t boot;                  /* as last reported; 0: not yet */
  /* When it last answered a sync, or when it was first known. */
  int64_t last_contact_ms;
  bool answered;             /* it has answered a sync in this epoch */
  int64_t expiring_since_ms; /* when its state became WORKER_EXPIRING */
  bool sync_due;             /* the next sync is to be sent without delay */
  int64_t next_sync_ms;      /* when the next sync is sent at the latest */
  int64_t sync_sent_ms;
  bool sync_outstanding; /* the latest sync is not answered yet */
  int64_t sync_seq;      /* number of the latest sync */
  struct run_id *acks;   /* ended runs that it may forget; owned */
  size_t n_acks;
  /* Runs that it reported and that belong to no task here: to be stopped;
     owned. */
  struct run_id *orphans;
  size_t n_orphans;
  int fail_streak;             /* failures since its latest success */
  int64_t quarantine_until_ms; /* gets no tasks before this time */
  int64_t quarantine_ms;       /* length of the latest quarantine; 0: none */
};
RB_HEAD (worker_tree, worker);
RB_PROTOTYPE (worker_tree, worker, by_id, pool_worker_cmp)

/** struct pool - the workers and service executors of a domain */
struct pool
{
  struct worker_tree workers;
  size_t n_workers;
};

int pool_worker_cmp (const struct worker *a, const struct worker *b);
void pool_init (struct pool *pool);
/** pool_clear() - Remove and free all workers. */
void pool_clear (struct pool *pool);
/** pool_worker() - Find a worker by its id; NULL if unknown. */
struct worker *pool_worker (struct pool *pool, const char *id);
/**
 * pool_add() - Find or create the worker named by @inst and update its facts.
 *
 * Return: the worker, owned by the pool.
 */
struct worker *pool_add (struct pool *pool, const struct inst *inst);
/** pool_remove() - Remove and free a worker that has no members. */
void pool_remove (struct pool *pool, struct worker *w);

/** pool_usable() - Whether @w may be given new work at @now_ms. */
bool pool_usable (const struct worker *w, int64_t now_ms);

/**
 * pool_pick() - Choose a worker for each of @spec's members, reserve capacity.
 * @avoid: id of a worker that is taken only if no other will do, or empty
 * @now_ms: current time
 * @picked: space for spec->members pointers
 * @n_candidates: set to the number of candidates considered
 *
 * All members are placed or none.  Executors take only needs with slots,
 * workers only those without.
 *
 * Return: %WHY_BEST_FIT or %WHY_SPREAD with the capacity reserved;
 * %WHY_NO_ROOM if there is not enough free capacity; %WHY_NO_WORKER_FITS if
 * the listed workers could not hold the members even if nothing else ran.
 */
int pool_pick (struct pool *pool, const struct spec *spec, const char *avoid,
               int64_t now_ms, struct worker **picked, int64_t *n_candidates);

/** struct pool_sum - what a domain's usable workers and executors offer */
struct pool_sum
{
  struct clb_res free_capacity;  /* free capacity */
  struct clb_res total_capacity; /* whole capacity */
  struct clb_res largest_worker; /* most in each dimension of any one worker */
};
/** pool_summary() - Sum up the workers that are usable at @now_ms. */
struct pool_sum pool_summary (struct pool *pool, int64_t now_ms);

#endif
