#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell_main.h"
#include "coltsfootstile/log.h"
#include "daemon_settings.h"
#include "instance.h"

/* Exit statuses. */
enum
{
  STATUS_OK = 0,
  STATUS_FAILED = 1,
  STATUS_USAGE = 2
};

static int run_arguments_ (int argc, char **argv);
static int run_file_ (const char *path, bool check_only);
static void print_problems_ (const struct ColtSettings *settings);
static bool check_values_ (const struct ColtSettings *settings,
                           const char *path);
static bool check_peers_ (const struct ColtSettings *settings,
                          const char *path);
static int run_instance_ (const struct ColtSettings *settings);
static void on_signal_ (evutil_socket_t signal_number, short what, void *arg);

int
main (int argc, char **argv)
{
  return run_arguments_ (argc, argv);
}

static int
run_arguments_ (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_lit *cell
      = arg_lit0 (NULL, "cell", "run as an instance of a cell");
  struct arg_file *file
      = arg_file0 ("s", "settings", "FILE", "settings file in INI format");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, version, check, cell, file, end };
  int errors = arg_parse (argc, argv, table);
  int status = STATUS_OK;

  if (help->count > 0)
    {
      printf ("Usage: coltsfootstile");
      arg_print_syntax (stdout, table, "\n");
      printf ("Runs one entry instance of the scheduler.\n\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  else if (version->count > 0)
    printf ("coltsfootstile %s\n", COLT_VERSION);
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "coltsfootstile");
      status = STATUS_USAGE;
    }
  else if (cell->count > 0)
    status = colt_cell_main (file->count > 0 ? file->filename[0] : NULL,
                             check->count > 0);
  else if (file->count == 0)
    {
      fprintf (stderr, "coltsfootstile: --settings FILE is required\n");
      status = STATUS_USAGE;
    }
  else
    status = run_file_ (file->filename[0], check->count > 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

static int
run_file_ (const char *path, bool check_only)
{
  struct ColtSettings *settings
      = colt_settings_create (colt_daemon_settings, colt_daemon_setting_count);
  bool good = colt_settings_read (settings, path, NULL);
  int status = STATUS_USAGE;

  print_problems_ (settings);
  if (good && check_values_ (settings, path))
    status = check_only ? STATUS_OK : run_instance_ (settings);
  colt_settings_destroy (settings);
  return status;
}

static void
print_problems_ (const struct ColtSettings *settings)
{
  size_t i;

  for (i = 0; i < colt_settings_problem_count (settings); i++)
    fprintf (stderr, "coltsfootstile: %s\n",
             colt_settings_problem (settings, i));
}

/* Checks what the table of settings can't express. */
static bool
check_values_ (const struct ColtSettings *settings, const char *path)
{
  const char *level_name = colt_settings_string (settings, "log", "level");
  size_t keys = colt_settings_count (settings, "trust", "operator");
  struct ColtOperatorKey key;
  enum ColtLogLevel level;
  bool good = true;
  size_t i;

  if (!colt_log_parse_level (level_name, &level))
    {
      fprintf (stderr,
               "coltsfootstile: %s: [log] level: \"%s\" is not a log level\n",
               path, level_name);
      good = false;
    }
  if (keys == 0)
    {
      fprintf (stderr, "coltsfootstile: %s: [trust] operator: is required\n",
               path);
      good = false;
    }
  for (i = 0; i < keys; i++)
    {
      const char *text = colt_settings_item (settings, "trust", "operator", i);

      if (colt_operator_key_parse (text, &key))
        continue;
      fprintf (
          stderr,
          "coltsfootstile: %s: [trust] operator: \"%s\" is not 64 hexadecimal "
          "digits 0-9a-f\n",
          path, text);
      good = false;
    }
  return check_peers_ (settings, path) && good;
}

static bool
check_peers_ (const struct ColtSettings *settings, const char *path)
{
  size_t count = colt_settings_count (settings, "instance", "peer");
  struct ColtPeerSetting peer;
  struct ColtError error;
  bool good = true;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (colt_daemon_parse_peer (
              colt_settings_item (settings, "instance", "peer", i), &peer,
              &error))
        continue;
      fprintf (stderr, "coltsfootstile: %s: [instance] peer: %s\n", path,
               error.message);
      good = false;
    }
  return good;
}

static int
run_instance_ (const struct ColtSettings *settings)
{
  struct event_base *base;
  struct event *terminate;
  struct event *interrupt;
  struct ColtInstance *instance;
  enum ColtLogLevel level = COLT_LOG_INFO;
  struct ColtError error;
  char line[512];

  signal (SIGPIPE, SIG_IGN);
  colt_log_parse_level (colt_settings_string (settings, "log", "level"),
                        &level);
  if (!colt_log_open (level, &error) || !colt_sign_init (&error))
    {
      fprintf (stderr, "coltsfootstile: %s\n",
               colt_error_format (&error, line, sizeof line));
      return STATUS_FAILED;
    }
  base = event_base_new ();
  instance = colt_instance_create (base, settings, &error);
  if (instance == NULL)
    {
      fprintf (stderr, "coltsfootstile: %s\n",
               colt_error_format (&error, line, sizeof line));
      event_base_free (base);
      colt_log_close ();
      return STATUS_FAILED;
    }
  terminate = evsignal_new (base, SIGTERM, on_signal_, instance);
  interrupt = evsignal_new (base, SIGINT, on_signal_, instance);
  event_add (terminate, NULL);
  event_add (interrupt, NULL);
  event_base_dispatch (base);
  event_free (terminate);
  event_free (interrupt);
  colt_instance_destroy (instance);
  event_base_free (base);
  colt_log (COLT_LOG_INFO, "instance", NULL, "stopped");
  colt_log_close ();
  return STATUS_OK;
}

static void
on_signal_ (evutil_socket_t signal_number, short what, void *arg)
{
  (void)signal_number;
  (void)what;
  colt_instance_stop (arg);
}
