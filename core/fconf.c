/*
 * Looks up queues and client accounts in the fleet's configuration; see
 * fconf.h.
 */
#include "fconf.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

const struct fconf_queue *
fconf_queue_for (const struct fconf *c, const char *host, const char *path)
{
  const struct fconf_queue *best = NULL;
  size_t longest = 0;

  for (size_t i = 0; i < c->n_queues; i++)
    {
      const struct fconf_queue *q = &c->queues[i];
      size_t len = strlen (q->prefix);
      if (strcasecmp (q->host, host) != 0 || len < longest
          || strncmp (q->prefix, path, len) != 0)
        continue;
      best = q;
      longest = len;
    }
  return best;
}

const struct fconf_tenant *
fconf_tenant_of_key (const struct fconf *c, const char *key)
{
  for (size_t i = 0; i < c->n_tenants; i++)
    for (size_t j = 0; j < c->tenants[i].n_keys; j++)
      if (strcmp (c->tenants[i].keys[j].key, key) == 0)
        return &c->tenants[i];
  return NULL;
}

const struct fconf_tenant *
fconf_tenant (const struct fconf *c, const char *name)
{
  for (size_t i = 0; i < c->n_tenants; i++)
    if (strcmp (c->tenants[i].name, name) == 0)
      return &c->tenants[i];
  return NULL;
}

void
fconf_free (struct fconf *c)
{
  if (!c)
    return;
  for (size_t i = 0; i < c->n_tenants; i++)
    free (c->tenants[i].keys);
  free (c->tenants);
  free (c->queues);
  free (c->services);
  free (c);
}
