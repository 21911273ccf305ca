#include "hist.h"

/* Inclusive upper bounds of all buckets except the last, which has none. */
static const int64_t upper_ms[HIST_BUCKETS - 1]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000 };

void
hist_add (struct hist *h, int64_t ms)
{
  int i = 0;

  if (ms < 0)
    ms = 0;
  while (i < HIST_BUCKETS - 1 && ms > upper_ms[i])
    i++;
  h->count[i]++;
  h->sum_ms += (uint64_t)ms;
}

/* Prints bucket @i; @cumulative is the number of durations in this and all
   lower buckets. */
static void
print_bucket (FILE *out, const char *name, const char *labels, int i,
              uint64_t cumulative)
{
  if (i < HIST_BUCKETS - 1)
    fprintf (out, "citronlb_%s_bucket{%sle=\"%lld\"} %llu\n", name, labels,
             (long long)upper_ms[i], (unsigned long long)cumulative);
  else
    fprintf (out, "citronlb_%s_bucket{%sle=\"+Inf\"} %llu\n", name, labels,
             (unsigned long long)cumulative);
}

void
hist_print (FILE *out, const char *name, const char *label, const char *value,
            const struct hist *h)
{
  char labels[128] = "";
  char braces[132] = "";
  uint64_t cumulative = 0;

  if (label)
    {
      snprintf (labels, sizeof labels, "%s=\"%s\",", label, value);
      snprintf (braces, sizeof braces, "{%s=\"%s\"}", label, value);
    }
  for (int i = 0; i < HIST_BUCKETS; i++)
    {
      cumulative += h->count[i];
      print_bucket (out, name, labels, i, cumulative);
    }
  fprintf (out, "citronlb_%s_sum%s %llu\n", name, braces,
           (unsigned long long)h->sum_ms);
  fprintf (out, "citronlb_%s_count%s %llu\n", name, braces,
           (unsigned long long)cumulative);
}
