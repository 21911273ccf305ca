/* Conversion of structs to and from JSON and msgpack by tables of fields. */
#include "codec.h"

#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NESTING_MAX = 8, /* deepest nesting of arrays and maps in msgpack */
};

/* Sets @ce to error @err at field @name of the object at @path, and returns
   @err. */
static int
set_error (struct codec_err *ce, int err, const char *path, const char *name)
{
  ce->err = err;
  snprintf (ce->path, sizeof ce->path, "%s%s%s", path, *path ? "." : "", name);
  return err;
}

static int read_obj (const struct desc *d, const json_t *json,
                     enum codec_mode mode, void *out, struct codec_err *ce,
                     const char *path);

static int
read_enum (const struct fld *f, const json_t *v, int *out)
{
  const char *text = json_string_value (v);

  if (!text)
    return CLB_EFIELD;
  for (int i = 0; f->names[i]; i++)
    if (strcmp (f->names[i], text) == 0)
      {
        *out = i;
        return 0;
      }
  return CLB_ERANGE;
}

static int
read_i64 (const struct fld *f, const json_t *v, int64_t *out)
{
  if (!json_is_integer (v))
    return CLB_EFIELD;
  *out = json_integer_value (v);
  return *out < f->min || *out > f->max ? CLB_ERANGE : 0;
}

static int
read_f64 (const struct fld *f, const json_t *v, double *out)
{
  if (!json_is_number (v))
    return CLB_EFIELD;
  *out = json_number_value (v);
  return *out < (double)f->min || *out > (double)f->max ? CLB_ERANGE : 0;
}

static int
read_bits (const json_t *v, uint64_t *out)
{
  size_t i;
  json_t *item;

  if (!json_is_array (v))
    return CLB_EFIELD;
  json_array_foreach (v, i, item)
    {
      json_int_t n = json_integer_value (item);
      if (!json_is_integer (item))
        return CLB_EFIELD;
      if (n < 0 || n > 63)
        return CLB_ERANGE;
      *out |= UINT64_C (1) << n;
    }
  return 0;
}

static int
read_chars (const struct fld *f, const json_t *v, char *out)
{
  if (!json_is_string (v))
    return CLB_EFIELD;
  size_t len = json_string_length (v);
  if (len >= f->size || strlen (json_string_value (v)) != len)
    return CLB_ERANGE;
  memcpy (out, json_string_value (v), len + 1);
  return 0;
}

static int
read_text (const struct fld *f, const json_t *v, char **out)
{
  if (!json_is_string (v))
    return CLB_EFIELD;
  size_t len = json_string_length (v);
  /* A NUL, which msgpack can contain, would cut the text. */
  if (len > (size_t)f->max || strlen (json_string_value (v)) != len)
    return CLB_ERANGE;
  *out = strdup (json_string_value (v));
  return *out ? 0 : CLB_ENOMEM;
}

/* Reads an array of structs.  The length is raised before each item is read,
   so that codec_free() frees the items read so far if one fails. */
static int
read_vec (const struct fld *f, const json_t *v, enum codec_mode mode,
          char *base, struct codec_err *ce, const char *path)
{
  if (!json_is_array (v))
    return set_error (ce, CLB_EFIELD, path, f->name);
  size_t n = json_array_size (v);
  if (n > (size_t)f->max)
    return set_error (ce, CLB_ERANGE, path, f->name);
  char *items = calloc (n ? n : 1, f->sub->size);
  if (!items)
    return set_error (ce, CLB_ENOMEM, path, f->name);
  memcpy (base + f->off, &items, sizeof items);
  for (size_t i = 0; i < n; i++)
    {
      char item_path[sizeof ce->path];
      snprintf (item_path, sizeof item_path, "%.60s%s%s[%zu]", path,
                *path ? "." : "", f->name, i);
      size_t n_read = i + 1;
      memcpy (base + f->len_off, &n_read, sizeof n_read);
      int err = read_obj (f->sub, json_array_get (v, i), mode,
                          items + i * f->sub->size, ce, item_path);
      if (err)
        return err;
    }
  return 0;
}

