/*
 * Division of the teams' limits among the failure domains (escrow).  Each team
 * has a limit for the whole fleet.  A domain's grant is the part of this limit
 * that the team may use in the domain.  One table row for each team, its grant
 * row, holds the grants of all domains.  The grants do not add up to more than
 * the limit, so a domain that keeps the team's use within its own grant need
 * not coordinate with the other domains.  If the grants exceed the limit
 * because it was lowered, no task of the team is started until they fit into
 * it again.
 *
 * A domain raises its grant while the team's tasks wait for it and the limit
 * and the other domains' grants allow it, and gives up what the team does not
 * use.  The domain's want row names the teams for which its grant is too
 * small; the other domains read it.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time between two reads of a team's grant row while the domains' grants add
     up to more than the team's limit, this domain's grant is too small or the
     row was written under a newer configuration; also the delay after a failed
     operation on the row. */
  GRANT_READ_PERIOD_MS = 1000,
  /* Time between two decisions about one team's grant in this domain. */
  GRANT_ADJUST_PERIOD_MS = 500,
  /* Unused capacity of a grant is kept for this long. */
  UNUSED_GRANT_KEEP_MS = 3000,
  /* Time between two reads of all domains' want rows. */
  WANT_ROWS_READ_PERIOD_MS = 1000,
  /* If a read of the want rows is not answered within this time, the next one
     may be sent. */
  WANT_ROWS_READ_TIMEOUT_MS = 3000,
  /* Maximum number of a team's waiting tasks that are counted as its
     demand. */
  DEMAND_TASKS_MAX = 256,
};

/* Writes the key of the team's grant row to @out. */
static void
grant_key (const struct team *team, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "grant/%s", team->name);
}

/* Finds a domain's grant in a grant row.  If the row has none, a grant of zero
   is added.  The grant is owned by the row. */
static struct grant *
find_or_add_grant (struct grant_row *row, const char *domain)
{
  for (size_t i = 0; i < row->n_grants; i++)
    if (strcmp (row->grants[i].domain, domain) == 0)
      return &row->grants[i];
  row->grants
      = realloc (row->grants, (row->n_grants + 1) * sizeof *row->grants);
  if (!row->grants)
    abort ();
  struct grant *grant = &row->grants[row->n_grants++];
  memset (grant, 0, sizeof *grant);
  clb_copy (grant->domain, domain, sizeof grant->domain);
  return grant;
}

/* Returns the sum of the other domains' grants.  *@others_want_larger_grant is
   set to whether any of these domains wants a larger grant. */
static struct clb_res
sum_other_grants (const struct sched *s, const struct team *team,
                  bool *others_want_larger_grant)
{
  struct clb_res sum = { 0 };

  *others_want_larger_grant = false;
  for (size_t i = 0; i < team->row.n_grants; i++)
    {
      const struct grant *grant = &team->row.grants[i];
      if (strcmp (grant->domain, s->domain) == 0)
        continue;
      clb_res_add (&sum, &grant->amount, 1);
      *others_want_larger_grant |= grant->wants_more;
    }
  return sum;
}

/* Returns whether the sum of all domains' grants exceeds the team's limit. */
static bool
over_limit (const struct sched *s, const struct team *team)
{
  bool others_want_larger_grant;
  struct clb_res sum = sum_other_grants (s, team, &others_want_larger_grant);

  clb_res_add (&sum, &team->granted, 1);
  return !clb_res_fits (&sum, &team->limit);
}

bool
escrow_allows (struct sched *s, struct team *team, const struct clb_res *need,
               int64_t n)
{
  struct clb_res total = team->used;

  clb_res_add (&total, need, n);
  if (!team->frozen && clb_res_fits (&total, &team->granted))
    return true;
  team->wants_larger_grant = true;
  team->idle_since_ms = s->now_ms;
  return false;
}

/* Returns the capacity that the team would use in this domain if its waiting
   tasks started.  At most DEMAND_TASKS_MAX waiting tasks are counted. */
static struct clb_res
team_demand (const struct team *team)
{
  struct clb_res sum = team->used;
  struct task *t;
  int n_counted = 0;

  for (int class = 0; class < CLASS_N; class ++)
    TAILQ_FOREACH (t, &team->queue[class], queued)
      {
        if (n_counted++ >= DEMAND_TASKS_MAX)
          return sum;
        clb_res_add (&sum, &t->spec.need, t->spec.members);
      }
  return sum;
}

