/* Stand-in for the log service: appends records and serves them by offset. */

#include <glib.h>
#include <string.h>

#include "app.h"
#include "coltsfootstile/clock.h"
#include "http.h"
#include "log_state.h"
#include "recorder.h"

/* Default and largest number of records in an answer. */
#define READ_DEFAULT 100
#define READ_MAX 1000
/* Size in bytes from which on an answer takes no further records; the last
 * record may exceed it. */
#define READ_BYTES_MAX (4 * 1024 * 1024)
#define WAIT_MAX_MS 60000
/* Interval at which records expire and waiting readers are answered. */
#define SWEEP_MS 50
#define BODY_MAX (2 * 1024 * 1024)

enum
{
  STATUS_OK = 200,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_TOO_LARGE = 413,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503
};

struct ColtLogOptions
{
  const char *listen;
  const char *record;
  int64_t retain_s;
  int64_t retain_records;
  int64_t appends_per_s;
  int64_t max_seconds;
};

/* A long poll for records. */
struct ColtLogReader
{
  struct ColtStandinCall *call;
  int64_t from; /* offset */
  int64_t max;  /* records */
  int64_t deadline_us;
};

struct ColtLogService
{
  struct ColtStandinLog *log;
  struct ColtStandinHttp *http;
  struct ColtStandinRecorder *recorder;
  struct event *sweep_timer;
  GArray *readers; /* of struct ColtLogReader */
};

static int run_service_ (const struct ColtLogOptions *options);
static bool open_service_ (struct ColtLogService *service,
                           struct event_base *base,
                           const struct ColtLogOptions *options,
                           struct ColtError *error);
static void close_service_ (struct ColtLogService *service);
static void handle_call_ (void *client, struct ColtStandinCall *call);
static void handle_control_ (void *client, struct ColtStandinCall *call);
static void append_record_ (struct ColtLogService *service,
                            struct ColtStandinCall *call);
static void read_records_ (struct ColtLogService *service,
                           struct ColtStandinCall *call);
static void answer_reader_ (struct ColtLogService *service,
                            const struct ColtLogReader *reader);
static void answer_ready_readers_ (struct ColtLogService *service);
static void on_sweep_timer_ (evutil_socket_t fd, short what, void *data);

int
main (int argc, char **argv)
{
  struct ColtLogOptions options = { NULL, NULL, 600, 100000, 300, 600 };
  const struct ColtStandinOption table[] = {
    { "listen", "IP:PORT", "address of the service", true, &options.listen,
      NULL },
    { "record", "FILE", "file to which records are written as JSON lines",
      false, &options.record, NULL },
    { "retain-s", "N", "seconds for which a record is kept (600)", false, NULL,
      &options.retain_s },
    { "retain-records", "N", "maximum number of records kept (100000)", false,
      NULL, &options.retain_records },
    { "appends-per-s", "N", "maximum number of appends per second (300)", false,
      NULL, &options.appends_per_s },
    { "max-seconds", "N", "seconds after which to exit (600)", false, NULL,
      &options.max_seconds },
  };

  switch (colt_standin_app_parse (argc, argv, table, G_N_ELEMENTS (table)))
    {
    case COLT_STANDIN_HELP_PRINTED:
      return 0;
    case COLT_STANDIN_USAGE_ERROR:
      return 2;
    case COLT_STANDIN_PARSED:
      break;
    }
  return run_service_ (&options);
}

static int
run_service_ (const struct ColtLogOptions *options)
{
  struct event_base *base = event_base_new ();
  struct ColtLogService service = { 0 };
  struct ColtError error = { 0 };
  int status = 0;

  if (open_service_ (&service, base, options, &error))
    colt_standin_app_run (base, options->max_seconds);
  else
    status = colt_standin_print_error (&error);
  close_service_ (&service);
  event_base_free (base);
  return status;
}

static bool
open_service_ (struct ColtLogService *service,
               struct event_base *base,
               const struct ColtLogOptions *options,
               struct ColtError *error)
{
  const struct ColtStandinLogLimits limits
      = { options->retain_s * COLT_US_PER_S, options->retain_records,
          options->appends_per_s };
  const struct timeval step = { 0, SWEEP_MS * COLT_US_PER_MS };

  service->log = colt_standin_log_create (&limits);
  service->readers = g_array_new (FALSE, FALSE, sizeof (struct ColtLogReader));
  service->http = colt_standin_http_create (base, handle_call_, service);
  colt_standin_http_set_control (service->http, handle_control_, service);
  service->sweep_timer
      = event_new (base, -1, EV_PERSIST, on_sweep_timer_, service);
  event_add (service->sweep_timer, &step);
  service->recorder
      = colt_standin_recorder_create (base, options->record, error);
  if (service->recorder == NULL)
    return false;
  return colt_standin_http_listen (service->http, options->listen, error);
}

static void
close_service_ (struct ColtLogService *service)
{
  colt_standin_http_destroy (service->http);
  colt_standin_recorder_destroy (service->recorder);
  event_free (service->sweep_timer);
  g_array_unref (service->readers);
  colt_standin_log_destroy (service->log);
}

