#include "fleetd.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>

#include "links.h"
#include "logline.h"
#include "platform.h"

enum
{
  /* Interval of fleet_tick() on the leader and on the other instances. */
  TICK_LEADER_MS = 10,
  TICK_FOLLOWER_MS = 25,
  /* Connections to one executor: a poll for ended tasks, and starts. */
  EXEC_CONNECTIONS = 4,
  /* Idle connections kept open, over all executors. */
  EXEC_IDLE_CONNECTIONS = 1500,
  /* Connections to the table service: three feeds, the journal, and callers'
     writes. */
  STORE_CONNECTIONS = 24,
  STORE_IDLE_CONNECTIONS = 32,
  /* Maximum bytes of the body of a caller's request. */
  BODY_MAX = 256 << 10,
  /* Time from the signal to stop until the instance stops listening.  The
     platform routes new connections here until two readiness checks, one per
     second, have failed. */
  STOP_DELAY_MS = 3000,
  /* The process exits this long before the platform kills it. */
  KILL_MARGIN_MS = 500,
  /* Interval of the log lines about the load. */
  LOAD_INTERVAL_MS = 1000,
};

/* struct fleetd - the event loop, the fleet and the sockets around it */
struct fleetd
{
  struct pf_settings set;
  /* Path of the settings file. */
  const char *path;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_signal_t signals[3];
  struct fleet fleet;
  struct httpc *store_http;
  struct httpc *exec_http;
  struct pf_store store;
  struct pf_orders orders;
  struct links *links;
  /* Servers for callers' requests, readiness checks and metrics; metrics is
     NULL if the settings have no address for it. */
  struct httpd *callers;
  struct httpd *ready;
  struct httpd *metrics;
  /* process_outputs() is running. */
  bool processing_outputs;
  /* Time of the signal to stop; 0: none has arrived. */
  int64_t stop_ms;
  /* The callers' server has stopped listening. */
  bool listener_closed;
  /* Time of the last log line about the load, and the CPU time of the process
     at that time. */
  int64_t load_logged_ms;
  int64_t load_cpu_ms;
};

/* Returns a clock that also advances while the machine is suspended, so that a
   lease expires then. */
static int64_t
boottime_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
log_line (const char *line)
{
  logline_write (wall_ms (), line);
}

static void
send_mesh (struct fleetd *d, const char *addr, const struct mesh_msg *m)
{
  char *buf;
  size_t len;

  if (mesh_pack (m, &buf, &len))
    return;
  links_send (d->links, addr, addr, buf, len);
  free (buf);
}

/* Carries out one output of the fleet. */
static void
carry_out (struct fleetd *d, struct out *o)
{
  const char *body;

  switch (o->kind)
    {
    case OUT_ANSWER:
      body = o->u.answer.body ? o->u.answer.body : "{}";
      httpd_answer (d->callers, o->u.answer.call, o->u.answer.status,
                    "application/json", body, strlen (body),
                    o->u.answer.retry_ms);
      break;
    case OUT_STORE:
      pf_store_send (&d->store, o->u.store.token, &o->u.store.op);
      break;
    case OUT_ORDER:
      pf_order_send (&d->orders, o->u.order);
      o->u.order = NULL;
      break;
    case OUT_MESH:
      send_mesh (d, o->u.mesh.addr, o->u.mesh.msg);
      break;
    case OUT_LINE:
      log_line (o->u.line);
      break;
    default:
      break;
    }
}

/* Carries out all queued outputs of the fleet. */
static void
process_outputs (struct fleetd *d)
{
  struct out *o;

  /* An output's callback may call this function again; the outer call then
     carries out the new outputs. */
  if (d->processing_outputs)
    return;
  d->processing_outputs = true;
  while ((o = fleet_next_out (&d->fleet)))
    {
      carry_out (d, o);
      out_free (o);
    }
  d->processing_outputs = false;
}

static void
on_store (void *arg, uint64_t token, const struct store_rep *rep)
{
  struct fleetd *d = arg;

  fleet_store_reply (&d->fleet, boottime_ms (), token, rep);
  process_outputs (d);
}

static void
on_order (void *arg, const struct order *o, const struct order_result *res)
{
  struct fleetd *d = arg;

  fleet_order_result (&d->fleet, boottime_ms (), o, res);
  process_outputs (d);
}

