/* citronlbd - daemon that runs one entry instance of the cluster scheduler. */
#include "citronlbd.h"
#include "fleetd.h"
#include "version.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <time.h>
#include <unistd.h>

enum
{
  /* Interval at which node_tick() is called while journal records are being
     written or wait to be written. */
  TICK_BUSY_MS = 2,
  /* Interval at which node_tick() is called while no journal records are
     being written or wait to be written. */
  TICK_IDLE_MS = 20,
  /* Time after the stop of the node for which the daemon still accepts
     connections, for callers that use an old list of instances. */
  LISTEN_AFTER_STOP_MS = 500,
};

int64_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Sends a message of the node to a peer, or drops the message if the node does
   not know the peer. */
static void
send_peer (struct daemon *d, const struct out *o)
{
  const struct peer *p = node_find_peer (&d->node, o->u.peer.to);

  if (p)
    peers_send (d, p->id, p->addr, &o->u.peer.msg);
}

/* Carries out one output of the node. */
static void
execute_output (struct daemon *d, const struct out *o)
{
  switch (o->kind)
    {
    case OUT_PEER:
      send_peer (d, o);
      break;
    case OUT_STORE:
      platform_send (d, o->u.store.token, &o->u.store.op);
      break;
    case OUT_SYNC:
      backend_sync (d, o->u.sync.worker, o->u.sync.addr, &o->u.sync.req);
      break;
    default:
      caller_server_output (d->caller_server, o);
      break;
    }
}

void
process_outputs (struct daemon *d)
{
  struct out *o;

  /* execute_output() may call process_outputs() again.  The nested call
     returns here, and the loop of the outer call carries out the new outputs.
   */
  if (d->processing_outputs)
    return;
  d->processing_outputs = true;
  while ((o = node_next_out (&d->node)))
    {
      execute_output (d, o);
      out_free (o);
    }
  d->processing_outputs = false;
}

/* Ends the event loop after a signal to stop, once the node has stopped and no
   request of a caller is pending. */
static void
end_loop_if_drained (struct daemon *d)
{
  /* Time at which the node was first found to be stopped; 0 before that. */
  static int64_t node_stopped_ms;

  if (!d->stopping || !node_stopped (&d->node))
    return;
  if (node_stopped_ms == 0)
    node_stopped_ms = now_ms ();
  if (now_ms () - node_stopped_ms >= LISTEN_AFTER_STOP_MS
      && caller_server_stop (d->caller_server))
    uv_stop (d->loop);
}

static void
on_timer (uv_timer_t *t)
{
  struct daemon *d = t->data;
  const struct sched *s;
  bool busy;

  node_tick (&d->node, now_ms ());
  process_outputs (d);
  s = d->node.sched;
  busy = s && !sched_idle (s);
  uv_timer_start (t, on_timer, busy ? TICK_BUSY_MS : TICK_IDLE_MS, 0);
  end_loop_if_drained (d);
}

static void
on_signal (uv_signal_t *sig, int signum)
{
  struct daemon *d = sig->data;

  if (signum == SIGHUP)
    {
      if (caller_server_reload (d->caller_server))
        log_info ("tls: %s cannot be used, the old one stays",
                  d->opt.cert_file);
      else
        log_info ("tls: reloaded");
      return;
    }
  if (d->stopping)
    return;
  d->stopping = true;
  log_info ("stopping");
  node_stop (&d->node, now_ms ());
  process_outputs (d);
}

/* Makes @signum call on_signal() in the event loop. */
static void
catch_signal (struct daemon *d, uv_signal_t *sig, int signum)
{
  uv_signal_init (d->loop, sig);
  sig->data = d;
  uv_signal_start (sig, on_signal, signum);
}

/* Writes the bound addresses to the address file, if one is set.  The function
   writes them to a temporary file and renames it, so that a reader never sees
   an incomplete file. */
static void
write_addrs (const struct daemon *d)
{
  char temp_path[512];
  FILE *f;

  if (!d->opt.addr_file)
    return;
  snprintf (temp_path, sizeof temp_path, "%s.part", d->opt.addr_file);
  f = fopen (temp_path, "w");
  if (!f)
    {
      fprintf (stderr, "citronlbd: %s: cannot be written\n", temp_path);
      exit (EX_CANTCREAT);
    }
  fprintf (f, "%s %s\n", caller_server_addr (d->caller_server),
           links_addr (d->peer_links));
  fclose (f);
  rename (temp_path, d->opt.addr_file);
}

/* Returns the boot number of this process: its start time by the wall clock,
   in milliseconds since the Unix epoch. */
static int64_t
boot_number (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int
main (int argc, char **argv)
{
  static struct daemon d;

  options_read (argc, argv, &d.opt);
  if (d.opt.fleet_file)
    return fleetd_run (d.opt.fleet_file);
  signal (SIGPIPE, SIG_IGN);
  log_open ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  d.loop = uv_default_loop ();
  d.opt.node.boot = boot_number ();
  d.http_client = httpc_new (d.loop);
  d.caller_server = caller_server_new (&d);
  d.peer_links = d.caller_server ? peers_new (&d) : NULL;
  if (!d.peer_links)
    return EX_UNAVAILABLE;
  clb_copy (d.opt.node.peer_addr, links_addr (d.peer_links), CLB_ADDR_MAX);
  node_init (&d.node, &d.opt.node, now_ms ());
  write_addrs (&d);
  catch_signal (&d, &d.sigterm, SIGTERM);
  catch_signal (&d, &d.sigint, SIGINT);
  catch_signal (&d, &d.sighup, SIGHUP);
  uv_timer_init (d.loop, &d.timer);
  d.timer.data = &d;
  uv_timer_start (&d.timer, on_timer, 0, 0);
  log_info ("%s in %s: version %s, callers %s, peers %s", d.opt.node.id,
            d.opt.node.domain, program_version (),
            caller_server_addr (d.caller_server), links_addr (d.peer_links));
  uv_run (d.loop, UV_RUN_DEFAULT);
  log_info ("stopped");
  links_free (d.peer_links);
  node_fini (&d.node);
  log_close ();
  return EX_OK;
}
