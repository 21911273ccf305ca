/*
 * fleet2 - stand-in of the platform for the cases of the second review: the
 * table service and the executors, on the loopback interface.
 *
 * usage: fleet2 PORT EXECUTORS CONFIG SEED
 *
 * The table listens on 127.0.0.1:PORT, executor K on PORT + 1 + K.  CONFIG is
 * a file with the configuration that op/config holds at the start.  Events go
 * to standard output, one a line: "MS EVENT ...", MS by the steady clock.
 *
 * A task's run is described by its job's "spec": words NAME=VALUE, of which
 * "ms" is how long a run takes, "fail" (1) lets each run end as failed, and
 * "saves" (a length in bytes) lets it save a checkpoint after each second.
 *
 * Commands on standard input:
 *   outage MS       for MS, the table answers 503.  Calls in progress are
 *                   completed, and their channels are closed without an
 *                   answer, as when its process is killed and another one
 *                   takes over
 *   late SHARE      from now on, this share of the writes is not answered and
 *                   performed 1 to 6 s later, if its condition still holds
 *   orders-late SHARE  from now on, this share of the orders to start or stop a
 *                   run is not answered, and carried out 2 to 12 s later by the
 *                   boot that the executor then has
 *   crash K MS      executor K crashes and starts again MS later
 *   crash-runs ID MS   the same for the executor that runs a task of job ID
 *   entry K CPU     another writer replaces the entry of executor K by one that
 *                   lacks version, slots, cold_ms, sequence and born, and
 *                   states a capacity of CPU millicores; the executor's next
 *                   heartbeat puts it right
 *   quit
 */
#include <arpa/inet.h>
#include <ctype.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  CORES_MILLI = 16000,
  MEM_MB = 32768,
  HEARTBEAT_MS = 1500,
  LEASE_MAX_MS = 6000,
  STOP_MS = 100,
  SAVE_MS = 1000,
  TX_MS = 3,
  LATE_MIN_MS = 1000,
  LATE_MAX_MS = 6000,
  ORDER_LATE_MIN_MS = 2000,
  ORDER_LATE_MAX_MS = 12000,
  ROWS_MAX = 60000,
  RUNS_MAX = 60000,
};

struct row
{
  char *table, *part, *key, *value; /* value: base64; NULL: deleted */
  int64_t ver;
};

struct run
{
  char task[96];
  int64_t id;
  int exec;
  int64_t born; /* of the boot that runs it */
  int64_t begin_ms, work_ms, stop_ms; /* stop_ms: 0: not being stopped */
  bool fails, over;
  int saves;
  int64_t n_saved; /* number of checkpoints of this run */
  char how[16];
  int64_t seq; /* number of its end */
  char saved[512];
};

struct exec
{
  int port, fd;
  bool up;
  int64_t up_at_ms;   /* start of the next boot */
  int64_t boot_ms;    /* start of this boot, since the start of the program */
  int64_t born;       /* the same by the wall clock */
  int64_t fence, deadline_ms, end_seq, forgotten;
  int64_t beat_ms;    /* time of the next heartbeat */
  int64_t sequence;
  bool listed;
  char id[32];
  int conns[64];
};

static pthread_mutex_t mu = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static struct row rows[ROWS_MAX];
static int n_rows;
static int64_t last_ver;
static struct run runs[RUNS_MAX];
static int n_runs;
static struct exec execs[64];
static int n_execs, port;
static int64_t outage_until_ms, outage_no;
static double late_share, orders_late_share;
static int64_t start_ns;
static unsigned seed;

static int64_t
mono_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int64_t
now (void)
{
  return (mono_ns () - start_ns) / 1000000;
}

