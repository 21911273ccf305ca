/*
 * scn-run - runs scenarios, which are Lua scripts that call the verbs
 * registered here.
 *
 * usage: scn-run [-t] [-s SEED] [-n N] SCRIPT...
 *
 * Each script runs once with each of the N seeds SEED, SEED + 1, ...; both
 * default to 1.  The script's directory must hold lib.lua, which runs first.
 * -t prints a trace of answers, events and runs, and the state of the entry
 * instances after a failure.
 */
#include "world.h"

#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct world world;
static uint64_t run_seed; /* seed of the script that is running */
static int n_passed;      /* scenarios that passed */
static int n_failed;      /* scenarios and scripts that failed */

/* Returns the entry instance whose id is argument @i; raises a Lua error if
   there is none. */
static struct sim_node *
arg_node (lua_State *L, int i)
{
  struct sim_node *n = world_node (&world, luaL_checkstring (L, i));

  if (!n)
    luaL_error (L, "no entry instance %s", lua_tostring (L, i));
  return n;
}

/* Returns the integer field @name of the table at stack index @t; @fallback if
   the field is nil. */
static int64_t
field_int (lua_State *L, int t, const char *name, int64_t fallback)
{
  int64_t v = fallback;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = luaL_checkinteger (L, -1);
  lua_pop (L, 1);
  return v;
}

/* Returns the boolean field @name of the table at stack index @t; @fallback if
   the field is nil. */
static bool
field_bool (lua_State *L, int t, const char *name, bool fallback)
{
  bool v = fallback;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = lua_toboolean (L, -1);
  lua_pop (L, 1);
  return v;
}

/* Returns the string field @name of the table at stack index @t; NULL if the
   field is nil. */
static const char *
field_str (lua_State *L, int t, const char *name)
{
  const char *v = NULL;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = luaL_checkstring (L, -1);
  lua_pop (L, 1); /* the string stays valid: the Lua table holds it */
  return v;
}

/* add_entry(id, domain): adds an entry instance and starts its process */
static int
verb_add_entry (lua_State *L)
{
  world_add_node (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2));
  return 0;
}

/* add_worker(id, domain, rack, cores, mem_mb, accels): adds a worker;
   accels defaults to 0 */
static int
verb_add_worker (lua_State *L)
{
  struct clb_res capacity = { .cores = luaL_checkinteger (L, 4),
                              .mem_mb = luaL_checkinteger (L, 5),
                              .accels = luaL_optinteger (L, 6, 0) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 3), INST_WORKER, &capacity);
  return 0;
}

/* add_executor(id, domain, slots): adds an executor; slots defaults to 8 */
static int
verb_add_executor (lua_State *L)
{
  struct clb_res capacity = { .slots = luaL_optinteger (L, 3, 8) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 2), INST_EXECUTOR, &capacity);
  return 0;
}

/* run(ms): lets ms of virtual time pass; raises an error if a guarantee was
   violated */
static int
verb_run (lua_State *L)
{
  world_run (&world, luaL_checkinteger (L, 1));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 0;
}

/* kill(id): ends the process of an entry instance, as by SIGKILL */
static int
verb_kill (lua_State *L)
{
  struct sim_node *n = arg_node (L, 1);

  n->stopping = false; /* so that broken connections are no violation */
  world_kill_node (&world, n);
  return 0;
}

/* restart(id): starts a new process of an entry instance, unless its process
   exists */
static int
verb_restart (lua_State *L)
{
  world_start_node (&world, arg_node (L, 1));
  return 0;
}

/* freeze(id): pauses the process of an entry instance, as by SIGSTOP */
static int
verb_freeze (lua_State *L)
{
  arg_node (L, 1)->frozen = true;
  return 0;
}

/* thaw(id): resumes the frozen process of an entry instance, as by SIGCONT */
static int
verb_thaw (lua_State *L)
{
  world_thaw_node (&world, arg_node (L, 1));
  return 0;
}

/* stop(id): begins the planned stop of an entry instance, as by SIGTERM */
static int
verb_stop (lua_State *L)
{
  struct sim_node *n = arg_node (L, 1);

  if (!n->up || n->stopping)
    return 0;
  n->stopping = true;
  node_stop (&n->node, world.now_ms);
  return 0;
}

/* up(id): returns true if the process of the entry instance exists, is not
   frozen and is not stopping */
