#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/bundle_sign.h"
#include "gate_fixture.h"

#define KEY_HEADER "Authorization: Bearer " TEST_SECRET "\r\n"
#define VALID_BODY "{\"queue\":\"keyed\",\"payload\":\"aGk=\"}"
/* More requests than an attach call holds. */
#define MANY_REQUESTS 600u
#define HASHED_ID_HEADERS "Idempotency-Key: order-1\r\n" KEY_HEADER

static const char *const malformed_bodies[] = {
  "",
  "{",
  "[]",
  "null",
  "7",
  "{}",
  "{\"queue\":7}",
  "{\"queue\":\"\"}",
  "{\"queue\":\"no name\"}",
  "{\"queue\":\"keyed\",\"queue\":\"keyed\"}",
  "{\"queue\":\"keyed\",\"colour\":\"red\"}",
  "{\"queue\":\"keyed\",\"kind\":\"odd\"}",
  "{\"queue\":\"keyed\",\"kind\":1}",
  "{\"queue\":\"keyed\",\"tasks\":0}",
  "{\"queue\":\"keyed\",\"tasks\":257}",
  "{\"queue\":\"keyed\",\"tasks\":1.5}",
  "{\"queue\":\"keyed\",\"tasks\":\"1\"}",
  "{\"queue\":\"keyed\",\"tasks\":99999999999999999999999}",
  "{\"queue\":\"keyed\",\"cores_milli\":-1}",
  "{\"queue\":\"keyed\",\"cores_milli\":1000000001}",
  "{\"queue\":\"keyed\",\"memory_mb\":-1}",
  "{\"queue\":\"keyed\",\"accelerators\":null}",
  "{\"queue\":\"keyed\",\"connections\":-9223372036854775808}",
  "{\"queue\":\"keyed\",\"deadline_ms\":0}",
  "{\"queue\":\"keyed\",\"deadline_ms\":3600001}",
  "{\"queue\":\"keyed\",\"run_ms\":-1}",
  "{\"queue\":\"keyed\",\"idempotent\":1}",
  "{\"queue\":\"keyed\",\"urgent\":\"yes\"}",
  "{\"queue\":\"keyed\",\"wait\":0}",
  "{\"queue\":\"keyed\",\"kind\":\"service\"}",
  "{\"queue\":\"keyed\",\"payload\":\"%%%%\"}",
  "{\"queue\":\"keyed\",\"payload\":7}",
  "{\"queue\":\"keyed\"} trailing",
};

static const char *const malformed_headers[] = {
  "Authorization: Basic abc\r\n",
  "Request-Id: 12\r\n",
  "Request-Id: 0101000000000000000000000000000g\r\n",
  "Request-Id: 01020000000000000000000000000001\r\n",
  "Idempotency-Key: \r\n",
  "Idempotency-Key: a\r\nRequest-Id: 01010000000000000000000000000001\r\n",
};

static void
assert_request_done (struct ColtGateFixture *fixture)
{
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     200, "done", NULL);
}

static void
test_outcome_done (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  assert_request_done (fixture);
  g_assert_cmpuint (fixture->submit_count, ==, 1);
  g_assert_true (fixture->last_fresh);
  g_assert_cmpuint (fixture->last_tasks, ==, 1);
}

static void
test_malformed_requests (struct ColtGateFixture *fixture, gconstpointer data)
{
  size_t i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (malformed_bodies); i++)
    gate_assert_reply (
        gate_post (fixture, "/v1/tasks", KEY_HEADER, malformed_bodies[i]), 400,
        "not_run", "bad_request");
  for (i = 0; i < G_N_ELEMENTS (malformed_headers); i++)
    gate_assert_reply (
        gate_post (fixture, "/v1/tasks", malformed_headers[i], VALID_BODY), 400,
        "not_run", "bad_request");
  g_assert_cmpuint (fixture->submit_count, ==, 0);
  assert_request_done (fixture);
}

static void
test_paths (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert_reply (gate_request (fixture, "GET", "/"), 404, "not_run",
                     "bad_request");
  gate_assert_reply (gate_request (fixture, "GET", "/v1/tasks"), 404, "not_run",
                     "bad_request");
  gate_assert_reply (gate_request (fixture, "DELETE", "/v1/request-ids"), 404,
                     "not_run", "bad_request");
  gate_assert_reply (gate_request (fixture, "GET", "/v1/requests/zz"), 400,
                     "not_run", "bad_request");
  gate_assert_reply (
      gate_request (fixture, "GET",
                    "/v1/requests/01010000000000000000000000000001"),
      404, "unknown", "expired_id");
  assert_request_done (fixture);
}

