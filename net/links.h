/**
 * DOC: This module sends and receives messages between instances over ZeroMQ.
 * The links are encrypted with CURVE if keys are given.  One ROUTER socket
 * receives from all peers; one DEALER socket per peer sends.  ZeroMQ's
 * heartbeats detect a dead link and reconnect it.
 */
#ifndef LINKS_H
#define LINKS_H

#include <stddef.h>
#include <stdbool.h>
#include <uv.h>

enum
{
  /* Size of a CURVE key in Z85 encoding, with the terminating NUL. */
  LINKS_KEY_SIZE = 41,
  /* Size of a peer's id, with the terminating NUL. */
  LINKS_ID_SIZE = 96,
  /* Size of a peer's address, with the terminating NUL. */
  LINKS_ADDR_SIZE = 64,
};

struct links;

/**
 * struct links_conf - settings of the links
 *
 * The strings must outlive the links.
 */
struct links_conf
{
  uv_loop_t *loop;
  /* Address to listen on, as "ip:port"; port 0 selects a free one. */
  const char *listen_addr;
  /* Public key in Z85 encoding.  All instances share one key pair: an instance
     that connects to a peer expects the peer to have this public key.  NULL
     for links in clear text, on which every peer may connect. */
  const char *public_key;
  /* Secret key that belongs to the public key, in Z85 encoding. */
  const char *secret_key;
  /* Public keys of the peers that may connect. */
  const char (*permitted_keys)[LINKS_KEY_SIZE];
  int n_permitted;
  /* First argument of the callbacks. */
  void *arg;
  /**
   * on_message - Called with each message that has arrived; @buf is valid
   * during the call.
   */
  void (*on_message) (void *arg, const char *buf, size_t len);
  /**
   * on_received - Called after each batch of calls of on_message.  May be
   * NULL.
   */
  void (*on_received) (void *arg);
};

/**
 * links_new() - Open the links and listen.
 *
 * Return: the links, or NULL after a message on standard error.
 */
struct links *links_new (const struct links_conf *conf);

/**
 * links_addr() - Return: the address that @links listens on, as "ip:port";
 * owned by @links.
 */
const char *links_addr (const struct links *links);

/**
 * links_send() - Send a message to a peer.
 * @to: id of the peer
 * @addr: address of the peer, as "ip:port".  If the address has changed, the
 *        link is opened again; if it is empty, the message is dropped.
 * @buf: the message, with @len bytes; the function copies it
 *
 * Delivery is not guaranteed: the message is dropped if the peer's queue is
 * full.
 */
void links_send (struct links *links, const char *to, const char *addr,
                 const char *buf, size_t len);

/** links_free() - Close all links.  Messages not sent yet are dropped. */
void links_free (struct links *links);

#endif
