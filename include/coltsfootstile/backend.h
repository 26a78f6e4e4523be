/**
 * \file
 * \brief Client of one backend server.
 *
 * A driver sends each call as a message and decodes the answer into a typed
 * struct. It makes no decisions and never sends a call twice.
 */
#ifndef COLTSFOOTSTILE_BACKEND_H
#define COLTSFOOTSTILE_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/error.h"
#include "coltsfootstile/resources.h"
#include "coltsfootstile/task.h"

struct event_base;

/** Size in bytes of a renewal token, with the final zero. */
#define COLT_BACKEND_TOKEN_SIZE 64
/** Size in bytes of a reason, with the final zero. */
#define COLT_BACKEND_REASON_SIZE 64
/** Largest body of an answer in bytes. */
#define COLT_BACKEND_ANSWER_MAX (16u * 1024 * 1024)
/** Most commands that may wait behind the open one. */
#define COLT_BACKEND_QUEUE_MAX 64u
/** Most fetches that may be open at a time. */
#define COLT_BACKEND_FETCH_MAX 64u

/** How a call ended. */
enum ColtBackendResult
{
  COLT_BACKEND_OK,       /**< the whole answer has arrived */
  COLT_BACKEND_FENCED,   /**< another owner or a higher epoch holds the lease */
  COLT_BACKEND_REFUSED,  /**< the server refused the call and did nothing */
  COLT_BACKEND_NOT_SENT, /**< the server has certainly not received the call */
  COLT_BACKEND_UNKNOWN   /**< sent, but no whole and valid answer has arrived */
};

/** Names of enum ColtBackendResult, indexed by it. */
extern const char *const colt_backend_result_string[];

/** Owner of a backend server's lease. */
struct ColtBackendFence
{
  uint64_t epoch;
  uint32_t owner;       /**< instance number; 0 if there is no owner */
  int64_t remaining_ms; /**< time until the lease expires */
};

/** Outcome of a call, common to all calls. */
struct ColtBackendStatus
{
  enum ColtBackendResult result;
  int code;                      /**< HTTP status; 0 if there is none */
  int64_t sent_us;               /**< monotonic time before the call was sent */
  struct ColtBackendFence fence; /**< set if COLT_BACKEND_FENCED */
  struct ColtError error;        /**< set unless COLT_BACKEND_OK */
};

/** A backend server's description of itself. */
struct ColtBackendDescription
{
  uint32_t id;
  uint32_t zone;
  uint32_t rack;
  struct ColtResources capacity;
  bool leaving; /**< the server gets no new work */
  struct ColtBackendFence fence;
};

/** A lease that was acquired, renewed or released. */
struct ColtBackendLease
{
  uint64_t epoch;
  char token[COLT_BACKEND_TOKEN_SIZE]; /**< renewal token of this answer */
  int64_t lease_ms;
  bool leaving; /**< the server gets no new work */
};

/** Highest epoch of a shard that the server has received in a start. */
struct ColtBackendShardEpoch
{
  uint32_t shard;
  uint64_t epoch;
};

/** Tasks that run on a backend server or ended recently. */
struct ColtBackendInventory
{
  char token[COLT_BACKEND_TOKEN_SIZE]; /**< renewal token of this answer */
  const struct ColtTaskReport *tasks;
  size_t task_count;
  const struct ColtBackendShardEpoch *epochs;
  size_t epoch_count;
  uint64_t next;      /**< pass as \a after to events(); 0 if not reported */
  int64_t history_ms; /**< period whose ended tasks are listed; 0 if unknown */
};

/** Request to stop one task. */
struct ColtBackendStop
{
  struct ColtTaskRef ref;
  bool checkpoint; /**< the task is checkpointed when it is stopped */
};

/** Request to change the limit of one task. */
struct ColtBackendResize
{
  struct ColtTaskRef ref;
  struct ColtResources limit;
};

/** A batch of changes. All arrays are owned by the caller. */
struct ColtBackendChange
{
  uint64_t epoch;    /**< epoch of the server's lease */
  const char *token; /**< renewal token of an earlier answer */
  const struct ColtTaskStart *starts;
  size_t start_count;
  const struct ColtBackendStop *stops;
  size_t stop_count;
  const struct ColtBackendResize *resizes;
  size_t resize_count;
  int64_t renew_ms; /**< new duration of all tasks' leases; 0: unchanged */
};

/** Outcome of a start. */
enum ColtBackendStartStatus
{
  COLT_BACKEND_STARTED,
  COLT_BACKEND_DUPLICATE, /**< the attempt was received before; nothing done */
  COLT_BACKEND_START_REFUSED
};

/** Names of enum ColtBackendStartStatus, indexed by it. */
extern const char *const colt_backend_start_status_string[];

/** The result of one start, in the order of the starts. */
struct ColtBackendStartResult
{
  struct ColtTaskRef ref;
  enum ColtBackendStartStatus status;
  char reason[COLT_BACKEND_REASON_SIZE]; /**< "" unless refused */
};

/** Answer to a batch of changes. */
struct ColtBackendChangeAnswer
{
  char token[COLT_BACKEND_TOKEN_SIZE]; /**< renewal token of this answer */
  const struct ColtBackendStartResult *results;
  size_t result_count;
};

