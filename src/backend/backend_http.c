#include <assert.h>
#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend_json.h"
#include "coltsfootstile/clock.h"
#include "coltsfootstile/http_client.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503

struct ColtBackendCall;

struct ColtBackendHttp
{
  struct ColtBackendDriver driver;
  struct event_base *base;
  char *address;
  uint32_t timeout_ms;
  struct ColtHttpClient *commands;
  struct ColtHttpClient *event_waits;
  GPtrArray *fetches; /* open fetches, of struct ColtBackendCall */
  GQueue rejected;    /* fetches beyond the limit, of struct ColtBackendCall */
  struct event *reject_event; /* ends the rejected fetches */
};

/* Decodes the answer to a call and runs the caller's callback. */
typedef void (*ColtBackendFinish) (struct ColtBackendHttp *http,
                                   const struct ColtBackendCall *call,
                                   struct ColtBackendStatus *status,
                                   const struct ColtHttpAnswer *answer);

struct ColtBackendCall
{
  struct ColtBackendHttp *http;
  ColtBackendFinish finish;
  union
  {
    ColtBackendDescribeDone on_describe;
    ColtBackendLeaseDone on_lease;
    ColtBackendInventoryDone on_inventory;
    ColtBackendChangeDone on_change;
    ColtBackendEventsDone on_events;
    ColtBackendFetchDone on_fetch;
  } done;
  void *client;
  uint64_t after;           /* position after which events were requested */
  struct ColtTaskRef *refs; /* tasks to start, or the task to fetch */
  size_t ref_count;
  struct ColtHttpClient *fetch_client; /* client of a fetch, else NULL */
};

static void describe_ (struct ColtBackendDriver *driver,
                       ColtBackendDescribeDone done,
                       void *client);
static void acquire_ (struct ColtBackendDriver *driver,
                      uint32_t owner,
                      uint64_t epoch,
                      int64_t lease_ms,
                      ColtBackendLeaseDone done,
                      void *client);
static void renew_ (struct ColtBackendDriver *driver,
                    uint32_t owner,
                    uint64_t epoch,
                    const char *token,
                    int64_t lease_ms,
                    ColtBackendLeaseDone done,
                    void *client);
static void release_ (struct ColtBackendDriver *driver,
                      uint32_t owner,
                      uint64_t epoch,
                      const char *token,
                      ColtBackendLeaseDone done,
                      void *client);
static void inventory_ (struct ColtBackendDriver *driver,
                        uint64_t epoch,
                        ColtBackendInventoryDone done,
                        void *client);
static void change_ (struct ColtBackendDriver *driver,
                     const struct ColtBackendChange *change,
                     ColtBackendChangeDone done,
                     void *client);
static void events_ (struct ColtBackendDriver *driver,
                     uint64_t epoch,
                     uint64_t after,
                     uint32_t wait_ms,
                     ColtBackendEventsDone done,
                     void *client);
static void fetch_ (struct ColtBackendDriver *driver,
                    const struct ColtTaskRef *ref,
                    ColtBackendFetchDone done,
                    void *client);
static void cancel_ (struct ColtBackendDriver *driver);
static void destroy_ (struct ColtBackendDriver *driver);
static struct ColtBackendCall *create_call_ (struct ColtBackendDriver *driver,
                                             ColtBackendFinish finish,
                                             void *client);
static void free_call_ (struct ColtBackendCall *call);
static void send_lease_ (struct ColtBackendCall *call,
                         char *text,
                         ColtBackendLeaseDone done);
static void on_answer_ (void *client, const struct ColtHttpAnswer *answer);
static void on_reject_event_ (evutil_socket_t fd, short what, void *client);
static void end_rejected_ (struct ColtBackendHttp *http);
static void read_status_ (struct ColtBackendHttp *http,
                          const struct ColtHttpAnswer *answer,
                          struct ColtBackendStatus *status);
