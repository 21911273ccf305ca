/*
 * Dispatches each input of an instance on the fleet to the module that handles
 * it, keeps the configuration, and runs the scheduler while the instance
 * leads.
 */
#include "fleet.h"

#include "ablate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Number of low bits of a call's token that count the calls of one process.
     The higher bits hold the start time of the process, so that the tokens of
     the next process are larger than all tokens of this one. */
  TOKEN_BITS = 20,
};

void
fleet_init (struct fleet *f, const struct fleet_settings *settings,
            int64_t now_ms)
{
  memset (f, 0, sizeof *f);
  f->settings = *settings;
  f->now_ms = now_ms;
  /* An answer to a call of an earlier process of this instance matches no
     token of this process. */
  f->last_token = (uint64_t)settings->boot << TOKEN_BITS;
  TAILQ_INIT (&f->out);
  RB_INIT (&f->requests);
  leader_init (&f->leader, now_ms, settings->id, settings->mesh_addr,
               settings->boot, settings->millicores, &f->out, &f->last_token);
  follow_init (&f->conf_feed, settings->codec.conf_table, 0,
               FLEET_FEED_WAIT_MS, &f->out, &f->last_token);
  follow_init (&f->exec_feed, settings->codec.exec_table, 0,
               FLEET_FEED_WAIT_MS, &f->out, &f->last_token);
  follow_init (&f->job_feed, "job", FSCHED_JOB_PARTS, FLEET_FEED_WAIT_MS,
               &f->out, &f->last_token);
  f->job_feed.batch_ms = FLEET_JOBS_BATCH_MS;
  withdrawals_init (&f->withdrawals, &f->out, &f->last_token);
  rate_init (&f->account_withdrawals);
  rate_init (&f->all_withdrawals);
  evac_init (&f->evac);
  f->evac_current_ms = INT64_MIN / 2;
  f->conf_current_ms = INT64_MIN / 2;
  f->resumed_ms = INT64_MIN / 2;
  f->conf_superseded_ms = INT64_MIN / 2;
  f->proxy_peer_fresh_ms = INT64_MIN / 2;
  proxy_init (f);
  follow_start (&f->conf_feed, now_ms);
}

void
fleet_drop_scheduler (struct fleet *f)
{
  if (f->fsched && fsched_lanes_known (f->fsched))
    f->advice_lanes = fsched_lanes_known (f->fsched);
  fsched_free (f->fsched);
  f->fsched = NULL;
  follow_stop (&f->exec_feed);
  follow_stop (&f->job_feed);
  withdrawals_clear (&f->withdrawals);
  fleet_load_stop (f);
}

void
fleet_fini (struct fleet *f)
{
  struct out *o;

  api_fini (f);
  proxy_fini (f);
  fleet_drop_scheduler (f);
  leader_fini (&f->leader);
  follow_stop (&f->conf_feed);
  fconf_free (f->conf);
  evac_fini (&f->evac);
  rate_fini (&f->account_withdrawals);
  rate_fini (&f->all_withdrawals);
  free (f->overloads);
  while ((o = out_take (&f->out)))
    out_free (o);
}

void
fleet_set_now (struct fleet *f, int64_t now_ms)
{
  if (now_ms - f->now_ms >= FLEET_PAUSE_MS)
    {
      f->resumed_ms = now_ms;
      out_line (&f->out, "event=resumed pause_ms=%lld",
                (long long)(now_ms - f->now_ms));
    }
  f->now_ms = now_ms;
}

void
fleet_send (struct fleet *f, const char *addr, struct mesh_msg *m)
{
  struct out *o = out_new (&f->out, OUT_FLEET_MSG);

  clb_copy (m->from, f->settings.id, sizeof m->from);
  clb_copy (m->addr, f->settings.mesh_addr, sizeof m->addr);
  m->epoch = f->leader.epoch;
  clb_copy (o->u.mesh.addr, addr, sizeof o->u.mesh.addr);
  o->u.mesh.msg = m;
}

/* Sends the query for advice in order @o to the instance at o->addr, which
   forwards the query to the advice service. */
static void
send_advice_query (struct fleet *f, const struct order *o)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_ADVICE_QUERY;
  m->seq = (int64_t)o->id;
  m->valid_ms = o->timeout_ms;
  clb_copy (m->id, o->task.job, sizeof m->id);
  m->occurrence = o->task.occurrence;
  m->step = o->task.step;
  m->execs = calloc (o->n_execs ? o->n_execs : 1, sizeof *m->execs);
  if (!m->execs)
    abort ();
  m->n_execs = o->n_execs;
  for (size_t i = 0; i < o->n_execs; i++)
    clb_copy (m->execs[i].exec, o->execs[i], CLB_ID_MAX);
  fleet_send (f, o->addr, m);
}

