/**
 * DOC: HTTP server of the daemon and of the test programs, on libh2o and a
 * libuv loop.  It speaks HTTP/1.1 and, under TLS, HTTP/2.
 *
 * Each request has an id.  A response is sent whole with httpd_answer(), or
 * piece by piece with httpd_begin(), httpd_chunk() and httpd_end(); all four
 * do nothing if the request of that id has ended.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpd;

/**
 * struct httpd_req - a request
 *
 * What the pointers refer to is valid until the response has been sent or
 * on_disconnect has been called.
 */
struct httpd_req
{
  /* Not reused by this server, never 0. */
  uint64_t id;
  const char *method;
  /* Path with the query. */
  const char *path;
  /* Value of Authorization, without "Bearer " if it starts with that; NULL if
     the header is missing. */
  const char *bearer;
  /* X-Request-Id, or NULL. */
  const char *request_id;
  /* Content-Type, or NULL. */
  const char *content_type;
  /* Host without the port; may be empty. */
  const char *host;
  /* Not terminated; may be NULL if it is empty. */
  const char *body;
  size_t body_len;
  /* Data of the server itself. */
  void *impl;
};

/**
 * httpd_req_header() - Value of a header that struct httpd_req has no member
 * for.
 * @name: in lower case
 *
 * To be called from on_request only.
 *
 * Return: the value, valid as long as @rq, or NULL if the header is missing.
 */
const char *httpd_req_header (const struct httpd_req *rq, const char *name);

/** struct httpd_conf - for httpd_new(); the strings must outlive the server */
struct httpd_conf
{
  /* "ip:port"; port 0 selects a free one. */
  const char *addr;
  /* Maximum bytes of a request body; a larger one is answered with 413. */
  size_t max_body_bytes;
  /* PEM files of the certificate chain and its key; NULL: no TLS. */
  const char *cert_file;
  const char *key_file;
  /* Passed to the callbacks. */
  void *arg;
  /** on_request - A request has arrived, with its whole body. */
  void (*on_request) (void *arg, const struct httpd_req *rq);
  /**
   * on_disconnect - The connection was closed before httpd_answer() or
   * httpd_end() was called for the request.
   */
  void (*on_disconnect) (void *arg, uint64_t id);
  /**
   * on_drained - Buffered data of a streamed response has been sent, so more
   * may be passed to httpd_chunk().  May be NULL.
   */
  void (*on_drained) (void *arg, uint64_t id);
};

/**
 * httpd_new() - Create a server that listens.
 * @err: set to 0, or to a negative libuv error
 *
 * Return: the server, which lives as long as the process, or NULL on an error.
 */
struct httpd *httpd_new (uv_loop_t *loop, const struct httpd_conf *conf,
                         int *err);
/** httpd_addr() - Return: "ip:port" that @d listens on, owned by @d. */
const char *httpd_addr (const struct httpd *d);

/**
 * httpd_reload() - Read certificate and key again, for new connections.
 *
 * Return: 0, or -1 if they cannot be used; the server then keeps the old ones.
 */
int httpd_reload (struct httpd *d);

/**
 * httpd_stop() - Accept no more connections and close the idle ones.
 *
 * Pending requests are not affected.
 */
void httpd_stop (struct httpd *d);

/** httpd_n_pending() - Return: number of requests without a complete response.
 */
size_t httpd_n_pending (const struct httpd *d);

/**
 * httpd_answer() - Send a whole response.
 * @type: Content-Type, or NULL
 * @body: copied
 * @retry_ms: sent as Retry-After, rounded up to seconds; 0: no such header
 */
void httpd_answer (struct httpd *d, uint64_t id, int status, const char *type,
                   const char *body, size_t len, int64_t retry_ms);

/** httpd_begin() - Start a streamed response; @type may be NULL. */
void httpd_begin (struct httpd *d, uint64_t id, int status, const char *type);

/**
 * httpd_chunk() - Send a piece of a streamed response.
 * @data: copied
 *
 * Return: number of bytes not yet sent, for flow control by the caller; 0 if
 * the request has ended.
 */
size_t httpd_chunk (struct httpd *d, uint64_t id, const char *data,
                    size_t len);

/**
 * httpd_end() - End a streamed response.
 * @complete: false aborts it, so that the client sees that it is incomplete
 */
void httpd_end (struct httpd *d, uint64_t id, bool complete);

#endif