/* Returns the grant that each domain has if the team's limit is split
   evenly. */
static struct clb_res
even_grant (const struct sched *s, const struct team *team)
{
  struct clb_res even;

  for (int k = 0; k < RES_N; k++)
    clb_res_set (&even, k, clb_res_get (&team->limit, k) / s->n_domains);
  return even;
}

static int64_t
max64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
min64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Returns the amount to which this domain's grant can be raised.  The target
   is the smaller of the team's demand and an even split of the limit if
   another domain wants a larger grant; otherwise it is the larger of the two.
   The returned amount is the target or what the other domains' grants leave of
   the limit, whichever is smaller, but at least the present grant. */
static struct clb_res
raised_grant (const struct sched *s, const struct team *team)
{
  bool others_want_larger_grant;
  struct clb_res others
      = sum_other_grants (s, team, &others_want_larger_grant);
  struct clb_res even = even_grant (s, team);
  struct clb_res new_grant;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t granted = clb_res_get (&team->granted, k);
      int64_t target = clb_res_get (&team->demand, k);
      /* A domain's grant may exceed an even split of the limit only while no
         other domain wants a larger grant. */
      if (others_want_larger_grant)
        target = min64 (target, clb_res_get (&even, k));
      else
        target = max64 (target, clb_res_get (&even, k));
      int64_t left = clb_res_get (&team->limit, k) - clb_res_get (&others, k);
      clb_res_set (&new_grant, k, max64 (granted, min64 (target, left)));
    }
  return new_grant;
}

/* Returns what is left of this domain's grant after unused capacity is given
   up.  If @down_to_used is true, all unused capacity is given up, else only
   what exceeds an even split of the limit. */
static struct clb_res
lowered_grant (const struct sched *s, const struct team *team,
               bool down_to_used)
{
  struct clb_res even = even_grant (s, team);
  struct clb_res new_grant;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t keep = down_to_used ? 0 : clb_res_get (&even, k);
      keep = max64 (keep, clb_res_get (&team->used, k));
      clb_res_set (&new_grant, k,
                   min64 (keep, clb_res_get (&team->granted, k)));
    }
  return new_grant;
}

/* Sends a read of the team's grant row.  The next decision about the team is
   made once the answer has arrived and @wait_ms have passed. */
static void
read_grant_row (struct sched *s, struct team *team, int64_t wait_ms)
{
  struct out *o = out_new (s->out, OUT_STORE);
  char key[ROW_KEY_SIZE];

  grant_key (team, key);
  o->u.store.token = team->op_token = ++*s->last_token;
  o->u.store.op.kind = team->op_kind = STORE_GET;
  o->u.store.op.key = strdup (key);
  team->next_op_ms = s->now_ms + wait_ms;
}

/* Sends a write of the team's grant row in which this domain's grant is
   @new_grant.  @wants_larger_grant is true if the domain wants a larger
   grant. */
static void
write_grant_row (struct sched *s, struct team *team,
                 const struct clb_res *new_grant, bool wants_larger_grant)
{
  struct out *o = out_new (s->out, OUT_STORE);
  struct store_op *op = &o->u.store.op;
  struct grant *own_grant = find_or_add_grant (&team->row, s->domain);
  char key[ROW_KEY_SIZE];

  own_grant->amount = *new_grant;
  own_grant->wants_more = wants_larger_grant;
  team->row_wants_larger_grant = wants_larger_grant;
  team->row.conf_version = s->conf->version;
  grant_key (team, key);
  clb_auto char *text = codec_text (&grant_row_desc, &team->row);
  o->u.store.token = team->op_token = ++*s->last_token;
  op->kind = team->op_kind = STORE_TXN;
  store_cond (op, s->journal.epoch_key, s->journal.epoch_row_ver);
  store_cond (op, key, team->row_ver);
  store_put (op, key, text);
  team->op_granted = *new_grant;
  /* The capacity that is given up must not be used from now on, since the
     write may take effect whatever its answer is. */
  for (int k = 0; k < RES_N; k++)
    clb_res_set (
        &team->granted, k,
        min64 (clb_res_get (&team->granted, k), clb_res_get (new_grant, k)));
  team->next_op_ms = s->now_ms + GRANT_ADJUST_PERIOD_MS;
}

