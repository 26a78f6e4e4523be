#include "coltsfootstile/wire.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/table.h"
#include "connection.h"

/* Delay before dialling again after a connection to a peer failed. */
#define REDIAL_DELAY_US (100 * COLT_US_PER_MS)

#define MODULE "wire"

struct ColtWirePeer
{
  uint32_t instance;
  struct sockaddr_in address;
  char address_text[COLT_ERROR_PEER_SIZE];
  uint64_t link;     /* handle of the link dialled to the peer, if any */
  int64_t failed_us; /* monotonic time at which a dialled link last failed */
};

/* A connection to or from a peer. */
struct ColtWireLink
{
  struct ColtWire *wire;
  struct ColtConnection *connection;
  uint64_t handle;
  uint32_t instance; /* the peer's; 0 on an accepted link before the hello */
  bool dialled;      /* opened by this instance, not accepted */
};

struct ColtWireCall
{
  struct ColtWire *wire;
  uint64_t handle;
  uint64_t link;   /* handle of the link that carries the call, if any */
  int64_t sent_us; /* monotonic time */
  struct event *timer;
  ColtWireCallDone done;
  void *client;
};

struct ColtWireReceiver
{
  ColtWireHandler handler;
  void *client;
};

struct ColtWire
{
  struct event_base *base;
  uint32_t instance;
  uint64_t incarnation;
  struct evconnlistener *listener;
  GHashTable *peers;       /* instance number -> struct ColtWirePeer */
  struct ColtTable *links; /* of struct ColtWireLink */
  struct ColtTable *calls; /* of struct ColtWireCall */
  struct ColtWireReceiver receivers[COLT_WIRE_KIND_MAX]; /* by kind */
  uint64_t received[COLT_WIRE_KIND_MAX];                 /* messages, by kind */
  struct ColtWireStats stats;
};

uint64_t
colt_wire_received_count (const struct ColtWire *wire, uint32_t kind)
{
  assert (kind < COLT_WIRE_KIND_MAX);
  return wire->received[kind];
}

static struct ColtWireLink *
add_link_ (struct ColtWire *wire, uint32_t instance, bool dialled);
static void unset_peer_link_ (struct ColtWire *wire,
                              const struct ColtWireLink *link);
static void close_link_ (struct ColtWireLink *link,
                         enum ColtWireResult established_result);
static struct ColtWireLink *dial_peer_ (struct ColtWire *wire,
                                        struct ColtWirePeer *peer);
static struct ColtWireLink *get_link_ (struct ColtWire *wire,
                                       uint32_t instance);
static struct ColtWireCall *add_call_ (struct ColtWire *wire,
                                       uint32_t timeout_ms,
                                       ColtWireCallDone done,
                                       void *client);
static void end_call_ (struct ColtWireCall *call,
                       enum ColtWireResult result,
                       const uint8_t *body,
                       size_t size);
static void end_link_calls_ (struct ColtWire *wire,
                             uint64_t link,
                             enum ColtWireResult result);
static void on_accept_ (struct evconnlistener *listener,
                        evutil_socket_t socket,
                        struct sockaddr *address,
                        int size,
                        void *arg);
static void on_call_timer_ (evutil_socket_t fd, short what, void *arg);
static bool on_hello_ (void *client, uint32_t instance, uint64_t incarnation);
static void on_frame_ (void *client, const struct ColtFrameView *frame);
static void on_closed_ (void *client, bool bad_frame);
static void free_peer_ (gpointer data);
static bool parse_address_ (const char *text, struct sockaddr_in *address);

const char *const colt_wire_result_string[]
    = { "replied", "not sent", "timed out", "broken" };

static const struct ColtConnectionClient link_callbacks
    = { on_hello_, on_frame_, on_closed_ };

struct ColtWire *
colt_wire_create (struct event_base *base,
                  uint32_t instance,
                  uint64_t incarnation)
{
  struct ColtWire *wire = g_new0 (struct ColtWire, 1);

  assert (instance > 0);
  wire->base = base;
  wire->instance = instance;
  wire->incarnation = incarnation;
  wire->peers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, free_peer_);
  wire->links = colt_table_create (sizeof (struct ColtWireLink));
  wire->calls = colt_table_create (sizeof (struct ColtWireCall));
  return wire;
}

