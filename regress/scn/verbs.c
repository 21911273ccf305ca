/*
 * scn-run - runs scenarios, which are Lua scripts that call the verbs
 * registered here.
 *
 * usage: scn-run [-t] [-s SEED] [-n N] SCRIPT...
 *
 * Each script runs once with each of the N seeds SEED, SEED + 1, ...; both
 * default to 1.  The script's directory must hold lib.lua, which runs first.
 * -t prints a trace of answers, events and runs.
 */
#include "world.h"

#include <lauxlib.h>
#include <lua.h>
#include <lualib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct world world;
static uint64_t run_seed;
static int n_passed;
static int n_failed;

static struct wnode *
arg_node (lua_State *L, int i)
{
  struct wnode *n = world_node (&world, luaL_checkstring (L, i));

  if (!n)
    luaL_error (L, "no entry instance %s", lua_tostring (L, i));
  return n;
}

static int64_t
field_int (lua_State *L, int t, const char *name, int64_t fallback)
{
  int64_t v = fallback;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = luaL_checkinteger (L, -1);
  lua_pop (L, 1);
  return v;
}

static bool
field_bool (lua_State *L, int t, const char *name, bool fallback)
{
  bool v = fallback;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = lua_toboolean (L, -1);
  lua_pop (L, 1);
  return v;
}

static const char *
field_str (lua_State *L, int t, const char *name)
{
  const char *v = NULL;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = luaL_checkstring (L, -1);
  lua_pop (L, 1); /* the table keeps the string */
  return v;
}

/* entry(id, domain): adds an entry instance and starts it */
static int
v_entry (lua_State *L)
{
  world_add_node (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2));
  return 0;
}

/* worker(id, domain, rack, cores, mem_mb, accels): adds a worker */
static int
v_worker (lua_State *L)
{
  struct clb_res capacity = { .cores = luaL_checkinteger (L, 4),
                              .mem_mb = luaL_checkinteger (L, 5),
                              .accels = luaL_optinteger (L, 6, 0) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 3), INST_WORKER, &capacity);
  return 0;
}

/* executor(id, domain, slots): adds an executor; slots default to 8 */
static int
v_executor (lua_State *L)
{
  struct clb_res capacity = { .slots = luaL_optinteger (L, 3, 8) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 2), INST_EXECUTOR, &capacity);
  return 0;
}

/* run(ms): lets virtual time pass; fails if a guarantee was violated */
static int
v_run (lua_State *L)
{
  world_run (&world, luaL_checkinteger (L, 1));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 0;
}

/* kill(id): ends an entry instance's process, as by SIGKILL */
static int
v_kill (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  n->stopping = false; /* a kill overrides a planned stop */
  world_kill (&world, n);
  return 0;
}

/* restart(id): starts an entry instance unless it is running */
static int
v_restart (lua_State *L)
{
  world_boot (&world, arg_node (L, 1));
  return 0;
}

/* freeze(id): pauses an entry instance's process, as by SIGSTOP */
static int
v_freeze (lua_State *L)
{
  arg_node (L, 1)->frozen = true;
  return 0;
}

/* thaw(id): ends a freeze, as by SIGCONT */
static int
v_thaw (lua_State *L)
{
  world_thaw (&world, arg_node (L, 1));
  return 0;
}

/* stop(id): begins a planned stop, as by SIGTERM */
static int
v_stop (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  if (!n->up || n->stopping)
    return 0;
  n->stopping = true;
  node_stop (&n->node, world.now_ms);
  return 0;
}

/* up(id): whether its process runs, is not frozen and is not stopping */
static int
v_up (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  lua_pushboolean (L, n->up && !n->frozen && !n->stopping);
  return 1;
}

/* has_process(id): whether its process exists, also frozen or stopping */
static int
v_has_process (lua_State *L)
{
  lua_pushboolean (L, arg_node (L, 1)->up);
  return 1;
}

/* cut(a, b, one_way): partitions the network between a and b, each an
   instance, a domain or "platform"; one_way: only from a to b */
static int
v_cut (lua_State *L)
{
  if (world.n_cuts == CUTS_MAX)
    return luaL_error (L, "too many cuts");
  clb_copy (world.cuts[world.n_cuts].a, luaL_checkstring (L, 1), CLB_NAME_MAX);
  clb_copy (world.cuts[world.n_cuts].b, luaL_checkstring (L, 2), CLB_NAME_MAX);
  world.cuts[world.n_cuts++].one_way = lua_toboolean (L, 3);
  return 0;
}

