/* Stand-in for the backend servers: serves the servers of a JSON file, each at
 * its own address, and sets their faults by control requests. */

#include <glib.h>

#include "app.h"
#include "backend_server.h"
#include "coltsfootstile/clock.h"
#include "http.h"
#include "recorder.h"
#include "server_json.h"

enum
{
  STATUS_OK = 200,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_FAILED = 500
};

struct ColtBackendOptions
{
  const char *control;
  const char *file;
  const char *record;
  int64_t usage_lag_ms;
  int64_t max_seconds;
};

struct ColtBackendService
{
  struct event_base *base;
  struct ColtStandinHttp *control;
  struct ColtStandinRecorder *recorder;
  GPtrArray *backends; /* of struct ColtStandinBackend */
};

static int run_service_ (const struct ColtBackendOptions *options);
static bool open_service_ (struct ColtBackendService *service,
                           const struct ColtBackendOptions *options,
                           struct ColtError *error);
static bool add_servers_ (struct ColtBackendService *service,
                          const json_t *servers,
                          const struct ColtBackendOptions *options,
                          struct ColtError *error);
static void close_service_ (struct ColtBackendService *service);
static void destroy_backend_ (gpointer data);
static void refuse_call_ (void *client, struct ColtStandinCall *call);
static void handle_control_ (void *client, struct ColtStandinCall *call);
static struct ColtStandinBackend *
find_backend_ (const struct ColtBackendService *service, int64_t id);

int
main (int argc, char **argv)
{
  struct ColtBackendOptions options = { NULL, NULL, NULL, 1000, 600 };
  const struct ColtStandinOption table[] = {
    { "file", "FILE", "JSON file of the backend servers", true, &options.file,
      NULL },
    { "control", "IP:PORT", "address for control requests, which set faults",
      true, &options.control, NULL },
    { "record", "FILE", "file to which records are written as JSON lines",
      false, &options.record, NULL },
    { "usage-lag-ms", "N",
      "usage is reported N to 2 N milliseconds late (1000)", false, NULL,
      &options.usage_lag_ms },
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
run_service_ (const struct ColtBackendOptions *options)
{
  struct ColtBackendService service = { 0 };
  struct ColtError error = { 0 };
  int status = 0;

  service.base = event_base_new ();
  if (open_service_ (&service, options, &error))
    colt_standin_app_run (service.base, options->max_seconds);
  else
    status = colt_standin_print_error (&error);
  close_service_ (&service);
  event_base_free (service.base);
  return status;
}

static bool
open_service_ (struct ColtBackendService *service,
               const struct ColtBackendOptions *options,
               struct ColtError *error)
{
  json_t *servers;
  bool added;

  service->backends = g_ptr_array_new_with_free_func (destroy_backend_);
  service->control
      = colt_standin_http_create (service->base, refuse_call_, service);
  colt_standin_http_set_control (service->control, handle_control_, service);
  service->recorder
      = colt_standin_recorder_create (service->base, options->record, error);
  if (service->recorder == NULL)
    return false;
  if (!colt_standin_http_listen (service->control, options->control, error))
    return false;
  servers = colt_standin_load_json (options->file, error);
  if (servers == NULL)
    return false;
  added = add_servers_ (service, servers, options, error);
  json_decref (servers);
  return added;
}

static bool
add_servers_ (struct ColtBackendService *service,
              const json_t *servers,
              const struct ColtBackendOptions *options,
              struct ColtError *error)
{
  struct ColtStandinServerSpec spec = { 0 };
  struct ColtStandinBackend *backend;
  const char *address;
  json_t *item;
  size_t i;

  spec.usage_lag_us = MAX (options->usage_lag_ms, 1) * COLT_US_PER_MS;
  if (!json_is_array (servers))
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS,
                           options->file,
                           "the file is not a JSON array of servers");
  json_array_foreach (servers, i, item)
  {
    if (!colt_standin_decode_spec (item, &spec, &address))
      return colt_error_set (
          error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, options->file,
          "server %zu has no valid id, address, capacity or speed", i);
    backend = colt_standin_backend_create (service->base, &spec, address,
                                           service->recorder);
    g_ptr_array_add (service->backends, backend);
    if (!colt_standin_backend_listen (backend, error))
      return false;
  }
  return true;
}

static void
close_service_ (struct ColtBackendService *service)
{
  g_ptr_array_unref (service->backends);
  colt_standin_http_destroy (service->control);
  colt_standin_recorder_destroy (service->recorder);
}

static void
destroy_backend_ (gpointer data)
{
  colt_standin_backend_destroy (data);
}

static void
refuse_call_ (void *client, struct ColtStandinCall *call)
{
  (void)client;
  colt_standin_call_refuse (call, STATUS_NOT_FOUND, "no such call");
}

static void
handle_control_ (void *client, struct ColtStandinCall *call)
{
  struct ColtBackendService *service = client;
  const json_t *body = colt_standin_call_body (call);
  struct ColtStandinBackend *backend = find_backend_ (
      service, json_integer_value (json_object_get (body, "server")));
  struct ColtError error;

  if (backend == NULL)
    {
      colt_standin_call_refuse (call, STATUS_INVALID, "no such server");
      return;
    }
  colt_standin_recorder_write (
      service->recorder, colt_clock_monotonic_us (),
      json_pack ("{s:s,s:O}", "event", "control", "change", body));
  if (colt_standin_backend_set_faults (backend, body, &error))
    colt_standin_call_reply (call, STATUS_OK, json_object ());
  else
    colt_standin_call_refuse (call, STATUS_FAILED, error.message);
}

static struct ColtStandinBackend *
find_backend_ (const struct ColtBackendService *service, int64_t id)
{
  guint i;

  for (i = 0; i < service->backends->len; i++)
    {
      struct ColtStandinBackend *backend
          = g_ptr_array_index (service->backends, i);

      if (colt_standin_backend_id (backend) == id)
        return backend;
    }
  return NULL;
}
