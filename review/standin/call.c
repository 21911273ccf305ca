/*
 * rv-call - sends one request as a client does.
 *
 * usage: rv-call METHOD URL HOST KEY TIMEOUT-MS [BODY]
 *
 * Prints "STATUS BODY" on one line; STATUS is 000 without a complete answer.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char response[1 << 16];
static size_t response_len;

static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  (void)arg;
  if (response_len + size * n < sizeof response)
    {
      memcpy (response + response_len, data, size * n);
      response_len += size * n;
    }
  return size * n;
}

int
main (int argc, char **argv)
{
  CURL *e = curl_easy_init ();
  struct curl_slist *headers = NULL;
  char line[256];
  long status = 0;

  if (argc < 6 || !e)
    {
      fprintf (stderr,
               "usage: rv-call METHOD URL HOST KEY TIMEOUT-MS [BODY]\n");
      return 2;
    }
  snprintf (line, sizeof line, "Host: %s", argv[3]);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "Key: %s", argv[4]);
  headers = curl_slist_append (headers, line);
  snprintf (line, sizeof line, "Timeout-Ms: %s", argv[5]);
  headers = curl_slist_append (headers, line);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  curl_easy_setopt (e, CURLOPT_URL, argv[2]);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  if (argc > 6)
    curl_easy_setopt (e, CURLOPT_POSTFIELDS, argv[6]);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, argv[1]);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, atol (argv[5]));
  if (curl_easy_perform (e) == CURLE_OK)
    curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &status);
  printf ("%03ld %s\n", status, response);
  return 0;
}
