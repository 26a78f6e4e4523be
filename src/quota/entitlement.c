#include "entitlement_private.h"

#include <assert.h>
#include <string.h>

#include "coltsfootstile/guard.h"

struct ColtTeamVisit
{
  ColtEntitlementsTeamFunc func;
  void *context;
};

struct ColtBundleVisit
{
  struct ColtEntitlements *entitlements;
  GHashTable *limits; /* name -> const struct ColtQuotaTeam */
  uint64_t offset;
  GPtrArray *unused_teams; /* names of teams to remove */
};

static void destroy_team_ (gpointer team);
static gint compare_names_ (gconstpointer a, gconstpointer b, gpointer data);
static gboolean visit_team_ (gpointer key, gpointer value, gpointer data);
static void set_current_ (struct ColtEntitlementTeam *team,
                          uint32_t zone,
                          int dimension,
                          int64_t value);
static void record_changes_ (struct ColtEntitlements *entitlements,
                             struct ColtEntitlementTeam *team,
                             uint64_t offset);
static void mark_shards_changed_ (struct ColtEntitlements *entitlements,
                                  uint64_t offset);
static bool apply_zones_ (struct ColtEntitlements *entitlements,
                          uint64_t offset,
                          const struct ColtQuotaBundle *bundle,
                          uint32_t *removed);
static gboolean
redistribute_removed_ (gpointer key, gpointer value, gpointer data);
static gboolean apply_team_ (gpointer key, gpointer value, gpointer data);
static void change_limit_ (struct ColtBundleVisit *visit,
                           struct ColtEntitlementTeam *team,
                           int dimension,
                           int64_t limit);
static void raise_entitlements_ (struct ColtBundleVisit *visit,
                                 struct ColtEntitlementTeam *team,
                                 int dimension,
                                 int64_t from,
                                 int64_t to);
static void shrink_entitlements_ (struct ColtBundleVisit *visit,
                                  struct ColtEntitlementTeam *team,
                                  int dimension,
                                  int64_t limit);
static void set_all_zones_ (struct ColtBundleVisit *visit,
                            struct ColtEntitlementTeam *team,
                            int dimension,
                            int64_t value);
static size_t find_tie_winner_ (const struct ColtEntitlements *entitlements,
                                const struct ColtEntitlementTeam *team);
static int64_t get_current_ (const struct ColtEntitlementTeam *team,
                             uint32_t zone,
                             int dimension);
static void drop_old_records_ (struct ColtEntitlements *entitlements,
                               uint64_t offset);
static void advance_position_ (struct ColtEntitlements *entitlements,
                               uint64_t offset);
static bool is_move_valid_ (const struct ColtEntitlements *entitlements,
                            const struct ColtQuotaMove *move);
static void apply_move_ (struct ColtEntitlements *entitlements,
                         uint64_t offset,
                         const struct ColtQuotaMove *move);

struct ColtEntitlements *
colt_entitlements_create (void)
{
  struct ColtEntitlements *entitlements = g_new0 (struct ColtEntitlements, 1);
  size_t i;

  entitlements->teams
      = g_tree_new_full (compare_names_, NULL, NULL, destroy_team_);
  entitlements->records = g_hash_table_new_full (
      colt_id_table_hash, colt_id_table_equal, NULL, g_free);
  for (i = 0; i < ZONE_SLOTS; i++)
    entitlements->exceptions[i]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return entitlements;
}

void
colt_entitlements_destroy (struct ColtEntitlements *entitlements)
{
  size_t i;

  if (entitlements == NULL)
    return;
  g_tree_unref (entitlements->teams);
  g_hash_table_unref (entitlements->records);
  for (i = 0; i < ZONE_SLOTS; i++)
    g_hash_table_unref (entitlements->exceptions[i]);
  g_free (entitlements);
}

