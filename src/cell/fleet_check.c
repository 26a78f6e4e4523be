#include "coltsfootstile/fleet_check.h"

#include <string.h>

/* Bytes of a host that are searched for a port: the longest name of a host. */
#define HOST_MAX 255
#define SHORT_KEY_CHARACTERS 4

struct ColtFleetCheck
{
  const struct ColtFleet *fleet;
  GPtrArray *findings;
  GHashTable *names;  /* kind and name, as a set */
  GHashTable *routes; /* prefix and host -> first such struct ColtQueueConfig */
};

static void free_finding_ (gpointer data);
static void check_queue_ (struct ColtFleetCheck *check,
                          const struct ColtQueueConfig *queue);
static void check_route_ (struct ColtFleetCheck *check,
                          const struct ColtQueueConfig *queue);
static const struct ColtQueueConfig *
find_shadow_ (const struct ColtFleetCheck *check,
              const struct ColtQueueConfig *queue);
static const struct ColtQueueConfig *
find_route_ (const struct ColtFleetCheck *check,
             const struct ColtQueueConfig *queue,
             size_t host_size);
static char *make_route_ (const struct ColtQueueConfig *queue,
                          size_t host_size);
static void check_organisation_ (struct ColtFleetCheck *check,
                                 const struct ColtOrganisation *organisation,
                                 const struct ColtResources *task);
static void check_maximum_ (struct ColtFleetCheck *check,
                            const struct ColtOrganisation *organisation,
                            const struct ColtResources *task);
static void check_keys_ (struct ColtFleetCheck *check);
static void check_key_ (struct ColtFleetCheck *check,
                        GHashTable *holders,
                        const struct ColtOrganisation *organisation,
                        const char *key);
static void check_limits_ (struct ColtFleetCheck *check,
                           const struct ColtFleet *in_force);
static void
check_name_ (struct ColtFleetCheck *check, const char *what, const char *name);
static bool all_open_ (const struct ColtFleet *fleet);
static void add_ (struct ColtFleetCheck *check,
                  enum ColtFleetFindingKind kind,
                  const char *what,
                  const char *name,
                  const char *format,
                  ...) __attribute__ ((format (printf, 5, 6)));

const char *const colt_fleet_finding_string[]
    = { "empty_name",     "duplicate_name",     "duplicate_route",
        "shadowed_queue", "unmatchable_prefix", "missing_service",
        "no_attempts",    "stretch_below_one",  "no_key",
        "empty_key",      "repeated_key",       "shared_key",
        "weight",         "maximum_below_task", "idle_timeout",
        "version" };

GPtrArray *
colt_fleet_check (const struct ColtFleet *fleet,
                  const struct ColtFleet *in_force,
                  const struct ColtResources *task)
{
  struct ColtFleetCheck check = { fleet };
  GHashTable *services = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  check.findings = g_ptr_array_new_with_free_func (free_finding_);
  check.names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  check.routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (i = 0; i < fleet->services->len; i++)
    {
      const struct ColtServiceConfig *service
          = g_ptr_array_index (fleet->services, i);

      g_hash_table_add (services, service->name);
    }
  for (i = 0; i < fleet->queues->len; i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (fleet->queues, i);

      check_queue_ (&check, queue);
      if (!g_hash_table_contains (services, queue->service))
        add_ (&check, COLT_FINDING_MISSING_SERVICE, "queue", queue->name,
              "its service \"%s\" is not in the configuration", queue->service);
    }
  for (i = 0; i < fleet->services->len; i++)
    {
      const struct ColtServiceConfig *service
          = g_ptr_array_index (fleet->services, i);

      check_name_ (&check, "service", service->name);
    }
  for (i = 0; i < fleet->organisations->len; i++)
    check_organisation_ (&check, g_ptr_array_index (fleet->organisations, i),
                         task);
  check_keys_ (&check);
  check_limits_ (&check, in_force);
  g_hash_table_unref (services);
  g_hash_table_unref (check.names);
  g_hash_table_unref (check.routes);
  return check.findings;
}

const char *
colt_fleet_shorten_key (const char *key, char buffer[COLT_SHORT_KEY_SIZE])
{
  glong length = g_utf8_strlen (key, -1);
  gsize size = (gsize)(g_utf8_offset_to_pointer (
                           key, MIN (SHORT_KEY_CHARACTERS, length / 2))
                       - key);

  memcpy (buffer, key, size);
  g_strlcpy (buffer + size, "...", COLT_SHORT_KEY_SIZE - size);
  return buffer;
}

