#include "httpc.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <bsd/sys/tree.h>

enum
{
  /* Maximum number of idle connections kept open over all servers, unless
     httpc_limit() sets another one. */
  IDLE_CONNECTIONS_MAX = 256,
  /* Maximum number of libcurl easy handles kept for reuse. */
  IDLE_HANDLES_MAX = 64,
  /* Maximum number of bytes in a response body that is collected for on_end; a
     longer body fails the request. */
  RESPONSE_MAX = 64 << 20,
  /* Time for which the silence of a request is confirmed. */
  SILENCE_CONFIRM_MS = 1,
};

/* struct xfer - a request that has not ended */
struct xfer
{
  RB_ENTRY (xfer) by_id;
  struct httpc *c;
  CURL *easy;
  struct curl_slist *headers;
  struct httpc_req rq;
  /* Copy of the request's body; NULL if it has none. */
  char *body;
  uint64_t id;
  /* Bytes received of the response's body, terminated with a NUL; NULL if none
     has arrived or the request has on_data. */
  char *response;
  size_t response_len;
  /* Value of clock_ms() when the last byte of the response's body arrived or,
     before the first one, when the request was started. */
  uint64_t last_byte_ms;
  /* Number of times that the request was sent. */
  int n_copies;
  /* True if the request's method is safe (RFC 9110), so that it may be sent
     again. */
  bool safe;
  /* True if libcurl has tried to send a request again that is not safe. */
  bool repeat_prevented;
  /* True once on_head has been called. */
  bool head_delivered;
  /* True while the response is paused, as on_data has returned false. */
  bool paused;
};
RB_HEAD (xfer_tree, xfer);

struct httpc
{
  uv_loop_t *loop;
  uv_timer_t timer;
  /* Ends requests whose httpc_req::silence_ms has passed.  Runs at the
     earliest time at which that of one of them can have passed. */
  uv_timer_t silence_timer;
  /* True if the silence timer has found a silent request, which it ends unless
     bytes have arrived when it runs again: they may have been waiting in the
     socket while the loop was busy. */
  bool silence_found;
  CURLM *multi;
  struct xfer_tree xfers;
  /* Poll handles indexed by file descriptor; NULL for a descriptor that
     libcurl has not used yet. */
  struct socket_poll **socket_polls;
  /* Number of elements of @socket_polls. */
  size_t n_socket_polls;
  /* libcurl easy handles for reuse. */
  CURL *idle_handles[IDLE_HANDLES_MAX];
  int n_idle_handles;
  /* Id of the last request that was started; 0 before the first one. */
  uint64_t last_id;
};

/*
 * struct socket_poll - libuv poll handle of a file descriptor that libcurl
 * uses
 *
 * A handle is never freed, but reused for the next socket with the same
 * descriptor, as libcurl closes some sockets without reporting
 * CURL_POLL_REMOVE.
 */
struct socket_poll
{
  uv_poll_t poll;
  struct httpc *c;
  curl_socket_t fd;
  /* Events that are polled for, of UV_READABLE and UV_WRITABLE; 0 if the
     socket is not polled. */
  int events;
};

/* Returns the time of a monotonic clock.  Unlike uv_now(), it advances during
   an iteration of the loop. */
static uint64_t
clock_ms (void)
{
  return uv_hrtime () / 1000000;
}

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

/* Calls on_head unless it has been called before. */
static void
deliver_head (struct xfer *x)
{
  long status = 0;
  char *content_type = NULL;

  if (x->head_delivered || !x->rq.on_head)
    return;
  x->head_delivered = true;
  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_TYPE, &content_type);
  x->rq.on_head (x->rq.arg, (int)status, content_type);
}

/* Calls on_exchange for a request whose libcurl result is @code. */
static void
report_exchange (struct xfer *x, CURLcode code, long sent_bytes)
{
  long n_connects = 0;
  struct httpc_exchange exchange = { .copies = x->n_copies,
                                     .repeat_prevented = x->repeat_prevented,
                                     .sent_bytes = sent_bytes,
                                     .error = curl_easy_strerror (code) };

  if (!x->rq.on_exchange)
    return;
  curl_easy_getinfo (x->easy, CURLINFO_NUM_CONNECTS, &n_connects);
  exchange.new_connections = (int)n_connects;
  x->rq.on_exchange (x->rq.arg, &exchange);
}