static void
on_message (void *arg, const char *buf, size_t len)
{
  struct fleetd *d = arg;
  struct mesh_msg m;
  struct codec_err ce;

  if (mesh_unpack (buf, len, &m, &ce))
    {
      log_line ("event=bad-message");
      return;
    }
  fleet_mesh_msg (&d->fleet, boottime_ms (), &m);
  mesh_clear (&m);
}

static void
on_received (void *arg)
{
  process_outputs (arg);
}

static void
on_caller (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  struct fleet_request req;

  pf_request (rq, &req);
  fleet_request (&d->fleet, boottime_ms (), wall_ms (), &req);
  process_outputs (d);
}

static void
on_caller_disconnect (void *arg, uint64_t id)
{
  struct fleetd *d = arg;

  fleet_request_aborted (&d->fleet, id);
}

static void
on_ready (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  int status = 404;

  if (pf_is_ready_path (rq->path))
    status = fleet_ready (&d->fleet, boottime_ms ()) ? 200 : 503;
  httpd_answer (d->ready, rq->id, status, "text/plain", "", 0, 0);
}

static void
on_metrics (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  clb_auto char *fleet = fleet_metrics (&d->fleet);
  clb_auto char *text = NULL;

  if (asprintf (&text,
                "%scitronlb_log_lines_total %llu\n"
                "citronlb_log_dropped_total %llu\n",
                fleet, (unsigned long long)logline_stats ()->written,
                (unsigned long long)logline_stats ()->dropped)
      < 0)
    abort ();
  httpd_answer (d->metrics, rq->id, 200, "text/plain; version=0.0.4", text,
                strlen (text), 0);
}

static void
ignore_disconnect (void *arg, uint64_t id)
{
  (void)arg;
  (void)id;
}

/* Opens an HTTP server; NULL after a message on standard error. */
static struct httpd *
open_server (struct fleetd *d, const char *addr,
             void (*on_request) (void *arg, const struct httpd_req *rq),
             void (*on_disconnect) (void *arg, uint64_t id))
{
  struct httpd_conf conf = {
    .addr = addr,
    .max_body_bytes = BODY_MAX,
    .arg = d,
    .on_request = on_request,
    .on_disconnect = on_disconnect,
  };
  int err;
  struct httpd *h = httpd_new (d->loop, &conf, &err);

  if (!h)
    fprintf (stderr, "citronlbd: %s: %s\n", addr, uv_strerror (err));
  return h;
}

/* Ends the event loop after a signal to stop, once no request of a caller is
   pending or shortly before the platform kills the process. */
static void
stop_when_done (struct fleetd *d)
{
  int64_t since = boottime_ms () - d->stop_ms;

  if (!d->stop_ms || since < STOP_DELAY_MS)
    return;
  if (!d->listener_closed)
    {
      d->listener_closed = true;
      httpd_stop (d->callers);
    }
  if (httpd_n_pending (d->callers) == 0
      || since > d->set.grace_ms - KILL_MARGIN_MS)
    uv_stop (d->loop);
}

static int64_t
cpu_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Logs the instance's load since the last such line. */
static void
log_load (struct fleetd *d)
{
  const struct fleet *f = &d->fleet;
  const struct fsched_stats *s = &f->stats.fsched;
  char line[256];
  int64_t now = boottime_ms ();
  int64_t cpu = cpu_ms ();

  if (now - d->load_logged_ms < LOAD_INTERVAL_MS)
    return;
  snprintf (
      line, sizeof line,
      "event=load over_ms=%lld cpu_ms=%lld callers=%d leading=%d "
      "jobs=%d starts=%llu questions=%llu passes=%llu dropped_lines=%llu",
      (long long)(now - d->load_logged_ms), (long long)(cpu - d->load_cpu_ms),
      f->n_requests, f->leader.state == LEADER_LEADING,
      f->fsched ? f->fsched->n_jobs : 0, (unsigned long long)s->starts,
      (unsigned long long)s->queries, (unsigned long long)s->passes,
      (unsigned long long)logline_stats ()->dropped);
  log_line (line);
  d->load_logged_ms = now;
  d->load_cpu_ms = cpu;
}

