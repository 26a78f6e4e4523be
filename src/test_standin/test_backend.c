#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "backend_server.h"
#include "coltsfootstile/backend.h"
#include "tests.h"

#define TIMEOUT_MS 5000
#define LEASE_MS 60000
#define TASK_TEXT "01010000000000000000000000000001-0"

/* A stand-in server and a backend driver connected to it, in one event loop. */
struct ColtBackendFixture
{
  struct event_base *base;
  struct ColtStandinRecorder *recorder;
  struct ColtStandinBackend *server;
  struct ColtBackendDriver *driver;
  bool done;
  enum ColtBackendResult result;
  struct ColtBackendFence fence;
  char token[COLT_BACKEND_TOKEN_SIZE];
  enum ColtBackendStartStatus start_status;
  struct ColtTaskReport report; /* without its result, which is in answer */
  GByteArray *answer;
  size_t task_count;
};

static void
set_up (struct ColtBackendFixture *fixture, gconstpointer data)
{
  const struct ColtStandinServerSpec spec
      = { 1, 1, 1, { { 4000, 1000, 0, 2, 64 } }, 1.0, 1000000 };
  char address[32];

  (void)data;
  fixture->base = event_base_new ();
  fixture->answer = g_byte_array_new ();
  fixture->recorder = colt_standin_recorder_create (fixture->base, NULL, NULL);
  fixture->server = colt_standin_backend_create (
      fixture->base, &spec, "127.0.0.1:0", fixture->recorder);
  g_assert_true (colt_standin_backend_listen (fixture->server, NULL));
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              (unsigned)colt_standin_backend_port (fixture->server));
  fixture->driver
      = colt_backend_http_create (fixture->base, address, TIMEOUT_MS);
}

static void
tear_down (struct ColtBackendFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->driver->destroy (fixture->driver);
  colt_standin_backend_destroy (fixture->server);
  colt_standin_recorder_destroy (fixture->recorder);
  g_byte_array_unref (fixture->answer);
  event_base_free (fixture->base);
}

static enum ColtBackendResult
wait_for_answer (struct ColtBackendFixture *fixture)
{
  while (!fixture->done)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  fixture->done = false;
  return fixture->result;
}

static void
save_status (struct ColtBackendFixture *fixture,
             const struct ColtBackendStatus *status)
{
  fixture->done = true;
  fixture->result = status->result;
  fixture->fence = status->fence;
}

static void
save_report (struct ColtBackendFixture *fixture,
             const struct ColtTaskReport *report)
{
  fixture->report = *report;
  fixture->report.result = NULL;
  g_byte_array_set_size (fixture->answer, 0);
  if (report->result != NULL)
    g_byte_array_append (fixture->answer, report->result,
                         (guint)report->result_size);
}

static void
on_lease (void *client,
          const struct ColtBackendStatus *status,
          const struct ColtBackendLease *lease)
{
  struct ColtBackendFixture *fixture = client;

  save_status (fixture, status);
  if (lease != NULL)
    g_strlcpy (fixture->token, lease->token, sizeof fixture->token);
}

static void
on_change (void *client,
           const struct ColtBackendStatus *status,
           const struct ColtBackendChangeAnswer *changes)
{
  struct ColtBackendFixture *fixture = client;

  save_status (fixture, status);
  if (changes != NULL && changes->result_count > 0)
    fixture->start_status = changes->results[0].status;
}

static void
on_events (void *client,
           const struct ColtBackendStatus *status,
           const struct ColtBackendEvents *events)
{
  struct ColtBackendFixture *fixture = client;

  save_status (fixture, status);
  if (events != NULL && events->count > 0)
    save_report (fixture, &events->events[0].task);
}

static void
on_inventory (void *client,
              const struct ColtBackendStatus *status,
              const struct ColtBackendInventory *inventory)
{
  struct ColtBackendFixture *fixture = client;

  save_status (fixture, status);
  if (inventory == NULL)
    return;
  fixture->task_count = inventory->task_count;
  if (inventory->task_count > 0)
    save_report (fixture, &inventory->tasks[0]);
}

static void
on_fetch (void *client,
          const struct ColtBackendStatus *status,
          const struct ColtTaskReport *report)
{
  struct ColtBackendFixture *fixture = client;

  save_status (fixture, status);
  fixture->task_count = report != NULL ? 1 : 0;
  if (report != NULL)
    save_report (fixture, report);
}

static enum ColtBackendResult
acquire (struct ColtBackendFixture *fixture, uint32_t owner, uint64_t epoch)
{
  fixture->driver->acquire (fixture->driver, owner, epoch, LEASE_MS, on_lease,
                            fixture);
  return wait_for_answer (fixture);
}

static enum ColtBackendResult
start_task (struct ColtBackendFixture *fixture,
            uint64_t epoch,
            const char *payload)
{
  struct ColtBackendChange change = { 0 };
  struct ColtTaskStart start = { 0 };

  g_assert_true (colt_task_parse (TASK_TEXT, &start.ref, NULL));
  start.ref.attempt = 1;
  start.shard = 3;
  start.shard_epoch = 1;
  g_strlcpy (start.team, "bookings", sizeof start.team);
  start.limit = (struct ColtResources){ { 1000, 100, 0, 1, 1 } };
  start.lease_ms = LEASE_MS;
  start.payload = (const uint8_t *)payload;
  start.payload_size = strlen (payload);
  change.epoch = epoch;
  change.token = fixture->token;
  change.starts = &start;
  change.start_count = 1;
  fixture->driver->change (fixture->driver, &change, on_change, fixture);
  return wait_for_answer (fixture);
}

