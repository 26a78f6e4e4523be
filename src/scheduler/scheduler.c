#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "coltsfootstile/address.h"
#include "scheduler_state.h"

/* Period of heartbeats to the leader. */
#define HEARTBEAT_MS 250
/* Time after which a heartbeat without an answer counts as lost. */
#define HEARTBEAT_TIMEOUT_MS 800
/* A stopping instance serves at least this long, until the load balancer has
 * noticed that it isn't ready. */
#define STOP_SERVING_MS 2600
/* Part of the grace time that is reserved for ending the process. */
#define STOP_MARGIN_MS 700
/* Part of it after which the process ends in any case. */
#define STOP_LAST_MS 350
#define STOP_CHECK_MS 50
/* Time in which the event loop sends the last answers before it ends. */
#define STOP_SEND_MS 150
/* Longest wait of a read of the configuration, so that a new one is in force
 * within two seconds even if a connection has become unresponsive. */
#define CONFIG_WAIT_MS 600
/* Unread records of the operator's topic from which on the newest configuration
 * is read instead of all: a superseded one is as large. */
#define CONFIG_SKIP_RECORDS 2
/* A leader yields to an instance that is YIELD_FACTOR times stronger than its
 * configured strength, or YIELD_SLOW_FACTOR times stronger than its strength at
 * the present speed of its machine. It does so after YIELD_AFTER_US, when a few
 * heartbeats of each instance have arrived. */
#define YIELD_FACTOR 2.0
#define YIELD_SLOW_FACTOR 1.5
#define YIELD_AFTER_US (1 * COLT_US_PER_S)
/* A slow leader to which the one before it yielded yields only once it has led
 * this many times as long, within limits: a load that makes any leader slow
 * follows the role, and changes of the leader only add to it. */
#define YIELD_AGAIN_FACTOR 2
#define YIELD_AGAIN_MIN_US (6 * COLT_US_PER_S)
#define YIELD_AGAIN_MAX_US (30 * COLT_US_PER_S)
/* Time without the log's confirmation after which it counts as missing: two
 * renewals of the leadership may be lost. */
#define LOG_OVERDUE_US (1500 * COLT_US_PER_MS)
#define MODULE "scheduler"

static bool start_wire_ (struct ColtScheduler *scheduler,
                         struct ColtError *error);
static void handle_elected_ (void *client, uint64_t term);
static void handle_deposed_ (void *client);
static void handle_leader_change_ (void *client);
static void list_followers_ (void *client, GArray *instances);
static void handle_fenced_ (void *client);
static void send_heartbeat_ (evutil_socket_t fd, short what, void *arg);
static void confirm_leadership_ (struct ColtScheduler *scheduler,
                                 int64_t now_us);
static void log_confirmation_ (const struct ColtScheduler *scheduler,
                               bool by_members,
                               int64_t now_us);
static double present_strength_ (const struct ColtScheduler *scheduler);
static void yield_if_weak_ (struct ColtScheduler *scheduler, int64_t now_us);
static void handle_heartbeat_reply_ (void *client,
                                     enum ColtWireResult result,
                                     const uint8_t *body,
                                     size_t size);
static void handle_heartbeat_ (void *client,
                               const struct ColtWireOrigin *origin,
                               const uint8_t *body,
                               size_t size);
static void note_stamp_ (struct ColtScheduler *scheduler,
                         const ColtBeatReply *reply);
static void add_count_ (void *client, const char *queue, uint64_t waiting);
static char *describe_ (void *client, const char *path);
static char *append_usage_ (const struct ColtScheduler *scheduler, char *text);
static char *dump_state_ (const struct ColtScheduler *scheduler);
static void check_stop_ (evutil_socket_t fd, short what, void *arg);

struct ColtScheduler *
colt_scheduler_create (struct event_base *base,
                       const struct ColtPorts *ports,
                       const struct ColtSchedulerSettings *settings,
                       struct ColtError *error)
{
  struct ColtScheduler *scheduler = g_new0 (struct ColtScheduler, 1);
  const struct ColtCallerServer server
      = { colt_scheduler_handle_request, colt_scheduler_is_ready, describe_,
          scheduler };
  const struct ColtElectionClient election
      = { handle_elected_, handle_deposed_, handle_leader_change_,
          list_followers_, scheduler };
  const struct ColtWatchClient config
      = { colt_scheduler_handle_config_record,
          colt_scheduler_finish_evacuations, scheduler };
  const struct ColtWatchTimes times
      = { CONFIG_WAIT_MS, 0, CONFIG_SKIP_RECORDS };

