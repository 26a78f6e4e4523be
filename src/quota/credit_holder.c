#include <assert.h>
#include <string.h>

#include "coltsfootstile/guard.h"
#include "credit_holder_private.h"

/* The reserve is 1 / RESERVE_DIVISOR of the running tasks, at least
 * COLT_CREDIT_RESERVE_TASKS. */
#define RESERVE_DIVISOR 8

static void destroy_team_ (gpointer data);
static struct ColtHolderTeam *find_team_ (const struct ColtCreditHolder *holder,
                                          const char *name);
static struct ColtHolderTeam *add_team_ (struct ColtCreditHolder *holder,
                                         const char *name);
static struct ColtHolderUsage *
find_usage_ (const struct ColtHolderTeam *team, uint32_t server, bool lost);
static void add_usage_ (struct ColtHolderTeam *team,
                        uint32_t server,
                        const struct ColtQuotaAmount *demand);
static void drop_usage_ (struct ColtHolderTeam *team, size_t index);
static void update_running_changed_ (struct ColtHolderTeam *team);
static void return_excess_ (struct ColtHolderTeam *team);
static void get_spare_ (const struct ColtHolderTeam *team,
                        struct ColtQuotaAmount *spare);
static bool check_grant_ (const struct ColtCreditHolder *holder,
                          const struct ColtCreditGrant *grant,
                          struct ColtError *error);
static void
open_session_ (struct ColtCreditHolder *holder, uint32_t shard, uint64_t epoch);
static void apply_item_ (struct ColtCreditHolder *holder,
                         const struct ColtCreditItem *item);
static void drop_settled_ (struct ColtCreditHolder *holder,
                           uint32_t shard,
                           const struct ColtServerEpoch *settled);
static void
mark_usage_lost_ (struct ColtHolderTeam *team, uint32_t server, uint64_t epoch);

struct ColtCreditHolder *
colt_credit_holder_create (uint64_t owner,
                           uint64_t initial_promise,
                           ColtCreditReportFunc send,
                           void *context)
{
  struct ColtCreditHolder *holder = g_new0 (struct ColtCreditHolder, 1);
  uint32_t shard;

  assert (owner != 0);
  holder->owner = owner;
  holder->send = send;
  holder->context = context;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    holder->sessions[shard].promise = initial_promise;
  holder->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_team_);
  holder->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return holder;
}

void
colt_credit_holder_destroy (struct ColtCreditHolder *holder)
{
  if (holder == NULL)
    return;
  g_hash_table_unref (holder->teams);
  g_hash_table_unref (holder->servers);
  g_free (holder);
}

bool
colt_credit_holder_acquire (struct ColtCreditHolder *holder,
                            const char *team,
                            uint32_t server,
                            const struct ColtQuotaAmount *demand)
{
  struct ColtHolderTeam *entry = find_team_ (holder, team);
  struct ColtQuotaAmount after;

  assert (colt_quota_is_valid (demand));
  if (entry == NULL || !holder->sessions[entry->shard].open)
    return false;
  after = entry->running;
  colt_quota_add (&after, demand);
  if (!colt_quota_is_within (&after, &entry->ceiling))
    return false;
  add_usage_ (entry, server, demand);
  if (entry->waiting == 0)
    entry->unit = *demand;
  update_running_changed_ (entry);
  return true;
}

void
colt_credit_holder_release (struct ColtCreditHolder *holder,
                            const char *team,
                            uint32_t server,
                            const struct ColtQuotaAmount *demand)
{
  struct ColtHolderTeam *entry = find_team_ (holder, team);
  struct ColtHolderUsage *usage;

  if (entry == NULL)
    return;
  usage = find_usage_ (entry, server, false);
  if (usage == NULL)
    usage = find_usage_ (entry, server, true);
  if (usage == NULL)
    return;
  if (!colt_quota_is_within (&entry->running, &entry->ceiling))
    colt_holder_mark_dirty_ (entry);
  colt_quota_subtract (&usage->amount, demand);
  colt_quota_subtract (usage->lost ? &entry->lost : &entry->running, demand);
  if (usage->lost)
    colt_holder_mark_dirty_ (entry);
  if (colt_quota_is_zero (&usage->amount))
    drop_usage_ (
        entry,
        (size_t)(usage
                 - (struct ColtHolderUsage *)(void *)entry->usages->data));
  update_running_changed_ (entry);
  return_excess_ (entry);
}

