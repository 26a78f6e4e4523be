#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

#include "coltsfootstile/clock.h"
#include "coltsfootstile/http_client.h"
#include "coltsfootstile/json.h"
#include "coltsfootstile/log_service.h"
#include "log_json.h"
#include "timeout.h"

/* Timeout of an append, and of the first byte of a read's answer in addition to
 * the read's wait_ms. */
#define TIMEOUT_MIN_MS 1000u
#define TIMEOUT_MAX_MS 8000u
/* Time after which the answer to a read counts as lost if no more arrives. */
#define STALL_MS 1000u
/* Largest body of an answer in bytes. */
#define ANSWER_MAX ((size_t)16 * 1024 * 1024)
#define STATUS_OK 200
#define STATUS_TOO_MANY 429
#define STATUS_UNAVAILABLE 503

struct ColtLogHttp
{
  struct ColtLogDriver driver;
  char *address;
  struct ColtHttpClient *append_http;
  struct ColtHttpClient *read_http;
  struct ColtTimeout append_timeout;
  struct ColtTimeout read_timeout;
  uint32_t wait_ms; /* wait_ms of the open read */
  bool cancelling;  /* the append that ends is cancelled */
  ColtLogAppendDone append_done;
  void *append_client;
  ColtLogReadDone read_done;
  void *read_client;
};

static void append_ (struct ColtLogDriver *driver,
                     const uint8_t *body,
                     size_t size,
                     ColtLogAppendDone done,
                     void *client);
static void on_append_answer_ (void *client,
                               const struct ColtHttpAnswer *answer);
static void read_ (struct ColtLogDriver *driver,
                   uint64_t from,
                   uint32_t max,
                   uint32_t wait_ms,
                   ColtLogReadDone done,
                   void *client);
static void on_read_answer_ (void *client, const struct ColtHttpAnswer *answer);
static void cancel_ (struct ColtLogDriver *driver);
static void cancel_append_ (struct ColtLogDriver *driver);
static void destroy_ (struct ColtLogDriver *driver);
static enum ColtLogResult get_result_ (int status);
static void update_timeout_ (struct ColtTimeout *timeout,
                             const struct ColtHttpAnswer *answer,
                             uint32_t wait_ms);

