#include "links.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

enum
{
  /* Maximum number of messages queued for a peer that is unreachable or reads
     too slowly. */
  SEND_QUEUE_MAX = 10000,
  HEARTBEAT_INTERVAL_MS = 1000,
  /* Time without an answer to a heartbeat after which ZeroMQ closes the
     connection. */
  HEARTBEAT_TIMEOUT_MS = 3000,
  /* Maximum number of bytes in a message.  ZeroMQ closes the connection of a
     peer that sends a longer one. */
  MESSAGE_MAX = 4 << 20,
  /* First interval between attempts to reconnect to a peer; later intervals
     are longer. */
  RECONNECT_INTERVAL_MS = 100,
  /* Maximum interval between attempts to reconnect to a peer. */
  RECONNECT_INTERVAL_MAX_MS = 1000,
  /* Maximum number of links.  To open one more, the oldest link is closed. */
  LINKS_MAX = 128,
  /* Maximum number of messages that one call of receive_batch() receives. */
  RECEIVE_BATCH_MAX = 64,
};

/* struct link - connection to one peer for sending messages */
struct link
{
  char id[LINKS_ID_SIZE];
  char addr[LINKS_ADDR_SIZE];
  void *socket;
};

struct links
{
  struct links_conf conf;
  /* ZeroMQ context. */
  void *ctx;
  /* ROUTER socket that receives the messages of all peers. */
  void *router;
  /* REP socket of the ZAP handler (ZeroMQ RFC 27).  ZeroMQ asks the handler
     whether a public key may connect.  NULL without encryption. */
  void *zap;
  uv_poll_t router_poll;
  uv_poll_t zap_poll;
  uv_prepare_t prepare;
  /* Active while the router socket may contain more messages, so that the
     event loop does not wait for input. */
  uv_idle_t idle;
  /* The links, the oldest one first. */
  struct link entries[LINKS_MAX];
  int n_entries;
  /* Address that the router socket is bound to, as "ip:port". */
  char addr[LINKS_ADDR_SIZE + 8];
};

static void
set_int_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

