/**
 * DOC: Failure domains that the operator has evacuated.  Nothing is started on
 * the executors of such a domain until the operator takes it back; what runs
 * there goes on.
 *
 * Each instance keeps the set from the operator's rows in the table service,
 * so a new leader knows it without asking.  The module does no input or
 * output.
 */
#ifndef EVAC_H
#define EVAC_H

#include <bsd/sys/queue.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clb.h"

/** struct evac_domain - a failure domain that is evacuated */
struct evac_domain
{
  TAILQ_ENTRY (evac_domain) link;
  char name[CLB_NAME_MAX];
  int64_t ver;      /* version of the operator's row */
  int64_t since_ms; /* when this instance learned of the row */
  bool in_list;     /* the list that is being read has the row */
};
TAILQ_HEAD (evac_domainq, evac_domain);

/** struct evac - the set of evacuated failure domains */
struct evac
{
  struct evac_domainq domains;
  int n_domains;
  /* A row of the list that is being read could not be used: it may be one of
     an evacuated domain. */
  bool list_damaged;
};

enum
{
  /* Largest number of evacuated domains; further ones are ignored. */
  EVAC_DOMAINS_MAX = 256,
};

/** enum evac_change - what a row has changed */
enum evac_change
{
  EVAC_UNCHANGED,
  EVAC_BEGUN,
  EVAC_ENDED,
  EVAC_IGNORED, /* the name cannot be that of a domain, or there are too many
                 */
};

/** evac_init() - Initialise an empty set. */
void evac_init (struct evac *ev);
/** evac_fini() - Free the entries of a set, but not @ev itself. */
void evac_fini (struct evac *ev);
/**
 * evac_row() - Process a row of the operator.
 * @name: name of the failure domain
 * @present: whether the row exists; false: it was removed
 * @ver: version of the row, or of its removal
 * @in_list: whether the row is part of the list that is being read
 *
 * A row that is older than what is known changes nothing.
 *
 * Return: enum evac_change.
 */
int evac_row (struct evac *ev, int64_t now_ms, const char *name, bool present,
              int64_t ver, bool in_list);
/** evac_list_begin() - Begin a complete list of the operator's rows. */
void evac_list_begin (struct evac *ev);
/**
 * evac_list_end() - End the list: domains that it does not have are evacuated
 * no longer, unless a row of it could not be used.
 * @ver: version of the table that the list shows
 *
 * Return: number of the domains that are evacuated no longer.
 */
int evac_list_end (struct evac *ev, int64_t ver);
/** evac_contains() - Return whether failure domain @name is evacuated. */
bool evac_contains (const struct evac *ev, const char *name);

#endif
