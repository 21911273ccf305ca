/**
 * DOC: One instance on the fleet's platform: it takes callers' requests,
 * keeps the configuration, and schedules while it leads.
 *
 * It does no input or output.  Whoever runs it feeds inputs with the present
 * time and carries out what is left in @out.  Times are of a clock that goes
 * on while the machine is suspended.
 */
#ifndef FLEET_H
#define FLEET_H

#include "fsched.h"
#include "follow.h"
#include "leader.h"
#include "mesh.h"

enum
{
  FLEET_FEED_WAIT_MS = 500, /* so often is the configuration proved fresh */
  FLEET_HELLO_MS = 400,
  FLEET_RANK_AFTER_MS = 1500, /* after its claim a leader has heard all: three
                                 hellos */
  FLEET_QUERY_TIMEOUT_MS = 250, /* a leader that doesn't answer by then is
                         passed over and the table is read */
  FLEET_ANSWER_MARGIN_MS = 150, /* before the caller does */
  FLEET_DEFAULT_TIMEOUT_MS
  = 2500,                   /* callers that don't say how long they wait */
  FLEET_RETRY_MS = 20,      /* after a call to the table failed; doubled ... */
  FLEET_RETRY_MAX_MS = 160, /* ... up to this */
  FLEET_TRIES_MAX = 4,      /* then the caller is refused */
  FLEET_REFUSE_WRITES_MS
  = 500, /* the table is silent so long: new writes are refused
   at once, as none can be told from one that is done */
  FLEET_PEER_FRESH_MS = 1700, /* an instance with an older proof that it
                           reaches the table is not called through: proofs come
                           every FLEET_FEED_WAIT_MS, and are told every
                           FLEET_HELLO_MS */
  FLEET_KEY_MARGIN_MS = 500,  /* keyed work stops so long before a withdrawn
                                   key must not work any more */
  FLEET_READY_AGE_MS = 1400, /* not ready once the table is silent so long: two
                            waits of the configuration's feed, and slow
                            answers */
  FLEET_RECORD_BATCH_MS = 25, /* records of this long share a write */
  FLEET_INTENT_BATCH_MS = 2,  /* the same, of starts: each waits for it */
  FLEET_JOBS_BATCH_MS = 200,  /* jobs that no instance has told of are found by
                               then */
  FLEET_RETRY_AFTER_MS = 1000, /* Retry-After where nothing better is known */
  FLEET_REQUESTS_MAX = 2000,   /* in hand; more are refused */
};

/** enum fleet_verb - what a caller asks */
enum fleet_verb
{
  FLEET_SUBMIT,
  FLEET_STATE,
  FLEET_CANCEL,
  FLEET_OTHER,
  FLEET_VERB_N
};
extern const char *const fleet_verb_names[FLEET_VERB_N + 1];

/** struct fleet_request - from a caller, all borrowed */
struct fleet_request
{
  uint64_t call; /* chosen by the shell, not reused */
  int verb;      /* enum fleet_verb */
  const char *host;
  const char *path;
  const char *key;    /* or NULL */
  int64_t timeout_ms; /* the caller waits so long; 0: not said */
  const char *body;
  size_t body_len;
};

/** struct fleet_codec - the platform's documents and where they lie */
struct fleet_codec
{
  /** conf - 0 and a configuration that the caller frees, or an error */
  int (*conf) (const char *text, struct fconf **out, struct codec_err *ce);
  /** exec - 0, or an error for what is no executor to be used */
  int (*exec) (const char *id, const char *text, struct exec_report *out);
  /** job - 0, or an error; @out is then empty */
  int (*job) (const char *text, size_t len, struct job_spec *out,
              struct codec_err *ce);
  /** state_body, count_body - what a caller is told; the caller frees */
  char *(*state_body) (int state);
  char *(*count_body) (int64_t waiting);
  /** error_body - @detail names what was wrong, or is empty */
  char *(*error_body) (const char *error, const char *detail);
  const char *conf_table;
  const char *conf_key;   /* of the configuration, with its table */
  const char *exec_table; /* executors' entries, each under its id */
};

