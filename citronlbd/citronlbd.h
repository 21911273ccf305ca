/**
 * DOC: The daemon's tasks.  Each owns its sockets and state; they meet in the
 * node, whose typed messages process_outputs() carries from one to the other.
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
  PERMITTED_MAX = 8, /* public keys that peers may show */
};

/** struct options - the checked settings */
struct options
{
  struct settings node;
  char listen[CLB_ADDR_MAX];
  char peer_listen[CLB_ADDR_MAX];
  char platform[CLB_ADDR_MAX];
  const char *cert;
  const char *key;
  bool insecure_peers;
  char peer_public[KEY_Z85_SIZE];
  char peer_secret[KEY_Z85_SIZE];
  char permitted[PERMITTED_MAX][KEY_Z85_SIZE];
  int n_permitted;
  const char *fleet_file; /* settings of the fleet's platform, or NULL */
  const char *addr_file;  /* where the bound addresses are written */
};

/**
 * options_read() - Flags, then CITRONLB_* variables, all checked.
 *
 * Names what is wrong on standard error and exits with 64 for usage and 78
 * for a setting.
 */
void options_read (int argc, char **argv, struct options *opt);

struct daemon;
struct serve;

/** struct daemon - the loop and its tasks */
struct daemon
{
  struct options opt;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_signal_t sigterm;
  uv_signal_t sigint;
  uv_signal_t sighup;
  struct node node;
  struct httpc *http; /* to platform, workers and executors */
  struct links *peers;
  uint64_t damaged_messages; /* of peers, passed over */
  struct serve *serve;
  bool processing_outputs;
  bool stopping;
};

int64_t now_ms (void);
/** pump() - Carry out what the node wants done. */
void process_outputs (struct daemon *d);

/* peers.c: links between entry instances */

/** peers_new() - Binds; NULL with the errno's text on standard error. */
struct links *peers_new (struct daemon *d);
void peers_send (struct daemon *d, const char *to, const char *addr,
                 const struct pmsg *m);

/* platform.c: table, objects, list */
void platform_send (struct daemon *d, uint64_t token,
                    const struct store_op *op);

/* backend.c: workers */
void backend_sync (struct daemon *d, const char *worker, const char *addr,
                   const struct sync_req *req);

/* serve.c: callers, and service requests to executors */
struct serve *serve_new (struct daemon *d);
const char *serve_addr (const struct serve *s);
int serve_reload (struct serve *s);
void serve_output (struct serve *s, const struct out *o);
/** serve_stop() - True once no answer is in hand. */
bool serve_stop (struct serve *s);

/* log.c */
void log_open (void);
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
void log_event (const struct event *e);
void log_close (void);

#endif
