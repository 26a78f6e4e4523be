#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "bodies.h"
#include "coltsfootstile/backend.h"
#include "fake_http.h"

struct ColtBackendFixture
{
  struct event_base *base;
  struct ColtFakeHttp *fake;
  struct ColtBackendDriver *driver;
  struct ColtTaskRef ref;
  struct ColtBackendStatus status;
  guint ended_calls;
  gsize items; /* number of items in the last answer; 0 without an answer */
};

static void
set_up_with_timeout (struct ColtBackendFixture *fixture, guint timeout_ms)
{
  fixture->base = event_base_new ();
  fixture->fake = colt_fake_http_create (fixture->base);
  fixture->driver = colt_backend_http_create (
      fixture->base, colt_fake_http_address (fixture->fake), timeout_ms);
  g_assert_true (colt_task_parse (ID "-3", &fixture->ref, NULL));
  fixture->ref.attempt = 2;
}

static void
set_up (struct ColtBackendFixture *fixture, gconstpointer data)
{
  (void)data;
  set_up_with_timeout (fixture, 10000);
}

static void
set_up_short_timeout (struct ColtBackendFixture *fixture, gconstpointer data)
{
  (void)data;
  set_up_with_timeout (fixture, 30);
}

static void
tear_down (struct ColtBackendFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->driver->destroy (fixture->driver);
  colt_fake_http_destroy (fixture->fake);
  event_base_free (fixture->base);
}

static void
record_end (struct ColtBackendFixture *fixture,
            const struct ColtBackendStatus *status,
            bool answered,
            gsize items)
{
  g_assert_true (!answered || status->result == COLT_BACKEND_OK);
  fixture->status = *status;
  fixture->ended_calls++;
  fixture->items = answered ? items : 0;
}

static void
on_lease (void *client,
          const struct ColtBackendStatus *status,
          const struct ColtBackendLease *lease)
{
  record_end (client, status, lease != NULL, 1);
}

static void
on_change (void *client,
           const struct ColtBackendStatus *status,
           const struct ColtBackendChangeAnswer *answer)
{
  record_end (client, status, answer != NULL,
              answer != NULL ? answer->result_count : 0);
}

static void
on_events (void *client,
           const struct ColtBackendStatus *status,
           const struct ColtBackendEvents *events)
{
  record_end (client, status, events != NULL,
              events != NULL ? events->count : 0);
}

static void
on_task (void *client,
         const struct ColtBackendStatus *status,
         const struct ColtTaskReport *report)
{
  record_end (client, status, report != NULL,
              report != NULL ? report->result_size : 0);
}

static void
wait_for_calls (struct ColtBackendFixture *fixture, guint ended_calls)
{
  while (fixture->ended_calls < ended_calls)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

static void
start_task (struct ColtBackendFixture *fixture)
{
  struct ColtTaskStart start = { 0 };
  struct ColtBackendChange change = { 0 };

  start.ref = fixture->ref;
  change.epoch = 6;
  change.token = "7";
  change.starts = &start;
  change.start_count = 1;
  fixture->driver->change (fixture->driver, &change, on_change, fixture);
}

static void
test_call_results (struct ColtBackendFixture *fixture, gconstpointer data)
{
  static const struct
  {
    enum ColtFakeAction act;
    int status;
    const char *body;
    enum ColtBackendResult result;
  } cases[] = {
    { COLT_FAKE_ANSWER, 200, CHANGE_ANSWER (RESULT ("started")),
      COLT_BACKEND_OK },
    { COLT_FAKE_TRUNCATE, 200, CHANGE_ANSWER (RESULT ("started")),
      COLT_BACKEND_UNKNOWN },
    { COLT_FAKE_ANSWER, 200, CHANGE_ANSWER (""), COLT_BACKEND_UNKNOWN },
    { COLT_FAKE_CLOSE, 0, NULL, COLT_BACKEND_UNKNOWN },
    { COLT_FAKE_ANSWER, 409, FENCED, COLT_BACKEND_FENCED },
    { COLT_FAKE_ANSWER, 409, "{}", COLT_BACKEND_UNKNOWN },
    { COLT_FAKE_ANSWER, 400, "{}", COLT_BACKEND_REFUSED },
    { COLT_FAKE_ANSWER, 503, "{}", COLT_BACKEND_REFUSED },
    { COLT_FAKE_ANSWER, 502, "{}", COLT_BACKEND_UNKNOWN },
  };
  guint i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      colt_fake_http_add_step (fixture->fake, cases[i].act, cases[i].status,
                               cases[i].body);
      start_task (fixture);
      wait_for_calls (fixture, i + 1);
      g_assert_cmpint (fixture->status.result, ==, cases[i].result);
      g_assert_cmpuint (fixture->items, ==, i == 0 ? 1 : 0);
      g_assert_true ((fixture->status.error.code == COLT_ERROR_NONE)
                     == (i == 0));
      if (cases[i].result == COLT_BACKEND_FENCED)
        g_assert_cmpuint (fixture->status.fence.epoch, ==, 6);
    }
}

