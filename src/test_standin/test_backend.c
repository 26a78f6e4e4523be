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

/* A stand-in and a driver that speaks with it, in one loop. */
struct ColtPair
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
  struct ColtTaskReport report; /* without its result */
  GByteArray *answer;
  size_t task_count;
};

static void
set_up (struct ColtPair *pair, gconstpointer data)
{
  const struct ColtStandinServerSpec spec
      = { 1, 1, 1, { { 4000, 1000, 0, 2, 64 } }, 1.0, 1000000 };
  char address[32];

  (void)data;
  pair->base = event_base_new ();
  pair->answer = g_byte_array_new ();
  pair->recorder = colt_standin_recorder_create (pair->base, NULL, NULL);
  pair->server = colt_standin_backend_create (pair->base, &spec, "127.0.0.1:0",
                                              pair->recorder);
  g_assert_true (colt_standin_backend_listen (pair->server, NULL));
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              (unsigned)colt_standin_backend_port (pair->server));
  pair->driver = colt_backend_http_create (pair->base, address, TIMEOUT_MS);
}

static void
tear_down (struct ColtPair *pair, gconstpointer data)
{
  (void)data;
  pair->driver->destroy (pair->driver);
  colt_standin_backend_destroy (pair->server);
  colt_standin_recorder_destroy (pair->recorder);
  g_byte_array_unref (pair->answer);
  event_base_free (pair->base);
}

static enum ColtBackendResult
wait_for (struct ColtPair *pair)
{
  while (!pair->done)
    event_base_loop (pair->base, EVLOOP_ONCE);
  pair->done = false;
  return pair->result;
}

static void
end_call (struct ColtPair *pair, const struct ColtBackendStatus *status)
{
  pair->done = true;
  pair->result = status->result;
  pair->fence = status->fence;
}

static void
take_report (struct ColtPair *pair, const struct ColtTaskReport *report)
{
  pair->report = *report;
  pair->report.result = NULL;
  g_byte_array_set_size (pair->answer, 0);
  if (report->result != NULL)
    g_byte_array_append (pair->answer, report->result,
                         (guint)report->result_size);
}

static void
take_lease (void *client,
            const struct ColtBackendStatus *status,
            const struct ColtBackendLease *lease)
{
  struct ColtPair *pair = client;

  end_call (pair, status);
  if (lease != NULL)
    g_strlcpy (pair->token, lease->token, sizeof pair->token);
}

static void
take_change (void *client,
             const struct ColtBackendStatus *status,
             const struct ColtBackendChangeAnswer *changed)
{
  struct ColtPair *pair = client;

  end_call (pair, status);
  if (changed != NULL && changed->result_count > 0)
    pair->start_status = changed->results[0].status;
}

static void
take_events (void *client,
             const struct ColtBackendStatus *status,
             const struct ColtBackendEvents *events)
{
  struct ColtPair *pair = client;

  end_call (pair, status);
  if (events != NULL && events->count > 0)
    take_report (pair, &events->events[0].task);
}

static void
take_inventory (void *client,
                const struct ColtBackendStatus *status,
                const struct ColtBackendInventory *inventory)
{
  struct ColtPair *pair = client;

  end_call (pair, status);
  if (inventory == NULL)
    return;
  pair->task_count = inventory->task_count;
  if (inventory->task_count > 0)
    take_report (pair, &inventory->tasks[0]);
}

static void
take_fetch (void *client,
            const struct ColtBackendStatus *status,
            const struct ColtTaskReport *report)
{
  struct ColtPair *pair = client;

  end_call (pair, status);
  pair->task_count = report != NULL ? 1 : 0;
  if (report != NULL)
    take_report (pair, report);
}

static enum ColtBackendResult
acquire (struct ColtPair *pair, uint32_t owner, uint64_t epoch)
{
  pair->driver->acquire (pair->driver, owner, epoch, LEASE_MS, take_lease,
                         pair);
  return wait_for (pair);
}

static enum ColtBackendResult
start_task (struct ColtPair *pair, uint64_t epoch, const char *payload)
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
  change.token = pair->token;
  change.starts = &start;
  change.start_count = 1;
  pair->driver->change (pair->driver, &change, take_change, pair);
  return wait_for (pair);
}

static void
assert_answer (const struct ColtPair *pair, const char *payload)
{
  size_t size;
  uint8_t *answer = colt_standin_answer (TASK_TEXT, (const uint8_t *)payload,
                                         strlen (payload), &size);

  g_assert_cmpint (pair->report.state, ==, COLT_TASK_FINISHED);
  g_assert_cmpmem (pair->answer->data, pair->answer->len, answer, size);
  free (answer);
}

