#include "metrics.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/cell.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/counters.h"
#include "coltsfootstile/histogram.h"

struct ColtMetricName
{
  enum ColtCounterKind kind;
  const char *name;
  const char *help;
};

struct ColtTimingName
{
  const char *name;
  const char *help;
};

struct ColtMetrics
{
  struct ColtCounters *counters;
  uint32_t handles[METRIC_COUNT];
  struct ColtHistogram *histograms[TIMING_COUNT];
};

/* Indexed by enum ColtMetric. */
static const struct ColtMetricName names[METRIC_COUNT] = {
  { COLT_COUNTER_TOTAL, "scheduler_requests", "Requests of callers" },
  { COLT_COUNTER_TOTAL, "scheduler_forwarded",
    "Requests handed to another instance" },
  { COLT_COUNTER_TOTAL, "scheduler_turned_away",
    "Requests answered as not taken" },
  { COLT_COUNTER_TOTAL, "scheduler_uncertain",
    "Requests whose effect isn't known" },
  { COLT_COUNTER_TOTAL, "scheduler_advice_calls", "Calls for advice" },
  { COLT_COUNTER_TOTAL, "scheduler_elected", "Times it became the lead" },
  { COLT_COUNTER_GAUGE, "scheduler_term", "Highest term seen" },
  { COLT_COUNTER_GAUGE, "scheduler_leads", "1 while it leads" },
  { COLT_COUNTER_GAUGE, "scheduler_config_version",
    "Version of the configuration in force" },
  { COLT_COUNTER_GAUGE, "scheduler_config_newest_version",
    "Highest version that is known to exist" },
  { COLT_COUNTER_GAUGE, "scheduler_config_behind_ms",
    "Time since a newer version than the one in force is known" },
  { COLT_COUNTER_GAUGE, "scheduler_config_read_age_ms",
    "Time since the operator's topic was read to its end; -1: never" },
  { COLT_COUNTER_TOTAL, "scheduler_configs_late",
    "Times that a known version wasn't in force in time" },
  { COLT_COUNTER_TOTAL, "scheduler_configs_fetched",
    "Configurations fetched from another instance" },
  { COLT_COUNTER_TOTAL, "scheduler_config_fetches_failed",
    "Calls to another instance that brought no part of a configuration" },
  { COLT_COUNTER_TOTAL, "scheduler_config_parts_sent",
    "Parts of the configuration sent to other instances" },
  { COLT_COUNTER_GAUGE, "scheduler_log_age_ms",
    "Time since the log was last reached" },
  { COLT_COUNTER_TOTAL, "scheduler_confirmed_without_log",
    "Times that instances confirmed its leadership in the log's place" },
  { COLT_COUNTER_GAUGE, "scheduler_isolated",
    "1 while it isn't ready as it reaches neither log nor leader" },
  { COLT_COUNTER_TOTAL, "scheduler_isolations",
    "Times that it reached neither log nor leader" },
  { COLT_COUNTER_TOTAL, "scheduler_suspicions",
    "Times that a backend server was suspected" },
  { COLT_COUNTER_GAUGE, "scheduler_suspected_servers",
    "Backend servers that get no starts until they answer" },
  { COLT_COUNTER_TOTAL, "scheduler_starts_held",
    "Times that starts were held back until the operator's topic was read" },
  { COLT_COUNTER_GAUGE, "cell_jobs", "Jobs known, also ended ones" },
  { COLT_COUNTER_GAUGE, "cell_open_steps", "Steps with tasks that wait" },
  { COLT_COUNTER_GAUGE, "cell_runs", "Runs that are on servers, or may be" },
  { COLT_COUNTER_GAUGE, "cell_servers", "Backend servers known" },
  { COLT_COUNTER_GAUGE, "cell_started", "Starts taken in this term" },
  { COLT_COUNTER_GAUGE, "cell_refused_starts",
    "Starts in this term that weren't taken" },
  { COLT_COUNTER_GAUGE, "cell_runs_moved",
    "Runs in this term that were stopped to start elsewhere" },
  { COLT_COUNTER_GAUGE, "cell_tasks_given_up",
    "Tasks in this term given up after crashes of their servers" },
  { COLT_COUNTER_GAUGE, "cell_tasks_stalled",
    "Faults in this term: tasks released that nothing would have started" },
  { COLT_COUNTER_GAUGE, "cell_evacuated_zones",
    "Availability zones whose evacuation is requested" },
  { COLT_COUNTER_GAUGE, "cell_evacuated_runs",
    "Runs that are left in evacuated zones, or may be" },
  { COLT_COUNTER_GAUGE, "cell_withdrawn_starts",
    "Starts in this term that weren't sent as their zone was evacuated" },
  { COLT_COUNTER_GAUGE, "cell_reserved_gangs",
    "Gangs that servers are reserved for" },
  { COLT_COUNTER_GAUGE, "cell_reservations",
    "Gangs in this term that got servers reserved" },
  { COLT_COUNTER_GAUGE, "cell_reservations_ended",
    "Reservations in this term that ended without a start" },
  { COLT_COUNTER_GAUGE, "cell_runs_done", "Runs done in this term" },
  { COLT_COUNTER_GAUGE, "cell_runs_failed", "Runs failed in this term" },
  { COLT_COUNTER_GAUGE, "cell_runs_stopped", "Runs stopped in this term" },
  { COLT_COUNTER_GAUGE, "cell_runs_lapsed",
    "Runs in this term whose lease or server ended" },
  { COLT_COUNTER_GAUGE, "cell_rejected_too_late",
    "Jobs in this term rejected by the forecast" },
};

