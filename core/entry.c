/* Callers' requests: checked here, sent to a domain's holder, answered. */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CALL_RETRY_MS = 1000, /* a call without a reply is sent again */
  PENDING_TICK_MS = 20, /* between looks at the deadlines */
  ABOUT_WAIT_MS = 5000, /* for status, cancel and why */
  APPLY_WAIT_MS = 10000,
  RELEASE_WAIT_MS = 60000, /* a holder is told of an end this long */
  RELEASE_STOP_MS = 10000, /* likewise by an instance that is stopping */
  LONG_WAIT_MAX_MS = 300000,
  REPLY_SLACK_MS = 2000, /* a reply may come this much after its wait */
  FORWARD_TRIES = 3,     /* executors tried for an idempotent request */
  RETRY_HINT_MS = 1000,
  QUERY_MAX = 128,
};

int
pending_no_cmp (const struct pending *a, const struct pending *b)
{
  return a->call.no < b->call.no ? -1 : a->call.no > b->call.no;
}

int
pending_caller_cmp (const struct pending *a, const struct pending *b)
{
  return a->caller < b->caller ? -1 : a->caller > b->caller;
}

RB_GENERATE (pending_tree, pending, by_no, pending_no_cmp)
RB_GENERATE (caller_tree, pending, by_call, pending_caller_cmp)

/* Answers. */

void
entry_answer (struct node *n, uint64_t call, int status, char *body,
              int64_t retry_ms)
{
  struct out *o;

  if (!call)
    {
      free (body);
      return;
    }
  o = out_new (&n->out, OUT_ANSWER);
  o->u.answer.call = call;
  o->u.answer.status = status;
  o->u.answer.body = body;
  o->u.answer.retry_ms = retry_ms;
}

static void
answer_json (struct node *n, uint64_t call, int status, json_t *json,
             int64_t retry_ms)
{
  entry_answer (n, call, status, json_dumps (json, JSON_COMPACT), retry_ms);
  json_decref (json);
}

/* Every refusal names its outcome, its reason and when to come back. */
static void
answer_err (struct node *n, uint64_t call, int err, const char *field,
            const char *id, int64_t retry_ms)
{
  json_t *json = json_object ();

  n->stats.errors[-err]++;
  json_object_set_new (json, "error", json_string (clb_err_name (err)));
  json_object_set_new (json, "outcome",
                       json_string (clb_outcome_name (clb_err_outcome (err))));
  if (field && *field)
    json_object_set_new (json, "field", json_string (field));
  if (id && *id)
    json_object_set_new (json, "id", json_string (id));
  if (retry_ms)
    json_object_set_new (json, "retry_after_ms", json_integer (retry_ms));
  answer_json (n, call, clb_err_http (err), json, retry_ms);
}

static void
refuse (struct node *n, uint64_t call, int err, const char *field)
{
  int64_t retry = clb_err_http (err) == 503 ? RETRY_HINT_MS : 0;

  answer_err (n, call, err, field, NULL, retry);
}

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

/* Requests in hand. */

static struct pending *
pending_new (struct node *n, uint64_t caller, int verb)
{
  struct pending *p = calloc (1, sizeof *p);

  if (!p)
    abort ();
  p->caller = caller;
  p->call.verb = verb;
  p->call.no = ++n->next_no;
  p->began_ms = n->now_ms;
  RB_INSERT (pending_tree, &n->pending, p);
  if (caller)
    RB_INSERT (caller_tree, &n->callers, p);
  n->n_pending++;
  return p;
}

static void
pending_uncall (struct node *n, struct pending *p)
{
  if (p->caller)
    RB_REMOVE (caller_tree, &n->callers, p);
  p->caller = 0;
}

static void
pending_free (struct node *n, struct pending *p)
{
  pending_uncall (n, p);
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
    pending_free (n, p);
}

bool
entry_apply_open (struct node *n)
{
  struct pending *p;

  RB_FOREACH (p, pending_tree, &n->pending)
    if (p->step >= STEP_APPLY_OBJECT)
      return true;
  return false;
}

