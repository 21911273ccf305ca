/*
 * Client accounts: what the runs of their tasks use, and whether their limits
 * leave room for more.
 */
#include "fsched_impl.h"

enum
{
  /* Shortest interval between log lines which say that an account is held
     back by its limit. */
  HELD_LINE_MS = 1000,
};

/* Returns the account's entry in the configuration; NULL: there is none. */
static const struct fconf_tenant *
account_conf (const struct fsched *fs, const struct fsched_tenant *t)
{
  return fs->conf ? fconf_tenant (fs->conf, t->name) : NULL;
}

int64_t
account_conf_version (const struct fsched *fs)
{
  return fs->conf ? fs->conf->version : 0;
}

struct job_need
account_limit (const struct fsched *fs, const struct fsched_tenant *t)
{
  const struct fconf_tenant *conf = account_conf (fs, t);

  return conf ? conf->limit : t->last_limit;
}

void
account_keep_limit (const struct fsched *fs, struct fsched_tenant *t)
{
  t->last_limit = account_limit (fs, t);
}

/* Logs that the account's limit leaves no room for @n tasks which need @need
   each, unless it was logged a short time ago. */
static void
log_held (struct fsched *fs, struct fsched_tenant *t,
          const struct job_need *limit, const struct job *j, int step, int n)
{
  const struct job_need *need = &j->spec.steps[step].need;

  if (t->held_line_ms && fs->now_ms - t->held_line_ms < HELD_LINE_MS)
    return;
  t->held_line_ms = fs->now_ms;
  out_line (fs->out,
            "event=limit-held tenant=%s used=%lld,%lld,%lld "
            "limit=%lld,%lld,%lld config=%lld job=%s step=%d tasks=%d "
            "need=%lld,%lld,%lld",
            t->name, (long long)t->used.millicores, (long long)t->used.mem_mb,
            (long long)t->used.accels, (long long)limit->millicores,
            (long long)limit->mem_mb, (long long)limit->accels,
            (long long)account_conf_version (fs), j->spec.id, step, n,
            (long long)need->millicores, (long long)need->mem_mb,
            (long long)need->accels);
}

bool
account_has_room (struct fsched *fs, const struct job *j, int step, int n)
{
  struct fsched_tenant *t = j->account;
  const struct job_need *need = &j->spec.steps[step].need;
  struct job_need limit = account_limit (fs, t);

#define OVER(f) (limit.f && t->used.f + n * need->f > limit.f)
  if (!OVER (millicores) && !OVER (mem_mb) && !OVER (accels))
    return true;
#undef OVER
  log_held (fs, t, &limit, j, step, n);
  return false;
}

bool
account_may_start (struct fsched *fs, const struct job *j, int step)
{
  bool gang = j->spec.steps[step].gang;

  return account_has_room (fs, j, step, gang ? j->steps[step].n_tasks : 1);
}

void
account_add (struct fsched_tenant *t, const struct job_need *need, int sign)
{
  t->used.millicores += sign * need->millicores;
  t->used.mem_mb += sign * need->mem_mb;
  t->used.accels += sign * need->accels;
  t->n_runs += sign;
}

void
account_log_all (struct fsched *fs, const char *event)
{
  const struct fsched_tenant *t;

  TAILQ_FOREACH (t, &fs->tenants, link)
    {
      struct job_need limit = account_limit (fs, t);
      if (t->n_runs)
        out_line (fs->out,
                  "event=%s tenant=%s runs=%d used=%lld,%lld,%lld "
                  "limit=%lld,%lld,%lld config=%lld",
                  event, t->name, t->n_runs, (long long)t->used.millicores,
                  (long long)t->used.mem_mb, (long long)t->used.accels,
                  (long long)limit.millicores, (long long)limit.mem_mb,
                  (long long)limit.accels,
                  (long long)account_conf_version (fs));
    }
}
