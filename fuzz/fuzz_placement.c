/* Fuzzes the placement against an oracle that tracks what runs on each server.
 * The first two bytes of the input seed the placement and a series of random
 * events; each further pair of bytes is one event. */
#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/placement.h"

#define SERVERS 8u
#define REQUESTS 48u
#define TASKS 5u
#define TEAMS 4u
/* Random events before those of the input. */
#define DRAWN_EVENTS 200

enum ColtOracleState
{
  ORACLE_ABSENT,
  ORACLE_WAITING,
  ORACLE_RUNNING
};

struct ColtOracleServer
{
  bool registered;
  bool open; /* accepts work, as last reported to the placement */
  struct ColtServerDigest digest;
  struct ColtResources actual_free; /* free resources on the server */
};

struct ColtOracleTask
{
  enum ColtOracleState state;
  struct ColtPlacementTask task;
  uint32_t server; /* from 1 */
};

struct ColtOracle
{
  struct ColtPlacement *placement;
  GRand *random;
  int64_t now_us;
  struct ColtOracleServer servers[SERVERS];
  struct ColtOracleTask tasks[REQUESTS][TASKS];
  unsigned added;
  unsigned settled; /* chosen, removed, shed or rejected */
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static struct ColtOracleTask *
find_task_ (struct ColtOracle *oracle,
            const struct ColtId *request,
            uint32_t index)
{
  g_assert_cmpuint (request->bytes[15], <, REQUESTS);
  g_assert_cmpuint (index, <, TASKS);
  return &oracle->tasks[request->bytes[15]][index];
}

static unsigned
count_tasks_ (const struct ColtOracle *oracle,
              unsigned request,
              enum ColtOracleState state)
{
  unsigned count = 0;
  unsigned i;

