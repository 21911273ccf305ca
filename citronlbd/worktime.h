/**
 * DOC: Accounts for the time that the event loop of an instance spends, by
 * kind of work.  The user marks the start and the end of each piece of work.
 * Pieces may be nested; the time of an inner piece is not part of the outer
 * one, so that the sum over all kinds is the time spent in marked work.
 *
 * The metric is named citronlb_cpu_seconds_total, but the times are those of a
 * steady clock: reading the CPU time clock of a thread is a system call, which
 * reading the steady clock usually is not.  As one thread does all the work
 * and does not wait for input within a piece, the two differ mainly by the
 * time in which the platform does not let the process run, for example because
 * its share of a core is used up.
 */
#ifndef WORKTIME_H
#define WORKTIME_H

#include <stdint.h>
#include <stdio.h>

/** enum worktime_kind - kinds of work */
enum worktime_kind
{
  /* The timer: fleet_tick(). */
  WORKTIME_TICKS,
  /* Answers of the table service, also those that another instance
     forwards. */
  WORKTIME_STORE_REPLIES,
  /* Results of starts and stops. */
  WORKTIME_RUN_RESULTS,
  /* Results of polls of executors. */
  WORKTIME_POLL_RESULTS,
  /* Results of advice queries, and the messages in which instances pass on
     queries and results. */
  WORKTIME_ADVICE,
  /* Hellos of other instances, and replies to hellos. */
  WORKTIME_HELLOS,
  /* Queries and requests of other instances, and replies to queries. */
  WORKTIME_QUERIES,
  /* Notices of recorded jobs and cancellations. */
  WORKTIME_NOTICES,
  /* Requests of callers, and their disconnects. */
  WORKTIME_CALLER_REQUESTS,
  /* Readiness checks and reads of the metrics. */
  WORKTIME_MONITORING,
  /* Sending answers to callers. */
  WORKTIME_ANSWERS,
  /* Sending calls to the table service. */
  WORKTIME_STORE_CALLS,
  /* Sending orders to executors and queries to the advice service. */
  WORKTIME_ORDERS,
  /* Encoding and sending messages to other instances. */
  WORKTIME_MESSAGES,
  /* Writing log lines. */
  WORKTIME_LOG_LINES,
  /* Decoding messages of other instances. */
  WORKTIME_MESSAGE_DECODING,
  WORKTIME_N
};

enum
{
  /* Maximum number of pieces that are open at a time.  An input, an output
     that it causes, and the result of an output that fails at once are
     three. */
  WORKTIME_DEPTH_MAX = 8,
};

/** struct worktime - times and counts by kind of work; all zero at first */
struct worktime
{
  /* Time spent, by enum worktime_kind. */
  int64_t spent_ns[WORKTIME_N];
  /* Number of ended pieces, by enum worktime_kind. */
  uint64_t n_pieces[WORKTIME_N];
  /* Kinds of the open pieces, the innermost last. */
  int open[WORKTIME_DEPTH_MAX];
  /* Number of open pieces, including those beyond WORKTIME_DEPTH_MAX. */
  int n_open;
  /* Time up to which spent_ns contains the time of the innermost piece. */
  int64_t counted_until_ns;
};

/**
 * worktime_begin() - Begin a piece of work within the innermost open one.
 * @kind: enum worktime_kind
 * @now_ns: time of a steady clock
 *
 * While WORKTIME_DEPTH_MAX pieces are open, a further piece is not counted and
 * its time is part of the innermost counted one.
 */
void worktime_begin (struct worktime *w, int kind, int64_t now_ns);

/** worktime_end() - End the innermost open piece; if none is open, do
 * nothing. */
void worktime_end (struct worktime *w, int64_t now_ns);

/**
 * worktime_print() - Print the metrics citronlb_cpu_seconds_total and
 * citronlb_work_total, by kind of work, as Prometheus text.
 *
 * A piece that is open counts up to the last call of worktime_begin() or
 * worktime_end() in the first metric, and not at all in the second.
 */
void worktime_print (const struct worktime *w, FILE *out);

#endif
