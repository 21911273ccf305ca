/**
 * DOC: One instance on the fleet's platform.  It answers callers' requests,
 * keeps a copy of the configuration, and schedules jobs while it is the
 * leader.
 *
 * The module does no input or output itself.  Its user passes in every input
 * together with the current time, and sends or logs what fleet_next_out()
 * returns.  Times are in milliseconds, from a clock that also advances while
 * the machine is suspended, unless they are said to be of the wall clock.
 */
#ifndef FLEET_H
#define FLEET_H

#include "evac.h"
#include "fsched.h"
#include "follow.h"
#include "leader.h"
#include "mesh.h"
#include "rate.h"
#include "withdraw.h"

enum
{
  /* Longest time for which a call of a table's feed waits for a change.  Each
     answer of the configuration's feed proves that the configuration is
     current. */
  FLEET_FEED_WAIT_MS = 500,
  /* Interval between the hellos that a follower sends to the leader. */
  FLEET_HELLO_MS = 400,
  /* A new leader reports ranks to its followers only after this time, counted
     from its claim.  Every follower has sent the leader a hello by then, as
     the time covers three intervals of FLEET_HELLO_MS. */
  FLEET_RANK_AFTER_MS = 1500,
  /* Time that the leader has to answer a query.  After it, a job's state is
     read from the table service instead, and a count is refused. */
  FLEET_QUERY_TIMEOUT_MS = 250,
  /* Limits of the timeout of a write for a caller.  The longest one covers the
     time for which a busy part of the table lets writes wait, and slow
     answers. */
  FLEET_WRITE_TIMEOUT_MIN_MS = 700,
  FLEET_WRITE_TIMEOUT_MAX_MS = 1700,
  /* The timeout of a write for a caller is this factor times the usual
     latency of such a write. */
  FLEET_WRITE_TIMEOUT_FACTOR = 4,
  /* Interval at which the leader is asked whether a job or cancellation is
     recorded whose write was not answered. */
  FLEET_ASK_MS = 400,
  /* A request is answered this long before the caller's own timeout ends. */
  FLEET_ANSWER_MARGIN_MS = 150,
  /* A submission or cancellation is answered after this time at the latest,
     whatever the caller's timeout is, and nothing is written for it any
     more. */
  FLEET_WRITE_REQUEST_MAX_MS = 20000,
  /* If the process was paused for at least this long, it refuses submissions
     for FLEET_RESUMED_MS, in which it reads those that have waited.  A shorter
     pause is covered by the time for which withdrawals stand. */
  FLEET_PAUSE_MS = 20000,
  FLEET_RESUMED_MS = 2000,
  /* Withdrawals may take this part of the writes of the table service, and
     those of one client account this one.  Each instance gets an equal
     share. */
  FLEET_WITHDRAWALS_DIVISOR = 4,
  FLEET_ACCOUNT_WITHDRAWALS_DIVISOR = 10,
  /* Writes of all instances a second, if the settings do not tell. */
  FLEET_WRITES_PER_S_DEFAULT = 500,
  /* Timeout of a request that states none. */
  FLEET_DEFAULT_TIMEOUT_MS = 2500,
  /* Pause before the first retry of a failed call to the table service.  The
     pause doubles with each try, up to FLEET_RETRY_MAX_MS. */
  FLEET_RETRY_MS = 20,
  /* Longest pause between two tries of a call to the table service. */
  FLEET_RETRY_MAX_MS = 160,
  /* A request is refused after this many failed tries if none of them can
     have taken effect. */
  FLEET_TRIES_MAX = 4,
  /* Once the calls of the configuration's feed have failed for this long and
     no peer reaches the table service, requests that write are refused without
     a call to the service: the answer to such a call may be lost, and it would
     then be unknown whether the write took effect. */
  FLEET_REFUSE_WRITES_MS = 500,
  /* Calls to the table service are sent through a peer if the peer has reached
     the service within this time.  The peer's last contact with the service
     is at most FLEET_FEED_WAIT_MS old when it is reported, and is reported
     every FLEET_HELLO_MS. */
  FLEET_PEER_FRESH_MS = 1700,
  /* While the configuration is not known to be current, requests that need a
     key are refused this long before the time at which a withdrawn key must no
     longer work. */
  FLEET_KEY_MARGIN_MS = 500,
  /* The instance is ready while the last proof that its configuration is
     current is younger than this.  The time covers two waits of the
     configuration's feed and slow answers. */
  FLEET_READY_CONF_AGE_MS = 1400,
  /* Interval between reads of the evacuations through a peer, by a leader that
     does not reach the table service. */
  FLEET_EVAC_FETCH_MS = 1000,
  /* Shortest interval between reads of the configuration through a peer. */
  FLEET_CONF_FETCH_MS = 200,
  /* Size of an answer of the configuration's feed, in bytes, above which it
     holds a change.  One without changes is some 100 bytes. */
  FLEET_NO_CHANGE_BYTES = 1000,
  /* Records that become due within this time are written together. */
  FLEET_RECORD_BATCH_MS = 25,
  /* Records of starts that become due within this time are written together.
     The time is short, as each start waits for its record. */
  FLEET_INTENT_BATCH_MS = 2,
  /* Pause between calls of the feed of jobs.  If no instance notifies the
     leader of a job, the leader finds the job after at most this time. */
  FLEET_JOBS_BATCH_MS = 200,
  /* Value of the Retry-After header of answers with status 503, unless other
     instances can serve the request. */
  FLEET_RETRY_AFTER_MS = 1000,
  /* Maximum number of callers' requests in progress; a further request is
     refused. */
  FLEET_REQUESTS_MAX = 2000,
};

