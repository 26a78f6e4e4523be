#include "list_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/address.h"
#include "coltsfootstile/id.h"

const char *const colt_list_state_string[] = { "live", "leaving" };

static bool decode_entries_ (const struct ColtJsonContext *context,
                             const json_t *root,
                             struct ColtListStorage *storage);
static bool decode_servers_ (const struct ColtJsonContext *context,
                             const json_t *root,
                             struct ColtListStorage *storage);
static bool decode_zone_ (const struct ColtJsonContext *context,
                          const json_t *object,
                          uint32_t *zone);
static bool decode_address_ (const struct ColtJsonContext *context,
                             const json_t *object,
                             char address[COLT_ADDRESS_SIZE]);
static bool decode_state_ (const struct ColtJsonContext *context,
                           const json_t *object,
                           enum ColtListState *state);
static bool check_unique_ids_ (const struct ColtJsonContext *context,
                               const struct ColtInstanceList *list);
static int compare_entries_ (const void *a, const void *b);
static int compare_servers_ (const void *a, const void *b);
static bool entries_equal_ (const struct ColtListEntry *a,
                            const struct ColtListEntry *b);
static bool servers_equal_ (const struct ColtListServer *a,
                            const struct ColtListServer *b);

struct ColtListStorage *
colt_list_json_decode (const struct ColtJsonContext *context,
                       const char *text,
                       size_t size)
{
  json_t *root = colt_json_parse (context, text, size);
  struct ColtListStorage *storage;
  bool valid;

  if (root == NULL)
    return NULL;
  storage = g_new0 (struct ColtListStorage, 1);
  valid = colt_json_get_u64 (context, root, "version", &storage->list.version)
          && decode_entries_ (context, root, storage)
          && decode_servers_ (context, root, storage)
          && check_unique_ids_ (context, &storage->list);
  json_decref (root);
  if (valid)
    return storage;
  colt_list_free (storage);
  return NULL;
}

struct ColtListStorage *
colt_list_copy (const struct ColtInstanceList *list)
{
  struct ColtListStorage *storage = g_new0 (struct ColtListStorage, 1);

  storage->list = *list;
  storage->entries
      = g_memdup2 (list->entries, list->entry_count * sizeof *list->entries);
  storage->servers
      = g_memdup2 (list->servers, list->server_count * sizeof *list->servers);
  storage->list.entries = storage->entries;
  storage->list.servers = storage->servers;
  return storage;
}

void
colt_list_free (struct ColtListStorage *storage)
{
  if (storage == NULL)
    return;
  g_free (storage->entries);
  g_free (storage->servers);
  g_free (storage);
}

bool
colt_list_equal (const struct ColtInstanceList *a,
                 const struct ColtInstanceList *b)
{
  size_t i;

  if (a->entry_count != b->entry_count || a->server_count != b->server_count)
    return false;
  for (i = 0; i < a->entry_count; i++)
    if (!entries_equal_ (&a->entries[i], &b->entries[i]))
      return false;
  for (i = 0; i < a->server_count; i++)
    if (!servers_equal_ (&a->servers[i], &b->servers[i]))
      return false;
  return true;
}

static bool
decode_entries_ (const struct ColtJsonContext *context,
                 const json_t *root,
                 struct ColtListStorage *storage)
{
  const json_t *array;
  size_t count;
  size_t i;

  if (!colt_json_get_array (context, root, "entries", &array))
    return false;
  count = json_array_size (array);
  storage->entries = g_new0 (struct ColtListEntry, count);
  for (i = 0; i < count; i++)
    {
      const json_t *object = json_array_get (array, i);
      struct ColtListEntry *entry = &storage->entries[i];

      if (!colt_json_get_u32 (context, object, "id", 1, &entry->id)
          || !decode_zone_ (context, object, &entry->zone)
          || !decode_address_ (context, object, entry->address)
          || !decode_state_ (context, object, &entry->state))
        return false;
    }
  if (count > 0)
    qsort (storage->entries, count, sizeof *storage->entries, compare_entries_);
  storage->list.entries = storage->entries;
  storage->list.entry_count = count;
  return true;
}

