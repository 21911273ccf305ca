#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ASKER_MAX_MS = 600000, /* longest wait for a task's end */
  RETRY_HINT_MS = 1000,  /* when to come back for room */
  BACKFILL_MAX = 16,     /* blocked tasks passed over per team and class */
  BLOCKED_MAX = 16,      /* sizes remembered as not fitting in a round */
  BACKOFF_BASE_MS = 500, /* before the second attempt */
  BACKOFF_MAX_MS = 60000,
  EXPIRE_PERIOD_MS = 50,  /* between looks at the deadlines */
  NEVER_FITS_MS = 120000, /* larger than every worker this long: ended */
  ENDED_KEPT = 6000,      /* ended tasks that can still be asked about */
  SHARE_ONE = 1 << 20,    /* a whole fleet, in share arithmetic */
};

static int
task_cmp (const struct task *a, const struct task *b)
{
  return strcmp (a->id, b->id);
}

static int
request_cmp (const struct task *a, const struct task *b)
{
  int order = strcmp (a->team->name, b->team->name);

  return order ? order : strcmp (a->spec.request_id, b->spec.request_id);
}

static int
team_cmp (const struct team *a, const struct team *b)
{
  return strcmp (a->name, b->name);
}

RB_GENERATE (task_tree, task, by_id, task_cmp)
RB_GENERATE (request_tree, task, by_request, request_cmp)
RB_GENERATE (team_tree, team, by_name, team_cmp)

struct sched *
sched_new (const char *domain, const char *me, int64_t boot, int64_t epoch,
           int64_t epoch_ver, int64_t now_ms, const struct conf *conf,
           struct outq *out, uint64_t *tokens)
{
  struct sched *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  clb_copy (s->domain, domain, sizeof s->domain);
  clb_copy (s->me, me, sizeof s->me);
  s->boot = boot;
  s->epoch = epoch;
  s->now_ms = now_ms;
  s->began_ms = now_ms;
  s->conf = conf;
  s->out = out;
  s->tokens = tokens;
  s->domains = 1;
  s->snap_every = SNAP_EVERY_ROWS;
  s->events = calloc (EVENTS_KEPT, sizeof *s->events);
  if (!s->events)
    abort ();
  pl_init (&s->pl);
  RB_INIT (&s->tasks);
  RB_INIT (&s->requests);
  RB_INIT (&s->teams);
  TAILQ_INIT (&s->ended);
  journal_init (s, epoch_ver);
  sched_conf (s, conf);
  return s;
}

void
sched_free (struct sched *s)
{
  struct task *t;
  struct team *team;

  if (!s)
    return;
  while ((t = RB_MIN (task_tree, &s->tasks)))
    task_free (s, t);
  while ((team = RB_MIN (team_tree, &s->teams)))
    {
      RB_REMOVE (team_tree, &s->teams, team);
      codec_free (&grant_row_desc, &team->row);
      free (team);
    }
  pl_clear (&s->pl);
  journal_free (s);
  free (s->load_after);
  free (s->want_told);
  free (s->events);
  free (s);
}

struct team *
sched_team (struct sched *s, const char *name)
{
  struct team key;

  clb_copy (key.name, name, sizeof key.name);
  struct team *team = RB_FIND (team_tree, &s->teams, &key);
  if (team)
    return team;
  team = calloc (1, sizeof *team);
  if (!team)
    abort ();
  clb_copy (team->name, name, sizeof team->name);
  team->weight = 1;
  team->frozen = true;
  for (int c = 0; c < CLASS_N; c++)
    TAILQ_INIT (&team->queue[c]);
  RB_INSERT (team_tree, &s->teams, team);
  return team;
}

void
sched_conf (struct sched *s, const struct conf *conf)
{
  struct team *team;

  s->conf = conf;
  RB_FOREACH (team, team_tree, &s->teams)
    if (!conf_team (conf, team->name))
      memset (&team->limit, 0, sizeof team->limit);
  for (size_t i = 0; i < conf->n_teams; i++)
    {
      team = sched_team (s, conf->teams[i].name);
      team->weight = conf->teams[i].weight;
      team->limit = conf->teams[i].limit;
    }
  escrow_conf (s);
  s->dirty = true;
}

struct task *
sched_task (struct sched *s, const char *id)
{
  struct task key;

  clb_copy (key.id, id, sizeof key.id);
  return RB_FIND (task_tree, &s->tasks, &key);
}

struct task *
task_new (struct sched *s, const char *id, const char *team)
{
  struct task *t = calloc (1, sizeof *t);

  if (!t)
    abort ();
  clb_copy (t->id, id, sizeof t->id);
  t->team = sched_team (s, team);
  t->accepted_ms = s->now_ms;
  TAILQ_INIT (&t->askers);
  RB_INSERT (task_tree, &s->tasks, t);
  s->n_tasks++;
  return t;
}

