#include "coltsfootstile/fleet.h"

#include <string.h>

static void free_queue_ (gpointer data);
static void free_service_ (gpointer data);
static void free_organisation_ (gpointer data);
static bool host_matches_ (const char *expected, const char *given);

struct ColtFleet *
colt_fleet_create (void)
{
  struct ColtFleet *fleet = g_new0 (struct ColtFleet, 1);

  fleet->references = 1;
  fleet->queues = g_ptr_array_new_with_free_func (free_queue_);
  fleet->services = g_ptr_array_new_with_free_func (free_service_);
  fleet->organisations = g_ptr_array_new_with_free_func (free_organisation_);
  fleet->keys = g_hash_table_new (g_str_hash, g_str_equal);
  return fleet;
}

struct ColtFleet *
colt_fleet_ref (struct ColtFleet *fleet)
{
  fleet->references++;
  return fleet;
}

void
colt_fleet_unref (struct ColtFleet *fleet)
{
  if (fleet == NULL || --fleet->references > 0)
    return;
  g_hash_table_unref (fleet->keys);
  g_ptr_array_unref (fleet->queues);
  g_ptr_array_unref (fleet->services);
  g_ptr_array_unref (fleet->organisations);
  g_free (fleet);
}

struct ColtQueueConfig *
colt_fleet_add_queue (struct ColtFleet *fleet)
{
  struct ColtQueueConfig *queue = g_new0 (struct ColtQueueConfig, 1);

  g_ptr_array_add (fleet->queues, queue);
  return queue;
}

struct ColtServiceConfig *
colt_fleet_add_service (struct ColtFleet *fleet)
{
  struct ColtServiceConfig *service = g_new0 (struct ColtServiceConfig, 1);

  g_ptr_array_add (fleet->services, service);
  return service;
}

struct ColtOrganisation *
colt_fleet_add_organisation (struct ColtFleet *fleet)
{
  struct ColtOrganisation *organisation = g_new0 (struct ColtOrganisation, 1);

  organisation->keys = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (fleet->organisations, organisation);
  return organisation;
}

void
colt_fleet_add_key (struct ColtFleet *fleet,
                    struct ColtOrganisation *organisation,
                    const char *key)
{
  char *copy = g_strdup (key);

  g_ptr_array_add (organisation->keys, copy);
  g_hash_table_insert (fleet->keys, copy, organisation);
}

const struct ColtQueueConfig *
colt_fleet_route (const struct ColtFleet *fleet,
                  const char *host,
                  const char *path)
{
  const struct ColtQueueConfig *best = NULL;
  guint i;

  for (i = 0; i < fleet->queues->len; i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (fleet->queues, i);

      if (!g_str_has_prefix (path, queue->prefix)
          || !host_matches_ (queue->host, host))
        continue;
      if (best == NULL || strlen (queue->prefix) > strlen (best->prefix))
        best = queue;
    }
  return best;
}

const struct ColtQueueConfig *
colt_fleet_find_queue (const struct ColtFleet *fleet, const char *name)
{
  guint i;

  for (i = 0; i < fleet->queues->len; i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (fleet->queues, i);

      if (strcmp (queue->name, name) == 0)
        return queue;
    }
  return NULL;
}

const struct ColtOrganisation *
colt_fleet_find_organisation (const struct ColtFleet *fleet, const char *key)
{
  return key != NULL ? g_hash_table_lookup (fleet->keys, key) : NULL;
}

static void
free_queue_ (gpointer data)
{
  struct ColtQueueConfig *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
  g_free (queue->kind);
  g_free (queue);
}

static void
free_service_ (gpointer data)
{
  struct ColtServiceConfig *service = data;

  g_free (service->name);
  g_free (service);
}

static void
free_organisation_ (gpointer data)
{
  struct ColtOrganisation *organisation = data;

  g_free (organisation->name);
  g_ptr_array_unref (organisation->keys);
  g_free (organisation);
}

/* Compares host names, ignoring case and a port in given; an empty expected
 * matches any host. */
static bool
host_matches_ (const char *expected, const char *given)
{
  size_t size = strlen (expected);

  if (size == 0)
    return true;
  if (given == NULL || g_ascii_strncasecmp (expected, given, size) != 0)
    return false;
  return given[size] == '\0' || given[size] == ':';
}
