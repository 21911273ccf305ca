/**
 * DOC: Switches of mechanisms, for measurements only.
 *
 * A build with -DABLATE=MECHANISM leaves out one mechanism; bench/ablate
 * builds such programs.  Ordinary builds leave out none.
 */
#ifndef ABLATE_H
#define ABLATE_H

#ifdef ABLATE

enum
{
  NONE,
  SHARES,          /* shares of client accounts, fsched_share.c */
  URGENCY_CLASSES, /* late jobs behind those on time, fsched_urgency.c */
  PREDICTIONS,     /* run times learned from earlier jobs, estim.c */
  UNCERTAINTY,     /* spread of predicted run times, estim.c */
  GANG_ROOM,       /* room held for gangs, fsched_advice.c */
  BEST_FIT,        /* executors with the least room left, fsched_place.c */
  SILENT_DOMAINS,  /* domains without answers, fsched_domain.c */
  QUARANTINE,      /* executors on which all runs fail, fsched_exec.c */
  WRITE_PROBES,    /* the outcome of a slow write is read, leader.c */
  CONF_FETCH,      /* the configuration is read through a peer, fleet.c */
  RETRY_NOW,       /* Retry-After 0, fleet_retry.c */
};

#define ABLATED(mechanism) (ABLATE == (mechanism))
#else
#define ABLATED(mechanism) 0
#endif

#endif
