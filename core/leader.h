/**
 * DOC: Leader election among the instances on the fleet.
 *
 * The holder row in the platform's table service names the leader.  The leader
 * writes the journal row together with everything that it records.  Each write
 * is conditional on the version of the journal row, so that the write fails
 * once another instance has claimed leadership, and a write that is carried
 * out late cannot undo a newer one.
 *
 * A follower claims leadership once the holder and journal rows have not
 * changed for LEADER_CLAIM_AFTER_MS on the follower's own clock.  Instances
 * with a larger share of a core claim sooner, as the leader schedules for the
 * whole fleet.
 *
 * The leader's lease and its right to give orders are counted from the time at
 * which its last successful write was first sent.  For LEADER_LEASE_MS from
 * then on no other instance can have claimed; after LEADER_MAY_ORDER_MS the
 * leader gives no orders.
 *
 * Times are read from a clock that also advances while the machine is
 * suspended.
 */
#ifndef LEADER_H
#define LEADER_H

#include "msg.h"

enum
{
  /* Longest pause between writes of the journal row by the leader. */
  LEADER_HEARTBEAT_MS = 250,
  /* A follower claims after the holder and journal rows have not changed for
     this long: five heartbeats, three of which may be lost or slow. */
  LEADER_CLAIM_AFTER_MS = 1300,
  /* Duration of the leader's lease.  It is shorter than LEADER_CLAIM_AFTER_MS
     by the largest difference that the clocks of two instances may have. */
  LEADER_LEASE_MS = 1100,
  /* Time after its last successful write for which the leader may give orders.
     Orders renew the executors' leases, which last 6 s.  Tasks thus keep
     running through 7 s without the table service: 2 s of orders and 6 s of
     lease, less the 1 s by which an executor's last poll may precede the end
     of the orders. */
  LEADER_MAY_ORDER_MS = 2000,
  /* Interval between reads of the holder and journal rows by a follower that
     may have to claim soon. */
  LEADER_READ_MS = 200,
  /* Interval between reads of the holder and journal rows by the other
     followers while the leader is reachable. */
  LEADER_IDLE_READ_MS = 3000,
  /* The leader is unreachable if no message from the leader has arrived for
     this long; a leader sends one every 400 ms. */
  LEADER_UNREACHABLE_MS = 900,
  /* Shortest delay before the outcome of an unanswered write is read.  An
     answer takes 10 ms. */
  LEADER_PROBE_MIN_MS = 100,
  /* The delay before the outcome of an unanswered write is read is this factor
     times the latency of the last answered write.  A write that has not taken
     effect is sent again once it has taken this factor times as long as the
     read that showed it. */
  LEADER_RESEND_FACTOR = 3,
  /* Longest delay before the outcome of an unanswered write is read, and
     shortest delay before the write is sent again although no read of its
     outcome is answered. */
  LEADER_RESEND_MS = 450,
  /* Maximum number of earlier sends of one write whose answers are still
     accepted. */
  LEADER_ATTEMPTS_MAX = 8,
  /* Pause after a refused or failed call to the table service. */
  LEADER_RETRY_MS = 100,
  /* Maximum number of rows in one write, not counting the journal row. */
  LEADER_ROWS_MAX = 98,
  /* While no rank is known, an instance with at least this share of a core
     claims without delay. */
  LEADER_PREFERRED_MILLICORES = 500,
  /* A leader whose process was restarted claims again at once only if it has
     at least this share of a core. */
  LEADER_RECLAIM_MILLICORES = 250,
  /* Delay of a claim for each stronger follower, so that the stronger follower
     can claim first.  The delay covers a read, a claim and the answers. */
  LEADER_RANK_DELAY_MS = 100,
  /* Number of followers, those with the largest shares of a core, that read
     the holder and journal rows every LEADER_READ_MS. */
  LEADER_WATCHERS = 3,
  /* Maximum number of stronger followers for which a claim is delayed. */
  LEADER_RANK_MAX = 6,
  /* A leader gives up leadership to a follower whose share of a core is larger
     than its own by at least this factor. */
  LEADER_YIELD_FACTOR = 2,
};

/* Name of the part of the tables to which the leader writes.  One transaction
   can only write to one part.  The leader uses a part of its own, as
   transactions of one part wait for each other, and operators and executors
   write to the unnamed part. */
#define LEADER_PART "c"
#define LEADER_TABLE "lead:" LEADER_PART "/"

/** enum leader_state - role of this instance in the election */
enum leader_state
{
  /* This instance does not lead. */
  LEADER_FOLLOWER,
  /* This instance has sent a claim that is not answered yet. */
  LEADER_CANDIDATE,
  /* This instance leads. */
  LEADER_LEADING,
};

/** enum leader_event - change caused by an answer of the table service */
enum leader_event
{
  /* None of the following events. */
  LEADER_NO_CHANGE,
  /* This instance is the leader from now on. */
  LEADER_ELECTED,
  /* The write in progress is durable. */
  LEADER_RECORDED,
  /* Another instance has claimed leadership; this one no longer leads. */
  LEADER_SUPERSEDED,
  /* The table service refuses the write in progress, whenever it is sent.  The
     write is given up; none of its rows was written. */
  LEADER_REFUSED,
};

/** struct leader_attempt - an earlier send of the write in progress */
struct leader_attempt
{
  uint64_t token;  /* token of the call */
  int64_t sent_ms; /* time at which the call was sent */
};

