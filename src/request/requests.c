#include "coltsfootstile/request.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "coltsfootstile/clock.h"

enum ColtTimerKind
{
  TIMER_DEADLINE,
  TIMER_RETRY,
  TIMER_DROP_RESULT,
  TIMER_FORGET
};

struct ColtTimer
{
  int64_t time_us;
  struct ColtId id;
  uint32_t index; /* of the task, for TIMER_RETRY */
  enum ColtTimerKind kind;
};

struct ColtRequestShard
{
  uint64_t epoch; /* 0: not led */
  uint32_t known_since_s;
};

struct ColtRequests
{
  const struct ColtRequestCalls *calls;
  void *client;
  GHashTable *table; /* of struct ColtRequest, by id */
  GSequence *timers; /* of struct ColtTimer, by time */
  struct ColtRequestShard shards[COLT_SHARD_COUNT];
  struct ColtRequestStats stats;
};

static struct ColtRequest *find_ (const struct ColtRequests *requests,
                                  const struct ColtId *id);
static struct ColtRequestTask *
find_attempt_ (const struct ColtRequests *requests,
               const struct ColtTaskRef *ref,
               struct ColtRequest **request);
static struct ColtRequest *create_request_ (struct ColtRequests *requests,
                                            const struct ColtId *id,
                                            const struct ColtRequestSpec *spec,
                                            int64_t now_us);
static void free_request_ (struct ColtRequests *requests,
                           struct ColtRequest *request);
static void recover_ (struct ColtRequests *requests,
                      const struct ColtTaskReport *report,
                      uint32_t server,
                      uint64_t server_epoch,
                      int64_t now_us);
static void grow_ (struct ColtRequests *requests,
                   struct ColtRequest *request,
                   uint32_t tasks);
static uint64_t make_fingerprint_ (const struct ColtRequestSpec *spec);
static bool matches_ (const struct ColtRequest *request,
                      const struct ColtRequestSpec *spec);
static void adopt_spec_ (struct ColtRequests *requests,
                         struct ColtRequest *request,
                         const struct ColtRequestSpec *spec,
                         int64_t now_us);
static enum ColtSubmitStatus judge_new_ (const struct ColtRequests *requests,
                                         const struct ColtId *id,
                                         const struct ColtRequestSpec *spec,
                                         bool fresh,
                                         uint32_t wall_s,
                                         int64_t now_us,
                                         enum ColtReason *reason);
static void set_task_state_ (struct ColtRequests *requests,
                             struct ColtRequest *request,
                             uint32_t index,
                             enum ColtRequestTaskState state);
static uint32_t *state_counter_ (struct ColtRequests *requests,
                                 enum ColtRequestTaskState state);
static void make_ready_ (struct ColtRequests *requests,
                         struct ColtRequest *request,
                         uint32_t index);
static void end_task_ (struct ColtRequests *requests,
                       struct ColtRequest *request,
                       uint32_t index,
                       int64_t now_us);
static void lose_task_ (struct ColtRequests *requests,
                        struct ColtRequest *request,
                        uint32_t index,
                        int64_t now_us);
static bool retry_ (struct ColtRequests *requests,
                    struct ColtRequest *request,
                    uint32_t index,
                    int64_t now_us);
static void judge_request_ (struct ColtRequests *requests,
                            struct ColtRequest *request,
                            int64_t now_us);
static void end_request_ (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          enum ColtOutcome outcome,
                          enum ColtReason reason,
                          int64_t now_us);
static void abandon_ (struct ColtRequests *requests,
                      struct ColtRequest *request,
                      enum ColtReason reason,
                      int64_t now_us);
static bool ever_ran_ (const struct ColtRequest *request);
static bool is_in_flight_ (const struct ColtRequest *request);
static void take_report_ (struct ColtRequests *requests,
                          struct ColtRequest *request,
                          struct ColtRequestTask *task,
                          const struct ColtTaskReport *report);
static void drop_results_ (struct ColtRequests *requests,
                           struct ColtRequest *request);