void
task_free (struct sched *s, struct task *t)
{
  struct asker *a;

  task_dequeue (t);
  task_unplace (s, t);
  if (t->in_ended)
    TAILQ_REMOVE (&s->ended, t, ended);
  if (RB_FIND (request_tree, &s->requests, t) == t)
    RB_REMOVE (request_tree, &s->requests, t);
  while ((a = TAILQ_FIRST (&t->askers)))
    {
      TAILQ_REMOVE (&t->askers, a, link);
      free (a);
    }
  RB_REMOVE (task_tree, &s->tasks, t);
  s->n_tasks--;
  free (t);
}

void
task_enqueue (struct sched *s, struct task *t)
{
  t->state = TASK_PENDING;
  TAILQ_INSERT_TAIL (&t->team->queue[t->class], t, queued);
  t->team->waiting++;
  t->in_queue = true;
  s->dirty = true;
}

void
task_dequeue (struct task *t)
{
  if (!t->in_queue)
    return;
  TAILQ_REMOVE (&t->team->queue[t->class], t, queued);
  t->team->waiting--;
  t->in_queue = false;
}

void
sched_event (struct sched *s, int reason, const char *id, const char *team,
             const char *where, int64_t looked_at)
{
  struct event *e = &s->events[s->event_no % EVENTS_KEPT];

  memset (e, 0, sizeof *e);
  e->no = ++s->event_no;
  e->ms = s->now_ms;
  e->reason = reason;
  e->looked_at = looked_at;
  clb_copy (e->id, id, sizeof e->id);
  clb_copy (e->team, team, sizeof e->team);
  clb_copy (e->where, where, sizeof e->where);
  s->stats.reasons[reason]++;
  out_new (s->out, OUT_EVENT)->u.event = *e;
}

static void
task_event (struct sched *s, const struct task *t, int reason,
            const char *where, int64_t looked_at)
{
  sched_event (s, reason, t->id, t->team->name, where, looked_at);
}

char *
sched_why (struct sched *s, const char *id)
{
  json_auto_t *list = json_array ();
  int64_t first = s->event_no > EVENTS_KEPT ? s->event_no - EVENTS_KEPT : 0;

  for (int64_t n = first; n < s->event_no; n++)
    {
      const struct event *e = &s->events[n % EVENTS_KEPT];
      if (strcmp (e->id, id) != 0)
        continue;
      json_t *item = codec_write (&event_desc, e);
      json_object_set_new (item, "reason",
                           json_string (clb_reason_name (e->reason)));
      json_object_set_new (item, "text",
                           json_string (clb_reason_text (e->reason)));
      json_array_append_new (list, item);
    }
  char *text = json_dumps (list, JSON_COMPACT);
  return text;
}

void
sched_reply (struct sched *s, const char *entry, const struct reply *r)
{
  if (!*entry)
    return;
  struct out *o = out_new (s->out, OUT_PEER);
  clb_copy (o->u.peer.to, entry, sizeof o->u.peer.to);
  o->u.peer.msg.kind = PM_REPLY;
  clb_copy (o->u.peer.msg.from, s->me, sizeof o->u.peer.msg.from);
  o->u.peer.msg.boot = s->boot;
  o->u.peer.msg.u.reply = *r;
}

static void
reply_err (struct sched *s, const char *entry, int64_t no, int err, int reason)
{
  struct reply r = {
    .no = no,
    .err = err,
    .reason = reason,
    .retry_ms = clb_err_http (err) == 503 ? RETRY_HINT_MS : 0,
  };

  sched_reply (s, entry, &r);
}

static struct reply
reply_of (const struct task *t, int64_t no)
{
  struct reply r = { .no = no, .state = t->state, .reason = t->reason };

  clb_copy (r.id, t->id, sizeof r.id);
  return r;
}

/* What may be told at once: an end that is not recorded is not yet told. */
static struct reply
reply_now (const struct task *t, int64_t no)
{
  struct reply r = reply_of (t, no);

  if (t->recorded && task_state_final (t->state) && !t->end_durable)
    {
      r.state = t->n_members ? TASK_RUNNING : TASK_PENDING;
      r.reason = WHY_NONE;
    }
  return r;
}

/* When a slot that nobody gives back is free again. */
static int64_t
slot_until (const struct sched *s, const struct task *t)
{
  return s->now_ms + t->spec.duration_ms + SERVICE_GRACE_MS;
}

/* Answers once the open group is durable. */
static void
reply_durable (struct sched *s, const struct task *t, const char *entry,
               int64_t no)
{
  struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);

  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply = reply_of (t, no);
}

