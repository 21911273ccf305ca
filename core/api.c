/*
 * Handles callers' requests.  Any instance takes requests.  A job is accepted
 * once the job is recorded in the platform's table service under its id.  The
 * leader is queried for states and counts.  If the leader does not answer, a
 * state is read from the table service, and a count is refused.
 */
#include "api_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const fleet_answer_names[]
    = { "accepted",  "duplicate",  "state",      "cancelled",    "waiting",
        "no-config", "stale",      "no-queue",   "bad-key",      "bad-job",
        "no-job",    "refused",    "overloaded", "unknown",      "no-leader",
        "too-many",  "table-lost", "withdrawn",  "cancel-limit", "resumed",
        NULL };

const char *const fleet_verb_names[]
    = { "submit", "state", "cancel", "other", NULL };

/* HTTP statuses, by enum fleet_answer.  503 means that nothing was accepted,
   504 that it is unknown whether the request took effect. */
static const int answer_status[ANSWER_N]
    = { 200, 200, 200, 200, 200, 503, 503, 404, 401, 400,
        410, 503, 429, 504, 503, 503, 503, 410, 429, 503 };

int
api_request_cmp (const struct api_request *a, const struct api_request *b)
{
  return a->request_id < b->request_id ? -1 : a->request_id > b->request_id;
}

RB_GENERATE (api_request_tree, api_request, by_request_id, api_request_cmp)

void
api_job_key (const char *id, const char *suffix, char out[CLB_NAME_MAX])
{
  snprintf (out, CLB_NAME_MAX, "job:%d/%s%s", fsched_job_part (id), id,
            suffix);
}

/* Queues the answer @answer (enum fleet_answer) to request @request_id.  The
   function takes ownership of @body.  If @body is NULL and the status is an
   error, the function makes a body.  @retry_ms: see msg.h */
static void
send_answer (struct fleet *f, uint64_t request_id, int answer, char *body,
             int64_t retry_ms)
{
  struct out *o = out_new (&f->out, OUT_ANSWER);
  int status = answer_status[answer];

  f->stats.answers[answer]++;
  if (status >= 400 && !body)
    body = f->settings.codec.error_body (fleet_answer_names[answer], "");
  o->u.answer.call = request_id;
  o->u.answer.status = status;
  o->u.answer.body = body;
  if (status == 503 || status == 429)
    o->u.answer.retry_ms = retry_ms;
}

/* Removes @c from the requests in progress and frees it. */
static void
free_request (struct fleet *f, struct api_request *c)
{
  RB_REMOVE (api_request_tree, &f->requests, c);
  f->n_requests--;
  free (c->record);
  free (c);
}

void
api_finish (struct fleet *f, struct api_request *c, int answer, char *body)
{
  int64_t retry_ms = fleet_retry_after_ms (f, answer);

  if (answer == ANSWER_OVERLOADED
      && fleet_overload_ms (f, c->queue) > retry_ms)
    retry_ms = fleet_overload_ms (f, c->queue);
  out_line (&f->out,
            "event=answer call=%llu verb=%d job=%s queue=%s tenant=%s "
            "answer=%s status=%d tries=%d took_ms=%lld conf=%lld "
            "conf_age_ms=%lld leader=%s",
            (unsigned long long)c->request_id, c->verb, c->job_id, c->queue,
            c->tenant, fleet_answer_names[answer], answer_status[answer],
            c->tries, (long long)(f->now_ms - c->arrival_ms),
            f->conf ? (long long)f->conf->version : 0,
            (long long)(f->now_ms - f->conf_current_ms), f->leader.holder);
  hist_add (&f->stats.request_ms[c->verb], f->now_ms - c->arrival_ms);
  send_answer (f, c->request_id, answer, body, retry_ms);
  free_request (f, c);
}

/* Answers @rq with the refusal @answer (enum fleet_answer).  @detail says what
   is wrong, or is empty.  Nothing has been written for the request. */
