/* Counters, gauges and histograms of one instance. */
#ifndef COLT_SCHEDULER_METRICS_H
#define COLT_SCHEDULER_METRICS_H

#include <stdint.h>

struct ColtCellStats;

enum ColtMetric
{
  METRIC_REQUESTS,
  METRIC_FORWARDED,
  METRIC_TURNED_AWAY,
  METRIC_UNCERTAIN,
  METRIC_ADVICE_CALLS,
  METRIC_ELECTED,
  METRIC_TERM,
  METRIC_LEADS,
  METRIC_CONFIG_VERSION,
  METRIC_LOG_AGE_MS,
  METRIC_JOBS,
  METRIC_OPEN_STEPS,
  METRIC_RUNS,
  METRIC_SERVERS,
  METRIC_STARTED,
  METRIC_REFUSED_STARTS,
  METRIC_RUNS_MOVED,
  METRIC_RUNS_DONE,
  METRIC_RUNS_FAILED,
  METRIC_RUNS_STOPPED,
  METRIC_RUNS_LAPSED,
  METRIC_COUNT
};

enum ColtTiming
{
  TIMING_ANSWER, /* a caller's request, from its arrival to its answer */
  TIMING_COMMIT, /* a batch, from its first sending to its answer */
  TIMING_ADVICE, /* a call for advice, with its way */
  TIMING_COUNT
};

struct ColtMetrics;

struct ColtMetrics *colt_metrics_create (void);
void colt_metrics_destroy (struct ColtMetrics *metrics);
void colt_metrics_count (struct ColtMetrics *metrics, enum ColtMetric metric);
void colt_metrics_set (struct ColtMetrics *metrics,
                       enum ColtMetric metric,
                       int64_t value);
/* Takes the numbers of the lead's cell; NULL: this instance doesn't lead. */
void colt_metrics_set_cell (struct ColtMetrics *metrics,
                            const struct ColtCellStats *stats);
void colt_metrics_time (struct ColtMetrics *metrics,
                        enum ColtTiming timing,
                        int64_t duration_us);
/* To be freed with free(). */
char *colt_metrics_format (const struct ColtMetrics *metrics);

#endif
