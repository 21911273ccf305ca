/**
 * DOC: This header declares the parts of citronctl, the command-line tool.
 * Most commands send one HTTP request to an entry instance and print the
 * answer.
 */
#ifndef CITRONCTL_H
#define CITRONCTL_H

#include <stdbool.h>
#include <stddef.h>

#include "conf.h"

/** enum exit_code - exit codes of citronctl, documented in citronctl(1) */
enum exit_code
{
  EXIT_DONE = 0,
  /* The task failed or was cancelled, or is unknown. */
  EXIT_TASK_FAILED = 1,
  EXIT_BAD_USAGE = 64,
  /* The manifest or the request is invalid. */
  EXIT_BAD_DATA = 65,
  /* The task or the path of the request does not exist. */
  EXIT_NOT_FOUND = 66,
  /* The request was refused or no server was reached, so nothing has run. */
  EXIT_NOT_RUN = 69,
  /* The request may have been carried out; its outcome is unknown. */
  EXIT_UNKNOWN = 70,
  /* A file cannot be read. */
  EXIT_UNREADABLE = 74,
  /* The manifest was refused, as another change was made first. */
  EXIT_CONFLICT = 75,
  /* The key is not valid or lacks the permission. */
  EXIT_DENIED = 77,
};

/** struct options - options of the command line */
struct options
{
  /* URLs of entry instances, separated by commas. */
  const char *servers;
  /* Key to send with each request, or NULL for none. */
  const char *key;
  /* PEM file of the certificates to trust; NULL selects those of the system.
   */
  const char *cacert;
  /* True if answers are printed as JSON. */
  bool print_json;
  /* For apply: id of the change; NULL selects a random one. */
  const char *change_id;
  /* For apply: version of the manifest that the new one was made from; -1
     selects the current version. */
  long base_version;
  /* For watch: id of the only task to show; NULL shows all tasks. */
  const char *watch_id;
};

/** struct answer - a server's response to a request */
struct answer
{
  /* HTTP status; 0 if there was no complete response. */
  long status;
  /* True if any byte of the request was sent to a server. */
  bool request_sent;
  /* Body of the response, terminated with a NUL; NULL if the body is empty. */
  char *body;
  size_t body_len;
};

/* rpc.c sends HTTP requests to entry instances. */

/**
 * rpc() - Send a request to the first server that can be reached.
 * @body: body of the request, with @len bytes; NULL for none
 * @a: set to the response, which the caller frees with rpc_free()
 */
void rpc (const struct options *opt, const char *method, const char *path,
          const char *body, size_t len, struct answer *a);

/**
 * rpc_stream() - Send GET @path to all servers at the same time and read their
 * responses until the last one ends.
 * @on_line: called with each line; @text has @len bytes, is not terminated and
 *           may be NULL if @len is 0
 *
 * Return: an enum exit_code; EXIT_DONE if any server sent a successful
 * response.
 */
int rpc_stream (const struct options *opt, const char *path,
                void (*on_line) (const char *text, size_t len));

/** rpc_free() - Free the body of a response and clear *@a. */
void rpc_free (struct answer *a);

/** rpc_exit_code() - Return: the enum exit_code for a response. */
int rpc_exit_code (const struct answer *a);

/* manifest.c contains the commands about the manifest and its keys.  Each cmd_
   function returns an enum exit_code; its @path is the file of a manifest. */

/**
 * read_file() - Read a whole file.
 * @path: path of the file, or "-" for standard input
 * @len: set to the number of bytes read
 *
 * Return: the contents, which the caller frees, or NULL if the file cannot be
 * opened.
 */
char *read_file (const char *path, size_t *len);

/** cmd_check() - Check a manifest without sending a request to a server. */
int cmd_check (const struct options *opt, const char *path);

/**
 * cmd_apply() - Make a manifest the current one.
 *
 * If the manifest is refused because another change was made first, prints the
 * differences from the current manifest.
 */
int cmd_apply (const struct options *opt, const char *path);

/** cmd_diff() - Print the entries that differ from the current manifest. */
int cmd_diff (const struct options *opt, const char *path);

/** cmd_show() - Print the current manifest and its version. */
int cmd_show (const struct options *opt);

/**
 * cmd_key() - Make a key and print the entry for it in the manifest.
 * @id: id of the new key
 * @team: team that the key is for; NULL for an operator's key
 */
int cmd_key (const struct options *opt, const char *id, const char *team);

/** cmd_peerkeys() - Make and print a key pair for links between instances. */
int cmd_peerkeys (void);

#endif
