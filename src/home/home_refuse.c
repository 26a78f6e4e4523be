#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Until a task is offered again whose request can't be refused any more. */
#define AGAIN_US COLT_US_PER_S

static void take_shed_ (struct ColtHome *home);
static bool
settle_ (struct ColtHome *home, struct ColtRejected *rejected, int64_t now_us);
static enum ColtReason reason_of_ (enum ColtPlacementStatus status);

void
colt_home_reject (struct ColtHome *home,
                  const struct ColtId *request,
                  uint32_t index,
                  enum ColtPlacementStatus status)
{
  const struct ColtRejected rejected = { *request, index, status, 0 };

  g_array_append_val (home->rejected, rejected);
}

void
colt_home_refuse_rejected (struct ColtHome *home, int64_t now_us)
{
  guint i = 0;

  take_shed_ (home);
  while (i < home->rejected->len)
    {
      struct ColtRejected rejected
          = g_array_index (home->rejected, struct ColtRejected, i);

      if (now_us < rejected.due_us)
        {
          i++;
          continue;
        }
      if (settle_ (home, &rejected, now_us))
        {
          g_array_remove_index_fast (home->rejected, i);
          continue;
        }
      rejected.due_us = now_us + AGAIN_US;
      g_array_index (home->rejected, struct ColtRejected, i) = rejected;
    }
}

static void
take_shed_ (struct ColtHome *home)
{
  enum ColtPlacementStatus status;
  struct ColtPlacementTask task;

  while (colt_placement_take_shed (home->placement, &task, &status))
    colt_home_reject (home, &task.request, task.index, status);
}

/* Refuses the request if it never ran. Of one that ran, the task is offered
 * again, unless its deadline will end it. */
static bool
settle_ (struct ColtHome *home, struct ColtRejected *rejected, int64_t now_us)
{
  const struct ColtRequest *request;
  struct ColtPlacementTask task;

  if (colt_requests_refuse_waiting (home->requests, &rejected->request,
                                    reason_of_ (rejected->status), now_us))
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
reason_of_ (enum ColtPlacementStatus status)
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
