#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EXPIRE_PERIOD_MS = 50, /* between looks at the deadlines */
  ENDED_KEPT = 6000,     /* ended tasks that can still be asked about */
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
  s->started_ms = now_ms;
  s->conf = conf;
  s->out = out;
  s->tokens = tokens;
  s->n_domains = 1;
  s->snap_every = SNAP_EVERY_ROWS;
  s->events = calloc (EVENTS_MAX, sizeof *s->events);
  if (!s->events)
    abort ();
  pool_init (&s->pool);
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
  pool_clear (&s->pool);
  journal_free (s);
  free (s->load_after);
  free (s->want_written);
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

void
sched_event (struct sched *s, int reason, const char *id, const char *team,
             const char *where, int64_t looked_at)
{
  struct event *e = &s->events[s->event_seq % EVENTS_MAX];

  memset (e, 0, sizeof *e);
  e->seq = ++s->event_seq;
  e->time_ms = s->now_ms;
  e->reason = reason;
  e->detail = looked_at;
  clb_copy (e->id, id, sizeof e->id);
  clb_copy (e->team, team, sizeof e->team);
  clb_copy (e->instance_id, where, sizeof e->instance_id);
  s->stats.reasons[reason]++;
  out_new (s->out, OUT_EVENT)->u.event = *e;
}

char *
sched_why (struct sched *s, const char *id)
{
  json_auto_t *list = json_array ();
  int64_t first = s->event_seq > EVENTS_MAX ? s->event_seq - EVENTS_MAX : 0;

  for (int64_t n = first; n < s->event_seq; n++)
    {
      const struct event *e = &s->events[n % EVENTS_MAX];
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

/* Timers. */

static void
expire_askers (struct sched *s, struct task *t)
{
  struct waiter *a;
  struct waiter *next;

  for (a = TAILQ_FIRST (&t->waiters); a; a = next)
    {
      next = TAILQ_NEXT (a, link);
      if (a->expires_ms > s->now_ms || t->lane == LANE_SERVICE)
        continue;
      TAILQ_REMOVE (&t->waiters, a, link);
      task_reply_durable (s, t, a->entry, a->call_seq);
      free (a);
    }
}

/* A pending task whose time is over, or a slot that nobody gave back. */
static void
expire_task (struct sched *s, struct task *t)
{
  if (!t->accept_durable)
    return; /* told when its accept is known */
  t->expires_ms = 0;
  if (t->in_queue)
    task_ended (s, t, TASK_CANCELLED, WHY_DEADLINE);
  else if (t->lane == LANE_SERVICE)
    service_release (s, t, TASK_UNKNOWN);
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
      if (!TAILQ_EMPTY (&t->waiters))
        expire_askers (s, t);
      if (t->not_before_ms && t->not_before_ms <= s->now_ms)
        {
          t->not_before_ms = 0;
          s->dirty = true;
        }
      if (t->expires_ms && t->expires_ms <= s->now_ms
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
  task_journal (s, t, REC_FORGET);
  journal_effect (s, EFFECT_DROP, t->id);
}

void
sched_instances (struct sched *s, const struct inst_list *list,
                 int64_t asked_ms)
{
  struct worker *w;
  char seen[CLB_DOMAINS_MAX][CLB_NAME_MAX];
  int n_seen = 0;

  RB_FOREACH (w, worker_tree, &s->pool.workers)
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
      w = pool_add (&s->pool, in);
      w->listed = true;
      w->leaving = in->leaving;
      w->sync_due |= in->leaving;
      if (w->last_contact_ms == 0)
        w->last_contact_ms = s->now_ms;
    }
  s->list_ms = asked_ms;
  s->n_domains = n_seen > 0 ? n_seen : 1;
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
  struct worker *w = pool_worker (&s->pool, worker);

  if (w)
    recon_report (s, w, seq, rep);
}

bool
sched_idle (const struct sched *s)
{
  return !s->journal.committing && s->journal.open.row.n_recs == 0;
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
