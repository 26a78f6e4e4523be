#include "requests_private.h"

/* An attempt and the shard epoch at which it was sent. */
struct ColtSentAttempt
{
  struct ColtTaskRef ref;
  uint64_t shard_epoch;
};

static void recover_unlisted_ (struct ColtRequests *requests,
                               uint32_t shard,
                               const struct ColtTaskReport *report,
                               uint32_t server,
                               uint64_t server_epoch,
                               int64_t now_us);
static void collect_attempts_ (const struct ColtRequest *request,
                               uint32_t server,
                               uint64_t below_epoch,
                               GPtrArray *found);
static GPtrArray *collect_server_attempts_ (struct ColtRequests *requests,
                                            uint32_t shard,
                                            uint32_t server,
                                            uint64_t below_epoch);
static const struct ColtTaskReport *
find_report_ (const struct ColtTaskReport *reports,
              size_t count,
              const struct ColtRequest *request,
              uint32_t index);

bool
colt_requests_begin_attempt (struct ColtRequests *requests,
                             const struct ColtId *id,
                             uint32_t index,
                             uint32_t server,
                             uint64_t server_epoch,
                             struct ColtTaskRef *ref)
{
  struct ColtRequest *request = colt_requests_lookup (requests, id);
  struct ColtRequestTask *task;

  if (request == NULL || index >= request->spec.tasks)
    return false;
  task = &request->tasks[index];
  if (task->state != COLT_REQUEST_TASK_WAITING)
    return false;
  task->attempt++;
  task->shard_epoch = requests->shards[colt_id_shard (id)].epoch;
  task->server = server;
  task->server_epoch = server_epoch;
  colt_requests_set_state (requests, request, index, COLT_REQUEST_TASK_SENT);
  ref->request = *id;
  ref->index = index;
  ref->attempt = task->attempt;
  return true;
}

void
colt_requests_handle_refusal (struct ColtRequests *requests,
                              const struct ColtTaskRef *ref,
                              uint64_t shard_epoch,
                              int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task
      = colt_requests_find_attempt (requests, ref, shard_epoch, &request);

  if (task == NULL || task->state != COLT_REQUEST_TASK_SENT)
    return;
  if (request->cancelled || request->expired)
    {
      task->end = COLT_TASK_STOPPED;
      colt_requests_end_task (requests, request, ref->index, now_us);
      return;
    }
  colt_requests_queue_task (requests, request, ref->index);
}

void
colt_requests_handle_start (struct ColtRequests *requests,
                            const struct ColtTaskRef *ref,
                            uint64_t shard_epoch,
                            int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task
      = colt_requests_find_attempt (requests, ref, shard_epoch, &request);

  if (task == NULL || task->state != COLT_REQUEST_TASK_SENT)
    return;
  colt_requests_set_state (requests, request, ref->index,
                           COLT_REQUEST_TASK_RUNNING);
  task->runs++;
  if (request->started_us < 0)
    request->started_us = now_us;
}

void
colt_requests_handle_end (struct ColtRequests *requests,
                          const struct ColtTaskReport *report,
                          int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task = colt_requests_find_attempt (
      requests, &report->ref, report->shard_epoch, &request);

  if (task == NULL || report->state == COLT_TASK_RUNNING)
    return;
  if (task->state == COLT_REQUEST_TASK_ENDED && !task->result_known
      && task->end == report->state && report->result != NULL)
    colt_requests_store_report (requests, request, task, report);
  if (task->state != COLT_REQUEST_TASK_SENT
      && task->state != COLT_REQUEST_TASK_RUNNING)
    return;
  if (task->state == COLT_REQUEST_TASK_SENT)
    task->runs++;
  if (request->started_us < 0)
    request->started_us = now_us;
  colt_requests_store_report (requests, request, task, report);
  if (report->state == COLT_TASK_LAPSED && !request->cancelled
      && !request->expired)
    colt_requests_handle_task_loss (requests, request, report->ref.index,
                                    now_us);
  else if (report->state == COLT_TASK_FINISHED
           || !colt_requests_schedule_retry (requests, request,
                                             report->ref.index, now_us))
    colt_requests_end_task (requests, request, report->ref.index, now_us);
}

