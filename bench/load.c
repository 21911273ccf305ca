/*
 * load - sends HTTP requests and prints their latencies as a JSON line.
 * usage: load URL KEY REQUESTS IN-FLIGHT LABEL [BODY]
 *
 * IN-FLIGHT requests are outstanding at any time.  The first %d in BODY is
 * replaced by the number of requests that are still to be sent, so that each
 * body differs.  A request counts as "good" if its answer has status 200 or
 * 202, and as "bad" otherwise.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  IN_FLIGHT_MAX = 256, /* largest accepted value of IN-FLIGHT */
  TIMEOUT_MS = 30000,  /* a request without an answer fails after this time */
  BODY_MAX = 1024, /* size of the body buffer; a longer BODY is truncated */
  US_PER_S = 1000000,
};

/* struct load_run - state of one run of the benchmark */
struct load_run
{
  CURLM *multi;
  struct curl_slist *headers;
  const char *url;
  const char *body;
  double *latencies_s; /* latencies of the requests answered with 200 or 202 */
  int n_succeeded;     /* requests answered with status 200 or 202 */
  int n_unsent;        /* requests still to be sent */
  int n_failed;        /* requests with another status or without an answer */
};

static size_t
discard_body (char *data, size_t size, size_t n, void *arg)
{
  (void)data;
  (void)arg;
  return size * n;
}

static void
send_next_request (struct load_run *r, CURL *e)
{
  char body[BODY_MAX];
  const char *placeholder = strstr (r->body, "%d");

  r->n_unsent--;
  snprintf (body, sizeof body, "%s", r->body);
  if (placeholder)
    snprintf (body, sizeof body, "%.*s%d%s", (int)(placeholder - r->body),
              r->body, r->n_unsent, placeholder + 2);
  curl_easy_setopt (e, CURLOPT_URL, r->url);
  curl_easy_setopt (e, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, r->headers);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_multi_add_handle (r->multi, e);
}

/* Records the requests that have finished, and sends a new request for each of
   them as long as there are requests to be sent. */
static void
collect_finished (struct load_run *r)
{
  CURLMsg *msg;
  int n_queued;

  while ((msg = curl_multi_info_read (r->multi, &n_queued)))
    {
      CURL *e = msg->easy_handle;
      long status = 0;
      curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo (e, CURLINFO_TOTAL_TIME,
                         &r->latencies_s[r->n_succeeded]);
      if (status == 200 || status == 202)
        r->n_succeeded++;
      else
        r->n_failed++;
      curl_multi_remove_handle (r->multi, e);
      if (r->n_unsent > 0)
        send_next_request (r, e);
      else
        curl_easy_cleanup (e);
    }
}

static int
compare_latencies (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

int
main (int argc, char **argv)
{
  struct load_run r = { 0 };
  char header[256];
  int n_requests;
  int in_flight;
  int n_running = 1;
  double sum_s = 0;

  if (argc != 6 && argc != 7)
    {
      fprintf (stderr,
               "usage: load url key requests in-flight label [body]\n");
      return 64;
    }
  n_requests = r.n_unsent = atoi (argv[3]);
  in_flight = atoi (argv[4]);
  r.url = argv[1];
  r.body = argc == 7 ? argv[6] : "x";
  r.latencies_s = calloc ((size_t)n_requests, sizeof *r.latencies_s);
  if (!r.latencies_s || in_flight > IN_FLIGHT_MAX)
    return 64;
  snprintf (header, sizeof header, "Authorization: Bearer %s", argv[2]);
  r.headers = curl_slist_append (NULL, header);
  r.headers = curl_slist_append (r.headers, "Expect:");
  r.multi = curl_multi_init ();
  for (int i = 0; i < in_flight; i++)
    send_next_request (&r, curl_easy_init ());
  while (n_running || r.n_unsent > 0)
    {
      curl_multi_perform (r.multi, &n_running);
      collect_finished (&r);
      if (n_running)
        curl_multi_poll (r.multi, NULL, 0, 100, NULL);
    }
  collect_finished (&r);
  qsort (r.latencies_s, (size_t)r.n_succeeded, sizeof *r.latencies_s,
         compare_latencies);
  for (int i = 0; i < r.n_succeeded; i++)
    sum_s += r.latencies_s[i];
  printf ("{\"figure\":\"service\",\"label\":\"%s\",\"in_flight\":%d,"
          "\"good\":%d,\"bad\":%d,\"p50_us\":%.0f,\"p99_us\":%.0f,"
          "\"requests_per_s\":%.0f}\n",
          argv[5], in_flight, r.n_succeeded, r.n_failed,
          r.n_succeeded ? r.latencies_s[r.n_succeeded / 2] * US_PER_S : 0,
          r.n_succeeded ? r.latencies_s[r.n_succeeded * 99 / 100] * US_PER_S
                        : 0,
          sum_s > 0 ? r.n_succeeded * in_flight / sum_s : 0);
  return 0;
}
