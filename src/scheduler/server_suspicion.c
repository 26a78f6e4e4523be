#include "server_link_private.h"

static void count_queue_ (struct ColtServerLink *link);

void
colt_link_note_loss (struct ColtServerLink *link, int64_t now_us)
{
  if (link->settings.suspicion == NULL
      || !colt_suspicion_add_loss (link->settings.suspicion, &link->suspect,
                                   now_us))
    return;
  count_queue_ (link);
  link->client.handle_suspected (link->client.client, link, true);
  colt_link_withdraw_unsent_starts (link);
}

bool
colt_link_is_answer (const struct ColtServerAnswer *answer)
{
  return answer->result != COLT_START_UNKNOWN
         && answer->result != COLT_START_NOT_SENT;
}

void
colt_link_note_answer (struct ColtServerLink *link)
{
  if (link->settings.suspicion == NULL
      || !colt_suspicion_clear (link->settings.suspicion, &link->suspect))
    return;
  count_queue_ (link);
  link->client.handle_suspected (link->client.client, link, false);
}

void
colt_link_check_suspicion (struct ColtServerLink *link, int64_t now_us)
{
  if (link->settings.suspicion == NULL)
    return;
  if (!link->suspect.suspected
      && colt_suspicion_is_overdue (&link->suspect,
                                    colt_link_start_patience_us (link), now_us))
    {
      link->suspect.waiting_us = 0;
      if (colt_link_has_waiting_start (link))
        colt_link_note_loss (link, now_us);
    }
  if (!link->suspect.suspected)
    {
      if (link->query_owed && link->query_count == 0)
        colt_link_query_report (link);
      return;
    }
  colt_link_withdraw_unsent_starts (link);
  if (!link->listed
      && link->client.count_runs (link->client.client, link->id) == 0)
    colt_link_note_answer (link);
  /* After a renewal that failed the next one asks without a wait. */
  else if (link->query_count == 0 && !colt_link_is_unreachable (link)
           && (!link->renewing || link->failures == 0)
           && (!link->evacuated || link->known_us == 0
               || link->client.count_runs (link->client.client, link->id) > 0))
    colt_link_query_report (link);
}

/* Counts the starts in the queue as backlog if they load the leader's link:
 * those for a suspected server wait for its answer instead. */
static void
count_queue_ (struct ColtServerLink *link)
{
  GList *i;

  for (i = link->queue.head; i != NULL; i = i->next)
    colt_link_count_backlog (link, i->data, !link->suspect.suspected);
}