/** enum fleet_verb - kinds of callers' requests, one for each HTTP method */
enum fleet_verb
{
  FLEET_VERB_SUBMIT,
  /* The caller requests the state of a job or, if the path holds no job's id,
     the number of waiting jobs of a queue. */
  FLEET_VERB_STATE,
  FLEET_VERB_CANCEL,
  /* Any other HTTP method; the request is refused. */
  FLEET_VERB_OTHER,
  FLEET_VERB_N
};
extern const char *const fleet_verb_names[FLEET_VERB_N + 1];

/** struct fleet_request - a caller's request; all pointers are borrowed */
struct fleet_request
{
  uint64_t request_id; /* number of the request; never reused */
  int verb;            /* enum fleet_verb */
  const char *host;    /* host of the request's URL, without the port */
  const char *path;    /* path of the URL: a queue's prefix, then a job's id */
  const char *key;     /* API key; NULL: none was given */
  int64_t timeout_ms;  /* the caller's timeout; 0: not stated */
  const char *body;    /* body of the HTTP request */
  size_t body_len;     /* length of the body in bytes */
};

/**
 * struct fleet_codec - functions that decode and encode the platform's
 * documents, and the keys under which the table service holds the documents
 */
struct fleet_codec
{
  /** decode_conf - Decodes a configuration.  Returns 0 and sets @out, which
   * the caller frees with fconf_free(), or returns an error and sets @ce. */
  int (*decode_conf) (const char *text, struct fconf **out,
                      struct codec_err *ce);
  /** decode_exec - Decodes the table entry of executor @id.  Returns 0, or an
   * error if the entry is damaged or the state in it is neither ready nor
   * draining. */
  int (*decode_exec) (const char *id, const char *text,
                      struct exec_report *out);
  /** decode_job - Decodes a submitted job.  Returns 0, or an error and sets
   * @ce; after an error, @out is empty. */
  int (*decode_job) (const char *text, size_t len, struct job_spec *out,
                     struct codec_err *ce);
  /** state_body - Makes the body of an answer with a job's state, which is an
   * enum job_state.  The caller frees the body. */
  char *(*state_body) (int state);
  /** count_body - Makes the body of an answer with a number of waiting jobs.
   * The caller frees the body. */
  char *(*count_body) (int64_t waiting);
  /** error_body - Makes the body of a refusal, which the caller frees.
   * @detail names what was wrong, or is empty. */
  char *(*error_body) (const char *error, const char *detail);
  const char *conf_table; /* table that holds the configuration */
  const char *conf_key;   /* key of the configuration's row, "TABLE/KEY" */
  const char *exec_table; /* table of executors' entries, keyed by id */
  /* Keys of the rows that evacuate a failure domain, without its name.  The
     rows are in conf_table. */
  const char *evac_prefix;
};

