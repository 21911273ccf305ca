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
  WORKER_SILENT,    /* reports late: not placed on, leases renewed */
  WORKER_CONDEMNED, /* leases no longer renewed */
  WORKER_GONE,      /* its tasks' leases have run out */
};

struct member;

/** struct worker - a worker or a service executor, and what is on it */
struct worker
{
  RB_ENTRY (worker) by_id;
  struct inst inst;
  int state; /* enum worker_state */
  bool listed;
  bool leaving;        /* by the list or by its own report */
  struct clb_res used; /* reserved for members placed here */
  int64_t phantom;     /* busy slots that nobody here knows, in used */
  TAILQ_HEAD (, member) members;
  int64_t boot;
  int64_t heard_ms; /* sync answered, or the epoch's start */
  bool heard;       /* answered in this epoch */
  int64_t condemned_ms;
  bool due; /* something to send before the next period */
  int64_t next_sync_ms;
  int64_t sync_sent_ms;
  bool sync_out; /* one is outstanding */
  int64_t sync_seq;
  struct run_id *acks; /* ended runs to acknowledge */
  size_t n_acks;
  struct run_id *strays; /* runs that nobody here knows: stop them */
  size_t n_strays;
  int fail_streak;
  int64_t quarantine_until_ms;
  int64_t quarantine_ms; /* length of the last one */
};
RB_HEAD (worker_tree, worker);
RB_PROTOTYPE (worker_tree, worker, by_id, pl_worker_cmp)

struct pl
{
  struct worker_tree workers;
  size_t n_workers;
};

int pl_worker_cmp (const struct worker *a, const struct worker *b);
void pl_init (struct pl *pl);
void pl_clear (struct pl *pl);
struct worker *pl_worker (struct pl *pl, const char *id);
/** pl_add() - Find or make the worker @inst names; refreshes its facts. */
struct worker *pl_add (struct pl *pl, const struct inst *inst);
void pl_remove (struct pl *pl, struct worker *w);

/** pl_usable() - Whether @w may be given new work at @now_ms. */
bool pl_usable (const struct worker *w, int64_t now_ms);

/**
 * pl_pick() - Choose a worker for each of @spec's members, and reserve.
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
int pl_pick (struct pl *pl, const struct spec *spec, const char *avoid,
             int64_t now_ms, struct worker **picked, int64_t *looked_at);

/** struct pl_sum - what a domain's usable workers and executors offer */
struct pl_sum
{
  struct clb_res room;    /* free */
  struct clb_res size;    /* free or not */
  struct clb_res largest; /* of any one, in each dimension */
};
struct pl_sum pl_summary (struct pl *pl, int64_t now_ms);

#endif
