/*
 * HTTP server for callers.  It passes their requests to the node, forwards
 * service requests to executors, and streams decisions to watchers.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum bytes of a request's body. */
  REQUEST_BODY_MAX = 8 << 20,
  /* Unsent bytes of a response at which reading from the executor pauses. */
  STREAM_BUFFER_MAX = 1 << 20,
  /* Unsent bytes beyond which a watcher misses events. */
  WATCH_BUFFER_MAX = 256 << 10,
  EXECUTOR_CONNECT_MS = 1000,
};

/* struct forward - a service request that has not been answered */
struct forward
{
  RB_ENTRY (forward) by_call;
  struct serve *s;
  /* Id of the caller's request at the HTTP server. */
  uint64_t call;
  /* Id of the request to the executor; 0: there is none at present. */
  uint64_t xfer;
  char *path;
  char *type;
  char *body;
  size_t body_len;
  /* The head of the response has been sent to the caller. */
  bool head_sent;
  /* The caller has closed its connection. */
  bool caller_gone;
};
RB_HEAD (forward_tree, forward);

/* struct watcher - a caller that receives decisions as they are taken */
struct watcher
{
  TAILQ_ENTRY (watcher) link;
  uint64_t call;
  /* Receives only decisions about this team's work; empty: all. */
  char team[CLB_NAME_MAX];
  /* Receives only decisions about this task; empty: all. */
  char id[CLB_ID_MAX];
  /* Events not sent since the last one sent. */
  uint64_t missed;
};
TAILQ_HEAD (watcher_list, watcher);

struct serve
{
  struct daemon *d;
  struct httpd *http;
  struct forward_tree forwards;
  struct watcher_list watchers;
};

static int
forward_cmp (const struct forward *a, const struct forward *b)
{
  return a->call < b->call ? -1 : a->call > b->call;
}

RB_PROTOTYPE (forward_tree, forward, by_call, forward_cmp)
RB_GENERATE (forward_tree, forward, by_call, forward_cmp)

static struct forward *
forward_find (struct serve *s, uint64_t call)
{
  struct forward key = { .call = call };

  return RB_FIND (forward_tree, &s->forwards, &key);
}

static void
forward_free (struct forward *f)
{
  RB_REMOVE (forward_tree, &f->s->forwards, f);
  free (f->path);
  free (f->type);
  free (f->body);
  free (f);
}

/* Copies a service request.  The copy lasts until the request is answered, as
   the caller may close its connection earlier. */
static void
forward_new (struct serve *s, const struct httpd_req *rq)
{
  struct forward *f = calloc (1, sizeof *f);

  if (!f)
    abort ();
  f->s = s;
  f->call = rq->id;
  f->path = strdup (rq->path);
  f->type = rq->content_type ? strdup (rq->content_type) : NULL;
  f->body = malloc (rq->body_len + 1);
  if (!f->body || !f->path)
    abort ();
  memcpy (f->body, rq->body_len ? rq->body : "", rq->body_len);
  f->body_len = rq->body_len;
  RB_INSERT (forward_tree, &s->forwards, f);
}

static int
method_of (const char *name)
{
  if (strcmp (name, "GET") == 0)
    return METHOD_GET;
  if (strcmp (name, "POST") == 0)
    return METHOD_POST;
  if (strcmp (name, "PUT") == 0)
    return METHOD_PUT;
  return strcmp (name, "DELETE") == 0 ? METHOD_DELETE : METHOD_OTHER;
}

/* Watchers. */

/* Reads the task id from the query of @path, if there is one. */
static void
parse_watch_query (struct watcher *w, const char *path)
{
  const char *id = strstr (path, "id=");

  if (id)
    {
      id += strlen ("id=");
      size_t len = strcspn (id, "&");
      if (len < sizeof w->id)
        memcpy (w->id, id, len);
    }
}

/* Starts a stream of decisions, or refuses it. */
static void
watch_begin (struct serve *s, const struct httpd_req *rq)
{
  struct watcher *w;
  char team[CLB_NAME_MAX];
  char body[96];
  int err = node_authorize (&s->d->node, now_ms (), rq->bearer, team);

  if (err)
    {
      int len = snprintf (body, sizeof body,
                          "{\"error\":\"%s\",\"outcome\":\"not-run\"}",
                          clb_err_name (err));
      httpd_answer (s->http, rq->id, clb_err_http (err), "application/json",
                    body, (size_t)len, 0);
      return;
    }
  w = calloc (1, sizeof *w);
  if (!w)
    abort ();
  w->call = rq->id;
  clb_copy (w->team, team, sizeof w->team);
  parse_watch_query (w, rq->path);
  TAILQ_INSERT_TAIL (&s->watchers, w, link);
  httpd_begin (s->http, rq->id, 200, "application/x-ndjson");
  httpd_chunk (s->http, rq->id, "\n", 1);
}