void
colt_wire_end_calls (struct ColtWire *wire)
{
  uint64_t handle;

  while ((handle = colt_table_next (wire->calls, COLT_HANDLE_NONE)) != 0)
    end_call_ (colt_table_get (wire->calls, handle), COLT_WIRE_BROKEN, NULL, 0);
}

void
colt_wire_destroy (struct ColtWire *wire)
{
  uint64_t handle;

  if (wire == NULL)
    return;
  if (wire->listener != NULL)
    evconnlistener_free (wire->listener);
  colt_wire_end_calls (wire);
  while ((handle = colt_table_next (wire->links, COLT_HANDLE_NONE)) != 0)
    close_link_ (colt_table_get (wire->links, handle), COLT_WIRE_BROKEN);
  colt_table_destroy (wire->calls);
  colt_table_destroy (wire->links);
  g_hash_table_unref (wire->peers);
  g_free (wire);
}

void
colt_wire_set_handler (struct ColtWire *wire,
                       uint32_t kind,
                       ColtWireHandler handler,
                       void *client)
{
  assert (kind < COLT_WIRE_KIND_MAX && wire->receivers[kind].handler == NULL);
  wire->receivers[kind].handler = handler;
  wire->receivers[kind].client = client;
}

bool
colt_wire_listen (struct ColtWire *wire,
                  const char *address,
                  struct ColtError *error)
{
  struct sockaddr_in bind_to;

  if (!parse_address_ (address, &bind_to))
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_LISTEN, address,
                           "not ADDRESS:PORT");
  wire->listener = evconnlistener_new_bind (
      wire->base, on_accept_, wire, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1, (const struct sockaddr *)&bind_to, sizeof bind_to);
  if (wire->listener == NULL)
    return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_LISTEN, address,
                           "can't listen: %s", strerror (errno));
  return true;
}

void
colt_wire_set_peer (struct ColtWire *wire,
                    uint32_t instance,
                    const char *address)
{
  struct ColtWirePeer *peer
      = g_hash_table_lookup (wire->peers, GUINT_TO_POINTER (instance));
  struct sockaddr_in parsed;

  if (!parse_address_ (address, &parsed))
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "invalid address \"%s\" of instance %u; ignoring it", address,
                instance);
      return;
    }
  if (peer == NULL)
    {
      peer = g_new0 (struct ColtWirePeer, 1);
      peer->instance = instance;
      peer->failed_us = -REDIAL_DELAY_US;
      g_hash_table_insert (wire->peers, GUINT_TO_POINTER (instance), peer);
    }
  if (strcmp (peer->address_text, address) == 0)
    return;
  peer->address = parsed;
  g_strlcpy (peer->address_text, address, sizeof peer->address_text);
  close_link_ (colt_table_get (wire->links, peer->link), COLT_WIRE_BROKEN);
}

void
colt_wire_remove_peer (struct ColtWire *wire, uint32_t instance)
{
  struct ColtWirePeer *peer
      = g_hash_table_lookup (wire->peers, GUINT_TO_POINTER (instance));

  if (peer == NULL)
    return;
  close_link_ (colt_table_get (wire->links, peer->link), COLT_WIRE_BROKEN);
  g_hash_table_remove (wire->peers, GUINT_TO_POINTER (instance));
}

void
colt_wire_call (struct ColtWire *wire,
                uint32_t instance,
                uint32_t kind,
                const uint8_t *body,
                size_t size,
                uint32_t timeout_ms,
                ColtWireCallDone done,
                void *client)
{
  struct ColtWireCall *call = add_call_ (wire, timeout_ms, done, client);
  struct ColtWireLink *link = get_link_ (wire, instance);
  struct ColtFrameView frame = { kind, call->handle, false, body, size };

  assert (kind < COLT_WIRE_KIND_MAX);
  if (size <= COLT_WIRE_BODY_MAX && link != NULL
      && colt_connection_send (link->connection, &frame))
    call->link = link->handle;
  else /* end the call as not sent, once this function has returned */
    event_active (call->timer, EV_TIMEOUT, 0);
}

void
colt_wire_send (struct ColtWire *wire,
                uint32_t instance,
                uint32_t kind,
                const uint8_t *body,
                size_t size)
{
  struct ColtWireLink *link = get_link_ (wire, instance);
  struct ColtFrameView frame = { kind, 0, false, body, size };

  if (link != NULL && size <= COLT_WIRE_BODY_MAX)
    colt_connection_send (link->connection, &frame);
}

