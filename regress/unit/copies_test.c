/* Tests of what the HTTP clients report of a request whose connection ends
   without a response, and of a request's second copy. */
#include "hpool.h"
#include "httpc.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 2000,
  HOST_SIZE = 64,
};

/* enum ending - how the connection of the first write ends */
enum ending
{
  END_CLOSE, /* closed in order */
  END_RESET,
  END_N
};

/* enum next - what a further copy of the write meets */
enum next
{
  NEXT_REFUSAL, /* a response with status 503 */
  NEXT_NO_LISTENER,
  NEXT_SUCCESS, /* a response with status 200 */
  NEXT_N
};

/* struct server - an HTTP server that performs the first write and ends its
   connection without a response */
struct server
{
  uv_loop_t loop;
  uv_tcp_t listener;
  char host[HOST_SIZE];
  int ending;      /* enum ending */
  int next;        /* enum next */
  int n_received;  /* writes that have arrived */
  int n_performed; /* writes that were performed */
  int n_reads;     /* reads that have arrived */
};

/* struct result - how a request has ended */
struct result
{
  struct server *s;
  bool ended;
  int result; /* enum httpc_result */
  int status;
};

static void
on_closed (uv_handle_t *h)
{
  free (h);
}

static void
on_written (uv_write_t *w, int status)
{
  (void)status;
  free (w);
}

static void
respond (uv_stream_t *connection, int status)
{
  char *text = calloc (1, 256);
  uv_buf_t buf;

  snprintf (text, 256,
            "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\n\r\n{}",
            status);
  buf = uv_buf_init (text, (unsigned)strlen (text));
  uv_write (calloc (1, sizeof (uv_write_t)), connection, &buf, 1, on_written);
}

static void
alloc_buffer (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)h;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
handle_write (struct server *s, uv_stream_t *connection)
{
  if (s->n_received++ > 0)
    {
      s->n_performed += s->next == NEXT_SUCCESS;
      respond (connection, s->next == NEXT_SUCCESS ? 200 : 503);
      return;
    }
  s->n_performed++;
  if (s->next == NEXT_NO_LISTENER)
    uv_close ((uv_handle_t *)&s->listener, NULL);
  if (s->ending == END_RESET)
    uv_tcp_close_reset ((uv_tcp_t *)connection, on_closed);
  else
    uv_close ((uv_handle_t *)connection, on_closed);
}

/* Handles a request, which arrives in one piece. */
static void
on_request (uv_stream_t *connection, ssize_t n, const uv_buf_t *buf)
{
  struct server *s = connection->data;

  if (n < 0)
    uv_close ((uv_handle_t *)connection, on_closed);
  if (n <= 0)
    return;
  if (strncmp (buf->base, "POST /write", 11) == 0)
    {
      handle_write (s, connection);
      return;
    }
  /* The connection of the second read is closed without a response. */
  if (++s->n_reads == 2)
    uv_close ((uv_handle_t *)connection, on_closed);
  else
    respond (connection, 200);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct server *s = listener->data;
  uv_tcp_t *connection = calloc (1, sizeof *connection);

  (void)status;
  uv_tcp_init (&s->loop, connection);
  connection->data = s;
  uv_accept (listener, (uv_stream_t *)connection);
  uv_read_start ((uv_stream_t *)connection, alloc_buffer, on_request);
}

static struct server *
server_new (int ending, int next)
{
  struct server *s = calloc (1, sizeof *s);
  struct sockaddr_in addr;
  int len = sizeof addr;

  s->ending = ending;
  s->next = next;
  uv_loop_init (&s->loop);
  uv_tcp_init (&s->loop, &s->listener);
  s->listener.data = s;
  uv_ip4_addr ("127.0.0.1", 0, &addr);
  uv_tcp_bind (&s->listener, (struct sockaddr *)&addr, 0);
  uv_listen ((uv_stream_t *)&s->listener, 4, on_connection);
  uv_tcp_getsockname (&s->listener, (struct sockaddr *)&addr, &len);
  snprintf (s->host, sizeof s->host, "127.0.0.1:%d", ntohs (addr.sin_port));
  return s;
}

