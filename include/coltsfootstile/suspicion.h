/**
 * \file
 * \brief Which servers get no new work because they leave calls unanswered.
 *
 * A server is suspected from a lost call until any answer of it. While it is
 * suspected, it is queried at growing intervals; the rate of all queries is
 * bounded, so that a zone that is cut off causes no burst. Suspicion is no
 * evidence that a server's work has ended. All times are in microseconds on the
 * monotonic clock; each function takes constant time.
 */
#ifndef COLTSFOOTSTILE_SUSPICION_H
#define COLTSFOOTSTILE_SUSPICION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What all servers share: the number of suspected ones and the rate of
 * queries. */
struct ColtSuspicion;

/** State of one server; initially { 0 }. */
struct ColtSuspect
{
  bool suspected;
  int64_t waiting_us;    /**< since when work waits for an answer; 0: none */
  int64_t next_query_us; /**< while suspected: when the next query is due */
  uint32_t queries;      /**< sent during this suspicion */
};

struct ColtSuspicion *colt_suspicion_create (void);

/** Frees the shared state; servers need not be released before. */
void colt_suspicion_destroy (struct ColtSuspicion *suspicion);

/** Records a call that had no answer in time; returns true if the server is
 * suspected from now on and wasn't before. */
bool colt_suspicion_add_loss (struct ColtSuspicion *suspicion,
                              struct ColtSuspect *suspect,
                              int64_t now_us);

/** Records an answer, or that the server is gone; returns true if the server
 * was suspected until now. */
bool colt_suspicion_clear (struct ColtSuspicion *suspicion,
                           struct ColtSuspect *suspect);

/** Records that work waits for an answer of the server. */
void colt_suspicion_start_wait (struct ColtSuspect *suspect, int64_t now_us);

/** Returns whether work has waited for an answer for longer than \a timeout_us;
 * that counts as a lost call. */
bool colt_suspicion_is_overdue (const struct ColtSuspect *suspect,
                                int64_t timeout_us,
                                int64_t now_us);

/** Returns whether a suspected server may be queried now, and counts the query
 * if so. */
bool colt_suspicion_take_query (struct ColtSuspicion *suspicion,
                                struct ColtSuspect *suspect,
                                int64_t now_us);

/** Returns the number of suspected servers. */
size_t colt_suspicion_count (const struct ColtSuspicion *suspicion);

#endif
