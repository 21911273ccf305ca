/*
 * soak-proxy - forwards TCP connections on loopback and injects network
 * faults.
 *
 * Each argument is a link, "LISTEN=TARGET", with two ports of 127.0.0.1. Links
 * are numbered from 0 in the order of the arguments.  A line of standard input
 * sets the mode of link N:
 *   N pass           forward bytes at once
 *   N delay MS       forward bytes MS ms later, in both directions
 *   N rate BYTES     forward BYTES bytes per ms from the target to the client,
 *                    on each connection
 *   N stall          forward nothing
 *   N stall-reply    forward nothing from the target to the client
 *   N stall-request  forward nothing from the client to the target
 *   N reset          reset all connections of the link, also new ones
 *   N restart        as when the process of an HTTP server ends and the next
 *                    one does not serve yet: the next bytes from the target on
 *                    a present connection are dropped, and the connection is
 *                    closed in order; requests on new connections are answered
 *                    with status 503 and not forwarded
 *   N stale          reset each present connection of the link when its client
 *                    sends more on it; the mode stays as it is
 * A stall loses no bytes: once the mode of the link lets them pass again, they
 * arrive in order, as after a retransmission by TCP, unless one end has closed
 * the connection.
 */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uv.h>

enum
{
  LINKS_MAX = 256,
  READ_SIZE = 65536, /* largest number of bytes in one read */
  /* Largest number of bytes that are forwarded at once over a link with a
     rate. */
  RATE_CHUNK_BYTES = 4096,
};

enum mode
{
  MODE_PASS,
  MODE_DELAY,
  MODE_RATE,
  MODE_STALL,
  MODE_STALL_REPLY,
  MODE_STALL_REQUEST,
  MODE_RESET,
  MODE_RESTART,
  MODE_N
};

static const char *const mode_names[MODE_N]
    = { "pass",        "delay",         "rate",  "stall",
        "stall-reply", "stall-request", "reset", "restart" };

/* Response to requests on new connections in MODE_RESTART. */
static const char refusal[]
    = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";

/* struct link - a listening port and the port that it forwards to */
struct link
{
  uv_tcp_t listener;
  int target_port; /* port on 127.0.0.1 */
  enum mode mode;
  uint64_t delay_ms; /* delay in each direction, used in MODE_DELAY */
  /* Bytes per ms from the target to the client, used in MODE_RATE. */
  uint64_t rate;
};

/* struct conn_pair - a client's connection to the proxy and the connection of
   the proxy to the target */
struct conn_pair
{
  LIST_ENTRY (conn_pair) entry;
  uint64_t id; /* unique; ids of freed pairs are not reused */
  struct link *link;
  uv_tcp_t end[2]; /* 0: connection to the client, 1: to the target */
  uv_connect_t connect;
  int n_open_ends; /* number of ends whose handles are not closed yet */
  bool closing;    /* both ends are being closed */
  bool connected;  /* the connection to the target is established */
  bool stale;      /* more bytes from the client reset the connection */
  bool ending;     /* more bytes from the target close the connection */
  bool refusing;   /* bytes from the client are answered with refusal */
  /* Time at which the last bytes to each end are to be written.  Bytes that
     are read later are not written earlier, so that a shorter delay does not
     reorder the stream. */
  uint64_t due_ms[2]; /* for each end, on the clock of uv_now() */
};

/* struct chunk - bytes that were read from one end of a pair and are not
   written to the other end yet */
struct chunk
{
  uv_timer_t timer;
  uv_write_t write;
  struct conn_pair *pair;
  /* Id of @pair, compared before @pair is used, because the pair may have been
     freed and a later pair may have the same address. */
  uint64_t pair_id;
  int receiving_end; /* index in @pair->end of the connection to write to */
  size_t len;
  char bytes[];
};

static LIST_HEAD (, conn_pair) pairs = LIST_HEAD_INITIALIZER (pairs);
static struct link links[LINKS_MAX];
static int n_links;
static uint64_t last_pair_id;
static uv_loop_t *loop;

static void
on_end_closed (uv_handle_t *h)
{
  struct conn_pair *p = h->data;

  if (--p->n_open_ends > 0)
    return;
  LIST_REMOVE (p, entry);
  free (p);
}

/* Closes both ends of @p, with a TCP reset if @reset is true. */
static void
close_pair (struct conn_pair *p, bool reset)
{
  if (p->closing)
    return;
  p->closing = true;
  for (int i = 0; i < 2; i++)
    if (!reset || uv_tcp_close_reset (&p->end[i], on_end_closed))
      uv_close ((uv_handle_t *)&p->end[i], on_end_closed);
}

