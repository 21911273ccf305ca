/*
 * rv-platform - stand-in of the platform for the cases of the review: the
 * table service, executors and their discovery entries.
 *
 * usage: rv-platform IP CONFIG RECORD EXECUTOR...
 *
 * The table listens on IP:8182, executor K (counted from 1) on IP:9000+K.
 * CONFIG is the file with the first configuration.  RECORD is appended to: one
 * line for each order and event.  EXECUTOR is "ID,KIND,RACK,CPU".
 *
 * A task's text may hold "ms=N" (time that a run takes; 500 if missing) and
 * "need=KIND" (kind of executor that its step requires).  A run on another
 * kind ends failed.
 *
 * Commands are read from standard input, one a line:
 *   crash K          executor K loses everything and answers nothing
 *   start K KIND     executor K starts again under its id, as another kind
 *   unreach K        executor K does not reach the table any more
 *   row K            executor K reaches the table and writes its entry
 *   late-hold K MS   the next hold at executor K whose last_seen is above 0 is
 *                    not answered, and is carried out MS later
 *
 * The checks are those of RULES.md: a line "VIOLATION RULE ..." is added to
 * the record for each start that breaks ROUTE or TWICE.
 */
#include "httpd.h"

#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  TABLE_PORT = 8182,
  EXEC_PORT = 9000,
  ROWS_MAX = 20000,
  EXECS_MAX = 16,
  RUNS_MAX = 4000,
  ENDS_MAX = 200000,
  PAGE_ROWS = 500,     /* rows of one answer */
  ENTRIES_MAX = 100,   /* entries of one transaction */
  TXN_BYTES = 1 << 20, /* size of one transaction */
  ROW_BYTES = 65536,   /* size of a row's value */
  HOLD_MAX_MS = 6000,  /* bounds.hold_max_ms */
  STOP_MS = 50,        /* time that a stop takes */
  HEARTBEAT_MS = 1500,
  ENTRY_LIFE_MS = 4500, /* an entry is removed after three heartbeats */
  ENDS_PAGE = 500,      /* ends in one answer */
};

struct row
{
  char table[208], part[208], key[208];
  char *value; /* base64; NULL: removed */
  long long ver;
};

struct run
{
  char task[64];
  long long id;
  long long started_ms, ends_ms, stop_ms;
  int stopping;
  int wrong_kind;
};

/* An ended run.  It stays in the list for the checks after the executor has
   forgotten it. */
struct end
{
  int exec;
  long long life, seq;
  char task[64];
  long long run;
  const char *how;
  long long at_ms;
  int forgotten;    /* last_seen has reached it */
  int lease_lapsed; /* the lease lapsed, or the executor crashed, before */
  int started_again;
  int reported;
};

struct tomb
{
  char task[64];
  long long run;
};

struct exec
{
  int index;
  char id[64], kind[32], rack[32];
  long long cpu;
  char addr[64];
  struct httpd *http;
  int up;
  long long life;     /* number of the start */
  long long born;     /* wall clock of the start */
  long long start_ms; /* steady clock of the start */
  long long fence, deadline_ms, next_seq;
  int lapsed;
  long long late_ms; /* the next hold is late by this; 0: none */
  json_t *late_body; /* the hold that is carried out late */
  long long late_at_ms;
  long long sequence, next_beat_ms, written_ms;
  int row_written;
  struct run runs[RUNS_MAX];
  int n_runs;
  struct tomb *tombs;
  int n_tombs, tombs_cap;
};

struct waiting
{
  struct waiting *next;
  struct exec *exec; /* NULL: a feed of the table */
  uint64_t id;
  long long until_ms;
  char table[208];
  long long after;
};

static struct row rows[ROWS_MAX];
static int n_rows;
static long long version;
static struct exec execs[EXECS_MAX];
static int n_execs;
static struct end *ends;
static int n_ends;
static struct waiting *waiting;
static struct httpd *table_http;
static FILE *record;
static long long base_ms;
static int n_violations;

static long long
steady_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000 - base_ms;
}

