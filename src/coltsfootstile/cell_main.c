#include "cell_main.h"

#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "coltsfootstile/adapter.h"
#include "coltsfootstile/http_client.h"
#include "coltsfootstile/log.h"
#include "coltsfootstile/scheduler.h"
#include "coltsfootstile/settings.h"

#define MODULE "daemon"
/* Environment variable that names the settings file if no option does. */
#define SETTINGS_VARIABLE "COLTSFOOTSTILE_NODE_FILE"
/* Link bandwidth in Mbit/s that a leader with one full core can use. */
#define LEADER_LINK_MBPS 100.0
/* Replaces a share, number of cores or bandwidth that isn't a positive number;
 * it makes the instance an unlikely leader. */
#define NUMBER_MIN 0.01
/* A running instance raises a lower bound to this one: a lost answer would make
 * it isolated. */
#define ISOLATION_MIN_MS 1000

/* Exit statuses. */
enum
{
  STATUS_OK = 0,
  STATUS_FAILED = 1,
  STATUS_USAGE = 2
};

struct ColtCellProcess
{
  struct event_base *base;
  struct ColtScheduler *scheduler;
  const char *path;
};

static const struct ColtSettingSpec specs[] = {
  { "instance", "name", COLT_SETTING_STRING, NULL, 0, 0, false,
    "name of this instance" },
  { "instance", "zone", COLT_SETTING_STRING, NULL, 0, 0, false,
    "availability zone of this instance" },
  { "instance", "internal", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "listens here for the other instances" },
  { "instance", "cpu_share", COLT_SETTING_STRING, "1", 0, 0, false,
    "part of a core that this instance may use, a decimal number" },
  { "instance", "cores", COLT_SETTING_STRING, "1", 0, 0, false,
    "cores of that share, a decimal number" },
  { "instance", "link_mbps", COLT_SETTING_STRING, "1000", 0, 0, false,
    "bandwidth of this instance's link in Mbit/s, a decimal number" },
  { "listen", "callers", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "listens here for callers" },
  { "listen", "readiness", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "listens here for the balancer's probes" },
  { "listen", "state", COLT_SETTING_STRING, "", 0, 0, false,
    "listens here for operators: /metrics" },
  { "readiness", "isolation_ms", COLT_SETTING_INTEGER, "0", 0, 60000, false,
    "not ready after this time without contact to the log and a leader, "
    "in milliseconds, at least 1000; 0: off" },
  { "services", "log", COLT_SETTING_ADDRESS, NULL, 0, 0, false,
    "address of the log service" },
  { "services", "adviser", COLT_SETTING_STRING, "", 0, 0, false,
    "address of the placement adviser; empty: none" },
  { "bounds", "lease_max_ms", COLT_SETTING_INTEGER, NULL, 1000, 600000, false,
    "longest lease that backend servers give, in milliseconds" },
  { "bounds", "status_s", COLT_SETTING_INTEGER, "120", 1, 86400, false,
    "how long an ended job's state is shown, in seconds" },
  { "bounds", "grace_s", COLT_SETTING_INTEGER, "6", 1, 600, false,
    "time to stop in good order, in seconds" },
  { "bounds", "config_ms", COLT_SETTING_INTEGER, "3000", 100, 600000, false,
    "time within which a configuration has to be in force, in milliseconds; a "
    "later one is logged" },
  { "fairness", "half_life_s", COLT_SETTING_INTEGER, "0", 0, 2592000, false,
    "half-life of organisations' past use, in seconds; 0: off" },
  { "fairness", "wait_max_ms", COLT_SETTING_INTEGER, "2000", 0, 60000, false,
    "longest delay for past use, in milliseconds" },
  { "admission", "forecast", COLT_SETTING_INTEGER, "0", 0, 1, false,
    "1: reject jobs that are nearly sure to end too late to be of use" },
  { "log", "level", COLT_SETTING_STRING, "info", 0, 0, false,
    "error, warning, info or debug" },
  COLT_HTTP_LIMIT_SETTINGS ("32768", "30000"),
  { "limits", "readiness_connections", COLT_SETTING_INTEGER, "64", 1, 100000,
    false, "most open connections of the load balancer's probes" },
  { "limits", "state_connections", COLT_SETTING_INTEGER, "32", 1, 100000, false,
    "most open connections of operators" }
};

static int run_instance_ (const struct ColtSettings *settings,
                          const char *path);
