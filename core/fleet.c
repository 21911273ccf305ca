#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A silent executor's lease, on a clock 2% slow, after the earlier leader
     has surely stopped giving orders: it may order for LEAD_ORDER_MS, of
     which LEAD_STILL_MS had passed before the claim. */
  WAIT_OUT_MS
  = LEAD_ORDER_MS - LEAD_STILL_MS + CELL_LEASE_MS * 102 / 100 + 300,
  AGE_MAX_MS = 86400000,
  TOKEN_BITS = 20, /* of a call's number, below its boot's time: the next
                      life's numbers begin beyond all that this one may use */
};

#define SUFFIX_CANCEL ".cancel"

void
fleet_init (struct fleet *f, const struct fleet_settings *set, int64_t now_ms)
{
  memset (f, 0, sizeof *f);
  f->set = *set;
  f->now_ms = now_ms;
  /* An answer to an earlier life of this instance matches nothing. */
  f->tokens = (uint64_t)set->boot << TOKEN_BITS;
  TAILQ_INIT (&f->out);
  RB_INIT (&f->callers);
  lead_init (&f->lead, now_ms, set->id, set->mesh_addr, set->boot,
             set->millicores, &f->out, &f->tokens);
  follow_init (&f->conf_feed, set->codec.conf_table, 0, FLEET_FEED_WAIT_MS,
               &f->out, &f->tokens);
  follow_init (&f->exec_feed, set->codec.exec_table, 0, FLEET_FEED_WAIT_MS,
               &f->out, &f->tokens);
  follow_init (&f->job_feed, "job", CELL_JOB_PARTS, FLEET_FEED_WAIT_MS,
               &f->out, &f->tokens);
  f->job_feed.pause_ms = FLEET_JOBS_GAP_MS;
  f->proved_ms = INT64_MIN / 2;
  f->peer_fresh_ms = INT64_MIN / 2;
  proxy_init (f);
  follow_start (&f->conf_feed, now_ms);
}

static void
drop_cell (struct fleet *f)
{
  cell_free (f->cell);
  f->cell = NULL;
  follow_stop (&f->exec_feed);
  follow_stop (&f->job_feed);
  load_stop (f);
}

void
fleet_fini (struct fleet *f)
{
  struct out *o;

  gate_fini (f);
  proxy_fini (f);
  drop_cell (f);
  lead_fini (&f->lead);
  follow_stop (&f->conf_feed);
  fconf_free (f->conf);
  while ((o = out_take (&f->out)))
    out_free (o);
}

void
fleet_send (struct fleet *f, const char *addr, struct mesh_msg *m)
{
  struct out *o = out_new (&f->out, OUT_MESH);

  clb_copy (m->from, f->set.id, sizeof m->from);
  clb_copy (m->addr, f->set.mesh_addr, sizeof m->addr);
  m->epoch = f->lead.epoch;
  clb_copy (o->u.mesh.addr, addr, sizeof o->u.mesh.addr);
  o->u.mesh.msg = m;
}

/* A question that another instance is to put to the advice service. */
static void
send_question (struct fleet *f, const struct order *o)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_ADVISE_ASK;
  m->no = (int64_t)o->no;
  m->valid_ms = o->timeout_ms;
  clb_copy (m->id, o->task.job, sizeof m->id);
  m->occurrence = o->task.occurrence;
  m->step = o->task.step;
  m->names = calloc (o->n_names ? o->n_names : 1, sizeof *m->names);
  if (!m->names)
    abort ();
  m->n_names = o->n_names;
  for (size_t i = 0; i < o->n_names; i++)
    clb_copy (m->names[i].exec, o->names[i], CLB_ID_MAX);
  fleet_send (f, o->addr, m);
}

struct out *
fleet_next_out (struct fleet *f)
{
  struct out *o;

  while ((o = out_take (&f->out)))
    {
      const struct order *order = o->kind == OUT_ORDER ? o->u.order : NULL;
      bool asks = order && order->kind == ORDER_ADVISE && *order->addr;
      if (asks)
        send_question (f, order);
      else if (o->kind != OUT_STORE || !proxy_route (f, o))
        return o;
      out_free (o);
    }
  return NULL;
}

