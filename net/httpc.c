#include "httpc.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <bsd/sys/tree.h>

enum
{
  /* Idle connections kept open over all servers, unless httpc_limit() sets
     another number. */
  IDLE_CONNECTIONS_MAX = 256,
  /* libcurl easy handles kept for reuse. */
  IDLE_HANDLES_MAX = 64,
  /* Maximum bytes of a response body that is collected for on_end; a longer
     one fails the request. */
  RESPONSE_MAX = 64 << 20,
};

/* struct xfer - a request that has not ended */
struct xfer
{
  RB_ENTRY (xfer) by_id;
  struct httpc *c;
  CURL *easy;
  struct curl_slist *headers;
  struct httpc_req rq;
  /* Copy of the request's body, or NULL. */
  char *body;
  uint64_t id;
  /* Body of the response as received so far, terminated; NULL while it is
     empty and if on_data takes the body. */
  char *buf;
  size_t len;
  /* on_head has been called. */
  bool head_delivered;
  /* on_data has stopped the flow. */
  bool paused;
};
RB_HEAD (xfer_tree, xfer);

struct httpc
{
  uv_loop_t *loop;
  uv_timer_t timer;
  CURLM *multi;
  struct xfer_tree xfers;
  /* Indexed by file descriptor; NULL where there is none yet. */
  struct watch **watches;
  size_t n_watches;
  CURL *idle[IDLE_HANDLES_MAX];
  int n_idle;
  uint64_t next_id;
};

/* struct watch - libuv poll handle of a file descriptor that libcurl uses.
   It is never freed but reused for the next socket with the same descriptor:
   libcurl closes some sockets without reporting CURL_POLL_REMOVE. */
struct watch
{
  uv_poll_t poll;
  struct httpc *c;
  curl_socket_t fd;
  /* UV_READABLE and UV_WRITABLE as polled for; 0: not polled. */
  int events;
};

static int
xfer_cmp (const struct xfer *a, const struct xfer *b)
{
  return a->id < b->id ? -1 : a->id > b->id;
}

RB_PROTOTYPE (xfer_tree, xfer, by_id, xfer_cmp)
RB_GENERATE (xfer_tree, xfer, by_id, xfer_cmp)

static struct xfer *
xfer_find (struct httpc *c, uint64_t id)
{
  struct xfer key = { .id = id };

  return RB_FIND (xfer_tree, &c->xfers, &key);
}

/* Calls on_head unless it has been called. */
static void
deliver_head (struct xfer *x)
{
  long status = 0;
  char *type = NULL;

  if (x->head_delivered || !x->rq.on_head)
    return;
  x->head_delivered = true;
  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_TYPE, &type);
  x->rq.on_head (x->rq.arg, (int)status, type);
}

/* Ends a request with libcurl's result @code, calls on_end and frees @x. */
static void
xfer_finish (struct xfer *x, CURLcode code)
{
  struct httpc *c = x->c;
  long status = 0;
  long sent = 0;
  int end = HTTPC_OK;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (x->easy, CURLINFO_REQUEST_SIZE, &sent);
  if (code != CURLE_OK)
    end = sent == 0 ? HTTPC_UNREACHED : HTTPC_FAILED;
  else
    deliver_head (x);
  RB_REMOVE (xfer_tree, &c->xfers, x);
  curl_multi_remove_handle (c->multi, x->easy);
  if (c->n_idle < IDLE_HANDLES_MAX)
    c->idle[c->n_idle++] = x->easy;
  else
    curl_easy_cleanup (x->easy);
  curl_slist_free_all (x->headers);
  free (x->body);
  x->rq.on_end (x->rq.arg, end, (int)status, x->rq.on_data ? NULL : x->buf,
                x->len);
  free (x->buf);
  free (x);
}

/* Finishes every request that libcurl reports as completed. */
static void
finish_completed (struct httpc *c)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (c->multi, &left)))
    if (msg->msg == CURLMSG_DONE)
      {
        struct xfer *x;
        CURLcode code = msg->data.result;
        curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
        xfer_finish (x, code);
      }
}

static void
on_timer (uv_timer_t *t)
{
  struct httpc *c = t->data;
  int running;

  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (c);
}

/* CURLMOPT_TIMERFUNCTION: libcurl wants to be called in @ms; -1: no timer. */
static int
set_timer (CURLM *multi, long ms, void *arg)
{
  struct httpc *c = arg;

  (void)multi;
  if (ms < 0)
    uv_timer_stop (&c->timer);
  else
    uv_timer_start (&c->timer, on_timer, (uint64_t)ms, 0);
  return 0;
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  struct watch *w = poll->data;
  struct httpc *c = w->c;
  int flags = 0;
  int running;

  if (status < 0)
    flags |= CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  curl_multi_socket_action (c->multi, w->fd, flags, &running);
  finish_completed (c);
}

/* Returns the watch of @fd and creates it if there is none. */
static struct watch *
watch_get (struct httpc *c, curl_socket_t fd)
{
  struct watch *w;

  if ((size_t)fd >= c->n_watches)
    {
      size_t n = (size_t)fd + 64;
      c->watches = realloc (c->watches, n * sizeof (struct watch *));
      if (!c->watches)
        abort ();
      memset (c->watches + c->n_watches, 0,
              (n - c->n_watches) * sizeof (struct watch *));
      c->n_watches = n;
    }
  w = c->watches[fd];
  if (w)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    abort ();
  w->c = c;
  w->fd = fd;
  uv_poll_init_socket (c->loop, &w->poll, fd);
  w->poll.data = w;
  c->watches[fd] = w;
  return w;
}

