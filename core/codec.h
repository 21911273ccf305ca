/**
 * DOC: Conversion of structs to and from JSON and msgpack.
 *
 * A table of fields describes a struct.  The codec uses the table to read the
 * struct from JSON (with errors that name the field), to write it as JSON, and
 * to encode and decode it as msgpack for messages between instances.
 */
#ifndef CODEC_H
#define CODEC_H

#include <jansson.h>

#include "clb.h"

/** enum fld_kind - C type of a field and how it is encoded */
enum fld_kind
{
  FLD_I64, /* int64_t from fld::min to fld::max */
  /* double from fld::min to fld::max; the JSON value may be an integer. */
  FLD_F64,
  /* uint64_t bit mask, encoded as an array of the numbers of its set bits, 0
     to 63. */
  FLD_BITS,
  FLD_BOOL, /* bool */
  FLD_STR,  /* char array of fld::size bytes */
  FLD_TEXT, /* char *, owned by the struct */
  FLD_ENUM, /* int, encoded as one of fld::names */
  FLD_OBJ,  /* struct described by fld::sub */
  /* Owned array of structs described by fld::sub; the length of the array is a
     size_t member at fld::len_off. */
  FLD_VEC,
};

struct desc;

/** struct fld - description of one field of a struct */
struct fld
{
  const char *name; /* the field's name in JSON and msgpack */
  enum fld_kind kind;
  size_t off;     /* offset of the member in the struct, in bytes */
  size_t size;    /* for FLD_STR: size of the array in bytes */
  size_t len_off; /* for FLD_VEC: offset of the member with the length */
  int64_t min;    /* for FLD_I64 and FLD_F64: smallest value */
  /* For FLD_I64 and FLD_F64 the largest value, for FLD_TEXT the largest number
     of bytes, for FLD_VEC the largest length. */
  int64_t max;
  bool required; /* true if reading fails when the field is absent */
  /* For FLD_OBJ and FLD_VEC: description of the struct or array element. */
  const struct desc *sub;
  /* For FLD_ENUM: names by enumerator value; the array ends with NULL. */
  const char *const *names;
};

/** struct desc - description of a struct */
struct desc
{
  const char *name; /* name of the struct in error messages */
  size_t size;      /* sizeof the struct */
  const struct fld *fields;
  size_t n_fields;
};

/* Offset of member f of type s.  The macro fails to compile unless f is as
   wide as int64_t. */
#define FLD_OFF64(s, f)                                                       \
  (offsetof (s, f)                                                            \
   + 0 * sizeof (char[sizeof (((s *)0)->f) == sizeof (int64_t) ? 1 : -1]))
/* Initializer of struct fld for the int64_t member f of type s, with the
   member's name as the field's name. */
#define FLD_INT(s, f, lo, hi)                                                 \
  {                                                                           \
    .name = #f, .kind = FLD_I64, .off = FLD_OFF64 (s, f), .min = (lo),        \
    .max = (hi)                                                               \
  }
/* Initializers of struct fld for member f of type s, with wire as the field's
   name. */
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
    .name = (wire), .kind = FLD_BITS, .off = FLD_OFF64 (s, f)                 \
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
    .len_off = offsetof (s, n), .sub = (d), .max = (limit)                    \
  }
/* Initializers of struct fld for member f of type s, with the member's name as
   the field's name. */
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
    .len_off = offsetof (s, n), .sub = (d), .max = (limit)                    \
  }
/* Defines var as the description of type, with the fields in table. */
#define DESC(var, type, table)                                                \
  const struct desc var = { #type, sizeof (type), table, CLB_COUNT (table) }

/** struct codec_err - why reading a struct failed */
struct codec_err
{
  int err; /* enum clb_err */
  /* The wrong field, such as "teams[2].weight"; for CLB_EPARSE the place of
     the error in the text. */
  char path[128];
};

/** enum codec_mode - how a read handles unknown fields */
enum codec_mode
{
  CODEC_STRICT,  /* unknown fields are errors; for callers and operators */
  CODEC_LENIENT, /* unknown fields are ignored; for peers of a newer version */
};

/**
 * codec_read() - Fill a struct from a JSON object.
 * @d: the struct's description
 * @json: the object, borrowed
 * @mode: how unknown fields are handled
 * @out: the struct; absent fields are set to zero; the caller frees what it
 *       owns with codec_free()
 * @ce: set to the error and the wrong field on failure
 *
 * Return: 0, %CLB_EFIELD, %CLB_ERANGE or %CLB_ENOMEM.  After a failure @out
 * owns nothing.
 */
int codec_read (const struct desc *d, const json_t *json, enum codec_mode mode,
                void *out, struct codec_err *ce);

/**
 * codec_parse() - Fill a struct from JSON text, as codec_read().
 *
 * Return: as codec_read(), or %CLB_EPARSE with line and column in @ce.
 */
int codec_parse (const struct desc *d, const char *text, size_t len,
                 enum codec_mode mode, void *out, struct codec_err *ce);

/**
 * codec_write() - Convert a struct to a JSON object.
 *
 * Leaves out the fields that are zero or empty, except enumerations and nested
 * structs.
 *
 * Return: a new object, owned by the caller.
 */
json_t *codec_write (const struct desc *d, const void *in);

/**
 * codec_text() - Convert a struct to compact JSON text, as codec_write().
 *
 * Return: the text, which the caller frees.
 */
char *codec_text (const struct desc *d, const void *in);

/** codec_free() - Free what the struct @s owns, and set @s to zero. */
void codec_free (const struct desc *d, void *s);

/**
 * codec_pack() - Encode a struct as msgpack.
 * @buf: set to the encoded bytes, which the caller frees
 * @len: set to their number
 *
 * Return: 0 or %CLB_ENOMEM.
 */
int codec_pack (const struct desc *d, const void *in, char **buf, size_t *len);

/**
 * codec_unpack() - Decode a struct from msgpack.
 * @buf: the encoded bytes
 * @len: their number
 * @out: as in codec_read()
 * @ce: as in codec_read()
 *
 * Unknown fields are ignored.
 *
 * Return: as codec_read(), or %CLB_EPARSE if the bytes are damaged.
 */
int codec_unpack (const struct desc *d, const char *buf, size_t len, void *out,
                  struct codec_err *ce);

#endif