static int64_t
wall (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
event (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  printf ("%lld ", (long long)(mono_ns () / 1000000));
  vprintf (fmt, ap);
  putchar ('\n');
  fflush (stdout);
  va_end (ap);
}

static double
chance (void)
{
  return rand_r (&seed) / (RAND_MAX + 1.0);
}

/* Table.  All functions are called with the lock held. */

static struct row *
row_find (const char *table, const char *part, const char *key)
{
  for (int i = 0; i < n_rows; i++)
    if (!strcmp (rows[i].key, key) && !strcmp (rows[i].table, table)
        && !strcmp (rows[i].part, part))
      return &rows[i];
  return NULL;
}

static void
row_put (const char *table, const char *part, const char *key,
         const char *value, int64_t ver)
{
  struct row *r = row_find (table, part, key);

  if (!r)
    {
      if (n_rows == ROWS_MAX)
        abort ();
      r = &rows[n_rows++];
      r->table = strdup (table);
      r->part = strdup (part);
      r->key = strdup (key);
      r->value = NULL;
    }
  free (r->value);
  r->value = value ? strdup (value) : NULL;
  r->ver = ver;
  pthread_cond_broadcast (&changed);
}

static void
row_put_text (const char *table, const char *key, const char *text)
{
  char *b64 = malloc (4 * (strlen (text) / 3 + 1) + 1);

  EVP_EncodeBlock ((unsigned char *)b64, (const unsigned char *)text,
                   (int)strlen (text));
  row_put (table, "", key, b64, ++last_ver);
  free (b64);
}

static json_t *
row_json (const struct row *r)
{
  json_t *j = json_pack ("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
                         r->part, "key", r->key, "ver", (json_int_t)r->ver);

  if (r->value)
    json_object_set_new (j, "value", json_string (r->value));
  else
    json_object_set_new (j, "deleted", json_true ());
  return j;
}

static const char *
str (const json_t *j, const char *name)
{
  const char *s = json_string_value (json_object_get (j, name));

  return s ? s : "";
}

static json_t *
reply (json_t *list)
{
  return json_pack ("{s:o,s:I,s:I,s:b}", "rows", list, "ver",
                    (json_int_t)last_ver, "now_ms", (json_int_t)now (),
                    "has_more", 0);
}

static json_t *
tx_apply (const json_t *body, int *status)
{
  json_t *list = json_array (), *row;
  size_t i;
  bool ok = true;
  int64_t ver;

  json_array_foreach (json_object_get (body, "expect"), i, row)
    {
      struct row *r
          = row_find (str (row, "table"), str (row, "part"), str (row, "key"));
      int64_t have = r && r->value ? r->ver : 0;
      if (have != json_integer_value (json_object_get (row, "ver")))
        ok = false;
      if (r && r->value)
        json_array_append_new (list, row_json (r));
    }
  *status = ok ? 200 : 412;
  if (!ok)
    return reply (list);
  json_decref (list);
  ver = ++last_ver;
  json_array_foreach (json_object_get (body, "puts"), i, row)
    {
      row_put (str (row, "table"), str (row, "part"), str (row, "key"),
               str (row, "value"), ver);
      if (!strcmp (str (row, "table"), "job"))
        event ("stored %s", str (row, "key"));
    }
  json_array_foreach (json_object_get (body, "remove"), i, row)
    row_put (str (row, "table"), str (row, "part"), str (row, "key"), NULL,
             ver);
  return reply (json_array ());
}

static int
by_key (const void *a, const void *b)
{
  return strcmp ((*(struct row *const *)a)->key, (*(struct row *const *)b)->key);
}

static int
by_ver (const void *a, const void *b)
{
  int64_t x = (*(struct row *const *)a)->ver, y = (*(struct row *const *)b)->ver;

  return x < y ? -1 : x > y;
}

/* Copies the decoded parameter @name of the query in @path to @out. */
static void
param (const char *path, const char *name, char *out, size_t size)
{
  const char *at = strchr (path, '?');
  size_t len = strlen (name), n = 0;

  while (at && (strncmp (at + 1, name, len) || at[1 + len] != '='))
    at = strchr (at + 1, '&');
  for (at = at ? at + len + 2 : ""; *at && *at != '&' && n + 1 < size; at++)
    {
      unsigned c;
      if (*at == '%' && sscanf (at + 1, "%2x", &c) == 1)
        {
          out[n++] = (char)c;
          at += 2;
        }
      else
        out[n++] = *at;
    }
  out[n] = 0;
}

static json_t *
get_rows (const char *path)
{
  char table[64], part[64], from[256], to[256], limit[32];
  struct row **found = calloc ((size_t)n_rows + 1, sizeof *found);
  json_t *list = json_array (), *out;
  size_t n = 0, max;

  param (path, "table", table, sizeof table);
  param (path, "part", part, sizeof part);
  param (path, "from", from, sizeof from);
  param (path, "target", to, sizeof to);
  param (path, "limit", limit, sizeof limit);
  max = *limit ? (size_t)atoi (limit) : 500;
  if (max > 500)
    max = 500;
  for (int i = 0; i < n_rows; i++)
    if (rows[i].value && !strcmp (rows[i].table, table)
        && !strcmp (rows[i].part, part) && strcmp (rows[i].key, from) >= 0
        && (!*to || strcmp (rows[i].key, to) < 0))
      found[n++] = &rows[i];
  qsort (found, n, sizeof *found, by_key);
  for (size_t i = 0; i < n && i < max; i++)
    json_array_append_new (list, row_json (found[i]));
  free (found);
  out = reply (list);
  json_object_set_new (out, "has_more", json_boolean (n > max));
  return out;
}

static json_t *
feed_rows (const char *table, int64_t after)
{
  struct row **found = calloc ((size_t)n_rows + 1, sizeof *found);
  json_t *list = json_array ();
  size_t n = 0;

  for (int i = 0; i < n_rows; i++)
    if (rows[i].ver > after && !strcmp (rows[i].table, table))
      found[n++] = &rows[i];
  qsort (found, n, sizeof *found, by_ver);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, row_json (found[i]));
  free (found);
  return reply (list);
}