void
colt_entitlements_apply_bundle (struct ColtEntitlements *entitlements,
                                uint64_t offset,
                                const struct ColtQuotaBundle *bundle)
{
  struct ColtBundleVisit visit = { entitlements, NULL, offset, NULL };
  uint32_t removed = 0;
  size_t i;

  assert (bundle->zone_count > 0);
  advance_position_ (entitlements, offset);
  visit.limits = g_hash_table_new (g_str_hash, g_str_equal);
  visit.unused_teams = g_ptr_array_new ();
  if (apply_zones_ (entitlements, offset, bundle, &removed))
    mark_shards_changed_ (entitlements, offset);
  if (removed != 0)
    g_tree_foreach (entitlements->teams, redistribute_removed_, &visit);
  for (i = 0; i < bundle->team_count; i++)
    {
      assert (colt_quota_is_valid (&bundle->teams[i].limit));
      g_hash_table_insert (visit.limits, (gpointer)bundle->teams[i].team,
                           (gpointer)&bundle->teams[i]);
      colt_entitlement_add_team_ (entitlements, bundle->teams[i].team);
    }
  g_tree_foreach (entitlements->teams, apply_team_, &visit);
  for (i = 0; i < visit.unused_teams->len; i++)
    g_tree_remove (entitlements->teams, visit.unused_teams->pdata[i]);
  g_ptr_array_unref (visit.unused_teams);
  g_hash_table_unref (visit.limits);
}

size_t
colt_entitlements_apply_transfer (struct ColtEntitlements *entitlements,
                                  uint64_t offset,
                                  const struct ColtQuotaTransfer *transfer)
{
  size_t applied = 0;
  size_t i;

  advance_position_ (entitlements, offset);
  if (transfer->base > offset || offset - transfer->base > COLT_TRANSFER_WINDOW)
    return 0;
  if (g_hash_table_contains (entitlements->records, &transfer->id))
    return 0;
  colt_entitlement_add_record_ (entitlements, &transfer->id, transfer->base);
  for (i = 0; i < transfer->move_count; i++)
    if (is_move_valid_ (entitlements, &transfer->moves[i]))
      {
        apply_move_ (entitlements, offset, &transfer->moves[i]);
        applied++;
      }
  return applied;
}

void
colt_entitlements_advance (struct ColtEntitlements *entitlements,
                           uint64_t offset)
{
  if (offset > entitlements->position)
    advance_position_ (entitlements, offset);
}

uint64_t
colt_entitlements_position (const struct ColtEntitlements *entitlements)
{
  return entitlements->position;
}

uint64_t
colt_entitlements_last_change (const struct ColtEntitlements *entitlements)
{
  return entitlements->changed;
}

uint64_t
colt_entitlements_shard_last_change (
    const struct ColtEntitlements *entitlements,
    uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return entitlements->shard_changed[shard];
}

bool
colt_entitlements_has_team (const struct ColtEntitlements *entitlements,
                            const char *team)
{
  const struct ColtEntitlementTeam *found
      = colt_entitlement_find_team_ (entitlements, team);

  return found != NULL && found->listed;
}

void
colt_entitlements_get_limit (const struct ColtEntitlements *entitlements,
                             const char *team,
                             struct ColtQuotaAmount *limit)
{
  const struct ColtEntitlementTeam *found
      = colt_entitlement_find_team_ (entitlements, team);

  memset (limit, 0, sizeof *limit);
  if (found != NULL)
    *limit = found->limit;
}

void
colt_entitlements_get (const struct ColtEntitlements *entitlements,
                       const char *team,
                       uint32_t zone,
                       struct ColtQuotaAmount *amount)
{
  const struct ColtEntitlementTeam *found
      = colt_entitlement_find_team_ (entitlements, team);
  int i;

  assert (zone <= COLT_ZONE_MAX);
  memset (amount, 0, sizeof *amount);
  if (found == NULL)
    return;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    amount->amount[i] = get_current_ (found, zone, i);
}

void
colt_entitlements_get_usable (const struct ColtEntitlements *entitlements,
                              const char *team,
                              uint32_t zone,
                              struct ColtQuotaAmount *amount)
{
  const struct ColtEntitlementTeam *found
      = colt_entitlement_find_team_ (entitlements, team);
  struct ColtEntitlementWindow window;
  int i;

  colt_entitlements_get (entitlements, team, zone, amount);
  if (found == NULL || found->zones[zone] == NULL
      || !colt_guard_on (COLT_GUARD_LEAST_OVER_OFFSETS))
    return;
  colt_entitlement_get_window_ (entitlements, found, &window);
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    amount->amount[i]
        = colt_entitlement_find_least_ (&found->zones[zone][i], &window);
}

