#include "order.h"

#include <stdlib.h>
#include <string.h>

const char *const order_kind_names[]
    = { "start", "stop", "hold", "advise", NULL };
const char *const order_names[] = { "start", "stop", "hold", "advise", NULL };
const char *const order_outcome_names[]
    = { "done", "refused", "busy", "wrong-boot", "unreached", "lost", NULL };
const char *const order_refusal_names[]
    = { "other", "fence", "old", "late", "room", "ticket", NULL };
const char *const run_end_names[]
    = { "done",  "failed", "stopped", "lapsed", "broken",
        "alone", "gone",   "never",   NULL };

void
order_clear (struct order *o)
{
  free (o->payload);
  free (o->ticket);
  checkpoint_unref (o->checkpoint);
  free (o->execs);
  o->payload = o->ticket = NULL;
  o->checkpoint = NULL;
  o->execs = NULL;
}

void
order_free (struct order *o)
{
  if (!o)
    return;
  order_clear (o);
  free (o);
}

void
order_result_clear (struct order_result *r)
{
  free (r->runs);
  free (r->ends);
  free (r->permitted);
  json_decref (r->strings);
  memset (r, 0, sizeof *r);
}

bool
order_was_answered (const struct order_result *r)
{
  return r->outcome != ORDER_LOST && r->outcome != ORDER_UNREACHED;
}
