#include "coltsfootstile/owner.h"

#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/rendezvous.h"
#include "owner_private.h"

/* Interval between two checks for due digests, resends and timeouts. */
#define TIMER_INTERVAL_US (50 * COLT_US_PER_MS)
/* Interval between two digests of all servers; those in between contain only
 * the servers that have changed. */
#define FULL_DIGEST_INTERVAL_US (2 * COLT_US_PER_S)
/* Interval between two removals of old records of ended tasks. */
#define EXPIRY_INTERVAL_US (5 * COLT_US_PER_S)

static void add_counters_ (struct ColtOwner *owner);
static gint compare_ids_ (gconstpointer a, gconstpointer b, gpointer data);
static void free_server_ (gpointer data);
static bool may_start_on_server_ (void *client,
                                  uint32_t server,
                                  uint64_t epoch,
                                  int64_t now);
static void collect_reports_ (void *client,
                              uint32_t shard,
                              uint32_t server,
                              struct ColtShardReports *reports);
static void end_credit_session_ (void *client, uint32_t shard, uint64_t epoch);
static void run_periodic_work_ (evutil_socket_t fd, short what, void *arg);
static gboolean mark_unlisted_ (gpointer key, gpointer value, gpointer data);
static gboolean collect_unlisted_ (gpointer key, gpointer value, gpointer data);
static gboolean
set_lease_members_ (gpointer key, gpointer value, gpointer data);
static gboolean stop_server_ (gpointer key, gpointer value, gpointer data);
static gboolean count_held_ (gpointer key, gpointer value, gpointer data);

const char *const colt_owner_task_state_string[]
    = { "queued", "sent", "unsure", "running", "ended", "never" };

static const struct ColtShardOwnerClient shard_client
    = { may_start_on_server_, collect_reports_, end_credit_session_ };

struct ColtServerVisit
{
  void (*visit) (void *client, const struct ColtOwnedServerInfo *info);
  void *client;
};

/* Instances among which the next owner of each server is chosen. */
struct ColtHandover
{
  const uint32_t *candidates;
  size_t count;
  int64_t now_us;
};

struct ColtOwner *
colt_owner_create (const struct ColtOwnerParts *parts)
{
  struct ColtOwner *owner = g_new0 (struct ColtOwner, 1);
  const struct timeval tick = { 0, TIMER_INTERVAL_US };
  struct ColtShardTimes times;

  owner->parts = *parts;
  colt_shard_times_default (&times);
  owner->shard_owner = colt_shard_owner_create (
      parts->instance, parts->incarnation, &times, &shard_client, owner);
  owner->tasks = colt_owner_tasks_create ();
  owner->servers = g_tree_new_full (compare_ids_, NULL, NULL, free_server_);
  owner->homes = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                        colt_home_link_free);
  g_queue_init (&owner->credit_waiters);
  owner->lost_servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  add_counters_ (owner);
  colt_owner_set_handlers (owner);
  owner->timer
      = event_new (parts->base, -1, EV_PERSIST, run_periodic_work_, owner);
  event_add (owner->timer, &tick);
  return owner;
}

void
colt_owner_destroy (struct ColtOwner *owner)
{
  if (owner == NULL)
    return;
  event_free (owner->timer);
  g_tree_unref (owner->servers);
  g_hash_table_unref (owner->homes);
  g_queue_clear (&owner->credit_waiters);
  colt_owner_tasks_destroy (owner->tasks);
  colt_shard_owner_destroy (owner->shard_owner);
  g_array_unref (owner->lost_servers);
  g_free (owner);
}

void
colt_owner_set_credits (struct ColtOwner *owner,
                        struct ColtCreditHolder *credits)
{
  owner->credits = credits;
}

void
colt_owner_set_servers (struct ColtOwner *owner,
                        const struct ColtListServer *servers,
                        size_t count)
{
  GPtrArray *unlisted = g_ptr_array_new ();
  size_t i;
  guint u;

  g_tree_foreach (owner->servers, mark_unlisted_, NULL);
  for (i = 0; i < count; i++)
    {
      struct ColtOwnedServer *server;

      if (servers[i].zone != owner->parts.zone)
        continue;
      server = g_tree_lookup (owner->servers, GUINT_TO_POINTER (servers[i].id));
      if (server == NULL)
        {
          server = colt_owned_server_create (owner, &servers[i]);
          g_tree_insert (owner->servers, GUINT_TO_POINTER (servers[i].id),
                         server);
          colt_server_lease_set_members (server->lease, owner->members,
                                         owner->member_count,
                                         colt_clock_monotonic_us ());
          colt_owned_server_arm_timer (server);
        }
      server->listed = true;
      if (servers[i].state == COLT_LIST_LEAVING && !server->leaving)
        {
          server->leaving = true;
          server->digest_due = true;
        }
    }
  g_tree_foreach (owner->servers, collect_unlisted_, unlisted);
  for (u = 0; u < unlisted->len; u++)
    g_tree_remove (owner->servers, g_ptr_array_index (unlisted, u));
  g_ptr_array_unref (unlisted);
}