static void
wait_until (int64_t ms)
{
  int64_t ns = start_ns + ms * 1000000;
  struct timespec ts = { ns / 1000000000, ns % 1000000000 };

  pthread_cond_timedwait (&changed, &mu, &ts);
}

struct late_tx
{
  json_t *body;
  int64_t due_ms;
};

static void *
late_thread (void *arg)
{
  struct late_tx *l = arg;
  int status;

  usleep ((useconds_t)(l->due_ms * 1000));
  pthread_mutex_lock (&mu);
  json_decref (tx_apply (l->body, &status));
  event ("late-write performed status=%d", status);
  pthread_mutex_unlock (&mu);
  json_decref (l->body);
  free (l);
  return NULL;
}

/* Handles a call to the table.  Returns the answer; NULL: there is none, and
   @closed says whether the channel is closed. */
static json_t *
table_call (const char *path, json_t *body, int *status, bool *closed)
{
  json_t *out = NULL;
  int64_t outage_before;

  pthread_mutex_lock (&mu);
  if (now () < outage_until_ms)
    {
      *status = 503;
      out = json_object ();
      pthread_mutex_unlock (&mu);
      return out;
    }
  outage_before = outage_no;
  *status = 200;
  if (!strncmp (path, "/api/rows-tx", 12))
    {
      if (chance () < late_share)
        {
          struct late_tx *l = malloc (sizeof *l);
          pthread_t t;
          l->body = json_incref (body);
          l->due_ms = LATE_MIN_MS
                      + (int64_t)(chance () * (LATE_MAX_MS - LATE_MIN_MS));
          event ("late-write due_in=%lld", (long long)l->due_ms);
          pthread_create (&t, NULL, late_thread, l);
          pthread_detach (t);
          pthread_mutex_unlock (&mu);
          *closed = false;
          return NULL;
        }
      pthread_mutex_unlock (&mu);
      usleep (TX_MS * 1000);
      pthread_mutex_lock (&mu);
      out = tx_apply (body, status);
    }
  else if (!strncmp (path, "/api/rows-feed", 14))
    {
      char table[64], after[32], wait[32];
      int64_t until;
      param (path, "table", table, sizeof table);
      param (path, "after", after, sizeof after);
      param (path, "wait_ms", wait, sizeof wait);
      until = now () + atoll (wait);
      for (;;)
        {
          out = feed_rows (table, atoll (after));
          if (json_array_size (json_object_get (out, "rows"))
              || now () >= until || outage_no != outage_before)
            break;
          json_decref (out);
          wait_until (until);
        }
    }
  else
    out = get_rows (path);
  if (outage_no != outage_before)
    {
      json_decref (out);
      out = NULL;
      *closed = true;
    }
  pthread_mutex_unlock (&mu);
  return out;
}

