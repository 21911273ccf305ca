/*
 * New manifests: checks the text, writes it as an object, and then writes the
 * head row that names it, on condition that the head row has not changed.  If
 * the answer to that write is lost, reads the head row to find the outcome.
 */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A store operation without an answer is followed up after this time. */
  STORE_RETRY_MS = 1000,
  /* Timeout of a new manifest. */
  APPLY_WAIT_MS = 10000,
};

/* Writes the manifest's text as an object named by its hash. */
static void
apply_object (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char name[CLB_ID_MAX] = "manifest-";

  strcat (name, p->head.hash);
  p->step = STEP_APPLY_OBJECT;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_store_token;
  o->u.store.op.kind = STORE_OBJ_PUT;
  o->u.store.op.key = strdup (name);
  o->u.store.op.value = strdup (p->manifest);
}

/* Writes the head row. */
static void
apply_head (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char *text = codec_text (&head_row_desc, &p->head);

  p->step = STEP_APPLY_HEAD;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_store_token;
  o->u.store.op.kind = STORE_TXN;
  store_cond (&o->u.store.op, "head", p->head_ver);
  store_put (&o->u.store.op, "head", text);
  free (text);
}

/* Reads the head row. */
static void
apply_check (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);

  p->step = STEP_APPLY_CHECK;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_store_token;
  o->u.store.op.kind = STORE_GET;
  o->u.store.op.key = strdup ("head");
}

/* The manifest is in force: @ver is the row version of its head row. */
static void
apply_done (struct node *n, struct pending *p, int64_t ver)
{
  json_t *json = json_object ();

  if (p->head.version > n->head.version)
    {
      node_install_conf (n, &p->head, ver, p->manifest);
      n->conf_verified_ms = p->sent_ms > n->conf_verified_ms
                                ? p->sent_ms
                                : n->conf_verified_ms;
    }
  json_object_set_new (json, "version", json_integer (p->head.version));
  json_object_set_new (json, "change_id", json_string (p->head.change_id));
  entry_answer_json (n, p->http_call, 200, json, 0);
  n->stats.answers[0]++;
  entry_pending_free (n, p);
}

/* Another change is in force: @version is its configuration version. */
static void
apply_conflict (struct node *n, struct pending *p, int64_t version)
{
  char field[64];

  snprintf (field, sizeof field, "base: version %lld is current",
            (long long)version);
  entry_answer_err (n, p->http_call, CLB_ECONFLICT, field, NULL, 0);
  n->next_head_ms = n->now_ms;
  entry_pending_free (n, p);
}

/* Determines from the head row @row, NULL if absent, what became of this
   change. */
static void
apply_seen (struct node *n, struct pending *p, const struct row *row)
{
  struct head_row head = { .version = 0 };
  struct codec_err ce;

  if (row && row->value)
    codec_parse (&head_row_desc, row->value, strlen (row->value),
                 CODEC_LENIENT, &head, &ce);
  if (row && head.version == p->head.version
      && strcmp (head.change_id, p->head.change_id) == 0)
    apply_done (n, p, row->ver);
  else if (head.version <= p->base_version)
    apply_head (n, p);
  else if (head.version == p->head.version || !p->may_have_applied)
    apply_conflict (n, p, head.version);
  else
    /* This change may have been in force before a later one. */
    entry_finish_err (n, p, CLB_EUNKNOWN, 0);
}

/* Handles the answer to a write of the head row. */
static void
apply_head_answer (struct node *n, struct pending *p,
                   const struct store_rep *rep)
{
  if (rep->err == 0)
    apply_done (n, p, rep->n_rows ? rep->rows[0].ver : 0);
  else if (rep->err == CLB_ECONFLICT)
    apply_seen (n, p, rep->n_rows ? &rep->rows[0] : NULL);
  else if (rep->err == CLB_EUNAVAIL && !p->may_have_applied)
    entry_finish_err (n, p, CLB_EUNAVAIL, RETRY_HINT_MS);
  else
    p->may_have_applied = true;
}

