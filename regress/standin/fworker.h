/**
 * DOC: Stand-in for a worker without network code.  It starts every run that
 * a sync asks for, even beyond its capacity, and stops all runs when its
 * lease expires.
 */
#ifndef FWORKER_H
#define FWORKER_H

#include "msg.h"

/** struct frun - one run of a task on a simulated worker, running or ended */
struct frun
{
  TAILQ_ENTRY (frun) link;
  char id[CLB_ID_MAX];
  char name[CLB_NAME_MAX];
  struct clb_res need; /* resources that the run occupies */
  int state;           /* enum run_state */
  /* The scheduler has acknowledged the end of the run.  The run is no longer
     reported, but it is kept so that a repeated start of the same id is
     ignored. */
  bool acked;
  int64_t end_ms; /* time at which the run ends by itself; 0: never */
};
TAILQ_HEAD (frun_list, frun);

/** struct fworker - state of one simulated worker or executor */
struct fworker
{
  int64_t boot;  /* number of the current start of the worker */
  bool leaving;  /* each report says that the worker takes no new work */
  bool fail_all; /* each run fails as soon as it has started */
  bool fence;    /* syncs whose epoch is older than @epoch are refused */
  int64_t epoch; /* epoch of the last accepted sync */
  int64_t lease_until_ms; /* time at which the worker's lease expires */
  int64_t slowness;       /* factor by which runs take longer; 0 counts as 1 */
  int64_t busy;           /* number of an executor's slots in use */
  struct frun_list runs;
  void *arg; /* first argument of watch() */
  /** watch - called at each start and end of a run; NULL: no call is made */
  void (*watch) (void *arg, int64_t now_ms, const struct frun *run,
                 bool started);
};

void fworker_init (struct fworker *w, int64_t boot);
/** fworker_clear() - Free all runs without calling the watch function. */
void fworker_clear (struct fworker *w);
/** fworker_reboot() - Stop and free all runs; set the boot number to @boot. */
void fworker_reboot (struct fworker *w, int64_t now_ms, int64_t boot);
/**
 * fworker_tick() - End the runs whose duration is over, and all runs if the
 * lease of the worker has expired.
 */
void fworker_tick (struct fworker *w, int64_t now_ms);
/**
 * fworker_sync() - Carry out the acknowledgements, then the stops, then the
 * starts of one sync request.
 * @rep: filled with the report on success; the caller then frees its contents
 *       with codec_free (&sync_rep_desc, @rep)
 *
 * Return: 0, or %CLB_ECONFLICT if @w->fence is set and the epoch of @req is
 * older than that of the last accepted sync.
 */
int fworker_sync (struct fworker *w, int64_t now_ms,
                  const struct sync_req *req, struct sync_rep *rep);

#endif
