#include "httpd.h"

#include <h2o.h>
#include <openssl/ssl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <bsd/sys/tree.h>

enum
{
  /* Maximum number of connections that wait to be accepted. */
  LISTEN_BACKLOG = 512,
  /* Maximum time that a client may take to send the head and body of a
     request. */
  REQUEST_TIMEOUT_MS = 10000,
  /* Time after which an HTTP/2 connection without a request is closed. */
  IDLE_TIMEOUT_MS = 60000,
  /* Size of a buffer for an address "ip:port". */
  ADDR_SIZE = 64,
  /* Size of a buffer for the value of a Retry-After header. */
  RETRY_AFTER_SIZE = 24,
};

/* struct exchange - a request that has no complete response yet */
struct exchange
{
  RB_ENTRY (exchange) by_id;
  struct httpd *d;
  h2o_req_t *req;
  h2o_generator_t gen;
  uint64_t id;
  /* Block of memory that contains the strings of struct httpd_req. */
  char *req_strings;
  /* Bytes of the response that wait for the current h2o_send() to end. */
  char *queued;
  size_t queued_len;
  /* Bytes of the response that the current h2o_send() sends. */
  char *sending;
  size_t sending_len;
  /* True once httpd_begin() has been called. */
  bool streaming;
  /* True from h2o_send() until libh2o calls on_proceed(). */
  bool send_in_progress;
  /* True once httpd_end() has been called. */
  bool ending;
  /* True if httpd_end() ended the response as complete, false if it aborts
     the response. */
  bool complete;
};
RB_HEAD (exchange_tree, exchange);

/* struct handler - request handler of libh2o, extended by the server that it
   belongs to */
struct handler
{
  h2o_handler_t super;
  struct httpd *d;
};

struct httpd
{
  struct httpd_conf conf;
  uv_tcp_t listener;
  /* True while the server accepts connections. */
  bool listening;
  h2o_globalconf_t global_conf;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  struct exchange_tree exchanges;
  size_t n_exchanges;
  /* Id of the last request; 0 before the first one. */
  uint64_t last_id;
  /* Address that the server listens on, as "ip:port". */
  char addr[ADDR_SIZE];
};

static int
exchange_cmp (const struct exchange *a, const struct exchange *b)
{
  return a->id < b->id ? -1 : a->id > b->id;
}

RB_PROTOTYPE (exchange_tree, exchange, by_id, exchange_cmp)
RB_GENERATE (exchange_tree, exchange, by_id, exchange_cmp)

static struct exchange *
exchange_find (struct httpd *d, uint64_t id)
{
  struct exchange key = { .id = id };

  return RB_FIND (exchange_tree, &d->exchanges, &key);
}

/* Frees the exchange that *@slot points to.  libh2o calls the function when it
   frees the memory of the request, as the response has been sent or the
   connection was closed. */
static void
exchange_dispose (void *slot)
{
  struct exchange *x = *(struct exchange **)slot;
  struct httpd *d = x->d;
  uint64_t id = x->id;
  bool disconnected = !x->ending;

  RB_REMOVE (exchange_tree, &d->exchanges, x);
  d->n_exchanges--;
  free (x->req_strings);
  free (x->queued);
  free (x->sending);
  free (x);
  if (disconnected)
    d->conf.on_disconnect (d->conf.arg, id);
}

/* Copies the @len bytes of @src and a NUL to *@pos and moves *@pos behind
   them.  Returns the copy. */
static const char *
copy_text (char **pos, const char *src, size_t len)
{
  char *start = *pos;

  memcpy (start, src, len);
  start[len] = '\0';
  *pos += len + 1;
  return start;
}

/* Copies the value of header @name and a NUL to *@pos and moves *@pos behind
   them.  Returns the copy, or NULL if the request has no such header. */
static const char *
copy_header (char **pos, h2o_req_t *req, const char *name)
{
  ssize_t i = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  if (i < 0)
    return NULL;
  h2o_iovec_t v = req->headers.entries[i].value;
  return copy_text (pos, v.base, v.len);
}