static void read_fence_ (struct ColtBackendHttp *http,
                         const struct ColtHttpAnswer *answer,
                         struct ColtBackendStatus *status);
static bool check_decoded_ (struct ColtBackendStatus *status, bool decoded);
static void finish_describe_ (struct ColtBackendHttp *http,
                              const struct ColtBackendCall *call,
                              struct ColtBackendStatus *status,
                              const struct ColtHttpAnswer *answer);
static void finish_lease_ (struct ColtBackendHttp *http,
                           const struct ColtBackendCall *call,
                           struct ColtBackendStatus *status,
                           const struct ColtHttpAnswer *answer);
static void finish_inventory_ (struct ColtBackendHttp *http,
                               const struct ColtBackendCall *call,
                               struct ColtBackendStatus *status,
                               const struct ColtHttpAnswer *answer);
static void finish_change_ (struct ColtBackendHttp *http,
                            const struct ColtBackendCall *call,
                            struct ColtBackendStatus *status,
                            const struct ColtHttpAnswer *answer);
static void finish_events_ (struct ColtBackendHttp *http,
                            const struct ColtBackendCall *call,
                            struct ColtBackendStatus *status,
                            const struct ColtHttpAnswer *answer);
static void finish_fetch_ (struct ColtBackendHttp *http,
                           const struct ColtBackendCall *call,
                           struct ColtBackendStatus *status,
                           const struct ColtHttpAnswer *answer);

static const struct ColtBackendDriver functions
    = { describe_, acquire_, renew_, release_, inventory_,
        change_,   events_,  fetch_, cancel_,  destroy_ };

struct ColtBackendDriver *
colt_backend_http_create (struct event_base *base,
                          const char *address,
                          uint32_t timeout_ms)
{
  struct ColtBackendHttp *http = g_new0 (struct ColtBackendHttp, 1);

  assert (timeout_ms > 0);
  http->driver = functions;
  http->base = base;
  http->address = g_strdup (address);
  http->timeout_ms = timeout_ms;
  http->commands = colt_http_client_create (
      base, address, COLT_BACKEND_ANSWER_MAX, COLT_BACKEND_QUEUE_MAX);
  http->event_waits
      = colt_http_client_create (base, address, COLT_BACKEND_ANSWER_MAX, 1);
  http->fetches = g_ptr_array_new ();
  g_queue_init (&http->rejected);
  http->reject_event = event_new (base, -1, 0, on_reject_event_, http);
  return &http->driver;
}

static void
describe_ (struct ColtBackendDriver *driver,
           ColtBackendDescribeDone done,
           void *client)
{
  struct ColtBackendCall *call
      = create_call_ (driver, finish_describe_, client);

  call->done.on_describe = done;
  colt_http_client_call (call->http->commands, "/v1/server", NULL,
                         call->http->timeout_ms, on_answer_, call);
}

static void
acquire_ (struct ColtBackendDriver *driver,
          uint32_t owner,
          uint64_t epoch,
          int64_t lease_ms,
          ColtBackendLeaseDone done,
          void *client)
{
  send_lease_ (create_call_ (driver, finish_lease_, client),
               colt_backend_encode_lease (owner, epoch, NULL, lease_ms, false),
               done);
}

static void
renew_ (struct ColtBackendDriver *driver,
        uint32_t owner,
        uint64_t epoch,
        const char *token,
        int64_t lease_ms,
        ColtBackendLeaseDone done,
        void *client)
{
  send_lease_ (create_call_ (driver, finish_lease_, client),
               colt_backend_encode_lease (owner, epoch, token, lease_ms, false),
               done);
}

static void
release_ (struct ColtBackendDriver *driver,
          uint32_t owner,
          uint64_t epoch,
          const char *token,
          ColtBackendLeaseDone done,
          void *client)
{
  send_lease_ (create_call_ (driver, finish_lease_, client),
               colt_backend_encode_lease (owner, epoch, token, 0, true), done);
}

