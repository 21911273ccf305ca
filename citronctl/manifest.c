/* This file contains the commands that check, apply, compare and show the
   manifest, and those that make keys for the manifest and for the links
   between instances. */
#include "citronctl.h"

#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uuid/uuid.h>
#include <zmq.h>

enum
{
  /* Number of random bytes in the secret of a key. */
  SECRET_BYTES = 24,
  /* Number of random bytes in the salt of a key's hash. */
  SALT_BYTES = 12,
  /* Size of a buffer for a request's path with its query. */
  PATH_SIZE = 256,
};

char *
read_file (const char *path, size_t *len)
{
  FILE *f = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *text = NULL;
  char buf[4096];
  size_t n;

  *len = 0;
  if (!f)
    return NULL;
  while ((n = fread (buf, 1, sizeof buf, f)) > 0)
    {
      char *grown = realloc (text, *len + n + 1);
      if (!grown)
        abort ();
      text = grown;
      memcpy (text + *len, buf, n);
      *len += n;
    }
  if (f != stdin)
    fclose (f);
  return text ? text : strdup ("");
}

/* Reads the manifest in file @path and checks it; prints the error if the file
   or the manifest is unusable.  Returns an exit code.  If that is EXIT_DONE,
   the caller frees *@text, and *@c with conf_free(). */
static int
load_manifest (const char *path, char **text, size_t *len, struct conf *c)
{
  struct codec_err parse_err;
  int err;

  *text = read_file (path, len);
  if (!*text)
    {
      fprintf (stderr, "citronctl: %s: cannot be read\n", path);
      return EXIT_UNREADABLE;
    }
  err = conf_parse (*text, *len, c, &parse_err);
  if (!err)
    return EXIT_DONE;
  fprintf (stderr, "citronctl: %s: %s: %s\n", path, parse_err.path,
           clb_err_name (err));
  free (*text);
  *text = NULL;
  return EXIT_BAD_DATA;
}

int
cmd_check (const struct options *opt, const char *path)
{
  struct conf c;
  char *text;
  size_t len;
  int code = load_manifest (path, &text, &len, &c);

  if (code)
    return code;
  if (opt->print_json)
    printf ("{\"teams\":%zu,\"keys\":%zu,\"queues\":%zu}\n", c.n_teams,
            c.n_keys, c.n_queues);
  else
    printf ("%s: %zu teams, %zu keys, %zu queues\n", path, c.n_teams, c.n_keys,
            c.n_queues);
  conf_free (&c);
  free (text);
  return EXIT_DONE;
}

/* Requests the current manifest with its version and sets *@out to them as
   JSON, which the caller frees.  Returns an exit code.  *@out stays unchanged
   if the request failed. */
static int
fetch_manifest (const struct options *opt, json_t **out)
{
  struct answer a;
  int code;

  rpc (opt, "GET", "/v1/config", NULL, 0, &a);
  code = rpc_exit_code (&a);
  if (code)
    fprintf (stderr, "citronctl: config: %s\n", a.body ? a.body : "no server");
  else
    *out = json_loadb (a.body, a.body_len, 0, NULL);
  rpc_free (&a);
  return code ? code : *out ? EXIT_DONE : EXIT_UNKNOWN;
}

int
cmd_apply (const struct options *opt, const char *path)
{
  struct conf c;
  struct answer a;
  json_t *current = NULL;
  char *text;
  size_t len;
  char request_path[PATH_SIZE];
  char uuid[UUID_STR_LEN];
  uuid_t binary_uuid;
  long base_version = opt->base_version;
  int code = load_manifest (path, &text, &len, &c);

  if (code)
    return code;
  conf_free (&c);
  if (base_version < 0 && (code = fetch_manifest (opt, &current)) == EXIT_DONE)
    base_version
        = (long)json_integer_value (json_object_get (current, "version"));
  json_decref (current);
  if (code)
    {
      free (text);
      return code;
    }
  uuid_generate (binary_uuid);
  uuid_unparse (binary_uuid, uuid);
  snprintf (request_path, sizeof request_path, "/v1/config?base=%ld&change=%s",
            base_version, opt->change_id ? opt->change_id : uuid);
  rpc (opt, "PUT", request_path, text, len, &a);
  code = rpc_exit_code (&a);
  if (code)
    fprintf (stderr, "citronctl: apply: %s\n", a.body ? a.body : "no server");
  else
    printf ("%s\n", a.body);
  if (code == EXIT_CONFLICT)
    cmd_diff (opt, path);
  rpc_free (&a);
  free (text);
  return code;
}

