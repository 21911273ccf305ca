/**
 * DOC: Struct codec.  A table of fields describes a struct once; the same
 * table reads it from JSON (with typed errors that name the field), writes it
 * to JSON, and carries it as msgpack between instances.
 */
#ifndef CODEC_H
#define CODEC_H

#include <jansson.h>

#include "clb.h"

enum fld_kind
{
  FLD_I64,  /* int64_t within min..max */
  FLD_F64,  /* double within min..max; whole numbers are taken too */
  FLD_SET,  /* uint64_t of bits, written as an array of numbers 0 to 63 */
  FLD_BOOL, /* bool */
  FLD_STR,  /* char array of size bytes */
  FLD_TEXT, /* char *, owned by the struct */
  FLD_ENUM, /* int, one of names */
  FLD_OBJ,  /* struct described by sub */
  FLD_VEC,  /* owned array of structs described by sub, counted at off2 */
};

struct desc;

/** struct fld - one field; text and vectors are freed by codec_free() */
struct fld
{
  const char *name;
  enum fld_kind kind;
  size_t off;
  size_t size; /* of the char array */
  size_t off2; /* of the size_t count of a vector */
  int64_t min;
  int64_t max; /* of the value, the text's bytes, or the vector's count */
  bool required;
  const struct desc *sub;
  const char *const *names;
};

struct desc
{
  const char *name;
  size_t size;
  const struct fld *fields;
  size_t n_fields;
};

/* Fails to compile unless the member is as wide as an int64_t. */
#define FLD_OFF64(s, f)                                                       \
  (offsetof (s, f)                                                            \
   + 0 * sizeof (char[sizeof (((s *)0)->f) == sizeof (int64_t) ? 1 : -1]))
#define FLD_INT(s, f, lo, hi)                                                 \
  {                                                                           \
    .name = #f, .kind = FLD_I64, .off = FLD_OFF64 (s, f), .min = (lo),        \
    .max = (hi)                                                               \
  }
/* The same kinds, where the name on the wire is not the member's. */
#define FLD_INT_AS(wire, s, f, lo, hi)                                        \
  {                                                                           \
    .name = (wire), .kind = FLD_I64, .off = FLD_OFF64 (s, f), .min = (lo),    \
    .max = (hi)                                                               \
  }
#define FLD_REAL_AS(wire, s, f, lo, hi)                                       \
  {                                                                           \
    .name = (wire), .kind = FLD_F64, .off = offsetof (s, f), .min = (lo),     \
    .max = (hi)                                                               \
  }
#define FLD_SET_AS(wire, s, f)                                                \
  {                                                                           \
    .name = (wire), .kind = FLD_SET, .off = FLD_OFF64 (s, f)                  \
  }
#define FLD_FLAG_AS(wire, s, f)                                               \
  {                                                                           \
    .name = (wire), .kind = FLD_BOOL, .off = offsetof (s, f)                  \
  }
#define FLD_CHARS_AS(wire, s, f, req)                                         \
  {                                                                           \
    .name = (wire), .kind = FLD_STR, .off = offsetof (s, f),                  \
    .size = sizeof (((s *)0)->f), .required = (req)                           \
  }
#define FLD_STRING_AS(wire, s, f, limit)                                      \
  {                                                                           \
    .name = (wire), .kind = FLD_TEXT, .off = offsetof (s, f), .max = (limit)  \
  }
#define FLD_STRUCT_AS(wire, s, f, d)                                          \
  {                                                                           \
    .name = (wire), .kind = FLD_OBJ, .off = offsetof (s, f), .sub = (d)       \
  }
#define FLD_ARRAY_AS(wire, s, f, n, d, limit)                                 \
  {                                                                           \
    .name = (wire), .kind = FLD_VEC, .off = offsetof (s, f),                  \
    .off2 = offsetof (s, n), .sub = (d), .max = (limit)                       \
  }
#define FLD_FLAG(s, f)                                                        \
  {                                                                           \
    .name = #f, .kind = FLD_BOOL, .off = offsetof (s, f)                      \
  }
#define FLD_CHARS(s, f, req)                                                  \
  {                                                                           \
    .name = #f, .kind = FLD_STR, .off = offsetof (s, f),                      \
    .size = sizeof (((s *)0)->f), .required = (req)                           \
  }
#define FLD_STRING(s, f, limit)                                               \
  {                                                                           \
    .name = #f, .kind = FLD_TEXT, .off = offsetof (s, f), .max = (limit)      \
  }
#define FLD_NAMED(s, f, table)                                                \
  {                                                                           \
    .name = #f, .kind = FLD_ENUM, .off = offsetof (s, f), .names = (table)    \
  }
#define FLD_NAMED_REQUIRED(s, f, table)                                       \
  {                                                                           \
    .name = #f, .kind = FLD_ENUM, .off = offsetof (s, f), .names = (table),   \
    .required = true                                                          \
  }
#define FLD_STRUCT(s, f, d)                                                   \
  {                                                                           \
    .name = #f, .kind = FLD_OBJ, .off = offsetof (s, f), .sub = (d)           \
  }
#define FLD_ARRAY(s, f, n, d, limit)                                          \
  {                                                                           \
    .name = #f, .kind = FLD_VEC, .off = offsetof (s, f),                      \
    .off2 = offsetof (s, n), .sub = (d), .max = (limit)                       \
  }
#define DESC(var, type, table)                                                \
  const struct desc var = { #type, sizeof (type), table, CLB_COUNT (table) }

/** struct codec_err - which field was wrong, as "teams[2].share" */
struct codec_err
{
  int err;
  char path[128];
};

enum codec_mode
{
  CODEC_STRICT,  /* unknown fields are errors: callers and operators */
  CODEC_LENIENT, /* unknown fields are passed over: newer peers */
};

/**
 * codec_read() - Fill a struct from a JSON object.
 * @d: the struct's description
 * @json: borrowed
 * @mode: what becomes of unknown fields
 * @out: zeroed first; fields that are absent keep zero
 * @ce: names the field on failure
 *
 * Return: 0, %CLB_EFIELD, %CLB_ERANGE or %CLB_ENOMEM.  After a failure @out
 * owns nothing.
 */
int codec_read (const struct desc *d, const json_t *json, enum codec_mode mode,
                void *out, struct codec_err *ce);

/** codec_parse() - codec_read() from text; %CLB_EPARSE with line and column */
int codec_parse (const struct desc *d, const char *text, size_t len,
                 enum codec_mode mode, void *out, struct codec_err *ce);

/** codec_write() - A new JSON object; zero fields are left out. */
json_t *codec_write (const struct desc *d, const void *in);

/** codec_text() - codec_write() as compact text that the caller frees. */
char *codec_text (const struct desc *d, const void *in);

/** codec_free() - Free what the struct owns and zero it. */
void codec_free (const struct desc *d, void *s);

/** codec_pack() - As msgpack; the caller frees *@buf.  0 or %CLB_ENOMEM. */
int codec_pack (const struct desc *d, const void *in, char **buf, size_t *len);

/** codec_unpack() - From msgpack; damaged bytes give %CLB_EPARSE. */
int codec_unpack (const struct desc *d, const char *buf, size_t len, void *out,
                  struct codec_err *ce);

#endif
