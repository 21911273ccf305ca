/**
 * DOC: The advice service of the stand-in of the platform.  It decides as the
 * simulated one (regress/fsim/advice.c), in real time.  It takes the address
 * that a connection comes from, together with the address that it goes to, for
 * the calling machine.
 */
#ifndef STANDIN_ADVICE_H
#define STANDIN_ADVICE_H

#include "fsim.h"

/** struct sadv_conf - settings of the service; the pointers are borrowed */
struct sadv_conf
{
  struct fsim *sim;
  /** now_ms - Returns the present time in the simulation. */
  int64_t (*now_ms) (void);
};

/** sadv_init() - Prepare the service, which lives as long as the process. */
void sadv_init (const struct sadv_conf *conf);
/**
 * sadv_listen() - Let the service listen on one more address.
 * @addr: "IP:PORT", must outlive the process
 *
 * Return: 0, or a negative libuv error.
 */
int sadv_listen (const char *addr);
/** sadv_set_advice() - Set the times of the service for the queue with this
 * name, as the configuration announces them.  They also hold for jobs whose
 * queue is not known. */
void sadv_set_advice (const char *queue, const struct job_advice *advice);
/**
 * sadv_add_queue() - Declare which jobs a queue has.
 * @digit: first character of the ids of its jobs
 * @name: name of the queue
 * @share: share (0 to 1) of the executors that the service permits for a step
 */
void sadv_add_queue (char digit, const char *name, double share);
/** sadv_needs_tickets() - Return whether the job with this id is of a declared
 * queue with advice, so that starts need tickets even if nobody has asked. */
bool sadv_needs_tickets (const char *job_id);
/** sadv_permits() - Return whether the service permits the executor with id
 * @exec for a step of a declared queue. */
bool sadv_permits (const struct task_ref *step, const char *exec);
/**
 * sadv_inject() - Begin or end a fault.
 * @fault: "slow": the service takes @value times the announced time (1 at the
 *         start); "stall": it answers no query within @value ms;
 *         "machines": it takes its callers for so many machines, 0 ends
 *         the fault; "permit": from now on, it permits the share @value (0 to
 *         1; 1 at the start) of the executors for a step
 */
void sadv_inject (const char *fault, double value);
/** sadv_write_counts() - Write "machines N queries N refused N" to the file
 * @path: calling machines and queries so far; then, for each declared queue,
 * "NAME queries N names N busy_ms N": queries, executors that they name, and
 * the time that the service has worked on them. */
void sadv_write_counts (const char *path);

#endif
