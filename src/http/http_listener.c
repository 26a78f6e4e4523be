#include <errno.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/log.h"
#include "http_private.h"

#define MODULE "http"
/* Input that is buffered while no request needs more, so that a client that
 * pipelines requests and reads no answer makes the process hold little. */
#define INPUT_SHORT 2000
/* Input beyond the headers that is buffered. A longer header block is then
 * found too long by evhttp instead of waiting for bytes that aren't read. */
#define INPUT_MARGIN 4096
/* Memory that evhttp takes for a header field, however short: three blocks. */
#define FIELD_BYTES 128
/* Parts of a buffer that are looked at together. */
#define BUFFER_PARTS 4
/* Connections beyond its bound that a listener accepts before it pauses. A
 * closed connection keeps its descriptor until it is freed, within 100 ms. */
#define ACCEPTED_BEYOND 8
/* evhttp's own timeout exceeds those of the limits by this. */
#define TIMEOUT_MARGIN_S 30

static void limit_socket_buffers_ (const struct ColtHttpListener *listener);
static struct bufferevent *create_bufferevent_ (struct event_base *base,
                                                void *client);
static void handle_request_ (struct evhttp_request *request, void *client);
static void on_input_ (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info,
                       void *client);
static void on_output_ (struct evbuffer *buffer,
                        const struct evbuffer_cb_info *info,
                        void *client);
static void begin_request_ (struct ColtHttpConnection *connection);
static void
hold_fields_ (struct ColtHttpConnection *connection, size_t first, size_t size);
static uint32_t count_lines_ (const char *text, size_t size);
static bool is_crowded_ (const struct ColtHttpListener *listener);
static void set_input_ (struct ColtHttpConnection *connection,
                        enum ColtHttpInput input);
static void raise_input_ (struct ColtHttpConnection *connection);
static bool input_is_full_ (const struct ColtHttpConnection *connection);
static size_t get_input_max_ (const struct ColtHttpLimits *limits,
                              enum ColtHttpInput input);
static void free_connection_ (gpointer data);

struct ColtHttpListener *
colt_http_listener_create (struct ColtHttpPool *pool,
                           const struct ColtHttpListenerSettings *settings)
{
  struct ColtHttpListener *listener = g_new0 (struct ColtHttpListener, 1);
  const struct ColtHttpLimits *limits = &pool->limits;
  uint32_t longest_ms
      = MAX (limits->idle_ms, MAX (limits->request_ms, limits->unread_ms));

  listener->pool = pool;
  listener->settings = *settings;
  listener->connections = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                                 NULL, free_connection_);
  listener->http = evhttp_new (pool->base);
  evhttp_set_max_headers_size (listener->http, limits->header_bytes);
  evhttp_set_max_body_size (listener->http, limits->body_bytes);
  evhttp_set_timeout (listener->http,
                      (int)(longest_ms / 1000) + TIMEOUT_MARGIN_S);
  evhttp_set_allowed_methods (listener->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                                  | EVHTTP_REQ_DELETE);
  evhttp_set_bevcb (listener->http, create_bufferevent_, listener);
  evhttp_set_gencb (listener->http, handle_request_, listener);
  colt_http_pool_add (pool, listener);
  return listener;
}

bool
colt_http_listener_bind (struct ColtHttpListener *listener,
                         const char *address,
                         struct ColtError *error)
{
  struct ColtAddress parsed;

  if (colt_address_parse_local (address, &parsed) != COLT_ADDRESS_VALID)
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_LISTEN, address,
                           "not ADDRESS:PORT");
  listener->socket = evhttp_bind_socket_with_handle (listener->http,
                                                     parsed.host, parsed.port);
  if (listener->socket == NULL)
    return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_LISTEN, address,
                           "can't listen: %s", strerror (errno));
  limit_socket_buffers_ (listener);
  return true;
}

void
colt_http_close_after_answer (struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  evhttp_remove_header (headers, "Connection");
  evhttp_add_header (headers, "Connection", "close");
}

void
colt_http_listener_stop (struct ColtHttpListener *listener)
{
  if (listener->socket != NULL)
    evhttp_del_accept_socket (listener->http, listener->socket);
  listener->socket = NULL;
}

void
colt_http_listener_destroy (struct ColtHttpListener *listener)
{
  if (listener == NULL)
    return;
  evhttp_free (listener->http);
  g_hash_table_unref (listener->connections);
  g_ptr_array_remove (listener->pool->listeners, listener);
  g_free (listener);
}

void
colt_http_listener_pace (struct ColtHttpListener *listener)
{
  uint32_t quota = colt_http_pool_quota (listener);
  guint open = g_hash_table_size (listener->connections) + listener->replaced;
  bool full;

  if (listener->socket == NULL)
    return;
  full = colt_http_pool_is_full (listener);
  if (!listener->paused && (full || open > quota + ACCEPTED_BEYOND))
    {
      listener->paused = true;
      colt_counters_increment (listener->pool->counters, listener->pool->pauses,
                               1);
      evconnlistener_disable (
          evhttp_bound_socket_get_listener (listener->socket));
    }
  else if (listener->paused && !full && open <= quota)
    {
      listener->paused = false;
      evconnlistener_enable (
          evhttp_bound_socket_get_listener (listener->socket));
    }
}

