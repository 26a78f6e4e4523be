#include "http.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/clock.h"

#define BODY_MAX (16 * 1024 * 1024)
#define IDLE_TIMEOUT_S 600
#define RANDOM_SEED 1
/* Largest number of a fault, in milliseconds or thousandths. */
#define FAULT_NUMBER_MAX 3600000
#define CONTROL_PATH "/control"

enum
{
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503
};

struct ColtStandinPeer
{
  struct ColtStandinHttp *http;
  struct evhttp_connection *connection;
  bool unresponsive;
};

struct ColtStandinCall
{
  struct ColtStandinHttp *http;
  struct ColtStandinPeer *peer; /* NULL: connection closed or refused */
  struct evhttp_request *request;
  struct evkeyvalq query;
  json_t *body;
  bool control;
  bool no_answer; /* must never be answered */
  int status;
  char *reply_text; /* answer, sent after its delay */
  struct event *timer;
};

struct ColtStandinHttp
{
  struct event_base *base;
  struct evhttp *evhttp;
  struct evhttp_bound_socket *socket;
  ColtStandinHandler handler;
  void *client;
  ColtStandinHandler control_handler;
  void *control_client;
  uint32_t connection_max;
  struct ColtStandinFaults faults;
  GHashTable *peers; /* evhttp_connection to ColtStandinPeer */
  GHashTable *calls; /* set of ColtStandinCall */
  GRand *random;
};

static void handle_request_ (struct evhttp_request *request, void *data);
static struct ColtStandinPeer *
find_peer_ (struct ColtStandinHttp *http, struct evhttp_connection *connection);
static void on_connection_closed_ (struct evhttp_connection *connection,
                                   void *data);
static struct ColtStandinCall *create_call_ (struct ColtStandinHttp *http,
                                             struct evhttp_request *request);
static void destroy_call_ (struct ColtStandinCall *call);
static void read_body_ (struct ColtStandinCall *call);
static void dispatch_ (struct ColtStandinCall *call);
static void leave_unanswered_ (struct ColtStandinCall *call);
static void reset_connection_ (struct ColtStandinCall *call);
static void send_reply_ (struct ColtStandinCall *call);
static void on_delay_timer_ (evutil_socket_t fd, short what, void *data);
static void shut_down_connection_ (struct evhttp_connection *connection);
static void set_flag_ (const json_t *object, const char *key, bool *flag);
static void
set_number_ (const json_t *object, const char *key, int64_t *number);

struct ColtStandinHttp *
colt_standin_http_create (struct event_base *base,
                          ColtStandinHandler handler,
                          void *client)
{
  struct ColtStandinHttp *http = g_new0 (struct ColtStandinHttp, 1);

  http->base = base;
  http->handler = handler;
  http->client = client;
  http->connection_max = UINT32_MAX;
  http->peers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  http->calls = g_hash_table_new (NULL, NULL);
  http->random = g_rand_new_with_seed (RANDOM_SEED);
  http->evhttp = evhttp_new (base);
  evhttp_set_gencb (http->evhttp, handle_request_, http);
  evhttp_set_timeout (http->evhttp, IDLE_TIMEOUT_S);
  evhttp_set_max_body_size (http->evhttp, BODY_MAX);
  evhttp_set_default_content_type (http->evhttp, "application/json");
  return http;
}

void
colt_standin_http_destroy (struct ColtStandinHttp *http)
{
  GHashTableIter iter;
  gpointer call;

  if (http == NULL)
    return;
  evhttp_free (http->evhttp);
  g_hash_table_iter_init (&iter, http->calls);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      g_hash_table_iter_steal (&iter);
      destroy_call_ (call);
    }
  g_hash_table_unref (http->calls);
  g_hash_table_unref (http->peers);
  g_rand_free (http->random);
  g_free (http);
}

void
colt_standin_http_set_control (struct ColtStandinHttp *http,
                               ColtStandinHandler handler,
                               void *client)
{
  http->control_handler = handler;
  http->control_client = client;
}

void
colt_standin_http_set_connection_max (struct ColtStandinHttp *http,
                                      uint32_t count)
{
  http->connection_max = count;
}

bool
colt_standin_http_listen (struct ColtStandinHttp *http,
                          const char *address,
                          struct ColtError *error)
{
  struct ColtAddress parsed;

  if (colt_address_parse_local (address, &parsed) != COLT_ADDRESS_VALID)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_LISTEN, address,
                           "an address is written IP:PORT");
  http->socket
      = evhttp_bind_socket_with_handle (http->evhttp, parsed.host, parsed.port);
  if (http->socket == NULL)
    return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_LISTEN, address,
                           "the address can't be bound");
  return true;
}

