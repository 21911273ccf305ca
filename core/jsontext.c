/* Parses JSON texts in spite of values that cannot be represented; see
   jsontext.h. */
#include "jsontext.h"

#include <errno.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* struct scan - a copy of a text in progress */
struct scan
{
  const char *p; /* next byte of the text */
  const char *end;
  FILE *out; /* receives the copy */
  int flags; /* enum jsontext_flag */
  size_t n_replaced;
};

/* Replaces a character of a string. */
static void
replace_char (struct scan *s)
{
  fputs ("\\u0001", s->out);
  s->n_replaced++;
}

/* Returns the value of the four hexadecimal digits at @p, -1 if they are
   not. */
static int
hex4 (const char *p, const char *end)
{
  int value = 0;

  for (int i = 0; i < 4; i++, p++)
    {
      if (p >= end)
        return -1;
      if (*p >= '0' && *p <= '9')
        value = 16 * value + *p - '0';
      else if ((*p | 0x20) >= 'a' && (*p | 0x20) <= 'f')
        value = 16 * value + (*p | 0x20) - 'a' + 10;
      else
        return -1;
    }
  return value;
}

/* Returns the length of the UTF-8 sequence at @p that stands for one
   character; 0 if there is none. */
static size_t
utf8_len (const unsigned char *p, const unsigned char *end)
{
  size_t len = *p < 0x80                 ? 1
               : *p >= 0xc2 && *p < 0xe0 ? 2
               : *p >= 0xe0 && *p < 0xf0 ? 3
               : *p >= 0xf0 && *p < 0xf5 ? 4
                                         : 0;

  if (len == 0 || (size_t)(end - p) < len)
    return 0;
  for (size_t i = 1; i < len; i++)
    if ((p[i] & 0xc0) != 0x80)
      return 0;
  if ((*p == 0xe0 && p[1] < 0xa0) || (*p == 0xed && p[1] >= 0xa0)
      || (*p == 0xf0 && p[1] < 0x90) || (*p == 0xf4 && p[1] >= 0x90))
    return 0;
  return len;
}

/* Returns the length of the escape sequence at @p.  @ok: set to whether it
   stands for one character; for NUL, to @nul_ok. */
static size_t
escape_len (const char *p, const char *end, bool nul_ok, bool *ok)
{
  int first, second;
  size_t len = 6;

  *ok = true;
  if (end - p < 2)
    return 1;
  if (p[1] != 'u')
    return 2;
  first = hex4 (p + 2, end);
  if (first >= 0xd800 && first < 0xdc00 && end - p >= 12 && p[6] == '\\'
      && p[7] == 'u')
    {
      second = hex4 (p + 8, end);
      if (second >= 0xdc00 && second < 0xe000)
        len = 12;
    }
  if (first == 0)
    *ok = nul_ok;
  else if (first >= 0xd800 && first < 0xe000)
    *ok = len == 12;
  return len < (size_t)(end - p) ? len : (size_t)(end - p);
}

/* Returns the length of the character of a string at @p, which may be an
   escape sequence.  @ok: set to whether it can be represented. */
static size_t
char_len (const char *p, const char *end, bool nul_ok, bool *ok)
{
  size_t len;

  if (*p == '\\')
    return escape_len (p, end, nul_ok, ok);
  len = utf8_len ((const unsigned char *)p, (const unsigned char *)end);
  *ok = len > 0 && (unsigned char)*p >= 0x20;
  return len ? len : 1;
}

/* Returns the end of the string that begins with the quote at @p. */
static const char *
string_end (const char *p, const char *end)
{
  for (p++; p < end && *p != '"'; p++)
    if (*p == '\\' && end - p > 1)
      p++;
  return p < end ? p + 1 : end;
}

/* Returns whether the text at @p, after a string, makes that the name of a
   member of an object. */
static bool
follows_name (const char *p, const char *end)
{
  while (p < end && *p && strchr (" \t\r\n", *p))
    p++;
  return p < end && *p == ':';
}

