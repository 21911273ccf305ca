/*
 * Runs the HTTP server that receives the requests of callers.  It passes the
 * requests to the node, forwards service requests to executors, and streams
 * the decisions of the scheduler to watchers.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum number of bytes in a request's body. */
  REQUEST_BODY_MAX = 8 << 20,
  /* Number of unsent bytes of a response at which reading from the executor
     pauses. */
  STREAM_BUFFER_MAX = 1 << 20,
  /* Maximum number of bytes not yet sent to a watcher; beyond it, decisions
     are not sent to the watcher. */
  WATCH_BUFFER_MAX = 256 << 10,
  /* Maximum time to connect to an executor. */
  EXECUTOR_CONNECT_TIMEOUT_MS = 1000,
};

/* struct service_request - a service request to be forwarded to an executor;
   it exists until the request is answered */
struct service_request
{
  RB_ENTRY (service_request) by_http_call;
  struct caller_server *s;
  /* Id of the caller's request at the HTTP server. */
  uint64_t http_call;
  /* Id of the request to the executor; 0 while there is none. */
  uint64_t exec_request_id;
  /* Path of the caller's request, with the query. */
  char *path;
  /* Content-Type of the caller's request; NULL if it has none. */
  char *content_type;
  /* Copy of the body of the caller's request. */
  char *body;
  size_t body_len;
  /* True once the head of the response has been sent to the caller. */
  bool head_sent;
  /* True once the caller has closed its connection. */
  bool caller_disconnected;
};
RB_HEAD (service_request_tree, service_request);

/* struct watcher - a caller that receives decisions as they are made */
struct watcher
{
  TAILQ_ENTRY (watcher) link;
  /* Id of the watcher's request at the HTTP server. */
  uint64_t http_call;
  /* The watcher receives only decisions about the work of this team; empty
     for all teams. */
  char team[CLB_NAME_MAX];
  /* The watcher receives only decisions about this task; empty for all tasks.
   */
  char task_id[CLB_ID_MAX];
  /* Number of decisions that were not sent since the last one that was sent.
   */
  uint64_t n_missed;
};
TAILQ_HEAD (watcher_list, watcher);

/* struct caller_server - HTTP server with its pending service requests and its
   watchers */
struct caller_server
{
  struct daemon *d;
  struct httpd *httpd;
  struct service_request_tree service_requests;
  struct watcher_list watchers;
};

static int
service_request_cmp (const struct service_request *a,
                     const struct service_request *b)
{
  return a->http_call < b->http_call ? -1 : a->http_call > b->http_call;
}

RB_PROTOTYPE (service_request_tree, service_request, by_http_call,
              service_request_cmp)
RB_GENERATE (service_request_tree, service_request, by_http_call,
             service_request_cmp)

static struct service_request *
service_request_find (struct caller_server *s, uint64_t http_call)
{
  struct service_request key = { .http_call = http_call };

  return RB_FIND (service_request_tree, &s->service_requests, &key);
}

static void
service_request_free (struct service_request *sr)
{
  RB_REMOVE (service_request_tree, &sr->s->service_requests, sr);
  free (sr->path);
  free (sr->content_type);
  free (sr->body);
  free (sr);
}

/* Creates a struct service_request with a copy of service request @rq.  The
   copy exists until the request is answered, as the caller may close its
   connection earlier. */
static void
service_request_new (struct caller_server *s, const struct httpd_req *rq)
{
  struct service_request *sr = calloc (1, sizeof *sr);

  if (!sr)
    abort ();
  sr->s = s;
  sr->http_call = rq->id;
  sr->path = strdup (rq->path);
  sr->content_type = rq->content_type ? strdup (rq->content_type) : NULL;
  sr->body = malloc (rq->body_len + 1);
  if (!sr->body || !sr->path)
    abort ();
  memcpy (sr->body, rq->body_len ? rq->body : "", rq->body_len);
  sr->body_len = rq->body_len;
  RB_INSERT (service_request_tree, &s->service_requests, sr);
}

/* Returns the enum method of the HTTP method @name; METHOD_OTHER if @name is
   none of the listed methods. */
static int
parse_method (const char *name)
{
  if (strcmp (name, "GET") == 0)
    return METHOD_GET;
  if (strcmp (name, "POST") == 0)
    return METHOD_POST;
  if (strcmp (name, "PUT") == 0)
    return METHOD_PUT;
  return strcmp (name, "DELETE") == 0 ? METHOD_DELETE : METHOD_OTHER;
}

/* The following functions send decisions of the scheduler to watchers. */

/* Sets task_id of @w to the id in the query of @path, if there is one. */
static void
parse_watch_query (struct watcher *w, const char *path)
{
  const char *id = strstr (path, "id=");

  if (id)
    {
      id += strlen ("id=");
      size_t len = strcspn (id, "&");
      if (len < sizeof w->task_id)
        memcpy (w->task_id, id, len);
    }
}

