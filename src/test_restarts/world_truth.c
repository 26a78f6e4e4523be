#include "world_private.h"

#include <stdarg.h>

#include "virtual_time.h"

/* Starts are counted for this long before a zone is cut off, and from a moment
 * after it on. */
#define COUNTED_US (4 * COLT_US_PER_S)
#define CUT_BEGUN_US (1 * COLT_US_PER_S)

const char *const colt_world_rule_string[]
    = { "once", "done", "ack", "fence", "ends", "size" };

static struct ColtWorldTask *
get_task (struct ColtWorld *world, const char *name)
{
  struct ColtWorldTask *task = g_hash_table_lookup (world->tasks, name);

  if (task == NULL)
    {
      task = colt_world_alloc (world, sizeof *task);
      task->running = g_ptr_array_new ();
      g_hash_table_insert (world->tasks,
                           g_string_chunk_insert_const (world->strings, name),
                           task);
    }
  return task;
}

void
colt_world_note (struct ColtWorldServer *server, const char *format, ...)
{
  uint32_t slot = server->events++ % COLT_WORLD_HISTORY;
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_free (server->history[slot]);
  server->history[slot] = g_strdup_printf (
      "%9.3f %s life %u: %s",
      (double)colt_virtual_time_us () / (double)COLT_US_PER_S, server->address,
      server->lives, text);
  if (g_getenv ("COLT_RESTARTS_TRACE") != NULL)
    g_printerr ("%s\n", server->history[slot]);
  g_free (text);
}

bool
colt_world_break (struct ColtWorld *world,
                  enum ColtWorldRule rule,
                  const char *format,
                  ...)
{
  va_list args;
  char *text;

  if (world->result->broken[rule])
    return false;
  world->result->broken[rule] = true;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_test_message ("seed %u, %.3f s, rule %s: %s", world->plan->seed,
                  (double)colt_virtual_time_us () / (double)COLT_US_PER_S,
                  colt_world_rule_string[rule], text);
  g_free (text);
  return true;
}

static void
print_history (const struct ColtWorldServer *server)
{
  uint32_t i = server->events > COLT_WORLD_HISTORY
                   ? server->events - COLT_WORLD_HISTORY
                   : 0;

  for (; i < server->events; i++)
    g_test_message ("%s", server->history[i % COLT_WORLD_HISTORY]);
}

static void
print_run (const struct ColtWorldRun *run)
{
  g_test_message ("run %u on %s at %s, life %u, incarnation %lld: begun at "
                  "%.3f s, %s",
                  run->run, run->life->id, run->life->server->address,
                  run->life->number, (long long)run->life->incarnation_ms,
                  (double)run->begun_us / (double)COLT_US_PER_S,
                  run->ended_us == 0 ? "running" : run->how);
}

static void
check_not_done (struct ColtWorld *world,
                const struct ColtWorldTask *task,
                const struct ColtWorldRun *run)
{
  const struct ColtWorldLife *life = task->acked_life;

  if (!colt_world_break (
          world, RULE_DONE,
          "task %s starts after the end of run %u as done on %s at %s, life "
          "%u, was acknowledged at %.3f s",
          run->task, task->acked_run, life->id, life->server->address,
          life->number, (double)task->acked_us / (double)COLT_US_PER_S))
    return;
  print_run (run);
  print_history (life->server);
  if (life->server != run->life->server)
    print_history (run->life->server);
}

static void
check_only_run (struct ColtWorld *world,
                const struct ColtWorldRun *first,
                const struct ColtWorldRun *second)
{
  if (!colt_world_break (world, RULE_ONCE, "task %s runs twice", first->task))
    return;
  print_run (first);
  print_run (second);
  print_history (first->life->server);
  if (first->life->server != second->life->server)
    print_history (second->life->server);
}

static void
count_around_cut (struct ColtWorld *world)
{
  int64_t since_us = colt_virtual_time_us () - world->zone_cut_us;
  struct ColtWorldResult *result = world->result;

  if (world->zone_cut_us == 0)
    return;
  result->starts_before_cut += since_us >= -COUNTED_US && since_us < 0;
  result->starts_in_cut
      += since_us >= CUT_BEGUN_US && since_us < CUT_BEGUN_US + COUNTED_US;
}

void
colt_world_check_start (struct ColtWorld *world, struct ColtWorldRun *run)
{
  struct ColtWorldTask *task = get_task (world, run->task);

  world->result->starts++;
  count_around_cut (world);
  if (task->acked_us != 0)
    check_not_done (world, task, run);
  if (task->running->len > 0)
    check_only_run (world, g_ptr_array_index (task->running, 0), run);
  g_ptr_array_add (task->running, run);
}

void
colt_world_check_end (struct ColtWorld *world, struct ColtWorldRun *run)
{
  struct ColtWorldTask *task = get_task (world, run->task);

  g_ptr_array_remove (task->running, run);
  if (g_strcmp0 (run->how, colt_run_end_string[COLT_RUN_DONE]) != 0)
    return;
  task->done = true;
  world->result->done++;
}

static void
check_listed (const struct ColtWorldLife *life,
              const struct ColtFinishedEntry *end)
{
  if (end->number > life->listed_end
      && colt_world_break (life->server->world, RULE_ACK,
                           "end %llu, of task %s run %u, is acknowledged on "
                           "%s at %s, life %u, before it was listed",
                           (unsigned long long)end->number, end->task, end->run,
                           life->id, life->server->address, life->number))
    print_history (life->server);
}

void
colt_world_check_acked (const struct ColtWorldLife *life,
                        const struct ColtFinishedEntry *end)
{
  struct ColtWorldTask *task = get_task (life->server->world, end->task);

  check_listed (life, end);
  if (end->how != COLT_RUN_DONE || end->number <= life->lapsed_end
      || task->acked_us != 0)
    return;
  task->acked_us = colt_virtual_time_us ();
  task->acked_life = life;
  task->acked_run = end->run;
}

void
colt_world_free_truth (struct ColtWorld *world)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, world->tasks);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_ptr_array_unref (((struct ColtWorldTask *)value)->running);
  g_hash_table_unref (world->tasks);
}
