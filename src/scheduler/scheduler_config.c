#include "scheduler_state.h"

#define MODULE "scheduler"

static void log_config_ (const struct ColtScheduler *scheduler,
                         const struct ColtFleet *fleet,
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
  struct ColtError error = { 0 };
  struct ColtFleet *fleet;
  int64_t behind_us;

  if (colt_scheduler_apply_evacuation (scheduler, record)
      || record->value == NULL)
    return;
  fleet = scheduler->ports->decode_fleet (scheduler->ports->adapter, record,
                                          &error);
  if (fleet == NULL)
    {
      if (error.code != COLT_ERROR_NONE)
        colt_log_error (COLT_LOG_ERROR, MODULE,
                        "a configuration is malformed; the one in force stays",
                        &error);
      return;
    }
  if (scheduler->fleet != NULL && fleet->version <= scheduler->fleet->version)
    {
      colt_fleet_unref (fleet);
      return;
    }
  behind_us = colt_config_lag_apply (&scheduler->config_lag, fleet->version,
                                     colt_clock_monotonic_us ());
  log_config_ (scheduler, fleet, behind_us);
  colt_fleet_unref (scheduler->fleet);
  scheduler->fleet = fleet;
  if (scheduler->leader != NULL)
    colt_leader_set_fleet (scheduler->leader, fleet);
  colt_scheduler_check_config (scheduler);
}

int64_t
colt_scheduler_config_version (const struct ColtScheduler *scheduler)
{
  return scheduler->fleet != NULL ? scheduler->fleet->version : 0;
}

void
colt_scheduler_note_config (struct ColtScheduler *scheduler, int64_t version)
{
  colt_config_lag_note (&scheduler->config_lag, version,
                        colt_clock_monotonic_us ());
}

void
colt_scheduler_check_config (struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();

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

static void
log_config_ (const struct ColtScheduler *scheduler,
             const struct ColtFleet *fleet,
             int64_t behind_us)
{
  const struct ColtLogField fields[]
      = { { "version", NULL, fleet->version },
          { "previous", NULL, colt_scheduler_config_version (scheduler) },
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
