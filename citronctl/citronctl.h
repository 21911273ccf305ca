/**
 * DOC: The command-line tool.  Most commands send one HTTP request to an entry
 * instance and print the answer.
 */
#ifndef CITRONCTL_H
#define CITRONCTL_H

#include <stdbool.h>
#include <stddef.h>

#include "conf.h"

/** enum exit_code - exit codes, documented in the man page */
enum exit_code
{
  EXIT_DONE = 0,
  /* The task failed or was cancelled, or is unknown. */
  EXIT_TASK_FAILED = 1,
  EXIT_BAD_USAGE = 64,
  /* The manifest or the request is invalid. */
  EXIT_BAD_DATA = 65,
  /* No such task, or an unknown path. */
  EXIT_NOT_FOUND = 66,
  /* The request was refused, or no server was reached: nothing has run. */
  EXIT_NOT_RUN = 69,
  /* The outcome is unknown: the request may have been carried out. */
  EXIT_UNKNOWN = 70,
  /* A file cannot be read. */
  EXIT_NO_READ = 74,
  /* Another change was made first. */
  EXIT_CONFLICT = 75,
  /* The key is not valid or lacks the permission. */
  EXIT_DENIED = 77,
};

/** struct options - the command line's options */
struct options
{
  /* "http://ip:port,..."; tried in turn. */
  const char *servers;
  /* Key to present, or NULL. */
  const char *key;
  /* PEM file of the certificates to trust; NULL: those of the system. */
  const char *cacert;
  /* Print answers as JSON. */
  bool json;
  /* apply: id of the change; NULL: a random one. */
  const char *change_id;
  /* apply: version of the manifest that the new one was made from; -1: the
     current one. */
  long base_version;
  /* watch: id of the only task to show; NULL: all. */
  const char *watch_id;
};

/** struct answer - response to a request */
struct answer
{
  /* HTTP status; 0: there was no complete response. */
  long status;
  /* Bytes of the request were sent to a server. */
  bool sent;
  /* Terminated; NULL if it is empty. */
  char *body;
  size_t len;
};

/* rpc.c: HTTP requests */

/**
 * rpc() - Send a request to the first server that can be reached.
 * @body: @len bytes, or NULL for none
 * @a: set to the response, to be freed with rpc_free()
 */
void rpc (const struct options *opt, const char *method, const char *path,
          const char *body, size_t len, struct answer *a);

/**
 * rpc_stream() - GET @path from all servers at once until every stream ends.
 * @on_line: called with each line; @text has @len bytes, is not terminated and
 *           may be NULL if @len is 0
 *
 * Return: an exit code; EXIT_DONE if any server sent a successful response.
 */
int rpc_stream (const struct options *opt, const char *path,
                void (*on_line) (const char *text, size_t len));
void rpc_free (struct answer *a);

/** rpc_exit_code() - Return: the exit code for a response. */
int rpc_exit_code (const struct answer *a);

/* manifest.c: commands about the manifest and its keys.  All return an exit
   code; @path is a file of a manifest. */

/**
 * read_file() - Read a whole file.
 * @path: "-" for standard input
 *
 * Return: its contents, which the caller frees, or NULL if it cannot be
 * opened.
 */
char *read_file (const char *path, size_t *len);

/** cmd_check() - Check a manifest without a request to a server. */
int cmd_check (const struct options *opt, const char *path);

/**
 * cmd_apply() - Make a manifest the current one.
 *
 * Prints the differences if another change was made first.
 */
int cmd_apply (const struct options *opt, const char *path);

/** cmd_diff() - Print what differs from the current manifest. */
int cmd_diff (const struct options *opt, const char *path);

/** cmd_show() - Print the current manifest and its version. */
int cmd_show (const struct options *opt);

/**
 * cmd_key() - Make a key and print its entry for the manifest.
 * @team: NULL for an operator's key
 */
int cmd_key (const struct options *opt, const char *id, const char *team);

/** cmd_peerkeys() - Make and print a key pair for links between instances. */
int cmd_peerkeys (void);

#endif
