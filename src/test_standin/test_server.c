#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "server_state.h"
#include "tests.h"

#define MS COLT_US_PER_MS
#define LEASE_US (2000 * MS)
#define SHARD 3

struct ColtServerFixture
{
  struct ColtStandinServer *server;
  int notices[COLT_STANDIN_NOTICE_COUNT];
  int64_t last_end_us;
  enum ColtTaskState last_end_state;
};

static void
count_notice (void *client,
              const struct ColtStandinServer *server,
              enum ColtStandinNotice notice,
              int64_t at_us,
              const struct ColtStandinTask *task,
              const char *reason)
{
  struct ColtServerFixture *fixture = client;

  (void)server;
  (void)reason;
  fixture->notices[notice]++;
  if (notice != COLT_STANDIN_ENDED)
    return;
  fixture->last_end_us = at_us;
  fixture->last_end_state = task->state;
}

static void
set_up (struct ColtServerFixture *fixture, gconstpointer data)
{
  const struct ColtStandinServerSpec spec
      = { 1, 1, 1, { { 4000, 1000, 0, 2, 64 } }, 1.0, 1000 * MS };

  (void)data;
  fixture->server
      = colt_standin_server_create (&spec, 0, count_notice, fixture);
}

static void
tear_down (struct ColtServerFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_standin_server_destroy (fixture->server);
}

static struct ColtTaskStart
make_start (uint8_t number, uint32_t attempt, const char *payload)
{
  struct ColtTaskStart start = { 0 };

  start.ref.request.bytes[15] = number;
  start.ref.attempt = attempt;
  start.shard = SHARD;
  start.shard_epoch = 5;
  start.limit = (struct ColtResources){ { 1000, 100, 0, 1, 1 } };
  start.lease_ms = 10000;
  start.payload = (const uint8_t *)payload;
  start.payload_size = strlen (payload);
  return start;
}

static int64_t
acquire_lease (struct ColtServerFixture *fixture,
               int64_t now_us,
               uint64_t epoch)
{
  g_assert_cmpint (colt_standin_server_acquire_lease (fixture->server, now_us,
                                                      7, epoch, LEASE_US),
                   ==, COLT_STANDIN_GRANTED);
  return colt_standin_server_issue_token (fixture->server, now_us);
}

static enum ColtStandinOutcome
start_task (struct ColtServerFixture *fixture,
            int64_t now_us,
            int64_t token,
            struct ColtTaskStart start)
{
  const char *reason;

  return colt_standin_server_start_task (fixture->server, now_us, token, &start,
                                         &reason);
}

static void
test_lease_has_one_holder (struct ColtServerFixture *fixture,
                           gconstpointer data)
{
  struct ColtStandinServer *server = fixture->server;

  (void)data;
  acquire_lease (fixture, 1000, 4);
  g_assert_cmpint (
      colt_standin_server_acquire_lease (server, 2000, 8, 5, LEASE_US), ==,
      COLT_STANDIN_FENCED);
  g_assert_cmpint (colt_standin_server_acquire_lease (server, 1000 + LEASE_US,
                                                      8, 4, LEASE_US),
                   ==, COLT_STANDIN_FENCED);
  g_assert_cmpint (colt_standin_server_acquire_lease (server, 1000 + LEASE_US,
                                                      8, 5, LEASE_US),
                   ==, COLT_STANDIN_GRANTED);
  g_assert_cmpint (
      colt_standin_server_authorise (server, 1001 + LEASE_US, 4, 0, 0), ==,
      COLT_STANDIN_FENCED);
  g_assert_cmpint (
      colt_standin_server_authorise (server, 1001 + LEASE_US, 6, 0, 0), ==,
      COLT_STANDIN_FENCED);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_LEASED], ==, 2);
}

static void
test_released_lease_can_be_acquired (struct ColtServerFixture *fixture,
                                     gconstpointer data)
{
  (void)data;
  acquire_lease (fixture, 1000, 1);
  colt_standin_server_release_lease (fixture->server, 2000);
  g_assert_cmpint (
      colt_standin_server_authorise (fixture->server, 2000, 1, 0, 0), ==,
      COLT_STANDIN_FENCED);
  acquire_lease (fixture, 2000, 2);
}

