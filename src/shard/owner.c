#include "coltsfootstile/shard.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/guard.h"
#include "reports.h"
#include "view.h"

#define INSTANCE_MAX 65535u

const char *const colt_shard_check_string[] = { "good",         "not held",
                                                "server epoch", "promised",
                                                "no session",   "silent" };

/* A backend server whose lease the instance holds. */
struct ColtHeldServer
{
  uint32_t server;
  uint64_t epoch;
  int64_t owned_since;
  uint64_t sessions[COLT_SHARD_COUNT]; /* epoch by shard, 0: no session */
};

/* Promise for a shard, kept while the process runs. */
struct ColtPromise
{
  uint64_t epoch;
  uint64_t incarnation; /* of the leader, 0: from a server's inventory */
  int64_t last_echo;    /* newest own stamp echoed by a leader */
  int64_t session_echo; /* newest own stamp echoed in this epoch */
};

/* An instance that has sent an open or a confirm message. */
struct ColtLeaderContact
{
  uint64_t incarnation;
  GArray *view; /* server numbers, of uint32_t */
  uint64_t view_hash;
  int64_t view_at; /* when a confirm message last matched the view */
};

struct ColtShardOwner
{
  uint32_t instance;
  uint64_t incarnation;
  struct ColtShardTimes times;
  const struct ColtShardOwnerClient *callbacks;
  void *client;
  uint64_t version;
  GHashTable *servers; /* by number, of struct ColtHeldServer */
  GHashTable *leaders; /* by instance, of struct ColtLeaderContact */
  struct ColtPromise promises[COLT_SHARD_COUNT];
};

static struct ColtHeldServer *find_server_ (const struct ColtShardOwner *owner,
                                            uint32_t server);
static struct ColtHeldServer *
find_valid_server_ (struct ColtShardOwner *owner, uint32_t server, int64_t now);
static void remove_expired_servers_ (struct ColtShardOwner *owner, int64_t now);
static struct ColtLeaderContact *get_leader_ (struct ColtShardOwner *owner,
                                              uint32_t instance,
                                              uint64_t incarnation);
static void free_leader_ (gpointer data);
static bool may_promise_ (const struct ColtShardOwner *owner,
                          const struct ColtShardOpen *open,
                          const struct ColtShardEpoch *requested);
static void make_promise_ (struct ColtShardOwner *owner,
                           const struct ColtShardOpen *open,
                           const struct ColtShardEpoch *requested);
static void close_sessions_ (struct ColtShardOwner *owner, uint32_t shard);
static void open_sessions_ (struct ColtShardOwner *owner,
                            const struct ColtShardEpoch *requested,
                            struct ColtShardReports *reports);
static void collect_reports_ (struct ColtShardOwner *owner,
                              uint32_t shard,
                              uint32_t server,
                              struct ColtShardReports *reports);
static uint64_t session_bits_ (const struct ColtShardOwner *owner,
                               const struct ColtHeldServer *server,
                               uint32_t leader,
                               uint64_t incarnation);
static const struct ColtShardServer *
list_servers_ (const struct ColtShardOwner *owner,
               uint32_t leader,
               uint64_t incarnation,
               size_t *count);
static const struct ColtShardEpoch *
list_promises_ (const struct ColtShardOwner *owner, size_t *count);
static const uint32_t *list_viewed_servers_ (const struct ColtShardOwner *owner,
                                             int64_t now,
                                             size_t *count);
static bool update_view_ (struct ColtLeaderContact *leader,
                          const struct ColtShardConfirm *confirm,
                          int64_t now);
static void apply_echo_ (struct ColtShardOwner *owner,
                         const struct ColtShardConfirm *confirm,
                         int64_t now);
static bool is_within_timeout_ (const struct ColtShardOwner *owner,
                                int64_t since,
                                int64_t now);

struct ColtShardOwner *
colt_shard_owner_create (uint32_t instance,
                         uint64_t incarnation,
                         const struct ColtShardTimes *times,
                         const struct ColtShardOwnerClient *callbacks,
                         void *client)
{
  struct ColtShardOwner *owner = g_new0 (struct ColtShardOwner, 1);
  uint32_t shard;

  assert (instance >= 1 && instance <= INSTANCE_MAX);
  owner->instance = instance;
  owner->incarnation = incarnation;
  owner->times = *times;
  owner->callbacks = callbacks;
  owner->client = client;
  owner->version = 1;
  owner->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  owner->leaders = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                          free_leader_);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      owner->promises[shard].last_echo = INT64_MIN / 2;
      owner->promises[shard].session_echo = INT64_MIN / 2;
    }
  return owner;
}

void
colt_shard_owner_destroy (struct ColtShardOwner *owner)
{
  if (owner == NULL)
    return;
  g_hash_table_unref (owner->servers);
  g_hash_table_unref (owner->leaders);
  g_free (owner);
}