void
colt_credit_holder_set_waiting (struct ColtCreditHolder *holder,
                                const char *team,
                                int64_t waiting,
                                const struct ColtQuotaAmount *unit)
{
  struct ColtHolderTeam *entry = find_team_ (holder, team);
  int64_t change;

  assert (waiting >= 0 && colt_quota_is_valid (unit));
  if (entry == NULL && waiting == 0)
    return;
  entry = add_team_ (holder, team);
  entry->waiting = waiting;
  if (waiting > 0)
    entry->unit = *unit;
  change = ABS (waiting - entry->reported_waiting);
  if ((waiting == 0) != (entry->reported_waiting == 0)
      || change > entry->reported_waiting / 4)
    colt_holder_mark_dirty_ (entry);
  return_excess_ (entry);
}

void
colt_credit_holder_adopt (struct ColtCreditHolder *holder,
                          const char *team,
                          uint32_t server,
                          const struct ColtQuotaAmount *demand)
{
  struct ColtHolderTeam *entry = add_team_ (holder, team);

  add_usage_ (entry, server, demand);
  colt_holder_mark_dirty_ (entry);
}

void
colt_credit_holder_add_server (struct ColtCreditHolder *holder,
                               uint32_t server,
                               uint64_t epoch)
{
  gpointer key = GUINT_TO_POINTER (server);
  struct ColtHolderServer *entry = g_new0 (struct ColtHolderServer, 1);

  entry->server = server;
  entry->epoch = epoch;
  entry->added_after = holder->sequence;
  entry->pending_shards = UINT64_MAX;
  g_hash_table_replace (holder->servers, key, entry);
}

void
colt_credit_holder_mark_server_lost (struct ColtCreditHolder *holder,
                                     uint32_t server)
{
  gpointer key = GUINT_TO_POINTER (server);
  const struct ColtHolderServer *held
      = g_hash_table_lookup (holder->servers, key);
  GHashTableIter iter;
  gpointer value;

  if (held == NULL)
    return;
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    mark_usage_lost_ (value, server, held->epoch);
  g_hash_table_remove (holder->servers, key);
}

void
colt_credit_holder_remove_server (struct ColtCreditHolder *holder,
                                  uint32_t server)
{
  GHashTableIter iter;
  gpointer value;

  colt_credit_holder_mark_server_lost (holder, server);
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;
      size_t i;

      for (i = 0; i < team->usages->len; i++)
        if (g_array_index (team->usages, struct ColtHolderUsage, i).server
            == server)
          drop_usage_ (team, i--);
    }
}

bool
colt_credit_holder_handle_grant (struct ColtCreditHolder *holder,
                                 const struct ColtCreditGrant *grant,
                                 struct ColtError *error)
{
  struct ColtHolderSession *session;
  size_t i;

  assert (grant->shard < COLT_SHARD_COUNT);
  if (!check_grant_ (holder, grant, error))
    return false;
  session = &holder->sessions[grant->shard];
  if (grant->recount)
    open_session_ (holder, grant->shard, grant->epoch);
  for (i = 0; i < grant->ack_count; i++)
    colt_holder_handle_ack_ (holder, grant->shard, grant->acks[i]);
  for (i = 0; i < grant->settled_count; i++)
    drop_settled_ (holder, grant->shard, &grant->settled[i]);
  if (grant->offset < session->promise && colt_guard_on (COLT_GUARD_COMPLIANCE))
    return colt_error_set (
        error, COLT_ERROR_CONFLICT, COLT_STEP_CHECK, NULL,
        "the credit grant was computed below the promised offset");
  colt_credit_holder_raise_promise (holder, grant->shard, grant->promise);
  for (i = 0; i < grant->item_count; i++)
    apply_item_ (holder, &grant->items[i]);
  session->promise_requested = MAX (session->promise_requested, grant->promise);
  return true;
}

void
colt_credit_holder_raise_promise (struct ColtCreditHolder *holder,
                                  uint32_t shard,
                                  uint64_t offset)
{
  struct ColtHolderSession *session = &holder->sessions[shard];

  assert (shard < COLT_SHARD_COUNT);
  session->promise = MAX (session->promise, offset);
}

void
colt_credit_holder_end_session (struct ColtCreditHolder *holder, uint32_t shard)
{
  GHashTableIter iter;
  gpointer value;

  assert (shard < COLT_SHARD_COUNT);
  holder->sessions[shard].open = false;
  holder->sessions[shard].ended = true;
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;

      if (team->shard == shard)
        colt_quota_lower (&team->ceiling, &team->running);
    }
}

