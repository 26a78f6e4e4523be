#include "coltsfootstile/http_client.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/clock.h"

#define HEADER_BYTES_MAX (16 * 1024)
/* Input that is buffered beyond the longest headers and body, in bytes. */
#define INPUT_MARGIN 4096
/* Margin of evhttp's timeout over the call's, so that the client's timer ends
 * the call first. */
#define EVHTTP_TIMEOUT_MARGIN_S 10

struct ColtHttpCall
{
  struct evhttp_request *request; /* NULL once it belongs to the connection */
  enum evhttp_cmd_type method;
  uint32_t timeout_ms;
  uint32_t stall_ms;   /* as in struct ColtHttpRequest */
  uint64_t connection; /* on which alone it may be sent; 0: any */
  int64_t sent_us;
  ColtHttpDone done;
  void *client;
  char path[];
};

struct ColtHttpClient
{
  struct event_base *base;
  char *address;
  enum ColtAddressStatus status; /* of address */
  struct ColtAddress parsed;     /* set if the address is valid */
  size_t answer_max;
  uint32_t queue_max;
  GQueue waiting;  /* of struct ColtHttpCall */
  GQueue rejected; /* calls that can't be made, still to be ended */
  struct ColtHttpCall *open;
  struct evhttp_connection *connection;
  bool dispatched; /* bytes of the open call were written */
  size_t received; /* bytes of its answer */
  bool completed;  /* the result of the open call is in answer */
  bool closing;
  bool close_after_answer; /* the server closes the connection */
  bool closed;             /* the server has closed the connection */
  enum evhttp_request_error request_error;
  bool has_request_error;
  struct ColtHttpAnswer answer;
  char *answer_body;
  struct event *timer;
  struct event *finish_event;
  uint64_t connections;
};

const char *const colt_http_result_string[]
    = { "answered", "not_sent", "unknown" };

static const enum evhttp_cmd_type methods[]
    = { EVHTTP_REQ_GET, EVHTTP_REQ_POST, EVHTTP_REQ_DELETE };

static struct evhttp_request *
create_request_ (struct ColtHttpClient *http,
                 const struct ColtHttpRequest *source);
static void free_call_ (struct ColtHttpCall *call);
static void end_call_ (struct ColtHttpCall *call,
                       const struct ColtHttpAnswer *answer);
static void end_unsent_call_ (struct ColtHttpClient *http,
                              struct ColtHttpCall *call,
                              enum ColtErrorCode code,
                              const char *reason);
static void end_rejected_call_ (struct ColtHttpClient *http,
                                struct ColtHttpCall *call);
static void start_next_call_ (struct ColtHttpClient *http);
static bool open_connection_ (struct ColtHttpClient *http);
static void close_connection_ (struct ColtHttpClient *http);
static void on_closed_ (struct evhttp_connection *connection, void *client);
static bool may_send_ (struct ColtHttpClient *http,
                       const struct ColtHttpCall *call);
static bool send_open_call_ (struct ColtHttpClient *http);
static void write_output_ (struct ColtHttpClient *http);
static void on_output_ (struct evbuffer *buffer,
                        const struct evbuffer_cb_info *info,
                        void *client);
static void on_input_ (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info,
                       void *client);
static void continue_call_ (struct ColtHttpClient *http, uint32_t for_ms);
static void restart_timer_ (struct ColtHttpClient *http, uint32_t after_ms);
static void on_request_error_ (enum evhttp_request_error request_error,
                               void *client);
static void on_answer_ (struct evhttp_request *request, void *client);
static bool is_complete_ (struct evhttp_request *request, size_t size);
static bool announces_close_ (struct evhttp_request *request);
static void fail_open_call_ (struct ColtHttpClient *http,
                             enum ColtErrorCode code,
                             const char *reason);
static void on_timeout_ (evutil_socket_t fd, short what, void *client);
static void on_finish_ (evutil_socket_t fd, short what, void *client);
static void store_answer_ (struct ColtHttpClient *http,
                           struct evhttp_request *request,
                           size_t size);

