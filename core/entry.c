/* Handling of callers' requests.  Each request is checked, the lease holder of
   a domain is called, and the caller is answered from the holder's reply. */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time after which a call without a reply is sent again. */
  CALL_RETRY_MS = 1000,
  /* Period in which deadlines and retries are checked. */
  PENDING_CHECK_MS = 20,
  /* Timeout of a status, cancel or why request, in addition to its
     call::wait_ms. */
  TASK_CALL_WAIT_MS = 5000,
  /* Longest time for which the end of a service request is reported to a lease
     holder that does not confirm it. */
  RELEASE_REPORT_MS = 60000,
  /* Longest time after the beginning of a shutdown for which the ends of
     service requests are reported to the lease holder. */
  RELEASE_STOPPING_MS = 10000,
  /* Largest call::wait_ms of a status, cancel or why request. */
  WAIT_MAX_MS = 300000,
};

int
pending_seq_cmp (const struct pending *a, const struct pending *b)
{
  return a->call.seq < b->call.seq ? -1 : a->call.seq > b->call.seq;
}

int
pending_http_call_cmp (const struct pending *a, const struct pending *b)
{
  return a->http_call < b->http_call ? -1 : a->http_call > b->http_call;
}

RB_GENERATE (pending_tree, pending, by_seq, pending_seq_cmp)
RB_GENERATE (caller_tree, pending, by_http_call, pending_http_call_cmp)

/* Answers to callers. */

void
entry_answer (struct node *n, uint64_t http_call, int status, char *body,
              int64_t retry_ms)
{
  struct out *o;

  if (!http_call)
    {
      free (body);
      return;
    }
  o = out_new (&n->out, OUT_ANSWER);
  o->u.answer.call = http_call;
  o->u.answer.status = status;
  o->u.answer.body = body;
  o->u.answer.retry_ms = retry_ms;
}

void
entry_answer_json (struct node *n, uint64_t http_call, int status,
                   json_t *json, int64_t retry_ms)
{
  entry_answer (n, http_call, status, json_dumps (json, JSON_COMPACT),
                retry_ms);
  json_decref (json);
}

/* The JSON of an error answer gives the error's name and whether the request
   may have run.  The wrong field, the id and the delay for a retry are
   optional. */
void
entry_answer_err (struct node *n, uint64_t http_call, int err,
                  const char *field, const char *id, int64_t retry_ms)
{
  json_t *json = json_object ();

  n->stats.answers[-err]++;
  json_object_set_new (json, "error", json_string (clb_err_name (err)));
  json_object_set_new (json, "outcome",
                       json_string (clb_outcome_name (clb_err_outcome (err))));
  if (field && *field)
    json_object_set_new (json, "field", json_string (field));
  if (id && *id)
    json_object_set_new (json, "id", json_string (id));
  if (retry_ms)
    json_object_set_new (json, "retry_after_ms", json_integer (retry_ms));
  entry_answer_json (n, http_call, clb_err_http (err), json, retry_ms);
}

void
entry_refuse (struct node *n, uint64_t http_call, int err, const char *field)
{
  int64_t retry = clb_err_http (err) == 503 ? RETRY_HINT_MS : 0;

  entry_answer_err (n, http_call, err, field, NULL, retry);
}

/* Returns the body of an answer about a task. */
static json_t *
reply_json (const struct reply *r)
{
  json_t *json = json_object ();

  json_object_set_new (json, "id", json_string (r->id));
  json_object_set_new (json, "state",
                       json_string (task_state_names[r->state]));
  json_object_set_new (json, "reason",
                       json_string (clb_reason_name (r->reason)));
  json_object_set_new (json, "text",
                       json_string (clb_reason_text (r->reason)));
  return json;
}

/* Pending requests. */

struct pending *
entry_pending_new (struct node *n, uint64_t http_call, int verb)
{
  struct pending *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  p->http_call = http_call;
  p->call.verb = verb;
  p->call.seq = ++n->last_call_seq;
  p->arrival_ms = n->now_ms;
  RB_INSERT (pending_tree, &n->pending, p);
  if (http_call)
    RB_INSERT (caller_tree, &n->callers, p);
  n->n_pending++;
  return p;
}

void
entry_pending_detach (struct node *n, struct pending *p)
{
  if (p->http_call)
    RB_REMOVE (caller_tree, &n->callers, p);
  p->http_call = 0;
}

void
entry_pending_free (struct node *n, struct pending *p)
{
  entry_pending_detach (n, p);
  RB_REMOVE (pending_tree, &n->pending, p);
  n->n_pending--;
  free (p->manifest);
  free (p);
}