static void add_timer_ (struct ColtRequests *requests,
                        int64_t time_us,
                        const struct ColtId *id,
                        uint32_t index,
                        enum ColtTimerKind kind);
static gint compare_timers_ (gconstpointer a, gconstpointer b, gpointer data);
static void run_timer_ (struct ColtRequests *requests,
                        const struct ColtTimer *timer,
                        int64_t now_us);
static GPtrArray *collect_on_server_ (struct ColtRequests *requests,
                                      uint32_t shard,
                                      uint32_t server,
                                      uint64_t below_epoch);
static const struct ColtTaskReport *
find_report_ (const struct ColtTaskReport *reports,
              size_t count,
              const struct ColtRequest *request,
              uint32_t index);

const char *const colt_request_task_state_string[]
    = { "waiting", "delayed", "sent", "running", "ended" };

const char *const colt_submit_status_string[]
    = { "accepted", "known", "not_run", "unknown", "not_lead" };

struct ColtRequests *
colt_requests_create (const struct ColtRequestCalls *calls, void *client)
{
  struct ColtRequests *requests = g_new0 (struct ColtRequests, 1);

  requests->calls = calls;
  requests->client = client;
  requests->table = g_hash_table_new (colt_id_table_hash, colt_id_table_equal);
  requests->timers = g_sequence_new (g_free);
  return requests;
}

void
colt_requests_destroy (struct ColtRequests *requests)
{
  uint32_t shard;

  if (requests == NULL)
    return;
  for (shard = 0; shard < COLT_SHARD_COUNT; shard++)
    colt_requests_close_shard (requests, shard);
  g_hash_table_unref (requests->table);
  g_sequence_free (requests->timers);
  g_free (requests);
}

void
colt_requests_open_shard (struct ColtRequests *requests,
                          uint32_t shard,
                          uint64_t epoch,
                          const struct ColtTaskReport *reports,
                          const uint32_t *servers,
                          const uint64_t *server_epochs,
                          size_t count,
                          int64_t now_us)
{
  size_t i;

  assert (shard < COLT_SHARD_COUNT && epoch > 0);
  colt_requests_close_shard (requests, shard);
  requests->shards[shard].epoch = epoch;
  requests->shards[shard].known_since_s = UINT32_MAX;
  for (i = 0; i < count; i++)
    if (colt_id_shard (&reports[i].ref.request) == shard)
      recover_ (requests, &reports[i], servers[i], server_epochs[i], now_us);
}

void
colt_requests_set_known_since (struct ColtRequests *requests,
                               uint32_t shard,
                               uint32_t known_since_s)
{
  assert (shard < COLT_SHARD_COUNT);
  requests->shards[shard].known_since_s = known_since_s;
}

void
colt_requests_close_shard (struct ColtRequests *requests, uint32_t shard)
{
  GHashTableIter iter;
  gpointer value;

  assert (shard < COLT_SHARD_COUNT);
  if (requests->shards[shard].epoch == 0)
    return;
  requests->shards[shard].epoch = 0;
  g_hash_table_iter_init (&iter, requests->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ColtRequest *request = value;

      if (colt_id_shard (&request->id) != shard)
        continue;
      g_hash_table_iter_remove (&iter);
      free_request_ (requests, request);
    }
}

uint64_t
colt_requests_shard_epoch (const struct ColtRequests *requests, uint32_t shard)
{
  assert (shard < COLT_SHARD_COUNT);
  return requests->shards[shard].epoch;
}

enum ColtSubmitStatus
colt_requests_submit (struct ColtRequests *requests,
                      const struct ColtId *id,
                      const struct ColtRequestSpec *spec,
                      bool fresh,
                      uint32_t waiter,
                      uint32_t wall_s,
                      int64_t now_us,
                      enum ColtReason *reason)
{
  struct ColtRequest *request = find_ (requests, id);
  enum ColtSubmitStatus status;
  uint32_t i;

