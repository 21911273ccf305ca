#include "advice.h"
#include "httpd.h"
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_MAX = 1 << 20, /* largest accepted body of a query, in bytes */
  PEER_SIZE = 48,     /* size of an IP address as text, with the NUL */
  QUEUES_MAX = 16,    /* largest number of queues */
  LISTENERS_MAX = 64, /* largest number of addresses to listen on */
};

/* struct listener - an address that the service listens on */
struct listener
{
  const char *addr;
  struct httpd *http;
};

/* struct queue - a queue with advice */
struct queue
{
  char name[CLB_NAME_MAX];
  char digit; /* first character of its jobs' ids; 0: not declared */
  double share;
  struct job_advice advice;
  long long n_queries;
  long long n_names; /* executors named in its queries */
  double busy_ms;    /* time of the service for its handled queries */
};

/* struct query - a query that the service has received; it keeps its turn if
   the caller closes the connection */
struct query
{
  TAILQ_ENTRY (query) link;
  struct listener *listener;
  uint64_t request_id;
  struct order order; /* owns its execs */
};

/* struct machine - a calling machine */
struct machine
{
  TAILQ_ENTRY (machine) link;
  char peer[PEER_SIZE + CLB_ADDR_MAX]; /* its address, and the service's */
  TAILQ_HEAD (, query) waiting;
  struct query *current; /* query that is being handled; NULL: none */
  uv_timer_t timer;      /* ends the current query */
};

static struct sadv_conf conf;
static struct listener listeners[LISTENERS_MAX];
static int n_listeners;
static struct queue queues[QUEUES_MAX];
static int n_queues;
/* Times of the service for jobs of queues that are not declared. */
static struct job_advice default_advice;
static TAILQ_HEAD (, machine) machines = TAILQ_HEAD_INITIALIZER (machines);
static int n_machines;

/* Returns the queue with this name; adds it if it is new. */
static struct queue *
queue_get (const char *name)
{
  int i = 0;

  while (i < n_queues && strcmp (queues[i].name, name) != 0)
    i++;
  if (i == QUEUES_MAX)
    abort ();
  if (i == n_queues)
    clb_copy (queues[n_queues++].name, name, sizeof queues[i].name);
  return &queues[i];
}

/* Returns the declared queue of a job; NULL if there is none. */
static struct queue *
queue_of (const char *job_id)
{
  for (int i = 0; i < n_queues; i++)
    if (queues[i].digit && queues[i].digit == *job_id)
      return &queues[i];
  return NULL;
}

static const struct job_advice *
advice_of (const char *job_id)
{
  const struct queue *q = queue_of (job_id);

  return q ? &q->advice : &default_advice;
}

/* Returns how long the service takes for a query, in ms. */
static uint64_t
query_ms (const struct query *q)
{
  const struct job_advice *a = advice_of (q->order.task.job);
  double ms = a->base_ms + a->per_exec_ms * (double)q->order.n_execs;

  return (uint64_t)(ms * conf.sim->advice.slow_factor);
}

/* Notes that starts of the step's job need tickets from now on. */
static void
require_tickets (const char *job_id)
{
  const struct queue *q = queue_of (job_id);
  struct fjob *j = fsim_find_job (conf.sim, job_id);

  if (!j)
    {
      j = calloc (1, sizeof *j);
      clb_copy (j->id, job_id, sizeof j->id);
      RB_INSERT (fjob_tree, &conf.sim->jobs, j);
    }
  j->asked = true;
  j->permitted_share = q ? q->share : 0;
}

