/* Stand-in for the network: relays connections along routes between named
 * parties, and cuts, blocks or delays them by control requests. */

#include <arpa/inet.h>
#include <errno.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>

#include "app.h"
#include "coltsfootstile/address.h"
#include "coltsfootstile/clock.h"
#include "http.h"
#include "recorder.h"
#include "relay_link.h"

#define BACKLOG 128
#define DELAY_MAX_MS 3600000
#define NAME_SIZE 32
/* Name in a control request that matches every name. */
#define ANY_NAME "*"

enum
{
  STATUS_OK = 200,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404
};

struct ColtRelayOptions
{
  const char *control;
  const char *file;
  const char *record;
  int64_t max_seconds;
};

struct ColtRelayRoute
{
  char from[NAME_SIZE];
  char to[NAME_SIZE];
  struct ColtRelayPath path;
  struct evconnlistener *listener;
  GHashTable *links; /* set of struct ColtRelayLink */
};

struct ColtRelayService
{
  struct event_base *base;
  struct ColtStandinHttp *control;
  struct ColtStandinRecorder *recorder;
  GPtrArray *routes; /* of struct ColtRelayRoute */
};

/* Applies a control request to a route. FORWARD tells whether the route leads
 * from the first of the two names to the second. */
typedef void (*ColtRelayChange) (struct ColtRelayRoute *route,
                                 const json_t *body,
                                 bool forward);

struct ColtRelayCommand
{
  const char *key; /* member of the request with a pair of names */
  ColtRelayChange change;
};

static int run_service_ (const struct ColtRelayOptions *options);
static bool open_service_ (struct ColtRelayService *service,
                           const struct ColtRelayOptions *options,
                           struct ColtError *error);
static void close_service_ (struct ColtRelayService *service);
static bool add_routes_ (struct ColtRelayService *service,
                         const json_t *items,
                         const char *file,
                         struct ColtError *error);
static bool open_route_ (struct ColtRelayService *service,
                         const json_t *item,
                         struct ColtError *error);
static void destroy_route_ (gpointer data);
static void accept_connection_ (struct evconnlistener *listener,
                                evutil_socket_t fd,
                                struct sockaddr *address,
                                int size,
                                void *data);
static void remove_link_ (void *client, struct ColtRelayLink *link);
static void refuse_call_ (void *client, struct ColtStandinCall *call);
static void handle_control_ (void *client, struct ColtStandinCall *call);
static bool has_valid_commands_ (struct ColtRelayService *service,
                                 const json_t *body);
static bool visit_routes_ (struct ColtRelayService *service,
                           const struct ColtRelayCommand *command,
                           const json_t *body,
                           bool changes);
static void
cut_route_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void
cut_direction_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void
heal_route_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void
block_links_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void
reset_links_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void
set_delay_ (struct ColtRelayRoute *route, const json_t *body, bool forward);
static void update_links_ (struct ColtRelayRoute *route);
static bool copy_name_ (char name[NAME_SIZE], const json_t *value);
static bool name_matches_ (const char *pattern, const char *name);
static bool parse_address_ (const char *text,
                            struct sockaddr_storage *address,
                            socklen_t *size);

static const struct ColtRelayCommand commands[] = {
  { "cut", cut_route_ },     { "cut_one_way", cut_direction_ },
  { "heal", heal_route_ },   { "silence", block_links_ },
  { "reset", reset_links_ }, { "pair", set_delay_ },
};

