#include "coltsfootstile/home.h"

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Reconciliation stops waiting for a server that has had no owner for this
 * long, in milliseconds. */
#define PARTIAL_MS 4000
/* Period of the timer for due work, in microseconds. */
#define TICK_US (20 * COLT_US_PER_MS)

static void add_counters_ (struct ColtHome *home);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static void on_leader_timer_ (evutil_socket_t fd, short what, void *arg);

struct ColtHome *
colt_home_create (const struct ColtHomeParts *parts,
                  const struct ColtHomeClient *calls,
                  void *client)
{
  struct ColtHome *home = g_new0 (struct ColtHome, 1);
  const struct timeval tick = { 0, TICK_US };
  struct ColtShardTimes times;
  unsigned shard;

  home->parts = *parts;
  home->calls = calls;
  home->client = client;
  colt_shard_times_default (&times);
  times.partial_ms = PARTIAL_MS;
  home->shard_leader
      = colt_shard_leader_create (parts->instance, parts->incarnation, &times,
                                  &colt_home_shard_client, home);
  home->requests = colt_requests_create (&colt_home_request_calls, home);
  home->placement = colt_placement_create (parts->seed);
  home->random = g_rand_new_with_seed ((guint32)parts->seed);
  home->team_usage
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  home->queue_waiting
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  home->queue_bounds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  home->retry_budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  home->retry_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_pending_reports_init (&home->pending_reports[shard]);
  home->rejected = g_array_new (FALSE, FALSE, sizeof (struct ColtRejected));
  g_queue_init (&home->unproved_answers);
  g_queue_init (&home->unproved_replies);
  g_queue_init (&home->local_calls);
  home->server_known_since = g_hash_table_new (g_direct_hash, g_direct_equal);
  add_counters_ (home);
  colt_home_set_shard_handlers (home);
  colt_home_set_submit_handlers (home);
  colt_home_set_place_handlers (home);
  home->timer = event_new (parts->base, -1, EV_PERSIST, on_timer_, home);
  home->leader_timer = evtimer_new (parts->base, on_leader_timer_, home);
  event_add (home->timer, &tick);
  colt_home_arm_leader_timer (home);
  return home;
}

void
colt_home_destroy (struct ColtHome *home)
{
  unsigned shard;

  if (home == NULL)
    return;
  event_free (home->timer);
  event_free (home->leader_timer);
  event_free (home->dispatch_timer);
  colt_home_drop_local_calls (home);
  colt_requests_destroy (home->requests);
  colt_placement_destroy (home->placement);
  colt_shard_leader_destroy (home->shard_leader);
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_pending_reports_clear (&home->pending_reports[shard]);
  g_array_unref (home->rejected);
  g_queue_clear_full (&home->unproved_answers, g_free);
  g_queue_clear_full (&home->unproved_replies, g_free);
  g_hash_table_unref (home->server_known_since);
  g_free (home->servers);
  g_hash_table_unref (home->team_usage);
  g_hash_table_unref (home->queue_waiting);
  g_hash_table_unref (home->queue_bounds);
  g_free (home->members);
  g_hash_table_unref (home->retry_budgets);
  g_hash_table_unref (home->retry_rates);
  g_rand_free (home->random);
  g_free (home);
}

void
colt_home_set_members (struct ColtHome *home,
                       const uint32_t *members,
                       size_t count)
{
  if (home->stopping)
    return;
  g_free (home->members);
  home->members = g_memdup2 (members, count * sizeof *members);
  home->member_count = count;
  colt_shard_leader_set_members (home->shard_leader, members, count,
                                 colt_clock_monotonic_us ());
  colt_home_arm_leader_timer (home);
}

void
colt_home_set_servers (struct ColtHome *home,
                       const uint32_t *servers,
                       size_t count)
{
  g_free (home->servers);
  home->servers = g_memdup2 (servers, count * sizeof *servers);
  home->server_count = count;
  colt_shard_leader_set_servers (home->shard_leader, servers, count,
                                 colt_clock_monotonic_us ());
  colt_home_arm_leader_timer (home);
}

size_t
colt_home_server_count (const struct ColtHome *home)
{
  return home->server_count;
}

void
colt_home_set_bundle (struct ColtHome *home, const struct ColtBundle *bundle)
{
  colt_placement_set_bundle (home->placement, bundle);
  colt_home_set_retry_rates (home, bundle);
  colt_home_set_queue_bounds (home, bundle);
}

void
colt_home_stop (struct ColtHome *home)
{
  home->stopping = true;
  colt_shard_leader_stop (home->shard_leader);
}

bool
colt_home_is_stopped (const struct ColtHome *home)
{
  return home->stopping && home->open_answers == 0;
}

const struct ColtRequests *
colt_home_requests (const struct ColtHome *home)
{
  return home->requests;
}

const struct ColtShardLeader *
colt_home_shards (const struct ColtHome *home)
{
  return home->shard_leader;
}

const struct ColtPlacement *
colt_home_placement (const struct ColtHome *home)
{
  return home->placement;
}

static void
add_counters_ (struct ColtHome *home)
{
  struct ColtCounters *counters = home->parts.counters;
  struct ColtHomeCounters *handles = &home->counters;

  handles->accepted = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_accepted_total", "Requests taken.");
  handles->refused = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_refused_total", "Requests refused.");
  handles->starts_sent
      = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                "home_placed_total", "Starts sent to owners.");
  handles->starts_refused = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_bounced_total",
      "Starts that owners refused.");
  handles->answered = colt_counters_register (counters, COLT_COUNTER_TOTAL,
                                              "home_answered_total",
                                              "Answers sent to gates.");
  handles->shards_won = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_shards_won_total",
      "Times that a shard's recount was completed.");
  handles->shards_lost = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_shards_lost_total",
      "Times that a shard was given up.");
  handles->queries = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_queries_total",
      "Questions about attempts in doubt.");
  handles->requests_started = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_started_total",
      "Requests whose first task has started.");
  handles->wait_ms = colt_counters_register (
      counters, COLT_COUNTER_TOTAL, "home_wait_ms_total",
      "Time until the first start, in milliseconds.");
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtHome *home = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  colt_requests_run_timers (home->requests, now_us);
  colt_home_complete_histories (home);
  colt_home_update_usage (home, now_us);
  colt_home_query_attempts (home, now_us);
  colt_home_send_proved_answers (home, now_us);
  colt_home_send_proved_replies (home, now_us);
  if (colt_placement_waiting_count (home->placement) > 0
      || home->rejected->len > 0)
    colt_home_dispatch (home);
}

static void
on_leader_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtHome *home = arg;

  (void)fd;
  (void)what;
  colt_shard_leader_process (home->shard_leader, colt_clock_monotonic_us ());
  colt_home_arm_leader_timer (home);
}
