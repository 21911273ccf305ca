#include "fleet.h"
#include "unit.h"

#include <string.h>

static int
no_conf (const char *text, struct fconf **out, struct codec_err *ce)
{
  (void)text;
  (void)out;
  (void)ce;
  return CLB_EFIELD;
}

static void
start (struct fleet *f, int64_t boot)
{
  struct fleet_settings set = {
    .boot = boot,
    .codec = { .decode_conf = no_conf, .conf_table = "op", .exec_table = "ex" }
  };

  clb_copy (set.id, "n1", sizeof set.id);
  clb_copy (set.mesh_addr, "a", sizeof set.mesh_addr);
  fleet_init (f, &set, 1000);
  fleet_tick (f, 1000, 1000);
}

/* The number of its next call to the table. */
static uint64_t
call_no (struct fleet *f)
{
  struct out *o = fleet_next_out (f);
  uint64_t no = o && o->kind == OUT_STORE ? o->u.store.token : 0;

  if (o)
    out_free (o);
  return no;
}

/* A reply that was sent to a process may reach the next one on the same
   address, through another instance. */
static void
test_lives_share_no_numbers (void)
{
  struct fleet first, second;
  uint64_t a, b;

  start (&first, 1796352007000);
  start (&second, 1796352007741);
  a = call_no (&first);
  b = call_no (&second);
  CU_ASSERT_NOT_EQUAL (a, 0);
  CU_ASSERT_NOT_EQUAL (b, 0);
  CU_ASSERT (b - a > 1000000);
  CU_ASSERT (b < INT64_MAX);
  fleet_fini (&first);
  fleet_fini (&second);
}

/* The rank that a leader tells whoever greets it now. */
static int64_t
rank_told (struct fleet *f, int64_t now_ms, const char *from)
{
  struct mesh_msg hello = { .kind = MESH_HELLO, .millicores = 120 };
  struct out *o;
  int64_t rank = -1;

  clb_copy (hello.from, from, sizeof hello.from);
  clb_copy (hello.addr, from, sizeof hello.addr);
  fleet_mesh_msg (f, now_ms, &hello);
  while ((o = fleet_next_out (f)))
    {
      if (o->kind == OUT_FLEET_MSG && o->u.mesh.msg->kind == MESH_HELLO_REPLY)
        rank = o->u.mesh.msg->rank;
      out_free (o);
    }
  return rank;
}

/* The first to greet a new leader is not the strongest for that. */
static void
test_young_leader_ranks_nobody (void)
{
  struct fleet f;

  start (&f, 1796352007000);
  f.leader.state = LEADER_LEADING;
  f.leader.renewed_ms = 1000;
  f.fsched = fsched_new (&f.out, &f.last_token, 1000, 1, 0, &f.stats.fsched);
  CU_ASSERT_EQUAL (rank_told (&f, 1100, "n2"), 0);
  CU_ASSERT_EQUAL (rank_told (&f, 2600, "n2"), 1);
  fleet_fini (&f);
}

static void
test_earlier_rank_stands (void)
{
  struct leader l;
  struct outq out = TAILQ_HEAD_INITIALIZER (out);
  uint64_t tokens = 0;

  leader_init (&l, 0, "n1", "a", 1, 120, &out, &tokens);
  leader_handle_contact (&l, 100, 1, 8);
  leader_handle_contact (&l, 200, 2, -1);
  CU_ASSERT_EQUAL (l.rank, 8);
  leader_fini (&l);
}

UNIT_MAIN ("fleet",
           { "two lives share no numbers", test_lives_share_no_numbers },
           { "a young leader ranks nobody", test_young_leader_ranks_nobody },
           { "an earlier rank stands", test_earlier_rank_stands })