static void
inventory_ (struct ColtBackendDriver *driver,
            uint64_t epoch,
            ColtBackendInventoryDone done,
            void *client)
{
  struct ColtBackendCall *call
      = create_call_ (driver, finish_inventory_, client);
  char path[64];

  call->done.on_inventory = done;
  g_snprintf (path, sizeof path, "/v1/inventory?epoch=%" PRIu64, epoch);
  colt_http_client_call (call->http->commands, path, NULL,
                         call->http->timeout_ms, on_answer_, call);
}

static void
change_ (struct ColtBackendDriver *driver,
         const struct ColtBackendChange *change,
         ColtBackendChangeDone done,
         void *client)
{
  struct ColtBackendCall *call = create_call_ (driver, finish_change_, client);
  char *text = colt_backend_encode_change (change);
  size_t i;

  call->done.on_change = done;
  call->ref_count = change->start_count;
  call->refs = g_new (struct ColtTaskRef, change->start_count);
  for (i = 0; i < change->start_count; i++)
    call->refs[i] = change->starts[i].ref;
  colt_http_client_call (call->http->commands, "/v1/tasks", text,
                         call->http->timeout_ms, on_answer_, call);
  free (text);
}

static void
events_ (struct ColtBackendDriver *driver,
         uint64_t epoch,
         uint64_t after,
         uint32_t wait_ms,
         ColtBackendEventsDone done,
         void *client)
{
  struct ColtBackendCall *call = create_call_ (driver, finish_events_, client);
  char path[128];

  call->done.on_events = done;
  call->after = after;
  g_snprintf (path, sizeof path,
              "/v1/events?epoch=%" PRIu64 "&after=%" PRIu64 "&wait_ms=%" PRIu32,
              epoch, after, wait_ms);
  colt_http_client_call (call->http->event_waits, path, NULL,
                         wait_ms + call->http->timeout_ms, on_answer_, call);
}

static void
fetch_ (struct ColtBackendDriver *driver,
        const struct ColtTaskRef *ref,
        ColtBackendFetchDone done,
        void *client)
{
  struct ColtBackendCall *call = create_call_ (driver, finish_fetch_, client);
  struct ColtBackendHttp *http = call->http;
  char name[COLT_TASK_TEXT_SIZE];
  char path[128];

  call->done.on_fetch = done;
  call->ref_count = 1;
  call->refs = g_memdup2 (ref, sizeof *ref);
  if (http->fetches->len >= COLT_BACKEND_FETCH_MAX)
    {
      g_queue_push_tail (&http->rejected, call);
      event_active (http->reject_event, 0, 0);
      return;
    }
  g_ptr_array_add (http->fetches, call);
  call->fetch_client = colt_http_client_create (http->base, http->address,
                                                COLT_BACKEND_ANSWER_MAX, 1);
  g_snprintf (path, sizeof path, "/v1/tasks/%s?attempt=%u",
              colt_task_format (ref, name), ref->attempt);
  colt_http_client_call (call->fetch_client, path, NULL, http->timeout_ms,
                         on_answer_, call);
}

static void
cancel_ (struct ColtBackendDriver *driver)
{
  struct ColtBackendHttp *http = (struct ColtBackendHttp *)driver;
  GPtrArray *open = http->fetches;
  guint i;

  colt_http_client_cancel (http->commands);
  colt_http_client_cancel (http->event_waits);
  /* Each fetch that ends is removed from http->fetches, so the loop runs over
   * the former array. */
  http->fetches = g_ptr_array_new ();
  for (i = 0; i < open->len; i++)
    {
      struct ColtBackendCall *call = g_ptr_array_index (open, i);

      colt_http_client_cancel (call->fetch_client);
    }
  g_ptr_array_unref (open);
  end_rejected_ (http);
}

