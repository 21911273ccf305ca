/**
 * DOC: Stand-in for a worker, without sockets: starts whatever it is given,
 * whether it fits or not, and runs it under a lease.
 */
#ifndef FWORKER_H
#define FWORKER_H

#include "msg.h"

/** struct frun - one run that the worker knows of */
struct frun
{
  TAILQ_ENTRY (frun) link;
  char id[CLB_ID_MAX];
  char name[CLB_NAME_MAX];
  struct clb_res need;
  int state;      /* enum run_state */
  bool acked;     /* not reported any more; kept so as never to start again */
  int64_t end_ms; /* 0: runs on */
};
TAILQ_HEAD (frun_list, frun);

struct fworker
{
  int64_t boot;
  bool leaving;
  bool fail_all;
  bool fence; /* refuses a lower epoch than it has seen */
  int64_t epoch;
  int64_t lease_until_ms;
  int64_t slowness; /* run times are multiplied by this; 0 counts as 1 */
  int64_t busy;     /* executors: slots in use */
  struct frun_list runs;
  void *arg;
  /** watch - told of each start and end, with its state; may be NULL */
  void (*watch) (void *arg, int64_t now_ms, const struct frun *run,
                 bool started);
};

void fworker_init (struct fworker *w, int64_t boot);
void fworker_clear (struct fworker *w);
/** fworker_reboot() - Everything stops and is forgotten. */
void fworker_reboot (struct fworker *w, int64_t now_ms, int64_t boot);
/** fworker_tick() - Ends what is over, and all if the lease has run out. */
void fworker_tick (struct fworker *w, int64_t now_ms);
/**
 * fworker_sync() - Handle one sync.
 *
 * Return: 0, or %CLB_ECONFLICT when the epoch is older than one seen.
 */
int fworker_sync (struct fworker *w, int64_t now_ms,
                  const struct sync_req *req, struct sync_rep *rep);

#endif
