#include "fake_fleet.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "coltsfootstile/bundle_dump.h"
#include "coltsfootstile/json.h"
#include "coltsfootstile/log_service.h"

#define STOP_CHECK_MS 10

struct ColtFakeScript
{
  int status;
  char *body;
  int calls;
};

struct ColtFakeFleet
{
  GThread *thread;
  GMutex mutex;
  struct event_base *base;
  struct evhttp *http;
  char *address;
  gint stop_requested;
  GPtrArray *records; /* bodies of the appends, base64 */
  struct ColtChain *chain;
  GHashTable *scripts; /* "METHOD path" -> struct ColtFakeScript */
  GHashTable *headers; /* of the last scripted call */
  int dropped_answers;
};

static gpointer run_loop_ (gpointer data);
static void check_stop_ (evutil_socket_t fd, short what, void *data);
static void on_request_ (struct evhttp_request *request, void *data);
static void
send_answer_ (struct evhttp_request *request, int status, const char *body);
static char *read_body_ (struct evhttp_request *request);
static void handle_append_ (struct ColtFakeFleet *fleet,
                            struct evhttp_request *request);
static void apply_record_ (void *client, const struct ColtLogItem *item);
static void handle_read_ (struct ColtFakeFleet *fleet,
                          struct evhttp_request *request);
static void send_state_ (struct ColtFakeFleet *fleet,
                         struct evhttp_request *request);
static void send_scripted_answer_ (struct ColtFakeFleet *fleet,
                                   struct evhttp_request *request,
                                   const char *call);
static void free_script_ (gpointer data);

struct ColtFakeFleet *
colt_fake_fleet_create (const struct ColtOperatorKey *bootstrap)
{
  struct ColtFakeFleet *fleet = g_new0 (struct ColtFakeFleet, 1);
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address;
  socklen_t size = sizeof address;

  g_mutex_init (&fleet->mutex);
  fleet->base = event_base_new ();
  fleet->http = evhttp_new (fleet->base);
  evhttp_set_allowed_methods (fleet->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                               | EVHTTP_REQ_DELETE);
  evhttp_set_gencb (fleet->http, on_request_, fleet);
  bound = evhttp_bind_socket_with_handle (fleet->http, "127.0.0.1", 0);
  g_assert_nonnull (bound);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  fleet->address = g_strdup_printf ("127.0.0.1:%d", ntohs (address.sin_port));
  fleet->records = g_ptr_array_new_with_free_func (free);
  fleet->chain = colt_chain_create (bootstrap, 1);
  fleet->scripts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_script_);
  fleet->headers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->thread = g_thread_new ("fleet", run_loop_, fleet);
  return fleet;
}

void
colt_fake_fleet_destroy (struct ColtFakeFleet *fleet)
{
  g_atomic_int_set (&fleet->stop_requested, 1);
  g_thread_join (fleet->thread);
  evhttp_free (fleet->http);
  event_base_free (fleet->base);
  g_ptr_array_unref (fleet->records);
  colt_chain_destroy (fleet->chain);
  g_hash_table_unref (fleet->scripts);
  g_hash_table_unref (fleet->headers);
  g_mutex_clear (&fleet->mutex);
  g_free (fleet->address);
  g_free (fleet);
}

const char *
colt_fake_fleet_address (const struct ColtFakeFleet *fleet)
{
  return fleet->address;
}

void
colt_fake_fleet_drop_append_answers (struct ColtFakeFleet *fleet, int count)
{
  g_mutex_lock (&fleet->mutex);
  fleet->dropped_answers = count;
  g_mutex_unlock (&fleet->mutex);
}

void
colt_fake_fleet_set_answer (struct ColtFakeFleet *fleet,
                            const char *call,
                            int status,
                            const char *body)
{
  struct ColtFakeScript *script = g_new0 (struct ColtFakeScript, 1);

  script->status = status;
  script->body = g_strdup (body);
  g_mutex_lock (&fleet->mutex);
  g_hash_table_replace (fleet->scripts, g_strdup (call), script);
  g_mutex_unlock (&fleet->mutex);
}

int
colt_fake_fleet_count_calls (struct ColtFakeFleet *fleet, const char *call)
{
  struct ColtFakeScript *script;
  int calls;

  g_mutex_lock (&fleet->mutex);
  script = g_hash_table_lookup (fleet->scripts, call);
  calls = script != NULL ? script->calls : 0;
  g_mutex_unlock (&fleet->mutex);
  return calls;
}

char *
colt_fake_fleet_copy_header (struct ColtFakeFleet *fleet, const char *name)
{
  char *value;

  g_mutex_lock (&fleet->mutex);
  value = g_strdup (g_hash_table_lookup (fleet->headers, name));
  g_mutex_unlock (&fleet->mutex);
  return value;
}

static gpointer
run_loop_ (gpointer data)
{
  struct ColtFakeFleet *fleet = data;
  struct timeval pause = { 0, STOP_CHECK_MS * 1000 };
  struct event *check
      = event_new (fleet->base, -1, EV_PERSIST, check_stop_, fleet);

  event_add (check, &pause);
  event_base_dispatch (fleet->base);
  event_free (check);
  return NULL;
}

