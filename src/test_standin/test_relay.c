#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "client.h"
#include "http.h"
#include "relay_link.h"
#include "tests.h"

/* A server behind a relay. */
struct ColtRelayed
{
  struct event_base *base;
  struct ColtStandinHttp *http;
  struct ColtRelayPath path;
  GPtrArray *links; /* of struct ColtRelayLink */
  int calls;
};

static void
take_call (void *client, struct ColtStandinCall *call)
{
  struct ColtRelayed *relayed = client;

  relayed->calls++;
  colt_standin_call_reply (call, 200,
                           json_pack ("{s:i}", "calls", relayed->calls));
}

static void
forget_link (void *client, struct ColtRelayLink *link)
{
  struct ColtRelayed *relayed = client;

  g_assert_true (g_ptr_array_remove (relayed->links, link));
}

static void
set_up (struct ColtRelayed *relayed, gconstpointer data)
{
  struct sockaddr_in *target = (struct sockaddr_in *)&relayed->path.target;

  (void)data;
  relayed->base = event_base_new ();
  relayed->links = g_ptr_array_new ();
  relayed->http = colt_standin_http_create (relayed->base, take_call, relayed);
  g_assert_true (colt_standin_http_listen (relayed->http, "127.0.0.1:0", NULL));
  target->sin_family = AF_INET;
  target->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  target->sin_port = htons (colt_standin_http_port (relayed->http));
  relayed->path.target_size = sizeof *target;
  relayed->path.base = relayed->base;
  relayed->path.closed = forget_link;
  relayed->path.client = relayed;
}

static void
tear_down (struct ColtRelayed *relayed, gconstpointer data)
{
  guint i;

  (void)data;
  for (i = 0; i < relayed->links->len; i++)
    colt_relay_link_destroy (g_ptr_array_index (relayed->links, i));
  g_ptr_array_unref (relayed->links);
  colt_standin_http_destroy (relayed->http);
  event_base_free (relayed->base);
}

static struct ColtRelayLink *
open_link (struct ColtRelayed *relayed, struct ColtClient *client)
{
  struct ColtRelayLink *link;
  evutil_socket_t ends[2];

  g_assert_cmpint (evutil_socketpair (AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
  evutil_make_socket_nonblocking (ends[0]);
  evutil_make_socket_nonblocking (ends[1]);
  link = colt_relay_link_create (&relayed->path, ends[0]);
  g_ptr_array_add (relayed->links, link);
  client_use (client, relayed->base, ends[1]);
  return link;
}

static void
test_cut_stalls_until_it_is_healed (struct ColtRelayed *relayed,
                                    gconstpointer data)
{
  struct ColtClient through;
  struct ColtClient direct;
  struct ColtRelayLink *link = open_link (relayed, &through);

  (void)data;
  client_post (&through, "/x", "{}");
  g_assert_true (client_wait (&through, "{\"calls\":1}"));
  relayed->path.cut = true;
  colt_relay_link_update (link);
  client_post (&through, "/x", "{}");
  client_connect (&direct, relayed->base,
                  colt_standin_http_port (relayed->http));
  client_post (&direct, "/x", "{}");
  g_assert_true (client_wait (&direct, "{\"calls\":2}"));
  g_assert_cmpuint (through.received->len, ==, 0);
  relayed->path.cut = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&through, "{\"calls\":3}"));
  client_close (&through);
  client_close (&direct);
}

static void
test_link_made_during_a_cut_goes_on_after_it (struct ColtRelayed *relayed,
                                              gconstpointer data)
{
  struct ColtRelayLink *link;
  struct ColtClient client;

  (void)data;
  relayed->path.cut = true;
  link = open_link (relayed, &client);
  client_post (&client, "/x", "{}");
  event_base_loop (relayed->base, EVLOOP_NONBLOCK);
  g_assert_cmpint (relayed->calls, ==, 0);
  relayed->path.cut = false;
  colt_relay_link_update (link);
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  client_close (&client);
}

static void
test_silent_link_stays_silent (struct ColtRelayed *relayed, gconstpointer data)
{
  struct ColtClient old;
  struct ColtClient fresh;
  struct ColtRelayLink *link = open_link (relayed, &old);

  (void)data;
  client_post (&old, "/x", "{}");
  g_assert_true (client_wait (&old, "{\"calls\":1}"));
  colt_relay_link_silence (link);
  colt_relay_link_update (link);
  client_post (&old, "/x", "{}");
  open_link (relayed, &fresh);
  client_post (&fresh, "/x", "{}");
  g_assert_true (client_wait (&fresh, "{\"calls\":2}"));
  g_assert_cmpuint (old.received->len, ==, 0);
  g_assert_false (old.closed);
  client_close (&old);
  client_close (&fresh);
}

static void
test_close_is_passed_on_behind_the_bytes (struct ColtRelayed *relayed,
                                          gconstpointer data)
{
  struct ColtClient client;

  (void)data;
  relayed->path.delay_us = 1000;
  open_link (relayed, &client);
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  colt_standin_http_close (relayed->http);
  g_assert_false (client_wait (&client, "no such text"));
  g_assert_true (client.closed);
  g_assert_cmpuint (relayed->links->len, ==, 0);
  client_close (&client);
}

static void
add_test (const char *path,
          void (*run) (struct ColtRelayed *relayed, gconstpointer data))
{
  g_test_add (path, struct ColtRelayed, NULL, set_up, run, tear_down);
}

void
add_relay_tests (void)
{
  add_test ("/relay/cut", test_cut_stalls_until_it_is_healed);
  add_test ("/relay/late", test_link_made_during_a_cut_goes_on_after_it);
  add_test ("/relay/silence", test_silent_link_stays_silent);
  add_test ("/relay/close", test_close_is_passed_on_behind_the_bytes);
}
