/* Sends HTTP requests to the entry instances through libcurl. */
#include "citronctl.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Timeout for connecting to a server. */
  CONNECT_TIMEOUT_MS = 3000,
  /* Size of a buffer for a URL. */
  URL_SIZE = 512,
  /* Maximum number of servers that rpc_stream() reads from; it ignores further
     ones. */
  STREAMS_MAX = 16,
};

/* CURLOPT_WRITEFUNCTION: appends a piece of the response's body to the struct
   answer @arg.  Returns the number of bytes appended; 0 if there is no memory,
   which fails the transfer. */
static size_t
on_body (char *data, size_t size, size_t n, void *arg)
{
  struct answer *a = arg;
  char *new_body = realloc (a->body, a->body_len + size * n + 1);

  if (!new_body)
    return 0;
  a->body = new_body;
  memcpy (a->body + a->body_len, data, size * n);
  a->body_len += size * n;
  a->body[a->body_len] = '\0';
  return size * n;
}

/* Returns the headers that every request has; the caller frees them. */
static struct curl_slist *
request_headers (const struct options *opt)
{
  struct curl_slist *headers = NULL;
  char line[256];

  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  if (opt->key)
    {
      snprintf (line, sizeof line, "Authorization: Bearer %s", opt->key);
      headers = curl_slist_append (headers, line);
    }
  return headers;
}

/* Creates a libcurl easy handle for a request.  The URL consists of the first
   @server_len bytes of @server, followed by @path.  @headers must outlive the
   handle. */
static CURL *
request_new (const struct options *opt, const char *method, const char *server,
             size_t server_len, const char *path, struct curl_slist *headers)
{
  CURL *e = curl_easy_init ();
  char url[URL_SIZE];

  snprintf (url, sizeof url, "%.*s%s", (int)server_len, server, path);
  curl_easy_setopt (e, CURLOPT_URL, url);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  if (opt->cacert)
    curl_easy_setopt (e, CURLOPT_CAINFO, opt->cacert);
  return e;
}

/* Sends a request to one server and stores the response in *@a, which must be
   all zero before the call.  @server is not terminated. */
static void
send_to (const struct options *opt, const char *method, const char *server,
         size_t server_len, const char *path, const char *body, size_t len,
         struct answer *a)
{
  struct curl_slist *headers = request_headers (opt);
  CURL *e = request_new (opt, method, server, server_len, path, headers);
  long sent_bytes = 0;

  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, a);
  if (body)
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, (long)len);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, body);
    }
  if (curl_easy_perform (e) == CURLE_OK)
    curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &a->status);
  curl_easy_getinfo (e, CURLINFO_REQUEST_SIZE, &sent_bytes);
  a->request_sent = sent_bytes > 0;
  curl_easy_cleanup (e);
  curl_slist_free_all (headers);
}

void
rpc (const struct options *opt, const char *method, const char *path,
     const char *body, size_t len, struct answer *a)
{
  const char *server = opt->servers;

  memset (a, 0, sizeof *a);
  while (*server && a->status == 0 && !a->request_sent)
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
    return a->request_sent ? EXIT_UNKNOWN : EXIT_NOT_RUN;
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

/* struct stream - response of one server to the request of rpc_stream() */
struct stream
{
  /* Bytes received of the current line; NULL before the first byte. */
  char *line;
  size_t line_len;
  void (*on_line) (const char *text, size_t len);
};

/* CURLOPT_WRITEFUNCTION: splits a piece of a response's body into lines and
   passes each complete line to on_line of the struct stream @arg. */
static size_t
on_stream (char *data, size_t size, size_t n, void *arg)
{
  struct stream *stream = arg;
  size_t len = size * n;

  for (size_t i = 0; i < len; i++)
    {
      if (data[i] == '\n')
        {
          stream->on_line (stream->line, stream->line_len);
          stream->line_len = 0;
          continue;
        }
      char *new_line = realloc (stream->line, stream->line_len + 2);
      if (!new_line)
        return 0;
      stream->line = new_line;
      stream->line[stream->line_len++] = data[i];
    }
  return len;
}

/* Creates a libcurl easy handle that sends GET @path to one server and passes
   the response to @stream.  @server has @len bytes and is not terminated. */
static CURL *
stream_open (const struct options *opt, const char *server, size_t len,
             const char *path, struct curl_slist *headers,
             struct stream *stream)
{
  CURL *e = request_new (opt, "GET", server, len, path, headers);

  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_stream);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, stream);
  return e;
}

/* Runs all streams of @multi until the last one has ended.  Returns EXIT_DONE
   if any response was successful, else the exit code of the last response, or
   EXIT_NOT_RUN if no server has responded. */
static int
stream_run (CURLM *multi)
{
  struct answer a = { .request_sent = true };
  CURLMsg *msg;
  int n_running = 1;
  int msgs_in_queue;
  int code = EXIT_NOT_RUN;

  while (n_running)
    {
      curl_multi_perform (multi, &n_running);
      while ((msg = curl_multi_info_read (multi, &msgs_in_queue)))
        {
          curl_easy_getinfo (msg->easy_handle, CURLINFO_RESPONSE_CODE,
                             &a.status);
          if (a.status && code != EXIT_DONE)
            code = rpc_exit_code (&a);
        }
      if (n_running)
        curl_multi_poll (multi, NULL, 0, CONNECT_TIMEOUT_MS, NULL);
    }
  return code;
}

int
rpc_stream (const struct options *opt, const char *path,
            void (*on_line) (const char *text, size_t len))
{
  struct stream streams[STREAMS_MAX] = { 0 };
  CURL *easy[STREAMS_MAX];
  struct curl_slist *headers = request_headers (opt);
  CURLM *multi = curl_multi_init ();
  const char *server = opt->servers;
  int n = 0;
  int code;

  while (*server && n < STREAMS_MAX)
    {
      size_t len = strcspn (server, ",");
      streams[n].on_line = on_line;
      easy[n] = stream_open (opt, server, len, path, headers, &streams[n]);
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
      free (streams[i].line);
    }
  curl_multi_cleanup (multi);
  curl_slist_free_all (headers);
  return code;
}