/* Creates a watcher for request @rq and starts the response to it, or refuses
   the request. */
static void
watcher_new (struct caller_server *s, const struct httpd_req *rq)
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
      httpd_answer (s->httpd, rq->id, clb_err_http (err), "application/json",
                    body, (size_t)len, 0);
      return;
    }
  w = calloc (1, sizeof *w);
  if (!w)
    abort ();
  w->http_call = rq->id;
  clb_copy (w->team, team, sizeof w->team);
  parse_watch_query (w, rq->path);
  TAILQ_INSERT_TAIL (&s->watchers, w, link);
  httpd_begin (s->httpd, rq->id, 200, "application/x-ndjson");
  httpd_chunk (s->httpd, rq->id, "\n", 1);
}

/* Returns decision @e as a line of JSON, which the caller frees. */
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

/* Sends a line with a decision to a watcher.  If too many bytes are not sent
   to the watcher yet, drops the line and counts it as missed. */
static void
watcher_send (struct caller_server *s, struct watcher *w, const char *line)
{
  char missed_line[64];
  size_t unsent_bytes = httpd_chunk (s->httpd, w->http_call, "", 0);

  if (unsent_bytes > WATCH_BUFFER_MAX)
    {
      w->n_missed++;
      return;
    }
  if (w->n_missed)
    {
      int len
          = snprintf (missed_line, sizeof missed_line, "{\"missed\":%llu}\n",
                      (unsigned long long)w->n_missed);
      httpd_chunk (s->httpd, w->http_call, missed_line, (size_t)len);
      w->n_missed = 0;
    }
  httpd_chunk (s->httpd, w->http_call, line, strlen (line));
  httpd_chunk (s->httpd, w->http_call, "\n", 1);
}

/* Logs decision @e and sends it to the watchers of its team and task. */
static void
publish_event (struct caller_server *s, const struct event *e)
{
  struct watcher *w;
  char *line;

  log_event (e);
  if (TAILQ_EMPTY (&s->watchers))
    return;
  line = event_line (e);
  TAILQ_FOREACH (w, &s->watchers, link)
    if ((!*w->team || strcmp (w->team, e->team) == 0)
        && (!*w->task_id || strcmp (w->task_id, e->id) == 0))
      watcher_send (s, w, line);
  free (line);
}

/* Removes the watcher whose request has the id @http_call.  Returns false if
   there is no such watcher. */
static bool
watcher_remove (struct caller_server *s, uint64_t http_call)
{
  struct watcher *w;

  TAILQ_FOREACH (w, &s->watchers, link)
    if (w->http_call == http_call)
      {
        TAILQ_REMOVE (&s->watchers, w, link);
        free (w);
        return true;
      }
  return false;
}

/* The following functions receive the requests of callers. */

static void
on_request (void *arg, const struct httpd_req *rq)
{
  struct caller_server *s = arg;
  struct request r = {
    .http_call = rq->id,
    .method = parse_method (rq->method),
    .path = rq->path,
    .bearer = rq->bearer,
    .request_id = rq->request_id,
    .body = rq->body,
    .body_len = rq->body_len,
  };

  if (strncmp (rq->path, "/v1/watch", strlen ("/v1/watch")) == 0)
    {
      watcher_new (s, rq);
      return;
    }
  if (strncmp (rq->path, "/v1/service/", strlen ("/v1/service/")) == 0)
    service_request_new (s, rq);
  node_request (&s->d->node, now_ms (), &r);
  process_outputs (s->d);
}

static void
on_disconnect (void *arg, uint64_t http_call)
{
  struct caller_server *s = arg;
  struct service_request *sr = service_request_find (s, http_call);

  if (watcher_remove (s, http_call))
    return;
  if (sr && sr->exec_request_id)
    {
      sr->caller_disconnected = true;
      httpc_abort (s->d->http_client, sr->exec_request_id);
      return;
    }
  node_caller_gone (&s->d->node, now_ms (), http_call);
  if (sr)
    service_request_free (sr);
  process_outputs (s->d);
}

static void
on_drained (void *arg, uint64_t http_call)
{
  struct caller_server *s = arg;
  struct service_request *sr = service_request_find (s, http_call);

  if (sr && sr->exec_request_id)
    httpc_resume (s->d->http_client, sr->exec_request_id);
}

/* The following functions forward service requests to executors. */

static void
on_head (void *arg, int status, const char *content_type)
{
  struct service_request *sr = arg;

  sr->head_sent = true;
  httpd_begin (sr->s->httpd, sr->http_call, status, content_type);
}

static bool
on_data (void *arg, const char *data, size_t len)
{
  struct service_request *sr = arg;

  return httpd_chunk (sr->s->httpd, sr->http_call, data, len)
         < STREAM_BUFFER_MAX;
}

/* Returns the outcome of a request to an executor, as an enum forward_end.
   @result is an enum httpc_result, @status an HTTP status. */
