#include "citronlbd.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

/* enum opt_key - flags without a short form */
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

/* struct setting - one flag and the variable that stands in for it */
struct setting
{
  int key;
  const char *flag;
  const char *env;
  const char *value; /* from the command line, else the environment */
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
  { "id", OPT_ID, "NAME", 0, "This entry instance's name", 0 },
  { "domain", OPT_DOMAIN, "NAME", 0, "Its failure domain", 0 },
  { "listen", OPT_LISTEN, "IP:PORT", 0, "For callers; port 0 takes any", 0 },
  { "peer-listen", OPT_PEER_LISTEN, "IP:PORT", 0, "For other instances", 0 },
  { "platform", OPT_PLATFORM, "IP:PORT", 0, "The platform's service", 0 },
  { "tls-cert", OPT_TLS_CERT, "FILE", 0, "Certificate chain, PEM", 0 },
  { "tls-key", OPT_TLS_KEY, "FILE", 0, "Its key, PEM", 0 },
  { "peer-public", OPT_PEER_PUBLIC, "Z85", 0, "Public key of peer links", 0 },
  { "peer-secret-file", OPT_PEER_SECRET_FILE, "FILE", 0,
    "File with the secret key of peer links", 0 },
  { "peer-permitted", OPT_PEER_PERMITTED, "Z85,...", 0,
    "Public keys that peers may show; the own one if not given", 0 },
  { "insecure-peers", OPT_INSECURE_PEERS, NULL, 0,
    "Peer links in clear text, for a demonstration", 0 },
  { "first-key", OPT_FIRST_KEY, "SALT:HASH", 0,
    "Operator's key until a manifest is accepted", 0 },
  { "addr-file", OPT_ADDR_FILE, "FILE", 0,
    "Write the addresses listened on to this file", 0 },
  { "fleet", OPT_FLEET, "FILE", 0,
    "Run on the fleet's platform, with its settings in FILE", 0 },
  { 0 },
};

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

static void __attribute__ ((noreturn)) bad (int key, const char *what)
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

static void
take_name (int key, char *out, size_t size)
{
  const char *v = value_of (key);

  if (!v || !*v)
    bad (key, "must be set");
  if (strlen (v) >= size || strlen (v) > 30
      || strspn (v, "abcdefghijklmnopqrstuvwxyz"
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
             != strlen (v))
    bad (key, "1 to 30 letters, digits, '_' and '-'");
  clb_copy (out, v, size);
}

static void
take_addr (int key, char *out)
{
  const char *v = value_of (key);
  struct sockaddr_in sa;
  char ip[CLB_ADDR_MAX];
  char *end;

  if (!v)
    bad (key, "must be set");
  clb_copy (ip, v, sizeof ip);
  char *colon = strrchr (ip, ':');
  if (!colon || strlen (v) >= CLB_ADDR_MAX)
    bad (key, "must be IP:PORT");
  *colon = '\0';
  long port = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end || port < 0 || port > 65535)
    bad (key, "the port must be 0 to 65535");
  if (uv_ip4_addr (ip, (int)port, &sa))
    bad (key, "not an IP number");
  clb_copy (out, v, CLB_ADDR_MAX);
}

static void
take_z85 (int key, const char *v, char out[KEY_Z85_SIZE])
{
  if (strlen (v) != KEY_Z85_SIZE - 1)
    bad (key, "a key has 40 characters");
  clb_copy (out, v, KEY_Z85_SIZE);
}

static void
take_secret (struct options *opt)
{
  const char *path = value_of (OPT_PEER_SECRET_FILE);
  char line[128] = "";
  FILE *f = fopen (path, "r");

  if (!f)
    bad (OPT_PEER_SECRET_FILE, "cannot be read");
  if (!fgets (line, sizeof line, f))
    line[0] = '\0';
  fclose (f);
  line[strcspn (line, "\r\n")] = '\0';
  take_z85 (OPT_PEER_SECRET_FILE, line, opt->peer_secret);
}

static void
take_permitted (struct options *opt)
{
  const char *v = value_of (OPT_PEER_PERMITTED);
  char copy[PERMITTED_MAX * KEY_Z85_SIZE + 1];
  char *save = NULL;

  if (!v)
    v = opt->peer_public;
  if (strlen (v) >= sizeof copy)
    bad (OPT_PEER_PERMITTED, "at most 8 keys");
  clb_copy (copy, v, sizeof copy);
  for (char *k = strtok_r (copy, ",", &save); k;
       k = strtok_r (NULL, ",", &save))
    if (opt->n_permitted < PERMITTED_MAX)
      take_z85 (OPT_PEER_PERMITTED, k, opt->permitted[opt->n_permitted++]);
}

static void
take_peer_keys (struct options *opt)
{
  opt->insecure_peers = value_of (OPT_INSECURE_PEERS) != NULL;
  if (opt->insecure_peers)
    return;
  if (!value_of (OPT_PEER_PUBLIC))
    bad (OPT_PEER_PUBLIC, "must be set, or --insecure-peers");
  if (!value_of (OPT_PEER_SECRET_FILE))
    bad (OPT_PEER_SECRET_FILE, "must be set, or --insecure-peers");
  take_z85 (OPT_PEER_PUBLIC, value_of (OPT_PEER_PUBLIC), opt->peer_public);
  take_secret (opt);
  take_permitted (opt);
}

static void
take_first_key (struct options *opt)
{
  const char *v = value_of (OPT_FIRST_KEY);
  const char *colon = v ? strchr (v, ':') : NULL;

  if (!v)
    return;
  if (!colon || (size_t)(colon - v) >= sizeof opt->node.first_key_salt
      || strlen (colon + 1) != CONF_HASH_HEX - 1)
    bad (OPT_FIRST_KEY, "must be SALT:HASH as 'citronctl key' prints it");
  memcpy (opt->node.first_key_salt, v, (size_t)(colon - v));
  clb_copy (opt->node.first_key_hash, colon + 1, CONF_HASH_HEX);
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
  take_name (OPT_ID, opt->node.id, sizeof opt->node.id);
  take_name (OPT_DOMAIN, opt->node.domain, sizeof opt->node.domain);
  take_addr (OPT_LISTEN, opt->listen);
  take_addr (OPT_PEER_LISTEN, opt->peer_listen);
  take_addr (OPT_PLATFORM, opt->platform);
  opt->cert = value_of (OPT_TLS_CERT);
  opt->key = value_of (OPT_TLS_KEY);
  if (opt->cert && !opt->key)
    bad (OPT_TLS_KEY, "must be set with --tls-cert");
  if (opt->key && !opt->cert)
    bad (OPT_TLS_CERT, "must be set with --tls-key");
  take_peer_keys (opt);
  take_first_key (opt);
  opt->addr_file = value_of (OPT_ADDR_FILE);
}
