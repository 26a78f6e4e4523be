/* Measures the cost of admission decisions at the target size: 24,000 waiting
 * jobs of 370 organisations in 5 services. Prints one JSON object. */
#include <glib.h>
#include <stdio.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/forecast.h"

enum
{
  JOBS = 24000,
  ORGANISATIONS = 370,
  SERVICES = 5,
  LIMITED = 40, /* organisations at their maximum */
  ROUNDS = 200000,
  PASSES = 2000
};

/* Time between passes of placement. */
#define PASS_US (10 * COLT_US_PER_MS)

static uint32_t accounts[ORGANISATIONS * SERVICES];
static const struct ColtResources demand = { { 11000, 40000 } };

static void
fill_ (struct ColtForecast *forecast)
{
  const struct ColtResources maximum = { { 1000000, 4000000 } };
  char organisation[16];
  char service[16];
  uint32_t i;

  for (i = 0; i < ORGANISATIONS * SERVICES; i++)
    {
      g_snprintf (organisation, sizeof organisation, "o%u", i % ORGANISATIONS);
      g_snprintf (service, sizeof service, "s%u", i / ORGANISATIONS);
      accounts[i]
          = colt_forecast_open_account (forecast, organisation, service);
      colt_forecast_set_maximum (forecast, organisation, &maximum);
      colt_forecast_set_room (forecast, service, &maximum);
      colt_forecast_add_run (forecast, accounts[i], &demand);
    }
  for (i = 0; i < JOBS; i++)
    colt_forecast_add_waiting (
        forecast, accounts[i % G_N_ELEMENTS (accounts)],
        colt_forecast_class (i % COLT_FORECAST_RANKS, i % 3, i % 2), &demand,
        7);
}

/* Plays the notes that a pass makes, and returns the time of the last one. */
static int64_t
play_passes_ (struct ColtForecast *forecast, int64_t now_us)
{
  uint32_t pass;
  uint32_t i;

  for (pass = 0; pass < PASSES; pass++)
    {
      now_us += PASS_US;
      for (i = 0; i < LIMITED; i++)
        colt_forecast_note_limit (forecast, accounts[i], now_us);
      for (i = 0; i < SERVICES; i++)
        colt_forecast_note_full (forecast,
                                 accounts[i * ORGANISATIONS + LIMITED], now_us);
      colt_forecast_end_run (forecast, accounts[pass % LIMITED], &demand,
                             now_us);
      colt_forecast_add_run (forecast, accounts[pass % LIMITED], &demand);
      colt_forecast_end_pass (forecast, now_us);
    }
  return now_us;
}

static double
microseconds_ (int64_t began_us, int count)
{
  return (double)(colt_clock_monotonic_us () - began_us) / count;
}

int
main (void)
{
  struct ColtForecast *forecast = colt_forecast_create (0);
  struct ColtForecastAnswer answer;
  uint64_t rejected = 0;
  double pass_us;
  double decision_us;
  double change_us;
  int64_t began_us;
  int64_t now_us;
  uint32_t i;

  fill_ (forecast);
  began_us = colt_clock_monotonic_us ();
  now_us = play_passes_ (forecast, COLT_US_PER_S);
  pass_us = microseconds_ (began_us, PASSES);
  began_us = colt_clock_monotonic_us ();
  for (i = 0; i < ROUNDS; i++)
    {
      const struct ColtForecastQuery query
          = { .account = accounts[i % G_N_ELEMENTS (accounts)],
              .rank = i % 2 == 0 ? COLT_FORECAST_TIMELY : COLT_FORECAST_EXCESS,
              .priority = i % 3,
              .any_server = true,
              .slack_us = 4 * COLT_US_PER_S,
              .useful_us = 4 * COLT_US_PER_S,
              .demand = demand,
              .task_seconds = 7,
              .id = i };

      colt_forecast_query (forecast, &query, now_us, &answer);
      rejected += answer.rejected;
      colt_forecast_add_arrival (forecast, query.account, 1, &demand, 0,
                                 now_us);
    }
  decision_us = microseconds_ (began_us, ROUNDS);
  began_us = colt_clock_monotonic_us ();
  for (i = 0; i < ROUNDS; i++)
    {
      uint32_t account = accounts[i % G_N_ELEMENTS (accounts)];

      colt_forecast_add_waiting (forecast, account, i % 24, &demand, 7);
      colt_forecast_add_run (forecast, account, &demand);
      colt_forecast_add_waiting (forecast, account, i % 24, &demand, -7);
      colt_forecast_end_run (forecast, account, &demand, now_us);
    }
  change_us = microseconds_ (began_us, ROUNDS);
  printf ("{\"waiting_jobs\": %d, \"organisations\": %d, \"decisions\": %d, "
          "\"rejected\": %llu, \"decision_us\": %.3f, "
          "\"submit_start_end_us\": %.3f, \"pass_notes_us\": %.3f}\n",
          JOBS, ORGANISATIONS, ROUNDS, (unsigned long long)rejected,
          decision_us, change_us, pass_us);
  colt_forecast_destroy (forecast);
  return 0;
}
