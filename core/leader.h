/**
 * DOC: Leader election among the instances on the fleet.
 *
 * The leader is named by the holder row of the platform's table service, and
 * writes the journal row together with everything that it records.  Each write
 * is conditional on the version of the journal row.  It fails once another
 * instance has claimed leadership, and a write that is carried out late cannot
 * undo a newer one.
 *
 * A follower claims leadership once the rows have not changed for
 * LEADER_CLAIM_AFTER_MS on the follower's own clock.  Instances with a larger
 * share of a core claim sooner, as the leader schedules for the whole fleet.
 *
 * The leader counts from the time before its last successful write was sent.
 * For LEADER_LEASE_MS from then no other instance can have claimed; after
 * LEADER_ORDER_MS the leader gives no orders.
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
  /* A follower claims after the rows have not changed for this long: five
     heartbeats, three of which may be lost or slow. */
  LEADER_CLAIM_AFTER_MS = 1300,
  /* Duration of the leader's lease; below LEADER_CLAIM_AFTER_MS by the most
     that clocks may differ. */
  LEADER_LEASE_MS = 1100,
  /* The leader gives orders for this long after its last successful write.
     Executors' leases last 6 s, so that tasks keep running through 7 s without
     the table service. */
  LEADER_ORDER_MS = 2000,
  /* Interval between reads of the rows by a follower that may have to claim
     soon. */
  LEADER_READ_MS = 200,
  /* Interval between reads by the other followers while the leader is
     reachable. */
  LEADER_IDLE_READ_MS = 3000,
  /* The leader is unreachable if no message of it was received for this long;
     it sends one every 400 ms. */
  LEADER_UNREACHABLE_MS = 900,
  /* An unanswered write is sent again after LEADER_RESEND_FACTOR times the
     latency of the last write, within these bounds, and twice as late with
     each resend.  An answer takes 10 ms, or 250 ms when the table service is
     slow. */
  LEADER_RESEND_MIN_MS = 100,
  LEADER_RESEND_FACTOR = 3,
  LEADER_RESEND_MAX_MS = 450,
  /* Earlier sends of a write whose answers are still accepted. */
  LEADER_ATTEMPTS_MAX = 8,
  /* Pause after a refused or failed call. */
  LEADER_RETRY_MS = 100,
  /* Most rows of one write beside the journal row. */
  LEADER_ROWS_MAX = 98,
  /* An instance with at least this share of a core claims without delay. */
  LEADER_PREFERRED_MILLICORES = 500,
  /* A restarted leader with a smaller share of a core does not claim again at
     once. */
  LEADER_RECLAIM_MILLICORES = 250,
  /* Delay of a claim for each stronger instance, which may claim first in this
     time: a read, a claim and their answers. */
  LEADER_RANK_DELAY_MS = 100,
  /* This many of the strongest followers read every LEADER_READ_MS. */
  LEADER_WATCHERS = 3,
  /* Stronger instances beyond this number do not delay a claim further. */
  LEADER_RANK_MAX = 6,
};

/* Part of the tables that the leader writes.  One transaction can only write
   to one part.  The part is the leader's own, as transactions of one part wait
   for each other, and operators and executors write to the unnamed part. */
#define LEADER_PART "c"
#define LEADER_TABLE "lead:" LEADER_PART "/"
#define LEADER_KEY_ROSTER LEADER_TABLE "roster"

enum leader_state
{
  LEADER_FOLLOWER,
  /* A claim was sent and is not answered. */
  LEADER_CANDIDATE,
  LEADER_LEADING,
};

/** enum leader_event - what a reply of the table service has changed */
enum leader_event
{
  LEADER_NO_CHANGE,
  /* This instance is the leader from now on. */
  LEADER_ELECTED,
  /* The write in progress is durable. */
  LEADER_RECORDED,
  /* Another instance has claimed; this one no longer leads. */
  LEADER_SUPERSEDED,
};

/** struct leader_attempt - an earlier send of the write in progress */
struct leader_attempt
{
  uint64_t token;
  int64_t sent_ms;
};

