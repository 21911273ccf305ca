/*
 * citronctl - control and observe citronlb from the command line.  This file
 * parses the options and contains the commands other than those about the
 * manifest.
 */
#include "citronctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Maximum time that one request of the wait command waits for the task to
     end.  The command repeats the request until the task has ended. */
  WAIT_REQUEST_MS = 60000,
  /* Size of a buffer for a request's path with its query. */
  PATH_SIZE = 256,
  /* Maximum number of words that are not options: the command and its
     arguments. */
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

/* struct command_line - the parsed command line */
struct command_line
{
  struct options opt;
  /* The command, followed by its arguments. */
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
      cl->opt.print_json = true;
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

/* Returns the string in member @field of a JSON object; "" if there is none.
 */
static const char *
string_field (json_t *obj, const char *field)
{
  const char *text = json_string_value (json_object_get (obj, field));

  return text ? text : "";
}

/* Prints an answer in words.  If --json is given or the answer's body is not
   JSON, prints the body unchanged.  Returns the exit code for the answer. */
static int
print_answer (const struct options *opt, const struct answer *a)
{
  int code = rpc_exit_code (a);
  json_auto_t *json
      = a->body ? json_loadb (a->body, a->body_len, 0, NULL) : NULL;

  if (a->status == 0)
    fprintf (stderr, "citronctl: no server reached (%s)\n",
             a->request_sent ? "outcome unknown" : "not run");
  else if (opt->print_json || !json)
    printf ("%s\n", a->body ? a->body : "");
  else if (json_object_get (json, "error"))
    {
      long long retry_ms
          = json_integer_value (json_object_get (json, "retry_after_ms"));
      fprintf (stderr, "citronctl: %s (%s) %s", string_field (json, "error"),
               string_field (json, "outcome"), string_field (json, "field"));
      if (retry_ms)
        fprintf (stderr, "; retry after %lld ms", retry_ms);
      fprintf (stderr, "\n");
    }
  else
    printf ("%s %s: %s\n", string_field (json, "id"),
            string_field (json, "state"), string_field (json, "text"));
  return code;
}

/* Submits the task or gang that is described in file @path. */
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
      return EXIT_UNREADABLE;
    }
  rpc (opt, "POST", "/v1/tasks", text, len, &a);
  code = print_answer (opt, &a);
  rpc_free (&a);
  free (text);
  return code;
}

/* Sends a request with HTTP method @method about task @id and prints the
   answer. */
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

/* Waits until task @id has ended and prints its state.  Returns EXIT_DONE if
   the task has succeeded. */
static int
cmd_wait (const struct options *opt, const char *id)
{
  struct answer a;
  char path[PATH_SIZE];
  json_t *json;
  int code;
  bool ended;
  bool succeeded;

  snprintf (path, sizeof path, "/v1/tasks/%.100s?wait_ms=%d", id,
            WAIT_REQUEST_MS);
  do
    {
      rpc (opt, "GET", path, NULL, 0, &a);
      json = a.body ? json_loadb (a.body, a.body_len, 0, NULL) : NULL;
      const char *state = string_field (json, "state");
      succeeded = strcmp (state, "done") == 0;
      ended = succeeded || strcmp (state, "failed") == 0
              || strcmp (state, "cancelled") == 0
              || strcmp (state, "unknown") == 0;
      code = rpc_exit_code (&a);
      if (ended || code)
        print_answer (opt, &a);
      json_decref (json);
      rpc_free (&a);
    }
  while (!ended && code == EXIT_DONE);
  return code ? code : succeeded ? EXIT_DONE : EXIT_TASK_FAILED;
}

/* Prints one decision of the scheduler. */
static void
print_event (json_t *e)
{
  const char *where = string_field (e, "where");
  long long n_considered
      = json_integer_value (json_object_get (e, "looked_at"));

  printf ("%9.3f  %-14s %s%s%s: %s",
          (double)json_integer_value (json_object_get (e, "ms")) / 1000.0,
          string_field (e, "reason"), string_field (e, "id"),
          *where ? " on " : "", where, string_field (e, "text"));
  if (n_considered)
    printf (" (of %lld)", n_considered);
  printf ("\n");
}

