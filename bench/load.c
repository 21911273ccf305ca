/*
 * load - sends HTTP requests and prints their latencies as a JSON line.
 * usage: load URL KEY REQUESTS IN-FLIGHT LABEL [BODY]
 *
 * IN-FLIGHT requests are outstanding at any time.  The first %d in BODY is
 * replaced by the number of requests that are still to be sent, so that each
 * body differs.  Answers with status 200 or 202 count as good.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  IN_FLIGHT_MAX = 256,
  TIMEOUT_MS = 30000,
  BODY_MAX = 1024,
  US_PER_S = 1000000,
};

/* struct run - the whole measurement */
struct run
{
  CURLM *multi;
  struct curl_slist *headers;
  const char *url;
  const char *body;
  double *times_s; /* latencies of good answers */
  int n_good;
  int n_left; /* requests still to be sent */
  int n_bad;
};

static size_t
discard_body (char *data, size_t size, size_t n, void *arg)
{
  (void)data;
  (void)arg;
  return size * n;
}

static void
send_one (struct run *r, CURL *e)
{
  char body[BODY_MAX];
  const char *placeholder = strstr (r->body, "%d");

  r->n_left--;
  snprintf (body, sizeof body, "%s", r->body);
  if (placeholder)
    snprintf (body, sizeof body, "%.*s%d%s", (int)(placeholder - r->body),
              r->body, r->n_left, placeholder + 2);
  curl_easy_setopt (e, CURLOPT_URL, r->url);
  curl_easy_setopt (e, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, r->headers);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_multi_add_handle (r->multi, e);
}

/* Records the requests that have finished and sends others in their place. */
static void
collect_finished (struct run *r)
{
  CURLMsg *msg;
  int queued;

  while ((msg = curl_multi_info_read (r->multi, &queued)))
    {
      CURL *e = msg->easy_handle;
      long status = 0;
      curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo (e, CURLINFO_TOTAL_TIME, &r->times_s[r->n_good]);
      if (status == 200 || status == 202)
        r->n_good++;
      else
        r->n_bad++;
      curl_multi_remove_handle (r->multi, e);
      if (r->n_left > 0)
        send_one (r, e);
      else
        curl_easy_cleanup (e);
    }
}

static int
compare_times (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

int
main (int argc, char **argv)
{
  struct run r = { 0 };
  char header[256];
  int total;
  int in_flight;
  int running = 1;
  double sum_s = 0;

  if (argc != 6 && argc != 7)
    {
      fprintf (stderr,
               "usage: load url key requests in-flight label [body]\n");
      return 64;
    }
  total = r.n_left = atoi (argv[3]);
  in_flight = atoi (argv[4]);
  r.url = argv[1];
  r.body = argc == 7 ? argv[6] : "x";
  r.times_s = calloc ((size_t)total, sizeof *r.times_s);
  if (!r.times_s || in_flight > IN_FLIGHT_MAX)
    return 64;
  snprintf (header, sizeof header, "Authorization: Bearer %s", argv[2]);
  r.headers = curl_slist_append (NULL, header);
  r.headers = curl_slist_append (r.headers, "Expect:");
  r.multi = curl_multi_init ();
  for (int i = 0; i < in_flight; i++)
    send_one (&r, curl_easy_init ());
  while (running || r.n_left > 0)
    {
      curl_multi_perform (r.multi, &running);
      collect_finished (&r);
      if (running)
        curl_multi_poll (r.multi, NULL, 0, 100, NULL);
    }
  collect_finished (&r);
  qsort (r.times_s, (size_t)r.n_good, sizeof *r.times_s, compare_times);
  for (int i = 0; i < r.n_good; i++)
    sum_s += r.times_s[i];
  printf ("{\"figure\":\"service\",\"label\":\"%s\",\"in_flight\":%d,"
          "\"good\":%d,\"bad\":%d,\"p50_us\":%.0f,\"p99_us\":%.0f,"
          "\"requests_per_s\":%.0f}\n",
          argv[5], in_flight, r.n_good, r.n_bad,
          r.n_good ? r.times_s[r.n_good / 2] * US_PER_S : 0,
          r.n_good ? r.times_s[r.n_good * 99 / 100] * US_PER_S : 0,
          sum_s > 0 ? r.n_good * in_flight / sum_s : 0);
  return 0;
}