int
main (int argc, char **argv)
{
  struct ColtRelayOptions options = { NULL, NULL, NULL, 600 };
  const struct ColtStandinOption table[] = {
    { "file", "FILE", "JSON file of the routes", true, &options.file, NULL },
    { "control", "IP:PORT", "address for control requests", true,
      &options.control, NULL },
    { "record", "FILE", "file to which records are written as JSON lines",
      false, &options.record, NULL },
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
run_service_ (const struct ColtRelayOptions *options)
{
  struct ColtRelayService service = { 0 };
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
open_service_ (struct ColtRelayService *service,
               const struct ColtRelayOptions *options,
               struct ColtError *error)
{
  json_t *items;
  bool added;

  service->routes = g_ptr_array_new_with_free_func (destroy_route_);
  service->control
      = colt_standin_http_create (service->base, refuse_call_, service);
  colt_standin_http_set_control (service->control, handle_control_, service);
  service->recorder
      = colt_standin_recorder_create (service->base, options->record, error);
  if (service->recorder == NULL)
    return false;
  if (!colt_standin_http_listen (service->control, options->control, error))
    return false;
  items = colt_standin_load_json (options->file, error);
  if (items == NULL)
    return false;
  added = add_routes_ (service, items, options->file, error);
  json_decref (items);
  return added;
}

static void
close_service_ (struct ColtRelayService *service)
{
  g_ptr_array_unref (service->routes);
  colt_standin_http_destroy (service->control);
  colt_standin_recorder_destroy (service->recorder);
}

static bool
add_routes_ (struct ColtRelayService *service,
             const json_t *items,
             const char *file,
             struct ColtError *error)
{
  json_t *item;
  size_t i;

  if (!json_is_array (items))
    return colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, file,
                           "the file is not a JSON array of routes");
  json_array_foreach (
      items, i, item) if (!open_route_ (service, item, error)) return false;
  return true;
}

static bool
open_route_ (struct ColtRelayService *service,
             const json_t *item,
             struct ColtError *error)
{
  const char *listen = json_string_value (json_object_get (item, "listen"));
  const char *target = json_string_value (json_object_get (item, "target"));
  struct ColtRelayRoute *route = g_new0 (struct ColtRelayRoute, 1);
  struct sockaddr_storage address;
  socklen_t size;

  g_ptr_array_add (service->routes, route);
  route->links = g_hash_table_new (NULL, NULL);
  route->path.base = service->base;
  route->path.closed = remove_link_;
  route->path.client = route;
  if (!parse_address_ (listen, &address, &size)
      || !parse_address_ (target, &route->path.target, &route->path.target_size)
      || !copy_name_ (route->from, json_object_get (item, "from"))
      || !copy_name_ (route->to, json_object_get (item, "to")))
    return colt_error_set (
        error, COLT_ERROR_INVALID, COLT_STEP_SETTINGS, listen,
        "route with a missing or invalid listen, target, from or to");
  route->listener = evconnlistener_new_bind (
      service->base, accept_connection_, route,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      BACKLOG, (const struct sockaddr *)&address, (int)size);
  if (route->listener == NULL)
    return colt_error_set (error, COLT_ERROR_SYSTEM, COLT_STEP_LISTEN, listen,
                           "%s", strerror (errno));
  return true;
}

static void
destroy_route_ (gpointer data)
{
  struct ColtRelayRoute *route = data;
  GHashTableIter iter;
  gpointer link;

  g_hash_table_iter_init (&iter, route->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    colt_relay_link_destroy (link);
  g_hash_table_unref (route->links);
  if (route->listener != NULL)
    evconnlistener_free (route->listener);
  g_free (route);
}

static void
accept_connection_ (struct evconnlistener *listener,
                    evutil_socket_t fd,
                    struct sockaddr *address,
                    int size,
                    void *data)
{
  struct ColtRelayRoute *route = data;

  (void)listener;
  (void)address;
  (void)size;
  g_hash_table_add (route->links, colt_relay_link_create (&route->path, fd));
}

static void
remove_link_ (void *client, struct ColtRelayLink *link)
{
  struct ColtRelayRoute *route = client;

  g_hash_table_remove (route->links, link);
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
  struct ColtRelayService *service = client;
  const json_t *body = colt_standin_call_body (call);
  size_t i;

  if (!has_valid_commands_ (service, body))
    {
      colt_standin_call_refuse (call, STATUS_INVALID,
                                "no pair of names that a route has");
      return;
    }
  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    if (json_object_get (body, commands[i].key) != NULL)
      visit_routes_ (service, &commands[i], body, true);
  colt_standin_recorder_write (
      service->recorder, colt_clock_monotonic_us (),
      json_pack ("{s:s,s:O}", "event", "control", "change", body));
  colt_standin_call_reply (call, STATUS_OK, json_object ());
}

/* Returns whether a request has a command, and each of its commands a route. */
static bool
has_valid_commands_ (struct ColtRelayService *service, const json_t *body)
{
  bool found = false;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (json_object_get (body, commands[i].key) == NULL)
        continue;
      if (!visit_routes_ (service, &commands[i], body, false))
        return false;
      found = true;
    }
  return found;
}

/* Finds the routes between the two names of a command, in both directions, and
 * applies the command to them if changes is true. Returns whether there is such
 * a route. */
static bool
visit_routes_ (struct ColtRelayService *service,
               const struct ColtRelayCommand *command,
               const json_t *body,
               bool changes)
{
  const json_t *pair = json_object_get (body, command->key);
  char names[2][NAME_SIZE];
  bool found = false;
  guint i;

  if (!copy_name_ (names[0], json_array_get (pair, 0))
      || !copy_name_ (names[1], json_array_get (pair, 1)))
    return false;
  for (i = 0; i < service->routes->len; i++)
    {
      struct ColtRelayRoute *route = g_ptr_array_index (service->routes, i);

      bool forward = name_matches_ (names[0], route->from)
                     && name_matches_ (names[1], route->to);

      if (forward
          || (name_matches_ (names[1], route->from)
              && name_matches_ (names[0], route->to)))
        {
          if (changes)
            command->change (route, body, forward);
          found = true;
        }
    }
  return found;
}

static void
cut_route_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  (void)body;
  (void)forward;
  route->path.cut = true;
  update_links_ (route);
}

/* Stalls the bytes that go from the first name to the second. */
static void
cut_direction_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  (void)body;
  if (forward)
    route->path.cut_to_target = true;
  else
    route->path.cut_to_caller = true;
  update_links_ (route);
}