  scheduler->base = base;
  scheduler->ports = ports;
  scheduler->settings = *settings;
  scheduler->instance = colt_scheduler_instance_number (settings->internal);
  scheduler->metrics = colt_metrics_create ();
  scheduler->waiting_counts = colt_waiting_counts_create ();
  scheduler->requests = g_ptr_array_new ();
  scheduler->members = colt_members_create ();
  scheduler->evacuations = colt_evacuations_create ();
  colt_config_lag_init (&scheduler->config_lag,
                        (int64_t)settings->config_ms * COLT_US_PER_MS);
  scheduler->heartbeat_timer
      = event_new (base, -1, EV_PERSIST, send_heartbeat_, scheduler);
  scheduler->stop_timer
      = event_new (base, -1, EV_PERSIST, check_stop_, scheduler);
  if (!start_wire_ (scheduler, error)
      || !ports->listen (ports->adapter, &server, error))
    {
      colt_scheduler_destroy (scheduler);
      return NULL;
    }
  scheduler->adviser = ports->adviser_open (ports->adapter);
  scheduler->config_watch
      = colt_watch_create (base, ports, COLT_TOPIC_OPERATOR, &times, &config);
  scheduler->election
      = colt_election_create (base, ports, &scheduler->settings, &election);
  colt_scheduler_init_readiness (scheduler);
  colt_scheduler_add_timer (scheduler->heartbeat_timer, HEARTBEAT_MS);
  colt_log (COLT_LOG_INFO, MODULE, NULL, "instance %s in zone %s has started",
            settings->name, settings->zone);
  return scheduler;
}

void
colt_scheduler_destroy (struct ColtScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  colt_leader_destroy (scheduler->leader);
  scheduler->leader = NULL;
  /* Answers of open requests name the leader that the election knows. */
  colt_scheduler_end_requests (scheduler);
  g_clear_pointer (&scheduler->election, colt_election_destroy);
  colt_watch_destroy (scheduler->config_watch);
  /* Ends open calls, some of which other instances wait for on the wire. */
  if (scheduler->adviser != NULL)
    scheduler->ports->adviser_close (scheduler->adviser);
  colt_wire_destroy (scheduler->wire);
  colt_config_fetch_destroy (scheduler->config_fetch);
  colt_config_copy_destroy (scheduler->config_copy);
  colt_scheduler_free_requests (scheduler);
  event_free (scheduler->heartbeat_timer);
  event_free (scheduler->stop_timer);
  colt_members_destroy (scheduler->members);
  colt_evacuations_destroy (scheduler->evacuations);
  colt_metrics_destroy (scheduler->metrics);
  colt_waiting_counts_destroy (scheduler->waiting_counts);
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
  colt_log (COLT_LOG_INFO, MODULE, NULL, "shutting down; %u requests are open",
            scheduler->requests->len);
  colt_members_find_strongest (scheduler->members, scheduler->stopping_us,
                               &successor);
  colt_election_leave (scheduler->election, successor);
  colt_scheduler_add_timer (scheduler->stop_timer, STOP_CHECK_MS);
}

uint32_t
colt_scheduler_instance_number (const char *address)
{
  struct ColtAddress parsed;
  struct in_addr ip;

  if (colt_address_parse (address, &parsed) != COLT_ADDRESS_VALID
      || inet_pton (AF_INET, parsed.host, &ip) != 1)
    return 1;
  return ntohl (ip.s_addr);
}

void
colt_scheduler_set_peer (struct ColtScheduler *scheduler, uint32_t instance)
{
  const struct in_addr ip = { htonl (instance) };
  const char *port = strrchr (scheduler->settings.internal, ':');
  char address[COLT_ERROR_PEER_SIZE];

  g_snprintf (address, sizeof address, "%s%s", inet_ntoa (ip), port);
  colt_wire_set_peer (scheduler->wire, instance, address);
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
  colt_wire_set_handler (scheduler->wire, MESSAGE_HEARTBEAT, handle_heartbeat_,
                         scheduler);
  colt_scheduler_accept_remote_calls (scheduler);
  colt_scheduler_accept_config_calls (scheduler);
  return colt_wire_listen (scheduler->wire, scheduler->settings.internal,
                           error);
}

