#include "simulation_private.h"

/* Time between two renewals of a server's leases. */
#define RENEWAL_INTERVAL_US (60 * COLT_US_PER_MS)
/* Longest time until the entry of a server shows its incarnation or room. */
#define ENTRY_LAG_MAX_MS 2000
/* Time that a server is down after a task has crashed it. */
#define DOWN_MIN_MS 2500
#define DOWN_MAX_MS 3500
/* Time until the entry of an id that is gone disappears. */
#define GONE_LISTED_MIN_MS 2000
#define GONE_LISTED_MAX_MS 4000
/* Time between renewals that are answered as gone. */
#define GONE_RENEWAL_INTERVAL_US (1200 * COLT_US_PER_MS)
/* Time until a shrunken room grows again. */
#define SHRUNKEN_MIN_MS 1500
#define SHRUNKEN_MAX_MS 6000
/* Most ids of a server. */
#define SERVER_IDS_MAX 8

static void
free_run (gpointer data)
{
  struct ColtSimRun *run = data;

  g_free (run->task);
  g_free (run);
}

static void
free_end (gpointer data)
{
  struct ColtSimEnd *end = data;

  g_free (end->task);
  g_free (end);
}

/* Ends a run and lists its end until the leader acknowledges it. */
static void
end_run (struct ColtSim *sim,
         struct ColtSimServer *server,
         guint index,
         enum ColtRunEnd how)
{
  struct ColtSimRun *run = g_ptr_array_index (server->runs, index);
  struct ColtSimEnd *end = g_new0 (struct ColtSimEnd, 1);

  g_test_message ("%lld ms: %s run %u on %s ended as %s",
                  (long long)(sim->now_us / COLT_US_PER_MS), run->task,
                  run->run, server->id, colt_run_end_string[how]);
  end->number = ++server->last_end;
  end->task = g_strdup (run->task);
  end->run = run->run;
  end->how = how;
  g_ptr_array_add (server->ends, end);
  colt_sim_get_truth (sim, run->task)->running--;
  if (how == COLT_RUN_FAILED)
    colt_sim_get_truth (sim, run->task)->failures++;
  g_hash_table_insert (server->min_runs, g_strdup (run->task),
                       GUINT_TO_POINTER (run->run + 1));
  g_ptr_array_remove_index (server->runs, index);
}

static int64_t
draw_ms (struct ColtSim *sim, gint32 least, gint32 limit)
{
  return g_rand_int_range (sim->rand, least, limit) * COLT_US_PER_MS;
}

static struct ColtSimServer *
add_server (struct ColtSim *sim, uint32_t machine, int64_t incarnation_ms)
{
  struct ColtSimServer *server = &sim->servers[sim->server_count];

  g_snprintf (server->id, sizeof server->id, SERVER_ID_FORMAT,
              sim->server_count);
  server->machine = machine;
  server->incarnation_ms = incarnation_ms;
  server->entry_incarnation_ms = incarnation_ms;
  server->room = SERVER_CAPACITY;
  server->entry_room = SERVER_CAPACITY;
  server->listed_until_us = INT64_MAX;
  server->runs = g_ptr_array_new_with_free_func (free_run);
  server->ends = g_ptr_array_new_with_free_func (free_end);
  server->min_runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim->server_count++;
  return server;
}

void
colt_sim_make_servers (struct ColtSim *sim)
{
  uint32_t s;

  sim->server_limit
      = sim->plan->servers * (sim->plan->deadly_tasks > 0 ? SERVER_IDS_MAX : 1);
  sim->servers = g_new0 (struct ColtSimServer, sim->server_limit);
  for (s = 0; s < sim->plan->servers; s++)
    add_server (sim, s, 1);
}

void
colt_sim_free_servers (struct ColtSim *sim)
{
  uint32_t s;

  for (s = 0; s < sim->server_count; s++)
    {
      g_ptr_array_unref (sim->servers[s].runs);
      g_ptr_array_unref (sim->servers[s].ends);
      g_hash_table_unref (sim->servers[s].min_runs);
    }
  g_free (sim->servers);
}

struct ColtSimServer *
colt_sim_get_answerer (struct ColtSimServer *server)
{
  while (server->successor != NULL)
    server = server->successor;
  return server;
}

bool
colt_sim_is_evacuated (const struct ColtSim *sim,
                       const struct ColtSimServer *server)
{
  return sim->evacuated[server->machine % ZONES];
}

bool
colt_sim_is_silent (const struct ColtSimServer *server)
{
  return server->partitioned || server->down_until_us != 0;
}

