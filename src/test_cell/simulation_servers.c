#include "simulation_private.h"

#define LOOK_EVERY_US (60 * COLT_US_PER_MS)

static void
free_run (gpointer data)
{
  struct ColtWorldRun *run = data;

  g_free (run->task);
  g_free (run);
}

static void
free_end (gpointer data)
{
  struct ColtWorldEnd *end = data;

  g_free (end->task);
  g_free (end);
}

/* The end stays listed until it is noted. */
static void
end_run (struct ColtWorld *world,
         struct ColtWorldServer *server,
         guint index,
         enum ColtRunEnd how)
{
  struct ColtWorldRun *run = g_ptr_array_index (server->runs, index);
  struct ColtWorldEnd *end = g_new0 (struct ColtWorldEnd, 1);

  g_test_message ("%lld: %s run %u on %s: %s",
                  (long long)(world->now_us / COLT_US_PER_MS), run->task,
                  run->run, server->id, colt_run_end_string[how]);
  end->number = ++server->last_end;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  g_ptr_array_add (server->ends, end);
  colt_world_truth (world, run->task)->running--;
  g_hash_table_insert (server->floor, g_strdup (run->task),
                       GUINT_TO_POINTER (run->run + 1));
  g_ptr_array_remove_index (server->runs, index);
}

void
colt_world_make_servers (struct ColtWorld *world)
{
  uint32_t s;

  world->servers = g_new0 (struct ColtWorldServer, world->plan->servers);
  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      g_snprintf (server->id, sizeof server->id, "server-%u", s);
      server->born_ms = 1;
      server->runs = g_ptr_array_new_with_free_func (free_run);
      server->ends = g_ptr_array_new_with_free_func (free_end);
      server->floor
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

void
colt_world_free_servers (struct ColtWorld *world)
{
  uint32_t s;

  for (s = 0; s < world->plan->servers; s++)
    {
      g_ptr_array_unref (world->servers[s].runs);
      g_ptr_array_unref (world->servers[s].ends);
      g_hash_table_unref (world->servers[s].floor);
    }
  g_free (world->servers);
}

void
colt_world_play_servers (struct ColtWorld *world)
{
  uint32_t s;
  guint i;

  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      if (server->cut && world->now_us >= server->cut_until_us)
        server->cut = false;
      if (!server->cut && colt_world_chance (world, world->plan->cuts))
        {
          server->cut = true;
          server->cut_until_us
              = world->now_us
                + g_rand_int_range (world->rand, 100, 9000) * COLT_US_PER_MS;
        }
      for (i = server->runs->len; i-- > 0;)
        {
          struct ColtWorldRun *run = g_ptr_array_index (server->runs, i);

          if (world->now_us >= server->until_us)
            end_run (world, server, i, COLT_RUN_LAPSED);
          else if (world->now_us >= run->end_us)
            end_run (world, server, i, run->how);
        }
      for (i = 0; i < server->ends->len && world->now_us >= server->until_us;
           i++)
        ((struct ColtWorldEnd *)g_ptr_array_index (server->ends, i))->lapsed
            = true;
      if (colt_world_chance (world, world->plan->crashes))
        {
          for (i = 0; i < server->runs->len; i++)
            colt_world_truth (world, ((struct ColtWorldRun *)g_ptr_array_index (
                                          server->runs, i))
                                         ->task)
                ->running--;
          g_ptr_array_set_size (server->runs, 0);
          g_ptr_array_set_size (server->ends, 0);
          g_hash_table_remove_all (server->floor);
          server->born_ms++;
          server->token = 0;
          server->until_us = 0;
          server->last_end = 0;
        }
    }
}

