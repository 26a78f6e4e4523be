#include <event2/event.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/http_client.h"
#include "coltsfootstile/log_service.h"
#include "fake_http.h"
#include "tests.h"

/* Of records that take three seconds at the rate of their test. */
#define SLOW_READ_BYTES 6000
/* Of an answer that takes two seconds at the rate of its test. */
#define SLOW_ANSWER_BYTES 2000
/* Of a request that takes a second at the rate of its test. More than the
 * kernel holds of it, so that a part waits in the client. */
#define SLOW_REQUEST_BYTES (24 * 1024 * 1024)

struct ColtHttpReceived
{
  guint count;
  size_t size; /* bytes of the answer that arrived, with its headers */
  enum ColtHttpResult result;
  int status;
  uint64_t connection;
  char body[64];
  struct ColtError error;
};

struct ColtHttpFixture
{
  struct event_base *base;
  struct ColtFakeHttp *fake;
  struct ColtHttpClient *http;
  struct ColtHttpReceived received;
};

static void
set_up (struct ColtHttpFixture *fixture, gconstpointer data)
{
  bool collects_changes = data != NULL;

  fixture->base
      = collects_changes ? colt_http_create_base () : event_base_new ();
  fixture->fake = colt_fake_http_create (fixture->base);
  fixture->http = colt_http_client_create (
      fixture->base, colt_fake_http_address (fixture->fake), 32, 1);
}

static void
tear_down (struct ColtHttpFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_http_client_destroy (fixture->http);
  colt_fake_http_destroy (fixture->fake);
  event_base_free (fixture->base);
}

static void
on_answer (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtHttpReceived *received = client;

  received->count++;
  received->result = answer->result;
  received->status = answer->status;
  received->connection = answer->connection;
  received->error = answer->error;
  received->size = answer->received;
  if (answer->body != NULL)
    g_strlcpy (received->body, answer->body, sizeof received->body);
}

static void
call_and_wait (struct ColtHttpFixture *fixture, guint timeout_ms)
{
  guint before = fixture->received.count;

  colt_http_client_call (fixture->http, "/x", NULL, timeout_ms, on_answer,
                         &fixture->received);
  g_assert_cmpuint (fixture->received.count, ==, before);
  while (fixture->received.count == before)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

static void
test_method_and_headers (struct ColtHttpFixture *fixture, gconstpointer data)
{
  const struct ColtHttpHeader headers[]
      = { { "Authorization", "Bearer x" }, { "Request-Id", NULL } };
  const struct ColtHttpRequest request = { .method = COLT_HTTP_DELETE,
                                           .path = "/y",
                                           .headers = headers,
                                           .header_count = 2,
                                           .timeout_ms = 10000 };
  const char *sent;

  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "gone");
  colt_http_client_send (fixture->http, &request, on_answer,
                         &fixture->received);
  while (fixture->received.count == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  sent = colt_fake_http_request (fixture->fake, 0);
  g_assert_true (g_str_has_prefix (sent, "DELETE /y HTTP/1.1\r\n"));
  g_assert_nonnull (strstr (sent, "\r\nAuthorization: Bearer x\r\n"));
  g_assert_null (strstr (sent, "Request-Id"));
}

static void
test_answers_share_a_connection (struct ColtHttpFixture *fixture,
                                 gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 503, "two");
  call_and_wait (fixture, 10000);
  g_assert_cmpstr (fixture->received.body, ==, "one");
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
  g_assert_cmpint (fixture->received.status, ==, 503);
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 1);
}

static void
test_incomplete_answers_are_unknown (struct ColtHttpFixture *fixture,
                                     gconstpointer data)
{
  static const enum ColtFakeAction actions[]
      = { COLT_FAKE_TRUNCATE, COLT_FAKE_UNBOUNDED, COLT_FAKE_CLOSE };
  gsize i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (actions); i++)
    {
      colt_fake_http_add_step (fixture->fake, actions[i], 200, "part");
      call_and_wait (fixture, 10000);
      g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
      g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_TRUNCATED);
      g_assert_cmpstr (fixture->received.error.peer, ==,
                       colt_fake_http_address (fixture->fake));
      g_assert_cmpstr (fixture->received.body, ==, "");
    }
}

static void
test_large_answer_is_unknown (struct ColtHttpFixture *fixture,
                              gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200,
                           "this body is longer than thirty-two bytes");
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_EXHAUSTED);
}

