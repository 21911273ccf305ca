/* Parsing and checking of manifests; verification of keys. */
#include "conf.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <string.h>

enum
{
  AMOUNT_MAX = 1000000000, /* largest amount of any resource */
  WEIGHT_MAX = 1000000,    /* largest conf_team::weight */
  WAITING_MAX = 1000000,   /* largest conf_queue::max_waiting */
  WAIT_MS_MAX = 60000,     /* largest conf_queue::max_wait_ms */
  RUN_MS_MAX = 600000,     /* largest conf_queue::max_run_ms */
  SHA256_BYTES = 32,
};

static const struct fld res_fields[] = {
  FLD_INT (struct clb_res, cores, 0, AMOUNT_MAX),
  FLD_INT (struct clb_res, mem_mb, 0, AMOUNT_MAX),
  FLD_INT (struct clb_res, accels, 0, AMOUNT_MAX),
  FLD_INT (struct clb_res, slots, 0, AMOUNT_MAX),
};
DESC (res_desc, struct clb_res, res_fields);

static const char *const key_kind_names[] = { "team", "operator", NULL };
static const char *const lane_names[] = { "task", "service", NULL };

static const struct fld team_fields[] = {
  FLD_CHARS (struct conf_team, name, true),
  FLD_INT (struct conf_team, weight, 1, WEIGHT_MAX),
  FLD_STRUCT (struct conf_team, limit, &res_desc),
};
static DESC (team_desc, struct conf_team, team_fields);

static const struct fld key_fields[] = {
  FLD_CHARS (struct conf_key, id, true),
  FLD_CHARS (struct conf_key, team, false),
  FLD_NAMED (struct conf_key, kind, key_kind_names),
  FLD_CHARS (struct conf_key, salt, true),
  FLD_CHARS (struct conf_key, hash, true),
};
static DESC (key_desc, struct conf_key, key_fields);

static const struct fld queue_fields[] = {
  FLD_CHARS (struct conf_queue, name, true),
  FLD_FLAG (struct conf_queue, open),
  FLD_CHARS (struct conf_queue, team, false),
  FLD_NAMED (struct conf_queue, lane, lane_names),
  FLD_NAMED_REQUIRED (struct conf_queue, class, task_class_names),
  FLD_FLAG (struct conf_queue, idempotent),
  FLD_INT (struct conf_queue, max_waiting, 1, WAITING_MAX),
  FLD_INT (struct conf_queue, max_wait_ms, 1, WAIT_MS_MAX),
  FLD_INT (struct conf_queue, max_run_ms, 1, RUN_MS_MAX),
};
static DESC (queue_desc, struct conf_queue, queue_fields);

static const struct fld conf_fields[] = {
  FLD_ARRAY (struct conf, teams, n_teams, &team_desc, CONF_TEAMS_MAX),
  FLD_ARRAY (struct conf, keys, n_keys, &key_desc, CONF_KEYS_MAX),
  FLD_ARRAY (struct conf, queues, n_queues, &queue_desc, CONF_QUEUES_MAX),
};
DESC (conf_desc, struct conf, conf_fields);

/* Sets @ce to error @err at the field @list[@i].@field, and returns @err. */
static int
set_error (struct codec_err *ce, int err, const char *list, size_t i,
           const char *field)
{
  ce->err = err;
  snprintf (ce->path, sizeof ce->path, "%s[%zu].%s", list, i, field);
  return err;
}

/* Returns whether @name is valid.  Names become parts of row keys and URL
   paths, so only these characters are valid. */
