#include <string.h>

#include "lead_private.h"

/* Period of looking for what is due. */
#define TICK_MS 25
/* Shortest time between two passes of placement. */
#define PLACE_PAUSE_MS 8
/* Starts are made durable within this time. */
#define PLAN_LINGER_MS 2
/* The servers' records are read this often: they change every second or so,
 * and draining has to be seen within two seconds. */
#define SERVERS_PAUSE_MS 300
#define SERVERS_WAIT_MS 1000
/* Leases of servers last this long, or as long as servers allow: a lead that
 * dies is replaced well within it, and work of a server that is lost starts
 * elsewhere after it. */
#define LEASE_MS 5000
/* Slack until leases of an earlier lead have surely ended. */
#define SETTLE_SLACK_MS 400
/* A stop is sent again after this time. */
#define STOP_RETRY_US (800 * COLT_US_PER_MS)
/* Servers named in one call for advice. */
#define SERVERS_ASKED 30
/* The same for a gang that found too few; the platform takes no more. */
#define SERVERS_LEARNED 100
#define MODULE "lead"

/* The ends of one report, until they are durable. */
struct ColtLeadEnds
{
  struct ColtLead *lead;
  char *server;
  int64_t born_ms;
  uint64_t number;
};

static uint32_t lease_ms_ (const struct ColtLead *lead);
static void start_op_ (void *client, const struct ColtStartOrder *order);
static void
stop_op_ (void *client, const char *server, const char *task, uint32_t run);
static bool advise_op_ (void *client,
                        const char *step,
                        const char *const *servers,
                        size_t count);
static void decided_op_ (void *client,
                         const char *job,
                         const char *what,
                         const char *detail);
static void on_tick_ (evutil_socket_t fd, short what, void *arg);
static void on_place_ (evutil_socket_t fd, short what, void *arg);
static void place_soon_ (struct ColtLead *lead);
static void take_server_record_ (void *client,
                                 const struct ColtLogRecord *record);
static void take_servers_synced_ (void *client);
static void take_entry_ (void *client, const struct ColtServerEntry *entry);
static void unlist_ (struct ColtLead *lead, const char *id);
static void take_report_ (void *client,
                          struct ColtServerLink *link,
                          const struct ColtServerReport *report);
static void take_ends_durable_ (void *client, bool durable);
static void take_started_ (void *client,
                           struct ColtServerLink *link,
                           const char *task,
                           uint32_t run,
                           enum ColtStartResult result,
                           uint64_t asked);
static void take_stopped_ (void *client,
                           struct ColtServerLink *link,
                           const char *task,
                           uint32_t run,
                           bool answered,
                           uint64_t asked);
static void take_dark_ (void *client, struct ColtServerLink *link);
static void take_emptied_ (void *client, struct ColtServerLink *link);
static void take_fenced_ (void *client, struct ColtServerLink *link);
static int64_t renewable_until_us_ (void *client);
static size_t runs_on_ (void *client, const char *server);
static bool is_tight_ (void *client, const char *server);
static void take_committed_ (void *client);
static void take_log_fenced_ (void *client);
static void free_link_ (gpointer data);

static const struct ColtCellOps cell_ops
    = { start_op_, stop_op_, advise_op_, decided_op_ };

struct ColtLead *
colt_lead_create (struct event_base *base,
                  const struct ColtPorts *ports,
                  const struct ColtSchedulerSettings *settings,
                  uint64_t term,
                  const struct ColtLeadClient *client,
                  struct ColtMetrics *metrics)
{
  const struct timeval period = { 0, TICK_MS * 1000 };
  struct ColtLead *lead = g_new0 (struct ColtLead, 1);
  struct ColtCellLimits limits = { 0 };
  struct ColtCommitClient commit_client
      = { take_committed_, take_log_fenced_, lead };