static int
verb_up (lua_State *L)
{
  struct sim_node *n = arg_node (L, 1);

  lua_pushboolean (L, n->up && !n->frozen && !n->stopping);
  return 1;
}

/* has_process(id): returns true if the process of the entry instance exists,
   also while it is frozen or stopping */
static int
verb_has_process (lua_State *L)
{
  lua_pushboolean (L, arg_node (L, 1)->up);
  return 1;
}

/* partition(a, b, one_way): stops messages between a and b, each an instance
   id, a domain or "platform"; with one_way = true only messages from a to b */
static int
verb_partition (lua_State *L)
{
  if (world.n_partitions == PARTITIONS_MAX)
    return luaL_error (L, "too many partitions");
  clb_copy (world.partitions[world.n_partitions].a, luaL_checkstring (L, 1),
            CLB_NAME_MAX);
  clb_copy (world.partitions[world.n_partitions].b, luaL_checkstring (L, 2),
            CLB_NAME_MAX);
  world.partitions[world.n_partitions++].one_way = lua_toboolean (L, 3);
  return 0;
}

/* heal(): ends all network partitions */
static int
verb_heal (lua_State *L)
{
  (void)L;
  world.n_partitions = 0;
  return 0;
}

/* store(mode): sets how the platform's store behaves: "up", "refuses", "hangs"
   or "drops-replies", in the order of enum store_mode */
static int
verb_store (lua_State *L)
{
  static const char *const modes[]
      = { "up", "refuses", "hangs", "drops-replies", NULL };

  world.store_mode = luaL_checkoption (L, 1, NULL, modes);
  return 0;
}

/*
 * faults{FIELD = value, ...}: sets faults of the platform and the network.  A
 * field that is left out keeps its value.
 * @store_delay_ms: added to the delay of each operation on its way to the
 * store
 * @lost_reply_percent: percentage of store writes that are carried out, not
 * answered
 * @late_percent: percentage of store operations and syncs that are delayed by
 * up to 1900 ms
 * @list_lag_ms: time until a change of the platform's list is visible
 */
static int
verb_faults (lua_State *L)
{
  world.store_delay_ms
      = field_int (L, 1, "store_delay_ms", world.store_delay_ms);
  world.lost_reply_percent
      = (int)field_int (L, 1, "lost_reply_percent", world.lost_reply_percent);
  world.late_percent
      = (int)field_int (L, 1, "late_percent", world.late_percent);
  world.list_lag_ms = field_int (L, 1, "list_lag_ms", world.list_lag_ms);
  return 0;
}

/*
 * server(id, {FIELD = value, ...}): changes a worker or executor.  A setting
 * that is left out keeps its value.  Settings, boolean unless said otherwise:
 * @fail_all: runs fail as they start, service requests end with HTTP status
 * 500
 * @fence: a sync whose epoch is lower than one seen before is refused
 * @unreachable: requests and syncs to the server are lost
 * @drops_replies: the server carries out syncs, but its replies are lost
 * @breaks_connections: connections to the executor break while it serves
 * @refuses_connections: the executor refuses new connections
 * @listed: the platform's list of instances contains the server
 * @slowness: integer; task run times are multiplied by it; 0 counts as 1
 * @leaving: the platform's list shows the server as leaving
 *
 * @reboot is no setting: true reboots the server once, at this time, and the
 * server forgets its runs.
 */
static int
verb_server (lua_State *L)
{
  struct sim_server *s = world_server (&world, luaL_checkstring (L, 1));

  if (!s)
    return luaL_error (L, "no worker or executor %s", lua_tostring (L, 1));
  s->worker.fail_all = field_bool (L, 2, "fail_all", s->worker.fail_all);
  s->worker.fence = field_bool (L, 2, "fence", s->worker.fence);
  s->unreachable = field_bool (L, 2, "unreachable", s->unreachable);
  s->drops_replies = field_bool (L, 2, "drops_replies", s->drops_replies);
  s->breaks_connections
      = field_bool (L, 2, "breaks_connections", s->breaks_connections);
  s->refuses_connections
      = field_bool (L, 2, "refuses_connections", s->refuses_connections);
  s->listed = field_bool (L, 2, "listed", s->listed);
  s->worker.slowness = field_int (L, 2, "slowness", s->worker.slowness);
  if (field_bool (L, 2, "reboot", false))
    fworker_reboot (&s->worker, world.now_ms, ++world.last_boot);
  if (field_bool (L, 2, "leaving", s->leaving_since_ms > 0))
    s->leaving_since_ms
        = s->leaving_since_ms ? s->leaving_since_ms : world.now_ms;
  else
    s->leaving_since_ms = 0;
  world_publish_instances (&world);
  return 0;
}

