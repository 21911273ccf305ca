/**
 * DOC: Election of the entry instance that schedules a domain.
 *
 * The holder of a lease row in the table service schedules the domain.  While
 * the table service is unreachable, the holder extends its lease by promises
 * of the domain's other entry instances not to claim it.
 *
 * The holder counts its lease from the time at which it sent the renewal, less
 * a margin.  Another instance may claim the lease only after the row has not
 * changed for the length of a lease on that instance's clock, and not while a
 * promise of that instance is valid.
 */
#ifndef ROLE_H
#define ROLE_H

#include "msg.h"

enum
{
  /* Length of the lease. */
  LEASE_MS = 5000,
  /* Margin for short pauses of a process and for different clock rates.  The
     holder subtracts it from the length of its lease and of promises, other
     instances add it to the length of the lease. */
  LEASE_MARGIN_MS = 500,
  /* Period of the holder's renewals. */
  RENEW_MS = 1000,
  /* Largest number of other entry instances in a domain. */
  DOMAIN_MEMBERS_MAX = 16,
};

/** enum role_state - state of an instance in the election */
enum role_state
{
  ROLE_FOLLOWER, /* does not hold the lease and has no claim outstanding */
  ROLE_CLAIMING, /* a claim was sent and has no answer yet */
  /* The outcome of a claim is unknown; the instance reads the lease row. */
  ROLE_CHECKING_CLAIM,
  ROLE_HOLDER, /* holds the lease */
};

/** struct role_peer - another entry instance of the domain */
struct role_peer
{
  char id[CLB_ID_MAX];
  int64_t boot; /* boot in the peer's latest hello, or in the lease row */
  /* When the peer's latest hello arrived; INT64_MIN / 2: none yet. */
  int64_t last_contact_ms;
  /* True if the platform's list of instances contains the peer. */
  bool listed;
  /* True if the peer counts this instance as a domain member. */
  bool knows_self;
  /* When the latest promise was requested from the peer. */
  int64_t promise_request_ms;
  int64_t promise_request_seq; /* promise::seq of the latest request */
  /* The peer has promised not to claim the lease before this time. */
  int64_t promised_until_ms;
};

/** struct role - election state of one entry instance in its domain */
struct role
{
  char domain[CLB_NAME_MAX];
  char self_id[CLB_ID_MAX]; /* id of this instance */
  int64_t boot;             /* boot of this instance */
  /* Current time, set by the caller before each call. */
  int64_t now_ms;
  int state;        /* enum role_state */
  struct outq *out; /* queue for outputs, borrowed */
  /* Last token given to a store operation; shared with the node. */
  uint64_t *last_token;
  uint64_t store_token; /* token of the outstanding store op; 0: none */
  int64_t op_sent_ms;   /* when the latest store operation was sent */
  int64_t next_op_ms;   /* when the lease row is next read or renewed */
  struct lease_row row; /* the lease row as last seen */
  int64_t row_ver;      /* version of row; 0: the row is absent */
  bool row_known;       /* true if row and row_ver are valid */
  /* True if the answer to the outstanding read may be out of date, so that the
     lease row must be read once more. */
  bool read_again;
  int64_t row_changed_ms; /* when the row was first seen with row_ver */
  /* Of the holder: end of the lease that the latest claim or renewal gave. */
  int64_t lease_until_ms;
  int64_t epoch;         /* of the holder: epoch of its lease */
  int64_t epoch_ver;     /* of the holder: row version of the epoch row */
  int64_t claim_sent_ms; /* when the latest claim was sent */
  int64_t next_claim_ms; /* no claim is sent before this time */
  bool claim_uncertain;  /* true while a claim may still take effect */
  bool stopping;         /* true once this instance makes no more claims */
  bool handing_over;     /* true while this holder releases the lease */
  /* This instance has promised not to claim the lease before this time. */
  int64_t promise_until_ms;
  /* True once the platform's list of instances has been read. */
  bool list_known;
  /* Other entry instances of the domain.  The holder requests promises from
     all of them. */
  struct role_peer peers[DOMAIN_MEMBERS_MAX];
  int n_peers;
  int64_t last_promise_seq; /* promise::seq of the latest requests */
  int64_t next_promise_ms;  /* when the next promises may be requested */
  /* True if the table service answered the latest store operation. */
  bool store_up;
};

/**
 * role_init() - Initialize @r as a follower.
 * @self_id: id of this instance
 * @boot: boot of this instance
 * @out: queue for outputs
 * @last_token: the node's last token of a store operation, which is raised by
 *              one for each operation
 *
 * @out and @last_token are borrowed and must outlive @r, which needs no
 * cleanup.
 */
void role_init (struct role *r, const char *domain, const char *self_id,
                int64_t boot, int64_t now_ms, struct outq *out,
                uint64_t *last_token);
/**
 * role_tick() - Handle timers; the caller calls this regularly.
 *
 * Reads, claims or renews the lease, and requests promises, as they are due.
 */
void role_tick (struct role *r);
/**
 * role_store_reply() - Handle the reply to a store operation.
 *
 * Return: true if @token is that of the outstanding operation; false if it is
 * not, and nothing was done.
 */
bool role_store_reply (struct role *r, uint64_t token,
                       const struct store_rep *rep);
/** role_hello() - Handle a hello from another entry instance of the domain. */
void role_hello (struct role *r, const char *from, int64_t boot,
                 const struct hello *h);
/** role_instances() - Update the peers from the platform's list @list. */
void role_instances (struct role *r, const struct inst_list *list);
/**
 * role_promise_request() - Answer a holder's request for a promise.
 * @from: id of the holder
 * @boot: boot of the holder
 * @p: the request
 */
void role_promise_request (struct role *r, const char *from, int64_t boot,
                           const struct promise *p);
/**
 * role_promise() - Handle a peer's answer to a request for a promise.
 * @from: id of the peer
 * @boot: boot of the peer
 * @p: the answer
 */
void role_promise (struct role *r, const char *from, int64_t boot,
                   const struct promise *p);
/**
 * role_handover() - Handle a message that the holder has released the lease.
 *
 * The lease row is read at once.
 */
void role_handover (struct role *r);
/**
 * role_release() - Release the lease and stop claiming it.
 *
 * The release needs an answer of the table service, so the caller calls this
 * function again until it returns true.
 *
 * Return: true if this instance does not hold the lease and has no claim
 * outstanding; otherwise false.
 */
bool role_release (struct role *r);
/** role_lease_lost() - Become a follower after the lease ended. */
void role_lease_lost (struct role *r);
/**
 * role_valid_until() - Get the time until which this instance may start work.
 *
 * For the holder, this is the end of its lease.  If the lease has expired and
 * the table service is unreachable, it is the later of that end and the time
 * until which all peers have promised not to claim the lease.
 *
 * Return: the time in milliseconds on the clock of role::now_ms, which may be
 * in the past; 0 if this instance is not the holder or is releasing the lease.
 */
int64_t role_valid_until (const struct role *r);
/**
 * role_is_member() - Whether a process is a known member of the domain.
 * @id: instance id of the process
 * @boot: boot of the process
 */
bool role_is_member (const struct role *r, const char *id, int64_t boot);

#endif
