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

/* A backend server whose lease is held. */
struct ColtOwnedServer
{
  uint32_t server;
  uint64_t epoch;
  int64_t held_at;
  uint64_t sessions[COLT_SHARD_COUNT]; /* epochs of shards, 0: none */
};

/* What is kept of a shard for good. */
struct ColtPromise
{
  uint64_t epoch;
  uint64_t incarnation;  /* of the lead, 0: known from an inventory */
  int64_t heard;         /* own time that any lead echoed */
  int64_t session_heard; /* own time that the promised lead echoed */
};

/* An instance that has sent an open or a confirm. */
struct ColtHeardLead
{
  uint64_t incarnation;
  GArray *view; /* of uint32_t */
  uint64_t view_hash;
  int64_t view_at;
};

struct ColtShardOwner
{
  uint32_t instance;
  uint64_t incarnation;
  struct ColtShardTimes times;
  const struct ColtShardOwnerClient *table;
  void *client;
  uint64_t version;
  GHashTable *servers; /* by number, of struct ColtOwnedServer */
  GHashTable *leads;   /* by instance, of struct ColtHeardLead */
  struct ColtPromise promises[COLT_SHARD_COUNT];
};

static struct ColtOwnedServer *find_server_ (const struct ColtShardOwner *owner,
                                             uint32_t server);
static struct ColtOwnedServer *
find_valid_ (struct ColtShardOwner *owner, uint32_t server, int64_t now);
static void drop_lapsed_ (struct ColtShardOwner *owner, int64_t now);
static struct ColtHeardLead *hear_lead_ (struct ColtShardOwner *owner,
                                         uint32_t instance,
                                         uint64_t incarnation);
static void free_lead_ (gpointer data);
static bool may_promise_ (const struct ColtShardOwner *owner,
                          const struct ColtShardOpen *open,
                          const struct ColtShardEpoch *asked);
static void promise_ (struct ColtShardOwner *owner,
                      const struct ColtShardOpen *open,
                      const struct ColtShardEpoch *asked);
static void close_sessions_ (struct ColtShardOwner *owner, uint32_t shard);
static void open_sessions_ (struct ColtShardOwner *owner,
                            const struct ColtShardEpoch *asked,
                            struct ColtShardReports *reports);
static void collect_ (struct ColtShardOwner *owner,
                      uint32_t shard,
                      uint32_t server,
                      struct ColtShardReports *reports);
static uint64_t session_bits_ (const struct ColtShardOwner *owner,
                               const struct ColtOwnedServer *server,
                               uint32_t lead,
                               uint64_t incarnation);
static const struct ColtShardServer *
list_servers_ (const struct ColtShardOwner *owner,
               uint32_t lead,
               uint64_t incarnation,
               size_t *count);
static const struct ColtShardEpoch *
list_promises_ (const struct ColtShardOwner *owner, size_t *count);
static const uint32_t *
list_known_ (const struct ColtShardOwner *owner, int64_t now, size_t *count);
static bool take_view_ (struct ColtHeardLead *lead,
                        const struct ColtShardConfirm *confirm,
                        int64_t now);
static void take_echo_ (struct ColtShardOwner *owner,
                        const struct ColtShardConfirm *confirm,
                        int64_t now);
static bool
is_heard_ (const struct ColtShardOwner *owner, int64_t heard, int64_t now);

struct ColtShardOwner *
colt_shard_owner_create (uint32_t instance,
                         uint64_t incarnation,
                         const struct ColtShardTimes *times,
                         const struct ColtShardOwnerClient *table,
                         void *client)
{
  struct ColtShardOwner *owner = g_new0 (struct ColtShardOwner, 1);
  uint32_t shard;

  assert (instance >= 1 && instance <= INSTANCE_MAX);
  owner->instance = instance;
  owner->incarnation = incarnation;
  owner->times = *times;
  owner->table = table;
  owner->client = client;
  owner->version = 1;
  owner->servers
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  owner->leads
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, free_lead_);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      owner->promises[shard].heard = INT64_MIN / 2;
      owner->promises[shard].session_heard = INT64_MIN / 2;
    }
  return owner;
}

