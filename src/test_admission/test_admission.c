#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/bundle_sign.h"
#include "gate_fixture.h"

#define KEY "Authorization: Bearer " TEST_SECRET "\r\n"
#define GOOD "{\"queue\":\"keyed\",\"payload\":\"aGk=\"}"
#define GOOD_HASHED "Idempotency-Key: order-1\r\n" KEY

static const char *const malformed[] = {
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

static const char *const bad_headers[] = {
  "Authorization: Basic abc\r\n",
  "Request-Id: 12\r\n",
  "Request-Id: 0101000000000000000000000000000g\r\n",
  "Request-Id: 01020000000000000000000000000001\r\n",
  "Idempotency-Key: \r\n",
  "Idempotency-Key: a\r\nRequest-Id: 01010000000000000000000000000001\r\n",
};

static void
assert_goes_on (struct ColtGateFixture *fixture)
{
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 200, "done", NULL);
}

static void
test_done (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  assert_goes_on (fixture);
  g_assert_cmpuint (fixture->submissions, ==, 1);
  g_assert_true (fixture->submitted_fresh);
  g_assert_cmpuint (fixture->tasks, ==, 1);
}

static void
test_malformed (struct ColtGateFixture *fixture, gconstpointer data)
{
  size_t i;

  (void)data;
  for (i = 0; i < G_N_ELEMENTS (malformed); i++)
    gate_assert (gate_post (fixture, "/v1/tasks", KEY, malformed[i]), 400,
                 "not_run", "bad_request");
  for (i = 0; i < G_N_ELEMENTS (bad_headers); i++)
    gate_assert (gate_post (fixture, "/v1/tasks", bad_headers[i], GOOD), 400,
                 "not_run", "bad_request");
  g_assert_cmpuint (fixture->submissions, ==, 0);
  assert_goes_on (fixture);
}

static void
test_paths (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert (gate_ask (fixture, "GET", "/"), 404, "not_run", "bad_request");
  gate_assert (gate_ask (fixture, "GET", "/v1/tasks"), 404, "not_run",
               "bad_request");
  gate_assert (gate_ask (fixture, "DELETE", "/v1/request-ids"), 404, "not_run",
               "bad_request");
  gate_assert (gate_ask (fixture, "GET", "/v1/requests/zz"), 400, "not_run",
               "bad_request");
  gate_assert (gate_ask (fixture, "GET",
                         "/v1/requests/01010000000000000000000000000001"),
               404, "unknown", "expired_id");
  assert_goes_on (fixture);
}

static void
assert_status (struct ColtGateFixture *fixture, const GString *text, int status)
{
  struct ColtGateReply reply = gate_exchange (fixture, text->str, text->len);

  g_assert_cmpint (reply.status, ==, status);
  gate_reply_clear (&reply);
}

static void
test_too_large (struct ColtGateFixture *fixture, gconstpointer data)
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
  assert_goes_on (fixture);
}

static void
test_too_large_payload (struct ColtGateFixture *fixture, gconstpointer data)
{
  GString *body = g_string_new ("{\"queue\":\"keyed\",\"payload\":\"");
  gsize i;

  (void)data;
  for (i = 0; i <= COLT_PAYLOAD_MAX; i += 3)
    g_string_append (body, "AAAA");
  g_string_append (body, "\"}");
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, body->str), 400, "not_run",
               "bad_request");
  g_string_free (body, TRUE);
}

static void
test_keys (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert (gate_post (fixture, "/v1/tasks", "", GOOD), 401, "not_run",
               "no_key");
  gate_assert (
      gate_post (fixture, "/v1/tasks", "Authorization: Bearer wrong\r\n", GOOD),
      403, "not_run", "bad_key");
  gate_assert (gate_post (fixture, "/v1/tasks",
                          "Authorization: Bearer " TEST_OTHER_SECRET "\r\n",
                          GOOD),
               403, "not_run", "bad_key");
  fixture->fresh = false;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 503, "not_run",
               "stale_keys");
  gate_assert (gate_post (fixture, "/v1/tasks", "", "{\"queue\":\"public\"}"),
               200, "done", NULL);
  g_assert_cmpuint (fixture->submissions, ==, 1);
}

static void
test_admission (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, "{\"queue\":\"none\"}"),
               404, "not_run", "no_queue");
  gate_assert (gate_post (fixture, "/v1/tasks", KEY,
                          "{\"queue\":\"keyed\",\"cores_milli\":8001}"),
               422, "not_run", "over_limit");
  gate_assert (gate_post (fixture, "/v1/tasks", KEY,
                          "{\"queue\":\"keyed\",\"kind\":\"gang\",\"tasks\":5,"
                          "\"cores_milli\":1}"),
               422, "not_run", "over_limit");
  fixture->fits = false;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 422, "not_run",
               "never_fits");
  fixture->has_bundle = false;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 503, "not_run",
               "no_bundle");
  g_assert_cmpuint (fixture->submissions, ==, 0);
}

