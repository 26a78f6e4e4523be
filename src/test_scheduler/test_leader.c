#include <string.h>

#include "fake_ports.h"
#include "jobs.h"
#include "leader_private.h"
#include "order_window.h"
#include "tests.h"

#define JOB "0000000000000001"
#define OTHER_JOB "0000000000000002"
#define TASK JOB ".0.0.0"
/* Tasks of a gang. */
#define GANG 3
/* Longest lease that the server grants. */
#define LEASE_MAX_MS 1000

/* A leader with one server, which runs the only task of a job. */
struct ColtLeaderFixture
{
  struct ColtFakePorts *fake;
  struct ColtSchedulerSettings settings;
  struct ColtMetrics *metrics;
  struct ColtLeader *leader;
  uint32_t replies;
  ColtCallerReply reply; /* last one received */
};

static const struct ColtRunningEntry running_entry = { TASK, 1, "", 50 };
static const struct ColtFinishedEntry finished_entry
    = { 1, TASK, 1, COLT_RUN_DONE, "" };

static void
on_fenced (void *client)
{
  (void)client;
  g_assert_not_reached ();
}

static bool
reject_advice_call (void *client, uint64_t number, const ColtAdviceCall *call)
{
  (void)client;
  (void)number;
  (void)call;
  return false;
}

static void
on_reply (void *client, const ColtCallerReply *reply)
{
  struct ColtLeaderFixture *fixture = client;

  fixture->replies++;
  fixture->reply = *reply;
}

static void
call_about_job (struct ColtLeaderFixture *fixture,
                enum ColtCallerKind kind,
                const char *job,
                ColtJobSpec *spec)
{
  ColtCallerCall message = COLT_CALLER_CALL__INIT;

  message.kind = kind;
  message.id = (char *)job;
  message.spec = spec;
  message.patience_ms = 3000;
  fixture->replies = 0;
  colt_leader_handle_call (fixture->leader, &message, on_reply, fixture);
}

static void
call_leader (struct ColtLeaderFixture *fixture,
             enum ColtCallerKind kind,
             ColtJobSpec *spec)
{
  call_about_job (fixture, kind, JOB, spec);
}

static void
create_leader (struct ColtLeaderFixture *fixture, uint64_t term)
{
  const struct ColtLeaderClient client
      = { on_fenced, reject_advice_call, fixture };
  struct ColtFleet *fleet = colt_test_make_fleet ();

  fixture->leader = colt_leader_create (
      fixture->fake->base, &fixture->fake->ports, &fixture->settings, term,
      &client, fixture->metrics);
  colt_leader_set_fleet (fixture->leader, fleet);
  colt_fleet_unref (fleet);
  colt_leader_set_confirmed (fixture->leader, colt_clock_monotonic_us ());
  colt_fake_ports_run (fixture->fake, 100);
}

static struct ColtLeaderFixture *
create_fixture_with_half_life (uint32_t half_life_s)
{
  struct ColtLeaderFixture *fixture = g_new0 (struct ColtLeaderFixture, 1);
  struct ColtFakePorts *fake = colt_fake_ports_create ();
  int i;

  fixture->fake = fake;
  fixture->settings.half_life_s = half_life_s;
  fixture->settings.lease_max_ms = LEASE_MAX_MS;
  fixture->settings.status_s = 60;
  fixture->metrics = colt_metrics_create ();
  fake->server_answer.incarnation_ms = 1;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "entry");
  create_leader (fixture, 1);
  call_leader (fixture, COLT_CALLER_SUBMIT, colt_test_make_job (JOB));
  for (i = 0; i < 200 && fake->starts == 0; i++)
    colt_fake_ports_run (fake, 5);
  g_assert_cmpuint (fake->starts, ==, 1);
  fake->server_answer.report.running = &running_entry;
  fake->server_answer.report.running_count = 1;
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.answer, ==, COLT_ANSWER_ACCEPTED);
  return fixture;
}

static struct ColtLeaderFixture *
create_fixture (void)
{
  return create_fixture_with_half_life (0);
}

static void
destroy_fixture (struct ColtLeaderFixture *fixture)
{
  colt_leader_destroy (fixture->leader);
  colt_metrics_destroy (fixture->metrics);
  colt_fake_ports_destroy (fixture->fake);
  g_free (fixture);
}