bool
colt_entitlements_is_settled (const struct ColtEntitlements *entitlements,
                              const char *team)
{
  const struct ColtEntitlementTeam *found
      = colt_entitlement_find_team_ (entitlements, team);

  return found == NULL
         || colt_entitlement_lowest_offset_ (entitlements, found)
                >= found->changed;
}

const uint32_t *
colt_entitlements_zones (const struct ColtEntitlements *entitlements,
                         size_t *count)
{
  *count = entitlements->zone_count;
  return entitlements->zone_list;
}

void
colt_entitlements_each_team (const struct ColtEntitlements *entitlements,
                             ColtEntitlementsTeamFunc func,
                             void *context)
{
  struct ColtTeamVisit visit = { func, context };

  g_tree_foreach (entitlements->teams, visit_team_, &visit);
}

struct ColtEntitlementTeam *
colt_entitlement_find_team_ (const struct ColtEntitlements *entitlements,
                             const char *name)
{
  return g_tree_lookup (entitlements->teams, name);
}

struct ColtEntitlementTeam *
colt_entitlement_add_team_ (struct ColtEntitlements *entitlements,
                            const char *name)
{
  struct ColtEntitlementTeam *team
      = colt_entitlement_find_team_ (entitlements, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct ColtEntitlementTeam, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->shard = colt_team_shard (team->name);
  g_tree_insert (entitlements->teams, team->name, team);
  return team;
}

void
colt_entitlement_update_zone_list_ (struct ColtEntitlements *entitlements)
{
  uint32_t zone;

  entitlements->zone_count = 0;
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    if (entitlements->zones[zone].present)
      entitlements->zone_list[entitlements->zone_count++] = zone;
}

void
colt_entitlement_add_record_ (struct ColtEntitlements *entitlements,
                              const struct ColtId *id,
                              uint64_t base)
{
  struct ColtEntitlementRecord *record
      = g_new0 (struct ColtEntitlementRecord, 1);

  record->id = *id;
  record->base = base;
  g_hash_table_replace (entitlements->records, &record->id, record);
}

static void
destroy_team_ (gpointer data)
{
  struct ColtEntitlementTeam *team = data;
  size_t zone;
  int i;

  for (zone = 0; zone < ZONE_SLOTS; zone++)
    {
      if (team->zones[zone] == NULL)
        continue;
      for (i = 0; i < COLT_QUOTA_COUNT; i++)
        g_free (team->zones[zone][i].steps);
      g_free (team->zones[zone]);
    }
  g_free (team);
}

static gint
compare_names_ (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static gboolean
visit_team_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtEntitlementTeam *team = value;
  const struct ColtTeamVisit *visit = data;

  if (team->listed)
    visit->func (visit->context, key);
  return FALSE;
}

static void
advance_position_ (struct ColtEntitlements *entitlements, uint64_t offset)
{
  assert (offset >= entitlements->position && offset > 0);
  if (offset > entitlements->position)
    drop_old_records_ (entitlements, offset);
  entitlements->position = offset;
}

/* Drops records whose base left the window: a repetition of such a record is
 * rejected by its base. */
static void
drop_old_records_ (struct ColtEntitlements *entitlements, uint64_t offset)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entitlements->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtEntitlementRecord *record = value;

      if (offset - record->base > COLT_TRANSFER_WINDOW)
        g_hash_table_iter_remove (&iter);
    }
}

static bool
apply_zones_ (struct ColtEntitlements *entitlements,
              uint64_t offset,
              const struct ColtQuotaBundle *bundle,
              uint32_t *removed)
{
  bool added = false;
  bool in_bundle[ZONE_SLOTS] = { false };
  uint32_t zone;
  size_t i;

  for (i = 0; i < bundle->zone_count; i++)
    {
      struct ColtEntitlementZone *entry;

      assert (bundle->zones[i] >= 1 && bundle->zones[i] <= COLT_ZONE_MAX);
      entry = &entitlements->zones[bundle->zones[i]];
      in_bundle[bundle->zones[i]] = true;
      added = added || !entry->present;
      entry->present = true;
      entry->weight = bundle->weights == NULL ? 1 : bundle->weights[i];
    }
  for (zone = 1; zone < ZONE_SLOTS; zone++)
    if (entitlements->zones[zone].present && !in_bundle[zone])
      {
        entitlements->zones[zone].present = false;
        entitlements->zones[zone].removed = offset;
        *removed |= 1u << zone;
      }
  colt_entitlement_update_zone_list_ (entitlements);
  return added || *removed != 0;
}

