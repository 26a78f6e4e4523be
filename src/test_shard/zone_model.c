#include "zone_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULT_INTERVAL_US MS (100) /* between two draws of faults */
#define VIEW_LAG_US MS (300)       /* until others see a start or a crash */
#define SETTLE_TIME_US MS (1500)   /* from a start until settled */
#define SAME_TIME_STEPS_MAX 20000
#define PPM 1000000

static void update_views_ (struct ColtZone *zone);
static bool sees_member_ (const struct ColtZoneInstance *instance,
                          const struct ColtZoneInstance *other);
static bool is_isolated_ (const struct ColtZone *zone, uint32_t instance);
static bool sees_settled_member_ (const struct ColtZoneInstance *instance);
static void free_event_ (gpointer data);
static struct ColtZoneEvent *pop_due_event_ (struct ColtZone *zone);
static int64_t next_step_time_ (const struct ColtZone *zone, int64_t until);
static void handle_event_ (struct ColtZone *zone, struct ColtZoneEvent *event);
static void inject_faults_ (struct ColtZone *zone);

struct ColtZone *
colt_zone_create (const struct ColtZonePlan *plan)
{
  struct ColtZone *zone = g_new0 (struct ColtZone, 1);
  int i;

  zone->plan = *plan;
  zone->random = g_rand_new_with_seed (plan->seed);
  zone->now = COLT_US_PER_S;
  zone->next_fault_time = zone->now;
  zone->last_incarnation = 1000;
  zone->events = g_ptr_array_new_with_free_func (free_event_);
  for (i = 1; i <= plan->servers; i++)
    zone->servers[i] = colt_zone_server_create (
        g_rand_int_range (zone->random, -plan->drift_ppm, plan->drift_ppm + 1));
  for (i = 1; i <= plan->instances; i++)
    {
      zone->instances[i].zone = zone;
      zone->instances[i].number = (uint32_t)i;
      colt_zone_boot (&zone->instances[i]);
      zone->instances[i].changed_at = -VIEW_LAG_US;
    }
  update_views_ (zone);
  return zone;
}

void
colt_zone_destroy (struct ColtZone *zone)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    if (zone->instances[i].is_alive)
      colt_zone_halt (&zone->instances[i]);
  for (i = 1; i <= zone->plan.servers; i++)
    colt_zone_server_destroy (zone->servers[i]);
  g_ptr_array_unref (zone->events);
  g_rand_free (zone->random);
  g_free (zone);
}

void
colt_zone_run (struct ColtZone *zone, int64_t ms)
{
  int64_t until = zone->now + MS (ms);
  int64_t last = zone->now;
  int steps = 0;

  while (zone->now < until)
    {
      struct ColtZoneEvent *event;
      int i;

      zone->now = next_step_time_ (zone, until);
      steps = zone->now == last ? steps + 1 : 0;
      last = zone->now;
      if (steps > SAME_TIME_STEPS_MAX)
        colt_zone_fail (zone, "too many steps at the same simulated time");
      colt_zone_check_invariants (zone);
      if (zone->now >= zone->next_fault_time)
        inject_faults_ (zone);
      event = pop_due_event_ (zone);
      if (event != NULL)
        {
          handle_event_ (zone, event);
          free_event_ (event);
        }
      for (i = 1; i <= zone->plan.instances; i++)
        colt_zone_process (&zone->instances[i]);
      colt_zone_check_invariants (zone);
    }
}

void
colt_zone_kill_instance (struct ColtZone *zone, uint32_t instance)
{
  if (zone->instances[instance].is_alive)
    colt_zone_halt (&zone->instances[instance]);
}

void
colt_zone_start_instance (struct ColtZone *zone, uint32_t instance)
{
  if (!zone->instances[instance].is_alive)
    colt_zone_boot (&zone->instances[instance]);
  update_views_ (zone);
}

void
colt_zone_pause_instance (struct ColtZone *zone, uint32_t instance, int64_t ms)
{
  zone->instances[instance].paused_until = zone->now + MS (ms);
}

void
colt_zone_isolate_instance (struct ColtZone *zone,
                            uint32_t instance,
                            int64_t ms)
{
  zone->instances[instance].isolated_until = zone->now + MS (ms);
}

void
colt_zone_stop_instance (struct ColtZone *zone, uint32_t instance)
{
  struct ColtZoneInstance *stopping = &zone->instances[instance];
  uint32_t successor = instance % (uint32_t)zone->plan.instances + 1;
  int i;

  stopping->is_stopping = true;
  update_views_ (zone);
  colt_shard_leader_stop (stopping->leader);
  for (i = 1; i <= zone->plan.servers; i++)
    colt_server_lease_stop (stopping->leases[i], successor,
                            colt_zone_local_time (stopping, zone->now));
}