static struct pending *
pending_by_no (struct node *n, int64_t no)
{
  struct pending key = { .call = { .no = no } };

  return RB_FIND (pending_tree, &n->pending, &key);
}

static struct pending *
pending_by_caller (struct node *n, uint64_t caller)
{
  struct pending key = { .caller = caller };

  return caller ? RB_FIND (caller_tree, &n->callers, &key) : NULL;
}

/* Sends the call to the domain's holder, if one is known. */
static void
pending_send (struct node *n, struct pending *p)
{
  const char *holder = node_holder (n, p->domain);
  struct pmsg m = { .kind = PM_CALL };

  if (!holder)
    return;
  if (*p->holder)
    n->stats.retries++;
  clb_copy (p->holder, holder, sizeof p->holder);
  p->sent_ms = n->now_ms;
  p->call.stamp = n->now_ms;
  m.u.call = p->call;
  node_send (n, holder, &m);
}

static void
finish_err (struct node *n, struct pending *p, int err, int64_t retry_ms)
{
  answer_err (n, p->caller, err, NULL, p->call.id, retry_ms);
  pending_free (n, p);
}

/* The holder must hear how it ended even when the caller has its answer. */
static void
pending_release (struct node *n, struct pending *p, int state, bool bad)
{
  pending_uncall (n, p);
  p->step = STEP_RELEASING;
  p->holder[0] = '\0';
  p->call.verb = CALL_RELEASE;
  p->call.state = state;
  p->call.bad_server = bad;
  p->until_ms = n->now_ms + RELEASE_WAIT_MS;
  pending_send (n, p);
}

/* Who is asking. */

int
node_authorize (struct node *n, int64_t now_ms, const char *bearer,
                char team[CLB_NAME_MAX])
{
  const struct conf_key *key;
  int err;

  n->now_ms = now_ms;
  if (!node_fresh (n))
    return CLB_ESTALE;
  err = conf_key_check (n->conf, bearer, &key);
  if (err)
    return err;
  clb_copy (team, key->kind == KEY_TEAM ? key->team : "", CLB_NAME_MAX);
  return 0;
}

static int
team_for (struct node *n, const struct request *rq, const struct conf_queue *q,
          char team[CLB_NAME_MAX])
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

/* Which domain. */

/* enum domain_fit - how well a domain suits some work */
enum domain_fit
{
  FIT_NO_HOLDER,
  FIT_NEVER, /* larger than what it has */
  FIT_LATER,
  FIT_NOW,
};

static int
domain_fit (struct node *n, const char *domain, const struct spec *spec)
{
  const char *holder = node_holder (n, domain);
  const struct peer *p = holder ? node_find_peer (n, holder) : NULL;
  struct pl_sum sum = n->sum;
  struct clb_res need = { 0 };

  if (!holder)
    return FIT_NO_HOLDER;
  if (p)
    sum = (struct pl_sum){ p->hello.room, p->hello.size, p->hello.largest };
  clb_res_add (&need, &spec->need, spec->members);
  if (!clb_res_fits (&spec->need, &sum.largest)
      || !clb_res_fits (&need, &sum.size))
    return FIT_NEVER;
  return clb_res_fits (&need, &sum.room) ? FIT_NOW : FIT_LATER;
}

