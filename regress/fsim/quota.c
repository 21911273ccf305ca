/*
 * Checks the limits of client accounts: what the runs of an account use
 * together, on all executors that are up.
 */
#include "fsim.h"

#include <stdlib.h>
#include <string.h>

void
fquota_set_conf (struct fsim *s, const struct fconf *conf)
{
  for (int i = 0; i < s->n_limits; i++)
    if (s->limits[i].in_force_until_ms == INT64_MAX)
      s->limits[i].in_force_until_ms = s->now_ms + FSIM_CONF_APPLY_MS;
  for (size_t i = 0; i < conf->n_tenants; i++)
    {
      struct flimit *l;
      s->limits
          = realloc (s->limits, (size_t)(s->n_limits + 1) * sizeof *s->limits);
      if (!s->limits)
        abort ();
      l = &s->limits[s->n_limits++];
      clb_copy (l->tenant, conf->tenants[i].name, sizeof l->tenant);
      if (conf->tenants[i].n_keys)
        clb_copy (l->key, conf->tenants[i].keys[0].key, sizeof l->key);
      l->limit = conf->tenants[i].limit;
      l->in_force_until_ms = INT64_MAX;
    }
}

const char *
fquota_tenant_of_key (const struct fsim *s, const char *key)
{
  for (int i = s->n_limits - 1; i >= 0; i--)
    if (strcmp (s->limits[i].key, key) == 0)
      return s->limits[i].tenant;
  return "";
}

/* Sums up what the runs of the account @tenant need, those that are being
   stopped included. */
static struct job_need
sum_runs (struct fsim *s, const char *tenant)
{
  struct job_need sum = { 0 };

  for (int k = 0; k < s->n_exec; k++)
    for (int i = 0; s->exec[k]->up && i < s->exec[k]->n_runs; i++)
      {
        const struct frun *r = &s->exec[k]->runs[i];
        const struct fjob *j = fsim_find_job (s, r->task.job);
        if (!j || strcmp (j->spec.tenant, tenant) != 0)
          continue;
        sum.millicores += r->need.millicores;
        sum.mem_mb += r->need.mem_mb;
        sum.accels += r->need.accels;
      }
  return sum;
}

/* Returns whether @used is more than @limit with the tolerance of the rule and
   one more task that needs @need; a limit of 0 is none. */
static bool
exceeds (int64_t used, int64_t limit, int64_t need)
{
  return limit
         && used > limit * (100 + FSIM_QUOTA_OVERAGE_PERCENT) / 100 + need;
}

void
fquota_check (struct fsim *s, const struct fjob *j,
              const struct job_need *need)
{
  struct job_need used;
  const struct flimit *highest = NULL;

  for (int i = 0; i < s->n_limits; i++)
    {
      const struct flimit *l = &s->limits[i];
      if (strcmp (l->tenant, j->spec.tenant) != 0
          || l->in_force_until_ms < s->now_ms)
        continue;
      if (!l->limit.millicores)
        return;
      if (!highest || l->limit.millicores > highest->limit.millicores)
        highest = l;
    }
  if (!highest)
    return;
  used = sum_runs (s, j->spec.tenant);
  if (exceeds (used.millicores, highest->limit.millicores, need->millicores))
    fsim_violation (s,
                    "QUOTA %s has %lld millicores running, its limit is %lld",
                    j->spec.tenant, (long long)used.millicores,
                    (long long)highest->limit.millicores);
}

int64_t
fquota_lowest_limit (const struct fsim *s, const char *tenant)
{
  int64_t lowest = INT64_MAX;

  for (int i = 0; i < s->n_limits; i++)
    {
      const struct flimit *l = &s->limits[i];
      if (strcmp (l->tenant, tenant) == 0 && l->in_force_until_ms >= s->now_ms
          && l->limit.millicores && l->limit.millicores < lowest)
        lowest = l->limit.millicores;
    }
  return lowest;
}