  assert (spec->tasks >= 1 && spec->tasks <= COLT_TASKS_PER_REQUEST_MAX);
  *reason = COLT_REASON_NONE;
  if (requests->shards[colt_id_shard (id)].epoch == 0)
    return COLT_SUBMIT_NOT_LEAD;
  if (request != NULL)
    {
      if (!request->recovered && !matches_ (request, spec))
        {
          *reason = COLT_REASON_MISMATCH;
          return COLT_SUBMIT_NOT_RUN;
        }
      if (request->recovered)
        adopt_spec_ (requests, request, spec, now_us);
      colt_requests_add_waiter (requests, id, waiter);
      return COLT_SUBMIT_KNOWN;
    }
  status = judge_new_ (requests, id, spec, fresh, wall_s, now_us, reason);
  if (status != COLT_SUBMIT_ACCEPTED)
    return status;
  request = create_request_ (requests, id, spec, now_us);
  colt_requests_add_waiter (requests, id, waiter);
  if (spec->deadline_us != COLT_TIME_NEVER)
    add_timer_ (requests, spec->deadline_us, id, 0, TIMER_DEADLINE);
  for (i = 0; i < spec->tasks; i++)
    requests->calls->ready (requests->client, request, i);
  return COLT_SUBMIT_ACCEPTED;
}

void
colt_requests_cancel (struct ColtRequests *requests,
                      const struct ColtId *id,
                      int64_t now_us)
{
  struct ColtRequest *request = find_ (requests, id);

  if (request == NULL || request->outcome != COLT_OUTCOME_PENDING
      || request->cancelled)
    return;
  request->cancelled = true;
  abandon_ (requests, request, COLT_REASON_CANCELLED, now_us);
}

bool
colt_requests_refuse_waiting (struct ColtRequests *requests,
                              const struct ColtId *id,
                              enum ColtReason reason,
                              int64_t now_us)
{
  struct ColtRequest *request = find_ (requests, id);

  if (request == NULL || request->outcome != COLT_OUTCOME_PENDING
      || request->recovered || ever_ran_ (request) || is_in_flight_ (request))
    return false;
  abandon_ (requests, request, reason, now_us);
  return true;
}

const struct ColtRequest *
colt_requests_find (const struct ColtRequests *requests,
                    const struct ColtId *id)
{
  return find_ (requests, id);
}

bool
colt_requests_add_waiter (struct ColtRequests *requests,
                          const struct ColtId *id,
                          uint32_t waiter)
{
  struct ColtRequest *request = find_ (requests, id);
  unsigned i;

  if (request == NULL)
    return false;
  for (i = 0; i < request->waiter_count; i++)
    if (request->waiters[i] == waiter)
      return true;
  if (waiter != 0 && request->waiter_count < COLT_REQUEST_WAITERS_MAX)
    request->waiters[request->waiter_count++] = waiter;
  return true;
}

bool
colt_requests_send (struct ColtRequests *requests,
                    const struct ColtId *id,
                    uint32_t index,
                    uint32_t server,
                    uint64_t server_epoch,
                    struct ColtTaskRef *ref)
{
  struct ColtRequest *request = find_ (requests, id);
  struct ColtRequestTask *task;

  if (request == NULL || index >= request->spec.tasks)
    return false;
  task = &request->tasks[index];
  if (task->state != COLT_REQUEST_TASK_WAITING)
    return false;
  set_task_state_ (requests, request, index, COLT_REQUEST_TASK_SENT);
  task->attempt++;
  task->server = server;
  task->server_epoch = server_epoch;
  ref->request = *id;
  ref->index = index;
  ref->attempt = task->attempt;
  return true;
}

void
colt_requests_refused (struct ColtRequests *requests,
                       const struct ColtTaskRef *ref,
                       int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task = find_attempt_ (requests, ref, &request);

  if (task == NULL || task->state != COLT_REQUEST_TASK_SENT)
    return;
  if (request->cancelled || request->expired)
    {
      task->end = COLT_TASK_STOPPED;
      end_task_ (requests, request, ref->index, now_us);
      return;
    }
  make_ready_ (requests, request, ref->index);
}

