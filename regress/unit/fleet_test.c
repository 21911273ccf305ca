/* Tests of a single instance of the fleet's scheduler. */
#include "fleet.h"
#include "fsched_impl.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

/* Refuses every text; a configuration decoder for struct fleet_codec. */
static int
refuse_conf (const char *text, struct fconf **out, struct codec_err *ce)
{
  (void)text;
  (void)out;
  (void)ce;
  return CLB_EFIELD;
}

/* Initializes @f as a new process with boot number @boot and calls its first
   tick, at 1000 ms. */
static void
start_instance (struct fleet *f, int64_t boot)
{
  struct fleet_settings settings = { .boot = boot,
                                     .codec = { .decode_conf = refuse_conf,
                                                .conf_table = "op",
                                                .exec_table = "ex",
                                                .evac_prefix = "evac/" } };

  clb_copy (settings.id, "n1", sizeof settings.id);
  clb_copy (settings.mesh_addr, "a", sizeof settings.mesh_addr);
  fleet_init (f, &settings, 1000);
  fleet_tick (f, 1000, 1000);
}

/* Takes the next output of an instance.

   Return: the token of the output if it is a call to the table, otherwise 0.
 */
static uint64_t
next_store_token (struct fleet *f)
{
  struct out *o = fleet_next_out (f);
  uint64_t token = o && o->kind == OUT_STORE ? o->u.store.token : 0;

  if (o)
    out_free (o);
  return token;
}

/* Another instance may pass a table reply for a process to the next process on
   the same address.  The tokens of the two processes must differ, or the next
   process takes the reply for an answer to one of its own calls. */
static void
test_store_tokens_of_restarted_process (void)
{
  struct fleet first, second;
  uint64_t first_token, second_token;

  start_instance (&first, 1796352007000);
  start_instance (&second, 1796352007741);
  first_token = next_store_token (&first);
  second_token = next_store_token (&second);
  CU_ASSERT_NOT_EQUAL (first_token, 0);
  CU_ASSERT_NOT_EQUAL (second_token, 0);
  CU_ASSERT (second_token - first_token > 1000000);
  CU_ASSERT (second_token < INT64_MAX);
  fleet_fini (&first);
  fleet_fini (&second);
}

/* Passes a hello of instance @from to the leader @f.

   Return: the rank in the leader's reply; 0 if the reply contains no rank, -1
   if the leader does not reply. */
static int64_t
rank_in_hello_reply (struct fleet *f, int64_t now_ms, const char *from)
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

/* A recently elected leader has not received the hellos of all instances yet.
   It must not rank the first sender of a hello as the strongest instance. */
static void
test_recently_elected_leader_sends_no_rank (void)
{
  struct fleet f;

  start_instance (&f, 1796352007000);
  f.leader.state = LEADER_LEADING;
  f.leader.renewed_ms = 1000;
  f.fsched = fsched_new (&f.out, &f.last_token, 1000, 1, 0, &f.stats.fsched);
  CU_ASSERT_EQUAL (rank_in_hello_reply (&f, 1100, "n2"), 0);
  CU_ASSERT_EQUAL (rank_in_hello_reply (&f, 2600, "n2"), 1);
  fleet_fini (&f);
}

/* A new leader may send a message without a rank (-1).  Such a message must
   not replace the rank that an earlier leader sent. */
static void
test_missing_rank_keeps_last_rank (void)
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

