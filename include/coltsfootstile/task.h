/**
 * \file
 * \brief Tasks as backend servers run them and entry instances speak of them.
 */
#ifndef COLTSFOOTSTILE_TASK_H
#define COLTSFOOTSTILE_TASK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coltsfootstile/id.h"
#include "coltsfootstile/resources.h"

/** Size in bytes of a name (team, queue, organisation), with the final zero. */
#define COLT_NAME_SIZE 48
/** Most tasks that one request may have. */
#define COLT_TASKS_PER_REQUEST_MAX 256u
/** Size of a task's text name, "REQUEST-INDEX", with the final zero. */
#define COLT_TASK_TEXT_SIZE 40

/** How long the lease on a backend server runs, in milliseconds. */
#define COLT_SERVER_LEASE_MS 2000
/** How long the lease of a task runs, in milliseconds. */
#define COLT_TASK_LEASE_MS 10000
/** How long a backend server keeps what it knows of an ended task, in seconds.
 */
#define COLT_TASK_RETENTION_S 900
/** Margin for clocks that drift, in thousandths of the time waited. */
#define COLT_DRIFT_PERMILLE 20

/** What kind of work a request is. */
enum ColtWorkKind
{
  COLT_WORK_INTERACTIVE, /**< short, the caller waits */
  COLT_WORK_SERVICE,     /**< runs until it is cancelled */
  COLT_WORK_BATCH,       /**< may wait; fills what is free */
  COLT_WORK_GANG,        /**< all tasks at once or none */
  COLT_WORK_KIND_COUNT   /**< number of kinds, not a kind */
};

/** Names of enum ColtWorkKind, indexed by it. */
extern const char *const colt_work_kind_string[];

/** Where a task stands on its backend server. */
enum ColtTaskState
{
  COLT_TASK_RUNNING,
  COLT_TASK_FINISHED, /**< ended by itself with exit 0 */
  COLT_TASK_FAILED,   /**< ended by itself with another exit, or at its limit */
  COLT_TASK_LAPSED,   /**< stopped by the server: its lease ran out */
  COLT_TASK_STOPPED   /**< stopped by its owner */
};

/** Names of enum ColtTaskState, indexed by it. */
extern const char *const colt_task_state_string[];

/** Names one attempt at a task. */
struct ColtTaskRef
{
  struct ColtId request;
  uint32_t index;   /**< of the task within its request */
  uint32_t attempt; /**< from 1 */
};

/** A start, fenced by the epoch of the request's shard. */
struct ColtTaskStart
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources limit; /**< what the server holds the task to */
  int64_t lease_ms;
  const uint8_t *payload; /**< not owned */
  size_t payload_size;
};

/** What a backend server reports of a task. */
struct ColtTaskReport
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  enum ColtTaskState state;
  struct ColtResources limit;
  struct ColtResources usage; /**< lags */
  int64_t run_ms;             /**< so far */
  int exit_status;
  const uint8_t *result; /**< not owned; NULL while the task runs */
  size_t result_size;
};

/** Writes a task's text name into \a text and returns it. */
const char *colt_task_format (const struct ColtTaskRef *ref,
                              char text[COLT_TASK_TEXT_SIZE]);

/** Reads a task's text name; the attempt is set to 0. */
bool colt_task_parse (const char *text,
                      struct ColtTaskRef *ref,
                      struct ColtError *error);

/** Finds the kind of a name; returns false if there is none. */
bool colt_work_kind_parse (const char *name, enum ColtWorkKind *kind);

/** Finds the task state of a name; returns false if there is none. */
bool colt_task_state_parse (const char *name, enum ColtTaskState *state);

/** Returns whether two references name the same attempt at the same task. */
bool colt_task_equal (const struct ColtTaskRef *a, const struct ColtTaskRef *b);

#endif
