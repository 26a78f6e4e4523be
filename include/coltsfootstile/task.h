/**
 * \file
 * \brief Tasks that backend servers run for entry instances.
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
/** Most tasks of a request. */
#define COLT_TASKS_PER_REQUEST_MAX 256u
/** Size in bytes of a task's text name, "REQUEST-INDEX", with the final zero.
 */
#define COLT_TASK_TEXT_SIZE 40

/** Duration of the lease on a backend server, in milliseconds. */
#define COLT_SERVER_LEASE_MS 2000
/** Duration of the lease of a task, in milliseconds. */
#define COLT_TASK_LEASE_MS 10000
/** Time for which a backend server keeps the record of an ended task, in
 * seconds. */
#define COLT_TASK_RETENTION_S 900
/** Margin for clock drift, in thousandths of the time waited. */
#define COLT_DRIFT_PERMILLE 20

/** Kind of work that a request asks for. */
enum ColtWorkKind
{
  COLT_WORK_INTERACTIVE, /**< short; the caller waits for the result */
  COLT_WORK_SERVICE,     /**< runs until it is cancelled */
  COLT_WORK_BATCH,       /**< may wait; uses free capacity */
  COLT_WORK_GANG,        /**< all tasks start together or none does */
  COLT_WORK_KIND_COUNT   /**< number of kinds, not a kind */
};

/** Names of enum ColtWorkKind, indexed by it. */
extern const char *const colt_work_kind_string[];

/** State of a task on its backend server. */
enum ColtTaskState
{
  COLT_TASK_RUNNING,
  COLT_TASK_FINISHED, /**< exited with status 0 */
  COLT_TASK_FAILED,   /**< exited with another status, or reached its limit */
  COLT_TASK_LAPSED,   /**< stopped by the server when its lease expired */
  COLT_TASK_STOPPED   /**< stopped by its owner */
};

/** Names of enum ColtTaskState, indexed by it. */
extern const char *const colt_task_state_string[];

/** Identifies one attempt at a task. */
struct ColtTaskRef
{
  struct ColtId request;
  uint32_t index;   /**< of the task within its request, from 0 */
  uint32_t attempt; /**< from 1 */
};

/** Start of a task, fenced by the epoch of the request's shard. */
struct ColtTaskStart
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  struct ColtResources limit; /**< enforced by the server */
  int64_t lease_ms;
  const uint8_t *payload; /**< not owned */
  size_t payload_size;
};

/** Report of a backend server on a task. */
struct ColtTaskReport
{
  struct ColtTaskRef ref;
  uint32_t shard;
  uint64_t shard_epoch;
  char team[COLT_NAME_SIZE];
  enum ColtWorkKind kind;
  enum ColtTaskState state;
  struct ColtResources limit;
  struct ColtResources usage; /**< measured, with a lag */
  int64_t run_ms;             /**< run time so far */
  int exit_status;            /**< valid unless the task runs */
  const uint8_t *result; /**< not owned; NULL if not included in the report */
  size_t result_size;    /**< in bytes, also if the result isn't included */
};

/** Writes a task's text name, "REQUEST-INDEX", into \a text and returns it. */
const char *colt_task_format (const struct ColtTaskRef *ref,
                              char text[COLT_TASK_TEXT_SIZE]);

/**
 * Parses a task's text name and sets the attempt to 0.
 *
 * \return false with COLT_ERROR_INVALID if \a text is not a task's name
 */
bool colt_task_parse (const char *text,
                      struct ColtTaskRef *ref,
                      struct ColtError *error);

/** Parses the name of a kind; returns false if no kind has the name. */
bool colt_work_kind_parse (const char *name, enum ColtWorkKind *kind);

/** Parses the name of a task state; returns false if no state has the name. */
bool colt_task_state_parse (const char *name, enum ColtTaskState *state);

/** Returns whether two references identify the same attempt at a task. */
bool colt_task_equal (const struct ColtTaskRef *a, const struct ColtTaskRef *b);

#endif