void
colt_zone_kill_server (struct ColtZone *zone, uint32_t server)
{
  colt_zone_server_kill (zone->servers[server], zone->now);
}

void
colt_zone_disconnect_server (struct ColtZone *zone, uint32_t server, int64_t ms)
{
  colt_zone_server_disconnect (zone->servers[server], zone->now + MS (ms));
}

void
colt_zone_restrict_view (struct ColtZone *zone,
                         uint32_t instance,
                         bool is_restricted)
{
  zone->instances[instance].has_restricted_view = is_restricted;
  update_views_ (zone);
}

int64_t
colt_zone_now_ms (const struct ColtZone *zone)
{
  return zone->now / COLT_US_PER_MS;
}

uint32_t
colt_zone_find_holder (struct ColtZone *zone, uint32_t server)
{
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      const struct ColtZoneInstance *instance = &zone->instances[i];

      if (instance->is_alive
          && colt_server_lease_may_start (
              instance->leases[server],
              colt_zone_local_time (instance, zone->now)))
        return instance->number;
    }
  return 0;
}

uint32_t
colt_zone_latest_leader (const struct ColtZone *zone, uint32_t shard)
{
  return zone->latest_leaders[shard].instance;
}

int
colt_zone_count_led_shards (struct ColtZone *zone)
{
  uint32_t shard;
  int count = 0;
  int i;

  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    for (i = 1; i <= zone->plan.instances; i++)
      {
        const struct ColtZoneInstance *instance = &zone->instances[i];

        if (instance->is_alive && instance->leader != NULL
            && colt_shard_leader_epoch (instance->leader, shard)
                   == zone->latest_leaders[shard].epoch
            && colt_shard_leader_is_active (
                instance->leader, shard,
                colt_zone_local_time (instance, zone->now)))
          count++;
      }
  return count;
}

int64_t
colt_zone_count_starts (const struct ColtZone *zone)
{
  return zone->starts;
}

int64_t
colt_zone_count_lapsed_tasks (const struct ColtZone *zone)
{
  int64_t count = 0;
  int i;

  for (i = 1; i <= zone->plan.servers; i++)
    count += colt_zone_server_count_lapsed_tasks (zone->servers[i], zone->now);
  return count;
}

int64_t
colt_zone_count_reconciliations (const struct ColtZone *zone)
{
  return zone->reconciliations;
}

int64_t
colt_zone_count_confirm_bytes (const struct ColtZone *zone)
{
  return zone->confirm_bytes;
}

struct ColtShardLeader *
colt_zone_get_leader (struct ColtZone *zone, uint32_t instance)
{
  return zone->instances[instance].leader;
}

struct ColtShardOwner *
colt_zone_get_owner (struct ColtZone *zone, uint32_t instance)
{
  return zone->instances[instance].owner;
}

int64_t
colt_zone_local_time (const struct ColtZoneInstance *instance, int64_t now)
{
  return instance->offset + now + now * instance->ppm / PPM;
}

int64_t
colt_zone_sim_time (const struct ColtZoneInstance *instance, int64_t local)
{
  int64_t now;

  if (local == COLT_TIME_NEVER)
    return COLT_TIME_NEVER;
  now = (int64_t)((double)(local - instance->offset) * PPM
                  / (PPM + (double)instance->ppm))
        - 2;
  while (colt_zone_local_time (instance, now) < local)
    now++;
  return now;
}

bool
colt_zone_random_bool (struct ColtZone *zone, int permille)
{
  return permille > 0 && g_rand_int_range (zone->random, 0, 1000) < permille;
}

void
colt_zone_fail (const struct ColtZone *zone, const char *what)
{
  fprintf (stderr, "seed %u, %" PRId64 " us: %s\n", zone->plan.seed, zone->now,
           what);
  abort ();
}

void
colt_zone_send (struct ColtZone *zone, const struct ColtZoneEvent *event)
{
  int64_t delay = g_rand_int_range (zone->random, 200, 3000);
  const struct ColtZonePlan *plan = &zone->plan;

  if (colt_zone_random_bool (zone, plan->lost))
    return;
  if (event->kind == EVENT_PEER_MESSAGE && event->from != event->instance
      && (is_isolated_ (zone, event->from)
          || is_isolated_ (zone, event->instance)))
    return;
  if (colt_zone_random_bool (zone, plan->delayed))
    delay = g_rand_int_range (zone->random, 3000, MS (2000));
  colt_zone_schedule (zone, event, delay);
  if (colt_zone_random_bool (zone, plan->duplicated))
    colt_zone_schedule (zone, event,
                        g_rand_int_range (zone->random, 200, MS (2500)));
}

