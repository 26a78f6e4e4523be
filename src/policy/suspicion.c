#include "coltsfootstile/suspicion.h"

#include <glib.h>

#include "coltsfootstile/clock.h"

/* Pause after the first query of a server; it doubles with each further one. */
#define QUERY_PAUSE_US (250 * COLT_US_PER_MS)
#define QUERY_PAUSE_MAX_US (2 * COLT_US_PER_S)
#define DOUBLINGS_MAX 3
/* Least mean time between two repeated queries, over all servers: 200 a second
 * are a tenth of a leader's calls at the target of 3,100 starts a second. */
#define QUERY_GAP_US (5 * COLT_US_PER_MS)
/* Time whose queries may be sent together: a leader's period of checks. */
#define QUERY_BURST_US (25 * COLT_US_PER_MS)
/* While servers are denied a query that is due, only those whose query was due
 * at most this much later than the oldest get one: servers are visited in a
 * fixed order, and the last would get none if checks come late. */
#define TURN_US (500 * COLT_US_PER_MS)
/* Period over which denied queries are noted. */
#define ROUND_US (100 * COLT_US_PER_MS)

struct ColtSuspicion
{
  size_t count;
  int64_t repeated_us; /* time up to which repeated queries are used up */
  int64_t round_us;    /* when the present round began */
  int64_t denied_us;   /* earliest due time of a query denied in this round */
  int64_t oldest_us;   /* the same of the round before */
};

static bool take_repeated_ (struct ColtSuspicion *suspicion,
                            const struct ColtSuspect *suspect,
                            int64_t now_us);

struct ColtSuspicion *
colt_suspicion_create (void)
{
  struct ColtSuspicion *suspicion = g_new0 (struct ColtSuspicion, 1);

  suspicion->denied_us = INT64_MAX;
  suspicion->oldest_us = INT64_MAX;
  return suspicion;
}

void
colt_suspicion_destroy (struct ColtSuspicion *suspicion)
{
  g_free (suspicion);
}

bool
colt_suspicion_add_loss (struct ColtSuspicion *suspicion,
                         struct ColtSuspect *suspect,
                         int64_t now_us)
{
  if (suspect->suspected)
    return false;
  suspect->suspected = true;
  suspect->next_query_us = now_us;
  suspect->queries = 0;
  suspicion->count++;
  return true;
}

bool
colt_suspicion_clear (struct ColtSuspicion *suspicion,
                      struct ColtSuspect *suspect)
{
  suspect->waiting_us = 0;
  if (!suspect->suspected)
    return false;
  suspect->suspected = false;
  suspicion->count--;
  return true;
}

void
colt_suspicion_start_wait (struct ColtSuspect *suspect, int64_t now_us)
{
  if (suspect->waiting_us == 0)
    suspect->waiting_us = now_us;
}

bool
colt_suspicion_is_overdue (const struct ColtSuspect *suspect,
                           int64_t timeout_us,
                           int64_t now_us)
{
  return suspect->waiting_us != 0 && now_us - suspect->waiting_us > timeout_us;
}

/* The pause is long enough for the queries of all suspected servers, so that
 * none is passed over for good. */
bool
colt_suspicion_take_query (struct ColtSuspicion *suspicion,
                           struct ColtSuspect *suspect,
                           int64_t now_us)
{
  int64_t pause_us
      = MIN (QUERY_PAUSE_US << MIN (suspect->queries, DOUBLINGS_MAX),
             QUERY_PAUSE_MAX_US);

  if (!suspect->suspected || now_us < suspect->next_query_us)
    return false;
  if (suspect->queries > 0 && !take_repeated_ (suspicion, suspect, now_us))
    return false;
  suspect->queries++;
  suspect->next_query_us
      = now_us + MAX (pause_us, (int64_t)suspicion->count * QUERY_GAP_US);
  return true;
}

size_t
colt_suspicion_count (const struct ColtSuspicion *suspicion)
{
  return suspicion->count;
}

/* Returns whether a repeated query that is due may be sent now. */
static bool
take_repeated_ (struct ColtSuspicion *suspicion,
                const struct ColtSuspect *suspect,
                int64_t now_us)
{
  int64_t used_us
      = MAX (suspicion->repeated_us, now_us - QUERY_BURST_US) + QUERY_GAP_US;

  if (now_us - suspicion->round_us >= ROUND_US)
    {
      suspicion->oldest_us = suspicion->denied_us;
      suspicion->denied_us = INT64_MAX;
      suspicion->round_us = now_us;
    }
  if (used_us > now_us
      || (suspicion->oldest_us != INT64_MAX
          && suspect->next_query_us > suspicion->oldest_us + TURN_US))
    {
      suspicion->denied_us = MIN (suspicion->denied_us, suspect->next_query_us);
      return false;
    }
  suspicion->repeated_us = used_us;
  return true;
}
