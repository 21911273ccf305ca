/*
 * Handling of new manifests.  The text of a manifest is checked and written as
 * an object.  Then the head row that names the object is written, on condition
 * that the head row has not changed.  If the reply to that write is lost, the
 * head row is read to find the outcome.
 */
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time after which a store operation without a reply is repeated, or its
     outcome is read. */
  STORE_RETRY_MS = 1000,
  /* Longest time for a new manifest to be written. */
  APPLY_WAIT_MS = 10000,
};

/* Writes the manifest's text as an object named by its hash. */
static void
write_object (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char name[CLB_ID_MAX] = "manifest-";

  strcat (name, p->head.hash);
  p->step = STEP_APPLY_OBJECT;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_token;
  o->u.store.op.kind = STORE_OBJ_PUT;
  o->u.store.op.key = strdup (name);
  o->u.store.op.value = strdup (p->manifest);
}

/* Writes the head row that names the manifest. */
static void
write_head (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);
  char *text = codec_text (&head_row_desc, &p->head);

  p->step = STEP_APPLY_HEAD;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_token;
  o->u.store.op.kind = STORE_TXN;
  store_cond (&o->u.store.op, "head", p->head_ver);
  store_put (&o->u.store.op, "head", text);
  free (text);
}

/* Reads the head row, to find the outcome of a write. */
static void
read_head (struct node *n, struct pending *p)
{
  struct out *o = out_new (&n->out, OUT_STORE);

  p->step = STEP_APPLY_CHECK;
  p->sent_ms = n->now_ms;
  o->u.store.token = p->store_token = ++n->last_token;
  o->u.store.op.kind = STORE_GET;
  o->u.store.op.key = strdup ("head");
}

/* Installs the manifest, whose head row has been written with row version
   @ver, and answers the caller. */
static void
finish_applied (struct node *n, struct pending *p, int64_t ver)
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

/* Refuses the manifest, because its base is not the current configuration
   version @version. */
static void
finish_conflict (struct node *n, struct pending *p, int64_t version)
{
  char field[64];

  snprintf (field, sizeof field, "base: version %lld is current",
            (long long)version);
  entry_answer_err (n, p->http_call, CLB_ECONFLICT, field, NULL, 0);
  n->next_head_ms = n->now_ms;
  entry_pending_free (n, p);
}

/* Determines from the current head row whether this change took effect, and
   continues or ends it.  @row is NULL if the table has no head row. */
static void
resolve_outcome (struct node *n, struct pending *p, const struct row *row)
{
  struct head_row head = { .version = 0 };
  struct codec_err ce;

  if (row && row->value)
    codec_parse (&head_row_desc, row->value, strlen (row->value),
                 CODEC_LENIENT, &head, &ce);
  if (row && head.version == p->head.version
      && strcmp (head.change_id, p->head.change_id) == 0)
    finish_applied (n, p, row->ver);
  else if (head.version <= p->base_version)
    write_head (n, p);
  else if (head.version == p->head.version || !p->may_have_applied)
    finish_conflict (n, p, head.version);
  else
    /* This change may have been in force before a later one replaced it. */
    entry_finish_err (n, p, CLB_EOUTCOME, 0);
}

/* Handles the reply to a write of the head row. */
static void
handle_head_write_reply (struct node *n, struct pending *p,
                         const struct store_rep *rep)
{
  if (rep->err == 0)
    finish_applied (n, p, rep->n_rows ? rep->rows[0].ver : 0);
  else if (rep->err == CLB_ECONFLICT)
    resolve_outcome (n, p, rep->n_rows ? &rep->rows[0] : NULL);
  else if (rep->err == CLB_EUNAVAIL && !p->may_have_applied)
    entry_finish_err (n, p, CLB_EUNAVAIL, RETRY_HINT_MS);
  else
    p->may_have_applied = true;
}

bool
apply_store_reply (struct node *n, uint64_t token, const struct store_rep *rep)
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
        write_head (n, p);
      break; /* after an error apply_tick() writes the same object again */
    case STEP_APPLY_HEAD:
      handle_head_write_reply (n, p, rep);
      break;
    default:
      if (rep->err == 0 || rep->err == CLB_ENOTFOUND)
        resolve_outcome (n, p, rep->n_rows ? &rep->rows[0] : NULL);
      break;
    }
  return true;
}

/* Checks that the key of @rq may change the configuration.  An operator's key
   may.  Until the first manifest is accepted, only the key of
   settings::first_key_hash may, if that is set.  Returns 0 or enum clb_err. */
static int
check_apply_key (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  char hash[CONF_HASH_HEX];
  int err;

  if (n->head.version == 0 && *n->settings.first_key_hash)
    {
      conf_key_hash (n->settings.first_key_salt, rq->bearer ? rq->bearer : "",
                     hash);
      return strcmp (hash, n->settings.first_key_hash) == 0 ? 0 : CLB_EKEY;
    }
  err = node_authorize (n, n->now_ms, rq->bearer, team);
  return err ? err : *team ? CLB_EDENIED : 0;
}

/* Sets @out to the id of the change in the query string.  Returns false if the
   id is missing or not valid. */
static bool
parse_change_id (const char *query, char out[CLB_ID_MAX])
{
  const char prefix[] = "change=";
  const char *value = query ? strstr (query, prefix) : NULL;
  size_t len;

  if (!value)
    return false;
  value += sizeof prefix - 1;
  len = strcspn (value, "&");
  if (len >= CLB_ID_MAX)
    return false;
  memcpy (out, value, len);
  out[len] = '\0';
  return entry_id_ok (out);
}

void
apply_request (struct node *n, const struct request *rq, const char *query)
{
  struct conf c;
  struct codec_err ce = { .err = 0 };
  struct pending *p;
  char change_id[CLB_ID_MAX];
  int err = check_apply_key (n, rq);

  if (!err && !parse_change_id (query, change_id))
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
  clb_copy (p->head.change_id, change_id, sizeof p->head.change_id);
  p->deadline_ms = n->now_ms + APPLY_WAIT_MS;
  if (p->base_version != n->head.version)
    {
      finish_conflict (n, p, n->head.version);
      return;
    }
  p->manifest = strndup (rq->body ? rq->body : "", rq->body_len);
  if (!p->manifest)
    abort ();
  conf_text_hash (p->manifest, rq->body_len, p->head.hash);
  write_object (n, p);
}

void
apply_show (struct node *n, const struct request *rq)
{
  char team[CLB_NAME_MAX] = "";
  int err = node_authorize (n, n->now_ms, rq->bearer, team);
  json_t *json;

  if (n->head.version == 0)
    err = check_apply_key (n, rq);
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

/* A write of the object without a reply is repeated; that is safe since the
   name of the object is the hash of its text.  A write of the head row without
   a reply may have taken effect, so the row is read first. */
void
apply_tick (struct node *n, struct pending *p)
{
  if (n->now_ms - p->sent_ms < STORE_RETRY_MS)
    return;
  if (p->step == STEP_APPLY_OBJECT)
    {
      write_object (n, p);
      return;
    }
  p->may_have_applied |= p->step == STEP_APPLY_HEAD;
  read_head (n, p);
}
