/**
 * \file
 * \brief Builds short histories for tests. Requests are given as numbers and
 * times in milliseconds.
 */
#ifndef COLT_TEST_HISTORY_SCENARIO_H
#define COLT_TEST_HISTORY_SCENARIO_H

#include "check.h"
#include "measures.h"

#define SCENARIO_SERVERS 3u

/** A history under construction. */
struct ColtScenario
{
  struct ColtHistory *history;
  uint32_t line; /**< line number of the last record */
};

/**
 * Creates a history with servers 1 to 3, each in its own zone with 4 cores, 4
 * GiB of memory, 2 accelerators, 8 slots and 64 connections, and the teams "a"
 * of weight 2 and "b" of weight 1. Free it with scenario_destroy().
 */
struct ColtScenario *scenario_create (void);

void scenario_destroy (struct ColtScenario *scenario);

/** Adds the start of task 0 of a request of team "a", with a limit of 1 core.
 * The event may be changed until the next one is added. */
struct ColtHistoryEvent *scenario_add_start (struct ColtScenario *scenario,
                                             int64_t t_ms,
                                             uint32_t server,
                                             unsigned request,
                                             uint32_t attempt);

/** Adds the end of a task that was added with scenario_add_start(). */
struct ColtHistoryEvent *scenario_add_end (struct ColtScenario *scenario,
                                           int64_t t_ms,
                                           uint32_t server,
                                           unsigned request,
                                           uint32_t attempt,
                                           enum ColtTaskState state);

/** Adds a record that concerns no task. */
struct ColtHistoryEvent *scenario_add_event (struct ColtScenario *scenario,
                                             int64_t t_ms,
                                             uint32_t server,
                                             enum ColtHistoryEventKind kind);

/** Adds the start and the end of a task that finishes on server 1. */
void scenario_add_run (struct ColtScenario *scenario,
                       unsigned request,
                       int64_t from_ms,
                       int64_t to_ms);

/** Adds a caller's record of an idempotent request of team "a" and class
 * "quotes" with one task, sent to zone 2. A request that is done gets its
 * correct answer. The record may be changed until the next one is added. */
struct ColtHistoryCall *scenario_add_call (struct ColtScenario *scenario,
                                           unsigned request,
                                           int64_t sent_ms,
                                           int64_t answered_ms,
                                           enum ColtHistoryOutcome outcome);

/** Adds an upper limit of tasks of team "a", in force from \a t_ms. */
void
scenario_add_limit (struct ColtScenario *scenario, int64_t t_ms, int64_t tasks);

/** Adds a period of a server or zone to an array of the run. */
void scenario_add_period (GArray *periods,
                          uint32_t id,
                          int64_t from_ms,
                          int64_t to_ms);

/** Checks that only \a invariant is broken, \a count times, and that the first
 * violation contains \a finding and refers to records. */
void scenario_expect_broken (const struct ColtScenario *scenario,
                             enum ColtHistoryInvariant invariant,
                             uint64_t count,
                             const char *finding);

/** Checks that no invariant is broken. */
void scenario_expect_good (const struct ColtScenario *scenario);

void scenario_measure (const struct ColtScenario *scenario,
                       struct ColtHistoryMeasures *measures);

#endif
