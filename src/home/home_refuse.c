#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Delay before a rejected task is added to the placement again if its request
 * can't be refused any more, in microseconds. */
#define RETRY_INTERVAL_US COLT_US_PER_S

static void collect_shed_ (struct ColtHome *home);
static bool process_rejected_ (struct ColtHome *home,
                               struct ColtRejected *rejected,
                               int64_t now_us);
static enum ColtReason map_reason_ (enum ColtPlacementStatus status);

void
colt_home_add_rejected (struct ColtHome *home,
                        const struct ColtId *request,
                        uint32_t index,
                        enum ColtPlacementStatus status)
{
  const struct ColtRejected rejected = { *request, index, status, 0 };

  g_array_append_val (home->rejected, rejected);
}

void
colt_home_process_rejected (struct ColtHome *home, int64_t now_us)
{
  guint i = 0;

  collect_shed_ (home);
  while (i < home->rejected->len)
    {
      struct ColtRejected rejected
          = g_array_index (home->rejected, struct ColtRejected, i);

      if (now_us < rejected.retry_us)
        {
          i++;
          continue;
        }
      if (process_rejected_ (home, &rejected, now_us))
        {
          g_array_remove_index_fast (home->rejected, i);
          continue;
        }
      rejected.retry_us = now_us + RETRY_INTERVAL_US;
      g_array_index (home->rejected, struct ColtRejected, i) = rejected;
    }
}

static void
collect_shed_ (struct ColtHome *home)
{
  enum ColtPlacementStatus status;
  struct ColtPlacementTask task;

  while (colt_placement_pop_shed (home->placement, &task, &status))
    colt_home_add_rejected (home, &task.request, task.index, status);
}

/* Refuses the request if no task of it was sent or ever ran. Otherwise adds the
 * task to the placement again, unless it was rejected as too late: then the
 * request table ends it at its deadline. Returns whether the entry is finished.
 */
static bool
process_rejected_ (struct ColtHome *home,
                   struct ColtRejected *rejected,
                   int64_t now_us)
{
  const struct ColtRequest *request;
  struct ColtPlacementTask task;

  if (colt_requests_refuse_waiting (home->requests, &rejected->request,
                                    map_reason_ (rejected->status), now_us))
    return true;
  request = colt_requests_find (home->requests, &rejected->request);
  if (request == NULL || request->outcome != COLT_OUTCOME_PENDING
      || rejected->index >= request->spec.tasks
      || request->tasks[rejected->index].state != COLT_REQUEST_TASK_WAITING
      || rejected->status == COLT_PLACEMENT_TOO_LATE)
    return true;
  colt_home_fill_task (request, rejected->index, &task);
  rejected->status = colt_placement_add (home->placement, &task, now_us);
  return rejected->status == COLT_PLACEMENT_QUEUED;
}

static enum ColtReason
map_reason_ (enum ColtPlacementStatus status)
{
  switch (status)
    {
    case COLT_PLACEMENT_NEVER_FITS:
      return COLT_REASON_NEVER_FITS;
    case COLT_PLACEMENT_TOO_LATE:
      return COLT_REASON_DEADLINE;
    default:
      return COLT_REASON_OVERLOADED;
    }
}