static void
assert_status (struct ColtGateFixture *fixture, const GString *text, int status)
{
  struct ColtGateReply reply = gate_exchange (fixture, text->str, text->len);

  g_assert_cmpint (reply.status, ==, status);
  gate_reply_clear (&reply);
}

static void
test_oversized_messages (struct ColtGateFixture *fixture, gconstpointer data)
{
  GString *text = g_string_new ("POST /v1/tasks HTTP/1.1\r\nX: ");
  gsize i;

  (void)data;
  for (i = 0; i < COLT_GATE_HEADERS_MAX; i++)
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  assert_status (fixture, text, 400);
  g_string_printf (text,
                   "POST /v1/tasks HTTP/1.1\r\nConnection: close\r\n"
                   "Content-Length: %d\r\n\r\n",
                   COLT_GATE_BODY_MAX + 1);
  assert_status (fixture, text, 413);
  g_string_assign (text, "nonsense\r\n\r\n");
  assert_status (fixture, text, 400);
  g_string_free (text, TRUE);
  assert_request_done (fixture);
}

static void
test_oversized_payload (struct ColtGateFixture *fixture, gconstpointer data)
{
  GString *body = g_string_new ("{\"queue\":\"keyed\",\"payload\":\"");
  gsize i;

  (void)data;
  for (i = 0; i <= COLT_PAYLOAD_MAX; i += 3)
    g_string_append (body, "AAAA");
  g_string_append (body, "\"}");
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, body->str),
                     400, "not_run", "bad_request");
  g_string_free (body, TRUE);
}

static void
test_keys (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", "", VALID_BODY), 401,
                     "not_run", "no_key");
  gate_assert_reply (gate_post (fixture, "/v1/tasks",
                                "Authorization: Bearer wrong\r\n", VALID_BODY),
                     403, "not_run", "bad_key");
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks",
                 "Authorization: Bearer " TEST_OTHER_SECRET "\r\n", VALID_BODY),
      403, "not_run", "bad_key");
  fixture->keys_fresh = false;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     503, "not_run", "stale_keys");
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", "", "{\"queue\":\"public\"}"), 200,
      "done", NULL);
  g_assert_cmpuint (fixture->submit_count, ==, 1);
}

static void
test_admission_refusals (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", KEY_HEADER, "{\"queue\":\"none\"}"), 404,
      "not_run", "no_queue");
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER,
                                "{\"queue\":\"keyed\",\"cores_milli\":8001}"),
                     422, "not_run", "over_limit");
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", KEY_HEADER,
                 "{\"queue\":\"keyed\",\"kind\":\"gang\",\"tasks\":5,"
                 "\"cores_milli\":1}"),
      422, "not_run", "over_limit");
  fixture->fits_any = false;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     422, "not_run", "never_fits");
  fixture->has_bundle = false;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     503, "not_run", "no_bundle");
  g_assert_cmpuint (fixture->submit_count, ==, 0);
}

static void
test_home_refuses (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  fixture->submit_status = COLT_SUBMIT_NOT_RUN;
  fixture->submit_reason = COLT_REASON_OVERLOADED;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     503, "not_run", "overloaded");
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", HASHED_ID_HEADERS, VALID_BODY), 503,
      "unknown", "overloaded");
  fixture->submit_status = COLT_SUBMIT_UNKNOWN;
  fixture->submit_reason = COLT_REASON_HISTORY_LOST;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY),
                     503, "unknown", "history_lost");
}

static void
test_retry_after (struct ColtGateFixture *fixture, gconstpointer data)
{
  struct ColtGateReply reply;

  (void)data;
  fixture->keys_fresh = false;
  reply = gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY);
  g_assert_nonnull (strstr (reply.text, "\r\nRetry-After: 1\r\n"));
  gate_reply_clear (&reply);
  reply = gate_post (fixture, "/v1/tasks", "", VALID_BODY);
  g_assert_null (strstr (reply.text, "\r\nRetry-After:"));
  gate_reply_clear (&reply);
}

/* A refused request whose id was used before may have run earlier; only the
 * first use of a minted id is refused as "not_run". */
static void
test_minted_id_is_fresh_once (struct ColtGateFixture *fixture,
                              gconstpointer data)
{
  struct ColtGateReply reply = gate_post (fixture, "/v1/request-ids", "", "");
  char *headers = g_strdup_printf (
      "Request-Id: %s\r\n",
      json_string_value (json_object_get (reply.body, "request_id")));

  (void)data;
  g_assert_cmpint (reply.status, ==, 200);
  gate_reply_clear (&reply);
  gate_assert_reply (gate_post (fixture, "/v1/tasks", headers, VALID_BODY), 401,
                     "not_run", "no_key");
  gate_assert_reply (gate_post (fixture, "/v1/tasks", headers, VALID_BODY), 401,
                     "unknown", "no_key");
  g_free (headers);
}

