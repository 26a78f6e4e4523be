#include <string.h>

#include "entitlement_private.h"
#include "message_pool.h"

#define UNLIMITED_CODE (-1)

struct ColtPackVisit
{
  struct ColtMessagePool *pool;
  ColtEntitlementTeamMsg **teams;
  size_t count;
};

static gboolean pack_team_ (gpointer key, gpointer value, gpointer data);
static void pack_history_ (struct ColtMessagePool *pool,
                           const struct ColtEntitlementHistory *history,
                           ColtEntitlementStepsMsg *message);
static void pack_zones_ (struct ColtMessagePool *pool,
                         const struct ColtEntitlements *entitlements,
                         ColtEntitlementsMsg *message);
static void pack_records_ (struct ColtMessagePool *pool,
                           const struct ColtEntitlements *entitlements,
                           ColtEntitlementsMsg *message);
static bool read_shards_ (struct ColtEntitlements *entitlements,
                          const ColtEntitlementsMsg *message);
static bool read_zones_ (struct ColtEntitlements *entitlements,
                         const ColtEntitlementsMsg *message);
static bool read_records_ (struct ColtEntitlements *entitlements,
                           const ColtEntitlementsMsg *message);
static bool read_team_ (struct ColtEntitlements *entitlements,
                        const ColtEntitlementTeamMsg *message);
static bool read_history_ (const struct ColtEntitlements *entitlements,
                           struct ColtEntitlementTeam *team,
                           const ColtEntitlementStepsMsg *message);
static bool read_steps_ (const struct ColtEntitlements *entitlements,
                         const ColtEntitlementStepsMsg *message,
                         struct ColtEntitlementHistory *history);
static bool fits_limit_ (const struct ColtEntitlementTeam *team);
static bool read_compliance_ (struct ColtEntitlements *entitlements,
                              const ColtComplianceVectorMsg *message);
static int64_t encode_ (int64_t value);
static int64_t decode_ (int64_t code);
static bool read_message_ (struct ColtEntitlements *entitlements,
                           const ColtEntitlementsMsg *message);

uint8_t *
colt_entitlements_pack (const struct ColtEntitlements *entitlements,
                        size_t *size)
{
  ColtEntitlementsMsg message = COLT_ENTITLEMENTS_MSG__INIT;
  struct ColtComplianceVector *vector
      = colt_entitlements_list_compliance (entitlements, 0);
  struct ColtMessagePool pool;
  struct ColtPackVisit visit = { &pool, NULL, 0 };
  uint8_t *bytes;

  colt_message_pool_init_ (&pool);
  message.position = entitlements->position;
  message.changed = entitlements->changed;
  message.n_shard_changed = COLT_SHARD_COUNT;
  message.shard_changed = (uint64_t *)entitlements->shard_changed;
  pack_zones_ (&pool, entitlements, &message);
  pack_records_ (&pool, entitlements, &message);
  message.n_teams = (size_t)g_tree_nnodes (entitlements->teams);
  message.teams = (ColtEntitlementTeamMsg **)colt_message_pool_alloc_array_ (
      &pool, message.n_teams, sizeof (ColtEntitlementTeamMsg));
  visit.teams = message.teams;
  g_tree_foreach (entitlements->teams, pack_team_, &visit);
  message.compliance = colt_message_pack_vector_ (&pool, vector);
  bytes = colt_message_pool_pack_ (&pool, &message.base, size);
  colt_compliance_vector_destroy (vector);
  return bytes;
}

struct ColtEntitlements *
colt_entitlements_unpack (const uint8_t *bytes,
                          size_t size,
                          struct ColtError *error)
{
  ColtEntitlementsMsg *message
      = colt_entitlements_msg__unpack (NULL, size, bytes);
  struct ColtEntitlements *entitlements;
  bool read;

  if (message == NULL)
    {
      colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                      "the packed entitlements are malformed");
      return NULL;
    }
  entitlements = colt_entitlements_create ();
  read = read_message_ (entitlements, message);
  colt_entitlements_msg__free_unpacked (message, NULL);
  if (read)
    return entitlements;
  colt_entitlements_destroy (entitlements);
  colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                  "a value of the packed entitlements is out of range");
  return NULL;
}

