/**
 * DOC: Links between instances, over ZeroMQ, with CURVE encryption if keys are
 * given.  One ROUTER socket receives from all peers; one DEALER socket per
 * peer sends.  ZeroMQ's heartbeats detect a dead link and reconnect it.
 */
#ifndef LINKS_H
#define LINKS_H

#include <stddef.h>
#include <stdbool.h>
#include <uv.h>

enum
{
  /* A CURVE key in Z85, with the terminating NUL. */
  LINKS_KEY_SIZE = 41,
  LINKS_ID_SIZE = 96,
  LINKS_ADDR_SIZE = 64,
};

struct links;

/** struct links_conf - for links_new(); the strings must outlive the links */
struct links_conf
{
  uv_loop_t *loop;
  /* "ip:port"; port 0 selects a free one. */
  const char *listen_addr;
  /* Key pair in Z85, which all peers share: as a client, an instance expects
     its own public key of the server.  NULL: clear text, open to every peer.
   */
  const char *public_key;
  const char *secret_key;
  /* Public keys that may connect. */
  const char (*permitted_keys)[LINKS_KEY_SIZE];
  int n_permitted;
  /* Passed to the callbacks. */
  void *arg;
  /** on_message - A message has arrived; @buf is borrowed. */
  void (*on_message) (void *arg, const char *buf, size_t len);
  /** on_received - Called after each batch of on_message.  May be NULL. */
  void (*on_received) (void *arg);
};

/**
 * links_new() - Open the links and listen.
 *
 * Return: the links, or NULL after a message on standard error.
 */
struct links *links_new (const struct links_conf *conf);

/** links_addr() - Return: "ip:port" that @l listens on, owned by @l. */
const char *links_addr (const struct links *l);

/**
 * links_send() - Send a message to a peer.
 * @to: id of the peer
 * @addr: its "ip:port"; the link is opened again if it has changed.  Empty:
 *        the message is dropped
 * @buf: copied
 *
 * Delivery is not guaranteed: the message is dropped if the peer's queue is
 * full.
 */
void links_send (struct links *l, const char *to, const char *addr,
                 const char *buf, size_t len);

/** links_free() - Close all links; messages not yet sent are dropped. */
void links_free (struct links *l);

#endif