void
colt_shard_owner_add_server (struct ColtShardOwner *owner,
                             uint32_t server,
                             uint64_t epoch,
                             const struct ColtShardEpoch *epochs,
                             size_t epoch_count,
                             int64_t now)
{
  struct ColtHeldServer *owned = g_new0 (struct ColtHeldServer, 1);
  size_t i;

  assert (server != 0 && epoch != 0);
  owned->server = server;
  owned->epoch = epoch;
  owned->owned_since = now;
  g_hash_table_replace (owner->servers, GUINT_TO_POINTER (server), owned);
  for (i = 0; i < epoch_count; i++)
    {
      const struct ColtShardEpoch *seen = &epochs[i];

      if (seen->shard >= COLT_SHARD_COUNT
          || seen->epoch <= owner->promises[seen->shard].epoch)
        continue;
      owner->promises[seen->shard].epoch = seen->epoch;
      owner->promises[seen->shard].incarnation = 0;
      owner->promises[seen->shard].session_echo = INT64_MIN / 2;
      close_sessions_ (owner, seen->shard);
      owner->callbacks->epoch_promised (owner->client, seen->shard,
                                        seen->epoch);
    }
  owner->version++;
}

void
colt_shard_owner_remove_server (struct ColtShardOwner *owner, uint32_t server)
{
  if (g_hash_table_remove (owner->servers, GUINT_TO_POINTER (server)))
    owner->version++;
}

void
colt_shard_owner_handle_open (struct ColtShardOwner *owner,
                              const struct ColtShardOpen *open,
                              struct ColtShardOpened *opened,
                              int64_t now)
{
  const struct ColtLeaderContact *leader;
  struct ColtShardEpoch *epochs;
  struct ColtShardReports reports;
  size_t i;

  memset (opened, 0, sizeof *opened);
  remove_expired_servers_ (owner, now);
  colt_shard_reports_init (&reports);
  leader = get_leader_ (owner, open->leader, open->incarnation);
  epochs = g_new0 (struct ColtShardEpoch, open->epoch_count);
  for (i = 0; leader != NULL && i < open->epoch_count; i++)
    {
      const struct ColtShardEpoch *requested = &open->epochs[i];

      if (may_promise_ (owner, open, requested))
        {
          make_promise_ (owner, open, requested);
          open_sessions_ (owner, requested, &reports);
        }
      else if (owner->promises[requested->shard].epoch == requested->epoch)
        continue; /* promised to another incarnation: no answer */
      epochs[opened->epoch_count].shard = requested->shard;
      epochs[opened->epoch_count].epoch
          = owner->promises[requested->shard].epoch;
      opened->epoch_count++;
    }
  opened->epochs = epochs;
  opened->owner = owner->instance;
  opened->incarnation = owner->incarnation;
  opened->round = open->round;
  opened->version = owner->version;
  opened->stamp = now;
  opened->servers = list_servers_ (owner, open->leader, open->incarnation,
                                   &opened->server_count);
  opened->known = list_viewed_servers_ (owner, now, &opened->known_count);
  colt_shard_reports_finish (&reports, opened);
}

void
colt_shard_owner_handle_confirm (struct ColtShardOwner *owner,
                                 const struct ColtShardConfirm *confirm,
                                 struct ColtShardConfirmed *confirmed,
                                 int64_t now)
{
  struct ColtLeaderContact *leader;

  memset (confirmed, 0, sizeof *confirmed);
  remove_expired_servers_ (owner, now);
  leader = get_leader_ (owner, confirm->leader, confirm->incarnation);
  confirmed->owner = owner->instance;
  confirmed->incarnation = owner->incarnation;
  confirmed->round = confirm->round;
  confirmed->version = owner->version;
  confirmed->stamp = now;
  confirmed->want_view = leader == NULL || !update_view_ (leader, confirm, now);
  confirmed->unchanged = leader != NULL
                         && confirm->owner_incarnation == owner->incarnation
                         && confirm->version == owner->version;
  if (leader != NULL)
    apply_echo_ (owner, confirm, now);
  if (confirmed->unchanged)
    return;
  confirmed->servers = list_servers_ (
      owner, confirm->leader, confirm->incarnation, &confirmed->server_count);
  confirmed->epochs = list_promises_ (owner, &confirmed->epoch_count);
}

