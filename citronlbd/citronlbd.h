/**
 * DOC: The daemon's modules.  Each owns its sockets and state and passes its
 * input to struct node, which does no input or output of its own.  The node
 * queues outputs, which process_outputs() passes to the module that sends
 * them.
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
  KEY_Z85_SIZE = LINKS_KEY_SIZE,
  /* Public keys that may connect to an instance. */
  PERMITTED_MAX = 8,
};

/** struct options - the settings, checked */
struct options
{
  struct settings node;
  /* Address for callers, as "ip:port". */
  char listen[CLB_ADDR_MAX];
  /* Address for the links between instances. */
  char peer_listen[CLB_ADDR_MAX];
  /* Address of the platform's service. */
  char platform[CLB_ADDR_MAX];
  /* PEM files of the certificate chain and its key; both NULL: no TLS. */
  const char *cert;
  const char *key;
  /* Links between instances in clear text; the keys below are then empty. */
  bool insecure_peers;
  char peer_public[KEY_Z85_SIZE];
  char peer_secret[KEY_Z85_SIZE];
  /* Public keys that may connect. */
  char permitted[PERMITTED_MAX][KEY_Z85_SIZE];
  int n_permitted;
  /* Settings file of the fleet's platform, or NULL.  If set, no other member
     is set. */
  const char *fleet_file;
  /* File that the bound addresses are written to, or NULL. */
  const char *addr_file;
};

/**
 * options_read() - Read and check the settings.
 *
 * A flag takes precedence over its CITRONLB_* environment variable.  On an
 * error, prints which setting is wrong to standard error and exits: with 64
 * for wrong usage, with 78 for a wrong setting.
 */
void options_read (int argc, char **argv, struct options *opt);

struct daemon;
struct serve;

/** struct daemon - the event loop, the node and the modules around it */
struct daemon
{
  struct options opt;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  uv_signal_t sighup;
  struct node node;
  /* Client for the platform, workers and executors. */
  struct httpc *http;
  struct links *peers;
  /* Number of messages of peers that could not be decoded and were ignored. */
  uint64_t damaged_messages;
  struct serve *serve;
  /* process_outputs() is running. */
  bool processing_outputs;
  /* A signal to stop has arrived. */
  bool stopping;
};

/** now_ms() - Return: the monotonic clock in milliseconds. */
int64_t now_ms (void);

/**
 * process_outputs() - Carry out the node's queued outputs.
 *
 * To be called after each input to the node.  A nested call returns at once,
 * as the outer one also carries out the new outputs.
 */
void process_outputs (struct daemon *d);

/* peers.c: links between entry instances */

/**
 * peers_new() - Open the links and listen for peers.
 *
 * Return: the links, or NULL after a message on standard error.
 */
struct links *peers_new (struct daemon *d);

/**
 * peers_send() - Send a message to a peer; it may be lost.
 * @to: id of the peer
 * @addr: its "ip:port"; empty if unknown: the message is dropped
 */
void peers_send (struct daemon *d, const char *to, const char *addr,
                 const struct pmsg *m);

/* platform.c: table service, object store and instance list */

/**
 * platform_send() - Start a store operation.
 * @token: passed to node_store() with the answer
 */
void platform_send (struct daemon *d, uint64_t token,
                    const struct store_op *op);

/* backend.c: workers and executors */

/** backend_sync() - Send a sync; node_sync() gets the answer. */
void backend_sync (struct daemon *d, const char *worker, const char *addr,
                   const struct sync_req *req);

/* serve.c: requests of callers, and service requests to executors */

/**
 * serve_new() - Listen for callers.
 *
 * Return: the server, or NULL after a message on standard error.
 */
struct serve *serve_new (struct daemon *d);

/** serve_addr() - Return: "ip:port" that @s listens on, owned by @s. */
const char *serve_addr (const struct serve *s);

/**
 * serve_reload() - Read the TLS certificate and key again.
 *
 * Return: 0, or -1 if they cannot be used; the old ones then stay in use.
 */
int serve_reload (struct serve *s);

/** serve_output() - Carry out one output that concerns callers. */
void serve_output (struct serve *s, const struct out *o);

/**
 * serve_stop() - Stop listening and end all watches.
 *
 * May be called again, to find out whether pending requests are left.
 *
 * Return: true once no request is pending.
 */
bool serve_stop (struct serve *s);

/* log.c: log lines on standard error */

void log_open (void);

/** log_info() - Write one line, at the priority INFO. */
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

/**
 * log_event() - Write a line if @e changes the state of the instance, of a
 * worker or of the configuration; all other decisions are only counted.
 */
void log_event (const struct event *e);
void log_close (void);

#endif
