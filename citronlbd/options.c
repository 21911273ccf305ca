/* Settings: command-line flags and environment variables. */
#include "citronlbd.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

/* enum opt_key - argp keys of the flags, none of which has a short form */
enum opt_key
{
  OPT_ID = 0x100,
  OPT_DOMAIN,
  OPT_LISTEN,
  OPT_PEER_LISTEN,
  OPT_PLATFORM,
  OPT_TLS_CERT,
  OPT_TLS_KEY,
  OPT_PEER_PUBLIC,
  OPT_PEER_SECRET_FILE,
  OPT_PEER_PERMITTED,
  OPT_INSECURE_PEERS,
  OPT_FIRST_KEY,
  OPT_ADDR_FILE,
  OPT_FLEET,
};

/* struct setting - a flag and the environment variable used without it */
struct setting
{
  /* enum opt_key */
  int key;
  const char *flag;
  const char *env;
  /* From the command line, else from the environment; NULL: not given.  "1"
     for a flag without an argument. */
  const char *value;
};

enum
{
  SETTINGS_N = 14,
};

static struct setting settings[SETTINGS_N] = {
  { OPT_ID, "id", "CITRONLB_ID", NULL },
  { OPT_DOMAIN, "domain", "CITRONLB_DOMAIN", NULL },
  { OPT_LISTEN, "listen", "CITRONLB_LISTEN", NULL },
  { OPT_PEER_LISTEN, "peer-listen", "CITRONLB_PEER_LISTEN", NULL },
  { OPT_PLATFORM, "platform", "CITRONLB_PLATFORM", NULL },
  { OPT_TLS_CERT, "tls-cert", "CITRONLB_TLS_CERT", NULL },
  { OPT_TLS_KEY, "tls-key", "CITRONLB_TLS_KEY", NULL },
  { OPT_PEER_PUBLIC, "peer-public", "CITRONLB_PEER_PUBLIC", NULL },
  { OPT_PEER_SECRET_FILE, "peer-secret-file", "CITRONLB_PEER_SECRET_FILE",
    NULL },
  { OPT_PEER_PERMITTED, "peer-permitted", "CITRONLB_PEER_PERMITTED", NULL },
  { OPT_INSECURE_PEERS, "insecure-peers", "CITRONLB_INSECURE_PEERS", NULL },
  { OPT_FIRST_KEY, "first-key", "CITRONLB_FIRST_KEY", NULL },
  { OPT_ADDR_FILE, "addr-file", "CITRONLB_ADDR_FILE", NULL },
  { OPT_FLEET, "fleet", "CITRONLB_CONFIG", NULL },
};

static const struct argp_option argp_options[] = {
  { "id", OPT_ID, "NAME", 0, "Name of this entry instance", 0 },
  { "domain", OPT_DOMAIN, "NAME", 0, "Failure domain of this instance", 0 },
  { "listen", OPT_LISTEN, "IP:PORT", 0,
    "Address for callers; port 0 selects a free one", 0 },
  { "peer-listen", OPT_PEER_LISTEN, "IP:PORT", 0,
    "Address for other instances", 0 },
  { "platform", OPT_PLATFORM, "IP:PORT", 0,
    "Address of the platform's service", 0 },
  { "tls-cert", OPT_TLS_CERT, "FILE", 0, "Certificate chain in PEM format",
    0 },
  { "tls-key", OPT_TLS_KEY, "FILE", 0,
    "Private key of the certificate in PEM format", 0 },
  { "peer-public", OPT_PEER_PUBLIC, "Z85", 0, "Public key for peer links", 0 },
  { "peer-secret-file", OPT_PEER_SECRET_FILE, "FILE", 0,
    "File with the secret key for peer links", 0 },
  { "peer-permitted", OPT_PEER_PERMITTED, "Z85,...", 0,
    "Public keys that peers may use; default: the one of --peer-public", 0 },
  { "insecure-peers", OPT_INSECURE_PEERS, NULL, 0,
    "Peer links in clear text, open to everyone; for demonstrations only", 0 },
  { "first-key", OPT_FIRST_KEY, "SALT:HASH", 0,
    "Operator's key that works until a manifest is accepted", 0 },
  { "addr-file", OPT_ADDR_FILE, "FILE", 0,
    "Write the bound addresses to this file", 0 },
  { "fleet", OPT_FLEET, "FILE", 0,
    "Run on the fleet's platform, with the settings in FILE", 0 },
  { 0 },
};

/* Returns the setting of an enum opt_key, or NULL if @key is none. */
static struct setting *
setting_of (int key)
{
  for (int i = 0; i < SETTINGS_N; i++)
    if (settings[i].key == key)
      return &settings[i];
  return NULL;
}