/* Executors. */

static int64_t
exec_clock (const struct exec *e)
{
  return now () - e->boot_ms + 1000;
}

static void
run_end (struct run *r, const char *how)
{
  struct exec *e = &execs[r->exec];

  r->over = true;
  snprintf (r->how, sizeof r->how, "%s", how);
  r->seq = ++e->end_seq;
  event ("end %s run=%lld exec=%s:%lld how=%s saved=%s", r->task,
         (long long)r->id, e->id, (long long)e->born, how, r->saved);
  pthread_cond_broadcast (&changed);
}

/* Writes the entry of an executor to the table. */
static void
exec_beat (struct exec *e, int k)
{
  char text[512];

  snprintf (text, sizeof text,
            "{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
            "\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"cold_ms\":0,"
            "\"sequence\":%lld,\"born\":%lld,\"capacity\":{\"cpu\":%d,"
            "\"mem_mb\":%d,\"gpu\":0},\"labels\":[\"kind-a\",\"r%d\"]}",
            e->port, (long long)++e->sequence, (long long)e->born, CORES_MILLI,
            MEM_MB, k / 8);
  row_put_text ("servers", e->id, text);
  e->beat_ms = now () + HEARTBEAT_MS;
  e->listed = true;
}

static void
exec_boot (struct exec *e)
{
  e->up = true;
  e->boot_ms = now ();
  e->born = wall ();
  e->fence = e->deadline_ms = e->end_seq = e->forgotten = e->sequence = 0;
  e->beat_ms = now ();
}

static void
exec_crash (struct exec *e, int64_t ms)
{
  if (!e->up)
    return;
  e->up = false;
  e->up_at_ms = now () + ms;
  e->beat_ms = now () + 3 * HEARTBEAT_MS;
  event ("crash exec=%s for_ms=%lld", e->id, (long long)ms);
  for (int i = 0; i < n_runs; i++)
    if (!runs[i].over && execs + runs[i].exec == e)
      {
        runs[i].over = true;
        runs[i].seq = 0;
        event ("lost %s run=%lld exec=%s:%lld", runs[i].task,
               (long long)runs[i].id, e->id, (long long)e->born);
      }
  for (int i = 0; i < 64; i++)
    if (e->conns[i] > 0)
      shutdown (e->conns[i], SHUT_RDWR);
  pthread_cond_broadcast (&changed);
}

/* Advances all executors and runs to the present. */
static void
execs_tick (void)
{
  for (int k = 0; k < n_execs; k++)
    {
      struct exec *e = &execs[k];
      if (!e->up && now () >= e->up_at_ms)
        {
          exec_boot (e);
          event ("boot exec=%s born=%lld", e->id, (long long)e->born);
        }
      if (e->up && now () >= e->beat_ms)
        exec_beat (e, k);
      if (!e->up && e->listed && now () >= e->beat_ms)
        {
          row_put ("servers", "", e->id, NULL, ++last_ver);
          e->listed = false;
        }
    }
  for (int i = 0; i < n_runs; i++)
    {
      struct run *r = &runs[i];
      int64_t ran = now () - r->begin_ms;
      if (r->over)
        continue;
      if (r->saves && ran / SAVE_MS > r->n_saved)
        {
          /* The name of a checkpoint ends with its number. */
          r->n_saved = ran / SAVE_MS;
          snprintf (r->saved, sizeof r->saved, "%0*lld", r->saves,
                    (long long)(r->id * 1000000 + r->n_saved));
          event ("saved %s run=%lld exec=%s checkpoint=%s", r->task,
                 (long long)r->id, execs[r->exec].id, r->saved);
        }
      if (exec_clock (&execs[r->exec]) > execs[r->exec].deadline_ms)
        run_end (r, "lapsed");
      else if (r->stop_ms && now () >= r->stop_ms)
        run_end (r, "stopped");
      else if (ran >= r->work_ms)
        run_end (r, r->fails ? "failed" : "done");
    }
}