void
colt_shard_owner_destroy (struct ColtShardOwner *owner)
{
  if (owner == NULL)
    return;
  g_hash_table_unref (owner->servers);
  g_hash_table_unref (owner->leads);
  g_free (owner);
}

void
colt_shard_owner_server_held (struct ColtShardOwner *owner,
                              uint32_t server,
                              uint64_t epoch,
                              const struct ColtShardEpoch *epochs,
                              size_t epoch_count,
                              int64_t now)
{
  struct ColtOwnedServer *owned = g_new0 (struct ColtOwnedServer, 1);
  size_t i;

  assert (server != 0 && epoch != 0);
  owned->server = server;
  owned->epoch = epoch;
  owned->held_at = now;
  g_hash_table_replace (owner->servers, GUINT_TO_POINTER (server), owned);
  for (i = 0; i < epoch_count; i++)
    {
      const struct ColtShardEpoch *seen = &epochs[i];

      if (seen->shard >= COLT_SHARD_COUNT
          || seen->epoch <= owner->promises[seen->shard].epoch)
        continue;
      owner->promises[seen->shard].epoch = seen->epoch;
      owner->promises[seen->shard].incarnation = 0;
      owner->promises[seen->shard].session_heard = INT64_MIN / 2;
      close_sessions_ (owner, seen->shard);
      owner->table->promised (owner->client, seen->shard, seen->epoch);
    }
  owner->version++;
}

void
colt_shard_owner_server_lost (struct ColtShardOwner *owner, uint32_t server)
{
  if (g_hash_table_remove (owner->servers, GUINT_TO_POINTER (server)))
    owner->version++;
}

void
colt_shard_owner_open (struct ColtShardOwner *owner,
                       const struct ColtShardOpen *open,
                       struct ColtShardOpened *opened,
                       int64_t now)
{
  const struct ColtHeardLead *lead;
  struct ColtShardEpoch *epochs;
  struct ColtShardReports reports;
  size_t i;

  memset (opened, 0, sizeof *opened);
  drop_lapsed_ (owner, now);
  colt_shard_reports_init (&reports);
  lead = hear_lead_ (owner, open->lead, open->incarnation);
  epochs = g_new0 (struct ColtShardEpoch, open->epoch_count);
  for (i = 0; lead != NULL && i < open->epoch_count; i++)
    {
      const struct ColtShardEpoch *asked = &open->epochs[i];

      if (may_promise_ (owner, open, asked))
        {
          promise_ (owner, open, asked);
          open_sessions_ (owner, asked, &reports);
        }
      else if (owner->promises[asked->shard].epoch == asked->epoch)
        continue;
      epochs[opened->epoch_count].shard = asked->shard;
      epochs[opened->epoch_count].epoch = owner->promises[asked->shard].epoch;
      opened->epoch_count++;
    }
  opened->epochs = epochs;
  opened->owner = owner->instance;
  opened->incarnation = owner->incarnation;
  opened->round = open->round;
  opened->version = owner->version;
  opened->stamp = now;
  opened->servers = list_servers_ (owner, open->lead, open->incarnation,
                                   &opened->server_count);
  opened->known = list_known_ (owner, now, &opened->known_count);
  colt_shard_reports_finish (&reports, opened);
}

