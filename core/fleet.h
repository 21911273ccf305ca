/**
 * DOC: One instance on the fleet's platform.  It answers callers' requests,
 * keeps a copy of the configuration, and schedules jobs while it is the
 * leader.
 *
 * The module does no input or output.  Its user passes in every input together
 * with the present time and carries out the messages queued in @out.  Times
 * are read from a clock that also advances while the machine is suspended.
 */
#ifndef FLEET_H
#define FLEET_H

#include "fsched.h"
#include "follow.h"
#include "leader.h"
#include "mesh.h"

enum
{
  /* Longest wait for a change in a feed of a table.  Each answer of the
     configuration's feed proves that the configuration is current. */
  FLEET_FEED_WAIT_MS = 500,
  /* Interval between a follower's hellos to the leader. */
  FLEET_HELLO_MS = 400,
  /* Time after its claim from which a leader reports ranks: every follower
     has sent it a hello by then, as this covers three intervals. */
  FLEET_RANK_AFTER_MS = 1500,
  /* The leader's time to answer a query; after that the table service is read
     instead. */
  FLEET_QUERY_TIMEOUT_MS = 250,
  /* A request is answered this long before the caller's own timeout. */
  FLEET_ANSWER_MARGIN_MS = 150,
  /* Timeout of requests that state none. */
  FLEET_DEFAULT_TIMEOUT_MS = 2500,
  /* Pause before the first retry of a failed call to the table service.  The
     pause doubles with each try, up to FLEET_RETRY_MAX_MS. */
  FLEET_RETRY_MS = 20,
  FLEET_RETRY_MAX_MS = 160,
  /* Tries after which a request is refused, if surely none took effect. */
  FLEET_TRIES_MAX = 4,
  /* Once the configuration's feed has failed for this long, new writes are
     refused at once: a write that fails then cannot be told from one that
     took effect. */
  FLEET_REFUSE_WRITES_MS = 500,
  /* A peer is used to reach the table service if its last proof that it
     reaches it is younger than this.  A proof is at most FLEET_FEED_WAIT_MS
     old when it is reported, and is reported every FLEET_HELLO_MS. */
  FLEET_PEER_FRESH_MS = 1700,
  /* Requests that need a key are refused this long before the time at which a
     withdrawn key must have stopped working. */
  FLEET_KEY_MARGIN_MS = 500,
  /* The instance is ready while the configuration was proved current within
     this time: two waits of its feed and slow answers. */
  FLEET_READY_CONF_AGE_MS = 1400,
  /* Records that become due within this time share one write. */
  FLEET_RECORD_BATCH_MS = 25,
  /* The same for records of starts; short, as each start waits for its
     record. */
  FLEET_INTENT_BATCH_MS = 2,
  /* Pause between reads of the feed of jobs.  The leader finds a job of which
     no instance has notified it after at most this time. */
  FLEET_JOBS_BATCH_MS = 200,
  /* Retry-After of answers with status 503. */
  FLEET_RETRY_AFTER_MS = 1000,
  /* Most requests in progress; more are refused. */
  FLEET_REQUESTS_MAX = 2000,
};

/** enum fleet_verb - what a caller requests, from the HTTP method */
enum fleet_verb
{
  FLEET_SUBMIT,
  /* State of a job; without an id, the number of waiting jobs of a queue. */
  FLEET_STATE,
  FLEET_CANCEL,
  /* Any other method; refused. */
  FLEET_OTHER,
  FLEET_VERB_N
};
extern const char *const fleet_verb_names[FLEET_VERB_N + 1];

/** struct fleet_request - a caller's request; all pointers are borrowed */
struct fleet_request
{
  uint64_t request_id; /* number of the request, never reused */
  int verb;            /* enum fleet_verb */
  const char *host;
  const char *path;
  const char *key;    /* API key; NULL: none given */
  int64_t timeout_ms; /* the caller's timeout; 0: not stated */
  const char *body;
  size_t body_len;
};