static void
test_renewal_counts_from_token_issue (struct ColtServerFixture *fixture,
                                      gconstpointer data)
{
  struct ColtStandinServer *server = fixture->server;
  const struct ColtStandinLease *lease = colt_standin_server_lease (server);
  int64_t token = acquire_lease (fixture, 1000, 1);
  int64_t newer_token;

  (void)data;
  newer_token = colt_standin_server_issue_token (server, 600 * MS);
  g_assert_cmpint (
      colt_standin_server_authorise (server, 1900 * MS, 1, newer_token, 0), ==,
      COLT_STANDIN_GRANTED);
  g_assert_cmpint (lease->end_us, ==, 600 * MS + LEASE_US);
  g_assert_cmpint (
      colt_standin_server_authorise (server, 2500 * MS, 1, token, 0), ==,
      COLT_STANDIN_GRANTED);
  g_assert_cmpint (lease->end_us, ==, 600 * MS + LEASE_US);
  g_assert_cmpint (
      colt_standin_server_authorise (server, 2600 * MS, 1, 2500 * MS, 0), ==,
      COLT_STANDIN_FENCED);
}

static void
test_token_of_another_lease_is_refused (struct ColtServerFixture *fixture,
                                        gconstpointer data)
{
  int64_t old_token = acquire_lease (fixture, 1000, 1);

  (void)data;
  acquire_lease (fixture, 1000 + LEASE_US, 2);
  g_assert_cmpint (colt_standin_server_authorise (
                       fixture->server, 1001 + LEASE_US, 2, old_token, 0),
                   ==, COLT_STANDIN_BAD_TOKEN);
  g_assert_cmpint (colt_standin_server_authorise (
                       fixture->server, 1001 + LEASE_US, 2, 9000 * MS, 0),
                   ==, COLT_STANDIN_BAD_TOKEN);
}

static void
test_attempt_starts_once (struct ColtServerFixture *fixture, gconstpointer data)
{
  int64_t token = acquire_lease (fixture, 1000, 1);

  (void)data;
  g_assert_cmpint (
      start_task (fixture, 1000, token, make_start (1, 1, "run_ms=10")), ==,
      COLT_STANDIN_OUTCOME_STARTED);
  g_assert_cmpint (
      start_task (fixture, 1000, token, make_start (1, 1, "run_ms=10")), ==,
      COLT_STANDIN_OUTCOME_DUPLICATE);
  colt_standin_server_advance (fixture->server, 500 * MS);
  g_assert_cmpint (fixture->last_end_state, ==, COLT_TASK_FINISHED);
  g_assert_cmpint (fixture->last_end_us, ==, 1000 + 10 * MS);
  g_assert_cmpint (
      start_task (fixture, 500 * MS, token, make_start (1, 1, "run_ms=10")), ==,
      COLT_STANDIN_OUTCOME_DUPLICATE);
  g_assert_cmpint (
      start_task (fixture, 500 * MS, token, make_start (1, 2, "run_ms=10")), ==,
      COLT_STANDIN_OUTCOME_STARTED);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_STARTED], ==, 2);
}

static void
test_lower_shard_epoch_is_refused (struct ColtServerFixture *fixture,
                                   gconstpointer data)
{
  int64_t token = acquire_lease (fixture, 1000, 1);
  struct ColtTaskStart start = make_start (1, 1, "");
  const char *reason;

  (void)data;
  start_task (fixture, 1000, token, make_start (2, 1, "run_ms=9"));
  start.shard_epoch = 4;
  g_assert_cmpint (colt_standin_server_start_task (fixture->server, 1000, token,
                                                   &start, &reason),
                   ==, COLT_STANDIN_OUTCOME_REFUSED);
  g_assert_cmpstr (reason, ==, "shard_epoch");
  start.shard = SHARD + 1;
  g_assert_cmpint (start_task (fixture, 1000, token, start), ==,
                   COLT_STANDIN_OUTCOME_STARTED);
  g_assert_cmpuint (colt_standin_server_shard_epochs (fixture->server)[SHARD],
                    ==, 5);
}