static bool
decode_servers_ (const struct ColtJsonContext *context,
                 const json_t *root,
                 struct ColtListStorage *storage)
{
  const json_t *array;
  size_t count;
  size_t i;

  if (!colt_json_get_array (context, root, "servers", &array))
    return false;
  count = json_array_size (array);
  storage->servers = g_new0 (struct ColtListServer, count);
  for (i = 0; i < count; i++)
    {
      const json_t *object = json_array_get (array, i);
      struct ColtListServer *server = &storage->servers[i];

      if (!colt_json_get_u32 (context, object, "id", 1, &server->id)
          || !decode_zone_ (context, object, &server->zone)
          || !colt_json_get_u32 (context, object, "rack", 0, &server->rack)
          || !decode_address_ (context, object, server->address)
          || !decode_state_ (context, object, &server->state))
        return false;
    }
  if (count > 0)
    qsort (storage->servers, count, sizeof *storage->servers, compare_servers_);
  storage->list.servers = storage->servers;
  storage->list.server_count = count;
  return true;
}

static bool
decode_zone_ (const struct ColtJsonContext *context,
              const json_t *object,
              uint32_t *zone)
{
  int64_t number;

  if (!colt_json_get_integer (context, object, "zone", 1, COLT_ZONE_MAX,
                              &number))
    return false;
  *zone = (uint32_t)number;
  return true;
}

static bool
decode_address_ (const struct ColtJsonContext *context,
                 const json_t *object,
                 char address[COLT_ADDRESS_SIZE])
{
  struct ColtAddress parsed;

  if (!colt_json_copy_string (context, object, "address", address,
                              COLT_ADDRESS_SIZE))
    return false;
  if (colt_address_parse (address, &parsed) == COLT_ADDRESS_VALID)
    return true;
  return colt_error_set (context->error, COLT_ERROR_INVALID, COLT_STEP_DECODE,
                         context->peer, "\"%s\" is not IP:PORT", address);
}

static bool
decode_state_ (const struct ColtJsonContext *context,
               const json_t *object,
               enum ColtListState *state)
{
  int index;

  if (!colt_json_get_enum (context, object, "state", colt_list_state_string,
                           COLT_LIST_LEAVING + 1, &index))
    return false;
  *state = (enum ColtListState)index;
  return true;
}

static bool
check_unique_ids_ (const struct ColtJsonContext *context,
                   const struct ColtInstanceList *list)
{
  size_t i;

  for (i = 1; i < list->entry_count; i++)
    if (list->entries[i].id == list->entries[i - 1].id)
      return colt_error_set (context->error, COLT_ERROR_INVALID,
                             COLT_STEP_DECODE, context->peer,
                             "entry id %u appears twice", list->entries[i].id);
  for (i = 1; i < list->server_count; i++)
    if (list->servers[i].id == list->servers[i - 1].id)
      return colt_error_set (context->error, COLT_ERROR_INVALID,
                             COLT_STEP_DECODE, context->peer,
                             "server id %u appears twice", list->servers[i].id);
  return true;
}

static int
compare_entries_ (const void *a, const void *b)
{
  uint32_t left = ((const struct ColtListEntry *)a)->id;
  uint32_t right = ((const struct ColtListEntry *)b)->id;

  return (left > right) - (left < right);
}

static int
compare_servers_ (const void *a, const void *b)
{
  uint32_t left = ((const struct ColtListServer *)a)->id;
  uint32_t right = ((const struct ColtListServer *)b)->id;

  return (left > right) - (left < right);
}

static bool
entries_equal_ (const struct ColtListEntry *a, const struct ColtListEntry *b)
{
  return a->id == b->id && a->zone == b->zone && a->state == b->state
         && strcmp (a->address, b->address) == 0;
}

static bool
servers_equal_ (const struct ColtListServer *a, const struct ColtListServer *b)
{
  return a->id == b->id && a->zone == b->zone && a->rack == b->rack
         && a->state == b->state && strcmp (a->address, b->address) == 0;
}
