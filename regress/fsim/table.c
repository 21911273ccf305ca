/* The simulated table service: versioned rows, transactions and feeds. */
#include "fsim.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LIST_ROWS_MAX = 500, /* largest number of rows in the reply to a list */
  /* Size of a call or reply without rows, and of a row without its key and
     value. */
  OVERHEAD_BYTES = 100,
  /* Largest number of entries of a transaction, conditions included. */
  CALL_ENTRIES_MAX = 100,
  NAME_BYTES_MAX
  = 200, /* maximum length of the name of a table, part or key */
  /* A reply of at most this size shares a link with larger ones instead of
     waiting for them. */
  PACKET_BYTES = 1400,
  /* Interval at which an instance is told that a reply is arriving. */
  PARTIAL_MS = 50,
  /* The table's clock shows this time more than the simulation's. */
  CLOCK_AHEAD_MS = 86400000,
  /* A part refuses a write if writes that take longer than this wait for
     it. */
  PART_WAIT_MAX_MS = 1000,
};

/* struct table_call - a call of an instance to the table, and the reply */
struct table_call
{
  int inst; /* index of the calling instance */
  uint64_t incarnation;
  uint64_t token;
  struct store_op op;
  struct store_rep rep;
  int64_t sent_ms; /* time at which the instance sent the call */
  /* Time at which all of the reply has arrived over a link with a rate. */
  int64_t received_ms;
  /* A feed is answered at this time at the latest, even if there are no
     changes. */
  int64_t feed_deadline_ms;
  /* True if the call is executed but its reply is lost. */
  bool drop_reply;
};

int
ftable_row_cmp (const struct ftable_row *a, const struct ftable_row *b)
{
  return strcmp (a->key, b->key);
}

RB_GENERATE (ftable_row_tree, ftable_row, by_key, ftable_row_cmp)

static struct ftable_row *
find_row (struct ftable *t, const char *key)
{
  struct ftable_row k = { .key = (char *)key };

  return RB_FIND (ftable_row_tree, &t->rows, &k);
}

static void
set_row (struct ftable *t, const char *key, const char *value)
{
  struct ftable_row *r = find_row (t, key);

  t->changes = realloc (t->changes, (t->n_changes + 1) * sizeof *t->changes);
  t->changes[t->n_changes++] = (struct ftable_change){ t->ver, strdup (key) };
  if (r)
    {
      RB_REMOVE (ftable_row_tree, &t->rows, r);
      free (r->key);
      free (r->value);
      free (r);
    }
  if (!value)
    return;
  r = calloc (1, sizeof *r);
  r->key = strdup (key);
  r->value = strdup (value);
  r->ver = t->ver;
  RB_INSERT (ftable_row_tree, &t->rows, r);
}

void
ftable_put (struct fsim *s, const char *key, const char *value)
{
  s->table.ver++;
  set_row (&s->table, key, value);
}

static void
add_row (struct store_rep *rep, const char *key, const struct ftable_row *r)
{
  rep->rows = realloc (rep->rows, (rep->n_rows + 1) * sizeof *rep->rows);
  rep->rows[rep->n_rows++]
      = (struct row){ .key = strdup (key),
                      .ver = r ? r->ver : 0,
                      .value = r ? strdup (r->value) : NULL };
}

/* Return: the size of a row in the table service's format, in which values are
   in base64. */
static size_t
encoded_row_bytes (const char *key, const char *value)
{
  return OVERHEAD_BYTES + (key ? strlen (key) : 0)
         + (value ? 4 * ((strlen (value) + 2) / 3) : 0);
}

/* Return: true if the names in @key, "TABLE[:PART]/KEY", are short enough and
   the row is not in a table that instances only read. */
static bool
key_may_be_written (const char *key)
{
  size_t table_bytes = strcspn (key, ":/");
  size_t slash = strcspn (key, "/");

  return table_bytes <= NAME_BYTES_MAX
         && slash - table_bytes <= NAME_BYTES_MAX + 1
         && strlen (key + slash) <= NAME_BYTES_MAX + 1
         && strncmp (key, "op/", 3) != 0 && strncmp (key, "servers/", 8) != 0;
}