const char *
fleet_leader_addr (const struct fleet *f)
{
  if (f->lead.state == LEAD_HOLD || !*f->lead.holder_addr
      || strcmp (f->lead.holder, f->set.id) == 0
      || f->now_ms - f->leader_heard_ms > LEAD_SILENT_MS)
    return NULL;
  return f->lead.holder_addr;
}

/* Configuration. */

static void
proved (struct fleet *f, int64_t at_ms)
{
  if (f->conf && at_ms > f->proved_ms)
    f->proved_ms = at_ms;
}

static void
take_config (struct fleet *f, const struct row *row)
{
  struct fconf *conf;
  struct codec_err ce = { 0 };
  int err;

  if (strcmp (row->key, f->set.codec.conf_key) != 0 || !row->value)
    return;
  err = f->set.codec.conf (row->value, &conf, &ce);
  if (err)
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=config-refused error=%s field=%s",
                clb_err_name (err), ce.path);
      return;
    }
  if (f->conf && conf->version <= f->conf->version)
    {
      fconf_free (conf);
      return;
    }
  out_line (&f->out,
            "event=config version=%lld row=%lld queues=%zu "
            "tenants=%zu",
            (long long)conf->version, (long long)row->ver, conf->n_queues,
            conf->n_tenants);
  fconf_free (f->conf);
  f->conf = conf;
  if (f->cell)
    cell_conf (f->cell, conf);
}

static bool
config_store (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  bool mine;
  int event = follow_store (&f->conf_feed, f->now_ms, token, rep, true, &mine);

  if (!mine)
    return false;
  if (rep->err && !f->store_lost)
    {
      f->store_lost_ms = f->now_ms;
      out_line (&f->out, "event=store-lost error=%s", clb_err_name (rep->err));
    }
  else if (!rep->err && f->store_lost)
    out_line (&f->out, "event=store-regained");
  f->store_lost = rep->err != 0;
  if (event == FOLLOW_NONE)
    return true;
  for (size_t i = 0; i < rep->n_rows; i++)
    take_config (f, &rep->rows[i]);
  if (event == FOLLOW_CHANGES || event == FOLLOW_LISTED)
    proved (f, f->conf_feed.fresh_ms);
  return true;
}

static void
take_job (struct fleet *f, const char *id, const char *text)
{
  struct job_spec spec;
  struct codec_err ce;
  int64_t age = 0;

  if (cell_state (f->cell, id) >= 0 || strcmp (text, CELL_TRIMMED) == 0)
    return;
  if (codec_parse (&job_spec_desc, text, strlen (text), CODEC_LENIENT, &spec,
                   &ce)
      || strcmp (spec.id, id) != 0 || job_check (&spec, &ce))
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=bad-row key=job/%s error=%s field=%s", id,
                clb_err_name (ce.err), ce.path);
      return;
    }
  /* Of a job that has just come, only wall clocks could tell, and instances'
     differ by seconds. */
  if (!f->cell->going && f->wall_ms > spec.accepted_ms)
    age = f->wall_ms - spec.accepted_ms;
  cell_job (f->cell, &spec, !f->cell->going, age);
}

static void
take_job_row (struct fleet *f, const struct row *row)
{
  const char *slash = strrchr (row->key, '/');
  char id[JOB_ID_SIZE];

  if (!slash || !row->value || strlen (slash + 1) < JOB_ID_SIZE - 1)
    return;
  clb_copy (id, slash + 1, sizeof id);
  if (!slash[JOB_ID_SIZE])
    take_job (f, id, row->value);
  else if (strcmp (slash + JOB_ID_SIZE, SUFFIX_CANCEL) == 0)
    cell_cancel (f->cell, id);
}

/* The same as through the feed, sooner.  The rule is the same too: what is
   known while nobody can have claimed is not known to a successor only. */
static void
hear_job (struct fleet *f, const char *id, const char *record)
{
  if (!f->cell || !f->cell->going || !lead_may_admit (&f->lead, f->now_ms)
      || !job_id_ok (id))
    return;
  if (record)
    take_job (f, id, record);
  else
    cell_cancel (f->cell, id);
}

