#include "instance.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/rendezvous.h"

#define MODULE "instance"

/* Interval of the timer that runs the periodic work. */
#define TICK_US (50 * COLT_US_PER_MS)
/* Lateness from which a tick is counted and logged as a stall. */
#define STALL_US (250 * COLT_US_PER_MS)
/* Part of the grace time in which open requests may end before the handover. */
#define DRAIN_PERMILLE 500

static void set_identity_ (struct ColtInstance *instance);
static bool create_parts_ (struct ColtInstance *instance,
                           struct ColtError *error);
static bool listen_ (struct ColtInstance *instance, struct ColtError *error);
static struct ColtBackendDriver *create_driver_ (void *client,
                                                 const char *address);
static bool fits_any_server_ (void *client, const struct ColtResources *demand);
static void on_record_ (void *client, const struct ColtLogItem *item);
static void on_duplicate_ (void *client, const struct ColtLogItem *item);
static void on_gap_ (void *client, uint64_t expected, uint64_t first);
static void on_skipped_append_ (void *client,
                                uint64_t offset,
                                const struct ColtError *error);
static void check_stall_ (struct ColtInstance *instance, int64_t now_us);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static void continue_stop_ (struct ColtInstance *instance, int64_t now_us);
static void begin_handover_ (struct ColtInstance *instance);

const char *const colt_instance_state_string[]
    = { "starting", "ready", "stopping" };

static const struct ColtLogReaderHandler log_handler
    = { on_record_, on_duplicate_, on_gap_, on_skipped_append_ };

static const struct ColtGateClient gate_client = { colt_instance_get_bundle,
                                                   colt_instance_get_keyring,
                                                   colt_instance_keys_are_fresh,
                                                   colt_instance_find_leader,
                                                   fits_any_server_,
                                                   colt_instance_serve };

struct ColtInstance *
colt_instance_create (struct event_base *base,
                      const struct ColtSettings *settings,
                      struct ColtError *error)
{
  struct ColtInstance *instance = g_new0 (struct ColtInstance, 1);
  const struct timeval tick = { 0, TICK_US };

  instance->base = base;
  instance->settings = settings;
  set_identity_ (instance);
  instance->counters = colt_counters_create ();
  instance->stalls = colt_counters_register (
      instance->counters, COLT_COUNTER_TOTAL, "instance_stalls_total",
      "Times that the event loop was held up.");
  if (!create_parts_ (instance, error) || !listen_ (instance, error))
    {
      colt_instance_destroy (instance);
      return NULL;
    }
  colt_instance_add_peers (instance);
  colt_instance_update_members (instance);
  colt_membership_link_start (instance->link);
  colt_list_poller_start (instance->list);
  colt_log_client_start (instance->log);
  instance->timer = event_new (base, -1, EV_PERSIST, on_timer_, instance);
  event_add (instance->timer, &tick);
  return instance;
}

void
colt_instance_destroy (struct ColtInstance *instance)
{
  if (instance == NULL)
    return;
  if (instance->timer != NULL)
    event_free (instance->timer);
  if (instance->wire != NULL)
    colt_wire_end_calls (instance->wire);
  colt_gate_destroy (instance->gate);
  colt_list_poller_destroy (instance->list);
  colt_log_client_destroy (instance->log);
  colt_wire_destroy (instance->wire);
  colt_home_destroy (instance->home);
  colt_owner_destroy (instance->owner);
  colt_instance_limits_destroy (instance->limits);
  colt_instance_jobs_destroy (instance->jobs);
  colt_instance_bundles_destroy (instance->bundles);
  colt_membership_link_destroy (instance->link);
  colt_membership_destroy (instance->membership);
  colt_counters_destroy (instance->counters);
  g_free (instance);
}

void
colt_instance_stop (struct ColtInstance *instance)
{
  if (instance->stopping)
    return;
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "planned stop begun; no new requests are accepted");
  instance->stopping = true;
  instance->stop_us = colt_clock_monotonic_us ();
  colt_gate_stop (instance->gate);
}

