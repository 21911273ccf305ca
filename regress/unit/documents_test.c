/* Tests of the decoder for the fleet's configuration with many items. */
#include "platform.h"
#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_QUEUES = 20000,
  N_TENANTS = 5000,
};

/* Writes a configuration with N_QUEUES queues and N_TENANTS client accounts.

   Return: its text, which the caller frees. */
static char *
large_config (void)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);

  if (!out)
    abort ();
  fprintf (out, "{\"version\":9,\"routes\":[");
  for (int i = 0; i < N_QUEUES; i++)
    fprintf (out,
             "%s{\"name\":\"q%d\",\"host\":\"h%d\",\"prefix\":\"/p%d/\","
             "\"service\":\"s\"}",
             i ? "," : "", i, i % 3, i);
  fprintf (out, "],\"services\":[{\"name\":\"s\"}],\"tenants\":[");
  for (int i = 0; i < N_TENANTS; i++)
    fprintf (out, "%s{\"name\":\"t%d\",\"api_keys\":[\"k%d\"],\"weight\":1}",
             i ? "," : "", i, i);
  fprintf (out, "]}");
  fclose (out);
  return text;
}

static void
test_number_of_items_is_not_limited (void)
{
  clb_auto char *text = large_config ();
  struct fconf *c;
  struct codec_err ce;
  const struct fconf_queue *q;
  const struct fconf_tenant *t;

  CU_ASSERT_EQUAL_FATAL (pf_codec.decode_conf (text, &c, &ce), 0);
  CU_ASSERT_EQUAL (c->n_queues, N_QUEUES);
  CU_ASSERT_EQUAL (c->n_tenants, N_TENANTS);
  CU_ASSERT_PTR_NULL (fconf_queue_for (c, "h0", "/p19999/00000000000000ab"));
  q = fconf_queue_for (c, "h1", "/p19999/00000000000000ab");
  CU_ASSERT_PTR_NOT_NULL (q);
  if (q)
    CU_ASSERT_STRING_EQUAL (q->name, "q19999");
  t = fconf_tenant_of_key (c, "k4999");
  CU_ASSERT_PTR_NOT_NULL (t);
  fconf_free (c);
}

/* Queue 1 and account 0 have a name that is too long, key 0 of account 1 is a
   number, queue 3 has a priority out of range. */
static const char partly_usable_json[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\"},"
      "{\"name\":"
      "\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\","
      "\"host\":\"h\",\"prefix\":\"/b/\",\"service\":\"s\"},"
      "{\"name\":\"c\",\"host\":\"h\",\"prefix\":\"/c/\",\"service\":\"s\"},"
      "{\"name\":\"d\",\"host\":\"h\",\"prefix\":\"/d/\",\"service\":\"s\","
      "\"priority\":-1}],\"tenants\":[{\"name\":"
      "\"tttttttttttttttttttttttttttttttttttttttttttttttttttttttttttttttt\","
      "\"api_keys\":[\"k0\"]},"
      "{\"name\":\"t1\",\"api_keys\":[5,\"k1\"],\"weight\":1}]}";

static void
test_unusable_item_costs_only_itself (void)
{
  struct fconf *c;
  struct codec_err ce;

  CU_ASSERT_EQUAL_FATAL (pf_codec.decode_conf (partly_usable_json, &c, &ce),
                         0);
  CU_ASSERT_EQUAL (c->version, 7);
  CU_ASSERT_PTR_NOT_NULL (fconf_queue_for (c, "h", "/a/"));
  CU_ASSERT_PTR_NULL (fconf_queue_for (c, "h", "/b/"));
  CU_ASSERT_PTR_NOT_NULL (fconf_queue_for (c, "h", "/c/"));
  CU_ASSERT_PTR_NULL (fconf_queue_for (c, "h", "/d/"));
  CU_ASSERT_PTR_NULL (fconf_tenant_of_key (c, "k0"));
  CU_ASSERT_PTR_NOT_NULL (fconf_tenant_of_key (c, "k1"));
  CU_ASSERT_EQUAL (c->n_unusable, 4);
  CU_ASSERT_STRING_EQUAL (c->first_unusable, "routes[1].name");
  fconf_free (c);
}

UNIT_MAIN ("documents",
           { "a configuration may have any number of queues and accounts",
             test_number_of_items_is_not_limited },
           { "an item that cannot be used costs only itself",
             test_unusable_item_costs_only_itself })
