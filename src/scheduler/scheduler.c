#include <arpa/inet.h>
#include <string.h>

#include "scheduler_state.h"

/* Period of telling the lead that this instance is there. */
#define BEAT_MS 250
/* A beat without an answer is lost after this time. */
#define BEAT_TIMEOUT_MS 800
/* A call for advice is lost after this time; the adviser takes up to a second
 * for one call, and the calls of one instance wait for each other. */
#define ADVICE_TIMEOUT_MS 2500
/* A stopping instance serves at least this long, until the balancer has seen
 * that it isn't ready. */
#define STOP_SERVING_MS 2600
/* Time kept of the grace for ending the process. */
#define STOP_MARGIN_MS 700
#define STOP_CHECK_MS 50
/* A configuration is in force within two seconds, also when the connection
 * it should have come by has gone silent. */
#define CONFIG_WAIT_MS 600
/* A lead yields to an instance this many times stronger, with its strength as
 * it is set and as its machine's speed lets it be now, once it has led this
 * long: a few beats of each instance have come by then. */
#define YIELD_FACTOR 2.0
#define YIELD_SLOW_FACTOR 1.5
#define YIELD_AFTER_US (1 * COLT_US_PER_S)
/* The same for a lead that is slow now, if the lead before it led for less than
 * this: where the load is too much for any instance, changes of the lead only
 * add to it. */
#define YIELD_AGAIN_AFTER_US (6 * COLT_US_PER_S)
#define MODULE "scheduler"

/* A message of another instance that waits for its answer. */
struct ColtForeignCall
{
  struct ColtScheduler *scheduler;
  struct ColtWireOrigin origin;
  ColtAdviceCall *advice;
  int64_t sent_us;
};

static bool start_wire_ (struct ColtScheduler *scheduler,
                         struct ColtError *error);
static void take_config_ (void *client, const struct ColtLogRecord *record);
static void tell_config_ (const struct ColtScheduler *scheduler,
                          const struct ColtFleet *fleet);
static void take_elected_ (void *client, uint64_t term);
static void take_deposed_ (void *client);
static void take_changed_ (void *client);
static void take_lead_fenced_ (void *client);
static bool take_advise_ (void *client, const ColtAdviceCall *call);
static void take_own_advice_ (void *client, const ColtAdviceReply *reply);
static void take_member_advice_ (void *client,
                                 enum ColtWireResult result,
                                 const uint8_t *body,
                                 size_t size);
static ColtAdviceCall *copy_advice_ (const ColtAdviceCall *call);
static void on_beat_ (evutil_socket_t fd, short what, void *arg);
static void confirm_lead_ (struct ColtScheduler *scheduler, int64_t now_us);
static void yield_if_weak_ (struct ColtScheduler *scheduler, int64_t now_us);
static void take_beat_reply_ (void *client,
                              enum ColtWireResult result,
                              const uint8_t *body,
                              size_t size);
static void take_beat_ (void *client,
                        const struct ColtWireOrigin *origin,
                        const uint8_t *body,
                        size_t size);
static void take_foreign_call_ (void *client,
                                const struct ColtWireOrigin *origin,
                                const uint8_t *body,
                                size_t size);
static void take_foreign_reply_ (void *client, const ColtCallerReply *reply);
static void take_advice_call_ (void *client,
                               const struct ColtWireOrigin *origin,
                               const uint8_t *body,
                               size_t size);
static void take_advice_ (void *client, const ColtAdviceReply *reply);
static bool is_ready_ (void *client);
static char *describe_ (void *client, const char *path);
static char *dump_state_ (const struct ColtScheduler *scheduler);
static void on_stop_ (evutil_socket_t fd, short what, void *arg);

struct ColtScheduler *
colt_scheduler_create (struct event_base *base,
                       const struct ColtPorts *ports,
                       const struct ColtSchedulerSettings *settings,
                       struct ColtError *error)
{
  struct ColtScheduler *scheduler = g_new0 (struct ColtScheduler, 1);
  const struct ColtCallerServer server
      = { colt_scheduler_handle, is_ready_, describe_, scheduler };
  const struct ColtElectionClient election
      = { take_elected_, take_deposed_, take_changed_, scheduler };
  const struct ColtWatchClient config = { take_config_, NULL, scheduler };
  const struct ColtWatchTimes times = { CONFIG_WAIT_MS, 0 };

