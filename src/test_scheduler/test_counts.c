/* Counts of waiting jobs that instances give to callers. */
#include <glib.h>
#include <stdlib.h>
#include <unistd.h>

#include "fake_ports.h"
#include "jobs.h"
#include "scheduler_private.h"
#include "tests.h"

#define PORT_MIN 32000
#define PORT_COUNT 700
#define INSTANCES 2
#define JOBS 3
#define LEASE_MS 1000
/* Time in which an instance is elected, loads the jobs and sends its counts. */
#define ELECTION_MS 2600
/* Time after which a count is too old to be given. */
#define AGE_MAX_MS 2000
/* Time in which a request without a leader is rejected. */
#define REJECT_MS 1000

/* Two instances on one log. No backend server is listed, so that jobs wait. */
struct ColtCountFixture
{
  struct ColtFakePorts *fake;
  struct ColtScheduler *instances[INSTANCES];
  struct ColtCallerServer handlers[INSTANCES];
  char *addresses[INSTANCES];
  uint32_t accepted;
  uint32_t answers;
  struct ColtCallerAnswer answer; /* the last one */
};

/* The fixture of the running test, as handles of callers carry no client. */
static struct ColtCountFixture *current;

static ColtJobSpec *
decode_job (void *adapter,
            const char *body,
            size_t size,
            struct ColtError *error)
{
  ColtJobSpec *spec = colt_test_make_job ("");

  (void)adapter;
  (void)body;
  (void)size;
  (void)error;
  free (spec->id);
  free (spec->organisation);
  free (spec->queue);
  spec->id = (char *)protobuf_c_empty_string;
  spec->organisation = (char *)protobuf_c_empty_string;
  spec->queue = (char *)protobuf_c_empty_string;
  return spec;
}

static void
record_answer (struct ColtCallerHandle *handle,
               const struct ColtCallerAnswer *answer)
{
  (void)handle;
  current->answer = *answer;
  current->answers++;
  current->accepted += answer->kind == COLT_ANSWER_ACCEPTED;
}

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

static void
start_instance (struct ColtCountFixture *fixture, int i)
{
  struct ColtSchedulerSettings settings
      = { "name", "zone", NULL, 1, LEASE_MS, 60, 6000 };
  struct ColtError error = { 0 };

  settings.name = i == 0 ? "first" : "second";
  settings.internal = fixture->addresses[i];
  fixture->instances[i] = colt_scheduler_create (
      fixture->fake->base, &fixture->fake->ports, &settings, &error);
  g_assert_nonnull (fixture->instances[i]);
  fixture->handlers[i] = fixture->fake->handlers;
}

static void
end_process (struct ColtCountFixture *fixture, int i)
{
  colt_scheduler_destroy (fixture->instances[i]);
  fixture->instances[i] = NULL;
}

static void
send_request (struct ColtCountFixture *fixture,
              int i,
              enum ColtCallerKind kind,
              const char *path)
{
  struct ColtCallerRequest request = { 0 };

  request.kind = kind;
  request.host = "";
  request.path = path;
  request.key = "";
  request.body = "";
  request.patience_ms = 3000;
  fixture->handlers[i].handle (fixture->handlers[i].client, &request, NULL);
}

/* Requests a count and returns the kind of its answer. */
static enum ColtAnswerKind
request_count (struct ColtCountFixture *fixture, int i)
{
  uint32_t answers = fixture->answers;
  uint32_t waited_ms = 0;

  send_request (fixture, i, COLT_CALLER_STATE, "/");
  for (; fixture->answers == answers && waited_ms < REJECT_MS; waited_ms += 10)
    colt_fake_ports_run (fixture->fake, 10);
  g_assert_cmpuint (fixture->answers, ==, answers + 1);
  return fixture->answer.kind;
}

static void
assert_count (struct ColtCountFixture *fixture, int i, uint64_t waiting)
{
  g_assert_cmpint (request_count (fixture, i), ==, COLT_ANSWER_COUNT);
  g_assert_cmpuint (fixture->answer.waiting, ==, waiting);
}

static void
assert_unknown (struct ColtCountFixture *fixture, int i)
{
  g_assert_cmpint (request_count (fixture, i), ==, COLT_ANSWER_NOT_ACCEPTED);
  g_assert_cmpuint (fixture->answer.retry_after_ms, >, 0);
}

