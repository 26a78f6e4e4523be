#include "instance.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/rendezvous.h"

#define MODULE "instance"

/* Time between two looks at what is due. */
#define TICK_US (50 * COLT_US_PER_MS)
/* A tick that is so late is counted and logged. */
#define STALL_US (250 * COLT_US_PER_MS)
/* Share of the grace time left to callers before duties are handed over. */
#define DRAIN_PERMILLE 500

static void set_identity_ (struct ColtInstance *instance);
static bool create_parts_ (struct ColtInstance *instance,
                           struct ColtError *error);
static bool listen_ (struct ColtInstance *instance, struct ColtError *error);
static struct ColtBackendDriver *make_backend_ (void *client,
                                                const char *address);
static bool ever_fits_ (void *client, const struct ColtResources *demand);
static void take_record_ (void *client, const struct ColtLogItem *item);
static void take_duplicate_ (void *client, const struct ColtLogItem *item);
static void take_gap_ (void *client, uint64_t expected, uint64_t first);
static void
skip_append_ (void *client, uint64_t offset, const struct ColtError *error);
static void note_stall_ (struct ColtInstance *instance, int64_t now_us);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static void step_stop_ (struct ColtInstance *instance, int64_t now_us);
static void hand_over_ (struct ColtInstance *instance);

const char *const colt_instance_state_string[]
    = { "starting", "ready", "stopping" };

static const struct ColtLogReaderHandler log_handler
    = { take_record_, take_duplicate_, take_gap_, skip_append_ };

static const struct ColtGateClient gate_client
    = { colt_instance_bundle, colt_instance_keyring,
        colt_instance_fresh,  colt_instance_lead_of,
        ever_fits_,           colt_instance_serve };

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
  instance->stalls = colt_counters_add (
      instance->counters, COLT_COUNTER_TOTAL, "instance_stalls_total",
      "Times that the event loop was held up.");
  if (!create_parts_ (instance, error) || !listen_ (instance, error))
    {
      colt_instance_destroy (instance);
      return NULL;
    }
  colt_instance_add_peers (instance);
  colt_instance_spread_members (instance);
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
  colt_log (COLT_LOG_INFO, MODULE, NULL, "stopping as planned");
  instance->stopping = true;
  instance->stop_us = colt_clock_monotonic_us ();
  colt_gate_stop (instance->gate);
}

enum ColtInstanceState
colt_instance_state (const struct ColtInstance *instance)
{
  if (instance->stopping)
    return COLT_INSTANCE_STOPPING;
  return colt_instance_bundle ((void *)instance) != NULL
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

  g_strlcpy (self.address, colt_settings_string (settings, "instance", "wire"),
             sizeof self.address);
  instance->wire
      = colt_wire_create (base, instance->number, instance->incarnation);
  colt_wire_set_peer (instance->wire, instance->number, self.address);
  instance->membership = colt_membership_create (&self);
  instance->link
      = colt_membership_link_create (base, instance->wire, instance->membership,
                                     colt_instance_member_changed, instance);
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
  owner.factory = make_backend_;
  owner.factory_client = instance;
  owner.all_leases_lost = colt_instance_limits_bare;
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
      colt_instance_take_list, instance);
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
make_backend_ (void *client, const char *address)
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
  size_t known;
  bool fits;
};

static void
consider_server_ (void *client, const struct ColtServerDigest *digest)
{
  struct ColtFitSearch *search = client;

  search->known++;
  search->fits |= colt_resources_fit (search->demand, &digest->capacity);
}

/* Says no only while every server of the zone is known. */
static bool
ever_fits_ (void *client, const struct ColtResources *demand)
{
  struct ColtInstance *instance = client;
  struct ColtFitSearch search = { demand, 0, false };

  colt_placement_visit_servers (colt_home_placement (instance->home),
                                consider_server_, &search);
  return search.fits || search.known == 0
         || search.known < colt_home_server_count (instance->home);
}

static void
take_record_ (void *client, const struct ColtLogItem *item)
{
  struct ColtInstance *instance = client;

  colt_instance_bundles_take (instance->bundles, item);
  colt_instance_limits_take (instance->limits, item);
  colt_instance_jobs_take (instance->jobs, item);
}

/* The folds judge for themselves, so that all of them see the same records. */
static void
take_duplicate_ (void *client, const struct ColtLogItem *item)
{
  struct ColtInstance *instance = client;

  colt_instance_bundles_take (instance->bundles, item);
  colt_instance_limits_take (instance->limits, item);
}

static void
take_gap_ (void *client, uint64_t expected, uint64_t first)
{
  struct ColtInstance *instance = client;

  colt_log (COLT_LOG_WARNING, MODULE, NULL,
            "the log no longer keeps offsets %" G_GUINT64_FORMAT
            " to %" G_GUINT64_FORMAT,
            expected, first - 1);
  colt_instance_bundles_gap (instance->bundles, first);
  colt_instance_limits_gap (instance->limits, first);
}

static void
skip_append_ (void *client, uint64_t offset, const struct ColtError *error)
{
  (void)client;
  (void)offset;
  colt_log_error (COLT_LOG_WARNING, MODULE, "skipping an append of the log",
                  error);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtInstance *instance = arg;
  int64_t now_us = colt_clock_monotonic_us ();

  (void)fd;
  (void)what;
  note_stall_ (instance, now_us);
  colt_instance_bundles_step (instance->bundles, now_us);
  colt_instance_limits_step (instance->limits, now_us);
  colt_instance_jobs_step (instance->jobs, now_us);
  if (instance->stopping)
    step_stop_ (instance, now_us);
}

/* The loop was held up: by a long callback, a pause or a lack of processor. */
static void
note_stall_ (struct ColtInstance *instance, int64_t now_us)
{
  int64_t late_us = now_us - instance->ticked_us - TICK_US;

  if (instance->ticked_us > 0 && late_us >= STALL_US)
    {
      colt_counters_count (instance->counters, instance->stalls, 1);
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "the event loop was held up for %d ms",
                (int)(late_us / COLT_US_PER_MS));
    }
  instance->ticked_us = now_us;
}

/* First callers get their answers, then leads and leases are handed over. */
static void
step_stop_ (struct ColtInstance *instance, int64_t now_us)
{
  int64_t grace_us
      = colt_settings_integer (instance->settings, "instance", "grace_ms")
        * COLT_US_PER_MS;
  int64_t spent_us = now_us - instance->stop_us;

  if (!instance->stopped_duties
      && (colt_gate_open_count (instance->gate) == 0
          || spent_us >= grace_us * DRAIN_PERMILLE / 1000))
    hand_over_ (instance);
  if (spent_us < grace_us
      && (!instance->stopped_duties || !colt_home_is_stopped (instance->home)
          || !colt_owner_is_stopped (instance->owner)
          || colt_gate_open_count (instance->gate) > 0))
    return;
  colt_gate_abandon (instance->gate);
  event_base_loopexit (instance->base, NULL);
}

static void
hand_over_ (struct ColtInstance *instance)
{
  uint32_t members[COLT_DIGEST_MAX];
  size_t count;

  instance->stopped_duties = true;
  colt_membership_leave (instance->membership);
  colt_membership_link_announce (instance->link);
  count = colt_membership_list_eligible (instance->membership, instance->zone,
                                         members, COLT_DIGEST_MAX);
  colt_home_stop (instance->home);
  colt_owner_stop (instance->owner, members, count);
}
