/**
 * DOC: Counters as Prometheus text.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>
#include <stdio.h>

/**
 * metric_print() - One value, as "citronlb_NAME".
 * @label: with @value, its label; NULL: none
 */
void metric_print (FILE *out, const char *name, const char *label,
                   const char *value, uint64_t count);

#endif
