#include <glib.h>

#include "client.h"
#include "http.h"
#include "tests.h"

struct ColtTestServer
{
  struct event_base *base;
  struct ColtStandinHttp *http;
  int calls;
};

static void
count_call (void *client, struct ColtStandinCall *call)
{
  struct ColtTestServer *server = client;

  server->calls++;
  colt_standin_call_reply (call, 200,
                           json_pack ("{s:i}", "calls", server->calls));
}

static void
set_faults (void *client, struct ColtStandinCall *call)
{
  struct ColtTestServer *server = client;

  colt_standin_http_set_faults (server->http, colt_standin_call_body (call));
  colt_standin_call_reply (call, 200, json_object ());
}

static void
open_server (struct ColtTestServer *server)
{
  server->base = event_base_new ();
  server->calls = 0;
  server->http = colt_standin_http_create (server->base, count_call, server);
  colt_standin_http_set_control (server->http, set_faults, server);
  g_assert_true (colt_standin_http_listen (server->http, "127.0.0.1:0", NULL));
}

static void
close_server (struct ColtTestServer *server)
{
  colt_standin_http_destroy (server->http);
  event_base_free (server->base);
}

static void
open_client (struct ColtClient *client, const struct ColtTestServer *server)
{
  client_connect (client, server->base, colt_standin_http_port (server->http));
}

static void
test_lost_answer_closes_connection_after_handling (void)
{
  struct ColtTestServer server;
  struct ColtClient client;

  open_server (&server);
  colt_standin_http_faults (server.http)->lose_permille = 1000;
  open_client (&client, &server);
  client_post (&client, "/x", "{}");
  g_assert_false (client_wait (&client, "}"));
  g_assert_cmpint (server.calls, ==, 1);
  g_assert_cmpuint (client.received->len, ==, 0);
  client_close (&client);
  close_server (&server);
}

static void
test_only_open_connections_stop_answering (void)
{
  struct ColtTestServer server;
  struct ColtClient old;
  struct ColtClient fresh;

  open_server (&server);
  open_client (&old, &server);
  client_post (&old, "/x", "{}");
  g_assert_true (client_wait (&old, "{\"calls\":1}"));
  colt_standin_http_stop_answering (server.http);
  client_post (&old, "/x", "{}");
  open_client (&fresh, &server);
  client_post (&fresh, "/x", "{}");
  g_assert_true (client_wait (&fresh, "{\"calls\":2}"));
  client_post (&fresh, "/x", "{}");
  g_assert_true (client_wait (&fresh, "{\"calls\":3}"));
  g_assert_cmpuint (old.received->len, ==, 0);
  g_assert_false (old.closed);
  client_close (&old);
  client_close (&fresh);
  close_server (&server);
}

static void
test_faults_do_not_affect_control (void)
{
  struct ColtTestServer server;
  struct ColtClient client;

  open_server (&server);
  open_client (&client, &server);
  client_post (&client, "/control",
               "{\"down\":true,\"lose_answers_permille\":0}");
  g_assert_true (client_wait (&client, "{}"));
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"error\":\"down\"}"));
  g_assert_cmpint (server.calls, ==, 0);
  client_post (&client, "/control", "{\"down\":false}");
  g_assert_true (client_wait (&client, "{}"));
  client_post (&client, "/x", "{}");
  g_assert_true (client_wait (&client, "{\"calls\":1}"));
  client_post (&client, "/x", "{");
  g_assert_true (client_wait (&client, "JSON"));
  g_assert_cmpint (server.calls, ==, 1);
  client_close (&client);
  close_server (&server);
}

static void
test_excess_connections_are_refused (void)
{
  struct ColtTestServer server;
  struct ColtClient first;
  struct ColtClient second;

  open_server (&server);
  colt_standin_http_set_connection_max (server.http, 1);
  open_client (&first, &server);
  client_post (&first, "/x", "{}");
  g_assert_true (client_wait (&first, "{\"calls\":1}"));
  open_client (&second, &server);
  client_post (&second, "/x", "{}");
  g_assert_true (client_wait (&second, "{\"error\":\"connections\"}"));
  g_assert_cmpint (server.calls, ==, 1);
  client_close (&first);
  client_close (&second);
  close_server (&server);
}

void
add_http_tests (void)
{
  g_test_add_func ("/http/lost",
                   test_lost_answer_closes_connection_after_handling);
  g_test_add_func ("/http/silent", test_only_open_connections_stop_answering);
  g_test_add_func ("/http/control", test_faults_do_not_affect_control);
  g_test_add_func ("/http/connections", test_excess_connections_are_refused);
}