/* A request with the id of another caller's pending request is refused, so that
 * it can't receive that request's answer. */
static void
test_id_of_another_request (struct ColtGateFixture *fixture, gconstpointer data)
{
  static const char id[] = "Request-Id: 01010000000100000000000000000001\r\n";
  char *keyed = g_strconcat (id, KEY_HEADER, NULL);

  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  gate_post_and_close (fixture, keyed, VALID_BODY);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 1);
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", id, "{\"queue\":\"public\"}"), 409,
      "unknown", "mismatch");
  gate_assert_reply (gate_post (fixture, "/v1/tasks", id,
                                "{\"queue\":\"public\",\"payload\":\"aGk=\"}"),
                     409, "unknown", "mismatch");
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", keyed,
                 "{\"queue\":\"keyed\",\"payload\":\"aGk=\",\"memory_mb\":1}"),
      409, "unknown", "mismatch");
  g_assert_cmpuint (fixture->submit_count, ==, 1);
  g_free (keyed);
}

/* A caller that waits for the outcome must not get the acceptance that an
 * earlier caller of the same request asked for. */
static void
test_waiting_caller_joins (struct ColtGateFixture *fixture, gconstpointer data)
{
  static const char headers[] = "Request-Id: 01010000000100000000000000000001"
                                "\r\n" KEY_HEADER;

  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  fixture->unresponsive = true;
  gate_post_and_close (
      fixture, headers,
      "{\"queue\":\"keyed\",\"payload\":\"aGk=\",\"wait\":false}");
  fixture->unresponsive = false;
  fixture->attach_outcome = COLT_OUTCOME_DONE;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", headers,
                                "{\"queue\":\"keyed\",\"payload\":\"aGk=\","
                                "\"deadline_ms\":15000}"),
                     200, "done", NULL);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 0);
}

/* A caller that doesn't wait must not be told that a request is stored that was
 * handed in for a caller who waits, and isn't stored. */
static void
test_async_caller_joins (struct ColtGateFixture *fixture, gconstpointer data)
{
  static const char headers[] = "Request-Id: 01010000000100000000000000000001"
                                "\r\n" KEY_HEADER;

  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  fixture->unresponsive = true;
  gate_post_and_close (fixture, headers,
                       "{\"queue\":\"keyed\",\"payload\":\"aGk=\","
                       "\"deadline_ms\":15000}");
  fixture->unresponsive = false;
  fixture->attach_outcome = COLT_OUTCOME_DONE;
  gate_assert_reply (
      gate_post (fixture, "/v1/tasks", headers,
                 "{\"queue\":\"keyed\",\"payload\":\"aGk=\",\"wait\":false}"),
      200, "done", NULL);
}

static void
test_caller_disconnects (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_post_and_close (fixture, KEY_HEADER, VALID_BODY);
  assert_request_done (fixture);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 0);
}

static void
test_no_leader (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->leader = 0;
  gate_assert_reply (gate_post (fixture, "/v1/tasks", KEY_HEADER,
                                "{\"queue\":\"keyed\",\"deadline_ms\":1}"),
                     503, "not_run", "home_unreachable");
  fixture->leader = 2;
  assert_request_done (fixture);
}

static void
test_stopped_gate (struct ColtGateFixture *fixture, gconstpointer data)
{
  struct ColtGateReply reply;

  (void)data;
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 0);
  assert_request_done (fixture);
  colt_gate_stop (fixture->gate);
  reply = gate_post (fixture, "/v1/tasks", KEY_HEADER, VALID_BODY);
  g_assert_cmpint (reply.status, ==, 0); /* connection refused */
  gate_reply_clear (&reply);
}

/* With more open requests at one leader than an attach call holds, two calls
 * must cover all of them, not the same part each time. */
static void
test_attach_calls_cover_all (struct ColtGateFixture *fixture,
                             gconstpointer data)
{
  unsigned i;

  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  for (i = 0; i < MANY_REQUESTS; i++)
    gate_post_and_close (
        fixture, KEY_HEADER,
        "{\"queue\":\"keyed\",\"payload\":\"aGk=\",\"deadline_ms\":60000}");
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, MANY_REQUESTS);
  g_hash_table_remove_all (fixture->attached);
  for (i = 0; i < 2; i++)
    gate_wait_for_call (fixture);
  g_assert_cmpuint (g_hash_table_size (fixture->attached), ==, MANY_REQUESTS);
}

/* A request that the leader has no record of any more is submitted again, as
 * one that may have run. */
