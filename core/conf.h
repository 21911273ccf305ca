/**
 * DOC: The operators' manifest: teams with weights and upper limits, keys,
 * queues.  Checked whole before anything of it is used.
 */
#ifndef CONF_H
#define CONF_H

#include "codec.h"

enum
{
  CONF_TEAMS_MAX = 256,
  CONF_KEYS_MAX = 4096,
  CONF_QUEUES_MAX = 256,
  CONF_BYTES_MAX = 1 << 20, /* manifest text */
  CONF_HASH_HEX = 65,       /* SHA-256 in hex with NUL */
};

enum key_kind
{
  KEY_TEAM,
  KEY_OPERATOR,
};

enum queue_lane
{
  LANE_TASK,    /* recorded, run by workers */
  LANE_SERVICE, /* answered in place by service executors */
};

struct conf_team
{
  char name[CLB_NAME_MAX];
  int64_t weight;       /* share of a full fleet, relative to the others */
  struct clb_res limit; /* most that may run fleet-wide; 0 allows none */
};

struct conf_key
{
  char id[CLB_NAME_MAX];
  char team[CLB_NAME_MAX]; /* empty for an operator's key */
  int kind;                /* enum key_kind */
  char salt[CLB_NAME_MAX];
  char hash[CONF_HASH_HEX]; /* SHA-256 of salt and secret */
};

struct conf_queue
{
  char name[CLB_NAME_MAX];
  bool open;               /* accepts work without a key */
  char team[CLB_NAME_MAX]; /* charged for an open queue's work */
  int lane;                /* enum queue_lane */
  int class;               /* enum task_class */
  bool idempotent;
  int64_t max_waiting; /* tasks or requests, per domain */
  int64_t max_wait_ms; /* service requests: longest wait for a slot */
  int64_t max_run_ms;  /* service requests: longest run, then cut off */
};

struct conf
{
  int64_t version; /* of the head row; 0 before any was accepted */
  struct conf_team *teams;
  size_t n_teams;
  struct conf_key *keys;
  size_t n_keys;
  struct conf_queue *queues;
  size_t n_queues;
};

extern const struct desc conf_desc;
extern const struct desc res_desc;

/**
 * conf_parse() - Read and check a manifest.
 * @text: JSON, not necessarily terminated
 * @out: owned by the caller, freed with conf_free()
 * @ce: names the field on failure
 *
 * Return: 0, %CLB_EPARSE, %CLB_EFIELD, %CLB_ERANGE, %CLB_EREF, %CLB_EDUP,
 * %CLB_ETOOBIG or %CLB_ENOMEM.
 */
int conf_parse (const char *text, size_t len, struct conf *out,
                struct codec_err *ce);
void conf_free (struct conf *c);

const struct conf_team *conf_team (const struct conf *c, const char *name);
const struct conf_queue *conf_queue (const struct conf *c, const char *name);

/**
 * conf_key_check() - Find the key that a caller presented.
 * @bearer: "id.secret", or NULL
 * @out: the key, borrowed from @c
 *
 * Return: 0 or %CLB_EKEY.  The secret is compared in constant time.
 */
int conf_key_check (const struct conf *c, const char *bearer,
                    const struct conf_key **out);

/** conf_key_hash() - Hex SHA-256 of @salt and @secret into @out. */
void conf_key_hash (const char *salt, const char *secret,
                    char out[CONF_HASH_HEX]);

/** conf_text_hash() - Hex SHA-256 of a manifest's text. */
void conf_text_hash (const char *text, size_t len, char out[CONF_HASH_HEX]);

#endif