static error_t
parse_opt (int key, char *arg, struct argp_state *state)
{
  struct setting *s = setting_of (key);

  if (s)
    s->value = arg ? arg : "1";
  else if (key == ARGP_KEY_ARG)
    argp_usage (state);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Reports a wrong setting and exits. */
static void __attribute__ ((noreturn)) bad_setting (int key, const char *what)
{
  const struct setting *s = setting_of (key);

  fprintf (stderr, "citronlbd: --%s (%s): %s\n", s->flag, s->env, what);
  exit (EX_CONFIG);
}

static const char *
value_of (int key)
{
  return setting_of (key)->value;
}

/* Checks a required name and copies it to @out. */
static void
read_name (int key, char *out, size_t size)
{
  const char *v = value_of (key);

  if (!v || !*v)
    bad_setting (key, "must be set");
  if (strlen (v) >= size || strlen (v) > 30
      || strspn (v, "abcdefghijklmnopqrstuvwxyz"
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
             != strlen (v))
    bad_setting (key, "must be 1 to 30 letters, digits, '_' or '-'");
  clb_copy (out, v, size);
}

/* Checks a required "ip:port" and copies it to @out. */
static void
read_addr (int key, char *out)
{
  const char *v = value_of (key);
  struct sockaddr_in sa;
  char ip[CLB_ADDR_MAX];
  char *end;

  if (!v)
    bad_setting (key, "must be set");
  clb_copy (ip, v, sizeof ip);
  char *colon = strrchr (ip, ':');
  if (!colon || strlen (v) >= CLB_ADDR_MAX)
    bad_setting (key, "must be IP:PORT");
  *colon = '\0';
  long port = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end || port < 0 || port > 65535)
    bad_setting (key, "the port must be 0 to 65535");
  if (uv_ip4_addr (ip, (int)port, &sa))
    bad_setting (key, "must be an IPv4 address");
  clb_copy (out, v, CLB_ADDR_MAX);
}

/* Checks the length of a key in Z85 and copies it to @out. */
static void
read_key (int key, const char *v, char out[KEY_Z85_SIZE])
{
  if (strlen (v) != KEY_Z85_SIZE - 1)
    bad_setting (key, "a key must have 40 characters");
  clb_copy (out, v, KEY_Z85_SIZE);
}

/* Reads the secret key from the first line of its file. */
static void
read_secret (struct options *opt)
{
  const char *path = value_of (OPT_PEER_SECRET_FILE);
  char line[128] = "";
  FILE *f = fopen (path, "r");

  if (!f)
    bad_setting (OPT_PEER_SECRET_FILE, "cannot be read");
  if (!fgets (line, sizeof line, f))
    line[0] = '\0';
  fclose (f);
  line[strcspn (line, "\r\n")] = '\0';
  read_key (OPT_PEER_SECRET_FILE, line, opt->peer_secret);
}

/* Reads the public keys that peers may use; without that setting, only the
   instance's own public key. */
static void
read_permitted (struct options *opt)
{
  const char *v = value_of (OPT_PEER_PERMITTED);
  char copy[PERMITTED_MAX * KEY_Z85_SIZE + 1];
  char *save = NULL;

  if (!v)
    v = opt->peer_public;
  if (strlen (v) >= sizeof copy)
    bad_setting (OPT_PEER_PERMITTED, "must be at most 8 keys");
  clb_copy (copy, v, sizeof copy);
  for (char *k = strtok_r (copy, ",", &save); k;
       k = strtok_r (NULL, ",", &save))
    if (opt->n_permitted < PERMITTED_MAX)
      read_key (OPT_PEER_PERMITTED, k, opt->permitted[opt->n_permitted++]);
}

/* Reads the keys of the links between instances. */
static void
read_peer_keys (struct options *opt)
{
  opt->insecure_peers = value_of (OPT_INSECURE_PEERS) != NULL;
  if (opt->insecure_peers)
    return;
  if (!value_of (OPT_PEER_PUBLIC))
    bad_setting (OPT_PEER_PUBLIC, "must be set, unless --insecure-peers is");
  if (!value_of (OPT_PEER_SECRET_FILE))
    bad_setting (OPT_PEER_SECRET_FILE,
                 "must be set, unless --insecure-peers is");
  read_key (OPT_PEER_PUBLIC, value_of (OPT_PEER_PUBLIC), opt->peer_public);
  read_secret (opt);
  read_permitted (opt);
}

/* Reads the optional key of an operator, valid until a manifest is accepted.
 */
static void
read_first_key (struct options *opt)
{
  const char *v = value_of (OPT_FIRST_KEY);
  const char *colon = v ? strchr (v, ':') : NULL;

  if (!v)
    return;
  if (!colon || (size_t)(colon - v) >= sizeof opt->node.first_salt
      || strlen (colon + 1) != CONF_HASH_HEX - 1)
    bad_setting (OPT_FIRST_KEY,
                 "must be SALT:HASH as printed by 'citronctl key'");
  memcpy (opt->node.first_salt, v, (size_t)(colon - v));
  clb_copy (opt->node.first_hash, colon + 1, CONF_HASH_HEX);
}

void
options_read (int argc, char **argv, struct options *opt)
{
  const struct argp argp
      = { .options = argp_options,
          .parser = parse_opt,
          .doc = "One entry instance of the citronlb cluster scheduler." };

  memset (opt, 0, sizeof *opt);
  for (int i = 0; i < SETTINGS_N; i++)
    settings[i].value = getenv (settings[i].env);
  argp_err_exit_status = EX_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  opt->fleet_file = value_of (OPT_FLEET);
  if (opt->fleet_file)
    return;
  read_name (OPT_ID, opt->node.id, sizeof opt->node.id);
  read_name (OPT_DOMAIN, opt->node.domain, sizeof opt->node.domain);
  read_addr (OPT_LISTEN, opt->listen);
  read_addr (OPT_PEER_LISTEN, opt->peer_listen);
  read_addr (OPT_PLATFORM, opt->platform);
  opt->cert = value_of (OPT_TLS_CERT);
  opt->key = value_of (OPT_TLS_KEY);
  if (opt->cert && !opt->key)
    bad_setting (OPT_TLS_KEY, "must be set with --tls-cert");
  if (opt->key && !opt->cert)
    bad_setting (OPT_TLS_CERT, "must be set with --tls-key");
  read_peer_keys (opt);
  read_first_key (opt);
  opt->addr_file = value_of (OPT_ADDR_FILE);
}
