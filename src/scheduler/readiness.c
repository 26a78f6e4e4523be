#include <string.h>

#include "scheduler_state.h"

/* Replaces the bound of an instance whose setting is lower: heartbeats and
 * reads of the log need this long if one is lost. */
#define BOUND_MIN_US (1 * COLT_US_PER_S)
/* A leader that the log has confirmed this recently reaches it: two renewals of
 * the leadership may be lost. */
#define LOG_OVERDUE_US (1500 * COLT_US_PER_MS)
#define MODULE "scheduler"

static void log_isolation_ (const struct ColtScheduler *scheduler,
                            int64_t now_us);
static int64_t age_ms_ (int64_t at_us, int64_t now_us);
static const char *why_not_ready_ (const struct ColtScheduler *scheduler);

void
colt_scheduler_init_readiness (struct ColtScheduler *scheduler)
{
  int64_t bound_us = (int64_t)scheduler->settings.isolation_ms * COLT_US_PER_MS;

  colt_isolation_init (&scheduler->isolation,
                       bound_us > 0 ? MAX (bound_us, BOUND_MIN_US) : 0,
                       colt_clock_monotonic_us ());
}

void
colt_scheduler_check_isolation (struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();

  colt_isolation_reach_log (
      &scheduler->isolation,
      MAX (colt_watch_reached_us (scheduler->config_watch),
           colt_election_reached_us (scheduler->election)));
  if (colt_scheduler_is_connected_leader (scheduler, now_us))
    colt_isolation_reach_leader (&scheduler->isolation, now_us);
  if (!colt_isolation_check (&scheduler->isolation, now_us))
    return;
  if (scheduler->isolation.isolated)
    colt_metrics_count (scheduler->metrics, METRIC_ISOLATIONS);
  log_isolation_ (scheduler, now_us);
}

bool
colt_scheduler_is_connected_leader (const struct ColtScheduler *scheduler,
                                    int64_t now_us)
{
  int64_t confirmed_us;

  if (scheduler->leader == NULL)
    return false;
  confirmed_us = colt_election_confirmed_us (scheduler->election);
  return now_us - confirmed_us <= LOG_OVERDUE_US
         || colt_members_in_contact (scheduler->members, confirmed_us, now_us);
}

bool
colt_scheduler_is_ready (void *client)
{
  struct ColtScheduler *scheduler = client;

  colt_scheduler_check_isolation (scheduler);
  return why_not_ready_ (scheduler)[0] == '\0';
}

char *
colt_scheduler_describe_readiness (const struct ColtScheduler *scheduler)
{
  int64_t now_us = colt_clock_monotonic_us ();
  const struct ColtIsolation *isolation = &scheduler->isolation;
  const char *why = why_not_ready_ (scheduler);

  return g_strdup_printf (
      "\"ready\":%s,\"not_ready\":\"%s\",\"log_age_ms\":%lld,"
      "\"leader_contact_age_ms\":%lld",
      why[0] == '\0' ? "true" : "false", why,
      (long long)age_ms_ (isolation->log_us, now_us),
      (long long)age_ms_ (isolation->leader_us, now_us));
}

static void
log_isolation_ (const struct ColtScheduler *scheduler, int64_t now_us)
{
  const struct ColtIsolation *isolation = &scheduler->isolation;
  const char *leader = colt_election_leader (scheduler->election);
  const struct ColtLogField fields[]
      = { { "log_age_ms", NULL, age_ms_ (isolation->log_us, now_us) },
          { "leader_contact_age_ms", NULL,
            age_ms_ (isolation->leader_us, now_us) },
          { "bound_ms", NULL, isolation->bound_us / COLT_US_PER_MS },
          { "lead", leader != NULL ? leader : "", 0 },
          { "term", NULL, (int64_t)colt_election_term (scheduler->election) } };

  colt_log_event (COLT_LOG_WARNING, MODULE,
                  isolation->isolated
                      ? "isolated from the log and the leader, not ready"
                      : "no longer isolated",
                  NULL, fields, G_N_ELEMENTS (fields));
}

/* Returns -1 for a time that hasn't been. */
static int64_t
age_ms_ (int64_t at_us, int64_t now_us)
{
  return at_us > 0 ? (now_us - at_us) / COLT_US_PER_MS : -1;
}

static const char *
why_not_ready_ (const struct ColtScheduler *scheduler)
{
  if (scheduler->stopping)
    return "stopping";
  if (scheduler->fleet == NULL)
    return "no configuration";
  return scheduler->isolation.isolated ? "isolated" : "";
}