/** struct fleet_codec - codec of the platform's documents, and their places */
struct fleet_codec
{
  /** conf - Decodes a configuration; 0 and @out, which the caller frees, or
   * an error. */
  int (*decode_conf) (const char *text, struct fconf **out,
                      struct codec_err *ce);
  /** exec - Decodes an executor's entry; 0, or an error if the entry is
   * damaged or its state is neither ready nor draining. */
  int (*decode_exec) (const char *id, const char *text,
                      struct exec_report *out);
  /** job - Decodes a submitted job; 0, or an error, after which @out is
   * empty. */
  int (*decode_job) (const char *text, size_t len, struct job_spec *out,
                     struct codec_err *ce);
  /** state_body - Body of an answer with a job's state; the caller frees. */
  char *(*state_body) (int state);
  /** count_body - Body of an answer with a count; the caller frees. */
  char *(*count_body) (int64_t waiting);
  /** error_body - Body of a refusal; the caller frees.  @detail names what
   * was wrong, or is empty. */
  char *(*error_body) (const char *error, const char *detail);
  const char *conf_table; /* table of the configuration */
  const char *conf_key;   /* key of the configuration, with its table */
  const char *exec_table; /* table of the executors' entries, by their ids */
};

/** struct fleet_settings - settings of an instance, fixed at its start */
struct fleet_settings
{
  char id[CLB_ID_MAX];
  char zone[CLB_NAME_MAX];
  char mesh_addr[CLB_ADDR_MAX]; /* where other instances reach this one */
  int64_t boot;      /* wall clock at the start of the process, milliseconds */
  int64_t revoke_ms; /* longest time that a withdrawn key may still work */
  int64_t millicores; /* this instance's share of a core; 0: not known */
  struct fleet_codec codec;
};

/** enum api_step - what a request in progress waits for */
enum api_step
{
  /* The write of the job or of its cancellation. */
  API_WRITING,
  /* The leader's answer to a query. */
  API_QUERYING,
  /* The read of the job's recorded progress. */
  API_READING_STATE,
  /* The read of the job's own row. */
  API_READING_JOB,
};

/** struct api_request - a caller's request in progress */
struct api_request
{
  RB_ENTRY (api_request) by_request_id;
  uint64_t request_id; /* number of the request */
  int verb;            /* enum fleet_verb */
  int step;            /* enum api_step */
  uint64_t token;      /* outstanding call to the table service; 0: none */
  char job_id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];
  char tenant[CLB_NAME_MAX]; /* empty: no key was given */
  char *record;              /* owned: the job as it is written */
  int64_t arrival_ms;
  int64_t deadline_ms; /* the request is answered by then, whatever is known */
  int64_t retry_at_ms; /* time of the next retry; 0: none is due */
  int64_t query_ms;    /* time of the query to the leader */
  int64_t query_seq;   /* number of the query to the leader */
  int tries;           /* calls and queries sent so far */
  /* The answer to a write was lost: the write may take effect. */
  bool outcome_unknown;
};
RB_HEAD (api_request_tree, api_request);

/** enum fleet_answer - answers to callers; each has a counter and a status */
enum fleet_answer
{
  ANSWER_ACCEPTED,
  /* A job of this id was recorded before. */
  ANSWER_DUPLICATE,
  ANSWER_STATE,
  ANSWER_CANCELLED,
  /* The number of waiting jobs of a queue. */
  ANSWER_WAITING,
  /* No configuration has been read yet. */
  ANSWER_NO_CONFIG,
  /* The configuration is too old to check a key by it. */
  ANSWER_CONF_STALE,
  ANSWER_NO_QUEUE,
  ANSWER_BAD_KEY,
  /* The job's document, id or method is invalid. */
  ANSWER_BAD_JOB,
  ANSWER_NO_JOB,
  /* The table service refused the call; nothing was recorded. */
  ANSWER_STORE_REFUSED,
  /* The write may or may not have taken effect. */
  ANSWER_UNKNOWN,
  ANSWER_NO_LEADER,
  ANSWER_TOO_MANY,
  /* The table service was known to be unreachable; nothing was sent. */
  ANSWER_TABLE_UNREACHABLE,
  ANSWER_N
};
extern const char *const fleet_answer_names[ANSWER_N + 1];

/** struct fleet_stats - counters since the process began */
struct fleet_stats
{
  uint64_t answers[ANSWER_N]; /* answers to callers */
  uint64_t store_errors; /* failed calls to the table service for requests */
  uint64_t terms;        /* times that this instance became leader */
  uint64_t queries;      /* queries sent to the leader */
  uint64_t queries_lost; /* queries that the leader did not answer */
  uint64_t retries;      /* retried calls to the table service for requests */
  uint64_t proxied;      /* calls to the table service through a peer */
  uint64_t bad_rows;     /* damaged rows of the platform's tables */
  struct hist request_ms[FLEET_VERB_N]; /* from a request to its answer */
  struct hist record_ms; /* from a leader's write to its success */
  struct fsched_stats fsched;
};

