#include "worktime.h"

#include "metric.h"

enum
{
  NS_PER_SECOND = 1000000000,
  NS_PER_US = 1000,
};

/* Values of the label "work" of the metrics, by enum worktime_kind. */
static const char *const kind_names[WORKTIME_N] = {
  [WORKTIME_TICKS] = "ticks",
  [WORKTIME_STORE_REPLIES] = "store-replies",
  [WORKTIME_RUN_RESULTS] = "run-results",
  [WORKTIME_POLL_RESULTS] = "poll-results",
  [WORKTIME_ADVICE] = "advice",
  [WORKTIME_HELLOS] = "hellos",
  [WORKTIME_QUERIES] = "queries",
  [WORKTIME_NOTICES] = "notices",
  [WORKTIME_CALLER_REQUESTS] = "caller-requests",
  [WORKTIME_MONITORING] = "monitoring",
  [WORKTIME_ANSWERS] = "answers",
  [WORKTIME_STORE_CALLS] = "store-calls",
  [WORKTIME_ORDERS] = "orders",
  [WORKTIME_MESSAGES] = "messages",
  [WORKTIME_LOG_LINES] = "log-lines",
  [WORKTIME_MESSAGE_DECODING] = "message-decoding",
};

/* Adds the time since the last call to the innermost counted piece. */
static void
count_time (struct worktime *w, int64_t now_ns)
{
  int innermost
      = (w->n_open < WORKTIME_DEPTH_MAX ? w->n_open : WORKTIME_DEPTH_MAX) - 1;

  if (innermost >= 0 && now_ns > w->counted_until_ns)
    w->spent_ns[w->open[innermost]] += now_ns - w->counted_until_ns;
  w->counted_until_ns = now_ns;
}

void
worktime_begin (struct worktime *w, int kind, int64_t now_ns)
{
  count_time (w, now_ns);
  if (w->n_open < WORKTIME_DEPTH_MAX)
    w->open[w->n_open] = kind;
  w->n_open++;
}

void
worktime_end (struct worktime *w, int64_t now_ns)
{
  if (w->n_open == 0)
    return;
  count_time (w, now_ns);
  w->n_open--;
  if (w->n_open < WORKTIME_DEPTH_MAX)
    w->n_pieces[w->open[w->n_open]]++;
}

void
worktime_print (const struct worktime *w, FILE *out)
{
  for (int i = 0; i < WORKTIME_N; i++)
    fprintf (out, "citronlb_cpu_seconds_total{work=\"%s\"} %lld.%06lld\n",
             kind_names[i], (long long)(w->spent_ns[i] / NS_PER_SECOND),
             (long long)(w->spent_ns[i] % NS_PER_SECOND / NS_PER_US));
  for (int i = 0; i < WORKTIME_N; i++)
    metric_print (out, "work_total", "work", kind_names[i], w->n_pieces[i]);
}