void
entry_fini (struct node *n)
{
  struct pending *p;

  while ((p = RB_MIN (pending_tree, &n->pending)))
    entry_pending_free (n, p);
}

bool
entry_apply_in_progress (struct node *n)
{
  struct pending *p;

  RB_FOREACH (p, pending_tree, &n->pending)
    if (p->step >= STEP_APPLY_OBJECT)
      return true;
  return false;
}

/* Returns the pending request whose call::seq is @seq, or NULL. */
static struct pending *
pending_by_seq (struct node *n, int64_t seq)
{
  struct pending key = { .call = { .seq = seq } };

  return RB_FIND (pending_tree, &n->pending, &key);
}

struct pending *
entry_pending_by_http_call (struct node *n, uint64_t http_call)
{
  struct pending key = { .http_call = http_call };

  return http_call ? RB_FIND (caller_tree, &n->callers, &key) : NULL;
}

/* A call that was sent before is counted as a retry. */
void
entry_pending_send (struct node *n, struct pending *p)
{
  const char *holder = node_holder (n, p->domain);
  struct pmsg m = { .kind = PM_CALL };

  if (!holder)
    return;
  if (*p->holder)
    n->stats.retries++;
  clb_copy (p->holder, holder, sizeof p->holder);
  p->sent_ms = n->now_ms;
  p->call.sent_ms = n->now_ms;
  m.u.call = p->call;
  node_send (n, holder, &m);
}

void
entry_finish_err (struct node *n, struct pending *p, int err, int64_t retry_ms)
{
  entry_answer_err (n, p->http_call, err, NULL, p->call.id, retry_ms);
  entry_pending_free (n, p);
}

/* Reports to the lease holder how the request ended, even if the caller
   already has its answer, so that the holder frees the slot. */
void
entry_pending_release (struct node *n, struct pending *p, int state,
                       bool executor_failed)
{
  entry_pending_detach (n, p);
  p->step = STEP_RELEASING;
  p->holder[0] = '\0';
  p->call.verb = CALL_RELEASE;
  p->call.state = state;
  p->call.executor_failed = executor_failed;
  p->deadline_ms = n->now_ms + RELEASE_REPORT_MS;
  entry_pending_send (n, p);
}

/* Authorization of callers. */

int
node_authorize (struct node *n, int64_t now_ms, const char *bearer,
                char team[CLB_NAME_MAX])
{
  const struct conf_key *key;
  int err;

  n->now_ms = now_ms;
  if (!node_conf_fresh (n))
    return CLB_ESTALE;
  err = conf_key_check (n->conf, bearer, &key);
  if (err)
    return err;
  clb_copy (team, key->kind == KEY_TEAM ? key->team : "", CLB_NAME_MAX);
  return 0;
}

int
entry_team_for (struct node *n, const struct request *rq,
                const struct conf_queue *q, char team[CLB_NAME_MAX])
{
  int err;

  if (q->open)
    {
      clb_copy (team, q->team, CLB_NAME_MAX);
      return 0;
    }
  err = node_authorize (n, n->now_ms, rq->bearer, team);
  if (!err && !*team)
    return CLB_EDENIED;
  return err;
}

/* Selection of the domain to which a new task or service request is sent. */

/* enum domain_fit - whether a domain has the capacity for a task or service
 * request; a higher value is preferred */
enum domain_fit
{
  /* No lease holder of the domain is known. */
  FIT_NO_HOLDER,
  /* The need exceeds the whole capacity of the domain or of every worker. */
  FIT_NEVER,
  /* The need exceeds only the free capacity of the domain. */
  FIT_LATER,
  /* The need is within the free capacity of the domain. */
  FIT_NOW,
};

/* Returns the enum domain_fit of @domain for @spec, by the capacity in the
   holder's latest hello. */
static int
domain_fit (struct node *n, const char *domain, const struct spec *spec)
{
  const char *holder = node_holder (n, domain);
  const struct peer *peer = holder ? node_find_peer (n, holder) : NULL;
  struct pool_sum capacity = n->capacity;
  struct clb_res need = { 0 };

  if (!holder)
    return FIT_NO_HOLDER;
  if (peer)
    capacity = (struct pool_sum){ peer->hello.free_capacity,
                                  peer->hello.total_capacity,
                                  peer->hello.largest_worker };
  clb_res_add (&need, &spec->need, spec->members);
  if (!clb_res_fits (&spec->need, &capacity.largest_worker)
      || !clb_res_fits (&need, &capacity.total_capacity))
    return FIT_NEVER;
  return clb_res_fits (&need, &capacity.free_capacity) ? FIT_NOW : FIT_LATER;
}