void
colt_zone_schedule (struct ColtZone *zone,
                    const struct ColtZoneEvent *event,
                    int64_t delay)
{
  struct ColtZoneEvent *copy = g_memdup2 (event, sizeof *event);

  copy->at = zone->now + delay;
  copy->order = ++zone->last_order;
  if (event->body != NULL)
    copy->body = g_memdup2 (event->body, event->size);
  if (event->answer.tasks != NULL)
    copy->answer.tasks = g_array_ref (event->answer.tasks);
  g_ptr_array_add (zone->events, copy);
}

static void
free_event_ (gpointer data)
{
  struct ColtZoneEvent *event = data;

  g_free (event->body);
  if (event->answer.tasks != NULL)
    g_array_unref (event->answer.tasks);
  g_free (event);
}

static struct ColtZoneEvent *
pop_due_event_ (struct ColtZone *zone)
{
  struct ColtZoneEvent *best = NULL;
  guint i;

  for (i = 0; i < zone->events->len; i++)
    {
      struct ColtZoneEvent *event = g_ptr_array_index (zone->events, i);

      if (event->at <= zone->now
          && (best == NULL || event->at < best->at
              || (event->at == best->at && event->order < best->order)))
        best = event;
    }
  if (best == NULL)
    return NULL;
  g_ptr_array_set_free_func (zone->events, NULL);
  g_ptr_array_remove_fast (zone->events, best);
  g_ptr_array_set_free_func (zone->events, free_event_);
  return best;
}

/* Includes the last microsecond of each lease by its holder's clock, where the
 * checks detect a holder that assumes a later end than the server does. */
static int64_t
next_step_time_ (const struct ColtZone *zone, int64_t until)
{
  int64_t next = MIN (until, zone->next_fault_time);
  guint i;
  int j;

  for (i = 0; i < zone->events->len; i++)
    {
      const struct ColtZoneEvent *event = g_ptr_array_index (zone->events, i);

      next = MIN (next, event->at);
    }
  for (i = 1; i <= (guint)zone->plan.instances; i++)
    {
      const struct ColtZoneInstance *instance = &zone->instances[i];

      next = MIN (next, colt_zone_wake_time (instance));
      for (j = 1; instance->is_alive && j <= zone->plan.servers; j++)
        {
          int64_t end = colt_server_lease_end (instance->leases[j]);
          int64_t last = end > 0 ? colt_zone_sim_time (instance, end) - 1 : 0;

          if (last > zone->now)
            next = MIN (next, last);
        }
    }
  return MAX (next, zone->now);
}

static void
handle_event_ (struct ColtZone *zone, struct ColtZoneEvent *event)
{
  struct ColtZoneInstance *instance = &zone->instances[event->instance];

  if (event->kind == EVENT_RESTART)
    {
      colt_zone_start_instance (zone, event->instance);
      return;
    }
  if (event->kind == EVENT_RESTORE_VIEW)
    {
      instance->has_restricted_view = false;
      update_views_ (zone);
      return;
    }
  if (event->kind == EVENT_TO_SERVER)
    {
      struct ColtZoneServerModel *server = zone->servers[event->call.server];

      if (!colt_zone_server_call (server, zone->now, &event->call,
                                  &event->answer))
        return;
      if (event->answer.accepted != NULL)
        colt_zone_check_accepted_start (zone, event->answer.accepted);
      zone->starts += event->answer.accepted != NULL;
      event->kind = EVENT_FROM_SERVER;
      colt_zone_send (zone, event);
      return;
    }
  if (!instance->is_alive
      || (event->incarnation != 0
          && event->incarnation != instance->incarnation))
    return;
  if (instance->paused_until > zone->now)
    {
      colt_zone_schedule (zone, event, instance->paused_until - zone->now);
      return;
    }
  if (event->kind == EVENT_FROM_SERVER)
    colt_zone_handle_answer (instance, event);
  else if (event->kind == EVENT_CALL_TIMEOUT)
    colt_server_lease_handle_failure (
        instance->leases[event->call.server], event->call.number,
        colt_zone_local_time (instance, zone->now));
  else
    colt_zone_handle_message (instance, event);
}

