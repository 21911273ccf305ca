/*
 * Checks what workers, executors and callers saw against the guarantees.
 * It never reads the scheduler's own state.
 */
#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <bsd/sys/tree.h>

enum
{
  /* An accepted configuration change is in force everywhere within this. */
  CONF_IN_FORCE_MS = 3500,
  /* A server gets no new work later than this after the platform's list shows
     it as leaving. */
  LEAVING_GRACE_MS = 4000,
  MEMBERS_MAX = 32,
  LIMITS_MAX = 1024,
  WITHDRAWN_MAX = 64,
  TEAMS_MAX = 16,
};

/* struct request_log - what callers and servers saw of one request id */
struct request_log
{
  RB_ENTRY (request_log) by_name;
  char name[CLB_ID_MAX]; /* "team:request id" */
  bool idempotent;
  int n_calls;
  /* The answer to its only call said that it was not run. */
  bool reported_not_run;
  char id[CLB_ID_MAX]; /* of the accepted task; empty: not accepted */
  char state[CLB_NAME_MAX];
  /* Runs of a task, by member. */
  int n_starts[MEMBERS_MAX];
  int n_running[MEMBERS_MAX];
  int n_ok[MEMBERS_MAX];
  int n_served; /* starts of a service request */
};
RB_HEAD (request_log_tree, request_log);

struct usage
{
  char team[CLB_NAME_MAX];
  struct clb_res used;
};

struct check
{
  struct world *w;
  struct request_log_tree requests;
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
  bool violated;
  char violation[256];
};

static int
request_log_cmp (const struct request_log *a, const struct request_log *b)
{
  return strcmp (a->name, b->name);
}

RB_PROTOTYPE (request_log_tree, request_log, by_name, request_log_cmp)
RB_GENERATE (request_log_tree, request_log, by_name, request_log_cmp)

struct check *
check_new (struct world *w)
{
  struct check *c = calloc (1, sizeof *c);

  if (!c)
    abort ();
  c->w = w;
  RB_INIT (&c->requests);
  return c;
}

void
check_free (struct check *c)
{
  struct request_log *k;

  while ((k = RB_MIN (request_log_tree, &c->requests)))
    {
      RB_REMOVE (request_log_tree, &c->requests, k);
      free (k);
    }
  free (c);
}

static void __attribute__ ((format (printf, 2, 3)))
violation (struct check *c, const char *fmt, ...)
{
  va_list ap;
  int n;

  if (c->violated)
    return;
  c->violated = true;
  n = snprintf (c->violation, sizeof c->violation,
                "at %lld ms: ", (long long)c->w->now_ms);
  va_start (ap, fmt);
  vsnprintf (c->violation + n, sizeof c->violation - (size_t)n, fmt, ap);
  va_end (ap);
}

const char *
check_violation (const struct check *c)
{
  return c->violated ? c->violation : NULL;
}

static struct request_log *
request_log_get (struct check *c, const char *name)
{
  struct request_log key;
  struct request_log *k;

  clb_copy (key.name, name, sizeof key.name);
  k = RB_FIND (request_log_tree, &c->requests, &key);
  if (k)
    return k;
  k = calloc (1, sizeof *k);
  if (!k)
    abort ();
  clb_copy (k->name, name, sizeof k->name);
  k->idempotent = true;
  RB_INSERT (request_log_tree, &c->requests, k);
  return k;
}

/* Extracts the team from a name "team:request id". */
static void
team_of_name (const char *name, char out[CLB_NAME_MAX])
{
  size_t len = strcspn (name, ":");

  clb_copy (out, name, CLB_NAME_MAX);
  if (len < CLB_NAME_MAX)
    out[len] = '\0';
}

static struct usage *
usage_get (struct check *c, const char *team)
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

/* Whether @used is within a limit that may be in force now.  A lowered limit
   applies to new starts only once it is in force everywhere. */
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
      if (l->outcome_unknown)
        continue;
      until = l->since_ms + CONF_IN_FORCE_MS;
      if (now > until)
        return false;
    }
  return false;
}

