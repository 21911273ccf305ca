/*
 * fleet-mix - submits jobs of several queues at given rates for a while, and
 * then prints how many of the accepted ones are not started.
 *
 * usage: fleet-mix [-s SEED] [-x FACTOR] [-t TRAFFIC_S] [-w TASK_MS]
 *                  [-l LIMIT_S] [-a ACCOUNTS] [-p POLLS_S]
 *                  [-H AT_S,FOR_S,TIMES]... -i FIFO -d DIR
 *                  -q NAME,FIELD=VALUE... [-q ...] IP:PORT...
 *
 * Each queue has the host NAME and the prefix /q/; the ids of the jobs of the
 * N-th queue begin with the digit N.  Jobs go to the given instances in turn,
 * with the keys k1, k2... of ACCOUNTS client accounts in turn.  FACTOR
 * multiplies the rates.  With TASK_MS, each task is meant to take that long.
 * With -H, the first account sends TIMES its usual rate from AT_S for FOR_S.
 * For the fields of a queue see struct queue.
 *
 * After the traffic the program asks fleet-standin each second, by the command
 * "left" through FIFO, which jobs have started, which are left (nothing of
 * them runs although permitted executors have room for them twice over) and
 * which are done.  Files go to DIR.  It asks instances for the states of
 * POLLS_S (50) jobs a second, and of jobs that are done.
 *
 * At the times report_s after the traffic the program prints a line for each
 * queue:
 *   after S QUEUE accepted N pending N unfinished N left N left3 N held3 N
 *   rule3 N
 * Jobs are "pending" until a task has started, and "unfinished" until an
 * instance says that they are completed; "left3" are jobs that have been left
 * for 3 s, "held3" those of them for which the limit of their account had no
 * room at times, and "rule3" those that the users' rule counts, see enum left
 * of fleet-standin.  Then it prints, for each queue, submissions and the waits
 * of jobs of the last LATE_S of the traffic, from the first submission to the
 * first start.  Gangs that their permitted executors could not hold even while
 * idle are no part of the waits, and are counted as "cannot".  The program
 * ends when all other accepted jobs are completed, or LIMIT_S after the
 * traffic.
 */
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  QUEUES_MAX = 8,
  HOT_MAX = 4, /* largest number of windows with a busier account */
  STEPS_MAX = 2,
  JOBS_MAX = 100000,
  /* Interval between two queries for the state of the same job. */
  STATE_POLL_MS = 1000,
  /* Time after which a refused job is submitted again. */
  RESUBMIT_MS = 400,
  TRIES_MAX = 5,        /* largest number of submissions of a job */
  REQUEST_MS = 3000,    /* time budget of a request */
  IN_FLIGHT_MAX = 200,  /* largest number of requests at a time */
  CONNECTIONS_MAX = 16, /* largest number of connections to an instance */
  LATE_S = 10,          /* the waits of jobs of this time are printed */
  LEFT_S = 3,           /* a job that is left for this time counts */
  POLL_MS = 2,          /* longest wait for events */
  ID_SIZE = 32,         /* size of the buffer of a job's id */
  BODY_SIZE = 1024,     /* size of the buffer of a submission */
};

static const int report_s[] = { 5, 7, 12, 14, 20, 30, 40, 60 };

/* struct queue - the jobs of a queue; times are means in ms; a spread is the
   standard deviation over the mean */
struct queue
{
  char name[32];
  double rate;                           /* jobs a second */
  double steps;                          /* mean number of steps, 1 to 2 */
  double width, width_spread, width_max; /* tasks of a step */
  double work, work_spread, work_max;    /* ms of a task */
  double cpu, cpu_spread, cpu_max;       /* thousandths of a core of a task */
  double mem, mem_spread, mem_max;       /* MB of a task */
  double gang;                           /* share of jobs that are gangs */
  double est_spread; /* error of the estimate of a task's time */
  /* Every so many seconds, at FACTOR 1, a job of this many tasks is added. */
  double wide_s, wide;
  double next_at_s, next_wide_at_s; /* time of the next job; of a wide one */
  double next_hot_at_s[HOT_MAX];    /* time of the next job of a window */
  int n_refused, n_unknown, n_tries;
};

