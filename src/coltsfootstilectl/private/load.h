/**
 * \file
 * \brief Open-loop load: requests arrive at their own times, whether or not
 * earlier ones have been answered.
 */
#ifndef LOAD_H
#define LOAD_H

#include <stdio.h>

#include "work.h"

/** Most classes of a plan. */
#define COLT_LOAD_CLASSES_MAX 64u
/** Longest payload of a plan in bytes. */
#define COLT_LOAD_PAYLOAD_SIZE 160

/** Requests of one sort. */
struct ColtLoadClass
{
  char name[COLT_NAME_SIZE];
  char queue[COLT_NAME_SIZE];
  char team[COLT_NAME_SIZE]; /**< for the record; "" for none */
  char kind[COLT_NAME_SIZE];
  char key_file[COLT_LOAD_PAYLOAD_SIZE]; /**< "": no key */
  char payload[COLT_LOAD_PAYLOAD_SIZE];  /**< {run_ms} and {seed} are filled */
  int64_t share;
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t connections;
  int64_t tasks;
  int64_t run_ms;
  int64_t true_run_ms_min;
  int64_t true_run_ms_max;
  int64_t deadline_ms;
  int64_t urgent_permille;
  bool idempotent;
  bool wait;
  char *authorization; /**< NULL: no key */
};

/** What to load with. */
struct ColtLoadPlan
{
  GArray *classes; /**< of struct ColtLoadClass */
  int64_t share_sum;
};

/** Reads a plan and the keys that it names; prints every problem. */
bool colt_load_plan_read (struct ColtLoadPlan *plan, const char *path);

/** Frees what a plan holds. */
void colt_load_plan_clear (struct ColtLoadPlan *plan);

/** How to load. */
struct ColtLoadOptions
{
  const GPtrArray *entries;
  const struct ColtLoadPlan *plan;
  FILE *record; /**< NULL: nothing is recorded */
  int64_t seed;
  int64_t rate;        /**< arrivals a second */
  int64_t seconds;     /**< of arrivals */
  int64_t drain_s;     /**< how long answers are waited for afterwards */
  int64_t connections; /**< most connections to one entry instance */
  int64_t open_max;    /**< most requests without an answer */
  int64_t timeout_ms;  /**< of one call */
};

/** Runs a load and returns its summary. */
json_t *colt_load_run (const struct ColtLoadOptions *options);

#endif