static int
read_fld (const struct fld *f, const json_t *v, enum codec_mode mode,
          char *base, struct codec_err *ce, const char *path)
{
  int err = 0;
  char sub_path[sizeof ce->path];

  switch (f->kind)
    {
    case FLD_I64:
      err = read_i64 (f, v, (int64_t *)(void *)(base + f->off));
      break;
    case FLD_F64:
      err = read_f64 (f, v, (double *)(void *)(base + f->off));
      break;
    case FLD_BITS:
      err = read_bits (v, (uint64_t *)(void *)(base + f->off));
      break;
    case FLD_BOOL:
      if (!json_is_boolean (v))
        err = CLB_EFIELD;
      *(bool *)(base + f->off) = json_is_true (v);
      break;
    case FLD_STR:
      err = read_chars (f, v, base + f->off);
      break;
    case FLD_TEXT:
      err = read_text (f, v, (char **)(void *)(base + f->off));
      break;
    case FLD_ENUM:
      err = read_enum (f, v, (int *)(void *)(base + f->off));
      break;
    case FLD_OBJ:
      snprintf (sub_path, sizeof sub_path, "%.80s%s%s", path, *path ? "." : "",
                f->name);
      return read_obj (f->sub, v, mode, base + f->off, ce, sub_path);
    case FLD_VEC:
      return read_vec (f, v, mode, base, ce, path);
    }
  return err ? set_error (ce, err, path, f->name) : 0;
}

/* Returns whether the struct that @d describes has a field @name. */
static bool
has_field (const struct desc *d, const char *name)
{
  for (size_t i = 0; i < d->n_fields; i++)
    if (strcmp (d->fields[i].name, name) == 0)
      return true;
  return false;
}

static int
read_obj (const struct desc *d, const json_t *json, enum codec_mode mode,
          void *out, struct codec_err *ce, const char *path)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    return set_error (ce, CLB_EFIELD, path, "(object expected)");
  json_object_foreach ((json_t *)json, key, value)
    if (mode == CODEC_STRICT && !has_field (d, key))
      return set_error (ce, CLB_EFIELD, path, key);
  for (size_t i = 0; i < d->n_fields; i++)
    {
      const struct fld *f = &d->fields[i];
      const json_t *v = json_object_get (json, f->name);
      if (!v && f->required)
        return set_error (ce, CLB_EFIELD, path, f->name);
      if (!v)
        continue;
      int err = read_fld (f, v, mode, out, ce, path);
      if (err)
        return err;
    }
  return 0;
}

int
codec_read (const struct desc *d, const json_t *json, enum codec_mode mode,
            void *out, struct codec_err *ce)
{
  memset (out, 0, d->size);
  ce->err = 0;
  ce->path[0] = '\0';
  int err = read_obj (d, json, mode, out, ce, "");
  if (err)
    codec_free (d, out);
  return err;
}

int
codec_parse (const struct desc *d, const char *text, size_t len,
             enum codec_mode mode, void *out, struct codec_err *ce)
{
  json_error_t je;
  json_auto_t *json = json_loadb (text, len, JSON_REJECT_DUPLICATES, &je);

  memset (out, 0, d->size);
  if (!json)
    {
      ce->err = CLB_EPARSE;
      snprintf (ce->path, sizeof ce->path, "line %d column %d: %.80s", je.line,
                je.column, je.text);
      return CLB_EPARSE;
    }
  int err = codec_read (d, json, mode, out, ce);
  return err;
}

static json_t *
write_vec (const struct fld *f, const char *base)
{
  const char *items;
  size_t n;

  memcpy (&items, base + f->off, sizeof items);
  memcpy (&n, base + f->len_off, sizeof n);
  if (n == 0)
    return NULL;
  json_t *array = json_array ();
  for (size_t i = 0; i < n; i++)
    json_array_append_new (array,
                           codec_write (f->sub, items + i * f->sub->size));
  return array;
}

static json_t *
write_bits (uint64_t bits)
{
  json_t *array = json_array ();

  for (int i = 0; i < 64; i++)
    if (bits >> i & 1)
      json_array_append_new (array, json_integer (i));
  return array;
}

/* Returns the JSON value of a field; NULL if the field is to be left out. */
static json_t *
write_fld (const struct fld *f, const char *base)
{
  const char *p = base + f->off;
  const char *text;
  double real;
  uint64_t bits;
  int64_t n;
  int enumerator;

  switch (f->kind)
    {
    case FLD_I64:
      memcpy (&n, p, sizeof n);
      return n ? json_integer (n) : NULL;
    case FLD_F64:
      memcpy (&real, p, sizeof real);
      return real != 0 ? json_real (real) : NULL;
    case FLD_BITS:
      memcpy (&bits, p, sizeof bits);
      return bits ? write_bits (bits) : NULL;
    case FLD_BOOL:
      return *(const bool *)p ? json_true () : NULL;
    case FLD_STR:
      return *p ? json_string (p) : NULL;
    case FLD_TEXT:
      memcpy (&text, p, sizeof text);
      return text ? json_string (text) : NULL;
    case FLD_ENUM:
      memcpy (&enumerator, p, sizeof enumerator);
      return json_string (f->names[enumerator]);
    case FLD_OBJ:
      return codec_write (f->sub, p);
    case FLD_VEC:
      return write_vec (f, base);
    }
  return NULL;
}