enum ColtShardCheck
colt_shard_owner_check_start (struct ColtShardOwner *owner,
                              uint32_t shard,
                              uint64_t shard_epoch,
                              uint32_t server,
                              uint64_t server_epoch,
                              int64_t now)
{
  const struct ColtPromise *promise = &owner->promises[shard];
  const struct ColtHeldServer *owned = find_valid_server_ (owner, server, now);

  assert (shard < COLT_SHARD_COUNT);
  if (owned == NULL)
    return COLT_SHARD_CHECK_NOT_HELD;
  if (owned->epoch != server_epoch && colt_guard_on (COLT_GUARD_SERVER_EPOCH))
    return COLT_SHARD_CHECK_SERVER_EPOCH;
  if (shard_epoch < promise->epoch && colt_guard_on (COLT_GUARD_SHARD_PROMISE))
    return COLT_SHARD_CHECK_SUPERSEDED;
  if (!colt_guard_on (COLT_GUARD_SESSION))
    return COLT_SHARD_CHECK_OK;
  if (owned->sessions[shard] != shard_epoch)
    return COLT_SHARD_CHECK_NO_SESSION;
  if (!is_within_timeout_ (owner, promise->session_echo, now))
    return COLT_SHARD_CHECK_UNRESPONSIVE;
  return COLT_SHARD_CHECK_OK;
}

bool
colt_shard_owner_may_renew_tasks (struct ColtShardOwner *owner,
                                  uint32_t shard,
                                  uint32_t server,
                                  int64_t now)
{
  const struct ColtHeldServer *owned = find_valid_server_ (owner, server, now);

  assert (shard < COLT_SHARD_COUNT);
  if (owned == NULL)
    return false;
  return is_within_timeout_ (owner, owner->promises[shard].last_echo, now)
         || is_within_timeout_ (owner, owned->owned_since, now);
}

uint64_t
colt_shard_owner_promised_epoch (const struct ColtShardOwner *owner,
                                 uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return owner->promises[shard].epoch;
}

size_t
colt_shard_owner_server_count (const struct ColtShardOwner *owner)
{
  return g_hash_table_size (owner->servers);
}

uint64_t
colt_shard_owner_version (const struct ColtShardOwner *owner)
{
  return owner->version;
}

static struct ColtHeldServer *
find_server_ (const struct ColtShardOwner *owner, uint32_t server)
{
  return g_hash_table_lookup (owner->servers, GUINT_TO_POINTER (server));
}

/* Returns a server or NULL; removes the server if its lease has expired. */
static struct ColtHeldServer *
find_valid_server_ (struct ColtShardOwner *owner, uint32_t server, int64_t now)
{
  struct ColtHeldServer *owned = find_server_ (owner, server);

  if (owned == NULL
      || owner->callbacks->is_server_valid (owner->client, server, owned->epoch,
                                            now))
    return owned;
  colt_shard_owner_remove_server (owner, server);
  return NULL;
}

static void
remove_expired_servers_ (struct ColtShardOwner *owner, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHeldServer *owned = value;

      if (owner->callbacks->is_server_valid (owner->client, owned->server,
                                             owned->epoch, now))
        continue;
      g_hash_table_iter_remove (&iter);
      owner->version++;
    }
}

/* Returns the record of a leader, which is created for a new incarnation, or
 * NULL for a message of an earlier incarnation. */
static struct ColtLeaderContact *
get_leader_ (struct ColtShardOwner *owner,
             uint32_t instance,
             uint64_t incarnation)
{
  gpointer key = GUINT_TO_POINTER (instance);
  struct ColtLeaderContact *leader = g_hash_table_lookup (owner->leaders, key);

  if (leader != NULL && leader->incarnation > incarnation)
    return NULL;
  if (leader != NULL && leader->incarnation == incarnation)
    return leader;
  leader = g_new0 (struct ColtLeaderContact, 1);
  leader->incarnation = incarnation;
  leader->view = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  g_hash_table_replace (owner->leaders, key, leader);
  return leader;
}

static void
free_leader_ (gpointer data)
{
  struct ColtLeaderContact *leader = data;

  g_array_unref (leader->view);
  g_free (leader);
}

static bool
may_promise_ (const struct ColtShardOwner *owner,
              const struct ColtShardOpen *open,
              const struct ColtShardEpoch *requested)
{
  const struct ColtPromise *promise = &owner->promises[requested->shard];

  if (!colt_guard_on (COLT_GUARD_SHARD_PROMISE))
    return true;
  if (requested->epoch == promise->epoch)
    return promise->incarnation == open->incarnation
           || promise->incarnation == 0;
  return requested->epoch > promise->epoch;
}

static void
make_promise_ (struct ColtShardOwner *owner,
               const struct ColtShardOpen *open,
               const struct ColtShardEpoch *requested)
{
  struct ColtPromise *promise = &owner->promises[requested->shard];
  bool is_new = promise->epoch != requested->epoch;

  promise->incarnation = open->incarnation;
  if (!is_new)
    return;
  promise->epoch = requested->epoch;
  promise->session_echo = INT64_MIN / 2;
  close_sessions_ (owner, requested->shard);
  owner->version++;
  owner->callbacks->epoch_promised (owner->client, requested->shard,
                                    requested->epoch);
}