struct rec
rec_of (const struct task *t, int kind)
{
  struct rec r = {
    .kind = kind,
    .attempt = t->attempt,
    .failures = t->failures,
    .state = t->state,
    .reason = t->reason,
  };

  clb_copy (r.id, t->id, sizeof r.id);
  if (kind == REC_ACCEPT)
    {
      clb_copy (r.team, t->team->name, sizeof r.team);
      r.spec = t->spec;
      r.class = t->class;
      r.lane = t->lane;
      r.idempotent = t->idempotent;
    }
  if (kind == REC_INTENT)
    {
      r.places = calloc ((size_t)t->n_members, sizeof *r.places);
      if (!r.places)
        abort ();
      r.n_places = (size_t)t->n_members;
      for (int64_t i = 0; i < t->n_members; i++)
        {
          clb_copy (r.places[i].worker, t->members[i].worker_id,
                    sizeof r.places[i].worker);
          r.places[i].boot = t->members[i].boot;
        }
    }
  return r;
}

static void
record (struct sched *s, const struct task *t, int kind)
{
  if (!t->recorded)
    return;
  struct rec r = rec_of (t, kind);
  journal_add (s, &r);
}

void
member_run_id (const struct member *m, char out[CLB_ID_MAX])
{
  snprintf (out, CLB_ID_MAX, "%.60s/%lld/%d", m->task->id,
            (long long)m->task->attempt, m->index);
}

void
task_place (struct sched *s, struct task *t, struct worker **picked)
{
  t->n_members = t->spec.members;
  t->members = calloc ((size_t)t->n_members, sizeof *t->members);
  if (!t->members)
    abort ();
  for (int64_t i = 0; i < t->n_members; i++)
    {
      struct member *m = &t->members[i];
      m->task = t;
      m->index = (int)i;
      m->worker = picked[i];
      m->boot = picked[i]->boot;
      clb_copy (m->worker_id, picked[i]->inst.id, sizeof m->worker_id);
      TAILQ_INSERT_TAIL (&picked[i]->members, m, on_worker);
    }
  clb_res_add (&t->team->used, &t->spec.need, t->n_members);
  t->team->idle_since_ms = s->now_ms;
  t->state = TASK_STARTING;
  t->placed_ms = s->now_ms;
  t->settled = false;
  t->intent_durable = false;
}

void
member_clear (struct sched *s, struct member *m, int end)
{
  if (m->state == MEMBER_CLEAR)
    return;
  m->state = MEMBER_CLEAR;
  m->end = end;
  if (!m->worker)
    return;
  TAILQ_REMOVE (&m->worker->members, m, on_worker);
  clb_res_add (&m->worker->used, &m->task->spec.need, -1);
  clb_res_add (&m->task->team->used, &m->task->spec.need, -1);
  m->task->team->idle_since_ms = s->now_ms;
  m->worker = NULL;
  s->dirty = true;
}

void
task_unplace (struct sched *s, struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    member_clear (s, &t->members[i], END_NEVER);
  free (t->members);
  t->members = NULL;
  t->n_members = 0;
}

void
task_stop_members (struct sched *s, struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    {
      struct member *m = &t->members[i];
      if (m->state == MEMBER_INTENT)
        member_clear (s, m, END_NEVER);
      else if (m->state != MEMBER_CLEAR)
        m->state = MEMBER_STOP;
      if (m->worker)
        m->worker->due = true;
    }
}

void
task_answer_askers (struct sched *s, struct task *t)
{
  struct asker *a;

  while ((a = TAILQ_FIRST (&t->askers)))
    {
      TAILQ_REMOVE (&t->askers, a, link);
      struct reply r = reply_of (t, a->no);
      if (t->lane == LANE_SERVICE)
        {
          r.err = t->reason == WHY_DEADLINE ? CLB_ETIMEOUT : CLB_ECANCELLED;
          r.retry_ms = RETRY_HINT_MS;
        }
      if (t->recorded)
        {
          struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);
          clb_copy (e->entry, a->entry, sizeof e->entry);
          e->reply = r;
        }
      else
        sched_reply (s, a->entry, &r);
      free (a);
    }
}

void
task_ended (struct sched *s, struct task *t, int state, int reason)
{
  t->state = state;
  t->reason = reason;
  t->settled = true;
  task_dequeue (t);
  task_event (s, t, reason, "", 0);
  record (s, t, REC_END);
  task_answer_askers (s, t);
  if (!t->recorded)
    {
      task_free (s, t);
      return;
    }
  journal_effect (s, EFFECT_END, t->id);
  TAILQ_INSERT_TAIL (&s->ended, t, ended);
  t->in_ended = true;
}

static int64_t
backoff_ms (const struct task *t)
{
  int64_t ms = BACKOFF_BASE_MS;

  for (int64_t i = 1; i < t->failures && ms < BACKOFF_MAX_MS; i++)
    ms *= 2;
  return t->failures == 0 ? 0 : ms;
}