/** struct fleet_settings - settings of an instance, fixed at its start */
struct fleet_settings
{
  char id[CLB_ID_MAX];     /* id of this instance */
  char zone[CLB_NAME_MAX]; /* failure domain of this instance */
  /* Address at which other instances reach this one. */
  char mesh_addr[CLB_ADDR_MAX];
  int64_t boot; /* wall clock at the start of the process, milliseconds */
  /* Longest time for which a withdrawn key may still work. */
  int64_t revoke_ms;
  /* Longest time until a change of the configuration is in force. */
  int64_t conf_apply_ms;
  /* Longest time until nothing more is started in an evacuated failure domain;
     0: domains are not evacuated on this platform. */
  int64_t evacuate_ms;
  /* Longest lease that executors grant; 0: not known.  If it is shorter than
     FSCHED_LEASE_MS, it is taken for that. */
  int64_t lease_max_ms;
  /* This instance's share of a core, in thousandths; 0: not known. */
  int64_t millicores;
  struct store_limits limits; /* of the table service */
  struct fleet_codec codec;
};

/** enum api_step - what a request in progress waits for */
enum api_step
{
  /* Waits for the write of the job or of its cancellation. */
  API_WRITING,
  /* Waits for the leader's reply to a query. */
  API_QUERYING,
  /* Waits for the read of the job's recorded progress. */
  API_READING_STATE,
  /* Waits for the read of the job's own row. */
  API_READING_JOB,
};

/** struct api_request - a caller's request in progress */
struct api_request
{
  RB_ENTRY (api_request) by_request_id;
  uint64_t request_id; /* number of the request, from struct fleet_request */
  int verb;            /* enum fleet_verb */
  int step;            /* enum api_step */
  /* Token of the outstanding call to the table service; 0: none. */
  uint64_t token;
  /* Id of the job; empty: the request asks for a number of waiting jobs. */
  char job_id[JOB_ID_SIZE];
  char queue[CLB_NAME_MAX];  /* name of the queue */
  char tenant[CLB_NAME_MAX]; /* client account of the key; empty: none */
  char *record;              /* owned: row of a submitted job; NULL: none */
  int64_t arrival_ms;        /* time at which the request arrived */
  int64_t deadline_ms; /* time by which the request is answered in any case */
  int64_t retry_at_ms; /* time of the next retry; 0: none is planned */
  int64_t call_ms;     /* time at which the outstanding call was sent */
  int64_t query_ms;    /* time at which the leader was queried */
  int64_t query_seq;   /* number of the query to the leader */
  int tries;           /* calls and queries sent so far */
  /* True if the answer to a write was lost, so that the write may have taken
     effect or may still do so. */
  bool outcome_unknown;
  int64_t next_ask_ms; /* earliest time of the next ask_whether_recorded() */

  /* Of a cancellation. */

  bool withdrawing;     /* the write in progress is that of a withdrawal */
  int64_t row_ver;      /* version of the row that the withdrawal replaces */
  int64_t withdrawn_ms; /* as withdrawal::table_ms */
};
RB_HEAD (api_request_tree, api_request);

/** enum fleet_answer - answers to callers; each has a counter of its own and
 * an HTTP status */
