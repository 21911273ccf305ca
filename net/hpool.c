#include "hpool.h"

#include <bsd/sys/queue.h>
#include <bsd/sys/tree.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOST_SIZE = 64,       /* maximum size of "IP:PORT", with the NUL */
  PORT_MAX = 65535,     /* highest port of TCP */
  READ_SIZE = 64 << 10, /* size of the buffer for reading */
  /* Time from the end of a request's timeout until it fails.  The loop reads
     from all sockets in between. */
  EXPIRY_CONFIRM_MS = 1,
  /* Maximum number of bytes in the body of a response; a longer one fails the
     request. */
  RESPONSE_MAX = 64 << 20,
};

/* enum conn_state - state of a connection */
enum conn_state
{
  CONN_CONNECTING,
  CONN_BUSY, /* a request is written, and its response is not complete */
  CONN_IDLE,
  CONN_CLOSING,
};

/* struct call - a request that has not ended */
struct call
{
  TAILQ_ENTRY (call) link; /* in host::waiting */
  struct host *host;
  struct conn *conn; /* NULL: the request has no connection */
  bool waiting;      /* the request is in host::waiting */
  uv_timer_t timer;
  uint64_t deadline_ms; /* time of the loop at which the request fails */
  void *arg;
  void (*on_end) (void *arg, int result, int status, const char *body,
                  size_t len);
  bool expired; /* the timeout has passed once */
  bool sent;    /* a byte of the request may have been sent */
  char *text;   /* owned: head and body of the request */
  size_t text_len;
};
TAILQ_HEAD (callq, call);

/* struct conn - a connection to a server */
struct conn
{
  TAILQ_ENTRY (conn) link; /* in host::idle */
  struct host *host;
  struct call *call; /* NULL unless connecting or busy */
  int state;         /* enum conn_state */
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_timer_t idle_timer;
  int bind_error;     /* libuv error of the bind to hpool::local; 0: none */
  int n_open_handles; /* handles that are not closed yet */
  http_parser parser;
  bool complete; /* the response is complete */
  char *body;    /* owned: bytes of the response's body; NULL: none */
  size_t body_len;
  size_t body_cap; /* number of bytes that body has room for */
};
TAILQ_HEAD (connq, conn);

/* struct host - a server */
struct host
{
  RB_ENTRY (host) by_name;
  struct hpool *pool;
  char name[HOST_SIZE]; /* "IP:PORT" */
  struct sockaddr_in addr;
  bool addr_valid;
  struct connq idle; /* idle connections, the last used first */
  struct callq waiting;
  int n_conns; /* connections that are not closing */
};
RB_HEAD (host_tree, host);

struct hpool
{
  uv_loop_t *loop;
  struct hpool_conf conf;
  struct sockaddr_in local; /* address that connections leave from */
  bool local_valid;         /* false: the system chooses one */
  char source[HOST_SIZE];   /* address that the last connection left from */
  struct host_tree hosts;
  struct hpool_stats stats;
};

static int
host_cmp (const struct host *a, const struct host *b)
{
  return strcmp (a->name, b->name);
}

RB_PROTOTYPE (host_tree, host, by_name, host_cmp)
RB_GENERATE (host_tree, host, by_name, host_cmp)

static void *
zalloc (size_t size)
{
  void *p = calloc (1, size);

  if (!p)
    abort ();
  return p;
}

static void host_serve (struct host *h);

static void
on_call_closed (uv_handle_t *timer)
{
  struct call *call = timer->data;

  free (call->text);
  free (call);
}

/* Ends a request and calls its on_end. */
static void
call_end (struct call *call, int result, int status, const char *body,
          size_t len)
{
  if (call->conn)
    call->conn->call = NULL;
  if (call->waiting)
    TAILQ_REMOVE (&call->host->waiting, call, link);
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
  call->on_end (call->arg, result, status, body ? body : "", len);
}

/* Ends a request without a complete response. */
static void
call_fail (struct call *call)
{
  call_end (call, call->sent ? HTTPC_FAILED : HTTPC_UNREACHED, 0, NULL, 0);
}

