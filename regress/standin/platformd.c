/*
 * platformd - stand-in for the platform: table, object store and instance
 * list.
 *
 * POST /v1/store   executes one store operation
 * POST /v1/control changes faults and the instance list at run time:
 *   {"outage": true, "slow_ms": 200, "lose_every": 3, "instances": {...}}
 * any other path   returns how many writes and reads the store executed
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fstore.h"
#include "httpd.h"

enum
{
  BODY_MAX = 64 << 20,    /* largest accepted request body in bytes */
  STATUS_NO_EFFECT = 503, /* HTTP status: the operation was not executed */
};

struct platform
{
  uv_loop_t *loop;
  struct httpd *http;
  struct fstore *store;
  bool outage;     /* every store operation is refused */
  int64_t slow_ms; /* delay of each reply to a store operation; 0: no delay */
  int64_t lose_every; /* every Nth reply to a transaction is lost; 0: none */
  int64_t n_transactions; /* transactions executed while lose_every was set */
};

/* struct delayed_reply - reply to a store operation, sent when the timer
   expires */
struct delayed_reply
{
  uv_timer_t timer;
  struct platform *p;
  uint64_t request_id; /* id that the HTTP server gave to the request */
  char *text;          /* JSON body of the reply */
};

static void
free_delayed_reply (uv_handle_t *h)
{
  struct delayed_reply *dr = h->data;

  free (dr->text);
  free (dr);
}

static void
on_reply_due (uv_timer_t *t)
{
  struct delayed_reply *dr = t->data;

  httpd_answer (dr->p->http, dr->request_id, 200, "application/json", dr->text,
                strlen (dr->text), 0);
  uv_close ((uv_handle_t *)t, free_delayed_reply);
}

static void
send_reply (struct platform *p, uint64_t request_id, char *text)
{
  struct delayed_reply *dr;

  if (p->slow_ms <= 0)
    {
      httpd_answer (p->http, request_id, 200, "application/json", text,
                    strlen (text), 0);
      free (text);
      return;
    }
  dr = calloc (1, sizeof *dr);
  if (!dr)
    abort ();
  dr->p = p;
  dr->request_id = request_id;
  dr->text = text;
  uv_timer_init (p->loop, &dr->timer);
  dr->timer.data = dr;
  uv_timer_start (&dr->timer, on_reply_due, (uint64_t)p->slow_ms, 0);
}

static void
send_empty_reply (struct platform *p, uint64_t request_id, int status)
{
  httpd_answer (p->http, request_id, status, NULL, "", 0, 0);
}

static void
on_store_request (struct platform *p, const struct httpd_req *rq)
{
  struct store_op op;
  struct store_rep rep;
  struct codec_err ce;
  bool drop_reply;

  if (p->outage)
    {
      send_empty_reply (p, rq->id, STATUS_NO_EFFECT);
      return;
    }
  if (codec_parse (&store_op_desc, rq->body, rq->body_len, CODEC_STRICT, &op,
                   &ce))
    {
      send_empty_reply (p, rq->id, 400);
      return;
    }
  fstore_apply (p->store, &op, &rep);
  drop_reply = op.kind == STORE_TXN && p->lose_every > 0
               && ++p->n_transactions % p->lose_every == 0;
  if (!drop_reply)
    send_reply (p, rq->id, codec_text (&store_rep_desc, &rep));
  codec_free (&store_rep_desc, &rep);
  codec_free (&store_op_desc, &op);
}

static void
on_control_request (struct platform *p, const struct httpd_req *rq)
{
  json_t *json = json_loadb (rq->body, rq->body_len, 0, NULL);
  json_t *instances = json_object_get (json, "instances");
  json_t *v;

  if ((v = json_object_get (json, "outage")))
    p->outage = json_is_true (v);
  if ((v = json_object_get (json, "slow_ms")))
    p->slow_ms = json_integer_value (v);
  if ((v = json_object_get (json, "lose_every")))
    p->lose_every = json_integer_value (v);
  if (instances)
    {
      char *text = json_dumps (instances, JSON_COMPACT);
      fstore_instances (p->store, text);
      free (text);
    }
  json_decref (json);
  send_empty_reply (p, rq->id, json ? 200 : 400);
}

static void
on_stats_request (struct platform *p, const struct httpd_req *rq)
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
    on_store_request (p, rq);
  else if (strcmp (rq->path, "/v1/control") == 0)
    on_control_request (p, rq);
  else
    on_stats_request (p, rq);
}

static void
on_disconnect (void *arg, uint64_t request_id)
{
  (void)arg;
  (void)request_id;
}

int
main (int argc, char **argv)
{
  static struct platform p;
  struct httpd_conf conf = { .arg = &p,
                             .max_body_bytes = BODY_MAX,
                             .on_request = on_request,
                             .on_disconnect = on_disconnect };
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