/* Returns a decision as JSON that the caller frees. */
static char *
event_line (const struct event *e)
{
  json_auto_t *json = codec_write (&event_desc, e);
  char *text;

  json_object_set_new (json, "reason",
                       json_string (clb_reason_name (e->reason)));
  json_object_set_new (json, "text",
                       json_string (clb_reason_text (e->reason)));
  text = json_dumps (json, JSON_COMPACT);
  return text;
}

/* Sends a line to a watcher, or counts it as missed if too many bytes are
   unsent. */
static void
watch_send (struct serve *s, struct watcher *w, const char *line)
{
  char missed[64];
  size_t unsent = httpd_chunk (s->http, w->call, "", 0);

  if (unsent > WATCH_BUFFER_MAX)
    {
      w->missed++;
      return;
    }
  if (w->missed)
    {
      int len = snprintf (missed, sizeof missed, "{\"missed\":%llu}\n",
                          (unsigned long long)w->missed);
      httpd_chunk (s->http, w->call, missed, (size_t)len);
      w->missed = 0;
    }
  httpd_chunk (s->http, w->call, line, strlen (line));
  httpd_chunk (s->http, w->call, "\n", 1);
}

/* Logs a decision and sends it to the watchers that want it. */
static void
watch_event (struct serve *s, const struct event *e)
{
  struct watcher *w;
  char *line;

  log_event (e);
  if (TAILQ_EMPTY (&s->watchers))
    return;
  line = event_line (e);
  TAILQ_FOREACH (w, &s->watchers, link)
    if ((!*w->team || strcmp (w->team, e->team) == 0)
        && (!*w->id || strcmp (w->id, e->id) == 0))
      watch_send (s, w, line);
  free (line);
}

/* Removes the watcher of a request; false if it is not a watcher's. */
static bool
watch_remove (struct serve *s, uint64_t call)
{
  struct watcher *w;

  TAILQ_FOREACH (w, &s->watchers, link)
    if (w->call == call)
      {
        TAILQ_REMOVE (&s->watchers, w, link);
        free (w);
        return true;
      }
  return false;
}

/* Callers' requests. */

static void
on_request (void *arg, const struct httpd_req *rq)
{
  struct serve *s = arg;
  struct request r = {
    .http_call = rq->id,
    .method = method_of (rq->method),
    .path = rq->path,
    .bearer = rq->bearer,
    .request_id = rq->request_id,
    .body = rq->body,
    .body_len = rq->body_len,
  };

  if (strncmp (rq->path, "/v1/watch", strlen ("/v1/watch")) == 0)
    {
      watch_begin (s, rq);
      return;
    }
  if (strncmp (rq->path, "/v1/service/", strlen ("/v1/service/")) == 0)
    forward_new (s, rq);
  node_request (&s->d->node, now_ms (), &r);
  process_outputs (s->d);
}

static void
on_disconnect (void *arg, uint64_t call)
{
  struct serve *s = arg;
  struct forward *f = forward_find (s, call);

  if (watch_remove (s, call))
    return;
  if (f && f->xfer)
    {
      f->caller_gone = true;
      httpc_abort (s->d->http, f->xfer);
      return;
    }
  node_caller_gone (&s->d->node, now_ms (), call);
  if (f)
    forward_free (f);
  process_outputs (s->d);
}

static void
on_drained (void *arg, uint64_t call)
{
  struct serve *s = arg;
  struct forward *f = forward_find (s, call);

  if (f && f->xfer)
    httpc_resume (s->d->http, f->xfer);
}

/* Requests to executors. */

static void
on_head (void *arg, int status, const char *type)
{
  struct forward *f = arg;

  f->head_sent = true;
  httpd_begin (f->s->http, f->call, status, type);
}

static bool
on_data (void *arg, const char *data, size_t len)
{
  struct forward *f = arg;

  return httpd_chunk (f->s->http, f->call, data, len) < STREAM_BUFFER_MAX;
}

