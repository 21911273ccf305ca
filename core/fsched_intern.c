/*
 * Interned names.  Each placing pass compares services, racks and labels for
 * each job and executor, up to 900 waiting jobs and 350 executors, and
 * compares ids instead of strings.
 */
#include "fsched_impl.h"

#include <stdlib.h>
#include <string.h>

int
fsched_intern (struct fsched_intern_table *t, const char *text)
{
  if (!*text)
    return 0;
  for (int i = 0; i < t->n; i++)
    if (strcmp (t->list[i], text) == 0)
      return i + 1;
  t->list = realloc (t->list, (size_t)(t->n + 1) * sizeof *t->list);
  if (!t->list)
    abort ();
  clb_copy (t->list[t->n], text, CLB_NAME_MAX);
  return ++t->n;
}

void
fsched_intern_free (struct fsched_intern_table *t)
{
  free (t->list);
}

/* Adds a label to the set exec::labels if the executor has it. */
static void
add_label (struct exec *e, int id, const char *text)
{
  if (id <= LABELS_MAX && exec_has_label (e, text))
    e->labels |= UINT64_C (1) << id;
}

int
fsched_intern_label (struct fsched *fs, const char *text)
{
  int n_known = fs->labels.n;
  int id = fsched_intern (&fs->labels, text);
  struct exec *e;

  if (id > n_known)
    TAILQ_FOREACH (e, &fs->execs, link)
      add_label (e, id, text);
  return id;
}

void
fsched_intern_exec (struct fsched *fs, struct exec *e)
{
  e->service = fsched_intern (&fs->services, e->rep.service);
  e->rack = fsched_intern (&fs->racks, e->rep.rack);
  e->labels = 0;
  for (int i = 0; i < fs->labels.n; i++)
    add_label (e, i + 1, fs->labels.list[i]);
}
