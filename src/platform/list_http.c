#include <event2/event.h>
#include <glib.h>

#include "coltsfootstile/http_client.h"
#include "coltsfootstile/instance_list.h"
#include "list_json.h"

/* Time until the first byte of an answer, and between further ones. */
#define TIMEOUT_MS 2000u
#define STALL_MS 1000u
/* Largest body of an answer in bytes. */
#define ANSWER_MAX ((size_t)4 * 1024 * 1024)
#define STATUS_OK 200

struct ColtListHttp
{
  struct ColtListDriver driver;
  char *address;
  struct ColtHttpClient *http;
  ColtListDone done;
  void *client;
};

static void fetch_ (struct ColtListDriver *driver,
                    uint32_t zone,
                    ColtListDone done,
                    void *client);
static void on_answer_ (void *client, const struct ColtHttpAnswer *answer);
static void cancel_ (struct ColtListDriver *driver);
static void destroy_ (struct ColtListDriver *driver);

struct ColtListDriver *
colt_list_http_create (struct event_base *base, const char *address)
{
  struct ColtListHttp *list = g_new0 (struct ColtListHttp, 1);

  list->driver.fetch = fetch_;
  list->driver.cancel = cancel_;
  list->driver.destroy = destroy_;
  list->address = g_strdup (address);
  list->http = colt_http_client_create (base, address, ANSWER_MAX, 1);
  return &list->driver;
}

static void
fetch_ (struct ColtListDriver *driver,
        uint32_t zone,
        ColtListDone done,
        void *client)
{
  struct ColtListHttp *list = (struct ColtListHttp *)driver;
  char path[64];
  const struct ColtHttpRequest request = { .method = COLT_HTTP_GET,
                                           .path = path,
                                           .timeout_ms = TIMEOUT_MS,
                                           .stall_ms = STALL_MS };

  g_snprintf (path, sizeof path, "/v1/instances?zone=%u", zone);
  list->done = done;
  list->client = client;
  colt_http_client_send (list->http, &request, on_answer_, list);
}

static void
on_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtListHttp *list = client;
  struct ColtError error = answer->error;
  const struct ColtJsonContext context = { list->address, &error };
  struct ColtListStorage *storage = NULL;

  if (answer->result == COLT_HTTP_ANSWERED && answer->status == STATUS_OK)
    storage = colt_list_json_decode (&context, answer->body, answer->size);
  else if (answer->result == COLT_HTTP_ANSWERED)
    colt_error_set (&error, COLT_ERROR_REFUSED, COLT_STEP_RECEIVE,
                    list->address, "HTTP status %d", answer->status);
  list->done (list->client, storage != NULL ? &storage->list : NULL,
              storage != NULL ? NULL : &error);
  colt_list_free (storage);
}

static void
cancel_ (struct ColtListDriver *driver)
{
  colt_http_client_cancel (((struct ColtListHttp *)driver)->http);
}

static void
destroy_ (struct ColtListDriver *driver)
{
  struct ColtListHttp *list = (struct ColtListHttp *)driver;

  colt_http_client_destroy (list->http);
  g_free (list->address);
  g_free (list);
}
