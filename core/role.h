/**
 * DOC: Who schedules a domain: a lease row in the platform's table, and
 * promises among the domain's entry instances for when that table is away.
 *
 * The holder counts its lease from before the renewal was sent, less a margin.
 * A successor may claim only after the row has stood still on its own clock
 * for the whole lease, and not while it has promised to wait.
 */
#ifndef ROLE_H
#define ROLE_H

#include "msg.h"

enum
{
  LEASE_MS = 5000,
  LEASE_MARGIN_MS = 500, /* pauses and clock rates */
  RENEW_MS = 1000,
  DOMAIN_MEMBERS_MAX = 16,
};

enum role_state
{
  ROLE_FOLLOWER,
  ROLE_CLAIMING, /* claim sent; its outcome not known */
  ROLE_CHECKING, /* claim's answer lost: reading the row again */
  ROLE_HOLDER,
};

/** struct role_peer - another entry instance of the domain */
struct role_peer
{
  char id[CLB_ID_MAX];
  int64_t boot;
  int64_t last_contact_ms;
  bool listed;                /* in the platform's list */
  bool knows_self;            /* it counts this instance a member */
  int64_t promise_request_ms; /* latest promise asked of it */
  int64_t promise_seq;
  int64_t promised_until_ms; /* it will not claim before */
};

struct role
{
  char domain[CLB_NAME_MAX];
  char self_id[CLB_ID_MAX];
  int64_t boot;
  int64_t now_ms;
  int state; /* enum role_state */
  struct outq *out;
  uint64_t *tokens;
  uint64_t token; /* outstanding store operation */
  int64_t op_sent_ms;
  int64_t next_op_ms;
  struct lease_row row; /* as last seen */
  int64_t row_ver;
  bool row_known;
  bool read_again;        /* as soon as the read under way is answered */
  int64_t row_changed_ms; /* the row has not changed since */
  int64_t lease_until_ms; /* holder: by the table */
  int64_t epoch;
  int64_t epoch_ver;
  int64_t claim_sent_ms;
  int64_t next_claim_ms;
  bool claim_uncertain; /* a claim may still take effect */
  bool stopping;
  bool handing_over;
  /* As a peer of the holder. */
  int64_t promise_until_ms;
  bool list_known; /* the platform's list was read */
  /* As the holder. */
  struct role_peer peers[DOMAIN_MEMBERS_MAX];
  int n_peers;
  int64_t promise_seq;
  int64_t next_promise_ms;
  bool store_up;
};

void role_init (struct role *r, const char *domain, const char *me,
                int64_t boot, int64_t now_ms, struct outq *out,
                uint64_t *tokens);
/** role_tick() - Renew, claim, ask for promises. */
void role_tick (struct role *r);
/** role_store() - Whether @token was the role's, and handled. */
bool role_store (struct role *r, uint64_t token, const struct store_rep *rep);
/** role_hello() - A hello from an instance of this domain. */
void role_hello (struct role *r, const char *from, int64_t boot,
                 const struct hello *h);
void role_instances (struct role *r, const struct inst_list *list);
void role_promise_request (struct role *r, const char *from, int64_t boot,
                           const struct promise *p);
void role_promise (struct role *r, const char *from, int64_t boot,
                   const struct promise *p);
/** role_handover() - The holder has given the row back: look at once. */
void role_handover (struct role *r);
/** role_release() - Hand the row back; true once that is done. */
bool role_release (struct role *r);
/** role_lease_lost() - Another epoch was seen in the table. */
void role_lease_lost (struct role *r);
/** role_valid_until() - Until when this holder may start work; 0 if not
 * holder. */
int64_t role_valid_until (const struct role *r);
/** role_is_member() - Whether the holder counts @id as a member. */
bool role_is_member (const struct role *r, const char *id, int64_t boot);

#endif
