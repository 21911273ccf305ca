/*
 * Syncs with workers and executors: one sync is one POST of struct sync_req,
 * answered by struct sync_rep.  The assumptions about workers are documented
 * with those structs.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SYNC_CONNECT_MS = 1000,
};

/* struct sync_call - a sync that has not been answered */
struct sync_call
{
  struct daemon *d;
  char worker[CLB_ID_MAX];
  int64_t seq;
};

static void
on_end (void *arg, int end, int status, const char *body, size_t len)
{
  struct sync_call *c = arg;
  struct sync_rep rep;
  struct codec_err ce;
  bool good
      = end == HTTPC_OK && status == 200
        && !codec_parse (&sync_rep_desc, body, len, CODEC_LENIENT, &rep, &ce);

  node_sync (&c->d->node, now_ms (), c->worker, c->seq, good ? &rep : NULL);
  if (good)
    codec_free (&sync_rep_desc, &rep);
  process_outputs (c->d);
  free (c);
}

void
backend_sync (struct daemon *d, const char *worker, const char *addr,
              const struct sync_req *req)
{
  struct sync_call *c = calloc (1, sizeof *c);
  char url[CLB_ADDR_MAX + 32];
  char *text = codec_text (&sync_req_desc, req);
  struct httpc_req rq = {
    .method = "POST",
    .content_type = "application/json",
    .timeout_ms = SYNC_TIMEOUT_MS,
    .connect_timeout_ms = SYNC_CONNECT_MS,
    /* libcurl must not send a start a second time on another connection. */
    .new_connection = req->n_starts > 0,
    .on_end = on_end,
  };

  if (!c || !text)
    abort ();
  c->d = d;
  c->seq = req->seq;
  clb_copy (c->worker, worker, sizeof c->worker);
  snprintf (url, sizeof url, "http://%s/v1/sync", addr);
  rq.url = url;
  rq.body = text;
  rq.body_len = strlen (text);
  rq.arg = c;
  httpc_send (d->http, &rq);
  free (text);
}
