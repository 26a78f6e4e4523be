#include "requests_private.h"

void
colt_requests_end (struct ColtRequests *requests,
                   struct ColtRequest *request,
                   enum ColtOutcome outcome,
                   enum ColtReason reason,
                   int64_t now_us)
{
  request->outcome = outcome;
  request->reason = reason;
  requests->stats.open--;
  requests->stats.payload_bytes -= request->spec.payload_size;
  g_free ((void *)request->spec.payload);
  request->spec.payload = NULL;
  request->spec.payload_size = 0;
  colt_requests_add_timer (requests,
                           now_us + COLT_RESULT_RETENTION_S * COLT_US_PER_S,
                           &request->id, 0, TIMER_DROP_RESULT);
  colt_requests_schedule_removal (requests, request, now_us);
  requests->calls->on_ended (requests->client, request);
  colt_requests_limit_results (requests);
}

void
colt_requests_set_state (struct ColtRequests *requests,
                         struct ColtRequest *request,
                         uint32_t index,
                         enum ColtRequestTaskState state)
{
  struct ColtRequestTask *task = &request->tasks[index];
  uint32_t *old = colt_requests_state_counter (requests, task->state);
  uint32_t *new = colt_requests_state_counter (requests, state);
  bool was_in_flight = colt_request_task_is_in_flight (task);

  if (old != NULL)
    (*old)--;
  if (new != NULL)
    (*new)++;
  task->state = state;
  if (colt_request_task_is_in_flight (task) != was_in_flight)
    colt_requests_count_in_flight (requests, request, task->server,
                                   was_in_flight ? -1 : 1);
}

void
colt_requests_queue_task (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          uint32_t index)
{
  colt_requests_set_state (requests, request, index, COLT_REQUEST_TASK_WAITING);
  requests->calls->queue_task (requests->client, request, index);
}

void
colt_requests_end_task (struct ColtRequests *requests,
                        struct ColtRequest *request,
                        uint32_t index,
                        int64_t now_us)
{
  colt_requests_set_state (requests, request, index, COLT_REQUEST_TASK_ENDED);
  request->open_tasks--;
  colt_requests_try_end (requests, request, now_us);
}

void
colt_requests_handle_task_loss (struct ColtRequests *requests,
                                struct ColtRequest *request,
                                uint32_t index,
                                int64_t now_us)
{
  struct ColtRequestTask *task = &request->tasks[index];

  task->end = COLT_TASK_LAPSED;
  if (colt_requests_schedule_retry (requests, request, index, now_us))
    return;
  task->uncertain = true;
  colt_requests_end_task (requests, request, index, now_us);
}

bool
colt_requests_schedule_retry (struct ColtRequests *requests,
                              struct ColtRequest *request,
                              uint32_t index,
                              int64_t now_us)
{
  struct ColtRequestTask *task = &request->tasks[index];
  int64_t delay_us = COLT_RETRY_DELAY_US;
  uint32_t i;

  if (!request->spec.idempotent || request->cancelled || request->expired)
    return false;
  if (request->outcome != COLT_OUTCOME_PENDING || request->recovered)
    return false;
  if (task->runs >= request->spec.max_attempts)
    return false;
  if (!requests->calls->consume_retry (requests->client, request->spec.team,
                                       now_us))
    return false;
  for (i = 1; i < task->runs && delay_us < COLT_RETRY_DELAY_MAX_US; i++)
    delay_us *= 2;
  delay_us = MIN (delay_us, COLT_RETRY_DELAY_MAX_US);
  delay_us
      = delay_us / 2 + requests->calls->random (requests->client) % delay_us;
  colt_requests_set_state (requests, request, index, COLT_REQUEST_TASK_DELAYED);
  colt_requests_add_timer (requests, now_us + delay_us, &request->id, index,
                           TIMER_RETRY);
  return true;
}