  for (i = 0; i < TASKS; i++)
    count += oracle->tasks[request][i].state == state;
  return count;
}

static void
check_waiting_ (const struct ColtOracle *oracle)
{
  size_t waiting = 0;
  unsigned i;

  for (i = 0; i < REQUESTS; i++)
    waiting += count_tasks_ (oracle, i, ORACLE_WAITING);
  g_assert_cmpuint (colt_placement_waiting_count (oracle->placement), ==,
                    waiting);
  g_assert_cmpuint (oracle->added, ==, oracle->settled + waiting);
}

static void
handle_shed_tasks_ (struct ColtOracle *oracle)
{
  enum ColtPlacementStatus status;
  struct ColtPlacementTask task;

  while (colt_placement_pop_shed (oracle->placement, &task, &status))
    {
      struct ColtOracleTask *entry
          = find_task_ (oracle, &task.request, task.index);

      g_assert_cmpint (entry->state, ==, ORACLE_WAITING);
      g_assert_cmpint (status, !=, COLT_PLACEMENT_QUEUED);
      entry->state = ORACLE_ABSENT;
      oracle->settled++;
    }
}

static void
report_server_ (struct ColtOracle *oracle, unsigned i)
{
  struct ColtOracleServer *server = &oracle->servers[i];

  server->digest.free = server->actual_free;
  server->open
      = !server->digest.leaving && server->digest.probation_permille > 0;
  server->registered = true;
  colt_placement_set_server (oracle->placement, &server->digest,
                             oracle->now_us);
}

static void
update_server_ (struct ColtOracle *oracle, uint8_t byte)
{
  static const struct ColtResources shapes[]
      = { { { 16000, 65536, 0, 8, 64 } },
          { { 32000, 65536, 0, 4, 64 } },
          { { 32000, 131072, 8, 8, 64 } } };
  unsigned i = byte % SERVERS;
  struct ColtOracleServer *server = &oracle->servers[i];

  if (server->digest.server == 0)
    {
      server->digest.server = i + 1;
      server->digest.rack = i / 3;
      server->digest.epoch = 1;
      server->digest.capacity = shapes[i % G_N_ELEMENTS (shapes)];
      server->actual_free = server->digest.capacity;
    }
  server->digest.leaving = byte >> 3 == 7;
  server->digest.probation_permille = byte >> 3 == 8   ? 0
                                      : byte >> 3 == 9 ? 100
                                                       : 1000;
  server->digest.speed_permille = 500 + byte * 4;
  report_server_ (oracle, i);
}

static void
add_request_ (struct ColtOracle *oracle, uint8_t byte)
{
  struct ColtPlacementTask task = { 0 };
  unsigned request = byte % REQUESTS;
  uint32_t i;

  if (count_tasks_ (oracle, request, ORACLE_ABSENT) < TASKS)
    return;
  task.request.bytes[15] = (uint8_t)request;
  task.kind = (enum ColtWorkKind) (g_rand_int (oracle->random)
                                   % COLT_WORK_KIND_COUNT);
  task.tasks = task.kind == COLT_WORK_GANG
                   ? 2 + g_rand_int (oracle->random) % (TASKS - 1)
                   : 1;
  g_snprintf (task.team, sizeof task.team, "team-%u",
              g_rand_int (oracle->random) % TEAMS);
  task.demand.amount[COLT_RESOURCE_CORES] = 250
                                            << g_rand_int (oracle->random) % 8;
  task.demand.amount[COLT_RESOURCE_MEMORY] = 512
                                             << g_rand_int (oracle->random) % 8;
  task.demand.amount[COLT_RESOURCE_ACCELERATORS]
      = g_rand_int (oracle->random) % 3 == 0
            ? 1 << g_rand_int (oracle->random) % 4
            : 0;
  task.demand.amount[COLT_RESOURCE_SLOTS] = 1;
  task.demand.amount[COLT_RESOURCE_CONNECTIONS]
      = g_rand_int (oracle->random) % 8;
  task.urgent = g_rand_int (oracle->random) % 8 == 0;
  task.arrived_us = oracle->now_us;
  task.deadline_us = g_rand_int (oracle->random) % 4 == 0
                         ? oracle->now_us + 2 * COLT_US_PER_S
                         : COLT_TIME_NEVER;
  task.run_ms = g_rand_int (oracle->random) % 3000;
  for (i = 0; i < task.tasks; i++)
    {
      struct ColtOracleTask *entry = &oracle->tasks[request][i];

      task.index = i;
      oracle->added++;
      if (colt_placement_add (oracle->placement, &task, oracle->now_us)
          == COLT_PLACEMENT_QUEUED)
        {
          entry->task = task;
          entry->state = ORACLE_WAITING;
        }
      else
        oracle->settled++;
    }
}

static void
start_choice_ (struct ColtOracle *oracle,
               const struct ColtPlacementChoice *choice)
{
  struct ColtOracleTask *entry
      = find_task_ (oracle, &choice->request, choice->index);
  struct ColtOracleServer *server;

  g_assert_cmpuint (choice->server, >=, 1);
  g_assert_cmpuint (choice->server, <=, SERVERS);
  server = &oracle->servers[choice->server - 1];
  g_assert_cmpint (entry->state, ==, ORACLE_WAITING);
  g_assert_true (server->registered && server->open);
  g_assert_true (
      colt_resources_fit (&entry->task.demand, &server->actual_free));
  colt_resources_subtract (&server->actual_free, &entry->task.demand);
  entry->state = ORACLE_RUNNING;
  entry->server = choice->server;
  oracle->settled++;
}

/* Starts the next chosen task. All waiting tasks of its request must be chosen
 * one after another. */
static bool
start_next_ (struct ColtOracle *oracle)
{
  struct ColtPlacementChoice choice;
  struct ColtPlacementChoice next;
  unsigned others;

  if (!colt_placement_choose_next (oracle->placement, oracle->now_us, &choice))
    return false;
  others = count_tasks_ (oracle, choice.request.bytes[15], ORACLE_WAITING);
  start_choice_ (oracle, &choice);
  while (--others > 0)
    {
      g_assert_true (colt_placement_choose_next (oracle->placement,
                                                 oracle->now_us, &next));
      g_assert_true (colt_id_equal (&next.request, &choice.request));
      start_choice_ (oracle, &next);
    }
  return true;
}

static void
end_task_ (struct ColtOracle *oracle, struct ColtOracleTask *entry, bool failed)
{
  struct ColtTaskReport report = { 0 };

  report.state = failed ? COLT_TASK_FAILED : COLT_TASK_FINISHED;
  report.run_ms = 1 + g_rand_int (oracle->random) % 4000;
  report.usage = entry->task.demand;
  report.usage.amount[COLT_RESOURCE_MEMORY]
      = report.usage.amount[COLT_RESOURCE_MEMORY]
        * (50 + g_rand_int (oracle->random) % 200) / 100;
  entry->state = ORACLE_ABSENT;
  colt_resources_add (&oracle->servers[entry->server - 1].actual_free,
                      &entry->task.demand);
  colt_placement_report_end (oracle->placement, &entry->task, entry->server,
                             &report, oracle->now_us);
}

/* Refuses a started task and queues it again, as its request would do. */
static void
refuse_task_ (struct ColtOracle *oracle,
              struct ColtOracleTask *entry,
              enum ColtPlacementRefusal refusal)
{
  struct ColtOracleServer *server = &oracle->servers[entry->server - 1];