void
colt_credit_holder_process (struct ColtCreditHolder *holder, int64_t now_us)
{
  colt_holder_send_reports_ (holder, now_us);
}

void
colt_credit_holder_get_spare (const struct ColtCreditHolder *holder,
                              const char *team,
                              struct ColtQuotaAmount *spare)
{
  const struct ColtHolderTeam *entry = find_team_ (holder, team);

  memset (spare, 0, sizeof *spare);
  if (entry != NULL)
    get_spare_ (entry, spare);
}

void
colt_credit_holder_get_running (const struct ColtCreditHolder *holder,
                                const char *team,
                                struct ColtQuotaAmount *running)
{
  const struct ColtHolderTeam *entry = find_team_ (holder, team);

  memset (running, 0, sizeof *running);
  if (entry == NULL)
    return;
  *running = entry->running;
  colt_quota_add (running, &entry->lost);
}

uint64_t
colt_credit_holder_epoch (const struct ColtCreditHolder *holder, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return holder->sessions[shard].epoch;
}

size_t
colt_credit_holder_count_teams (const struct ColtCreditHolder *holder)
{
  return g_hash_table_size (holder->teams);
}

void
colt_holder_mark_dirty_ (struct ColtHolderTeam *team)
{
  team->dirty = true;
  team->sent_report = 0;
}

static void
destroy_team_ (gpointer data)
{
  struct ColtHolderTeam *team = data;

  g_array_unref (team->usages);
  g_free (team);
}

static struct ColtHolderTeam *
find_team_ (const struct ColtCreditHolder *holder, const char *name)
{
  return g_hash_table_lookup (holder->teams, name);
}

static struct ColtHolderTeam *
add_team_ (struct ColtCreditHolder *holder, const char *name)
{
  struct ColtHolderTeam *team = find_team_ (holder, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct ColtHolderTeam, 1);
  g_strlcpy (team->name, name, sizeof team->name);
  team->shard = colt_team_shard (team->name);
  team->sequence = holder->sessions[team->shard].sequence_floor;
  team->usages = g_array_new (FALSE, TRUE, sizeof (struct ColtHolderUsage));
  g_hash_table_insert (holder->teams, team->name, team);
  return team;
}

static struct ColtHolderUsage *
find_usage_ (const struct ColtHolderTeam *team, uint32_t server, bool lost)
{
  size_t i;

  for (i = 0; i < team->usages->len; i++)
    {
      struct ColtHolderUsage *usage
          = &g_array_index (team->usages, struct ColtHolderUsage, i);

      if (usage->server == server && usage->lost == lost)
        return usage;
    }
  return NULL;
}

static void
add_usage_ (struct ColtHolderTeam *team,
            uint32_t server,
            const struct ColtQuotaAmount *demand)
{
  struct ColtHolderUsage *usage = find_usage_ (team, server, false);

  if (usage == NULL)
    {
      struct ColtHolderUsage fresh = { server };

      g_array_append_val (team->usages, fresh);
      usage = find_usage_ (team, server, false);
    }
  colt_quota_add (&usage->amount, demand);
  colt_quota_add (&team->running, demand);
}

static void
drop_usage_ (struct ColtHolderTeam *team, size_t index)
{
  const struct ColtHolderUsage *usage
      = &g_array_index (team->usages, struct ColtHolderUsage, index);

  colt_quota_subtract (usage->lost ? &team->lost : &team->running,
                       &usage->amount);
  g_array_remove_index_fast (team->usages, index);
  colt_holder_mark_dirty_ (team);
}

static void
update_running_changed_ (struct ColtHolderTeam *team)
{
  int64_t running = team->running.amount[COLT_QUOTA_TASKS];
  int64_t change = ABS (running - team->reported_running);

  team->running_changed = change > 0 && change >= team->reported_running / 4;
}