struct event_base *
colt_http_create_base (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

struct ColtHttpClient *
colt_http_client_create (struct event_base *base,
                         const char *address,
                         size_t answer_max,
                         uint32_t queue_max)
{
  struct ColtHttpClient *http = g_new0 (struct ColtHttpClient, 1);

  http->base = base;
  http->address = g_strdup (address);
  http->status = colt_address_parse (address, &http->parsed);
  http->answer_max = answer_max;
  http->queue_max = queue_max;
  g_queue_init (&http->waiting);
  g_queue_init (&http->rejected);
  http->timer = event_new (base, -1, 0, on_timeout_, http);
  http->finish_event = event_new (base, -1, 0, on_finish_, http);
  return http;
}

void
colt_http_client_destroy (struct ColtHttpClient *http)
{
  if (http == NULL)
    return;
  http->closing = true;
  colt_http_client_cancel (http);
  event_free (http->timer);
  event_free (http->finish_event);
  g_free (http->address);
  g_free (http);
}

void
colt_http_client_call (struct ColtHttpClient *http,
                       const char *path,
                       const char *body,
                       uint32_t timeout_ms,
                       ColtHttpDone done,
                       void *client)
{
  const struct ColtHttpRequest request
      = { .method = body != NULL ? COLT_HTTP_POST : COLT_HTTP_GET,
          .path = path,
          .body = body,
          .timeout_ms = timeout_ms };

  colt_http_client_send (http, &request, done, client);
}

void
colt_http_client_send (struct ColtHttpClient *http,
                       const struct ColtHttpRequest *request,
                       ColtHttpDone done,
                       void *client)
{
  size_t path_size = strlen (request->path) + 1;
  struct ColtHttpCall *call = g_malloc (sizeof *call + path_size);

  assert (!http->closing && request->timeout_ms > 0);
  memcpy (call->path, request->path, path_size);
  call->request = create_request_ (http, request);
  call->method = methods[request->method];
  call->timeout_ms = request->timeout_ms;
  call->stall_ms = request->stall_ms;
  call->connection = request->connection;
  call->done = done;
  call->client = client;
  if (http->status != COLT_ADDRESS_VALID
      || (http->open != NULL && http->waiting.length >= http->queue_max))
    {
      g_queue_push_tail (&http->rejected, call);
      event_active (http->finish_event, 0, 0);
      return;
    }
  g_queue_push_tail (&http->waiting, call);
  if (http->open == NULL)
    start_next_call_ (http);
}

/* Runs the callbacks with a copy of the client, since they may destroy it. */
void
colt_http_client_cancel (struct ColtHttpClient *http)
{
  struct ColtHttpClient cancelled = *http;
  struct ColtHttpCall *call;

  close_connection_ (http);
  event_del (http->timer);
  event_del (http->finish_event);
  http->open = NULL;
  http->completed = false;
  http->answer_body = NULL;
  g_queue_init (&http->waiting);
  g_queue_init (&http->rejected);
  cancelled.finish_event = NULL;
  cancelled.address = g_strdup (http->address);
  if (cancelled.open != NULL)
    {
      if (!cancelled.completed)
        fail_open_call_ (&cancelled, COLT_ERROR_TIMEOUT,
                         "the call was cancelled");
      end_call_ (cancelled.open, &cancelled.answer);
    }
  while ((call = g_queue_pop_head (&cancelled.waiting)) != NULL)
    end_unsent_call_ (&cancelled, call, COLT_ERROR_UNREACHABLE,
                      "the call was cancelled");
  while ((call = g_queue_pop_head (&cancelled.rejected)) != NULL)
    end_rejected_call_ (&cancelled, call);
  g_free (cancelled.answer_body);
  g_free (cancelled.address);
}

uint32_t
colt_http_client_pending (const struct ColtHttpClient *http)
{
  return http->waiting.length + (http->open != NULL ? 1 : 0);
}

uint64_t
colt_http_client_connections (const struct ColtHttpClient *http)
{
  return http->connections;
}

/* Returns NULL if memory is exhausted. */
static struct evhttp_request *
create_request_ (struct ColtHttpClient *http,
                 const struct ColtHttpRequest *source)
{
  struct evhttp_request *request = evhttp_request_new (on_answer_, http);
  bool binary = source->body_size > 0;
  struct evkeyvalq *headers;
  size_t i;

  if (request == NULL)
    return NULL;
  evhttp_request_set_error_cb (request, on_request_error_);
  headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", http->address);
  for (i = 0; i < source->header_count; i++)
    if (source->headers[i].value != NULL)
      evhttp_add_header (headers, source->headers[i].name,
                         source->headers[i].value);
  if (source->body == NULL && source->method != COLT_HTTP_POST)
    return request;
  evhttp_add_header (headers, "Content-Type",
                     binary ? "application/octet-stream" : "application/json");
  if (source->body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), source->body,
                  binary ? source->body_size : strlen (source->body));
  return request;
}