enum fleet_answer
{
  /* The job was recorded. */
  ANSWER_ACCEPTED,
  /* A job of this id had been recorded before. */
  ANSWER_DUPLICATE,
  /* The answer holds the state of a job. */
  ANSWER_STATE,
  /* The cancellation of the job was recorded. */
  ANSWER_CANCELLED,
  /* The answer holds the number of waiting jobs of a queue. */
  ANSWER_WAITING,
  /* No configuration has been read yet. */
  ANSWER_NO_CONFIG,
  /* The configuration may not be the newest one, so that the request can be
     neither allowed nor denied. */
  ANSWER_CONF_STALE,
  /* No queue is configured for the host and path of the request. */
  ANSWER_NO_QUEUE,
  /* The queue needs a key, and the request has none or an unknown one. */
  ANSWER_BAD_KEY,
  /* The job's document or id, or the HTTP method, is invalid. */
  ANSWER_BAD_JOB,
  /* No job of this id is recorded. */
  ANSWER_NO_JOB,
  /* The table service refused the call, or did not answer a read in time;
     nothing was recorded. */
  ANSWER_STORE_REFUSED,
  /* The queue takes no jobs for now, as they would wait too long. */
  ANSWER_OVERLOADED,
  /* The write may or may not have taken effect. */
  ANSWER_UNKNOWN,
  /* No leader is reachable, or the leader did not answer the query for a
     count. */
  ANSWER_NO_LEADER,
  /* The request was refused, as FLEET_REQUESTS_MAX requests are in
     progress. */
  ANSWER_TOO_MANY,
  /* The table service was known to be unreachable; no call was sent to it. */
  ANSWER_TABLE_UNREACHABLE,
  /* The job was cancelled before it was recorded. */
  ANSWER_WITHDRAWN,
  /* The client account has cancelled too many jobs that are not recorded. */
  ANSWER_CANCEL_LIMIT,
  /* The process was paused for long, and the submission may have waited. */
  ANSWER_RESUMED,
  ANSWER_N
};
extern const char *const fleet_answer_names[ANSWER_N + 1];

/** struct fleet_stats - counters since the process began */
struct fleet_stats
{
  uint64_t answers[ANSWER_N]; /* answers to callers, by enum fleet_answer */
  /* Failed calls to the table service that were made for callers' requests. */
  uint64_t store_errors;
  /* Number of times that this instance became the leader. */
  uint64_t leader_terms;
  uint64_t queries;      /* queries sent to the leader */
  uint64_t queries_lost; /* queries that the leader did not answer in time */
  /* Retried calls to the table service that were made for callers'
     requests. */
  uint64_t retries;
  uint64_t proxied;        /* calls to the table service sent through a peer */
  uint64_t bad_rows;       /* damaged rows read from the platform's tables */
  uint64_t writes_refused; /* writes of records that the table refused */
  /* Configurations that were read and could not be used. */
  uint64_t configs_refused;
  /* Time from a request's arrival to its answer, by enum fleet_verb. */
  struct hist request_ms[FLEET_VERB_N];
  /* Time from the first send of a leader's write to the answer that reports
     its success. */
  struct hist record_ms;
  struct fsched_stats fsched; /* counters of the scheduler */
};

TAILQ_HEAD (proxy_callq, proxy_call);

/** enum fleet_load_kind - kinds of records that a new leader reads before it
 * reads the tables of executors and jobs */
enum fleet_load_kind
{
  /* The roster: the executors that earlier leaders have used. */
  FLEET_LOAD_ROSTER,
  /* The recorded starts of tasks. */
  FLEET_LOAD_INTENTS,
  /* The recorded progress of jobs. */
  FLEET_LOAD_PROGRESS,
  FLEET_LOAD_N
};

/** struct fleet_load - progress of reading one kind of record */
struct fleet_load
{
  /* Token of the outstanding call to the table service; 0: none. */
  uint64_t token;
  char *after;       /* owned: last key read so far; NULL: none */
  int64_t page_rows; /* number of rows that the next call lists */
  bool complete;     /* true: all records of the kind have been read */
};

