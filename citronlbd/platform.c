/*
 * Sends operations to the platform's table service, object store and instance
 * list.
 *
 * An operation is one HTTP POST whose body is an encoded struct store_op; the
 * body of the response is an encoded struct store_rep.  The assumptions about
 * the platform are: status 503 means that the operation had no effect, and
 * status 504 that it may have had an effect; a transaction is atomic; each
 * write of a row raises the row's version.
 */
#include "citronlbd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Timeout of a write, and longest silence of the answer to a read. */
  STORE_TIMEOUT_MS = 2000,
  /* Timeout of a read whose answer keeps arriving. */
  STORE_READ_MAX_MS = 60000,
  STORE_CONNECT_TIMEOUT_MS = 1000,
  /* HTTP status with which the platform answers an operation that had no
     effect. */
  STATUS_NO_EFFECT = 503,
};

/* struct pending_op - an operation that has been sent and not been answered */
struct pending_op
{
  struct daemon *d;
  uint64_t token;
};

/* Sets *@reply to the reply to an operation.  If the request failed, sets only
   the err of *@reply: to CLB_EUNAVAIL if the operation had no effect, to
   CLB_EUNKNOWN if it may have had one. */
static void
parse_reply (struct store_rep *reply, int result, int status, const char *body,
             size_t len)
{
  struct codec_err parse_err;

  memset (reply, 0, sizeof *reply);
  if (result == HTTPC_UNREACHED
      || (result == HTTPC_OK && status == STATUS_NO_EFFECT))
    reply->err = CLB_EUNAVAIL;
  else if (result == HTTPC_FAILED || status != 200
           || codec_parse (&store_rep_desc, body, len, CODEC_LENIENT, reply,
                           &parse_err))
    reply->err = CLB_EOUTCOME;
}

static void
on_end (void *arg, int result, int status, const char *body, size_t len)
{
  struct pending_op *p = arg;
  struct store_rep reply;

  parse_reply (&reply, result, status, body, len);
  node_store_reply (&p->d->node, now_ms (), p->token, &reply);
  codec_free (&store_rep_desc, &reply);
  process_outputs (p->d);
  free (p);
}

void
platform_send (struct daemon *d, uint64_t token, const struct store_op *op)
{
  struct pending_op *p = calloc (1, sizeof *p);
  char url[CLB_ADDR_MAX + 32];
  char *op_text = codec_text (&store_op_desc, op);
  struct httpc_req rq = {
    .method = "POST",
    .content_type = "application/json",
    .timeout_ms
    = store_is_read (op->kind) ? STORE_READ_MAX_MS : STORE_TIMEOUT_MS,
    .silence_ms = store_is_read (op->kind) ? STORE_TIMEOUT_MS : 0,
    .connect_timeout_ms = STORE_CONNECT_TIMEOUT_MS,
    .on_end = on_end,
  };

  if (!p || !op_text)
    abort ();
  p->d = d;
  p->token = token;
  snprintf (url, sizeof url, "http://%s/v1/store", d->opt.platform_addr);
  rq.url = url;
  rq.body = op_text;
  rq.body_len = strlen (op_text);
  rq.arg = p;
  httpc_send (d->http_client, &rq);
  free (op_text);
}