void
colt_wire_reply (struct ColtWire *wire,
                 const struct ColtWireOrigin *origin,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtWireLink *link = colt_table_get (wire->links, origin->connection);
  struct ColtFrameView frame = { 0, origin->call, true, body, size };

  if (link != NULL && origin->call != 0 && size <= COLT_WIRE_BODY_MAX)
    colt_connection_send (link->connection, &frame);
}

void
colt_wire_get_stats (const struct ColtWire *wire, struct ColtWireStats *stats)
{
  *stats = wire->stats;
  stats->open_calls = (uint32_t)colt_table_count (wire->calls);
}

static struct ColtWireLink *
add_link_ (struct ColtWire *wire, uint32_t instance, bool dialled)
{
  uint64_t handle = colt_table_add (wire->links);
  struct ColtWireLink *link = colt_table_get (wire->links, handle);

  link->wire = wire;
  link->handle = handle;
  link->instance = instance;
  link->dialled = dialled;
  return link;
}

/* Unsets the peer's link, so that the next call to it opens a new one. */
static void
unset_peer_link_ (struct ColtWire *wire, const struct ColtWireLink *link)
{
  struct ColtWirePeer *peer
      = g_hash_table_lookup (wire->peers, GUINT_TO_POINTER (link->instance));

  if (peer != NULL && peer->link == link->handle)
    peer->link = COLT_HANDLE_NONE;
}

/* Closes a link and ends its calls, with established_result if it was
 * established; NULL is allowed. */
static void
close_link_ (struct ColtWireLink *link, enum ColtWireResult established_result)
{
  struct ColtWire *wire;
  enum ColtWireResult result;
  uint64_t handle;

  if (link == NULL)
    return;
  wire = link->wire;
  handle = link->handle;
  result = colt_connection_is_established (link->connection)
               ? established_result
               : COLT_WIRE_NOT_SENT;
  unset_peer_link_ (wire, link);
  colt_connection_destroy (link->connection);
  colt_table_remove (wire->links, handle);
  end_link_calls_ (wire, handle, result);
}

static struct ColtWireLink *
dial_peer_ (struct ColtWire *wire, struct ColtWirePeer *peer)
{
  struct ColtWireLink *link = add_link_ (wire, peer->instance, true);

  link->connection = colt_connection_dial (wire->base, &peer->address,
                                           &link_callbacks, link);
  colt_connection_set_stats (link->connection, &wire->stats);
  colt_connection_send_hello (link->connection, wire->instance,
                              wire->incarnation);
  peer->link = link->handle;
  return link;
}

/* Returns the link dialled to an instance; dials one if there is none. Returns
 * NULL if the instance is unknown, or if a link dialled to it failed less than
 * REDIAL_DELAY_US ago. */
static struct ColtWireLink *
get_link_ (struct ColtWire *wire, uint32_t instance)
{
  struct ColtWirePeer *peer
      = g_hash_table_lookup (wire->peers, GUINT_TO_POINTER (instance));
  struct ColtWireLink *link;

  if (peer == NULL)
    return NULL;
  link = colt_table_get (wire->links, peer->link);
  if (link != NULL)
    return link;
  if (colt_clock_monotonic_us () - peer->failed_us < REDIAL_DELAY_US)
    return NULL;
  return dial_peer_ (wire, peer);
}

static struct ColtWireCall *
add_call_ (struct ColtWire *wire,
           uint32_t timeout_ms,
           ColtWireCallDone done,
           void *client)
{
  uint64_t handle = colt_table_add (wire->calls);
  struct ColtWireCall *call = colt_table_get (wire->calls, handle);
  struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };

  assert (timeout_ms > 0 && done != NULL);
  call->wire = wire;
  call->handle = handle;
  call->sent_us = colt_clock_monotonic_us ();
  call->done = done;
  call->client = client;
  call->timer = evtimer_new (wire->base, on_call_timer_, call);
  /* Otherwise the timeout would begin with the turn of the loop. */
  event_base_update_cache_time (wire->base);
  evtimer_add (call->timer, &timeout);
  return call;
}

static void
end_call_ (struct ColtWireCall *call,
           enum ColtWireResult result,
           const uint8_t *body,
           size_t size)
{
  ColtWireCallDone done = call->done;
  void *client = call->client;

  event_free (call->timer);
  colt_table_remove (call->wire->calls, call->handle);
  done (client, result, body, size);
}