struct ColtLogDriver *
colt_log_http_create (struct event_base *base, const char *address)
{
  struct ColtLogHttp *log = g_new0 (struct ColtLogHttp, 1);

  log->driver.append = append_;
  log->driver.read = read_;
  log->driver.cancel = cancel_;
  log->driver.cancel_append = cancel_append_;
  log->driver.destroy = destroy_;
  log->address = g_strdup (address);
  log->append_http = colt_http_client_create (base, address, ANSWER_MAX, 1);
  log->read_http = colt_http_client_create (base, address, ANSWER_MAX, 1);
  colt_timeout_init (&log->append_timeout, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
  colt_timeout_init (&log->read_timeout, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
  return &log->driver;
}

static void
append_ (struct ColtLogDriver *driver,
         const uint8_t *body,
         size_t size,
         ColtLogAppendDone done,
         void *client)
{
  struct ColtLogHttp *log = (struct ColtLogHttp *)driver;
  char *text = colt_log_json_encode_append (body, size);

  log->append_done = done;
  log->append_client = client;
  colt_http_client_call (log->append_http, "/v1/records", text,
                         log->append_timeout.current_ms, on_append_answer_,
                         log);
  free (text);
}

static void
on_append_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtLogHttp *log = client;
  struct ColtError error = answer->error;
  const struct ColtJsonContext context = { log->address, &error };
  enum ColtLogResult result = COLT_LOG_REFUSED;
  uint64_t offset = 0;

  if (!log->cancelling)
    update_timeout_ (&log->append_timeout, answer, 0);
  log->cancelling = false;
  if (answer->result == COLT_HTTP_UNKNOWN)
    result = COLT_LOG_UNKNOWN;
  if (answer->result == COLT_HTTP_ANSWERED)
    result = get_result_ (answer->status);
  if (answer->result == COLT_HTTP_ANSWERED && result != COLT_LOG_APPENDED)
    colt_error_set (&error, COLT_ERROR_REFUSED, COLT_STEP_APPEND, log->address,
                    "HTTP status %d", answer->status);
  if (result == COLT_LOG_APPENDED
      && !colt_log_json_decode_append (&context, answer->body, answer->size,
                                       &offset))
    result = COLT_LOG_UNKNOWN;
  log->append_done (log->append_client, result, offset,
                    result == COLT_LOG_APPENDED ? NULL : &error);
}

static void
read_ (struct ColtLogDriver *driver,
       uint64_t from,
       uint32_t max,
       uint32_t wait_ms,
       ColtLogReadDone done,
       void *client)
{
  struct ColtLogHttp *log = (struct ColtLogHttp *)driver;
  char *path = g_strdup_printf ("/v1/records?from=%" PRIu64 "&max=%" PRIu32
                                "&wait_ms=%" PRIu32,
                                from, max, wait_ms);
  const struct ColtHttpRequest request
      = { .method = COLT_HTTP_GET,
          .path = path,
          .timeout_ms = wait_ms + log->read_timeout.current_ms,
          .stall_ms = STALL_MS };

  log->wait_ms = wait_ms;
  log->read_done = done;
  log->read_client = client;
  colt_http_client_send (log->read_http, &request, on_read_answer_, log);
  g_free (path);
}

static void
on_read_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtLogHttp *log = client;
  struct ColtError error = answer->error;
  const struct ColtJsonContext context = { log->address, &error };
  struct ColtLogJsonPage *page = NULL;

  update_timeout_ (&log->read_timeout, answer, log->wait_ms);
  if (answer->result == COLT_HTTP_ANSWERED && answer->status == STATUS_OK)
    page = colt_log_json_decode_page (&context, answer->body, answer->size);
  else if (answer->result == COLT_HTTP_ANSWERED)
    colt_error_set (&error, COLT_ERROR_REFUSED, COLT_STEP_READ, log->address,
                    "HTTP status %d", answer->status);
  log->read_done (log->read_client, page != NULL ? &page->page : NULL,
                  page != NULL ? NULL : &error);
  colt_log_json_free_page (page);
}

static void
cancel_ (struct ColtLogDriver *driver)
{
  struct ColtLogHttp *log = (struct ColtLogHttp *)driver;

  colt_http_client_cancel (log->append_http);
  colt_http_client_cancel (log->read_http);
}

static void
cancel_append_ (struct ColtLogDriver *driver)
{
  struct ColtLogHttp *log = (struct ColtLogHttp *)driver;

  log->cancelling = colt_http_client_pending (log->append_http) > 0;
  colt_http_client_cancel (log->append_http);
}

static void
destroy_ (struct ColtLogDriver *driver)
{
  struct ColtLogHttp *log = (struct ColtLogHttp *)driver;

  colt_http_client_destroy (log->append_http);
  colt_http_client_destroy (log->read_http);
  g_free (log->address);
  g_free (log);
}

/* Other statuses, such as 504, may come from a component behind the log
 * service, so the append may have been written. */
static enum ColtLogResult
get_result_ (int status)
{
  if (status == STATUS_OK)
    return COLT_LOG_APPENDED;
  if (status == STATUS_TOO_MANY)
    return COLT_LOG_THROTTLED;
  if (status == STATUS_UNAVAILABLE || (status >= 400 && status < 500))
    return COLT_LOG_REFUSED;
  return COLT_LOG_UNKNOWN;
}

static void
update_timeout_ (struct ColtTimeout *timeout,
                 const struct ColtHttpAnswer *answer,
                 uint32_t wait_ms)
{
  int64_t took_us = colt_clock_monotonic_us () - answer->sent_us;

  if (answer->result == COLT_HTTP_ANSWERED)
    colt_timeout_record_answer (timeout, took_us / COLT_US_PER_MS - wait_ms);
  else if (answer->error.code == COLT_ERROR_TIMEOUT)
    colt_timeout_record_loss (timeout);
}
