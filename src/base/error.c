#include "coltsfootstile/error.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const char *const colt_error_code_string[]
    = { "none",      "invalid",  "refused", "unreachable", "timeout",
        "truncated", "conflict", "fenced",  "exhausted",   "system" };

const char *const colt_step_string[]
    = { "none",      "settings", "listen", "connect", "send", "receive",
        "decode",    "check",    "sign",   "append",  "read", "lease",
        "inventory", "place",    "start",  "answer" };

bool
colt_error_set (struct ColtError *error,
                enum ColtErrorCode code,
                enum ColtStep step,
                const char *peer,
                const char *format,
                ...)
{
  va_list args;

  assert (code != COLT_ERROR_NONE);
  if (error == NULL)
    return false;
  error->code = code;
  error->step = step;
  snprintf (error->peer, sizeof error->peer, "%s", peer != NULL ? peer : "");
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return false;
}

void
colt_error_clear (struct ColtError *error)
{
  if (error != NULL)
    memset (error, 0, sizeof *error);
}

const char *
colt_error_format (const struct ColtError *error, char *buffer, size_t size)
{
  assert (size > 0);
  snprintf (buffer, size, "%s: %s%s%s (%s)", colt_step_string[error->step],
            error->peer, error->peer[0] != '\0' ? ": " : "", error->message,
            colt_error_code_string[error->code]);
  return buffer;
}