/* Replaces the team's copy of its grant row.  @row is the row as read; NULL:
   the table has no such row.  team::granted does not change, since only a
   write by this domain can raise it. */
static void
set_grant_row (struct sched *s, struct team *team, const struct row *row)
{
  struct codec_err ce;

  codec_free (&grant_row_desc, &team->row);
  team->row_ver = row ? row->ver : 0;
  team->row_is_current = true;
  if (row && row->value
      && codec_parse (&grant_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &team->row, &ce))
    {
      s->stats.damaged_rows++;
      team->row_is_current = false;
    }
}

void
escrow_load_row (struct sched *s, const struct row *row)
{
  const char *name = strrchr (row->key, '/');

  if (!name)
    return;
  struct team *team = sched_team (s, name + 1);
  set_grant_row (s, team, row);
  /* The epoch is new, so no earlier write of this domain is in progress, and
     the domain's grant may be taken from the row. */
  team->granted = find_or_add_grant (&team->row, s->domain)->amount;
}

void
escrow_apply_limits (struct sched *s)
{
  struct team *team;

  RB_FOREACH (team, team_tree, &s->teams)
    {
      bool not_lowered = team->limit.cores >= team->last_limit.cores
                         && team->limit.mem_mb >= team->last_limit.mem_mb
                         && team->limit.accels >= team->last_limit.accels
                         && team->limit.slots >= team->last_limit.slots;
      if (!not_lowered || over_limit (s, team))
        {
          team->frozen = true;
          team->row_is_current = false;
          team->rewrite_due = true;
        }
      team->last_limit = team->limit;
      team->next_op_ms = 0;
    }
}

/* Returns the team whose outstanding store operation has the token, or NULL if
   there is none. */
static struct team *
team_by_token (struct sched *s, uint64_t token)
{
  struct team *team;

  RB_FOREACH (team, team_tree, &s->teams)
    if (team->op_token == token)
      return team;
  return NULL;
}

/* Handles the answer to a successful write of the team's grant row. */
static void
handle_grant_written (struct sched *s, struct team *team,
                      const struct store_rep *rep)
{
  bool raised = !clb_res_fits (&team->op_granted, &team->granted);
  char key[ROW_KEY_SIZE];

  grant_key (team, key);
  team->granted = team->op_granted;
  for (size_t i = 0; i < rep->n_rows; i++)
    if (strcmp (rep->rows[i].key, key) == 0)
      team->row_ver = rep->rows[i].ver;
  if (raised)
    sched_event (s, WHY_GRANT_RAISED, "", team->name, "", 0);
  s->placement_due = true;
}

/* Want rows.  Each domain has one want row, which names the teams that want a
   larger grant in that domain.  The other domains then read the grant rows of
   these teams. */

/* Returns this domain's want row as JSON text, which the caller frees. */
static char *
make_want_row_text (struct sched *s)
{
  struct want_row row = { .n_teams = 0 };
  struct team *team;
  char *text;

  row.teams = calloc (CONF_TEAMS_MAX, sizeof *row.teams);
  if (!row.teams)
    abort ();
  RB_FOREACH (team, team_tree, &s->teams)
    if (team->row_wants_larger_grant && row.n_teams < CONF_TEAMS_MAX)
      clb_copy (row.teams[row.n_teams++].team, team->name, CLB_NAME_MAX);
  text = codec_text (&want_row_desc, &row);
  free (row.teams);
  return text;
}

/* Sends a write of this domain's want row if its text has changed. */
static void
write_want_row (struct sched *s)
{
  char *text = make_want_row_text (s);
  char key[ROW_KEY_SIZE];
  struct out *o;

  if (s->want_row_text && strcmp (s->want_row_text, text) == 0)
    {
      free (text);
      return;
    }
  o = out_new (s->out, OUT_STORE);
  snprintf (key, sizeof key, "want/%s", s->domain);
  o->u.store.token = s->want_row_write_token = ++*s->last_token;
  o->u.store.op.kind = STORE_TXN;
  store_cond (&o->u.store.op, s->journal.epoch_key, s->journal.epoch_row_ver);
  store_put (&o->u.store.op, key, text);
  free (s->want_row_text);
  s->want_row_text = text;
}

