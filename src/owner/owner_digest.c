#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

struct ColtDigestBuild
{
  GPtrArray *servers; /* of struct ColtDigestServerBuffer, owned */
  int64_t now_us;
  bool full;
};

/* Entry of a server in a digest, with the messages that it points to. */
struct ColtDigestServerBuffer
{
  ColtDigestServer message;
  struct ColtResourcesBuffer capacity;
  struct ColtResourcesBuffer free;
};

static gboolean add_server_ (gpointer key, gpointer value, gpointer data);
static void broadcast_ (struct ColtOwner *owner, const ColtDigestWord *message);

void
colt_owner_send_digest (struct ColtOwner *owner, int64_t now_us, bool full)
{
  struct ColtDigestBuild build
      = { g_ptr_array_new_with_free_func (g_free), now_us, full };
  ColtDigestWord message = COLT_DIGEST_WORD__INIT;

  g_tree_foreach (owner->servers, add_server_, &build);
  message.servers = (ColtDigestServer **)build.servers->pdata;
  message.n_servers = build.servers->len;
  message.gone = (uint32_t *)owner->lost_servers->data;
  message.n_gone = owner->lost_servers->len;
  if (message.n_servers > 0 || message.n_gone > 0)
    broadcast_ (owner, &message);
  g_array_set_size (owner->lost_servers, 0);
  g_ptr_array_unref (build.servers);
}

static gboolean
add_server_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtOwnedServer *server = value;
  struct ColtDigestBuild *build = data;
  struct ColtDigestServerBuffer *buffer;
  struct ColtResources free;

  (void)key;
  if (colt_server_lease_state (server->lease) != COLT_LEASE_HELD)
    return FALSE;
  if (!build->full && !server->digest_due)
    return FALSE;
  server->digest_due = false;
  buffer = g_new0 (struct ColtDigestServerBuffer, 1);
  free = colt_owned_server_available (server);
  colt_digest_server__init (&buffer->message);
  colt_resources_fill (&buffer->capacity, &server->capacity);
  colt_resources_fill (&buffer->free, &free);
  buffer->message.server = server->id;
  buffer->message.epoch = colt_server_lease_epoch (server->lease);
  buffer->message.rack = server->rack;
  buffer->message.capacity = &buffer->capacity.msg;
  buffer->message.free = &buffer->free.msg;
  buffer->message.leaving
      = !colt_owned_server_accepts_work (server, build->now_us);
  buffer->message.probation_permille
      = colt_owned_server_probation_permille (server, build->now_us);
  buffer->message.known_since_s = server->known_since_s;
  buffer->message.speed_permille = server->speed_permille;
  g_ptr_array_add (build->servers, buffer);
  return FALSE;
}

static void
broadcast_ (struct ColtOwner *owner, const ColtDigestWord *message)
{
  uint8_t *body;
  size_t size;
  size_t i;

  body = colt_message_pack (&message->base, &size);
  for (i = 0; i < owner->member_count; i++)
    colt_wire_send (owner->parts.wire, owner->members[i],
                    COLT_WIRE_PLACE_DIGEST, body, size);
  free (body);
}
