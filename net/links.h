/**
 * DOC: Links between instances: ZeroMQ, with CURVE where keys are given.  One
 * ROUTER socket takes in, one DEALER socket for each peer sends.  A link that
 * goes silent is found by ZeroMQ's own heartbeats and opened anew.
 */
#ifndef LINKS_H
#define LINKS_H

#include <stddef.h>
#include <stdbool.h>
#include <uv.h>

enum
{
  LINKS_KEY_SIZE = 41, /* a CURVE key as text, with NUL */
  LINKS_ID_SIZE = 96,
  LINKS_ADDR_SIZE = 64,
};

struct links;

/** struct links_conf - borrowed texts must outlive the links */
struct links_conf
{
  uv_loop_t *loop;
  const char *listen;     /* "ip:port" */
  const char *public_key; /* own key; NULL: clear text */
  const char *secret_key;
  const char (*permitted_keys)[LINKS_KEY_SIZE]; /* keys that peers may show */
  int n_permitted;
  void *arg;
  void (*on_message) (void *arg, const char *buf, size_t len);
  /** on_received - after the messages that came together; may be NULL */
  void (*on_received) (void *arg);
};

/** links_new() - Binds; NULL with the errno's text on standard error. */
struct links *links_new (const struct links_conf *conf);
/** links_addr() - "ip:port" that it listens on, owned by @l. */
const char *links_addr (const struct links *l);
/** links_send() - Drops the message if the peer's queue is full. */
void links_send (struct links *l, const char *to, const char *addr,
                 const char *buf, size_t len);
void links_free (struct links *l);

#endif
