#include "fstore.h"

#include <stdlib.h>
#include <string.h>
#include <bsd/sys/tree.h>

enum
{
  LIST_PAGE_ROWS = 500, /* largest number of rows in one reply to STORE_LIST */
};

/* struct stored_row - a row of the table or an object of the object store */
struct stored_row
{
  RB_ENTRY (stored_row) by_key;
  char *key;
  char *value;
  int64_t ver; /* unique among all rows; each write assigns a higher one */
};
RB_HEAD (stored_row_tree, stored_row);

struct fstore
{
  struct stored_row_tree rows;
  int64_t last_ver;      /* highest version assigned so far */
  char *instances;       /* instance list as JSON; NULL: never set */
  int64_t instances_ver; /* version of @instances; 0: never set */
  uint64_t n_writes;
  uint64_t n_reads;
};

static int
stored_row_cmp (const struct stored_row *a, const struct stored_row *b)
{
  return strcmp (a->key, b->key);
}

RB_PROTOTYPE (stored_row_tree, stored_row, by_key, stored_row_cmp)
RB_GENERATE (stored_row_tree, stored_row, by_key, stored_row_cmp)

struct fstore *
fstore_new (void)
{
  struct fstore *fs = calloc (1, sizeof *fs);

  if (!fs)
    abort ();
  RB_INIT (&fs->rows);
  return fs;
}

static void
stored_row_free (struct fstore *fs, struct stored_row *r)
{
  RB_REMOVE (stored_row_tree, &fs->rows, r);
  free (r->key);
  free (r->value);
  free (r);
}

void
fstore_free (struct fstore *fs)
{
  struct stored_row *r;

  while ((r = RB_MIN (stored_row_tree, &fs->rows)))
    stored_row_free (fs, r);
  free (fs->instances);
  free (fs);
}

static struct stored_row *
stored_row_find (const struct fstore *fs, const char *key)
{
  struct stored_row search = { .key = (char *)key };

  return RB_FIND (stored_row_tree, (struct stored_row_tree *)&fs->rows,
                  &search);
}

static void
add_reply_row (struct store_rep *rep, const char *key, int64_t ver,
               const char *value)
{
  struct row *r;

  rep->rows = realloc (rep->rows, (rep->n_rows + 1) * sizeof *rep->rows);
  if (!rep->rows)
    abort ();
  r = &rep->rows[rep->n_rows++];
  r->key = strdup (key);
  r->ver = ver;
  r->value = value ? strdup (value) : NULL;
}

/* Sets the value of the row or object @key, which is created if it does not
   exist.  Returns its new version. */
static int64_t
set_row (struct fstore *fs, const char *key, const char *value)
{
  struct stored_row *r = stored_row_find (fs, key);

  if (!r)
    {
      r = calloc (1, sizeof *r);
      if (!r)
        abort ();
      r->key = strdup (key);
      RB_INSERT (stored_row_tree, &fs->rows, r);
    }
  free (r->value);
  r->value = strdup (value);
  r->ver = ++fs->last_ver;
  return r->ver;
}

static void
apply_txn (struct fstore *fs, const struct store_op *op, struct store_rep *rep)
{
  for (size_t i = 0; i < op->n_conds; i++)
    {
      const struct stored_row *r = stored_row_find (fs, op->conds[i].key);
      if ((r ? r->ver : 0) == op->conds[i].ver)
        continue;
      rep->err = CLB_ECONFLICT;
      add_reply_row (rep, op->conds[i].key, r ? r->ver : 0,
                     r ? r->value : NULL);
    }
  if (rep->err)
    return;
  for (size_t i = 0; i < op->n_puts; i++)
    {
      const struct put *p = &op->puts[i];
      struct stored_row *r = stored_row_find (fs, p->key);
      if (p->value)
        add_reply_row (rep, p->key, set_row (fs, p->key, p->value), NULL);
      else if (r)
        stored_row_free (fs, r);
    }
}

static void
apply_get (struct fstore *fs, const char *key, struct store_rep *rep)
{
  const struct stored_row *r = stored_row_find (fs, key);

  if (r)
    add_reply_row (rep, r->key, r->ver, r->value);
  else
    rep->err = CLB_ENOTFOUND;
}

static void
apply_list (struct fstore *fs, const struct store_op *op,
            struct store_rep *rep)
{
  size_t len = strlen (op->key);
  struct stored_row search = { .key = op->after ? op->after : op->key };
  struct stored_row *r = RB_NFIND (stored_row_tree, &fs->rows, &search);

  for (; r && strncmp (r->key, op->key, len) == 0;
       r = RB_NEXT (stored_row_tree, &fs->rows, r))
    {
      if (op->after && strcmp (r->key, op->after) == 0)
        continue;
      if (rep->n_rows == LIST_PAGE_ROWS)
        {
          rep->more = true;
          return;
        }
      add_reply_row (rep, r->key, r->ver, r->value);
    }
}

/* Adds the instance list to the reply, unless the caller already has the
   current version of the list.  @known_ver is the caller's version as text, or
   NULL if it has none. */
static void
apply_instances (struct fstore *fs, const char *known_ver,
                 struct store_rep *rep)
{
  if (!known_ver || strtoll (known_ver, NULL, 10) != fs->instances_ver)
    add_reply_row (rep, "instances", fs->instances_ver,
                   fs->instances ? fs->instances : "{}");
}

void
fstore_apply (struct fstore *fs, const struct store_op *op,
              struct store_rep *rep)
{
  bool write = op->kind == STORE_TXN || op->kind == STORE_OBJ_PUT;

  memset (rep, 0, sizeof *rep);
  fs->n_writes += write;
  fs->n_reads += !write;
  switch (op->kind)
    {
    case STORE_TXN:
      apply_txn (fs, op, rep);
      break;
    case STORE_OBJ_PUT:
      set_row (fs, op->key, op->value ? op->value : "");
      break;
    case STORE_GET:
    case STORE_OBJ_GET:
      apply_get (fs, op->key, rep);
      break;
    case STORE_LIST:
      apply_list (fs, op, rep);
      break;
    default:
      apply_instances (fs, op->after, rep);
      break;
    }
}

void
fstore_instances (struct fstore *fs, const char *json)
{
  free (fs->instances);
  fs->instances = strdup (json);
  fs->instances_ver = ++fs->last_ver;
}

const char *
fstore_value (const struct fstore *fs, const char *key)
{
  const struct stored_row *r = stored_row_find (fs, key);

  return r ? r->value : NULL;
}

uint64_t
fstore_writes (const struct fstore *fs)
{
  return fs->n_writes;
}

uint64_t
fstore_reads (const struct fstore *fs)
{
  return fs->n_reads;
}