static int
forward_outcome (const struct service_request *sr, int result, int status)
{
  if (result == HTTPC_OK)
    return status >= 500 ? FORWARD_SERVER_ERROR : FORWARD_OK;
  if (sr->head_sent || sr->caller_disconnected)
    return FORWARD_ABORTED;
  return result == HTTPC_UNREACHED ? FORWARD_UNREACHED : FORWARD_FAILED;
}

static void
on_end (void *arg, int result, int status, const char *body, size_t len)
{
  struct service_request *sr = arg;
  struct caller_server *s = sr->s;
  int outcome = forward_outcome (sr, result, status);

  (void)body;
  (void)len;
  sr->exec_request_id = 0;
  if (sr->head_sent)
    httpd_end (s->httpd, sr->http_call, result == HTTPC_OK);
  node_forward_done (&s->d->node, now_ms (), sr->http_call, outcome);
  if (sr->head_sent || sr->caller_disconnected)
    service_request_free (sr);
  process_outputs (s->d);
}

/* Sends a service request to the executor at which the scheduler has granted a
   slot.  @o is the node's output of kind OUT_FORWARD. */
static void
service_request_send (struct caller_server *s, const struct out *o)
{
  struct service_request *sr = service_request_find (s, o->u.forward.call);
  clb_auto char *url = NULL;
  struct httpc_req rq = {
    .method = "POST",
    .timeout_ms = o->u.forward.max_run_ms,
    .connect_timeout_ms = EXECUTOR_CONNECT_TIMEOUT_MS,
    .new_connection = true,
    .arg = sr,
    .on_head = on_head,
    .on_data = on_data,
    .on_end = on_end,
  };

  /* The grant of the slot may have expired if the process was paused after the
     slot was granted. */
  if (!sr || !node_may_forward (&s->d->node, now_ms (), o->u.forward.call))
    {
      node_forward_done (&s->d->node, now_ms (), o->u.forward.call,
                         FORWARD_UNREACHED);
      return;
    }
  if (asprintf (&url, "http://%s%s", o->u.forward.addr, sr->path) < 0)
    abort ();
  rq.url = url;
  rq.content_type = sr->content_type;
  rq.request_id = o->u.forward.id;
  rq.body = sr->body;
  rq.body_len = sr->body_len;
  sr->exec_request_id = httpc_send (s->d->http_client, &rq);
}

/* Sends an answer of the node to the caller.  @o is the node's output of kind
   OUT_ANSWER. */
static void
send_answer (struct caller_server *s, const struct out *o)
{
  struct service_request *sr = service_request_find (s, o->u.answer.call);
  const char *body = o->u.answer.body ? o->u.answer.body : "";
  bool is_json = *body == '{' || *body == '[';

  httpd_answer (s->httpd, o->u.answer.call, o->u.answer.status,
                is_json ? "application/json" : "text/plain", body,
                strlen (body), o->u.answer.retry_ms);
  if (sr && !sr->exec_request_id)
    service_request_free (sr);
}

void
caller_server_output (struct caller_server *s, const struct out *o)
{
  switch (o->kind)
    {
    case OUT_ANSWER:
      send_answer (s, o);
      break;
    case OUT_FORWARD:
      service_request_send (s, o);
      break;
    case OUT_EVENT:
      publish_event (s, &o->u.event);
      break;
    default:
      break;
    }
}

struct caller_server *
caller_server_new (struct daemon *d)
{
  struct caller_server *s = calloc (1, sizeof *s);
  struct httpd_conf conf = {
    .addr = d->opt.listen_addr,
    .max_body_bytes = REQUEST_BODY_MAX,
    .cert_file = d->opt.cert_file,
    .key_file = d->opt.key_file,
    .arg = s,
    .on_request = on_request,
    .on_disconnect = on_disconnect,
    .on_drained = on_drained,
  };
  int err;

  if (!s)
    abort ();
  s->d = d;
  RB_INIT (&s->service_requests);
  TAILQ_INIT (&s->watchers);
  s->httpd = httpd_new (d->loop, &conf, &err);
  if (s->httpd)
    return s;
  fprintf (stderr, "citronlbd: %s: %s\n", d->opt.listen_addr,
           uv_strerror (err));
  free (s);
  return NULL;
}

const char *
caller_server_addr (const struct caller_server *s)
{
  return httpd_addr (s->httpd);
}

int
caller_server_reload (struct caller_server *s)
{
  return httpd_reload (s->httpd);
}

bool
caller_server_stop (struct caller_server *s)
{
  struct watcher *w;
  struct watcher *next;

  httpd_stop (s->httpd);
  for (w = TAILQ_FIRST (&s->watchers); w; w = next)
    {
      next = TAILQ_NEXT (w, link);
      httpd_end (s->httpd, w->http_call, true);
      TAILQ_REMOVE (&s->watchers, w, link);
      free (w);
    }
  return httpd_n_pending (s->httpd) == 0;
}