/* Returns the enum forward_end of a request to an executor. */
static int
forward_result (const struct forward *f, int end, int status)
{
  if (end == HTTPC_OK)
    return status >= 500 ? FORWARD_ERROR : FORWARD_OK;
  if (f->head_sent || f->caller_gone)
    return FORWARD_ABORTED;
  return end == HTTPC_UNREACHED ? FORWARD_UNREACHED : FORWARD_FAILED;
}

static void
on_end (void *arg, int end, int status, const char *body, size_t len)
{
  struct forward *f = arg;
  struct serve *s = f->s;
  int result = forward_result (f, end, status);

  (void)body;
  (void)len;
  f->xfer = 0;
  if (f->head_sent)
    httpd_end (s->http, f->call, end == HTTPC_OK);
  node_forwarded (&s->d->node, now_ms (), f->call, result);
  if (f->head_sent || f->caller_gone)
    forward_free (f);
  process_outputs (s->d);
}

/* Sends a service request to the executor that was granted. */
static void
forward_send (struct serve *s, const struct out *o)
{
  struct forward *f = forward_find (s, o->u.forward.call);
  char url[CLB_ADDR_MAX + 256];
  struct httpc_req rq = {
    .method = "POST",
    .timeout_ms = o->u.forward.max_run_ms,
    .connect_timeout_ms = EXECUTOR_CONNECT_MS,
    .new_connection = true,
    .arg = f,
    .on_head = on_head,
    .on_data = on_data,
    .on_end = on_end,
  };

  /* If the process was paused since the slot was granted, the grant may have
     expired. */
  if (!f || !node_may_forward (&s->d->node, now_ms (), o->u.forward.call))
    {
      node_forwarded (&s->d->node, now_ms (), o->u.forward.call,
                      FORWARD_UNREACHED);
      return;
    }
  snprintf (url, sizeof url, "http://%s%.200s", o->u.forward.addr, f->path);
  rq.url = url;
  rq.content_type = f->type;
  rq.request_id = o->u.forward.id;
  rq.body = f->body;
  rq.body_len = f->body_len;
  f->xfer = httpc_send (s->d->http, &rq);
}

/* Sends the node's answer to a caller. */
static void
answer (struct serve *s, const struct out *o)
{
  struct forward *f = forward_find (s, o->u.answer.call);
  const char *body = o->u.answer.body ? o->u.answer.body : "";
  bool json = *body == '{' || *body == '[';

  httpd_answer (s->http, o->u.answer.call, o->u.answer.status,
                json ? "application/json" : "text/plain", body, strlen (body),
                o->u.answer.retry_ms);
  if (f && !f->xfer)
    forward_free (f);
}

void
serve_output (struct serve *s, const struct out *o)
{
  switch (o->kind)
    {
    case OUT_ANSWER:
      answer (s, o);
      break;
    case OUT_FORWARD:
      forward_send (s, o);
      break;
    case OUT_EVENT:
      watch_event (s, &o->u.event);
      break;
    default:
      break;
    }
}

struct serve *
serve_new (struct daemon *d)
{
  struct serve *s = calloc (1, sizeof *s);
  struct httpd_conf conf = {
    .addr = d->opt.listen,
    .max_body_bytes = REQUEST_BODY_MAX,
    .cert_file = d->opt.cert,
    .key_file = d->opt.key,
    .arg = s,
    .on_request = on_request,
    .on_disconnect = on_disconnect,
    .on_drained = on_drained,
  };
  int err;

  if (!s)
    abort ();
  s->d = d;
  RB_INIT (&s->forwards);
  TAILQ_INIT (&s->watchers);
  s->http = httpd_new (d->loop, &conf, &err);
  if (s->http)
    return s;
  fprintf (stderr, "citronlbd: %s: %s\n", d->opt.listen, uv_strerror (err));
  free (s);
  return NULL;
}

const char *
serve_addr (const struct serve *s)
{
  return httpd_addr (s->http);
}

int
serve_reload (struct serve *s)
{
  return httpd_reload (s->http);
}

bool
serve_stop (struct serve *s)
{
  struct watcher *w;
  struct watcher *next;

  httpd_stop (s->http);
  for (w = TAILQ_FIRST (&s->watchers); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      httpd_end (s->http, w->call, true);
      TAILQ_REMOVE (&s->watchers, w, link);
      free (w);
    }
  return httpd_n_pending (s->http) == 0;
}
