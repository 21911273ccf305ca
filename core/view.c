/* Reports of an entry instance: its status as JSON, and its counters in
   Prometheus text format. */
#include "metric.h"
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Worker states in the status, indexed by enum worker_state. */
static const char *const worker_state_names[]
    = { "unseen", "live", "silent", "condemned", "gone" };
/* Values of the metric label "end", indexed by enum forward_end. */
static const char *const forward_end_names[]
    = { "ok", "error", "unreached", "failed", "cut" };

static void
add_str (json_t *obj, const char *key, const char *value)
{
  json_object_set_new (obj, key, json_string (value));
}

static void
add_int (json_t *obj, const char *key, int64_t value)
{
  json_object_set_new (obj, key, json_integer (value));
}

static void
add_bool (json_t *obj, const char *key, bool value)
{
  json_object_set_new (obj, key, json_boolean (value));
}

static json_t *
peers_json (struct node *n)
{
  json_t *list = json_array ();

  for (int i = 0; i < n->n_peers; i++)
    {
      const struct peer *p = &n->peers[i];
      json_t *item = json_object ();
      add_str (item, "id", p->id);
      add_str (item, "domain", p->domain);
      add_bool (item, "alive",
                p->last_contact_ms
                    && n->now_ms - p->last_contact_ms < PEER_UNREACHABLE_MS);
      add_bool (item, "holder", p->hello.is_holder);
      add_int (item, "epoch", p->hello.epoch);
      add_int (item, "config_version", p->hello.conf_version);
      json_array_append_new (list, item);
    }
  return list;
}

static json_t *
workers_json (struct node *n)
{
  json_t *list = json_array ();
  struct worker *w;

  RB_FOREACH (w, worker_tree, &n->sched->pool.workers)
    {
      json_t *item = json_object ();
      add_str (item, "id", w->inst.id);
      add_str (item, "rack", w->inst.rack);
      add_str (item, "kind",
               w->inst.kind == INST_EXECUTOR ? "executor" : "worker");
      add_str (item, "state", worker_state_names[w->state]);
      add_bool (item, "listed", w->listed);
      add_bool (item, "leaving", w->leaving);
      add_bool (item, "quarantined", n->now_ms < w->quarantine_until_ms);
      json_object_set_new (item, "room",
                           codec_write (&res_desc, &w->inst.capacity));
      json_object_set_new (item, "used", codec_write (&res_desc, &w->used));
      json_array_append_new (list, item);
    }
  return list;
}

static json_t *
teams_json (struct node *n)
{
  json_t *list = json_array ();
  struct team *t;

  RB_FOREACH (t, team_tree, &n->sched->teams)
    {
      json_t *item = json_object ();
      add_str (item, "name", t->name);
      add_int (item, "weight", t->weight);
      add_int (item, "waiting", t->waiting);
      add_bool (item, "frozen", t->frozen);
      json_object_set_new (item, "limit", codec_write (&res_desc, &t->limit));
      json_object_set_new (item, "granted",
                           codec_write (&res_desc, &t->granted));
      json_object_set_new (item, "used", codec_write (&res_desc, &t->used));
      json_array_append_new (list, item);
    }
  return list;
}

/* Sets @counts to the number of tasks in each enum task_state. */
static void
count_states (const struct node *n, int64_t counts[TASK_STATE_N])
{
  struct task *t;

  memset (counts, 0, TASK_STATE_N * sizeof *counts);
  RB_FOREACH (t, task_tree, &n->sched->tasks)
    counts[t->state]++;
}

/* Returns the state of the domain's scheduler. */
static json_t *
sched_json (struct node *n)
{
  json_t *obj = json_object ();
  json_t *tasks = json_object ();
  int64_t counts[TASK_STATE_N];

  count_states (n, counts);
  for (int i = 0; i < TASK_STATE_N; i++)
    add_int (tasks, task_state_names[i], counts[i]);
  add_int (obj, "epoch", n->sched->epoch);
  add_bool (obj, "ready", n->sched->phase == SCHED_READY);
  add_bool (obj, "may_start", n->sched->may_start);
  add_int (obj, "journal_row", n->sched->journal.commit_seq);
  json_object_set_new (obj, "tasks", tasks);
  json_object_set_new (obj, "teams", teams_json (n));
  json_object_set_new (obj, "workers", workers_json (n));
  return obj;
}

