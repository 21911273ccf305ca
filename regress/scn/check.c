/*
 * Holds what workers, executors and callers saw against the guarantees.
 * Never reads the scheduler's own books.
 */
#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <bsd/sys/tree.h>

enum
{
  IN_FORCE_MS = 3500, /* a change is in force everywhere within this */
  LEAVING_MS = 4000,  /* after the list shows it, nothing new arrives */
  MEMBERS_MAX = 32,
  LIMITS_MAX = 1024,
  WITHDRAWN_MAX = 64,
  TEAMS_MAX = 16,
};

/* struct work - one request id, as the outside saw it */
struct work
{
  RB_ENTRY (work) by_name;
  char name[CLB_ID_MAX];
  bool idempotent;
  int calls;
  bool not_run;        /* its only caller was told so */
  char id[CLB_ID_MAX]; /* once accepted */
  char state[CLB_NAME_MAX];
  int starts[MEMBERS_MAX];
  int running[MEMBERS_MAX];
  int ok[MEMBERS_MAX];
  int served;
};
RB_HEAD (work_tree, work);

struct usage
{
  char team[CLB_NAME_MAX];
  struct clb_res used;
};

struct check
{
  struct world *w;
  struct work_tree works;
  struct limit limits[LIMITS_MAX];
  int n_limits;
  struct usage usage[TEAMS_MAX];
  int n_usage;
  struct
  {
    char key[CLB_NAME_MAX];
    int64_t at_ms;
  } withdrawn[WITHDRAWN_MAX];
  int n_withdrawn;
  bool is_broken;
  char broken[256];
};

static int
work_cmp (const struct work *a, const struct work *b)
{
  return strcmp (a->name, b->name);
}

RB_PROTOTYPE (work_tree, work, by_name, work_cmp)
RB_GENERATE (work_tree, work, by_name, work_cmp)

struct check *
check_new (struct world *w)
{
  struct check *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->w = w;
  RB_INIT (&c->works);
  return c;
}

void
check_free (struct check *c)
{
  struct work *k;

  while ((k = RB_MIN (work_tree, &c->works)))
    {
      RB_REMOVE (work_tree, &c->works, k);
      free (k);
    }
  free (c);
}

static void __attribute__ ((format (printf, 2, 3)))
broken (struct check *c, const char *fmt, ...)
{
  va_list ap;
  int n;

  if (c->is_broken)
    return;
  c->is_broken = true;
  n = snprintf (c->broken, sizeof c->broken,
                "at %lld ms: ", (long long)c->w->now_ms);
  va_start (ap, fmt);
  vsnprintf (c->broken + n, sizeof c->broken - (size_t)n, fmt, ap);
  va_end (ap);
}

const char *
check_broken (const struct check *c)
{
  return c->is_broken ? c->broken : NULL;
}

static struct work *
work_of (struct check *c, const char *name)
{
  struct work key;
  struct work *k;

  clb_copy (key.name, name, sizeof key.name);
  k = RB_FIND (work_tree, &c->works, &key);
  if (k)
    return k;
  k = calloc (1, sizeof *k);
  if (!k)
    abort ();
  clb_copy (k->name, name, sizeof k->name);
  k->idempotent = true;
  RB_INSERT (work_tree, &c->works, k);
  return k;
}

/* Work is named "team:request id". */
static void
team_of (const char *name, char out[CLB_NAME_MAX])
{
  size_t len = strcspn (name, ":");

  clb_copy (out, name, CLB_NAME_MAX);
  if (len < CLB_NAME_MAX)
    out[len] = '\0';
}

static struct usage *
usage_of (struct check *c, const char *team)
{
  for (int i = 0; i < c->n_usage; i++)
    if (strcmp (c->usage[i].team, team) == 0)
      return &c->usage[i];
  if (c->n_usage == TEAMS_MAX)
    abort ();
  struct usage *u = &c->usage[c->n_usage++];
  clb_copy (u->team, team, sizeof u->team);
  return u;
}