struct out *
fleet_next_out (struct fleet *f)
{
  struct out *o;

  while ((o = out_take (&f->out)))
    {
      const struct order *order = o->kind == OUT_ORDER ? o->u.order : NULL;
      bool to_peer = order && order->kind == ORDER_ADVISE && *order->addr;
      if (to_peer)
        send_advice_query (f, order);
      else if (o->kind != OUT_STORE || !proxy_route (f, o))
        return o;
      out_free (o);
    }
  return NULL;
}

const char *
fleet_leader_addr (const struct fleet *f)
{
  if (f->leader.state == LEADER_LEADING || !*f->leader.holder_addr
      || strcmp (f->leader.holder, f->settings.id) == 0
      || f->now_ms - f->leader_last_contact_ms > LEADER_UNREACHABLE_MS)
    return NULL;
  return f->leader.holder_addr;
}

/* Configuration. */

bool
fleet_conf_behind (const struct fleet *f)
{
  return f->conf && f->conf_superseded_ms > f->conf_current_ms;
}

void
fleet_set_conf_current (struct fleet *f, int64_t at_ms)
{
  if (f->conf && !f->conf_refused && at_ms > f->conf_current_ms)
    f->conf_current_ms = at_ms;
}

void
fleet_set_conf_superseded (struct fleet *f)
{
  if (f->conf && !fleet_conf_behind (f))
    out_line (&f->out, "event=config-behind in_force=%lld age_ms=%lld",
              (long long)f->conf->version,
              (long long)(f->now_ms - f->conf_current_ms));
  f->conf_superseded_ms = f->now_ms;
}

/* Replaces the configuration by the one in @row, if @row holds a newer
   version. */
static void
apply_config_row (struct fleet *f, const struct row *row)
{
  struct fconf *conf;
  struct codec_err ce = { 0 };
  int err;

  if (strcmp (row->key, f->settings.codec.conf_key) != 0 || !row->value)
    return;
  err = f->settings.codec.decode_conf (row->value, &conf, &ce);
  if (err)
    {
      f->stats.bad_rows++;
      f->stats.configs_refused++;
      out_line (&f->out,
                "event=config-refused error=%s field=%s row=%lld bytes=%zu "
                "in_force=%lld",
                clb_err_name (err), ce.path, (long long)row->ver,
                strlen (row->value),
                f->conf ? (long long)f->conf->version : 0);
      f->conf_refused = true;
      fleet_set_conf_superseded (f);
      return;
    }
  f->conf_refused = false;
  if (f->conf && conf->version <= f->conf->version)
    {
      fconf_free (conf);
      return;
    }
  out_line (&f->out,
            "event=config version=%lld row=%lld bytes=%zu queues=%zu "
            "tenants=%zu unusable=%zu first_unusable=\"%s\"",
            (long long)conf->version, (long long)row->ver, strlen (row->value),
            conf->n_queues, conf->n_tenants, conf->n_unusable,
            conf->first_unusable);
  fconf_free (f->conf);
  f->conf = conf;
  f->conf_superseded_ms = INT64_MIN / 2;
  if (f->fsched)
    fsched_set_conf (f->fsched, conf);
}

/* Logs a change of the evacuated failure domains, and passes it to the
   scheduler. */
static void
note_evacuation (struct fleet *f, const char *domain, const char *change,
                 int64_t ver)
{
  out_line (&f->out,
            "event=evacuation change=%s domain=%.64s row=%lld evacuated=%d",
            change, domain, (long long)ver, f->evac.n_domains);
  if (f->fsched)
    fsched_set_evac (f->fsched, &f->evac);
}

/* Processes a row of the table of the configuration, if it evacuates a failure
   domain.
   @ver: version of the answer with the row, which counts for the removal of a
         row without a version
   @in_list: as evac_row() */
static void
apply_evac_row (struct fleet *f, const struct row *row, int64_t ver,
                bool in_list)
{
  static const char *const changes[] = {
    [EVAC_BEGUN] = "begun", [EVAC_ENDED] = "ended", [EVAC_IGNORED] = "ignored"
  };
  size_t len = strlen (f->settings.codec.evac_prefix);
  int change;

  if (strncmp (row->key, f->settings.codec.evac_prefix, len) != 0)
    return;
  change = evac_row (&f->evac, f->now_ms, row->key + len, row->value != NULL,
                     row->ver ? row->ver : ver, in_list);
  f->stats.bad_rows += change == EVAC_IGNORED;
  if (change != EVAC_UNCHANGED)
    note_evacuation (f, row->key + len, changes[change], row->ver);
}