void
colt_shard_owner_confirm (struct ColtShardOwner *owner,
                          const struct ColtShardConfirm *confirm,
                          struct ColtShardConfirmed *confirmed,
                          int64_t now)
{
  struct ColtHeardLead *lead;

  memset (confirmed, 0, sizeof *confirmed);
  drop_lapsed_ (owner, now);
  lead = hear_lead_ (owner, confirm->lead, confirm->incarnation);
  confirmed->owner = owner->instance;
  confirmed->incarnation = owner->incarnation;
  confirmed->round = confirm->round;
  confirmed->version = owner->version;
  confirmed->stamp = now;
  confirmed->want_view = lead == NULL || !take_view_ (lead, confirm, now);
  confirmed->unchanged = lead != NULL
                         && confirm->owner_incarnation == owner->incarnation
                         && confirm->version == owner->version;
  if (lead != NULL)
    take_echo_ (owner, confirm, now);
  if (confirmed->unchanged)
    return;
  confirmed->servers = list_servers_ (
      owner, confirm->lead, confirm->incarnation, &confirmed->server_count);
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
  const struct ColtOwnedServer *owned = find_valid_ (owner, server, now);

  assert (shard < COLT_SHARD_COUNT);
  if (owned == NULL)
    return COLT_SHARD_NOT_HELD;
  if (owned->epoch != server_epoch && colt_guard_on (COLT_GUARD_SERVER_EPOCH))
    return COLT_SHARD_SERVER_EPOCH;
  if (shard_epoch < promise->epoch && colt_guard_on (COLT_GUARD_SHARD_PROMISE))
    return COLT_SHARD_PROMISED;
  if (!colt_guard_on (COLT_GUARD_SESSION))
    return COLT_SHARD_GOOD;
  if (owned->sessions[shard] != shard_epoch)
    return COLT_SHARD_NO_SESSION;
  if (!is_heard_ (owner, promise->session_heard, now))
    return COLT_SHARD_SILENT;
  return COLT_SHARD_GOOD;
}

bool
colt_shard_owner_may_renew (struct ColtShardOwner *owner,
                            uint32_t shard,
                            uint32_t server,
                            int64_t now)
{
  const struct ColtOwnedServer *owned = find_valid_ (owner, server, now);

  assert (shard < COLT_SHARD_COUNT);
  if (owned == NULL)
    return false;
  return is_heard_ (owner, owner->promises[shard].heard, now)
         || is_heard_ (owner, owned->held_at, now);
}

uint64_t
colt_shard_owner_promised (const struct ColtShardOwner *owner, uint32_t shard)
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

static struct ColtOwnedServer *
find_server_ (const struct ColtShardOwner *owner, uint32_t server)
{
  return g_hash_table_lookup (owner->servers, GUINT_TO_POINTER (server));
}

/* A server whose lease has run out counts as lost from then on. */
static struct ColtOwnedServer *
find_valid_ (struct ColtShardOwner *owner, uint32_t server, int64_t now)
{
  struct ColtOwnedServer *owned = find_server_ (owner, server);

  if (owned == NULL
      || owner->table->server_valid (owner->client, server, owned->epoch, now))
    return owned;
  colt_shard_owner_server_lost (owner, server);
  return NULL;
}

static void
drop_lapsed_ (struct ColtShardOwner *owner, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtOwnedServer *owned = value;

      if (owner->table->server_valid (owner->client, owned->server,
                                      owned->epoch, now))
        continue;
      g_hash_table_iter_remove (&iter);
      owner->version++;
    }
}

/* Returns NULL for a lead that has been replaced by a later one. */
static struct ColtHeardLead *
hear_lead_ (struct ColtShardOwner *owner,
            uint32_t instance,
            uint64_t incarnation)
{
  gpointer key = GUINT_TO_POINTER (instance);
  struct ColtHeardLead *lead = g_hash_table_lookup (owner->leads, key);

  if (lead != NULL && lead->incarnation > incarnation)
    return NULL;
  if (lead != NULL && lead->incarnation == incarnation)
    return lead;
  lead = g_new0 (struct ColtHeardLead, 1);
  lead->incarnation = incarnation;
  lead->view = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  g_hash_table_replace (owner->leads, key, lead);
  return lead;
}

static void
free_lead_ (gpointer data)
{
  struct ColtHeardLead *lead = data;

  g_array_unref (lead->view);
  g_free (lead);
}

static bool
may_promise_ (const struct ColtShardOwner *owner,
              const struct ColtShardOpen *open,
              const struct ColtShardEpoch *asked)
{
  const struct ColtPromise *promise = &owner->promises[asked->shard];

  if (!colt_guard_on (COLT_GUARD_SHARD_PROMISE))
    return true;
  if (asked->epoch == promise->epoch)
    return promise->incarnation == open->incarnation
           || promise->incarnation == 0;
  return asked->epoch > promise->epoch;
}