static void
test_forgotten_request_is_submitted_again (struct ColtGateFixture *fixture,
                                           gconstpointer data)
{
  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  gate_post_and_close (
      fixture, KEY_HEADER,
      "{\"queue\":\"keyed\",\"payload\":\"aGk=\",\"deadline_ms\":60000}");
  g_assert_true (fixture->last_fresh);
  fixture->forgets = true;
  gate_wait_for_call (fixture);
  g_assert_cmpuint (fixture->attach_count, ==, 1);
  gate_wait_for_call (fixture);
  g_assert_cmpuint (fixture->attach_count, ==, 1);
  g_assert_cmpuint (fixture->submit_count, ==, 2);
  g_assert_false (fixture->last_fresh);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 1);
}

/* A gate that is destroyed before the wire, as at shutdown, must not be used by
 * the wire's end of the calls that the gate left open. */
static void
test_destroyed_with_open_submit (struct ColtGateFixture *fixture,
                                 gconstpointer data)
{
  (void)data;
  fixture->unresponsive = true;
  gate_post_and_close (fixture, KEY_HEADER, VALID_BODY);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 1);
}

#define ADD_TEST(path, test)                                                   \
  g_test_add ("/admission/" path, struct ColtGateFixture, NULL, gate_set_up,   \
              test, gate_tear_down)

/* Sends one request, waits for the reply and keeps the connection open; returns
 * its socket. */
static int
open_idle_connection (struct ColtGateFixture *fixture)
{
  static const char bytes[] = "GET /v1/none HTTP/1.1\r\nHost: gate\r\n\r\n";
  struct sockaddr_in address;
  int size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char answer[16];

  evutil_parse_sockaddr_port (fixture->address, (struct sockaddr *)&address,
                              &size);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  g_assert_cmpint (write (fd, bytes, sizeof bytes - 1), ==, sizeof bytes - 1);
  while (recv (fd, answer, sizeof answer, MSG_DONTWAIT) <= 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  return fd;
}

/* A connection above the limit is refused until another one is closed. */
static void
test_connection_limit (struct ColtGateFixture *fixture, gconstpointer data)
{
  int fds[TEST_CONNECTIONS_MAX];
  struct ColtGateReply reply;
  unsigned i;

  (void)data;
  for (i = 0; i < TEST_CONNECTIONS_MAX; i++)
    fds[i] = open_idle_connection (fixture);
  gate_assert_reply (gate_request (fixture, "GET", "/v1/none"), 503, "not_run",
                     "overloaded");
  close (fds[0]);
  do
    {
      reply = gate_request (fixture, "GET", "/v1/none");
      i = (unsigned)reply.status;
      gate_reply_clear (&reply);
    }
  while (i == 503);
  g_assert_cmpuint (i, ==, 404);
  for (i = 1; i < TEST_CONNECTIONS_MAX; i++)
    close (fds[i]);
}

/* The home's reply to a submit call is still awaited when the gate goes. */
static void
test_destroyed_during_call (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_post_and_close (fixture, KEY_HEADER, VALID_BODY);
  g_assert_cmpuint (fixture->submit_count, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_true (colt_sign_init (NULL));
  ADD_TEST ("done", test_outcome_done);
  ADD_TEST ("malformed", test_malformed_requests);
  ADD_TEST ("paths", test_paths);
  ADD_TEST ("too-large", test_oversized_messages);
  ADD_TEST ("too-large-payload", test_oversized_payload);
  ADD_TEST ("keys", test_keys);
  ADD_TEST ("reasons", test_admission_refusals);
  ADD_TEST ("home-refuses", test_home_refuses);
  ADD_TEST ("retry-after", test_retry_after);
  ADD_TEST ("minted-id", test_minted_id_is_fresh_once);
  ADD_TEST ("id-of-another", test_id_of_another_request);
  ADD_TEST ("joins/waiting", test_waiting_caller_joins);
  ADD_TEST ("joins/async", test_async_caller_joins);
  ADD_TEST ("caller-goes-away", test_caller_disconnects);
  ADD_TEST ("no-lead", test_no_leader);
  ADD_TEST ("stop", test_stopped_gate);
  g_test_add ("/admission/attach/all", struct ColtGateFixture,
              GUINT_TO_POINTER (MANY_REQUESTS), gate_set_up,
              test_attach_calls_cover_all, gate_tear_down);
  ADD_TEST ("attach/forgotten", test_forgotten_request_is_submitted_again);
  ADD_TEST ("destroyed/submit", test_destroyed_with_open_submit);
  ADD_TEST ("destroyed-during-call", test_destroyed_during_call);
  g_test_add ("/admission/connections", struct ColtGateFixture, NULL,
              gate_set_up, test_connection_limit, gate_tear_down);
  return g_test_run ();
}
