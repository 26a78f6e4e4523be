/* The forecast of admission by itself, under loads that are fed step by step.
 */
#include <glib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/forecast.h"

#define TICK_US (20 * COLT_US_PER_MS)
#define START_US (100 * COLT_US_PER_S)

struct Load
{
  struct ColtForecast *forecast;
  uint32_t account;
  struct ColtResources core;
  int64_t now_us;
};

static void
load_begin (struct Load *load)
{
  const struct ColtResources maximum = { { 10000 } };

  *load = (struct Load){ 0 };
  load->now_us = START_US;
  load->core.amount[COLT_RESOURCE_CORES] = 1000;
  load->forecast = colt_forecast_create (load->now_us);
  load->account
      = colt_forecast_open_account (load->forecast, "acme", "service");
  colt_forecast_set_maximum (load->forecast, "acme", &maximum);
}

/* An organisation uses its maximum of 10 cores with tasks of 1 s. */
static void
play_limited (struct Load *load, double seconds, bool ends)
{
  int64_t until_us = load->now_us + (int64_t)(seconds * (double)COLT_US_PER_S);

  while (load->now_us < until_us)
    {
      load->now_us += TICK_US;
      if (ends && load->now_us % (100 * COLT_US_PER_MS) == 0)
        {
          colt_forecast_end_run (load->forecast, load->account, &load->core,
                                 load->now_us);
          colt_forecast_add_run (load->forecast, load->account, &load->core);
        }
      colt_forecast_note_limit (load->forecast, load->account, load->now_us);
      colt_forecast_end_pass (load->forecast, load->now_us);
    }
}

static void
use_maximum (struct Load *load)
{
  int i;

  for (i = 0; i < 10; i++)
    colt_forecast_add_run (load->forecast, load->account, &load->core);
}

static void
add_waiting (struct Load *load,
             enum ColtForecastRank rank,
             uint32_t priority,
             double task_seconds)
{
  colt_forecast_add_waiting (load->forecast, load->account,
                             colt_forecast_class (rank, priority, false),
                             &load->core, task_seconds);
}

/* Asks for a job of priority 1 that has to start within 4 s. */
static struct ColtForecastAnswer
ask (struct Load *load, bool newest_first)
{
  struct ColtForecastQuery query = { 0 };
  struct ColtForecastAnswer answer;

  query.account = load->account;
  query.rank = COLT_FORECAST_TIMELY;
  query.priority = 1;
  query.newest_first = newest_first;
  query.any_server = true;
  query.slack_us = 4 * COLT_US_PER_S;
  query.useful_us = query.slack_us;
  query.demand = load->core;
  query.task_seconds = 10;
  query.id = 1;
  colt_forecast_query (load->forecast, &query, load->now_us, &answer);
  return answer;
}

/* The backlog at a maximum of 10 cores: work of classes that start later, and
 * excess work, doesn't stand before a job. */
static void
test_order (void)
{
  struct ColtForecastAnswer answer;
  struct Load load;

  load_begin (&load);
  use_maximum (&load);
  play_limited (&load, 6, true);
  add_waiting (&load, COLT_FORECAST_TIMELY, 2, 1000);
  add_waiting (&load, COLT_FORECAST_EXCESS, 0, 1000);
  answer = ask (&load, false);
  g_assert_true (answer.known && answer.confident && !answer.rejected);
  g_assert_cmpfloat_with_epsilon (answer.rate, 10000, 100);
  g_assert_cmpfloat (answer.backlog_s, <, 0.01);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 20);
  add_waiting (&load, COLT_FORECAST_TIMELY, 1, 20);
  answer = ask (&load, false);
  g_assert_cmpfloat_with_epsilon (answer.backlog_s, 4, 0.1);
  g_assert_false (answer.rejected);
  add_waiting (&load, COLT_FORECAST_LATE, 1, 20);
  answer = ask (&load, false);
  g_assert_true (answer.rejected);
  g_assert_cmpint (answer.reason, ==, COLT_FORECAST_ORGANISATION);
  g_assert_cmpuint (answer.retry_after_ms, >, 0);
  add_waiting (&load, COLT_FORECAST_LATE, 1, -20);
  answer = ask (&load, true);
  g_assert_cmpfloat_with_epsilon (
      (double)(answer.start_us - load.now_us) / COLT_US_PER_S, 2, 0.1);
  colt_forecast_destroy (load.forecast);
}

