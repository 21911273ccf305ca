/* Codec tables of the message types, and the queue of outputs. */
#include "msg.h"
#include "mesh.h"
#include "order.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Limit of numbers and array lengths that have no limit of their own. */
  NUMBER_MAX = INT32_MAX,
  /* Largest number of members of a gang. */
  MEMBERS_MAX = 1024,
  /* Longest duration: 20 days. */
  DURATION_MS_MAX = 20 * 86400 * 1000,
  /* Timeout of a transaction.  An answer takes a few milliseconds, or 250 when
     the table service is slow. */
  WRITE_TIMEOUT_MS = 700,
  /* Timeout of a read of one row and of a call of a feed.  For a feed, the
     time for which the call waits is added. */
  READ_TIMEOUT_MS = 1000,
  LIST_TIMEOUT_MS = 2500, /* timeout of a read of a page of rows */
  /* Largest text of a row or object, in bytes. */
  ROW_TEXT_MAX = 16 << 20,
  /* Largest text of decisions in a reply, in bytes. */
  WHY_TEXT_MAX = 1 << 20,
};

/* Names of enumerators in JSON and msgpack, each array in the order of its
   enum. */
static const char *const rec_kind_names[]
    = { "accept", "intent", "retry", "cancel", "end", "forget", NULL };
static const char *const run_state_names[]
    = { "running", "ok", "failed", "stopped", "never", "refused", NULL };
static const char *const inst_kind_names[]
    = { "entry", "worker", "executor", NULL };
static const char *const queue_lane_names[] = { "task", "service", NULL };
static const char *const call_verb_names[]
    = { "submit", "status", "cancel", "why", "acquire", "release", NULL };
static const char *const store_kind_names[] = {
  "txn", "get", "list", "obj-put", "obj-get", "instances", "feed", NULL
};
static const char *const pmsg_kind_names[]
    = { "hello",   "call",     "reply", "handover", "promise-ask",
        "promise", "held-ask", "held",  NULL };

static const struct fld spec_fields[] = {
  FLD_CHARS (struct spec, request_id, false),
  FLD_CHARS (struct spec, queue, false),
  FLD_CHARS (struct spec, name, false),
  FLD_STRUCT (struct spec, need, &res_desc),
  FLD_INT (struct spec, members, 1, MEMBERS_MAX),
  FLD_FLAG (struct spec, same_rack),
  FLD_FLAG (struct spec, spread),
  FLD_INT (struct spec, duration_ms, 0, DURATION_MS_MAX),
  FLD_INT (struct spec, deadline_ms, 0, DURATION_MS_MAX),
};
DESC (spec_desc, struct spec, spec_fields);

static const struct fld place_fields[] = {
  FLD_CHARS (struct place, worker, true),
  FLD_INT (struct place, boot, 0, INT64_MAX),
};
static DESC (place_desc, struct place, place_fields);

static const struct fld rec_fields[] = {
  FLD_NAMED (struct rec, kind, rec_kind_names),
  FLD_CHARS (struct rec, id, true),
  FLD_CHARS (struct rec, team, false),
  FLD_STRUCT (struct rec, spec, &spec_desc),
  FLD_NAMED (struct rec, class, task_class_names),
  FLD_NAMED (struct rec, lane, queue_lane_names),
  FLD_FLAG (struct rec, idempotent),
  FLD_ARRAY (struct rec, places, n_places, &place_desc, MEMBERS_MAX),
  FLD_INT (struct rec, attempt, 0, NUMBER_MAX),
  FLD_INT (struct rec, failures, 0, NUMBER_MAX),
  FLD_NAMED (struct rec, state, task_state_names),
  FLD_INT (struct rec, reason, 0, WHY_N - 1),
};
DESC (rec_desc, struct rec, rec_fields);

static const struct fld journal_row_fields[] = {
  FLD_CHARS (struct journal_row, nonce, false),
  FLD_ARRAY (struct journal_row, recs, n_recs, &rec_desc, NUMBER_MAX),
};
DESC (journal_row_desc, struct journal_row, journal_row_fields);

