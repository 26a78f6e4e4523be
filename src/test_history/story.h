/**
 * \file
 * \brief Short histories for tests: requests are numbers, times are
 * milliseconds.
 */
#ifndef COLT_TEST_HISTORY_STORY_H
#define COLT_TEST_HISTORY_STORY_H

#include "check.h"
#include "measures.h"

#define STORY_SERVERS 3u

/** A history that is being written. */
struct ColtStory
{
  struct ColtHistory *history;
  uint32_t line;
};

/**
 * Creates a history with servers 1 to 3, each of its own zone with 4 cores, 4
 * GB, 2 accelerators, 8 slots and 64 connections, and the teams "a" and "b".
 */
struct ColtStory *story_create (void);

/** Destroys a history. */
void story_destroy (struct ColtStory *story);

/** Adds a start of a task of team "a" with 1 core; may be changed until the
 * next. */
struct ColtHistoryEvent *story_start (struct ColtStory *story,
                                      int64_t t_ms,
                                      uint32_t server,
                                      unsigned request,
                                      uint32_t attempt);

/** Adds an end. */
struct ColtHistoryEvent *story_end (struct ColtStory *story,
                                    int64_t t_ms,
                                    uint32_t server,
                                    unsigned request,
                                    uint32_t attempt,
                                    enum ColtTaskState state);

/** Adds a record of a server that is about no task. */
struct ColtHistoryEvent *story_event (struct ColtStory *story,
                                      int64_t t_ms,
                                      uint32_t server,
                                      enum ColtHistoryEventKind kind);

/** Adds a start and the end of a task that finished on server 1. */
void story_run (struct ColtStory *story,
                unsigned request,
                int64_t from_ms,
                int64_t to_ms);

/** Adds a caller's record with the answer that is due to it if it is done. */
struct ColtHistoryCall *story_call (struct ColtStory *story,
                                    unsigned request,
                                    int64_t sent_ms,
                                    int64_t answered_ms,
                                    enum ColtHistoryOutcome outcome);

/** Sets an upper limit of tasks of team "a" from a time on. */
void story_limit (struct ColtStory *story, int64_t t_ms, int64_t tasks);

/** Adds a period to an array of the run. */
void
story_period (GArray *periods, uint32_t number, int64_t from_ms, int64_t to_ms);

/** Checks that exactly one promise is broken, \a count times, and that the
 * first violation says \a what and names records. */
void story_expect (const struct ColtStory *story,
                   enum ColtHistoryPromise promise,
                   uint64_t count,
                   const char *what);

/** Checks that no promise is broken. */
void story_expect_good (const struct ColtStory *story);

/** Measures the history. */
void story_measure (const struct ColtStory *story,
                    struct ColtHistoryMeasures *measures);

#endif