static void
assert_answer (const struct ColtBackendFixture *fixture, const char *payload)
{
  size_t size;
  uint8_t *answer = colt_standin_build_answer (
      TASK_TEXT, (const uint8_t *)payload, strlen (payload), &size);

  g_assert_cmpint (fixture->report.state, ==, COLT_TASK_FINISHED);
  g_assert_cmpmem (fixture->answer->data, fixture->answer->len, answer, size);
  free (answer);
}

static void
test_task_is_started_and_answered (struct ColtBackendFixture *fixture,
                                   gconstpointer data)
{
  const char *payload = "run_ms=1;bytes=3000;seed=11";
  struct ColtTaskRef ref;

  (void)data;
  g_assert_cmpint (acquire (fixture, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (fixture, 1, payload), ==, COLT_BACKEND_OK);
  g_assert_cmpint (fixture->start_status, ==, COLT_BACKEND_STARTED);
  g_assert_cmpint (start_task (fixture, 1, payload), ==, COLT_BACKEND_OK);
  g_assert_cmpint (fixture->start_status, ==, COLT_BACKEND_DUPLICATE);
  fixture->driver->events (fixture->driver, 1, 0, TIMEOUT_MS, on_events,
                           fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  assert_answer (fixture, payload);
  fixture->driver->inventory (fixture->driver, 1, on_inventory, fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  g_assert_cmpuint (fixture->task_count, ==, 1);
  assert_answer (fixture, payload);
  ref = fixture->report.ref;
  fixture->driver->fetch (fixture->driver, &ref, on_fetch, fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  assert_answer (fixture, payload);
  ref.attempt = 2;
  fixture->driver->fetch (fixture->driver, &ref, on_fetch, fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  g_assert_cmpuint (fixture->task_count, ==, 0);
}

static void
test_other_owner_is_fenced (struct ColtBackendFixture *fixture,
                            gconstpointer data)
{
  (void)data;
  g_assert_cmpint (acquire (fixture, 7, 5), ==, COLT_BACKEND_OK);
  g_assert_cmpint (acquire (fixture, 8, 6), ==, COLT_BACKEND_FENCED);
  g_assert_cmpuint (fixture->fence.epoch, ==, 5);
  g_assert_cmpuint (fixture->fence.owner, ==, 7);
  g_assert_cmpint (fixture->fence.remaining_ms, >, 0);
  g_assert_cmpint (start_task (fixture, 4, ""), ==, COLT_BACKEND_FENCED);
  fixture->driver->release (fixture->driver, 7, 5, fixture->token, on_lease,
                            fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (fixture, 5, ""), ==, COLT_BACKEND_FENCED);
  g_assert_cmpint (acquire (fixture, 8, 5), ==, COLT_BACKEND_FENCED);
  g_assert_cmpint (acquire (fixture, 8, 6), ==, COLT_BACKEND_OK);
}

static void
test_start_with_lost_answer_can_be_fetched (struct ColtBackendFixture *fixture,
                                            gconstpointer data)
{
  json_t *lose_all = json_pack ("{s:i}", "lose_answers_permille", 1000);
  json_t *lose_none = json_pack ("{s:i}", "lose_answers_permille", 0);
  struct ColtTaskRef ref;

  (void)data;
  g_assert_cmpint (acquire (fixture, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_true (
      colt_standin_backend_set_faults (fixture->server, lose_all, NULL));
  g_assert_cmpint (start_task (fixture, 1, "forever=1"), ==,
                   COLT_BACKEND_UNKNOWN);
  g_assert_true (
      colt_standin_backend_set_faults (fixture->server, lose_none, NULL));
  g_assert_true (colt_task_parse (TASK_TEXT, &ref, NULL));
  ref.attempt = 1;
  fixture->driver->fetch (fixture->driver, &ref, on_fetch, fixture);
  g_assert_cmpint (wait_for_answer (fixture), ==, COLT_BACKEND_OK);
  g_assert_cmpint (fixture->report.state, ==, COLT_TASK_RUNNING);
  json_decref (lose_all);
  json_decref (lose_none);
}

static void
test_killed_server_is_unreachable (struct ColtBackendFixture *fixture,
                                   gconstpointer data)
{
  json_t *down = json_pack ("{s:b}", "down", 1);

  (void)data;
  g_assert_cmpint (acquire (fixture, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (fixture, 1, "forever=1"), ==, COLT_BACKEND_OK);
  fixture->driver->events (fixture->driver, 1, 0, TIMEOUT_MS, on_events,
                           fixture);
  g_assert_true (colt_standin_backend_set_faults (fixture->server, down, NULL));
  g_assert_cmpint (wait_for_answer (fixture), !=, COLT_BACKEND_OK);
  g_assert_cmpint (acquire (fixture, 7, 2), !=, COLT_BACKEND_OK);
  json_decref (down);
}

static void
add_test (const char *path,
          void (*run) (struct ColtBackendFixture *fixture, gconstpointer data))
{
  g_test_add (path, struct ColtBackendFixture, NULL, set_up, run, tear_down);
}

void
add_backend_tests (void)
{
  add_test ("/backend/answer", test_task_is_started_and_answered);
  add_test ("/backend/fence", test_other_owner_is_fenced);
  add_test ("/backend/lost", test_start_with_lost_answer_can_be_fetched);
  add_test ("/backend/down", test_killed_server_is_unreachable);
}