static void
on_timer (uv_timer_t *t)
{
  struct fleetd *d = t->data;
  int64_t pause;

  fleet_tick (&d->fleet, boottime_ms (), wall_ms ());
  process_outputs (d);
  log_load (d);
  logline_flush ();
  pause = d->fleet.fsched ? TICK_LEADER_MS : TICK_FOLLOWER_MS;
  uv_timer_start (t, on_timer, (uint64_t)pause, 0);
  stop_when_done (d);
}

/* Reads the settings file again, on SIGHUP. */
static void
reload (struct fleetd *d)
{
  struct pf_settings set;
  struct codec_err ce;

  if (pf_settings_read (d->path, &set, &ce))
    {
      log_line ("event=settings-refused");
      return;
    }
  /* Only these two bounds can change while the process runs. */
  d->set.grace_ms = set.grace_ms;
  d->fleet.settings.revoke_ms = set.revoke_ms;
  log_line ("event=settings-reloaded");
}

static void
on_signal (uv_signal_t *sig, int signum)
{
  struct fleetd *d = sig->data;

  if (signum == SIGHUP)
    {
      reload (d);
      return;
    }
  if (d->stop_ms)
    return;
  d->stop_ms = boottime_ms ();
  log_line ("event=stopping");
  fleet_stop (&d->fleet, d->stop_ms);
  process_outputs (d);
}

static void
catch_signals (struct fleetd *d)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  for (size_t i = 0; i < CLB_COUNT (numbers); i++)
    {
      uv_signal_init (d->loop, &d->signals[i]);
      d->signals[i].data = d;
      uv_signal_start (&d->signals[i], on_signal, numbers[i]);
    }
}

static void
start_core (struct fleetd *d)
{
  struct fleet_settings set = { .boot = wall_ms (),
                                .revoke_ms = d->set.revoke_ms,
                                .millicores = d->set.millicores,
                                .codec = pf_codec };

  clb_copy (set.id, d->set.id, sizeof set.id);
  clb_copy (set.zone, d->set.zone, sizeof set.zone);
  clb_copy (set.mesh_addr, d->set.mesh_addr, sizeof set.mesh_addr);
  fleet_init (&d->fleet, &set, boottime_ms ());
}

/* Opens all clients, links and servers; false after a message on standard
   error. */
static bool
open_all (struct fleetd *d)
{
  struct links_conf links = { .loop = d->loop,
                              .listen_addr = d->set.mesh_addr,
                              .arg = d,
                              .on_message = on_message,
                              .on_received = on_received };

  d->store_http = httpc_new (d->loop);
  httpc_limit (d->store_http, STORE_CONNECTIONS, STORE_IDLE_CONNECTIONS);
  d->exec_http = httpc_new (d->loop);
  httpc_limit (d->exec_http, EXEC_CONNECTIONS, EXEC_IDLE_CONNECTIONS);
  d->store
      = (struct pf_store){ d->store_http, d->set.store_addr, d, on_store };
  d->orders
      = (struct pf_orders){ d->exec_http, d->set.advice_addr, d, on_order };
  d->links = links_new (&links);
  d->callers
      = open_server (d, d->set.callers_addr, on_caller, on_caller_disconnect);
  d->ready = open_server (d, d->set.ready_addr, on_ready, ignore_disconnect);
  if (*d->set.metrics_addr)
    d->metrics
        = open_server (d, d->set.metrics_addr, on_metrics, ignore_disconnect);
  return d->links && d->callers && d->ready
         && (d->metrics || !*d->set.metrics_addr);
}

int
fleetd_run (const char *settings)
{
  static struct fleetd d;
  struct codec_err ce;
  int err = pf_settings_read (settings, &d.set, &ce);

  if (err)
    {
      fprintf (stderr, "citronlbd: %s: %s: %s\n", settings, clb_err_name (err),
               ce.path);
      return EX_CONFIG;
    }
  d.path = settings;
  signal (SIGPIPE, SIG_IGN);
  logline_open (d.set.id);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  d.loop = uv_default_loop ();
  start_core (&d);
  if (!open_all (&d))
    return EX_UNAVAILABLE;
  catch_signals (&d);
  uv_timer_init (d.loop, &d.timer);
  d.timer.data = &d;
  uv_timer_start (&d.timer, on_timer, 0, 0);
  log_line ("event=started");
  uv_run (d.loop, UV_RUN_DEFAULT);
  log_line ("event=stopped");
  logline_flush ();
  fleet_fini (&d.fleet);
  links_free (d.links);
  return EX_OK;
}