/** struct fleet - one instance on the fleet */
struct fleet
{
  struct fleet_settings settings;
  int64_t now_ms;        /* time of the latest input */
  int64_t resumed_ms;    /* end of the last pause of FLEET_PAUSE_MS or more */
  int64_t wall_ms;       /* latest wall-clock time passed in, milliseconds */
  struct outq out;       /* output for fleet_next_out() to return */
  uint64_t last_token;   /* last number given to a call, query or order */
  struct leader leader;  /* leader election */
  struct fsched *fsched; /* scheduler; NULL unless this instance leads */
  struct fconf *conf;    /* configuration; NULL until the first one is read */
  struct table_follower conf_feed; /* reads the configuration's table */
  /* Token of the outstanding read of the configuration through a peer; 0:
     none. */
  uint64_t conf_fetch_token;
  int64_t next_conf_fetch_ms; /* earliest time of the next such read */
  struct evac evac; /* failure domains that the operator has evacuated */
  int64_t evac_current_ms;    /* time as of which they are known */
  int64_t evac_fetch_sent_ms; /* when the read below was sent */
  /* Token of the read of the evacuations through a peer; 0: none. */
  uint64_t evac_fetch_token;
  int64_t next_evac_fetch_ms; /* earliest time of the next such read */
  /* Reads the executors' table; active only while this instance leads. */
  struct table_follower exec_feed;
  /* Reads the table of jobs; active only while this instance leads. */
  struct table_follower job_feed;

  /* Time of the last answer of the table service; an answer that reports a
     failure is not counted. */
  int64_t store_last_contact_ms;
  int store_failures; /* failed calls since the table service's last answer */
  /* True if the last call of the configuration's feed failed. */
  bool conf_feed_failed;
  /* While conf_feed_failed is true, the time at which the first call of the
     configuration's feed failed. */
  int64_t conf_feed_failed_since_ms;

  /* The fields loading to next_intents_ms are used only while this instance
     leads. */

  bool loading; /* true: the records of enum fleet_load_kind are being read */
  struct fleet_load loads[FLEET_LOAD_N]; /* indexed by enum fleet_load_kind */
  int64_t load_retry_ms; /* earliest time of the next read of recorded state */
  /* Earliest time at which due records other than starts cause a write. */
  int64_t next_record_ms;
  /* Earliest time at which due records of starts cause a write. */
  int64_t next_intents_ms;

  /* Withdrawals in the table of jobs; known only while this instance leads. */
  struct withdrawals withdrawals;
  /* Limits of the rate at which callers' cancellations record withdrawals. */
  struct rate_limit account_withdrawals;
  struct rate_limit all_withdrawals;
  /* Number of instances, as the leader last reported; 0: not known. */
  int64_t n_instances;
  /* The clock of the table service less now_ms, as the last answer showed it;
     unset unless table_clock_known. */
  int64_t table_clock_offset_ms;
  bool table_clock_known;

  /* Moving average of the latency of writes for callers. */
  int64_t write_latency_ms;
  struct api_request_tree requests; /* callers' requests in progress */
  int n_requests;                   /* number of requests in progress */

  int64_t next_hello_ms; /* earliest time of the next hello to the leader */
  /* Time of the leader's last reply to a hello of this instance. */
  int64_t leader_last_contact_ms;
  /* Owned: the overloaded queues, as the leader last reported. */
  struct mesh_overload *overloads;
  size_t n_overloads;
  /* What the last leader knew of the advice service, see fsched_lanes_known().
   */
  int advice_lanes;

  /* Address of an instance that reaches the table service, as the leader
     reported; often the leader's own address; empty: none is known. */
  char proxy_peer_addr[CLB_ADDR_MAX];
  /* Last time at which the instance at proxy_peer_addr is known to have
     reached the table service. */
  int64_t proxy_peer_fresh_ms;

