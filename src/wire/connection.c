#include "connection.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "frame.pb-c.h"

enum
{
  LENGTH_SIZE = 4,     /* bytes of a frame's length */
  FRAME_OVERHEAD = 64, /* most bytes of a frame besides its body */
  PROTOCOL_VERSION = 1
};

struct ColtConnection
{
  struct bufferevent *stream;
  const struct ColtConnectionClient *callbacks;
  void *client;
  struct ColtWireStats *stats;
  int64_t last_received_us;
  bool established;
  bool hello_received; /* the peer's hello has arrived */
  bool in_callback;    /* inside a callback; destruction is deferred */
  bool destroyed;      /* destroyed; freed after the callback */
};

static struct ColtConnection *
create_ (struct event_base *base,
         evutil_socket_t socket,
         const struct ColtConnectionClient *callbacks,
         void *client);
static void free_ (struct ColtConnection *connection);
static void on_read_ (struct bufferevent *stream, void *arg);
static void on_event_ (struct bufferevent *stream, short what, void *arg);
static bool process_next_frame_ (struct ColtConnection *connection);
static bool process_frame_ (struct ColtConnection *connection,
                            const uint8_t *data,
                            size_t size);
static bool process_hello_ (struct ColtConnection *connection,
                            const ColtFrame *frame);
static void report_closed_ (struct ColtConnection *connection, bool bad_frame);
static void disable_nagle_ (struct ColtConnection *connection);

struct ColtConnection *
colt_connection_dial (struct event_base *base,
                      const struct sockaddr_in *address,
                      const struct ColtConnectionClient *callbacks,
                      void *client)
{
  struct ColtConnection *connection = create_ (base, -1, callbacks, client);

  bufferevent_socket_connect (
      connection->stream, (const struct sockaddr *)address, sizeof *address);
  return connection;
}

struct ColtConnection *
colt_connection_accept (struct event_base *base,
                        evutil_socket_t socket,
                        const struct ColtConnectionClient *callbacks,
                        void *client)
{
  struct ColtConnection *connection = create_ (base, socket, callbacks, client);

  connection->established = true;
  disable_nagle_ (connection);
  return connection;
}

void
colt_connection_destroy (struct ColtConnection *connection)
{
  if (connection == NULL)
    return;
  connection->destroyed = true;
  if (!connection->in_callback)
    free_ (connection);
}

void
colt_connection_send_hello (struct ColtConnection *connection,
                            uint32_t instance,
                            uint64_t incarnation)
{
  ColtHello hello = COLT_HELLO__INIT;
  struct ColtFrameView frame = { COLT_WIRE_HELLO, 0, false, NULL, 0 };
  uint8_t body[64];

  hello.version = PROTOCOL_VERSION;
  hello.instance = instance;
  hello.incarnation = incarnation;
  frame.size = colt_hello__pack (&hello, body);
  frame.body = body;
  colt_connection_send (connection, &frame);
}

bool
colt_connection_send (struct ColtConnection *connection,
                      const struct ColtFrameView *view)
{
  struct evbuffer *output = bufferevent_get_output (connection->stream);
  ColtFrame frame = COLT_FRAME__INIT;
  struct evbuffer_iovec space;
  uint32_t length;
  size_t size;

  if (evbuffer_get_length (output) + view->size > COLT_WIRE_BACKLOG_MAX)
    return false;
  frame.kind = view->kind;
  frame.call = view->call;
  frame.reply = view->reply;
  frame.body.data = (uint8_t *)view->body;
  frame.body.len = view->size;
  size = colt_frame__get_packed_size (&frame);
  if (evbuffer_reserve_space (output, (ev_ssize_t)(size + LENGTH_SIZE), &space,
                              1)
      < 1)
    return false;
  length = htonl ((uint32_t)size);
  memcpy (space.iov_base, &length, LENGTH_SIZE);
  colt_frame__pack (&frame, (uint8_t *)space.iov_base + LENGTH_SIZE);
  space.iov_len = size + LENGTH_SIZE;
  evbuffer_commit_space (output, &space, 1);
  connection->stats->frames_sent++;
  connection->stats->bytes_sent += size + LENGTH_SIZE;
  return true;
}

bool
colt_connection_is_established (const struct ColtConnection *connection)
{
  return connection->established;
}

int64_t
colt_connection_last_received_us (const struct ColtConnection *connection)
{
  return connection->last_received_us;
}

void
colt_connection_set_stats (struct ColtConnection *connection,
                           struct ColtWireStats *stats)
{
  connection->stats = stats;
  stats->connections++;
}

