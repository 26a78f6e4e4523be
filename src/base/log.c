#include "coltsfootstile/log.h"

#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "coltsfootstile/clock.h"

#define CATEGORY_NAME "coltsfootstile"
#define LAYOUT_NAME "coltsfootstile_json"
#define APPENDER_NAME "coltsfootstile_stdout"
/* Lines that may be written in a burst after a pause. */
#define BURST_LINES (2 * COLT_LOG_LINES_PER_S)

const char *const colt_log_level_string[]
    = { "error", "warning", "info", "debug" };

static const int priority_of_level[]
    = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
        LOG4C_PRIORITY_DEBUG };

static const char *format_line_ (const log4c_layout_t *layout,
                                 const log4c_logging_event_t *event);
static int append_line_ (log4c_appender_t *appender,
                         const log4c_logging_event_t *event);
static int write_stdout_ (const char *text);
static bool take_token_ (enum ColtLogLevel level);
static void write_line_ (enum ColtLogLevel level, json_t *line);
static json_t *create_line_ (enum ColtLogLevel level, const char *module);
static json_t *create_message_line_ (enum ColtLogLevel level,
                                     const char *module,
                                     const struct ColtLogContext *context,
                                     const char *message);
static void set_string_ (json_t *line, const char *name, const char *value);
static void format_time_ (char *text, size_t size);

/* log4c's built-in stream appenders put a name before each line. */
static const log4c_appender_type_t line_appender
    = { "coltsfootstile_line", NULL, append_line_, NULL };
static const log4c_layout_type_t json_layout = { LAYOUT_NAME, format_line_ };
static log4c_category_t *category;

/* Token bucket of the levels info and debug. */
static double tokens = BURST_LINES;
static int64_t refilled_us;
/* Number of lines dropped since the last line that reported it. */
static uint64_t dropped;

bool
colt_log_open (enum ColtLogLevel level, struct ColtError *error)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  log4c_layout_type_set (&json_layout);
  log4c_appender_type_set (&line_appender);
  if (log4c_init () != 0)
    return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_SETTINGS, NULL,
                           "log4c can't be initialised");
  layout = log4c_layout_get (LAYOUT_NAME);
  log4c_layout_set_type (layout, &json_layout);
  appender = log4c_appender_get (APPENDER_NAME);
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get (CATEGORY_NAME);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, priority_of_level[level]);
  return true;
}

void
colt_log_close (void)
{
  if (category == NULL)
    return;
  category = NULL;
  log4c_fini ();
}

void
colt_log_set_level (enum ColtLogLevel level)
{
  if (category != NULL)
    log4c_category_set_priority (category, priority_of_level[level]);
}

bool
colt_log_parse_level (const char *name, enum ColtLogLevel *level)
{
  int i;

  for (i = COLT_LOG_ERROR; i <= COLT_LOG_DEBUG; i++)
    if (strcmp (name, colt_log_level_string[i]) == 0)
      {
        *level = (enum ColtLogLevel)i;
        return true;
      }
  return false;
}

void
colt_log (enum ColtLogLevel level,
          const char *module,
          const struct ColtLogContext *context,
          const char *format,
          ...)
{
  va_list args;
  char message[1024];

  if (!colt_log_is_on (level) || !take_token_ (level))
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  write_line_ (level, create_message_line_ (level, module, context, message));
}

bool
colt_log_is_on (enum ColtLogLevel level)
{
  return category != NULL
         && log4c_category_is_priority_enabled (category,
                                                priority_of_level[level]);
}

void
colt_log_event (enum ColtLogLevel level,
                const char *module,
                const char *event,
                const char *request,
                const struct ColtLogField *fields,
                size_t count)
{
  json_t *line;
  size_t i;

  if (!colt_log_is_on (level) || !take_token_ (level))
    return;
  line = create_line_ (level, module);
  set_string_ (line, "event", event);
  if (request != NULL && request[0] != '\0')
    set_string_ (line, "request", request);
  for (i = 0; i < count; i++)
    if (fields[i].text != NULL)
      set_string_ (line, fields[i].name, fields[i].text);
    else
      json_object_set_new (line, fields[i].name,
                           json_integer (fields[i].number));
  write_line_ (level, line);
}

