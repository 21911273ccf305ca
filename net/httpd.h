/**
 * DOC: This module is the HTTP server of the daemon and of the test programs.
 * It uses libh2o and a libuv loop.  It speaks HTTP/1.1 and, under TLS, HTTP/2.
 *
 * Each request has an id.  A response is sent whole with httpd_answer(), or
 * piece by piece with httpd_begin(), httpd_chunk() and httpd_end().  These
 * four functions do nothing if the request with the given id has ended.
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
 * The strings and the body are valid until the response has been sent or
 * on_disconnect has been called.
 */
struct httpd_req
{
  /* Id of the request: never 0, and not used again by this server. */
  uint64_t id;
  const char *method;
  /* Path of the URL, with the query. */
  const char *path;
  /* Value of the Authorization header, without "Bearer " at its start; NULL if
     the header is missing. */
  const char *bearer;
  /* Value of the X-Request-Id header; NULL if it is missing. */
  const char *request_id;
  /* Value of the Content-Type header; NULL if it is missing. */
  const char *content_type;
  /* Host that the request is addressed to, without the port; may be empty. */
  const char *host;
  /* Body of the request, not terminated; may be NULL if @body_len is 0. */
  const char *body;
  size_t body_len;
  /* Pointer that only the implementation of the server uses. */
  void *impl;
};

/**
 * httpd_req_header() - Look up a header that struct httpd_req has no member
 * for.
 * @name: name of the header in lower case
 *
 * May be called from on_request only.
 *
 * Return: the value of the header, valid as long as the strings of @rq, or
 * NULL if the header is missing.
 */
const char *httpd_req_header (const struct httpd_req *rq, const char *name);

/**
 * httpd_req_peer() - Write the IP address that a request comes from to @out,
 * as text; an empty string if it is not known.
 *
 * May be called from on_request only.
 */
void httpd_req_peer (const struct httpd_req *rq, char *out, size_t size);

/**
 * struct httpd_conf - settings of a server
 *
 * The strings must outlive the server.
 */
struct httpd_conf
{
  /* Address to listen on, as "ip:port"; port 0 selects a free one. */
  const char *addr;
  /* Maximum number of bytes in a request's body.  A request with a larger body
     is answered with status 413. */
  size_t max_body_bytes;
  /* PEM file of the certificate chain; NULL for no TLS. */
  const char *cert_file;
  /* PEM file of the certificate's private key. */
  const char *key_file;
  /* First argument of the callbacks. */
  void *arg;
  /** on_request - Called when a request has arrived with its whole body. */
  void (*on_request) (void *arg, const struct httpd_req *rq);
  /**
   * on_disconnect - Called when the connection was closed before
   * httpd_answer() or httpd_end() was called for request @id.
   */
  void (*on_disconnect) (void *arg, uint64_t id);
  /**
   * on_drained - Called when buffered data of the streamed response to request
   * @id has been sent, so that more may be passed to httpd_chunk().  May be
   * NULL.
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

/**
 * httpd_addr() - Return: the address that @d listens on, as "ip:port"; owned
 * by @d.
 */
const char *httpd_addr (const struct httpd *d);

/**
 * httpd_reload() - Read the certificate and the key again, for use by new
 * connections.
 *
 * Return: 0, or -1 if they cannot be used; the server then keeps the old ones.
 */
int httpd_reload (struct httpd *d);

/**
 * httpd_stop() - Stop accepting connections and close the idle ones.
 *
 * Pending requests are not affected.
 */
void httpd_stop (struct httpd *d);

/**
 * httpd_n_pending() - Return: the number of requests that have no complete
 * response yet.
 */
size_t httpd_n_pending (const struct httpd *d);

/**
 * httpd_answer() - Send a whole response.
 * @id: id of the request
 * @status: HTTP status
 * @content_type: value of the Content-Type header, or NULL for none
 * @body: body of the response, with @len bytes; the function copies it
 * @retry_ms: value of the Retry-After header in milliseconds, sent in seconds
 *            and rounded up; 0 for no such header, less for the value 0
 */
void httpd_answer (struct httpd *d, uint64_t id, int status,
                   const char *content_type, const char *body, size_t len,
                   int64_t retry_ms);

/**
 * httpd_begin() - Start a streamed response.
 * @content_type: value of the Content-Type header, or NULL for none
 */
void httpd_begin (struct httpd *d, uint64_t id, int status,
                  const char *content_type);

/**
 * httpd_chunk() - Send a piece of a streamed response.
 * @data: the piece, with @len bytes; the function copies it
 *
 * Return: the number of bytes of the response that are not sent yet, for flow
 * control by the caller; 0 if the request has ended.
 */
size_t httpd_chunk (struct httpd *d, uint64_t id, const char *data,
                    size_t len);

/**
 * httpd_end() - End a streamed response.
 * @complete: false aborts the response, so that the client sees that it is
 *            incomplete
 */
void httpd_end (struct httpd *d, uint64_t id, bool complete);

#endif