static void
note_ends (struct ColtWorld *world, struct ColtWorldServer *server)
{
  while (server->ends->len > 0)
    {
      struct ColtWorldEnd *end = g_ptr_array_index (server->ends, 0);
      struct ColtWorldTaskTruth *truth = colt_world_truth (world, end->task);

      if (end->number > server->noted)
        return;
      if (end->how == COLT_RUN_DONE && !end->lapsed)
        truth->done_noted = true;
      if (end->how == COLT_RUN_FAILED && !end->lapsed)
        {
          truth->failures_noted++;
          g_test_message ("%lld: %s run %u on %s: failure %u is noted",
                          (long long)(world->now_us / COLT_US_PER_MS),
                          end->task, end->run, server->id,
                          truth->failures_noted);
        }
      g_ptr_array_remove_index (server->ends, 0);
    }
}

static void
report (struct ColtWorld *world, struct ColtWorldServer *server)
{
  GArray *running
      = g_array_new (FALSE, FALSE, sizeof (struct ColtRunningEntry));
  GArray *finished
      = g_array_new (FALSE, FALSE, sizeof (struct ColtFinishedEntry));
  struct ColtServerReport list = { 0 };
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtWorldRun *run = g_ptr_array_index (server->runs, i);
      const struct ColtRunningEntry entry = { run->task, run->run, "", 100 };

      g_array_append_val (running, entry);
    }
  for (i = 0; i < server->ends->len; i++)
    {
      const struct ColtWorldEnd *end = g_ptr_array_index (server->ends, i);
      const struct ColtFinishedEntry entry
          = { end->number, end->task, end->run, end->how, "" };

      g_array_append_val (finished, entry);
    }
  list.asked = server->asked;
  list.running = (const struct ColtRunningEntry *)running->data;
  list.running_count = running->len;
  list.finished = (const struct ColtFinishedEntry *)finished->data;
  list.finished_count = finished->len;
  colt_cell_report (world->cell, server->id, &list, world->now_us);
  if (finished->len > 0)
    {
      const struct ColtWorldNote note
          = { server, server->born_ms,
              g_array_index (finished, struct ColtFinishedEntry,
                             finished->len - 1)
                  .number };

      g_array_append_val (world->noting, note);
    }
  g_array_unref (running);
  g_array_unref (finished);
}

static void
set_entry (struct ColtWorld *world, struct ColtWorldServer *server)
{
  const char *labels[] = { "a", "r-1", NULL };
  struct ColtServerEntry entry = { 0 };

  entry.id = server->id;
  entry.service = SERVICE;
  entry.address = "127.0.0.1:1";
  entry.zone = "zone";
  entry.ready = true;
  entry.born_ms = server->born_ms;
  entry.room.amount[COLT_RESOURCE_CORES] = ROOM;
  entry.room.amount[COLT_RESOURCE_MEMORY] = ROOM;
  entry.labels = labels;
  colt_cell_set_server (world->cell, &entry, world->now_us);
}

void
colt_world_play_looks (struct ColtWorld *world)
{
  uint32_t s;

  for (s = 0; s < world->plan->servers; s++)
    {
      struct ColtWorldServer *server = &world->servers[s];

      if (!server->cut)
        set_entry (world, server);
      if (server->lapse_us > 0
          && world->now_us > server->lapse_us + LEASE_US / 40)
        {
          server->lapse_us = 0;
          colt_cell_emptied (world->cell, server->id, world->now_us);
        }
      if (world->now_us < server->next_look_us)
        continue;
      server->next_look_us = world->now_us + LOOK_EVERY_US;
      server->asked++;
      if (server->cut)
        {
          if (++server->failures == 2)
            colt_cell_set_dark (world->cell, server->id);
          continue;
        }
      server->failures = 0;
      if (server->known_born_ms != server->born_ms)
        {
          if (server->known_born_ms != 0)
            colt_cell_emptied (world->cell, server->id, world->now_us);
          server->known_born_ms = server->born_ms;
          server->noted = 0;
          server->lapse_us = 0;
        }
      g_assert_cmpuint (server->token, <=, world->generation);
      server->token = world->generation;
      server->until_us = world->now_us + LEASE_US;
      server->lapse_us = MAX (server->lapse_us, server->until_us + STEP_US);
      note_ends (world, server);
      report (world, server);
    }
}