  scheduler->base = base;
  scheduler->ports = ports;
  scheduler->settings = *settings;
  scheduler->instance = colt_scheduler_instance_of (settings->internal);
  scheduler->metrics = colt_metrics_create ();
  scheduler->counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scheduler->requests = g_ptr_array_new ();
  scheduler->members = colt_members_create ();
  scheduler->beat = event_new (base, -1, EV_PERSIST, on_beat_, scheduler);
  scheduler->stop = event_new (base, -1, EV_PERSIST, on_stop_, scheduler);
  if (!start_wire_ (scheduler, error)
      || !ports->listen (ports->adapter, &server, error))
    {
      colt_scheduler_destroy (scheduler);
      return NULL;
    }
  scheduler->adviser = ports->adviser_open (ports->adapter);
  scheduler->config
      = colt_watch_create (base, ports, COLT_TOPIC_OPERATOR, &times, &config);
  scheduler->election
      = colt_election_create (base, ports, &scheduler->settings, &election);
  colt_scheduler_add_timer (scheduler->beat, BEAT_MS);
  colt_log (COLT_LOG_INFO, MODULE, NULL, "%s in zone %s has started",
            settings->name, settings->zone);
  return scheduler;
}

void
colt_scheduler_destroy (struct ColtScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  colt_lead_destroy (scheduler->lead);
  scheduler->lead = NULL;
  colt_election_destroy (scheduler->election);
  colt_watch_destroy (scheduler->config);
  colt_scheduler_end_requests (scheduler);
  colt_wire_destroy (scheduler->wire);
  if (scheduler->adviser != NULL)
    scheduler->ports->adviser_close (scheduler->adviser);
  event_free (scheduler->beat);
  event_free (scheduler->stop);
  colt_members_destroy (scheduler->members);
  colt_metrics_destroy (scheduler->metrics);
  g_hash_table_unref (scheduler->counts);
  g_ptr_array_unref (scheduler->requests);
  colt_fleet_unref (scheduler->fleet);
  g_free (scheduler);
}

void
colt_scheduler_stop (struct ColtScheduler *scheduler)
{
  uint32_t successor;

  if (scheduler->stopping)
    return;
  scheduler->stopping = true;
  scheduler->stopping_us = colt_clock_monotonic_us ();
  colt_log (COLT_LOG_INFO, MODULE, NULL, "stops; %u requests are open",
            scheduler->requests->len);
  colt_members_strongest (scheduler->members, scheduler->stopping_us,
                          &successor);
  colt_election_leave (scheduler->election, successor);
  colt_scheduler_add_timer (scheduler->stop, STOP_CHECK_MS);
}

uint32_t
colt_scheduler_instance_of (const char *address)
{
  char ip[COLT_ERROR_PEER_SIZE];
  char *colon;
  struct in_addr parsed;

  g_strlcpy (ip, address, sizeof ip);
  colon = strrchr (ip, ':');
  if (colon != NULL)
    *colon = '\0';
  return inet_pton (AF_INET, ip, &parsed) == 1 ? ntohl (parsed.s_addr) : 1;
}

void
colt_scheduler_add_timer (struct event *timer, uint32_t after_ms)
{
  const struct timeval when
      = { after_ms / 1000, (suseconds_t)(after_ms % 1000) * 1000 };

  event_add (timer, &when);
}

static bool
start_wire_ (struct ColtScheduler *scheduler, struct ColtError *error)
{
  scheduler->wire = colt_wire_create (scheduler->base, scheduler->instance,
                                      (uint64_t)colt_clock_wall_us ());
  colt_wire_set_handler (scheduler->wire, MESSAGE_BEAT, take_beat_, scheduler);
  colt_wire_set_handler (scheduler->wire, MESSAGE_CALLER, take_foreign_call_,
                         scheduler);
  colt_wire_set_handler (scheduler->wire, MESSAGE_ADVICE, take_advice_call_,
                         scheduler);
  return colt_wire_listen (scheduler->wire, scheduler->settings.internal,
                           error);
}

