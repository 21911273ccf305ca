/*
 * fleet-standin - serves a stand-in of the fleet's platform on the loopback
 * interface: the table service, the executors and the advice service.
 *
 * usage: fleet-standin [-c CORES] [-m MEM_MB] [-n RACK] [-z ZONES] [-t BYTES]
 *                      [-a IP]... PORT EXECUTORS CONFIG [ADVERTISED-OFFSET]
 *
 * Each executor has CORES (16) and MEM_MB (32768).  RACK (0: all) executors
 * are in a rack.  The executors are in ZONES (1) zones a, b, c..., in turn.
 * Besides 127.0.0.1, the advice service listens on each IP; its tickets have
 * BYTES (40).
 *
 * EXECUTORS is the number of executors.  CONFIG is a file with the fleet's
 * configuration at the start.  ADVERTISED-OFFSET (default 0) is added to the
 * port of each executor in its discovery entry; the executor itself listens
 * on the port without the offset.
 *
 * The program serves the HTTP interfaces that platform/ calls.  It answers
 * with the table and the executors of the simulation (regress/fsim), which it
 * runs in real time.  The table listens on PORT, executor K on PORT + 1 + K,
 * and the advice service on the port after that of the last executor.
 *
 * The program prints a line "violation KIND: COUNT, first at MS: TEXT" when
 * the executors have detected further violations of a kind (see
 * regress/fsim/execs.c); COUNT is their number so far.  It prints a line
 * "unanswered ..." for each order that it executes without an answer, and a
 * line "unseen ..." for each poll that lets an executor forget ends which no
 * answer has listed.
 * It reads commands from standard input, one per line (MS is a time in ms):
 *   table down MS       the table refuses all calls for MS
 *   table late MS       from now on, the table's answers come MS later
 *   table lost SHARE    from now on, until the next such command, each write
 *                       is executed but not answered with the probability
 *                       SHARE (0 to 1; 0 at the start)
 *   table late-writes SHARE
 *                       from now on, each write is not answered, and executed
 *                       1 to 6 s later, with the probability SHARE (0 to 1; 0
 *                       at the start)
 *   table row-bytes N   from now on, the table refuses values of more than N
 *                       bytes (65536 at the start)
 *   table compact       compacts the table: from now on, a feed of changes
 *                       since a version before the present one fails
 *   exec K crash        ends the boot of executor K; all its runs are lost
 *   exec K reborn       begins a new boot of executor K
 *   exec K restart MS   ends the boot of executor K; MS later the next one
 *                       begins, and its discovery entry is written within
 *                       1.5 s
 *   exec K clock any|on|zero
 *                       the clock of the next boots of executor K begins at a
 *                       reading that is drawn (at the start), goes on where
 *                       the clock of the boot before is, or begins at 1 ms
 *   exec K cut MS       executor K does not answer for MS
 *   exec K late MS      from now on, the answers of executor K come MS later
 *   exec K lost SHARE   from now on, executor K answers a SHARE (0 to 1; 0 at
 *                       the start) of start and stop orders never; half of
 *                       these it executes at once, half 2 to 12 s later
 *   exec K polls-lost SHARE
 *                       the same for polls.  The boot that executor K has at
 *                       the time executes a late order or poll
 *   exec K fails 0|1    with 1, every run that starts on executor K fails;
 *                       0 ends the fault
 *   advice FAULT VALUE  begins or ends a fault of the advice service, see
 *                       sadv_inject()
 *   advised FILE        writes the counts of the advice service to FILE
 *   queue DIGIT NAME SHARE
 *                       jobs whose ids begin with DIGIT are of queue NAME, for
 *                       which SHARE of the executors are permitted
 *   left IN OUT         reads jobs from IN, a line "ID ACCOUNT CPU MEM_MB
 *                       GANG TASKS..." for each, with GANG 0 or 1 and the
 *                       tasks of every step.
 *                       Writes a line "ID STARTED_MS LEFT DONE" for each to
 *                       OUT: the time of its first start by CLOCK_MONOTONIC
 *                       (0: none), whether it could run but has nothing
 *                       running (enum left), and 1 if all its steps are done.
 *                       The last line is "end CORES LAG_MS": cores in use, and
 *                       the longest time between two calls of the stand-in's
 *                       timer since the last command
 *   config FILE         replaces the fleet's configuration by the text in FILE
 *   entry ID FILE       replaces the discovery entry of the executor with this
 *                       id, or adds one, by the text in FILE
 *   started FILE        writes the ids of all jobs with a started task to FILE
 */
#include "advice.h"
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
  /* Interval at which unanswered feeds and polls are tried again. */
  PENDING_RETRY_MS = 5,
  /* Largest accepted body of a request, in bytes. */
  BODY_MAX = 4 << 20,
  STEP_NONE = -2, /* see step_at_turn() */
  ZONES_MAX = 26, /* largest number of zones */
  /* An order that is executed late is executed between these times after its
     arrival. */
  LATE_ORDER_MIN_MS = 2000,
  LATE_ORDER_MAX_MS = 12000,
  /* The same for a write to the table. */
  LATE_WRITE_MIN_MS = 1000,
  LATE_WRITE_MAX_MS = 6000,
  /* After a restart, a discovery entry is written within this time: the users'
     heartbeat. */
  ENTRY_DELAY_MAX_MS = 1500,
};

/* enum left - whether a job could run but has nothing running */
enum left
{
  LEFT_NOT,  /* it runs, is done, or executors lack room for it twice over */
  LEFT_IDLE, /* it could run */
  LEFT_HELD, /* its client account's limit has no room for it */
  /* It could run, and its account uses less than half of its limit, and the
     runs less than half of the executors: the users' rule counts it. */
  LEFT_RULE,
  /* Permitted executors could not start its gang even if they were idle. */
  LEFT_NEVER,
};

/* struct server - a listening socket of the stand-in */
struct server
{
  struct httpd *http;
  double lost_poll_share; /* share of polls that get no answer */
  /* Times of the next boot and of the next write of the discovery entry, -1:
     none. */
  int64_t boot_due_ms;
  int64_t entry_due_ms;
  /* Executor that is served; NULL for the table. */
  struct fexec *exec;
  char addr[CLB_ADDR_MAX];
};

