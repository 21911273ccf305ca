/**
 * DOC: Which instance on the fleet schedules: a row in the platform's table,
 * and the journal row that the leader writes with everything it records.
 *
 * Each write is conditional on the journal row's version, so that it fails
 * once another instance has claimed, and a write that is carried out late
 * cannot undo a newer one.  A successor claims when the journal row has stood
 * still for LEADER_CLAIM_AFTER_MS on its own clock; the stronger it is, the
 * sooner, as the leader schedules for the whole fleet.  The leader counts from
 * before its last successful write was sent: for LEADER_LEASE_MS nobody can
 * have claimed, and after LEADER_ORDER_MS it gives no orders.
 *
 * Times are of a clock that goes on while the machine is suspended.
 */
#ifndef LEADER_H
#define LEADER_H

#include "msg.h"

enum
{
  LEADER_HEARTBEAT_MS
  = 250, /* longest pause between writes of the journal row */
  LEADER_CLAIM_AFTER_MS = 1300, /* five beats: three may be lost or slow */
  LEADER_LEASE_MS
  = 1100, /* below LEADER_CLAIM_AFTER_MS by what clocks may differ */
  LEADER_ORDER_MS
  = 2000, /* with 6 s of lease, tasks outlive 7 s without table */
  LEADER_READ_MS = 200,        /* between looks at the rows while watching */
  LEADER_IDLE_READ_MS = 3000,  /* between looks while the leader is heard */
  LEADER_UNREACHABLE_MS = 900, /* the leader is heard every 400 ms */
  LEADER_RESEND_MIN_MS = 100,  /* an unanswered write is sent again: an answer
                           takes 10 ms ... */
  LEADER_RESEND_FACTOR
  = 3, /* ... or as often as long as the last one took ... */
  LEADER_ATTEMPTS_MAX = 8,
  LEADER_RESEND_MAX_MS = 450, /* ... as when the table is slow, 250 ms */
  LEADER_RETRY_MS = 100,      /* after a refused or failed call */
  LEADER_ROWS_MAX = 98,       /* of one write beside the journal row */
  LEADER_PREFERRED_MILLICORES
  = 500, /* an instance with this much waits for none */
  LEADER_RECLAIM_MILLICORES = 250, /* a restarted leader with less does not
                                 claim again at once */
  LEADER_RANK_DELAY_MS = 100, /* each stronger instance is given this long to
                         claim first: a look, a claim and their answers */
  LEADER_WATCHERS = 3,        /* strongest followers, which look often */
  LEADER_RANK_MAX = 6,        /* more make no difference */
};

/* What a leader writes lies in one part, as one transaction needs, and in one
   of its own: a part's transactions wait for each other, and the operator and
   the executors write to the unnamed one. */
#define LEADER_PART "c"
#define LEADER_TABLE "lead:" LEADER_PART "/"
#define LEADER_KEY_ROSTER LEADER_TABLE "roster"

enum leader_state
{
  LEADER_FOLLOWER,
  LEADER_CANDIDATE,
  LEADER_LEADING,
};

/** enum leader_event - what a reply has changed */
enum leader_event
{
  LEADER_NO_CHANGE,
  LEADER_ELECTED,    /* this instance leads from now on */
  LEADER_RECORDED,   /* the write in flight is durable */
  LEADER_SUPERSEDED, /* another instance has claimed */
};

/** struct leader_attempt - an earlier copy of the write in flight */
struct leader_attempt
{
  uint64_t token;
  int64_t sent_ms;
};

struct leader
{
  char id[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX]; /* for the other instances */
  int64_t boot;            /* of this process */
  struct outq *out;
  uint64_t *tokens;
  int state;     /* enum leader_state */
  int64_t epoch; /* of the leader last known; the own one while leading */
  char holder[CLB_ID_MAX];
  char holder_addr[CLB_ADDR_MAX];
  int64_t holder_boot;
  bool released;
  bool rows_known; /* the rows have been read at least once */
  int64_t holder_ver;
  int64_t journal_ver;
  int64_t unchanged_since_ms; /* the rows have not changed since */
  int64_t last_contact_ms;    /* the leader's last message */
  int64_t first_claim_ms; /* the very first claim of all is not made before */
  int64_t millicores;     /* share of a core of this instance */
  int64_t rank; /* stronger followers that the leader has heard; -1: unknown */
  uint64_t token; /* outstanding call; 0: none */
  struct leader_attempt attempts[LEADER_ATTEMPTS_MAX];
  int n_attempts;
  int64_t sent_ms;
  int64_t next_ms; /* not before */
  /* While leading. */
  int64_t renewed_ms;     /* the last successful write was sent then */
  int64_t seq;            /* of the write in flight or the last one */
  int64_t first_sent_ms;  /* the write in flight was first sent then */
  int64_t latency_ms;     /* the last answer to a write */
  int64_t claim_sent_ms;  /* the claim was sent then */
  struct store_op *write; /* to be sent again until its end is known */
  bool stopping;
  bool releasing; /* the write in flight hands the lead over */
};

/** leader_init() - @millicores: share of a core; 0: not known, counts as most
 */
void leader_init (struct leader *l, int64_t now_ms, const char *me,
                  const char *addr, int64_t boot, int64_t millicores,
                  struct outq *out, uint64_t *tokens);
void leader_fini (struct leader *l);

/**
 * leader_contact() - A message of the leader of @epoch came in.
 * @rank: how many stronger followers it has heard; -1: not known yet, an
 *        earlier leader's word stands
 */
void leader_contact (struct leader *l, int64_t now_ms, int64_t epoch,
                     int64_t rank);
/** leader_tick() - Look at the rows or claim, when due. */
void leader_tick (struct leader *l, int64_t now_ms);
/**
 * leader_store_reply() - The answer to a call of this module.
 * @mine: whether @token was one
 *
 * Return: enum leader_event.
 */
int leader_store_reply (struct leader *l, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep, bool *mine);

/** leader_can_write() - Whether no write is in flight. */
bool leader_can_write (const struct leader *l, int64_t now_ms);
/** leader_heartbeat_due() - Whether a write must be sent even with no rows. */
bool leader_heartbeat_due (const struct leader *l, int64_t now_ms);
/**
 * leader_write() - Record @op's puts, in one write with the journal row.
 * @op: taken over; its conditions are added here
 */
void leader_write (struct leader *l, int64_t now_ms, struct store_op *op);
/** leader_release() - Let a successor claim at once; stop leading. */
void leader_release (struct leader *l, int64_t now_ms);

/** leader_may_order() - Whether orders may be given to executors. */
bool leader_may_order (const struct leader *l, int64_t now_ms);
/** leader_lease_valid() - Whether what was read by now precedes any claim. */
bool leader_lease_valid (const struct leader *l, int64_t now_ms);

#endif