  colt_resources_add (&server->actual_free, &entry->task.demand);
  colt_placement_report_refusal (oracle->placement, &entry->task, entry->server,
                                 refusal, oracle->now_us);
  if (refusal == COLT_REFUSAL_LEAVING || refusal == COLT_REFUSAL_FENCED)
    server->open = false;
  entry->state = ORACLE_ABSENT;
  oracle->added++;
  if (colt_placement_add (oracle->placement, &entry->task, oracle->now_us)
      == COLT_PLACEMENT_QUEUED)
    entry->state = ORACLE_WAITING;
  else
    oracle->settled++;
}

/* Ends (event 0) or refuses the first running task of a request. */
static void
change_running_ (struct ColtOracle *oracle, uint8_t byte, uint8_t event)
{
  unsigned request = byte % REQUESTS;
  unsigned i;

  for (i = 0; i < TASKS; i++)
    {
      struct ColtOracleTask *entry = &oracle->tasks[request][i];

      if (entry->state != ORACLE_RUNNING)
        continue;
      if (event == 0)
        end_task_ (oracle, entry, byte >= 192);
      else
        refuse_task_ (oracle, entry, (enum ColtPlacementRefusal) (byte / 64));
      return;
    }
}

static void
remove_tasks_ (struct ColtOracle *oracle, uint8_t byte)
{
  unsigned request = byte % REQUESTS;
  unsigned i;

  for (i = 0; i < TASKS; i++)
    {
      struct ColtOracleTask *entry = &oracle->tasks[request][i];

      if (entry->state != ORACLE_WAITING)
        continue;
      colt_placement_remove (oracle->placement, &entry->task.request, i);
      entry->state = ORACLE_ABSENT;
      oracle->settled++;
      if (byte < 128)
        return;
    }
}

static void
remove_server_ (struct ColtOracle *oracle, uint8_t byte)
{
  struct ColtOracleServer *server = &oracle->servers[byte % SERVERS];

  colt_placement_remove_server (oracle->placement, byte % SERVERS + 1,
                                oracle->now_us);
  server->registered = false;
  server->open = false;
}

static void
report_usage_ (struct ColtOracle *oracle, uint8_t byte)
{
  struct ColtResources running = { { byte * 100, byte * 64, byte % 8, 1, 0 } };
  char team[COLT_NAME_SIZE];

  g_snprintf (team, sizeof team, "team-%u", byte % TEAMS);
  colt_placement_set_team_usage (oracle->placement, byte % 3, team, &running,
                                 oracle->now_us);
}

static void
step_ (struct ColtOracle *oracle, uint8_t event, uint8_t byte)
{
  switch (event % 12)
    {
    case 0:
      update_server_ (oracle, byte);
      break;
    case 1:
    case 2:
    case 3:
      add_request_ (oracle, byte);
      break;
    case 4:
    case 5:
      while (start_next_ (oracle) && byte-- > 0)
        ;
      break;
    case 6:
    case 7:
      change_running_ (oracle, byte, 0);
      break;
    case 8:
      change_running_ (oracle, byte, 1);
      break;
    case 9:
      remove_tasks_ (oracle, byte);
      break;
    case 10:
      oracle->now_us += byte * 20 * COLT_US_PER_MS;
      break;
    default:
      if (byte < 32)
        remove_server_ (oracle, byte);
      else
        report_usage_ (oracle, byte);
    }
  handle_shed_tasks_ (oracle);
  check_waiting_ (oracle);
}

/* Checks that nothing starves: with all servers available and tasks that end
 * immediately, every waiting task is chosen or shed, except those of gangs,
 * which may need more than the servers have. */
static void
drain_ (struct ColtOracle *oracle)
{
  unsigned round;
  unsigned i;
  unsigned j;

  for (round = 0; round < 400; round++)
    {
      oracle->now_us += 4 * COLT_US_PER_S;
      for (i = 0; i < REQUESTS; i++)
        for (j = 0; j < TASKS; j++)
          if (oracle->tasks[i][j].state == ORACLE_RUNNING)
            end_task_ (oracle, &oracle->tasks[i][j], false);
      for (i = 0; i < SERVERS; i++)
        update_server_ (oracle, (uint8_t)i);
      while (start_next_ (oracle))
        ;
      handle_shed_tasks_ (oracle);
      check_waiting_ (oracle);
    }
  for (i = 0; i < REQUESTS; i++)
    for (j = 0; j < TASKS; j++)
      g_assert_true (oracle->tasks[i][j].state != ORACLE_WAITING
                     || oracle->tasks[i][j].task.kind == COLT_WORK_GANG);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct ColtOracle *oracle = g_new0 (struct ColtOracle, 1);
  size_t i;

  oracle->placement = colt_placement_create (size > 0 ? data[0] : 0);
  oracle->random = g_rand_new_with_seed (size > 1 ? data[1] : 0);
  oracle->now_us = COLT_US_PER_S;
  for (i = 0; i < SERVERS; i++)
    update_server_ (oracle, (uint8_t)i);
  for (i = 0; i < DRAWN_EVENTS; i++)
    step_ (oracle, (uint8_t)g_rand_int (oracle->random),
           (uint8_t)g_rand_int (oracle->random));
  for (i = 2; i + 1 < size; i += 2)
    step_ (oracle, data[i], data[i + 1]);
  drain_ (oracle);
  colt_placement_destroy (oracle->placement);
  g_rand_free (oracle->random);
  g_free (oracle);
  return 0;
}