/* CURLMOPT_SOCKETFUNCTION: libcurl wants @fd polled for @what. */
static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *arg, void *sockp)
{
  struct httpc *c = arg;
  struct watch *w = watch_get (c, fd);
  int events = 0;

  (void)easy;
  (void)sockp;
  if (what == CURL_POLL_REMOVE)
    {
      uv_poll_stop (&w->poll);
      w->events = 0;
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= UV_READABLE;
  if (what & CURL_POLL_OUT)
    events |= UV_WRITABLE;
  if (events == w->events)
    return 0;
  w->events = events;
  uv_poll_start (&w->poll, events, on_poll);
  return 0;
}

struct httpc *
httpc_new (uv_loop_t *loop)
{
  struct httpc *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->loop = loop;
  RB_INIT (&c->xfers);
  uv_timer_init (loop, &c->timer);
  c->timer.data = c;
  c->multi = curl_multi_init ();
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS,
                     (long)IDLE_CONNECTIONS_MAX);
  return c;
}

void
httpc_limit (struct httpc *c, long max_per_host, long max_idle)
{
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_per_host);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, max_idle);
}

/* CURLOPT_WRITEFUNCTION.  A return value other than the size of @data fails
   the transfer, but for CURL_WRITEFUNC_PAUSE. */
static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * n;
  char *grown;

  if (x->rq.on_data)
    {
      deliver_head (x);
      if (x->paused)
        return CURL_WRITEFUNC_PAUSE;
      x->paused = !x->rq.on_data (x->rq.arg, data, len);
      return len;
    }
  if (x->len + len > RESPONSE_MAX)
    return 0;
  grown = realloc (x->buf, x->len + len + 1);
  if (!grown)
    return 0;
  x->buf = grown;
  memcpy (x->buf + x->len, data, len);
  x->len += len;
  x->buf[x->len] = '\0';
  return len;
}

/* CURLOPT_SOCKOPTFUNCTION: SO_LINGER with a time of 0 makes close() discard
   unsent data, so that an aborted request is not delivered afterwards. */
static int
on_socket (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  struct linger off = { .l_onoff = 1, .l_linger = 0 };

  (void)arg;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  return CURL_SOCKOPT_OK;
}

/* Adds a header unless @value is NULL or the line exceeds 512 bytes. */
static void
add_header (struct xfer *x, const char *name, const char *value)
{
  char line[512];

  if (!value || strlen (name) + strlen (value) + 3 > sizeof line)
    return;
  strcpy (line, name);
  strcat (line, ": ");
  strcat (line, value);
  x->headers = curl_slist_append (x->headers, line);
}

/* Creates an easy handle with the options that all requests share. */
static CURL *
handle_new (void)
{
  CURL *e = curl_easy_init ();

  if (!e)
    abort ();
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  return e;
}

/* Copies the request's body; a request without one is sent as a GET unless
   its method says otherwise. */
static void
set_body (struct xfer *x, const struct httpc_req *rq)
{
  CURL *e = x->easy;

  if (!rq->body)
    {
      curl_easy_setopt (e, CURLOPT_HTTPGET, 1L);
      return;
    }
  x->body = malloc (rq->body_len + 1);
  if (!x->body)
    abort ();
  memcpy (x->body, rq->body, rq->body_len);
  curl_easy_setopt (e, CURLOPT_POST, 1L);
  curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)rq->body_len);
  curl_easy_setopt (e, CURLOPT_POSTFIELDS, x->body);
}

uint64_t
httpc_send (struct httpc *c, const struct httpc_req *rq)
{
  struct xfer *x = calloc (1, sizeof *x);
  CURL *e = c->n_idle ? c->idle[--c->n_idle] : handle_new ();

  if (!x)
    abort ();
  x->c = c;
  x->easy = e;
  x->rq = *rq;
  x->id = ++c->next_id;
  RB_INSERT (xfer_tree, &c->xfers, x);
  add_header (x, "Content-Type", rq->content_type);
  add_header (x, "X-Request-Id", rq->request_id);
  if (rq->extra_header)
    x->headers = curl_slist_append (x->headers, rq->extra_header);
  x->headers = curl_slist_append (x->headers, "Expect:");
  set_body (x, rq);
  curl_easy_setopt (e, CURLOPT_PRIVATE, x);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (e, CURLOPT_URL, rq->url);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, rq->method);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->headers);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)rq->timeout_ms);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)rq->connect_timeout_ms);
  curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, (long)rq->new_connection);
  curl_easy_setopt (e, CURLOPT_FORBID_REUSE, (long)rq->new_connection);
  curl_multi_add_handle (c->multi, e);
  return x->id;
}

void
httpc_resume (struct httpc *c, uint64_t id)
{
  struct xfer *x = xfer_find (c, id);

  if (!x || !x->paused)
    return;
  x->paused = false;
  curl_easy_pause (x->easy, CURLPAUSE_CONT);
}

void
httpc_abort (struct httpc *c, uint64_t id)
{
  struct xfer *x = xfer_find (c, id);

  if (x)
    xfer_finish (x, CURLE_ABORTED_BY_CALLBACK);
}