/* The domain that suits best, this one before others; NULL without any. */
static const char *
pick_domain (struct node *n, const struct spec *spec)
{
  const char *best = n->set.domain;
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

/* Tasks. */

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
  if (strspn (spec->request_id, "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:-")
          != strlen (spec->request_id)
      || !*spec->request_id)
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

static void
submit (struct node *n, const struct request *rq)
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
      refuse (n, rq->call, CLB_ETOOBIG, "body");
      return;
    }
  err = codec_parse (&spec_desc, rq->body, rq->body_len, CODEC_STRICT, &spec,
                     &ce);
  if (err)
    {
      refuse (n, rq->call, err, ce.path);
      return;
    }
  q = conf_queue (n->conf, spec.queue);
  if (!q || q->lane != LANE_TASK)
    {
      refuse (n, rq->call, n->head.version ? CLB_EREF : CLB_ESTALE, "queue");
      return;
    }
  err = team_for (n, rq, q, team);
  if (!err)
    err = check_spec (n, &spec, team, &field);
  domain = err ? NULL : pick_domain (n, &spec);
  if (!err && !domain)
    err = CLB_ENOHOLDER;
  if (err)
    {
      refuse (n, rq->call, err, field);
      return;
    }
  struct pending *p = pending_new (n, rq->call, CALL_SUBMIT);
  p->call.spec = spec;
  p->call.class = q->class;
  p->call.idempotent = q->idempotent;
  p->call.max_waiting = q->max_waiting;
  clb_copy (p->call.team, team, sizeof p->call.team);
  clb_copy (p->domain, domain, sizeof p->domain);
  p->until_ms = n->now_ms + SUBMIT_WAIT_MS;
  pending_send (n, p);
}

static int64_t
query_number (const char *query, const char *name)
{
  const char *at = query ? strstr (query, name) : NULL;

  return at ? strtoll (at + strlen (name), NULL, 10) : 0;
}

/* Status, cancel and why: the id begins with the domain's name. */
static void
about (struct node *n, const struct request *rq, int verb, const char *id)
{
  struct pending *p;
  const char *query = strchr (id, '?');
  const char *dot = strchr (id, '.');
  size_t len = query ? (size_t)(query - id) : strlen (id);
  char team[CLB_NAME_MAX] = "";
  int err = 0;

  if (rq->bearer)
    err = node_authorize (n, n->now_ms, rq->bearer, team);
  if (!err
      && (len >= CLB_ID_MAX || !dot || dot >= id + len
          || dot - id >= CLB_NAME_MAX))
    err = CLB_ENOTFOUND;
  if (err)
    {
      refuse (n, rq->call, err, "id");
      return;
    }
  p = pending_new (n, rq->call, verb);
  memcpy (p->call.id, id, len);
  memcpy (p->domain, id, (size_t)(dot - id));
  clb_copy (p->call.team, team, sizeof p->call.team);
  p->call.open_only = !rq->bearer;
  p->call.wait_ms = query_number (query, "wait_ms=");
  if (p->call.wait_ms < 0 || p->call.wait_ms > LONG_WAIT_MAX_MS)
    p->call.wait_ms = LONG_WAIT_MAX_MS;
  p->until_ms = n->now_ms + ABOUT_WAIT_MS + p->call.wait_ms;
  pending_send (n, p);
  if (!*p->holder)
    finish_err (n, p, CLB_ENOHOLDER, RETRY_HINT_MS);
}

/* Service requests. */

static void
acquire (struct node *n, struct pending *p, const char *domain)
{
  clb_copy (p->domain, domain, sizeof p->domain);
  snprintf (p->call.id, sizeof p->call.id, "%.30s.%.30s-%llx-%lld", domain,
            n->set.id, (unsigned long long)n->set.boot, (long long)p->call.no);
  p->step = STEP_ASKING;
  p->holder[0] = '\0';
  pending_send (n, p);
}

