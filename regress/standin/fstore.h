/**
 * DOC: Stand-in for the platform's table and object store, without sockets.
 * The platform process and the scenarios use the same one.
 */
#ifndef FSTORE_H
#define FSTORE_H

#include "msg.h"

struct fstore;

struct fstore *fstore_new (void);
void fstore_free (struct fstore *fs);
/** fstore_apply() - Do one operation; @rep is freed by the caller. */
void fstore_apply (struct fstore *fs, const struct store_op *op,
                   struct store_rep *rep);
/** fstore_instances() - The list that STORE_INSTANCES gives; copied. */
void fstore_instances (struct fstore *fs, const char *json);
/** fstore_value() - A row's value, owned by the store, or NULL. */
const char *fstore_value (const struct fstore *fs, const char *key);
uint64_t fstore_writes (const struct fstore *fs);
uint64_t fstore_reads (const struct fstore *fs);

#endif