static void
destroy_ (struct ColtBackendDriver *driver)
{
  struct ColtBackendHttp *http = (struct ColtBackendHttp *)driver;

  cancel_ (driver);
  colt_http_client_destroy (http->commands);
  colt_http_client_destroy (http->event_waits);
  g_ptr_array_unref (http->fetches);
  event_free (http->reject_event);
  g_free (http->address);
  g_free (http);
}

static struct ColtBackendCall *
create_call_ (struct ColtBackendDriver *driver,
              ColtBackendFinish finish,
              void *client)
{
  struct ColtBackendCall *call = g_new0 (struct ColtBackendCall, 1);

  call->http = (struct ColtBackendHttp *)driver;
  call->finish = finish;
  call->client = client;
  return call;
}

static void
free_call_ (struct ColtBackendCall *call)
{
  g_free (call->refs);
  g_free (call);
}

static void
send_lease_ (struct ColtBackendCall *call,
             char *text,
             ColtBackendLeaseDone done)
{
  call->done.on_lease = done;
  colt_http_client_call (call->http->commands, "/v1/lease", text,
                         call->http->timeout_ms, on_answer_, call);
  free (text);
}

static void
on_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtBackendCall *call = client;
  struct ColtBackendHttp *http = call->http;
  struct ColtHttpClient *fetch_client = call->fetch_client;
  struct ColtBackendStatus status = { 0 };

  if (fetch_client != NULL)
    g_ptr_array_remove_fast (http->fetches, call);
  read_status_ (http, answer, &status);
  call->finish (http, call, &status, answer);
  free_call_ (call);
  colt_http_client_destroy (fetch_client);
}

static void
on_reject_event_ (evutil_socket_t fd, short what, void *client)
{
  (void)fd;
  (void)what;
  end_rejected_ (client);
}

static void
end_rejected_ (struct ColtBackendHttp *http)
{
  GQueue calls = http->rejected;
  struct ColtBackendCall *call;

  g_queue_init (&http->rejected);
  while ((call = g_queue_pop_head (&calls)) != NULL)
    {
      struct ColtHttpAnswer answer = { 0 };

      answer.result = COLT_HTTP_NOT_SENT;
      answer.sent_us = colt_clock_monotonic_us ();
      colt_error_set (&answer.error, COLT_ERROR_EXHAUSTED, COLT_STEP_SEND,
                      http->address, "too many fetches are open");
      on_answer_ (call, &answer);
    }
}

/* An error status that may come from an intermediary, such as 502, leaves the
 * outcome unknown. */
static void
read_status_ (struct ColtBackendHttp *http,
              const struct ColtHttpAnswer *answer,
              struct ColtBackendStatus *status)
{
  status->code = answer->status;
  status->sent_us = answer->sent_us;
  status->error = answer->error;
  status->result = COLT_BACKEND_UNKNOWN;
  if (answer->result == COLT_HTTP_NOT_SENT)
    status->result = COLT_BACKEND_NOT_SENT;
  if (answer->result != COLT_HTTP_ANSWERED)
    return;
  if (answer->status == STATUS_OK)
    {
      status->result = COLT_BACKEND_OK;
      return;
    }
  if (answer->status == STATUS_CONFLICT)
    {
      read_fence_ (http, answer, status);
      return;
    }
  if (answer->status == STATUS_UNAVAILABLE
      || (answer->status >= 400 && answer->status < 500))
    status->result = COLT_BACKEND_REFUSED;
  colt_error_set (&status->error, COLT_ERROR_REFUSED, COLT_STEP_RECEIVE,
                  http->address, "the server answered with status %d",
                  answer->status);
}

static void
read_fence_ (struct ColtBackendHttp *http,
             const struct ColtHttpAnswer *answer,
             struct ColtBackendStatus *status)
{
  struct ColtBackendDecoder *decoder
      = colt_backend_decoder_create (http->address);

