/*
 * Sharing among client accounts.  While the fleet is full, each account is
 * entitled to a part of it in proportion to its weight, among the accounts
 * that have work.  Jobs for which an account's part has no room left go behind
 * the other accounts' jobs.  They still run as long as anything is free, and
 * compete again as soon as the account uses less.  The policy answers one
 * account that sends several times its usual load beside the usual load of the
 * others.
 *
 * All inputs are what runs and what waits at present, so a new leader decides
 * as its predecessor did.
 */
#include "fsched_impl.h"

#include <stdlib.h>

/* Returns the larger of two numbers. */
static double
larger (double a, double b)
{
  return a > b ? a : b;
}

/* Returns the largest part that @need takes of any resource of @total. */
static double
dominant_part (const struct job_need *need, const struct job_need *total)
{
  double part = 0;

  if (total->millicores > 0)
    part = larger (part, (double)need->millicores / (double)total->millicores);
  if (total->mem_mb > 0)
    part = larger (part, (double)need->mem_mb / (double)total->mem_mb);
  if (total->accels > 0)
    part = larger (part, (double)need->accels / (double)total->accels);
  return part;
}

/* Returns the part of the fleet that the waiting tasks of the job's ready
   steps need. */
static double
waiting_part (const struct fsched *fs, const struct job *j)
{
  double part = 0;

  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      const struct jstep *s = &j->steps[i];
      int n_waiting = s->n_tasks - s->n_done - s->n_running;
      if (s->ready && n_waiting > 0)
        part += n_waiting
                * dominant_part (&j->spec.steps[i].need, &fs->capacity);
    }
  return part;
}

/* Returns the weight of an account; 0 if the configuration does not contain
   the account. */
static double
account_weight (const struct fsched *fs, const struct fsched_tenant *t)
{
  const struct fconf_tenant *conf
      = fs->conf ? fconf_tenant (fs->conf, t->name) : NULL;

  return conf && conf->weight > 0 ? conf->weight : 0;
}

/* Sums up the capacity of all executors that may be given tasks. */
static void
sum_capacity (struct fsched *fs)
{
  fs->capacity = (struct job_need){ 0 };
  for (int i = 0; i < fs->n_eligible; i++)
    {
      const struct job_need *c = &fs->eligible[i]->rep.capacity;
      fs->capacity.millicores += c->millicores;
      fs->capacity.mem_mb += c->mem_mb;
      fs->capacity.accels += c->accels;
    }
}

void
share_begin_pass (struct fsched *fs, struct job **jobs, int n)
{
  struct fsched_tenant *t;
  double weights = 0;

  sum_capacity (fs);
  TAILQ_FOREACH (t, &fs->tenants, link)
    {
      t->part_taken = dominant_part (&t->used, &fs->capacity);
      t->has_work = t->part_taken > 0;
    }
  for (int i = 0; i < n; i++)
    jobs[i]->account->has_work = true;
  TAILQ_FOREACH (t, &fs->tenants, link)
    weights += t->has_work ? account_weight (fs, t) : 0;
  TAILQ_FOREACH (t, &fs->tenants, link)
    t->part_entitled = weights > 0 ? account_weight (fs, t) / weights : 1;
}

bool
share_take (const struct fsched *fs, const struct job *j)
{
  struct fsched_tenant *t = j->account;

  if (t->part_taken >= t->part_entitled && !ABLATED (SHARES))
    return false;
  t->part_taken += waiting_part (fs, j);
  return true;
}
