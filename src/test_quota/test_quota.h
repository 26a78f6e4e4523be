/**
 * \file
 * \brief Helpers shared by the tests of limits.
 */
#ifndef COLT_TEST_QUOTA_H
#define COLT_TEST_QUOTA_H

#include <stdint.h>

struct ColtQuotaSim;

/** Rounds of sim_settle() in which all messages arrive and are answered. */
#define ROUNDS 12

/** Adds the tests of credits. */
void colt_add_credit_tests (void);

/** Adds the tests of amounts, the fold and packed messages. */
void colt_add_fold_tests (void);

/** Adds the tests of transfer planners. */
void colt_add_transfer_tests (void);

/**
 * Creates a settled simulation with a leader in each zone.
 *
 * \param tasks  limit of team 0 in tasks; other limits are unlimited
 */
struct ColtQuotaSim *create_settled_sim (int64_t tasks);

/**
 * Starts up to \a n tasks of team 0 on server 1 of a zone, as credits allow.
 *
 * \return number of tasks started
 */
int start_tasks (struct ColtQuotaSim *sim, int zone, int n);

/** Ends \a n tasks on server 1 of a zone, which must have them, and settles. */
void end_tasks (struct ColtQuotaSim *sim, int zone, int n);

/**
 * Calls start_tasks() for each zone.
 *
 * \return number of tasks started in all zones
 */
int start_tasks_everywhere (struct ColtQuotaSim *sim, int n);

#endif
