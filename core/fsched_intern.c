/*
 * Interned names: services, racks and labels have integer ids.  Each placing
 * pass compares them for every pair of a waiting job and an executor, up to
 * 900 jobs and 350 executors; comparing ids is faster than comparing strings.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

int
fsched_intern (struct fsched_intern_table *t, const char *name)
{
  if (!*name)
    return 0;
  for (int i = 0; i < t->n; i++)
    if (strcmp (t->list[i], name) == 0)
      return i + 1;
  t->list = realloc (t->list, (size_t)(t->n + 1) * sizeof *t->list);
  if (!t->list)
    abort ();
  clb_copy (t->list[t->n], name, CLB_NAME_MAX);
  return ++t->n;
}

void
fsched_intern_free (struct fsched_intern_table *t)
{
  free (t->list);
}

/* Adds the label with this id to exec::label_set if the executor has it. */
static void
add_label (struct exec *e, int id, const char *label)
{
  if (id <= LABELS_MAX && exec_has_label (e, label))
    e->label_set |= UINT64_C (1) << id;
}

int
fsched_intern_label (struct fsched *fs, const char *label)
{
  int n_known = fs->labels.n;
  int id = fsched_intern (&fs->labels, label);
  struct exec *e;

  if (id > n_known)
    TAILQ_FOREACH (e, &fs->execs, link)
      add_label (e, id, label);
  return id;
}

void
fsched_intern_exec (struct fsched *fs, struct exec *e)
{
  e->service_id = fsched_intern (&fs->services, e->rep.service);
  e->rack_id = fsched_intern (&fs->racks, e->rep.rack);
  e->label_set = 0;
  for (int i = 0; i < fs->labels.n; i++)
    add_label (e, i + 1, fs->labels.list[i]);
}