static void
service (struct node *n, const struct request *rq, const char *rest)
{
  char name[CLB_NAME_MAX] = "";
  const struct conf_queue *q;
  char team[CLB_NAME_MAX];
  const char *domain;
  struct pending *p;
  struct spec spec = { .members = 1, .need = { .slots = 1 } };
  int err = 0;

  n->stats.service_requests++;
  size_t len = strcspn (rest, "?");
  if (len < sizeof name)
    memcpy (name, rest, len);
  q = conf_queue (n->conf, name);
  if (!q || q->lane != LANE_SERVICE)
    err = n->head.version ? CLB_EREF : CLB_ESTALE;
  else
    err = team_for (n, rq, q, team);
  if (!err && !q->idempotent && (!rq->request_id || !*rq->request_id))
    err = CLB_EFIELD;
  if (!err && rq->request_id && strlen (rq->request_id) >= CLB_ID_MAX)
    err = CLB_ERANGE;
  domain = err ? NULL : pick_domain (n, &spec);
  if (!err && !domain)
    err = CLB_ENOHOLDER;
  if (err)
    {
      refuse (n, rq->call, err, err == CLB_EREF ? "queue" : "X-Request-Id");
      return;
    }
  spec.duration_ms = q->max_run_ms;
  clb_copy (spec.queue, q->name, sizeof spec.queue);
  p = pending_new (n, rq->call, CALL_ACQUIRE);
  if (rq->request_id)
    clb_copy (spec.request_id, rq->request_id, sizeof spec.request_id);
  p->call.spec = spec;
  p->call.class = q->class;
  p->call.lane = LANE_SERVICE;
  p->call.idempotent = q->idempotent;
  p->call.max_waiting = q->max_waiting;
  p->call.wait_ms = q->max_wait_ms;
  p->max_run_ms = q->max_run_ms;
  clb_copy (p->call.team, team, sizeof p->call.team);
  p->until_ms = n->now_ms + q->max_wait_ms + REPLY_SLACK_MS;
  acquire (n, p, domain);
}

static void
forward (struct node *n, struct pending *p, const struct reply *r)
{
  struct out *o;

  clb_copy (p->executor, r->executor, sizeof p->executor);
  /* A holder may have given the slot to somebody else since. */
  if (n->now_ms - r->stamp > FORWARD_WITHIN_MS)
    {
      n->stats.stale_slots++;
      answer_err (n, p->caller, CLB_ELEASE, NULL, NULL, RETRY_HINT_MS);
      pending_release (n, p, TASK_CANCELLED, false);
      return;
    }
  p->step = STEP_FORWARDED;
  p->sent_ms = r->stamp;
  p->until_ms = n->now_ms + p->max_run_ms;
  o = out_new (&n->out, OUT_FORWARD);
  o->u.forward.call = p->caller;
  clb_copy (o->u.forward.executor, r->executor, CLB_ID_MAX);
  clb_copy (o->u.forward.addr, r->addr, CLB_ADDR_MAX);
  clb_copy (o->u.forward.id, p->call.id, CLB_ID_MAX);
  o->u.forward.max_run_ms = p->max_run_ms;
}

bool
node_may_forward (const struct node *n, int64_t now_ms, uint64_t call)
{
  struct pending *p = pending_by_caller ((struct node *)n, call);

  return p && p->step == STEP_FORWARDED
         && now_ms - p->sent_ms <= FORWARD_WITHIN_MS;
}

/* An idempotent request that no executor has answered goes to another. */
static bool
forward_again (struct node *n, struct pending *p)
{
  struct pending *again;
  const char *domain;
  int64_t left = p->began_ms + p->call.wait_ms - n->now_ms;

  if (!p->caller || !p->call.idempotent || ++p->tries >= FORWARD_TRIES
      || left <= 0)
    return false;
  domain = pick_domain (n, &p->call.spec);
  if (!domain)
    return false;
  uint64_t caller = p->caller;
  pending_uncall (n, p);
  again = pending_new (n, caller, CALL_ACQUIRE);
  int64_t no = again->call.no;
  again->call = p->call;
  again->call.no = no;
  again->tries = p->tries;
  again->began_ms = p->began_ms;
  again->max_run_ms = p->max_run_ms;
  again->until_ms = n->now_ms + left + REPLY_SLACK_MS;
  acquire (n, again, domain);
  return true;
}

