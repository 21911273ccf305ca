/* Tests of the HTTP client's limit of the silence in a response. */
#include "httpc.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_BYTES = 40,
  BYTE_INTERVAL_MS = 20, /* interval at which the server sends the body */
  SILENCE_MS = 300,      /* httpc_req::silence_ms of the requests */
  SLACK_MS = 400,        /* delay of a busy machine that the tests accept */
};

/* struct server - an HTTP server for one connection that sends the body of its
   response byte by byte */
struct server
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t connection;
  uv_timer_t timer;
  int port;
  /* Number of bytes of the body that are sent, and the number so far. */
  int n_bytes;
  int n_sent;
  bool accepted;
};

/* struct result - how a request has ended */
struct result
{
  struct server *s;
  bool ended;
  int result; /* enum httpc_result */
  size_t len; /* length of the body */
  int n_partial;
  size_t total;    /* length of the body, as on_partial was told */
  uint64_t end_ms; /* time from the start of the request to its end */
};

static void
on_written (uv_write_t *w, int status)
{
  (void)status;
  free (w);
}

static void
send_bytes (struct server *s, const char *text, size_t len)
{
  uv_buf_t buf = uv_buf_init ((char *)text, (unsigned)len);

  uv_write (calloc (1, sizeof (uv_write_t)), (uv_stream_t *)&s->connection,
            &buf, 1, on_written);
}

static void
on_byte_due (uv_timer_t *t)
{
  struct server *s = t->data;

  if (s->n_sent++ < s->n_bytes)
    send_bytes (s, "x", 1);
}

static void
alloc_buffer (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)h;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* Answers the request with the response's head; its body follows. */
static void
on_request_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
  struct server *s = stream->data;

  (void)buf;
  if (n <= 0)
    return;
  send_bytes (s, head, sizeof head - 1);
  uv_timer_start (&s->timer, on_byte_due, BYTE_INTERVAL_MS, BYTE_INTERVAL_MS);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct server *s = listener->data;

  (void)status;
  uv_tcp_init (&s->loop, &s->connection);
  s->connection.data = s;
  s->accepted = true;
  uv_accept (listener, (uv_stream_t *)&s->connection);
  uv_read_start ((uv_stream_t *)&s->connection, alloc_buffer, on_request_read);
}

/* Starts a server on loopback that sends @n_bytes of the body's BODY_BYTES. */
static void
server_open (struct server *s, int n_bytes)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  memset (s, 0, sizeof *s);
  s->n_bytes = n_bytes;
  uv_loop_init (&s->loop);
  uv_timer_init (&s->loop, &s->timer);
  s->timer.data = s;
  uv_tcp_init (&s->loop, &s->listener);
  s->listener.data = s;
  uv_ip4_addr ("127.0.0.1", 0, &addr);
  uv_tcp_bind (&s->listener, (struct sockaddr *)&addr, 0);
  uv_listen ((uv_stream_t *)&s->listener, 4, on_connection);
  uv_tcp_getsockname (&s->listener, (struct sockaddr *)&addr, &len);
  s->port = ntohs (addr.sin_port);
}

static void
on_partial (void *arg, size_t total)
{
  struct result *r = arg;

  r->n_partial++;
  r->total = total;
}

static void
on_end (void *arg, int result, int status, const char *body, size_t len)
{
  struct result *r = arg;

  (void)status;
  (void)body;
  r->ended = true;
  r->result = result;
  r->len = len;
  uv_stop (&r->s->loop);
}

/* Sends a request to a server that sends @n_bytes of the body, and waits for
   its end. */
static struct result
request (int n_bytes)
{
  struct server *s = calloc (1, sizeof *s);
  struct result r = { .s = s };
  char url[64];
  struct httpc_req rq = { .method = "GET",
                          .url = url,
                          .silence_ms = SILENCE_MS,
                          .arg = &r,
                          .on_partial = on_partial,
                          .on_end = on_end };
  uint64_t begin_ms;

  server_open (s, n_bytes);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/", s->port);
  begin_ms = uv_hrtime () / 1000000;
  httpc_send (httpc_new (&s->loop), &rq);
  uv_run (&s->loop, UV_RUN_DEFAULT);
  r.end_ms = uv_hrtime () / 1000000 - begin_ms;
  return r;
}

static void
test_long_response_arrives (void)
{
  struct result r = request (BODY_BYTES);

  CU_ASSERT_TRUE (r.ended);
  CU_ASSERT_EQUAL (r.result, HTTPC_OK);
  CU_ASSERT_EQUAL (r.len, BODY_BYTES);
  CU_ASSERT (r.end_ms > 2 * SILENCE_MS);
  CU_ASSERT (r.n_partial > 0 && r.n_partial < BODY_BYTES);
  CU_ASSERT_EQUAL (r.total, BODY_BYTES);
}

static void
test_silent_response_fails (void)
{
  struct result r = request (5);

  CU_ASSERT_TRUE (r.ended);
  CU_ASSERT_EQUAL (r.result, HTTPC_FAILED);
  CU_ASSERT (r.end_ms >= SILENCE_MS + 4 * BYTE_INTERVAL_MS);
  CU_ASSERT (r.end_ms < SILENCE_MS + 5 * BYTE_INTERVAL_MS + SLACK_MS);
}

static void
test_missing_response_fails (void)
{
  struct result r = request (0);

  CU_ASSERT_TRUE (r.ended);
  CU_ASSERT_EQUAL (r.result, HTTPC_FAILED);
  CU_ASSERT_EQUAL (r.n_partial, 0);
  CU_ASSERT (r.end_ms >= SILENCE_MS && r.end_ms < SILENCE_MS + SLACK_MS);
}

UNIT_MAIN ("httpc",
           { "a response longer than the limit of its silence arrives",
             test_long_response_arrives },
           { "a response that falls silent fails",
             test_silent_response_fails },
           { "a response that does not come fails",
             test_missing_response_fails })