void
colt_requests_started (struct ColtRequests *requests,
                       const struct ColtTaskRef *ref,
                       int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task = find_attempt_ (requests, ref, &request);

  if (task == NULL || task->state != COLT_REQUEST_TASK_SENT)
    return;
  set_task_state_ (requests, request, ref->index, COLT_REQUEST_TASK_RUNNING);
  task->runs++;
  if (request->started_us < 0)
    request->started_us = now_us;
}

void
colt_requests_ended (struct ColtRequests *requests,
                     const struct ColtTaskReport *report,
                     int64_t now_us)
{
  struct ColtRequest *request;
  struct ColtRequestTask *task
      = find_attempt_ (requests, &report->ref, &request);

  if (task == NULL || report->state == COLT_TASK_RUNNING)
    return;
  if (task->state == COLT_REQUEST_TASK_ENDED && !task->result_known
      && task->end == report->state && report->result != NULL)
    take_report_ (requests, request, task, report);
  if (task->state != COLT_REQUEST_TASK_SENT
      && task->state != COLT_REQUEST_TASK_RUNNING)
    return;
  if (task->state == COLT_REQUEST_TASK_SENT)
    task->runs++;
  if (request->started_us < 0)
    request->started_us = now_us;
  take_report_ (requests, request, task, report);
  if (report->state == COLT_TASK_LAPSED && !request->cancelled
      && !request->expired)
    lose_task_ (requests, request, report->ref.index, now_us);
  else if (report->state == COLT_TASK_FINISHED
           || !retry_ (requests, request, report->ref.index, now_us))
    end_task_ (requests, request, report->ref.index, now_us);
}

void
colt_requests_server_reported (struct ColtRequests *requests,
                               uint32_t shard,
                               uint32_t server,
                               uint64_t server_epoch,
                               const struct ColtTaskReport *reports,
                               size_t count,
                               int64_t now_us)
{
  GPtrArray *affected
      = collect_on_server_ (requests, shard, server, server_epoch);
  guint i;

  for (i = 0; i < affected->len; i++)
    {
      struct ColtTaskRef *ref = g_ptr_array_index (affected, i);
      struct ColtRequest *request;
      struct ColtRequestTask *task = find_attempt_ (requests, ref, &request);
      const struct ColtTaskReport *report;

      if (task == NULL)
        continue;
      report = find_report_ (reports, count, request, ref->index);
      if (report == NULL && task->state == COLT_REQUEST_TASK_SENT)
        colt_requests_refused (requests, ref, now_us);
      else if (report == NULL)
        lose_task_ (requests, request, ref->index, now_us);
      else if (report->state == COLT_TASK_RUNNING)
        {
          colt_requests_started (requests, ref, now_us);
          task->server_epoch = server_epoch;
        }
      else
        colt_requests_ended (requests, report, now_us);
    }
  g_ptr_array_unref (affected);
}

void
colt_requests_server_gone (struct ColtRequests *requests,
                           uint32_t shard,
                           uint32_t server,
                           int64_t now_us)
{
  GPtrArray *affected
      = collect_on_server_ (requests, shard, server, UINT64_MAX);
  guint i;

  for (i = 0; i < affected->len; i++)
    {
      struct ColtTaskRef *ref = g_ptr_array_index (affected, i);
      struct ColtRequest *request;
      struct ColtRequestTask *task = find_attempt_ (requests, ref, &request);

      if (task == NULL)
        continue;
      if (task->state == COLT_REQUEST_TASK_SENT)
        task->runs++;
      lose_task_ (requests, request, ref->index, now_us);
    }
  g_ptr_array_unref (affected);
}

void
colt_requests_step (struct ColtRequests *requests, int64_t now_us)
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
colt_requests_get_stats (const struct ColtRequests *requests,
                         struct ColtRequestStats *stats)
{
  *stats = requests->stats;
  stats->kept = g_hash_table_size (requests->table) - requests->stats.open;
}

void
colt_requests_visit (const struct ColtRequests *requests,
                     void (*visit) (void *client,
                                    const struct ColtRequest *request),
                     void *client)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    visit (client, value);
}