void
colt_owner_set_members (struct ColtOwner *owner,
                        const uint32_t *members,
                        size_t count)
{
  owner->member_count = MIN (count, G_N_ELEMENTS (owner->members));
  memcpy (owner->members, members, owner->member_count * sizeof *members);
  if (!owner->stopping)
    g_tree_foreach (owner->servers, set_lease_members_, owner);
}

struct ColtShardOwner *
colt_owner_shards (struct ColtOwner *owner)
{
  return owner->shard_owner;
}

void
colt_owner_set_leader (struct ColtOwner *owner,
                       uint32_t shard,
                       uint32_t instance)
{
  owner->leaders[shard] = instance;
}

void
colt_owner_handle_hint (struct ColtOwner *owner,
                        uint32_t server,
                        uint64_t epoch)
{
  struct ColtOwnedServer *found
      = g_tree_lookup (owner->servers, GUINT_TO_POINTER (server));

  if (found == NULL)
    return;
  colt_server_lease_handle_hint (found->lease, epoch,
                                 colt_clock_monotonic_us ());
  colt_owned_server_arm_timer (found);
}

void
colt_owner_stop (struct ColtOwner *owner,
                 const uint32_t *candidates,
                 size_t candidate_count)
{
  struct ColtHandover handover
      = { candidates, candidate_count, colt_clock_monotonic_us () };

  owner->stopping = true;
  g_tree_foreach (owner->servers, stop_server_, &handover);
}

bool
colt_owner_is_stopped (const struct ColtOwner *owner)
{
  size_t held = 0;

  g_tree_foreach (owner->servers, count_held_, &held);
  return held == 0 && colt_owner_count_pending_events (owner) == 0;
}

static gboolean
visit_server_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtOwnedServer *server = value;
  const struct ColtServerVisit *visit = data;
  struct ColtOwnedServerInfo info = { 0 };

  (void)key;
  info.server = server->id;
  info.address = server->address;
  info.rack = server->rack;
  info.state = colt_server_lease_state (server->lease);
  info.epoch = colt_server_lease_epoch (server->lease);
  info.lease_end_us = colt_server_lease_end (server->lease);
  info.holder = colt_server_lease_holder (server->lease);
  info.capacity = server->capacity;
  info.free = colt_owned_server_available (server);
  info.leaving = server->leaving;
  info.running = server->running;
  info.queued = g_queue_get_length ((GQueue *)&server->queue);
  info.probation_permille = colt_owned_server_probation_permille (
      server, colt_clock_monotonic_us ());
  info.speed_permille = server->speed_permille;
  info.failures = server->failures;
  visit->visit (visit->client, &info);
  return FALSE;
}

void
colt_owner_visit_servers (
    const struct ColtOwner *owner,
    void (*visit) (void *client, const struct ColtOwnedServerInfo *info),
    void *client)
{
  struct ColtServerVisit context = { visit, client };

  g_tree_foreach (owner->servers, visit_server_, &context);
}

struct ColtLeaseCheck
{
  int64_t now_us;
  bool any;
};

static gboolean
check_lease_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtOwnedServer *server = value;
  struct ColtLeaseCheck *check = data;

  (void)key;
  check->any = colt_server_lease_is_valid (server->lease, check->now_us);
  return check->any;
}

bool
colt_owner_holds_any_lease (const struct ColtOwner *owner, int64_t now_us)
{
  struct ColtLeaseCheck check = { now_us, false };

  g_tree_foreach (owner->servers, check_lease_, &check);
  return check.any;
}

static void
add_counters_ (struct ColtOwner *owner)
{
  struct ColtCounters *counters = owner->parts.counters;
  struct ColtOwnerCounters *handles = &owner->counters;

  handles->accepted = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                              "owner_accepted_total",
                                              "Starts taken over from homes.");
  handles->refused = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                             "owner_refused_total",
                                             "Starts refused; they never ran.");
  handles->started = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "owner_started_total",
      "Tasks started on backend servers.");
  handles->ended = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                           "owner_ended_total",
                                           "Tasks whose end was seen.");
  handles->failed = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "owner_failed_total", "Tasks that failed.");
  handles->fenced = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "owner_fenced_total",
      "Starts outside a session or of an old epoch.");
  handles->unconfirmed = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "owner_unsure_total",
      "Starts whose answer was lost.");
  handles->takeovers = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "owner_leases_taken_total",
      "Leases on backend servers taken.");
  handles->lost = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                          "owner_leases_ended_total",
                                          "Leases on backend servers ended.");
}

