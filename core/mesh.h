/**
 * DOC: Messages between the instances on the fleet, and their codec.  A
 * message may be lost: nothing that must be durable depends on its arrival.
 */
#ifndef MESH_H
#define MESH_H

#include "msg.h"
#include "order.h"

/** enum mesh_kind - kinds of messages */
enum mesh_kind
{
  /* A follower sends a hello to the leader at regular intervals.  The number
     of the message (seq) is the sender's time. */
  MESH_HELLO,
  /* The leader replies to a hello with its term, the age of its configuration
     and the rank of the receiver. */
  MESH_HELLO_REPLY,
  /* An instance queries the leader for the state of a job. */
  MESH_STATE_QUERY,
  /* The leader replies to a query for the state of a job. */
  MESH_STATE_REPLY,
  /* An instance queries the leader for the number of jobs of a queue that have
     not started. */
  MESH_WAITING_QUERY,
  /* The leader replies to a query for the number of jobs of a queue that have
     not started. */
  MESH_WAITING_REPLY,
  /* The leader asks another instance to query the advice service. */
  MESH_ADVICE_QUERY,
  /* The queried instance sends the advice service's answer to the leader. */
  MESH_ADVICE_REPLY,
  /* An instance notifies the leader that a job or its cancellation was
     recorded. */
  MESH_JOB_NOTICE,
  /* An instance that cannot reach the table service requests a peer to make a
     call to it. */
  MESH_STORE_REQUEST,
  /* A peer forwards the table service's answer to a call that it was requested
     to make. */
  MESH_STORE_REPLY,
  MESH_KIND_N
};

/** struct mesh_exec - an executor in a query for advice or in its reply */
struct mesh_exec
{
  char exec[CLB_ID_MAX]; /* id of the executor */
  char *ticket;          /* owned: permission to run the step; NULL: none */
};

/** struct mesh_overload - a queue that takes no jobs for a time */
struct mesh_overload
{
  char queue[CLB_NAME_MAX];
  int64_t for_ms; /* time after which a caller should try again */
};

enum
{
  MESH_OVERLOADS_MAX = 64, /* largest number of such queues in a message */
};

/** struct mesh_msg - one message of any kind; unused fields are zero */
struct mesh_msg
{
  int kind;                /* enum mesh_kind */
  char from[CLB_ID_MAX];   /* id of the sender */
  char addr[CLB_ADDR_MAX]; /* address of the sender */
  int64_t seq;             /* number of a query, repeated in the reply */
  int64_t epoch;           /* term of the last leader that the sender knows */
  char id[CLB_ID_MAX];     /* id of a job, or name of a queue */
  /* In a MESH_WAITING_REPLY, the number of jobs of the queue that have not
     started. */
  int64_t n_waiting;
  char *record;  /* owned: a job's record; NULL: the job was cancelled */
  bool known;    /* true: the leader has the job; see state */
  int64_t state; /* enum job_state of the job, if known is true */
  /* Occurrence of the job for which a query asks advice; the job's id is in
     id. */
  int64_t occurrence;
  int64_t step;    /* step for which a query asks advice */
  int64_t outcome; /* enum order_outcome of a query for advice */
  /* In a query for advice, the timeout of the query; in the reply, the time
     for which the tickets are valid. */
  int64_t valid_ms;
  /* In the reply to a query for advice, the time that the sender waited for
     the service's answer. */
  int64_t took_ms;
  int64_t conf_version; /* version of the sender's configuration; 0: none */
  /* Time since the leader's configuration was last known to be current. */
  int64_t conf_age_ms;
  /* Time since the table service was last reached: by the instance at
     proxy_peer_addr or, if that is empty, by the sender. */
  int64_t table_age_ms;
  /* The sender's share of a core, in thousandths; 0: not known. */
  int64_t millicores;
  /* 1 plus the number of followers that are stronger than the receiver (have a
     larger share of a core); 0: the leader does not know that number yet. */
  int64_t rank;
  /* Address of an instance that reaches the table service while the leader
     does not; empty: the leader reaches the service itself, or knows no
     instance that does. */
  char proxy_peer_addr[CLB_ADDR_MAX];
  /* MESH_STORE_REQUEST: the call to the table service that the peer is to
     make. */
  struct store_op op;
  struct store_rep rep; /* MESH_STORE_REPLY: the table service's answer */
  /* Owned.  In a query for advice, the executors that the query names; in the
     reply, the executors that may run the step. */
  struct mesh_exec *execs;
  size_t n_execs; /* number of executors in execs */
  /* Owned.  In the leader's reply to a hello, the overloaded queues. */
  struct mesh_overload *overloads;
  size_t n_overloads; /* number of entries of overloads */
  /* In the leader's reply to a hello, see fsched_lanes_known(). */
  int64_t advice_lanes;
  int64_t n_instances; /* in the leader's reply to a hello; 0: not known */
  /* In MESH_STORE_REQUEST, the time of the request on the clock of the table
     service; 0: not known. */
  int64_t table_ms;
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
 * @buf: the encoded message, of @len bytes
 * @m: set on success; the caller releases it with mesh_clear()
 * @ce: on failure, names the field
 *
 * Return: 0; %CLB_EPARSE, %CLB_EFIELD or %CLB_ERANGE if the message is
 * damaged.
 */
int mesh_unpack (const char *buf, size_t len, struct mesh_msg *m,
                 struct codec_err *ce);
/** mesh_clear() - Free what @m owns, but not @m itself. */
void mesh_clear (struct mesh_msg *m);
/** mesh_free() - Free @m and what @m owns; @m may be NULL. */
void mesh_free (struct mesh_msg *m);

#endif
