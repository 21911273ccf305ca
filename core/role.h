/**
 * DOC: Election of the entry instance that schedules a domain.
 *
 * The holder of a lease row in the table service schedules the domain.  While
 * the table service is unreachable, the holder extends its lease by promises
 * of the domain's other entry instances not to claim it.
 *
 * The holder counts its lease from the time at which it sent the renewal, less
 * a margin.  Another instance may claim the lease only after the row has not
 * changed for a whole lease on its own clock, and not while its own promise is
 * valid.
 */
#ifndef ROLE_H
#define ROLE_H

#include "msg.h"

enum
{
  /* Length of the lease. */
  LEASE_MS = 5000,
  /* Margin for pauses of the process and different clock rates. */
  LEASE_MARGIN_MS = 500,
  /* Period of the holder's renewals. */
  RENEW_MS = 1000,
  /* Largest number of other entry instances in a domain. */
  DOMAIN_MEMBERS_MAX = 16,
};

/** enum role_state - state of an instance in the election */
enum role_state
{
  ROLE_FOLLOWER,
  ROLE_CLAIMING, /* a claim was sent and has no answer yet */
  ROLE_CHECKING, /* the claim's outcome is unknown: reads the row again */
  ROLE_HOLDER,
};

/** struct role_peer - another entry instance of the domain */
struct role_peer
{
  char id[CLB_ID_MAX];
  int64_t boot;            /* boot in its latest hello, or in the lease row */
  int64_t last_contact_ms; /* time of its latest hello; INT64_MIN / 2: none */
  bool listed;             /* it is in the platform's list */
  bool knows_self; /* it counts this instance as a member of the domain */
  /* When the latest promise was requested from it. */
  int64_t promise_request_ms;
  int64_t promise_request_seq; /* promise::seq of that request */
  int64_t promised_until_ms; /* it does not claim the lease before this time */
};

/** struct role - election state of one entry instance in its domain */
struct role
{
  char domain[CLB_NAME_MAX];
  char self_id[CLB_ID_MAX]; /* id of this instance */
  int64_t boot;             /* of this instance */
  int64_t now_ms;           /* set by the caller before each call */
  int state;                /* enum role_state */
  struct outq *out;         /* where outputs are queued; not owned */
  uint64_t
      *last_store_token; /* counter of store tokens, shared with the node */
  uint64_t token;        /* of the outstanding store operation; 0: none */
  int64_t op_sent_ms;    /* when the latest store operation was sent */
  int64_t next_op_ms;    /* when the next read or renewal is due */
  struct lease_row row;  /* the lease row as last seen */
  int64_t row_ver;       /* version of row; 0: the row is absent */
  bool row_known;        /* row and row_ver are valid */
  bool read_again; /* read once more after the outstanding read's answer */
  int64_t row_changed_ms; /* when the row was first seen with row_ver */
  int64_t lease_until_ms; /* of the holder: when the lease row's lease ends */
  int64_t epoch;          /* of the holder */
  int64_t epoch_ver;      /* of the holder: version of the epoch row */
  int64_t claim_sent_ms;  /* when the latest claim was sent */
  int64_t next_claim_ms;  /* no claim is sent before this time */
  bool claim_uncertain;   /* a claim may still take effect */
  bool stopping;          /* claims no lease any more */
  bool handing_over;      /* the holder releases the lease */
  /* The following members are used by a peer of the holder. */
  int64_t promise_until_ms; /* this instance does not claim before then */
  bool list_known;          /* the platform's list was read */
  /* Other entry instances of the domain.  The holder requests promises from
     all of them. */
  struct role_peer peers[DOMAIN_MEMBERS_MAX];
  int n_peers;
  int64_t last_promise_seq; /* promise::seq of the latest requests */
  int64_t next_promise_ms;  /* when the next promises may be requested */
  bool store_up;            /* the table answered the latest store operation */
};

/**
 * role_init() - Initialize as a follower.
 * @self_id: id of this instance
 * @boot: boot of this instance
 * @out: queue for outputs
 * @tokens: counter of store tokens
 *
 * @out and @tokens are borrowed and must outlive @r, which needs no cleanup.
 */
void role_init (struct role *r, const char *domain, const char *self_id,
                int64_t boot, int64_t now_ms, struct outq *out,
                uint64_t *tokens);
/** role_tick() - Read, claim or renew the lease and request promises. */
void role_tick (struct role *r);
/**
 * role_store_answer() - Handle the answer to a store operation.
 *
 * Return: false if @token is not of the outstanding operation.
 */
bool role_store_answer (struct role *r, uint64_t token,
                        const struct store_rep *rep);
/** role_hello() - A hello from another instance of this domain has arrived. */
void role_hello (struct role *r, const char *from, int64_t boot,
                 const struct hello *h);
/** role_instances() - The platform's list of instances was read. */
void role_instances (struct role *r, const struct inst_list *list);
/** role_promise_request() - Answer the request of holder @from. */
void role_promise_request (struct role *r, const char *from, int64_t boot,
                           const struct promise *p);
/** role_promise() - The answer to a requested promise has arrived. */
void role_promise (struct role *r, const char *from, int64_t boot,
                   const struct promise *p);
/** role_handover() - The holder has released the lease: read the row now. */
void role_handover (struct role *r);
/**
 * role_release() - Release the lease, and claim it no more.
 *
 * Return: true once the instance does not hold the lease and no claim is
 * outstanding; until then to be called again.
 */
bool role_release (struct role *r);
/** role_lease_lost() - Become a follower: another epoch was seen. */
void role_lease_lost (struct role *r);
/**
 * role_valid_until() - End of the time in which this instance may start work.
 *
 * Return: the end of the lease or of its extension by promises, perhaps in the
 * past; 0 if this instance is not the holder.
 */
int64_t role_valid_until (const struct role *r);
/** role_is_member() - Whether the process @boot of @id is a known member. */
bool role_is_member (const struct role *r, const char *id, int64_t boot);

#endif