static int64_t
word (const char *spec, const char *name, int64_t other)
{
  const char *at = strstr (spec, name);

  return at ? atoll (at + strlen (name)) : other;
}

static json_t *
refusal (const struct exec *e, const char *reason, int *status)
{
  *status = 409;
  return json_pack ("{s:s,s:I}", "reason", reason, "clock_ms",
                    (json_int_t)exec_clock (e));
}

static void
lease (struct exec *e, int64_t deadline)
{
  if (deadline > exec_clock (e) + LEASE_MAX_MS)
    deadline = exec_clock (e) + LEASE_MAX_MS;
  if (deadline > e->deadline_ms)
    e->deadline_ms = deadline;
}

static json_t *
run_start (struct exec *e, const json_t *b, int *status)
{
  const char *task = str (b, "task"), *spec = str (b, "spec");
  int64_t id = json_integer_value (json_object_get (b, "run"));
  int64_t deadline = json_integer_value (json_object_get (b, "deadline_ms"));
  struct run *r;

  for (int i = 0; i < n_runs; i++)
    if (runs[i].exec == e - execs && runs[i].born == e->born
        && !strcmp (runs[i].task, task))
      {
        if (runs[i].id == id && !runs[i].over)
          {
            lease (e, deadline);
            return json_pack ("{s:I}", "clock_ms", (json_int_t)exec_clock (e));
          }
        if (runs[i].id >= id)
          {
            lease (e, deadline);
            return refusal (e, "old", status);
          }
      }
  if (deadline <= exec_clock (e))
    return refusal (e, "late", status);
  if (n_runs == RUNS_MAX)
    abort ();
  lease (e, deadline);
  r = &runs[n_runs++];
  *r = (struct run){ .id = id,
                     .exec = (int)(e - execs),
                     .born = e->born,
                     .begin_ms = now (),
                     .work_ms = word (spec, "ms=", 200),
                     .fails = word (spec, "fail=", 0) != 0,
                     .saves = (int)word (spec, "saves=", 0) };
  snprintf (r->task, sizeof r->task, "%s", task);
  snprintf (r->saved, sizeof r->saved, "%s", str (b, "checkpoint"));
  event ("start %s run=%lld exec=%s:%lld token=%lld checkpoint=%s", task,
         (long long)id, e->id, (long long)e->born,
         (long long)json_integer_value (json_object_get (b, "fencing_token")),
         str (b, "checkpoint"));
  return json_pack ("{s:I}", "clock_ms", (json_int_t)exec_clock (e));
}

static json_t *
run_stop (struct exec *e, const json_t *b)
{
  int64_t id = json_integer_value (json_object_get (b, "run"));
  struct run *r = NULL;

  for (int i = 0; i < n_runs; i++)
    if (runs[i].exec == e - execs && runs[i].born == e->born
        && runs[i].id == id && !strcmp (runs[i].task, str (b, "task")))
      r = &runs[i];
  if (!r && n_runs < RUNS_MAX)
    {
      r = &runs[n_runs++];
      *r = (struct run){ .id = id, .exec = (int)(e - execs), .born = e->born,
                         .over = true };
      snprintf (r->task, sizeof r->task, "%s", str (b, "task"));
    }
  else if (r && !r->over && !r->stop_ms)
    r->stop_ms = now () + STOP_MS;
  return json_pack ("{s:I}", "clock_ms", (json_int_t)exec_clock (e));
}

static json_t *
lists (struct exec *e, bool *ends)
{
  json_t *running = json_array (), *finished = json_array ();

  *ends = false;
  for (int i = 0; i < n_runs; i++)
    {
      struct run *r = &runs[i];
      if (r->exec != e - execs || r->born != e->born)
        continue;
      if (!r->over)
        json_array_append_new (
            running,
            json_pack ("[s,I,s,i,i]", r->task, (json_int_t)r->id, r->saved,
                       (int)(100 * (now () - r->begin_ms) / (r->work_ms + 1)),
                       100));
      else if (r->seq > e->forgotten && json_array_size (finished) < 500)
        {
          json_array_append_new (finished,
                                 json_pack ("[I,s,I,s,s]", (json_int_t)r->seq,
                                            r->task, (json_int_t)r->id, r->how,
                                            r->saved));
          *ends = true;
        }
    }
  return json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms",
                    (json_int_t)exec_clock (e), "born", (json_int_t)e->born,
                    "running", running, "finished", finished);
}