static void
free_call_ (struct ColtHttpCall *call)
{
  if (call->request != NULL)
    evhttp_request_free (call->request);
  g_free (call);
}

static void
end_call_ (struct ColtHttpCall *call, const struct ColtHttpAnswer *answer)
{
  ColtHttpDone done = call->done;
  void *client = call->client;

  free_call_ (call);
  done (client, answer);
}

static void
end_unsent_call_ (struct ColtHttpClient *http,
                  struct ColtHttpCall *call,
                  enum ColtErrorCode code,
                  const char *reason)
{
  struct ColtHttpAnswer answer = { 0 };

  answer.result = COLT_HTTP_NOT_SENT;
  answer.sent_us = colt_clock_monotonic_us ();
  colt_error_set (&answer.error, code, COLT_STEP_SEND, http->address, "%s",
                  reason);
  end_call_ (call, &answer);
}

static void
end_rejected_call_ (struct ColtHttpClient *http, struct ColtHttpCall *call)
{
  if (http->status == COLT_ADDRESS_VALID)
    end_unsent_call_ (http, call, COLT_ERROR_EXHAUSTED,
                      "too many calls are waiting");
  else
    end_unsent_call_ (http, call, COLT_ERROR_INVALID,
                      colt_address_status_string[http->status]);
}

static void
start_next_call_ (struct ColtHttpClient *http)
{
  http->open = g_queue_pop_head (&http->waiting);
  http->completed = false;
  http->dispatched = false;
  http->received = 0;
  http->has_request_error = false;
  http->close_after_answer = false;
  if (http->open == NULL)
    return;
  memset (&http->answer, 0, sizeof http->answer);
  http->open->sent_us = colt_clock_monotonic_us ();
  /* Otherwise the timeout would begin with the turn of the loop. */
  event_base_update_cache_time (http->base);
  restart_timer_ (http, http->open->timeout_ms);
  if (http->closed)
    close_connection_ (http);
  if (!may_send_ (http, http->open))
    {
      fail_open_call_ (http, COLT_ERROR_UNREACHABLE,
                       "the connection that the call is bound to has ended");
      return;
    }
  if ((http->connection == NULL && !open_connection_ (http))
      || !send_open_call_ (http))
    fail_open_call_ (http, COLT_ERROR_SYSTEM, "the call can't be started");
}

static bool
open_connection_ (struct ColtHttpClient *http)
{
  struct bufferevent *bufferevent;

  http->connection = evhttp_connection_base_new (
      http->base, NULL, http->parsed.host, http->parsed.port);
  if (http->connection == NULL)
    return false;
  http->connections++;
  bufferevent = evhttp_connection_get_bufferevent (http->connection);
  evbuffer_add_cb (bufferevent_get_output (bufferevent), on_output_, http);
  evbuffer_add_cb (bufferevent_get_input (bufferevent), on_input_, http);
  evhttp_connection_set_max_headers_size (http->connection, HEADER_BYTES_MAX);
  evhttp_connection_set_max_body_size (http->connection,
                                       (ev_ssize_t)http->answer_max);
  /* evhttp keeps a body in the input buffer until it is complete. */
  bufferevent_setwatermark (bufferevent, EV_READ, 0,
                            HEADER_BYTES_MAX + INPUT_MARGIN + http->answer_max);
  evhttp_connection_set_retries (http->connection, 0);
  evhttp_connection_set_closecb (http->connection, on_closed_, http);
  return true;
}

/* evhttp would open another connection for the next call. */
static void
on_closed_ (struct evhttp_connection *connection, void *client)
{
  struct ColtHttpClient *http = client;

  (void)connection;
  http->closed = true;
}

