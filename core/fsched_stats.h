/**
 * DOC: Counters of the fleet's scheduler.  They outlive a term as leader.
 */
#ifndef FSCHED_STATS_H
#define FSCHED_STATS_H

#include "hist.h"
#include "job.h"
#include "order.h"

/** enum unused_cause - why an answer to an advice query led to no start */
enum unused_cause
{
  UNUSED_PERMITS,  /* the permitted executors have too little free capacity */
  UNUSED_TICKETS,  /* they have enough, but not with valid tickets */
  UNUSED_RESERVED, /* enough has tickets, but is reserved for other jobs */
  UNUSED_OTHER,
  UNUSED_N
};
extern const char *const unused_cause_names[UNUSED_N + 1];

/** struct fsched_stats - counters since the process started */
struct fsched_stats
{
  uint64_t passes; /* number of placing passes */
  /* Number of jobs that placing passes have sorted, over all passes. */
  uint64_t jobs_considered;
  /* Number of starts that were sent.  A start that is sent again counts
     once. */
  uint64_t starts;
  uint64_t ends[RUN_END_N]; /* number of ended starts, by enum run_end */
  /* Number of refused starts, by enum order_refusal. */
  uint64_t refusals[REFUSED_N];
  /* Number of answered or lost orders, by enum order_outcome. */
  uint64_t outcomes[ORDER_OUTCOME_N];
  uint64_t queries;        /* number of advice queries sent */
  uint64_t queries_failed; /* number of advice queries that failed */
  /* Number of advice queries that had no answer by their deadline. */
  uint64_t queries_overdue;
  /* Number of answers that led to no start, by enum unused_cause. */
  uint64_t answers_unused[UNUSED_N];
  uint64_t jobs_added;
  /* Number of jobs whose progress was split into pages. */
  uint64_t progress_splits;
  /* Number of ended jobs, by enum job_state. */
  uint64_t jobs_ended[JOB_STATE_N];
  uint64_t stops; /* number of stop orders sent */
  /* Number of answers to polls that did not list all ends of runs. */
  uint64_t polls_incomplete;
  /* Number of runs that were ended because their lease expired. */
  uint64_t runs_lapsed;
  uint64_t quarantines; /* number of quarantines of executors */
  /* Number of crashes of executors, counted once for each task that ran
     there. */
  uint64_t crashes;
  /* Number of tasks of which a checkpoint could not be held. */
  uint64_t checkpoints_refused;
  /* Time from the send of an order to its result, by enum order_kind. */
  struct hist order_ms[ORDER_KIND_N];
  /* Time from a job's arrival to its first start. */
  struct hist first_start_ms;
  /* Time from a job's arrival to its end, by enum job_state. */
  struct hist job_ms[JOB_STATE_N];
};

#endif
