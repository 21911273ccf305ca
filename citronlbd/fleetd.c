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
#include "metric.h"
#include "platform.h"
#include "version.h"
#include "worktime.h"

enum
{
  /* Interval at which the leader calls fleet_tick(). */
  TICK_LEADER_MS = 10,
  /* Interval at which the other instances call fleet_tick(). */
  TICK_FOLLOWER_MS = 25,
  /* Maximum number of connections to one executor: one is used by the poll,
     which the executor may answer late, and the others by orders. */
  CONNECTIONS_PER_EXEC_MAX = 3,
  /* Time for which an idle connection to an executor is kept, unless the
     executor closes it before. */
  EXEC_IDLE_CONNECTION_MS = 10000,
  /* Maximum number of connections to the advice service.  A query that is not
     answered occupies one until it is given up. */
  ADVICE_CONNECTIONS_MAX = 8,
  /* Maximum time to connect to an executor. */
  EXEC_CONNECT_TIMEOUT_MS = 400,
  /* Maximum number of connections to the table service.  Three feeds, the
     journal and the writes of callers share them. */
  STORE_CONNECTIONS_MAX = 24,
  /* Maximum number of connections for the calls of the leader election.  They
     must not wait behind callers' writes, or the leader loses its lease when
     the table service is slow. */
  LEADER_CONNECTIONS_MAX = 8,
  /* Maximum number of idle connections to the table service kept open. */
  STORE_IDLE_CONNECTIONS_MAX = 32,
  /* Maximum number of bytes in the body of a caller's request. */
  REQUEST_BODY_MAX = 256 << 10,
  /* Time from the signal to stop until the instance stops listening.  The
     platform routes new connections to the instance until two readiness
     checks, one per second, have failed. */
  STOP_DELAY_MS = 3000,
  /* At the latest, the process exits this long before the platform would kill
     it, even if requests are still pending. */
  KILL_MARGIN_MS = 500,
  /* Interval at which the load of the instance is logged. */
  LOAD_INTERVAL_MS = 1000,
};

/* struct fleetd - the event loop, the fleet, and its clients, links and
   servers */
struct fleetd
{
  struct pf_settings settings;
  /* Path of the settings file. */
  const char *settings_path;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_signal_t signals[3];
  struct fleet fleet;
  /* HTTP client that sends requests to the table service. */
  struct httpc *store_http_client;
  /* HTTP client that sends the calls of the leader election to the table
     service. */
  struct httpc *leader_http_client;
  /* HTTP client that sends requests to executors. */
  struct hpool *exec_http_client;
  /* HTTP client that sends queries to the advice service. */
  struct hpool *advice_http_client;
  struct pf_store store;
  struct pf_orders orders;
  /* Links to the other instances. */
  struct links *peer_links;
  /* HTTP server that receives the requests of callers. */
  struct httpd *caller_server;
  /* HTTP server that answers the platform's readiness checks. */
  struct httpd *readiness_server;
  /* HTTP server that serves the metrics; NULL if the settings have no
     metrics address. */
  struct httpd *metrics_server;
  /* True while process_outputs() is running. */
  bool processing_outputs;
  /* Value of boottime_ms() when the signal to stop arrived; 0 if none has
     arrived. */
  int64_t stop_signal_ms;
  /* True once caller_server has stopped listening. */
  bool listener_closed;
  /* Value of boottime_ms() at the last log line about the load. */
  int64_t load_logged_ms;
  /* Time that the event loop had waited for input at the last log line about
     the load. */
  int64_t load_idle_ms;
  /* Time that the event loop has spent by kind of work. */
  struct worktime worktime;
};

/* Returns the time of a clock that also advances while the machine is
   suspended, so that a lease expires during the suspension. */
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

/* Returns the time of a clock that is never set and, unlike the clock of
   boottime_ms(), does not advance while the machine is suspended. */