static gboolean
redistribute_removed_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtBundleVisit *visit = data;
  struct ColtEntitlementTeam *team = value;
  int i;

  (void)key;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      int64_t freed = 0;
      uint32_t zone;

      for (zone = 1; zone < ZONE_SLOTS; zone++)
        {
          if (visit->entitlements->zones[zone].present)
            continue;
          if (team->limit.amount[i] != COLT_QUOTA_UNLIMITED)
            freed += get_current_ (team, zone, i);
          set_current_ (team, zone, i, 0);
        }
      if (freed > 0)
        raise_entitlements_ (visit, team, i, 0, freed);
    }
  return FALSE;
}

static gboolean
apply_team_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtBundleVisit *visit = data;
  struct ColtEntitlementTeam *team = value;
  const struct ColtQuotaTeam *in_bundle
      = g_hash_table_lookup (visit->limits, key);
  struct ColtQuotaAmount limit = { { 0 } };
  int i;

  if (in_bundle != NULL)
    limit = in_bundle->limit;
  team->listed = in_bundle != NULL;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    change_limit_ (visit, team, i, limit.amount[i]);
  team->limit = limit;
  record_changes_ (visit->entitlements, team, visit->offset);
  if (!team->listed
      && colt_entitlement_lowest_offset_ (visit->entitlements, team)
             >= team->changed)
    g_ptr_array_add (visit->unused_teams, team->name);
  return FALSE;
}

static void
change_limit_ (struct ColtBundleVisit *visit,
               struct ColtEntitlementTeam *team,
               int dimension,
               int64_t limit)
{
  int64_t before = team->limit.amount[dimension];

  if (limit == COLT_QUOTA_UNLIMITED)
    set_all_zones_ (visit, team, dimension, COLT_QUOTA_UNLIMITED);
  else if (before == COLT_QUOTA_UNLIMITED)
    {
      set_all_zones_ (visit, team, dimension, 0);
      raise_entitlements_ (visit, team, dimension, 0, limit);
    }
  else if (limit > before)
    raise_entitlements_ (visit, team, dimension, before, limit);
  else if (limit < before)
    shrink_entitlements_ (visit, team, dimension, limit);
}

static void
raise_entitlements_ (struct ColtBundleVisit *visit,
                     struct ColtEntitlementTeam *team,
                     int dimension,
                     int64_t from,
                     int64_t to)
{
  const struct ColtEntitlements *entitlements = visit->entitlements;
  size_t count = entitlements->zone_count;
  size_t first = find_tie_winner_ (entitlements, team);
  int64_t weights[ZONE_SLOTS];
  int64_t before[ZONE_SLOTS];
  int64_t after[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < count; i++)
    weights[i] = entitlements->zones[entitlements->zone_list[i]].weight;
  colt_quota_apportion (from, weights, count, first, before);
  colt_quota_apportion (to, weights, count, first, after);
  for (i = 0; i < count; i++)
    {
      uint32_t zone = entitlements->zone_list[i];
      int64_t value
          = get_current_ (team, zone, dimension) + after[i] - before[i];

      set_current_ (team, zone, dimension, value);
    }
}

static void
shrink_entitlements_ (struct ColtBundleVisit *visit,
                      struct ColtEntitlementTeam *team,
                      int dimension,
                      int64_t limit)
{
  const struct ColtEntitlements *entitlements = visit->entitlements;
  size_t count = entitlements->zone_count;
  size_t first = find_tie_winner_ (entitlements, team);
  int64_t weights[ZONE_SLOTS];
  int64_t after[ZONE_SLOTS];
  size_t i;

  for (i = 0; i < count; i++)
    weights[i] = get_current_ (team, entitlements->zone_list[i], dimension);
  colt_quota_apportion (limit, weights, count, first, after);
  for (i = 0; i < count; i++)
    set_current_ (team, entitlements->zone_list[i], dimension, after[i]);
}