static void
refuse_request (struct fleet *f, const struct fleet_request *rq, int answer,
                const char *detail)
{
  out_line (&f->out,
            "event=refused call=%llu path=%.60s answer=%s status=%d "
            "conf=%lld conf_age_ms=%lld detail=\"%.80s\"",
            (unsigned long long)rq->request_id, rq->path,
            fleet_answer_names[answer], answer_status[answer],
            f->conf ? (long long)f->conf->version : 0,
            (long long)(f->now_ms - f->conf_current_ms), detail);
  send_answer (
      f, rq->request_id, answer,
      f->settings.codec.error_body (fleet_answer_names[answer], detail),
      fleet_retry_after_ms (f, answer));
}

struct store_op *
api_send_call (struct fleet *f, struct api_request *c, int kind)
{
  struct out *o = out_new (&f->out, OUT_STORE);

  c->token = ++f->last_token;
  c->retry_at_ms = 0;
  c->call_ms = f->now_ms;
  c->tries++;
  o->u.store.token = c->token;
  o->u.store.op.kind = kind;
  return &o->u.store.op;
}

/* Under load, a part of the table lets writes wait.  Giving up such a write
   and sending it again would double the load, and the caller would not learn
   the outcome. */
int64_t
api_write_timeout_ms (const struct fleet *f)
{
  int64_t ms = FLEET_WRITE_TIMEOUT_FACTOR * f->write_latency_ms;

  if (ms < FLEET_WRITE_TIMEOUT_MIN_MS)
    return FLEET_WRITE_TIMEOUT_MIN_MS;
  return ms < FLEET_WRITE_TIMEOUT_MAX_MS ? ms : FLEET_WRITE_TIMEOUT_MAX_MS;
}

/* Adds the latency of a write to the average.  An answer that did not come
   counts as half of the timeout, unless writes are slower anyway: it may have
   been lost. */
static void
add_write_latency (struct fleet *f, int64_t ms, bool answered)
{
  if (answered)
    f->write_latency_ms = (f->write_latency_ms + ms) / 2;
  else if (f->write_latency_ms < ms / 2)
    f->write_latency_ms = ms / 2;
}

/* Sends a write of the job's row on the condition that the row does not exist.
   Of several jobs with the same id, only the first one written is accepted,
   whichever instances handle them. */
static void
send_submit (struct fleet *f, struct api_request *c)
{
  struct store_op *op = api_send_call (f, c, STORE_TXN);
  char key[CLB_NAME_MAX];

  c->step = API_WRITING;
  api_job_key (c->job_id, "", key);
  op->timeout_ms = api_write_timeout_ms (f);
  store_cond (op, key, 0);
  store_put (op, key, c->record);
}

/* For API_READING_STATE the row is the job's progress, for API_READING_JOB the
   job itself. */
void
api_send_read (struct fleet *f, struct api_request *c, int step)
{
  struct store_op *op = api_send_call (f, c, STORE_GET);
  char key[CLB_NAME_MAX];

  c->step = step;
  if (step == API_READING_STATE)
    snprintf (key, sizeof key, FSCHED_KEY_PROGRESS "%s", c->job_id);
  else
    api_job_key (c->job_id, "", key);
  op->key = strdup (key);
}

/* Queries the leader for the state of job @subject (@kind MESH_STATE_QUERY) or
   for the number of waiting jobs of queue @subject (MESH_WAITING_QUERY).  If
   no leader is reachable, a state is read from the table service, and a count
   is refused. */
static void
query_leader (struct fleet *f, struct api_request *c, int kind,
              const char *subject)
{
  const char *addr = fleet_leader_addr (f);
  struct mesh_msg *m;

  if (!addr)
    {
      if (kind == MESH_STATE_QUERY)
        api_send_read (f, c, API_READING_STATE);
      else
        api_finish (f, c, ANSWER_NO_LEADER, NULL);
      return;
    }
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = kind;
  c->query_seq = (int64_t)++f->last_token;
  m->seq = c->query_seq;
  clb_copy (m->id, subject, sizeof m->id);
  c->step = API_QUERYING;
  c->query_ms = f->now_ms;
  c->tries++;
  f->stats.queries++;
  fleet_send (f, addr, m);
}

/* Checks the job that @rq submits, adds the settings of queue @q to the job,
   and sends a write of the job's row. */
