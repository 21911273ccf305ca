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

/** struct fconf_queue - a queue and the settings of the jobs submitted to it;
 * a request belongs to the queue whose host and path prefix match the URL */
struct fconf_queue
{
  char name[CLB_NAME_MAX];
  char host[FCONF_HOST_SIZE];     /* host in the URLs of requests */
  char prefix[FCONF_PREFIX_SIZE]; /* prefix of the paths of requests */
  char service[CLB_NAME_MAX];     /* service whose executors run the jobs */
  bool is_public;                 /* true: requests need no key */
  int64_t timeout_ms; /* upper limit of a request's timeout; 0: no limit */
  int64_t priority;   /* priority of the jobs; 0: highest */
  /* Number of failures of one task after which the job fails; 0 counts as
     1. */
  int64_t attempts;
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
  /* The account's share of a full fleet, relative to the weights of the other
     accounts; also the number of the account's jobs per second that count as
     within that share. */
  double weight;
  /* Maximum amount of each resource that the account's running tasks may use
     together; an amount of 0: the resource is not limited. */
  struct job_need limit;
  struct fconf_key *keys; /* owned by struct fconf */
  size_t n_keys;
};

/** struct fconf_service - a service, which executors provide */
struct fconf_service
{
  char name[CLB_NAME_MAX];
  char health_path[FCONF_PREFIX_SIZE]; /* path of health checks; empty: none */
  /* True if the executors of the service refuse a task that does not fit. */
  bool enforces_capacity;
};

/** struct fconf - one version of the configuration; owns its arrays */
struct fconf
{
  int64_t version;            /* grows with each change of the configuration */
  struct fconf_queue *queues; /* sorted by fconf_sort_queues() */
  size_t n_queues;
  struct fconf_tenant *tenants;
  size_t n_tenants;
  struct fconf_service *services;
  size_t n_services;
  /* Number of queues, client accounts, keys and services of the document that
     could not be used and are missing here. */
  size_t n_unusable;
  char first_unusable[128]; /* place of the first one in the document */
  int64_t body_max;         /* maximum size of a request's body, in bytes */
};

/** fconf_sort_queues() - Sort the queues of @c for fconf_queue_for(). */
void fconf_sort_queues (struct fconf *c);
/**
 * fconf_queue_for() - Find the queue of a request.
 * @host: the request's host, without the port
 * @path: the request's path
 *
 * Return: the queue of @host with the longest prefix that @path begins with,
 * borrowed from @c; NULL if no queue matches.
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
