#include "world_private.h"

#include <math.h>

#include "virtual_time.h"

/* Turns of the event loop. */
#define STEP_US COLT_US_PER_MS
/* Time within which all jobs end once no faults are injected: runs without a
 * report wait for their leases, unreachable servers for their pauses. */
#define RECOVERY_US (60 * COLT_US_PER_S)

struct ColtWorldEvent
{
  int64_t due_us;
  uint64_t number;
  ColtWorldEventHandler handle;
  void *arg;
};

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct ColtWorldEvent *a = left;
  const struct ColtWorldEvent *b = right;

  (void)data;
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us ? -1 : 1;
  if (a->number != b->number)
    return a->number < b->number ? -1 : 1;
  return 0;
}

void
colt_world_at (struct ColtWorld *world,
               int64_t when_us,
               ColtWorldEventHandler handle,
               void *arg)
{
  struct ColtWorldEvent *event = g_new0 (struct ColtWorldEvent, 1);

  event->due_us = when_us;
  event->number = world->event_count++;
  event->handle = handle;
  event->arg = arg;
  g_sequence_insert_sorted (world->events, event, compare_events, NULL);
}

void *
colt_world_alloc (struct ColtWorld *world, size_t size)
{
  void *memory = g_malloc0 (size);

  g_ptr_array_add (world->memory, memory);
  return memory;
}

bool
colt_world_draw (struct ColtWorld *world, double probability)
{
  return g_rand_double (world->rand) < probability;
}

int64_t
colt_world_draw_us (struct ColtWorld *world, double least_ms, double most_ms)
{
  return (int64_t)(g_rand_double_range (world->rand, least_ms, most_ms)
                   * COLT_US_PER_MS);
}

int64_t
colt_world_draw_pause_us (struct ColtWorld *world, double rate)
{
  return (int64_t)(-log (1 - g_rand_double (world->rand)) / rate
                   * COLT_US_PER_S);
}

static void
handle_due_events (struct ColtWorld *world)
{
  int64_t now_us = colt_virtual_time_us ();

  while (true)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->events);
      struct ColtWorldEvent event;

      if (g_sequence_iter_is_end (first))
        return;
      event = *(const struct ColtWorldEvent *)g_sequence_get (first);
      if (event.due_us > now_us)
        return;
      g_sequence_remove (first);
      event.handle (world, event.arg);
    }
}

static void
run_until (struct ColtWorld *world, int64_t end_us, bool until_ended)
{
  uint32_t turns = 0;

  while (colt_virtual_time_us () < end_us)
    {
      colt_virtual_time_advance (STEP_US);
      handle_due_events (world);
      event_base_loop (world->base, EVLOOP_NONBLOCK);
      if (until_ended && ++turns % 100 == 0
          && colt_world_count_open_jobs (world) == 0)
        return;
    }
}

static void
init_world (struct ColtWorld *world)
{
  world->rand = g_rand_new_with_seed (world->plan->seed);
  world->base = event_base_new ();
  world->events = g_sequence_new (g_free);
  world->lives = g_ptr_array_new ();
  world->servers = g_ptr_array_new ();
  world->channels = g_ptr_array_new ();
  world->calls = g_ptr_array_new ();
  world->jobs = g_ptr_array_new ();
  world->memory = g_ptr_array_new_with_free_func (g_free);
  world->strings = g_string_chunk_new (4096);
  world->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  colt_world_init_log (world);
  colt_world_init_channels (world);
  colt_world_init_servers (world);
  colt_world_init_leader (world);
  colt_world_init_faults (world);
}

static void
free_world (struct ColtWorld *world)
{
  world->closing = true;
  colt_world_free_leader (world);
  colt_world_free_servers (world);
  colt_world_free_channels (world);
  colt_world_free_log (world);
  colt_world_free_truth (world);
  g_ptr_array_unref (world->jobs);
  g_ptr_array_unref (world->calls);
  g_ptr_array_unref (world->channels);
  g_ptr_array_unref (world->servers);
  g_ptr_array_unref (world->lives);
  g_ptr_array_unref (world->memory);
  g_string_chunk_free (world->strings);
  g_sequence_free (world->events);
  event_base_free (world->base);
  g_rand_free (world->rand);
}

void
colt_world_run (const struct ColtWorldPlan *plan,
                struct ColtWorldResult *result)
{
  struct ColtWorld world = { 0 };
  uint32_t open;

  *result = (struct ColtWorldResult){ 0 };
  world.plan = plan;
  world.result = result;
  colt_virtual_time_begin ();
  init_world (&world);
  world.faults = true;
  run_until (&world, colt_virtual_time_us () + plan->seconds * COLT_US_PER_S,
             false);
  world.faults = false;
  run_until (&world, colt_virtual_time_us () + RECOVERY_US, true);
  open = colt_world_count_open_jobs (&world);
  if (open > 0)
    colt_world_break (&world, RULE_ENDS, "%u jobs haven't ended", open);
  free_world (&world);
  colt_virtual_time_end ();
}
