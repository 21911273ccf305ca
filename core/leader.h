/**
 * DOC: Which instance on the fleet schedules: a row in the platform's table,
 * and the journal row that the leader writes with everything it records.
 *
 * Each write is conditional on the journal row's version, so that it fails
 * once another instance has claimed, and a write that is carried out late
 * cannot undo a newer one.  A successor claims when the journal row has stood
 * still for LEAD_STILL_MS on its own clock; the stronger it is, the sooner, as
 * the leader schedules for the whole fleet.  The leader counts from before its
 * last successful write was sent: for LEAD_ADMIT_MS nobody can have claimed,
 * and after LEAD_ORDER_MS it gives no orders.
 *
 * Times are of a clock that goes on while the machine is suspended.
 */
#ifndef LEAD_H
#define LEAD_H

#include "msg.h"

enum
{
  LEAD_BEAT_MS = 250,   /* longest pause between writes of the journal row */
  LEAD_STILL_MS = 1300, /* five beats: three may be lost or slow */
  LEAD_ADMIT_MS = 1100, /* below LEAD_STILL_MS by what clocks may differ */
  LEAD_ORDER_MS
  = 2000,             /* with 6 s of lease, tasks outlive 7 s without table */
  LEAD_READ_MS = 200, /* between looks at the rows while watching */
  LEAD_IDLE_READ_MS = 3000, /* between looks while the leader is heard */
  LEAD_SILENT_MS = 900,     /* the leader is heard every 400 ms */
  LEAD_AGAIN_MS = 100,  /* an unanswered write is sent again: an answer takes
                           10 ms ... */
  LEAD_AGAIN_TIMES = 3, /* ... or as often as long as the last one took ... */
  LEAD_COPIES_MAX = 8,
  LEAD_AGAIN_MAX_MS = 450,      /* ... as when the table is slow, 250 ms */
  LEAD_RETRY_MS = 100,          /* after a refused or failed call */
  LEAD_ROWS_MAX = 98,           /* of one write beside the journal row */
  LEAD_STRONG_MILLICORES = 500, /* an instance with this much waits for none */
  LEAD_ABLE_MILLICORES = 250,   /* a restarted leader with less does not claim
                                   again at once */
  LEAD_RANK_MS = 100, /* each stronger instance is given this long to claim
                         first: a look, a claim and their answers */
  LEAD_WATCHERS = 3,  /* strongest followers, which look often */
  LEAD_RANK_MAX = 6,  /* more make no difference */
};

/* What a leader writes lies in one part, as one transaction needs, and in one
   of its own: a part's transactions wait for each other, and the operator and
   the executors write to the unnamed one. */
#define LEAD_PART "c"
#define LEAD_TABLE "lead:" LEAD_PART "/"
#define LEAD_KEY_ROSTER LEAD_TABLE "roster"

enum lead_state
{
  LEAD_FOLLOW,
  LEAD_CLAIMING,
  LEAD_HOLD,
};

/** enum lead_change - what a reply has changed */
enum lead_change
{
  LEAD_SAME,
  LEAD_TAKEN,    /* this instance leads from now on */
  LEAD_RECORDED, /* the write in flight is durable */
  LEAD_LOST,     /* another instance has claimed */
};

/** struct lead_copy - an earlier copy of the write in flight */
struct lead_copy
{
  uint64_t token;
  int64_t sent_ms;
};

struct lead
{
  char me[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX]; /* for the other instances */
  int64_t boot;            /* of this process */
  struct outq *out;
  uint64_t *tokens;
  int state;     /* enum lead_state */
  int64_t epoch; /* of the leader last known; the own one while leading */
  char holder[CLB_ID_MAX];
  char holder_addr[CLB_ADDR_MAX];
  int64_t holder_boot;
  bool released;
  bool read; /* the rows have been read at least once */
  int64_t holder_ver;
  int64_t journal_ver;
  int64_t still_since_ms; /* the rows have not changed since */
  int64_t heard_ms;       /* the leader's last message */
  int64_t first_after_ms; /* the very first claim of all is not made before */
  int64_t millicores;     /* share of a core of this instance */
  int64_t rank; /* stronger followers that the leader has heard; -1: unknown */
  uint64_t token; /* outstanding call; 0: none */
  struct lead_copy copies[LEAD_COPIES_MAX];
  int n_copies;
  int64_t sent_ms;
  int64_t next_ms; /* not before */
  /* While leading. */
  int64_t renewed_ms;     /* the last successful write was sent then */
  int64_t seq;            /* of the write in flight or the last one */
  int64_t first_ms;       /* the write in flight was first sent then */
  int64_t took_ms;        /* the last answer to a write */
  int64_t claim_ms;       /* the claim was sent then */
  struct store_op *write; /* to be sent again until its end is known */
  bool stopping;
  bool releasing; /* the write in flight hands the lead over */
};

/** lead_init() - @millicores: share of a core; 0: not known, counts as most */
void lead_init (struct lead *l, int64_t now_ms, const char *me,
                const char *addr, int64_t boot, int64_t millicores,
                struct outq *out, uint64_t *tokens);
void lead_fini (struct lead *l);

/**
 * lead_heard() - A message of the leader of @epoch came in.
 * @rank: how many stronger followers it has heard; -1: not known yet, an
 *        earlier leader's word stands
 */
void lead_heard (struct lead *l, int64_t now_ms, int64_t epoch, int64_t rank);
/** lead_tick() - Look at the rows or claim, when due. */
void lead_tick (struct lead *l, int64_t now_ms);
/**
 * lead_store() - The answer to a call of this module.
 * @mine: whether @token was one
 *
 * Return: enum lead_change.
 */
int lead_store (struct lead *l, int64_t now_ms, uint64_t token,
                const struct store_rep *rep, bool *mine);

/** lead_can_write() - Whether no write is in flight. */
bool lead_can_write (const struct lead *l, int64_t now_ms);
/** lead_beat_due() - Whether a write must be sent even with no rows. */
bool lead_beat_due (const struct lead *l, int64_t now_ms);
/**
 * lead_write() - Record @op's puts, in one write with the journal row.
 * @op: taken over; its conditions are added here
 */
void lead_write (struct lead *l, int64_t now_ms, struct store_op *op);
/** lead_release() - Let a successor claim at once; stop leading. */
void lead_release (struct lead *l, int64_t now_ms);

/** lead_may_order() - Whether orders may be given to executors. */
bool lead_may_order (const struct lead *l, int64_t now_ms);
/** lead_may_admit() - Whether what was read by now precedes any claim. */
bool lead_may_admit (const struct lead *l, int64_t now_ms);

#endif