/* A leader that was last confirmed more than LEASE_MAX_MS ago renews no leases,
 * because a later leader waits only that long for them to end. */
static void
test_short_leases (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();

  g_assert_cmpint (fixture->fake->last_renewal.until_ms, >, 0);
  colt_leader_set_confirmed (fixture->leader, colt_clock_monotonic_us ()
                                                  - 1200 * COLT_US_PER_MS);
  colt_fake_ports_run (fixture->fake, 200);
  g_assert_cmpint (fixture->fake->last_renewal.until_ms, ==, 0);
  destroy_fixture (fixture);
}

/* Guards against an accepted job that is answered as unknown: a leader that
 * hasn't been confirmed for a while may lack jobs that a later one accepted. */
static void
test_unknown_job_unconfirmed (void)
{
  static const enum ColtCallerKind kinds[]
      = { COLT_CALLER_STATE, COLT_CALLER_CANCEL };
  struct ColtLeaderFixture *fixture = create_fixture ();
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      colt_leader_set_confirmed (fixture->leader, colt_clock_monotonic_us ());
      call_about_job (fixture, kinds[i], OTHER_JOB, NULL);
      g_assert_cmpuint (fixture->replies, ==, 1);
      g_assert_false (fixture->reply.try_again);
      g_assert_cmpint (fixture->reply.answer, ==, COLT_ANSWER_NO_JOB);
      colt_leader_set_confirmed (fixture->leader, colt_clock_monotonic_us ()
                                                      - 2000 * COLT_US_PER_MS);
      call_about_job (fixture, kinds[i], OTHER_JOB, NULL);
      g_assert_cmpuint (fixture->replies, ==, 1);
      g_assert_true (fixture->reply.try_again);
    }
  destroy_fixture (fixture);
}

/* Guards against an accepted job that is answered as unknown: members that
 * suspect the leader claim 600 ms after its last renewal. */
static void
test_unknown_job_suspect (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();

  colt_leader_set_confirmed (fixture->leader, colt_clock_monotonic_us ()
                                                  - 1000 * COLT_US_PER_MS);
  call_about_job (fixture, COLT_CALLER_STATE, OTHER_JOB, NULL);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_true (fixture->reply.try_again);
  destroy_fixture (fixture);
}

/* Guards against an accepted job that is answered as unknown: while the log is
 * down the other instances confirm the leader for its leases, but one that has
 * been elected since may have accepted the job. */
static void
test_unknown_job_without_log (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  int64_t now_us = colt_clock_monotonic_us ();

  colt_leader_set_confirmed (fixture->leader, now_us - 2000 * COLT_US_PER_MS);
  colt_leader_extend_leases (fixture->leader, now_us);
  call_about_job (fixture, COLT_CALLER_CANCEL, OTHER_JOB, NULL);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_true (fixture->reply.try_again);
  destroy_fixture (fixture);
}

/* A query for the state of a job whose last task is about to end waits briefly
 * for the end. It returns that the job is running if the task doesn't end. */
static void
test_state_waits (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  struct ColtServerReport *report = &fixture->fake->server_answer.report;

  call_leader (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 0);
  colt_fake_ports_run (fixture->fake, 250);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.answer, ==, COLT_ANSWER_STATE);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_RUNNING);
  call_leader (fixture, COLT_CALLER_STATE, NULL);
  report->running_count = 0;
  report->finished = &finished_entry;
  report->finished_count = 1;
  colt_fake_ports_run (fixture->fake, 250);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_COMPLETED);
  call_leader (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_COMPLETED);
  destroy_fixture (fixture);
}

/* An entry with another address but the same start doesn't show that runs at
 * the former address have ended. One with a later start does. */
static void
test_changed_address (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  struct ColtFakePorts *fake = fixture->fake;

  fake->entry_incarnation_ms = 1;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "127.0.0.2:1");
  colt_fake_ports_run (fake, 300);
  g_assert_cmpuint (fake->starts, ==, 1);
  g_assert_cmpuint (fake->stops, ==, 0);
  fake->entry_incarnation_ms = 2;
  fake->server_answer.incarnation_ms = 2;
  fake->server_answer.report.running_count = 0;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "127.0.0.3:1");
  colt_fake_ports_run (fake, 500);
  g_assert_cmpuint (fake->starts, >=, 2);
  destroy_fixture (fixture);
}