static void
test_unresponsive_connection_is_replaced (struct ColtHttpFixture *fixture,
                                          gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_NO_ANSWER, 0, NULL);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "three");
  call_and_wait (fixture, 10000);
  call_and_wait (fixture, 20);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_TIMEOUT);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
  g_assert_cmpstr (fixture->received.body, ==, "three");
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 2);
}

static void
test_closed_port_is_not_sent (struct ColtHttpFixture *fixture,
                              gconstpointer data)
{
  (void)data;
  colt_fake_http_destroy (fixture->fake);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_UNREACHABLE);
  fixture->fake = colt_fake_http_create (fixture->base);
}

static void
test_full_queue_rejects_call (struct ColtHttpFixture *fixture,
                              gconstpointer data)
{
  struct ColtHttpReceived others = { 0 };

  (void)data;
  colt_http_client_call (fixture->http, "/1", NULL, 10000, on_answer, &others);
  colt_http_client_call (fixture->http, "/2", NULL, 10000, on_answer, &others);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_EXHAUSTED);
  g_assert_cmpuint (colt_http_client_pending (fixture->http), ==, 2);
  colt_http_client_cancel (fixture->http);
  g_assert_cmpuint (others.count, ==, 2);
}

struct ColtAppendReceived
{
  guint count;
  enum ColtLogResult result;
  guint64 offset;
};

static void
on_append (void *client,
           enum ColtLogResult result,
           uint64_t offset,
           const struct ColtError *error)
{
  struct ColtAppendReceived *received = client;

  received->count++;
  received->result = result;
  received->offset = offset;
  g_assert_true ((error == NULL) == (result == COLT_LOG_APPENDED));
}

static void
test_append_results (struct ColtHttpFixture *fixture, gconstpointer data)
{
  static const struct
  {
    enum ColtFakeAction action;
    int status;
    const char *body;
    enum ColtLogResult result;
  } cases[] = {
    { COLT_FAKE_ANSWER, 200, "{\"offset\":7}", COLT_LOG_APPENDED },
    { COLT_FAKE_ANSWER, 200, "{\"offset\":\"7\"}", COLT_LOG_UNKNOWN },
    { COLT_FAKE_TRUNCATE, 200, "{\"offset\":7}", COLT_LOG_UNKNOWN },
    { COLT_FAKE_CLOSE, 0, NULL, COLT_LOG_UNKNOWN },
    { COLT_FAKE_ANSWER, 429, "{}", COLT_LOG_THROTTLED },
    { COLT_FAKE_ANSWER, 503, "{}", COLT_LOG_REFUSED },
    { COLT_FAKE_ANSWER, 400, "{}", COLT_LOG_REFUSED },
    { COLT_FAKE_ANSWER, 504, "{}", COLT_LOG_UNKNOWN },
  };
  struct ColtLogDriver *driver = colt_log_http_create (
      fixture->base, colt_fake_http_address (fixture->fake));
  struct ColtAppendReceived received = { 0 };
  guint i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      colt_fake_http_add_step (fixture->fake, cases[i].action, cases[i].status,
                               cases[i].body);
      driver->append (driver, (const uint8_t *)"ab", 2, on_append, &received);
      while (received.count == i)
        event_base_loop (fixture->base, EVLOOP_ONCE);
      g_assert_cmpint (received.result, ==, cases[i].result);
    }
  g_assert_nonnull (strstr (colt_fake_http_request (fixture->fake, 0),
                            "\r\n\r\n{\"body\":\"YWI=\"}"));
  driver->destroy (driver);
}

static void
on_limit (evutil_socket_t fd, short what, void *client)
{
  (void)fd;
  (void)what;
  *(bool *)client = true;
}

/* Guards against a longer timeout of the next append after an append was
 * cancelled: the log wasn't slow to answer. */
static void
test_cancelled_append (struct ColtHttpFixture *fixture, gconstpointer data)
{
  const struct timeval limit = { 1, 900000 };
  struct ColtLogDriver *driver = colt_log_http_create (
      fixture->base, colt_fake_http_address (fixture->fake));
  struct ColtAppendReceived received = { 0 };
  struct event *timer;
  bool late = false;

  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_NO_ANSWER, 0, NULL);
  driver->append (driver, (const uint8_t *)"a", 1, on_append, &received);
  while (colt_fake_http_request (fixture->fake, 0) == NULL)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  driver->cancel_append (driver);
  g_assert_cmpuint (received.count, ==, 1);
  g_assert_cmpint (received.result, ==, COLT_LOG_UNKNOWN);
  timer = event_new (fixture->base, -1, 0, on_limit, &late);
  event_add (timer, &limit);
  driver->append (driver, (const uint8_t *)"b", 1, on_append, &received);
  while (received.count == 1 && !late)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  g_assert_false (late);
  g_assert_cmpint (received.result, ==, COLT_LOG_UNKNOWN);
  event_free (timer);
  driver->destroy (driver);
}

