/**
 * \file
 * \brief The configuration that operators publish: queues, services,
 * organisations.
 *
 * A configuration is shared by reference counting and never changes once it
 * is complete.
 */
#ifndef COLTSFOOTSTILE_FLEET_H
#define COLTSFOOTSTILE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

/** A queue: where jobs of one kind are handed in. */
struct ColtQueueConfig
{
  char *name;
  char *host;
  char *prefix; /**< path prefix, with its final slash */
  char *service;
  uint32_t priority; /**< 0 comes first */
  uint32_t max_attempts;
  double stretch;        /**< objective over the longest chain of work */
  uint32_t target_ms;    /**< objective on top of that */
  bool open;             /**< needs no key */
  bool advised;          /**< starts need a ticket from the adviser */
  double advice_ms;      /**< what a call for advice takes */
  double advice_each_ms; /**< and for each server named in it */
  uint32_t ticket_ms;    /**< how long a ticket is valid */
};

/** A service: a pool of backend servers. */
struct ColtServiceConfig
{
  char *name;
  bool guards_room; /**< its servers refuse what doesn't fit */
  bool standby;
};

/** An organisation with its keys, share and limit. */
struct ColtOrganisation
{
  char *name;
  GPtrArray *keys; /**< of strings */
  double weight;
  struct ColtResources maximum; /**< an amount of 0 means no limit */
};

/** A whole configuration. */
struct ColtFleet
{
  uint32_t references;
  int64_t version;
  GPtrArray *queues;        /**< of struct ColtQueueConfig */
  GPtrArray *services;      /**< of struct ColtServiceConfig */
  GPtrArray *organisations; /**< of struct ColtOrganisation */
  GHashTable *keys;         /**< key -> struct ColtOrganisation */
  uint32_t max_body;        /**< bytes of a request */
};

/** Creates an empty configuration with one reference. */
struct ColtFleet *colt_fleet_create (void);

/** Adds a reference. */
struct ColtFleet *colt_fleet_ref (struct ColtFleet *fleet);

/** Drops a reference; NULL is allowed. */
void colt_fleet_unref (struct ColtFleet *fleet);

/** Adds an empty queue, to be filled in by the caller. */
struct ColtQueueConfig *colt_fleet_add_queue (struct ColtFleet *fleet);

/** Adds an empty service, to be filled in by the caller. */
struct ColtServiceConfig *colt_fleet_add_service (struct ColtFleet *fleet);

/** Adds an empty organisation, to be filled in by the caller. */
struct ColtOrganisation *colt_fleet_add_organisation (struct ColtFleet *fleet);

/** Lets a key name an organisation of the fleet. */
void colt_fleet_add_key (struct ColtFleet *fleet,
                         struct ColtOrganisation *organisation,
                         const char *key);

/**
 * Finds the queue of a request.
 *
 * \param host  the host that the caller named, perhaps with a port
 * \param path  the path without its query
 * \return      the queue with the longest matching prefix, or NULL
 */
const struct ColtQueueConfig *colt_fleet_route (const struct ColtFleet *fleet,
                                                const char *host,
                                                const char *path);

/** Finds a queue by its name; NULL if there is none. */
const struct ColtQueueConfig *colt_fleet_queue (const struct ColtFleet *fleet,
                                                const char *name);

/** Finds the organisation of a key; NULL if no key matches. */
const struct ColtOrganisation *
colt_fleet_organisation_of (const struct ColtFleet *fleet, const char *key);

#endif