static bool
name_ok (const char *name)
{
  return *name
         && strspn (name, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
                == strlen (name);
}

static int
check_teams (const struct conf *c, struct codec_err *ce)
{
  for (size_t i = 0; i < c->n_teams; i++)
    {
      if (!name_ok (c->teams[i].name))
        return set_error (ce, CLB_ERANGE, "teams", i, "name");
      if (c->teams[i].weight == 0)
        return set_error (ce, CLB_EFIELD, "teams", i, "weight");
      for (size_t j = 0; j < i; j++)
        if (strcmp (c->teams[i].name, c->teams[j].name) == 0)
          return set_error (ce, CLB_EDUP, "teams", i, "name");
    }
  return 0;
}

static int
check_keys (const struct conf *c, struct codec_err *ce)
{
  for (size_t i = 0; i < c->n_keys; i++)
    {
      const struct conf_key *k = &c->keys[i];
      if (!name_ok (k->id))
        return set_error (ce, CLB_ERANGE, "keys", i, "id");
      if (strspn (k->hash, "0123456789abcdef") != CONF_HASH_HEX - 1)
        return set_error (ce, CLB_ERANGE, "keys", i, "hash");
      if (k->kind == KEY_TEAM && !conf_team (c, k->team))
        return set_error (ce, CLB_EREF, "keys", i, "team");
      if (k->kind == KEY_OPERATOR && *k->team)
        return set_error (ce, CLB_EFIELD, "keys", i, "team");
      for (size_t j = 0; j < i; j++)
        if (strcmp (k->id, c->keys[j].id) == 0)
          return set_error (ce, CLB_EDUP, "keys", i, "id");
    }
  return 0;
}

static int
check_queues (const struct conf *c, struct codec_err *ce)
{
  for (size_t i = 0; i < c->n_queues; i++)
    {
      const struct conf_queue *q = &c->queues[i];
      if (!name_ok (q->name))
        return set_error (ce, CLB_ERANGE, "queues", i, "name");
      if (q->max_waiting == 0)
        return set_error (ce, CLB_EFIELD, "queues", i, "max_waiting");
      if (q->lane == LANE_SERVICE && q->max_wait_ms == 0)
        return set_error (ce, CLB_EFIELD, "queues", i, "max_wait_ms");
      if (q->lane == LANE_SERVICE && q->max_run_ms == 0)
        return set_error (ce, CLB_EFIELD, "queues", i, "max_run_ms");
      if (q->open && !conf_team (c, q->team))
        return set_error (ce, CLB_EREF, "queues", i, "team");
      if (!q->open && *q->team)
        return set_error (ce, CLB_EFIELD, "queues", i, "team");
      for (size_t j = 0; j < i; j++)
        if (strcmp (q->name, c->queues[j].name) == 0)
          return set_error (ce, CLB_EDUP, "queues", i, "name");
    }
  return 0;
}

int
conf_parse (const char *text, size_t len, struct conf *out,
            struct codec_err *ce)
{
  if (len > CONF_BYTES_MAX)
    {
      memset (out, 0, sizeof *out);
      ce->err = CLB_ETOOBIG;
      snprintf (ce->path, sizeof ce->path, "manifest of %zu bytes", len);
      return CLB_ETOOBIG;
    }
  int err = codec_parse (&conf_desc, text, len, CODEC_STRICT, out, ce);
  if (!err)
    err = check_teams (out, ce);
  if (!err)
    err = check_keys (out, ce);
  if (!err)
    err = check_queues (out, ce);
  if (err)
    conf_free (out);
  return err;
}

void
conf_free (struct conf *c)
{
  codec_free (&conf_desc, c);
}

const struct conf_team *
conf_team (const struct conf *c, const char *name)
{
  for (size_t i = 0; i < c->n_teams; i++)
    if (strcmp (c->teams[i].name, name) == 0)
      return &c->teams[i];
  return NULL;
}

const struct conf_queue *
conf_queue (const struct conf *c, const char *name)
{
  for (size_t i = 0; i < c->n_queues; i++)
    if (strcmp (c->queues[i].name, name) == 0)
      return &c->queues[i];
  return NULL;
}

/* Sets @out to the SHA-256 of @a followed by @b, in hex. */
static void
hex_digest (const char *a, size_t a_len, const char *b, size_t b_len,
            char out[CONF_HASH_HEX])
{
  unsigned char digest[SHA256_BYTES] = { 0 };
  EVP_MD_CTX *ctx = EVP_MD_CTX_new ();

  EVP_DigestInit_ex (ctx, EVP_sha256 (), NULL);
  EVP_DigestUpdate (ctx, a, a_len);
  EVP_DigestUpdate (ctx, b, b_len);
  EVP_DigestFinal_ex (ctx, digest, NULL);
  EVP_MD_CTX_free (ctx);
  for (int i = 0; i < SHA256_BYTES; i++)
    snprintf (out + 2 * i, 3, "%02x", digest[i]);
}

void
conf_key_hash (const char *salt, const char *secret, char out[CONF_HASH_HEX])
{
  hex_digest (salt, strlen (salt), secret, strlen (secret), out);
}

void
conf_text_hash (const char *text, size_t len, char out[CONF_HASH_HEX])
{
  hex_digest (text, len, "", 0, out);
}

int
conf_key_check (const struct conf *c, const char *bearer,
                const struct conf_key **out)
{
  char hash[CONF_HASH_HEX];
  const char *dot = bearer ? strchr (bearer, '.') : NULL;

  if (!dot)
    return CLB_EKEY;
  size_t id_len = (size_t)(dot - bearer);
  for (size_t i = 0; i < c->n_keys; i++)
    {
      const struct conf_key *k = &c->keys[i];
      if (strlen (k->id) != id_len || memcmp (k->id, bearer, id_len) != 0)
        continue;
      conf_key_hash (k->salt, dot + 1, hash);
      if (CRYPTO_memcmp (hash, k->hash, CONF_HASH_HEX) != 0)
        return CLB_EKEY;
      *out = k;
      return 0;
    }
  return CLB_EKEY;
}
