/* Tests of how the fleet is shared among client accounts in a placing pass. */
#include "fsched_impl.h"
#include "unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  EXECS = 4,
  CORES = 16, /* of each executor */
  JOBS_MAX = 100,
};

/* struct fixture - a scheduler with idle executors and waiting jobs */
struct fixture
{
  struct outq out;
  struct fsched_stats stats;
  struct fsched *fs;
  struct fconf conf;
  struct fconf_tenant tenants[JOBS_MAX];
  struct exec execs[EXECS];
  struct exec *eligible[EXECS];
  struct job *jobs[JOBS_MAX];
  int n_jobs;
};

static void
set_up (struct fixture *x)
{
  static uint64_t last_token;

  *x = (struct fixture){ .n_jobs = 0 };
  TAILQ_INIT (&x->out);
  x->fs = fsched_new (&x->out, &last_token, 1000, 1, 0, &x->stats);
  x->conf.tenants = x->tenants;
  x->fs->conf = &x->conf;
  for (int i = 0; i < EXECS; i++)
    {
      x->execs[i].rep.capacity
          = (struct job_need){ .millicores = CORES * 1000, .mem_mb = 1000 };
      x->eligible[i] = &x->execs[i];
    }
  x->fs->eligible = x->eligible;
  x->fs->n_eligible = EXECS;
}

static void
tear_down (struct fixture *x)
{
  struct out *o;

  x->fs->eligible = NULL;
  fsched_free (x->fs);
  while ((o = out_take (&x->out)))
    out_free (o);
}

static void
add_account (struct fixture *x, const char *name, double weight)
{
  struct fconf_tenant *t = &x->tenants[x->conf.n_tenants++];

  clb_copy (t->name, name, sizeof t->name);
  t->weight = weight;
}

static void
add_jobs (struct fixture *x, const char *account, int n, int cores)
{
  for (int i = 0; i < n; i++)
    {
      struct job_spec spec = { .attempts = 1, .n_steps = 1 };
      snprintf (spec.id, sizeof spec.id, "%016x", x->n_jobs);
      clb_copy (spec.tenant, account, sizeof spec.tenant);
      spec.steps = fsched_zalloc (1, sizeof *spec.steps);
      spec.steps[0].tasks = 1;
      spec.steps[0].need.millicores = cores * 1000;
      fsched_add_job (x->fs, &spec, false, 0);
      x->jobs[x->n_jobs] = TAILQ_LAST (&x->fs->queue, jobq);
      x->n_jobs++;
    }
}

/* Return: number of jobs of the account that are within its share. */
static int
count_within (struct fixture *x, const char *account)
{
  int n = 0;

  share_begin_pass (x->fs, x->jobs, x->n_jobs);
  for (int i = 0; i < x->n_jobs; i++)
    if (strcmp (x->jobs[i]->spec.tenant, account) == 0)
      n += share_take (x->fs, x->jobs[i]);
  return n;
}

static void
test_parts_follow_the_weights (void)
{
  struct fixture x;

  set_up (&x);
  add_account (&x, "large", 3);
  add_account (&x, "small", 1);
  add_jobs (&x, "large", 40, 2);
  add_jobs (&x, "small", 40, 2);
  CU_ASSERT_EQUAL (count_within (&x, "large"), 24);
  CU_ASSERT_EQUAL (count_within (&x, "small"), 8);
  tear_down (&x);
}

static void
test_an_account_alone_has_all (void)
{
  struct fixture x;

  set_up (&x);
  add_account (&x, "one", 1);
  add_account (&x, "idle", 99);
  add_jobs (&x, "one", 40, 2);
  CU_ASSERT_EQUAL (count_within (&x, "one"), 32);
  tear_down (&x);
}

static void
test_what_runs_counts (void)
{
  struct fixture x;

  set_up (&x);
  add_account (&x, "a", 1);
  add_account (&x, "b", 1);
  add_jobs (&x, "a", 20, 2);
  add_jobs (&x, "b", 20, 2);
  fsched_tenant (x.fs, "a")->used.millicores = 24000;
  CU_ASSERT_EQUAL (count_within (&x, "a"), 4);
  CU_ASSERT_EQUAL (count_within (&x, "b"), 16);
  fsched_tenant (x.fs, "a")->used.millicores = 0;
  fsched_tenant (x.fs, "a")->used.mem_mb = 2000;
  CU_ASSERT_EQUAL (count_within (&x, "a"), 0);
  tear_down (&x);
}

static void
test_edges (void)
{
  struct fixture x;

  set_up (&x);
  add_account (&x, "none", 0);
  add_account (&x, "one", 1);
  add_jobs (&x, "none", 5, 2);
  CU_ASSERT_EQUAL (count_within (&x, "none"), 5);
  add_jobs (&x, "one", 5, 2);
  CU_ASSERT_EQUAL (count_within (&x, "none"), 0);
  CU_ASSERT_EQUAL (count_within (&x, "one"), 5);
  add_jobs (&x, "unknown", 5, 2);
  CU_ASSERT_EQUAL (count_within (&x, "unknown"), 0);
  tear_down (&x);
}

static void
test_more_accounts_than_executors (void)
{
  struct fixture x;
  char name[16];

  set_up (&x);
  for (int i = 0; i < 50; i++)
    {
      snprintf (name, sizeof name, "t%d", i);
      add_account (&x, name, 1);
      add_jobs (&x, name, 2, CORES);
    }
  /* A job larger than the account's part still runs within it. */
  CU_ASSERT_EQUAL (count_within (&x, "t0"), 1);
  CU_ASSERT_EQUAL (count_within (&x, "t49"), 1);
  tear_down (&x);
}

static void
test_no_executor (void)
{
  struct fixture x;

  set_up (&x);
  x.fs->n_eligible = 0;
  add_account (&x, "one", 1);
  add_jobs (&x, "one", 5, 1000);
  CU_ASSERT_EQUAL (count_within (&x, "one"), 5);
  tear_down (&x);
}

UNIT_MAIN ("share",
           { "parts follow the weights", test_parts_follow_the_weights },
           { "an account alone has all", test_an_account_alone_has_all },
           { "what runs counts", test_what_runs_counts },
           { "weight 0 and unknown accounts", test_edges },
           { "more accounts than executors",
             test_more_accounts_than_executors },
           { "no executor", test_no_executor })