static bool
may_send_ (struct ColtHttpClient *http, const struct ColtHttpCall *call)
{
  return call->connection == 0
         || (http->connection != NULL && call->connection == http->connections);
}

/* Discards bytes that are still in the socket's send buffer, so that a failed
 * call can't reach the server later. */
static void
close_connection_ (struct ColtHttpClient *http)
{
  const struct linger discard = { 1, 0 };
  struct evhttp_connection *connection = http->connection;
  struct bufferevent *bufferevent;

  if (connection == NULL)
    return;
  http->connection = NULL;
  http->closed = false;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  bufferevent = evhttp_connection_get_bufferevent (connection);
  evbuffer_remove_cb (bufferevent_get_output (bufferevent), on_output_, http);
  evbuffer_remove_cb (bufferevent_get_input (bufferevent), on_input_, http);
  setsockopt (bufferevent_getfd (bufferevent), SOL_SOCKET, SO_LINGER, &discard,
              sizeof discard);
  evhttp_connection_free (connection);
}

static bool
send_open_call_ (struct ColtHttpClient *http)
{
  struct ColtHttpCall *call = http->open;
  struct evhttp_request *request = call->request;

  if (request == NULL)
    return false;
  call->request = NULL;
  evhttp_connection_set_timeout (
      http->connection,
      (int)(call->timeout_ms / 1000 + EVHTTP_TIMEOUT_MARGIN_S));
  if (evhttp_make_request (http->connection, request, call->method, call->path)
      != 0)
    return false;
  if (http->dispatched)
    write_output_ (http);
  return true;
}

/* Writes at once instead of when the event loop finds the socket writable, as
 * it nearly always is. evhttp writes the rest, or meets the error again. */
static void
write_output_ (struct ColtHttpClient *http)
{
  struct bufferevent *bufferevent
      = evhttp_connection_get_bufferevent (http->connection);
  struct evbuffer *output = bufferevent_get_output (bufferevent);

  evbuffer_unfreeze (output, 1);
  evbuffer_write (output, bufferevent_getfd (bufferevent));
  evbuffer_freeze (output, 1);
  if (evbuffer_get_length (output) == 0)
    bufferevent_trigger (bufferevent, EV_WRITE, 0);
}

/* evhttp writes to the output buffer only once the connection is established.
 */
static void
on_output_ (struct evbuffer *buffer,
            const struct evbuffer_cb_info *info,
            void *client)
{
  struct ColtHttpClient *http = client;

  (void)buffer;
  if (info->n_added > 0)
    http->dispatched = true;
  if (info->n_deleted > 0 && http->open != NULL)
    continue_call_ (http, http->open->timeout_ms);
}

static void
on_input_ (struct evbuffer *buffer,
           const struct evbuffer_cb_info *info,
           void *client)
{
  struct ColtHttpClient *http = client;

  (void)buffer;
  http->received += info->n_added;
  if (info->n_added > 0 && http->open != NULL)
    continue_call_ (http, http->open->stall_ms);
}

/* Gives a call that makes progress a further time, if it isn't bounded as a
 * whole. */
static void
continue_call_ (struct ColtHttpClient *http, uint32_t for_ms)
{
  if (http->open->stall_ms > 0 && !http->completed)
    restart_timer_ (http, for_ms);
}

static void
restart_timer_ (struct ColtHttpClient *http, uint32_t after_ms)
{
  const struct timeval when
      = { after_ms / 1000, (suseconds_t)(after_ms % 1000) * 1000 };

  event_add (http->timer, &when);
}

static void
on_request_error_ (enum evhttp_request_error request_error, void *client)
{
  struct ColtHttpClient *http = client;

  http->request_error = request_error;
  http->has_request_error = true;
}

