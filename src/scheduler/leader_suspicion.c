#include "coltsfootstile/suspicion.h"
#include "leader_private.h"

/* Least time between two log lines. */
#define LOG_PERIOD_US (1 * COLT_US_PER_S)
#define MODULE "lead"

void
colt_leader_handle_suspected (void *client,
                              struct ColtServerLink *link,
                              bool suspected)
{
  const struct ColtLinkClient *link_client = client;
  struct ColtLeader *leader = link_client->leader;
  struct ColtSuspicionChanges *changes = &leader->suspicion_changes;

  colt_cell_set_suspected (leader->cell, colt_server_link_id (link), suspected);
  if (!suspected)
    {
      changes->cleared++;
      colt_leader_schedule_placement (leader);
      return;
    }
  changes->added++;
  if (changes->server == NULL)
    changes->server = g_strdup (colt_server_link_id (link));
  colt_metrics_count (leader->metrics, METRIC_SUSPICIONS);
}

void
colt_leader_log_suspicion (struct ColtLeader *leader, int64_t now_us)
{
  struct ColtSuspicionChanges *changes = &leader->suspicion_changes;
  int64_t count = (int64_t)colt_suspicion_count (leader->suspicion);
  const struct ColtLogField fields[]
      = { { "server", changes->server != NULL ? changes->server : "", 0 },
          { "suspected", NULL, changes->added },
          { "cleared", NULL, changes->cleared },
          { "suspected_now", NULL, count },
          { "term", NULL, (int64_t)leader->term } };

  colt_metrics_set (leader->metrics, METRIC_SUSPECTED_SERVERS, count);
  if (changes->added + changes->cleared == 0
      || now_us - changes->logged_us < LOG_PERIOD_US)
    return;
  if (changes->added > 0)
    colt_log_event (COLT_LOG_WARNING, MODULE,
                    "servers suspected, they get no starts until they answer",
                    NULL, fields, G_N_ELEMENTS (fields));
  else
    colt_log_event (COLT_LOG_INFO, MODULE, "suspected servers answer again",
                    NULL, fields, G_N_ELEMENTS (fields));
  g_clear_pointer (&changes->server, g_free);
  changes->added = 0;
  changes->cleared = 0;
  changes->logged_us = now_us;
}
