/**
 * DOC: Messages between the instances on the fleet, and their codec.  All
 * are hints or queries: nothing that must be durable depends on their arrival.
 */
#ifndef MESH_H
#define MESH_H

#include "msg.h"
#include "order.h"

enum mesh_kind
{
  /* A follower to the leader, at regular intervals.  Its number is the
     sender's time. */
  MESH_HELLO,
  /* The leader's reply to a hello: its term, how old its configuration is, and
     the rank of the receiver. */
  MESH_HELLO_REPLY,
  /* The state of a job. */
  MESH_STATE_QUERY,
  MESH_STATE_REPLY,
  /* How many jobs of a queue have not started. */
  MESH_WAITING_QUERY,
  MESH_WAITING_REPLY,
  /* The leader asks another instance to query the advice service. */
  MESH_ADVICE_QUERY,
  MESH_ADVICE_REPLY,
  /* To the leader: a job or its cancellation was recorded. */
  MESH_JOB_NOTICE,
  /* To a peer: a call to the table service, which the sender cannot reach. */
  MESH_STORE_REQUEST,
  /* The table service's answer to that call. */
  MESH_STORE_REPLY,
  MESH_KIND_N
};

/** struct mesh_exec - an executor, in a reply with its ticket */
struct mesh_exec
{
  char exec[CLB_ID_MAX];
  char ticket[ORDER_TICKET_SIZE];
};

/** struct mesh_msg - one message of any kind; unused fields are zero */
struct mesh_msg
{
  int kind; /* enum mesh_kind */
  char from[CLB_ID_MAX];
  char addr[CLB_ADDR_MAX]; /* address of the sender */
  int64_t seq;             /* number of a query, repeated in its reply */
  int64_t epoch;           /* term of the last leader that the sender knows */
  char id[CLB_ID_MAX];     /* id of a job, or name of a queue */
  int64_t count;           /* number of waiting jobs */
  char *record;  /* owned: a job's record; NULL: the job was cancelled */
  bool known;    /* the leader has the job, and state is valid */
  int64_t state; /* enum job_state */
  /* Of a query for advice: the step. */
  int64_t occurrence;
  int64_t step;
  int64_t outcome; /* enum order_outcome, of a query for advice */
  /* Of a query for advice: its timeout; of the reply: how long the tickets are
     valid. */
  int64_t valid_ms;
  int64_t conf_version; /* version of the leader's configuration; 0: none */
  int64_t conf_age_ms;  /* time since that was proved current */
  /* Time since the sender, or the instance via, reached the table service. */
  int64_t table_age_ms;
  int64_t millicores; /* the sender's share of a core; 0: not known */
  /* 1 plus the number of stronger followers that the leader knows; 0: it does
     not know yet. */
  int64_t rank;
  /* Address of an instance that reaches the table service while the leader
     does not; empty: the leader does. */
  char via[CLB_ADDR_MAX];
  struct store_op op;      /* a call to the table service */
  struct store_rep rep;    /* the answer to it */
  struct mesh_exec *execs; /* owned: executors, of advice */
  size_t n_execs;
};

/**
 * mesh_pack() - Encode @m as msgpack.
 * @buf: set to a buffer that the caller frees
 * @len: set to its length
 *
 * Return: 0 or %CLB_ENOMEM.
 */
int mesh_pack (const struct mesh_msg *m, char **buf, size_t *len);
/**
 * mesh_unpack() - Decode a message.
 * @m: to be released with mesh_clear()
 *
 * Return: 0; %CLB_EPARSE, %CLB_EFIELD or %CLB_ERANGE if it is damaged.
 */
int mesh_unpack (const char *buf, size_t len, struct mesh_msg *m,
                 struct codec_err *ce);
/** mesh_clear() - Free what @m owns, but not @m. */
void mesh_clear (struct mesh_msg *m);
/** mesh_free() - Free @m with what it owns; @m may be NULL. */
void mesh_free (struct mesh_msg *m);

#endif
