#include <argtable2.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "reader.h"
#include "report.h"

#define FILES_MAX 256
#define ERRORS_MAX 20
#define PROGRAM "coltsfootstile_history"

/* Exit statuses. */
enum
{
  EXIT_GOOD = 0,
  EXIT_BROKEN = 1,
  EXIT_BAD_INPUT = 2
};

struct ColtHistoryOptions
{
  struct arg_file *run;
  struct arg_file *callers;
  struct arg_file *servers;
  struct arg_file *log;
  struct arg_file *json;
  struct arg_lit *table;
  struct arg_lit *help;
  struct arg_end *end;
};

typedef bool (*ColtFileReader) (struct ColtHistory *history,
                                const char *path,
                                char **problem);

static int read_and_check_ (const struct ColtHistoryOptions *options);
static bool read_records_ (struct ColtHistory *history,
                           const struct ColtHistoryOptions *options,
                           char **problem);
static bool read_files_ (struct ColtHistory *history,
                         const struct arg_file *files,
                         ColtFileReader read,
                         char **problem);
static int check_history_ (const struct ColtHistory *history,
                           const struct ColtHistoryOptions *options);
static bool write_report_ (const json_t *report,
                           const struct ColtHistoryOptions *options);

int
main (int argc, char **argv)
{
  struct ColtHistoryOptions options
      = { .run = arg_file1 (NULL, "run", "FILE", "description of the run"),
          .callers = arg_filen (NULL, "callers", "FILE", 0, FILES_MAX,
                                "records of the callers of a load"),
          .servers = arg_filen (NULL, "servers", "FILE", 0, FILES_MAX,
                                "records of backend servers"),
          .log
          = arg_filen (NULL, "log", "FILE", 0, FILES_MAX, "records of the log"),
          .json = arg_file0 (NULL, "json", "FILE",
                             "also write the JSON report to FILE"),
          .table = arg_lit0 (NULL, "table", "print a table instead of JSON"),
          .help = arg_lit0 (NULL, "help", "print this help and exit"),
          .end = arg_end (ERRORS_MAX) };
  void *table[]
      = { options.run,  options.callers, options.servers, options.log,
          options.json, options.table,   options.help,    options.end };
  int status = EXIT_BAD_INPUT;
  int problems = arg_parse (argc, argv, table);

  if (options.help->count > 0)
    {
      printf ("Checks the records of a run and reports the promises it broke.\n"
              "Usage: " PROGRAM);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      status = EXIT_GOOD;
    }
  else if (problems > 0)
    arg_print_errors (stderr, options.end, PROGRAM);
  else
    status = read_and_check_ (&options);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

static int
read_and_check_ (const struct ColtHistoryOptions *options)
{
  struct ColtHistory *history = colt_history_create ();
  char *problem = NULL;
  int status = EXIT_BAD_INPUT;

  if (read_records_ (history, options, &problem))
    status = check_history_ (history, options);
  else
    fprintf (stderr, "%s: %s\n", PROGRAM, problem);
  g_free (problem);
  colt_history_destroy (history);
  return status;
}

static bool
read_records_ (struct ColtHistory *history,
               const struct ColtHistoryOptions *options,
               char **problem)
{
  return read_files_ (history, options->run, colt_history_read_run, problem)
         && read_files_ (history, options->callers, colt_history_read_calls,
                         problem)
         && read_files_ (history, options->servers, colt_history_read_events,
                         problem)
         && read_files_ (history, options->log, colt_history_read_events,
                         problem);
}

static bool
read_files_ (struct ColtHistory *history,
             const struct arg_file *files,
             ColtFileReader read,
             char **problem)
{
  int i;

  for (i = 0; i < files->count; i++)
    if (!read (history, files->filename[i], problem))
      return false;
  return true;
}

static int
check_history_ (const struct ColtHistory *history,
                const struct ColtHistoryOptions *options)
{
  struct ColtHistorySpans *spans = colt_history_spans_create (history);
  struct ColtHistoryVerdict *verdict = colt_history_check (history, spans);
  struct ColtHistoryMeasures measures;
  int status = EXIT_GOOD;
  json_t *report;

  colt_history_measure (history, spans, &measures);
  report = colt_history_report (history, verdict, &measures);
  if (!colt_history_verdict_is_good (verdict))
    status = EXIT_BROKEN;
  if (options->table->count > 0)
    colt_history_print (stdout, history, verdict, &measures);
  if (!write_report_ (report, options))
    status = EXIT_BAD_INPUT;
  json_decref (report);
  colt_history_verdict_destroy (verdict);
  colt_history_spans_destroy (spans);
  return status;
}

static bool
write_report_ (const json_t *report, const struct ColtHistoryOptions *options)
{
  if (options->table->count == 0)
    {
      json_dumpf (report, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  if (options->json->count == 0)
    return true;
  if (json_dump_file (report, options->json->filename[0], JSON_INDENT (2)) == 0)
    return true;
  fprintf (stderr, "%s: %s: %s\n", PROGRAM, options->json->filename[0],
           g_strerror (errno));
  return false;
}
