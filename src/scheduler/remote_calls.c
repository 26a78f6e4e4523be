#include "scheduler_state.h"

/* Time after which a call for advice counts as lost. The adviser takes up to a
 * second for one call, and calls of one instance are processed in turn. */
#define ADVICE_TIMEOUT_MS 2500

/* A call from or to another instance that waits for its answer. */
struct ColtRemoteCall
{
  struct ColtScheduler *scheduler;
  struct ColtWireOrigin origin;
  uint64_t advice_number; /* of a call for advice */
  int64_t sent_us;
};

static void complete_advice_call_ (void *client, const ColtAdviceReply *reply);
static void handle_advice_reply_ (void *client,
                                  enum ColtWireResult result,
                                  const uint8_t *body,
                                  size_t size);
static void handle_forwarded_call_ (void *client,
                                    const struct ColtWireOrigin *origin,
                                    const uint8_t *body,
                                    size_t size);
static void send_call_reply_ (void *client, const ColtCallerReply *reply);
static void handle_advice_call_ (void *client,
                                 const struct ColtWireOrigin *origin,
                                 const uint8_t *body,
                                 size_t size);
static void send_advice_reply_ (void *client, const ColtAdviceReply *reply);

void
colt_scheduler_accept_remote_calls (struct ColtScheduler *scheduler)
{
  colt_wire_set_handler (scheduler->wire, MESSAGE_CALLER,
                         handle_forwarded_call_, scheduler);
  colt_wire_set_handler (scheduler->wire, MESSAGE_ADVICE, handle_advice_call_,
                         scheduler);
}

bool
colt_scheduler_send_advice_call (void *client,
                                 uint64_t number,
                                 const ColtAdviceCall *call)
{
  struct ColtScheduler *scheduler = client;
  int64_t now_us = colt_clock_monotonic_us ();
  uint32_t member = colt_members_acquire_adviser (scheduler->members, now_us);
  struct ColtRemoteCall *remote;
  uint8_t *body;
  size_t size;

  if (member == 0)
    return false;
  colt_metrics_count (scheduler->metrics, METRIC_ADVICE_CALLS);
  remote = g_new0 (struct ColtRemoteCall, 1);
  remote->scheduler = scheduler;
  remote->advice_number = number;
  remote->origin.instance = member;
  remote->sent_us = now_us;
  if (member == COLT_MEMBERS_SELF)
    {
      scheduler->ports->advise (
          scheduler->adviser, call->step, (const char *const *)call->servers,
          call->n_servers, ADVICE_TIMEOUT_MS, complete_advice_call_, remote);
      return true;
    }
  size = colt_advice_call__get_packed_size (call);
  body = g_malloc (size);
  colt_advice_call__pack (call, body);
  colt_wire_call (scheduler->wire, member, MESSAGE_ADVICE, body, size,
                  ADVICE_TIMEOUT_MS, handle_advice_reply_, remote);
  g_free (body);
  return true;
}

static void
complete_advice_call_ (void *client, const ColtAdviceReply *reply)
{
  struct ColtRemoteCall *remote = client;
  struct ColtScheduler *scheduler = remote->scheduler;

  colt_metrics_time (scheduler->metrics, TIMING_ADVICE,
                     colt_clock_monotonic_us () - remote->sent_us);
  colt_members_release_adviser (scheduler->members, remote->origin.instance,
                                colt_clock_monotonic_us (), reply != NULL);
  if (scheduler->leader != NULL)
    colt_leader_handle_advice (scheduler->leader, remote->advice_number, reply);
  g_free (remote);
}

static void
handle_advice_reply_ (void *client,
                      enum ColtWireResult result,
                      const uint8_t *body,
                      size_t size)
{
  ColtAdviceReply *reply = result == COLT_WIRE_REPLIED
                               ? colt_advice_reply__unpack (NULL, size, body)
                               : NULL;

  complete_advice_call_ (client, reply);
  if (reply != NULL)
    colt_advice_reply__free_unpacked (reply, NULL);
}

static void
handle_forwarded_call_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtCallerCall *call = colt_caller_call__unpack (NULL, size, body);
  struct ColtRemoteCall *remote = g_new0 (struct ColtRemoteCall, 1);
  ColtCallerReply retry_reply = COLT_CALLER_REPLY__INIT;

  remote->scheduler = scheduler;
  remote->origin = *origin;
  if (call == NULL || scheduler->leader == NULL)
    {
      retry_reply.try_again = true;
      send_call_reply_ (remote, &retry_reply);
    }
  else
    colt_leader_handle_call (scheduler->leader, call, send_call_reply_, remote);
  if (call != NULL)
    colt_caller_call__free_unpacked (call, NULL);
}

static void
send_call_reply_ (void *client, const ColtCallerReply *reply)
{
  struct ColtRemoteCall *remote = client;
  uint8_t body[64];

  colt_wire_reply (remote->scheduler->wire, &remote->origin, body,
                   colt_caller_reply__pack (reply, body));
  g_free (remote);
}

static void
handle_advice_call_ (void *client,
                     const struct ColtWireOrigin *origin,
                     const uint8_t *body,
                     size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtAdviceCall *call = colt_advice_call__unpack (NULL, size, body);
  struct ColtRemoteCall *remote = g_new0 (struct ColtRemoteCall, 1);

  remote->scheduler = scheduler;
  remote->origin = *origin;
  if (call == NULL)
    {
      send_advice_reply_ (remote, NULL);
      return;
    }
  scheduler->ports->advise (scheduler->adviser, call->step,
                            (const char *const *)call->servers, call->n_servers,
                            ADVICE_TIMEOUT_MS, send_advice_reply_, remote);
  colt_advice_call__free_unpacked (call, NULL);
}

static void
send_advice_reply_ (void *client, const ColtAdviceReply *reply)
{
  const ColtAdviceReply none = COLT_ADVICE_REPLY__INIT;
  struct ColtRemoteCall *remote = client;
  const ColtAdviceReply *message = reply != NULL ? reply : &none;
  uint8_t *body = g_malloc (colt_advice_reply__get_packed_size (message) + 1);

  colt_wire_reply (remote->scheduler->wire, &remote->origin, body,
                   colt_advice_reply__pack (message, body));
  g_free (body);
  g_free (remote);
}