/* Sets the socket options that the router and all links share. */
static void
set_common_options (void *socket)
{
  set_int_option (socket, ZMQ_LINGER, 0);
  set_int_option (socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
  set_int_option (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
  set_int_option (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS);
  int64_t limit = MESSAGE_MAX;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &limit, sizeof limit);
}

/* Returns true if the public key @raw is permitted to connect.  A key must
   have 32 bytes. */
static bool
key_is_permitted (const struct links_conf *conf, const void *raw, size_t len)
{
  char z85[LINKS_KEY_SIZE];

  if (len != 32 || !zmq_z85_encode (z85, raw, len))
    return false;
  for (int i = 0; i < conf->n_permitted; i++)
    if (strcmp (conf->permitted_keys[i], z85) == 0)
      return true;
  return false;
}

/* enum zap_frame - indexes of the frames of a ZAP request */
enum zap_frame
{
  ZAP_VERSION,
  ZAP_REQUEST_ID,
  ZAP_DOMAIN,
  ZAP_ADDRESS,
  ZAP_IDENTITY,
  ZAP_MECHANISM,
  ZAP_KEY,
  ZAP_N_FRAMES
};

/* Replies to ZAP request @id, with status 200 to admit the peer or 400 to
   reject it. */
static void
zap_reply (struct links *links, const zmq_msg_t *id, bool admit)
{
  zmq_msg_t copy;

  zmq_msg_init (&copy);
  zmq_msg_copy (&copy, (zmq_msg_t *)id);
  zmq_send (links->zap, "1.0", 3, ZMQ_SNDMORE);
  zmq_msg_send (&copy, links->zap, ZMQ_SNDMORE);
  zmq_send (links->zap, admit ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (links->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (links->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (links->zap, "", 0, 0);
}

/* Receives one ZAP request and replies to it.  Returns false if none is
   queued. */
static bool
zap_handle_request (struct links *links)
{
  zmq_msg_t frames[ZAP_N_FRAMES];
  int n = 0;
  int more = 1;
  bool admit;

  while (more && n < ZAP_N_FRAMES)
    {
      zmq_msg_init (&frames[n]);
      if (zmq_msg_recv (&frames[n], links->zap, ZMQ_DONTWAIT) < 0)
        break;
      more = zmq_msg_more (&frames[n]);
      n++;
    }
  if (n == 0)
    return false;
  admit = n == ZAP_N_FRAMES
          && key_is_permitted (&links->conf, zmq_msg_data (&frames[ZAP_KEY]),
                               zmq_msg_size (&frames[ZAP_KEY]));
  if (n > ZAP_REQUEST_ID)
    zap_reply (links, &frames[ZAP_REQUEST_ID], admit);
  for (int i = 0; i < n; i++)
    zmq_msg_close (&frames[i]);
  return true;
}

/* Receives one message and passes its body to on_message.  A message consists
   of two frames: the sender's routing id and the body.  Returns false if no
   message is queued. */
static bool
receive_message (struct links *links)
{
  zmq_msg_t msg;
  int more = 1;
  int frame_index = 0;

  while (more)
    {
      zmq_msg_init (&msg);
      if (zmq_msg_recv (&msg, links->router, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&msg);
          return false;
        }
      more = zmq_msg_more (&msg);
      if (frame_index == 1)
        links->conf.on_message (links->conf.arg, zmq_msg_data (&msg),
                                zmq_msg_size (&msg));
      frame_index++;
      zmq_msg_close (&msg);
    }
  return true;
}

static void on_idle (uv_idle_t *idle);

/* Receives at most RECEIVE_BATCH_MAX messages, so that a peer that sends
   without pause does not block the other work of the event loop.  If more
   messages may be queued, the idle handle makes the event loop continue
   without waiting for input. */
static void
receive_batch (struct links *links)
{
  int n = 0;

  while (links->zap && zap_handle_request (links))
    continue;
  while (n < RECEIVE_BATCH_MAX && receive_message (links))
    n++;
  if (n == RECEIVE_BATCH_MAX)
    uv_idle_start (&links->idle, on_idle);
  else
    uv_idle_stop (&links->idle);
  if (n && links->conf.on_received)
    links->conf.on_received (links->conf.arg);
}

static void
on_idle (uv_idle_t *idle)
{
  (void)idle; /* on_prepare() runs next and receives more. */
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  (void)status;
  (void)events;
  receive_batch (poll->data);
}

/* Called before each time that the event loop waits for input.  The file
   descriptor of a ZeroMQ socket is edge-triggered, so the socket is read here
   as well as in on_poll(). */
static void
on_prepare (uv_prepare_t *prepare)
{
  receive_batch (prepare->data);
}

/* Polls a ZeroMQ socket for input. */
static void
poll_socket (struct links *links, void *socket, uv_poll_t *poll)
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &size);
  uv_poll_init (links->conf.loop, poll, fd);
  poll->data = links;
  uv_poll_start (poll, UV_READABLE, on_poll);
}

/* Opens and binds the router socket, and the socket of the ZAP handler if the
   links are encrypted.  Returns 0, or -1 with errno set. */
static int
open_router (struct links *links)
{
  const struct links_conf *conf = &links->conf;
  char url[LINKS_ADDR_SIZE + 8];
  size_t size = sizeof links->addr;

  links->router = zmq_socket (links->ctx, ZMQ_ROUTER);
  set_common_options (links->router);
  if (conf->public_key)
    {
      links->zap = zmq_socket (links->ctx, ZMQ_REP);
      if (zmq_bind (links->zap, "inproc://zeromq.zap.01"))
        return -1;
      set_int_option (links->router, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (links->router, ZMQ_CURVE_SECRETKEY, conf->secret_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (links->router, ZMQ_ZAP_DOMAIN, "peers", 5);
    }
  snprintf (url, sizeof url, "tcp://%s", conf->listen_addr);
  if (zmq_bind (links->router, url))
    return -1;
  zmq_getsockopt (links->router, ZMQ_LAST_ENDPOINT, links->addr, &size);
  memmove (links->addr, links->addr + strlen ("tcp://"),
           strlen (links->addr + strlen ("tcp://")) + 1);
  return 0;
}

struct links *
links_new (const struct links_conf *conf)
{
  struct links *links = calloc (1, sizeof *links);

  if (!links)
    abort ();
  links->conf = *conf;
  links->ctx = zmq_ctx_new ();
  if (open_router (links))
    {
      fprintf (stderr, "%s: %s\n", conf->listen_addr, zmq_strerror (errno));
      return NULL;
    }
  poll_socket (links, links->router, &links->router_poll);
  if (links->zap)
    poll_socket (links, links->zap, &links->zap_poll);
  uv_prepare_init (conf->loop, &links->prepare);
  links->prepare.data = links;
  uv_idle_init (conf->loop, &links->idle);
  uv_prepare_start (&links->prepare, on_prepare);
  return links;
}

const char *
links_addr (const struct links *links)
{
  return links->addr;
}

/* Closes the connection of @link, if there is one, and connects @link to
   @addr. */
static void
link_open (struct links *links, struct link *link, const char *addr)
{
  const struct links_conf *conf = &links->conf;
  char url[LINKS_ADDR_SIZE + 8];

  if (link->socket)
    zmq_close (link->socket);
  snprintf (link->addr, sizeof link->addr, "%s", addr);
  link->socket = zmq_socket (links->ctx, ZMQ_DEALER);
  set_common_options (link->socket);
  if (conf->public_key)
    {
      zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, conf->public_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, conf->public_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, conf->secret_key,
                      LINKS_KEY_SIZE);
    }
  snprintf (url, sizeof url, "tcp://%s", addr);
  zmq_connect (link->socket, url);
}

/* Returns the link to peer @id at address @addr, and opens it if necessary. */
static struct link *
link_to (struct links *links, const char *id, const char *addr)
{
  struct link *link;

  for (int i = 0; i < links->n_entries; i++)
    if (strcmp (links->entries[i].id, id) == 0)
      {
        if (strcmp (links->entries[i].addr, addr) != 0)
          link_open (links, &links->entries[i], addr);
        return &links->entries[i];
      }
  if (links->n_entries == LINKS_MAX)
    {
      /* The oldest link is to an instance that was replaced long ago. */
      zmq_close (links->entries[0].socket);
      memmove (links->entries, links->entries + 1,
               (LINKS_MAX - 1) * sizeof *link);
      links->n_entries--;
    }
  link = &links->entries[links->n_entries++];
  memset (link, 0, sizeof *link);
  snprintf (link->id, sizeof link->id, "%s", id);
  link_open (links, link, addr);
  return link;
}

void
links_send (struct links *links, const char *to, const char *addr,
            const char *buf, size_t len)
{
  /* With ZMQ_DONTWAIT, ZeroMQ drops the message if the peer's queue is full.
     The sender sends the message again if it gets no reply. */
  if (*addr)
    zmq_send (link_to (links, to, addr)->socket, buf, len, ZMQ_DONTWAIT);
}

void
links_free (struct links *links)
{
  uv_poll_stop (&links->router_poll);
  uv_prepare_stop (&links->prepare);
  uv_idle_stop (&links->idle);
  if (links->zap)
    uv_poll_stop (&links->zap_poll);
  for (int i = 0; i < links->n_entries; i++)
    zmq_close (links->entries[i].socket);
  zmq_close (links->router);
  if (links->zap)
    zmq_close (links->zap);
  zmq_ctx_term (links->ctx);
  free (links);
}
