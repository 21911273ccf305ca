/*
 * fleet-standin - serves a stand-in of the fleet's platform on the loopback
 * interface: the table service, the executors and the advice service.
 *
 * It serves the HTTP interfaces that platform/ calls from the table and the
 * executors of the simulation (regress/fsim), in real time.  The table listens
 * on PORT, executor K on PORT + 1 + K, and the advice service on the port
 * after that of the last executor.
 *
 * A line "violation ..." is printed when the executors have detected further
 * violations (see regress/fsim/execs.c).  Commands are read from standard
 * input, one per line:
 *   table down MS       the table refuses all calls for this time
 *   table lost SHARE    this share (0 to 1) of writes is executed but not
 *                       answered
 *   table compact       a feed cannot return the changes up to now any more
 *   exec K crash        ends the boot of executor K, with all runs
 *   exec K reborn       begins a new boot
 *   exec K cut MS       the executor does not answer for this time
 *   exec K fails 0|1    whether every run that starts fails
 *   config FILE         replaces the fleet's configuration
 *   started FILE        writes the ids of all jobs that have started to FILE
 */
#include "fsim.h"
#include "httpd.h"
#include "platform.h"

#include <openssl/evp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  /* Interval at which pending feeds and polls are tried again. */
  PENDING_RETRY_MS = 5,
  ADVICE_MS = 2,
  /* Limit for the body of a request, in bytes. */
  BODY_MAX = 4 << 20,
};

/* struct server - a listening socket of the stand-in */
struct server
{
  struct httpd *http;
  struct fexec *exec; /* NULL: the table or the advice service */
  char addr[CLB_ADDR_MAX];
};

/* struct pending - a feed or poll that may be answered later */
struct pending
{
  TAILQ_ENTRY (pending) link;
  struct server *server;
  uint64_t request_id;
  int64_t deadline_ms;
  struct store_op op;
  struct order order;
};

static TAILQ_HEAD (, pending)
    pending_list = TAILQ_HEAD_INITIALIZER (pending_list);
static struct fsim *sim;
static struct server table;
static struct server *execs;
static int n_execs;
/* Added to the port in an executor's discovery entry. */
static int advertised_offset;
static struct server advice;
static int64_t started_ms;

/* Return: ms since the start of the stand-in. */
static int64_t
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 - started_ms;
}

static void
answer (struct server *s, uint64_t request_id, int status, json_t *json)
{
  clb_auto char *text = json_dumps (json, JSON_COMPACT);

  httpd_answer (s->http, request_id, status, "application/json", text,
                strlen (text), 0);
  json_decref (json);
}

/* The table service. */

/* Return: the key of a row in the simulated table, "TABLE[:PART]/KEY". */
static char *
key_text (const json_t *row)
{
  const char *part = json_string_value (json_object_get (row, "part"));
  char *text;

  if (asprintf (&text, "%s%s%s/%s",
                json_string_value (json_object_get (row, "table")),
                part && *part ? ":" : "", part ? part : "",
                json_string_value (json_object_get (row, "key")))
      < 0)
    abort ();
  return text;
}

/* Decodes base64. */
static char *
decode (const char *text)
{
  size_t len = strlen (text);
  char *out = calloc (1, len + 4);

  EVP_DecodeBlock ((unsigned char *)out, (const unsigned char *)text,
                   (int)len);
  return out;
}

static json_t *
row_json (const struct row *r)
{
  char table_name[64] = "";
  char part[64] = "";
  const char *slash = strchr (r->key, '/');
  const char *colon = memchr (r->key, ':', (size_t)(slash - r->key));
  size_t len = (size_t)((colon ? colon : slash) - r->key);
  json_t *row;

  memcpy (table_name, r->key, len);
  if (colon)
    memcpy (part, colon + 1, (size_t)(slash - colon - 1));
  row = json_pack ("{s:s, s:s, s:s, s:I}", "table", table_name, "part", part,
                   "key", slash + 1, "ver", (json_int_t)r->ver);
  if (r->value)
    {
      char *b64 = calloc (1, 4 * (strlen (r->value) / 3 + 1) + 1);
      EVP_EncodeBlock ((unsigned char *)b64, (unsigned char *)r->value,
                       (int)strlen (r->value));
      json_object_set_new (row, "value", json_string (b64));
      free (b64);
    }
  else
    json_object_set_new (row, "deleted", json_true ());
  return row;
}

