#include "leader_private.h"

/* Time to gather changes for a batch while a caller waits. */
#define CALLER_LINGER_MS 8
/* New jobs are rejected immediately while a batch is open for longer than this.
 */
#define BATCH_STUCK_US (1200 * COLT_US_PER_MS)
/* The forecast isn't trusted while a batch is open for longer than this,
 * several times what one takes: starts are late for another reason than the
 * load. */
#define BATCH_SLOW_US (300 * COLT_US_PER_MS)
/* Retry time given to callers while the log doesn't answer. */
#define LOG_RETRY_AFTER_MS 1000
/* Retry time given to callers while the cell is full. */
#define FULL_RETRY_AFTER_MS 5000
/* Part of a caller's timeout that is reserved for sending the answer. */
#define ANSWER_MARGIN_MS 250
/* How long a query for the state of a job that is about to end waits for its
 * end, so that the caller needn't repeat the query. The end of a run is
 * reported about 40 ms after it. */
#define ENDING_WAIT_US (80 * COLT_US_PER_MS)
/* How long a query for the state of a job waits for its end to become durable.
 */
#define DURABLE_WAIT_US (500 * COLT_US_PER_MS)
/* Queries for states that may wait concurrently; others are answered
 * immediately. */
#define STATE_WAITS_MAX 500
#define MODULE "lead"

/* A query for a job's state that waits for its end. */
struct ColtStateCall
{
  char id[COLT_JOB_ID_LENGTH + 1];
  ColtLeaderReply reply;
  void *client;
  int64_t queried_us; /* when the query arrived */
};

/* A call that waits for a batch. */
struct ColtLeaderCall
{
  struct ColtLeader *leader;
  enum ColtCallerKind kind;
  char id[COLT_JOB_ID_LENGTH + 1];
  ColtLeaderReply reply;
  void *client;
  int64_t deadline_us;
  bool replied;
};

static void query_state_ (struct ColtLeader *leader,
                          const char *id,
                          ColtLeaderReply reply,
                          void *client);
static bool state_may_wait_ (const struct ColtLeader *leader,
                             const struct ColtStateCall *call,
                             int64_t now_us);
static void reply_state_ (struct ColtLeader *leader,
                          const struct ColtStateCall *call);
static void reply_unknown_job_ (const struct ColtLeader *leader,
                                ColtLeaderReply reply,
                                void *client);
static void submit_job_ (struct ColtLeader *leader,
                         ColtCallerCall *call,
                         ColtLeaderReply reply,
                         void *client);
static void reply_when_durable_ (struct ColtLeader *leader,
                                 const ColtCallerCall *call,
                                 ColtLeaderReply reply,
                                 void *client);
static void handle_call_durable_ (void *client, bool durable);
static void expire_call_ (struct ColtLeaderCall *call);
static void send_reply_ (ColtLeaderReply reply,
                         void *client,
                         enum ColtAnswerKind answer,
                         enum ColtJobState state,
                         uint32_t retry_after_ms);

void
colt_leader_handle_call (struct ColtLeader *leader,
                         ColtCallerCall *call,
                         ColtLeaderReply reply,
                         void *client)
{
  ColtCallerReply retry_reply = COLT_CALLER_REPLY__INIT;
  int64_t began_us = colt_clock_monotonic_us ();

  if (leader->phase != PHASE_SERVING)
    {
      retry_reply.try_again = true;
      reply (client, &retry_reply);
      return;
    }
  if (call->kind == COLT_CALLER_SUBMIT)
    submit_job_ (leader, call, reply, client);
  else if (call->kind == COLT_CALLER_CANCEL)
    {
      if (colt_cell_cancel (leader->cell, call->id, began_us))
        reply_when_durable_ (leader, call, reply, client);
      else
        reply_unknown_job_ (leader, reply, client);
    }
  else
    query_state_ (leader, call->id, reply, client);
  colt_load_meter_add (&leader->meter, LOAD_CALLERS, began_us);
}

void
colt_leader_answer_state_calls (struct ColtLeader *leader, int64_t now_us)
{
  guint i = leader->state_calls->len;

  while (i-- > 0)
    {
      const struct ColtStateCall *call
          = g_ptr_array_index (leader->state_calls, i);

      if (state_may_wait_ (leader, call, now_us))
        continue;
      reply_state_ (leader, call);
      g_ptr_array_remove_index_fast (leader->state_calls, i);
    }
}

