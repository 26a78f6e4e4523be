#include <glib.h>

#include "pending_reports.h"

enum
{
  SHARD = 5
};

static void
replace_reports_ (struct ColtPendingReports *pending,
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
  colt_pending_reports_replace (pending, &shard);
}

static void
assert_reports_ (struct ColtPendingReports *pending,
                 uint32_t server,
                 uint32_t first,
                 uint32_t count)
{
  GArray *reports = colt_pending_reports_steal (pending, server);
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

/* Stealing the reports of one server leaves those of the others, as when
 * several servers join at the same time. */
static void
test_servers_are_separate (void)
{
  struct ColtPendingReports pending;

  colt_pending_reports_init (&pending);
  replace_reports_ (&pending, 1, 10, 3);
  replace_reports_ (&pending, 2, 20, 2);
  replace_reports_ (&pending, 3, 30, 1);
  assert_reports_ (&pending, 1, 10, 3);
  assert_reports_ (&pending, 3, 30, 1);
  assert_reports_ (&pending, 2, 20, 2);
  g_assert_cmpuint (pending.reports->len, ==, 0);
  colt_pending_reports_clear (&pending);
}

static void
test_newer_report_replaces (void)
{
  struct ColtPendingReports pending;

  colt_pending_reports_init (&pending);
  replace_reports_ (&pending, 1, 10, 4);
  replace_reports_ (&pending, 2, 20, 2);
  replace_reports_ (&pending, 1, 50, 1);
  assert_reports_ (&pending, 2, 20, 2);
  assert_reports_ (&pending, 1, 50, 1);
  colt_pending_reports_clear (&pending);
}

static void
test_reset_drops_all (void)
{
  struct ColtPendingReports pending;

  colt_pending_reports_init (&pending);
  replace_reports_ (&pending, 1, 10, 4);
  colt_pending_reports_reset (&pending);
  assert_reports_ (&pending, 1, 10, 0);
  colt_pending_reports_clear (&pending);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pending_reports/separate", test_servers_are_separate);
  g_test_add_func ("/pending_reports/replace", test_newer_report_replaces);
  g_test_add_func ("/pending_reports/reset", test_reset_drops_all);
  return g_test_run ();
}