/* Notes that the evacuated failure domains are known as of @at_ms. */
static void
set_evac_current (struct fleet *f, int64_t at_ms)
{
  if (at_ms > f->evac_current_ms)
    f->evac_current_ms = at_ms;
}

/* Returns whether a domain may have been evacuated for so long that nothing
   may be started in it, without this instance's knowledge. */
static bool
evac_outdated (const struct fleet *f)
{
  int64_t max_ms = f->settings.evacuate_ms > FLEET_READY_CONF_AGE_MS
                       ? f->settings.evacuate_ms
                       : FLEET_READY_CONF_AGE_MS;

  return f->settings.evacuate_ms && f->now_ms - f->evac_current_ms >= max_ms;
}

/* Ends a complete list of the operator's rows, as of version @ver. */
static void
end_evac_list (struct fleet *f, int64_t ver)
{
  if (evac_list_end (&f->evac, ver) > 0)
    note_evacuation (f, "", "not-listed", ver);
}

/* Reads the evacuations through a peer if this instance leads and does not
   reach the table service: its feed does not show them. */
static void
fetch_evacuations (struct fleet *f)
{
  struct out *o;

  if (!f->settings.evacuate_ms || !f->fsched || f->evac_fetch_token
      || f->now_ms < f->next_evac_fetch_ms || !proxy_table_unreachable (f)
      || !proxy_peer (f))
    return;
  f->next_evac_fetch_ms = f->now_ms + FLEET_EVAC_FETCH_MS;
  f->evac_fetch_sent_ms = f->now_ms;
  o = out_new (&f->out, OUT_STORE);
  f->evac_fetch_token = ++f->last_token;
  o->u.store.token = f->evac_fetch_token;
  o->u.store.op.kind = STORE_LIST;
  if (asprintf (&o->u.store.op.key, "%s/", f->settings.codec.conf_table) < 0)
    abort ();
  o->u.store.op.after = strdup (f->settings.codec.evac_prefix);
  o->u.store.op.limit = EVAC_DOMAINS_MAX;
}

/* If call @token was made by fetch_evacuations(), handles @rep and returns
   true; otherwise returns false. */
static bool
handle_evac_reply (struct fleet *f, uint64_t token,
                   const struct store_rep *rep)
{
  if (!token || token != f->evac_fetch_token)
    return false;
  /* A list that the feed has begun is ended by the feed. */
  bool whole = f->conf_feed.listed;

  f->evac_fetch_token = 0;
  /* The feed has shown what is newer; it does not repeat it. */
  if (rep->err || rep->ver < f->conf_feed.ver)
    return true;
  if (whole)
    evac_list_begin (&f->evac);
  for (size_t i = 0; i < rep->n_rows; i++)
    apply_evac_row (f, &rep->rows[i], rep->ver, whole);
  if (whole && !rep->more && !rep->n_bad)
    end_evac_list (f, rep->ver);
  if (!rep->more && !rep->n_bad)
    set_evac_current (f, f->evac_fetch_sent_ms);
  return true;
}

/* Reads the configuration through a peer, if none has been read or a newer one
   is known to exist, and this instance does not reach the table service.  The
   feed's own calls are always sent directly. */
static void
fetch_config (struct fleet *f)
{
  struct out *o;
  bool wanted = !f->conf || fleet_conf_behind (f);

  if (ABLATED (CONF_FETCH) || f->conf_fetch_token || !wanted || f->conf_refused
      || f->now_ms < f->next_conf_fetch_ms || !proxy_table_unreachable (f)
      || !proxy_peer (f))
    return;
  f->next_conf_fetch_ms = f->now_ms + FLEET_CONF_FETCH_MS;
  o = out_new (&f->out, OUT_STORE);
  f->conf_fetch_token = ++f->last_token;
  o->u.store.token = f->conf_fetch_token;
  o->u.store.op.kind = STORE_GET;
  o->u.store.op.key = strdup (f->settings.codec.conf_key);
}

/* If call @token was made by fetch_config(), handles @rep and returns true;
   otherwise returns false. */