/* A job that is in no batch can be withdrawn and rejected immediately: it is
 * certain that it never runs. */
void
colt_leader_expire_calls (struct ColtLeader *leader, int64_t now_us)
{
  bool stuck = colt_commit_batch_age_us (leader->commit) > BATCH_STUCK_US;
  guint i;

  for (i = 0; i < leader->calls->len; i++)
    {
      struct ColtLeaderCall *call = g_ptr_array_index (leader->calls, i);

      if (call->replied)
        continue;
      if (stuck && call->kind == COLT_CALLER_SUBMIT
          && colt_cell_withdraw (leader->cell, call->id))
        {
          call->replied = true;
          send_reply_ (call->reply, call->client, COLT_ANSWER_NOT_ACCEPTED, 0,
                       LOG_RETRY_AFTER_MS);
        }
      else if (now_us > call->deadline_us)
        expire_call_ (call);
    }
}

void
colt_leader_end_calls (struct ColtLeader *leader)
{
  guint i;

  for (i = 0; i < leader->state_calls->len; i++)
    reply_state_ (leader, g_ptr_array_index (leader->state_calls, i));
  g_ptr_array_set_size (leader->state_calls, 0);
  for (i = 0; i < leader->calls->len; i++)
    {
      struct ColtLeaderCall *call = g_ptr_array_index (leader->calls, i);

      if (!call->replied)
        expire_call_ (call);
    }
}

static void
query_state_ (struct ColtLeader *leader,
              const char *id,
              ColtLeaderReply reply,
              void *client)
{
  struct ColtStateCall call = { 0 };

  g_strlcpy (call.id, id, sizeof call.id);
  call.reply = reply;
  call.client = client;
  call.queried_us = colt_clock_monotonic_us ();
  if (leader->state_calls->len < STATE_WAITS_MAX
      && state_may_wait_ (leader, &call, call.queried_us))
    g_ptr_array_add (leader->state_calls, g_memdup2 (&call, sizeof call));
  else
    reply_state_ (leader, &call);
}

static bool
state_may_wait_ (const struct ColtLeader *leader,
                 const struct ColtStateCall *call,
                 int64_t now_us)
{
  bool ended;

  return colt_cell_is_ending (leader->cell, call->id, &ended)
         && now_us - call->queried_us
                < (ended ? DURABLE_WAIT_US : ENDING_WAIT_US);
}

static void
reply_state_ (struct ColtLeader *leader, const struct ColtStateCall *call)
{
  enum ColtJobState state;

  if (colt_cell_get_state (leader->cell, call->id, &state))
    send_reply_ (call->reply, call->client, COLT_ANSWER_STATE, state, 0);
  else
    reply_unknown_job_ (leader, call->reply, call->client);
}

/* Only a leader that is known to be the latest one knows all accepted jobs. */
static void
reply_unknown_job_ (const struct ColtLeader *leader,
                    ColtLeaderReply reply,
                    void *client)
{
  ColtCallerReply retry_reply = COLT_CALLER_REPLY__INIT;

  if (colt_clock_monotonic_us () - leader->confirmed_us
      <= COLT_SUSPECT_TIMEOUT_US)
    {
      send_reply_ (reply, client, COLT_ANSWER_NO_JOB, 0, 0);
      return;
    }
  retry_reply.try_again = true;
  reply (client, &retry_reply);
}