static struct ColtRequest *
find_ (const struct ColtRequests *requests, const struct ColtId *id)
{
  return g_hash_table_lookup (requests->table, id);
}

/* Finds a task if the reference names its newest attempt. */
static struct ColtRequestTask *
find_attempt_ (const struct ColtRequests *requests,
               const struct ColtTaskRef *ref,
               struct ColtRequest **request)
{
  *request = find_ (requests, &ref->request);
  if (*request == NULL || ref->index >= (*request)->spec.tasks)
    return NULL;
  if ((*request)->tasks[ref->index].attempt != ref->attempt)
    return NULL;
  return &(*request)->tasks[ref->index];
}

static struct ColtRequest *
create_request_ (struct ColtRequests *requests,
                 const struct ColtId *id,
                 const struct ColtRequestSpec *spec,
                 int64_t now_us)
{
  struct ColtRequest *request = g_new0 (struct ColtRequest, 1);

  request->id = *id;
  request->spec = *spec;
  request->spec.payload = g_memdup2 (spec->payload, spec->payload_size);
  request->fingerprint = make_fingerprint_ (spec);
  request->arrived_us = now_us;
  request->started_us = -1;
  request->tasks = g_new0 (struct ColtRequestTask, spec->tasks);
  request->open_tasks = spec->tasks;
  requests->stats.open++;
  requests->stats.waiting += spec->tasks;
  requests->stats.payload_bytes += spec->payload_size;
  g_hash_table_insert (requests->table, &request->id, request);
  return request;
}

static void
free_request_ (struct ColtRequests *requests, struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    {
      uint32_t *counter = state_counter_ (requests, request->tasks[i].state);

      if (request->tasks[i].state == COLT_REQUEST_TASK_WAITING
          && request->outcome == COLT_OUTCOME_PENDING)
        requests->calls->unready (requests->client, request, i);
      if (counter != NULL)
        (*counter)--;
    }
  drop_results_ (requests, request);
  if (request->outcome == COLT_OUTCOME_PENDING)
    requests->stats.open--;
  requests->stats.payload_bytes -= request->spec.payload_size;
  g_free ((void *)request->spec.payload);
  g_free (request->tasks);
  g_free (request);
}

/* Rebuilds a request from what a backend server knows of a task of it. */
static void
recover_ (struct ColtRequests *requests,
          const struct ColtTaskReport *report,
          uint32_t server,
          uint64_t server_epoch,
          int64_t now_us)
{
  struct ColtRequest *request = find_ (requests, &report->ref.request);
  struct ColtRequestSpec spec = { 0 };
  struct ColtRequestTask *task;

  if (report->ref.index >= COLT_TASKS_PER_REQUEST_MAX)
    return;
  if (request == NULL)
    {
      g_strlcpy (spec.team, report->team, sizeof spec.team);
      spec.kind = report->kind;
      spec.demand = report->limit;
      spec.tasks = report->ref.index + 1;
      spec.max_attempts = 1;
      spec.deadline_us = COLT_TIME_NEVER;
      request = create_request_ (requests, &report->ref.request, &spec, now_us);
      request->recovered = true;
      request->started_us = now_us;
    }
  grow_ (requests, request, report->ref.index + 1);
  task = &request->tasks[report->ref.index];
  if (task->attempt >= report->ref.attempt)
    return;
  task->attempt = report->ref.attempt;
  task->runs = report->ref.attempt;
  task->server = server;
  task->server_epoch = server_epoch;
  if (report->state == COLT_TASK_RUNNING)
    {
      set_task_state_ (requests, request, report->ref.index,
                       COLT_REQUEST_TASK_RUNNING);
      return;
    }
  take_report_ (requests, request, task, report);
  if (task->state != COLT_REQUEST_TASK_ENDED)
    {
      set_task_state_ (requests, request, report->ref.index,
                       COLT_REQUEST_TASK_ENDED);
      request->open_tasks--;
    }
}