/* Prints the decisions that the scheduler has made about task @id. */
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
  if (code == EXIT_DONE && !opt->print_json)
    {
      json = json_loadb (a.body, a.body_len, 0, NULL);
      json_array_foreach (json_object_get (json, "history"), i, e)
        print_event (e);
      json_decref (json);
    }
  rpc_free (&a);
  return code;
}

/* Prints one line of the response to a watch request: a decision, or the
   number of decisions that were not sent.  An empty line marks the start of
   the response. */
static void
print_watch_line (const char *text, size_t len)
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

/* Prints one line of the response to a watch request unchanged. */
static void
print_raw_line (const char *text, size_t len)
{
  if (!len)
    return;
  printf ("%.*s\n", (int)len, text);
  fflush (stdout);
}

/* Prints decisions of all servers as they are made. */
static int
cmd_watch (const struct options *opt)
{
  char path[PATH_SIZE] = "/v1/watch";

  if (opt->watch_id)
    snprintf (path, sizeof path, "/v1/watch?id=%.100s", opt->watch_id);
  return rpc_stream (opt, path,
                     opt->print_json ? print_raw_line : print_watch_line);
}

/* Sends GET @path and prints the body of the answer unchanged. */
static int
get_and_print (const struct options *opt, const char *path)
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

/* Prints the resources in object @r as cores/memory/accelerators/slots. */
static void
print_resources (const char *name, json_t *r)
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
      printf ("  %-16s", string_field (item, "name"));
      print_resources ("used", json_object_get (item, "used"));
      print_resources ("granted", json_object_get (item, "granted"));
      print_resources ("limit", json_object_get (item, "limit"));
      printf (" waiting %lld\n", (long long)json_integer_value (
                                     json_object_get (item, "waiting")));
    }
  printf ("backend servers:\n");
  json_array_foreach (json_object_get (s, "workers"), i, item)
    {
      printf ("  %-16s %-9s", string_field (item, "id"),
              string_field (item, "state"));
      print_resources ("used", json_object_get (item, "used"));
      print_resources ("of", json_object_get (item, "room"));
      printf (
          "%s%s\n",
          json_is_true (json_object_get (item, "leaving")) ? " leaving" : "",
          json_is_true (json_object_get (item, "quarantined")) ? " quarantined"
                                                               : "");
    }
}

/* Prints the state of the fleet as known to the instance. */
static int
cmd_status (const struct options *opt)
{
  struct answer a;
  json_t *json;
  json_t *p;
  size_t i;
  int code;

  if (opt->print_json)
    return get_and_print (opt, "/v1/status");
  rpc (opt, "GET", "/v1/status", NULL, 0, &a);
  code = rpc_exit_code (&a);
  json = code ? NULL : json_loadb (a.body, a.body_len, 0, NULL);
  if (!json)
    {
      print_answer (opt, &a);
      rpc_free (&a);
      return code;
    }
  printf (
      "%s in %s: config %lld (confirmed current %lld ms ago), holder %s\n",
      string_field (json, "id"), string_field (json, "domain"),
      (long long)json_integer_value (json_object_get (json, "config_version")),
      (long long)json_integer_value (json_object_get (json, "config_age_ms")),
      string_field (json, "holder"));
  json_array_foreach (json_object_get (json, "peers"), i, p)
    printf (
        "  peer %s in %s: config %lld%s%s\n", string_field (p, "id"),
        string_field (p, "domain"),
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

/* enum verb - the commands, as indexes of commands[] */
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

/* Runs the command @verb and returns its exit code. */
static int
run_command (const struct command_line *cl, int verb)
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
      return get_and_print (opt, "/metrics");
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
  code = run_command (&cl, verb);
  curl_global_cleanup ();
  return code;
}