enum ColtInstanceState
colt_instance_state (const struct ColtInstance *instance)
{
  if (instance->stopping)
    return COLT_INSTANCE_STOPPING;
  return colt_instance_get_bundle ((void *)instance) != NULL
             ? COLT_INSTANCE_READY
             : COLT_INSTANCE_STARTING;
}

static void
set_identity_ (struct ColtInstance *instance)
{
  const struct ColtSettings *settings = instance->settings;

  instance->number
      = (uint32_t)colt_settings_integer (settings, "instance", "number");
  instance->zone
      = (uint32_t)colt_settings_integer (settings, "instance", "zone");
  instance->incarnation = (uint64_t)(colt_clock_wall_us () / COLT_US_PER_MS);
}

static bool
create_parts_ (struct ColtInstance *instance, struct ColtError *error)
{
  const struct ColtSettings *settings = instance->settings;
  struct event_base *base = instance->base;
  struct ColtMember self = { instance->number, instance->zone,
                             instance->incarnation, COLT_MEMBER_ALIVE, "" };
  struct ColtOwnerParts owner = { 0 };
  struct ColtHomeParts home = { 0 };
  struct ColtGateParts gate = { 0 };
  const struct ColtHttpLimits limits
      = colt_http_limits_read (instance->settings);

  g_strlcpy (self.address, colt_settings_string (settings, "instance", "wire"),
             sizeof self.address);
  instance->wire
      = colt_wire_create (base, instance->number, instance->incarnation);
  colt_wire_set_peer (instance->wire, instance->number, self.address);
  instance->membership = colt_membership_create (&self);
  instance->link
      = colt_membership_link_create (base, instance->wire, instance->membership,
                                     colt_instance_on_member_changed, instance);
  instance->bundles = colt_instance_bundles_create (instance, error);
  if (instance->bundles == NULL)
    return false;
  instance->jobs = colt_instance_jobs_create (instance);
  instance->limits = colt_instance_limits_create (instance);
  owner.base = base;
  owner.wire = instance->wire;
  owner.counters = instance->counters;
  owner.instance = instance->number;
  owner.incarnation = instance->incarnation;
  owner.zone = instance->zone;
  owner.factory = create_driver_;
  owner.factory_client = instance;
  owner.all_leases_lost = colt_instance_limits_reset_credits;
  owner.all_leases_lost_client = instance;
  instance->owner = colt_owner_create (&owner);
  home.base = base;
  home.wire = instance->wire;
  home.counters = instance->counters;
  home.owner = instance->owner;
  home.instance = instance->number;
  home.incarnation = instance->incarnation;
  home.zone = instance->zone;
  home.seed = instance->incarnation ^ ((uint64_t)instance->number << 48);
  instance->home
      = colt_home_create (&home, &colt_instance_home_client, instance);
  gate.base = base;
  gate.wire = instance->wire;
  gate.counters = instance->counters;
  gate.instance = instance->number;
  gate.zone = instance->zone;
  gate.limits = &limits;
  instance->gate = colt_gate_create (&gate, &gate_client, instance);
  instance->log = colt_log_client_create (
      base,
      colt_log_http_create (base,
                            colt_settings_string (settings, "platform", "log")),
      instance->number, 0, &log_handler, instance);
  instance->list = colt_list_poller_create (
      base,
      colt_list_http_create (
          base, colt_settings_string (settings, "platform", "list")),
      instance->zone,
      (uint32_t)colt_settings_integer (settings, "platform",
                                       "list_interval_ms"),
      colt_instance_handle_list, instance);
  return true;
}

static bool
listen_ (struct ColtInstance *instance, struct ColtError *error)
{
  return colt_wire_listen (
             instance->wire,
             colt_settings_string (instance->settings, "instance", "wire"),
             error)
         && colt_gate_listen (
             instance->gate,
             colt_settings_string (instance->settings, "instance", "http"),
             error);
}

static struct ColtBackendDriver *
create_driver_ (void *client, const char *address)
{
  struct ColtInstance *instance = client;

  return colt_backend_http_create (
      instance->base, address,
      (uint32_t)colt_settings_integer (instance->settings, "platform",
                                       "server_timeout_ms"));
}

struct ColtFitSearch
{
  const struct ColtResources *demand;
  size_t server_count;
  bool fits;
};

