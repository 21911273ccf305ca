/**
 * DOC: Counters and gauges, printed as Prometheus text.
 */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>
#include <stdio.h>

/**
 * metric_print() - Print a counter or gauge as metric "citronlb_NAME".
 * @out: where to print
 * @name: the metric's name without "citronlb_"
 * @label: name of the metric's label; NULL: none
 * @value: value of the label
 * @count: value of the metric
 */
void metric_print (FILE *out, const char *name, const char *label,
                   const char *value, uint64_t count);

#endif
