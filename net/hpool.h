/**
 * DOC: HTTP/1.1 client for many small requests to many servers, over
 * connections that are kept open.  A request costs one write and one read; the
 * module uses http-parser to read responses, and libuv.
 *
 * Unlike net/httpc.h it never sends a request twice: if a kept connection
 * turns out to be dead, the request fails.
 */
#ifndef HPOOL_H
#define HPOOL_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "httpc.h"

struct hpool;

/** struct hpool_conf - settings of a client; all numbers are positive */
struct hpool_conf
{
  /* Maximum number of connections to one server; further requests wait for one
     of them. */
  int max_per_host;
  /* Time for which an idle connection is kept. */
  int64_t idle_ms;
  /* Maximum time to connect. */
  int64_t connect_timeout_ms;
  /* IP address that connections leave from, copied; NULL: the system chooses
     one. */
  const char *local_ip;
  /**
   * on_source - Called when a connection is the first one, leaves from another
   * address than the one before, or cannot use @local_ip.  NULL: not called.
   * @arg: hpool_conf::arg
   * @ip: IP address that the connection leaves from, valid during the call
   * @error: 0, or the libuv error of the bind to @local_ip
   */
  void (*on_source) (void *arg, const char *ip, int error);
  /* First argument of on_source. */
  void *arg;
};

/**
 * struct hpool_req - a request, which uses method POST and has a JSON body
 *
 * hpool_send() copies what the pointers refer to, except for @arg.
 */
struct hpool_req
{
  const char *host; /* address of the server, "IP:PORT" */
  const char *path;
  /* Further headers, each ended with "\r\n"; may be empty. */
  const char *headers;
  const char *body;
  size_t body_len;
  /* Maximum time from hpool_send() to the end of the response. */
  int64_t timeout_ms;
  /* First argument of on_end. */
  void *arg;
  /**
   * on_end - Called exactly once, possibly before hpool_send() returns.
   * @result: enum httpc_result
   * @status: HTTP status; 0 if no complete response arrived
   * @body: the response's body, terminated with a NUL and valid during the
   *        call; empty if there is none
   * @len: number of bytes of the body
   */
  void (*on_end) (void *arg, int result, int status, const char *body,
                  size_t len);
};

/** struct hpool_stats - counters since the client was made */
struct hpool_stats
{
  uint64_t requests;
  uint64_t connections; /* connections that were opened */
};

/** hpool_new() - Make a client, which lives as long as the process. */
struct hpool *hpool_new (uv_loop_t *loop, const struct hpool_conf *conf);
/** hpool_send() - Start a request. */
void hpool_send (struct hpool *p, const struct hpool_req *rq);
/** hpool_addr_ok() - Return whether @name is an "IP:PORT" with a port from 1
 * to 65535. */
bool hpool_addr_ok (const char *name);
/** hpool_stats() - Return the counters; borrowed. */
const struct hpool_stats *hpool_stats (const struct hpool *p);

#endif
