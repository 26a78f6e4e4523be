#include "load_meter.h"

#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"

/* Time between two log lines. */
#define LOG_PERIOD_US (1000 * COLT_US_PER_MS)
/* A leader whose timer fires later than this is overloaded; lines of the level
 * info may be dropped then. */
#define OVERLOAD_LAG_US (10 * COLT_US_PER_MS)
#define MODULE "lead"

static void log_period_ (const struct ColtLoadMeter *meter,
                         const struct ColtLoadState *state,
                         int64_t now_us);

int64_t
colt_load_meter_add (struct ColtLoadMeter *meter,
                     enum ColtLoadPart part,
                     int64_t began_us)
{
  int64_t took_us = colt_clock_monotonic_us () - began_us;

  meter->spent_us[part] += took_us;
  return took_us;
}

void
colt_load_meter_count_pass (struct ColtLoadMeter *meter, uint32_t budget)
{
  meter->passes++;
  if (budget == 0)
    meter->passes_without_budget++;
}

void
colt_load_meter_tick (struct ColtLoadMeter *meter,
                      int64_t period_us,
                      const struct ColtLoadState *state,
                      int64_t now_us)
{
  int64_t delay_us = now_us - meter->last_tick_us - period_us;

  if (meter->since_us == 0)
    meter->since_us = now_us;
  else
    {
      meter->lag_us += MAX (delay_us, 0);
      meter->lag_max_us = MAX (meter->lag_max_us, delay_us);
      meter->ticks++;
    }
  meter->last_tick_us = now_us;
  if (now_us - meter->since_us < LOG_PERIOD_US)
    return;
  log_period_ (meter, state, now_us);
  memset (meter, 0, sizeof *meter);
  meter->since_us = now_us;
  meter->last_tick_us = now_us;
  meter->last = *state;
}

static void
log_period_ (const struct ColtLoadMeter *meter,
             const struct ColtLoadState *state,
             int64_t now_us)
{
  const struct ColtLoadState *last = &meter->last;
  int64_t mean_lag_us = meter->lag_us / MAX (meter->ticks, 1);
  const struct ColtLogField fields[]
      = { { "period_ms", NULL, (now_us - meter->since_us) / COLT_US_PER_MS },
          { "lag_us", NULL, mean_lag_us },
          { "lag_max_us", NULL, meter->lag_max_us },
          { "tick_us", NULL, meter->spent_us[LOAD_TICK] },
          { "placement_us", NULL, meter->spent_us[LOAD_PLACEMENT] },
          { "reports_us", NULL, meter->spent_us[LOAD_REPORTS] },
          { "orders_us", NULL, meter->spent_us[LOAD_ORDERS] },
          { "records_us", NULL, meter->spent_us[LOAD_RECORDS] },
          { "advice_us", NULL, meter->spent_us[LOAD_ADVICE] },
          { "callers_us", NULL, meter->spent_us[LOAD_CALLERS] },
          { "passes", NULL, meter->passes },
          { "passes_without_budget", NULL, meter->passes_without_budget },
          { "open_steps", NULL, (int64_t)state->open_steps },
          { "runs", NULL, (int64_t)state->runs },
          { "planned", NULL, (int64_t)(state->planned - last->planned) },
          { "started", NULL, (int64_t)(state->started - last->started) },
          { "lost_orders", NULL,
            (int64_t)(state->lost_orders - last->lost_orders) },
          { "expired_tickets", NULL,
            (int64_t)(state->expired_tickets - last->expired_tickets) },
          { "advice_calls", NULL,
            (int64_t)(state->advice_calls - last->advice_calls) },
          { "window_bytes", NULL, (int64_t)state->window_bytes },
          { "suspected_servers", NULL, (int64_t)state->suspected_servers } };

  colt_log_event (mean_lag_us > OVERLOAD_LAG_US ? COLT_LOG_WARNING
                                                : COLT_LOG_INFO,
                  MODULE, "leader load", NULL, fields, G_N_ELEMENTS (fields));
}