static void
answer_query (const struct query *q)
{
  struct order_result res = { 0 };
  json_t *good = json_array ();
  json_auto_t *body = NULL;
  clb_auto char *text = NULL;

  conf.sim->now_ms = conf.now_ms ();
  require_tickets (q->order.task.job);
  conf.sim->ticket_ms = advice_of (q->order.task.job)->valid_ms;
  fadvice_answer (conf.sim, &q->order, &res);
  for (size_t i = 0; i < res.n_permitted; i++)
    json_array_append_new (good, json_pack ("[s,s]", res.permitted[i].exec,
                                            res.permitted[i].ticket));
  body = json_pack ("{s:o}", "good", good);
  text = json_dumps (body, JSON_COMPACT);
  httpd_answer (q->listener->http, q->request_id, 200, "application/json",
                text, strlen (text), 0);
  order_result_clear (&res);
}

/* Adds the time for a query to its queue's. */
static void
count_busy (const struct query *q)
{
  struct queue *queue = queue_of (q->order.task.job);

  if (queue)
    queue->busy_ms += (double)query_ms (q);
}

/* Adds a query that has arrived to its queue's. */
static void
count_query (const struct query *q)
{
  struct queue *queue = queue_of (q->order.task.job);

  if (!queue)
    return;
  queue->n_queries++;
  queue->n_names += (long long)q->order.n_execs;
}

static void on_query_done (uv_timer_t *t);

/* Begins the next query of a machine, unless one is being handled. */
static void
begin_next (struct machine *m)
{
  struct query *q = TAILQ_FIRST (&m->waiting);

  if (m->current || !q)
    return;
  TAILQ_REMOVE (&m->waiting, q, link);
  conf.sim->advice.n_waiting--;
  m->current = q;
  uv_timer_start (&m->timer, on_query_done, query_ms (q), 0);
}

static void
on_query_done (uv_timer_t *t)
{
  struct machine *m = t->data;
  struct query *q = m->current;
  int64_t stall_ms = conf.sim->advice.stalled_until_ms - conf.now_ms ();

  if (stall_ms > 0)
    {
      uv_timer_start (t, on_query_done, (uint64_t)stall_ms + query_ms (q), 0);
      return;
    }
  m->current = NULL;
  count_busy (q);
  answer_query (q);
  free (q->order.execs);
  free (q);
  begin_next (m);
}

/* Returns the machine with this address; adds it if it is new. */
static struct machine *
machine_get (const char *peer)
{
  struct machine *m;

  TAILQ_FOREACH (m, &machines, link)
    if (strcmp (m->peer, peer) == 0)
      return m;
  m = calloc (1, sizeof *m);
  clb_copy (m->peer, peer, sizeof m->peer);
  TAILQ_INIT (&m->waiting);
  uv_timer_init (uv_default_loop (), &m->timer);
  m->timer.data = m;
  TAILQ_INSERT_TAIL (&machines, m, link);
  n_machines++;
  return m;
}

/* Reads a query.  Returns false if its body is not valid. */
static bool
read_query (const struct httpd_req *rq, struct order *o)
{
  json_error_t je;
  json_auto_t *body = json_loadb (rq->body, rq->body_len, 0, &je);
  const json_t *names = json_object_get (body, "workers");
  const char *step = json_string_value (json_object_get (body, "step"));
  char task[CLB_ID_MAX];
  size_t i;
  json_t *name;

  o->kind = ORDER_ADVISE;
  snprintf (task, sizeof task, "%s.0", step ? step : "");
  if (!json_array_size (names)
      || json_array_size (names) > ORDER_ADVICE_EXECS_MAX
      || pf_task_parse (task, &o->task))
    return false;
  o->execs = calloc (json_array_size (names), sizeof *o->execs);
  json_array_foreach (names, i, name)
    clb_copy (o->execs[o->n_execs++],
              json_is_string (name) ? json_string_value (name) : "",
              CLB_ID_MAX);
  return true;
}

