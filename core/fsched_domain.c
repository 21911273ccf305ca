/*
 * Failure domains that have gone silent.  When a domain is cut off, each of
 * its executors would have to be found unreachable by orders of its own, and
 * what was sent there waits until the executors' leases are over.  A few start
 * orders without an answer, while no executor of the domain answers anything
 * and executors of other domains do, show it for all of them at once.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Number of unanswered start orders from which on a domain may count as
     silent: a single executor may have crashed. */
  SILENT_STARTS_MIN = 4,
  /* Time for which a domain must not have answered.  Answers take some 3 ms;
     the leader may be busy for some tens of ms. */
  SILENT_MS = 120,
};

struct domain *
domain_get (struct fsched *fs, const char *name)
{
  struct domain *d;

  TAILQ_FOREACH (d, &fs->domains, link)
    if (strcmp (d->name, name) == 0)
      return d;
  d = fsched_zalloc (1, sizeof *d);
  clb_copy (d->name, name, sizeof d->name);
  d->evacuated = fs->evac && evac_contains (fs->evac, name);
  TAILQ_INSERT_TAIL (&fs->domains, d, link);
  return d;
}

/* Logs that a domain is evacuated, or no longer, with the executors and runs
   that it has. */
static void
log_evacuated (struct fsched *fs, const struct domain *d)
{
  const struct exec *e;
  const struct start *r;
  int n_execs = 0;
  int n_runs = 0;
  int n_unsent = 0;

  TAILQ_FOREACH (e, &fs->execs, link)
    {
      if (e->domain != d)
        continue;
      n_execs++;
      TAILQ_FOREACH (r, &e->runs, exec_link)
        {
          bool unsent = r->state == START_INTENT || r->state == START_DROPPED;
          n_unsent += unsent;
          n_runs += !unsent;
        }
    }
  out_line (fs->out, "event=domain-%s domain=%s execs=%d runs=%d unsent=%d",
            d->evacuated ? "evacuated" : "returned", d->name, n_execs, n_runs,
            n_unsent);
}

void
fsched_set_evac (struct fsched *fs, const struct evac *ev)
{
  struct domain *d;

  fs->evac = ev;
  TAILQ_FOREACH (d, &fs->domains, link)
    {
      bool evacuated = evac_contains (ev, d->name);
      if (evacuated == d->evacuated)
        continue;
      d->evacuated = evacuated;
      log_evacuated (fs, d);
    }
  fs->pass_due = true;
}

void
fsched_hold_starts (struct fsched *fs, bool held, int64_t age_ms)
{
  if (held == fs->starts_held)
    return;
  fs->starts_held = held;
  fs->pass_due = true;
  out_line (fs->out, "event=starts-%s reason=evacuations age_ms=%lld",
            held ? "held" : "allowed", (long long)age_ms);
}

bool
domain_takes_starts (const struct exec *e)
{
  return !e->domain || (!e->domain->silent && !e->domain->evacuated);
}

void
domain_start_sent (struct fsched *fs, const struct exec *e)
{
  struct domain *d = e->domain;

  if (d && d->n_unanswered++ == 0)
    d->first_unanswered_ms = fs->now_ms;
}

void
domain_answered (struct fsched *fs, const struct exec *e)
{
  struct domain *d = e->domain;

  if (!d)
    return;
  d->last_answer_ms = fs->now_ms;
  d->n_unanswered = 0;
  if (!d->silent)
    return;
  d->silent = false;
  fs->pass_due = true;
  out_line (fs->out, "event=domain-answers domain=%s exec=%s", d->name,
            e->rep.id);
}

/* Returns whether an executor of another domain has answered since the first
   unanswered order to @d was overdue.  If none has, this instance may be cut
   off itself, or too busy to read answers. */
static bool
others_answer (const struct fsched *fs, const struct domain *d)
{
  const struct domain *other;

  TAILQ_FOREACH (other, &fs->domains, link)
    if (other != d
        && other->last_answer_ms >= d->first_unanswered_ms + SILENT_MS / 2)
      return true;
  return false;
}

void
domain_check_all (struct fsched *fs)
{
  struct domain *d;

  TAILQ_FOREACH (d, &fs->domains, link)
    {
      if (ABLATED (SILENT_DOMAINS) || d->silent
          || d->n_unanswered < SILENT_STARTS_MIN
          || fs->now_ms - d->first_unanswered_ms < SILENT_MS
          || !others_answer (fs, d))
        continue;
      d->silent = true;
      out_line (fs->out, "event=domain-silent domain=%s starts=%d for_ms=%lld",
                d->name, d->n_unanswered,
                (long long)(fs->now_ms - d->last_answer_ms));
    }
}

void
domain_count_cores (struct fsched *fs)
{
  struct domain *d;
  const struct exec *e;

  TAILQ_FOREACH (d, &fs->domains, link)
    d->cores = (struct domain_cores){ 0 };
  TAILQ_FOREACH (e, &fs->execs, link)
    {
      struct domain_cores *c = e->domain ? &e->domain->cores : NULL;
      int64_t free_millicores
          = e->rep.capacity.millicores - e->used.millicores;
      if (!c)
        continue;
      c->used += e->used.millicores / 1000;
      if (!exec_eligible (fs, e))
        c->unusable += free_millicores / 1000;
      else
        {
          int64_t held = e->reserved.millicores < free_millicores
                             ? e->reserved.millicores
                             : free_millicores;
          c->held += held / 1000;
          c->free += (free_millicores - held) / 1000;
        }
    }
}

void
domain_free_all (struct fsched *fs)
{
  struct domain *d;

  while ((d = TAILQ_FIRST (&fs->domains)))
    {
      TAILQ_REMOVE (&fs->domains, d, link);
      free (d);
    }
}