/* struct field - a field of a queue on the command line */
struct field
{
  const char *name;
  size_t at;
};

#define FIELD(name)                                                           \
  {                                                                           \
#name, offsetof(struct queue, name)                                       \
  }
static const struct field fields[]
    = { FIELD (rate),         FIELD (steps),     FIELD (width),
        FIELD (width_spread), FIELD (width_max), FIELD (work),
        FIELD (work_spread),  FIELD (work_max),  FIELD (cpu),
        FIELD (cpu_spread),   FIELD (cpu_max),   FIELD (mem),
        FIELD (mem_spread),   FIELD (mem_max),   FIELD (gang),
        FIELD (est_spread),   FIELD (wide_s),    FIELD (wide) };

enum job_state
{
  JOB_SUBMITTED, /* no clear answer yet */
  JOB_REFUSED,   /* refused, or its outcome is not known */
  JOB_ACCEPTED,
  JOB_ENDED,
};

/* struct mix_job - a job */
struct mix_job
{
  struct queue *queue;
  int number; /* in its queue, from 1 */
  int account;
  int n_steps;
  int tasks[STEPS_MAX];
  int work_ms[STEPS_MAX];
  int estimate_ms[STEPS_MAX];
  int cpu, mem;
  bool gang;
  enum job_state state;
  bool completed;
  bool request_pending;
  bool outcome_unknown;
  int n_tries;
  int64_t first_sent_ms;
  int64_t begun_ms;  /* time of the first start; 0: none */
  bool done;         /* all its steps are done */
  int64_t next_ms;   /* time of the next request */
  int n_left;        /* seconds for which it has been left so far */
  int n_unheld;      /* the same without the limit of its account */
  int n_rule;        /* the same by the users' rule */
  bool cannot_start; /* its permitted executors are too few for its gang */
};

/* struct hot - a window in which the first account sends more jobs */
struct hot
{
  double at_s, for_s;
  double times; /* rate over the account's usual one */
};

/* Values of LEFT in the answers of fleet-standin. */
enum left
{
  LEFT_NOT,
  LEFT_IDLE,
  LEFT_HELD,
  LEFT_RULE,
  LEFT_NEVER,
};

/* struct call - a request that is pending */
struct call
{
  struct mix_job *job;
  bool submits;
  char body[256]; /* start of the answer */
  size_t len;
  char request[BODY_SIZE];
  struct curl_slist *headers;
};

static CURLM *multi;
static struct queue queues[QUEUES_MAX];
static int n_queues;
static struct mix_job jobs[JOBS_MAX];
static int n_jobs;
static char **addrs;
static int n_addrs;
static int n_accounts = 1;
static struct hot hots[HOT_MAX];
static int n_hots;
static double factor = 1;
static double traffic_s = 25;
static double limit_s = 62;
static double polls_per_s = 50;
static int fixed_task_ms;
static uint64_t rng_state = 1;
static int64_t started_ms;
static int n_in_flight;
static int next_addr;
static int fifo = -1;
static const char *fifo_dir;
static int n_left_asked;  /* commands "left" sent so far */
static bool left_pending; /* the last one has no result yet */
static int cores_used, standin_lag_ms, standin_lag_max_ms;

static int64_t
now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static double
elapsed_s (void)
{
  return (double)(now () - started_ms) / 1000;
}

/* Return: a pseudorandom number above 0 and below 1. */
static double
random_share (void)
{
  rng_state ^= rng_state << 13;
  rng_state ^= rng_state >> 7;
  rng_state ^= rng_state << 17;
  return ((double)(rng_state >> 12) + 0.5) / 4503599627370496.0;
}

/* Return: a number of the log-normal distribution with this mean, at most
   @max. */