/* Returns the domain with the best enum domain_fit.  Among domains with the
   same fit, the domain of this instance is preferred. */
const char *
entry_pick_domain (struct node *n, const struct spec *spec)
{
  const char *best = n->settings.domain;
  int best_fit = domain_fit (n, best, spec);

  for (int i = 0; i < n->n_peers; i++)
    {
      int fit = domain_fit (n, n->peers[i].domain, spec);
      if (fit <= best_fit)
        continue;
      best = n->peers[i].domain;
      best_fit = fit;
    }
  return best_fit == FIT_NO_HOLDER ? NULL : best;
}

/* Requests about tasks. */

/* Ids become parts of row keys, so only these characters are valid. */
bool
entry_id_ok (const char *id)
{
  size_t len = strlen (id);

  return len > 0 && len < CLB_ID_MAX
         && strspn (id, "abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-")
                == len;
}

/* Checks a task request of @team, and sets the default of absent members.
   Returns 0 or enum clb_err; on failure @field names the wrong field. */
static int
check_spec (struct node *n, struct spec *spec, const char *team,
            const char **field)
{
  const struct conf_team *t = conf_team (n->conf, team);
  struct clb_res total = { 0 };

  *field = "members";
  if (spec->members == 0)
    spec->members = 1;
  *field = "request_id";
  if (!entry_id_ok (spec->request_id))
    return CLB_ERANGE;
  *field = "need.slots";
  if (spec->need.slots != 0)
    return CLB_ERANGE;
  *field = "need.cores";
  if (spec->need.cores == 0)
    return CLB_EFIELD;
  *field = "need";
  clb_res_add (&total, &spec->need, spec->members);
  if (!t || !clb_res_fits (&total, &t->limit))
    return CLB_ENOFIT;
  return 0;
}

/* Handles a request to run a task. */
static void
submit_task (struct node *n, const struct request *rq)
{
  struct spec spec;
  struct codec_err ce;
  const struct conf_queue *q;
  const char *field = NULL;
  const char *domain;
  char team[CLB_NAME_MAX];
  int err;

  if (rq->body_len > BODY_MAX)
    {
      entry_refuse (n, rq->http_call, CLB_ETOOBIG, "body");
      return;
    }
  err = codec_parse (&spec_desc, rq->body, rq->body_len, CODEC_STRICT, &spec,
                     &ce);
  if (err)
    {
      entry_refuse (n, rq->http_call, err, ce.path);
      return;
    }
  q = conf_queue (n->conf, spec.queue);
  if (!q || q->lane != LANE_TASK)
    {
      entry_refuse (n, rq->http_call, n->head.version ? CLB_EREF : CLB_ESTALE,
                    "queue");
      return;
    }
  err = entry_team_for (n, rq, q, team);
  if (!err)
    err = check_spec (n, &spec, team, &field);
  domain = err ? NULL : entry_pick_domain (n, &spec);
  if (!err && !domain)
    err = CLB_ENOHOLDER;
  if (err)
    {
      entry_refuse (n, rq->http_call, err, field);
      return;
    }
  struct pending *p = entry_pending_new (n, rq->http_call, CALL_SUBMIT);
  p->call.spec = spec;
  p->call.class = q->class;
  p->call.idempotent = q->idempotent;
  p->call.max_waiting = q->max_waiting;
  clb_copy (p->call.team, team, sizeof p->call.team);
  clb_copy (p->domain, domain, sizeof p->domain);
  p->deadline_ms = n->now_ms + SUBMIT_WAIT_MS;
  entry_pending_send (n, p);
}

int64_t
entry_query_number (const char *query, const char *name)
{
  const char *found = query ? strstr (query, name) : NULL;

  return found ? strtoll (found + strlen (name), NULL, 10) : 0;
}

/* Handles a status, cancel or why request.  @rest is the rest of the path: the
   task's id, which begins with its domain's name, and maybe a query string. */
