/**
 * DOC: What the scheduler believes of the advice service: how many queries it
 * handles beside each other, and how much work it does.  See fsched_lanes.c.
 */
#ifndef FSCHED_LANES_H
#define FSCHED_LANES_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LANES_ANSWERS = 64, /* number of answers that are compared with later ones */
  LANES_ALL = 1000,   /* stands for one lane for each instance */
};

/** struct lanes_answer - a query that the service has answered */
struct lanes_answer
{
  int adviser;         /* index into fsched::advisers */
  double duration_ms;  /* announced duration */
  int64_t sent_ms;     /* when the leader sent the query */
  int64_t took_ms;     /* time that the instance waited for the answer */
  int64_t answered_ms; /* when the answer reached the leader */
  bool alone;          /* its instance had no other query when it was sent */
};

/** struct lanes - what is known of the advice service in this term */
struct lanes
{
  struct lanes_answer answers[LANES_ANSWERS]; /* ring */
  uint64_t n_answers; /* number of answers that were added to it */
  /* Pairs of queries that the service has handled one after the other, and
     beside each other; older pairs count less. */
  double n_same;
  double n_apart;
  /* All pairs that were handled beside each other.  While no pair was handled
     one after the other, older ones count as much. */
  double n_all_apart;
  /* Announced time of queries that were answered while others waited to be
     sent, and the length of that time; what is older counts less.  In ms. */
  double work_ms;
  double busy_ms;
  int64_t updated_ms; /* when busy_ms was last updated */
  /* Outstanding queries: number of those that are short, of at most
     ADVICE_QUEUED_MAX_MS, and of the others; sum of the announced times of the
     short ones and of all, in ms. */
  int n_short_out;
  int n_others_out;
  double short_out_ms;
  double work_out_ms;
  int64_t other_due_ms; /* expected end of the last one that is not short */
  int64_t short_answered_ms; /* when a short one was last answered */
  /* Earliest time at which one more than the lanes known may be outstanding,
     and the pause after that. */
  int64_t next_trial_ms;
  int64_t trial_gap_ms;
  bool was_shared;      /* as the last log line says */
  int64_t next_line_ms; /* time of the next log line */
};

#endif
