/*
 * Writes log lines to standard error.  Only changes of state are logged; all
 * other decisions are counted.
 */
#include "citronlbd.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>

static log4c_category_t *category;

void
log_open (void)
{
  log4c_appender_t *app;

  if (log4c_init ())
    return;
  category = log4c_category_get ("citronlbd");
  app = log4c_appender_get ("stderr");
  log4c_appender_set_layout (app, log4c_layout_get ("dated"));
  log4c_category_set_appender (category, app);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
}

void
log_info (const char *fmt, ...)
{
  char line[256];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (line, sizeof line, fmt, ap);
  va_end (ap);
  if (category)
    log4c_category_log (category, LOG4C_PRIORITY_INFO, "%s", line);
}

void
log_event (const struct event *e)
{
  switch (e->reason)
    {
    case WHY_LEASE_ACQUIRED:
    case WHY_LEASE_LOST:
    case WHY_LEASE_RELEASED:
    case WHY_LEASE_EXTENDED:
    case WHY_STORE_DOWN:
    case WHY_STORE_BACK:
    case WHY_WORKER_QUARANTINED:
    case WHY_WORKER_BACK:
    case WHY_WORKER_LOST:
    case WHY_WORKER_REBOOTED:
      log_info ("%s: %s", clb_reason_name (e->reason), e->instance_id);
      break;
    case WHY_CONFIG:
      log_info ("config: version %lld", (long long)e->detail);
      break;
    default:
      break;
    }
}

void
log_close (void)
{
  log4c_fini ();
}
