/**
 * DOC: This module is the daemon's HTTP client.  A libuv loop drives libcurl's
 * multi interface.  Requests run concurrently; their results arrive through
 * callbacks.
 */
#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpc;

/** enum httpc_result - result of a request */
enum httpc_result
{
  /* A complete response arrived, with any status. */
  HTTPC_OK,
  /* The request was never sent, so the server has not seen it. */
  HTTPC_UNREACHED,
  /* The request may have been sent, but no complete response arrived, so the
     outcome is unknown. */
  HTTPC_FAILED,
};

/**
 * struct httpc_exchange - how a request was carried out
 *
 * A request that is not sent, as it waits for a connection until it times out,
 * has no copies.
 */
struct httpc_exchange
{
  /* Number of times that the request was sent: at most 1 unless its method is
     GET or HEAD. */
  int copies;
  bool repeat_prevented; /* libcurl has tried to send another copy */
  int new_connections;   /* number of connections opened for the request */
  long sent_bytes;   /* bytes of the request that were sent, over all copies */
  const char *error; /* libcurl's text for the result, never NULL */
};

/**
 * struct httpc_req - a request
 *
 * httpc_send() copies the strings and the body, so that they need not outlive
 * the call.
 */
struct httpc_req
{
  const char *method;
  const char *url;
  /* Value of the Content-Type header, or NULL for none. */
  const char *content_type;
  /* Value of the X-Request-Id header, or NULL for none. */
  const char *request_id;
  /* One more header as "Name: value", or NULL. */
  const char *extra_header;
  /* Body of the request, with @body_len bytes; NULL if it has none. */
  const char *body;
  size_t body_len;
  /* Maximum time of the whole request, from httpc_send() to the end of the
     response; 0 for no limit. */
  int64_t timeout_ms;
  /* Maximum time without a byte of the response's body, from httpc_send() to
     the first one and between two of them; 0 for no limit.  Unlike with
     timeout_ms, a long response may arrive over a slow link. */
  int64_t silence_ms;
  /* Maximum time to connect; 0 selects libcurl's default. */
  int64_t connect_timeout_ms;
  /* True if the request gets a connection of its own, so that it does not fail
     because the server has closed a reused one. */
  bool new_connection;
  /* First argument of the callbacks. */
  void *arg;
  /**
   * on_head - Called at most once, with the status and the Content-Type (NULL
   * if there is none): before the first call of on_data, or before on_end if
   * the body is empty.  May be NULL.
   */
  void (*on_head) (void *arg, int status, const char *content_type);
  /**
   * on_data - Called with each piece of the response's body.  Returns false to
   * pause the response until httpc_resume().  NULL if the whole body is to be
   * passed to on_end.
   */
  bool (*on_data) (void *arg, const char *data, size_t len);
  /**
   * on_partial - Called after each piece of the response's body after which,
   * by the response's Content-Length @total, others follow.  May be NULL; not
   * called if on_data is set.
   */
  void (*on_partial) (void *arg, size_t total);
  /**
   * on_exchange - Called exactly once, right before on_end, with the borrowed
   * @exchange.  May be NULL.
   */
  void (*on_exchange) (void *arg, const struct httpc_exchange *exchange);
  /**
   * on_end - Called exactly once, as the last callback.
   * @result: enum httpc_result
   * @status: HTTP status; 0 if no response arrived
   * @body: the response's body, terminated with a NUL and valid during the
   *        call; NULL if it is empty or on_data is set
   * @len: number of bytes of the body
   */
  void (*on_end) (void *arg, int result, int status, const char *body,
                  size_t len);
};

/** httpc_new() - Create a client, which lives as long as the process. */
struct httpc *httpc_new (uv_loop_t *loop);

/**
 * httpc_limit() - Limit the number of connections.
 * @max_per_host: maximum number of connections to one server; further requests
 *                wait for one of them, and their timeout covers the wait
 * @max_idle: maximum number of idle connections kept open, over all servers
 */
void httpc_limit (struct httpc *c, long max_per_host, long max_idle);

/**
 * httpc_send() - Start a request.
 *
 * Return: the id of the request for httpc_resume() and httpc_abort(); never 0.
 */
uint64_t httpc_send (struct httpc *c, const struct httpc_req *rq);

/**
 * httpc_resume() - Resume a response that on_data has paused.
 *
 * Does nothing if request @id has ended or its response is not paused.
 */
void httpc_resume (struct httpc *c, uint64_t id);

/**
 * httpc_abort() - Abort a request.
 *
 * Before the function returns, it calls on_end with HTTPC_FAILED, or with
 * HTTPC_UNREACHED if the request was not sent.  It does nothing if request @id
 * has ended.
 */
void httpc_abort (struct httpc *c, uint64_t id);

#endif
