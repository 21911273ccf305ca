/**
 * DOC: Configuration: the operators' manifest of teams with weights and upper
 * limits, keys, and queues.  A manifest is used only if all of it is valid.
 */
#ifndef CONF_H
#define CONF_H

#include "codec.h"

enum
{
  CONF_TEAMS_MAX = 256,     /* largest number of teams */
  CONF_KEYS_MAX = 4096,     /* largest number of keys */
  CONF_QUEUES_MAX = 256,    /* largest number of queues */
  CONF_BYTES_MAX = 1 << 20, /* largest manifest text, in bytes */
  CONF_HASH_HEX = 65,       /* bytes of a SHA-256 in hex, including the NUL */
};

/** enum key_kind - who may use a key */
enum key_kind
{
  KEY_TEAM,
  KEY_OPERATOR,
};

/** enum queue_lane - how a queue's work is run */
enum queue_lane
{
  LANE_TASK,    /* tasks, which are recorded and run by workers */
  LANE_SERVICE, /* service requests, which are forwarded to executors */
};

/** struct conf_team - a team in the manifest */
struct conf_team
{
  char name[CLB_NAME_MAX];
  /* Weight of the team's share of a full fleet, relative to the weights of the
     other teams. */
  int64_t weight;
  /* Largest amount that may run on the whole fleet; 0 allows none. */
  struct clb_res limit;
};

/** struct conf_key - a key of a team or an operator in the manifest */
struct conf_key
{
  char id[CLB_NAME_MAX];
  char team[CLB_NAME_MAX]; /* empty for an operator's key */
  int kind;                /* enum key_kind */
  char salt[CLB_NAME_MAX];
  char hash[CONF_HASH_HEX]; /* SHA-256 of salt and secret, in hex */
};

/** struct conf_queue - a queue in the manifest */
struct conf_queue
{
  char name[CLB_NAME_MAX];
  bool open;               /* true if the queue accepts work without a key */
  char team[CLB_NAME_MAX]; /* of an open queue: team charged for its work */
  int lane;                /* enum queue_lane */
  int class;               /* enum task_class */
  bool idempotent;         /* true if its work may run more than once */
  /* Work is refused while this many of the team's tasks wait in a domain. */
  int64_t max_waiting;
  /* Of a LANE_SERVICE queue: longest wait of a request for a slot. */
  int64_t max_wait_ms;
  /* Of a LANE_SERVICE queue: a request that runs longer is aborted. */
  int64_t max_run_ms;
};

/** struct conf - the configuration that a manifest describes */
struct conf
{
  int64_t version; /* head_row::version; 0: no manifest was accepted */
  struct conf_team *teams;
  size_t n_teams;
  struct conf_key *keys;
  size_t n_keys;
  struct conf_queue *queues;
  size_t n_queues;
};

extern const struct desc conf_desc; /* of struct conf, without version */
extern const struct desc res_desc;  /* of struct clb_res */

/**
 * conf_parse() - Read and check a manifest.
 * @text: JSON of @len bytes, not necessarily terminated
 * @out: set to the configuration, which the caller frees with conf_free();
 *       set to zero on failure
 * @ce: set to the error and the wrong field on failure
 *
 * Return: 0, %CLB_EPARSE, %CLB_EFIELD, %CLB_ERANGE, %CLB_EREF, %CLB_EDUP,
 * %CLB_ETOOBIG or %CLB_ENOMEM.
 */
int conf_parse (const char *text, size_t len, struct conf *out,
                struct codec_err *ce);
/** conf_free() - Free what @c owns, but not @c itself. */
void conf_free (struct conf *c);

/** conf_team() - Find the team @name; return NULL if there is none. */
const struct conf_team *conf_team (const struct conf *c, const char *name);
/** conf_queue() - Find the queue @name; return NULL if there is none. */
const struct conf_queue *conf_queue (const struct conf *c, const char *name);

/**
 * conf_key_check() - Find and verify the key that a caller sent.
 * @bearer: "id.secret", or NULL
 * @out: set to the key, which is borrowed from @c
 *
 * The hash of the secret is compared in constant time.
 *
 * Return: 0, or %CLB_EKEY if the key is missing, unknown or wrong.
 */
int conf_key_check (const struct conf *c, const char *bearer,
                    const struct conf_key **out);

/**
 * conf_key_hash() - Hash a key's secret.
 * @out: set to the SHA-256 of @salt followed by @secret, in hex
 */
void conf_key_hash (const char *salt, const char *secret,
                    char out[CONF_HASH_HEX]);

/** conf_text_hash() - Set @out to the SHA-256 of @text, in hex. */
void conf_text_hash (const char *text, size_t len, char out[CONF_HASH_HEX]);

#endif