/* Ends a server's process: its runs end, and it forgets all of its state. */
static void
crash_server (struct ColtSim *sim, struct ColtSimServer *server)
{
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtSimRun *run = g_ptr_array_index (server->runs, i);
      struct ColtSimTaskTruth *truth = colt_sim_get_truth (sim, run->task);

      truth->running--;
      truth->crashes++;
      g_test_message ("%lld ms: %s crashes under %s run %u, crash %u under it",
                      (long long)(sim->now_us / COLT_US_PER_MS), server->id,
                      run->task, run->run, truth->crashes);
    }
  g_ptr_array_set_size (server->runs, 0);
  g_ptr_array_set_size (server->ends, 0);
  g_hash_table_remove_all (server->min_runs);
  server->token = 0;
  server->lease_end_us = 0;
  server->last_end = 0;
}

/* Begins an incarnation under the same id. */
static void
begin_incarnation (struct ColtSim *sim, struct ColtSimServer *server)
{
  server->incarnation_ms++;
  server->entry_due_us = sim->now_us + draw_ms (sim, 0, ENTRY_LAG_MAX_MS);
}

/* Loses the answers that a crashed server may not have sent yet. */
static void
lose_answers (struct ColtSim *sim, const struct ColtSimServer *server)
{
  guint i;

  for (i = 0; i < sim->orders->len; i++)
    {
      struct ColtSimOrder *order = g_ptr_array_index (sim->orders, i);

      if (order->server == server && order->done && order->answer_us != 0
          && colt_sim_draw (sim, 0.5))
        order->answered = false;
    }
}

/* Restarts a server that a task has crashed: as a new incarnation, or under
 * another id at the same address. */
static void
restart_server (struct ColtSim *sim, struct ColtSimServer *server)
{
  server->down_until_us = 0;
  if (sim->server_count < sim->server_limit && colt_sim_draw (sim, 0.5))
    {
      struct ColtSimServer *successor
          = add_server (sim, server->machine, server->incarnation_ms + 1);

      successor->partitioned = server->partitioned;
      successor->partition_end_us = server->partition_end_us;
      successor->listed_from_us
          = sim->now_us + draw_ms (sim, 0, ENTRY_LAG_MAX_MS);
      successor->next_renewal_us = successor->listed_from_us;
      server->partitioned = false;
      server->successor = successor;
      server->listed_until_us
          = sim->now_us + draw_ms (sim, GONE_LISTED_MIN_MS, GONE_LISTED_MAX_MS);
    }
  else
    begin_incarnation (sim, server);
  g_test_message ("%lld ms: %s is back as %s",
                  (long long)(sim->now_us / COLT_US_PER_MS), server->id,
                  colt_sim_get_answerer (server)->id);
}

/* Ends the runs of a server that are due, or crashes it if one of them does
 * so. */
static void
advance_runs (struct ColtSim *sim, struct ColtSimServer *server)
{
  guint i;

  for (i = server->runs->len; i-- > 0;)
    {
      struct ColtSimRun *run = g_ptr_array_index (server->runs, i);

      if (sim->now_us >= server->lease_end_us)
        end_run (sim, server, i, COLT_RUN_LAPSED);
      else if (run->crash_us != 0 && sim->now_us >= run->crash_us)
        {
          sim->result->crashes++;
          crash_server (sim, server);
          lose_answers (sim, server);
          server->down_until_us
              = sim->now_us + draw_ms (sim, DOWN_MIN_MS, DOWN_MAX_MS);
          return;
        }
      else if (sim->now_us >= run->end_us)
        end_run (sim, server, i, run->how);
    }
}

/* Shrinks a server's room, or lets it grow again. The entry shows it at once or
 * later. */
static void
advance_room (struct ColtSim *sim, struct ColtSimServer *server)
{
  uint32_t used = 0;
  guint i;

  if (server->room < SERVER_CAPACITY)
    {
      if (sim->now_us < server->room_end_us)
        return;
      server->room = SERVER_CAPACITY;
    }
  else
    {
      if (sim->plan->shrinking_rooms == 0
          || !colt_sim_draw (sim, sim->plan->shrinking_rooms))
        return;
      server->room = (uint32_t)(SERVER_CAPACITY
                                * g_rand_double_range (sim->rand, 0.3, 0.7));
      server->room_end_us
          = sim->now_us + draw_ms (sim, SHRUNKEN_MIN_MS, SHRUNKEN_MAX_MS);
    }
  server->room_due_us = sim->now_us;
  if (colt_sim_draw (sim, 0.5))
    server->room_due_us += draw_ms (sim, 0, ENTRY_LAG_MAX_MS);
  for (i = 0; i < server->runs->len; i++)
    used += ((struct ColtSimRun *)g_ptr_array_index (server->runs, i))->cpu;
  if (used > server->room)
    sim->result->overfull_rooms++;
  g_test_message ("%lld ms: the room of %s becomes %u, of which %u are used",
                  (long long)(sim->now_us / COLT_US_PER_MS), server->id,
                  server->room, used);
}