/* Sends a read of the want rows of all domains. */
static void
read_want_rows (struct sched *s)
{
  struct out *o = out_new (s->out, OUT_STORE);

  o->u.store.token = s->want_rows_read_token = ++*s->last_token;
  o->u.store.op.kind = STORE_LIST;
  o->u.store.op.key = strdup ("want/");
  s->want_read_sent_ms = s->now_ms;
}

/* Handles a want row: marks the grant rows of the teams that it names to be
   read again.  This domain's own want row is ignored. */
static void
apply_want_row (struct sched *s, const struct row *row)
{
  const char *domain = strrchr (row->key, '/');
  struct want_row wants;
  struct codec_err ce;

  if (!domain || strcmp (domain + 1, s->domain) == 0 || !row->value
      || codec_parse (&want_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &wants, &ce))
    return;
  for (size_t i = 0; i < wants.n_teams; i++)
    sched_team (s, wants.teams[i].team)->row_is_current = false;
  codec_free (&want_row_desc, &wants);
}

/* Handles the answer to an operation on want rows.  Returns false if @token
   belongs to no such operation. */
static bool
handle_want_reply (struct sched *s, uint64_t token,
                   const struct store_rep *rep)
{
  if (token == s->want_row_write_token)
    {
      s->want_row_write_token = 0;
      if (rep->err)
        {
          free (s->want_row_text);
          s->want_row_text = NULL;
        }
      return true;
    }
  if (token != s->want_rows_read_token)
    return false;
  s->want_rows_read_token = 0;
  for (size_t i = 0; rep->err == 0 && i < rep->n_rows; i++)
    apply_want_row (s, &rep->rows[i]);
  return true;
}

/* Sends a read of all want rows every WANT_ROWS_READ_PERIOD_MS, and with it a
   write of this domain's want row if the row has changed. */
static void
want_rows_tick (struct sched *s)
{
  if (s->now_ms - s->want_read_sent_ms > WANT_ROWS_READ_TIMEOUT_MS)
    s->want_rows_read_token = 0;
  if (s->now_ms < s->next_want_read_ms || s->want_rows_read_token)
    return;
  s->next_want_read_ms = s->now_ms + WANT_ROWS_READ_PERIOD_MS;
  read_want_rows (s);
  if (!s->want_row_write_token)
    write_want_row (s);
}

bool
escrow_handle_store_reply (struct sched *s, uint64_t token,
                           const struct store_rep *rep)
{
  struct team *team = token ? team_by_token (s, token) : NULL;
  bool is_write;
  char key[ROW_KEY_SIZE];

  if (!team)
    return token && handle_want_reply (s, token, rep);
  is_write = team->op_kind == STORE_TXN;
  team->op_token = 0;
  grant_key (team, key);
  if (rep->err == 0 && is_write)
    handle_grant_written (s, team, rep);
  else if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
    set_grant_row (s, team, rep->n_rows ? &rep->rows[0] : NULL);
  else
    {
      team->row_is_current = false;
      team->next_op_ms = s->now_ms + GRANT_READ_PERIOD_MS;
    }
  for (size_t i = 0; rep->err == CLB_ECONFLICT && i < rep->n_rows; i++)
    {
      if (strcmp (rep->rows[i].key, s->journal.epoch_key) == 0)
        s->phase = SCHED_SUPERSEDED;
      if (strcmp (rep->rows[i].key, key) != 0)
        continue;
      set_grant_row (s, team, &rep->rows[i]);
      team->next_op_ms = s->now_ms;
    }
  return true;
}

/* Returns whether the two amounts are equal in every dimension. */
static bool
res_equal (const struct clb_res *a, const struct clb_res *b)
{
  return clb_res_fits (a, b) && clb_res_fits (b, a);
}

/* Lowers this domain's grant for a team of which all domains' grants together
   exceed the limit.  The grant is lowered to an even split of the limit or, if
   that changes nothing, to what is in use.  If nothing can be given up, the
   grant row is read again later. */