  limits.status_us = (int64_t)settings->status_s * COLT_US_PER_S;
  limits.stop_retry_us = STOP_RETRY_US;
  limits.servers_asked = SERVERS_ASKED;
  limits.servers_learned = SERVERS_LEARNED;
  lead->base = base;
  lead->ports = ports;
  lead->settings = settings;
  lead->client = *client;
  lead->term = term;
  lead->created_us = colt_clock_monotonic_us ();
  lead->cell = colt_cell_create (&cell_ops, lead, &limits, (uint32_t)term);
  lead->commit = colt_commit_create (base, ports, lead->cell, term,
                                     &commit_client, metrics);
  lead->channel = ports->log_open (ports->adapter);
  lead->links
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_link_);
  lead->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  lead->calls = g_ptr_array_new ();
  lead->states = g_ptr_array_new_with_free_func (g_free);
  lead->loading
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  lead->timer = event_new (base, -1, EV_PERSIST, on_tick_, lead);
  lead->place = event_new (base, -1, 0, on_place_, lead);
  lead->retry = event_new (base, -1, 0, colt_lead_retry, lead);
  event_add (lead->timer, &period);
  colt_lag_init (&lead->lag, TICK_MS * COLT_US_PER_MS);
  colt_lead_fence (lead);
  return lead;
}

void
colt_lead_destroy (struct ColtLead *lead)
{
  if (lead == NULL)
    return;
  lead->closing = true;
  event_free (lead->timer);
  event_free (lead->place);
  event_free (lead->retry);
  colt_watch_destroy (lead->servers);
  lead->ports->log_close (lead->channel);
  colt_lead_end_calls (lead);
  colt_commit_destroy (lead->commit);
  g_ptr_array_unref (lead->calls);
  g_ptr_array_unref (lead->states);
  g_hash_table_unref (lead->links);
  g_hash_table_unref (lead->seen);
  g_ptr_array_unref (lead->loading);
  colt_cell_destroy (lead->cell);
  g_free (lead->after);
  g_free (lead);
}

void
colt_lead_set_fleet (struct ColtLead *lead, struct ColtFleet *fleet)
{
  lead->config_version = fleet->version;
  colt_cell_set_fleet (lead->cell, fleet);
  place_soon_ (lead);
}

void
colt_lead_set_confirmed (struct ColtLead *lead, int64_t until_us)
{
  lead->confirmed_until_us = until_us + lease_ms_ (lead) * COLT_US_PER_MS;
}

void
colt_lead_take_advice (struct ColtLead *lead,
                       const ColtAdviceCall *call,
                       const ColtAdviceReply *reply)
{
  colt_cell_advised (lead->cell, call->step, (const char *const *)call->servers,
                     call->n_servers, reply, colt_clock_monotonic_us ());
  place_soon_ (lead);
}

struct ColtCell *
colt_lead_cell (struct ColtLead *lead)
{
  return lead->cell;
}

bool
colt_lead_is_serving (const struct ColtLead *lead)
{
  return lead->phase == PHASE_SERVING;
}

double
colt_lead_speed (const struct ColtLead *lead)
{
  return colt_lag_speed (&lead->lag);
}

void
colt_lead_serve (struct ColtLead *lead)
{
  const struct ColtWatchClient watch_client
      = { take_server_record_, take_servers_synced_, lead };
  const struct ColtWatchTimes times = { SERVERS_WAIT_MS, SERVERS_PAUSE_MS };
  int64_t lease_ms = lease_ms_ (lead);
  guint i;

  for (i = 0; i < lead->loading->len; i++)
    {
      gsize size;
      const char *key
          = g_bytes_get_data (g_ptr_array_index (lead->loading, i), &size);
      size_t key_size = strlen (key) + 1;

      colt_lead_load_record (lead, key, (const uint8_t *)key + key_size,
                             size - key_size);
    }
  g_ptr_array_set_size (lead->loading, 0);
  colt_cell_loaded (lead->cell,
                    lead->created_us
                        + (lease_ms + lease_ms / 20 + SETTLE_SLACK_MS)
                              * COLT_US_PER_MS);
  lead->phase = PHASE_SERVING;
  lead->servers = colt_watch_create (lead->base, lead->ports,
                                     COLT_TOPIC_SERVERS, &times, &watch_client);
  colt_log (COLT_LOG_INFO, MODULE, NULL, "serves; %llu records were loaded",
            (unsigned long long)lead->loaded);
}

/* A later lead waits for no longer lease than this. */
static uint32_t
lease_ms_ (const struct ColtLead *lead)
{
  return MIN (LEASE_MS, lead->settings->lease_max_ms);
}

static void
start_op_ (void *client, const struct ColtStartOrder *order)
{
  struct ColtLead *lead = client;
  struct ColtServerLink *link
      = g_hash_table_lookup (lead->links, order->server);

  g_assert (link != NULL);
  colt_log (COLT_LOG_DEBUG, MODULE, NULL, "start %s run %u on %s", order->task,
            order->run, order->server);
  colt_server_link_start (link, order);
}

