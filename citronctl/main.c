/*
 * citronctl - control and observe citronlb from the command line: options, and
 * the commands other than those about the manifest.
 */
#include "citronctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time that one request of the wait command waits for the task's end; it is
     repeated until the task has ended. */
  WAIT_MS = 60000,
  PATH_SIZE = 256,
  /* The command and its arguments. */
  ARGS_MAX = 3,
};

/* enum opt_key - argp keys of the options without a short form */
enum opt_key
{
  OPT_JSON = 0x100,
  OPT_BASE,
  OPT_CHANGE,
  OPT_CACERT,
  OPT_ID,
};

/* struct command_line - options, and the command with its arguments */
struct command_line
{
  struct options opt;
  const char *args[ARGS_MAX];
  int n_args;
};

static const struct argp_option argp_options[] = {
  { "server", 's', "URL,...", 0, "URLs of entry instances, tried in turn", 0 },
  { "key", 'k', "KEY", 0, "Key to present", 0 },
  { "json", OPT_JSON, NULL, 0, "Print answers as JSON", 0 },
  { "cacert", OPT_CACERT, "FILE", 0, "Certificates to trust, in PEM format",
    0 },
  { "base", OPT_BASE, "VERSION", 0, "apply: version it was made from", 0 },
  { "change", OPT_CHANGE, "ID", 0, "apply: id of the change", 0 },
  { "id", OPT_ID, "ID", 0, "watch: only this task", 0 },
  { 0 },
};

static const char doc[]
    = "Drive and watch citronlb.\v"
      "Commands: check FILE, apply FILE, diff FILE, show, key ID [TEAM], "
      "peerkeys, submit FILE, status [ID], wait ID, cancel ID, why ID, watch, "
      "counters";