TAILQ_HEAD (proxy_callq, proxy_call);

/** enum fleet_load_kind - records that a new leader reads first */
enum fleet_load_kind
{
  FLEET_LOAD_ROSTER,
  FLEET_LOAD_INTENTS,
  FLEET_LOAD_PROGRESS,
  FLEET_LOAD_N
};

/** struct fleet_load - progress of reading one kind of record */
struct fleet_load
{
  uint64_t token; /* outstanding call to the table service; 0: none */
  char *after;    /* owned: last key read so far; NULL: none */
  bool complete;
};

/** struct fleet - one instance on the fleet */
struct fleet
{
  struct fleet_settings settings;
  int64_t now_ms;        /* time of the present input */
  int64_t wall_ms;       /* wall clock, as passed with the last input */
  struct outq out;       /* messages to be carried out */
  uint64_t last_token;   /* last number given to a call, query or order */
  struct leader leader;  /* leader election */
  struct fsched *fsched; /* scheduler; NULL unless this instance leads */
  struct fconf *conf;    /* configuration; NULL until the first one is read */
  struct follow conf_feed;
  struct follow exec_feed; /* active only while this instance leads */
  struct follow job_feed;  /* active only while this instance leads */

  /* The table service.  A failed call is no contact. */
  int64_t store_last_contact_ms;
  int store_failures;    /* failed calls since the last contact */
  bool conf_feed_failed; /* the last call of the configuration's feed failed */
  int64_t conf_feed_failed_since_ms;

  /* Reading of the recorded state, and writes of records, while leading. */
  bool loading; /* the recorded state is being read */
  struct fleet_load loads[FLEET_LOAD_N];
  int64_t load_retry_ms;   /* no read of the recorded state before then */
  int64_t next_record_ms;  /* no write of records before then */
  int64_t next_intents_ms; /* no write of starts' records before then */

  struct api_request_tree requests; /* callers' requests in progress */
  int n_requests;

  /* The leader, while another instance leads. */
  int64_t next_hello_ms; /* no hello to the leader before then */
  int64_t leader_last_contact_ms;

  /* Instance that reaches the table service, as reported by the leader; often
     the leader itself; empty: none known. */
  char table_peer[CLB_ADDR_MAX];
  int64_t table_peer_fresh_ms; /* last time at which it surely reached it */

  struct proxy_callq proxy_sent;    /* calls that a peer makes for this one */
  struct proxy_callq proxy_serving; /* calls that this one makes for peers */
  int n_proxy_serving;

  int64_t conf_current_ms; /* last time when the configuration was current */
  bool stopping;           /* fleet_stop() was called */
  struct fleet_stats stats;
};

RB_PROTOTYPE (api_request_tree, api_request, by_call, api_request_cmp)
int api_request_cmp (const struct api_request *a, const struct api_request *b);

/** fleet_init() - Set up @f and begin to read the configuration. */
void fleet_init (struct fleet *f, const struct fleet_settings *set,
                 int64_t now_ms);
/** fleet_fini() - Free all that @f owns. */
void fleet_fini (struct fleet *f);

/* Inputs. */

/**
 * fleet_request() - A caller's request.
 * @rq: borrowed during the call
 *
 * Each request is answered once by an OUT_ANSWER with its number, unless
 * fleet_request_aborted() comes first.
 */
void fleet_request (struct fleet *f, int64_t now_ms, int64_t wall_ms,
                    const struct fleet_request *rq);
/** fleet_request_aborted() - The caller of request @call has disconnected. */
void fleet_request_aborted (struct fleet *f, uint64_t call);
/** fleet_store_reply() - The answer to call @token to the table service. */
void fleet_store_reply (struct fleet *f, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep);
/** fleet_order_result() - The result of an order; both are borrowed. */
void fleet_order_result (struct fleet *f, int64_t now_ms,
                         const struct order *o,
                         const struct order_result *res);
/**
 * fleet_mesh_msg() - A message of another instance.
 * @m: still the caller's, but its store operation may have been taken over
 */
