#include "version.h"

/* Tools that read the sources do not define it. */
#ifndef CITRONLBD_VERSION
#define CITRONLBD_VERSION "unknown"
#endif

const char *
program_version (void)
{
  return CITRONLBD_VERSION;
}