/* Returns whether all characters of the string at @p can be represented. */
static bool
string_ok (const char *p, const char *end, bool nul_ok)
{
  bool ok = true;

  for (p++; ok && p < end && *p != '"';)
    p += char_len (p, end, nul_ok, &ok);
  return ok;
}

/* Copies the string at s->p, which begins with a quote.  Names of members
   cannot contain NULs, nor be null. */
static void
copy_string (struct scan *s)
{
  const char *end = string_end (s->p, s->end);
  bool is_name = follows_name (end, s->end);
  bool nul_ok = s->flags & JSONTEXT_ALLOW_NUL && !is_name;

  if (s->flags & JSONTEXT_WHOLE_STRINGS && !is_name
      && !string_ok (s->p, end, nul_ok))
    {
      fputs ("null", s->out);
      s->n_replaced++;
      s->p = end;
      return;
    }
  fputc (*s->p++, s->out);
  while (s->p < end)
    {
      bool ok;
      size_t len = char_len (s->p, end, nul_ok, &ok);
      if (ok)
        fwrite (s->p, 1, len, s->out);
      else
        replace_char (s);
      s->p += len;
    }
}

/* Returns whether the number in @text can be represented. */
static bool
number_ok (const char *text)
{
  errno = 0;
  if (strpbrk (text, ".eE"))
    return isfinite (strtod (text, NULL));
  strtoll (text, NULL, 10);
  return errno != ERANGE;
}

/* Copies the number at s->p. */
static void
copy_number (struct scan *s)
{
  const char *begin = s->p;
  char *text;

  while (s->p < s->end && *s->p && strchr ("0123456789+-.eE", *s->p))
    s->p++;
  text = strndup (begin, (size_t)(s->p - begin));
  if (!text)
    abort ();
  if (number_ok (text))
    fputs (text, s->out);
  else
    {
      fputs ("null", s->out);
      s->n_replaced++;
    }
  free (text);
}

/* Skips the array or object at s->p. */
static void
skip_nested (struct scan *s)
{
  size_t depth = 0;

  do
    {
      if (*s->p == '[' || *s->p == '{')
        depth++;
      else if (*s->p == ']' || *s->p == '}')
        depth--;
      s->p = *s->p == '"' ? string_end (s->p, s->end) : s->p + 1;
    }
  while (depth > 0 && s->p < s->end);
}

/* Copies the text, and replaces what cannot be represented. */
static void
copy_text (struct scan *s)
{
  size_t depth = 0;

  while (s->p < s->end)
    if (*s->p == '"')
      copy_string (s);
    else if (*s->p == '-' || (*s->p >= '0' && *s->p <= '9'))
      copy_number (s);
    else if ((*s->p == '[' || *s->p == '{') && depth == JSONTEXT_DEPTH_MAX)
      {
        skip_nested (s);
        fputs ("null", s->out);
        s->n_replaced++;
      }
    else
      {
        depth += *s->p == '[' || *s->p == '{';
        depth -= depth > 0 && (*s->p == ']' || *s->p == '}');
        fputc (*s->p++, s->out);
      }
}

json_t *
jsontext_load (const char *text, size_t len, int flags, size_t *n_replaced)
{
  struct scan s = { .p = text, .end = text + len, .flags = flags };
  size_t load_flags = flags & JSONTEXT_ALLOW_NUL ? JSON_ALLOW_NUL : 0;
  json_t *json = json_loadb (text, len, load_flags, NULL);
  char *copy = NULL;
  size_t copy_len = 0;

  *n_replaced = 0;
  if (json)
    return json;
  s.out = open_memstream (&copy, &copy_len);
  if (!s.out)
    abort ();
  copy_text (&s);
  fclose (s.out);
  if (s.n_replaced)
    json = json_loadb (copy, copy_len, load_flags, NULL);
  free (copy);
  *n_replaced = json ? s.n_replaced : 0;
  return json;
}