/* A follower must not keep a queue closed for long without a leader. */
static void
test_followers_learn_of_overloaded_queues (void)
{
  struct fleet leader, follower;
  struct mesh_msg hello = { .kind = MESH_HELLO };
  struct fsched_queue *q = fsched_zalloc (1, sizeof *q);
  struct out *o;

  start_instance (&leader, 1796352007000);
  leader.leader.state = LEADER_LEADING;
  leader.leader.renewed_ms = 1000;
  leader.fsched = fsched_new (&leader.out, &leader.last_token, 1000, 1, 0,
                              &leader.stats.fsched);
  clb_copy (q->name, "wide", sizeof q->name);
  q->overloaded = true;
  q->advice_wait_ms = 20000;
  TAILQ_INSERT_TAIL (&leader.fsched->queues, q, link);
  start_instance (&follower, 1796352007741);
  clb_copy (follower.settings.id, "n2", sizeof follower.settings.id);
  clb_copy (follower.leader.holder, "n1", sizeof follower.leader.holder);
  clb_copy (hello.from, "n2", sizeof hello.from);
  clb_copy (hello.addr, "b", sizeof hello.addr);
  fleet_mesh_msg (&leader, 1100, &hello);
  while ((o = fleet_next_out (&leader)))
    {
      if (o->kind == OUT_FLEET_MSG && o->u.mesh.msg->kind == MESH_HELLO_REPLY)
        fleet_mesh_msg (&follower, 1110, o->u.mesh.msg);
      out_free (o);
    }
  CU_ASSERT (fleet_overload_ms (&leader, "wide") > 0);
  CU_ASSERT (fleet_overload_ms (&follower, "wide") > 0);
  CU_ASSERT_EQUAL (fleet_overload_ms (&follower, "many"), 0);
  fleet_tick (&follower, 6000, 6000);
  CU_ASSERT (fleet_overload_ms (&follower, "wide") > 0);
  fleet_tick (&follower, 16200, 16200);
  CU_ASSERT_EQUAL (fleet_overload_ms (&follower, "wide"), 0);
  fleet_fini (&leader);
  fleet_fini (&follower);
}

/* A reply with a value out of range would be dropped as a whole. */
static void
test_reply_with_inherited_overload_is_readable (void)
{
  struct fleet leader;
  struct mesh_msg hello = { .kind = MESH_HELLO, .from = "n2", .addr = "b" };
  struct out *o;
  int n_read = 0;

  start_instance (&leader, 1796352007000);
  leader.leader.state = LEADER_LEADING;
  leader.leader.renewed_ms = 1000;
  leader.fsched = fsched_new (&leader.out, &leader.last_token, 1000, 1, 0,
                              &leader.stats.fsched);
  fsched_inherit_overload (leader.fsched, "wide");
  fleet_mesh_msg (&leader, 1100, &hello);
  while ((o = fleet_next_out (&leader)))
    {
      struct mesh_msg reply = { 0 };
      struct codec_err ce;
      char *buf = NULL;
      size_t len;
      if (o->kind == OUT_FLEET_MSG && o->u.mesh.msg->kind == MESH_HELLO_REPLY
          && mesh_pack (o->u.mesh.msg, &buf, &len) == 0
          && mesh_unpack (buf, len, &reply, &ce) == 0)
        {
          n_read++;
          CU_ASSERT_EQUAL (reply.n_overloads, 1);
          mesh_clear (&reply);
        }
      free (buf);
      out_free (o);
    }
  CU_ASSERT_EQUAL (n_read, 1);
  fleet_fini (&leader);
}

enum
{
  FETCH_TOKEN = 77,
  LIST_TOKEN = 78,
};

/* Passes a peer's answer to a read of the evacuations to @f: at version @ver,
   domain z is evacuated by a row of version 10 if @present. */
static void
answer_fetch (struct fleet *f, int64_t ver, bool present, int64_t n_bad)
{
  struct row row = { .key = "evac/z", .ver = 10, .value = "{}" };
  struct store_rep rep
      = { .rows = &row, .n_rows = present, .ver = ver, .n_bad = n_bad };

  f->evac_fetch_token = FETCH_TOKEN;
  fleet_dispatch_reply (f, FETCH_TOKEN, &rep);
}

/* Guards against a domain that is evacuated again by an answer which is older
   than the removal that the feed has shown. */