/* Ends are numbered when they occur, which is not the order of the runs. */
static void
sort_ends (json_t *l)
{
  json_t *f = json_object_get (l, "finished");
  size_t n = json_array_size (f);

  for (size_t i = 0; i < n; i++)
    for (size_t k = i + 1; k < n; k++)
      {
        json_t *a = json_array_get (f, i), *b = json_array_get (f, k);
        if (json_integer_value (json_array_get (a, 0))
            > json_integer_value (json_array_get (b, 0)))
          {
            json_incref (a);
            json_incref (b);
            json_array_set_new (f, i, b);
            json_array_set_new (f, k, a);
          }
      }
}

static json_t *
hold (struct exec *e, const json_t *b, bool *closed)
{
  int64_t seen = json_integer_value (json_object_get (b, "last_seen"));
  int64_t until
      = now () + json_integer_value (json_object_get (b, "wait_ms"));
  int64_t born = e->born;
  json_t *out;
  bool ends;

  lease (e, json_integer_value (json_object_get (b, "deadline_ms")));
  for (int i = 0; i < n_runs && seen > e->forgotten; i++)
    if (runs[i].exec == e - execs && runs[i].born == e->born && runs[i].over
        && runs[i].seq > e->forgotten && runs[i].seq <= seen)
      event ("noted %s run=%lld exec=%s:%lld how=%s", runs[i].task,
             (long long)runs[i].id, e->id, (long long)e->born, runs[i].how);
  if (seen > e->forgotten)
    e->forgotten = seen;
  for (;;)
    {
      out = lists (e, &ends);
      if (ends || now () >= until)
        break;
      json_decref (out);
      wait_until (until);
      if (!e->up || e->born != born)
        {
          *closed = true;
          return NULL;
        }
    }
  sort_ends (out);
  return out;
}

static json_t *
exec_order (struct exec *e, const char *path, const char *target, json_t *b,
            int *status, bool *closed)
{
  json_t *out = NULL;
  int64_t fence = json_integer_value (json_object_get (b, "fencing_token"));

  *status = 200;
  pthread_mutex_lock (&mu);
  execs_tick ();
  if (!e->up)
    *closed = true;
  else if (strcmp (target, e->id))
    {
      *status = 421;
      out = json_object ();
    }
  else if (fence < e->fence)
    out = refusal (e, "fence", status);
  else
    {
      e->fence = fence;
      if (!strcmp (path, "/api/run-start"))
        out = run_start (e, b, status);
      else if (!strcmp (path, "/api/run-stop"))
        out = run_stop (e, b);
      else
        out = hold (e, b, closed);
    }
  pthread_mutex_unlock (&mu);
  return out;
}

struct late_order
{
  struct exec *e;
  char path[64], target[64];
  json_t *body;
  int64_t after_ms;
};

static void *
late_order_thread (void *arg)
{
  struct late_order *l = arg;
  int status;
  bool closed = false;

  usleep ((useconds_t)(l->after_ms * 1000));
  json_decref (
      exec_order (l->e, l->path, l->target, l->body, &status, &closed));
  json_decref (l->body);
  free (l);
  return NULL;
}

/* Handles a call to an executor.  Returns the answer; NULL: there is none, and
   @closed says whether the channel is closed. */
static json_t *
exec_call (struct exec *e, const char *path, const char *target, json_t *b,
           int *status, bool *closed)
{
  struct late_order *l;
  pthread_t t;
  bool late;

  pthread_mutex_lock (&mu);
  late = strcmp (path, "/api/hold") && e->up && chance () < orders_late_share;
  pthread_mutex_unlock (&mu);
  if (!late)
    return exec_order (e, path, target, b, status, closed);
  l = calloc (1, sizeof *l);
  l->e = e;
  snprintf (l->path, sizeof l->path, "%s", path);
  snprintf (l->target, sizeof l->target, "%s", target);
  l->body = json_incref (b);
  pthread_mutex_lock (&mu);
  l->after_ms
      = ORDER_LATE_MIN_MS
        + (int64_t)(chance () * (ORDER_LATE_MAX_MS - ORDER_LATE_MIN_MS));
  event ("late-order %s %s run=%lld exec=%s in=%lld", path, str (b, "task"),
         (long long)json_integer_value (json_object_get (b, "run")), e->id,
         (long long)l->after_ms);
  pthread_mutex_unlock (&mu);
  pthread_create (&t, NULL, late_order_thread, l);
  pthread_detach (t);
  return NULL;
}