uint16_t
colt_standin_http_port (const struct ColtStandinHttp *http)
{
  struct sockaddr_in name;
  socklen_t size = sizeof name;

  if (http->socket == NULL)
    return 0;
  memset (&name, 0, sizeof name);
  getsockname (evhttp_bound_socket_get_fd (http->socket),
               (struct sockaddr *)&name, &size);
  return ntohs (name.sin_port);
}

void
colt_standin_http_close (struct ColtStandinHttp *http)
{
  GHashTableIter iter;
  gpointer connection;

  if (http->socket != NULL)
    evhttp_del_accept_socket (http->evhttp, http->socket);
  http->socket = NULL;
  g_hash_table_iter_init (&iter, http->peers);
  while (g_hash_table_iter_next (&iter, &connection, NULL))
    shut_down_connection_ (connection);
}

void
colt_standin_http_stop_answering (struct ColtStandinHttp *http)
{
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, http->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    ((struct ColtStandinPeer *)peer)->unresponsive = true;
}

struct ColtStandinFaults *
colt_standin_http_faults (struct ColtStandinHttp *http)
{
  return &http->faults;
}

void
colt_standin_http_set_faults (struct ColtStandinHttp *http,
                              const json_t *object)
{
  struct ColtStandinFaults *faults = &http->faults;

  set_flag_ (object, "down", &faults->down);
  set_flag_ (object, "silent", &faults->unresponsive);
  set_number_ (object, "slow_ms", &faults->delay_ms);
  set_number_ (object, "answer_delay_ms", &faults->delay_ms);
  set_number_ (object, "lose_answers_permille", &faults->lose_permille);
  if (json_is_true (json_object_get (object, "silence_connections")))
    colt_standin_http_stop_answering (http);
}

uint32_t
colt_standin_http_connections (const struct ColtStandinHttp *http)
{
  return g_hash_table_size (http->peers);
}

bool
colt_standin_call_matches (const struct ColtStandinCall *call,
                           const char *method,
                           const char *path)
{
  bool post = evhttp_request_get_command (call->request) == EVHTTP_REQ_POST;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (call->request);

  return post == (strcmp (method, "POST") == 0)
         && strcmp (evhttp_uri_get_path (uri), path) == 0;
}

const char *
colt_standin_call_path_after (const struct ColtStandinCall *call,
                              const char *prefix)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (call->request);
  const char *path = evhttp_uri_get_path (uri);

  if (strncmp (path, prefix, strlen (prefix)) != 0)
    return NULL;
  return path + strlen (prefix);
}

int64_t
colt_standin_call_number (const struct ColtStandinCall *call,
                          const char *key,
                          int64_t fallback)
{
  const char *text = evhttp_find_header (&call->query, key);

  return text != NULL ? strtoll (text, NULL, 10) : fallback;
}

bool
colt_standin_call_has_key (const struct ColtStandinCall *call, const char *key)
{
  return evhttp_find_header (&call->query, key) != NULL;
}

const json_t *
colt_standin_call_body (const struct ColtStandinCall *call)
{
  return json_is_object (call->body) ? call->body : NULL;
}

void
colt_standin_call_reply (struct ColtStandinCall *call, int status, json_t *body)
{
  struct ColtStandinHttp *http = call->http;
  struct timeval delay;

  assert (call->reply_text == NULL && !call->no_answer);
  call->status = status;
  call->reply_text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (call->control || http->faults.delay_ms == 0)
    {
      send_reply_ (call);
      return;
    }
  delay.tv_sec = http->faults.delay_ms / 1000;
  delay.tv_usec = http->faults.delay_ms % 1000 * COLT_US_PER_MS;
  call->timer = evtimer_new (http->base, on_delay_timer_, call);
  evtimer_add (call->timer, &delay);
}

void
colt_standin_call_refuse (struct ColtStandinCall *call,
                          int status,
                          const char *reason)
{
  colt_standin_call_reply (call, status, json_pack ("{s:s}", "error", reason));
}

static void
handle_request_ (struct evhttp_request *request, void *data)
{
  struct ColtStandinHttp *http = data;
  struct ColtStandinCall *call = create_call_ (http, request);

  if (call->control)
    http->control_handler (http->control_client, call);
  else if (call->peer == NULL)
    {
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Connection", "close");
      colt_standin_call_refuse (call, STATUS_UNAVAILABLE, "connections");
    }
  else if (call->peer->unresponsive || http->faults.unresponsive)
    leave_unanswered_ (call);
  else if (http->faults.down)
    colt_standin_call_refuse (call, STATUS_UNAVAILABLE, "down");
  else
    dispatch_ (call);
}