/* struct pending_request - a feed that waits for changes of the table, or a
   poll that waits for ends of an executor's runs */
struct pending_request
{
  TAILQ_ENTRY (pending_request) link;
  struct server *server;
  uint64_t request_id;
  /* Time at which the request is answered at the latest. */
  int64_t deadline_ms;
  struct store_op op;    /* the feed; used if server->exec is NULL */
  struct order order;    /* the poll; used if server->exec is not NULL */
  int64_t boot_start_ms; /* start of the boot that has received the poll */
};

/* struct late_answer - an answer that is sent later */
struct late_answer
{
  TAILQ_ENTRY (late_answer) link;
  struct server *server;
  uint64_t request_id;
  int64_t due_ms;
  int status;
  char *text; /* owned */
};

/* struct late_order - an order that is not answered and executed later, by the
   boot that the executor has then */
struct late_order
{
  TAILQ_ENTRY (late_order) link;
  struct fexec *exec;
  int64_t due_ms;
  struct order order; /* owns its payload */
};

/* struct late_write - a write to the table that is not answered and executed
   later */
struct late_write
{
  TAILQ_ENTRY (late_write) link;
  int64_t due_ms;
  struct store_op op;
};

static TAILQ_HEAD (, late_write)
    late_writes = TAILQ_HEAD_INITIALIZER (late_writes);
static TAILQ_HEAD (, pending_request)
    pending_requests = TAILQ_HEAD_INITIALIZER (pending_requests);
static TAILQ_HEAD (, late_answer)
    late_answers = TAILQ_HEAD_INITIALIZER (late_answers);
static TAILQ_HEAD (, late_order)
    late_orders = TAILQ_HEAD_INITIALIZER (late_orders);
static struct fsim *sim;
static struct server table_server;
static struct server *exec_servers;
static int n_execs;
/* Added to an executor's port to give the port in its discovery entry. */
static int advertised_offset;
/* Number of executors in a rack; 0: all are in one. */
static int rack_size;
static int n_zones = 1;
/* Time by which the table's answers are late. */
static int64_t table_late_ms;
/* Time of the last call of on_timer(), and the longest time between two calls
   since the last command "left". */
static int64_t timer_ms;
static int64_t timer_gap_ms;
/* Start of the stand-in, by CLOCK_MONOTONIC. */
static int64_t start_ms;

static int64_t
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Return: time in ms since the start of the stand-in. */
static int64_t
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 - start_ms;
}

static void
send_answer (struct server *s, uint64_t request_id, int status,
             const char *text)
{
  httpd_answer (s->http, request_id, status, "application/json", text,
                strlen (text), 0);
}

/* Answers a request with @json, later if the server is late.  The function
   takes ownership of @json. */
static void
answer_json (struct server *s, uint64_t request_id, int status, json_t *json)
{
  clb_auto char *text = json_dumps (json, JSON_COMPACT);
  int64_t late_ms = s->exec ? s->exec->answer_delay_ms : table_late_ms;
  struct late_answer *a;

  json_decref (json);
  if (late_ms <= 0)
    {
      send_answer (s, request_id, status, text);
      return;
    }
  a = calloc (1, sizeof *a);
  a->server = s;
  a->request_id = request_id;
  a->due_ms = now () + late_ms;
  a->status = status;
  a->text = text;
  text = NULL;
  TAILQ_INSERT_TAIL (&late_answers, a, link);
}

/* Sends the late answers that are due. */
static void
send_late_answers (void)
{
  struct late_answer *a, *next;

  TAILQ_FOREACH_SAFE (a, &late_answers, link, next)
    if (now () >= a->due_ms)
      {
        TAILQ_REMOVE (&late_answers, a, link);
        send_answer (a->server, a->request_id, a->status, a->text);
        free (a->text);
        free (a);
      }
}

/* Functions of the table service. */

/* Return: the key of a row in the simulated table, "TABLE[:PART]/KEY", to be
   freed. */
static char *
row_key (const json_t *row)
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

/* Return: the decoded base64 text, to be freed. */
static char *
decode_base64 (const char *text)
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
answer_table_call (uint64_t request_id, const struct store_rep *rep)
{
  json_t *rows = json_array ();
  int status = rep->err == CLB_ECONFLICT   ? 412
               : rep->err == CLB_ENOTFOUND ? 410
               : rep->err == CLB_EDENIED   ? 400
                                           : 200;

  for (size_t i = 0; i < rep->n_rows; i++)
    json_array_append_new (rows, row_json (&rep->rows[i]));
  answer_json (&table_server, request_id, status,
               json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more",
                          rep->more, "ver", (json_int_t)rep->ver, "now_ms",
                          (json_int_t)now ()));
}

/* Copies the decoded parameter @name of the query string of @path to @out.
   @out becomes an empty string if there is no such parameter. */
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

/* Reads a call to the table from its HTTP request.

   Return: 0; -1 if the call is a transaction that is too large or has no rows
   to write. */
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
          clb_auto char *key = row_key (row);
          store_cond (op, key,
                      json_integer_value (json_object_get (row, "ver")));
        }
      json_array_foreach (json_object_get (body, "puts"), i, row)
        {
          clb_auto char *key = row_key (row);
          clb_auto char *value = decode_base64 (
              json_string_value (json_object_get (row, "value")));
          store_put (op, key, value);
        }
      json_array_foreach (json_object_get (body, "remove"), i, row)
        {
          clb_auto char *key = row_key (row);
          store_put (op, key, NULL);
        }
      op->kind = STORE_TXN;
      return op->n_puts && rq->body_len <= FSIM_CALL_BYTES_MAX ? 0 : -1;
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
  query_param (rq->path, "limit", number, sizeof number);
  op->limit = atoll (number);
  if (asprintf (&op->key, "%s%s%s/", name, *part ? ":" : "", part) < 0
      || (*from && asprintf (&op->after, "%s%s", op->key, from) < 0))
    abort ();
  return 0;
}

/* Inserts the row at which a list begins.  The platform's list includes the
   row that the request names as its start; the simulated table omits that row.
 */