/* Indexed by enum ColtTiming. */
static const struct ColtTimingName timing_names[TIMING_COUNT]
    = { { "scheduler_answer_ms", "Requests of callers until their answer" },
        { "scheduler_commit_ms", "Batches of records until they are durable" },
        { "scheduler_advice_ms", "Calls for advice" },
        { "cell_forecast_error_ms",
          "Starts of accepted jobs against the forecast on arrival" } };

struct ColtMetrics *
colt_metrics_create (void)
{
  struct ColtMetrics *metrics = g_new0 (struct ColtMetrics, 1);
  int i;

  metrics->counters = colt_counters_create ();
  for (i = 0; i < METRIC_COUNT; i++)
    metrics->handles[i] = colt_counters_register (
        metrics->counters, names[i].kind, names[i].name, names[i].help);
  for (i = 0; i < TIMING_COUNT; i++)
    metrics->histograms[i]
        = colt_histogram_create (timing_names[i].name, timing_names[i].help);
  return metrics;
}

void
colt_metrics_destroy (struct ColtMetrics *metrics)
{
  int i;

  if (metrics == NULL)
    return;
  for (i = 0; i < TIMING_COUNT; i++)
    colt_histogram_destroy (metrics->histograms[i]);
  colt_counters_destroy (metrics->counters);
  g_free (metrics);
}

void
colt_metrics_count (struct ColtMetrics *metrics, enum ColtMetric metric)
{
  colt_counters_increment (metrics->counters, metrics->handles[metric], 1);
}

void
colt_metrics_set (struct ColtMetrics *metrics,
                  enum ColtMetric metric,
                  int64_t value)
{
  colt_counters_set (metrics->counters, metrics->handles[metric], value);
}

void
colt_metrics_set_cell (struct ColtMetrics *metrics,
                       const struct ColtCellStats *stats)
{
  static const struct ColtCellStats none;

  if (stats == NULL)
    stats = &none;
  colt_metrics_set (metrics, METRIC_JOBS, (int64_t)stats->jobs);
  colt_metrics_set (metrics, METRIC_OPEN_STEPS, (int64_t)stats->open_steps);
  colt_metrics_set (metrics, METRIC_RUNS, (int64_t)stats->runs);
  colt_metrics_set (metrics, METRIC_SERVERS, (int64_t)stats->servers);
  colt_metrics_set (metrics, METRIC_STARTED, (int64_t)stats->started);
  colt_metrics_set (metrics, METRIC_REFUSED_STARTS,
                    (int64_t)stats->refused_starts);
  colt_metrics_set (metrics, METRIC_RUNS_MOVED, (int64_t)stats->moved);
  colt_metrics_set (metrics, METRIC_TASKS_GIVEN_UP, (int64_t)stats->given_up);
  colt_metrics_set (metrics, METRIC_TASKS_STALLED, (int64_t)stats->stalled);
  colt_metrics_set (metrics, METRIC_EVACUATED_ZONES,
                    (int64_t)stats->evacuated_zones);
  colt_metrics_set (metrics, METRIC_EVACUATED_RUNS,
                    (int64_t)stats->evacuated_runs);
  colt_metrics_set (metrics, METRIC_WITHDRAWN_STARTS,
                    (int64_t)stats->withdrawn_starts);
  colt_metrics_set (metrics, METRIC_RESERVED_GANGS,
                    (int64_t)stats->reserved_gangs);
  colt_metrics_set (metrics, METRIC_RESERVATIONS, (int64_t)stats->reservations);
  colt_metrics_set (metrics, METRIC_RESERVATIONS_ENDED,
                    (int64_t)stats->reservations_ended);
  colt_metrics_set (metrics, METRIC_RUNS_DONE,
                    (int64_t)stats->ended[COLT_RUN_DONE]);
  colt_metrics_set (metrics, METRIC_RUNS_FAILED,
                    (int64_t)stats->ended[COLT_RUN_FAILED]);
  colt_metrics_set (metrics, METRIC_RUNS_STOPPED,
                    (int64_t)stats->ended[COLT_RUN_STOPPED]);
  colt_metrics_set (metrics, METRIC_RUNS_LAPSED,
                    (int64_t)stats->ended[COLT_RUN_LAPSED]);
  colt_metrics_set (metrics, METRIC_REJECTED_TOO_LATE,
                    (int64_t)stats->rejected_too_late);
}

void
colt_metrics_time (struct ColtMetrics *metrics,
                   enum ColtTiming timing,
                   int64_t duration_us)
{
  colt_histogram_add (metrics->histograms[timing],
                      (double)duration_us / COLT_US_PER_MS);
}

char *
colt_metrics_format (const struct ColtMetrics *metrics)
{
  char *counters = colt_counters_format (metrics->counters);
  GString *text = g_string_new (counters);
  char *copy;
  int i;

  free (counters);
  for (i = 0; i < TIMING_COUNT; i++)
    {
      char *histogram = colt_histogram_format (metrics->histograms[i]);

      g_string_append (text, histogram);
      free (histogram);
    }
  copy = strdup (text->str);
  g_string_free (text, TRUE);
  return copy;
}