static void
stop_op_ (void *client, const char *server, const char *task, uint32_t run)
{
  struct ColtLead *lead = client;
  struct ColtServerLink *link = g_hash_table_lookup (lead->links, server);

  if (link == NULL)
    return;
  colt_log (COLT_LOG_DEBUG, MODULE, NULL, "stop %s run %u on %s", task, run,
            server);
  colt_server_link_stop (link, task, run);
}

static bool
advise_op_ (void *client,
            const char *step,
            const char *const *servers,
            size_t count)
{
  struct ColtLead *lead = client;
  ColtAdviceCall call = COLT_ADVICE_CALL__INIT;

  call.step = (char *)step;
  call.servers = (char **)servers;
  call.n_servers = count;
  return lead->client.advise (lead->client.client, &call);
}

static void
decided_op_ (void *client,
             const char *job,
             const char *what,
             const char *detail)
{
  const struct ColtLead *lead = client;
  const struct ColtLogField fields[]
      = { { "detail", detail, 0 },
          { "term", NULL, (int64_t)lead->term },
          { "config", NULL, lead->config_version } };

  colt_log_event (COLT_LOG_INFO, MODULE, what, job, fields,
                  G_N_ELEMENTS (fields));
}

static void
on_tick_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLead *lead = arg;
  int64_t now_us = colt_clock_monotonic_us ();
  GHashTableIter i;
  gpointer value;

  (void)fd;
  (void)what;
  if (lead->phase != PHASE_SERVING)
    return;
  colt_lag_note (&lead->lag, now_us);
  g_hash_table_iter_init (&i, lead->links);
  while (g_hash_table_iter_next (&i, NULL, &value))
    colt_server_link_tick (value, now_us);
  colt_cell_tick (lead->cell, now_us, colt_clock_wall_us () / COLT_US_PER_MS);
  if (colt_cell_is_dirty (lead->cell))
    colt_commit_soon (lead->commit, TICK_MS);
  colt_lead_give_up_calls (lead, now_us);
  colt_lead_answer_states (lead, now_us);
  place_soon_ (lead);
}

static void
on_place_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtLead *lead = arg;

  (void)fd;
  (void)what;
  if (lead->phase != PHASE_SERVING)
    return;
  colt_cell_place (lead->cell, colt_clock_monotonic_us (),
                   colt_clock_wall_us () / COLT_US_PER_MS);
  if (colt_cell_is_urgent (lead->cell))
    colt_commit_soon (lead->commit, PLAN_LINGER_MS);
}

static void
place_soon_ (struct ColtLead *lead)
{
  const struct timeval when = { 0, PLACE_PAUSE_MS * 1000 };

  if (!event_pending (lead->place, EV_TIMEOUT, NULL))
    event_add (lead->place, &when);
}

static void
take_server_record_ (void *client, const struct ColtLogRecord *record)
{
  struct ColtLead *lead = client;
  struct ColtError error;

  if (record->value == NULL)
    {
      unlist_ (lead, record->key);
      return;
    }
  if (!lead->ports->decode_server (lead->ports->adapter, record, take_entry_,
                                   lead, &error))
    {
      colt_log (COLT_LOG_WARNING, MODULE, NULL,
                "the entry of server %s can't be used: %s", record->key,
                error.message);
      unlist_ (lead, record->key);
    }
}

/* Servers that weren't among all keys aren't listed any more. */
static void
take_servers_synced_ (void *client)
{
  struct ColtLead *lead = client;
  GHashTableIter i;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&i, lead->links);
  while (g_hash_table_iter_next (&i, &key, &value))
    if (!g_hash_table_contains (lead->seen, key))
      {
        colt_cell_unlist_server (lead->cell, key);
        colt_server_link_set_listed (value, false);
      }
  g_hash_table_remove_all (lead->seen);
}

static void
take_entry_ (void *client, const struct ColtServerEntry *entry)
{
  struct ColtLead *lead = client;
  struct ColtServerLink *link = g_hash_table_lookup (lead->links, entry->id);
  const struct ColtServerLinkClient link_client
      = { take_report_,  take_started_, take_stopped_,       take_dark_,
          take_emptied_, take_fenced_,  renewable_until_us_, runs_on_,
          is_tight_,     lead };
  const struct ColtServerLinkBounds bounds = { lead->term, lease_ms_ (lead) };

  g_hash_table_add (lead->seen, g_strdup (entry->id));
  if (link != NULL
      && strcmp (colt_server_link_address (link), entry->address) != 0)
    {
      colt_cell_emptied (lead->cell, entry->id, colt_clock_monotonic_us ());
      g_hash_table_remove (lead->links, entry->id);
      link = NULL;
    }
  colt_cell_set_server (lead->cell, entry, colt_clock_monotonic_us ());
  if (link == NULL)
    {
      link = colt_server_link_create (lead->ports, &bounds, entry->id,
                                      entry->address, &link_client);
      g_hash_table_insert (lead->links, (gpointer)colt_server_link_id (link),
                           link);
    }
  colt_server_link_set_listed (link, true);
}

