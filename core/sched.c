/*
 * The scheduler object: creation, configuration, decision events and timers.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time between two checks of all tasks' time limits. */
  EXPIRE_CHECK_PERIOD_MS = 50,
  /* If more tasks than this are in memory, the oldest ended tasks are
     forgotten, and status calls no longer find them. */
  TASKS_RETAINED = 6000,
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
sched_new (const char *domain, const char *self_id, int64_t boot,
           int64_t epoch, int64_t epoch_row_ver, int64_t now_ms,
           const struct conf *conf, struct outq *out, uint64_t *last_token)
{
  struct sched *s = calloc (1, sizeof *s);

  if (!s)
    abort ();
  clb_copy (s->domain, domain, sizeof s->domain);
  clb_copy (s->self_id, self_id, sizeof s->self_id);
  s->boot = boot;
  s->epoch = epoch;
  s->now_ms = now_ms;
  s->started_ms = now_ms;
  s->conf = conf;
  s->out = out;
  s->last_token = last_token;
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
  journal_init (s, epoch_row_ver);
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
  free (s->want_row_text);
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
  escrow_apply_limits (s);
  s->placement_due = true;
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
             const char *where, int64_t detail)
{
  struct event *e = &s->events[s->event_seq % EVENTS_MAX];

  memset (e, 0, sizeof *e);
  e->seq = ++s->event_seq;
  e->time_ms = s->now_ms;
  e->reason = reason;
  e->detail = detail;
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

  for (int64_t k = first; k < s->event_seq; k++)
    {
      const struct event *e = &s->events[k % EVENTS_MAX];
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
  clb_copy (o->u.peer.msg.from, s->self_id, sizeof o->u.peer.msg.from);
  o->u.peer.msg.boot = s->boot;
  o->u.peer.msg.u.reply = *r;
}

/* Timers. */

/* Replies to the calls that wait for the task's end and whose waiting time is
   over.  Calls that wait for a service slot get their reply when the request
   expires, so they are left alone here. */
static void
expire_waiters (struct sched *s, struct task *t)
{
  struct waiter *waiter;
  struct waiter *next;

  for (waiter = TAILQ_FIRST (&t->waiters); waiter; waiter = next)
    {
      next = TAILQ_NEXT (waiter, link);
      if (waiter->expires_ms > s->now_ms || t->lane == LANE_SERVICE)
        continue;
      TAILQ_REMOVE (&t->waiters, waiter, link);
      task_reply_durable (s, t, waiter->entry, waiter->call_seq);
      free (waiter);
    }
}

/* Cancels a pending task whose time limit has passed, or frees the slot of a
   service request that was not released in time. */
static void
expire_task (struct sched *s, struct task *t)
{
  if (!t->accept_durable)
    /* The task expires at a later check, once its accept is durable. */
    return;
  t->expires_ms = 0;
  if (t->in_queue)
    task_finish (s, t, TASK_CANCELLED, WHY_DEADLINE);
  else if (t->lane == LANE_SERVICE)
    service_release (s, t, TASK_UNKNOWN);
}

/* Checks the time limits of all tasks, every EXPIRE_CHECK_PERIOD_MS. */
static void
expire_tasks (struct sched *s)
{
  struct task *t;
  struct task *next;

  if (s->now_ms < s->next_expire_ms)
    return;
  s->next_expire_ms = s->now_ms + EXPIRE_CHECK_PERIOD_MS;
  RB_FOREACH_SAFE (t, task_tree, &s->tasks, next)
    {
      if (!TAILQ_EMPTY (&t->waiters))
        expire_waiters (s, t);
      if (t->not_before_ms && t->not_before_ms <= s->now_ms)
        {
          t->not_before_ms = 0;
          s->placement_due = true;
        }
      if (t->expires_ms && t->expires_ms <= s->now_ms
          && !task_state_final (t->state))
        expire_task (s, t);
    }
}

/* Forgets the oldest ended task if more than TASKS_RETAINED tasks are in
   memory.  Each call forgets one at most. */
static void
forget_oldest_ended (struct sched *s)
{
  struct task *t = TAILQ_FIRST (&s->ended);

  if (s->n_tasks <= TASKS_RETAINED || !t || journal_full (s))
    return;
  TAILQ_REMOVE (&s->ended, t, ended);
  t->in_ended_list = false;
  task_journal (s, t, REC_FORGET);
  journal_add_effect (s, EFFECT_DROP, t->id);
}

void
sched_instances (struct sched *s, const struct inst_list *list,
                 int64_t requested_ms)
{
  struct worker *w;
  char domains[CLB_DOMAINS_MAX][CLB_NAME_MAX];
  int n_domains = 0;

  RB_FOREACH (w, worker_tree, &s->pool.workers)
    w->listed = false;
  for (size_t i = 0; i < list->n_items; i++)
    {
      const struct inst *inst = &list->items[i];
      int k = 0;
      while (k < n_domains && strcmp (domains[k], inst->domain) != 0)
        k++;
      if (k == n_domains && n_domains < CLB_DOMAINS_MAX)
        clb_copy (domains[n_domains++], inst->domain, CLB_NAME_MAX);
      if (inst->kind == INST_ENTRY || strcmp (inst->domain, s->domain) != 0)
        continue;
      w = pool_add (&s->pool, inst);
      w->listed = true;
      w->leaving = inst->leaving;
      w->sync_due |= inst->leaving;
      if (w->last_contact_ms == 0)
        w->last_contact_ms = s->now_ms;
    }
  s->list_ms = requested_ms;
  s->n_domains = n_domains > 0 ? n_domains : 1;
  s->placement_due = true;
}

bool
sched_handle_store_reply (struct sched *s, uint64_t token,
                          const struct store_rep *rep)
{
  return journal_handle_store_reply (s, token, rep)
         || escrow_handle_store_reply (s, token, rep);
}

void
sched_handle_sync_reply (struct sched *s, const char *worker, int64_t seq,
                         const struct sync_rep *rep)
{
  struct worker *w = pool_find_worker (&s->pool, worker);

  if (w)
    recon_report (s, w, seq, rep);
}

bool
sched_idle (const struct sched *s)
{
  return !s->journal.commit_in_progress && s->journal.open.row.n_recs == 0;
}

void
sched_tick (struct sched *s)
{
  if (s->phase == SCHED_READY)
    {
      expire_tasks (s);
      forget_oldest_ended (s);
      escrow_tick (s);
      if (s->placement_due && s->may_start && !s->stopping
          && !journal_full (s))
        place_round (s);
      recon_tick (s);
    }
  journal_tick (s);
}
