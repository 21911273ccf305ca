/*
 * backendd - stand-in for the workers and executors of one failure domain,
 * each on its own port of this process.  Prints their part of the platform's
 * instance list, then serves.
 *
 * An executor answers POST /v1/service/QUEUE with the request's body and the
 * id of its slot; "?run_ms=N" makes it take that long, "?bytes=N" makes the
 * answer that long, "?status=N" sets its status.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fworker.h"
#include "httpd.h"

enum
{
  BODY_MAX = 16 << 20,
  RACK_SIZE = 8, /* workers in one rack */
  TICK_MS = 20,
  SLOTS = 8,
};

struct server
{
  struct httpd *http;
  struct fworker w;
  struct inst inst;
};

/* struct job - a service request being served */
struct job
{
  uv_timer_t timer;
  struct server *s;
  uint64_t no;
  int status;
  char *text;
  size_t len;
};

static int64_t
now_ms (void)
{
  return (int64_t)(uv_hrtime () / 1000000);
}

static void
free_job (uv_handle_t *h)
{
  struct job *j = h->data;

  free (j->text);
  free (j);
}

static void
on_served (uv_timer_t *t)
{
  struct job *j = t->data;

  j->s->w.busy--;
  httpd_answer (j->s->http, j->no, j->status, "text/plain", j->text, j->len,
                0);
  uv_close ((uv_handle_t *)t, free_job);
}

static int64_t
query (const char *path, const char *name, int64_t other)
{
  const char *at = strstr (path, name);

  return at ? strtoll (at + strlen (name), NULL, 10) : other;
}

static void
on_service (struct server *s, const struct httpd_req *rq)
{
  struct job *j = calloc (1, sizeof *j);
  size_t pad = (size_t)query (rq->path, "bytes=", 0);
  size_t head;

  if (!j)
    abort ();
  j->s = s;
  j->no = rq->id;
  j->status = (int)query (rq->path, "status=", s->w.fail_all ? 500 : 200);
  j->text = malloc (rq->body_len + pad + 256);
  if (!j->text)
    abort ();
  head = (size_t)snprintf (j->text, 256, "%s %s ", s->inst.id,
                           rq->request_id ? rq->request_id : "-");
  memcpy (j->text + head, rq->body_len ? rq->body : "", rq->body_len);
  memset (j->text + head + rq->body_len, 'x', pad);
  j->len = head + rq->body_len + pad;
  s->w.busy++;
  uv_timer_init (uv_default_loop (), &j->timer);
  j->timer.data = j;
  uv_timer_start (&j->timer, on_served,
                  (uint64_t)query (rq->path, "run_ms=", 1), 0);
}

static void
on_sync (struct server *s, const struct httpd_req *rq)
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

/* {"fail_all": true, "leaving": true, "fence": true, "reboot": 7} */
static void
on_control (struct server *s, const struct httpd_req *rq)
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
    on_sync (s, rq);
  else if (strcmp (rq->path, "/v1/control") == 0)
    on_control (s, rq);
  else
    on_service (s, rq);
}

static void
on_gone (void *arg, uint64_t no)
{
  (void)arg;
  (void)no;
}

struct domain
{
  struct server *servers;
  int n;
};

static void
on_tick (uv_timer_t *t)
{
  struct domain *d = t->data;

  for (int i = 0; i < d->n; i++)
    fworker_tick (&d->servers[i].w, now_ms ());
}

static void
watch (void *arg, int64_t at_ms, const struct frun *run, bool started)
{
  struct server *s = arg;

  fprintf (stderr, "%lld %s %s %s %d\n", (long long)at_ms, s->inst.id,
           started ? "start" : "end", run->id, run->state);
}

static int
open_server (struct server *s, const char *domain, int i, bool executor)
{
  struct httpd_conf conf = { .addr = "127.0.0.1:0",
                             .max_body_bytes = BODY_MAX,
                             .arg = s,
                             .on_request = on_request,
                             .on_disconnect = on_gone };
  int err;

  fworker_init (&s->w, now_ms () + 1);
  s->w.arg = s;
  s->w.watch = watch;
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
    s->inst.capacity.slots = SLOTS;
  else
    {
      s->inst.capacity.cores = 16;
      s->inst.capacity.mem_mb = 32768;
      s->inst.capacity.accels = i % 4 == 0 ? 1 : 0;
    }
  return 0;
}

static void
print_list (const struct domain *d)
{
  struct inst_list list = { .n_items = (size_t)d->n };
  char *text;

  list.items = calloc (list.n_items, sizeof *list.items);
  if (!list.items)
    abort ();
  for (int i = 0; i < d->n; i++)
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
  d.n = workers + atoi (argv[3]);
  d.servers = calloc ((size_t)d.n, sizeof *d.servers);
  if (!d.servers)
    abort ();
  for (int i = 0; i < d.n && !err; i++)
    err = open_server (&d.servers[i], argv[1], i < workers ? i : i - workers,
                       i >= workers);
  if (err)
    {
      fprintf (stderr, "backendd: %s\n", uv_strerror (err));
      return 69;
    }
  print_list (&d);
  uv_timer_init (uv_default_loop (), &timer);
  timer.data = &d;
  uv_timer_start (&timer, on_tick, TICK_MS, TICK_MS);
  return uv_run (uv_default_loop (), UV_RUN_DEFAULT);
}
