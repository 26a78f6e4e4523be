/* What a leader does about evacuated zones. */
#include "coltsfootstile/guard.h"
#include "leader_private.h"

/* Longest time since the operator's topic was known to be read to its end in
 * which starts are ordered. Three answers in a row may be lost within it. A
 * zone must get no starts 5 s after a request was acknowledged. */
#define OPERATOR_AGE_MAX_US (4 * COLT_US_PER_S)
#define MODULE "lead"

void
colt_leader_set_operator_watch (struct ColtLeader *leader,
                                const struct ColtWatch *watch)
{
  leader->operator_watch = watch;
}

void
colt_leader_set_evacuated (struct ColtLeader *leader,
                           const char *zone,
                           bool evacuated)
{
  GHashTableIter i;
  gpointer value;

  colt_cell_set_evacuated (leader->cell, zone, evacuated,
                           colt_clock_monotonic_us ());
  g_hash_table_iter_init (&i, leader->links);
  while (g_hash_table_iter_next (&i, NULL, &value))
    colt_leader_update_evacuated (leader, value);
}

void
colt_leader_update_evacuated (struct ColtLeader *leader,
                              struct ColtServerLink *link)
{
  colt_server_link_set_evacuated (
      link,
      colt_cell_is_server_evacuated (leader->cell, colt_server_link_id (link)));
}

void
colt_leader_check_operator (struct ColtLeader *leader, int64_t now_us)
{
  int64_t current_us;
  int64_t until_us;
  bool held;

  if (leader->operator_watch == NULL
      || !colt_guard_on (COLT_GUARD_OPERATOR_AGE))
    return;
  current_us = colt_watch_current_us (leader->operator_watch);
  until_us = current_us > 0 ? current_us + OPERATOR_AGE_MAX_US : 0;
  held = now_us > until_us;
  colt_cell_set_order_deadline (leader->cell, until_us);
  if (held == leader->starts_held)
    return;
  leader->starts_held = held;
  if (held)
    colt_metrics_count (leader->metrics, METRIC_STARTS_HELD);
  if (current_us == 0)
    colt_log (
        COLT_LOG_INFO, MODULE, NULL,
        "starts are held back: the operator's topic hasn't been read yet");
  else
    colt_log (COLT_LOG_INFO, MODULE, NULL,
              held ? "starts are held back until the operator's topic is read; "
                     "last read %lld ms ago"
                   : "the operator's topic was read %lld ms ago; starts are "
                     "ordered again",
              (long long)((now_us - current_us) / COLT_US_PER_MS));
}
