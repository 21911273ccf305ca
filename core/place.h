/**
 * DOC: The pool of workers and service executors in one failure domain, and
 * the choice of workers for a task.
 */
#ifndef PLACE_H
#define PLACE_H

#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "msg.h"

/* The order of the values matters: recon.c compares states with <=. */
enum worker_state
{
  /* The worker has not answered a sync in this epoch yet.  The worker is given
     no tasks. */
  WORKER_UNSEEN,
  /* The worker answers its syncs. */
  WORKER_LIVE,
  /* The worker's answers are overdue.  The worker is given no tasks, but the
     leases of its tasks are still renewed. */
  WORKER_UNREACHABLE,
  /* The leases of the worker's tasks are no longer renewed, but some of them
     may not have run out yet. */
  WORKER_EXPIRING,
  /* The leases of all of the worker's tasks have run out. */
  WORKER_LOST,
};

struct member;

/**
 * struct worker - a worker or a service executor
 *
 * The struct holds what is known of the worker and what is placed on it.
 */
struct worker
{
  RB_ENTRY (worker) by_id;
  /* The worker's description in the latest list of instances that has it. */
  struct inst inst;
  int state; /* enum worker_state */
  /* True if the worker is in the platform's latest list of instances. */
  bool listed;
  /* True if the list of instances or the worker's own report says that the
     worker is leaving. */
  bool leaving;
  /* Capacity of the worker that is reserved for members and for
     unknown_slots. */
  struct clb_res used;
  /* Number of an executor's slots that are used by requests that the scheduler
     does not know. */
  int64_t unknown_slots;
  /* Members that are placed on the worker and have not ended. */
  TAILQ_HEAD (, member) members;
  int64_t boot; /* boot that the worker last reported; 0: none yet */
  /* When the worker last answered a sync; before its first answer, when it was
     first known. */
  int64_t last_contact_ms;
  /* True once the worker has answered a sync in this epoch. */
  bool answered;
  /* When the worker's state last became WORKER_EXPIRING. */
  int64_t expiring_since_ms;
  bool sync_due; /* true if the next sync is to be sent without delay */
  /* The next sync is sent at this time at the latest. */
  int64_t next_sync_ms;
  int64_t sync_sent_ms; /* when the latest sync was sent */
  /* True while an answer to the latest sync is awaited. */
  bool sync_outstanding;
  int64_t sync_seq; /* number of the latest sync */
  /* Array of the ended runs that the next sync allows the worker to forget;
     owned. */
  struct run_id *acks;
  size_t n_acks;
  /* Array of the runs that the worker reported and that belong to no known
     task.  The next sync asks the worker to stop them.  Owned. */
  struct run_id *orphans;
  size_t n_orphans;
  int fail_streak; /* number of failures since the latest success */
  /* The worker is given no tasks before this time; 0: it was never in
     quarantine. */
  int64_t quarantine_until_ms;
  /* Length of the latest quarantine; 0: none since the latest success. */
  int64_t quarantine_ms;
};
RB_HEAD (worker_tree, worker);
RB_PROTOTYPE (worker_tree, worker, by_id, pool_worker_cmp)

/** struct pool - the workers and service executors of a domain */
struct pool
{
  struct worker_tree workers;
  size_t n_workers; /* number of workers in the tree */
};

/** pool_worker_cmp() - Compare two workers by their ids, like strcmp(). */
int pool_worker_cmp (const struct worker *a, const struct worker *b);
/** pool_init() - Make @pool an empty pool. */
void pool_init (struct pool *pool);
/** pool_clear() - Remove and free all workers. */
void pool_clear (struct pool *pool);
/** pool_find_worker() - Find a worker by its id; returns NULL if unknown. */
struct worker *pool_find_worker (struct pool *pool, const char *id);
/**
 * pool_add() - Find or create a worker and set its description.
 * @inst: description, which has the worker's id; copied
 *
 * Return: the worker, owned by the pool.
 */
struct worker *pool_add (struct pool *pool, const struct inst *inst);
/** pool_remove() - Remove and free a worker that has no members. */
void pool_remove (struct pool *pool, struct worker *w);

/** pool_usable() - Return whether @w may be given new work at @now_ms. */
bool pool_usable (const struct worker *w, int64_t now_ms);

/**
 * pool_pick() - Choose a worker for each member and reserve its capacity.
 * @spec: description of the task
 * @avoid: id of a worker that is chosen only if no other can be, or empty
 * @now_ms: current time
 * @picked: array of spec->members pointers, set to the workers
 * @n_candidates: set to the number of candidates considered
 *
 * Workers are chosen for all members or for none.  Executors are chosen only
 * for tasks that need slots, workers only for the others.
 *
 * Return: %WHY_BEST_FIT or %WHY_SPREAD with the capacity reserved;
 * %WHY_NO_ROOM if there is not enough free capacity; %WHY_NO_WORKER_FITS if
 * the listed workers could not hold the members even if nothing else ran.
 */
int pool_pick (struct pool *pool, const struct spec *spec, const char *avoid,
               int64_t now_ms, struct worker **picked, int64_t *n_candidates);

/** struct pool_sum - capacity of a domain's usable workers and executors */
struct pool_sum
{
  struct clb_res free_capacity; /* sum of the workers' free capacity */
  /* Sum of the workers' whole capacity, free or used. */
  struct clb_res total_capacity;
  /* For each resource, the largest capacity that any single worker has. */
  struct clb_res largest_worker;
};
/** pool_summary() - Sum up the capacity of workers usable at @now_ms. */
struct pool_sum pool_summary (struct pool *pool, int64_t now_ms);

#endif
