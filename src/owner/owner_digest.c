#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "owner_private.h"

struct ColtDigestBuild
{
  GPtrArray *servers; /* of ColtDigestServer, owned */
  int64_t now_us;
  bool whole;
};

/* A digest's server with room for what it points at. */
struct ColtDigestServerBuffer
{
  ColtDigestServer word;
  struct ColtResourcesBuffer capacity;
  struct ColtResourcesBuffer free;
};

static gboolean add_server_ (gpointer key, gpointer value, gpointer data);
static void broadcast_ (struct ColtOwner *owner, const ColtDigestWord *word);

void
colt_owner_send_digest (struct ColtOwner *owner, int64_t now_us, bool whole)
{
  struct ColtDigestBuild build
      = { g_ptr_array_new_with_free_func (g_free), now_us, whole };
  ColtDigestWord word = COLT_DIGEST_WORD__INIT;

  g_tree_foreach (owner->servers, add_server_, &build);
  word.servers = (ColtDigestServer **)build.servers->pdata;
  word.n_servers = build.servers->len;
  word.gone = (uint32_t *)owner->gone->data;
  word.n_gone = owner->gone->len;
  if (word.n_servers > 0 || word.n_gone > 0)
    broadcast_ (owner, &word);
  g_array_set_size (owner->gone, 0);
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
  if (!build->whole && !server->digest_due)
    return FALSE;
  server->digest_due = false;
  buffer = g_new0 (struct ColtDigestServerBuffer, 1);
  free = colt_owned_server_free (server);
  colt_digest_server__init (&buffer->word);
  colt_resources_fill (&buffer->capacity, &server->capacity);
  colt_resources_fill (&buffer->free, &free);
  buffer->word.server = server->id;
  buffer->word.epoch = colt_server_lease_epoch (server->lease);
  buffer->word.rack = server->rack;
  buffer->word.capacity = &buffer->capacity.word;
  buffer->word.free = &buffer->free.word;
  buffer->word.leaving = !colt_owned_server_takes_work (server, build->now_us);
  buffer->word.probation_permille
      = colt_owned_server_probation (server, build->now_us);
  buffer->word.known_since_s = server->known_since_s;
  buffer->word.speed_permille = server->speed_permille;
  g_ptr_array_add (build->servers, buffer);
  return FALSE;
}

static void
broadcast_ (struct ColtOwner *owner, const ColtDigestWord *word)
{
  uint8_t *body;
  size_t size;
  size_t i;

  body = colt_message_pack (&word->base, &size);
  for (i = 0; i < owner->member_count; i++)
    colt_wire_send (owner->parts.wire, owner->members[i],
                    COLT_WIRE_PLACE_DIGEST, body, size);
  free (body);
}