static void
insert_start_row (const struct store_op *op, struct store_rep *rep)
{
  struct store_op get_op = { .kind = STORE_GET, .key = op->after };
  struct store_rep get_rep = { 0 };

  if (op->kind != STORE_LIST || !op->after)
    return;
  ftable_apply (&sim->table, &get_op, &get_rep);
  if (get_rep.n_rows)
    {
      rep->rows = realloc (rep->rows, (rep->n_rows + 1) * sizeof *rep->rows);
      memmove (rep->rows + 1, rep->rows, rep->n_rows * sizeof *rep->rows);
      rep->rows[0] = get_rep.rows[0];
      rep->n_rows++;
    }
  free (get_rep.rows);
}

/* Executes a call to the table and answers it.  A feed that finds no changes
   is not answered before @deadline_ms; the function must then be called again.

   Return: true if the call was answered. */
static bool
try_table_op (uint64_t request_id, const struct store_op *op,
              int64_t deadline_ms)
{
  struct store_rep rep = { 0 };
  bool must_wait;

  ftable_apply (&sim->table, op, &rep);
  insert_start_row (op, &rep);
  must_wait = op->kind == STORE_FEED && !rep.err && !rep.n_rows
              && now () < deadline_ms;
  if (!must_wait)
    answer_table_call (request_id, &rep);
  codec_free (&store_rep_desc, &rep);
  return !must_wait;
}

/* Executes a write without an answer. */
static void
execute_unanswered_write (const struct store_op *op)
{
  struct store_rep rep = { 0 };

  ftable_apply (&sim->table, op, &rep);
  codec_free (&store_rep_desc, &rep);
}

/* Executes the late writes that are due. */
static void
execute_late_writes (void)
{
  struct late_write *w, *next;

  TAILQ_FOREACH_SAFE (w, &late_writes, link, next)
    if (now () >= w->due_ms)
      {
        TAILQ_REMOVE (&late_writes, w, link);
        execute_unanswered_write (&w->op);
        codec_free (&store_op_desc, &w->op);
        free (w);
      }
}

/* Takes over @op to be executed later. */
static void
delay_write (const struct store_op *op)
{
  struct late_write *w = calloc (1, sizeof *w);

  w->op = *op;
  w->due_ms = now () + LATE_WRITE_MIN_MS
              + (int64_t)(fsim_random (sim)
                          * (LATE_WRITE_MAX_MS - LATE_WRITE_MIN_MS));
  TAILQ_INSERT_TAIL (&late_writes, w, link);
}