/* HTTP. */

struct conn
{
  int fd;
  struct exec *exec; /* NULL: the table */
};

static void
conn_reset (int fd)
{
  struct linger l = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

static bool
send_all (int fd, const char *p, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);
      if (k <= 0)
        return false;
      p += k;
      n -= (size_t)k;
    }
  return true;
}

static bool
serve_one (struct conn *c, char **buf, size_t *len, size_t *cap)
{
  char *end, *line, *body_at, path[2048] = "", target[64] = "";
  size_t body_len = 0, head_len;
  json_t *body, *out;
  char *text, head[256];
  int status = 200, n;
  bool closed = false, ok;

  for (;;)
    {
      ssize_t k;
      (*buf)[*len] = 0;
      end = strstr (*buf, "\r\n\r\n");
      if (end)
        {
          head_len = (size_t)(end - *buf) + 4;
          for (line = *buf; line < end; line = strstr (line, "\r\n") + 2)
            {
              if (!strncasecmp (line, "content-length:", 15))
                body_len = (size_t)atoll (line + 15);
              if (!strncasecmp (line, "target-instance:", 16))
                sscanf (line + 16, " %63[^\r]", target);
            }
          if (*len >= head_len + body_len)
            break;
        }
      if (*cap < *len + 65536)
        *buf = realloc (*buf, *cap = 2 * *cap + 131072);
      k = recv (c->fd, *buf + *len, 65535, 0);
      if (k <= 0)
        return false;
      *len += (size_t)k;
    }
  sscanf (*buf, "%*s %2047s", path);
  body_at = *buf + head_len;
  body = json_loadb (body_at, body_len, 0, NULL);
  memmove (*buf, body_at + body_len, *len - head_len - body_len);
  *len -= head_len + body_len;
  out = c->exec ? exec_call (c->exec, path, target, body, &status, &closed)
                : table_call (path, body, &status, &closed);
  json_decref (body);
  if (!out && !closed)
    {
      /* The channel delivers nothing further. */
      while (recv (c->fd, *buf, 65535, 0) > 0)
        ;
      return false;
    }
  if (!out)
    return false;
  text = json_dumps (out, JSON_COMPACT);
  json_decref (out);
  n = snprintf (head, sizeof head,
                "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                status, strlen (text));
  ok = send_all (c->fd, head, (size_t)n)
       && send_all (c->fd, text, strlen (text));
  free (text);
  return ok;
}

static void *
conn_thread (void *arg)
{
  struct conn *c = arg;
  size_t len = 0, cap = 131072;
  char *buf = malloc (cap);
  int slot = -1;

  if (c->exec)
    {
      pthread_mutex_lock (&mu);
      for (int i = 0; i < 64 && slot < 0; i++)
        if (c->exec->conns[i] <= 0)
          c->exec->conns[slot = i] = c->fd;
      if (!c->exec->up)
        conn_reset (c->fd);
      pthread_mutex_unlock (&mu);
    }
  while ((!c->exec || c->exec->up) && serve_one (c, &buf, &len, &cap))
    ;
  if (slot >= 0)
    {
      pthread_mutex_lock (&mu);
      c->exec->conns[slot] = 0;
      pthread_mutex_unlock (&mu);
    }
  close (c->fd);
  free (buf);
  free (c);
  return NULL;
}

struct listener
{
  int fd;
  struct exec *exec;
};

static void *
accept_thread (void *arg)
{
  struct listener *l = arg;

  for (;;)
    {
      struct conn *c = calloc (1, sizeof *c);
      pthread_attr_t attr;
      pthread_t t;
      int one = 1;
      c->fd = accept (l->fd, NULL, NULL);
      c->exec = l->exec;
      if (c->fd < 0)
        exit (2);
      setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      pthread_attr_init (&attr);
      pthread_attr_setstacksize (&attr, 262144);
      pthread_create (&t, &attr, conn_thread, c);
      pthread_detach (t);
    }
  return NULL;
}

static void
listen_on (int p, struct exec *e)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (p) };
  struct listener *l = calloc (1, sizeof *l);
  pthread_t t;
  int one = 1;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  l->fd = socket (AF_INET, SOCK_STREAM, 0);
  l->exec = e;
  setsockopt (l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (l->fd, (struct sockaddr *)&a, sizeof a) || listen (l->fd, 512))
    {
      perror ("fleet2: listen");
      exit (2);
    }
  pthread_create (&t, NULL, accept_thread, l);
}