static void
handle_elected_ (void *client, uint64_t term)
{
  struct ColtScheduler *scheduler = client;
  const struct ColtLeaderClient leader_client
      = { handle_fenced_, colt_scheduler_send_advice_call, scheduler };
  const GArray *followers
      = colt_election_claimed_followers (scheduler->election);
  guint i;

  scheduler->leader = colt_leader_create (scheduler->base, scheduler->ports,
                                          &scheduler->settings, term,
                                          &leader_client, scheduler->metrics);
  colt_leader_set_extension (scheduler->leader,
                             colt_election_extension_us (scheduler->election));
  colt_scheduler_evacuate_leader (scheduler);
  if (scheduler->fleet != NULL)
    colt_leader_set_fleet (scheduler->leader, scheduler->fleet);
  scheduler->led_term = term;
  colt_metrics_count (scheduler->metrics, METRIC_ELECTED);
  scheduler->elected_us = colt_clock_monotonic_us ();
  for (i = 0; i < followers->len; i++)
    colt_members_expect (scheduler->members,
                         g_array_index (followers, uint32_t, i),
                         scheduler->elected_us);
  scheduler->previous_led_us = scheduler->elected_us - scheduler->last_term_us;
  scheduler->last_term_us = scheduler->elected_us;
  scheduler->last_term = term;
  scheduler->confirmed_by_members = false;
  confirm_leadership_ (scheduler, scheduler->elected_us);
}

static void
handle_deposed_ (void *client)
{
  struct ColtScheduler *scheduler = client;
  struct ColtLeader *leader = scheduler->leader;

  scheduler->leader = NULL;
  colt_members_reset_advisers (scheduler->members);
  colt_leader_destroy (leader);
}

static void
handle_leader_change_ (void *client)
{
  struct ColtScheduler *scheduler = client;

  if (colt_election_term (scheduler->election) != scheduler->last_term)
    scheduler->last_term_us = colt_clock_monotonic_us ();
  scheduler->last_term = colt_election_term (scheduler->election);
  if (!scheduler->stopping)
    send_heartbeat_ (-1, 0, scheduler);
}

static void
list_followers_ (void *client, GArray *instances)
{
  const struct ColtScheduler *scheduler = client;

  colt_members_list_followers (scheduler->members, colt_clock_monotonic_us (),
                               instances);
}

static void
handle_fenced_ (void *client)
{
  struct ColtScheduler *scheduler = client;

  colt_election_set_fenced (scheduler->election);
}

/* Sends a heartbeat to the leader. On the leader itself, updates the time up to
 * which its leadership is confirmed, and yields to a much stronger instance. */
static void
send_heartbeat_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtScheduler *scheduler = arg;
  const char *address = colt_election_leader (scheduler->election);
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t age_us = now_us - colt_election_reached_us (scheduler->election);
  ColtBeat heartbeat = COLT_BEAT__INIT;
  uint8_t body[96];
  uint32_t instance;

  (void)fd;
  (void)what;
  colt_speed_probe_measure (&scheduler->speed_probe);
  colt_scheduler_check_isolation (scheduler);
  colt_scheduler_check_config (scheduler);
  if (scheduler->leader != NULL)
    {
      confirm_leadership_ (scheduler, now_us);
      yield_if_weak_ (scheduler, now_us);
      colt_scheduler_send_config_notices (scheduler);
      return;
    }
  if (address == NULL)
    return;
  instance = colt_scheduler_instance_number (address);
  if (instance == scheduler->instance)
    return;
  colt_wire_set_peer (scheduler->wire, instance, address);
  heartbeat.term = colt_election_term (scheduler->election);
  /* A stopping instance must not become the leader. */
  heartbeat.strength_milli
      = scheduler->stopping ? 0
                            : (uint32_t)(present_strength_ (scheduler) * 1000);
  heartbeat.leaving = scheduler->stopping;
  heartbeat.sent_us = (uint64_t)now_us;
  if (scheduler->stamp_term == heartbeat.term)
    heartbeat.stamp_us = scheduler->stamp_us;
  heartbeat.log_age_ms
      = (uint32_t)MIN (age_us / COLT_US_PER_MS, UINT32_MAX / 2);
  heartbeat.config_version = colt_scheduler_config_version (scheduler);
  colt_wire_call (scheduler->wire, instance, MESSAGE_HEARTBEAT, body,
                  colt_beat__pack (&heartbeat, body), HEARTBEAT_TIMEOUT_MS,
                  handle_heartbeat_reply_, scheduler);
}

