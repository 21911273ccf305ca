#include "follow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
follow_init (struct follow *f, const char *table, int parts, int64_t wait_ms,
             struct outq *out, uint64_t *tokens)
{
  memset (f, 0, sizeof *f);
  clb_copy (f->table, table, sizeof f->table);
  f->parts = parts;
  f->wait_ms = wait_ms;
  f->out = out;
  f->tokens = tokens;
}

static void
relist (struct follow *f)
{
  f->listed = false;
  f->part = 0;
  free (f->after);
  f->after = NULL;
  f->list_ver = 0;
}

void
follow_start (struct follow *f, int64_t now_ms)
{
  relist (f);
  f->on = true;
  f->token = 0;
  f->next_ms = now_ms;
}

void
follow_stop (struct follow *f)
{
  relist (f);
  f->on = false;
  f->token = 0;
}

static void
part_prefix (const struct follow *f, char *out, size_t size)
{
  if (f->parts)
    snprintf (out, size, "%s:%d/", f->table, f->part);
  else
    snprintf (out, size, "%s/", f->table);
}

void
follow_tick (struct follow *f, int64_t now_ms)
{
  char prefix[CLB_NAME_MAX + 16];
  struct out *o;

  if (!f->on || f->token || now_ms < f->next_ms)
    return;
  o = out_new (f->out, OUT_STORE);
  f->token = ++*f->tokens;
  f->sent_ms = now_ms;
  o->u.store.token = f->token;
  if (f->listed)
    {
      o->u.store.op.kind = STORE_FEED;
      o->u.store.op.key = strdup (f->table);
      o->u.store.op.since = f->ver;
      o->u.store.op.wait_ms = f->wait_ms;
      return;
    }
  part_prefix (f, prefix, sizeof prefix);
  o->u.store.op.kind = STORE_LIST;
  o->u.store.op.key = strdup (prefix);
  o->u.store.op.after = f->after ? strdup (f->after) : NULL;
}

/* The feed begins at the oldest version that a page was read at. */
static int
take_page (struct follow *f, const struct store_rep *rep)
{
  if (!f->list_ver || rep->ver < f->list_ver)
    f->list_ver = rep->ver;
  free (f->after);
  f->after = NULL;
  if (rep->more && rep->n_rows)
    {
      f->after = strdup (rep->rows[rep->n_rows - 1].key);
      return FOLLOW_PAGE;
    }
  if (++f->part < f->parts)
    return FOLLOW_PAGE;
  f->listed = true;
  f->ver = f->list_ver;
  return FOLLOW_LISTED;
}

int
follow_store (struct follow *f, int64_t now_ms, uint64_t token,
              const struct store_rep *rep, bool take, bool *mine)
{
  *mine = f->on && token && token == f->token;
  if (!*mine)
    return FOLLOW_NONE;
  f->token = 0;
  if (rep->err == CLB_ENOTFOUND && f->listed)
    {
      relist (f);
      return FOLLOW_NONE;
    }
  if (rep->err || !take)
    {
      f->next_ms = now_ms + FOLLOW_RETRY_MS;
      return FOLLOW_NONE;
    }
  f->fresh_ms = f->sent_ms;
  if (!f->listed)
    return take_page (f, rep);
  if (rep->ver > f->ver)
    f->ver = rep->ver;
  f->next_ms = now_ms + f->pause_ms;
  return FOLLOW_CHANGES;
}