static gboolean
pack_team_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtEntitlementTeam *team = value;
  struct ColtPackVisit *visit = data;
  ColtEntitlementTeamMsg *message = visit->teams[visit->count++];
  uint32_t zone;
  size_t at = 0;
  int i;

  colt_entitlement_team_msg__init (message);
  message->team = key;
  message->listed = team->listed;
  message->changed = team->changed;
  message->limit = colt_message_pack_amount_ (visit->pool, &team->limit);
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    message->n_histories += team->zones[zone] == NULL ? 0 : COLT_QUOTA_COUNT;
  message->histories
      = (ColtEntitlementStepsMsg **)colt_message_pool_alloc_array_ (
          visit->pool, message->n_histories, sizeof (ColtEntitlementStepsMsg));
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    for (i = 0; team->zones[zone] != NULL && i < COLT_QUOTA_COUNT; i++)
      {
        pack_history_ (visit->pool, &team->zones[zone][i],
                       message->histories[at]);
        message->histories[at]->zone = zone;
        message->histories[at++]->dimension = (uint32_t)i;
      }
  return FALSE;
}

static void
pack_history_ (struct ColtMessagePool *pool,
               const struct ColtEntitlementHistory *history,
               ColtEntitlementStepsMsg *message)
{
  size_t i;

  colt_entitlement_steps_msg__init (message);
  message->current = encode_ (history->current);
  message->n_steps = history->count;
  message->steps = (ColtEntitlementStepMsg **)colt_message_pool_alloc_array_ (
      pool, history->count, sizeof (ColtEntitlementStepMsg));
  for (i = 0; i < history->count; i++)
    {
      colt_entitlement_step_msg__init (message->steps[i]);
      message->steps[i]->start = history->steps[i].start;
      message->steps[i]->value = encode_ (history->steps[i].value);
    }
}

static void
pack_zones_ (struct ColtMessagePool *pool,
             const struct ColtEntitlements *entitlements,
             ColtEntitlementsMsg *message)
{
  uint32_t zone;

  message->zones = (ColtEntitlementZoneMsg **)colt_message_pool_alloc_array_ (
      pool, ZONE_SLOTS, sizeof (ColtEntitlementZoneMsg));
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    {
      const struct ColtEntitlementZone *entry = &entitlements->zones[zone];
      ColtEntitlementZoneMsg *packed = message->zones[message->n_zones];

      if (!entry->present && entry->removed == 0)
        continue;
      colt_entitlement_zone_msg__init (packed);
      packed->zone = zone;
      packed->present = entry->present;
      packed->weight = entry->weight;
      packed->removed = entry->removed;
      message->n_zones++;
    }
}

static void
pack_records_ (struct ColtMessagePool *pool,
               const struct ColtEntitlements *entitlements,
               ColtEntitlementsMsg *message)
{
  GHashTableIter iter;
  gpointer value;
  size_t at = 0;

  message->n_records = g_hash_table_size (entitlements->records);
  message->records
      = (ColtEntitlementRecordMsg **)colt_message_pool_alloc_array_ (
          pool, message->n_records, sizeof (ColtEntitlementRecordMsg));
  g_hash_table_iter_init (&iter, entitlements->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtEntitlementRecord *record = value;

      colt_entitlement_record_msg__init (message->records[at]);
      message->records[at]->id.data = record->id.bytes;
      message->records[at]->id.len = COLT_ID_SIZE;
      message->records[at++]->read_up_to = record->base;
    }
}

static bool
read_message_ (struct ColtEntitlements *entitlements,
               const ColtEntitlementsMsg *message)
{
  size_t i;

  entitlements->position = message->position;
  entitlements->changed = message->changed;
  if (message->changed > message->position
      || message->n_teams > COLT_QUOTA_ITEMS_MAX
      || !read_shards_ (entitlements, message)
      || !read_zones_ (entitlements, message)
      || !read_records_ (entitlements, message))
    return false;
  for (i = 0; i < message->n_teams; i++)
    if (!read_team_ (entitlements, message->teams[i]))
      return false;
  return message->compliance != NULL
         && read_compliance_ (entitlements, message->compliance);
}

static bool
read_shards_ (struct ColtEntitlements *entitlements,
              const ColtEntitlementsMsg *message)
{
  uint32_t shard;

  if (message->n_shard_changed != COLT_SHARD_COUNT)
    return false;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      if (message->shard_changed[shard] > message->changed)
        return false;
      entitlements->shard_changed[shard] = message->shard_changed[shard];
    }
  return true;
}

static bool
read_zones_ (struct ColtEntitlements *entitlements,
             const ColtEntitlementsMsg *message)
{
  size_t i;

  for (i = 0; i < message->n_zones; i++)
    {
      const ColtEntitlementZoneMsg *zone = message->zones[i];
      struct ColtEntitlementZone *entry;

      if (zone->zone < 1 || zone->zone > COLT_ZONE_MAX || zone->weight < 0
          || zone->weight > COLT_QUOTA_MAX || zone->removed > message->changed
          || (!zone->present && zone->removed == 0))
        return false;
      entry = &entitlements->zones[zone->zone];
      if (entry->present || entry->removed > 0)
        return false;
      entry->present = zone->present;
      entry->weight = zone->weight;
      entry->removed = zone->removed;
    }
  colt_entitlement_update_zone_list_ (entitlements);
  return true;
}