static void
on_table_request (void *arg, const struct httpd_req *rq)
{
  struct pending_request *p = calloc (1, sizeof *p);

  p->server = arg;
  p->request_id = rq->id;
  if (read_table_op (rq, &p->op))
    {
      answer_json (&table_server, rq->id, 400, json_object ());
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  p->deadline_ms = now () + p->op.wait_ms;
  if (now () < sim->table.down_until_ms)
    {
      answer_json (&table_server, rq->id, 503, json_object ());
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  if (p->op.kind == STORE_TXN
      && fsim_random (sim) < sim->table.delayed_write_share)
    {
      delay_write (&p->op);
      free (p);
      return;
    }
  if (p->op.kind == STORE_TXN
      && fsim_random (sim) < sim->table.lost_reply_share)
    {
      execute_unanswered_write (&p->op);
      codec_free (&store_op_desc, &p->op);
      free (p);
      return;
    }
  if (!try_table_op (rq->id, &p->op, p->deadline_ms))
    {
      TAILQ_INSERT_TAIL (&pending_requests, p, link);
      return;
    }
  codec_free (&store_op_desc, &p->op);
  free (p);
}

/* Functions of the executors and the advice service. */

static json_t *
checkpoint_json (const struct checkpoint_view *v)
{
  return v->unusable ? json_null ()
                     : json_stringn (v->bytes ? v->bytes : "", v->len);
}

static json_t *
result_json (const struct order_result *res)
{
  static const char *const reasons[]
      = { "other", "fence", "old", "late", "room", "ticket" };
  static const char *const end_names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  json_t *running = json_array ();
  json_t *finished = json_array ();
  json_t *json;
  char name[96];

  for (size_t i = 0; i < res->n_runs; i++)
    {
      const struct run_row *r = &res->runs[i];
      pf_task_name (&r->task, true, name, sizeof name);
      json_array_append_new (
          running, json_pack ("[s,I,o,I]", name, (json_int_t)r->run_id,
                              checkpoint_json (&r->checkpoint),
                              (json_int_t)r->percent));
    }
  for (size_t i = 0; i < res->n_ends; i++)
    {
      const struct end_row *e = &res->ends[i];
      pf_task_name (&e->task, true, name, sizeof name);
      json_array_append_new (
          finished, json_pack ("[I,s,I,s,o]", (json_int_t)e->seq, name,
                               (json_int_t)e->run_id, end_names[e->run_end],
                               checkpoint_json (&e->checkpoint)));
    }
  json = json_pack ("{s:I, s:o, s:o, s:s}", "clock_ms",
                    (json_int_t)res->clock_ms, "running", running, "finished",
                    finished, "reason", reasons[res->reason]);
  /* Only the answer to a poll names the boot. */
  if (res->boot_start_ms)
    json_object_set_new (json, "born",
                         json_integer ((json_int_t)res->boot_start_ms));
  return json;
}

static int64_t
int_member (const json_t *body, const char *name)
{
  return json_integer_value (json_object_get (body, name));
}

static void
read_order (const struct httpd_req *rq, struct order *o)
{
  json_error_t je;
  json_auto_t *body = json_loadb (rq->body, rq->body_len, JSON_ALLOW_NUL, &je);
  const char *task = json_string_value (json_object_get (body, "task"));
  const json_t *checkpoint = json_object_get (body, "checkpoint");
  const char *ticket = json_string_value (json_object_get (body, "ticket"));
  const char *spec = json_string_value (json_object_get (body, "spec"));

  o->kind = strcmp (rq->path, "/api/run-start") == 0  ? ORDER_START
            : strcmp (rq->path, "/api/run-stop") == 0 ? ORDER_STOP
                                                      : ORDER_POLL;
  if (task)
    pf_task_parse (task, &o->task);
  o->payload = spec ? strdup (spec) : NULL;
  o->ticket = ticket ? strdup (ticket) : NULL;
  if (checkpoint)
    o->checkpoint = checkpoint_new (
        &(struct checkpoint_view){ .bytes = json_string_value (checkpoint),
                                   .len = json_string_length (checkpoint) });
  o->run_id = int_member (body, "run");
  o->fencing_token = int_member (body, "fencing_token");
  o->lease_deadline_ms = int_member (body, "deadline_ms");
  o->recorded_end_seq = int_member (body, "last_seen");
  o->wait_ms = int_member (body, "wait_ms");
}

/* Prints a line if the poll lets the boot forget ends that no answer has
   listed. */
static void
report_unseen_ends (const struct fexec *e, const struct order *o)
{
  if (o->kind != ORDER_POLL || !e->up || o->fencing_token < e->fencing_token
      || o->recorded_end_seq <= e->listed_end_seq || !e->n_ends
      || e->ends[e->n_ends - 1].seq <= e->listed_end_seq)
    return;
  printf ("unseen at %lld: %s boot %lld fence %lld: poll token %lld last_seen "
          "%lld, ends %lld, listed %lld\n",
          (long long)sim->now_ms, e->id, (long long)e->boot_start_ms,
          (long long)e->fencing_token, (long long)o->fencing_token,
          (long long)o->recorded_end_seq, (long long)e->last_end_seq,
          (long long)e->listed_end_seq);
  fflush (stdout);
}

/* Executes an order and answers it.  A poll is not answered while the executor
   has no ended runs to report and @waited is false; the function must then be
   called again.
   @first: true in the first call for the order
   @waited: true if the wait time of a poll is over

   Return: true if the order was answered. */
static bool
try_order (struct server *s, uint64_t request_id, const struct order *o,
           bool first, bool waited)
{
  struct order_result res = { 0 };
  bool done;

  if (first)
    report_unseen_ends (s->exec, o);
  done = fexec_apply (sim, s->exec, o, first, waited, &res);

  if (done)
    answer_json (s, request_id, res.outcome == ORDER_DONE ? 200 : 409,
                 result_json (&res));
  order_result_clear (&res);
  return done;
}

/* Reads the steps of a job from its text, "steps=TASKSxMS,TASKSxMS...", where
   MS is the time that a task takes.  Without them, the job gets four steps
   with the maximum number of tasks. */
static void
read_steps (struct fjob *j, const char *text)
{
  const char *at = strstr (text, " steps=");
  long long tasks, ms;

  j->spec.steps = calloc (JOB_STEPS_MAX, sizeof *j->spec.steps);
  for (at = at ? at + 7 : NULL; at && j->spec.n_steps < JOB_STEPS_MAX
                                && sscanf (at, "%lldx%lld", &tasks, &ms) == 2
                                && tasks > 0 && tasks <= JOB_STEP_TASKS_MAX;
       at = strchr (at, ',') ? strchr (at, ',') + 1 : NULL)
    {
      j->task_ms[j->spec.n_steps] = ms;
      j->spec.steps[j->spec.n_steps++].tasks = tasks;
    }
  if (j->spec.n_steps)
    return;
  j->spec.n_steps = 4;
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      j->spec.steps[i].tasks = JOB_STEP_TASKS_MAX;
      j->task_ms[i] = 300;
    }
}

/* Registers the job of a start order in the simulation.  The stand-in does
   not see submissions, so it registers a job when the first of its tasks
   starts, with unlimited attempts.  What a task needs, the client account and
   the steps are known if the text of the job states them, as
   "cpu=MILLICORES account=NAME mem=MEM_MB gang=0|1 steps=...", and so are the
   checkpoints of its tasks, as " saves=BYTES". */
static void
register_job (const struct order *o)
{
  struct fjob *j = fsim_find_job (sim, o->task.job);
  char account[CLB_NAME_MAX] = "";
  const char *text = o->payload ? o->payload : "";
  struct job_need need = { 0 };
  long long millicores = 0;
  long long mem_mb = 0;
  int gang = 0;
  int n_tasks = 0;

  if (o->kind != ORDER_START || (j && j->stats))
    return;
  sscanf (text, "cpu=%lld account=%47s mem=%lld gang=%d", &millicores, account,
          &mem_mb, &gang);
  need.millicores = millicores;
  need.mem_mb = mem_mb;
  if (!j)
    {
      j = calloc (1, sizeof *j);
      clb_copy (j->id, o->task.job, sizeof j->id);
      RB_INSERT (fjob_tree, &sim->jobs, j);
    }
  clb_copy (j->spec.tenant, account, sizeof j->spec.tenant);
  j->spec.attempts = INT32_MAX;
  j->asked |= sadv_needs_tickets (j->id);
  read_steps (j, text);
  if (strstr (text, " saves="))
    j->checkpoint_bytes = strtoul (strstr (text, " saves=") + 7, NULL, 10);
  for (size_t i = 0; i < j->spec.n_steps; i++)
    {
      j->spec.steps[i].need = need;
      j->spec.steps[i].gang = gang;
      n_tasks += (int)j->spec.steps[i].tasks;
    }
  j->stats = calloc ((size_t)n_tasks + 1, sizeof *j->stats);
  j->submitted_ms = now () + start_ms;
}

/* Return: true if the executor is up and not cut off. */
static bool
can_answer (const struct fexec *e)
{
  return e->up && now () >= e->partitioned_until_ms;
}

/* Prints a line for an order that is executed without an answer.
   @fence: the highest fencing token that the boot had received before */
static void
report_unanswered (const struct fexec *e, const struct order *o, int64_t fence,
                   const struct order_result *res)
{
  char task[96] = "";

  if (o->kind != ORDER_POLL)
    pf_task_name (&o->task, true, task, sizeof task);
  printf ("unanswered at %lld: %s boot %lld fence %lld: %s %s run %lld "
          "token %lld last_seen %lld deadline %lld clock %lld: %s\n",
          (long long)sim->now_ms, e->id, (long long)e->boot_start_ms,
          (long long)fence,
          o->kind == ORDER_START  ? "start"
          : o->kind == ORDER_STOP ? "stop"
                                  : "poll",
          task, (long long)o->run_id, (long long)o->fencing_token,
          (long long)o->recorded_end_seq, (long long)o->lease_deadline_ms,
          (long long)res->clock_ms,
          res->outcome == ORDER_DONE ? "done" : "refused");
  fflush (stdout);
}

/* Executes an order without an answer.  The function takes ownership of what
   the order owns. */
static void
execute_unanswered (struct fexec *e, struct order *o)
{
  struct order_result res = { 0 };
  int64_t fence = e->fencing_token;

  e->last_fault_ms = sim->now_ms;
  register_job (o);
  report_unseen_ends (e, o);
  fexec_apply (sim, e, o, true, true, &res);
  report_unanswered (e, o, fence, &res);
  order_result_clear (&res);
  order_clear (o);
}

static void
execute_late_orders (void)
{
  struct late_order *l, *next;

  TAILQ_FOREACH_SAFE (l, &late_orders, link, next)
    {
      if (now () < l->due_ms)
        continue;
      TAILQ_REMOVE (&late_orders, l, link);
      if (can_answer (l->exec))
        {
          l->exec->executes_late = true;
          l->exec->fencing_token_before = l->exec->fencing_token;
          execute_unanswered (l->exec, &l->order);
          l->exec->executes_late = false;
        }
      order_clear (&l->order);
      free (l);
    }
}

/* Loses the answer to an order, if chance says so: executes the order now or
   later.  Takes ownership of what the order owns then.

   Return: true if the order must not be answered. */
static bool
lose_answer (const struct server *s, struct order *o)
{
  struct fexec *e = s->exec;
  struct late_order *l;
  double share
      = o->kind == ORDER_POLL ? s->lost_poll_share : e->lost_result_share;
  double chance;

  if (share <= 0)
    return false;
  chance = fsim_random (sim);
  if (chance >= share)
    return false;
  if (chance < share / 2)
    {
      execute_unanswered (e, o);
      return true;
    }
  l = calloc (1, sizeof *l);
  l->exec = e;
  l->due_ms = now () + LATE_ORDER_MIN_MS
              + (int64_t)(fsim_random (sim)
                          * (LATE_ORDER_MAX_MS - LATE_ORDER_MIN_MS));
  l->order = *o;
  e->last_fault_ms = sim->now_ms;
  TAILQ_INSERT_TAIL (&late_orders, l, link);
  return true;
}

static void
on_exec_request (void *arg, const struct httpd_req *rq)
{
  struct pending_request *p = calloc (1, sizeof *p);

  sim->now_ms = now ();
  p->server = arg;
  p->request_id = rq->id;
  if (!can_answer (p->server->exec))
    {
      /* The order gets no answer, so it times out at the instance. */
      free (p);
      return;
    }
  read_order (rq, &p->order);
  if (lose_answer (p->server, &p->order))
    {
      free (p);
      return;
    }
  register_job (&p->order);
  p->deadline_ms = now () + p->order.wait_ms;
  p->boot_start_ms = p->server->exec->boot_start_ms;
  if (!try_order (p->server, rq->id, &p->order, true, p->order.wait_ms == 0))
    TAILQ_INSERT_TAIL (&pending_requests, p, link);
  else
    {
      order_clear (&p->order);
      free (p);
    }
}

/* Drops the pending request of a closed connection. */
static void
on_disconnect (void *arg, uint64_t request_id)
{
  struct pending_request *p, *next;

  TAILQ_FOREACH_SAFE (p, &pending_requests, link, next)
    if (p->server == arg && p->request_id == request_id)
      {
        TAILQ_REMOVE (&pending_requests, p, link);
        codec_free (&store_op_desc, &p->op);
        free (p);
      }
}

/* Writes the discovery entry of an executor to the table. */
static void
write_discovery_entry (const struct server *s)
{
  char key[CLB_ID_MAX + 16];
  int64_t born_ms = sim->wall_start_ms + s->exec->boot_start_ms;
  char zone[] = { (char)('a' + s->exec->index % n_zones), '\0' };
  json_auto_t *entry
      = json_pack ("{s:s, s:s, s:s, s:s, s:I, s:{s:I, s:I, s:i}}", "service",
                   "svc", "address", s->addr, "zone", zone, "state", "ready",
                   "born", (json_int_t)born_ms, "capacity", "cpu",
                   (json_int_t)s->exec->capacity.millicores, "mem_mb",
                   (json_int_t)s->exec->capacity.mem_mb, "gpu", 0);
  char addr[CLB_ADDR_MAX];
  char rack[16];
  clb_auto char *text = NULL;

  snprintf (rack, sizeof rack, "r%d",
            1 + (rack_size ? s->exec->index / rack_size : 0));
  json_object_set_new (entry, "labels", json_pack ("[s,s]", "kind", rack));
  snprintf (addr, sizeof addr, "127.0.0.1:%d",
            atoi (strchr (s->addr, ':') + 1) + advertised_offset);
  json_object_set_new (entry, "address", json_string (addr));
  text = json_dumps (entry, JSON_COMPACT);
  snprintf (key, sizeof key, "servers/%s", s->exec->id);
  ftable_put (sim, key, text);
}

/* Begins a new boot of an executor, unless one has begun meanwhile. */
static void
begin_boot (struct server *s)
{
  s->boot_due_ms = -1;
  if (s->exec->up)
    return;
  fexec_reboot (sim, s->exec);
  s->entry_due_ms
      = sim->now_ms + (int64_t)(fsim_random (sim) * ENTRY_DELAY_MAX_MS);
}

/* Return: true if the boot that has received the poll has ended. */
static bool
is_of_ended_boot (const struct pending_request *p)
{
  const struct fexec *e = p->server->exec;

  return e && (!e->up || e->boot_start_ms != p->boot_start_ms);
}

/* Begins the boots and writes the discovery entries that are due. */
static void
restart_execs (void)
{
  for (int i = 0; i < n_execs; i++)
    {
      struct server *s = &exec_servers[i];
      if (s->boot_due_ms >= 0 && sim->now_ms >= s->boot_due_ms)
        begin_boot (s);
      if (s->entry_due_ms >= 0 && sim->now_ms >= s->entry_due_ms
          && s->exec->up)
        {
          s->entry_due_ms = -1;
          write_discovery_entry (s);
        }
    }
}

/* Prints a line for each kind of which violations were detected since the last
   such line. */
static void
report_violations (void)
{
  static int reported[FSIM_VIOLATION_KINDS_MAX];

  for (int i = 0; i < sim->n_violation_kinds; i++)
    {
      const struct fviolations *v = &sim->violations[i];
      if (v->n == reported[i])
        continue;
      printf ("violation %s: %d, first %s\n", v->kind, v->n, v->first);
      fflush (stdout);
      reported[i] = v->n;
    }
}

static void
on_timer (uv_timer_t *t)
{
  struct pending_request *p, *next;

  (void)t;
  sim->now_ms = now ();
  if (timer_ms && sim->now_ms - timer_ms > timer_gap_ms)
    timer_gap_ms = sim->now_ms - timer_ms;
  timer_ms = sim->now_ms;
  restart_execs ();
  fexec_tick (sim);
  execute_late_orders ();
  execute_late_writes ();
  send_late_answers ();
  report_violations ();
  TAILQ_FOREACH_SAFE (p, &pending_requests, link, next)
    {
      bool deadline_passed = now () >= p->deadline_ms;
      if (is_of_ended_boot (p))
        {
          TAILQ_REMOVE (&pending_requests, p, link);
          free (p);
          continue;
        }
      if (p->server->exec && now () < p->server->exec->partitioned_until_ms)
        continue;
      if (p->server->exec && !deadline_passed && !p->server->exec->n_ends
          && p->order.fencing_token >= p->server->exec->fencing_token)
        continue;
      bool done = p->server->exec
                      ? try_order (p->server, p->request_id, &p->order, false,
                                   deadline_passed)
                      : try_table_op (p->request_id, &p->op, p->deadline_ms);
      if (!done)
        continue;
      TAILQ_REMOVE (&pending_requests, p, link);
      codec_free (&store_op_desc, &p->op);
      free (p);
    }
}

/* Listens on @port of the loopback interface.  The program exits on an error.
 */
static void
start_server (struct server *s, int port,
              void (*on_request) (void *arg, const struct httpd_req *rq))
{
  struct httpd_conf conf = { .addr = s->addr,
                             .max_body_bytes = BODY_MAX,
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

/* Lets the advice service listen on @port of @ip.  The program exits on an
   error. */
static void
listen_for_advice (const char *ip, int port)
{
  char *addr;
  int err;

  if (asprintf (&addr, "%s:%d", ip, port) < 0)
    abort ();
  err = sadv_listen (addr);
  if (!err)
    return;
  fprintf (stderr, "fleet-standin: %s: %s\n", addr, uv_strerror (err));
  exit (1);
}

/* Starts the advice service on @port of 127.0.0.1 and of @ips. */
static void
start_advice (char *const *ips, int n_ips, int port)
{
  struct sadv_conf conf = { .sim = sim, .now_ms = now };

  sim->permitted_share = 1;
  sadv_init (&conf);
  listen_for_advice ("127.0.0.1", port);
  for (int i = 0; i < n_ips; i++)
    listen_for_advice (ips[i], port);
}

/* Return: the contents of the file, to be freed.  The program exits if the
   file is empty or cannot be read. */
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

/* Writes the text in a file to the table as the fleet's configuration. */
static void
put_config (const char *path)
{
  clb_auto char *text = read_file (path);
  struct fconf *conf;
  struct codec_err ce;

  if (!pf_codec.decode_conf (text, &conf, &ce))
    {
      fquota_set_conf (sim, conf);
      for (size_t i = 0; i < conf->n_queues; i++)
        if (conf->queues[i].advice.base_ms > 0)
          sadv_set_advice (conf->queues[i].name, &conf->queues[i].advice);
      fconf_free (conf);
    }
  ftable_put (sim, "op/config", text);
}

/* Writes the text in a file to the table as the discovery entry of @id. */
static void
put_entry (const char *id, const char *path)
{
  char key[CLB_ID_MAX + 16];
  clb_auto char *text = read_file (path);

  snprintf (key, sizeof key, "servers/%s", id);
  ftable_put (sim, key, text);
}

/* Writes the ids of all jobs with a started task to a file, one per line. */
static void
write_started_jobs (const char *path)
{
  FILE *f = fopen (path, "w");
  struct fjob *j;

  if (!f)
    return;
  RB_FOREACH (j, fjob_tree, &sim->jobs)
    if (j->stats)
      fprintf (f, "%s\n", j->id);
  fclose (f);
}

/* struct left_job - a job that may be left, as the command "left" names it */
struct left_job
{
  char id[JOB_ID_SIZE];
  char account[CLB_NAME_MAX];
  struct job_need need; /* of each task */
  int gang;             /* 1: each step's tasks start together */
  int64_t tasks[JOB_STEPS_MAX];
  int n_steps;
};

/* Return: what runs on the executor. */
static struct job_need
used_by_runs (const struct fexec *e)
{
  struct job_need used = { 0 };

  for (int i = 0; i < e->n_runs; i++)
    {
      used.millicores += e->runs[i].need.millicores;
      used.mem_mb += e->runs[i].need.mem_mb;
    }
  return used;
}

/* Return: the number of tasks with @need that there is room for in @unused. */
static int64_t
room_for (const struct job_need *unused, const struct job_need *need)
{
  int64_t by_cpu = unused->millicores / need->millicores;
  int64_t by_mem = unused->mem_mb / need->mem_mb;
  int64_t n = by_cpu < by_mem ? by_cpu : by_mem;

  return n > 0 ? n : 0;
}

/* Return: the first step of the job that is not done; -1 if a task runs;
   STEP_NONE if all steps are done. */
static int
step_at_turn (const struct left_job *l)
{
  const struct fjob *j = fsim_find_job (sim, l->id);
  int at = 0;

  if (!j || !j->stats)
    return 0;
  for (int i = 0; i < (int)j->spec.n_steps; i++)
    {
      int64_t n_done = 0;
      for (int k = 0; k < j->spec.steps[i].tasks; k++, at++)
        {
          if (j->stats[at].n_running)
            return -1;
          n_done += j->stats[at].n_done_ends > 0;
        }
      if (n_done < (j->spec.steps[i].gang ? 1 : j->spec.steps[i].tasks))
        return i;
    }
  return STEP_NONE;
}

/* Return: the limit of a client account in the newest configuration; NULL if
   it has none. */
static const struct job_need *
limit_of (const char *account)
{
  for (int i = sim->n_limits - 1; i >= 0; i--)
    if (strcmp (sim->limits[i].tenant, account) == 0)
      return sim->limits[i].in_force_until_ms == INT64_MAX
                     && sim->limits[i].limit.millicores
                 ? &sim->limits[i].limit
                 : NULL;
  return NULL;
}

/* struct usage - what runs at a moment */
struct usage
{
  struct job_need unused[FSIM_EXECS_MAX]; /* by executor */
  int64_t millicores;                     /* in use on all executors */
  int64_t capacity;                       /* millicores that answer */
};

/* Return: what the runs of a client account use. */
static struct job_need
used_by_account (const char *account)
{
  struct job_need used = { 0 };

  for (int k = 0; k < n_execs; k++)
    for (int i = 0; i < sim->exec[k]->n_runs; i++)
      {
        const struct frun *r = &sim->exec[k]->runs[i];
        const struct fjob *j = fsim_find_job (sim, r->task.job);
        if (!j || strcmp (j->spec.tenant, account) != 0)
          continue;
        used.millicores += r->need.millicores;
        used.mem_mb += r->need.mem_mb;
      }
  return used;
}

/* Return: how the job is left that has nothing running although the turn of
   @step has come and there is room. */
static enum left
sort_left (const struct left_job *l, int step, const struct usage *u)
{
  const struct job_need *limit = limit_of (l->account);
  struct job_need used = { 0 };
  int64_t tasks = l->gang ? l->tasks[step] : 1;

  if (limit)
    used = used_by_account (l->account);
  if (limit
      && (used.millicores + tasks * l->need.millicores > limit->millicores
          || (limit->mem_mb
              && used.mem_mb + tasks * l->need.mem_mb > limit->mem_mb)))
    return LEFT_HELD;
  if (2 * u->millicores < u->capacity
      && (!limit
          || (2 * used.millicores < limit->millicores
              && (!limit->mem_mb || 2 * used.mem_mb < limit->mem_mb))))
    return LEFT_RULE;
  return LEFT_IDLE;
}

/* Return: whether the job has nothing running although the turn of @step has
   come and permitted executors that answer have room for the whole step twice
   over. */
static enum left
job_is_left (const struct left_job *l, int step, const struct usage *u)
{
  struct task_ref ref = { .step = step };
  int64_t room = 0;
  int64_t idle_room = 0;

  if (step < 0 || step >= l->n_steps)
    return LEFT_NOT;
  clb_copy (ref.job, l->id, sizeof ref.job);
  for (int i = 0; i < n_execs && room < 2 * l->tasks[step]; i++)
    if (can_answer (sim->exec[i])
        && (!sadv_needs_tickets (l->id)
            || sadv_permits (&ref, sim->exec[i]->id)))
      {
        room += room_for (&u->unused[i], &l->need);
        idle_room += room_for (&sim->exec[i]->capacity, &l->need);
      }
  if (room >= 2 * l->tasks[step])
    return sort_left (l, step, u);
  return l->gang && idle_room < l->tasks[step] ? LEFT_NEVER : LEFT_NOT;
}

/* Reads a line of the input of the command "left".  Return: false if it is not
   valid. */
static bool
read_left_job (const char *line, struct left_job *l)
{
  char id[JOB_ID_SIZE] = "";
  long long cpu, mem, tasks;
  int at = 0;
  int len;

  memset (l, 0, sizeof *l);
  if (sscanf (line, "%16s %47s %lld %lld %d%n", id, l->account, &cpu, &mem,
              &l->gang, &at)
          != 5
      || cpu <= 0 || mem <= 0)
    return false;
  clb_copy (l->id, id, sizeof l->id);
  l->need = (struct job_need){ .millicores = cpu, .mem_mb = mem };
  for (; l->n_steps < JOB_STEPS_MAX
         && sscanf (line + at, "%lld%n", &tasks, &len) == 1;
       at += len)
    l->tasks[l->n_steps++] = tasks;
  return l->n_steps > 0;
}

static void
write_left_job (FILE *to, const struct left_job *l, const struct usage *u)
{
  const struct fjob *j = fsim_find_job (sim, l->id);
  int step = step_at_turn (l);

  fprintf (to, "%s %lld %d %d\n", l->id,
           (long long)(j && j->stats ? j->submitted_ms : 0),
           (int)job_is_left (l, step, u), step == STEP_NONE);
}

static void
measure_usage (struct usage *u)
{
  u->millicores = 0;
  u->capacity = 0;
  for (int i = 0; i < n_execs; i++)
    {
      struct job_need used = used_by_runs (sim->exec[i]);
      u->millicores += used.millicores;
      if (can_answer (sim->exec[i]))
        u->capacity += sim->exec[i]->capacity.millicores;
      u->unused[i] = sim->exec[i]->capacity;
      u->unused[i].millicores -= used.millicores;
      u->unused[i].mem_mb -= used.mem_mb;
    }
}

/* Writes the states of the jobs in the file @in to the file @out, which
   appears when it is complete. */
static void
write_left_jobs (const char *in, const char *out)
{
  static struct usage usage;
  char line[256];
  char part[300];
  struct left_job l;
  FILE *from = fopen (in, "r");
  FILE *to;

  snprintf (part, sizeof part, "%s.part", out);
  to = fopen (part, "w");
  measure_usage (&usage);
  while (from && to && fgets (line, sizeof line, from))
    if (read_left_job (line, &l))
      write_left_job (to, &l, &usage);
  if (to)
    fprintf (to, "end %lld %lld\n", (long long)usage.millicores / 1000,
             (long long)timer_gap_ms);
  timer_gap_ms = 0;
  if (from)
    fclose (from);
  if (to && fclose (to) == 0)
    rename (part, out);
}

static void
inject_table_fault (const char *fault, double value)
{
  if (strcmp (fault, "down") == 0)
    sim->table.down_until_ms = now () + (int64_t)value;
  else if (strcmp (fault, "late") == 0)
    table_late_ms = (int64_t)value;
  else if (strcmp (fault, "lost") == 0)
    sim->table.lost_reply_share = value;
  else if (strcmp (fault, "late-writes") == 0)
    sim->table.delayed_write_share = value;
  else if (strcmp (fault, "row-bytes") == 0)
    sim->table.row_bytes_max = (size_t)value;
  else if (strcmp (fault, "compact") == 0)
    sim->table.compacted_ver = sim->table.ver;
}

static void
inject_exec_fault (int exec_index, const char *fault, double value)
{
  struct fexec *e;

  if (exec_index < 0 || exec_index >= n_execs)
    return;
  e = exec_servers[exec_index].exec;
  sim->now_ms = now ();
  if (strcmp (fault, "crash") == 0)
    fexec_crash (sim, e);
  else if (strcmp (fault, "reborn") == 0)
    {
      fexec_reboot (sim, e);
      write_discovery_entry (&exec_servers[exec_index]);
    }
  else if (strcmp (fault, "restart") == 0)
    {
      if (e->up)
        fexec_crash (sim, e);
      exec_servers[exec_index].boot_due_ms = now () + (int64_t)value;
      restart_execs ();
    }
  else if (strcmp (fault, "cut") == 0)
    e->partitioned_until_ms = now () + (int64_t)value;
  else if (strcmp (fault, "late") == 0)
    e->answer_delay_ms = (int64_t)value;
  else if (strcmp (fault, "lost") == 0)
    e->lost_result_share = value;
  else if (strcmp (fault, "polls-lost") == 0)
    exec_servers[exec_index].lost_poll_share = value;
  else if (strcmp (fault, "fails") == 0)
    e->fails_runs = value > 0;
}

/* Sets where the clock of the next boots begins. */
static void
set_boot_clock (int exec_index, const char *mode)
{
  if (exec_index < 0 || exec_index >= n_execs)
    return;
  exec_servers[exec_index].exec->next_boot_clock_ms
      = strcmp (mode, "on") == 0     ? FSIM_CLOCK_GOES_ON
        : strcmp (mode, "zero") == 0 ? 1
                                     : FSIM_CLOCK_DRAWN;
}

static void
run_command (const char *line)
{
  char fault[16] = "";
  char path[256] = "";
  char id[CLB_ID_MAX] = "";
  char path2[256] = "";
  char name[CLB_NAME_MAX] = "";
  char digit = '\0';
  double value = 0;
  int exec_index = -1;

  if (sscanf (line, "table %15s %lf", fault, &value) >= 1)
    inject_table_fault (fault, value);
  else if (sscanf (line, "advice %15s %lf", fault, &value) == 2)
    sadv_inject (fault, value);
  else if (sscanf (line, "advised %255s", path) == 1)
    sadv_write_counts (path);
  else if (sscanf (line, "exec %d clock %15s", &exec_index, fault) == 2)
    set_boot_clock (exec_index, fault);
  else if (sscanf (line, "exec %d %15s %lf", &exec_index, fault, &value) >= 2)
    inject_exec_fault (exec_index, fault, value);
  else if (sscanf (line, "queue %c %47s %lf", &digit, name, &value) == 3)
    sadv_add_queue (digit, name, value);
  else if (sscanf (line, "left %255s %255s", path, path2) == 2)
    write_left_jobs (path, path2);
  else if (sscanf (line, "config %255s", path) == 1)
    put_config (path);
  else if (sscanf (line, "entry %95s %255s", id, path) == 2)
    put_entry (id, path);
  else if (sscanf (line, "started %255s", path) == 1)
    write_started_jobs (path);
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
  char *ips[64];
  int n_ips = 0;
  int ticket_bytes = FSIM_TICKET_BYTES;
  int port, n, opt;

  while ((opt = getopt (argc, argv, "+c:m:n:z:t:a:")) != -1)
    if (opt == 'c')
      capacity.millicores = 1000 * atoll (optarg);
    else if (opt == 'm')
      capacity.mem_mb = atoll (optarg);
    else if (opt == 'n')
      rack_size = atoi (optarg);
    else if (opt == 'z' && atoi (optarg) > 0 && atoi (optarg) <= ZONES_MAX)
      n_zones = atoi (optarg);
    else if (opt == 't' && atoi (optarg) > 0)
      ticket_bytes = atoi (optarg);
    else if (opt == 'a' && n_ips < 64)
      ips[n_ips++] = optarg;
    else
      optind = argc;
  argc -= optind - 1;
  argv += optind - 1;
  if (argc != 4 && argc != 5)
    {
      fprintf (stderr, "usage: fleet-standin [-c CORES] [-m MEM_MB] [-n RACK] "
                       "[-z ZONES] [-t BYTES] [-a IP]... PORT EXECUTORS "
                       "CONFIG [ADVERTISED-OFFSET]\n");
      return 64;
    }
  /* Writing to a connection that the peer has closed must not end the process.
   */
  signal (SIGPIPE, SIG_IGN);
  port = atoi (argv[1]);
  n = n_execs = atoi (argv[2]);
  advertised_offset = argc == 5 ? atoi (argv[4]) : 0;
  start_ms = now ();
  sim = fsim_new (1, 0, n, &capacity);
  sim->ticket_bytes = ticket_bytes;
  sim->wall_start_ms = wall_ms ();
  start_server (&table_server, port, on_table_request);
  exec_servers = calloc ((size_t)n, sizeof *exec_servers);
  for (int i = 0; i < n; i++)
    {
      /* Only the stand-in writes entries, which have another format. */
      sim->exec[i]->entry_frozen = true;
      /* The clock of the simulation's first boot begins at 0, those of others
         at any reading. */
      fexec_reboot (sim, sim->exec[i]);
      exec_servers[i].exec = sim->exec[i];
      exec_servers[i].boot_due_ms = exec_servers[i].entry_due_ms = -1;
      start_server (&exec_servers[i], port + 1 + i, on_exec_request);
      write_discovery_entry (&exec_servers[i]);
    }
  start_advice (ips, n_ips, port + 1 + n);
  put_config (argv[3]);
  uv_timer_init (uv_default_loop (), &timer);
  uv_timer_start (&timer, on_timer, PENDING_RETRY_MS, PENDING_RETRY_MS);
  uv_pipe_init (uv_default_loop (), &in, 0);
  if (uv_guess_handle (0) == UV_NAMED_PIPE && uv_pipe_open (&in, 0) == 0)
    uv_read_start ((uv_stream_t *)&in, on_alloc, on_commands);
  printf ("ready\n");
  fflush (stdout);
  return uv_run (uv_default_loop (), UV_RUN_DEFAULT);
}