static void
grow_ (struct ColtRequests *requests,
       struct ColtRequest *request,
       uint32_t tasks)
{
  uint32_t old = request->spec.tasks;

  if (tasks <= old)
    return;
  request->tasks = g_renew (struct ColtRequestTask, request->tasks, tasks);
  memset (request->tasks + old, 0, (tasks - old) * sizeof *request->tasks);
  request->spec.tasks = tasks;
  request->open_tasks += tasks - old;
  requests->stats.waiting += tasks - old;
}

static bool
matches_ (const struct ColtRequest *request, const struct ColtRequestSpec *spec)
{
  return request->fingerprint == make_fingerprint_ (spec);
}

/* Tells requests apart that use one id by mistake. */
static uint64_t
make_fingerprint_ (const struct ColtRequestSpec *spec)
{
  const uint64_t words[] = { spec->kind, spec->tasks, spec->idempotent };
  uint64_t hash = XXH3_64bits (spec->payload, spec->payload_size);

  hash = XXH3_64bits_withSeed (words, sizeof words, hash);
  return XXH3_64bits_withSeed (spec->team, strlen (spec->team), hash);
}

/* The caller's words complete what backend servers alone could tell. */
static void
adopt_spec_ (struct ColtRequests *requests,
             struct ColtRequest *request,
             const struct ColtRequestSpec *spec,
             int64_t now_us)
{
  uint32_t i;

  if (spec->tasks < request->spec.tasks
      || request->outcome != COLT_OUTCOME_PENDING)
    return;
  grow_ (requests, request, spec->tasks);
  requests->stats.payload_bytes += spec->payload_size;
  g_free ((void *)request->spec.payload);
  request->spec = *spec;
  request->spec.payload = g_memdup2 (spec->payload, spec->payload_size);
  request->fingerprint = make_fingerprint_ (spec);
  request->recovered = false;
  if (spec->deadline_us != COLT_TIME_NEVER)
    add_timer_ (requests, spec->deadline_us, &request->id, 0, TIMER_DEADLINE);
  for (i = 0; i < spec->tasks; i++)
    if (request->tasks[i].state == COLT_REQUEST_TASK_WAITING)
      requests->calls->ready (requests->client, request, i);
  judge_request_ (requests, request, now_us);
}

static enum ColtSubmitStatus
judge_new_ (const struct ColtRequests *requests,
            const struct ColtId *id,
            const struct ColtRequestSpec *spec,
            bool fresh,
            uint32_t wall_s,
            int64_t now_us,
            enum ColtReason *reason)
{
  const struct ColtRequestShard *shard = &requests->shards[colt_id_shard (id)];
  uint32_t minted_s = colt_id_minted_s (id);

  if (!spec->idempotent && colt_id_kind (id) != COLT_ID_MINTED)
    {
      *reason = COLT_REASON_NEEDS_MINTED_ID;
      return COLT_SUBMIT_NOT_RUN;
    }
  if (!spec->idempotent && !spec->durable
      && minted_s + COLT_REQUEST_RETENTION_S <= wall_s + COLT_CLOCK_SKEW_S)
    {
      *reason = COLT_REASON_EXPIRED_ID;
      return COLT_SUBMIT_UNKNOWN;
    }
  if (!spec->idempotent && !fresh
      && minted_s <= (uint64_t)shard->known_since_s + COLT_CLOCK_SKEW_S)
    {
      *reason = COLT_REASON_HISTORY_LOST;
      return COLT_SUBMIT_UNKNOWN;
    }
  *reason = COLT_REASON_NONE;
  if (spec->deadline_us <= now_us)
    *reason = COLT_REASON_DEADLINE;
  else if (requests->stats.open >= COLT_REQUEST_OPEN_MAX
           || requests->stats.payload_bytes + spec->payload_size
                  > COLT_REQUEST_BYTES_MAX)
    *reason = COLT_REASON_OVERLOADED;
  return *reason == COLT_REASON_NONE ? COLT_SUBMIT_ACCEPTED
                                     : COLT_SUBMIT_NOT_RUN;
}