/* Sets *@rq to the request of @x.  The strings of @rq are in one block of
   memory, which @x owns. */
static void
fill_request (struct exchange *x, struct httpd_req *rq)
{
  h2o_req_t *req = x->req;
  size_t size = req->method.len + req->path.len + req->authority.len + 8;
  const char prefix[] = "Bearer ";

  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].value.len + 1;
  x->req_strings = malloc (size);
  if (!x->req_strings)
    abort ();
  char *pos = x->req_strings;
  rq->id = x->id;
  rq->method = copy_text (&pos, req->method.base, req->method.len);
  rq->path = copy_text (&pos, req->path.base, req->path.len);
  rq->bearer = copy_header (&pos, req, "authorization");
  if (rq->bearer && strncmp (rq->bearer, prefix, sizeof prefix - 1) == 0)
    rq->bearer += sizeof prefix - 1;
  rq->request_id = copy_header (&pos, req, "x-request-id");
  rq->content_type = copy_header (&pos, req, "content-type");
  rq->host = copy_text (&pos, req->authority.base, req->authority.len);
  ((char *)rq->host)[strcspn (rq->host, ":")] = '\0';
  rq->impl = req;
  rq->body = req->entity.base;
  rq->body_len = req->entity.len;
}

const char *
httpd_req_header (const struct httpd_req *rq, const char *name)
{
  h2o_req_t *req = rq->impl;
  ssize_t i = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);
  h2o_iovec_t v;

  if (i < 0)
    return NULL;
  v = req->headers.entries[i].value;
  return h2o_strdup (&req->pool, v.base, v.len).base;
}

static void flush_stream (struct exchange *x);

void
httpd_req_peer (const struct httpd_req *rq, char *out, size_t size)
{
  h2o_req_t *req = rq->impl;
  struct sockaddr_storage addr;

  *out = '\0';
  if (req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&addr)
          > 0
      && addr.ss_family == AF_INET)
    uv_ip4_name ((struct sockaddr_in *)&addr, out, size);
}

/* Called by libh2o when the last h2o_send() has ended, so that more may be
   sent. */
static void
on_proceed (h2o_generator_t *gen, h2o_req_t *req)
{
  struct exchange *x = H2O_STRUCT_FROM_MEMBER (struct exchange, gen, gen);
  struct httpd *d = x->d;
  uint64_t id = x->id;

  (void)req;
  x->send_in_progress = false;
  free (x->sending);
  x->sending = NULL;
  x->sending_len = 0;
  flush_stream (x);
  x = exchange_find (d, id);
  if (x && !x->ending && d->conf.on_drained)
    d->conf.on_drained (d->conf.arg, id);
}

/* Called by libh2o when the connection was closed during a response.  Does
   nothing. */
static void
on_stop (h2o_generator_t *gen, h2o_req_t *req)
{
  (void)gen;
  (void)req; /* libh2o calls exchange_dispose() next. */
}

/* Passes the queued bytes of the response to h2o_send(), unless a send is in
   progress. */
static void
flush_stream (struct exchange *x)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;

  if (x->send_in_progress || (x->queued_len == 0 && !x->ending))
    return;
  if (x->ending)
    state = x->complete ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
  x->sending = x->queued;
  x->sending_len = x->queued_len;
  x->queued = NULL;
  x->queued_len = 0;
  x->send_in_progress = true;
  h2o_iovec_t v = h2o_iovec_init (x->sending, x->sending_len);
  h2o_send (x->req, &v, v.len ? 1 : 0, state);
}

/* Called by libh2o for each request that has arrived with its whole body.
   Passes the request to on_request. */
static int
on_h2o_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct httpd *d = ((struct handler *)self)->d;
  struct exchange *x = calloc (1, sizeof *x);
  struct exchange **slot;
  struct httpd_req rq;

  if (!x)
    return -1;
  x->d = d;
  x->req = req;
  x->id = ++d->last_id;
  x->gen.proceed = on_proceed;
  x->gen.stop = on_stop;
  RB_INSERT (exchange_tree, &d->exchanges, x);
  d->n_exchanges++;
  slot = h2o_mem_alloc_shared (&req->pool, sizeof *slot, exchange_dispose);
  *slot = x;
  fill_request (x, &rq);
  d->conf.on_request (d->conf.arg, &rq);
  return 0;
}