/** Kind of an event of a task. */
enum ColtBackendEventKind
{
  COLT_BACKEND_EVENT_FINISHED,
  COLT_BACKEND_EVENT_USAGE,
  COLT_BACKEND_EVENT_LAPSED,
  COLT_BACKEND_EVENT_STOPPED
};

/** Names of enum ColtBackendEventKind, indexed by it. */
extern const char *const colt_backend_event_kind_string[];

/** An event of a task. */
struct ColtBackendEvent
{
  uint64_t seq; /**< position in the server's sequence of events */
  enum ColtBackendEventKind kind;
  struct ColtTaskReport task;
};

/** Events after a position in the server's sequence of events. */
struct ColtBackendEvents
{
  char token[COLT_BACKEND_TOKEN_SIZE]; /**< renewal token of this answer */
  uint64_t next; /**< pass as \a after to the next events() */
  const struct ColtBackendEvent *events;
  size_t count;
  bool leaving; /**< the server gets no new work */
};

/* Callbacks for the end of a call. The answer is NULL unless the result is
 * COLT_BACKEND_OK, and valid during the callback only. */

/** Callback for the end of describe(). */
typedef void (*ColtBackendDescribeDone) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendDescription *description);
/** Callback for the end of acquire(), renew() or release(). */
typedef void (*ColtBackendLeaseDone) (void *client,
                                      const struct ColtBackendStatus *status,
                                      const struct ColtBackendLease *lease);
/** Callback for the end of inventory(). */
typedef void (*ColtBackendInventoryDone) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendInventory *inventory);
/** Callback for the end of change(). */
typedef void (*ColtBackendChangeDone) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendChangeAnswer *answer);
/** Callback for the end of events(). */
typedef void (*ColtBackendEventsDone) (void *client,
                                       const struct ColtBackendStatus *status,
                                       const struct ColtBackendEvents *events);
/** Callback for the end of fetch(); \a report is NULL with COLT_BACKEND_OK if
 * the server has no record of the task. */
typedef void (*ColtBackendFetchDone) (void *client,
                                      const struct ColtBackendStatus *status,
                                      const struct ColtTaskReport *report);

/**
 * Driver of one backend server. Each call ends exactly once with its callback,
 * after the function has returned; cancel() and destroy() end the open calls
 * before they return. Commands (all calls but events() and fetch()) are sent
 * one after another; a command that finds the queue full, and a fetch beyond
 * COLT_BACKEND_FETCH_MAX, end as COLT_BACKEND_NOT_SENT. A callback that
 * destroy() runs must not call the driver.
 */
struct ColtBackendDriver
{
  /** Gets the server's description. */
  void (*describe) (struct ColtBackendDriver *driver,
                    ColtBackendDescribeDone done,
                    void *client);
  /** Acquires the lease with a new epoch. \a owner is an instance number. */
  void (*acquire) (struct ColtBackendDriver *driver,
                   uint32_t owner,
                   uint64_t epoch,
                   int64_t lease_ms,
                   ColtBackendLeaseDone done,
                   void *client);
  /** Renews the lease, which then runs from the time at which the server issued
   * \a token. */
  void (*renew) (struct ColtBackendDriver *driver,
                 uint32_t owner,
                 uint64_t epoch,
                 const char *token,
                 int64_t lease_ms,
                 ColtBackendLeaseDone done,
                 void *client);
  /** Releases the lease immediately. */
  void (*release) (struct ColtBackendDriver *driver,
                   uint32_t owner,
                   uint64_t epoch,
                   const char *token,
                   ColtBackendLeaseDone done,
                   void *client);
  /** Gets all tasks that run or ended recently. */
  void (*inventory) (struct ColtBackendDriver *driver,
                     uint64_t epoch,
                     ColtBackendInventoryDone done,
                     void *client);
  /** Starts, stops and resizes tasks, and renews the leases of all tasks. */
  void (*change) (struct ColtBackendDriver *driver,
                  const struct ColtBackendChange *change,
                  ColtBackendChangeDone done,
                  void *client);
  /** Waits up to \a wait_ms for events after \a after, independently of
   * commands. One wait may be open at a time. */
  void (*events) (struct ColtBackendDriver *driver,
                  uint64_t epoch,
                  uint64_t after,
                  uint32_t wait_ms,
                  ColtBackendEventsDone done,
                  void *client);
  /** Gets the report of one task, always on a new connection. */
  void (*fetch) (struct ColtBackendDriver *driver,
                 const struct ColtTaskRef *ref,
                 ColtBackendFetchDone done,
                 void *client);
  /** Ends open calls and closes all connections. */
  void (*cancel) (struct ColtBackendDriver *driver);
  /** Ends open calls and frees the driver. */
  void (*destroy) (struct ColtBackendDriver *driver);
};

/**
 * Creates a driver that uses HTTP with JSON bodies; destroy() frees it. The
 * process must ignore SIGPIPE.
 *
 * \param base        the event loop, which must outlive the driver
 * \param address     IP:PORT of the server
 * \param timeout_ms  timeout of a call, at least 1; events() adds its wait_ms
 */
struct ColtBackendDriver *colt_backend_http_create (struct event_base *base,
                                                    const char *address,
                                                    uint32_t timeout_ms);

#endif