/* A lowered limit binds new starts once it is in force everywhere. */
static bool
within_limit (const struct check *c, const char *team,
              const struct clb_res *used)
{
  int64_t now = c->w->now_ms;
  int64_t until = INT64_MAX;

  for (int i = c->n_limits - 1; i >= 0; i--)
    {
      const struct limit *l = &c->limits[i];
      if (strcmp (l->team, team) != 0)
        continue;
      if (now <= until && clb_res_fits (used, &l->amount))
        return true;
      if (l->maybe)
        continue;
      until = l->since_ms + IN_FORCE_MS;
      if (now > until)
        return false;
    }
  return false;
}

static void
use (struct check *c, const char *name, const struct clb_res *need,
     int64_t times)
{
  char team[CLB_NAME_MAX];

  team_of (name, team);
  struct usage *u = usage_of (c, team);
  clb_res_add (&u->used, need, times);
  if (times > 0 && !within_limit (c, team, &u->used))
    broken (c, "team %s over its upper limit with %s", team, name);
}

/* A service request needs no record, so a domain serves it while the platform
   and its list are away: its bound counts from when the platform was back. */
static void
check_leaving (struct check *c, const struct wserver *s, const char *name,
               bool service)
{
  int64_t since = s->leaving_ms;

  if (service && c->w->platform_bad_ms > since)
    since = c->w->platform_bad_ms;
  if (s->leaving_ms && c->w->now_ms - since > c->w->list_lag_ms + LEAVING_MS)
    broken (c, "%s given to %s, leaving for %lld ms", name, s->inst.id,
            (long long)(c->w->now_ms - s->leaving_ms));
}

static void
run_started (struct check *c, struct wserver *s, struct work *k, int i,
             const struct frun *run)
{
  clb_res_add (&s->used, &run->need, 1);
  if (!clb_res_fits (&s->used, &s->inst.capacity))
    broken (c, "%s overcommitted by %s", s->inst.id, run->id);
  if (++k->running[i] > 1)
    broken (c, "%s member %d runs in two places", k->name, i);
  if (++k->starts[i] > 1 && !k->idempotent)
    broken (c, "%s is not idempotent and started again", k->name);
  if (k->not_run)
    broken (c, "%s started after it was said not to run", k->name);
  check_leaving (c, s, k->name, false);
  use (c, k->name, &run->need, 1);
}

void
check_run (struct check *c, struct wserver *s, const struct frun *run,
           bool started)
{
  struct work *k = work_of (c, run->name);
  const char *slash = strrchr (run->id, '/');
  int i = slash ? atoi (slash + 1) : 0;

  if (i < 0 || i >= MEMBERS_MAX)
    return;
  if (started)
    {
      run_started (c, s, k, i, run);
      return;
    }
  clb_res_add (&s->used, &run->need, -1);
  k->running[i]--;
  k->ok[i] += run->state == RUN_OK;
  use (c, k->name, &run->need, -1);
}

void
check_served (struct check *c, struct wserver *s, int call, bool started)
{
  const struct wcall *wc = &c->w->calls[call];
  struct work *k = work_of (c, wc->name);
  struct clb_res slot = { .slots = 1 };

  clb_res_add (&s->used, &slot, started ? 1 : -1);
  if (started)
    {
      if (!clb_res_fits (&s->used, &s->inst.capacity))
        broken (c, "%s has more requests than slots", s->inst.id);
      if (++k->served > 1 && !wc->idempotent)
        broken (c, "%s is not idempotent and was sent again", k->name);
      if (k->not_run)
        broken (c, "%s sent after it was said not to run", k->name);
      check_leaving (c, s, k->name, true);
    }
  use (c, wc->name, &slot, started ? 1 : -1);
}

void
check_call (struct check *c, const struct wcall *call)
{
  struct work *k;

  if (!*call->name)
    return;
  k = work_of (c, call->name);
  k->idempotent = call->idempotent;
  /* A refusal speaks of its own call: a later one may well run. */
  k->not_run = false;
  k->calls++;
}

static bool
has_run (const struct work *k)
{
  int n = k->served;

  for (int i = 0; i < MEMBERS_MAX; i++)
    n += k->starts[i];
  return n > 0;
}