static const struct fld lease_row_fields[] = {
  FLD_CHARS (struct lease_row, holder, false),
  FLD_INT (struct lease_row, boot, 0, INT64_MAX),
  FLD_INT (struct lease_row, epoch, 0, INT64_MAX),
  FLD_INT_AS ("beat", struct lease_row, heartbeat, 0, INT64_MAX),
};
DESC (lease_row_desc, struct lease_row, lease_row_fields);

static const struct fld head_row_fields[] = {
  FLD_INT (struct head_row, version, 1, INT64_MAX),
  FLD_CHARS (struct head_row, hash, true),
  FLD_CHARS (struct head_row, change_id, true),
};
DESC (head_row_desc, struct head_row, head_row_fields);

static const struct fld grant_fields[] = {
  FLD_CHARS (struct grant, domain, true),
  FLD_STRUCT (struct grant, amount, &res_desc),
  FLD_FLAG_AS ("want", struct grant, wants_more),
};
static DESC (grant_desc, struct grant, grant_fields);
static const struct fld grant_row_fields[] = {
  FLD_INT (struct grant_row, conf_version, 0, INT64_MAX),
  FLD_ARRAY (struct grant_row, grants, n_grants, &grant_desc, 64),
};
DESC (grant_row_desc, struct grant_row, grant_row_fields);

static const struct fld want_fields[] = {
  FLD_CHARS (struct want, team, true),
};
static DESC (want_desc, struct want, want_fields);
static const struct fld want_row_fields[] = {
  FLD_ARRAY (struct want_row, teams, n_teams, &want_desc, NUMBER_MAX),
};
DESC (want_row_desc, struct want_row, want_row_fields);

static const struct fld start_cmd_fields[] = {
  FLD_CHARS (struct start_cmd, id, true),
  FLD_CHARS (struct start_cmd, name, false),
  FLD_STRUCT (struct start_cmd, need, &res_desc),
  FLD_INT (struct start_cmd, duration_ms, 0, DURATION_MS_MAX),
};
static DESC (start_cmd_desc, struct start_cmd, start_cmd_fields);
static const struct fld run_id_fields[] = {
  FLD_CHARS (struct run_id, id, true),
};
static DESC (run_id_desc, struct run_id, run_id_fields);

static const struct fld sync_req_fields[] = {
  FLD_CHARS (struct sync_req, holder, true),
  FLD_INT (struct sync_req, epoch, 0, INT64_MAX),
  FLD_INT (struct sync_req, seq, 0, INT64_MAX),
  FLD_INT (struct sync_req, lease_ms, 0, NUMBER_MAX),
  FLD_ARRAY (struct sync_req, starts, n_starts, &start_cmd_desc, NUMBER_MAX),
  FLD_ARRAY (struct sync_req, stops, n_stops, &run_id_desc, NUMBER_MAX),
  FLD_ARRAY (struct sync_req, acks, n_acks, &run_id_desc, NUMBER_MAX),
};
DESC (sync_req_desc, struct sync_req, sync_req_fields);

static const struct fld run_fields[] = {
  FLD_CHARS (struct run, id, true),
  FLD_NAMED (struct run, state, run_state_names),
  FLD_STRUCT (struct run, used, &res_desc),
};
static DESC (run_desc, struct run, run_fields);
static const struct fld sync_rep_fields[] = {
  FLD_INT (struct sync_rep, boot, 0, INT64_MAX),
  FLD_FLAG (struct sync_rep, leaving),
  FLD_INT_AS ("busy", struct sync_rep, busy_slots, 0, NUMBER_MAX),
  FLD_ARRAY (struct sync_rep, runs, n_runs, &run_desc, NUMBER_MAX),
};
DESC (sync_rep_desc, struct sync_rep, sync_rep_fields);

static const struct fld inst_fields[] = {
  FLD_CHARS (struct inst, id, true),
  FLD_NAMED (struct inst, kind, inst_kind_names),
  FLD_CHARS (struct inst, domain, true),
  FLD_CHARS (struct inst, rack, false),
  FLD_CHARS (struct inst, addr, true),
  FLD_STRUCT_AS ("room", struct inst, capacity, &res_desc),
  FLD_FLAG (struct inst, leaving),
};
static DESC (inst_desc, struct inst, inst_fields);
static const struct fld inst_list_fields[] = {
  FLD_ARRAY (struct inst_list, items, n_items, &inst_desc, NUMBER_MAX),
};
DESC (inst_list_desc, struct inst_list, inst_list_fields);