static void
test_task_lapses_unless_renewed (struct ColtServerFixture *fixture,
                                 gconstpointer data)
{
  struct ColtTaskStart start = make_start (1, 1, "forever=1");
  int64_t token = acquire_lease (fixture, 1000, 1);

  (void)data;
  start.lease_ms = 100;
  start_task (fixture, 5000, token, start);
  colt_standin_server_renew_tasks (fixture->server, 50 * MS, 100 * MS);
  colt_standin_server_renew_tasks (fixture->server, token, 100 * MS);
  colt_standin_server_advance (fixture->server, 150 * MS - 1);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_ENDED], ==, 0);
  g_assert_cmpint (colt_standin_server_next_due_us (fixture->server), ==,
                   150 * MS);
  colt_standin_server_advance (fixture->server, 170 * MS);
  g_assert_cmpint (fixture->last_end_state, ==, COLT_TASK_LAPSED);
  g_assert_cmpint (fixture->last_end_us, ==, 150 * MS);
}

static void
test_start_with_expired_lease_is_refused (struct ColtServerFixture *fixture,
                                          gconstpointer data)
{
  struct ColtTaskStart start = make_start (1, 1, "");
  int64_t token = acquire_lease (fixture, 1000, 1);
  const char *reason;

  (void)data;
  start.lease_ms = 10;
  g_assert_cmpint (colt_standin_server_start_task (fixture->server, 11 * MS,
                                                   token, &start, &reason),
                   ==, COLT_STANDIN_OUTCOME_REFUSED);
  g_assert_cmpstr (reason, ==, "lease");
}

static void
test_overcommit_is_reported (struct ColtServerFixture *fixture,
                             gconstpointer data)
{
  const struct ColtResources large = { { 1000, 901, 0, 1, 1 } };
  int64_t token = acquire_lease (fixture, 1000, 1);
  struct ColtTaskRef second = make_start (2, 1, "").ref;

  (void)data;
  start_task (fixture, 1000, token, make_start (1, 1, "forever=1"));
  start_task (fixture, 1000, token, make_start (2, 1, "forever=1"));
  g_assert_cmpint (fixture->notices[COLT_STANDIN_OVERCOMMITTED], ==, 0);
  g_assert_cmpint (
      colt_standin_server_resize_task (fixture->server, 2000, &second, &large),
      ==, COLT_STANDIN_OUTCOME_RESIZED);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_RESIZED], ==, 1);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_OVERCOMMITTED], ==, 1);
  g_assert_cmpint (
      start_task (fixture, 3000, token, make_start (3, 1, "forever=1")), ==,
      COLT_STANDIN_OUTCOME_STARTED);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_OVERCOMMITTED], ==, 2);
  g_assert_cmpint (
      colt_standin_server_used (fixture->server)->amount[COLT_RESOURCE_SLOTS],
      ==, 3);
}

static bool
count_event (void *client, const struct ColtStandinEvent *event)
{
  int *counts = client;

  counts[event->kind]++;
  return true;
}

static void
test_events_report_delayed_usage_and_ends (struct ColtServerFixture *fixture,
                                           gconstpointer data)
{
  struct ColtStandinEvents *events
      = colt_standin_server_events (fixture->server);
  struct ColtTaskStart start = make_start (1, 1, "forever=1;cores_milli=300");
  int64_t token = acquire_lease (fixture, 0, 1);
  const struct ColtStandinTask *task;
  int counts[4] = { 0 };

  (void)data;
  start_task (fixture, 0, token, start);
  task = colt_standin_server_find_task (fixture->server, &start.ref);
  colt_standin_server_advance (fixture->server, 1500 * MS);
  g_assert_cmpint (task->usage.amount[COLT_RESOURCE_CORES], ==, 0);
  colt_standin_server_advance (fixture->server, 2000 * MS);
  g_assert_cmpint (task->usage.amount[COLT_RESOURCE_CORES], ==, 300);
  colt_standin_server_stop_task (fixture->server, 2000 * MS, &start.ref, true);
  colt_standin_events_visit (events, 0, count_event, counts);
  g_assert_cmpint (counts[COLT_STANDIN_EVENT_USAGE], ==, 1);
  g_assert_cmpint (counts[COLT_STANDIN_EVENT_STOPPED], ==, 1);
  g_assert_cmpint (task->checkpoint_ms, ==, 2000);
  colt_standin_events_drop (events, 1);
  colt_standin_events_visit (events, 0, count_event, counts);
  g_assert_cmpint (counts[COLT_STANDIN_EVENT_USAGE], ==, 1);
  g_assert_cmpint (counts[COLT_STANDIN_EVENT_STOPPED], ==, 2);
}

