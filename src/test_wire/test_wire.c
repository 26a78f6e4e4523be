#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coltsfootstile/wire.h"

enum
{
  ECHO_KIND = COLT_WIRE_REQUEST_FIRST,
  UNANSWERED_KIND,
  LOCAL = 1,
  REMOTE = 2
};

struct ColtWireFixture
{
  struct event_base *base;
  struct ColtWire *local;
  struct ColtWire *remote;
  char address[32];
};

struct ColtOutcome
{
  struct event_base *base;
  int count; /* how often the call has ended */
  enum ColtWireResult result;
  GByteArray *body;
};

/* Returns a local address whose port is free. */
static void
choose_address (char *text, size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  g_snprintf (text, size, "127.0.0.1:%u", ntohs (address.sin_port));
}

static void
on_echo (void *client,
         const struct ColtWireOrigin *origin,
         const uint8_t *body,
         size_t size)
{
  struct ColtWireFixture *fixture = client;

  g_assert_cmpuint (origin->instance, ==, LOCAL);
  colt_wire_reply (fixture->remote, origin, body, size);
}

static void
count_message (void *client,
               const struct ColtWireOrigin *origin,
               const uint8_t *body,
               size_t size)
{
  int *count = client;

  (void)origin;
  (void)body;
  (void)size;
  (*count)++;
}

static void
on_call_end (void *client,
             enum ColtWireResult result,
             const uint8_t *body,
             size_t size)
{
  struct ColtOutcome *outcome = client;

  outcome->count++;
  outcome->result = result;
  g_byte_array_append (outcome->body, body, (guint)size);
  event_base_loopbreak (outcome->base);
}

static void
set_up (struct ColtWireFixture *fixture, gconstpointer data)
{
  (void)data;
  choose_address (fixture->address, sizeof fixture->address);
  fixture->base = event_base_new ();
  fixture->local = colt_wire_create (fixture->base, LOCAL, 1);
  fixture->remote = colt_wire_create (fixture->base, REMOTE, 1);
  colt_wire_set_handler (fixture->remote, ECHO_KIND, on_echo, fixture);
  g_assert_true (colt_wire_listen (fixture->remote, fixture->address, NULL));
  colt_wire_set_peer (fixture->local, REMOTE, fixture->address);
}

static void
tear_down (struct ColtWireFixture *fixture, gconstpointer data)
{
  (void)data;
  colt_wire_destroy (fixture->local);
  colt_wire_destroy (fixture->remote);
  event_base_free (fixture->base);
}

static struct ColtOutcome
call_remote (struct ColtWireFixture *fixture,
             uint32_t kind,
             const void *body,
             size_t size)
{
  struct ColtOutcome outcome
      = { fixture->base, 0, COLT_WIRE_BROKEN, g_byte_array_new () };

  colt_wire_call (fixture->local, REMOTE, kind, body, size, 300, on_call_end,
                  &outcome);
  g_assert_cmpint (outcome.count, ==, 0);
  event_base_dispatch (fixture->base);
  g_assert_cmpint (outcome.count, ==, 1);
  return outcome;
}

static void
test_large_reply (struct ColtWireFixture *fixture, gconstpointer data)
{
  size_t size = 1000 * 1000;
  uint8_t *body = g_malloc (size);
  struct ColtOutcome outcome;
  size_t i;

  (void)data;
  for (i = 0; i < size; i++)
    body[i] = (uint8_t)(i * 31);
  outcome = call_remote (fixture, ECHO_KIND, body, size);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_REPLIED);
  g_assert_cmpmem (outcome.body->data, outcome.body->len, body, size);
  g_byte_array_unref (outcome.body);
  g_free (body);
}

static void
test_unknown_peer_is_not_sent (struct ColtWireFixture *fixture,
                               gconstpointer data)
{
  struct ColtOutcome outcome;

  (void)data;
  colt_wire_remove_peer (fixture->local, REMOTE);
  outcome = call_remote (fixture, ECHO_KIND, "x", 1);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_NOT_SENT);
  g_byte_array_unref (outcome.body);
}

