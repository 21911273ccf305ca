/*
 * Upper limits by escrow: each team's limit is split among the domains in one
 * table row.  The parts never add up to more than the limit, so a domain that
 * stays within its own part needs to ask nobody.
 */
#include "sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  READ_PERIOD_MS = 1000, /* while parts exceed the limit, or are short */
  GIVE_PERIOD_MS = 500,  /* between looks at what others want */
  IDLE_MS = 3000,        /* unused part kept this long */
  WANT_PERIOD_MS = 1000, /* between looks at what other domains want */
  WANT_TIMEOUT_MS = 3000,
  WAITING_COUNTED = 256, /* waiting tasks that a look goes through */
};

static void
grant_key (const struct team *team, char out[ROW_KEY_SIZE])
{
  snprintf (out, ROW_KEY_SIZE, "grant/%s", team->name);
}

static struct grant *
row_part (struct grant_row *row, const char *domain)
{
  for (size_t i = 0; i < row->n_grants; i++)
    if (strcmp (row->grants[i].domain, domain) == 0)
      return &row->grants[i];
  row->grants
      = realloc (row->grants, (row->n_grants + 1) * sizeof *row->grants);
  if (!row->grants)
    abort ();
  struct grant *g = &row->grants[row->n_grants++];
  memset (g, 0, sizeof *g);
  clb_copy (g->domain, domain, sizeof g->domain);
  return g;
}

static struct clb_res
others_sum (const struct sched *s, const struct team *team, bool *want)
{
  struct clb_res sum = { 0 };

  *want = false;
  for (size_t i = 0; i < team->row.n_grants; i++)
    {
      const struct grant *g = &team->row.grants[i];
      if (strcmp (g->domain, s->domain) == 0)
        continue;
      clb_res_add (&sum, &g->amount, 1);
      *want |= g->wants_more;
    }
  return sum;
}

static bool
over_limit (const struct sched *s, const struct team *team)
{
  bool want;
  struct clb_res sum = others_sum (s, team, &want);

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
  team->wants_more = true;
  team->idle_since_ms = s->now_ms;
  return false;
}

/* What the team would use if all its waiting work started. */
static struct clb_res
wanted_part (const struct team *team)
{
  struct clb_res sum = team->used;
  struct task *t;
  int counted = 0;

  for (int class = 0; class < CLASS_N; class ++)
    TAILQ_FOREACH (t, &team->queue[class], queued)
      {
        if (counted++ >= WAITING_COUNTED)
          return sum;
        clb_res_add (&sum, &t->spec.need, t->spec.members);
      }
  return sum;
}

static struct clb_res
base_part (const struct sched *s, const struct team *team)
{
  struct clb_res part;

  for (int k = 0; k < RES_N; k++)
    clb_res_set (&part, k, clb_res_get (&team->limit, k) / s->n_domains);
  return part;
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

/* As much of what is wanted as the limit and the others' parts allow. */
static struct clb_res
raised_part (const struct sched *s, const struct team *team)
{
  bool want;
  struct clb_res others = others_sum (s, team, &want);
  struct clb_res base = base_part (s, team);
  struct clb_res part;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t have = clb_res_get (&team->granted, k);
      int64_t aim = clb_res_get (&team->demand, k);
      /* Beyond its even part a domain goes only while nobody else waits. */
      if (want)
        aim = min64 (aim, clb_res_get (&base, k));
      else
        aim = max64 (aim, clb_res_get (&base, k));
      int64_t left = clb_res_get (&team->limit, k) - clb_res_get (&others, k);
      clb_res_set (&part, k, max64 (have, min64 (aim, left)));
    }
  return part;
}

/* What stays when unused parts go: never below what runs. */
static struct clb_res
lowered_part (const struct sched *s, const struct team *team, bool to_used)
{
  struct clb_res base = base_part (s, team);
  struct clb_res part;

  for (int k = 0; k < RES_N; k++)
    {
      int64_t keep = to_used ? 0 : clb_res_get (&base, k);
      keep = max64 (keep, clb_res_get (&team->used, k));
      clb_res_set (&part, k, min64 (keep, clb_res_get (&team->granted, k)));
    }
  return part;
}

/* The team is acted on again @wait_ms after now, and not before the
 * answer. */
static void
read_row (struct sched *s, struct team *team, int64_t wait_ms)
{
  struct out *o = out_new (s->out, OUT_STORE);
  char key[ROW_KEY_SIZE];

  grant_key (team, key);
  o->u.store.token = team->op_token = ++*s->tokens;
  o->u.store.op.kind = team->op_kind = STORE_GET;
  o->u.store.op.key = strdup (key);
  team->next_op_ms = s->now_ms + wait_ms;
}

