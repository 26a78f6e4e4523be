#include "coltsfootstile/clock.h"
#include "coltsfootstile/log.h"
#include "owner_private.h"

#define MODULE "owner"

/* Consecutive failed tasks that put a server on probation. */
#define PROBATION_FAILURES 4u
/* Duration of the first probation; each further one is twice as long, up to the
 * maximum. */
#define PROBATION_FIRST_US (2 * COLT_US_PER_S)
#define PROBATION_MAX_US (120 * COLT_US_PER_S)
/* Share of the usual work that a server is given after a probation until a task
 * finishes there. */
#define PROBATION_TRIAL_PERMILLE 100u

void
colt_owned_server_update_health (struct ColtOwnedServer *server,
                                 const struct ColtTaskReport *report,
                                 int64_t now_us)
{
  if (report->state == COLT_TASK_FINISHED)
    {
      server->digest_due |= server->failures > 0;
      server->failures = 0;
      server->probation_us = 0;
      return;
    }
  if (report->state == COLT_TASK_STOPPED)
    return;
  server->failures++;
  if (server->failures < PROBATION_FAILURES
      || now_us < server->probation_until_us)
    return;
  server->probation_us = server->probation_us == 0
                             ? PROBATION_FIRST_US
                             : MIN (2 * server->probation_us, PROBATION_MAX_US);
  server->probation_until_us = now_us + server->probation_us;
  server->digest_due = true;
  colt_log (
      COLT_LOG_WARNING, MODULE, NULL,
      "backend server %u on probation for %d ms after %u consecutive failed "
      "tasks; refusing starts on it",
      server->id, (int)(server->probation_us / COLT_US_PER_MS),
      server->failures);
}

uint32_t
colt_owned_server_probation_permille (const struct ColtOwnedServer *server,
                                      int64_t now_us)
{
  if (now_us < server->probation_until_us)
    return 0;
  return server->failures >= PROBATION_FAILURES ? PROBATION_TRIAL_PERMILLE
                                                : 1000;
}
