#include "coltsfootstile/placement.h"

#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"

struct ColtPlacement
{
  GRand *random;
  GTree *servers; /* id -> struct ColtServerDigest */
  GQueue waiting; /* of struct ColtPlacementTask */
  GHashTable *index;
};

static gint compare_ids_ (gconstpointer a, gconstpointer b, gpointer data);

const char *const colt_placement_status_string[]
    = { "queued", "never_fits", "too_late", "full" };
const char *const colt_placement_refusal_string[]
    = { "no_room", "no_credit", "leaving", "fenced" };

struct ColtPlacement *
colt_placement_create (uint64_t seed)
{
  struct ColtPlacement *placement = g_new0 (struct ColtPlacement, 1);

  placement->random = g_rand_new_with_seed ((guint32)seed);
  placement->servers = g_tree_new_full (compare_ids_, NULL, NULL, g_free);
  g_queue_init (&placement->waiting);
  return placement;
}

void
colt_placement_destroy (struct ColtPlacement *placement)
{
  if (placement == NULL)
    return;
  g_rand_free (placement->random);
  g_tree_unref (placement->servers);
  g_queue_clear_full (&placement->waiting, g_free);
  g_free (placement);
}

void
colt_placement_set_bundle (struct ColtPlacement *placement,
                           const struct ColtBundle *bundle)
{
  (void)placement;
  (void)bundle;
}

void
colt_placement_set_server (struct ColtPlacement *placement,
                           const struct ColtServerDigest *digest,
                           int64_t now_us)
{
  (void)now_us;
  g_tree_replace (placement->servers, GUINT_TO_POINTER (digest->server),
                  g_memdup2 (digest, sizeof *digest));
}

void
colt_placement_remove_server (struct ColtPlacement *placement, uint32_t server)
{
  g_tree_remove (placement->servers, GUINT_TO_POINTER (server));
}

enum ColtPlacementStatus
colt_placement_add (struct ColtPlacement *placement,
                    const struct ColtPlacementTask *task,
                    int64_t now_us)
{
  (void)now_us;
  g_queue_push_tail (&placement->waiting, g_memdup2 (task, sizeof *task));
  return COLT_PLACEMENT_QUEUED;
}

void
colt_placement_remove (struct ColtPlacement *placement,
                       const struct ColtId *request,
                       uint32_t index)
{
  GList *link;

  for (link = placement->waiting.head; link != NULL; link = link->next)
    {
      const struct ColtPlacementTask *task = link->data;

      if (task->index != index || !colt_id_equal (&task->request, request))
        continue;
      g_free (link->data);
      g_queue_delete_link (&placement->waiting, link);
      return;
    }
}

struct ColtSearch
{
  GRand *random;
  const struct ColtPlacementTask *task;
  struct ColtServerDigest *found;
  int seen;
};

static gboolean
consider_ (gpointer key, gpointer value, gpointer data)
{
  struct ColtServerDigest *digest = value;
  struct ColtSearch *search = data;

  (void)key;
  if (digest->leaving || digest->probation_permille == 0
      || !colt_resources_fit (&search->task->demand, &digest->free))
    return FALSE;
  search->seen++;
  if (g_rand_int_range (search->random, 0, search->seen) == 0)
    search->found = digest;
  return FALSE;
}

bool
colt_placement_next (struct ColtPlacement *placement,
                     int64_t now_us,
                     struct ColtPlacementChoice *choice)
{
  GList *link;
  int looked = 0;

  (void)now_us;
  for (link = placement->waiting.head; link != NULL && looked < 64;
       link = link->next, looked++)
    {
      struct ColtPlacementTask *task = link->data;
      struct ColtSearch search = { placement->random, task, NULL, 0 };

      g_tree_foreach (placement->servers, consider_, &search);
      if (search.found == NULL)
        continue;
      colt_resources_subtract (&search.found->free, &task->demand);
      choice->request = task->request;
      choice->index = task->index;
      choice->server = search.found->server;
      g_free (task);
      g_queue_delete_link (&placement->waiting, link);
      return true;
    }
  return false;
}

int64_t
colt_placement_wake_us (const struct ColtPlacement *placement)
{
  (void)placement;
  return COLT_TIME_NEVER;
}

void
colt_placement_refused (struct ColtPlacement *placement,
                        const struct ColtPlacementTask *task,
                        uint32_t server,
                        enum ColtPlacementRefusal refusal,
                        int64_t now_us)
{
  struct ColtServerDigest *digest
      = g_tree_lookup (placement->servers, GUINT_TO_POINTER (server));

  (void)task;
  (void)now_us;
  if (digest != NULL && refusal != COLT_REFUSAL_NO_CREDIT)
    memset (&digest->free, 0, sizeof digest->free);
}

void
colt_placement_ended (struct ColtPlacement *placement,
                      const struct ColtPlacementTask *task,
                      uint32_t server,
                      const struct ColtTaskReport *report,
                      int64_t now_us)
{
  struct ColtServerDigest *digest
      = g_tree_lookup (placement->servers, GUINT_TO_POINTER (server));

  (void)report;
  (void)now_us;
  if (digest != NULL)
    colt_resources_add (&digest->free, &task->demand);
}

void
colt_placement_set_team_usage (struct ColtPlacement *placement,
                               uint32_t instance,
                               const char *team,
                               const struct ColtResources *running,
                               int64_t now_us)
{
  (void)placement;
  (void)instance;
  (void)team;
  (void)running;
  (void)now_us;
}

size_t
colt_placement_waiting (const struct ColtPlacement *placement)
{
  return g_queue_get_length ((GQueue *)&placement->waiting);
}

size_t
colt_placement_team_waiting (const struct ColtPlacement *placement,
                             const char *team)
{
  const GList *link;
  size_t count = 0;

  for (link = placement->waiting.head; link != NULL; link = link->next)
    {
      const struct ColtPlacementTask *task = link->data;

      count += strcmp (task->team, team) == 0;
    }
  return count;
}

struct ColtServerVisit
{
  void (*visit) (void *client, const struct ColtServerDigest *digest);
  void *client;
};

static gboolean
visit_one_ (gpointer key, gpointer value, gpointer data)
{
  const struct ColtServerVisit *visit = data;

  (void)key;
  visit->visit (visit->client, value);
  return FALSE;
}

void
colt_placement_visit_servers (
    const struct ColtPlacement *placement,
    void (*visit) (void *client, const struct ColtServerDigest *digest),
    void *client)
{
  struct ColtServerVisit all = { visit, client };

  g_tree_foreach (placement->servers, visit_one_, &all);
}

static gint
compare_ids_ (gconstpointer a, gconstpointer b, gpointer data)
{
  guint first = GPOINTER_TO_UINT (a);
  guint second = GPOINTER_TO_UINT (b);

  (void)data;
  return (first > second) - (first < second);
}
