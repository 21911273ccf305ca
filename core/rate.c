#include "rate.h"

#include <stdlib.h>
#include <string.h>

void
rate_init (struct rate_limit *r)
{
  TAILQ_INIT (&r->buckets);
}

static void
drop (struct rate_limit *r, struct rate_bucket *b)
{
  TAILQ_REMOVE (&r->buckets, b, link);
  free (b);
}

void
rate_fini (struct rate_limit *r)
{
  struct rate_bucket *b;

  while ((b = TAILQ_FIRST (&r->buckets)))
    drop (r, b);
}

/* Adds the tokens that are due.  Returns whether the bucket is full. */
static bool
fill (struct rate_bucket *b, int64_t now_ms, double per_s)
{
  double full = per_s * RATE_BURST_S;

  b->tokens += per_s * (double)(now_ms - b->filled_ms) / 1000;
  b->filled_ms = now_ms;
  if (b->tokens < full)
    return false;
  b->tokens = full;
  return true;
}

/* Returns the bucket of @party, which is new and full if there was none.
   Others that are full are freed, so that only parties that were active of
   late have one. */
static struct rate_bucket *
get (struct rate_limit *r, int64_t now_ms, const char *party, double per_s)
{
  struct rate_bucket *b, *next;
  struct rate_bucket *found = NULL;

  TAILQ_FOREACH_SAFE (b, &r->buckets, link, next)
    {
      bool full = fill (b, now_ms, per_s);
      if (strcmp (b->party, party) == 0)
        found = b;
      else if (full)
        drop (r, b);
    }
  if (found)
    return found;
  b = calloc (1, sizeof *b);
  if (!b)
    abort ();
  clb_copy (b->party, party, sizeof b->party);
  b->tokens = per_s * RATE_BURST_S;
  b->filled_ms = now_ms;
  TAILQ_INSERT_TAIL (&r->buckets, b, link);
  return b;
}

bool
rate_take (struct rate_limit *r, int64_t now_ms, const char *party,
           double per_s)
{
  struct rate_bucket *b = get (r, now_ms, party, per_s);

  if (b->tokens < 1)
    return false;
  b->tokens--;
  return true;
}