static void
free_finding_ (gpointer data)
{
  struct ColtFleetFinding *finding = data;

  g_free (finding->subject);
  g_free (finding->text);
  g_free (finding);
}

static void
check_queue_ (struct ColtFleetCheck *check, const struct ColtQueueConfig *queue)
{
  check_name_ (check, "queue", queue->name);
  check_route_ (check, queue);
  if (queue->prefix[0] != '\0'
      && (queue->prefix[0] != '/' || strpbrk (queue->prefix, "?#") != NULL))
    add_ (check, COLT_FINDING_UNMATCHABLE_PREFIX, "queue", queue->name,
          "no path begins with \"%s\": paths begin with a slash and end before "
          "a \"?\" or \"#\"",
          queue->prefix);
  if (queue->max_attempts == 0)
    add_ (check, COLT_FINDING_NO_ATTEMPTS, "queue", queue->name,
          "the number of attempts is 0; at least 1 is needed");
  if (queue->stretch < 1)
    add_ (check, COLT_FINDING_STRETCH_BELOW_ONE, "queue", queue->name,
          "stretch %g is below 1: the objective is shorter than the run time",
          queue->stretch);
}

static void
check_route_ (struct ColtFleetCheck *check, const struct ColtQueueConfig *queue)
{
  const struct ColtQueueConfig *earlier
      = find_route_ (check, queue, strlen (queue->host));

  if (earlier != NULL)
    {
      add_ (
          check, COLT_FINDING_DUPLICATE_ROUTE, "queue", queue->name,
          "queue \"%s\" precedes it with the same host and prefix: it gets no "
          "requests",
          earlier->name);
      return;
    }
  earlier = find_shadow_ (check, queue);
  if (earlier != NULL)
    add_ (check, COLT_FINDING_SHADOWED_QUEUE, "queue", queue->name,
          "queue \"%s\" precedes it with the same prefix and %s: it gets no "
          "requests",
          earlier->name,
          earlier->host[0] == '\0' ? "no host" : "the host without its port");
  g_hash_table_insert (check->routes, make_route_ (queue, strlen (queue->host)),
                       (gpointer)queue);
}

/* Finds an earlier queue of an equal prefix whose host differs, but matches all
 * that the queue's host matches. */
static const struct ColtQueueConfig *
find_shadow_ (const struct ColtFleetCheck *check,
              const struct ColtQueueConfig *queue)
{
  const struct ColtQueueConfig *earlier = find_route_ (check, queue, 0);
  size_t i;

  for (i = 1; earlier == NULL && i < HOST_MAX && queue->host[0] != '\0'
              && queue->host[i] != '\0';
       i++)
    if (queue->host[i] == ':')
      earlier = find_route_ (check, queue, i);
  return earlier;
}

/* Finds the first queue so far with the prefix of a queue and the first bytes
 * of its host. */
static const struct ColtQueueConfig *
find_route_ (const struct ColtFleetCheck *check,
             const struct ColtQueueConfig *queue,
             size_t host_size)
{
  char *route = make_route_ (queue, host_size);
  const struct ColtQueueConfig *found
      = g_hash_table_lookup (check->routes, route);

  g_free (route);
  return found;
}

static char *
make_route_ (const struct ColtQueueConfig *queue, size_t host_size)
{
  char *host = g_ascii_strdown (queue->host, (gssize)host_size);
  char *route = g_strdup_printf ("%zu %s%s", host_size, host, queue->prefix);

  g_free (host);
  return route;
}

static void
check_organisation_ (struct ColtFleetCheck *check,
                     const struct ColtOrganisation *organisation,
                     const struct ColtResources *task)
{
  check_name_ (check, "organisation", organisation->name);
  if (organisation->weight <= 0)
    add_ (check, COLT_FINDING_WEIGHT, "organisation", organisation->name,
          "weight %g is not above 0: its share has no bound",
          organisation->weight);
  if (task != NULL)
    check_maximum_ (check, organisation, task);
}