static void
end_link_calls_ (struct ColtWire *wire,
                 uint64_t link,
                 enum ColtWireResult result)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t handle = COLT_HANDLE_NONE;
  guint i;

  while ((handle = colt_table_next (wire->calls, handle)) != COLT_HANDLE_NONE)
    {
      const struct ColtWireCall *call = colt_table_get (wire->calls, handle);

      if (call->link == link)
        g_array_append_val (handles, handle);
    }
  for (i = 0; i < handles->len; i++)
    {
      struct ColtWireCall *call
          = colt_table_get (wire->calls, g_array_index (handles, uint64_t, i));

      if (call != NULL)
        end_call_ (call, result, NULL, 0);
    }
  g_array_unref (handles);
}

static void
on_accept_ (struct evconnlistener *listener,
            evutil_socket_t socket,
            struct sockaddr *address,
            int size,
            void *arg)
{
  struct ColtWire *wire = arg;
  struct ColtWireLink *link = add_link_ (wire, 0, false);

  (void)listener;
  (void)address;
  (void)size;
  link->connection
      = colt_connection_accept (wire->base, socket, &link_callbacks, link);
  colt_connection_set_stats (link->connection, &wire->stats);
  colt_connection_send_hello (link->connection, wire->instance,
                              wire->incarnation);
}

/* Ends a call that timed out or wasn't sent. A link that isn't established, or
 * that received nothing since the call was sent, is closed as dead. */
static void
on_call_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtWireCall *call = arg;
  struct ColtWire *wire = call->wire;
  uint64_t handle = call->link;
  struct ColtWireLink *link = colt_table_get (wire->links, handle);
  enum ColtWireResult result = COLT_WIRE_TIMED_OUT;
  bool unresponsive;

  (void)fd;
  (void)what;
  if (link == NULL || !colt_connection_is_established (link->connection))
    result = COLT_WIRE_NOT_SENT;
  unresponsive = link != NULL
                 && (result == COLT_WIRE_NOT_SENT
                     || colt_connection_last_received_us (link->connection)
                            < call->sent_us);
  if (unresponsive)
    unset_peer_link_ (wire, link);
  end_call_ (call, result, NULL, 0);
  if (unresponsive)
    close_link_ (colt_table_get (wire->links, handle), COLT_WIRE_TIMED_OUT);
}

static bool
on_hello_ (void *client, uint32_t instance, uint64_t incarnation)
{
  struct ColtWireLink *link = client;

  (void)incarnation;
  if (link->dialled)
    return instance == link->instance;
  link->instance = instance;
  return true;
}

static void
on_frame_ (void *client, const struct ColtFrameView *frame)
{
  struct ColtWireLink *link = client;
  struct ColtWire *wire = link->wire;
  struct ColtWireOrigin origin = { link->instance, link->handle, frame->call };
  struct ColtWireCall *call;

  if (!frame->reply)
    {
      wire->received[frame->kind]++;
      if (wire->receivers[frame->kind].handler != NULL)
        wire->receivers[frame->kind].handler (
            wire->receivers[frame->kind].client, &origin, frame->body,
            frame->size);
      return;
    }
  call = colt_table_get (wire->calls, frame->call);
  if (call != NULL && call->link == link->handle)
    end_call_ (call, COLT_WIRE_REPLIED, frame->body, frame->size);
}

static void
on_closed_ (void *client, bool bad_frame)
{
  struct ColtWireLink *link = client;
  struct ColtWire *wire = link->wire;
  struct ColtWirePeer *peer
      = g_hash_table_lookup (wire->peers, GUINT_TO_POINTER (link->instance));

  if (bad_frame)
    {
      wire->stats.bad_frames++;
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "invalid frame from instance %u; closing the connection",
                link->instance);
    }
  if (link->dialled && peer != NULL)
    peer->failed_us = colt_clock_monotonic_us ();
  close_link_ (link, COLT_WIRE_BROKEN);
}

static void
free_peer_ (gpointer data)
{
  g_free (data);
}

static bool
parse_address_ (const char *text, struct sockaddr_in *address)
{
  struct ColtAddress parsed;

  if (colt_address_parse_local (text, &parsed) != COLT_ADDRESS_VALID)
    return false;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons (parsed.port);
  return inet_pton (AF_INET, parsed.host, &address->sin_addr) == 1;
}
