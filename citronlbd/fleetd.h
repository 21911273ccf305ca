/**
 * DOC: Runs the daemon on the fleet's platform.  This module owns the sockets,
 * timers and signal handlers.  It passes input to struct fleet, which does no
 * input or output of its own, and carries out the outputs that struct fleet
 * queues.
 */
#ifndef FLEETD_H
#define FLEETD_H

/**
 * fleetd_run() - Run one instance until a signal stops it.
 * @settings_path: path of the settings file
 *
 * Return: an exit status of sysexits.h.
 */
int fleetd_run (const char *settings_path);

#endif
