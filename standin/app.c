#include "app.h"

#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

struct ColtStandinParser
{
  struct arg_lit *help;
  struct arg_end *end;
  void **table; /* one entry per option, then help and end */
  size_t count; /* of options */
};

enum
{
  PROBLEM_MAX = 20 /* errors printed for one command line */
};

static void build_parser_ (struct ColtStandinParser *parser,
                           const struct ColtStandinOption *options,
                           size_t count);
static void store_values_ (const struct ColtStandinParser *parser,
                           const struct ColtStandinOption *options);
static void print_help_ (const struct ColtStandinParser *parser,
                         const char *program);
static void stop_loop_ (evutil_socket_t fd, short what, void *data);

enum ColtStandinParseResult
colt_standin_app_parse (int argc,
                        char **argv,
                        const struct ColtStandinOption *options,
                        size_t count)
{
  struct ColtStandinParser parser;
  enum ColtStandinParseResult result = COLT_STANDIN_PARSED;
  int problems;

  build_parser_ (&parser, options, count);
  problems = arg_parse (argc, argv, parser.table);
  if (parser.help->count > 0)
    {
      print_help_ (&parser, argv[0]);
      result = COLT_STANDIN_HELP_PRINTED;
    }
  else if (problems > 0)
    {
      arg_print_errors (stderr, parser.end, argv[0]);
      result = COLT_STANDIN_USAGE_ERROR;
    }
  else
    store_values_ (&parser, options);
  arg_freetable (parser.table, count + 2);
  g_free (parser.table);
  return result;
}

json_t *
colt_standin_load_json (const char *path, struct ColtError *error)
{
  json_error_t problem;
  json_t *json = json_load_file (path, 0, &problem);

  if (json == NULL)
    colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, path,
                    "line %d: %s", problem.line, problem.text);
  return json;
}

void
colt_standin_app_run (struct event_base *base, int64_t max_seconds)
{
  struct event *term_event = evsignal_new (base, SIGTERM, stop_loop_, base);
  struct event *int_event = evsignal_new (base, SIGINT, stop_loop_, base);
  struct event *end_timer = evtimer_new (base, stop_loop_, base);
  struct timeval end = { max_seconds, 0 };

  signal (SIGPIPE, SIG_IGN);
  evsignal_add (term_event, NULL);
  evsignal_add (int_event, NULL);
  evtimer_add (end_timer, &end);
  puts ("ready");
  fflush (stdout);
  event_base_dispatch (base);
  event_free (term_event);
  event_free (int_event);
  event_free (end_timer);
}

int
colt_standin_print_error (const struct ColtError *error)
{
  char line[COLT_ERROR_PEER_SIZE + COLT_ERROR_MESSAGE_SIZE];

  fprintf (stderr, "%s\n", colt_error_format (error, line, sizeof line));
  return 1;
}

static void
build_parser_ (struct ColtStandinParser *parser,
               const struct ColtStandinOption *options,
               size_t count)
{
  size_t i;

  parser->count = count;
  parser->table = g_new0 (void *, count + 2);
  for (i = 0; i < count; i++)
    {
      const struct ColtStandinOption *option = &options[i];

      if (option->text != NULL)
        parser->table[i] = arg_strn (NULL, option->name, option->value,
                                     option->required, 1, option->help);
      else
        parser->table[i]
            = arg_intn (NULL, option->name, option->value, 0, 1, option->help);
    }
  parser->help = arg_lit0 (NULL, "help", "print this help and exit");
  parser->end = arg_end (PROBLEM_MAX);
  parser->table[count] = parser->help;
  parser->table[count + 1] = parser->end;
}

static void
store_values_ (const struct ColtStandinParser *parser,
               const struct ColtStandinOption *options)
{
  size_t i;

  for (i = 0; i < parser->count; i++)
    {
      if (options[i].text != NULL)
        {
          const struct arg_str *text = parser->table[i];

          if (text->count > 0)
            *options[i].text = text->sval[0];
        }
      else
        {
          const struct arg_int *number = parser->table[i];

          if (number->count > 0)
            *options[i].number = number->ival[0];
        }
    }
}

static void
print_help_ (const struct ColtStandinParser *parser, const char *program)
{
  printf ("Usage: %s", program);
  arg_print_syntax (stdout, parser->table, "\n");
  arg_print_glossary (stdout, parser->table, "  %-28s %s\n");
}

static void
stop_loop_ (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (data);
}