static void
answer_rep (uint64_t request_id, const struct store_rep *rep)
{
  json_t *rows = json_array ();
  int status = rep->err == CLB_ECONFLICT   ? 412
               : rep->err == CLB_ENOTFOUND ? 410
                                           : 200;

  for (size_t i = 0; i < rep->n_rows; i++)
    json_array_append_new (rows, row_json (&rep->rows[i]));
  answer (&table, request_id, status,
          json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more",
                     rep->more, "ver", (json_int_t)rep->ver, "now_ms",
                     (json_int_t)now ()));
}

/* Copies the decoded parameter @name of the query string; empty if it is
   missing. */
static void
query_param (const char *path, const char *name, char *out, size_t size)
{
  const char *at = strchr (path, '?');
  size_t len = strlen (name);
  size_t n = 0;

  while (at && (strncmp (at + 1, name, len) != 0 || at[1 + len] != '='))
    at = strchr (at + 1, '&');
  for (at = at ? at + 2 + len : ""; *at && *at != '&' && n + 1 < size; at++)
    {
      unsigned byte;
      if (*at == '%' && sscanf (at + 1, "%2x", &byte) == 1)
        {
          out[n++] = (char)byte;
          at += 2;
        }
      else
        out[n++] = *at;
    }
  out[n] = '\0';
}

/* Return: 0, or -1 for a transaction without rows to write. */
static int
read_table_op (const struct httpd_req *rq, struct store_op *op)
{
  char name[128], part[128], from[256], number[32];
  json_auto_t *body = NULL;
  json_error_t je;
  size_t i;
  json_t *row;

  if (strncmp (rq->path, "/api/rows-tx", 12) == 0)
    {
      body = json_loadb (rq->body, rq->body_len, 0, &je);
      json_array_foreach (json_object_get (body, "expect"), i, row)
        {
          clb_auto char *key = key_text (row);
          store_cond (op, key,
                      json_integer_value (json_object_get (row, "ver")));
        }
      json_array_foreach (json_object_get (body, "puts"), i, row)
        {
          clb_auto char *key = key_text (row);
          clb_auto char *value
              = decode (json_string_value (json_object_get (row, "value")));
          store_put (op, key, value);
        }
      op->kind = STORE_TXN;
      return op->n_puts ? 0 : -1;
    }
  query_param (rq->path, "table", name, sizeof name);
  query_param (rq->path, "part", part, sizeof part);
  query_param (rq->path, "from", from, sizeof from);
  if (strncmp (rq->path, "/api/rows-feed", 14) == 0)
    {
      op->kind = STORE_FEED;
      op->key = strdup (name);
      query_param (rq->path, "after", number, sizeof number);
      op->since = atoll (number);
      query_param (rq->path, "wait_ms", number, sizeof number);
      op->wait_ms = atoll (number);
      return 0;
    }
  op->kind = STORE_LIST;
  if (asprintf (&op->key, "%s%s%s/", name, *part ? ":" : "", part) < 0
      || (*from && asprintf (&op->after, "%s%s", op->key, from) < 0))
    abort ();
  return 0;
}

/* The platform's list includes the row that the request names as its start;
   the simulated table leaves that row out, so it is inserted here. */
static void
add_start_row (const struct store_op *op, struct store_rep *rep)
{
  struct store_op one = { .kind = STORE_GET, .key = op->after };
  struct store_rep got = { 0 };

  if (op->kind != STORE_LIST || !op->after)
    return;
  ftable_apply (&sim->table, &one, &got);
  if (got.n_rows)
    {
      rep->rows = realloc (rep->rows, (rep->n_rows + 1) * sizeof *rep->rows);
      memmove (rep->rows + 1, rep->rows, rep->n_rows * sizeof *rep->rows);
      rep->rows[0] = got.rows[0];
      rep->n_rows++;
    }
  free (got.rows);
}

/* Return: whether the call was answered.  A feed without changes is not
   answered before @until_ms. */
static bool
try_table_op (uint64_t request_id, const struct store_op *op,
              int64_t deadline_ms)
{
  struct store_rep rep = { 0 };
  bool must_wait;

  ftable_apply (&sim->table, op, &rep);
  add_start_row (op, &rep);
  must_wait = op->kind == STORE_FEED && !rep.err && !rep.n_rows
              && now () < deadline_ms;
  if (!must_wait)
    answer_rep (request_id, &rep);
  codec_free (&store_rep_desc, &rep);
  return !must_wait;
}