/* Return: true if two rows are in the same part. */
static bool
same_part (const char *a, const char *b)
{
  size_t a_table = strcspn (a, ":/");
  size_t b_table = strcspn (b, ":/");
  size_t a_part = strcspn (a + a_table, "/");

  return a_part == strcspn (b + b_table, "/")
         && strncmp (a + a_table, b + b_table, a_part) == 0;
}

/* Return: true if the table carries out @op, apart from its conditions: all
   rows are in one part, and no limit is exceeded. */
static bool
txn_is_valid (const struct ftable *t, const struct store_op *op)
{
  size_t n_bytes = OVERHEAD_BYTES;
  const char *first;

  if (!op->n_puts)
    return true;
  first = op->puts[0].key;
  if (op->n_conds + op->n_puts > CALL_ENTRIES_MAX)
    return false;
  for (size_t i = 0; i < op->n_conds; i++)
    {
      n_bytes += encoded_row_bytes (op->conds[i].key, NULL);
      if (!same_part (first, op->conds[i].key))
        return false;
    }
  for (size_t i = 0; i < op->n_puts; i++)
    {
      const struct put *p = &op->puts[i];
      n_bytes += encoded_row_bytes (p->key, p->value);
      if (!same_part (first, p->key) || !key_may_be_written (p->key)
          || (p->value && strlen (p->value) > t->row_bytes_max)
          || (*t->refused_job && strncmp (p->key, "prog:", 5) == 0
              && strstr (p->key, t->refused_job)))
        return false;
    }
  return n_bytes <= FSIM_CALL_BYTES_MAX;
}

static void
apply_txn (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  if (!txn_is_valid (t, op))
    {
      rep->err = CLB_EDENIED;
      t->n_refused++;
      return;
    }
  for (size_t i = 0; i < op->n_conds; i++)
    {
      struct ftable_row *r = find_row (t, op->conds[i].key);
      if ((r ? r->ver : 0) != op->conds[i].ver)
        rep->err = CLB_ECONFLICT;
    }
  if (rep->err)
    {
      for (size_t i = 0; i < op->n_conds; i++)
        {
          struct ftable_row *r = find_row (t, op->conds[i].key);
          if (r)
            add_row (rep, r->key, r);
        }
      return;
    }
  t->ver++;
  for (size_t i = 0; i < op->n_puts; i++)
    set_row (t, op->puts[i].key, op->puts[i].value);
  rep->ver = t->ver;
}

static void
apply_list (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  size_t len = strlen (op->key);
  struct ftable_row k = { .key = op->after ? op->after : op->key };
  struct ftable_row *r = RB_NFIND (ftable_row_tree, &t->rows, &k);
  size_t n_bytes = OVERHEAD_BYTES;

  rep->ver = t->ver;
  for (; r && strncmp (r->key, op->key, len) == 0;
       r = RB_NEXT (ftable_row_tree, &t->rows, r))
    {
      if (op->after && strcmp (r->key, op->after) == 0)
        continue;
      n_bytes += encoded_row_bytes (r->key, r->value);
      if (rep->n_rows == (op->limit ? (size_t)op->limit : LIST_ROWS_MAX)
          || (rep->n_rows && n_bytes > FSIM_CALL_BYTES_MAX))
        {
          rep->more = true;
          return;
        }
      add_row (rep, r->key, r);
    }
}

/* Return: true if @key names a row of table @table, in any part of the table
   ("TABLE/..." or "TABLE:PART/..."). */
static bool
key_is_in_table (const char *key, const char *table)
{
  size_t n = strlen (table);

  return strncmp (key, table, n) == 0 && (key[n] == '/' || key[n] == ':');
}

/* Return: index of the first change after version @since; the number of
   changes if there is none. */
