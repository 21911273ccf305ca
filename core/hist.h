/**
 * DOC: Histograms of durations in milliseconds, printed as Prometheus text.
 */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>
#include <stdio.h>

enum
{
  HIST_BUCKETS = 14, /* number of buckets; the last has no upper bound */
};

/** struct hist - histogram of durations; an empty one is all zero */
struct hist
{
  /* Number of durations in each bucket, not cumulative. */
  uint64_t count[HIST_BUCKETS];
  uint64_t sum_ms; /* sum of all durations */
};

/** hist_add() - Add a duration in milliseconds; a negative one counts as 0. */
void hist_add (struct hist *h, int64_t ms);
/**
 * hist_print() - Print a histogram as metric "citronlb_NAME".
 * @out: where to print
 * @name: the metric's name without "citronlb_"
 * @label: name of the metric's label; NULL: none
 * @value: value of the label
 * @h: the histogram
 */
void hist_print (FILE *out, const char *name, const char *label,
                 const char *value, const struct hist *h);

#endif
