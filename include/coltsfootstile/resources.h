/**
 * \file
 * \brief Amounts of resources that tasks need and backend servers offer.
 */
#ifndef COLTSFOOTSTILE_RESOURCES_H
#define COLTSFOOTSTILE_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

/** Kinds of resources. */
enum ColtResource
{
  COLT_RESOURCE_CORES,        /**< thousandths of a core */
  COLT_RESOURCE_MEMORY,       /**< mebibytes */
  COLT_RESOURCE_ACCELERATORS, /**< whole accelerators */
  COLT_RESOURCE_SLOTS,        /**< task slots; a task uses one */
  COLT_RESOURCE_CONNECTIONS,  /**< client connections */
  COLT_RESOURCE_COUNT         /**< number of resources, not a resource */
};

/** Names of enum ColtResource, indexed by it. */
extern const char *const colt_resource_string[];

/** An amount of each resource. The amounts of a demand are never negative. */
struct ColtResources
{
  int64_t amount[COLT_RESOURCE_COUNT];
};

/** Adds \a more to \a sum. */
void colt_resources_add (struct ColtResources *sum,
                         const struct ColtResources *more);

/** Subtracts \a less from \a sum. */
void colt_resources_subtract (struct ColtResources *sum,
                              const struct ColtResources *less);

/** Returns whether \a demand fits into \a free in every resource. */
bool colt_resources_fit (const struct ColtResources *demand,
                         const struct ColtResources *free);

/** Raises each amount of \a sum to at least that of \a other. */
void colt_resources_raise (struct ColtResources *sum,
                           const struct ColtResources *other);

#endif
