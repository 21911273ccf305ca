/**
 * DOC: The fleet's configuration, as operators keep it on the platform:
 * queues, client accounts with keys, weights and upper limits, services.
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

/** struct fconf_queue - requests whose host and path it matches */
struct fconf_queue
{
  char name[CLB_NAME_MAX];
  char host[FCONF_HOST_SIZE];
  char prefix[FCONF_PREFIX_SIZE];
  char service[CLB_NAME_MAX];
  bool is_public; /* no key is asked for */
  int64_t timeout_ms;
  int64_t priority; /* 0 goes first */
  int64_t attempts;
  double slack;
  int64_t target_ms;
  struct job_advice advice;
};

struct fconf_key
{
  char key[FCONF_KEY_SIZE];
};

struct fconf_tenant
{
  char name[CLB_NAME_MAX];
  double weight;         /* its share of a full fleet; also jobs a second */
  struct job_need limit; /* most that may run; 0: no limit */
  struct fconf_key *keys;
  size_t n_keys;
};

struct fconf_service
{
  char name[CLB_NAME_MAX];
  char health_path[FCONF_PREFIX_SIZE];
  bool enforces_capacity; /* its executors refuse what does not fit */
};

struct fconf
{
  int64_t version;
  struct fconf_queue *queues;
  size_t n_queues;
  struct fconf_tenant *tenants;
  size_t n_tenants;
  struct fconf_service *services;
  size_t n_services;
  int64_t body_max; /* bytes of a request's body */
};

/**
 * fconf_queue_for() - The queue of a request.
 * @host: without the port
 * @path: the longest prefix of it that a queue of that host has wins
 *
 * Return: borrowed from @c, or NULL.
 */
const struct fconf_queue *fconf_queue_for (const struct fconf *c,
                                           const char *host, const char *path);

/** fconf_tenant_of_key() - The client account of a key, or NULL. */
const struct fconf_tenant *fconf_tenant_of_key (const struct fconf *c,
                                                const char *key);
const struct fconf_tenant *fconf_tenant (const struct fconf *c,
                                         const char *name);
void fconf_free (struct fconf *c);

#endif