static void
task_retry (struct sched *s, struct task *t, int reason)
{
  task_event (s, t, reason, "", 0);
  t->reason = reason;
  task_unplace (s, t);
  t->attempt++;
  t->not_before_ms = s->now_ms + backoff_ms (t);
  record (s, t, REC_RETRY);
  task_enqueue (s, t);
}

bool
task_unsent (const struct task *t)
{
  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].state != MEMBER_INTENT)
      return false;
  return t->n_members > 0 && t->lane == LANE_TASK;
}

void
sched_withdraw (struct sched *s, struct team *team)
{
  struct task *t;
  struct task *next;

  RB_FOREACH_SAFE (t, task_tree, &s->tasks, next)
    if (t->team == team && task_unsent (t))
      task_retry (s, t, WHY_TEAM_LIMIT);
}

/* struct tally - how a placed task's members ended */
struct tally
{
  int64_t of[END_LOST + 1];
  int64_t open; /* not yet clear */
};

static struct tally
tally_members (const struct task *t)
{
  struct tally n = { 0 };

  for (int64_t i = 0; i < t->n_members; i++)
    if (t->members[i].state == MEMBER_CLEAR)
      n.of[t->members[i].end]++;
    else
      n.open++;
  return n;
}

static int
failure_reason (const struct tally *n)
{
  if (n->of[END_FAILED])
    return WHY_ENDED_FAILED;
  if (n->of[END_LOST])
    return WHY_WORKER_LOST;
  if (n->of[END_REFUSED])
    return WHY_WORKER_REFUSED;
  return n->of[END_STOPPED] ? WHY_GANG_MEMBER_FAILED : WHY_START_UNSEEN;
}

/* A service request is never tried again here: its entry instance asks. */
static void
settle_service (struct sched *s, struct task *t, const struct tally *n)
{
  if (n->of[END_FAILED])
    task_ended (s, t, TASK_FAILED, WHY_ENDED_FAILED);
  else if (n->of[END_LOST])
    task_ended (s, t, TASK_UNKNOWN, WHY_ENTRY_LOST);
  else
    task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
}

/* Every member is clear and at least one did not end well. */
static void
settle_failed (struct sched *s, struct task *t, const struct tally *n)
{
  bool ran = n->of[END_OK] || n->of[END_FAILED] || n->of[END_STOPPED]
             || n->of[END_LOST];
  int reason = failure_reason (n);

  if (n->of[END_FAILED])
    t->failures++;
  if (t->giving_way)
    {
      t->giving_way = false;
      reason = WHY_GAVE_WAY;
    }
  if (t->lane == LANE_SERVICE)
    settle_service (s, t, n);
  else if (t->cancelled && (!n->of[END_LOST] || t->idempotent))
    task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
  else if (!ran)
    task_retry (s, t, reason);
  else if (!t->idempotent && n->of[END_FAILED] == 0)
    task_ended (s, t, TASK_UNKNOWN, reason);
  else if (!t->idempotent)
    task_ended (s, t, TASK_FAILED, reason);
  else if (t->failures >= TASK_FAILURES_MAX)
    task_ended (s, t, TASK_FAILED, WHY_TOO_MANY_FAILURES);
  else
    task_retry (s, t, reason);
}

void
task_settle (struct sched *s, struct task *t)
{
  struct tally n = tally_members (t);

  if (t->settled || t->n_members == 0)
    return;
  if (n.of[END_OK] == t->n_members)
    {
      task_ended (s, t, TASK_DONE, WHY_ENDED_OK);
      return;
    }
  /* A gang runs whole or not at all. */
  if (n.of[END_OK] + n.open < t->n_members)
    task_stop_members (s, t);
  n = tally_members (t);
  if (n.open == 0)
    settle_failed (s, t, &n);
}

/* Calls from entry instances. */

static bool
same_request (const struct task *t, const struct call *c)
{
  char *a = codec_text (&spec_desc, &t->spec);
  char *b = codec_text (&spec_desc, &c->spec);
  bool same = strcmp (a, b) == 0;

  free (a);
  free (b);
  return same;
}

static struct task *
find_request (struct sched *s, const struct call *c)
{
  struct task key = { .team = sched_team (s, c->team) };

  key.spec = c->spec;
  return RB_FIND (request_tree, &s->requests, &key);
}

static struct task *
task_from_call (struct sched *s, const char *id, const struct call *c)
{
  struct task *t = task_new (s, id, c->team);

  t->spec = c->spec;
  t->class = c->class;
  t->lane = c->lane;
  t->idempotent = c->idempotent;
  return t;
}

