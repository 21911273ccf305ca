/*
 * How many advice queries may be outstanding: fewer after the service has
 * refused some, and single ones while it answers nobody.
 */
#include "fsched_impl.h"

#include <math.h>

enum
{
  /* Time in which the largest number of outstanding short queries counts for
     half as much. */
  SHORT_PEAK_HALF_MS = 1000,
  /* Pause before the next query after the service has refused one.  The pause
     doubles with each further refusal, up to REFUSED_PAUSE_MAX_MS, and halves
     with each answer. */
  REFUSED_PAUSE_MS = 100,
  REFUSED_PAUSE_MAX_MS = 2000,
  /* Number of overdue queries in a row, without an answer since they were
     sent, after which the service seems to answer nobody.  Further queries are
     then sent one at a time, with a pause that doubles up to
     STALL_PAUSE_MAX_MS. */
  STALL_QUERIES = 3,
  STALL_PAUSE_MS = 250,
  STALL_PAUSE_MAX_MS = 2000,
  /* Shortest interval between two reductions of the window: the queries that
     were outstanding at the first have ended. */
  WINDOW_GAP_MS = 500,
};

void
window_init (struct fsched *fs)
{
  fs->query_window = ADVICE_WINDOW;
}

bool
window_is_open (const struct fsched *fs)
{
  return fs->n_queries_out < fs->query_window
         && fs->now_ms >= fs->refused_until_ms
         && fs->now_ms >= fs->stalled_until_ms;
}

double
window_short_peak (const struct fsched *fs)
{
  double halves
      = (double)(fs->now_ms - fs->short_peak_ms) / SHORT_PEAK_HALF_MS;

  return fs->short_peak * exp2 (-halves);
}

/* Sets the earliest time of the next query while the service seems to answer
   nobody. */
static void
pause_if_stalled (struct fsched *fs)
{
  int64_t pause_ms = STALL_PAUSE_MS;

  if (fs->n_unanswered < STALL_QUERIES)
    return;
  for (int i = STALL_QUERIES;
       i < fs->n_unanswered && pause_ms < STALL_PAUSE_MAX_MS; i++)
    pause_ms *= 2;
  fs->stalled_until_ms = fs->now_ms + pause_ms;
}

/* Notes the number of short queries that are outstanding, with @p, which is
   about to be sent. */
static void
note_short_query (struct fsched *fs, const struct pending_order *p)
{
  int n_short = fs->n_queries_out - fs->n_long_out + 1;
  double peak = window_short_peak (fs);

  if (p->is_long)
    return;
  fs->short_peak = n_short > peak ? n_short : peak;
  fs->short_peak_ms = fs->now_ms;
}

void
window_query_sent (struct fsched *fs, struct pending_order *p)
{
  note_short_query (fs, p);
  p->in_window = true;
  fs->n_queries_out++;
  fs->n_long_out += p->is_long;
  lanes_query_sent (fs, p);
  pause_if_stalled (fs);
}

void
window_leave (struct fsched *fs, struct pending_order *p)
{
  if (!p->in_window)
    return;
  p->in_window = false;
  fs->n_queries_out--;
  fs->n_long_out -= p->is_long;
  lanes_query_left (fs, p);
}

void
window_refused (struct fsched *fs, const struct pending_order *p)
{
  int64_t pause_ms = REFUSED_PAUSE_MS;

  if (p->sent_ms < fs->refused_ms)
    return;
  for (int i = 0; i < fs->n_refused && pause_ms < REFUSED_PAUSE_MAX_MS; i++)
    pause_ms *= 2;
  fs->n_refused++;
  fs->refused_ms = fs->now_ms;
  fs->refused_until_ms = fs->now_ms + pause_ms;
  if (fs->now_ms >= fs->next_window_cut_ms)
    {
      fs->next_window_cut_ms = fs->now_ms + WINDOW_GAP_MS;
      fs->query_window = fs->n_queries_out > 2 ? fs->n_queries_out / 2.0 : 1;
    }
  out_line (fs->out,
            "event=advice-refused outstanding=%d window=%d for_ms=%lld",
            fs->n_queries_out, (int)fs->query_window, (long long)pause_ms);
}

void
window_query_answered (struct fsched *fs)
{
  fs->answered_ms = fs->now_ms;
  fs->n_unanswered = 0;
  fs->stalled_until_ms = 0;
  fs->n_refused -= fs->n_refused > 0;
  if (fs->query_window < ADVICE_WINDOW)
    fs->query_window += 1 / fs->query_window;
}

void
window_query_overdue (struct fsched *fs, const struct pending_order *p)
{
  if (p->sent_ms <= fs->answered_ms)
    return;
  fs->n_unanswered++;
  pause_if_stalled (fs);
}