void
colt_requests_handle_inventory (struct ColtRequests *requests,
                                uint32_t shard,
                                uint32_t server,
                                uint64_t server_epoch,
                                const struct ColtTaskReport *reports,
                                size_t count,
                                int64_t now_us)
{
  GPtrArray *affected
      = collect_server_attempts_ (requests, shard, server, server_epoch);
  guint i;

  for (i = 0; i < affected->len; i++)
    {
      const struct ColtSentAttempt *sent = g_ptr_array_index (affected, i);
      const struct ColtTaskRef *ref = &sent->ref;
      struct ColtRequest *request;
      struct ColtRequestTask *task = colt_requests_find_attempt (
          requests, ref, sent->shard_epoch, &request);
      const struct ColtTaskReport *report;

      if (task == NULL)
        continue;
      report = find_report_ (reports, count, request, ref->index);
      if (report == NULL && task->state == COLT_REQUEST_TASK_SENT)
        colt_requests_handle_refusal (requests, ref, sent->shard_epoch, now_us);
      else if (report == NULL)
        colt_requests_handle_task_loss (requests, request, ref->index, now_us);
      else if (report->state == COLT_TASK_RUNNING)
        {
          colt_requests_handle_start (requests, ref, sent->shard_epoch, now_us);
          task->server_epoch = server_epoch;
        }
      else
        colt_requests_handle_end (requests, report, now_us);
    }
  g_ptr_array_unref (affected);
  for (i = 0; i < count; i++)
    recover_unlisted_ (requests, shard, &reports[i], server, server_epoch,
                       now_us);
}

void
colt_requests_handle_server_loss (struct ColtRequests *requests,
                                  uint32_t shard,
                                  uint32_t server,
                                  int64_t now_us)
{
  GPtrArray *affected
      = collect_server_attempts_ (requests, shard, server, UINT64_MAX);
  guint i;

  for (i = 0; i < affected->len; i++)
    {
      const struct ColtSentAttempt *sent = g_ptr_array_index (affected, i);
      const struct ColtTaskRef *ref = &sent->ref;
      struct ColtRequest *request;
      struct ColtRequestTask *task = colt_requests_find_attempt (
          requests, ref, sent->shard_epoch, &request);

      if (task == NULL)
        continue;
      if (task->state == COLT_REQUEST_TASK_SENT)
        task->runs++;
      colt_requests_handle_task_loss (requests, request, ref->index, now_us);
    }
  g_ptr_array_unref (affected);
}

/* A server that didn't take part in the reconciliation may run tasks that the
 * table has no record of. */
static void
recover_unlisted_ (struct ColtRequests *requests,
                   uint32_t shard,
                   const struct ColtTaskReport *report,
                   uint32_t server,
                   uint64_t server_epoch,
                   int64_t now_us)
{
  const struct ColtRequest *request
      = colt_requests_lookup (requests, &report->ref.request);

  if (requests->shards[shard].epoch == 0
      || colt_id_shard (&report->ref.request) != shard)
    return;
  if (request == NULL || request->recovered)
    colt_requests_recover (requests, report, server, server_epoch, now_us);
}

/* Returns the attempts in flight on a server that were sent at an epoch below
 * below_epoch, as an array of struct ColtSentAttempt. */
static GPtrArray *
collect_server_attempts_ (struct ColtRequests *requests,
                          uint32_t shard,
                          uint32_t server,
                          uint64_t below_epoch)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (g_free);
  GHashTable *counts
      = g_hash_table_lookup (requests->servers, GUINT_TO_POINTER (server));
  GHashTableIter iter;
  gpointer id;

  if (counts == NULL)
    return found;
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (colt_id_shard (id) == shard)
      collect_attempts_ (colt_requests_lookup (requests, id), server,
                         below_epoch, found);
  return found;
}

static void
collect_attempts_ (const struct ColtRequest *request,
                   uint32_t server,
                   uint64_t below_epoch,
                   GPtrArray *found)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    {
      const struct ColtRequestTask *task = &request->tasks[i];
      const struct ColtSentAttempt sent
          = { { request->id, i, task->attempt }, task->shard_epoch };

      if (task->server == server && task->server_epoch < below_epoch
          && colt_request_task_is_in_flight (task))
        g_ptr_array_add (found, g_memdup2 (&sent, sizeof sent));
    }
}

static const struct ColtTaskReport *
find_report_ (const struct ColtTaskReport *reports,
              size_t count,
              const struct ColtRequest *request,
              uint32_t index)
{
  const struct ColtRequestTask *task = &request->tasks[index];
  const struct ColtTaskRef ref = { request->id, index, task->attempt };
  size_t i;

  for (i = 0; i < count; i++)
    if (colt_task_equal (&reports[i].ref, &ref)
        && reports[i].shard_epoch == task->shard_epoch)
      return &reports[i];
  return NULL;
}
