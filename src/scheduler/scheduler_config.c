#include <arpa/inet.h>
#include <string.h>

#include "scheduler_state.h"

/* A version that another instance has is fetched from it unless the log brings
 * it in this time. */
#define FETCH_AFTER_US (400 * COLT_US_PER_MS)
/* Space for a packed notice. */
#define NOTICE_BYTES 16
#define MODULE "scheduler"

static bool is_superseded_ (const struct ColtScheduler *scheduler,
                            const struct ColtLogRecord *record);
static struct ColtFleet *decode_ (const struct ColtScheduler *scheduler,
                                  const struct ColtLogRecord *record);
static void apply_ (struct ColtScheduler *scheduler,
                    struct ColtFleet *fleet,
                    struct ColtConfigCopy *copy,
                    const char *source);
static void fetch_if_behind_ (struct ColtScheduler *scheduler);
static void
handle_copy_ (void *client, struct ColtConfigCopy *copy, uint32_t instance);
static void
handle_fetch_failed_ (void *client, uint32_t instance, const char *reason);
static void handle_config_call_ (void *client,
                                 const struct ColtWireOrigin *origin,
                                 const uint8_t *body,
                                 size_t size);
static void handle_notice_ (void *client,
                            const struct ColtWireOrigin *origin,
                            const uint8_t *body,
                            size_t size);
static void format_instance_ (uint32_t instance, char *text, size_t size);
static void log_config_ (const struct ColtScheduler *scheduler,
                         const struct ColtFleet *fleet,
                         const struct ColtConfigCopy *copy,
                         const char *source,
                         int64_t behind_us);
static void log_late_ (const struct ColtScheduler *scheduler, int64_t now_us);
static const char *why_late_ (const struct ColtScheduler *scheduler);
static int64_t read_age_ms_ (const struct ColtScheduler *scheduler,
                             int64_t now_us);

void
colt_scheduler_handle_config_record (void *client,
                                     const struct ColtLogRecord *record)
{
  struct ColtScheduler *scheduler = client;
  struct ColtFleet *fleet;

  if (colt_scheduler_apply_evacuation (scheduler, record)
      || record->value == NULL || is_superseded_ (scheduler, record))
    return;
  fleet = decode_ (scheduler, record);
  if (fleet != NULL)
    apply_ (scheduler, fleet, colt_config_copy_create (fleet->version, record),
            "log");
}

int64_t
colt_scheduler_config_version (const struct ColtScheduler *scheduler)
{
  return scheduler->fleet != NULL ? scheduler->fleet->version : 0;
}

bool
colt_scheduler_is_config_outdated (const struct ColtScheduler *scheduler)
{
  return scheduler->isolation.isolated
         || colt_config_lag_behind_us (&scheduler->config_lag,
                                       colt_clock_monotonic_us ())
                > 0;
}

void
colt_scheduler_note_config (struct ColtScheduler *scheduler,
                            int64_t version,
                            uint32_t instance)
{
  colt_config_lag_note (&scheduler->config_lag, version,
                        colt_clock_monotonic_us ());
  if (version > colt_scheduler_config_version (scheduler) && instance != 0)
    scheduler->config_source = instance;
  fetch_if_behind_ (scheduler);
}

uint32_t
colt_scheduler_refer_config (struct ColtScheduler *scheduler,
                             uint32_t requester,
                             int64_t version)
{
  int64_t now_us = colt_clock_monotonic_us ();
  const struct ColtMemberBeat own
      = { .instance = COLT_MEMBERS_SELF,
          .strength = scheduler->settings.strength,
          .config_version = colt_scheduler_config_version (scheduler) };
  uint32_t instance;

  if (version >= scheduler->config_lag.newest)
    return 0;
  colt_members_update (scheduler->members, &own, now_us);
  instance = colt_members_refer_config (
      scheduler->members, scheduler->config_lag.newest, requester, now_us);
  return instance != COLT_MEMBERS_SELF ? instance : scheduler->instance;
}

void
colt_scheduler_accept_config_calls (struct ColtScheduler *scheduler)
{
  const struct ColtConfigFetchClient client
      = { handle_copy_, handle_fetch_failed_, scheduler };

  scheduler->config_fetch = colt_config_fetch_create (scheduler->wire, &client);
  colt_wire_set_handler (scheduler->wire, MESSAGE_CONFIG, handle_config_call_,
                         scheduler);
  colt_wire_set_handler (scheduler->wire, MESSAGE_CONFIG_NOTICE, handle_notice_,
                         scheduler);
}

void
colt_scheduler_send_config_notices (struct ColtScheduler *scheduler)
{
  GArray *instances = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  ColtConfigNotice notice = COLT_CONFIG_NOTICE__INIT;
  uint8_t body[NOTICE_BYTES];
  size_t size;
  guint i;

  notice.version = colt_scheduler_config_version (scheduler);
  size = colt_config_notice__pack (&notice, body);
  colt_members_list_silent (scheduler->members, colt_clock_monotonic_us (),
                            instances);
  for (i = 0; i < instances->len; i++)
    {
      uint32_t instance = g_array_index (instances, uint32_t, i);

      colt_scheduler_set_peer (scheduler, instance);
      colt_wire_send (scheduler->wire, instance, MESSAGE_CONFIG_NOTICE, body,
                      size);
    }
  g_array_unref (instances);
}