static bool
handle_fetch_reply (struct fleet *f, uint64_t token,
                    const struct store_rep *rep)
{
  if (!token || token != f->conf_fetch_token)
    return false;
  f->conf_fetch_token = 0;
  for (size_t i = 0; i < rep->n_rows && !rep->err; i++)
    apply_config_row (f, &rep->rows[i]);
  return true;
}

/* If call @token was made by the configuration's feed, handles @rep and
   returns true; otherwise returns false. */
static bool
handle_config_reply (struct fleet *f, uint64_t token,
                     const struct store_rep *rep)
{
  bool mine;
  bool listed = f->conf_feed.listed;
  int event
      = follow_store_reply (&f->conf_feed, f->now_ms, token, rep, true, &mine);

  if (!mine)
    return false;
  if (listed && !f->conf_feed.listed)
    evac_list_begin (&f->evac);
  if (rep->err && !f->conf_feed_failed)
    {
      f->conf_feed_failed_since_ms = f->now_ms;
      out_line (&f->out, "event=store-lost error=%s", clb_err_name (rep->err));
    }
  else if (!rep->err && f->conf_feed_failed)
    out_line (&f->out, "event=store-regained");
  f->conf_feed_failed = rep->err != 0;
  if (event == FOLLOW_NONE)
    return true;
  for (size_t i = 0; i < rep->n_rows; i++)
    {
      apply_config_row (f, &rep->rows[i]);
      apply_evac_row (f, &rep->rows[i], rep->ver, true);
    }
  f->evac.list_damaged |= rep->n_bad > 0;
  if (event == FOLLOW_LISTED)
    end_evac_list (f, rep->ver);
  if (event != FOLLOW_CHANGES && event != FOLLOW_LISTED)
    return true;
  fleet_set_conf_current (f, f->conf_feed.fresh_ms);
  set_evac_current (f, f->conf_feed.fresh_ms);
  return true;
}

void
fleet_relist_if_stuck (struct fleet *f, struct table_follower *feed)
{
  if (!follow_feed_stuck (feed) || proxy_table_unreachable (f))
    return;
  out_line (&f->out, "event=feed-stuck table=%s", feed->table);
  follow_relist (feed);
}

/* Passes a row of the executors' table to the scheduler.  An executor whose
   row was deleted or is damaged counts as unlisted. */
static void
apply_exec_row (struct fleet *f, const struct row *row)
{
  const char *slash = strchr (row->key, '/');
  const char *id = slash ? slash + 1 : "";
  struct exec_report report;

  if (!*id)
    return;
  if (row->value && !f->settings.codec.decode_exec (id, row->value, &report))
    {
      fsched_exec_report (f->fsched, &report);
      return;
    }
  if (row->value)
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=bad-row key=%s error=not-an-executor",
                row->key);
    }
  fsched_exec_unlisted (f->fsched, id);
}

/* If call @token was made by the feed of executors, handles @rep and returns
   true; otherwise returns false. */
static bool
handle_execs_reply (struct fleet *f, uint64_t token,
                    const struct store_rep *rep)
{
  bool mine;
  bool listed = f->exec_feed.listed;
  int event
      = follow_store_reply (&f->exec_feed, f->now_ms, token, rep, true, &mine);

  if (!mine)
    return false;
  if (event != FOLLOW_NONE)
    for (size_t i = 0; i < rep->n_rows; i++)
      apply_exec_row (f, &rep->rows[i]);
  fleet_relist_if_stuck (f, &f->exec_feed);
  if (event == FOLLOW_LISTED)
    fsched_exec_list (f->fsched, false);
  else if (listed && !f->exec_feed.listed)
    fsched_exec_list (f->fsched, true);
  fleet_load_finish (f);
  return true;
}

/* Returns the longest lease that executors grant. */
static int64_t
lease_max_ms (const struct fleet *f)
{
  return f->settings.lease_max_ms > FSCHED_LEASE_MS ? f->settings.lease_max_ms
                                                    : FSCHED_LEASE_MS;
}

/* Returns the time after a new leader's claim until an unreachable executor no
   longer runs any task that an earlier leader has started.  The earlier leader
   may have given orders for LEADER_MAY_ORDER_MS, of which
   LEADER_CLAIM_AFTER_MS had passed before the claim.  After the last order the
   executor's lease has to end, on a clock that is 2% slow. */
static int64_t
earlier_runs_wait_ms (const struct fleet *f)
{
  return LEADER_MAY_ORDER_MS - LEADER_CLAIM_AFTER_MS
         + lease_max_ms (f) * 102 / 100 + 300;
}

