/**
 * \file
 * \brief Internals of the request table.
 */
#ifndef COLTSFOOTSTILE_REQUESTS_PRIVATE_H
#define COLTSFOOTSTILE_REQUESTS_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/request.h"

/* Fingerprint of a recovered request whose specification is unknown. */
#define COLT_FINGERPRINT_NONE UINT64_C (0)

enum ColtTimerKind
{
  TIMER_DEADLINE,
  TIMER_RETRY,
  TIMER_DROP_RESULT,
  TIMER_REMOVE
};

struct ColtTimer
{
  int64_t time_us;
  struct ColtId id;
  uint32_t index; /* of the task to retry, for TIMER_RETRY only */
  enum ColtTimerKind kind;
};

struct ColtRequestShard
{
  uint64_t epoch;         /* 0 while the shard is closed */
  uint32_t known_since_s; /* wall clock, start of complete reports */
};

struct ColtRequests
{
  const struct ColtRequestCalls *calls;
  void *client;
  GHashTable *table;   /* id -> struct ColtRequest */
  GHashTable *servers; /* server -> GHashTable of id -> attempts in flight */
  GSequence *timers;   /* of struct ColtTimer, sorted by time */
  struct ColtRequestShard shards[COLT_SHARD_COUNT];
  struct ColtRequestStats stats;
};

/* requests.c */
/** Returns whether a request is not idempotent and the shard's reports don't
 * reach back to its id, so that it may have run unrecorded. */
bool colt_requests_may_lack_history (const struct ColtRequests *requests,
                                     const struct ColtId *id,
                                     const struct ColtRequestSpec *spec);

/* request_table.c */
/** Finds a request, or returns NULL. */
struct ColtRequest *colt_requests_lookup (const struct ColtRequests *requests,
                                          const struct ColtId *id);
/** Finds the task whose newest attempt has a reference and was sent at a shard
 * epoch, or returns NULL; sets \a request to the task's request, or to NULL if
 * the table lacks it. */
struct ColtRequestTask *
colt_requests_find_attempt (const struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            struct ColtRequest **request);
/** Adds a request whose tasks all wait; makes no callback. */
struct ColtRequest *colt_requests_add (struct ColtRequests *requests,
                                       const struct ColtId *id,
                                       const struct ColtRequestSpec *spec,
                                       int64_t now_us);
/** Frees a request that was removed from the hash table, and subtracts it from
 * the statistics. */
void colt_requests_free (struct ColtRequests *requests,
                         struct ColtRequest *request);
/** Adds \a change, 1 or -1, to the number of a request's attempts in flight on
 * a backend server. */
void colt_requests_count_in_flight (struct ColtRequests *requests,
                                    const struct ColtRequest *request,
                                    uint32_t server,
                                    int change);
/** Recovers a task, and its request if that is missing, from the report of a
 * backend server. */
void colt_requests_recover (struct ColtRequests *requests,
                            const struct ColtTaskReport *report,
                            uint32_t server,
                            uint64_t server_epoch,
                            int64_t now_us);
/** Gives a recovered request the specification from its caller, and queues or
 * ends the tasks of which no attempt was reported. */
void colt_requests_apply_spec (struct ColtRequests *requests,
                               struct ColtRequest *request,
                               const struct ColtRequestSpec *spec,
                               int64_t now_us);
/** Hashes a specification, to detect different requests with the same id. */
uint64_t colt_request_fingerprint (const struct ColtRequestSpec *spec);

/* request_steps.c */
/** Sets the state of a task and updates the statistics. */
void colt_requests_set_state (struct ColtRequests *requests,
                              struct ColtRequest *request,
                              uint32_t index,
                              enum ColtRequestTaskState state);
/** Queues a task until a backend server is chosen for it. */
void colt_requests_queue_task (struct ColtRequests *requests,
                               struct ColtRequest *request,
                               uint32_t index);
/** Ends a task, and its request if that was the last open task. */
void colt_requests_end_task (struct ColtRequests *requests,
                             struct ColtRequest *request,
                             uint32_t index,
                             int64_t now_us);
/** Handles an attempt that may have run and whose end stays unknown: its task
 * is retried, or ends as uncertain. */
void colt_requests_handle_task_loss (struct ColtRequests *requests,
                                     struct ColtRequest *request,
                                     uint32_t index,
                                     int64_t now_us);
/** Schedules another attempt at a task after a delay; returns false if the task
 * may not be retried. */
bool colt_requests_schedule_retry (struct ColtRequests *requests,
                                   struct ColtRequest *request,
                                   uint32_t index,
                                   int64_t now_us);
/** Ends a request if all of its tasks have ended; restarts the retention time
 * of a recovered request. */
void colt_requests_try_end (struct ColtRequests *requests,
                            struct ColtRequest *request,
                            int64_t now_us);
/** Abandons a request: ends the tasks that wait, and stops those in flight. */
void colt_requests_abandon (struct ColtRequests *requests,
                            struct ColtRequest *request,
                            enum ColtReason reason,
                            int64_t now_us);
/** Returns whether an attempt of a request ran or may have run. */
bool colt_request_ever_ran (const struct ColtRequest *request);
/** Returns whether a task was sent to an owner or runs. */
bool colt_request_task_is_in_flight (const struct ColtRequestTask *task);
/** Returns whether a task of a request was sent to an owner or runs. */
bool colt_request_is_in_flight (const struct ColtRequest *request);
/** Copies the report of an ended attempt, with its result, to the task. */
void colt_requests_store_report (struct ColtRequests *requests,
                                 struct ColtRequest *request,
                                 struct ColtRequestTask *task,
                                 const struct ColtTaskReport *report);
/** Frees the results of a request. */
void colt_requests_drop_results (struct ColtRequests *requests,
                                 struct ColtRequest *request);
/** Returns the statistic that counts tasks in a state, or NULL. */
uint32_t *colt_requests_state_counter (struct ColtRequests *requests,
                                       enum ColtRequestTaskState state);

/* request_timers.c */
/** Adds a timer for a request; \a index is the task of a TIMER_RETRY. */
void colt_requests_add_timer (struct ColtRequests *requests,
                              int64_t time_us,
                              const struct ColtId *id,
                              uint32_t index,
                              enum ColtTimerKind kind);
/** Starts the retention time of a request that ended or was recovered, and
 * schedules its removal. */
void colt_requests_schedule_removal (struct ColtRequests *requests,
                                     struct ColtRequest *request,
                                     int64_t now_us);

/** Drops results, those of the requests that ended first, until all results
 * take at most COLT_RESULT_BYTES_MAX. */
void colt_requests_limit_results (struct ColtRequests *requests);

/* request_steps.c */
/** Ends a request and calls ColtRequestCalls::on_ended. */
void colt_requests_end (struct ColtRequests *requests,
                        struct ColtRequest *request,
                        enum ColtOutcome outcome,
                        enum ColtReason reason,
                        int64_t now_us);

#endif