/* Ends a request whose libcurl result is @code: calls on_end and frees @x. */
static void
xfer_end (struct xfer *x, CURLcode code)
{
  struct httpc *c = x->c;
  long status = 0;
  long sent_bytes = 0;
  int result = HTTPC_OK;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (x->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (code != CURLE_OK)
    result = x->n_copies == 0 ? HTTPC_UNREACHED : HTTPC_FAILED;
  else
    deliver_head (x);
  report_exchange (x, code, sent_bytes);
  RB_REMOVE (xfer_tree, &c->xfers, x);
  curl_multi_remove_handle (c->multi, x->easy);
  if (c->n_idle_handles < IDLE_HANDLES_MAX)
    c->idle_handles[c->n_idle_handles++] = x->easy;
  else
    curl_easy_cleanup (x->easy);
  curl_slist_free_all (x->headers);
  free (x->body);
  x->rq.on_end (x->rq.arg, result, (int)status,
                x->rq.on_data ? NULL : x->response, x->response_len);
  free (x->response);
  free (x);
}

/* Ends every request that libcurl reports as completed. */
static void
end_completed_xfers (struct httpc *c)
{
  CURLMsg *msg;
  int msgs_in_queue;

  while ((msg = curl_multi_info_read (c->multi, &msgs_in_queue)))
    if (msg->msg == CURLMSG_DONE)
      {
        struct xfer *x;
        CURLcode code = msg->data.result;
        curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
        xfer_end (x, code);
      }
}

static void
on_timer (uv_timer_t *t)
{
  struct httpc *c = t->data;
  int n_running;

  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &n_running);
  end_completed_xfers (c);
}

/* CURLMOPT_TIMERFUNCTION: starts the timer that calls libcurl after @ms
   milliseconds, or stops it if @ms is -1. */
static int
set_libcurl_timer (CURLM *multi, long ms, void *arg)
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
  struct socket_poll *sp = poll->data;
  struct httpc *c = sp->c;
  int ready_events = 0;
  int n_running;

  if (status < 0)
    ready_events |= CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    ready_events |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    ready_events |= CURL_CSELECT_OUT;
  curl_multi_socket_action (c->multi, sp->fd, ready_events, &n_running);
  end_completed_xfers (c);
}

/* Returns the poll handle of @fd and creates it if there is none. */
static struct socket_poll *
socket_poll_get (struct httpc *c, curl_socket_t fd)
{
  struct socket_poll *sp;

  if ((size_t)fd >= c->n_socket_polls)
    {
      size_t n = (size_t)fd + 64;
      c->socket_polls
          = realloc (c->socket_polls, n * sizeof (struct socket_poll *));
      if (!c->socket_polls)
        abort ();
      memset (c->socket_polls + c->n_socket_polls, 0,
              (n - c->n_socket_polls) * sizeof (struct socket_poll *));
      c->n_socket_polls = n;
    }
  sp = c->socket_polls[fd];
  if (sp)
    return sp;
  sp = calloc (1, sizeof *sp);
  if (!sp)
    abort ();
  sp->c = c;
  sp->fd = fd;
  uv_poll_init_socket (c->loop, &sp->poll, fd);
  sp->poll.data = sp;
  c->socket_polls[fd] = sp;
  return sp;
}

/* CURLMOPT_SOCKETFUNCTION: polls @fd for the events @what, a CURL_POLL_ value.
 */
static int
set_socket_events (CURL *easy, curl_socket_t fd, int what, void *arg,
                   void *sockp)
{
  struct httpc *c = arg;
  struct socket_poll *sp = socket_poll_get (c, fd);
  int events = 0;

  (void)easy;
  (void)sockp;
  if (what == CURL_POLL_REMOVE)
    {
      uv_poll_stop (&sp->poll);
      sp->events = 0;
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= UV_READABLE;
  if (what & CURL_POLL_OUT)
    events |= UV_WRITABLE;
  if (events == sp->events)
    return 0;
  sp->events = events;
  uv_poll_start (&sp->poll, events, on_poll);
  return 0;
}

/* Returns the time at which @x has been silent for too long, UINT64_MAX if its
   silence is not limited. */
static uint64_t
silence_end_ms (const struct xfer *x)
{
  return x->rq.silence_ms ? x->last_byte_ms + (uint64_t)x->rq.silence_ms
                          : UINT64_MAX;
}

/* Returns the request that is the first to be silent for too long; NULL if
   there is none. */
static struct xfer *
next_silent_xfer (struct httpc *c)
{
  struct xfer *x;
  struct xfer *next = NULL;
  uint64_t earliest_ms = UINT64_MAX;

  RB_FOREACH (x, xfer_tree, &c->xfers)
    if (silence_end_ms (x) < earliest_ms)
      {
        next = x;
        earliest_ms = silence_end_ms (x);
      }
  return next;
}

static void
on_silence_timer (uv_timer_t *t)
{
  struct httpc *c = t->data;
  struct xfer *x = next_silent_xfer (c);
  uint64_t now_ms = clock_ms ();

  if (x && silence_end_ms (x) <= now_ms && !c->silence_found)
    {
      c->silence_found = true;
      uv_timer_start (t, on_silence_timer, SILENCE_CONFIRM_MS, 0);
      return;
    }
  c->silence_found = false;
  for (; x && silence_end_ms (x) <= now_ms; x = next_silent_xfer (c))
    xfer_end (x, CURLE_OPERATION_TIMEDOUT);
  if (x)
    uv_timer_start (t, on_silence_timer, silence_end_ms (x) - now_ms, 0);
}

/* Starts the silence timer for @x, unless it will run earlier. */
static void
watch_silence (struct xfer *x)
{
  uv_timer_t *t = &x->c->silence_timer;

  if (x->rq.silence_ms
      && (!uv_is_active ((uv_handle_t *)t)
          || uv_timer_get_due_in (t) > (uint64_t)x->rq.silence_ms))
    uv_timer_start (t, on_silence_timer, (uint64_t)x->rq.silence_ms, 0);
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
  uv_timer_init (loop, &c->silence_timer);
  c->silence_timer.data = c;
  c->multi = curl_multi_init ();
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, set_socket_events);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, set_libcurl_timer);
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

