#include "lines.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "coltsfootstile/json.h"

static bool visit_line_ (const char *text,
                         size_t size,
                         uint32_t line,
                         ColtLineVisitor visit,
                         void *client,
                         struct ColtError *error);

bool
colt_lines_read (const char *path,
                 ColtLineVisitor visit,
                 void *client,
                 char **problem)
{
  FILE *file = fopen (path, "re");
  struct ColtError error = { 0 };
  char *text = NULL;
  size_t buffer_size = 0;
  uint32_t line = 0;
  bool good = true;
  ssize_t size;

  if (file == NULL)
    {
      *problem = g_strdup_printf ("%s:0: %s", path, g_strerror (errno));
      return false;
    }
  while (good && (size = getline (&text, &buffer_size, file)) >= 0)
    good = visit_line_ (text, (size_t)size, ++line, visit, client, &error);
  if (!good)
    *problem = g_strdup_printf ("%s:%u: %s", path, line, error.message);
  else if (ferror (file))
    {
      *problem = g_strdup_printf ("%s:%u: read error", path, line);
      good = false;
    }
  free (text);
  fclose (file);
  return good;
}

static bool
visit_line_ (const char *text,
             size_t size,
             uint32_t line,
             ColtLineVisitor visit,
             void *client,
             struct ColtError *error)
{
  const struct ColtJsonContext context = { NULL, error };
  json_t *object;
  bool good;

  if (size > 0 && text[size - 1] == '\n')
    size--;
  if (size == 0)
    return true;
  object = colt_json_parse (&context, text, size);
  if (object == NULL)
    return false;
  good = visit (client, object, line, error);
  json_decref (object);
  return good;
}