static void
test_lease_calls (struct ColtBackendFixture *fixture, gconstpointer data)
{
  guint i;

  (void)data;
  for (i = 0; i < 3; i++)
    colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, LEASE);
  fixture->driver->acquire (fixture->driver, 1, 6, 2000, on_lease, fixture);
  fixture->driver->renew (fixture->driver, 1, 6, "7", 2000, on_lease, fixture);
  fixture->driver->release (fixture->driver, 1, 6, "7", on_lease, fixture);
  wait_for_calls (fixture, 3);
  g_assert_cmpuint (fixture->items, ==, 1);
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 1);
  g_assert_true (
      g_str_has_suffix (colt_fake_http_request (fixture->fake, 0),
                        "\r\n\r\n{\"owner\":1,\"epoch\":6,\"lease_ms\":2000}"));
  g_assert_true (g_str_has_suffix (
      colt_fake_http_request (fixture->fake, 1),
      "{\"owner\":1,\"epoch\":6,\"token\":7,\"lease_ms\":2000}"));
  g_assert_true (g_str_has_suffix (colt_fake_http_request (fixture->fake, 2),
                                   "{\"owner\":1,\"epoch\":6,\"token\":7,"
                                   "\"release\":true}"));
}

static void
test_fetch_uses_a_new_connection (struct ColtBackendFixture *fixture,
                                  gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_NO_ANSWER, 0, NULL);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, FINISHED);
  start_task (fixture);
  while (colt_fake_http_request (fixture->fake, 0) == NULL)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  fixture->driver->fetch (fixture->driver, &fixture->ref, on_task, fixture);
  wait_for_calls (fixture, 1);
  g_assert_cmpuint (fixture->items, ==, 2);
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 2);
  g_assert_true (g_str_has_prefix (colt_fake_http_request (fixture->fake, 1),
                                   "GET /v1/tasks/" ID "-3?attempt=2 "));
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 404, "{}");
  fixture->driver->fetch (fixture->driver, &fixture->ref, on_task, fixture);
  wait_for_calls (fixture, 2);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_OK);
  g_assert_cmpuint (fixture->items, ==, 0);
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 3);
}

static void
test_timeout_opens_new_connection (struct ColtBackendFixture *fixture,
                                   gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_NO_ANSWER, 0, NULL);
  start_task (fixture);
  wait_for_calls (fixture, 1);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_UNKNOWN);
  g_assert_cmpint (fixture->status.error.code, ==, COLT_ERROR_TIMEOUT);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, LEASE);
  fixture->driver->acquire (fixture->driver, 1, 6, 2000, on_lease, fixture);
  wait_for_calls (fixture, 2);
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 2);
}

static void
test_events_do_not_block_commands (struct ColtBackendFixture *fixture,
                                   gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_NO_ANSWER, 0, NULL);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, LEASE);
  fixture->driver->events (fixture->driver, 6, 7, 60000, on_events, fixture);
  while (colt_fake_http_request (fixture->fake, 0) == NULL)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  fixture->driver->acquire (fixture->driver, 1, 6, 2000, on_lease, fixture);
  wait_for_calls (fixture, 1);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_OK);
  fixture->driver->cancel (fixture->driver);
  g_assert_cmpuint (fixture->ended_calls, ==, 2);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_UNKNOWN);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200,
                           EVENTS (EVENT ("8")));
  fixture->driver->events (fixture->driver, 6, 7, 10, on_events, fixture);
  wait_for_calls (fixture, 3);
  g_assert_cmpuint (fixture->items, ==, 1);
}

static void
test_queues_are_bounded (struct ColtBackendFixture *fixture, gconstpointer data)
{
  guint i;

  (void)data;
  for (i = 0; i < COLT_BACKEND_QUEUE_MAX + 2; i++)
    start_task (fixture);
  g_assert_cmpuint (fixture->ended_calls, ==, 0);
  wait_for_calls (fixture, 1);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_NOT_SENT);
  g_assert_cmpint (fixture->status.error.code, ==, COLT_ERROR_EXHAUSTED);
  for (i = 0; i < COLT_BACKEND_FETCH_MAX + 1; i++)
    fixture->driver->fetch (fixture->driver, &fixture->ref, on_task, fixture);
  wait_for_calls (fixture, 2);
  g_assert_cmpint (fixture->status.result, ==, COLT_BACKEND_NOT_SENT);
  g_assert_cmpint (fixture->status.error.code, ==, COLT_ERROR_EXHAUSTED);
  fixture->driver->cancel (fixture->driver);
  g_assert_cmpuint (fixture->ended_calls, ==,
                    COLT_BACKEND_QUEUE_MAX + COLT_BACKEND_FETCH_MAX + 3);
}

#define ADD(path, set_up_function, test)                                       \
  g_test_add ("/backend/http/" path, struct ColtBackendFixture, NULL,          \
              set_up_function, test, tear_down)

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  add_decode_tests ();
  ADD ("results", set_up, test_call_results);
  ADD ("lease", set_up, test_lease_calls);
  ADD ("fetch", set_up, test_fetch_uses_a_new_connection);
  ADD ("silent", set_up_short_timeout, test_timeout_opens_new_connection);
  ADD ("events", set_up, test_events_do_not_block_commands);
  ADD ("queues", set_up, test_queues_are_bounded);
  return g_test_run ();
}