void
colt_log_error (enum ColtLogLevel level,
                const char *module,
                const char *what,
                const struct ColtError *error)
{
  struct ColtLogContext context = { error->step, NULL, NULL };

  if (error->peer[0] != '\0')
    context.peer = error->peer;
  colt_log (level, module, &context, "%s: %s (%s)", what, error->message,
            colt_error_code_string[error->code]);
}

static const char *
format_line_ (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char *line;

  (void)layout;
  g_free (line);
  line = g_strconcat (event->evt_msg, "\n", NULL);
  return line;
}

static int
append_line_ (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return write_stdout_ (event->evt_rendered_msg);
}

/* Drops the text if standard output isn't writable, because a reader that has
 * stalled must not block the process. */
static int
write_stdout_ (const char *text)
{
  struct pollfd out = { STDOUT_FILENO, POLLOUT, 0 };
  size_t size = strlen (text);

  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0
      && write (STDOUT_FILENO, text, size) == (ssize_t)size)
    return 0;
  dropped++;
  return -1;
}

static bool
take_token_ (enum ColtLogLevel level)
{
  int64_t now_us = colt_clock_monotonic_us ();

  if (level <= COLT_LOG_WARNING)
    return true;
  tokens
      += (double)(now_us - refilled_us) * COLT_LOG_LINES_PER_S / COLT_US_PER_S;
  refilled_us = now_us;
  if (tokens > BURST_LINES)
    tokens = BURST_LINES;
  if (tokens < 1)
    {
      dropped++;
      return false;
    }
  tokens -= 1;
  return true;
}

/* Writes a line, with the number of lines dropped before it, which are reported
 * once a line was written. Frees line. */
static void
write_line_ (enum ColtLogLevel level, json_t *line)
{
  uint64_t reported = dropped;
  char *text;

  if (reported > 0)
    json_object_set_new (line, "dropped_lines",
                         json_integer ((json_int_t)reported));
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  log4c_category_log (category, priority_of_level[level], "%s", text);
  if (dropped == reported)
    dropped = 0;
  free (text);
}

static json_t *
create_line_ (enum ColtLogLevel level, const char *module)
{
  json_t *line = json_object ();
  char time_text[40];

  format_time_ (time_text, sizeof time_text);
  set_string_ (line, "time", time_text);
  set_string_ (line, "level", colt_log_level_string[level]);
  set_string_ (line, "module", module);
  return line;
}

static json_t *
create_message_line_ (enum ColtLogLevel level,
                      const char *module,
                      const struct ColtLogContext *context,
                      const char *message)
{
  json_t *line = create_line_ (level, module);
  char id[COLT_ID_TEXT_SIZE];

  if (context != NULL && context->step != COLT_STEP_NONE)
    set_string_ (line, "step", colt_step_string[context->step]);
  if (context != NULL && context->peer != NULL)
    set_string_ (line, "peer", context->peer);
  if (context != NULL && context->request != NULL)
    set_string_ (line, "request", colt_id_format (context->request, id));
  set_string_ (line, "message", message);
  return line;
}

static void
set_string_ (json_t *line, const char *name, const char *value)
{
  char *valid = g_utf8_make_valid (value, -1);

  json_object_set_new (line, name, json_string (valid));
  g_free (valid);
}

static void
format_time_ (char *text, size_t size)
{
  int64_t now_us = colt_clock_wall_us ();
  time_t seconds = (time_t)(now_us / COLT_US_PER_S);
  struct tm parts;
  char date[24];

  gmtime_r (&seconds, &parts);
  strftime (date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (text, size, "%s.%06dZ", date, (int)(now_us % COLT_US_PER_S));
}
