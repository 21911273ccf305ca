#include "fstore.h"

#include <stdlib.h>
#include <string.h>
#include <bsd/sys/tree.h>

enum
{
  LIST_PAGE_ROWS = 500, /* most rows in one reply to STORE_LIST */
};

/* struct frow - one row of the table, or one object */
struct frow
{
  RB_ENTRY (frow) by_key;
  char *key;
  char *value;
  int64_t ver; /* unique over all rows, increases with each write */
};
RB_HEAD (frow_tree, frow);

struct fstore
{
  struct frow_tree rows;
  int64_t last_ver;      /* the last version that was given out */
  char *instances;       /* JSON, or NULL if it was never set */
  int64_t instances_ver; /* 0 if it was never set */
  uint64_t writes;
  uint64_t reads;
};

static int
frow_cmp (const struct frow *a, const struct frow *b)
{
  return strcmp (a->key, b->key);
}

RB_PROTOTYPE (frow_tree, frow, by_key, frow_cmp)
RB_GENERATE (frow_tree, frow, by_key, frow_cmp)

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
frow_free (struct fstore *fs, struct frow *r)
{
  RB_REMOVE (frow_tree, &fs->rows, r);
  free (r->key);
  free (r->value);
  free (r);
}

void
fstore_free (struct fstore *fs)
{
  struct frow *r;

  while ((r = RB_MIN (frow_tree, &fs->rows)))
    frow_free (fs, r);
  free (fs->instances);
  free (fs);
}

static struct frow *
frow_find (const struct fstore *fs, const char *key)
{
  struct frow k = { .key = (char *)key };

  return RB_FIND (frow_tree, (struct frow_tree *)&fs->rows, &k);
}

static void
add_row (struct store_rep *rep, const char *key, int64_t ver,
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

static int64_t
set_row (struct fstore *fs, const char *key, const char *value)
{
  struct frow *r = frow_find (fs, key);

  if (!r)
    {
      r = calloc (1, sizeof *r);
      if (!r)
        abort ();
      r->key = strdup (key);
      RB_INSERT (frow_tree, &fs->rows, r);
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
      const struct frow *r = frow_find (fs, op->conds[i].key);
      if ((r ? r->ver : 0) == op->conds[i].ver)
        continue;
      rep->err = CLB_ECONFLICT;
      add_row (rep, op->conds[i].key, r ? r->ver : 0, r ? r->value : NULL);
    }
  if (rep->err)
    return;
  for (size_t i = 0; i < op->n_puts; i++)
    {
      const struct put *p = &op->puts[i];
      struct frow *r = frow_find (fs, p->key);
      if (p->value)
        add_row (rep, p->key, set_row (fs, p->key, p->value), NULL);
      else if (r)
        frow_free (fs, r);
    }
}

static void
apply_get (struct fstore *fs, const char *key, struct store_rep *rep)
{
  const struct frow *r = frow_find (fs, key);

  if (r)
    add_row (rep, r->key, r->ver, r->value);
  else
    rep->err = CLB_ENOTFOUND;
}

static void
apply_list (struct fstore *fs, const struct store_op *op,
            struct store_rep *rep)
{
  size_t len = strlen (op->key);
  struct frow k = { .key = op->after ? op->after : op->key };
  struct frow *r = RB_NFIND (frow_tree, &fs->rows, &k);

  for (; r && strncmp (r->key, op->key, len) == 0;
       r = RB_NEXT (frow_tree, &fs->rows, r))
    {
      if (op->after && strcmp (r->key, op->after) == 0)
        continue;
      if (rep->n_rows == LIST_PAGE_ROWS)
        {
          rep->more = true;
          return;
        }
      add_row (rep, r->key, r->ver, r->value);
    }
}

/* The reply has no row if @known is the version of the current list. */
static void
apply_instances (struct fstore *fs, const char *known, struct store_rep *rep)
{
  if (!known || strtoll (known, NULL, 10) != fs->instances_ver)
    add_row (rep, "instances", fs->instances_ver,
             fs->instances ? fs->instances : "{}");
}

void
fstore_apply (struct fstore *fs, const struct store_op *op,
              struct store_rep *rep)
{
  bool write = op->kind == STORE_TXN || op->kind == STORE_OBJ_PUT;

  memset (rep, 0, sizeof *rep);
  fs->writes += write;
  fs->reads += !write;
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
  const struct frow *r = frow_find (fs, key);

  return r ? r->value : NULL;
}

uint64_t
fstore_writes (const struct fstore *fs)
{
  return fs->writes;
}

uint64_t
fstore_reads (const struct fstore *fs)
{
  return fs->reads;
}
