#include "virtual_time.h"
#include "world_private.h"

/* Time without faults at the start. */
#define CALM_US (2 * COLT_US_PER_S)
/* Downtimes. */
#define DOWN_LEAST_MS 50
#define DOWN_SHORT_MS 600
#define DOWN_MOST_MS 5000
/* Time to the next crash in a series of them. */
#define NEXT_LIFE_LEAST_MS 50
#define NEXT_LIFE_MOST_MS 3000
/* Time by which servers that crash together crash, or start, apart. */
#define TOGETHER_MS 250
/* Longest time until a new life's entry is in the list. */
#define ENTRY_LAG_MS 3000
/* Time until the entry of a server that is down is removed. */
#define ENTRY_LEAST_MS 1500
#define ENTRY_MOST_MS 4000
/* Duration of a cut. */
#define CUT_LEAST_MS 100
#define CUT_MOST_MS 5000
/* Times of a series in which servers start again and are cut off. */
#define RECUT_DOWN_MS 600
#define RECUT_LEADER_MS 2000
#define RECUT_CUT_MS 2600
#define RECUT_LENGTH_MS 9000
#define ZONE_CUT_US (6 * COLT_US_PER_S)
/* Step of a wall clock. */
#define WALL_STEP_MS 20000

static void handle_crash (struct ColtWorld *world, void *arg);

static struct ColtWorldServer *
draw_server (struct ColtWorld *world)
{
  return g_ptr_array_index (
      world->servers,
      (guint)g_rand_int_range (world->rand, 0, (gint32)world->servers->len));
}

static void
handle_entry_due (struct ColtWorld *world, void *arg)
{
  const struct ColtWorldLife *life = arg;

  if (!life->ended)
    colt_world_put_entry (world, life);
}

static void
show_former (struct ColtWorld *world, void *arg)
{
  const struct ColtWorldLife *life = arg;

  colt_world_put_entry (world, life);
  if (life->server->life != NULL)
    colt_world_at (world,
                   colt_virtual_time_us ()
                       + colt_world_draw_us (world, 100, ENTRY_LAG_MS),
                   handle_entry_due, life->server->life);
}

/* Removes the entry of a life that has ended, unless its id is in use again. */
static void
handle_entry_expired (struct ColtWorld *world, void *arg)
{
  const struct ColtWorldLife *life = arg;
  struct ColtWorldServer *server = life->server;

  if (server->life != NULL && g_str_equal (server->life->id, life->id))
    return;
  colt_world_note (server, "entry of %s is removed", life->id);
  colt_world_delete_entry (world, life->id);
}

static void
fault_entry (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = draw_server (world);
  int64_t now_us = colt_virtual_time_us ();

  (void)arg;
  if (!world->faults)
    return;
  if (server->life != NULL && server->former != NULL
      && g_str_equal (server->former->id, server->life->id)
      && colt_world_draw (world, 0.3))
    show_former (world, server->former);
  else if (server->life != NULL)
    {
      colt_world_note (server, "entry of %s is removed", server->id);
      colt_world_delete_entry (world, server->id);
      colt_world_at (world,
                     now_us + colt_world_draw_us (world, 100, ENTRY_LAG_MS),
                     handle_entry_due, server->life);
    }
  colt_world_at (
      world,
      now_us + colt_world_draw_pause_us (world, world->plan->entry_faults),
      fault_entry, NULL);
}

static const char *
draw_other_id (struct ColtWorldServer *server)
{
  struct ColtWorld *world = server->world;
  char id[24];

  if (server->id != server->first_id && colt_world_draw (world, 0.5))
    return server->first_id;
  g_snprintf (id, sizeof id, "%s-%u", server->first_id, server->lives + 1);
  return g_string_chunk_insert_const (world->strings, id);
}

static void
handle_boot (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = arg;
  const struct ColtWorldPlan *plan = world->plan;
  const char *id = server->id;
  int64_t now_us = colt_virtual_time_us ();

  if (colt_world_draw (world, plan->clock_steps))
    server->wall_step_ms
        = g_rand_int_range (world->rand, -WALL_STEP_MS, WALL_STEP_MS);
  if (colt_world_draw (world, plan->other_ids))
    id = draw_other_id (server);
  colt_world_boot (server, id);
  colt_world_at (world, now_us + colt_world_draw_us (world, 0, ENTRY_LAG_MS),
                 handle_entry_due, server->life);
  if (world->faults && colt_world_draw (world, plan->next_lives))
    colt_world_at (
        world,
        now_us
            + colt_world_draw_us (world, NEXT_LIFE_LEAST_MS, NEXT_LIFE_MOST_MS),
        handle_crash, server);
}

