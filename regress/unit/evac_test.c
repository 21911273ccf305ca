#include "evac.h"

#include "unit.h"

#include <string.h>

static void
begins_and_ends (void)
{
  struct evac ev;

  evac_init (&ev);
  CU_ASSERT_EQUAL (evac_row (&ev, 10, "a", true, 5, true), EVAC_BEGUN);
  CU_ASSERT_EQUAL (evac_row (&ev, 20, "a", true, 6, true), EVAC_UNCHANGED);
  CU_ASSERT (evac_contains (&ev, "a"));
  CU_ASSERT_FALSE (evac_contains (&ev, "b"));
  CU_ASSERT_EQUAL (evac_row (&ev, 30, "b", false, 7, true), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (evac_row (&ev, 30, "a", false, 8, true), EVAC_ENDED);
  CU_ASSERT_FALSE (evac_contains (&ev, "a"));
  evac_fini (&ev);
}

/* Guards against a late answer that undoes what a newer one has shown. */
static void
older_rows_change_nothing (void)
{
  struct evac ev;

  evac_init (&ev);
  evac_row (&ev, 0, "a", true, 9, true);
  CU_ASSERT_EQUAL (evac_row (&ev, 0, "a", false, 8, true), EVAC_UNCHANGED);
  CU_ASSERT (evac_contains (&ev, "a"));
  evac_fini (&ev);
}

static void
lists_replace_the_set (void)
{
  struct evac ev;

  evac_init (&ev);
  evac_row (&ev, 0, "gone", true, 3, true);
  evac_row (&ev, 0, "kept", true, 4, true);
  evac_list_begin (&ev);
  evac_row (&ev, 0, "kept", true, 4, true);
  evac_row (&ev, 0, "new", true, 12, true);
  CU_ASSERT_EQUAL (evac_list_end (&ev, 12), 1);
  CU_ASSERT_FALSE (evac_contains (&ev, "gone"));
  CU_ASSERT (evac_contains (&ev, "kept"));
  CU_ASSERT (evac_contains (&ev, "new"));
  evac_fini (&ev);
}

/* Guards against a domain that is taken back because its row was unreadable,
   or because the list is older than the row. */
static void
damaged_and_old_lists_end_nothing (void)
{
  struct evac ev;

  evac_init (&ev);
  evac_row (&ev, 0, "a", true, 3, true);
  evac_list_begin (&ev);
  ev.list_damaged = true;
  CU_ASSERT_EQUAL (evac_list_end (&ev, 12), 0);
  evac_list_begin (&ev);
  CU_ASSERT_EQUAL (evac_list_end (&ev, 2), 0);
  CU_ASSERT (evac_contains (&ev, "a"));
  CU_ASSERT_EQUAL (evac_list_end (&ev, 3), 1);
  evac_fini (&ev);
}

static void
bad_names_are_ignored (void)
{
  char name[CLB_NAME_MAX + 8];
  struct evac ev;

  evac_init (&ev);
  memset (name, 'x', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  CU_ASSERT_EQUAL (evac_row (&ev, 0, "", true, 1, true), EVAC_IGNORED);
  CU_ASSERT_EQUAL (evac_row (&ev, 0, "a b", true, 1, true), EVAC_IGNORED);
  CU_ASSERT_EQUAL (evac_row (&ev, 0, name, true, 1, true), EVAC_IGNORED);
  for (int i = 0; i < EVAC_DOMAINS_MAX; i++)
    {
      snprintf (name, sizeof name, "z%d", i);
      CU_ASSERT_EQUAL (evac_row (&ev, 0, name, true, 1, true), EVAC_BEGUN);
    }
  CU_ASSERT_EQUAL (evac_row (&ev, 0, "more", true, 1, true), EVAC_IGNORED);
  CU_ASSERT_EQUAL (ev.n_domains, EVAC_DOMAINS_MAX);
  evac_fini (&ev);
}

UNIT_MAIN ("evac", { "begins and ends", begins_and_ends },
           { "older rows change nothing", older_rows_change_nothing },
           { "lists replace the set", lists_replace_the_set },
           { "damaged and old lists end nothing",
             damaged_and_old_lists_end_nothing },
           { "bad names are ignored", bad_names_are_ignored })
