/**
 * DOC: Structured lines on standard output.  Writing never blocks: what the
 * reader does not take in time, and what goes beyond the rate, is dropped and
 * counted.
 */
#ifndef LOGLINE_H
#define LOGLINE_H

#include <stdint.h>

enum
{
  LOGLINE_RATE = 1500,        /* lines a second that are kept */
  LOGLINE_BUFFER = 256 << 10, /* bytes that wait for the reader */
};

struct logline_stats
{
  uint64_t written;
  uint64_t dropped;
};

void logline_open (const char *node);
/** logline_write() - One line of "name=value" words. */
void logline_write (int64_t now_ms, const char *line);
/** logline_flush() - Hand on what waits, as far as the reader takes it. */
void logline_flush (void);
const struct logline_stats *logline_stats (void);

#endif