static size_t
first_change_after (const struct ftable *t, int64_t since)
{
  size_t low = 0;
  size_t high = t->n_changes;

  while (low < high)
    {
      size_t mid = (low + high) / 2;
      if (t->changes[mid].ver > since)
        high = mid;
      else
        low = mid + 1;
    }
  return low;
}

static void
apply_feed (struct ftable *t, const struct store_op *op, struct store_rep *rep)
{
  rep->ver = t->ver;
  if (op->since < t->compacted_ver)
    {
      rep->err = CLB_ENOTFOUND;
      return;
    }
  for (size_t i = first_change_after (t, op->since); i < t->n_changes; i++)
    if (key_is_in_table (t->changes[i].key, op->key))
      add_row (rep, t->changes[i].key, find_row (t, t->changes[i].key));
}

void
ftable_apply (struct ftable *t, const struct store_op *op,
              struct store_rep *rep)
{
  struct ftable_row *r;

  switch (op->kind)
    {
    case STORE_TXN:
      apply_txn (t, op, rep);
      break;
    case STORE_FEED:
      apply_feed (t, op, rep);
      break;
    case STORE_GET:
      r = find_row (t, op->key);
      rep->ver = t->ver;
      if (r)
        add_row (rep, r->key, r);
      else
        rep->err = CLB_ENOTFOUND;
      break;
    default:
      apply_list (t, op, rep);
      break;
    }
}

/* Passes the reply to the instance and frees the call.  A frozen or busy
   instance gets the reply afterwards. */
static void
deliver_reply (struct fsim *s, void *arg)
{
  struct table_call *q = arg;
  struct fsim_instance *in = s->inst[q->inst];

  if (in->up && in->incarnation == q->incarnation
      && fsim_hold_input (s, q->inst) > 0)
    {
      fsim_schedule (s, fsim_hold_input (s, q->inst), deliver_reply, q);
      return;
    }
  if (in->up && in->incarnation == q->incarnation)
    {
      fsim_charge_io (s, q->inst);
      fleet_store_reply (&in->fleet, s->now_ms, q->token, &q->rep);
      fsim_process_outputs (s, q->inst);
    }
  codec_free (&store_op_desc, &q->op);
  codec_free (&store_rep_desc, &q->rep);
  free (q);
}

/* Schedules a reply with error @err that is delivered in @after_ms. */
static void
fail_call (struct fsim *s, struct table_call *q, int err, int64_t after_ms)
{
  codec_free (&store_rep_desc, &q->rep);
  q->rep.err = err;
  fsim_schedule (s, after_ms, deliver_reply, q);
}

/* Return: the size of @rep in the table service's format, in which values are
   in base64. */
static int64_t
reply_bytes (const struct store_rep *rep)
{
  size_t n = OVERHEAD_BYTES;

  for (size_t i = 0; i < rep->n_rows; i++)
    n += encoded_row_bytes (rep->rows[i].key, rep->rows[i].value);
  return (int64_t)n;
}

/* Tells the instance at intervals that its reply is arriving, and passes the
   reply on when all of it has arrived. */
static void
receive_reply (struct fsim *s, void *arg)
{
  struct table_call *q = arg;
  struct fsim_instance *in = s->inst[q->inst];
  int64_t left_ms = q->received_ms - s->now_ms;

  if (left_ms <= 0)
    {
      deliver_reply (s, q);
      return;
    }
  if (in->up && in->incarnation == q->incarnation && !in->frozen)
    fleet_store_partial (&in->fleet, s->now_ms, q->token,
                         (size_t)reply_bytes (&q->rep));
  fsim_schedule (s, left_ms < PARTIAL_MS ? left_ms : PARTIAL_MS, receive_reply,
                 q);
}

/* Sends the reply over the instance's link, after the large replies before it.
   The instance gives a read up if the first byte of the reply does not arrive
   within the call's timeout, and a write if all of it does not. */
