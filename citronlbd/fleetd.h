/**
 * DOC: The daemon on the fleet's platform: sockets, timers and signals round
 * the core's struct fleet.
 */
#ifndef FLEETD_H
#define FLEETD_H

/**
 * fleetd_run() - Run until told to stop.
 * @settings: path of the settings file
 *
 * Return: an exit status of sysexits.h.
 */
int fleetd_run (const char *settings);

#endif