static void
test_ended_task_is_kept_for_retention_time (struct ColtServerFixture *fixture,
                                            gconstpointer data)
{
  int64_t end_us = 1000 + 10 * MS;
  int64_t token = acquire_lease (fixture, 1000, 1);
  struct ColtTaskStart start = make_start (1, 2, "run_ms=10");
  struct ColtTaskRef any_attempt = start.ref;
  int counts[4] = { 0 };

  (void)data;
  any_attempt.attempt = 0;
  start_task (fixture, 1000, token, start);
  colt_standin_server_advance (fixture->server,
                               end_us + 900 * COLT_US_PER_S - 1);
  g_assert_nonnull (
      colt_standin_server_find_task (fixture->server, &any_attempt));
  colt_standin_server_advance (fixture->server, end_us + 900 * COLT_US_PER_S);
  g_assert_null (colt_standin_server_find_task (fixture->server, &any_attempt));
  colt_standin_events_visit (colt_standin_server_events (fixture->server), 0,
                             count_event, counts);
  g_assert_cmpint (counts[COLT_STANDIN_EVENT_FINISHED], ==, 0);
}

static void
test_killed_server_loses_its_state (struct ColtServerFixture *fixture,
                                    gconstpointer data)
{
  int64_t token = acquire_lease (fixture, 1000, 9);
  struct ColtTaskStart start = make_start (1, 1, "forever=1");

  (void)data;
  start_task (fixture, 1000, token, start);
  colt_standin_server_kill (fixture->server, 5000);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_DOWN], ==, 1);
  g_assert_cmpint (fixture->notices[COLT_STANDIN_ENDED], ==, 1);
  g_assert_null (colt_standin_server_find_task (fixture->server, &start.ref));
  g_assert_cmpint (
      colt_standin_server_used (fixture->server)->amount[COLT_RESOURCE_SLOTS],
      ==, 0);
  g_assert_cmpint (
      colt_standin_server_authorise (fixture->server, 5000, 9, 0, 0), ==,
      COLT_STANDIN_FENCED);
  acquire_lease (fixture, 6000, 1);
}

static void
test_fail_all_fails_started_tasks (struct ColtServerFixture *fixture,
                                   gconstpointer data)
{
  int64_t token = acquire_lease (fixture, 1000, 1);

  (void)data;
  colt_standin_server_set_fail_all (fixture->server, true);
  start_task (fixture, 1000, token, make_start (1, 1, "forever=1"));
  colt_standin_server_advance (fixture->server, 100 * MS);
  g_assert_cmpint (fixture->last_end_state, ==, COLT_TASK_FAILED);
}

static void
add_test (const char *path,
          void (*run) (struct ColtServerFixture *fixture, gconstpointer data))
{
  g_test_add (path, struct ColtServerFixture, NULL, set_up, run, tear_down);
}

void
add_server_tests (void)
{
  add_test ("/server/lease/one", test_lease_has_one_holder);
  add_test ("/server/lease/release", test_released_lease_can_be_acquired);
  add_test ("/server/lease/issue", test_renewal_counts_from_token_issue);
  add_test ("/server/lease/token", test_token_of_another_lease_is_refused);
  add_test ("/server/start/once", test_attempt_starts_once);
  add_test ("/server/start/shard", test_lower_shard_epoch_is_refused);
  add_test ("/server/start/late", test_start_with_expired_lease_is_refused);
  add_test ("/server/task/lapse", test_task_lapses_unless_renewed);
  add_test ("/server/limits", test_overcommit_is_reported);
  add_test ("/server/events", test_events_report_delayed_usage_and_ends);
  add_test ("/server/retention", test_ended_task_is_kept_for_retention_time);
  add_test ("/server/kill", test_killed_server_loses_its_state);
  add_test ("/server/fail", test_fail_all_fails_started_tasks);
}
