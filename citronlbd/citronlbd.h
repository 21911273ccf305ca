/**
 * DOC: This header declares the modules of the daemon.  Each module owns its
 * sockets and its state and passes input to struct node, which does no input
 * or output of its own.  The node queues outputs, and process_outputs() passes
 * each output to the module that sends it.
 */
#ifndef CITRONLBD_H
#define CITRONLBD_H

#include <uv.h>

#include "httpc.h"
#include "httpd.h"
#include "links.h"
#include "node.h"

enum
{
  /* Size of a key in Z85 encoding, with the terminating NUL. */
  KEY_Z85_SIZE = LINKS_KEY_SIZE,
  /* Maximum number of public keys that peers may use to connect to an
     instance. */
  PERMITTED_KEYS_MAX = 8,
};

/** struct options - the settings of the daemon, after they were checked */
struct options
{
  /* Settings of the node. */
  struct settings node;
  /* Address on which the daemon listens for callers, as "ip:port". */
  char listen_addr[CLB_ADDR_MAX];
  /* Address on which the daemon listens for links from other instances, as
     "ip:port". */
  char peer_listen_addr[CLB_ADDR_MAX];
  /* Address of the platform's service, as "ip:port". */
  char platform_addr[CLB_ADDR_MAX];
  /* PEM file of the certificate chain; NULL for no TLS. */
  const char *cert_file;
  /* PEM file of the certificate's private key; NULL for no TLS. */
  const char *key_file;
  /* True if the links between instances are in clear text; the keys for the
     links are then empty. */
  bool insecure_peers;
  /* Public key that this instance uses on the links between instances. */
  char peer_public_key[KEY_Z85_SIZE];
  /* Secret key that this instance uses on the links between instances. */
  char peer_secret_key[KEY_Z85_SIZE];
  /* Public keys of the instances that may connect to this one. */
  char permitted_peer_keys[PERMITTED_KEYS_MAX][KEY_Z85_SIZE];
  int n_permitted_peer_keys;
  /* Path of the settings file of the fleet's platform; NULL if the daemon does
     not run on that platform.  If it is set, no other member is set. */
  const char *fleet_file;
  /* Path of the file that the bound addresses are written to; NULL for none.
   */
  const char *addr_file;
};

/**
 * options_read() - Read and check the settings.
 *
 * A flag takes precedence over its CITRONLB_* environment variable.  On an
 * error, the function writes to standard error which setting is wrong and
 * exits, with status 64 for wrong usage and 78 for a wrong setting.
 */
void options_read (int argc, char **argv, struct options *opt);

struct daemon;
struct caller_server;

/** struct daemon - the event loop, the node and the daemon's modules */
struct daemon
{
  struct options opt;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  uv_signal_t sighup;
  struct node node;
  /* HTTP client that sends requests to the platform's service, workers and
     executors. */
  struct httpc *http_client;
  /* Links to the other entry instances. */
  struct links *peer_links;
  /* Number of messages of peers that could not be decoded and were ignored. */
  uint64_t damaged_messages;
  /* HTTP server that receives the requests of callers. */
  struct caller_server *caller_server;
  /* True while process_outputs() is running. */
  bool processing_outputs;
  /* True once a signal to stop has arrived. */
  bool stopping;
};

/** now_ms() - Return: the time of the monotonic clock in milliseconds. */
int64_t now_ms (void);

/**
 * process_outputs() - Carry out the node's queued outputs.
 *
 * This function must be called after each input to the node.  A nested call
 * returns at once, as the outer call also carries out the new outputs.
 */
void process_outputs (struct daemon *d);

/* peers.c sends and receives the messages between entry instances. */

/**
 * peers_new() - Open the links and listen for peers.
 *
 * Return: the links, or NULL after a message on standard error.
 */
struct links *peers_new (struct daemon *d);

/**
 * peers_send() - Send a message to a peer; delivery is not guaranteed.
 * @to: id of the peer
 * @addr: address of the peer, as "ip:port"; the message is dropped if the
 *        address is empty
 */
void peers_send (struct daemon *d, const char *to, const char *addr,
                 const struct pmsg *m);

/* platform.c sends operations to the platform's table service, object store
   and instance list. */

/**
 * platform_send() - Send a store operation to the platform's service.
 * @token: identifies the operation; passed to node_store() with the reply
 *
 * The function copies what it needs of @op.
 */
void platform_send (struct daemon *d, uint64_t token,
                    const struct store_op *op);

/* backend.c sends syncs to workers and executors. */

/**
 * backend_sync() - Send a sync to a worker or executor.
 * @worker: id of the worker or executor
 * @addr: address of the worker or executor, as "ip:port"
 *
 * The reply is passed to node_sync(), or NULL if no valid reply arrived.
 */
void backend_sync (struct daemon *d, const char *worker, const char *addr,
                   const struct sync_req *req);

/* serve.c receives the requests of callers over HTTP and forwards service
   requests to executors. */

/**
 * caller_server_new() - Create the HTTP server for callers.
 *
 * Return: the server, or NULL after a message on standard error.
 */
struct caller_server *caller_server_new (struct daemon *d);

/**
 * caller_server_addr() - Return: the address that @s listens on, as "ip:port";
 * owned by @s.
 */
const char *caller_server_addr (const struct caller_server *s);

/**
 * caller_server_reload() - Read the TLS certificate and key again.
 *
 * Return: 0, or -1 if they cannot be used; the old ones then stay in use.
 */
int caller_server_reload (struct caller_server *s);

/**
 * caller_server_output() - Carry out one output of the node that concerns
 * callers.
 */
void caller_server_output (struct caller_server *s, const struct out *o);

/**
 * caller_server_stop() - Stop listening and end the responses to all watchers.
 *
 * The function may be called again to find out whether requests are still
 * pending.
 *
 * Return: true once no request is pending.
 */
bool caller_server_stop (struct caller_server *s);

/* log.c writes log lines to standard error. */

/** log_open() - Open the log; without it, log_info() writes nothing. */
void log_open (void);

/** log_info() - Write one log line at the priority INFO. */
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

/**
 * log_event() - Write a log line if decision @e changes the state of the
 * instance, of a worker or of the configuration.
 *
 * All other decisions are counted but not logged.
 */
void log_event (const struct event *e);

/** log_close() - Close the log. */
void log_close (void);

#endif