/* Sets the time up to which this instance is known to be the only leader, and
 * the number of its advisers. An instance that follows this leader hasn't been
 * elected: while all do, leases are renewed without the log. */
static void
confirm_leadership_ (struct ColtScheduler *scheduler, int64_t now_us)
{
  int64_t confirmed_us = colt_election_confirmed_us (scheduler->election);
  int64_t followed_us
      = colt_members_followed_us (scheduler->members, confirmed_us, now_us);
  bool by_members = now_us - confirmed_us > LOG_OVERDUE_US
                    && now_us - followed_us <= LOG_OVERDUE_US;

  if (by_members != scheduler->confirmed_by_members)
    {
      log_confirmation_ (scheduler, by_members, now_us);
      if (by_members)
        colt_metrics_count (scheduler->metrics, METRIC_CONFIRMED_WITHOUT_LOG);
    }
  scheduler->confirmed_by_members = by_members;
  colt_leader_set_confirmed (scheduler->leader, confirmed_us);
  if (colt_election_is_renewing (scheduler->election))
    colt_leader_extend_leases (scheduler->leader, followed_us);
  colt_cell_set_advisers (
      colt_leader_cell (scheduler->leader),
      colt_members_count_advisers (scheduler->members, now_us));
}

/* Logs what confirms the leadership from now on. */
static void
log_confirmation_ (const struct ColtScheduler *scheduler,
                   bool by_members,
                   int64_t now_us)
{
  int64_t log_age_us
      = now_us - colt_election_confirmed_us (scheduler->election);
  const struct ColtLogField fields[]
      = { { "term", NULL, (int64_t)colt_election_term (scheduler->election) },
          { "log_confirmed_ms_ago", NULL, log_age_us / COLT_US_PER_MS } };

  colt_log_event (COLT_LOG_INFO, MODULE,
                  by_members ? "the instances confirm the leadership in the "
                               "log's place; leases are renewed"
                             : "only the log confirms the leadership; leases "
                               "end with its confirmation",
                  NULL, fields, G_N_ELEMENTS (fields));
}

/* Returns the strength at the present speed of the machine. */
static double
present_strength_ (const struct ColtScheduler *scheduler)
{
  return scheduler->settings.strength
         * colt_speed_probe_speed (&scheduler->speed_probe);
}

/* Yields leadership to a much stronger instance. A change of the leader takes
 * less than a second; a weak or slow leader costs more in the long run. A
 * leader counts as slow if its machine is slow and its loop is late: a late
 * loop on a fast machine has more load than any instance of its strength can
 * handle. */
static void
yield_if_weak_ (struct ColtScheduler *scheduler, int64_t now_us)
{
  double strength = scheduler->settings.strength;
  uint32_t successor;
  double strongest
      = colt_members_find_strongest (scheduler->members, now_us, &successor);
  int64_t leader_for_us = now_us - scheduler->elected_us;

  if (leader_for_us < YIELD_AFTER_US)
    return;
  if (strongest < YIELD_FACTOR * strength)
    {
      strength *= MAX (colt_speed_probe_speed (&scheduler->speed_probe),
                       colt_leader_speed (scheduler->leader));
      if (strongest < YIELD_SLOW_FACTOR * strength
          || (colt_election_was_named (scheduler->election)
              && leader_for_us < colt_scheduler_yield_after_us (
                     scheduler->previous_led_us)))
        return;
    }
  if (!colt_election_yield (scheduler->election, successor))
    return;
  colt_log (COLT_LOG_INFO, MODULE, NULL,
            "yielding leadership: own strength %.3f at relative speed %.2f, "
            "relative speed of the loop %.2f, strongest member %.3f",
            scheduler->settings.strength,
            colt_speed_probe_speed (&scheduler->speed_probe),
            colt_leader_speed (scheduler->leader), strongest);
}

int64_t
colt_scheduler_yield_after_us (int64_t previous_led_us)
{
  return CLAMP (YIELD_AGAIN_FACTOR * previous_led_us, YIELD_AGAIN_MIN_US,
                YIELD_AGAIN_MAX_US);
}

