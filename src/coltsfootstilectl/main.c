#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

#ifndef COLT_VERSION
#define COLT_VERSION "unknown"
#endif

static const struct ColtCtlCommand *const tables[]
    = { colt_ctl_bundle_commands, colt_ctl_keygen_commands,
        colt_ctl_roll_commands,   colt_ctl_key_commands,
        colt_ctl_task_commands,   colt_ctl_state_commands,
        colt_ctl_load_commands,   colt_ctl_config_commands };

static const struct ColtCtlCommand *
find_command_ (int argc, char **argv, int *word_count);
static bool matches_command_ (const struct ColtCtlCommand *command,
                              int argc,
                              char **argv,
                              int *word_count);
static void print_help_ (FILE *file);

int
main (int argc, char **argv)
{
  const struct ColtCtlCommand *command;
  struct ColtError error;
  int word_count = 0;

  signal (SIGPIPE, SIG_IGN);
  if (!colt_sign_init (&error))
    return colt_ctl_fail (false, COLT_CTL_REFUSED, &error);
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      print_help_ (stdout);
      return COLT_CTL_OK;
    }
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    {
      puts ("coltsfootstilectl " COLT_VERSION);
      return COLT_CTL_OK;
    }
  command = find_command_ (argc, argv, &word_count);
  if (command != NULL)
    return (int)command->run (argc - word_count, argv + word_count);
  print_help_ (stderr);
  return COLT_CTL_USAGE;
}

static const struct ColtCtlCommand *
find_command_ (int argc, char **argv, int *word_count)
{
  size_t i;
  const struct ColtCtlCommand *command;

  for (i = 0; i < G_N_ELEMENTS (tables); i++)
    for (command = tables[i]; command->run != NULL; command++)
      if (matches_command_ (command, argc, argv, word_count))
        return command;
  return NULL;
}

/* Returns whether the command line begins with this command. WORD_COUNT is set
   to the number of words of the command, which is also the index in ARGV of its
   last word: argtable takes that word for the program's name. */
static bool
matches_command_ (const struct ColtCtlCommand *command,
                  int argc,
                  char **argv,
                  int *word_count)
{
  bool grouped = command->group[0] != '\0';

  *word_count = grouped ? 2 : 1;
  if (argc <= *word_count)
    return false;
  return (!grouped || strcmp (argv[1], command->group) == 0)
         && strcmp (argv[*word_count], command->name) == 0;
}

static void
print_help_ (FILE *file)
{
  size_t i;
  const struct ColtCtlCommand *command;

  fprintf (file, "Usage: coltsfootstilectl COMMAND [OPTIONS]\n"
                 "       coltsfootstilectl COMMAND --help\n"
                 "       coltsfootstilectl --version\n\nCommands:\n");
  for (i = 0; i < G_N_ELEMENTS (tables); i++)
    for (command = tables[i]; command->run != NULL; command++)
      {
        char *words = g_strconcat (command->group, " ", command->name, NULL);

        fprintf (file, "  %-16s %s\n", g_strstrip (words), command->summary);
        g_free (words);
      }
  fprintf (file, "\nExit codes: 0 ok, 1 refused or not run, 2 wrong usage, "
                 "3 outcome unknown,\n4 unreachable, 5 conflict.\n");
}
