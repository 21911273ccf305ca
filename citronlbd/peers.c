/* Encodes and decodes the messages that entry instances send to each other. */
#include "citronlbd.h"

#include <stdlib.h>

/* Passes a message of a peer to the node, or ignores the message if it cannot
   be decoded. */
static void
on_message (void *arg, const char *buf, size_t len)
{
  struct daemon *d = arg;
  struct pmsg m;
  struct codec_err parse_err;

  if (pmsg_unpack (buf, len, &m, &parse_err))
    {
      d->damaged_messages++;
      return;
    }
  node_peer_msg (&d->node, now_ms (), &m);
  pmsg_free (&m);
}

static void
on_received (void *arg)
{
  process_outputs (arg);
}

struct links *
peers_new (struct daemon *d)
{
  const struct options *opt = &d->opt;
  struct links_conf conf = {
    .loop = d->loop,
    .listen_addr = opt->peer_listen_addr,
    .public_key = opt->insecure_peers ? NULL : opt->peer_public_key,
    .secret_key = opt->peer_secret_key,
    .permitted_keys = opt->permitted_peer_keys,
    .n_permitted = opt->n_permitted_peer_keys,
    .arg = d,
    .on_message = on_message,
    .on_received = on_received,
  };

  return links_new (&conf);
}

void
peers_send (struct daemon *d, const char *to, const char *addr,
            const struct pmsg *m)
{
  char *buf;
  size_t len;

  if (!*addr || pmsg_pack (m, &buf, &len))
    return;
  links_send (d->peer_links, to, addr, buf, len);
  free (buf);
}