static void
test_task_is_started_and_answered (struct ColtPair *pair, gconstpointer data)
{
  const char *payload = "run_ms=1;bytes=3000;seed=11";
  struct ColtTaskRef ref;

  (void)data;
  g_assert_cmpint (acquire (pair, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (pair, 1, payload), ==, COLT_BACKEND_OK);
  g_assert_cmpint (pair->start_status, ==, COLT_BACKEND_STARTED);
  g_assert_cmpint (start_task (pair, 1, payload), ==, COLT_BACKEND_OK);
  g_assert_cmpint (pair->start_status, ==, COLT_BACKEND_DUPLICATE);
  pair->driver->events (pair->driver, 1, 0, TIMEOUT_MS, take_events, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  assert_answer (pair, payload);
  pair->driver->inventory (pair->driver, 1, take_inventory, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  g_assert_cmpuint (pair->task_count, ==, 1);
  assert_answer (pair, payload);
  ref = pair->report.ref;
  pair->driver->fetch (pair->driver, &ref, take_fetch, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  assert_answer (pair, payload);
  ref.attempt = 2;
  pair->driver->fetch (pair->driver, &ref, take_fetch, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  g_assert_cmpuint (pair->task_count, ==, 0);
}

static void
test_other_owner_is_fenced (struct ColtPair *pair, gconstpointer data)
{
  (void)data;
  g_assert_cmpint (acquire (pair, 7, 5), ==, COLT_BACKEND_OK);
  g_assert_cmpint (acquire (pair, 8, 6), ==, COLT_BACKEND_FENCED);
  g_assert_cmpuint (pair->fence.epoch, ==, 5);
  g_assert_cmpuint (pair->fence.owner, ==, 7);
  g_assert_cmpint (pair->fence.remaining_ms, >, 0);
  g_assert_cmpint (start_task (pair, 4, ""), ==, COLT_BACKEND_FENCED);
  pair->driver->release (pair->driver, 7, 5, pair->token, take_lease, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (pair, 5, ""), ==, COLT_BACKEND_FENCED);
  g_assert_cmpint (acquire (pair, 8, 5), ==, COLT_BACKEND_FENCED);
  g_assert_cmpint (acquire (pair, 8, 6), ==, COLT_BACKEND_OK);
}

static void
test_lost_answer_is_unknown_and_fetched (struct ColtPair *pair,
                                         gconstpointer data)
{
  json_t *lose = json_pack ("{s:i}", "lose_answers_permille", 1000);
  json_t *keep = json_pack ("{s:i}", "lose_answers_permille", 0);
  struct ColtTaskRef ref;

  (void)data;
  g_assert_cmpint (acquire (pair, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_true (colt_standin_backend_switch (pair->server, lose, NULL));
  g_assert_cmpint (start_task (pair, 1, "forever=1"), ==, COLT_BACKEND_UNKNOWN);
  g_assert_true (colt_standin_backend_switch (pair->server, keep, NULL));
  g_assert_true (colt_task_parse (TASK_TEXT, &ref, NULL));
  ref.attempt = 1;
  pair->driver->fetch (pair->driver, &ref, take_fetch, pair);
  g_assert_cmpint (wait_for (pair), ==, COLT_BACKEND_OK);
  g_assert_cmpint (pair->report.state, ==, COLT_TASK_RUNNING);
  json_decref (lose);
  json_decref (keep);
}

static void
test_killed_server_is_not_reached (struct ColtPair *pair, gconstpointer data)
{
  json_t *down = json_pack ("{s:b}", "down", 1);

  (void)data;
  g_assert_cmpint (acquire (pair, 7, 1), ==, COLT_BACKEND_OK);
  g_assert_cmpint (start_task (pair, 1, "forever=1"), ==, COLT_BACKEND_OK);
  pair->driver->events (pair->driver, 1, 0, TIMEOUT_MS, take_events, pair);
  g_assert_true (colt_standin_backend_switch (pair->server, down, NULL));
  g_assert_cmpint (wait_for (pair), !=, COLT_BACKEND_OK);
  g_assert_cmpint (acquire (pair, 7, 2), !=, COLT_BACKEND_OK);
  json_decref (down);
}

static void
add_test (const char *path,
          void (*run) (struct ColtPair *pair, gconstpointer data))
{
  g_test_add (path, struct ColtPair, NULL, set_up, run, tear_down);
}

void
add_backend_tests (void)
{
  add_test ("/backend/answer", test_task_is_started_and_answered);
  add_test ("/backend/fence", test_other_owner_is_fenced);
  add_test ("/backend/lost", test_lost_answer_is_unknown_and_fetched);
  add_test ("/backend/down", test_killed_server_is_not_reached);
}
