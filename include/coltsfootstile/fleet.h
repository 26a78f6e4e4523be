/**
 * \file
 * \brief The published configuration: queues, services and organisations.
 *
 * A configuration is reference counted. Its creator fills it in; once shared,
 * it is immutable. Strings and tables belong to the configuration and are
 * freed with its last reference.
 */
#ifndef COLTSFOOTSTILE_FLEET_H
#define COLTSFOOTSTILE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

/** A queue, to which callers submit jobs of one kind. */
struct ColtQueueConfig
{
  char *name;
  char *host;            /**< host name without a port; empty: any host */
  char *prefix;          /**< path prefix, with its final slash */
  char *service;         /**< name of the service that runs the queue's tasks */
  uint32_t priority;     /**< 0 is the highest */
  uint32_t max_attempts; /**< failures of a task after which its job fails */
  double stretch;        /**< a job's objective, the time within which it should
                              end, as a multiple of the duration of its longest
                              chain of steps */
  uint32_t target_ms;    /**< constant part of the objective, added to that */
  bool open;             /**< accepts requests without a key */
  bool advised;          /**< starts need a ticket from the adviser */
  double advice_ms;      /**< fixed duration of an advice call */
  double advice_per_server_ms; /**< additional duration of an advice call for
                                    each server that it names */
  uint32_t ticket_ms;          /**< how long a ticket is valid */
  uint32_t timeout_ms;         /**< as configured; scheduling does not use it */
  char *kind;                  /**< as configured; scheduling does not use it;
                                    may be NULL */
};

/** A service: a pool of backend servers. */
struct ColtServiceConfig
{
  char *name;
  bool checks_room; /**< its servers reject starts beyond their capacity */
  bool standby;     /**< as configured; placement does not use it */
};

/** An organisation with its keys, share and resource limit. */
struct ColtOrganisation
{
  char *name;
  GPtrArray *keys; /**< of strings */
  double weight;   /**< jobs per second within its share; 0 or less: no bound */
  struct ColtResources maximum; /**< for its runs together; 0: no limit */
  uint32_t priority; /**< as configured; scheduling does not use it */
};

/** A complete configuration. */
struct ColtFleet
{
  uint32_t references;        /**< managed by colt_fleet_ref() and
                                   colt_fleet_unref(), which aren't thread-safe */
  int64_t version;            /**< of the published configuration */
  GPtrArray *queues;          /**< of struct ColtQueueConfig */
  GPtrArray *services;        /**< of struct ColtServiceConfig */
  GPtrArray *organisations;   /**< of struct ColtOrganisation */
  GHashTable *keys;           /**< key -> struct ColtOrganisation */
  uint32_t max_body;          /**< largest request body, in bytes */
  uint32_t max_header;        /**< largest header of a request, in bytes */
  uint32_t header_timeout_ms; /**< until a request's header must be complete */
  uint32_t idle_timeout_ms;   /**< until an idle connection is closed */
};

/** Creates an empty configuration; the caller owns its one reference. */
struct ColtFleet *colt_fleet_create (void);

/** Adds a reference and returns \a fleet. */
struct ColtFleet *colt_fleet_ref (struct ColtFleet *fleet);

/** Drops a reference, the last of which frees it; NULL is allowed. */
void colt_fleet_unref (struct ColtFleet *fleet);

/** Adds an empty queue, which the caller fills in; \a fleet owns it. */
struct ColtQueueConfig *colt_fleet_add_queue (struct ColtFleet *fleet);

/** Adds an empty service, which the caller fills in; \a fleet owns it. */
struct ColtServiceConfig *colt_fleet_add_service (struct ColtFleet *fleet);

/** Adds an empty organisation, which the caller fills in; \a fleet owns it. */
struct ColtOrganisation *colt_fleet_add_organisation (struct ColtFleet *fleet);

/** Adds a key to an organisation of the same configuration; copies \a key. */
void colt_fleet_add_key (struct ColtFleet *fleet,
                         struct ColtOrganisation *organisation,
                         const char *key);

/**
 * Finds the queue that serves a request.
 *
 * \param host  host of the request, with or without a port; may be NULL
 * \param path  path without its query
 * \return      the queue with the longest matching prefix among those of the
 *              host, or NULL; it belongs to \a fleet
 */
const struct ColtQueueConfig *colt_fleet_route (const struct ColtFleet *fleet,
                                                const char *host,
                                                const char *path);

/** Returns the queue with a name, or NULL; it belongs to \a fleet. */
const struct ColtQueueConfig *
colt_fleet_find_queue (const struct ColtFleet *fleet, const char *name);

/** Returns the organisation that a key belongs to, or NULL; it belongs to
 * \a fleet. \a key may be NULL. */
const struct ColtOrganisation *
colt_fleet_find_organisation (const struct ColtFleet *fleet, const char *key);

#endif
