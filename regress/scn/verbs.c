/*
 * scn-run - runs scenarios: Lua scripts with a dozen verbs on top.
 * usage: scn-run [-t] [-s SEED] [-n N] SCRIPT...
 * Each script is run with N seeds from SEED on.
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
field_int (lua_State *L, int t, const char *name, int64_t other)
{
  int64_t v = other;

  if (lua_getfield (L, t, name) != LUA_TNIL)
    v = luaL_checkinteger (L, -1);
  lua_pop (L, 1);
  return v;
}

static bool
field_bool (lua_State *L, int t, const char *name, bool other)
{
  bool v = other;

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

static int
v_entry (lua_State *L)
{
  world_add_node (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2));
  return 0;
}

/* worker(id, domain, rack, cores, mem_mb, accels) */
static int
v_worker (lua_State *L)
{
  struct clb_res room = { .cores = luaL_checkinteger (L, 4),
                          .mem_mb = luaL_checkinteger (L, 5),
                          .accels = luaL_optinteger (L, 6, 0) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 3), INST_WORKER, &room);
  return 0;
}

static int
v_executor (lua_State *L)
{
  struct clb_res room = { .slots = luaL_optinteger (L, 3, 8) };

  world_add_server (&world, luaL_checkstring (L, 1), luaL_checkstring (L, 2),
                    luaL_checkstring (L, 2), INST_EXECUTOR, &room);
  return 0;
}

static int
v_run (lua_State *L)
{
  world_run (&world, luaL_checkinteger (L, 1));
  if (check_broken (world.check))
    return luaL_error (L, "broken: %s", check_broken (world.check));
  return 0;
}

static int
v_kill (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  n->stopping = false; /* whatever was planned */
  world_kill (&world, n);
  return 0;
}

static int
v_restart (lua_State *L)
{
  world_boot (&world, arg_node (L, 1));
  return 0;
}

static int
v_freeze (lua_State *L)
{
  arg_node (L, 1)->frozen = true;
  return 0;
}

static int
v_thaw (lua_State *L)
{
  world_thaw (&world, arg_node (L, 1));
  return 0;
}

/* A planned stop, as by SIGTERM. */
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

static int
v_up (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  lua_pushboolean (L, n->up && !n->frozen && !n->stopping);
  return 1;
}

/* running(id): whether its process is there at all */
static int
v_running (lua_State *L)
{
  lua_pushboolean (L, arg_node (L, 1)->up);
  return 1;
}

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

static int
v_heal (lua_State *L)
{
  (void)L;
  world.n_cuts = 0;
  return 0;
}

static int
v_store (lua_State *L)
{
  static const char *const modes[]
      = { "up", "refuses", "hangs", "deaf", NULL };

  world.store_mode = luaL_checkoption (L, 1, NULL, modes);
  return 0;
}

/* faults{slow=ms, lose=per cent, late=per cent, lag=ms} */
static int
v_faults (lua_State *L)
{
  world.store_slow_ms = field_int (L, 1, "slow", world.store_slow_ms);
  world.lose_per_cent = (int)field_int (L, 1, "lose", world.lose_per_cent);
  world.late_per_cent = (int)field_int (L, 1, "late", world.late_per_cent);
  world.list_lag_ms = field_int (L, 1, "lag", world.list_lag_ms);
  return 0;
}

/* server(id, {fail_all=, silent=, mute=, refuses=, reboot=, slowness=,
 * leaving=}) */
static int
v_server (lua_State *L)
{
  struct wserver *s = world_server (&world, luaL_checkstring (L, 1));

  if (!s)
    return luaL_error (L, "no server %s", lua_tostring (L, 1));
  s->w.fail_all = field_bool (L, 2, "fail_all", s->w.fail_all);
  s->w.fence = field_bool (L, 2, "fence", s->w.fence);
  s->silent = field_bool (L, 2, "silent", s->silent);
  s->mute = field_bool (L, 2, "mute", s->mute);
  s->breaks = field_bool (L, 2, "breaks", s->breaks);
  s->refuses = field_bool (L, 2, "refuses", s->refuses);
  s->listed = field_bool (L, 2, "listed", s->listed);
  s->w.slowness = field_int (L, 2, "slowness", s->w.slowness);
  if (field_bool (L, 2, "reboot", false))
    fworker_reboot (&s->w, world.now_ms, ++world.next_boot);
  if (field_bool (L, 2, "leaving", s->leaving_ms > 0))
    s->leaving_ms = s->leaving_ms ? s->leaving_ms : world.now_ms;
  else
    s->leaving_ms = 0;
  world_publish (&world);
  return 0;
}

/* call{entry=, method=, path=, key=, key_id=, id=, body=, name=,
        idempotent=, service=, run_ms=} */
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
  if (check_broken (world.check))
    return luaL_error (L, "broken: %s", check_broken (world.check));
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

/* answer(call): its JSON with .status (0: none yet, -1: connection broke) */
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
  lua_setfield (L, -2, "took");
  return 1;
}

/* holder(domain): the instance that holds it by the latest epoch */
static int
v_holder (lua_State *L)
{
  const char *domain = luaL_checkstring (L, 1);
  const struct wnode *best = NULL;

  for (int i = 0; i < world.n_nodes; i++)
    {
      struct wnode *n = &world.nodes[i];
      if (n->up && strcmp (n->set.domain, domain) == 0 && n->node.sched
          && n->node.sched->phase == SCHED_READY
          && n->node.role.state == ROLE_HOLDER
          && (!best || n->node.role.epoch > best->node.role.epoch))
        best = n;
    }
  if (!best)
    return 0;
  lua_pushstring (L, best->set.id);
  return 1;
}