static void
on_conn_handle_closed (uv_handle_t *handle)
{
  struct conn *c = handle->data;

  if (--c->n_open_handles > 0)
    return;
  free (c->body);
  free (c);
}

/* Closes a connection, so that nothing which was not sent yet is delivered
   afterwards, and fails its request, if any. */
static void
conn_close (struct conn *c)
{
  struct host *h = c->host;
  struct call *call = c->call;

  if (c->state == CONN_CLOSING)
    return;
  if (c->state == CONN_IDLE)
    TAILQ_REMOVE (&h->idle, c, link);
  c->state = CONN_CLOSING;
  h->n_conns--;
  uv_close ((uv_handle_t *)&c->idle_timer, on_conn_handle_closed);
  if (uv_tcp_close_reset (&c->tcp, on_conn_handle_closed))
    uv_close ((uv_handle_t *)&c->tcp, on_conn_handle_closed);
  if (call)
    call_fail (call);
  host_serve (h);
}

static void
on_idle_timer (uv_timer_t *t)
{
  conn_close (t->data);
}

/* Keeps a connection for the next request. */
static void
conn_set_idle (struct conn *c)
{
  struct host *h = c->host;

  c->state = CONN_IDLE;
  TAILQ_INSERT_HEAD (&h->idle, c, link);
  uv_timer_start (&c->idle_timer, on_idle_timer,
                  (uint64_t)h->pool->conf.idle_ms, 0);
  host_serve (h);
}

static int
on_response_body (http_parser *parser, const char *data, size_t len)
{
  struct conn *c = parser->data;

  if (c->body_len + len > RESPONSE_MAX)
    return -1;
  if (c->body_len + len >= c->body_cap)
    {
      c->body_cap = 2 * (c->body_len + len) + 512;
      c->body = realloc (c->body, c->body_cap);
      if (!c->body)
        abort ();
    }
  memcpy (c->body + c->body_len, data, len);
  c->body_len += len;
  c->body[c->body_len] = '\0';
  return 0;
}

/* Stops the parser, so that no call of on_end is made inside it. */
static int
on_response_complete (http_parser *parser)
{
  struct conn *c = parser->data;

  c->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_body = on_response_body,
        .on_message_complete = on_response_complete };

/* Ends the request of a connection with the complete response.  @keep: whether
   the connection may be used again. */
static void
conn_end_call (struct conn *c, bool keep)
{
  struct call *call = c->call;
  char *body = c->body;
  size_t len = c->body_len;
  int status = c->parser.status_code;

  /* The connection may get its next request before on_end is called. */
  c->body = NULL;
  c->body_len = 0;
  c->body_cap = 0;
  c->call = NULL;
  call->conn = NULL;
  if (keep)
    conn_set_idle (c);
  else
    conn_close (c);
  call_end (call, HTTPC_OK, status, body, len);
  free (body);
}

static void
alloc_read_buffer (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[READ_SIZE];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* Reads a part of a response.  A server that closes an idle connection, or
   sends on it, causes it to be closed. */
static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct conn *c = stream->data;
  size_t len = n > 0 ? (size_t)n : 0;
  size_t parsed;

  if (n == 0 || c->state == CONN_CLOSING)
    return;
  if (c->state != CONN_BUSY)
    {
      conn_close (c);
      return;
    }
  parsed = http_parser_execute (&c->parser, &parser_settings, buf->base, len);
  if (c->complete)
    {
      http_parser_pause (&c->parser, 0);
      /* The parser stops at the last byte of the response, or before it. */
      conn_end_call (c, n > 0 && parsed + 1 >= len
                            && http_should_keep_alive (&c->parser));
    }
  else if (n < 0 || HTTP_PARSER_ERRNO (&c->parser) != HPE_OK)
    conn_close (c);
}

/* struct write - a write of what the socket did not take at once */
struct write
{
  uv_write_t uv;
  char *text; /* owned */
};

static void
on_written (uv_write_t *uv, int status)
{
  struct write *w = uv->data;
  struct conn *c = uv->handle->data;

  if (status < 0 && status != UV_ECANCELED)
    conn_close (c);
  free (w->text);
  free (w);
}

/* Writes the request of a connection, unless its timeout has passed: the
   process may have been paused while the request waited. */