static const struct fld cond_fields[] = {
  FLD_STRING (struct cond, key, 512),
  FLD_INT (struct cond, ver, 0, INT64_MAX),
};
static DESC (cond_desc, struct cond, cond_fields);
static const struct fld put_fields[] = {
  FLD_STRING (struct put, key, 512),
  FLD_STRING (struct put, value, ROW_TEXT_MAX),
};
static DESC (put_desc, struct put, put_fields);
static const struct fld store_op_fields[] = {
  FLD_NAMED (struct store_op, kind, store_kind_names),
  FLD_STRING (struct store_op, key, 512),
  FLD_STRING (struct store_op, after, 512),
  FLD_STRING (struct store_op, value, ROW_TEXT_MAX),
  FLD_ARRAY (struct store_op, conds, n_conds, &cond_desc, NUMBER_MAX),
  FLD_ARRAY (struct store_op, puts, n_puts, &put_desc, NUMBER_MAX),
  FLD_INT (struct store_op, since, 0, INT64_MAX),
  FLD_INT (struct store_op, wait_ms, 0, DURATION_MS_MAX),
  FLD_INT (struct store_op, limit, 0, NUMBER_MAX),
  FLD_INT (struct store_op, timeout_ms, 0, DURATION_MS_MAX),
};
DESC (store_op_desc, struct store_op, store_op_fields);

static const struct fld row_fields[] = {
  FLD_STRING (struct row, key, 512),
  FLD_INT (struct row, ver, 0, INT64_MAX),
  FLD_STRING (struct row, value, ROW_TEXT_MAX),
};
static DESC (row_desc, struct row, row_fields);
static const struct fld store_rep_fields[] = {
  FLD_INT (struct store_rep, err, CLB_ERR_LAST, 0),
  FLD_ARRAY (struct store_rep, rows, n_rows, &row_desc, NUMBER_MAX),
  FLD_FLAG (struct store_rep, more),
  FLD_INT (struct store_rep, ver, 0, INT64_MAX),
  FLD_INT (struct store_rep, now_ms, 0, INT64_MAX),
  FLD_INT (struct store_rep, n_bad, 0, INT64_MAX),
};
DESC (store_rep_desc, struct store_rep, store_rep_fields);

static const struct fld call_fields[] = {
  FLD_INT_AS ("no", struct call, seq, 0, INT64_MAX),
  FLD_NAMED (struct call, verb, call_verb_names),
  FLD_CHARS (struct call, team, false),
  FLD_CHARS (struct call, id, false),
  FLD_STRUCT (struct call, spec, &spec_desc),
  FLD_NAMED (struct call, class, task_class_names),
  FLD_NAMED (struct call, lane, queue_lane_names),
  FLD_FLAG (struct call, idempotent),
  FLD_FLAG (struct call, open_only),
  FLD_INT (struct call, max_waiting, 0, NUMBER_MAX),
  FLD_INT (struct call, wait_ms, 0, NUMBER_MAX),
  FLD_INT_AS ("stamp", struct call, sent_ms, 0, INT64_MAX),
  FLD_FLAG_AS ("bad_server", struct call, executor_failed),
  FLD_NAMED (struct call, state, task_state_names),
};
static DESC (call_desc, struct call, call_fields);

static const struct fld reply_fields[] = {
  FLD_INT_AS ("no", struct reply, call_seq, 0, INT64_MAX),
  FLD_INT (struct reply, err, CLB_ERR_LAST, 0),
  FLD_CHARS (struct reply, id, false),
  FLD_NAMED (struct reply, state, task_state_names),
  FLD_INT (struct reply, reason, 0, WHY_N - 1),
  FLD_INT (struct reply, retry_ms, 0, NUMBER_MAX),
  FLD_INT_AS ("stamp", struct reply, call_sent_ms, 0, INT64_MAX),
  FLD_CHARS (struct reply, executor, false),
  FLD_CHARS (struct reply, addr, false),
  FLD_STRING (struct reply, text, WHY_TEXT_MAX),
};
static DESC (reply_desc, struct reply, reply_fields);

