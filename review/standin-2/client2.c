/*
 * client2 - stand-in of clients for the cases of the second review.
 *
 * usage: client2 request METHOD ADDR PATH TIMEOUT_MS [BODY]
 *          sends one request and prints "MS METHOD PATH ADDR status=S BODY";
 *          S is 0 if there is no answer within TIMEOUT_MS
 *        client2 load RATE SECONDS RETRIES GIVE_UP_MS SPEC ADDR...
 *          hands in RATE jobs a second, each at one instance after the other.
 *          After a 429 or 503, the client comes back when Retry-After says,
 *          and after no answer, a 502 or a 504 at once, RETRIES times at most.
 *          With a GIVE_UP_MS above 0, a client that has no answer by then
 *          leaves, and cancels the job.
 *
 * A job has one task, which needs 100 millicores unless SPEC says "cpu=N".
 * ADDR is IP:PORT.  Every request has the key "k" and goes to the queue at
 * "/q/" of the host "q.example".
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int64_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

struct answer
{
  int status; /* 0: none */
  int64_t retry_ms;
  char body[512];
};

/* Sends one request; returns when it is answered, or after @timeout_ms. */
static void
request (const char *method, const char *addr, const char *path,
         int64_t timeout_ms, const char *body, struct answer *out)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  static const char form[]
      = "%s %s HTTP/1.1\r\nHost: q.example\r\nKey: k\r\nTimeout-Ms: 3000\r\n"
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s";
  char ip[64], text[16384], buf[8192], *end, *at;
  int64_t end_ms = now_ms () + timeout_ms;
  size_t len = 0;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int n;

  memset (out, 0, sizeof *out);
  snprintf (ip, sizeof ip, "%s", addr);
  at = strchr (ip, ':');
  *at++ = 0;
  inet_pton (AF_INET, ip, &a.sin_addr);
  a.sin_port = htons ((uint16_t)atoi (at));
  n = snprintf (text, sizeof text, form, method, path, strlen (body), body);
  if (connect (fd, (struct sockaddr *)&a, sizeof a)
      || send (fd, text, (size_t)n, MSG_NOSIGNAL) != n)
    {
      close (fd);
      return;
    }
  for (;;)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left = end_ms - now_ms ();
      ssize_t k;
      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        break;
      k = recv (fd, buf + len, sizeof buf - 1 - len, 0);
      if (k <= 0)
        break;
      len += (size_t)k;
      buf[len] = 0;
      end = strstr (buf, "\r\n\r\n");
      at = strcasestr (buf, "\r\ncontent-length:");
      if (!end || !at || len < (size_t)(end + 4 - buf) + (size_t)atoll (at + 17))
        continue;
      out->status = atoi (buf + 9);
      snprintf (out->body, sizeof out->body, "%s", end + 4);
      at = strcasestr (buf, "\r\nretry-after:");
      if (at)
        out->retry_ms = (int64_t)(atof (at + 14) * 1000);
      break;
    }
  close (fd);
}

static char **addrs;
static int n_addrs, retries;
static int64_t give_up_ms;
static const char *spec;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int n_running;

static void
log_line (const char *method, const char *id, const char *addr, int try,
          const struct answer *a)
{
  char line[1024];

  snprintf (line, sizeof line,
            "%lld client %s %s at=%s try=%d status=%d retry_after_ms=%lld %s\n",
            (long long)now_ms (), method, id, addr, try, a->status,
            (long long)a->retry_ms, a->body);
  fputs (line, stdout);
}

struct job
{
  char id[17];
  int first;
};

static void *
job_thread (void *arg)
{
  struct job *j = arg;
  char path[64], body[2048];
  struct answer a;

  snprintf (path, sizeof path, "/q/%s", j->id);
  snprintf (body, sizeof body,
            "{\"spec\":\"%s\",\"steps\":[{\"task_count\":1,\"cpu\":%d,"
            "\"mem_mb\":16,\"estimate_ms\":100}]}",
            spec, strstr (spec, "cpu=") ? atoi (strstr (spec, "cpu=") + 4) : 100);
  for (int try = 1; try <= retries + 1; try++)
    {
      const char *addr = addrs[(j->first + try) % n_addrs];
      request ("POST", addr, path, give_up_ms ? give_up_ms : 3000, body, &a);
      log_line ("POST", j->id, addr, try, &a);
      if (give_up_ms && !a.status)
        {
          addr = addrs[(j->first + try + 1) % n_addrs];
          request ("DELETE", addr, path, 3000, "", &a);
          log_line ("DELETE", j->id, addr, 1, &a);
          break;
        }
      if (a.status == 503 || a.status == 429)
        usleep ((useconds_t)(a.retry_ms > 50 ? a.retry_ms : 50) * 1000);
      else if (a.status && a.status != 502 && a.status != 504)
        break;
    }
  free (j);
  pthread_mutex_lock (&lock);
  n_running--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

static int
load (int rate, int seconds)
{
  int n = rate * seconds;
  pthread_t thread;
  int64_t begin = now_ms ();
  pthread_attr_t attr;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 262144);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  for (int i = 0; i < n; i++)
    {
      struct job *j = calloc (1, sizeof *j);
      int64_t due = begin + (int64_t)i * 1000 / rate;
      while (now_ms () < due)
        usleep (500);
      snprintf (j->id, sizeof j->id, "%08x%08x",
                (unsigned)(begin & 0xffffffff) ^ (unsigned)getpid () << 16,
                (unsigned)i * 2654435761u);
      j->first = i;
      pthread_mutex_lock (&lock);
      n_running++;
      pthread_mutex_unlock (&lock);
      while (pthread_create (&thread, &attr, job_thread, j))
        usleep (10000);
    }
  for (int left = 1; left > 0; usleep (10000))
    {
      pthread_mutex_lock (&lock);
      left = n_running;
      pthread_mutex_unlock (&lock);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  struct answer a;

  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (argc >= 6 && !strcmp (argv[1], "request"))
    {
      request (argv[2], argv[3], argv[4], atoll (argv[5]),
               argc > 6 ? argv[6] : "", &a);
      printf ("%lld client %s %s at=%s status=%d %s\n", (long long)now_ms (),
              argv[2], argv[4], argv[3], a.status, a.body);
      return 0;
    }
  if (argc < 8 || strcmp (argv[1], "load"))
    return 2;
  retries = atoi (argv[4]);
  give_up_ms = atoll (argv[5]);
  spec = argv[6];
  addrs = argv + 7;
  n_addrs = argc - 7;
  return load (atoi (argv[2]), atoi (argv[3]));
}