static void
write_part (struct sched *s, struct team *team, const struct clb_res *part,
            bool want)
{
  struct out *o = out_new (s->out, OUT_STORE);
  struct store_op *op = &o->u.store.op;
  struct grant *g = row_part (&team->row, s->domain);
  char key[ROW_KEY_SIZE];

  g->amount = *part;
  g->wants_more = want;
  team->want_written = want;
  team->row.conf_version = s->conf->version;
  grant_key (team, key);
  clb_auto char *text = codec_text (&grant_row_desc, &team->row);
  o->u.store.token = team->op_token = ++*s->tokens;
  op->kind = team->op_kind = STORE_TXN;
  store_cond (op, s->journal.epoch_key, s->journal.epoch_ver);
  store_cond (op, key, team->row_ver);
  store_put (op, key, text);
  team->op_granted = *part;
  /* What is being given up may not be used any more, whatever the answer. */
  for (int k = 0; k < RES_N; k++)
    clb_res_set (
        &team->granted, k,
        min64 (clb_res_get (&team->granted, k), clb_res_get (part, k)));
  team->next_op_ms = s->now_ms + GIVE_PERIOD_MS;
}

/* Takes over a row; reading alone never raises what may be used. */
static void
take_row (struct sched *s, struct team *team, const struct row *row)
{
  struct codec_err ce;

  codec_free (&grant_row_desc, &team->row);
  team->row_ver = row ? row->ver : 0;
  team->row_known = true;
  if (row && row->value
      && codec_parse (&grant_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &team->row, &ce))
    {
      s->stats.damaged_rows++;
      team->row_known = false;
    }
}

void
escrow_row (struct sched *s, const struct row *row)
{
  const char *name = strrchr (row->key, '/');

  if (!name)
    return;
  struct team *team = sched_team (s, name + 1);
  take_row (s, team, row);
  /* The epoch is new: no earlier write of this domain is under way. */
  team->granted = row_part (&team->row, s->domain)->amount;
}

void
escrow_conf (struct sched *s)
{
  struct team *team;

  RB_FOREACH (team, team_tree, &s->teams)
    {
      bool rose = team->limit.cores >= team->last_limit.cores
                  && team->limit.mem_mb >= team->last_limit.mem_mb
                  && team->limit.accels >= team->last_limit.accels
                  && team->limit.slots >= team->last_limit.slots;
      if (!rose || over_limit (s, team))
        {
          team->frozen = true;
          team->row_known = false;
          team->rewrite_due = true;
        }
      team->last_limit = team->limit;
      team->next_op_ms = 0;
    }
}

static struct team *
team_of_op (struct sched *s, uint64_t token)
{
  struct team *team;

  RB_FOREACH (team, team_tree, &s->teams)
    if (team->op_token == token)
      return team;
  return NULL;
}

static void
wrote (struct sched *s, struct team *team, const struct store_rep *rep)
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
  s->dirty = true;
}

/* One small row a domain tells the others which grant rows to look at. */

static char *
want_text (struct sched *s)
{
  struct want_row row = { .n_teams = 0 };
  struct team *team;
  char *text;

  row.teams = calloc (CONF_TEAMS_MAX, sizeof *row.teams);
  if (!row.teams)
    abort ();
  RB_FOREACH (team, team_tree, &s->teams)
    if (team->want_written && row.n_teams < CONF_TEAMS_MAX)
      clb_copy (row.teams[row.n_teams++].team, team->name, CLB_NAME_MAX);
  text = codec_text (&want_row_desc, &row);
  free (row.teams);
  return text;
}

static void
want_write (struct sched *s)
{
  char *text = want_text (s);
  char key[ROW_KEY_SIZE];
  struct out *o;

  if (s->want_written && strcmp (s->want_written, text) == 0)
    {
      free (text);
      return;
    }
  o = out_new (s->out, OUT_STORE);
  snprintf (key, sizeof key, "want/%s", s->domain);
  o->u.store.token = s->want_write_token = ++*s->tokens;
  o->u.store.op.kind = STORE_TXN;
  store_cond (&o->u.store.op, s->journal.epoch_key, s->journal.epoch_ver);
  store_put (&o->u.store.op, key, text);
  free (s->want_written);
  s->want_written = text;
}

static void
want_read (struct sched *s)
{
  struct out *o = out_new (s->out, OUT_STORE);

  o->u.store.token = s->want_read_token = ++*s->tokens;
  o->u.store.op.kind = STORE_LIST;
  o->u.store.op.key = strdup ("want/");
  s->want_read_ms = s->now_ms;
}

static void
want_row (struct sched *s, const struct row *row)
{
  const char *domain = strrchr (row->key, '/');
  struct want_row wr;
  struct codec_err ce;

  if (!domain || strcmp (domain + 1, s->domain) == 0 || !row->value
      || codec_parse (&want_row_desc, row->value, strlen (row->value),
                      CODEC_LENIENT, &wr, &ce))
    return;
  for (size_t i = 0; i < wr.n_teams; i++)
    sched_team (s, wr.teams[i].team)->row_known = false;
  codec_free (&want_row_desc, &wr);
}