static void
answer_known (struct sched *s, const char *entry, const struct call *c,
              struct task *t)
{
  if (!same_request (t, c))
    {
      reply_err (s, entry, c->no, CLB_EDUP, WHY_DUPLICATE);
      return;
    }
  s->stats.reasons[WHY_DUPLICATE]++;
  struct reply r = reply_now (t, c->no);
  r.reason = WHY_DUPLICATE;
  if (c->verb == CALL_ACQUIRE)
    r.err = CLB_EDONE;
  /* Its accept may still be on the way to the table. */
  if (t->durable)
    sched_reply (s, entry, &r);
  else
    {
      struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);
      clb_copy (e->entry, entry, sizeof e->entry);
      e->reply = r;
    }
}

static int
call_refused (struct sched *s, const struct call *c)
{
  struct team *team = sched_team (s, c->team);

  if (journal_full (s) || s->n_tasks >= TASKS_MAX)
    return CLB_EFULL;
  if (c->max_waiting > 0 && team->waiting >= c->max_waiting)
    return CLB_EFULL;
  return 0;
}

static struct task *
accept_recorded (struct sched *s, const char *id, const struct call *c)
{
  struct task *t = task_from_call (s, id, c);

  t->recorded = true;
  t->state = TASK_PENDING;
  t->reason = WHY_ACCEPTED;
  RB_INSERT (request_tree, &s->requests, t);
  record (s, t, REC_ACCEPT);
  journal_effect (s, EFFECT_ACCEPT, t->id);
  return t;
}

static void
call_submit (struct sched *s, const char *entry, const struct call *c)
{
  char id[CLB_ID_MAX];
  struct task *t = find_request (s, c);

  if (t)
    {
      answer_known (s, entry, c, t);
      return;
    }
  int err = call_refused (s, c);
  if (err)
    {
      reply_err (s, entry, c->no, err, WHY_NO_ROOM);
      return;
    }
  snprintf (id, sizeof id, "%s.%lld.%lld", s->domain, (long long)s->epoch,
            (long long)++s->next_id);
  t = accept_recorded (s, id, c);
  if (c->spec.deadline_ms > 0)
    t->until_ms = s->now_ms + c->spec.deadline_ms;
  reply_durable (s, t, entry, c->no);
}

static void
add_asker (struct sched *s, struct task *t, const char *entry,
           const struct call *c)
{
  struct asker *a;

  /* The same call sent again. */
  TAILQ_FOREACH (a, &t->askers, link)
    if (a->no == c->no && strcmp (a->entry, entry) == 0)
      return;
  a = calloc (1, sizeof *a);
  if (!a)
    abort ();
  clb_copy (a->entry, entry, sizeof a->entry);
  a->no = c->no;
  a->stamp = c->stamp;
  a->until_ms
      = s->now_ms + (c->wait_ms < ASKER_MAX_MS ? c->wait_ms : ASKER_MAX_MS);
  TAILQ_INSERT_TAIL (&t->askers, a, link);
}

static void
reply_executor (struct sched *s, struct task *t, const char *entry, int64_t no,
                int64_t stamp)
{
  const struct worker *w = t->members[0].worker;
  struct reply r = reply_of (t, no);

  clb_copy (r.executor, w->inst.id, sizeof r.executor);
  clb_copy (r.addr, w->inst.addr, sizeof r.addr);
  r.stamp = stamp;
  if (!t->recorded)
    {
      sched_reply (s, entry, &r);
      return;
    }
  struct effect *e = journal_effect (s, EFFECT_REPLY, t->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply = r;
}

/* The same call again, after a change of holder or a lost answer. */
static void
acquire_again (struct sched *s, const char *entry, const struct call *c,
               struct task *t)
{
  if (task_state_final (t->state))
    reply_err (s, entry, c->no, CLB_EDONE, t->reason);
  else if (t->n_members > 0 && t->members[0].worker)
    reply_executor (s, t, entry, c->no, c->stamp);
  else if (TAILQ_EMPTY (&t->askers))
    add_asker (s, t, entry, c);
  else
    TAILQ_FIRST (&t->askers)->stamp = c->stamp;
}

/* A service request asks for a slot; the answer comes when one is free. */
static void
call_acquire (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (t)
    {
      acquire_again (s, entry, c, t);
      return;
    }
  t = c->idempotent ? NULL : find_request (s, c);
  if (t)
    {
      answer_known (s, entry, c, t);
      return;
    }
  int err = call_refused (s, c);
  if (err)
    {
      reply_err (s, entry, c->no, err, WHY_NO_ROOM);
      return;
    }
  if (!c->idempotent)
    t = accept_recorded (s, c->id, c);
  else
    {
      t = task_from_call (s, c->id, c);
      t->durable = true;
      task_enqueue (s, t);
    }
  t->until_ms = s->now_ms + c->wait_ms;
  add_asker (s, t, entry, c);
}

/* The entry instance says how its service request ended. */
static void
release (struct sched *s, struct task *t, int state)
{
  int end = END_OK;

  if (state == TASK_CANCELLED)
    end = END_NEVER;
  else if (state == TASK_FAILED)
    end = END_FAILED;
  else if (state == TASK_UNKNOWN)
    end = END_LOST;
  if (t->n_members == 0)
    {
      task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
      return;
    }
  for (int64_t i = 0; i < t->n_members; i++)
    member_clear (s, &t->members[i], end);
  task_settle (s, t);
}

static void
call_release (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);
  struct effect *e;

  if (t && t->n_members > 0 && t->members[0].worker)
    recon_service_end (s, t->members[0].worker, c->bad_server);
  if (t && !task_state_final (t->state))
    release (s, t, c->state);
  e = journal_effect (s, EFFECT_REPLY, c->id);
  clb_copy (e->entry, entry, sizeof e->entry);
  e->reply.no = c->no;
}

