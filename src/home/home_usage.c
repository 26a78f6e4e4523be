#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Time between two updates of the usage and queue lengths, in microseconds. */
#define USAGE_INTERVAL_US (500 * COLT_US_PER_MS)

/* Resources of a team in tasks that this home has sent or has running. */
struct ColtTeamUsage
{
  struct ColtResources running;
  bool reported; /* the usage last sent to the other members was above 0 */
};

/* A team's usage message and the data that it points to. */
struct ColtDigestTeamBuffer
{
  ColtDigestTeam msg;
  struct ColtResourcesBuffer running;
};

static void count_request_ (void *client, const struct ColtRequest *request);
static struct ColtTeamUsage *get_usage_ (struct ColtHome *home,
                                         const char *team);
static void count_waiting_ (struct ColtHome *home, const char *queue);
static void send_usage_ (struct ColtHome *home);
static bool is_zero_ (const struct ColtResources *resources);

void
colt_home_update_usage (struct ColtHome *home, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (now_us < home->next_usage_us)
    return;
  home->next_usage_us = now_us + USAGE_INTERVAL_US;
  g_hash_table_remove_all (home->queue_waiting);
  g_hash_table_iter_init (&iter, home->team_usage);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    memset (&((struct ColtTeamUsage *)value)->running, 0,
            sizeof (struct ColtResources));
  colt_requests_visit (home->requests, count_request_, home);
  send_usage_ (home);
}

void
colt_home_set_remote_usage (struct ColtHome *home,
                            uint32_t instance,
                            const ColtDigestTeam *team,
                            int64_t now_us)
{
  struct ColtResources running;

  if (strlen (team->team) < COLT_NAME_SIZE
      && colt_resources_read (team->running, &running))
    colt_placement_set_team_usage (home->placement, instance, team->team,
                                   &running, now_us);
}

bool
colt_home_is_queue_full (struct ColtHome *home, const char *queue)
{
  gpointer bound;
  uint32_t waiting;
  uint32_t led = 0;
  uint32_t shard;

  if (!g_hash_table_lookup_extended (home->queue_bounds, queue, NULL, &bound))
    return false;
  waiting = GPOINTER_TO_UINT (g_hash_table_lookup (home->queue_waiting, queue));
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    led += colt_requests_shard_epoch (home->requests, shard) != 0;
  return (uint64_t)waiting * COLT_SHARD_COUNT
         >= (uint64_t)GPOINTER_TO_UINT (bound) * MAX (led, 1);
}

void
colt_home_count_waiting (struct ColtHome *home, const char *queue)
{
  count_waiting_ (home, queue);
}

void
colt_home_set_queue_bounds (struct ColtHome *home,
                            const struct ColtBundle *bundle)
{
  uint32_t i;

  g_hash_table_remove_all (home->queue_bounds);
  for (i = 0; i < colt_bundle_queue_count (bundle); i++)
    {
      const struct ColtBundleQueue *queue = colt_bundle_queue (bundle, i);

      g_hash_table_insert (
          home->queue_bounds, g_strdup (queue->name),
          GUINT_TO_POINTER ((guint)MIN (queue->max_waiting, INT32_MAX)));
    }
}

static void
count_request_ (void *client, const struct ColtRequest *request)
{
  struct ColtHome *home = client;
  struct ColtTeamUsage *usage = NULL;
  uint32_t i;

  if (request->outcome != COLT_OUTCOME_PENDING)
    return;
  if (request->started_us < 0 && !request->recovered)
    count_waiting_ (home, request->spec.queue);
  for (i = 0; i < request->spec.tasks; i++)
    {
      if (request->tasks[i].state != COLT_REQUEST_TASK_SENT
          && request->tasks[i].state != COLT_REQUEST_TASK_RUNNING)
        continue;
      if (usage == NULL)
        usage = get_usage_ (home, request->spec.team);
      colt_resources_add (&usage->running, &request->spec.demand);
    }
}

static struct ColtTeamUsage *
get_usage_ (struct ColtHome *home, const char *team)
{
  struct ColtTeamUsage *usage = g_hash_table_lookup (home->team_usage, team);

  if (usage != NULL)
    return usage;
  usage = g_new0 (struct ColtTeamUsage, 1);
  g_hash_table_insert (home->team_usage, g_strdup (team), usage);
  return usage;
}

static void
count_waiting_ (struct ColtHome *home, const char *queue)
{
  guint count
      = GPOINTER_TO_UINT (g_hash_table_lookup (home->queue_waiting, queue));

  g_hash_table_insert (home->queue_waiting, g_strdup (queue),
                       GUINT_TO_POINTER (count + 1));
}

/* Sends the usage of teams to the other members; a usage that drops to zero is
 * sent once. */
static void
send_usage_ (struct ColtHome *home)
{
  GPtrArray *teams = g_ptr_array_new_with_free_func (g_free);
  ColtDigestWord digest = COLT_DIGEST_WORD__INIT;
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint8_t *body;
  size_t size;
  size_t i;

  g_hash_table_iter_init (&iter, home->team_usage);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct ColtTeamUsage *usage = value;
      struct ColtDigestTeamBuffer *buffer;
      bool zero = is_zero_ (&usage->running);

      if (zero && !usage->reported)
        continue;
      usage->reported = !zero;
      buffer = g_new0 (struct ColtDigestTeamBuffer, 1);
      colt_digest_team__init (&buffer->msg);
      colt_resources_fill (&buffer->running, &usage->running);
      buffer->msg.team = key;
      buffer->msg.running = &buffer->running.msg;
      g_ptr_array_add (teams, buffer);
    }
  digest.teams = (ColtDigestTeam **)teams->pdata;
  digest.n_teams = teams->len;
  body = colt_message_pack (&digest.base, &size);
  for (i = 0; i < home->member_count && teams->len > 0; i++)
    if (home->members[i] != home->parts.instance)
      colt_wire_send (home->parts.wire, home->members[i],
                      COLT_WIRE_PLACE_DIGEST, body, size);
  free (body);
  g_ptr_array_unref (teams);
}

static bool
is_zero_ (const struct ColtResources *resources)
{
  int i;

  for (i = 0; i < COLT_RESOURCE_COUNT; i++)
    if (resources->amount[i] != 0)
      return false;
  return true;
}
