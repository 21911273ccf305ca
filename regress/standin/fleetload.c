/*
 * fleet-load - submits jobs at a given rate, polls their states and prints how
 * long they took.  The last line of output is "N passed, N failed": a job
 * passes if it was accepted and is reported as completed.
 *
 * With -r a job that is not accepted is submitted again under the same id, to
 * the next instance, as a caller does.  A job that every instance refused
 * passes too; the line "refused ID" is printed, and the job must never run.  A
 * job that was accepted, or whose submission has an unknown outcome, must be
 * completed, unless all tries of the latter are used up and the job does not
 * exist.  The line "lost ID" is printed for a job that is not completed in
 * time.
 */
#include "httpc.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  /* Interval between two queries for the state of a job. */
  STATE_POLL_MS = 250,
  /* From a submission that is not accepted to the next one. */
  RESUBMIT_MS = 400,
  /* Submissions of one job with -r. */
  TRIES_MAX = 8,
  /* A job that is not completed by this time after its first submission is
     counted as failed. */
  GIVE_UP_MS = 30000,
  JOBS_MAX = 100000,
};

/* struct load_job - a job and the result of its requests */
struct load_job
{
  int64_t sent_ms;      /* first submission */
  int64_t done_ms;      /* completed, failed or given up; 0: not yet */
  bool accepted;        /* or all tries are used up and one may be accepted */
  bool outcome_unknown; /* a submission may have been accepted */
  bool failed;
  int tries;
  bool request_pending;
  int64_t next_request_ms;
};

static struct httpc *http;
static uv_loop_t *loop;
static struct load_job jobs[JOBS_MAX];
static int n_jobs;        /* submitted so far */
static int n_unfinished;  /* submitted jobs without a result */
static int n_jobs_wanted; /* to be submitted in all */
static double rate;       /* jobs per second */
static int64_t started_ms;
static char **addrs;
static int n_addrs;
static int first_id;
static bool resubmit; /* -r */

static int64_t
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
finish_job (struct load_job *j, bool passed)
{
  j->failed = !passed;
  j->done_ms = now ();
  n_unfinished--;
}

static void
on_state (void *arg, int end, int status, const char *body, size_t len)
{
  struct load_job *j = arg;

  (void)len;
  j->request_pending = false;
  j->next_request_ms = now () + STATE_POLL_MS;
  if (end == HTTPC_OK && status == 410 && j->tries >= TRIES_MAX)
    finish_job (j, true);
  if (end != HTTPC_OK || status != 200 || !body)
    return;
  if (strstr (body, "completed"))
    finish_job (j, true);
  else if (strstr (body, "failed"))
    finish_job (j, false);
}

static void
on_submitted (void *arg, int end, int status, const char *body, size_t len)
{
  struct load_job *j = arg;

  (void)body;
  (void)len;
  j->request_pending = false;
  j->accepted = end == HTTPC_OK && status == 200;
  j->next_request_ms = now () + (j->accepted ? STATE_POLL_MS : RESUBMIT_MS);
  if (end != HTTPC_OK || status != 503)
    j->outcome_unknown = true;
  if (j->accepted || (resubmit && j->tries < TRIES_MAX))
    return;
  if (resubmit && !j->outcome_unknown)
    printf ("refused %016x\n", first_id + (int)(j - jobs));
  /* The state of a job that may have been accepted is queried; on_state()
     takes into account that the job may not exist. */
  if (!resubmit || !j->outcome_unknown)
    finish_job (j, resubmit);
  else
    j->accepted = true;
}

static void
send_to (int i, const char *method, const char *body,
         void (*on_end) (void *, int, int, const char *, size_t))
{
  char url[160];
  struct httpc_req rq = { .method = method,
                          .url = url,
                          .type = "application/json",
                          .header = "Key: k",
                          .body = body,
                          .body_len = body ? strlen (body) : 0,
                          .timeout_ms = 3000,
                          .connect_ms = 1000,
                          .arg = &jobs[i],
                          .on_end = on_end };

  snprintf (url, sizeof url, "http://%s/q/%016x",
            addrs[(i + jobs[i].tries) % n_addrs], first_id + i);
  jobs[i].request_pending = true;
  httpc_send (http, &rq);
}

static void
submit (int i)
{
  send_to (i, "POST",
           "{\"spec\":\"s\",\"steps\":[{\"task_count\":3,\"cpu\":500,"
           "\"mem_mb\":100,\"estimate_ms\":300}]}",
           on_submitted);
  jobs[i].tries++;
}

/* Sends the next request for a job, or gives the job up. */
static void
next_request (int i)
{
  struct load_job *j = &jobs[i];

  if (now () - j->sent_ms > GIVE_UP_MS)
    {
      if (resubmit)
        printf ("lost %016x accepted %d\n", first_id + i, j->accepted);
      finish_job (j, false);
    }
  else if (!j->accepted)
    submit (i);
  else
    send_to (i, "GET", NULL, on_state);
}

static void
on_timer (uv_timer_t *t)
{
  int64_t at = now ();

  while (n_jobs < n_jobs_wanted
         && n_jobs < (int)((double)(at - started_ms) * rate / 1000))
    {
      jobs[n_jobs].sent_ms = at;
      n_unfinished++;
      submit (n_jobs);
      n_jobs++;
    }
  for (int i = 0; i < n_jobs; i++)
    if (!jobs[i].done_ms && !jobs[i].request_pending
        && at >= jobs[i].next_request_ms)
      next_request (i);
  if (n_jobs == n_jobs_wanted && n_unfinished == 0)
    {
      uv_timer_stop (t);
      uv_stop (loop);
    }
}

static int
compare_ms (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

int
main (int argc, char **argv)
{
  static uv_timer_t timer;
  static int64_t durations_ms[JOBS_MAX];
  int passed = 0;

  resubmit = argc > 1 && strcmp (argv[1], "-r") == 0;
  argc -= resubmit;
  argv += resubmit;
  if (argc < 5)
    {
      fprintf (stderr,
               "usage: fleet-load [-r] JOBS RATE FIRST-ID IP:PORT...\n");
      return 64;
    }
  n_jobs_wanted = atoi (argv[1]) < JOBS_MAX ? atoi (argv[1]) : JOBS_MAX;
  rate = atof (argv[2]);
  first_id = atoi (argv[3]);
  addrs = argv + 4;
  n_addrs = argc - 4;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  loop = uv_default_loop ();
  http = httpc_new (loop);
  started_ms = now ();
  uv_timer_init (loop, &timer);
  uv_timer_start (&timer, on_timer, 0, 5);
  uv_run (loop, UV_RUN_DEFAULT);
  for (int i = 0; i < n_jobs; i++)
    if (!jobs[i].failed)
      durations_ms[passed++] = jobs[i].done_ms - jobs[i].sent_ms;
  qsort (durations_ms, (size_t)passed, sizeof *durations_ms, compare_ms);
  if (passed)
    printf ("shown as completed after p50 %lld ms, p99 %lld ms\n",
            (long long)durations_ms[passed / 2],
            (long long)durations_ms[(passed - 1) * 99 / 100]);
  printf ("%d passed, %d failed\n", passed, n_jobs - passed);
  return passed == n_jobs ? 0 : 1;
}