static void
heal_route_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  (void)body;
  (void)forward;
  route->path.cut = false;
  route->path.cut_to_target = false;
  route->path.cut_to_caller = false;
  update_links_ (route);
}

static void
block_links_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  GHashTableIter iter;
  gpointer link;

  (void)body;
  (void)forward;
  g_hash_table_iter_init (&iter, route->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    colt_relay_link_block (link);
}

static void
reset_links_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  GHashTableIter iter;
  gpointer link;

  (void)body;
  (void)forward;
  g_hash_table_iter_init (&iter, route->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    {
      g_hash_table_iter_remove (&iter);
      colt_relay_link_reset (link);
    }
}

static void
set_delay_ (struct ColtRelayRoute *route, const json_t *body, bool forward)
{
  const json_t *delay = json_object_get (body, "delay_ms");

  (void)forward;
  route->path.delay_us
      = CLAMP (json_integer_value (delay), 0, DELAY_MAX_MS) * COLT_US_PER_MS;
}

static void
update_links_ (struct ColtRelayRoute *route)
{
  GHashTableIter iter;
  gpointer link;

  g_hash_table_iter_init (&iter, route->links);
  while (g_hash_table_iter_next (&iter, &link, NULL))
    colt_relay_link_update (link);
}

/* Copies a name; a zone may be written as a JSON integer. Returns whether the
 * value is a name. */
static bool
copy_name_ (char name[NAME_SIZE], const json_t *value)
{
  if (json_is_integer (value))
    g_snprintf (name, NAME_SIZE, "%" G_GINT64_FORMAT,
                (gint64)json_integer_value (value));
  else if (json_is_string (value))
    g_strlcpy (name, json_string_value (value), NAME_SIZE);
  else
    return false;
  return true;
}

static bool
name_matches_ (const char *pattern, const char *name)
{
  return strcmp (pattern, ANY_NAME) == 0 || strcmp (pattern, name) == 0;
}

static bool
parse_address_ (const char *text,
                struct sockaddr_storage *address,
                socklen_t *size)
{
  struct sockaddr_in ip = { .sin_family = AF_INET };
  struct ColtAddress parsed;

  if (text == NULL || colt_address_parse (text, &parsed) != COLT_ADDRESS_VALID
      || inet_pton (AF_INET, parsed.host, &ip.sin_addr) != 1)
    return false;
  ip.sin_port = htons (parsed.port);
  memcpy (address, &ip, sizeof ip);
  *size = sizeof ip;
  return true;
}
