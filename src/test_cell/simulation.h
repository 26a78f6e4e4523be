/* A world of backend servers, a log and a line of leads, in steps of simulated
 * time, with every loss that the platform allows. It checks the promises from
 * what the servers see. */
#ifndef COLT_TEST_CELL_WORLD_H
#define COLT_TEST_CELL_WORLD_H

#include <glib.h>

#include "coltsfootstile/cell.h"

struct ColtWorld;

struct ColtWorldPlan
{
  uint32_t seed;
  uint32_t servers;
  uint32_t jobs;
  uint32_t steps;      /* of simulated time, 10 ms each */
  double lost_answers; /* share of orders */
  double late_orders;  /* share that is carried out seconds later */
  double failing_runs; /* share of runs */
  double lead_changes; /* share of steps */
  double cuts;         /* share of steps in which a server is cut off */
  double crashes;      /* share of steps in which a server crashes */
  double cancels;      /* share of steps in which a job is cancelled */
};

struct ColtWorldResult
{
  uint32_t accepted;
  uint32_t completed;
  uint32_t failed;
  uint32_t starts;
  uint32_t leads;
};

/* Plays a plan to its end and asserts the promises on the way. */
void colt_world_play (const struct ColtWorldPlan *plan,
                      struct ColtWorldResult *result);

#endif