static void
inject_faults_ (struct ColtZone *zone)
{
  int survivor = g_rand_int_range (zone->random, 0, zone->plan.instances + 1);
  bool is_mass_crash = colt_zone_random_bool (zone, zone->plan.mass_crashes);
  int i;

  zone->next_fault_time = zone->now + FAULT_INTERVAL_US;
  for (i = 1; i <= zone->plan.instances; i++)
    {
      struct ColtZoneInstance *instance = &zone->instances[i];
      struct ColtZoneEvent event = { 0 };

      event.instance = instance->number;
      if (colt_zone_random_bool (zone, 100))
        instance->lists_last_server = true;
      if (!instance->is_alive)
        continue;
      if ((is_mass_crash && i != survivor)
          || colt_zone_random_bool (zone, zone->plan.crashes))
        {
          colt_zone_kill_instance (zone, instance->number);
          event.kind = EVENT_RESTART;
          colt_zone_schedule (
              zone, &event,
              g_rand_int_range (zone->random, MS (50), MS (1500)));
        }
      else if (colt_zone_random_bool (zone, zone->plan.pauses))
        colt_zone_pause_instance (zone, instance->number,
                                  g_rand_int_range (zone->random, 20, 1500));
      else if (colt_zone_random_bool (zone, zone->plan.isolations))
        colt_zone_isolate_instance (zone, instance->number,
                                    g_rand_int_range (zone->random, 200, 5000));
      else if (colt_zone_random_bool (zone, zone->plan.restricted_views))
        {
          instance->has_restricted_view = true;
          event.kind = EVENT_RESTORE_VIEW;
          colt_zone_schedule (
              zone, &event,
              g_rand_int_range (zone->random, MS (300), MS (2000)));
        }
    }
  for (i = 1; i <= zone->plan.servers; i++)
    if (colt_zone_random_bool (zone, zone->plan.server_crashes))
      colt_zone_kill_server (zone, (uint32_t)i);
  update_views_ (zone);
}

/* Passes each instance its view of members and servers. Other instances appear
 * and disappear in a view VIEW_LAG_US after their start or crash; a stopping
 * instance disappears immediately. */
static void
update_views_ (struct ColtZone *zone)
{
  uint32_t members[COLT_ZONE_INSTANCES];
  uint32_t servers[COLT_ZONE_SERVERS];
  size_t count;
  int i;
  int j;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      struct ColtZoneInstance *instance = &zone->instances[i];
      int64_t now = colt_zone_local_time (instance, zone->now);

      if (!instance->is_alive || instance->paused_until > zone->now)
        continue;
      count = 0;
      for (j = 1; j <= zone->plan.instances; j++)
        {
          const struct ColtZoneInstance *other = &zone->instances[j];

          if (sees_member_ (instance, other))
            members[count++] = other->number;
        }
      for (j = 0; j < zone->plan.servers; j++)
        {
          servers[j] = (uint32_t)j + 1;
          colt_server_lease_set_members (instance->leases[j + 1], members,
                                         count, now);
        }
      if (instance->leader == NULL)
        continue;
      instance->lists_last_server |= !sees_settled_member_ (instance);
      colt_shard_leader_set_servers (
          instance->leader, servers,
          (size_t)zone->plan.servers - (instance->lists_last_server ? 0 : 1),
          now);
      colt_shard_leader_set_members (instance->leader, members, count, now);
    }
}

static bool
sees_member_ (const struct ColtZoneInstance *instance,
              const struct ColtZoneInstance *other)
{
  int64_t seen_at = other->changed_at + VIEW_LAG_US;

  if (other->is_stopping)
    return false;
  if (instance == other)
    return true;
  return !instance->has_restricted_view
         && !is_isolated_ (instance->zone, instance->number)
         && !is_isolated_ (instance->zone, other->number)
         && other->is_alive == (instance->zone->now >= seen_at);
}

static bool
is_isolated_ (const struct ColtZone *zone, uint32_t instance)
{
  return zone->instances[instance].isolated_until > zone->now;
}

/* Returns whether an instance sees another one that has run for SETTLE_TIME_US
 * and is not paused. Only then may its server list lack a server: the answers
 * of owners list the servers in the views of other leaders, which makes up for
 * the gap. */
static bool
sees_settled_member_ (const struct ColtZoneInstance *instance)
{
  const struct ColtZone *zone = instance->zone;
  int i;

  for (i = 1; i <= zone->plan.instances; i++)
    {
      const struct ColtZoneInstance *other = &zone->instances[i];

      if (other != instance && other->is_alive
          && other->paused_until <= zone->now && sees_member_ (instance, other)
          && zone->now >= other->changed_at + SETTLE_TIME_US)
        return true;
    }
  return false;
}
