#include <glib.h>

#include "pending_reports.h"

enum
{
  SHARD = 5
};

static void
report (struct ColtPendingReports *intake,
        uint32_t server,
        uint32_t first,
        uint32_t count)
{
  struct ColtTaskReport tasks[8] = { 0 };
  const struct ColtTaskReport *list[8];
  struct ColtShardReport shard = { 0 };
  uint32_t i;

  g_assert_cmpuint (count, <=, G_N_ELEMENTS (tasks));
  for (i = 0; i < count; i++)
    {
      tasks[i].ref.index = first + i;
      list[i] = &tasks[i];
    }
  shard.shard = SHARD;
  shard.server = server;
  shard.server_epoch = 7;
  shard.tasks = list;
  shard.task_count = count;
  colt_pending_reports_replace (intake, &shard);
}

static void
expect (struct ColtPendingReports *intake,
        uint32_t server,
        uint32_t first,
        uint32_t count)
{
  GArray *reports = colt_pending_reports_steal (intake, server);
  guint i;

  g_assert_cmpuint (reports->len, ==, count);
  for (i = 0; i < reports->len; i++)
    {
      uint32_t index
          = g_array_index (reports, struct ColtTaskReport, i).ref.index;

      g_assert_cmpuint (index, >=, first);
      g_assert_cmpuint (index, <, first + count);
    }
  g_array_unref (reports);
}

/* Two servers that come back at once: taking one in leaves the other's. */
static void
test_servers_are_kept_apart (void)
{
  struct ColtPendingReports intake;

  colt_pending_reports_init (&intake);
  report (&intake, 1, 10, 3);
  report (&intake, 2, 20, 2);
  report (&intake, 3, 30, 1);
  expect (&intake, 1, 10, 3);
  expect (&intake, 3, 30, 1);
  expect (&intake, 2, 20, 2);
  g_assert_cmpuint (intake.reports->len, ==, 0);
  colt_pending_reports_clear (&intake);
}

static void
test_newer_report_replaces (void)
{
  struct ColtPendingReports intake;

  colt_pending_reports_init (&intake);
  report (&intake, 1, 10, 4);
  report (&intake, 2, 20, 2);
  report (&intake, 1, 50, 1);
  expect (&intake, 2, 20, 2);
  expect (&intake, 1, 50, 1);
  colt_pending_reports_clear (&intake);
}

static void
test_empty_forgets_all (void)
{
  struct ColtPendingReports intake;

  colt_pending_reports_init (&intake);
  report (&intake, 1, 10, 4);
  colt_pending_reports_reset (&intake);
  expect (&intake, 1, 10, 0);
  colt_pending_reports_clear (&intake);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shard_intake/apart", test_servers_are_kept_apart);
  g_test_add_func ("/shard_intake/replace", test_newer_report_replaces);
  g_test_add_func ("/shard_intake/empty", test_empty_forgets_all);
  return g_test_run ();
}
