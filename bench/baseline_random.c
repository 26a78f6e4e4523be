/* Baseline placement: first come, first served on a random server with room. */
#include <string.h>

#include "bench.h"

/* Number of waiting tasks that are examined for one that fits a server. */
#define WINDOW 64

struct ColtPlacement
{
  GPtrArray *servers; /* of struct ColtServerDigest */
  GQueue waiting;     /* of struct ColtPlacementTask */
  GRand *random;
};

static struct ColtPlacement *
create_ (uint64_t seed)
{
  struct ColtPlacement *placement = g_new0 (struct ColtPlacement, 1);

  placement->servers = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&placement->waiting);
  placement->random = g_rand_new_with_seed ((guint32)seed);
  return placement;
}

static void
destroy_ (struct ColtPlacement *placement)
{
  g_ptr_array_unref (placement->servers);
  g_queue_clear_full (&placement->waiting, g_free);
  g_rand_free (placement->random);
  g_free (placement);
}

static void
set_bundle_ (struct ColtPlacement *placement, const struct ColtBundle *bundle)
{
  (void)placement;
  (void)bundle;
}

static struct ColtServerDigest *
find_server_ (const struct ColtPlacement *placement, uint32_t server)
{
  guint i;

  for (i = 0; i < placement->servers->len; i++)
    {
      struct ColtServerDigest *digest
          = g_ptr_array_index (placement->servers, i);

      if (digest->server == server)
        return digest;
    }
  return NULL;
}

static void
set_server_ (struct ColtPlacement *placement,
             const struct ColtServerDigest *digest,
             int64_t now_us)
{
  struct ColtServerDigest *existing = find_server_ (placement, digest->server);

  (void)now_us;
  if (existing != NULL)
    *existing = *digest;
  else
    g_ptr_array_add (placement->servers, g_memdup2 (digest, sizeof *digest));
}

static enum ColtPlacementStatus
add_task_ (struct ColtPlacement *placement,
           const struct ColtPlacementTask *task,
           int64_t now_us)
{
  (void)now_us;
  g_queue_push_tail (&placement->waiting, g_memdup2 (task, sizeof *task));
  return COLT_PLACEMENT_QUEUED;
}

static void
remove_task_ (struct ColtPlacement *placement,
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

/* Returns one of the servers with room for a task, each with equal probability,
 * or NULL. */
static struct ColtServerDigest *
draw_server_ (const struct ColtPlacement *placement,
              const struct ColtPlacementTask *task)
{
  struct ColtServerDigest *found = NULL;
  int candidates = 0;
  guint i;

  for (i = 0; i < placement->servers->len; i++)
    {
      struct ColtServerDigest *digest
          = g_ptr_array_index (placement->servers, i);

      if (digest->leaving || digest->probation_permille == 0
          || !colt_resources_fit (&task->demand, &digest->free))
        continue;
      candidates++;
      if (g_rand_int_range (placement->random, 0, candidates) == 0)
        found = digest;
    }
  return found;
}

static bool
choose_next_ (struct ColtPlacement *placement,
              int64_t now_us,
              struct ColtPlacementChoice *choice)
{
  GList *link;
  int examined = 0;

  (void)now_us;
  for (link = placement->waiting.head; link != NULL && examined < WINDOW;
       link = link->next, examined++)
    {
      struct ColtPlacementTask *task = link->data;
      struct ColtServerDigest *server = draw_server_ (placement, task);

      if (server == NULL)
        continue;
      colt_resources_subtract (&server->free, &task->demand);
      choice->request = task->request;
      choice->index = task->index;
      choice->server = server->server;
      g_free (task);
      g_queue_delete_link (&placement->waiting, link);
      return true;
    }
  return false;
}

static bool
pop_shed_ (struct ColtPlacement *placement,
           struct ColtPlacementTask *task,
           enum ColtPlacementStatus *status)
{
  (void)placement;
  (void)task;
  (void)status;
  return false;
}

static void
report_refusal_ (struct ColtPlacement *placement,
                 const struct ColtPlacementTask *task,
                 uint32_t server,
                 enum ColtPlacementRefusal refusal,
                 int64_t now_us)
{
  struct ColtServerDigest *digest = find_server_ (placement, server);

  (void)task;
  (void)now_us;
  if (digest != NULL && refusal != COLT_REFUSAL_NO_CREDIT)
    memset (&digest->free, 0, sizeof digest->free);
}

static void
report_end_ (struct ColtPlacement *placement,
             const struct ColtPlacementTask *task,
             uint32_t server,
             const struct ColtTaskReport *report,
             int64_t now_us)
{
  struct ColtServerDigest *digest = find_server_ (placement, server);

  (void)report;
  (void)now_us;
  if (digest != NULL)
    colt_resources_add (&digest->free, &task->demand);
}

static void
set_team_usage_ (struct ColtPlacement *placement,
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

const struct ColtBenchPlacementOps colt_bench_random
    = { create_,         destroy_,     set_bundle_,    set_server_,
        add_task_,       remove_task_, choose_next_,   pop_shed_,
        report_refusal_, report_end_,  set_team_usage_ };