static const struct fld hello_fields[] = {
  FLD_CHARS (struct hello, domain, true),
  FLD_CHARS (struct hello, addr, false),
  FLD_INT (struct hello, conf_version, 0, INT64_MAX),
  FLD_INT (struct hello, conf_age_ms, 0, INT64_MAX),
  FLD_FLAG_AS ("apply_open", struct hello, apply_in_progress),
  FLD_FLAG_AS ("holder", struct hello, is_holder),
  FLD_INT (struct hello, epoch, 0, INT64_MAX),
  FLD_FLAG (struct hello, stopping),
  FLD_FLAG_AS ("known", struct hello, knows_receiver),
  FLD_INT_AS ("stamp", struct hello, sent_ms, 0, INT64_MAX),
  FLD_INT_AS ("echo", struct hello, echo_ms, 0, INT64_MAX),
  FLD_INT (struct hello, echo_boot, 0, INT64_MAX),
  FLD_STRUCT_AS ("size", struct hello, total_capacity, &res_desc),
  FLD_STRUCT_AS ("largest", struct hello, largest_worker, &res_desc),
  FLD_STRUCT_AS ("room", struct hello, free_capacity, &res_desc),
};
static DESC (hello_desc, struct hello, hello_fields);

static const struct fld promise_fields[] = {
  FLD_CHARS (struct promise, domain, true),
  FLD_INT (struct promise, epoch, 0, INT64_MAX),
  FLD_INT_AS ("no", struct promise, seq, 0, INT64_MAX),
  FLD_INT_AS ("for_ms", struct promise, duration_ms, 0, NUMBER_MAX),
  FLD_FLAG_AS ("given", struct promise, granted),
};
static DESC (promise_desc, struct promise, promise_fields);

static const struct fld held_slot_fields[] = {
  FLD_CHARS (struct held_slot, id, true),
  FLD_CHARS (struct held_slot, executor, true),
  FLD_CHARS (struct held_slot, team, true),
  FLD_INT (struct held_slot, run_ms, 0, NUMBER_MAX),
};
static DESC (held_slot_desc, struct held_slot, held_slot_fields);
static const struct fld held_list_fields[] = {
  FLD_ARRAY (struct held_list, items, n_items, &held_slot_desc, NUMBER_MAX),
};
static DESC (held_list_desc, struct held_list, held_list_fields);

static const struct fld event_fields[] = {
  FLD_INT_AS ("no", struct event, seq, 0, INT64_MAX),
  FLD_INT_AS ("ms", struct event, time_ms, 0, INT64_MAX),
  FLD_CHARS (struct event, id, false),
  FLD_CHARS (struct event, team, false),
  FLD_CHARS_AS ("where", struct event, instance_id, false),
  FLD_INT (struct event, reason, 0, WHY_N - 1),
  FLD_INT_AS ("looked_at", struct event, detail, 0, INT64_MAX),
};
DESC (event_desc, struct event, event_fields);

bool
store_is_read (int kind)
{
  return kind != STORE_TXN && kind != STORE_OBJ_PUT;
}

int64_t
store_timeout_ms (const struct store_op *op)
{
  switch (op->kind)
    {
    case STORE_TXN:
      return op->timeout_ms ? op->timeout_ms : WRITE_TIMEOUT_MS;
    case STORE_LIST:
      return LIST_TIMEOUT_MS;
    default:
      return READ_TIMEOUT_MS + op->wait_ms;
    }
}

/* Returns the description of the member of pmsg::u that a message of @kind
   uses. */
static const struct desc *
pmsg_body_desc (int kind)
{
  switch (kind)
    {
    case PM_HELLO:
      return &hello_desc;
    case PM_CALL:
      return &call_desc;
    case PM_REPLY:
      return &reply_desc;
    case PM_HELD_SLOTS_QUERY:
    case PM_HELD_SLOTS:
      return &held_list_desc;
    default:
      return &promise_desc;
    }
}

/* Fields of a peer message.  The first PMSG_COMMON_FIELDS are the same for all
   kinds.  The last one, u, is the struct of the message's kind, which
   body_desc describes; NULL if u is not to be decoded. */
