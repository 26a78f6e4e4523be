#include <sodium.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/log_service.h"
#include "ctl.h"

/* An append in work: the head is looked up first, so that the client reads
   only what may hold the record. */
struct ColtCtlAppending
{
  struct event_base *base;
  struct ColtLogDriver *driver;
  struct ColtLogClient *client;
  uint64_t head;
  bool has_head;
  struct ColtCtlAppend *append;
};

static bool find_head_ (struct ColtCtlAppending *appending,
                        const char *address,
                        uint32_t timeout_ms);
static void take_head_ (void *client,
                        const struct ColtLogPage *page,
                        const struct ColtError *error);
static void
take_end_ (void *client, enum ColtLogWriteResult result, uint64_t offset);
static void take_record_ (void *client, const struct ColtLogItem *item);
static void stop_ (evutil_socket_t fd, short what, void *base);

void
colt_ctl_append (const char *address,
                 uint32_t kind,
                 const uint8_t *body,
                 size_t size,
                 uint32_t timeout_ms,
                 struct ColtCtlAppend *append)
{
  static const struct ColtLogReaderHandler handler = { .record = take_record_ };
  struct ColtCtlAppending appending
      = { .base = event_base_new (), .append = append };
  struct ColtLogItem item = { .kind = kind, .body = body, .size = size };
  int64_t deadline_us
      = colt_clock_monotonic_us () + (int64_t)timeout_ms * COLT_US_PER_MS;

  append->exit_code = COLT_CTL_UNREACHABLE;
  append->offset = 0;
  randombytes_buf (item.id.bytes, sizeof item.id.bytes);
  if (find_head_ (&appending, address, timeout_ms))
    {
      appending.client = colt_log_client_create (
          appending.base, colt_log_http_create (appending.base, address), 0,
          appending.head, &handler, &appending);
      colt_log_client_start (appending.client);
      if (colt_log_client_add (appending.client, &item, deadline_us, take_end_,
                               &appending)
          == COLT_LOG_ADD_QUEUED)
        event_base_dispatch (appending.base);
      colt_log_client_destroy (appending.client);
    }
  event_base_free (appending.base);
}

static bool
find_head_ (struct ColtCtlAppending *appending,
            const char *address,
            uint32_t timeout_ms)
{
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  appending->driver = colt_log_http_create (appending->base, address);
  event_base_once (appending->base, -1, EV_TIMEOUT, stop_, appending->base,
                   &timeout);
  appending->driver->read (appending->driver, 0, 1, 0, take_head_, appending);
  event_base_dispatch (appending->base);
  appending->driver->destroy (appending->driver);
  return appending->has_head;
}

static void
take_head_ (void *client,
            const struct ColtLogPage *page,
            const struct ColtError *error)
{
  struct ColtCtlAppending *appending = client;

  (void)error;
  appending->has_head = page != NULL;
  appending->head = page != NULL ? page->head : 0;
  event_base_loopbreak (appending->base);
}

static void
take_end_ (void *client, enum ColtLogWriteResult result, uint64_t offset)
{
  struct ColtCtlAppending *appending = client;

  appending->append->offset = offset;
  if (result == COLT_LOG_WRITE_DONE)
    appending->append->exit_code = COLT_CTL_OK;
  else if (result == COLT_LOG_WRITE_UNCERTAIN)
    appending->append->exit_code = COLT_CTL_UNKNOWN;
  event_base_loopbreak (appending->base);
}

/* The writer finds its own record; others are of no interest. */
static void
take_record_ (void *client, const struct ColtLogItem *item)
{
  (void)client;
  (void)item;
}

static void
stop_ (evutil_socket_t fd, short what, void *base)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (base);
}
