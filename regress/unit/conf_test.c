/* Tests of parsing and checking the configuration. */
#include "conf.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

static const char valid_manifest[]
    = "{\"teams\":[{\"name\":\"red\",\"weight\":2,\"limit\":{\"cores\":10}}],"
      "\"keys\":[{\"id\":\"k\",\"team\":\"red\",\"salt\":\"s\",\"hash\":"
      "\"0000000000000000000000000000000000000000000000000000000000000000\"}],"
      "\"queues\":[{\"name\":\"q\",\"class\":\"normal\",\"max_waiting\":5}]}";

/* Return: the result of conf_parse() for @text. */
static int
parse_conf (const char *text, struct codec_err *ce)
{
  struct conf c;
  int err = conf_parse (text, strlen (text), &c, ce);

  if (!err)
    conf_free (&c);
  return err;
}

/* Checks that @text is refused with error @err and, unless @path is NULL, that
   the error names the field @path. */
static void
check_error (const char *text, int err, const char *path)
{
  struct codec_err ce;

  CU_ASSERT_EQUAL (parse_conf (text, &ce), err);
  if (path)
    CU_ASSERT_STRING_EQUAL (ce.path, path);
}

static void
test_valid_manifest (void)
{
  struct codec_err ce;

  CU_ASSERT_EQUAL (parse_conf (valid_manifest, &ce), 0);
}

static void
test_error_path (void)
{
  check_error ("{\"teams\":[{\"name\":\"a\",\"weight\":1},{\"name\":7}]}",
               CLB_EFIELD, "teams[1].name");
  check_error (
      "{\"teams\":[{\"name\":\"a\",\"weight\":1,\"limit\":{\"cores\":-1}}]"
      "}",
      CLB_ERANGE, "teams[0].limit.cores");
  check_error ("{\"teems\":[]}", CLB_EFIELD, "teems");
  check_error ("{\"teams\":[{\"name\":\"a\"}]}", CLB_EFIELD,
               "teams[0].weight");
  check_error ("{\"teams\":3}", CLB_EFIELD, "teams");
  check_error ("{\"teams\":[{\"name\":\"a/b\",\"weight\":1}]}", CLB_ERANGE,
               "teams[0].name");
}

static void
test_refused_references (void)
{
  check_error ("{\"teams\":[{\"name\":\"a\",\"weight\":1},{\"name\":\"a\","
               "\"weight\":1}]}",
               CLB_EDUP, "teams[1].name");
  check_error ("{\"queues\":[{\"name\":\"q\",\"open\":true,\"team\":\"x\","
               "\"class\":\"normal\",\"max_waiting\":1}]}",
               CLB_EREF, "queues[0].team");
  check_error ("{\"queues\":[{\"name\":\"q\",\"lane\":\"service\","
               "\"class\":\"normal\",\"max_waiting\":1}]}",
               CLB_EFIELD, "queues[0].max_wait_ms");
}

static void
test_unparsable_text (void)
{
  check_error ("", CLB_EPARSE, NULL);
  check_error ("{", CLB_EPARSE, NULL);
  check_error ("[]", CLB_EFIELD, NULL);
  check_error ("{\"teams\":[],\"teams\":[]}", CLB_EPARSE, NULL);
}

static void
test_key_check (void)
{
  struct conf_key row = { .id = "k", .salt = "s", .kind = KEY_OPERATOR };
  struct conf c = { .keys = &row, .n_keys = 1 };
  const struct conf_key *k;

  conf_key_hash ("s", "secret", row.hash);
  CU_ASSERT_EQUAL (conf_key_check (&c, "k.secret", &k), 0);
  CU_ASSERT_PTR_EQUAL (k, &row);
  CU_ASSERT_EQUAL (conf_key_check (&c, "k.secreT", &k), CLB_EKEY);
  CU_ASSERT_EQUAL (conf_key_check (&c, "k", &k), CLB_EKEY);
  CU_ASSERT_EQUAL (conf_key_check (&c, "kk.secret", &k), CLB_EKEY);
  CU_ASSERT_EQUAL (conf_key_check (&c, NULL, &k), CLB_EKEY);
}

UNIT_MAIN ("conf", { "a valid manifest is accepted", test_valid_manifest },
           { "an error names the field", test_error_path },
           { "duplicates and unknown or missing references are refused",
             test_refused_references },
           { "text that is no manifest is refused", test_unparsable_text },
           { "only the exact key is accepted", test_key_check })