static void
unlist_ (struct ColtLead *lead, const char *id)
{
  struct ColtServerLink *link = g_hash_table_lookup (lead->links, id);

  colt_cell_unlist_server (lead->cell, id);
  if (link != NULL)
    colt_server_link_set_listed (link, false);
}

/* Ends may be forgotten by the server only once they are durable here. */
static void
take_report_ (void *client,
              struct ColtServerLink *link,
              const struct ColtServerReport *report)
{
  struct ColtLead *lead = client;
  struct ColtLeadEnds *ends;

  colt_cell_report (lead->cell, colt_server_link_id (link), report,
                    colt_clock_monotonic_us ());
  place_soon_ (lead);
  if (report->finished_count == 0)
    return;
  ends = g_new0 (struct ColtLeadEnds, 1);
  ends->lead = lead;
  ends->server = g_strdup (colt_server_link_id (link));
  ends->born_ms = colt_server_link_born_ms (link);
  ends->number = report->finished[report->finished_count - 1].number;
  colt_commit_wait (lead->commit, take_ends_durable_, ends);
}

static void
take_ends_durable_ (void *client, bool durable)
{
  struct ColtLeadEnds *ends = client;
  struct ColtServerLink *link
      = g_hash_table_lookup (ends->lead->links, ends->server);

  if (durable && link != NULL)
    colt_server_link_take_note (link, ends->born_ms, ends->number);
  g_free (ends->server);
  g_free (ends);
}

static void
take_started_ (void *client,
               struct ColtServerLink *link,
               const char *task,
               uint32_t run,
               enum ColtStartResult result,
               uint64_t asked)
{
  struct ColtLead *lead = client;

  colt_cell_started (lead->cell, colt_server_link_id (link), task, run, result,
                     asked, colt_clock_monotonic_us ());
  if (result != COLT_START_TAKEN)
    place_soon_ (lead);
}

static void
take_stopped_ (void *client,
               struct ColtServerLink *link,
               const char *task,
               uint32_t run,
               bool answered,
               uint64_t asked)
{
  struct ColtLead *lead = client;

  colt_cell_stopped (lead->cell, colt_server_link_id (link), task, run,
                     answered, asked, colt_clock_monotonic_us ());
}

static void
take_dark_ (void *client, struct ColtServerLink *link)
{
  struct ColtLead *lead = client;

  colt_cell_set_dark (lead->cell, colt_server_link_id (link));
}

static void
take_emptied_ (void *client, struct ColtServerLink *link)
{
  struct ColtLead *lead = client;

  colt_cell_emptied (lead->cell, colt_server_link_id (link),
                     colt_clock_monotonic_us ());
  place_soon_ (lead);
}

static void
take_fenced_ (void *client, struct ColtServerLink *link)
{
  struct ColtLead *lead = client;

  colt_log (COLT_LOG_WARNING, MODULE, NULL, "server %s follows a later lead",
            colt_server_link_id (link));
  lead->client.fenced (lead->client.client);
}

static int64_t
renewable_until_us_ (void *client)
{
  const struct ColtLead *lead = client;

  return lead->confirmed_until_us;
}

static size_t
runs_on_ (void *client, const char *server)
{
  const struct ColtLead *lead = client;

  return colt_cell_runs_on (lead->cell, server);
}

static bool
is_tight_ (void *client, const char *server)
{
  const struct ColtLead *lead = client;

  return colt_cell_is_tight (lead->cell, server);
}

static void
take_committed_ (void *client)
{
  colt_lead_answer_states (client, colt_clock_monotonic_us ());
  place_soon_ (client);
}

static void
take_log_fenced_ (void *client)
{
  struct ColtLead *lead = client;

  lead->client.fenced (lead->client.client);
}

static void
free_link_ (gpointer data)
{
  colt_server_link_destroy (data);
}