void
node_forwarded (struct node *n, int64_t now_ms, uint64_t call, int end)
{
  struct pending *p = pending_by_caller (n, call);

  n->now_ms = now_ms;
  n->stats.forward_ends[end]++;
  if (!p || p->step != STEP_FORWARDED)
    return;
  switch (end)
    {
    case FORWARD_OK:
      pending_release (n, p, TASK_DONE, false);
      break;
    case FORWARD_ERROR:
      pending_release (n, p, TASK_FAILED, true);
      break;
    case FORWARD_UNREACHED:
      if (!forward_again (n, p))
        answer_err (n, p->caller, CLB_EREACH, NULL, NULL, RETRY_HINT_MS);
      pending_release (n, p, TASK_CANCELLED, true);
      break;
    case FORWARD_FAILED:
      if (!forward_again (n, p))
        answer_err (n, p->caller, CLB_EUNKNOWN, NULL, p->call.id, 0);
      pending_release (n, p, TASK_UNKNOWN, true);
      break;
    case FORWARD_CUT:
      answer_err (n, p->caller, CLB_EUNKNOWN, NULL, p->call.id, 0);
      pending_release (n, p, TASK_UNKNOWN, false);
      break;
    }
}

void
entry_held (struct node *n, struct held_list *out)
{
  struct pending *p;
  size_t cap = (size_t)n->n_pending;

  out->n_items = 0;
  out->items = calloc (cap ? cap : 1, sizeof *out->items);
  if (!out->items)
    abort ();
  RB_FOREACH (p, pending_tree, &n->pending)
    {
      if (p->step != STEP_FORWARDED)
        continue;
      struct held *h = &out->items[out->n_items++];
      clb_copy (h->id, p->call.id, sizeof h->id);
      clb_copy (h->executor, p->executor, sizeof h->executor);
      clb_copy (h->team, p->call.team, sizeof h->team);
      h->run_ms = p->until_ms > n->now_ms ? p->until_ms - n->now_ms : 0;
    }
}

void
node_caller_gone (struct node *n, int64_t now_ms, uint64_t call)
{
  struct pending *p = pending_by_caller (n, call);

  n->now_ms = now_ms;
  if (!p || p->step == STEP_FORWARDED)
    return;
  if (p->call.verb == CALL_ACQUIRE)
    pending_release (n, p, TASK_CANCELLED, false);
  else if (p->step != STEP_ASKING)
    pending_uncall (n, p); /* an apply goes on */
  else
    pending_free (n, p);
}

/* Replies from holders. */

static void
reply_acquire (struct node *n, struct pending *p, const struct reply *r)
{
  if (p->step != STEP_ASKING)
    return;
  if (*r->executor)
    forward (n, p, r);
  else
    {
      answer_err (n, p->caller, (int)r->err, NULL, r->id, r->retry_ms);
      pending_free (n, p);
    }
}

static void
reply_task (struct node *n, struct pending *p, const struct reply *r)
{
  json_t *json = reply_json (r);
  int status = p->call.verb == CALL_SUBMIT ? 202 : 200;

  if (p->call.verb == CALL_WHY && r->text)
    json_object_set_new (json, "history", json_loads (r->text, 0, NULL));
  answer_json (n, p->caller, status, json, 0);
  n->stats.errors[0]++;
  pending_free (n, p);
}

/* A slot for a request that nobody waits for goes straight back. */
static void
reply_late (struct node *n, const struct reply *r)
{
  struct pending *p;
  const char *dot = strchr (r->id, '.');

  n->stats.late_replies++;
  if (!*r->executor || !dot || dot - r->id >= CLB_NAME_MAX)
    return;
  p = pending_new (n, 0, CALL_RELEASE);
  clb_copy (p->call.id, r->id, sizeof p->call.id);
  memcpy (p->domain, r->id, (size_t)(dot - r->id));
  pending_release (n, p, TASK_CANCELLED, false);
}

