/**
 * DOC: Parses JSON texts that hold items of several writers, such as a page of
 * a table.  A parser of whole texts refuses all of a text because of one value
 * in it; here such a value is read as null, so that it costs only the item
 * that contains it.
 */
#ifndef JSONTEXT_H
#define JSONTEXT_H

#include <jansson.h>
#include <stddef.h>

enum
{
  /* Deepest nesting of arrays and objects that is read; no document of the
     project or of the platform has more than 8 levels. */
  JSONTEXT_DEPTH_MAX = 32,
};

/** enum jsontext_flag - how strings are read; flags may be combined */
enum jsontext_flag
{
  /* Strings may contain NULs: json_string_length() counts them.  Otherwise NUL
     cannot be represented. */
  JSONTEXT_ALLOW_NUL = 1,
  /* A string with a character that cannot be represented is read as null: what
     is left of it would be taken for the string of the writer. */
  JSONTEXT_WHOLE_STRINGS = 2,
};

/**
 * jsontext_load() - Parse a JSON text, and read values that cannot be
 * represented as null.
 * @text: the text, of @len bytes
 * @flags: enum jsontext_flag; 0: none
 * @n_replaced: set to the number of values that were replaced by null, or of
 *              characters of strings that were replaced by U+0001
 *
 * Numbers outside the range of their type and arrays and objects nested below
 * JSONTEXT_DEPTH_MAX are replaced by null; NUL, unpaired surrogates, control
 * characters and bytes that are not UTF-8 by U+0001, so that the string
 * differs from every valid name.  Names of members contain U+0001 in their
 * place with any flags.
 *
 * Return: the value, which the caller owns; NULL if @text is not JSON.
 */
json_t *jsontext_load (const char *text, size_t len, int flags,
                       size_t *n_replaced);

#endif
