#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "load.h"

static enum ColtCtlExit run_load_ (int argc, char **argv);
static enum ColtCtlExit load_with_plan_ (struct ColtLoadOptions *options,
                                         const char *plan_path,
                                         const char *record_path,
                                         bool json);

const struct ColtCtlCommand colt_ctl_load_commands[]
    = { { "", "load", "submit requests at a given rate for a given time",
          run_load_ },
        { NULL, NULL, NULL, NULL } };

static enum ColtCtlExit
run_load_ (int argc, char **argv)
{
  GPtrArray *entries = g_ptr_array_new ();
  const char *plan_path = NULL;
  const char *record_path = NULL;
  struct ColtLoadOptions given = { .entries = entries,
                                   .seed = 1,
                                   .rate = 50,
                                   .seconds = 10,
                                   .drain_s = 10,
                                   .connections = 100,
                                   .open_max = 20000,
                                   .timeout_ms = 10000 };
  const struct ColtCtlOption options[] = {
    { COLT_CTL_ADDRESSES, "entry", "IP:PORT", "an entry instance", true,
      &entries },
    { COLT_CTL_TEXT, "plan", "FILE", "INI file with classes of requests", true,
      &plan_path },
    { COLT_CTL_TEXT, "record", "FILE",
      "file to write with one JSON line per request", false, &record_path },
    { COLT_CTL_NUMBER, "seed", "N", "seed of all random choices (1)", false,
      &given.seed, 0, INT32_MAX },
    { COLT_CTL_NUMBER, "rate", "N", "requests per second (50)", false,
      &given.rate, 1, 20000 },
    { COLT_CTL_NUMBER, "seconds", "N", "length of the load in seconds (10)",
      false, &given.seconds, 1, 3600 },
    { COLT_CTL_NUMBER, "drain-s", "N",
      "seconds to wait for the last answers (10)", false, &given.drain_s, 0,
      600 },
    { COLT_CTL_NUMBER, "connections", "N",
      "maximum number of connections to an entry instance (100)", false,
      &given.connections, 1, 10000 },
    { COLT_CTL_NUMBER, "open", "N",
      "maximum number of unanswered requests (20000)", false, &given.open_max,
      1, 1000000 },
    { COLT_CTL_NUMBER, "retry-permille", "N",
      "of 1,000 requests N are sent again under the same id, elsewhere, after "
      "an "
      "answer with status 503 (0)",
      false, &given.retry_permille, 0, 1000 },
    { COLT_CTL_NUMBER, "timeout-ms", "N", "timeout of one call in ms (10000)",
      false, &given.timeout_ms, 1, 600000 }
  };
  const struct ColtCtlSyntax syntax
      = { "coltsfootstilectl load",
          "submit requests at a given rate for a given time", options,
          G_N_ELEMENTS (options) };
  enum ColtCtlExit exit_code;
  bool json;

  if (colt_ctl_parse (&syntax, argc, argv, &json, &exit_code))
    exit_code = load_with_plan_ (&given, plan_path, record_path, json);
  g_ptr_array_unref (entries);
  return exit_code;
}

static enum ColtCtlExit
load_with_plan_ (struct ColtLoadOptions *options,
                 const char *plan_path,
                 const char *record_path,
                 bool json)
{
  enum ColtCtlExit exit_code = COLT_CTL_OK;
  struct ColtLoadPlan plan;

  if (!colt_load_plan_read (&plan, plan_path))
    exit_code = COLT_CTL_USAGE;
  else if (record_path != NULL
           && (options->record = fopen (record_path, "w")) == NULL)
    exit_code = colt_ctl_fail_text (json, COLT_CTL_USAGE, "%s: %s", record_path,
                                    g_strerror (errno));
  if (exit_code == COLT_CTL_OK)
    {
      options->plan = &plan;
      colt_ctl_print (json, colt_load_run (options));
    }
  if (options->record != NULL && fclose (options->record) != 0)
    exit_code = colt_ctl_fail_text (json, COLT_CTL_REFUSED, "%s: %s",
                                    record_path, g_strerror (errno));
  colt_load_plan_clear (&plan);
  options->plan = NULL;
  return exit_code;
}
