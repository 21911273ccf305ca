/**
 * DOC: In-memory stand-in for the platform's table and object store.  It has
 * no network code: platformd serves it over HTTP, and the scenario runner
 * calls it directly.
 */
#ifndef FSTORE_H
#define FSTORE_H

#include "msg.h"

struct fstore;

/** fstore_new() - Create an empty store; abort when out of memory. */
struct fstore *fstore_new (void);
void fstore_free (struct fstore *fs);
/**
 * fstore_apply() - Execute one operation on the table or the object store.
 * @op: the operation; the store neither changes it nor keeps a reference to it
 * @rep: filled with the result; the caller frees its contents with
 *       codec_free (&store_rep_desc, @rep)
 */
void fstore_apply (struct fstore *fs, const struct store_op *op,
                   struct store_rep *rep);
/**
 * fstore_instances() - Set the instance list that STORE_INSTANCES returns.
 * @json: the list as JSON; the store keeps a copy
 */
void fstore_instances (struct fstore *fs, const char *json);
/**
 * fstore_value() - Look up the value of the row or object @key.
 *
 * Return: the value, owned by the store, or NULL if @key does not exist.
 */
const char *fstore_value (const struct fstore *fs, const char *key);
/**
 * fstore_writes() - Number of transactions and object writes so far, also
 * transactions that failed with a conflict.
 */
uint64_t fstore_writes (const struct fstore *fs);
/**
 * fstore_reads() - Number of operations so far that are neither transactions
 * nor object writes.
 */
uint64_t fstore_reads (const struct fstore *fs);

#endif