static void
test_late_answer_of_peer (void)
{
  struct fleet f;

  start_instance (&f, 1);
  f.conf_feed.listed = true;
  f.conf_feed.ver = 20;
  answer_fetch (&f, 15, true, 0);
  CU_ASSERT_EQUAL (f.evac.n_domains, 0);
  answer_fetch (&f, 25, true, 0);
  CU_ASSERT_EQUAL (f.evac.n_domains, 1);
  fleet_fini (&f);
}

/* Guards against a domain that is taken back because its row could not be
   read. */
static void
test_unreadable_rows_take_nothing_back (void)
{
  struct store_rep rep = { .ver = 30, .n_bad = 1 };
  struct fleet f;

  start_instance (&f, 1);
  f.conf_feed.listed = true;
  answer_fetch (&f, 25, true, 0);
  answer_fetch (&f, 30, false, 1);
  CU_ASSERT_EQUAL (f.evac.n_domains, 1);
  follow_relist (&f.conf_feed);
  evac_list_begin (&f.evac);
  f.conf_feed.listings[0].token = LIST_TOKEN;
  fleet_dispatch_reply (&f, LIST_TOKEN, &rep);
  CU_ASSERT (f.conf_feed.listed);
  CU_ASSERT_EQUAL (f.evac.n_domains, 1);
  answer_fetch (&f, 31, false, 0);
  CU_ASSERT_EQUAL (f.evac.n_domains, 0);
  fleet_fini (&f);
}

static void
test_peer_answer_says_what_it_lacks (void)
{
  struct mesh_msg m = { .kind = MESH_STORE_REPLY, .rep = { .n_bad = 2 } };
  struct mesh_msg got;
  struct codec_err ce;
  char *buf;
  size_t len;

  clb_copy (m.from, "n2", sizeof m.from);
  clb_copy (m.addr, "b", sizeof m.addr);
  CU_ASSERT_EQUAL_FATAL (mesh_pack (&m, &buf, &len), 0);
  CU_ASSERT_EQUAL_FATAL (mesh_unpack (buf, len, &got, &ce), 0);
  CU_ASSERT_EQUAL (got.rep.n_bad, 2);
  mesh_clear (&got);
  free (buf);
}

/* Makes @f a leader whose scheduler is loaded. */
static void
lead (struct fleet *f)
{
  f->leader.state = LEADER_LEADING;
  f->leader.renewed_ms = f->now_ms;
  f->fsched = fsched_new (&f->out, &f->last_token, f->now_ms, 1, 0,
                          &f->stats.fsched);
  f->fsched->loaded = true;
}

/* Guards against a job that runs as the notice of its cancellation overtook
   the job's row. */
static void
test_cancellation_before_the_job (void)
{
  static const char id[] = "0000000000000001";
  struct job_step step = { .tasks = 1, .need = { .millicores = 100 } };
  struct job_spec spec
      = { .queue = "q", .service = "s", .steps = &step, .n_steps = 1 };
  clb_auto char *record = NULL;
  struct fleet f;

  clb_copy (spec.id, id, sizeof spec.id);
  record = codec_text (&job_spec_desc, &spec);
  start_instance (&f, 1796352007000);
  lead (&f);
  fleet_apply_job_notice (&f, id, NULL);
  fleet_apply_job_notice (&f, id, record);
  CU_ASSERT_EQUAL (fsched_job_state (f.fsched, id), JOB_CANCELLED);
  CU_ASSERT_EQUAL (f.fsched->n_jobs, 0);
  fleet_fini (&f);
}

/* Passes a peer's request for a write of age @age_ms.  Return: whether the
   write is sent to the table. */
static bool
serves_write (struct fleet *f, int64_t age_ms)
{
  struct mesh_msg m = { .kind = MESH_STORE_REQUEST };
  struct out *o;
  bool sent = false;

  m.op.kind = STORE_TXN;
  store_put (&m.op, "job:0/0000000000000000", "{}");
  m.table_ms = fleet_table_ms (f) - age_ms;
  fleet_mesh_msg (f, f->now_ms, &m);
  mesh_clear (&m);
  while ((o = fleet_next_out (f)))
    {
      sent |= o->kind == OUT_STORE && o->u.store.op.kind == STORE_TXN;
      out_free (o);
    }
  return sent;
}

