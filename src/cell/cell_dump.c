#include <jansson.h>
#include <string.h>

#include "cell_backfill.h"
#include "cell_usage.h"
#include "cell_zones.h"

static json_t *dump_zone_ (const struct ColtCell *cell,
                           const struct ColtCellZone *zone);
static json_t *dump_server_ (struct ColtCellServer *server, int64_t now_us);
static json_t *dump_step_ (const struct ColtCell *cell,
                           const struct ColtCellStep *step);
static json_t *dump_plan_ (const struct ColtCell *cell,
                           const struct ColtCellPlan *plan);
static json_t *dump_organisation_ (const struct ColtCellOrganisation *org);
static json_t *dump_amounts_ (const struct ColtResources *amounts);
static json_t *dump_standings_ (const GArray *standings);

char *
colt_cell_dump (const struct ColtCell *cell)
{
  json_t *root = json_object ();
  json_t *servers = json_array ();
  json_t *steps = json_array ();
  json_t *organisations = json_array ();
  json_t *zones = json_array ();
  GArray *standings = colt_cell_list_standings (cell);
  GHashTableIter i;
  gpointer value;
  char *text;
  guint s;

  g_hash_table_iter_init (&i, cell->servers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    json_array_append_new (servers, dump_server_ (value, cell->now_us));
  g_hash_table_iter_init (&i, cell->organisations);
  while (g_hash_table_iter_next (&i, NULL, &value))
    json_array_append_new (organisations, dump_organisation_ (value));
  for (s = 0; s < cell->open_steps->len; s++)
    json_array_append_new (
        steps, dump_step_ (cell, g_ptr_array_index (cell->open_steps, s)));
  json_object_set_new (root, "generation", json_integer (cell->generation));
  json_object_set_new (root, "settled", json_boolean (cell->settled));
  json_object_set_new (root, "servers", servers);
  g_hash_table_iter_init (&i, cell->evacuated);
  while (g_hash_table_iter_next (&i, NULL, &value))
    json_array_append_new (zones, dump_zone_ (cell, value));
  json_object_set_new (root, "evacuated_zones", zones);
  json_object_set_new (root, "organisations", organisations);
  json_object_set_new (root, "open_steps", steps);
  if (standings != NULL)
    {
      json_object_set_new (root, "past_use", dump_standings_ (standings));
      g_array_unref (standings);
    }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static json_t *
dump_zone_ (const struct ColtCell *cell, const struct ColtCellZone *zone)
{
  json_t *object = json_object ();

  json_object_set_new (object, "zone", json_string (zone->name));
  json_object_set_new (
      object, "since_ms",
      json_integer ((cell->zones_us - zone->since_us) / COLT_US_PER_MS));
  json_object_set_new (object, "servers",
                       json_integer ((json_int_t)zone->servers));
  json_object_set_new (object, "runs", json_integer ((json_int_t)zone->runs));
  return object;
}

static json_t *
dump_server_ (struct ColtCellServer *server, int64_t now_us)
{
  json_t *object = json_object ();

  json_object_set_new (object, "id", json_string (server->id));
  json_object_set_new (
      object, "service",
      json_string (server->pool != NULL ? server->pool->name : ""));
  json_object_set_new (object, "zone",
                       json_string (server->zone != NULL ? server->zone : ""));
  json_object_set_new (object, "evacuated", json_boolean (server->evacuated));
  json_object_set_new (
      object, "coldness",
      json_real (colt_cold_ramp_coldness (&server->cold, now_us)));
  json_object_set_new (object, "listed", json_boolean (server->listed));
  json_object_set_new (object, "ready", json_boolean (server->ready));
  json_object_set_new (object, "reported", json_boolean (server->reported));
  json_object_set_new (object, "dark", json_boolean (server->unreachable));
  json_object_set_new (object, "suspected", json_boolean (server->suspected));
  json_object_set_new (object, "awaited", json_boolean (server->awaited));
  json_object_set_new (object, "runs", json_integer (server->runs->len));
  json_object_set_new (object, "foreign_runs",
                       json_integer (server->foreign_runs));
  json_object_set_new (object, "probations", json_integer (server->probations));
  json_object_set_new (object, "slowness",
                       json_real (colt_cell_slowness (server)));
  json_object_set_new (object, "room", dump_amounts_ (&server->room));
  json_object_set_new (object, "used", dump_amounts_ (&server->used));
  return object;
}

static json_t *
dump_step_ (const struct ColtCell *cell, const struct ColtCellStep *step)
{
  json_t *object = json_object ();

  json_object_set_new (object, "request", json_string (step->job->id));
  json_object_set_new (object, "queue", json_string (step->job->queue->name));
  json_object_set_new (object, "organisation",
                       json_string (step->job->organisation->name));
  json_object_set_new (object, "occurrence", json_integer (step->occurrence));
  json_object_set_new (object, "step", json_integer (step->number));
  json_object_set_new (object, "waiting_tasks", json_integer (step->waiting));
  json_object_set_new (object, "running_tasks", json_integer (step->active));
  json_object_set_new (object, "rank",
                       json_string (colt_cell_rank_string[step->rank]));
  json_object_set_new (object, "held",
                       json_string (colt_cell_block_string[step->block]));
  if (step->plan != NULL)
    json_object_set_new (object, "reserved", dump_plan_ (cell, step->plan));
  return object;
}

static json_t *
dump_plan_ (const struct ColtCell *cell, const struct ColtCellPlan *plan)
{
  json_t *object = json_object ();
  json_t *servers = json_object ();
  guint i;

  for (i = 0; i < plan->hold_count; i++)
    json_object_set_new (servers, plan->holds[i].server->id,
                         json_integer (plan->holds[i].tasks));
  json_object_set_new (
      object, "start_in_ms",
      json_integer ((plan->start_us - cell->now_us) / COLT_US_PER_MS));
  json_object_set_new (object, "servers", servers);
  return object;
}

static json_t *
dump_organisation_ (const struct ColtCellOrganisation *org)
{
  json_t *object = json_object ();

  json_object_set_new (object, "name", json_string (org->name));
  json_object_set_new (object, "weight", json_real (org->weight));
  json_object_set_new (object, "used", dump_amounts_ (&org->used));
  json_object_set_new (object, "maximum", dump_amounts_ (&org->maximum));
  return object;
}

static json_t *
dump_amounts_ (const struct ColtResources *amounts)
{
  json_t *list = json_array ();
  int r;

  for (r = 0; r <= COLT_RESOURCE_ACCELERATORS; r++)
    json_array_append_new (list, json_integer (amounts->amount[r]));
  return list;
}

static json_t *
dump_standings_ (const GArray *standings)
{
  json_t *list = json_array ();
  guint i;

  for (i = 0; i < standings->len; i++)
    {
      const struct ColtCellStanding *standing
          = &g_array_index (standings, struct ColtCellStanding, i);
      json_t *object = json_object ();

      json_object_set_new (object, "organisation",
                           json_string (standing->organisation->name));
      json_object_set_new (object, "place", json_integer (i + 1));
      json_object_set_new (object, "share", json_real (standing->share));
      json_object_set_new (object, "part", json_real (standing->part));
      json_object_set_new (object, "excess", json_real (standing->excess));
      json_object_set_new (
          object, "handicap_ms",
          json_integer (standing->handicap_us / COLT_US_PER_MS));
      json_array_append_new (list, object);
    }
  return list;
}