static void
set_task_state_ (struct ColtRequests *requests,
                 struct ColtRequest *request,
                 uint32_t index,
                 enum ColtRequestTaskState state)
{
  uint32_t *old = state_counter_ (requests, request->tasks[index].state);
  uint32_t *new = state_counter_ (requests, state);

  if (old != NULL)
    (*old)--;
  if (new != NULL)
    (*new)++;
  request->tasks[index].state = state;
}

static uint32_t *
state_counter_ (struct ColtRequests *requests, enum ColtRequestTaskState state)
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

static void
make_ready_ (struct ColtRequests *requests,
             struct ColtRequest *request,
             uint32_t index)
{
  set_task_state_ (requests, request, index, COLT_REQUEST_TASK_WAITING);
  requests->calls->ready (requests->client, request, index);
}

static void
end_task_ (struct ColtRequests *requests,
           struct ColtRequest *request,
           uint32_t index,
           int64_t now_us)
{
  set_task_state_ (requests, request, index, COLT_REQUEST_TASK_ENDED);
  request->open_tasks--;
  judge_request_ (requests, request, now_us);
}

/* An attempt may have run to any point; nobody will see its end. */
static void
lose_task_ (struct ColtRequests *requests,
            struct ColtRequest *request,
            uint32_t index,
            int64_t now_us)
{
  struct ColtRequestTask *task = &request->tasks[index];

  task->end = COLT_TASK_LAPSED;
  if (retry_ (requests, request, index, now_us))
    return;
  task->uncertain = true;
  end_task_ (requests, request, index, now_us);
}

/* Returns whether the task gets another attempt. */
static bool
retry_ (struct ColtRequests *requests,
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
  if (!requests->calls->take_retry (requests->client, request->spec.team,
                                    now_us))
    return false;
  for (i = 1; i < task->runs && delay_us < COLT_RETRY_DELAY_MAX_US; i++)
    delay_us *= 2;
  delay_us = MIN (delay_us, COLT_RETRY_DELAY_MAX_US);
  delay_us
      = delay_us / 2 + requests->calls->random (requests->client) % delay_us;
  set_task_state_ (requests, request, index, COLT_REQUEST_TASK_DELAYED);
  add_timer_ (requests, now_us + delay_us, &request->id, index, TIMER_RETRY);
  return true;
}

/* Ends the request if all of its tasks have ended. */
static void
judge_request_ (struct ColtRequests *requests,
                struct ColtRequest *request,
                int64_t now_us)
{
  enum ColtOutcome outcome = COLT_OUTCOME_DONE;
  enum ColtReason reason = COLT_REASON_NONE;
  uint32_t i;

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
  end_request_ (requests, request, outcome, reason, now_us);
}

static void
end_request_ (struct ColtRequests *requests,
              struct ColtRequest *request,
              enum ColtOutcome outcome,
              enum ColtReason reason,
              int64_t now_us)
{
  request->outcome = outcome;
  request->reason = reason;
  request->ended_us = now_us;
  requests->stats.open--;
  requests->stats.payload_bytes -= request->spec.payload_size;
  g_free ((void *)request->spec.payload);
  request->spec.payload = NULL;
  request->spec.payload_size = 0;
  add_timer_ (requests, now_us + COLT_RESULT_RETENTION_S * COLT_US_PER_S,
              &request->id, 0, TIMER_DROP_RESULT);
  add_timer_ (requests, now_us + COLT_REQUEST_RETENTION_S * COLT_US_PER_S,
              &request->id, 0, TIMER_FORGET);
  requests->calls->ended (requests->client, request);
}