void
colt_sim_advance_servers (struct ColtSim *sim)
{
  uint32_t s;
  guint i;

  for (s = 0; s < sim->server_count; s++)
    {
      struct ColtSimServer *server = &sim->servers[s];

      if (server->successor != NULL)
        continue;
      if (server->partitioned && sim->now_us >= server->partition_end_us)
        server->partitioned = false;
      if (!server->partitioned && colt_sim_draw (sim, sim->plan->partitions))
        {
          server->partitioned = true;
          server->partition_end_us = sim->now_us + draw_ms (sim, 100, 9000);
        }
      if (server->down_until_us != 0)
        {
          if (sim->now_us >= server->down_until_us)
            restart_server (sim, server);
          continue;
        }
      advance_room (sim, server);
      advance_runs (sim, server);
      for (i = 0; i < server->ends->len && sim->now_us >= server->lease_end_us;
           i++)
        ((struct ColtSimEnd *)g_ptr_array_index (server->ends, i))->lapsed
            = true;
      if (colt_sim_draw (sim, sim->plan->crashes) && server->down_until_us == 0)
        {
          crash_server (sim, server);
          begin_incarnation (sim, server);
        }
    }
}

/* Drops acknowledged ends. The leader may have started the tasks of those of
 * expired leases again, but no more once an end as done is acknowledged.
 * Otherwise nothing may have started since a run has ended as done. */
static void
drop_acked_ends (struct ColtSim *sim, struct ColtSimServer *server)
{
  while (server->ends->len > 0)
    {
      struct ColtSimEnd *end = g_ptr_array_index (server->ends, 0);
      struct ColtSimTaskTruth *truth = colt_sim_get_truth (sim, end->task);

      if (end->number > server->acked_end)
        return;
      if (end->how == COLT_RUN_DONE && !end->lapsed)
        {
          truth->done_acked = true;
          if (truth->last_started > end->run)
            g_test_message ("%lld ms: %s has started as run %u after run %u "
                            "was done on %s",
                            (long long)(sim->now_us / COLT_US_PER_MS),
                            end->task, truth->last_started, end->run,
                            server->id);
          g_assert_cmpuint (truth->last_started, <=, end->run);
        }
      if (end->how == COLT_RUN_DONE && end->lapsed
          && truth->late_done_acked_us == 0)
        truth->late_done_acked_us = sim->now_us;
      if (end->how == COLT_RUN_FAILED && !end->lapsed)
        {
          truth->failures_acked++;
          g_test_message ("%lld ms: %s run %u on %s: failure %u acknowledged",
                          (long long)(sim->now_us / COLT_US_PER_MS), end->task,
                          end->run, server->id, truth->failures_acked);
        }
      g_ptr_array_remove_index (server->ends, 0);
    }
}

/* Reports a server's runs and ends to the cell. The ends are acknowledged once
 * the next batch of records is durable. */
static void
report_runs (struct ColtSim *sim, struct ColtSimServer *server)
{
  GArray *running
      = g_array_new (FALSE, FALSE, sizeof (struct ColtRunningEntry));
  GArray *finished
      = g_array_new (FALSE, FALSE, sizeof (struct ColtFinishedEntry));
  struct ColtServerReport report = { 0 };
  guint ends_max
      = sim->plan->listed_ends > 0 ? sim->plan->listed_ends : G_MAXUINT;
  guint i;

  for (i = 0; i < server->runs->len; i++)
    {
      const struct ColtSimRun *run = g_ptr_array_index (server->runs, i);
      const struct ColtRunningEntry entry = { run->task, run->run, "", 100 };

      g_array_append_val (running, entry);
    }
  for (i = 0; i < MIN (server->ends->len, ends_max); i++)
    {
      const struct ColtSimEnd *end = g_ptr_array_index (server->ends, i);
      const struct ColtFinishedEntry entry
          = { end->number, end->task, end->run, end->how, "" };

      g_array_append_val (finished, entry);
    }
  report.call_number = server->renewals;
  report.incarnation_ms = server->incarnation_ms;
  report.running = (const struct ColtRunningEntry *)running->data;
  report.running_count = running->len;
  report.finished = (const struct ColtFinishedEntry *)finished->data;
  report.finished_count = finished->len;
  report.may_have_more = finished->len >= ends_max;
  if (server->ends->len > ends_max)
    sim->result->cut_lists++;
  colt_cell_apply_report (sim->cell, server->id, &report, sim->now_us);
  if (finished->len > 0)
    {
      const struct ColtSimAck ack
          = { server, server->incarnation_ms,
              g_array_index (finished, struct ColtFinishedEntry,
                             finished->len - 1)
                  .number };

      g_array_append_val (sim->acks, ack);
    }
  g_array_unref (running);
  g_array_unref (finished);
}