/* A configuration never goes back to an earlier version. */
static void
take_config_ (void *client, const struct ColtLogRecord *record)
{
  struct ColtScheduler *scheduler = client;
  struct ColtError error = { 0 };
  struct ColtFleet *fleet;

  if (record->value == NULL)
    return;
  fleet = scheduler->ports->decode_fleet (scheduler->ports->adapter, record,
                                          &error);
  if (fleet == NULL)
    {
      if (error.code != COLT_ERROR_NONE)
        colt_log_error (COLT_LOG_ERROR, MODULE, "a configuration can't be used",
                        &error);
      return;
    }
  if (scheduler->fleet != NULL && fleet->version <= scheduler->fleet->version)
    {
      colt_fleet_unref (fleet);
      return;
    }
  tell_config_ (scheduler, fleet);
  colt_fleet_unref (scheduler->fleet);
  scheduler->fleet = fleet;
  if (scheduler->lead != NULL)
    colt_lead_set_fleet (scheduler->lead, fleet);
}

static void
tell_config_ (const struct ColtScheduler *scheduler,
              const struct ColtFleet *fleet)
{
  const struct ColtLogField fields[]
      = { { "version", NULL, fleet->version },
          { "previous", NULL,
            scheduler->fleet != NULL ? scheduler->fleet->version : 0 },
          { "queues", NULL, fleet->queues->len },
          { "organisations", NULL, fleet->organisations->len } };

  colt_log_event (COLT_LOG_INFO, MODULE, "configuration in force", NULL, fields,
                  G_N_ELEMENTS (fields));
}

static void
take_elected_ (void *client, uint64_t term)
{
  struct ColtScheduler *scheduler = client;
  const struct ColtLeadClient lead_client
      = { take_lead_fenced_, take_advise_, scheduler };

  scheduler->lead = colt_lead_create (scheduler->base, scheduler->ports,
                                      &scheduler->settings, term, &lead_client,
                                      scheduler->metrics);
  if (scheduler->fleet != NULL)
    colt_lead_set_fleet (scheduler->lead, scheduler->fleet);
  colt_metrics_count (scheduler->metrics, METRIC_ELECTED);
  scheduler->elected_us = colt_clock_monotonic_us ();
  scheduler->before_us = scheduler->elected_us - scheduler->changed_us;
  scheduler->changed_us = scheduler->elected_us;
  scheduler->seen_term = term;
  confirm_lead_ (scheduler, scheduler->elected_us);
}

static void
take_deposed_ (void *client)
{
  struct ColtScheduler *scheduler = client;
  struct ColtLead *lead = scheduler->lead;

  scheduler->lead = NULL;
  colt_members_clear_advice (scheduler->members);
  colt_lead_destroy (lead);
}

static void
take_changed_ (void *client)
{
  struct ColtScheduler *scheduler = client;

  if (colt_election_term (scheduler->election) != scheduler->seen_term)
    scheduler->changed_us = colt_clock_monotonic_us ();
  scheduler->seen_term = colt_election_term (scheduler->election);
  if (!scheduler->stopping)
    on_beat_ (-1, 0, scheduler);
}

static void
take_lead_fenced_ (void *client)
{
  struct ColtScheduler *scheduler = client;

  colt_election_fenced (scheduler->election);
}

/* Calls for advice wait for each other on one instance, so they are spread
 * over all of them. */
static bool
take_advise_ (void *client, const ColtAdviceCall *call)
{
  struct ColtScheduler *scheduler = client;
  int64_t now_us = colt_clock_monotonic_us ();
  uint32_t member = colt_members_take_adviser (scheduler->members, now_us);
  struct ColtForeignCall *open;
  uint8_t *body;
  size_t size;

  if (member == 0)
    return false;
  colt_metrics_count (scheduler->metrics, METRIC_ADVICE_CALLS);
  open = g_new0 (struct ColtForeignCall, 1);
  open->scheduler = scheduler;
  open->advice = copy_advice_ (call);
  open->origin.instance = member;
  open->sent_us = now_us;
  if (member == COLT_MEMBERS_SELF)
    {
      scheduler->ports->advise (
          scheduler->adviser, call->step, (const char *const *)call->servers,
          call->n_servers, ADVICE_TIMEOUT_MS, take_own_advice_, open);
      return true;
    }
  size = colt_advice_call__get_packed_size (call);
  body = g_malloc (size);
  colt_advice_call__pack (call, body);
  colt_wire_call (scheduler->wire, member, MESSAGE_ADVICE, body, size,
                  ADVICE_TIMEOUT_MS, take_member_advice_, open);
  g_free (body);
  return true;
}

