#include "links.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

enum
{
  SEND_QUEUE = 10000, /* messages kept for a peer that is away */
  HEARTBEAT_MS = 1000,
  HEARTBEAT_TIMEOUT_MS = 3000,
  MESSAGE_MAX = 4 << 20, /* bytes */
  RECONNECT_MS = 100,
  RECONNECT_MAX_MS = 1000,
  IDLE_LINKS_MAX = 128,
  RECEIVE_MAX = 64, /* messages in one turn of the loop */
};

struct link
{
  char id[LINKS_ID_SIZE];
  char addr[LINKS_ADDR_SIZE];
  void *sock;
};

struct links
{
  struct links_conf conf;
  void *ctx;
  void *router;
  void *zap; /* answers which public keys may connect */
  uv_poll_t router_poll;
  uv_poll_t zap_poll;
  uv_prepare_t prepare;
  uv_idle_t idle; /* runs while messages are left over */
  struct link links[IDLE_LINKS_MAX];
  int n_links;
  char addr[LINKS_ADDR_SIZE + 8];
};

static void
set_int (void *sock, int option, int value)
{
  zmq_setsockopt (sock, option, &value, sizeof value);
}

static void
set_common (void *sock)
{
  set_int (sock, ZMQ_LINGER, 0);
  set_int (sock, ZMQ_SNDHWM, SEND_QUEUE);
  set_int (sock, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
  set_int (sock, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_int (sock, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int (sock, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  int64_t limit = MESSAGE_MAX;
  zmq_setsockopt (sock, ZMQ_MAXMSGSIZE, &limit, sizeof limit);
}

/* Whether a public key, as 32 bytes, is one of the permitted. */
static bool
permitted (const struct links_conf *conf, const void *raw, size_t len)
{
  char z85[LINKS_KEY_SIZE];

  if (len != 32 || !zmq_z85_encode (z85, raw, len))
    return false;
  for (int i = 0; i < conf->n_permitted; i++)
    if (strcmp (conf->permitted_keys[i], z85) == 0)
      return true;
  return false;
}

enum zap_frame
{
  ZAP_VERSION,
  ZAP_REQUEST_ID,
  ZAP_DOMAIN,
  ZAP_ADDRESS,
  ZAP_IDENTITY,
  ZAP_MECHANISM,
  ZAP_KEY,
  ZAP_FRAMES
};

static void
zap_answer (struct links *p, const zmq_msg_t *id, bool yes)
{
  zmq_msg_t copy;

  zmq_msg_init (&copy);
  zmq_msg_copy (&copy, (zmq_msg_t *)id);
  zmq_send (p->zap, "1.0", 3, ZMQ_SNDMORE);
  zmq_msg_send (&copy, p->zap, ZMQ_SNDMORE);
  zmq_send (p->zap, yes ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (p->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (p->zap, "", 0, ZMQ_SNDMORE);
  zmq_send (p->zap, "", 0, 0);
}

static bool
zap_one (struct links *p)
{
  zmq_msg_t frames[ZAP_FRAMES];
  int n = 0;
  int more = 1;
  bool yes;

  while (more && n < ZAP_FRAMES)
    {
      zmq_msg_init (&frames[n]);
      if (zmq_msg_recv (&frames[n], p->zap, ZMQ_DONTWAIT) < 0)
        break;
      more = zmq_msg_more (&frames[n]);
      n++;
    }
  if (n == 0)
    return false;
  yes = n == ZAP_FRAMES
        && permitted (&p->conf, zmq_msg_data (&frames[ZAP_KEY]),
                      zmq_msg_size (&frames[ZAP_KEY]));
  if (n > ZAP_REQUEST_ID)
    zap_answer (p, &frames[ZAP_REQUEST_ID], yes);
  for (int i = 0; i < n; i++)
    zmq_msg_close (&frames[i]);
  return true;
}

/* A message is the sender's routing id, then the body. */
static bool
receive_one (struct links *p)
{
  zmq_msg_t msg;
  int more = 1;
  int frame = 0;

  while (more)
    {
      zmq_msg_init (&msg);
      if (zmq_msg_recv (&msg, p->router, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&msg);
          return false;
        }
      more = zmq_msg_more (&msg);
      if (frame == 1)
        p->conf.on_message (p->conf.arg, zmq_msg_data (&msg),
                            zmq_msg_size (&msg));
      frame++;
      zmq_msg_close (&msg);
    }
  return true;
}

static void on_idle (uv_idle_t *idle);

/* Whoever sends without a pause must not keep the loop from its other work.
   Idle handles run in each turn and let the loop not wait. */
static void
receive_some (struct links *p)
{
  int n = 0;

  while (p->zap && zap_one (p))
    continue;
  while (n < RECEIVE_MAX && receive_one (p))
    n++;
  if (n == RECEIVE_MAX)
    uv_idle_start (&p->idle, on_idle);
  else
    uv_idle_stop (&p->idle);
  if (n && p->conf.on_received)
    p->conf.on_received (p->conf.arg);
}

static void
on_idle (uv_idle_t *idle)
{
  /* The look before each wait follows. */
  (void)idle;
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  (void)status;
  (void)events;
  receive_some (poll->data);
}

/* ZeroMQ's descriptor tells only of changes: look before each wait too. */
static void
on_prepare (uv_prepare_t *prepare)
{
  receive_some (prepare->data);
}

static void
watch_socket (struct links *p, void *sock, uv_poll_t *poll)
{
  int fd = -1;
  size_t size = sizeof fd;

  zmq_getsockopt (sock, ZMQ_FD, &fd, &size);
  uv_poll_init (p->conf.loop, poll, fd);
  poll->data = p;
  uv_poll_start (poll, UV_READABLE, on_poll);
}

static int
open_router (struct links *p)
{
  const struct links_conf *conf = &p->conf;
  char url[LINKS_ADDR_SIZE + 8];
  size_t size = sizeof p->addr;

  p->router = zmq_socket (p->ctx, ZMQ_ROUTER);
  set_common (p->router);
  if (conf->public_key)
    {
      p->zap = zmq_socket (p->ctx, ZMQ_REP);
      if (zmq_bind (p->zap, "inproc://zeromq.zap.01"))
        return -1;
      set_int (p->router, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (p->router, ZMQ_CURVE_SECRETKEY, conf->secret_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (p->router, ZMQ_ZAP_DOMAIN, "peers", 5);
    }
  snprintf (url, sizeof url, "tcp://%s", conf->listen);
  if (zmq_bind (p->router, url))
    return -1;
  zmq_getsockopt (p->router, ZMQ_LAST_ENDPOINT, p->addr, &size);
  memmove (p->addr, p->addr + strlen ("tcp://"),
           strlen (p->addr + strlen ("tcp://")) + 1);
  return 0;
}

struct links *
links_new (const struct links_conf *conf)
{
  struct links *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  p->conf = *conf;
  p->ctx = zmq_ctx_new ();
  if (open_router (p))
    {
      fprintf (stderr, "%s: %s\n", conf->listen, zmq_strerror (errno));
      return NULL;
    }
  watch_socket (p, p->router, &p->router_poll);
  if (p->zap)
    watch_socket (p, p->zap, &p->zap_poll);
  uv_prepare_init (conf->loop, &p->prepare);
  p->prepare.data = p;
  uv_idle_init (conf->loop, &p->idle);
  uv_prepare_start (&p->prepare, on_prepare);
  return p;
}

const char *
links_addr (const struct links *p)
{
  return p->addr;
}

static void
link_open (struct links *p, struct link *l, const char *addr)
{
  const struct links_conf *conf = &p->conf;
  char url[LINKS_ADDR_SIZE + 8];

  if (l->sock)
    zmq_close (l->sock);
  snprintf (l->addr, sizeof l->addr, "%s", addr);
  l->sock = zmq_socket (p->ctx, ZMQ_DEALER);
  set_common (l->sock);
  if (conf->public_key)
    {
      zmq_setsockopt (l->sock, ZMQ_CURVE_SERVERKEY, conf->public_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (l->sock, ZMQ_CURVE_PUBLICKEY, conf->public_key,
                      LINKS_KEY_SIZE);
      zmq_setsockopt (l->sock, ZMQ_CURVE_SECRETKEY, conf->secret_key,
                      LINKS_KEY_SIZE);
    }
  snprintf (url, sizeof url, "tcp://%s", addr);
  zmq_connect (l->sock, url);
}

static struct link *
link_to (struct links *p, const char *id, const char *addr)
{
  struct link *l;

  for (int i = 0; i < p->n_links; i++)
    if (strcmp (p->links[i].id, id) == 0)
      {
        if (strcmp (p->links[i].addr, addr) != 0)
          link_open (p, &p->links[i], addr);
        return &p->links[i];
      }
  if (p->n_links == IDLE_LINKS_MAX)
    {
      /* The oldest link is to an instance that was replaced long ago. */
      zmq_close (p->links[0].sock);
      memmove (p->links, p->links + 1, (IDLE_LINKS_MAX - 1) * sizeof *l);
      p->n_links--;
    }
  l = &p->links[p->n_links++];
  memset (l, 0, sizeof *l);
  snprintf (l->id, sizeof l->id, "%s", id);
  link_open (p, l, addr);
  return l;
}

void
links_send (struct links *p, const char *to, const char *addr, const char *buf,
            size_t len)
{
  /* A full queue drops the message; its sender asks again. */
  if (*addr)
    zmq_send (link_to (p, to, addr)->sock, buf, len, ZMQ_DONTWAIT);
}

void
links_free (struct links *p)
{
  uv_poll_stop (&p->router_poll);
  uv_prepare_stop (&p->prepare);
  uv_idle_stop (&p->idle);
  if (p->zap)
    uv_poll_stop (&p->zap_poll);
  for (int i = 0; i < p->n_links; i++)
    zmq_close (p->links[i].sock);
  zmq_close (p->router);
  if (p->zap)
    zmq_close (p->zap);
  zmq_ctx_term (p->ctx);
  free (p);
}