static void
report_entry (struct ColtSim *sim, struct ColtSimServer *server)
{
  const char *labels[] = { "a", "r-1", NULL };
  char address[32];
  char zone[ZONE_SIZE];
  struct ColtServerEntry entry = { 0 };

  g_snprintf (address, sizeof address, "127.0.0.1:%u", server->machine + 1);
  entry.id = server->id;
  entry.service = SERVICE;
  entry.address = address;
  g_snprintf (zone, sizeof zone, "zone-%u", server->machine % ZONES);
  entry.zone = zone;
  entry.ready = true;
  if (sim->now_us >= server->entry_due_us)
    server->entry_incarnation_ms = server->incarnation_ms;
  entry.incarnation_ms = server->entry_incarnation_ms;
  if (sim->now_us >= server->room_due_us && server->entry_room != server->room)
    {
      server->entry_room = server->room;
      g_test_message ("%lld ms: the entry of %s shows the room %u",
                      (long long)(sim->now_us / COLT_US_PER_MS), server->id,
                      server->room);
    }
  entry.room.amount[COLT_RESOURCE_CORES] = server->entry_room;
  entry.room.amount[COLT_RESOURCE_MEMORY] = SERVER_CAPACITY;
  entry.labels = labels;
  colt_cell_set_server (sim->cell, &entry, sim->now_us);
  server->known = true;
}

/* Reports whether and how a server is listed. */
static void
report_listing (struct ColtSim *sim, struct ColtSimServer *server)
{
  if (sim->now_us >= server->listed_until_us)
    colt_cell_unlist_server (sim->cell, server->id);
  else
    report_entry (sim, server);
}

/* Renews the leases of an id that is gone. A leader that hasn't seen its entry
 * can't. */
static void
renew_gone_server (struct ColtSim *sim, struct ColtSimServer *server)
{
  if (!server->known || sim->now_us < server->next_renewal_us)
    return;
  server->renewals++;
  server->next_renewal_us = sim->now_us + RENEWAL_INTERVAL_US;
  if (colt_sim_is_silent (colt_sim_get_answerer (server)))
    {
      if (++server->failed_renewals == 2)
        colt_cell_set_unreachable (sim->cell, server->id);
      return;
    }
  server->failed_renewals = 0;
  server->next_renewal_us = sim->now_us + GONE_RENEWAL_INTERVAL_US;
  server->expiry_us = 0;
  colt_cell_replace_server (sim->cell, server->id, sim->now_us);
}

void
colt_sim_renew_leases (struct ColtSim *sim)
{
  uint32_t s;

  for (s = 0; s < sim->server_count; s++)
    {
      struct ColtSimServer *server = &sim->servers[s];

      if (sim->now_us < server->listed_from_us)
        continue;
      if (!server->partitioned)
        report_listing (sim, server);
      if (server->expiry_us > 0
          && sim->now_us > server->expiry_us + LEASE_US / 40)
        {
          server->expiry_us = 0;
          colt_cell_end_server_runs (sim->cell, server->id, sim->now_us);
        }
      if (server->successor != NULL)
        {
          renew_gone_server (sim, server);
          continue;
        }
      if (sim->now_us < server->next_renewal_us)
        continue;
      server->next_renewal_us = sim->now_us + RENEWAL_INTERVAL_US;
      server->renewals++;
      if (colt_sim_is_silent (server))
        {
          if (++server->failed_renewals == 2)
            colt_cell_set_unreachable (sim->cell, server->id);
          continue;
        }
      server->failed_renewals = 0;
      if (server->known_incarnation_ms != server->incarnation_ms)
        {
          server->known_incarnation_ms = server->incarnation_ms;
          server->acked_end = 0;
        }
      g_assert_cmpuint (server->token, <=, sim->generation);
      server->token = sim->generation;
      server->lease_end_us = sim->now_us + LEASE_US;
      server->expiry_us
          = MAX (server->expiry_us, server->lease_end_us + STEP_US);
      drop_acked_ends (sim, server);
      report_runs (sim, server);
    }
}
