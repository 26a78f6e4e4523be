#include "recorder.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

struct ColtStandinRecorder
{
  FILE *file; /* NULL: records are discarded */
  struct event *timer;
};

static void on_flush_timer_ (evutil_socket_t fd, short what, void *data);

struct ColtStandinRecorder *
colt_standin_recorder_create (struct event_base *base,
                              const char *path,
                              struct ColtError *error)
{
  struct ColtStandinRecorder *recorder;
  const struct timeval second = { 1, 0 };
  FILE *file = NULL;

  if (path != NULL)
    {
      file = fopen (path, "we");
      if (file == NULL)
        {
          colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_SETTINGS, path,
                          "%s", strerror (errno));
          return NULL;
        }
    }
  recorder = g_new0 (struct ColtStandinRecorder, 1);
  recorder->file = file;
  recorder->timer = event_new (base, -1, EV_PERSIST, on_flush_timer_, recorder);
  event_add (recorder->timer, &second);
  return recorder;
}

void
colt_standin_recorder_destroy (struct ColtStandinRecorder *recorder)
{
  if (recorder == NULL)
    return;
  event_free (recorder->timer);
  if (recorder->file != NULL)
    fclose (recorder->file);
  g_free (recorder);
}

void
colt_standin_recorder_write (struct ColtStandinRecorder *recorder,
                             int64_t now_us,
                             json_t *record)
{
  if (recorder->file != NULL)
    {
      json_object_set_new (record, "t_us", json_integer (now_us));
      json_dumpf (record, recorder->file, JSON_COMPACT);
      fputc ('\n', recorder->file);
    }
  json_decref (record);
}

static void
on_flush_timer_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtStandinRecorder *recorder = data;

  (void)fd;
  (void)what;
  if (recorder->file != NULL)
    fflush (recorder->file);
}