struct ColtReadReceived
{
  guint count;
  bool valid;
  guint64 head;
  gsize records;
};

static void
on_read (void *client,
         const struct ColtLogPage *page,
         const struct ColtError *error)
{
  struct ColtReadReceived *received = client;

  received->count++;
  received->valid = page != NULL;
  if (page == NULL)
    {
      g_assert_cmpint (error->code, !=, COLT_ERROR_NONE);
      return;
    }
  received->head = page->head;
  received->records = page->count;
}

static void
test_read_results (struct ColtHttpFixture *fixture, gconstpointer data)
{
  static const char *const invalid[] = {
    "{\"first\":0,\"head\":2}",
    "{\"first\":0,\"head\":-1,\"records\":[]}",
    "{\"first\":0,\"head\":2,\"records\":[{\"offset\":1,\"body\":\"*\"}]}",
    "{\"first\":0,\"head\":2,\"records\":[7]}",
    "[]",
    "{",
  };
  struct ColtLogDriver *driver = colt_log_http_create (
      fixture->base, colt_fake_http_address (fixture->fake));
  struct ColtReadReceived received = { 0 };
  guint i;

  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200,
                           "{\"first\":0,\"head\":2,\"records\":[{\"offset\":1,"
                           "\"body\":\"YWI=\"}]}");
  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, invalid[i]);
  for (i = 0; i <= G_N_ELEMENTS (invalid); i++)
    {
      driver->read (driver, 1, 9, 0, on_read, &received);
      while (received.count == i)
        event_base_loop (fixture->base, EVLOOP_ONCE);
      g_assert_cmpint (received.valid, ==, i == 0);
    }
  g_assert_cmpuint (received.head, ==, 2);
  g_assert_cmpuint (received.records, ==, 1);
  g_assert_true (g_str_has_prefix (colt_fake_http_request (fixture->fake, 0),
                                   "GET /v1/records?from=1&max=9&wait_ms=0 "));
  driver->destroy (driver);
}

/* Guards against a read of records that is given up while they arrive. */
static void
test_slow_read (struct ColtHttpFixture *fixture, gconstpointer data)
{
  struct ColtLogDriver *driver = colt_log_http_create (
      fixture->base, colt_fake_http_address (fixture->fake));
  struct ColtReadReceived received = { 0 };
  char *body = g_strdup_printf ("{\"first\":0,\"head\":2,\"records\":["
                                "{\"offset\":1,\"body\":\"YWI=\"}]}%*s",
                                SLOW_READ_BYTES, "");

  (void)data;
  colt_fake_http_limit_rate (fixture->fake, SLOW_READ_BYTES / 3);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, body);
  driver->read (driver, 1, 9, 0, on_read, &received);
  while (received.count == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  g_assert_true (received.valid);
  g_assert_cmpuint (received.records, ==, 1);
  driver->destroy (driver);
  g_free (body);
}

/* Guards against the loss of the part of a call that the socket doesn't take at
 * once. */
static void
test_long_call_is_complete (struct ColtHttpFixture *fixture, gconstpointer data)
{
  const size_t size = 8 << 20;
  char *body = g_strnfill (size, 'x');
  guint i;

  (void)data;
  body[size - 1] = 'y';
  for (i = 0; i < 2; i++)
    {
      colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "done");
      colt_http_client_call (fixture->http, "/x", i > 0 ? body : "short", 10000,
                             on_answer, &fixture->received);
      while (fixture->received.count == i)
        event_base_loop (fixture->base, EVLOOP_ONCE);
      g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
    }
  g_assert_true (
      g_str_has_suffix (colt_fake_http_request (fixture->fake, 1), body));
  g_free (body);
}

/* Guards against a written call that counts as not sent. */
static void
test_cancelled_call_is_unknown (struct ColtHttpFixture *fixture,
                                gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  call_and_wait (fixture, 10000);
  colt_http_client_call (fixture->http, "/x", NULL, 10000, on_answer,
                         &fixture->received);
  colt_http_client_cancel (fixture->http);
  g_assert_cmpuint (fixture->received.count, ==, 2);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
}

/* Guards against a call that never ends, or counts as not sent, because the
 * server closed the connection before the call was written. */