static void
take_own_advice_ (void *client, const ColtAdviceReply *reply)
{
  struct ColtForeignCall *open = client;
  struct ColtScheduler *scheduler = open->scheduler;

  colt_metrics_time (scheduler->metrics, TIMING_ADVICE,
                     colt_clock_monotonic_us () - open->sent_us);
  colt_members_give_adviser (scheduler->members, open->origin.instance,
                             colt_clock_monotonic_us (), reply != NULL);
  if (scheduler->lead != NULL)
    colt_lead_take_advice (scheduler->lead, open->advice, reply);
  colt_advice_call__free_unpacked (open->advice, NULL);
  g_free (open);
}

static void
take_member_advice_ (void *client,
                     enum ColtWireResult result,
                     const uint8_t *body,
                     size_t size)
{
  ColtAdviceReply *reply = result == COLT_WIRE_REPLIED
                               ? colt_advice_reply__unpack (NULL, size, body)
                               : NULL;

  take_own_advice_ (client, reply);
  if (reply != NULL)
    colt_advice_reply__free_unpacked (reply, NULL);
}

static ColtAdviceCall *
copy_advice_ (const ColtAdviceCall *call)
{
  size_t size = colt_advice_call__get_packed_size (call);
  uint8_t *body = g_malloc (size);
  ColtAdviceCall *copy;

  colt_advice_call__pack (call, body);
  copy = colt_advice_call__unpack (NULL, size, body);
  g_free (body);
  return copy;
}

static void
on_beat_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtScheduler *scheduler = arg;
  const char *address = colt_election_lead (scheduler->election);
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t age_us = now_us - colt_election_reached_us (scheduler->election);
  ColtBeat beat = COLT_BEAT__INIT;
  uint8_t body[64];
  uint32_t lead;

  (void)fd;
  (void)what;
  if (scheduler->lead != NULL)
    {
      confirm_lead_ (scheduler, now_us);
      yield_if_weak_ (scheduler, now_us);
      return;
    }
  if (address == NULL)
    return;
  lead = colt_scheduler_instance_of (address);
  if (lead == scheduler->instance)
    return;
  colt_wire_set_peer (scheduler->wire, lead, address);
  scheduler->lead_instance = lead;
  beat.term = colt_election_term (scheduler->election);
  /* An instance that stops isn't to lead any more. */
  beat.strength_milli = scheduler->stopping
                            ? 0
                            : (uint32_t)(scheduler->settings.strength * 1000);
  beat.log_age_ms = (uint32_t)MIN (age_us / COLT_US_PER_MS, UINT32_MAX / 2);
  colt_wire_call (scheduler->wire, lead, MESSAGE_BEAT, body,
                  colt_beat__pack (&beat, body), BEAT_TIMEOUT_MS,
                  take_beat_reply_, scheduler);
}

/* While most instances can't reach the log either, nobody can have claimed
 * the lead. */
static void
confirm_lead_ (struct ColtScheduler *scheduler, int64_t now_us)
{
  int64_t until_us = colt_election_confirmed_us (scheduler->election);

  if (colt_members_log_is_down (scheduler->members, now_us))
    until_us = now_us;
  colt_lead_set_confirmed (scheduler->lead, until_us);
  colt_cell_set_advisers (
      colt_lead_cell (scheduler->lead),
      colt_members_count_advisers (scheduler->members, now_us));
}

/* A change of the lead costs less than a second; a weak lead, or one whose
 * machine has become slow, costs more the whole time. */
static void
yield_if_weak_ (struct ColtScheduler *scheduler, int64_t now_us)
{
  double strength = scheduler->settings.strength;
  uint32_t successor;
  double strongest
      = colt_members_strongest (scheduler->members, now_us, &successor);
  int64_t led_us = now_us - scheduler->elected_us;

  if (led_us < YIELD_AFTER_US)
    return;
  if (strongest < YIELD_FACTOR * strength)
    {
      strength *= colt_lead_speed (scheduler->lead);
      if (strongest < YIELD_SLOW_FACTOR * strength
          || (scheduler->before_us < YIELD_AGAIN_AFTER_US
              && led_us < YIELD_AGAIN_AFTER_US))
        return;
    }
  if (!colt_election_yield (scheduler->election, successor))
    return;
  colt_log (
      COLT_LOG_INFO, MODULE, NULL,
      "yields the lead: strength %.3f at %.2f of its speed, the strongest "
      "member has %.3f",
      scheduler->settings.strength, colt_lead_speed (scheduler->lead),
      strongest);
}