void
httpd_begin (struct httpd *d, uint64_t id, int status,
             const char *content_type)
{
  struct exchange *x = exchange_find (d, id);

  if (!x || x->streaming)
    return;
  x->streaming = true;
  x->req->res.status = status;
  x->req->res.reason = status < 300 ? "OK" : "Error";
  if (content_type)
    h2o_add_header (&x->req->pool, &x->req->res.headers,
                    H2O_TOKEN_CONTENT_TYPE, NULL,
                    h2o_strdup (&x->req->pool, content_type, SIZE_MAX).base,
                    strlen (content_type));
  h2o_start_response (x->req, &x->gen);
}

size_t
httpd_chunk (struct httpd *d, uint64_t id, const char *data, size_t len)
{
  struct exchange *x = exchange_find (d, id);
  char *new_queued;

  if (!x || !x->streaming || x->ending)
    return 0;
  new_queued = realloc (x->queued, x->queued_len + len + 1);
  if (!new_queued)
    abort ();
  x->queued = new_queued;
  memcpy (x->queued + x->queued_len, data, len);
  x->queued_len += len;
  flush_stream (x);
  x = exchange_find (d, id);
  return x ? x->queued_len + x->sending_len : 0;
}

void
httpd_end (struct httpd *d, uint64_t id, bool complete)
{
  struct exchange *x = exchange_find (d, id);

  if (!x || !x->streaming || x->ending)
    return;
  x->ending = true;
  x->complete = complete;
  flush_stream (x);
}

void
httpd_answer (struct httpd *d, uint64_t id, int status,
              const char *content_type, const char *body, size_t len,
              int64_t retry_ms)
{
  struct exchange *x = exchange_find (d, id);
  char retry_after[RETRY_AFTER_SIZE];
  int64_t seconds = retry_ms > 0 ? (retry_ms + 999) / 1000 : 0;

  if (!x || x->streaming || x->ending)
    return;
  if (retry_ms != 0)
    {
      int n = snprintf (retry_after, sizeof retry_after, "%lld",
                        (long long)seconds);
      h2o_add_header_by_str (
          &x->req->pool, &x->req->res.headers, H2O_STRLIT ("retry-after"), 1,
          NULL, h2o_strdup (&x->req->pool, retry_after, SIZE_MAX).base,
          (size_t)n);
    }
  x->req->res.content_length = len;
  httpd_begin (d, id, status, content_type);
  if (len)
    {
      x->queued = malloc (len);
      if (!x->queued)
        abort ();
      memcpy (x->queued, body, len);
      x->queued_len = len;
    }
  httpd_end (d, id, true);
}

/* The following functions accept connections and configure TLS. */

static void
free_handle (uv_handle_t *h)
{
  free (h);
}

/* Accepts a connection and passes it to libh2o. */
static void
on_connection (uv_stream_t *listener, int status)
{
  struct httpd *d = listener->data;
  uv_tcp_t *conn;

  if (status)
    return;
  conn = calloc (1, sizeof *conn);
  if (!conn)
    return;
  uv_tcp_init (listener->loop, conn);
  if (uv_accept (listener, (uv_stream_t *)conn))
    {
      uv_close ((uv_handle_t *)conn, free_handle);
      return;
    }
  uv_tcp_nodelay (conn, 1);
  h2o_accept (&d->accept_ctx,
              h2o_uv_socket_create ((uv_stream_t *)conn, free_handle));
}

/* Parses @addr, which has the form "ip:port".  Returns 0 or a negative libuv
   error. */