static struct ColtStandinPeer *
find_peer_ (struct ColtStandinHttp *http, struct evhttp_connection *connection)
{
  struct ColtStandinPeer *peer = g_hash_table_lookup (http->peers, connection);

  if (peer != NULL)
    return peer;
  if (g_hash_table_size (http->peers) >= http->connection_max)
    return NULL;
  peer = g_new0 (struct ColtStandinPeer, 1);
  peer->http = http;
  peer->connection = connection;
  g_hash_table_insert (http->peers, connection, peer);
  evhttp_connection_set_closecb (connection, on_connection_closed_, peer);
  return peer;
}

/* Detaches the calls of a closed connection and destroys those that must never
 * be answered. libevent frees a request that is still attached to the
 * connection together with the connection. */
static void
on_connection_closed_ (struct evhttp_connection *connection, void *data)
{
  struct ColtStandinPeer *peer = data;
  struct ColtStandinHttp *http = peer->http;
  GHashTableIter iter;
  gpointer item;

  g_hash_table_iter_init (&iter, http->calls);
  while (g_hash_table_iter_next (&iter, &item, NULL))
    {
      struct ColtStandinCall *call = item;

      if (call->peer != peer)
        continue;
      call->peer = NULL;
      if (evhttp_request_get_connection (call->request) != NULL)
        call->request = NULL;
      if (!call->no_answer)
        continue;
      g_hash_table_iter_steal (&iter);
      destroy_call_ (call);
    }
  g_hash_table_remove (http->peers, connection);
}

static struct ColtStandinCall *
create_call_ (struct ColtStandinHttp *http, struct evhttp_request *request)
{
  struct ColtStandinCall *call = g_new0 (struct ColtStandinCall, 1);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *query = evhttp_uri_get_query (uri);

  call->http = http;
  call->request = request;
  TAILQ_INIT (&call->query);
  if (query != NULL)
    evhttp_parse_query_str (query, &call->query);
  read_body_ (call);
  call->control = http->control_handler != NULL
                  && strcmp (evhttp_uri_get_path (uri), CONTROL_PATH) == 0;
  call->peer = find_peer_ (http, evhttp_request_get_connection (request));
  g_hash_table_add (http->calls, call);
  return call;
}

/* Frees a request that is detached from its connection, since the call owns
 * it. */
static void
destroy_call_ (struct ColtStandinCall *call)
{
  if (call->request != NULL
      && evhttp_request_get_connection (call->request) == NULL)
    evhttp_request_free (call->request);
  if (call->timer != NULL)
    event_free (call->timer);
  evhttp_clear_headers (&call->query);
  json_decref (call->body);
  free (call->reply_text);
  g_free (call);
}

static void
read_body_ (struct ColtStandinCall *call)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (call->request);
  size_t size = evbuffer_get_length (input);

  if (size > 0)
    call->body
        = json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
}

static void
dispatch_ (struct ColtStandinCall *call)
{
  if (evhttp_request_get_command (call->request) == EVHTTP_REQ_POST
      && !json_is_object (call->body))
    {
      colt_standin_call_refuse (call, 400, "the body is no JSON object");
      return;
    }
  call->http->handler (call->http->client, call);
}

static void
leave_unanswered_ (struct ColtStandinCall *call)
{
  call->no_answer = true;
}

/* Closes the connection instead of answering. */
static void
reset_connection_ (struct ColtStandinCall *call)
{
  call->no_answer = true;
  shut_down_connection_ (call->peer->connection);
}

static void
send_reply_ (struct ColtStandinCall *call)
{
  struct ColtStandinHttp *http = call->http;
  struct evbuffer *output;

  if (!call->control && call->peer != NULL)
    {
      if (call->peer->unresponsive)
        {
          leave_unanswered_ (call);
          return;
        }
      if (g_rand_int_range (http->random, 0, 1000) < http->faults.lose_permille)
        {
          reset_connection_ (call);
          return;
        }
    }
  if (call->request != NULL)
    {
      output = evhttp_request_get_output_buffer (call->request);
      evbuffer_add (output, call->reply_text, strlen (call->reply_text));
      evhttp_send_reply (call->request, call->status, NULL, NULL);
      call->request = NULL;
    }
  g_hash_table_remove (http->calls, call);
  destroy_call_ (call);
}

static void
on_delay_timer_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  send_reply_ (data);
}

/* Shuts a socket down, so that the event loop receives the end of the stream
 * and frees the connection. */
static void
shut_down_connection_ (struct evhttp_connection *connection)
{
  struct bufferevent *stream = evhttp_connection_get_bufferevent (connection);

  shutdown (bufferevent_getfd (stream), SHUT_RDWR);
}

static void
set_flag_ (const json_t *object, const char *key, bool *flag)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_boolean (value))
    *flag = json_is_true (value);
}

static void
set_number_ (const json_t *object, const char *key, int64_t *number)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_integer (value))
    *number = CLAMP (json_integer_value (value), 0, FAULT_NUMBER_MAX);
}
