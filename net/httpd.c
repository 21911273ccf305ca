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
  BACKLOG = 512,              /* connections not yet accepted */
  REQUEST_TIMEOUT_MS = 10000, /* to send head and body of a request */
  IDLE_TIMEOUT_MS = 60000,    /* HTTP/2 connection without a request */
  ADDR_SIZE = 64,
  RETRY_SIZE = 24,
};

/* struct live - a request whose answer is not done */
struct live
{
  RB_ENTRY (live) by_no;
  struct httpd *d;
  h2o_req_t *req;
  h2o_generator_t gen;
  uint64_t no;
  char *text; /* strings of struct httpd_req */
  char *buf;  /* streamed bytes waiting */
  size_t len;
  char *sending; /* streamed bytes handed to the server */
  size_t sending_len;
  bool streaming;
  bool in_flight;
  bool ending;
  bool whole;
};
RB_HEAD (live_tree, live);

/* The handler that libh2o calls, and the way back from it. */
struct handler
{
  h2o_handler_t super;
  struct httpd *d;
};

struct httpd
{
  struct httpd_conf conf;
  uv_tcp_t listener;
  bool listening;
  h2o_globalconf_t global;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept;
  struct live_tree live;
  size_t n_live;
  uint64_t next_no;
  char addr[ADDR_SIZE];
};

static int
live_cmp (const struct live *a, const struct live *b)
{
  return a->no < b->no ? -1 : a->no > b->no;
}

RB_PROTOTYPE (live_tree, live, by_no, live_cmp)
RB_GENERATE (live_tree, live, by_no, live_cmp)

static struct live *
live_find (struct httpd *d, uint64_t no)
{
  struct live key = { .no = no };

  return RB_FIND (live_tree, &d->live, &key);
}

/* Called by libh2o when the request's memory goes. */
static void
live_dispose (void *p)
{
  struct live *l = *(struct live **)p;
  struct httpd *d = l->d;
  uint64_t no = l->no;
  bool gone = !l->ending;

  RB_REMOVE (live_tree, &d->live, l);
  d->n_live--;
  free (l->text);
  free (l->buf);
  free (l->sending);
  free (l);
  if (gone)
    d->conf.on_disconnect (d->conf.arg, no);
}

static const char *
copy_text (char **at, const char *src, size_t len)
{
  char *start = *at;

  memcpy (start, src, len);
  start[len] = '\0';
  *at += len + 1;
  return start;
}

static const char *
copy_header (char **at, h2o_req_t *req, const char *name)
{
  ssize_t i = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  if (i < 0)
    return NULL;
  h2o_iovec_t v = req->headers.entries[i].value;
  return copy_text (at, v.base, v.len);
}

static void
fill_request (struct live *l, struct httpd_req *rq)
{
  h2o_req_t *req = l->req;
  size_t size = req->method.len + req->path.len + req->authority.len + 8;
  const char prefix[] = "Bearer ";

  for (size_t i = 0; i < req->headers.size; i++)
    size += req->headers.entries[i].value.len + 1;
  l->text = malloc (size);
  if (!l->text)
    abort ();
  char *at = l->text;
  rq->id = l->no;
  rq->method = copy_text (&at, req->method.base, req->method.len);
  rq->path = copy_text (&at, req->path.base, req->path.len);
  rq->bearer = copy_header (&at, req, "authorization");
  if (rq->bearer && strncmp (rq->bearer, prefix, sizeof prefix - 1) == 0)
    rq->bearer += sizeof prefix - 1;
  rq->request_id = copy_header (&at, req, "x-request-id");
  rq->type = copy_header (&at, req, "content-type");
  rq->host = copy_text (&at, req->authority.base, req->authority.len);
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

static void flush_stream (struct live *l);

static void
on_proceed (h2o_generator_t *gen, h2o_req_t *req)
{
  struct live *l = H2O_STRUCT_FROM_MEMBER (struct live, gen, gen);
  struct httpd *d = l->d;
  uint64_t no = l->no;

  (void)req;
  l->in_flight = false;
  free (l->sending);
  l->sending = NULL;
  l->sending_len = 0;
  flush_stream (l);
  l = live_find (d, no);
  if (l && !l->ending && d->conf.on_drained)
    d->conf.on_drained (d->conf.arg, no);
}

static void
on_stop (h2o_generator_t *gen, h2o_req_t *req)
{
  (void)gen;
  (void)req; /* live_dispose follows */
}

/* Hands what is buffered to the server; one piece may be on its way. */
static void
flush_stream (struct live *l)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;

  if (l->in_flight || (l->len == 0 && !l->ending))
    return;
  if (l->ending)
    state = l->whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
  l->sending = l->buf;
  l->sending_len = l->len;
  l->buf = NULL;
  l->len = 0;
  l->in_flight = true;
  h2o_iovec_t v = h2o_iovec_init (l->sending, l->sending_len);
  h2o_send (l->req, &v, v.len ? 1 : 0, state);
}

static int
on_req (h2o_handler_t *self, h2o_req_t *req)
{
  struct httpd *d = ((struct handler *)self)->d;
  struct live *l = calloc (1, sizeof *l);
  struct live **slot;
  struct httpd_req rq;

  if (!l)
    return -1;
  l->d = d;
  l->req = req;
  l->no = ++d->next_no;
  l->gen.proceed = on_proceed;
  l->gen.stop = on_stop;
  RB_INSERT (live_tree, &d->live, l);
  d->n_live++;
  slot = h2o_mem_alloc_shared (&req->pool, sizeof *slot, live_dispose);
  *slot = l;
  fill_request (l, &rq);
  d->conf.on_request (d->conf.arg, &rq);
  return 0;
}

