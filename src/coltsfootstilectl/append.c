#include <sodium.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"
#include "ctl.h"

/* State of colt_ctl_append(). The head of the log is read first, so that the
   log client reads only offsets at which the record may be. */
struct ColtCtlAppendState
{
  struct event_base *base;
  struct ColtLogDriver *driver;
  struct ColtLogClient *client;
  uint64_t head;
  bool has_head;
  struct ColtCtlAppend *append;
};

static bool read_head_ (struct ColtCtlAppendState *state,
                        const char *address,
                        uint32_t timeout_ms);
static void on_head_read_ (void *client,
                           const struct ColtLogPage *page,
                           const struct ColtError *error);
static void
on_append_end_ (void *client, enum ColtLogWriteResult result, uint64_t offset);
static void ignore_record_ (void *client, const struct ColtLogItem *item);
static void on_timeout_ (evutil_socket_t fd, short what, void *base);

void
colt_ctl_append (const char *address,
                 uint32_t kind,
                 const uint8_t *body,
                 size_t size,
                 uint32_t timeout_ms,
                 struct ColtCtlAppend *append)
{
  static const struct ColtLogReaderHandler handler
      = { .record = ignore_record_ };
  struct ColtCtlAppendState state
      = { .base = event_base_new (), .append = append };
  struct ColtLogItem item = { .kind = kind, .body = body, .size = size };
  int64_t deadline_us
      = colt_clock_monotonic_us () + (int64_t)timeout_ms * COLT_US_PER_MS;

  append->exit_code = COLT_CTL_UNREACHABLE;
  append->offset = 0;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  if (read_head_ (&state, address, timeout_ms))
    {
      state.client = colt_log_client_create (
          state.base, colt_log_http_create (state.base, address), 0, state.head,
          &handler, &state);
      colt_log_client_start (state.client);
      if (colt_log_client_add (state.client, &item, deadline_us, on_append_end_,
                               &state)
          == COLT_LOG_ADD_QUEUED)
        event_base_dispatch (state.base);
      colt_log_client_destroy (state.client);
    }
  event_base_free (state.base);
}

static bool
read_head_ (struct ColtCtlAppendState *state,
            const char *address,
            uint32_t timeout_ms)
{
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  state->driver = colt_log_http_create (state->base, address);
  event_base_once (state->base, -1, EV_TIMEOUT, on_timeout_, state->base,
                   &timeout);
  state->driver->read (state->driver, 0, 1, 0, on_head_read_, state);
  event_base_dispatch (state->base);
  state->driver->destroy (state->driver);
  return state->has_head;
}

static void
on_head_read_ (void *client,
               const struct ColtLogPage *page,
               const struct ColtError *error)
{
  struct ColtCtlAppendState *state = client;

  (void)error;
  state->has_head = page != NULL;
  state->head = page != NULL ? page->head : 0;
  event_base_loopbreak (state->base);
}

static void
on_append_end_ (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtCtlAppendState *state = client;

  state->append->offset = offset;
  if (result == COLT_LOG_WRITE_DONE)
    state->append->exit_code = COLT_CTL_OK;
  else if (result == COLT_LOG_WRITE_UNCERTAIN)
    state->append->exit_code = COLT_CTL_UNKNOWN;
  event_base_loopbreak (state->base);
}

/* The log client finds the appended record by itself; the other records are not
   needed. */
static void
ignore_record_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  (void)item;
}

static void
on_timeout_ (evutil_socket_t fd, short what, void *base)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (base);
}