/* Guards against a peer's write that waited in a link until nobody relies on
   it any more: it would create a job that was cancelled since. */
static void
test_late_write_of_a_peer_is_refused (void)
{
  struct fleet f;
  struct store_rep rep = { .now_ms = 90000000 };

  start_instance (&f, 1796352007000);
  fleet_store_reply (&f, 1000, 0, &rep);
  CU_ASSERT_TRUE (serves_write (&f, 1000));
  CU_ASSERT_FALSE (serves_write (&f, 20000));
  fleet_fini (&f);
}

/* Returns the next output of @f that is a message of @kind, and drops those
   before it; NULL: there is none. */
static struct out *
next_message (struct fleet *f, int kind)
{
  struct out *o;

  while ((o = fleet_next_out (f)))
    {
      if (o->kind == OUT_FLEET_MSG && o->u.mesh.msg->kind == kind)
        return o;
      out_free (o);
    }
  return NULL;
}

/* Makes @f an instance that does not reach the table service and sends its
   further calls to the leader. */
static void
cut_off_table (struct fleet *f)
{
  CU_ASSERT_PTR_NULL (next_message (f, MESH_STORE_REQUEST));
  f->conf_feed_failed = true;
  clb_copy (f->leader.holder, "n2", sizeof f->leader.holder);
  clb_copy (f->leader.holder_addr, "b", sizeof f->leader.holder_addr);
  clb_copy (f->proxy_peer_addr, "b", sizeof f->proxy_peer_addr);
  f->leader_last_contact_ms = f->now_ms;
  f->proxy_peer_fresh_ms = f->now_ms;
}

/* Lets @f send a write through @peer, and takes the answer if @peer refuses
   it.  Return: whether @peer sends the write to the table. */
static bool
peer_writes (struct fleet *f, struct fleet *peer)
{
  struct out *o = out_new (&f->out, OUT_STORE);
  bool refused;

  o->u.store.token = ++f->last_token;
  o->u.store.op.kind = STORE_TXN;
  store_put (&o->u.store.op, "job:0/0000000000000000", "{}");
  o = next_message (f, MESH_STORE_REQUEST);
  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  if (!o)
    return false;
  fleet_mesh_msg (peer, peer->now_ms, o->u.mesh.msg);
  out_free (o);
  o = next_message (peer, MESH_STORE_REPLY);
  refused = o != NULL;
  if (refused)
    {
      fleet_mesh_msg (f, f->now_ms, o->u.mesh.msg);
      out_free (o);
    }
  return !refused;
}

/* Guards against an instance that is cut off from the table, and whose peer
   refuses all its writes, as the last answer of the table had waited in the
   paused process. */
static void
test_peer_writes_after_a_late_answer (void)
{
  struct store_rep late = { .now_ms = 90000000 };
  struct store_rep now = { .now_ms = 90010000 };
  struct fleet f, peer;

  start_instance (&f, 1796352007000);
  start_instance (&peer, 1796352008000);
  clb_copy (peer.settings.id, "n2", sizeof peer.settings.id);
  fleet_store_reply (&f, 11000, 0, &late);
  fleet_store_reply (&peer, 11000, 0, &now);
  cut_off_table (&f);
  CU_ASSERT_FALSE (peer_writes (&f, &peer));
  CU_ASSERT_TRUE (peer_writes (&f, &peer));
  fleet_fini (&f);
  fleet_fini (&peer);
}

