#include "pending_reports.h"

void
colt_pending_reports_init (struct ColtPendingReports *pending)
{
  pending->reports = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskReport));
  pending->servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pending->server_epochs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

void
colt_pending_reports_clear (struct ColtPendingReports *pending)
{
  g_array_unref (pending->reports);
  g_array_unref (pending->servers);
  g_array_unref (pending->server_epochs);
}

void
colt_pending_reports_reset (struct ColtPendingReports *pending)
{
  g_array_set_size (pending->reports, 0);
  g_array_set_size (pending->servers, 0);
  g_array_set_size (pending->server_epochs, 0);
}

void
colt_pending_reports_replace (struct ColtPendingReports *pending,
                              const struct ColtShardReport *report)
{
  size_t i;

  g_array_unref (colt_pending_reports_steal (pending, report->server));
  for (i = 0; i < report->task_count; i++)
    {
      g_array_append_vals (pending->reports, report->tasks[i], 1);
      g_array_append_val (pending->servers, report->server);
      g_array_append_val (pending->server_epochs, report->server_epoch);
    }
}

GArray *
colt_pending_reports_steal (struct ColtPendingReports *pending, uint32_t server)
{
  GArray *stolen = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskReport));
  guint i = 0;

  while (i < pending->servers->len)
    {
      if (g_array_index (pending->servers, uint32_t, i) != server)
        {
          i++;
          continue;
        }
      g_array_append_val (
          stolen, g_array_index (pending->reports, struct ColtTaskReport, i));
      g_array_remove_index_fast (pending->reports, i);
      g_array_remove_index_fast (pending->servers, i);
      g_array_remove_index_fast (pending->server_epochs, i);
    }
  return stolen;
}