static void
test_refused_connection_is_not_sent (struct ColtWireFixture *fixture,
                                     gconstpointer data)
{
  struct ColtOutcome outcome;
  char address[32];

  (void)data;
  choose_address (address, sizeof address);
  colt_wire_set_peer (fixture->local, REMOTE, address);
  outcome = call_remote (fixture, ECHO_KIND, "x", 1);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_NOT_SENT);
  g_byte_array_unref (outcome.body);
}

static void
test_timeout_opens_new_connection (struct ColtWireFixture *fixture,
                                   gconstpointer data)
{
  struct ColtOutcome outcome;
  int count = 0;

  (void)data;
  colt_wire_set_handler (fixture->remote, UNANSWERED_KIND, count_message,
                         &count);
  outcome = call_remote (fixture, UNANSWERED_KIND, "x", 1);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_TIMED_OUT);
  g_assert_cmpint (count, ==, 1);
  g_byte_array_unref (outcome.body);
  outcome = call_remote (fixture, ECHO_KIND, "again", 5);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_REPLIED);
  g_assert_cmpmem (outcome.body->data, outcome.body->len, "again", 5);
  g_byte_array_unref (outcome.body);
}

static void
test_invalid_frame_closes_connection (struct ColtWireFixture *fixture,
                                      gconstpointer data)
{
  static const char http_request[] = "GET / HTTP/1.1\r\nHost: example\r\n\r\n";
  struct ColtWireStats stats;
  struct ColtOutcome outcome;
  struct sockaddr_in address;
  int size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  (void)data;
  evutil_parse_sockaddr_port (fixture->address, (struct sockaddr *)&address,
                              &size);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  g_assert_cmpint (write (fd, http_request, sizeof http_request - 1), ==,
                   sizeof http_request - 1);
  do
    {
      event_base_loop (fixture->base, EVLOOP_ONCE);
      colt_wire_get_stats (fixture->remote, &stats);
    }
  while (stats.bad_frames == 0);
  close (fd);
  outcome = call_remote (fixture, ECHO_KIND, "on", 2);
  g_assert_cmpint (outcome.result, ==, COLT_WIRE_REPLIED);
  g_byte_array_unref (outcome.body);
}

/* Guards against an instance that counts as ended because it is slow: a call
 * that times out must not end a later one as broken by the remote side. */
static void
test_slow_remote_is_not_broken (struct ColtWireFixture *fixture,
                                gconstpointer data)
{
  struct ColtOutcome first
      = { fixture->base, 0, COLT_WIRE_REPLIED, g_byte_array_new () };
  struct ColtOutcome second
      = { fixture->base, 0, COLT_WIRE_REPLIED, g_byte_array_new () };
  struct ColtOutcome echo = call_remote (fixture, ECHO_KIND, "x", 1);
  int count = 0;

  (void)data;
  colt_wire_set_handler (fixture->remote, UNANSWERED_KIND, count_message,
                         &count);
  g_assert_cmpint (echo.result, ==, COLT_WIRE_REPLIED);
  colt_wire_call (fixture->local, REMOTE, UNANSWERED_KIND, NULL, 0, 100,
                  on_call_end, &first);
  colt_wire_call (fixture->local, REMOTE, UNANSWERED_KIND, NULL, 0, 300,
                  on_call_end, &second);
  while (first.count == 0 || second.count == 0)
    event_base_dispatch (fixture->base);
  g_assert_cmpint (first.result, ==, COLT_WIRE_TIMED_OUT);
  g_assert_cmpint (second.result, ==, COLT_WIRE_TIMED_OUT);
  g_byte_array_unref (echo.body);
  g_byte_array_unref (first.body);
  g_byte_array_unref (second.body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, test)                                                        \
  g_test_add ("/wire/" name, struct ColtWireFixture, NULL, set_up, test,       \
              tear_down)
  ADD ("whole_reply", test_large_reply);
  ADD ("unknown_peer", test_unknown_peer_is_not_sent);
  ADD ("refused", test_refused_connection_is_not_sent);
  ADD ("timeout", test_timeout_opens_new_connection);
  ADD ("slow", test_slow_remote_is_not_broken);
  ADD ("foreign_bytes", test_invalid_frame_closes_connection);
  return g_test_run ();
}