static void
handle_submit (struct fleet *f, struct api_request *c,
               const struct fleet_request *rq, const struct fconf_queue *q)
{
  struct job_spec spec;
  struct codec_err ce = { 0 };
  int err = f->settings.codec.decode_job (rq->body, rq->body_len, &spec, &ce);
  bool fits;

  if (!err)
    err = job_check (&spec, &ce);
  if (err)
    {
      codec_free (&job_spec_desc, &spec);
      refuse_request (f, rq, ANSWER_BAD_JOB, ce.path);
      free_request (f, c);
      return;
    }
  clb_copy (spec.id, c->job_id, sizeof spec.id);
  clb_copy (spec.queue, c->queue, sizeof spec.queue);
  clb_copy (spec.tenant, c->tenant, sizeof spec.tenant);
  clb_copy (spec.service, q->service, sizeof spec.service);
  spec.priority = q->priority;
  spec.attempts = q->attempts > 0 ? q->attempts : 1;
  spec.slack = q->slack;
  spec.target_ms = q->target_ms;
  spec.advice = q->advice;
  spec.accepted_ms = f->wall_ms;
  c->record = codec_text (&job_spec_desc, &spec);
  fits = (int64_t)strlen (c->record) <= f->settings.limits.row_bytes
         && job_tasks_per_row (&spec, f->settings.limits.row_bytes);
  codec_free (&job_spec_desc, &spec);
  if (!fits)
    {
      refuse_request (f, rq, ANSWER_BAD_JOB, "job record too large");
      free_request (f, c);
      return;
    }
  /* A job that was accepted before must not be refused. */
  if (fleet_overload_ms (f, c->queue) > 0)
    api_send_read (f, c, API_READING_JOB);
  else
    send_submit (f, c);
}

/* Answers with the state of a job, if this instance's scheduler has the job;
   otherwise queries the leader. */
static void
handle_state_request (struct fleet *f, struct api_request *c)
{
  int state = f->fsched && f->fsched->loaded
                  ? fsched_job_state (f->fsched, c->job_id)
                  : -1;

  /* A leader that cannot write may have a successor, which knows more. */
  if (state >= 0
      && (job_state_final (state) || leader_may_order (&f->leader, f->now_ms)))
    api_finish (f, c, ANSWER_STATE, f->settings.codec.state_body (state));
  else
    query_leader (f, c, MESH_STATE_QUERY, c->job_id);
}

/* Answers with the number of a queue's waiting jobs, if this instance leads;
   otherwise queries the leader. */
static void
handle_count_request (struct fleet *f, struct api_request *c)
{
  if (f->fsched && f->fsched->loaded
      && leader_lease_valid (&f->leader, f->now_ms))
    api_finish (f, c, ANSWER_WAITING,
                f->settings.codec.count_body (
                    fsched_jobs_waiting (f->fsched, c->queue)));
  else
    query_leader (f, c, MESH_WAITING_QUERY, c->queue);
}

/* Returns true if the configuration is recent enough to check a key against.
   A key that was withdrawn since the configuration was last known to be
   current may still work for settings.revoke_ms. */
static bool
conf_fresh_for_keys (const struct fleet *f)
{
  return f->now_ms - f->conf_current_ms
         < f->settings.revoke_ms - FLEET_KEY_MARGIN_MS;
}

/* Returns true if a queue or key that the configuration lacks can be denied:
   it is not among the items that could not be used, and a newer configuration
   with it would be in force here, or need not be yet. */
static bool
conf_can_deny (const struct fleet *f)
{
  return !f->conf->n_unusable && !fleet_conf_behind (f)
         && f->now_ms - f->conf_current_ms < f->settings.conf_apply_ms;
}

/* Returns true if requests must not be allowed by the configuration: a newer
   one would have to be in force, and is known to exist or may exist without
   this instance's knowledge.  The latter holds unless the configuration's feed
   has failed: a process that goes on after a pause has not yet read what the
   table service has sent meanwhile. */
static bool
conf_outdated (const struct fleet *f)
{
  return (fleet_conf_behind (f) || !f->conf_feed_failed)
         && f->now_ms - f->conf_current_ms >= f->settings.conf_apply_ms;
}

/* Returns true if the table service has been unreachable from this instance
   for FLEET_REFUSE_WRITES_MS and no peer is known that reaches the service. */