static bool
read_records_ (struct ColtEntitlements *entitlements,
               const ColtEntitlementsMsg *message)
{
  size_t i;

  for (i = 0; i < message->n_records; i++)
    {
      const ColtEntitlementRecordMsg *record = message->records[i];
      struct ColtId id;

      if (record->id.len != COLT_ID_SIZE
          || record->read_up_to > message->position
          || message->position - record->read_up_to > COLT_TRANSFER_WINDOW)
        return false;
      memcpy (id.bytes, record->id.data, COLT_ID_SIZE);
      colt_entitlement_add_record_ (entitlements, &id, record->read_up_to);
    }
  return true;
}

static bool
read_team_ (struct ColtEntitlements *entitlements,
            const ColtEntitlementTeamMsg *message)
{
  struct ColtEntitlementTeam *team;
  char name[COLT_NAME_SIZE];
  size_t i;

  if (!colt_message_read_name_ (message->team, name)
      || colt_entitlement_find_team_ (entitlements, name) != NULL
      || message->changed > entitlements->changed)
    return false;
  team = colt_entitlement_add_team_ (entitlements, name);
  team->listed = message->listed;
  team->has_history = true;
  team->changed = message->changed;
  if (!colt_message_read_amount_ (message->limit, &team->limit)
      || (!team->listed && !colt_quota_is_zero (&team->limit)))
    return false;
  for (i = 0; i < message->n_histories; i++)
    if (!read_history_ (entitlements, team, message->histories[i]))
      return false;
  return fits_limit_ (team);
}

static bool
read_history_ (const struct ColtEntitlements *entitlements,
               struct ColtEntitlementTeam *team,
               const ColtEntitlementStepsMsg *message)
{
  struct ColtEntitlementHistory *history;

  if (message->zone < 1 || message->zone > COLT_ZONE_MAX
      || message->dimension >= COLT_QUOTA_COUNT || message->n_steps == 0
      || message->n_steps > COLT_ENTITLEMENT_STEPS_MAX)
    return false;
  if (team->zones[message->zone] == NULL)
    team->zones[message->zone]
        = g_new0 (struct ColtEntitlementHistory, COLT_QUOTA_COUNT);
  history = &team->zones[message->zone][message->dimension];
  if (history->count > 0 || !read_steps_ (entitlements, message, history))
    return false;
  if (history->current > 0 && !entitlements->zones[message->zone].present)
    return false;
  return history->current == decode_ (message->current);
}

static bool
read_steps_ (const struct ColtEntitlements *entitlements,
             const ColtEntitlementStepsMsg *message,
             struct ColtEntitlementHistory *history)
{
  int64_t before = -1;
  size_t i;

  history->steps = g_new0 (struct ColtEntitlementStep, message->n_steps);
  history->capacity = (uint16_t)message->n_steps;
  for (i = 0; i < message->n_steps; i++)
    {
      struct ColtEntitlementStep *step = &history->steps[i];

      step->start = message->steps[i]->start;
      step->value = decode_ (message->steps[i]->value);
      if (step->value < 0 || step->start > entitlements->changed
          || (step->value > COLT_QUOTA_MAX
              && step->value != COLT_QUOTA_UNLIMITED)
          || (i > 0 && step->start <= step[-1].start))
        return false;
      before = step->value;
      history->count++;
    }
  history->current = before;
  return true;
}

static bool
fits_limit_ (const struct ColtEntitlementTeam *team)
{
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      int64_t left = team->limit.amount[i];
      uint32_t zone;

      for (zone = 1; zone < ZONE_SLOTS; zone++)
        {
          int64_t value
              = team->zones[zone] == NULL ? 0 : team->zones[zone][i].current;

          if (value > left)
            return false;
          if (left != COLT_QUOTA_UNLIMITED)
            left -= value;
        }
    }
  return true;
}

static bool
read_compliance_ (struct ColtEntitlements *entitlements,
                  const ColtComplianceVectorMsg *message)
{
  struct ColtComplianceVector *vector = colt_message_read_vector_ (message);
  size_t i;

  if (vector == NULL)
    return false;
  for (i = 0; i < vector->entry_count; i++)
    colt_entitlements_merge_compliance (entitlements, &vector->entries[i]);
  colt_compliance_vector_destroy (vector);
  return true;
}

static int64_t
encode_ (int64_t value)
{
  return value == COLT_QUOTA_UNLIMITED ? UNLIMITED_CODE : value;
}

static int64_t
decode_ (int64_t code)
{
  return code == UNLIMITED_CODE ? COLT_QUOTA_UNLIMITED : code;
}