static void *
tick_thread (void *arg)
{
  (void)arg;
  for (;;)
    {
      pthread_mutex_lock (&mu);
      execs_tick ();
      pthread_mutex_unlock (&mu);
      usleep (5000);
    }
  return NULL;
}

static void
command (char *line)
{
  char word1[32] = "", word2[64] = "", word3[64] = "", key[96], text[512];

  sscanf (line, "%31s %63s %63s", word1, word2, word3);
  pthread_mutex_lock (&mu);
  if (!strcmp (word1, "outage"))
    {
      outage_until_ms = now () + atoll (word2);
      outage_no++;
      event ("outage for_ms=%s", word2);
      pthread_cond_broadcast (&changed);
    }
  else if (!strcmp (word1, "late"))
    {
      late_share = atof (word2);
      event ("late share=%s", word2);
    }
  else if (!strcmp (word1, "orders-late"))
    {
      orders_late_share = atof (word2);
      event ("orders-late share=%s", word2);
    }
  else if (!strcmp (word1, "crash"))
    exec_crash (&execs[atoi (word2) % n_execs], atoll (word3));
  else if (!strcmp (word1, "crash-runs"))
    {
      for (int i = 0; i < n_runs; i++)
        if (!runs[i].over && !strncmp (runs[i].task, word2, 16))
          {
            exec_crash (&execs[runs[i].exec], atoll (word3));
            break;
          }
    }
  else if (!strcmp (word1, "entry"))
    {
      snprintf (key, sizeof key, "e%s", word2);
      snprintf (text, sizeof text,
                "{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\","
                "\"zone\":\"a\",\"state\":\"ready\","
                "\"capacity\":{\"cpu\":%s,\"mem_mb\":%d},"
                "\"labels\":[\"kind-a\",\"r0\"]}",
                execs[atoi (word2) % n_execs].port, word3, MEM_MB);
      event ("odd-entry %s %s", key, text);
      row_put_text ("servers", key, text);
    }
  else if (!strcmp (word1, "quit"))
    exit (0);
  pthread_mutex_unlock (&mu);
}

int
main (int argc, char **argv)
{
  static char config[65536], line[256];
  pthread_condattr_t ca;
  pthread_t t;
  FILE *f;

  if (argc != 5 || !(f = fopen (argv[3], "r")))
    return 2;
  fread (config, 1, sizeof config - 1, f);
  fclose (f);
  signal (SIGPIPE, SIG_IGN);
  start_ns = mono_ns ();
  pthread_condattr_init (&ca);
  pthread_condattr_setclock (&ca, CLOCK_MONOTONIC);
  pthread_cond_init (&changed, &ca);
  port = atoi (argv[1]);
  n_execs = atoi (argv[2]);
  seed = (unsigned)atoi (argv[4]);
  row_put_text ("op", "config", config);
  for (int k = 0; k < n_execs; k++)
    {
      execs[k].port = port + 1 + k;
      snprintf (execs[k].id, sizeof execs[k].id, "e%d", k);
      exec_boot (&execs[k]);
      listen_on (execs[k].port, &execs[k]);
    }
  listen_on (port, NULL);
  pthread_create (&t, NULL, tick_thread, NULL);
  event ("ready");
  while (fgets (line, sizeof line, stdin))
    command (line);
  for (;;)
    pause ();
}