/*
 * call{FIELD = value, ...}: sends a caller's request and returns its number,
 * for answer().  Fields, optional but for the first three:
 * @entry: id of the entry instance that receives the request
 * @method: "GET", "POST", "PUT" or "DELETE"
 * @path: HTTP path with the query
 * @key: bearer token, sent with the request
 * @key_id: id of the key in the manifest, for the checker
 * @id: request id, sent as the X-Request-Id header
 * @body: text of the request's body
 * @name: "team:request id", for the checker; without it the answer is not
 *        checked
 * @idempotent: boolean, for the checker: the request may run more than once;
 *              default true
 * @service: boolean: true for a service request; default false
 * @run_ms: run time of a service request at the executor; default 0, which
 *          stands for 20 ms
 */
static int
verb_call (lua_State *L)
{
  static const char *const methods[]
      = { "GET", "POST", "PUT", "DELETE", NULL };
  struct caller_request template = { .run_ms = field_int (L, 1, "run_ms", 0) };
  const char *method = field_str (L, 1, "method");
  const char *name = field_str (L, 1, "name");
  const char *key_id = field_str (L, 1, "key_id");
  int m = 0;

  while (methods[m] && strcmp (methods[m], method) != 0)
    m++;
  clb_copy (template.entry_id, field_str (L, 1, "entry"),
            sizeof template.entry_id);
  if (name)
    clb_copy (template.name, name, sizeof template.name);
  if (key_id)
    clb_copy (template.key_id, key_id, sizeof template.key_id);
  template.idempotent = field_bool (L, 1, "idempotent", true);
  template.service = field_bool (L, 1, "service", false);
  lua_pushinteger (
      L, world_send_request (&world, &template, m, field_str (L, 1, "path"),
                             field_str (L, 1, "key"), field_str (L, 1, "id"),
                             field_str (L, 1, "body")));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 1;
}

/* Pushes the JSON value @v as a Lua value. */
static void
push_json (lua_State *L, json_t *v)
{
  const char *key;
  json_t *item;
  size_t i;

  switch (json_typeof (v))
    {
    case JSON_OBJECT:
      lua_newtable (L);
      json_object_foreach (v, key, item)
        {
          push_json (L, item);
          lua_setfield (L, -2, key);
        }
      break;
    case JSON_ARRAY:
      lua_newtable (L);
      json_array_foreach (v, i, item)
        {
          push_json (L, item);
          lua_rawseti (L, -2, (lua_Integer)i + 1);
        }
      break;
    case JSON_STRING:
      lua_pushstring (L, json_string_value (v));
      break;
    case JSON_INTEGER:
      lua_pushinteger (L, json_integer_value (v));
      break;
    case JSON_TRUE:
    case JSON_FALSE:
      lua_pushboolean (L, json_is_true (v));
      break;
    default:
      lua_pushnil (L);
      break;
    }
}

/* answer(call): returns the JSON of the answer as a table, with two more
   fields: status (HTTP status; 0: no answer yet; -1: the connection broke) and
   latency_ms (time from the request to the answer) */
static int
verb_answer (lua_State *L)
{
  const struct caller_request *c = &world.calls[luaL_checkinteger (L, 1)];
  json_t *json = c->body ? json_loads (c->body, 0, NULL) : NULL;

  if (json)
    push_json (L, json);
  else
    lua_newtable (L);
  json_decref (json);
  lua_pushinteger (L, c->status);
  lua_setfield (L, -2, "status");
  lua_pushinteger (L, c->answered_ms - c->sent_ms);
  lua_setfield (L, -2, "latency_ms");
  return 1;
}

/* holder(domain): returns the id of the entry instance that schedules the
   domain; of several such instances, the id of the one with the highest epoch;
   nothing if there is none */
