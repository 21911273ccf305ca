/*
 * Checker: compares what workers, executors and callers observed with the
 * guarantees.  The checker never reads the scheduler's own state.
 */
#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <bsd/sys/tree.h>

enum
{
  /* An accepted configuration change is in force at every instance within
     this time. */
  CONF_APPLY_MAX_MS = 3500,
  /* A worker or executor gets no new work later than this after the platform's
     list shows the server as leaving. */
  LEAVING_GRACE_MS = 4000,
  MEMBERS_MAX = 32,        /* members of a gang */
  LIMITS_MAX = 1024,       /* changes of team limits in one scenario */
  WITHDRAWN_KEYS_MAX = 64, /* withdrawn keys in one scenario */
  TEAMS_MAX = 16,          /* teams in one scenario */
};

/* struct request_log - what callers, workers and executors observed of one
   request id */
struct request_log
{
  RB_ENTRY (request_log) by_name;
  char name[CLB_ID_MAX]; /* "team:request id" */
  bool idempotent;       /* the request may run more than once */
  int n_calls;           /* times that callers sent the request id */
  /* The request was sent once, and its answer said that it was not run. */
  bool reported_not_run;
  char task_id[CLB_ID_MAX]; /* id of the accepted task; empty: not accepted */
  /* Last state that an entry instance reported for the accepted task; empty:
     none was reported. */
  char state[CLB_NAME_MAX];
  /* Numbers of the task's runs, indexed by gang member.  A task that is no
     gang uses only index 0. */
  int n_starts[MEMBERS_MAX];    /* runs that have started */
  int n_running[MEMBERS_MAX];   /* runs that have started and have not ended */
  int n_succeeded[MEMBERS_MAX]; /* runs that ended in success */
  /* Number of times that the service request was started at an executor. */
  int n_service_starts;
};
RB_HEAD (request_log_tree, request_log);

/* struct team_usage - resources that a team's tasks and service requests use
   in all domains */
struct team_usage
{
  char team[CLB_NAME_MAX];
  struct clb_res used;
};

/* struct check - observations of one scenario, and the first violation */
struct check
{
  struct world *w;
  struct request_log_tree requests;
  /* Changes of all teams' limits, oldest first. */
  struct team_limit limits[LIMITS_MAX];
  int n_limits;
  struct team_usage usage[TEAMS_MAX];
  int n_usage;
  struct
  {
    char key_id[CLB_NAME_MAX];
    int64_t withdrawn_ms;
  } withdrawn_keys[WITHDRAWN_KEYS_MAX];
  int n_withdrawn_keys;
  bool violated;            /* a guarantee was violated */
  char violation_text[256]; /* text of the first violation */
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
  struct request_log *log;

  while ((log = RB_MIN (request_log_tree, &c->requests)))
    {
      RB_REMOVE (request_log_tree, &c->requests, log);
      free (log);
    }
  free (c);
}

/* Records a violation, unless an earlier one is recorded already. */
static void __attribute__ ((format (printf, 2, 3)))
report_violation (struct check *c, const char *fmt, ...)
{
  va_list ap;
  int n;

  if (c->violated)
    return;
  c->violated = true;
  n = snprintf (c->violation_text, sizeof c->violation_text,
                "at %lld ms: ", (long long)c->w->now_ms);
  va_start (ap, fmt);
  vsnprintf (c->violation_text + n, sizeof c->violation_text - (size_t)n, fmt,
             ap);
  va_end (ap);
}

const char *
check_violation (const struct check *c)
{
  return c->violated ? c->violation_text : NULL;
}

/* Returns the log of the request @name "team:request id"; adds an empty one if
   there is none. */
static struct request_log *
request_log_find_or_add (struct check *c, const char *name)
{
  struct request_log lookup;
  struct request_log *log;

  clb_copy (lookup.name, name, sizeof lookup.name);
  log = RB_FIND (request_log_tree, &c->requests, &lookup);
  if (log)
    return log;
  log = calloc (1, sizeof *log);
  if (!log)
    abort ();
  clb_copy (log->name, name, sizeof log->name);
  log->idempotent = true;
  RB_INSERT (request_log_tree, &c->requests, log);
  return log;
}

/* Copies the team, the part before the colon, of the request name
   "team:request id" to @out. */
static void
team_of_name (const char *name, char out[CLB_NAME_MAX])
{
  size_t len = strcspn (name, ":");

  clb_copy (out, name, CLB_NAME_MAX);
  if (len < CLB_NAME_MAX)
    out[len] = '\0';
}

/* Returns the usage of @team; adds a usage of zero if there is none. */
static struct team_usage *
usage_find_or_add (struct check *c, const char *team)
{
  for (int i = 0; i < c->n_usage; i++)
    if (strcmp (c->usage[i].team, team) == 0)
      return &c->usage[i];
  if (c->n_usage == TEAMS_MAX)
    abort ();
  struct team_usage *u = &c->usage[c->n_usage++];
  clb_copy (u->team, team, sizeof u->team);
  return u;
}

