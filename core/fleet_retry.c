/*
 * Retry-After of refusals.  A caller's next try reaches another instance.  If
 * this instance refuses a request for a reason that only it has, the caller
 * should try again at once; if the others have it too, the caller would use up
 * its tries.  The policy answers instances that are cut off, or refused by the
 * table service, while the others serve.
 */
#include "fleet.h"

#include "ablate.h"

#include <string.h>

enum
{
  /* Longest time after which the caller of an overloaded queue is told to try
     again. */
  OVERLOAD_RETRY_MAX_MS = 10000,
  /* While no leader answers, no job is decided on: what the last one reported
     holds for this long. */
  OVERLOAD_KEEP_MS = 15000,
};

/* Returns true if other instances can probably serve a request that this
   instance refuses because it does not reach the table service. */
static bool
others_serve (const struct fleet *f)
{
  bool leader_known = *f->leader.holder_addr
                      && strcmp (f->leader.holder, f->settings.id) != 0;

  /* The others may have no newer configuration either. */
  if (fleet_conf_behind (f) || ABLATED (RETRY_NOW))
    return false;
  /* The leader, or an instance that it names, reaches the service. */
  if (proxy_peer (f))
    return true;
  /* This instance has lost the leader and the table service together, so the
     cause lies between it and them. */
  return leader_known && !fleet_leader_addr (f) && proxy_table_unreachable (f);
}

int64_t
fleet_retry_after_ms (const struct fleet *f, int answer)
{
  switch (answer)
    {
    case ANSWER_CONF_STALE:
    case ANSWER_TABLE_UNREACHABLE:
      return others_serve (f) ? MSG_RETRY_NOW : FLEET_RETRY_AFTER_MS;
    default:
      return FLEET_RETRY_AFTER_MS;
    }
}

bool
fleet_overloads_hold (const struct fleet *f)
{
  return f->now_ms - f->leader_last_contact_ms < OVERLOAD_KEEP_MS;
}

int64_t
fleet_overload_ms (const struct fleet *f, const char *queue)
{
  int64_t ms = 0;

  if (f->fsched)
    ms = fsched_overload_ms (f->fsched, queue);
  else if (fleet_overloads_hold (f))
    for (size_t i = 0; i < f->n_overloads; i++)
      if (strcmp (f->overloads[i].queue, queue) == 0)
        ms = f->overloads[i].for_ms;
  return ms < OVERLOAD_RETRY_MAX_MS ? ms : OVERLOAD_RETRY_MAX_MS;
}
