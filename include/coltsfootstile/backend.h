/**
 * \file
 * \brief Client of one backend server.
 *
 * A driver turns each call into a message and its answer into a typed struct.
 * It takes no decision of its own and never sends a call twice.
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
/** Largest answer in bytes. */
#define COLT_BACKEND_ANSWER_MAX (16u * 1024 * 1024)
/** Commands that may wait for the one that is open. */
#define COLT_BACKEND_QUEUE_MAX 64u
/** Fetches that may be open at a time. */
#define COLT_BACKEND_FETCH_MAX 64u

/** How a call ended. */
enum ColtBackendResult
{
  COLT_BACKEND_OK,       /**< the whole answer is there */
  COLT_BACKEND_FENCED,   /**< another holder or a higher epoch */
  COLT_BACKEND_REFUSED,  /**< answered with an error: nothing was done */
  COLT_BACKEND_NOT_SENT, /**< the server has certainly not seen the call */
  COLT_BACKEND_UNKNOWN   /**< sent, but there is no whole answer */
};

/** Names of enum ColtBackendResult, indexed by it. */
extern const char *const colt_backend_result_string[];

/** Who holds a backend server's lease. */
struct ColtBackendFence
{
  uint64_t epoch;
  uint32_t owner;       /**< instance number, 0: nobody */
  int64_t remaining_ms; /**< until the lease lapses */
};

/** What every call's end has in common. */
struct ColtBackendStatus
{
  enum ColtBackendResult result;
  int code;                      /**< HTTP status, 0 if there is none */
  int64_t sent_us;               /**< monotonic time before sending */
  struct ColtBackendFence fence; /**< if COLT_BACKEND_FENCED */
  struct ColtError error;        /**< unless COLT_BACKEND_OK */
};

/** A backend server's description of itself. */
struct ColtBackendDescription
{
  uint32_t id;
  uint32_t zone;
  uint32_t rack;
  struct ColtResources capacity;
  bool leaving;
  struct ColtBackendFence fence;
};

/** A lease that was taken, renewed or released. */
struct ColtBackendLease
{
  uint64_t epoch;
  char token[COLT_BACKEND_TOKEN_SIZE];
  int64_t lease_ms;
  bool leaving; /**< the server gets no new work */
};

/** Highest epoch of a shard that was seen in a start. */
struct ColtBackendShardEpoch
{
  uint32_t shard;
  uint64_t epoch;
};

/** What runs on a backend server or ended there lately. */
struct ColtBackendInventory
{
  char token[COLT_BACKEND_TOKEN_SIZE];
  const struct ColtTaskReport *tasks;
  size_t task_count;
  const struct ColtBackendShardEpoch *epochs;
  size_t epoch_count;
  uint64_t next;     /**< of events that follow; 0 if the server doesn't say */
  int64_t memory_ms; /**< how far back the server remembers, 0 if unknown */
};

/** A stop of one task. */
struct ColtBackendStop
{
  struct ColtTaskRef ref;
  bool checkpoint;
};

/** A new limit of one task. */
struct ColtBackendResize
{
  struct ColtTaskRef ref;
  struct ColtResources limit;
};

/** A batch of changes. */
struct ColtBackendChange
{
  uint64_t epoch;
  const char *token;
  const struct ColtTaskStart *starts;
  size_t start_count;
  const struct ColtBackendStop *stops;
  size_t stop_count;
  const struct ColtBackendResize *resizes;
  size_t resize_count;
  int64_t renew_ms; /**< extends all tasks' leases; 0: not */
};

/** What became of a start. */
enum ColtBackendStartStatus
{
  COLT_BACKEND_STARTED,
  COLT_BACKEND_DUPLICATE, /**< the attempt was seen before; nothing done */
  COLT_BACKEND_START_REFUSED
};

/** Names of enum ColtBackendStartStatus, indexed by it. */
extern const char *const colt_backend_start_status_string[];

/** The result of one start, in the order of the starts. */
struct ColtBackendStartResult
{
  struct ColtTaskRef ref;
  enum ColtBackendStartStatus status;
  char reason[COLT_BACKEND_REASON_SIZE]; /**< "" if started */
};

/** The answer to a batch of changes. */
struct ColtBackendChanged
{
  char token[COLT_BACKEND_TOKEN_SIZE];
  const struct ColtBackendStartResult *results;
  size_t result_count;
};

/** What happened to a task. */
enum ColtBackendEventKind
{
  COLT_BACKEND_EVENT_FINISHED,
  COLT_BACKEND_EVENT_USAGE,
  COLT_BACKEND_EVENT_LAPSED,
  COLT_BACKEND_EVENT_STOPPED
};