/* Begins this instance's term as the leader: makes a new scheduler and begins
   to read the recorded state. */
static void
begin_term (struct fleet *f)
{
  out_line (&f->out, "event=lead-taken epoch=%lld config=%lld",
            (long long)f->leader.epoch,
            f->conf ? (long long)f->conf->version : 0);
  f->stats.leader_terms++;
  fleet_drop_scheduler (f);
  f->fsched = fsched_new (&f->out, &f->last_token, f->now_ms, f->leader.epoch,
                          earlier_runs_wait_ms (f), &f->stats.fsched);
  f->fsched->wall_offset_ms = f->wall_ms - f->now_ms;
  fsched_set_lease_max (f->fsched, lease_max_ms (f));
  fsched_set_limits (f->fsched, &f->settings.limits);
  fsched_adviser_seen (f->fsched, "", "", 0, 0);
  fsched_inherit_lanes (f->fsched, f->advice_lanes);
  for (size_t i = 0; i < f->n_overloads && fleet_overloads_hold (f); i++)
    fsched_inherit_overload (f->fsched, f->overloads[i].queue);
  if (f->conf)
    fsched_set_conf (f->fsched, f->conf);
  fsched_set_evac (f->fsched, &f->evac);
  fleet_load_start (f);
}

/* Takes the right to give orders from the scheduler once it is over: the
   process may have been paused since the last tick. */
static void
update_may_order (struct fleet *f)
{
  f->fsched->may_order
      = f->fsched->may_order && leader_may_order (&f->leader, f->now_ms);
}

/* If call @token was made by the leader election, handles @rep and returns
   true; otherwise returns false. */
static bool
handle_election_reply (struct fleet *f, uint64_t token,
                       const struct store_rep *rep)
{
  bool mine;

  switch (leader_store_reply (&f->leader, f->now_ms, token, rep, &mine))
    {
    case LEADER_ELECTED:
      begin_term (f);
      break;
    case LEADER_RECORDED:
      hist_add (&f->stats.record_ms, f->now_ms - f->leader.renewed_ms);
      if (f->fsched)
        {
          f->fsched->fenced = false;
          update_may_order (f);
          fsched_recorded (f->fsched);
        }
      break;
    case LEADER_REFUSED:
      f->stats.writes_refused++;
      if (f->fsched)
        fsched_refused (f->fsched);
      break;
    case LEADER_SUPERSEDED:
      out_line (&f->out, "event=lead-lost epoch=%lld renewed_ms_ago=%lld",
                (long long)f->leader.epoch,
                (long long)(f->now_ms - f->leader.renewed_ms));
      fleet_drop_scheduler (f);
      break;
    default:
      break;
    }
  return mine;
}

/* Sends a write of the scheduler's records, if a write is due.  A heartbeat is
   sent even if there are no records. */
static void
write_records (struct fleet *f)
{
  struct store_op *op;

  if (!leader_can_write (&f->leader, f->now_ms))
    return;
  if (!leader_heartbeat_due (&f->leader, f->now_ms)
      && !(f->fsched && f->fsched->intents_write_due
           && f->now_ms >= f->next_intents_ms)
      && !(f->fsched && f->fsched->record_due
           && f->now_ms >= f->next_record_ms))
    return;
  op = calloc (1, sizeof *op);
  if (!op)
    abort ();
  if (f->fsched)
    fsched_collect (f->fsched, op, LEADER_ROWS_MAX);
  f->next_record_ms = f->now_ms + FLEET_RECORD_BATCH_MS;
  f->next_intents_ms = f->now_ms + FLEET_INTENT_BATCH_MS;
  leader_write (&f->leader, f->now_ms, op);
}

/* Queues all calls, writes and orders that are due.  Called after each
   input. */
static void
send_due_output (struct fleet *f)
{
  leader_tick (&f->leader, f->now_ms);
  follow_tick (&f->conf_feed, f->now_ms);
  if (f->fsched)
    {
      fleet_load_tick (f);
      follow_tick (&f->exec_feed, f->now_ms);
      follow_tick (&f->job_feed, f->now_ms);
      if (f->fsched->loaded && leader_may_order (&f->leader, f->now_ms))
        withdrawals_tick (&f->withdrawals, f->now_ms, fleet_table_ms (f));
      f->fsched->wall_offset_ms = f->wall_ms - f->now_ms;
      fsched_hold_starts (f->fsched, evac_outdated (f),
                          f->now_ms - f->evac_current_ms);
      fsched_tick (f->fsched, f->now_ms,
                   leader_may_order (&f->leader, f->now_ms)
                       && !f->fsched->fenced);
    }
  write_records (f);
}