/* Gives @f a configuration with one public queue, known to be current. */
static void
configure_public_queue (struct fleet *f)
{
  f->conf = fsched_zalloc (1, sizeof *f->conf);
  f->conf->queues = fsched_zalloc (1, sizeof *f->conf->queues);
  f->conf->n_queues = 1;
  f->conf->version = 1;
  clb_copy (f->conf->queues->name, "q", CLB_NAME_MAX);
  clb_copy (f->conf->queues->host, "h", FCONF_HOST_SIZE);
  clb_copy (f->conf->queues->prefix, "/q/", FCONF_PREFIX_SIZE);
  f->conf->queues->is_public = true;
  f->conf_current_ms = f->now_ms;
}

/* Submits a job at @now_ms.  Return: the HTTP status if the submission is
   answered at once, otherwise 0. */
static int
submit_status (struct fleet *f, int64_t now_ms)
{
  struct fleet_request rq = { .request_id = 1,
                              .verb = FLEET_VERB_SUBMIT,
                              .host = "h",
                              .path = "/q/0000000000000001",
                              .body = "",
                              .timeout_ms = 3000 };
  struct out *o;
  int status = 0;

  fleet_request (f, now_ms, now_ms, &rq);
  while ((o = fleet_next_out (f)))
    {
      if (o->kind == OUT_ANSWER)
        status = o->u.answer.status;
      out_free (o);
    }
  return status;
}

/* Decodes no job; for struct fleet_codec. */
static int
refuse_job (const char *text, size_t len, struct job_spec *out,
            struct codec_err *ce)
{
  (void)text;
  (void)len;
  memset (out, 0, sizeof *out);
  memset (ce, 0, sizeof *ce);
  return CLB_EFIELD;
}

static char *
no_body (const char *error, const char *detail)
{
  (void)error;
  (void)detail;
  return strdup ("{}");
}

/* Guards against a submission that waited in a paused process until the
   withdrawal of its job was removed.  The status 400 shows that the submission
   is handled. */
static void
test_submission_after_a_pause_is_refused (void)
{
  struct fleet f;
  int64_t end_ms = 1000 + FLEET_PAUSE_MS;

  start_instance (&f, 1796352007000);
  f.settings.codec.decode_job = refuse_job;
  f.settings.codec.error_body = no_body;
  f.settings.conf_apply_ms = 2000;
  f.settings.revoke_ms = 5000;
  configure_public_queue (&f);
  CU_ASSERT_EQUAL (submit_status (&f, 1500), 400);
  fleet_tick (&f, 2000, 2000);
  f.conf_feed_failed = true;
  f.conf_feed_failed_since_ms = 1000 + end_ms;
  CU_ASSERT_EQUAL (submit_status (&f, 1000 + end_ms), 503);
  CU_ASSERT_EQUAL (submit_status (&f, 1000 + end_ms + FLEET_RESUMED_MS - 1),
                   503);
  f.conf_feed_failed_since_ms = 1000 + end_ms + FLEET_RESUMED_MS;
  CU_ASSERT_EQUAL (submit_status (&f, 1000 + end_ms + FLEET_RESUMED_MS), 400);
  fleet_fini (&f);
}

UNIT_MAIN ("fleet",
           { "a restarted process uses other store tokens",
             test_store_tokens_of_restarted_process },
           { "a recently elected leader sends no rank",
             test_recently_elected_leader_sends_no_rank },
           { "a message without a rank keeps the last rank",
             test_missing_rank_keeps_last_rank },
           { "followers learn of overloaded queues",
             test_followers_learn_of_overloaded_queues },
           { "a reply with an inherited overload is readable",
             test_reply_with_inherited_overload_is_readable },
           { "a late answer of a peer evacuates nothing",
             test_late_answer_of_peer },
           { "unreadable rows take no domain back",
             test_unreadable_rows_take_nothing_back },
           { "a peer's answer says how many values it lacks",
             test_peer_answer_says_what_it_lacks },
           { "a cancellation before the job",
             test_cancellation_before_the_job },
           { "a late write of a peer is refused",
             test_late_write_of_a_peer_is_refused },
           { "a peer writes again after a late answer",
             test_peer_writes_after_a_late_answer },
           { "a submission after a pause is refused",
             test_submission_after_a_pause_is_refused })