  struct proxy_callq proxy_sent; /* calls that peers make for this instance */
  /* Calls that this instance makes for peers. */
  struct proxy_callq proxy_serving;
  int n_proxy_serving; /* number of calls in proxy_serving */

  /* Last time at which conf is known to have been the newest configuration. */
  int64_t conf_current_ms;
  /* Last time at which a newer configuration than conf is known to have
     existed. */
  int64_t conf_superseded_ms;
  /* True if the newest configuration that was read could not be used. */
  bool conf_refused;
  bool stopping; /* true: fleet_stop() was called */
  struct fleet_stats stats;
};

RB_PROTOTYPE (api_request_tree, api_request, by_request_id, api_request_cmp)
int api_request_cmp (const struct api_request *a, const struct api_request *b);

/** fleet_init() - Set up @f with a copy of @settings, and begin to read the
 * configuration. */
void fleet_init (struct fleet *f, const struct fleet_settings *settings,
                 int64_t now_ms);
/** fleet_fini() - Free all that @f owns. */
void fleet_fini (struct fleet *f);

/* The following functions pass inputs to the instance. */

/**
 * fleet_request() - Handle a caller's request.
 * @rq: borrowed during the call
 *
 * Each request is answered by one OUT_ANSWER with the request's number, unless
 * fleet_request_aborted() is called before.
 */
void fleet_request (struct fleet *f, int64_t now_ms, int64_t wall_ms,
                    const struct fleet_request *rq);
/** fleet_request_aborted() - Drop request @request_id, whose caller has
 * disconnected, without an answer. */
void fleet_request_aborted (struct fleet *f, uint64_t request_id);
/** fleet_store_reply() - Handle the table service's answer @rep, which is
 * borrowed, to call @token. */
void fleet_store_reply (struct fleet *f, int64_t now_ms, uint64_t token,
                        const struct store_rep *rep);
/** fleet_store_partial() - Handle that a part of the table service's answer to
 * call @token, of @total bytes, has arrived and more of it follows. */
void fleet_store_partial (struct fleet *f, int64_t now_ms, uint64_t token,
                          size_t total);
/** fleet_order_result() - Handle the result @res of order @o; both are
 * borrowed. */
void fleet_order_result (struct fleet *f, int64_t now_ms,
                         const struct order *o,
                         const struct order_result *res);
/**
 * fleet_mesh_msg() - Handle a message from another instance.
 * @m: stays owned by the caller; if the function takes ownership of the
 *     operation in @m, it leaves the operation empty
 */
void fleet_mesh_msg (struct fleet *f, int64_t now_ms, struct mesh_msg *m);
/** fleet_tick() - Send the calls and messages that are due and end the
 * requests that have timed out; to be called every few milliseconds. */
void fleet_tick (struct fleet *f, int64_t now_ms, int64_t wall_ms);
/**
 * fleet_next_out() - Take the next queued output: a message or call to be
 * sent, an answer to a caller, or a log line.
 *
 * Return: the output, which the caller frees with out_free(); NULL if none is
 * queued.
 */
struct out *fleet_next_out (struct fleet *f);

/** fleet_stop() - Begin a graceful shutdown.  If this instance leads, it gives
 * up leadership. */
void fleet_stop (struct fleet *f, int64_t now_ms);
/** fleet_idle() - Return true if no caller's request is in progress. */
bool fleet_idle (const struct fleet *f);
/** fleet_ready() - Return true if this instance is ready for callers: its
 * configuration is recent, and fleet_stop() was not called. */
bool fleet_ready (const struct fleet *f, int64_t now_ms);
/** fleet_conf_behind() - Return true if a newer configuration than the one in
 * force here is known to exist. */
bool fleet_conf_behind (const struct fleet *f);
/** fleet_metrics() - Return the counters as Prometheus text, which the caller
 * frees. */