static void
lower_over_limit (struct sched *s, struct team *team)
{
  struct clb_res new_grant;

  team->frozen = true;
  sched_requeue_unsent (s, team);
  new_grant = lowered_grant (s, team, false);
  if (res_equal (&new_grant, &team->granted))
    new_grant = lowered_grant (s, team, true);
  if (res_equal (&new_grant, &team->granted))
    {
      read_grant_row (s, team, GRANT_READ_PERIOD_MS);
      return;
    }
  write_grant_row (s, team, &new_grant, false);
  sched_event (s, WHY_GRANT_LOWERED, "", team->name, "", 0);
}

/* Raises this domain's grant if the team's demand needs it.  If the grant
   cannot be raised and tasks wait for it, the grant row is read again
   later. */
static void
raise_grant (struct sched *s, struct team *team)
{
  struct clb_res new_grant = raised_grant (s, team);
  struct grant *own_grant = find_or_add_grant (&team->row, s->domain);
  bool wants_larger_grant
      = team->wants_larger_grant && !clb_res_fits (&team->demand, &new_grant);

  if (!res_equal (&new_grant, &team->granted)
      || own_grant->wants_more != wants_larger_grant)
    write_grant_row (s, team, &new_grant, wants_larger_grant);
  else if (team->wants_larger_grant)
    read_grant_row (s, team, GRANT_READ_PERIOD_MS);
}

/* Gives up capacity of this domain's grant that the team does not use.  If the
   team is idle in this domain (@idle) or another domain wants a larger grant,
   what exceeds an even split of the limit is given up.  If the team is idle
   and another domain wants a larger grant, all unused capacity is given up.
   Returns false if the grant stays as it is. */
static bool
give_up_unused (struct sched *s, struct team *team, bool idle)
{
  bool others_want_larger_grant;
  struct clb_res new_grant;

  sum_other_grants (s, team, &others_want_larger_grant);
  if (!idle && !others_want_larger_grant)
    return false;
  new_grant = lowered_grant (s, team, others_want_larger_grant && idle);
  if (res_equal (&new_grant, &team->granted))
    return false;
  write_grant_row (s, team, &new_grant, team->wants_larger_grant);
  sched_event (s, WHY_GRANT_LOWERED, "", team->name, "", 0);
  return true;
}

/* Raises or lowers this domain's grant for a team, or leaves it as it is, and
   sends the write if there is one.  The team's copy of the grant row must be
   current. */
static void
adjust_grant (struct sched *s, struct team *team)
{
  bool idle = s->now_ms - team->idle_since_ms >= UNUSED_GRANT_KEEP_MS
              && !team->wants_larger_grant;
  bool others_want_larger_grant;

  sum_other_grants (s, team, &others_want_larger_grant);
  team->demand = team_demand (team);
  team->frozen = over_limit (s, team);
  if (team->frozen)
    lower_over_limit (s, team);
  else if (team->rewrite_due)
    {
      /* The row now names the newer configuration.  Domains that still have an
         older one do not change their grants, so they cannot raise them by the
         outdated limit. */
      write_grant_row (s, team, &team->granted, team->wants_larger_grant);
      team->rewrite_due = false;
    }
  else if (!give_up_unused (s, team, idle)
           && (team->wants_larger_grant || !others_want_larger_grant))
    raise_grant (s, team);
}

/* Makes the next decision about a team's grant in this domain if it is due.
   If the copy of the team's grant row is not current or was written under a
   newer configuration, the row is read first. */
static void
decide_grant_if_due (struct sched *s, struct team *team)
{
  if (team->op_token || s->now_ms < team->next_op_ms)
    return;
  if (team->row_is_current && team->row.conf_version > s->conf->version)
    {
      read_grant_row (s, team, GRANT_READ_PERIOD_MS);
      return;
    }
  if (!team->row_is_current)
    {
      read_grant_row (s, team, 0);
      return;
    }
  adjust_grant (s, team);
  if (!team->op_token)
    team->next_op_ms = s->now_ms + GRANT_ADJUST_PERIOD_MS;
  team->wants_larger_grant = false;
  s->placement_due |= team->waiting > 0;
}

void
escrow_tick (struct sched *s)
{
  struct team *team;

  want_rows_tick (s);
  RB_FOREACH (team, team_tree, &s->teams)
    decide_grant_if_due (s, team);
}
