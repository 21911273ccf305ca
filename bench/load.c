/*
 * load - sends requests with a number in flight and prints their times.
 * usage: load URL KEY REQUESTS IN-FLIGHT LABEL [BODY]
 * A %d in BODY becomes the request's number.
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
  US = 1000000,
};

struct run
{
  CURLM *multi;
  struct curl_slist *headers;
  const char *url;
  const char *body;
  double *times;
  int n_times;
  int left;
  int bad;
};

static size_t
swallow (char *data, size_t size, size_t n, void *arg)
{
  (void)data;
  (void)arg;
  return size * n;
}

static void
send_one (struct run *r, CURL *e)
{
  char body[BODY_MAX];
  const char *mark = strstr (r->body, "%d");

  r->left--;
  snprintf (body, sizeof body, "%s", r->body);
  if (mark)
    snprintf (body, sizeof body, "%.*s%d%s", (int)(mark - r->body), r->body,
              r->left, mark + 2);
  curl_easy_setopt (e, CURLOPT_URL, r->url);
  curl_easy_setopt (e, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, r->headers);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, swallow);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_multi_add_handle (r->multi, e);
}

static void
reap (struct run *r)
{
  CURLMsg *msg;
  int queued;

  while ((msg = curl_multi_info_read (r->multi, &queued)))
    {
      CURL *e = msg->easy_handle;
      long status = 0;
      curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo (e, CURLINFO_TOTAL_TIME, &r->times[r->n_times]);
      if (status == 200 || status == 202)
        r->n_times++;
      else
        r->bad++;
      curl_multi_remove_handle (r->multi, e);
      if (r->left > 0)
        send_one (r, e);
      else
        curl_easy_cleanup (e);
    }
}

static int
by_time (const void *a, const void *b)
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
  double wall = 0;

  if (argc != 6 && argc != 7)
    {
      fprintf (stderr,
               "usage: load url key requests in-flight label [body]\n");
      return 64;
    }
  total = r.left = atoi (argv[3]);
  in_flight = atoi (argv[4]);
  r.url = argv[1];
  r.body = argc == 7 ? argv[6] : "x";
  r.times = calloc ((size_t)total, sizeof *r.times);
  if (!r.times || in_flight > IN_FLIGHT_MAX)
    return 64;
  snprintf (header, sizeof header, "Authorization: Bearer %s", argv[2]);
  r.headers = curl_slist_append (NULL, header);
  r.headers = curl_slist_append (r.headers, "Expect:");
  r.multi = curl_multi_init ();
  for (int i = 0; i < in_flight; i++)
    send_one (&r, curl_easy_init ());
  while (running || r.left > 0)
    {
      curl_multi_perform (r.multi, &running);
      reap (&r);
      if (running)
        curl_multi_poll (r.multi, NULL, 0, 100, NULL);
    }
  reap (&r);
  qsort (r.times, (size_t)r.n_times, sizeof *r.times, by_time);
  for (int i = 0; i < r.n_times; i++)
    wall += r.times[i];
  printf ("{\"figure\":\"service\",\"label\":\"%s\",\"in_flight\":%d,"
          "\"good\":%d,\"bad\":%d,\"p50_us\":%.0f,\"p99_us\":%.0f,"
          "\"requests_per_s\":%.0f}\n",
          argv[5], in_flight, r.n_times, r.bad,
          r.n_times ? r.times[r.n_times / 2] * US : 0,
          r.n_times ? r.times[r.n_times * 99 / 100] * US : 0,
          wall > 0 ? r.n_times * in_flight / wall : 0);
  return 0;
}
