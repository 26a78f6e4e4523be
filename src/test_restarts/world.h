/* A leader with model backend servers that crash, restart and are cut off, in
 * virtual time. The leader, its cell and its links are the real ones; they use
 * the log and the servers through a table of ports. What the servers see is
 * checked at each event: no task runs twice at the same time, and none runs
 * again after its end was acknowledged. */
#ifndef COLT_TEST_RESTARTS_WORLD_H
#define COLT_TEST_RESTARTS_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/* Size of a world, and its faults, which are injected for a limited time. Rates
 * are means per second, probabilities are from 0 to 1. */
struct ColtWorldPlan
{
  uint32_t seed;          /* of the random numbers */
  uint32_t servers;       /* number of machines */
  uint32_t seconds;       /* with faults and new jobs */
  double jobs;            /* rate of submissions */
  double cancels;         /* probability that a job is cancelled */
  double crashes;         /* rate, of one or several servers at once */
  double silent;          /* probability that a crash resets no connection */
  double short_downtimes; /* probability that a restart takes 0.05 to 0.6 s
                             instead of 0.05 to 5 s */
  double next_lives;      /* probability that a new life crashes soon too */
  double clocks_ahead;    /* probability that a new life's clock is ahead of the
                             former one's, instead of anywhere */
  double other_ids;       /* probability that a new life has another id */
  double clock_steps;     /* probability that the wall clock steps before a new
                             life */
  double cuts;            /* rate, of one server, in one or both ways */
  double late_calls;      /* per call: executed 0.1 to 3 s later, without an
                             answer */
  double late_calls_reborn; /* per late call: executed by a later life */
  double lost_answers;      /* per call */
  double late_answers;      /* per call: answered up to 200 ms later */
  double entry_faults;      /* rate, of one server's entry that disappears or
                               shows the former life */
  double leader_changes;    /* rate */
  uint32_t queue_dropped_s; /* when the configuration drops the queue, in
                               seconds; 0: never */
  uint32_t listed_ends;     /* most ends in one answer; 0: no limit */
  uint32_t record_bytes;    /* largest value of a record; 0: no limit */
  uint32_t wide_tasks;      /* most tasks of a wide step; 0: default */
  uint32_t lease_max_ms;    /* longest lease that servers grant; 0: drawn */
  uint32_t work_most_ms;    /* longest task; 0: default */
  uint32_t zone_cut_s;      /* when a third of the servers is cut off for 6 s,
                               in seconds; 0: never */
  double recuts;            /* rate of series in which half of the servers
                               crash, start again, and are cut off for longer
                               than leases last, after the leader has ended */
};

/* What must hold in a world. */
enum ColtWorldRule
{
  RULE_ONCE,  /* a task has at most one run at a time */
  RULE_DONE,  /* a task doesn't start after a run of it has ended as done and
                 that end was acknowledged */
  RULE_ACK,   /* only ends that an answer has listed are acknowledged */
  RULE_FENCE, /* the only leader isn't fenced */
  RULE_ENDS,  /* accepted jobs end once there are no faults */
  RULE_SIZE,  /* no record is larger than the log takes */
  RULE_COUNT  /* number of rules, not a rule */
};

/* Names of enum ColtWorldRule, indexed by it. */
extern const char *const colt_world_rule_string[];

/* Outcome and counts of a world. */
struct ColtWorldResult
{
  bool broken[RULE_COUNT]; /* by enum ColtWorldRule; messages say where */
  uint32_t accepted;
  uint32_t starts;            /* executed by servers */
  uint32_t starts_before_cut; /* in the 4 s before the cut of zone_cut_s */
  uint32_t starts_in_cut;     /* in the 4 s from 1 s after its begin */
  uint32_t done;              /* runs that ended so */
  uint32_t crashes;
  uint32_t leaders;
};

/* Runs a world until all jobs have ended. */
void colt_world_run (const struct ColtWorldPlan *plan,
                     struct ColtWorldResult *result);

#endif
