#include "shard_intake.h"

void
colt_shard_intake_init (struct ColtShardIntake *intake)
{
  intake->reports = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskReport));
  intake->servers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  intake->server_epochs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

void
colt_shard_intake_clear (struct ColtShardIntake *intake)
{
  g_array_unref (intake->reports);
  g_array_unref (intake->servers);
  g_array_unref (intake->server_epochs);
}

void
colt_shard_intake_empty (struct ColtShardIntake *intake)
{
  g_array_set_size (intake->reports, 0);
  g_array_set_size (intake->servers, 0);
  g_array_set_size (intake->server_epochs, 0);
}

void
colt_shard_intake_replace (struct ColtShardIntake *intake,
                           const struct ColtShardReport *report)
{
  size_t i;

  g_array_unref (colt_shard_intake_steal (intake, report->server));
  for (i = 0; i < report->task_count; i++)
    {
      g_array_append_vals (intake->reports, report->tasks[i], 1);
      g_array_append_val (intake->servers, report->server);
      g_array_append_val (intake->server_epochs, report->server_epoch);
    }
}

GArray *
colt_shard_intake_steal (struct ColtShardIntake *intake, uint32_t server)
{
  GArray *stolen = g_array_new (FALSE, FALSE, sizeof (struct ColtTaskReport));
  guint i = 0;

  while (i < intake->servers->len)
    {
      if (g_array_index (intake->servers, uint32_t, i) != server)
        {
          i++;
          continue;
        }
      g_array_append_val (
          stolen, g_array_index (intake->reports, struct ColtTaskReport, i));
      g_array_remove_index_fast (intake->reports, i);
      g_array_remove_index_fast (intake->servers, i);
      g_array_remove_index_fast (intake->server_epochs, i);
    }
  return stolen;
}