static bool
table_writes_blocked (const struct fleet *f)
{
  return f->conf_feed_failed
         && f->now_ms - f->conf_feed_failed_since_ms > FLEET_REFUSE_WRITES_MS
         && !proxy_peer (f);
}

/* Returns true if requests that arrive now may have waited while the process
   was paused.  A submission may then be older than a withdrawal that was
   removed meanwhile. */
static bool
may_have_waited (const struct fleet *f)
{
  return f->now_ms - f->resumed_ms < FLEET_RESUMED_MS;
}

/* Adds a request in progress for @rq to queue @q.  @t is the client account of
   the request's key; NULL: the queue is public, and the key is missing or
   unknown. */
static struct api_request *
add_request (struct fleet *f, const struct fleet_request *rq,
             const struct fconf_queue *q, const struct fconf_tenant *t)
{
  struct api_request *c = calloc (1, sizeof *c);
  int64_t timeout
      = rq->timeout_ms > 0 ? rq->timeout_ms : FLEET_DEFAULT_TIMEOUT_MS;

  if (!c)
    abort ();
  c->request_id = rq->request_id;
  c->verb = rq->verb;
  c->arrival_ms = f->now_ms;
  if (q->timeout_ms > 0 && timeout > q->timeout_ms)
    timeout = q->timeout_ms;
  /* Nothing is written for a caller after the time that withdrawals cover. */
  if (rq->verb != FLEET_VERB_STATE && timeout > FLEET_WRITE_REQUEST_MAX_MS)
    timeout = FLEET_WRITE_REQUEST_MAX_MS;
  c->deadline_ms = f->now_ms + timeout - FLEET_ANSWER_MARGIN_MS;
  clb_copy (c->queue, q->name, sizeof c->queue);
  if (t)
    clb_copy (c->tenant, t->name, sizeof c->tenant);
  RB_INSERT (api_request_tree, &f->requests, c);
  f->n_requests++;
  return c;
}

void
fleet_request (struct fleet *f, int64_t now_ms, int64_t wall_ms,
               const struct fleet_request *rq)
{
  const struct fconf_queue *q;
  const struct fconf_tenant *t = NULL;
  const char *id;
  struct api_request *c;

  fleet_set_now (f, now_ms);
  f->wall_ms = wall_ms;
  if (!f->conf)
    return refuse_request (f, rq, ANSWER_NO_CONFIG, "");
  q = fconf_queue_for (f->conf, rq->host, rq->path);
  if (!q)
    return refuse_request (
        f, rq, conf_can_deny (f) ? ANSWER_NO_QUEUE : ANSWER_CONF_STALE,
        rq->host);
  if (rq->key)
    t = fconf_tenant_of_key (f->conf, rq->key);
  if (!q->is_public && !t)
    return refuse_request (
        f, rq, conf_can_deny (f) ? ANSWER_BAD_KEY : ANSWER_CONF_STALE, "");
  if (conf_outdated (f) || (!q->is_public && !conf_fresh_for_keys (f)))
    return refuse_request (f, rq, ANSWER_CONF_STALE, "");
  if (rq->verb == FLEET_VERB_SUBMIT && may_have_waited (f))
    return refuse_request (f, rq, ANSWER_RESUMED, "");
  if (f->n_requests >= FLEET_REQUESTS_MAX)
    return refuse_request (f, rq, ANSWER_TOO_MANY, "");
  if (rq->verb != FLEET_VERB_STATE && table_writes_blocked (f))
    return refuse_request (f, rq, ANSWER_TABLE_UNREACHABLE, "");
  id = rq->path + strlen (q->prefix);
  if (!*id ? rq->verb != FLEET_VERB_STATE : !job_id_ok (id))
    return refuse_request (f, rq, ANSWER_BAD_JOB,
                           "id is not 16 hexadecimal digits");
  if (rq->verb == FLEET_VERB_OTHER)
    return refuse_request (f, rq, ANSWER_BAD_JOB, "method");
  c = add_request (f, rq, q, t);
  clb_copy (c->job_id, id, sizeof c->job_id);
  if (rq->verb == FLEET_VERB_SUBMIT)
    handle_submit (f, c, rq, q);
  else if (rq->verb == FLEET_VERB_CANCEL)
    api_send_read (f, c, API_READING_JOB);
  else if (*id)
    handle_state_request (f, c);
  else
    handle_count_request (f, c);
}