static double
draw (double mean, double spread, double max)
{
  double sigma2 = log (1 + spread * spread);
  double normal = sqrt (-2 * log (random_share ()))
                  * cos (6.283185307179586 * random_share ());
  double x = exp (log (mean) - sigma2 / 2 + sqrt (sigma2) * normal);

  return max > 0 && x > max ? max : x;
}

static int
draw_int (double mean, double spread, double max)
{
  int n = (int)(draw (mean, spread, max) + 0.5);

  return n > 0 ? n : 1;
}

/* Adds a job of a queue.
   @wide: number of tasks of its only step; 0: steps as drawn
   @account: its account; 0: the next in turn */
static void
add_job (struct queue *q, int wide, int account)
{
  struct mix_job *j = &jobs[n_jobs];
  int64_t now_ms = now ();

  if (n_jobs == JOBS_MAX)
    return;
  *j = (struct mix_job){ .queue = q, .first_sent_ms = now_ms };
  j->number = ++n_jobs;
  j->account = account ? account : 1 + n_jobs % n_accounts;
  j->gang = wide || random_share () < q->gang;
  j->n_steps = wide ? 1 : 1 + (random_share () < q->steps - 1);
  j->cpu = wide ? (int)q->cpu : draw_int (q->cpu, q->cpu_spread, q->cpu_max);
  j->mem = wide ? (int)q->mem : draw_int (q->mem, q->mem_spread, q->mem_max);
  for (int i = 0; i < j->n_steps; i++)
    {
      int work_ms = draw_int (q->work, q->work_spread, q->work_max);
      int tasks = draw_int (q->width, q->width_spread, q->width_max);
      j->work_ms[i] = fixed_task_ms ? fixed_task_ms : work_ms;
      j->estimate_ms[i] = draw_int (j->work_ms[i], q->est_spread, 0);
      j->tasks[i] = wide ? wide : tasks;
    }
}

/* Adds the due jobs that the first account sends beyond its usual ones in
   window @i. */
static void
add_hot_jobs (struct queue *q, int i, double at_s)
{
  const struct hot *h = &hots[i];
  double rate = q->rate * factor * (h->times - 1) / n_accounts;
  double *next_s = &q->next_hot_at_s[i];

  if (*next_s <= 0)
    *next_s = h->at_s;
  for (; rate > 0 && *next_s <= at_s && *next_s < h->at_s + h->for_s;
       *next_s += -log (random_share ()) / rate)
    if (*next_s > h->at_s)
      add_job (q, 0, 1);
}

static void
add_due_jobs (void)
{
  double at_s = elapsed_s ();

  for (struct queue *q = queues; at_s < traffic_s && q < queues + n_queues;
       q++)
    {
      for (; q->next_at_s <= at_s;
           q->next_at_s += -log (random_share ()) / (q->rate * factor))
        add_job (q, 0, 0);
      for (; q->wide > 0 && q->next_wide_at_s <= at_s;
           q->next_wide_at_s += q->wide_s / factor)
        add_job (q, (int)q->wide, 0);
      for (int i = 0; i < n_hots; i++)
        add_hot_jobs (q, i, at_s);
    }
}

static void
job_id (const struct mix_job *j, char out[ID_SIZE])
{
  snprintf (out, ID_SIZE, "%d%015x", 1 + (int)(j->queue - queues), j->number);
}

/* Writes the body of the job's submission to @out. */
static void
write_job (const struct mix_job *j, char out[BODY_SIZE])
{
  char spec[128] = "";
  char steps[BODY_SIZE - 200] = "";
  size_t n = 0;
  size_t m = 0;

  for (int i = 0; i < j->n_steps; i++)
    {
      n += (size_t)snprintf (spec + n, sizeof spec - n, "%s%dx%d",
                             i ? "," : "", j->tasks[i], j->work_ms[i]);
      m += (size_t)snprintf (
          steps + m, sizeof steps - m,
          "%s{\"task_count\":%d,\"cpu\":%d,\"mem_mb\":%d,\"estimate_ms\":%d%s"
          "%s}",
          i ? "," : "", j->tasks[i], j->cpu, j->mem, j->estimate_ms[i],
          j->gang ? ",\"gang\":true" : "", i ? ",\"after\":[0]" : "");
    }
  snprintf (out, BODY_SIZE,
            "{\"spec\":\"cpu=%d account=t%d mem=%d gang=%d steps=%s\","
            "\"steps\":[%s]}",
            j->cpu, j->account, j->mem, j->gang, spec, steps);
}

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  struct call *c = arg;

  for (size_t i = 0; i < size * n && c->len + 1 < sizeof c->body; i++)
    c->body[c->len++] = data[i];
  return size * n;
}

