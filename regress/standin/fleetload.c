/*
 * fleet-load - submits jobs at a given rate, polls their states and prints how
 * long it took until they were reported as completed.
 *
 * usage: fleet-load [-r] [-c] [-l] JOBS RATE FIRST-ID IP:PORT...
 *
 * The last line of output is "N passed, N failed".  A job passes if it was
 * accepted and is reported as completed.
 *
 * With -r the program retries submissions, as a caller would.  If a submission
 * is not accepted, the program submits the job again, under the same id, to
 * the next instance, until TRIES_MAX submissions were sent.  The results are:
 * - A job passes if every submission was refused.  The program prints a line
 *   "refused ID".  The job must never run.
 * - A job that was accepted must be completed.
 * - A job must also be completed if the outcome of a submission is unknown.
 *   Such a job passes as well if all tries are used up and the job does not
 *   exist (HTTP status 410).
 * - The program prints a line "lost ID" for a job that is not completed in
 *   time.
 *
 * With -c the program cancels each CANCEL_EACH-th job once it is accepted.
 * Such a job passes if it is reported as cancelled or completed.
 *
 * With -l each LONG_EACH-th job has tasks of LONG_MS that need less, and save
 * checkpoints of one of several lengths.
 */
#include "clb.h"
#include "httpc.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  /* Interval between two queries for the state of the same job. */
  STATE_POLL_MS = 250,
  /* With -r: time from the failure of a submission to the next submission of
     the job. */
  RESUBMIT_MS = 400,
  /* With -r: largest number of submissions of one job. */
  TRIES_MAX = 8,
  /* A job fails if it is not completed within this time of its first
     submission. */
  GIVE_UP_MS = 30000,
  /* With -c: one job of so many is cancelled. */
  CANCEL_EACH = 8,
  /* With -l: one job of so many has tasks of LONG_MS. */
  LONG_EACH = 10,
  LONG_MS = 6000,
  JOBS_MAX = 100000,
};

static const int checkpoint_bytes[] = { 16, 63, 64, 300, 4000, 5000, 65537 };

/* struct load_job - a job, its submissions and its result */
struct load_job
{
  int64_t first_sent_ms; /* time of the first submission */
  int64_t finished_ms;   /* time when the job passed or failed; 0: not yet */
  /* True if the next request queries the job's state instead of submitting the
     job: a submission was accepted, or all tries are used up and one of them
     may have been accepted. */
  bool polls_state;
  /* True if a submission ended without a clear answer, so that it may have
     been accepted. */
  bool outcome_unknown;
  bool failed;
  bool cancel_sent;        /* a cancellation was sent */
  bool cancelled;          /* a cancellation was confirmed */
  int n_tries;             /* number of submissions of the job so far */
  bool request_pending;    /* a request is waiting for its answer */
  int64_t next_request_ms; /* time of the next request */
};

static struct httpc *http;
static uv_loop_t *loop;
static struct load_job jobs[JOBS_MAX];
static int n_jobs;           /* number of jobs submitted so far */
static int n_unfinished;     /* number of submitted jobs without a result */
static int n_jobs_to_submit; /* number of jobs to submit in all */
static double jobs_per_s;    /* rate of first submissions */
static int64_t started_ms;   /* start of the program, by CLOCK_MONOTONIC */
static char **addrs;
static int n_addrs;
static int first_id;  /* job i has the id first_id + i */
static bool resubmit; /* option -r: submit jobs again that are not accepted */
static bool cancel;   /* option -c: cancel some jobs */
static bool has_long; /* option -l: some jobs have long tasks */

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
  j->finished_ms = now ();
  n_unfinished--;
}

/* Handles the answer to a query for the state of a job.
   @result: enum httpc_result */
static void
on_state_answer (void *arg, int result, int status, const char *body,
                 size_t len)
{
  struct load_job *j = arg;

  (void)len;
  j->request_pending = false;
  j->next_request_ms = now () + STATE_POLL_MS;
  if (result == HTTPC_OK && status == 410 && j->n_tries >= TRIES_MAX)
    finish_job (j, true);
  if (result != HTTPC_OK || status != 200 || !body)
    return;
  if (strstr (body, "completed")
      || (j->cancel_sent && strstr (body, "cancelled")))
    finish_job (j, true);
  else if (strstr (body, "failed"))
    finish_job (j, false);
}

/* Handles the answer to a cancellation.
   @result: enum httpc_result */
static void
on_cancel_answer (void *arg, int result, int status, const char *body,
                  size_t len)
{
  struct load_job *j = arg;

  (void)body;
  (void)len;
  j->request_pending = false;
  j->next_request_ms = now () + STATE_POLL_MS;
  j->cancelled = result == HTTPC_OK && (status == 200 || status == 410);
}

/* Handles the answer to a submission.
   @result: enum httpc_result */
