/**
 * DOC: The command-line tool: one request to an entry instance per command.
 */
#ifndef CITRONCTL_H
#define CITRONCTL_H

#include <stdbool.h>
#include <stddef.h>

#include "conf.h"

/** enum exit_code - as the man page lists them */
enum exit_code
{
  EXIT_DONE = 0,
  EXIT_TASK_FAILED = 1, /* the task ended, but not well */
  EXIT_BAD_USAGE = 64,
  EXIT_BAD_DATA = 65, /* the manifest or request is wrong */
  EXIT_NOT_FOUND = 66,
  EXIT_NOT_RUN = 69, /* refused; it has not run */
  EXIT_UNKNOWN = 70, /* it may have run */
  EXIT_NO_READ = 74,
  EXIT_CONFLICT = 75, /* somebody else's change came first */
  EXIT_DENIED = 77,
};

struct options
{
  const char *servers; /* "http://ip:port,..." tried in turn */
  const char *key;
  const char *cacert;
  bool json;
  const char *change_id; /* id of an apply */
  long base_version;     /* version that it is made from; -1: the current */
  const char *watch_id;  /* filter of watch */
};

struct answer
{
  long status; /* 0 when no server was reached */
  bool sent;   /* bytes left for a server */
  char *body;
  size_t len;
};

/* rpc.c */

/**
 * rpc() - One request, sent to the first server that can be reached.
 * @a: its body is freed with rpc_free()
 */
void rpc (const struct options *opt, const char *method, const char *path,
          const char *body, size_t len, struct answer *a);
/** rpc_stream() - Tell the lines of every server's stream until all end. */
int rpc_stream (const struct options *opt, const char *path,
                void (*line) (const char *text, size_t len));
void rpc_free (struct answer *a);
/** rpc_exit_code() - The exit code that an answer calls for. */
int rpc_exit_code (const struct answer *a);

/* manifest.c */

/** read_file() - The whole file, or standard input for "-"; NULL if not. */
char *read_file (const char *path, size_t *len);
int cmd_check (const struct options *opt, const char *path);
int cmd_apply (const struct options *opt, const char *path);
int cmd_diff (const struct options *opt, const char *path);
int cmd_show (const struct options *opt);
int cmd_key (const struct options *opt, const char *id, const char *team);
/** cmd_peerkeys() - A new key pair for the links between instances. */
int cmd_peerkeys (void);

#endif
