#include "coltsfootstile/bundle_dump.h"

#include "chain_internal.h"

static void dump_bundle_ (const struct ColtBundle *bundle, json_t *object);
static json_t *dump_history_ (const struct ColtChain *chain);
static void dump_key_ (void *client,
                       const struct ColtHash *hash,
                       const char *name,
                       const char *team,
                       enum ColtKeyState state);
static json_t *dump_hash_ (const struct ColtHash *hash);

json_t *
colt_chain_dump (const struct ColtChain *chain)
{
  json_t *object = json_object ();
  json_t *keys = json_array ();
  json_int_t snapshot = chain->snapshot_offset == UINT64_MAX
                            ? -1
                            : (json_int_t)chain->snapshot_offset;

  dump_bundle_ (chain->bundle, object);
  json_object_set_new (
      object, "offset",
      json_integer ((json_int_t)chain->bundle_position.offset));
  json_object_set_new (object, "index",
                       json_integer (chain->bundle_position.index));
  json_object_set_new (object, "next_offset",
                       json_integer ((json_int_t)chain->next_offset));
  json_object_set_new (object, "needs_snapshot",
                       json_boolean (chain->needs_snapshot));
  json_object_set_new (object, "snapshot_offset", json_integer (snapshot));
  json_object_set_new (object, "generation",
                       json_integer ((json_int_t)chain->generation));
  json_object_set_new (object, "history", dump_history_ (chain));
  json_object_set_new (
      object, "live_keys",
      json_integer ((json_int_t)colt_keyring_live_count (chain->keyring)));
  json_object_set_new (
      object, "withdrawn_keys",
      json_integer ((json_int_t)colt_keyring_withdrawn_count (chain->keyring)));
  colt_keyring_visit (chain->keyring, dump_key_, keys);
  json_object_set_new (object, "keys", keys);
  return object;
}

static void
dump_bundle_ (const struct ColtBundle *bundle, json_t *object)
{
  json_t *operators = json_array ();
  char hex[COLT_HASH_TEXT_SIZE];
  size_t i;

  if (bundle == NULL)
    json_object_set_new (object, "version", json_integer (0));
  else
    {
      json_object_set_new (object, "version",
                           json_integer (colt_bundle_version (bundle)));
      json_object_set_new (object, "hash",
                           dump_hash_ (colt_bundle_hash (bundle)));
      json_object_set_new (object, "parent",
                           dump_hash_ (colt_bundle_parent (bundle)));
      json_object_set_new (object, "teams",
                           json_integer (colt_bundle_team_count (bundle)));
      json_object_set_new (object, "queues",
                           json_integer (colt_bundle_queue_count (bundle)));
      for (i = 0; i < colt_bundle_operator_count (bundle); i++)
        json_array_append_new (operators,
                               json_string (colt_operator_key_format (
                                   colt_bundle_operator (bundle, i), hex)));
    }
  json_object_set_new (object, "operators", operators);
}

static json_t *
dump_history_ (const struct ColtChain *chain)
{
  json_t *history = json_array ();
  guint i;

  for (i = 0; i < chain->history->len; i++)
    {
      const struct ColtChainVersion *item
          = &g_array_index (chain->history, struct ColtChainVersion, i);
      json_t *entry = json_object ();

      json_object_set_new (entry, "version", json_integer (item->version));
      json_object_set_new (entry, "hash", dump_hash_ (&item->hash));
      json_array_append_new (history, entry);
    }
  return history;
}

static void
dump_key_ (void *client,
           const struct ColtHash *hash,
           const char *name,
           const char *team,
           enum ColtKeyState state)
{
  json_t *entry = json_object ();

  json_object_set_new (entry, "hash", dump_hash_ (hash));
  json_object_set_new (entry, "name", json_string (name));
  json_object_set_new (entry, "team", json_string (team));
  json_object_set_new (entry, "state",
                       json_string (colt_key_state_string[state]));
  json_array_append_new (client, entry);
}

static json_t *
dump_hash_ (const struct ColtHash *hash)
{
  char hex[COLT_HASH_TEXT_SIZE];

  return json_string (colt_hash_format (hash, hex));
}
