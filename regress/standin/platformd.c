/*
 * platformd - stand-in for the platform: table, objects, instance list.
 * POST /v1/control sets its faults while it runs:
 *   {"outage": true, "slow_ms": 200, "lose_every": 3, "instances": {...}}
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fstore.h"
#include "httpd.h"

enum
{
  BODY_MAX = 64 << 20,
  STATUS_NO_EFFECT = 503,
};

struct platform
{
  uv_loop_t *loop;
  struct httpd *http;
  struct fstore *store;
  bool outage;
  int64_t slow_ms;
  int64_t lose_every; /* of each so many writes one answer is lost */
  int64_t writes;
};

/* struct late - an answer that waits */
struct late
{
  uv_timer_t timer;
  struct platform *p;
  uint64_t no;
  char *text;
};

static void
free_late (uv_handle_t *h)
{
  struct late *l = h->data;

  free (l->text);
  free (l);
}

static void
on_late (uv_timer_t *t)
{
  struct late *l = t->data;

  httpd_answer (l->p->http, l->no, 200, "application/json", l->text,
                strlen (l->text), 0);
  uv_close ((uv_handle_t *)t, free_late);
}

static void
answer (struct platform *p, uint64_t no, char *text)
{
  struct late *l;

  if (p->slow_ms <= 0)
    {
      httpd_answer (p->http, no, 200, "application/json", text, strlen (text),
                    0);
      free (text);
      return;
    }
  l = calloc (1, sizeof *l);
  if (!l)
    abort ();
  l->p = p;
  l->no = no;
  l->text = text;
  uv_timer_init (p->loop, &l->timer);
  l->timer.data = l;
  uv_timer_start (&l->timer, on_late, (uint64_t)p->slow_ms, 0);
}

static void
refuse (struct platform *p, uint64_t no, int status)
{
  httpd_answer (p->http, no, status, NULL, "", 0, 0);
}

static void
on_store (struct platform *p, const struct httpd_req *rq)
{
  struct store_op op;
  struct store_rep rep;
  struct codec_err ce;
  bool lose;

  if (p->outage)
    {
      refuse (p, rq->id, STATUS_NO_EFFECT);
      return;
    }
  if (codec_parse (&store_op_desc, rq->body, rq->body_len, CODEC_STRICT, &op,
                   &ce))
    {
      refuse (p, rq->id, 400);
      return;
    }
  fstore_apply (p->store, &op, &rep);
  lose = op.kind == STORE_TXN && p->lose_every > 0
         && ++p->writes % p->lose_every == 0;
  if (!lose)
    answer (p, rq->id, codec_text (&store_rep_desc, &rep));
  codec_free (&store_rep_desc, &rep);
  codec_free (&store_op_desc, &op);
}

static void
on_control (struct platform *p, const struct httpd_req *rq)
{
  json_t *json = json_loadb (rq->body, rq->body_len, 0, NULL);
  json_t *list = json_object_get (json, "instances");
  json_t *v;

  if ((v = json_object_get (json, "outage")))
    p->outage = json_is_true (v);
  if ((v = json_object_get (json, "slow_ms")))
    p->slow_ms = json_integer_value (v);
  if ((v = json_object_get (json, "lose_every")))
    p->lose_every = json_integer_value (v);
  if (list)
    {
      char *text = json_dumps (list, JSON_COMPACT);
      fstore_instances (p->store, text);
      free (text);
    }
  json_decref (json);
  refuse (p, rq->id, json ? 200 : 400);
}

static void
on_stats (struct platform *p, const struct httpd_req *rq)
{
  char text[96];
  int len = snprintf (text, sizeof text, "{\"writes\":%llu,\"reads\":%llu}",
                      (unsigned long long)fstore_writes (p->store),
                      (unsigned long long)fstore_reads (p->store));

  httpd_answer (p->http, rq->id, 200, "application/json", text, (size_t)len,
                0);
}

static void
on_request (void *arg, const struct httpd_req *rq)
{
  struct platform *p = arg;

  if (strcmp (rq->path, "/v1/store") == 0)
    on_store (p, rq);
  else if (strcmp (rq->path, "/v1/control") == 0)
    on_control (p, rq);
  else
    on_stats (p, rq);
}

static void
on_gone (void *arg, uint64_t no)
{
  (void)arg;
  (void)no;
}

int
main (int argc, char **argv)
{
  static struct platform p;
  struct httpd_conf conf = { .arg = &p,
                             .max_body_bytes = BODY_MAX,
                             .on_request = on_request,
                             .on_disconnect = on_gone };
  int err;

  if (argc != 2)
    {
      fprintf (stderr, "usage: platformd ip:port\n");
      return 64;
    }
  conf.addr = argv[1];
  p.loop = uv_default_loop ();
  p.store = fstore_new ();
  p.http = httpd_new (p.loop, &conf, &err);
  if (!p.http)
    {
      fprintf (stderr, "platformd: %s: %s\n", argv[1], uv_strerror (err));
      return 69;
    }
  printf ("%s\n", httpd_addr (p.http));
  fflush (stdout);
  return uv_run (p.loop, UV_RUN_DEFAULT);
}
