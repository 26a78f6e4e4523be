/* Fixture: two instances on one log, which callers ask for counts. */
#ifndef COLT_TEST_INSTANCES_FIXTURE_H
#define COLT_TEST_INSTANCES_FIXTURE_H

#include "fake_ports.h"
#include "scheduler_private.h"

#define INSTANCES 2

struct ColtInstancesFixture
{
  struct ColtFakePorts *fake;
  struct ColtScheduler *instances[INSTANCES];
  struct ColtCallerServer handlers[INSTANCES];
  char *addresses[INSTANCES];
  uint32_t isolation_ms; /* setting of the instances that start next */
  uint32_t accepted;
  uint32_t answers;
  struct ColtCallerAnswer answer; /* the last one */
};

/* Creates the log, with a configuration, and starts the first instance, which
 * becomes the leader. No backend server is listed, so that jobs wait. */
void colt_instances_set_up (struct ColtInstancesFixture *fixture);
void colt_instances_tear_down (struct ColtInstancesFixture *fixture);
/* Starts the process of an instance. */
void colt_instances_start (struct ColtInstancesFixture *fixture, int i);
/* Ends the process of an instance, which gives up nothing before. */
void colt_instances_end (struct ColtInstancesFixture *fixture, int i);
/* Sends a caller's request to an instance. */
void colt_instances_send (struct ColtInstancesFixture *fixture,
                          int i,
                          enum ColtCallerKind kind,
                          const char *path);

#endif