/* Starts that wait for room in the window aren't sent once their runs have been
 * stopped: the stops are sent before them, and a server that has restarted
 * since would carry out the starts beside later runs of the tasks. */
static void
test_stopped_start (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  struct ColtFakePorts *fake = fixture->fake;
  struct ColtOrderWindow *window = fixture->leader->window;
  size_t bytes = colt_order_window_limit (window);
  struct ColtOrderWaiter other = { 0 };
  ColtJobSpec *spec = colt_test_make_job (OTHER_JOB);
  int i;

  spec->steps[0]->count = GANG;
  spec->steps[0]->gang = true;
  call_about_job (fixture, COLT_CALLER_SUBMIT, OTHER_JOB, spec);
  for (i = 0;
       i < 200
       && colt_cell_count_runs (fixture->leader->cell, "server") < 1 + GANG;
       i++)
    colt_fake_ports_run (fake, 1);
  g_assert_true (colt_order_window_acquire (window, bytes, &other));
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (fake->starts, ==, 1);
  call_about_job (fixture, COLT_CALLER_CANCEL, OTHER_JOB, NULL);
  colt_fake_ports_run (fake, 300);
  g_assert_cmpuint (fake->stops, ==, GANG);
  g_assert_cmpuint (colt_cell_count_runs (fixture->leader->cell, "server"), ==,
                    1);
  colt_order_window_release (window, bytes, COLT_US_PER_MS, true,
                             colt_clock_monotonic_us ());
  colt_fake_ports_run (fake, 100);
  g_assert_cmpuint (fake->starts, ==, 1);
  destroy_fixture (fixture);
}

/* A server without runs that has restarted is queried, so that it gets work
 * again: nothing else would show that its new incarnation is there. */
static void
test_idle_restart (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  struct ColtFakePorts *fake = fixture->fake;
  struct ColtServerReport *report = &fake->server_answer.report;
  int i;

  report->running_count = 0;
  report->finished = &finished_entry;
  report->finished_count = 1;
  colt_fake_ports_run (fake, 300);
  g_assert_cmpuint (colt_cell_count_runs (fixture->leader->cell, "server"), ==,
                    0);
  report->finished_count = 0;
  fake->entry_incarnation_ms = 2;
  fake->server_answer.incarnation_ms = 2;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "entry");
  colt_fake_ports_run (fake, 700);
  call_about_job (fixture, COLT_CALLER_SUBMIT, OTHER_JOB,
                  colt_test_make_job (OTHER_JOB));
  for (i = 0; i < 100 && fake->starts == 1; i++)
    colt_fake_ports_run (fake, 5);
  g_assert_cmpuint (fake->starts, ==, 2);
  destroy_fixture (fixture);
}

/* Guards against tasks that run twice: a server restarts, reports, and gets a
 * start; the entry that shows the restart arrives only then, and must not end
 * the run. */
static void
test_entry_after_restart (void)
{
  static const struct ColtRunningEntry restarted_entry = { TASK, 2, "", 10 };
  struct ColtLeaderFixture *fixture = create_fixture ();
  struct ColtFakePorts *fake = fixture->fake;
  struct ColtServerReport *report = &fake->server_answer.report;
  int i;

  fake->entry_incarnation_ms = 1;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "entry");
  colt_fake_ports_run (fake, 400);
  fake->server_answer.incarnation_ms = 2;
  report->running_count = 0;
  for (i = 0; i < 200 && fake->starts == 1; i++)
    colt_fake_ports_run (fake, 5);
  g_assert_cmpuint (fake->starts, ==, 2);
  report->running = &restarted_entry;
  report->running_count = 1;
  colt_fake_ports_run (fake, 100);
  fake->entry_incarnation_ms = 2;
  colt_fake_ports_put (fake, COLT_TOPIC_SERVERS, "server", "entry");
  colt_fake_ports_run (fake, 600);
  g_assert_cmpuint (fake->starts, ==, 2);
  g_assert_cmpuint (colt_cell_count_runs (fixture->leader->cell, "server"), ==,
                    1);
  destroy_fixture (fixture);
}

/* Waiting queries for a job's state are answered when the leader is destroyed.
 */