static bool check_values_ (const struct ColtSettings *settings);
static bool check_level_ (const struct ColtSettings *settings);
static bool open_log_ (const struct ColtSettings *settings);
static void fill_settings_ (const struct ColtSettings *settings,
                            struct ColtSchedulerSettings *scheduler,
                            struct ColtAdapterSettings *adapter);
static double parse_number_ (const struct ColtSettings *settings,
                             const char *key);
static void on_stop_signal_ (evutil_socket_t number, short what, void *arg);
static void on_reload_signal_ (evutil_socket_t number, short what, void *arg);

int
colt_cell_main (const char *path, bool check_only)
{
  struct ColtSettings *settings
      = colt_settings_create (specs, G_N_ELEMENTS (specs));
  int status = STATUS_USAGE;
  size_t i;

  if (path == NULL)
    path = getenv (SETTINGS_VARIABLE);
  if (path == NULL)
    fprintf (stderr, "coltsfootstile: --settings FILE is required\n");
  else if (colt_settings_read (settings, path, NULL))
    {
      if (!check_only)
        status = run_instance_ (settings, path);
      else if (check_values_ (settings))
        status = STATUS_OK;
    }
  for (i = 0; i < colt_settings_problem_count (settings); i++)
    fprintf (stderr, "coltsfootstile: %s\n",
             colt_settings_problem (settings, i));
  colt_settings_destroy (settings);
  return status;
}

static int
run_instance_ (const struct ColtSettings *settings, const char *path)
{
  struct ColtCellProcess process = { NULL, NULL, path };
  struct ColtSchedulerSettings scheduler_settings;
  struct ColtAdapterSettings adapter_settings;
  struct ColtPorts ports = { 0 };
  struct ColtAdapter *adapter;
  struct event *signals[3];
  struct ColtError error = { 0 };
  int status = STATUS_FAILED;
  size_t i;

  signal (SIGPIPE, SIG_IGN);
  if (!check_level_ (settings))
    return STATUS_USAGE;
  if (!open_log_ (settings))
    return STATUS_FAILED;
  process.base = colt_http_create_base ();
  fill_settings_ (settings, &scheduler_settings, &adapter_settings);
  adapter = colt_adapter_create (process.base, &adapter_settings, &ports);
  process.scheduler = colt_scheduler_create (process.base, &ports,
                                             &scheduler_settings, &error);
  if (process.scheduler == NULL)
    colt_log_error (COLT_LOG_ERROR, MODULE, "instance can't start", &error);
  else
    {
      signals[0]
          = evsignal_new (process.base, SIGTERM, on_stop_signal_, &process);
      signals[1]
          = evsignal_new (process.base, SIGINT, on_stop_signal_, &process);
      signals[2]
          = evsignal_new (process.base, SIGHUP, on_reload_signal_, &process);
      for (i = 0; i < G_N_ELEMENTS (signals); i++)
        event_add (signals[i], NULL);
      event_base_dispatch (process.base);
      for (i = 0; i < G_N_ELEMENTS (signals); i++)
        event_free (signals[i]);
      colt_scheduler_destroy (process.scheduler);
      colt_log (COLT_LOG_INFO, MODULE, NULL, "stopped");
      status = STATUS_OK;
    }
  colt_adapter_destroy (adapter);
  event_base_free (process.base);
  colt_log_close ();
  return status;
}

/* Checks what the table of settings can't express. A running instance uses
 * NUMBER_MIN for a number that isn't positive. */
static bool
check_values_ (const struct ColtSettings *settings)
{
  static const char *const keys[] = { "cpu_share", "cores", "link_mbps" };
  bool good = check_level_ (settings);
  int64_t isolation_ms
      = colt_settings_integer (settings, "readiness", "isolation_ms");
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      const char *text = colt_settings_string (settings, "instance", keys[i]);
      char *end;

      if (g_ascii_strtod (text, &end) > 0 && *end == '\0')
        continue;
      fprintf (stderr,
               "coltsfootstile: [instance] %s: \"%s\" is not a positive "
               "number\n",
               keys[i], text);
      good = false;
    }
  if (isolation_ms > 0 && isolation_ms < ISOLATION_MIN_MS)
    {
      fprintf (stderr,
               "coltsfootstile: [readiness] isolation_ms: %" PRId64
               " is neither 0 nor at least %d\n",
               isolation_ms, ISOLATION_MIN_MS);
      good = false;
    }
  return good;
}

