/* A link to a server of fake ports, whose callbacks are counted. */
#ifndef COLT_TEST_SCHEDULER_LINK_FIXTURE_H
#define COLT_TEST_SCHEDULER_LINK_FIXTURE_H

#include "fake_ports.h"
#include "order_window.h"
#include "scheduler_private.h"

#define LEASE_MS 400
#define LEASE_MAX_MS 800

/* How often the callbacks of a link were called, and the values that they
 * return. */
struct ColtClientState
{
  uint32_t fenced;
  uint32_t reports;
  uint32_t unreachable;
  uint32_t runs_lost;
  bool all_lost;                     /* the last loss counted for all runs */
  size_t runs;                       /* on the server */
  int64_t renewable_until_us;        /* latest end of a renewed lease */
  enum ColtStartResult start_result; /* last one reported */
  uint64_t next_call;                /* of the last start result */
  int64_t incarnation_ms;            /* of the last report */
  uint64_t call_number;              /* of the last report */
  struct ColtOrderWindow *window;    /* of the link; may be NULL */
  struct ColtSuspicion *suspicion;   /* of the link; may be NULL */
  bool suspected;
  uint32_t suspicions;
  uint32_t counts; /* calls of count_runs */
};

/* Opens a link to a server with leases of earlier leaders until the given time.
 */
struct ColtServerLink *
colt_fixture_open_inherited_link (struct ColtFakePorts *fake,
                                  struct ColtClientState *state,
                                  int64_t inherited_until_us);
struct ColtServerLink *colt_fixture_open_link (struct ColtFakePorts *fake,
                                               struct ColtClientState *state);
/* Runs the link's ticks and the event loop for about the given time. */
void colt_fixture_run_ticks (struct ColtFakePorts *fake,
                             struct ColtServerLink *link,
                             uint32_t ms);

#endif