static void
usage_add (struct check *c, const char *name, const struct clb_res *need,
           int64_t factor)
{
  char team[CLB_NAME_MAX];

  team_of_name (name, team);
  struct usage *u = usage_get (c, team);
  clb_res_add (&u->used, need, factor);
  if (factor > 0 && !within_limit (c, team, &u->used))
    violation (c, "team %s exceeds its upper limit by the start of %s", team,
               name);
}

/* Reports work that was given to a server long after it began to leave.
   Service requests need no record, so a domain serves them also while the
   platform and its list are unreachable: their bound counts from the end of
   the platform's last fault. */
static void
check_leaving (struct check *c, const struct wserver *s, const char *name,
               bool service)
{
  int64_t since = s->leaving_since_ms;

  if (service && c->w->platform_fault_ms > since)
    since = c->w->platform_fault_ms;
  if (s->leaving_since_ms
      && c->w->now_ms - since > c->w->list_lag_ms + LEAVING_GRACE_MS)
    violation (c, "%s started on %s, which has been leaving for %lld ms", name,
               s->inst.id, (long long)(c->w->now_ms - s->leaving_since_ms));
}

static void
run_started (struct check *c, struct wserver *s, struct request_log *k, int i,
             const struct frun *run)
{
  clb_res_add (&s->used, &run->need, 1);
  if (!clb_res_fits (&s->used, &s->inst.capacity))
    violation (c, "capacity of worker %s exceeded by run %s", s->inst.id,
               run->id);
  if (++k->n_running[i] > 1)
    violation (c, "%s member %d runs in two places at once", k->name, i);
  if (++k->n_starts[i] > 1 && !k->idempotent)
    violation (c, "%s is not idempotent and was started twice", k->name);
  if (k->reported_not_run)
    violation (c, "%s started after its caller was told not-run", k->name);
  check_leaving (c, s, k->name, false);
  usage_add (c, k->name, &run->need, 1);
}

void
check_run (struct check *c, struct wserver *s, const struct frun *run,
           bool started)
{
  struct request_log *k = request_log_get (c, run->name);
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
  k->n_running[i]--;
  k->n_ok[i] += run->state == RUN_OK;
  usage_add (c, k->name, &run->need, -1);
}

void
check_served (struct check *c, struct wserver *s, int call, bool started)
{
  const struct wcall *wc = &c->w->calls[call];
  struct request_log *k = request_log_get (c, wc->name);
  struct clb_res one_slot = { .slots = 1 };

  clb_res_add (&s->used, &one_slot, started ? 1 : -1);
  if (started)
    {
      if (!clb_res_fits (&s->used, &s->inst.capacity))
        violation (c, "executor %s serves more requests than its slots",
                   s->inst.id);
      if (++k->n_served > 1 && !wc->idempotent)
        violation (c, "%s is not idempotent and was sent to an executor twice",
                   k->name);
      if (k->reported_not_run)
        violation (c,
                   "%s sent to an executor after its caller was told not-run",
                   k->name);
      check_leaving (c, s, k->name, true);
    }
  usage_add (c, wc->name, &one_slot, started ? 1 : -1);
}

void
check_call (struct check *c, const struct wcall *call)
{
  struct request_log *k;

  if (!*call->name)
    return;
  k = request_log_get (c, call->name);
  k->idempotent = call->idempotent;
  /* "not-run" holds for one call only: a later call of the same request id
     may run. */
  k->reported_not_run = false;
  k->n_calls++;
}

static bool
has_run (const struct request_log *k)
{
  int n = k->n_served;

  for (int i = 0; i < MEMBERS_MAX; i++)
    n += k->n_starts[i];
  return n > 0;
}

