/*
 * backendd - stand-in for the workers and executors of one failure domain.
 * Each worker and executor listens on its own port in this process.  When
 * backendd starts, it prints the entries of all workers and executors for the
 * platform's instance list.  Each start and each end of a run on a worker is
 * logged as a line on standard error.
 *
 * An executor answers POST /v1/service/QUEUE with its id, the X-Request-Id
 * header or "-", and the request's body.  Parameters of the query:
 *   run_ms=N  answer after N ms
 *   bytes=N   append N bytes to the answer
 *   status=N  answer with this HTTP status
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fworker.h"
#include "httpd.h"

enum
{
  BODY_MAX = 16 << 20, /* largest accepted request body in bytes */
  RACK_SIZE = 8,       /* workers in one rack */
  TICK_MS = 20,        /* interval between calls of fworker_tick() */
  EXECUTOR_SLOTS = 8,  /* service requests that one executor can run at once */
};

/* struct server - one worker or executor */
struct server
{
  struct httpd *http;
  struct fworker w; /* runs, faults and slots in use of this server */
  struct inst inst; /* entry of the instance list */
};

/* struct service_request - a service request that is not answered yet */
struct service_request
{
  uv_timer_t timer;
  struct server *s;
  uint64_t id; /* id that the HTTP server gave to the request */
  int status;  /* HTTP status of the answer */
  char *text;  /* body of the answer, not null-terminated */
  size_t len;  /* length of the body in bytes */
};

static int64_t
now_ms (void)
{
  return (int64_t)(uv_hrtime () / 1000000);
}

static void
free_service_request (uv_handle_t *h)
{
  struct service_request *sr = h->data;

  free (sr->text);
  free (sr);
}

static void
send_service_answer (uv_timer_t *t)
{
  struct service_request *sr = t->data;

  sr->s->w.busy--;
  httpd_answer (sr->s->http, sr->id, sr->status, "text/plain", sr->text,
                sr->len, 0);
  uv_close ((uv_handle_t *)t, free_service_request);
}

/* Returns the number in the query parameter @name, or @fallback if @path does
   not have that parameter.  @name includes the "=", as in "run_ms=". */
static int64_t
query_param (const char *path, const char *name, int64_t fallback)
{
  const char *found = strstr (path, name);

  return found ? strtoll (found + strlen (name), NULL, 10) : fallback;
}

static void
on_service_request (struct server *s, const struct httpd_req *rq)
{
  struct service_request *sr = calloc (1, sizeof *sr);
  size_t pad_len = (size_t)query_param (rq->path, "bytes=", 0);
  size_t prefix_len;

  if (!sr)
    abort ();
  sr->s = s;
  sr->id = rq->id;
  sr->status
      = (int)query_param (rq->path, "status=", s->w.fail_all ? 500 : 200);
  sr->text = malloc (rq->body_len + pad_len + 256);
  if (!sr->text)
    abort ();
  prefix_len = (size_t)snprintf (sr->text, 256, "%s %s ", s->inst.id,
                                 rq->request_id ? rq->request_id : "-");
  memcpy (sr->text + prefix_len, rq->body_len ? rq->body : "", rq->body_len);
  memset (sr->text + prefix_len + rq->body_len, 'x', pad_len);
  sr->len = prefix_len + rq->body_len + pad_len;
  s->w.busy++;
  uv_timer_init (uv_default_loop (), &sr->timer);
  sr->timer.data = sr;
  uv_timer_start (&sr->timer, send_service_answer,
                  (uint64_t)query_param (rq->path, "run_ms=", 1), 0);
}

static void
on_sync_request (struct server *s, const struct httpd_req *rq)
{
  struct sync_req req;
  struct sync_rep rep;
  struct codec_err ce;
  char *text;

  if (codec_parse (&sync_req_desc, rq->body, rq->body_len, CODEC_LENIENT, &req,
                   &ce))
    {
      httpd_answer (s->http, rq->id, 400, NULL, "", 0, 0);
      return;
    }
  if (fworker_sync (&s->w, now_ms (), &req, &rep))
    httpd_answer (s->http, rq->id, 409, NULL, "", 0, 0);
  else
    {
      text = codec_text (&sync_rep_desc, &rep);
      httpd_answer (s->http, rq->id, 200, "application/json", text,
                    strlen (text), 0);
      free (text);
      codec_free (&sync_rep_desc, &rep);
    }
  codec_free (&sync_req_desc, &req);
}

/* Changes the behaviour of the worker by the JSON body
   {"fail_all": true, "leaving": true, "fence": true, "reboot": 7}.  Each
   member is optional; "reboot" restarts the worker with that boot number. */