json_t *
codec_write (const struct desc *d, const void *in)
{
  json_t *obj = json_object ();

  for (size_t i = 0; i < d->n_fields; i++)
    {
      json_t *v = write_fld (&d->fields[i], in);
      if (v)
        json_object_set_new_nocheck (obj, d->fields[i].name, v);
    }
  return obj;
}

char *
codec_text (const struct desc *d, const void *in)
{
  json_auto_t *json = codec_write (d, in);
  char *text = json_dumps (json, JSON_COMPACT);

  return text;
}

void
codec_free (const struct desc *d, void *s)
{
  char *base = s;

  for (size_t i = 0; i < d->n_fields; i++)
    {
      const struct fld *f = &d->fields[i];
      char *owned;
      size_t n;
      if (f->kind == FLD_OBJ)
        codec_free (f->sub, base + f->off);
      if (f->kind != FLD_TEXT && f->kind != FLD_VEC)
        continue;
      memcpy (&owned, base + f->off, sizeof owned);
      if (f->kind == FLD_VEC)
        {
          memcpy (&n, base + f->len_off, sizeof n);
          for (size_t j = 0; j < n; j++)
            codec_free (f->sub, owned + j * f->sub->size);
        }
      free (owned);
    }
  memset (s, 0, d->size);
}

static void
pack_json (msgpack_packer *pk, const json_t *v)
{
  const char *key;
  json_t *item;
  size_t i;

  switch (json_typeof (v))
    {
    case JSON_OBJECT:
      msgpack_pack_map (pk, json_object_size (v));
      json_object_foreach ((json_t *)v, key, item)
        {
          msgpack_pack_str (pk, strlen (key));
          msgpack_pack_str_body (pk, key, strlen (key));
          pack_json (pk, item);
        }
      break;
    case JSON_ARRAY:
      msgpack_pack_array (pk, json_array_size (v));
      json_array_foreach (v, i, item)
        pack_json (pk, item);
      break;
    case JSON_STRING:
      msgpack_pack_str (pk, json_string_length (v));
      msgpack_pack_str_body (pk, json_string_value (v),
                             json_string_length (v));
      break;
    case JSON_INTEGER:
      msgpack_pack_int64 (pk, json_integer_value (v));
      break;
    case JSON_TRUE:
      msgpack_pack_true (pk);
      break;
    case JSON_REAL:
      msgpack_pack_double (pk, json_real_value (v));
      break;
    case JSON_FALSE:
    case JSON_NULL:
      msgpack_pack_false (pk);
      break;
    }
}

/* Converts a msgpack object to JSON.  Returns NULL if it is not valid or
   nested too deeply. */
static json_t *
unpack_json (const msgpack_object *o, int depth)
{
  json_t *v = NULL;

  if (depth > NESTING_MAX)
    return NULL;
  switch (o->type)
    {
    case MSGPACK_OBJECT_BOOLEAN:
      return json_boolean (o->via.boolean);
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
      if (o->via.u64 > INT64_MAX)
        return NULL;
      return json_integer ((json_int_t)o->via.u64);
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
      return json_integer (o->via.i64);
    case MSGPACK_OBJECT_FLOAT64:
      return json_real (o->via.f64);
    case MSGPACK_OBJECT_STR:
      return json_stringn (o->via.str.ptr, o->via.str.size);
    case MSGPACK_OBJECT_ARRAY:
      v = json_array ();
      for (uint32_t i = 0; i < o->via.array.size; i++)
        if (json_array_append_new (
                v, unpack_json (&o->via.array.ptr[i], depth + 1)))
          goto damaged;
      return v;
    case MSGPACK_OBJECT_MAP:
      v = json_object ();
      for (uint32_t i = 0; i < o->via.map.size; i++)
        {
          const msgpack_object_kv *kv = &o->via.map.ptr[i];
          char key[CLB_NAME_MAX];
          if (kv->key.type != MSGPACK_OBJECT_STR || kv->key.via.str.size == 0
              || kv->key.via.str.size >= sizeof key)
            goto damaged;
          memcpy (key, kv->key.via.str.ptr, kv->key.via.str.size);
          key[kv->key.via.str.size] = '\0';
          if (json_object_set_new (v, key, unpack_json (&kv->val, depth + 1)))
            goto damaged;
        }
      return v;
    default:
      return NULL;
    }
damaged:
  json_decref (v);
  return NULL;
}

