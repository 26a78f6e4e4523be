/**
 * \file
 * \brief Open-loop load generator: requests arrive at random times, whether or
 * not earlier requests have been answered.
 */
#ifndef LOAD_H
#define LOAD_H

#include <stdio.h>

#include "work.h"

/** Maximum number of classes in a plan. */
#define COLT_LOAD_CLASSES_MAX 64u
/** Size in bytes of a payload or of a key file's path, with the final zero. */
#define COLT_LOAD_PAYLOAD_SIZE 160

/** A class of similar requests. */
struct ColtLoadClass
{
  char name[COLT_NAME_SIZE];
  char queue[COLT_NAME_SIZE];
  char team[COLT_NAME_SIZE]; /**< written to the record file; may be "" */
  char kind[COLT_NAME_SIZE]; /**< name of an enum ColtWorkKind */
  char key_file[COLT_LOAD_PAYLOAD_SIZE]; /**< path of the caller's key; "" for
                                            none */
  char payload[COLT_LOAD_PAYLOAD_SIZE];  /**< template: {run_ms} and {seed} are
                                              replaced for each request */
  int64_t share;                         /**< weight among the classes */
  int64_t cores_milli;                   /**< thousandths of a core */
  int64_t memory_mb;                     /**< mebibytes */
  int64_t accelerators;
  int64_t connections;
  int64_t tasks;
  int64_t run_ms;          /**< declared run time; 0 for none */
  int64_t true_run_ms_min; /**< least {run_ms} of the payload */
  int64_t true_run_ms_max; /**< largest {run_ms} of the payload */
  int64_t deadline_ms;     /**< from submission; 0 for the bundle's deadline */
  int64_t urgent_permille; /**< share of urgent requests */
  bool idempotent;
  bool wait; /**< whether a call is answered only when the work has ended */
  char *authorization; /**< value of the Authorization header; NULL for none */
};

/** Classes of requests, read from a file. */
struct ColtLoadPlan
{
  GArray *classes;   /**< of struct ColtLoadClass */
  int64_t share_sum; /**< sum of the classes' shares */
};

/**
 * Reads a plan and the key files that it names, and prints every problem on
 * standard error.
 *
 * \param plan  to be cleared with colt_load_plan_clear(), also on failure
 * \return whether the plan is valid
 */
bool colt_load_plan_read (struct ColtLoadPlan *plan, const char *path);

/** Frees the members of a plan. */
void colt_load_plan_clear (struct ColtLoadPlan *plan);

/** Parameters of a load. */
struct ColtLoadOptions
{
  const GPtrArray *entries; /**< addresses of entry instances, IP:PORT */
  const struct ColtLoadPlan *plan;
  FILE *record;           /**< gets one JSON line per request; NULL for none */
  int64_t seed;           /**< of all random choices */
  int64_t rate;           /**< arrivals per second */
  int64_t seconds;        /**< length of the period of arrivals */
  int64_t drain_s;        /**< seconds to wait for answers after the arrivals */
  int64_t connections;    /**< maximum number of connections to an instance */
  int64_t open_max;       /**< maximum number of unanswered requests */
  int64_t timeout_ms;     /**< of one call */
  int64_t retry_permille; /**< of 1,000 requests, those that repeat a call
                               answered with status 503 elsewhere */
};

/** Runs a load and returns its summary, a new reference to a JSON object. */
json_t *colt_load_run (const struct ColtLoadOptions *options);

#endif