/* heal(): ends all cuts */
static int
v_heal (lua_State *L)
{
  (void)L;
  world.n_cuts = 0;
  return 0;
}

/* store(mode): sets how the platform's store behaves: "up", "refuses",
   "hangs" or "drops-replies", see enum store_mode */
static int
v_store (lua_State *L)
{
  static const char *const modes[]
      = { "up", "refuses", "hangs", "drops-replies", NULL };

  world.store_mode = luaL_checkoption (L, 1, NULL, modes);
  return 0;
}

/* faults{store_delay_ms=, lost_reply_percent=, late_percent=, list_lag_ms=}:
   sets the fields of struct world; a field that is left out stays */
static int
v_faults (lua_State *L)
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

/* server(id, {fail_all=, fence=, unreachable=, drops_replies=,
   breaks_connections=, refuses_connections=, listed=, slowness=, reboot=,
   leaving=}): changes a worker or executor; a field that is left out stays */
static int
v_server (lua_State *L)
{
  struct wserver *s = world_server (&world, luaL_checkstring (L, 1));

  if (!s)
    return luaL_error (L, "no worker or executor %s", lua_tostring (L, 1));
  s->w.fail_all = field_bool (L, 2, "fail_all", s->w.fail_all);
  s->w.fence = field_bool (L, 2, "fence", s->w.fence);
  s->unreachable = field_bool (L, 2, "unreachable", s->unreachable);
  s->drops_replies = field_bool (L, 2, "drops_replies", s->drops_replies);
  s->breaks_connections
      = field_bool (L, 2, "breaks_connections", s->breaks_connections);
  s->refuses_connections
      = field_bool (L, 2, "refuses_connections", s->refuses_connections);
  s->listed = field_bool (L, 2, "listed", s->listed);
  s->w.slowness = field_int (L, 2, "slowness", s->w.slowness);
  if (field_bool (L, 2, "reboot", false))
    fworker_reboot (&s->w, world.now_ms, ++world.last_boot);
  if (field_bool (L, 2, "leaving", s->leaving_since_ms > 0))
    s->leaving_since_ms
        = s->leaving_since_ms ? s->leaving_since_ms : world.now_ms;
  else
    s->leaving_since_ms = 0;
  world_publish (&world);
  return 0;
}

/* call{entry=, method=, path=, key=, key_id=, id=, body=, name=,
        idempotent=, service=, run_ms=}: sends a caller's request; key is the
   bearer token, id the request id; returns the call for answer() */
static int
v_call (lua_State *L)
{
  static const char *const methods[]
      = { "GET", "POST", "PUT", "DELETE", NULL };
  struct wcall proto = { .run_ms = field_int (L, 1, "run_ms", 0) };
  const char *method = field_str (L, 1, "method");
  const char *name = field_str (L, 1, "name");
  const char *key_id = field_str (L, 1, "key_id");
  int m = 0;

  while (methods[m] && strcmp (methods[m], method) != 0)
    m++;
  clb_copy (proto.entry, field_str (L, 1, "entry"), sizeof proto.entry);
  if (name)
    clb_copy (proto.name, name, sizeof proto.name);
  if (key_id)
    clb_copy (proto.key, key_id, sizeof proto.key);
  proto.idempotent = field_bool (L, 1, "idempotent", true);
  proto.service = field_bool (L, 1, "service", false);
  lua_pushinteger (L,
                   world_call (&world, &proto, m, field_str (L, 1, "path"),
                               field_str (L, 1, "key"), field_str (L, 1, "id"),
                               field_str (L, 1, "body")));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 1;
}

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

/* answer(call): the answer's JSON as a table, with .status (HTTP status; 0: no
   answer yet; -1: the connection broke) and .latency_ms */
