/**
 * DOC: Configuration: the operators' manifest of teams with weights and upper
 * limits, keys, and queues.  A manifest is used only if all of it is valid.
 */
#ifndef CONF_H
#define CONF_H

#include "codec.h"

enum
{
  CONF_TEAMS_MAX = 256,
  CONF_KEYS_MAX = 4096,
  CONF_QUEUES_MAX = 256,
  CONF_BYTES_MAX = 1 << 20, /* largest manifest text, in bytes */
  CONF_HASH_HEX = 65, /* size of a SHA-256 in hex, in bytes with the NUL */
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

/** struct conf_team - a team */
struct conf_team
{
  char name[CLB_NAME_MAX];
  int64_t weight;       /* share of a full fleet, relative to other teams */
  struct clb_res limit; /* most that may run fleet-wide; 0 allows none */
};

/** struct conf_key - a key of a team or an operator */
struct conf_key
{
  char id[CLB_NAME_MAX];
  char team[CLB_NAME_MAX]; /* empty for an operator's key */
  int kind;                /* enum key_kind */
  char salt[CLB_NAME_MAX];
  char hash[CONF_HASH_HEX]; /* SHA-256 of salt and secret, in hex */
};

/** struct conf_queue - a queue */
struct conf_queue
{
  char name[CLB_NAME_MAX];
  bool open;               /* accepts work without a key */
  char team[CLB_NAME_MAX]; /* of an open queue: charged for its work */
  int lane;                /* enum queue_lane */
  int class;               /* enum task_class */
  bool idempotent;         /* its work may run more than once */
  int64_t max_waiting;     /* most waiting work of the team in one domain */
  int64_t max_wait_ms;     /* of LANE_SERVICE: longest wait for a slot */
  int64_t max_run_ms;      /* of LANE_SERVICE: a longer request is aborted */
};

/** struct conf - a manifest */
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
 * @out: the manifest, freed with conf_free(); empty on failure
 * @ce: names the field on failure
 *
 * Return: 0, %CLB_EPARSE, %CLB_EFIELD, %CLB_ERANGE, %CLB_EREF, %CLB_EDUP,
 * %CLB_ETOOBIG or %CLB_ENOMEM.
 */
int conf_parse (const char *text, size_t len, struct conf *out,
                struct codec_err *ce);
/** conf_free() - Free what @c owns, but not @c itself. */
void conf_free (struct conf *c);

/** conf_team() - The team @name, or NULL. */
const struct conf_team *conf_team (const struct conf *c, const char *name);
/** conf_queue() - The queue @name, or NULL. */
const struct conf_queue *conf_queue (const struct conf *c, const char *name);

/**
 * conf_key_check() - Find and verify the key that a caller sent.
 * @bearer: "id.secret", or NULL
 * @out: set to the key, which is borrowed from @c
 *
 * Return: 0 or %CLB_EKEY.  The secret is compared in constant time.
 */
int conf_key_check (const struct conf *c, const char *bearer,
                    const struct conf_key **out);

/** conf_key_hash() - Set @out to the SHA-256 of @salt and @secret, in hex. */
void conf_key_hash (const char *salt, const char *secret,
                    char out[CONF_HASH_HEX]);

/** conf_text_hash() - Set @out to the SHA-256 of @text, in hex. */
void conf_text_hash (const char *text, size_t len, char out[CONF_HASH_HEX]);

#endif