void
colt_requests_try_end (struct ColtRequests *requests,
                       struct ColtRequest *request,
                       int64_t now_us)
{
  enum ColtOutcome outcome = COLT_OUTCOME_DONE;
  enum ColtReason reason = COLT_REASON_NONE;
  uint32_t i;

  if (request->recovered)
    colt_requests_schedule_removal (requests, request, now_us);
  if (request->open_tasks > 0 || request->outcome != COLT_OUTCOME_PENDING
      || request->recovered)
    return;
  for (i = 0; i < request->spec.tasks; i++)
    {
      const struct ColtRequestTask *task = &request->tasks[i];

      if (task->end == COLT_TASK_FINISHED && task->runs > 0)
        continue;
      if (task->uncertain)
        {
          outcome = COLT_OUTCOME_UNKNOWN;
          reason = COLT_REASON_SERVER_LOST;
          break;
        }
      outcome = COLT_OUTCOME_FAILED;
      reason = COLT_REASON_TASK_FAILED;
    }
  if (outcome == COLT_OUTCOME_FAILED && request->cancelled)
    {
      outcome = COLT_OUTCOME_CANCELLED;
      reason = COLT_REASON_CANCELLED;
    }
  colt_requests_end (requests, request, outcome, reason, now_us);
}

void
colt_requests_abandon (struct ColtRequests *requests,
                       struct ColtRequest *request,
                       enum ColtReason reason,
                       int64_t now_us)
{
  bool in_flight = false;
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    {
      struct ColtRequestTask *task = &request->tasks[i];

      if (task->state == COLT_REQUEST_TASK_WAITING)
        requests->calls->unqueue_task (requests->client, request, i);
      if (task->state == COLT_REQUEST_TASK_WAITING
          || task->state == COLT_REQUEST_TASK_DELAYED)
        {
          task->end = COLT_TASK_STOPPED;
          colt_requests_set_state (requests, request, i,
                                   COLT_REQUEST_TASK_ENDED);
          request->open_tasks--;
        }
      else if (task->state != COLT_REQUEST_TASK_ENDED)
        {
          in_flight = true;
          requests->calls->stop (requests->client, request, i);
        }
    }
  if (!in_flight && !colt_request_ever_ran (request))
    colt_requests_end (requests, request,
                       request->may_have_run ? COLT_OUTCOME_UNKNOWN
                                             : COLT_OUTCOME_NOT_RUN,
                       reason, now_us);
  else if (reason == COLT_REASON_DEADLINE)
    colt_requests_end (requests, request,
                       in_flight ? COLT_OUTCOME_UNKNOWN : COLT_OUTCOME_FAILED,
                       reason, now_us);
  else
    colt_requests_try_end (requests, request, now_us);
}

bool
colt_request_ever_ran (const struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    if (request->tasks[i].runs > 0)
      return true;
  return false;
}

bool
colt_request_task_is_in_flight (const struct ColtRequestTask *task)
{
  return task->state == COLT_REQUEST_TASK_SENT
         || task->state == COLT_REQUEST_TASK_RUNNING;
}

bool
colt_request_is_in_flight (const struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    if (colt_request_task_is_in_flight (&request->tasks[i]))
      return true;
  return false;
}

void
colt_requests_store_report (struct ColtRequests *requests,
                            struct ColtRequest *request,
                            struct ColtRequestTask *task,
                            const struct ColtTaskReport *report)
{
  (void)request;
  requests->stats.result_bytes -= task->result_size;
  g_free (task->result);
  task->end = report->state;
  task->exit_status = report->exit_status;
  task->run_ms = report->run_ms;
  task->result_known = report->result != NULL;
  task->result = g_memdup2 (report->result, report->result_size);
  task->result_size = report->result != NULL ? report->result_size : 0;
  requests->stats.result_bytes += task->result_size;
}

void
colt_requests_drop_results (struct ColtRequests *requests,
                            struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    {
      requests->stats.result_bytes -= request->tasks[i].result_size;
      g_clear_pointer (&request->tasks[i].result, g_free);
      request->tasks[i].result_size = 0;
      request->tasks[i].result_known = false;
    }
}

uint32_t *
colt_requests_state_counter (struct ColtRequests *requests,
                             enum ColtRequestTaskState state)
{
  switch (state)
    {
    case COLT_REQUEST_TASK_WAITING:
    case COLT_REQUEST_TASK_DELAYED:
      return &requests->stats.waiting;
    case COLT_REQUEST_TASK_SENT:
      return &requests->stats.sent;
    case COLT_REQUEST_TASK_RUNNING:
      return &requests->stats.running;
    case COLT_REQUEST_TASK_ENDED:
      return NULL;
    }
  return NULL;
}