/** struct leader - an instance's view of the election and its part in it */
struct leader
{
  char id[CLB_ID_MAX];     /* this instance */
  char addr[CLB_ADDR_MAX]; /* where other instances reach it */
  int64_t boot;            /* number of this process's start */
  struct outq *out;        /* borrowed: where calls are queued */
  uint64_t *last_token;    /* borrowed: last token given to a call */
  int state;               /* enum leader_state */
  int64_t epoch;           /* term of the last known leader */
  /* The last known leader, from the holder row; empty: none. */
  char holder[CLB_ID_MAX];
  char holder_addr[CLB_ADDR_MAX];
  int64_t holder_boot;
  bool released;       /* the leader has given up leadership */
  bool rows_known;     /* false: the rows must be read before a claim */
  int64_t holder_ver;  /* version of the holder row; 0: there is none */
  int64_t journal_ver; /* version of the journal row; 0: there is none */
  /* Time of the last read that found the rows changed. */
  int64_t unchanged_since_ms;
  int64_t last_contact_ms; /* last message of the leader */
  /* No claim before then while no leader has ever been elected. */
  int64_t first_claim_ms;
  int64_t millicores; /* share of a core of this instance; 0: not known */
  /* Number of stronger followers, as the leader reported; -1: not known. */
  int64_t rank;
  uint64_t token; /* outstanding call; 0: none */
  /* Earlier sends of the write in progress, without an answer yet. */
  struct leader_attempt attempts[LEADER_ATTEMPTS_MAX];
  int n_attempts;
  int64_t sent_ms; /* when the last call was sent */
  int64_t next_ms; /* no call before then */
  /* While leading. */
  int64_t renewed_ms;    /* when the last successful write was first sent */
  int64_t seq;           /* number of the last write in this term */
  int64_t first_sent_ms; /* when the write in progress was first sent */
  int64_t latency_ms;    /* latency of the last answered write */
  int64_t claim_sent_ms; /* when the claim was sent */
  /* Owned: the write in progress, which is sent again until its outcome is
     known; NULL: none. */
  struct store_op *write;
  bool stopping;  /* this instance gives up leadership */
  bool releasing; /* the write in progress gives up leadership */
};

/**
 * leader_init() - Set up @l as a follower.
 * @id: id of this instance
 * @boot: number of this process's start
 * @millicores: share of a core; 0: not known, counts as the largest
 * @out: borrowed; calls to the table service are queued here
 * @tokens: borrowed; last token given to a call
 */
void leader_init (struct leader *l, int64_t now_ms, const char *id,
                  const char *addr, int64_t boot, int64_t millicores,
                  struct outq *out, uint64_t *tokens);
/** leader_fini() - Free what @l owns. */
void leader_fini (struct leader *l);

/**
 * leader_contact() - Handle a message of the leader of term @epoch.
 * @rank: number of stronger followers that the leader knows; -1: it does not
 *        know yet, and the rank that an earlier leader reported stays
 */
void leader_contact (struct leader *l, int64_t now_ms, int64_t epoch,
                     int64_t rank);
/** leader_tick() - Read the rows, claim, or send a write, when due. */
void leader_tick (struct leader *l, int64_t now_ms);
/**
 * leader_store_reply() - The answer to a call to the table service.
 * @mine: set to whether @token is a call of this module
 *
 * Return: enum leader_event.
 */
int leader_store_reply (struct leader *l, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep, bool *mine);

/** leader_can_write() - Whether this instance leads and no write is in
 * progress. */
bool leader_can_write (const struct leader *l, int64_t now_ms);
/** leader_heartbeat_due() - Whether a write is due even without rows. */
bool leader_heartbeat_due (const struct leader *l, int64_t now_ms);
/**
 * leader_write() - Record the puts of @op in one write with the journal row.
 * @op: taken over; its condition on the journal row is added here
 *
 * Only while leader_can_write().
 */
void leader_write (struct leader *l, int64_t now_ms, struct store_op *op);
/** leader_release() - Give up leadership; a successor may claim at once. */
void leader_release (struct leader *l, int64_t now_ms);

/** leader_may_order() - Whether orders may be given to executors. */
bool leader_may_order (const struct leader *l, int64_t now_ms);
/**
 * leader_lease_valid() - Whether no other instance can have claimed yet, so
 * that all that was read up to now precedes any claim.
 */
bool leader_lease_valid (const struct leader *l, int64_t now_ms);

#endif
