/* Tests of histograms and of their output as metrics. */
#include "hist.h"
#include "unit.h"

#include <stdlib.h>
#include <string.h>

/* Return: the output of hist_print(), to be freed. */
static char *
print_to_text (const struct hist *h, const char *label, const char *value)
{
  char *text = NULL;
  size_t len = 0;
  FILE *f = open_memstream (&text, &len);

  hist_print (f, "x_ms", label, value, h);
  fclose (f);
  return text;
}

static void
test_buckets (void)
{
  struct hist h = { 0 };
  char *text;

  hist_add (&h, 0);
  hist_add (&h, 1);
  hist_add (&h, 2);
  hist_add (&h, 700);
  hist_add (&h, 1000000);
  text = print_to_text (&h, NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"1\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"2\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"500\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"1000\"} 4\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"10000\"} 4\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"+Inf\"} 5\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_sum 1000703\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_count 5\n"));
  free (text);
}

static void
test_labels (void)
{
  struct hist h = { 0 };
  char *text;

  hist_add (&h, 3);
  text = print_to_text (&h, "kind", "hold");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "citronlb_x_ms_bucket{kind=\"hold\",le=\"5\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "citronlb_x_ms_count{kind=\"hold\"} 1\n"));
  free (text);
}

/* A measured duration is negative if the clock was set back.  The histogram
   must count it as 0. */
static void
test_negative_value (void)
{
  struct hist h = { 0 };
  char *text;

  hist_add (&h, -5);
  text = print_to_text (&h, NULL, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_bucket{le=\"1\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "x_ms_sum 0\n"));
  free (text);
}

UNIT_MAIN ("hist",
           { "values are counted in cumulative buckets", test_buckets },
           { "a label is printed on each line", test_labels },
           { "a negative value counts as 0", test_negative_value })