static void
on_chunk_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
close_chunk (struct chunk *c)
{
  uv_close ((uv_handle_t *)&c->timer, on_chunk_closed);
}

/* Returns whether the connection pair of @c exists and is not being closed. */
static bool
chunk_pair_is_open (const struct chunk *c)
{
  const struct conn_pair *p;

  LIST_FOREACH (p, &pairs, entry)
  if (p->id == c->pair_id)
    return !p->closing;
  return false;
}

static void
on_chunk_written (uv_write_t *w, int status)
{
  struct chunk *c = w->data;

  if (status && chunk_pair_is_open (c))
    close_pair (c->pair, false);
  close_chunk (c);
}

static void
on_chunk_due (uv_timer_t *t)
{
  struct chunk *c = t->data;
  uv_buf_t buf = uv_buf_init (c->bytes, (unsigned)c->len);

  if (!chunk_pair_is_open (c)
      || uv_write (&c->write, (uv_stream_t *)&c->pair->end[c->receiving_end],
                   &buf, 1, on_chunk_written))
    close_chunk (c);
}

/* Returns whether the mode of @l stops forwarding to end @receiving_end, 0 for
   the client and 1 for the target. */
static bool
is_stalled (const struct link *l, int receiving_end)
{
  return l->mode == MODE_STALL
         || (l->mode == MODE_STALL_REPLY && receiving_end == 0)
         || (l->mode == MODE_STALL_REQUEST && receiving_end == 1);
}

/* Returns whether the link of @p has a rate for bytes to end @receiving_end, 0
   for the client and 1 for the target. */
static bool
has_rate (const struct conn_pair *p, int receiving_end)
{
  return p->link->mode == MODE_RATE && receiving_end == 0 && p->link->rate > 0;
}

/* Schedules a copy of @bytes to be written to end @receiving_end, 0 for the
   client and 1 for the target, after the delay of the link. */
static void
forward_chunk (struct conn_pair *p, int receiving_end, const char *bytes,
               size_t len)
{
  uint64_t now_ms = uv_now (loop);
  uint64_t due_ms
      = now_ms + (p->link->mode == MODE_DELAY ? p->link->delay_ms : 0);
  struct chunk *c = malloc (sizeof *c + len);

  if (!c)
    abort ();
  if (due_ms < p->due_ms[receiving_end])
    due_ms = p->due_ms[receiving_end];
  if (has_rate (p, receiving_end))
    due_ms += len / p->link->rate;
  p->due_ms[receiving_end] = due_ms;
  c->pair = p;
  c->pair_id = p->id;
  c->receiving_end = receiving_end;
  c->len = len;
  memcpy (c->bytes, bytes, len);
  uv_timer_init (loop, &c->timer);
  c->timer.data = c;
  c->write.data = c;
  uv_timer_start (&c->timer, on_chunk_due, due_ms - now_ms, 0);
}

/* Schedules copies of @bytes like forward_chunk(), in small chunks if the link
   has a rate. */
static void
forward_bytes (struct conn_pair *p, int receiving_end, const char *bytes,
               size_t len)
{
  while (has_rate (p, receiving_end) && len > RATE_CHUNK_BYTES)
    {
      forward_chunk (p, receiving_end, bytes, RATE_CHUNK_BYTES);
      bytes += RATE_CHUNK_BYTES;
      len -= RATE_CHUNK_BYTES;
    }
  forward_chunk (p, receiving_end, bytes, len);
}

static void
on_alloc (uv_handle_t *h, size_t size, uv_buf_t *buf)
{
  static char bytes[READ_SIZE];

  (void)h;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct conn_pair *p = s->data;

  if (n < 0)
    close_pair (p, n == UV_ECONNRESET);
  else if (n > 0 && p->stale && s == (uv_stream_t *)&p->end[0])
    close_pair (p, true);
  else if (n > 0 && p->ending && s == (uv_stream_t *)&p->end[1])
    close_pair (p, false);
  else if (n > 0 && p->refusing && s == (uv_stream_t *)&p->end[0])
    forward_bytes (p, 0, refusal, sizeof refusal - 1);
  else if (n > 0)
    forward_bytes (p, s == (uv_stream_t *)&p->end[0], buf->base, (size_t)n);
}

/* Starts or stops reading from each end, as the mode of the link requires.
   Bytes that are not read stay in the sockets' buffers, and TCP flow control
   stops the sender. */
static void
update_reading (struct conn_pair *p)
{
  for (int i = 0; i < 2 && p->connected && !p->closing; i++)
    if (is_stalled (p->link, 1 - i))
      uv_read_stop ((uv_stream_t *)&p->end[i]);
    else
      uv_read_start ((uv_stream_t *)&p->end[i], on_alloc, on_read);
}

