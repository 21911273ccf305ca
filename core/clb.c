/* Names and texts of errors, reasons and states; resource vectors. */
#include "clb.h"

#include <string.h>

/* struct err_info - how an error is reported to callers */
struct err_info
{
  const char *name;
  enum clb_outcome outcome;
  int http; /* HTTP status of the answer */
};

/* Errors as reported to callers, indexed by the negated error number. */
static const struct err_info err_table[-CLB_ERR_LAST] = {
  [-CLB_OK] = { "ok", CLB_RAN, 200 },
  [-CLB_EPARSE] = { "parse-error", CLB_NOT_RUN, 400 },
  [-CLB_EFIELD] = { "bad-field", CLB_NOT_RUN, 400 },
  [-CLB_ERANGE] = { "out-of-range", CLB_NOT_RUN, 400 },
  [-CLB_EREF] = { "unknown-reference", CLB_NOT_RUN, 400 },
  [-CLB_EDUP] = { "duplicate", CLB_NOT_RUN, 400 },
  [-CLB_ENOMEM] = { "no-memory", CLB_NOT_RUN, 503 },
  [-CLB_ECONFLICT] = { "conflict", CLB_NOT_RUN, 409 },
  [-CLB_EUNAVAIL] = { "platform-unavailable", CLB_NOT_RUN, 503 },
  [-CLB_EOUTCOME] = { "outcome-unknown", CLB_MAY_HAVE_RUN, 504 },
  [-CLB_EKEY] = { "key-refused", CLB_NOT_RUN, 401 },
  [-CLB_EDENIED] = { "not-permitted", CLB_NOT_RUN, 403 },
  [-CLB_ESTALE] = { "configuration-not-fresh", CLB_NOT_RUN, 503 },
  [-CLB_EFULL] = { "queue-full", CLB_NOT_RUN, 503 },
  [-CLB_ENOHOLDER] = { "no-scheduler", CLB_NOT_RUN, 503 },
  [-CLB_ENOTFOUND] = { "not-found", CLB_NOT_RUN, 404 },
  [-CLB_ETIMEOUT] = { "no-room-in-time", CLB_NOT_RUN, 503 },
  [-CLB_ENOFIT] = { "never-fits", CLB_NOT_RUN, 422 },
  [-CLB_ESTOPPING] = { "instance-stopping", CLB_NOT_RUN, 503 },
  [-CLB_ETOOBIG] = { "too-large", CLB_NOT_RUN, 413 },
  [-CLB_ERECORDED] = { "already-recorded", CLB_RAN, 409 },
  [-CLB_ELEASE] = { "lease-lapsed", CLB_NOT_RUN, 503 },
  [-CLB_ECANCELLED] = { "cancelled", CLB_NOT_RUN, 409 },
  [-CLB_EREACH] = { "backend-unreachable", CLB_NOT_RUN, 503 },
};

/* struct reason_info - how the reason of a decision is reported */
struct reason_info
{
  const char *name; /* stable code */
  const char *text; /* explanation for people */
};

static const struct reason_info reason_table[WHY_N] = {
  [WHY_NONE] = { "none", "no reason recorded" },
  [WHY_ACCEPTED] = { "accepted", "recorded in the domain's journal" },
  [WHY_DUPLICATE] = { "duplicate", "a request with this id exists" },
  [WHY_BEST_FIT]
  = { "best-fit", "placed on the worker with the least capacity left over" },
  [WHY_SPREAD] = { "spread", "placed with its members on different racks" },
  [WHY_NO_ROOM] = { "no-room", "no worker has enough free capacity" },
  [WHY_TEAM_LIMIT] = { "team-limit", "the team is at its upper limit" },
  [WHY_NO_WORKER_FITS]
  = { "no-worker-fits", "the need exceeds every worker's whole capacity" },
  [WHY_STARTED] = { "started", "the worker reports that it is running" },
  [WHY_ENDED_OK] = { "ended", "the worker reports success" },
  [WHY_ENDED_FAILED] = { "ended-failed", "the worker reports failure" },
  [WHY_WORKER_REFUSED] = { "worker-refused", "the worker refused the start" },
  [WHY_WORKER_LOST]
  = { "worker-lost",
      "no contact with the worker until the task's lease expired" },
  [WHY_WORKER_REBOOTED] = { "worker-rebooted", "the worker restarted" },
  [WHY_WORKER_QUARANTINED]
  = { "worker-quarantined", "too many tasks failed on the worker in a row" },
  [WHY_WORKER_BACK] = { "worker-back", "the worker may be used again" },
  [WHY_START_UNSEEN]
  = { "start-unseen",
      "the worker confirmed that it never received the start" },
  [WHY_TOO_MANY_FAILURES]
  = { "too-many-failures", "too many attempts failed" },
  [WHY_CANCELLED] = { "cancelled", "cancelled by its owner" },
  [WHY_LEASE_ACQUIRED]
  = { "took-over", "this instance acquired the domain's lease" },
  [WHY_LEASE_LOST]
  = { "lease-lost", "another instance acquired the domain's lease" },
  [WHY_LEASE_RELEASED]
  = { "handed-over", "this instance released the domain's lease" },
  [WHY_STORE_DOWN] = { "store-down", "the table service does not answer" },
  [WHY_STORE_BACK] = { "store-back", "the table service answers again" },
  [WHY_LEASE_EXTENDED]
  = { "extended", "the peers' promises extend the domain's lease" },
  [WHY_CONFIG] = { "config", "a newer configuration is in force" },
  [WHY_GRANT_RAISED]
  = { "grant-raised", "the domain's part of the team's limit was raised" },
  [WHY_GRANT_LOWERED]
  = { "grant-lowered", "the domain's part of the team's limit was lowered" },
  [WHY_DEADLINE] = { "deadline", "its deadline passed before it started" },
  [WHY_ENTRY_LOST]
  = { "entry-lost", "the entry instance of the request is gone" },
  [WHY_GANG_MEMBER_FAILED]
  = { "member-failed", "another member of the gang failed" },
  [WHY_PREEMPTED] = { "gave-way", "preempted by urgent work" },
  [WHY_PREEMPTING]
  = { "makes-room", "tasks of lower classes are being preempted for it" },
};

