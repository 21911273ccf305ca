#include "fworker.h"

#include <stdlib.h>
#include <string.h>

void
fworker_init (struct fworker *w, int64_t boot)
{
  memset (w, 0, sizeof *w);
  w->boot = boot;
  TAILQ_INIT (&w->runs);
}

void
fworker_clear (struct fworker *w)
{
  struct frun *r;

  while ((r = TAILQ_FIRST (&w->runs)))
    {
      TAILQ_REMOVE (&w->runs, r, link);
      free (r);
    }
}

static void
end_run (struct fworker *w, int64_t now_ms, struct frun *r, int state)
{
  r->state = state;
  if (w->watch)
    w->watch (w->arg, now_ms, r, false);
}

void
fworker_reboot (struct fworker *w, int64_t now_ms, int64_t boot)
{
  struct frun *r;

  TAILQ_FOREACH (r, &w->runs, link)
    if (r->state == RUN_RUNNING)
      end_run (w, now_ms, r, RUN_STOPPED);
  fworker_clear (w);
  w->boot = boot;
  w->epoch = 0;
}

/* When the duration of a run is over, the run ends as RUN_FAILED if its name
   contains "fail", and as RUN_OK otherwise. */
void
fworker_tick (struct fworker *w, int64_t now_ms)
{
  struct frun *r;

  TAILQ_FOREACH (r, &w->runs, link)
    {
      if (r->state != RUN_RUNNING)
        continue;
      if (now_ms >= w->lease_until_ms)
        end_run (w, now_ms, r, RUN_STOPPED);
      else if (r->end_ms && now_ms >= r->end_ms)
        end_run (w, now_ms, r, strstr (r->name, "fail") ? RUN_FAILED : RUN_OK);
    }
}

static struct frun *
find_run (struct fworker *w, const char *id)
{
  struct frun *r;

  TAILQ_FOREACH (r, &w->runs, link)
    if (strcmp (r->id, id) == 0)
      return r;
  return NULL;
}

static struct frun *
add_run (struct fworker *w, const char *id)
{
  struct frun *r = calloc (1, sizeof *r);

  if (!r)
    abort ();
  clb_copy (r->id, id, sizeof r->id);
  TAILQ_INSERT_TAIL (&w->runs, r, link);
  return r;
}

/* Stops the run @id.  If no run has this id, a run that never starts is added,
   so that a later start with the same id is ignored. */
static void
stop_run (struct fworker *w, int64_t now_ms, const char *id)
{
  struct frun *r = find_run (w, id);

  if (!r)
    {
      r = add_run (w, id);
      r->state = RUN_NEVER;
    }
  else if (r->state == RUN_RUNNING)
    end_run (w, now_ms, r, RUN_STOPPED);
  r->acked = false;
}

static void
start_run (struct fworker *w, int64_t now_ms, const struct start_cmd *c)
{
  struct frun *r = find_run (w, c->id);
  int64_t duration_factor = w->slowness ? w->slowness : 1;

  if (r)
    return;
  r = add_run (w, c->id);
  clb_copy (r->name, c->name, sizeof r->name);
  r->need = c->need;
  r->state = RUN_RUNNING;
  if (c->duration_ms)
    r->end_ms = now_ms + c->duration_ms * duration_factor;
  if (w->watch)
    w->watch (w->arg, now_ms, r, true);
  if (w->fail_all)
    end_run (w, now_ms, r, RUN_FAILED);
}

static void
acknowledge_run (struct fworker *w, const char *id)
{
  struct frun *r = find_run (w, id);

  if (r && r->state != RUN_RUNNING)
    r->acked = true;
}

static void
fill_report (struct fworker *w, struct sync_rep *rep)
{
  struct frun *r;
  size_t n = 0;

  TAILQ_FOREACH (r, &w->runs, link)
    n += !r->acked;
  memset (rep, 0, sizeof *rep);
  rep->boot = w->boot;
  rep->leaving = w->leaving;
  rep->busy_slots = w->busy;
  rep->runs = calloc (n ? n : 1, sizeof *rep->runs);
  if (!rep->runs)
    abort ();
  TAILQ_FOREACH (r, &w->runs, link)
    if (!r->acked)
      {
        struct run *out = &rep->runs[rep->n_runs++];
        clb_copy (out->id, r->id, sizeof out->id);
        out->state = r->state;
        out->used = r->need;
      }
}

int
fworker_sync (struct fworker *w, int64_t now_ms, const struct sync_req *req,
              struct sync_rep *rep)
{
  fworker_tick (w, now_ms);
  if (w->fence && req->epoch < w->epoch)
    return CLB_ECONFLICT;
  w->epoch = req->epoch;
  if (req->lease_ms && now_ms + req->lease_ms > w->lease_until_ms)
    w->lease_until_ms = now_ms + req->lease_ms;
  for (size_t i = 0; i < req->n_acks; i++)
    acknowledge_run (w, req->acks[i].id);
  for (size_t i = 0; i < req->n_stops; i++)
    stop_run (w, now_ms, req->stops[i].id);
  for (size_t i = 0; i < req->n_starts; i++)
    start_run (w, now_ms, &req->starts[i]);
  fill_report (w, rep);
  return 0;
}
