/**
 * DOC: Limits of the rate at which each of several parties does something, as
 * token buckets.
 */
#ifndef RATE_H
#define RATE_H

#include "clb.h"

#include <bsd/sys/queue.h>

enum
{
  /* A party that has been idle may do at once what its rate allows in this
     time. */
  RATE_BURST_S = 10,
};

/** struct rate_bucket - what a party may do at once */
struct rate_bucket
{
  TAILQ_ENTRY (rate_bucket) link;
  char party[CLB_NAME_MAX];
  double tokens;
  int64_t filled_ms; /* time up to which tokens were added */
};

/** struct rate_limit - buckets of the parties that were active of late */
struct rate_limit
{
  TAILQ_HEAD (, rate_bucket) buckets;
};

/** rate_init() - Set up @r without buckets. */
void rate_init (struct rate_limit *r);
/** rate_fini() - Free what @r owns. */
void rate_fini (struct rate_limit *r);
/**
 * rate_take() - Return whether @party may act once more at @now_ms, and count
 * it if so.
 * @per_s: number of times a second that each party may act on average
 */
bool rate_take (struct rate_limit *r, int64_t now_ms, const char *party,
                double per_s);

#endif