void
fleet_request_aborted (struct fleet *f, uint64_t request_id)
{
  struct api_request key = { .request_id = request_id };
  struct api_request *c = RB_FIND (api_request_tree, &f->requests, &key);

  if (!c)
    return;
  /* A write in progress goes on; the outcome of the write is not reported. */
  out_line (&f->out,
            "event=caller-gone call=%llu verb=%d job=%s step=%d tries=%d "
            "token=%llu outcome_unknown=%d",
            (unsigned long long)c->request_id, c->verb, c->job_id, c->step,
            c->tries, (unsigned long long)c->token, c->outcome_unknown);
  free_request (f, c);
}

/* Repeats the call to the table service for which @c waits. */
static void
send_retry (struct fleet *f, struct api_request *c)
{
  if (c->step != API_WRITING)
    api_send_read (f, c, c->step);
  else if (c->verb == FLEET_VERB_SUBMIT)
    send_submit (f, c);
  else
    api_cancel_retry (f, c);
}

/* Returns true if at least FLEET_TRIES_MAX tries have failed and none of them
   can have recorded anything. */
static bool
tries_used_up (const struct api_request *c)
{
  return !c->outcome_unknown && !c->token && c->tries >= FLEET_TRIES_MAX;
}

/* Returns the pause before the next retry after @tries tries, in
   milliseconds. */
static int64_t
retry_delay_ms (int tries)
{
  int64_t pause = FLEET_RETRY_MS;

  for (int i = 1; i < tries && pause < FLEET_RETRY_MAX_MS; i++)
    pause *= 2;
  return pause;
}

/* Handles the failure @err of the call to the table service for which @c
   waits: refuses the request, or schedules a retry. */
static void
handle_call_failure (struct fleet *f, struct api_request *c, int64_t err)
{
  bool writing = c->step == API_WRITING;
  uint64_t token = c->token;

  f->stats.store_errors++;
  c->token = 0;
  if (writing && err != CLB_EUNAVAIL && err != CLB_EDENIED)
    c->outcome_unknown = true;
  if (tries_used_up (c)
      || (writing && err == CLB_EDENIED && !c->outcome_unknown))
    api_finish (f, c, ANSWER_STORE_REFUSED, NULL);
  else
    {
      int64_t pause = retry_delay_ms (c->tries);
      c->retry_at_ms = f->now_ms + pause;
      f->stats.retries++;
      out_line (
          &f->out,
          "event=retry call=%llu verb=%d job=%s tries=%d token=%llu error=%s "
          "outcome_unknown=%d pause_ms=%lld left_ms=%lld table_unreachable=%d",
          (unsigned long long)c->request_id, c->verb, c->job_id, c->tries,
          (unsigned long long)token, clb_err_name ((int)err),
          c->outcome_unknown, (long long)pause,
          (long long)(c->deadline_ms - f->now_ms),
          proxy_table_unreachable (f));
    }
}

const struct row *
api_job_row (const struct api_request *c, const struct store_rep *rep)
{
  char key[CLB_NAME_MAX];

  api_job_key (c->job_id, "", key);
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      return &rep->rows[i];
  return NULL;
}

void
api_read_again (struct fleet *f, struct api_request *c)
{
  /* An earlier write may have taken effect. */
  c->outcome_unknown = true;
  c->step = API_READING_JOB;
  c->token = 0;
  c->retry_at_ms = f->now_ms + retry_delay_ms (c->tries);
}

/* Returns the answer to a submission whose job's row is @row. */
static int
answer_for_row (const struct row *row)
{
  int64_t withdrawn_ms;

  return withdrawal_parse (row->value, &withdrawn_ms) ? ANSWER_WITHDRAWN
                                                      : ANSWER_DUPLICATE;
}

/* Handles the answer to a write of a job's row that has succeeded, or that has
   failed because the row exists. */
static void
handle_submit_reply (struct fleet *f, struct api_request *c,
                     const struct store_rep *rep)
{
  const struct row *row = api_job_row (c, rep);

  if (!rep->err)
    {
      fleet_notify_job (f, c->job_id, c->record);
      api_finish (f, c, ANSWER_ACCEPTED, NULL);
    }
  else if (row && row->value)
    api_finish (f, c, answer_for_row (row), NULL);
  else
    api_read_again (f, c);
}

