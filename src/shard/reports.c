#include "reports.h"

void
colt_shard_reports_init (struct ColtShardReports *reports)
{
  reports->shard = 0;
  reports->server = 0;
  reports->tasks = g_array_new (FALSE, TRUE, sizeof (struct ColtShardTask));
  reports->teams = g_array_new (FALSE, TRUE, sizeof (struct ColtTeamCount));
}

void
colt_shard_reports_finish (struct ColtShardReports *reports,
                           struct ColtShardOpened *opened)
{
  opened->task_count = reports->tasks->len;
  opened->team_count = reports->teams->len;
  opened->tasks
      = (const struct ColtShardTask *)g_array_free (reports->tasks, FALSE);
  opened->teams
      = (const struct ColtTeamCount *)g_array_free (reports->teams, FALSE);
}

void
colt_shard_reports_add_task (struct ColtShardReports *reports,
                             const struct ColtTaskReport *task)
{
  struct ColtShardTask item = { reports->server, *task };

  item.report.shard = reports->shard;
  item.report.result = NULL;
  item.report.result_size = 0;
  g_array_append_val (reports->tasks, item);
}

void
colt_shard_reports_add_team (struct ColtShardReports *reports,
                             const struct ColtTeamCount *count)
{
  struct ColtTeamCount item = *count;

  item.shard = reports->shard;
  item.server = reports->server;
  g_array_append_val (reports->teams, item);
}