static void
handle_heartbeat_reply_ (void *client,
                         enum ColtWireResult result,
                         const uint8_t *body,
                         size_t size)
{
  struct ColtScheduler *scheduler = client;
  ColtBeatReply *reply;

  /* Calls without an answer end when the scheduler is destroyed. */
  if (scheduler->election == NULL)
    return;
  /* A network cut leaves calls unanswered. A process that has ended refuses
   * connections, or has been restarted and is no longer the leader. */
  if (result == COLT_WIRE_NOT_SENT || result == COLT_WIRE_BROKEN)
    colt_election_set_suspect (scheduler->election, true);
  if (result != COLT_WIRE_REPLIED)
    return;
  reply = colt_beat_reply__unpack (NULL, size, body);
  if (reply == NULL)
    return;
  colt_election_set_suspect (scheduler->election, !reply->is_lead);
  if (reply->connected)
    {
      colt_isolation_reach_leader (&scheduler->isolation,
                                   (int64_t)reply->beat_sent_us);
      colt_scheduler_check_isolation (scheduler);
    }
  note_stamp_ (scheduler, reply);
  colt_scheduler_note_config (scheduler, reply->config_version,
                              reply->config_source);
  if (reply->leads)
    colt_waiting_counts_replace (scheduler->waiting_counts, reply->counts,
                                 reply->n_counts, (int64_t)reply->beat_sent_us);
  colt_beat_reply__free_unpacked (reply, NULL);
}

/* Keeps the leader's stamp, which says at least until when this instance has
 * followed it, if no later leader is known by now. */
static void
note_stamp_ (struct ColtScheduler *scheduler, const ColtBeatReply *reply)
{
  if (reply->stamp_us == 0 || scheduler->leader != NULL
      || reply->term != colt_election_term (scheduler->election))
    return;
  if (reply->term != scheduler->stamp_term)
    scheduler->stamp_us = 0;
  scheduler->stamp_term = reply->term;
  scheduler->stamp_us = MAX (scheduler->stamp_us, reply->stamp_us);
  colt_election_set_contact (scheduler->election, reply->term,
                             (int64_t)reply->beat_sent_us);
}

static void
handle_heartbeat_ (void *client,
                   const struct ColtWireOrigin *origin,
                   const uint8_t *body,
                   size_t size)
{
  struct ColtScheduler *scheduler = client;
  bool leads_term
      = scheduler->leader != NULL
        && colt_election_term (scheduler->election) == scheduler->led_term;
  ColtBeat *heartbeat = colt_beat__unpack (NULL, size, body);
  ColtBeatReply reply = COLT_BEAT_REPLY__INIT;
  struct ColtMemberBeat beat = { 0 };
  int64_t now_us = colt_clock_monotonic_us ();
  GPtrArray *counts = g_ptr_array_new_with_free_func (g_free);
  uint8_t *out;

  if (heartbeat != NULL)
    {
      colt_scheduler_set_peer (scheduler, origin->instance);
      beat.instance = origin->instance;
      beat.log_age_ms = heartbeat->log_age_ms;
      beat.strength = heartbeat->strength_milli / 1000.0;
      beat.leaving = heartbeat->leaving;
      beat.config_version = heartbeat->config_version;
      if (leads_term && heartbeat->term == scheduler->led_term)
        beat.followed_us = (int64_t)heartbeat->stamp_us;
      colt_members_update (scheduler->members, &beat, now_us);
      reply.beat_sent_us = heartbeat->sent_us;
      colt_scheduler_note_config (scheduler, heartbeat->config_version,
                                  origin->instance);
      reply.config_source = colt_scheduler_refer_config (
          scheduler, origin->instance, heartbeat->config_version);
      colt_beat__free_unpacked (heartbeat, NULL);
    }
  reply.term = colt_election_term (scheduler->election);
  reply.config_version = scheduler->config_lag.newest;
  if (leads_term)
    reply.stamp_us = (uint64_t)now_us;
  reply.is_lead = scheduler->leader != NULL
                  && !colt_election_renewal_rejected (scheduler->election);
  reply.connected = colt_scheduler_is_connected_leader (scheduler, now_us);
  reply.leads = scheduler->leader != NULL
                && colt_leader_knows_jobs (scheduler->leader, now_us);
  if (reply.leads)
    colt_cell_list_waiting (colt_leader_cell (scheduler->leader), add_count_,
                            counts);
  reply.n_counts = counts->len;
  reply.counts = (ColtQueueCount **)counts->pdata;
  out = g_malloc (colt_beat_reply__get_packed_size (&reply) + 1);
  colt_wire_reply (scheduler->wire, origin, out,
                   colt_beat_reply__pack (&reply, out));
  g_free (out);
  g_ptr_array_unref (counts);
}

