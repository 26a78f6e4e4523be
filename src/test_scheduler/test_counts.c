/* Counts of waiting jobs that instances give to callers. */
#include <glib.h>

#include "instances_fixture.h"
#include "tests.h"

#define JOBS 3
/* Time in which an instance is elected, loads the jobs and sends its counts. */
#define ELECTION_MS 2600
/* Time after which a count is too old to be given. */
#define AGE_MAX_MS 2000
/* Time in which a request without a leader is rejected. */
#define REJECT_MS 1000

/* Decodes no record as a configuration. */
static struct ColtFleet *
decode_no_fleet (void *adapter,
                 const struct ColtLogRecord *record,
                 struct ColtError *error)
{
  (void)adapter;
  (void)record;
  (void)error;
  return NULL;
}

/* Requests a count and returns the kind of its answer. */
static enum ColtAnswerKind
request_count (struct ColtInstancesFixture *fixture, int i)
{
  uint32_t answers = fixture->answers;
  uint32_t waited_ms = 0;

  colt_instances_send (fixture, i, COLT_CALLER_STATE, "/");
  for (; fixture->answers == answers && waited_ms < REJECT_MS; waited_ms += 10)
    colt_fake_ports_run (fixture->fake, 10);
  g_assert_cmpuint (fixture->answers, ==, answers + 1);
  return fixture->answer.kind;
}

static void
assert_count (struct ColtInstancesFixture *fixture, int i, uint64_t waiting)
{
  g_assert_cmpint (request_count (fixture, i), ==, COLT_ANSWER_COUNT);
  g_assert_cmpuint (fixture->answer.waiting, ==, waiting);
}

static void
assert_unknown (struct ColtInstancesFixture *fixture, int i)
{
  g_assert_cmpint (request_count (fixture, i), ==, COLT_ANSWER_NOT_ACCEPTED);
  g_assert_cmpuint (fixture->answer.retry_after_ms, >, 0);
}

/* Lets the first instance lead and accept JOBS jobs. */
static void
set_up (struct ColtInstancesFixture *fixture)
{
  char path[32];
  int i;

  colt_instances_set_up (fixture);
  for (i = 0; i < JOBS; i++)
    {
      g_snprintf (path, sizeof path, "/%016x", (unsigned)i + 1);
      colt_instances_send (fixture, 0, COLT_CALLER_SUBMIT, path);
    }
  colt_fake_ports_run (fixture->fake, 200);
  g_assert_cmpuint (fixture->accepted, ==, JOBS);
}

/* Guards against a count of 0 by an instance that has just been elected and
 * still loads the jobs. */
static void
test_loading_leader (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  set_up (&fixture);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 0, JOBS);
  assert_count (&fixture, 1, JOBS);
  fixture.fake->held_topics = 1u << COLT_TOPIC_JOBS;
  colt_instances_end (&fixture, 0);
  colt_fake_ports_run (fixture.fake, 1400);
  assert_count (&fixture, 1, JOBS);
  colt_fake_ports_run (fixture.fake, ELECTION_MS);
  assert_unknown (&fixture, 1);
  fixture.fake->held_topics = 0;
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 1, JOBS);
  colt_instances_tear_down (&fixture);
}

/* Guards against a count of 0 by a process that has just started, to which no
 * leader has sent counts yet. */
static void
test_new_process (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  set_up (&fixture);
  colt_instances_end (&fixture, 0);
  fixture.fake->held_topics = 1u << COLT_TOPIC_JOBS;
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 100);
  assert_unknown (&fixture, 1);
  fixture.fake->held_topics = 0;
  colt_fake_ports_run (fixture.fake, ELECTION_MS);
  assert_count (&fixture, 1, JOBS);
  colt_instances_tear_down (&fixture);
}

/* Guards against counts of 0 in the heartbeats' replies of a leader that has
 * read no configuration yet. */
static void
test_leader_without_configuration (void)
{
  struct ColtInstancesFixture fixture = { 0 };
  struct ColtPorts ports;

  set_up (&fixture);
  ports = fixture.fake->ports;
  colt_instances_end (&fixture, 0);
  fixture.fake->ports.decode_fleet = decode_no_fleet;
  colt_instances_start (&fixture, 0);
  colt_fake_ports_run (fixture.fake, 700);
  fixture.fake->ports.decode_fleet = ports.decode_fleet;
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 700);
  assert_count (&fixture, 1, JOBS);
  colt_instances_tear_down (&fixture);
}

/* Guards against counts from a time when the leader was still known to be the
 * only one: another may have accepted jobs since. */
static void
test_old_counts (void)
{
  struct ColtInstancesFixture fixture = { 0 };

  set_up (&fixture);
  colt_instances_start (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 1, JOBS);
  fixture.fake->fault = FAULT_DOWN;
  colt_instances_end (&fixture, 1);
  colt_fake_ports_run (fixture.fake, AGE_MAX_MS / 2);
  assert_count (&fixture, 0, JOBS);
  colt_fake_ports_run (fixture.fake, AGE_MAX_MS);
  assert_unknown (&fixture, 0);
  colt_instances_tear_down (&fixture);
}

void
colt_test_counts_add (void)
{
  g_test_add_func ("/scheduler/counts/loading-leader", test_loading_leader);
  g_test_add_func ("/scheduler/counts/new-process", test_new_process);
  g_test_add_func ("/scheduler/counts/leader-without-configuration",
                   test_leader_without_configuration);
  g_test_add_func ("/scheduler/counts/old-counts", test_old_counts);
}
