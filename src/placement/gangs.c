#include "placement_private.h"

/* How long a gang waits for tasks of it that have not been added. */
#define GATHER_US COLT_US_PER_S

static bool place_members_ (struct ColtPlacement *placement,
                            GPtrArray *members,
                            int64_t now_us);
static void take_back_ (struct ColtPlacement *placement,
                        const GPtrArray *members,
                        guint count);

void
colt_gangs_add (struct ColtPlacement *placement,
                struct ColtWaiting *waiting,
                int64_t now_us)
{
  struct ColtGang *gang
      = g_hash_table_lookup (placement->gangs, &waiting->task.request);

  if (gang == NULL)
    {
      gang = g_new0 (struct ColtGang, 1);
      gang->members = g_ptr_array_new ();
      gang->request = waiting->task.request;
      gang->tasks = waiting->task.tasks;
      gang->since_us = now_us;
      g_hash_table_insert (placement->gangs, &gang->request, gang);
    }
  waiting->gang = gang;
  if (gang->members->len > 0)
    waiting->lane = ((struct ColtWaiting *)gang->members->pdata[0])->lane;
  g_ptr_array_add (gang->members, waiting);
}

struct ColtWaiting *
colt_gangs_remove (struct ColtPlacement *placement, struct ColtWaiting *waiting)
{
  struct ColtGang *gang = waiting->gang;

  g_ptr_array_remove (gang->members, waiting);
  if (gang->members->len > 0)
    return g_ptr_array_index (gang->members, 0);
  g_hash_table_remove (placement->gangs, &waiting->task.request);
  return NULL;
}

bool
colt_gangs_ready (struct ColtPlacement *placement,
                  const struct ColtWaiting *waiting,
                  int64_t now_us)
{
  const struct ColtGang *gang = waiting->gang;
  uint32_t i;

  if (gang->members->len >= gang->tasks || now_us >= gang->since_us + GATHER_US)
    return true;
  for (i = 0; i < gang->tasks; i++)
    if (colt_placed_find (placement, &gang->request, i) != NULL)
      return true;
  return false;
}

int64_t
colt_gangs_gather_us (const struct ColtWaiting *waiting)
{
  return waiting->gang->since_us + GATHER_US;
}

bool
colt_gangs_place (struct ColtPlacement *placement,
                  struct ColtWaiting *waiting,
                  int64_t now_us)
{
  GPtrArray *members = g_ptr_array_copy (waiting->gang->members, NULL, NULL);
  uint64_t generation = placement->generation;
  bool placed = place_members_ (placement, members, now_us);
  guint i;

  if (!placed)
    placement->generation = generation;
  for (i = 0; placed && i < members->len; i++)
    colt_decide_hand_out (placement, g_ptr_array_index (members, i), now_us);
  g_ptr_array_unref (members);
  return placed;
}

void
colt_gangs_free (gpointer data)
{
  struct ColtGang *gang = data;

  g_ptr_array_unref (gang->members);
  g_free (gang);
}

static bool
place_members_ (struct ColtPlacement *placement,
                GPtrArray *members,
                int64_t now_us)
{
  guint i;

  for (i = 0; i < members->len; i++)
    {
      const struct ColtWaiting *member = g_ptr_array_index (members, i);
      struct ColtPlacementServer *server;
      struct ColtSearch search;

      colt_decide_prepare (&search, placement, member, now_us);
      server = colt_search_server (&search);
      if (server == NULL)
        {
          take_back_ (placement, members, i);
          return false;
        }
      colt_placed_add (placement, &search, server);
    }
  return true;
}

static void
take_back_ (struct ColtPlacement *placement,
            const GPtrArray *members,
            guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      const struct ColtWaiting *member = g_ptr_array_index (members, i);

      colt_placed_remove (placement,
                          colt_placed_find (placement, &member->task.request,
                                            member->task.index),
                          false);
    }
}