/* Prints a problem if the settings don't name a log level. */
static bool
check_level_ (const struct ColtSettings *settings)
{
  const char *name = colt_settings_string (settings, "log", "level");
  enum ColtLogLevel level;

  if (colt_log_parse_level (name, &level))
    return true;
  fprintf (stderr, "coltsfootstile: [log] level: \"%s\" is not a log level\n",
           name);
  return false;
}

static bool
open_log_ (const struct ColtSettings *settings)
{
  enum ColtLogLevel level = COLT_LOG_INFO;
  struct ColtError error;
  char line[512];

  colt_log_parse_level (colt_settings_string (settings, "log", "level"),
                        &level);
  if (colt_log_open (level, &error))
    return true;
  fprintf (stderr, "coltsfootstile: %s\n",
           colt_error_format (&error, line, sizeof line));
  return false;
}

static void
fill_settings_ (const struct ColtSettings *settings,
                struct ColtSchedulerSettings *scheduler,
                struct ColtAdapterSettings *adapter)
{
  scheduler->name = colt_settings_string (settings, "instance", "name");
  scheduler->zone = colt_settings_string (settings, "instance", "zone");
  scheduler->internal = colt_settings_string (settings, "instance", "internal");
  scheduler->strength = MIN (
      parse_number_ (settings, "cpu_share") * parse_number_ (settings, "cores"),
      parse_number_ (settings, "link_mbps") / LEADER_LINK_MBPS);
  scheduler->lease_max_ms
      = (uint32_t)colt_settings_integer (settings, "bounds", "lease_max_ms");
  scheduler->status_s
      = (uint32_t)colt_settings_integer (settings, "bounds", "status_s");
  scheduler->grace_ms
      = (uint32_t)colt_settings_integer (settings, "bounds", "grace_s") * 1000;
  scheduler->isolation_ms
      = (uint32_t)colt_settings_integer (settings, "readiness", "isolation_ms");
  scheduler->config_ms
      = (uint32_t)colt_settings_integer (settings, "bounds", "config_ms");
  scheduler->half_life_s
      = (uint32_t)colt_settings_integer (settings, "fairness", "half_life_s");
  scheduler->wait_max_ms
      = (uint32_t)colt_settings_integer (settings, "fairness", "wait_max_ms");
  scheduler->forecasts
      = colt_settings_integer (settings, "admission", "forecast") != 0;
  adapter->callers = colt_settings_string (settings, "listen", "callers");
  adapter->readiness = colt_settings_string (settings, "listen", "readiness");
  adapter->state = colt_settings_string (settings, "listen", "state");
  adapter->log = colt_settings_string (settings, "services", "log");
  adapter->adviser = colt_settings_string (settings, "services", "adviser");
  adapter->limits = colt_http_limits_read (settings);
  adapter->readiness_connections = (uint32_t)colt_settings_integer (
      settings, "limits", "readiness_connections");
  adapter->state_connections = (uint32_t)colt_settings_integer (
      settings, "limits", "state_connections");
}

static double
parse_number_ (const struct ColtSettings *settings, const char *key)
{
  double value
      = g_ascii_strtod (colt_settings_string (settings, "instance", key), NULL);

  return value > 0 ? value : NUMBER_MIN;
}

static void
on_stop_signal_ (evutil_socket_t number, short what, void *arg)
{
  struct ColtCellProcess *process = arg;

  (void)number;
  (void)what;
  colt_scheduler_stop (process->scheduler);
}

/* Applies the log level only: the addresses and bounds of a running process
 * don't change. If the file can't be read, the current settings stay. */
static void
on_reload_signal_ (evutil_socket_t number, short what, void *arg)
{
  const struct ColtCellProcess *process = arg;
  struct ColtSettings *settings
      = colt_settings_create (specs, G_N_ELEMENTS (specs));
  enum ColtLogLevel level;

  (void)number;
  (void)what;
  if (colt_settings_read (settings, process->path, NULL)
      && colt_log_parse_level (colt_settings_string (settings, "log", "level"),
                               &level))
    {
      colt_log_set_level (level);
      colt_log (COLT_LOG_INFO, MODULE, NULL,
                "settings reloaded; the log level is now %s",
                colt_log_level_string[level]);
    }
  else
    colt_log (COLT_LOG_ERROR, MODULE, NULL,
              "settings reload failed; keeping the current settings");
  colt_settings_destroy (settings);
}