bool
colt_http_connection_reap (struct ColtHttpConnection *connection)
{
  if (bufferevent_decref (connection->bufferevent) != 0)
    {
      connection->bufferevent = NULL;
      return true;
    }
  bufferevent_incref (connection->bufferevent);
  return false;
}

void
colt_http_connection_resume (struct ColtHttpConnection *connection)
{
  connection->waiting = false;
  set_input_ (connection, connection->input);
  raise_input_ (connection);
  bufferevent_trigger (connection->bufferevent, EV_READ, 0);
}

void
colt_http_connection_close (struct ColtHttpConnection *connection, bool discard)
{
  const struct linger none = { 1, 0 };

  if (discard)
    setsockopt (bufferevent_getfd (connection->bufferevent), SOL_SOCKET,
                SO_LINGER, &none, sizeof none);
  bufferevent_trigger_event (connection->bufferevent,
                             BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

/* Accepted connections inherit the buffers of the listening socket, so that
 * they are bounded from their first packet on. */
static void
limit_socket_buffers_ (const struct ColtHttpListener *listener)
{
  evutil_socket_t fd = evhttp_bound_socket_get_fd (listener->socket);
  int bytes = (int)listener->pool->limits.socket_bytes;

  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) != 0
      || setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes) != 0)
    colt_log (COLT_LOG_WARNING, MODULE, NULL,
              "socket buffers of listener %s keep their default size: %s",
              listener->settings.name, strerror (errno));
}

/* evhttp calls this for each connection that it has accepted. */
static struct bufferevent *
create_bufferevent_ (struct event_base *base, void *client)
{
  struct ColtHttpListener *listener = client;
  struct ColtHttpConnection *connection = g_new0 (struct ColtHttpConnection, 1);
  struct bufferevent *bufferevent
      = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);

  connection->refused = !colt_http_pool_make_room (listener);
  connection->listener = listener;
  connection->bufferevent = bufferevent;
  connection->idle_us = listener->pool->now_us;
  connection->opened_us = connection->idle_us;
  bufferevent_incref (bufferevent);
  set_input_ (connection, COLT_HTTP_INPUT_SHORT);
  evbuffer_add_cb (bufferevent_get_input (bufferevent), on_input_, connection);
  evbuffer_add_cb (bufferevent_get_output (bufferevent), on_output_,
                   connection);
  g_hash_table_insert (listener->connections, bufferevent, connection);
  listener->pool->open++;
  colt_http_pool_hold (connection, listener->pool->connection_bytes);
  if (connection->refused)
    event_active (listener->pool->enforcement, 0, 0);
  colt_http_listener_pace (listener);
  return bufferevent;
}

static void
handle_request_ (struct evhttp_request *request, void *client)
{
  struct ColtHttpListener *listener = client;
  struct ColtHttpConnection *connection = g_hash_table_lookup (
      listener->connections, evhttp_connection_get_bufferevent (
                                 evhttp_request_get_connection (request)));

  if (connection != NULL)
    {
      if (connection->input != COLT_HTTP_INPUT_SHORT)
        set_input_ (connection, COLT_HTTP_INPUT_SHORT);
      connection->handled = true;
      connection->request_us = 0;
      if (is_crowded_ (listener)
          && evbuffer_get_length (
                 bufferevent_get_input (connection->bufferevent))
                 > 0)
        {
          connection->last = true;
          colt_http_pool_count_end (listener, COLT_HTTP_END_AHEAD);
          colt_http_close_after_answer (request);
        }
    }
  listener->settings.handle (request, listener->settings.client);
}

static void
on_input_ (struct evbuffer *buffer,
           const struct evbuffer_cb_info *info,
           void *client)
{
  struct ColtHttpConnection *connection = client;

  (void)buffer;
  connection->parsed += info->n_deleted;
  if (info->n_added == 0)
    return;
  if (!connection->handled && connection->request_us == 0)
    connection->request_us = connection->listener->pool->now_us;
  colt_http_pool_hold (connection, (int64_t)info->n_added);
  if (!connection->handled && !connection->answering
      && connection->input != COLT_HTTP_INPUT_BODY)
    hold_fields_ (connection, info->orig_size, info->n_added);
  if (colt_http_pool_must_wait (connection))
    {
      connection->waiting = true;
      connection->listener->pool->waiting = true;
      bufferevent_setwatermark (connection->bufferevent, EV_READ, SIZE_MAX, 1);
    }
  else
    raise_input_ (connection);
}