static void
on_connected (uv_connect_t *c, int status)
{
  struct conn_pair *p = c->data;

  if (status)
    {
      close_pair (p, true);
      return;
    }
  p->connected = true;
  update_reading (p);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct link *l = listener->data;
  struct conn_pair *p = calloc (1, sizeof *p);
  struct sockaddr_in target_addr;

  if (!p || status)
    abort ();
  p->id = ++last_pair_id;
  p->link = l;
  p->n_open_ends = 2;
  p->refusing = l->mode == MODE_RESTART;
  for (int i = 0; i < 2; i++)
    {
      uv_tcp_init (loop, &p->end[i]);
      uv_tcp_nodelay (&p->end[i], 1);
      p->end[i].data = p;
    }
  LIST_INSERT_HEAD (&pairs, p, entry);
  if (uv_accept (listener, (uv_stream_t *)&p->end[0]) || l->mode == MODE_RESET)
    {
      close_pair (p, true);
      return;
    }
  uv_ip4_addr ("127.0.0.1", l->target_port, &target_addr);
  p->connect.data = p;
  if (uv_tcp_connect (&p->connect, &p->end[1], (struct sockaddr *)&target_addr,
                      on_connected))
    close_pair (p, true);
}

/* Marks the connections of link @index as stale. */
static void
mark_stale (int index)
{
  struct conn_pair *p;

  LIST_FOREACH (p, &pairs, entry)
  if (p->link == &links[index])
    p->stale = true;
}

/* Sets the mode of a link by its name.  @value is the delay or the rate. */
static void
set_link_mode (int index, const char *name, int value)
{
  struct conn_pair *p, *next;

  if (index < 0 || index >= n_links)
    return;
  if (strcmp (name, "stale") == 0)
    {
      mark_stale (index);
      return;
    }
  for (int m = 0; m < MODE_N; m++)
    if (strcmp (name, mode_names[m]) == 0)
      links[index].mode = (enum mode)m;
  links[index].delay_ms = (uint64_t)value;
  links[index].rate = (uint64_t)value;
  for (p = LIST_FIRST (&pairs); p; p = next)
    {
      next = LIST_NEXT (p, entry);
      if (p->link != &links[index])
        continue;
      p->ending = links[index].mode == MODE_RESTART;
      if (links[index].mode == MODE_RESET)
        close_pair (p, true);
      else if (p->refusing)
        close_pair (p, false);
      else
        update_reading (p);
    }
}

static void
on_command (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  static char text[4096];
  static size_t len;
  char *newline;

  (void)s;
  if (n < 0)
    exit (0);
  for (ssize_t i = 0; i < n && len + 1 < sizeof text; i++)
    text[len++] = buf->base[i];
  text[len] = '\0';
  while ((newline = strchr (text, '\n')))
    {
      char name[16] = "";
      int index = -1;
      int value = 0;
      *newline = '\0';
      if (sscanf (text, "%d %15s %d", &index, name, &value) >= 2)
        set_link_mode (index, name, value);
      len -= (size_t)(newline + 1 - text);
      memmove (text, newline + 1, len + 1);
    }
}

static void
add_link (const char *text)
{
  struct link *l = &links[n_links++];
  struct sockaddr_in listen_addr;
  int port;

  if (n_links > LINKS_MAX
      || sscanf (text, "%d=%d", &port, &l->target_port) != 2)
    {
      fprintf (stderr, "soak-proxy: %s: expected LISTEN=TARGET\n", text);
      exit (64);
    }
  uv_ip4_addr ("127.0.0.1", port, &listen_addr);
  uv_tcp_init (loop, &l->listener);
  l->listener.data = l;
  if (uv_tcp_bind (&l->listener, (struct sockaddr *)&listen_addr, 0)
      || uv_listen ((uv_stream_t *)&l->listener, 512, on_connection))
    {
      fprintf (stderr, "soak-proxy: port %d: cannot listen\n", port);
      exit (1);
    }
}

int
main (int argc, char **argv)
{
  static uv_pipe_t in;

  signal (SIGPIPE, SIG_IGN);
  loop = uv_default_loop ();
  for (int i = 1; i < argc; i++)
    add_link (argv[i]);
  uv_pipe_init (loop, &in, 0);
  uv_pipe_open (&in, 0);
  uv_read_start ((uv_stream_t *)&in, on_alloc, on_command);
  printf ("ready\n");
  fflush (stdout);
  return uv_run (loop, UV_RUN_DEFAULT);
}