/* The request is not to go on: what waits ends here, what runs is stopped. */
static void
abandon_ (struct ColtRequests *requests,
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
        requests->calls->unready (requests->client, request, i);
      if (task->state == COLT_REQUEST_TASK_WAITING
          || task->state == COLT_REQUEST_TASK_DELAYED)
        {
          task->end = COLT_TASK_STOPPED;
          set_task_state_ (requests, request, i, COLT_REQUEST_TASK_ENDED);
          request->open_tasks--;
        }
      else if (task->state != COLT_REQUEST_TASK_ENDED)
        {
          in_flight = true;
          requests->calls->stop (requests->client, request, i);
        }
    }
  if (!in_flight && !ever_ran_ (request))
    end_request_ (requests, request, COLT_OUTCOME_NOT_RUN, reason, now_us);
  else if (reason == COLT_REASON_DEADLINE)
    end_request_ (requests, request,
                  in_flight ? COLT_OUTCOME_UNKNOWN : COLT_OUTCOME_FAILED,
                  reason, now_us);
  else
    judge_request_ (requests, request, now_us);
}

static bool
ever_ran_ (const struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    if (request->tasks[i].runs > 0)
      return true;
  return false;
}

static bool
is_in_flight_ (const struct ColtRequest *request)
{
  uint32_t i;

  for (i = 0; i < request->spec.tasks; i++)
    if (request->tasks[i].state == COLT_REQUEST_TASK_SENT
        || request->tasks[i].state == COLT_REQUEST_TASK_RUNNING)
      return true;
  return false;
}

static void
take_report_ (struct ColtRequests *requests,
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
  task->result_size = report->result_size;
  requests->stats.result_bytes += report->result_size;
}

static void
drop_results_ (struct ColtRequests *requests, struct ColtRequest *request)
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

static void
add_timer_ (struct ColtRequests *requests,
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

static gint
compare_timers_ (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct ColtTimer *first = a;
  const struct ColtTimer *second = b;

  (void)data;
  return (first->time_us > second->time_us)
         - (first->time_us < second->time_us);
}

static void
run_timer_ (struct ColtRequests *requests,
            const struct ColtTimer *timer,
            int64_t now_us)
{
  struct ColtRequest *request = find_ (requests, &timer->id);

  if (request == NULL)
    return;
  switch (timer->kind)
    {
    case TIMER_DEADLINE:
      if (request->outcome != COLT_OUTCOME_PENDING)
        return;
      request->expired = true;
      abandon_ (requests, request, COLT_REASON_DEADLINE, now_us);
      return;
    case TIMER_RETRY:
      if (request->outcome == COLT_OUTCOME_PENDING
          && timer->index < request->spec.tasks
          && request->tasks[timer->index].state == COLT_REQUEST_TASK_DELAYED)
        make_ready_ (requests, request, timer->index);
      return;
    case TIMER_DROP_RESULT:
      drop_results_ (requests, request);
      return;
    case TIMER_FORGET:
      if (request->outcome == COLT_OUTCOME_PENDING)
        return;
      g_hash_table_remove (requests->table, &request->id);
      free_request_ (requests, request);
      return;
    }
}

/* Returns references to the attempts on a server at a lower epoch. */
static GPtrArray *
collect_on_server_ (struct ColtRequests *requests,
                    uint32_t shard,
                    uint32_t server,
                    uint64_t below_epoch)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, requests->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct ColtRequest *request = value;
      uint32_t i;

      if (colt_id_shard (&request->id) != shard)
        continue;
      for (i = 0; i < request->spec.tasks; i++)
        {
          const struct ColtRequestTask *task = &request->tasks[i];
          struct ColtTaskRef ref = { request->id, i, task->attempt };

          if (task->server == server && task->server_epoch < below_epoch
              && (task->state == COLT_REQUEST_TASK_SENT
                  || task->state == COLT_REQUEST_TASK_RUNNING))
            g_ptr_array_add (found, g_memdup2 (&ref, sizeof ref));
        }
    }
  return found;
}

static const struct ColtTaskReport *
find_report_ (const struct ColtTaskReport *reports,
              size_t count,
              const struct ColtRequest *request,
              uint32_t index)
{
  const struct ColtTaskRef ref
      = { request->id, index, request->tasks[index].attempt };
  size_t i;

  for (i = 0; i < count; i++)
    if (colt_task_equal (&reports[i].ref, &ref))
      return &reports[i];
  return NULL;
}