void
colt_scheduler_check_config (struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();

  fetch_if_behind_ (scheduler);
  if (!colt_config_lag_check (&scheduler->config_lag, now_us))
    return;
  if (scheduler->config_lag.late)
    colt_metrics_count (scheduler->metrics, METRIC_CONFIGS_LATE);
  log_late_ (scheduler, now_us);
}

void
colt_scheduler_set_config_metrics (const struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();

  colt_metrics_set (scheduler->metrics, METRIC_CONFIG_VERSION,
                    colt_scheduler_config_version (scheduler));
  colt_metrics_set (scheduler->metrics, METRIC_CONFIG_NEWEST,
                    scheduler->config_lag.newest);
  colt_metrics_set (scheduler->metrics, METRIC_CONFIG_BEHIND_MS,
                    colt_config_lag_behind_us (&scheduler->config_lag, now_us)
                        / COLT_US_PER_MS);
  colt_metrics_set (scheduler->metrics, METRIC_CONFIG_READ_AGE_MS,
                    read_age_ms_ (scheduler, now_us));
}

char *
colt_scheduler_describe_config (const struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();

  return g_strdup_printf (
      "\"config\":{\"version\":%lld,\"newest\":%lld,\"behind_ms\":%lld,"
      "\"read_age_ms\":%lld,\"trouble\":\"%s\"}",
      (long long)colt_scheduler_config_version (scheduler),
      (long long)scheduler->config_lag.newest,
      (long long)(colt_config_lag_behind_us (&scheduler->config_lag, now_us)
                  / COLT_US_PER_MS),
      (long long)read_age_ms_ (scheduler, now_us), why_late_ (scheduler));
}

/* Returns whether a record is older than that of the configuration in force, so
 * that it needn't be decoded. */
static bool
is_superseded_ (const struct ColtScheduler *scheduler,
                const struct ColtLogRecord *record)
{
  const struct ColtLogRecord *in_force;

  if (scheduler->config_copy == NULL)
    return false;
  in_force = colt_config_copy_record (scheduler->config_copy);
  return strcmp (record->key, in_force->key) == 0
         && record->offset <= in_force->offset;
}

/* Returns a configuration with a later version than the one in force; NULL if
 * the record contains none. */
static struct ColtFleet *
decode_ (const struct ColtScheduler *scheduler,
         const struct ColtLogRecord *record)
{
  struct ColtError error = { 0 };
  struct ColtFleet *fleet = scheduler->ports->decode_fleet (
      scheduler->ports->adapter, record, &error);

  if (fleet == NULL && error.code != COLT_ERROR_NONE)
    colt_log_error (COLT_LOG_ERROR, MODULE,
                    "a configuration is malformed; the one in force stays",
                    &error);
  if (fleet == NULL
      || fleet->version > colt_scheduler_config_version (scheduler))
    return fleet;
  colt_fleet_unref (fleet);
  return NULL;
}

/* Takes ownership of fleet and copy. */
static void
apply_ (struct ColtScheduler *scheduler,
        struct ColtFleet *fleet,
        struct ColtConfigCopy *copy,
        const char *source)
{
  int64_t behind_us = colt_config_lag_apply (
      &scheduler->config_lag, fleet->version, colt_clock_monotonic_us ());

  log_config_ (scheduler, fleet, copy, source, behind_us);
  colt_fleet_unref (scheduler->fleet);
  scheduler->fleet = fleet;
  colt_config_copy_destroy (scheduler->config_copy);
  scheduler->config_copy = copy;
  if (scheduler->config_lag.newest == fleet->version)
    scheduler->config_source = 0;
  if (scheduler->leader != NULL)
    colt_leader_set_fleet (scheduler->leader, fleet);
  colt_scheduler_check_config (scheduler);
}

static void
fetch_if_behind_ (struct ColtScheduler *scheduler)
{
  int64_t behind_us = colt_config_lag_behind_us (&scheduler->config_lag,
                                                 colt_clock_monotonic_us ());

  if (behind_us < FETCH_AFTER_US || scheduler->config_source == 0
      || scheduler->config_source == scheduler->instance)
    return;
  colt_scheduler_set_peer (scheduler, scheduler->config_source);
  colt_config_fetch_start (scheduler->config_fetch, scheduler->config_source,
                           colt_scheduler_config_version (scheduler));
}

static void
handle_copy_ (void *client, struct ColtConfigCopy *copy, uint32_t instance)
{
  struct ColtScheduler *scheduler = client;
  struct ColtFleet *fleet = decode_ (scheduler, colt_config_copy_record (copy));
  char source[INET_ADDRSTRLEN];

  scheduler->fetch_failing = false;
  if (fleet == NULL)
    {
      colt_config_copy_destroy (copy);
      return;
    }
  colt_metrics_count (scheduler->metrics, METRIC_CONFIGS_FETCHED);
  colt_config_copy_trim (copy);
  format_instance_ (instance, source, sizeof source);
  apply_ (scheduler, fleet, copy, source);
}

