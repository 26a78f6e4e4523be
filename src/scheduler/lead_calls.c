#include "lead_private.h"

/* Changes are made durable within this time when a caller waits. */
#define CALLER_LINGER_MS 8
/* With a batch this old, new jobs are turned away at once. */
#define BATCH_STUCK_US (1200 * COLT_US_PER_MS)
/* When a caller is told to come back while the log doesn't answer. */
#define LOG_RETRY_AFTER_MS 1000
/* When a caller is told to come back while the cell is full. */
#define FULL_RETRY_AFTER_MS 5000
/* Time kept of a caller's patience for the answer's way. */
#define ANSWER_MARGIN_MS 250
/* A caller who asks for the state of a job that is about to end hears of the
 * end if it comes within this time, so that it needn't ask again: an end is
 * learned of some 40 ms after it. */
#define ENDING_WAIT_US (80 * COLT_US_PER_MS)
/* The same for an end that is on its way to the log. */
#define DURABLE_WAIT_US (500 * COLT_US_PER_MS)
/* Callers that may wait so at once; others are answered at once. */
#define STATE_WAITS_MAX 500
#define MODULE "lead"

/* A caller who waits for a job's end. */
struct ColtStateCall
{
  char id[COLT_JOB_ID_LENGTH + 1];
  ColtLeadReply reply;
  void *client;
  int64_t asked_us;
};

/* A call that waits for a batch. */
struct ColtLeadCall
{
  struct ColtLead *lead;
  enum ColtCallerKind kind;
  char id[COLT_JOB_ID_LENGTH + 1];
  ColtLeadReply reply;
  void *client;
  int64_t deadline_us;
  bool replied;
};

static void ask_state_ (struct ColtLead *lead,
                        const char *id,
                        ColtLeadReply reply,
                        void *client);
static bool state_may_wait_ (const struct ColtLead *lead,
                             const struct ColtStateCall *call,
                             int64_t now_us);
static void reply_state_ (struct ColtLead *lead,
                          const struct ColtStateCall *call);
static void submit_ (struct ColtLead *lead,
                     ColtCallerCall *call,
                     ColtLeadReply reply,
                     void *client);
static void wait_ (struct ColtLead *lead,
                   const ColtCallerCall *call,
                   ColtLeadReply reply,
                   void *client);
static void take_call_durable_ (void *client, bool durable);
static void give_up_ (struct ColtLeadCall *call);
static void reply_now_ (ColtLeadReply reply,
                        void *client,
                        enum ColtAnswerKind answer,
                        enum ColtJobState state,
                        uint32_t retry_after_ms);

void
colt_lead_call (struct ColtLead *lead,
                ColtCallerCall *call,
                ColtLeadReply reply,
                void *client)
{
  ColtCallerReply again = COLT_CALLER_REPLY__INIT;

  if (lead->phase != PHASE_SERVING)
    {
      again.try_again = true;
      reply (client, &again);
      return;
    }
  if (call->kind == COLT_CALLER_SUBMIT)
    submit_ (lead, call, reply, client);
  else if (call->kind == COLT_CALLER_CANCEL)
    {
      if (colt_cell_cancel (lead->cell, call->id, colt_clock_monotonic_us ()))
        wait_ (lead, call, reply, client);
      else
        reply_now_ (reply, client, COLT_ANSWER_NO_JOB, 0, 0);
    }
  else
    ask_state_ (lead, call->id, reply, client);
}

/* Answers those whose job has ended and is durable, or who have waited. */
void
colt_lead_answer_states (struct ColtLead *lead, int64_t now_us)
{
  guint i = lead->states->len;

  while (i-- > 0)
    {
      const struct ColtStateCall *call = g_ptr_array_index (lead->states, i);

      if (state_may_wait_ (lead, call, now_us))
        continue;
      reply_state_ (lead, call);
      g_ptr_array_remove_index_fast (lead->states, i);
    }
}

/* A job that is in no batch can be given back at once and truly. */
void
colt_lead_give_up_calls (struct ColtLead *lead, int64_t now_us)
{
  bool stuck = colt_commit_age_us (lead->commit) > BATCH_STUCK_US;
  guint i;

  for (i = 0; i < lead->calls->len; i++)
    {
      struct ColtLeadCall *call = g_ptr_array_index (lead->calls, i);

      if (call->replied)
        continue;
      if (stuck && call->kind == COLT_CALLER_SUBMIT
          && colt_cell_withdraw (lead->cell, call->id))
        {
          call->replied = true;
          reply_now_ (call->reply, call->client, COLT_ANSWER_NOT_TAKEN, 0,
                      LOG_RETRY_AFTER_MS);
        }
      else if (now_us > call->deadline_us)
        give_up_ (call);
    }
}

void
colt_lead_end_calls (struct ColtLead *lead)
{
  guint i;

  for (i = 0; i < lead->states->len; i++)
    reply_state_ (lead, g_ptr_array_index (lead->states, i));
  g_ptr_array_set_size (lead->states, 0);
  for (i = 0; i < lead->calls->len; i++)
    {
      struct ColtLeadCall *call = g_ptr_array_index (lead->calls, i);

      if (!call->replied)
        give_up_ (call);
    }
}