static void
call_about_task (struct node *n, const struct request *rq, int verb,
                 const char *rest)
{
  struct pending *p;
  const char *query = strchr (rest, '?');
  const char *dot = strchr (rest, '.');
  size_t len = query ? (size_t)(query - rest) : strlen (rest);
  char team[CLB_NAME_MAX] = "";
  int err = 0;

  if (rq->bearer)
    err = node_authorize (n, n->now_ms, rq->bearer, team);
  if (!err
      && (len >= CLB_ID_MAX || !dot || dot >= rest + len
          || dot - rest >= CLB_NAME_MAX))
    err = CLB_ENOTFOUND;
  if (err)
    {
      entry_refuse (n, rq->http_call, err, "id");
      return;
    }
  p = entry_pending_new (n, rq->http_call, verb);
  memcpy (p->call.id, rest, len);
  memcpy (p->domain, rest, (size_t)(dot - rest));
  clb_copy (p->call.team, team, sizeof p->call.team);
  p->call.open_only = !rq->bearer;
  p->call.wait_ms = entry_query_number (query, "wait_ms=");
  if (p->call.wait_ms < 0 || p->call.wait_ms > WAIT_MAX_MS)
    p->call.wait_ms = WAIT_MAX_MS;
  p->deadline_ms = n->now_ms + TASK_CALL_WAIT_MS + p->call.wait_ms;
  entry_pending_send (n, p);
  if (!*p->holder)
    entry_finish_err (n, p, CLB_ENOHOLDER, RETRY_HINT_MS);
}

void
node_caller_gone (struct node *n, int64_t now_ms, uint64_t http_call)
{
  struct pending *p = entry_pending_by_http_call (n, http_call);

  n->now_ms = now_ms;
  if (!p || p->step == STEP_FORWARDED)
    return;
  if (p->call.verb == CALL_ACQUIRE)
    entry_pending_release (n, p, TASK_CANCELLED, false);
  else if (p->step != STEP_AWAIT_REPLY)
    entry_pending_detach (n, p); /* the write of the manifest continues */
  else
    entry_pending_free (n, p);
}

/* Replies from lease holders. */

/* Handles the reply to a CALL_ACQUIRE: a granted slot or an error. */
static void
handle_acquire_reply (struct node *n, struct pending *p, const struct reply *r)
{
  if (p->step != STEP_AWAIT_REPLY)
    return;
  if (*r->executor)
    service_forward (n, p, r);
  else
    {
      entry_answer_err (n, p->http_call, (int)r->err, NULL, r->id,
                        r->retry_ms);
      entry_pending_free (n, p);
    }
}

/* Answers a caller's request about a task from a reply without an error. */
static void
handle_task_reply (struct node *n, struct pending *p, const struct reply *r)
{
  json_t *json = reply_json (r);
  int status = p->call.verb == CALL_SUBMIT ? 202 : 200;

  if (p->call.verb == CALL_WHY && r->text)
    json_object_set_new (json, "history", json_loads (r->text, 0, NULL));
  entry_answer_json (n, p->http_call, status, json, 0);
  n->stats.answers[0]++;
  entry_pending_free (n, p);
}

/* Handles a reply whose request is not pending any more.  If the reply grants
   a slot, releases the slot at once. */
static void
handle_late_reply (struct node *n, const struct reply *r)
{
  struct pending *p;
  const char *dot = strchr (r->id, '.');

  n->stats.late_replies++;
  if (!*r->executor || !dot || dot - r->id >= CLB_NAME_MAX)
    return;
  p = entry_pending_new (n, 0, CALL_RELEASE);
  clb_copy (p->call.id, r->id, sizeof p->call.id);
  memcpy (p->domain, r->id, (size_t)(dot - r->id));
  entry_pending_release (n, p, TASK_CANCELLED, false);
}

void
entry_reply (struct node *n, const struct reply *r)
{
  struct pending *p = pending_by_seq (n, r->call_seq);

  if (!p)
    {
      handle_late_reply (n, r);
      return;
    }
  /* The instance that was called is not the lease holder any more, or not yet.
     pending_tick() sends the call again until the request's deadline. */
  if (r->err == CLB_ENOHOLDER)
    return;
  if (p->call.verb == CALL_RELEASE)
    {
      if (!*r->executor)
        entry_pending_free (n, p);
      return;
    }
  if (p->call.verb == CALL_ACQUIRE)
    handle_acquire_reply (n, p, r);
  else if (r->err)
    entry_finish_err (n, p, (int)r->err, r->retry_ms);
  else
    handle_task_reply (n, p, r);
}

/* Answers a request for this instance's status, for which the caller needs a
   valid key of any kind. */
static void
answer_status (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX];
  int err = node_authorize (n, n->now_ms, rq->bearer, team);

  if (err)
    entry_refuse (n, rq->http_call, err, NULL);
  else
    entry_answer (n, rq->http_call, 200, view_status (n), 0);
}

/* Returns the part of @path after @prefix; NULL if @path does not start with
   @prefix. */
