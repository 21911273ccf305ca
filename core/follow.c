/*
 * Follows a table of the platform's table service; see follow.h.
 */
#include "follow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
follow_init (struct table_follower *f, const char *table, int parts,
             int64_t wait_ms, struct outq *out, uint64_t *last_token)
{
  memset (f, 0, sizeof *f);
  clb_copy (f->table, table, sizeof f->table);
  f->parts = parts;
  f->wait_ms = wait_ms;
  f->out = out;
  f->last_token = last_token;
}

/* Returns the number of parts to be listed. */
static int
n_parts_to_list (const struct table_follower *f)
{
  return f->parts ? f->parts : 1;
}

/* Resets the listings of all parts, so that each part is listed again from its
   beginning.  The sizes of the pages stay. */
static void
restart_listing (struct table_follower *f)
{
  f->listed = false;
  f->current = false;
  f->n_unanswered = 0;
  f->list_ver = 0;
  for (int i = 0; i < n_parts_to_list (f); i++)
    {
      free (f->listings[i].last_key);
      f->listings[i]
          = (struct part_listing){ .page_rows = f->listings[i].page_rows };
    }
}

int64_t
follow_smaller_page (int64_t rows, int64_t err)
{
  int64_t smaller = rows / FOLLOW_PAGE_DIVISOR;

  if (err != CLB_EOUTCOME)
    return rows;
  return smaller > FOLLOW_PAGE_ROWS_MIN ? smaller : FOLLOW_PAGE_ROWS_MIN;
}

void
follow_start (struct table_follower *f, int64_t now_ms)
{
  restart_listing (f);
  for (int i = 0; i < n_parts_to_list (f); i++)
    f->listings[i].page_rows = FOLLOW_PAGE_ROWS;
  f->active = true;
  f->token = 0;
  f->next_ms = now_ms;
}

void
follow_relist (struct table_follower *f)
{
  restart_listing (f);
  f->token = 0;
}

void
follow_stop (struct table_follower *f)
{
  restart_listing (f);
  f->active = false;
  f->token = 0;
}

/* Queues a call to the table service and sets @token and @sent_ms for it.
   Returns the operation of the call, which the function's caller fills in. */
static struct store_op *
send_call (struct table_follower *f, int64_t now_ms, uint64_t *token,
           int64_t *sent_ms)
{
  struct out *o = out_new (f->out, OUT_STORE);

  *token = ++*f->last_token;
  *sent_ms = now_ms;
  o->u.store.token = *token;
  return &o->u.store.op;
}

/* Sends a call that reads the next page of part @part. */
static void
send_listing (struct table_follower *f, int64_t now_ms, int part)
{
  struct part_listing *l = &f->listings[part];
  char prefix[CLB_NAME_MAX + 16];
  struct store_op *op = send_call (f, now_ms, &l->token, &l->sent_ms);

  if (f->parts)
    snprintf (prefix, sizeof prefix, "%s:%d/", f->table, part);
  else
    snprintf (prefix, sizeof prefix, "%s/", f->table);
  op->kind = STORE_LIST;
  op->key = strdup (prefix);
  op->after = l->last_key ? strdup (l->last_key) : NULL;
  op->limit = l->page_rows;
}

/* Sends a call of the feed that reads the changes since version f->ver. */
static void
send_feed (struct table_follower *f, int64_t now_ms)
{
  struct store_op *op = send_call (f, now_ms, &f->token, &f->sent_ms);

  op->kind = STORE_FEED;
  op->key = strdup (f->table);
  op->since = f->ver;
  /* After an answer that took long to arrive, the next one shows at once
     whether there are further changes. */
  op->wait_ms = f->current && now_ms - f->fresh_ms < 2 * f->wait_ms
                    ? f->wait_ms
                    : FOLLOW_CATCH_UP_WAIT_MS;
}

void
follow_tick (struct table_follower *f, int64_t now_ms)
{
  if (!f->active || now_ms < f->next_ms)
    return;
  if (f->listed && !f->token)
    send_feed (f, now_ms);
  for (int i = 0; i < n_parts_to_list (f) && !f->listed; i++)
    if (!f->listings[i].complete && !f->listings[i].token)
      send_listing (f, now_ms, i);
}

bool
follow_feed_stuck (const struct table_follower *f)
{
  return f->n_unanswered >= FOLLOW_UNANSWERED_MAX;
}

/* Returns the listing whose outstanding call is @token, or NULL. */
static struct part_listing *
find_listing (struct table_follower *f, uint64_t token)
{
  for (int i = 0; i < n_parts_to_list (f); i++)
    if (f->listings[i].token == token)
      return &f->listings[i];
  return NULL;
}

bool
follow_owns (const struct table_follower *f, uint64_t token)
{
  return f->active && token
         && (token == f->token
             || find_listing ((struct table_follower *)f, token));
}

bool
follow_is_feed_call (const struct table_follower *f, uint64_t token)
{
  return f->active && token && token == f->token;
}

/* Handles a page of the part that @l lists; returns enum follow_event.  The
   feed is read from the lowest version at which a page was read, so that no
   change is missed. */
static int
handle_page (struct table_follower *f, struct part_listing *l,
             const struct store_rep *rep)
{
  if (!f->list_ver || rep->ver < f->list_ver)
    f->list_ver = rep->ver;
  free (l->last_key);
  l->last_key = NULL;
  if (rep->more && rep->n_rows)
    {
      l->last_key = strdup (rep->rows[rep->n_rows - 1].key);
      return FOLLOW_PAGE;
    }
  l->complete = true;
  for (int i = 0; i < n_parts_to_list (f); i++)
    if (!f->listings[i].complete)
      return FOLLOW_PAGE;
  f->listed = true;
  f->ver = f->list_ver;
  return FOLLOW_LISTED;
}

/* Handles an answer of the feed; returns enum follow_event. */
static int
handle_changes (struct table_follower *f, int64_t now_ms,
                const struct store_rep *rep)
{
  if (rep->ver > f->ver)
    f->ver = rep->ver;
  f->current = true;
  f->n_unanswered = 0;
  f->next_ms = now_ms + f->batch_ms;
  return FOLLOW_CHANGES;
}

int
follow_store_reply (struct table_follower *f, int64_t now_ms, uint64_t token,
                    const struct store_rep *rep, bool use_rows, bool *mine)
{
  struct part_listing *l = NULL;

  *mine = follow_owns (f, token);
  if (!*mine)
    return FOLLOW_NONE;
  if (token == f->token)
    f->token = 0;
  else if ((l = find_listing (f, token)))
    l->token = 0;
  /* The feed no longer has the changes since f->ver: the table has to be
     listed again. */
  if (rep->err == CLB_ENOTFOUND && !l)
    {
      restart_listing (f);
      return FOLLOW_NONE;
    }
  if (rep->err || !use_rows)
    {
      if (l)
        l->page_rows = follow_smaller_page (l->page_rows, rep->err);
      else
        f->n_unanswered += rep->err == CLB_EOUTCOME;
      f->next_ms = now_ms + FOLLOW_RETRY_MS;
      return FOLLOW_NONE;
    }
  f->fresh_ms = l ? l->sent_ms : f->sent_ms;
  return l ? handle_page (f, l, rep) : handle_changes (f, now_ms, rep);
}
