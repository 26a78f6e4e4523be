/**
 * \file
 * \brief Amounts of tasks, cores and accelerators, as counted by the upper
 *        limits of teams, and their division.
 *
 * A limit counts running tasks and, if the bundle sets them, cores and
 * accelerators. Each dimension may be unlimited.
 */
#ifndef COLTSFOOTSTILE_QUOTA_H
#define COLTSFOOTSTILE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Amount that stands for no limit; a finite one is 0 to COLT_QUOTA_MAX. */
#define COLT_QUOTA_UNLIMITED INT64_MAX
/** Highest finite amount. */
#define COLT_QUOTA_MAX (INT64_C (1) << 48)

/** The dimensions of a limit. */
enum ColtQuotaDimension
{
  COLT_QUOTA_TASKS,        /**< running tasks */
  COLT_QUOTA_CORES,        /**< thousandths of a core */
  COLT_QUOTA_ACCELERATORS, /**< whole accelerators */
  COLT_QUOTA_COUNT         /**< number of dimensions, not a dimension */
};

/** Names of enum ColtQuotaDimension, indexed by it. */
extern const char *const colt_quota_dimension_string[];

/** An amount in each dimension, 0 to COLT_QUOTA_MAX or unlimited. */
struct ColtQuotaAmount
{
  int64_t amount[COLT_QUOTA_COUNT];
};

/** Demand of one place, such as a zone or an owner, for a team's amount. */
struct ColtQuotaNeed
{
  struct ColtQuotaAmount base; /**< in use; granted in any case */
  struct ColtQuotaAmount unit; /**< demand of the next waiting task */
  int64_t count;               /**< number of waiting tasks */
};

/** Returns whether each dimension is 0 to COLT_QUOTA_MAX or unlimited. */
bool colt_quota_is_valid (const struct ColtQuotaAmount *amount);

/** Returns whether every dimension is 0. */
bool colt_quota_is_zero (const struct ColtQuotaAmount *amount);

/** Returns whether two amounts are the same. */
bool colt_quota_equal (const struct ColtQuotaAmount *a,
                       const struct ColtQuotaAmount *b);

/**
 * Adds \a more to \a sum. The sum is unlimited if either amount is, and at most
 * COLT_QUOTA_MAX otherwise.
 */
void colt_quota_add (struct ColtQuotaAmount *sum,
                     const struct ColtQuotaAmount *more);

/** Subtracts \a less from \a sum, not below 0; unlimited stays unlimited. */
void colt_quota_subtract (struct ColtQuotaAmount *sum,
                          const struct ColtQuotaAmount *less);

/** Lowers each dimension of \a least to at most that of \a other. */
void colt_quota_lower (struct ColtQuotaAmount *least,
                       const struct ColtQuotaAmount *other);

/** Raises each dimension of \a most to at least that of \a other. */
void colt_quota_raise (struct ColtQuotaAmount *most,
                       const struct ColtQuotaAmount *other);

/** Returns whether \a amount is at most \a bound in every dimension. */
bool colt_quota_is_within (const struct ColtQuotaAmount *amount,
                           const struct ColtQuotaAmount *bound);

/**
 * Divides a whole number in proportion to weights with Jefferson's divisor
 * method. The parts sum to \a total, and a larger total never makes a part
 * smaller.
 *
 * \param total    0 to COLT_QUOTA_MAX
 * \param weights  0 to COLT_QUOTA_MAX each; equal parts if all are 0
 * \param count    number of parts, at least 1
 * \param first    index of the part that wins ties, wrapping around
 * \param parts    receives the parts
 */
void colt_quota_apportion (int64_t total,
                           const int64_t *weights,
                           size_t count,
                           size_t first,
                           int64_t *parts);

/**
 * Divides the free part of a total among places with waiting tasks, in whole
 * tasks, so that the least part is as large as possible (max-min fairness).
 * Whole tasks keep the dimensions together: no place gets cores without the
 * task that uses them.
 *
 * \param total    amount that all places together may use
 * \param needs    the places
 * \param count    number of places
 * \param first    index of the place served first, wrapping around
 * \param granted  receives the base and the added amount of each place
 * \return         number of waiting tasks that were not served
 */
int64_t colt_quota_fill (const struct ColtQuotaAmount *total,
                         const struct ColtQuotaNeed *needs,
                         size_t count,
                         size_t first,
                         struct ColtQuotaAmount *granted);

#endif
