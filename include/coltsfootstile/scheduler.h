/**
 * \file
 * \brief An instance of the scheduler: it takes callers' requests, and one of
 * all instances leads.
 *
 * The lead is elected through conditional appends to the log: it renews its
 * claim, and whoever sees no renewal for a while claims the next term. Terms
 * fence the log's producer and the backend servers, so that an earlier lead
 * that doesn't know yet can't do harm.
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
  const char *name;
  const char *zone;
  const char *internal; /**< IP:PORT for the other instances */
  /** How much work it can lead: the cores it may use, bounded by its link;
   * above 0. */
  double strength;
  uint32_t lease_max_ms;
  uint32_t status_s;
  uint32_t grace_ms;
};

/** An instance. */
struct ColtScheduler;

/**
 * Creates an instance and starts it.
 *
 * \param ports  must outlive the instance
 */
struct ColtScheduler *
colt_scheduler_create (struct event_base *base,
                       const struct ColtPorts *ports,
                       const struct ColtSchedulerSettings *settings,
                       struct ColtError *error);

/** Destroys an instance; NULL is allowed. */
void colt_scheduler_destroy (struct ColtScheduler *scheduler);

/** Stops in good order: hands over, answers what is open, ends the loop. */
void colt_scheduler_stop (struct ColtScheduler *scheduler);

#endif
