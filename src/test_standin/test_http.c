#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "http.h"
#include "tests.h"

/* A client that sends text and keeps all that comes back. */
struct ColtClient
{
  struct event_base *base;
  struct bufferevent *stream;
  GString *received;
  bool closed;
};

struct ColtServer
{
  struct event_base *base;
  struct ColtStandinHttp *http;
  int calls;
};

static void
take_call (void *client, struct ColtStandinCall *call)
{
  struct ColtServer *server = client;

  server->calls++;
  colt_standin_call_reply (call, 200,
                           json_pack ("{s:i}", "calls", server->calls));
}

static void
take_control (void *client, struct ColtStandinCall *call)
{
  struct ColtServer *server = client;

  colt_standin_http_switch (server->http, colt_standin_call_body (call));
  colt_standin_call_reply (call, 200, json_object ());
}

static void
open_server (struct ColtServer *server)
{
  server->base = event_base_new ();
  server->calls = 0;
  server->http = colt_standin_http_create (server->base, take_call, server);
  colt_standin_http_set_control (server->http, take_control, server);
  g_assert_true (colt_standin_http_listen (server->http, "127.0.0.1:0", NULL));
}

static void
close_server (struct ColtServer *server)
{
  colt_standin_http_destroy (server->http);
  event_base_free (server->base);
}

static void
receive (struct bufferevent *stream, void *data)
{
  struct ColtClient *client = data;
  char bytes[512];
  size_t size = bufferevent_read (stream, bytes, sizeof bytes);

  g_string_append_len (client->received, bytes, (gssize)size);
}

static void
see_event (struct bufferevent *stream, short what, void *data)
{
  struct ColtClient *client = data;

  (void)stream;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    client->closed = true;
}

static void
open_client (struct ColtClient *client, struct ColtServer *server)
{
  struct sockaddr_in address = { 0 };

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (colt_standin_http_port (server->http));
  client->base = server->base;
  client->closed = false;
  client->received = g_string_new (NULL);
  client->stream
      = bufferevent_socket_new (server->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->stream, receive, NULL, see_event, client);
  bufferevent_enable (client->stream, EV_READ | EV_WRITE);
  bufferevent_socket_connect (client->stream, (struct sockaddr *)&address,
                              sizeof address);
}

static void
close_client (struct ColtClient *client)
{
  bufferevent_free (client->stream);
  g_string_free (client->received, TRUE);
}

static void
post (struct ColtClient *client, const char *path, const char *body)
{
  g_string_truncate (client->received, 0);
  evbuffer_add_printf (bufferevent_get_output (client->stream),
                       "POST %s HTTP/1.1\r\nHost: x\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       path, strlen (body), body);
}

/* Runs the loop until the text has come or the connection is closed. */
static bool
wait_for (struct ColtClient *client, const char *text)
{
  while (!client->closed && strstr (client->received->str, text) == NULL)
    event_base_loop (client->base, EVLOOP_ONCE);
  return strstr (client->received->str, text) != NULL;
}

static void
test_lost_answer_closes_after_the_effect (void)
{
  struct ColtServer server;
  struct ColtClient client;

  open_server (&server);
  colt_standin_http_faults (server.http)->lose_permille = 1000;
  open_client (&client, &server);
  post (&client, "/x", "{}");
  g_assert_false (wait_for (&client, "}"));
  g_assert_cmpint (server.calls, ==, 1);
  g_assert_cmpuint (client.received->len, ==, 0);
  close_client (&client);
  close_server (&server);
}

static void
test_silent_connection_has_no_effect_but_new_ones_work (void)
{
  struct ColtServer server;
  struct ColtClient old;
  struct ColtClient fresh;

  open_server (&server);
  open_client (&old, &server);
  post (&old, "/x", "{}");
  g_assert_true (wait_for (&old, "{\"calls\":1}"));
  colt_standin_http_silence (server.http);
  post (&old, "/x", "{}");
  open_client (&fresh, &server);
  post (&fresh, "/x", "{}");
  g_assert_true (wait_for (&fresh, "{\"calls\":2}"));
  post (&fresh, "/x", "{}");
  g_assert_true (wait_for (&fresh, "{\"calls\":3}"));
  g_assert_cmpuint (old.received->len, ==, 0);
  g_assert_false (old.closed);
  close_client (&old);
  close_client (&fresh);
  close_server (&server);
}

static void
test_control_is_spared_by_faults (void)
{
  struct ColtServer server;
  struct ColtClient client;

  open_server (&server);
  open_client (&client, &server);
  post (&client, "/control", "{\"down\":true,\"lose_answers_permille\":0}");
  g_assert_true (wait_for (&client, "{}"));
  post (&client, "/x", "{}");
  g_assert_true (wait_for (&client, "{\"error\":\"down\"}"));
  g_assert_cmpint (server.calls, ==, 0);
  post (&client, "/control", "{\"down\":false}");
  g_assert_true (wait_for (&client, "{}"));
  post (&client, "/x", "{}");
  g_assert_true (wait_for (&client, "{\"calls\":1}"));
  post (&client, "/x", "{");
  g_assert_true (wait_for (&client, "JSON"));
  g_assert_cmpint (server.calls, ==, 1);
  close_client (&client);
  close_server (&server);
}

static void
test_connections_beyond_the_bound_are_turned_away (void)
{
  struct ColtServer server;
  struct ColtClient first;
  struct ColtClient second;

  open_server (&server);
  colt_standin_http_set_connection_max (server.http, 1);
  open_client (&first, &server);
  post (&first, "/x", "{}");
  g_assert_true (wait_for (&first, "{\"calls\":1}"));
  open_client (&second, &server);
  post (&second, "/x", "{}");
  g_assert_true (wait_for (&second, "{\"error\":\"connections\"}"));
  g_assert_cmpint (server.calls, ==, 1);
  close_client (&first);
  close_client (&second);
  close_server (&server);
}

void
add_http_tests (void)
{
  g_test_add_func ("/http/lost", test_lost_answer_closes_after_the_effect);
  g_test_add_func ("/http/silent",
                   test_silent_connection_has_no_effect_but_new_ones_work);
  g_test_add_func ("/http/control", test_control_is_spared_by_faults);
  g_test_add_func ("/http/connections",
                   test_connections_beyond_the_bound_are_turned_away);
}