static const char *
path_after (const char *path, const char *prefix)
{
  size_t len = strlen (prefix);

  return strncmp (path, prefix, len) == 0 ? path + len : NULL;
}

/* Passes a request to the function that handles its path and method. */
static void
route_request (struct node *n, const struct request *rq)
{
  const char *rest;
  bool get = rq->method == METHOD_GET;

  if (strcmp (rq->path, "/v1/tasks") == 0 && rq->method == METHOD_POST)
    submit_task (n, rq);
  else if ((rest = path_after (rq->path, "/v1/tasks/")) && get)
    call_about_task (n, rq, CALL_STATUS, rest);
  else if (rest && rq->method == METHOD_DELETE)
    call_about_task (n, rq, CALL_CANCEL, rest);
  else if ((rest = path_after (rq->path, "/v1/why/")) && get)
    call_about_task (n, rq, CALL_WHY, rest);
  else if ((rest = path_after (rq->path, "/v1/service/"))
           && rq->method == METHOD_POST)
    service_request (n, rq, rest);
  else if ((rest = path_after (rq->path, "/v1/config"))
           && rq->method == METHOD_PUT)
    apply_request (n, rq, rest);
  else if (rest && get)
    apply_show (n, rq);
  else if (strcmp (rq->path, "/v1/status") == 0 && get)
    answer_status (n, rq);
  else if (strcmp (rq->path, "/metrics") == 0 && get)
    entry_answer (n, rq->http_call, 200, view_metrics (n), 0);
  else
    entry_refuse (n, rq->http_call, CLB_ENOTFOUND, "path");
}

void
node_request (struct node *n, int64_t now_ms, const struct request *rq)
{
  n->now_ms = now_ms;
  n->stats.requests++;
  if (n->stopping)
    entry_refuse (n, rq->http_call, CLB_ESTOPPING, NULL);
  else if (n->n_pending >= PENDING_MAX)
    entry_refuse (n, rq->http_call, CLB_EFULL, NULL);
  else
    route_request (n, rq);
}

/* Checking of the deadlines and retries of pending requests. */

/* Ends a pending request whose deadline has passed. */
static void
expire_pending (struct node *n, struct pending *p)
{
  switch (p->step)
    {
    case STEP_FORWARDED:
      /* The HTTP client aborts the request; node_forward_done() follows. */
      return;
    case STEP_RELEASING:
      entry_pending_free (n, p);
      return;
    case STEP_APPLY_OBJECT:
      entry_finish_err (n, p, CLB_EUNAVAIL, RETRY_HINT_MS);
      return;
    case STEP_AWAIT_REPLY:
      break;
    default:
      entry_finish_err (n, p, CLB_EOUTCOME, 0);
      return;
    }
  if (p->call.verb == CALL_ACQUIRE)
    {
      /* The request was not sent to an executor, and will not be. */
      entry_answer_err (n, p->http_call, CLB_ETIMEOUT, NULL, NULL,
                        RETRY_HINT_MS);
      entry_pending_release (n, p, TASK_CANCELLED, false);
    }
  else if (p->call.verb == CALL_SUBMIT || p->call.verb == CALL_CANCEL)
    entry_finish_err (n, p, CLB_EOUTCOME, RETRY_HINT_MS);
  else
    entry_finish_err (n, p, CLB_ENOHOLDER, RETRY_HINT_MS);
}

/* Checks whether the deadline or a retry of one pending request is due. */
static void
pending_tick (struct node *n, struct pending *p)
{
  const char *holder;

  if (n->stopping && p->step == STEP_RELEASING
      && p->deadline_ms > n->stop_requested_ms + RELEASE_STOPPING_MS)
    p->deadline_ms = n->stop_requested_ms + RELEASE_STOPPING_MS;
  if (n->now_ms >= p->deadline_ms)
    {
      expire_pending (n, p);
      return;
    }
  if (p->step >= STEP_APPLY_OBJECT)
    {
      apply_tick (n, p);
      return;
    }
  if (p->step != STEP_AWAIT_REPLY && p->step != STEP_RELEASING)
    return;
  holder = node_holder (n, p->domain);
  if (holder
      && (strcmp (holder, p->holder) != 0
          || n->now_ms - p->sent_ms >= CALL_RETRY_MS))
    entry_pending_send (n, p);
}

void
entry_tick (struct node *n)
{
  struct pending *p;
  struct pending *next;

  if (n->now_ms < n->next_pending_ms)
    return;
  n->next_pending_ms = n->now_ms + PENDING_CHECK_MS;
  RB_FOREACH_SAFE (p, pending_tree, &n->pending, next)
    pending_tick (n, p);
}