static int
v_version (lua_State *L)
{
  struct wnode *n = arg_node (L, 1);

  lua_pushinteger (L, n->up ? n->node.head.version : 0);
  return 1;
}

static int
v_now (lua_State *L)
{
  lua_pushinteger (L, world.now_ms);
  return 1;
}

static int
v_random (lua_State *L)
{
  uint64_t below = (uint64_t)luaL_checkinteger (L, 1);

  lua_pushinteger (L, (lua_Integer)world_random (&world, below) + 1);
  return 1;
}

static int
v_starts (lua_State *L)
{
  lua_pushinteger (L, check_starts (world.check, luaL_checkstring (L, 1)));
  return 1;
}

static int
v_used (lua_State *L)
{
  lua_pushinteger (L, check_used (world.check, luaL_checkstring (L, 1)));
  return 1;
}

static int
v_limit (lua_State *L)
{
  struct clb_res r
      = { field_int (L, 2, "cores", 0), field_int (L, 2, "mem_mb", 0),
          field_int (L, 2, "accels", 0), field_int (L, 2, "slots", 0) };

  check_limit (world.check, luaL_checkstring (L, 1), &r, lua_toboolean (L, 3));
  return 0;
}

static int
v_withdrawn (lua_State *L)
{
  check_key_withdrawn (world.check, luaL_checkstring (L, 1));
  return 0;
}

static int
v_key_hash (lua_State *L)
{
  char hash[CONF_HASH_HEX];

  conf_key_hash (luaL_checkstring (L, 1), luaL_checkstring (L, 2), hash);
  lua_pushstring (L, hash);
  return 1;
}

static int
v_accepted (lua_State *L)
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

static int
v_told (lua_State *L)
{
  check_state (world.check, luaL_checkstring (L, 1), luaL_checkstring (L, 2));
  if (check_broken (world.check))
    return luaL_error (L, "broken: %s", check_broken (world.check));
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
              "still %lld promise %lld up %d sched %d\n",
              n->set.id, n->up, n->frozen, r->state, r->row.holder,
              (long long)r->row.boot, (long long)r->row.epoch, r->row_known,
              (long long)(world.now_ms - r->row_changed_ms),
              (long long)(r->promise_until_ms - world.now_ms), r->store_up,
              n->up && n->node.sched ? n->node.sched->phase : -1);
    }
}

/* reset(): the world anew, for the next scenario of a script */
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

/* report(name, why): a scenario has ended; why is nil if it passed */
static int
v_report (lua_State *L)
{
  const char *why = lua_tostring (L, 2);

  if (!why)
    {
      n_passed++;
      return 0;
    }
  n_failed++;
  printf ("FAIL %s seed %llu: %s\n", luaL_checkstring (L, 1),
          (unsigned long long)run_seed, why);
  if (world.trace)
    print_nodes ();
  return 0;
}

static const luaL_Reg verbs[] = {
  { "entry", v_entry },       { "worker", v_worker },
  { "executor", v_executor }, { "run", v_run },
  { "kill", v_kill },         { "restart", v_restart },
  { "freeze", v_freeze },     { "thaw", v_thaw },
  { "stop", v_stop },         { "up", v_up },
  { "cut", v_cut },           { "heal", v_heal },
  { "store", v_store },       { "faults", v_faults },
  { "server", v_server },     { "call", v_call },
  { "answer", v_answer },     { "holder", v_holder },
  { "version", v_version },   { "now", v_now },
  { "random", v_random },     { "starts", v_starts },
  { "limit", v_limit },       { "withdrawn", v_withdrawn },
  { "key_hash", v_key_hash }, { "accepted", v_accepted },
  { "told", v_told },         { "reset", v_reset },
  { "running", v_running },   { "used", v_used },
  { "report", v_report },     { NULL, NULL },
};

static int
run_script (const char *dir, const char *script, uint64_t seed, bool trace,
            char *why, size_t size)
{
  lua_State *L = luaL_newstate ();
  char lib[512];
  int bad;

  run_seed = seed;
  world_init (&world, seed);
  world.trace = trace;
  luaL_openlibs (L);
  for (const luaL_Reg *v = verbs; v->name; v++)
    lua_register (L, v->name, v->func);
  lua_pushinteger (L, (lua_Integer)seed);
  lua_setglobal (L, "seed");
  snprintf (lib, sizeof lib, "%s/lib.lua", dir);
  bad = luaL_dofile (L, lib) || luaL_dofile (L, script);
  if (bad)
    snprintf (why, size, "%s", lua_tostring (L, -1));
  lua_close (L);
  world_fini (&world);
  return bad;
}

static void
dir_of (const char *path, char *out, size_t size)
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
  char why[512];

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
            dir_of (argv[i], dir, sizeof dir);
            if (run_script (dir, argv[i], seed, trace, why, sizeof why))
              {
                printf ("FAIL %s seed %llu: %s\n", argv[i],
                        (unsigned long long)seed, why);
                n_failed++;
              }
            fflush (stdout);
          }
    }
  printf ("%d passed, %d failed\n", n_passed, n_failed);
  return n_failed ? 1 : 0;
}