static void
on_table (void *arg, const struct httpd_req *rq)
{
  struct pending *p = calloc (1, sizeof *p);

  p->server = arg;
  p->request_id = rq->id;
  if (read_table_op (rq, &p->op))
    {
      answer (&table, rq->id, 400, json_object ());
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  p->deadline_ms = now () + p->op.wait_ms;
  if (now () < sim->table.down_until_ms)
    {
      answer (&table, rq->id, 503, json_object ());
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  if (p->op.kind == STORE_TXN
      && fsim_random (sim) < sim->table.lost_reply_share)
    {
      struct store_rep rep = { 0 };
      /* The write is executed but never answered. */
      ftable_apply (&sim->table, &p->op, &rep);
      codec_free (&store_rep_desc, &rep);
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  if (!try_table_op (rq->id, &p->op, p->deadline_ms))
    {
      TAILQ_INSERT_TAIL (&pending_list, p, link);
      return;
    }
  codec_free (&store_op_desc, &p->op);
  free (p);
}

/* The executors and the advice service. */

static json_t *
result_json (const struct order_result *res)
{
  static const char *const reasons[]
      = { "other", "fence", "old", "late", "room", "ticket" };
  static const char *const end_names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  json_t *running = json_array ();
  json_t *finished = json_array ();
  char name[96];

  for (size_t i = 0; i < res->n_runs; i++)
    {
      const struct run_row *r = &res->runs[i];
      pf_task_name (&r->task, true, name, sizeof name);
      json_array_append_new (
          running, json_pack ("[s,I,s,I]", name, (json_int_t)r->run_id,
                              r->checkpoint, (json_int_t)r->percent));
    }
  for (size_t i = 0; i < res->n_ends; i++)
    {
      const struct end_row *e = &res->ends[i];
      pf_task_name (&e->task, true, name, sizeof name);
      json_array_append_new (finished,
                             json_pack ("[I,s,I,s,s]", (json_int_t)e->seq,
                                        name, (json_int_t)e->run_id,
                                        end_names[e->how], e->checkpoint));
    }
  return json_pack ("{s:I, s:I, s:o, s:o, s:s}", "clock_ms",
                    (json_int_t)res->clock_ms, "born",
                    (json_int_t)res->boot_start_ms, "running", running,
                    "finished", finished, "reason", reasons[res->reason]);
}

static int64_t
number (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
read_order (const struct httpd_req *rq, struct order *o)
{
  json_error_t je;
  json_auto_t *body = json_loadb (rq->body, rq->body_len, 0, &je);
  const char *task = json_string_value (json_object_get (body, "task"));

  o->kind = strcmp (rq->path, "/api/run-start") == 0  ? ORDER_START
            : strcmp (rq->path, "/api/run-stop") == 0 ? ORDER_STOP
                                                      : ORDER_POLL;
  if (task)
    pf_task_parse (task, &o->task);
  o->run_id = number (body, "run");
  o->fencing_token = number (body, "fencing_token");
  o->lease_deadline_ms = number (body, "deadline_ms");
  o->recorded_end_seq = number (body, "last_seen");
  o->wait_ms = number (body, "wait_ms");
}

/* Return: whether the order was answered.  A poll is not answered before its
   wait time is over (@waited) or the executor has ends to report. */
static bool
try_order (struct server *s, uint64_t request_id, const struct order *o,
           bool first, bool waited)
{
  struct order_result res = { 0 };
  bool done = fexec_apply (sim, s->exec, o, first, waited, &res);

  if (done)
    answer (s, request_id, res.outcome == ORDER_DONE ? 200 : 409,
            result_json (&res));
  order_result_clear (&res);
  return done;
}

/* The stand-in does not see jobs when they are submitted, so it registers a
   job when the first of its tasks starts.  As the job's size is not known, it
   is given four steps with the maximum number of tasks, and unlimited
   attempts. */
static void
register_job (const struct order *o)
{
  struct fjob *j = fsim_find_job (sim, o->task.job);

  if (j || o->kind != ORDER_START)
    return;
  j = calloc (1, sizeof *j);
  clb_copy (j->id, o->task.job, sizeof j->id);
  j->spec.n_steps = 4;
  j->spec.attempts = INT32_MAX;
  j->spec.steps = calloc (j->spec.n_steps, sizeof *j->spec.steps);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      j->spec.steps[i].tasks = JOB_STEP_TASKS_MAX;
      j->task_ms[i] = 300;
    }
  j->stats = calloc (4 * JOB_STEP_TASKS_MAX, sizeof *j->stats);
  RB_INSERT (fjob_tree, &sim->jobs, j);
}

static void
on_exec (void *arg, const struct httpd_req *rq)
{
  struct pending *p = calloc (1, sizeof *p);

  sim->now_ms = now ();
  p->server = arg;
  p->request_id = rq->id;
  if (!p->server->exec->up || now () < p->server->exec->partitioned_until_ms)
    {
      /* No answer is sent; the request times out at the instance. */
      free (p);
      return;
    }
  read_order (rq, &p->order);
  register_job (&p->order);
  p->deadline_ms = now () + p->order.wait_ms;
  if (!try_order (p->server, rq->id, &p->order, true, p->order.wait_ms == 0))
    TAILQ_INSERT_TAIL (&pending_list, p, link);
  else
    free (p);
}

static void
on_advice (void *arg, const struct httpd_req *rq)
{
  struct server *s = arg;
  json_error_t je;
  json_auto_t *body = json_loadb (rq->body, rq->body_len, 0, &je);
  json_t *permitted = json_array ();
  size_t i;
  json_t *name;

  json_array_foreach (json_object_get (body, "workers"), i, name)
    json_array_append_new (
        permitted, json_pack ("[s,s]", json_string_value (name), "ticket"));
  answer (s, rq->id, 200,
          json_pack ("{s:o, s:i}", "good", permitted, "valid_ms", 2000));
}

static void
on_disconnect (void *arg, uint64_t request_id)
{
  struct pending *p, *next;

  TAILQ_FOREACH_SAFE (p, &pending_list, link, next)
    if (p->server == arg && p->request_id == request_id)
      {
        TAILQ_REMOVE (&pending_list, p, link);
        codec_free (&store_op_desc, &p->op);
        free (p);
      }
}

/* Prints a line if there are violations that have not been reported. */
static void
report_violations (void)
{
  static int reported;

  if (sim->n_violations == reported)
    return;
  printf ("violation %d, first %s\n", sim->n_violations, sim->first_violation);
  fflush (stdout);
  reported = sim->n_violations;
}

static void
on_timer (uv_timer_t *t)
{
  struct pending *p, *next;

  (void)t;
  sim->now_ms = now ();
  fexec_tick (sim);
  report_violations ();
  TAILQ_FOREACH_SAFE (p, &pending_list, link, next)
    {
      bool over = now () >= p->deadline_ms;
      bool done
          = p->server->exec
                ? try_order (p->server, p->request_id, &p->order, false, over)
                : try_table_op (p->request_id, &p->op, p->deadline_ms);
      if (!done)
        continue;
      TAILQ_REMOVE (&pending_list, p, link);
      codec_free (&store_op_desc, &p->op);
      free (p);
    }
}

static void
serve (struct server *s, int port,
       void (*on_request) (void *arg, const struct httpd_req *rq))
{
  struct httpd_conf conf = { .addr = s->addr,
                             .body_max = BODY_MAX,
                             .arg = s,
                             .on_request = on_request,
                             .on_disconnect = on_disconnect };
  int err;

  snprintf (s->addr, sizeof s->addr, "127.0.0.1:%d", port);
  s->http = httpd_new (uv_default_loop (), &conf, &err);
  if (s->http)
    return;
  fprintf (stderr, "fleet-standin: %s: %s\n", s->addr, uv_strerror (err));
  exit (1);
}

/* Writes the discovery entry of an executor to the table. */
static void
publish_exec (const struct server *s)
{
  char key[CLB_ID_MAX + 16];
  json_auto_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:{s:I, s:I, s:i}, s:[s,s]}", "service", "svc",
      "address", s->addr, "zone", "a", "state", "ready", "capacity", "cpu",
      (json_int_t)s->exec->capacity.millicores, "mem_mb",
      (json_int_t)s->exec->capacity.mem_mb, "gpu", 0, "labels", "kind", "r1");
  char addr[CLB_ADDR_MAX];
  clb_auto char *text = NULL;

  snprintf (addr, sizeof addr, "127.0.0.1:%d",
            atoi (strchr (s->addr, ':') + 1) + advertised_offset);
  json_object_set_new (entry, "address", json_string (addr));
  text = json_dumps (entry, JSON_COMPACT);
  snprintf (key, sizeof key, "servers/%s", s->exec->id);
  ftable_put (sim, key, text);
}

static char *
read_file (const char *path)
{
  char *text = calloc (1, 1 << 20);
  FILE *f = fopen (path, "r");

  if (!f || !fread (text, 1, (1 << 20) - 1, f))
    {
      fprintf (stderr, "fleet-standin: %s: cannot be read\n", path);
      exit (1);
    }
  fclose (f);
  return text;
}

static void
write_started (const char *path)
{
  FILE *f = fopen (path, "w");
  struct fjob *j;

  if (!f)
    return;
  RB_FOREACH (j, fjob_tree, &sim->jobs)
    fprintf (f, "%s\n", j->id);
  fclose (f);
}

static void
inject_table_fault (const char *what, double value)
{
  if (strcmp (what, "down") == 0)
    sim->table.down_until_ms = now () + (int64_t)value;
  else if (strcmp (what, "lost") == 0)
    sim->table.lost_reply_share = value;
  else if (strcmp (what, "compact") == 0)
    sim->table.compacted_ver = sim->table.ver;
}

static void
inject_exec_fault (int k, const char *what, double value)
{
  struct fexec *e;

  if (k < 0 || k >= n_execs)
    return;
  e = execs[k].exec;
  sim->now_ms = now ();
  if (strcmp (what, "crash") == 0)
    fexec_crash (sim, e);
  else if (strcmp (what, "reborn") == 0)
    {
      fexec_reboot (sim, e);
      publish_exec (&execs[k]);
    }
  else if (strcmp (what, "cut") == 0)
    e->partitioned_until_ms = now () + (int64_t)value;
  else if (strcmp (what, "fails") == 0)
    e->fails_runs = value > 0;
}

static void
run_command (const char *line)
{
  char what[16] = "";
  char path[256] = "";
  double value = 0;
  int k = -1;

  if (sscanf (line, "table %15s %lf", what, &value) >= 1)
    inject_table_fault (what, value);
  else if (sscanf (line, "exec %d %15s %lf", &k, what, &value) >= 2)
    inject_exec_fault (k, what, value);
  else if (sscanf (line, "config %255s", path) == 1)
    {
      clb_auto char *text = read_file (path);
      ftable_put (sim, "op/config", text);
    }
  else if (sscanf (line, "started %255s", path) == 1)
    write_started (path);
}

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char bytes[1024];

  (void)h;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_commands (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  static char line[1024];
  static size_t len;

  if (n < 0)
    uv_close ((uv_handle_t *)s, NULL);
  for (ssize_t i = 0; i < n; i++)
    if (buf->base[i] == '\n')
      {
        line[len] = '\0';
        run_command (line);
        len = 0;
      }
    else if (len + 1 < sizeof line)
      line[len++] = buf->base[i];
}

int
main (int argc, char **argv)
{
  struct job_need capacity = { .millicores = 16000, .mem_mb = 32768 };
  static uv_timer_t timer;
  static uv_pipe_t in;
  int port, n;

  if (argc != 4 && argc != 5)
    {
      fprintf (stderr, "usage: fleet-standin PORT EXECUTORS CONFIG "
                       "[ADVERTISED-OFFSET]\n");
      return 64;
    }
  /* Connections may be reset at any time. */
  signal (SIGPIPE, SIG_IGN);
  port = atoi (argv[1]);
  n = n_execs = atoi (argv[2]);
  advertised_offset = argc == 5 ? atoi (argv[4]) : 0;
  started_ms = now ();
  sim = fsim_new (1, 0, n, &capacity);
  serve (&table, port, on_table);
  execs = calloc ((size_t)n, sizeof *execs);
  for (int i = 0; i < n; i++)
    {
      execs[i].exec = sim->exec[i];
      serve (&execs[i], port + 1 + i, on_exec);
      publish_exec (&execs[i]);
    }
  serve (&advice, port + 1 + n, on_advice);
  ftable_put (sim, "op/config", read_file (argv[3]));
  uv_timer_init (uv_default_loop (), &timer);
  uv_timer_start (&timer, on_timer, PENDING_RETRY_MS, PENDING_RETRY_MS);
  uv_pipe_init (uv_default_loop (), &in, 0);
  if (uv_guess_handle (0) == UV_NAMED_PIPE && uv_pipe_open (&in, 0) == 0)
    uv_read_start ((uv_stream_t *)&in, on_alloc, on_commands);
  printf ("ready\n");
  fflush (stdout);
  return uv_run (uv_default_loop (), UV_RUN_DEFAULT);
}