static void
conn_write_call (struct conn *c)
{
  struct call *call = c->call;
  uv_loop_t *loop = call->host->pool->loop;
  uv_buf_t buf = uv_buf_init (call->text, (unsigned)call->text_len);
  int n;

  uv_update_time (loop);
  if (uv_now (loop) >= call->deadline_ms)
    {
      c->call = NULL;
      call->conn = NULL;
      conn_set_idle (c);
      call_fail (call);
      return;
    }
  c->state = CONN_BUSY;
  c->complete = false;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  n = uv_try_write ((uv_stream_t *)&c->tcp, &buf, 1);
  if (n < 0 && n != UV_EAGAIN)
    {
      conn_close (c);
      return;
    }
  call->sent = true;
  if (n < 0)
    n = 0;
  if ((size_t)n < call->text_len)
    {
      struct write *w = zalloc (sizeof *w);
      w->text = call->text;
      w->uv.data = w;
      buf = uv_buf_init (w->text + n, (unsigned)(call->text_len - (size_t)n));
      call->text = NULL;
      uv_write (&w->uv, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
    }
}

/* Fails a request after its timeout, unless the response has arrived and waits
   in the socket because the loop was busy. */
static void
on_call_timer (uv_timer_t *t)
{
  struct call *call = t->data;

  if (!call->expired)
    {
      call->expired = true;
      uv_timer_start (t, on_call_timer, EXPIRY_CONFIRM_MS, 0);
      return;
    }
  /* A late response must not be taken for that to the next request. */
  if (call->conn)
    conn_close (call->conn);
  else
    call_fail (call);
}

/* Starts the timer that ends a request after its timeout. */
static void
call_start_timer (struct call *call)
{
  uint64_t now_ms = uv_now (call->host->pool->loop);

  call->expired = false;
  uv_timer_start (&call->timer, on_call_timer,
                  call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 0,
                  0);
}

/* Reports the address that a connection leaves from, if that is news. */
static void
report_source (struct conn *c)
{
  struct hpool *p = c->host->pool;
  struct sockaddr_in addr = { 0 };
  int len = sizeof addr;
  char ip[HOST_SIZE] = "";

  if (!p->conf.on_source
      || uv_tcp_getsockname (&c->tcp, (struct sockaddr *)&addr, &len)
      || uv_ip4_name (&addr, ip, sizeof ip)
      || (!c->bind_error && strcmp (ip, p->source) == 0))
    return;
  memcpy (p->source, ip, sizeof ip);
  p->conf.on_source (p->conf.arg, ip, c->bind_error);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct conn *c = connect->data;

  if (c->state == CONN_CLOSING)
    return;
  if (status < 0)
    {
      conn_close (c);
      return;
    }
  report_source (c);
  call_start_timer (c->call);
  uv_read_start ((uv_stream_t *)&c->tcp, alloc_read_buffer, on_read);
  conn_write_call (c);
}

/* Opens a connection for a request. */
static void
conn_open (struct host *h, struct call *call)
{
  struct conn *c = zalloc (sizeof *c);
  struct hpool *p = h->pool;
  uint64_t connect_end_ms
      = uv_now (p->loop) + (uint64_t)p->conf.connect_timeout_ms;

  c->host = h;
  c->call = call;
  call->conn = c;
  c->state = CONN_CONNECTING;
  h->n_conns++;
  p->stats.connections++;
  uv_timer_init (p->loop, &c->idle_timer);
  c->idle_timer.data = c;
  uv_tcp_init (p->loop, &c->tcp);
  c->tcp.data = c;
  c->n_open_handles = 2;
  uv_tcp_nodelay (&c->tcp, 1);
  /* If the address cannot be used, connect() chooses one. */
  if (p->local_valid)
    c->bind_error
        = uv_tcp_bind (&c->tcp, (const struct sockaddr *)&p->local, 0);
  if (connect_end_ms < call->deadline_ms)
    uv_timer_start (&call->timer, on_call_timer,
                    (uint64_t)p->conf.connect_timeout_ms, 0);
  c->connect.data = c;
  if (uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&h->addr,
                      on_connected))
    conn_close (c);
}