void
fleet_tell_job (struct fleet *f, const char *id, const char *record)
{
  const char *addr = fleet_leader_addr (f);
  struct mesh_msg *m;

  hear_job (f, id, record);
  if (!addr)
    return;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_JOB;
  clb_copy (m->id, id, sizeof m->id);
  m->text = record ? strdup (record) : NULL;
  fleet_send (f, addr, m);
}

static bool
job_store (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  bool mine;
  /* An earlier leader could not have read what follows a claim. */
  int event = follow_store (&f->job_feed, f->now_ms, token, rep,
                            lead_may_admit (&f->lead, f->now_ms), &mine);

  if (!mine)
    return false;
  if (event != FOLLOW_NONE)
    for (size_t i = 0; i < rep->n_rows; i++)
      take_job_row (f, &rep->rows[i]);
  load_finish (f);
  return true;
}

static void
take_exec_row (struct fleet *f, const struct row *row)
{
  const char *slash = strchr (row->key, '/');
  const char *id = slash ? slash + 1 : "";
  struct exec_report rep;

  if (!*id)
    return;
  if (row->value && !f->set.codec.exec (id, row->value, &rep))
    {
      cell_exec (f->cell, &rep);
      return;
    }
  if (row->value)
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=bad-row key=%s error=not-an-executor",
                row->key);
    }
  cell_exec_gone (f->cell, id);
}

static bool
exec_store (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  bool mine;
  bool listed = f->exec_feed.listed;
  int event = follow_store (&f->exec_feed, f->now_ms, token, rep, true, &mine);

  if (!mine)
    return false;
  if (event != FOLLOW_NONE)
    for (size_t i = 0; i < rep->n_rows; i++)
      take_exec_row (f, &rep->rows[i]);
  if (event == FOLLOW_LISTED)
    cell_exec_list (f->cell, false);
  else if (listed && !f->exec_feed.listed)
    cell_exec_list (f->cell, true);
  load_finish (f);
  return true;
}

static void
begin_term (struct fleet *f)
{
  out_line (&f->out, "event=lead-taken epoch=%lld", (long long)f->lead.epoch);
  f->stats.terms++;
  drop_cell (f);
  f->cell = cell_new (&f->out, &f->tokens, f->now_ms, f->lead.epoch,
                      WAIT_OUT_MS, &f->stats.cell);
  cell_adviser (f->cell, "", "", 0, 0);
  if (f->conf)
    cell_conf (f->cell, f->conf);
  load_start (f);
}

static bool
lead_reply (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  bool mine;

  switch (lead_store (&f->lead, f->now_ms, token, rep, &mine))
    {
    case LEAD_TAKEN:
      begin_term (f);
      break;
    case LEAD_RECORDED:
      hist_add (&f->stats.record_ms, f->now_ms - f->lead.renewed_ms);
      if (f->cell)
        {
          f->cell->fenced = false;
          cell_recorded (f->cell);
        }
      break;
    case LEAD_LOST:
      out_line (&f->out, "event=lead-lost epoch=%lld renewed_ms_ago=%lld",
                (long long)f->lead.epoch,
                (long long)(f->now_ms - f->lead.renewed_ms));
      drop_cell (f);
      break;
    default:
      break;
    }
  return mine;
}

static void
write_records (struct fleet *f)
{
  struct store_op *op;

  if (!lead_can_write (&f->lead, f->now_ms))
    return;
  if (!lead_beat_due (&f->lead, f->now_ms)
      && !(f->cell && f->cell->plan_due && f->now_ms >= f->next_plan_ms)
      && !(f->cell && f->cell->record_due && f->now_ms >= f->next_write_ms))
    return;
  op = calloc (1, sizeof *op);
  if (!op)
    abort ();
  if (f->cell)
    cell_collect (f->cell, op, LEAD_ROWS_MAX);
  f->next_write_ms = f->now_ms + FLEET_WRITE_GAP_MS;
  f->next_plan_ms = f->now_ms + FLEET_PLAN_GAP_MS;
  lead_write (&f->lead, f->now_ms, op);
}

/* For messages. */
static int64_t
age (const struct fleet *f, int64_t since_ms)
{
  int64_t ms = f->now_ms - since_ms;

  return ms < AGE_MAX_MS ? ms : AGE_MAX_MS;
}

