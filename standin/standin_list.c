/* Stand-in for the list service: serves the entry instances and the backend
 * servers of a JSON file, with their states, which control requests change. */

#include <glib.h>
#include <string.h>

#include "app.h"
#include "coltsfootstile/clock.h"
#include "http.h"
#include "recorder.h"

#define STATE_LIVE "live"
#define STATE_GONE "gone"

enum
{
  STATUS_OK = 200,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404
};

struct ColtListOptions
{
  const char *listen;
  const char *file;
  const char *record;
  int64_t lag_ms;
  int64_t max_seconds;
};

/* A change of state that callers see after the lag. */
struct ColtListChange
{
  int64_t due_us;
  json_t *item; /* owned by the list */
  char *state;
};

struct ColtListService
{
  json_t *list; /* {"entries":[...],"servers":[...]} */
  int64_t version;
  int64_t lag_us;
  GQueue changes; /* of struct ColtListChange, by due time */
  struct ColtStandinHttp *http;
  struct ColtStandinRecorder *recorder;
};

static int run_service_ (const struct ColtListOptions *options);
static bool open_service_ (struct ColtListService *service,
                           struct event_base *base,
                           const struct ColtListOptions *options,
                           struct ColtError *error);
static void close_service_ (struct ColtListService *service);
static bool
validate_list_ (json_t *list, const char *path, struct ColtError *error);
static void handle_call_ (void *client, struct ColtStandinCall *call);
static void handle_control_ (void *client, struct ColtStandinCall *call);
static bool is_valid_change_ (const struct ColtListService *service,
                              const json_t *body,
                              const char *key,
                              const char *items);
static void schedule_change_ (struct ColtListService *service,
                              const json_t *body,
                              const char *key,
                              const char *items);
static void apply_due_changes_ (struct ColtListService *service,
                                int64_t now_us);
static void free_change_ (gpointer data);
static json_t *find_item_ (const json_t *items, int64_t id);
static json_t *view_items_ (const json_t *items, const char *zone);
static json_t *view_item_ (const json_t *item, const char *zone);