static void
ask_state_ (struct ColtLead *lead,
            const char *id,
            ColtLeadReply reply,
            void *client)
{
  struct ColtStateCall call = { 0 };

  g_strlcpy (call.id, id, sizeof call.id);
  call.reply = reply;
  call.client = client;
  call.asked_us = colt_clock_monotonic_us ();
  if (lead->states->len < STATE_WAITS_MAX
      && state_may_wait_ (lead, &call, call.asked_us))
    g_ptr_array_add (lead->states, g_memdup2 (&call, sizeof call));
  else
    reply_state_ (lead, &call);
}

static bool
state_may_wait_ (const struct ColtLead *lead,
                 const struct ColtStateCall *call,
                 int64_t now_us)
{
  bool ended;

  return colt_cell_is_ending (lead->cell, call->id, &ended)
         && now_us - call->asked_us
                < (ended ? DURABLE_WAIT_US : ENDING_WAIT_US);
}

static void
reply_state_ (struct ColtLead *lead, const struct ColtStateCall *call)
{
  enum ColtJobState state;

  if (colt_cell_state (lead->cell, call->id, &state))
    reply_now_ (call->reply, call->client, COLT_ANSWER_STATE, state, 0);
  else
    reply_now_ (call->reply, call->client, COLT_ANSWER_NO_JOB, 0, 0);
}

static void
submit_ (struct ColtLead *lead,
         ColtCallerCall *call,
         ColtLeadReply reply,
         void *client)
{
  ColtCallerReply again = COLT_CALLER_REPLY__INIT;
  enum ColtSubmitResult result;
  enum ColtJobState state;

  if (call->spec == NULL)
    {
      reply_now_ (reply, client, COLT_ANSWER_INVALID, 0, 0);
      return;
    }
  if (colt_commit_age_us (lead->commit) > BATCH_STUCK_US
      && !colt_cell_state (lead->cell, call->spec->id, &state))
    {
      reply_now_ (reply, client, COLT_ANSWER_NOT_TAKEN, 0, LOG_RETRY_AFTER_MS);
      return;
    }
  call->spec->accepted_wall_ms = colt_clock_wall_us () / COLT_US_PER_MS;
  result
      = colt_cell_submit (lead->cell, call->spec, colt_clock_monotonic_us ());
  switch (result)
    {
    case COLT_SUBMIT_NEW:
      call->spec = NULL;
      wait_ (lead, call, reply, client);
      return;
    case COLT_SUBMIT_PENDING:
      wait_ (lead, call, reply, client);
      return;
    case COLT_SUBMIT_KNOWN:
      reply_now_ (reply, client, COLT_ANSWER_ACCEPTED, 0, 0);
      return;
    case COLT_SUBMIT_INVALID:
      reply_now_ (reply, client, COLT_ANSWER_INVALID, 0, 0);
      return;
    case COLT_SUBMIT_NO_QUEUE:
      again.try_again = true;
      reply (client, &again);
      return;
    case COLT_SUBMIT_TOO_LATE:
    case COLT_SUBMIT_FULL:
      reply_now_ (reply, client, COLT_ANSWER_LIMITED, 0, FULL_RETRY_AFTER_MS);
    }
}

/* Replies once what the call has changed is durable. */
static void
wait_ (struct ColtLead *lead,
       const ColtCallerCall *call,
       ColtLeadReply reply,
       void *client)
{
  struct ColtLeadCall *waiting = g_new0 (struct ColtLeadCall, 1);

  waiting->lead = lead;
  waiting->kind = (enum ColtCallerKind)call->kind;
  g_strlcpy (waiting->id, call->id, sizeof waiting->id);
  waiting->reply = reply;
  waiting->client = client;
  waiting->deadline_us
      = colt_clock_monotonic_us ()
        + (int64_t)(call->patience_ms
                    - MIN (ANSWER_MARGIN_MS, call->patience_ms))
              * COLT_US_PER_MS;
  g_ptr_array_add (lead->calls, waiting);
  colt_commit_wait (lead->commit, take_call_durable_, waiting);
  colt_commit_soon (lead->commit, CALLER_LINGER_MS);
}

static void
take_call_durable_ (void *client, bool durable)
{
  struct ColtLeadCall *call = client;
  enum ColtAnswerKind answer = COLT_ANSWER_CANCELLED;

  /* The job may have been given back to another caller in the meantime. */
  if (!durable
      || (call->kind == COLT_CALLER_SUBMIT
          && !colt_cell_is_durable (call->lead->cell, call->id)))
    answer = COLT_ANSWER_UNCERTAIN;
  else if (call->kind == COLT_CALLER_SUBMIT)
    answer = COLT_ANSWER_ACCEPTED;
  if (!call->replied)
    reply_now_ (call->reply, call->client, answer, 0, 0);
  g_ptr_array_remove_fast (call->lead->calls, call);
  g_free (call);
}

static void
give_up_ (struct ColtLeadCall *call)
{
  struct ColtCell *cell = call->lead->cell;

  call->replied = true;
  if (call->kind == COLT_CALLER_SUBMIT && colt_cell_withdraw (cell, call->id))
    reply_now_ (call->reply, call->client, COLT_ANSWER_NOT_TAKEN, 0,
                LOG_RETRY_AFTER_MS);
  else
    reply_now_ (call->reply, call->client, COLT_ANSWER_UNCERTAIN, 0, 0);
}

static void
reply_now_ (ColtLeadReply reply,
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