static void
say_hello (struct fleet *f)
{
  struct mesh_msg *m;

  if (f->now_ms < f->next_hello_ms || f->lead.state == LEAD_HOLD
      || !*f->lead.holder_addr || strcmp (f->lead.holder, f->set.id) == 0)
    return;
  f->next_hello_ms = f->now_ms + FLEET_HELLO_MS;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_HELLO;
  m->no = f->now_ms;
  m->millicores = f->set.millicores;
  m->table_age_ms = age (f, f->store_heard_ms);
  fleet_send (f, f->lead.holder_addr, m);
}

static void
work (struct fleet *f)
{
  lead_tick (&f->lead, f->now_ms);
  follow_tick (&f->conf_feed, f->now_ms);
  if (f->cell)
    {
      load_tick (f);
      follow_tick (&f->exec_feed, f->now_ms);
      follow_tick (&f->job_feed, f->now_ms);
      cell_tick (f->cell, f->now_ms,
                 lead_may_order (&f->lead, f->now_ms) && !f->cell->fenced);
    }
  write_records (f);
}

void
fleet_answered (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  if (f->cell)
    f->cell->now_ms = f->now_ms;
  if (!lead_reply (f, token, rep) && !config_store (f, token, rep))
    if (!f->cell
        || (!load_store (f, token, rep) && !job_store (f, token, rep)
            && !exec_store (f, token, rep)))
      gate_store (f, token, rep);
}

void
fleet_store (struct fleet *f, int64_t now_ms, uint64_t token,
             const struct store_rep *rep)
{
  f->now_ms = now_ms;
  if (rep->err == 0 || rep->err == CLB_ECONFLICT || rep->err == CLB_ENOTFOUND)
    {
      f->store_heard_ms = now_ms;
      f->store_failures = 0;
    }
  else
    f->store_failures++;
  if (!proxy_store (f, token, rep))
    fleet_answered (f, token, rep);
  work (f);
}

static void
send_advice (struct fleet *f, const struct order *o,
             const struct order_result *res)
{
  struct mesh_msg *m = calloc (1, sizeof *m);

  if (!m)
    abort ();
  m->kind = MESH_ADVICE;
  m->no = (int64_t)o->no;
  m->outcome = res->outcome;
  m->valid_ms = res->valid_ms;
  m->names = calloc (res->n_good ? res->n_good : 1, sizeof *m->names);
  if (!m->names)
    abort ();
  m->n_names = res->n_good;
  for (size_t i = 0; i < res->n_good; i++)
    {
      clb_copy (m->names[i].exec, res->good[i].exec, CLB_ID_MAX);
      clb_copy (m->names[i].ticket, res->good[i].ticket, ORDER_TICKET_SIZE);
    }
  fleet_send (f, o->reply_to, m);
}

void
fleet_order_result (struct fleet *f, int64_t now_ms, const struct order *o,
                    const struct order_result *res)
{
  f->now_ms = now_ms;
  if (*o->reply_to)
    send_advice (f, o, res);
  else if (f->cell)
    cell_result (f->cell, now_ms, o->no, res);
  work (f);
}

/* Messages of other instances. */

/* While the leader does not reach the table, it names an instance that does.
 */
static void
point_to_peer (const struct fleet *f, struct mesh_msg *r)
{
  const struct adviser *a = f->cell ? cell_adviser_fresh (f->cell) : NULL;

  if (!proxy_way_lost (f) || !a)
    return;
  clb_copy (r->via, a->addr, sizeof r->via);
  r->table_age_ms = f->now_ms - a->fresh_ms;
}

static void
greet (struct fleet *f, const struct mesh_msg *m)
{
  struct mesh_msg *r;
  int rank = -1;

  if (f->lead.state != LEAD_HOLD)
    return;
  if (f->cell)
    {
      cell_adviser (f->cell, m->from, m->addr, m->millicores,
                    f->now_ms - m->table_age_ms);
      /* Until all have greeted it, a new leader knows no order among them. */
      if (f->now_ms - f->cell->claimed_ms >= FLEET_ACQUAINTED_MS)
        rank = cell_adviser_rank (f->cell, m->from);
    }
  r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->kind = MESH_LEADER;
  r->no = m->no;
  r->conf_version = f->conf ? f->conf->version : 0;
  r->conf_age_ms = age (f, f->proved_ms);
  r->table_age_ms = age (f, f->store_heard_ms);
  point_to_peer (f, r);
  r->rank = rank + 1;
  fleet_send (f, m->addr, r);
}