static void
on_output_ (struct evbuffer *buffer,
            const struct evbuffer_cb_info *info,
            void *client)
{
  struct ColtHttpConnection *connection = client;

  if (info->n_added > 0 && connection->handled)
    {
      connection->handled = false;
      connection->answering = true;
    }
  colt_http_pool_hold (connection,
                       (int64_t)info->n_added - (int64_t)info->n_deleted);
  if (info->n_deleted == 0 && info->orig_size > 0)
    return;
  connection->taken_us = connection->listener->pool->now_us;
  if (evbuffer_get_length (buffer) > 0)
    return;
  if (!connection->answering)
    {
      /* "100 Continue"; the request is still incomplete. */
      raise_input_ (connection);
      return;
    }
  connection->answering = false;
  if (connection->last && connection->listener->paused)
    event_active (connection->listener->pool->enforcement, 0, 0);
  begin_request_ (connection);
}

/* Accounts for the end of a request, which evhttp frees once its answer is
 * sent, and for what is there of the next one. */
static void
begin_request_ (struct ColtHttpConnection *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->bufferevent);
  size_t size = evbuffer_get_length (input);

  colt_http_pool_hold (connection,
                       -(int64_t)connection->parsed
                           - (int64_t)connection->fields * FIELD_BYTES);
  connection->parsed = 0;
  connection->fields = 0;
  connection->idle_us = connection->taken_us;
  connection->request_us = size > 0 ? connection->taken_us : 0;
  hold_fields_ (connection, 0, size);
  /* Nothing is taken from the input and so nothing read, if all of it is the
   * beginning of a long line. */
  if (connection->fields == 0 && input_is_full_ (connection))
    set_input_ (connection, COLT_HTTP_INPUT_HEADERS);
}

/* Counts the lines in a part of the input as header fields, at most as many as
 * evhttp takes. */
static void
hold_fields_ (struct ColtHttpConnection *connection, size_t first, size_t size)
{
  struct evbuffer *input = bufferevent_get_input (connection->bufferevent);
  uint32_t lines_max
      = connection->listener->pool->limits.header_bytes - connection->fields;
  struct evbuffer_iovec parts[BUFFER_PARTS];
  struct evbuffer_ptr position;
  uint32_t lines = 0;
  int count, i;

  while (size > 0 && lines < lines_max
         && evbuffer_ptr_set (input, &position, first, EVBUFFER_PTR_SET) == 0
         && (count = evbuffer_peek (input, (ssize_t)size, &position, parts,
                                    BUFFER_PARTS))
                > 0)
    for (i = 0; i < MIN (count, BUFFER_PARTS) && size > 0; i++)
      {
        size_t bytes = MIN (parts[i].iov_len, size);

        lines += count_lines_ (parts[i].iov_base, bytes);
        first += bytes;
        size -= bytes;
      }
  lines = MIN (lines, lines_max);
  connection->fields += lines;
  colt_http_pool_hold (connection, (int64_t)lines * FIELD_BYTES);
}

static uint32_t
count_lines_ (const char *text, size_t size)
{
  const char *end = text + size;
  uint32_t lines = 0;

  for (; (text = memchr (text, '\n', (size_t)(end - text))) != NULL; text++)
    lines++;
  return lines;
}

/* Returns whether half of the connections that the listener may have are open.
 */
static bool
is_crowded_ (const struct ColtHttpListener *listener)
{
  return g_hash_table_size (listener->connections)
         >= (colt_http_pool_quota (listener) + 1) / 2;
}

static void
set_input_ (struct ColtHttpConnection *connection, enum ColtHttpInput input)
{
  connection->input = input;
  bufferevent_setwatermark (
      connection->bufferevent, EV_READ, 0,
      get_input_max_ (&connection->listener->pool->limits, input));
}

/* Lets the client send more if its request needs that. */
static void
raise_input_ (struct ColtHttpConnection *connection)
{
  if (!connection->handled && !connection->answering
      && input_is_full_ (connection)
      && evbuffer_get_length (bufferevent_get_output (connection->bufferevent))
             == 0)
    set_input_ (connection, connection->input + 1);
}

/* Returns whether the next kind of input would let the client send more. */
static bool
input_is_full_ (const struct ColtHttpConnection *connection)
{
  return connection->input < COLT_HTTP_INPUT_BODY
         && evbuffer_get_length (
                bufferevent_get_input (connection->bufferevent))
                >= get_input_max_ (&connection->listener->pool->limits,
                                   connection->input);
}

static size_t
get_input_max_ (const struct ColtHttpLimits *limits, enum ColtHttpInput input)
{
  switch (input)
    {
    case COLT_HTTP_INPUT_SHORT:
      return INPUT_SHORT;
    case COLT_HTTP_INPUT_HEADERS:
      return limits->header_bytes + INPUT_MARGIN;
    default:
      return limits->header_bytes + INPUT_MARGIN + limits->body_bytes;
    }
}

static void
free_connection_ (gpointer data)
{
  struct ColtHttpConnection *connection = data;
  struct ColtHttpPool *pool = connection->listener->pool;

  colt_http_pool_hold (connection, -(int64_t)connection->held);
  pool->open--;
  if (connection->bufferevent != NULL)
    {
      evbuffer_remove_cb (bufferevent_get_input (connection->bufferevent),
                          on_input_, connection);
      evbuffer_remove_cb (bufferevent_get_output (connection->bufferevent),
                          on_output_, connection);
      bufferevent_decref (connection->bufferevent);
    }
  g_free (connection);
}
