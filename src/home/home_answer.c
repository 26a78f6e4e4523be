#include <stdlib.h>

#include "coltsfootstile/clock.h"
#include "home_private.h"

/* Timeout for delivering an answer, in milliseconds. The home doesn't
 * repeat a lost answer; the gate attaches to the request to get it. */
#define ANSWER_TIMEOUT_MS 1000

/* A "not run" answer, pending proof that no other leader was active. */
struct ColtUnprovedAnswer
{
  struct ColtId id;
  int64_t decided_us;
};

static void send_to_waiters_ (struct ColtHome *home,
                              const struct ColtRequest *request);
static void on_delivered_ (void *client,
                           enum ColtWireResult result,
                           const uint8_t *body,
                           size_t size);

void
colt_home_send_answer (struct ColtHome *home, const struct ColtRequest *request)
{
  int64_t now_us = colt_clock_monotonic_us ();

  if (request->waiter_count == 0)
    return;
  if (colt_home_lacks_results (request))
    {
      colt_home_fetch_results (home, request);
      return;
    }
  if (request->outcome == COLT_OUTCOME_NOT_RUN
      && !colt_home_is_sole_leader (home, &request->id, now_us))
    {
      struct ColtUnprovedAnswer *unproved
          = g_new0 (struct ColtUnprovedAnswer, 1);

      unproved->id = request->id;
      unproved->decided_us = now_us;
      g_queue_push_tail (&home->unproved_answers, unproved);
      return;
    }
  send_to_waiters_ (home, request);
}

void
colt_home_send_proved_answers (struct ColtHome *home, int64_t now_us)
{
  guint count = g_queue_get_length (&home->unproved_answers);

  while (count-- > 0)
    {
      struct ColtUnprovedAnswer *unproved
          = g_queue_pop_head (&home->unproved_answers);
      const struct ColtRequest *request
          = colt_requests_find (home->requests, &unproved->id);
      uint32_t shard = colt_id_shard (&unproved->id);

      if (request == NULL)
        g_free (unproved);
      else if (colt_shard_leader_was_exclusive (home->shard_leader, shard,
                                                unproved->decided_us, now_us))
        {
          send_to_waiters_ (home, request);
          g_free (unproved);
        }
      else
        g_queue_push_tail (&home->unproved_answers, unproved);
    }
}

bool
colt_home_is_sole_leader (struct ColtHome *home,
                          const struct ColtId *id,
                          int64_t now_us)
{
  uint32_t shard = colt_id_shard (id);

  return colt_shard_leader_is_exclusive (
      home->shard_leader, colt_owner_shards (home->parts.owner), shard, now_us);
}

bool
colt_home_lacks_results (const struct ColtRequest *request)
{
  uint32_t i;

  if (request->outcome != COLT_OUTCOME_DONE)
    return false;
  for (i = 0; i < request->spec.tasks; i++)
    if (!request->tasks[i].result_known)
      return true;
  return false;
}

static void
send_to_waiters_ (struct ColtHome *home, const struct ColtRequest *request)
{
  ColtAnswerWord *answer = colt_answer_make (request);
  uint8_t *body;
  size_t size;
  unsigned i;

  body = colt_message_pack (&answer->base, &size);
  for (i = 0; i < request->waiter_count; i++)
    {
      home->open_answers++;
      colt_wire_call (home->parts.wire, request->waiters[i],
                      COLT_WIRE_REQUEST_ANSWER, body, size, ANSWER_TIMEOUT_MS,
                      on_delivered_, home);
    }
  colt_counters_increment (home->parts.counters, home->counters.answered, 1);
  free (body);
  colt_answer_word__free_unpacked (answer, NULL);
}

static void
on_delivered_ (void *client,
               enum ColtWireResult result,
               const uint8_t *body,
               size_t size)
{
  struct ColtHome *home = client;

  (void)result;
  (void)body;
  (void)size;
  home->open_answers--;
}