static int
parse_addr (const char *addr, struct sockaddr_in *out)
{
  char ip[ADDR_SIZE];
  const char *colon = strrchr (addr, ':');

  if (!colon || (size_t)(colon - addr) >= sizeof ip)
    return UV_EINVAL;
  memcpy (ip, addr, (size_t)(colon - addr));
  ip[colon - addr] = '\0';
  return uv_ip4_addr (ip, atoi (colon + 1), out);
}

/* Binds the listener to conf.addr and starts to listen.  Returns 0 or a
   negative libuv error. */
static int
listen_on (struct httpd *d, uv_loop_t *loop)
{
  struct sockaddr_in sa;
  int len = sizeof sa;
  char ip[ADDR_SIZE / 2];
  int err = parse_addr (d->conf.addr, &sa);

  if (err)
    return err;
  uv_tcp_init (loop, &d->listener);
  d->listener.data = d;
  err = uv_tcp_bind (&d->listener, (struct sockaddr *)&sa, 0);
  if (!err)
    err = uv_listen ((uv_stream_t *)&d->listener, LISTEN_BACKLOG,
                     on_connection);
  if (err)
    return err;
  uv_tcp_getsockname (&d->listener, (struct sockaddr *)&sa, &len);
  uv_ip4_name (&sa, ip, sizeof ip);
  snprintf (d->addr, sizeof d->addr, "%s:%d", ip, ntohs (sa.sin_port));
  d->listening = true;
  return 0;
}

/* Returns a TLS context with the certificate and key of @c, or NULL if they
   cannot be used. */
static SSL_CTX *
load_tls (const struct httpd_conf *c)
{
  SSL_CTX *ssl = SSL_CTX_new (TLS_server_method ());

  if (!ssl)
    return NULL;
  SSL_CTX_set_min_proto_version (ssl, TLS1_2_VERSION);
  h2o_ssl_register_alpn_protocols (ssl, h2o_http2_alpn_protocols);
  if (SSL_CTX_use_certificate_chain_file (ssl, c->cert_file) == 1
      && SSL_CTX_use_PrivateKey_file (ssl, c->key_file, SSL_FILETYPE_PEM) == 1)
    return ssl;
  SSL_CTX_free (ssl);
  return NULL;
}

int
httpd_reload (struct httpd *d)
{
  SSL_CTX *ssl;

  if (!d->conf.cert_file)
    return 0;
  ssl = load_tls (&d->conf);
  if (!ssl)
    return -1;
  /* The TLS context is reference-counted, so open connections keep the old
     one. */
  if (d->accept_ctx.ssl_ctx)
    SSL_CTX_free (d->accept_ctx.ssl_ctx);
  d->accept_ctx.ssl_ctx = ssl;
  return 0;
}

struct httpd *
httpd_new (uv_loop_t *loop, const struct httpd_conf *conf, int *err)
{
  struct httpd *d = calloc (1, sizeof *d);
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  struct handler *handler;

  if (!d)
    abort ();
  d->conf = *conf;
  RB_INIT (&d->exchanges);
  h2o_config_init (&d->global_conf);
  d->global_conf.max_request_entity_size = conf->max_body_bytes;
  d->global_conf.http1.req_timeout = REQUEST_TIMEOUT_MS;
  d->global_conf.http2.idle_timeout = IDLE_TIMEOUT_MS;
  host = h2o_config_register_host (
      &d->global_conf, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_h2o_request;
  handler->d = d;
  h2o_context_init (&d->ctx, loop, &d->global_conf);
  d->accept_ctx.ctx = &d->ctx;
  d->accept_ctx.hosts = d->global_conf.hosts;
  *err = conf->cert_file && httpd_reload (d) ? UV_EINVAL : listen_on (d, loop);
  return *err ? NULL : d;
}

const char *
httpd_addr (const struct httpd *d)
{
  return d->addr;
}

size_t
httpd_n_pending (const struct httpd *d)
{
  return d->n_exchanges;
}

void
httpd_stop (struct httpd *d)
{
  if (!d->listening)
    return;
  d->listening = false;
  uv_close ((uv_handle_t *)&d->listener, NULL);
  /* Close idle keep-alive connections. */
  h2o_context_request_shutdown (&d->ctx);
}