/** struct leader - state of the leader election on one instance */
struct leader
{
  char id[CLB_ID_MAX]; /* id of this instance */
  /* Address at which other instances reach this one. */
  char addr[CLB_ADDR_MAX];
  int64_t boot;         /* number of this start of the process */
  struct outq *out;     /* borrowed: queue of calls to be sent */
  uint64_t *last_token; /* borrowed: last token given to a call */
  int state;            /* enum leader_state */
  int64_t epoch;        /* term of the last known leader */
  /* Id of the last known leader, from the holder row; empty: none. */
  char holder[CLB_ID_MAX];
  /* Address at which other instances reach the last known leader. */
  char holder_addr[CLB_ADDR_MAX];
  int64_t holder_boot; /* start number of the last known leader's process */
  bool released; /* true: the last known leader has given up leadership */
  /* True if the versions of the holder and journal rows are known; if not, the
     rows must be read before a claim. */
  bool rows_known;
  int64_t holder_ver;  /* version of the holder row; 0: there is none */
  int64_t journal_ver; /* version of the journal row; 0: there is none */
  /* Time of the last read that found the holder or journal row changed. */
  int64_t unchanged_since_ms;
  int64_t last_contact_ms; /* time of the last message from the leader */
  /* Earliest time of a claim while no leader has ever been elected. */
  int64_t first_claim_ms;
  /* This instance's share of a core, in thousandths; 0: not known. */
  int64_t millicores;
  /* Number of followers stronger than this one (with a larger share of a
     core), as the leader reported; -1: not known. */
  int64_t rank;
  /* Token of the outstanding call to the table service; 0: none. */
  uint64_t token;
  /* Earlier sends of the write in progress that are not answered yet. */
  struct leader_attempt attempts[LEADER_ATTEMPTS_MAX];
  int n_attempts;  /* number of entries in attempts */
  int64_t sent_ms; /* time at which the last call was sent */
  /* Token of the outstanding read of the outcome of the write in progress; 0:
     none. */
  uint64_t probe_token;
  int64_t probe_sent_ms; /* time at which the last such read was sent */
  int64_t probe_ms;      /* latency of the last such read, in milliseconds */
  int64_t next_ms;       /* earliest time of the next call */

  /* The fields renewed_ms to write describe this instance's own claim and its
     term as the leader. */

  /* Time from which the lease counts: the first send of the last successful
     write or, before the first write, the send of the claim. */
  int64_t renewed_ms;
  int64_t seq; /* number of the last write in this term */
  /* Time at which the write in progress was first sent. */
  int64_t first_sent_ms;
  int64_t latency_ms;    /* latency of the last answered write, milliseconds */
  int64_t claim_sent_ms; /* time at which the claim was sent */
  /* Owned: the write in progress, which is sent again until the outcome of the
     write is known; NULL: no write is in progress. */
  struct store_op *write;
  bool stopping;  /* true: leader_release() was called */
  bool yielding;  /* true: leader_yield() was called in this term */
  bool releasing; /* true: the write in progress gives up leadership */
};

/**
 * leader_init() - Set up @l as a follower.
 * @id: id of this instance
 * @addr: address at which other instances reach this one
 * @boot: number of this start of the process
 * @millicores: this instance's share of a core, in thousandths; 0: not known,
 *              counts as the largest share
 * @out: borrowed; calls to the table service are queued here
 * @last_token: borrowed; last token given to a call, raised for each call
 */
void leader_init (struct leader *l, int64_t now_ms, const char *id,
                  const char *addr, int64_t boot, int64_t millicores,
                  struct outq *out, uint64_t *last_token);
/** leader_fini() - Free what @l owns. */
void leader_fini (struct leader *l);

/**
 * leader_handle_contact() - Handle a message from the leader of term @epoch.
 * @rank: number of followers that are stronger than this one (have a larger
 *        share of a core); -1: the leader does not know the number yet, and
 *        the rank that an earlier leader reported is kept
 */
void leader_handle_contact (struct leader *l, int64_t now_ms, int64_t epoch,
                            int64_t rank);
/** leader_tick() - Send a read of the holder and journal rows, a claim or a
 * write, whichever is due. */
void leader_tick (struct leader *l, int64_t now_ms);
/**
 * leader_store_reply() - Handle the table service's answer @rep to a call.
 * @token: token of the call
 * @mine: set to true if the call was made by this module; if not, the function
 *        does nothing
 *
 * Return: enum leader_event.
 */
int leader_store_reply (struct leader *l, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep, bool *mine);

/** leader_can_write() - Return true if this instance leads and no write is in
 * progress. */
bool leader_can_write (const struct leader *l, int64_t now_ms);
/** leader_heartbeat_due() - Return true if this instance has to write the
 * journal row now even if there is nothing to record. */
bool leader_heartbeat_due (const struct leader *l, int64_t now_ms);
/**
 * leader_write() - Write the puts of @op and the journal row in one
 * transaction.
 * @op: the function takes ownership of @op and adds the condition on the
 *      journal row
 *
 * The function may be called only while leader_can_write() returns true.
 */
void leader_write (struct leader *l, int64_t now_ms, struct store_op *op);
/** leader_release() - Give up leadership, if this instance leads, so that a
 * successor may claim without waiting.  Afterwards, this instance does not
 * claim leadership again. */
void leader_release (struct leader *l, int64_t now_ms);

/** leader_yield() - Give up leadership, if this instance leads, in favour of
 * stronger instances.  This instance may claim again, after all others. */
void leader_yield (struct leader *l, int64_t now_ms);

/** leader_may_order() - Return true if this instance may give orders to
 * executors. */
bool leader_may_order (const struct leader *l, int64_t now_ms);
/**
 * leader_lease_valid() - Return true if this instance leads and its lease has
 * not ended.  No other instance can have claimed leadership while the lease
 * is valid, so that all rows read until now were read before any such claim.
 */
bool leader_lease_valid (const struct leader *l, int64_t now_ms);

#endif
