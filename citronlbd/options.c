/* Reads the settings from command-line flags and environment variables. */
#include "citronlbd.h"
#include "version.h"

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
  OPT_PEER_PUBLIC_KEY,
  OPT_PEER_SECRET_KEY_FILE,
  OPT_PERMITTED_PEER_KEYS,
  OPT_INSECURE_PEERS,
  OPT_FIRST_KEY,
  OPT_ADDR_FILE,
  OPT_FLEET,
};

/* struct setting - a setting, given by a flag or an environment variable */
struct setting
{
  /* Key of the setting, an enum opt_key. */
  int opt_key;
  /* Name of the flag, without the leading "--". */
  const char *flag;
  /* Name of the environment variable. */
  const char *env;
  /* Argument of the flag, or else the value of the environment variable; NULL
     if neither is given.  A flag without an argument sets the value to "1". */
  const char *value;
};

enum
{
  N_SETTINGS = 14,
};

static struct setting settings[N_SETTINGS] = {
  { OPT_ID, "id", "CITRONLB_ID", NULL },
  { OPT_DOMAIN, "domain", "CITRONLB_DOMAIN", NULL },
  { OPT_LISTEN, "listen", "CITRONLB_LISTEN", NULL },
  { OPT_PEER_LISTEN, "peer-listen", "CITRONLB_PEER_LISTEN", NULL },
  { OPT_PLATFORM, "platform", "CITRONLB_PLATFORM", NULL },
  { OPT_TLS_CERT, "tls-cert", "CITRONLB_TLS_CERT", NULL },
  { OPT_TLS_KEY, "tls-key", "CITRONLB_TLS_KEY", NULL },
  { OPT_PEER_PUBLIC_KEY, "peer-public", "CITRONLB_PEER_PUBLIC", NULL },
  { OPT_PEER_SECRET_KEY_FILE, "peer-secret-file", "CITRONLB_PEER_SECRET_FILE",
    NULL },
  { OPT_PERMITTED_PEER_KEYS, "peer-permitted", "CITRONLB_PEER_PERMITTED",
    NULL },
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
  { "peer-public", OPT_PEER_PUBLIC_KEY, "Z85", 0, "Public key for peer links",
    0 },
  { "peer-secret-file", OPT_PEER_SECRET_KEY_FILE, "FILE", 0,
    "File with the secret key for peer links", 0 },
  { "peer-permitted", OPT_PERMITTED_PEER_KEYS, "Z85,...", 0,
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

/* Returns the setting that has the enum opt_key @key, or NULL if none has it.
 */
static struct setting *
find_setting (int key)
{
  for (int i = 0; i < N_SETTINGS; i++)
    if (settings[i].opt_key == key)
      return &settings[i];
  return NULL;
}

static error_t
parse_opt (int key, char *arg, struct argp_state *state)
{
  struct setting *s = find_setting (key);

  if (s)
    s->value = arg ? arg : "1";
  else if (key == ARGP_KEY_ARG)
    argp_usage (state);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static void
print_version (FILE *f, struct argp_state *state)
{
  (void)state;
  fprintf (f, "citronlbd %s\n", program_version ());
}

/* Prints what is wrong with setting @key and exits. */
static void __attribute__ ((noreturn))
reject_setting (int key, const char *problem)
{
  const struct setting *s = find_setting (key);

  fprintf (stderr, "citronlbd: --%s (%s): %s\n", s->flag, s->env, problem);
  exit (EX_CONFIG);
}

/* Returns the value of setting @key, or NULL if it is not given. */
static const char *
setting_value (int key)
{
  return find_setting (key)->value;
}

/* Copies the value of setting @key, a name, to @out.  Exits if the setting is
   not given or its value is not a valid name. */
static void
read_name (int key, char *out, size_t size)
{
  const char *value = setting_value (key);

  if (!value || !*value)
    reject_setting (key, "must be set");
  if (strlen (value) >= size || strlen (value) > 30
      || strspn (value, "abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
             != strlen (value))
    reject_setting (key, "must be 1 to 30 letters, digits, '_' or '-'");
  clb_copy (out, value, size);
}

/* Copies the value of setting @key, an address, to @out.  Exits if the setting
   is not given or its value does not have the form "ip:port". */
static void
read_addr (int key, char *out)
{
  const char *value = setting_value (key);
  struct sockaddr_in sa;
  char ip[CLB_ADDR_MAX];
  char *end;

  if (!value)
    reject_setting (key, "must be set");
  clb_copy (ip, value, sizeof ip);
  char *colon = strrchr (ip, ':');
  if (!colon || strlen (value) >= CLB_ADDR_MAX)
    reject_setting (key, "must be IP:PORT");
  *colon = '\0';
  long port = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end || port < 0 || port > 65535)
    reject_setting (key, "the port must be 0 to 65535");
  if (uv_ip4_addr (ip, (int)port, &sa))
    reject_setting (key, "must be an IPv4 address");
  clb_copy (out, value, CLB_ADDR_MAX);
}

/* Copies @value, a key in Z85 encoding from setting @key, to @out.  Exits if
   its length is wrong. */
static void
read_key (int key, const char *value, char out[KEY_Z85_SIZE])
{
  if (strlen (value) != KEY_Z85_SIZE - 1)
    reject_setting (key, "a key must have 40 characters");
  clb_copy (out, value, KEY_Z85_SIZE);
}

/* Reads the secret key of the links between instances from the first line of
   its file. */
static void
read_secret_key (struct options *opt)
{
  const char *path = setting_value (OPT_PEER_SECRET_KEY_FILE);
  char line[128] = "";
  FILE *f = fopen (path, "r");

  if (!f)
    reject_setting (OPT_PEER_SECRET_KEY_FILE, "cannot be read");
  if (!fgets (line, sizeof line, f))
    line[0] = '\0';
  fclose (f);
  line[strcspn (line, "\r\n")] = '\0';
  read_key (OPT_PEER_SECRET_KEY_FILE, line, opt->peer_secret_key);
}

/* Reads the public keys that peers may use.  If the setting is not given,
   peers may use only the instance's own public key. */
static void
read_permitted_keys (struct options *opt)
{
  const char *value = setting_value (OPT_PERMITTED_PEER_KEYS);
  char copy[PERMITTED_KEYS_MAX * KEY_Z85_SIZE + 1];
  char *strtok_state = NULL;

  if (!value)
    value = opt->peer_public_key;
  if (strlen (value) >= sizeof copy)
    reject_setting (OPT_PERMITTED_PEER_KEYS, "must be at most 8 keys");
  clb_copy (copy, value, sizeof copy);
  for (char *k = strtok_r (copy, ",", &strtok_state); k;
       k = strtok_r (NULL, ",", &strtok_state))
    if (opt->n_permitted_peer_keys < PERMITTED_KEYS_MAX)
      read_key (OPT_PERMITTED_PEER_KEYS, k,
                opt->permitted_peer_keys[opt->n_permitted_peer_keys++]);
}

/* Reads the keys of the links between instances. */
static void
read_peer_keys (struct options *opt)
{
  opt->insecure_peers = setting_value (OPT_INSECURE_PEERS) != NULL;
  if (opt->insecure_peers)
    return;
  if (!setting_value (OPT_PEER_PUBLIC_KEY))
    reject_setting (OPT_PEER_PUBLIC_KEY,
                    "must be set, unless --insecure-peers is");
  if (!setting_value (OPT_PEER_SECRET_KEY_FILE))
    reject_setting (OPT_PEER_SECRET_KEY_FILE,
                    "must be set, unless --insecure-peers is");
  read_key (OPT_PEER_PUBLIC_KEY, setting_value (OPT_PEER_PUBLIC_KEY),
            opt->peer_public_key);
  read_secret_key (opt);
  read_permitted_keys (opt);
}

/* Reads the optional key of an operator that is valid until a manifest is
   accepted. */
static void
read_first_key (struct options *opt)
{
  const char *value = setting_value (OPT_FIRST_KEY);
  const char *colon = value ? strchr (value, ':') : NULL;

  if (!value)
    return;
  if (!colon || (size_t)(colon - value) >= sizeof opt->node.first_key_salt
      || strlen (colon + 1) != CONF_HASH_HEX - 1)
    reject_setting (OPT_FIRST_KEY,
                    "must be SALT:HASH as printed by 'citronctl key'");
  memcpy (opt->node.first_key_salt, value, (size_t)(colon - value));
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
  for (int i = 0; i < N_SETTINGS; i++)
    settings[i].value = getenv (settings[i].env);
  argp_err_exit_status = EX_USAGE;
  argp_program_version_hook = print_version;
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  opt->fleet_file = setting_value (OPT_FLEET);
  if (opt->fleet_file)
    return;
  read_name (OPT_ID, opt->node.id, sizeof opt->node.id);
  read_name (OPT_DOMAIN, opt->node.domain, sizeof opt->node.domain);
  read_addr (OPT_LISTEN, opt->listen_addr);
  read_addr (OPT_PEER_LISTEN, opt->peer_listen_addr);
  read_addr (OPT_PLATFORM, opt->platform_addr);
  opt->cert_file = setting_value (OPT_TLS_CERT);
  opt->key_file = setting_value (OPT_TLS_KEY);
  if (opt->cert_file && !opt->key_file)
    reject_setting (OPT_TLS_KEY, "must be set with --tls-cert");
  if (opt->key_file && !opt->cert_file)
    reject_setting (OPT_TLS_CERT, "must be set with --tls-key");
  read_peer_keys (opt);
  read_first_key (opt);
  opt->addr_file = setting_value (OPT_ADDR_FILE);
}
