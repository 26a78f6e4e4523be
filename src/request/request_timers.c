#include "requests_private.h"

#define RETENTION_US (COLT_REQUEST_RETENTION_S * COLT_US_PER_S)

static void run_timer_ (struct ColtRequests *requests,
                        const struct ColtTimer *timer,
                        int64_t now_us);
static bool may_remove_ (const struct ColtRequest *request, int64_t now_us);
static gint compare_timers_ (gconstpointer a, gconstpointer b, gpointer data);

void
colt_requests_run_timers (struct ColtRequests *requests, int64_t now_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (requests->timers);

  while (!g_sequence_iter_is_end (first))
    {
      struct ColtTimer timer = *(struct ColtTimer *)g_sequence_get (first);

      if (timer.time_us > now_us)
        return;
      g_sequence_remove (first);
      run_timer_ (requests, &timer, now_us);
      first = g_sequence_get_begin_iter (requests->timers);
    }
}

void
colt_requests_add_timer (struct ColtRequests *requests,
                         int64_t time_us,
                         const struct ColtId *id,
                         uint32_t index,
                         enum ColtTimerKind kind)
{
  struct ColtTimer *timer = g_new0 (struct ColtTimer, 1);

  timer->time_us = time_us;
  timer->id = *id;
  timer->index = index;
  timer->kind = kind;
  g_sequence_insert_sorted (requests->timers, timer, compare_timers_, NULL);
}

void
colt_requests_schedule_removal (struct ColtRequests *requests,
                                struct ColtRequest *request,
                                int64_t now_us)
{
  request->ended_us = now_us;
  colt_requests_add_timer (requests, now_us + RETENTION_US, &request->id, 0,
                           TIMER_REMOVE);
}

void
colt_requests_limit_results (struct ColtRequests *requests)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (requests->timers);

  while (requests->stats.result_bytes > COLT_RESULT_BYTES_MAX
         && !g_sequence_iter_is_end (iter))
    {
      const struct ColtTimer *timer = g_sequence_get (iter);
      struct ColtRequest *request = colt_requests_lookup (requests, &timer->id);

      iter = g_sequence_iter_next (iter);
      if (timer->kind == TIMER_DROP_RESULT && request != NULL)
        colt_requests_drop_results (requests, request);
    }
}

static void
run_timer_ (struct ColtRequests *requests,
            const struct ColtTimer *timer,
            int64_t now_us)
{
  struct ColtRequest *request = colt_requests_lookup (requests, &timer->id);

  if (request == NULL)
    return;
  switch (timer->kind)
    {
    case TIMER_DEADLINE:
      if (request->outcome != COLT_OUTCOME_PENDING || request->recovered)
        return;
      request->expired = true;
      colt_requests_abandon (requests, request, COLT_REASON_DEADLINE, now_us);
      return;
    case TIMER_RETRY:
      if (request->outcome == COLT_OUTCOME_PENDING
          && timer->index < request->spec.tasks
          && request->tasks[timer->index].state == COLT_REQUEST_TASK_DELAYED)
        colt_requests_queue_task (requests, request, timer->index);
      return;
    case TIMER_DROP_RESULT:
      colt_requests_drop_results (requests, request);
      return;
    case TIMER_REMOVE:
      if (!may_remove_ (request, now_us))
        return;
      g_hash_table_remove (requests->table, &request->id);
      colt_requests_free (requests, request);
      return;
    }
}

/* A recovered request is removed once nothing of it is in flight, as its caller
 * may never submit it again to complete it. */
static bool
may_remove_ (const struct ColtRequest *request, int64_t now_us)
{
  if (now_us < request->ended_us + RETENTION_US)
    return false;
  if (request->recovered)
    return !colt_request_is_in_flight (request);
  return request->outcome != COLT_OUTCOME_PENDING;
}

static gint
compare_timers_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtTimer *first = a;
  const struct ColtTimer *second = b;

  (void)data;
  return (first->time_us > second->time_us)
         - (first->time_us < second->time_us);
}