/* The leader has this instance put its question to the advice service. */
static void
forward_question (struct fleet *f, const struct mesh_msg *m)
{
  struct order *o = calloc (1, sizeof *o);

  if (!o)
    abort ();
  o->kind = ORDER_ADVISE;
  o->no = (uint64_t)m->no;
  o->timeout_ms = m->valid_ms;
  clb_copy (o->reply_to, m->addr, sizeof o->reply_to);
  clb_copy (o->task.job, m->id, sizeof o->task.job);
  o->task.occurrence = m->occurrence;
  o->task.step = m->step;
  o->names = calloc (m->n_names ? m->n_names : 1, sizeof *o->names);
  if (!o->names)
    abort ();
  for (size_t i = 0; i < m->n_names; i++)
    clb_copy (o->names[i], m->names[i].exec, CLB_ID_MAX);
  o->n_names = m->n_names;
  out_new (&f->out, OUT_ORDER)->u.order = o;
}

static void
take_advice (struct fleet *f, const struct mesh_msg *m)
{
  struct order_result res = { .outcome = (int)m->outcome };

  if (!f->cell)
    return;
  res.valid_ms = m->valid_ms;
  res.good = calloc (m->n_names ? m->n_names : 1, sizeof *res.good);
  if (!res.good)
    abort ();
  res.n_good = m->n_names;
  for (size_t i = 0; i < m->n_names; i++)
    {
      clb_copy (res.good[i].exec, m->names[i].exec, CLB_ID_MAX);
      clb_copy (res.good[i].ticket, m->names[i].ticket, ORDER_TICKET_SIZE);
    }
  cell_result (f->cell, f->now_ms, (uint64_t)m->no, &res);
  order_result_clear (&res);
}

/* What the leader says was so after this instance had asked. */
static void
hear_leader (struct fleet *f, const struct mesh_msg *m)
{
  lead_heard (&f->lead, f->now_ms, m->epoch, m->rank - 1);
  if (strcmp (m->from, f->lead.holder) != 0)
    return;
  f->leader_heard_ms = f->now_ms;
  f->peer_fresh_ms = m->no - m->table_age_ms;
  clb_copy (f->peer, *m->via ? m->via : m->addr, sizeof f->peer);
  if (f->conf && m->conf_version == f->conf->version)
    proved (f, m->no - m->conf_age_ms);
}

void
fleet_mesh (struct fleet *f, int64_t now_ms, struct mesh_msg *m)
{
  f->now_ms = now_ms;
  switch (m->kind)
    {
    case MESH_HELLO:
      greet (f, m);
      break;
    case MESH_LEADER:
      hear_leader (f, m);
      break;
    case MESH_ADVISE_ASK:
      forward_question (f, m);
      break;
    case MESH_ADVICE:
      take_advice (f, m);
      break;
    case MESH_STORE_ASK:
      proxy_ask (f, m);
      break;
    case MESH_STORE:
      proxy_reply (f, m);
      break;
    case MESH_JOB:
      hear_job (f, m->id, m->text);
      break;
    default:
      gate_mesh (f, m);
      break;
    }
  work (f);
}

void
fleet_tick (struct fleet *f, int64_t now_ms, int64_t wall_ms)
{
  f->now_ms = now_ms;
  f->wall_ms = wall_ms;
  say_hello (f);
  proxy_tick (f);
  gate_tick (f);
  work (f);
}

void
fleet_stop (struct fleet *f, int64_t now_ms)
{
  f->now_ms = now_ms;
  f->stopping = true;
  if (f->lead.state == LEAD_HOLD)
    out_line (&f->out, "event=lead-released epoch=%lld",
              (long long)f->lead.epoch);
  lead_release (&f->lead, now_ms);
  drop_cell (f);
}

bool
fleet_idle (const struct fleet *f)
{
  return f->n_callers == 0;
}

bool
fleet_ready (const struct fleet *f, int64_t now_ms)
{
  return f->conf && !f->stopping && now_ms - f->proved_ms < FLEET_READY_MS;
}
