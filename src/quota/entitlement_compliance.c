#include <assert.h>
#include <string.h>

#include "entitlement_private.h"

static const struct ColtComplianceException *
find_exception_ (const struct ColtCompliance *compliance, const char *team);
static bool update_exceptions_ (struct ColtEntitlements *entitlements,
                                const struct ColtCompliance *compliance,
                                uint64_t before,
                                uint64_t base);
static void add_exceptions_ (struct ColtEntitlements *entitlements,
                             const struct ColtCompliance *compliance,
                             uint64_t before,
                             uint64_t base);
static bool zone_counts_ (const struct ColtEntitlements *entitlements,
                          uint32_t zone,
                          const struct ColtEntitlementTeam *team);
static void fill_entry_ (const struct ColtEntitlements *entitlements,
                         uint32_t zone,
                         uint32_t shard,
                         struct ColtCompliance *entry);

bool
colt_entitlements_merge_compliance (struct ColtEntitlements *entitlements,
                                    const struct ColtCompliance *compliance)
{
  uint32_t zone = compliance->zone;
  uint32_t shard = compliance->shard;
  uint64_t before;
  uint64_t base;
  bool changed;

  assert (zone >= 1 && zone <= COLT_ZONE_MAX && shard < COLT_SHARD_COUNT);
  before = entitlements->complied[zone][shard];
  base = MAX (before, compliance->offset);
  changed = base > before;
  if (update_exceptions_ (entitlements, compliance, before, base))
    changed = true;
  add_exceptions_ (entitlements, compliance, before, base);
  entitlements->complied[zone][shard] = base;
  if (changed)
    entitlements->compliance_versions[zone][shard] = ++entitlements->version;
  return changed;
}

uint64_t
colt_entitlements_complied_offset (const struct ColtEntitlements *entitlements,
                                   uint32_t zone,
                                   const char *team)
{
  const struct ColtComplianceException *exception;

  assert (zone <= COLT_ZONE_MAX);
  exception = g_hash_table_lookup (entitlements->exceptions[zone], team);
  if (exception != NULL)
    return exception->offset;
  return entitlements->complied[zone][colt_team_shard (team)];
}

uint64_t
colt_entitlements_shard_complied_offset (
    const struct ColtEntitlements *entitlements,
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

uint64_t
colt_entitlement_shard_version_ (const struct ColtEntitlements *entitlements,
                                 uint32_t shard)
{
  uint64_t version = 0;
  uint32_t zone;

  for (zone = 1; zone < ZONE_SLOTS; zone++)
    version = MAX (version, entitlements->compliance_versions[zone][shard]);
  return version;
}

struct ColtComplianceVector *
colt_entitlements_list_compliance (const struct ColtEntitlements *entitlements,
                                   uint64_t since)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct ColtCompliance));
  struct ColtComplianceVector *vector;
  uint32_t zone;
  uint32_t shard;

  for (zone = 1; zone < ZONE_SLOTS && since < entitlements->version; zone++)
    for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
      if (entitlements->compliance_versions[zone][shard] > since)
        {
          struct ColtCompliance entry;

          fill_entry_ (entitlements, zone, shard, &entry);
          g_array_append_val (entries, entry);
        }
  vector = colt_compliance_vector_create (0);
  g_free (vector->entries);
  vector->entry_count = entries->len;
  vector->entries
      = (struct ColtCompliance *)(void *)g_array_free (entries, FALSE);
  return vector;
}

/* No zone computes credits at offsets below the lowest shard-wide compliance,
 * except a zone for which the team is an exception. */
void
colt_entitlement_get_window_ (const struct ColtEntitlements *entitlements,
                              const struct ColtEntitlementTeam *team,
                              struct ColtEntitlementWindow *window)
{
  uint64_t lowest_base = UINT64_MAX;
  uint32_t zone;

  window->count = 0;
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    {
      const struct ColtComplianceException *exception
          = g_hash_table_lookup (entitlements->exceptions[zone], team->name);
      struct ColtEntitlementSpan span;

      if (!zone_counts_ (entitlements, zone, team))
        continue;
      lowest_base
          = MIN (lowest_base, entitlements->complied[zone][team->shard]);
      if (exception == NULL)
        continue;
      span.first = exception->offset;
      span.last = exception->highest;
      window->spans[window->count++] = span;
    }
  window->spans[window->count].first = lowest_base;
  window->spans[window->count++].last = UINT64_MAX;
}