#define PMSG_FIELDS(body_desc)                                                \
  {                                                                           \
    FLD_NAMED (struct pmsg, kind, pmsg_kind_names),                           \
        FLD_CHARS (struct pmsg, from, true),                                  \
        FLD_INT (struct pmsg, boot, 0, INT64_MAX),                            \
    {                                                                         \
      .name = "u", .kind = FLD_OBJ, .off = offsetof (struct pmsg, u),         \
      .sub = (body_desc), .required = (body_desc) != NULL                     \
    }                                                                         \
  }

enum
{
  PMSG_COMMON_FIELDS = 3, /* number of fields before u */
};

int
pmsg_pack (const struct pmsg *m, char **buf, size_t *len)
{
  const struct fld fields[] = PMSG_FIELDS (pmsg_body_desc (m->kind));
  const struct desc d = { "pmsg", sizeof *m, fields, CLB_COUNT (fields) };

  return codec_pack (&d, m, buf, len);
}

int
pmsg_unpack (const char *buf, size_t len, struct pmsg *m, struct codec_err *ce)
{
  /* The kind must be known to decode u, so the common fields are decoded
     first. */
  const struct fld common[] = PMSG_FIELDS (NULL);
  const struct desc common_desc
      = { "pmsg", sizeof *m, common, PMSG_COMMON_FIELDS };
  int err = codec_unpack (&common_desc, buf, len, m, ce);

  if (err)
    return err;
  const struct fld fields[] = PMSG_FIELDS (pmsg_body_desc (m->kind));
  const struct desc d = { "pmsg", sizeof *m, fields, CLB_COUNT (fields) };
  return codec_unpack (&d, buf, len, m, ce);
}

void
pmsg_free (struct pmsg *m)
{
  codec_free (pmsg_body_desc (m->kind), &m->u);
}

struct out *
out_new (struct outq *q, int kind)
{
  struct out *o = calloc (1, sizeof *o);

  if (!o)
    abort ();
  o->kind = kind;
  TAILQ_INSERT_TAIL (q, o, link);
  return o;
}

struct out *
out_take (struct outq *q)
{
  struct out *o = TAILQ_FIRST (q);

  if (o)
    TAILQ_REMOVE (q, o, link);
  return o;
}

void
out_free (struct out *o)
{
  switch (o->kind)
    {
    case OUT_ANSWER:
      free (o->u.answer.body);
      break;
    case OUT_PEER:
      pmsg_free (&o->u.peer.msg);
      break;
    case OUT_STORE:
      codec_free (&store_op_desc, &o->u.store.op);
      break;
    case OUT_SYNC:
      codec_free (&sync_req_desc, &o->u.sync.req);
      break;
    case OUT_ORDER:
      order_free (o->u.order);
      break;
    case OUT_FLEET_MSG:
      mesh_free (o->u.mesh.msg);
      break;
    case OUT_LOG_LINE:
      free (o->u.line);
      break;
    default:
      break;
    }
  free (o);
}

void
out_line (struct outq *q, const char *fmt, ...)
{
  va_list ap;
  char *text;

  va_start (ap, fmt);
  if (vasprintf (&text, fmt, ap) < 0)
    abort ();
  va_end (ap);
  /* Names from rows of other writers may contain line breaks. */
  for (char *p = text; *p; p++)
    if ((unsigned char)*p < ' ')
      *p = '?';
  out_new (q, OUT_LOG_LINE)->u.line = text;
}

void
store_cond (struct store_op *op, const char *key, int64_t ver)
{
  op->conds = realloc (op->conds, (op->n_conds + 1) * sizeof *op->conds);
  if (!op->conds)
    abort ();
  op->conds[op->n_conds++] = (struct cond){ .key = strdup (key), .ver = ver };
}

void
store_put (struct store_op *op, const char *key, const char *value)
{
  op->puts = realloc (op->puts, (op->n_puts + 1) * sizeof *op->puts);
  if (!op->puts)
    abort ();
  op->puts[op->n_puts++] = (struct put){
    .key = strdup (key),
    .value = value ? strdup (value) : NULL,
  };
}