static void
on_answer_ (struct evhttp_request *request, void *client)
{
  struct ColtHttpClient *http = client;
  size_t size;

  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      if (http->has_request_error
          && http->request_error == EVREQ_HTTP_DATA_TOO_LONG)
        fail_open_call_ (http, COLT_ERROR_EXHAUSTED, "the answer is too large");
      else if (http->has_request_error
               && http->request_error == EVREQ_HTTP_TIMEOUT)
        fail_open_call_ (http, COLT_ERROR_TIMEOUT, "no answer in time");
      else
        fail_open_call_ (http, COLT_ERROR_TRUNCATED,
                         "the connection closed before a complete answer");
      return;
    }
  size = evbuffer_get_length (evhttp_request_get_input_buffer (request));
  if (!is_complete_ (request, size))
    {
      fail_open_call_ (http, COLT_ERROR_TRUNCATED, "the answer is incomplete");
      return;
    }
  http->close_after_answer = announces_close_ (request);
  store_answer_ (http, request, size);
}

static bool
is_complete_ (struct evhttp_request *request, size_t size)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *length = evhttp_find_header (headers, "Content-Length");
  const char *coding = evhttp_find_header (headers, "Transfer-Encoding");

  if (coding != NULL && g_ascii_strcasecmp (coding, "chunked") == 0)
    return true;
  return length != NULL && g_ascii_strtoull (length, NULL, 10) == size;
}

static bool
announces_close_ (struct evhttp_request *request)
{
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Connection");

  return value != NULL && g_ascii_strcasecmp (value, "close") == 0;
}

static void
store_answer_ (struct ColtHttpClient *http,
               struct evhttp_request *request,
               size_t size)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  const char *retry_after = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Retry-After");

  http->answer_body = g_malloc (size + 1);
  evbuffer_remove (input, http->answer_body, size);
  http->answer_body[size] = '\0';
  http->answer.result = COLT_HTTP_ANSWERED;
  g_strlcpy (http->answer.retry_after, retry_after != NULL ? retry_after : "",
             sizeof http->answer.retry_after);
  http->answer.status = evhttp_request_get_response_code (request);
  http->answer.sent_us = http->open->sent_us;
  http->answer.connection
      = http->close_after_answer || http->closed ? 0 : http->connections;
  http->answer.body = http->answer_body;
  http->answer.size = size;
  http->answer.received = http->received;
  http->completed = true;
  event_active (http->finish_event, 0, 0);
}

static void
fail_open_call_ (struct ColtHttpClient *http,
                 enum ColtErrorCode code,
                 const char *reason)
{
  struct ColtHttpAnswer *answer = &http->answer;

  memset (answer, 0, sizeof *answer);
  answer->sent_us = http->open->sent_us;
  answer->received = http->received;
  answer->result = http->dispatched ? COLT_HTTP_UNKNOWN : COLT_HTTP_NOT_SENT;
  if (http->dispatched)
    colt_error_set (&answer->error, code, COLT_STEP_RECEIVE, http->address,
                    "%s", reason);
  else
    colt_error_set (&answer->error, COLT_ERROR_UNREACHABLE, COLT_STEP_CONNECT,
                    http->address, "connection failed: %s", reason);
  http->completed = true;
  if (http->finish_event != NULL)
    event_active (http->finish_event, 0, 0);
}

static void
on_timeout_ (evutil_socket_t fd, short what, void *client)
{
  struct ColtHttpClient *http = client;

  (void)fd;
  (void)what;
  if (http->open == NULL || http->completed)
    return;
  fail_open_call_ (http, COLT_ERROR_TIMEOUT, "no answer in time");
  close_connection_ (http);
}

/* Runs outside evhttp's callbacks, where the connection may be freed. */
static void
on_finish_ (evutil_socket_t fd, short what, void *client)
{
  struct ColtHttpClient *http = client;
  struct ColtHttpCall *call = g_queue_pop_head (&http->rejected);
  struct ColtHttpAnswer answer;
  char *body;

  (void)fd;
  (void)what;
  if (call != NULL)
    {
      event_active (http->finish_event, 0, 0);
      end_rejected_call_ (http, call);
      return;
    }
  if (!http->completed)
    return;
  call = http->open;
  answer = http->answer;
  body = http->answer_body;
  http->answer_body = NULL;
  event_del (http->timer);
  if (answer.result != COLT_HTTP_ANSWERED || http->close_after_answer)
    close_connection_ (http);
  start_next_call_ (http);
  end_call_ (call, &answer);
  g_free (body);
}
