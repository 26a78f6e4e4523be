#include <string.h>

#include "ctl.h"

struct ColtCtlPending
{
  struct event_base *base;
  struct ColtCtlAnswer *answer;
};

static void take_ (void *client, const struct ColtHttpAnswer *answer);

void
colt_ctl_call (const char *address,
               const struct ColtHttpRequest *request,
               struct ColtCtlAnswer *answer)
{
  struct ColtCtlPending pending = { event_base_new (), answer };
  struct ColtHttpClient *http
      = colt_http_client_create (pending.base, address, COLT_CTL_ANSWER_MAX, 1);

  memset (answer, 0, sizeof *answer);
  colt_http_client_send (http, request, take_, &pending);
  event_base_dispatch (pending.base);
  colt_http_client_destroy (http);
  event_base_free (pending.base);
}

void
colt_ctl_answer_clear (struct ColtCtlAnswer *answer)
{
  g_free (answer->text);
  json_decref (answer->json);
  answer->text = NULL;
  answer->json = NULL;
}

enum ColtCtlExit
colt_ctl_call_exit (const struct ColtCtlAnswer *answer)
{
  return answer->result == COLT_HTTP_NOT_SENT ? COLT_CTL_UNREACHABLE
                                              : COLT_CTL_UNKNOWN;
}

static void
take_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtCtlPending *pending = client;
  struct ColtCtlAnswer *taken = pending->answer;

  taken->result = answer->result;
  taken->status = answer->status;
  taken->error = answer->error;
  g_strlcpy (taken->retry_after, answer->retry_after,
             sizeof taken->retry_after);
  if (answer->body != NULL)
    {
      taken->text = g_strndup (answer->body, answer->size);
      taken->json = json_loads (taken->text, 0, NULL);
    }
  if (taken->json != NULL && !json_is_object (taken->json))
    {
      json_decref (taken->json);
      taken->json = NULL;
    }
  event_base_loopbreak (pending->base);
}