static bool
want_store (struct sched *s, uint64_t token, const struct store_rep *rep)
{
  if (token == s->want_write_token)
    {
      s->want_write_token = 0;
      if (rep->err)
        {
          free (s->want_written);
          s->want_written = NULL;
        }
      return true;
    }
  if (token != s->want_read_token)
    return false;
  s->want_read_token = 0;
  for (size_t i = 0; rep->err == 0 && i < rep->n_rows; i++)
    want_row (s, &rep->rows[i]);
  return true;
}

static void
want_tick (struct sched *s)
{
  if (s->now_ms - s->want_read_ms > WANT_TIMEOUT_MS)
    s->want_read_token = 0;
  if (s->now_ms < s->next_want_ms || s->want_read_token)
    return;
  s->next_want_ms = s->now_ms + WANT_PERIOD_MS;
  want_read (s);
  if (!s->want_write_token)
    want_write (s);
}

bool
escrow_store (struct sched *s, uint64_t token, const struct store_rep *rep)
{
  struct team *team = token ? team_of_op (s, token) : NULL;
  bool write;
  char key[ROW_KEY_SIZE];

  if (!team)
    return token && want_store (s, token, rep);
  write = team->op_kind == STORE_TXN;
  team->op_token = 0;
  grant_key (team, key);
  if (rep->err == 0 && write)
    wrote (s, team, rep);
  else if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
    take_row (s, team, rep->n_rows ? &rep->rows[0] : NULL);
  else
    {
      team->row_known = false;
      team->next_op_ms = s->now_ms + READ_PERIOD_MS;
    }
  for (size_t i = 0; rep->err == CLB_ECONFLICT && i < rep->n_rows; i++)
    {
      if (strcmp (rep->rows[i].key, s->journal.epoch_key) == 0)
        s->phase = SCHED_SUPERSEDED;
      if (strcmp (rep->rows[i].key, key) != 0)
        continue;
      take_row (s, team, &rep->rows[i]);
      team->next_op_ms = s->now_ms;
    }
  return true;
}

static bool
same_res (const struct clb_res *a, const struct clb_res *b)
{
  return clb_res_fits (a, b) && clb_res_fits (b, a);
}

static void
shrink (struct sched *s, struct team *team)
{
  struct clb_res part;

  team->frozen = true;
  sched_withdraw (s, team);
  part = lowered_part (s, team, false);
  if (same_res (&part, &team->granted))
    part = lowered_part (s, team, true);
  if (same_res (&part, &team->granted))
    {
      read_row (s, team, READ_PERIOD_MS);
      return;
    }
  write_part (s, team, &part, false);
  sched_event (s, WHY_GRANT_LOWERED, "", team->name, "", 0);
}

static void
raise_part (struct sched *s, struct team *team)
{
  struct clb_res part = raised_part (s, team);
  struct grant *mine = row_part (&team->row, s->domain);
  bool short_of = team->wants_more && !clb_res_fits (&team->demand, &part);

  if (!same_res (&part, &team->granted) || mine->wants_more != short_of)
    write_part (s, team, &part, short_of);
  else if (team->wants_more)
    read_row (s, team, READ_PERIOD_MS);
}

/* Gives up what is unused, or what is above the even part while others wait.
   False when there is nothing to give. */
static bool
give_back (struct sched *s, struct team *team, bool idle)
{
  bool want;
  struct clb_res part;

  others_sum (s, team, &want);
  if (!idle && !want)
    return false;
  part = lowered_part (s, team, want && idle);
  if (same_res (&part, &team->granted))
    return false;
  write_part (s, team, &part, team->wants_more);
  sched_event (s, WHY_GRANT_LOWERED, "", team->name, "", 0);
  return true;
}

static void
team_act (struct sched *s, struct team *team)
{
  bool idle = s->now_ms - team->idle_since_ms >= IDLE_MS && !team->wants_more;
  bool want;

  others_sum (s, team, &want);
  team->demand = wanted_part (team);
  team->frozen = over_limit (s, team);
  if (team->frozen)
    shrink (s, team);
  else if (team->rewrite_due)
    {
      /* Domains that go by an older limit may not raise past this row. */
      write_part (s, team, &team->granted, team->wants_more);
      team->rewrite_due = false;
    }
  else if (!give_back (s, team, idle) && (team->wants_more || !want))
    raise_part (s, team);
}

static void
team_tick (struct sched *s, struct team *team)
{
  if (team->op_token || s->now_ms < team->next_op_ms)
    return;
  if (team->row_known && team->row.conf_version > s->conf->version)
    {
      read_row (s, team, READ_PERIOD_MS);
      return;
    }
  if (!team->row_known)
    {
      read_row (s, team, 0);
      return;
    }
  team_act (s, team);
  if (!team->op_token)
    team->next_op_ms = s->now_ms + GIVE_PERIOD_MS;
  team->wants_more = false;
  s->dirty |= team->waiting > 0;
}

void
escrow_tick (struct sched *s)
{
  struct team *team;

  want_tick (s);
  RB_FOREACH (team, team_tree, &s->teams)
    team_tick (s, team);
}
