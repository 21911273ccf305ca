/*
 * Checkpoints of the simulated tasks.  A job keeps all that its runs have
 * saved, so that each start can be checked to carry one of them, byte for
 * byte.
 */
#include "fsim.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Checkpoints of a job with odd ones can be represented this many times in a
     row, and then cannot as often. */
  ODD_EVERY = 5,
};

/* struct fsaved - a checkpoint that a run of a task has saved */
struct fsaved
{
  int64_t step;
  int64_t index;
  struct checkpoint *checkpoint; /* a reference */
};

/* Texts that long checkpoints consist of, one after the other. */
static const struct
{
  const char *bytes;
  size_t len;
} pieces[]
    = { { "path/of/a-file", 14 }, { "\"\\", 2 },   { "\0", 1 },
        { "\xc3\xa4", 2 },        { "\x01\n", 2 }, { "\xf0\x9f\x98\x80", 4 },
        { " {}[],:", 7 } };

/* Fills @text, of @len bytes, with checkpoint number @n of run @r. Checkpoints
   of one byte are not all different. */
static void
fill_text (char *text, size_t len, const struct frun *r, int n)
{
  char name[2 * JOB_ID_SIZE + 80];
  size_t used
      = (size_t)snprintf (name, sizeof name, "%c%d-%lld.%s.%lld.%lld",
                          'a' + n % 26, n, (long long)r->run_id, r->task.job,
                          (long long)r->task.step, (long long)r->task.index);

  if (used > len)
    used = len;
  memcpy (text, name, used);
  for (size_t i = (size_t)n; used < len; i++)
    {
      size_t k = i % CLB_COUNT (pieces);
      if (pieces[k].len > len - used)
        {
          memset (text + used, '.', len - used);
          break;
        }
      memcpy (text + used, pieces[k].bytes, pieces[k].len);
      used += pieces[k].len;
    }
}

static struct checkpoint *
add_saved (struct fjob *j, const struct frun *r, int n)
{
  clb_auto char *text = malloc (j->checkpoint_bytes);
  struct checkpoint_view v = { .bytes = text, .len = j->checkpoint_bytes };
  struct fsaved *s;

  if (!text)
    abort ();
  fill_text (text, j->checkpoint_bytes, r, n);
  j->saved = realloc (j->saved, (j->n_saved + 1) * sizeof *j->saved);
  if (!j->saved)
    abort ();
  s = &j->saved[j->n_saved++];
  *s = (struct fsaved){ .step = r->task.step,
                        .index = r->task.index,
                        .checkpoint = checkpoint_new (&v) };
  return s->checkpoint;
}

void
fcheckpoint_update (struct fsim *s, struct frun *r)
{
  struct fjob *j = fsim_find_job (s, r->task.job);
  int n = (int)((s->now_ms - r->start_ms) / FSIM_CHECKPOINT_MS);

  if (!j || !j->checkpoint_bytes || r->awaits_gang || n <= r->n_saved)
    return;
  r->n_saved = n;
  r->saved_unusable = j->odd_checkpoints && n / ODD_EVERY % 2 == 1;
  if (!r->saved_unusable)
    r->saved = add_saved (j, r, n);
}

struct checkpoint_view
fcheckpoint_view (const struct frun *r)
{
  if (r->saved_unusable)
    return (struct checkpoint_view){ .unusable = true };
  if (!r->saved)
    return (struct checkpoint_view){ .len = 0 };
  return (struct checkpoint_view){ .bytes = r->saved->bytes,
                                   .len = r->saved->len };
}

/* Returns the checkpoint of the task, or of any member of its gang, that
   equals
   @c; NULL if there is none. */
static const struct checkpoint *
find_saved (const struct fjob *j, const struct order *o)
{
  struct checkpoint_view v
      = { .bytes = o->checkpoint->bytes, .len = o->checkpoint->len };

  for (size_t i = 0; i < j->n_saved; i++)
    if (j->saved[i].step == o->task.step
        && (j->saved[i].index == o->task.index
            || j->spec.steps[o->task.step].gang)
        && checkpoint_equals (j->saved[i].checkpoint, &v))
      return j->saved[i].checkpoint;
  return NULL;
}

/* Reports a violation if @other, a run of the same gang as @r, resumes from
   another checkpoint. */
static void
check_same (struct fsim *s, const struct frun *r, const struct frun *other)
{
  if (other == r || other->run_id != r->run_id
      || other->task.step != r->task.step
      || strcmp (other->task.job, r->task.job) != 0)
    return;
  if (other->resumed != r->resumed)
    fsim_violation (s,
                    "UNASKED %s.%lld.%lld run %lld: another checkpoint than "
                    "member %lld",
                    r->task.job, (long long)r->task.step,
                    (long long)r->task.index, (long long)r->run_id,
                    (long long)other->task.index);
}

void
fcheckpoint_check_start (struct fsim *s, const struct order *o, struct fjob *j,
                         struct frun *r)
{
  if (o->checkpoint)
    {
      r->resumed = find_saved (j, o);
      j->n_resumed++;
    }
  if (o->checkpoint && !r->resumed)
    fsim_violation (s,
                    "UNASKED %s.%lld.%lld run %lld: a checkpoint of %zu bytes "
                    "that is not the task's",
                    o->task.job, (long long)o->task.step,
                    (long long)o->task.index, (long long)o->run_id,
                    o->checkpoint->len);
  /* Some executors list what a run resumes from until it has saved more. */
  if (o->task.index % 2 == 0)
    r->saved = r->resumed;
  if (!j->spec.steps[o->task.step].gang)
    return;
  for (int k = 0; k < s->n_exec; k++)
    for (int i = 0; i < s->exec[k]->n_runs; i++)
      check_same (s, r, &s->exec[k]->runs[i]);
}

void
fcheckpoint_free (struct fjob *j)
{
  for (size_t i = 0; i < j->n_saved; i++)
    checkpoint_unref (j->saved[i].checkpoint);
  free (j->saved);
}