static void
test_state_at_end (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();

  call_leader (fixture, COLT_CALLER_STATE, NULL);
  g_assert_cmpuint (fixture->replies, ==, 0);
  colt_leader_destroy (fixture->leader);
  fixture->leader = NULL;
  g_assert_cmpuint (fixture->replies, ==, 1);
  g_assert_cmpint (fixture->reply.state, ==, COLT_JOB_RUNNING);
  destroy_fixture (fixture);
}

/* Returns the newest record of past use, to be freed; NULL: none. */
static ColtUsageRecord *
find_usage_record (const struct ColtLeaderFixture *fixture)
{
  const GArray *topic = fixture->fake->topics[COLT_TOPIC_JOBS];
  guint i;

  for (i = topic->len; i > 0; i--)
    {
      const struct ColtFakeRecord *record
          = &g_array_index (topic, struct ColtFakeRecord, i - 1);
      gsize size;

      if (strcmp (record->key, "u") == 0)
        {
          const uint8_t *value = g_bytes_get_data (record->value, &size);

          return colt_usage_record__unpack (NULL, size, value);
        }
    }
  return NULL;
}

/* Records that an organisation has used 1,000 core-seconds, as of an hour after
 * the present time of day. */
static void
put_usage_record (struct ColtLeaderFixture *fixture)
{
  ColtOrganisationUsage entry = COLT_ORGANISATION_USAGE__INIT;
  ColtOrganisationUsage *entries[] = { &entry };
  ColtUsageRecord usage = COLT_USAGE_RECORD__INIT;
  struct ColtFakeRecord record = { g_strdup ("u"), NULL };
  uint8_t value[128];

  entry.organisation = "idle";
  entry.core_s = 1000000;
  usage.wall_ms = colt_clock_wall_us () / COLT_US_PER_MS + 3600000;
  usage.organisations = entries;
  usage.n_organisations = 1;
  record.value = g_bytes_new (value, colt_usage_record__pack (&usage, value));
  g_array_append_val (fixture->fake->topics[COLT_TOPIC_JOBS], record);
}

/* Guards against past use that isn't recorded, that the next leader doesn't
 * load, or that is recorded without the setting, and against a time of day that
 * has jumped. */
static void
test_past_use (void)
{
  struct ColtLeaderFixture *fixture = create_fixture ();
  ColtUsageRecord *record = find_usage_record (fixture);

  g_assert_null (record);
  destroy_fixture (fixture);
  fixture = create_fixture_with_half_life (600);
  record = find_usage_record (fixture);
  g_assert_nonnull (record);
  colt_usage_record__free_unpacked (record, NULL);
  put_usage_record (fixture);
  colt_leader_destroy (fixture->leader);
  create_leader (fixture, 2);
  colt_fake_ports_run (fixture->fake, 200);
  record = find_usage_record (fixture);
  g_assert_cmpint (record->wall_ms, <=, colt_clock_wall_us () / COLT_US_PER_MS);
  g_assert_cmpuint (record->n_organisations, ==, 1);
  g_assert_cmpstr (record->organisations[0]->organisation, ==, "idle");
  g_assert_cmpfloat (record->organisations[0]->core_s, >, 900000);
  g_assert_cmpfloat (record->organisations[0]->core_s, <=, 1000000);
  colt_usage_record__free_unpacked (record, NULL);
  destroy_fixture (fixture);
}

void
colt_test_leader_add (void)
{
  g_test_add_func ("/scheduler/lead/past-use", test_past_use);
  g_test_add_func ("/scheduler/lead/short-leases", test_short_leases);
  g_test_add_func ("/scheduler/lead/changed-address", test_changed_address);
  g_test_add_func ("/scheduler/lead/stopped-start", test_stopped_start);
  g_test_add_func ("/scheduler/lead/idle-restart", test_idle_restart);
  g_test_add_func ("/scheduler/lead/entry-after-restart",
                   test_entry_after_restart);
  g_test_add_func ("/scheduler/lead/unknown-job-unconfirmed",
                   test_unknown_job_unconfirmed);
  g_test_add_func ("/scheduler/lead/unknown-job-suspect",
                   test_unknown_job_suspect);
  g_test_add_func ("/scheduler/lead/unknown-job-without-log",
                   test_unknown_job_without_log);
  g_test_add_func ("/scheduler/lead/state-waits", test_state_waits);
  g_test_add_func ("/scheduler/lead/state-at-end", test_state_at_end);
}