static void
on_submit_answer (void *arg, int result, int status, const char *body,
                  size_t len)
{
  struct load_job *j = arg;

  (void)body;
  (void)len;
  j->request_pending = false;
  j->polls_state = result == HTTPC_OK && status == 200;
  j->next_request_ms = now () + (j->polls_state ? STATE_POLL_MS : RESUBMIT_MS);
  if (result != HTTPC_OK || status != 503)
    j->outcome_unknown = true;
  if (j->polls_state || (resubmit && j->n_tries < TRIES_MAX))
    return;
  if (resubmit && !j->outcome_unknown)
    printf ("refused %016x\n", first_id + (int)(j - jobs));
  /* If a submission may have been accepted, query the job's state.  The job
     may not exist; on_state_answer() lets such a job pass. */
  if (!resubmit || !j->outcome_unknown)
    finish_job (j, resubmit);
  else
    j->polls_state = true;
}

/* Sends a request for job @i to an instance; each submission of the job goes
   to the next instance. */
static void
send_request (int i, const char *method, const char *body,
              void (*on_end) (void *, int, int, const char *, size_t))
{
  char url[160];
  struct httpc_req rq = { .method = method,
                          .url = url,
                          .content_type = "application/json",
                          .extra_header = "Key: k",
                          .body = body,
                          .body_len = body ? strlen (body) : 0,
                          .timeout_ms = 3000,
                          .connect_timeout_ms = 1000,
                          .arg = &jobs[i],
                          .on_end = on_end };

  snprintf (url, sizeof url, "http://%s/q/%016x",
            addrs[(i + jobs[i].n_tries) % n_addrs], first_id + i);
  jobs[i].request_pending = true;
  httpc_send (http, &rq);
}

static void
submit_job (int i)
{
  bool is_long = has_long && i % LONG_EACH == 0;
  int cpu = is_long ? 50 : 500;
  int ms = is_long ? LONG_MS : 300;
  int saves = is_long ? checkpoint_bytes[i / LONG_EACH
                                         % (int)CLB_COUNT (checkpoint_bytes)]
                      : 0;
  char body[256];

  snprintf (body, sizeof body,
            "{\"spec\":\"cpu=%d account=red steps=3x%d saves=%d\",\"steps\":[{"
            "\"task_count\":3,\"cpu\":%d,\"mem_mb\":100,"
            "\"estimate_ms\":%d}]}",
            cpu, ms, saves, cpu, ms);
  send_request (i, "POST", body, on_submit_answer);
  jobs[i].n_tries++;
}

/* Sends the next request for job @i.  If GIVE_UP_MS have passed since the
   first submission, the job fails and no request is sent. */
static void
send_next_request (int i)
{
  struct load_job *j = &jobs[i];

  if (now () - j->first_sent_ms > GIVE_UP_MS)
    {
      if (resubmit)
        printf ("lost %016x accepted %d\n", first_id + i, j->polls_state);
      finish_job (j, false);
    }
  else if (!j->polls_state)
    submit_job (i);
  else if (cancel && i % CANCEL_EACH == 0 && !j->cancelled)
    {
      j->cancel_sent = true;
      send_request (i, "DELETE", NULL, on_cancel_answer);
    }
  else
    send_request (i, "GET", NULL, on_state_answer);
}

static void
on_timer (uv_timer_t *t)
{
  int64_t now_ms = now ();

  while (n_jobs < n_jobs_to_submit
         && n_jobs < (int)((double)(now_ms - started_ms) * jobs_per_s / 1000))
    {
      jobs[n_jobs].first_sent_ms = now_ms;
      n_unfinished++;
      submit_job (n_jobs);
      n_jobs++;
    }
  for (int i = 0; i < n_jobs; i++)
    if (!jobs[i].finished_ms && !jobs[i].request_pending
        && now_ms >= jobs[i].next_request_ms)
      send_next_request (i);
  if (n_jobs == n_jobs_to_submit && n_unfinished == 0)
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

  for (; argc > 1 && *argv[1] == '-'; argc--, argv++)
    if (strcmp (argv[1], "-r") == 0)
      resubmit = true;
    else if (strcmp (argv[1], "-c") == 0)
      cancel = true;
    else if (strcmp (argv[1], "-l") == 0)
      has_long = true;
  if (argc < 5)
    {
      fprintf (stderr, "usage: fleet-load [-r] [-c] [-l] JOBS RATE FIRST-ID "
                       "IP:PORT...\n");
      return 64;
    }
  n_jobs_to_submit = atoi (argv[1]) < JOBS_MAX ? atoi (argv[1]) : JOBS_MAX;
  jobs_per_s = atof (argv[2]);
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
      durations_ms[passed++] = jobs[i].finished_ms - jobs[i].first_sent_ms;
  qsort (durations_ms, (size_t)passed, sizeof *durations_ms, compare_ms);
  if (passed)
    printf ("shown as completed after p50 %lld ms, p99 %lld ms\n",
            (long long)durations_ms[passed / 2],
            (long long)durations_ms[(passed - 1) * 99 / 100]);
  printf ("%d passed, %d failed\n", passed, n_jobs - passed);
  return passed == n_jobs ? 0 : 1;
}
