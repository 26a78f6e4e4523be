/* Counters, gauges and histograms of one instance. */
#ifndef COLT_SCHEDULER_METRICS_H
#define COLT_SCHEDULER_METRICS_H

#include <stdint.h>

struct ColtCellStats;

enum ColtMetric
{
  METRIC_REQUESTS,
  METRIC_FORWARDED,
  METRIC_REJECTED,
  METRIC_UNCERTAIN,
  METRIC_ADVICE_CALLS,
  METRIC_ELECTED,
  METRIC_TERM,
  METRIC_IS_LEADER,
  METRIC_CONFIG_VERSION,
  METRIC_CONFIG_NEWEST,
  METRIC_CONFIG_BEHIND_MS,
  METRIC_CONFIG_READ_AGE_MS,
  METRIC_CONFIGS_LATE,
  METRIC_CONFIGS_FETCHED,
  METRIC_CONFIG_FETCHES_FAILED,
  METRIC_CONFIG_PARTS_SENT,
  METRIC_LOG_AGE_MS,
  METRIC_CONFIRMED_WITHOUT_LOG,
  METRIC_ISOLATED,
  METRIC_ISOLATIONS,
  METRIC_SUSPICIONS,
  METRIC_SUSPECTED_SERVERS,
  METRIC_STARTS_HELD,
  METRIC_JOBS,
  METRIC_OPEN_STEPS,
  METRIC_RUNS,
  METRIC_SERVERS,
  METRIC_STARTED,
  METRIC_REFUSED_STARTS,
  METRIC_RUNS_MOVED,
  METRIC_TASKS_GIVEN_UP,
  METRIC_TASKS_STALLED,
  METRIC_EVACUATED_ZONES,
  METRIC_EVACUATED_RUNS,
  METRIC_WITHDRAWN_STARTS,
  METRIC_RESERVED_GANGS,
  METRIC_RESERVATIONS,
  METRIC_RESERVATIONS_ENDED,
  METRIC_RUNS_DONE,
  METRIC_RUNS_FAILED,
  METRIC_RUNS_STOPPED,
  METRIC_RUNS_LAPSED,
  METRIC_REJECTED_TOO_LATE,
  METRIC_COUNT
};

enum ColtTiming
{
  TIMING_ANSWER, /* of a caller's request, from arrival to answer */
  TIMING_COMMIT, /* of a batch, from first sending to the log's answer */
  TIMING_ADVICE, /* of a call for advice, including the network */
  TIMING_FORECAST_ERROR, /* of a start, against its forecast on arrival */
  TIMING_COUNT
};

struct ColtMetrics;

struct ColtMetrics *colt_metrics_create (void);
void colt_metrics_destroy (struct ColtMetrics *metrics);
/* Adds 1 to a counter. */
void colt_metrics_count (struct ColtMetrics *metrics, enum ColtMetric metric);
void colt_metrics_set (struct ColtMetrics *metrics,
                       enum ColtMetric metric,
                       int64_t value);
/* Sets the metrics of the leader's cell. NULL, for an instance that isn't the
 * leader, sets them to 0. */
void colt_metrics_set_cell (struct ColtMetrics *metrics,
                            const struct ColtCellStats *stats);
/* Adds a duration to a histogram. */
void colt_metrics_time (struct ColtMetrics *metrics,
                        enum ColtTiming timing,
                        int64_t duration_us);
/* Returns all metrics as text, to be freed with free(). */
char *colt_metrics_format (const struct ColtMetrics *metrics);

#endif
