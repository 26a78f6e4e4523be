#include "fake_ports.h"
#include "jobs.h"
#include "scheduler_private.h"
#include "tests.h"

#define JOB "0000000000000001"
#define TASK JOB ".0.0.0"
#define LEASE_MAX_MS 1000

/* A lead with one server, which runs the one task of a job. */
struct ColtLeadFixture
{
  struct ColtFakePorts *fake;
  struct ColtSchedulerSettings settings;
  struct ColtMetrics *metrics;
  struct ColtLeader *lead;
  uint32_t replies;
  ColtCallerReply reply; /* the last */
};

static const struct ColtRunningEntry running = { TASK, 1, "", 50 };
static const struct ColtFinishedEntry finished
    = { 1, TASK, 1, COLT_RUN_DONE, "" };

static void
take_fenced (void *client)
{
  (void)client;
  g_assert_not_reached ();
}

static bool
advise (void *client, const ColtAdviceCall *call)
{
  (void)client;
  (void)call;
  return false;
}

static void
take_reply (void *client, const ColtCallerReply *reply)
{
  struct ColtLeadFixture *fixture = client;

  fixture->replies++;
  fixture->reply = *reply;
}

static void
call (struct ColtLeadFixture *fixture,
      enum ColtCallerKind kind,
      ColtJobSpec *spec)
{
  ColtCallerCall message = COLT_CALLER_CALL__INIT;

  message.kind = kind;
  message.id = (char *)JOB;
  message.spec = spec;
  message.patience_ms = 3000;
  fixture->replies = 0;
  colt_leader_handle_call (fixture->lead, &message, take_reply, fixture);
}

static struct ColtLeadFixture *
make_lead (void)
{
  struct ColtLeadFixture *fixture = g_new0 (struct ColtLeadFixture, 1);
  const struct ColtLeaderClient client = { take_fenced, advise, fixture };
  struct ColtFleet *fleet = colt_test_make_fleet ();
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  int i;

  fixture->fake = fake;
  fixture->settings.lease_max_ms = LEASE_MAX_MS;
  fixture->settings.status_s = 60;
  fixture->metrics = colt_metrics_create ();
  fake->server_answer.born_ms = 1;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "entry");
  fixture->lead
      = colt_leader_create (fake->base, &fake->ports, &fixture->settings, 1,
                            &client, fixture->metrics);
  colt_leader_set_fleet (fixture->lead, fleet);
  colt_fleet_unref (fleet);
  colt_leader_set_confirmed (fixture->lead, colt_clock_monotonic_us ());
  colt_fake_ports_run (fake, 100);
  call (fixture, COLT_CALLER_SUBMIT, colt_test_make_job (JOB));
  for (i = 0; i < 200 && fake->starts == 0; i++)
    colt_fake_ports_run (fake, 5);
  g_assert_cmpuint (fake->starts, ==, 1);
  fake->server_answer.report.running = &running;
  fake->server_answer.report.running_count = 1;
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.answer, ==, COLT_ANSWER_ACCEPTED);
  return fixture;
}

static void
free_lead (struct ColtLeadFixture *fixture)
{
  colt_leader_destroy (fixture->lead);
  colt_metrics_destroy (fixture->metrics);
  colt_fake_ports_destroy (fixture->fake);
  g_free (fixture);
}

/* A lead that was last sure to lead longer ago than servers give leases renews
 * none: a later lead waits for no more than such a lease. */
static void
test_short_leases (void)
{
  struct ColtLeadFixture *fixture = make_lead ();

  g_assert_cmpint (fixture->fake->last_look.until_ms, >, 0);
  colt_leader_set_confirmed (fixture->lead, colt_clock_monotonic_us ()
                                                - 1200 * COLT_US_PER_MS);
  colt_fake_ports_run (fixture->fake, 200);
  g_assert_cmpint (fixture->fake->last_look.until_ms, ==, 0);
  free_lead (fixture);
}

/* Who asks for the state of a job whose last task runs hears of its end if that
 * comes at once, and that it runs if not. */
static void
test_state_waits (void)
{
  struct ColtLeadFixture *fixture = make_lead ();
  struct ColtServerReport *report = &fixture->fake->server_answer.report;

  call (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 0);
  colt_fake_ports_run (fixture->fake, 250);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.answer, ==, COLT_ANSWER_STATE);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_RUNNING);
  call (fixture, COLT_CALLER_STATE, NULL);
  report->running_count = 0;
  report->finished = &finished;
  report->finished_count = 1;
  colt_fake_ports_run (fixture->fake, 250);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_COMPLETED);
  call (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_COMPLETED);
  free_lead (fixture);
}

/* Waiting callers are answered when the lead ends. */
static void
test_state_at_end (void)
{
  struct ColtLeadFixture *fixture = make_lead ();

  call (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 0);
  colt_leader_destroy (fixture->lead);
  fixture->lead = NULL;
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_RUNNING);
  free_lead (fixture);
}

void
colt_test_lead_add (void)
{
  g_test_add_func ("/scheduler/lead/short-leases", test_short_leases);
  g_test_add_func ("/scheduler/lead/state-waits", test_state_waits);
  g_test_add_func ("/scheduler/lead/state-at-end", test_state_at_end);
}