struct fleet_settings
{
  char id[CLB_ID_MAX];
  char zone[CLB_NAME_MAX];
  char mesh_addr[CLB_ADDR_MAX];
  int64_t boot;       /* wall clock of the start, milliseconds */
  int64_t revoke_ms;  /* a withdrawn key works no longer than this */
  int64_t millicores; /* this instance's share of a core */
  struct fleet_codec codec;
};

enum api_step
{
  API_WRITING,  /* the job or its cancellation */
  API_QUERYING, /* the leader */
  API_READING_STATE,
  API_READING_JOB,
};

/** struct api_request - a request in hand */
struct api_request
{
  RB_ENTRY (api_request) by_call;
  uint64_t call;
  int verb;
  int step;       /* enum api_step */
  uint64_t token; /* of the call to the table, or the question's number */
  char id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];
  char tenant[CLB_NAME_MAX];
  char *record; /* the job, to be written */
  int64_t arrival_ms;
  int64_t deadline_ms;
  int64_t retry_at_ms; /* the call is sent again then; 0: one is under way */
  int64_t query_ms;
  int64_t query_seq; /* number of the question to the leader */
  int tries;
  bool outcome_unknown; /* a write's answer was lost: it may take effect */
};
RB_HEAD (api_request_tree, api_request);

/** enum fleet_answer - what callers were told, one counter each */
enum fleet_answer
{
  ANSWER_ACCEPTED,
  ANSWER_DUPLICATE,
  ANSWER_STATE,
  ANSWER_CANCELLED,
  ANSWER_WAITING,
  ANSWER_NO_CONFIG,
  ANSWER_CONF_STALE,
  ANSWER_NO_QUEUE,
  ANSWER_BAD_KEY,
  ANSWER_BAD_JOB,
  ANSWER_NO_JOB,
  ANSWER_STORE_REFUSED,
  ANSWER_UNKNOWN,
  ANSWER_NO_LEADER,
  ANSWER_TOO_MANY,
  ANSWER_TABLE_UNREACHABLE, /* the table was known to be away */
  ANSWER_N
};
extern const char *const fleet_answer_names[ANSWER_N + 1];

struct fleet_stats
{
  uint64_t answers[ANSWER_N];
  uint64_t store_errors;
  uint64_t terms;   /* times that this instance began to lead */
  uint64_t queries; /* questions to the leader */
  uint64_t queries_lost;
  uint64_t retries;  /* calls to the table for callers, sent again */
  uint64_t proxied;  /* calls to the table through another instance */
  uint64_t bad_rows; /* of the platform's tables */
  struct hist request_ms[FLEET_VERB_N]; /* from arrival to the answer */
  struct hist record_ms; /* from a leader's write to its success */
  struct fsched_stats fsched;
};

TAILQ_HEAD (proxy_callq, proxy_call);

/** enum fleet_load_kind - what a new leader reads first */
enum fleet_load_kind
{
  FLEET_LOAD_ROSTER,
  FLEET_LOAD_INTENTS,
  FLEET_LOAD_PROGRESS,
  FLEET_LOAD_N
};

/** struct fleet_load - one of them */
struct fleet_load
{
  uint64_t token; /* outstanding call; 0: none */
  char *after;    /* last key of the list under way */
  bool done;
};

struct fleet
{
  struct fleet_settings settings;
  int64_t now_ms;
  int64_t wall_ms; /* wall clock, as last told */
  struct outq out;
  uint64_t tokens;
  struct leader leader;
  struct fsched *fsched; /* NULL unless leading */
  struct fconf *conf;
  struct follow conf_feed;
  struct follow exec_feed;
  struct follow job_feed;
  int64_t store_last_contact_ms;     /* the last answer of the table itself, no
                                        failure */
  int store_failures;                /* of calls to it since then */
  bool conf_feed_failed;             /* the configuration's feed has failed */
  int64_t conf_feed_failed_since_ms; /* since then */
  bool loading;                      /* what is on record is being read */
  struct fleet_load loads[FLEET_LOAD_N];
  int64_t load_retry_ms;
  int64_t next_record_ms;
  int64_t next_intents_ms;
  struct api_request_tree requests;
  int n_requests;
  int64_t next_hello_ms;
  int64_t leader_last_contact_ms;
  char table_peer[CLB_ADDR_MAX];    /* an instance that the leader says reaches
                                 the table, often itself; empty: unknown */
  int64_t table_peer_fresh_ms;      /* it surely did then */
  struct proxy_callq proxy_sent;    /* calls that it makes for this instance */
  struct proxy_callq proxy_serving; /* calls that this one makes for others */
  int n_proxy_serving;
  int64_t conf_current_ms; /* the configuration was proved current then */
  bool stopping;
  struct fleet_stats stats;
};