/* Whether @used is within any limit of @team that may be in force now.  An
   earlier limit may be in force until CONF_APPLY_MAX_MS after the acceptance
   of a later one. */
static bool
within_limit (const struct check *c, const char *team,
              const struct clb_res *used)
{
  int64_t now = c->w->now_ms;
  int64_t until = INT64_MAX;

  for (int i = c->n_limits - 1; i >= 0; i--)
    {
      const struct team_limit *l = &c->limits[i];
      if (strcmp (l->team, team) != 0)
        continue;
      if (now <= until && clb_res_fits (used, &l->amount))
        return true;
      if (l->outcome_unknown)
        continue;
      until = l->since_ms + CONF_APPLY_MAX_MS;
      if (now > until)
        return false;
    }
  return false;
}

/* Adds @factor times @need to the usage of the team of the request @name.  An
   increase above the team's limit is a violation. */
static void
usage_add (struct check *c, const char *name, const struct clb_res *need,
           int64_t factor)
{
  char team[CLB_NAME_MAX];

  team_of_name (name, team);
  struct team_usage *u = usage_find_or_add (c, team);
  clb_res_add (&u->used, need, factor);
  if (factor > 0 && !within_limit (c, team, &u->used))
    report_violation (c, "team %s exceeds its upper limit by the start of %s",
                      team, name);
}

/* Reports work that starts on a worker or executor too long after the server
   began to leave.  Service requests need no record in the table, so a domain
   serves them also while the platform and its list of instances are
   unreachable: the bound for service requests counts from the end of the
   platform's last fault. */
static void
check_leaving (struct check *c, const struct sim_server *s, const char *name,
               bool service)
{
  int64_t since = s->leaving_since_ms;

  if (service && c->w->platform_fault_ms > since)
    since = c->w->platform_fault_ms;
  if (s->leaving_since_ms
      && c->w->now_ms - since > c->w->list_lag_ms + LEAVING_GRACE_MS)
    report_violation (
        c, "%s started on %s, which has been leaving for %lld ms", name,
        s->inst.id, (long long)(c->w->now_ms - s->leaving_since_ms));
}

/* Records and checks the start of a run of gang member @member. */
static void
run_started (struct check *c, struct sim_server *s, struct request_log *log,
             int member, const struct frun *run)
{
  clb_res_add (&s->used, &run->need, 1);
  if (!clb_res_fits (&s->used, &s->inst.capacity))
    report_violation (c, "capacity of worker %s exceeded by run %s",
                      s->inst.id, run->id);
  if (++log->n_running[member] > 1)
    report_violation (c, "%s member %d runs in two places at once", log->name,
                      member);
  if (++log->n_starts[member] > 1 && !log->idempotent)
    report_violation (c, "%s is not idempotent and was started twice",
                      log->name);
  if (log->reported_not_run)
    report_violation (
        c, "%s started after its caller received the outcome not-run",
        log->name);
  check_leaving (c, s, log->name, false);
  usage_add (c, log->name, &run->need, 1);
}

void
check_run (struct check *c, struct sim_server *s, const struct frun *run,
           bool started)
{
  struct request_log *log = request_log_find_or_add (c, run->name);
  const char *slash = strrchr (run->id, '/');
  int member = slash ? atoi (slash + 1) : 0;

  if (member < 0 || member >= MEMBERS_MAX)
    return;
  if (started)
    {
      run_started (c, s, log, member, run);
      return;
    }
  clb_res_add (&s->used, &run->need, -1);
  log->n_running[member]--;
  log->n_succeeded[member] += run->state == RUN_OK;
  usage_add (c, log->name, &run->need, -1);
}

void
check_service_run (struct check *c, struct sim_server *s, int call,
                   bool started)
{
  const struct caller_request *request = &c->w->calls[call];
  struct request_log *log = request_log_find_or_add (c, request->name);
  struct clb_res one_slot = { .slots = 1 };

  clb_res_add (&s->used, &one_slot, started ? 1 : -1);
  if (started)
    {
      if (!clb_res_fits (&s->used, &s->inst.capacity))
        report_violation (c,
                          "executor %s serves more requests than it has slots",
                          s->inst.id);
      if (++log->n_service_starts > 1 && !request->idempotent)
        report_violation (
            c, "%s is not idempotent and was sent to an executor twice",
            log->name);
      if (log->reported_not_run)
        report_violation (c,
                          "%s sent to an executor after its caller received "
                          "the outcome not-run",
                          log->name);
      check_leaving (c, s, log->name, true);
    }
  usage_add (c, request->name, &one_slot, started ? 1 : -1);
}

void
check_note_request (struct check *c, const struct caller_request *call)
{
  struct request_log *log;

  if (!*call->name)
    return;
  log = request_log_find_or_add (c, call->name);
  log->idempotent = call->idempotent;
  /* An answer "not-run" is about one sending only: the request may run when
     its id is sent again. */
  log->reported_not_run = false;
  log->n_calls++;
}

/* Whether a worker or executor has started to run the request. */
static bool
has_started (const struct request_log *log)
{
  int n = log->n_service_starts;

  for (int i = 0; i < MEMBERS_MAX; i++)
    n += log->n_starts[i];
  return n > 0;
}