static int64_t
steady_ns (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/* Marks the start of a piece of work of @kind, an enum worktime_kind. */
static void
begin_work (struct fleetd *d, int kind)
{
  worktime_begin (&d->worktime, kind, steady_ns ());
}

/* Marks the end of the innermost piece of work that is open. */
static void
end_work (struct fleetd *d)
{
  worktime_end (&d->worktime, steady_ns ());
}

static void
log_line (const char *line)
{
  logline_write (wall_ms (), line);
}

/* Sends a message to the instance at address @addr; it may be lost. */
static void
send_mesh (struct fleetd *d, const char *addr, const struct mesh_msg *m)
{
  char *buf;
  size_t len;

  if (mesh_pack (m, &buf, &len))
    return;
  links_send (d->peer_links, addr, addr, buf, len);
  free (buf);
}

/* Returns the kind of work that an output of kind @out_kind is. */
static int
work_of_output (int out_kind)
{
  switch (out_kind)
    {
    case OUT_ANSWER:
      return WORKTIME_ANSWERS;
    case OUT_STORE:
      return WORKTIME_STORE_CALLS;
    case OUT_ORDER:
      return WORKTIME_ORDERS;
    case OUT_FLEET_MSG:
      return WORKTIME_MESSAGES;
    default:
      return WORKTIME_LOG_LINES;
    }
}

/* Returns the kind of work that the result of an order of kind @order_kind
   is. */
static int
work_of_result (int order_kind)
{
  switch (order_kind)
    {
    case ORDER_POLL:
      return WORKTIME_POLL_RESULTS;
    case ORDER_ADVISE:
      return WORKTIME_ADVICE;
    default:
      return WORKTIME_RUN_RESULTS;
    }
}

/* Returns the kind of work that a message of kind @mesh_kind is. */
static int
work_of_message (int64_t mesh_kind)
{
  switch (mesh_kind)
    {
    case MESH_HELLO:
    case MESH_HELLO_REPLY:
      return WORKTIME_HELLOS;
    case MESH_ADVICE_QUERY:
    case MESH_ADVICE_REPLY:
      return WORKTIME_ADVICE;
    case MESH_JOB_NOTICE:
      return WORKTIME_NOTICES;
    case MESH_STORE_REPLY:
      return WORKTIME_STORE_REPLIES;
    default:
      return WORKTIME_QUERIES;
    }
}

/* Carries out one output of the fleet. */
static void
execute_output (struct fleetd *d, struct out *o)
{
  const char *body;

  switch (o->kind)
    {
    case OUT_ANSWER:
      body = o->u.answer.body ? o->u.answer.body : "{}";
      httpd_answer (d->caller_server, o->u.answer.call, o->u.answer.status,
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
    case OUT_FLEET_MSG:
      send_mesh (d, o->u.mesh.addr, o->u.mesh.msg);
      break;
    case OUT_LOG_LINE:
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

  /* execute_output() may call process_outputs() again.  The nested call
     returns here, and the loop of the outer call carries out the new outputs.
   */
  if (d->processing_outputs)
    return;
  d->processing_outputs = true;
  while ((o = fleet_next_out (&d->fleet)))
    {
      begin_work (d, work_of_output (o->kind));
      execute_output (d, o);
      out_free (o);
      end_work (d);
    }
  d->processing_outputs = false;
}

static void
on_store_reply (void *arg, uint64_t token, const struct store_rep *reply)
{
  struct fleetd *d = arg;

  begin_work (d, WORKTIME_STORE_REPLIES);
  fleet_store_reply (&d->fleet, boottime_ms (), token, reply);
  process_outputs (d);
  end_work (d);
}

static void
on_store_partial (void *arg, uint64_t token, size_t total)
{
  struct fleetd *d = arg;

  fleet_store_partial (&d->fleet, boottime_ms (), token, total);
}

/* Logs a write to the table service that had no response or was sent more than
   once. */
static void
on_write_trace (void *arg, const struct pf_write_trace *trace)
{
  static const char *const results[] = { [HTTPC_OK] = "response",
                                         [HTTPC_UNREACHED] = "not-sent",
                                         [HTTPC_FAILED] = "no-response" };
  const struct httpc_exchange *e = trace->exchange;
  char line[256];

  (void)arg;
  snprintf (
      line, sizeof line,
      "event=write-trace token=%llu result=%s status=%d copies=%d "
      "repeat_prevented=%d new_connections=%d sent_bytes=%ld error=\"%.80s\"",
      (unsigned long long)trace->token, results[trace->http_result],
      trace->status, e->copies, e->repeat_prevented, e->new_connections,
      e->sent_bytes, e->error);
  log_line (line);
}

static void
on_order_result (void *arg, const struct order *o,
                 const struct order_result *result)
{
  struct fleetd *d = arg;

  begin_work (d, work_of_result (o->kind));
  fleet_order_result (&d->fleet, boottime_ms (), o, result);
  process_outputs (d);
  end_work (d);
}

static void
on_message (void *arg, const char *buf, size_t len)
{
  struct fleetd *d = arg;
  struct mesh_msg m;
  struct codec_err parse_err;
  int err;

  begin_work (d, WORKTIME_MESSAGE_DECODING);
  err = mesh_unpack (buf, len, &m, &parse_err);
  end_work (d);
  if (err)
    {
      log_line ("event=bad-message");
      return;
    }
  begin_work (d, work_of_message (m.kind));
  fleet_mesh_msg (&d->fleet, boottime_ms (), &m);
  mesh_clear (&m);
  end_work (d);
}

static void
on_received (void *arg)
{
  process_outputs (arg);
}

static void
on_caller_request (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  struct fleet_request req;

  begin_work (d, WORKTIME_CALLER_REQUESTS);
  pf_request_decode (rq, &req);
  fleet_request (&d->fleet, boottime_ms (), wall_ms (), &req);
  process_outputs (d);
  end_work (d);
}

static void
on_caller_disconnect (void *arg, uint64_t id)
{
  struct fleetd *d = arg;

  begin_work (d, WORKTIME_CALLER_REQUESTS);
  fleet_request_aborted (&d->fleet, id);
  end_work (d);
}

static void
on_readiness_check (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  int status = 404;

  begin_work (d, WORKTIME_MONITORING);
  if (pf_is_ready_path (rq->path))
    status = fleet_ready (&d->fleet, boottime_ms ()) ? 200 : 503;
  httpd_answer (d->readiness_server, rq->id, status, "text/plain", "", 0, 0);
  end_work (d);
}

/* Returns the metrics as Prometheus text, which the caller frees. */
static char *
metrics_text (struct fleetd *d)
{
  clb_auto char *fleet = fleet_metrics (&d->fleet);
  const struct hpool_stats *orders = hpool_stats (d->exec_http_client);
  char *text = NULL;
  size_t len;
  FILE *out = open_memstream (&text, &len);

  if (!out)
    abort ();
  fputs (fleet, out);
  fprintf (out, "citronlb_build_info{version=\"%s\"} 1\n", program_version ());
  metric_print (out, "log_lines_total", NULL, NULL, logline_stats ()->written);
  metric_print (out, "log_dropped_total", NULL, NULL,
                logline_stats ()->dropped);
  metric_print (out, "exec_requests_total", NULL, NULL, orders->requests);
  metric_print (out, "exec_connections_total", NULL, NULL,
                orders->connections);
  worktime_print (&d->worktime, out);
  if (fclose (out))
    abort ();
  return text;
}

static void
on_metrics_request (void *arg, const struct httpd_req *rq)
{
  struct fleetd *d = arg;
  clb_auto char *text = NULL;

  begin_work (d, WORKTIME_MONITORING);
  text = metrics_text (d);
  httpd_answer (d->metrics_server, rq->id, 200, "text/plain; version=0.0.4",
                text, strlen (text), 0);
  end_work (d);
}

static void
ignore_disconnect (void *arg, uint64_t id)
{
  (void)arg;
  (void)id;
}

/* Opens an HTTP server on @addr.  Returns NULL after a message on standard
   error. */
static struct httpd *
open_server (struct fleetd *d, const char *addr,
             void (*on_request) (void *arg, const struct httpd_req *rq),
             void (*on_disconnect) (void *arg, uint64_t id))
{
  struct httpd_conf conf = {
    .addr = addr,
    .max_body_bytes = REQUEST_BODY_MAX,
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
end_loop_if_drained (struct fleetd *d)
{
  int64_t elapsed_ms = boottime_ms () - d->stop_signal_ms;

  if (!d->stop_signal_ms || elapsed_ms < STOP_DELAY_MS)
    return;
  if (!d->listener_closed)
    {
      d->listener_closed = true;
      httpd_stop (d->caller_server);
    }
  if (httpd_n_pending (d->caller_server) == 0
      || elapsed_ms > d->settings.grace_ms - KILL_MARGIN_MS)
    uv_stop (d->loop);
}

/* Returns the time that the event loop has waited for input since the start of
   the process.  Unlike the CPU time of the process, it also shows time in
   which the platform did not let the process run. */
static int64_t
loop_idle_ms (const struct fleetd *d)
{
  return (int64_t)(uv_metrics_idle_time (d->loop) / 1000000);
}

/* Logs how much of the executors of each failure domain is in use. */
static void
log_domains (struct fleetd *d)
{
  struct fsched *fs = d->fleet.fsched;
  const struct domain *domain;
  char line[256];

  if (!fs)
    return;
  domain_count_cores (fs);
  TAILQ_FOREACH (domain, &fs->domains, link)
    {
      const struct domain_cores *c = &domain->cores;
      snprintf (line, sizeof line,
                "event=cores domain=%s used=%lld held=%lld free=%lld "
                "unusable=%lld silent=%d",
                domain->name, (long long)c->used, (long long)c->held,
                (long long)c->free, (long long)c->unusable, domain->silent);
      log_line (line);
    }
}

/* Logs the load of the instance, unless the last such line is less than
   LOAD_INTERVAL_MS old.  Of the scheduler's jobs, ready= counts those that
   wait for a placement, by urgency class. */
static void
log_load (struct fleetd *d)
{
  static const struct fsched no_scheduler;
  const struct fleet *f = &d->fleet;
  const struct fsched *fs = f->fsched ? f->fsched : &no_scheduler;
  const struct fsched_stats *s = &f->stats.fsched;
  char line[320];
  int64_t now = boottime_ms ();
  int64_t over_ms = now - d->load_logged_ms;
  int64_t idle_ms = loop_idle_ms (d);

  if (over_ms < LOAD_INTERVAL_MS)
    return;
  snprintf (line, sizeof line,
            "event=load over_ms=%lld busy_ms=%lld callers=%d leading=%d "
            "jobs=%d ready=%d/%d/%d/%d pending=%d starts=%llu questions=%llu "
            "passes=%llu dropped_lines=%llu",
            (long long)over_ms,
            (long long)(over_ms - (idle_ms - d->load_idle_ms)), f->n_requests,
            f->leader.state == LEADER_LEADING, fs->n_jobs,
            fs->n_ready[URGENCY_ON_TIME], fs->n_ready[URGENCY_OVER_SHARE],
            fs->n_ready[URGENCY_LATE], fs->n_ready[URGENCY_LAST],
            fs->n_pending_starts, (unsigned long long)s->starts,
            (unsigned long long)s->queries, (unsigned long long)s->passes,
            (unsigned long long)logline_stats ()->dropped);
  log_line (line);
  log_domains (d);
  d->load_logged_ms = now;
  d->load_idle_ms = idle_ms;
}

static void
on_timer (uv_timer_t *t)
{
  struct fleetd *d = t->data;
  int64_t tick_ms;

  begin_work (d, WORKTIME_TICKS);
  fleet_tick (&d->fleet, boottime_ms (), wall_ms ());
  process_outputs (d);
  end_work (d);
  begin_work (d, WORKTIME_LOG_LINES);
  log_load (d);
  logline_flush ();
  end_work (d);
  tick_ms = d->fleet.fsched ? TICK_LEADER_MS : TICK_FOLLOWER_MS;
  uv_timer_start (t, on_timer, (uint64_t)tick_ms, 0);
  end_loop_if_drained (d);
}

/* Reads the settings file again.  Called on SIGHUP. */
static void
reload (struct fleetd *d)
{
  struct pf_settings new_settings;
  struct codec_err parse_err;

  if (pf_settings_read (d->settings_path, &new_settings, &parse_err))
    {
      log_line ("event=settings-refused");
      return;
    }
  /* Only these settings can change while the process runs. */
  d->settings.grace_ms = new_settings.grace_ms;
  d->fleet.settings.revoke_ms = new_settings.revoke_ms;
  d->fleet.settings.conf_apply_ms = new_settings.conf_apply_ms;
  d->fleet.settings.lease_max_ms = new_settings.lease_max_ms;
  d->fleet.settings.evacuate_ms = new_settings.evacuate_ms;
  d->fleet.settings.limits = new_settings.store_limits;
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
  if (d->stop_signal_ms)
    return;
  d->stop_signal_ms = boottime_ms ();
  log_line ("event=stopping");
  fleet_stop (&d->fleet, d->stop_signal_ms);
  process_outputs (d);
}

static void
catch_signals (struct fleetd *d)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

  for (size_t i = 0; i < CLB_COUNT (signal_numbers); i++)
    {
      uv_signal_init (d->loop, &d->signals[i]);
      d->signals[i].data = d;
      uv_signal_start (&d->signals[i], on_signal, signal_numbers[i]);
    }
}

/* Initializes the fleet with the settings that it needs. */
static void
init_fleet (struct fleetd *d)
{
  struct fleet_settings settings
      = { .boot = wall_ms (),
          .revoke_ms = d->settings.revoke_ms,
          .conf_apply_ms = d->settings.conf_apply_ms,
          .lease_max_ms = d->settings.lease_max_ms,
          .evacuate_ms = d->settings.evacuate_ms,
          .millicores = d->settings.millicores,
          .limits = d->settings.store_limits,
          .codec = pf_codec };

  clb_copy (settings.id, d->settings.id, sizeof settings.id);
  clb_copy (settings.zone, d->settings.zone, sizeof settings.zone);
  clb_copy (settings.mesh_addr, d->settings.mesh_addr,
            sizeof settings.mesh_addr);
  fleet_init (&d->fleet, &settings, boottime_ms ());
}

/* Logs the address that advice queries leave from.  The advice service handles
   the queries of instances that share an address one after the other. */
static void
on_advice_source (void *arg, const char *ip, int error)
{
  const struct fleetd *d = arg;
  char line[256];

  snprintf (line, sizeof line,
            "event=advice-source addr=%s own=%s usable=%d error=%s", ip,
            d->settings.ip, !error && strcmp (ip, d->settings.ip) == 0,
            error ? uv_err_name (error) : "");
  log_line (line);
}

static void
log_started (void)
{
  char line[256];

  snprintf (line, sizeof line, "event=started version=%s", program_version ());
  log_line (line);
}

/* Opens all clients, links and servers.  Returns false after a message on
   standard error. */
static bool
open_all (struct fleetd *d)
{
  struct links_conf links = { .loop = d->loop,
                              .listen_addr = d->settings.mesh_addr,
                              .arg = d,
                              .on_message = on_message,
                              .on_received = on_received };
  struct hpool_conf exec_conf
      = { .max_per_host = CONNECTIONS_PER_EXEC_MAX,
          .idle_ms = EXEC_IDLE_CONNECTION_MS,
          .connect_timeout_ms = EXEC_CONNECT_TIMEOUT_MS };
  struct hpool_conf advice_conf = exec_conf;

  d->store_http_client = httpc_new (d->loop);
  httpc_limit (d->store_http_client, STORE_CONNECTIONS_MAX,
               STORE_IDLE_CONNECTIONS_MAX);
  d->leader_http_client = httpc_new (d->loop);
  httpc_limit (d->leader_http_client, LEADER_CONNECTIONS_MAX,
               LEADER_CONNECTIONS_MAX);
  d->exec_http_client = hpool_new (d->loop, &exec_conf);
  advice_conf.max_per_host = ADVICE_CONNECTIONS_MAX;
  advice_conf.local_ip = d->settings.ip;
  advice_conf.on_source = on_advice_source;
  advice_conf.arg = d;
  d->advice_http_client = hpool_new (d->loop, &advice_conf);
  d->store = (struct pf_store){ d->store_http_client,   d->leader_http_client,
                                d->settings.store_addr, d,
                                on_store_reply,         on_store_partial,
                                on_write_trace };
  d->orders = (struct pf_orders){ d->exec_http_client, d->advice_http_client,
                                  d->settings.advice_service_addr, d,
                                  on_order_result };
  d->peer_links = links_new (&links);
  d->caller_server = open_server (d, d->settings.callers_addr,
                                  on_caller_request, on_caller_disconnect);
  d->readiness_server = open_server (d, d->settings.ready_addr,
                                     on_readiness_check, ignore_disconnect);
  if (*d->settings.metrics_addr)
    d->metrics_server = open_server (d, d->settings.metrics_addr,
                                     on_metrics_request, ignore_disconnect);
  return d->peer_links && d->caller_server && d->readiness_server
         && (d->metrics_server || !*d->settings.metrics_addr);
}

int
fleetd_run (const char *settings_path)
{
  static struct fleetd d;
  struct codec_err parse_err;
  int err = pf_settings_read (settings_path, &d.settings, &parse_err);

  if (err)
    {
      fprintf (stderr, "citronlbd: %s: %s: %s\n", settings_path,
               clb_err_name (err), parse_err.path);
      return EX_CONFIG;
    }
  d.settings_path = settings_path;
  signal (SIGPIPE, SIG_IGN);
  logline_open (d.settings.id);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  d.loop = uv_default_loop ();
  uv_loop_configure (d.loop, UV_METRICS_IDLE_TIME);
  init_fleet (&d);
  if (!open_all (&d))
    return EX_UNAVAILABLE;
  catch_signals (&d);
  uv_timer_init (d.loop, &d.timer);
  d.timer.data = &d;
  uv_timer_start (&d.timer, on_timer, 0, 0);
  d.load_logged_ms = boottime_ms ();
  log_started ();
  uv_run (d.loop, UV_RUN_DEFAULT);
  log_line ("event=stopped");
  logline_flush ();
  fleet_fini (&d.fleet);
  links_free (d.peer_links);
  return EX_OK;
}