static void
handle_call_ (void *client, struct ColtStandinCall *call)
{
  if (colt_standin_call_matches (call, "POST", "/v1/records"))
    append_record_ (client, call);
  else if (colt_standin_call_matches (call, "GET", "/v1/records"))
    read_records_ (client, call);
  else
    colt_standin_call_refuse (call, STATUS_NOT_FOUND, "no such call");
}

static void
handle_control_ (void *client, struct ColtStandinCall *call)
{
  struct ColtLogService *service = client;
  const json_t *body = colt_standin_call_body (call);

  if (body == NULL)
    {
      colt_standin_call_refuse (call, STATUS_INVALID, "no JSON object");
      return;
    }
  colt_standin_http_set_faults (service->http, body);
  colt_standin_recorder_write (
      service->recorder, colt_clock_monotonic_us (),
      json_pack ("{s:s,s:O}", "event", "control", "change", body));
  colt_standin_call_reply (call, STATUS_OK, json_object ());
}

static void
append_record_ (struct ColtLogService *service, struct ColtStandinCall *call)
{
  const json_t *body = json_object_get (colt_standin_call_body (call), "body");
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t offset;

  if (!json_is_string (body))
    colt_standin_call_refuse (call, STATUS_INVALID, "no body");
  else if (json_string_length (body) > BODY_MAX)
    colt_standin_call_refuse (call, STATUS_TOO_LARGE, "body too large");
  else if (!colt_standin_log_append (service->log, now_us,
                                     json_string_value (body), &offset))
    colt_standin_call_refuse (call, STATUS_TOO_MANY, "append rate");
  else
    {
      colt_standin_recorder_write (
          service->recorder, now_us,
          json_pack ("{s:s,s:I,s:O}", "event", "append", "offset",
                     (json_int_t)offset, "body", body));
      colt_standin_call_reply (
          call, STATUS_OK, json_pack ("{s:I}", "offset", (json_int_t)offset));
      answer_ready_readers_ (service);
    }
}

static void
read_records_ (struct ColtLogService *service, struct ColtStandinCall *call)
{
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t wait_ms = colt_standin_call_number (call, "wait_ms", 0);
  struct ColtLogReader reader = { call, 0, 0, 0 };

  reader.from = colt_standin_call_number (call, "from", 0);
  reader.max = colt_standin_call_number (call, "max", READ_DEFAULT);
  reader.max = CLAMP (reader.max, 1, READ_MAX);
  reader.deadline_us
      = now_us + CLAMP (wait_ms, 0, WAIT_MAX_MS) * COLT_US_PER_MS;
  colt_standin_log_expire (service->log, now_us);
  if (wait_ms <= 0 || colt_standin_log_head (service->log) > reader.from)
    answer_reader_ (service, &reader);
  else
    g_array_append_val (service->readers, reader);
}

static void
answer_reader_ (struct ColtLogService *service,
                const struct ColtLogReader *reader)
{
  const struct ColtStandinLog *log = service->log;
  int64_t first = colt_standin_log_first (log);
  int64_t head = colt_standin_log_head (log);
  int64_t offset = MAX (reader->from, first);
  json_t *records = json_array ();
  size_t bytes = 0;

  while (offset < head && (int64_t)json_array_size (records) < reader->max
         && bytes < READ_BYTES_MAX)
    {
      const char *body = colt_standin_log_body (log, offset);

      bytes += strlen (body);
      json_array_append_new (
          records,
          json_pack ("{s:I,s:s}", "offset", (json_int_t)offset, "body", body));
      offset++;
    }
  colt_standin_call_reply (reader->call, STATUS_OK,
                           json_pack ("{s:I,s:I,s:o}", "first",
                                      (json_int_t)first, "head",
                                      (json_int_t)head, "records", records));
}

/* Answers the waiting readers for which there are records or whose wait has
 * ended. While the service is unresponsive, readers keep waiting; while it is
 * down, they are refused. */
static void
answer_ready_readers_ (struct ColtLogService *service)
{
  const struct ColtStandinFaults *faults
      = colt_standin_http_faults (service->http);
  int64_t now_us = colt_clock_monotonic_us ();
  guint i = 0;

  if (faults->unresponsive)
    return;
  while (i < service->readers->len)
    {
      struct ColtLogReader reader
          = g_array_index (service->readers, struct ColtLogReader, i);

      if (colt_standin_log_head (service->log) <= reader.from
          && now_us < reader.deadline_us && !faults->down)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (service->readers, i);
      if (faults->down)
        colt_standin_call_refuse (reader.call, STATUS_UNAVAILABLE, "down");
      else
        answer_reader_ (service, &reader);
    }
}

static void
on_sweep_timer_ (evutil_socket_t fd, short what, void *data)
{
  struct ColtLogService *service = data;

  (void)fd;
  (void)what;
  colt_standin_log_expire (service->log, colt_clock_monotonic_us ());
  answer_ready_readers_ (service);
}