static void
handle_crash (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = arg;
  int64_t now_us = colt_virtual_time_us ();
  double most_ms = colt_world_draw (world, world->plan->short_downtimes)
                       ? DOWN_SHORT_MS
                       : DOWN_MOST_MS;

  if (server->life == NULL || !world->faults)
    return;
  colt_world_crash (server, colt_world_draw (world, world->plan->silent));
  colt_world_at (world,
                 now_us + colt_world_draw_us (world, DOWN_LEAST_MS, most_ms),
                 handle_boot, server);
  colt_world_at (
      world, now_us + colt_world_draw_us (world, ENTRY_LEAST_MS, ENTRY_MOST_MS),
      handle_entry_expired, server->former);
}

static void
fault_servers (struct ColtWorld *world, void *arg)
{
  int64_t now_us = colt_virtual_time_us ();
  gint32 count = 1;

  (void)arg;
  if (!world->faults)
    return;
  if (colt_world_draw (world, 0.3))
    count = g_rand_int_range (world->rand, 1, (gint32)world->servers->len + 1);
  while (count-- > 0)
    colt_world_at (world, now_us + colt_world_draw_us (world, 0, TOGETHER_MS),
                   handle_crash, draw_server (world));
  colt_world_at (
      world, now_us + colt_world_draw_pause_us (world, world->plan->crashes),
      fault_servers, NULL);
}

static void
cut_server (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = draw_server (world);
  int64_t now_us = colt_virtual_time_us ();
  int64_t until_us
      = now_us + colt_world_draw_us (world, CUT_LEAST_MS, CUT_MOST_MS);
  bool both = colt_world_draw (world, 0.5);

  (void)arg;
  if (!world->faults)
    return;
  colt_world_note (server, "is cut off%s until %.3f",
                   both ? "" : ", its answers only",
                   (double)until_us / (double)COLT_US_PER_S);
  server->answers_cut_us = until_us;
  if (both)
    server->requests_cut_us = until_us;
  colt_world_at (world,
                 now_us + colt_world_draw_pause_us (world, world->plan->cuts),
                 cut_server, NULL);
}

static void
handle_recut (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = arg;
  int64_t until_us = colt_virtual_time_us () + RECUT_LENGTH_MS * COLT_US_PER_MS;

  (void)world;
  colt_world_note (server, "is cut off until %.3f",
                   (double)until_us / (double)COLT_US_PER_S);
  server->answers_cut_us = until_us;
  server->requests_cut_us = until_us;
}

static void
handle_recut_boot (struct ColtWorld *world, void *arg)
{
  struct ColtWorldServer *server = arg;

  colt_world_boot (server, server->id);
  colt_world_put_entry (world, server->life);
}

static void
recut_servers (struct ColtWorld *world, void *arg)
{
  int64_t now_us = colt_virtual_time_us ();
  guint i;

  (void)arg;
  if (!world->faults)
    return;
  for (i = 0; i < world->servers->len / 2; i++)
    {
      struct ColtWorldServer *server = g_ptr_array_index (world->servers, i);

      if (server->life == NULL)
        continue;
      colt_world_crash (server, true);
      colt_world_at (world, now_us + RECUT_DOWN_MS * COLT_US_PER_MS,
                     handle_recut_boot, server);
      colt_world_at (world, now_us + RECUT_CUT_MS * COLT_US_PER_MS,
                     handle_recut, server);
    }
  colt_world_at (world, now_us + RECUT_LEADER_MS * COLT_US_PER_MS,
                 colt_world_end_leader, NULL);
  colt_world_at (world,
                 now_us + RECUT_LENGTH_MS * COLT_US_PER_MS
                     + colt_world_draw_pause_us (world, world->plan->recuts),
                 recut_servers, NULL);
}

static void
cut_zone (struct ColtWorld *world, void *arg)
{
  guint i;

  (void)arg;
  for (i = 0; i < world->servers->len / 3; i++)
    {
      struct ColtWorldServer *server = g_ptr_array_index (world->servers, i);

      server->answers_cut_us = colt_virtual_time_us () + ZONE_CUT_US;
      server->requests_cut_us = server->answers_cut_us;
      colt_world_note (server, "is cut off with its zone");
    }
}

void
colt_world_init_faults (struct ColtWorld *world)
{
  int64_t begin_us = colt_virtual_time_us () + CALM_US;

  if (world->plan->zone_cut_s > 0)
    {
      world->zone_cut_us
          = colt_virtual_time_us () + world->plan->zone_cut_s * COLT_US_PER_S;
      colt_world_at (world, world->zone_cut_us, cut_zone, NULL);
    }
  if (world->plan->crashes > 0)
    colt_world_at (world, begin_us, fault_servers, NULL);
  if (world->plan->cuts > 0)
    colt_world_at (world, begin_us, cut_server, NULL);
  if (world->plan->entry_faults > 0)
    colt_world_at (world, begin_us, fault_entry, NULL);
  if (world->plan->recuts > 0)
    colt_world_at (world, begin_us + CALM_US, recut_servers, NULL);
}