static void
take_beat_reply_ (void *client,
                  enum ColtWireResult result,
                  const uint8_t *body,
                  size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtBeatReply *reply;
  size_t i;

  /* A cut is silent; a process that has ended refuses connections, or has
   * been started again and doesn't lead. */
  if (result == COLT_WIRE_NOT_SENT || result == COLT_WIRE_BROKEN)
    colt_election_suspect (scheduler->election, true);
  if (result != COLT_WIRE_REPLIED)
    return;
  reply = colt_beat_reply__unpack (NULL, size, body);
  if (reply == NULL)
    return;
  colt_election_suspect (scheduler->election, !reply->is_lead);
  if (reply->leads)
    g_hash_table_remove_all (scheduler->counts);
  for (i = 0; reply->leads && i < reply->n_counts; i++)
    g_hash_table_insert (scheduler->counts, g_strdup (reply->counts[i]->queue),
                         GSIZE_TO_POINTER ((gsize)reply->counts[i]->waiting));
  colt_beat_reply__free_unpacked (reply, NULL);
}

static void
take_beat_ (void *client,
            const struct ColtWireOrigin *origin,
            const uint8_t *body,
            size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtBeat *beat = colt_beat__unpack (NULL, size, body);
  ColtBeatReply reply = COLT_BEAT_REPLY__INIT;
  GPtrArray *counts = g_ptr_array_new_with_free_func (g_free);
  uint8_t *out;
  guint i;

  if (beat != NULL)
    {
      const struct in_addr ip = { htonl (origin->instance) };
      const char *port = strrchr (scheduler->settings.internal, ':');
      char address[COLT_ERROR_PEER_SIZE];

      g_snprintf (address, sizeof address, "%s%s", inet_ntoa (ip), port);
      colt_wire_set_peer (scheduler->wire, origin->instance, address);
      colt_members_note (scheduler->members, origin->instance, beat->log_age_ms,
                         beat->strength_milli / 1000.0,
                         colt_clock_monotonic_us ());
      colt_beat__free_unpacked (beat, NULL);
    }
  reply.term = colt_election_term (scheduler->election);
  reply.is_lead = scheduler->lead != NULL
                  && !colt_election_is_refused (scheduler->election);
  reply.leads
      = scheduler->lead != NULL && colt_lead_is_serving (scheduler->lead);
  for (i = 0; reply.leads && scheduler->fleet != NULL
              && i < scheduler->fleet->queues->len;
       i++)
    {
      const struct ColtQueueConfig *queue
          = g_ptr_array_index (scheduler->fleet->queues, i);
      ColtQueueCount *count = g_new0 (ColtQueueCount, 1);

      colt_queue_count__init (count);
      count->queue = queue->name;
      count->waiting
          = colt_cell_waiting (colt_lead_cell (scheduler->lead), queue->name);
      g_ptr_array_add (counts, count);
    }
  reply.n_counts = counts->len;
  reply.counts = (ColtQueueCount **)counts->pdata;
  out = g_malloc (colt_beat_reply__get_packed_size (&reply) + 1);
  colt_wire_reply (scheduler->wire, origin, out,
                   colt_beat_reply__pack (&reply, out));
  g_free (out);
  g_ptr_array_unref (counts);
}

static void
take_foreign_call_ (void *client,
                    const struct ColtWireOrigin *origin,
                    const uint8_t *body,
                    size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtCallerCall *call = colt_caller_call__unpack (NULL, size, body);
  struct ColtForeignCall *open = g_new0 (struct ColtForeignCall, 1);
  ColtCallerReply again = COLT_CALLER_REPLY__INIT;

  open->scheduler = scheduler;
  open->origin = *origin;
  if (call == NULL || scheduler->lead == NULL)
    {
      again.try_again = true;
      take_foreign_reply_ (open, &again);
    }
  else
    colt_lead_call (scheduler->lead, call, take_foreign_reply_, open);
  if (call != NULL)
    colt_caller_call__free_unpacked (call, NULL);
}

