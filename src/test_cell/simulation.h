/* Simulation of a cell with its backend servers, the durable log and a sequence
 * of leaders, in steps of simulated time. It injects every fault that the
 * platform allows and checks the cell's invariants at the servers. */
#ifndef COLT_TEST_CELL_SIMULATION_H
#define COLT_TEST_CELL_SIMULATION_H

#include <glib.h>

#include "coltsfootstile/cell.h"

struct ColtSim;

/* Size of a simulation, and its faults as probabilities from 0 to 1. These
 * faults are injected during the planned steps only. */
struct ColtSimPlan
{
  uint32_t seed;         /* of the random numbers */
  uint32_t servers;      /* number of servers */
  uint32_t jobs;         /* number of jobs to submit */
  uint32_t steps;        /* 10 ms of simulated time each */
  double lost_answers;   /* per order or advice call */
  double late_orders;    /* per start or stop: executed up to 6 s later */
  double failing_runs;   /* per run */
  double leader_changes; /* per step */
  double partitions;     /* per step and server, for 0.1 to 9 s */
  double crashes;        /* per step and server */
  double cancels;        /* per step: cancels one random job */
  /* Per job: one of its tasks crashes each server that starts it, which is back
   * after some seconds. Also after the planned steps. */
  double deadly_tasks;
  double shrinking_rooms; /* per step and server, for 1.5 to 6 s */
  double log_outages;     /* per step: no batch is durable for 0.1 to 3 s */
  /* Per step: a request to evacuate a zone begins or ends. */
  double evacuations;
  /* Most ends in one report; 0: no limit. Also after the planned steps. */
  uint32_t listed_ends;
  bool policies; /* jobs have objectives; admission by forecast */
};

/* Counts of a simulation. */
struct ColtSimResult
{
  uint32_t rejected; /* jobs, by the forecast; the next job has the same id */
  uint32_t accepted; /* jobs that the last leader has a record of */
  uint32_t completed;
  uint32_t failed;
  uint32_t deadly;  /* accepted jobs with a task that crashes servers */
  uint32_t starts;  /* runs started by servers */
  uint32_t crashes; /* of servers, by tasks that crash them */
  uint32_t
      overfull_rooms; /* rooms that shrank below the demand of their runs */
  uint32_t shrunken_starts; /* starts ordered while the entry showed a shrunken
                               room */
  uint32_t leaders;
  uint32_t evacuations; /* requests to evacuate a zone */
  uint32_t cut_lists;   /* reports without the latest ends */
};

/* Runs a simulation and asserts the cell's invariants in it. After the planned
 * steps it continues without faults until all jobs must have ended. */
void colt_sim_run (const struct ColtSimPlan *plan,
                   struct ColtSimResult *result);

#endif