/* Returns spare credits beyond the waiting tasks and the reserve. */
static void
return_excess_ (struct ColtHolderTeam *team)
{
  struct ColtQuotaAmount ceiling = team->ceiling;
  struct ColtQuotaNeed keep = { team->running, team->unit, 0 };
  struct ColtQuotaAmount kept;
  int dimension;

  keep.count = MAX (COLT_CREDIT_RESERVE_TASKS,
                    team->running.amount[COLT_QUOTA_TASKS] / RESERVE_DIVISOR);
  keep.count += team->waiting;
  colt_quota_raise (&ceiling, &team->running);
  colt_quota_fill (&ceiling, &keep, 1, 0, &kept);
  if (kept.amount[COLT_QUOTA_TASKS] >= team->ceiling.amount[COLT_QUOTA_TASKS]
      || team->ceiling.amount[COLT_QUOTA_TASKS] == COLT_QUOTA_UNLIMITED)
    return;
  colt_quota_lower (&kept, &team->ceiling);
  for (dimension = 0; dimension < COLT_QUOTA_COUNT; dimension++)
    if (team->ceiling.amount[dimension] == COLT_QUOTA_UNLIMITED)
      kept.amount[dimension] = COLT_QUOTA_UNLIMITED;
  team->ceiling = kept;
  colt_holder_mark_dirty_ (team);
}

static void
get_spare_ (const struct ColtHolderTeam *team, struct ColtQuotaAmount *spare)
{
  *spare = team->ceiling;
  colt_quota_subtract (spare, &team->running);
}

static bool
check_grant_ (const struct ColtCreditHolder *holder,
              const struct ColtCreditGrant *grant,
              struct ColtError *error)
{
  const struct ColtHolderSession *session = &holder->sessions[grant->shard];

  if (grant->owner != holder->owner)
    return colt_error_set (error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
                           "the credit grant is for another owner");
  if (!colt_guard_on (COLT_GUARD_CREDIT_EPOCH))
    return true;
  if (grant->epoch < session->epoch)
    return colt_error_set (
        error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
        "the credit grant has a lower shard epoch than the session");
  if (session->ended && grant->epoch == session->epoch)
    return colt_error_set (error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
                           "the session of the credit grant has ended");
  if (grant->recount || (session->open && grant->epoch == session->epoch))
    return true;
  return colt_error_set (error, COLT_ERROR_FENCED, COLT_STEP_CHECK, NULL,
                         "the credit grant belongs to no open session");
}

static void
open_session_ (struct ColtCreditHolder *holder, uint32_t shard, uint64_t epoch)
{
  struct ColtHolderSession *session = &holder->sessions[shard];
  GHashTableIter iter;
  gpointer value;

  session->full_due = true;
  session->unacked = false;
  if (session->open && session->epoch == epoch)
    return;
  session->open = true;
  session->ended = false;
  session->epoch = epoch;
  session->sequence_floor = 0;
  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;

      if (team->shard == shard)
        team->sequence = 0;
    }
}

static void
apply_item_ (struct ColtCreditHolder *holder, const struct ColtCreditItem *item)
{
  struct ColtHolderTeam *team = add_team_ (holder, item->team);

  if (item->sequence <= team->sequence)
    return;
  team->sequence = item->sequence;
  team->ceiling = item->ceiling;
  if (team->lost_credits_report > 0
      && item->report_sequence >= team->lost_credits_report)
    memset (&team->lost_credits, 0, sizeof team->lost_credits);
  colt_quota_subtract (&team->ceiling, &team->lost_credits);
  colt_holder_mark_dirty_ (team);
}

static void
drop_settled_ (struct ColtCreditHolder *holder,
               uint32_t shard,
               const struct ColtServerEpoch *settled)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, holder->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHolderTeam *team = value;
      size_t i;

      for (i = 0; team->shard == shard && i < team->usages->len; i++)
        {
          const struct ColtHolderUsage *usage
              = &g_array_index (team->usages, struct ColtHolderUsage, i);

          if (usage->lost && usage->server == settled->server
              && usage->epoch < settled->epoch)
            drop_usage_ (team, i--);
        }
    }
}

/* Lowers the ceiling by the credits of the lost tasks, so that the spare
 * credits don't grow. */
static void
mark_usage_lost_ (struct ColtHolderTeam *team, uint32_t server, uint64_t epoch)
{
  struct ColtHolderUsage *usage = find_usage_ (team, server, false);
  struct ColtQuotaAmount spare;

  if (usage == NULL)
    return;
  get_spare_ (team, &spare);
  usage->lost = true;
  usage->epoch = epoch;
  colt_quota_subtract (&team->running, &usage->amount);
  colt_quota_add (&team->lost, &usage->amount);
  colt_quota_add (&team->lost_credits, &usage->amount);
  team->lost_credits_report = 0;
  colt_quota_add (&spare, &team->running);
  colt_quota_lower (&team->ceiling, &spare);
  colt_holder_mark_dirty_ (team);
}