static struct ColtConnection *
create_ (struct event_base *base,
         evutil_socket_t socket,
         const struct ColtConnectionClient *callbacks,
         void *client)
{
  struct ColtConnection *connection = g_new0 (struct ColtConnection, 1);

  connection->stream = bufferevent_socket_new (
      base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  connection->callbacks = callbacks;
  connection->client = client;
  bufferevent_setcb (connection->stream, on_read_, NULL, on_event_, connection);
  bufferevent_enable (connection->stream, EV_READ | EV_WRITE);
  return connection;
}

static void
free_ (struct ColtConnection *connection)
{
  if (connection->stats != NULL)
    connection->stats->connections--;
  bufferevent_free (connection->stream);
  g_free (connection);
}

static void
on_read_ (struct bufferevent *stream, void *arg)
{
  struct ColtConnection *connection = arg;

  (void)stream;
  connection->last_received_us = colt_clock_monotonic_us ();
  connection->in_callback = true;
  while (!connection->destroyed && process_next_frame_ (connection))
    ;
  connection->in_callback = false;
  if (connection->destroyed)
    free_ (connection);
}

static void
on_event_ (struct bufferevent *stream, short what, void *arg)
{
  struct ColtConnection *connection = arg;

  (void)stream;
  if (what & BEV_EVENT_CONNECTED)
    {
      connection->established = true;
      connection->last_received_us = colt_clock_monotonic_us ();
      disable_nagle_ (connection);
      return;
    }
  connection->in_callback = true;
  report_closed_ (connection, false);
  connection->in_callback = false;
  if (connection->destroyed)
    free_ (connection);
}

/* Returns whether a frame was processed, so that another may follow. */
static bool
process_next_frame_ (struct ColtConnection *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->stream);
  uint32_t length;
  const uint8_t *data;
  bool good;

  if (evbuffer_copyout (input, &length, LENGTH_SIZE) < LENGTH_SIZE)
    return false;
  length = ntohl (length);
  if (length == 0 || length > COLT_WIRE_BODY_MAX + FRAME_OVERHEAD)
    {
      report_closed_ (connection, true);
      return false;
    }
  if (evbuffer_get_length (input) < (size_t)length + LENGTH_SIZE)
    return false;
  data = evbuffer_pullup (input, (ev_ssize_t)length + LENGTH_SIZE);
  connection->stats->frames_received++;
  connection->stats->bytes_received += (uint64_t)length + LENGTH_SIZE;
  good = process_frame_ (connection, data + LENGTH_SIZE, length);
  if (!connection->destroyed && !good)
    report_closed_ (connection, true);
  if (!connection->destroyed)
    evbuffer_drain (input, (size_t)length + LENGTH_SIZE);
  return good;
}

static bool
process_frame_ (struct ColtConnection *connection,
                const uint8_t *data,
                size_t size)
{
  ColtFrame *frame = colt_frame__unpack (NULL, size, data);
  struct ColtFrameView view;
  bool good = true;

  if (frame == NULL || frame->kind >= COLT_WIRE_KIND_MAX)
    good = false;
  else if (!connection->hello_received)
    good = process_hello_ (connection, frame);
  else
    {
      view.kind = frame->kind;
      view.call = frame->call;
      view.reply = frame->reply;
      view.body = frame->body.data;
      view.size = frame->body.len;
      connection->callbacks->on_frame (connection->client, &view);
    }
  if (frame != NULL)
    colt_frame__free_unpacked (frame, NULL);
  return good;
}

static bool
process_hello_ (struct ColtConnection *connection, const ColtFrame *frame)
{
  ColtHello *hello;
  bool good = false;

  if (frame->kind != COLT_WIRE_HELLO)
    return false;
  hello = colt_hello__unpack (NULL, frame->body.len, frame->body.data);
  if (hello == NULL)
    return false;
  if (hello->version == PROTOCOL_VERSION && hello->instance > 0)
    good = connection->callbacks->on_hello (connection->client, hello->instance,
                                            hello->incarnation);
  connection->hello_received = good;
  colt_hello__free_unpacked (hello, NULL);
  return good;
}

static void
report_closed_ (struct ColtConnection *connection, bool bad_frame)
{
  connection->callbacks->on_closed (connection->client, bad_frame);
  assert (connection->destroyed);
}

static void
disable_nagle_ (struct ColtConnection *connection)
{
  int on = 1;

  setsockopt (bufferevent_getfd (connection->stream), IPPROTO_TCP, TCP_NODELAY,
              &on, sizeof on);
}