static void
test_home_refuses (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  fixture->status = COLT_SUBMIT_NOT_RUN;
  fixture->reason = COLT_REASON_OVERLOADED;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 503, "not_run",
               "overloaded");
  gate_assert (gate_post (fixture, "/v1/tasks", GOOD_HASHED, GOOD), 503,
               "unknown", "overloaded");
  fixture->status = COLT_SUBMIT_UNKNOWN;
  fixture->reason = COLT_REASON_HISTORY_LOST;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY, GOOD), 503, "unknown",
               "history_lost");
}

static void
test_retry_after (struct ColtGateFixture *fixture, gconstpointer data)
{
  struct ColtGateReply reply;

  (void)data;
  fixture->fresh = false;
  reply = gate_post (fixture, "/v1/tasks", KEY, GOOD);
  g_assert_nonnull (strstr (reply.head, "\r\nRetry-After: 1\r\n"));
  gate_reply_clear (&reply);
  reply = gate_post (fixture, "/v1/tasks", "", GOOD);
  g_assert_null (strstr (reply.head, "\r\nRetry-After:"));
  gate_reply_clear (&reply);
}

/* A refusal of an id that was used before can't rule out an earlier run. */
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
  gate_assert (gate_post (fixture, "/v1/tasks", headers, GOOD), 401, "not_run",
               "no_key");
  gate_assert (gate_post (fixture, "/v1/tasks", headers, GOOD), 401, "unknown",
               "no_key");
  g_free (headers);
}

/* Nobody gets the answer to a request that isn't theirs. */
static void
test_id_of_another_request (struct ColtGateFixture *fixture, gconstpointer data)
{
  static const char id[] = "Request-Id: 01010000000100000000000000000001\r\n";
  char *keyed = g_strconcat (id, KEY, NULL);

  (void)data;
  fixture->outcome = COLT_OUTCOME_PENDING;
  gate_leave (fixture, keyed, GOOD);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 1);
  gate_assert (gate_post (fixture, "/v1/tasks", id, "{\"queue\":\"public\"}"),
               409, "unknown", "mismatch");
  g_assert_cmpuint (fixture->submissions, ==, 1);
  g_free (keyed);
}

static void
test_caller_goes_away (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  gate_leave (fixture, KEY, GOOD);
  assert_goes_on (fixture);
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 0);
}

static void
test_no_lead (struct ColtGateFixture *fixture, gconstpointer data)
{
  (void)data;
  fixture->lead = 0;
  gate_assert (gate_post (fixture, "/v1/tasks", KEY,
                          "{\"queue\":\"keyed\",\"deadline_ms\":1}"),
               503, "not_run", "home_unreachable");
  fixture->lead = 2;
  assert_goes_on (fixture);
}

static void
test_stop (struct ColtGateFixture *fixture, gconstpointer data)
{
  struct ColtGateReply reply;

  (void)data;
  g_assert_cmpuint (colt_gate_open_count (fixture->gate), ==, 0);
  assert_goes_on (fixture);
  colt_gate_stop (fixture->gate);
  reply = gate_post (fixture, "/v1/tasks", KEY, GOOD);
  g_assert_cmpint (reply.status, ==, 0); /* nobody accepts */
  gate_reply_clear (&reply);
}

#define ADD(path, test)                                                        \
  g_test_add ("/admission/" path, struct ColtGateFixture, NULL, gate_set_up,   \
              test, gate_tear_down)

/* Opens a connection that asks once and stays open; returns its socket. */
static int
hold_connection (struct ColtGateFixture *fixture)
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

/* Above the bound a connection is refused; one that closes makes room. */
static void
test_connections_are_bounded (struct ColtGateFixture *fixture,
                              gconstpointer data)
{
  int held[TEST_CONNECTIONS_MAX];
  struct ColtGateReply reply;
  unsigned i;

  (void)data;
  for (i = 0; i < TEST_CONNECTIONS_MAX; i++)
    held[i] = hold_connection (fixture);
  gate_assert (gate_ask (fixture, "GET", "/v1/none"), 503, "not_run",
               "overloaded");
  close (held[0]);
  do
    {
      reply = gate_ask (fixture, "GET", "/v1/none");
      i = (unsigned)reply.status;
      gate_reply_clear (&reply);
    }
  while (i == 503);
  g_assert_cmpuint (i, ==, 404);
  for (i = 1; i < TEST_CONNECTIONS_MAX; i++)
    close (held[i]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_true (colt_sign_init (NULL));
  ADD ("done", test_done);
  ADD ("malformed", test_malformed);
  ADD ("paths", test_paths);
  ADD ("too-large", test_too_large);
  ADD ("too-large-payload", test_too_large_payload);
  ADD ("keys", test_keys);
  ADD ("reasons", test_admission);
  ADD ("home-refuses", test_home_refuses);
  ADD ("retry-after", test_retry_after);
  ADD ("minted-id", test_minted_id_is_fresh_once);
  ADD ("id-of-another", test_id_of_another_request);
  ADD ("caller-goes-away", test_caller_goes_away);
  ADD ("no-lead", test_no_lead);
  ADD ("stop", test_stop);
  g_test_add ("/admission/connections", struct ColtGateFixture, NULL,
              gate_set_up, test_connections_are_bounded, gate_tear_down);
  return g_test_run ();
}