void
entry_reply (struct node *n, const struct reply *r)
{
  struct pending *p = pending_by_no (n, r->no);

  if (!p)
    {
      reply_late (n, r);
      return;
    }
  /* The holder is going or coming: ask the next one until the deadline. */
  if (r->err == CLB_ENOHOLDER)
    return;
  if (p->call.verb == CALL_RELEASE)
    {
      if (!*r->executor)
        pending_free (n, p);
      return;
    }
  if (p->call.verb == CALL_ACQUIRE)
    reply_acquire (n, p, r);
  else if (r->err)
    finish_err (n, p, (int)r->err, r->retry_ms);
  else
    reply_task (n, p, r);
}

/* Manifests. */

static void
apply_object (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char name[CLB_ID_MAX] = "manifest-";

  strcat (name, p->head.hash);
  p->step = STEP_APPLY_OBJECT;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->token = ++n->tokens;
  o->u.store.op.kind = STORE_OBJ_PUT;
  o->u.store.op.key = strdup (name);
  o->u.store.op.value = strdup (p->manifest);
}

static void
apply_head (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char *text = codec_text (&head_row_desc, &p->head);

  p->step = STEP_APPLY_HEAD;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->token = ++n->tokens;
  o->u.store.op.kind = STORE_TXN;
  store_cond (&o->u.store.op, "head", p->head_ver);
  store_put (&o->u.store.op, "head", text);
  free (text);
}

static void
apply_check (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);

  p->step = STEP_APPLY_CHECK;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->token = ++n->tokens;
  o->u.store.op.kind = STORE_GET;
  o->u.store.op.key = strdup ("head");
}

static void
apply_done (struct node *n, struct pending *p, int64_t ver)
{
  json_t *json = json_object ();

  if (p->head.version > n->head.version)
    {
      node_take_conf (n, &p->head, ver, p->manifest);
      n->fresh_ms = p->sent_ms > n->fresh_ms ? p->sent_ms : n->fresh_ms;
    }
  json_object_set_new (json, "version", json_integer (p->head.version));
  json_object_set_new (json, "change_id", json_string (p->head.change_id));
  answer_json (n, p->caller, 200, json, 0);
  n->stats.errors[0]++;
  pending_free (n, p);
}

static void
apply_conflict (struct node *n, struct pending *p, int64_t version)
{
  char field[64];

  snprintf (field, sizeof field, "base: version %lld is current",
            (long long)version);
  answer_err (n, p->caller, CLB_ECONFLICT, field, NULL, 0);
  n->next_head_ms = n->now_ms;
  pending_free (n, p);
}

/* What the head row says of this change. */
static void
apply_seen (struct node *n, struct pending *p, const struct row *row)
{
  struct head_row head = { .version = 0 };
  struct codec_err ce;

  if (row && row->value)
    codec_parse (&head_row_desc, row->value, strlen (row->value),
                 CODEC_LENIENT, &head, &ce);
  if (row && head.version == p->head.version
      && strcmp (head.change_id, p->head.change_id) == 0)
    apply_done (n, p, row->ver);
  else if (head.version <= p->base_version)
    apply_head (n, p);
  else if (head.version == p->head.version || !p->maybe_done)
    apply_conflict (n, p, head.version);
  else
    finish_err (n, p, CLB_EUNKNOWN, 0); /* perhaps ours came in between */
}

static void
apply_head_answer (struct node *n, struct pending *p,
                   const struct store_rep *rep)
{
  if (rep->err == 0)
    apply_done (n, p, rep->n_rows ? rep->rows[0].ver : 0);
  else if (rep->err == CLB_ECONFLICT)
    apply_seen (n, p, rep->n_rows ? &rep->rows[0] : NULL);
  else if (rep->err == CLB_EUNAVAIL && !p->maybe_done)
    finish_err (n, p, CLB_EUNAVAIL, RETRY_HINT_MS);
  else
    p->maybe_done = true;
}

bool
entry_store (struct node *n, uint64_t token, const struct store_rep *rep)
{
  struct pending *p;

  RB_FOREACH (p, pending_tree, &n->pending)
    if (p->token == token)
      break;
  if (!p)
    return false;
  p->token = 0;
  switch (p->step)
    {
    case STEP_APPLY_OBJECT:
      if (rep->err == 0)
        apply_head (n, p);
      break; /* else tried again: it is named by its content */
    case STEP_APPLY_HEAD:
      apply_head_answer (n, p, rep);
      break;
    default:
      if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
        apply_seen (n, p, rep->n_rows ? &rep->rows[0] : NULL);
      break;
    }
  return true;
}