static void
take_foreign_reply_ (void *client, const ColtCallerReply *reply)
{
  struct ColtForeignCall *open = client;
  uint8_t body[64];

  colt_wire_reply (open->scheduler->wire, &open->origin, body,
                   colt_caller_reply__pack (reply, body));
  g_free (open);
}

static void
take_advice_call_ (void *client,
                   const struct ColtWireOrigin *origin,
                   const uint8_t *body,
                   size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtAdviceCall *call = colt_advice_call__unpack (NULL, size, body);
  struct ColtForeignCall *open = g_new0 (struct ColtForeignCall, 1);

  open->scheduler = scheduler;
  open->origin = *origin;
  if (call == NULL)
    {
      take_advice_ (open, NULL);
      return;
    }
  scheduler->ports->advise (scheduler->adviser, call->step,
                            (const char *const *)call->servers, call->n_servers,
                            ADVICE_TIMEOUT_MS, take_advice_, open);
  colt_advice_call__free_unpacked (call, NULL);
}

static void
take_advice_ (void *client, const ColtAdviceReply *reply)
{
  const ColtAdviceReply none = COLT_ADVICE_REPLY__INIT;
  struct ColtForeignCall *open = client;
  const ColtAdviceReply *told = reply != NULL ? reply : &none;
  uint8_t *body = g_malloc (colt_advice_reply__get_packed_size (told) + 1);

  colt_wire_reply (open->scheduler->wire, &open->origin, body,
                   colt_advice_reply__pack (told, body));
  g_free (body);
  g_free (open);
}

static bool
is_ready_ (void *client)
{
  const struct ColtScheduler *scheduler = client;

  return scheduler->fleet != NULL && !scheduler->stopping;
}

static char *
describe_ (void *client, const char *path)
{
  struct ColtScheduler *scheduler = client;
  struct ColtCellStats stats;

  if (strcmp (path, "/state") == 0)
    return dump_state_ (scheduler);
  if (strcmp (path, "/metrics") != 0)
    return NULL;
  if (scheduler->lead != NULL)
    colt_cell_get_stats (colt_lead_cell (scheduler->lead), &stats);
  colt_metrics_set_cell (scheduler->metrics,
                         scheduler->lead != NULL ? &stats : NULL);
  colt_metrics_set (scheduler->metrics, METRIC_TERM,
                    (int64_t)colt_election_term (scheduler->election));
  colt_metrics_set (scheduler->metrics, METRIC_LEADS, scheduler->lead != NULL);
  colt_metrics_set (scheduler->metrics, METRIC_CONFIG_VERSION,
                    scheduler->fleet != NULL ? scheduler->fleet->version : 0);
  colt_metrics_set (scheduler->metrics, METRIC_LOG_AGE_MS,
                    (colt_clock_monotonic_us ()
                     - colt_election_reached_us (scheduler->election))
                        / COLT_US_PER_MS);
  return colt_metrics_format (scheduler->metrics);
}

/* The state of the cell, or who leads it. */
static char *
dump_state_ (const struct ColtScheduler *scheduler)
{
  const char *address = colt_election_lead (scheduler->election);
  char *text;
  char *copy;

  if (scheduler->lead != NULL)
    return colt_cell_dump (colt_lead_cell (scheduler->lead));
  text = g_strdup_printf (
      "{\"lead\":\"%s\",\"term\":%llu}", address != NULL ? address : "",
      (unsigned long long)colt_election_term (scheduler->election));
  copy = strdup (text);
  g_free (text);
  return copy;
}

static void
on_stop_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtScheduler *scheduler = arg;
  int64_t since_ms
      = (colt_clock_monotonic_us () - scheduler->stopping_us) / COLT_US_PER_MS;

  (void)fd;
  (void)what;
  if (since_ms < STOP_SERVING_MS)
    return;
  scheduler->ports->stop_listening (scheduler->ports->adapter);
  if (scheduler->requests->len == 0
      || since_ms + STOP_MARGIN_MS > scheduler->settings.grace_ms)
    event_base_loopbreak (scheduler->base);
}