static void
on_control_request (struct server *s, const struct httpd_req *rq)
{
  json_t *json = json_loadb (rq->body, rq->body_len, 0, NULL);
  json_t *v;

  if ((v = json_object_get (json, "fail_all")))
    s->w.fail_all = json_is_true (v);
  if ((v = json_object_get (json, "leaving")))
    s->w.leaving = json_is_true (v);
  if ((v = json_object_get (json, "fence")))
    s->w.fence = json_is_true (v);
  if ((v = json_object_get (json, "reboot")))
    fworker_reboot (&s->w, now_ms (), json_integer_value (v));
  json_decref (json);
  httpd_answer (s->http, rq->id, 200, NULL, "", 0, 0);
}

static void
on_request (void *arg, const struct httpd_req *rq)
{
  struct server *s = arg;

  if (strcmp (rq->path, "/v1/sync") == 0)
    on_sync_request (s, rq);
  else if (strcmp (rq->path, "/v1/control") == 0)
    on_control_request (s, rq);
  else
    on_service_request (s, rq);
}

static void
on_disconnect (void *arg, uint64_t request_id)
{
  (void)arg;
  (void)request_id;
}

/* struct domain - all workers and executors, which form one failure domain */
struct domain
{
  struct server *servers;
  int n_servers;
};

static void
on_tick (uv_timer_t *t)
{
  struct domain *d = t->data;

  for (int i = 0; i < d->n_servers; i++)
    fworker_tick (&d->servers[i].w, now_ms ());
}

static void
log_run (void *arg, int64_t at_ms, const struct frun *run, bool started)
{
  struct server *s = arg;

  fprintf (stderr, "%lld %s %s %s %d\n", (long long)at_ms, s->inst.id,
           started ? "start" : "end", run->id, run->state);
}

/* Starts the worker or executor with number @i of the failure domain @domain.
   Returns 0 or a libuv error. */
static int
start_server (struct server *s, const char *domain, int i, bool executor)
{
  struct httpd_conf conf = { .addr = "127.0.0.1:0",
                             .max_body_bytes = BODY_MAX,
                             .arg = s,
                             .on_request = on_request,
                             .on_disconnect = on_disconnect };
  int err;

  fworker_init (&s->w, now_ms () + 1);
  s->w.arg = s;
  s->w.watch = log_run;
  s->http = httpd_new (uv_default_loop (), &conf, &err);
  if (!s->http)
    return err;
  snprintf (s->inst.id, sizeof s->inst.id, "%s-%s%d", domain,
            executor ? "x" : "w", i);
  clb_copy (s->inst.domain, domain, sizeof s->inst.domain);
  snprintf (s->inst.rack, sizeof s->inst.rack, "%s-r%d", domain,
            i / RACK_SIZE);
  clb_copy (s->inst.addr, httpd_addr (s->http), sizeof s->inst.addr);
  s->inst.kind = executor ? INST_EXECUTOR : INST_WORKER;
  if (executor)
    s->inst.capacity.slots = EXECUTOR_SLOTS;
  else
    {
      s->inst.capacity.cores = 16;
      s->inst.capacity.mem_mb = 32768;
      s->inst.capacity.accels = i % 4 == 0 ? 1 : 0;
    }
  return 0;
}

static void
print_instances (const struct domain *d)
{
  struct inst_list list = { .n_items = (size_t)d->n_servers };
  char *text;

  list.items = calloc (list.n_items, sizeof *list.items);
  if (!list.items)
    abort ();
  for (int i = 0; i < d->n_servers; i++)
    list.items[i] = d->servers[i].inst;
  text = codec_text (&inst_list_desc, &list);
  printf ("%s\n", text);
  fflush (stdout);
  free (text);
  free (list.items);
}

int
main (int argc, char **argv)
{
  static struct domain d;
  static uv_timer_t timer;
  int workers;
  int err = 0;

  if (argc != 4)
    {
      fprintf (stderr, "usage: backendd domain workers executors\n");
      return 64;
    }
  workers = atoi (argv[2]);
  d.n_servers = workers + atoi (argv[3]);
  d.servers = calloc ((size_t)d.n_servers, sizeof *d.servers);
  if (!d.servers)
    abort ();
  for (int i = 0; i < d.n_servers && !err; i++)
    err = start_server (&d.servers[i], argv[1], i < workers ? i : i - workers,
                        i >= workers);
  if (err)
    {
      fprintf (stderr, "backendd: %s\n", uv_strerror (err));
      return 69;
    }
  print_instances (&d);
  uv_timer_init (uv_default_loop (), &timer);
  timer.data = &d;
  uv_timer_start (&timer, on_tick, TICK_MS, TICK_MS);
  return uv_run (uv_default_loop (), UV_RUN_DEFAULT);
}
