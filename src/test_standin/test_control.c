#include <arpa/inet.h>
#include <event2/event.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "client.h"
#include "http.h"
#include "tests.h"

enum
{
  REPLY_TIMEOUT_S = 20,
  START_TRIES = 2000,
  START_DELAY_US = 10000
};

/* A stand-in that runs as a process of its own. */
struct ColtStandinProcess
{
  GPid pid;
  char *file; /* of its --file option */
};

static uint16_t
find_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&address, sizeof address), ==,
                   0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  close (fd);
  return ntohs (address.sin_port);
}

/* Waits until a port of 127.0.0.1 accepts connections. */
static void
wait_for_port (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int tries;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (port);
  for (tries = 0; tries < START_TRIES; tries++)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      int result = connect (fd, (struct sockaddr *)&address, sizeof address);

      close (fd);
      if (result == 0)
        return;
      g_usleep (START_DELAY_US);
    }
  g_assert_not_reached ();
}

/* Starts a program with a JSON file and the address option at a port. */
static void
start_process (struct ColtStandinProcess *process,
               const char *program,
               const char *option,
               uint16_t port,
               const char *json)
{
  char *address = g_strdup_printf ("127.0.0.1:%u", port);
  const char *argv[] = { program,         "--file", NULL, option, address,
                         "--max-seconds", "60",     NULL, NULL,   NULL };
  int fd = g_file_open_tmp ("standin-XXXXXX", &process->file, NULL);

  g_assert_cmpint (fd, >=, 0);
  close (fd);
  g_assert_true (g_file_set_contents (process->file, json, -1, NULL));
  argv[2] = process->file;
  if (g_str_has_suffix (program, "standin_list"))
    {
      argv[7] = "--lag-ms";
      argv[8] = "0";
    }
  g_assert_true (
      g_spawn_async (NULL, (char **)argv, NULL,
                     G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                     NULL, NULL, &process->pid, NULL));
  g_free (address);
  wait_for_port (port);
}

static void
stop_process (struct ColtStandinProcess *process)
{
  kill (process->pid, SIGTERM);
  waitpid (process->pid, NULL, 0);
  g_spawn_close_pid (process->pid);
  g_unlink (process->file);
  g_free (process->file);
}

static void
on_timeout (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  ((struct ColtClient *)data)->closed = true;
}

/* Sends a POST request on a connection of its own and returns whether the text
 * is received in time. */
static bool
post_and_wait (struct event_base *base,
               uint16_t port,
               const char *path,
               const char *body,
               const char *text)
{
  const struct timeval timeout = { REPLY_TIMEOUT_S, 0 };
  struct ColtClient client;
  struct event *timer;
  bool received;

  client_connect (&client, base, port);
  timer = evtimer_new (base, on_timeout, &client);
  evtimer_add (timer, &timeout);
  client_post (&client, path, body);
  received = client_wait (&client, text);
  event_free (timer);
  client_close (&client);
  return received;
}

/* A control request that the list refuses must not change an instance that it
 * names beside an unknown one. */
static void
test_refused_list_control (void)
{
  static const char json[]
      = "{\"entries\":[{\"id\":1,\"address\":\"127.0.0.1:1\"}],"
        "\"servers\":[{\"id\":2,\"address\":\"127.0.0.1:2\"}]}";
  struct event_base *base = event_base_new ();
  struct ColtStandinProcess process;
  uint16_t port = find_free_port ();
  struct ColtClient client;

  start_process (&process, STANDIN_LIST, "--listen", port, json);
  g_assert_true (post_and_wait (
      base, port, "/control",
      "{\"entry\":1,\"server\":9,\"state\":\"draining\"}", "no such instance"));
  client_connect (&client, base, port);
  bufferevent_write (client.stream, "GET /v1/instances HTTP/1.1\r\n\r\n", 30);
  g_assert_true (client_wait (&client, "\"servers\":[{"));
  g_assert_null (strstr (client.received->str, "draining"));
  client_close (&client);
  stop_process (&process);
  event_base_free (base);
}

static void
reply_ok (void *client, struct ColtStandinCall *call)
{
  (void)client;
  colt_standin_call_reply (call, 200, json_pack ("{s:b}", "ok", 1));
}

/* A control request that the relay refuses must not change a route that it
 * names beside an unknown one, whichever of them comes first. */
static void
test_refused_relay_control (void)
{
  struct event_base *base = event_base_new ();
  struct ColtStandinHttp *target
      = colt_standin_http_create (base, reply_ok, NULL);
  struct ColtStandinProcess process;
  uint16_t control = find_free_port ();
  uint16_t port = find_free_port ();
  char *json;

  g_assert_true (colt_standin_http_listen (target, "127.0.0.1:0", NULL));
  json = g_strdup_printf (
      "[{\"listen\":\"127.0.0.1:%u\",\"target\":\"127.0.0.1:%u\","
      "\"from\":\"a\",\"to\":\"b\"}]",
      port, colt_standin_http_port (target));
  start_process (&process, STANDIN_RELAY, "--control", control, json);
  wait_for_port (port);
  g_assert_true (post_and_wait (base, port, "/x", "{}", "\"ok\""));
  g_assert_true (post_and_wait (base, control, "/control",
                                "{\"cut\":[\"a\",\"b\"],"
                                "\"heal\":[\"a\",\"nobody\"]}",
                                "no pair of names"));
  g_assert_true (post_and_wait (base, port, "/x", "{}", "\"ok\""));
  g_assert_true (post_and_wait (base, control, "/control",
                                "{\"cut\":[\"a\",\"nobody\"],"
                                "\"heal\":[\"a\",\"b\"]}",
                                "no pair of names"));
  g_free (json);
  stop_process (&process);
  colt_standin_http_destroy (target);
  event_base_free (base);
}

void
add_control_tests (void)
{
  g_test_add_func ("/standin/control/list", test_refused_list_control);
  g_test_add_func ("/standin/control/relay", test_refused_relay_control);
}