void
fleet_dispatch_reply (struct fleet *f, uint64_t token,
                      const struct store_rep *rep)
{
  if (f->fsched)
    f->fsched->now_ms = f->now_ms;
  if (!handle_election_reply (f, token, rep)
      && !handle_config_reply (f, token, rep)
      && !handle_fetch_reply (f, token, rep)
      && !handle_evac_reply (f, token, rep))
    if (!f->fsched
        || (!fleet_load_store_reply (f, token, rep)
            && !fleet_jobs_reply (f, token, rep)
            && !handle_execs_reply (f, token, rep)
            && !withdrawals_store_reply (&f->withdrawals, f->now_ms, token,
                                         rep)))
      api_store_reply (f, token, rep);
}

int64_t
fleet_table_ms (const struct fleet *f)
{
  return f->table_clock_known ? f->now_ms + f->table_clock_offset_ms : 0;
}

void
fleet_set_table_ms (struct fleet *f, int64_t table_ms)
{
  if (!table_ms)
    return;
  f->table_clock_offset_ms = table_ms - f->now_ms;
  f->table_clock_known = true;
}

int64_t
fleet_n_instances (const struct fleet *f)
{
  int64_t n = f->fsched ? f->fsched->n_advisers : f->n_instances;

  return n > 0 ? n : 1;
}

void
fleet_store_reply (struct fleet *f, int64_t now_ms, uint64_t token,
                   const struct store_rep *rep)
{
  fleet_set_now (f, now_ms);
  fleet_set_table_ms (f, rep->now_ms);
  if (rep->err == 0 || rep->err == CLB_ECONFLICT || rep->err == CLB_ENOTFOUND)
    {
      f->store_last_contact_ms = now_ms;
      f->store_failures = 0;
    }
  else
    f->store_failures++;
  if (rep->n_bad)
    {
      f->stats.bad_rows += (uint64_t)rep->n_bad;
      out_line (&f->out, "event=bad-row values=%lld rows=%zu ver=%lld",
                (long long)rep->n_bad, rep->n_rows, (long long)rep->ver);
    }
  if (!proxy_store_reply (f, token, rep))
    fleet_dispatch_reply (f, token, rep);
  send_due_output (f);
}

void
fleet_store_partial (struct fleet *f, int64_t now_ms, uint64_t token,
                     size_t total)
{
  fleet_set_now (f, now_ms);
  f->store_last_contact_ms = now_ms;
  f->store_failures = 0;
  if (total > FLEET_NO_CHANGE_BYTES
      && follow_is_feed_call (&f->conf_feed, token))
    fleet_set_conf_superseded (f);
}

void
fleet_order_result (struct fleet *f, int64_t now_ms, const struct order *o,
                    const struct order_result *res)
{
  fleet_set_now (f, now_ms);
  if (*o->reply_to)
    fleet_send_advice_reply (f, o, res);
  else if (f->fsched)
    {
      update_may_order (f);
      fsched_order_result (f->fsched, now_ms, o->id, res);
    }
  send_due_output (f);
}

void
fleet_mesh_msg (struct fleet *f, int64_t now_ms, struct mesh_msg *m)
{
  fleet_set_now (f, now_ms);
  fleet_handle_mesh_msg (f, m);
  send_due_output (f);
}

void
fleet_tick (struct fleet *f, int64_t now_ms, int64_t wall_ms)
{
  fleet_set_now (f, now_ms);
  f->wall_ms = wall_ms;
  fleet_send_hello (f);
  fetch_config (f);
  fetch_evacuations (f);
  proxy_tick (f);
  api_tick (f);
  send_due_output (f);
}

void
fleet_stop (struct fleet *f, int64_t now_ms)
{
  fleet_set_now (f, now_ms);
  f->stopping = true;
  if (f->leader.state == LEADER_LEADING)
    out_line (&f->out, "event=lead-released epoch=%lld",
              (long long)f->leader.epoch);
  leader_release (&f->leader, now_ms);
  fleet_drop_scheduler (f);
}

bool
fleet_idle (const struct fleet *f)
{
  return f->n_requests == 0;
}

bool
fleet_ready (const struct fleet *f, int64_t now_ms)
{
  return f->conf && !f->stopping
         && now_ms - f->conf_current_ms < FLEET_READY_CONF_AGE_MS;
}