static void
call_cancel (struct sched *s, const char *entry, const struct call *c,
             struct task *t)
{
  if (task_state_final (t->state) || t->cancelled)
    {
      reply_durable (s, t, entry, c->no);
      return;
    }
  if (!t->durable)
    {
      reply_err (s, entry, c->no, CLB_ENOTFOUND, WHY_NONE);
      return;
    }
  t->cancelled = true;
  record (s, t, REC_CANCEL);
  if (t->n_members == 0)
    task_ended (s, t, TASK_CANCELLED, WHY_CANCELLED);
  else
    {
      t->state = TASK_STOPPING;
      task_stop_members (s, t);
      task_settle (s, t);
    }
  reply_durable (s, t, entry, c->no);
}

static void
call_why (struct sched *s, const char *entry, const struct call *c,
          const struct task *t)
{
  struct reply r = reply_now (t, c->no);

  r.text = sched_why (s, t->id);
  sched_reply (s, entry, &r);
}

/* An operator's call names no team; a call without a key is marked. */
static bool
may_ask (const struct sched *s, const struct call *c, const struct task *t)
{
  const struct conf_queue *q = conf_queue (s->conf, t->spec.queue);

  if (c->open_only)
    return q && q->open;
  return !*c->team || strcmp (t->team->name, c->team) == 0;
}

static void
call_about (struct sched *s, const char *entry, const struct call *c)
{
  struct task *t = sched_task (s, c->id);

  if (!t || !may_ask (s, c, t))
    reply_err (s, entry, c->no, CLB_ENOTFOUND, WHY_NONE);
  else if (c->verb == CALL_CANCEL)
    call_cancel (s, entry, c, t);
  else if (c->verb == CALL_WHY)
    call_why (s, entry, c, t);
  else if (c->wait_ms > 0 && !task_state_final (t->state))
    add_asker (s, t, entry, c);
  else if (c->wait_ms > 0 && !t->end_durable)
    reply_durable (s, t, entry, c->no);
  else
    {
      struct reply r = reply_now (t, c->no);
      sched_reply (s, entry, &r);
    }
}

void
sched_call (struct sched *s, const char *entry, const struct call *c)
{
  bool new_work = c->verb == CALL_SUBMIT || c->verb == CALL_ACQUIRE;

  /* What a lapsed holder knows may be out of date; one that hands over leaves
     new work to its successor. */
  if (s->phase != SCHED_READY || !s->may_start || (s->stopping && new_work))
    {
      reply_err (s, entry, c->no, CLB_ENOHOLDER, WHY_NONE);
      return;
    }
  switch (c->verb)
    {
    case CALL_SUBMIT:
      call_submit (s, entry, c);
      break;
    case CALL_ACQUIRE:
      call_acquire (s, entry, c);
      break;
    case CALL_RELEASE:
      call_release (s, entry, c);
      break;
    default:
      call_about (s, entry, c);
      break;
    }
}

/* Service slots across a change of holder or entry instance. */

void
sched_held (struct sched *s, const struct held_list *held)
{
  for (size_t i = 0; i < held->n_items; i++)
    {
      const struct held *h = &held->items[i];
      struct worker *w = pl_worker (&s->pl, h->executor);
      if (sched_task (s, h->id) || !w)
        continue;
      struct task *t = task_new (s, h->id, h->team);
      t->lane = LANE_SERVICE;
      t->idempotent = true;
      t->durable = true;
      t->spec.members = 1;
      t->spec.need.slots = 1;
      t->spec.duration_ms = h->run_ms;
      clb_res_add (&w->used, &t->spec.need, 1);
      task_place (s, t, &w);
      t->state = TASK_RUNNING;
      t->until_ms = slot_until (s, t);
    }
}

/* Placement. */

/* struct round - what one round of placement has found not to fit */
struct round
{
  struct clb_res blocked[BLOCKED_MAX];
  int n_blocked;
};

static bool
round_blocks (const struct round *r, const struct spec *spec)
{
  for (int i = 0; i < r->n_blocked; i++)
    if (clb_res_fits (&r->blocked[i], &spec->need))
      return true;
  return false;
}

