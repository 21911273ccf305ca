/* Checkpoints of tasks; see checkpoint.h. */
#include "checkpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

struct checkpoint *
checkpoint_new (const struct checkpoint_view *v)
{
  struct checkpoint *c = malloc (sizeof *c + v->len);

  if (!c)
    abort ();
  c->n_refs = 1;
  c->len = v->len;
  memcpy (c->bytes, v->bytes, v->len);
  return c;
}

struct checkpoint *
checkpoint_ref (struct checkpoint *c)
{
  if (c)
    c->n_refs++;
  return c;
}

void
checkpoint_unref (struct checkpoint *c)
{
  if (c && --c->n_refs == 0)
    free (c);
}

bool
checkpoint_equals (const struct checkpoint *c, const struct checkpoint_view *v)
{
  return c && c->len == v->len && memcmp (c->bytes, v->bytes, v->len) == 0;
}

void
checkpoint_print (const struct checkpoint *c, char out[CHECKPOINT_PRINT_SIZE])
{
  if (!c)
    snprintf (out, CHECKPOINT_PRINT_SIZE, "0");
  else
    snprintf (out, CHECKPOINT_PRINT_SIZE, "%zu:%08lx", c->len,
              crc32_z (0, (const unsigned char *)c->bytes, c->len));
}