char *fleet_metrics (struct fleet *f);

/* Functions of api.c that fleet.c uses. */

/** api_tick() - Send due retries and end requests that have timed out. */
void api_tick (struct fleet *f);
/** api_store_reply() - Handle @rep if call @token was made for a caller's
 * request; return true if it was. */
bool api_store_reply (struct fleet *f, uint64_t token,
                      const struct store_rep *rep);
/** api_mesh_msg() - Answer a query of another instance, or handle the leader's
 * reply to a query of this one. */
void api_mesh_msg (struct fleet *f, const struct mesh_msg *m);
/** api_fini() - Free all requests in progress, without answers. */
void api_fini (struct fleet *f);

/* Functions of fleet_load.c that fleet.c uses. */

/** fleet_load_start() - Begin to read the records of enum fleet_load_kind. */
void fleet_load_start (struct fleet *f);
/** fleet_load_stop() - Stop reading; answers to outstanding reads are then
 * ignored. */
void fleet_load_stop (struct fleet *f);
/** fleet_load_tick() - Send the reads that are due. */
void fleet_load_tick (struct fleet *f);
/** fleet_load_store_reply() - Handle @rep if call @token is a read of the
 * recorded state; return true if it is. */
bool fleet_load_store_reply (struct fleet *f, uint64_t token,
                             const struct store_rep *rep);
/** fleet_load_finish() - Let the scheduler start, if all records and the
 * tables of executors and jobs have been read. */
void fleet_load_finish (struct fleet *f);

/* Functions of proxy.c that fleet.c and api.c use. */

/** proxy_init() - Set up the queues of calls that peers make for this instance
 * and that it makes for peers. */
void proxy_init (struct fleet *f);
/** proxy_fini() - Free all calls in both queues. */
void proxy_fini (struct fleet *f);
/** proxy_table_unreachable() - Return true if the table service is considered
 * unreachable from this instance. */
bool proxy_table_unreachable (const struct fleet *f);
/** proxy_peer() - Return the address of another instance that reaches the
 * table service, or NULL if none is known. */
const char *proxy_peer (const struct fleet *f);
/**
 * proxy_route() - Send a call to the table service through a peer, if needed.
 * @o: an OUT_STORE; if the call is sent through a peer, the function takes
 *     ownership of the operation in @o
 *
 * Return: true if the call was sent through a peer; false if the caller has to
 * send it to the table service.
 */
bool proxy_route (struct fleet *f, struct out *o);
/** proxy_serve() - Make the call to the table service that a peer requests in
 * @m.  The function moves the operation from @m to the output queue.  If the
 * table service counts as unreachable or this instance already makes too many
 * calls for peers, the function answers the peer with CLB_EUNAVAIL instead and
 * leaves the operation in @m. */
void proxy_serve (struct fleet *f, struct mesh_msg *m);
/** proxy_store_reply() - Forward @rep to the peer for which call @token was
 * made.  Return false if the call was not made for a peer. */
bool proxy_store_reply (struct fleet *f, uint64_t token,
                        const struct store_rep *rep);
/** proxy_peer_reply() - Handle the answer that a peer forwards to a call of
 * this instance. */
void proxy_peer_reply (struct fleet *f, const struct mesh_msg *m);
/** proxy_tick() - End the calls that peers have not answered in time; their
 * result is %CLB_EUNKNOWN. */
void proxy_tick (struct fleet *f);

/* Functions of fleet_mesh.c that fleet.c uses. */

/** fleet_send_hello() - Send a hello to the leader, if this instance follows
 * and a hello is due. */
void fleet_send_hello (struct fleet *f);
/** fleet_send_advice_reply() - Send the result @res of the query for advice @o
 * to the leader that requested it. */
void fleet_send_advice_reply (struct fleet *f, const struct order *o,
                              const struct order_result *res);
/** fleet_handle_mesh_msg() - Handle a message from another instance; see
 * fleet_mesh_msg(). */
