/* Fixture for tests of the fleet's scheduler: one client account, and
   executors that answer at once and report no runs. */
#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include "fsched_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXECS = 4,
  CORES = 4,        /* of each executor */
  BOOT_MS = 500000, /* age of the executors' boots when a test begins */
  START_MS = 1000,  /* local time when a test begins */
  STEP_MS = 20,     /* time between two calls of the scheduler */
};

#define BOOT_START_MS 1775486528289 /* of all executors */

/* struct fixture - a scheduler, one client account and its executors */
struct fixture
{
  struct outq out;
  struct fsched_stats stats;
  struct fsched *fs;
  int64_t now_ms;
  int64_t boot_ms; /* the executors' clocks are ahead of now_ms by this */
  int64_t boot_start_ms;
  struct fconf conf;
  struct fconf_tenant account;
  int n_started; /* number of start orders that were answered */
};

/* Gives the account a limit in a new version of the configuration. */
static inline void
set_limit (struct fixture *x, int64_t millicores)
{
  x->conf.version++;
  x->conf.tenants = &x->account;
  x->conf.n_tenants = 1;
  x->account.limit.millicores = millicores;
  fsched_set_conf (x->fs, &x->conf);
}

static inline void
report_exec (struct fixture *x, const char *id)
{
  struct exec_report rep
      = { .capacity = { .millicores = CORES * 1000, .mem_mb = 1000 },
          .boot_start_ms = x->boot_start_ms };

  clb_copy (rep.id, id, sizeof rep.id);
  clb_copy (rep.addr, "10.0.0.1:80", sizeof rep.addr);
  clb_copy (rep.service, "svc", sizeof rep.service);
  fsched_exec_report (x->fs, &rep);
}

static inline void
set_up (struct fixture *x)
{
  static uint64_t last_token;
  char id[CLB_ID_MAX];

  *x = (struct fixture){ .now_ms = START_MS,
                         .boot_ms = BOOT_MS,
                         .boot_start_ms = BOOT_START_MS };
  TAILQ_INIT (&x->out);
  x->fs = fsched_new (&x->out, &last_token, x->now_ms, 1, 0, &x->stats);
  clb_copy (x->account.name, "blue", sizeof x->account.name);
  for (int i = 0; i < EXECS; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      report_exec (x, id);
    }
  fsched_load_done (x->fs);
}

static inline void
tear_down (struct fixture *x)
{
  struct out *o;

  fsched_free (x->fs);
  while ((o = out_take (&x->out)))
    out_free (o);
}

/* Answers all orders that the scheduler has given.  Executors report no
   runs. */
static inline void
answer_orders (struct fixture *x)
{
  struct out *o;

  while ((o = out_take (&x->out)))
    {
      struct order_result res
          = { .outcome = ORDER_DONE, .clock_ms = x->boot_ms + x->now_ms };
      if (o->kind == OUT_ORDER)
        {
          if (o->u.order->kind == ORDER_POLL)
            res.boot_start_ms = x->boot_start_ms;
          x->n_started += o->u.order->kind == ORDER_START;
          fsched_order_result (x->fs, x->now_ms, o->u.order->id, &res);
        }
      out_free (o);
    }
}

/* Returns the first order of @kind that the scheduler has given since, to
   executor @exec unless that is NULL; the other orders are lost.  The caller
   frees it with order_free(). */
static inline struct order *
take_order_to (struct fixture *x, int kind, const char *exec)
{
  struct order *found = NULL;
  struct out *o;

  while ((o = out_take (&x->out)))
    {
      if (!found && o->kind == OUT_ORDER && o->u.order->kind == kind
          && (!exec || strcmp (o->u.order->exec, exec) == 0))
        {
          found = o->u.order;
          o->u.order = NULL;
          o->kind = OUT_LOG_LINE;
          o->u.line = NULL;
        }
      out_free (o);
    }
  return found;
}

/* Lets the scheduler work and its executors answer. */
static inline void
step (struct fixture *x)
{
  x->now_ms += STEP_MS;
  fsched_tick (x->fs, x->now_ms, true);
  answer_orders (x);
}

/* Begins a write of the scheduler's records. */
static inline void
collect (struct fixture *x)
{
  struct store_op op = { 0 };

  fsched_collect (x->fs, &op, LEADER_ROWS_MAX);
  codec_free (&store_op_desc, &op);
}

/* Ends the write of the scheduler's records. */
static inline void
record (struct fixture *x)
{
  fsched_recorded (x->fs);
  answer_orders (x);
}

/* Lets the scheduler make its executors known to the next leader, so that it
   may use them. */
static inline void
settle (struct fixture *x)
{
  step (x);
  collect (x);
  record (x);
}

static inline void
add_job (struct fixture *x, const char *id, int tasks, bool gang)
{
  struct job_spec spec = { .attempts = 1, .n_steps = 1 };

  clb_copy (spec.id, id, sizeof spec.id);
  clb_copy (spec.tenant, "blue", sizeof spec.tenant);
  clb_copy (spec.service, "svc", sizeof spec.service);
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = tasks;
  spec.steps[0].gang = gang;
  spec.steps[0].need.millicores = 1000;
  fsched_add_job (x->fs, &spec, false, 0);
}

#endif