/* Until a manifest is accepted one key from the settings may apply. */
static int
may_apply (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  char hash[CONF_HASH_HEX];
  int err;

  if (n->head.version == 0 && *n->set.first_hash)
    {
      conf_key_hash (n->set.first_salt, rq->bearer ? rq->bearer : "", hash);
      return strcmp (hash, n->set.first_hash) == 0 ? 0 : CLB_EKEY;
    }
  err = node_authorize (n, n->now_ms, rq->bearer, team);
  return err ? err : *team ? CLB_EDENIED : 0;
}

static void
apply (struct node *n, const struct request *rq, const char *query)
{
  struct conf c;
  struct codec_err ce = { .err = 0 };
  struct pending *p;
  const char *change = query ? strstr (query, "change=") : NULL;
  int err = may_apply (n, rq);

  if (!err && (!change || strlen (change) >= QUERY_MAX))
    {
      err = CLB_EFIELD;
      clb_copy (ce.path, "change", sizeof ce.path);
    }
  if (!err)
    err = conf_parse (rq->body ? rq->body : "", rq->body_len, &c, &ce);
  if (err)
    {
      refuse (n, rq->call, err, ce.path);
      return;
    }
  conf_free (&c);
  p = pending_new (n, rq->call, CALL_N);
  p->base_version = query_number (query, "base=");
  p->head_ver = n->head_ver;
  p->head.version = p->base_version + 1;
  change += strlen ("change=");
  size_t len = strcspn (change, "&");
  snprintf (p->head.change_id, sizeof p->head.change_id, "%.*s",
            (int)(len < 64 ? len : 64), change);
  p->until_ms = n->now_ms + APPLY_WAIT_MS;
  if (p->base_version != n->head.version)
    {
      apply_conflict (n, p, n->head.version);
      return;
    }
  p->manifest = strndup (rq->body ? rq->body : "", rq->body_len);
  if (!p->manifest)
    abort ();
  conf_text_hash (p->manifest, rq->body_len, p->head.hash);
  apply_object (n, p);
}

static void
show_config (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  int err = node_authorize (n, n->now_ms, rq->bearer, team);
  json_t *json;

  if (n->head.version == 0)
    err = may_apply (n, rq);
  if (err)
    {
      refuse (n, rq->call, err, NULL);
      return;
    }
  json = json_object ();
  json_object_set_new (json, "version", json_integer (n->head.version));
  json_object_set_new (json, "change_id", json_string (n->head.change_id));
  json_object_set_new (json, "hash", json_string (n->head.hash));
  if (!*team)
    json_object_set_new (json, "manifest", codec_write (&conf_desc, n->conf));
  answer_json (n, rq->call, 200, json, 0);
}

static void
show_status (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX];
  int err = node_authorize (n, n->now_ms, rq->bearer, team);

  if (err)
    refuse (n, rq->call, err, NULL);
  else
    entry_answer (n, rq->call, 200, view_status (n), 0);
}

/* The part of @path behind @prefix, or NULL. */
static const char *
behind (const char *path, const char *prefix)
{
  size_t len = strlen (prefix);

  return strncmp (path, prefix, len) == 0 ? path + len : NULL;
}