/* Gives connections to the requests that wait for one. */
static void
host_serve (struct host *h)
{
  struct call *call;
  struct conn *c;

  while ((call = TAILQ_FIRST (&h->waiting)))
    {
      c = TAILQ_FIRST (&h->idle);
      if (!c && h->n_conns >= h->pool->conf.max_per_host)
        return;
      TAILQ_REMOVE (&h->waiting, call, link);
      call->waiting = false;
      if (!c)
        {
          conn_open (h, call);
          continue;
        }
      TAILQ_REMOVE (&h->idle, c, link);
      uv_timer_stop (&c->idle_timer);
      c->call = call;
      call->conn = c;
      conn_write_call (c);
    }
}

/* Returns the port in @text, which must be decimal digits; 0 if it is out of
   range. */
static int
parse_port (const char *text)
{
  int port = 0;

  for (; *text; text++)
    {
      if (*text < '0' || *text > '9')
        return 0;
      port = 10 * port + *text - '0';
      if (port > PORT_MAX)
        return 0;
    }
  return port;
}

/* Parses a server's name "IP:PORT".  Returns whether it is valid. */
static bool
parse_addr (const char *name, struct sockaddr_in *addr)
{
  const char *colon = strrchr (name, ':');
  char ip[HOST_SIZE];
  int port;

  if (!colon || (size_t)(colon - name) >= sizeof ip)
    return false;
  memcpy (ip, name, (size_t)(colon - name));
  ip[colon - name] = '\0';
  port = parse_port (colon + 1);
  return port > 0 && !uv_ip4_addr (ip, port, addr);
}

bool
hpool_addr_ok (const char *name)
{
  struct sockaddr_in addr;

  return parse_addr (name, &addr);
}

/* Returns the server with this name; adds it if it is new. */
static struct host *
host_get (struct hpool *p, const char *name)
{
  struct host key;
  struct host *h;

  snprintf (key.name, sizeof key.name, "%s", name);
  h = RB_FIND (host_tree, &p->hosts, &key);
  if (h)
    return h;
  h = zalloc (sizeof *h);
  h->pool = p;
  strcpy (h->name, key.name);
  TAILQ_INIT (&h->idle);
  TAILQ_INIT (&h->waiting);
  h->addr_valid = parse_addr (h->name, &h->addr);
  RB_INSERT (host_tree, &p->hosts, h);
  return h;
}

struct hpool *
hpool_new (uv_loop_t *loop, const struct hpool_conf *conf)
{
  struct hpool *p = zalloc (sizeof *p);

  p->loop = loop;
  p->conf = *conf;
  p->local_valid
      = conf->local_ip && !uv_ip4_addr (conf->local_ip, 0, &p->local);
  p->conf.local_ip = NULL; /* it may be gone once this function returns */
  RB_INIT (&p->hosts);
  return p;
}

void
hpool_send (struct hpool *p, const struct hpool_req *rq)
{
  struct call *call = zalloc (sizeof *call);
  struct host *h = host_get (p, rq->host);
  int n;

  /* The loop may have been busy since it last updated its time. */
  uv_update_time (p->loop);
  p->stats.requests++;
  call->host = h;
  call->arg = rq->arg;
  call->on_end = rq->on_end;
  call->deadline_ms = uv_now (p->loop) + (uint64_t)rq->timeout_ms;
  uv_timer_init (p->loop, &call->timer);
  call->timer.data = call;
  n = asprintf (&call->text,
                "POST %s HTTP/1.1\r\nHost: %s\r\n"
                "Content-Type: application/json\r\n"
                "Content-Length: %zu\r\n%s\r\n%.*s",
                rq->path, rq->host, rq->body_len, rq->headers,
                (int)rq->body_len, rq->body);
  if (n < 0)
    abort ();
  call->text_len = (size_t)n;
  TAILQ_INSERT_TAIL (&h->waiting, call, link);
  call->waiting = true;
  if (!h->addr_valid)
    call->deadline_ms = 0;
  call_start_timer (call);
  if (h->addr_valid)
    host_serve (h);
}

const struct hpool_stats *
hpool_stats (const struct hpool *p)
{
  return &p->stats;
}