static void
test_closed_connection_is_unknown (struct ColtHttpFixture *fixture,
                                   gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  call_and_wait (fixture, 10000);
  colt_fake_http_destroy (fixture->fake);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_TRUNCATED);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  fixture->fake = colt_fake_http_create (fixture->base);
}

/* Guards against a connection that hangs because it has the descriptor of one
 * that was closed in the same turn of the loop. */
static void
test_descriptor_is_reused (struct ColtHttpFixture *fixture, gconstpointer data)
{
  guint i;

  (void)data;
  for (i = 0; i < 8; i++)
    {
      colt_fake_http_add_step (fixture->fake, COLT_FAKE_TRUNCATE, 200, "part");
      colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "whole");
      colt_http_client_call (fixture->http, "/x", NULL, 10000, on_answer,
                             &fixture->received);
      call_and_wait (fixture, 10000);
      while (fixture->received.count < 2 * (i + 1))
        event_base_loop (fixture->base, EVLOOP_ONCE);
      g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
    }
}

static void
call_late_in_turn (evutil_socket_t fd, short what, void *arg)
{
  struct ColtHttpFixture *fixture = arg;

  (void)fd;
  (void)what;
  g_usleep (300 * G_TIME_SPAN_MILLISECOND);
  colt_http_client_call (fixture->http, "/x", NULL, 150, on_answer,
                         &fixture->received);
}

/* Guards against a call that times out at once because it is made late in a
 * long turn of the loop: the time before it would count. */
static void
test_call_late_in_turn (struct ColtHttpFixture *fixture, gconstpointer data)
{
  const struct timeval now = { 0, 0 };

  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "two");
  call_and_wait (fixture, 10000);
  event_base_once (fixture->base, -1, EV_TIMEOUT, call_late_in_turn, fixture,
                   &now);
  while (fixture->received.count == 1)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
}

/* Guards against calls to another port than the address names: the one that a
 * port above 65535 has in its lower 16 bits, for instance. */
static void
test_bad_addresses (struct ColtHttpFixture *fixture, gconstpointer data)
{
  const char *good = colt_fake_http_address (fixture->fake);
  const char *port = strrchr (good, ':') + 1;
  char *addresses[] = { g_strdup_printf ("127.0.0.1:%d", atoi (port) + 65536),
                        g_strdup_printf ("127.0.0.1:+%s", port),
                        g_strdup_printf ("127.0.0.1: %s", port),
                        g_strdup_printf ("127.0.0.1:%sx", port),
                        g_strdup_printf ("localhost:%s", port),
                        g_strdup_printf (":%s", port),
                        g_strdup ("127.0.0.1:0"),
                        g_strdup ("127.0.0.1:"),
                        g_strdup ("127.0.0.1:-1") };
  size_t i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      colt_http_client_destroy (fixture->http);
      fixture->http
          = colt_http_client_create (fixture->base, addresses[i], 32, 1);
      colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "no");
      call_and_wait (fixture, 1000);
      g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
      g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_INVALID);
      g_assert_cmpstr (fixture->received.error.peer, ==, addresses[i]);
      g_assert_cmpuint (colt_http_client_connections (fixture->http), ==, 0);
      g_free (addresses[i]);
    }
  g_assert_cmpuint (colt_fake_http_connections (fixture->fake), ==, 0);
}

static void
call_bound (struct ColtHttpFixture *fixture, uint64_t connection)
{
  const struct ColtHttpRequest request = { .method = COLT_HTTP_POST,
                                           .path = "/bound",
                                           .body = "{}",
                                           .timeout_ms = 10000,
                                           .connection = connection };

  fixture->received.count = 0;
  colt_http_client_send (fixture->http, &request, on_answer,
                         &fixture->received);
  while (fixture->received.count == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

/* Guards against a call that reaches another process than the one that it is
 * meant for: it is bound to a connection, which the server has closed, or which
 * another one has replaced. */
static void
test_bound_call (struct ColtHttpFixture *fixture, gconstpointer data)
{
  uint64_t connection;

  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "one");
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "two");
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_CLOSE, 0, NULL);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "four");
  call_and_wait (fixture, 10000);
  connection = fixture->received.connection;
  g_assert_cmpuint (connection, !=, 0);
  call_bound (fixture, connection);
  g_assert_cmpstr (fixture->received.body, ==, "two");
  g_assert_cmpuint (fixture->received.connection, ==, connection);
  call_and_wait (fixture, 10000);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
  g_assert_cmpuint (fixture->received.connection, ==, 0);
  call_bound (fixture, connection);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_UNREACHABLE);
  call_and_wait (fixture, 10000);
  g_assert_cmpstr (fixture->received.body, ==, "four");
  g_assert_cmpuint (fixture->received.connection, >, connection);
  call_bound (fixture, connection);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  colt_fake_http_destroy (fixture->fake);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  call_bound (fixture, 2);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_NOT_SENT);
  g_assert_cmpuint (colt_http_client_connections (fixture->http), ==, 2);
  fixture->fake = colt_fake_http_create (fixture->base);
}