static long long
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list ap;

  fprintf (record, "%8.3f ", (double)steady_ms () / 1000);
  va_start (ap, format);
  vfprintf (record, format, ap);
  va_end (ap);
  fputc ('\n', record);
  fflush (record);
}

static void __attribute__ ((format (printf, 2, 3)))
violation (const char *rule, const char *format, ...)
{
  char text[400];
  va_list ap;

  n_violations++;
  va_start (ap, format);
  vsnprintf (text, sizeof text, format, ap);
  va_end (ap);
  note ("VIOLATION %s %s", rule, text);
}

/* The table. */

static void
answer (struct httpd *h, uint64_t id, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  httpd_answer (h, id, status, "application/json", text, strlen (text), 0);
  free (text);
  json_decref (json);
}

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
         const char *value)
{
  struct row *r = row_find (table, part, key);

  if (!r)
    {
      if (n_rows == ROWS_MAX)
        abort ();
      r = &rows[n_rows++];
      snprintf (r->table, sizeof r->table, "%s", table);
      snprintf (r->part, sizeof r->part, "%s", part);
      snprintf (r->key, sizeof r->key, "%s", key);
    }
  free (r->value);
  r->value = value ? strdup (value) : NULL;
  r->ver = version;
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

static json_t *
rows_json (json_t *list, int more)
{
  return json_pack ("{s:o,s:b,s:I,s:I}", "rows", list, "has_more", more, "ver",
                    (json_int_t)version, "now_ms", (json_int_t)steady_ms ());
}

static const char *
member (const json_t *j, const char *name)
{
  const char *s = json_string_value (json_object_get (j, name));

  return s ? s : "";
}

static char *
base64 (const char *text)
{
  static const char d[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text), n = 0;
  char *out = malloc (4 * (len / 3 + 1) + 1);

  for (size_t i = 0; i < len; i += 3)
    {
      unsigned v = (unsigned char)text[i] << 16;
      if (i + 1 < len)
        v |= (unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        v |= (unsigned char)text[i + 2];
      out[n++] = d[v >> 18];
      out[n++] = d[v >> 12 & 63];
      out[n++] = i + 1 < len ? d[v >> 6 & 63] : '=';
      out[n++] = i + 2 < len ? d[v & 63] : '=';
    }
  out[n] = '\0';
  return out;
}

static size_t
raw_size (const char *b64)
{
  size_t len = strlen (b64);
  size_t pad = len && b64[len - 1] == '='
                   ? len > 1 && b64[len - 2] == '=' ? 2 : 1
                   : 0;

  return len / 4 * 3 - pad;
}

static void
transaction (uint64_t id, const char *body, size_t len)
{
  json_t *j = json_loadb (body, len, 0, NULL);
  json_t *expect = json_object_get (j, "expect");
  json_t *puts = json_object_get (j, "puts");
  json_t *removals = json_object_get (j, "remove");
  json_t *e, *list;
  size_t i, n = json_array_size (expect) + json_array_size (puts)
                + json_array_size (removals);
  int conflict = 0;

  if (!j || n > ENTRIES_MAX || len > TXN_BYTES)
    {
      note ("table: transaction of %zu entries and %zu bytes refused: 400", n,
            len);
      answer (table_http, id, 400, json_pack ("{s:s}", "error", "too large"));
      json_decref (j);
      return;
    }
  json_array_foreach (puts, i, e)
    {
      if (raw_size (member (e, "value")) > ROW_BYTES)
        {
          note ("table: row %s:%s/%s of %zu bytes refused: 400",
                member (e, "table"), member (e, "part"), member (e, "key"),
                raw_size (member (e, "value")));
          answer (table_http, id, 400,
                  json_pack ("{s:s}", "error", "row_bytes"));
          json_decref (j);
          return;
        }
      if (!strcmp (member (e, "table"), "op")
          || !strcmp (member (e, "table"), "servers"))
        {
          answer (table_http, id, 403, json_object ());
          json_decref (j);
          return;
        }
    }
  list = json_array ();
  json_array_foreach (expect, i, e)
    {
      struct row *r = row_find (member (e, "table"), member (e, "part"),
                                member (e, "key"));
      long long ver = r && r->value ? r->ver : 0;
      if (ver != json_integer_value (json_object_get (e, "ver")))
        conflict = 1;
      if (r && r->value)
        json_array_append_new (list, row_json (r));
    }
  if (!conflict)
    {
      version++;
      json_array_foreach (puts, i, e)
        row_put (member (e, "table"), member (e, "part"), member (e, "key"),
                 member (e, "value"));
      json_array_foreach (removals, i, e)
        row_put (member (e, "table"), member (e, "part"), member (e, "key"),
                 NULL);
      json_array_clear (list);
    }
  answer (table_http, id, conflict ? 412 : 200, rows_json (list, 0));
  json_decref (j);
}

/* Copies the decoded parameter @name of the query in @path to @out. */
static void
query (const char *path, const char *name, char *out, size_t size)
{
  const char *at = strchr (path, '?');
  size_t n = 0, len = strlen (name);

  while (at && (strncmp (at + 1, name, len) || at[1 + len] != '='))
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

static int
by_key (const void *a, const void *b)
{
  return strcmp ((*(struct row *const *)a)->key,
                 (*(struct row *const *)b)->key);
}

static int
by_ver (const void *a, const void *b)
{
  long long va = (*(struct row *const *)a)->ver;
  long long vb = (*(struct row *const *)b)->ver;

  return va < vb ? -1 : va > vb;
}

static struct row *found[ROWS_MAX];

static void
list_rows (uint64_t id, const char *path)
{
  char table[208], part[208], from[208], target[208], limit_text[24];
  int n = 0, limit;
  json_t *list = json_array ();

  query (path, "table", table, sizeof table);
  query (path, "part", part, sizeof part);
  query (path, "from", from, sizeof from);
  query (path, "target", target, sizeof target);
  query (path, "limit", limit_text, sizeof limit_text);
  limit = atoi (limit_text) > 0 ? atoi (limit_text) : PAGE_ROWS;
  limit = limit < PAGE_ROWS ? limit : PAGE_ROWS;
  for (int i = 0; i < n_rows; i++)
    if (rows[i].value && !strcmp (rows[i].table, table)
        && !strcmp (rows[i].part, part) && strcmp (rows[i].key, from) >= 0
        && (!*target || strcmp (rows[i].key, target) < 0))
      found[n++] = &rows[i];
  qsort (found, (size_t)n, sizeof *found, by_key);
  for (int i = 0; i < n && i < limit; i++)
    json_array_append_new (list, row_json (found[i]));
  answer (table_http, id, 200, rows_json (list, n > limit));
}

/* Answers a feed; returns 0 if there is no change yet and @last is 0. */
static int
feed (uint64_t id, const char *table, long long after, int last)
{
  int n = 0;
  json_t *list;
  json_t *body;

  for (int i = 0; i < n_rows; i++)
    if (rows[i].ver > after && !strcmp (rows[i].table, table))
      found[n++] = &rows[i];
  if (!n && !last)
    return 0;
  qsort (found, (size_t)n, sizeof *found, by_ver);
  list = json_array ();
  for (int i = 0; i < n && i < PAGE_ROWS; i++)
    json_array_append_new (list, row_json (found[i]));
  body = rows_json (list, n > PAGE_ROWS);
  if (n > PAGE_ROWS)
    json_object_set_new (body, "ver",
                         json_integer (found[PAGE_ROWS - 1]->ver));
  answer (table_http, id, 200, body);
  return 1;
}

static void
on_table (void *arg, const struct httpd_req *rq)
{
  char number[24];
  struct waiting *w;

  (void)arg;
  if (!strncmp (rq->path, "/api/rows-tx", 12))
    transaction (rq->id, rq->body, rq->body_len);
  else if (!strncmp (rq->path, "/api/rows-get", 13))
    list_rows (rq->id, rq->path);
  else if (!strncmp (rq->path, "/api/rows-feed", 14))
    {
      w = calloc (1, sizeof *w);
      w->id = rq->id;
      query (rq->path, "table", w->table, sizeof w->table);
      query (rq->path, "after", number, sizeof number);
      w->after = atoll (number);
      query (rq->path, "wait_ms", number, sizeof number);
      w->until_ms = steady_ms () + atoll (number);
      w->next = waiting;
      waiting = w;
    }
  else
    answer (table_http, rq->id, 404, json_object ());
}

/* Executors. */

static long long
exec_clock (const struct exec *e)
{
  return steady_ms () - e->start_ms;
}

static void
write_entry (struct exec *e)
{
  char *text, *b64;
  json_t *j = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:{s:I,s:I,s:i},s:[s,s]}",
      "service", "svc", "address", e->addr, "zone", "a", "version", "1",
      "slots", 8, "state", "ready", "cold_ms", 0, "sequence",
      (json_int_t)++e->sequence, "born", (json_int_t)e->born, "capacity",
      "cpu", (json_int_t)e->cpu, "mem_mb", (json_int_t)65536, "gpu", 0,
      "labels", e->kind, e->rack);

  text = json_dumps (j, JSON_COMPACT);
  b64 = base64 (text);
  version++;
  row_put ("servers", "", e->id, b64);
  e->written_ms = steady_ms ();
  e->next_beat_ms = e->written_ms + HEARTBEAT_MS;
  free (text);
  free (b64);
  json_decref (j);
}

static void
exec_start (struct exec *e)
{
  e->up = 1;
  e->life++;
  e->born = wall_ms ();
  e->start_ms = steady_ms ();
  e->fence = e->deadline_ms = e->next_seq = 0;
  e->sequence = 0;
  e->n_runs = e->n_tombs = 0;
  e->lapsed = 0;
  note ("executor %s starts: life %lld, kind %s, born %lld", e->id, e->life,
        e->kind, e->born);
}

static long long
text_number (const char *text, const char *name, long long otherwise)
{
  const char *at = strstr (text, name);

  return at ? atoll (at + strlen (name)) : otherwise;
}

static struct tomb *
tomb_find (struct exec *e, const char *task)
{
  for (int i = 0; i < e->n_tombs; i++)
    if (!strcmp (e->tombs[i].task, task))
      return &e->tombs[i];
  return NULL;
}

static void
tomb_raise (struct exec *e, const char *task, long long run)
{
  struct tomb *t = tomb_find (e, task);

  if (!t)
    {
      if (e->n_tombs == e->tombs_cap)
        {
          e->tombs_cap = 2 * e->tombs_cap + 64;
          e->tombs
              = realloc (e->tombs, (size_t)e->tombs_cap * sizeof *e->tombs);
        }
      t = &e->tombs[e->n_tombs++];
      snprintf (t->task, sizeof t->task, "%s", task);
      t->run = run;
    }
  if (run > t->run)
    t->run = run;
}

static void
run_end (struct exec *e, int i, const char *how)
{
  struct run *r = &e->runs[i];
  struct end *end;

  if (n_ends == ENDS_MAX)
    abort ();
  end = &ends[n_ends++];
  *end = (struct end){ .exec = e->index,
                       .life = e->life,
                       .seq = ++e->next_seq,
                       .run = r->id,
                       .how = how,
                       .at_ms = steady_ms () };
  snprintf (end->task, sizeof end->task, "%s", r->task);
  tomb_raise (e, r->task, r->id);
  note ("executor %s: run %lld of %s ended %s, end %lld", e->id, r->id,
        r->task, how, end->seq);
  e->runs[i] = e->runs[--e->n_runs];
}

static void
twice_after_done (struct end *end)
{
  if (end->forgotten && end->started_again && !end->lease_lapsed)
    violation ("TWICE",
               "%s was started again after run %lld had ended done on "
               "executor %s (end %lld, %s), and that end was taken note of",
               end->task, end->run, execs[end->exec].id, end->seq,
               end->reported ? "reported" : "never reported");
}

/* Returns whether a task needs another kind of executor than @e is. */
static int
wrong_kind (const struct exec *e, const char *text, char need[32])
{
  const char *at = strstr (text, "need=");

  *need = '\0';
  if (at)
    sscanf (at + 5, "%31[^ ]", need);
  return *need && strcmp (need, e->kind);
}

static void
check_start (struct exec *e, const char *task, long long run, const char *text)
{
  char need[32];

  if (wrong_kind (e, text, need))
    violation ("ROUTE",
               "%s run %lld was started on executor %s of kind %s, its step "
               "requires %s",
               task, run, e->id, e->kind, need);
  for (int k = 0; k < n_execs; k++)
    for (int i = 0; execs[k].up && i < execs[k].n_runs; i++)
      if (!strcmp (execs[k].runs[i].task, task))
        violation ("TWICE",
                   "%s run %lld was started on executor %s while run %lld is "
                   "at work on executor %s",
                   task, run, e->id, execs[k].runs[i].id, execs[k].id);
  for (int i = 0; i < n_ends; i++)
    if (!ends[i].started_again && !strcmp (ends[i].how, "done")
        && !strcmp (ends[i].task, task))
      {
        ends[i].started_again = 1;
        twice_after_done (&ends[i]);
      }
}

static void
take_deadline (struct exec *e, long long deadline_ms)
{
  long long most = exec_clock (e) + HOLD_MAX_MS;

  if (deadline_ms > most)
    deadline_ms = most;
  if (deadline_ms > e->deadline_ms)
    {
      e->deadline_ms = deadline_ms;
      e->lapsed = 0;
    }
}

static json_t *
clock_json (const struct exec *e, const char *reason)
{
  json_t *j = json_pack ("{s:I}", "clock_ms", (json_int_t)exec_clock (e));

  if (reason)
    json_object_set_new (j, "reason", json_string (reason));
  return j;
}

static void
run_start (struct exec *e, uint64_t id, const json_t *b)
{
  const char *task = member (b, "task");
  const char *text = member (b, "spec");
  long long run = json_integer_value (json_object_get (b, "run"));
  long long deadline = json_integer_value (json_object_get (b, "deadline_ms"));
  long long fence = json_integer_value (json_object_get (b, "fencing_token"));
  struct tomb *t = tomb_find (e, task);
  const char *reason = NULL;
  char need[32];

  if (fence < e->fence)
    reason = "fence";
  else
    {
      e->fence = fence;
      take_deadline (e, deadline);
      for (int i = 0; i < e->n_runs; i++)
        if (!strcmp (e->runs[i].task, task) && e->runs[i].id == run)
          {
            answer (e->http, id, 200, clock_json (e, NULL));
            return;
          }
      if (t && run <= t->run)
        reason = "old";
      else if (deadline <= exec_clock (e))
        reason = "late";
    }
  note ("executor %s: start %s run %lld token %lld: %s", e->id, task, run,
        fence, reason ? reason : "200");
  if (reason)
    {
      answer (e->http, id, 409, clock_json (e, reason));
      return;
    }
  check_start (e, task, run, text);
  if (e->n_runs == RUNS_MAX)
    abort ();
  struct run *r = &e->runs[e->n_runs++];
  *r = (struct run){ .id = run,
                     .started_ms = steady_ms (),
                     .wrong_kind = wrong_kind (e, text, need) };
  snprintf (r->task, sizeof r->task, "%s", task);
  r->ends_ms = r->started_ms + text_number (text, "ms=", 500);
  answer (e->http, id, 200, clock_json (e, NULL));
}

static void
run_stop (struct exec *e, uint64_t id, const json_t *b)
{
  const char *task = member (b, "task");
  long long run = json_integer_value (json_object_get (b, "run"));
  long long fence = json_integer_value (json_object_get (b, "fencing_token"));

  note ("executor %s: stop %s run %lld token %lld", e->id, task, run, fence);
  if (fence < e->fence)
    {
      answer (e->http, id, 409, clock_json (e, "fence"));
      return;
    }
  e->fence = fence;
  tomb_raise (e, task, run);
  for (int i = 0; i < e->n_runs; i++)
    if (!strcmp (e->runs[i].task, task) && e->runs[i].id == run
        && !e->runs[i].stopping)
      {
        e->runs[i].stopping = 1;
        e->runs[i].stop_ms = steady_ms () + STOP_MS;
      }
  answer (e->http, id, 200, clock_json (e, NULL));
}

/* Carries out a hold, but does not answer it.  Returns 0 if it is refused. */
static int
apply_hold (struct exec *e, const json_t *b)
{
  long long fence = json_integer_value (json_object_get (b, "fencing_token"));
  long long seen = json_integer_value (json_object_get (b, "last_seen"));

  if (fence < e->fence)
    return 0;
  e->fence = fence;
  if (json_object_get (b, "deadline_ms"))
    take_deadline (e, json_integer_value (json_object_get (b, "deadline_ms")));
  for (int i = 0; i < n_ends; i++)
    {
      struct end *end = &ends[i];
      if (end->exec != e->index || end->life != e->life || end->seq > seen
          || end->forgotten)
        continue;
      end->forgotten = 1;
      if (!end->reported)
        note ("executor %s: a hold with last_seen %lld forgets end %lld (%s "
              "run %lld, %s), which was in no answer yet",
              e->id, seen, end->seq, end->task, end->run, end->how);
      if (!strcmp (end->how, "done"))
        twice_after_done (end);
    }
  return 1;
}

/* Answers a hold; returns 0 if there is no end to report and @last is 0. */
static int
answer_hold (struct exec *e, uint64_t id, int last)
{
  json_t *running, *finished;
  int n = 0;

  for (int i = 0; i < n_ends && !n; i++)
    n += ends[i].exec == e->index && ends[i].life == e->life
         && !ends[i].forgotten;
  if (!n && !last)
    return 0;
  running = json_array ();
  finished = json_array ();
  for (int i = 0; i < e->n_runs; i++)
    {
      const struct run *r = &e->runs[i];
      long long total = r->ends_ms - r->started_ms;
      long long done = steady_ms () - r->started_ms;
      json_array_append_new (
          running, json_pack ("[s,I,s,I,I]", r->task, (json_int_t)r->id, "",
                              (json_int_t)(total ? 100 * done / total : 0),
                              (json_int_t)0));
    }
  for (int i = 0, k = 0; i < n_ends && k < ENDS_PAGE; i++)
    if (ends[i].exec == e->index && ends[i].life == e->life
        && !ends[i].forgotten)
      {
        ends[i].reported = 1;
        k++;
        json_array_append_new (
            finished,
            json_pack ("[I,s,I,s,s]", (json_int_t)ends[i].seq, ends[i].task,
                       (json_int_t)ends[i].run, ends[i].how, ""));
      }
  answer (e->http, id, 200,
          json_pack ("{s:I,s:I,s:o,s:o}", "clock_ms",
                     (json_int_t)exec_clock (e), "born", (json_int_t)e->born,
                     "running", running, "finished", finished));
  return 1;
}

static void
hold (struct exec *e, uint64_t id, json_t *b)
{
  long long wait = json_integer_value (json_object_get (b, "wait_ms"));
  long long seen = json_integer_value (json_object_get (b, "last_seen"));
  struct waiting *w;

  if (e->late_ms && seen > 0)
    {
      note (
          "executor %s, life %lld: hold with last_seen %lld is not answered, "
          "to be carried out %lld ms later",
          e->id, e->life, seen, e->late_ms);
      e->late_at_ms = steady_ms () + e->late_ms;
      e->late_ms = 0;
      e->late_body = json_incref (b);
      return;
    }
  if (!apply_hold (e, b))
    {
      answer (e->http, id, 409, clock_json (e, "fence"));
      return;
    }
  if (answer_hold (e, id, wait <= 0))
    return;
  w = calloc (1, sizeof *w);
  w->exec = e;
  w->id = id;
  w->until_ms = steady_ms () + (wait < 2000 ? wait : 2000);
  w->next = waiting;
  waiting = w;
}

static void
on_exec (void *arg, const struct httpd_req *rq)
{
  struct exec *e = arg;
  json_t *b = json_loadb (rq->body, rq->body_len, 0, NULL);
  const char *target = httpd_req_header (rq, "target-instance");

  if (!e->up)
    {
      json_decref (b);
      return; /* no answer */
    }
  if (target && strcmp (target, e->id))
    answer (e->http, rq->id, 421, json_object ());
  else if (!strcmp (rq->path, "/api/run-start"))
    run_start (e, rq->id, b);
  else if (!strcmp (rq->path, "/api/run-stop"))
    run_stop (e, rq->id, b);
  else if (!strcmp (rq->path, "/api/hold"))
    hold (e, rq->id, b);
  else
    answer (e->http, rq->id, 404, json_object ());
  json_decref (b);
}

static void
drop_waiting (const struct exec *e, uint64_t id, int all)
{
  for (struct waiting **p = &waiting; *p;)
    if ((*p)->exec == e && (all || (*p)->id == id))
      {
        struct waiting *w = *p;
        *p = w->next;
        free (w);
      }
    else
      p = &(*p)->next;
}

static void
on_exec_closed (void *arg, uint64_t id)
{
  drop_waiting (arg, id, 0);
}

static void
on_table_closed (void *arg, uint64_t id)
{
  (void)arg;
  drop_waiting (NULL, id, 0);
}

static void
exec_crash (struct exec *e)
{
  e->up = 0;
  note ("executor %s crashes with %d runs", e->id, e->n_runs);
  for (int i = 0; i < n_ends; i++)
    if (ends[i].exec == e->index && ends[i].life == e->life
        && !ends[i].forgotten)
      ends[i].lease_lapsed = 1;
  e->n_runs = 0;
  drop_waiting (e, 0, 1);
}

static void
exec_tick (struct exec *e)
{
  long long t = steady_ms ();
  struct row *entry = row_find ("servers", "", e->id);

  if (!e->row_written && entry->value && t >= e->written_ms + ENTRY_LIFE_MS)
    {
      note ("table: the entry of executor %s is removed", e->id);
      version++;
      row_put ("servers", "", e->id, NULL);
    }
  if (!e->up)
    return;
  for (int i = 0; i < e->n_runs;)
    if (e->runs[i].stopping && t >= e->runs[i].stop_ms)
      run_end (e, i, "stopped");
    else if (!e->runs[i].stopping && t >= e->runs[i].ends_ms)
      run_end (e, i, e->runs[i].wrong_kind ? "failed" : "done");
    else
      i++;
  if (exec_clock (e) >= e->deadline_ms && !e->lapsed)
    {
      e->lapsed = 1;
      if (e->n_runs)
        note ("executor %s: the lease has lapsed", e->id);
      for (int i = 0; i < n_ends; i++)
        if (ends[i].exec == e->index && ends[i].life == e->life
            && !ends[i].forgotten)
          ends[i].lease_lapsed = 1;
      while (e->n_runs)
        run_end (e, 0, "lapsed");
    }
  if (e->late_body && t >= e->late_at_ms)
    {
      note ("executor %s, life %lld: the late hold is carried out", e->id,
            e->life);
      apply_hold (e, e->late_body);
      json_decref (e->late_body);
      e->late_body = NULL;
    }
  if (e->row_written && t >= e->next_beat_ms)
    write_entry (e);
}

static void
on_timer (uv_timer_t *timer)
{
  (void)timer;
  for (int i = 0; i < n_execs; i++)
    exec_tick (&execs[i]);
  for (struct waiting **p = &waiting; *p;)
    {
      struct waiting *w = *p;
      int last = steady_ms () >= w->until_ms;
      if (w->exec ? answer_hold (w->exec, w->id, last)
                  : feed (w->id, w->table, w->after, last))
        {
          *p = w->next;
          free (w);
        }
      else
        p = &w->next;
    }
}

static void
command (const char *line)
{
  int k = 0;
  long long n = 0;
  char kind[32] = "";
  struct exec *e;

  note ("command: %s", line);
  if (sscanf (line, "%*s %d", &k) != 1 || k < 1 || k > n_execs)
    return;
  e = &execs[k - 1];
  if (!strncmp (line, "crash ", 6))
    {
      e->row_written = 0;
      exec_crash (e);
    }
  else if (sscanf (line, "start %d %31s", &k, kind) == 2)
    {
      snprintf (e->kind, sizeof e->kind, "%s", kind);
      exec_start (e);
    }
  else if (!strncmp (line, "unreach ", 8))
    e->row_written = 0;
  else if (!strncmp (line, "row ", 4))
    {
      e->row_written = 1;
      write_entry (e);
    }
  else if (sscanf (line, "late-hold %d %lld", &k, &n) == 2)
    e->late_ms = n;
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
on_input (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  static char line[256];
  static size_t len;

  if (n < 0)
    uv_close ((uv_handle_t *)s, NULL);
  for (ssize_t i = 0; i < n; i++)
    if (buf->base[i] == '\n')
      {
        line[len] = '\0';
        command (line);
        len = 0;
      }
    else if (len + 1 < sizeof line)
      line[len++] = buf->base[i];
}

static struct httpd *
serve (const char *addr, void *arg,
       void (*on_request) (void *arg, const struct httpd_req *rq),
       void (*on_disconnect) (void *arg, uint64_t id))
{
  struct httpd_conf conf = { .addr = addr,
                             .max_body_bytes = 8 << 20,
                             .arg = arg,
                             .on_request = on_request,
                             .on_disconnect = on_disconnect };
  int err;
  struct httpd *h = httpd_new (uv_default_loop (), &conf, &err);

  if (!h)
    {
      fprintf (stderr, "rv-platform: %s: %s\n", addr, uv_strerror (err));
      exit (2);
    }
  return h;
}

static void
put_config (const char *path)
{
  static char text[1 << 18];
  FILE *f = fopen (path, "r");
  char *b64;

  if (!f || !fread (text, 1, sizeof text - 1, f))
    {
      fprintf (stderr, "rv-platform: %s cannot be read\n", path);
      exit (2);
    }
  fclose (f);
  b64 = base64 (text);
  version++;
  row_put ("op", "", "config", b64);
  free (b64);
}

int
main (int argc, char **argv)
{
  static uv_timer_t timer;
  static uv_pipe_t in;
  static char table_addr[64];

  if (argc < 5 || argc - 4 > EXECS_MAX)
    {
      fprintf (stderr, "usage: rv-platform IP CONFIG RECORD EXECUTOR...\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base_ms = steady_ms ();
  record = fopen (argv[3], "a");
  ends = calloc (ENDS_MAX, sizeof *ends);
  if (!record || !ends)
    return 2;
  put_config (argv[2]);
  snprintf (table_addr, sizeof table_addr, "%s:%d", argv[1], TABLE_PORT);
  table_http = serve (table_addr, NULL, on_table, on_table_closed);
  for (int i = 4; i < argc; i++)
    {
      struct exec *e = &execs[n_execs];
      e->index = n_execs++;
      if (sscanf (argv[i], "%63[^,],%31[^,],%31[^,],%lld", e->id, e->kind,
                  e->rack, &e->cpu)
          != 4)
        return 2;
      snprintf (e->addr, sizeof e->addr, "%s:%d", argv[1],
                EXEC_PORT + n_execs);
      e->http = serve (e->addr, e, on_exec, on_exec_closed);
      exec_start (e);
      e->row_written = 1;
      write_entry (e);
    }
  uv_timer_init (uv_default_loop (), &timer);
  uv_timer_start (&timer, on_timer, 3, 3);
  uv_pipe_init (uv_default_loop (), &in, 0);
  if (uv_guess_handle (0) == UV_NAMED_PIPE && !uv_pipe_open (&in, 0))
    uv_read_start ((uv_stream_t *)&in, on_alloc, on_input);
  printf ("ready\n");
  fflush (stdout);
  return uv_run (uv_default_loop (), UV_RUN_DEFAULT);
}