void fleet_mesh_msg (struct fleet *f, int64_t now_ms, struct mesh_msg *m);
/** fleet_tick() - Do what is due; to be called every few milliseconds. */
void fleet_tick (struct fleet *f, int64_t now_ms, int64_t wall_ms);
/**
 * fleet_next_out() - The next message to be carried out.
 *
 * Return: owned by the caller, to be freed with out_free(); NULL: none.
 */
struct out *fleet_next_out (struct fleet *f);

/** fleet_stop() - Begin a graceful shutdown; a leader gives up leadership. */
void fleet_stop (struct fleet *f, int64_t now_ms);
/** fleet_idle() - Whether no caller's request is in progress. */
bool fleet_idle (const struct fleet *f);
/** fleet_ready() - Whether this instance is ready for callers. */
bool fleet_ready (const struct fleet *f, int64_t now_ms);
/** fleet_metrics() - Counters as Prometheus text; the caller frees. */
char *fleet_metrics (struct fleet *f);

/* api.c, used by fleet.c */

/** api_tick() - Send due retries and end requests that have timed out. */
void api_tick (struct fleet *f);
/** api_store_reply() - Handle @rep if @token is a call for a request. */
bool api_store_reply (struct fleet *f, uint64_t token,
                      const struct store_rep *rep);
/** api_mesh_msg() - Answer a query of a peer, or take the reply to one. */
void api_mesh_msg (struct fleet *f, const struct mesh_msg *m);
/** api_fini() - Drop all requests in progress without an answer. */
void api_fini (struct fleet *f);

/* fleet_load.c, used by fleet.c */

/** fleet_load_start() - Begin to read the recorded state. */
void fleet_load_start (struct fleet *f);
/** fleet_load_stop() - Stop reading; ignore answers still to come. */
void fleet_load_stop (struct fleet *f);
/** fleet_load_tick() - Send the reads that are due. */
void fleet_load_tick (struct fleet *f);
/** fleet_load_store_reply() - Handle @rep if @token is one of these reads. */
bool fleet_load_store_reply (struct fleet *f, uint64_t token,
                             const struct store_rep *rep);
/** fleet_load_finish() - Start scheduling, if everything has been read. */
void fleet_load_finish (struct fleet *f);

/* proxy.c, used by fleet.c and api.c */

/** proxy_init() - Set up the queues of calls. */
void proxy_init (struct fleet *f);
/** proxy_fini() - Drop all calls. */
void proxy_fini (struct fleet *f);
/** proxy_table_unreachable() - Whether the table service does not answer this
 * instance. */
bool proxy_table_unreachable (const struct fleet *f);
/** proxy_peer() - Address of an instance that reaches the table service, or
 * NULL. */
const char *proxy_peer (const struct fleet *f);
/**
 * proxy_route() - Send a call to the table service through a peer, if needed.
 * @o: an OUT_STORE; its operation is taken over when the call is routed
 *
 * Return: whether the call was routed; if not, it is to be sent directly.
 */
bool proxy_route (struct fleet *f, struct out *o);
/** proxy_serve() - Make a call to the table service for a peer; takes over
 * the operation of @m. */
void proxy_serve (struct fleet *f, struct mesh_msg *m);
/** proxy_store_reply() - Forward @rep if @token is a call made for a peer. */
bool proxy_store_reply (struct fleet *f, uint64_t token,
                        const struct store_rep *rep);
/** proxy_peer_reply() - Take a peer's answer to a call of this instance. */
void proxy_peer_reply (struct fleet *f, const struct mesh_msg *m);
/** proxy_tick() - End the calls that a peer has not answered in time. */
void proxy_tick (struct fleet *f);

/* fleet.c, used by api.c and proxy.c */

/** fleet_dispatch_reply() - Pass @rep to the module that made call @token. */
void fleet_dispatch_reply (struct fleet *f, uint64_t token,
                           const struct store_rep *rep);
/**
 * fleet_notify_job() - Notify the leader that a job was recorded.
 * @record: the job's record; NULL: the job was cancelled
 */
void fleet_notify_job (struct fleet *f, const char *id, const char *record);
/** fleet_send() - Send @m to the instance at @addr; takes @m over. */
void fleet_send (struct fleet *f, const char *addr, struct mesh_msg *m);
/** fleet_leader_addr() - Address of the leader; NULL if it is unreachable,
 * unknown or this instance. */
const char *fleet_leader_addr (const struct fleet *f);

#endif