/* Returns the machine that a query counts as.  @ip: address it comes from */
static struct machine *
calling_machine (const struct listener *l, const char *ip)
{
  char peer[PEER_SIZE + CLB_ADDR_MAX];
  const char *last_byte = strrchr (ip, '.');
  int n = conf.sim->advice.n_machines;

  if (n)
    snprintf (peer, sizeof peer, "group %d",
              last_byte ? atoi (last_byte + 1) % n : 0);
  else
    snprintf (peer, sizeof peer, "%s %s", ip, l->addr);
  return machine_get (peer);
}

static void
refuse (const struct listener *l, const struct httpd_req *rq, int status)
{
  httpd_answer (l->http, rq->id, status, "application/json", "{}", 2, 0);
}

static void
on_request (void *arg, const struct httpd_req *rq)
{
  struct listener *l = arg;
  struct query *q = calloc (1, sizeof *q);
  char ip[PEER_SIZE] = "";
  struct machine *m;

  conf.sim->n_advice_queries++;
  if (!read_query (rq, &q->order))
    {
      free (q);
      refuse (l, rq, 400);
      return;
    }
  count_query (q);
  if (conf.sim->advice.n_waiting >= FSIM_ADVICE_WAITING_MAX)
    {
      conf.sim->advice.n_refused++;
      free (q->order.execs);
      free (q);
      refuse (l, rq, 429);
      return;
    }
  httpd_req_peer (rq, ip, sizeof ip);
  m = calling_machine (l, ip);
  q->listener = l;
  q->request_id = rq->id;
  TAILQ_INSERT_TAIL (&m->waiting, q, link);
  conf.sim->advice.n_waiting++;
  begin_next (m);
}

static void
on_disconnect (void *arg, uint64_t request_id)
{
  (void)arg;
  (void)request_id;
}

void
sadv_init (const struct sadv_conf *c)
{
  conf = *c;
}

int
sadv_listen (const char *addr)
{
  struct listener *l = &listeners[n_listeners];
  struct httpd_conf http_conf = { .addr = addr,
                                  .max_body_bytes = BODY_MAX,
                                  .arg = l,
                                  .on_request = on_request,
                                  .on_disconnect = on_disconnect };
  int err;

  if (n_listeners == LISTENERS_MAX)
    return UV_EMFILE;
  l->addr = addr;
  l->http = httpd_new (uv_default_loop (), &http_conf, &err);
  n_listeners += !err;
  return err;
}

void
sadv_set_advice (const char *queue, const struct job_advice *a)
{
  queue_get (queue)->advice = *a;
  default_advice = *a;
}

void
sadv_add_queue (char digit, const char *name, double share)
{
  struct queue *q = queue_get (name);

  q->digit = digit;
  q->share = share;
}

bool
sadv_needs_tickets (const char *job_id)
{
  const struct queue *q = queue_of (job_id);

  return q && q->advice.base_ms > 0;
}

bool
sadv_permits (const struct task_ref *step, const char *exec)
{
  require_tickets (step->job);
  return fadvice_permits (conf.sim, step, exec);
}

void
sadv_inject (const char *fault, double value)
{
  struct fadvice *a = &conf.sim->advice;

  if (strcmp (fault, "slow") == 0)
    a->slow_factor = value;
  else if (strcmp (fault, "stall") == 0)
    a->stalled_until_ms = conf.now_ms () + (int64_t)value;
  else if (strcmp (fault, "machines") == 0)
    a->n_machines = (int)value;
  else if (strcmp (fault, "permit") == 0)
    conf.sim->permitted_share = value;
}

void
sadv_write_counts (const char *path)
{
  FILE *f = fopen (path, "w");

  if (!f)
    return;
  fprintf (f, "machines %d queries %lld refused %lld\n", n_machines,
           (long long)conf.sim->n_advice_queries,
           (long long)conf.sim->advice.n_refused);
  for (int i = 0; i < n_queues; i++)
    if (queues[i].digit)
      fprintf (f, "%s queries %lld names %lld busy_ms %.0f\n", queues[i].name,
               queues[i].n_queries, queues[i].n_names, queues[i].busy_ms);
  fclose (f);
}
