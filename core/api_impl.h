/**
 * DOC: Declarations that the files of the callers' requests share.
 */
#ifndef API_IMPL_H
#define API_IMPL_H

#include "fleet.h"

/** api_finish() - Answer @c with @answer (enum fleet_answer) and free @c.
 * Takes ownership of @body, which may be NULL. */
void api_finish (struct fleet *f, struct api_request *c, int answer,
                 char *body);
/** api_send_call() - Queue a call to the table service for @c.  Return the
 * operation of the call, which the caller fills in. */
struct store_op *api_send_call (struct fleet *f, struct api_request *c,
                                int kind);
/** api_send_read() - Send a read of the row that @step (enum api_step) waits
 * for. */
void api_send_read (struct fleet *f, struct api_request *c, int step);
/** api_read_again() - Read the job's row after a pause, as a write has failed
 * on its condition and the answer does not have the row. */
void api_read_again (struct fleet *f, struct api_request *c);
/** api_write_timeout_ms() - Return the timeout of a write for a caller. */
int64_t api_write_timeout_ms (const struct fleet *f);
/** api_job_key() - Write the key of a row of job @id to @out.  @suffix: end of
 * the key; empty: the row holds the job itself, or its withdrawal */
void api_job_key (const char *id, const char *suffix, char out[CLB_NAME_MAX]);
/** api_job_row() - Return the row of the job of @c in @rep; NULL: the answer
 * lacks it. */
const struct row *api_job_row (const struct api_request *c,
                               const struct store_rep *rep);

/* Functions of api_cancel.c. */

/** api_cancel_read() - Handle that the row of the job to be cancelled was
 * read.  @row: NULL: it does not exist; @table_ms: time of the read on the
 * clock of the table service; 0: not known */
void api_cancel_read (struct fleet *f, struct api_request *c,
                      const struct row *row, int64_t table_ms);
/** api_cancel_written() - Handle that a write for a cancellation has taken
 * effect, or has failed on its condition. */
void api_cancel_written (struct fleet *f, struct api_request *c,
                         const struct store_rep *rep);
/** api_cancel_retry() - Find out whether the write for a cancellation has
 * taken effect, or send it again. */
void api_cancel_retry (struct fleet *f, struct api_request *c);

#endif
