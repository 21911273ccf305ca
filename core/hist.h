/**
 * DOC: Histograms of durations in milliseconds, as Prometheus text.
 */
#ifndef HIST_H
#define HIST_H

#include <stdint.h>
#include <stdio.h>

enum
{
  HIST_BUCKETS = 14, /* the last is without end */
};

/** struct hist - how many durations fell into each bucket; zero is empty */
struct hist
{
  uint64_t count[HIST_BUCKETS];
  uint64_t sum_ms;
};

/** hist_add() - A duration; one below 0 counts as 0. */
void hist_add (struct hist *h, int64_t ms);
/**
 * hist_print() - As "citronlb_NAME", with the label @label="@value" unless
 * @label is NULL.
 */
void hist_print (FILE *out, const char *name, const char *label,
                 const char *value, const struct hist *h);

#endif