static void
check_key (struct check *c, const struct wcall *call)
{
  for (int i = 0; i < c->n_withdrawn; i++)
    if (strcmp (c->withdrawn[i].key, call->key) == 0
        && call->sent_ms > c->withdrawn[i].at_ms + IN_FORCE_MS)
      broken (c, "%s accepted with key %s, withdrawn %lld ms before",
              call->name, call->key,
              (long long)(call->sent_ms - c->withdrawn[i].at_ms));
}

static void
check_accepted (struct check *c, struct work *k, const struct wcall *call)
{
  json_t *json = json_loads (call->body, 0, NULL);
  const char *id = json_string_value (json_object_get (json, "id"));

  if (!id)
    broken (c, "%s accepted without an id", call->name);
  else if (*k->id && strcmp (k->id, id) != 0)
    broken (c, "%s accepted twice, as %s and %s", k->name, k->id, id);
  else
    clb_copy (k->id, id, sizeof k->id);
  json_decref (json);
}

void
check_answer (struct check *c, struct wcall *call)
{
  struct work *k;
  bool not_run;

  if (!*call->name)
    return;
  k = work_of (c, call->name);
  if (call->answers > 1)
    broken (c, "%s answered twice", call->name);
  if (call->status < 0)
    {
      broken (c, "%s cut short by a planned stop", call->name);
      return;
    }
  not_run = strstr (call->body, "\"outcome\":\"not-run\"") != NULL;
  if (not_run && k->calls == 1)
    {
      k->not_run = true;
      if (has_run (k))
        broken (c, "%s has run and was answered %s", k->name, call->body);
    }
  if (call->status >= 300)
    return;
  check_key (c, call);
  if (call->service && strcmp (call->body, call->name) != 0)
    broken (c, "%s got the answer of %s", call->name, call->body);
  if (!call->service)
    check_accepted (c, k, call);
}

void
check_limit (struct check *c, const char *team, const struct clb_res *amount,
             bool maybe)
{
  struct limit *l = &c->limits[c->n_limits++];

  if (c->n_limits >= LIMITS_MAX)
    abort ();
  clb_copy (l->team, team, sizeof l->team);
  l->amount = *amount;
  l->maybe = maybe;
  l->since_ms = c->w->now_ms;
}

void
check_key_withdrawn (struct check *c, const char *key)
{
  if (c->n_withdrawn == WITHDRAWN_MAX)
    abort ();
  clb_copy (c->withdrawn[c->n_withdrawn].key, key, CLB_NAME_MAX);
  c->withdrawn[c->n_withdrawn++].at_ms = c->w->now_ms;
}

const char *
check_next_accepted (struct check *c, int *at)
{
  struct work *k;
  int i = 0;

  RB_FOREACH (k, work_tree, &c->works)
    if (*k->id && i++ == *at)
      {
        (*at)++;
        return k->id;
      }
  return NULL;
}

void
check_state (struct check *c, const char *id, const char *state)
{
  struct work *k;
  bool final = strcmp (state, "done") == 0 || strcmp (state, "failed") == 0
               || strcmp (state, "cancelled") == 0
               || strcmp (state, "unknown") == 0;

  RB_FOREACH (k, work_tree, &c->works)
    if (strcmp (k->id, id) == 0)
      break;
  if (!k)
    return;
  clb_copy (k->state, state, sizeof k->state);
  if (!final)
    broken (c, "%s (%s) was accepted and is left %s", k->name, id, state);
  else if (strcmp (state, "done") == 0 && !k->ok[0])
    broken (c, "%s is said to be done and no worker has ended it", k->name);
  else if (strcmp (state, "cancelled") == 0 && k->running[0])
    broken (c, "%s is said to be cancelled and runs", k->name);
}

int
check_starts (const struct check *c, const char *name)
{
  struct work key;
  const struct work *k;
  int n;

  clb_copy (key.name, name, sizeof key.name);
  k = RB_FIND (work_tree, (struct work_tree *)&c->works, &key);
  if (!k)
    return 0;
  n = k->served;
  for (int i = 0; i < MEMBERS_MAX; i++)
    n += k->starts[i];
  return n;
}

int64_t
check_used (struct check *c, const char *team)
{
  return usage_of (c, team)->used.cores;
}
