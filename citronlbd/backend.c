/*
 * Sends syncs to workers and executors.  A sync is one POST of struct
 * sync_req, which is answered by struct sync_rep.  The assumptions about
 * workers are documented with these two structs.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SYNC_CONNECT_TIMEOUT_MS = 1000,
};

/* struct pending_sync - a sync that has been sent and not been answered */
struct pending_sync
{
  struct daemon *d;
  char worker[CLB_ID_MAX];
  int64_t seq;
};

static void
on_end (void *arg, int result, int status, const char *body, size_t len)
{
  struct pending_sync *p = arg;
  struct sync_rep reply;
  struct codec_err parse_err;
  bool valid = result == HTTPC_OK && status == 200
               && !codec_parse (&sync_rep_desc, body, len, CODEC_LENIENT,
                                &reply, &parse_err);

  node_sync_done (&p->d->node, now_ms (), p->worker, p->seq,
                  valid ? &reply : NULL);
  if (valid)
    codec_free (&sync_rep_desc, &reply);
  process_outputs (p->d);
  free (p);
}

void
backend_sync (struct daemon *d, const char *worker, const char *addr,
              const struct sync_req *req)
{
  struct pending_sync *p = calloc (1, sizeof *p);
  char url[CLB_ADDR_MAX + 32];
  char *body = codec_text (&sync_req_desc, req);
  struct httpc_req rq = {
    .method = "POST",
    .content_type = "application/json",
    .timeout_ms = SYNC_TIMEOUT_MS,
    .connect_timeout_ms = SYNC_CONNECT_TIMEOUT_MS,
    /* A start on a reused connection would have an unknown outcome if the
       worker has just closed it. */
    .new_connection = req->n_starts > 0,
    .on_end = on_end,
  };

  if (!p || !body)
    abort ();
  p->d = d;
  p->seq = req->seq;
  clb_copy (p->worker, worker, sizeof p->worker);
  snprintf (url, sizeof url, "http://%s/v1/sync", addr);
  rq.url = url;
  rq.body = body;
  rq.body_len = strlen (body);
  rq.arg = p;
  httpc_send (d->http_client, &rq);
  free (body);
}