void
httpd_begin (struct httpd *d, uint64_t no, int status, const char *type)
{
  struct live *l = live_find (d, no);

  if (!l || l->streaming)
    return;
  l->streaming = true;
  l->req->res.status = status;
  l->req->res.reason = status < 300 ? "OK" : "Error";
  if (type)
    h2o_add_header (
        &l->req->pool, &l->req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
        h2o_strdup (&l->req->pool, type, SIZE_MAX).base, strlen (type));
  h2o_start_response (l->req, &l->gen);
}

size_t
httpd_chunk (struct httpd *d, uint64_t no, const char *data, size_t len)
{
  struct live *l = live_find (d, no);
  char *grown;

  if (!l || !l->streaming || l->ending)
    return 0;
  grown = realloc (l->buf, l->len + len + 1);
  if (!grown)
    abort ();
  l->buf = grown;
  memcpy (l->buf + l->len, data, len);
  l->len += len;
  flush_stream (l);
  l = live_find (d, no);
  return l ? l->len + l->sending_len : 0;
}

void
httpd_end (struct httpd *d, uint64_t no, bool whole)
{
  struct live *l = live_find (d, no);

  if (!l || !l->streaming || l->ending)
    return;
  l->ending = true;
  l->whole = whole;
  flush_stream (l);
}

void
httpd_answer (struct httpd *d, uint64_t no, int status, const char *type,
              const char *body, size_t len, int64_t retry_ms)
{
  struct live *l = live_find (d, no);
  char retry[RETRY_SIZE];
  int64_t seconds = (retry_ms + 999) / 1000;

  if (!l || l->streaming || l->ending)
    return;
  if (retry_ms > 0)
    {
      int n = snprintf (retry, sizeof retry, "%lld", (long long)seconds);
      h2o_add_header_by_str (
          &l->req->pool, &l->req->res.headers, H2O_STRLIT ("retry-after"), 1,
          NULL, h2o_strdup (&l->req->pool, retry, SIZE_MAX).base, (size_t)n);
    }
  l->req->res.content_length = len;
  httpd_begin (d, no, status, type);
  if (len)
    {
      l->buf = malloc (len);
      if (!l->buf)
        abort ();
      memcpy (l->buf, body, len);
      l->len = len;
    }
  httpd_end (d, no, true);
}

/* Listening. */

static void
free_handle (uv_handle_t *h)
{
  free (h);
}

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
  h2o_accept (&d->accept,
              h2o_uv_socket_create ((uv_stream_t *)conn, free_handle));
}

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
    err = uv_listen ((uv_stream_t *)&d->listener, BACKLOG, on_connection);
  if (err)
    return err;
  uv_tcp_getsockname (&d->listener, (struct sockaddr *)&sa, &len);
  uv_ip4_name (&sa, ip, sizeof ip);
  snprintf (d->addr, sizeof d->addr, "%s:%d", ip, ntohs (sa.sin_port));
  d->listening = true;
  return 0;
}

static SSL_CTX *
load_tls (const struct httpd_conf *c)
{
  SSL_CTX *ssl = SSL_CTX_new (TLS_server_method ());

  if (!ssl)
    return NULL;
  SSL_CTX_set_min_proto_version (ssl, TLS1_2_VERSION);
  h2o_ssl_register_alpn_protocols (ssl, h2o_http2_alpn_protocols);
  if (SSL_CTX_use_certificate_chain_file (ssl, c->cert) == 1
      && SSL_CTX_use_PrivateKey_file (ssl, c->key, SSL_FILETYPE_PEM) == 1)
    return ssl;
  SSL_CTX_free (ssl);
  return NULL;
}

int
httpd_reload (struct httpd *d)
{
  SSL_CTX *ssl;

  if (!d->conf.cert)
    return 0;
  ssl = load_tls (&d->conf);
  if (!ssl)
    return -1;
  /* Connections that use the old one keep it alive. */
  if (d->accept.ssl_ctx)
    SSL_CTX_free (d->accept.ssl_ctx);
  d->accept.ssl_ctx = ssl;
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
  RB_INIT (&d->live);
  h2o_config_init (&d->global);
  d->global.max_request_entity_size = conf->body_max;
  d->global.http1.req_timeout = REQUEST_TIMEOUT_MS;
  d->global.http2.idle_timeout = IDLE_TIMEOUT_MS;
  host = h2o_config_register_host (
      &d->global, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler = (struct handler *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = on_req;
  handler->d = d;
  h2o_context_init (&d->ctx, loop, &d->global);
  d->accept.ctx = &d->ctx;
  d->accept.hosts = d->global.hosts;
  *err = conf->cert && httpd_reload (d) ? UV_EINVAL : listen_on (d, loop);
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
  return d->n_live;
}

void
httpd_stop (struct httpd *d)
{
  if (!d->listening)
    return;
  d->listening = false;
  uv_close ((uv_handle_t *)&d->listener, NULL);
  /* Idle keep-alive connections are told to go. */
  h2o_context_request_shutdown (&d->ctx);
}
