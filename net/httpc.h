/**
 * DOC: HTTP client of the daemon: libcurl's multi interface on a libuv loop.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpc;

/** enum httpc_result - what is known of a request that has ended */
enum httpc_result
{
  HTTPC_OK,        /* a whole answer came, whatever its status */
  HTTPC_UNREACHED, /* no byte of the request left */
  HTTPC_FAILED,    /* bytes left and no whole answer came */
};

/** struct httpc_req - copied where it must outlive the call */
struct httpc_req
{
  const char *method;
  const char *url;
  const char *type;       /* Content-Type, or NULL */
  const char *request_id; /* X-Request-Id, or NULL */
  const char *header;     /* another one, "Name: value", or NULL */
  const char *body;
  size_t body_len;
  int64_t timeout_ms;
  int64_t connect_ms;
  bool new_connection; /* on a new connection, never sent twice by the library
                        */
  void *arg;
  /** on_head - may be NULL; then the whole body comes with on_end */
  void (*on_head) (void *arg, int status, const char *type);
  /** on_data - false stops the flow until httpc_resume() */
  bool (*on_data) (void *arg, const char *data, size_t len);
  /** on_end - once, last; @body is NULL when on_data is set */
  void (*on_end) (void *arg, int end, int status, const char *body,
                  size_t len);
};

struct httpc *httpc_new (uv_loop_t *loop);
/**
 * httpc_limit() - Bound the connections.
 * @each: to one server; more requests wait in line, within their time-out
 * @kept: idle ones, for all servers together
 */
void httpc_limit (struct httpc *c, long each, long kept);
/** httpc_send() - Return: a number for httpc_resume() and httpc_abort(). */
uint64_t httpc_send (struct httpc *c, const struct httpc_req *rq);
void httpc_resume (struct httpc *c, uint64_t no);
/** httpc_abort() - on_end follows at once with HTTPC_FAILED. */
void httpc_abort (struct httpc *c, uint64_t no);

#endif
