/*
 * Reads the table of jobs for the leader's scheduler, and notifies the leader
 * of jobs and cancellations that other instances have recorded.
 */
#include "fleet.h"

#include <stdlib.h>
#include <string.h>

/* Suffix of the key of the row that cancels a job. */
#define SUFFIX_CANCEL ".cancel"

/* Parses @record, which holds job @id, and passes the job to the scheduler,
   unless the scheduler has the job already or the job has ended. */
static void
add_job (struct fleet *f, const char *id, const char *record)
{
  struct job_spec spec;
  struct codec_err ce;
  int64_t age_ms = 0;

  if (fsched_job_state (f->fsched, id) >= 0
      || strcmp (record, FSCHED_TRIMMED) == 0)
    return;
  if (codec_parse (&job_spec_desc, record, strlen (record), CODEC_LENIENT,
                   &spec, &ce)
      || strcmp (spec.id, id) != 0 || job_check (&spec, &ce))
    {
      f->stats.bad_rows++;
      out_line (&f->out, "event=bad-row key=job/%s error=%s field=%s", id,
                clb_err_name (ce.err), ce.path);
      return;
    }
  /* A job that arrives while the scheduler runs counts as new: the job's age
     could only be computed from wall clocks, and those of two instances differ
     by seconds. */
  if (!f->fsched->loaded && f->wall_ms > spec.accepted_ms)
    age_ms = f->wall_ms - spec.accepted_ms;
  fsched_add_job (f->fsched, &spec, !f->fsched->loaded, age_ms);
}

/* Handles a row of the table of jobs, which holds a job, the cancellation of
   one or a withdrawal. */
static void
apply_job_row (struct fleet *f, const struct row *row)
{
  const char *slash = strrchr (row->key, '/');
  char id[JOB_ID_SIZE];

  if (!slash || strlen (slash + 1) < JOB_ID_SIZE - 1)
    return;
  clb_copy (id, slash + 1, sizeof id);
  if (!job_id_ok (id))
    return;
  if (!slash[JOB_ID_SIZE])
    {
      if (!withdrawals_row (&f->withdrawals, f->now_ms, id, row->ver,
                            row->value)
          && row->value)
        add_job (f, id, row->value);
    }
  else if (row->value && strcmp (slash + JOB_ID_SIZE, SUFFIX_CANCEL) == 0)
    fsched_cancel (f->fsched, id);
}

void
fleet_apply_job_notice (struct fleet *f, const char *id, const char *record)
{
  if (!f->fsched || !f->fsched->loaded || !job_id_ok (id))
    return;
  if (record)
    add_job (f, id, record);
  else
    fsched_cancel (f->fsched, id);
}

void
fleet_notify_job (struct fleet *f, const char *id, const char *record)
{
  const char *addr = fleet_leader_addr (f);
  struct mesh_msg *m;

  fleet_apply_job_notice (f, id, record);
  if (!addr)
    return;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_JOB_NOTICE;
  clb_copy (m->id, id, sizeof m->id);
  m->record = record ? strdup (record) : NULL;
  fleet_send (f, addr, m);
}

bool
fleet_jobs_reply (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  bool mine;
  bool listed = f->job_feed.listed;
  /* Rows are used even if this instance's lease has ended, as it does for
     moments while the table service is slow.  If a successor has claimed
     leadership, no intent of this instance becomes durable any more, so no
     task of these jobs is started. */
  int event
      = follow_store_reply (&f->job_feed, f->now_ms, token, rep, true, &mine);

  if (!mine)
    return false;
  /* A new listing does not tell which rows were deleted. */
  if (listed && !f->job_feed.listed)
    withdrawals_clear (&f->withdrawals);
  if (event != FOLLOW_NONE)
    for (size_t i = 0; i < rep->n_rows; i++)
      apply_job_row (f, &rep->rows[i]);
  fleet_relist_if_stuck (f, &f->job_feed);
  fleet_load_finish (f);
  return true;
}