static void
check_server_ (void *client, const struct ColtServerDigest *digest)
{
  struct ColtFitSearch *search = client;

  search->server_count++;
  search->fits |= colt_resources_fit (search->demand, &digest->capacity);
}

/* Returns true also while the digest of some server of the zone is missing. */
static bool
fits_any_server_ (void *client, const struct ColtResources *demand)
{
  struct ColtInstance *instance = client;
  struct ColtFitSearch search = { demand, 0, false };

  colt_placement_visit_servers (colt_home_placement (instance->home),
                                check_server_, &search);
  return search.fits || search.server_count == 0
         || search.server_count < colt_home_server_count (instance->home);
}

static void
on_record_ (void *client, const struct ColtLogItem *item)
{
  struct ColtInstance *instance = client;

  colt_instance_bundles_apply_record (instance->bundles, item);
  colt_instance_limits_apply_record (instance->limits, item);
  colt_instance_jobs_apply_record (instance->jobs, item);
}

/* Passes duplicates on to the folds, which detect them on their own, so that
 * the folds of all instances process the same records. */
static void
on_duplicate_ (void *client, const struct ColtLogItem *item)
{
  struct ColtInstance *instance = client;

  colt_instance_bundles_apply_record (instance->bundles, item);
  colt_instance_limits_apply_record (instance->limits, item);
}

static void
on_gap_ (void *client, uint64_t expected, uint64_t first)
{
  struct ColtInstance *instance = client;

  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "skipping unread records that log retention removed: offsets "
            "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
            expected, first - 1);
  colt_instance_bundles_handle_gap (instance->bundles, first);
  colt_instance_limits_handle_gap (instance->limits, first);
}

static void
on_skipped_append_ (void *client,
                    uint64_t offset,
                    const struct ColtError *error)
{
  (void)client;
  (void)offset;
  colt_log_error (COLT_LOG_WARNING, MODULE,
                  "log append can't be decoded; skipped", error);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtInstance *instance = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  check_stall_ (instance, now_us);
  colt_instance_bundles_step (instance->bundles, now_us);
  colt_instance_limits_step (instance->limits, now_us);
  colt_instance_jobs_step (instance->jobs, now_us);
  if (instance->stopping)
    continue_stop_ (instance, now_us);
}

/* A long callback, a pause of the process or a lack of CPU time delays the
 * timer. */
static void
check_stall_ (struct ColtInstance *instance, int64_t now_us)
{
  int64_t late_us = now_us - instance->last_tick_us - TICK_US;

  if (instance->last_tick_us > 0 && late_us >= STALL_US)
    {
      colt_counters_increment (instance->counters, instance->stalls, 1);
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "event loop was blocked for %d ms",
                (int)(late_us / COLT_US_PER_MS));
    }
  instance->last_tick_us = now_us;
}

/* Open requests are answered first; then leadership and leases are handed
 * over. */
static void
continue_stop_ (struct ColtInstance *instance, int64_t now_us)
{
  int64_t grace_us
      = colt_settings_integer (instance->settings, "instance", "grace_ms")
        * COLT_US_PER_MS;
  int64_t spent_us = now_us - instance->stop_us;

  if (!instance->handover_begun
      && (colt_gate_open_count (instance->gate) == 0
          || spent_us >= grace_us * DRAIN_PERMILLE / 1000))
    begin_handover_ (instance);
  if (spent_us < grace_us
      && (!instance->handover_begun || !colt_home_is_stopped (instance->home)
          || !colt_owner_is_stopped (instance->owner)
          || colt_gate_open_count (instance->gate) > 0))
    return;
  colt_gate_abandon (instance->gate);
  event_base_loopexit (instance->base, NULL);
}

static void
begin_handover_ (struct ColtInstance *instance)
{
  uint32_t members[COLT_DIGEST_MAX];
  size_t count;

  instance->handover_begun = true;
  colt_membership_leave (instance->membership);
  colt_membership_link_announce (instance->link);
  count = colt_membership_list_eligible (instance->membership, instance->zone,
                                         members, COLT_DIGEST_MAX);
  colt_home_stop (instance->home);
  colt_owner_stop (instance->owner, members, count);
}
