#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "client.h"
#include "http.h"
#include "relay_link.h"
#include "tests.h"

/* An HTTP server that clients reach directly or through relay links. */
struct ColtRelayFixture
{
  struct event_base *base;
  struct ColtStandinHttp *http;
  struct ColtRelayPath path;
  GPtrArray *links; /* of struct ColtRelayLink */
  int calls;
};

static void
count_call (void *client, struct ColtStandinCall *call)
{
  struct ColtRelayFixture *fixture = client;

  fixture->calls++;
  colt_standin_call_reply (call, 200,
                           json_pack ("{s:i}", "calls", fixture->calls));
}

static void
remove_link (void *client, struct ColtRelayLink *link)
{
  struct ColtRelayFixture *fixture = client;

  g_assert_true (g_ptr_array_remove (fixture->links, link));
}

static void
set_up (struct ColtRelayFixture *fixture, gconstpointer data)
{
  struct sockaddr_in *target = (struct sockaddr_in *)&fixture->path.target;

  (void)data;
  fixture->base = event_base_new ();
  fixture->links = g_ptr_array_new ();
  fixture->http = colt_standin_http_create (fixture->base, count_call, fixture);
  g_assert_true (colt_standin_http_listen (fixture->http, "127.0.0.1:0", NULL));
  target->sin_family = AF_INET;
  target->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  target->sin_port = htons (colt_standin_http_port (fixture->http));
  fixture->path.target_size = sizeof *target;
  fixture->path.base = fixture->base;
  fixture->path.closed = remove_link;
  fixture->path.client = fixture;
}

static void
tear_down (struct ColtRelayFixture *fixture, gconstpointer data)
{
  guint i;

  (void)data;
  for (i = 0; i < fixture->links->len; i++)
    colt_relay_link_destroy (g_ptr_array_index (fixture->links, i));
  g_ptr_array_unref (fixture->links);
  colt_standin_http_destroy (fixture->http);
  event_base_free (fixture->base);
}

static struct ColtRelayLink *
open_link (struct ColtRelayFixture *fixture, struct ColtClient *client)
{
  struct ColtRelayLink *link;
  evutil_socket_t ends[2];

  g_assert_cmpint (evutil_socketpair (AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
  evutil_make_socket_nonblocking (ends[0]);
  evutil_make_socket_nonblocking (ends[1]);
  link = colt_relay_link_create (&fixture->path, ends[0]);
  g_ptr_array_add (fixture->links, link);
  client_open (client, fixture->base, ends[1]);
  return link;
}

static void
test_cut_pauses_link_until_healed (struct ColtRelayFixture *fixture,
                                   gconstpointer data)
{
  struct ColtClient through;
  struct ColtClient direct;
  struct ColtRelayLink *link = open_link (fixture, &through);

  (void)data;
  client_post (&through, "/x", "{}");
  g_assert_true (client_wait (&through, "{\"calls\":1}"));
  fixture->path.cut = true;
  colt_relay_link_update (link);
  client_post (&through, "/x", "{}");
  client_connect (&direct, fixture->base,
                  colt_standin_http_port (fixture->http));
  client_post (&direct, "/x", "{}");
  g_assert_true (client_wait (&direct, "{\"calls\":2}"));
  g_assert_cmpuint (through.received->len, ==, 0);
  fixture->path.cut = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&through, "{\"calls\":3}"));
  client_close (&through);
  client_close (&direct);
}

static void
test_link_opened_during_cut_works_after_heal (struct ColtRelayFixture *fixture,
                                              gconstpointer data)
{
  struct ColtRelayLink *link;
  struct ColtClient client;

  (void)data;
  fixture->path.cut = true;
  link = open_link (fixture, &client);
  client_post (&client, "/x", "{}");
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  g_assert_cmpint (fixture->calls, ==, 0);
  fixture->path.cut = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  client_close (&client);
}

/* A cut towards the target holds calls back; one towards the caller holds
 * answers back. */
