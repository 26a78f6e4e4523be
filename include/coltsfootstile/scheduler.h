/**
 * \file
 * \brief An instance of the scheduler.
 *
 * All instances serve callers' requests; one of them is the leader, which
 * schedules the jobs. The leader is elected through conditional appends to the
 * log. It renews its claim periodically; an instance that reads no renewal
 * within a timeout claims the next term. The log rejects appends of earlier
 * terms and the backend servers reject orders of them, so that an earlier
 * leader that isn't aware of its successor can't change anything.
 */
#ifndef COLTSFOOTSTILE_SCHEDULER_H
#define COLTSFOOTSTILE_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/ports.h"

struct event_base;

/** Settings of an instance; docs/OPERATIONS.md describes each. */
struct ColtSchedulerSettings
{
  const char *name;     /**< unique among the instances */
  const char *zone;     /**< availability zone */
  const char *internal; /**< IP:PORT at which other instances connect */
  /** Capacity for leading: the number of cores that the instance may use,
   * bounded by the bandwidth of its network link; above 0. */
  double strength;
  uint32_t lease_max_ms; /**< longest lease that backend servers grant */
  uint32_t status_s;     /**< how long the state of an ended job is kept */
  uint32_t grace_ms;     /**< time to shut down in good order */
  /** Time without contact to the log and to a leader after which the instance
   * isn't ready, in ms; 0: contact has no effect on readiness. */
  uint32_t isolation_ms;
  /** Time within which a published configuration has to be in force, in ms; a
   * later one is logged and counted. */
  uint32_t config_ms;
  uint32_t half_life_s; /**< of organisations' past use in the order of waiting
                             work; 0: it doesn't count */
  uint32_t wait_max_ms; /**< longest delay of an organisation's waiting work for
                             its past use */
  bool forecasts; /**< a leader rejects jobs that are nearly sure to end too
                     late to be of use */
};

/** An instance. */
struct ColtScheduler;

/**
 * Creates an instance and starts it.
 *
 * \param base      event loop that runs the instance
 * \param ports     must outlive the instance
 * \param settings  copied; its strings must outlive the instance
 * \return an instance to be freed with colt_scheduler_destroy(); NULL with an
 *         error if an address can't be listened on
 */
struct ColtScheduler *
colt_scheduler_create (struct event_base *base,
                       const struct ColtPorts *ports,
                       const struct ColtSchedulerSettings *settings,
                       struct ColtError *error);

/** Destroys an instance and answers its open requests; NULL is allowed. */
void colt_scheduler_destroy (struct ColtScheduler *scheduler);

/** Shuts an instance down: gives up leadership, answers open requests within
 * the grace time and then ends the event loop. Further calls have no effect. */
void colt_scheduler_stop (struct ColtScheduler *scheduler);

#endif
