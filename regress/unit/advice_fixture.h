/* Fixture for tests of steps that need advice: the scheduler's fixture with an
   advice service that answers when a test says so. */
#ifndef ADVICE_FIXTURE_H
#define ADVICE_FIXTURE_H

#include "sched_fixture.h"
#include "unit.h"

enum
{
  ADVICE_MS = 100, /* announced duration of a query */
  VALID_MS = 2000, /* lifetime of a ticket */
  QUERIES_MAX = 200,
  LONG_ADVICE_MS = 5000, /* announced duration of a query that stays open */
  TARGET_MS = 60000,     /* latency objective of a job that is on time */
};

/* struct query - an advice query that the scheduler has sent */
struct query
{
  uint64_t id;
  int64_t sent_ms;
  bool answered;
};

/* struct service - the advice service, and executors that may refuse
   tickets */
struct service
{
  struct fixture x;
  struct query queries[QUERIES_MAX];
  int n_queries;
  bool refuses_tickets; /* executors refuse all tickets */
  int advice_ms;        /* announced duration of the queries of new jobs */
  /* Number of lines that the scheduler has logged with this text in them. */
  const char *text;
  int n_lines;
};

static inline void
set_up_service (struct service *s)
{
  *s = (struct service){ .advice_ms = ADVICE_MS };
  set_up (&s->x);
  fsched_adviser_seen (s->x.fs, "", "", 0, 0);
  set_limit (&s->x, 0);
  settle (&s->x);
}

/* Adds a job of one step that needs advice.
   @target_ms: as job_spec::target_ms; the job is late at once if it is 0 */
static inline void
add_advised_step (struct service *s, const char *id, int tasks, bool gang,
                  int64_t target_ms)
{
  struct job_spec spec
      = { .attempts = 1,
          .n_steps = 1,
          .target_ms = target_ms,
          .advice = { .base_ms = s->advice_ms, .valid_ms = VALID_MS } };

  clb_copy (spec.id, id, sizeof spec.id);
  clb_copy (spec.tenant, "blue", sizeof spec.tenant);
  clb_copy (spec.service, "svc", sizeof spec.service);
  clb_copy (spec.queue, "q", sizeof spec.queue);
  spec.steps = fsched_zalloc (1, sizeof *spec.steps);
  spec.steps[0].tasks = tasks;
  spec.steps[0].gang = gang;
  spec.steps[0].need.millicores = 1000;
  fsched_add_job (s->x.fs, &spec, false, 0);
}

static inline void
add_advised_job (struct service *s, const char *id)
{
  add_advised_step (s, id, 1, false, 0);
}

/* Takes the orders of the scheduler: keeps queries, and lets executors answer
   the others. */
static inline void
take_orders (struct service *s)
{
  struct out *o;

  while ((o = out_take (&s->x.out)))
    {
      struct order_result res
          = { .outcome = ORDER_DONE, .clock_ms = s->x.boot_ms + s->x.now_ms };
      const struct order *order = o->kind == OUT_ORDER ? o->u.order : NULL;
      if (o->kind == OUT_LOG_LINE && s->text && strstr (o->u.line, s->text))
        s->n_lines++;
      if (order && order->kind == ORDER_ADVISE)
        {
          CU_ASSERT_FATAL (s->n_queries < QUERIES_MAX);
          s->queries[s->n_queries++]
              = (struct query){ order->id, s->x.now_ms, false };
        }
      else if (order)
        {
          bool start = order->kind == ORDER_START;
          if (start && s->refuses_tickets)
            {
              res.outcome = ORDER_REFUSED;
              res.reason = REFUSED_TICKET;
            }
          fsched_order_result (s->x.fs, s->x.now_ms, order->id, &res);
        }
      out_free (o);
    }
}

/* Answers a query: all executors are permitted.
   @took_ms: as order_result::took_ms */
static inline void
answer_query (struct service *s, struct query *q, int64_t took_ms)
{
  struct permitted_exec all[EXECS] = { 0 };
  struct order_result res = { .outcome = ORDER_DONE,
                              .permitted = all,
                              .n_permitted = EXECS,
                              .took_ms = took_ms };

  for (int i = 0; i < EXECS; i++)
    {
      snprintf (all[i].exec, sizeof all[i].exec, "e%d", i);
      all[i].ticket = "t";
    }
  q->answered = true;
  fsched_order_result (s->x.fs, s->x.now_ms, q->id, &res);
}

/* Returns the number of jobs of which a task was started. */
static inline int
n_started (const struct service *s)
{
  const struct job *j;
  int n = 0;

  TAILQ_FOREACH (j, &s->x.fs->queue, link)
    n += j->task_started;
  return n;
}

/* Lets the scheduler work for a time.  Each query is answered @answer_ms after
   it was sent; a negative number: never. */
static inline void
run_for (struct service *s, int64_t for_ms, int64_t answer_ms)
{
  for (int64_t end_ms = s->x.now_ms + for_ms; s->x.now_ms < end_ms;)
    {
      s->x.now_ms += STEP_MS;
      fsched_tick (s->x.fs, s->x.now_ms, true);
      collect (&s->x);
      fsched_recorded (s->x.fs);
      take_orders (s);
      for (int i = 0; i < s->n_queries && answer_ms >= 0; i++)
        if (!s->queries[i].answered
            && s->x.now_ms - s->queries[i].sent_ms >= answer_ms)
          answer_query (s, &s->queries[i], 0);
    }
}

static inline bool
has_started (const struct service *s, const char *id)
{
  return fsched_find_job (s->x.fs, id)->task_started;
}

/* Lets a late gang have tickets while all room is reserved for the answer to
   the query about a job that is on time. */
static inline void
set_up_held_gang (struct service *s)
{
  set_up_service (s);
  fsched_adviser_seen (s->x.fs, "i2", "10.0.0.9:80", 0, 0);
  add_advised_step (s, "0000000000000001", 2, true, 0);
  run_for (s, 40, -1);
  CU_ASSERT_EQUAL_FATAL (s->n_queries, 1);
  s->advice_ms = LONG_ADVICE_MS;
  add_advised_step (s, "0000000000000002", EXECS * CORES, true, TARGET_MS);
  run_for (s, 40, -1);
  CU_ASSERT_EQUAL_FATAL (s->n_queries, 2);
}

#endif
