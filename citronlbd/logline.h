/**
 * DOC: Structured log lines on standard output.  Writing never blocks: lines
 * beyond the buffer's size or the maximum rate are dropped and counted.
 */
#ifndef LOGLINE_H
#define LOGLINE_H

#include <stdint.h>

enum
{
  /* Maximum lines per second; more are dropped. */
  LOGLINE_RATE = 1500,
  /* Bytes that wait to be read from standard output; lines that do not fit are
     dropped. */
  LOGLINE_BUFFER = 256 << 10,
};

/** struct logline_stats - numbers of lines since logline_open() */
struct logline_stats
{
  uint64_t written;
  uint64_t dropped;
};

/**
 * logline_open() - Set standard output to non-blocking mode and start to log.
 * @node: id of the instance, copied; part of each line
 */
void logline_open (const char *node);

/**
 * logline_write() - Buffer one line.
 * @now_ms: wall clock, written at the start of the line
 * @line: "name=value" words, without a newline
 */
void logline_write (int64_t now_ms, const char *line);

/** logline_flush() - Write the buffer as far as possible without blocking. */
void logline_flush (void);

/** logline_stats() - Return: the counters, which stay valid. */
const struct logline_stats *logline_stats (void);

#endif
