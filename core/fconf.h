/**
 * DOC: The fleet's configuration, which operators keep on the platform:
 * queues, client accounts with their keys, weights and limits, and services.
 */
#ifndef FCONF_H
#define FCONF_H

#include "job.h"

enum
{
  FCONF_HOST_SIZE = 128,
  FCONF_PREFIX_SIZE = 128,
  FCONF_KEY_SIZE = 128,
};

/** struct fconf_queue - a queue, and the terms of the jobs submitted to it */
struct fconf_queue
{
  char name[CLB_NAME_MAX];
  char host[FCONF_HOST_SIZE];     /* host of the queue's requests */
  char prefix[FCONF_PREFIX_SIZE]; /* prefix of their paths */
  char service[CLB_NAME_MAX];     /* service whose executors run the jobs */
  bool is_public;                 /* requests need no key */
  int64_t timeout_ms;             /* longest wait of a request; 0: no limit */
  int64_t priority;               /* 0 goes first */
  int64_t attempts; /* failures of one task before its job fails; 0: as 1 */
  /* A job's time objective: slack times its longest chain of estimates, plus
     target_ms. */
  double slack;
  int64_t target_ms;
  struct job_advice advice;
};

/** struct fconf_key - an API key of a client account */
struct fconf_key
{
  char key[FCONF_KEY_SIZE];
};

/** struct fconf_tenant - a client account */
struct fconf_tenant
{
  char name[CLB_NAME_MAX];
  /* Relative share of a full fleet; also the jobs a second that count as
     within that share. */
  double weight;
  /* Most that its running tasks may take; an amount of 0: no limit. */
  struct job_need limit;
  struct fconf_key *keys; /* owned */
  size_t n_keys;
};

/** struct fconf_service - a service, which executors provide */
struct fconf_service
{
  char name[CLB_NAME_MAX];
  char health_path[FCONF_PREFIX_SIZE]; /* empty: none */
  bool enforces_capacity; /* its executors refuse a task that does not fit */
};

/** struct fconf - one version of the configuration; owns its arrays */
struct fconf
{
  int64_t version; /* rises with each change */
  struct fconf_queue *queues;
  size_t n_queues;
  struct fconf_tenant *tenants;
  size_t n_tenants;
  struct fconf_service *services;
  size_t n_services;
  int64_t body_max; /* most bytes of a request's body */
};

/**
 * fconf_queue_for() - The queue of a request.
 * @host: the request's host, without the port
 * @path: the request's path; of the host's queues whose prefix it has, the one
 *        with the longest prefix is taken
 *
 * Return: borrowed from @c, or NULL if no queue matches.
 */
const struct fconf_queue *fconf_queue_for (const struct fconf *c,
                                           const char *host, const char *path);

/** fconf_tenant_of_key() - The client account of @key, or NULL if no account
 * has it; borrowed from @c. */
const struct fconf_tenant *fconf_tenant_of_key (const struct fconf *c,
                                                const char *key);
/** fconf_tenant() - The client account @name, or NULL; borrowed from @c. */
const struct fconf_tenant *fconf_tenant (const struct fconf *c,
                                         const char *name);
/** fconf_free() - Free @c with what it owns; @c may be NULL. */
void fconf_free (struct fconf *c);

#endif