static int
v_answer (lua_State *L)
{
  const struct wcall *c = &world.calls[luaL_checkinteger (L, 1)];
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

/* holder(domain): id of the instance that schedules the domain with the
   highest epoch, or nothing */
static int
v_holder (lua_State *L)
{
  const char *domain = luaL_checkstring (L, 1);
  const struct wnode *latest = NULL;

  for (int i = 0; i < world.n_nodes; i++)
    {
      struct wnode *n = &world.nodes[i];
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

/* version(id): version of the configuration that an entry instance knows; 0:
   none, or no process */
static int
v_version (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  lua_pushinteger (L, n->up ? n->node.head.version : 0);
  return 1;
}

/* now(): virtual time in ms */
static int
v_now (lua_State *L)
{
  lua_pushinteger (L, world.now_ms);
  return 1;
}

/* random(n): a number from 1 to n */
static int
v_random (lua_State *L)
{
  uint64_t below = (uint64_t)luaL_checkinteger (L, 1);

  lua_pushinteger (L, (lua_Integer)world_random (&world, below) + 1);
  return 1;
}

/* starts(name): how often the request "team:request id" was started */
static int
v_starts (lua_State *L)
{
  lua_pushinteger (L, check_starts (world.check, luaL_checkstring (L, 1)));
  return 1;
}

/* used(team): cores that the team's tasks use in all domains */
static int
v_used (lua_State *L)
{
  lua_pushinteger (L, check_used_cores (world.check, luaL_checkstring (L, 1)));
  return 1;
}

/* note_limit(team, {cores=, mem_mb=, accels=, slots=}, outcome_unknown): tells
   the checker of a team's new upper limit */
static int
v_note_limit (lua_State *L)
{
  struct clb_res r
      = { field_int (L, 2, "cores", 0), field_int (L, 2, "mem_mb", 0),
          field_int (L, 2, "accels", 0), field_int (L, 2, "slots", 0) };

  check_limit (world.check, luaL_checkstring (L, 1), &r, lua_toboolean (L, 3));
  return 0;
}

/* note_key_withdrawn(key): tells the checker that a key is withdrawn now */
static int
v_note_key_withdrawn (lua_State *L)
{
  check_key_withdrawn (world.check, luaL_checkstring (L, 1));
  return 0;
}

/* key_hash(salt, secret): the hash that a manifest keeps of a key */
static int
v_key_hash (lua_State *L)
{
  char hash[CONF_HASH_HEX];

  conf_key_hash (luaL_checkstring (L, 1), luaL_checkstring (L, 2), hash);
  lua_pushstring (L, hash);
  return 1;
}

/* accepted_tasks(): list of the ids of all accepted tasks */
static int
v_accepted_tasks (lua_State *L)
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

/* check_final_state(id, state): checks the state that was reported for an
   accepted task after all faults are over */
static int
v_check_final_state (lua_State *L)
{
  check_final_state (world.check, luaL_checkstring (L, 1),
                     luaL_checkstring (L, 2));
  if (check_violation (world.check))
    return luaL_error (L, "guarantee violated: %s",
                       check_violation (world.check));
  return 0;
}

static void
print_nodes (void)
{
  for (int i = 0; i < world.n_nodes; i++)
    {
      const struct wnode *n = &world.nodes[i];
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

/* reset(): a new world with the same seed, for a script's next scenario */
static int
v_reset (lua_State *L)
{
  bool trace = world.trace;

  (void)L;
  world_fini (&world);
  world_init (&world, run_seed);
  world.trace = trace;
  return 0;
}

/* report(name, error): counts a scenario's result; error is nil on success */
static int
v_report (lua_State *L)
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
  { "entry", v_entry },
  { "worker", v_worker },
  { "executor", v_executor },
  { "run", v_run },
  { "kill", v_kill },
  { "restart", v_restart },
  { "freeze", v_freeze },
  { "thaw", v_thaw },
  { "stop", v_stop },
  { "up", v_up },
  { "cut", v_cut },
  { "heal", v_heal },
  { "store", v_store },
  { "faults", v_faults },
  { "server", v_server },
  { "call", v_call },
  { "answer", v_answer },
  { "holder", v_holder },
  { "version", v_version },
  { "now", v_now },
  { "random", v_random },
  { "starts", v_starts },
  { "note_limit", v_note_limit },
  { "note_key_withdrawn", v_note_key_withdrawn },
  { "key_hash", v_key_hash },
  { "accepted_tasks", v_accepted_tasks },
  { "check_final_state", v_check_final_state },
  { "reset", v_reset },
  { "has_process", v_has_process },
  { "used", v_used },
  { "report", v_report },
  { NULL, NULL },
};

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
  uint64_t first = 1;
  uint64_t seeds = 1;
  bool trace = false;
  char dir[400];
  char error[512];

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "-t") == 0)
        trace = true;
      else if (strcmp (argv[i], "-s") == 0 && i + 1 < argc)
        first = strtoull (argv[++i], NULL, 10);
      else if (strcmp (argv[i], "-n") == 0 && i + 1 < argc)
        seeds = strtoull (argv[++i], NULL, 10);
      else
        for (uint64_t seed = first; seed < first + seeds; seed++)
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