/* The next heartbeat names an instance again. */
static void
handle_fetch_failed_ (void *client, uint32_t instance, const char *reason)
{
  struct ColtScheduler *scheduler = client;
  char source[INET_ADDRSTRLEN];

  scheduler->config_source = 0;
  colt_metrics_count (scheduler->metrics, METRIC_CONFIG_FETCHES_FAILED);
  format_instance_ (instance, source, sizeof source);
  if (!scheduler->fetch_failing)
    colt_log (COLT_LOG_INFO, MODULE, NULL,
              "fetching a configuration from instance %s failed; another one "
              "is tried: %s",
              source, reason);
  scheduler->fetch_failing = true;
}

static void
handle_config_call_ (void *client,
                     const struct ColtWireOrigin *origin,
                     const uint8_t *body,
                     size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtConfigCall *call = colt_config_call__unpack (NULL, size, body);
  ColtConfigPart part = COLT_CONFIG_PART__INIT;
  uint8_t *out;

  if (call == NULL)
    return;
  colt_config_fetch_fill_part (scheduler->config_copy, call, &part);
  if (part.data.len > 0)
    colt_metrics_count (scheduler->metrics, METRIC_CONFIG_PARTS_SENT);
  out = g_malloc (colt_config_part__get_packed_size (&part) + 1);
  colt_wire_reply (scheduler->wire, origin, out,
                   colt_config_part__pack (&part, out));
  g_free (out);
  colt_config_call__free_unpacked (call, NULL);
}

static void
handle_notice_ (void *client,
                const struct ColtWireOrigin *origin,
                const uint8_t *body,
                size_t size)
{
  ColtConfigNotice *notice = colt_config_notice__unpack (NULL, size, body);

  if (notice == NULL)
    return;
  colt_scheduler_note_config (client, notice->version, origin->instance);
  colt_config_notice__free_unpacked (notice, NULL);
}

/* Writes the IPv4 address of an instance. */
static void
format_instance_ (uint32_t instance, char *text, size_t size)
{
  const struct in_addr ip = { htonl (instance) };

  inet_ntop (AF_INET, &ip, text, (socklen_t)size);
}

static void
log_config_ (const struct ColtScheduler *scheduler,
             const struct ColtFleet *fleet,
             const struct ColtConfigCopy *copy,
             const char *source,
             int64_t behind_us)
{
  const struct ColtLogField fields[]
      = { { "version", NULL, fleet->version },
          { "previous", NULL, colt_scheduler_config_version (scheduler) },
          { "source", source, 0 },
          { "bytes", NULL, (int64_t)colt_config_copy_size (copy) },
          { "packed_bytes", NULL,
            (int64_t)colt_config_copy_packed_size (copy) },
          { "behind_ms", NULL, behind_us / COLT_US_PER_MS },
          { "read_age_ms", NULL,
            read_age_ms_ (scheduler, colt_clock_monotonic_us ()) },
          { "queues", NULL, fleet->queues->len },
          { "organisations", NULL, fleet->organisations->len } };

  colt_log_event (COLT_LOG_INFO, MODULE, "configuration in force", NULL, fields,
                  G_N_ELEMENTS (fields));
}

static void
log_late_ (const struct ColtScheduler *scheduler, int64_t now_us)
{
  const struct ColtConfigLag *lag = &scheduler->config_lag;
  const char *leader = colt_election_leader (scheduler->election);
  const struct ColtLogField fields[]
      = { { "version", NULL, lag->version },
          { "newest", NULL, lag->newest },
          { "behind_ms", NULL,
            colt_config_lag_behind_us (lag, now_us) / COLT_US_PER_MS },
          { "bound_ms", NULL, lag->bound_us / COLT_US_PER_MS },
          { "read_age_ms", NULL, read_age_ms_ (scheduler, now_us) },
          { "trouble", why_late_ (scheduler), 0 },
          { "lead", leader != NULL ? leader : "", 0 } };

  colt_log_event (COLT_LOG_WARNING, MODULE,
                  lag->late ? "configuration late, the former one stays in "
                              "force"
                            : "configuration no longer late",
                  NULL, fields, G_N_ELEMENTS (fields));
}

static const char *
why_late_ (const struct ColtScheduler *scheduler)
{
  return colt_watch_trouble_string[colt_watch_trouble (
      scheduler->config_watch)];
}

/* Returns the time since the operator's topic was last read to its end; -1: it
 * never was. */
static int64_t
read_age_ms_ (const struct ColtScheduler *scheduler, int64_t now_us)
{
  int64_t current_us = colt_watch_current_us (scheduler->config_watch);

  return current_us > 0 ? (now_us - current_us) / COLT_US_PER_MS : -1;
}
