#include <string.h>

#include "ctl.h"

struct ColtCtlCallState
{
  struct event_base *base;
  struct ColtCtlAnswer *answer;
};

static void on_answer_ (void *client, const struct ColtHttpAnswer *answer);

void
colt_ctl_call (const char *address,
               const struct ColtHttpRequest *request,
               struct ColtCtlAnswer *answer)
{
  struct ColtCtlCallState state = { event_base_new (), answer };
  struct ColtHttpClient *http
      = colt_http_client_create (state.base, address, COLT_CTL_ANSWER_MAX, 1);

  memset (answer, 0, sizeof *answer);
  colt_http_client_send (http, request, on_answer_, &state);
  event_base_dispatch (state.base);
  colt_http_client_destroy (http);
  event_base_free (state.base);
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
on_answer_ (void *client, const struct ColtHttpAnswer *answer)
{
  struct ColtCtlCallState *state = client;
  struct ColtCtlAnswer *copy = state->answer;

  copy->result = answer->result;
  copy->status = answer->status;
  copy->error = answer->error;
  g_strlcpy (copy->retry_after, answer->retry_after, sizeof copy->retry_after);
  if (answer->body != NULL)
    {
      copy->text = g_strndup (answer->body, answer->size);
      copy->json = json_loads (copy->text, 0, NULL);
    }
  if (copy->json != NULL && !json_is_object (copy->json))
    {
      json_decref (copy->json);
      copy->json = NULL;
    }
  event_base_loopbreak (state->base);
}
