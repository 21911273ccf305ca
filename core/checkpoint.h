/**
 * DOC: Checkpoints of tasks.  An executor reports a checkpoint as an opaque
 * string, which is handed back unchanged with a later start of the task.  The
 * string is held once and shared by all that refer to it.
 */
#ifndef CHECKPOINT_H
#define CHECKPOINT_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  /* Longest checkpoint that is held, in bytes; see docs/design/checkpoints.md.
   */
  CHECKPOINT_BYTES_MAX = 65536,
  /* Longest checkpoint that is held however many there are, in bytes. */
  CHECKPOINT_SMALL_BYTES_MAX = 4096,
  /* Bytes that all longer ones may take together. */
  CHECKPOINT_LARGE_TOTAL_BYTES = 16 << 20,
  /* Size in bytes of a fingerprint, with the NUL. */
  CHECKPOINT_PRINT_SIZE = 32,
};

/** struct checkpoint_view - a checkpoint as an executor reports it */
struct checkpoint_view
{
  const char *bytes; /* UTF-8, possibly with NULs; borrowed */
  size_t len;        /* 0: there is none */
  /* There is one, but it cannot be represented; len is 0. */
  bool unusable;
};

/** struct checkpoint - an immutable checkpoint that its holders share */
struct checkpoint
{
  size_t n_refs;
  size_t len;
  char bytes[];
};

/** checkpoint_new() - Copy @v, which is usable; the caller has a reference. */
struct checkpoint *checkpoint_new (const struct checkpoint_view *v);
/** checkpoint_ref() - Add a reference to @c, which may be NULL; return it. */
struct checkpoint *checkpoint_ref (struct checkpoint *c);
/** checkpoint_unref() - Drop a reference to @c, which may be NULL. */
void checkpoint_unref (struct checkpoint *c);
/** checkpoint_equals() - Return whether @c, which may be NULL, equals @v. */
bool checkpoint_equals (const struct checkpoint *c,
                        const struct checkpoint_view *v);
/**
 * checkpoint_print() - Write a fingerprint of a checkpoint for the log.
 * @c: the checkpoint; NULL: none
 * @out: set to "LEN:CRC", with the CRC-32 in hexadecimal; "0" for none
 *
 * A log line stays bounded, and what was reported can be compared with what
 * was sent.
 */
void checkpoint_print (const struct checkpoint *c,
                       char out[CHECKPOINT_PRINT_SIZE]);

#endif