static void
route (struct node *n, const struct request *rq)
{
  const char *rest;
  bool get = rq->method == METHOD_GET;

  if (strcmp (rq->path, "/v1/tasks") == 0 && rq->method == METHOD_POST)
    submit (n, rq);
  else if ((rest = behind (rq->path, "/v1/tasks/")) && get)
    about (n, rq, CALL_STATUS, rest);
  else if (rest && rq->method == METHOD_DELETE)
    about (n, rq, CALL_CANCEL, rest);
  else if ((rest = behind (rq->path, "/v1/why/")) && get)
    about (n, rq, CALL_WHY, rest);
  else if ((rest = behind (rq->path, "/v1/service/"))
           && rq->method == METHOD_POST)
    service (n, rq, rest);
  else if ((rest = behind (rq->path, "/v1/config"))
           && rq->method == METHOD_PUT)
    apply (n, rq, rest);
  else if (rest && get)
    show_config (n, rq);
  else if (strcmp (rq->path, "/v1/status") == 0 && get)
    show_status (n, rq);
  else if (strcmp (rq->path, "/metrics") == 0 && get)
    entry_answer (n, rq->call, 200, view_metrics (n), 0);
  else
    refuse (n, rq->call, CLB_ENOTFOUND, "path");
}

void
node_request (struct node *n, int64_t now_ms, const struct request *rq)
{
  n->now_ms = now_ms;
  n->stats.requests++;
  if (n->stopping)
    refuse (n, rq->call, CLB_ESTOPPING, NULL);
  else if (n->n_pending >= PENDING_MAX)
    refuse (n, rq->call, CLB_EFULL, NULL);
  else
    route (n, rq);
}

/* Deadlines and retries. */

static void
give_up (struct node *n, struct pending *p)
{
  switch (p->step)
    {
    case STEP_FORWARDED:
      return; /* the shell cuts it off and says so */
    case STEP_RELEASING:
      pending_free (n, p);
      return;
    case STEP_APPLY_OBJECT:
      finish_err (n, p, CLB_EUNAVAIL, RETRY_HINT_MS);
      return;
    case STEP_ASKING:
      break;
    default:
      finish_err (n, p, CLB_EUNKNOWN, 0);
      return;
    }
  if (p->call.verb == CALL_ACQUIRE)
    {
      /* Nothing has left for an executor, and nothing will. */
      answer_err (n, p->caller, CLB_ETIMEOUT, NULL, NULL, RETRY_HINT_MS);
      pending_release (n, p, TASK_CANCELLED, false);
    }
  else if (p->call.verb == CALL_SUBMIT || p->call.verb == CALL_CANCEL)
    finish_err (n, p, CLB_EUNKNOWN, RETRY_HINT_MS);
  else
    finish_err (n, p, CLB_ENOHOLDER, RETRY_HINT_MS);
}

/* An operation without an answer is tried again, or found out about. */
static void
apply_tick (struct node *n, struct pending *p)
{
  if (n->now_ms - p->sent_ms < CALL_RETRY_MS)
    return;
  if (p->step == STEP_APPLY_OBJECT)
    {
      apply_object (n, p);
      return;
    }
  p->maybe_done |= p->step == STEP_APPLY_HEAD;
  apply_check (n, p);
}

static void
pending_tick (struct node *n, struct pending *p)
{
  const char *holder;

  if (n->stopping && p->step == STEP_RELEASING
      && p->until_ms > n->stopping_ms + RELEASE_STOP_MS)
    p->until_ms = n->stopping_ms + RELEASE_STOP_MS;
  if (n->now_ms >= p->until_ms)
    {
      give_up (n, p);
      return;
    }
  if (p->step >= STEP_APPLY_OBJECT)
    {
      apply_tick (n, p);
      return;
    }
  if (p->step != STEP_ASKING && p->step != STEP_RELEASING)
    return;
  holder = node_holder (n, p->domain);
  if (holder
      && (strcmp (holder, p->holder) != 0
          || n->now_ms - p->sent_ms >= CALL_RETRY_MS))
    pending_send (n, p);
}

void
entry_tick (struct node *n)
{
  struct pending *p;
  struct pending *next;

  if (n->now_ms < n->next_pending_ms)
    return;
  n->next_pending_ms = n->now_ms + PENDING_TICK_MS;
  RB_FOREACH_SAFE (p, pending_tree, &n->pending, next)
    pending_tick (n, p);
}