uint64_t
colt_entitlement_lowest_offset_ (const struct ColtEntitlements *entitlements,
                                 const struct ColtEntitlementTeam *team)
{
  uint64_t lowest = UINT64_MAX;
  uint32_t zone;

  for (zone = 1; zone < ZONE_SLOTS; zone++)
    if (zone_counts_ (entitlements, zone, team))
      lowest = MIN (lowest, colt_entitlements_complied_offset (
                                entitlements, zone, team->name));
  return lowest;
}

/* A removed zone counts until it complies with its removal. */
static bool
zone_counts_ (const struct ColtEntitlements *entitlements,
              uint32_t zone,
              const struct ColtEntitlementTeam *team)
{
  const struct ColtEntitlementZone *entry = &entitlements->zones[zone];

  if (entry->present || entry->removed == 0)
    return entry->present;
  return colt_entitlements_complied_offset (entitlements, zone, team->name)
         < entry->removed;
}

static const struct ColtComplianceException *
find_exception_ (const struct ColtCompliance *compliance, const char *team)
{
  size_t i;

  for (i = 0; i < compliance->exception_count; i++)
    if (strcmp (compliance->exceptions[i].team, team) == 0)
      return &compliance->exceptions[i];
  return NULL;
}

/* Raises the recorded exceptions; removes those that reach base. The zone's
 * offsets for the shard are before and base, before and after the merge. */
static bool
update_exceptions_ (struct ColtEntitlements *entitlements,
                    const struct ColtCompliance *compliance,
                    uint64_t before,
                    uint64_t base)
{
  GHashTableIter iter;
  gpointer value;
  bool changed = false;

  g_hash_table_iter_init (&iter, entitlements->exceptions[compliance->zone]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtComplianceException *recorded = value;
      const struct ColtComplianceException *listed;
      uint64_t stated;

      if (colt_team_shard (recorded->team) != compliance->shard)
        continue;
      listed = find_exception_ (compliance, recorded->team);
      stated = listed == NULL ? compliance->offset : listed->offset;
      if (stated > recorded->offset)
        {
          recorded->offset = stated;
          changed = true;
        }
      if (listed != NULL && compliance->offset > before)
        recorded->highest = listed->highest;
      else if (listed != NULL && compliance->offset == before)
        recorded->highest = MIN (recorded->highest, listed->highest);
      recorded->highest = MAX (recorded->highest, recorded->offset);
      if (recorded->offset >= base)
        g_hash_table_iter_remove (&iter);
    }
  return changed;
}

/* Adds the listed exceptions that are below base, the zone's offset for the
 * shard after the merge. */
static void
add_exceptions_ (struct ColtEntitlements *entitlements,
                 const struct ColtCompliance *compliance,
                 uint64_t before,
                 uint64_t base)
{
  GHashTable *exceptions = entitlements->exceptions[compliance->zone];
  size_t i;

  for (i = 0; i < compliance->exception_count; i++)
    {
      struct ColtComplianceException *added;
      const struct ColtComplianceException *listed = &compliance->exceptions[i];

      if (MAX (before, listed->offset) >= base
          || g_hash_table_contains (exceptions, listed->team))
        continue;
      added = g_new (struct ColtComplianceException, 1);
      *added = *listed;
      added->offset = MAX (before, listed->offset);
      added->highest = MAX (added->offset, listed->highest);
      g_hash_table_replace (exceptions, added->team, added);
    }
}

static void
fill_entry_ (const struct ColtEntitlements *entitlements,
             uint32_t zone,
             uint32_t shard,
             struct ColtCompliance *entry)
{
  GHashTable *exceptions = entitlements->exceptions[zone];
  GHashTableIter iter;
  gpointer value;

  entry->zone = zone;
  entry->shard = shard;
  entry->offset = entitlements->complied[zone][shard];
  entry->exceptions = NULL;
  entry->exception_count = 0;
  g_hash_table_iter_init (&iter, exceptions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtComplianceException *exception = value;

      if (colt_team_shard (exception->team) != shard)
        continue;
      if (entry->exceptions == NULL)
        entry->exceptions = g_new0 (struct ColtComplianceException,
                                    g_hash_table_size (exceptions));
      entry->exceptions[entry->exception_count++] = *exception;
    }
}