RB_PROTOTYPE (api_request_tree, api_request, by_call, api_request_cmp)
int api_request_cmp (const struct api_request *a, const struct api_request *b);

void fleet_init (struct fleet *f, const struct fleet_settings *set,
                 int64_t now_ms);
void fleet_fini (struct fleet *f);

/* Inputs. */
void fleet_request (struct fleet *f, int64_t now_ms, int64_t wall_ms,
                    const struct fleet_request *rq);
void fleet_request_aborted (struct fleet *f, uint64_t call);
void fleet_store_reply (struct fleet *f, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep);
void fleet_order_result (struct fleet *f, int64_t now_ms,
                         const struct order *o,
                         const struct order_result *res);
/** fleet_mesh_msg() - A message of another instance; its operation may be
 * taken.
 */
void fleet_mesh_msg (struct fleet *f, int64_t now_ms, struct mesh_msg *m);
void fleet_tick (struct fleet *f, int64_t now_ms, int64_t wall_ms);
struct out *fleet_next_out (struct fleet *f);

/** fleet_stop() - Begin a graceful shutdown: hand the lead over. */
void fleet_stop (struct fleet *f, int64_t now_ms);
/** fleet_idle() - Whether no caller's request is in hand. */
bool fleet_idle (const struct fleet *f);
/** fleet_ready() - Whether new callers should come here. */
bool fleet_ready (const struct fleet *f, int64_t now_ms);
/** fleet_metrics() - Counters in Prometheus text; the caller frees. */
char *fleet_metrics (struct fleet *f);

/* api.c, used by fleet.c */
void api_tick (struct fleet *f);
bool api_store_reply (struct fleet *f, uint64_t token,
                      const struct store_rep *rep);
void api_mesh_msg (struct fleet *f, const struct mesh_msg *m);
void api_fini (struct fleet *f);

/* fleet_load.c, used by fleet.c */
void fleet_load_start (struct fleet *f);
void fleet_load_stop (struct fleet *f);
void fleet_load_tick (struct fleet *f);
bool fleet_load_store_reply (struct fleet *f, uint64_t token,
                             const struct store_rep *rep);
/** fleet_load_finish() - Begin to schedule once all is read. */
void fleet_load_finish (struct fleet *f);

/* proxy.c, used by fleet.c and api.c */
void proxy_init (struct fleet *f);
void proxy_fini (struct fleet *f);
/** proxy_table_unreachable() - Whether the table does not answer this
 * instance. */
bool proxy_table_unreachable (const struct fleet *f);
/** proxy_peer() - Address of an instance that reaches the table, or NULL. */
const char *proxy_peer (const struct fleet *f);
/** proxy_route() - Whether the call @o goes through another instance. */
bool proxy_route (struct fleet *f, struct out *o);
/** proxy_serve() - Make a call for another instance; takes its operation. */
void proxy_serve (struct fleet *f, struct mesh_msg *m);
/** proxy_store_reply() - Whether @token was such a call. */
bool proxy_store_reply (struct fleet *f, uint64_t token,
                        const struct store_rep *rep);
void proxy_peer_reply (struct fleet *f, const struct mesh_msg *m);
void proxy_tick (struct fleet *f);

/* fleet.c, used by api.c and proxy.c */
/** fleet_dispatch_reply() - A call to the table has ended, whoever made it. */
void fleet_dispatch_reply (struct fleet *f, uint64_t token,
                           const struct store_rep *rep);
/** fleet_notify_job() - Tell the leader of a job; @record NULL: cancelled. */
void fleet_notify_job (struct fleet *f, const char *id, const char *record);
void fleet_send (struct fleet *f, const char *addr, struct mesh_msg *m);
/** fleet_leader_addr() - NULL if none is heard or it is this instance. */
const char *fleet_leader_addr (const struct fleet *f);

#endif
