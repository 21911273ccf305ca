/**
 * DOC: HTTP server of the daemon and the stand-ins, a thin face on libh2o.
 */
#ifndef HTTPD_H
#define HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct httpd;

/** struct httpd_req - a request; valid until its answer is done or
 * on_disconnect */
struct httpd_req
{
  uint64_t id; /* never reused by this server */
  const char *method;
  const char *path;       /* with the query, terminated */
  const char *bearer;     /* of the Authorization header, or NULL */
  const char *request_id; /* X-Request-Id, or NULL */
  const char *type;       /* Content-Type, or NULL */
  const char *host;       /* without the port; may be empty */
  const char *body;       /* not terminated */
  size_t body_len;
  void *impl;
};

/**
 * httpd_req_header() - Another header of the request, or NULL.
 * @name: in lower case
 *
 * Return: valid as long as @rq; call it only from on_request.
 */
const char *httpd_req_header (const struct httpd_req *rq, const char *name);

struct httpd_conf
{
  const char *addr; /* "ip:port"; port 0 takes a free one */
  size_t body_max;  /* bytes; larger bodies are refused with 413 */
  const char *cert; /* files of a PEM chain and key, or NULL for clear text */
  const char *key;
  void *arg;
  void (*on_request) (void *arg, const struct httpd_req *rq);
  /** on_disconnect - the connection went away before the answer was whole */
  void (*on_disconnect) (void *arg, uint64_t no);
  /** on_drained - a streamed answer may be sent more; may be NULL */
  void (*on_drained) (void *arg, uint64_t no);
};

/** httpd_new() - Listens at once; NULL and a negated errno in @err if not. */
struct httpd *httpd_new (uv_loop_t *loop, const struct httpd_conf *conf,
                         int *err);
/** httpd_addr() - "ip:port" that it listens on, owned by @d. */
const char *httpd_addr (const struct httpd *d);
/** httpd_reload() - Read certificate and key again.  0 or -1, old kept. */
int httpd_reload (struct httpd *d);
/** httpd_stop() - Take no more connections; requests in hand go on. */
void httpd_stop (struct httpd *d);

/** httpd_n_pending() - Requests whose answer is not done. */
size_t httpd_n_pending (const struct httpd *d);

/** httpd_answer() - The whole answer; unknown numbers are passed over. */
void httpd_answer (struct httpd *d, uint64_t no, int status, const char *type,
                   const char *body, size_t len, int64_t retry_ms);
/** httpd_begin() - The head of a streamed answer. */
void httpd_begin (struct httpd *d, uint64_t no, int status, const char *type);
/**
 * httpd_chunk() - More of a streamed answer; copied.
 *
 * Return: bytes not yet sent, for back-pressure; 0 when the caller is gone.
 */
size_t httpd_chunk (struct httpd *d, uint64_t no, const char *data,
                    size_t len);
/** httpd_end() - End of a streamed answer; not @whole breaks it off. */
void httpd_end (struct httpd *d, uint64_t no, bool whole);

#endif
