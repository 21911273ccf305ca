/*
 * Encodes and decodes the messages between instances on the fleet; see mesh.h.
 */
#include "mesh.h"

#include "fsched_lanes.h"

#include <stdlib.h>

enum
{
  VALID_MAX_MS = 86400000, /* maximum of valid_ms in a message: one day */
  RECORD_MAX = 65536,      /* maximum size of a job's record, in bytes */
};

/* Names that stand for enum mesh_kind in messages. */
static const char *const kind_names[]
    = { "hello",      "leader", "state-ask", "state", "waiting-ask", "waiting",
        "advise-ask", "advice", "job",       "relay", "relayed",     NULL };

static const struct fld exec_fields[] = {
  FLD_CHARS (struct mesh_exec, exec, true),
  FLD_STRING (struct mesh_exec, ticket, ORDER_TICKET_BYTES_MAX),
};
static DESC (exec_desc, struct mesh_exec, exec_fields);

static const struct fld overload_fields[] = {
  FLD_CHARS (struct mesh_overload, queue, true),
  FLD_INT (struct mesh_overload, for_ms, 0, VALID_MAX_MS),
};
static DESC (overload_desc, struct mesh_overload, overload_fields);

static const struct fld mesh_fields[] = {
  FLD_NAMED_REQUIRED (struct mesh_msg, kind, kind_names),
  FLD_CHARS (struct mesh_msg, from, true),
  FLD_CHARS (struct mesh_msg, addr, true),
  FLD_INT_AS ("no", struct mesh_msg, seq, 0, INT64_MAX),
  FLD_INT (struct mesh_msg, epoch, 0, INT64_MAX),
  FLD_CHARS (struct mesh_msg, id, false),
  FLD_INT_AS ("count", struct mesh_msg, n_waiting, 0, INT64_MAX),
  FLD_STRING_AS ("text", struct mesh_msg, record, RECORD_MAX),
  FLD_FLAG (struct mesh_msg, known),
  FLD_INT (struct mesh_msg, state, 0, JOB_STATE_N - 1),
  FLD_INT (struct mesh_msg, occurrence, 0, INT64_MAX),
  FLD_INT (struct mesh_msg, step, 0, JOB_STEPS_MAX - 1),
  FLD_INT (struct mesh_msg, outcome, 0, ORDER_OUTCOME_N - 1),
  FLD_INT (struct mesh_msg, valid_ms, 0, VALID_MAX_MS),
  FLD_INT (struct mesh_msg, took_ms, 0, VALID_MAX_MS),
  FLD_INT (struct mesh_msg, conf_version, 0, INT64_MAX),
  FLD_INT (struct mesh_msg, conf_age_ms, 0, INT64_MAX),
  FLD_INT (struct mesh_msg, table_age_ms, 0, INT64_MAX),
  FLD_INT (struct mesh_msg, millicores, 0, INT32_MAX),
  FLD_INT (struct mesh_msg, rank, 0, INT32_MAX),
  FLD_CHARS_AS ("via", struct mesh_msg, proxy_peer_addr, false),
  FLD_STRUCT (struct mesh_msg, op, &store_op_desc),
  FLD_STRUCT (struct mesh_msg, rep, &store_rep_desc),
  FLD_ARRAY_AS ("names", struct mesh_msg, execs, n_execs, &exec_desc,
                ORDER_ADVICE_EXECS_MAX),
  FLD_ARRAY_AS ("overloads", struct mesh_msg, overloads, n_overloads,
                &overload_desc, MESH_OVERLOADS_MAX),
  FLD_INT (struct mesh_msg, advice_lanes, 0, LANES_ALL),
  FLD_INT_AS ("instances", struct mesh_msg, n_instances, 0, INT32_MAX),
  FLD_INT (struct mesh_msg, table_ms, 0, INT64_MAX),
};
static DESC (mesh_desc, struct mesh_msg, mesh_fields);

int
mesh_pack (const struct mesh_msg *m, char **buf, size_t *len)
{
  return codec_pack (&mesh_desc, m, buf, len);
}

int
mesh_unpack (const char *buf, size_t len, struct mesh_msg *m,
             struct codec_err *ce)
{
  return codec_unpack (&mesh_desc, buf, len, m, ce);
}

void
mesh_clear (struct mesh_msg *m)
{
  codec_free (&mesh_desc, m);
}

void
mesh_free (struct mesh_msg *m)
{
  if (!m)
    return;
  mesh_clear (m);
  free (m);
}