static void
round_block (struct round *r, const struct spec *spec)
{
  if (r->n_blocked < BLOCKED_MAX && spec->members == 1)
    r->blocked[r->n_blocked++] = spec->need;
}

static void
answer_acquired (struct sched *s, struct task *t)
{
  struct asker *a = TAILQ_FIRST (&t->askers);

  if (!a)
    return;
  TAILQ_REMOVE (&t->askers, a, link);
  reply_executor (s, t, a->entry, a->no, a->stamp);
  free (a);
}

static void
task_start (struct sched *s, struct task *t, struct worker **picked,
            int reason, int64_t looked_at)
{
  task_dequeue (t);
  task_place (s, t, picked);
  t->reason = reason;
  s->stats.placed++;
  for (int64_t i = 0; i < t->n_members; i++)
    task_event (s, t, reason, t->members[i].worker_id, looked_at);
  record (s, t, REC_INTENT);
  if (t->lane == LANE_SERVICE)
    {
      t->until_ms = slot_until (s, t);
      t->intent_durable = true;
      answer_acquired (s, t);
      return;
    }
  struct effect *e = journal_effect (s, EFFECT_INTENT, t->id);
  e->attempt = t->attempt;
}

static void
note_blocked (struct sched *s, struct task *t, int reason, int64_t looked_at)
{
  if (t->reason == reason)
    return;
  t->reason = reason;
  task_event (s, t, reason, "", looked_at);
}

/* A task that no worker could hold is told so, after a while in which larger
   ones might have come. */
static void
note_never_fits (struct sched *s, struct task *t)
{
  if (t->nofit_ms == 0)
    t->nofit_ms = s->now_ms;
  else if (s->now_ms - t->nofit_ms >= NEVER_FITS_MS
           && s->now_ms - s->began_ms >= NEVER_FITS_MS)
    task_ended (s, t, TASK_FAILED, WHY_NO_WORKER_FITS);
}

static bool
try_place (struct sched *s, struct round *r, struct task *t)
{
  struct worker **picked;
  int64_t looked_at;

  if (t->not_before_ms > s->now_ms || !t->durable)
    return false;
  if (t->lane == LANE_SERVICE && !s->slots_known)
    return false;
  if (!escrow_room (s, t->team, &t->spec.need, t->spec.members))
    {
      note_blocked (s, t, WHY_TEAM_LIMIT, 0);
      return false;
    }
  if (round_blocks (r, &t->spec))
    return false;
  picked = calloc ((size_t)t->spec.members, sizeof *picked);
  if (!picked)
    abort ();
  s->stats.picks++;
  int reason = pl_pick (&s->pl, &t->spec, t->failed_on, s->now_ms, picked,
                        &looked_at);
  if (reason == WHY_NO_ROOM || reason == WHY_NO_WORKER_FITS)
    {
      round_block (r, &t->spec);
      note_blocked (s, t, reason, looked_at);
      if (reason == WHY_NO_WORKER_FITS)
        note_never_fits (s, t);
      else
        t->nofit_ms = 0;
      if (reason == WHY_NO_ROOM && t->class == CLASS_URGENT)
        urgent_make_room (s, t);
    }
  else
    task_start (s, t, picked, reason, looked_at);
  free (picked);
  return reason != WHY_NO_ROOM && reason != WHY_NO_WORKER_FITS;
}

/* Places the first task of the queue that can start now. */
static bool
place_from (struct sched *s, struct round *r, struct team *team, int class)
{
  struct task *t;
  struct task *next;
  int passed = 0;

  for (t = TAILQ_FIRST (&team->queue[class]); t; t = next)
    {
      next = TAILQ_NEXT (t, queued);
      if (try_place (s, r, t))
        return true;
      if (++passed >= BACKFILL_MAX)
        return false;
    }
  return false;
}

/* A team's largest part of any resource, by its weight. */
static int64_t
team_share (const struct team *team, const struct clb_res *fleet)
{
  int64_t share = 0;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t all = clb_res_get (fleet, k);
      if (all <= 0)
        continue;
      int64_t part = clb_res_get (&team->used, k) * SHARE_ONE / all;
      if (part > share)
        share = part;
    }
  return share / team->weight;
}

static struct clb_res
fleet_size (struct sched *s)
{
  struct worker *w;
  struct clb_res sum = { 0 };

  RB_FOREACH (w, worker_tree, &s->pl.workers)
    if (w->listed)
      clb_res_add (&sum, &w->inst.room, 1);
  return sum;
}

