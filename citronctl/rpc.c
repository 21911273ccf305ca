/* HTTP requests to the entry instances, over libcurl. */
#include "citronctl.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_MS = 3000,
  URL_SIZE = 512,
  /* Servers that rpc_stream() reads from at once; further ones are ignored. */
  STREAMS_MAX = 16,
};

/* Appends a piece of the body to a struct answer. */
static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  struct answer *a = arg;
  char *grown = realloc (a->body, a->len + size * n + 1);

  if (!grown)
    return 0;
  a->body = grown;
  memcpy (a->body + a->len, data, size * n);
  a->len += size * n;
  a->body[a->len] = '\0';
  return size * n;
}

/* Returns the headers of every request; the caller frees them. */
static struct curl_slist *
request_headers (const struct options *opt)
{
  struct curl_slist *list = NULL;
  char line[256];

  list = curl_slist_append (list, "Content-Type: application/json");
  list = curl_slist_append (list, "Expect:");
  if (opt->key)
    {
      snprintf (line, sizeof line, "Authorization: Bearer %s", opt->key);
      list = curl_slist_append (list, line);
    }
  return list;
}

/* Creates a request; @server is the start of the URL and not terminated. */
static CURL *
request_new (const struct options *opt, const char *method, const char *server,
             size_t server_len, const char *path, struct curl_slist *list)
{
  CURL *e = curl_easy_init ();
  char url[URL_SIZE];

  snprintf (url, sizeof url, "%.*s%s", (int)server_len, server, path);
  curl_easy_setopt (e, CURLOPT_URL, url);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  if (opt->cacert)
    curl_easy_setopt (e, CURLOPT_CAINFO, opt->cacert);
  return e;
}

/* Sends a request to one server and fills in *@a. */
static void
send_to (const struct options *opt, const char *method, const char *server,
         size_t server_len, const char *path, const char *body, size_t len,
         struct answer *a)
{
  struct curl_slist *list = request_headers (opt);
  CURL *e = request_new (opt, method, server, server_len, path, list);
  long sent = 0;

  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, a);
  if (body)
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, (long)len);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, body);
    }
  if (curl_easy_perform (e) == CURLE_OK)
    curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &a->status);
  curl_easy_getinfo (e, CURLINFO_REQUEST_SIZE, &sent);
  a->sent = sent > 0;
  curl_easy_cleanup (e);
  curl_slist_free_all (list);
}

void
rpc (const struct options *opt, const char *method, const char *path,
     const char *body, size_t len, struct answer *a)
{
  const char *server = opt->servers;

  memset (a, 0, sizeof *a);
  while (*server && a->status == 0 && !a->sent)
    {
      size_t n = strcspn (server, ",");
      send_to (opt, method, server, n, path, body, len, a);
      server += n;
      server += *server == ',';
    }
}

void
rpc_free (struct answer *a)
{
  free (a->body);
  memset (a, 0, sizeof *a);
}

int
rpc_exit_code (const struct answer *a)
{
  if (a->status == 0)
    return a->sent ? EXIT_UNKNOWN : EXIT_NOT_RUN;
  if (a->status < 300)
    return EXIT_DONE;
  switch (a->status)
    {
    case 400:
    case 413:
    case 422:
      return EXIT_BAD_DATA;
    case 401:
    case 403:
      return EXIT_DENIED;
    case 404:
      return EXIT_NOT_FOUND;
    case 409:
      return EXIT_CONFLICT;
    case 503:
      return EXIT_NOT_RUN;
    default:
      return EXIT_UNKNOWN;
    }
}

/* struct stream - the response of one server of rpc_stream() */
struct stream
{
  /* The line received so far; NULL before the first byte. */
  char *buf;
  size_t len;
  void (*on_line) (const char *text, size_t len);
};

/* Splits a piece of the body into lines. */
static size_t
on_stream (char *data, size_t size, size_t n, void *arg)
{
  struct stream *st = arg;
  size_t len = size * n;

  for (size_t i = 0; i < len; i++)
    {
      if (data[i] == '\n')
        {
          st->on_line (st->buf, st->len);
          st->len = 0;
          continue;
        }
      char *grown = realloc (st->buf, st->len + 2);
      if (!grown)
        return 0;
      st->buf = grown;
      st->buf[st->len++] = data[i];
    }
  return len;
}

static CURL *
stream_open (const struct options *opt, const char *server, size_t len,
             const char *path, struct curl_slist *list, struct stream *st)
{
  CURL *e = request_new (opt, "GET", server, len, path, list);

  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_stream);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, st);
  return e;
}

/* Runs all streams until the last one has ended.  Returns EXIT_DONE if one of
   them was successful, else the exit code of the last response, or
   EXIT_NOT_RUN if there was none. */
static int
stream_run (CURLM *multi)
{
  struct answer a = { .sent = true };
  CURLMsg *msg;
  int running = 1;
  int left;
  int code = EXIT_NOT_RUN;

  while (running)
    {
      curl_multi_perform (multi, &running);
      while ((msg = curl_multi_info_read (multi, &left)))
        {
          curl_easy_getinfo (msg->easy_handle, CURLINFO_RESPONSE_CODE,
                             &a.status);
          if (a.status && code != EXIT_DONE)
            code = rpc_exit_code (&a);
        }
      if (running)
        curl_multi_poll (multi, NULL, 0, CONNECT_MS, NULL);
    }
  return code;
}

int
rpc_stream (const struct options *opt, const char *path,
            void (*on_line) (const char *text, size_t len))
{
  struct stream streams[STREAMS_MAX] = { 0 };
  CURL *easy[STREAMS_MAX];
  struct curl_slist *list = request_headers (opt);
  CURLM *multi = curl_multi_init ();
  const char *server = opt->servers;
  int n = 0;
  int code;

  while (*server && n < STREAMS_MAX)
    {
      size_t len = strcspn (server, ",");
      streams[n].on_line = on_line;
      easy[n] = stream_open (opt, server, len, path, list, &streams[n]);
      curl_multi_add_handle (multi, easy[n]);
      n++;
      server += len;
      server += *server == ',';
    }
  code = stream_run (multi);
  for (int i = 0; i < n; i++)
    {
      curl_multi_remove_handle (multi, easy[i]);
      curl_easy_cleanup (easy[i]);
      free (streams[i].buf);
    }
  curl_multi_cleanup (multi);
  curl_slist_free_all (list);
  return code;
}