/* Handles the answer to a read of the job's progress.  A job without recorded
   progress has not started or does not exist, so that the job's own row is
   read. */
static void
handle_progress_reply (struct fleet *f, struct api_request *c,
                       const struct store_rep *rep)
{
  struct job_progress p = { 0 };
  struct codec_err ce;
  const char *value = rep->n_rows ? rep->rows[0].value : NULL;

  if (rep->err || !value
      || codec_parse (&job_progress_desc, value, strlen (value), CODEC_LENIENT,
                      &p, &ce))
    {
      api_send_read (f, c, API_READING_JOB);
      return;
    }
  api_finish (f, c, ANSWER_STATE, f->settings.codec.state_body (p.state));
  codec_free (&job_progress_desc, &p);
}

/* Handles the answer to a read of the job's own row. */
static void
handle_job_reply (struct fleet *f, struct api_request *c,
                  const struct store_rep *rep)
{
  const struct row *row = rep->err ? NULL : api_job_row (c, rep);
  bool found = row && row->value;

  if (c->verb == FLEET_VERB_CANCEL)
    api_cancel_read (f, c, row, rep->now_ms);
  else if (c->verb == FLEET_VERB_SUBMIT && found)
    api_finish (f, c, answer_for_row (row), NULL);
  else if (c->verb == FLEET_VERB_SUBMIT)
    api_finish (f, c, c->outcome_unknown ? ANSWER_UNKNOWN : ANSWER_OVERLOADED,
                NULL);
  else if (!found || answer_for_row (row) == ANSWER_WITHDRAWN)
    api_finish (f, c, ANSWER_NO_JOB, NULL);
  else
    api_finish (f, c, ANSWER_STATE,
                f->settings.codec.state_body (JOB_PENDING));
}

bool
api_store_reply (struct fleet *f, uint64_t token, const struct store_rep *rep)
{
  struct api_request *c;

  RB_FOREACH (c, api_request_tree, &f->requests)
    if (c->token == token)
      break;
  if (!c)
    return false;
  if (c->step == API_WRITING && rep->err != CLB_EUNAVAIL)
    add_write_latency (f, f->now_ms - c->call_ms,
                       !rep->err || rep->err == CLB_ECONFLICT);
  if (rep->err && rep->err != CLB_ECONFLICT && rep->err != CLB_ENOTFOUND)
    handle_call_failure (f, c, rep->err);
  else if (c->step == API_WRITING && c->verb == FLEET_VERB_CANCEL)
    api_cancel_written (f, c, rep);
  else if (c->step == API_WRITING)
    handle_submit_reply (f, c, rep);
  else if (c->step == API_READING_STATE)
    handle_progress_reply (f, c, rep);
  else
    handle_job_reply (f, c, rep);
  return true;
}

/* Queries from other instances, and replies to this instance's queries. */

/* Replies to the query @m for the state of a job.  In the reply, "known" is
   false unless this instance leads and its scheduler has the job. */
static void
reply_to_state_query (struct fleet *f, const struct mesh_msg *m)
{
  struct mesh_msg *r = calloc (1, sizeof *r);
  int state;

  if (!r)
    abort ();
  state = f->fsched && f->fsched->loaded
                  && leader_lease_valid (&f->leader, f->now_ms)
              ? fsched_job_state (f->fsched, m->id)
              : -1;
  r->kind = MESH_STATE_REPLY;
  r->seq = m->seq;
  r->known = state >= 0;
  r->state = state >= 0 ? state : 0;
  fleet_send (f, m->addr, r);
}

/* Replies to the query @m for the number of waiting jobs of a queue, if this
   instance leads and schedules; otherwise sends nothing. */
static void
reply_to_waiting_query (struct fleet *f, const struct mesh_msg *m)
{
  struct mesh_msg *r;

  if (!f->fsched || !f->fsched->loaded
      || !leader_lease_valid (&f->leader, f->now_ms))
    return;
  r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->kind = MESH_WAITING_REPLY;
  r->seq = m->seq;
  r->n_waiting = fsched_jobs_waiting (f->fsched, m->id);
  fleet_send (f, m->addr, r);
}