static void
promise_ (struct ColtShardOwner *owner,
          const struct ColtShardOpen *open,
          const struct ColtShardEpoch *asked)
{
  struct ColtPromise *promise = &owner->promises[asked->shard];
  bool is_new = promise->epoch != asked->epoch;

  promise->incarnation = open->incarnation;
  if (!is_new)
    return;
  promise->epoch = asked->epoch;
  promise->session_heard = INT64_MIN / 2;
  close_sessions_ (owner, asked->shard);
  owner->version++;
  owner->table->promised (owner->client, asked->shard, asked->epoch);
}

static void
close_sessions_ (struct ColtShardOwner *owner, uint32_t shard)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct ColtOwnedServer *)value)->sessions[shard] = 0;
}

static void
open_sessions_ (struct ColtShardOwner *owner,
                const struct ColtShardEpoch *asked,
                struct ColtShardReports *reports)
{
  GHashTableIter iter;
  gpointer value;

  collect_ (owner, asked->shard, 0, reports);
  g_hash_table_iter_init (&iter, owner->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtOwnedServer *owned = value;

      if (owned->sessions[asked->shard] != asked->epoch)
        owner->version++;
      owned->sessions[asked->shard] = asked->epoch;
      collect_ (owner, asked->shard, owned->server, reports);
    }
}

static void
collect_ (struct ColtShardOwner *owner,
          uint32_t shard,
          uint32_t server,
          struct ColtShardReports *reports)
{
  reports->shard = shard;
  reports->server = server;
  owner->table->collect (owner->client, shard, server, reports);
}

static uint64_t
session_bits_ (const struct ColtShardOwner *owner,
               const struct ColtOwnedServer *server,
               uint32_t lead,
               uint64_t incarnation)
{
  uint64_t bits = 0;
  uint32_t shard;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    {
      uint64_t epoch = server->sessions[shard];

      if (epoch != 0 && (epoch & INSTANCE_MAX) == lead
          && owner->promises[shard].incarnation == incarnation)
        bits |= UINT64_C (1) << shard;
    }
  return bits;
}

static const struct ColtShardServer *
list_servers_ (const struct ColtShardOwner *owner,
               uint32_t lead,
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
      const struct ColtOwnedServer *owned = value;

      list[i].server = owned->server;
      list[i].epoch = owned->epoch;
      list[i].shards = session_bits_ (owner, owned, lead, incarnation);
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
list_known_ (const struct ColtShardOwner *owner, int64_t now, size_t *count)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->leads);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtHeardLead *lead = value;

      if (now < lead->view_at + owner->times.forget_ms * COLT_US_PER_MS)
        g_array_append_vals (all, lead->view->data, lead->view->len);
    }
  colt_shard_view_sort (all);
  *count = MIN (all->len, COLT_SHARD_SERVERS_MAX);
  return (const uint32_t *)g_array_free (all, FALSE);
}

/* Returns whether the lead's view is known now. */
static bool
take_view_ (struct ColtHeardLead *lead,
            const struct ColtShardConfirm *confirm,
            int64_t now)
{
  if (confirm->view_count > 0)
    {
      g_array_set_size (lead->view, 0);
      g_array_append_vals (lead->view, confirm->view,
                           (guint)confirm->view_count);
      colt_shard_view_sort (lead->view);
      lead->view_hash = colt_shard_view_hash (lead->view);
    }
  if (lead->view_hash != confirm->view_hash)
    return false;
  lead->view_at = now;
  return true;
}

/* The lead has had an answer with this stamp, so that it stood by these shards
 * after that time. */
static void
take_echo_ (struct ColtShardOwner *owner,
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
          || (promise->epoch & INSTANCE_MAX) != confirm->lead
          || promise->incarnation != confirm->incarnation)
        continue;
      promise->heard = MAX (promise->heard, confirm->echo);
      promise->session_heard = MAX (promise->session_heard, confirm->echo);
    }
}

static bool
is_heard_ (const struct ColtShardOwner *owner, int64_t heard, int64_t now)
{
  return now < heard + owner->times.silence_ms * COLT_US_PER_MS;
}