void fleet_handle_mesh_msg (struct fleet *f, struct mesh_msg *m);

/* Functions of fleet.c that fleet_mesh.c uses. */

/** fleet_drop_scheduler() - Free the scheduler, if there is one, and stop
 * reading the scheduler's inputs. */
void fleet_drop_scheduler (struct fleet *f);
/** fleet_set_conf_current() - Report that fleet::conf was the newest
 * configuration at @at_ms. */
void fleet_set_conf_current (struct fleet *f, int64_t at_ms);
/** fleet_set_conf_superseded() - Report that a newer configuration than
 * fleet::conf exists now. */
void fleet_set_conf_superseded (struct fleet *f);
/**
 * fleet_apply_job_notice() - Add job @id, which was recorded, to the
 * scheduler.
 * @record: the job's record; NULL: the job was cancelled, and is cancelled in
 *          the scheduler
 *
 * The feed of jobs reports the same, but later.  Like the rows of the feed,
 * the notice is used only while this instance's lease is valid; see
 * handle_jobs_reply().
 */
void fleet_apply_job_notice (struct fleet *f, const char *id,
                             const char *record);

/* Functions of fleet.c that api.c and proxy.c use. */

/** fleet_set_now() - Set the time of an input. */
void fleet_set_now (struct fleet *f, int64_t now_ms);

/** fleet_dispatch_reply() - Pass @rep to the module that made call @token. */
void fleet_dispatch_reply (struct fleet *f, uint64_t token,
                           const struct store_rep *rep);
/**
 * fleet_notify_job() - Notify the leader that a job or its cancellation was
 * recorded.
 * @id: id of the job
 * @record: the job's record, which is copied; NULL: the job was cancelled
 */
void fleet_notify_job (struct fleet *f, const char *id, const char *record);
/** fleet_jobs_reply() - Handle the answer @rep to call @token, if the feed of
 * jobs has made the call.  Return whether it has. */
bool fleet_jobs_reply (struct fleet *f, uint64_t token,
                       const struct store_rep *rep);
/** fleet_relist_if_stuck() - List a table again if its feed is stuck although
 * the table service can be reached. */
void fleet_relist_if_stuck (struct fleet *f, struct table_follower *feed);
/** fleet_table_ms() - Return the time on the clock of the table service, which
 * is steady and the same for all instances; 0: not known.  It is behind by the
 * time that the last answer took to arrive. */
int64_t fleet_table_ms (const struct fleet *f);
/** fleet_set_table_ms() - Handle that an answer gives the time on the clock of
 * the table service.  @table_ms: 0: the answer does not give it */
void fleet_set_table_ms (struct fleet *f, int64_t table_ms);
/** fleet_n_instances() - Return how many instances there are, as far as this
 * one knows; at least 1. */
int64_t fleet_n_instances (const struct fleet *f);
/** fleet_send() - Send @m to the instance at @addr.  The function takes
 * ownership of @m. */
void fleet_send (struct fleet *f, const char *addr, struct mesh_msg *m);
/**
 * fleet_retry_after_ms() - Return the delay after which a caller should repeat
 * a request that this instance refuses; MSG_RETRY_NOW: at once.
 * @answer: the reason, enum fleet_answer
 */
int64_t fleet_retry_after_ms (const struct fleet *f, int answer);
/** fleet_overloads_hold() - Return whether what the last leader reported of
 * overloaded queues still holds. */
bool fleet_overloads_hold (const struct fleet *f);
/** fleet_overload_ms() - Return for how long a queue takes no further jobs, as
 * far as this instance knows; 0: it takes jobs. */
int64_t fleet_overload_ms (const struct fleet *f, const char *queue);
/** fleet_leader_addr() - Return the leader's address; NULL if the leader is
 * unreachable, unknown or this instance. */
const char *fleet_leader_addr (const struct fleet *f);

#endif