int
main (int argc, char **argv)
{
  struct ColtListOptions options = { NULL, NULL, NULL, 500, 600 };
  const struct ColtStandinOption table[] = {
    { "listen", "IP:PORT", "address of the service", true, &options.listen,
      NULL },
    { "file", "FILE", "JSON file of the entry instances and backend servers",
      true, &options.file, NULL },
    { "record", "FILE", "file to which records are written as JSON lines",
      false, &options.record, NULL },
    { "lag-ms", "N", "delay of changes in milliseconds (500)", false, NULL,
      &options.lag_ms },
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
run_service_ (const struct ColtListOptions *options)
{
  struct event_base *base = event_base_new ();
  struct ColtListService service = { 0 };
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
open_service_ (struct ColtListService *service,
               struct event_base *base,
               const struct ColtListOptions *options,
               struct ColtError *error)
{
  g_queue_init (&service->changes);
  service->version = 1;
  service->lag_us = options->lag_ms * COLT_US_PER_MS;
  service->http = colt_standin_http_create (base, handle_call_, service);
  colt_standin_http_set_control (service->http, handle_control_, service);
  service->list = colt_standin_load_json (options->file, error);
  if (service->list == NULL)
    return false;
  if (!validate_list_ (service->list, options->file, error))
    return false;
  service->recorder
      = colt_standin_recorder_create (base, options->record, error);
  if (service->recorder == NULL)
    return false;
  return colt_standin_http_listen (service->http, options->listen, error);
}

static void
close_service_ (struct ColtListService *service)
{
  colt_standin_http_destroy (service->http);
  colt_standin_recorder_destroy (service->recorder);
  g_queue_clear_full (&service->changes, free_change_);
  json_decref (service->list);
}

/* Returns false with an error if the list is invalid. Items without a state get
 * the state "live". */
static bool
validate_list_ (json_t *list, const char *path, struct ColtError *error)
{
  const char *const keys[] = { "entries", "servers" };
  size_t i;
  size_t j;
  json_t *item;

  for (i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      json_t *items = json_object_get (list, keys[i]);

      if (!json_is_array (items))
        return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS,
                               path, "\"%s\" is not a JSON array", keys[i]);
      json_array_foreach (items, j, item)
      {
        if (!json_is_integer (json_object_get (item, "id"))
            || !json_is_string (json_object_get (item, "address")))
          return colt_error_set (
              error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, path,
              "item %zu of \"%s\" has no valid id or address", j, keys[i]);
        if (json_object_get (item, "state") == NULL)
          json_object_set_new (item, "state", json_string (STATE_LIVE));
      }
    }
  return true;
}

static void
handle_call_ (void *client, struct ColtStandinCall *call)
{
  struct ColtListService *service = client;
  char zone[24];
  json_t *body;

  if (!colt_standin_call_matches (call, "GET", "/v1/instances"))
    {
      colt_standin_call_refuse (call, STATUS_NOT_FOUND, "no such call");
      return;
    }
  apply_due_changes_ (service, colt_clock_monotonic_us ());
  g_snprintf (zone, sizeof zone, "%" G_GINT64_FORMAT,
              colt_standin_call_number (call, "zone", 0));
  body = json_pack (
      "{s:I,s:o,s:o}", "version", (json_int_t)service->version, "entries",
      view_items_ (json_object_get (service->list, "entries"), zone), "servers",
      view_items_ (json_object_get (service->list, "servers"), zone));
  colt_standin_call_reply (call, STATUS_OK, body);
}

static void
handle_control_ (void *client, struct ColtStandinCall *call)
{
  struct ColtListService *service = client;
  const json_t *body = colt_standin_call_body (call);

  if (body == NULL)
    colt_standin_call_refuse (call, STATUS_INVALID, "no JSON object");
  else if (!is_valid_change_ (service, body, "entry", "entries")
           || !is_valid_change_ (service, body, "server", "servers"))
    colt_standin_call_refuse (call, STATUS_INVALID, "no such instance");
  else
    {
      schedule_change_ (service, body, "entry", "entries");
      schedule_change_ (service, body, "server", "servers");
      colt_standin_http_set_faults (service->http, body);
      colt_standin_recorder_write (
          service->recorder, colt_clock_monotonic_us (),
          json_pack ("{s:s,s:O}", "event", "control", "change", body));
      colt_standin_call_reply (call, STATUS_OK, json_object ());
    }
}

/* Returns whether a control request names no instance with a key, or a known
 * one together with a state. */
static bool
is_valid_change_ (const struct ColtListService *service,
                  const json_t *body,
                  const char *key,
                  const char *items)
{
  const json_t *id = json_object_get (body, key);

  return id == NULL
         || (json_is_string (json_object_get (body, "state"))
             && find_item_ (json_object_get (service->list, items),
                            json_integer_value (id))
                    != NULL);
}

static void
schedule_change_ (struct ColtListService *service,
                  const json_t *body,
                  const char *key,
                  const char *items)
{
  const json_t *id = json_object_get (body, key);
  const char *state = json_string_value (json_object_get (body, "state"));
  struct ColtListChange *change;

  if (id == NULL)
    return;
  change = g_new0 (struct ColtListChange, 1);
  change->due_us = colt_clock_monotonic_us () + service->lag_us;
  change->item = find_item_ (json_object_get (service->list, items),
                             json_integer_value (id));
  change->state = g_strdup (state);
  g_queue_push_tail (&service->changes, change);
}

static void
apply_due_changes_ (struct ColtListService *service, int64_t now_us)
{
  struct ColtListChange *change = g_queue_peek_head (&service->changes);

  while (change != NULL && change->due_us <= now_us)
    {
      json_object_set_new (change->item, "state", json_string (change->state));
      service->version++;
      free_change_ (g_queue_pop_head (&service->changes));
      change = g_queue_peek_head (&service->changes);
    }
}

static void
free_change_ (gpointer data)
{
  struct ColtListChange *change = data;

  g_free (change->state);
  g_free (change);
}

static json_t *
find_item_ (const json_t *items, int64_t id)
{
  size_t i;
  json_t *item;

  json_array_foreach (
      items, i, item) if (json_integer_value (json_object_get (item, "id"))
                          == id) return item;
  return NULL;
}

static json_t *
view_items_ (const json_t *items, const char *zone)
{
  json_t *view = json_array ();
  size_t i;
  json_t *item;

  json_array_foreach (items, i, item)
  {
    const char *state = json_string_value (json_object_get (item, "state"));

    if (strcmp (state, STATE_GONE) != 0)
      json_array_append_new (view, view_item_ (item, zone));
  }
  return view;
}

/* Returns the item as callers of a zone see it: "address_from" may contain
 * another address for the zone. */
static json_t *
view_item_ (const json_t *item, const char *zone)
{
  json_t *view = json_copy ((json_t *)item);
  json_t *address
      = json_object_get (json_object_get (item, "address_from"), zone);

  if (address != NULL)
    json_object_set (view, "address", address);
  json_object_del (view, "address_from");
  return view;
}
