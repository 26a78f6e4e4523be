#include "coltsfootstile/adapter.h"
#include "ctl.h"

/* Pages of the operator's topic that are read: a log that never ends its list
 * must not keep the command running. */
#define PAGES_MAX 1000

struct ColtConfigReader
{
  struct event_base *base;
  struct ColtPorts ports;
  struct ColtFleet *fleet; /* NULL until the configuration was found */
  struct ColtError *error; /* set on a failure */
  char *after;             /* last key of the page before; NULL at first */
  bool more;
};

static void on_page_ (void *client, const struct ColtLogAnswer *answer);

struct ColtFleet *
colt_ctl_read_config_in_force (const char *address, struct ColtError *error)
{
  const struct ColtAdapterSettings settings = { "", "", "", address, "" };
  struct ColtConfigReader reader = { event_base_new () };
  struct ColtAdapter *adapter
      = colt_adapter_create (reader.base, &settings, &reader.ports);
  struct ColtLogChannel *channel = reader.ports.log_open (adapter);
  int pages = 0;

  colt_error_clear (error);
  reader.error = error;
  do
    {
      reader.more = false;
      reader.ports.log_newest (channel, COLT_TOPIC_OPERATOR, reader.after,
                               on_page_, &reader);
      event_base_dispatch (reader.base);
    }
  while (reader.more && ++pages < PAGES_MAX);
  if (reader.fleet == NULL && error->code == COLT_ERROR_NONE)
    colt_error_set (error, COLT_ERROR_INVALID, COLT_STEP_READ, address,
                    "the log contains no configuration");
  reader.ports.log_close (channel);
  colt_adapter_destroy (adapter);
  event_base_free (reader.base);
  g_free (reader.after);
  return reader.fleet;
}

static void
on_page_ (void *client, const struct ColtLogAnswer *answer)
{
  struct ColtConfigReader *reader = client;
  size_t i;

  event_base_loopbreak (reader->base);
  if (answer->outcome != COLT_LOG_DONE)
    {
      *reader->error = answer->error;
      if (reader->error->code == COLT_ERROR_NONE)
        colt_error_set (reader->error, COLT_ERROR_INVALID, COLT_STEP_READ, NULL,
                        "the log's answer is %s",
                        colt_log_outcome_string[answer->outcome]);
      return;
    }
  for (i = 0; i < answer->count && reader->fleet == NULL; i++)
    if (answer->records[i].value != NULL)
      reader->fleet = reader->ports.decode_fleet (
          reader->ports.adapter, &answer->records[i], reader->error);
  reader->more = answer->more && reader->fleet == NULL
                 && reader->error->code == COLT_ERROR_NONE;
  g_free (reader->after);
  reader->after = g_strdup (answer->last_key);
}