/* Makes a call that is given up only while it makes no progress. */
static void
call_with_progress (struct ColtHttpFixture *fixture,
                    const char *body,
                    size_t size,
                    guint timeout_ms)
{
  const struct ColtHttpRequest request = { .method = COLT_HTTP_POST,
                                           .path = "/x",
                                           .body = body,
                                           .body_size = size,
                                           .timeout_ms = timeout_ms,
                                           .stall_ms = timeout_ms };
  guint before = fixture->received.count;

  colt_http_client_send (fixture->http, &request, on_answer,
                         &fixture->received);
  while (fixture->received.count == before)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

/* Guards against a call that is given up although its answer keeps arriving:
 * this one takes four times as long as the call may be without progress. */
static void
test_slow_answer (struct ColtHttpFixture *fixture, gconstpointer data)
{
  char *body = g_strnfill (SLOW_ANSWER_BYTES, 'x');

  (void)data;
  colt_http_client_destroy (fixture->http);
  fixture->http = colt_http_client_create (
      fixture->base, colt_fake_http_address (fixture->fake), SLOW_ANSWER_BYTES,
      1);
  colt_fake_http_limit_rate (fixture->fake, SLOW_ANSWER_BYTES / 2);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, body);
  call_with_progress (fixture, NULL, 0, 500);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
  g_free (body);
}

/* An answer that stops arriving ends the call, with what has arrived. */
static void
test_stalled_answer (struct ColtHttpFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_STALL, 200, "part");
  call_with_progress (fixture, NULL, 0, 200);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_UNKNOWN);
  g_assert_cmpint (fixture->received.error.code, ==, COLT_ERROR_TIMEOUT);
  g_assert_cmpuint (fixture->received.size, >, strlen ("part"));
}

/* Guards against a call that is given up while its request is being sent. */
static void
test_slow_request (struct ColtHttpFixture *fixture, gconstpointer data)
{
  char *body = g_strnfill (SLOW_REQUEST_BYTES, 'x');

  (void)data;
  colt_fake_http_limit_rate (fixture->fake, SLOW_REQUEST_BYTES);
  colt_fake_http_add_step (fixture->fake, COLT_FAKE_ANSWER, 200, "done");
  call_with_progress (fixture, body, SLOW_REQUEST_BYTES, 500);
  g_assert_cmpint (fixture->received.result, ==, COLT_HTTP_ANSWERED);
  g_free (body);
}

/* Adds a test on a loop of each kind. */
#define ADD(path, test)                                                        \
  g_test_add ("/platform/http/" path, struct ColtHttpFixture, NULL, set_up,    \
              test, tear_down);                                                \
  g_test_add ("/platform/http/collected/" path, struct ColtHttpFixture, "",    \
              set_up, test, tear_down)

void
add_http_tests (void)
{
  ADD ("keep-alive", test_answers_share_a_connection);
  ADD ("bound", test_bound_call);
  ADD ("method", test_method_and_headers);
  ADD ("incomplete", test_incomplete_answers_are_unknown);
  ADD ("large", test_large_answer_is_unknown);
  ADD ("silent", test_unresponsive_connection_is_replaced);
  ADD ("closed-port", test_closed_port_is_not_sent);
  ADD ("queue", test_full_queue_rejects_call);
  ADD ("append", test_append_results);
  ADD ("cancelled-append", test_cancelled_append);
  ADD ("read", test_read_results);
  ADD ("long", test_long_call_is_complete);
  ADD ("cancelled", test_cancelled_call_is_unknown);
  ADD ("closed", test_closed_connection_is_unknown);
  ADD ("reused", test_descriptor_is_reused);
  ADD ("late-in-turn", test_call_late_in_turn);
  ADD ("bad-addresses", test_bad_addresses);
  ADD ("slow-answer", test_slow_answer);
  ADD ("stalled-answer", test_stalled_answer);
  ADD ("slow-request", test_slow_request);
  ADD ("slow-read", test_slow_read);
}
