#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#include "bundle_internal.h"

/* Maximum number of problems in a list. */
#define PROBLEMS_MAX 1000u

struct ColtProblems
{
  GArray *list; /* of struct ColtProblem */
};

static gint compare_lines_ (gconstpointer a, gconstpointer b);

struct ColtProblems *
colt_problems_create (void)
{
  struct ColtProblems *problems = g_new0 (struct ColtProblems, 1);

  problems->list = g_array_new (FALSE, TRUE, sizeof (struct ColtProblem));
  return problems;
}

void
colt_problems_destroy (struct ColtProblems *problems)
{
  if (problems == NULL)
    return;
  g_array_unref (problems->list);
  g_free (problems);
}

size_t
colt_problems_count (const struct ColtProblems *problems)
{
  return problems->list->len;
}

const struct ColtProblem *
colt_problems_get (const struct ColtProblems *problems, size_t index)
{
  assert (index < problems->list->len);
  return &g_array_index (problems->list, struct ColtProblem, index);
}

void
colt_problems_add (struct ColtProblems *problems,
                   int line,
                   const char *format,
                   ...)
{
  struct ColtProblem problem = { line, "" };
  va_list values;

  if (problems->list->len >= PROBLEMS_MAX)
    return;
  va_start (values, format);
  vsnprintf (problem.reason, sizeof problem.reason, format, values);
  va_end (values);
  g_array_append_val (problems->list, problem);
}

void
colt_problems_sort (struct ColtProblems *problems)
{
  g_array_sort (problems->list, compare_lines_);
}

static gint
compare_lines_ (gconstpointer a, gconstpointer b)
{
  const struct ColtProblem *left = a;
  const struct ColtProblem *right = b;

  return (left->line > right->line) - (left->line < right->line);
}
