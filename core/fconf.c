/*
 * Looks up queues and client accounts in the fleet's configuration; see
 * fconf.h.
 */
#include "fconf.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Orders queues by host, without regard to case, and then by prefix. */
static int
queue_cmp (const void *a, const void *b)
{
  const struct fconf_queue *p = a;
  const struct fconf_queue *q = b;
  int by_host = strcasecmp (p->host, q->host);

  return by_host ? by_host : strcmp (p->prefix, q->prefix);
}

void
fconf_sort_queues (struct fconf *c)
{
  qsort (c->queues, c->n_queues, sizeof *c->queues, queue_cmp);
}

/* Returns the last queue that is not after @key in the order of queue_cmp();
   NULL if there is none. */
static const struct fconf_queue *
last_queue_up_to (const struct fconf *c, const struct fconf_queue *key)
{
  size_t low = 0;
  size_t high = c->n_queues;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (queue_cmp (&c->queues[mid], key) <= 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low ? &c->queues[low - 1] : NULL;
}

/* Returns the number of bytes with which both @a and @b begin. */
static size_t
common_len (const char *a, const char *b)
{
  size_t n = 0;

  while (a[n] && a[n] == b[n])
    n++;
  return n;
}

/* All prefixes of a path sort before the path, the longest one last.  If the
   queue before the path is not one of them, a shorter one can only be a prefix
   of what that queue and the path have in common. */
const struct fconf_queue *
fconf_queue_for (const struct fconf *c, const char *host, const char *path)
{
  struct fconf_queue key;

  clb_copy (key.host, host, sizeof key.host);
  clb_copy (key.prefix, path, sizeof key.prefix);
  for (;;)
    {
      const struct fconf_queue *q = last_queue_up_to (c, &key);
      size_t len;
      if (!q || strcasecmp (q->host, host) != 0)
        return NULL;
      len = common_len (q->prefix, key.prefix);
      if (!q->prefix[len])
        return q;
      key.prefix[len] = '\0';
    }
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