static error_t
parse_opt (int key, char *arg, struct argp_state *state)
{
  struct command_line *cl = state->input;
  char *end;

  switch (key)
    {
    case 's':
      cl->opt.servers = arg;
      break;
    case 'k':
      cl->opt.key = arg;
      break;
    case OPT_JSON:
      cl->opt.json = true;
      break;
    case OPT_CACERT:
      cl->opt.cacert = arg;
      break;
    case OPT_CHANGE:
      cl->opt.change_id = arg;
      break;
    case OPT_ID:
      cl->opt.watch_id = arg;
      break;
    case OPT_BASE:
      cl->opt.base_version = strtol (arg, &end, 10);
      if (*end || cl->opt.base_version < 0)
        argp_error (state, "--base: '%s' is not a version", arg);
      break;
    case ARGP_KEY_ARG:
      if (cl->n_args == ARGS_MAX)
        argp_usage (state);
      cl->args[cl->n_args++] = arg;
      break;
    case ARGP_KEY_END:
      if (cl->n_args == 0)
        argp_usage (state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

/* Returns the string in a field of @obj; "" if there is none. */
static const char *
text_of (json_t *obj, const char *field)
{
  const char *text = json_string_value (json_object_get (obj, field));

  return text ? text : "";
}

/* Prints an answer as a sentence, or unchanged with --json or if it is not
   JSON.  Returns an exit code. */
static int
print_answer (const struct options *opt, const struct answer *a)
{
  int code = rpc_exit_code (a);
  json_auto_t *json = a->body ? json_loadb (a->body, a->len, 0, NULL) : NULL;

  if (a->status == 0)
    fprintf (stderr, "citronctl: no server reached (%s)\n",
             a->sent ? "outcome unknown" : "not run");
  else if (opt->json || !json)
    printf ("%s\n", a->body ? a->body : "");
  else if (json_object_get (json, "error"))
    {
      long long retry
          = json_integer_value (json_object_get (json, "retry_after_ms"));
      fprintf (stderr, "citronctl: %s (%s) %s", text_of (json, "error"),
               text_of (json, "outcome"), text_of (json, "field"));
      if (retry)
        fprintf (stderr, "; retry after %lld ms", retry);
      fprintf (stderr, "\n");
    }
  else
    printf ("%s %s: %s\n", text_of (json, "id"), text_of (json, "state"),
            text_of (json, "text"));
  return code;
}

static int
cmd_submit (const struct options *opt, const char *path)
{
  struct answer a;
  size_t len;
  char *text = read_file (path, &len);
  int code;

  if (!text)
    {
      fprintf (stderr, "citronctl: %s: cannot be read\n", path);
      return EXIT_NO_READ;
    }
  rpc (opt, "POST", "/v1/tasks", text, len, &a);
  code = print_answer (opt, &a);
  rpc_free (&a);
  free (text);
  return code;
}

/* Sends a request without a body about one task and prints the answer. */
static int
cmd_task (const struct options *opt, const char *method, const char *id)
{
  struct answer a;
  char path[PATH_SIZE];
  int code;

  snprintf (path, sizeof path, "/v1/tasks/%.100s", id);
  rpc (opt, method, path, NULL, 0, &a);
  code = print_answer (opt, &a);
  rpc_free (&a);
  return code;
}

/* Waits until a task has ended and prints its state. */
static int
cmd_wait (const struct options *opt, const char *id)
{
  struct answer a;
  char path[PATH_SIZE];
  json_t *json;
  int code;
  bool ended;
  bool good;

  snprintf (path, sizeof path, "/v1/tasks/%.100s?wait_ms=%d", id, WAIT_MS);
  do
    {
      rpc (opt, "GET", path, NULL, 0, &a);
      json = a.body ? json_loadb (a.body, a.len, 0, NULL) : NULL;
      const char *state = text_of (json, "state");
      good = strcmp (state, "done") == 0;
      ended = good || strcmp (state, "failed") == 0
              || strcmp (state, "cancelled") == 0
              || strcmp (state, "unknown") == 0;
      code = rpc_exit_code (&a);
      if (ended || code)
        print_answer (opt, &a);
      json_decref (json);
      rpc_free (&a);
    }
  while (!ended && code == EXIT_DONE);
  return code ? code : good ? EXIT_DONE : EXIT_TASK_FAILED;
}

/* Prints one decision of the scheduler. */
static void
print_event (json_t *e)
{
  const char *where = text_of (e, "where");
  long long seen = json_integer_value (json_object_get (e, "looked_at"));

  printf ("%9.3f  %-14s %s%s%s: %s",
          (double)json_integer_value (json_object_get (e, "ms")) / 1000.0,
          text_of (e, "reason"), text_of (e, "id"), *where ? " on " : "",
          where, text_of (e, "text"));
  if (seen)
    printf (" (of %lld)", seen);
  printf ("\n");
}

static int
cmd_why (const struct options *opt, const char *id)
{
  struct answer a;
  char path[PATH_SIZE];
  json_t *json;
  json_t *e;
  size_t i;
  int code;

  snprintf (path, sizeof path, "/v1/why/%.100s", id);
  rpc (opt, "GET", path, NULL, 0, &a);
  code = print_answer (opt, &a);
  if (code == EXIT_DONE && !opt->json)
    {
      json = json_loadb (a.body, a.len, 0, NULL);
      json_array_foreach (json_object_get (json, "history"), i, e)
        print_event (e);
      json_decref (json);
    }
  rpc_free (&a);
  return code;
}

/* Prints one line of a watch: a decision or a number of missed ones.  The
   empty line marks the start of the stream. */
static void
print_line (const char *text, size_t len)
{
  json_t *json = len ? json_loadb (text, len, 0, NULL) : NULL;

  if (!json)
    {
      printf ("(watching)\n");
      fflush (stdout);
      return;
    }
  if (json_object_get (json, "missed"))
    printf ("(missed %lld)\n",
            (long long)json_integer_value (json_object_get (json, "missed")));
  else
    print_event (json);
  fflush (stdout);
  json_decref (json);
}

static void
print_raw (const char *text, size_t len)
{
  if (!len)
    return;
  printf ("%.*s\n", (int)len, text);
  fflush (stdout);
}

static int
cmd_watch (const struct options *opt)
{
  char path[PATH_SIZE] = "/v1/watch";

  if (opt->watch_id)
    snprintf (path, sizeof path, "/v1/watch?id=%.100s", opt->watch_id);
  return rpc_stream (opt, path, opt->json ? print_raw : print_line);
}

/* Sends a GET request and prints the body of the answer unchanged. */
static int
cmd_raw (const struct options *opt, const char *path)
{
  struct answer a;
  int code;

  rpc (opt, "GET", path, NULL, 0, &a);
  code = rpc_exit_code (&a);
  if (code)
    print_answer (opt, &a);
  else
    printf ("%s\n", a.body ? a.body : "");
  rpc_free (&a);
  return code;
}

/* Prints resources as cores/memory/accelerators/slots. */
static void
print_res (const char *name, json_t *r)
{
  printf (" %s %lld/%lldMB/%lld/%lld", name,
          (long long)json_integer_value (json_object_get (r, "cores")),
          (long long)json_integer_value (json_object_get (r, "mem_mb")),
          (long long)json_integer_value (json_object_get (r, "accels")),
          (long long)json_integer_value (json_object_get (r, "slots")));
}

/* Prints the state of the failure domain's scheduler. */
static void
print_sched (json_t *s)
{
  json_t *item;
  const char *key;
  size_t i;

  printf ("scheduler: epoch %lld, journal row %lld%s\n",
          (long long)json_integer_value (json_object_get (s, "epoch")),
          (long long)json_integer_value (json_object_get (s, "journal_row")),
          json_is_true (json_object_get (s, "may_start")) ? ""
                                                          : ", lease expired");
  printf ("tasks:");
  json_object_foreach (json_object_get (s, "tasks"), key, item)
    printf (" %s %lld", key, (long long)json_integer_value (item));
  printf ("\nteams (cores/memory/accelerators/slots):\n");
  json_array_foreach (json_object_get (s, "teams"), i, item)
    {
      printf ("  %-16s", text_of (item, "name"));
      print_res ("used", json_object_get (item, "used"));
      print_res ("granted", json_object_get (item, "granted"));
      print_res ("limit", json_object_get (item, "limit"));
      printf (" waiting %lld\n", (long long)json_integer_value (
                                     json_object_get (item, "waiting")));
    }
  printf ("backend servers:\n");
  json_array_foreach (json_object_get (s, "workers"), i, item)
    {
      printf ("  %-16s %-9s", text_of (item, "id"), text_of (item, "state"));
      print_res ("used", json_object_get (item, "used"));
      print_res ("of", json_object_get (item, "room"));
      printf (
          "%s%s\n",
          json_is_true (json_object_get (item, "leaving")) ? " leaving" : "",
          json_is_true (json_object_get (item, "quarantined")) ? " quarantined"
                                                               : "");
    }
}

static int
cmd_status (const struct options *opt)
{
  struct answer a;
  json_t *json;
  json_t *p;
  size_t i;
  int code;

  if (opt->json)
    return cmd_raw (opt, "/v1/status");
  rpc (opt, "GET", "/v1/status", NULL, 0, &a);
  code = rpc_exit_code (&a);
  json = code ? NULL : json_loadb (a.body, a.len, 0, NULL);
  if (!json)
    {
      print_answer (opt, &a);
      rpc_free (&a);
      return code;
    }
  printf (
      "%s in %s: config %lld (confirmed current %lld ms ago), holder %s\n",
      text_of (json, "id"), text_of (json, "domain"),
      (long long)json_integer_value (json_object_get (json, "config_version")),
      (long long)json_integer_value (json_object_get (json, "config_age_ms")),
      text_of (json, "holder"));
  json_array_foreach (json_object_get (json, "peers"), i, p)
    printf (
        "  peer %s in %s: config %lld%s%s\n", text_of (p, "id"),
        text_of (p, "domain"),
        (long long)json_integer_value (json_object_get (p, "config_version")),
        json_is_true (json_object_get (p, "holder")) ? ", holder" : "",
        json_is_true (json_object_get (p, "alive")) ? "" : ", unreachable");
  if (json_object_get (json, "scheduler"))
    print_sched (json_object_get (json, "scheduler"));
  json_decref (json);
  rpc_free (&a);
  return code;
}

/* struct command - a command and the number of arguments that it takes */
struct command
{
  const char *name;
  int min_args;
  int max_args;
};

/* enum verb - indexes of commands[] */
enum verb
{
  VERB_CHECK,
  VERB_APPLY,
  VERB_DIFF,
  VERB_SHOW,
  VERB_KEY,
  VERB_PEERKEYS,
  VERB_SUBMIT,
  VERB_STATUS,
  VERB_WAIT,
  VERB_CANCEL,
  VERB_WHY,
  VERB_WATCH,
  VERB_COUNTERS,
  VERB_N
};

static const struct command commands[VERB_N] = {
  { "check", 1, 1 },    { "apply", 1, 1 },  { "diff", 1, 1 },
  { "show", 0, 0 },     { "key", 1, 2 },    { "peerkeys", 0, 0 },
  { "submit", 1, 1 },   { "status", 0, 1 }, { "wait", 1, 1 },
  { "cancel", 1, 1 },   { "why", 1, 1 },    { "watch", 0, 0 },
  { "counters", 0, 0 },
};

/* Returns the enum verb of the command line, or VERB_N if the command is
   unknown or the number of its arguments is wrong. */
static int
verb_of (const struct command_line *cl)
{
  int args = cl->n_args - 1;

  for (int v = 0; v < VERB_N; v++)
    if (strcmp (commands[v].name, cl->args[0]) == 0)
      return args >= commands[v].min_args && args <= commands[v].max_args
                 ? v
                 : VERB_N;
  return VERB_N;
}

/* Runs a command and returns its exit code. */
static int
run (const struct command_line *cl, int verb)
{
  const struct options *opt = &cl->opt;

  switch (verb)
    {
    case VERB_CHECK:
      return cmd_check (opt, cl->args[1]);
    case VERB_APPLY:
      return cmd_apply (opt, cl->args[1]);
    case VERB_DIFF:
      return cmd_diff (opt, cl->args[1]);
    case VERB_SHOW:
      return cmd_show (opt);
    case VERB_KEY:
      return cmd_key (opt, cl->args[1], cl->args[2]);
    case VERB_PEERKEYS:
      return cmd_peerkeys ();
    case VERB_SUBMIT:
      return cmd_submit (opt, cl->args[1]);
    case VERB_STATUS:
      return cl->args[1] ? cmd_task (opt, "GET", cl->args[1])
                         : cmd_status (opt);
    case VERB_WAIT:
      return cmd_wait (opt, cl->args[1]);
    case VERB_CANCEL:
      return cmd_task (opt, "DELETE", cl->args[1]);
    case VERB_WHY:
      return cmd_why (opt, cl->args[1]);
    case VERB_WATCH:
      return cmd_watch (opt);
    default:
      return cmd_raw (opt, "/metrics");
    }
}

int
main (int argc, char **argv)
{
  const struct argp argp = { .options = argp_options,
                             .parser = parse_opt,
                             .args_doc = "COMMAND [ARGUMENT...]",
                             .doc = doc };
  struct command_line cl = { .opt = { .base_version = -1 } };
  int verb;
  int code;

  cl.opt.servers = getenv ("CITRONCTL_SERVER");
  cl.opt.key = getenv ("CITRONCTL_KEY");
  argp_err_exit_status = EXIT_BAD_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &cl);
  verb = verb_of (&cl);
  if (verb == VERB_N)
    {
      fprintf (stderr,
               "citronctl: %s: no such command, or wrong number of "
               "arguments; see citronctl --help\n",
               cl.args[0]);
      return EXIT_BAD_USAGE;
    }
  if (!cl.opt.servers)
    cl.opt.servers = "http://127.0.0.1:8080";
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = run (&cl, verb);
  curl_global_cleanup ();
  return code;
}
