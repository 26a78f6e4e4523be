/**
 * \file
 * \brief A check of a configuration, and the difference between two.
 *
 * Pure functions, linear in the size of the configurations. No text that they
 * return contains a whole key.
 */
#ifndef COLTSFOOTSTILE_FLEET_CHECK_H
#define COLTSFOOTSTILE_FLEET_CHECK_H

#include "coltsfootstile/fleet.h"

/** Size in bytes of a shortened key, with the final zero. */
#define COLT_SHORT_KEY_SIZE 32

/** Kind of a finding. */
enum ColtFleetFindingKind
{
  COLT_FINDING_EMPTY_NAME, /**< queue, service or organisation without a name */
  COLT_FINDING_DUPLICATE_NAME,     /**< two of a kind with the same name */
  COLT_FINDING_DUPLICATE_ROUTE,    /**< two queues with host and prefix equal */
  COLT_FINDING_SHADOWED_QUEUE,     /**< an earlier queue gets all requests */
  COLT_FINDING_UNMATCHABLE_PREFIX, /**< no request's path begins with it */
  COLT_FINDING_MISSING_SERVICE,    /**< the queue's service doesn't exist */
  COLT_FINDING_NO_ATTEMPTS,        /**< a task may not fail even once */
  COLT_FINDING_STRETCH_BELOW_ONE,  /**< the objective is below the run time */
  COLT_FINDING_NO_KEY,             /**< no caller can submit jobs for it */
  COLT_FINDING_EMPTY_KEY,
  COLT_FINDING_REPEATED_KEY, /**< twice in one organisation */
  COLT_FINDING_SHARED_KEY,   /**< held by two organisations */
  COLT_FINDING_WEIGHT,       /**< 0 or less */
  COLT_FINDING_MAXIMUM_BELOW_TASK,
  COLT_FINDING_IDLE_TIMEOUT, /**< below the header timeout */
  COLT_FINDING_VERSION,      /**< not higher than the one in force */
  COLT_FINDING_COUNT         /**< number of kinds, not a kind */
};

/** Names of enum ColtFleetFindingKind, indexed by it. */
extern const char *const colt_fleet_finding_string[];

/** Something that is wrong with a configuration. */
struct ColtFleetFinding
{
  enum ColtFleetFindingKind kind;
  char *subject; /**< as "queue batch" */
  char *text;    /**< one line; names are as configured, also unprintable ones
                  */
};

/** Kind of a change. */
enum ColtFleetChangeKind
{
  COLT_CHANGE_ADDED,
  COLT_CHANGE_REMOVED,
  COLT_CHANGE_CHANGED /**< one member of something that stays */
};

/** Names of enum ColtFleetChangeKind, indexed by it. */
extern const char *const colt_fleet_change_string[];

/** One difference between two configurations. */
struct ColtFleetChange
{
  enum ColtFleetChangeKind kind;
  char *subject;      /**< as "queue batch"; a key is shortened */
  const char *member; /**< in the product's words; NULL unless changed, or for
                           a key, whose member is its organisation */
  char *old;          /**< value in the old configuration, or NULL */
  char *new;          /**< value in the new configuration, or NULL */
};

/**
 * Checks a configuration.
 *
 * \param in_force  configuration whose version must be lower; NULL: unknown
 * \param task      the smallest task of any queue: no maximum may be below it;
 *                  NULL: unknown
 * \return          list of struct ColtFleetFinding in the order of the
 *                  configuration, to be freed with g_ptr_array_unref()
 */
GPtrArray *colt_fleet_check (const struct ColtFleet *fleet,
                             const struct ColtFleet *in_force,
                             const struct ColtResources *task);

/**
 * Compares two configurations by meaning; the order in them doesn't count. Of
 * several with the same name the first is compared, and a key counts for the
 * organisation that it authenticates.
 *
 * \return list of struct ColtFleetChange, to be freed with g_ptr_array_unref()
 */
GPtrArray *colt_fleet_diff (const struct ColtFleet *old,
                            const struct ColtFleet *new);

/**
 * Shortens a key to its first four characters, or half of them if it has fewer
 * than eight, followed by three full stops.
 *
 * \param buffer  receives the text
 * \return        \a buffer
 */
const char *colt_fleet_shorten_key (const char *key,
                                    char buffer[COLT_SHORT_KEY_SIZE]);

#endif
