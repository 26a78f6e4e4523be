#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "coltsfootstile/log.h"
#include "tests.h"

/* Lines written at once, far more than the limit lets through. */
#define LINES (10 * COLT_LOG_LINES_PER_S)

/* A pipe in place of standard output, which the log is written to. */
struct ColtLogFixture
{
  int stdout_copy;
  int reader;
};

/* The log can be opened only once in a process. */
static void
set_up (struct ColtLogFixture *fixture, gconstpointer data)
{
  static bool opened;
  int ends[2];

  (void)data;
  fflush (stdout);
  g_assert_cmpint (pipe (ends), ==, 0);
  fixture->reader = ends[0];
  fcntl (fixture->reader, F_SETFL, O_NONBLOCK);
  fixture->stdout_copy = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  close (ends[1]);
  g_assert_true (opened || colt_log_open (COLT_LOG_WARNING, NULL));
  opened = true;
}

static void
tear_down (struct ColtLogFixture *fixture, gconstpointer data)
{
  (void)data;
  dup2 (fixture->stdout_copy, STDOUT_FILENO);
  close (fixture->stdout_copy);
  close (fixture->reader);
}

/* Reads all that has been written to the pipe. */
static GString *
read_output (struct ColtLogFixture *fixture)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t size;

  while ((size = read (fixture->reader, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, size);
  return text;
}

/* Writes to the pipe until it isn't writable. */
static void
fill_output (void)
{
  struct pollfd out = { STDOUT_FILENO, POLLOUT, 0 };
  char buffer[4096];

  memset (buffer, 'x', sizeof buffer);
  while (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0)
    g_assert_cmpint (write (STDOUT_FILENO, buffer, sizeof buffer), ==,
                     sizeof buffer);
}

/* Guards against a count of dropped lines that is lost with the line that
 * reports it. */
static void
test_dropped (struct ColtLogFixture *fixture, gconstpointer data)
{
  GString *text;
  int i;

  (void)data;
  fill_output ();
  for (i = 0; i < 3; i++)
    colt_log (COLT_LOG_WARNING, "test", NULL, "dropped %d", i);
  g_string_free (read_output (fixture), TRUE);
  colt_log (COLT_LOG_WARNING, "test", NULL, "first");
  colt_log (COLT_LOG_WARNING, "test", NULL, "second");
  text = read_output (fixture);
  g_assert_nonnull (
      strstr (text->str, "\"message\":\"first\",\"dropped_lines\":3}\n"));
  g_assert_nonnull (strstr (text->str, "\"message\":\"second\"}\n"));
  g_string_free (text, TRUE);
}

/* Guards against a message that is lost because of bytes that aren't UTF-8, or
 * because it is cut off within a character. */
static void
test_not_utf8 (struct ColtLogFixture *fixture, gconstpointer data)
{
  char *long_text = g_strnfill (1022, 'a');
  GString *text;

  (void)data;
  colt_log (COLT_LOG_WARNING, "test", NULL, "server %s; ignoring it", "\xff");
  colt_log (COLT_LOG_WARNING, "test", NULL, "%s\xc3\xa4", long_text);
  text = read_output (fixture);
  g_assert_nonnull (
      strstr (text->str, "\"message\":\"server \xef\xbf\xbd; ignoring it\""));
  g_assert_nonnull (strstr (text->str, "aaaa\xef\xbf\xbd\"}\n"));
  g_string_free (text, TRUE);
  g_free (long_text);
}

/* Guards against an error, such as a stalled task, that is lost among more
 * lines of decisions than are written in a second. */
static void
test_error_beyond_limit (struct ColtLogFixture *fixture, gconstpointer data)
{
  GString *text;
  uint32_t written = 0;
  int i;

  (void)data;
  colt_log_set_level (COLT_LOG_INFO);
  for (i = 0; i < LINES; i++)
    {
      colt_log_event (COLT_LOG_INFO, "test", "decision", NULL, NULL, 0);
      text = read_output (fixture);
      written += text->len > 0;
      g_string_free (text, TRUE);
    }
  g_assert_cmpuint (written, <, LINES);
  colt_log_event (COLT_LOG_ERROR, "test", "task stalled", NULL, NULL, 0);
  text = read_output (fixture);
  g_assert_nonnull (strstr (text->str, "\"event\":\"task stalled\""));
  g_string_free (text, TRUE);
  colt_log_set_level (COLT_LOG_WARNING);
}

void
colt_test_log_add (void)
{
  g_test_add ("/base/log/dropped", struct ColtLogFixture, NULL, set_up,
              test_dropped, tear_down);
  g_test_add ("/base/log/not-utf8", struct ColtLogFixture, NULL, set_up,
              test_not_utf8, tear_down);
  g_test_add ("/base/log/error-beyond-limit", struct ColtLogFixture, NULL,
              set_up, test_error_beyond_limit, tear_down);
}