static void
test_cut_of_one_direction (struct ColtRelayFixture *fixture, gconstpointer data)
{
  struct ColtClient client;
  struct ColtClient direct;
  struct ColtRelayLink *link = open_link (fixture, &client);

  (void)data;
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  fixture->path.cut_to_target = true;
  colt_relay_link_update (link);
  client_post (&client, "/x", "{}");
  client_connect (&direct, fixture->base,
                  colt_standin_http_port (fixture->http));
  client_post (&direct, "/x", "{}");
  g_assert_true (client_wait (&direct, "{\"calls\":2}"));
  g_assert_cmpint (fixture->calls, ==, 2);
  fixture->path.cut_to_target = false;
  fixture->path.cut_to_caller = true;
  colt_relay_link_update (link);
  while (fixture->calls < 3)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  client_post (&direct, "/x", "{}");
  g_assert_true (client_wait (&direct, "{\"calls\":4}"));
  g_assert_cmpuint (client.received->len, ==, 0);
  fixture->path.cut_to_caller = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&client, "{\"calls\":3}"));
  client_close (&client);
  client_close (&direct);
}

static void
test_link_opened_during_cut_of_answers (struct ColtRelayFixture *fixture,
                                        gconstpointer data)
{
  struct ColtRelayLink *link;
  struct ColtClient client;

  (void)data;
  fixture->path.cut_to_caller = true;
  link = open_link (fixture, &client);
  client_post (&client, "/x", "{}");
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  g_assert_cmpint (fixture->calls, ==, 0);
  fixture->path.cut_to_caller = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  client_close (&client);
}

static void
test_reset_closes_both_ends (struct ColtRelayFixture *fixture,
                             gconstpointer data)
{
  struct ColtClient client;
  struct ColtRelayLink *link = open_link (fixture, &client);

  (void)data;
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  g_assert_true (g_ptr_array_remove (fixture->links, link));
  colt_relay_link_reset (link);
  g_assert_false (client_wait (&client, "no such text"));
  g_assert_true (client.closed);
  client_close (&client);
}

static void
test_blocked_link_stays_blocked (struct ColtRelayFixture *fixture,
                                 gconstpointer data)
{
  struct ColtClient old;
  struct ColtClient fresh;
  struct ColtRelayLink *link = open_link (fixture, &old);

  (void)data;
  client_post (&old, "/x", "{}");
  g_assert_true (client_wait (&old, "{\"calls\":1}"));
  colt_relay_link_block (link);
  colt_relay_link_update (link);
  client_post (&old, "/x", "{}");
  open_link (fixture, &fresh);
  client_post (&fresh, "/x", "{}");
  g_assert_true (client_wait (&fresh, "{\"calls\":2}"));
  g_assert_cmpuint (old.received->len, ==, 0);
  g_assert_false (old.closed);
  client_close (&old);
  client_close (&fresh);
}

static void
test_close_follows_pending_bytes (struct ColtRelayFixture *fixture,
                                  gconstpointer data)
{
  struct ColtClient client;

  (void)data;
  fixture->path.delay_us = 1000;
  open_link (fixture, &client);
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  colt_standin_http_close (fixture->http);
  g_assert_false (client_wait (&client, "no such text"));
  g_assert_true (client.closed);
  g_assert_cmpuint (fixture->links->len, ==, 0);
  client_close (&client);
}

static void
add_test (const char *path,
          void (*run) (struct ColtRelayFixture *fixture, gconstpointer data))
{
  g_test_add (path, struct ColtRelayFixture, NULL, set_up, run, tear_down);
}

void
add_relay_tests (void)
{
  add_test ("/relay/cut", test_cut_pauses_link_until_healed);
  add_test ("/relay/late", test_link_opened_during_cut_works_after_heal);
  add_test ("/relay/one-way", test_cut_of_one_direction);
  add_test ("/relay/one-way-late", test_link_opened_during_cut_of_answers);
  add_test ("/relay/reset", test_reset_closes_both_ends);
  add_test ("/relay/silence", test_blocked_link_stays_blocked);
  add_test ("/relay/close", test_close_follows_pending_bytes);
}