static int
verb_holder (lua_State *L)
{
  const char *domain = luaL_checkstring (L, 1);
  const struct sim_node *latest = NULL;

  for (int i = 0; i < world.n_nodes; i++)
    {
      struct sim_node *n = &world.nodes[i];
      if (n->up && strcmp (n->settings.domain, domain) == 0 && n->node.sched
          && n->node.sched->phase == SCHED_READY
          && n->node.role.state == ROLE_HOLDER
          && (!latest || n->node.role.epoch > latest->node.role.epoch))
        latest = n;
    }
  if (!latest)
    return 0;
  lua_pushstring (L, latest->settings.id);
  return 1;
}

/* version(id): returns the version of the configuration that an entry instance
   has; 0: it has none, or its process does not exist */
static int
verb_version (lua_State *L)
{
  struct sim_node *n = arg_node (L, 1);

  lua_pushinteger (L, n->up ? n->node.head.version : 0);
  return 1;
}

/* now(): returns the virtual time in ms */
static int
verb_now (lua_State *L)
{
  lua_pushinteger (L, world.now_ms);
  return 1;
}

/* random(n): returns a random integer from 1 to n */
static int
verb_random (lua_State *L)
{
  uint64_t below = (uint64_t)luaL_checkinteger (L, 1);

  lua_pushinteger (L, (lua_Integer)world_random (&world, below) + 1);
  return 1;
}

/* starts(name): returns how often the request with this name, "team:request
   id", was started on any worker or executor */
static int
verb_starts (lua_State *L)
{
  lua_pushinteger (L,
                   check_count_starts (world.check, luaL_checkstring (L, 1)));
  return 1;
}

/* used_cores(team): returns the number of cores that the team's tasks use in
   all domains */
static int
verb_used_cores (lua_State *L)
{
  lua_pushinteger (L, check_used_cores (world.check, luaL_checkstring (L, 1)));
  return 1;
}

/*
 * note_limit(team, {cores=, mem_mb=, accels=, slots=}, outcome_unknown):
 * notifies the checker that a team's upper limit changes at this time.  An
 * amount that is left out is 0.
 * @outcome_unknown: true: the change is requested, but not known to be
 * accepted; default false: the change is accepted
 */
static int
verb_note_limit (lua_State *L)
{
  struct clb_res r
      = { field_int (L, 2, "cores", 0), field_int (L, 2, "mem_mb", 0),
          field_int (L, 2, "accels", 0), field_int (L, 2, "slots", 0) };

  check_note_limit (world.check, luaL_checkstring (L, 1), &r,
                    lua_toboolean (L, 3));
  return 0;
}

/* note_key_withdrawn(key_id): notifies the checker that the key key_id is
   withdrawn at this time */
static int
verb_note_key_withdrawn (lua_State *L)
{
  check_note_key_withdrawn (world.check, luaL_checkstring (L, 1));
  return 0;
}

/* key_hash(salt, secret): returns the hash of a key's secret that a manifest
   holds */
static int
verb_key_hash (lua_State *L)
{
  char hash[CONF_HASH_HEX];

  conf_key_hash (luaL_checkstring (L, 1), luaL_checkstring (L, 2), hash);
  lua_pushstring (L, hash);
  return 1;
}

/* accepted_tasks(): returns an array of the ids of all accepted tasks */
static int
verb_accepted_tasks (lua_State *L)
{
  const char *id;
  int at = 0;

  lua_newtable (L);
  while ((id = check_next_accepted (world.check, &at)))
    {
      lua_pushstring (L, id);
      lua_rawseti (L, -2, at);
    }
  return 1;
}

/* check_final_state(id, state): checks the state that an instance reported for
   an accepted task; all faults must have ended before the state is queried */
static int
verb_check_final_state (lua_State *L)
{
  check_final_state (world.check, luaL_checkstring (L, 1),
                     luaL_checkstring (L, 2));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 0;
}

/* Prints the state of every entry instance, for the trace of a failure. */
static void
print_nodes (void)
{
  for (int i = 0; i < world.n_nodes; i++)
    {
      const struct sim_node *n = &world.nodes[i];
      const struct role *r = &n->node.role;
      printf ("%s up %d frozen %d: role %d row %s/%lld epoch %lld known %d "
              "unchanged %lld ms promise %lld ms store_up %d sched %d\n",
              n->settings.id, n->up, n->frozen, r->state, r->row.holder,
              (long long)r->row.boot, (long long)r->row.epoch, r->row_known,
              (long long)(world.now_ms - r->row_changed_ms),
              (long long)(r->promise_until_ms - world.now_ms), r->store_up,
              n->up && n->node.sched ? n->node.sched->phase : -1);
    }
}