  if (colt_backend_decode_fence (decoder, answer->body, answer->size,
                                 &status->fence, &status->error))
    {
      status->result = COLT_BACKEND_FENCED;
      colt_error_set (&status->error, COLT_ERROR_FENCED, COLT_STEP_LEASE,
                      http->address,
                      "lease epoch %" PRIu64 " is held by instance %u",
                      status->fence.epoch, status->fence.owner);
    }
  colt_backend_decoder_destroy (decoder);
}

/* An answer that can't be decoded leaves the outcome of the call unknown. */
static bool
check_decoded_ (struct ColtBackendStatus *status, bool decoded)
{
  if (!decoded)
    status->result = COLT_BACKEND_UNKNOWN;
  return decoded;
}

/* Decodes the answer if the call succeeded, and runs the caller's callback. */
#define FINISH(type, decode, callback)                                         \
  do                                                                           \
    {                                                                          \
      struct ColtBackendDecoder *decoder                                       \
          = colt_backend_decoder_create (http->address);                       \
      type decoded;                                                            \
      bool good = status->result == COLT_BACKEND_OK                            \
                  && check_decoded_ (status, decode);                          \
                                                                               \
      call->done.callback (call->client, status, good ? &decoded : NULL);      \
      colt_backend_decoder_destroy (decoder);                                  \
    }                                                                          \
  while (0)

static void
finish_describe_ (struct ColtBackendHttp *http,
                  const struct ColtBackendCall *call,
                  struct ColtBackendStatus *status,
                  const struct ColtHttpAnswer *answer)
{
  FINISH (struct ColtBackendDescription,
          colt_backend_decode_description (decoder, answer->body, answer->size,
                                           &decoded, &status->error),
          on_describe);
}

static void
finish_lease_ (struct ColtBackendHttp *http,
               const struct ColtBackendCall *call,
               struct ColtBackendStatus *status,
               const struct ColtHttpAnswer *answer)
{
  FINISH (struct ColtBackendLease,
          colt_backend_decode_lease (decoder, answer->body, answer->size,
                                     &decoded, &status->error),
          on_lease);
}

static void
finish_inventory_ (struct ColtBackendHttp *http,
                   const struct ColtBackendCall *call,
                   struct ColtBackendStatus *status,
                   const struct ColtHttpAnswer *answer)
{
  FINISH (struct ColtBackendInventory,
          colt_backend_decode_inventory (decoder, answer->body, answer->size,
                                         &decoded, &status->error),
          on_inventory);
}

static void
finish_change_ (struct ColtBackendHttp *http,
                const struct ColtBackendCall *call,
                struct ColtBackendStatus *status,
                const struct ColtHttpAnswer *answer)
{
  FINISH (struct ColtBackendChangeAnswer,
          colt_backend_decode_change_answer (
              decoder, answer->body, answer->size, call->refs, call->ref_count,
              &decoded, &status->error),
          on_change);
}

static void
finish_events_ (struct ColtBackendHttp *http,
                const struct ColtBackendCall *call,
                struct ColtBackendStatus *status,
                const struct ColtHttpAnswer *answer)
{
  FINISH (struct ColtBackendEvents,
          colt_backend_decode_events (decoder, answer->body, answer->size,
                                      call->after, &decoded, &status->error),
          on_events);
}

static void
finish_fetch_ (struct ColtBackendHttp *http,
               const struct ColtBackendCall *call,
               struct ColtBackendStatus *status,
               const struct ColtHttpAnswer *answer)
{
  if (status->code == STATUS_NOT_FOUND)
    {
      status->result = COLT_BACKEND_OK;
      colt_error_clear (&status->error);
      call->done.on_fetch (call->client, status, NULL);
      return;
    }
  FINISH (struct ColtTaskReport,
          colt_backend_decode_task (decoder, answer->body, answer->size,
                                    call->refs, &decoded, &status->error),
          on_fetch);
}
