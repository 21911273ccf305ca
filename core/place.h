/**
 * DOC: The workers and executors of one domain, and the choice among them.
 */
#ifndef PLACE_H
#define PLACE_H

#include <sys/queue.h>
#include <bsd/sys/tree.h>

#include "msg.h"

enum worker_state
{
  WORKER_UNSEEN, /* no report in this epoch: not placed on */
  WORKER_LIVE,
  WORKER_UNREACHABLE, /* reports late: not placed on, leases renewed */
  WORKER_EXPIRING,    /* leases no longer renewed */
  WORKER_LOST,        /* its tasks' leases have run out */
};

struct member;

/** struct worker - a worker or a service executor, and what is on it */
struct worker
{
  RB_ENTRY (worker) by_id;
  struct inst inst;
  int state; /* enum worker_state */
  bool listed;
  bool leaving;          /* by the list or by its own report */
  struct clb_res used;   /* reserved for members placed here */
  int64_t unknown_slots; /* busy slots that nobody here knows, in used */
  TAILQ_HEAD (, member) members;
  int64_t boot;
  int64_t last_contact_ms; /* sync answered, or the epoch's start */
  bool answered;           /* answered in this epoch */
  int64_t expiring_since_ms;
  bool sync_due; /* something to send before the next period */
  int64_t next_sync_ms;
  int64_t sync_sent_ms;
  bool sync_outstanding; /* one is outstanding */
  int64_t sync_seq;
  struct run_id *acks; /* ended runs to acknowledge */
  size_t n_acks;
  struct run_id *orphans; /* runs that nobody here knows: stop them */
  size_t n_orphans;
  int fail_streak;
  int64_t quarantine_until_ms;
  int64_t quarantine_ms; /* length of the last one */
};
RB_HEAD (worker_tree, worker);
RB_PROTOTYPE (worker_tree, worker, by_id, pool_worker_cmp)

struct pool
{
  struct worker_tree workers;
  size_t n_workers;
};

int pool_worker_cmp (const struct worker *a, const struct worker *b);
void pool_init (struct pool *pool);
void pool_clear (struct pool *pool);
struct worker *pool_worker (struct pool *pool, const char *id);
/** pool_add() - Find or make the worker @inst names; refreshes its facts. */
struct worker *pool_add (struct pool *pool, const struct inst *inst);
void pool_remove (struct pool *pool, struct worker *w);

/** pool_usable() - Whether @w may be given new work at @now_ms. */
bool pool_usable (const struct worker *w, int64_t now_ms);

/**
 * pool_pick() - Choose a worker for each of @spec's members, and reserve.
 * @avoid: worker taken only when no other will do, or empty
 * @picked: room for spec->members pointers
 * @looked_at: candidates weighed
 *
 * All members are placed or none.  Executors take only needs with slots,
 * workers only those without.
 *
 * Return: %WHY_BEST_FIT or %WHY_SPREAD with reservations made;
 * %WHY_NO_ROOM; %WHY_NO_WORKER_FITS when no listed worker is large enough.
 */
int pool_pick (struct pool *pool, const struct spec *spec, const char *avoid,
               int64_t now_ms, struct worker **picked, int64_t *looked_at);

/** struct pool_sum - what a domain's usable workers and executors offer */
struct pool_sum
{
  struct clb_res room;    /* free */
  struct clb_res size;    /* free or not */
  struct clb_res largest; /* of any one, in each dimension */
};
struct pool_sum pool_summary (struct pool *pool, int64_t now_ms);

#endif