/* Lets the first instance lead and accept JOBS jobs. */
static void
set_up (struct ColtCountFixture *fixture)
{
  int port = PORT_MIN + (int)getpid () % PORT_COUNT;
  char path[32];
  int i;

  current = fixture;
  fixture->fake = colt_fake_ports_create ();
  fixture->fake->ports.decode_job = decode_job;
  fixture->fake->ports.answer = record_answer;
  for (i = 0; i < INSTANCES; i++)
    fixture->addresses[i] = g_strdup_printf ("127.0.0.%d:%d", i + 1, port);
  colt_fake_ports_put (fixture->fake, COLT_TOPIC_OPERATOR, "config", "fleet");
  start_instance (fixture, 0);
  colt_fake_ports_run (fixture->fake, 400);
  for (i = 0; i < JOBS; i++)
    {
      g_snprintf (path, sizeof path, "/%016x", (unsigned)i + 1);
      send_request (fixture, 0, COLT_CALLER_SUBMIT, path);
    }
  colt_fake_ports_run (fixture->fake, 200);
  g_assert_cmpuint (fixture->accepted, ==, JOBS);
}

static void
tear_down (struct ColtCountFixture *fixture)
{
  int i;

  for (i = 0; i < INSTANCES; i++)
    {
      colt_scheduler_destroy (fixture->instances[i]);
      g_free (fixture->addresses[i]);
    }
  colt_fake_ports_destroy (fixture->fake);
}

/* Guards against a count of 0 by an instance that has just been elected and
 * still loads the jobs. */
static void
test_loading_leader (void)
{
  struct ColtCountFixture fixture = { 0 };

  set_up (&fixture);
  start_instance (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 0, JOBS);
  assert_count (&fixture, 1, JOBS);
  fixture.fake->held_topics = 1u << COLT_TOPIC_JOBS;
  end_process (&fixture, 0);
  colt_fake_ports_run (fixture.fake, 1400);
  assert_count (&fixture, 1, JOBS);
  colt_fake_ports_run (fixture.fake, ELECTION_MS);
  assert_unknown (&fixture, 1);
  fixture.fake->held_topics = 0;
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 1, JOBS);
  tear_down (&fixture);
}

/* Guards against a count of 0 by a process that has just started, to which no
 * leader has sent counts yet. */
static void
test_new_process (void)
{
  struct ColtCountFixture fixture = { 0 };

  set_up (&fixture);
  end_process (&fixture, 0);
  fixture.fake->held_topics = 1u << COLT_TOPIC_JOBS;
  start_instance (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 100);
  assert_unknown (&fixture, 1);
  fixture.fake->held_topics = 0;
  colt_fake_ports_run (fixture.fake, ELECTION_MS);
  assert_count (&fixture, 1, JOBS);
  tear_down (&fixture);
}

/* Guards against counts of 0 in the heartbeats' replies of a leader that has
 * read no configuration yet. */
static void
test_leader_without_configuration (void)
{
  struct ColtCountFixture fixture = { 0 };
  struct ColtPorts ports;

  set_up (&fixture);
  ports = fixture.fake->ports;
  end_process (&fixture, 0);
  fixture.fake->ports.decode_fleet = decode_no_fleet;
  start_instance (&fixture, 0);
  colt_fake_ports_run (fixture.fake, 700);
  fixture.fake->ports.decode_fleet = ports.decode_fleet;
  start_instance (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 700);
  assert_count (&fixture, 1, JOBS);
  tear_down (&fixture);
}

/* Guards against counts from a time when the leader was still known to be the
 * only one: another may have accepted jobs since. */
static void
test_old_counts (void)
{
  struct ColtCountFixture fixture = { 0 };

  set_up (&fixture);
  start_instance (&fixture, 1);
  colt_fake_ports_run (fixture.fake, 600);
  assert_count (&fixture, 1, JOBS);
  fixture.fake->fault = FAULT_DOWN;
  end_process (&fixture, 1);
  colt_fake_ports_run (fixture.fake, AGE_MAX_MS / 2);
  assert_count (&fixture, 0, JOBS);
  colt_fake_ports_run (fixture.fake, AGE_MAX_MS);
  assert_unknown (&fixture, 0);
  tear_down (&fixture);
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