static void
set_all_zones_ (struct ColtBundleVisit *visit,
                struct ColtEntitlementTeam *team,
                int dimension,
                int64_t value)
{
  const struct ColtEntitlements *entitlements = visit->entitlements;
  size_t i;

  for (i = 0; i < entitlements->zone_count; i++)
    set_current_ (team, entitlements->zone_list[i], dimension, value);
}

/* Returns the zone index that wins ties. It depends on the team's name, which
 * spreads the single tasks of small limits over the zones. */
static size_t
find_tie_winner_ (const struct ColtEntitlements *entitlements,
                  const struct ColtEntitlementTeam *team)
{
  return g_str_hash (team->name) % entitlements->zone_count;
}

static int64_t
get_current_ (const struct ColtEntitlementTeam *team,
              uint32_t zone,
              int dimension)
{
  if (team->zones[zone] == NULL)
    return 0;
  return team->zones[zone][dimension].current;
}

static void
set_current_ (struct ColtEntitlementTeam *team,
              uint32_t zone,
              int dimension,
              int64_t value)
{
  if (get_current_ (team, zone, dimension) == value)
    return;
  if (team->zones[zone] == NULL)
    team->zones[zone]
        = g_new0 (struct ColtEntitlementHistory, COLT_QUOTA_COUNT);
  team->zones[zone][dimension].current = value;
}

/* Appends the changed values of a team to its histories, from an offset on. */
static void
record_changes_ (struct ColtEntitlements *entitlements,
                 struct ColtEntitlementTeam *team,
                 uint64_t offset)
{
  uint64_t lowest = colt_entitlement_lowest_offset_ (entitlements, team);
  bool existed = team->has_history;
  bool changed = false;
  uint32_t zone;
  int i;

  for (zone = 1; zone < ZONE_SLOTS; zone++)
    for (i = 0; team->zones[zone] != NULL && i < COLT_QUOTA_COUNT; i++)
      {
        struct ColtEntitlementHistory *history = &team->zones[zone][i];

        if (history->count == 0 && existed)
          colt_entitlement_push_step_ (history, 0, 0);
        if (history->count > 0
            && history->steps[history->count - 1].value == history->current)
          continue;
        colt_entitlement_trim_history_ (history, lowest);
        colt_entitlement_push_step_ (history, offset, history->current);
        changed = true;
      }
  team->has_history = true;
  if (!changed)
    return;
  team->changed = offset;
  entitlements->shard_changed[team->shard] = offset;
  entitlements->changed = offset;
}

static void
mark_shards_changed_ (struct ColtEntitlements *entitlements, uint64_t offset)
{
  uint32_t shard;

  entitlements->changed = offset;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    entitlements->shard_changed[shard] = offset;
}

static bool
is_move_valid_ (const struct ColtEntitlements *entitlements,
                const struct ColtQuotaMove *move)
{
  const struct ColtEntitlementTeam *team
      = colt_entitlement_find_team_ (entitlements, move->team);
  int i;

  if (team == NULL || !team->listed || move->from == move->to)
    return false;
  if (move->from > COLT_ZONE_MAX || move->to > COLT_ZONE_MAX
      || !entitlements->zones[move->from].present
      || !entitlements->zones[move->to].present)
    return false;
  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      int64_t available = get_current_ (team, move->from, i);

      if (move->amount.amount[i] < 0 || move->amount.amount[i] > available)
        return false;
      if (available == COLT_QUOTA_UNLIMITED && move->amount.amount[i] != 0)
        return false;
    }
  return !colt_quota_is_zero (&move->amount);
}

static void
apply_move_ (struct ColtEntitlements *entitlements,
             uint64_t offset,
             const struct ColtQuotaMove *move)
{
  struct ColtEntitlementTeam *team
      = colt_entitlement_find_team_ (entitlements, move->team);
  int i;

  for (i = 0; i < COLT_QUOTA_COUNT; i++)
    {
      int64_t amount = move->amount.amount[i];

      if (amount == 0)
        continue;
      set_current_ (team, move->from, i,
                    get_current_ (team, move->from, i) - amount);
      set_current_ (team, move->to, i,
                    get_current_ (team, move->to, i) + amount);
    }
  record_changes_ (entitlements, team, offset);
}
