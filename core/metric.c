#include "metric.h"

void
metric_print (FILE *out, const char *name, const char *label,
              const char *value, uint64_t count)
{
  if (label)
    fprintf (out, "citronlb_%s{%s=\"%s\"} %llu\n", name, label, value,
             (unsigned long long)count);
  else
    fprintf (out, "citronlb_%s %llu\n", name, (unsigned long long)count);
}
