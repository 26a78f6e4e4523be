/**
 * \file
 * \brief Forecast of when a new job could start and end, for admission.
 *
 * Two scopes can hold work back: an organisation's maximum and a service's
 * room. For each the forecast keeps the backlog of waiting work by its class in
 * the order of placement, and the rate at which work is done while the scope is
 * the bottleneck. It does no I/O; times are microseconds of a monotonic clock.
 * Each call takes constant time, except colt_forecast_end_pass(), which looks
 * at the organisations that are at their maximum. docs/design/admission.md
 * gives the model. Not thread-safe.
 */
#ifndef COLTSFOOTSTILE_FORECAST_H
#define COLTSFOOTSTILE_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

#include "coltsfootstile/resources.h"

/** Priorities with a class each; work of lower ones counts in the last. */
#define COLT_FORECAST_PRIORITIES 4u

/** Ranks of waiting work, in the order in which it gets room. Worthless work
 * isn't counted. */
enum ColtForecastRank
{
  COLT_FORECAST_TIMELY, /**< can meet its objective */
  COLT_FORECAST_EXCESS, /**< can meet it, but exceeds its organisation's share
                         */
  COLT_FORECAST_LATE,   /**< can't meet it, but the result is still of use */
  COLT_FORECAST_RANKS   /**< number of ranks, not a rank */
};

/** What holds a job back. */
enum ColtForecastReason
{
  COLT_FORECAST_NOTHING,
  COLT_FORECAST_ORGANISATION, /**< its organisation's maximum */
  COLT_FORECAST_SERVICE       /**< the room of its service */
};

/** Names of enum ColtForecastReason, indexed by it. */
extern const char *const colt_forecast_reason_string[];

/** A new job. */
struct ColtForecastQuery
{
  uint32_t account;           /**< from colt_forecast_open_account() */
  enum ColtForecastRank rank; /**< timely or excess */
  uint32_t priority;          /**< 0 is the highest */
  bool newest_first; /**< newer jobs of its class start before older ones */
  bool any_server;   /**< may run on all servers of its service */
  int64_t slack_us;  /**< it keeps its rank if it starts within this time */
  int64_t useful_us; /**< a later start is of no use; at least slack_us */
  int64_t chain_us;  /**< duration of its longest chain of steps */
  struct ColtResources demand; /**< of one task */
  double task_seconds;         /**< sum over its tasks */
  uint64_t id;
};

/** Answer to a query; times are absolute unless they are named otherwise. */
struct ColtForecastAnswer
{
  enum ColtForecastReason reason; /**< the scope with the longer wait */
  bool known;        /**< the rate is known; otherwise times are of no use */
  bool confident;    /**< the forecast may be acted upon */
  bool rejected;     /**< confident, and the job is nearly sure to start
                          neither within slack_us nor within useful_us */
  int64_t start_us;  /**< expected start in the order of placement */
  int64_t latest_us; /**< when all useful work before or like it has started */
  int64_t last_us;   /**< when all useful work has started, also what arrives
                          after it; latest_us for a job within its share */
  int64_t end_us;    /**< latest_us and the job's chain */
  double backlog_s;  /**< useful work before or like it, in seconds of the
                          scope's rate */
  double rate;       /**< of the dominant resource, in units of it */
  double before;     /**< share of the rate taken by arrivals before it */
  double samples;    /**< ends of runs that the rate is based on, decayed */
  double error_s;    /**< mean error of recent forecasts, in seconds */
  uint32_t retry_after_ms; /**< for a rejected job */
};

/** A forecast; created by colt_forecast_create(). */
struct ColtForecast;

/** Creates a forecast that isn't trusted before a while after \a now_us. */
struct ColtForecast *colt_forecast_create (int64_t now_us);

/** Frees a forecast; NULL is allowed. */
void colt_forecast_destroy (struct ColtForecast *forecast);

/** Returns the handle of an organisation's work in a service. */
uint32_t colt_forecast_open_account (struct ColtForecast *forecast,
                                     const char *organisation,
                                     const char *service);

/** Sets an organisation's maximum; an amount of 0 means no limit. */
void colt_forecast_set_maximum (struct ColtForecast *forecast,
                                const char *organisation,
                                const struct ColtResources *maximum);

/** Sets the sum of the room of a service's servers. */
void colt_forecast_set_room (struct ColtForecast *forecast,
                             const char *service,
                             const struct ColtResources *room);

/** Returns the class of waiting work. \a begun: a task of its job has had a
 * run. */
uint32_t
colt_forecast_class (enum ColtForecastRank rank, uint32_t priority, bool begun);

/** Adds waiting work of a class; negative \a task_seconds remove it. */
void colt_forecast_add_waiting (struct ColtForecast *forecast,
                                uint32_t account,
                                uint32_t work_class,
                                const struct ColtResources *demand,
                                double task_seconds);

/** Notes that a job was accepted whose tasks take \a task_seconds together. */
void colt_forecast_add_arrival (struct ColtForecast *forecast,
                                uint32_t account,
                                uint32_t work_class,
                                const struct ColtResources *demand,
                                double task_seconds,
                                int64_t now_us);

/** Notes that a run takes room, or that it has returned it. Runs that don't end
 * by themselves must not be passed. */
void colt_forecast_add_run (struct ColtForecast *forecast,
                            uint32_t account,
                            const struct ColtResources *demand);
void colt_forecast_end_run (struct ColtForecast *forecast,
                            uint32_t account,
                            const struct ColtResources *demand,
                            int64_t now_us);

/** Notes that waiting work found its organisation at its maximum. */
void colt_forecast_note_limit (struct ColtForecast *forecast,
                               uint32_t account,
                               int64_t now_us);

/** Notes that waiting work found no room in its service. */
void colt_forecast_note_full (struct ColtForecast *forecast,
                              uint32_t account,
                              int64_t now_us);

/** To be called after each pass of placement. */
void colt_forecast_end_pass (struct ColtForecast *forecast, int64_t now_us);

/** Notes that a fraction (0 to 1) of a service's servers was lost. */
void colt_forecast_lose_servers (struct ColtForecast *forecast,
                                 const char *service,
                                 double fraction,
                                 int64_t now_us);

/** Notes that starts and ends are delayed for another reason, as the log being
 * down: nothing is rejected for a while. */
void colt_forecast_distrust (struct ColtForecast *forecast, int64_t now_us);

/** Answers a query. A rejected job takes a turn of the return times. */
void colt_forecast_query (struct ColtForecast *forecast,
                          const struct ColtForecastQuery *query,
                          int64_t now_us,
                          struct ColtForecastAnswer *answer);

/** Compares a forecast with the actual start of its job.
 *
 * \return the error in microseconds; 0 if the start was within start_us and
 *         latest_us */
int64_t colt_forecast_check (struct ColtForecast *forecast,
                             uint32_t account,
                             int64_t start_us,
                             int64_t latest_us,
                             int64_t actual_us);

#endif