static void
submit_job_ (struct ColtLeader *leader,
             ColtCallerCall *call,
             ColtLeaderReply reply,
             void *client)
{
  ColtCallerReply retry_reply = COLT_CALLER_REPLY__INIT;
  enum ColtSubmitResult result;
  enum ColtJobState state;

  if (call->spec == NULL)
    {
      send_reply_ (reply, client, COLT_ANSWER_INVALID, 0, 0);
      return;
    }
  if (colt_commit_batch_age_us (leader->commit) > BATCH_STUCK_US
      && !colt_cell_get_state (leader->cell, call->spec->id, &state))
    {
      send_reply_ (reply, client, COLT_ANSWER_NOT_ACCEPTED, 0,
                   LOG_RETRY_AFTER_MS);
      return;
    }
  if (colt_commit_batch_age_us (leader->commit) > BATCH_SLOW_US)
    colt_cell_distrust_forecast (leader->cell, colt_clock_monotonic_us ());
  call->spec->accepted_wall_ms = colt_clock_wall_us () / COLT_US_PER_MS;
  result
      = colt_cell_submit (leader->cell, call->spec, colt_clock_monotonic_us ());
  switch (result)
    {
    case COLT_SUBMIT_NEW:
      call->spec = NULL;
      reply_when_durable_ (leader, call, reply, client);
      return;
    case COLT_SUBMIT_PENDING:
      reply_when_durable_ (leader, call, reply, client);
      return;
    case COLT_SUBMIT_KNOWN:
      send_reply_ (reply, client, COLT_ANSWER_ACCEPTED, 0, 0);
      return;
    case COLT_SUBMIT_INVALID:
      send_reply_ (reply, client, COLT_ANSWER_INVALID, 0, 0);
      return;
    case COLT_SUBMIT_NO_QUEUE:
      retry_reply.try_again = true;
      reply (client, &retry_reply);
      return;
    case COLT_SUBMIT_TOO_LATE:
      send_reply_ (reply, client, COLT_ANSWER_LIMITED, 0,
                   colt_cell_retry_after_ms (leader->cell));
      return;
    case COLT_SUBMIT_FULL:
      send_reply_ (reply, client, COLT_ANSWER_LIMITED, 0, FULL_RETRY_AFTER_MS);
    }
}

/* Replies once the changes made by the call are durable. */
static void
reply_when_durable_ (struct ColtLeader *leader,
                     const ColtCallerCall *call,
                     ColtLeaderReply reply,
                     void *client)
{
  struct ColtLeaderCall *waiting = g_new0 (struct ColtLeaderCall, 1);

  waiting->leader = leader;
  waiting->kind = (enum ColtCallerKind)call->kind;
  g_strlcpy (waiting->id, call->id, sizeof waiting->id);
  waiting->reply = reply;
  waiting->client = client;
  waiting->deadline_us
      = colt_clock_monotonic_us ()
        + (int64_t)(call->patience_ms
                    - MIN (ANSWER_MARGIN_MS, call->patience_ms))
              * COLT_US_PER_MS;
  g_ptr_array_add (leader->calls, waiting);
  colt_commit_wait (leader->commit, handle_call_durable_, waiting);
  colt_commit_schedule (leader->commit, CALLER_LINGER_MS);
}

static void
handle_call_durable_ (void *client, bool durable)
{
  struct ColtLeaderCall *call = client;
  enum ColtAnswerKind answer = COLT_ANSWER_CANCELLED;

  /* The job may have been withdrawn meanwhile for another caller. */
  if (!durable
      || (call->kind == COLT_CALLER_SUBMIT
          && !colt_cell_is_durable (call->leader->cell, call->id)))
    answer = COLT_ANSWER_UNCERTAIN;
  else if (call->kind == COLT_CALLER_SUBMIT)
    answer = COLT_ANSWER_ACCEPTED;
  if (!call->replied)
    send_reply_ (call->reply, call->client, answer, 0, 0);
  g_ptr_array_remove_fast (call->leader->calls, call);
  g_free (call);
}

static void
expire_call_ (struct ColtLeaderCall *call)
{
  struct ColtCell *cell = call->leader->cell;

  call->replied = true;
  if (call->kind == COLT_CALLER_SUBMIT && colt_cell_withdraw (cell, call->id))
    send_reply_ (call->reply, call->client, COLT_ANSWER_NOT_ACCEPTED, 0,
                 LOG_RETRY_AFTER_MS);
  else
    send_reply_ (call->reply, call->client, COLT_ANSWER_UNCERTAIN, 0, 0);
}

static void
send_reply_ (ColtLeaderReply reply,
             void *client,
             enum ColtAnswerKind answer,
             enum ColtJobState state,
             uint32_t retry_after_ms)
{
  ColtCallerReply message = COLT_CALLER_REPLY__INIT;

  message.answer = answer;
  message.state = state;
  message.retry_after_ms = retry_after_ms;
  reply (client, &message);
}