/* Answers a request that waits for a write, if the state of the job at the
   leader shows that the write, or another one with the same effect, is
   recorded: the leader learns of jobs and cancellations only from the
   records. */
static void
answer_if_recorded (struct fleet *f, struct api_request *c, int state)
{
  if (c->verb == FLEET_VERB_SUBMIT)
    api_finish (f, c, ANSWER_DUPLICATE, NULL);
  else if (state == JOB_CANCELLED)
    api_finish (f, c, ANSWER_CANCELLED, NULL);
}

/* Asks the leader whether the job or cancellation of @c is recorded. */
static void
ask_whether_recorded (struct fleet *f, struct api_request *c)
{
  const char *addr = fleet_leader_addr (f);
  struct mesh_msg *m;

  c->next_ask_ms = f->now_ms + FLEET_ASK_MS;
  if (f->fsched && f->fsched->loaded)
    {
      int state = fsched_job_state (f->fsched, c->job_id);
      if (state >= 0)
        answer_if_recorded (f, c, state);
      return;
    }
  if (!addr)
    return;
  m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->kind = MESH_STATE_QUERY;
  c->query_seq = (int64_t)++f->last_token;
  m->seq = c->query_seq;
  clb_copy (m->id, c->job_id, sizeof m->id);
  f->stats.queries++;
  fleet_send (f, addr, m);
}

/* Handles the leader's reply to a query; a reply that comes too late is
   ignored. */
static void
handle_leader_reply (struct fleet *f, const struct mesh_msg *m)
{
  struct api_request *c;

  RB_FOREACH (c, api_request_tree, &f->requests)
    if ((c->step == API_QUERYING || c->step == API_WRITING)
        && c->query_seq == m->seq)
      break;
  if (!c)
    return;
  if (c->step == API_WRITING)
    {
      if (m->known)
        answer_if_recorded (f, c, (int)m->state);
      return;
    }
  if (m->kind == MESH_WAITING_REPLY)
    api_finish (f, c, ANSWER_WAITING,
                f->settings.codec.count_body (m->n_waiting));
  else if (m->known)
    api_finish (f, c, ANSWER_STATE,
                f->settings.codec.state_body ((int)m->state));
  else
    api_send_read (f, c, API_READING_STATE);
}

void
api_mesh_msg (struct fleet *f, const struct mesh_msg *m)
{
  switch (m->kind)
    {
    case MESH_STATE_QUERY:
      reply_to_state_query (f, m);
      break;
    case MESH_WAITING_QUERY:
      reply_to_waiting_query (f, m);
      break;
    default:
      handle_leader_reply (f, m);
      break;
    }
}

/* Ends a request that has timed out, or sends a retry that is due. */
static void
request_tick (struct fleet *f, struct api_request *c)
{
  if (f->now_ms >= c->deadline_ms)
    {
      bool may_be_written
          = c->outcome_unknown || (c->step == API_WRITING && c->token);
      api_finish (f, c, may_be_written ? ANSWER_UNKNOWN : ANSWER_STORE_REFUSED,
                  NULL);
    }
  else if (c->step == API_QUERYING && !c->token
           && f->now_ms - c->query_ms >= FLEET_QUERY_TIMEOUT_MS)
    {
      f->stats.queries_lost++;
      if (*c->job_id)
        api_send_read (f, c, API_READING_STATE);
      else
        api_finish (f, c, ANSWER_NO_LEADER, NULL);
    }
  else if (c->retry_at_ms && f->now_ms >= c->retry_at_ms)
    send_retry (f, c);
  else if (c->step == API_WRITING && c->outcome_unknown
           && f->now_ms >= c->next_ask_ms)
    ask_whether_recorded (f, c);
}

void
api_tick (struct fleet *f)
{
  struct api_request *c, *next;

  RB_FOREACH_SAFE (c, api_request_tree, &f->requests, next)
    request_tick (f, c);
}

void
api_fini (struct fleet *f)
{
  struct api_request *c, *next;

  RB_FOREACH_SAFE (c, api_request_tree, &f->requests, next)
    free_request (f, c);
}
