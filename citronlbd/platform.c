/*
 * The platform's table service, object store and instance list.
 *
 * An operation is one POST of struct store_op, answered by one struct
 * store_rep.  Assumptions about the platform: status 503 means that the
 * operation had no effect, 504 that it may have had one; a transaction is
 * atomic; and each write of a row raises its version.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STORE_TIMEOUT_MS = 2000,
  STORE_CONNECT_MS = 1000,
  STATUS_NO_EFFECT = 503,
};

/* struct store_call - an operation in progress */
struct store_call
{
  struct daemon *d;
  uint64_t token;
};

/* Sets *@rep to the answer, or its err to the outcome of a failed request. */
static void
read_rep (struct store_rep *rep, int end, int status, const char *body,
          size_t len)
{
  struct codec_err ce;

  memset (rep, 0, sizeof *rep);
  if (end == HTTPC_UNREACHED
      || (end == HTTPC_OK && status == STATUS_NO_EFFECT))
    rep->err = CLB_EUNAVAIL;
  else if (end == HTTPC_FAILED || status != 200
           || codec_parse (&store_rep_desc, body, len, CODEC_LENIENT, rep,
                           &ce))
    rep->err = CLB_EUNKNOWN;
}

static void
on_end (void *arg, int end, int status, const char *body, size_t len)
{
  struct store_call *c = arg;
  struct store_rep rep;

  read_rep (&rep, end, status, body, len);
  node_store (&c->d->node, now_ms (), c->token, &rep);
  codec_free (&store_rep_desc, &rep);
  process_outputs (c->d);
  free (c);
}

void
platform_send (struct daemon *d, uint64_t token, const struct store_op *op)
{
  struct store_call *c = calloc (1, sizeof *c);
  char url[CLB_ADDR_MAX + 32];
  char *text = codec_text (&store_op_desc, op);
  struct httpc_req rq = {
    .method = "POST",
    .content_type = "application/json",
    .timeout_ms = STORE_TIMEOUT_MS,
    .connect_timeout_ms = STORE_CONNECT_MS,
    .on_end = on_end,
  };

  if (!c || !text)
    abort ();
  c->d = d;
  c->token = token;
  snprintf (url, sizeof url, "http://%s/v1/store", d->opt.platform);
  rq.url = url;
  rq.body = text;
  rq.body_len = strlen (text);
  rq.arg = c;
  httpc_send (d->http, &rq);
  free (text);
}