/* Sends the next request for a job to the next instance: its submission, or a
   query for its state. */
static void
send_request (struct mix_job *j)
{
  struct call *c = calloc (1, sizeof *c);
  CURL *easy = curl_easy_init ();
  char url[160];
  char header[64];
  char id[ID_SIZE];

  c->job = j;
  c->submits = j->state == JOB_SUBMITTED;
  job_id (j, id);
  snprintf (url, sizeof url, "http://%s/q/%s", addrs[next_addr++ % n_addrs],
            id);
  snprintf (header, sizeof header, "Host: %s", j->queue->name);
  c->headers = curl_slist_append (NULL, header);
  snprintf (header, sizeof header, "Key: k%d", j->account);
  c->headers = curl_slist_append (c->headers, header);
  if (c->submits)
    {
      j->n_tries++;
      j->queue->n_tries++;
      write_job (j, c->request);
      c->headers
          = curl_slist_append (c->headers, "Content-Type: application/json");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, c->request);
    }
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, c->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_MS);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, c);
  j->request_pending = true;
  n_in_flight++;
  curl_multi_add_handle (multi, easy);
}

/* Return: true if the wait of the job is measured. */
static bool
is_late_job (const struct mix_job *j)
{
  return (double)(j->first_sent_ms - started_ms) / 1000 >= traffic_s - LATE_S;
}

/* Handles the answer to a submission.
   @status: HTTP status; 0: no answer */
static void
on_submit_answer (struct mix_job *j, long status)
{
  if (status == 200)
    j->state = JOB_ACCEPTED;
  else if (status == 503 || status == 429)
    j->queue->n_refused++;
  else
    {
      j->queue->n_unknown++;
      j->outcome_unknown = true;
    }
  if (status == 200 || j->n_tries < TRIES_MAX)
    return;
  j->state = JOB_REFUSED;
}

static void
on_state_answer (struct mix_job *j, long status, const char *body)
{
  if (status != 200)
    return;
  if (strstr (body, "pending") || strstr (body, "running"))
    return;
  j->state = JOB_ENDED;
  j->completed = strstr (body, "completed") != NULL;
}

static void
end_request (CURL *easy)
{
  struct call *c;
  struct mix_job *j;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&c);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  c->body[c->len] = '\0';
  j = c->job;
  j->request_pending = false;
  n_in_flight--;
  if (c->submits)
    on_submit_answer (j, status);
  else
    on_state_answer (j, status, c->body);
  j->next_ms
      = now () + (j->state == JOB_SUBMITTED ? RESUBMIT_MS : STATE_POLL_MS);
  curl_multi_remove_handle (multi, easy);
  curl_easy_cleanup (easy);
  curl_slist_free_all (c->headers);
  free (c);
}

/* Sends the requests that are due: submissions first, then queries for the
   states of jobs that are done, and of others at a limited rate. */
static void
send_due_requests (void)
{
  static int next;
  static double n_polls;
  int64_t now_ms = now ();

  for (int i = 0; i < n_jobs; i++)
    if (jobs[i].state == JOB_SUBMITTED && !jobs[i].request_pending
        && now_ms >= jobs[i].next_ms)
      send_request (&jobs[i]);
  for (int n = n_jobs; n > 0 && n_in_flight < IN_FLIGHT_MAX; n--)
    {
      struct mix_job *j = &jobs[next++ % n_jobs];
      if (j->state != JOB_ACCEPTED || j->request_pending || now_ms < j->next_ms
          || (!j->done && n_polls >= elapsed_s () * polls_per_s))
        continue;
      n_polls += !j->done;
      send_request (j);
    }
}