/* reset(): replaces the world by a new one with the same seed, for the next
   scenario of the script */
static int
verb_reset (lua_State *L)
{
  bool trace = world.trace;

  (void)L;
  world_fini (&world);
  world_init (&world, run_seed);
  world.trace = trace;
  return 0;
}

/* report(name, error): counts the result of a scenario; error is nil if the
   scenario passed, else the text of its failure */
static int
verb_report (lua_State *L)
{
  const char *error = lua_tostring (L, 2);

  if (!error)
    {
      n_passed++;
      return 0;
    }
  n_failed++;
  printf ("FAIL %s seed %llu: %s\n", luaL_checkstring (L, 1),
          (unsigned long long)run_seed, error);
  if (world.trace)
    print_nodes ();
  return 0;
}

static const luaL_Reg verbs[] = {
  { "add_entry", verb_add_entry },
  { "add_worker", verb_add_worker },
  { "add_executor", verb_add_executor },
  { "run", verb_run },
  { "kill", verb_kill },
  { "restart", verb_restart },
  { "freeze", verb_freeze },
  { "thaw", verb_thaw },
  { "stop", verb_stop },
  { "up", verb_up },
  { "partition", verb_partition },
  { "heal", verb_heal },
  { "store", verb_store },
  { "faults", verb_faults },
  { "server", verb_server },
  { "call", verb_call },
  { "answer", verb_answer },
  { "holder", verb_holder },
  { "version", verb_version },
  { "now", verb_now },
  { "random", verb_random },
  { "starts", verb_starts },
  { "note_limit", verb_note_limit },
  { "note_key_withdrawn", verb_note_key_withdrawn },
  { "key_hash", verb_key_hash },
  { "accepted_tasks", verb_accepted_tasks },
  { "check_final_state", verb_check_final_state },
  { "reset", verb_reset },
  { "has_process", verb_has_process },
  { "used_cores", verb_used_cores },
  { "report", verb_report },
  { NULL, NULL },
};

/* Runs one script with one seed in a new Lua state.  Returns 0, or nonzero
   with the text of the error in @error if the script itself fails. */
static int
run_script (const char *dir, const char *script, uint64_t seed, bool trace,
            char *error, size_t size)
{
  lua_State *L = luaL_newstate ();
  char lib[512];
  int failed;

  run_seed = seed;
  world_init (&world, seed);
  world.trace = trace;
  luaL_openlibs (L);
  for (const luaL_Reg *v = verbs; v->name; v++)
    lua_register (L, v->name, v->func);
  lua_pushinteger (L, (lua_Integer)seed);
  lua_setglobal (L, "seed");
  snprintf (lib, sizeof lib, "%s/lib.lua", dir);
  failed = luaL_dofile (L, lib) || luaL_dofile (L, script);
  if (failed)
    snprintf (error, size, "%s", lua_tostring (L, -1));
  lua_close (L);
  world_fini (&world);
  return failed;
}

/* Copies the directory part of @path to @out, or "." if there is none. */
static void
path_dir (const char *path, char *out, size_t size)
{
  char *slash;

  clb_copy (out, path, size);
  slash = strrchr (out, '/');
  if (slash)
    *slash = '\0';
  else
    clb_copy (out, ".", size);
}

int
main (int argc, char **argv)
{
  uint64_t first_seed = 1;
  uint64_t n_seeds = 1;
  bool trace = false;
  char dir[400];
  char error[512];

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "-t") == 0)
        trace = true;
      else if (strcmp (argv[i], "-s") == 0 && i + 1 < argc)
        first_seed = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "-n") == 0 && i + 1 < argc)
        n_seeds = strtoull (argv[++i], NULL, 10);
      else
        for (uint64_t seed = first_seed; seed < first_seed + n_seeds; seed++)
          {
            path_dir (argv[i], dir, sizeof dir);
            if (run_script (dir, argv[i], seed, trace, error, sizeof error))
              {
                printf ("FAIL %s seed %llu: %s\n", argv[i],
                        (unsigned long long)seed, error);
                n_failed++;
              }
            fflush (stdout);
          }
    }
  printf ("%d passed, %d failed\n", n_passed, n_failed);
  return n_failed ? 1 : 0;
}