static void
check_stop_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtFakeFleet *fleet = data;

  (void)fd;
  (void)what;
  if (g_atomic_int_get (&fleet->stop_requested) != 0)
    event_base_loopbreak (fleet->base);
}

static void
on_request_ (struct evhttp_request *request, void *data)
{
  struct ColtFakeFleet *fleet = data;
  const char *uri = evhttp_request_get_uri (request);
  enum evhttp_cmd_type method = evhttp_request_get_command (request);
  char *call = g_strconcat (method == EVHTTP_REQ_POST     ? "POST "
                            : method == EVHTTP_REQ_DELETE ? "DELETE "
                                                          : "GET ",
                            uri, NULL);

  g_mutex_lock (&fleet->mutex);
  if (strcmp (call, "POST /v1/records") == 0)
    handle_append_ (fleet, request);
  else if (g_str_has_prefix (call, "GET /v1/records?"))
    handle_read_ (fleet, request);
  else if (strcmp (call, "GET /v1/state/bundle") == 0)
    send_state_ (fleet, request);
  else
    send_scripted_answer_ (fleet, request, call);
  g_mutex_unlock (&fleet->mutex);
  g_free (call);
}

static void
send_answer_ (struct evhttp_request *request, int status, const char *body)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add (buffer, body, strlen (body));
  evhttp_send_reply (request, status, "", buffer);
  evbuffer_free (buffer);
}

static char *
read_body_ (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  char *text = g_malloc0 (size + 1);

  evbuffer_remove (input, text, size);
  return text;
}

static void
handle_append_ (struct ColtFakeFleet *fleet, struct evhttp_request *request)
{
  char *text = read_body_ (request);
  json_t *json = json_loads (text, 0, NULL);
  const struct ColtJsonContext context = { NULL, NULL };
  char *answer = g_strdup_printf ("{\"offset\":%u}", fleet->records->len);
  uint8_t *body;
  size_t size;

  g_assert_true (colt_json_get_bytes (&context, json, "body", &body, &size));
  g_assert_true (colt_log_batch_decode (fleet->records->len, body, size,
                                        apply_record_, fleet, NULL));
  g_ptr_array_add (fleet->records,
                   strdup (json_string_value (json_object_get (json, "body"))));
  colt_chain_advance (fleet->chain, fleet->records->len);
  if (fleet->dropped_answers > 0)
    fleet->dropped_answers--;
  else
    send_answer_ (request, 200, answer);
  free (body);
  json_decref (json);
  g_free (answer);
  g_free (text);
}

static void
apply_record_ (void *client, const struct ColtLogItem *item)
{
  struct ColtFakeFleet *fleet = client;
  struct ColtLogPosition position = { item->offset, item->index };
  struct ColtChainVerdict verdict;

  colt_chain_apply_record (fleet->chain, position, item->kind, item->body,
                           item->size, &verdict);
}

static void
handle_read_ (struct ColtFakeFleet *fleet, struct evhttp_request *request)
{
  const char *uri = evhttp_request_get_uri (request);
  const char *from = strstr (uri, "from=");
  guint offset = from != NULL ? (guint)strtoul (from + 5, NULL, 10) : 0;
  json_t *records = json_array ();
  json_t *page;
  char *text;

  for (; offset < fleet->records->len; offset++)
    json_array_append_new (records,
                           json_pack ("{s:i,s:s}", "offset", (int)offset,
                                      "body", fleet->records->pdata[offset]));
  page = json_pack ("{s:i,s:i,s:o}", "first", 0, "head",
                    (int)fleet->records->len, "records", records);
  text = json_dumps (page, JSON_COMPACT);
  send_answer_ (request, 200, text);
  json_decref (page);
  free (text);
}

static void
send_state_ (struct ColtFakeFleet *fleet, struct evhttp_request *request)
{
  json_t *state = colt_chain_dump (fleet->chain);
  char *text;

  json_object_set_new (state, "zone", json_integer (1));
  json_object_set_new (state, "instance", json_integer (11));
  text = json_dumps (state, JSON_COMPACT);
  send_answer_ (request, 200, text);
  json_decref (state);
  free (text);
}

static void
send_scripted_answer_ (struct ColtFakeFleet *fleet,
                       struct evhttp_request *request,
                       const char *call)
{
  struct ColtFakeScript *script = g_hash_table_lookup (fleet->scripts, call);
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evkeyval *header;

  g_hash_table_remove_all (fleet->headers);
  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    g_hash_table_replace (fleet->headers, g_strdup (header->key),
                          g_strdup (header->value));
  if (script == NULL)
    send_answer_ (request, 404, "{}");
  else if (script->calls++ >= 0 && script->status != 0)
    send_answer_ (request, script->status, script->body);
}

static void
free_script_ (gpointer data)
{
  struct ColtFakeScript *script = data;

  g_free (script->body);
  g_free (script);
}