static void
run_curl (void)
{
  CURLMsg *msg;
  int n;

  curl_multi_perform (multi, &n);
  while ((msg = curl_multi_info_read (multi, &n)))
    if (msg->msg == CURLMSG_DONE)
      end_request (msg->easy_handle);
  curl_multi_poll (multi, NULL, 0, POLL_MS, NULL);
}

/* Return: true for an accepted job that is not known to be completed. */
static bool
is_unfinished (const struct mix_job *j)
{
  return j->state == JOB_ACCEPTED;
}

/* Asks the stand-in about the jobs that are unfinished, or whose start is not
   known. */
static void
ask_left (void)
{
  char path[300];
  char command[700];
  char id[ID_SIZE];
  FILE *f;
  int len;

  snprintf (path, sizeof path, "%s/left.in", fifo_dir);
  f = fopen (path, "w");
  if (!f)
    return;
  for (struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    if (is_unfinished (j) || (j->state == JOB_ENDED && !j->begun_ms))
      {
        job_id (j, id);
        fprintf (f, "%s t%d %d %d %d", id, j->account, j->cpu, j->mem,
                 j->gang);
        for (int i = 0; i < j->n_steps; i++)
          fprintf (f, " %d", j->tasks[i]);
        fprintf (f, "\n");
      }
  fclose (f);
  len = snprintf (command, sizeof command, "left %s/left.in %s/left.%d\n",
                  fifo_dir, fifo_dir, ++n_left_asked);
  left_pending = write (fifo, command, (size_t)len) == len;
}

static struct mix_job *
find_job (const char *id)
{
  long number = strtol (id + 1, NULL, 16);

  return number > 0 && number <= n_jobs ? &jobs[number - 1] : NULL;
}

/* Notes a line of the stand-in's answer about a job. */
static void
read_left_line (const char *line)
{
  struct mix_job *j = find_job (line);
  long long begun_ms = 0;
  int left = 0;
  int done = 0;

  if (!j || sscanf (line, "%*s %lld %d %d", &begun_ms, &left, &done) != 3)
    return;
  j->begun_ms = begun_ms;
  j->cannot_start = left == LEFT_NEVER;
  j->n_left = left != LEFT_NOT && left != LEFT_NEVER ? j->n_left + 1 : 0;
  j->n_unheld = left == LEFT_IDLE || left == LEFT_RULE ? j->n_unheld + 1 : 0;
  j->n_rule = left == LEFT_RULE ? j->n_rule + 1 : 0;
  if (done && !j->done)
    j->next_ms = 0;
  j->done = done;
}

/* Reads which jobs are left, if the stand-in has answered. */
static void
read_left (void)
{
  char path[300];
  char line[64];
  FILE *f;

  snprintf (path, sizeof path, "%s/left.%d", fifo_dir, n_left_asked);
  f = fopen (path, "r");
  if (!f)
    return;
  left_pending = false;
  while (fgets (line, sizeof line, f))
    if (sscanf (line, "end %d %d", &cores_used, &standin_lag_ms) != 2)
      read_left_line (line);
  fclose (f);
  unlink (path);
  if (standin_lag_ms > standin_lag_max_ms)
    standin_lag_max_ms = standin_lag_ms;
}

static void
print_queue_counts (const struct queue *q, int after_s)
{
  int n_accepted = 0, n_pending = 0, n_unfinished = 0, n_left = 0, n_left3 = 0;
  int n_held3 = 0, n_rule3 = 0;

  for (const struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    {
      if (j->queue != q)
        continue;
      n_accepted += is_unfinished (j) || j->state == JOB_ENDED;
      n_pending += is_unfinished (j) && !j->begun_ms;
      n_unfinished += is_unfinished (j);
      n_left += is_unfinished (j) && j->n_left > 0;
      n_left3 += is_unfinished (j) && j->n_left > LEFT_S;
      n_held3
          += is_unfinished (j) && j->n_left > LEFT_S && j->n_unheld <= LEFT_S;
      n_rule3 += is_unfinished (j) && j->n_rule > LEFT_S;
    }
  printf ("after %d %s accepted %d pending %d unfinished %d left %d left3 %d "
          "held3 %d rule3 %d\n",
          after_s, q->name, n_accepted, n_pending, n_unfinished, n_left,
          n_left3, n_held3, n_rule3);
}

static int
compare_ms (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Prints how long the jobs of a queue waited, of the last LATE_S of the
   traffic.  Those that still wait count with their time so far. */
static void
print_waits (const struct queue *q)
{
  static int64_t waits_ms[JOBS_MAX];
  int n = 0;
  int n_never = 0;
  int n_cannot = 0;

  for (const struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    if (j->queue == q && is_late_job (j) && !j->cannot_start
        && (is_unfinished (j) || j->state == JOB_ENDED))
      {
        n_never += !j->begun_ms;
        waits_ms[n++]
            = (j->begun_ms ? j->begun_ms : now ()) - j->first_sent_ms;
      }
  for (const struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    n_cannot += j->queue == q && j->cannot_start;
  qsort (waits_ms, (size_t)n, sizeof *waits_ms, compare_ms);
  printf ("%s tries %d refused %d unknown %d cannot %d", q->name, q->n_tries,
          q->n_refused, q->n_unknown, n_cannot);
  if (n)
    printf (" waits_of %d p50_ms %lld p99_ms %lld max_ms %lld never %d", n,
            (long long)waits_ms[n / 2],
            (long long)waits_ms[(n - 1) * 99 / 100],
            (long long)waits_ms[n - 1], n_never);
  printf ("\n");
}

/* Return: number of accepted jobs that are not completed, and of those that
   are still being submitted. */
static int
count_unfinished (void)
{
  int n = 0;

  for (const struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    n += (is_unfinished (j) && !j->cannot_start) || j->state == JOB_SUBMITTED;
  return n;
}

static bool
is_report_time (int after_s)
{
  for (size_t i = 0; i < sizeof report_s / sizeof *report_s; i++)
    if (report_s[i] == after_s)
      return true;
  return false;
}

/* Prints the counts of all queues if it is time for that. */
static void
report (int after_s)
{
  if (!is_report_time (after_s))
    return;
  for (int i = 0; i < n_queues; i++)
    print_queue_counts (&queues[i], after_s);
  printf ("after %d cores %d standin_lag_ms %d\n", after_s, cores_used,
          standin_lag_ms);
  fflush (stdout);
}

/* Return: false once the play is over. */
static bool
each_second (int after_s)
{
  if (after_s >= 0 && !left_pending)
    ask_left ();
  if (after_s == 0)
    printf ("traffic ended at %lld, %d jobs\n", (long long)time (NULL),
            n_jobs);
  if (after_s > 0)
    report (after_s);
  if (after_s > 0 && count_unfinished () == 0)
    {
      printf ("all completed after %d s\n", after_s);
      return false;
    }
  return after_s < limit_s;
}

static void
print_unfinished (void)
{
  char id[ID_SIZE];

  for (const struct mix_job *j = jobs; j < jobs + n_jobs; j++)
    if (is_unfinished (j))
      {
        job_id (j, id);
        printf ("unfinished %s %s t%d %s gang %d tasks %d,%d cpu %d mem %d "
                "left_s %d unheld_s %d age_s %lld\n",
                id, j->queue->name, j->account,
                j->begun_ms ? "begun" : "pending", j->gang, j->tasks[0],
                j->tasks[1], j->cpu, j->mem, j->n_left, j->n_unheld,
                (long long)(now () - j->first_sent_ms) / 1000);
      }
}

/* Reads a queue from the command line.  Return: false if it is not valid. */
static bool
read_queue (char *text)
{
  struct queue *q = &queues[n_queues++];
  char *save;
  char *word = strtok_r (text, ",", &save);

  if (n_queues > QUEUES_MAX - 1 || !word)
    return false;
  snprintf (q->name, sizeof q->name, "%s", word);
  while ((word = strtok_r (NULL, ",", &save)))
    {
      char *value = strchr (word, '=');
      size_t i = 0;
      if (!value)
        return false;
      *value++ = '\0';
      while (i < sizeof fields / sizeof *fields
             && strcmp (fields[i].name, word) != 0)
        i++;
      if (i == sizeof fields / sizeof *fields)
        return false;
      *(double *)((char *)q + fields[i].at) = atof (value);
    }
  return q->rate > 0 && q->width > 0 && q->work > 0 && q->cpu > 0
         && q->mem > 0;
}

/* Reads a window from the command line.  Return: false if it is not valid. */
static bool
read_hot (const char *text)
{
  struct hot *h = &hots[n_hots];

  if (n_hots == HOT_MAX
      || sscanf (text, "%lf,%lf,%lf", &h->at_s, &h->for_s, &h->times) != 3)
    return false;
  n_hots++;
  return h->at_s >= 0 && h->for_s > 0 && h->times >= 1;
}

static bool
read_option (int opt)
{
  switch (opt)
    {
    case 's':
      rng_state
          = strtoull (optarg, NULL, 10) * 2654435761u + 88172645463325252;
      return true;
    case 'x':
      factor = atof (optarg);
      return factor > 0;
    case 't':
      traffic_s = atof (optarg);
      return true;
    case 'w':
      fixed_task_ms = atoi (optarg);
      return true;
    case 'l':
      limit_s = atof (optarg);
      return true;
    case 'a':
      n_accounts = atoi (optarg);
      return n_accounts > 0;
    case 'p':
      polls_per_s = atof (optarg);
      return true;
    case 'i':
      fifo = open (optarg, O_RDWR);
      return fifo >= 0;
    case 'd':
      fifo_dir = optarg;
      return true;
    case 'H':
      return read_hot (optarg);
    case 'q':
      return read_queue (optarg);
    default:
      return false;
    }
}

int
main (int argc, char **argv)
{
  int last_s = INT32_MIN;
  bool valid = true;
  int opt;

  while ((opt = getopt (argc, argv, "s:x:t:w:l:a:p:H:i:d:q:")) != -1)
    valid = valid && read_option (opt);
  addrs = argv + optind;
  n_addrs = argc - optind;
  if (!valid || !n_addrs || !n_queues || fifo < 0 || !fifo_dir)
    {
      fprintf (stderr, "usage: fleet-mix [-s SEED] [-x FACTOR] [-t TRAFFIC_S] "
                       "[-w TASK_MS] [-l LIMIT_S] [-a ACCOUNTS] "
                       "[-p POLLS_S] [-H AT_S,FOR_S,TIMES]... -i FIFO -d DIR "
                       "-q NAME,FIELD=VALUE... [-q ...] "
                       "IP:PORT...\n");
      return 64;
    }
  for (int i = 0; i < n_queues; i++)
    queues[i].next_wide_at_s = queues[i].wide_s / 2 / factor;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  multi = curl_multi_init ();
  curl_multi_setopt (multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)CONNECTIONS_MAX);
  curl_multi_setopt (multi, CURLMOPT_MAXCONNECTS, 1024L);
  started_ms = now ();
  for (;;)
    {
      int after_s = (int)floor (elapsed_s () - traffic_s);
      add_due_jobs ();
      send_due_requests ();
      run_curl ();
      if (left_pending)
        read_left ();
      if (after_s == last_s)
        continue;
      last_s = after_s;
      if (!each_second (after_s))
        break;
    }
  for (int i = 0; i < n_queues; i++)
    print_waits (&queues[i]);
  printf ("standin_lag_max_ms %d\n", standin_lag_max_ms);
  print_unfinished ();
  return 0;
}