/* One organisation's backlog waits for its maximum: it can't take the room of
 * the service, so that another organisation's job isn't rejected for it. */
static void
test_other_organisation (void)
{
  struct Load load;
  struct Load other;
  int i;

  load_begin (&load);
  use_maximum (&load);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 1000);
  other = load;
  other.account
      = colt_forecast_open_account (load.forecast, "other", "service");
  for (i = 0; i < 60; i++)
    {
      play_limited (&load, 0.1, true);
      colt_forecast_note_full (load.forecast, other.account, load.now_us);
    }
  other.now_us = load.now_us;
  g_assert_true (ask (&load, false).rejected);
  g_assert_false (ask (&other, false).rejected);
  /* Its maximum no longer holds it back. */
  for (i = 0; i < 10; i++)
    {
      load.now_us += 100 * COLT_US_PER_MS;
      colt_forecast_end_pass (load.forecast, load.now_us);
      colt_forecast_note_full (load.forecast, other.account, load.now_us);
    }
  other.now_us = load.now_us;
  g_assert_cmpfloat (ask (&other, false).backlog_s, >, 50);
  colt_forecast_destroy (load.forecast);
}

/* A backlog of 100 s at a maximum, with a rate that isn't known: no run ended,
 * the election was just now, or the maximum was reached just now. */
static void
test_unknown_rate (void)
{
  struct Load load;

  load_begin (&load);
  use_maximum (&load);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 1000);
  play_limited (&load, 2, true);
  g_assert_false (ask (&load, false).rejected);
  play_limited (&load, 4, true);
  g_assert_true (ask (&load, false).rejected);
  play_limited (&load, 20, false);
  g_assert_false (ask (&load, false).rejected);
  colt_forecast_destroy (load.forecast);

  load_begin (&load);
  use_maximum (&load);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 1000);
  load.now_us += 10 * COLT_US_PER_S;
  g_assert_false (ask (&load, false).known);
  play_limited (&load, 0.3, true);
  g_assert_false (ask (&load, false).rejected);
  colt_forecast_destroy (load.forecast);
}

/* A backlog of 100 s at a maximum, while servers are lost or the log is down.
 */
static void
test_disturbance (void)
{
  struct Load load;

  load_begin (&load);
  use_maximum (&load);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 1000);
  play_limited (&load, 6, true);
  colt_forecast_lose_servers (load.forecast, "service", 0.01, load.now_us);
  g_assert_true (ask (&load, false).rejected);
  colt_forecast_lose_servers (load.forecast, "service", 0.3, load.now_us);
  g_assert_false (ask (&load, false).rejected);
  play_limited (&load, 3.1, true);
  g_assert_true (ask (&load, false).rejected);
  colt_forecast_distrust (load.forecast, load.now_us);
  g_assert_false (ask (&load, false).rejected);
  colt_forecast_destroy (load.forecast);
}

/* Jobs start 5 s before their forecast again and again: it isn't acted upon
 * until forecasts are right again. */
static void
test_wrong_forecast (void)
{
  struct Load load;
  int i;

  load_begin (&load);
  use_maximum (&load);
  add_waiting (&load, COLT_FORECAST_TIMELY, 0, 1000);
  play_limited (&load, 6, true);
  for (i = 0; i < 10; i++)
    g_assert_cmpint (colt_forecast_check (load.forecast, load.account,
                                          load.now_us + 5 * COLT_US_PER_S,
                                          load.now_us + 9 * COLT_US_PER_S,
                                          load.now_us),
                     ==, 5 * COLT_US_PER_S);
  g_assert_false (ask (&load, false).rejected);
  g_assert_false (ask (&load, false).confident);
  for (i = 0; i < 30; i++)
    g_assert_cmpint (
        colt_forecast_check (load.forecast, load.account, load.now_us,
                             load.now_us + COLT_US_PER_S, load.now_us),
        ==, 0);
  g_assert_true (ask (&load, false).rejected);
  colt_forecast_destroy (load.forecast);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/policy/forecast/order", test_order);
  g_test_add_func ("/policy/forecast/other-organisation",
                   test_other_organisation);
  g_test_add_func ("/policy/forecast/unknown-rate", test_unknown_rate);
  g_test_add_func ("/policy/forecast/disturbance", test_disturbance);
  g_test_add_func ("/policy/forecast/wrong-forecast", test_wrong_forecast);
  return g_test_run ();
}