char *
view_status (struct node *n)
{
  json_auto_t *obj = json_object ();
  char *text;

  add_str (obj, "id", n->settings.id);
  add_str (obj, "domain", n->settings.domain);
  add_int (obj, "config_version", n->head.version);
  add_int (obj, "config_age_ms", n->now_ms - n->conf_verified_ms);
  add_bool (obj, "stopping", n->stopping);
  add_int (obj, "requests_in_hand", n->n_pending);
  const char *holder = node_holder (n, n->settings.domain);
  add_str (obj, "holder", holder ? holder : "");
  json_object_set_new (obj, "peers", peers_json (n));
  if (n->sched)
    json_object_set_new (obj, "scheduler", sched_json (n));
  text = json_dumps (obj, JSON_COMPACT);
  return text;
}

/* Prints the counters that every entry instance has. */
static void
print_entry_metrics (FILE *f, const struct node *n)
{
  const struct node_stats *st = &n->stats;

  metric_print (f, "requests_total", NULL, NULL, st->requests);
  metric_print (f, "service_requests_total", NULL, NULL, st->service_requests);
  for (int i = 0; i < -CLB_ERR_LAST; i++)
    metric_print (f, "answers_total", "error", clb_err_name (-i),
                  st->answers[i]);
  for (int i = 0; i <= FORWARD_ABORTED; i++)
    metric_print (f, "forward_ends_total", "end", forward_end_names[i],
                  st->forward_ends[i]);
  metric_print (f, "call_retries_total", NULL, NULL, st->retries);
  metric_print (f, "late_replies_total", NULL, NULL, st->late_replies);
  metric_print (f, "stale_slots_total", NULL, NULL, st->stale_slots);
  metric_print (f, "store_errors_total", NULL, NULL, st->store_errors);
  metric_print (f, "hellos_total", NULL, NULL, st->hellos);
  for (int i = 0; i < WHY_N; i++)
    if (st->role_changes[i])
      metric_print (f, "changes_total", "reason", clb_reason_name (i),
                    st->role_changes[i]);
  metric_print (f, "requests_in_hand", NULL, NULL, (uint64_t)n->n_pending);
  metric_print (f, "config_version", NULL, NULL, (uint64_t)n->head.version);
  metric_print (f, "config_age_ms", NULL, NULL,
                (uint64_t)(n->now_ms - n->conf_verified_ms));
}

/* Prints a Prometheus histogram of the waiting times of each task class.  The
   bucket counts are cumulative. */
static void
print_wait_metrics (FILE *f, const struct sched_stats *st)
{
  for (int c = 0; c < CLASS_N; c++)
    {
      unsigned long long cumulative = 0;
      for (int b = 0; b < WAIT_BUCKETS; b++)
        {
          cumulative += st->wait_histogram[c][b];
          fprintf (f, "citronlb_wait_ms_bucket{class=\"%s\",le=\"",
                   task_class_names[c]);
          if (b == WAIT_BUCKETS - 1)
            fprintf (f, "+Inf\"} %llu\n", cumulative);
          else
            fprintf (f, "%lld\"} %llu\n", (long long)wait_bucket_ms[b],
                     cumulative);
        }
      metric_print (f, "wait_ms_sum", "class", task_class_names[c],
                    st->wait_sum_ms[c]);
      metric_print (f, "wait_ms_count", "class", task_class_names[c],
                    cumulative);
    }
}

/* Prints the counters of the domain's scheduler. */
static void
print_sched_metrics (FILE *f, const struct node *n)
{
  const struct sched_stats *st = &n->sched->stats;
  int64_t counts[TASK_STATE_N];

  for (int i = 0; i < WHY_N; i++)
    metric_print (f, "decisions_total", "reason", clb_reason_name (i),
                  st->reasons[i]);
  count_states (n, counts);
  for (int i = 0; i < TASK_STATE_N; i++)
    metric_print (f, "tasks", "state", task_state_names[i],
                  (uint64_t)counts[i]);
  print_wait_metrics (f, st);
  metric_print (f, "journal_groups_total", NULL, NULL, st->groups);
  metric_print (f, "journal_records_total", NULL, NULL, st->records);
  metric_print (f, "journal_retries_total", NULL, NULL, st->group_retries);
  metric_print (f, "journal_damaged_rows_total", NULL, NULL, st->damaged_rows);
  metric_print (f, "worker_syncs_total", NULL, NULL, st->syncs);
  metric_print (f, "worker_sync_failures_total", NULL, NULL,
                st->sync_failures);
  metric_print (f, "placed_total", NULL, NULL, st->placed);
  metric_print (f, "lease_epoch", NULL, NULL, (uint64_t)n->sched->epoch);
}

char *
view_metrics (struct node *n)
{
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);

  if (!f)
    return NULL;
  print_entry_metrics (f, n);
  metric_print (f, "holder", NULL, NULL, n->sched != NULL);
  if (n->sched)
    print_sched_metrics (f, n);
  fclose (f);
  return text;
}