static void
send_over_slow_link (struct fsim *s, struct table_call *q)
{
  struct fsim_instance *in = s->inst[q->inst];
  int64_t timeout_at_ms = q->sent_ms + store_timeout_ms (&q->op);
  int64_t n_bytes = reply_bytes (&q->rep);
  int64_t begin_ms = s->now_ms + FSIM_LINK_MS;

  if (begin_ms < in->link_busy_until_ms && n_bytes > PACKET_BYTES)
    begin_ms = in->link_busy_until_ms;
  q->received_ms = begin_ms + n_bytes / in->link_bytes_per_ms;
  if ((store_is_read (q->op.kind) ? begin_ms : q->received_ms) > timeout_at_ms)
    {
      fail_call (s, q, CLB_EOUTCOME, timeout_at_ms - s->now_ms);
      return;
    }
  if (in->link_busy_until_ms < q->received_ms)
    in->link_busy_until_ms = q->received_ms;
  fsim_schedule (s, begin_ms - s->now_ms, receive_reply, q);
}

static void
send_reply (struct fsim *s, struct table_call *q)
{
  const struct fsim_instance *in = s->inst[q->inst];

  if (in->store_partitioned_until_ms > s->now_ms || q->drop_reply)
    fail_call (s, q, CLB_EOUTCOME, 700);
  else if (in->link_bytes_per_ms)
    send_over_slow_link (s, q);
  else
    fsim_schedule (s, FSIM_LINK_MS, deliver_reply, q);
}

/* Executes a call.  A feed that finds no changes is executed again every 5 ms
   until its deadline. */
static void
execute_call (struct fsim *s, void *arg)
{
  struct table_call *q = arg;

  ftable_apply (&s->table, &q->op, &q->rep);
  q->rep.now_ms = s->now_ms + CLOCK_AHEAD_MS;
  q->drop_reply = q->drop_reply
                  || (s->inst[q->inst]->reply_rows_max
                      && q->rep.n_rows > s->inst[q->inst]->reply_rows_max);
  if (q->op.kind == STORE_FEED && q->rep.err == 0 && q->rep.n_rows == 0
      && s->now_ms < q->feed_deadline_ms)
    fsim_schedule (s, 5, execute_call, q);
  else
    send_reply (s, q);
}

/* Executes a delayed write without sending a reply. */
static void
execute_delayed_write (struct fsim *s, void *arg)
{
  struct table_call *q = arg;

  apply_txn (&s->table, &q->op, &q->rep);
  codec_free (&store_op_desc, &q->op);
  codec_free (&store_rep_desc, &q->rep);
  free (q);
}

static void
copy_op (struct store_op *to, const struct store_op *op)
{
  to->kind = op->kind;
  to->key = op->key ? strdup (op->key) : NULL;
  to->after = op->after ? strdup (op->after) : NULL;
  to->since = op->since;
  to->wait_ms = op->wait_ms;
  to->limit = op->limit;
  for (size_t i = 0; i < op->n_conds; i++)
    store_cond (to, op->conds[i].key, op->conds[i].ver);
  for (size_t i = 0; i < op->n_puts; i++)
    store_put (to, op->puts[i].key, op->puts[i].value);
}

static struct table_call *
table_call_new (struct fsim *s, int i, uint64_t token,
                const struct store_op *op)
{
  struct table_call *q = calloc (1, sizeof *q);

  q->inst = i;
  q->incarnation = s->inst[i]->incarnation;
  q->token = token;
  q->sent_ms = s->now_ms;
  copy_op (&q->op, op);
  return q;
}

/* Return: the part that the row with this key belongs to. */
static struct fpart *
find_part (struct ftable *t, const char *key)
{
  const char *colon = strchr (key, ':');
  size_t len = colon ? strcspn (colon, "/") : 0;
  struct fpart *p;

  for (int i = 0; i < t->n_parts; i++)
    if (strlen (t->parts[i].name) == len
        && strncmp (t->parts[i].name, colon ? colon : "", len) == 0)
      return &t->parts[i];
  if (t->n_parts == FSIM_PARTS_MAX || len >= sizeof p->name)
    abort ();
  p = &t->parts[t->n_parts++];
  memcpy (p->name, colon ? colon : "", len);
  return p;
}

