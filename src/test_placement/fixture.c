#include <string.h>

#include "tests.h"

struct ColtFixture *
test_create_fixture (void)
{
  struct ColtFixture *fixture = g_new0 (struct ColtFixture, 1);

  fixture->placement = colt_placement_create (7);
  fixture->now_us = TEST_START_US;
  return fixture;
}

void
test_destroy_fixture (struct ColtFixture *fixture)
{
  colt_placement_destroy (fixture->placement);
  g_free (fixture);
}

uint32_t
test_add_server (struct ColtFixture *fixture,
                 int64_t cores,
                 int64_t accelerators)
{
  struct ColtServerDigest *digest = &fixture->servers[++fixture->count];

  digest->server = fixture->count;
  digest->rack = (fixture->count - 1) / 5;
  digest->epoch = 1;
  digest->owner = 1;
  digest->probation_permille = 1000;
  digest->speed_permille = COLT_SPEED_NORMAL;
  digest->capacity.amount[COLT_RESOURCE_CORES] = cores * 1000;
  digest->capacity.amount[COLT_RESOURCE_MEMORY] = cores * 2048;
  digest->capacity.amount[COLT_RESOURCE_ACCELERATORS] = accelerators;
  digest->capacity.amount[COLT_RESOURCE_SLOTS] = 8;
  digest->capacity.amount[COLT_RESOURCE_CONNECTIONS] = 64;
  test_send_digest (fixture, fixture->count);
  return fixture->count;
}

void
test_send_digest (struct ColtFixture *fixture, uint32_t server)
{
  struct ColtServerDigest *digest = &fixture->servers[server];

  digest->free = digest->capacity;
  colt_placement_set_server (fixture->placement, digest,
                             fixture->now_us - TEST_START_US);
}

struct ColtPlacementTask
test_make_task (const struct ColtFixture *fixture,
                unsigned number,
                const char *team,
                enum ColtWorkKind kind,
                int64_t cores,
                int64_t accelerators)
{
  struct ColtPlacementTask task = { 0 };

  memcpy (task.request.bytes, &number, sizeof number);
  task.tasks = 1;
  g_strlcpy (task.team, team, sizeof task.team);
  task.kind = kind;
  task.demand.amount[COLT_RESOURCE_CORES] = cores * 1000;
  task.demand.amount[COLT_RESOURCE_MEMORY] = cores * 1024;
  task.demand.amount[COLT_RESOURCE_ACCELERATORS] = accelerators;
  task.demand.amount[COLT_RESOURCE_SLOTS] = 1;
  task.arrived_us = fixture->now_us;
  task.deadline_us = COLT_TIME_NEVER;
  return task;
}

void
test_add_task (struct ColtFixture *fixture,
               const struct ColtPlacementTask *task)
{
  g_assert_cmpint (
      colt_placement_add (fixture->placement, task, fixture->now_us), ==,
      COLT_PLACEMENT_QUEUED);
}

void
test_add_tasks (struct ColtFixture *fixture,
                unsigned number,
                unsigned count,
                const char *team,
                enum ColtWorkKind kind,
                int64_t cores,
                int64_t accelerators)
{
  for (; count > 0; count--, number++)
    {
      struct ColtPlacementTask task
          = test_make_task (fixture, number, team, kind, cores, accelerators);

      test_add_task (fixture, &task);
    }
}

unsigned
test_place_next (struct ColtFixture *fixture, uint32_t *server)
{
  struct ColtPlacementChoice choice;
  unsigned number;

  g_assert_true (colt_placement_choose_next (fixture->placement,
                                             fixture->now_us, &choice));
  memcpy (&number, choice.request.bytes, sizeof number);
  if (server != NULL)
    *server = choice.server;
  return number;
}

bool
test_is_idle (struct ColtFixture *fixture)
{
  struct ColtPlacementChoice choice;

  return !colt_placement_choose_next (fixture->placement, fixture->now_us,
                                      &choice);
}

void
test_end_task (struct ColtFixture *fixture,
               const struct ColtPlacementTask *task,
               uint32_t server,
               int64_t run_ms)
{
  struct ColtTaskReport report = { 0 };

  report.state = COLT_TASK_FINISHED;
  report.run_ms = run_ms;
  report.usage = task->demand;
  colt_placement_report_end (fixture->placement, task, server, &report,
                             fixture->now_us);
}
