/* Tests of reading the settings, with the bounds at both ends of their
   ranges. */
#include "platform.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Reads settings with the section "bounds" @bounds, and with @store at the end
   of the section "platform".  Return: 0 or an error. */
static int
read_settings_with (const char *bounds, const char *store,
                    struct pf_settings *out, struct codec_err *ce)
{
  char path[] = "/tmp/settings-test-XXXXXX";
  int fd = mkstemp (path);
  FILE *f = fdopen (fd, "w");
  int err;

  fprintf (f,
           "{\"node_name\":\"n1\",\"ip\":\"127.0.0.1\",\"zone\":\"a\","
           "\"port_range\":[7420,7435],\"bounds\":%s,"
           "\"bind_addrs\":{\"frontend\":\"127.0.0.1:8183\","
           "\"readiness\":\"127.0.0.1:8184\"},"
           "\"limits\":{\"cpu_share\":0.12},"
           "\"platform\":{\"address\":\"127.0.0.1:9000\"%s}}",
           bounds, store);
  fclose (f);
  err = pf_settings_read (path, out, ce);
  unlink (path);
  return err;
}

static int
read_settings (const char *bounds, struct pf_settings *out,
               struct codec_err *ce)
{
  return read_settings_with (bounds, "", out, ce);
}

static void
test_shortest_bounds (void)
{
  struct pf_settings s;
  struct codec_err ce;

  CU_ASSERT_EQUAL (
      read_settings (
          "{\"revoke_ms\":1000,\"config_apply_ms\":1,\"hold_max_ms\":1,"
          "\"evacuate_ms\":1,\"grace_s\":0}",
          &s, &ce),
      0);
  CU_ASSERT_EQUAL (s.revoke_ms, 1000);
  CU_ASSERT_EQUAL (s.conf_apply_ms, 1);
  CU_ASSERT_EQUAL (s.lease_max_ms, 1);
  CU_ASSERT_EQUAL (s.evacuate_ms, 1);
  CU_ASSERT_EQUAL (s.grace_ms, 0);
  CU_ASSERT_EQUAL (s.millicores, 120);
}

static void
test_longest_bounds (void)
{
  struct pf_settings s;
  struct codec_err ce;

  CU_ASSERT_EQUAL (read_settings ("{\"revoke_ms\":3600000,"
                                  "\"config_apply_ms\":3600000,"
                                  "\"hold_max_ms\":3600000,"
                                  "\"grace_s\":3600}",
                                  &s, &ce),
                   0);
  CU_ASSERT_EQUAL (s.revoke_ms, 3600000);
  CU_ASSERT_EQUAL (s.conf_apply_ms, 3600000);
  CU_ASSERT_EQUAL (s.lease_max_ms, 3600000);
  CU_ASSERT_EQUAL (s.grace_ms, 3600000);
}

/* An older platform does not state how soon a configuration must be in
   force. */
static void
test_missing_bound (void)
{
  struct pf_settings s;
  struct codec_err ce;

  CU_ASSERT_EQUAL (
      read_settings ("{\"revoke_ms\":5000,\"grace_s\":6}", &s, &ce), 0);
  CU_ASSERT (s.conf_apply_ms > 0);
  CU_ASSERT_EQUAL (s.evacuate_ms, 0);
}

static void
test_bounds_out_of_range (void)
{
  struct pf_settings s;
  struct codec_err ce;

  CU_ASSERT (read_settings ("{\"revoke_ms\":999,\"grace_s\":6}", &s, &ce) < 0);
  CU_ASSERT_STRING_EQUAL (ce.path, "revoke_ms");
  CU_ASSERT (read_settings ("{\"revoke_ms\":5000,\"config_apply_ms\":0,"
                            "\"grace_s\":6}",
                            &s, &ce)
             < 0);
  CU_ASSERT (read_settings ("{\"revoke_ms\":\"soon\",\"grace_s\":6}", &s, &ce)
             < 0);
  CU_ASSERT (read_settings ("{\"revoke_ms\":5000,\"grace_s\":-1}", &s, &ce)
             < 0);
}

/* Guards against a limit of withdrawals that does not follow the table
   service's rate. */
static void
test_rate_of_writes (void)
{
  static const char bounds[] = "{\"revoke_ms\":5000,\"grace_s\":6}";
  struct pf_settings s;
  struct codec_err ce;

  CU_ASSERT_EQUAL (
      read_settings_with (bounds, ",\"writes_per_s\":600.0", &s, &ce), 0);
  CU_ASSERT_EQUAL (s.store_limits.writes_per_s, 600);
  CU_ASSERT_EQUAL (
      read_settings_with (bounds, ",\"writes_per_s\":800", &s, &ce), 0);
  CU_ASSERT_EQUAL (s.store_limits.writes_per_s, 800);
  CU_ASSERT_EQUAL (read_settings (bounds, &s, &ce), 0);
  CU_ASSERT_EQUAL (s.store_limits.writes_per_s, 0);
}

UNIT_MAIN ("settings", { "the shortest bounds", test_shortest_bounds },
           { "the longest bounds", test_longest_bounds },
           { "a missing bound", test_missing_bound },
           { "bounds out of range", test_bounds_out_of_range },
           { "the rate of writes", test_rate_of_writes })