static void
place_class (struct sched *s, struct round *r, const struct clb_res *fleet,
             int class)
{
  struct team *team;
  struct team *open[CONF_TEAMS_MAX];
  int n = 0;

  RB_FOREACH (team, team_tree, &s->teams)
    if (!TAILQ_EMPTY (&team->queue[class]) && n < CONF_TEAMS_MAX)
      open[n++] = team;
  while (n > 0)
    {
      int best = 0;
      for (int i = 1; i < n; i++)
        if (team_share (open[i], fleet) < team_share (open[best], fleet))
          best = i;
      if (!place_from (s, r, open[best], class))
        open[best] = open[--n];
    }
}

static void
place_round (struct sched *s)
{
  struct round r = { .n_blocked = 0 };
  struct clb_res fleet = fleet_size (s);

  s->dirty = false;
  for (int class = 0; class < CLASS_N; class ++)
    place_class (s, &r, &fleet, class);
}

/* Timers. */

static void
expire_askers (struct sched *s, struct task *t)
{
  struct asker *a;
  struct asker *next;

  for (a = TAILQ_FIRST (&t->askers); a; a = next)
    {
      next = TAILQ_NEXT (a, link);
      if (a->until_ms > s->now_ms || t->lane == LANE_SERVICE)
        continue;
      TAILQ_REMOVE (&t->askers, a, link);
      reply_durable (s, t, a->entry, a->no);
      free (a);
    }
}

/* A pending task whose time is over, or a slot that nobody gave back. */
static void
expire_task (struct sched *s, struct task *t)
{
  if (!t->durable)
    return; /* told when its accept is known */
  t->until_ms = 0;
  if (t->in_queue)
    task_ended (s, t, TASK_CANCELLED, WHY_DEADLINE);
  else if (t->lane == LANE_SERVICE)
    release (s, t, TASK_UNKNOWN);
}

static void
expire_tasks (struct sched *s)
{
  struct task *t;
  struct task *next;

  if (s->now_ms < s->next_expire_ms)
    return;
  s->next_expire_ms = s->now_ms + EXPIRE_PERIOD_MS;
  RB_FOREACH_SAFE (t, task_tree, &s->tasks, next)
    {
      if (!TAILQ_EMPTY (&t->askers))
        expire_askers (s, t);
      if (t->not_before_ms && t->not_before_ms <= s->now_ms)
        {
          t->not_before_ms = 0;
          s->dirty = true;
        }
      if (t->until_ms && t->until_ms <= s->now_ms
          && !task_state_final (t->state))
        expire_task (s, t);
    }
}

static void
forget_ended (struct sched *s)
{
  struct task *t = TAILQ_FIRST (&s->ended);

  if (s->n_tasks <= ENDED_KEPT || !t || journal_full (s))
    return;
  TAILQ_REMOVE (&s->ended, t, ended);
  t->in_ended = false;
  record (s, t, REC_FORGET);
  journal_effect (s, EFFECT_DROP, t->id);
}

void
sched_instances (struct sched *s, const struct inst_list *list,
                 int64_t asked_ms)
{
  struct worker *w;
  char seen[CLB_DOMAINS_MAX][CLB_NAME_MAX];
  int n_seen = 0;

  RB_FOREACH (w, worker_tree, &s->pl.workers)
    w->listed = false;
  for (size_t i = 0; i < list->n_items; i++)
    {
      const struct inst *in = &list->items[i];
      int d = 0;
      while (d < n_seen && strcmp (seen[d], in->domain) != 0)
        d++;
      if (d == n_seen && n_seen < CLB_DOMAINS_MAX)
        clb_copy (seen[n_seen++], in->domain, CLB_NAME_MAX);
      if (in->kind == INST_ENTRY || strcmp (in->domain, s->domain) != 0)
        continue;
      w = pl_add (&s->pl, in);
      w->listed = true;
      w->leaving = in->leaving;
      w->due |= in->leaving;
      if (w->heard_ms == 0)
        w->heard_ms = s->now_ms;
    }
  s->list_ms = asked_ms;
  s->domains = n_seen > 0 ? n_seen : 1;
  s->dirty = true;
}

bool
sched_store (struct sched *s, uint64_t token, const struct store_rep *rep)
{
  return journal_store (s, token, rep) || escrow_store (s, token, rep);
}

void
sched_sync (struct sched *s, const char *worker, int64_t seq,
            const struct sync_rep *rep)
{
  struct worker *w = pl_worker (&s->pl, worker);

  if (w)
    recon_rep (s, w, seq, rep);
}

bool
sched_idle (const struct sched *s)
{
  return !s->journal.in_flight && s->journal.open.row.n_recs == 0;
}

void
sched_tick (struct sched *s)
{
  if (s->phase == SCHED_READY)
    {
      expire_tasks (s);
      forget_ended (s);
      escrow_tick (s);
      if (s->dirty && s->may_start && !s->stopping && !journal_full (s))
        place_round (s);
      recon_tick (s);
    }
  journal_tick (s);
}
