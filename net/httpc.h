/**
 * DOC: HTTP client of the daemon: libcurl's multi interface driven by a libuv
 * loop.  Requests run concurrently; their results arrive through callbacks.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpc;

/** enum httpc_result - outcome of a request */
enum httpc_result
{
  /* A complete response arrived, with any status. */
  HTTPC_OK,
  /* No byte of the request was sent: the server has not seen it. */
  HTTPC_UNREACHED,
  /* Bytes were sent and no complete response arrived: the outcome is
     unknown. */
  HTTPC_FAILED,
};

/**
 * struct httpc_req - a request
 *
 * httpc_send() copies what it needs; the strings need not outlive the call.
 */
struct httpc_req
{
  const char *method;
  const char *url;
  /* Content-Type, or NULL for none. */
  const char *content_type;
  /* X-Request-Id, or NULL for none. */
  const char *request_id;
  /* One more header as "Name: value", or NULL. */
  const char *extra_header;
  /* NULL: the request has no body. */
  const char *body;
  size_t body_len;
  /* Bound on the whole request, from httpc_send() to the end of the response;
     0: no bound. */
  int64_t timeout_ms;
  /* Bound on connecting; 0: libcurl's default. */
  int64_t connect_timeout_ms;
  /* Open a connection for this request alone.  On a reused connection that
     turns out to be dead, libcurl sends the request a second time. */
  bool new_connection;
  /* Passed to the callbacks. */
  void *arg;
  /**
   * on_head - Called at most once, with the status and the Content-Type (NULL
   * if there is none): before the first on_data, or before on_end if the body
   * is empty.  May be NULL.
   */
  void (*on_head) (void *arg, int status, const char *type);
  /**
   * on_data - Called with each piece of the body.  Returns false to stop the
   * flow until httpc_resume().  NULL: the whole body is passed to on_end.
   */
  bool (*on_data) (void *arg, const char *data, size_t len);
  /**
   * on_end - Called exactly once, as the last callback.
   * @end: enum httpc_result
   * @status: HTTP status; 0 if no response arrived
   * @body: terminated, borrowed; NULL if it is empty or on_data is set
   */
  void (*on_end) (void *arg, int end, int status, const char *body,
                  size_t len);
};

/** httpc_new() - Create a client; it lives as long as the process. */
struct httpc *httpc_new (uv_loop_t *loop);

/**
 * httpc_limit() - Limit the number of connections.
 * @max_per_host: to one server; further requests wait for one of them, and
 *                their timeout covers the wait
 * @max_idle: idle connections kept open, over all servers
 */
void httpc_limit (struct httpc *c, long max_per_host, long max_idle);

/**
 * httpc_send() - Start a request.
 *
 * Return: its id, for httpc_resume() and httpc_abort(); never 0.
 */
uint64_t httpc_send (struct httpc *c, const struct httpc_req *rq);

/**
 * httpc_resume() - Continue the flow of a body that on_data has stopped.
 *
 * Does nothing if request @id has ended or is not stopped.
 */
void httpc_resume (struct httpc *c, uint64_t id);

/**
 * httpc_abort() - Abort a request.
 *
 * Calls on_end before it returns, with HTTPC_FAILED, or HTTPC_UNREACHED if no
 * byte was sent.  Does nothing if request @id has ended.
 */
void httpc_abort (struct httpc *c, uint64_t id);

#endif