int
cmd_show (const struct options *opt)
{
  json_auto_t *current = NULL;
  int code = fetch_manifest (opt, &current);

  if (code)
    return code;
  json_dumpf (current, stdout,
              opt->print_json ? JSON_COMPACT : JSON_INDENT (2));
  printf ("\n");
  return EXIT_DONE;
}

/* Returns the object in the JSON array @list whose member @field is the string
   @name, or NULL if there is none. */
static json_t *
find_entry (json_t *list, const char *field, const char *name)
{
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
    if (strcmp (json_string_value (json_object_get (item, field)), name) == 0)
      return item;
  return NULL;
}

/* Compares the lists @list_name of two manifests and prints one line for each
   entry that differs.  Member @id_field identifies an entry.  Returns the
   number of entries that differ. */
static int
diff_list (json_t *old, json_t *new, const char *list_name,
           const char *id_field)
{
  json_t *a = json_object_get (old, list_name);
  json_t *b = json_object_get (new, list_name);
  json_t *item;
  size_t i;
  int n = 0;

  json_array_foreach (a, i, item)
    {
      const char *name = json_string_value (json_object_get (item, id_field));
      json_t *other = find_entry (b, id_field, name);
      if (other && json_equal (item, other))
        continue;
      printf ("%c %s %s\n", other ? '~' : '-', list_name, name);
      n++;
    }
  json_array_foreach (b, i, item)
    {
      const char *name = json_string_value (json_object_get (item, id_field));
      if (find_entry (a, id_field, name))
        continue;
      printf ("+ %s %s\n", list_name, name);
      n++;
    }
  return n;
}

int
cmd_diff (const struct options *opt, const char *path)
{
  struct conf c;
  json_t *current = NULL;
  json_t *old;
  json_t *new;
  char *text;
  size_t len;
  int n;
  int code = load_manifest (path, &text, &len, &c);

  if (code)
    return code;
  code = fetch_manifest (opt, &current);
  if (code == EXIT_DONE)
    {
      old = json_object_get (current, "manifest");
      new = codec_write (&conf_desc, &c);
      n = diff_list (old, new, "teams", "name")
          + diff_list (old, new, "keys", "id")
          + diff_list (old, new, "queues", "name");
      printf ("%d differences from version %lld\n", n,
              (long long)json_integer_value (
                  json_object_get (current, "version")));
      json_decref (new);
    }
  json_decref (current);
  conf_free (&c);
  free (text);
  return code;
}

/* Writes @bytes random bytes to @out as hexadecimal digits, terminated with a
   NUL. */
static void
random_hex (char *out, size_t bytes)
{
  unsigned char raw[SECRET_BYTES];

  if (bytes > sizeof raw || RAND_bytes (raw, (int)bytes) != 1)
    abort ();
  for (size_t i = 0; i < bytes; i++)
    snprintf (out + 2 * i, 3, "%02x", raw[i]);
}

/* The secret is printed here only and cannot be printed again, as the manifest
   contains only a salted hash of it. */
int
cmd_key (const struct options *opt, const char *id, const char *team)
{
  char salt[2 * SALT_BYTES + 1];
  char secret[2 * SECRET_BYTES + 1];
  char hash[CONF_HASH_HEX];
  char bearer[CLB_NAME_MAX + sizeof secret + 1];

  (void)opt;
  random_hex (salt, SALT_BYTES);
  random_hex (secret, SECRET_BYTES);
  conf_key_hash (salt, secret, hash);
  snprintf (bearer, sizeof bearer, "%.40s.%s", id, secret);
  printf ("{\"id\":\"%s\",\"kind\":\"%s\",", id, team ? "team" : "operator");
  if (team)
    printf ("\"team\":\"%s\",", team);
  printf ("\"salt\":\"%s\",\"hash\":\"%s\"}\n", salt, hash);
  fprintf (stderr, "key: %s\n", bearer);
  conf_key_hash (salt, bearer, hash);
  fprintf (stderr, "first-key: %s:%s\n", salt, hash);
  return EXIT_DONE;
}

int
cmd_peerkeys (void)
{
  char public_key[41];
  char secret_key[41];

  if (zmq_curve_keypair (public_key, secret_key))
    return EXIT_NOT_RUN;
  printf ("%s %s\n", public_key, secret_key);
  return EXIT_DONE;
}
