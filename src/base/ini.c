#include "coltsfootstile/ini.h"

#include <ini.h>
#include <string.h>

struct ColtIniReader
{
  const char *rest; /* text that is still unread */
  int line;         /* number of the line read last */
  int long_line;    /* number of the first line that is too long, 0 if none */
  ColtIniHandler handler;
  void *client;
};

static char *read_line_ (char *buffer, int size, void *stream);
static int handle_key_ (void *user,
                        const char *section,
                        const char *key,
                        const char *value);

bool
colt_ini_parse (const char *text,
                ColtIniHandler handler,
                void *client,
                int *line,
                struct ColtError *error)
{
  struct ColtIniReader reader = { text, 0, 0, handler, client };
  int bad_line = ini_parse_stream (read_line_, &reader, handle_key_, &reader);

  *line = 0;
  if (reader.long_line > 0)
    {
      *line = reader.long_line;
      return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
                             "line %d is too long", *line);
    }
  if (bad_line == 0)
    return true;
  *line = bad_line;
  return colt_error_set (
      error, COLT_ERROR_INVALID, COLT_STEP_DECODE, NULL,
      "line %d is not a [section], a key = value or a comment", *line);
}

/* Copies one line for inih. A line that is too long is cut off and recorded. */
static char *
read_line_ (char *buffer, int size, void *stream)
{
  struct ColtIniReader *reader = stream;
  const char *end;
  size_t length;
  size_t copied;

  if (reader->rest[0] == '\0')
    return NULL;
  reader->line++;
  end = strchr (reader->rest, '\n');
  length = end != NULL ? (size_t)(end - reader->rest) : strlen (reader->rest);
  copied = length;
  if (copied > (size_t)size - 2)
    {
      copied = (size_t)size - 2;
      if (reader->long_line == 0)
        reader->long_line = reader->line;
    }
  memcpy (buffer, reader->rest, copied);
  buffer[copied] = '\n';
  buffer[copied + 1] = '\0';
  reader->rest += length + (end != NULL ? 1 : 0);
  return buffer;
}

static int
handle_key_ (void *user,
             const char *section,
             const char *key,
             const char *value)
{
  struct ColtIniReader *reader = user;

  reader->handler (reader->client, section, key, value, reader->line);
  return 1;
}
