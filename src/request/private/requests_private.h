/**
 * \file
 * \brief What the files of the request table share.
 */
#ifndef COLTSFOOTSTILE_REQUESTS_PRIVATE_H
#define COLTSFOOTSTILE_REQUESTS_PRIVATE_H

#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/request.h"

/* Fingerprint of a request known from backend servers alone. */
#define COLT_FINGERPRINT_NONE UINT64_C (0)

enum ColtTimerKind
{
  TIMER_DEADLINE,
  TIMER_RETRY,
  TIMER_DROP_RESULT,
  TIMER_FORGET
};

struct ColtTimer
{
  int64_t time_us;
  struct ColtId id;
  uint32_t index; /* of the task, for TIMER_RETRY */
  enum ColtTimerKind kind;
};

struct ColtRequestShard
{
  uint64_t epoch; /* 0: not led */
  uint32_t known_since_s;
};

struct ColtRequests
{
  const struct ColtRequestCalls *calls;
  void *client;
  GHashTable *table; /* of struct ColtRequest, by id */
  GHashTable
      *servers;      /* number -> GHashTable: id -> attempts in flight there */
  GSequence *timers; /* of struct ColtTimer, by time */
  struct ColtRequestShard shards[COLT_SHARD_COUNT];
  struct ColtRequestStats stats;
};

/* requests.c */
/** Returns whether non-idempotent work may have run without a trace here. */
bool colt_requests_may_lack (const struct ColtRequests *requests,
                             const struct ColtId *id,
                             const struct ColtRequestSpec *spec);

/* request_table.c */
/** Finds a request, or returns NULL. */
struct ColtRequest *colt_requests_lookup (const struct ColtRequests *requests,
                                          const struct ColtId *id);
/** Finds a task if the reference and the epoch under which it was sent name its
 * newest attempt, or returns NULL. */
struct ColtRequestTask *
colt_requests_find_attempt (const struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            struct ColtRequest **request);
/** Adds a request whose tasks all wait; nothing is told. */
struct ColtRequest *colt_requests_add (struct ColtRequests *requests,
                                       const struct ColtId *id,
                                       const struct ColtRequestSpec *spec,
                                       int64_t now_us);
/** Frees a request that has left the table, and takes it out of the numbers. */
void colt_requests_free (struct ColtRequests *requests,
                         struct ColtRequest *request);
/** Notes that a request has one attempt more (1) or less (-1) in flight on a
 * backend server. */
void colt_requests_note_in_flight (struct ColtRequests *requests,
                                   const struct ColtRequest *request,
                                   uint32_t server,
                                   int change);
/** Rebuilds a request from what a backend server knows of a task of it. */
void colt_requests_recover (struct ColtRequests *requests,
                            const struct ColtTaskReport *report,
                            uint32_t server,
                            uint64_t server_epoch,
                            int64_t now_us);
/** Completes a recovered request by its caller's words. */
void colt_requests_adopt (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          const struct ColtRequestSpec *spec,
                          int64_t now_us);
/** Tells requests apart that use one id by mistake. */
uint64_t colt_request_fingerprint (const struct ColtRequestSpec *spec);

/* request_steps.c */
/** Moves a task to a state and counts it there. */
void colt_requests_set_state (struct ColtRequests *requests,
                              struct ColtRequest *request,
                              uint32_t index,
                              enum ColtRequestTaskState state);
/** A task wants a backend server. */
void colt_requests_make_ready (struct ColtRequests *requests,
                               struct ColtRequest *request,
                               uint32_t index);
/** A task gets no further attempt. */
void colt_requests_end_task (struct ColtRequests *requests,
                             struct ColtRequest *request,
                             uint32_t index,
                             int64_t now_us);
/** An attempt may have run to any point; nobody will see its end. */
void colt_requests_lose_task (struct ColtRequests *requests,
                              struct ColtRequest *request,
                              uint32_t index,
                              int64_t now_us);
/** Returns whether the task gets another attempt, and plans it. */
bool colt_requests_retry (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          uint32_t index,
                          int64_t now_us);
/** Ends the request if all of its tasks have ended. */
void colt_requests_judge (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          int64_t now_us);
/** The request is not to go on: what waits ends here, what runs is stopped. */
void colt_requests_abandon (struct ColtRequests *requests,
                            struct ColtRequest *request,
                            enum ColtReason reason,
                            int64_t now_us);
/** Returns whether an attempt ran or may have run. */
bool colt_request_ever_ran (const struct ColtRequest *request);
/** Returns whether an attempt of the task was sent or runs. */
bool colt_request_task_is_in_flight (const struct ColtRequestTask *task);
/** Returns whether a task was sent or runs. */
bool colt_request_is_in_flight (const struct ColtRequest *request);
/** Takes an ended attempt's report over into its task. */
void colt_requests_take_report (struct ColtRequests *requests,
                                struct ColtRequest *request,
                                struct ColtRequestTask *task,
                                const struct ColtTaskReport *report);
/** Frees the results of a request. */
void colt_requests_drop_results (struct ColtRequests *requests,
                                 struct ColtRequest *request);
/** Returns the number that counts tasks of a state, or NULL. */
uint32_t *colt_requests_state_counter (struct ColtRequests *requests,
                                       enum ColtRequestTaskState state);

/* request_timers.c */
/** Plans a step for a request; \a index names a task where the step concerns
 * one. */
void colt_requests_add_timer (struct ColtRequests *requests,
                              int64_t time_us,
                              const struct ColtId *id,
                              uint32_t index,
                              enum ColtTimerKind kind);
/** Plans to drop what is known of a request that ended, or was recovered, now.
 */
void colt_requests_plan_forgetting (struct ColtRequests *requests,
                                    struct ColtRequest *request,
                                    int64_t now_us);

/** Drops the results of the requests that ended first while there are too
 * many bytes of them. */
void colt_requests_bound_results (struct ColtRequests *requests);

/** Ends a request, and tells the client. */
void colt_requests_end (struct ColtRequests *requests,
                        struct ColtRequest *request,
                        enum ColtOutcome outcome,
                        enum ColtReason reason,
                        int64_t now_us);

#endif