static void
check_maximum_ (struct ColtFleetCheck *check,
                const struct ColtOrganisation *organisation,
                const struct ColtResources *task)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (organisation->maximum.amount[i] != 0
        && organisation->maximum.amount[i] < task->amount[i])
      add_ (check, COLT_FINDING_MAXIMUM_BELOW_TASK, "organisation",
            organisation->name,
            "maximum %s %" G_GINT64_FORMAT " is below the %" G_GINT64_FORMAT
            " of the smallest task: none of its tasks can start",
            colt_resource_string[i], organisation->maximum.amount[i],
            task->amount[i]);
}

static void
check_keys_ (struct ColtFleetCheck *check)
{
  GHashTable *holders = g_hash_table_new (g_str_hash, g_str_equal);
  bool needs_keys = !all_open_ (check->fleet);
  guint i;
  guint k;

  for (i = 0; i < check->fleet->organisations->len; i++)
    {
      const struct ColtOrganisation *organisation
          = g_ptr_array_index (check->fleet->organisations, i);

      if (organisation->keys->len == 0 && needs_keys)
        add_ (check, COLT_FINDING_NO_KEY, "organisation", organisation->name,
              "it has no key: nobody can submit jobs for it");
      for (k = 0; k < organisation->keys->len; k++)
        check_key_ (check, holders, organisation,
                    g_ptr_array_index (organisation->keys, k));
    }
  g_hash_table_unref (holders);
}

static void
check_key_ (struct ColtFleetCheck *check,
            GHashTable *holders,
            const struct ColtOrganisation *organisation,
            const char *key)
{
  const struct ColtOrganisation *holder = g_hash_table_lookup (holders, key);
  const struct ColtOrganisation *owner
      = colt_fleet_find_organisation (check->fleet, key);
  char text[COLT_SHORT_KEY_SIZE];

  if (key[0] == '\0')
    add_ (check, COLT_FINDING_EMPTY_KEY, "organisation", organisation->name,
          "one of its keys is empty");
  if (holder == organisation)
    add_ (check, COLT_FINDING_REPEATED_KEY, "organisation", organisation->name,
          "its key %s is listed more than once",
          colt_fleet_shorten_key (key, text));
  else if (holder != NULL)
    add_ (check, COLT_FINDING_SHARED_KEY, "organisation", organisation->name,
          "organisation \"%s\" also holds its key %s, whose requests all count "
          "for \"%s\"",
          holder->name, colt_fleet_shorten_key (key, text),
          owner != NULL ? owner->name : "");
  g_hash_table_insert (holders, (gpointer)key, (gpointer)organisation);
}

static void
check_limits_ (struct ColtFleetCheck *check, const struct ColtFleet *in_force)
{
  const struct ColtFleet *fleet = check->fleet;

  if (fleet->idle_timeout_ms < fleet->header_timeout_ms)
    add_ (check, COLT_FINDING_IDLE_TIMEOUT, "limits", NULL,
          "the idle timeout of %u ms is below the header timeout of %u ms",
          fleet->idle_timeout_ms, fleet->header_timeout_ms);
  if (in_force != NULL && fleet->version <= in_force->version)
    add_ (check, COLT_FINDING_VERSION, "version", NULL,
          "version %" G_GINT64_FORMAT " is not higher than %" G_GINT64_FORMAT
          ", which is in force: it would be ignored",
          fleet->version, in_force->version);
}

static void
check_name_ (struct ColtFleetCheck *check, const char *what, const char *name)
{
  if (name[0] == '\0')
    add_ (check, COLT_FINDING_EMPTY_NAME, what, name, "its name is empty");
  if (!g_hash_table_add (check->names, g_strdup_printf ("%s %s", what, name)))
    add_ (check, COLT_FINDING_DUPLICATE_NAME, what, name,
          "an earlier %s has the same name", what);
}

static bool
all_open_ (const struct ColtFleet *fleet)
{
  guint i;

  for (i = 0; i < fleet->queues->len; i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (fleet->queues, i);

      if (!queue->open)
        return false;
    }
  return true;
}

static void
add_ (struct ColtFleetCheck *check,
      enum ColtFleetFindingKind kind,
      const char *what,
      const char *name,
      const char *format,
      ...)
{
  struct ColtFleetFinding *finding = g_new0 (struct ColtFleetFinding, 1);
  va_list values;

  finding->kind = kind;
  finding->subject
      = name != NULL ? g_strdup_printf ("%s %s", what, name) : g_strdup (what);
  va_start (values, format);
  finding->text = g_strdup_vprintf (format, values);
  va_end (values);
  g_ptr_array_add (check->findings, finding);
}