static void
close_sessions_ (struct ColtShardOwner *owner, uint32_t shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtHeldServer *)value)->sessions[shard] = 0;
}

static void
open_sessions_ (struct ColtShardOwner *owner,
                const struct ColtShardEpoch *requested,
                struct ColtShardReports *reports)
{
  GHashTableIter iter;
  gpointer value;

  collect_reports_ (owner, requested->shard, 0, reports);
  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtHeldServer *owned = value;

      if (owned->sessions[requested->shard] != requested->epoch)
        owner->version++;
      owned->sessions[requested->shard] = requested->epoch;
      collect_reports_ (owner, requested->shard, owned->server, reports);
    }
}

static void
collect_reports_ (struct ColtShardOwner *owner,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  reports->shard = shard;
  reports->server = server;
  owner->callbacks->collect_reports (owner->client, shard, server, reports);
}

static uint64_t
session_bits_ (const struct ColtShardOwner *owner,
               const struct ColtHeldServer *server,
               uint32_t leader,
               uint64_t incarnation)
{
  uint64_t bits = 0;
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      uint64_t epoch = server->sessions[shard];

      if (epoch != 0 && (epoch & INSTANCE_MAX) == leader
          && owner->promises[shard].incarnation == incarnation)
        bits |= UINT64_C (1) << shard;
    }
  return bits;
}

static const struct ColtShardServer *
list_servers_ (const struct ColtShardOwner *owner,
               uint32_t leader,
               uint64_t incarnation,
               size_t *count)
{
  size_t length = g_hash_table_size (owner->servers);
  struct ColtShardServer *list = g_new0 (struct ColtShardServer, length);
  GHashTableIter iter;
  gpointer value;
  size_t i = 0;

  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHeldServer *owned = value;

      list[i].server = owned->server;
      list[i].epoch = owned->epoch;
      list[i].shards = session_bits_ (owner, owned, leader, incarnation);
      i++;
    }
  *count = length;
  return list;
}

static const struct ColtShardEpoch *
list_promises_ (const struct ColtShardOwner *owner, size_t *count)
{
  struct ColtShardEpoch *list
      = g_new0 (struct ColtShardEpoch, COLT_SHARD_COUNT);
  uint32_t shard;

  *count = 0;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    if (owner->promises[shard].epoch != 0)
      {
        list[*count].shard = shard;
        list[*count].epoch = owner->promises[shard].epoch;
        (*count)++;
      }
  return list;
}

static const uint32_t *
list_viewed_servers_ (const struct ColtShardOwner *owner,
                      int64_t now,
                      size_t *count)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->leaders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtLeaderContact *leader = value;

      if (now < leader->view_at + owner->times.view_timeout_ms * COLT_US_PER_MS)
        g_array_append_vals (all, leader->view->data, leader->view->len);
    }
  colt_shard_view_sort (all);
  *count = MIN (all->len, COLT_SHARD_SERVERS_MAX);
  return (const uint32_t *)g_array_free (all, FALSE);
}

/* Returns whether the stored view is the leader's current one. */
static bool
update_view_ (struct ColtLeaderContact *leader,
              const struct ColtShardConfirm *confirm,
              int64_t now)
{
  if (confirm->view_count > 0)
    {
      g_array_set_size (leader->view, 0);
      g_array_append_vals (leader->view, confirm->view,
                           (guint)confirm->view_count);
      colt_shard_view_sort (leader->view);
      leader->view_hash = colt_shard_view_hash (leader->view);
    }
  if (leader->view_hash != confirm->view_hash)
    return false;
  leader->view_at = now;
  return true;
}

/* A leader that echoes a stamp has received the answer that contains it, so it
 * still led the shards named in its message after the time of the stamp. */
static void
apply_echo_ (struct ColtShardOwner *owner,
             const struct ColtShardConfirm *confirm,
             int64_t now)
{
  uint32_t shard;

  if (confirm->owner_incarnation != owner->incarnation || confirm->echo <= 0
      || confirm->echo > now)
    return;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      struct ColtPromise *promise = &owner->promises[shard];

      if ((confirm->shards >> shard & 1) == 0
          || (promise->epoch & INSTANCE_MAX) != confirm->leader
          || promise->incarnation != confirm->incarnation)
        continue;
      promise->last_echo = MAX (promise->last_echo, confirm->echo);
      promise->session_echo = MAX (promise->session_echo, confirm->echo);
    }
}

static bool
is_within_timeout_ (const struct ColtShardOwner *owner,
                    int64_t since,
                    int64_t now)
{
  return now < since + owner->times.leader_timeout_ms * COLT_US_PER_MS;
}