/* Adds a write to the queue of its part.  Return: the time until it is
   executed; -1: the part refuses it. */
static int64_t
queue_in_part (struct fsim *s, const struct store_op *op)
{
  struct fpart *p = find_part (&s->table, op->puts[0].key);

  if (p->busy_until_ms < s->now_ms)
    p->busy_until_ms = s->now_ms;
  if (p->busy_until_ms - s->now_ms > PART_WAIT_MAX_MS)
    return -1;
  p->busy_until_ms += s->table.part_write_ms;
  return p->busy_until_ms - s->now_ms;
}

void
ftable_send (struct fsim *s, int i, uint64_t token, const struct store_op *op)
{
  struct ftable *t = &s->table;
  struct table_call *q = table_call_new (s, i, token, op);
  int64_t delay_ms = fsim_busy_ms (s, i) + FSIM_LINK_MS;
  bool write = op->kind == STORE_TXN;
  int64_t part_ms = 0;

  t->n_calls++;
  if (s->inst[i]->store_partitioned_until_ms > s->now_ms)
    {
      fail_call (s, q, CLB_EOUTCOME, 700);
      return;
    }
  if (((op->kind == STORE_FEED && strcmp (op->key, "op") == 0)
       || (op->kind == STORE_LIST && strcmp (op->key, "op/") == 0))
      && s->inst[i]->conf_feed_silent_until_ms > s->now_ms)
    {
      fail_call (s, q, CLB_EOUTCOME, store_timeout_ms (op));
      return;
    }
  if (t->down_until_ms > s->now_ms
      || s->inst[i]->store_refused_until_ms > s->now_ms)
    {
      fail_call (s, q, CLB_EUNAVAIL, FSIM_LINK_MS);
      return;
    }
  if (write && fsim_random (s) < t->delayed_write_share)
    {
      fsim_schedule (s, 1000 + (int64_t)(fsim_random (s) * 5000),
                     execute_delayed_write, table_call_new (s, i, token, op));
      fail_call (s, q, CLB_EOUTCOME, 700);
      return;
    }
  if (write && t->part_write_ms && op->n_puts)
    part_ms = queue_in_part (s, op);
  if (part_ms < 0)
    {
      fail_call (s, q, CLB_EUNAVAIL, FSIM_LINK_MS);
      return;
    }
  delay_ms += part_ms;
  q->drop_reply = write && fsim_random (s) < t->lost_reply_share;
  q->feed_deadline_ms = s->now_ms + op->wait_ms;
  /* Without a time for each part, the table executes all writes one after
     another. */
  if (write && !t->part_write_ms)
    {
      int64_t begin_ms
          = s->now_ms > t->busy_until_ms ? s->now_ms : t->busy_until_ms;
      t->busy_until_ms
          = begin_ms
            + FSIM_THREE_WRITES_MS * (t->slow_factor ? t->slow_factor : 1) / 3;
      delay_ms += t->busy_until_ms - s->now_ms;
    }
  delay_ms += FSIM_LINK_MS * (t->slow_factor ? t->slow_factor : 1);
  if (part_ms && delay_ms + FSIM_LINK_MS > store_timeout_ms (op))
    {
      fsim_schedule (s, delay_ms, execute_delayed_write,
                     table_call_new (s, i, token, op));
      fail_call (s, q, CLB_EOUTCOME, store_timeout_ms (op));
      return;
    }
  fsim_schedule (s, delay_ms, execute_call, q);
}

void
ftable_free (struct ftable *t)
{
  struct ftable_row *r, *next;

  RB_FOREACH_SAFE (r, ftable_row_tree, &t->rows, next)
    {
      RB_REMOVE (ftable_row_tree, &t->rows, r);
      free (r->key);
      free (r->value);
      free (r);
    }
  for (size_t i = 0; i < t->n_changes; i++)
    free (t->changes[i].key);
  free (t->changes);
}
