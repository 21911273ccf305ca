/**
 * DOC: Messages between the instances on the fleet.  All are hints or
 * questions: nothing that must last depends on their arrival.
 */
#ifndef MESH_H
#define MESH_H

#include "msg.h"
#include "order.h"

enum mesh_kind
{
  MESH_HELLO,       /* follower to leader: here I am */
  MESH_HELLO_REPLY, /* leader's reply: term, and how fresh its configuration
                  is; the question's number is the asker's time */
  MESH_STATE_QUERY,
  MESH_STATE_REPLY, /* a job's state */
  MESH_WAITING_QUERY,
  MESH_WAITING_REPLY, /* how many jobs of a queue have not begun */
  MESH_ADVICE_QUERY,
  MESH_ADVICE_REPLY,
  MESH_JOB_NOTICE, /* to the leader: this job, or its cancellation, is recorded
                    */
  MESH_STORE_REQUEST, /* call the table for an instance that does not reach it
                       */
  MESH_STORE_REPLY,   /* what the table answered */
  MESH_KIND_N
};

/** struct mesh_exec - an executor, with its ticket in a reply */
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
  char addr[CLB_ADDR_MAX]; /* of the sender */
  int64_t seq;             /* of a question, echoed in its reply */
  int64_t epoch;           /* the leader's term */
  char id[CLB_ID_MAX];     /* a job, or a queue's name */
  int64_t count;
  char *record;  /* a job's record; NULL: its cancellation */
  bool known;    /* the leader knows the job */
  int64_t state; /* enum job_state */
  int64_t occurrence;
  int64_t step;
  int64_t outcome; /* enum order_outcome */
  int64_t valid_ms;
  int64_t conf_version;
  int64_t conf_age_ms;  /* since the configuration was proved current */
  int64_t table_age_ms; /* since the sender, or the instance in via, reached
                           the table */
  int64_t millicores;   /* the sender's share of a core */
  int64_t rank; /* 1 and how many stronger followers the leader has heard; 0:
                   not known yet */
  char via[CLB_ADDR_MAX]; /* the leader does not reach the table, this
                             instance does */
  struct store_op op;
  struct store_rep rep;
  struct mesh_exec *execs;
  size_t n_execs;
};

/** mesh_pack() - As msgpack that the caller frees.  0 or %CLB_ENOMEM. */
int mesh_pack (const struct mesh_msg *m, char **buf, size_t *len);
/** mesh_unpack() - %CLB_EPARSE, %CLB_EFIELD or %CLB_ERANGE if damaged. */
int mesh_unpack (const char *buf, size_t len, struct mesh_msg *m,
                 struct codec_err *ce);
void mesh_clear (struct mesh_msg *m);
void mesh_free (struct mesh_msg *m);

#endif
