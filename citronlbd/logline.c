#include "logline.h"

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines not yet written to standard output. */
static char buffer[LOGLINE_BUFFER_SIZE];
/* Number of bytes in the buffer. */
static size_t n_buffered;
static struct logline_stats stats;
/* Wall-clock time of the last call of logline_write(), in whole seconds. */
static int64_t current_second;
/* Number of lines that were not dropped in the second @current_second. */
static int lines_in_second;
/* Value of stats.dropped when an event=log-dropped line was last logged. */
static uint64_t reported_dropped;
/* Id of the instance, part of each line. */
static char node_name[96];
static log4c_category_t *category;

/* Append function of the log4c appender: adds a line to the buffer, which
   logline_flush() writes to standard output. */
static int
append (log4c_appender_t *app, const log4c_logging_event_t *event)
{
  size_t len = strlen (event->evt_msg);

  (void)app;
  if (n_buffered + len + 1 > sizeof buffer)
    {
      stats.dropped++;
      return 0;
    }
  memcpy (buffer + n_buffered, event->evt_msg, len);
  buffer[n_buffered + len] = '\n';
  n_buffered += len + 1;
  stats.written++;
  return 0;
}

/* Open and close function of the log4c appender, which has nothing to open or
   close. */
static int
no_op (log4c_appender_t *app)
{
  (void)app;
  return 0;
}

static const log4c_appender_type_t line_type
    = { "citronlb-line", no_op, append, no_op };

void
logline_open (const char *node)
{
  log4c_appender_t *app;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  snprintf (node_name, sizeof node_name, "%s", node);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log4c_appender_type_set (&line_type);
  if (log4c_init ())
    return;
  category = log4c_category_get ("citronlb.fleet");
  app = log4c_appender_get ("citronlb-line");
  log4c_appender_set_type (app, &line_type);
  log4c_category_set_appender (category, app);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
}

/* Passes one line to log4c, which calls append(). */
static void
pass_to_log4c (int64_t wall_ms, const char *line)
{
  if (category)
    log4c_category_log (category, LOG4C_PRIORITY_INFO, "t=%lld node=%s %s",
                        (long long)wall_ms, node_name, line);
}

/* Returns the number of lines in one second above which @line is dropped. */
static int
line_limit (const char *line)
{
  return strstr (line, " job=") ? LOGLINE_JOB_LINES_MAX
                                : LOGLINE_PER_SECOND_MAX;
}

void
logline_write (int64_t wall_ms, const char *line)
{
  if (wall_ms / 1000 != current_second)
    {
      char dropped_line[64];
      current_second = wall_ms / 1000;
      lines_in_second = 0;
      if (stats.dropped != reported_dropped)
        {
          snprintf (dropped_line, sizeof dropped_line,
                    "event=log-dropped lines=%llu",
                    (unsigned long long)(stats.dropped - reported_dropped));
          reported_dropped = stats.dropped;
          pass_to_log4c (wall_ms, dropped_line);
        }
    }
  if (lines_in_second >= line_limit (line))
    {
      stats.dropped++;
      return;
    }
  lines_in_second++;
  pass_to_log4c (wall_ms, line);
}

void
logline_flush (void)
{
  while (n_buffered > 0)
    {
      ssize_t n = write (STDOUT_FILENO, buffer, n_buffered);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return;
      if (n <= 0)
        {
          /* The reader has closed the pipe. */
          stats.dropped++;
          n_buffered = 0;
          return;
        }
      memmove (buffer, buffer + n, n_buffered - (size_t)n);
      n_buffered -= (size_t)n;
    }
}

const struct logline_stats *
logline_stats (void)
{
  return &stats;
}