static void
on_end (void *arg, int result, int status, const char *body, size_t len)
{
  struct result *r = arg;

  (void)body;
  (void)len;
  r->ended = true;
  r->result = result;
  r->status = status;
  uv_stop (&r->s->loop);
}

/* Sends a request with @c and waits for its end. */
static struct result
request (struct server *s, struct httpc *c, const char *method,
         const char *path, bool new_connection)
{
  struct result r = { .s = s };
  char url[HOST_SIZE + 64];
  bool write = strcmp (method, "POST") == 0;
  struct httpc_req rq = { .method = method,
                          .url = url,
                          .body = write ? "{}" : NULL,
                          .body_len = write ? 2 : 0,
                          .timeout_ms = TIMEOUT_MS,
                          .new_connection = new_connection,
                          .arg = &r,
                          .on_end = on_end };

  snprintf (url, sizeof url, "http://%s%s", s->host, path);
  httpc_send (c, &rq);
  uv_run (&s->loop, UV_RUN_DEFAULT);
  return r;
}

/* Sends a request with @p and waits for its end. */
static struct result
pool_request (struct server *s, struct hpool *p, const char *path)
{
  struct result r = { .s = s };
  struct hpool_req rq = { .host = s->host,
                          .path = path,
                          .headers = "",
                          .body = "{}",
                          .body_len = 2,
                          .timeout_ms = TIMEOUT_MS,
                          .arg = &r,
                          .on_end = on_end };

  hpool_send (p, &rq);
  uv_run (&s->loop, UV_RUN_DEFAULT);
  return r;
}

/* Returns whether the result says that the write was not performed. */
static bool
says_not_performed (const struct result *r)
{
  return r->result == HTTPC_UNREACHED
         || (r->result == HTTPC_OK && r->status == 503);
}

static void
check_write (const struct server *s, const struct result *r)
{
  CU_ASSERT_TRUE (r->ended);
  CU_ASSERT_EQUAL (s->n_received, 1);
  CU_ASSERT_EQUAL (s->n_performed, 1);
  CU_ASSERT_FALSE (says_not_performed (r));
}

/* Guards against a 503 to a copy that libcurl sends by itself, taken for the
   outcome of the write: callers were told that a job would never run. */
static void
test_performed_write_is_not_reported_as_refused (void)
{
  for (int kept = 0; kept < 2; kept++)
    for (int ending = 0; ending < END_N; ending++)
      for (int next = 0; next < NEXT_N; next++)
        {
          struct server *s = server_new (ending, next);
          struct httpc *c = httpc_new (&s->loop);
          struct result r;

          if (kept)
            request (s, c, "GET", "/read", false);
          r = request (s, c, "POST", "/write", !kept);
          check_write (s, &r);
        }
}

/* The same for the client of orders and advice queries. */
static void
test_performed_order_is_not_reported_as_refused (void)
{
  for (int kept = 0; kept < 2; kept++)
    for (int ending = 0; ending < END_N; ending++)
      for (int next = 0; next < NEXT_N; next++)
        {
          struct server *s = server_new (ending, next);
          struct hpool_conf conf = { .max_per_host = 1,
                                     .idle_ms = TIMEOUT_MS,
                                     .connect_timeout_ms = TIMEOUT_MS };
          struct hpool *p = hpool_new (&s->loop, &conf);
          struct result r;

          if (kept)
            pool_request (s, p, "/read");
          r = pool_request (s, p, "/write");
          check_write (s, &r);
        }
}

/* Guards against reads that fail as their kept connection was closed. */
static void
test_read_is_sent_again (void)
{
  struct server *s = server_new (END_CLOSE, NEXT_SUCCESS);
  struct httpc *c = httpc_new (&s->loop);
  struct result r;

  request (s, c, "GET", "/read", false);
  r = request (s, c, "GET", "/read", false);
  CU_ASSERT_EQUAL (r.result, HTTPC_OK);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_EQUAL (s->n_reads, 3);
}

UNIT_MAIN ("copies",
           { "a performed write is not reported as refused",
             test_performed_write_is_not_reported_as_refused },
           { "a performed order is not reported as refused",
             test_performed_order_is_not_reported_as_refused },
           { "a read is sent again", test_read_is_sent_again })