static gint
compare_ids_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint first = GPOINTER_TO_UINT (a);
  guint second = GPOINTER_TO_UINT (b);

  (void)data;
  return (first > second) - (first < second);
}

static void
free_server_ (gpointer data)
{
  colt_owned_server_destroy (data);
}

static bool
may_start_on_server_ (void *client,
                      uint32_t server,
                      uint64_t epoch,
                      int64_t now)
{
  struct ColtOwner *owner = client;
  const struct ColtOwnedServer *found
      = g_tree_lookup (owner->servers, GUINT_TO_POINTER (server));

  return found != NULL && colt_server_lease_epoch (found->lease) == epoch
         && colt_server_lease_may_start (found->lease, now);
}

static void
collect_reports_ (void *client,
                  uint32_t shard,
                  uint32_t server,
                  struct ColtShardReports *reports)
{
  struct ColtOwner *owner = client;
  const struct ColtOwnedServer *found
      = g_tree_lookup (owner->servers, GUINT_TO_POINTER (server));
  const GList *link;

  if (found == NULL)
    return;
  for (link = found->shards[shard].head; link != NULL; link = link->next)
    {
      const struct ColtOwnerTask *task = link->data;
      struct ColtTaskReport report;

      if (task->state == COLT_OWNER_TASK_NOT_RUN)
        continue;
      colt_owner_task_fill_report (owner->tasks, task, &report);
      colt_shard_reports_add_task (reports, &report);
    }
}

/* Credits of lower epochs are void once a higher epoch is promised. */
static void
end_credit_session_ (void *client, uint32_t shard, uint64_t epoch)
{
  struct ColtOwner *owner = client;

  (void)epoch;
  if (owner->credits != NULL)
    colt_credit_holder_end_session (owner->credits, shard);
}

static void
run_periodic_work_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtOwner *owner = arg;
  int64_t now_us = colt_clock_monotonic_us ();
  bool full = now_us >= owner->next_digest_us;

  (void)fd;
  (void)what;
  if (full)
    owner->next_digest_us = now_us + FULL_DIGEST_INTERVAL_US;
  colt_owner_expire_credit_waits (owner, now_us);
  colt_owner_send_digest (owner, now_us, full);
  colt_owner_resend_events (owner, now_us);
  if (now_us < owner->next_expiry_us)
    return;
  owner->next_expiry_us = now_us + EXPIRY_INTERVAL_US;
  colt_owner_tasks_expire (
      owner->tasks, now_us - COLT_OWNER_TASK_RETENTION_S * COLT_US_PER_S);
}

static gboolean
mark_unlisted_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtOwnedServer *server = value;

  (void)key;
  (void)data;
  server->listed = false;
  return FALSE;
}

/* Collects the servers missing from the list whose lease has ended and that
 * have no open call. Other missing servers accept no new tasks. */
static gboolean
collect_unlisted_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtOwnedServer *server = value;
  enum ColtLeaseState state = colt_server_lease_state (server->lease);

  if (server->listed)
    return FALSE;
  server->leaving = true;
  server->digest_due = true;
  if (state == COLT_LEASE_NONE && server->events_call == 0
      && server->change == NULL && !server->describe_open)
    g_ptr_array_add (data, key);
  return FALSE;
}

static gboolean
set_lease_members_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtOwnedServer *server = value;
  struct ColtOwner *owner = data;

  (void)key;
  colt_server_lease_set_members (server->lease, owner->members,
                                 owner->member_count,
                                 colt_clock_monotonic_us ());
  colt_owned_server_arm_timer (server);
  return FALSE;
}

static gboolean
stop_server_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtOwnedServer *server = value;
  const struct ColtHandover *handover = data;
  uint32_t successor = colt_rendezvous_choose (
      colt_rendezvous_key (COLT_RENDEZVOUS_SERVER, server->id),
      handover->candidates, handover->count);

  (void)key;
  colt_server_lease_stop (server->lease, successor, handover->now_us);
  colt_owned_server_arm_timer (server);
  return FALSE;
}

static gboolean
count_held_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtOwnedServer *server = value;
  enum ColtLeaseState state = colt_server_lease_state (server->lease);
  size_t *held = data;

  (void)key;
  if (state != COLT_LEASE_NONE && state != COLT_LEASE_LAPSED)
    (*held)++;
  return FALSE;
}