/* Calls on_partial if, by its Content-Length, the response has bytes that have
   not arrived. */
static void
report_partial (struct xfer *x)
{
  curl_off_t total = -1;

  if (!x->rq.on_partial)
    return;
  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &total);
  if (total > (curl_off_t)x->response_len)
    x->rq.on_partial (x->rq.arg, (size_t)total);
}

/* CURLOPT_WRITEFUNCTION: passes a piece of the response's body to on_data, or
   appends it to the collected body.  A return value other than the size of
   @data fails the transfer, except for CURL_WRITEFUNC_PAUSE. */
static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * n;
  char *new_response;

  x->last_byte_ms = clock_ms ();
  if (x->rq.on_data)
    {
      deliver_head (x);
      if (x->paused)
        return CURL_WRITEFUNC_PAUSE;
      x->paused = !x->rq.on_data (x->rq.arg, data, len);
      return len;
    }
  if (x->response_len + len > RESPONSE_MAX)
    return 0;
  new_response = realloc (x->response, x->response_len + len + 1);
  if (!new_response)
    return 0;
  x->response = new_response;
  memcpy (x->response + x->response_len, data, len);
  x->response_len += len;
  x->response[x->response_len] = '\0';
  report_partial (x);
  return len;
}

/* CURLOPT_PREREQFUNCTION: called before each time that the request is sent.
   libcurl sends a request again by itself if its kept connection is closed
   before the first byte of the response.  Only a request that changes nothing
   may be sent again: the response to the second copy does not tell whether
   the server has carried out the first one. */
static int
before_copy (void *arg, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
  struct xfer *x = arg;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (x->n_copies > 0 && !x->safe)
    {
      x->repeat_prevented = true;
      return CURL_PREREQFUNC_ABORT;
    }
  x->n_copies++;
  return CURL_PREREQFUNC_OK;
}

/* CURLOPT_SOCKOPTFUNCTION: SO_LINGER with a time of 0 makes close() discard
   unsent data, so that an aborted request is not delivered afterwards. */
static int
on_socket (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  (void)arg;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  return CURL_SOCKOPT_OK;
}

/* Adds a header to the request, unless @value is NULL or the header does not
   fit in 512 bytes. */
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

/* Creates a libcurl easy handle with the options that all requests share. */
static CURL *
easy_handle_new (void)
{
  CURL *e = curl_easy_init ();

  if (!e)
    abort ();
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, before_copy);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  return e;
}

/* Copies the body of @rq to @x.  If @rq has none, makes the request a GET,
   unless its method says otherwise. */
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

/* Returns whether requests of this method ask for no change on the server. */
static bool
is_safe (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

uint64_t
httpc_send (struct httpc *c, const struct httpc_req *rq)
{
  struct xfer *x = calloc (1, sizeof *x);
  CURL *e = c->n_idle_handles ? c->idle_handles[--c->n_idle_handles]
                              : easy_handle_new ();

  if (!x)
    abort ();
  x->c = c;
  x->easy = e;
  x->rq = *rq;
  x->id = ++c->last_id;
  x->safe = is_safe (rq->method);
  RB_INSERT (xfer_tree, &c->xfers, x);
  add_header (x, "Content-Type", rq->content_type);
  add_header (x, "X-Request-Id", rq->request_id);
  if (rq->extra_header)
    x->headers = curl_slist_append (x->headers, rq->extra_header);
  x->headers = curl_slist_append (x->headers, "Expect:");
  set_body (x, rq);
  curl_easy_setopt (e, CURLOPT_PRIVATE, x);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, x);
  curl_easy_setopt (e, CURLOPT_URL, rq->url);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, rq->method);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->headers);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)rq->timeout_ms);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)rq->connect_timeout_ms);
  curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, (long)rq->new_connection);
  curl_easy_setopt (e, CURLOPT_FORBID_REUSE, (long)rq->new_connection);
  curl_multi_add_handle (c->multi, e);
  x->last_byte_ms = clock_ms ();
  watch_silence (x);
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
    xfer_end (x, CURLE_ABORTED_BY_CALLBACK);
}