/* Reports the acceptance of a request that was sent too long after its key was
   withdrawn. */
static void
check_key (struct check *c, const struct caller_request *call)
{
  for (int i = 0; i < c->n_withdrawn_keys; i++)
    if (strcmp (c->withdrawn_keys[i].key_id, call->key_id) == 0
        && call->sent_ms
               > c->withdrawn_keys[i].withdrawn_ms + CONF_APPLY_MAX_MS)
      report_violation (
          c, "%s accepted with key %s, which was withdrawn %lld ms before",
          call->name, call->key_id,
          (long long)(call->sent_ms - c->withdrawn_keys[i].withdrawn_ms));
}

/* Checks that an accepted task has an id, and the same id as in any earlier
   answer to its request id. */
static void
check_accepted (struct check *c, struct request_log *log,
                const struct caller_request *call)
{
  json_t *json = json_loads (call->body, 0, NULL);
  const char *id = json_string_value (json_object_get (json, "id"));

  if (!id)
    report_violation (c, "%s accepted without a task id", call->name);
  else if (*log->task_id && strcmp (log->task_id, id) != 0)
    report_violation (c, "%s accepted twice, as tasks %s and %s", log->name,
                      log->task_id, id);
  else
    clb_copy (log->task_id, id, sizeof log->task_id);
  json_decref (json);
}

void
check_answer (struct check *c, struct caller_request *call)
{
  struct request_log *log;
  bool not_run;

  if (!*call->name)
    return;
  log = request_log_find_or_add (c, call->name);
  if (call->n_answers > 1)
    report_violation (c, "%s answered twice", call->name);
  if (call->status < 0)
    {
      report_violation (c, "connection of %s broken by a planned stop",
                        call->name);
      return;
    }
  not_run = strstr (call->body, "\"outcome\":\"not-run\"") != NULL;
  if (not_run && log->n_calls == 1)
    {
      log->reported_not_run = true;
      if (has_started (log))
        report_violation (c, "%s has run, but its caller received: %s",
                          log->name, call->body);
    }
  if (call->status >= 300)
    return;
  check_key (c, call);
  if (call->service && strcmp (call->body, call->name) != 0)
    report_violation (c, "%s received the answer to %s", call->name,
                      call->body);
  if (!call->service)
    check_accepted (c, log, call);
}

void
check_note_limit (struct check *c, const char *team,
                  const struct clb_res *amount, bool outcome_unknown)
{
  struct team_limit *l = &c->limits[c->n_limits++];

  if (c->n_limits >= LIMITS_MAX)
    abort ();
  clb_copy (l->team, team, sizeof l->team);
  l->amount = *amount;
  l->outcome_unknown = outcome_unknown;
  l->since_ms = c->w->now_ms;
}

void
check_note_key_withdrawn (struct check *c, const char *key_id)
{
  if (c->n_withdrawn_keys == WITHDRAWN_KEYS_MAX)
    abort ();
  clb_copy (c->withdrawn_keys[c->n_withdrawn_keys].key_id, key_id,
            CLB_NAME_MAX);
  c->withdrawn_keys[c->n_withdrawn_keys++].withdrawn_ms = c->w->now_ms;
}

const char *
check_next_accepted (struct check *c, int *at)
{
  struct request_log *log;
  int i = 0;

  RB_FOREACH (log, request_log_tree, &c->requests)
    if (*log->task_id && i++ == *at)
      {
        (*at)++;
        return log->task_id;
      }
  return NULL;
}

void
check_final_state (struct check *c, const char *id, const char *state)
{
  struct request_log *log;
  bool final = strcmp (state, "done") == 0 || strcmp (state, "failed") == 0
               || strcmp (state, "cancelled") == 0
               || strcmp (state, "unknown") == 0;

  RB_FOREACH (log, request_log_tree, &c->requests)
    if (strcmp (log->task_id, id) == 0)
      break;
  if (!log)
    return;
  clb_copy (log->state, state, sizeof log->state);
  if (!final)
    report_violation (c,
                      "%s (%s) was accepted and did not end: its state is %s",
                      log->name, id, state);
  else if (strcmp (state, "done") == 0 && !log->n_succeeded[0])
    report_violation (c, "%s is reported done, but no worker has completed it",
                      log->name);
  else if (strcmp (state, "cancelled") == 0 && log->n_running[0])
    report_violation (c, "%s is reported cancelled and still runs", log->name);
}

int
check_count_starts (const struct check *c, const char *name)
{
  struct request_log lookup;
  const struct request_log *log;
  int n;

  clb_copy (lookup.name, name, sizeof lookup.name);
  log = RB_FIND (request_log_tree, (struct request_log_tree *)&c->requests,
                 &lookup);
  if (!log)
    return 0;
  n = log->n_service_starts;
  for (int i = 0; i < MEMBERS_MAX; i++)
    n += log->n_starts[i];
  return n;
}

int64_t
check_used_cores (struct check *c, const char *team)
{
  return usage_find_or_add (c, team)->used.cores;
}