bool
apply_store_answer (struct node *n, uint64_t token,
                    const struct store_rep *rep)
{
  struct pending *p;

  RB_FOREACH (p, pending_tree, &n->pending)
    if (p->store_token == token)
      break;
  if (!p)
    return false;
  p->store_token = 0;
  switch (p->step)
    {
    case STEP_APPLY_OBJECT:
      if (rep->err == 0)
        apply_head (n, p);
      break; /* an error is retried, since the object's name is its hash */
    case STEP_APPLY_HEAD:
      apply_head_answer (n, p, rep);
      break;
    default:
      if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
        apply_seen (n, p, rep->n_rows ? &rep->rows[0] : NULL);
      break;
    }
  return true;
}

/* Checks that a key may change the configuration: an operator's key, or the
   first key of the settings until a manifest is accepted. */
static int
may_apply (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  char hash[CONF_HASH_HEX];
  int err;

  if (n->head.version == 0 && *n->settings.first_hash)
    {
      conf_key_hash (n->settings.first_salt, rq->bearer ? rq->bearer : "",
                     hash);
      return strcmp (hash, n->settings.first_hash) == 0 ? 0 : CLB_EKEY;
    }
  err = node_authorize (n, n->now_ms, rq->bearer, team);
  return err ? err : *team ? CLB_EDENIED : 0;
}

/* Sets @out to the change's id from the query string; false if it is missing
   or not valid. */
static bool
read_change (const char *query, char out[CLB_ID_MAX])
{
  const char name[] = "change=";
  const char *at = query ? strstr (query, name) : NULL;
  size_t len;

  if (!at)
    return false;
  at += sizeof name - 1;
  len = strcspn (at, "&");
  if (len >= CLB_ID_MAX)
    return false;
  memcpy (out, at, len);
  out[len] = '\0';
  return entry_id_ok (out);
}

void
apply_request (struct node *n, const struct request *rq, const char *query)
{
  struct conf c;
  struct codec_err ce = { .err = 0 };
  struct pending *p;
  char change[CLB_ID_MAX];
  int err = may_apply (n, rq);

  if (!err && !read_change (query, change))
    {
      err = CLB_EFIELD;
      clb_copy (ce.path, "change", sizeof ce.path);
    }
  if (!err)
    err = conf_parse (rq->body ? rq->body : "", rq->body_len, &c, &ce);
  if (err)
    {
      entry_refuse (n, rq->http_call, err, ce.path);
      return;
    }
  conf_free (&c);
  p = entry_pending_new (n, rq->http_call, CALL_N);
  p->base_version = entry_query_number (query, "base=");
  p->head_ver = n->head_ver;
  p->head.version = p->base_version + 1;
  clb_copy (p->head.change_id, change, sizeof p->head.change_id);
  p->deadline_ms = n->now_ms + APPLY_WAIT_MS;
  if (p->base_version != n->head.version)
    {
      apply_conflict (n, p, n->head.version);
      return;
    }
  p->manifest = strndup (rq->body ? rq->body : "", rq->body_len);
  if (!p->manifest)
    abort ();
  conf_text_hash (p->manifest, rq->body_len, p->head.hash);
  apply_object (n, p);
}

void
apply_show (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  int err = node_authorize (n, n->now_ms, rq->bearer, team);
  json_t *json;

  if (n->head.version == 0)
    err = may_apply (n, rq);
  if (err)
    {
      entry_refuse (n, rq->http_call, err, NULL);
      return;
    }
  json = json_object ();
  json_object_set_new (json, "version", json_integer (n->head.version));
  json_object_set_new (json, "change_id", json_string (n->head.change_id));
  json_object_set_new (json, "hash", json_string (n->head.hash));
  if (!*team)
    json_object_set_new (json, "manifest", codec_write (&conf_desc, n->conf));
  entry_answer_json (n, rq->http_call, 200, json, 0);
}

/* A write of the object is repeated.  A write of the head row may have taken
   effect, so the row is read first. */
void
apply_tick (struct node *n, struct pending *p)
{
  if (n->now_ms - p->sent_ms < STORE_RETRY_MS)
    return;
  if (p->step == STEP_APPLY_OBJECT)
    {
      apply_object (n, p);
      return;
    }
  p->may_have_applied |= p->step == STEP_APPLY_HEAD;
  apply_check (n, p);
}