const char *const task_state_names[TASK_STATE_N + 1]
    = { "pending", "starting",  "running", "stopping", "done",
        "failed",  "cancelled", "unknown", NULL };
const char *const task_class_names[CLASS_N + 1]
    = { "urgent", "watched", "normal", "patient", NULL };

static const struct err_info *
err_lookup (int err)
{
  if (err > 0 || err <= CLB_ERR_LAST)
    err = CLB_EOUTCOME;
  return &err_table[-err];
}

const char *
clb_err_name (int err)
{
  return err_lookup (err)->name;
}

enum clb_outcome
clb_err_outcome (int err)
{
  return err_lookup (err)->outcome;
}

int
clb_err_http (int err)
{
  return err_lookup (err)->http;
}

const char *
clb_outcome_name (enum clb_outcome outcome)
{
  switch (outcome)
    {
    case CLB_NOT_RUN:
      return "not-run";
    case CLB_RAN:
      return "ran";
    case CLB_MAY_HAVE_RUN:
      break;
    }
  return "unknown";
}

const char *
clb_reason_name (int64_t reason)
{
  if (reason < 0 || reason >= WHY_N)
    reason = WHY_NONE;
  return reason_table[reason].name;
}

const char *
clb_reason_text (int64_t reason)
{
  if (reason < 0 || reason >= WHY_N)
    reason = WHY_NONE;
  return reason_table[reason].text;
}

bool
task_state_final (int state)
{
  return state >= TASK_DONE;
}

int64_t
clb_res_get (const struct clb_res *r, enum clb_res_kind kind)
{
  switch (kind)
    {
    case RES_CORES:
      return r->cores;
    case RES_MEM_MB:
      return r->mem_mb;
    case RES_ACCELS:
      return r->accels;
    case RES_SLOTS:
      return r->slots;
    case RES_N:
      break;
    }
  return 0;
}

void
clb_res_set (struct clb_res *r, enum clb_res_kind kind, int64_t amount)
{
  switch (kind)
    {
    case RES_CORES:
      r->cores = amount;
      break;
    case RES_MEM_MB:
      r->mem_mb = amount;
      break;
    case RES_ACCELS:
      r->accels = amount;
      break;
    case RES_SLOTS:
      r->slots = amount;
      break;
    case RES_N:
      break;
    }
}

void
clb_res_add (struct clb_res *to, const struct clb_res *r, int64_t factor)
{
  to->cores += factor * r->cores;
  to->mem_mb += factor * r->mem_mb;
  to->accels += factor * r->accels;
  to->slots += factor * r->slots;
}

bool
clb_res_fits (const struct clb_res *need, const struct clb_res *available)
{
  return need->cores <= available->cores && need->mem_mb <= available->mem_mb
         && need->accels <= available->accels
         && need->slots <= available->slots;
}

void
clb_copy (char *dst, const char *src, size_t size)
{
  size_t len = strnlen (src, size - 1);

  memcpy (dst, src, len);
  dst[len] = '\0';
}

bool
clb_word_ok (const char *text)
{
  if (!*text)
    return false;
  for (; *text; text++)
    if (*text <= ' ' || *text > '~')
      return false;
  return true;
}
