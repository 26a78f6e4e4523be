#include <argtable2.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/address.h"
#include "ctl.h"

#define LIST_MAX 256
#define ERRORS_MAX 20

struct ColtCtlTable
{
  void **entries; /* one per option, then json, help and end */
  size_t count;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_end *end;
};

static void build_table_ (struct ColtCtlTable *table,
                          const struct ColtCtlSyntax *syntax);
static void *build_table_entry_ (const struct ColtCtlOption *option);
static bool store_options_ (const struct ColtCtlSyntax *syntax,
                            const struct ColtCtlTable *table);
static bool store_option_ (const struct ColtCtlSyntax *syntax,
                           const struct ColtCtlOption *option,
                           const void *entry);
static bool store_number_ (const struct ColtCtlSyntax *syntax,
                           const struct ColtCtlOption *option,
                           const char *text);
static bool check_address_ (const struct ColtCtlSyntax *syntax,
                            const struct ColtCtlOption *option,
                            const char *text);
static const char *option_name_ (const struct ColtCtlOption *option);
static void print_help_ (const struct ColtCtlSyntax *syntax,
                         const struct ColtCtlTable *table);

bool
colt_ctl_parse (const struct ColtCtlSyntax *syntax,
                int argc,
                char **argv,
                bool *json,
                enum ColtCtlExit *exit_code)
{
  struct ColtCtlTable table;
  bool run = false;
  int problems;

  build_table_ (&table, syntax);
  problems = arg_parse (argc, argv, table.entries);
  *json = table.json->count > 0;
  *exit_code = COLT_CTL_USAGE;
  if (table.help->count > 0)
    {
      print_help_ (syntax, &table);
      *exit_code = COLT_CTL_OK;
    }
  else if (problems > 0)
    {
      arg_print_errors (stderr, table.end, syntax->command);
      fprintf (stderr, "Try: %s --help\n", syntax->command);
    }
  else
    run = store_options_ (syntax, &table);
  arg_freetable (table.entries, table.count + 3);
  g_free (table.entries);
  return run;
}

static void
build_table_ (struct ColtCtlTable *table, const struct ColtCtlSyntax *syntax)
{
  size_t i;

  table->count = syntax->count;
  table->entries = g_new0 (void *, syntax->count + 3);
  for (i = 0; i < syntax->count; i++)
    table->entries[i] = build_table_entry_ (&syntax->options[i]);
  table->json = arg_lit0 (NULL, "json", "print the result as JSON");
  table->help = arg_lit0 (NULL, "help", "print this help and exit");
  table->end = arg_end (ERRORS_MAX);
  table->entries[i] = table->json;
  table->entries[i + 1] = table->help;
  table->entries[i + 2] = table->end;
}

static void *
build_table_entry_ (const struct ColtCtlOption *option)
{
  int maximum = 1;

  if (option->kind == COLT_CTL_FLAG)
    return arg_lit0 (NULL, option->name, option->help);
  if (option->kind == COLT_CTL_LIST || option->kind == COLT_CTL_ADDRESSES)
    maximum = LIST_MAX;
  return arg_strn (NULL, option->name, option->placeholder,
                   option->required ? 1 : 0, maximum, option->help);
}

static bool
store_options_ (const struct ColtCtlSyntax *syntax,
                const struct ColtCtlTable *table)
{
  bool good = true;
  size_t i;

  for (i = 0; i < table->count; i++)
    good = store_option_ (syntax, &syntax->options[i], table->entries[i])
           && good;
  return good;
}

static bool
store_option_ (const struct ColtCtlSyntax *syntax,
               const struct ColtCtlOption *option,
               const void *entry)
{
  const struct arg_lit *flag = entry;
  const struct arg_str *text = entry;
  bool good = true;
  int i;

  if (option->kind == COLT_CTL_FLAG)
    {
      *(bool *)option->target = flag->count > 0;
      return true;
    }
  for (i = 0; i < text->count; i++)
    {
      if (option->kind == COLT_CTL_ADDRESS
          || option->kind == COLT_CTL_ADDRESSES)
        good = check_address_ (syntax, option, text->sval[i]) && good;
      if (option->kind == COLT_CTL_NUMBER)
        good = store_number_ (syntax, option, text->sval[i]) && good;
      else if (option->kind == COLT_CTL_LIST
               || option->kind == COLT_CTL_ADDRESSES)
        g_ptr_array_add (*(GPtrArray **)option->target, (char *)text->sval[i]);
      else
        *(const char **)option->target = text->sval[i];
    }
  return good;
}

static bool
store_number_ (const struct ColtCtlSyntax *syntax,
               const struct ColtCtlOption *option,
               const char *text)
{
  long long number;
  char *end;

  errno = 0;
  number = strtoll (text, &end, 10);
  if (end != text && *end == '\0' && errno == 0 && number >= option->minimum
      && number <= option->maximum)
    {
      *(int64_t *)option->target = number;
      return true;
    }
  fprintf (stderr,
           "%s: %s: \"%s\" is not a whole number from %" PRId64 " to %" PRId64
           "\n",
           syntax->command, option_name_ (option), text, option->minimum,
           option->maximum);
  return false;
}

static bool
check_address_ (const struct ColtCtlSyntax *syntax,
                const struct ColtCtlOption *option,
                const char *text)
{
  struct ColtAddress address;

  if (colt_address_parse (text, &address) == COLT_ADDRESS_VALID)
    return true;
  fprintf (stderr, "%s: %s: \"%s\" is not IP:PORT\n", syntax->command,
           option_name_ (option), text);
  return false;
}

static const char *
option_name_ (const struct ColtCtlOption *option)
{
  return option->name != NULL ? option->name : option->placeholder;
}

static void
print_help_ (const struct ColtCtlSyntax *syntax,
             const struct ColtCtlTable *table)
{
  printf ("%s: %s\n\nUsage: %s", syntax->command, syntax->summary,
          syntax->command);
  arg_print_syntax (stdout, table->entries, "\n\n");
  arg_print_glossary (stdout, table->entries, "  %-28s %s\n");
}