/* Adds the count of a queue to a heartbeat's reply. Members take a queue that
 * isn't listed as having no waiting jobs. */
static void
add_count_ (void *client, const char *queue, uint64_t waiting)
{
  ColtQueueCount *count = g_new0 (ColtQueueCount, 1);

  colt_queue_count__init (count);
  count->queue = (char *)queue;
  count->waiting = waiting;
  g_ptr_array_add (client, count);
}

static char *
describe_ (void *client, const char *path)
{
  struct ColtScheduler *scheduler = client;
  bool serving
      = scheduler->leader != NULL && colt_leader_is_serving (scheduler->leader);
  struct ColtCellStats stats;

  if (strcmp (path, "/state") == 0)
    return dump_state_ (scheduler);
  if (strcmp (path, "/metrics") != 0)
    return NULL;
  if (serving)
    colt_cell_get_stats (colt_leader_cell (scheduler->leader), &stats);
  colt_metrics_set_cell (scheduler->metrics, serving ? &stats : NULL);
  colt_metrics_set (scheduler->metrics, METRIC_TERM,
                    (int64_t)colt_election_term (scheduler->election));
  colt_metrics_set (scheduler->metrics, METRIC_ISOLATED,
                    scheduler->isolation.isolated);
  colt_metrics_set (scheduler->metrics, METRIC_IS_LEADER,
                    scheduler->leader != NULL);
  colt_scheduler_set_config_metrics (scheduler);
  colt_metrics_set (scheduler->metrics, METRIC_LOG_AGE_MS,
                    (colt_clock_monotonic_us ()
                     - colt_election_reached_us (scheduler->election))
                        / COLT_US_PER_MS);
  if (serving)
    return append_usage_ (scheduler, colt_metrics_format (scheduler->metrics));
  return colt_metrics_format (scheduler->metrics);
}

/* Appends the organisations' past use to a text, which it frees. */
static char *
append_usage_ (const struct ColtScheduler *scheduler, char *text)
{
  char *usage = colt_cell_format_usage (colt_leader_cell (scheduler->leader));
  char *joined = g_strconcat (text, usage, NULL);
  char *copy = strdup (joined);

  free (text);
  free (usage);
  g_free (joined);
  return copy;
}

/* Returns readiness and the state of the cell as JSON; the address of its
 * leader unless this instance leads and has loaded the jobs. */
static char *
dump_state_ (const struct ColtScheduler *scheduler)
{
  const char *address = colt_election_leader (scheduler->election);
  char *readiness = colt_scheduler_describe_readiness (scheduler);
  char *config = colt_scheduler_describe_config (scheduler);
  char *cell = NULL;
  char *text;
  char *copy;

  if (scheduler->leader != NULL && colt_leader_is_serving (scheduler->leader))
    {
      cell = colt_cell_dump (colt_leader_cell (scheduler->leader));
      text = g_strdup_printf ("{%s,%s,%s", readiness, config, cell + 1);
    }
  else
    text = g_strdup_printf (
        "{%s,%s,\"lead\":\"%s\",\"term\":%llu,\"loading\":%s}", readiness,
        config, address != NULL ? address : "",
        (unsigned long long)colt_election_term (scheduler->election),
        scheduler->leader != NULL ? "true" : "false");
  copy = strdup (text);
  g_free (text);
  g_free (readiness);
  g_free (config);
  free (cell);
  return copy;
}

static void
check_stop_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtScheduler *scheduler = arg;
  int64_t now_us = colt_clock_monotonic_us ();
  int64_t since_ms = (now_us - scheduler->stopping_us) / COLT_US_PER_MS;

  (void)fd;
  (void)what;
  if (since_ms < STOP_SERVING_MS)
    return;
  scheduler->ports->stop_listening (scheduler->ports->adapter);
  if (since_ms + STOP_MARGIN_MS > scheduler->settings.grace_ms)
    colt_scheduler_end_requests (scheduler);
  else if (colt_scheduler_has_open_requests (scheduler))
    return;
  if (now_us - scheduler->answered_us >= STOP_SEND_MS * COLT_US_PER_MS
      || since_ms + STOP_LAST_MS > scheduler->settings.grace_ms)
    event_base_loopbreak (scheduler->base);
}
