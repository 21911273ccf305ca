/*
 * Writes the counters of an instance on the fleet as Prometheus text.
 */
#include "fleet.h"
#include "metric.h"

#include <stdio.h>
#include <stdlib.h>

/* Writes what each client account uses and may use to @out. */
static void
print_account_metrics (const struct fsched *fs, FILE *out)
{
  const struct fsched_tenant *t;

  TAILQ_FOREACH (t, &fs->tenants, link)
    {
      struct job_need limit = account_limit (fs, t);
      metric_print (out, "account_runs", "account", t->name,
                    (uint64_t)t->n_runs);
      metric_print (out, "account_used_millicores", "account", t->name,
                    (uint64_t)t->used.millicores);
      metric_print (out, "account_limit_millicores", "account", t->name,
                    (uint64_t)limit.millicores);
      metric_print (out, "account_used_mem_mb", "account", t->name,
                    (uint64_t)t->used.mem_mb);
      metric_print (out, "account_limit_mem_mb", "account", t->name,
                    (uint64_t)limit.mem_mb);
    }
}

/* Writes the counters of the scheduler to @out. */
static void
print_fsched_metrics (const struct fleet *f, FILE *out)
{
  const struct fsched_stats *s = &f->stats.fsched;

  metric_print (out, "starts_total", NULL, NULL, s->starts);
  metric_print (out, "passes_total", NULL, NULL, s->passes);
  metric_print (out, "jobs_considered_total", NULL, NULL, s->jobs_considered);
  metric_print (out, "stops_total", NULL, NULL, s->stops);
  metric_print (out, "polls_incomplete_total", NULL, NULL,
                s->polls_incomplete);
  metric_print (out, "lapsed_total", NULL, NULL, s->runs_lapsed);
  metric_print (out, "progress_splits_total", NULL, NULL, s->progress_splits);
  metric_print (out, "checkpoints_refused_total", NULL, NULL,
                s->checkpoints_refused);
  metric_print (out, "checkpoint_bytes", NULL, NULL,
                f->fsched ? (uint64_t)f->fsched->checkpoint_bytes : 0);
  metric_print (out, "task_crashes_total", NULL, NULL, s->crashes);
  metric_print (out, "executors_aside_total", NULL, NULL, s->quarantines);
  metric_print (out, "questions_total", NULL, NULL, s->queries);
  metric_print (out, "questions_failed_total", NULL, NULL, s->queries_failed);
  metric_print (out, "questions_overdue_total", NULL, NULL,
                s->queries_overdue);
  metric_print (out, "questions_outstanding", NULL, NULL,
                f->fsched ? (uint64_t)f->fsched->n_queries_out : 0);
  for (int i = 0; i < UNUSED_N; i++)
    metric_print (out, "answers_unused_total", "cause", unused_cause_names[i],
                  s->answers_unused[i]);
  if (f->fsched)
    metric_print (out, "questions_unsent_ms", NULL, NULL,
                  (uint64_t)fsched_unsent_ms (f->fsched));
  for (int i = 0; i < RUN_END_N; i++)
    metric_print (out, "ends_total", "how", run_end_names[i], s->ends[i]);
  for (int i = 0; i < REFUSED_N; i++)
    metric_print (out, "starts_refused_total", "reason",
                  order_refusal_names[i], s->refusals[i]);
  for (int i = 0; i < ORDER_OUTCOME_N; i++)
    metric_print (out, "orders_total", "outcome", order_outcome_names[i],
                  s->outcomes[i]);
  for (int i = 0; i < JOB_STATE_N; i++)
    metric_print (out, "jobs_ended_total", "state", job_state_names[i],
                  s->jobs_ended[i]);
  for (int i = 0; i < ORDER_KIND_N; i++)
    hist_print (out, "order_ms", "kind", order_kind_names[i], &s->order_ms[i]);
  hist_print (out, "first_start_ms", NULL, NULL, &s->first_start_ms);
  for (int i = 0; i < JOB_STATE_N; i++)
    hist_print (out, "job_ms", "state", job_state_names[i], &s->job_ms[i]);
  metric_print (out, "jobs_set_aside", NULL, NULL,
                f->fsched ? (uint64_t)f->fsched->n_set_aside : 0);
  metric_print (out, "jobs_in_hand", NULL, NULL,
                f->fsched ? (uint64_t)f->fsched->n_jobs : 0);
  if (f->fsched)
    print_account_metrics (f->fsched, out);
}

char *
fleet_metrics (struct fleet *f)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);

  if (!out)
    abort ();
  for (int i = 0; i < ANSWER_N; i++)
    metric_print (out, "answers_total", "answer", fleet_answer_names[i],
                  f->stats.answers[i]);
  metric_print (out, "store_errors_total", NULL, NULL, f->stats.store_errors);
  metric_print (out, "terms_total", NULL, NULL, f->stats.leader_terms);
  metric_print (out, "asks_total", NULL, NULL, f->stats.queries);
  metric_print (out, "asks_lost_total", NULL, NULL, f->stats.queries_lost);
  metric_print (out, "retries_total", NULL, NULL, f->stats.retries);
  metric_print (out, "proxied_total", NULL, NULL, f->stats.proxied);
  metric_print (out, "bad_rows_total", NULL, NULL, f->stats.bad_rows);
  metric_print (out, "writes_refused_total", NULL, NULL,
                f->stats.writes_refused);
  metric_print (out, "withdrawals", NULL, NULL, (uint64_t)f->withdrawals.n);
  metric_print (out, "withdrawals_removed_total", NULL, NULL,
                f->withdrawals.n_removed);
  metric_print (out, "config_version", NULL, NULL,
                f->conf ? (uint64_t)f->conf->version : 0);
  metric_print (out, "config_age_ms", NULL, NULL,
                f->conf ? (uint64_t)(f->now_ms - f->conf_current_ms) : 0);
  metric_print (out, "config_behind", NULL, NULL, fleet_conf_behind (f));
  metric_print (out, "config_unusable_items", NULL, NULL,
                f->conf ? f->conf->n_unusable : 0);
  metric_print (out, "config_refused_total", NULL, NULL,
                f->stats.configs_refused);
  metric_print (out, "evacuated_domains", NULL, NULL,
                (uint64_t)f->evac.n_domains);
  metric_print (out, "leading", NULL, NULL, f->leader.state == LEADER_LEADING);
  for (int i = 0; i < FLEET_VERB_N; i++)
    hist_print (out, "request_ms", "verb", fleet_verb_names[i],
                &f->stats.request_ms[i]);
  hist_print (out, "record_ms", NULL, NULL, &f->stats.record_ms);
  print_fsched_metrics (f, out);
  fclose (out);
  return text;
}
