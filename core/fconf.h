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

/** struct fconf_queue - a queue and the terms of the jobs submitted to it; a
 * request is for the queue whose host and path prefix it has */
struct fconf_queue
{
  char name[CLB_NAME_MAX];
  char host[FCONF_HOST_SIZE];     /* host in the URLs of requests */
  char prefix[FCONF_PREFIX_SIZE]; /* prefix of the paths of requests */
  char service[CLB_NAME_MAX];     /* service whose executors run the jobs */
  bool is_public;                 /* requests need no key */
  int64_t timeout_ms; /* upper limit of a request's timeout; 0: no limit */
  int64_t priority;   /* jobs of priority 0 are scheduled first */
  int64_t attempts;   /* failures of one task that make its job fail; 0: 1 */
  /* The time objective of a job is slack times the job's longest chain of
     estimates, plus target_ms. */
  double slack;
  int64_t target_ms;        /* constant part of a job's time objective */
  struct job_advice advice; /* cost of a query for advice on a step */
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
  /* The account's share of a full fleet, relative to the other weights; also
     the number of its jobs a second that count as within that share. */
  double weight;
  /* Most that the account's running tasks may take together; 0 in one of the
     amounts: that resource is not limited. */
  struct job_need limit;
  struct fconf_key *keys; /* owned by struct fconf */
  size_t n_keys;
};

/** struct fconf_service - a service, which executors provide */
struct fconf_service
{
  char name[CLB_NAME_MAX];
  char health_path[FCONF_PREFIX_SIZE]; /* path of health checks; empty: none */
  /* The executors of the service refuse a task that does not fit. */
  bool enforces_capacity;
};

/** struct fconf - one version of the configuration; owns its arrays */
struct fconf
{
  int64_t version; /* larger after each change of the configuration */
  struct fconf_queue *queues;
  size_t n_queues;
  struct fconf_tenant *tenants;
  size_t n_tenants;
  struct fconf_service *services;
  size_t n_services;
  int64_t body_max; /* most bytes of a request's body */
};

/**
 * fconf_queue_for() - Find the queue of a request.
 * @host: the request's host, without the port
 * @path: the request's path
 *
 * Return: of the queues of @host whose prefix @path has, the one with the
 * longest prefix, borrowed from @c; NULL if there is none.
 */
const struct fconf_queue *fconf_queue_for (const struct fconf *c,
                                           const char *host, const char *path);

/** fconf_tenant_of_key() - Return the client account that has @key, borrowed
 * from @c, or NULL if no account has it. */
const struct fconf_tenant *fconf_tenant_of_key (const struct fconf *c,
                                                const char *key);
/** fconf_tenant() - Return the client account @name, borrowed from @c, or NULL
 * if there is none. */
const struct fconf_tenant *fconf_tenant (const struct fconf *c,
                                         const char *name);
/** fconf_free() - Free @c and its arrays; @c may be NULL. */
void fconf_free (struct fconf *c);

#endif
