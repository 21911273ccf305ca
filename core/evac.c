/*
 * The set of evacuated failure domains; see evac.h.
 */
#include "evac.h"

#include <stdlib.h>
#include <string.h>

void
evac_init (struct evac *ev)
{
  *ev = (struct evac){ 0 };
  TAILQ_INIT (&ev->domains);
}

static void
remove_domain (struct evac *ev, struct evac_domain *d)
{
  TAILQ_REMOVE (&ev->domains, d, link);
  ev->n_domains--;
  free (d);
}

void
evac_fini (struct evac *ev)
{
  struct evac_domain *d;

  while ((d = TAILQ_FIRST (&ev->domains)))
    remove_domain (ev, d);
}

static struct evac_domain *
find_domain (const struct evac *ev, const char *name)
{
  struct evac_domain *d;

  TAILQ_FOREACH (d, &ev->domains, link)
    if (strcmp (d->name, name) == 0)
      return d;
  return NULL;
}

int
evac_row (struct evac *ev, int64_t now_ms, const char *name, bool present,
          int64_t ver, bool in_list)
{
  struct evac_domain *d = find_domain (ev, name);

  if (d && ver < d->ver)
    return EVAC_UNCHANGED;
  if (!present)
    {
      if (!d)
        return EVAC_UNCHANGED;
      remove_domain (ev, d);
      return EVAC_ENDED;
    }
  if (d)
    {
      d->ver = ver;
      d->in_list |= in_list;
      return EVAC_UNCHANGED;
    }
  if (!clb_word_ok (name) || strlen (name) >= sizeof d->name
      || ev->n_domains == EVAC_DOMAINS_MAX)
    return EVAC_IGNORED;
  d = calloc (1, sizeof *d);
  if (!d)
    abort ();
  clb_copy (d->name, name, sizeof d->name);
  d->ver = ver;
  d->since_ms = now_ms;
  d->in_list = in_list;
  TAILQ_INSERT_TAIL (&ev->domains, d, link);
  ev->n_domains++;
  return EVAC_BEGUN;
}

void
evac_list_begin (struct evac *ev)
{
  struct evac_domain *d;

  ev->list_damaged = false;
  TAILQ_FOREACH (d, &ev->domains, link)
    d->in_list = false;
}

int
evac_list_end (struct evac *ev, int64_t ver)
{
  struct evac_domain *d, *next;
  int n = 0;

  TAILQ_FOREACH_SAFE (d, &ev->domains, link, next)
    if (!d->in_list && d->ver <= ver && !ev->list_damaged)
      {
        remove_domain (ev, d);
        n++;
      }
  return n;
}

bool
evac_contains (const struct evac *ev, const char *name)
{
  return find_domain (ev, name) != NULL;
}