static void
check_key (struct check *c, const struct wcall *call)
{
  for (int i = 0; i < c->n_withdrawn; i++)
    if (strcmp (c->withdrawn[i].key, call->key) == 0
        && call->sent_ms > c->withdrawn[i].at_ms + CONF_IN_FORCE_MS)
      violation (c,
                 "%s accepted with key %s, which was withdrawn %lld ms before",
                 call->name, call->key,
                 (long long)(call->sent_ms - c->withdrawn[i].at_ms));
}

static void
check_accepted (struct check *c, struct request_log *k,
                const struct wcall *call)
{
  json_t *json = json_loads (call->body, 0, NULL);
  const char *id = json_string_value (json_object_get (json, "id"));

  if (!id)
    violation (c, "%s accepted without a task id", call->name);
  else if (*k->id && strcmp (k->id, id) != 0)
    violation (c, "%s accepted twice, as tasks %s and %s", k->name, k->id, id);
  else
    clb_copy (k->id, id, sizeof k->id);
  json_decref (json);
}

void
check_answer (struct check *c, struct wcall *call)
{
  struct request_log *k;
  bool not_run;

  if (!*call->name)
    return;
  k = request_log_get (c, call->name);
  if (call->n_answers > 1)
    violation (c, "%s answered twice", call->name);
  if (call->status < 0)
    {
      violation (c, "connection of %s broken by a planned stop", call->name);
      return;
    }
  not_run = strstr (call->body, "\"outcome\":\"not-run\"") != NULL;
  if (not_run && k->n_calls == 1)
    {
      k->reported_not_run = true;
      if (has_run (k))
        violation (c, "%s has run, but its caller was told: %s", k->name,
                   call->body);
    }
  if (call->status >= 300)
    return;
  check_key (c, call);
  if (call->service && strcmp (call->body, call->name) != 0)
    violation (c, "%s received the answer to %s", call->name, call->body);
  if (!call->service)
    check_accepted (c, k, call);
}

void
check_limit (struct check *c, const char *team, const struct clb_res *amount,
             bool outcome_unknown)
{
  struct limit *l = &c->limits[c->n_limits++];

  if (c->n_limits >= LIMITS_MAX)
    abort ();
  clb_copy (l->team, team, sizeof l->team);
  l->amount = *amount;
  l->outcome_unknown = outcome_unknown;
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
  struct request_log *k;
  int i = 0;

  RB_FOREACH (k, request_log_tree, &c->requests)
    if (*k->id && i++ == *at)
      {
        (*at)++;
        return k->id;
      }
  return NULL;
}

void
check_final_state (struct check *c, const char *id, const char *state)
{
  struct request_log *k;
  bool final = strcmp (state, "done") == 0 || strcmp (state, "failed") == 0
               || strcmp (state, "cancelled") == 0
               || strcmp (state, "unknown") == 0;

  RB_FOREACH (k, request_log_tree, &c->requests)
    if (strcmp (k->id, id) == 0)
      break;
  if (!k)
    return;
  clb_copy (k->state, state, sizeof k->state);
  if (!final)
    violation (c, "%s (%s) was accepted and did not end: its state is %s",
               k->name, id, state);
  else if (strcmp (state, "done") == 0 && !k->n_ok[0])
    violation (c, "%s is reported done, but no worker has completed it",
               k->name);
  else if (strcmp (state, "cancelled") == 0 && k->n_running[0])
    violation (c, "%s is reported cancelled and still runs", k->name);
}

int
check_starts (const struct check *c, const char *name)
{
  struct request_log key;
  const struct request_log *k;
  int n;

  clb_copy (key.name, name, sizeof key.name);
  k = RB_FIND (request_log_tree, (struct request_log_tree *)&c->requests,
               &key);
  if (!k)
    return 0;
  n = k->n_served;
  for (int i = 0; i < MEMBERS_MAX; i++)
    n += k->n_starts[i];
  return n;
}

int64_t
check_used_cores (struct check *c, const char *team)
{
  return usage_get (c, team)->used.cores;
}
