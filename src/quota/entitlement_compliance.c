#include <assert.h>
#include <string.h>

#include "entitlement_private.h"

static uint64_t offset_in_ (const struct ColtCompliance *compliance,
                            const char *team);
static bool merge_known_ (struct ColtEntitlements *entitlements,
                          const struct ColtCompliance *compliance,
                          uint64_t base);
static void merge_listed_ (struct ColtEntitlements *entitlements,
                           const struct ColtCompliance *compliance,
                           uint64_t before,
                           uint64_t base);
static void set_exception_ (struct ColtEntitlements *entitlements,
                            uint32_t zone,
                            const char *team,
                            uint64_t offset);
static void list_entry_ (const struct ColtEntitlements *entitlements,
                         uint32_t zone,
                         uint32_t shard,
                         struct ColtCompliance *entry);

bool
colt_entitlements_comply (struct ColtEntitlements *entitlements,
                          const struct ColtCompliance *compliance)
{
  uint32_t zone = compliance->zone;
  uint32_t shard = compliance->shard;
  uint64_t before;
  uint64_t base;
  bool news;

  assert (zone >= 1 && zone <= COLT_ZONE_MAX && shard < COLT_SHARD_COUNT);
  before = entitlements->complied[zone][shard];
  base = MAX (before, compliance->offset);
  news = base > before;
  if (merge_known_ (entitlements, compliance, base))
    news = true;
  merge_listed_ (entitlements, compliance, before, base);
  entitlements->complied[zone][shard] = base;
  if (news)
    entitlements->learned[zone][shard] = ++entitlements->version;
  return news;
}

uint64_t
colt_entitlements_complied (const struct ColtEntitlements *entitlements,
                            uint32_t zone,
                            const char *team)
{
  const uint64_t *exception;

  assert (zone <= COLT_ZONE_MAX);
  exception = g_hash_table_lookup (entitlements->exceptions[zone], team);
  if (exception != NULL)
    return *exception;
  return entitlements->complied[zone][colt_team_shard (team)];
}

uint64_t
colt_entitlements_complied_shard (const struct ColtEntitlements *entitlements,
                                  uint32_t zone,
                                  uint32_t shard)
{
  assert (zone <= COLT_ZONE_MAX && shard < COLT_SHARD_COUNT);
  return entitlements->complied[zone][shard];
}

uint64_t
colt_entitlements_compliance_version (
    const struct ColtEntitlements *entitlements)
{
  return entitlements->version;
}

struct ColtComplianceVector *
colt_entitlements_compliance (const struct ColtEntitlements *entitlements,
                              uint64_t since)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct ColtCompliance));
  struct ColtComplianceVector *vector;
  uint32_t zone;
  uint32_t shard;

  for (zone = 1; zone < ZONE_SLOTS && since < entitlements->version; zone++)
    for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
      if (entitlements->learned[zone][shard] > since)
        {
          struct ColtCompliance entry;

          list_entry_ (entitlements, zone, shard, &entry);
          g_array_append_val (entries, entry);
        }
  vector = colt_compliance_vector_create (0);
  g_free (vector->entries);
  vector->entry_count = entries->len;
  vector->entries
      = (struct ColtCompliance *)(void *)g_array_free (entries, FALSE);
  return vector;
}

uint64_t
colt_entitlement_lowest_ (const struct ColtEntitlements *entitlements,
                          const struct ColtEntitlementTeam *team)
{
  uint64_t lowest = UINT64_MAX;
  uint32_t zone;

  for (zone = 1; zone < ZONE_SLOTS; zone++)
    {
      const struct ColtEntitlementZone *entry = &entitlements->zones[zone];
      uint64_t offset;

      if (!entry->present && entry->removed == 0)
        continue;
      offset = colt_entitlements_complied (entitlements, zone, team->name);
      if (!entry->present && offset >= entry->removed)
        continue;
      lowest = MIN (lowest, offset);
    }
  return lowest;
}

static uint64_t
offset_in_ (const struct ColtCompliance *compliance, const char *team)
{
  size_t i;

  for (i = 0; i < compliance->exception_count; i++)
    if (strcmp (compliance->exceptions[i].team, team) == 0)
      return compliance->exceptions[i].offset;
  return compliance->offset;
}

/* Raises the exceptions known so far; drops those that reach the base. */
static bool
merge_known_ (struct ColtEntitlements *entitlements,
              const struct ColtCompliance *compliance,
              uint64_t base)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  bool news = false;

  g_hash_table_iter_init (&iter, entitlements->exceptions[compliance->zone]);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      uint64_t *offset = value;
      uint64_t stated;

      if (colt_team_shard (key) != compliance->shard)
        continue;
      stated = offset_in_ (compliance, key);
      if (stated > *offset)
        {
          *offset = stated;
          news = true;
        }
      if (*offset >= base)
        g_hash_table_iter_remove (&iter);
    }
  return news;
}

/* Adds the exceptions that are listed and are below the new base. */
static void
merge_listed_ (struct ColtEntitlements *entitlements,
               const struct ColtCompliance *compliance,
               uint64_t before,
               uint64_t base)
{
  uint32_t zone = compliance->zone;
  size_t i;

  for (i = 0; i < compliance->exception_count; i++)
    {
      const struct ColtComplianceException *exception
          = &compliance->exceptions[i];
      uint64_t offset = MAX (before, exception->offset);

      if (offset >= base
          || g_hash_table_contains (entitlements->exceptions[zone],
                                    exception->team))
        continue;
      set_exception_ (entitlements, zone, exception->team, offset);
    }
}

static void
set_exception_ (struct ColtEntitlements *entitlements,
                uint32_t zone,
                const char *team,
                uint64_t offset)
{
  uint64_t *value = g_new (uint64_t, 1);

  *value = offset;
  g_hash_table_replace (entitlements->exceptions[zone], g_strdup (team), value);
}

static void
list_entry_ (const struct ColtEntitlements *entitlements,
             uint32_t zone,
             uint32_t shard,
             struct ColtCompliance *entry)
{
  GHashTable *exceptions = entitlements->exceptions[zone];
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  entry->zone = zone;
  entry->shard = shard;
  entry->offset = entitlements->complied[zone][shard];
  entry->exceptions = NULL;
  entry->exception_count = 0;
  g_hash_table_iter_init (&iter, exceptions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtComplianceException *exception;

      if (colt_team_shard (key) != shard)
        continue;
      if (entry->exceptions == NULL)
        entry->exceptions = g_new0 (struct ColtComplianceException,
                                    g_hash_table_size (exceptions));
      exception = &entry->exceptions[entry->exception_count++];
      g_strlcpy (exception->team, key, sizeof exception->team);
      exception->offset = *(const uint64_t *)value;
    }
}