/** Names of enum ColtBackendEventKind, indexed by it. */
extern const char *const colt_backend_event_kind_string[];

/** One event. */
struct ColtBackendEvent
{
  uint64_t seq;
  enum ColtBackendEventKind kind;
  struct ColtTaskReport task;
};

/** Events behind a place in the server's sequence. */
struct ColtBackendEvents
{
  char token[COLT_BACKEND_TOKEN_SIZE];
  uint64_t next; /**< pass as \a after of the next call */
  const struct ColtBackendEvent *events;
  size_t count;
  bool leaving; /**< the server gets no new work */
};

/* Each takes the end of a call. The answer is NULL unless the result is
 * COLT_BACKEND_OK, and valid during the call only. */

/** Takes the end of a describe. */
typedef void (*ColtBackendDescribed) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendDescription *description);
/** Takes the end of an acquire, renew or release. */
typedef void (*ColtBackendLeased) (void *client,
                                   const struct ColtBackendStatus *status,
                                   const struct ColtBackendLease *lease);
/** Takes the end of an inventory. */
typedef void (*ColtBackendListed) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendInventory *inventory);
/** Takes the end of a change. */
typedef void (*ColtBackendChangeDone) (
    void *client,
    const struct ColtBackendStatus *status,
    const struct ColtBackendChanged *changed);
/** Takes the end of a wait for events. */
typedef void (*ColtBackendEventsDone) (void *client,
                                       const struct ColtBackendStatus *status,
                                       const struct ColtBackendEvents *events);
/** Takes the end of a fetch; \a report is NULL with COLT_BACKEND_OK if the
 * server has never seen the task. */
typedef void (*ColtBackendFetched) (void *client,
                                    const struct ColtBackendStatus *status,
                                    const struct ColtTaskReport *report);

/**
 * One way to speak with one backend server. A call ends exactly once, and
 * never before the function returns, except that cancel and destroy end what
 * is open. Commands go out one after another; one that finds the queue full
 * ends as COLT_BACKEND_NOT_SENT. Nothing may be called
 * from within a call that destroy ends.
 */
struct ColtBackendDriver
{
  /** Asks for the server's description. */
  void (*describe) (struct ColtBackendDriver *driver,
                    ColtBackendDescribed done,
                    void *client);
  /** Takes the lease with a new epoch. */
  void (*acquire) (struct ColtBackendDriver *driver,
                   uint32_t owner,
                   uint64_t epoch,
                   int64_t lease_ms,
                   ColtBackendLeased done,
                   void *client);
  /** Renews the lease, which then runs from the issue of \a token. */
  void (*renew) (struct ColtBackendDriver *driver,
                 uint32_t owner,
                 uint64_t epoch,
                 const char *token,
                 int64_t lease_ms,
                 ColtBackendLeased done,
                 void *client);
  /** Gives the lease up at once. */
  void (*release) (struct ColtBackendDriver *driver,
                   uint32_t owner,
                   uint64_t epoch,
                   const char *token,
                   ColtBackendLeased done,
                   void *client);
  /** Asks for all tasks that run or ended lately. */
  void (*inventory) (struct ColtBackendDriver *driver,
                     uint64_t epoch,
                     ColtBackendListed done,
                     void *client);
  /** Starts, stops, resizes and renews tasks. */
  void (*change) (struct ColtBackendDriver *driver,
                  const struct ColtBackendChange *change,
                  ColtBackendChangeDone done,
                  void *client);
  /** Waits up to \a wait_ms for events behind \a after; one wait may be open
   * at a time. */
  void (*events) (struct ColtBackendDriver *driver,
                  uint64_t epoch,
                  uint64_t after,
                  uint32_t wait_ms,
                  ColtBackendEventsDone done,
                  void *client);
  /** Asks for one task, always on a new connection. */
  void (*fetch) (struct ColtBackendDriver *driver,
                 const struct ColtTaskRef *ref,
                 ColtBackendFetched done,
                 void *client);
  /** Ends open calls and closes all connections. */
  void (*cancel) (struct ColtBackendDriver *driver);
  /** Frees the driver. */
  void (*destroy) (struct ColtBackendDriver *driver);
};

/**
 * Creates the driver that speaks HTTP with JSON bodies.
 *
 * \param base        the loop, which must outlive the driver
 * \param address     IP:PORT of the server
 * \param timeout_ms  until a command counts as lost; events wait on top of it
 */
struct ColtBackendDriver *colt_backend_http_create (struct event_base *base,
                                                    const char *address,
                                                    uint32_t timeout_ms);

#endif