int
codec_pack (const struct desc *d, const void *in, char **buf, size_t *len)
{
  msgpack_sbuffer sb;
  msgpack_packer pk;
  json_auto_t *json = codec_write (d, in);

  msgpack_sbuffer_init (&sb);
  msgpack_packer_init (&pk, &sb, msgpack_sbuffer_write);
  pack_json (&pk, json);
  *len = sb.size;
  *buf = msgpack_sbuffer_release (&sb);
  return *buf ? 0 : CLB_ENOMEM;
}

/* Reads a big-endian number of @n bytes at @p. */
static uint64_t
read_big_endian (const unsigned char *p, size_t n)
{
  uint64_t v = 0;

  for (size_t i = 0; i < n; i++)
    v = v << 8 | p[i];
  return v;
}

/* struct msgpack_token - one msgpack token: a header and the payload after it
 * (the items of an array or map are tokens of their own) */
struct msgpack_token
{
  /* Size of the header in bytes: the type byte, and the length field if the
     type has one. */
  size_t header_bytes;
  /* Size in bytes of the string or number after the header; 0 if none. */
  uint64_t payload_bytes;
  /* Of an array or map: number of objects that follow, two for each pair of a
     map.  Of other types 0. */
  uint64_t n_objects;
};

/* Reads the token at @p.  Returns false if it is not valid or announces more
   than the @left bytes at @p can hold. */
static bool
read_token (const unsigned char *p, size_t left, struct msgpack_token *t)
{
  /* Sizes in bytes of the number types 0xca to 0xd3. */
  static const unsigned char number_bytes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
  unsigned char type = *p;

  *t = (struct msgpack_token){ .header_bytes = 1 };
  if (type >= 0xca && type <= 0xd3)
    t->payload_bytes = number_bytes[type - 0xca];
  else if ((type & 0xf0) == 0x80)
    t->n_objects = 2u * (type & 0x0f);
  else if ((type & 0xf0) == 0x90)
    t->n_objects = type & 0x0f;
  else if ((type & 0xe0) == 0xa0)
    t->payload_bytes = type & 0x1f;
  else if (type >= 0xd9 && type <= 0xdf)
    {
      size_t n = type <= 0xdb ? (size_t)1 << (type - 0xd9)
                              : (size_t)2 << ((type - 0xdc) & 1);
      if (left <= n)
        return false;
      t->header_bytes += n;
      uint64_t count = read_big_endian (p + 1, n);
      t->payload_bytes = type <= 0xdb ? count : 0;
      t->n_objects = type <= 0xdb ? 0 : type <= 0xdd ? count : 2 * count;
    }
  else if (type >= 0xc1 && type <= 0xd8 && type != 0xc2 && type != 0xc3)
    return false; /* msgpack types that no message contains */
  return t->header_bytes + t->payload_bytes <= left && t->n_objects <= left;
}

/* Returns whether the @len bytes at @buf hold one complete object.  The
   msgpack library allocates as many items as a token announces before it
   checks that they are there, so damaged bytes could make it allocate without
   limit. */
static bool
is_complete (const char *buf, size_t len)
{
  const unsigned char *p = (const unsigned char *)buf;
  uint64_t expected = 1; /* number of objects that must still follow */
  struct msgpack_token t;

  while (expected > 0)
    {
      if (len == 0 || !read_token (p, len, &t))
        return false;
      p += t.header_bytes + t.payload_bytes;
      len -= t.header_bytes + t.payload_bytes;
      expected += t.n_objects - 1;
      if (expected > len)
        return false;
    }
  return true;
}

int
codec_unpack (const struct desc *d, const char *buf, size_t len, void *out,
              struct codec_err *ce)
{
  msgpack_unpacked up;
  json_auto_t *json = NULL;

  memset (out, 0, d->size);
  msgpack_unpacked_init (&up);
  if (is_complete (buf, len)
      && msgpack_unpack_next (&up, buf, len, NULL) == MSGPACK_UNPACK_SUCCESS)
    json = unpack_json (&up.data, 0);
  msgpack_unpacked_destroy (&up);
  if (!json)
    return set_error (ce, CLB_EPARSE, "", d->name);
  int err = codec_read (d, json, CODEC_LENIENT, out, ce);
  return err;
}
