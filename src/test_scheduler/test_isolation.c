#include "isolation.h"

#include <stdlib.h>
#include <string.h>

#include "instances_fixture.h"
#include "tests.h"

#define BOUND_US (1500 * COLT_US_PER_MS)
#define CHECK_US (250 * COLT_US_PER_MS)
/* Bound of the instances. */
#define INSTANCE_BOUND_MS 2000
/* Longest wait for what takes a second or two on an idle machine. */
#define WAIT_MAX_MS 15000

/* What an instance reaches in a second. */
enum ColtReach
{
  REACH_NOTHING,
  REACH_LOG,
  REACH_LEADER
};

/* Checks four times a second; returns how many checks found it isolated. */
static uint32_t
run_seconds (struct ColtIsolation *isolation,
             enum ColtReach reach,
             uint32_t seconds,
             int64_t *now_us)
{
  uint32_t isolated = 0;
  uint32_t i;

  for (i = 0; i < 4 * seconds; i++)
    {
      *now_us += CHECK_US;
      if (reach == REACH_LOG)
        colt_isolation_reach_log (isolation, *now_us - CHECK_US / 2);
      if (reach == REACH_LEADER)
        colt_isolation_reach_leader (isolation, *now_us - CHECK_US / 2);
      colt_isolation_check (isolation, *now_us);
      isolated += isolation->isolated;
    }
  return isolated;
}

/* Load: a zone that is cut off for 6 s, whose instances reject all callers.
 * They are isolated for the whole time but the bound. An outage of the log
 * alone, one of the path to the leader alone, and start-up within the bound
 * have no effect. */
static void
test_contacts (void)
{
  int64_t now_us = 100 * COLT_US_PER_S;
  struct ColtIsolation isolation;

  colt_isolation_init (&isolation, BOUND_US, now_us);
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 1, &now_us), ==, 0);
  g_assert_cmpuint (run_seconds (&isolation, REACH_LOG, 60, &now_us), ==, 0);
  g_assert_cmpuint (run_seconds (&isolation, REACH_LEADER, 60, &now_us), ==, 0);
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 6, &now_us), ==,
                    24 - 5);
  g_assert_cmpuint (run_seconds (&isolation, REACH_LOG, 1, &now_us), ==, 0);
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 3, &now_us), ==,
                    12 - 5);
  colt_isolation_reach_leader (&isolation, now_us);
  g_assert_true (colt_isolation_check (&isolation, now_us));
  g_assert_false (isolation.isolated);
  g_assert_false (colt_isolation_check (&isolation, now_us));
}

/* A process that was paused, as by a signal, can't have reached anything: that
 * doesn't count. One that was isolated before stays so until a contact. Without
 * a bound nothing is isolated. */
static void
test_pause (void)
{
  int64_t now_us = 100 * COLT_US_PER_S;
  struct ColtIsolation isolation;

  colt_isolation_init (&isolation, BOUND_US, now_us);
  run_seconds (&isolation, REACH_LOG, 5, &now_us);
  now_us += 5 * COLT_US_PER_S;
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 1, &now_us), ==, 0);
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 4, &now_us), >, 0);
  now_us += 5 * COLT_US_PER_S;
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 1, &now_us), ==, 4);
  colt_isolation_init (&isolation, 0, now_us);
  g_assert_cmpuint (run_seconds (&isolation, REACH_NOTHING, 60, &now_us), ==,
                    0);
}

static bool
is_ready (const struct ColtInstancesFixture *fixture, int i)
{
  return fixture->handlers[i].is_ready (fixture->handlers[i].client);
}

/* Runs until an instance is ready, or no longer. */
static void
wait_until_ready (struct ColtInstancesFixture *fixture, int i, bool ready)
{
  int waited_ms;

  for (waited_ms = 0; waited_ms < WAIT_MAX_MS && is_ready (fixture, i) != ready;
       waited_ms += 50)
    colt_fake_ports_run (fixture->fake, 50);
  g_assert_true (is_ready (fixture, i) == ready);
}

static char *
describe_state (const struct ColtInstancesFixture *fixture, int i)
{
  return fixture->handlers[i].describe (fixture->handlers[i].client, "/state");
}

/* In an outage of the log the leader and the instances that reach it stay
 * ready. An instance that reaches neither isn't, says why, and rejects callers
 * at once, with an answer that ends their connection. It is ready again once it
 * reaches the log. */
static void
test_instances (void)
{
  struct ColtInstancesFixture fixture = { .isolation_ms = INSTANCE_BOUND_MS };
  char *state;
  int i;

  colt_instances_set_up (&fixture);
  colt_instances_start (&fixture, 1);
  wait_until_ready (&fixture, 0, true);
  wait_until_ready (&fixture, 1, true);
  colt_fake_ports_run (fixture.fake, 600);
  fixture.fake->fault = FAULT_DOWN;
  for (i = 0; i < 70; i++)
    {
      colt_fake_ports_run (fixture.fake, 50);
      g_assert_true (is_ready (&fixture, 0));
      g_assert_true (is_ready (&fixture, 1));
    }
  colt_instances_end (&fixture, 0);
  wait_until_ready (&fixture, 1, false);
  state = describe_state (&fixture, 1);
  g_assert_nonnull (
      strstr (state, "\"ready\":false,\"not_ready\":\"isolated\""));
  free (state);
  colt_instances_send (&fixture, 1, COLT_CALLER_STATE, "/0000000000000001");
  g_assert_cmpuint (fixture.answers, ==, 1);
  g_assert_cmpint (fixture.answer.kind, ==, COLT_ANSWER_NOT_ACCEPTED);
  g_assert_cmpuint (fixture.answer.retry_after_ms, ==, 2000);
  g_assert_true (fixture.answer.close_connection);
  fixture.fake->fault = FAULT_NONE;
  wait_until_ready (&fixture, 1, true);
  state = describe_state (&fixture, 1);
  g_assert_nonnull (strstr (state, "\"ready\":true,\"not_ready\":\"\""));
  free (state);
  colt_instances_tear_down (&fixture);
}

void
colt_test_isolation_add (void)
{
  g_test_add_func ("/scheduler/isolation/contacts", test_contacts);
  g_test_add_func ("/scheduler/isolation/pause", test_pause);
  g_test_add_func ("/scheduler/isolation/instances", test_instances);
}
