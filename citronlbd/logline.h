/**
 * DOC: Writes structured log lines to standard output.  Writing never blocks:
 * a line that does not fit in the buffer or exceeds the maximum rate is
 * dropped and counted.
 */
#ifndef LOGLINE_H
#define LOGLINE_H

#include <stdint.h>

enum
{
  /* Maximum number of lines per second; further lines are dropped. */
  LOGLINE_PER_SECOND_MAX = 1500,
  /* Lines about a job are dropped once this many lines were written in the
     second.  The rest is left for lines about the instance and its
     dependencies, which are few and explain the others. */
  LOGLINE_JOB_LINES_MAX = 1400,
  /* Size of the buffer for lines not yet written to standard output; lines
     that do not fit are dropped. */
  LOGLINE_BUFFER_SIZE = 256 << 10,
};

/** struct logline_stats - counts of log lines since the process started */
struct logline_stats
{
  /* Number of lines that were added to the buffer. */
  uint64_t written;
  /* Number of lines that were dropped. */
  uint64_t dropped;
};

/**
 * logline_open() - Set standard output to non-blocking mode and start to log.
 * @node: id of the instance, which is part of each line; the function copies
 * it
 */
void logline_open (const char *node);

/**
 * logline_write() - Add one line to the buffer.
 * @wall_ms: time of the wall clock, written at the start of the line
 * @line: "name=value" words, without a newline
 */
void logline_write (int64_t wall_ms, const char *line);

/**
 * logline_flush() - Write as much of the buffer as possible to standard output
 * without blocking.
 */
void logline_flush (void);

/**
 * logline_stats() - Return: the counts of log lines since the process started;
 * the pointer is valid until the process exits.
 */
const struct logline_stats *logline_stats (void);

#endif
